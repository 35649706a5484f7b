/** @file test_shard.cc @brief Single scenarios for the owner of a shard. */
#include <gtest/gtest.h>

#include "simulated_cluster.h"

namespace {

/** Makes adapters resident by sending a request for each. */
void
LoadAdapters(SimulatedCluster &cluster, uint32_t first, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        cluster.SendRequest(0, first + i);
        cluster.Run(3 * SECOND);
    }
}

uint32_t
FindTargetWithAdapter(const SimulatedCluster &cluster, uint32_t adapter)
{
    uint32_t owner = Driver_FindShardOwner(cluster.driver, 0);
    const sky_shard_t *shard =
        SkyNode_Shard(Driver_Node(cluster.driver, owner), 0);
    for (uint32_t t = 0; t < SkyShard_TargetCount(shard); t++) {
        sky_target_status_t status;
        SkyShard_GetTargetStatus(shard, t, &status);
        for (uint32_t i = 0; i < status.resident_count; i++) {
            if (status.resident[i] == 1000 + adapter) {
                return t;
            }
        }
    }
    return SKY_INDEX_NONE;
}

TEST(Shard, AdaptersOfALeavingTargetAreLoadedElsewhere)
{
    SimulatedCluster cluster(5, 3, 3, 3);
    cluster.Start();
    LoadAdapters(cluster, 1, 1);
    Driver_SetTargetLeaving(cluster.driver, FindTargetWithAdapter(cluster, 1),
                            true);
    cluster.Run(4 * SECOND);
    uint32_t request = cluster.SendRequest(0, 1);
    cluster.Run(10 * SECOND);
    EXPECT_EQ(cluster.Result(request).code, SKY_OK);
    EXPECT_EQ(cluster.Result(request).runs, 1u);
}

TEST(Shard, ARareAdapterIsNotStarvedByPopularOnes)
{
    /* Popular adapters must not starve a rare one: it is loaded next once it
     * has waited for starvation_us, which is 10 s here. */
    SimulatedCluster cluster(6, 3, 2, 2);
    cluster.Start();
    uint32_t rare = 0;
    for (uint32_t step = 0; step < 200; step++) {
        for (uint32_t a = 1; a <= 6; a++) {
            cluster.SendRequest(step % 3, a, 60000, 10);
        }
        if (step == 100) {
            rare = cluster.SendRequest(0, 99, 60000, 10);
        }
        cluster.Run(100000);
    }
    cluster.Run(20 * SECOND);
    const driver_result_t &result = cluster.Result(rare);
    EXPECT_EQ(result.code, SKY_OK);
    EXPECT_LT(result.dispatched_us - result.arrived_us, 15 * SECOND);
}

TEST(Shard, RequestsThatWillMissTheirDeadlineAreRefusedAtOnce)
{
    SimulatedCluster cluster(7, 3, 2, 2);
    cluster.Start();
    Driver_SetStoreSlowdown(cluster.driver, 100.0);
    std::vector<uint32_t> requests;
    for (uint32_t a = 1; a <= 40; a++) {
        requests.push_back(cluster.SendRequest(a % 3, a, 20000));
    }
    cluster.Run(4 * SECOND);
    uint32_t refused = 0;
    for (uint32_t request : requests) {
        const driver_result_t &result = cluster.Result(request);
        if (result.completed) {
            refused++;
            EXPECT_EQ(result.code, SKY_E_OVERLOADED);
            EXPECT_GE(result.retry_after_ms, 200u);
        }
    }
    EXPECT_GT(refused, 10u);
}

/** Stops the owner by @p stop_host. @return wait of a request sent then. */
uint64_t
MeasureWaitAfterStop(SimulatedCluster &cluster,
                     void (*stop_host)(driver_t *, uint32_t))
{
    cluster.Start();
    LoadAdapters(cluster, 1, 1);
    uint32_t owner = Driver_FindShardOwner(cluster.driver, 0);
    uint64_t stopped_us = Driver_NowUs(cluster.driver);
    stop_host(cluster.driver, owner);
    uint32_t request = cluster.SendRequest((owner + 1) % 4, 1);
    cluster.Run(10 * SECOND);
    EXPECT_EQ(cluster.Result(request).code, SKY_OK);
    EXPECT_FALSE(Driver_IsHostAlive(cluster.driver, owner));
    return cluster.Result(request).dispatched_us - stopped_us;
}

