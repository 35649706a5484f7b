#include "decide/entry.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/invariant.h"

#define US_PER_MS 1000
/* The low bits of a request id in messages hold the attempt's number. */
#define ATTEMPT_BITS 4
#define ATTEMPT_NUMBER_MAX 15
#define RETRY_AFTER_MS 1000
#define CLAIM_RETRY_AFTER_MS 2000
/* Shards in order of rendezvous score that a request may be sent to: if the
 * owner of the first is unreachable, the next one is used. */
#define SHARD_CANDIDATES 2
/* SKY_MSG_ACQUIRE without a response before the next candidate is used. */
#define UNANSWERED_ACQUIRES_MAX 6

typedef enum {
    STATE_CLAIMING,
    STATE_ACQUIRING,
    STATE_DISPATCHED,
} state_t;

typedef struct {
    sky_in_request_t in; /**< as received */
    state_t state;
    uint32_t attempt;
    uint32_t shard;
    uint32_t shard_rank;          /**< rank of `shard` among the candidates */
    uint32_t unanswered_acquires; /**< in a row */
    uint32_t target;              /**< that the permit in use is for */
    uint64_t target_epoch;        /**< when the permit was granted */
    bool dispatched;
    bool may_have_run; /**< the exchange of an earlier attempt broke */
    uint64_t deadline_us;
    uint64_t requested_us; /**< last claim or permit request sent */
    UT_hash_handle hh;
} request_t;

/** Fence and round of the newest SKY_MSG_COLLECT_PERMITS of a shard that this
 * host responded to; grants with an older pair are stale. */
typedef struct {
    sky_fence_t fence;
    uint32_t round;
} accepted_owner_t;

/** A claim that was undecided when its request was finished as not run. It is
 *  released when its record is read from the log. */
typedef struct {
    sky_request_id_t request;
    uint64_t expires_us;
    UT_hash_handle hh;
} abandoned_claim_t;

struct sky_entry {
    sky_entry_options_t options;
    const sky_target_info_t *targets;
    uint32_t target_count;
    uint32_t shard_targets;
    uint32_t shard_count;
    sky_members_t *members;
    accepted_owner_t *accepted_owners; /* per shard */
    bool *is_leaving;                  /* per target */
    uint32_t *pool_hashes; /* per target: hash of its pool's name */
    request_t *requests;
    abandoned_claim_t *abandoned_claims; /* in order of their expiry */
    sky_unconfirmed_crashes_t *unconfirmed_crashes;
    uint64_t last_tick_us;
    double retry_tokens;
    sky_entry_stats_t stats;
};

sky_entry_t *
SkyEntry_Create(const sky_entry_options_t *options,
                const sky_target_info_t *targets, uint32_t target_count,
                uint32_t shard_targets, sky_members_t *members,
                sky_unconfirmed_crashes_t *unconfirmed_crashes)
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
    entry->unconfirmed_crashes = unconfirmed_crashes;
    entry->retry_tokens = options->retry_tokens_max;
    entry->accepted_owners =
        calloc(entry->shard_count, sizeof *entry->accepted_owners);
    entry->is_leaving = calloc(target_count, sizeof *entry->is_leaving);
    entry->pool_hashes = calloc(target_count, sizeof *entry->pool_hashes);
    if (entry->accepted_owners == NULL || entry->is_leaving == NULL ||
        entry->pool_hashes == NULL) {
        SkyEntry_Free(entry);
        return NULL;
    }
    for (uint32_t t = 0; t < target_count; t++) {
        entry->pool_hashes[t] = (uint32_t)SkyName_Hash(targets[t].pool);
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
    abandoned_claim_t *claim;
    abandoned_claim_t *next_claim;
    HASH_ITER(hh, entry->abandoned_claims, claim, next_claim)
    {
        HASH_DEL(entry->abandoned_claims, claim);
        free(claim);
    }
    free(entry->accepted_owners);
    free(entry->is_leaving);
    free(entry->pool_hashes);
    free(entry);
}

static request_t *
find_request(const sky_entry_t *entry, sky_request_id_t id)
{
    request_t *request;
    HASH_FIND(hh, entry->requests, &id, sizeof id, request);
    return request;
}

/** @return the id of the request's current attempt. Each attempt has its own,
 *  so that late messages about an earlier one are ignored. */
static sky_request_id_t
attempt_id(const request_t *request)
{
    return request->in.request + request->attempt;
}

