// Replays how hosts prove that they know all removed keys: they read the store
// or poll each other, are suspended, cut off from the store or from others,
// and messages arrive late. Guards against a removed key that still opens its
// workspace later than the bound after the removal was confirmed, at any host,
// and against callers that are refused for want of a proof.
//
// The store is taken to remove a key at each instant: a host that lets a
// request in then must know the store of less than the bound ago.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "decide/fanout.h"
#include "decide/freshness.h"
#include "decide/poll_sources.h"

namespace {

constexpr uint64_t STEP_MS = 10;
constexpr uint64_t REVOKE_MS = 5000;
constexpr uint32_t PROOF_MAX_AGE_MS = 4700;
constexpr uint64_t LONG_POLL_MS = 400;
constexpr uint64_t POLL_HOLD_MS = 200;
constexpr uint64_t POLL_TIMEOUT_MS = 450;
constexpr uint64_t STORE_TIMEOUT_MS = 1500;
constexpr uint64_t NEVER = UINT64_MAX;

// A call to the store, or a poll of another host. Times are of the replay
// unless said otherwise.
struct Call {
    bool is_open = false;
    uint64_t sent_boot_ms = 0; // of the sender's clock
    uint64_t sent_own_ms = 0;  // of the sender's clock that may stand still
    uint64_t reaches_ms = 0;   // its receiver; NEVER: lost
    uint64_t arrives_ms = NEVER;
    bool is_refused = false;
    uint64_t knows_ms = 0; // the store's state that the response shows
    uint64_t age_ms = 0;   // of the records, as a peer states it
    uint64_t proof_age_ms = NEVER;
    uint32_t peer = 0;
    uint64_t hold_ms = 0;
};

struct Host {
    std::string address;
    std::string domain;
    sky_freshness_t freshness = {};
    sky_poll_sources_t sources = {};
    bool is_reader = false;
    uint64_t knows_ms = 0; // it knows the store's changes up to then
    uint64_t boot_offset_ms = 0;
    uint64_t slept_ms = 0; // in which only the boot clock ran
    uint64_t still_until_ms = 0;
    bool sleeps = false; // the machine is suspended, not the process alone
    uint64_t store_cut_until_ms = 0;
    uint64_t peers_cut_until_ms = 0;
    uint64_t next_read_ms = 0;
    uint64_t next_poll_ms = 0;
    Call read;
    Call poll;
    uint32_t turn = 0;
    std::deque<uint64_t> waiting; // requests that arrived while it was still
};

struct Faults {
    bool suspends = false;
    bool cuts = false;
    bool delays = false;       // messages, by up to some seconds
    bool refuses_some = false; // the store: a third of the hosts
    // Faults of the proof itself, which the replay must find.
    bool counts_from_response = false;
    bool uses_own_clock = false;
    bool trusts_peer_without_age = false;
};

class Replay {
  public:
    Replay(uint32_t host_count, uint32_t seed, const Faults &faults)
        : faults_(faults), random_(seed), hosts_(host_count)
    {
        for (uint32_t i = 0; i < host_count; i++) {
            hosts_[i].address = "h" + std::to_string(i);
            hosts_[i].domain =
                "d" + std::to_string(host_count < 40 ? 0 : i % 5);
            hosts_[i].boot_offset_ms = random_() % 1000000;
        }
        ChooseSources();
    }

    uint64_t worst_ms = 0; // since a removal that a host did not know
    uint64_t served = 0;
    uint64_t asked = 0;

