// Turns at a plain service that is short of capacity: the rules one by one,
// and a replay with many hosts on one virtual clock, against the behaviour
// without turns.
#include <gtest/gtest.h>

#include <cstdio>

#include "tests/turn_replay.h"

namespace {

class Schedule : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(SkyTurnSchedule_Create(&schedule_), SKY_OK);
    }
    void
    TearDown() override
    {
        SkyTurnSchedule_Free(schedule_);
    }
    // Targets 1, 2, ... of which each runs a request in run_ms.
    void
    UseTargets(const std::vector<double> &run_ms)
    {
        std::vector<sky_turn_target_t> targets;
        for (size_t i = 0; i < run_ms.size(); i++) {
            targets.push_back({i + 1, SLOTS});
        }
        SkyTurnSchedule_SetTargets(schedule_, targets.data(),
                                   static_cast<uint32_t>(targets.size()),
                                   now_);
        for (size_t i = 0; i < run_ms.size(); i++) {
            Report(i + 1, 1, run_ms[i], 0);
        }
    }
    void
    Report(uint64_t target, uint32_t count, double ms, uint32_t rejected)
    {
        sky_turn_report_t report = {target, count, ms, rejected};
        SkyTurnSchedule_ApplyReport(schedule_, &report, now_);
    }
    sky_turn_t
    Take(uint32_t urgency = 0, uint64_t group = 1, uint32_t objective_ms = 150,
         uint32_t deadline_ms = 1500)
    {
        sky_turn_request_t request = {urgency,     group,   objective_ms,
                                      deadline_ms, nullptr, 0};
        return SkyTurnSchedule_Take(schedule_, &request, now_);
    }
    // @return turns that were given before the first refusal
    uint32_t
    TakeAll(uint32_t urgency = 0, uint64_t group = 1)
    {
        uint32_t count = 0;
        while (Take(urgency, group).kind == SKY_TURN_GIVEN) {
            count++;
        }
        return count;
    }
    sky_turn_schedule_t *schedule_ = nullptr;
    uint64_t now_ = 1000;
};

// A service without a shortage must not be slowed down by waits.
TEST_F(Schedule, FreeSlotsAreGivenAtOnce)
{
    UseTargets({30, 30});
    uint32_t counts[3] = {};
    for (uint32_t i = 0; i < 2 * SLOTS; i++) {
        sky_turn_t turn = Take();
        ASSERT_EQ(turn.kind, SKY_TURN_GIVEN);
        EXPECT_EQ(turn.wait_ms, 0u);
        counts[turn.target]++;
    }
    EXPECT_EQ(counts[1], SLOTS);
    EXPECT_EQ(counts[2], SLOTS);
    EXPECT_FALSE(SkyTurnSchedule_IsShort(schedule_, now_));
}

// A target with twice the run time takes half as many turns, or its requests
// wait there while other targets have free slots.
TEST_F(Schedule, TurnsFollowTheSpeedsOfTargets)
{
    UseTargets({20, 40});
    uint32_t counts[3] = {};
    for (; now_ < 5000; now_ += 2) {
        sky_turn_t turn = Take();
        if (turn.kind == SKY_TURN_GIVEN) {
            counts[turn.target]++;
        }
    }
    EXPECT_NEAR(static_cast<double>(counts[1]) / counts[2], 2.0, 0.3);
    EXPECT_NEAR(counts[1] + counts[2], 4000 * (SLOTS / 20.0 + SLOTS / 40.0),
                100);
}

// A refusal that states a wait without regard to the backlog brings callers
// back too early, or leaves slots empty.
TEST_F(Schedule, ARefusalStatesTheTimeUntilTheBacklogIsDrained)
{
    UseTargets({30});
    TakeAll();
    sky_turn_t refused = Take();
    ASSERT_EQ(refused.kind, SKY_TURN_REFUSED);
    uint64_t begin = now_;
    while (SkyTurnSchedule_GetBacklogMs(schedule_, now_) > 0) {
        now_++;
    }
    double drained = static_cast<double>(now_ - begin) + 30.0;
    EXPECT_GE(refused.retry_after_ms, drained / 2);
    EXPECT_LE(refused.retry_after_ms, drained * 2);
    EXPECT_EQ(Take().kind, SKY_TURN_GIVEN);
}

