/** @file driver_targets.c @brief Fake targets and the fake weight store. */
#include <stdlib.h>
#include <string.h>

#include "bench/driver_state.h"

#define SNAPSHOT_INTERVAL_US UINT64_C(100000)
/* A run that starts on a target this long after it began to leave is a
 * breach: by then every host must know that it is leaving. */
#define LEAVING_NOTICE_MAX_US UINT64_C(5000000)
#define US_PER_S 1e6

/* ---- batch utilization, adapter slots ---- */

static void
update_utilization(driver_t *driver, target_t *target)
{
    double passed_us =
        (double)(driver->now_us - target->utilization_updated_us);
    target->utilization_updated_us = driver->now_us;
    if (target->running > 0) {
        driver->stats.busy_us += passed_us;
        driver->stats.utilization_us +=
            passed_us * target->running / target->info->batch;
    }
}

static void
set_running(driver_t *driver, target_t *target, uint32_t running)
{
    update_utilization(driver, target);
    target->running = running;
}

/** @param adapter  0 to find a free slot */
static adapter_slot_t *
find_slot(target_t *target, sky_adapter_id_t adapter)
{
    for (uint32_t i = 0; i < target->info->slots; i++) {
        if (target->slots[i].adapter == adapter) {
            return &target->slots[i];
        }
    }
    return NULL;
}

bool
Driver_IsAdapterResident(const driver_t *driver, sky_adapter_id_t adapter)
{
    for (uint32_t t = 0; t < driver->options.node.target_count; t++) {
        const adapter_slot_t *slot = find_slot(&driver->targets[t], adapter);
        if (slot != NULL && !slot->loading) {
            return true;
        }
    }
    return false;
}

/* ---- orders ---- */

static void
respond_to_order(driver_t *driver, uint32_t host, uint32_t generation,
                 const sky_order_t *order, sky_order_result_t result)
{
    sky_input_t *input = DriverState_ScheduleInput(
        driver, host, generation, SKY_IN_ORDER_RESULT,
        driver->now_us +
            DriverState_AddJitter(driver,
                                  driver->options.cross_domain_delay_us / 2));
    bool response_lost =
        Driver_RandomFraction(driver) < driver->response_loss_rate;
    input->u.order_result.order = *order;
    input->u.order_result.result =
        response_lost ? SKY_ORDER_RESULT_UNKNOWN : result;
}

static bool
is_reachable(const driver_t *driver, const event_t *event)
{
    uint32_t count = driver->options.node.target_count;
    return !driver->targets[event->target].down &&
           !driver->target_cut[event->host * count + event->target];
}

static bool
has_connection_timed_out(const driver_t *driver, const event_t *event)
{
    return event->opened_us + driver->options.idle_timeout_us < driver->now_us;
}

/** @return false if the target checks fences and has seen a higher one. */
static bool
accept_fence(target_t *target, sky_fence_t fence)
{
    if (!target->info->checks_fencing) {
        return true;
    }
    if (fence < target->max_fence) {
        return false;
    }
    target->max_fence = fence;
    return true;
}

static sky_order_result_t
unload_adapter(driver_t *driver, target_t *target, sky_adapter_id_t adapter)
{
    adapter_slot_t *slot = find_slot(target, adapter);
    if (slot == NULL || slot->loading) {
        return SKY_ORDER_RESULT_FAILED;
    }
    DriverState_Trace(driver, "unload %lu, %u running%s", adapter,
                      slot->running, slot->running ? " BREACH" : "");
    driver->breaches.evicted_in_use += slot->running > 0;
    driver->stats.evictions++;
    memset(slot, 0, sizeof *slot);
    return SKY_ORDER_RESULT_DONE;
}

static load_t *
find_free_load(driver_t *driver)
{
    for (uint32_t i = 0; i < LOADS_MAX; i++) {
        if (!driver->loads[i].active) {
            return &driver->loads[i];
        }
    }
    return NULL;
}

static void reschedule_store(driver_t *driver);

static void
begin_load(driver_t *driver, target_t *target, const event_t *event)
{
    adapter_slot_t *slot = find_slot(target, event->order.adapter);
    load_t *load = find_free_load(driver);
    if (slot != NULL && !slot->loading) {
        respond_to_order(driver, event->host, event->generation, &event->order,
                         SKY_ORDER_RESULT_DONE);
        return;
    }
    slot = slot ? NULL : find_slot(target, 0);
    if (slot == NULL || load == NULL || driver->store_unreachable) {
        driver->stats.load_failures++;
        respond_to_order(driver, event->host, event->generation, &event->order,
                         SKY_ORDER_RESULT_FAILED);
        return;
    }
    slot->adapter = event->order.adapter;
    slot->loading = true;
    memset(load, 0, sizeof *load);
    load->active = true;
    load->target = event->target;
    load->epoch = target->epoch;
    load->order = event->order;
    load->host = event->host;
    load->generation = event->generation;
    load->fraction_left = 1.0;
    driver->stats.loads++;
    reschedule_store(driver);
}

