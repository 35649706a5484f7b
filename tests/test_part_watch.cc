// Prompt parts that crash targets, replayed on a clock of the test: first one
// host, then eight hosts under load.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <numeric>
#include <random>
#include <set>
#include <vector>

#include "decide/part_watch.h"

namespace {

constexpr uint64_t RETENTION_MS = 600000;
constexpr uint64_t TENANT = 0xf1; // first part of all requests
constexpr uint64_t CRASHER = 0xdead;
constexpr uint64_t OTHER_CRASHER = 0xdead2;
constexpr uint64_t STABLE_MS = 3000;

sky_request_facts_t
MakeFacts(const std::vector<uint64_t> &parts)
{
    sky_request_facts_t facts = {};
    facts.id = "";
    for (uint64_t part : parts) {
        facts.parts[facts.part_count++] = {part, 100};
    }
    return facts;
}

struct Host {
    sky_part_watch_t *watch = nullptr;
    std::vector<sky_part_event_t> events;
    std::vector<sky_target_run_t> explained;
    bool is_tester = false;

    Host()
    {
        sky_part_watch_options_t options = {};
        options.retention_ms = RETENTION_MS;
        options.on_event = [](void *context, const sky_part_event_t *event) {
            static_cast<Host *>(context)->events.push_back(*event);
        };
        options.on_explained = [](void *context, const sky_target_run_t *run) {
            static_cast<Host *>(context)->explained.push_back(*run);
        };
        options.is_tester = [](void *context, const sky_part_blame_t *) {
            return static_cast<Host *>(context)->is_tester;
        };
        options.context = this;
        EXPECT_EQ(SKY_OK, SkyPartWatch_Create(&options, &watch));
    }
    Host(const Host &) = delete;
    ~Host()
    {
        SkyPartWatch_Free(watch);
    }

    void
    Apply(const sky_part_event_t &event, uint64_t now_ms)
    {
        switch (event.kind) {
        case SKY_PART_EVENT_CRASH:
            SkyPartWatch_ApplyCrash(watch, &event.crash);
            break;
        case SKY_PART_EVENT_ACQUITTED:
            SkyPartWatch_ApplyAcquittal(watch, event.acquitted, now_ms);
            break;
        case SKY_PART_EVENT_BLAMED:
            SkyPartWatch_ApplyBlame(watch, &event.blame, now_ms);
            break;
        }
    }
};

class PartWatch : public ::testing::Test {
  protected:
    // An exchange with a target's run breaks; the last part is the request's.
    void
    Break(uint32_t target, std::vector<uint64_t> parts)
    {
        sky_target_run_t run = {target, 1};
        parts.push_back(next_own_part++);
        sky_request_facts_t facts = MakeFacts(parts);
        SkyPartWatch_RecordBrokenExchange(host.watch, &facts, &run, now_ms);
    }

    void
    Answer(std::vector<uint64_t> parts)
    {
        parts.push_back(next_own_part++);
        sky_request_facts_t facts = MakeFacts(parts);
        SkyPartWatch_RecordAnswer(host.watch, &facts, now_ms);
    }

    void
    Advance(uint64_t duration_ms)
    {
        for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;) {
            now_ms += 100;
            SkyPartWatch_Tick(host.watch, now_ms);
        }
    }

    sky_part_verdict_t
    Admit(std::vector<uint64_t> parts)
    {
        parts.push_back(next_own_part++);
        sky_request_facts_t facts = MakeFacts(parts);
        return SkyPartWatch_Admit(host.watch, &facts, now_ms, &retry_after_ms);
    }

    // Crashes, some time apart, of requests with the part.
    void
    Blame(uint64_t part, int crashes = SKY_PART_BLAME_CRASHES)
    {
        for (int i = 0; i < crashes; i++) {
            Break(next_target++, {TENANT, part});
            Answer({TENANT});
            Advance(500);
        }
    }

    Host host;
    uint64_t now_ms = 1000000;
    uint64_t next_own_part = 1u << 20;
    uint32_t next_target = 1;
    uint32_t retry_after_ms = 0;
};

TEST_F(PartWatch, APartThatCrashedThreeTargetsIsRefusedAndItsNeighboursAreNot)
{
    Blame(CRASHER);
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER}));
    EXPECT_GE(retry_after_ms, 1000u);
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT, 5}));
}

