// Replays the start of many hosts at once, on a virtual clock, against a store
// that refuses calls beyond its rate. Guards against a start in which each
// host reads the store: at 300 hosts none served within 30 s.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/fanout.h"
#include "decide/start_reads.h"

namespace {

constexpr uint64_t STEP_MS = 5;
constexpr uint64_t START_MS = 10000;
constexpr uint32_t READS_PER_S = 6000;
constexpr uint32_t WRITES_PER_S = 1200;
constexpr uint64_t STORE_MS = 10; // from a call to its response
constexpr uint64_t HOP_MS = 5;
constexpr uint32_t PAGES = 4; // of the topics, and their last reads
constexpr uint32_t TOPICS = 3;
constexpr uint64_t MEMBERSHIP_MS = 3200;
constexpr uint64_t JOIN_INTERVAL_MS = MEMBERSHIP_MS / 3;
constexpr uint64_t JOIN_MIN_MS = 30;
constexpr uint64_t POLL_HOLD_MS = 200;
constexpr uint64_t POLL_TIMEOUT_MS = 450;
constexpr uint64_t POLL_RETRY_MS = 150;
constexpr uint64_t NAMED_RETRY_MS = 50; // of hosts that were named
constexpr uint64_t SEND_MS = 80; // a response with all records, 10 Mbit/s
constexpr uint64_t NEVER = UINT64_MAX;

struct Host {
    std::string address;
    sky_start_reads_t start = {};
    uint64_t starts_ms = 0;
    uint64_t lost_ms = NEVER;
    uint64_t still_until_ms = 0;
    uint64_t still_from_ms = NEVER;
    // The group.
    uint64_t joined_ms = 0; // 0: no member
    uint64_t next_join_ms = 0;
    uint64_t join_arrives_ms = NEVER;
    bool join_is_refused = false;
    uint64_t generation = 0;
    uint32_t joins = 0;
    // Its reads.
    uint32_t pages_left = PAGES * TOPICS;
    uint64_t next_read_ms = 0;
    uint64_t read_arrives_ms = NEVER;
    bool read_is_refused = false;
    uint64_t next_owners_ms = NEVER;
    uint64_t owners_arrive_ms = NEVER;
    bool owners_are_refused = false;
    uint64_t owners_generation = 0;
    std::set<uint32_t> told;
    // Its polls.
    uint32_t turn = 0;
    uint64_t next_poll_ms = 0;
    uint64_t poll_sent_ms = 0;
    uint64_t poll_arrives_ms = NEVER;
    uint64_t poll_ends_ms = 0;
    uint32_t polled = 0;
    bool is_polling = false;
    uint64_t link_free_ms = 0;
    uint64_t told_ms = NEVER; // a call with sources arrives
    std::vector<const char *> told_sources;
    uint64_t serves_ms = NEVER;
};

struct Faults {
    uint32_t seeds = 3;      // that respond; the others are stale
    bool was_killed = false; // the group still has the members of before
    uint32_t lost_readers = 0;
    uint32_t suspended_readers = 0;
    bool reads_at_once = false; // as hosts did before
    uint32_t pages = PAGES;
    uint64_t spread_ms = 300; // from the first to the last start
    uint64_t down_ms = 0;     // the store refuses all calls until then
};

class Replay {
  public:
    Replay(uint32_t count, uint32_t seed, const Faults &faults)
        : faults_(faults), random_(seed), hosts_(count)
    {
        for (uint32_t i = 0; i < count; i++) {
            Host &host = hosts_[i];
            host.address = "h" + std::to_string(i);
            host.starts_ms = START_MS + random_() % faults.spread_ms;
            host.next_join_ms = host.starts_ms;
            host.next_read_ms = host.starts_ms;
            host.next_poll_ms = host.starts_ms;
            host.pages_left = faults.pages * TOPICS;
        }
        shard_count_ = count < 32 ? 64 : 2 * count;
        if (faults.was_killed) {
            ghosts_ = count;
            generation_ = count;
        }
    }