static request_t *
find_by_attempt_id(const sky_entry_t *entry, sky_request_id_t id)
{
    sky_request_id_t mask = (UINT64_C(1) << ATTEMPT_BITS) - 1;
    request_t *request = find_request(entry, id & ~mask);
    return request != NULL && attempt_id(request) == id ? request : NULL;
}

static void
remove_request(sky_entry_t *entry, request_t *request)
{
    HASH_DEL(entry->requests, request);
    free(request);
}

static void
count_result(sky_entry_t *entry, sky_result_t code)
{
    const char *kind = SkyResult_Outcome(code);
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
respond(sky_entry_t *entry, sky_request_id_t id, sky_result_t code,
        uint32_t retry_after_ms, sky_actions_t *out)
{
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_RESPOND);
    action->u.response.request = id;
    action->u.response.code = code;
    action->u.response.retry_after_ms = retry_after_ms;
    count_result(entry, code);
}

static void
record_abandoned_claim(sky_entry_t *entry, sky_request_id_t id)
{
    abandoned_claim_t *claim = calloc(1, sizeof *claim);
    if (claim == NULL) {
        return; /* the key stays claimed, which is safe */
    }
    claim->request = id;
    claim->expires_us = entry->last_tick_us + entry->options.key_life_us;
    HASH_ADD(hh, entry->abandoned_claims, request, sizeof claim->request,
             claim);
}

/** Finishes a request whose current attempt did not run. If no earlier one may
 *  have run either, releases its claim; else the result is unknown. */
static void
finish_not_run(sky_entry_t *entry, request_t *request, sky_result_t code,
               uint32_t retry_after_ms, sky_actions_t *out)
{
    SKY_INVARIANT(SKY_INV_NO_DISPATCH_AFTER_NOT_RUN,
                  request->state != STATE_DISPATCHED);
    if (request->may_have_run) {
        sky_result_t unknown =
            code == SKY_E_CANCELLED ? SKY_E_CANCELLED : SKY_E_UNKNOWN;
        respond(entry, request->in.request, unknown, retry_after_ms, out);
        remove_request(entry, request);
        return;
    }
    if (request->in.at_most_once && request->state != STATE_CLAIMING) {
        SkyClaims_Release(&request->in.key, request->in.request,
                          SkyMembers_NextNonce(entry->members), out);
    }
    else if (request->in.at_most_once && code != SKY_E_CLAIMED) {
        record_abandoned_claim(entry, request->in.request);
    }
    respond(entry, request->in.request, code, retry_after_ms, out);
    remove_request(entry, request);
}

/* ---- choice of a shard ---- */

static bool
shard_serves_pool(const sky_entry_t *entry, uint32_t shard, uint32_t pool)
{
    uint32_t first = shard * entry->shard_targets;
    uint32_t last = first + entry->shard_targets;
    for (uint32_t t = first; t < last && t < entry->target_count; t++) {
        if (entry->pool_hashes[t] == pool && !entry->is_leaving[t]) {
            return true;
        }
    }
    return false;
}

/** @return the shard of rank @p shard_rank by rendezvous score for the
 *  request's adapter, or SKY_INDEX_NONE if no shard serves its pool. */
static uint32_t
choose_shard(const sky_entry_t *entry, const sky_in_request_t *in,
             uint32_t shard_rank)
{
    uint32_t best[SHARD_CANDIDATES] = {SKY_INDEX_NONE, SKY_INDEX_NONE};
    uint64_t best_score[SHARD_CANDIDATES] = {0, 0};
    for (uint32_t shard = 0; shard < entry->shard_count; shard++) {
        uint64_t score = SkyRendezvous_Score(shard, in->adapter);
        if (!shard_serves_pool(entry, shard, in->pool)) {
            continue;
        }
        if (best[0] == SKY_INDEX_NONE || score > best_score[0]) {
            best[1] = best[0];
            best_score[1] = best_score[0];
            best[0] = shard;
            best_score[0] = score;
        }
        else if (best[1] == SKY_INDEX_NONE || score > best_score[1]) {
            best[1] = shard;
            best_score[1] = score;
        }
    }
    uint32_t chosen = best[shard_rank % SHARD_CANDIDATES];
    return chosen != SKY_INDEX_NONE ? chosen : best[0];
}

