// Which hosts read the store for all, and which hand records on.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "decide/fanout.h"

namespace {

struct Host {
    std::string address;
    std::string domain;
    uint32_t link_mbps;
};

std::vector<std::string>
Pick(const std::vector<Host> &hosts, const char *domain, uint32_t most)
{
    std::vector<sky_fanout_host_t> list;
    for (const Host &host : hosts) {
        list.push_back(
            {host.address.c_str(), host.domain.c_str(), host.link_mbps});
    }
    std::vector<uint32_t> picked(most);
    uint32_t count = SkyFanout_Pick(list.data(), (uint32_t)list.size(), domain,
                                    picked.data(), most);
    std::vector<std::string> addresses;
    for (uint32_t i = 0; i < count; i++) {
        addresses.push_back(hosts[picked[i]].address);
    }
    return addresses;
}

// A grown site: few hosts have wide links, most have 10 Mbit/s.
std::vector<Host>
GrownSite()
{
    std::vector<Host> hosts;
    for (int i = 0; i < 60; i++) {
        hosts.push_back({"10.0.0." + std::to_string(i) + ":1",
                         "zone-" + std::to_string(i % 3), i < 6 ? 200u : 10u});
    }
    return hosts;
}

// Two readers on links of 10 Mbit/s answered after 2 s, so that the other
// hosts read the store themselves (8,200 calls on a grown day).
TEST(Fanout, HostsWithWideLinksReadAndHandOn)
{
    std::vector<Host> hosts = GrownSite();
    for (const char *domain : {(const char *)nullptr, "zone-0", "zone-2"}) {
        std::vector<std::string> picked = Pick(hosts, domain, 2);
        ASSERT_EQ(2u, picked.size());
        for (const Host &host : hosts) {
            if (host.address == picked[0] || host.address == picked[1]) {
                EXPECT_EQ(200u, host.link_mbps);
                EXPECT_TRUE(domain == nullptr || host.domain == domain);
            }
        }
        EXPECT_NE(picked[0], picked[1]);
    }
}

TEST(Fanout, AllHostsChooseAlikeInWhateverOrderTheyKnowTheMembers)
{
    std::vector<Host> hosts = GrownSite();
    std::vector<std::string> readers = Pick(hosts, nullptr, 2);
    std::vector<std::string> relay = Pick(hosts, "zone-1", 1);
    for (int i = 0; i < 20; i++) {
        std::rotate(hosts.begin(), hosts.begin() + 7, hosts.end());
        std::swap(hosts[3], hosts[17]);
        EXPECT_EQ(readers, Pick(hosts, nullptr, 2));
        EXPECT_EQ(relay, Pick(hosts, "zone-1", 1));
    }
}

TEST(Fanout, PicksNobodyOfADomainWithoutMembers)
{
    EXPECT_TRUE(Pick(GrownSite(), "zone-9", 2).empty());
    EXPECT_TRUE(Pick({}, nullptr, 2).empty());
    EXPECT_EQ(1u, Pick({{"10.0.0.1:1", "zone-0", 0}}, nullptr, 2).size());
}

} // namespace
