/**
 * @file feed_relay.h
 * @brief Passes records and owners from host to host, so that few hosts read
 * the store.
 *
 * Two hosts read the store (see decide/fanout.h). One host of each failure
 * domain, its relay, polls them; the other hosts of the domain poll the relay.
 * A response says how long ago its records were read from the store, so hosts
 * that poll each other in a cycle see the records become stale and read the
 * store themselves. A host whose reads of the store fail polls its peers too.
 */
#ifndef SKY_EDGE_FEED_RELAY_H
#define SKY_EDGE_FEED_RELAY_H

#include <ev.h>

#include "core/result.h"
#include "edge/feed.h"
#include "edge/host_calls.h"
#include "edge/ownership.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_feed_relay sky_feed_relay_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_feed_t *feed;
    sky_start_reads_t *start;
    sky_ownership_t *ownership;
    sky_host_calls_t *host_calls;
} sky_feed_relay_options_t;

sky_result_t SkyFeedRelay_Create(const sky_feed_relay_options_t *options,
                                 sky_feed_relay_t **relay);
void SkyFeedRelay_Free(sky_feed_relay_t *relay);
/** Chooses the store readers and the hosts to poll anew after the owners or
 *  members changed. This host may become a reader, or cease to be one. */
void SkyFeedRelay_HandleOwnersChange(sky_feed_relay_t *relay);
/** Responds to the polls that have become due by a change of the feed. */
void SkyFeedRelay_HandleFeedChange(sky_feed_relay_t *relay);

#ifdef __cplusplus
}
#endif
#endif
