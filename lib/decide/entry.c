#include "decide/entry.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/invariant.h"

#define US_PER_MS 1000
#define ATTEMPT_BITS 4 /* low bits of a request id on the wire */
#define ATTEMPTS_LIMIT 15
#define RETRY_AFTER_MS 1000
#define CLAIM_RETRY_AFTER_MS 2000
#define SHARD_CHOICES                                                         \
    2 /* an unreachable owner is passed over for the next                     \
       */
#define ASKS_PER_CHOICE 6

typedef enum {
    STATE_CLAIMING,
    STATE_ACQUIRING,
    STATE_RUNNING,
} state_t;

typedef struct {
    sky_in_request_t in;
    state_t state;
    uint32_t attempt;
    uint32_t shard;
    uint32_t choice;     /**< rank of the shard asked */
    uint32_t unanswered; /**< ACQUIRE in a row without an answer */
    uint32_t target;
    uint64_t epoch; /**< of the target */
    bool dispatched;
    uint64_t deadline_us;
    uint64_t asked_us;
    UT_hash_handle hh;
} request_t;

/** The newest owner of a shard that this host answered. */
typedef struct {
    sky_fence_t fence;
    uint32_t round;
} promise_t;

/** A claim whose request was answered "not run" before it was settled. */
typedef struct {
    sky_request_id_t request;
    uint64_t expires_us;
    UT_hash_handle hh;
} abandoned_t;

struct sky_entry {
    sky_entry_options_t options;
    const sky_target_info_t *targets;
    uint32_t target_count;
    uint32_t shard_targets;
    uint32_t shard_count;
    sky_members_t *members;
    promise_t *promises;
    bool *leaving;
    uint32_t *pools; /* hash of each target's pool */
    request_t *requests;
    abandoned_t *abandoned; /* oldest first */
    sky_doubts_t *doubts;
    uint64_t now_us; /* of the last tick */
    double retry_tokens;
    sky_entry_stats_t stats;
};

sky_entry_t *
SkyEntry_Create(const sky_entry_options_t *options,
                const sky_target_info_t *targets, uint32_t target_count,
                uint32_t shard_targets, sky_members_t *members,
                sky_doubts_t *doubts)
{
    sky_entry_t *entry = calloc(1, sizeof *entry);
    if (entry == NULL) {
        return NULL;
    }
    entry->options = *options;
    entry->targets = targets;
    entry->target_count = target_count;
    entry->shard_targets = shard_targets;
    entry->shard_count = (target_count + shard_targets - 1) / shard_targets;
    entry->members = members;
    entry->doubts = doubts;
    entry->retry_tokens = options->retry_burst;
    entry->promises = calloc(entry->shard_count, sizeof *entry->promises);
    entry->leaving = calloc(target_count, sizeof *entry->leaving);
    entry->pools = calloc(target_count, sizeof *entry->pools);
    if (entry->promises == NULL || entry->leaving == NULL ||
        entry->pools == NULL) {
        SkyEntry_Free(entry);
        return NULL;
    }
    for (uint32_t t = 0; t < target_count; t++) {
        entry->pools[t] = (uint32_t)SkyName_Hash(targets[t].pool);
    }
    return entry;
}

void
SkyEntry_Free(sky_entry_t *entry)
{
    if (entry == NULL) {
        return;
    }
    request_t *request;
    request_t *next;
    HASH_ITER(hh, entry->requests, request, next)
    {
        HASH_DEL(entry->requests, request);
        free(request);
    }
    abandoned_t *claim;
    abandoned_t *next_claim;
    HASH_ITER(hh, entry->abandoned, claim, next_claim)
    {
        HASH_DEL(entry->abandoned, claim);
        free(claim);
    }
    free(entry->promises);
    free(entry->leaving);
    free(entry->pools);
    free(entry);
}

static request_t *
find_request(const sky_entry_t *entry, sky_request_id_t id)
{
    request_t *request;
    HASH_FIND(hh, entry->requests, &id, sizeof id, request);
    return request;
}

/** Each attempt has an id of its own, so that late messages fall through. */
static sky_request_id_t
wire_id(const request_t *request)
{
    return request->in.request + request->attempt;
}

