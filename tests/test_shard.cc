/** @file test_shard.cc @brief Single scenarios for the owner of a shard. */
#include <gtest/gtest.h>

#include "driver_world.h"

namespace {

/** Makes adapters resident by sending a request for each. */
void
LoadAdapters(World &world, uint32_t first, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        world.Ask(0, first + i);
        world.Run(3 * SECOND);
    }
}

uint32_t
FindTargetWithAdapter(const World &world, uint32_t adapter)
{
    uint32_t owner = Driver_Owner(world.driver, 0);
    const sky_shard_t *shard =
        SkyNode_Shard(Driver_Node(world.driver, owner), 0);
    for (uint32_t t = 0; t < SkyShard_TargetCount(shard); t++) {
        sky_target_status_t status;
        SkyShard_Describe(shard, t, &status);
        for (uint32_t i = 0; i < status.resident_count; i++) {
            if (status.resident[i] == 1000 + adapter) {
                return t;
            }
        }
    }
    return SKY_NO_TARGET;
}

TEST(Shard, AnAdapterOnALeavingTargetIsLoadedElsewhere)
{
    World world(5, 3, 3, 3);
    world.Start();
    LoadAdapters(world, 1, 1);
    Driver_SetLeaving(world.driver, FindTargetWithAdapter(world, 1), true);
    world.Run(4 * SECOND);
    uint32_t request = world.Ask(0, 1);
    world.Run(10 * SECOND);
    EXPECT_EQ(world.Result(request).code, SKY_OK);
    EXPECT_EQ(world.Result(request).runs, 1u);
}

TEST(Shard, TheRarestAdapterIsAnsweredInTheCrowd)
{
    /* Popular adapters must not starve a rare one: it is loaded next once it
     * has waited for starvation_us, which is 10 s here. */
    World world(6, 3, 2, 2);
    world.Start();
    uint32_t rare = 0;
    for (uint32_t step = 0; step < 200; step++) {
        for (uint32_t a = 1; a <= 6; a++) {
            world.Ask(step % 3, a, 60000, 10);
        }
        if (step == 100) {
            rare = world.Ask(0, 99, 60000, 10);
        }
        world.Run(100000);
    }
    world.Run(20 * SECOND);
    const driver_result_t &result = world.Result(rare);
    EXPECT_EQ(result.code, SKY_OK);
    EXPECT_LT(result.dispatched_us - result.arrived_us, 15 * SECOND);
}

TEST(Shard, RequestsThatWillMissTheirDeadlineAreRefusedAtOnce)
{
    World world(7, 3, 2, 2);
    world.Start();
    Driver_StoreSlow(world.driver, 100.0);
    std::vector<uint32_t> requests;
    for (uint32_t a = 1; a <= 40; a++) {
        requests.push_back(world.Ask(a % 3, a, 20000));
    }
    world.Run(4 * SECOND);
    uint32_t refused = 0;
    for (uint32_t request : requests) {
        const driver_result_t &result = world.Result(request);
        if (result.answered) {
            refused++;
            EXPECT_EQ(result.code, SKY_E_OVERLOADED);
            EXPECT_GE(result.retry_after_ms, 200u);
        }
    }
    EXPECT_GT(refused, 10u);
}

/** Stops the owner by @p stop_host. @return wait of a request sent then. */
uint64_t
MeasureWaitAfterStop(World &world, void (*stop_host)(driver_t *, uint32_t))
{
    world.Start();
    LoadAdapters(world, 1, 1);
    uint32_t owner = Driver_Owner(world.driver, 0);
    uint64_t stopped_us = Driver_Now(world.driver);
    stop_host(world.driver, owner);
    uint32_t request = world.Ask((owner + 1) % 4, 1);
    world.Run(10 * SECOND);
    EXPECT_EQ(world.Result(request).code, SKY_OK);
    EXPECT_FALSE(Driver_IsAlive(world.driver, owner));
    return world.Result(request).dispatched_us - stopped_us;
}

TEST(Shard, AKilledOwnerIsReplacedWithinItsBound)
{
    /* Failure detection 1.2 s, denial 0.4 s, lease 1.5 s, margin 1 s, and the
     * ticks between them. */
    World world(8);
    EXPECT_LT(MeasureWaitAfterStop(world, Driver_Kill), 6 * SECOND);
}

TEST(Shard, APlannedStopHandsOverWithoutTheWait)
{
    World world(9);
    EXPECT_LT(MeasureWaitAfterStop(world, Driver_Drain), 2 * SECOND);
}

TEST(Shard, ResidentAdaptersGoOnWithTheLogOut)
{
    World world(10);
    world.Start();
    LoadAdapters(world, 1, 1);
    Driver_LogDown(world.driver, true);
    world.Run(20 * SECOND);
    uint32_t resident = world.Ask(0, 1);
    uint32_t other = world.Ask(1, 2, 3000);
    uint32_t keyed = world.Book(2, 5);
    world.Run(5 * SECOND);
    EXPECT_EQ(world.Result(resident).code, SKY_OK);
    EXPECT_NE(world.Result(other).code, SKY_OK);
    EXPECT_EQ(world.Result(keyed).code, SKY_E_LOG_DOWN);
    EXPECT_EQ(world.Result(keyed).runs, 0u);
}

