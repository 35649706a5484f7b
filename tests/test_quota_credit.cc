// Guards against: hosts that together use more than a quota allows in any
// window, whatever fails, and requests within the quota that are refused. The
// replay joins owners and hosts without a network, on a virtual clock.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "decide/quota_credit.h"

namespace {

constexpr uint32_t kWindowMs = 8000;
constexpr double kOvershoot = 0.1;
constexpr uint64_t kSlack = 110000;
constexpr uint64_t kStartMs = 100000; // the clock counts from boot
constexpr uint64_t kEndMs = kStartMs + 40000;
constexpr uint64_t kFaultMs = kStartMs + 14000;
constexpr uint64_t kHealedMs = kStartMs + 24000;
constexpr uint64_t kRequestWaitMs = 2000;

sky_quota_t
Quota(double rate)
{
    return {true, SKY_QUOTA_TOKENS, rate, rate, 0};
}
sky_quota_terms_t
Terms(double rate)
{
    sky_quota_t quota = Quota(rate);
    return SkyQuotaTerms_Make(&quota, kWindowMs, kOvershoot, kSlack);
}
double
Allowed(double rate)
{
    return (rate * kWindowMs / 1000 + rate) * (1 + kOvershoot) + kSlack;
}

struct Request {
    uint64_t cost;
    uint64_t received_ms;
    bool is_within; // the quota, by a bucket without delays
};

struct Host {
    sky_quota_credit_t credit;
    sky_quota_hosts_t hosts;
    sky_quota_owner_t *account = nullptr; // as an owner
    std::vector<uint32_t> owners;         // as this host knows them
    uint32_t members;
    std::deque<Request> waiting;
    bool is_asking = false;
    bool asks_one = false; // a call for all was refused
    uint64_t asks_again_ms = 0;
    bool is_alive = true;
    bool is_paused = false;
    double weight = 1;
};

class Replay {
  public:
    Replay(uint32_t count, double rate, double demand, uint32_t seed)
        : rate_(rate), demand_(demand), rng_(seed), hosts_(count)
    {
        uint32_t owners = std::min<uint32_t>(8, std::max(3u, 1 + count / 64));
        sky_quota_terms_t terms = Terms(rate);
        for (uint32_t i = 0; i < count; i++) {
            hosts_[i].weight = 1.0 / (1 + i % 10); // 10 times as much or less
            weights_ += hosts_[i].weight;
        }
        for (uint32_t i = 0; i < count; i++) {
            Host &host = hosts_[i];
            SkyQuotaCredit_Init(&host.credit, &terms, kStartMs);
            host.hosts = {};
            for (uint32_t j = 0; j < owners; j++) {
                host.owners.push_back(j);
            }
            host.members = count;
            SkyQuotaOwner_Create(&terms, &host.account);
            At(kStartMs + rng_() % SKY_QUOTA_CALL_INTERVAL_MS,
               [this, i] { Tick(i); });
            ScheduleArrival(i);
        }
    }
    ~Replay()
    {
        for (Host &host : hosts_) {
            SkyQuotaOwner_Free(host.account);
        }
    }

    void
    At(uint64_t at_ms, std::function<void()> run)
    {
        events_.push({at_ms, sequence_++, std::move(run)});
    }
    void
    Run()
    {
        while (!events_.empty() && events_.top().at_ms < kEndMs) {
            Event event = events_.top();
            events_.pop();
            now_ = event.at_ms;
            event.run();
        }
    }
    Host &
    At(uint32_t i)
    {
        return hosts_[i];
    }
    uint32_t
    Count() const
    {
        return (uint32_t)hosts_.size();
    }
    void
    SetDemand(double demand)
    {
        demand_ = demand;
        generation_++;
        for (uint32_t i = 0; i < Count(); i++) {
            ScheduleArrival(i);
        }
    }
    // Whether a message from one host to another arrives.
    std::function<bool(uint32_t, uint32_t)> is_delivered =
        [](uint32_t, uint32_t) { return true; };
    void
    SetRate(double rate)
    {
        sky_quota_terms_t terms = Terms(rate);
        for (Host &host : hosts_) {
            SkyQuotaCredit_SetTerms(&host.credit, &terms);
            SkyQuotaOwner_SetTerms(host.account, &terms, now_);
        }
    }

