/**
 * @file crash_sharing.h
 * @brief Keeps the account of requests that crash targets the same on all
 *        hosts.
 *
 * Decisions are those of decide/crash_watch.h. A suspicion is sent to all
 * hosts directly, so that it needs no store. Confirmed crashes are also
 * written to the store by the hosts that read it, for as long as one of them
 * is missing there; the feed passes them on. The same holds for prompt parts
 * that crash targets and the decisions of decide/part_watch.h. A host that has
 * started, or was suspended, asks other hosts for all they know.
 */
#ifndef SKY_EDGE_CRASH_SHARING_H
#define SKY_EDGE_CRASH_SHARING_H

#include <ev.h>

#include "core/result.h"
#include "edge/directory.h"
#include "edge/feed.h"
#include "edge/host_calls.h"
#include "edge/ownership.h"
#include "edge/reach_sharing.h"
#include "platform/store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_crash_sharing sky_crash_sharing_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_host_calls_t *host_calls;
    sky_store_t *store;
    const sky_feed_t *feed;
    sky_reach_sharing_t *reach_sharing;
} sky_crash_sharing_options_t;

/** Creates the directory's crash watch: to be called before the feed reads.
 *  @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyCrashSharing_Create(const sky_crash_sharing_options_t *options,
                                    sky_crash_sharing_t **sharing);
void SkyCrashSharing_Free(sky_crash_sharing_t *sharing);
/** Asks other hosts for what this host has missed while it was suspended. */
void SkyCrashSharing_HandleSuspension(sky_crash_sharing_t *sharing);

#ifdef __cplusplus
}
#endif
#endif