    uint64_t all_serve_ms = NEVER;
    uint32_t reads = 0;
    uint32_t page_reads = 0; // those of topics
    uint32_t refused = 0;

    void
    Run(uint64_t limit_ms)
    {
        for (now_ = START_MS; now_ < START_MS + limit_ms; now_ += STEP_MS) {
            if (now_ % 1000 == 0) {
                reads_in_s_ = writes_in_s_ = 0;
            }
            if (ghosts_ > 0 && now_ > START_MS + MEMBERSHIP_MS) {
                ghosts_ = 0;
                generation_++;
            }
            bool do_all_serve = true;
            for (uint32_t i = 0; i < hosts_.size(); i++) {
                Host &host = hosts_[i];
                if (now_ >= host.lost_ms) {
                    continue;
                }
                if (now_ >= host.starts_ms && !IsStill(host)) {
                    Step(host, i);
                }
                bool counts = host.still_from_ms == NEVER;
                do_all_serve =
                    do_all_serve && (!counts || host.serves_ms != NEVER);
            }
            if (do_all_serve && all_serve_ms == NEVER) {
                all_serve_ms = now_ - START_MS;
                return;
            }
        }
    }

  private:
    bool
    IsStill(const Host &host) const
    {
        return now_ >= host.still_from_ms && now_ < host.still_until_ms;
    }

    bool
    IsStoreDown() const
    {
        return now_ < START_MS + faults_.down_ms;
    }

    bool
    IsUp(const Host &host) const
    {
        return now_ >= host.starts_ms && now_ < host.lost_ms && !IsStill(host);
    }

    bool
    MayRead(const Host &host) const
    {
        return faults_.reads_at_once ||
               SkyStartReads_MayRead(&host.start, now_);
    }

    bool
    TakeRead()
    {
        if (IsStoreDown()) {
            return true;
        }
        reads++;
        bool is_refused = ++reads_in_s_ > READS_PER_S;
        refused += is_refused;
        return is_refused;
    }

    // The first hosts that read are lost, or suspended, before they have all.
    void
    Strike(Host &host)
    {
        if (lost_ < faults_.lost_readers) {
            lost_++;
            host.lost_ms = now_;
        }
        else if (suspended_ < faults_.suspended_readers) {
            suspended_++;
            host.still_from_ms = now_;
            host.still_until_ms = now_ + 8000;
        }
    }

    void
    Step(Host &host, uint32_t index)
    {
        if (host.start.started_ms == 0) {
            sky_start_options_t options = {
                now_, std::hash<std::string>()(host.address),
                index < faults_.seeds};
            host.start = SkyStartReads_Make(&options);
        }
        Join(host);
        Read(host);
        ReadOwners(host, index);
        if (now_ >= host.told_ms) {
            host.told_ms = NEVER;
            if (host.serves_ms == NEVER &&
                SkyStartReads_SetSources(&host.start, host.told_sources.data(),
                                         (uint32_t)host.told_sources.size(),
                                         host.turn)) {
                host.is_polling = false;
                host.turn = 0;
                host.next_poll_ms = now_;
            }
        }
        if (host.serves_ms == NEVER && !MayRead(host)) {
            Poll(host);
        }
    }

