#include "edge/rate_permits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"

#define CALL_PATH "/rate-permit"
#define OWNER_TIMEOUT_MS 150 /**< hosts are some ms apart */
/** An owner that did not respond is not asked for this time. */
#define OWNER_SILENT_MS 500
/** Part of the limit that all hosts without an owner may use together. The
 *  owner may hand out the whole limit to others meanwhile. */
#define OWNERLESS_FRACTION 0.25
/** A limit that no host asked for is forgotten. */
#define LIMIT_TTL_MS 60000
#define WAIT_MIN_MS 20 /**< limits the calls of hosts for one target */

/** Owner's account of a target. */
typedef struct {
    char target_id[SKY_TARGET_ID_BYTES];
    sky_target_limit_t limit;
    uint64_t asked_ms; /**< last time */
    UT_hash_handle hh;
} account_t;

struct sky_rate_permit_request {
    sky_rate_permits_t *permits;
    char target_id[SKY_TARGET_ID_BYTES];
    sky_host_call_t *call;
    sky_rate_permit_done_t done;
    void *context;
    sky_rate_permit_request_t *prev;
    sky_rate_permit_request_t *next;
};

struct sky_rate_permits {
    sky_rate_permits_options_t options;
    account_t *accounts;
    sky_rate_permit_request_t *requests;
};

static void
remove_unused_accounts(sky_rate_permits_t *permits, uint64_t now_ms)
{
    account_t *account;
    account_t *next;
    HASH_ITER(hh, permits->accounts, account, next)
    {
        if (now_ms > account->asked_ms + LIMIT_TTL_MS) {
            HASH_DEL(permits->accounts, account);
            free(account);
        }
    }
}

static account_t *
find_or_add_account(sky_rate_permits_t *permits, const char *target_id,
                    uint64_t now_ms)
{
    account_t *account;
    HASH_FIND_STR(permits->accounts, target_id, account);
    if (account == NULL) {
        remove_unused_accounts(permits, now_ms);
        account = calloc(1, sizeof *account);
        if (account == NULL) {
            return NULL;
        }
        snprintf(account->target_id, sizeof account->target_id, "%s",
                 target_id);
        HASH_ADD_STR(permits->accounts, target_id, account);
    }
    account->asked_ms = now_ms;
    return account;
}

static bool
is_owner(const sky_rate_permits_t *permits, const char *target_id)
{
    uint64_t fence;
    uint32_t shard = SkyOwnership_GetShard(
        permits->options.ownership, XXH3_64bits(target_id, strlen(target_id)));
    return SkyOwnership_CanSendOrders(permits->options.ownership, shard,
                                      &fence);
}

typedef struct {
    bool granted;
    uint32_t wait_ms;
    double per_s; /**< newest known limit; 0: none */
    uint64_t observed_ms;
} decision_t;

/* Decides as the target's owner. */
static decision_t
decide(sky_rate_permits_t *permits, const char *target_id, double per_s,
       uint64_t observed_ms)
{
    uint64_t now_ms = SkyClock_NowMs();
    decision_t decision = {.wait_ms = WAIT_MIN_MS};
    account_t *account = find_or_add_account(permits, target_id, now_ms);
    if (account == NULL) {
        SkyLog_Write(LOG_ERR, "permit_denied", "target=%s reason=memory",
                     target_id);
        return decision;
    }
    if (SkyTargetLimit_Observe(&account->limit, per_s, observed_ms)) {
        SkyLog_Write(LOG_NOTICE, "permits", "target=%s per_s=%.2f", target_id,
                     per_s);
    }
    decision.granted = account->limit.per_s == 0.0 ||
                       SkyTargetLimit_Acquire(&account->limit, 1.0, now_ms,
                                              &decision.wait_ms);
    decision.per_s = account->limit.per_s;
    decision.observed_ms = account->limit.observed_ms;
    return decision;
}

