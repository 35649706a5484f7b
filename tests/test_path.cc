/** @file test_path.cc @brief Requests from arrival to result, on simulated
 *  hosts. */
#include <gtest/gtest.h>

#include "simulated_cluster.h"

namespace {

TEST(Path, ASingleHostRunsARequest)
{
    SimulatedCluster cluster(1, 1);
    cluster.Start();
    ASSERT_TRUE(Driver_IsHostReady(cluster.driver, 0));
    uint32_t request = cluster.SendRequest(0, 1);
    cluster.Run(5 * SECOND);
    EXPECT_TRUE(cluster.Result(request).completed);
    EXPECT_EQ(cluster.Result(request).code, SKY_OK);
    EXPECT_EQ(cluster.Result(request).runs, 1u);
    EXPECT_EQ(cluster.BreachCount(), 0u) << cluster.BreachText();
}

TEST(Path, EveryHostServesEveryAdapter)
{
    SimulatedCluster cluster(2);
    std::vector<uint32_t> requests;
    cluster.Start();
    for (uint32_t i = 0; i < 40; i++) {
        requests.push_back(cluster.SendRequest(i % 4, i % 10));
    }
    cluster.Run(20 * SECOND);
    for (uint32_t request : requests) {
        EXPECT_EQ(cluster.Result(request).code, SKY_OK);
        EXPECT_EQ(cluster.Result(request).runs, 1u);
    }
    EXPECT_EQ(cluster.BreachCount(), 0u) << cluster.BreachText();
}

TEST(Path, ExactlyOneHostOwnsAShard)
{
    SimulatedCluster cluster(3);
    cluster.Start();
    uint32_t active = 0;
    for (uint32_t h = 0; h < 4; h++) {
        const sky_node_t *node = Driver_Node(cluster.driver, h);
        active += SkyShard_IsActive(SkyNode_Shard(node, 0));
    }
    EXPECT_EQ(active, 1u);
}

TEST(Path, AKeySentToTwoHostsRunsOnce)
{
    SimulatedCluster cluster(4);
    cluster.Start();
    uint32_t first = cluster.SendKeyedRequest(0, 77);
    uint32_t second = cluster.SendKeyedRequest(1, 77);
    cluster.Run(5 * SECOND);
    EXPECT_EQ(cluster.Result(first).runs + cluster.Result(second).runs, 1u);
    EXPECT_NE(cluster.Result(first).code, cluster.Result(second).code);
}

} // namespace
