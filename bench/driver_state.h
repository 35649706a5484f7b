/** @file driver_state.h @brief State shared by the driver's files only. */
#ifndef BENCH_DRIVER_STATE_H
#define BENCH_DRIVER_STATE_H

#include <uthash.h>

#include "bench/driver.h"

typedef enum {
    EVENT_TICK,
    EVENT_INPUT,    /* for a host */
    EVENT_APPEND,   /* arrives at the log */
    EVENT_READ,     /* arrives at the log */
    EVENT_ORDER,    /* arrives at a target */
    EVENT_DISPATCH, /* arrives at a target */
    EVENT_RUN_DONE,
    EVENT_STORE, /* the store has finished a load, if it is current */
    EVENT_LOADED,
    EVENT_ASK_REPORT,
    EVENT_SNAPSHOT,
    EVENT_RESTARTED,
    EVENT_HOSTS,
} event_kind_t;

typedef struct {
    uint64_t at_us;
    uint64_t sequence;
    event_kind_t kind;
    uint32_t host;
    uint32_t generation; /* of the host when it was caused */
    uint32_t target;
    uint32_t run;
    uint64_t opened_us;   /* when the connection to a target was opened */
    sky_input_t *input;   /* owned */
    sky_record_t *record; /* owned */
    sky_order_t order;
    sky_act_dispatch_t dispatch;
    sky_offset_t from;
    uint64_t begun_us; /* by the host's clock */
} event_t;

typedef struct {
    sky_node_t *node;
    bool alive;
    bool log_cut;
    bool drained;
    bool leaving;
    uint32_t generation;
    uint64_t clock_us; /* its clock is ahead of the driver's by this */
    uint64_t paused_until_us;
    sky_offset_t revisions[3]; /* of the last document of each kind */
} host_t;

typedef struct {
    sky_adapter_id_t adapter;
    uint32_t running;
    bool loading;
} target_slot_t;

#define SNAPSHOTS 64

typedef struct {
    uint64_t at_us;
    sky_report_t report;
} snapshot_t;

typedef struct {
    const sky_target_info_t *info;
    target_slot_t slots[SKY_ADAPTER_SLOTS_MAX];
    uint32_t running;
    uint64_t epoch;
    sky_fence_t fence_seen;
    bool down;
    uint64_t leaving_us; /* 0: live */
    uint64_t changed_us; /* for the integral of the fill */
    snapshot_t snapshots[SNAPSHOTS];
    uint32_t snapshot_count;
} target_t;

/** One execution on a target. */
typedef struct {
    uint32_t result;
    uint32_t host;
    uint32_t generation;
    uint32_t target;
    uint64_t epoch;
    sky_request_id_t request;
    sky_adapter_id_t adapter;
    bool ended;
} run_t;

/** A load that the store is reading or that is in transit. */
typedef struct {
    uint32_t target;
    uint64_t epoch;
    sky_order_t order;
    uint32_t host;
    uint32_t generation;
    double left; /* of one load */
    bool active;
    bool in_transit;
} load_t;

#define LOADS_MAX 256

typedef struct {
    sky_idempotency_key_t key;
    uint32_t runs;
    UT_hash_handle hh;
} key_runs_t;

typedef struct {
    uint64_t fingerprint;
    uint32_t crashes;
    UT_hash_handle hh;
} crash_runs_t;

typedef struct {
    sky_request_id_t id;
    uint32_t result;
    UT_hash_handle hh;
} request_index_t;

typedef struct {
    uint64_t at_us;
    sky_record_t record;
} log_entry_t;

struct driver {
    driver_options_t options;
    uint64_t now_us;
    uint64_t sequence;
    unsigned short random[3];
    event_t **heap;
    size_t heap_count;
    size_t heap_capacity;
    host_t hosts[DRIVER_HOSTS_MAX];
    bool (*cuts)[DRIVER_HOSTS_MAX];
    bool *target_cuts; /* [host * targets + target] */
    target_t *targets;
    log_entry_t *log;
    uint64_t log_count; /* offsets 1 to log_count */
    uint64_t log_capacity;
    uint64_t log_oldest;
    bool log_down;
    double lose_share;
    bool store_down;
    double store_slow;
    load_t loads[LOADS_MAX];
    uint64_t store_at_us;
    uint64_t store_version;
    run_t *runs;
    uint32_t run_count;
    uint32_t run_capacity;
    driver_result_t *results;
    uint32_t result_count;
    uint32_t result_capacity;
    request_index_t *index;
    key_runs_t *keys;
    crash_runs_t *crashes;
    sky_act_change_result_t changes[256];
    uint32_t change_count;
    uint64_t token_count;
    sky_actions_t actions;
    driver_breaches_t breaches;
    driver_stats_t stats;
};

/* driver.c */
/** Prints one line of the trace, where one is wanted. */
void DriverState_Trace(const driver_t *driver, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
event_t *DriverState_Push(driver_t *driver, event_kind_t kind, uint64_t at_us);
/** Queues an input for a host; @return it for filling in. */
sky_input_t *DriverState_Input(driver_t *driver, uint32_t host,
                               uint32_t generation, sky_input_kind_t kind,
                               uint64_t at_us);
uint64_t DriverState_Jitter(driver_t *driver, uint64_t base_us);
driver_result_t *DriverState_Result(driver_t *driver, sky_request_id_t id,
                                    uint32_t *index);

/** @return the time by a host's own clock. */
uint64_t DriverState_HostClock(const driver_t *driver, uint32_t host);
/** Gives a host one input and performs what follows. */
void DriverState_Step(driver_t *driver, uint32_t host,
                      const sky_input_t *input);

/* driver_log.c */
void DriverLog_Append(driver_t *driver, event_t *event);
void DriverLog_Read(driver_t *driver, const event_t *event);

/* driver_targets.c */
void DriverTargets_Order(driver_t *driver, const event_t *event);
void DriverTargets_Dispatch(driver_t *driver, const event_t *event);
void DriverTargets_RunDone(driver_t *driver, const event_t *event);
void DriverTargets_Store(driver_t *driver, const event_t *event);
void DriverTargets_Loaded(driver_t *driver, const event_t *event);
void DriverTargets_Snapshot(driver_t *driver, const event_t *event);
void DriverTargets_Report(driver_t *driver, const event_t *event);
void DriverTargets_Restarted(driver_t *driver, const event_t *event);

#endif
