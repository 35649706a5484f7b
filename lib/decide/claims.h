/**
 * @file claims.h
 * @brief Claims of idempotency keys: a request with a key runs at most once.
 *
 * A key belongs to the first claim for it in log order. A claim has succeeded
 * only once its record has been read back; the response to the append is not
 * relied upon. Claims are grouped into one append per interval, and only a
 * bounded number of hosts append them.
 */
#ifndef SKY_DECIDE_CLAIMS_H
#define SKY_DECIDE_CLAIMS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint64_t append_interval_us;  /**< min time between two appends */
    uint64_t key_retention_us;    /**< time a claimed key is retained */
    uint64_t readback_timeout_us; /**< max wait for a claim to be read back */
} sky_claims_options_t;

typedef struct sky_claims sky_claims_t;

sky_claims_t *SkyClaims_Create(const sky_claims_options_t *options);
void SkyClaims_Free(sky_claims_t *claims);

/**
 * Handles a request for a claim from host @p from, which may be this host. The
 * result is sent to it once the claim is read back; at once, if the key is
 * claimed already. It is SKY_E_LOG_DOWN if the claim is not read back in time.
 */
void SkyClaims_HandleRequest(sky_claims_t *claims, sky_host_id_t from,
                             const sky_msg_claim_request_t *claim_request,
                             uint64_t now_us, sky_actions_t *out);

/** Applies a record of claims or of the release of a claim. */
void SkyClaims_ApplyRecord(sky_claims_t *claims, const sky_record_t *record,
                           uint64_t now_us, sky_actions_t *out);

/** Appends pending claims, fails those that were not read back in time, and
 *  removes expired keys. */
void SkyClaims_Tick(sky_claims_t *claims, uint64_t nonce, uint64_t now_us,
                    sky_actions_t *out);

/** Appends the release of a claim. Only for a request that certainly did not
 *  run. */
void SkyClaims_Release(const sky_idempotency_key_t *key,
                       sky_request_id_t request, uint64_t nonce,
                       sky_actions_t *out);

/** @return the request that holds a key, 0 if the key is not claimed. */
sky_request_id_t SkyClaims_FindHolder(const sky_claims_t *claims,
                                      const sky_idempotency_key_t *key);

/** @return number of claimed keys that are retained. */
size_t SkyClaims_Count(const sky_claims_t *claims);

#ifdef __cplusplus
}
#endif
#endif
