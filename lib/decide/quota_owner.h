/**
 * @file quota_owner.h
 * @brief The owner's account of one workspace's quota.
 *
 * Load pattern: a workspace whose requests arrive at all hosts, unevenly, and
 * whose quota is so small that one request is many times a host's equal share.
 * One owner grants credit out of a token bucket. The bucket refills only for
 * the hosts that call this owner, so that several owners at once, each with
 * its own callers, stay within the quota together. The module does no I/O;
 * times are milliseconds of a clock that also runs during suspension.
 */
#ifndef SKY_DECIDE_QUOTA_OWNER_H
#define SKY_DECIDE_QUOTA_OWNER_H

#include <stdint.h>

#include "core/result.h"
#include "decide/workspaces.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Time for which a call counts its host as heard, and brings credit. */
#define SKY_QUOTA_VALID_MS 1000
/** A new owner counts its callers after SKY_QUOTA_VALID_MS. Requests that it
 *  refuses until then wait, and those of a workspace that uses half its quota
 *  are served within as long again. Until this time refused requests wait. */
#define SKY_QUOTA_SETTLE_MS 4000

/** What a quota allows. */
typedef struct {
    double rate_per_s;
    double burst;
    /** Units that a window may hold beyond rate and burst. */
    double room;
} sky_quota_terms_t;

/** @param overshoot fraction allowed beyond rate and burst in the window */
sky_quota_terms_t SkyQuotaTerms_Make(const sky_quota_t *quota,
                                     uint32_t window_ms, double overshoot,
                                     uint64_t slack);

/** One row of a host's call; amounts are units. */
typedef struct {
    uint64_t host;        /**< hash of the caller's name */
    uint32_t host_count;  /**< number of all hosts, as the caller knows it */
    int64_t elsewhere_ms; /**< since another owner may have counted the host,
                               or it used its own share; -1: never */
    uint64_t used;        /**< since the last response */
    uint64_t left;        /**< credit that the host holds */
    uint64_t returned;    /**< credit given back */
    uint64_t wanted;      /**< credit that it wants to hold */
    uint64_t needed;      /**< for a request that waits; 0: none */
} sky_quota_ask_t;

typedef struct {
    /** Includes all that is needed, or nothing of it. */
    uint64_t granted;
    uint32_t wait_ms; /**< until what is needed can be granted; 0: it is */
} sky_quota_grant_t;

typedef struct sky_quota_owner sky_quota_owner_t;

/** @return SKY_OK or SKY_E_MEMORY. The bucket is empty. */
sky_result_t SkyQuotaOwner_Create(const sky_quota_terms_t *terms,
                                  sky_quota_owner_t **owner);
/** NULL is allowed. */
void SkyQuotaOwner_Free(sky_quota_owner_t *owner);
/** Applies a new quota; the bucket is cut to its new size. */
void SkyQuotaOwner_SetTerms(sky_quota_owner_t *owner,
                            const sky_quota_terms_t *terms, uint64_t now_ms);
/** @param member_count hosts that this owner knows, itself included
 *  @param grant set to what the host gets; nothing if memory ran out
 *  @return SKY_OK or SKY_E_MEMORY */
sky_result_t SkyQuotaOwner_HandleAsk(sky_quota_owner_t *owner,
                                     const sky_quota_ask_t *ask,
                                     uint32_t member_count, uint64_t now_ms,
                                     sky_quota_grant_t *grant);
/** @return number of hosts by this owner's own knowledge, without the numbers
 *          that callers state: they pass it on to other owners. */
uint32_t SkyQuotaOwner_CountHosts(sky_quota_owner_t *owner,
                                  uint32_t member_count, uint64_t now_ms);
/** @return units in the bucket; negative after a request larger than it. */
double SkyQuotaOwner_GetLevel(const sky_quota_owner_t *owner);

#ifdef __cplusplus
}
#endif
#endif
