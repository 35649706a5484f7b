/** @file test_path.cc @brief Requests from arrival to result, on simulated
 *  hosts. */
#include <gtest/gtest.h>

#include "driver_world.h"

namespace {

TEST(Path, ASingleHostRunsARequest)
{
    World world(1, 1);
    world.Start();
    ASSERT_TRUE(Driver_IsReady(world.driver, 0));
    uint32_t request = world.Ask(0, 1);
    world.Run(5 * SECOND);
    EXPECT_TRUE(world.Result(request).answered);
    EXPECT_EQ(world.Result(request).code, SKY_OK);
    EXPECT_EQ(world.Result(request).runs, 1u);
    EXPECT_EQ(world.Breaches(), 0u) << world.BreachText();
}

TEST(Path, EveryHostServesEveryAdapter)
{
    World world(2);
    std::vector<uint32_t> requests;
    world.Start();
    for (uint32_t i = 0; i < 40; i++) {
        requests.push_back(world.Ask(i % 4, i % 10));
    }
    world.Run(20 * SECOND);
    for (uint32_t request : requests) {
        EXPECT_EQ(world.Result(request).code, SKY_OK);
        EXPECT_EQ(world.Result(request).runs, 1u);
    }
    EXPECT_EQ(world.Breaches(), 0u) << world.BreachText();
}

TEST(Path, ExactlyOneHostOwnsAShard)
{
    World world(3);
    world.Start();
    uint32_t active = 0;
    for (uint32_t h = 0; h < 4; h++) {
        const sky_node_t *node = Driver_Node(world.driver, h);
        active += SkyShard_IsActive(SkyNode_Shard(node, 0));
    }
    EXPECT_EQ(active, 1u);
}

TEST(Path, AKeySentToTwoHostsRunsOnce)
{
    World world(4);
    world.Start();
    uint32_t first = world.Book(0, 77);
    uint32_t second = world.Book(1, 77);
    world.Run(5 * SECOND);
    EXPECT_EQ(world.Result(first).runs + world.Result(second).runs, 1u);
    EXPECT_NE(world.Result(first).code, world.Result(second).code);
}

} // namespace
