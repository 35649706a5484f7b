/**
 * @file stream_backlog.h
 * @brief Streams that a collector has still to append to the store, and which
 *        of them come first: the newest.
 *
 * Load pattern: once a second software version is listed, all hosts tell their
 * collectors the streams of the last minute at once, many times what one batch
 * holds, while further streams begin. Most of those told have ended; those
 * that callers can still take up are among the newest. The oldest are left out
 * if there is no room.
 *
 * The module does no I/O.
 */
#ifndef SKY_DECIDE_STREAM_BACKLOG_H
#define SKY_DECIDE_STREAM_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/stream_versions.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_stream_backlog sky_stream_backlog_t;

typedef struct {
    uint32_t streams_max; /**< streams that wait, without those of a batch */
} sky_stream_backlog_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t
SkyStreamBacklog_Create(const sky_stream_backlog_options_t *options,
                        sky_stream_backlog_t **backlog);
void SkyStreamBacklog_Free(sky_stream_backlog_t *backlog);

/** Adds a stream that began later than those added before.
 *  @return false if a stream was left out for lack of room or memory */
bool SkyStreamBacklog_Add(sky_stream_backlog_t *backlog,
                          const sky_stream_version_t *stream);
/** @return number of streams that wait */
uint32_t SkyStreamBacklog_CountWaiting(const sky_stream_backlog_t *backlog);

/** Begins a batch, unless one is under way.
 *  @param batch gets pointers that are valid until the batch ends
 *  @return number of streams in the batch; @p max_count or fewer */
uint32_t SkyStreamBacklog_BeginBatch(sky_stream_backlog_t *backlog,
                                     const sky_stream_version_t **batch,
                                     uint32_t max_count);
/** Ends the batch. Unless it was stored, its streams wait again.
 *  @return number of streams that were in it; some may have been left out
 *          since for lack of room */
uint32_t SkyStreamBacklog_EndBatch(sky_stream_backlog_t *backlog,
                                   bool is_stored);

#ifdef __cplusplus
}
#endif
#endif