    // Greatest number of units that ran in a window that began at or after a
    // time.
    double
    MaxWindow(uint64_t from_ms = 0) const
    {
        double sum = 0;
        double best = 0;
        size_t first = 0;
        for (const auto &run : runs_) {
            if (run.first < from_ms) {
                first++;
                continue;
            }
            sum += (double)run.second;
            while (runs_[first].first + kWindowMs <= run.first) {
                sum -= (double)runs_[first++].second;
            }
            best = std::max(best, sum);
        }
        return best;
    }
    double
    RanPerSecond(uint64_t from_ms, uint64_t to_ms) const
    {
        double sum = 0;
        for (const auto &run : runs_) {
            if (run.first >= from_ms && run.first < to_ms) {
                sum += (double)run.second;
            }
        }
        return sum * 1000 / (double)(to_ms - from_ms);
    }
    double
    ServedWithin(uint64_t from_ms, uint64_t to_ms) const
    {
        uint64_t within = 0;
        uint64_t served = 0;
        for (const auto &end : ends_) {
            if (end.first.is_within && end.first.received_ms >= from_ms &&
                end.first.received_ms < to_ms) {
                within++;
                served += end.second;
            }
        }
        return within > 0 ? (double)served / (double)within : 1;
    }

  private:
    struct Event {
        uint64_t at_ms;
        uint64_t sequence;
        std::function<void()> run;
        bool
        operator<(const Event &other) const
        {
            return at_ms != other.at_ms ? at_ms > other.at_ms
                                        : sequence > other.sequence;
        }
    };

    static uint64_t
    Hash(uint32_t i)
    {
        return i + 1;
    }
    double
    Uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(rng_);
    }
    uint64_t
    Delay()
    {
        return 1 + rng_() % 4;
    }
    uint64_t
    DrawCost()
    { // equally many in each doubling of the size
        return (uint64_t)(200 * std::pow(200.0, Uniform()));
    }
    static constexpr double kMeanCost = 39800 / 5.298;
    uint64_t
    NextArrival(uint32_t i)
    {
        double per_ms =
            rate_ * demand_ / kMeanCost / 1000 * hosts_[i].weight / weights_;
        return 1 + (uint64_t)(-std::log(1 - Uniform()) / per_ms);
    }
    // Whether a bucket without delays, charged for all that ran, would let it
    // in.
    bool
    IsWithin(uint64_t cost)
    {
        ideal_ = std::min(rate_,
                          ideal_ + rate_ * (double)(now_ - ideal_ms_) / 1000);
        ideal_ms_ = now_;
        return ideal_ >= (double)cost;
    }
    void
    End(const Request &request, bool is_run)
    {
        ends_.push_back({request, is_run});
        if (is_run) {
            runs_.push_back({now_, request.cost});
            ideal_ -= (double)request.cost;
        }
    }
    void
    Prepare(Host &host)
    {
        host.credit.host_count =
            SkyQuotaHosts_Count(&host.hosts, host.members, 0, now_);
    }

    void
    ScheduleArrival(uint32_t i)
    {
        uint32_t generation = generation_;
        At(now_ + NextArrival(i), [this, i, generation] {
            if (generation == generation_) {
                Arrive(i);
            }
        });
    }
    void
    Arrive(uint32_t i)
    {
        Host &host = hosts_[i];
        ScheduleArrival(i);
        if (!host.is_alive || host.is_paused) {
            return;
        }
        Request request = {DrawCost(), now_, false};
        request.is_within = IsWithin(request.cost);
        Prepare(host);
        SkyQuotaCredit_RecordDemand(&host.credit, request.cost, now_);
        uint32_t wait_ms;
        switch (SkyQuotaCredit_Acquire(&host.credit, request.cost, now_,
                                       &wait_ms)) {
        case SKY_QUOTA_GRANTED:
            End(request, true);
            break;
        case SKY_QUOTA_DENIED:
            End(request, false);
            break;
        case SKY_QUOTA_ASK:
            host.waiting.push_back(request);
            Ask(i);
            break;
        }
    }