uint32_t
SkyEntry_ChooseShard(const sky_entry_t *entry, sky_adapter_id_t adapter,
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

/* ---- requests for claims and permits ---- */

static void
request_claim(sky_entry_t *entry, request_t *request, uint64_t now_us,
              sky_actions_t *out)
{
    sky_host_id_t writer = SkyMembers_FindClaimWriter(
        entry->members, request->in.key.low, entry->options.claim_writers_max);
    sky_msg_t *msg = SkyActions_AddSend(out, writer, SKY_MSG_CLAIM_REQUEST);
    msg->u.claim_request.key = request->in.key;
    msg->u.claim_request.request = request->in.request;
    request->requested_us = now_us;
}

static void
request_permit(sky_entry_t *entry, request_t *request, uint64_t now_us,
               sky_actions_t *out)
{
    if (now_us >= request->deadline_us) {
        finish_not_run(entry, request, SKY_E_DEADLINE, RETRY_AFTER_MS, out);
        return;
    }
    if (request->unanswered_acquires == UNANSWERED_ACQUIRES_MAX) {
        request->unanswered_acquires = 0;
        request->shard_rank++;
    }
    request->unanswered_acquires++;
    request->shard = choose_shard(entry, &request->in, request->shard_rank);
    request->requested_us = now_us;
    if (request->shard == SKY_INDEX_NONE) {
        finish_not_run(entry, request, SKY_E_NO_TARGET, RETRY_AFTER_MS, out);
        return;
    }
    sky_host_id_t owner = SkyMembers_FindOwner(
        entry->members, request->shard, shard_domain(entry, request->shard));
    if (owner == 0) {
        return;
    }
    uint64_t remaining_us = request->deadline_us - now_us;
    sky_msg_acquire_t *acquire =
        &SkyActions_AddSend(out, owner, SKY_MSG_ACQUIRE)->u.acquire;
    acquire->request = attempt_id(request);
    acquire->adapter = request->in.adapter;
    acquire->fingerprint = request->in.fingerprint;
    acquire->shard = request->shard;
    acquire->pool = request->in.pool;
    acquire->urgency = request->in.urgency;
    acquire->remaining_ms = (uint32_t)(remaining_us / US_PER_MS);
    acquire->attempt = request->attempt;
}

static void
begin_acquire(sky_entry_t *entry, request_t *request, uint64_t now_us,
              sky_actions_t *out)
{
    request->state = STATE_ACQUIRING;
    request->unanswered_acquires = 0;
    request_permit(entry, request, now_us, out);
}

void
SkyEntry_HandleRequest(sky_entry_t *entry, const sky_in_request_t *in,
                       uint64_t now_us, sky_actions_t *out)
{
    entry->stats.requests++;
    entry->retry_tokens += entry->options.retry_tokens_per_request;
    if (entry->retry_tokens > entry->options.retry_tokens_max) {
        entry->retry_tokens = entry->options.retry_tokens_max;
    }
    if (in->at_most_once &&
        in->key_age_ms * US_PER_MS > entry->options.key_life_us) {
        respond(entry, in->request, SKY_E_KEY_EXPIRED, 0, out);
        return;
    }
    request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        respond(entry, in->request, SKY_E_MEMORY, RETRY_AFTER_MS, out);
        return;
    }
    request->in = *in;
    request->target = SKY_INDEX_NONE;
    request->deadline_us = now_us + (uint64_t)in->timeout_ms * US_PER_MS;
    HASH_ADD(hh, entry->requests, in.request, sizeof in->request, request);
    if (in->at_most_once &&
        !(entry->options.disabled_mechanisms & SKY_DISABLE_CLAIMS)) {
        request->state = STATE_CLAIMING;
        request_claim(entry, request, now_us, out);
    }
    else {
        begin_acquire(entry, request, now_us, out);
    }
}

/* ---- grants ---- */

static void
release_permit(sky_host_id_t owner, sky_request_id_t id, uint32_t shard,
               uint32_t target, sky_outcome_t outcome, sky_actions_t *out)
{
    if (owner == 0) {
        return;
    }
    sky_msg_t *msg = SkyActions_AddSend(out, owner, SKY_MSG_PERMIT_RELEASE);
    msg->u.permit_release.request = id;
    msg->u.permit_release.shard = shard;
    msg->u.permit_release.target = target;
    msg->u.permit_release.outcome = outcome;
}

static bool
is_stale_grant(const accepted_owner_t *accepted, const sky_msg_grant_t *grant)
{
    if (grant->fence != accepted->fence) {
        return grant->fence < accepted->fence;
    }
    return grant->round < accepted->round;
}