    // Shards are dealt in turn to the members; those that were killed are
    // members for a while, and come first.
    void
    Join(Host &host)
    {
        if (host.join_arrives_ms == NEVER && now_ >= host.next_join_ms) {
            host.join_arrives_ms = now_ + STORE_MS;
            host.join_is_refused =
                IsStoreDown() || ++writes_in_s_ > WRITES_PER_S;
            refused += host.join_is_refused;
            if (!host.join_is_refused && host.joined_ms == 0) {
                members_.push_back(&host);
                generation_++;
            }
            host.joined_ms = host.join_is_refused ? host.joined_ms : now_;
        }
        if (now_ < host.join_arrives_ms) {
            return;
        }
        host.join_arrives_ms = NEVER;
        if (host.join_is_refused) {
            host.next_join_ms =
                now_ + (host.joins > 0 ? JOIN_INTERVAL_MS
                                       : 150 + host.start.spread_ms / 4);
            return;
        }
        uint32_t rank = ghosts_ + (uint32_t)(std::find(members_.begin(),
                                                       members_.end(), &host) -
                                             members_.begin());
        uint32_t all = ghosts_ + (uint32_t)members_.size();
        sky_start_join_t join = {};
        join.rank = UINT32_MAX;
        for (uint32_t shard = rank; shard < shard_count_; shard += all) {
            join.rank = std::min(
                join.rank, SkyStartReads_GetShardRank(shard, shard_count_));
        }
        join.owned_count =
            rank < shard_count_ ? (shard_count_ - 1 - rank) / all + 1 : 0;
        join.shard_count = shard_count_;
        join.number = ++host.joins;
        join.passed = generation_ - host.generation;
        join.now_ms = now_;
        SkyStartReads_RecordJoin(&host.start, &join);
        host.next_join_ms = now_ + JOIN_INTERVAL_MS;
        if (host.generation != generation_) {
            host.next_join_ms =
                now_ + (faults_.reads_at_once ? JOIN_MIN_MS
                        : join.number == 1
                            ? SkyStartReads_GetSecondJoinDelayMs(&host.start,
                                                                 JOIN_MIN_MS)
                            : SkyStartReads_GetJoinDelayMs(
                                  SkyStartReads_TellsOthers(&host.start, now_),
                                  join.passed, JOIN_MIN_MS, JOIN_INTERVAL_MS));
            host.generation = generation_;
        }
        if (host.owners_generation != generation_ &&
            host.next_owners_ms == NEVER) {
            host.next_owners_ms = now_ + 60;
        }
    }

    void
    Read(Host &host)
    {
        if (host.read_arrives_ms == NEVER && host.pages_left > 0 &&
            host.serves_ms == NEVER && now_ >= host.next_read_ms &&
            MayRead(host)) {
            // One page of each topic at a time.
            host.read_is_refused = false;
            for (uint32_t i = 0; i < TOPICS; i++) {
                host.read_is_refused = TakeRead() || host.read_is_refused;
                page_reads++;
            }
            host.read_arrives_ms = now_ + STORE_MS;
            Strike(host);
        }
        if (now_ < host.read_arrives_ms) {
            return;
        }
        host.read_arrives_ms = NEVER;
        if (host.read_is_refused) {
            host.next_read_ms = now_ + 400;
            return;
        }
        host.next_read_ms = now_;
        host.pages_left -= TOPICS;
        if (host.pages_left == 0) {
            host.serves_ms = std::min(host.serves_ms, now_);
            SkyStartReads_RecordServed(&host.start, now_);
        }
    }

    void
    ReadOwners(Host &host, uint32_t index)
    {
        if (host.owners_arrive_ms == NEVER && now_ >= host.next_owners_ms &&
            MayRead(host)) {
            host.owners_are_refused = TakeRead();
            host.owners_arrive_ms = now_ + STORE_MS;
            host.owners_generation = generation_;
        }
        if (now_ >= host.owners_arrive_ms) {
            host.owners_arrive_ms = NEVER;
            host.next_owners_ms = NEVER;
            if (host.owners_are_refused) {
                host.next_owners_ms = now_ + 400;
                return;
            }
            known_.resize(hosts_.size());
            known_[index].assign(members_.begin(), members_.end());
        }
        if (index < known_.size() && !known_[index].empty() &&
            host.serves_ms != NEVER &&
            SkyStartReads_TellsOthers(&host.start, now_)) {
            Tell(host, known_[index]);
            known_[index].clear();
        }
    }

