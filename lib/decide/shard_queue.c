/** @file shard_queue.c @brief Queue of waiting requests; permits in use. */
#include "decide/shard_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"

#define US_PER_MS 1000
#define URGENCY_STEP_US UINT64_C(2000000) /* head start for each step */
#define POPULARITY_HALF_LIFE_US 60e6
#define RETRY_AFTER_MIN_MS 200
#define STORE_UNREACHABLE_RETRY_AFTER_US UINT64_C(5000000)

double
ShardQueue_Popularity(const adapter_t *adapter, uint64_t now_us)
{
    double age_us = (double)(now_us - adapter->popularity_updated_us);
    return adapter->popularity * exp2(-age_us / POPULARITY_HALF_LIFE_US);
}

void
ShardQueue_RecordUse(adapter_t *adapter, uint64_t now_us)
{
    adapter->popularity = ShardQueue_Popularity(adapter, now_us) + 1.0;
    adapter->popularity_updated_us = now_us;
}

static request_t *
find_request(const sky_shard_t *shard, sky_request_id_t id)
{
    request_t *request;
    HASH_FIND(hh, shard->requests, &id, sizeof id, request);
    return request;
}

static bool
is_waiting(const request_t *request)
{
    return request->target == SKY_INDEX_NONE;
}

static int
compare_queue_rank(const request_t *a, const request_t *b)
{
    return (a->queue_rank > b->queue_rank) - (a->queue_rank < b->queue_rank);
}

static void
update_waiting_counts(sky_shard_t *shard, adapter_t *adapter, int change,
                      uint32_t urgency)
{
    if (adapter->waiting_count == 0) {
        DL_APPEND(shard->waiting_adapters, adapter);
    }
    ShardSlots_UpdateWaitingCount(shard, adapter, change);
    if (adapter->waiting_count == 0) {
        DL_DELETE(shard->waiting_adapters, adapter);
    }
    adapter->urgency_sum += (uint32_t)(change * (int)urgency);
    shard->waiting_count += (uint32_t)change;
}

static void
enqueue(sky_shard_t *shard, request_t *request)
{
    adapter_t *adapter = request->adapter;
    request->target = SKY_INDEX_NONE;
    DL_INSERT_INORDER(adapter->waiting_requests, request, compare_queue_rank);
    update_waiting_counts(shard, adapter, 1, request->urgency);
}

static void
dequeue(sky_shard_t *shard, request_t *request)
{
    adapter_t *adapter = request->adapter;
    DL_DELETE(adapter->waiting_requests, request);
    update_waiting_counts(shard, adapter, -1, request->urgency);
}

uint32_t
ShardQueue_CountPermits(const sky_shard_t *shard, const target_t *target,
                        sky_adapter_id_t adapter)
{
    uint32_t count = 0;
    const request_t *request;
    for (request = shard->requests; request != NULL;
         request = request->hh.next) {
        count += request->target == target->index &&
                 request->adapter->id == adapter;
    }
    return count;
}

static void
release_permit(sky_shard_t *shard, request_t *request,
               uint64_t possibly_busy_until_us)
{
    target_t *target = ShardSlots_FindTarget(shard, request->target);
    if (target->permits > 0) {
        target->permits--;
    }
    ShardRunning_Remove(shard, request);
    slot_t *slot = ShardSlots_FindSlot(target, request->adapter->id);
    if (slot == NULL) {
        return;
    }
    if (slot->permits > 0) {
        slot->permits--;
    }
    if (possibly_busy_until_us > slot->possibly_busy_until_us) {
        slot->possibly_busy_until_us = possibly_busy_until_us;
    }
}

static void
delete_request(sky_shard_t *shard, request_t *request)
{
    request->adapter->request_count--;
    HASH_DEL(shard->requests, request);
    free(request);
}

