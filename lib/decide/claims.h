/**
 * @file claims.h
 * @brief At most one run of a non-idempotent request.
 *
 * A key belongs to the first claim record for it in log order. A claim counts
 * as won only once its record has been read back; the answer to the append is
 * not relied upon. Claims are grouped into one append per interval, and only
 * a bounded number of hosts append them.
 */
#ifndef SKY_DECIDE_CLAIMS_H
#define SKY_DECIDE_CLAIMS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint64_t interval_us; /**< shortest time between two appends */
    uint64_t keep_us;     /**< for how long a key is remembered */
    uint64_t wait_us;     /**< for how long a claim waits to be read back */
} sky_claims_options_t;

typedef struct sky_claims sky_claims_t;

sky_claims_t *SkyClaims_Create(const sky_claims_options_t *options);
void SkyClaims_Free(sky_claims_t *claims);

/** Takes a claim, from this host or from @p from. */
void SkyClaims_Ask(sky_claims_t *claims, sky_host_id_t from,
                   const sky_msg_claim_ask_t *ask, uint64_t now_us,
                   sky_actions_t *out);

/** Applies a CLAIMS or RELEASE record. */
void SkyClaims_Apply(sky_claims_t *claims, const sky_record_t *record,
                     uint64_t now_us, sky_actions_t *out);

/** Appends what is due and gives up what was not read back in time. */
void SkyClaims_Tick(sky_claims_t *claims, uint64_t nonce, uint64_t now_us,
                    sky_actions_t *out);

/** Appends a RELEASE: the claim's request was surely not run. */
void SkyClaims_Release(const sky_key_t *key, sky_request_id_t request,
                       uint64_t nonce, sky_actions_t *out);

/** @return holder of a key, 0 if it is free. */
sky_request_id_t SkyClaims_Holder(const sky_claims_t *claims,
                                  const sky_key_t *key);

/** @return keys remembered. */
size_t SkyClaims_Count(const sky_claims_t *claims);

#ifdef __cplusplus
}
#endif
#endif
