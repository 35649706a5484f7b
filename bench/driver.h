/**
 * @file driver.h
 * @brief Runs many instances of the decision logic on a virtual clock.
 *
 * The seeded tests and the benchmarks share this driver: an event queue, small
 * fakes at the interfaces (log, store, targets) and fixed delays. It models
 * neither networks nor token generation, and is no cluster simulator.
 * All randomness comes from the seed.
 */
#ifndef BENCH_DRIVER_H
#define BENCH_DRIVER_H

#include "decide/node.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DRIVER_HOSTS_MAX 400

typedef struct {
    uint64_t seed;
    uint32_t hosts;
    uint32_t domains;
    uint64_t same_domain_delay_us;  /**< one way, within a failure domain */
    uint64_t cross_domain_delay_us; /**< one way, between failure domains */
    uint64_t log_delay_us;          /**< one way to the log */
    uint64_t log_read_lag_us; /**< reads return only records of this age */
    uint64_t retention_us;    /**< after which the log drops a record */
    double store_loads_per_s; /**< of all loads together */
    uint32_t store_parallel_loads; /**< loads needed for the full rate */
    uint32_t transit_max;   /**< more loads in transit slow each other */
    uint64_t transit_us;    /**< from the store to a target, at full speed */
    uint64_t report_lag_us; /**< age of a target's report when it is read */
    uint64_t prefill_us;
    uint64_t token_us;     /**< time of a token in an empty batch */
    double batch_slowdown; /**< extra token time in a full batch, relative */
    uint64_t idle_timeout_us;  /**< a target closes an idle connection */
    uint64_t restart_delay_us; /**< a crashed target is back after this */
    uint64_t tick_interval_us;
    bool trace;              /**< print orders, runs, faults and breaches */
    sky_node_options_t node; /**< the targets are those of this */
} driver_options_t;

typedef struct {
    sky_adapter_id_t adapter;
    uint32_t pool; /**< hash of the pool's name */
    uint32_t urgency;
    uint32_t timeout_ms;
    uint32_t tokens;      /**< to generate */
    uint64_t fingerprint; /**< 0: one that no other request has */
    uint32_t class_id;    /**< for the caller's own tables */
    bool at_most_once;    /**< non-idempotent: run at most once per key */
    sky_idempotency_key_t key;
    uint64_t key_age_ms;
    bool crashes_targets; /**< ends each target that runs it */
} driver_request_t;

typedef struct {
    driver_request_t request;
    uint32_t host;
    uint64_t arrived_us;
    uint64_t dispatched_us;   /**< last dispatch; 0: none */
    uint64_t first_token_us;  /**< of the last run */
    uint64_t finished_us;     /**< final response; 0: none yet */
    uint32_t adapter_wait_ms; /**< time spent waiting for the adapter */
    uint32_t runs;            /**< executions on targets */
    uint32_t retry_after_ms;
    sky_result_t code;
    bool completed;    /**< got its final response, or will not get one */
    bool host_stopped; /**< its host ended before the final response */
} driver_result_t;

/** Counts of broken invariants, as seen from outside the hosts. */
typedef struct {
    uint64_t evicted_in_use;    /**< unloads of an adapter with requests */
    uint64_t run_twice;         /**< repeated runs of a non-idempotent key */
    uint64_t run_after_not_run; /**< runs of what was reported as not run */
    uint64_t sent_to_leaving;   /**< runs begun too late on a leaving target */
    uint64_t crashed_too_many;  /**< more than two for one fingerprint */
    uint64_t revision_reverted; /**< a host applied an older document */
    uint64_t late_response;     /**< reported as not run, past the deadline */
} driver_breaches_t;

typedef struct {
    uint64_t steps; /**< inputs given to hosts */
    uint64_t messages;
    uint64_t appends;
    uint64_t log_reads;
    uint64_t log_records_read;
    uint64_t loads;
    uint64_t load_failures;
    uint64_t evictions;
    uint64_t runs;
    double busy_us;        /**< target time with at least one run */
    double utilization_us; /**< busy_us weighted by batch utilization */
    double store_busy_us;
    uint64_t messages_by_kind[32];
} driver_stats_t;