TEST_F(Schedule, ARequestThatCannotEndBeforeItsDeadlineIsRefused)
{
    UseTargets({30});
    EXPECT_EQ(Take(0, 1, 150, 20).kind, SKY_TURN_REFUSED);
    EXPECT_EQ(Take(0, 1, 150, 40).kind, SKY_TURN_GIVEN);
}

// A request that has missed its objective must neither be lost while slots are
// free, nor take the capacity of those that can meet theirs.
TEST_F(Schedule, LateRequestsGetWhatOthersLeave)
{
    UseTargets({30});
    Take();
    EXPECT_EQ(Take(0, 1, 0).kind, SKY_TURN_GIVEN);
    TakeAll();
    now_ += 10;
    EXPECT_EQ(Take(0, 1, 0).kind, SKY_TURN_REFUSED);
    EXPECT_EQ(Take().kind, SKY_TURN_GIVEN);
}

// The backlog of one class must not keep more urgent requests out.
TEST_F(Schedule, MoreUrgentRequestsFindRoomAheadOfLessUrgentOnes)
{
    UseTargets({30});
    Take(0);
    while (Take(1).kind == SKY_TURN_GIVEN) {
    }
    EXPECT_EQ(Take(0).kind, SKY_TURN_GIVEN);
}

// Urgent requests that take all capacity must leave a quarter to others.
TEST_F(Schedule, LessUrgentRequestsGetAQuarterIfTheyAskForIt)
{
    UseTargets({30, 30});
    uint32_t given[2] = {};
    for (; now_ < 11000; now_++) {
        for (int i = 0; i < 4; i++) {
            given[0] += Take(0).kind == SKY_TURN_GIVEN;
        }
        given[1] += Take(1).kind == SKY_TURN_GIVEN;
    }
    double all = given[0] + given[1];
    EXPECT_GE(given[1] / all, 0.24);
    EXPECT_GE(given[0] / all, 0.6);
}

// Routes of equal urgency are groups, and two of them seldom have equal
// demands: with empty slots, the one with more was refused by its share.
TEST_F(Schedule, NoRequestIsRefusedWhileSlotsMayBeEmpty)
{
    UseTargets({30, 55});
    for (; now_ < 4000; now_ += 50) { /* 280 of 309 requests a second */
        for (int i = 0; i < 14; i++) {
            ASSERT_EQ(Take(0, i == 0 ? 2 : 1, 60).kind, SKY_TURN_GIVEN);
        }
    }
}

// An estimate that is too long leaves slots empty, and no response says so by
// its wait.
TEST_F(Schedule, AnEstimateAboveTheResponseTimesIsCorrectedSoon)
{
    UseTargets({120});
    Report(1, 300, 120, 0);
    for (uint64_t begin = now_; now_ < begin + 400; now_ += 5) {
        Take();
        Report(1, 1, 32, 0);
    }
    uint32_t given = 0;
    for (uint64_t begin = now_; now_ < begin + 1000; now_++) {
        given += Take().kind == SKY_TURN_GIVEN;
    }
    EXPECT_GE(given, 1000 * SLOTS / 32 * 95 / 100);
}

// A group that sends more than its share must not keep others out.
TEST_F(Schedule, AGroupAboveItsShareLeavesRoomForOthers)
{
    UseTargets({30, 30});
    uint32_t asked = 0;
    uint32_t given = 0;
    for (; now_ < 6000; now_++) {
        Take(0, 1);
        Take(0, 1);
        if (now_ % 20 == 0 && now_ > 2000) {
            asked++;
            given += Take(0, 2).kind == SKY_TURN_GIVEN;
        }
        else if (now_ % 20 == 0) {
            Take(0, 2);
        }
    }
    EXPECT_GE(given, asked * 95 / 100);
}

