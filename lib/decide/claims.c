#include "decide/claims.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/** A key that the log has given to a request. */
typedef struct claim {
    sky_key_t key;
    sky_request_id_t holder;
    uint64_t expires_us;
    UT_hash_handle hh;
} claim_t;

/** A claim that waits to be appended or read back. */
typedef struct pending {
    sky_key_t key;
    sky_request_id_t request;
    sky_host_id_t from;
    uint64_t expires_us;
    bool appended;
    struct pending *prev;
    struct pending *next;
} pending_t;

struct sky_claims {
    sky_claims_options_t options;
    uint64_t appended_us;
    claim_t *claims; /* insertion order is expiry order */
    pending_t *pending;
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
    HASH_ITER(hh, claims->claims, claim, next_claim)
    {
        HASH_DEL(claims->claims, claim);
        free(claim);
    }
    pending_t *pending;
    pending_t *next_pending;
    DL_FOREACH_SAFE(claims->pending, pending, next_pending)
    {
        DL_DELETE(claims->pending, pending);
        free(pending);
    }
    free(claims);
}

static claim_t *
find_claim(const sky_claims_t *claims, const sky_key_t *key)
{
    claim_t *claim;
    HASH_FIND(hh, claims->claims, key, sizeof *key, claim);
    return claim;
}

static void
answer(sky_host_id_t to, sky_request_id_t request, sky_result_t code,
       sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_Send(out, to, SKY_MSG_CLAIM_ANSWER);
    msg->u.claim_answer.request = request;
    msg->u.claim_answer.code = code;
}

static sky_result_t
verdict(const claim_t *claim, sky_request_id_t request)
{
    return claim->holder == request ? SKY_OK : SKY_E_CLAIMED;
}

static pending_t *
find_pending(sky_claims_t *claims, sky_request_id_t request)
{
    pending_t *pending;
    DL_FOREACH(claims->pending, pending)
    {
        if (pending->request == request) {
            return pending;
        }
    }
    return NULL;
}

void
SkyClaims_Ask(sky_claims_t *claims, sky_host_id_t from,
              const sky_msg_claim_ask_t *ask, uint64_t now_us,
              sky_actions_t *out)
{
    const claim_t *claim = find_claim(claims, &ask->key);
    if (claim != NULL) {
        answer(from, ask->request, verdict(claim, ask->request), out);
        return;
    }
    if (find_pending(claims, ask->request) != NULL) {
        return;
    }
    pending_t *pending = calloc(1, sizeof *pending);
    if (pending == NULL) {
        answer(from, ask->request, SKY_E_LOG_DOWN, out);
        return;
    }
    pending->key = ask->key;
    pending->request = ask->request;
    pending->from = from;
    pending->expires_us = now_us + claims->options.wait_us;
    DL_APPEND(claims->pending, pending);
}

static void
settle_pending(sky_claims_t *claims, const claim_t *claim, sky_actions_t *out)
{
    pending_t *pending;
    pending_t *next;
    DL_FOREACH_SAFE(claims->pending, pending, next)
    {
        if (memcmp(&pending->key, &claim->key, sizeof claim->key) != 0) {
            continue;
        }
        answer(pending->from, pending->request,
               verdict(claim, pending->request), out);
        DL_DELETE(claims->pending, pending);
        free(pending);
    }
}

static void
apply_claim(sky_claims_t *claims, const sky_key_t *key,
            sky_request_id_t request, uint64_t made_us, sky_actions_t *out)
{
    claim_t *claim = find_claim(claims, key);
    if (claim == NULL) {
        claim = calloc(1, sizeof *claim);
        if (claim == NULL) {
            abort();
        }
        claim->key = *key;
        claim->holder = request;
        claim->expires_us = made_us + claims->options.keep_us;
        HASH_ADD(hh, claims->claims, key, sizeof claim->key, claim);
    }
    settle_pending(claims, claim, out);
}

static void
apply_release(sky_claims_t *claims, const sky_key_t *key,
              sky_request_id_t request)
{
    claim_t *claim = find_claim(claims, key);
    if (claim != NULL && claim->holder == request) {
        /* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): uthash */
        HASH_DEL(claims->claims, claim);
        free(claim);
    }
}

void
SkyClaims_Apply(sky_claims_t *claims, const sky_record_t *record,
                uint64_t now_us, sky_actions_t *out)
{
    const sky_rec_claims_t *rec = &record->u.claims;
    uint64_t age_us = record->age_ms * 1000;
    uint64_t made_us = now_us > age_us ? now_us - age_us : 0;
    for (uint32_t i = 0; i < rec->count; i++) {
        if (record->kind == SKY_REC_CLAIMS) {
            apply_claim(claims, &rec->keys[i], rec->requests[i], made_us, out);
        }
        else {
            apply_release(claims, &rec->keys[i], rec->requests[i]);
        }
    }
}

static void
append_group(sky_claims_t *claims, uint64_t nonce, uint64_t now_us,
             sky_actions_t *out)
{
    sky_record_t record = {.kind = SKY_REC_CLAIMS, .nonce = nonce};
    sky_rec_claims_t *rec = &record.u.claims;
    pending_t *pending;
    if (now_us < claims->appended_us + claims->options.interval_us) {
        return;
    }
    DL_FOREACH(claims->pending, pending)
    {
        if (pending->appended) {
            continue;
        }
        if (rec->count == SKY_CLAIMS_PER_RECORD) {
            break;
        }
        pending->appended = true;
        rec->keys[rec->count] = pending->key;
        rec->requests[rec->count++] = pending->request;
    }
    if (rec->count > 0) {
        claims->appended_us = now_us;
        SkyActions_Add(out, SKY_ACT_APPEND)->u.append = record;
    }
}

static void
give_up_late(sky_claims_t *claims, uint64_t now_us, sky_actions_t *out)
{
    pending_t *pending;
    pending_t *next;
    DL_FOREACH_SAFE(claims->pending, pending, next)
    {
        if (now_us < pending->expires_us) {
            break;
        }
        answer(pending->from, pending->request, SKY_E_LOG_DOWN, out);
        DL_DELETE(claims->pending, pending);
        free(pending);
    }
}

static void
forget_expired(sky_claims_t *claims, uint64_t now_us)
{
    while (claims->claims != NULL && claims->claims->expires_us <= now_us) {
        claim_t *claim = claims->claims;
        HASH_DEL(claims->claims, claim);
        free(claim);
    }
}

void
SkyClaims_Tick(sky_claims_t *claims, uint64_t nonce, uint64_t now_us,
               sky_actions_t *out)
{
    append_group(claims, nonce, now_us, out);
    give_up_late(claims, now_us, out);
    forget_expired(claims, now_us);
}

void
SkyClaims_Release(const sky_key_t *key, sky_request_id_t request,
                  uint64_t nonce, sky_actions_t *out)
{
    sky_record_t *record = &SkyActions_Add(out, SKY_ACT_APPEND)->u.append;
    record->kind = SKY_REC_RELEASE;
    record->nonce = nonce;
    record->u.claims.count = 1;
    record->u.claims.keys[0] = *key;
    record->u.claims.requests[0] = request;
}

sky_request_id_t
SkyClaims_Holder(const sky_claims_t *claims, const sky_key_t *key)
{
    const claim_t *claim = find_claim(claims, key);
    return claim ? claim->holder : 0;
}

size_t
SkyClaims_Count(const sky_claims_t *claims)
{
    return HASH_COUNT(claims->claims);
}
