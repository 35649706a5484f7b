/**
 * @file traffic.h
 * @brief A request's way from its caller to a target and back.
 *
 * States: read, wait for an adapter (placement), sent, relayed. Each request
 * gets one final answer: the target's own, or one of this host's as soon as it
 * is known that no target can serve it in time.
 */
#ifndef SKY_EDGE_TRAFFIC_H
#define SKY_EDGE_TRAFFIC_H

#include <ev.h>
#include <stdint.h>

#include "core/metrics.h"
#include "core/result.h"
#include "edge/directory.h"
#include "edge/host_settings.h"
#include "edge/placement.h"
#include "net/client.h"
#include "net/listener.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_traffic sky_traffic_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_client_t *client;
    sky_placement_t *placement;
    sky_metrics_t *metrics;
} sky_traffic_options_t;

sky_result_t SkyTraffic_Create(const sky_traffic_options_t *options,
                               sky_traffic_t **traffic);
void SkyTraffic_Free(sky_traffic_t *traffic);
/** @return events for the listener; their context is the traffic. */
sky_listener_events_t SkyTraffic_Events(void);
/** This host stops: requests that come from now on and could not end before
 *  @p last_ms (monotonic) are refused at once. */
void SkyTraffic_StopBy(sky_traffic_t *traffic, uint64_t last_ms);
/** @return requests without a final answer. */
uint32_t SkyTraffic_Open(const sky_traffic_t *traffic);

#ifdef __cplusplus
}
#endif
#endif