TEST(Shard, AHostThatLostTheLogIsVouchedFor)
{
    World world(11);
    world.Start();
    LoadAdapters(world, 1, 1);
    uint32_t owner = Driver_Owner(world.driver, 0);
    Driver_CutLog(world.driver, owner, true);
    world.Run(20 * SECOND);
    EXPECT_EQ(Driver_Owner(world.driver, 0), owner);
    uint32_t request = world.Ask(owner, 2);
    world.Run(5 * SECOND);
    EXPECT_EQ(world.Result(request).code, SKY_OK);
}

TEST(Shard, AChangeIsInForceEverywhereWithinSeconds)
{
    World world(12, 8);
    world.Start();
    uint64_t changed_us = Driver_Now(world.driver);
    Driver_Change(world.driver, 3, SKY_CONFIG_TEMPLATE, "opening", 0,
                  "{\"pool\": \"desk\"}");
    uint32_t hosts_behind = 8;
    while (hosts_behind > 0 &&
           Driver_Now(world.driver) < changed_us + 30 * SECOND) {
        world.Run(50000);
        hosts_behind = 0;
        for (uint32_t h = 0; h < 8; h++) {
            hosts_behind += World::Revision(Driver_Node(world.driver, h)) == 0;
        }
    }
    EXPECT_LT(Driver_Now(world.driver) - changed_us, 13 * SECOND);
}

TEST(Shard, EveryHostIsReplacedInTurnWithoutLoss)
{
    World world(13);
    world.Start();
    LoadAdapters(world, 1, 3);
    std::vector<uint32_t> requests;
    for (uint32_t host = 0; host < 4; host++) {
        for (uint32_t i = 0; i < 10; i++) {
            requests.push_back(world.Ask(host, 1 + i % 3, 20000, 50));
        }
        world.Run(100000);
        Driver_Drain(world.driver, host);
        world.Run(15 * SECOND);
        ASSERT_FALSE(Driver_IsAlive(world.driver, host));
        Driver_Start(world.driver, host);
        world.Run(10 * SECOND);
    }
    for (uint32_t request : requests) {
        EXPECT_EQ(world.Result(request).code, SKY_OK);
        EXPECT_FALSE(world.Result(request).lost);
    }
}

TEST(Shard, RegionsLoseEachOtherForAnHour)
{
    /* Hosts 0 to 2 cannot reach hosts 3 to 5 or the log; all hosts reach the
     * targets. */
    World world(16, 6, 3, 3);
    world.options.node.members.degraded_us = 60 * SECOND;
    world.Start();
    LoadAdapters(world, 1, 3);
    for (uint32_t a = 0; a < 3; a++) {
        Driver_CutLog(world.driver, a, true);
        for (uint32_t b = 3; b < 6; b++) {
            Driver_Cut(world.driver, a, b, true);
            Driver_Cut(world.driver, b, a, true);
        }
    }
    std::vector<uint32_t> with_log;
    for (uint32_t minute = 0; minute < 60; minute++) {
        for (uint32_t i = 0; i < 6; i++) {
            uint32_t request = world.Ask(i, 1 + (minute + i) % 8, 20000);
            if (i >= 3 && minute > 0) {
                with_log.push_back(request);
            }
        }
        world.Run(60 * SECOND);
    }
    for (uint32_t request : with_log) {
        EXPECT_EQ(world.Result(request).code, SKY_OK);
    }
    for (uint32_t a = 0; a < 3; a++) {
        Driver_CutLog(world.driver, a, false);
        for (uint32_t b = 3; b < 6; b++) {
            Driver_Cut(world.driver, a, b, false);
            Driver_Cut(world.driver, b, a, false);
        }
    }
    world.Run(20 * SECOND);
    uint32_t healed = world.Ask(0, 2);
    world.Run(10 * SECOND);
    EXPECT_EQ(world.Result(healed).code, SKY_OK);
    EXPECT_EQ(world.Breaches(), 0u) << world.BreachText();
}

TEST(Shard, AnUnconfirmedCrashOfATargetThatIsDownIsSettledAtOnce)
{
    /* Guards against a request that waits for a report of a target that is
     * down: the owner learns of the broken exchange only from the log, after
     * it has found the target down. */
    World world(15, 4, 3, 3);
    world.options.restart_us = 300 * SECOND;
    world.Start();
    LoadAdapters(world, 1, 1);
    uint32_t owner = Driver_Owner(world.driver, 0);
    uint32_t entry = (owner + 1) % 4;
    driver_request_t request = World::Request(1, 30000, 20);
    request.fingerprint = 0xdead;
    request.crashes = true;
    uint32_t crashing = Driver_Request(world.driver, entry, &request);
    while (world.Result(crashing).runs == 0) {
        world.Run(100);
    }
    Driver_Cut(world.driver, entry, owner, true);
    world.Run(5 * SECOND);
    request.crashes = false;
    uint32_t again = Driver_Request(world.driver, (owner + 2) % 4, &request);
    world.Run(8 * SECOND);
    EXPECT_EQ(world.Result(again).code, SKY_OK);
}

TEST(Shard, AllHostsRestartedAtOnceAnswerAgain)
{
    World world(14);
    world.Start();
    LoadAdapters(world, 1, 2);
    for (uint32_t host = 0; host < 4; host++) {
        Driver_Kill(world.driver, host);
        Driver_Start(world.driver, host);
    }
    world.Run(10 * SECOND);
    uint32_t request = world.Ask(2, 3);
    world.Run(10 * SECOND);
    EXPECT_EQ(world.Result(request).code, SKY_OK);
}

} // namespace
