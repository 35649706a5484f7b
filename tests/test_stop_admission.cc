// Which requests a stopping host still takes, replayed on a clock of the test.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "decide/stop_admission.h"

namespace {

constexpr uint64_t GRACE_MS = 7600;
constexpr uint64_t BALANCER_MS = 3200; // it sends callers for so long
constexpr uint32_t HOSTS = 9;

class StopAdmission : public testing::Test {
  protected:
    void
    SetUp() override
    {
        admission_ = Create(64);
    }
    void
    TearDown() override
    {
        SkyStopAdmission_Free(admission_);
    }
    static sky_stop_admission_t *
    Create(uint32_t routes_max)
    {
        sky_stop_admission_t *admission = nullptr;
        sky_stop_admission_options_t options = {.window_ms = 30000,
                                                .routes_max = routes_max};
        EXPECT_EQ(SkyStopAdmission_Create(&options, &admission), SKY_OK);
        return admission;
    }
    bool
    EndsInTime(uint64_t route, uint64_t left_ms, uint64_t limit_ms)
    {
        return SkyStopAdmission_EndsInTime(
            admission_, route, now_ms_ + left_ms, limit_ms, now_ms_);
    }
    sky_stop_admission_t *admission_ = nullptr;
    uint64_t now_ms_ = 1000000;
};

TEST_F(StopAdmission, ARouteWithoutResponsesCountsByItsDeadline)
{
    EXPECT_FALSE(EndsInTime(1, 4000, 5000));
    EXPECT_TRUE(EndsInTime(1, 5000, 5000));
    EXPECT_FALSE(EndsInTime(1, 0, 1500));
}

TEST_F(StopAdmission, ShortResponsesAreTakenNearTheEnd)
{
    SkyStopAdmission_RecordResponse(admission_, 1, 40, now_ms_);
    SkyStopAdmission_RecordResponse(admission_, 2, 6000, now_ms_);
    now_ms_ += 15000;
    EXPECT_TRUE(EndsInTime(1, 100, 1500));
    EXPECT_FALSE(EndsInTime(2, 6500, 15000));
    EXPECT_TRUE(EndsInTime(2, 7600, 15000));
    EXPECT_FALSE(EndsInTime(1, 0, 1500));
}

// Guards against a host that stops soon after its start: what it has seen end
// by then is short, and long responses are still under way.
TEST_F(StopAdmission, ARouteInUseForAMomentCountsByItsDeadline)
{
    SkyStopAdmission_RecordResponse(admission_, 1, 900, now_ms_);
    now_ms_ += 3000;
    EXPECT_FALSE(EndsInTime(1, 3800, 15000));
    now_ms_ += 12000;
    EXPECT_TRUE(EndsInTime(1, 3800, 15000));
}

TEST_F(StopAdmission, ALongResponseIsForgottenAfterTwoWindows)
{
    SkyStopAdmission_RecordResponse(admission_, 1, 9000, now_ms_);
    now_ms_ += 30000;
    SkyStopAdmission_RecordResponse(admission_, 1, 50, now_ms_);
    EXPECT_FALSE(EndsInTime(1, 7600, 15000));
    now_ms_ += 30000;
    SkyStopAdmission_RecordResponse(admission_, 1, 50, now_ms_);
    EXPECT_TRUE(EndsInTime(1, 7600, 15000));
    now_ms_ += 90000;
    EXPECT_FALSE(EndsInTime(1, 7600, 15000)); // nothing is known any more
}

TEST_F(StopAdmission, RoutesBeyondTheBoundCountByTheirDeadline)
{
    for (uint64_t route = 0; route < 100; route++) {
        SkyStopAdmission_RecordResponse(admission_, route, 50, now_ms_);
    }
    now_ms_ += 15000;
    EXPECT_TRUE(EndsInTime(0, 1000, 15000));
    EXPECT_FALSE(EndsInTime(99, 1000, 15000));
    now_ms_ += 90000;
    SkyStopAdmission_RecordResponse(admission_, 99, 50, now_ms_);
    now_ms_ += 15000;
    EXPECT_TRUE(EndsInTime(99, 1000, 15000));
}

struct outcome_t {
    uint32_t cut = 0;
    uint32_t refused = 0;
    uint32_t refused_though_short = 0; // would have ended in time
    uint32_t served = 0;
};

using rule_t = bool (*)(const sky_stop_admission_t *admission, uint64_t route,
                        uint64_t exits_at_ms, uint64_t limit_ms,
                        uint64_t now_ms);

// One time for all routes.
bool
FixedTime(const sky_stop_admission_t *, uint64_t, uint64_t exits_at_ms,
          uint64_t, uint64_t now_ms)
{
    return now_ms + 4000 <= exits_at_ms;
}

// All hosts are stopped in turn beside a burst that makes responses longer,
// while the balancer and kept connections still bring requests to the host
// that stops.
outcome_t
ReplayRollingRestart(sky_stop_admission_t *(*create)(uint32_t), rule_t rule,
                     uint32_t seed)
{
    struct {
        uint64_t shortest_ms, longest_ms, deadline_ms, every_ms;
    } const ROUTES[] = {{200, 900, 5000, 40},
                        {1500, 6500, 15000, 60},
                        {3000, 10000, 25000, 300},
                        {30, 60, 1500, 80}};
    outcome_t outcome;
    std::mt19937 random(seed);
    uint64_t now_ms = 100000;
    for (uint32_t host = 0; host < HOSTS; host++) {
        sky_stop_admission_t *admission = create(64);
        uint64_t term_ms = now_ms + 20000;
        uint64_t exits_at_ms = term_ms + GRACE_MS;
        struct run_t {
            uint64_t end_ms, begin_ms, route;
        };
        std::vector<run_t> runs;
        for (; now_ms < exits_at_ms; now_ms += 20) {
            bool is_burst = now_ms + 4000 > term_ms;
            for (uint64_t route = 0; route < 4; route++) {
                const auto &kind = ROUTES[route];
                // Kept connections bring a request now and then to the end.
                uint64_t every_ms = now_ms > term_ms + BALANCER_MS
                                        ? kind.every_ms * 8
                                        : kind.every_ms;
                if (random() % every_ms >= 20) {
                    continue;
                }
                double load = is_burst ? 1.2 : 1.0;
                uint64_t span_ms = kind.longest_ms - kind.shortest_ms;
                auto run_ms =
                    std::min((uint64_t)((double)(kind.shortest_ms +
                                                 random() % span_ms) *
                                        load),
                             kind.deadline_ms);
                bool is_stopping = now_ms >= term_ms;
                if (is_stopping && !rule(admission, route, exits_at_ms,
                                         kind.deadline_ms, now_ms)) {
                    outcome.refused++;
                    outcome.refused_though_short +=
                        kind.deadline_ms <= exits_at_ms - now_ms;
                    continue;
                }
                runs.push_back({now_ms + run_ms, now_ms, route});
                outcome.cut += is_stopping && now_ms + run_ms > exits_at_ms;
                outcome.served += is_stopping;
            }
            for (auto run = runs.begin(); run != runs.end();) {
                if (run->end_ms <= now_ms) {
                    SkyStopAdmission_RecordResponse(
                        admission, run->route, run->end_ms - run->begin_ms,
                        now_ms);
                    run = runs.erase(run);
                }
                else {
                    ++run;
                }
            }
        }
        SkyStopAdmission_Free(admission);
    }
    return outcome;
}

// Guards against responses that a stopping host begins and cuts at its exit.
TEST_F(StopAdmission, RollingRestartBesideABurstCutsNoResponse)
{
    for (uint32_t seed = 1; seed <= 30; seed++) {
        outcome_t outcome =
            ReplayRollingRestart(Create, SkyStopAdmission_EndsInTime, seed);
        EXPECT_EQ(outcome.cut, 0u) << "seed " << seed;
        EXPECT_EQ(outcome.refused_though_short, 0u) << "seed " << seed;
        EXPECT_GT(outcome.served, outcome.refused) << "seed " << seed;
    }
}

TEST_F(StopAdmission, TheReplayFindsWhatOneTimeForAllRoutesCuts)
{
    EXPECT_GT(ReplayRollingRestart(Create, FixedTime, 1).cut, 0u);
}

} // namespace
