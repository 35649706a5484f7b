/**
 * @file test_promises.cc
 * @brief Checks that each mechanism is needed: with it disabled, a seeded run
 *        breaks the guarantee that the mechanism provides.
 *
 * test_seeded.cc expects no breach of the same seeds with all mechanisms
 * enabled.
 */
#include <gtest/gtest.h>

#include "seeded_run.h"

namespace {

const uint64_t SEEDS_MAX = 200;

/** @return the first seed whose run breaks the guarantee with the mechanisms
 *          @p disabled, or 0 if none of the seeds does. */
template <typename count_t>
uint64_t
FindBreakingSeed(uint32_t disabled, count_t count_breaches,
                 uint64_t log_read_lag_us = 0)
{
    for (uint64_t seed = 1; seed <= SEEDS_MAX; seed++) {
        if (count_breaches(RunSeed(seed, false, disabled, log_read_lag_us)) >
            0) {
            printf("disabled 0x%x: breach with seed %lu\n", disabled, seed);
            return seed;
        }
    }
    return 0;
}

uint64_t
EvictionsInUse(const run_result_t &run)
{
    return run.breaches.evicted_in_use;
}

TEST(Promises, EvictionNeedsTheTakeoverWait)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_TAKEOVER_WAIT, EvictionsInUse), 0u);
}

TEST(Promises, EvictionNeedsTheLeaseCheck)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_LEASE_CHECK, EvictionsInUse), 0u);
}

TEST(Promises, EvictionNeedsAReportAfterABrokenExchange)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_CRASH_CONFIRMATION, EvictionsInUse),
              0u);
}

TEST(Promises, EvictionNeedsThePermitsInUseAtOtherHosts)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_PERMIT_COLLECTION |
                                   SKY_DISABLE_CRASH_CONFIRMATION,
                               EvictionsInUse),
              0u);
}

TEST(Promises, LeasesNeedALogLagBelowTheMargin)
{
    EXPECT_GT(FindBreakingSeed(0, EvictionsInUse, 20 * SECOND), 0u);
}

TEST(Promises, LeasesTolerateALogLagOfHalfTheMargin)
{
    for (uint64_t seed = 1; seed <= 30; seed++) {
        run_result_t run = RunSeed(seed, false, 0, SECOND / 2);
        EXPECT_EQ(run.breach_count, 0u) << seed << " " << run.breach_text;
    }
}

TEST(Promises, AtMostOnceNeedsClaims)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_CLAIMS,
                               [](const run_result_t &run) {
                                   return run.breaches.run_twice;
                               }),
              0u);
}

TEST(Promises, NotRunNeedsAnUnknownOutcome)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_UNKNOWN_RESULT,
                               [](const run_result_t &run) {
                                   return run.breaches.run_after_not_run;
                               }),
              0u);
}

TEST(Promises, TheCrashLimitNeedsTheCrashCount)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_CRASH_COUNT,
                               [](const run_result_t &run) {
                                   return run.breaches.crashed_too_many;
                               }),
              0u);
}

TEST(Promises, LeavingTargetsNeedTheListOfHosts)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_HOST_LIST,
                               [](const run_result_t &run) {
                                   return run.breaches.sent_to_leaving;
                               }),
              0u);
}

TEST(Promises, ConcurrentChangesNeedTheBaseCheck)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_REVISION_CHECK,
                               [](const run_result_t &run) {
                                   return (uint64_t)run.double_accepts;
                               }),
              0u);
}

TEST(Promises, ConfigurationNeedsRepeatedRecords)
{
    EXPECT_GT(FindBreakingSeed(SKY_DISABLE_RESTATEMENT,
                               [](const run_result_t &run) {
                                   return (uint64_t)run.hosts_behind;
                               }),
              0u);
}

} // namespace
