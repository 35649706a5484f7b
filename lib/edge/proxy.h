/**
 * @file proxy.h
 * @brief Reverse proxy: passes callers' requests on to targets, and the
 *        responses back.
 *
 * A request is received, may wait for its adapter to be loaded (placement) or
 * for a free batch slot, and is sent to a target, whose response is buffered
 * or relayed. Each request gets one final response: the target's, or an error
 * of this host as soon as it is known that no target can serve the request in
 * time.
 */
#ifndef SKY_EDGE_PROXY_H
#define SKY_EDGE_PROXY_H

#include <ev.h>
#include <stdint.h>

#include "core/metrics.h"
#include "core/result.h"
#include "decide/memory_share.h"
#include "decide/stop_admission.h"
#include "edge/directory.h"
#include "edge/feed.h"
#include "edge/host_settings.h"
#include "edge/quota_sharing.h"
#include "edge/rate_permits.h"
#include "edge/placement.h"
#include "edge/reach_sharing.h"
#include "edge/service_turns.h"
#include "edge/stream_sharing.h"
#include "net/client.h"
#include "net/listener.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_proxy sky_proxy_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_feed_t *feed;
    sky_client_t *client;
    sky_placement_t *placement;
    sky_rate_permits_t *rate_permits;
    sky_quota_sharing_t *quota_sharing;
    sky_service_turns_t *service_turns;
    sky_stream_sharing_t *stream_sharing;
    sky_reach_sharing_t *reach_sharing;
    sky_metrics_t *metrics;
    sky_memory_share_t *memory_share; /**< of responses that are buffered */
} sky_proxy_options_t;

sky_result_t SkyProxy_Create(const sky_proxy_options_t *options,
                             sky_proxy_t **proxy);
void SkyProxy_Free(sky_proxy_t *proxy);
/** @return callbacks for a listener whose context is the proxy. */
sky_listener_events_t SkyProxy_ListenerEvents(void);
/** @return callbacks for requests of callers that other hosts pass on; their
 *          context is the proxy. */
sky_listener_events_t SkyProxy_ForwardedEvents(void);
/** Requests that went by way of another host, or came from one. */
typedef struct {
    uint64_t sent_to_peers;
    uint64_t received_from_peers;
} sky_proxy_stats_t;
const sky_proxy_stats_t *SkyProxy_Stats(const sky_proxy_t *proxy);
/** Announces that this host stops. Requests that no target has got and that
 * are not expected to end before it exits are refused as not run, now or as
 * soon as that is known. */
void SkyProxy_SetStopTimes(sky_proxy_t *proxy, const sky_stop_times_t *times);
/** Ends the requests whose callers have got no byte of a response: their
 *  callers learn whether a target may have run them. To be called before this
 *  host exits. */
void SkyProxy_AnswerOpenRequests(sky_proxy_t *proxy);
/** @return requests without a final response. */
uint32_t SkyProxy_OpenRequestCount(const sky_proxy_t *proxy);

#ifdef __cplusplus
}
#endif
#endif
