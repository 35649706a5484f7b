/**
 * @file shard.c
 * @brief Ownership of a shard: takeover, handover, collection of permits.
 */
#include "decide/shard.h"

#include <stdlib.h>
#include <string.h>

#include "decide/shard_state.h"

#define COLLECT_RETRY_INTERVAL_US UINT64_C(500000)
#define RECONCILE_INTERVAL_US UINT64_C(5000000)
#define RECONCILED_PERMIT_AGE_US UINT64_C(10000000)
#define SWEEP_INTERVAL_US UINT64_C(500000)
#define PRELOAD_PLAN_INTERVAL_US UINT64_C(1000000)
/* Unused adapters below this popularity are removed. */
#define RETAINED_POPULARITY_MIN 0.01

static void
init_targets(sky_shard_t *shard, const sky_target_info_t *targets)
{
    for (uint32_t t = 0; t < shard->target_count; t++) {
        target_t *target = &shard->targets[t];
        target->index = shard->first_target + t;
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
    shard->first_target = first;
    shard->target_count = count;
    shard->members = members;
    shard->average_load_us = options->initial_load_us;
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
free_collections(sky_shard_t *shard)
{
    permit_collection_t *collection;
    permit_collection_t *next;
    HASH_ITER(hh, shard->collections, collection, next)
    {
        HASH_DEL(shard->collections, collection);
        free(collection);
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
    free_collections(shard);
    free_adapters(shard);
    SkySuspects_Free(shard->suspects);
    free(shard->preloads);
    free(shard->targets);
    free(shard);
}

/* ---- collecting the permits in use ---- */

static void
send_collect_message(sky_shard_t *shard, permit_collection_t *collection,
                     uint64_t now_us, sky_actions_t *out)
{
    sky_msg_t *msg =
        SkyActions_AddSend(out, collection->host, SKY_MSG_COLLECT_PERMITS);
    msg->u.shard.shard = shard->index;
    msg->u.shard.round = collection->round;
    msg->u.shard.fence = shard->fence;
    collection->received_count = 0;
    collection->requested_us = now_us;
}

static void
request_permits_from(sky_shard_t *shard, sky_host_id_t host, bool takeover,
                     uint64_t now_us, sky_actions_t *out)
{
    permit_collection_t *collection;
    HASH_FIND(hh, shard->collections, &host, sizeof host, collection);
    if (collection == NULL) {
        collection = calloc(1, sizeof *collection);
        if (collection == NULL) {
            abort();
        }
        collection->host = host;
        collection->blocks_eviction = takeover;
        HASH_ADD(hh, shard->collections, host, sizeof host, collection);
    }
    collection->round = shard->collection_round;
    send_collect_message(shard, collection, now_us, out);
}

/** Drops permits of an earlier round that their entry host did not list. */
static void
drop_unlisted_permits(sky_shard_t *shard,
                      const permit_collection_t *collection, uint64_t now_us,
                      sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, shard->requests, request, next)
    {
        if (request->entry_host == collection->host &&
            request->target != SKY_INDEX_NONE &&
            request->granted_round < collection->round &&
            request->listed_round < collection->round) {
            ShardQueue_DropRequest(shard, request, now_us, out);
        }
    }
}

static void
handle_permit_list(sky_shard_t *shard, sky_host_id_t from,
                   const sky_msg_permit_list_t *permit_list, uint64_t now_us,
                   sky_actions_t *out)
{
    permit_collection_t *collection;
    HASH_FIND(hh, shard->collections, &from, sizeof from, collection);
    if (collection == NULL || permit_list->round != collection->round) {
        return;
    }
    for (uint32_t i = 0; i < permit_list->count; i++) {
        ShardQueue_AdoptPermit(shard, from, &permit_list->permits[i], now_us);
    }
    collection->received_count += permit_list->count;
    if (collection->received_count < permit_list->total) {
        return;
    }
    drop_unlisted_permits(shard, collection, now_us, out);
    HASH_DEL(shard->collections, collection);
    free(collection);
}

static void
retry_collections(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    permit_collection_t *collection;
    permit_collection_t *next;
    HASH_ITER(hh, shard->collections, collection, next)
    {
        if (SkyMembers_Find(shard->members, collection->host) == NULL) {
            HASH_DEL(shard->collections, collection);
            free(collection);
        }
        else if (now_us >=
                 collection->requested_us + COLLECT_RETRY_INTERVAL_US) {
            send_collect_message(shard, collection, now_us, out);
        }
    }
}

/** Asks the entry hosts of old permits whether they are still in use: the
 *  message that returns a permit may be lost. */
static void
reconcile_old_permits(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    if (now_us < shard->last_reconciled_us + RECONCILE_INTERVAL_US) {
        return;
    }
    shard->last_reconciled_us = now_us;
    const request_t *request;
    bool is_first = true;
    for (request = shard->requests; request != NULL;
         request = request->hh.next) {
        permit_collection_t *collection;
        HASH_FIND(hh, shard->collections, &request->entry_host,
                  sizeof request->entry_host, collection);
        if (request->target == SKY_INDEX_NONE || collection != NULL ||
            now_us < request->granted_us + RECONCILED_PERMIT_AGE_US) {
            continue;
        }
        shard->collection_round += is_first;
        is_first = false;
        request_permits_from(shard, request->entry_host, false, now_us, out);
    }
}

/* ---- ownership ---- */

static void
activate(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    size_t count;
    const sky_member_t *members = SkyMembers_GetList(shard->members, &count);
    shard->phase = SHARD_ACTIVE;
    shard->fence = SkyMembers_ViewOffset(shard->members);
    shard->activated_us = now_us;
    shard->stats.takeovers++;
    shard->stats.takeover_wait_us = now_us - shard->became_owner_us;
    shard->collection_round++;
    if (shard->options.disabled_mechanisms & SKY_DISABLE_PERMIT_COLLECTION) {
        count = 0;
    }
    for (size_t i = 0; i < count; i++) {
        request_permits_from(shard, members[i].host, true, now_us, out);
    }
    ShardSlots_RequestReports(shard, now_us, out);
}

static bool
predecessor_handed_over(const sky_shard_t *shard)
{
    return shard->handover_from != 0 &&
           shard->handover_fence >= shard->takeover_fence;
}

static void
begin_takeover(sky_shard_t *shard, uint64_t now_us)
{
    shard->phase = SHARD_TAKING_OVER;
    shard->handover_to = 0;
    shard->became_owner_us = now_us;
    shard->takeover_fence = SkyMembers_ViewOffset(shard->members);
}

static void
release_ownership(sky_shard_t *shard, sky_host_id_t successor)
{
    if (shard->phase == SHARD_ACTIVE) {
        shard->handover_to = successor;
    }
    shard->phase = SHARD_NOT_OWNED;
    shard->fence = SkyMembers_ViewOffset(shard->members);
    free_collections(shard);
    ShardQueue_Clear(shard);
    for (uint32_t t = 0; t < shard->target_count; t++) {
        ShardSlots_ClearTarget(shard, &shard->targets[t]);
        shard->targets[t].report_requested_us = 0;
    }
    shard->handover_from = 0;
}

static void
drop_requests_of_removed_hosts(sky_shard_t *shard, uint64_t now_us,
                               sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, shard->requests, request, next)
    {
        if (SkyMembers_Find(shard->members, request->entry_host) == NULL) {
            ShardQueue_DropRequest(shard, request, now_us, out);
        }
    }
}

void
SkyShard_ApplyView(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    sky_host_id_t self = SkyMembers_SelfId(shard->members);
    sky_host_id_t owner =
        SkyMembers_FindOwner(shard->members, shard->index, shard->domain);
    if (owner != self) {
        if (shard->phase != SHARD_NOT_OWNED) {
            release_ownership(shard, owner);
        }
        return;
    }
    if (shard->phase == SHARD_NOT_OWNED) {
        begin_takeover(shard, now_us);
        return;
    }
    if (shard->phase == SHARD_ACTIVE) {
        shard->fence = SkyMembers_ViewOffset(shard->members);
        drop_requests_of_removed_hosts(shard, now_us, out);
    }
}

static bool
has_pending_orders(const sky_shard_t *shard)
{
    for (uint32_t t = 0; t < shard->target_count; t++) {
        if (shard->targets[t].pending_orders > 0) {
            return true;
        }
    }
    return false;
}

bool
SkyShard_CanStop(const sky_shard_t *shard)
{
    return shard->handover_to == 0 && !has_pending_orders(shard);
}

static void
send_handover(sky_shard_t *shard, sky_actions_t *out)
{
    if (shard->handover_to == 0 || has_pending_orders(shard)) {
        return;
    }
    sky_msg_t *msg =
        SkyActions_AddSend(out, shard->handover_to, SKY_MSG_HANDOVER);
    msg->u.shard.shard = shard->index;
    msg->u.shard.fence = shard->fence;
    shard->handover_to = 0;
}

/* ---- messages and ticks ---- */

static void
handle_acquire(sky_shard_t *shard, const sky_in_message_t *in, uint64_t now_us,
               sky_actions_t *out)
{
    if (shard->phase == SHARD_ACTIVE) {
        ShardQueue_HandleAcquire(shard, in->from, &in->msg.u.acquire, now_us,
                                 out);
    }
    /* Otherwise there is no response: the entry host repeats its request until
     * the deadline. */
}

void
SkyShard_HandleMessage(sky_shard_t *shard, const sky_in_message_t *in,
                       uint64_t now_us, sky_actions_t *out)
{
    switch (in->msg.kind) {
    case SKY_MSG_ACQUIRE:
        handle_acquire(shard, in, now_us, out);
        break;
    case SKY_MSG_PERMIT_RELEASE:
        ShardQueue_HandlePermitRelease(shard, &in->msg.u.permit_release,
                                       now_us, out);
        break;
    case SKY_MSG_PERMIT_LIST:
        handle_permit_list(shard, in->from, &in->msg.u.permit_list, now_us,
                           out);
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
    target_t *target = ShardSlots_FindTarget(shard, index);
    if (target != NULL) {
        shard->preload_plan_is_stale =
            shard->preload_plan_is_stale || target->leaving != leaving;
        target->leaving = leaving;
    }
}

void
SkyShard_SetPreloads(sky_shard_t *shard, const sky_preload_t *preloads,
                     uint32_t count)
{
    sky_preload_t *preloads_copy = NULL;
    if (count > 0) {
        preloads_copy = malloc(count * sizeof *preloads_copy);
        if (preloads_copy == NULL) {
            return;
        }
        memcpy(preloads_copy, preloads, count * sizeof *preloads_copy);
    }
    free(shard->preloads);
    shard->preloads = preloads_copy;
    shard->preload_count = count;
    shard->preload_plan_is_stale = true;
}

void
SkyShard_ApplyUnconfirmedCrash(sky_shard_t *shard,
                               const sky_rec_crash_t *crash, uint64_t now_us)
{
    SkySuspects_RecordUnconfirmedCrash(shard->suspects, crash, now_us);
}

void
SkyShard_ApplyCrashRecord(sky_shard_t *shard, const sky_record_t *record,
                          uint64_t now_us)
{
    if (shard->options.disabled_mechanisms & SKY_DISABLE_CRASH_COUNT) {
        return;
    }
    if (record->kind == SKY_REC_CRASH_CONFIRMED) {
        SkySuspects_RecordCrash(shard->suspects, &record->u.crash, now_us);
    }
    else {
        SkySuspects_RecordUnconfirmedCrash(shard->suspects, &record->u.crash,
                                           now_us);
    }
}

static void
remove_unused_adapters(sky_shard_t *shard, uint64_t now_us)
{
    adapter_t *adapter;
    adapter_t *next;
    HASH_ITER(hh, shard->adapters, adapter, next)
    {
        if (adapter->request_count == 0 && adapter->replicas == 0 &&
            adapter->preload_replicas == 0 &&
            ShardQueue_Popularity(adapter, now_us) < RETAINED_POPULARITY_MIN) {
            HASH_DEL(shard->adapters, adapter);
            free(adapter);
        }
    }
}

static void
sweep(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    if (now_us < shard->last_sweep_us + SWEEP_INTERVAL_US) {
        return;
    }
    shard->last_sweep_us = now_us;
    ShardQueue_RefuseUnservable(shard, now_us, out);
    remove_unused_adapters(shard, now_us);
    ShardPolicy_RefillFreeSlot(shard, now_us, out);
}

static void
update_preload_plan(sky_shard_t *shard, uint64_t now_us)
{
    if (shard->preload_plan_is_stale ||
        now_us >= shard->preload_planned_us + PRELOAD_PLAN_INTERVAL_US) {
        shard->preload_plan_is_stale = false;
        shard->preload_planned_us = now_us;
        ShardPolicy_PlanPreloads(shard, now_us);
    }
}

void
SkyShard_Tick(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    uint64_t wait_us =
        shard->options.disabled_mechanisms & SKY_DISABLE_TAKEOVER_WAIT
            ? 0
            : SkyMembers_TakeoverWaitUs(shard->members);
    send_handover(shard, out);
    SkySuspects_Expire(shard->suspects, now_us);
    if (shard->phase == SHARD_TAKING_OVER &&
        SkyMembers_HasLease(shard->members, now_us) &&
        (now_us >= shard->became_owner_us + wait_us ||
         predecessor_handed_over(shard))) {
        activate(shard, now_us, out);
    }
    if (shard->phase != SHARD_ACTIVE) {
        return;
    }
    retry_collections(shard, now_us, out);
    reconcile_old_permits(shard, now_us, out);
    ShardSlots_RequestReports(shard, now_us, out);
    update_preload_plan(shard, now_us);
    sweep(shard, now_us, out);
    for (uint32_t t = 0; t < shard->target_count; t++) {
        ShardQueue_GrantForTarget(shard, &shard->targets[t], now_us, out);
    }
    ShardPolicy_StartLoads(shard, now_us, out);
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
    return shard->target_count;
}

const sky_shard_stats_t *
SkyShard_GetStats(const sky_shard_t *shard)
{
    return &shard->stats;
}

void
SkyShard_GetTargetStatus(const sky_shard_t *shard, uint32_t nth,
                         sky_target_status_t *status)
{
    const target_t *target = &shard->targets[nth];
    memset(status, 0, sizeof *status);
    status->target = target->index;
    status->leaving = target->leaving;
    status->down = target->down;
    status->has_report = target->report_made_us > shard->activated_us;
    status->permits = target->permits;
    for (uint32_t i = 0; i < target->info->slots; i++) {
        if (target->slots[i].state == SLOT_RESIDENT) {
            status->resident[status->resident_count++] =
                target->slots[i].adapter;
        }
    }
}
