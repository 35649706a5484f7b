/** @file shard_queue.c @brief Requests that wait, permits in use. */
#include "decide/shard_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"

#define US_PER_MS 1000
#define URGENCY_STEP_US                                                       \
    UINT64_C(2000000) /* head start of one urgency step                       \
                       */
#define HEAT_HALF_LIFE_US 60e6
#define RETRY_AFTER_MIN_MS 200
#define STORE_DOWN_RETRY_US UINT64_C(5000000)

double
ShardQueue_Heat(const adapter_t *adapter, uint64_t now_us)
{
    double age_us = (double)(now_us - adapter->heat_us);
    return adapter->heat * exp2(-age_us / HEAT_HALF_LIFE_US);
}

void
ShardQueue_HeatTouch(adapter_t *adapter, uint64_t now_us)
{
    adapter->heat = ShardQueue_Heat(adapter, now_us) + 1.0;
    adapter->heat_us = now_us;
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
    return request->target == SKY_NO_TARGET;
}

static int
by_rank(const request_t *a, const request_t *b)
{
    return (a->rank > b->rank) - (a->rank < b->rank);
}

static void
count_waiting(sky_shard_t *shard, adapter_t *adapter, int change,
              uint32_t urgency)
{
    if (adapter->waiting_count == 0) {
        DL_APPEND(shard->queued, adapter);
    }
    ShardSlots_NoteWaiting(shard, adapter, change);
    if (adapter->waiting_count == 0) {
        DL_DELETE(shard->queued, adapter);
    }
    adapter->urgency_sum += (uint32_t)(change * (int)urgency);
    shard->waiting_count += (uint32_t)change;
}

static void
enqueue(sky_shard_t *shard, request_t *request)
{
    adapter_t *adapter = request->adapter;
    request->target = SKY_NO_TARGET;
    DL_INSERT_INORDER(adapter->waiting, request, by_rank);
    count_waiting(shard, adapter, 1, request->urgency);
}