void
DriverTargets_HandleOrder(driver_t *driver, const event_t *event)
{
    target_t *target = &driver->targets[event->target];
    if (!is_reachable(driver, event) ||
        has_connection_timed_out(driver, event)) {
        respond_to_order(driver, event->host, event->generation, &event->order,
                         SKY_ORDER_RESULT_FAILED);
    }
    else if (!accept_fence(target, event->order.fence)) {
        respond_to_order(driver, event->host, event->generation, &event->order,
                         SKY_ORDER_RESULT_FENCED);
    }
    else if (event->order.kind == SKY_ORDER_UNLOAD) {
        respond_to_order(driver, event->host, event->generation, &event->order,
                         unload_adapter(driver, target, event->order.adapter));
    }
    else {
        begin_load(driver, target, event);
    }
}

/* ---- store: loads share its read rate, then each is in transit ---- */

static uint32_t
count_loads(const driver_t *driver, bool in_transit)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < LOADS_MAX; i++) {
        count += driver->loads[i].active &&
                 driver->loads[i].in_transit == in_transit;
    }
    return count;
}

/** @return the rate of each load that the store reads; fewer than
 *          store_parallel_loads do not use its full rate. */
static double
loads_per_s_each(const driver_t *driver, uint32_t reading_count)
{
    uint32_t rate_divisor =
        reading_count > driver->options.store_parallel_loads
            ? reading_count
            : driver->options.store_parallel_loads;
    return driver->options.store_loads_per_s / rate_divisor /
           driver->store_slowdown;
}

static void
update_store_progress(driver_t *driver)
{
    uint32_t reading_count = count_loads(driver, false);
    double passed_s =
        (double)(driver->now_us - driver->store_updated_us) / US_PER_S;
    driver->store_updated_us = driver->now_us;
    if (reading_count == 0) {
        return;
    }
    driver->stats.store_busy_us += passed_s * US_PER_S;
    for (uint32_t i = 0; i < LOADS_MAX; i++) {
        load_t *load = &driver->loads[i];
        if (load->active && !load->in_transit) {
            load->fraction_left -=
                passed_s * loads_per_s_each(driver, reading_count);
        }
    }
}

static void
begin_transit(driver_t *driver, uint32_t index)
{
    driver->loads[index].in_transit = true;
    uint32_t in_transit_count = count_loads(driver, true);
    uint32_t full_speed_max = driver->options.transit_max;
    uint64_t duration_us =
        driver->options.transit_us *
        (in_transit_count > full_speed_max ? in_transit_count
                                           : full_speed_max) /
        full_speed_max;
    event_t *event = DriverState_ScheduleEvent(driver, EVENT_TRANSIT_DONE,
                                               driver->now_us + duration_us);
    event->run_or_load = index;
}

/** Starts the transit of loads that are read, and schedules the end of the
 *  next read. Events of earlier plans are void. */
static void
reschedule_store(driver_t *driver)
{
    double min_fraction_left = 2.0;
    update_store_progress(driver);
    for (uint32_t i = 0; i < LOADS_MAX; i++) {
        load_t *load = &driver->loads[i];
        if (!load->active || load->in_transit) {
            continue;
        }
        if (load->fraction_left <= 1e-6) {
            begin_transit(driver, i);
        }
        else if (load->fraction_left < min_fraction_left) {
            min_fraction_left = load->fraction_left;
        }
    }
    uint32_t reading_count = count_loads(driver, false);
    if (reading_count == 0) {
        return;
    }
    double wait_s =
        min_fraction_left / loads_per_s_each(driver, reading_count);
    event_t *event = DriverState_ScheduleEvent(
        driver, EVENT_STORE_READ_DONE,
        driver->now_us + (uint64_t)(wait_s * US_PER_S) + 1);
    event->offset_or_version = ++driver->store_plan_version;
}

void
DriverTargets_HandleStoreReadDone(driver_t *driver, const event_t *event)
{
    if (event->offset_or_version == driver->store_plan_version) {
        reschedule_store(driver);
    }
}

void
DriverTargets_HandleTransitDone(driver_t *driver, const event_t *event)
{
    load_t *load = &driver->loads[event->run_or_load];
    target_t *target = &driver->targets[load->target];
    adapter_slot_t *slot = find_slot(target, load->order.adapter);
    load->active = false;
    if (target->epoch != load->epoch || slot == NULL || target->down) {
        respond_to_order(driver, load->host, load->generation, &load->order,
                         SKY_ORDER_RESULT_FAILED);
        return;
    }
    slot->loading = false;
    respond_to_order(driver, load->host, load->generation, &load->order,
                     SKY_ORDER_RESULT_DONE);
}

