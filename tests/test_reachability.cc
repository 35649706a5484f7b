// Whether a host reaches a service: the decision alone, and eight hosts at
// load on a clock of the test, some of which are cut off from all targets.
#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "decide/reachability.h"

namespace {

constexpr const char *SERVICE = "app";

sky_path_t
ChoosePath(sky_reachability_t *reachability, bool has_target, uint64_t now_ms)
{
    sky_path_query_t query = {};
    query.service = SERVICE;
    query.has_target = has_target;
    sky_path_t path;
    SkyReachability_ChoosePath(reachability, &query, now_ms, &path);
    return path;
}

class Reachability : public testing::Test {
  protected:
    Reachability()
    {
        EXPECT_EQ(SkyReachability_Create(&reachability_), SKY_OK);
    }
    ~Reachability() override
    {
        SkyReachability_Free(reachability_);
    }
    void
    Answer(const char *address, bool is_doubted, uint32_t heard_age_ms,
           uint32_t open_requests, uint64_t now_ms)
    {
        sky_reach_word_t word = {is_doubted, heard_age_ms, open_requests};
        SkyReachability_RecordAnswer(reachability_, SERVICE, address, true,
                                     &word, now_ms);
    }
    void
    FailTwoTargets(uint64_t now_ms)
    {
        SkyReachability_RecordFailure(reachability_, SERVICE, 1, 3, now_ms);
        SkyReachability_RecordFailure(reachability_, SERVICE, 2, 3, now_ms);
    }
    sky_reachability_t *reachability_ = nullptr;
};

TEST_F(Reachability, OneTargetThatFailsIsNoReasonForADoubt)
{
    SkyReachability_RecordFailure(reachability_, SERVICE, 1, 3, 1000);
    SkyReachability_RecordFailure(reachability_, SERVICE, 1, 3, 1100);
    EXPECT_FALSE(SkyReachability_IsDoubted(reachability_, SERVICE, 1200));
    SkyReachability_RecordFailure(reachability_, SERVICE, 2, 3, 1200);
    EXPECT_TRUE(SkyReachability_IsDoubted(reachability_, SERVICE, 1200));
}

TEST_F(Reachability, TheOnlyTargetOfAServiceIsEnough)
{
    SkyReachability_RecordFailure(reachability_, SERVICE, 1, 1, 1000);
    EXPECT_TRUE(SkyReachability_IsDoubted(reachability_, SERVICE, 1000));
}

TEST_F(Reachability, AByteOfAnyTargetEndsADoubt)
{
    FailTwoTargets(1000);
    EXPECT_TRUE(SkyReachability_RecordByte(reachability_, SERVICE, 1100));
    EXPECT_FALSE(SkyReachability_IsDoubted(reachability_, SERVICE, 1100));
    EXPECT_FALSE(SkyReachability_RecordByte(reachability_, SERVICE, 1200));
}

// Guards against a doubt that ends with the exchange that hung, so that the
// next request is sent into the cut as well.
TEST_F(Reachability, ADoubtBySilenceOutlastsItsExchange)
{
    SkyReachability_RecordSend(reachability_, SERVICE, 1000);
    EXPECT_FALSE(SkyReachability_IsDoubted(reachability_, SERVICE, 1300));
    SkyReachability_RecordEnd(reachability_, SERVICE, 2500);
    EXPECT_TRUE(SkyReachability_IsDoubted(reachability_, SERVICE, 9000));
}

TEST_F(Reachability, AHostWithoutRequestsDoubtsNothing)
{
    SkyReachability_RecordSend(reachability_, SERVICE, 1000);
    SkyReachability_RecordByte(reachability_, SERVICE, 1030);
    SkyReachability_RecordEnd(reachability_, SERVICE, 1030);
    EXPECT_FALSE(SkyReachability_IsDoubted(reachability_, SERVICE, 60000));
}

// Guards against a host that owns one engine and has no requests: the failure
// of its orders alone never made it doubt the service.
TEST_F(Reachability, AQuietHostProbesOtherTargetsAfterOneFailure)
{
    EXPECT_FALSE(SkyReachability_TakeProbe(reachability_, SERVICE, 900));
    SkyReachability_RecordFailure(reachability_, SERVICE, 1, 3, 1000);
    EXPECT_TRUE(SkyReachability_HasFailed(reachability_, SERVICE, 1));
    EXPECT_FALSE(SkyReachability_HasFailed(reachability_, SERVICE, 2));
    EXPECT_TRUE(SkyReachability_TakeProbe(reachability_, SERVICE, 1000));
    EXPECT_FALSE(SkyReachability_TakeProbe(reachability_, SERVICE, 1100));
    SkyReachability_RecordByte(reachability_, SERVICE, 1200);
    EXPECT_FALSE(SkyReachability_HasFailed(reachability_, SERVICE, 1));
    EXPECT_FALSE(SkyReachability_TakeProbe(reachability_, SERVICE, 9000));
}

// Guards against a cut-off host that keeps its targets, as the others have not
// used them lately and do not know whether they reach them.
TEST_F(Reachability, AHostThatIsAskedProbesWhatItHasNotHeardLately)
{
    SkyReachability_RecordByte(reachability_, SERVICE, 1000);
    SkyReachability_RecordQuestion(reachability_, SERVICE, 1100);
    EXPECT_FALSE(SkyReachability_TakeProbe(reachability_, SERVICE, 1100))
        << "it was heard just now";
    SkyReachability_RecordQuestion(reachability_, SERVICE, 5000);
    EXPECT_TRUE(SkyReachability_TakeProbe(reachability_, SERVICE, 5010));
    SkyReachability_RecordByte(reachability_, SERVICE, 5020);
    EXPECT_FALSE(SkyReachability_TakeProbe(reachability_, SERVICE, 9000))
        << "nobody asks any more";
}

// Guards against an owner that learns of a cut by its first order only.
TEST_F(Reachability, AWatchedServiceIsProbedWhenItWasNotHeardLately)
{
    SkyReachability_RecordByte(reachability_, SERVICE, 1000);
    SkyReachability_Watch(reachability_, SERVICE, 1200);
    EXPECT_FALSE(SkyReachability_TakeProbe(reachability_, SERVICE, 1200));
    SkyReachability_Watch(reachability_, SERVICE, 1500);
    EXPECT_TRUE(SkyReachability_TakeProbe(reachability_, SERVICE, 1500));
    EXPECT_FALSE(SkyReachability_TakeProbe(reachability_, SERVICE, 9000))
        << "it is watched no longer";
}

TEST_F(Reachability, RequestsGoToTargetsWhileNoOtherHostHearsThem)
{
    FailTwoTargets(1000);
    SkyReachability_RecordAsk(reachability_, SERVICE, 2, 1000);
    EXPECT_EQ(ChoosePath(reachability_, true, 1001).kind, SKY_PATH_WAIT);
    Answer("10.0.0.2:1", true, 50, 0, 1005);
    SkyReachability_RecordAnswer(reachability_, SERVICE, "10.0.0.3:1", true,
                                 nullptr, 1200);
    EXPECT_EQ(ChoosePath(reachability_, true, 1201).kind, SKY_PATH_DIRECT);
}

TEST_F(Reachability, RequestsGoByWayOfTheHostWithTheFewestOpenRequests)
{
    FailTwoTargets(1000);
    SkyReachability_RecordAsk(reachability_, SERVICE, 2, 1000);
    Answer("10.0.0.2:1", false, 50, 9, 1005);
    Answer("10.0.0.3:1", false, 50, 2, 1006);
    sky_path_t path = ChoosePath(reachability_, true, 1010);
    ASSERT_EQ(path.kind, SKY_PATH_PEER);
    EXPECT_STREQ(path.peer, "10.0.0.3:1");
    EXPECT_EQ(ChoosePath(reachability_, true, 5000).kind, SKY_PATH_DIRECT)
        << "the answers are old";
}

TEST_F(Reachability, AHostThatRefusedIsNotAskedAgainBeforeItsNextAnswer)
{
    FailTwoTargets(1000);
    SkyReachability_RecordAsk(reachability_, SERVICE, 1, 1000);
    Answer("10.0.0.2:1", false, 50, 0, 1005);
    SkyReachability_RecordPeerSend(reachability_, SERVICE, "10.0.0.2:1");
    SkyReachability_RecordPeerEnd(reachability_, SERVICE, "10.0.0.2:1", false);
    EXPECT_EQ(ChoosePath(reachability_, true, 1010).kind, SKY_PATH_DIRECT);
    Answer("10.0.0.2:1", false, 50, 0, 1250);
    EXPECT_EQ(ChoosePath(reachability_, true, 1260).kind, SKY_PATH_PEER);
}

// Guards against a host whose old connections live on while new ones are
// refused: it hears the service, and still has no target for most requests.
TEST_F(Reachability, ARequestWithoutATargetGoesToAnotherHostWithoutADoubt)
{
    SkyReachability_RecordSend(reachability_, SERVICE, 990);
    SkyReachability_RecordByte(reachability_, SERVICE, 1000);
    EXPECT_FALSE(SkyReachability_ShouldAsk(reachability_, SERVICE, 1000));
    ChoosePath(reachability_, false, 1000);
    EXPECT_TRUE(SkyReachability_ShouldAsk(reachability_, SERVICE, 1000));
    SkyReachability_RecordAsk(reachability_, SERVICE, 1, 1000);
    EXPECT_EQ(ChoosePath(reachability_, false, 1001).kind, SKY_PATH_WAIT);
    EXPECT_EQ(ChoosePath(reachability_, true, 1001).kind, SKY_PATH_DIRECT);
    Answer("10.0.0.2:1", false, 50, 0, 1005);
    EXPECT_EQ(ChoosePath(reachability_, false, 1010).kind, SKY_PATH_PEER);
}

TEST_F(Reachability, TargetsThatAreDownForAllAreNoCut)
{
    FailTwoTargets(1000);
    Answer("10.0.0.2:1", true, 900, 0, 2000);
    EXPECT_FALSE(SkyReachability_IsCutOff(reachability_, SERVICE, 500, 2000));
    Answer("10.0.0.2:1", false, 1500, 0, 2000);
    EXPECT_FALSE(SkyReachability_IsCutOff(reachability_, SERVICE, 500, 2000))
        << "heard before it failed here";
    Answer("10.0.0.2:1", false, 100, 0, 2000);
    EXPECT_TRUE(SkyReachability_IsCutOff(reachability_, SERVICE, 500, 2000));
    EXPECT_FALSE(SkyReachability_IsCutOff(reachability_, SERVICE, 5000, 2000));
}

// Streams of a cut-off host were withdrawn 0.4 s late or more: a failure
// during a doubt by silence made the doubt begin anew, so that the next
// streams waited again, and answers of other hosts from before did not count.
TEST_F(Reachability, AFailureDuringASilenceDoesNotMakeTheDoubtBeginAnew)
{
    SkyReachability_RecordSend(reachability_, SERVICE, 1000);
    Answer("10.0.0.2:1", false, 50, 0, 2100);
    EXPECT_TRUE(SkyReachability_IsCutOff(reachability_, SERVICE, 400, 2200));
    FailTwoTargets(2200);
    EXPECT_TRUE(SkyReachability_IsCutOff(reachability_, SERVICE, 400, 2200));
    EXPECT_FALSE(SkyReachability_IsCutOff(reachability_, SERVICE, 801, 2200))
        << "the doubt began 400 ms after the send";
}

// ---- eight hosts at load ----

constexpr uint32_t HOSTS = 8;
constexpr uint32_t TARGETS = 3;
constexpr uint64_t CUT_MS = 5000;
constexpr uint64_t HEAL_MS = 17000;
constexpr uint64_t END_MS = 22000;
constexpr uint64_t STABLE_MS = 3000;
constexpr uint64_t CONNECT_TIMEOUT_MS = 400;
constexpr uint64_t DEADLINE_MS = 1500;
constexpr uint64_t RUN_MS = 30;
constexpr uint64_t HOP_MS = 2;
constexpr uint64_t BLOCK_MS = 400;
constexpr uint64_t PROBE_TIMEOUT_MS = 300;

enum class Link {
    OPEN,
    HANGS,
    RESET,
    REFUSES_NEW
};

struct Request {
    uint32_t host = 0; // that its caller sent it to
    uint64_t sent_ms = 0;
    bool is_served = false;
    bool is_ended = false;
    uint32_t runs = 0;
    uint32_t hops = 0;
    std::vector<std::string> tried;
};

// Requests that may run once only. A target answers after RUN_MS; nothing else
// is modelled of it.
class Replay {
  public:
    Replay(uint32_t seed, uint32_t cut_count, Link link, bool targets_down)
        : random_(seed), cut_count_(cut_count), link_(link),
          targets_down_(targets_down)
    {
        for (auto &host : hosts_) {
            EXPECT_EQ(SkyReachability_Create(&host.reachability), SKY_OK);
        }
    }
    ~Replay()
    {
        for (auto &host : hosts_) {
            SkyReachability_Free(host.reachability);
        }
    }
    void
    Run(double per_s)
    {
        std::exponential_distribution<double> gap(per_s / 1000.0);
        for (uint32_t h = 0; h < HOSTS; h++) {
            for (double t = 1.0 + gap(random_); t < END_MS;
                 t += gap(random_)) {
                At(static_cast<uint64_t>(t), [this, h] { Arrive(h); });
            }
        }
        for (uint64_t t = 0; t < END_MS; t += 50) {
            At(t, [this] { Tick(); });
        }
        while (!events_.empty()) {
            auto event = events_.top();
            events_.pop();
            now_ms_ = event.at_ms;
            event.action();
        }
    }
    bool
    IsCutHost(uint32_t host) const
    {
        return host < cut_count_;
    }

