/**
 * @file test_software_rollout.cc
 * @brief Replays of a rollout over many hosts on a simulated clock, with
 * faults.
 *
 * Each replay checks two promises together: streams go on at the version that
 * began them, and at least half of those that can go on do so.
 *
 * SKY_SEEDS sets the number of seeds of each case, SKY_FIRST_SEED the first
 * one; SKY_TRACE prints the streams that were joined or refused.
 */
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/stream_versions.h"

namespace {

constexpr uint64_t RETENTION_MS = 60000;
constexpr uint64_t INTRODUCTION_MS = 2800;
constexpr uint64_t LIST_AGE_MAX_MS = 1400;
constexpr uint64_t TICK_MS = 100;
constexpr uint64_t CALL_MS = 5;
constexpr uint64_t CALL_TIMEOUT_MS = 300;
constexpr uint64_t START_MS = 1000000;
constexpr uint64_t FIRST_LISTING_MS = START_MS + 4000;
constexpr uint64_t END_MS = FIRST_LISTING_MS + 12000;
constexpr uint64_t HOUR_MS = 3600000;
constexpr uint32_t KEEPERS = 3;
constexpr uint32_t ASKED_MAX = 8;
constexpr uint32_t TARGETS_PER_VERSION = 8;
constexpr uint32_t TRIES = 3;
constexpr uint32_t HOST_COUNTS[] = {8, 195, 330};
const char *const VERSIONS[] = {"v1", "v2", "v3"};

struct faults_t {
    bool sends_late = false; /**< 0.5 to 2 s after the decision */
    bool cuts_hosts = false; /**< also restarts of single hosts */
    /** Twice, 1 s apart, from -1 to 1 s after the first listing. */
    bool kills_half = false;
    /** The same, from 1 to 3 s after it: hosts are lost and back as the newer
     *  version begins streams. */
    bool kills_half_late = false;
    bool kills_all = false; /**< at once, -1 to 1 s after the first listing */
    bool kills_all_late = false; /**< the same, 1 to 3 s after it */
    bool crashes = false;        /**< targets come back with a newer version */
    bool guesses_wrong = false;  /**< by one host, for one stream */
    bool suspends_hosts = false;
    bool store_out = false;
    bool starts = false; /**< all hosts and targets have just started */
};

struct replay_options_t {
    uint64_t seed;
    uint32_t host_count;
    faults_t faults;
    uint64_t introduction_ms = INTRODUCTION_MS;
};

struct replay_result_t {
    uint32_t joined = 0;
    uint32_t taken_up = 0; /**< while their version had ready targets */
    uint32_t gone_on = 0;  /**< of these */
    /** The same, of streams that were lost with their host. */
    uint32_t lost_taken_up = 0;
    uint32_t lost_gone_on = 0;
};

struct target_t {
    uint32_t version; /**< that it runs, whatever is listed */
    uint64_t started_ms;
    bool is_running;
};

struct entry_t {
    uint32_t target;
    uint32_t version;
    uint64_t started_ms;
};

/** What the store held from some time on. */
struct snapshot_t {
    uint64_t from_ms = 0;
    std::vector<entry_t> entries;
    std::string history; /**< empty: no record */
};

struct host_t {
    sky_stream_versions_t *versions = nullptr;
    uint32_t run = 0; /**< number of its starts */
    uint64_t tick_phase_ms = 0;
    uint64_t read_interval_ms = 0;
    uint64_t read_lag_ms = 0;
    std::shared_ptr<const snapshot_t> list;
    uint64_t list_read_ms = 0;
    /** Time suspended since the list arrived: its age does not count it. */
    uint64_t list_suspended_ms = 0;
    uint64_t suspended_until_ms = 0;
    uint64_t store_cut_until_ms = 0;
    uint64_t peers_cut_until_ms = 0;

