// The choice of the hosts that read the store and of those that relay records.
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
Choose(const std::vector<Host> &hosts, const char *domain, uint32_t max_count)
{
    std::vector<sky_fanout_host_t> list;
    for (const Host &host : hosts) {
        list.push_back(
            {host.address.c_str(), host.domain.c_str(), host.link_mbps});
    }
    std::vector<uint32_t> chosen(max_count);
    uint32_t count = SkyFanout_ChooseHosts(list.data(), (uint32_t)list.size(),
                                           domain, chosen.data(), max_count);
    std::vector<std::string> addresses;
    for (uint32_t i = 0; i < count; i++) {
        addresses.push_back(hosts[chosen[i]].address);
    }
    return addresses;
}

// A site where 6 of 60 hosts have a link of 200 Mbit/s and the others one of
// 10 Mbit/s.
std::vector<Host>
LargeSite()
{
    std::vector<Host> hosts;
    for (int i = 0; i < 60; i++) {
        hosts.push_back({"10.0.0." + std::to_string(i) + ":1",
                         "zone-" + std::to_string(i % 3), i < 6 ? 200u : 10u});
    }
    return hosts;
}

// Two readers on links of 10 Mbit/s responded after 2 s, so that the other
// hosts read the store themselves (8,200 calls in a day of a large site).
TEST(Fanout, ChoosesHostsWithHighBandwidth)
{
    std::vector<Host> hosts = LargeSite();
    for (const char *domain : {(const char *)nullptr, "zone-0", "zone-2"}) {
        std::vector<std::string> chosen = Choose(hosts, domain, 2);
        ASSERT_EQ(2u, chosen.size());
        for (const Host &host : hosts) {
            if (host.address == chosen[0] || host.address == chosen[1]) {
                EXPECT_EQ(200u, host.link_mbps);
                EXPECT_TRUE(domain == nullptr || host.domain == domain);
            }
        }
        EXPECT_NE(chosen[0], chosen[1]);
    }
}

TEST(Fanout, MakesTheSameChoiceForAnyOrderOfTheMembers)
{
    std::vector<Host> hosts = LargeSite();
    std::vector<std::string> readers = Choose(hosts, nullptr, 2);
    std::vector<std::string> relay = Choose(hosts, "zone-1", 1);
    for (int i = 0; i < 20; i++) {
        std::rotate(hosts.begin(), hosts.begin() + 7, hosts.end());
        std::swap(hosts[3], hosts[17]);
        EXPECT_EQ(readers, Choose(hosts, nullptr, 2));
        EXPECT_EQ(relay, Choose(hosts, "zone-1", 1));
    }
}

TEST(Fanout, ChoosesNoneOfADomainWithoutMembers)
{
    EXPECT_TRUE(Choose(LargeSite(), "zone-9", 2).empty());
    EXPECT_TRUE(Choose({}, nullptr, 2).empty());
    EXPECT_EQ(1u, Choose({{"10.0.0.1:1", "zone-0", 0}}, nullptr, 2).size());
}

} // namespace