static request_t *
find_by_wire_id(const sky_entry_t *entry, sky_request_id_t id)
{
    sky_request_id_t mask = (UINT64_C(1) << ATTEMPT_BITS) - 1;
    request_t *request = find_request(entry, id & ~mask);
    return request != NULL && wire_id(request) == id ? request : NULL;
}

static void
forget(sky_entry_t *entry, request_t *request)
{
    HASH_DEL(entry->requests, request);
    free(request);
}

static void
count_answer(sky_entry_t *entry, sky_result_t code)
{
    const char *kind = SkyResult_Kind(code);
    if (kind[0] == 'a') {
        entry->stats.answered++;
    }
    else if (kind[0] == 'n') {
        entry->stats.not_run++;
    }
    else {
        entry->stats.unknown++;
    }
}

static void
answer(sky_entry_t *entry, sky_request_id_t id, sky_result_t code,
       uint32_t retry_after_ms, sky_actions_t *out)
{
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_ANSWER);
    action->u.answer.request = id;
    action->u.answer.code = code;
    action->u.answer.retry_after_ms = retry_after_ms;
    count_answer(entry, code);
}

static void
abandon_claim(sky_entry_t *entry, sky_request_id_t id)
{
    abandoned_t *claim = calloc(1, sizeof *claim);
    if (claim == NULL) {
        return; /* the key stays claimed: the safe side */
    }
    claim->request = id;
    claim->expires_us = entry->now_us + entry->options.key_life_us;
    HASH_ADD(hh, entry->abandoned, request, sizeof claim->request, claim);
}

/** Final answer of a request that surely was not run. */
static void
finish_not_run(sky_entry_t *entry, request_t *request, sky_result_t code,
               uint32_t retry_after_ms, sky_actions_t *out)
{
    SKY_INVARIANT(SKY_INV_NOT_RUN, request->state != STATE_RUNNING);
    if (request->in.once && request->state != STATE_CLAIMING) {
        SkyClaims_Release(&request->in.key, request->in.request,
                          SkyMembers_Nonce(entry->members), out);
    }
    else if (request->in.once && code != SKY_E_CLAIMED) {
        abandon_claim(entry, request->in.request);
    }
    answer(entry, request->in.request, code, retry_after_ms, out);
    forget(entry, request);
}

/* ---- which shard ---- */

static bool
shard_serves(const sky_entry_t *entry, uint32_t shard, uint32_t pool)
{
    uint32_t first = shard * entry->shard_targets;
    uint32_t last = first + entry->shard_targets;
    for (uint32_t t = first; t < last && t < entry->target_count; t++) {
        if (entry->pools[t] == pool && !entry->leaving[t]) {
            return true;
        }
    }
    return false;
}

/** @return the shard of rank @p choice for an adapter, or SKY_NO_TARGET. */
static uint32_t
choose_shard(const sky_entry_t *entry, const sky_in_request_t *in,
             uint32_t choice)
{
    uint32_t best[SHARD_CHOICES] = {SKY_NO_TARGET, SKY_NO_TARGET};
    uint64_t best_score[SHARD_CHOICES] = {0, 0};
    for (uint32_t shard = 0; shard < entry->shard_count; shard++) {
        uint64_t score = SkyRendezvous_Score(shard, in->adapter);
        if (!shard_serves(entry, shard, in->pool)) {
            continue;
        }
        if (best[0] == SKY_NO_TARGET || score > best_score[0]) {
            best[1] = best[0];
            best_score[1] = best_score[0];
            best[0] = shard;
            best_score[0] = score;
        }
        else if (best[1] == SKY_NO_TARGET || score > best_score[1]) {
            best[1] = shard;
            best_score[1] = score;
        }
    }
    uint32_t chosen = best[choice % SHARD_CHOICES];
    return chosen != SKY_NO_TARGET ? chosen : best[0];
}

uint32_t
SkyEntry_ShardOf(const sky_entry_t *entry, sky_adapter_id_t adapter,
                 uint32_t pool)
{
    sky_in_request_t in = {.adapter = adapter, .pool = pool};
    return choose_shard(entry, &in, 0);
}

static uint32_t
shard_domain(const sky_entry_t *entry, uint32_t shard)
{
    return entry->targets[shard * entry->shard_targets].domain;
}

/* ---- asking ---- */