TEST_F(PartWatch, TheLastPartIsNeverBlamed)
{
    for (uint32_t target = 1; target <= 5; target++) {
        sky_target_run_t run = {target, 1};
        sky_request_facts_t facts = MakeFacts({TENANT, CRASHER});
        SkyPartWatch_RecordBrokenExchange(host.watch, &facts, &run, now_ms);
        Answer({TENANT});
        Advance(500);
    }
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT, CRASHER}));
}

TEST_F(PartWatch, AnswersBeforeTheFirstCrashAcquitNobody)
{
    for (int i = 0; i < 100; i++) {
        Answer({TENANT, CRASHER});
        Advance(100);
    }
    Blame(CRASHER, 5);
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER}));
}

TEST_F(PartWatch, TargetsLostTogetherBlameNothing)
{
    for (uint32_t target = 1; target <= 12; target++) {
        Break(target, {TENANT, 7});
        now_ms += 5;
    }
    Advance(1000);
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT, 7}));
}

TEST_F(PartWatch, ARunThatGoesOnIsNoCrash)
{
    for (uint32_t target = 1; target <= 3; target++) {
        Break(target, {TENANT, 7});
        now_ms += 200;
    }
    sky_target_run_t run = {2, 1};
    SkyPartWatch_ClearRun(host.watch, &run);
    Advance(1000);
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT, 7}));
}

TEST_F(PartWatch, ABlamedPartExplainsTheCrashesThatOthersWerePresentAt)
{
    for (uint32_t target = 1; target <= 4; target++) {
        Break(target, {TENANT, CRASHER});
        if (target > 1) {
            Break(target, {TENANT, 5, 6}); // runs there by chance, thrice
        }
        Answer({TENANT});
        Advance(500);
    }
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER}));
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT, 5, 6}));
    Advance(1500);
    EXPECT_EQ(4u, host.explained.size());
}

TEST_F(PartWatch, APartBlamedTooEarlyIsReleasedOnceAnotherExplainsItsCrashes)
{
    for (uint32_t target = 1; target <= 3; target++) {
        Break(target, {TENANT, CRASHER, 5});
        Answer({TENANT});
        Advance(500);
    }
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, 5}));
    Break(4, {TENANT, CRASHER});
    Answer({TENANT});
    Advance(500);
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER}));
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT, 5}));
}

TEST_F(PartWatch, TwoPartsCanBeBlamedAtOnce)
{
    for (int i = 0; i < 4; i++) {
        Break(next_target++, {TENANT, CRASHER});
        Advance(200);
        Break(next_target++, {TENANT, OTHER_CRASHER});
        Answer({TENANT});
        Advance(400);
    }
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER}));
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, OTHER_CRASHER}));
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT}));
}

TEST_F(PartWatch, OneHostLetsOneRequestThroughAsATrial)
{
    Blame(CRASHER);
    Advance(11000);
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER})); // another's turn
    host.is_tester = true;
    EXPECT_EQ(SKY_PART_TRIAL, Admit({TENANT, CRASHER}));
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER}));
    Break(next_target++, {TENANT, CRASHER});
    Advance(20000);
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER}));
}

TEST_F(PartWatch, TrialsAreAtMostThreeWithinTheRetentionTime)
{
    host.is_tester = true;
    Blame(CRASHER);
    int trials = 0;
    for (int i = 0; i < 5900; i++) {
        Advance(100);
        trials += Admit({TENANT, CRASHER}) == SKY_PART_TRIAL;
    }
    EXPECT_GE(trials, 1);
    EXPECT_LE(trials, 3);
}

TEST_F(PartWatch, TheAnswerToATrialAcquitsThePartEverywhere)
{
    host.is_tester = true;
    Blame(CRASHER);
    Advance(11000);
    EXPECT_EQ(SKY_PART_TRIAL, Admit({TENANT, CRASHER}));
    host.events.clear();
    Answer({TENANT, CRASHER});
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT, CRASHER}));
    ASSERT_FALSE(host.events.empty());
    EXPECT_EQ(SKY_PART_EVENT_ACQUITTED, host.events.back().kind);
    EXPECT_EQ(CRASHER, host.events.back().acquitted);
}