    void
    Run(uint64_t end_ms)
    {
        for (now_ = 10000; now_ < end_ms; now_ += STEP_MS) {
            for (Host &host : hosts_) {
                Disturb(host);
                AnswerStore(host);
            }
            for (Host &host : hosts_) {
                if (!IsStill(host)) {
                    AnswerPolls(host);
                }
            }
            for (Host &host : hosts_) {
                Step(host);
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
    Disturb(Host &host)
    {
        if (IsStill(host)) {
            host.slept_ms += host.sleeps ? STEP_MS : 0;
            return;
        }
        if (faults_.suspends && Chance(0.05)) {
            host.still_until_ms = now_ + 100 + random_() % 8000;
            host.sleeps = random_() % 2 == 0;
        }
        if (faults_.cuts && Chance(0.04)) {
            uint64_t end_ms = now_ + 500 + random_() % 12000;
            uint32_t kind = random_() % 3;
            host.store_cut_until_ms =
                kind != 1 ? end_ms : host.store_cut_until_ms;
            host.peers_cut_until_ms =
                kind != 0 ? end_ms : host.peers_cut_until_ms;
        }
    }

    bool
    IsStill(const Host &host) const
    {
        return host.still_until_ms > now_;
    }

    uint64_t
    BootMs(const Host &host) const
    {
        return now_ + host.boot_offset_ms;
    }

    // The clock that stands still while the machine is suspended.
    uint64_t
    OwnMs(const Host &host) const
    {
        return now_ - host.slept_ms;
    }

    uint64_t
    ProofClockMs(const Host &host) const
    {
        return faults_.uses_own_clock ? OwnMs(host) : BootMs(host);
    }

    uint64_t
    TransitMs()
    {
        bool is_late = faults_.delays && random_() % 30 == 0;
        return 2 + random_() % 10 + (is_late ? random_() % 3000 : 0);
    }

    bool
    IsRefused(const Host &host) const
    {
        return faults_.refuses_some &&
               std::stoul(host.address.substr(1)) % 3 == 0;
    }

    void
    ChooseSources()
    {
        std::vector<sky_fanout_host_t> members;
        for (const Host &host : hosts_) {
            members.push_back({host.address.c_str(), host.domain.c_str(), 0});
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

    void
    SendRead(Host &host)
    {
        host.read = {};
        host.read.is_open = true;
        host.read.sent_boot_ms = ProofClockMs(host);
        host.read.sent_own_ms = OwnMs(host);
        host.read.reaches_ms =
            host.store_cut_until_ms > now_ ? NEVER : now_ + TransitMs();
        host.read.hold_ms = SkyFreshness_IsStale(&host.freshness, OwnMs(host))
                                ? 0
                                : LONG_POLL_MS;
        host.read.is_refused = IsRefused(host);
        SkyFreshness_RecordCall(&host.freshness, OwnMs(host));
    }

    // The store answers a call at any time of its wait.
    void
    AnswerStore(Host &host)
    {
        Call &read = host.read;
        if (!read.is_open || read.arrives_ms != NEVER ||
            read.reaches_ms > now_) {
            return;
        }
        uint64_t held_ms = read.is_refused || read.hold_ms == 0
                               ? 0
                               : random_() % read.hold_ms;
        read.knows_ms = now_;
        read.arrives_ms = now_ + held_ms + TransitMs();
    }

    void
    ReceiveRead(Host &host)
    {
        Call &read = host.read;
        bool has_arrived =
            read.arrives_ms <= now_ && host.store_cut_until_ms <= now_;
        bool is_over = OwnMs(host) > read.sent_own_ms + STORE_TIMEOUT_MS;
        if (!has_arrived && !is_over) {
            return;
        }
        read.is_open = false;
        if (!has_arrived || read.is_refused) {
            host.next_read_ms = now_ + 400;
            return;
        }
        SkyFreshness_RecordRead(&host.freshness, read.sent_own_ms,
                                OwnMs(host));
        host.knows_ms = std::max(host.knows_ms, read.knows_ms);
        SkyFreshness_RecordProof(&host.freshness, faults_.counts_from_response
                                                      ? ProofClockMs(host)
                                                      : read.sent_boot_ms);
        host.next_read_ms = now_;
    }

    void
    SendPoll(Host &host)
    {
        host.poll = {};
        host.poll.is_open = true;
        host.poll.sent_boot_ms = ProofClockMs(host);
        host.poll.sent_own_ms = OwnMs(host);
        const char *address = SkyPollSources_Choose(&host.sources, now_);
        if (address == nullptr) {
            host.poll.peer = host.turn++ % (uint32_t)hosts_.size();
            SkyPollSources_Substitute(
                &host.sources, hosts_[host.poll.peer].address.c_str(), now_);
        }
        else {
            host.poll.peer = (uint32_t)std::stoul(address + 1);
        }
        bool is_cut = host.peers_cut_until_ms > now_ ||
                      hosts_[host.poll.peer].peers_cut_until_ms > now_;
        host.poll.reaches_ms = is_cut ? NEVER : now_ + TransitMs();
        host.poll.hold_ms = SkyFreshness_IsStale(&host.freshness, OwnMs(host))
                                ? 0
                                : POLL_HOLD_MS;
    }

    // The peer answers when it next runs after the hold, however late.
    void
    AnswerPolls(Host &host)
    {
        Call &poll = host.poll;
        if (!poll.is_open || poll.arrives_ms != NEVER ||
            poll.reaches_ms == NEVER ||
            poll.reaches_ms + poll.hold_ms > now_) {
            return;
        }
        const Host &peer = hosts_[poll.peer];
        if (IsStill(peer) || peer.freshness.read_ms == 0) {
            return;
        }
        poll.knows_ms = peer.knows_ms;
        poll.age_ms = OwnMs(peer) - peer.freshness.read_ms;
        if (peer.freshness.proven_boot_ms > 0) {
            poll.proof_age_ms =
                ProofClockMs(peer) - peer.freshness.proven_boot_ms;
        }
        poll.arrives_ms = now_ + TransitMs();
    }

    void
    ReceivePoll(Host &host)
    {
        Call &poll = host.poll;
        bool has_arrived =
            poll.arrives_ms <= now_ && host.peers_cut_until_ms <= now_;
        bool is_over = OwnMs(host) > poll.sent_own_ms + POLL_TIMEOUT_MS;
        if (!has_arrived && !is_over) {
            return;
        }
        poll.is_open = false;
        host.next_poll_ms = now_;
        if (has_arrived) {
            sky_peer_read_t read = {poll.sent_own_ms > poll.age_ms
                                        ? poll.sent_own_ms - poll.age_ms
                                        : 1,
                                    0, true};
            SkyFreshness_RecordPeerRead(&host.freshness, &read, OwnMs(host));
            host.knows_ms = std::max(host.knows_ms, poll.knows_ms);
            if (poll.proof_age_ms < poll.sent_boot_ms) {
                SkyFreshness_RecordProof(&host.freshness,
                                         poll.sent_boot_ms -
                                             (faults_.trusts_peer_without_age
                                                  ? 0
                                                  : poll.proof_age_ms));
            }
        }
        if (!has_arrived ||
            SkyFreshness_IsStale(&host.freshness, OwnMs(host))) {
            host.next_poll_ms += SkyPollSources_RecordFailure(
                &host.sources, !IsRefused(host), now_);
        }
        else {
            SkyPollSources_RecordSuccess(&host.sources);
        }
    }

    // Requests that came while the host was still are read first when it runs
    // again.
    void
    Step(Host &host)
    {
        host.waiting.push_back(now_);
        if (IsStill(host)) {
            if (host.waiting.size() > 3) {
                host.waiting.pop_front();
            }
            return;
        }
        Admit(host);
        SkyFreshness_CheckStore(&host.freshness, OwnMs(host));
        if (host.read.is_open) {
            ReceiveRead(host);
        }
        if (host.poll.is_open) {
            ReceivePoll(host);
        }
        bool is_told =
            !SkyFreshness_IsStale(&host.freshness, OwnMs(host)) &&
            SkyFreshness_IsProven(&host.freshness, PROOF_MAX_AGE_MS / 2,
                                  ProofClockMs(host));
        if (!host.read.is_open && now_ >= host.next_read_ms &&
            (host.is_reader || !is_told)) {
            SendRead(host);
        }
        bool needs_peers = !host.is_reader || IsRefused(host);
        if (!host.poll.is_open && needs_peers && now_ >= host.next_poll_ms &&
            host.sources.count > 0) {
            SendPoll(host);
        }
        host.waiting.push_back(now_);
        Admit(host);
    }

    void
    Admit(Host &host)
    {
        bool is_proven = SkyFreshness_IsProven(
            &host.freshness, PROOF_MAX_AGE_MS, ProofClockMs(host));
        for (uint64_t sent_ms : host.waiting) {
            if (now_ > 13000) { // the first reads are done
                asked++;
                served += is_proven;
            }
            if (is_proven && sent_ms > host.knows_ms) {
                worst_ms = std::max(worst_ms, sent_ms - host.knows_ms);
            }
        }
        host.waiting.clear();
    }

    Faults faults_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    uint64_t now_ = 0;
};

class Revocation : public ::testing::TestWithParam<uint32_t> {
  protected:
    uint64_t worst_ms = 0;
    double share = 1.0;

    void
    Play(const Faults &faults)
    {
        uint32_t seeds = GetParam() > 100 ? 2 : GetParam() > 10 ? 5 : 20;
        uint64_t served = 0;
        uint64_t asked = 0;
        for (uint32_t seed = 1; seed <= seeds; seed++) {
            Replay replay(GetParam(), seed, faults);
            replay.Run(40000);
            worst_ms = std::max(worst_ms, replay.worst_ms);
            served += replay.served;
            asked += replay.asked;
        }
        share = (double)served / (double)asked;
        RecordProperty("worst_ms", (int)worst_ms);
        RecordProperty("served", std::to_string(share));
    }
};

TEST_P(Revocation, InCalmAllAreServed)
{
    Play(Faults());
    EXPECT_LE(worst_ms, REVOKE_MS);
    EXPECT_GE(share, 0.99);
}

TEST_P(Revocation, HostsThatTheStoreRefusesGetTheProofFromOthers)
{
    Faults faults;
    faults.refuses_some = true;
    Play(faults);
    EXPECT_LE(worst_ms, REVOKE_MS);
    EXPECT_GE(share, 0.99);
}

TEST_P(Revocation, SuspendedHostsServeNoRemovedKey)
{
    Faults faults;
    faults.suspends = true;
    Play(faults);
    EXPECT_LE(worst_ms, REVOKE_MS);
}

TEST_P(Revocation, CutHostsServeNoRemovedKey)
{
    Faults faults;
    faults.cuts = true;
    faults.delays = true;
    Play(faults);
    EXPECT_LE(worst_ms, REVOKE_MS);
}

TEST_P(Revocation, AllFaultsAtOnce)
{
    Faults faults;
    faults.suspends = true;
    faults.cuts = true;
    faults.delays = true;
    faults.refuses_some = true;
    Play(faults);
    EXPECT_LE(worst_ms, REVOKE_MS);
}

// The replay is of use only if it finds proofs that prove nothing.
TEST_P(Revocation, ProofsThatAreCountedWrongAreFound)
{
    Faults faults;
    faults.suspends = true;
    faults.cuts = true;
    faults.delays = true;
    faults.refuses_some = true;
    for (bool Faults::*fault :
         {&Faults::counts_from_response, &Faults::uses_own_clock,
          &Faults::trusts_peer_without_age}) {
        Faults wrong = faults;
        wrong.*fault = true;
        worst_ms = 0;
        Play(wrong);
        EXPECT_GT(worst_ms, REVOKE_MS);
    }
}

INSTANTIATE_TEST_SUITE_P(Hosts, Revocation, ::testing::Values(8u, 76u, 330u));

} // namespace