static void
on_call(void *context, sky_server_request_t *server_request,
        const json_t *body)
{
    sky_rate_permits_t *permits = context;
    uint64_t now_ms = SkyClock_NowMs();
    const char *target_id = "";
    double per_s = 0.0;
    json_int_t age_ms = 0;
    if (json_unpack((json_t *)body, "{s:s, s:F, s:I}", "target", &target_id,
                    "per_s", &per_s, "age_ms", &age_ms) != 0 ||
        strlen(target_id) >= SKY_TARGET_ID_BYTES || per_s < 0.0 ||
        age_ms < 0 || (uint64_t)age_ms > now_ms) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused", "path=" CALL_PATH);
        SkyServerRequest_Respond(server_request, 400, "", "", 0);
        return;
    }
    if (!is_owner(permits, target_id)) {
        SkyServerRequest_Respond(server_request, 503, "", "", 0);
        return;
    }
    decision_t decision =
        decide(permits, target_id, per_s, now_ms - (uint64_t)age_ms);
    SkyHostCalls_Respond(
        server_request,
        json_pack("{s:b, s:I, s:f, s:I}", "granted", decision.granted,
                  "wait_ms", (json_int_t)decision.wait_ms, "per_s",
                  decision.per_s, "age_ms",
                  (json_int_t)(now_ms - decision.observed_ms)));
}

/* Share of its interval between two permits after which this host, without an
 * owner, sends its first request: the hosts do not begin together. */
static double
first_permit_phase(const sky_rate_permits_t *permits,
                   const sky_fleet_target_t *target)
{
    const char *name = permits->options.settings->name;
    uint64_t hash = XXH3_64bits_withSeed(name, strlen(name), target->hash);
    return (double)(hash >> 11) / (double)(UINT64_C(1) << 53);
}

void
SkyRatePermits_RecordLimit(const sky_rate_permits_t *permits,
                           sky_fleet_target_t *target, double per_s)
{
    uint64_t now_ms = SkyClock_NowMs();
    double before = target->limit.per_s;
    if (!SkyTargetLimit_Observe(&target->limit, per_s, now_ms)) {
        return;
    }
    if (before == 0.0) {
        SkyTargetLimit_Reset(&target->limit,
                             first_permit_phase(permits, target), now_ms);
    }
    SkyLog_Write(LOG_NOTICE, "target_limit",
                 "target=%s per_s=%.2f before=%.2f in_flight=%u",
                 target->entry.id, per_s, before, target->in_flight);
}

/* Without an owner. */
static sky_rate_permit_t
acquire_own_share(const sky_rate_permits_t *permits,
                  sky_fleet_target_t *target, uint64_t now_ms)
{
    uint32_t wait_ms;
    uint32_t host_count = permits->options.directory->host_count;
    if (SkyTargetLimit_Acquire(&target->limit,
                               OWNERLESS_FRACTION / (double)host_count, now_ms,
                               &wait_ms)) {
        return SKY_RATE_PERMIT_GRANTED;
    }
    target->limit_wait_until_ms = now_ms + wait_ms;
    return SKY_RATE_PERMIT_DENIED;
}

static sky_rate_permit_t
apply_decision(const sky_rate_permits_t *permits, sky_fleet_target_t *target,
               const decision_t *decision, uint64_t now_ms)
{
    SkyTargetLimit_Observe(&target->limit, decision->per_s,
                           decision->observed_ms);
    SkyTargetLimit_Reset(&target->limit, first_permit_phase(permits, target),
                         now_ms);
    if (decision->granted) {
        return SKY_RATE_PERMIT_GRANTED;
    }
    target->limit_wait_until_ms =
        now_ms +
        (decision->wait_ms > WAIT_MIN_MS ? decision->wait_ms : WAIT_MIN_MS);
    return SKY_RATE_PERMIT_DENIED;
}

static void
free_request(sky_rate_permit_request_t *request)
{
    DL_DELETE(request->permits->requests, request);
    free(request);
}

