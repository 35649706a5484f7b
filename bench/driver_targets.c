/** @file driver_targets.c @brief Fake targets and the fake weight store. */
#include <stdlib.h>
#include <string.h>

#include "bench/driver_state.h"

#define SNAPSHOT_US UINT64_C(100000)
#define LEAVING_BOUND_US UINT64_C(5000000)
#define US_PER_S 1e6

/* ---- batch fill ---- */

static void
integrate(driver_t *driver, target_t *target)
{
    double passed_us = (double)(driver->now_us - target->changed_us);
    target->changed_us = driver->now_us;
    if (target->running > 0) {
        driver->stats.busy_us += passed_us;
        driver->stats.fill_us +=
            passed_us * target->running / target->info->batch;
    }
}

static void
set_running(driver_t *driver, target_t *target, uint32_t running)
{
    integrate(driver, target);
    target->running = running;
}

static target_slot_t *
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
Driver_IsResident(const driver_t *driver, sky_adapter_id_t adapter)
{
    for (uint32_t t = 0; t < driver->options.node.target_count; t++) {
        const target_slot_t *slot = find_slot(&driver->targets[t], adapter);
        if (slot != NULL && !slot->loading) {
            return true;
        }
    }
    return false;
}

/* ---- orders ---- */

static void
answer_order(driver_t *driver, uint32_t host, uint32_t generation,
             const sky_order_t *order, sky_order_result_t result)
{
    sky_input_t *input = DriverState_Input(
        driver, host, generation, SKY_IN_ORDER_RESULT,
        driver->now_us +
            DriverState_Jitter(driver, driver->options.far_us / 2));
    bool lost = Driver_Uniform(driver) < driver->lose_share;
    input->u.order_result.order = *order;
    input->u.order_result.result = lost ? SKY_ORDER_RESULT_UNKNOWN : result;
}

static bool
is_reachable(const driver_t *driver, const event_t *event)
{
    uint32_t count = driver->options.node.target_count;
    return !driver->targets[event->target].down &&
           !driver->target_cuts[event->host * count + event->target];
}

static bool
was_closed(const driver_t *driver, const event_t *event)
{
    return event->opened_us + driver->options.idle_close_us < driver->now_us;
}

/** @return false if a newer fence was seen; only where that is checked. */
static bool
pass_fence(target_t *target, sky_fence_t fence)
{
    if (!target->info->checks_fencing) {
        return true;
    }
    if (fence < target->fence_seen) {
        return false;
    }
    target->fence_seen = fence;
    return true;
}

