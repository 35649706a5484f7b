// The connections that each listener of a host may hold.
#include <gtest/gtest.h>

#include "decide/connection_share.h"

namespace {

// Guards against a host without descriptors for its targets: 1,400 connections
// that sent nothing were held at a limit of 1,024.
TEST(ConnectionShare, AllListenersLeaveDescriptorsForTheHost)
{
    for (uint32_t max : {1024u, 3075u, 4100u, 8192u, 10250u}) {
        sky_connection_share_t share = SkyConnectionShare_Make(max);
        uint32_t held =
            share.callers + share.hosts + share.probes + share.metrics;
        EXPECT_EQ(max - 200, held + share.own);
        EXPECT_GT(share.own, share.callers);
        EXPECT_GE(share.probes, 16u);
    }
    EXPECT_GE(SkyConnectionShare_Make(3075).hosts, 2 * 330u);
}

TEST(ConnectionShare, ALowLimitLeavesEachListenerSomeConnections)
{
    sky_connection_share_t share = SkyConnectionShare_Make(100);
    EXPECT_GT(share.probes, 0u);
    EXPECT_GT(share.callers, 0u);
    EXPECT_EQ(0u, SkyConnectionShare_Make(0).callers);
}

// Guards ordinary keep-alive callers against a crowd that only connects.
TEST(ConnectionShare, ConnectionsWithoutAnyRequestAreClosedFirst)
{
    sky_idle_connection_t used = {9000, 5};
    sky_idle_connection_t newer = {10, 0};
    sky_idle_connection_t older = {20, 0};
    EXPECT_TRUE(SkyConnectionShare_IsClosedBefore(&newer, &used));
    EXPECT_FALSE(SkyConnectionShare_IsClosedBefore(&used, &newer));
    EXPECT_TRUE(SkyConnectionShare_IsClosedBefore(&older, &newer));
}

} // namespace
