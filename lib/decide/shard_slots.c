/** @file shard_slots.c @brief Targets, adapter slots, orders and reports. */
#include "decide/shard_state.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"

#define CONSECUTIVE_REPORT_FAILURES_MAX 3
#define REPORT_TIMEOUT_US UINT64_C(3000000)
#define LOAD_BACKOFF_MIN_US UINT64_C(500000)
#define LOAD_BACKOFF_DOUBLINGS_MAX 5
#define LOAD_AVERAGE_DIVISOR 4 /* the newest load has a weight of 1/4 */

target_t *
ShardSlots_FindTarget(sky_shard_t *shard, uint32_t index)
{
    if (index < shard->first_target ||
        index >= shard->first_target + shard->target_count) {
        return NULL;
    }
    return &shard->targets[index - shard->first_target];
}

slot_t *
ShardSlots_FindSlot(target_t *target, sky_adapter_id_t adapter)
{
    for (uint32_t i = 0; i < target->info->slots; i++) {
        slot_t *slot = &target->slots[i];
        if (slot->adapter == adapter && slot->state != SLOT_FREE) {
            return slot;
        }
    }
    return NULL;
}

adapter_t *
ShardSlots_FindOrAddAdapter(sky_shard_t *shard, sky_adapter_id_t id)
{
    adapter_t *adapter;
    HASH_FIND(hh, shard->adapters, &id, sizeof id, adapter);
    if (adapter == NULL) {
        adapter = calloc(1, sizeof *adapter);
        if (adapter == NULL) {
            abort();
        }
        adapter->id = id;
        HASH_ADD(hh, shard->adapters, id, sizeof id, adapter);
    }
    return adapter;
}

bool
ShardSlots_IsTargetUsable(const sky_shard_t *shard, const target_t *target,
                          uint32_t pool)
{
    return target->pool == pool && !target->leaving && !target->down &&
           !target->needs_report &&
           target->report_made_us > shard->activated_us;
}

static bool
is_collecting_for_takeover(const sky_shard_t *shard)
{
    const permit_collection_t *collection;
    for (collection = shard->collections; collection != NULL;
         collection = collection->hh.next) {
        if (collection->blocks_eviction) {
            return true;
        }
    }
    return false;
}

bool
ShardSlots_CanEvict(const sky_shard_t *shard, const target_t *target,
                    const slot_t *slot, uint64_t now_us)
{
    return slot->state == SLOT_RESIDENT && slot->permits == 0 &&
           (slot->possibly_busy_until_us == 0 ||
            (shard->options.disabled_mechanisms &
             SKY_DISABLE_CRASH_CONFIRMATION)) &&
           target->report_made_us > shard->activated_us &&
           SkyMembers_CanEvict(shard->members, now_us) &&
           !is_collecting_for_takeover(shard);
}

static bool
is_unplaced(const adapter_t *adapter)
{
    return adapter->waiting_count > 0 && adapter->replicas == 0;
}

/** All changes of an adapter's counts go through this function, so that the
 *  count of adapters that wait without a replica stays consistent. */
static void
update_adapter_counts(sky_shard_t *shard, adapter_t *adapter,
                      int waiting_change, int replicas_change,
                      int loading_change)
{
    shard->unplaced_adapters -= is_unplaced(adapter);
    adapter->waiting_count += (uint32_t)waiting_change;
    adapter->replicas += (uint32_t)replicas_change;
    adapter->loading_replicas += (uint32_t)loading_change;
    shard->unplaced_adapters += is_unplaced(adapter);
}

static void
update_replica_counts(sky_shard_t *shard, adapter_t *adapter,
                      int replicas_change, int loading_change)
{
    update_adapter_counts(shard, adapter, 0, replicas_change, loading_change);
}

void
ShardSlots_UpdateWaitingCount(sky_shard_t *shard, adapter_t *adapter,
                              int change)
{
    update_adapter_counts(shard, adapter, change, 0, 0);
}

static bool
is_loading(const slot_t *slot)
{
    return slot->state == SLOT_LOADING;
}