    std::vector<Request *> requests;
    uint64_t last_forward_ms = 0;
    std::map<uint32_t, uint32_t> received; // by host, from others
    uint32_t target_arrivals = 0;

  private:
    struct Event {
        uint64_t at_ms;
        uint64_t order;
        std::function<void()> action;
        bool
        operator<(const Event &other) const
        {
            return at_ms != other.at_ms ? at_ms > other.at_ms
                                        : order > other.order;
        }
    };
    struct Host {
        sky_reachability_t *reachability = nullptr;
        uint32_t open = 0;
        uint64_t blocked_until_ms[TARGETS] = {};
        uint32_t idle[TARGETS] = {}; // connections that are kept open
    };
    using Done = std::function<void(bool served, bool may_have_run)>;

    void
    At(uint64_t at_ms, std::function<void()> action)
    {
        events_.push({at_ms, order_++, std::move(action)});
    }
    void
    After(uint64_t delay_ms, std::function<void()> action)
    {
        At(now_ms_ + delay_ms, std::move(action));
    }
    Link
    LinkOf(uint32_t host) const
    {
        bool is_cut =
            IsCutHost(host) && now_ms_ >= CUT_MS && now_ms_ < HEAL_MS;
        return is_cut ? link_ : Link::OPEN;
    }
    bool
    AreTargetsDown() const
    {
        return targets_down_ && now_ms_ >= CUT_MS && now_ms_ < HEAL_MS;
    }
    static std::string
    Address(uint32_t host)
    {
        return "10.0.0." + std::to_string(host) + ":1";
    }