    void
    Tell(Host &host, const std::vector<Host *> &members)
    {
        std::vector<sky_fanout_host_t> list;
        for (const Host *member : members) {
            list.push_back({member->address.c_str(), "", 0});
        }
        if (list.size() < 17) {
            return;
        }
        SkyStartReads_OrderMembers(list.data(), (uint32_t)list.size(),
                                   host.address.c_str());
        for (uint32_t i = 1; i < list.size(); i++) {
            uint32_t to = (uint32_t)std::stoul(list[i].address + 1);
            if (!host.told.insert(to).second || !IsUp(hosts_[to])) {
                continue;
            }
            const char *sources[SKY_START_SOURCES_MAX];
            uint32_t count =
                SkyStartReads_ListSources(list.data(), i, sources);
            hosts_[to].told_ms = now_ + HOP_MS;
            hosts_[to].told_sources.assign(sources, sources + count);
        }
    }

    void
    Poll(Host &host)
    {
        if (!host.is_polling && now_ >= host.next_poll_ms) {
            const char *source =
                SkyStartReads_ChooseSource(&host.start, host.turn);
            host.polled = source ? (uint32_t)std::stoul(source + 1)
                                 : host.turn % 3; // the seeds
            host.turn++;
            host.is_polling = true;
            host.poll_sent_ms = now_;
            host.poll_arrives_ms = NEVER;
            bool is_stale_seed =
                source == nullptr && host.polled >= faults_.seeds;
            bool is_refused = is_stale_seed ||
                              now_ < hosts_[host.polled].starts_ms ||
                              now_ >= hosts_[host.polled].lost_ms;
            host.poll_ends_ms = now_ + (is_refused ? HOP_MS : POLL_TIMEOUT_MS);
            if (is_refused) {
                host.polled = UINT32_MAX;
            }
        }
        if (!host.is_polling) {
            return;
        }
        if (host.polled != UINT32_MAX && host.poll_arrives_ms == NEVER &&
            now_ >= host.poll_sent_ms + HOP_MS && IsUp(hosts_[host.polled])) {
            Host &peer = hosts_[host.polled];
            if (peer.serves_ms != NEVER) {
                if (SkyStartReads_TakeWholeResponse(&peer.start, 0, now_)) {
                    peer.link_free_ms =
                        std::max(peer.link_free_ms, now_) + SEND_MS;
                    host.poll_arrives_ms = peer.link_free_ms + HOP_MS;
                }
                else {
                    host.poll_ends_ms = now_ + HOP_MS; // without records
                    host.polled = UINT32_MAX;
                }
            }
            else if (now_ >= host.poll_sent_ms + POLL_HOLD_MS) {
                host.poll_ends_ms = now_ + HOP_MS;
                host.polled = UINT32_MAX;
            }
        }
        if (now_ >= host.poll_arrives_ms) {
            host.serves_ms = now_;
            SkyStartReads_RecordServed(&host.start, now_);
            host.is_polling = false;
        }
        else if (now_ >= host.poll_ends_ms) {
            host.is_polling = false;
            host.next_poll_ms =
                now_ +
                (host.start.source_count > 0 ? NAMED_RETRY_MS : POLL_RETRY_MS);
        }
    }

    Faults faults_;
    std::mt19937 random_;
    std::vector<Host> hosts_;
    std::vector<Host *> members_;
    std::vector<std::vector<Host *>> known_;
    uint32_t shard_count_ = 0;
    uint32_t ghosts_ = 0;
    uint64_t generation_ = 0;
    uint64_t now_ = 0;
    uint32_t reads_in_s_ = 0;
    uint32_t writes_in_s_ = 0;
    uint32_t lost_ = 0;
    uint32_t suspended_ = 0;
};

class StartReads : public ::testing::TestWithParam<uint32_t> {
  protected:
    uint64_t worst_ms = 0;
    uint32_t most_reads = 0;