    void
    Tick(uint32_t i)
    {
        At(now_ + SKY_QUOTA_CALL_INTERVAL_MS, [this, i] { Tick(i); });
        if (hosts_[i].is_alive && !hosts_[i].is_paused) {
            Ask(i);
        }
    }

    void
    ServeWaiting(Host &host)
    {
        uint32_t wait_ms;
        while (!host.waiting.empty() &&
               SkyQuotaCredit_Acquire(&host.credit, host.waiting.front().cost,
                                      now_, &wait_ms) == SKY_QUOTA_GRANTED) {
            End(host.waiting.front(), true);
            host.waiting.pop_front();
        }
    }
    // Refuses the first request and all that are as large.
    void
    RefuseWaiting(Host &host, uint32_t wait_ms)
    {
        uint64_t cost = host.waiting.front().cost;
        SkyQuotaCredit_RecordRefusal(&host.credit, cost, wait_ms, now_);
        std::deque<Request> smaller;
        for (const Request &request : host.waiting) {
            if (request.cost >= cost) {
                End(request, false);
            }
            else {
                smaller.push_back(request);
            }
        }
        host.waiting.swap(smaller);
    }
    void
    UseShare(Host &host)
    {
        while (!host.waiting.empty()) {
            uint32_t wait_ms;
            End(host.waiting.front(),
                SkyQuotaCredit_AcquireShare(
                    &host.credit, host.waiting.front().cost, now_, &wait_ms));
            host.waiting.pop_front();
        }
    }

    void
    Ask(uint32_t i)
    {
        Host &host = hosts_[i];
        if (host.is_asking || !host.is_alive) {
            return;
        }
        Prepare(host);
        std::vector<uint64_t> hashes;
        for (uint32_t owner : host.owners) {
            hashes.push_back(Hash(owner));
        }
        uint32_t index = SkyQuotaCredit_ChooseOwner(
            &host.credit, hashes.data(), (uint32_t)hashes.size(), now_);
        if (index == UINT32_MAX) {
            UseShare(host);
            return;
        }
        uint64_t cost = 0;
        for (const Request &request : host.waiting) {
            cost += request.cost;
            if (host.asks_one || now_ < host.credit.refused_until_ms) {
                break;
            }
        }
        sky_quota_ask_t ask = {};
        ask.host = Hash(i);
        SkyQuotaCredit_BeginCall(&host.credit, hashes[index], cost, now_,
                                 &ask);
        ask.host_count = SkyQuotaHosts_Count(&host.hosts, host.members,
                                             hashes[index], now_);
        host.is_asking = true;
        uint64_t sent_ms = now_;
        uint32_t owner = host.owners[index];
        auto is_over = std::make_shared<bool>(false);
        if (owner == i || is_delivered(i, owner)) {
            At(now_ + (owner == i ? 0 : Delay()),
               [=] { HandleCall(i, owner, ask, sent_ms, is_over); });
        }
        At(now_ + SKY_QUOTA_CALL_TIMEOUT_MS, [=] {
            if (!*is_over) {
                *is_over = true;
                hosts_[i].is_asking = false;
                SkyQuotaCredit_RecordSilence(&hosts_[i].credit, Hash(owner),
                                             now_);
                if (!hosts_[i].is_paused) {
                    Ask(i);
                }
            }
        });
    }

    void
    HandleCall(uint32_t i, uint32_t owner, const sky_quota_ask_t &ask,
               uint64_t sent_ms, std::shared_ptr<bool> is_over)
    {
        Host &host = hosts_[owner];
        if (!host.is_alive || host.is_paused) {
            return;
        }
        sky_quota_grant_t grant;
        ASSERT_EQ(SkyQuotaOwner_HandleAsk(host.account, &ask, host.members,
                                          now_, &grant),
                  SKY_OK);
        uint32_t count =
            SkyQuotaOwner_CountHosts(host.account, host.members, now_);
        if (owner == i || is_delivered(owner, i)) {
            At(now_ + (owner == i ? 0 : Delay()), [=] {
                if (!*is_over && hosts_[i].is_alive && !hosts_[i].is_paused) {
                    *is_over = true;
                    HandleResponse(i, owner, ask, grant, count, sent_ms);
                }
            });
        }
    }