    void
    Arrive(uint32_t h)
    {
        owned_.push_back(std::make_unique<Request>());
        Request *request = owned_.back().get();
        request->host = h;
        request->sent_ms = now_ms_;
        requests.push_back(request);
        hosts_[h].open++;
        Dispatch(request, 0);
    }
    void
    End(Request *request, bool served)
    {
        if (!request->is_ended) {
            request->is_ended = true;
            request->is_served =
                served && now_ms_ <= request->sent_ms + DEADLINE_MS;
            hosts_[request->host].open--;
        }
    }
    int
    ChooseTarget(uint32_t h)
    {
        uint32_t first = random_() % TARGETS;
        for (uint32_t i = 0; i < TARGETS; i++) {
            uint32_t target = (first + i) % TARGETS;
            if (hosts_[h].blocked_until_ms[target] <= now_ms_) {
                return static_cast<int>(target);
            }
        }
        return -1;
    }

    // As the proxy does: by way of a peer if this host hears no target, or can
    // connect to none.
    void
    Dispatch(Request *request, uint32_t waits)
    {
        Host &host = hosts_[request->host];
        int target = ChooseTarget(request->host);
        bool is_doubted =
            SkyReachability_IsDoubted(host.reachability, SERVICE, now_ms_);
        if ((is_doubted || target < 0) && request->tried.size() < 2) {
            char excluded[2][SKY_PEER_ADDRESS_BYTES] = {};
            for (size_t i = 0; i < request->tried.size(); i++) {
                std::snprintf(excluded[i], sizeof excluded[i], "%s",
                              request->tried[i].c_str());
            }
            sky_path_query_t query = {};
            query.service = SERVICE;
            query.has_target = target >= 0;
            query.excluded = excluded;
            query.excluded_count =
                static_cast<uint32_t>(request->tried.size());
            query.tie_breaker = random_();
            sky_path_t path;
            SkyReachability_ChoosePath(host.reachability, &query, now_ms_,
                                       &path);
            if (path.kind == SKY_PATH_DIRECT) {
                Ask(request->host);
                SkyReachability_ChoosePath(host.reachability, &query, now_ms_,
                                           &path);
            }
            if (path.kind == SKY_PATH_PEER) {
                SendToPeer(request, path.peer);
                return;
            }
            if (path.kind == SKY_PATH_WAIT && waits < 7) {
                After(20, [this, request, waits] {
                    Dispatch(request, waits + 1);
                });
                return;
            }
        }
        if (target < 0) {
            End(request, false);
            return;
        }
        SendToTarget(request->host, request, target,
                     [this, request](bool served, bool may_have_run) {
                         if (served || may_have_run ||
                             now_ms_ >= request->sent_ms + DEADLINE_MS) {
                             End(request, served);
                         }
                         else {
                             Dispatch(request, 0);
                         }
                     });
    }
    void
    SendToPeer(Request *request, const std::string &address)
    {
        uint32_t peer = static_cast<uint32_t>(std::stoul(address.substr(7)));
        Host &host = hosts_[request->host];
        request->tried.push_back(address);
        request->hops++;
        last_forward_ms = now_ms_;
        received[peer]++;
        SkyReachability_RecordPeerSend(host.reachability, SERVICE,
                                       address.c_str());
        After(HOP_MS, [this, request, peer, address] {
            hosts_[peer].open++;
            int target = ChooseTarget(peer);
            Done done = [this, request, peer, address](bool served,
                                                       bool may_have_run) {
                hosts_[peer].open--;
                bool is_reached =
                    served || may_have_run ||
                    !SkyReachability_IsDoubted(hosts_[peer].reachability,
                                               SERVICE, now_ms_);
                After(HOP_MS, [this, request, address, served, may_have_run,
                               is_reached] {
                    SkyReachability_RecordPeerEnd(
                        hosts_[request->host].reachability, SERVICE,
                        address.c_str(), is_reached);
                    if (is_reached || may_have_run) {
                        End(request, served);
                    }
                    else {
                        Dispatch(request, 0);
                    }
                });
            };
            if (target < 0) {
                done(false, false);
                return;
            }
            SendToTarget(peer, request, target, done);
        });
    }
    void
    Fail(uint32_t h, int target)
    {
        hosts_[h].blocked_until_ms[target] = now_ms_ + BLOCK_MS;
        SkyReachability_RecordFailure(hosts_[h].reachability, SERVICE,
                                      static_cast<uint64_t>(target) + 1,
                                      TARGETS, now_ms_);
    }
    void
    SendToTarget(uint32_t h, Request *request, int target, const Done &done)
    {
        Host &host = hosts_[h];
        Link link = LinkOf(h);
        bool is_kept = host.idle[target] > 0;
        host.idle[target] -= is_kept ? 1 : 0;
        SkyReachability_RecordSend(host.reachability, SERVICE, now_ms_);
        bool is_refused = AreTargetsDown() || link == Link::RESET ||
                          (link == Link::REFUSES_NEW && !is_kept);
        if (is_refused || (link == Link::HANGS && !is_kept)) {
            After(is_refused ? 1 : CONNECT_TIMEOUT_MS,
                  [this, h, target, done] {
                      SkyReachability_RecordEnd(hosts_[h].reachability,
                                                SERVICE, now_ms_);
                      Fail(h, target);
                      done(false, false);
                  });
            return;
        }
        if (link == Link::HANGS) {
            uint64_t deadline_ms = request->sent_ms + DEADLINE_MS;
            At(deadline_ms, [this, h, done] {
                SkyReachability_RecordEnd(hosts_[h].reachability, SERVICE,
                                          now_ms_);
                done(false, true);
            });
            return;
        }
        request->runs++;
        target_arrivals++;
        After(RUN_MS, [this, h, target, done] {
            // A cut that began meanwhile takes the response with it.
            bool is_lost = LinkOf(h) == Link::HANGS ||
                           LinkOf(h) == Link::RESET || AreTargetsDown();
            SkyReachability_RecordEnd(hosts_[h].reachability, SERVICE,
                                      now_ms_);
            if (is_lost) {
                done(false, true);
                return;
            }
            SkyReachability_RecordByte(hosts_[h].reachability, SERVICE,
                                       now_ms_);
            hosts_[h].idle[target]++;
            done(true, true);
        });
    }

