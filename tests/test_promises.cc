/**
 * @file test_promises.cc
 * @brief Each mechanism switched off: the promise it keeps is seen to fail.
 *
 * The same seeds hold in test_seeded.cc, with every mechanism on.
 */
#include <gtest/gtest.h>

#include "seeded_run.h"

namespace
{

const uint64_t SEEDS = 12;

/** @return the sum over the seeds of what @p count finds in a run. */
template <typename count_t>
uint64_t
SumWithout(uint32_t off, count_t count)
{
    uint64_t sum = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        sum += count(RunSeed(seed, false, off));
    }
    return sum;
}

uint64_t
Evictions(const run_t &run)
{
    return run.breaches.evicted_in_use;
}

TEST(Promises, EvictionNeedsTheTakeoverWaitAndTheLease)
{
    EXPECT_GT(SumWithout(SKY_OFF_TAKEOVER_WAIT | SKY_OFF_LEASE_CHECK,
                         Evictions),
              0u);
}

TEST(Promises, EvictionNeedsTheLeaseCheck)
{
    EXPECT_GT(SumWithout(SKY_OFF_LEASE_CHECK, Evictions), 0u);
}

TEST(Promises, EvictionNeedsDoubtAfterABrokenExchange)
{
    EXPECT_GT(SumWithout(SKY_OFF_DOUBT, Evictions), 0u);
}

TEST(Promises, EvictionNeedsThePermitsOfOtherHosts)
{
    EXPECT_GT(SumWithout(SKY_OFF_COLLECT | SKY_OFF_DOUBT, Evictions), 0u);
}

TEST(Promises, AtMostOnceNeedsClaims)
{
    EXPECT_GT(SumWithout(SKY_OFF_CLAIMS,
                         [](const run_t &run) {
                             return run.breaches.run_twice;
                         }),
              0u);
}

TEST(Promises, TwoCrashesAtMostNeedTheCount)
{
    EXPECT_GT(SumWithout(SKY_OFF_CRASH_COUNT,
                         [](const run_t &run) {
                             return run.breaches.crashed_too_many;
                         }),
              0u);
}

TEST(Promises, LeavingTargetsNeedTheList)
{
    EXPECT_GT(SumWithout(SKY_OFF_LEAVING,
                         [](const run_t &run) {
                             return run.breaches.sent_to_leaving;
                         }),
              0u);
}

TEST(Promises, RacingOperatorsNeedTheBase)
{
    EXPECT_GT(SumWithout(SKY_OFF_BASE_CHECK,
                         [](const run_t &run) {
                             return (uint64_t)run.double_accepts;
                         }),
              0u);
}

TEST(Promises, ConfigurationNeedsRestating)
{
    EXPECT_GT(SumWithout(SKY_OFF_RESTATE,
                         [](const run_t &run) {
                             return (uint64_t)run.behind;
                         }),
              0u);
}

} // namespace
