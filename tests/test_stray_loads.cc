// Load orders to an earlier run of a target, which the present run may still
// carry out.
#include <gtest/gtest.h>

#include "decide/stray_loads.h"

namespace {

TEST(StrayLoads, CountsThoseThatMayFollowEachOther)
{
    sky_stray_loads_t strays = {};
    for (uint64_t order_count : {20, 21, 21, 23}) {
        SkyStrayLoads_Record(&strays, order_count, 1000);
    }
    EXPECT_EQ(0u, SkyStrayLoads_CountFrom(&strays, 19, 1000));
    EXPECT_EQ(2u, SkyStrayLoads_CountFrom(&strays, 20, 1000));
    EXPECT_EQ(1u, SkyStrayLoads_CountFrom(&strays, 23, 1000));
    EXPECT_EQ(0u, SkyStrayLoads_CountFrom(&strays, 24, 1000));
    SkyStrayLoads_Clear(&strays);
}

TEST(StrayLoads, KeepsThoseOfTwoRunsUntilTheyExpire)
{
    sky_stray_loads_t strays = {};
    sky_stray_loads_t earlier = {};
    SkyStrayLoads_Record(&strays, 20, 1000);
    SkyStrayLoads_Record(&earlier, 20, 3000);
    SkyStrayLoads_Record(&earlier, 21, 1000);
    SkyStrayLoads_Merge(&strays, &earlier);
    EXPECT_EQ(nullptr, earlier.by_count);
    EXPECT_EQ(2u, SkyStrayLoads_CountFrom(&strays, 20, 15999));
    EXPECT_EQ(1u, SkyStrayLoads_CountFrom(&strays, 20, 16000));
    EXPECT_TRUE(SkyStrayLoads_RemoveExpired(&strays, 16000));
    EXPECT_FALSE(SkyStrayLoads_RemoveExpired(&strays, 18000));
    EXPECT_EQ(0u, SkyStrayLoads_CountFrom(&strays, 20, 18000));
}

} // namespace