TEST_F(PartWatch, ABlameThatIsOlderThanTheAcquittalIsIgnored)
{
    Blame(CRASHER);
    sky_part_blame_t blame = *SkyPartWatch_FindBlame(host.watch, CRASHER);
    Advance(100);
    SkyPartWatch_ApplyAcquittal(host.watch, CRASHER, now_ms);
    SkyPartWatch_ApplyBlame(host.watch, &blame, now_ms);
    EXPECT_EQ(SKY_PART_ALLOWED, Admit({TENANT, CRASHER}));
}

TEST_F(PartWatch, AStartedHostRefusesWhatItsPeersBlame)
{
    Blame(CRASHER);
    Advance(1500);
    Host started;
    SkyPartWatch_ForEachBlame(
        host.watch,
        [](const sky_part_blame_t *blame, void *context) {
            SkyPartWatch_ApplyBlame(static_cast<Host *>(context)->watch, blame,
                                    blame->since_ms);
        },
        &started);
    SkyPartWatch_Tick(started.watch, now_ms + 100);
    sky_request_facts_t facts = MakeFacts({TENANT, CRASHER, 99});
    EXPECT_TRUE(SkyPartWatch_IsBlamed(started.watch, &facts));
}

TEST_F(PartWatch, ManyPartsSeenOnceDoNotDisplaceABlamedOne)
{
    Blame(CRASHER);
    for (uint64_t part = 1; part < 20000; part++) {
        Break(1000 + static_cast<uint32_t>(part), {TENANT, 0x10000 + part});
        now_ms++;
    }
    EXPECT_EQ(SKY_PART_REFUSED, Admit({TENANT, CRASHER}));
}

TEST_F(PartWatch, AKeyNamesItsPart)
{
    char key[SKY_PART_KEY_BYTES];
    uint64_t part = 0;
    SkyPart_FormatKey(UINT64_MAX, key);
    EXPECT_TRUE(SkyPart_ParseKey(key, &part));
    EXPECT_EQ(UINT64_MAX, part);
    EXPECT_FALSE(SkyPart_ParseKey("0123456789abcdef.01234567.1", &part));
}

// Eight hosts and twelve targets under load. A request waits at its target,
// then its answer begins; one with a guilty part crashes the target at that
// moment, and all exchanges there break. Hosts hear from each other after a
// delay.
class Load {
  public:
    static constexpr uint64_t TICK_MS = 10;
    static constexpr uint32_t HOSTS = 8;
    static constexpr uint32_t TARGETS = 12;
    static constexpr uint32_t SLOTS = 40;
    static constexpr uint64_t RESTART_MS = 3500;
    static constexpr int SENDS_MAX = 3;

    explicit Load(uint32_t seed) : random(seed), hosts(HOSTS)
    {
        targets.resize(TARGETS);
        hosts[0].is_tester = true;
    }

    void
    Run(uint64_t duration_ms, double sound_per_s, double guilty_per_s)
    {
        for (uint64_t end_ms = now_ms + duration_ms; now_ms < end_ms;
             now_ms += TICK_MS) {
            Arrive(sound_per_s, false);
            Arrive(guilty_per_s, true);
            RestartTargets();
            BeginAnswers();
            TickHosts();
        }
    }

    void
    LoseAllTargets()
    {
        for (uint32_t target = 0; target < TARGETS; target++) {
            Crash(target);
        }
    }

    // Parts of sound requests that some host blames.
    std::set<uint64_t>
    BlamedSoundParts() const
    {
        std::set<uint64_t> blamed;
        for (const Host &host : hosts) {
            for (uint64_t part : sound_parts) {
                if (SkyPartWatch_FindBlame(host.watch, part) != nullptr) {
                    blamed.insert(part);
                }
            }
        }
        return blamed;
    }

    uint64_t now_ms = 1000000;
    std::vector<uint64_t> guilty_parts = {CRASHER};
    uint32_t late_sends = 0; // of requests with one guilty part, the most
    uint32_t guilty_crashes = 0;
    uint32_t sound_begun = 0; // at the first attempt
    uint32_t sound_sent = 0;

