/**
 * @file retry_budget.h
 * @brief Limits the retries of this host to its part of one budget of all
 *        hosts.
 *
 * Retries within a sliding window stay below a ratio of the requests that this
 * host received, plus its part of a slack. The sum over all hosts then stays
 * within the budget without messages between them.
 */
#ifndef SKY_DECIDE_RETRY_BUDGET_H
#define SKY_DECIDE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_RETRY_BUDGET_BUCKETS 20 /**< per window */

typedef struct {
    double ratio;   /**< retries per request */
    uint32_t slack; /**< retries beyond the ratio, of all hosts together */
    uint32_t window_ms;
} sky_retry_budget_options_t;

/** Counts of one service. Zero-initialised: nothing was counted yet. */
typedef struct {
    uint32_t requests[SKY_RETRY_BUDGET_BUCKETS];
    uint32_t retries[SKY_RETRY_BUDGET_BUCKETS];
    uint64_t newest_bucket; /**< its number, counted from time 0 */
} sky_retry_budget_t;

/** Counts a request that a caller sent to this host. */
void SkyRetryBudget_RecordRequest(sky_retry_budget_t *budget,
                                  const sky_retry_budget_options_t *options,
                                  uint64_t now_ms);
/** Takes back the count of a request that another host counts instead. */
void SkyRetryBudget_RemoveRequest(sky_retry_budget_t *budget,
                                  const sky_retry_budget_options_t *options,
                                  uint64_t now_ms);
/** @return whether one more retry may be sent now, of a request whose caller
 *  has received nothing. A part of the budget is kept from these. */
bool SkyRetryBudget_CanRetry(sky_retry_budget_t *budget,
                             const sky_retry_budget_options_t *options,
                             uint32_t hosts, uint64_t now_ms);
/** @return whether one more retry may be sent now, of a stream whose caller
 *  has received events. */
bool SkyRetryBudget_CanContinue(sky_retry_budget_t *budget,
                                const sky_retry_budget_options_t *options,
                                uint32_t hosts, uint64_t now_ms);
/** Takes one retry out of the whole budget.
 *  @param hosts number of hosts that share the slack.
 *  @return false if the budget is used up. */
bool SkyRetryBudget_AcquireRetry(sky_retry_budget_t *budget,
                                 const sky_retry_budget_options_t *options,
                                 uint32_t hosts, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