static void
send_refusal(sky_host_id_t entry_host, sky_request_id_t id, sky_result_t code,
             uint64_t retry_after_us, sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_AddSend(out, entry_host, SKY_MSG_REFUSE);
    uint64_t retry_after_ms = retry_after_us / US_PER_MS;
    msg->u.refuse.request = id;
    msg->u.refuse.code = code;
    msg->u.refuse.retry_after_ms =
        (uint32_t)(retry_after_ms > RETRY_AFTER_MIN_MS ? retry_after_ms
                                                       : RETRY_AFTER_MIN_MS);
}

/** Refuses a waiting request, which did not run. */
static void
refuse_request(sky_shard_t *shard, request_t *request, sky_result_t code,
               uint64_t retry_after_us, sky_actions_t *out)
{
    shard->stats.refusals++;
    send_refusal(request->entry_host, request->id, code, retry_after_us, out);
    dequeue(shard, request);
    delete_request(shard, request);
}

static void
send_grant(const sky_shard_t *shard, const request_t *request,
           sky_actions_t *out)
{
    sky_msg_t *msg =
        SkyActions_AddSend(out, request->entry_host, SKY_MSG_GRANT);
    msg->u.grant.request = request->id;
    msg->u.grant.fence = shard->fence;
    msg->u.grant.round = request->granted_round;
    msg->u.grant.shard = shard->index;
    msg->u.grant.target = request->target;
    msg->u.grant.epoch = request->epoch;
    msg->u.grant.adapter_wait_ms = request->adapter_wait_ms;
    msg->u.grant.batch_utilization_percent =
        request->batch_utilization_percent;
}

static void
grant_permit(sky_shard_t *shard, request_t *request, target_t *target,
             uint64_t now_us, sky_actions_t *out)
{
    slot_t *slot = ShardSlots_FindSlot(target, request->adapter->id);
    SKY_INVARIANT(SKY_INV_NO_DISPATCH_TO_LEAVING, !target->leaving);
    SKY_INVARIANT(SKY_INV_RIGHT_ADAPTER,
                  target->info->slots == 0 ||
                      (slot && slot->state == SLOT_RESIDENT));
    dequeue(shard, request);
    request->target = target->index;
    request->epoch = target->epoch;
    request->granted_us = now_us;
    request->granted_round = shard->collection_round;
    uint64_t adapter_wait_us =
        request->arrived_cold ? now_us - request->arrived_us : 0;
    request->adapter_wait_ms = (uint32_t)(adapter_wait_us / US_PER_MS);
    target->permits++;
    request->batch_utilization_percent =
        100 * target->permits / target->info->batch;
    if (slot != NULL) {
        slot->permits++;
        slot->last_used_us = now_us;
    }
    ShardRunning_Add(shard, request);
    shard->stats.grants++;
    send_grant(shard, request, out);
}

/** @return a running request of the same fingerprint, or NULL. */
static const request_t *
find_running_duplicate(const sky_shard_t *shard, const request_t *request)
{
    const request_t *other;
    for (other = shard->requests; other != NULL; other = other->hh.next) {
        if (other->fingerprint == request->fingerprint && !is_waiting(other)) {
            return other;
        }
    }
    return NULL;
}

static bool
runs_suspect(const sky_shard_t *shard, const target_t *target)
{
    const request_t *other;
    for (other = shard->requests; other != NULL; other = other->hh.next) {
        if (other->target == target->index &&
            SkySuspects_CrashCount(shard->suspects, other->fingerprint) > 0) {
            return true;
        }
    }
    return false;
}

/** Requests of a suspect run one at a time, and at most one suspect runs on a
 *  target. */
static bool
suspect_must_wait(const sky_shard_t *shard, const request_t *request,
                  const target_t *target)
{
    if (shard->options.disabled_mechanisms & SKY_DISABLE_CRASH_COUNT) {
        return false;
    }
    if (SkySuspects_HasUnconfirmedCrash(shard->suspects,
                                        request->fingerprint)) {
        return true;
    }
    if (SkySuspects_CrashCount(shard->suspects, request->fingerprint) == 0) {
        return false;
    }
    return find_running_duplicate(shard, request) != NULL ||
           runs_suspect(shard, target);
}