static void
set_state(sky_shard_t *shard, slot_t *slot, slot_state_t state,
          sky_adapter_id_t id, uint64_t now_us)
{
    SKY_INVARIANT(SKY_INV_RIGHT_ADAPTER, state == SLOT_FREE || id != 0);
    if (slot->state != SLOT_FREE) {
        update_replica_counts(
            shard, ShardSlots_FindOrAddAdapter(shard, slot->adapter), -1,
            -(int)is_loading(slot));
    }
    slot->state = state;
    slot->adapter = state == SLOT_FREE ? 0 : id;
    slot->state_changed_us = now_us;
    if (slot->state != SLOT_FREE) {
        update_replica_counts(shard, ShardSlots_FindOrAddAdapter(shard, id), 1,
                              is_loading(slot));
    }
    else {
        slot->permits = 0;
        slot->possibly_busy_until_us = 0;
    }
}

/** Counts the slot's permits anew: after a restart or a takeover, permits may
 *  be older than the slot. */
static void
set_resident(sky_shard_t *shard, const target_t *target, slot_t *slot,
             sky_adapter_id_t id, uint64_t now_us)
{
    set_state(shard, slot, SLOT_RESIDENT, id, now_us);
    slot->permits = ShardQueue_CountPermits(shard, target, id);
}

static void
send_order(sky_shard_t *shard, target_t *target, slot_t *slot,
           sky_order_kind_t kind, uint64_t now_us, sky_actions_t *out)
{
    SKY_INVARIANT(SKY_INV_NO_ORDER_WITHOUT_LEASE,
                  SkyMembers_HasLease(shard->members, now_us));
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_ORDER);
    action->u.order.target = target->index;
    action->u.order.kind = kind;
    action->u.order.adapter = slot->adapter;
    action->u.order.fence = shard->fence;
    action->u.order.token = now_us;
    action->u.order.expires_us = SkyMembers_LeaseUntilUs(shard->members);
    slot->ordered_us = now_us;
    target->pending_orders++;
}

static void
begin_load(sky_shard_t *shard, target_t *target, slot_t *slot,
           sky_adapter_id_t adapter, uint64_t now_us, sky_actions_t *out)
{
    set_state(shard, slot, SLOT_LOADING, adapter, now_us);
    slot->last_used_us = now_us;
    shard->stats.loads++;
    send_order(shard, target, slot, SKY_ORDER_LOAD, now_us, out);
}

void
ShardSlots_StartLoad(sky_shard_t *shard, target_t *target, slot_t *slot,
                     adapter_t *adapter, uint64_t now_us, sky_actions_t *out)
{
    SKY_INVARIANT(SKY_INV_LOADS_WITHIN_LIMIT,
                  shard->loads_in_progress < shard->options.transit_max);
    shard->loads_in_progress++;
    if (slot->state == SLOT_FREE) {
        begin_load(shard, target, slot, adapter->id, now_us, out);
        return;
    }
    SKY_INVARIANT(SKY_INV_NO_EVICTION_IN_USE,
                  ShardSlots_CanEvict(shard, target, slot, now_us));
    shard->stats.evictions++;
    sky_adapter_id_t evicted = slot->adapter;
    set_state(shard, slot, SLOT_UNLOADING, evicted, now_us);
    slot->next_adapter = adapter->id;
    update_replica_counts(shard, adapter, 1, 1);
    send_order(shard, target, slot, SKY_ORDER_UNLOAD, now_us, out);
}

/** Cancels the load that was to follow the unload of a slot. */
static void
cancel_next_load(sky_shard_t *shard, slot_t *slot)
{
    if (slot->next_adapter != 0) {
        update_replica_counts(
            shard, ShardSlots_FindOrAddAdapter(shard, slot->next_adapter), -1,
            -1);
        slot->next_adapter = 0;
        shard->loads_in_progress--;
    }
}