static void
dequeue(sky_shard_t *shard, request_t *request)
{
    adapter_t *adapter = request->adapter;
    DL_DELETE(adapter->waiting, request);
    count_waiting(shard, adapter, -1, request->urgency);
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
release_permit(sky_shard_t *shard, request_t *request, uint64_t doubt_us)
{
    target_t *target = ShardSlots_Target(shard, request->target);
    if (target->permits > 0) {
        target->permits--;
    }
    ShardRunning_Remove(shard, request);
    slot_t *slot = ShardSlots_Find(target, request->adapter->id);
    if (slot == NULL) {
        return;
    }
    if (slot->permits > 0) {
        slot->permits--;
    }
    if (doubt_us > slot->doubt_us) {
        slot->doubt_us = doubt_us;
    }
}

static void
delete_request(sky_shard_t *shard, request_t *request)
{
    request->adapter->users--;
    HASH_DEL(shard->requests, request);
    free(request);
}

static void
refuse_to(sky_host_id_t entry, sky_request_id_t id, sky_result_t code,
          uint64_t wait_us, sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_Send(out, entry, SKY_MSG_REFUSE);
    uint64_t wait_ms = wait_us / US_PER_MS;
    msg->u.refuse.request = id;
    msg->u.refuse.code = code;
    msg->u.refuse.retry_after_ms =
        (uint32_t)(wait_ms > RETRY_AFTER_MIN_MS ? wait_ms
                                                : RETRY_AFTER_MIN_MS);
}

/** Ends a waiting request: it was not run. */
static void
refuse(sky_shard_t *shard, request_t *request, sky_result_t code,
       uint64_t wait_us, sky_actions_t *out)
{
    shard->stats.refusals++;
    refuse_to(request->entry, request->id, code, wait_us, out);
    dequeue(shard, request);
    delete_request(shard, request);
}

static void
send_grant(const sky_shard_t *shard, const request_t *request,
           sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_Send(out, request->entry, SKY_MSG_GRANT);
    msg->u.grant.request = request->id;
    msg->u.grant.fence = shard->fence;
    msg->u.grant.round = request->granted_round;
    msg->u.grant.shard = shard->index;
    msg->u.grant.target = request->target;
    msg->u.grant.epoch = request->epoch;
    msg->u.grant.stall_ms = request->stall_ms;
    msg->u.grant.fill_percent = request->fill_percent;
}

static void
grant(sky_shard_t *shard, request_t *request, target_t *target,
      uint64_t now_us, sky_actions_t *out)
{
    slot_t *slot = ShardSlots_Find(target, request->adapter->id);
    SKY_INVARIANT(SKY_INV_LEAVING, !target->leaving);
    SKY_INVARIANT(SKY_INV_ADAPTER, target->info->slots == 0 ||
                                       (slot && slot->state == SLOT_RESIDENT));
    dequeue(shard, request);
    request->target = target->index;
    request->epoch = target->epoch;
    request->granted_us = now_us;
    request->granted_round = shard->round;
    uint64_t stall_us = request->missed ? now_us - request->arrived_us : 0;
    request->stall_ms = (uint32_t)(stall_us / US_PER_MS);
    target->permits++;
    request->fill_percent = 100 * target->permits / target->info->batch;
    if (slot != NULL) {
        slot->permits++;
        slot->used_us = now_us;
    }
    ShardRunning_Add(shard, request);
    shard->stats.grants++;
    send_grant(shard, request, out);
}

/** @return true if another request of the fingerprint is running. */
static const request_t *
running_twin(const sky_shard_t *shard, const request_t *request)
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
runs_a_suspect(const sky_shard_t *shard, const target_t *target)
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

/** Suspects run one at a time, and one to a target. */
static bool
suspect_must_wait(const sky_shard_t *shard, const request_t *request,
                  const target_t *target)
{
    if (shard->options.off & SKY_OFF_CRASH_COUNT) {
        return false;
    }
    if (SkySuspects_HasUnconfirmedCrash(shard->suspects, request->fingerprint)) {
        return true;
    }
    if (SkySuspects_CrashCount(shard->suspects, request->fingerprint) == 0) {
        return false;
    }
    return running_twin(shard, request) != NULL ||
           runs_a_suspect(shard, target);
}

void
ShardQueue_Serve(sky_shard_t *shard, adapter_t *adapter, uint64_t now_us,
                 sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    DL_FOREACH_SAFE(adapter->waiting, request, next)
    {
        if (SkySuspects_IsQuarantined(shard->suspects, request->fingerprint)) {
            refuse(shard, request, SKY_E_QUARANTINED,
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
        if (!SkyMembers_MayAct(shard->members, now_us)) {
            return;
        }
        grant(shard, request, target, now_us, out);
    }
}

static adapter_t *
first_in_line(sky_shard_t *shard, const target_t *target)
{
    adapter_t *best = NULL;
    for (uint32_t i = 0; i < target->info->slots; i++) {
        const slot_t *slot = &target->slots[i];
        if (slot->state != SLOT_RESIDENT) {
            continue;
        }
        adapter_t *adapter = ShardSlots_Adapter(shard, slot->adapter);
        if (adapter->waiting != NULL &&
            (best == NULL || by_rank(adapter->waiting, best->waiting) < 0)) {
            best = adapter;
        }
    }
    return best;
}

void
ShardQueue_ServeTarget(sky_shard_t *shard, target_t *target, uint64_t now_us,
                       sky_actions_t *out)
{
    if (target->info->slots == 0) {
        ShardQueue_Serve(shard, ShardSlots_Adapter(shard, target->pool),
                         now_us, out);
        return;
    }
    uint32_t before;
    do {
        adapter_t *adapter = first_in_line(shard, target);
        before = shard->waiting_count;
        if (adapter != NULL) {
            ShardQueue_Serve(shard, adapter, now_us, out);
        }
    } while (shard->waiting_count < before);
}

static request_t *
add_request(sky_shard_t *shard, sky_host_id_t from,
            const sky_msg_acquire_t *ask, uint64_t now_us)
{
    adapter_t *adapter = ShardSlots_Adapter(shard, ask->adapter);
    request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        abort();
    }
    adapter->users++;
    request->id = ask->request;
    request->adapter = adapter;
    request->entry = from;
    request->fingerprint = ask->fingerprint;
    request->arrived_us = now_us;
    request->deadline_us = now_us + (uint64_t)ask->patience_ms * US_PER_MS;
    request->urgency = ask->urgency;
    /* Urgency is a head start, so nobody waits behind newcomers for ever. */
    uint64_t head_start_us = ask->urgency * URGENCY_STEP_US;
    request->rank = now_us + 10 * URGENCY_STEP_US - head_start_us;
    request->target = SKY_NO_TARGET;
    HASH_ADD(hh, shard->requests, id, sizeof request->id, request);
    return request;
}

static bool
is_resident(sky_shard_t *shard, const adapter_t *adapter)
{
    if (adapter->id == adapter->pool) {
        return true;
    }
    for (uint32_t t = 0; t < shard->count && adapter->copies > 0; t++) {
        const slot_t *slot = ShardSlots_Find(&shard->targets[t], adapter->id);
        if (slot != NULL && slot->state == SLOT_RESIDENT) {
            return true;
        }
    }
    return false;
}

static void
send_queued(const request_t *request, sky_actions_t *out)
{
    SkyActions_Send(out, request->entry, SKY_MSG_QUEUED)->u.queued =
        request->id;
}

static void
admit(sky_shard_t *shard, request_t *request, uint64_t now_us,
      sky_actions_t *out)
{
    adapter_t *adapter = request->adapter;
    request->missed = !is_resident(shard, adapter);
    enqueue(shard, request);
    uint64_t wait_us = ShardPolicy_ExpectedWait(shard, adapter, now_us);
    if (request->arrived_us + wait_us > request->deadline_us &&
        !(shard->options.off & SKY_OFF_REFUSAL)) {
        refuse(shard, request, SKY_E_OVERLOADED, wait_us, out);
        return;
    }
    ShardQueue_Serve(shard, adapter, now_us, out);
    ShardPolicy_Pump(shard, now_us, out);
}

void
ShardQueue_Acquire(sky_shard_t *shard, sky_host_id_t from,
                   const sky_msg_acquire_t *ask, uint64_t now_us,
                   sky_actions_t *out)
{
    request_t *request = find_request(shard, ask->request);
    if (request != NULL) { /* sent again: the grant may have been lost */
        if (is_waiting(request)) {
            send_queued(request, out);
        }
        else {
            send_grant(shard, request, out);
        }
        return;
    }
    if (SkySuspects_IsQuarantined(shard->suspects, ask->fingerprint)) {
        shard->stats.quarantined++;
        refuse_to(from, ask->request, SKY_E_QUARANTINED,
                  shard->options.quarantine_us, out);
        return;
    }
    request = add_request(shard, from, ask, now_us);
    request->adapter->pool = ask->pool;
    ShardQueue_HeatTouch(request->adapter, now_us);
    admit(shard, request, now_us, out);
}

void
ShardQueue_CountCrash(sky_shard_t *shard, const sky_rec_crash_t *crash,
                      uint64_t now_us, sky_actions_t *out)
{
    if ((shard->options.off & SKY_OFF_CRASH_COUNT) ||
        !SkySuspects_RecordCrash(shard->suspects, crash, now_us)) {
        return;
    }
    shard->stats.crashes++;
    sky_record_t *record = &SkyActions_Add(out, SKY_ACT_APPEND)->u.append;
    record->kind = SKY_REC_CRASH;
    record->u.crash = *crash;
}

static void
suspect_request(sky_shard_t *shard, const request_t *request,
                const target_t *target, uint64_t now_us, sky_actions_t *out)
{
    sky_rec_crash_t crash = {request->fingerprint, request->epoch,
                             target->index};
    if ((target->epoch != 0 && target->epoch != request->epoch) ||
        target->down) {
        ShardQueue_CountCrash(shard, &crash, now_us, out);
        return;
    }
    SkySuspects_RecordUnconfirmedCrash(shard->suspects, &crash, now_us);
}

void
ShardQueue_Drop(sky_shard_t *shard, request_t *request, uint64_t now_us,
                sky_actions_t *out)
{
    if (is_waiting(request)) {
        dequeue(shard, request);
    }
    else {
        target_t *target = ShardSlots_Target(shard, request->target);
        suspect_request(shard, request, target, now_us, out);
        release_permit(shard, request,
                       now_us + SkyMembers_TakeoverUs(shard->members));
    }
    delete_request(shard, request);
}

void
ShardQueue_Done(sky_shard_t *shard, const sky_msg_done_t *done,
                uint64_t now_us, sky_actions_t *out)
{
    request_t *request = find_request(shard, done->request);
    if (request == NULL) {
        return;
    }
    if (is_waiting(request)) { /* the caller went away before a grant */
        ShardQueue_Drop(shard, request, now_us, out);
        return;
    }
    target_t *target = ShardSlots_Target(shard, request->target);
    bool in_doubt = done->outcome == SKY_OUTCOME_BROKEN ||
                    done->outcome == SKY_OUTCOME_CANCELLED;
    if (done->outcome == SKY_OUTCOME_BROKEN) {
        suspect_request(shard, request, target, now_us, out);
    }
    if (done->outcome == SKY_OUTCOME_BROKEN ||
        done->outcome == SKY_OUTCOME_NOT_SENT) {
        target->unsure = true;
        ShardSlots_AskReports(shard, now_us, out);
    }
    release_permit(shard, request, in_doubt ? now_us : 0);
    delete_request(shard, request);
    ShardQueue_ServeTarget(shard, target, now_us, out);
    ShardPolicy_Pump(shard, now_us, out);
}

void
ShardQueue_Adopt(sky_shard_t *shard, sky_host_id_t from,
                 const sky_permit_t *permit, uint64_t now_us)
{
    target_t *target = ShardSlots_Target(shard, permit->target);
    request_t *request = find_request(shard, permit->request);
    if (request != NULL || target == NULL) {
        if (request != NULL) {
            request->listed_round = shard->round;
        }
        return;
    }
    sky_msg_acquire_t ask = {.request = permit->request,
                             .adapter = permit->adapter,
                             .fingerprint = permit->fingerprint};
    request = add_request(shard, from, &ask, now_us);
    request->target = permit->target;
    request->epoch = permit->epoch;
    request->granted_us = now_us;
    request->granted_round = shard->round;
    request->listed_round = shard->round;
    target->permits++;
    ShardRunning_Add(shard, request);
    slot_t *slot = ShardSlots_Find(target, permit->adapter);
    if (slot != NULL) {
        slot->permits++;
    }
}

void
ShardQueue_TargetLost(sky_shard_t *shard, target_t *target, uint64_t now_us,
                      sky_actions_t *out)
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
        ShardQueue_CountCrash(shard, &crash, now_us, out);
    }
}

void
ShardQueue_Expire(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, shard->requests, request, next)
    {
        if (!is_waiting(request)) {
            continue;
        }
        if (SkySuspects_IsQuarantined(shard->suspects, request->fingerprint)) {
            refuse(shard, request, SKY_E_QUARANTINED,
                   shard->options.quarantine_us, out);
        }
        else if (now_us >= request->deadline_us) {
            refuse(shard, request, SKY_E_DEADLINE, shard->load_us, out);
        }
        else if (!(shard->options.off & SKY_OFF_REFUSAL) &&
                 ShardPolicy_IsHopeless(shard, request->adapter,
                                        request->deadline_us, now_us)) {
            refuse(shard, request, SKY_E_OVERLOADED, shard->load_us, out);
        }
        else if (ShardPolicy_StoreIsDown(shard, now_us) &&
                 !ShardPolicy_HasUsableCopy(shard, request->adapter)) {
            refuse(shard, request, SKY_E_LOAD_FAILED, STORE_DOWN_RETRY_US,
                   out);
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
    for (uint32_t t = 0; t < shard->count; t++) {
        shard->targets[t].permits = 0;
    }
}
