/** @file shard_slots.c @brief Targets, slots, orders and reports. */
#include "decide/shard_state.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"

#define FAILED_REPORTS_MAX 3
#define REPORT_WAIT_US UINT64_C(3000000)
#define FIRST_BACKOFF_US UINT64_C(500000)
#define BACKOFF_DOUBLINGS_MAX 5
#define LOAD_AVERAGE_WEIGHT 4 /* a new load counts a quarter */

target_t *
ShardSlots_Target(sky_shard_t *shard, uint32_t index)
{
    if (index < shard->first || index >= shard->first + shard->count) {
        return NULL;
    }
    return &shard->targets[index - shard->first];
}

slot_t *
ShardSlots_Find(target_t *target, sky_adapter_id_t adapter)
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
ShardSlots_Adapter(sky_shard_t *shard, sky_adapter_id_t id)
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
ShardSlots_IsUsable(const sky_shard_t *shard, const target_t *target,
                    uint32_t pool)
{
    return target->pool == pool && !target->leaving && !target->down &&
           !target->unsure && target->made_us > shard->active_us;
}

static bool
collecting(const sky_shard_t *shard)
{
    const collect_t *collect;
    for (collect = shard->collects; collect != NULL;
         collect = collect->hh.next) {
        if (collect->takeover) {
            return true;
        }
    }
    return false;
}

bool
ShardSlots_MayEvict(const sky_shard_t *shard, const target_t *target,
                    const slot_t *slot, uint64_t now_us)
{
    return slot->state == SLOT_RESIDENT && slot->permits == 0 &&
           (slot->doubt_us == 0 || (shard->options.off & SKY_OFF_DOUBT)) &&
           target->made_us > shard->active_us &&
           SkyMembers_MayEvict(shard->members, now_us) && !collecting(shard);
}

static bool
waits_without_copy(const adapter_t *adapter)
{
    return adapter->waiting_count > 0 && adapter->copies == 0;
}

/** The one place where the counts of an adapter and of the adapters that wait
 *  without a copy change. */
static void
change_counts(sky_shard_t *shard, adapter_t *adapter, int waiting, int copies,
              int loading)
{
    shard->pending_adapters -= waits_without_copy(adapter);
    adapter->waiting_count += (uint32_t)waiting;
    adapter->copies += (uint32_t)copies;
    adapter->loading += (uint32_t)loading;
    shard->pending_adapters += waits_without_copy(adapter);
}

static void
count_copies(sky_shard_t *shard, adapter_t *adapter, int copies, int loading)
{
    change_counts(shard, adapter, 0, copies, loading);
}

void
ShardSlots_NoteWaiting(sky_shard_t *shard, adapter_t *adapter, int change)
{
    change_counts(shard, adapter, change, 0, 0);
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
    SKY_INVARIANT(SKY_INV_ADAPTER, state == SLOT_FREE || id != 0);
    if (slot->state != SLOT_FREE) {
        count_copies(shard, ShardSlots_Adapter(shard, slot->adapter), -1,
                     -(int)is_loading(slot));
    }
    slot->state = state;
    slot->adapter = state == SLOT_FREE ? 0 : id;
    slot->changed_us = now_us;
    if (slot->state != SLOT_FREE) {
        count_copies(shard, ShardSlots_Adapter(shard, id), 1,
                     is_loading(slot));
    }
    else {
        slot->permits = 0;
        slot->doubt_us = 0;
    }
}

/** Permits may be older than the slot: after a restart or a takeover. */
static void
set_resident(sky_shard_t *shard, const target_t *target, slot_t *slot,
             sky_adapter_id_t id, uint64_t now_us)
{
    set_state(shard, slot, SLOT_RESIDENT, id, now_us);
    slot->permits = ShardQueue_CountPermits(shard, target, id);
}

static void
order(sky_shard_t *shard, target_t *target, slot_t *slot,
      sky_order_kind_t kind, uint64_t now_us, sky_actions_t *out)
{
    SKY_INVARIANT(SKY_INV_LEASE,
                  SkyMembers_HoldsLease(shard->members, now_us));
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_ORDER);
    action->u.order.target = target->index;
    action->u.order.kind = kind;
    action->u.order.adapter = slot->adapter;
    action->u.order.fence = shard->fence;
    action->u.order.token = now_us;
    action->u.order.expires_us = SkyMembers_LeaseUntilUs(shard->members);
    slot->ordered_us = now_us;
    target->orders++;
}

