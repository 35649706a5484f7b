/**
 * @file test_seeded.cc
 * @brief Long seeded runs of many nodes under random faults.
 *
 * SKY_SEEDS sets how many seeds, SKY_FIRST_SEED where they begin; SKY_TRACE
 * prints what happens.
 */
#include <gtest/gtest.h>

#include "seeded_run.h"

namespace {

uint64_t
FromEnvironment(const char *name, uint64_t otherwise)
{
    const char *text = getenv(name);
    return text != nullptr ? strtoull(text, nullptr, 10) : otherwise;
}

void
ExpectAllKept(const run_t &run)
{
    EXPECT_EQ(run.breach_count, 0u)
        << "seed " << run.seed << " " << run.breach_text;
    EXPECT_EQ(run.unanswered, 0u) << "seed " << run.seed;
    EXPECT_EQ(run.double_accepts, 0u) << "seed " << run.seed << " accepts";
    EXPECT_EQ(run.behind, 0u) << "seed " << run.seed << " behind";
    EXPECT_EQ(run.last, SKY_OK)
        << "seed " << run.seed << " " << SkyResult_Symbol(run.last);
}

TEST(Seeded, PromisesHoldUnderRandomFaults)
{
    uint64_t first = FromEnvironment("SKY_FIRST_SEED", 1);
    uint64_t count = FromEnvironment("SKY_SEEDS", 60);
    uint64_t steps = 0;
    for (uint64_t seed = first; seed < first + count; seed++) {
        run_t unchecked = RunSeed(seed, false);
        run_t checked = RunSeed(seed, true);
        ExpectAllKept(unchecked);
        ExpectAllKept(checked);
        steps += unchecked.steps + checked.steps;
    }
    printf("%lu runs, %lu steps\n", 2 * count, steps);
}

} // namespace