/* ---- runs ---- */

static void
respond_to_run(driver_t *driver, uint32_t host, uint32_t generation,
               sky_request_id_t request, sky_outcome_t outcome)
{
    sky_input_t *input = DriverState_ScheduleInput(
        driver, host, generation, SKY_IN_OUTCOME,
        driver->now_us +
            DriverState_AddJitter(driver,
                                  driver->options.cross_domain_delay_us / 2));
    input->u.outcome.request = request;
    input->u.outcome.outcome = outcome;
}

static void
record_run(driver_t *driver, driver_result_t *result)
{
    result->runs++;
    driver->stats.runs++;
    if (result->completed && !result->host_stopped &&
        SkyResult_Outcome(result->code)[0] == 'n') { /* not_run */
        driver->breaches.run_after_not_run++;
    }
    if (!result->request.at_most_once) {
        return;
    }
    key_runs_t *key;
    HASH_FIND(hh, driver->runs_by_key, &result->request.key,
              sizeof(sky_idempotency_key_t), key);
    if (key == NULL) {
        key = calloc(1, sizeof *key);
        key->key = result->request.key;
        HASH_ADD(hh, driver->runs_by_key, key, sizeof(sky_idempotency_key_t),
                 key);
    }
    driver->breaches.run_twice += ++key->runs > 1;
}

static void
record_crash(driver_t *driver, uint64_t fingerprint)
{
    crash_count_t *crash;
    HASH_FIND(hh, driver->crash_counts, &fingerprint, sizeof fingerprint,
              crash);
    if (crash == NULL) {
        crash = calloc(1, sizeof *crash);
        crash->fingerprint = fingerprint;
        HASH_ADD(hh, driver->crash_counts, fingerprint, sizeof fingerprint,
                 crash);
    }
    driver->breaches.crashed_too_many += ++crash->count > 2;
    DriverState_Trace(driver, "crash %lx number %u%s", fingerprint,
                      crash->count, crash->count > 2 ? " BREACH" : "");
}

static run_t *
add_run(driver_t *driver)
{
    if (driver->run_count == driver->run_capacity) {
        driver->run_capacity = 2 * driver->run_capacity + 1024;
        driver->runs =
            realloc(driver->runs, driver->run_capacity * sizeof *driver->runs);
    }
    run_t *run = &driver->runs[driver->run_count++];
    memset(run, 0, sizeof *run);
    return run;
}

static uint64_t
run_time_us(const driver_t *driver, const target_t *target, uint32_t tokens)
{
    double utilization = (double)target->running / target->info->batch;
    double token_us = (double)driver->options.token_us *
                      (1.0 + driver->options.batch_slowdown * utilization);
    return driver->options.prefill_us + (uint64_t)(tokens * token_us);
}

static void
start_run(driver_t *driver, target_t *target, const event_t *event,
          adapter_slot_t *slot)
{
    uint32_t index;
    driver_result_t *result =
        DriverState_FindResult(driver, event->dispatch.request, &index);
    run_t *run = add_run(driver);
    run->result_index = index;
    run->host = event->host;
    run->generation = event->generation;
    run->target = event->target;
    run->epoch = target->epoch;
    run->request = event->dispatch.request;
    run->adapter = event->dispatch.adapter;
    if (slot != NULL) {
        slot->running++;
    }
    set_running(driver, target, target->running + 1);
    DriverState_Trace(driver, "run %lx of %lu on target%u", run->request,
                      run->adapter, run->target);
    record_run(driver, result);
    result->dispatched_us = driver->now_us;
    result->first_token_us = driver->now_us + driver->options.prefill_us;
    result->adapter_wait_ms = event->dispatch.adapter_wait_ms;
    uint64_t done_us =
        driver->now_us + run_time_us(driver, target, result->request.tokens);
    event_t *done = DriverState_ScheduleEvent(driver, EVENT_RUN_DONE, done_us);
    done->run_or_load = driver->run_count - 1;
    if (result->request.crashes_targets) {
        record_crash(driver, result->request.fingerprint);
        Driver_CrashTarget(driver, event->target);
    }
}

void
DriverTargets_HandleDispatch(driver_t *driver, const event_t *event)
{
    target_t *target = &driver->targets[event->target];
    sky_request_id_t request = event->dispatch.request;
    adapter_slot_t *slot = find_slot(target, event->dispatch.adapter);
    if (!is_reachable(driver, event)) {
        respond_to_run(driver, event->host, event->generation, request,
                       SKY_OUTCOME_NOT_SENT);
        return;
    }
    if (has_connection_timed_out(driver, event)) {
        respond_to_run(driver, event->host, event->generation, request,
                       SKY_OUTCOME_BROKEN);
        return;
    }
    bool resident = target->info->slots == 0 || (slot && !slot->loading);
    if (!resident || target->running >= target->info->batch) {
        respond_to_run(driver, event->host, event->generation, request,
                       SKY_OUTCOME_REFUSED);
        return;
    }
    if (target->leaving_since_us != 0 &&
        driver->now_us > target->leaving_since_us + LEAVING_NOTICE_MAX_US) {
        driver->breaches.sent_to_leaving++;
        DriverState_Trace(driver, "run on leaving target%u BREACH",
                          event->target);
    }
    start_run(driver, target, event, target->info->slots ? slot : NULL);
}

