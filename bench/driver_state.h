/** @file driver_state.h @brief State shared by the driver's files only. */
#ifndef BENCH_DRIVER_STATE_H
#define BENCH_DRIVER_STATE_H

#include <uthash.h>

#include "bench/driver.h"

typedef enum {
    EVENT_HOST_TICK,
    EVENT_HOST_INPUT,      /* a message or response arrives at a host */
    EVENT_LOG_APPEND,      /* arrives at the log */
    EVENT_LOG_READ,        /* arrives at the log */
    EVENT_TARGET_ORDER,    /* arrives at a target */
    EVENT_TARGET_DISPATCH, /* arrives at a target */
    EVENT_RUN_DONE,
    EVENT_STORE_READ_DONE, /* ignored unless it has the current plan version */
    EVENT_TRANSIT_DONE,    /* a load has arrived at its target */
    EVENT_REPORT_REQUEST,  /* arrives at a target */
    EVENT_TARGET_SNAPSHOT,
    EVENT_TARGET_RESTARTED,
    EVENT_HOST_LIST_READ,
} event_kind_t;

typedef struct {
    uint64_t at_us;
    uint64_t sequence; /* orders events of the same time */
    event_kind_t kind;
    uint32_t host;
    uint32_t generation; /* of the host when it scheduled the event */
    uint32_t target;
    uint32_t run_or_load; /* index in runs or loads */
    uint64_t opened_us;   /* when the connection to a target was opened */
    sky_input_t *input;   /* owned */
    sky_record_t *record; /* owned */
    sky_order_t order;
    sky_act_dispatch_t dispatch;
    sky_offset_t offset_or_version; /* first log offset, or store plan */
    uint64_t sent_host_us;          /* by the sending host's clock */
} event_t;

typedef struct {
    sky_node_t *node;
    bool alive;
    bool log_cut;
    bool drain_requested;
    bool leave_requested;
    uint32_t generation;      /* counts starts; earlier events are dropped */
    uint64_t clock_offset_us; /* added to the driver's clock */
    uint64_t paused_until_us;
    sky_offset_t last_revisions[3]; /* by kind of document */
} host_t;

typedef struct {
    sky_adapter_id_t adapter; /* 0: free slot */
    uint32_t running;
    bool loading;
} adapter_slot_t;

#define SNAPSHOTS_KEPT 64

typedef struct {
    uint64_t taken_us;
    sky_report_t report;
} snapshot_t;

typedef struct {
    const sky_target_info_t *info;
    adapter_slot_t slots[SKY_ADAPTER_SLOTS_MAX];
    uint32_t running;
    uint64_t epoch;
    sky_fence_t max_fence; /* highest fence that an order carried */
    bool down;
    uint64_t leaving_since_us; /* 0: not leaving */
    uint64_t utilization_updated_us;
    snapshot_t snapshots[SNAPSHOTS_KEPT]; /* ring */
    uint32_t snapshots_taken;
} target_t;

/** One execution on a target. */
typedef struct {
    uint32_t result_index;
    uint32_t host;
    uint32_t generation; /* of the host */
    uint32_t target;
    uint64_t epoch;
    sky_request_id_t request;
    sky_adapter_id_t adapter;
    bool ended;
} run_t;

/** A load that the store is reading or that is in transit to its target. */
typedef struct {
    uint32_t target;
    uint64_t epoch;
    sky_order_t order;
    uint32_t host;
    uint32_t generation;  /* of the host */
    double fraction_left; /* of what the store has to read */
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
    uint32_t count;
    UT_hash_handle hh;
} crash_count_t;

typedef struct {
    sky_request_id_t id;
    uint32_t result_index;
    UT_hash_handle hh;
} request_entry_t;

typedef struct {
    uint64_t appended_us;
    sky_record_t record;
} log_entry_t;

struct driver {
    driver_options_t options;
    uint64_t now_us;
    uint64_t sequence;
    unsigned short random_state[3];
    event_t **event_heap;
    size_t event_count;
    size_t event_capacity;
    host_t hosts[DRIVER_HOSTS_MAX];
    bool (*peer_cut)[DRIVER_HOSTS_MAX]; /* [from][to] */
    bool *target_cut;                   /* [host * targets + target] */
    target_t *targets;
    log_entry_t *log;
    uint64_t log_count; /* offsets 1 to log_count */
    uint64_t log_capacity;
    uint64_t log_oldest;
    bool log_unavailable;
    double response_loss_rate;
    bool store_unreachable;
    double store_slowdown;
    load_t loads[LOADS_MAX];
    uint64_t store_updated_us;   /* when fraction_left of loads was updated */
    uint64_t store_plan_version; /* of the last EVENT_STORE_READ_DONE */
    run_t *runs;
    uint32_t run_count;
    uint32_t run_capacity;
    driver_result_t *results;
    uint32_t result_count;
    uint32_t result_capacity;
    request_entry_t *request_entries;
    key_runs_t *runs_by_key;
    crash_count_t *crash_counts;
    sky_act_change_result_t change_results[256]; /* ring */
    uint32_t change_result_count;
    uint64_t last_change_token;
    sky_actions_t action_buffer; /* reused by every step */
    driver_breaches_t breaches;
    driver_stats_t stats;
};

/* driver.c */
/** Prints one line of the trace if options.trace is set. */
void DriverState_Trace(const driver_t *driver, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
event_t *DriverState_ScheduleEvent(driver_t *driver, event_kind_t kind,
                                   uint64_t at_us);
/** Schedules an input for a host; the caller fills it in. */
sky_input_t *DriverState_ScheduleInput(driver_t *driver, uint32_t host,
                                       uint32_t generation,
                                       sky_input_kind_t kind, uint64_t at_us);
/** @return base_us plus a random 0 to 25%. */
uint64_t DriverState_AddJitter(driver_t *driver, uint64_t base_us);
/**
 * @param index  set to the result's index if not NULL
 * @return the result of a request or of any of its attempts, or NULL
 */
driver_result_t *DriverState_FindResult(driver_t *driver, sky_request_id_t id,
                                        uint32_t *index);

/** @return the time by a host's own clock. */
uint64_t DriverState_HostClockUs(const driver_t *driver, uint32_t host);
/** Gives a host one input and performs the actions it returns. */
void DriverState_StepHost(driver_t *driver, uint32_t host,
                          const sky_input_t *input);

/* driver_log.c */
void DriverLog_HandleAppend(driver_t *driver, event_t *event);
void DriverLog_HandleRead(driver_t *driver, const event_t *event);

/* driver_targets.c */
void DriverTargets_HandleOrder(driver_t *driver, const event_t *event);
void DriverTargets_HandleDispatch(driver_t *driver, const event_t *event);
void DriverTargets_HandleRunDone(driver_t *driver, const event_t *event);
void DriverTargets_HandleStoreReadDone(driver_t *driver, const event_t *event);
void DriverTargets_HandleTransitDone(driver_t *driver, const event_t *event);
/** Takes a snapshot of a target's state and schedules the next one. */
void DriverTargets_TakeSnapshot(driver_t *driver, const event_t *event);
void DriverTargets_HandleReportRequest(driver_t *driver, const event_t *event);
void DriverTargets_HandleRestarted(driver_t *driver, const event_t *event);

#endif