    void
    Ask(uint32_t h)
    {
        sky_reachability_t *reachability = hosts_[h].reachability;
        if (!SkyReachability_ShouldAsk(reachability, SERVICE, now_ms_)) {
            return;
        }
        SkyReachability_RecordAsk(reachability, SERVICE, HOSTS - 1, now_ms_);
        for (uint32_t peer = 0; peer < HOSTS; peer++) {
            if (peer == h) {
                continue;
            }
            After(HOP_MS, [this, h, peer] {
                sky_reach_word_t word;
                SkyReachability_RecordQuestion(hosts_[peer].reachability,
                                               SERVICE, now_ms_);
                SkyReachability_GetWord(hosts_[peer].reachability, SERVICE,
                                        now_ms_, &word);
                word.open_requests = hosts_[peer].open;
                After(HOP_MS, [this, h, peer, word] {
                    SkyReachability_RecordAnswer(
                        hosts_[h].reachability, SERVICE, Address(peer).c_str(),
                        peer % 3 == h % 3, &word, now_ms_);
                });
            });
        }
    }
    void
    Probe(uint32_t h)
    {
        sky_reachability_t *reachability = hosts_[h].reachability;
        int target = 0;
        while (target < static_cast<int>(TARGETS) - 1 &&
               SkyReachability_HasFailed(reachability, SERVICE,
                                         static_cast<uint64_t>(target) + 1)) {
            target++;
        }
        if (LinkOf(h) != Link::OPEN || AreTargetsDown()) {
            After(PROBE_TIMEOUT_MS, [this, h, target] { Fail(h, target); });
            return;
        }
        After(2, [this, h, reachability] {
            SkyReachability_RecordByte(reachability, SERVICE, now_ms_);
            std::memset(hosts_[h].blocked_until_ms, 0,
                        sizeof hosts_[h].blocked_until_ms);
        });
    }
    void
    Tick()
    {
        for (uint32_t h = 0; h < HOSTS; h++) {
            Ask(h);
            if (SkyReachability_TakeProbe(hosts_[h].reachability, SERVICE,
                                          now_ms_)) {
                Probe(h);
            }
        }
    }

