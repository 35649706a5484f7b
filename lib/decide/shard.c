/** @file shard.c @brief Taking over, letting go, collecting permits. */
#include "decide/shard.h"

#include <stdlib.h>
#include <string.h>

#include "decide/shard_state.h"

#define COLLECT_RETRY_US UINT64_C(500000)
#define RECONCILE_US UINT64_C(5000000)
#define OLD_PERMIT_US UINT64_C(10000000)
#define SWEEP_US UINT64_C(500000)
#define PLAN_US UINT64_C(1000000)
#define COLD_HEAT 0.01

static void
init_targets(sky_shard_t *shard, const sky_target_info_t *targets)
{
    for (uint32_t t = 0; t < shard->count; t++) {
        target_t *target = &shard->targets[t];
        target->index = shard->first + t;
        target->info = &targets[target->index];
        target->pool = (uint32_t)SkyName_Hash(target->info->pool);
    }
    shard->domain = shard->targets[0].info->domain;
}

sky_shard_t *
SkyShard_Create(const sky_shard_options_t *options, uint32_t index,
                const sky_target_info_t *targets, uint32_t first,
                uint32_t count, sky_members_t *members)
{
    sky_shard_t *shard = calloc(1, sizeof *shard);
    if (shard == NULL) {
        return NULL;
    }
    shard->options = *options;
    shard->index = index;
    shard->first = first;
    shard->count = count;
    shard->members = members;
    shard->load_us = options->load_us;
    shard->targets = calloc(count, sizeof *shard->targets);
    shard->suspects = SkySuspects_Create(options->quarantine_us);
    if (shard->targets == NULL || shard->suspects == NULL) {
        SkyShard_Free(shard);
        return NULL;
    }
    init_targets(shard, targets);
    return shard;
}

static void
forget_collects(sky_shard_t *shard)
{
    collect_t *collect;
    collect_t *next;
    HASH_ITER(hh, shard->collects, collect, next)
    {
        HASH_DEL(shard->collects, collect);
        free(collect);
    }
}

static void
free_adapters(sky_shard_t *shard)
{
    adapter_t *adapter;
    adapter_t *next;
    HASH_ITER(hh, shard->adapters, adapter, next)
    {
        HASH_DEL(shard->adapters, adapter);
        free(adapter);
    }
}

void
SkyShard_Free(sky_shard_t *shard)
{
    if (shard == NULL) {
        return;
    }
    ShardQueue_Clear(shard);
    forget_collects(shard);
    free_adapters(shard);
    SkySuspects_Free(shard->suspects);
    free(shard->wanted);
    free(shard->targets);
    free(shard);
}

/* ---- collecting permits ---- */

static void
send_collect(sky_shard_t *shard, collect_t *collect, uint64_t now_us,
             sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_Send(out, collect->host, SKY_MSG_COLLECT);
    msg->u.shard.shard = shard->index;
    msg->u.shard.round = collect->round;
    msg->u.shard.fence = shard->fence;
    collect->received = 0;
    collect->sent_us = now_us;
}

static void
collect_from(sky_shard_t *shard, sky_host_id_t host, bool takeover,
             uint64_t now_us, sky_actions_t *out)
{
    collect_t *collect;
    HASH_FIND(hh, shard->collects, &host, sizeof host, collect);
    if (collect == NULL) {
        collect = calloc(1, sizeof *collect);
        if (collect == NULL) {
            abort();
        }
        collect->host = host;
        collect->takeover = takeover;
        HASH_ADD(hh, shard->collects, host, sizeof host, collect);
    }
    collect->round = shard->round;
    send_collect(shard, collect, now_us, out);
}

/** Permits of an earlier round that the entry host does not list are gone. */
static void
drop_unlisted(sky_shard_t *shard, const collect_t *collect, uint64_t now_us,
              sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, shard->requests, request, next)
    {
        if (request->entry == collect->host &&
            request->target != SKY_NO_TARGET &&
            request->granted_round < collect->round &&
            request->listed_round < collect->round) {
            ShardQueue_Drop(shard, request, now_us, out);
        }
    }
}

static void
take_inflight(sky_shard_t *shard, sky_host_id_t from,
              const sky_msg_inflight_t *inflight, uint64_t now_us,
              sky_actions_t *out)
{
    collect_t *collect;
    HASH_FIND(hh, shard->collects, &from, sizeof from, collect);
    if (collect == NULL || inflight->round != collect->round) {
        return;
    }
    for (uint32_t i = 0; i < inflight->count; i++) {
        ShardQueue_Adopt(shard, from, &inflight->permits[i], now_us);
    }
    collect->received += inflight->count;
    if (collect->received < inflight->total) {
        return;
    }
    drop_unlisted(shard, collect, now_us, out);
    HASH_DEL(shard->collects, collect);
    free(collect);
}

static void
retry_collects(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    collect_t *collect;
    collect_t *next;
    HASH_ITER(hh, shard->collects, collect, next)
    {
        if (SkyMembers_Find(shard->members, collect->host) == NULL) {
            HASH_DEL(shard->collects, collect);
            free(collect);
        }
        else if (now_us >= collect->sent_us + COLLECT_RETRY_US) {
            send_collect(shard, collect, now_us, out);
        }
    }
}