TEST(Shard, AKilledOwnerIsReplacedWithinSixSeconds)
{
    /* Failure detection 1.2 s, denial 0.4 s, lease 1.5 s, margin 1 s, and the
     * ticks between them. */
    SimulatedCluster cluster(8);
    EXPECT_LT(MeasureWaitAfterStop(cluster, Driver_KillHost), 6 * SECOND);
}

TEST(Shard, APlannedStopSkipsTheTakeoverWait)
{
    SimulatedCluster cluster(9);
    EXPECT_LT(MeasureWaitAfterStop(cluster, Driver_DrainHost), 2 * SECOND);
}

TEST(Shard, ResidentAdaptersAreServedWhileTheLogIsUnavailable)
{
    SimulatedCluster cluster(10);
    cluster.Start();
    LoadAdapters(cluster, 1, 1);
    Driver_SetLogUnavailable(cluster.driver, true);
    cluster.Run(20 * SECOND);
    uint32_t resident = cluster.SendRequest(0, 1);
    uint32_t other = cluster.SendRequest(1, 2, 3000);
    uint32_t keyed = cluster.SendKeyedRequest(2, 5);
    cluster.Run(5 * SECOND);
    EXPECT_EQ(cluster.Result(resident).code, SKY_OK);
    EXPECT_NE(cluster.Result(other).code, SKY_OK);
    EXPECT_EQ(cluster.Result(keyed).code, SKY_E_LOG_DOWN);
    EXPECT_EQ(cluster.Result(keyed).runs, 0u);
}

TEST(Shard, PeersConfirmTheLeaseOfAHostWithoutTheLog)
{
    SimulatedCluster cluster(11);
    cluster.Start();
    LoadAdapters(cluster, 1, 1);
    uint32_t owner = Driver_FindShardOwner(cluster.driver, 0);
    Driver_SetLogLinkCut(cluster.driver, owner, true);
    cluster.Run(20 * SECOND);
    EXPECT_EQ(Driver_FindShardOwner(cluster.driver, 0), owner);
    uint32_t request = cluster.SendRequest(owner, 2);
    cluster.Run(5 * SECOND);
    EXPECT_EQ(cluster.Result(request).code, SKY_OK);
}

TEST(Shard, AConfigurationChangeReachesEveryHostWithin13Seconds)
{
    SimulatedCluster cluster(12, 8);
    cluster.Start();
    uint64_t changed_us = Driver_NowUs(cluster.driver);
    Driver_SubmitConfigChange(cluster.driver, 3, SKY_CONFIG_TEMPLATE,
                              "opening", 0, "{\"pool\": \"desk\"}");
    uint32_t hosts_behind = 8;
    while (hosts_behind > 0 &&
           Driver_NowUs(cluster.driver) < changed_us + 30 * SECOND) {
        cluster.Run(50000);
        hosts_behind = 0;
        for (uint32_t h = 0; h < 8; h++) {
            hosts_behind += SimulatedCluster::Revision(
                                Driver_Node(cluster.driver, h)) == 0;
        }
    }
    EXPECT_LT(Driver_NowUs(cluster.driver) - changed_us, 13 * SECOND);
}

TEST(Shard, ReplacingHostsInTurnLosesNoRequest)
{
    SimulatedCluster cluster(13);
    cluster.Start();
    LoadAdapters(cluster, 1, 3);
    std::vector<uint32_t> requests;
    for (uint32_t host = 0; host < 4; host++) {
        for (uint32_t i = 0; i < 10; i++) {
            requests.push_back(
                cluster.SendRequest(host, 1 + i % 3, 20000, 50));
        }
        cluster.Run(100000);
        Driver_DrainHost(cluster.driver, host);
        cluster.Run(15 * SECOND);
        ASSERT_FALSE(Driver_IsHostAlive(cluster.driver, host));
        Driver_StartHost(cluster.driver, host);
        cluster.Run(10 * SECOND);
    }
    for (uint32_t request : requests) {
        EXPECT_EQ(cluster.Result(request).code, SKY_OK);
        EXPECT_FALSE(cluster.Result(request).host_stopped);
    }
}