void
ShardQueue_GrantForAdapter(sky_shard_t *shard, adapter_t *adapter,
                           uint64_t now_us, sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    DL_FOREACH_SAFE(adapter->waiting_requests, request, next)
    {
        if (SkySuspects_IsQuarantined(shard->suspects, request->fingerprint)) {
            refuse_request(shard, request, SKY_E_QUARANTINED,
                           shard->options.quarantine_us, out);
            continue;
        }
        target_t *target = ShardPolicy_ChooseTarget(shard, adapter, request);
        if (target == NULL) {
            return;
        }
        if (suspect_must_wait(shard, request, target)) {
            continue;
        }
        if (!SkyMembers_CanDispatch(shard->members, now_us)) {
            return;
        }
        grant_permit(shard, request, target, now_us, out);
    }
}

static adapter_t *
find_first_waiting_adapter(sky_shard_t *shard, const target_t *target)
{
    adapter_t *best = NULL;
    for (uint32_t i = 0; i < target->info->slots; i++) {
        const slot_t *slot = &target->slots[i];
        if (slot->state != SLOT_RESIDENT) {
            continue;
        }
        adapter_t *adapter = ShardSlots_FindOrAddAdapter(shard, slot->adapter);
        if (adapter->waiting_requests != NULL &&
            (best == NULL || compare_queue_rank(adapter->waiting_requests,
                                                best->waiting_requests) < 0)) {
            best = adapter;
        }
    }
    return best;
}

void
ShardQueue_GrantForTarget(sky_shard_t *shard, target_t *target,
                          uint64_t now_us, sky_actions_t *out)
{
    if (target->info->slots == 0) {
        ShardQueue_GrantForAdapter(
            shard, ShardSlots_FindOrAddAdapter(shard, target->pool), now_us,
            out);
        return;
    }
    uint32_t waiting_before;
    do {
        adapter_t *adapter = find_first_waiting_adapter(shard, target);
        waiting_before = shard->waiting_count;
        if (adapter != NULL) {
            ShardQueue_GrantForAdapter(shard, adapter, now_us, out);
        }
    } while (shard->waiting_count < waiting_before);
}

static request_t *
add_request(sky_shard_t *shard, sky_host_id_t from,
            const sky_msg_acquire_t *acquire, uint64_t now_us)
{
    adapter_t *adapter = ShardSlots_FindOrAddAdapter(shard, acquire->adapter);
    request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        abort();
    }
    adapter->request_count++;
    request->id = acquire->request;
    request->adapter = adapter;
    request->entry_host = from;
    request->fingerprint = acquire->fingerprint;
    request->arrived_us = now_us;
    request->deadline_us =
        now_us + (uint64_t)acquire->remaining_ms * US_PER_MS;
    request->urgency = acquire->urgency;
    /* Urgency is a head start in time, so that later requests cannot delay a
     * request for ever. */
    uint64_t head_start_us = acquire->urgency * URGENCY_STEP_US;
    request->queue_rank = now_us + 10 * URGENCY_STEP_US - head_start_us;
    request->target = SKY_INDEX_NONE;
    HASH_ADD(hh, shard->requests, id, sizeof request->id, request);
    return request;
}

static bool
is_adapter_resident(sky_shard_t *shard, const adapter_t *adapter)
{
    if (adapter->id == adapter->pool) {
        return true;
    }
    for (uint32_t t = 0; t < shard->target_count && adapter->replicas > 0;
         t++) {
        const slot_t *slot =
            ShardSlots_FindSlot(&shard->targets[t], adapter->id);
        if (slot != NULL && slot->state == SLOT_RESIDENT) {
            return true;
        }
    }
    return false;
}

static void
send_queued(const request_t *request, sky_actions_t *out)
{
    SkyActions_AddSend(out, request->entry_host, SKY_MSG_QUEUED)->u.queued =
        request->id;
}