/** Finds permits whose return was lost. */
static void
reconcile(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    if (now_us < shard->reconciled_us + RECONCILE_US) {
        return;
    }
    shard->reconciled_us = now_us;
    const request_t *request;
    bool next_round = true;
    for (request = shard->requests; request != NULL;
         request = request->hh.next) {
        collect_t *collect;
        HASH_FIND(hh, shard->collects, &request->entry, sizeof request->entry,
                  collect);
        if (request->target == SKY_NO_TARGET || collect != NULL ||
            now_us < request->granted_us + OLD_PERMIT_US) {
            continue;
        }
        shard->round += next_round;
        next_round = false;
        collect_from(shard, request->entry, false, now_us, out);
    }
}

/* ---- ownership ---- */

static void
become_active(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    size_t count;
    const sky_member_t *members = SkyMembers_List(shard->members, &count);
    shard->phase = SHARD_ACTIVE;
    shard->fence = SkyMembers_View(shard->members);
    shard->active_us = now_us;
    shard->stats.takeovers++;
    shard->stats.takeover_wait_us = now_us - shard->view_us;
    shard->round++;
    if (shard->options.off & SKY_OFF_COLLECT) {
        count = 0;
    }
    for (size_t i = 0; i < count; i++) {
        collect_from(shard, members[i].host, true, now_us, out);
    }
    ShardSlots_AskReports(shard, now_us, out);
}

static bool
predecessor_let_go(const sky_shard_t *shard)
{
    return shard->handover_from != 0 &&
           shard->handover_fence >= shard->takeover_fence;
}

static void
begin_takeover(sky_shard_t *shard, uint64_t now_us)
{
    shard->phase = SHARD_WAITING;
    shard->handover_to = 0;
    shard->view_us = now_us;
    shard->takeover_fence = SkyMembers_View(shard->members);
}

static void
let_go(sky_shard_t *shard, sky_host_id_t successor)
{
    if (shard->phase == SHARD_ACTIVE) {
        shard->handover_to = successor;
    }
    shard->phase = SHARD_IDLE;
    shard->fence = SkyMembers_View(shard->members);
    forget_collects(shard);
    ShardQueue_Clear(shard);
    for (uint32_t t = 0; t < shard->count; t++) {
        ShardSlots_Clear(shard, &shard->targets[t]);
        shard->targets[t].asked_us = 0;
    }
    shard->handover_from = 0;
}

static void
drop_removed_entries(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, shard->requests, request, next)
    {
        if (SkyMembers_Find(shard->members, request->entry) == NULL) {
            ShardQueue_Drop(shard, request, now_us, out);
        }
    }
}

void
SkyShard_ViewChanged(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    sky_host_id_t self = SkyMembers_Self(shard->members);
    sky_host_id_t owner =
        SkyMembers_Owner(shard->members, shard->index, shard->domain);
    if (owner != self) {
        if (shard->phase != SHARD_IDLE) {
            let_go(shard, owner);
        }
        return;
    }
    if (shard->phase == SHARD_IDLE) {
        begin_takeover(shard, now_us);
        return;
    }
    if (shard->phase == SHARD_ACTIVE) {
        shard->fence = SkyMembers_View(shard->members);
        drop_removed_entries(shard, now_us, out);
    }
}

static bool
orders_under_way(const sky_shard_t *shard)
{
    for (uint32_t t = 0; t < shard->count; t++) {
        if (shard->targets[t].orders > 0) {
            return true;
        }
    }
    return false;
}

bool
SkyShard_IsQuiet(const sky_shard_t *shard)
{
    return shard->handover_to == 0 && !orders_under_way(shard);
}

static void
hand_over(sky_shard_t *shard, sky_actions_t *out)
{
    if (shard->handover_to == 0 || orders_under_way(shard)) {
        return;
    }
    sky_msg_t *msg =
        SkyActions_Send(out, shard->handover_to, SKY_MSG_HANDOVER);
    msg->u.shard.shard = shard->index;
    msg->u.shard.fence = shard->fence;
    shard->handover_to = 0;
}

/* ---- messages and time ---- */

static void
acquire(sky_shard_t *shard, const sky_in_message_t *in, uint64_t now_us,
        sky_actions_t *out)
{
    if (shard->phase == SHARD_ACTIVE) {
        ShardQueue_Acquire(shard, in->from, &in->msg.u.acquire, now_us, out);
    }
    /* Else no answer: the entry host asks again until its deadline. */
}

void
SkyShard_Message(sky_shard_t *shard, const sky_in_message_t *in,
                 uint64_t now_us, sky_actions_t *out)
{
    switch (in->msg.kind) {
    case SKY_MSG_ACQUIRE:
        acquire(shard, in, now_us, out);
        break;
    case SKY_MSG_DONE:
        ShardQueue_Done(shard, &in->msg.u.done, now_us, out);
        break;
    case SKY_MSG_INFLIGHT:
        take_inflight(shard, in->from, &in->msg.u.inflight, now_us, out);
        break;
    case SKY_MSG_HANDOVER:
        shard->handover_from = in->from;
        shard->handover_fence = in->msg.u.shard.fence;
        break;
    default:
        break;
    }
}