TEST(Shard, RequestsSucceedDuringAnHourLongPartition)
{
    /* Hosts 0 to 2 cannot reach hosts 3 to 5 or the log; all hosts reach the
     * targets. */
    SimulatedCluster cluster(16, 6, 3, 3);
    cluster.options.node.members.degraded_us = 60 * SECOND;
    cluster.Start();
    LoadAdapters(cluster, 1, 3);
    for (uint32_t a = 0; a < 3; a++) {
        Driver_SetLogLinkCut(cluster.driver, a, true);
        for (uint32_t b = 3; b < 6; b++) {
            Driver_SetPeerLinkCut(cluster.driver, a, b, true);
            Driver_SetPeerLinkCut(cluster.driver, b, a, true);
        }
    }
    std::vector<uint32_t> with_log;
    for (uint32_t minute = 0; minute < 60; minute++) {
        for (uint32_t i = 0; i < 6; i++) {
            uint32_t request =
                cluster.SendRequest(i, 1 + (minute + i) % 8, 20000);
            if (i >= 3 && minute > 0) {
                with_log.push_back(request);
            }
        }
        cluster.Run(60 * SECOND);
    }
    for (uint32_t request : with_log) {
        EXPECT_EQ(cluster.Result(request).code, SKY_OK);
    }
    for (uint32_t a = 0; a < 3; a++) {
        Driver_SetLogLinkCut(cluster.driver, a, false);
        for (uint32_t b = 3; b < 6; b++) {
            Driver_SetPeerLinkCut(cluster.driver, a, b, false);
            Driver_SetPeerLinkCut(cluster.driver, b, a, false);
        }
    }
    cluster.Run(20 * SECOND);
    uint32_t healed = cluster.SendRequest(0, 2);
    cluster.Run(10 * SECOND);
    EXPECT_EQ(cluster.Result(healed).code, SKY_OK);
    EXPECT_EQ(cluster.BreachCount(), 0u) << cluster.BreachText();
}

TEST(Shard, AnUnconfirmedCrashOfATargetThatIsDownIsSettledAtOnce)
{
    /* Guards against a request that waits for a report of a target that is
     * down: the owner learns of the broken exchange only from the log, after
     * it has found the target down. */
    SimulatedCluster cluster(15, 4, 3, 3);
    cluster.options.restart_delay_us = 300 * SECOND;
    cluster.Start();
    LoadAdapters(cluster, 1, 1);
    uint32_t owner = Driver_FindShardOwner(cluster.driver, 0);
    uint32_t entry = (owner + 1) % 4;
    driver_request_t request = SimulatedCluster::Request(1, 30000, 20);
    request.fingerprint = 0xdead;
    request.crashes_targets = true;
    uint32_t crashing = Driver_SubmitRequest(cluster.driver, entry, &request);
    while (cluster.Result(crashing).runs == 0) {
        cluster.Run(100);
    }
    Driver_SetPeerLinkCut(cluster.driver, entry, owner, true);
    cluster.Run(5 * SECOND);
    request.crashes_targets = false;
    uint32_t again =
        Driver_SubmitRequest(cluster.driver, (owner + 2) % 4, &request);
    cluster.Run(8 * SECOND);
    EXPECT_EQ(cluster.Result(again).code, SKY_OK);
}

TEST(Shard, RequestsSucceedAfterAllHostsRestartAtOnce)
{
    SimulatedCluster cluster(14);
    cluster.Start();
    LoadAdapters(cluster, 1, 2);
    for (uint32_t host = 0; host < 4; host++) {
        Driver_KillHost(cluster.driver, host);
        Driver_StartHost(cluster.driver, host);
    }
    cluster.Run(10 * SECOND);
    uint32_t request = cluster.SendRequest(2, 3);
    cluster.Run(10 * SECOND);
    EXPECT_EQ(cluster.Result(request).code, SKY_OK);
}

} // namespace