static void
ask_claim(sky_entry_t *entry, request_t *request, uint64_t now_us,
          sky_actions_t *out)
{
    sky_host_id_t writer = SkyMembers_ClaimWriter(
        entry->members, request->in.key.low, entry->options.claim_writers_max);
    sky_msg_t *msg = SkyActions_Send(out, writer, SKY_MSG_CLAIM_ASK);
    msg->u.claim_ask.key = request->in.key;
    msg->u.claim_ask.request = request->in.request;
    request->asked_us = now_us;
}

static void
ask_permit(sky_entry_t *entry, request_t *request, uint64_t now_us,
           sky_actions_t *out)
{
    if (now_us >= request->deadline_us) {
        finish_not_run(entry, request, SKY_E_DEADLINE, RETRY_AFTER_MS, out);
        return;
    }
    if (request->unanswered == ASKS_PER_CHOICE) {
        request->unanswered = 0;
        request->choice++;
    }
    request->unanswered++;
    request->shard = choose_shard(entry, &request->in, request->choice);
    request->asked_us = now_us;
    if (request->shard == SKY_NO_TARGET) {
        finish_not_run(entry, request, SKY_E_NO_TARGET, RETRY_AFTER_MS, out);
        return;
    }
    sky_host_id_t owner = SkyMembers_Owner(
        entry->members, request->shard, shard_domain(entry, request->shard));
    if (owner == 0) {
        return;
    }
    uint64_t left_us = request->deadline_us - now_us;
    sky_msg_acquire_t *ask =
        &SkyActions_Send(out, owner, SKY_MSG_ACQUIRE)->u.acquire;
    ask->request = wire_id(request);
    ask->adapter = request->in.adapter;
    ask->fingerprint = request->in.fingerprint;
    ask->shard = request->shard;
    ask->pool = request->in.pool;
    ask->urgency = request->in.urgency;
    ask->patience_ms = (uint32_t)(left_us / US_PER_MS);
    ask->attempt = request->attempt;
}

static void
begin_acquire(sky_entry_t *entry, request_t *request, uint64_t now_us,
              sky_actions_t *out)
{
    request->state = STATE_ACQUIRING;
    request->unanswered = 0;
    ask_permit(entry, request, now_us, out);
}

void
SkyEntry_Request(sky_entry_t *entry, const sky_in_request_t *in,
                 uint64_t now_us, sky_actions_t *out)
{
    entry->stats.requests++;
    entry->retry_tokens += entry->options.retry_share;
    if (entry->retry_tokens > entry->options.retry_burst) {
        entry->retry_tokens = entry->options.retry_burst;
    }
    if (in->once && in->key_age_ms * US_PER_MS > entry->options.key_life_us) {
        answer(entry, in->request, SKY_E_KEY_EXPIRED, 0, out);
        return;
    }
    request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        answer(entry, in->request, SKY_E_MEMORY, RETRY_AFTER_MS, out);
        return;
    }
    request->in = *in;
    request->target = SKY_NO_TARGET;
    request->deadline_us = now_us + (uint64_t)in->timeout_ms * US_PER_MS;
    HASH_ADD(hh, entry->requests, in.request, sizeof in->request, request);
    if (in->once && !(entry->options.off & SKY_OFF_CLAIMS)) {
        request->state = STATE_CLAIMING;
        ask_claim(entry, request, now_us, out);
    }
    else {
        begin_acquire(entry, request, now_us, out);
    }
}

/* ---- grants ---- */

static void
return_permit(sky_host_id_t owner, sky_request_id_t wire, uint32_t shard,
              uint32_t target, sky_outcome_t outcome, sky_actions_t *out)
{
    if (owner == 0) {
        return;
    }
    sky_msg_t *msg = SkyActions_Send(out, owner, SKY_MSG_DONE);
    msg->u.done.request = wire;
    msg->u.done.shard = shard;
    msg->u.done.target = target;
    msg->u.done.outcome = outcome;
}

static bool
is_stale(const promise_t *promise, const sky_msg_grant_t *grant)
{
    if (grant->fence != promise->fence) {
        return grant->fence < promise->fence;
    }
    return grant->round < promise->round;
}

static bool
may_dispatch(const sky_entry_t *entry, const sky_msg_grant_t *grant,
             uint64_t now_us)
{
    return !is_stale(&entry->promises[grant->shard], grant) &&
           !entry->leaving[grant->target] &&
           SkyMembers_MayAct(entry->members, now_us);
}

