#include "decide/retry_budget.h"

/** Used of the ratio: requests that never reach a target, or cross the
 *  window's edge, count elsewhere. */
#define RATIO_SHARE 0.8
/** Used of the slack: hosts that come and go have spent theirs. */
#define SLACK_SHARE 0.6

static uint32_t *
bucket(uint32_t *buckets, uint64_t number)
{
    return &buckets[number % SKY_BUDGET_BUCKETS];
}

static void
move_on(sky_retry_budget_t *budget, const sky_retry_budget_options_t *options,
        uint64_t now_ms)
{
    uint64_t number = now_ms * SKY_BUDGET_BUCKETS / options->window_ms;
    if (number >= budget->newest + SKY_BUDGET_BUCKETS) {
        *budget = (sky_retry_budget_t){.newest = number};
    }
    while (budget->newest < number) {
        budget->newest++;
        *bucket(budget->requests, budget->newest) = 0;
        *bucket(budget->repeats, budget->newest) = 0;
    }
}

static uint32_t
sum(const uint32_t *buckets)
{
    uint32_t total = 0;
    for (uint32_t i = 0; i < SKY_BUDGET_BUCKETS; i++) {
        total += buckets[i];
    }
    return total;
}

void
SkyRetryBudget_NoteRequest(sky_retry_budget_t *budget,
                           const sky_retry_budget_options_t *options,
                           uint64_t now_ms)
{
    move_on(budget, options, now_ms);
    (*bucket(budget->requests, budget->newest))++;
}

bool
SkyRetryBudget_IsLeft(sky_retry_budget_t *budget,
                      const sky_retry_budget_options_t *options,
                      uint32_t hosts, uint64_t now_ms)
{
    move_on(budget, options, now_ms);
    double allowed = options->ratio * RATIO_SHARE * sum(budget->requests) +
                     options->slack * SLACK_SHARE / (hosts > 0 ? hosts : 1);
    return sum(budget->repeats) + 1 <= allowed;
}

bool
SkyRetryBudget_Take(sky_retry_budget_t *budget,
                    const sky_retry_budget_options_t *options, uint32_t hosts,
                    uint64_t now_ms)
{
    if (!SkyRetryBudget_IsLeft(budget, options, hosts, now_ms)) {
        return false;
    }
    (*bucket(budget->repeats, budget->newest))++;
    return true;
}
