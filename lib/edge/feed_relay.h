/**
 * @file feed_relay.h
 * @brief Records handed on between hosts, so that few read the store.
 *
 * Two hosts read the store (see decide/fanout.h); one host of each failure
 * domain asks them, and the others of the domain ask that one. An answer tells
 * how long ago its records were read from the store, so that hosts which ask
 * each other in a circle notice and read it themselves. A host that the store
 * turns away gets its records in the same way.
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
    sky_ownership_t *ownership;
    sky_host_calls_t *calls;
} sky_feed_relay_options_t;

sky_result_t SkyFeedRelay_Create(const sky_feed_relay_options_t *options,
                                 sky_feed_relay_t **relay);
void SkyFeedRelay_Free(sky_feed_relay_t *relay);
/** Owners changed: this host may have become a reader, or no longer be one. */
void SkyFeedRelay_NoteOwners(sky_feed_relay_t *relay);
/** The feed has news, which those that wait for it get at once. */
void SkyFeedRelay_NoteNews(sky_feed_relay_t *relay);

#ifdef __cplusplus
}
#endif
#endif
