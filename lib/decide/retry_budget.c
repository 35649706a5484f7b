#include "decide/retry_budget.h"

/** Fraction of the ratio that is used: requests that never reach a target, or
 *  that fall on the edge of the window, are counted differently elsewhere. */
#define RATIO_FRACTION 0.8
/** Fraction of the slack that is used: hosts that come and go have spent their
 * part of it too. */
#define SLACK_FRACTION 0.6

/** Fraction for requests whose callers have received nothing. The rest is for
 *  streams under way, which lose more by a refusal and are fewer. */
#define NEW_REQUESTS_FRACTION 0.75

static uint32_t *
find_bucket(uint32_t *buckets, uint64_t bucket_number)
{
    return &buckets[bucket_number % SKY_RETRY_BUDGET_BUCKETS];
}

static void
advance_window(sky_retry_budget_t *budget,
               const sky_retry_budget_options_t *options, uint64_t now_ms)
{
    uint64_t bucket_number =
        now_ms * SKY_RETRY_BUDGET_BUCKETS / options->window_ms;
    if (bucket_number >= budget->newest_bucket + SKY_RETRY_BUDGET_BUCKETS) {
        *budget = (sky_retry_budget_t){.newest_bucket = bucket_number};
    }
    while (budget->newest_bucket < bucket_number) {
        budget->newest_bucket++;
        *find_bucket(budget->requests, budget->newest_bucket) = 0;
        *find_bucket(budget->retries, budget->newest_bucket) = 0;
    }
}

static uint32_t
sum_buckets(const uint32_t *buckets)
{
    uint32_t total = 0;
    for (uint32_t i = 0; i < SKY_RETRY_BUDGET_BUCKETS; i++) {
        total += buckets[i];
    }
    return total;
}

void
SkyRetryBudget_RecordRequest(sky_retry_budget_t *budget,
                             const sky_retry_budget_options_t *options,
                             uint64_t now_ms)
{
    advance_window(budget, options, now_ms);
    (*find_bucket(budget->requests, budget->newest_bucket))++;
}

void
SkyRetryBudget_RemoveRequest(sky_retry_budget_t *budget,
                             const sky_retry_budget_options_t *options,
                             uint64_t now_ms)
{
    advance_window(budget, options, now_ms);
    for (uint64_t age = 0; age < SKY_RETRY_BUDGET_BUCKETS; age++) {
        uint32_t *count =
            find_bucket(budget->requests, budget->newest_bucket - age);
        if (*count > 0) {
            (*count)--;
            return;
        }
    }
}

static double
allowed_retries(sky_retry_budget_t *budget,
                const sky_retry_budget_options_t *options, uint32_t hosts,
                uint64_t now_ms)
{
    advance_window(budget, options, now_ms);
    return options->ratio * RATIO_FRACTION * sum_buckets(budget->requests) +
           options->slack * SLACK_FRACTION / (hosts > 0 ? hosts : 1);
}

bool
SkyRetryBudget_CanRetry(sky_retry_budget_t *budget,
                        const sky_retry_budget_options_t *options,
                        uint32_t hosts, uint64_t now_ms)
{
    double allowed = allowed_retries(budget, options, hosts, now_ms);
    return sum_buckets(budget->retries) + 1 <= allowed * NEW_REQUESTS_FRACTION;
}

bool
SkyRetryBudget_CanContinue(sky_retry_budget_t *budget,
                           const sky_retry_budget_options_t *options,
                           uint32_t hosts, uint64_t now_ms)
{
    double allowed = allowed_retries(budget, options, hosts, now_ms);
    return sum_buckets(budget->retries) + 1 <= allowed;
}

bool
SkyRetryBudget_AcquireRetry(sky_retry_budget_t *budget,
                            const sky_retry_budget_options_t *options,
                            uint32_t hosts, uint64_t now_ms)
{
    if (!SkyRetryBudget_CanContinue(budget, options, hosts, now_ms)) {
        return false;
    }
    (*find_bucket(budget->retries, budget->newest_bucket))++;
    return true;
}