// Rejections show work that the owner does not know of: what it goes on to
// send would be rejected too.
TEST_F(Schedule, ATargetThatRejectsGetsNoTurnsForAWhile)
{
    UseTargets({30, 30});
    Report(1, 0, 0, 1);
    EXPECT_TRUE(SkyTurnSchedule_IsShort(schedule_, now_));
    for (uint32_t i = 0; i < SLOTS; i++) {
        EXPECT_EQ(Take().target, 2u);
    }
}

TEST_F(Schedule, ExcludedAndRemovedTargetsGetNoTurns)
{
    UseTargets({30, 30});
    uint64_t excluded[] = {1, 2};
    sky_turn_request_t request = {0, 1, 150, 1500, excluded, 1};
    EXPECT_EQ(SkyTurnSchedule_Take(schedule_, &request, now_).target, 2u);
    request.excluded_count = 2;
    EXPECT_EQ(SkyTurnSchedule_Take(schedule_, &request, now_).kind,
              SKY_TURN_NO_TARGET);
    SkyTurnSchedule_SetTargets(schedule_, nullptr, 0, now_);
    EXPECT_EQ(Take().kind, SKY_TURN_NO_TARGET);
    Report(1, 1, 30, 0); /* late, of a target that has left */
}

// A host that is killed returns nothing: its turn must not block the slot for
// longer than the run would have.
TEST_F(Schedule, ATurnOfAKilledHostEndsByItself)
{
    UseTargets({30});
    TakeAll();
    now_ += SkyTurnSchedule_GetBacklogMs(schedule_, now_) + 30;
    EXPECT_EQ(SkyTurnSchedule_GetBacklogMs(schedule_, now_), 0u);
    EXPECT_EQ(Take().wait_ms, 0u);
}

TEST(Shortage, BeginsWithARejectionOrSlowResponsesAndEnds)
{
    sky_shortage_t shortage = {};
    for (uint64_t now = 0; now < 1000; now += 10) {
        SkyShortage_RecordResponse(&shortage, 30, now);
    }
    EXPECT_FALSE(SkyShortage_IsShort(&shortage, 1000));
    SkyShortage_RecordResponse(&shortage, 120, 1000);
    SkyShortage_RecordResponse(&shortage, 120, 1001);
    EXPECT_TRUE(SkyShortage_IsShort(&shortage, 1001));
    EXPECT_FALSE(SkyShortage_IsShort(&shortage, 1001 + SKY_SHORTAGE_HOLD_MS));
    SkyShortage_RecordRejection(&shortage, 9000);
    EXPECT_TRUE(SkyShortage_IsShort(&shortage, 9001));
}

// Responses of targets with different speeds vary, and each call in calm costs
// a request some ms: chance must not look like a shortage.
TEST(Shortage, VaryingResponsesOfACalmServiceAreNoSign)
{
    std::mt19937 random(1);
    std::lognormal_distribution<double> run_ms(std::log(30.0) - 0.08, 0.4);
    std::discrete_distribution<uint32_t> is_slow({12, 6});
    for (uint32_t host = 0; host < 330; host++) {
        sky_shortage_t shortage = {};
        for (uint64_t now = 1000; now < 1000000; now += 1000) {
            double speed = is_slow(random) ? 0.55 : 1.2;
            SkyShortage_RecordResponse(
                &shortage, static_cast<uint32_t>(run_ms(random) / speed), now);
            ASSERT_FALSE(SkyShortage_IsShort(&shortage, now));
        }
    }
}

// A service that has become slower for good is not short for ever.
TEST(Shortage, LastingSlownessBecomesUsual)
{
    sky_shortage_t shortage = {};
    uint64_t now = 0;
    for (int i = 0; i < 100; i++) {
        SkyShortage_RecordResponse(&shortage, 30, now += 10);
    }
    for (int i = 0; i < 1000; i++) {
        SkyShortage_RecordResponse(&shortage, 90, now += 10);
    }
    EXPECT_FALSE(
        SkyShortage_IsShort(&shortage, now + SKY_SHORTAGE_HOLD_MS / 2));
}

