// How long engines take to read a prompt, estimated from times to first
// events.
#include <gtest/gtest.h>

#include <random>

#include "decide/prompt_times.h"

namespace {

class PromptTimes : public testing::Test {
  protected:
    void
    Record(uint32_t tokens, uint32_t first_event_ms)
    {
        sky_prompt_sample_t sample = {tokens, first_event_ms};
        SkyPromptTimes_Record(&times_, &sample);
    }
    uint32_t
    Estimate(uint32_t tokens)
    {
        return SkyPromptTimes_EstimateMs(&times_, tokens);
    }
    sky_prompt_times_t times_ = {};
    std::mt19937 random_{1};
};

TEST_F(PromptTimes, NothingIsKnownOfFewPromptsOrOfOneLength)
{
    EXPECT_EQ(Estimate(1000), 0u);
    for (int i = 0; i < 4; i++) {
        Record(500 + 300 * i, 20 + 10 * i);
    }
    EXPECT_EQ(Estimate(1000), 0u);
    for (int i = 0; i < 50; i++) {
        Record(500, 20 + i);
    }
    EXPECT_EQ(Estimate(1000), 0u);
}

// 25 tokens a ms, 30 ms for the network and the first steps, and other prompts
// before half of them.
TEST_F(PromptTimes, AWaitBeforeThePromptIsNotPartOfItsTime)
{
    for (int i = 0; i < 400; i++) {
        uint32_t tokens = 100 + random_() % 3000;
        uint32_t wait_ms = random_() % 2 ? random_() % 200 : 0;
        Record(tokens, tokens / 25 + 30 + wait_ms);
        if (i > 20) {
            EXPECT_GE(Estimate(2500), 80u);
            EXPECT_LE(Estimate(2500), 140u);
        }
    }
    EXPECT_EQ(Estimate(0), 0u);
}

// Guards against estimates that grow by the waits that prompts cause for each
// other, so that prompts wait for turns that they do not need.
TEST_F(PromptTimes, LongPromptsThatComeTogetherAreNotTakenForSlow)
{
    for (int round = 0; round < 20; round++) {
        for (int i = 1; i <= 4; i++) {
            Record(2000, 30 + 80 * i);
            Record(50, 32);
        }
    }
    EXPECT_LE(Estimate(2000), 160u);
}

TEST_F(PromptTimes, AFasterEngineIsNoticed)
{
    for (int i = 0; i < 100; i++) {
        uint32_t tokens = 100 + random_() % 3000;
        Record(tokens, (i < 50 ? tokens / 10 : tokens / 50) + 20);
    }
    EXPECT_NEAR(Estimate(2500), 50, 10);
}

TEST_F(PromptTimes, EstimatesOfHugePromptsStayInRange)
{
    for (uint32_t i = 0; i < 50; i++) {
        Record(i * 200, i * 2000000);
    }
    EXPECT_EQ(Estimate(UINT32_MAX), UINT32_MAX);
}

} // namespace