static sky_order_result_t
unload(driver_t *driver, target_t *target, sky_adapter_id_t adapter)
{
    target_slot_t *slot = find_slot(target, adapter);
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
free_load(driver_t *driver)
{
    for (uint32_t i = 0; i < LOADS_MAX; i++) {
        if (!driver->loads[i].active) {
            return &driver->loads[i];
        }
    }
    return NULL;
}

static void plan_store(driver_t *driver);

static void
begin_load(driver_t *driver, target_t *target, const event_t *event)
{
    target_slot_t *slot = find_slot(target, event->order.adapter);
    load_t *load = free_load(driver);
    if (slot != NULL && !slot->loading) {
        answer_order(driver, event->host, event->generation, &event->order,
                     SKY_ORDER_RESULT_DONE);
        return;
    }
    slot = slot ? NULL : find_slot(target, 0);
    if (slot == NULL || load == NULL || driver->store_down) {
        driver->stats.load_failures++;
        answer_order(driver, event->host, event->generation, &event->order,
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
    load->left = 1.0;
    driver->stats.loads++;
    plan_store(driver);
}

void
DriverTargets_Order(driver_t *driver, const event_t *event)
{
    target_t *target = &driver->targets[event->target];
    if (!is_reachable(driver, event) || was_closed(driver, event)) {
        answer_order(driver, event->host, event->generation, &event->order,
                     SKY_ORDER_RESULT_FAILED);
    }
    else if (!pass_fence(target, event->order.fence)) {
        answer_order(driver, event->host, event->generation, &event->order,
                     SKY_ORDER_RESULT_FENCED);
    }
    else if (event->order.kind == SKY_ORDER_UNLOAD) {
        answer_order(driver, event->host, event->generation, &event->order,
                     unload(driver, target, event->order.adapter));
    }
    else {
        begin_load(driver, target, event);
    }
}

/* ---- store: lanes are shared, then each load is in transit ---- */

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

static double
rate_of_each(const driver_t *driver, uint32_t reading)
{
    uint32_t sharing = reading > driver->options.store_lanes
                           ? reading
                           : driver->options.store_lanes;
    return driver->options.store_loads_per_s / sharing / driver->store_slow;
}

static void
progress_store(driver_t *driver)
{
    uint32_t reading = count_loads(driver, false);
    double passed_s =
        (double)(driver->now_us - driver->store_at_us) / US_PER_S;
    driver->store_at_us = driver->now_us;
    if (reading == 0) {
        return;
    }
    driver->stats.store_busy_us += passed_s * US_PER_S;
    for (uint32_t i = 0; i < LOADS_MAX; i++) {
        load_t *load = &driver->loads[i];
        if (load->active && !load->in_transit) {
            load->left -= passed_s * rate_of_each(driver, reading);
        }
    }
}

static void
begin_transit(driver_t *driver, uint32_t index)
{
    driver->loads[index].in_transit = true;
    uint32_t crowd = count_loads(driver, true);
    uint32_t max = driver->options.transit_max;
    uint64_t time_us =
        driver->options.transit_us * (crowd > max ? crowd : max) / max;
    event_t *event =
        DriverState_Push(driver, EVENT_LOADED, driver->now_us + time_us);
    event->run = index;
}

static void
plan_store(driver_t *driver)
{
    double least = 2.0;
    progress_store(driver);
    for (uint32_t i = 0; i < LOADS_MAX; i++) {
        load_t *load = &driver->loads[i];
        if (!load->active || load->in_transit) {
            continue;
        }
        if (load->left <= 1e-6) {
            begin_transit(driver, i);
        }
        else if (load->left < least) {
            least = load->left;
        }
    }
    uint32_t reading = count_loads(driver, false);
    if (reading == 0) {
        return;
    }
    double wait_s = least / rate_of_each(driver, reading);
    event_t *event =
        DriverState_Push(driver, EVENT_STORE,
                         driver->now_us + (uint64_t)(wait_s * US_PER_S) + 1);
    event->from = ++driver->store_version;
}

void
DriverTargets_Store(driver_t *driver, const event_t *event)
{
    if (event->from == driver->store_version) {
        plan_store(driver);
    }
}

void
DriverTargets_Loaded(driver_t *driver, const event_t *event)
{
    load_t *load = &driver->loads[event->run];
    target_t *target = &driver->targets[load->target];
    target_slot_t *slot = find_slot(target, load->order.adapter);
    load->active = false;
    if (target->epoch != load->epoch || slot == NULL || target->down) {
        answer_order(driver, load->host, load->generation, &load->order,
                     SKY_ORDER_RESULT_FAILED);
        return;
    }
    slot->loading = false;
    answer_order(driver, load->host, load->generation, &load->order,
                 SKY_ORDER_RESULT_DONE);
}

/* ---- runs ---- */

static void
answer_run(driver_t *driver, uint32_t host, uint32_t generation,
           sky_request_id_t request, sky_outcome_t outcome)
{
    sky_input_t *input = DriverState_Input(
        driver, host, generation, SKY_IN_OUTCOME,
        driver->now_us +
            DriverState_Jitter(driver, driver->options.far_us / 2));
    input->u.outcome.request = request;
    input->u.outcome.outcome = outcome;
}

static void
count_run(driver_t *driver, driver_result_t *result)
{
    result->runs++;
    driver->stats.runs++;
    if (result->answered && !result->lost &&
        SkyResult_Outcome(result->code)[0] == 'n') {
        driver->breaches.run_after_not_run++;
    }
    if (!result->request.at_most_once) {
        return;
    }
    key_runs_t *key;
    HASH_FIND(hh, driver->keys, &result->request.key,
              sizeof(sky_idempotency_key_t), key);
    if (key == NULL) {
        key = calloc(1, sizeof *key);
        key->key = result->request.key;
        HASH_ADD(hh, driver->keys, key, sizeof(sky_idempotency_key_t), key);
    }
    driver->breaches.run_twice += ++key->runs > 1;
}

static void
count_crash(driver_t *driver, uint64_t fingerprint)
{
    crash_runs_t *crash;
    HASH_FIND(hh, driver->crashes, &fingerprint, sizeof fingerprint, crash);
    if (crash == NULL) {
        crash = calloc(1, sizeof *crash);
        crash->fingerprint = fingerprint;
        HASH_ADD(hh, driver->crashes, fingerprint, sizeof fingerprint, crash);
    }
    driver->breaches.crashed_too_many += ++crash->crashes > 2;
    DriverState_Trace(driver, "crash %lx number %u%s", fingerprint,
                      crash->crashes, crash->crashes > 2 ? " BREACH" : "");
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
    double fill = (double)target->running / target->info->batch;
    double token_us = (double)driver->options.token_us *
                      (1.0 + driver->options.crowding * fill);
    return driver->options.prefill_us + (uint64_t)(tokens * token_us);
}

static void
start_run(driver_t *driver, target_t *target, const event_t *event,
          target_slot_t *slot)
{
    uint32_t index;
    driver_result_t *result =
        DriverState_Result(driver, event->dispatch.request, &index);
    run_t *run = add_run(driver);
    run->result = index;
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
    count_run(driver, result);
    result->dispatched_us = driver->now_us;
    result->first_token_us = driver->now_us + driver->options.prefill_us;
    result->adapter_wait_ms = event->dispatch.adapter_wait_ms;
    uint64_t done_us =
        driver->now_us + run_time_us(driver, target, result->request.tokens);
    event_t *done = DriverState_Push(driver, EVENT_RUN_DONE, done_us);
    done->run = driver->run_count - 1;
    if (result->request.crashes) {
        count_crash(driver, result->request.fingerprint);
        Driver_CrashTarget(driver, event->target);
    }
}

void
DriverTargets_Dispatch(driver_t *driver, const event_t *event)
{
    target_t *target = &driver->targets[event->target];
    sky_request_id_t request = event->dispatch.request;
    target_slot_t *slot = find_slot(target, event->dispatch.adapter);
    if (!is_reachable(driver, event)) {
        answer_run(driver, event->host, event->generation, request,
                   SKY_OUTCOME_NOT_SENT);
        return;
    }
    if (was_closed(driver, event)) {
        answer_run(driver, event->host, event->generation, request,
                   SKY_OUTCOME_BROKEN);
        return;
    }
    bool resident = target->info->slots == 0 || (slot && !slot->loading);
    if (!resident || target->running >= target->info->batch) {
        answer_run(driver, event->host, event->generation, request,
                   SKY_OUTCOME_REFUSED);
        return;
    }
    if (target->leaving_us != 0 &&
        driver->now_us > target->leaving_us + LEAVING_BOUND_US) {
        driver->breaches.sent_to_leaving++;
        DriverState_Trace(driver, "run on leaving target%u BREACH",
                          event->target);
    }
    start_run(driver, target, event, target->info->slots ? slot : NULL);
}

void
DriverTargets_RunDone(driver_t *driver, const event_t *event)
{
    run_t *run = &driver->runs[event->run];
    target_t *target = &driver->targets[run->target];
    if (run->ended || run->epoch != target->epoch) {
        return;
    }
    run->ended = true;
    target_slot_t *slot = find_slot(target, run->adapter);
    if (target->info->slots > 0 && slot != NULL && slot->running > 0) {
        slot->running--;
    }
    set_running(driver, target, target->running - 1);
    answer_run(driver, run->host, run->generation, run->request,
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
            answer_run(driver, run->host, run->generation, run->request,
                       SKY_OUTCOME_BROKEN);
        }
    }
    DriverState_Trace(driver, "target%u crashes", index);
    set_running(driver, target, 0);
    memset(target->slots, 0, sizeof target->slots);
    target->epoch += 1000000;
    target->fence_seen = 0;
    target->down = true;
    target->snapshot_count = 0;
    event_t *event = DriverState_Push(
        driver, EVENT_RESTARTED, driver->now_us + driver->options.restart_us);
    event->target = index;
}

void
DriverTargets_Restarted(driver_t *driver, const event_t *event)
{
    driver->targets[event->target].down = false;
}

/* ---- reports ---- */

void
DriverTargets_Snapshot(driver_t *driver, const event_t *event)
{
    target_t *target = &driver->targets[event->target];
    snapshot_t *snapshot =
        &target->snapshots[target->snapshot_count++ % SNAPSHOTS];
    memset(snapshot, 0, sizeof *snapshot);
    snapshot->at_us = driver->now_us;
    snapshot->report.epoch = target->epoch;
    snapshot->report.running = target->running;
    for (uint32_t i = 0; i < target->info->slots; i++) {
        const target_slot_t *slot = &target->slots[i];
        if (slot->adapter != 0) {
            sky_report_slot_t *seen =
                &snapshot->report.slots[snapshot->report.slot_count++];
            seen->adapter = slot->adapter;
            seen->running = slot->running;
            seen->loading = slot->loading;
        }
    }
    event_t *next =
        DriverState_Push(driver, EVENT_SNAPSHOT, driver->now_us + SNAPSHOT_US);
    next->target = event->target;
}

static const snapshot_t *
lagging_snapshot(const driver_t *driver, const target_t *target)
{
    const snapshot_t *best = NULL;
    for (uint32_t i = 0; i < SNAPSHOTS && i < target->snapshot_count; i++) {
        best =
            &target->snapshots[(target->snapshot_count - 1 - i) % SNAPSHOTS];
        if (best->at_us + driver->options.report_lag_us <= driver->now_us) {
            break;
        }
    }
    return best;
}

void
DriverTargets_Report(driver_t *driver, const event_t *event)
{
    const target_t *target = &driver->targets[event->target];
    const snapshot_t *snapshot = lagging_snapshot(driver, target);
    sky_input_t *input = DriverState_Input(
        driver, event->host, event->generation, SKY_IN_REPORT,
        driver->now_us +
            DriverState_Jitter(driver, driver->options.far_us / 2));
    sky_in_report_t *in = &input->u.report;
    in->target = event->target;
    in->begun_us = event->begun_us;
    in->ok = is_reachable(driver, event) && snapshot != NULL;
    if (in->ok) {
        in->report = snapshot->report;
        in->report.age_us = driver->now_us - snapshot->at_us;
    }
}