    void
    HandleResponse(uint32_t i, uint32_t owner, const sky_quota_ask_t &ask,
                   const sky_quota_grant_t &grant, uint32_t count,
                   uint64_t sent_ms)
    {
        Host &host = hosts_[i];
        host.is_asking = false;
        SkyQuotaHosts_Record(&host.hosts, Hash(owner), count, now_);
        SkyQuotaCredit_ApplyGrant(&host.credit, Hash(owner), &grant, sent_ms,
                                  now_);
        ServeWaiting(host);
        if (host.waiting.empty()) {
            host.asks_one = false;
            return;
        }
        if (ask.needed == 0 || grant.wait_ms == 0) {
            Ask(i); // others have come meanwhile
            return;
        }
        if (!host.asks_one && host.waiting.size() > 1) {
            host.asks_one = true;
            Ask(i);
            return;
        }
        if (SkyQuotaCredit_IsUnsettled(&host.credit, now_) &&
            now_ < host.waiting.front().received_ms + kRequestWaitMs) {
            At(now_ + 100, [this, i] { Ask(i); });
            return;
        }
        RefuseWaiting(host, grant.wait_ms);
        host.asks_one = !host.waiting.empty();
        if (host.asks_one) {
            Ask(i);
        }
    }

    double rate_;
    double demand_;
    double weights_ = 0;
    uint32_t generation_ = 0; // of the demand
    std::mt19937 rng_;
    std::vector<Host> hosts_;
    std::priority_queue<Event> events_;
    uint64_t sequence_ = 0;
    uint64_t now_ = kStartMs;
    double ideal_ = 0;
    uint64_t ideal_ms_ = kStartMs;
    std::vector<std::pair<uint64_t, uint64_t>> runs_;
    std::vector<std::pair<Request, bool>> ends_;
};

struct Case {
    uint32_t hosts;
    double rate;
};

class Quotas : public testing::TestWithParam<Case> {
  protected:
    std::unique_ptr<Replay>
    Make(double demand, uint32_t seed = 1)
    {
        return std::make_unique<Replay>(GetParam().hosts, GetParam().rate,
                                        demand, seed);
    }
    // Callers that begin at the fault find a full bucket.
    std::unique_ptr<Replay>
    MakeGreedy()
    {
        auto replay = Make(0.05);
        Replay *greedy = replay.get();
        replay->At(kFaultMs - 100, [greedy] { greedy->SetDemand(5); });
        return replay;
    }
    void
    Check(Replay &replay)
    {
        replay.Run();
        double used = replay.MaxWindow();
        double rate = GetParam().rate;
        EXPECT_LE(used, Allowed(rate));
        if (getenv("QUOTA_REPORT")) {
            printf(
                "%-28s hosts=%-3u rate=%-6.0f window=%.3f of room_used=%.2f "
                "rate_before=%.2f during=%.2f after=%.2f "
                "within=%.4f/%.4f/%.4f\n",
                testing::UnitTest::GetInstance()->current_test_info()->name(),
                GetParam().hosts, rate, used / Allowed(rate),
                (used - rate * 9) / (Allowed(rate) - rate * 9),
                replay.RanPerSecond(kStartMs + 4000, kFaultMs) / rate,
                replay.RanPerSecond(kFaultMs, kHealedMs) / rate,
                replay.RanPerSecond(kHealedMs, kEndMs - 2000) / rate,
                replay.ServedWithin(kStartMs + 4000, kFaultMs),
                replay.ServedWithin(kFaultMs, kHealedMs),
                replay.ServedWithin(kHealedMs, kEndMs - 3000));
        }
    }
};