    void
    Play(const Faults &faults)
    {
        worst_ms = 0;
        most_reads = 0;
        for (uint32_t seed = 1; seed <= 10; seed++) {
            Replay replay(GetParam(), seed, faults);
            replay.Run(30000);
            worst_ms = std::max(worst_ms, replay.all_serve_ms);
            most_reads = std::max(most_reads, replay.reads);
        }
        printf("hosts=%u worst_ms=%llu reads=%u\n", GetParam(),
               (unsigned long long)worst_ms, most_reads);
    }

    // The bound holds for any number of hosts.
    void
    Expect(const Faults &faults)
    {
        Play(faults);
        EXPECT_LE(worst_ms, 5000u);
        EXPECT_LE(most_reads, 700u);
    }
};

TEST_P(StartReads, AllServeInTime)
{
    Expect(Faults());
}

TEST_P(StartReads, WithoutSeeds)
{
    Faults faults;
    faults.seeds = 0;
    Expect(faults);
}

TEST_P(StartReads, AfterAllWereKilled)
{
    Faults faults;
    faults.was_killed = true;
    Expect(faults);
    faults.seeds = 0;
    Expect(faults);
}

TEST_P(StartReads, TheFirstReadersAreLost)
{
    Faults faults;
    faults.lost_readers = 3;
    Expect(faults);
    faults.seeds = 0;
    Expect(faults);
}

TEST_P(StartReads, TheFirstReadersAreSuspended)
{
    Faults faults;
    faults.suspended_readers = 3;
    Expect(faults);
    faults.seeds = 0;
    Expect(faults);
}

INSTANTIATE_TEST_SUITE_P(Hosts, StartReads, ::testing::Values(8u, 76u, 330u));

// What a host waits for, a join, takes as long as one read.
TEST(StartReadsOfFewHosts, TakeAtMostOneReadLonger)
{
    for (uint32_t seeds : {3u, 0u}) {
        for (uint32_t seed = 1; seed <= 50; seed++) {
            Faults before;
            before.reads_at_once = true;
            before.seeds = seeds;
            Faults after;
            after.seeds = seeds;
            Replay one(8, seed, before);
            Replay other(8, seed, after);
            one.Run(10000);
            other.Run(10000);
            EXPECT_LE(other.all_serve_ms, one.all_serve_ms + STORE_MS);
        }
    }
}

// The replay is of use only if it finds a start in which all hosts read. With
// 40 pages of each topic the store refuses most calls.
TEST(StartReadsOfManyHosts, GrowWithTheHostsIfEachOneReads)
{
    Faults faults;
    faults.pages = 40;
    faults.seeds = 0;
    Replay after(330, 1, faults);
    after.Run(30000);
    faults.reads_at_once = true;
    Replay before(330, 1, faults);
    before.Run(30000);
    for (const Replay *replay : {&before, &after}) {
        printf("40 pages: ms=%lld reads=%u refused=%u\n",
               (long long)replay->all_serve_ms, replay->reads,
               replay->refused);
    }
    EXPECT_GT(before.all_serve_ms, 5000u);
    EXPECT_GT(before.reads, 330 * TOPICS * faults.pages);
    EXPECT_LE(after.all_serve_ms, 5000u);
    EXPECT_LE(after.reads, before.reads / 5);
}

// Guards against a store that comes back when the start is over for all hosts,
// and that each of them then reads.
TEST(StartReadsOfManyHosts, FewReadAfterAnOutageOfTheStore)
{
    for (uint64_t down_ms : {1500u, 2500u, 4500u, 10000u}) {
        Faults faults;
        faults.pages = 40;
        faults.seeds = 0;
        faults.down_ms = down_ms;
        Replay replay(330, 1, faults);
        replay.Run(30000);
        printf("down for %llu ms: ms=%lld reads=%u refused=%u\n",
               (unsigned long long)down_ms, (long long)replay.all_serve_ms,
               replay.reads, replay.refused);
        EXPECT_LE(replay.all_serve_ms, down_ms + 5000);
        EXPECT_LE(replay.reads, 330 * TOPICS * faults.pages / 5);
    }
}

// Guards against hosts that start one after the other, as on a busy machine or
// by a slow restart: each saw few others come, and read the store.
TEST(StartReadsOfManyHosts, FewReadIfTheyStartOneAfterTheOther)
{
    for (uint64_t spread_ms : {1000u, 3000u, 10000u}) {
        for (uint32_t seeds : {3u, 0u}) {
            Faults faults;
            faults.seeds = seeds;
            faults.spread_ms = spread_ms;
            Replay replay(330, 1, faults);
            replay.Run(30000);
            printf("spread over %llu ms: ms=%lld reads=%u pages=%u\n",
                   (unsigned long long)spread_ms,
                   (long long)replay.all_serve_ms, replay.reads,
                   replay.page_reads);
            EXPECT_LE(replay.all_serve_ms, spread_ms + 5000);
            EXPECT_LE(replay.page_reads, 330 * TOPICS * PAGES / 4);
        }
    }
}

// Its first join begins the rounds, as long as it has no records.
TEST(StartReadsOfOneHost, RoundsBeginAtTheFirstJoin)
{
    sky_start_options_t options = {1000, 7, false};
    sky_start_reads_t start = SkyStartReads_Make(&options);
    EXPECT_TRUE(SkyStartReads_MayRead(&start, 4500));
    sky_start_join_t join = {200, 1, 660, 1, 5000, 5500};
    SkyStartReads_RecordJoin(&start, &join);
    EXPECT_FALSE(SkyStartReads_MayRead(&start, 5500));
    EXPECT_TRUE(SkyStartReads_MayRead(&start, 9000));

    sky_start_reads_t served = SkyStartReads_Make(&options);
    SkyStartReads_RecordServed(&served, 2000);
    SkyStartReads_RecordJoin(&served, &join);
    EXPECT_TRUE(SkyStartReads_MayRead(&served, 5500));
}

// A host that starts alone in a large group does not wait for others, also if
// its seeds are stale.
TEST(StartReadsOfOneHost, ReadAfterTheSecondJoin)
{
    sky_start_options_t options = {1000, 7, false};
    sky_start_reads_t start = SkyStartReads_Make(&options);
    sky_start_join_t join = {200, 1, 660, 1, 5000, 1010};
    SkyStartReads_RecordJoin(&start, &join);
    EXPECT_FALSE(SkyStartReads_MayRead(&start, 1010));
    join.number = 2;
    join.passed = 1;
    SkyStartReads_RecordJoin(&start, &join);
    EXPECT_TRUE(SkyStartReads_MayRead(&start, 1040));
}

// Hosts saw no others come once all had started, and all read the store then.
TEST(StartReadsOfOneHost, ALaterCalmDoesNotMakeItAlone)
{
    sky_start_options_t options = {1000, 7, false};
    sky_start_reads_t start = SkyStartReads_Make(&options);
    sky_start_join_t join = {200, 1, 660, 1, 5000, 1010};
    SkyStartReads_RecordJoin(&start, &join);
    for (uint32_t number = 2; number < 5; number++) {
        join.number = number;
        join.passed = number == 2 ? 33 : 0;
        SkyStartReads_RecordJoin(&start, &join);
        EXPECT_FALSE(SkyStartReads_MayRead(&start, 1500));
    }
    EXPECT_TRUE(SkyStartReads_MayRead(&start, 4500));
    EXPECT_FALSE(SkyStartReads_TellsOthers(&start, 4500));
}

// Neighbouring shards may all be owned by members that were killed.
TEST(StartReadsRank, IsAPermutationThatSpreadsNeighbours)
{
    for (uint32_t count : {1u, 2u, 64u, 152u, 660u}) {
        std::set<uint32_t> ranks;
        for (uint32_t shard = 0; shard < count; shard++) {
            ranks.insert(SkyStartReads_GetShardRank(shard, count));
        }
        EXPECT_EQ(count, ranks.size());
        EXPECT_EQ(count - 1, *ranks.rbegin());
    }
}

} // namespace
