// The part of a host's memory that received bytes may take together.
#include <gtest/gtest.h>

#include <vector>

#include "decide/memory_share.h"

namespace {

constexpr uint64_t kMb = 1024 * 1024;

// Guards against a host that runs out of memory: each of 4000 connections kept
// 4 MB, as its own limit allows.
TEST(MemoryShare, ManyLargeMessagesStayWithinTheShare)
{
    sky_memory_share_t share = SkyMemoryShare_Make(160);
    std::vector<uint64_t> held(4000, 0);
    uint64_t peak = 0;
    for (uint64_t size = 0; size < 4 * kMb; size += 16384) {
        for (uint64_t &holder : held) {
            if (!SkyMemoryShare_IsExceeded(&share, holder)) {
                SkyMemoryShare_Update(&share, &holder, holder + 16384);
            }
            peak = std::max(peak, share.used_bytes);
        }
    }
    EXPECT_LE(peak, 160 * kMb * 9 / 10);
}

TEST(MemoryShare, SmallMessagesAreKeptBesideLargeOnes)
{
    sky_memory_share_t share = SkyMemoryShare_Make(160);
    uint64_t large = 0;
    uint64_t small = 0;
    SkyMemoryShare_Update(&share, &large, 41 * kMb);
    SkyMemoryShare_Update(&share, &small, 8000);
    EXPECT_TRUE(SkyMemoryShare_IsExceeded(&share, large));
    EXPECT_FALSE(SkyMemoryShare_IsExceeded(&share, small));
    SkyMemoryShare_Update(&share, &large, 0);
    EXPECT_EQ(8000u, share.used_bytes);
    SkyMemoryShare_Update(&share, &large, 30 * kMb);
    EXPECT_FALSE(SkyMemoryShare_IsExceeded(&share, large));
}

// Guards moderate messages against a few that take nearly all.
TEST(MemoryShare, TheLargestAndStalledOnesAreRefusedFirst)
{
    sky_memory_share_t share = SkyMemoryShare_Make(160);
    uint64_t large[9] = {0};
    for (uint64_t &holder : large) {
        SkyMemoryShare_Update(&share, &holder, 4 * kMb);
        EXPECT_FALSE(SkyMemoryShare_IsExceeded(&share, holder));
    }
    uint64_t moderate = 0;
    SkyMemoryShare_Update(&share, &moderate, 7 * kMb / 2);
    EXPECT_TRUE(SkyMemoryShare_IsExceeded(&share, large[0]));
    SkyMemoryShare_Update(&share, &moderate, kMb);
    EXPECT_FALSE(SkyMemoryShare_IsExceeded(&share, moderate));
    EXPECT_TRUE(SkyMemoryShare_MustStalledYield(&share, large[0]));
    EXPECT_FALSE(SkyMemoryShare_MustStalledYield(&share, moderate));
}

TEST(MemoryShare, WithoutALimitNothingIsExceeded)
{
    sky_memory_share_t share = SkyMemoryShare_Make(0);
    uint64_t held = 0;
    SkyMemoryShare_Update(&share, &held, 1000 * kMb);
    EXPECT_FALSE(SkyMemoryShare_IsExceeded(&share, held));
    EXPECT_FALSE(SkyMemoryShare_IsExceeded(nullptr, held));
}

} // namespace