TEST_P(Quotas, LetsInWhatIsWithinOnACalmDay)
{
    for (uint32_t seed = 1; seed <= 3; seed++) {
        auto replay = Make(0.55, seed);
        Check(*replay);
        EXPECT_GE(replay->ServedWithin(kStartMs + 4000, kEndMs - 3000), 0.99);
    }
}

TEST_P(Quotas, HoldsAWorkspaceThatSendsNineTimesItsUsual)
{
    auto replay = Make(0.55);
    replay->At(kFaultMs, [&] { replay->SetDemand(0.55 * 9); });
    Check(*replay);
    EXPECT_GE(replay->RanPerSecond(kFaultMs + 2000, kEndMs - 2000),
              0.9 * GetParam().rate);
}

TEST_P(Quotas, SurvivesLossOfTheOwner)
{
    auto replay = Make(0.55);
    replay->At(kFaultMs, [&] { replay->At(0u).is_alive = false; });
    Check(*replay);
    EXPECT_GE(replay->ServedWithin(kFaultMs, kEndMs - 3000), 0.9);
    auto greedy = MakeGreedy();
    greedy->At(kFaultMs, [&] { greedy->At(0u).is_alive = false; });
    Check(*greedy);
}

TEST_P(Quotas, HoldsAfterAnOwnerWasPaused)
{
    for (uint64_t pause_ms : {300, 1200, 5000}) {
        auto replay = Make(0.55);
        replay->At(kFaultMs - 1000, [&] { replay->SetDemand(0.01); });
        replay->At(kFaultMs, [&] { replay->At(0u).is_paused = true; });
        replay->At(kFaultMs, [&] { replay->SetDemand(5); });
        replay->At(kFaultMs + pause_ms,
                   [&] { replay->At(0u).is_paused = false; });
        Check(*replay);
    }
}

TEST_P(Quotas, HoldsWithTwoOwnersAtOnce)
{
    for (bool knows_half : {false, true}) {
        auto replay = MakeGreedy();
        replay->At(kFaultMs, [&, knows_half] {
            for (uint32_t i = 0; i < replay->Count(); i += 2) {
                std::swap(replay->At(i).owners[0], replay->At(i).owners[1]);
                if (knows_half) {
                    replay->At(i).members /= 2;
                }
            }
        });
        replay->At(kHealedMs, [&] {
            for (uint32_t i = 0; i < replay->Count(); i += 2) {
                std::swap(replay->At(i).owners[0], replay->At(i).owners[1]);
            }
        });
        Check(*replay);
    }
}

TEST_P(Quotas, HoldsWithHostsCutOff)
{
    for (uint32_t cut_of_ten : {5, 9}) {
        for (bool is_one_way : {false, true}) {
            auto replay = MakeGreedy();
            bool is_cut = false;
            replay->is_delivered = [&, cut_of_ten, is_one_way](uint32_t from,
                                                               uint32_t to) {
                bool from_cut = from % 10 >= 10 - cut_of_ten;
                bool to_cut = to % 10 >= 10 - cut_of_ten;
                return !is_cut || from_cut == to_cut ||
                       (is_one_way && from_cut);
            };
            // Both owners of the list are on the side that is not cut off.
            for (uint32_t i = 0; i < replay->Count(); i++) {
                replay->At(i).owners = {0, 10 % replay->Count()};
                if (replay->Count() <= 10) {
                    replay->At(i).owners.pop_back();
                }
            }
            replay->At(kFaultMs, [&] { is_cut = true; });
            replay->At(kHealedMs, [&] { is_cut = false; });
            Check(*replay);
        }
    }
}

TEST_P(Quotas, HoldsWithLostMessages)
{
    auto replay = MakeGreedy();
    std::mt19937 rng(7);
    replay->is_delivered = [&](uint32_t, uint32_t) { return rng() % 50 != 0; };
    Check(*replay);
    EXPECT_GE(replay->RanPerSecond(kHealedMs, kEndMs - 2000),
              0.8 * GetParam().rate);
}

