// How slow a target is, from samples of several hosts.
#include <gtest/gtest.h>

#include "decide/target_pace.h"

namespace {

constexpr uint64_t kNow = 100000;

void
Merge(sky_target_pace_t *pace, uint32_t count, uint64_t mean_us,
      uint64_t now_ms)
{
    sky_pace_sample_t sample = {count, count * mean_us};
    SkyTargetPace_Merge(pace, &sample, now_ms);
}

TEST(TargetPace, AnUnknownTargetCountsAsOne)
{
    sky_target_pace_t pace = {};
    EXPECT_EQ(1.0, SkyTargetPace_Get(&pace, kNow));
    Merge(&pace, 100, 8000, kNow);
    EXPECT_EQ(1.0, SkyTargetPace_Get(&pace, kNow)) << "no median yet";
}

// One sample of a new target decided where a host's requests went.
TEST(TargetPace, FewSamplesSayLittle)
{
    sky_target_pace_t pace = {};
    pace.median_us = 4000;
    Merge(&pace, 1, 16000, kNow);
    EXPECT_LT(SkyTargetPace_Get(&pace, kNow), 2.0);
    Merge(&pace, 100, 16000, kNow);
    EXPECT_GT(SkyTargetPace_Get(&pace, kNow), 3.5);
}

// Each host sees few streams of a target.
TEST(TargetPace, SamplesOfAllHostsCountByTheirNumber)
{
    sky_target_pace_t pace = {};
    pace.median_us = 4000;
    Merge(&pace, 300, 4000, kNow);
    Merge(&pace, 100, 8000, kNow);
    EXPECT_NEAR(1.25, SkyTargetPace_Get(&pace, kNow), 0.1);
}

// A target that was slow for half a second was avoided for long.
TEST(TargetPace, ASlowMomentIsForgotten)
{
    sky_target_pace_t pace = {};
    pace.median_us = 4000;
    uint64_t now_ms = kNow;
    for (; now_ms < kNow + 600; now_ms += 100) {
        Merge(&pace, 100, 10000, now_ms);
    }
    EXPECT_GT(SkyTargetPace_Get(&pace, now_ms), 2.0);
    sky_target_pace_t unused = pace;
    for (; now_ms < kNow + 2000; now_ms += 100) {
        Merge(&pace, 100, 4000, now_ms);
    }
    EXPECT_LT(SkyTargetPace_Get(&pace, now_ms), 1.25);
    EXPECT_LT(SkyTargetPace_Get(&unused, kNow + 6000), 1.25)
        << "also without any requests";
}

TEST(TargetPace, ALastingSlownessStaysKnown)
{
    sky_target_pace_t pace = {};
    pace.median_us = 4000;
    for (uint64_t now_ms = kNow; now_ms < kNow + 20000; now_ms += 300) {
        Merge(&pace, 30, 8800, now_ms);
        if (now_ms > kNow + 1000) {
            EXPECT_NEAR(2.2, SkyTargetPace_Get(&pace, now_ms), 0.2);
        }
    }
}

// The owner sees the samples of all hosts, this host only its own.
TEST(TargetPace, TheOwnersReportPrecedesOwnSamplesWhileItIsRecent)
{
    sky_target_pace_t pace = {};
    pace.median_us = 4000;
    sky_pace_sample_t own = {100, 100 * 8000};
    SkyTargetPace_Record(&pace, &own, kNow);
    SkyTargetPace_RecordReport(&pace, 1.1, kNow);
    EXPECT_EQ(1.1, SkyTargetPace_Get(&pace, kNow + 300));
    SkyTargetPace_Record(&pace, &own, kNow + 2000);
    EXPECT_GT(SkyTargetPace_Get(&pace, kNow + 2000), 1.8);
    SkyTargetPace_RecordReport(&pace, 0.0, kNow + 2000);
    EXPECT_GT(SkyTargetPace_Get(&pace, kNow + 2000), 1.8)
        << "an earlier build reports none";
}

TEST(TargetPace, SamplesAreReportedOnce)
{
    sky_target_pace_t pace = {};
    sky_pace_sample_t sample = {2, 9000};
    SkyTargetPace_Record(&pace, &sample, kNow);
    SkyTargetPace_Record(&pace, &sample, kNow);
    sky_pace_sample_t taken = SkyTargetPace_TakeUnreported(&pace);
    EXPECT_EQ(4u, taken.count);
    EXPECT_EQ(18000u, taken.sum_us);
    EXPECT_EQ(0u, SkyTargetPace_TakeUnreported(&pace).count);
}

// One malformed sample made a target unusable.
TEST(TargetPace, AWrongSampleIsIgnoredAndThePaceIsBounded)
{
    sky_target_pace_t pace = {};
    pace.median_us = 4000;
    sky_pace_sample_t endless = {1, UINT64_MAX};
    SkyTargetPace_Merge(&pace, &endless, kNow);
    EXPECT_EQ(1.0, SkyTargetPace_Get(&pace, kNow));
    Merge(&pace, 1000, 5000000, kNow);
    EXPECT_EQ(SKY_PACE_MAX, SkyTargetPace_Get(&pace, kNow));
}

TEST(TargetPace, TheMedianNeedsThreeTargets)
{
    double means_us[] = {9000, 4000, 4100, 3900};
    EXPECT_EQ(0.0, SkyTargetPace_FindMedianUs(means_us, 2));
    EXPECT_EQ(4100, SkyTargetPace_FindMedianUs(means_us, 3));
}

// A step takes longer with a full batch: a busy target is not a slow one.
TEST(TargetPace, AnIntervalIsComparedWithThoseOfOtherBatches)
{
    EXPECT_EQ(SkyTargetPace_NormalizeUs(4000, 0.0),
              SkyTargetPace_NormalizeUs(6000, 1.0));
    EXPECT_EQ(SkyTargetPace_NormalizeUs(6000, 1.0),
              SkyTargetPace_NormalizeUs(6000, 3.0));
}

// A target on the edge wrote a line with each report.
TEST(TargetPace, TheLogSaysOnceThatATargetIsSlowAndOnceThatItIsNoLonger)
{
    sky_target_pace_t pace = {};
    pace.median_us = 4000;
    int lines = 0;
    for (uint64_t at_ms = 0; at_ms < 10000; at_ms += 100) {
        uint64_t mean_us = at_ms < 4000 ? 8000 : 4000;
        Merge(&pace, 100, mean_us, kNow + at_ms);
        lines += SkyTargetPace_NeedsLogLine(&pace, kNow + at_ms) ? 1 : 0;
    }
    EXPECT_EQ(2, lines);
    EXPECT_FALSE(pace.is_logged_slow);
}

} // namespace
