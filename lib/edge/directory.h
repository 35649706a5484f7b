/**
 * @file directory.h
 * @brief This host's view of its deployment, read from the store or its peers.
 */
#ifndef SKY_EDGE_DIRECTORY_H
#define SKY_EDGE_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/crash_watch.h"
#include "decide/deployment.h"
#include "decide/fleet.h"
#include "decide/part_watch.h"
#include "decide/reachability.h"
#include "decide/stream_versions.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    sky_deployment_t *deployment; /**< NULL: not read yet */
    sky_fleet_t *fleet;
    sky_crash_watch_t *crashes;       /**< requests that crash targets */
    sky_part_watch_t *parts;          /**< prompt parts that crash targets */
    sky_stream_versions_t *streams;   /**< versions that began streams */
    sky_reachability_t *reachability; /**< of services from this host */
    bool targets_known; /**< the list of targets was read at least once */
    uint64_t targets_read_ms; /**< when the list was read from the store, by
                                   this host or another; 0: never */
    bool store_unreachable;   /**< the last read from the store failed */
    /** Hosts that share the retry budgets, this one included. */
    uint32_t host_count;
} sky_directory_t;

#ifdef __cplusplus
}
#endif
#endif