static void
record_load_failure(sky_shard_t *shard, adapter_t *adapter, uint64_t now_us)
{
    uint32_t doublings = adapter->consecutive_failures++;
    if (doublings > LOAD_BACKOFF_DOUBLINGS_MAX) {
        doublings = LOAD_BACKOFF_DOUBLINGS_MAX;
    }
    shard->stats.load_failures++;
    shard->last_load_failure_us = now_us;
    adapter->retry_at_us = now_us + (LOAD_BACKOFF_MIN_US << doublings);
    if (++shard->consecutive_load_failures >= CONSECUTIVE_LOAD_FAILURES_MAX) {
        shard->loads_paused_until_us = now_us + LOAD_BACKOFF_MIN_US * 2;
    }
}

static void
record_load(sky_shard_t *shard, adapter_t *adapter, const slot_t *slot,
            uint64_t now_us)
{
    uint64_t load_time_us = now_us - slot->ordered_us;
    adapter->consecutive_failures = 0;
    shard->consecutive_load_failures = 0;
    shard->average_load_us += load_time_us / LOAD_AVERAGE_DIVISOR;
    shard->average_load_us -= shard->average_load_us / LOAD_AVERAGE_DIVISOR;
}

static void
handle_load_result(sky_shard_t *shard, target_t *target, slot_t *slot,
                   sky_order_result_t result, uint64_t now_us,
                   sky_actions_t *out)
{
    sky_adapter_id_t id = slot->adapter;
    adapter_t *adapter = ShardSlots_FindOrAddAdapter(shard, id);
    shard->loads_in_progress--;
    switch (result) {
    case SKY_ORDER_RESULT_DONE:
        record_load(shard, adapter, slot, now_us);
        set_resident(shard, target, slot, id, now_us);
        ShardQueue_GrantForAdapter(shard, adapter, now_us, out);
        break;
    case SKY_ORDER_RESULT_UNKNOWN:
        record_load_failure(shard, adapter, now_us);
        set_state(shard, slot, SLOT_UNKNOWN, id, now_us);
        break;
    case SKY_ORDER_RESULT_FENCED: /* not a failure of the store */
        adapter->retry_at_us = now_us + LOAD_BACKOFF_MIN_US;
        set_state(shard, slot, SLOT_FREE, 0, now_us);
        break;
    case SKY_ORDER_RESULT_FAILED:
        record_load_failure(shard, adapter, now_us);
        set_state(shard, slot, SLOT_FREE, 0, now_us);
        break;
    }
}

static void
handle_unload_result(sky_shard_t *shard, target_t *target, slot_t *slot,
                     sky_order_result_t result, uint64_t now_us,
                     sky_actions_t *out)
{
    sky_adapter_id_t id = slot->adapter;
    sky_adapter_id_t next = slot->next_adapter;
    if (result == SKY_ORDER_RESULT_DONE && next != 0 &&
        SkyMembers_HasLease(shard->members, now_us)) {
        set_state(shard, slot, SLOT_FREE, 0, now_us);
        slot->next_adapter = 0;
        update_replica_counts(shard, ShardSlots_FindOrAddAdapter(shard, next),
                              -1, -1);
        begin_load(shard, target, slot, next, now_us, out);
        return;
    }
    cancel_next_load(shard, slot);
    if (result == SKY_ORDER_RESULT_DONE) {
        set_state(shard, slot, SLOT_FREE, 0, now_us);
    }
    else {
        set_state(shard, slot, SLOT_UNKNOWN, id, now_us);
    }
}

void
SkyShard_ApplyOrderResult(sky_shard_t *shard,
                          const sky_in_order_result_t *order_result,
                          uint64_t now_us, sky_actions_t *out)
{
    target_t *target =
        ShardSlots_FindTarget(shard, order_result->order.target);
    if (target == NULL) {
        return;
    }
    if (target->pending_orders > 0) {
        target->pending_orders--;
    }
    slot_t *slot = ShardSlots_FindSlot(target, order_result->order.adapter);
    if (slot == NULL || shard->phase != SHARD_ACTIVE ||
        slot->ordered_us != order_result->order.token) {
        return;
    }
    if (slot->state == SLOT_LOADING &&
        order_result->order.kind == SKY_ORDER_LOAD) {
        handle_load_result(shard, target, slot, order_result->result, now_us,
                           out);
    }
    else if (slot->state == SLOT_UNLOADING &&
             order_result->order.kind == SKY_ORDER_UNLOAD) {
        handle_unload_result(shard, target, slot, order_result->result, now_us,
                             out);
    }
    ShardPolicy_StartLoads(shard, now_us, out);
}