static bool
can_dispatch(const sky_entry_t *entry, const sky_msg_grant_t *grant,
             uint64_t now_us)
{
    return !is_stale_grant(&entry->accepted_owners[grant->shard], grant) &&
           !entry->is_leaving[grant->target] &&
           SkyMembers_CanDispatch(entry->members, now_us);
}

static void
dispatch(sky_entry_t *entry, request_t *request, const sky_msg_grant_t *grant,
         uint64_t now_us, sky_actions_t *out)
{
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_DISPATCH);
    SKY_INVARIANT(SKY_INV_ONE_DISPATCH_PER_KEY,
                  !request->in.at_most_once || !request->dispatched);
    request->dispatched = true;
    request->state = STATE_DISPATCHED;
    request->target = grant->target;
    request->target_epoch = grant->epoch;
    request->shard = grant->shard;
    action->u.dispatch.request = request->in.request;
    action->u.dispatch.adapter = request->in.adapter;
    action->u.dispatch.fence = grant->fence;
    action->u.dispatch.target = grant->target;
    action->u.dispatch.attempt = request->attempt;
    action->u.dispatch.expires_us = now_us + entry->options.permit_life_us;
    action->u.dispatch.adapter_wait_ms = grant->adapter_wait_ms;
    action->u.dispatch.batch_utilization_percent =
        grant->batch_utilization_percent;
    entry->stats.dispatches++;
}

/** Starts a new attempt, with an id of its own, after a permit that could not
 *  be used. The permit is requested by a later tick. */
static void
start_new_attempt(sky_entry_t *entry, request_t *request, uint64_t now_us,
                  sky_actions_t *out)
{
    if (request->attempt == ATTEMPT_NUMBER_MAX) {
        finish_not_run(entry, request, SKY_E_LEASE, RETRY_AFTER_MS, out);
        return;
    }
    request->attempt++;
    request->requested_us = now_us;
}

static void
handle_grant(sky_entry_t *entry, sky_host_id_t from,
             const sky_msg_grant_t *grant, uint64_t now_us, sky_actions_t *out)
{
    request_t *request = find_by_attempt_id(entry, grant->request);
    if (grant->shard >= entry->shard_count ||
        grant->target >= entry->target_count) {
        return;
    }
    if (request != NULL && request->state == STATE_DISPATCHED &&
        request->target == grant->target) {
        return; /* a duplicate of the grant in use */
    }
    if (request == NULL || request->state != STATE_ACQUIRING ||
        !can_dispatch(entry, grant, now_us)) {
        entry->stats.stale_grants++;
        release_permit(from, grant->request, grant->shard, grant->target,
                       SKY_OUTCOME_PERMIT_UNUSED, out);
        if (request != NULL && request->state == STATE_ACQUIRING) {
            start_new_attempt(entry, request, now_us, out);
        }
        return;
    }
    dispatch(entry, request, grant, now_us, out);
}

static void
handle_refusal(sky_entry_t *entry, const sky_msg_refuse_t *refuse,
               sky_actions_t *out)
{
    request_t *request = find_by_attempt_id(entry, refuse->request);
    if (request != NULL && request->state == STATE_ACQUIRING) {
        finish_not_run(entry, request, (sky_result_t)refuse->code,
                       refuse->retry_after_ms, out);
    }
}

static void
handle_queued(sky_entry_t *entry, sky_request_id_t id)
{
    request_t *request = find_by_attempt_id(entry, id);
    if (request != NULL) {
        request->unanswered_acquires = 0;
    }
}

static void
handle_claim_response(sky_entry_t *entry,
                      const sky_msg_claim_response_t *claim, uint64_t now_us,
                      sky_actions_t *out)
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
SkyEntry_ApplyClaim(sky_entry_t *entry, const sky_idempotency_key_t *key,
                    sky_request_id_t id, sky_actions_t *out)
{
    abandoned_claim_t *claim;
    HASH_FIND(hh, entry->abandoned_claims, &id, sizeof id, claim);
    if (claim == NULL) {
        return;
    }
    SkyClaims_Release(key, id, SkyMembers_NextNonce(entry->members), out);
    HASH_DEL(entry->abandoned_claims, claim);
    free(claim);
}

/* ---- permits for a new owner ---- */

