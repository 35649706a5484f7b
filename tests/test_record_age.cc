// Replays how records pass from the store to all hosts, with the modules by
// which hosts decide: which hosts read the store, whom each one polls, and how
// old the records are that it acts on. Hosts stand still, run late, die and
// start again, and the owners change all the while.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "decide/fanout.h"
#include "decide/freshness.h"
#include "decide/poll_sources.h"

namespace {

constexpr uint64_t STEP_MS = 10;
constexpr uint64_t READ_INTERVAL_MS = 300;
constexpr uint64_t POLL_HOLD_MS = 200;
constexpr uint64_t POLL_TIMEOUT_MS = 450;
constexpr uint64_t MEMBERSHIP_TTL_MS = 3200;
constexpr uint64_t CALL_TIMEOUT_MS = 1500;
constexpr uint64_t LIMIT_MS = 2000;
constexpr uint32_t MAX_AGE_MS = 1400; // of a limit of 2 s, the shortest one

// A call to the store, or a poll of a peer.
struct Call {
    bool is_open = false;
    uint64_t sent_ms = 0;
    uint64_t arrives_ms = 0; // UINT64_MAX: never
    uint64_t state_ms = 0;   // of the store, that the response shows
    bool is_refused = false;
    uint64_t responded_ms = 0;
    uint32_t peer = 0; // of a poll
    uint64_t hold_ms = 0;
};

struct Host {
    std::string address;
    std::string domain;
    sky_freshness_t freshness = {};
    sky_poll_sources_t sources = {};
    bool is_reader = true;
    uint64_t knows_ms = 0; // it knows the store's changes up to then
    uint64_t next_read_ms = 0;
    uint64_t next_poll_ms = 0;
    Call read;
    Call poll;
    uint64_t dead_until_ms = 0;
    uint64_t died_ms = 0;
    uint64_t still_until_ms = 0;
    uint32_t turn = 0;      // of the peers in place of its sources
    uint32_t period_ms = 0; // it runs only once in so long; 0: always
};

struct Faults {
    bool kills = false;
    bool stops = false;
    bool runs_late = false;
    uint64_t store_down_from_ms = UINT64_MAX;
    uint64_t store_down_to_ms = 0;
    bool store_is_silent = false;
    bool store_refuses_some = false;
};

class Replay {
  public:
    Replay(uint32_t host_count, uint32_t seed, const Faults &faults)
        : faults_(faults), seed_(seed), random_(seed), hosts_(host_count)
    {
        for (uint32_t i = 0; i < host_count; i++) {
            hosts_[i].address = "h" + std::to_string(i);
            hosts_[i].domain =
                "d" + std::to_string(host_count < 40 ? 0 : i % 5);
        }
    }

    // Longest time between a change of the store and a host's last decision
    // without it, at hosts that ran and reached a store that responds.
    uint64_t worst_ms = 0;
    uint64_t worst_refused_ms = 0; // at hosts that the store refuses
    uint64_t held = 0;     // host-steps in which a host acts on nothing
    uint64_t observed = 0; // all of hosts that run

    void
    Run(uint64_t end_ms)
    {
        for (now_ = 1000; now_ < end_ms; now_ += STEP_MS) {
            Disturb();
            if (now_ % 200 == 0) {
                ChooseSources();
            }
            for (Host &host : hosts_) {
                if (IsRunning(host)) {
                    Step(host);
                }
            }
        }
    }

