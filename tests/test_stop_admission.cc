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
    EndsInTime(uint64_t route, uint64_t left_ms, uint64_t limit_ms,
               sky_stop_kind_t kind = SKY_STOP_KIND_REPEATABLE,
               bool is_balanced = true)
    {
        sky_stop_times_t times = {.exits_at_ms = now_ms_ + left_ms,
                                  .balanced_until_ms =
                                      now_ms_ + (is_balanced ? 1 : 0)};
        sky_stop_request_t request = {.route = route,
                                      .kind = kind,
                                      .limit_ms = limit_ms,
                                      .ends_at_ms = now_ms_ + limit_ms};
        return SkyStopAdmission_EndsInTime(admission_, &times, &request,
                                           now_ms_);
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

// Guards against requests that are taken since those before were short, and
// cut at the exit though they may not run again.
TEST_F(StopAdmission, ARequestThatMayNotRunAgainCountsByItsDeadline)
{
    SkyStopAdmission_RecordResponse(admission_, 1, 40, now_ms_);
    now_ms_ += 15000;
    EXPECT_FALSE(EndsInTime(1, 7600, 15000, SKY_STOP_KIND_ONCE));
    EXPECT_FALSE(EndsInTime(1, 1400, 1500, SKY_STOP_KIND_ONCE));
    EXPECT_TRUE(EndsInTime(1, 1500, 1500, SKY_STOP_KIND_ONCE));
}

// Guards against streams that are taken late, when hardly any still come here,
// and cut at the exit.
TEST_F(StopAdmission, AStreamThatComesLateCountsByItsDeadline)
{
    SkyStopAdmission_RecordResponse(admission_, 1, 900, now_ms_);
    now_ms_ += 15000;
    EXPECT_TRUE(EndsInTime(1, 5000, 15000, SKY_STOP_KIND_RESUMABLE, true));
    EXPECT_FALSE(EndsInTime(1, 5000, 15000, SKY_STOP_KIND_RESUMABLE, false));
    EXPECT_TRUE(EndsInTime(1, 5000, 5000, SKY_STOP_KIND_RESUMABLE, false));
    EXPECT_TRUE(EndsInTime(1, 5000, 15000, SKY_STOP_KIND_REPEATABLE, false));
}

// Guards against a wait before the send that the decision at the arrival did
// not count on.
TEST_F(StopAdmission, ARequestThatWaitsIsGivenBackBeforeItIsTooLate)
{
    sky_stop_times_t times = {.exits_at_ms = now_ms_ + 20000,
                              .balanced_until_ms = now_ms_ + 18000};
    SkyStopAdmission_RecordResponse(admission_, 1, 400, now_ms_);
    now_ms_ += 15000;
    sky_stop_request_t request = {.route = 1,
                                  .kind = SKY_STOP_KIND_RESUMABLE,
                                  .limit_ms = 15000,
                                  .ends_at_ms = now_ms_ + 15000};
    EXPECT_TRUE(
        SkyStopAdmission_EndsInTime(admission_, &times, &request, now_ms_));
    now_ms_ += 3000;
    EXPECT_FALSE(
        SkyStopAdmission_EndsInTime(admission_, &times, &request, now_ms_));
    request.kind = SKY_STOP_KIND_REPEATABLE;
    EXPECT_TRUE(
        SkyStopAdmission_EndsInTime(admission_, &times, &request, now_ms_));
    now_ms_ += 1501; // 499 ms are left
    EXPECT_FALSE(
        SkyStopAdmission_EndsInTime(admission_, &times, &request, now_ms_));
}

struct outcome_t {
    uint32_t cut = 0;
    uint32_t refused = 0;
    uint32_t refused_though_short = 0; // would have ended in time
    uint32_t served = 0;
};

using rule_t = bool (*)(const sky_stop_admission_t *admission,
                        const sky_stop_times_t *times,
                        const sky_stop_request_t *request, uint64_t now_ms);

// One time for all routes.
bool
FixedTime(const sky_stop_admission_t *, const sky_stop_times_t *times,
          const sky_stop_request_t *, uint64_t now_ms)
{
    return now_ms + 4000 <= times->exits_at_ms;
}

// Recent responses count for requests of all kinds, at all times.
bool
GuessAlways(const sky_stop_admission_t *admission,
            const sky_stop_times_t *times, const sky_stop_request_t *request,
            uint64_t now_ms)
{
    sky_stop_request_t guessed = *request;
    guessed.kind = SKY_STOP_KIND_REPEATABLE;
    return SkyStopAdmission_EndsInTime(admission, times, &guessed, now_ms);
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
        sky_stop_kind_t kind;
    } const ROUTES[] = {{200, 900, 5000, 40, SKY_STOP_KIND_RESUMABLE},
                        {1500, 6500, 15000, 60, SKY_STOP_KIND_RESUMABLE},
                        {3000, 10000, 25000, 300, SKY_STOP_KIND_RESUMABLE},
                        {30, 60, 1500, 80, SKY_STOP_KIND_REPEATABLE}};
    outcome_t outcome;
    std::mt19937 random(seed);
    uint64_t now_ms = 100000;
    for (uint32_t host = 0; host < HOSTS; host++) {
        sky_stop_admission_t *admission = create(64);
        uint64_t term_ms = now_ms + 20000;
        uint64_t exits_at_ms = term_ms + GRACE_MS;
        sky_stop_times_t times = {exits_at_ms, term_ms + BALANCER_MS};
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
                sky_stop_request_t request = {route, kind.kind,
                                              kind.deadline_ms,
                                              now_ms + kind.deadline_ms};
                if (is_stopping &&
                    !rule(admission, &times, &request, now_ms)) {
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

struct late_outcome_t {
    uint32_t cut_once = 0;      // may not run again
    uint32_t cut_late = 0;      // streams that came after the balancer's
    uint32_t cut_early = 0;     // other streams
    uint32_t answered_late = 0; // repeatable; the caller is told of the exit
    uint32_t served = 0;
    uint32_t refused = 0;
    uint32_t served_short_repeatable = 0;
    uint32_t short_repeatable = 0;
};

// One host is stopped in calm. Until then all responses are short; from then
// on some take nearly as long as their deadlines allow, and some wait first.
late_outcome_t
ReplayLateRequests(sky_stop_admission_t *(*create)(uint32_t), rule_t rule,
                   bool is_checked_before_send, uint32_t seed)
{
    late_outcome_t outcome;
    std::mt19937 random(seed);
    sky_stop_admission_t *admission = create(64);
    const uint64_t BEGIN_MS = 100000;
    const uint64_t DEADLINES_MS[] = {1500, 5000, 15000};
    sky_stop_times_t times = {.exits_at_ms = BEGIN_MS + 30000 + GRACE_MS,
                              .balanced_until_ms = BEGIN_MS + 33000};
    uint64_t term_ms = times.exits_at_ms - GRACE_MS;
    for (uint64_t now_ms = BEGIN_MS; now_ms < times.exits_at_ms;
         now_ms += 10) {
        uint64_t route = random() % 9; // each kind with each deadline
        auto kind = (sky_stop_kind_t)(route % 3);
        sky_stop_request_t request = {.route = route,
                                      .kind = kind,
                                      .limit_ms = DEADLINES_MS[route / 3],
                                      .ends_at_ms =
                                          now_ms + DEADLINES_MS[route / 3]};
        uint64_t run_ms = 30 + random() % 30;
        if (now_ms < term_ms) {
            SkyStopAdmission_RecordResponse(admission, route, run_ms,
                                            now_ms + run_ms);
            continue;
        }
        bool is_long = random() % 4 == 0;
        uint64_t wait_ms = random() % 4 == 0 ? random() % 1000 : 0;
        if (is_long) {
            run_ms = request.limit_ms * (50 + random() % 50) / 100;
        }
        bool is_short_repeatable = kind == SKY_STOP_KIND_REPEATABLE &&
                                   !is_long && wait_ms == 0 &&
                                   now_ms + 100 < times.exits_at_ms;
        outcome.short_repeatable += is_short_repeatable;
        uint64_t sent_ms = now_ms + wait_ms;
        if (!rule(admission, &times, &request, now_ms) ||
            (is_checked_before_send &&
             !rule(admission, &times, &request, sent_ms))) {
            outcome.refused++;
            continue;
        }
        if (std::min(sent_ms + run_ms, request.ends_at_ms) <=
            times.exits_at_ms) {
            outcome.served++;
            outcome.served_short_repeatable += is_short_repeatable;
            continue;
        }
        switch (kind) {
        case SKY_STOP_KIND_REPEATABLE:
            outcome.answered_late++;
            break;
        case SKY_STOP_KIND_RESUMABLE:
            (sent_ms < times.balanced_until_ms ? outcome.cut_early
                                               : outcome.cut_late)++;
            break;
        case SKY_STOP_KIND_ONCE:
            outcome.cut_once++;
            break;
        }
    }
    SkyStopAdmission_Free(admission);
    return outcome;
}

// Guards against requests that come late in the grace period, last longer than
// those before them, and are cut at the exit.
TEST_F(StopAdmission, LongRequestsAfterShortOnesAreNotCut)
{
    for (uint32_t seed = 1; seed <= 100; seed++) {
        late_outcome_t outcome = ReplayLateRequests(
            Create, SkyStopAdmission_EndsInTime, true, seed);
        EXPECT_EQ(outcome.cut_once, 0u) << "seed " << seed;
        EXPECT_EQ(outcome.cut_late, 0u) << "seed " << seed;
        EXPECT_EQ(outcome.served_short_repeatable, outcome.short_repeatable)
            << "seed " << seed;
        EXPECT_GT(outcome.served, outcome.refused) << "seed " << seed;
    }
}

TEST_F(StopAdmission, TheReplayFindsWhatGuessesCut)
{
    late_outcome_t guessed = ReplayLateRequests(Create, GuessAlways, true, 1);
    EXPECT_GT(guessed.cut_once, 0u);
    EXPECT_GT(guessed.cut_late, 0u);
    uint32_t cut_after_waiting = 0;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        cut_after_waiting +=
            ReplayLateRequests(Create, SkyStopAdmission_EndsInTime, false,
                               seed)
                .cut_late;
    }
    EXPECT_GT(cut_after_waiting, 0u);
}

} // namespace