static void
begin_load(sky_shard_t *shard, target_t *target, slot_t *slot,
           sky_adapter_id_t adapter, uint64_t now_us, sky_actions_t *out)
{
    set_state(shard, slot, SLOT_LOADING, adapter, now_us);
    slot->used_us = now_us;
    shard->stats.loads++;
    order(shard, target, slot, SKY_ORDER_LOAD, now_us, out);
}

void
ShardSlots_Load(sky_shard_t *shard, target_t *target, slot_t *slot,
                adapter_t *adapter, uint64_t now_us, sky_actions_t *out)
{
    SKY_INVARIANT(SKY_INV_TRANSIT,
                  shard->in_transit < shard->options.transit_max);
    shard->in_transit++;
    if (slot->state == SLOT_FREE) {
        begin_load(shard, target, slot, adapter->id, now_us, out);
        return;
    }
    SKY_INVARIANT(SKY_INV_EVICTION,
                  ShardSlots_MayEvict(shard, target, slot, now_us));
    shard->stats.evictions++;
    sky_adapter_id_t leaving = slot->adapter;
    set_state(shard, slot, SLOT_UNLOADING, leaving, now_us);
    slot->next = adapter->id;
    count_copies(shard, adapter, 1, 1);
    order(shard, target, slot, SKY_ORDER_UNLOAD, now_us, out);
}

/** The load that a slot was to do next will not happen now. */
static void
drop_next(sky_shard_t *shard, slot_t *slot)
{
    if (slot->next != 0) {
        count_copies(shard, ShardSlots_Adapter(shard, slot->next), -1, -1);
        slot->next = 0;
        shard->in_transit--;
    }
}

static void
note_load_failure(sky_shard_t *shard, adapter_t *adapter, uint64_t now_us)
{
    uint32_t doublings = adapter->failures++;
    if (doublings > BACKOFF_DOUBLINGS_MAX) {
        doublings = BACKOFF_DOUBLINGS_MAX;
    }
    shard->stats.load_failures++;
    shard->store_failed_us = now_us;
    adapter->retry_us = now_us + (FIRST_BACKOFF_US << doublings);
    if (++shard->store_failures >= STORE_FAILURES_MAX) {
        shard->store_retry_us = now_us + FIRST_BACKOFF_US * 2;
    }
}

static void
note_load(sky_shard_t *shard, adapter_t *adapter, const slot_t *slot,
          uint64_t now_us)
{
    uint64_t took_us = now_us - slot->ordered_us;
    adapter->failures = 0;
    shard->store_failures = 0;
    shard->load_us += took_us / LOAD_AVERAGE_WEIGHT;
    shard->load_us -= shard->load_us / LOAD_AVERAGE_WEIGHT;
}

static void
load_done(sky_shard_t *shard, target_t *target, slot_t *slot,
          sky_ordered_t result, uint64_t now_us, sky_actions_t *out)
{
    sky_adapter_id_t id = slot->adapter;
    adapter_t *adapter = ShardSlots_Adapter(shard, id);
    shard->in_transit--;
    switch (result) {
    case SKY_ORDERED_DONE:
        note_load(shard, adapter, slot, now_us);
        set_resident(shard, target, slot, id, now_us);
        ShardQueue_Serve(shard, adapter, now_us, out);
        break;
    case SKY_ORDERED_UNKNOWN:
        note_load_failure(shard, adapter, now_us);
        set_state(shard, slot, SLOT_UNKNOWN, id, now_us);
        break;
    case SKY_ORDERED_FENCED: /* says nothing of the store */
        adapter->retry_us = now_us + FIRST_BACKOFF_US;
        set_state(shard, slot, SLOT_FREE, 0, now_us);
        break;
    case SKY_ORDERED_FAILED:
        note_load_failure(shard, adapter, now_us);
        set_state(shard, slot, SLOT_FREE, 0, now_us);
        break;
    }
}

