/**
 * @file quota_credit.h
 * @brief A host's credit of one workspace's quota.
 *
 * Load pattern: many requests a second of one workspace at a host, each of
 * which may run only if the owner of the quota has granted its cost. Small
 * requests use credit that the host holds; others wait for a call. A host
 * without an owner uses a small share of its own. The module does no I/O;
 * times are milliseconds of a clock that also runs during suspension.
 */
#ifndef SKY_DECIDE_QUOTA_CREDIT_H
#define SKY_DECIDE_QUOTA_CREDIT_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/quota_owner.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_QUOTA_OWNERS_MAX 8
/** Interval between the calls of a host to an owner. */
#define SKY_QUOTA_CALL_INTERVAL_MS 400
/** Hosts are some ms apart. */
#define SKY_QUOTA_CALL_TIMEOUT_MS 150

typedef struct {
    sky_quota_terms_t terms;
    uint32_t host_count; /**< all hosts, set by the caller; at least 1 */
    double left;
    double used;     /**< since the last response */
    double returned; /**< to give back with the next call */
    uint64_t valid_until_ms;
    double demand_per_s; /**< moving average */
    uint64_t demand_ms;  /**< when it was computed */
    uint64_t owner;      /**< hash of the current owner; 0: none yet */
    uint64_t owner_since_ms;
    uint64_t called_ms;    /**< last call to the current owner */
    uint64_t responded_ms; /**< last response of any owner; 0: none yet */
    uint64_t created_ms;
    uint64_t elsewhere_ms;  /**< when another owner may last have counted this
                                 host, or it used its own share; 0: never */
    uint32_t timeout_count; /**< calls in a row without a response */
    struct {
        uint64_t owner;
        uint64_t until_ms; /**< it is not asked before */
    } silent[SKY_QUOTA_OWNERS_MAX];
    double share; /**< credit without an owner */
    uint64_t share_ms;
    double refused_cost; /**< least cost that was refused */
    uint64_t refused_until_ms;
    uint64_t refused_wait_until_ms; /**< what the owner told */
} sky_quota_credit_t;

/** Numbers of hosts that owners told. An owner is told only what others know:
 *  a number that has become too large is forgotten. */
typedef struct {
    struct {
        uint64_t owner; /**< 0: none */
        uint32_t count;
        uint64_t at_ms;
    } told[SKY_QUOTA_OWNERS_MAX];
} sky_quota_hosts_t;

void SkyQuotaHosts_Record(sky_quota_hosts_t *hosts, uint64_t owner,
                          uint32_t count, uint64_t now_ms);
/** @param except owner whose number does not count; 0: none
 *  @return the greatest of these numbers and @p member_count; at least 1 */
uint32_t SkyQuotaHosts_Count(const sky_quota_hosts_t *hosts,
                             uint32_t member_count, uint64_t except,
                             uint64_t now_ms);

typedef enum {
    SKY_QUOTA_GRANTED,
    SKY_QUOTA_DENIED,
    SKY_QUOTA_ASK, /**< the owner is to be asked */
} sky_quota_result_t;

void SkyQuotaCredit_Init(sky_quota_credit_t *credit,
                         const sky_quota_terms_t *terms, uint64_t now_ms);
/** Applies a new quota; the credit is cut to this host's part of it. */
void SkyQuotaCredit_SetTerms(sky_quota_credit_t *credit,
                             const sky_quota_terms_t *terms);
/** Records the cost of a request that arrived. */
void SkyQuotaCredit_RecordDemand(sky_quota_credit_t *credit, uint64_t cost,
                                 uint64_t now_ms);
/** Takes the cost of a request out of the credit.
 *  @param wait_ms set if it is denied, by a refusal of the owner that is
 *         remembered */
sky_quota_result_t SkyQuotaCredit_Acquire(sky_quota_credit_t *credit,
                                          uint64_t cost, uint64_t now_ms,
                                          uint32_t *wait_ms);
/** Takes the cost out of this host's own share, as no owner responds. */
bool SkyQuotaCredit_AcquireShare(sky_quota_credit_t *credit, uint64_t cost,
                                 uint64_t now_ms, uint32_t *wait_ms);
/** @param hash of the refused request
 *  @return the wait to state: up to a quarter longer, so that callers refused
 *          within REFUSAL_TTL_MS of each other do not return together */
uint32_t SkyQuota_SpreadWait(uint32_t wait_ms, uint64_t hash);
/** Returns the cost of a request that did not run: to this host's credit, or
 *  to the owner if it was charged long ago. */
void SkyQuotaCredit_Refund(sky_quota_credit_t *credit, uint64_t cost,
                           uint64_t charged_ms, uint64_t now_ms);
/** Remembers that the owner refused a request. */
void SkyQuotaCredit_RecordRefusal(sky_quota_credit_t *credit, uint64_t cost,
                                  uint32_t wait_ms, uint64_t now_ms);

/** @param owners hashes of the owners, the preferred one first; none is 0
 *  @return index of the one to ask, or UINT32_MAX if all are silent */
uint32_t SkyQuotaCredit_ChooseOwner(const sky_quota_credit_t *credit,
                                    const uint64_t *owners, uint32_t count,
                                    uint64_t now_ms);
/** Begins a call and fills in the amounts and times of @p ask.
 *  @param cost of the request that waits; 0: none */
void SkyQuotaCredit_BeginCall(sky_quota_credit_t *credit, uint64_t owner,
                              uint64_t cost, uint64_t now_ms,
                              sky_quota_ask_t *ask);
/** Applies a response. @param sent_ms when the call was begun */
void SkyQuotaCredit_ApplyGrant(sky_quota_credit_t *credit, uint64_t owner,
                               const sky_quota_grant_t *grant,
                               uint64_t sent_ms, uint64_t now_ms);
/** Records that an owner did not respond in time. */
void SkyQuotaCredit_RecordSilence(sky_quota_credit_t *credit, uint64_t owner,
                                  uint64_t now_ms);
/** @return whether the owner began to count this host a moment ago: a request
 *          that it refuses had better wait, as the bucket began empty. */
bool SkyQuotaCredit_IsUnsettled(const sky_quota_credit_t *credit,
                                uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
