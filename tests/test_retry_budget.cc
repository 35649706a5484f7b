// A host's share of the budget of repeats.
#include <gtest/gtest.h>

#include <random>
#include <vector>

#include "decide/retry_budget.h"

namespace {

const sky_retry_budget_options_t kOptions = {0.2, 56, 10000};

TEST(RetryBudget, ASliceOfTheSlackIsThereAtOnce)
{
    sky_retry_budget_t budget = {};
    uint32_t taken = 0;
    while (SkyRetryBudget_Take(&budget, &kOptions, 8, 1000)) {
        taken++;
    }
    EXPECT_GT(taken, 0u);
    EXPECT_LE(taken * 8, 56u);
}

TEST(RetryBudget, TheWindowMovesOn)
{
    sky_retry_budget_t budget = {};
    while (SkyRetryBudget_Take(&budget, &kOptions, 8, 1000)) {
    }
    EXPECT_FALSE(SkyRetryBudget_Take(&budget, &kOptions, 8, 9000));
    EXPECT_TRUE(SkyRetryBudget_Take(&budget, &kOptions, 8, 11600));
}

// Whatever the load does, all hosts together stay within the budget, in any
// window that slides over the day.
TEST(RetryBudget, AllHostsTogetherStayWithinTheBudget)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        std::mt19937 random(seed);
        std::vector<sky_retry_budget_t> hosts(8);
        std::vector<uint64_t> requests;
        std::vector<uint64_t> repeats;
        for (uint64_t now = 0; now < 60000; now += 10) {
            uint32_t crowd = (now / 7000) % 3 == 1 ? 6 : 1;
            for (uint32_t i = 0; i < crowd; i++) {
                sky_retry_budget_t *host = &hosts[random() % hosts.size()];
                SkyRetryBudget_NoteRequest(host, &kOptions, now);
                requests.push_back(now);
                while (random() % 2 &&
                       SkyRetryBudget_Take(host, &kOptions, 8, now)) {
                    repeats.push_back(now);
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
            uint32_t most =
                std::max({count(requests, from), count(requests, from - 5000),
                          count(requests, from - 10000)});
            EXPECT_LE(count(repeats, from), 0.2 * most + 56)
                << "seed " << seed << " from " << from;
        }
    }
}

} // namespace
