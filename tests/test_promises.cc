/**
 * @file test_promises.cc
 * @brief Each mechanism switched off: the promise it keeps is seen to fail.
 *
 * The same seeds hold in test_seeded.cc, with every mechanism on.
 */
#include <gtest/gtest.h>

#include "seeded_run.h"

namespace {

const uint64_t SEEDS_MAX = 200;

/** @return the first seed whose run breaks the promise with the mechanism
 *          off, or 0 if none of the seeds does. */
template <typename count_t>
uint64_t
SeedWithout(uint32_t off, count_t count, uint64_t log_lag_us = 0)
{
    for (uint64_t seed = 1; seed <= SEEDS_MAX; seed++) {
        if (count(RunSeed(seed, false, off, log_lag_us)) > 0) {
            printf("off 0x%x: broken at seed %lu\n", off, seed);
            return seed;
        }
    }
    return 0;
}

uint64_t
Evictions(const run_t &run)
{
    return run.breaches.evicted_in_use;
}

TEST(Promises, EvictionNeedsTheTakeoverWait)
{
    EXPECT_GT(SeedWithout(SKY_OFF_TAKEOVER_WAIT, Evictions), 0u);
}

TEST(Promises, EvictionNeedsTheLeaseCheck)
{
    EXPECT_GT(SeedWithout(SKY_OFF_LEASE_CHECK, Evictions), 0u);
}

TEST(Promises, EvictionNeedsDoubtAfterABrokenExchange)
{
    EXPECT_GT(SeedWithout(SKY_OFF_DOUBT, Evictions), 0u);
}

TEST(Promises, EvictionNeedsThePermitsOfOtherHosts)
{
    EXPECT_GT(SeedWithout(SKY_OFF_COLLECT | SKY_OFF_DOUBT, Evictions), 0u);
}

TEST(Promises, LeasesNeedATailThatIsBehindByLessThanTheMargin)
{
    EXPECT_GT(SeedWithout(0, Evictions, 20 * SECOND), 0u);
}

TEST(Promises, LeasesBearATailThatIsBehindByHalfOfTheMargin)
{
    for (uint64_t seed = 1; seed <= 30; seed++) {
        run_t run = RunSeed(seed, false, 0, SECOND / 2);
        EXPECT_EQ(run.breach_count, 0u) << seed << " " << run.breach_text;
    }
}

TEST(Promises, AtMostOnceNeedsClaims)
{
    EXPECT_GT(
        SeedWithout(SKY_OFF_CLAIMS,
                    [](const run_t &run) { return run.breaches.run_twice; }),
        0u);
}

TEST(Promises, NotRunNeedsTheThirdKindOfAnswer)
{
    EXPECT_GT(SeedWithout(SKY_OFF_UNKNOWN,
                          [](const run_t &run) {
                              return run.breaches.run_after_not_run;
                          }),
              0u);
}

TEST(Promises, TwoCrashesAtMostNeedTheCount)
{
    EXPECT_GT(SeedWithout(SKY_OFF_CRASH_COUNT,
                          [](const run_t &run) {
                              return run.breaches.crashed_too_many;
                          }),
              0u);
}

TEST(Promises, LeavingTargetsNeedTheList)
{
    EXPECT_GT(SeedWithout(SKY_OFF_LEAVING,
                          [](const run_t &run) {
                              return run.breaches.sent_to_leaving;
                          }),
              0u);
}

TEST(Promises, RacingOperatorsNeedTheBase)
{
    EXPECT_GT(SeedWithout(SKY_OFF_BASE_CHECK,
                          [](const run_t &run) {
                              return (uint64_t)run.double_accepts;
                          }),
              0u);
}

TEST(Promises, ConfigurationNeedsRestating)
{
    EXPECT_GT(
        SeedWithout(SKY_OFF_RESTATE,
                    [](const run_t &run) { return (uint64_t)run.behind; }),
        0u);
}

} // namespace
