/**
 * @file driver.h
 * @brief Many instances of the decision logic on a virtual clock.
 *
 * Seeded runs, policy tables and slopes share this driver: an event queue,
 * small fakes at the interfaces (log, store, targets) and fixed distances.
 * It models neither networks nor token generation, and is no cluster
 * simulator. All randomness comes from the seed.
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
    uint64_t near_us;    /**< one way, within a failure domain */
    uint64_t far_us;     /**< one way, between failure domains */
    uint64_t log_us;     /**< one way to the log */
    uint64_t log_lag_us; /**< by which a read of the tail is behind */
    uint64_t retention_us;
    double store_loads_per_s;
    uint32_t store_lanes; /**< loads at once at full speed */
    uint32_t transit_max; /**< loads in transit without slowing down */
    uint64_t transit_us;
    uint64_t report_lag_us;
    uint64_t prefill_us;
    uint64_t token_us;      /**< time of a token in an empty batch */
    double crowding;        /**< slow-down of a token in a full batch */
    uint64_t idle_close_us; /**< a target closes a silent connection */
    uint64_t restart_us;    /**< a crashed target is back after this */
    uint64_t tick_us;
    bool trace;              /**< print orders, runs, faults and breaches */
    sky_node_options_t node; /**< targets are taken from here */
} driver_options_t;

typedef struct {
    sky_adapter_id_t adapter;
    uint32_t pool;
    uint32_t urgency;
    uint32_t timeout_ms;
    uint32_t tokens;
    uint64_t fingerprint; /**< 0: one of its own */
    uint32_t class_id;    /**< for the caller's own tables */
    bool at_most_once;
    sky_idempotency_key_t key;
    uint64_t key_age_ms;
    bool crashes; /**< ends each target that runs it */
} driver_request_t;

typedef struct {
    driver_request_t request;
    uint32_t host;
    uint64_t arrived_us;
    uint64_t dispatched_us; /**< last dispatch; 0: none */
    uint64_t first_token_us;
    uint64_t finished_us; /**< final answer; 0: none yet */
    uint32_t adapter_wait_ms;
    uint32_t runs;
    uint32_t retry_after_ms;
    sky_result_t code;
    bool answered; /**< a final answer was given */
    bool lost;     /**< its host ended first */
} driver_result_t;

/** Breaches of the promises, seen from outside of the hosts. */
typedef struct {
    uint64_t evicted_in_use;
    uint64_t run_twice;
    uint64_t run_after_not_run;
    uint64_t sent_to_leaving;
    uint64_t crashed_too_many;
    uint64_t revision_back;
    uint64_t late_answer; /**< no final answer by the deadline */
} driver_breaches_t;

typedef struct {
    uint64_t steps;
    uint64_t messages;
    uint64_t appends;
    uint64_t log_reads;
    uint64_t log_records_read;
    uint64_t loads;
    uint64_t load_failures;
    uint64_t evictions;
    uint64_t runs;
    double busy_us; /**< time in which targets ran something */
    double fill_us; /**< the same, weighted by how full the batch was */
    double store_busy_us;
    uint64_t message_kinds[32];
} driver_stats_t;

typedef struct driver driver_t;

/** Fills in everything but seed, hosts and targets. */
void Driver_Defaults(driver_options_t *options);
driver_t *Driver_Create(const driver_options_t *options);
void Driver_Free(driver_t *driver);

/** Runs until the virtual time is reached. */
void Driver_Run(driver_t *driver, uint64_t until_us);
uint64_t Driver_Now(const driver_t *driver);
/** @return a number from 0 to @p below - 1, from the seed. */
uint32_t Driver_Random(driver_t *driver, uint32_t below);
/** @return a number in [0, 1), from the seed. */
double Driver_Uniform(driver_t *driver);

/** Sends a request to a host. @return its index. */
uint32_t Driver_Request(driver_t *driver, uint32_t host,
                        const driver_request_t *request);
const driver_result_t *Driver_Result(const driver_t *driver, uint32_t index);
uint32_t Driver_ResultCount(const driver_t *driver);

/** An operator's change at a host. @return token. */
uint64_t Driver_Change(driver_t *driver, uint32_t host, sky_config_kind_t kind,
                       const char *name, sky_offset_t base, const char *body);
/** @return false while the change has no answer. */
bool Driver_ChangeResult(const driver_t *driver, uint64_t token,
                         sky_act_change_result_t *changed);

/* Faults. */
void Driver_Kill(driver_t *driver, uint32_t host);
void Driver_Start(driver_t *driver, uint32_t host);
void Driver_Pause(driver_t *driver, uint32_t host, uint64_t pause_us);
void Driver_Drain(driver_t *driver, uint32_t host);
void Driver_Cut(driver_t *driver, uint32_t from, uint32_t to, bool cut);
void Driver_CutLog(driver_t *driver, uint32_t host, bool cut);
void Driver_CutTarget(driver_t *driver, uint32_t host, uint32_t target,
                      bool cut);
void Driver_LogDown(driver_t *driver, bool down);
void Driver_LoseAnswers(driver_t *driver, double share);
void Driver_StoreDown(driver_t *driver, bool down);
void Driver_StoreSlow(driver_t *driver, double factor);
void Driver_CrashTarget(driver_t *driver, uint32_t target);
void Driver_SetLeaving(driver_t *driver, uint32_t target, bool leaving);

bool Driver_IsAlive(const driver_t *driver, uint32_t host);
bool Driver_IsReady(const driver_t *driver, uint32_t host);
/** @return the decision logic of a live host. */
const sky_node_t *Driver_Node(const driver_t *driver, uint32_t host);
/** @return the host that acts as owner of a shard, or DRIVER_HOSTS_MAX. */
uint32_t Driver_Owner(const driver_t *driver, uint32_t shard);
/** @return true if the adapter is resident on any target. */
bool Driver_IsResident(const driver_t *driver, sky_adapter_id_t adapter);

const driver_breaches_t *Driver_Breaches(const driver_t *driver);
const driver_stats_t *Driver_Stats(const driver_t *driver);

#ifdef __cplusplus
}
#endif
#endif