static uint32_t
count_permits(const sky_entry_t *entry, uint32_t shard)
{
    uint32_t count = 0;
    const request_t *request;
    for (request = entry->requests; request != NULL;
         request = request->hh.next) {
        count += request->state == STATE_DISPATCHED && request->shard == shard;
    }
    return count;
}

static sky_msg_permit_list_t *
add_permit_list(const sky_msg_shard_t *collect, sky_host_id_t to,
                uint32_t total, sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_AddSend(out, to, SKY_MSG_PERMIT_LIST);
    msg->u.permit_list.shard = collect->shard;
    msg->u.permit_list.fence = collect->fence;
    msg->u.permit_list.round = collect->round;
    msg->u.permit_list.total = total;
    return &msg->u.permit_list;
}

static void
send_permit_list(sky_entry_t *entry, sky_host_id_t to,
                 const sky_msg_shard_t *collect, sky_actions_t *out)
{
    uint32_t total = count_permits(entry, collect->shard);
    sky_msg_permit_list_t *list = add_permit_list(collect, to, total, out);
    const request_t *request;
    for (request = entry->requests; request != NULL;
         request = request->hh.next) {
        if (request->state != STATE_DISPATCHED ||
            request->shard != collect->shard) {
            continue;
        }
        if (list->count == SKY_PERMITS_PER_MSG_MAX) {
            list = add_permit_list(collect, to, total, out);
        }
        sky_permit_t *permit = &list->permits[list->count++];
        permit->request = attempt_id(request);
        permit->adapter = request->in.adapter;
        permit->fingerprint = request->in.fingerprint;
        permit->epoch = request->target_epoch;
        permit->target = request->target;
    }
}

static void
handle_collect(sky_entry_t *entry, sky_host_id_t from,
               const sky_msg_shard_t *collect, sky_actions_t *out)
{
    if (collect->shard >= entry->shard_count) {
        return;
    }
    accepted_owner_t *accepted = &entry->accepted_owners[collect->shard];
    if (collect->fence < accepted->fence) {
        return; /* from an owner that a newer one has replaced */
    }
    if (collect->fence > accepted->fence || collect->round > accepted->round) {
        accepted->fence = collect->fence;
        accepted->round = collect->round;
    }
    send_permit_list(entry, from, collect, out);
}

void
SkyEntry_HandleMessage(sky_entry_t *entry, const sky_in_message_t *in,
                       uint64_t now_us, sky_actions_t *out)
{
    switch (in->msg.kind) {
    case SKY_MSG_GRANT:
        handle_grant(entry, in->from, &in->msg.u.grant, now_us, out);
        break;
    case SKY_MSG_REFUSE:
        handle_refusal(entry, &in->msg.u.refuse, out);
        break;
    case SKY_MSG_COLLECT_PERMITS:
        handle_collect(entry, in->from, &in->msg.u.shard, out);
        break;
    case SKY_MSG_QUEUED:
        handle_queued(entry, in->msg.u.queued);
        break;
    case SKY_MSG_CLAIM_RESPONSE:
        handle_claim_response(entry, &in->msg.u.claim_response, now_us, out);
        break;
    default:
        break;
    }
}

/* ---- outcomes ---- */

static bool
can_retry(sky_entry_t *entry, const request_t *request,
          const sky_in_outcome_t *outcome, uint64_t now_us)
{
    bool outcome_allows_retry =
        outcome->outcome == SKY_OUTCOME_NOT_SENT ||
        outcome->outcome == SKY_OUTCOME_REFUSED ||
        (outcome->outcome == SKY_OUTCOME_BROKEN && !outcome->streamed);
    return outcome_allows_retry && !request->in.at_most_once &&
           now_us < request->deadline_us &&
           request->attempt + 1 < entry->options.attempts_max &&
           entry->retry_tokens >= 1.0;
}