static void
dispatch(sky_entry_t *entry, request_t *request, const sky_msg_grant_t *grant,
         uint64_t now_us, sky_actions_t *out)
{
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_DISPATCH);
    SKY_INVARIANT(SKY_INV_CLAIM, !request->in.once || !request->dispatched);
    request->dispatched = true;
    request->state = STATE_RUNNING;
    request->target = grant->target;
    request->epoch = grant->epoch;
    request->shard = grant->shard;
    action->u.dispatch.request = request->in.request;
    action->u.dispatch.adapter = request->in.adapter;
    action->u.dispatch.fence = grant->fence;
    action->u.dispatch.target = grant->target;
    action->u.dispatch.attempt = request->attempt;
    action->u.dispatch.expires_us = now_us + entry->options.send_within_us;
    action->u.dispatch.stall_ms = grant->stall_ms;
    action->u.dispatch.fill_percent = grant->fill_percent;
    entry->stats.dispatches++;
}

/** The permit could not be used; the next one gets an id of its own. */
static void
ask_later(sky_entry_t *entry, request_t *request, uint64_t now_us,
          sky_actions_t *out)
{
    if (request->attempt == ATTEMPTS_LIMIT) {
        finish_not_run(entry, request, SKY_E_LEASE, RETRY_AFTER_MS, out);
        return;
    }
    request->attempt++;
    request->asked_us = now_us;
}

static void
take_grant(sky_entry_t *entry, sky_host_id_t from,
           const sky_msg_grant_t *grant, uint64_t now_us, sky_actions_t *out)
{
    request_t *request = find_by_wire_id(entry, grant->request);
    if (grant->shard >= entry->shard_count ||
        grant->target >= entry->target_count) {
        return;
    }
    if (request != NULL && request->state == STATE_RUNNING &&
        request->target == grant->target) {
        return; /* the same grant again */
    }
    if (request == NULL || request->state != STATE_ACQUIRING ||
        !may_dispatch(entry, grant, now_us)) {
        entry->stats.stale_grants++;
        return_permit(from, grant->request, grant->shard, grant->target,
                      SKY_OUTCOME_RETURNED, out);
        if (request != NULL && request->state == STATE_ACQUIRING) {
            ask_later(entry, request, now_us, out);
        }
        return;
    }
    dispatch(entry, request, grant, now_us, out);
}

static void
take_refusal(sky_entry_t *entry, const sky_msg_refuse_t *refuse,
             sky_actions_t *out)
{
    request_t *request = find_by_wire_id(entry, refuse->request);
    if (request != NULL && request->state == STATE_ACQUIRING) {
        finish_not_run(entry, request, (sky_result_t)refuse->code,
                       refuse->retry_after_ms, out);
    }
}

static void
take_queued(sky_entry_t *entry, sky_request_id_t wire)
{
    request_t *request = find_by_wire_id(entry, wire);
    if (request != NULL) {
        request->unanswered = 0;
    }
}

static void
take_claim_answer(sky_entry_t *entry, const sky_msg_claim_answer_t *claim,
                  uint64_t now_us, sky_actions_t *out)
{
    request_t *request = find_request(entry, claim->request);
    if (request == NULL || request->state != STATE_CLAIMING) {
        return;
    }
    if (claim->code == SKY_OK) {
        begin_acquire(entry, request, now_us, out);
    }
    else {
        finish_not_run(entry, request, (sky_result_t)claim->code,
                       CLAIM_RETRY_AFTER_MS, out);
    }
}

void
SkyEntry_ClaimSeen(sky_entry_t *entry, const sky_key_t *key,
                   sky_request_id_t id, sky_actions_t *out)
{
    abandoned_t *claim;
    HASH_FIND(hh, entry->abandoned, &id, sizeof id, claim);
    if (claim == NULL) {
        return;
    }
    SkyClaims_Release(key, id, SkyMembers_Nonce(entry->members), out);
    HASH_DEL(entry->abandoned, claim);
    free(claim);
}

/* ---- collecting ---- */