typedef struct driver driver_t;

/** Sets the defaults of everything but seed, hosts and targets. */
void Driver_SetDefaultOptions(driver_options_t *options);
driver_t *Driver_Create(const driver_options_t *options);
void Driver_Free(driver_t *driver);

/** Handles all events up to a virtual time, which is then the current time. */
void Driver_RunUntil(driver_t *driver, uint64_t until_us);
/** @return the virtual time in microseconds. */
uint64_t Driver_NowUs(const driver_t *driver);
/** @return a number from 0 to @p below - 1, from the seed; 0 if that is 0. */
uint32_t Driver_RandomBelow(driver_t *driver, uint32_t below);
/** @return a number in [0, 1), from the seed. */
double Driver_RandomFraction(driver_t *driver);

/** Sends a request to a host; without a live host no response will come.
 *  @return its index. */
uint32_t Driver_SubmitRequest(driver_t *driver, uint32_t host,
                              const driver_request_t *request);
/** @return valid until the next request. */
const driver_result_t *Driver_Result(const driver_t *driver, uint32_t index);
uint32_t Driver_ResultCount(const driver_t *driver);

/**
 * Submits an operator's change of a configuration document to a host.
 * @param base  the revision that the change is based on
 * @return token for Driver_FindConfigChangeResult
 */
uint64_t Driver_SubmitConfigChange(driver_t *driver, uint32_t host,
                                   sky_config_kind_t kind, const char *name,
                                   sky_offset_t base, const char *body);
/** @return false while the change has no result; the last 256 are kept. */
bool Driver_FindConfigChangeResult(const driver_t *driver, uint64_t token,
                                   sky_act_change_result_t *change_result);

/* Faults; a flag turns a fault on or off. */
void Driver_KillHost(driver_t *driver, uint32_t host);
/** Starts a host that is not alive, without any earlier state. */
void Driver_StartHost(driver_t *driver, uint32_t host);
void Driver_PauseHost(driver_t *driver, uint32_t host, uint64_t pause_us);
/** Drains a host, which then leaves the membership and stops. */
void Driver_DrainHost(driver_t *driver, uint32_t host);
/** Drops the messages from one host to another, in this direction only. */
void Driver_SetPeerLinkCut(driver_t *driver, uint32_t from, uint32_t to,
                           bool cut);
void Driver_SetLogLinkCut(driver_t *driver, uint32_t host, bool cut);
void Driver_SetTargetLinkCut(driver_t *driver, uint32_t host, uint32_t target,
                             bool cut);
void Driver_SetLogUnavailable(driver_t *driver, bool unavailable);
/** Loses this fraction of the log's responses to appends and of the targets'
 *  responses to orders. */
void Driver_SetResponseLossRate(driver_t *driver, double fraction);
void Driver_SetStoreUnreachable(driver_t *driver, bool unreachable);
/** Sets the factor by which the store is slower than normal. */
void Driver_SetStoreSlowdown(driver_t *driver, double factor);
void Driver_CrashTarget(driver_t *driver, uint32_t target);
void Driver_SetTargetLeaving(driver_t *driver, uint32_t target, bool leaving);

bool Driver_IsHostAlive(const driver_t *driver, uint32_t host);
bool Driver_IsHostReady(const driver_t *driver, uint32_t host);
/** @return the decision logic of a host; NULL if it is not alive. */
const sky_node_t *Driver_Node(const driver_t *driver, uint32_t host);
/** @return the host that acts as owner of a shard, or DRIVER_HOSTS_MAX. */
uint32_t Driver_FindShardOwner(const driver_t *driver, uint32_t shard);
/** @return true if the adapter is resident on any target. */
bool Driver_IsAdapterResident(const driver_t *driver,
                              sky_adapter_id_t adapter);

const driver_breaches_t *Driver_Breaches(const driver_t *driver);
const driver_stats_t *Driver_Stats(const driver_t *driver);

#ifdef __cplusplus
}
#endif
#endif