void
ShardSlots_ClearTarget(sky_shard_t *shard, target_t *target)
{
    for (uint32_t i = 0; i < target->info->slots; i++) {
        slot_t *slot = &target->slots[i];
        cancel_next_load(shard, slot);
        if (slot->state == SLOT_LOADING) {
            shard->loads_in_progress--;
        }
        if (slot->state != SLOT_FREE) {
            set_state(shard, slot, SLOT_FREE, 0, 0);
        }
    }
}

void
ShardSlots_MarkAllPossiblyBusy(sky_shard_t *shard, uint64_t until_us)
{
    for (uint32_t t = 0; t < shard->target_count; t++) {
        target_t *target = &shard->targets[t];
        for (uint32_t i = 0; i < target->info->slots; i++) {
            if (target->slots[i].state != SLOT_FREE) {
                target->slots[i].possibly_busy_until_us = until_us;
            }
        }
    }
}

/* ---- reports ---- */

static const sky_report_slot_t *
find_reported_slot(const sky_report_t *report, sky_adapter_id_t adapter)
{
    for (uint32_t i = 0; i < report->slot_count; i++) {
        if (report->slots[i].adapter == adapter) {
            return &report->slots[i];
        }
    }
    return NULL;
}

static void
apply_report_to_slot(sky_shard_t *shard, const target_t *target, slot_t *slot,
                     const sky_report_t *report, uint64_t report_made_us,
                     uint64_t now_us)
{
    bool has_no_order =
        slot->state == SLOT_RESIDENT || slot->state == SLOT_UNKNOWN;
    if (!has_no_order || report_made_us <= slot->state_changed_us) {
        return;
    }
    const sky_report_slot_t *reported =
        find_reported_slot(report, slot->adapter);
    if (reported == NULL) {
        set_state(shard, slot, SLOT_FREE, 0, now_us);
    }
    else if (slot->state == SLOT_UNKNOWN && !reported->loading) {
        set_resident(shard, target, slot, slot->adapter, now_us);
        slot->possibly_busy_until_us = now_us;
    }
    else if (slot->possibly_busy_until_us != 0 &&
             report_made_us > slot->possibly_busy_until_us &&
             reported->running == 0) {
        slot->possibly_busy_until_us = 0;
    }
}

static void
adopt_reported_slot(sky_shard_t *shard, target_t *target,
                    const sky_report_slot_t *reported, uint64_t now_us)
{
    if (ShardSlots_FindSlot(target, reported->adapter) != NULL) {
        return;
    }
    for (uint32_t i = 0; i < target->info->slots; i++) {
        slot_t *slot = &target->slots[i];
        if (slot->state == SLOT_FREE) {
            set_resident(shard, target, slot, reported->adapter, now_us);
            slot->state = reported->loading ? SLOT_UNKNOWN : SLOT_RESIDENT;
            ShardSlots_FindOrAddAdapter(shard, reported->adapter)->pool =
                target->pool;
            slot->last_used_us = now_us;
            slot->possibly_busy_until_us = now_us;
            return;
        }
    }
}

/** Adopts adapters that the target holds but this owner did not order. */
static void
adopt_unordered_slots(sky_shard_t *shard, target_t *target,
                      const sky_report_t *report, uint64_t report_made_us,
                      uint64_t now_us)
{
    for (uint32_t i = 0; i < target->info->slots; i++) {
        const slot_t *slot = &target->slots[i];
        if (slot->state == SLOT_LOADING || slot->state == SLOT_UNLOADING ||
            report_made_us <= slot->state_changed_us) {
            return; /* the report may still show an evicted adapter */
        }
    }
    for (uint32_t i = 0; i < report->slot_count; i++) {
        adopt_reported_slot(shard, target, &report->slots[i], now_us);
    }
}