TEST_P(Quotas, HoldsWhenHostsAreKilledWithCredit)
{
    auto replay = MakeGreedy();
    replay->At(kFaultMs, [&] {
        for (uint32_t i = 1; i < replay->Count(); i += 3) {
            replay->At(i).is_alive = false;
        }
    });
    replay->At(kHealedMs, [&] {
        for (uint32_t i = 1; i < replay->Count(); i += 3) {
            sky_quota_terms_t terms = Terms(GetParam().rate);
            replay->At(i).is_alive = true;
            SkyQuotaCredit_Init(&replay->At(i).credit, &terms, kHealedMs);
        }
    });
    Check(*replay);
}

TEST_P(Quotas, FollowsALowerQuota)
{
    auto replay = Make(5);
    double lower = GetParam().rate / 4;
    replay->At(kFaultMs, [&] { replay->SetRate(lower); });
    Check(*replay);
    EXPECT_LE(replay->MaxWindow(kFaultMs + 1), Allowed(lower));
}

INSTANTIATE_TEST_SUITE_P(Replay, Quotas,
                         testing::Values(Case{8, 29000}, Case{76, 29000},
                                         Case{330, 29000}, Case{8, 560000},
                                         Case{76, 560000}, Case{330, 560000}));

class QuotaCredit : public testing::Test {
  protected:
    QuotaCredit()
    {
        sky_quota_terms_t terms = {1000, 1000, 1000};
        SkyQuotaCredit_Init(&credit_, &terms, kStartMs);
        credit_.host_count = 10;
    }
    void
    Grant(uint64_t granted, uint64_t sent_ms, uint64_t owner = 1)
    {
        sky_quota_ask_t ask = {};
        SkyQuotaCredit_BeginCall(&credit_, owner, 0, kStartMs + sent_ms, &ask);
        sky_quota_grant_t grant = {granted, 0};
        SkyQuotaCredit_ApplyGrant(&credit_, owner, &grant, kStartMs + sent_ms,
                                  kStartMs + sent_ms + 5);
    }
    sky_quota_result_t
    Acquire(uint64_t cost, uint64_t at_ms)
    {
        return SkyQuotaCredit_Acquire(&credit_, cost, kStartMs + at_ms,
                                      &wait_ms_);
    }

    sky_quota_credit_t credit_;
    uint32_t wait_ms_ = 0;
};

TEST_F(QuotaCredit, ExpiresASecondAfterTheCallWasSent)
{
    Grant(100, 0);
    EXPECT_EQ(Acquire(10, 999), SKY_QUOTA_GRANTED);
    EXPECT_EQ(Acquire(10, 1000), SKY_QUOTA_ASK);
}

TEST_F(QuotaCredit, IgnoresAResponseThatASuspendedHostReadsLate)
{
    sky_quota_grant_t grant = {100, 0};
    SkyQuotaCredit_ApplyGrant(&credit_, 1, &grant, kStartMs, kStartMs + 1000);
    EXPECT_EQ(Acquire(10, 1000), SKY_QUOTA_ASK);
}

TEST_F(QuotaCredit, RemembersARefusalForRequestsAsLarge)
{
    SkyQuotaCredit_RecordRefusal(&credit_, 50, 700, kStartMs);
    EXPECT_EQ(Acquire(50, 40), SKY_QUOTA_DENIED);
    EXPECT_EQ(wait_ms_, 660u);
    EXPECT_EQ(Acquire(49, 40), SKY_QUOTA_ASK);
    EXPECT_EQ(Acquire(50, 100), SKY_QUOTA_ASK);
}

TEST_F(QuotaCredit, TakesBackTheCostOfARequestThatDidNotRun)
{
    Grant(100, 0);
    EXPECT_EQ(Acquire(100, 10), SKY_QUOTA_GRANTED);
    SkyQuotaCredit_Refund(&credit_, 100, kStartMs + 10, kStartMs + 20);
    EXPECT_EQ(Acquire(100, 30), SKY_QUOTA_GRANTED);
    SkyQuotaCredit_Refund(&credit_, 100, kStartMs + 1499, kStartMs + 1500);
    EXPECT_EQ(Acquire(100, 1500), SKY_QUOTA_ASK);
}

