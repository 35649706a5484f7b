/**
 * @file stream_archive.h
 * @brief Keeps in the store at which software version streams began, and reads
 *        it back after a start.
 *
 * Two hosts, those that read the store for all, collect the streams of the
 * others and append them in batches, so that the number of calls to the store
 * does not grow with that of hosts or streams; that of calls to the collectors
 * does. A batch replaces the one that was written a retention time before.
 * Only streams of services with several versions are kept.
 */
#ifndef SKY_EDGE_STREAM_ARCHIVE_H
#define SKY_EDGE_STREAM_ARCHIVE_H

#include <jansson.h>
#include <stdint.h>

#include "core/result.h"
#include "edge/directory.h"
#include "edge/host_calls.h"
#include "edge/host_settings.h"
#include "edge/ownership.h"
#include "platform/store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_stream_archive sky_stream_archive_t;

typedef struct {
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_host_calls_t *host_calls;
    sky_store_t *store;
    const char *call_path; /**< of the calls by which hosts tell streams */
    /** A read that SkyStreamArchive_Read() began has ended or failed. */
    void (*on_read)(void *context);
    void *context;
    uint64_t retention_ms; /**< age from which streams count no more */
} sky_stream_archive_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t
SkyStreamArchive_Create(const sky_stream_archive_options_t *options,
                        sky_stream_archive_t **archive);
void SkyStreamArchive_Free(sky_stream_archive_t *archive);

/** @return a row for one stream, as hosts send it and the store keeps it; NULL
 *  if memory ran out. */
json_t *SkyStreamArchive_EncodeStream(const sky_stream_version_t *stream);
/** Records the streams of rows; malformed ones are logged. */
void SkyStreamArchive_ApplyRows(sky_directory_t *directory,
                                const json_t *rows);

/** Adds streams of this host that the store is to keep. Takes over the
 *  reference to @p rows. */
void SkyStreamArchive_Add(sky_stream_archive_t *archive, json_t *rows);
/** Adds streams that another host has told this one as a collector. */
void SkyStreamArchive_Collect(sky_stream_archive_t *archive,
                              const json_t *rows);
/** Sends and appends what is due. */
void SkyStreamArchive_Tick(sky_stream_archive_t *archive, uint64_t now_ms);
/** Reads the streams, unless that has been done or failed a moment ago.
 *  @return whether a read is under way */
bool SkyStreamArchive_Read(sky_stream_archive_t *archive);

#ifdef __cplusplus
}
#endif
#endif