static sky_rate_permit_t
apply_response(const sky_rate_permits_t *permits, sky_fleet_target_t *target,
               const json_t *body)
{
    uint64_t now_ms = SkyClock_NowMs();
    int granted = 0;
    json_int_t wait_ms = 0;
    json_int_t age_ms = 0;
    double per_s = 0.0;
    if (target == NULL) {
        return SKY_RATE_PERMIT_DENIED; /* it has left meanwhile */
    }
    if (body == NULL ||
        json_unpack((json_t *)body, "{s:b, s:I, s:F, s:I}", "granted",
                    &granted, "wait_ms", &wait_ms, "per_s", &per_s, "age_ms",
                    &age_ms) != 0 ||
        wait_ms < 0 || age_ms < 0 || (uint64_t)age_ms > now_ms) {
        target->limit_owner_silent_until_ms = now_ms + OWNER_SILENT_MS;
        return acquire_own_share(permits, target, now_ms);
    }
    decision_t decision = {granted != 0, (uint32_t)wait_ms, per_s,
                           now_ms - (uint64_t)age_ms};
    return apply_decision(permits, target, &decision, now_ms);
}

static void
on_response(void *context, const json_t *body)
{
    sky_rate_permit_request_t *request = context;
    const sky_rate_permits_t *permits = request->permits;
    sky_rate_permit_t permit =
        apply_response(permits,
                       SkyFleet_FindTarget(permits->options.directory->fleet,
                                           request->target_id),
                       body);
    sky_rate_permit_done_t done = request->done;
    void *done_context = request->context;
    free_request(request);
    done(done_context, permit);
}

/* @return NULL if the call could not be made. */
static sky_rate_permit_request_t *
ask_owner(sky_rate_permits_t *permits, const char *owner,
          const sky_fleet_target_t *target, uint64_t now_ms)
{
    sky_rate_permit_request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        return NULL;
    }
    request->permits = permits;
    snprintf(request->target_id, sizeof request->target_id, "%s",
             target->entry.id);
    request->call = SkyHostCalls_SendCall(
        permits->options.host_calls, owner, CALL_PATH,
        json_pack("{s:s, s:f, s:I}", "target", target->entry.id, "per_s",
                  target->limit.per_s, "age_ms",
                  (json_int_t)(now_ms - target->limit.observed_ms)),
        OWNER_TIMEOUT_MS, on_response, request);
    if (request->call == NULL) {
        free(request);
        return NULL;
    }
    DL_APPEND(permits->requests, request);
    return request;
}

sky_rate_permit_t
SkyRatePermits_Acquire(sky_rate_permits_t *permits, sky_fleet_target_t *target,
                       sky_rate_permit_done_t done, void *context,
                       sky_rate_permit_request_t **pending)
{
    uint64_t now_ms = SkyClock_NowMs();
    const char *owner = SkyOwnership_FindOwnerAddress(
        permits->options.ownership,
        SkyOwnership_GetShard(permits->options.ownership, target->hash));
    *pending = NULL;
    if (is_owner(permits, target->entry.id)) {
        decision_t decision =
            decide(permits, target->entry.id, target->limit.per_s,
                   target->limit.observed_ms);
        return apply_decision(permits, target, &decision, now_ms);
    }
    if (owner != NULL &&
        strcmp(owner, permits->options.settings->control) != 0 &&
        now_ms >= target->limit_owner_silent_until_ms) {
        *pending = ask_owner(permits, owner, target, now_ms);
    }
    if (*pending == NULL) {
        return acquire_own_share(permits, target, now_ms);
    }
    (*pending)->done = done;
    (*pending)->context = context;
    return SKY_RATE_PERMIT_PENDING;
}

void
SkyRatePermits_Cancel(sky_rate_permit_request_t *request)
{
    SkyHostCalls_CancelCall(request->call);
    free_request(request);
}

sky_result_t
SkyRatePermits_Create(const sky_rate_permits_options_t *options,
                      sky_rate_permits_t **permits)
{
    sky_rate_permits_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    SkyHostCalls_RegisterHandler(options->host_calls, CALL_PATH, on_call, NULL,
                                 self);
    *permits = self;
    return SKY_OK;
}

void
SkyRatePermits_Free(sky_rate_permits_t *permits)
{
    if (permits == NULL) {
        return;
    }
    sky_rate_permit_request_t *request;
    sky_rate_permit_request_t *next_request;
    DL_FOREACH_SAFE(permits->requests, request, next_request)
    {
        SkyRatePermits_Cancel(request);
    }
    account_t *account;
    account_t *next_account;
    HASH_ITER(hh, permits->accounts, account, next_account)
    {
        HASH_DEL(permits->accounts, account);
        free(account);
    }
    free(permits);
}