static sky_result_t
final_code(sky_outcome_t outcome)
{
    switch (outcome) {
    case SKY_OUTCOME_COMPLETED:
        return SKY_OK;
    case SKY_OUTCOME_NOT_SENT:
    case SKY_OUTCOME_PERMIT_UNUSED:
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
record_unconfirmed_crash(sky_entry_t *entry, const request_t *request,
                         uint64_t now_us, sky_actions_t *out)
{
    sky_rec_crash_t crash = {request->in.fingerprint, request->target_epoch,
                             request->target};
    SkyUnconfirmedCrashes_Record(entry->unconfirmed_crashes, &crash, now_us,
                                 out);
}

void
SkyEntry_HandleOutcome(sky_entry_t *entry, const sky_in_outcome_t *outcome,
                       uint64_t now_us, sky_actions_t *out)
{
    request_t *request = find_request(entry, outcome->request);
    if (request == NULL || request->state != STATE_DISPATCHED) {
        return;
    }
    sky_host_id_t owner = SkyMembers_FindOwner(
        entry->members, request->shard, shard_domain(entry, request->shard));
    release_permit(owner, attempt_id(request), request->shard, request->target,
                   outcome->outcome, out);
    if (outcome->outcome == SKY_OUTCOME_BROKEN) {
        request->may_have_run =
            !(entry->options.disabled_mechanisms & SKY_DISABLE_UNKNOWN_RESULT);
        record_unconfirmed_crash(entry, request, now_us, out);
    }
    if (can_retry(entry, request, outcome, now_us)) {
        entry->retry_tokens -= 1.0;
        entry->stats.retries++;
        request->attempt++;
        begin_acquire(entry, request, now_us, out);
        return;
    }
    sky_result_t code = final_code(outcome->outcome);
    if (code == SKY_E_UNKNOWN &&
        (entry->options.disabled_mechanisms & SKY_DISABLE_UNKNOWN_RESULT)) {
        code = SKY_E_REFUSED;
    }
    bool was_not_run = SkyResult_Outcome(code)[0] == 'n';
    if (was_not_run) {
        request->state = STATE_ACQUIRING;
        finish_not_run(entry, request, code, RETRY_AFTER_MS, out);
        return;
    }
    respond(entry, request->in.request, code, 0, out);
    remove_request(entry, request);
}

void
SkyEntry_CancelRequest(sky_entry_t *entry, sky_request_id_t id,
                       sky_actions_t *out)
{
    request_t *request = find_request(entry, id);
    if (request == NULL || request->state == STATE_DISPATCHED) {
        return;
    }
    if (request->state == STATE_ACQUIRING &&
        request->shard != SKY_INDEX_NONE) {
        release_permit(
            SkyMembers_FindOwner(entry->members, request->shard,
                                 shard_domain(entry, request->shard)),
            attempt_id(request), request->shard, SKY_INDEX_NONE,
            SKY_OUTCOME_PERMIT_UNUSED, out);
    }
    finish_not_run(entry, request, SKY_E_CANCELLED, 0, out);
}

/* ---- ticks ---- */

static void
tick_request(sky_entry_t *entry, request_t *request, uint64_t now_us,
             sky_actions_t *out)
{
    uint64_t next_acquire_us =
        request->requested_us + entry->options.acquire_interval_us;
    if (request->state == STATE_DISPATCHED) {
        return;
    }
    if (now_us >= request->deadline_us) {
        finish_not_run(entry, request, SKY_E_DEADLINE, RETRY_AFTER_MS, out);
    }
    else if (request->state == STATE_CLAIMING) {
        if (now_us >=
            request->requested_us + entry->options.claim_timeout_us) {
            finish_not_run(entry, request, SKY_E_LOG_DOWN,
                           CLAIM_RETRY_AFTER_MS, out);
        }
    }
    else if (now_us >= next_acquire_us) {
        request_permit(entry, request, now_us, out);
    }
}

void
SkyEntry_Tick(sky_entry_t *entry, uint64_t now_us, sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    entry->last_tick_us = now_us;
    while (entry->abandoned_claims != NULL &&
           entry->abandoned_claims->expires_us <= now_us) {
        abandoned_claim_t *claim = entry->abandoned_claims;
        HASH_DEL(entry->abandoned_claims, claim);
        free(claim);
    }
    HASH_ITER(hh, entry->requests, request, next)
    {
        tick_request(entry, request, now_us, out);
    }
}

void
SkyEntry_HandleViewChange(sky_entry_t *entry, uint64_t now_us,
                          sky_actions_t *out)
{
    request_t *request;
    request_t *next;
    HASH_ITER(hh, entry->requests, request, next)
    {
        if (request->state == STATE_ACQUIRING &&
            now_us < request->deadline_us) {
            request_permit(entry, request, now_us, out);
        }
    }
}

void
SkyEntry_SetTargetLeaving(sky_entry_t *entry, uint32_t target, bool leaving)
{
    if (target < entry->target_count) {
        entry->is_leaving[target] = leaving;
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