typedef struct {
    sky_shard_t *shard;
    uint64_t now_us;
    sky_actions_t *out;
} crash_context_t;

static void
on_crash(const sky_rec_crash_t *crash, void *context)
{
    const crash_context_t *crash_context = context;
    ShardQueue_RecordCrash(crash_context->shard, crash, crash_context->now_us,
                           crash_context->out);
}

static void
handle_report_failure(sky_shard_t *shard, target_t *target, uint64_t now_us,
                      sky_actions_t *out)
{
    if (++target->consecutive_report_failures <
            CONSECUTIVE_REPORT_FAILURES_MAX ||
        target->down) {
        return;
    }
    crash_context_t crash_context = {shard, now_us, out};
    target->down = true;
    ShardQueue_RecordTargetCrash(shard, target, now_us, out);
    SkySuspects_ConfirmCrashes(shard->suspects, target->index, on_crash,
                               &crash_context);
}

static void
apply_epoch(sky_shard_t *shard, target_t *target, uint64_t epoch,
            uint64_t now_us, sky_actions_t *out)
{
    if (target->epoch == epoch) {
        return;
    }
    if (target->epoch != 0) {
        ShardQueue_RecordTargetCrash(shard, target, now_us, out);
        ShardSlots_ClearTarget(shard, target);
    }
    target->epoch = epoch;
}

void
SkyShard_ApplyReport(sky_shard_t *shard, const sky_in_report_t *in,
                     uint64_t now_us, sky_actions_t *out)
{
    target_t *target = ShardSlots_FindTarget(shard, in->target);
    if (target == NULL || shard->phase != SHARD_ACTIVE) {
        return;
    }
    target->report_requested_us = 0;
    if (!in->ok) {
        handle_report_failure(shard, target, now_us, out);
        return;
    }
    uint64_t age_us = in->report.age_us;
    uint64_t report_made_us =
        in->begun_us > age_us ? in->begun_us - age_us : 0;
    crash_context_t crash_context = {shard, now_us, out};
    target->consecutive_report_failures = 0;
    target->down = false;
    target->needs_report = false;
    if (report_made_us <= target->report_made_us) {
        return;
    }
    target->report_made_us = report_made_us;
    apply_epoch(shard, target, in->report.epoch, now_us, out);
    SkySuspects_ApplyReport(shard->suspects, target->index, in->report.epoch,
                            report_made_us, on_crash, &crash_context);
    for (uint32_t i = 0; i < target->info->slots; i++) {
        apply_report_to_slot(shard, target, &target->slots[i], &in->report,
                             report_made_us, now_us);
    }
    adopt_unordered_slots(shard, target, &in->report, report_made_us, now_us);
    ShardQueue_GrantForTarget(shard, target, now_us, out);
    ShardPolicy_StartLoads(shard, now_us, out);
}

void
ShardSlots_RequestReports(sky_shard_t *shard, uint64_t now_us,
                          sky_actions_t *out)
{
    for (uint32_t t = 0; t < shard->target_count; t++) {
        target_t *target = &shard->targets[t];
        uint64_t newest_us = target->report_made_us > shard->activated_us
                                 ? target->report_made_us
                                 : shard->activated_us;
        bool is_requested =
            target->report_requested_us != 0 &&
            now_us < target->report_requested_us + REPORT_TIMEOUT_US;
        bool is_due_now = target->report_made_us <= shard->activated_us ||
                          target->needs_report;
        if (is_requested ||
            (!is_due_now &&
             now_us < newest_us + shard->options.report_interval_us)) {
            continue;
        }
        target->report_requested_us = now_us;
        SkyActions_Add(out, SKY_ACT_READ_REPORT)->u.report_target =
            target->index;
    }
}