  private:
    bool
    Chance(double per_s)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) <
               per_s * STEP_MS / 1000.0;
    }

    void
    Disturb()
    {
        for (Host &host : hosts_) {
            if (faults_.kills && Chance(0.08)) {
                host.died_ms = now_;
                host.dead_until_ms = now_ + 800;
            }
            if (host.dead_until_ms != 0 && now_ >= host.dead_until_ms) {
                std::string address = host.address;
                std::string domain = host.domain;
                host = Host();
                host.address = address;
                host.domain = domain;
            }
            if (faults_.stops && Chance(0.04)) {
                host.still_until_ms = now_ + 500 + random_() % 3000;
            }
            if (faults_.runs_late && Chance(0.1)) {
                host.period_ms = random_() % 2 ? 50 + random_() % 700 : 0;
            }
        }
    }

    bool
    IsRunning(const Host &host) const
    {
        return host.dead_until_ms <= now_ && host.still_until_ms <= now_ &&
               (host.period_ms == 0 ||
                now_ / STEP_MS % (host.period_ms / STEP_MS) == 0);
    }

    // A host that died is a member until its membership ends.
    void
    ChooseSources()
    {
        std::vector<sky_fanout_host_t> members;
        for (const Host &host : hosts_) {
            if (host.dead_until_ms == 0 ||
                now_ < host.died_ms + MEMBERSHIP_TTL_MS) {
                members.push_back(
                    {host.address.c_str(), host.domain.c_str(), 0});
            }
        }
        uint32_t readers[SKY_FANOUT_READER_COUNT];
        uint32_t reader_count =
            SkyFanout_ChooseHosts(members.data(), (uint32_t)members.size(),
                                  nullptr, readers, SKY_FANOUT_READER_COUNT);
        for (Host &host : hosts_) {
            std::vector<const char *> addresses;
            uint32_t relays[SKY_POLL_RELAY_COUNT];
            uint32_t relay_count = SkyFanout_ChooseHosts(
                members.data(), (uint32_t)members.size(), host.domain.c_str(),
                relays, SKY_POLL_RELAY_COUNT);
            for (uint32_t i = 0;
                 i < relay_count && host.address != members[relays[i]].address;
                 i++) {
                addresses.push_back(members[relays[i]].address);
            }
            host.is_reader = reader_count == 0;
            for (uint32_t i = 0; i < reader_count; i++) {
                if (host.address == members[readers[i]].address) {
                    host.is_reader = true;
                }
                else {
                    addresses.push_back(members[readers[i]].address);
                }
            }
            SkyPollSources_Set(&host.sources, addresses.data(),
                               (uint32_t)addresses.size());
        }
    }

    bool
    IsStoreDown() const
    {
        return now_ >= faults_.store_down_from_ms &&
               now_ < faults_.store_down_to_ms;
    }

    bool
    IsRefused(const Host &host) const
    {
        return faults_.store_refuses_some && now_ > 3000 &&
               std::hash<std::string>()(host.address + "#" +
                                        std::to_string(seed_)) %
                       3 ==
                   0;
    }

    void
    SendRead(Host &host)
    {
        host.read = {};
        host.read.is_open = true;
        host.read.sent_ms = now_;
        host.read.state_ms = now_;
        host.read.is_refused = IsRefused(host) || IsStoreDown();
        host.read.arrives_ms =
            IsStoreDown() && faults_.store_is_silent ? UINT64_MAX : now_ + 10;
        SkyFreshness_RecordCall(&host.freshness, now_);
    }

    void
    ReceiveRead(Host &host)
    {
        host.read.is_open = false;
        bool is_late = now_ > host.read.sent_ms + CALL_TIMEOUT_MS;
        if (host.read.is_refused || host.read.arrives_ms > now_ || is_late) {
            host.next_read_ms = now_ + 100;
            return;
        }
        SkyFreshness_RecordRead(&host.freshness, host.read.sent_ms, now_);
        host.knows_ms = std::max(host.knows_ms, host.read.state_ms);
        bool is_old = SkyFreshness_IsStale(&host.freshness, now_);
        host.next_read_ms = is_old ? now_ : now_ + READ_INTERVAL_MS;
    }

    uint32_t
    ChoosePeer(Host &host)
    {
        const char *address = SkyPollSources_Choose(&host.sources, now_);
        if (address == nullptr) {
            uint32_t turn = host.turn++ % (uint32_t)hosts_.size();
            SkyPollSources_Substitute(&host.sources,
                                      hosts_[turn].address.c_str(), now_);
            return turn;
        }
        return (uint32_t)std::stoul(address + 1);
    }

    // The response is made when the peer next runs after the hold.
    void
    ReceivePoll(Host &host)
    {
        Host *peer = &hosts_[host.poll.peer];
        bool is_due = now_ >= host.poll.sent_ms + host.poll.hold_ms;
        if (IsRunning(*peer) && is_due && host.poll.responded_ms == 0 &&
            peer->freshness.read_ms > 0) {
            host.poll.responded_ms = now_;
            host.poll.state_ms = peer->knows_ms;
            polled_[&host] = peer->freshness;
        }
        if (host.poll.responded_ms > 0) {
            host.poll.is_open = false;
            const sky_freshness_t &of_peer = polled_[&host];
            sky_peer_read_t read = {of_peer.read_ms, of_peer.store_regained_ms,
                                    true};
            SkyFreshness_RecordPeerRead(&host.freshness, &read, now_);
            host.knows_ms = std::max(host.knows_ms, host.poll.state_ms);
            host.next_poll_ms = now_;
        }
        else if (now_ > host.poll.sent_ms + POLL_TIMEOUT_MS) {
            host.poll.is_open = false;
        }
        if (!host.poll.is_open &&
            (host.poll.responded_ms == 0 ||
             SkyFreshness_IsStale(&host.freshness, now_))) {
            host.next_poll_ms = now_;
            if (now_ <= host.poll.sent_ms + POLL_TIMEOUT_MS + 150) {
                host.next_poll_ms += SkyPollSources_RecordFailure(
                    &host.sources, !IsRefused(host) && !IsStoreDown(), now_);
            }
        }
        else if (!host.poll.is_open) {
            SkyPollSources_RecordSuccess(&host.sources);
        }
    }

    void
    Step(Host &host)
    {
        if (now_ % 50 == 0 || host.period_ms > 0) {
            SkyFreshness_CheckStore(&host.freshness, now_);
        }
        Observe(host); // requests may come before the responses
        if (host.read.is_open &&
            (host.read.arrives_ms <= now_ ||
             now_ > host.read.sent_ms + CALL_TIMEOUT_MS)) {
            ReceiveRead(host);
        }
        if (host.poll.is_open) {
            ReceivePoll(host);
        }
        bool is_fresh = !SkyFreshness_IsStale(&host.freshness, now_);
        if (!host.read.is_open && now_ >= host.next_read_ms &&
            (host.is_reader || !is_fresh)) {
            SendRead(host);
        }
        bool needs_peers = !host.is_reader || IsRefused(host) || IsStoreDown();
        if (!host.poll.is_open && needs_peers && now_ >= host.next_poll_ms &&
            host.sources.count > 0) {
            host.poll = {};
            host.poll.is_open = true;
            host.poll.sent_ms = now_;
            host.poll.peer = ChoosePeer(host);
            host.poll.hold_ms = is_fresh ? POLL_HOLD_MS : 0;
        }
        Observe(host);
    }

    void
    Observe(const Host &host)
    {
        if (host.freshness.read_ms == 0) {
            return; // it serves nothing yet
        }
        observed++;
        if (!SkyFreshness_IsUsable(&host.freshness, MAX_AGE_MS, now_)) {
            held++;
        }
        else if (!IsStoreDown()) {
            uint64_t &worst = IsRefused(host) ? worst_refused_ms : worst_ms;
            worst = std::max(worst, now_ - host.knows_ms);
        }
    }

    Faults faults_;
    uint32_t seed_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    std::map<const Host *, sky_freshness_t> polled_;
    uint64_t now_ = 0;
};