// Guards against requests that wait for a target together and then hand the
// credit of an earlier window to others.
TEST_F(QuotaCredit, GivesBackToTheOwnerWhatWasChargedLongAgo)
{
    Grant(100, 0);
    EXPECT_EQ(Acquire(100, 10), SKY_QUOTA_GRANTED);
    SkyQuotaCredit_Refund(&credit_, 100, kStartMs + 10, kStartMs + 500);
    EXPECT_EQ(Acquire(1, 510), SKY_QUOTA_ASK);
    sky_quota_ask_t ask = {};
    SkyQuotaCredit_BeginCall(&credit_, 1, 0, kStartMs + 520, &ask);
    EXPECT_EQ(ask.returned, 100u);
}

// Guards against callers refused at one moment that return at one moment.
TEST(QuotaWait, SpreadsOverAQuarterOfTheWaitAndIsNeverShorter)
{
    uint32_t least = UINT32_MAX;
    uint32_t most = 0;
    for (uint64_t hash = 0; hash < 5000; hash++) {
        uint32_t wait_ms = SkyQuota_SpreadWait(8000, hash * 7919);
        least = std::min(least, wait_ms);
        most = std::max(most, wait_ms);
    }
    EXPECT_GE(least, 8000u);
    EXPECT_LE(most, 10000u);
    EXPECT_GE(most - least, 1900u);
    EXPECT_EQ(SkyQuota_SpreadWait(1, 77), 1u);
    EXPECT_EQ(SkyQuota_SpreadWait(UINT32_MAX, 1000), UINT32_MAX);
}

TEST_F(QuotaCredit, UsesATenthOfItsShareWithoutAnOwner)
{
    Grant(0, 0);
    uint64_t served = 0;
    for (uint64_t at_ms = 10; at_ms <= 12000; at_ms += 10) {
        served += SkyQuotaCredit_AcquireShare(&credit_, 1, kStartMs + at_ms,
                                              &wait_ms_);
    }
    // 1,150 ms at a fifth of the room, 850 ms at the rate, 10 s at a tenth
    EXPECT_NEAR((double)served, 20 + 85 + 100, 2);
}

// Guards against an owner that refills for a host which has just used its own
// share.
TEST_F(QuotaCredit, TellsAnOwnerThatItUsedItsOwnShare)
{
    Grant(0, 0);
    SkyQuotaCredit_AcquireShare(&credit_, 1, kStartMs + 3000, &wait_ms_);
    sky_quota_ask_t ask = {};
    SkyQuotaCredit_BeginCall(&credit_, 1, 0, kStartMs + 3100, &ask);
    EXPECT_EQ(ask.elsewhere_ms, 100);
}

TEST_F(QuotaCredit, ReturnsToAnOwnerThatWasSilentAfterASecond)
{
    const uint64_t owners[] = {1, 2};
    Grant(0, 0);
    SkyQuotaCredit_RecordSilence(&credit_, 1, kStartMs + 400);
    EXPECT_EQ(SkyQuotaCredit_ChooseOwner(&credit_, owners, 2, kStartMs + 400),
              0u);
    SkyQuotaCredit_RecordSilence(&credit_, 1, kStartMs + 550);
    EXPECT_EQ(SkyQuotaCredit_ChooseOwner(&credit_, owners, 2, kStartMs + 550),
              1u);
    Grant(0, 600, 2);
    sky_quota_ask_t ask = {};
    SkyQuotaCredit_BeginCall(&credit_, 2, 0, kStartMs + 700, &ask);
    EXPECT_EQ(ask.elsewhere_ms, 700); // since the last call to the first one
    EXPECT_EQ(SkyQuotaCredit_ChooseOwner(&credit_, owners, 2, kStartMs + 1550),
              0u);
    EXPECT_TRUE(SkyQuotaCredit_IsUnsettled(&credit_, kStartMs + 4500));
    EXPECT_FALSE(SkyQuotaCredit_IsUnsettled(&credit_, kStartMs + 4700));
}

} // namespace