static void
unload_done(sky_shard_t *shard, target_t *target, slot_t *slot,
            sky_ordered_t result, uint64_t now_us, sky_actions_t *out)
{
    sky_adapter_id_t id = slot->adapter;
    sky_adapter_id_t next = slot->next;
    if (result == SKY_ORDERED_DONE && next != 0 &&
        SkyMembers_HoldsLease(shard->members, now_us)) {
        set_state(shard, slot, SLOT_FREE, 0, now_us);
        slot->next = 0;
        count_copies(shard, ShardSlots_Adapter(shard, next), -1, -1);
        begin_load(shard, target, slot, next, now_us, out);
        return;
    }
    drop_next(shard, slot);
    if (result == SKY_ORDERED_DONE) {
        set_state(shard, slot, SLOT_FREE, 0, now_us);
    }
    else {
        set_state(shard, slot, SLOT_UNKNOWN, id, now_us);
    }
}

void
SkyShard_OrderDone(sky_shard_t *shard, const sky_in_order_done_t *done,
                   uint64_t now_us, sky_actions_t *out)
{
    target_t *target = ShardSlots_Target(shard, done->order.target);
    if (target == NULL) {
        return;
    }
    if (target->orders > 0) {
        target->orders--;
    }
    slot_t *slot = ShardSlots_Find(target, done->order.adapter);
    if (slot == NULL || shard->phase != SHARD_ACTIVE ||
        slot->ordered_us != done->order.token) {
        return;
    }
    if (slot->state == SLOT_LOADING && done->order.kind == SKY_ORDER_LOAD) {
        load_done(shard, target, slot, done->result, now_us, out);
    }
    else if (slot->state == SLOT_UNLOADING &&
             done->order.kind == SKY_ORDER_UNLOAD) {
        unload_done(shard, target, slot, done->result, now_us, out);
    }
    ShardPolicy_Pump(shard, now_us, out);
}

void
ShardSlots_Clear(sky_shard_t *shard, target_t *target)
{
    for (uint32_t i = 0; i < target->info->slots; i++) {
        slot_t *slot = &target->slots[i];
        drop_next(shard, slot);
        if (slot->state == SLOT_LOADING) {
            shard->in_transit--;
        }
        if (slot->state != SLOT_FREE) {
            set_state(shard, slot, SLOT_FREE, 0, 0);
        }
    }
}

void
ShardSlots_DoubtAll(sky_shard_t *shard, uint64_t until_us)
{
    for (uint32_t t = 0; t < shard->count; t++) {
        target_t *target = &shard->targets[t];
        for (uint32_t i = 0; i < target->info->slots; i++) {
            if (target->slots[i].state != SLOT_FREE) {
                target->slots[i].doubt_us = until_us;
            }
        }
    }
}

/* ---- reports ---- */

static const sky_report_slot_t *
find_reported(const sky_report_t *report, sky_adapter_id_t adapter)
{
    for (uint32_t i = 0; i < report->slot_count; i++) {
        if (report->slots[i].adapter == adapter) {
            return &report->slots[i];
        }
    }
    return NULL;
}

static void
correct_slot(sky_shard_t *shard, const target_t *target, slot_t *slot,
             const sky_report_t *report, uint64_t made_us, uint64_t now_us)
{
    bool settled = slot->state == SLOT_RESIDENT || slot->state == SLOT_UNKNOWN;
    if (!settled || made_us <= slot->changed_us) {
        return;
    }
    const sky_report_slot_t *seen = find_reported(report, slot->adapter);
    if (seen == NULL) {
        set_state(shard, slot, SLOT_FREE, 0, now_us);
    }
    else if (slot->state == SLOT_UNKNOWN && !seen->loading) {
        set_resident(shard, target, slot, slot->adapter, now_us);
        slot->doubt_us = now_us;
    }
    else if (slot->doubt_us != 0 && made_us > slot->doubt_us &&
             seen->running == 0) {
        slot->doubt_us = 0;
    }
}

static void
adopt_slot(sky_shard_t *shard, target_t *target, const sky_report_slot_t *seen,
           uint64_t now_us)
{
    if (ShardSlots_Find(target, seen->adapter) != NULL) {
        return;
    }
    for (uint32_t i = 0; i < target->info->slots; i++) {
        slot_t *slot = &target->slots[i];
        if (slot->state == SLOT_FREE) {
            set_resident(shard, target, slot, seen->adapter, now_us);
            slot->state = seen->loading ? SLOT_UNKNOWN : SLOT_RESIDENT;
            ShardSlots_Adapter(shard, seen->adapter)->pool = target->pool;
            slot->used_us = now_us;
            slot->doubt_us = now_us;
            return;
        }
    }
}

