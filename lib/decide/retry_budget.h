/**
 * @file retry_budget.h
 * @brief How many repeats this host may send, as its share of one budget of
 *        all hosts.
 *
 * Repeats within the window stay below a ratio of the requests that came to
 * this host, plus its share of a slack. The sum over all hosts then stays
 * below the budget without any message between them.
 */
#ifndef SKY_DECIDE_RETRY_BUDGET_H
#define SKY_DECIDE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_BUDGET_BUCKETS 20 /**< steps in which a window moves on */

typedef struct {
    double ratio;
    uint32_t slack; /**< of all hosts together */
    uint32_t window_ms;
} sky_retry_budget_options_t;

/** Of one service. Zero-initialised means nothing counted yet. */
typedef struct {
    uint32_t requests[SKY_BUDGET_BUCKETS];
    uint32_t repeats[SKY_BUDGET_BUCKETS];
    uint64_t newest; /**< number of the newest bucket since time 0 */
} sky_retry_budget_t;

/** Counts a request of a caller. */
void SkyRetryBudget_NoteRequest(sky_retry_budget_t *budget,
                                const sky_retry_budget_options_t *options,
                                uint64_t now_ms);
/** @return whether one more repeat may be sent now. */
bool SkyRetryBudget_IsLeft(sky_retry_budget_t *budget,
                           const sky_retry_budget_options_t *options,
                           uint32_t hosts, uint64_t now_ms);
/** Takes one repeat. @param hosts that share the slack.
 *  @return false if none is left. */
bool SkyRetryBudget_Take(sky_retry_budget_t *budget,
                         const sky_retry_budget_options_t *options,
                         uint32_t hosts, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