  private:
    struct Request {
        uint32_t host;
        sky_request_facts_t facts;
        bool is_guilty;
        int sends;
        uint64_t begins_ms;
        bool is_trial;
    };
    struct Target {
        uint64_t epoch = 1;
        uint64_t back_ms = 0;
        std::vector<Request> requests;
    };
    struct Guilt {
        uint32_t crashes = 0;
        uint64_t fifth_crash_ms = 0;
        uint32_t late_sends = 0;
    };
    struct Message {
        uint64_t arrives_ms;
        uint32_t sender;
        sky_part_event_t event;
    };

    double
    Uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(random);
    }

    void
    Arrive(double per_s, bool is_guilty)
    {
        double due = per_s * TICK_MS / 1000.0;
        for (; due > 0 && Uniform() < due; due -= 1) {
            // Sound parts are drawn unevenly; some are asked for rarely.
            uint64_t shared =
                0x100 + static_cast<uint64_t>(60 * Uniform() * Uniform());
            std::vector<uint64_t> parts = {TENANT, shared, next_own_part++};
            if (is_guilty) {
                parts.insert(parts.begin() + 1,
                             guilty_parts[random() % guilty_parts.size()]);
            }
            Request request = {static_cast<uint32_t>(random() % HOSTS),
                               MakeFacts(parts),
                               is_guilty,
                               0,
                               0,
                               false};
            sound_sent += !is_guilty;
            sound_parts.insert({TENANT, shared});
            Send(request);
        }
    }

    void
    Send(Request request)
    {
        uint32_t retry_after_ms;
        Host &host = hosts[request.host];
        sky_part_verdict_t verdict = SkyPartWatch_Admit(
            host.watch, &request.facts, now_ms, &retry_after_ms);
        std::vector<uint32_t> free;
        for (uint32_t i = 0; i < TARGETS; i++) {
            if (targets[i].back_ms <= now_ms &&
                targets[i].requests.size() < SLOTS) {
                free.push_back(i);
            }
        }
        if (verdict == SKY_PART_REFUSED || free.empty()) {
            return;
        }
        request.sends++;
        request.begins_ms =
            now_ms + 50 + static_cast<uint64_t>(500 * Uniform() * Uniform());
        if (request.is_guilty) {
            Guilt &guilt = guilts[request.facts.parts[1].id];
            bool is_late = guilt.crashes >= 5 &&
                           now_ms > guilt.fifth_crash_ms + STABLE_MS;
            guilt.late_sends += is_late;
            late_sends = std::max(late_sends, guilt.late_sends);
        }
        targets[free[random() % free.size()]].requests.push_back(request);
    }

    void
    Crash(uint32_t number)
    {
        Target &target = targets[number];
        std::vector<Request> broken;
        broken.swap(target.requests);
        sky_target_run_t run = {number, target.epoch};
        target.back_ms = now_ms + RESTART_MS;
        for (Request &request : broken) {
            SkyPartWatch_RecordBrokenExchange(hosts[request.host].watch,
                                              &request.facts, &run, now_ms);
        }
        for (Request &request : broken) {
            if (request.sends < SENDS_MAX && Uniform() < 0.3) {
                Send(request);
            }
        }
    }

    void
    RestartTargets()
    {
        for (Target &target : targets) {
            if (target.back_ms > 0 && target.back_ms <= now_ms) {
                target.back_ms = 0;
                target.epoch++;
            }
        }
    }

    void
    BeginAnswers()
    {
        for (uint32_t i = 0; i < TARGETS; i++) {
            std::vector<Request> waiting;
            std::set<uint64_t> crashers;
            for (Request &request : targets[i].requests) {
                if (request.begins_ms > now_ms) {
                    waiting.push_back(request);
                }
                else if (request.is_guilty) {
                    waiting.push_back(request);
                    crashers.insert(request.facts.parts[1].id);
                }
                else {
                    sound_begun += request.sends == 1;
                    SkyPartWatch_RecordAnswer(hosts[request.host].watch,
                                              &request.facts, now_ms);
                }
            }
            targets[i].requests.swap(waiting);
            for (uint64_t part : crashers) {
                Guilt &guilt = guilts[part];
                guilt.crashes++;
                guilt.fifth_crash_ms =
                    guilt.crashes == 5 ? now_ms : guilt.fifth_crash_ms;
                guilty_crashes++;
            }
            if (!crashers.empty()) {
                Crash(i);
            }
        }
    }

    void
    TickHosts()
    {
        for (uint32_t i = 0; i < HOSTS; i++) {
            if ((now_ms / TICK_MS + i) % 10 == 0) {
                SkyPartWatch_Tick(hosts[i].watch, now_ms);
                for (const sky_part_event_t &event : hosts[i].events) {
                    messages.push_back(
                        {now_ms + 5 + static_cast<uint64_t>(100 * Uniform()),
                         i, event});
                }
                hosts[i].events.clear();
            }
        }
        std::vector<Message> later;
        for (const Message &message : messages) {
            if (message.arrives_ms > now_ms) {
                later.push_back(message);
                continue;
            }
            for (uint32_t i = 0; i < HOSTS; i++) {
                if (i != message.sender) {
                    hosts[i].Apply(message.event, now_ms);
                }
            }
        }
        messages.swap(later);
    }

    std::mt19937 random;
    std::vector<Host> hosts;
    std::vector<Target> targets;
    std::vector<Message> messages;
    std::map<uint64_t, Guilt> guilts;
    std::set<uint64_t> sound_parts;
    uint64_t next_own_part = 1u << 20;
};