/** Adopts what the target holds beyond what this owner ordered. */
static void
adopt_unknown(sky_shard_t *shard, target_t *target, const sky_report_t *report,
              uint64_t made_us, uint64_t now_us)
{
    for (uint32_t i = 0; i < target->info->slots; i++) {
        const slot_t *slot = &target->slots[i];
        if (slot->state == SLOT_LOADING || slot->state == SLOT_UNLOADING ||
            made_us <= slot->changed_us) {
            return; /* the report may still show what is on its way out */
        }
    }
    for (uint32_t i = 0; i < report->slot_count; i++) {
        adopt_slot(shard, target, &report->slots[i], now_us);
    }
}

typedef struct {
    sky_shard_t *shard;
    uint64_t now_us;
    sky_actions_t *out;
} crash_context_t;

static void
record_crash(const sky_rec_crash_t *crash, void *context)
{
    const crash_context_t *at = context;
    ShardQueue_CountCrash(at->shard, crash, at->now_us, at->out);
}

static void
report_failed(sky_shard_t *shard, target_t *target, uint64_t now_us,
              sky_actions_t *out)
{
    if (++target->failed_reports < FAILED_REPORTS_MAX || target->down) {
        return;
    }
    crash_context_t crashes = {shard, now_us, out};
    target->down = true;
    ShardQueue_TargetLost(shard, target, now_us, out);
    SkySuspects_ConfirmCrashes(shard->suspects, target->index, record_crash,
                           &crashes);
}

static void
take_epoch(sky_shard_t *shard, target_t *target, uint64_t epoch,
           uint64_t now_us, sky_actions_t *out)
{
    if (target->epoch == epoch) {
        return;
    }
    if (target->epoch != 0) {
        ShardQueue_TargetLost(shard, target, now_us, out);
        ShardSlots_Clear(shard, target);
    }
    target->epoch = epoch;
}

void
SkyShard_Report(sky_shard_t *shard, const sky_in_report_t *in, uint64_t now_us,
                sky_actions_t *out)
{
    target_t *target = ShardSlots_Target(shard, in->target);
    if (target == NULL || shard->phase != SHARD_ACTIVE) {
        return;
    }
    target->asked_us = 0;
    if (!in->ok) {
        report_failed(shard, target, now_us, out);
        return;
    }
    uint64_t age_us = in->report.age_us;
    uint64_t made_us = in->begun_us > age_us ? in->begun_us - age_us : 0;
    crash_context_t crashes = {shard, now_us, out};
    target->failed_reports = 0;
    target->down = false;
    target->unsure = false;
    if (made_us <= target->made_us) {
        return;
    }
    target->made_us = made_us;
    take_epoch(shard, target, in->report.epoch, now_us, out);
    SkySuspects_ApplyReport(shard->suspects, target->index, in->report.epoch,
                        made_us, record_crash, &crashes);
    for (uint32_t i = 0; i < target->info->slots; i++) {
        correct_slot(shard, target, &target->slots[i], &in->report, made_us,
                     now_us);
    }
    adopt_unknown(shard, target, &in->report, made_us, now_us);
    ShardQueue_ServeTarget(shard, target, now_us, out);
    ShardPolicy_Pump(shard, now_us, out);
}

void
ShardSlots_AskReports(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    for (uint32_t t = 0; t < shard->count; t++) {
        target_t *target = &shard->targets[t];
        uint64_t newest_us = target->made_us > shard->active_us
                                 ? target->made_us
                                 : shard->active_us;
        bool asked = target->asked_us != 0 &&
                     now_us < target->asked_us + REPORT_WAIT_US;
        bool first = target->made_us <= shard->active_us || target->unsure;
        if (asked ||
            (!first && now_us < newest_us + shard->options.report_us)) {
            continue;
        }
        target->asked_us = now_us;
        SkyActions_Add(out, SKY_ACT_REPORT)->u.report_target = target->index;
    }
}
