/**
 * @file host_settings.h
 * @brief What a host is told of itself and of its deployment at start.
 */
#ifndef SKY_EDGE_HOST_SETTINGS_H
#define SKY_EDGE_HOST_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_HOST_NAME_BYTES 64    /**< names of hosts, domains, services */
#define SKY_HOST_ADDRESS_BYTES 32 /**< "ADDRESS:PORT" by IP number */
#define SKY_SEEDS_MAX 8           /**< peers named at start */

/** Promised bounds of the deployment. */
typedef struct {
    uint32_t stable_ms;       /**< undisturbed for so long: bounds hold */
    uint32_t drain_ms;        /**< a leaving target gets nothing after it */
    uint32_t grace_ms;        /**< from SIGTERM to SIGKILL */
    uint32_t config_apply_ms; /**< a change is in force everywhere */
    uint32_t lease_ms;        /**< between the orders of two owners */
    uint32_t version_ms;      /**< a new adapter version is served */
    uint32_t retry_window_ms; /**< over which repeats are counted */
    double retry_ratio;       /**< repeats allowed for each request */
    uint32_t retry_slack;     /**< and beyond, all hosts together */
    uint32_t load_window_ms;  /**< over which loads of weights are counted */
    double load_overshoot;    /**< share of the load rate that is allowed */
    bool fencing;             /**< targets refuse a lower fencing token */
} sky_bounds_t;

/** The store of the platform. */
typedef struct {
    char address[SKY_HOST_ADDRESS_BYTES];
    uint32_t parts;      /**< partitions of a topic */
    uint32_t ttl_min_ms; /**< shortest membership of a group */
} sky_store_settings_t;

typedef struct {
    char name[SKY_HOST_NAME_BYTES];
    char domain[SKY_HOST_NAME_BYTES];     /**< failure domain */
    char front[SKY_HOST_ADDRESS_BYTES];   /**< callers connect here */
    char ready[SKY_HOST_ADDRESS_BYTES];   /**< readiness probes, metrics */
    char control[SKY_HOST_ADDRESS_BYTES]; /**< other hosts connect here */
    char metrics[SKY_HOST_ADDRESS_BYTES]; /**< counters; "" for none */
    char seeds[SKY_SEEDS_MAX][SKY_HOST_ADDRESS_BYTES];
    uint32_t seed_count;
    uint32_t memory_mb;
    uint32_t link_mbps; /**< bandwidth of the host's link; 0: not known */
    uint32_t descriptors;
    uint32_t target_beat_ms; /**< interval at which targets report */
    sky_bounds_t bounds;
    sky_store_settings_t store;
} sky_host_settings_t;

#ifdef __cplusplus
}
#endif
#endif
