#include "decide/claims.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/** A key, and the request that claimed it first in the log. */
typedef struct claim {
    sky_idempotency_key_t key;
    sky_request_id_t holder;
    uint64_t expires_us;
    UT_hash_handle hh;
} claim_t;

/** A claim that is to be appended or was not read back yet. */
typedef struct pending_claim {
    sky_idempotency_key_t key;
    sky_request_id_t request;
    sky_host_id_t from;
    uint64_t deadline_us;
    bool appended;
    struct pending_claim *prev;
    struct pending_claim *next;
} pending_claim_t;

struct sky_claims {
    sky_claims_options_t options;
    uint64_t last_append_us;
    claim_t *by_key; /* in order of insertion, so the oldest expires first */
    pending_claim_t *pending;
};

sky_claims_t *
SkyClaims_Create(const sky_claims_options_t *options)
{
    sky_claims_t *claims = calloc(1, sizeof *claims);
    if (claims != NULL) {
        claims->options = *options;
    }
    return claims;
}

void
SkyClaims_Free(sky_claims_t *claims)
{
    if (claims == NULL) {
        return;
    }
    claim_t *claim;
    claim_t *next_claim;
    HASH_ITER(hh, claims->by_key, claim, next_claim)
    {
        HASH_DEL(claims->by_key, claim);
        free(claim);
    }
    pending_claim_t *pending;
    pending_claim_t *next_pending;
    DL_FOREACH_SAFE(claims->pending, pending, next_pending)
    {
        DL_DELETE(claims->pending, pending);
        free(pending);
    }
    free(claims);
}

static claim_t *
find_claim(const sky_claims_t *claims, const sky_idempotency_key_t *key)
{
    claim_t *claim;
    HASH_FIND(hh, claims->by_key, key, sizeof *key, claim);
    return claim;
}

static void
send_result(sky_host_id_t to, sky_request_id_t request, sky_result_t code,
            sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_AddSend(out, to, SKY_MSG_CLAIM_RESPONSE);
    msg->u.claim_response.request = request;
    msg->u.claim_response.code = code;
}

static sky_result_t
get_claim_result(const claim_t *claim, sky_request_id_t request)
{
    return claim->holder == request ? SKY_OK : SKY_E_CLAIMED;
}

static pending_claim_t *
find_pending_claim(sky_claims_t *claims, sky_request_id_t request)
{
    pending_claim_t *pending;
    DL_FOREACH(claims->pending, pending)
    {
        if (pending->request == request) {
            return pending;
        }
    }
    return NULL;
}

void
SkyClaims_HandleRequest(sky_claims_t *claims, sky_host_id_t from,
                        const sky_msg_claim_request_t *claim_request,
                        uint64_t now_us, sky_actions_t *out)
{
    const claim_t *claim = find_claim(claims, &claim_request->key);
    if (claim != NULL) {
        send_result(from, claim_request->request,
                    get_claim_result(claim, claim_request->request), out);
        return;
    }
    if (find_pending_claim(claims, claim_request->request) != NULL) {
        return;
    }
    pending_claim_t *pending = calloc(1, sizeof *pending);
    if (pending == NULL) {
        send_result(from, claim_request->request, SKY_E_LOG_DOWN, out);
        return;
    }
    pending->key = claim_request->key;
    pending->request = claim_request->request;
    pending->from = from;
    pending->deadline_us = now_us + claims->options.readback_timeout_us;
    DL_APPEND(claims->pending, pending);
}

static void
resolve_pending_claims(sky_claims_t *claims, const claim_t *claim,
                       sky_actions_t *out)
{
    pending_claim_t *pending;
    pending_claim_t *next;
    DL_FOREACH_SAFE(claims->pending, pending, next)
    {
        if (memcmp(&pending->key, &claim->key, sizeof claim->key) != 0) {
            continue;
        }
        send_result(pending->from, pending->request,
                    get_claim_result(claim, pending->request), out);
        DL_DELETE(claims->pending, pending);
        free(pending);
    }
}

