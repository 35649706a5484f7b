/**
 * @file stream_sharing.h
 * @brief Lets a stream be taken up at any host: shares which software version
 *        began it.
 *
 * Decisions are those of decide/stream_versions.h. Each record is told to a
 * few hosts, chosen by a hash of the stream; a host that lacks one asks these,
 * and some more.
 *
 * For the case that all hosts are restarted at once, the readers of the store
 * keep there which versions a service had, and while it has several, the
 * streams of all hosts (edge/stream_archive.h).
 */
#ifndef SKY_EDGE_STREAM_SHARING_H
#define SKY_EDGE_STREAM_SHARING_H

#include <ev.h>

#include "core/result.h"
#include "edge/directory.h"
#include "edge/feed.h"
#include "edge/host_calls.h"
#include "edge/ownership.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_stream_sharing sky_stream_sharing_t;
typedef struct sky_stream_ask sky_stream_ask_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_host_calls_t *host_calls;
    sky_store_t *store;
    sky_feed_t *feed;
} sky_stream_sharing_options_t;

/** Creates the directory's stream versions.
 *  @return SKY_OK or SKY_E_MEMORY. */
sky_result_t
SkyStreamSharing_Create(const sky_stream_sharing_options_t *options,
                        sky_stream_sharing_t **sharing);
void SkyStreamSharing_Free(sky_stream_sharing_t *sharing);

/** Records the versions of targets in a list that was just applied, before any
 *  request is sent by it. */
void SkyStreamSharing_HandleListChange(sky_stream_sharing_t *sharing);

/** @return the name of a stream among hosts; SKY_STREAM_UNNAMED for "".
 *  @param request_id of the request that began it */
uint64_t SkyStreamSharing_HashId(const char *request_id);

/** Decides where a stream may go on, from all that this host knows now.
 *  @return as SkyStreamVersions_Decide() */
sky_resume_t SkyStreamSharing_Decide(sky_stream_sharing_t *sharing,
                                     const char *service, uint64_t stream,
                                     const sky_resume_answers_t *answers);

/** What other hosts answered; a version that one of them knows is recorded. */
typedef void (*sky_stream_answer_callback_t)(
    void *context, const sky_resume_answers_t *answers);
/** Asks other hosts for the version of a stream, and after a start the store.
 *  @return the question, valid until @p on_answer is called; NULL if there is
 *  nobody to ask, or memory ran out: @p on_answer is then not called */
sky_stream_ask_t *SkyStreamSharing_Ask(sky_stream_sharing_t *sharing,
                                       const char *service, uint64_t stream,
                                       sky_stream_answer_callback_t on_answer,
                                       void *context);
/** Withdraws a question; its answer is not reported. */
void SkyStreamSharing_CancelAsk(sky_stream_ask_t *ask);

#ifdef __cplusplus
}
#endif
#endif