static void
admit_request(sky_shard_t *shard, request_t *request, uint64_t now_us,
              sky_actions_t *out)
{
    adapter_t *adapter = request->adapter;
    request->arrived_cold = !is_adapter_resident(shard, adapter);
    enqueue(shard, request);
    uint64_t wait_us = ShardPolicy_ExpectedWaitUs(shard, adapter, now_us);
    if (request->arrived_us + wait_us > request->deadline_us &&
        !(shard->options.disabled_mechanisms & SKY_DISABLE_EARLY_REFUSAL)) {
        refuse_request(shard, request, SKY_E_OVERLOADED, wait_us, out);
        return;
    }
    ShardQueue_GrantForAdapter(shard, adapter, now_us, out);
    ShardPolicy_StartLoads(shard, now_us, out);
}

void
ShardQueue_HandleAcquire(sky_shard_t *shard, sky_host_id_t from,
                         const sky_msg_acquire_t *acquire, uint64_t now_us,
                         sky_actions_t *out)
{
    request_t *request = find_request(shard, acquire->request);
    if (request != NULL) { /* repeated: the grant may be lost */
        if (is_waiting(request)) {
            send_queued(request, out);
        }
        else {
            send_grant(shard, request, out);
        }
        return;
    }
    if (SkySuspects_IsQuarantined(shard->suspects, acquire->fingerprint)) {
        shard->stats.quarantined++;
        send_refusal(from, acquire->request, SKY_E_QUARANTINED,
                     shard->options.quarantine_us, out);
        return;
    }
    request = add_request(shard, from, acquire, now_us);
    request->adapter->pool = acquire->pool;
    ShardQueue_RecordUse(request->adapter, now_us);
    admit_request(shard, request, now_us, out);
}

void
ShardQueue_RecordCrash(sky_shard_t *shard, const sky_rec_crash_t *crash,
                       uint64_t now_us, sky_actions_t *out)
{
    if ((shard->options.disabled_mechanisms & SKY_DISABLE_CRASH_COUNT) ||
        !SkySuspects_RecordCrash(shard->suspects, crash, now_us)) {
        return;
    }
    shard->stats.crashes++;
    sky_record_t *record = &SkyActions_Add(out, SKY_ACT_APPEND)->u.append;
    record->kind = SKY_REC_CRASH_CONFIRMED;
    record->u.crash = *crash;
}

static void
record_broken_exchange(sky_shard_t *shard, const request_t *request,
                       const target_t *target, uint64_t now_us,
                       sky_actions_t *out)
{
    sky_rec_crash_t crash = {request->fingerprint, request->epoch,
                             target->index};
    if ((target->epoch != 0 && target->epoch != request->epoch) ||
        target->down) {
        ShardQueue_RecordCrash(shard, &crash, now_us, out);
        return;
    }
    SkySuspects_RecordUnconfirmedCrash(shard->suspects, &crash, now_us);
}

void
ShardQueue_DropRequest(sky_shard_t *shard, request_t *request, uint64_t now_us,
                       sky_actions_t *out)
{
    if (is_waiting(request)) {
        dequeue(shard, request);
    }
    else {
        target_t *target = ShardSlots_FindTarget(shard, request->target);
        record_broken_exchange(shard, request, target, now_us, out);
        release_permit(shard, request,
                       now_us + SkyMembers_TakeoverWaitUs(shard->members));
    }
    delete_request(shard, request);
}

