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

// Guards ordinary keep-alive callers against a crowd that only connects, or
// sends its requests slowly: the kept connections were closed before those.
TEST(ConnectionShare, CrowdsAreClosedBeforeOrdinaryCallers)
{
    const sky_held_connection_t ORDER[] = {
        {SKY_HELD_IDLE, 20, 0, 0},         // never sent anything
        {SKY_HELD_IDLE, 10, 0, 0},         // newer
        {SKY_HELD_CLOSING, 500, 1, 0},     // responded to
        {SKY_HELD_READING, 2000, 0, 100},  // 50 bytes a second
        {SKY_HELD_READING, 9000, 0, 900},  // 100
        {SKY_HELD_IDLE, 9000, 5, 0},       // used
        {SKY_HELD_IDLE, 8000, 5, 0},       // later
        {SKY_HELD_READING, 9000, 0, 9000}, // 1,000 bytes a second
        {SKY_HELD_READING, 2000, 0, 90000}};
    for (size_t i = 0; i < sizeof ORDER / sizeof ORDER[0]; i++) {
        EXPECT_TRUE(SkyConnectionShare_MayClose(&ORDER[i]));
        for (size_t j = 0; j < sizeof ORDER / sizeof ORDER[0]; j++) {
            EXPECT_EQ(i < j,
                      SkyConnectionShare_IsClosedBefore(&ORDER[i], &ORDER[j]));
        }
    }
}

// A caller that has just connected and sends a large request is no victim.
TEST(ConnectionShare, ARequestThatJustBeganIsKept)
{
    sky_held_connection_t young = {SKY_HELD_READING, 999, 0, 1};
    sky_held_connection_t old = {SKY_HELD_READING, 1000, 0, 1};
    EXPECT_FALSE(SkyConnectionShare_MayClose(&young));
    EXPECT_TRUE(SkyConnectionShare_MayClose(&old));
}

} // namespace