    std::mt19937 random_;
    uint32_t cut_count_;
    Link link_;
    bool targets_down_;
    uint64_t now_ms_ = 0;
    uint64_t order_ = 0;
    Host hosts_[HOSTS];
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<Request>> owned_;
};

struct Share {
    uint32_t sent = 0;
    uint32_t served = 0;
    double
    Of() const
    {
        return sent > 0 ? static_cast<double>(served) / sent : 1.0;
    }
};

// The users' rule: two thirds, or at most 10 and 1 in 50 failed.
void
ExpectServedAlike(const Replay &replay, uint64_t from_ms, uint64_t to_ms)
{
    Share cut;
    Share others;
    for (const Request *request : replay.requests) {
        if (request->sent_ms >= from_ms && request->sent_ms < to_ms) {
            Share &share = replay.IsCutHost(request->host) ? cut : others;
            share.sent++;
            share.served += request->is_served ? 1 : 0;
        }
    }
    EXPECT_GE(others.Of(), 0.98);
    EXPECT_TRUE(cut.Of() >= 2.0 / 3.0 * others.Of() ||
                cut.sent - cut.served <= 10 + cut.sent / 50)
        << cut.served << " of " << cut.sent << ", others " << others.Of();
}

class CutHosts : public testing::TestWithParam<std::tuple<Link, uint32_t>> {};

// Guards against hosts whose few requests do not show that they are cut off,
// or that the others are not.
TEST_P(CutHosts, AreServedWhenAllHostsAreQuiet)
{
    auto [link, cut_count] = GetParam();
    Share cut; // of all seeds: each has a few requests only
    Share others;
    for (uint32_t seed = 1; seed <= 100; seed++) {
        SCOPED_TRACE(seed);
        Replay replay(seed, cut_count, link, false);
        replay.Run(0.2);
        for (const Request *request : replay.requests) {
            EXPECT_LE(request->runs, 1u);
            if (request->sent_ms >= CUT_MS + STABLE_MS &&
                request->sent_ms < HEAL_MS) {
                Share &share = replay.IsCutHost(request->host) ? cut : others;
                share.sent++;
                share.served += request->is_served ? 1 : 0;
            }
        }
    }
    EXPECT_GT(cut.sent, 100u);
    EXPECT_GE(cut.Of(), 2.0 / 3.0 * others.Of())
        << cut.served << " of " << cut.sent;
}

TEST_P(CutHosts, AreServedAtLoadAndRunNothingTwice)
{
    auto [link, cut_count] = GetParam();
    for (uint32_t seed = 1; seed <= 20; seed++) {
        SCOPED_TRACE(seed);
        Replay replay(seed, cut_count, link, false);
        replay.Run(30.0);
        ExpectServedAlike(replay, CUT_MS + STABLE_MS, HEAL_MS);
        std::map<uint32_t, uint32_t> load = replay.received;
        uint32_t total = 0;
        for (const Request *request : replay.requests) {
            EXPECT_LE(request->runs, 1u);
            EXPECT_TRUE(request->is_ended);
            EXPECT_LE(request->hops, 2u);
            EXPECT_FALSE(request->hops > 0 &&
                         request->sent_ms >= HEAL_MS + 1000)
                << "still goes by way of others after the cut";
            load[request->host] += request->hops == 0 ? 1 : 0;
        }
        for (uint32_t h = cut_count; h < HOSTS; h++) {
            total += load[h];
        }
        for (uint32_t h = cut_count; h < HOSTS; h++) {
            EXPECT_LE(load[h] * (HOSTS - cut_count), 2 * total)
                << "host " << h << " got more than twice its share";
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Forms, CutHosts,
                         testing::Combine(testing::Values(Link::HANGS,
                                                          Link::RESET,
                                                          Link::REFUSES_NEW),
                                          testing::Values(1u, 3u, 5u, 7u)));

// Guards against hosts that send requests to and fro while no one can serve
// them.
TEST(DownTargets, AreNotSoughtByWayOfOtherHosts)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        SCOPED_TRACE(seed);
        Replay replay(seed, 0, Link::OPEN, true);
        replay.Run(30.0);
        uint32_t late_hops = 0;
        Share after;
        for (const Request *request : replay.requests) {
            if (request->sent_ms >= CUT_MS + 1000 &&
                request->sent_ms < HEAL_MS - DEADLINE_MS) {
                late_hops += request->hops;
            }
            if (request->sent_ms >= HEAL_MS + 1000) {
                after.sent++;
                after.served += request->is_served ? 1 : 0;
            }
        }
        EXPECT_EQ(late_hops, 0u);
        EXPECT_GE(after.Of(), 0.99);
    }
}

} // namespace