    bool
    IsAlive() const
    {
        return versions != nullptr;
    }
};

struct stream_t {
    uint64_t id;
    uint32_t version; /**< that the target ran which began it */
    uint32_t host;
    uint64_t end_ms;
};

/** A stream that is being taken up, after one break. */
struct take_up_t {
    uint64_t id;
    uint32_t version;
    uint32_t broken_at;
    uint32_t tries = 0;
    bool is_counted = false;
    bool is_lost = false; /**< with its host */
    uint64_t received_ms = 0;
    uint32_t taker = 0;
    uint32_t taker_run = 0;
    sky_resume_answers_t answers = {};
};

sky_stream_version_t
MakeStream(uint64_t id, const char *software)
{
    sky_stream_version_t stream = {};
    stream.stream = id;
    snprintf(stream.service, sizeof stream.service, "llm");
    snprintf(stream.software, sizeof stream.software, "%s", software);
    return stream;
}

uint64_t
Mix(uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

class Replay {
  public:
    explicit Replay(const replay_options_t &replay_options)
        : options(replay_options),
          random(replay_options.seed * 1000 + replay_options.host_count),
          hosts(replay_options.host_count),
          traces(getenv("SKY_TRACE") != nullptr)
    {
    }

    ~Replay()
    {
        for (host_t &host : hosts) {
            SkyStreamVersions_Free(host.versions);
        }
    }

    replay_result_t
    Run()
    {
        PlanTargets();
        for (uint32_t h = 0; h < hosts.size(); h++) {
            host_t &host = hosts[h];
            host.tick_phase_ms = Below(TICK_MS);
            host.read_interval_ms = 100 + Below(600);
            host.read_lag_ms = Below(LIST_AGE_MAX_MS / 2);
            uint64_t late_ms = options.faults.starts ? Below(2000) : 0;
            At(START_MS + late_ms, [this, h] { StartHost(h); });
        }
        At(START_MS, [this] { WriteHistory(); });
        At(START_MS + 1000, [this] { BeginStreams(); });
        PlanFaults();
        while (!events.empty() && events.top().at_ms < END_MS) {
            event_t event = std::move(const_cast<event_t &>(events.top()));
            events.pop();
            now_ms = event.at_ms;
            event.action();
        }
        return result;
    }

  private:
    struct event_t {
        uint64_t at_ms;
        uint64_t number;
        std::function<void()> action;

        bool
        operator<(const event_t &other) const
        {
            return at_ms != other.at_ms ? at_ms > other.at_ms
                                        : number > other.number;
        }
    };

    void
    At(uint64_t at_ms, std::function<void()> action)
    {
        events.push({at_ms, event_count++, std::move(action)});
    }

    void
    After(uint64_t delay_ms, std::function<void()> action)
    {
        At(now_ms + delay_ms, std::move(action));
    }

    uint64_t
    Below(uint64_t limit)
    {
        return random() % limit;
    }

    // Does it at the host, once it is no longer suspended, unless it ends
    // before.
    void
    AtHost(uint32_t h, uint32_t run, const std::function<void()> &action,
           const std::function<void()> &on_lost = nullptr)
    {
        if (!hosts[h].IsAlive() || hosts[h].run != run) {
            if (on_lost) {
                on_lost();
            }
        }
        else if (hosts[h].suspended_until_ms > now_ms) {
            At(hosts[h].suspended_until_ms,
               [=] { AtHost(h, run, action, on_lost); });
        }
        else {
            action();
        }
    }

    // --- The store and targets

    bool
    IsStoreOut(uint64_t at_ms) const
    {
        return at_ms >= out_from_ms && at_ms < out_until_ms;
    }

    bool
    CanReadStore(const host_t &host) const
    {
        return !IsStoreOut(now_ms) && host.store_cut_until_ms <= now_ms;
    }

    const snapshot_t &
    Stored() const
    {
        return *stored;
    }

    // Makes a change as soon as the store is there.
    void
    ChangeStore(const std::function<void(snapshot_t &)> &change)
    {
        if (IsStoreOut(now_ms)) {
            At(out_until_ms + Below(500), [=] { ChangeStore(change); });
            return;
        }
        auto changed = std::make_shared<snapshot_t>(*stored);
        change(*changed);
        changed->from_ms = now_ms;
        stored = changed;
    }

    void
    ListTarget(uint32_t target)
    {
        entry_t entry = {target, targets[target].version,
                         targets[target].started_ms};
        ChangeStore([entry](snapshot_t &snapshot) {
            auto &entries = snapshot.entries;
            entries.erase(std::remove_if(entries.begin(), entries.end(),
                                         [&](const entry_t &other) {
                                             return other.target ==
                                                    entry.target;
                                         }),
                          entries.end());
            entries.push_back(entry);
        });
    }

    void
    PlanTarget(uint32_t version, uint64_t at_ms, uint64_t age_ms)
    {
        uint32_t target = targets.size();
        targets.push_back({version, at_ms - age_ms, false});
        At(at_ms, [this, target] {
            targets[target].is_running = true;
            ListTarget(target);
        });
    }

    void
    PlanTargets()
    {
        bool starts = options.faults.starts;
        for (uint32_t i = 0; i < TARGETS_PER_VERSION; i++) {
            PlanTarget(0, START_MS + (starts ? Below(1500) : 0),
                       starts ? 0 : HOUR_MS);
        }
        uint32_t newer = 1 + Below(2);
        uint64_t at_ms = starts ? START_MS + Below(3000) : FIRST_LISTING_MS;
        for (uint32_t version = 1; version <= newer; version++) {
            uint64_t listed_ms = at_ms;
            for (uint32_t i = 0; i < TARGETS_PER_VERSION; i++) {
                PlanTarget(version, listed_ms, Below(200));
                listed_ms += 50 + Below(550);
            }
            at_ms += 500 + Below(4500);
        }
    }

    void
    CrashTarget(uint32_t target, uint32_t version)
    {
        targets[target].is_running = false;
        std::vector<uint64_t> broken;
        for (const auto &entry : active) {
            if (entry.second.first == target) {
                broken.push_back(entry.first);
            }
        }
        for (uint64_t id : broken) {
            Break(id);
        }
        After(200 + Below(800), [=] {
            targets[target] = {version, now_ms, true};
            After(Below(500), [=] { ListTarget(target); });
        });
    }

    // --- Hosts

    void
    StartHost(uint32_t h)
    {
        host_t &host = hosts[h];
        if (host.IsAlive()) {
            return;
        }
        sky_stream_versions_options_t versions_options = {
            RETENTION_MS, 65536, options.introduction_ms};
        ASSERT_EQ(SKY_OK,
                  SkyStreamVersions_Create(&versions_options, &host.versions));
        host.run++;
        uint32_t run = host.run;
        After(host.tick_phase_ms, [=] { Tick(h, run); });
        ReadListEach(h, run);
    }

    void
    KillHost(uint32_t h)
    {
        host_t &host = hosts[h];
        if (!host.IsAlive()) {
            return;
        }
        SkyStreamVersions_Free(host.versions);
        host.versions = nullptr;
        host.list = nullptr;
        host.list_read_ms = 0;
        host.list_suspended_ms = 0;
        host.suspended_until_ms = 0;
        BreakAt(h, 1);
    }

    // Breaks one in so many streams at the host.
    void
    BreakAt(uint32_t h, uint32_t one_in)
    {
        std::vector<uint64_t> broken;
        for (const auto &entry : active) {
            if (entry.second.second.host == h && Below(one_in) == 0) {
                broken.push_back(entry.first);
            }
        }
        for (uint64_t id : broken) {
            Break(id);
        }
    }

    void
    ReadListEach(uint32_t h, uint32_t run)
    {
        if (!hosts[h].IsAlive() || hosts[h].run != run) {
            return;
        }
        if (hosts[h].suspended_until_ms <= now_ms) {
            ReadList(h, hosts[h].read_lag_ms);
        }
        After(hosts[h].read_interval_ms, [=] { ReadListEach(h, run); });
    }

    // Returns false if the store does not respond.
    bool
    ReadList(uint32_t h, uint64_t lag_ms,
             const std::function<void()> &on_read = nullptr)
    {
        if (!CanReadStore(hosts[h])) {
            return false;
        }
        uint32_t run = hosts[h].run;
        uint64_t read_ms = now_ms;
        std::shared_ptr<const snapshot_t> list = stored;
        After(lag_ms, [=] {
            AtHost(
                h, run,
                [=] {
                    ApplyList(h, list, read_ms);
                    if (on_read) {
                        on_read();
                    }
                },
                on_read);
        });
        return true;
    }

    void
    ApplyList(uint32_t h, const std::shared_ptr<const snapshot_t> &list,
              uint64_t read_ms)
    {
        host_t &host = hosts[h];
        if (read_ms < host.list_read_ms) {
            return;
        }
        host.list = list;
        host.list_suspended_ms = 0;
        RecordTargets(host);
        host.list_read_ms = read_ms;
        SkySoftwareRollout_RecordListEnd(
            SkyStreamVersions_GetRollout(host.versions), read_ms);
        ApplyHistory(host);
    }

    void
    RecordTargets(host_t &host)
    {
        if (host.list == nullptr) {
            return;
        }
        for (const entry_t &entry : host.list->entries) {
            SkySoftwareRollout_RecordTarget(
                SkyStreamVersions_GetRollout(host.versions), "llm",
                VERSIONS[entry.version], now_ms - entry.started_ms, now_ms);
        }
    }

    void
    ApplyHistory(host_t &host)
    {
        if (host.list == nullptr) {
            return;
        }
        sky_version_history_t history;
        if (!host.list->history.empty() &&
            SkyVersionHistory_ParseValue(host.list->history.c_str(), now_ms,
                                         &history)) {
            SkyStreamVersions_ApplyHistory(host.versions, "llm", &history,
                                           now_ms);
        }
        SkyStreamVersions_SetHistoryKnown(host.versions);
    }

    void
    Update(host_t &host)
    {
        RecordTargets(host);
        ApplyHistory(host);
    }

    void
    WriteHistory()
    {
        After(500, [this] { WriteHistory(); });
        for (host_t &host : hosts) {
            if (!host.IsAlive() || host.suspended_until_ms > now_ms ||
                host.list == nullptr || !CanReadStore(host)) {
                continue;
            }
            sky_version_history_t known;
            sky_version_history_t current;
            bool has_known = !Stored().history.empty() &&
                             SkyVersionHistory_ParseValue(
                                 Stored().history.c_str(), now_ms, &known);
            if (SkyStreamVersions_GetHistory(host.versions, "llm", now_ms,
                                             &current) &&
                (!has_known ||
                 SkyVersionHistory_IsOutdated(&known, &current))) {
                char value[SKY_VERSION_HISTORY_VALUE_BYTES];
                SkyVersionHistory_FormatValue(&current, now_ms, value);
                std::string text = value;
                ChangeStore(
                    [text](snapshot_t &snapshot) { snapshot.history = text; });
            }
            return;
        }
    }

    bool
    IsUsable(const host_t &host) const
    {
        return host.list != nullptr &&
               (now_ms <= host.list_read_ms + host.list_suspended_ms +
                              LIST_AGE_MAX_MS ||
                !CanReadStore(host));
    }

    // --- Records

    std::vector<uint32_t>
    RankHosts(uint32_t own, uint64_t stream, uint32_t count) const
    {
        std::vector<std::pair<uint64_t, uint32_t>> ranked;
        for (uint32_t h = 0; h < hosts.size(); h++) {
            if (h != own) {
                ranked.push_back({Mix(stream * 1000003 + h), h});
            }
        }
        count = std::min<uint32_t>(count, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + count,
                          ranked.end());
        std::vector<uint32_t> chosen;
        for (uint32_t i = 0; i < count; i++) {
            chosen.push_back(ranked[i].second);
        }
        return chosen;
    }

    bool
    AreConnected(uint32_t from, uint32_t to) const
    {
        return hosts[from].IsAlive() && hosts[to].IsAlive() &&
               hosts[from].peers_cut_until_ms <= now_ms &&
               hosts[to].peers_cut_until_ms <= now_ms;
    }

    void
    Tick(uint32_t h, uint32_t run)
    {
        host_t &host = hosts[h];
        if (!host.IsAlive() || host.run != run) {
            return;
        }
        if (host.suspended_until_ms > now_ms) {
            At(host.suspended_until_ms, [=] { Tick(h, run); });
            return;
        }
        Update(host);
        std::vector<sky_stream_version_t> untold;
        SkyStreamVersions_TakeUntold(
            host.versions, now_ms,
            [](const sky_stream_version_t *stream, void *context) {
                static_cast<std::vector<sky_stream_version_t> *>(context)
                    ->push_back(*stream);
            },
            &untold);
        for (const sky_stream_version_t &stream : untold) {
            for (uint32_t keeper : RankHosts(h, stream.stream, KEEPERS)) {
                uint32_t keeper_run = hosts[keeper].run;
                After(CALL_MS, [=] {
                    if (AreConnected(h, keeper) && hosts[h].run == run) {
                        AtHost(keeper, keeper_run, [=] {
                            SkyStreamVersions_RecordStream(
                                hosts[keeper].versions, &stream, false,
                                now_ms);
                        });
                    }
                });
            }
        }
        After(TICK_MS, [=] { Tick(h, run); });
    }

    // --- Streams

    // Returns a running target that the host has listed with the version, or
    // with any; -1: there is none.
    int64_t
    ChooseTarget(const host_t &host,
                 const std::function<bool(uint32_t version)> &is_allowed)
    {
        std::vector<uint32_t> allowed;
        if (host.list != nullptr) {
            for (const entry_t &entry : host.list->entries) {
                if (targets[entry.target].is_running &&
                    is_allowed(entry.version)) {
                    allowed.push_back(entry.target);
                }
            }
        }
        return allowed.empty() ? -1 : int64_t{allowed[Below(allowed.size())]};
    }

    static uint32_t
    ListedVersion(const host_t &host, uint32_t target)
    {
        for (const entry_t &entry : host.list->entries) {
            if (entry.target == target) {
                return entry.version;
            }
        }
        return 0;
    }

    void
    BeginStreams()
    {
        After(4 + Below(5), [this] { BeginStreams(); });
        uint32_t h = Below(hosts.size());
        host_t &host = hosts[h];
        if (!host.IsAlive() || host.suspended_until_ms > now_ms ||
            !IsUsable(host)) {
            return;
        }
        Update(host);
        int64_t target = ChooseTarget(host, [&](uint32_t version) {
            return SkySoftwareRollout_MayBegin(
                SkyStreamVersions_GetRollout(host.versions), "llm",
                VERSIONS[version], now_ms);
        });
        if (target < 0) {
            target = ChooseTarget(host, [](uint32_t) { return true; });
        }
        if (target < 0) {
            return;
        }
        uint32_t run = host.run;
        uint32_t listed = ListedVersion(host, target);
        uint64_t started_ms = targets[target].started_ms;
        After(10 + Below(200), [=] {
            AtHost(h, run, [=] {
                if (targets[target].is_running &&
                    targets[target].started_ms == started_ms) {
                    RecordFirstEvent(h, target, listed);
                }
            });
        });
    }

    void
    RecordFirstEvent(uint32_t h, uint32_t target, uint32_t listed)
    {
        uint64_t id = Mix(++stream_count);
        sky_stream_version_t stream = MakeStream(id, VERSIONS[listed]);
        SkyStreamVersions_RecordStream(hosts[h].versions, &stream, true,
                                       now_ms);
        Activate({id, targets[target].version, h, 0}, target);
    }

    void
    Activate(stream_t stream, uint32_t target)
    {
        stream.end_ms = now_ms + 200 + Below(1300);
        active[stream.id] = {target, stream};
        // Some connections are lost for no reason of this model.
        bool breaks = Below(40) == 0;
        uint64_t end_ms = stream.end_ms;
        At(breaks ? now_ms + Below(end_ms - now_ms) : end_ms, [=] {
            auto found = active.find(stream.id);
            if (found == active.end() ||
                found->second.second.end_ms != end_ms) {
                return;
            }
            if (breaks) {
                Break(stream.id);
            }
            else {
                active.erase(found);
            }
        });
    }

    void
    Break(uint64_t id)
    {
        const stream_t stream = active[id].second;
        active.erase(id);
        auto taken = std::make_shared<take_up_t>();
        taken->id = id;
        taken->version = stream.version;
        taken->broken_at = stream.host;
        taken->is_lost = !hosts[stream.host].IsAlive();
        After(Below(1000), [=] { TakeUp(taken); });
    }

    bool
    HasReadyTarget(uint32_t version) const
    {
        for (const entry_t &entry : Stored().entries) {
            if (entry.version == version &&
                targets[entry.target].version == version &&
                targets[entry.target].is_running) {
                return true;
            }
        }
        return false;
    }

    using take_up_p = std::shared_ptr<take_up_t>;

    void
    Trace(const take_up_t &taken, const char *what)
    {
        if (!traces) {
            return;
        }
        const host_t &host = hosts[taken.taker];
        printf("seed %lu hosts %u at %ld ms stream %016lx of %s: %s at host "
               "%u, list of %ld ms, others_mixed=%d heard=%d only=%s\n",
               options.seed, options.host_count,
               static_cast<long>(now_ms - FIRST_LISTING_MS), taken.id,
               VERSIONS[taken.version], what, taken.taker,
               static_cast<long>(host.list_read_ms - FIRST_LISTING_MS),
               taken.answers.know_mixed, taken.answers.has_heard,
               taken.answers.only_version);
        if (!host.IsAlive()) {
            return;
        }
        const sky_software_rollout_t *rollout =
            SkyStreamVersions_GetRollout(host.versions);
        for (uint32_t i = 0; i < rollout->count; i++) {
            const sky_rollout_version_t *version = &rollout->versions[i];
            printf(
                "  %s first %ld last %ld absent %ld alone=%d begun=%d\n",
                version->software,
                static_cast<long>(version->first_listed_ms - FIRST_LISTING_MS),
                static_cast<long>(version->last_listed_ms - FIRST_LISTING_MS),
                static_cast<long>(version->last_absent_ms - FIRST_LISTING_MS),
                version->was_alone, version->has_begun);
        }
    }

    void
    TakeUp(const take_up_p &taken)
    {
        std::vector<uint32_t> alive;
        for (uint32_t h = 0; h < hosts.size(); h++) {
            // One that has just started is reached before it is ready only by
            // callers that do not heed it.
            if (hosts[h].IsAlive() && h != taken->broken_at &&
                (hosts[h].list != nullptr || options.faults.cuts_hosts)) {
                alive.push_back(h);
            }
        }
        if (alive.empty()) {
            After(Below(1000), [=] { TakeUp(taken); });
            return;
        }
        bool can_go_on = HasReadyTarget(taken->version);
        if (taken->tries++ == 0 && can_go_on) {
            taken->is_counted = true;
            result.taken_up++;
            result.lost_taken_up += taken->is_lost ? 1 : 0;
        }
        taken->taker = alive[Below(alive.size())];
        taken->taker_run = hosts[taken->taker].run;
        taken->answers = {};
        AtTaker(taken, [=] {
            taken->received_ms = now_ms;
            Settle(taken);
        });
    }

    void
    AtTaker(const take_up_p &taken, const std::function<void()> &action)
    {
        AtHost(taken->taker, taken->taker_run, action,
               [=] { Refuse(taken, "lost with its host"); });
    }

    void
    Refuse(const take_up_p &taken, const char *reason)
    {
        Trace(*taken, reason);
        if (taken->tries < TRIES) {
            After(Below(1000), [=] { TakeUp(taken); });
        }
    }

    void
    Settle(const take_up_p &taken)
    {
        host_t &host = hosts[taken->taker];
        if (host.list != nullptr && !IsUsable(host)) {
            After(20, [=] { AtTaker(taken, [=] { Settle(taken); }); });
            return;
        }
        Update(host);
        taken->answers.has_newer_list = host.list_read_ms > taken->received_ms;
        sky_resume_t resume = SkyStreamVersions_Decide(
            host.versions, "llm", taken->id, &taken->answers, now_ms);
        switch (resume.kind) {
        case SKY_RESUME_AT_SOFTWARE:
            Record(taken->taker, taken->id, resume.software, true);
            After(options.faults.sends_late ? 500 + Below(1500) : 0,
                  [=, software = std::string(resume.software)] {
                      AtTaker(taken, [=] { Send(taken, software); });
                  });
            break;
        case SKY_RESUME_ASK_OTHERS:
            Ask(taken);
            break;
        case SKY_RESUME_READ_LIST:
            // A call that is sent now asks for what the store has from now on.
            if (CanReadStore(host)) {
                After(1, [=] {
                    AtTaker(taken, [=] {
                        if (!ReadList(taken->taker, 5 + Below(95), [=] {
                                AtTaker(taken, [=] { Settle(taken); });
                            })) {
                            Settle(taken);
                        }
                    });
                });
            }
            else if (taken->answers.has_heard &&
                     !taken->answers.is_store_unreachable) {
                taken->answers.is_store_unreachable = true;
                Settle(taken);
            }
            else {
                Refuse(taken, "refused without a list");
            }
            break;
        case SKY_RESUME_REFUSED:
            Refuse(taken, "refused");
            break;
        }
    }

    void
    Record(uint32_t h, uint64_t id, const char *software, bool is_own)
    {
        sky_stream_version_t stream = MakeStream(id, software);
        SkyStreamVersions_RecordStream(hosts[h].versions, &stream, is_own,
                                       now_ms);
    }

    struct answer_t {
        std::string software;
        std::string only;
        bool is_mixed;
    };

    answer_t
    AnswerAsk(uint32_t h, uint64_t id)
    {
        host_t &host = hosts[h];
        Update(host);
        bool is_list_complete = SkySoftwareRollout_IsListComplete(
            SkyStreamVersions_GetRollout(host.versions), now_ms);
        const char *software =
            SkyStreamVersions_FindStream(host.versions, id, now_ms);
        const char *only =
            is_list_complete ? SkyStreamVersions_FindOnlyVersion(host.versions,
                                                                 "llm", now_ms)
                             : nullptr;
        return {software != nullptr ? software : "",
                only != nullptr ? only : "",
                SkyStreamVersions_IsMixed(host.versions, "llm", now_ms)};
    }

    void
    ApplyAnswer(const take_up_p &taken, const answer_t &answer)
    {
        sky_resume_answers_t &answers = taken->answers;
        answers.has_heard = true;
        answers.know_mixed = answers.know_mixed || answer.is_mixed;
        if (!answer.only.empty()) {
            answers.know_mixed =
                answers.know_mixed || (answers.has_only_version &&
                                       answers.only_version != answer.only);
            answers.has_only_version = true;
            snprintf(answers.only_version, sizeof answers.only_version, "%s",
                     answer.only.c_str());
        }
        if (!answer.software.empty()) {
            Record(taken->taker, taken->id, answer.software.c_str(), false);
        }
    }

    void
    Ask(const take_up_p &taken)
    {
        auto pending = std::make_shared<uint32_t>(0);
        auto end_call = [=] {
            // The first record that is known ends the question.
            bool was_pending = *pending > 0;
            *pending -= was_pending ? 1 : 0;
            if (was_pending &&
                (*pending == 0 ||
                 SkyStreamVersions_FindStream(hosts[taken->taker].versions,
                                              taken->id, now_ms) != nullptr)) {
                *pending = 0;
                taken->answers.have_answered = true;
                Settle(taken);
            }
        };
        for (uint32_t h : RankHosts(taken->taker, taken->id, ASKED_MAX)) {
            ++*pending;
            uint32_t run = hosts[h].run;
            bool is_answered = hosts[h].suspended_until_ms <= now_ms &&
                               AreConnected(taken->taker, h);
            auto end_unanswered = [=] {
                AtHost(taken->taker, taken->taker_run, end_call);
            };
            if (!is_answered) {
                // Some of the dead refuse the connection at once.
                bool is_refused = !hosts[h].IsAlive() && Below(2) == 0;
                After(is_refused ? CALL_MS : CALL_TIMEOUT_MS, end_unanswered);
                continue;
            }
            After(CALL_MS, [=] {
                if (!hosts[h].IsAlive() || hosts[h].run != run) {
                    After(CALL_TIMEOUT_MS, end_unanswered);
                    return;
                }
                answer_t answer = AnswerAsk(h, taken->id);
                After(CALL_MS + Below(5), [=] {
                    AtHost(taken->taker, taken->taker_run, [=] {
                        if (*pending > 0) {
                            ApplyAnswer(taken, answer);
                            end_call();
                        }
                    });
                });
            });
        }
        // A question that ends with its host is repeated at another one.
        uint32_t tries = taken->tries;
        After(2 * CALL_TIMEOUT_MS + 1, [=] {
            const host_t &host = hosts[taken->taker];
            if (*pending > 0 && taken->tries == tries &&
                (!host.IsAlive() || host.run != taken->taker_run)) {
                Refuse(taken, "lost with its host");
            }
        });
    }

    void
    Send(const take_up_p &taken, const std::string &software)
    {
        const host_t &host = hosts[taken->taker];
        int64_t target = ChooseTarget(host, [&](uint32_t version) {
            return software == VERSIONS[version];
        });
        if (target < 0) {
            Refuse(taken, "without a target");
            return;
        }
        if (targets[target].version != taken->version) {
            Trace(*taken, ("JOINED as " + software).c_str());
            result.joined++;
            return;
        }
        result.gone_on += taken->is_counted ? 1 : 0;
        result.lost_gone_on += taken->is_counted && taken->is_lost ? 1 : 0;
        Activate({taken->id, taken->version, taken->taker, 0}, target);
    }

    // --- Faults

    void
    KillAt(uint64_t at_ms, uint32_t one_in)
    {
        At(at_ms, [=] {
            std::vector<uint32_t> order(hosts.size());
            for (uint32_t h = 0; h < order.size(); h++) {
                order[h] = h;
            }
            for (uint32_t i = order.size() - 1; i > 0; i--) {
                std::swap(order[i], order[Below(i + 1)]);
            }
            order.resize(order.size() / one_in);
            for (uint32_t h : order) {
                KillHost(h);
                After(1000, [=] { StartHost(h); });
            }
        });
    }

    void
    SuspendHost(uint32_t h)
    {
        host_t &host = hosts[h];
        if (!host.IsAlive() || host.suspended_until_ms > now_ms) {
            return;
        }
        uint64_t suspended_ms = 500 + Below(5500);
        host.suspended_until_ms = now_ms + suspended_ms;
        host.list_suspended_ms += suspended_ms;
        BreakAt(h, 2);
    }

    void
    CutHost(uint32_t h)
    {
        host_t &host = hosts[h];
        host.store_cut_until_ms = now_ms + 1000 + Below(5000);
        if (Below(2) == 0) {
            host.peers_cut_until_ms = host.store_cut_until_ms;
        }
        BreakAt(h, 2);
    }

    void
    RestartHost(uint32_t h)
    {
        KillHost(h);
        After(50 + Below(500), [=] { StartHost(h); });
    }

    // A host records a stream that is then taken up under another version.
    void
    GuessWrong()
    {
        for (const auto &entry : active) {
            const stream_t &stream = entry.second.second;
            uint32_t h = Below(hosts.size());
            if (hosts[h].IsAlive() && h != stream.host) {
                Record(h, stream.id, VERSIONS[stream.version == 0 ? 1 : 0],
                       true);
                Break(stream.id);
                return;
            }
        }
    }

    void
    PlanFaults()
    {
        const faults_t &faults = options.faults;
        uint64_t around_ms = FIRST_LISTING_MS - 1000;
        uint64_t kill_ms = around_ms + Below(2000);
        if (faults.kills_half_late || faults.kills_all_late) {
            kill_ms += 2000;
        }
        if (faults.kills_half || faults.kills_half_late) {
            KillAt(kill_ms, 2);
            KillAt(kill_ms + 1000, 2);
        }
        if (faults.kills_all || faults.kills_all_late) {
            KillAt(kill_ms + Below(100), 1);
        }
        if (faults.store_out) {
            out_from_ms = around_ms + Below(2000);
            out_until_ms = out_from_ms + 1000 + Below(5000);
        }
        if (faults.guesses_wrong) {
            At(FIRST_LISTING_MS + Below(4000), [this] { GuessWrong(); });
        }
        for (uint32_t i = 0; faults.crashes && i < 3; i++) {
            At(around_ms + Below(5000), [=] { CrashTarget(i, 1); });
        }
        uint32_t disturbed = 2 + hosts.size() / 8;
        for (uint32_t i = 0; i < disturbed; i++) {
            uint64_t at_ms = around_ms + Below(7000);
            uint32_t h = Below(hosts.size());
            if (faults.suspends_hosts) {
                At(at_ms, [=] { SuspendHost(h); });
            }
            if (faults.cuts_hosts) {
                bool restarts = Below(3) == 0;
                At(at_ms + Below(1000),
                   [=] { restarts ? RestartHost(h) : CutHost(h); });
            }
        }
    }

    replay_options_t options;
    std::mt19937_64 random;
    std::vector<host_t> hosts;
    bool traces;
    std::vector<target_t> targets;
    std::shared_ptr<const snapshot_t> stored = std::make_shared<snapshot_t>();
    uint64_t out_from_ms = 0;
    uint64_t out_until_ms = 0;
    /** Open streams, and the targets that they are at. */
    std::map<uint64_t, std::pair<uint32_t, stream_t>> active;
    uint64_t stream_count = 0;
    std::priority_queue<event_t> events;
    uint64_t event_count = 0;
    uint64_t now_ms = START_MS;
    replay_result_t result;
};

uint64_t
ReadEnvironment(const char *name, uint64_t default_value)
{
    const char *text = getenv(name);
    return text != nullptr ? strtoull(text, nullptr, 10) : default_value;
}

std::ostream &
operator<<(std::ostream &out, const replay_options_t &options)
{
    const faults_t &faults = options.faults;
    out << "seed " << options.seed << " hosts " << options.host_count;
    for (auto fault :
         {std::make_pair(faults.sends_late, "sends_late"),
          std::make_pair(faults.cuts_hosts, "cuts_hosts"),
          std::make_pair(faults.kills_half, "kills_half"),
          std::make_pair(faults.kills_half_late, "kills_half_late"),
          std::make_pair(faults.kills_all, "kills_all"),
          std::make_pair(faults.kills_all_late, "kills_all_late"),
          std::make_pair(faults.crashes, "crashes"),
          std::make_pair(faults.guesses_wrong, "guesses_wrong"),
          std::make_pair(faults.suspends_hosts, "suspends_hosts"),
          std::make_pair(faults.store_out, "store_out"),
          std::make_pair(faults.starts, "starts")}) {
        if (fault.first) {
            out << " " << fault.second;
        }
    }
    return out;
}

void
ExpectPromises(const replay_options_t &options, uint32_t joined_max,
               replay_result_t *sum)
{
    replay_result_t result = Replay(options).Run();
    EXPECT_LE(result.joined, joined_max) << options;
    EXPECT_GT(result.taken_up, 20u) << options;
    EXPECT_GE(2 * result.gone_on, result.taken_up) << options;
    // A few may have been lost one by one with hosts that were restarted.
    EXPECT_TRUE(result.lost_taken_up < 20 ||
                2 * result.lost_gone_on >= result.lost_taken_up)
        << options << ": of " << result.lost_taken_up
        << " streams that were lost with their host " << result.lost_gone_on
        << " went on";
    sum->joined += result.joined;
    sum->taken_up += result.taken_up;
    sum->gone_on += result.gone_on;
    sum->lost_taken_up += result.lost_taken_up;
    sum->lost_gone_on += result.lost_gone_on;
}

void
Print(const replay_result_t &sum)
{
    printf("joined %u, gone on %u of %u taken up; of those lost with their "
           "host %u of %u\n",
           sum.joined, sum.gone_on, sum.taken_up, sum.lost_gone_on,
           sum.lost_taken_up);
}

void
PlaySeeds(const faults_t &faults, uint32_t joined_max)
{
    uint64_t first = ReadEnvironment("SKY_FIRST_SEED", 1);
    uint64_t count = ReadEnvironment("SKY_SEEDS", 3);
    replay_result_t sum;
    for (uint64_t seed = first; seed < first + count; seed++) {
        for (uint32_t host_count : HOST_COUNTS) {
            ExpectPromises({seed, host_count, faults}, joined_max, &sum);
        }
    }
    Print(sum);
}

TEST(SoftwareRolloutReplay, StreamsGoOnAtTheirVersionWithoutFaults)
{
    PlaySeeds({}, 0);
}

// A decision held while one version was in use, and was acted on later.
TEST(SoftwareRolloutReplay, StreamsSentLateAreNotJoined)
{
    faults_t faults;
    faults.sends_late = true;
    PlaySeeds(faults, 0);
}

// A host that was behind the others took streams of another version for its
// own, and told others that there is one only.
TEST(SoftwareRolloutReplay, AHostWithAnOldListNeitherJoinsNorRefuses)
{
    faults_t faults;
    faults.cuts_hosts = true;
    PlaySeeds(faults, 2);
}

// Streams that nobody had been told of were refused once two versions were
// listed.
TEST(SoftwareRolloutReplay, StreamsOfLostHostsGoOnAsAVersionIsListed)
{
    faults_t faults;
    faults.kills_half = true;
    PlaySeeds(faults, 0);
}

TEST(SoftwareRolloutReplay, StreamsOfHostsThatAreLostLaterGoOn)
{
    faults_t faults;
    faults.kills_half_late = true;
    PlaySeeds(faults, 0);
}

TEST(SoftwareRolloutReplay, StreamsGoOnAfterALossOfAllHosts)
{
    faults_t faults;
    faults.kills_all = true;
    PlaySeeds(faults, 0);
}

// KNOWN-RED: hosts that are back when the newer version may begin streams
// cannot tell that none had begun, and refuse all.
TEST(SoftwareRolloutReplay, DISABLED_StreamsGoOnAfterALateLossOfAllHosts)
{
    faults_t faults;
    faults.kills_all_late = true;
    PlaySeeds(faults, 0);
}

// KNOWN-RED: streams of a target that came back with a newer version are
// recorded and sent under the listed one.
TEST(SoftwareRolloutReplay,
     DISABLED_TargetsThatCrashIntoAVersionJoinFewStreams)
{
    faults_t faults;
    faults.crashes = true;
    PlaySeeds(faults, 2);
}

// A wrong record made every host refuse, or was followed by others.
TEST(SoftwareRolloutReplay, OneWrongRecordStaysTheOnlyOne)
{
    faults_t faults;
    faults.guesses_wrong = true;
    PlaySeeds(faults, 1);
}

// A host that had been suspended took its list and its introductions for
// younger than they were.
TEST(SoftwareRolloutReplay, ASuspendedHostNeitherJoinsNorRefuses)
{
    faults_t faults;
    faults.suspends_hosts = true;
    PlaySeeds(faults, 2);
}

TEST(SoftwareRolloutReplay, AnOutageOfTheStoreNeitherJoinsNorRefuses)
{
    faults_t faults;
    faults.store_out = true;
    PlaySeeds(faults, 2);
}

// All versions are young at the start of a deployment.
TEST(SoftwareRolloutReplay, AtTheStartOfADeploymentStreamsAreNotJoined)
{
    faults_t faults;
    faults.starts = true;
    PlaySeeds(faults, 0);
}

// Draws faults for each seed. Those of the known red cases are drawn also if
// they are left out, so that the others are the same.
void
PlayMix(bool with_known_red)
{
    uint64_t first = ReadEnvironment("SKY_FIRST_SEED", 1);
    uint64_t count = ReadEnvironment("SKY_SEEDS", 50);
    replay_result_t sum;
    for (uint64_t seed = first; seed < first + count; seed++) {
        uint64_t drawn = Mix(seed * 7919);
        faults_t faults;
        faults.sends_late = drawn & 1;
        faults.cuts_hosts = drawn & 2;
        bool kills_half = drawn & 4;
        bool kills_all = (drawn & 24) == 0;
        bool is_late = drawn & 2048;
        faults.kills_half_late = with_known_red && kills_half && is_late;
        faults.kills_all_late = with_known_red && kills_all && is_late;
        faults.store_out = drawn & 256;
        // Hosts that are lost while the store is out are back late as well.
        bool may_kill = with_known_red ? !is_late : !faults.store_out;
        faults.kills_half = may_kill && kills_half;
        faults.kills_all = may_kill && kills_all;
        faults.crashes = with_known_red && (drawn & 32);
        faults.guesses_wrong = drawn & 64;
        faults.suspends_hosts = drawn & 128;
        faults.starts = (drawn & 1536) == 0;
        ExpectPromises({seed, HOST_COUNTS[seed % 3], faults}, 2, &sum);
    }
    Print(sum);
}

TEST(SoftwareRolloutReplay, PromisesHoldUnderFaultsDrawnTogether)
{
    PlayMix(false);
}

// KNOWN-RED: for the same reasons as the cases alone.
TEST(SoftwareRolloutReplay, DISABLED_PromisesHoldUnderAllFaultsDrawnTogether)
{
    PlayMix(true);
}

// Shows that the replay tells whether there is an introduction.
TEST(SoftwareRolloutReplay, WithoutAnIntroductionStreamsOfLostHostsAreRefused)
{
    uint32_t broken = 0;
    uint32_t played = 0;
    for (uint64_t seed = 1; seed <= 8; seed++) {
        faults_t faults;
        faults.kills_half = true;
        replay_result_t result = Replay({seed, 195, faults, 0}).Run();
        broken += 2 * result.lost_gone_on < result.lost_taken_up;
        played++;
    }
    EXPECT_GT(broken, 0u);
    printf("%u of %u broken\n", broken, played);
}

} // namespace