// ---- replay ----

constexpr double RATE = 0.308;

double
Wave(double ms, double peak)
{
    double from_peak_s = (std::fmod(ms, 16000) - 8000) / 1000;
    double base = std::max(50.0, (308.0 * 16 - peak * 2.005) / 16);
    return (base + peak * std::exp(-from_peak_s * from_peak_s / 1.28)) / 1000;
}

double
Burst(double ms, double factor)
{
    return ms > 5000 && ms < 15000 ? RATE * factor : RATE;
}

class TurnReplay : public ::testing::TestWithParam<uint32_t> {
  protected:
    void
    Run(const char *name, ReplayOptions options)
    {
        options.hosts = GetParam();
        options.with_turns = false;
        before_ = Replay(options).Run();
        options.with_turns = true;
        after_ = Replay(options).Run();
        for (const auto *result : {&before_, &after_}) {
            std::printf(
                "%s hosts=%u %s requests=%u in_time=%u served=%u "
                "refused=%u worst_second=%.3f slots_full=%.3f "
                "calls=%u worst_unused=%.3f\n",
                name, options.hosts, result == &before_ ? "before" : "turns",
                result->requests, result->in_time, result->served,
                result->refused, result->worst_second, result->slots_full,
                result->calls, result->worst_unused);
        }
        EXPECT_LT(after_.worst_second, 0.05);
        EXPECT_GE(after_.slots_full, 0.9);
        EXPECT_LT(after_.worst_unused, 0.05);
    }
    ReplayResult before_, after_;
};

TEST_P(TurnReplay, WaveWithAPeakOf1100RequestsIn2S)
{
    ReplayOptions options;
    options.rate = [](double ms) { return Wave(ms, 500); };
    Run("wave_1100", options);
    EXPECT_GE(after_.in_time, before_.in_time * 99 / 100);
}

TEST_P(TurnReplay, WaveWithAPeakOf2200RequestsIn2S)
{
    ReplayOptions options;
    options.rate = [](double ms) { return Wave(ms, 1200); };
    Run("wave_2200", options);
    EXPECT_GT(after_.in_time, before_.in_time);
}

TEST_P(TurnReplay, WaveWithAPeakOf3700RequestsIn2S)
{
    ReplayOptions options;
    options.rate = [](double ms) { return Wave(ms, 2100); };
    Run("wave_3700", options);
    EXPECT_GT(after_.in_time, before_.in_time);
}

TEST_P(TurnReplay, Burst)
{
    ReplayOptions options;
    options.duration_ms = 20000;
    options.rate = [](double ms) { return Burst(ms, 2.4); };
    Run("burst", options);
    EXPECT_GT(after_.in_time, before_.in_time);
}

// A burst that is over must leave no estimate behind by which requests are
// refused that the targets have free slots for.
TEST_P(TurnReplay, DemandBelowCapacityAfterABurst)
{
    ReplayOptions options;
    options.duration_ms = 20000;
    options.group_weights = {3, 1};
    options.rate = [](double ms) {
        return ms > 2000 && ms < 5000 ? 1.2 : 0.365;
    };
    Run("after_burst", options);
    options.handling_ms = 20;
    Run("after_burst_slow_hosts", options);
}

// The first reports of a shortage come from full targets: their times are
// mostly waits there. By an estimate that kept them, half of the requests were
// refused for ten seconds while slots were empty.
TEST_P(TurnReplay, TheFirstReportsComeFromFullTargets)
{
    ReplayOptions options;
    options.hosts = GetParam();
    options.duration_ms = 12000;
    options.group_weights = {3, 1};
    options.handling_ms = 10;
    options.first_report_ms = 200;
    options.rate = [](double) { return 0.365; };
    // The targets are in fact empty at first: the refusals until the
    // owner has seen that are allowed for.
    after_ = Replay(options).Run();
    std::printf("first_reports hosts=%u turns requests=%u in_time=%u "
                "served=%u refused=%u\n",
                options.hosts, after_.requests, after_.in_time, after_.served,
                after_.refused);
    EXPECT_LT(after_.refused, after_.requests * 8 / 100);
}