static uint32_t
count_running(const sky_entry_t *entry, uint32_t shard)
{
    uint32_t count = 0;
    const request_t *request;
    for (request = entry->requests; request != NULL;
         request = request->hh.next) {
        count += request->state == STATE_RUNNING && request->shard == shard;
    }
    return count;
}

static sky_msg_inflight_t *
new_list(const sky_msg_shard_t *collect, sky_host_id_t to, uint32_t total,
         sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_Send(out, to, SKY_MSG_INFLIGHT);
    msg->u.inflight.shard = collect->shard;
    msg->u.inflight.fence = collect->fence;
    msg->u.inflight.round = collect->round;
    msg->u.inflight.total = total;
    return &msg->u.inflight;
}

static void
list_permits(sky_entry_t *entry, sky_host_id_t to,
             const sky_msg_shard_t *collect, sky_actions_t *out)
{
    uint32_t total = count_running(entry, collect->shard);
    sky_msg_inflight_t *list = new_list(collect, to, total, out);
    const request_t *request;
    for (request = entry->requests; request != NULL;
         request = request->hh.next) {
        if (request->state != STATE_RUNNING ||
            request->shard != collect->shard) {
            continue;
        }
        if (list->count == SKY_INFLIGHT_PER_MSG) {
            list = new_list(collect, to, total, out);
        }
        sky_permit_t *permit = &list->permits[list->count++];
        permit->request = wire_id(request);
        permit->adapter = request->in.adapter;
        permit->fingerprint = request->in.fingerprint;
        permit->epoch = request->epoch;
        permit->target = request->target;
    }
}

static void
take_collect(sky_entry_t *entry, sky_host_id_t from,
             const sky_msg_shard_t *collect, sky_actions_t *out)
{
    if (collect->shard >= entry->shard_count) {
        return;
    }
    promise_t *promise = &entry->promises[collect->shard];
    if (collect->fence < promise->fence) {
        return; /* from an owner that has been replaced */
    }
    if (collect->fence > promise->fence || collect->round > promise->round) {
        promise->fence = collect->fence;
        promise->round = collect->round;
    }
    list_permits(entry, from, collect, out);
}

void
SkyEntry_Message(sky_entry_t *entry, const sky_in_message_t *in,
                 uint64_t now_us, sky_actions_t *out)
{
    switch (in->msg.kind) {
    case SKY_MSG_GRANT:
        take_grant(entry, in->from, &in->msg.u.grant, now_us, out);
        break;
    case SKY_MSG_REFUSE:
        take_refusal(entry, &in->msg.u.refuse, out);
        break;
    case SKY_MSG_COLLECT:
        take_collect(entry, in->from, &in->msg.u.shard, out);
        break;
    case SKY_MSG_QUEUED:
        take_queued(entry, in->msg.u.queued);
        break;
    case SKY_MSG_CLAIM_ANSWER:
        take_claim_answer(entry, &in->msg.u.claim_answer, now_us, out);
        break;
    default:
        break;
    }
}

/* ---- outcomes ---- */

static bool
may_try_again(sky_entry_t *entry, const request_t *request,
              const sky_in_outcome_t *outcome, uint64_t now_us)
{
    bool harmless =
        outcome->outcome == SKY_OUTCOME_NOT_SENT ||
        outcome->outcome == SKY_OUTCOME_REFUSED ||
        (outcome->outcome == SKY_OUTCOME_BROKEN && !outcome->streamed);
    return harmless && !request->in.once && now_us < request->deadline_us &&
           request->attempt + 1 < entry->options.attempts_max &&
           entry->retry_tokens >= 1.0;
}

static sky_result_t
final_code(sky_outcome_t outcome)
{
    switch (outcome) {
    case SKY_OUTCOME_ANSWERED:
        return SKY_OK;
    case SKY_OUTCOME_NOT_SENT:
    case SKY_OUTCOME_RETURNED:
        return SKY_E_NO_TARGET;
    case SKY_OUTCOME_REFUSED:
        return SKY_E_REFUSED;
    case SKY_OUTCOME_CANCELLED:
        return SKY_E_CANCELLED;
    default:
        return SKY_E_UNKNOWN;
    }
}

static void
begin_doubt(sky_entry_t *entry, const request_t *request, uint64_t now_us,
            sky_actions_t *out)
{
    sky_rec_crash_t crash = {request->in.fingerprint, request->epoch,
                             request->target};
    SkyDoubts_Begin(entry->doubts, &crash, now_us, out);
}