static void
apply_claim(sky_claims_t *claims, const sky_idempotency_key_t *key,
            sky_request_id_t request, uint64_t record_appended_us,
            sky_actions_t *out)
{
    claim_t *claim = find_claim(claims, key);
    if (claim == NULL) {
        claim = calloc(1, sizeof *claim);
        if (claim == NULL) {
            abort();
        }
        claim->key = *key;
        claim->holder = request;
        claim->expires_us =
            record_appended_us + claims->options.key_retention_us;
        HASH_ADD(hh, claims->by_key, key, sizeof claim->key, claim);
    }
    resolve_pending_claims(claims, claim, out);
}

static void
apply_release(sky_claims_t *claims, const sky_idempotency_key_t *key,
              sky_request_id_t request)
{
    claim_t *claim = find_claim(claims, key);
    if (claim != NULL && claim->holder == request) {
        /* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): uthash */
        HASH_DEL(claims->by_key, claim);
        free(claim);
    }
}

void
SkyClaims_ApplyRecord(sky_claims_t *claims, const sky_record_t *record,
                      uint64_t now_us, sky_actions_t *out)
{
    const sky_rec_claims_t *rec = &record->u.claims;
    uint64_t age_us = record->age_ms * 1000;
    uint64_t record_appended_us = now_us > age_us ? now_us - age_us : 0;
    for (uint32_t i = 0; i < rec->count; i++) {
        if (record->kind == SKY_REC_CLAIMS) {
            apply_claim(claims, &rec->keys[i], rec->requests[i],
                        record_appended_us, out);
        }
        else {
            apply_release(claims, &rec->keys[i], rec->requests[i]);
        }
    }
}

static void
append_pending_claims(sky_claims_t *claims, uint64_t nonce, uint64_t now_us,
                      sky_actions_t *out)
{
    sky_record_t record = {.kind = SKY_REC_CLAIMS, .nonce = nonce};
    sky_rec_claims_t *rec = &record.u.claims;
    pending_claim_t *pending;
    if (now_us < claims->last_append_us + claims->options.append_interval_us) {
        return;
    }
    DL_FOREACH(claims->pending, pending)
    {
        if (pending->appended) {
            continue;
        }
        if (rec->count == SKY_CLAIMS_PER_RECORD_MAX) {
            break;
        }
        pending->appended = true;
        rec->keys[rec->count] = pending->key;
        rec->requests[rec->count++] = pending->request;
    }
    if (rec->count > 0) {
        claims->last_append_us = now_us;
        SkyActions_Add(out, SKY_ACT_APPEND)->u.append = record;
    }
}

static void
fail_overdue_claims(sky_claims_t *claims, uint64_t now_us, sky_actions_t *out)
{
    pending_claim_t *pending;
    pending_claim_t *next;
    DL_FOREACH_SAFE(claims->pending, pending, next)
    {
        if (now_us < pending->deadline_us) {
            break;
        }
        send_result(pending->from, pending->request, SKY_E_LOG_DOWN, out);
        DL_DELETE(claims->pending, pending);
        free(pending);
    }
}

static void
remove_expired_claims(sky_claims_t *claims, uint64_t now_us)
{
    while (claims->by_key != NULL && claims->by_key->expires_us <= now_us) {
        claim_t *claim = claims->by_key;
        HASH_DEL(claims->by_key, claim);
        free(claim);
    }
}

void
SkyClaims_Tick(sky_claims_t *claims, uint64_t nonce, uint64_t now_us,
               sky_actions_t *out)
{
    append_pending_claims(claims, nonce, now_us, out);
    fail_overdue_claims(claims, now_us, out);
    remove_expired_claims(claims, now_us);
}

void
SkyClaims_Release(const sky_idempotency_key_t *key, sky_request_id_t request,
                  uint64_t nonce, sky_actions_t *out)
{
    sky_record_t *record = &SkyActions_Add(out, SKY_ACT_APPEND)->u.append;
    record->kind = SKY_REC_CLAIM_RELEASE;
    record->nonce = nonce;
    record->u.claims.count = 1;
    record->u.claims.keys[0] = *key;
    record->u.claims.requests[0] = request;
}

sky_request_id_t
SkyClaims_FindHolder(const sky_claims_t *claims,
                     const sky_idempotency_key_t *key)
{
    const claim_t *claim = find_claim(claims, key);
    return claim ? claim->holder : 0;
}

size_t
SkyClaims_Count(const sky_claims_t *claims)
{
    return HASH_COUNT(claims->by_key);
}
