// Times that are left, over the edges of their ranges.
#include <gtest/gtest.h>

#include <vector>

#include "core/time_left.h"

namespace {

std::vector<uint64_t>
Edges()
{
    std::vector<uint64_t> edges;
    for (uint64_t base : {UINT64_C(0), UINT64_C(1) << 31, UINT64_C(1) << 32,
                          UINT64_C(1) << 63, UINT64_MAX}) {
        for (uint64_t distance : {0, 1, 2, 1000}) {
            edges.push_back(base + distance);
            edges.push_back(base - distance);
        }
    }
    return edges;
}

// Guards against a deadline that has passed being told to a target as one that
// is weeks away.
TEST(TimeLeft, NeverWrapsAround)
{
    for (uint64_t at_ms : Edges()) {
        for (uint64_t now_ms : Edges()) {
            uint64_t left_ms = SkyTime_LeftMs(at_ms, now_ms);
            uint32_t left_ms32 = SkyTime_LeftMs32(at_ms, now_ms);
            if (at_ms <= now_ms) {
                EXPECT_EQ(0u, left_ms);
                EXPECT_EQ(0u, left_ms32);
            }
            else {
                EXPECT_EQ(at_ms, now_ms + left_ms);
                EXPECT_EQ(left_ms < UINT32_MAX ? left_ms : UINT32_MAX,
                          left_ms32);
            }
        }
    }
}

TEST(TimeLeft, AMomentAheadIsNeverInThePast)
{
    for (uint64_t now_ms : Edges()) {
        for (uint64_t wait_ms : Edges()) {
            uint64_t at_ms = SkyTime_AfterMs(now_ms, wait_ms);
            EXPECT_GE(at_ms, now_ms);
            if (at_ms < UINT64_MAX) {
                EXPECT_EQ(wait_ms, SkyTime_LeftMs(at_ms, now_ms));
            }
        }
    }
}

} // namespace