void
DriverTargets_HandleRunDone(driver_t *driver, const event_t *event)
{
    run_t *run = &driver->runs[event->run_or_load];
    target_t *target = &driver->targets[run->target];
    if (run->ended || run->epoch != target->epoch) {
        return;
    }
    run->ended = true;
    adapter_slot_t *slot = find_slot(target, run->adapter);
    if (target->info->slots > 0 && slot != NULL && slot->running > 0) {
        slot->running--;
    }
    set_running(driver, target, target->running - 1);
    respond_to_run(driver, run->host, run->generation, run->request,
                   SKY_OUTCOME_COMPLETED);
}

void
Driver_CrashTarget(driver_t *driver, uint32_t index)
{
    target_t *target = &driver->targets[index];
    if (target->down) {
        return;
    }
    for (uint32_t i = 0; i < driver->run_count; i++) {
        run_t *run = &driver->runs[i];
        if (!run->ended && run->target == index &&
            run->epoch == target->epoch) {
            run->ended = true;
            respond_to_run(driver, run->host, run->generation, run->request,
                           SKY_OUTCOME_BROKEN);
        }
    }
    DriverState_Trace(driver, "target%u crashes", index);
    set_running(driver, target, 0);
    memset(target->slots, 0, sizeof target->slots);
    target->epoch += 1000000;
    target->max_fence = 0;
    target->down = true;
    target->snapshots_taken = 0;
    event_t *event = DriverState_ScheduleEvent(
        driver, EVENT_TARGET_RESTARTED,
        driver->now_us + driver->options.restart_delay_us);
    event->target = index;
}

void
DriverTargets_HandleRestarted(driver_t *driver, const event_t *event)
{
    driver->targets[event->target].down = false;
}

/* ---- reports ---- */

void
DriverTargets_TakeSnapshot(driver_t *driver, const event_t *event)
{
    target_t *target = &driver->targets[event->target];
    snapshot_t *snapshot =
        &target->snapshots[target->snapshots_taken++ % SNAPSHOTS_KEPT];
    memset(snapshot, 0, sizeof *snapshot);
    snapshot->taken_us = driver->now_us;
    snapshot->report.epoch = target->epoch;
    snapshot->report.running = target->running;
    for (uint32_t i = 0; i < target->info->slots; i++) {
        const adapter_slot_t *slot = &target->slots[i];
        if (slot->adapter != 0) {
            sky_report_slot_t *reported =
                &snapshot->report.slots[snapshot->report.slot_count++];
            reported->adapter = slot->adapter;
            reported->running = slot->running;
            reported->loading = slot->loading;
        }
    }
    event_t *next = DriverState_ScheduleEvent(
        driver, EVENT_TARGET_SNAPSHOT, driver->now_us + SNAPSHOT_INTERVAL_US);
    next->target = event->target;
}

/** @return the newest snapshot that is report_lag_us old, else the oldest one
 *          kept; NULL if there is none. */
static const snapshot_t *
find_readable_snapshot(const driver_t *driver, const target_t *target)
{
    const snapshot_t *candidate = NULL;
    for (uint32_t i = 0; i < SNAPSHOTS_KEPT && i < target->snapshots_taken;
         i++) {
        candidate = &target->snapshots[(target->snapshots_taken - 1 - i) %
                                       SNAPSHOTS_KEPT];
        if (candidate->taken_us + driver->options.report_lag_us <=
            driver->now_us) {
            break;
        }
    }
    return candidate;
}

void
DriverTargets_HandleReportRequest(driver_t *driver, const event_t *event)
{
    const target_t *target = &driver->targets[event->target];
    const snapshot_t *snapshot = find_readable_snapshot(driver, target);
    sky_input_t *input = DriverState_ScheduleInput(
        driver, event->host, event->generation, SKY_IN_REPORT,
        driver->now_us +
            DriverState_AddJitter(driver,
                                  driver->options.cross_domain_delay_us / 2));
    sky_in_report_t *in = &input->u.report;
    in->target = event->target;
    in->begun_us = event->sent_host_us;
    in->ok = is_reachable(driver, event) && snapshot != NULL;
    if (in->ok) {
        in->report = snapshot->report;
        in->report.age_us = driver->now_us - snapshot->taken_us;
    }
}
