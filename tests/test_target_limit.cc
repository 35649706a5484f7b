// The limit that a target names for all hosts together, replayed on a clock of
// the test. The bound on arrivals is the users' rule.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "decide/target_limit.h"

namespace {

constexpr uint64_t WINDOW_MS = 4000;
constexpr double OWNERLESS_FRACTION = 0.25;

double
Allowed(double per_s)
{
    return 1.5 * per_s * static_cast<double>(WINDOW_MS) / 1000.0 + 5.0;
}

uint32_t
MostInAWindow(std::vector<uint64_t> sends_ms)
{
    std::sort(sends_ms.begin(), sends_ms.end());
    size_t most = 0;
    size_t begin = 0;
    for (size_t end = 0; end < sends_ms.size(); end++) {
        while (sends_ms[begin] + WINDOW_MS <= sends_ms[end]) {
            begin++;
        }
        most = std::max(most, end - begin + 1);
    }
    return static_cast<uint32_t>(most);
}

// Each time step, as many requests as the bucket permits.
void
SendAll(sky_target_limit_t *limit, double fraction, uint64_t now_ms,
        std::vector<uint64_t> *sends_ms)
{
    uint32_t wait_ms = 0;
    while (SkyTargetLimit_Acquire(limit, fraction, now_ms, &wait_ms)) {
        sends_ms->push_back(now_ms);
    }
}

TEST(TargetLimit, AnOwnerHandsOutWhatTheTargetTakes)
{
    for (double per_s : {0.3, 2.8, 5.3, 60.0}) {
        sky_target_limit_t limit = {};
        std::vector<uint64_t> sends_ms;
        SkyTargetLimit_Observe(&limit, per_s, 1000);
        for (uint64_t now_ms = 1000; now_ms < 61000; now_ms += 10) {
            SendAll(&limit, 1.0, now_ms, &sends_ms);
        }
        EXPECT_LE(MostInAWindow(sends_ms), Allowed(per_s)) << per_s;
        EXPECT_GE(sends_ms.size(), 0.9 * per_s * 60.0 - 1.0) << per_s;
    }
}

TEST(TargetLimit, ABurstAfterAnIdleTimeStaysWithinTheWindow)
{
    sky_target_limit_t limit = {};
    std::vector<uint64_t> sends_ms;
    SkyTargetLimit_Observe(&limit, 5.3, 1000);
    for (uint64_t now_ms = 31000; now_ms < 41000; now_ms += 10) {
        SendAll(&limit, 1.0, now_ms, &sends_ms);
    }
    EXPECT_LE(MostInAWindow(sends_ms), Allowed(5.3));
}

// Guards against hosts that each keep to the whole limit, or begin together.
TEST(TargetLimit, HostsWithoutAnOwnerStayWithinTheLimitTogether)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        std::mt19937 random(seed);
        std::uniform_real_distribution<double> phase(0.0, 1.0);
        for (uint32_t host_count : {1u, 3u, 8u, 48u}) {
            for (double per_s : {0.5, 5.3, 60.0}) {
                std::vector<uint64_t> sends_ms;
                // The owner hands out the whole limit to others.
                sky_target_limit_t owner = {};
                SkyTargetLimit_Observe(&owner, per_s, 1000);
                std::vector<sky_target_limit_t> hosts(host_count);
                for (sky_target_limit_t &host : hosts) {
                    SkyTargetLimit_Observe(&host, per_s, 1000);
                    SkyTargetLimit_Reset(&host, phase(random), 1000);
                }
                for (uint64_t now_ms = 1000; now_ms < 31000; now_ms += 20) {
                    SendAll(&owner, 1.0, now_ms, &sends_ms);
                    for (sky_target_limit_t &host : hosts) {
                        SendAll(&host, OWNERLESS_FRACTION / host_count, now_ms,
                                &sends_ms);
                    }
                }
                EXPECT_LE(MostInAWindow(sends_ms), Allowed(per_s))
                    << seed << " " << host_count << " " << per_s;
            }
        }
    }
}

TEST(TargetLimit, TheWaitEndsWhenAPermitIsThere)
{
    sky_target_limit_t limit = {};
    uint32_t wait_ms = 0;
    SkyTargetLimit_Observe(&limit, 5.0, 1000);
    EXPECT_FALSE(SkyTargetLimit_Acquire(&limit, 1.0, 1000, &wait_ms));
    EXPECT_EQ(200u, wait_ms);
    EXPECT_FALSE(SkyTargetLimit_Acquire(&limit, 1.0, 1100, &wait_ms));
    EXPECT_EQ(100u, wait_ms);
    EXPECT_TRUE(SkyTargetLimit_Acquire(&limit, 1.0, 1200, &wait_ms));
}

TEST(TargetLimit, AnOlderObservationDoesNotReplaceANewerOne)
{
    sky_target_limit_t limit = {};
    EXPECT_TRUE(SkyTargetLimit_Observe(&limit, 5.0, 1000));
    EXPECT_FALSE(SkyTargetLimit_Observe(&limit, 5.0, 1100));
    EXPECT_TRUE(SkyTargetLimit_Observe(&limit, 0.0, 1200));
    EXPECT_FALSE(SkyTargetLimit_Observe(&limit, 5.0, 1150));
    EXPECT_EQ(0.0, limit.per_s);
}

// Guards against permits that were saved up under a limit and are used under
// a later, lower one.
TEST(TargetLimit, ALowerLimitTakesEffectAtOnce)
{
    sky_target_limit_t limit = {};
    std::vector<uint64_t> sends_ms;
    SkyTargetLimit_Observe(&limit, 100.0, 1000);
    uint32_t wait_ms = 0;
    SkyTargetLimit_Acquire(&limit, 1.0, 3000, &wait_ms);
    SkyTargetLimit_Observe(&limit, 2.0, 3000);
    for (uint64_t now_ms = 3000; now_ms < 7000; now_ms += 10) {
        SendAll(&limit, 1.0, now_ms, &sends_ms);
    }
    EXPECT_LE(MostInAWindow(sends_ms), Allowed(2.0));
}

} // namespace