// As in test_seeded: SKY_SEEDS sets the number of seeds, SKY_FIRST_SEED the
// first one.
std::vector<uint32_t>
Seeds()
{
    const char *first = getenv("SKY_FIRST_SEED");
    const char *count = getenv("SKY_SEEDS");
    std::vector<uint32_t> seeds(count != nullptr ? strtoul(count, nullptr, 10)
                                                 : 30);
    std::iota(seeds.begin(), seeds.end(),
              first != nullptr ? strtoul(first, nullptr, 10) : 1);
    return seeds;
}

// Share of the sound requests that begin at the first attempt.
double
BeginShare(Load *load, uint64_t duration_ms, double guilty_per_s)
{
    uint32_t begun = load->sound_begun;
    uint32_t sent = load->sound_sent;
    load->Run(duration_ms, 100, guilty_per_s);
    return static_cast<double>(load->sound_begun - begun) /
           (load->sound_sent - sent);
}

TEST(PartWatchUnderLoad,
     FewRequestsWithACrashingPartReachTargetsOthersAreServed)
{
    for (uint32_t seed : Seeds()) {
        Load load(seed);
        double before = BeginShare(&load, 5000, 0);
        load.Run(8000, 100, 8);
        double after = BeginShare(&load, 30000, 8);
        EXPECT_GE(load.guilty_crashes, 3u) << "seed " << seed;
        EXPECT_LE(load.late_sends, 3u) << "seed " << seed;
        EXPECT_GE(after, before / 2) << "seed " << seed;
        EXPECT_EQ(0u, load.BlamedSoundParts().size()) << "seed " << seed;
    }
}

TEST(PartWatchUnderLoad, SoDoFewOfTwoCrashingParts)
{
    for (uint32_t seed : Seeds()) {
        Load load(seed);
        load.guilty_parts = {CRASHER, OTHER_CRASHER};
        double before = BeginShare(&load, 5000, 0);
        load.Run(8000, 100, 16);
        double after = BeginShare(&load, 30000, 16);
        EXPECT_LE(load.late_sends, 3u) << "seed " << seed;
        EXPECT_GE(after, before / 2) << "seed " << seed;
        EXPECT_EQ(0u, load.BlamedSoundParts().size()) << "seed " << seed;
    }
}

TEST(PartWatchUnderLoad, ALossOfAllTargetsBlamesNoPart)
{
    for (uint32_t seed : Seeds()) {
        Load load(seed);
        double before = BeginShare(&load, 5000, 0);
        for (int i = 0; i < 4; i++) {
            load.LoseAllTargets();
            load.Run(5000, 100, 0);
        }
        double after = BeginShare(&load, 10000, 0);
        EXPECT_GE(after, before * 0.95) << "seed " << seed;
        EXPECT_EQ(0u, load.BlamedSoundParts().size()) << "seed " << seed;
    }
}

} // namespace