// The hot group is one of six with equal shares.
TEST_P(TurnReplay, OneGroupSendsNineTimesItsUsual)
{
    ReplayOptions options;
    options.duration_ms = 20000;
    options.group_weights = {9, 1, 1, 1, 1, 1};
    options.rate = [](double ms) { return Burst(ms, 14.0 / 6); };
    Run("hot_group", options);
    EXPECT_GT(after_.in_time, before_.in_time);
    // Not hurt: served as well as without the hot group's excess.
    ReplayOptions usual = options;
    usual.hosts = GetParam();
    usual.group_weights = {1, 1, 1, 1, 1, 1};
    usual.rate = [](double) { return RATE; };
    ReplayResult calm = Replay(usual).Run();
    double calm_share = static_cast<double>(calm.in_time) / calm.requests;
    for (size_t i = 1; i < options.group_weights.size(); i++) {
        double share = static_cast<double>(after_.group_in_time[i]) /
                       after_.group_requests[i];
        EXPECT_GE(share, 0.93 * calm_share) << calm_share;
    }
}

TEST_P(TurnReplay, UrgentRequestsComeFirst)
{
    ReplayOptions options;
    options.duration_ms = 20000;
    options.urgency_weights = {1, 1};
    options.rate = [](double ms) { return Burst(ms, 4.8); };
    Run("urgency", options);
    EXPECT_GT(after_.in_time, before_.in_time);
    EXPECT_GT(after_.urgency_served[0], after_.urgency_served[1] * 3 / 2);
    EXPECT_GE(after_.urgency_served[1] * 4, after_.served);
}

TEST_P(TurnReplay, HalfOfTheTargetsAreLost)
{
    ReplayOptions options;
    options.duration_ms = 20000;
    options.speeds = {1.2, 1.2, 0.55, 1.2};
    options.lost_ms = 8000;
    options.rate = [](double) { return 0.6; };
    Run("half_lost", options);
    EXPECT_GE(after_.in_time, before_.in_time * 99 / 100);
}

// Callers that return at once, 1 ms after a refusal.
TEST_P(TurnReplay, CallersRepeatAtOnce)
{
    ReplayOptions options;
    options.duration_ms = 20000;
    options.callers_repeat_at_once = true;
    options.rate = [](double ms) { return Burst(ms, 2.4); };
    Run("repeats", options);
    EXPECT_GT(after_.in_time, before_.in_time);
}

// While no owner responds, the hosts serve as without turns; each call costs
// some requests 150 ms.
TEST_P(TurnReplay, AnOwnerIsLostForThreeSeconds)
{
    ReplayOptions options;
    options.hosts = GetParam();
    options.duration_ms = 20000;
    options.rate = [](double ms) { return Burst(ms, 2.4); };
    options.with_turns = false;
    before_ = Replay(options).Run();
    options.with_turns = true;
    options.owner_lost_ms = 8000;
    options.owner_back_ms = 11000;
    after_ = Replay(options).Run();
    EXPECT_GE(after_.in_time, before_.in_time * 9 / 10);
    EXPECT_GE(after_.served, before_.served * 9 / 10);
}

// Without a shortage nothing changes: no call is made.
TEST_P(TurnReplay, ACalmServiceMakesNoCalls)
{
    ReplayOptions options;
    options.hosts = GetParam();
    options.duration_ms = 20000;
    options.rate = [](double) { return RATE / 2; };
    after_ = Replay(options).Run();
    EXPECT_EQ(after_.rejected, 0u);
    EXPECT_EQ(after_.calls, 0u);
}

INSTANTIATE_TEST_SUITE_P(Hosts, TurnReplay, ::testing::Values(8, 76, 330));

} // namespace
