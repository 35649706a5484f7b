// When a missing entry in the list of targets means that the target left.
#include <gtest/gtest.h>

#include "decide/freshness.h"

namespace {

TEST(Freshness, RemovesAMissingTargetAtOnceWhileTheStoreResponds)
{
    sky_freshness_t freshness = {};
    for (uint64_t now = 1000; now < 9000; now += 700) {
        SkyFreshness_RecordRead(&freshness, now, now);
        EXPECT_EQ(now, SkyFreshness_GetRemovalMs(&freshness, now));
    }
}

TEST(Freshness, GivesEntriesTimeToComeBackAfterAnOutage)
{
    sky_freshness_t freshness = {};
    SkyFreshness_RecordRead(&freshness, 1000, 1000);
    EXPECT_EQ(6000u + 2300u, SkyFreshness_GetRemovalMs(&freshness, 6000));
    SkyFreshness_RecordRead(&freshness, 7000, 7000);
    EXPECT_EQ(9300u, SkyFreshness_GetRemovalMs(&freshness, 7100));
    SkyFreshness_RecordRead(&freshness, 8000, 8000);
    EXPECT_EQ(9300u, SkyFreshness_GetRemovalMs(&freshness, 9000));
    SkyFreshness_RecordRead(&freshness, 9200, 9200);
    EXPECT_EQ(9400u, SkyFreshness_GetRemovalMs(&freshness, 9400));
}

// A host that the store refused kept a target that had left, though the
// records relayed by its peers were fresh (DRAIN on kgv trouble-1: 2951 of
// 2000 ms).
TEST(Freshness, CountsRelayedRecordsByTheAgeOfTheirRead)
{
    sky_freshness_t freshness = {};
    SkyFreshness_RecordRead(&freshness, 1000, 1000);
    for (uint64_t now = 1600; now < 9000; now += 600) {
        SkyFreshness_RecordRead(&freshness, now - 500, now);
        EXPECT_EQ(now, SkyFreshness_GetRemovalMs(&freshness, now));
        EXPECT_FALSE(SkyFreshness_IsStale(&freshness, now));
    }
}

// Hosts that relay the same records in a circle must see their age grow.
TEST(Freshness, AnOldRelayedReadDoesNotRefresh)
{
    sky_freshness_t freshness = {};
    SkyFreshness_RecordRead(&freshness, 1000, 1000);
    SkyFreshness_RecordRead(&freshness, 900, 2000);
    EXPECT_EQ(1000u, freshness.read_ms);
    EXPECT_TRUE(SkyFreshness_IsStale(&freshness, 2101));
}

} // namespace