class RecordAge : public ::testing::TestWithParam<uint32_t> {
  protected:
    // Replays some seeds, and holds that no host acts on older records.
    void
    Expect(const Faults &faults, double held_max)
    {
        uint32_t seeds = GetParam() > 100 ? 2 : 20;
        for (uint32_t seed = 1; seed <= seeds; seed++) {
            Replay replay(GetParam(), seed, faults);
            replay.Run(12000);
            EXPECT_LE(replay.worst_ms, uint64_t{MAX_AGE_MS})
                << "seed " << seed;
            EXPECT_LE((double)replay.held, held_max * (double)replay.observed)
                << "seed " << seed;
        }
    }
};

TEST_P(RecordAge, InCalmHostsNeverWaitForRecords)
{
    Expect(Faults(), 0.0);
}

TEST_P(RecordAge, HostsThatStartAndDieInWaves)
{
    Faults faults;
    faults.kills = true;
    Expect(faults, 0.001);
}

TEST_P(RecordAge, HostsThatStandStill)
{
    Faults faults;
    faults.kills = true;
    faults.stops = true;
    Expect(faults, 0.05);
}

TEST_P(RecordAge, HostsThatRunInBursts)
{
    Faults faults;
    faults.kills = true;
    faults.runs_late = true;
    Expect(faults, 0.1);
}

TEST_P(RecordAge, AStoreThatRefusesSomeHosts)
{
    Faults faults;
    faults.kills = true;
    faults.stops = true;
    faults.store_refuses_some = true;
    Expect(faults, 0.05);
}

// The store refused a host, and all of its sources, for 9 s. It polled only
// these, though all other hosts had fresh records.
TEST_P(RecordAge, AHostThatTheStoreRefusesIsToldByOthers)
{
    Faults faults;
    faults.store_refuses_some = true;
    for (uint32_t seed = 1; seed <= (GetParam() > 100 ? 2u : 20u); seed++) {
        Replay replay(GetParam(), seed, faults);
        replay.Run(12000);
        EXPECT_LE(replay.worst_refused_ms, LIMIT_MS) << "seed " << seed;
    }
}

// Serving goes before: hosts wait for a moment only.
TEST_P(RecordAge, AnOutageOfTheStoreHoldsRequestsForAMomentOnly)
{
    Faults faults;
    faults.store_down_from_ms = 6000;
    faults.store_down_to_ms = 12000;
    faults.store_is_silent = true;
    Replay replay(GetParam(), 1, faults);
    replay.Run(20000);
    EXPECT_LE((double)replay.held, 0.02 * (double)replay.observed);
}

INSTANTIATE_TEST_SUITE_P(Hosts, RecordAge, ::testing::Values(8u, 195u, 330u));

} // namespace