void
SkyShard_SetLeaving(sky_shard_t *shard, uint32_t index, bool leaving)
{
    target_t *target = ShardSlots_Target(shard, index);
    if (target != NULL) {
        shard->plan_due = shard->plan_due || target->leaving != leaving;
        target->leaving = leaving;
    }
}

void
SkyShard_SetWanted(sky_shard_t *shard, const sky_wanted_t *wanted,
                   uint32_t count)
{
    sky_wanted_t *copy = NULL;
    if (count > 0) {
        copy = malloc(count * sizeof *copy);
        if (copy == NULL) {
            return;
        }
        memcpy(copy, wanted, count * sizeof *copy);
    }
    free(shard->wanted);
    shard->wanted = copy;
    shard->wanted_count = count;
    shard->plan_due = true;
}

void
SkyShard_Hold(sky_shard_t *shard, const sky_rec_crash_t *crash,
              uint64_t now_us)
{
    SkySuspects_RecordUnconfirmedCrash(shard->suspects, crash, now_us);
}

void
SkyShard_ApplyCrash(sky_shard_t *shard, const sky_record_t *record,
                    uint64_t now_us)
{
    if (shard->options.off & SKY_OFF_CRASH_COUNT) {
        return;
    }
    if (record->kind == SKY_REC_CRASH) {
        SkySuspects_RecordCrash(shard->suspects, &record->u.crash, now_us);
    }
    else {
        SkySuspects_RecordUnconfirmedCrash(shard->suspects, &record->u.crash, now_us);
    }
}

static void
forget_cold_adapters(sky_shard_t *shard, uint64_t now_us)
{
    adapter_t *adapter;
    adapter_t *next;
    HASH_ITER(hh, shard->adapters, adapter, next)
    {
        if (adapter->users == 0 && adapter->copies == 0 &&
            adapter->wanted_copies == 0 &&
            ShardQueue_Heat(adapter, now_us) < COLD_HEAT) {
            HASH_DEL(shard->adapters, adapter);
            free(adapter);
        }
    }
}

static void
sweep(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    if (now_us < shard->swept_us + SWEEP_US) {
        return;
    }
    shard->swept_us = now_us;
    ShardQueue_Expire(shard, now_us, out);
    forget_cold_adapters(shard, now_us);
    ShardPolicy_Refill(shard, now_us, out);
}

static void
plan(sky_shard_t *shard, uint64_t now_us)
{
    if (shard->plan_due || now_us >= shard->planned_us + PLAN_US) {
        shard->plan_due = false;
        shard->planned_us = now_us;
        ShardPolicy_PlanWanted(shard, now_us);
    }
}

void
SkyShard_Tick(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    uint64_t wait_us = shard->options.off & SKY_OFF_TAKEOVER_WAIT
                           ? 0
                           : SkyMembers_TakeoverUs(shard->members);
    hand_over(shard, out);
    SkySuspects_Expire(shard->suspects, now_us);
    if (shard->phase == SHARD_WAITING &&
        SkyMembers_HoldsLease(shard->members, now_us) &&
        (now_us >= shard->view_us + wait_us || predecessor_let_go(shard))) {
        become_active(shard, now_us, out);
    }
    if (shard->phase != SHARD_ACTIVE) {
        return;
    }
    retry_collects(shard, now_us, out);
    reconcile(shard, now_us, out);
    ShardSlots_AskReports(shard, now_us, out);
    plan(shard, now_us);
    sweep(shard, now_us, out);
    for (uint32_t t = 0; t < shard->count; t++) {
        ShardQueue_ServeTarget(shard, &shard->targets[t], now_us, out);
    }
    ShardPolicy_Pump(shard, now_us, out);
}

bool
SkyShard_IsActive(const sky_shard_t *shard)
{
    return shard->phase == SHARD_ACTIVE;
}

uint32_t
SkyShard_WaitingCount(const sky_shard_t *shard)
{
    return shard->waiting_count;
}

uint32_t
SkyShard_TargetCount(const sky_shard_t *shard)
{
    return shard->count;
}

const sky_shard_stats_t *
SkyShard_Stats(const sky_shard_t *shard)
{
    return &shard->stats;
}

void
SkyShard_Describe(const sky_shard_t *shard, uint32_t nth,
                  sky_target_status_t *status)
{
    const target_t *target = &shard->targets[nth];
    memset(status, 0, sizeof *status);
    status->target = target->index;
    status->leaving = target->leaving;
    status->down = target->down;
    status->reported = target->made_us > shard->active_us;
    status->permits = target->permits;
    for (uint32_t i = 0; i < target->info->slots; i++) {
        if (target->slots[i].state == SLOT_RESIDENT) {
            status->resident[status->resident_count++] =
                target->slots[i].adapter;
        }
    }
}
