/**
 * @file test_seeded.cc
 * @brief Long simulated runs of several nodes under random faults.
 *
 * SKY_SEEDS sets the number of seeds, SKY_FIRST_SEED the first one; SKY_TRACE
 * prints the events of the runs.
 */
#include <gtest/gtest.h>

#include "seeded_run.h"

namespace {

uint64_t
ReadEnvironment(const char *name, uint64_t default_value)
{
    const char *text = getenv(name);
    return text != nullptr ? strtoull(text, nullptr, 10) : default_value;
}

void
ExpectNoBreach(const run_result_t &run)
{
    EXPECT_EQ(run.breach_count, 0u)
        << "seed " << run.seed << " " << run.breach_text;
    EXPECT_EQ(run.without_response, 0u) << "seed " << run.seed;
    EXPECT_EQ(run.double_accepts, 0u) << "seed " << run.seed << " accepts";
    EXPECT_EQ(run.hosts_behind, 0u) << "seed " << run.seed << " behind";
    EXPECT_EQ(run.last_code, SKY_OK)
        << "seed " << run.seed << " " << SkyResult_Symbol(run.last_code);
}

TEST(Seeded, GuaranteesHoldUnderRandomFaults)
{
    uint64_t first = ReadEnvironment("SKY_FIRST_SEED", 1);
    uint64_t count = ReadEnvironment("SKY_SEEDS", 60);
    uint64_t steps = 0;
    for (uint64_t seed = first; seed < first + count; seed++) {
        run_result_t unchecked = RunSeed(seed, false);
        run_result_t checked = RunSeed(seed, true);
        ExpectNoBreach(unchecked);
        ExpectNoBreach(checked);
        steps += unchecked.steps + checked.steps;
    }
    printf("%lu runs, %lu steps\n", 2 * count, steps);
}

} // namespace
