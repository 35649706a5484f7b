/**
 * @file host_settings.h
 * @brief Settings of a host and of its deployment.
 *
 * Read at start; SIGHUP reads the bounds, the seeds and the rules on keys
 * again.
 */
#ifndef SKY_EDGE_HOST_SETTINGS_H
#define SKY_EDGE_HOST_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Size of the name of a host or a failure domain, with its NUL. */
#define SKY_HOST_NAME_BYTES 64
/** Size of "ADDRESS:PORT" with an IPv4 address, with its NUL. */
#define SKY_HOST_ADDRESS_BYTES 32
#define SKY_SEEDS_MAX 8 /**< further seeds are ignored */
/** How long a host that starts waits for its addresses: a process that was
 *  killed has given them up by then. */
#define SKY_ADDRESS_WAIT_MS 3000

/** Limits that the deployment as a whole has to keep. */
typedef struct {
    /** The limits apply after this time without a disturbance. */
    uint32_t stabilization_ms;
    /** Time within which a leaving target stops getting requests. */
    uint32_t target_drain_ms;
    /** Time from SIGTERM to SIGKILL. */
    uint32_t shutdown_grace_ms;
    /** Time within which all hosts apply a new configuration. */
    uint32_t config_apply_ms;
    /** Min time between orders of two owners to one target. */
    uint32_t lease_ms;
    /** Time within which a new adapter version is served. */
    uint32_t version_ms;
    /** Window over which retries and requests are counted. */
    uint32_t retry_window_ms;
    /** Retries allowed per request. */
    double retry_ratio;
    /** Additional retries allowed to all hosts together. */
    uint32_t retry_slack;
    /** Window over which loads of model weights are counted. */
    uint32_t load_window_ms;
    /** Allowed loads in that window, as a multiple of the configured rate. */
    double load_rate_factor;
    /** Time within which a removed key stops opening its workspace on all
     *  hosts, whether they reach others or not; 0: as config_apply_ms. */
    uint32_t revocation_ms;
    /** Window over which the use of a quota is counted. */
    uint32_t quota_window_ms;
    /** Use of a quota that is allowed beyond it, as a fraction of it. */
    double quota_overshoot;
    /** Additional units allowed in a window. */
    uint64_t quota_slack;
    /** Targets refuse orders with a fence below the highest they have seen. */
    bool targets_check_fence;
} sky_deployment_bounds_t;

/** The platform's store. */
typedef struct {
    char address[SKY_HOST_ADDRESS_BYTES];
    uint32_t partitions; /**< partitions of each topic */
    uint32_t min_membership_ttl_ms;
} sky_store_settings_t;

typedef struct {
    char name[SKY_HOST_NAME_BYTES];
    char domain[SKY_HOST_NAME_BYTES];     /**< failure domain */
    char front[SKY_HOST_ADDRESS_BYTES];   /**< for callers */
    char ready[SKY_HOST_ADDRESS_BYTES];   /**< readiness probes, metrics */
    char control[SKY_HOST_ADDRESS_BYTES]; /**< for other hosts; "": none */
    char metrics[SKY_HOST_ADDRESS_BYTES]; /**< metrics only; "": none */
    /** Control addresses of peers to contact until members are known. */
    char seeds[SKY_SEEDS_MAX][SKY_HOST_ADDRESS_BYTES];
    uint32_t seed_count;
    uint32_t memory_limit_mb;
    uint32_t link_mbps; /**< bandwidth of the network link; 0: unknown */
    uint32_t max_file_descriptors;
    uint32_t target_report_interval_ms;
    bool has_key_rules; /**< the deployment uses callers' keys, also while the
                             configuration has no workspaces */
    sky_deployment_bounds_t bounds;
    sky_store_settings_t store;
} sky_host_settings_t;

#ifdef __cplusplus
}
#endif
#endif
