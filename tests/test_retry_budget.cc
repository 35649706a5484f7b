// A host's part of the budget of retries.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "decide/retry_budget.h"

namespace {

const sky_retry_budget_options_t kOptions = {0.2, 56, 10000};

TEST(RetryBudget, APartOfTheSlackIsAvailableAtOnce)
{
    sky_retry_budget_t budget = {};
    uint32_t acquired = 0;
    while (SkyRetryBudget_AcquireRetry(&budget, &kOptions, 8, 1000)) {
        acquired++;
    }
    EXPECT_GT(acquired, 0u);
    EXPECT_LE(acquired * 8, 56u);
}

TEST(RetryBudget, AllowsRetriesAgainAfterTheWindow)
{
    sky_retry_budget_t budget = {};
    while (SkyRetryBudget_AcquireRetry(&budget, &kOptions, 8, 1000)) {
    }
    EXPECT_FALSE(SkyRetryBudget_AcquireRetry(&budget, &kOptions, 8, 9000));
    EXPECT_TRUE(SkyRetryBudget_AcquireRetry(&budget, &kOptions, 8, 11600));
}

// Whatever the load, the retries of all hosts together stay within the budget
// in every window.
TEST(RetryBudget, AllHostsTogetherStayWithinTheBudget)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        std::mt19937 random(seed);
        std::vector<sky_retry_budget_t> hosts(8);
        std::vector<uint64_t> requests;
        std::vector<uint64_t> retries;
        for (uint64_t now = 0; now < 60000; now += 10) {
            uint32_t arrivals = (now / 7000) % 3 == 1 ? 6 : 1;
            for (uint32_t i = 0; i < arrivals; i++) {
                sky_retry_budget_t *host = &hosts[random() % hosts.size()];
                SkyRetryBudget_RecordRequest(host, &kOptions, now);
                requests.push_back(now);
                while (random() % 2 &&
                       SkyRetryBudget_AcquireRetry(host, &kOptions, 8, now)) {
                    retries.push_back(now);
                }
            }
        }
        auto count = [](const std::vector<uint64_t> &times, int64_t from) {
            uint32_t total = 0;
            for (uint64_t at : times) {
                total += (int64_t)at >= from && (int64_t)at < from + 10000;
            }
            return total;
        };
        for (int64_t from = 0; from < 50000; from += 500) {
            uint32_t max_requests =
                std::max({count(requests, from), count(requests, from - 5000),
                          count(requests, from - 10000)});
            EXPECT_LE(count(retries, from), 0.2 * max_requests + 56)
                << "seed " << seed << " from " << from;
        }
    }
}

// Guards against a request that two hosts count, which allows more retries.
TEST(RetryBudget, ARequestThatAnotherHostCountsAllowsNoRetries)
{
    sky_retry_budget_t budget = {};
    sky_retry_budget_options_t options = kOptions;
    options.slack = 0;
    for (uint32_t i = 0; i < 100; i++) {
        SkyRetryBudget_RecordRequest(&budget, &options, 1000 + i * 20);
    }
    EXPECT_TRUE(SkyRetryBudget_CanRetry(&budget, &options, 8, 3000));
    for (uint32_t i = 0; i < 100; i++) {
        SkyRetryBudget_RemoveRequest(&budget, &options, 3000);
    }
    EXPECT_FALSE(SkyRetryBudget_CanRetry(&budget, &options, 8, 3000));
    SkyRetryBudget_RemoveRequest(&budget, &options, 3000);
    EXPECT_FALSE(SkyRetryBudget_CanRetry(&budget, &options, 8, 3000));
}

// Guards against streams that broke off, or were refused when their callers
// took them up, as requests that had not begun had used up all retries.
TEST(RetryBudget, RequestsThatHaveNotBegunLeaveRetriesToStreamsUnderWay)
{
    sky_retry_budget_t budget = {};
    for (uint32_t i = 0; i < 500; i++) {
        SkyRetryBudget_RecordRequest(&budget, &kOptions, 1000 + i * 4);
    }
    uint32_t new_count = 0;
    while (SkyRetryBudget_CanRetry(&budget, &kOptions, 8, 3000)) {
        ASSERT_TRUE(SkyRetryBudget_AcquireRetry(&budget, &kOptions, 8, 3000));
        new_count++;
    }
    uint32_t under_way_count = 0;
    while (SkyRetryBudget_CanContinue(&budget, &kOptions, 8, 3000)) {
        ASSERT_TRUE(SkyRetryBudget_AcquireRetry(&budget, &kOptions, 8, 3000));
        under_way_count++;
    }
    EXPECT_GT(new_count, under_way_count);
    EXPECT_GE(under_way_count, new_count / 4);
    EXPECT_LE(new_count + under_way_count, 0.2 * 500 + 56 / 8);
    EXPECT_FALSE(SkyRetryBudget_CanRetry(&budget, &kOptions, 8, 3000));
}

} // namespace