void
ShardQueue_HandlePermitRelease(sky_shard_t *shard,
                               const sky_msg_permit_release_t *release,
                               uint64_t now_us, sky_actions_t *out)
{
    request_t *request = find_request(shard, release->request);
    if (request == NULL) {
        return;
    }
    if (is_waiting(request)) { /* cancelled before a grant */
        ShardQueue_DropRequest(shard, request, now_us, out);
        return;
    }
    target_t *target = ShardSlots_FindTarget(shard, request->target);
    bool may_still_run = release->outcome == SKY_OUTCOME_BROKEN ||
                         release->outcome == SKY_OUTCOME_CANCELLED;
    if (release->outcome == SKY_OUTCOME_BROKEN) {
        record_broken_exchange(shard, request, target, now_us, out);
    }
    if (release->outcome == SKY_OUTCOME_BROKEN ||
        release->outcome == SKY_OUTCOME_NOT_SENT) {
        target->needs_report = true;
        ShardSlots_RequestReports(shard, now_us, out);
    }
    release_permit(shard, request, may_still_run ? now_us : 0);
    delete_request(shard, request);
    ShardQueue_GrantForTarget(shard, target, now_us, out);
    ShardPolicy_StartLoads(shard, now_us, out);
}

void
ShardQueue_AdoptPermit(sky_shard_t *shard, sky_host_id_t from,
                       const sky_permit_t *permit, uint64_t now_us)
{
    target_t *target = ShardSlots_FindTarget(shard, permit->target);
    request_t *request = find_request(shard, permit->request);
    if (request != NULL || target == NULL) {
        if (request != NULL) {
            request->listed_round = shard->collection_round;
        }
        return;
    }
    sky_msg_acquire_t acquire = {.request = permit->request,
                                 .adapter = permit->adapter,
                                 .fingerprint = permit->fingerprint};
    request = add_request(shard, from, &acquire, now_us);
    request->target = permit->target;
    request->epoch = permit->epoch;
    request->granted_us = now_us;
    request->granted_round = shard->collection_round;
    request->listed_round = shard->collection_round;
    target->permits++;
    ShardRunning_Add(shard, request);
    slot_t *slot = ShardSlots_FindSlot(target, permit->adapter);
    if (slot != NULL) {
        slot->permits++;
    }
}

void
ShardQueue_RecordTargetCrash(sky_shard_t *shard, target_t *target,
                             uint64_t now_us, sky_actions_t *out)
{
    request_t *request;
    for (request = shard->requests; request != NULL;
         request = request->hh.next) {
        if (request->target != target->index ||
            request->epoch != target->epoch || request->epoch == 0) {
            continue;
        }
        sky_rec_crash_t crash = {request->fingerprint, request->epoch,
                                 target->index};
        ShardQueue_RecordCrash(shard, &crash, now_us, out);
    }
}

void
ShardQueue_RefuseUnservable(sky_shard_t *shard, uint64_t now_us,
                            sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, shard->requests, request, next)
    {
        if (!is_waiting(request)) {
            continue;
        }
        if (SkySuspects_IsQuarantined(shard->suspects, request->fingerprint)) {
            refuse_request(shard, request, SKY_E_QUARANTINED,
                           shard->options.quarantine_us, out);
        }
        else if (now_us >= request->deadline_us) {
            refuse_request(shard, request, SKY_E_DEADLINE,
                           shard->average_load_us, out);
        }
        else if (!(shard->options.disabled_mechanisms &
                   SKY_DISABLE_EARLY_REFUSAL) &&
                 ShardPolicy_WillMissDeadline(shard, request->adapter,
                                              request->deadline_us, now_us)) {
            refuse_request(shard, request, SKY_E_OVERLOADED,
                           shard->average_load_us, out);
        }
        else if (ShardPolicy_IsStoreUnreachable(shard, now_us) &&
                 !ShardPolicy_HasUsableReplica(shard, request->adapter)) {
            refuse_request(shard, request, SKY_E_LOAD_FAILED,
                           STORE_UNREACHABLE_RETRY_AFTER_US, out);
        }
    }
}

void
ShardQueue_Clear(sky_shard_t *shard)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, shard->requests, request, next)
    {
        if (is_waiting(request)) {
            dequeue(shard, request);
        }
        delete_request(shard, request);
    }
    ShardRunning_Clear(shard);
    for (uint32_t t = 0; t < shard->target_count; t++) {
        shard->targets[t].permits = 0;
    }
}