void
SkyEntry_Outcome(sky_entry_t *entry, const sky_in_outcome_t *outcome,
                 uint64_t now_us, sky_actions_t *out)
{
    request_t *request = find_request(entry, outcome->request);
    if (request == NULL || request->state != STATE_RUNNING) {
        return;
    }
    sky_host_id_t owner = SkyMembers_Owner(
        entry->members, request->shard, shard_domain(entry, request->shard));
    return_permit(owner, wire_id(request), request->shard, request->target,
                  outcome->outcome, out);
    if (outcome->outcome == SKY_OUTCOME_BROKEN) {
        begin_doubt(entry, request, now_us, out);
    }
    if (may_try_again(entry, request, outcome, now_us)) {
        entry->retry_tokens -= 1.0;
        entry->stats.retries++;
        request->attempt++;
        begin_acquire(entry, request, now_us, out);
        return;
    }
    sky_result_t code = final_code(outcome->outcome);
    if (code == SKY_E_UNKNOWN && (entry->options.off & SKY_OFF_UNKNOWN)) {
        code = SKY_E_REFUSED;
    }
    bool was_not_run = SkyResult_Kind(code)[0] == 'n';
    if (was_not_run) {
        request->state = STATE_ACQUIRING;
        finish_not_run(entry, request, code, RETRY_AFTER_MS, out);
        return;
    }
    answer(entry, request->in.request, code, 0, out);
    forget(entry, request);
}

void
SkyEntry_Cancel(sky_entry_t *entry, sky_request_id_t id, sky_actions_t *out)
{
    request_t *request = find_request(entry, id);
    if (request == NULL || request->state == STATE_RUNNING) {
        return;
    }
    if (request->state == STATE_ACQUIRING && request->shard != SKY_NO_TARGET) {
        return_permit(SkyMembers_Owner(entry->members, request->shard,
                                       shard_domain(entry, request->shard)),
                      wire_id(request), request->shard, SKY_NO_TARGET,
                      SKY_OUTCOME_RETURNED, out);
    }
    finish_not_run(entry, request, SKY_E_CANCELLED, 0, out);
}

/* ---- time ---- */

static void
tick_request(sky_entry_t *entry, request_t *request, uint64_t now_us,
             sky_actions_t *out)
{
    uint64_t again_us = request->asked_us + entry->options.ask_again_us;
    if (request->state == STATE_RUNNING) {
        return;
    }
    if (now_us >= request->deadline_us) {
        finish_not_run(entry, request, SKY_E_DEADLINE, RETRY_AFTER_MS, out);
    }
    else if (request->state == STATE_CLAIMING) {
        if (now_us >= request->asked_us + entry->options.claim_wait_us) {
            finish_not_run(entry, request, SKY_E_LOG_DOWN,
                           CLAIM_RETRY_AFTER_MS, out);
        }
    }
    else if (now_us >= again_us) {
        ask_permit(entry, request, now_us, out);
    }
}

void
SkyEntry_Tick(sky_entry_t *entry, uint64_t now_us, sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    entry->now_us = now_us;
    while (entry->abandoned != NULL &&
           entry->abandoned->expires_us <= now_us) {
        abandoned_t *claim = entry->abandoned;
        HASH_DEL(entry->abandoned, claim);
        free(claim);
    }
    HASH_ITER(hh, entry->requests, request, next)
    {
        tick_request(entry, request, now_us, out);
    }
}

void
SkyEntry_ViewChanged(sky_entry_t *entry, uint64_t now_us, sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, entry->requests, request, next)
    {
        if (request->state == STATE_ACQUIRING &&
            now_us < request->deadline_us) {
            ask_permit(entry, request, now_us, out);
        }
    }
}

void
SkyEntry_SetLeaving(sky_entry_t *entry, uint32_t target, bool leaving)
{
    if (target < entry->target_count) {
        entry->leaving[target] = leaving;
    }
}

uint32_t
SkyEntry_OpenCount(const sky_entry_t *entry)
{
    return HASH_COUNT(entry->requests);
}

const sky_entry_stats_t *
SkyEntry_Stats(const sky_entry_t *entry)
{
    return &entry->stats;
}
