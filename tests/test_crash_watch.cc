// Requests that crash targets, replayed on a clock of the test.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "decide/crash_watch.h"

namespace {

constexpr uint64_t RETENTION_MS = 600000;
constexpr uint64_t REQUEST = 77;
constexpr uint64_t OTHER_REQUEST = 78;
constexpr uint64_t VARIANT = 770;
constexpr uint64_t CRASHING_VARIANT = 771;

class CrashWatch : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        sky_crash_watch_options_t options = {};
        options.retention_ms = RETENTION_MS;
        options.get_target_state = [](void *context, uint32_t target) {
            return static_cast<CrashWatch *>(context)->targets[target];
        };
        options.on_event = [](void *context, sky_crash_event_t event,
                              const sky_rec_crash_t *crash) {
            auto *self = static_cast<CrashWatch *>(context);
            self->events.push_back(event);
            if (event == SKY_CRASH_SUSPECTED) {
                self->shared.push_back(*crash);
            }
        };
        options.is_tester = [](void *context, uint64_t, uint64_t) {
            return static_cast<CrashWatch *>(context)->is_tester;
        };
        options.context = this;
        ASSERT_EQ(SKY_OK, SkyCrashWatch_Create(&options, &watch));
        for (uint32_t target = 1; target <= 5; target++) {
            targets[target] = {};
            targets[target].is_listed = true;
            targets[target].epoch = 1;
        }
    }

    void
    TearDown() override
    {
        SkyCrashWatch_Free(watch);
    }

    // An exchange with the target's current run breaks.
    void
    Break(uint32_t target, uint64_t fingerprint = REQUEST)
    {
        sky_rec_crash_t crash = {fingerprint, targets[target].epoch, target};
        EXPECT_TRUE(SkyCrashWatch_RecordBrokenExchange(watch, &crash, now_ms));
    }

    void
    Advance(uint64_t duration_ms)
    {
        uint64_t end_ms = now_ms + duration_ms;
        while (now_ms < end_ms) {
            now_ms += 100;
            SkyCrashWatch_Tick(watch, now_ms);
        }
    }

    void
    Restart(uint32_t target)
    {
        targets[target].epoch++;
    }

    void
    BreakVariant(uint32_t target, uint64_t variant)
    {
        sky_request_identity_t identity = {REQUEST, variant};
        sky_crash_exchange_t exchange = {};
        exchange.identity = &identity;
        exchange.target = target;
        exchange.epoch = targets[target].epoch;
        exchange.sent_ms = now_ms;
        exchange.evidence = SKY_CRASH_EVIDENCE_AGAINST;
        EXPECT_TRUE(SkyCrashWatch_RecordExchange(watch, &exchange, now_ms));
    }

    // A request that was sent at that time is answered now.
    void
    Answer(uint64_t sent_ms)
    {
        sky_request_identity_t identity = {REQUEST, VARIANT};
        sky_crash_exchange_t exchange = {};
        exchange.identity = &identity;
        exchange.sent_ms = sent_ms;
        exchange.evidence = SKY_CRASH_EVIDENCE_FOR;
        EXPECT_TRUE(SkyCrashWatch_RecordExchange(watch, &exchange, now_ms));
    }

    sky_crash_verdict_t
    Admit(uint64_t variant)
    {
        sky_request_identity_t identity = {REQUEST, variant};
        return SkyCrashWatch_Admit(watch, &identity, now_ms, &retry_after_ms);
    }

    // Crashes of the request that count.
    uint32_t
    CrashCount()
    {
        uint32_t count = 0;
        SkyCrashWatch_ForEach(
            watch,
            [](const sky_rec_crash_t *crash, bool, void *context) {
                *static_cast<uint32_t *>(context) +=
                    crash->fingerprint == REQUEST;
            },
            &count);
        return count;
    }

    uint64_t
    QuarantineMs(uint64_t fingerprint = REQUEST)
    {
        return SkyCrashWatch_GetQuarantineMs(watch, fingerprint, now_ms);
    }

    sky_crash_watch_t *watch = nullptr;
    std::map<uint32_t, sky_crash_target_state_t> targets;
    std::vector<sky_crash_event_t> events;
    std::vector<sky_rec_crash_t> shared;
    uint64_t now_ms = 1000000;
    uint32_t retry_after_ms = 0;
    bool is_tester = true;
};

// Guards against a sound request that all hosts refuse because it hung at two
// targets of a host that was cut off from them.
TEST_F(CrashWatch, ARunThatAnotherHostHearsHasNotCrashed)
{
    Break(1);
    Break(2);
    Advance(300);
    EXPECT_GT(QuarantineMs(), 0u);
    targets[1].heard_by_others_ms = now_ms;
    targets[2].heard_by_others_ms = now_ms;
    Advance(100);
    EXPECT_EQ(QuarantineMs(), 0u);
}

TEST_F(CrashWatch, ATargetThatOthersSuspectIsProbedOnceByAHostThatReachesIt)
{
    sky_rec_crash_t crash = {REQUEST, targets[1].epoch, 1};
    targets[1].probe_delay_ms = 150;
    EXPECT_TRUE(SkyCrashWatch_RecordSharedSuspicion(watch, &crash, now_ms));
    Advance(1000);
    EXPECT_TRUE(events.empty()) << "it does not reach the target";
    targets[1].can_probe = true;
    Advance(1000);
    EXPECT_EQ(events, std::vector<sky_crash_event_t>{SKY_CRASH_UNHEARD});
}

TEST_F(CrashWatch, TheOthersAreToldOfARunThatIsHeard)
{
    sky_rec_crash_t crash = {REQUEST, targets[1].epoch, 1};
    EXPECT_TRUE(SkyCrashWatch_RecordSharedSuspicion(watch, &crash, now_ms));
    targets[1].last_byte_ms = now_ms + 10;
    Advance(100);
    EXPECT_EQ(events, (std::vector<sky_crash_event_t>{SKY_CRASH_CLEARED,
                                                      SKY_CRASH_RUN_HEARD}));
}

TEST_F(CrashWatch, ARunThatOthersHeardIsNotToldAgain)
{
    sky_rec_crash_t crash = {REQUEST, targets[1].epoch, 1};
    EXPECT_TRUE(SkyCrashWatch_RecordSharedSuspicion(watch, &crash, now_ms));
    targets[1].last_byte_ms = now_ms + 10;
    targets[1].heard_by_others_ms = now_ms + 5;
    Advance(100);
    EXPECT_EQ(events, std::vector<sky_crash_event_t>{SKY_CRASH_CLEARED});
}

TEST_F(CrashWatch, ARequestThatBrokeTwoTargetsIsQuarantinedAtOnce)
{
    Break(1);
    EXPECT_EQ(0u, QuarantineMs());
    Break(2);
    EXPECT_GT(QuarantineMs(), 0u);
    EXPECT_EQ(0u, QuarantineMs(OTHER_REQUEST));
}

TEST_F(CrashWatch, TwoBrokenExchangesWithOneRunOfATargetCountOnce)
{
    Break(1);
    Break(1);
    EXPECT_EQ(0u, QuarantineMs());
}

TEST_F(CrashWatch, ATargetThatIsHeardFromClearsTheSuspicion)
{
    Break(1);
    Break(2);
    targets[1].last_byte_ms = now_ms + 80;
    Advance(100);
    EXPECT_EQ(0u, QuarantineMs());
    EXPECT_EQ(std::vector<sky_crash_event_t>{SKY_CRASH_CLEARED}, events);
}

TEST_F(CrashWatch, BytesThatWereOnTheirWayDoNotClearIt)
{
    Break(1);
    Break(2);
    targets[1].last_byte_ms = now_ms + 20;
    Advance(1000);
    EXPECT_GT(QuarantineMs(), 0u);
}

TEST_F(CrashWatch, BytesOfTheNextRunDoNotClearIt)
{
    Break(1);
    Break(2);
    Advance(2000);
    targets[1].last_byte_ms = now_ms; // restarted, not listed anew yet
    Advance(1000);
    EXPECT_GT(QuarantineMs(), 0u);
    Restart(1);
    Restart(2);
    Advance(100);
    EXPECT_GT(QuarantineMs(), RETENTION_MS / 2);
}

TEST_F(CrashWatch, ARestartOrALossOfTheTargetConfirmsTheCrash)
{
    Break(1);
    Break(2);
    Restart(1);
    targets[2].is_listed = false;
    Advance(100);
    EXPECT_EQ((std::vector<sky_crash_event_t>{SKY_CRASH_CONFIRMED,
                                              SKY_CRASH_CONFIRMED}),
              events);
    EXPECT_EQ(RETENTION_MS, QuarantineMs());
    Advance(RETENTION_MS + 20000);
    EXPECT_EQ(0u, QuarantineMs());
}

TEST_F(CrashWatch, ATargetThatLeavesBreaksExchangesWithoutACrash)
{
    Break(1);
    Break(2);
    targets[1].is_leaving = true;
    Advance(100);
    EXPECT_EQ(0u, QuarantineMs());
}

TEST_F(CrashWatch, OtherHostsAreToldOfATargetThatStaysSilent)
{
    Break(1);
    Break(2);
    targets[2].last_byte_ms = now_ms + 90;
    Advance(200);
    EXPECT_TRUE(shared.empty());
    Advance(200);
    ASSERT_EQ(1u, shared.size());
    EXPECT_EQ(1u, shared[0].target);
    Advance(5000);
    EXPECT_EQ(1u, shared.size());
}

TEST_F(CrashWatch, SuspicionsOfOtherHostsCountAndAreNotSentOn)
{
    sky_rec_crash_t crash = {REQUEST, 1, 3};
    EXPECT_TRUE(SkyCrashWatch_RecordSharedSuspicion(watch, &crash, now_ms));
    Break(1);
    EXPECT_GT(QuarantineMs(), 0u);
    Advance(1000);
    ASSERT_EQ(1u, shared.size());
    EXPECT_EQ(1u, shared[0].target);
}

// Each host clears a suspicion of another host by what it hears itself.
TEST_F(CrashWatch, ASharedSuspicionOfALiveTargetIsCleared)
{
    sky_rec_crash_t crash = {REQUEST, 1, 3};
    EXPECT_TRUE(SkyCrashWatch_RecordSharedSuspicion(watch, &crash, now_ms));
    Break(1);
    targets[3].last_byte_ms = now_ms + 60;
    Advance(100);
    EXPECT_EQ(0u, QuarantineMs());
}

// Guards against a host that has started, and does not know the list of
// targets yet, taking each suspicion of its peers for a crash.
TEST_F(CrashWatch, ASuspicionOfATargetThatIsNotKnownYetIsNoCrash)
{
    sky_rec_crash_t crash = {REQUEST, 1, 3};
    targets[3].is_listed = false;
    EXPECT_TRUE(SkyCrashWatch_RecordSharedSuspicion(watch, &crash, now_ms));
    Advance(500);
    EXPECT_TRUE(events.empty());
    targets[3].is_listed = true;
    Advance(100);
    targets[3].is_listed = false;
    Advance(100);
    EXPECT_EQ(std::vector<sky_crash_event_t>{SKY_CRASH_CONFIRMED}, events);
}

TEST_F(CrashWatch, AListFromBeforeTheTargetsStartDoesNotConfirmACrash)
{
    sky_rec_crash_t crash = {REQUEST, 2, 3};
    EXPECT_TRUE(SkyCrashWatch_RecordSharedSuspicion(watch, &crash, now_ms));
    Advance(500); // epoch 1 is listed here
    EXPECT_TRUE(events.empty());
    Restart(3);
    Restart(3);
    Advance(100);
    EXPECT_EQ(std::vector<sky_crash_event_t>{SKY_CRASH_CONFIRMED}, events);
}

// With the store out the list does not change.
TEST_F(CrashWatch, WithoutNewsOfTheTargetsTheQuarantineHolds)
{
    Break(1);
    Break(2);
    Advance(15000);
    EXPECT_GT(QuarantineMs(), 0u);
    Restart(1);
    Restart(2);
    Advance(100);
    EXPECT_GT(QuarantineMs(), RETENTION_MS / 2);
}

TEST_F(CrashWatch, ATargetThatStaysListedDidNotCrash)
{
    Break(1);
    Break(2);
    Advance(31000);
    EXPECT_EQ(0u, QuarantineMs());
}

TEST_F(CrashWatch, RepeatedNewsOfACrashDoesNotProlongTheQuarantine)
{
    sky_rec_crash_t first = {REQUEST, 1, 1};
    sky_rec_crash_t second = {REQUEST, 1, 2};
    SkyCrashWatch_RecordCrash(watch, &first, now_ms, now_ms);
    SkyCrashWatch_RecordCrash(watch, &second, now_ms, now_ms);
    Advance(RETENTION_MS / 2);
    SkyCrashWatch_RecordCrash(watch, &second, now_ms, now_ms);
    EXPECT_EQ(RETENTION_MS / 2, QuarantineMs());
}

TEST_F(CrashWatch, SuspicionsBeyondTheBoundAreReported)
{
    bool is_recorded = true;
    for (uint64_t i = 0; i < 10000 && is_recorded; i++) {
        sky_rec_crash_t crash = {i, 1, 1};
        is_recorded =
            SkyCrashWatch_RecordBrokenExchange(watch, &crash, now_ms);
    }
    EXPECT_FALSE(is_recorded);
}

// Guards against sound streams that were refused when their callers took them
// up: each had run on two of the targets that crashed in waves.
TEST_F(CrashWatch, ARequestThatLostATargetAmongManyOthersIsNotQuarantined)
{
    for (uint32_t target = 1; target <= 4; target++) {
        Break(target, target == 1 ? REQUEST : 1000 + target);
    }
    Advance(500);
    for (uint32_t target = 1; target <= 4; target++) {
        Restart(target);
    }
    Advance(1100);
    Break(5);
    EXPECT_EQ(0u, QuarantineMs());
    Restart(5);
    Advance(1100);
    EXPECT_EQ(0u, QuarantineMs());
    Break(1);
    EXPECT_GT(QuarantineMs(), 0u) << "with a third target, waves or not";
    Restart(1);
    Advance(1100);
    EXPECT_GT(QuarantineMs(), 300000u);
}

// Targets that copies of the request itself crash are no other cause.
TEST_F(CrashWatch, ARequestThatCrashesManyTargetsAtOnceIsQuarantined)
{
    for (uint32_t target = 1; target <= 5; target++) {
        Break(target);
    }
    EXPECT_GT(QuarantineMs(), 0u);
}

// A request and another one that crash targets at the same moment are each
// quarantined with two.
TEST_F(CrashWatch, AFewTargetsLostTogetherAreNoOtherCause)
{
    Break(1);
    Break(2, OTHER_REQUEST);
    Break(3, OTHER_REQUEST);
    Break(4);
    EXPECT_GT(QuarantineMs(), 0u);
    EXPECT_GT(QuarantineMs(OTHER_REQUEST), 0u);
}

// Guards against a request that many callers share being refused after targets
// crashed for other reasons while it ran there.
TEST_F(CrashWatch, AnAnswerAfterACrashAcquits)
{
    Break(1);
    now_ms += 10;
    Answer(now_ms - 5);
    Break(2);
    EXPECT_EQ(0u, QuarantineMs());
    Restart(1);
    Restart(2);
    Advance(1000);
    EXPECT_EQ(0u, QuarantineMs());
}

TEST_F(CrashWatch, AnAnswerToARequestFromBeforeTheCrashDoesNotAcquit)
{
    uint64_t sent_ms = now_ms;
    Break(1);
    now_ms += 10;
    Answer(sent_ms);
    Break(2);
    EXPECT_GT(QuarantineMs(), 0u);
}

// A request may begin to crash targets, as the data that it reads changes.
TEST_F(CrashWatch, ARequestThatWasAnsweredBeforeItsCrashesIsQuarantined)
{
    for (int i = 0; i < 1000; i++) {
        Answer(now_ms++);
    }
    Break(1);
    now_ms += 200;
    Break(2);
    EXPECT_GT(QuarantineMs(), 0u);
}

// Guards against a quarantine by crashes that this host knows to have another
// cause, as a host of an earlier build counts them.
TEST_F(CrashWatch, AnAcquittedCrashDoesNotCountWhoeverTellsIt)
{
    sky_rec_crash_t first = {REQUEST, targets[1].epoch, 1};
    sky_rec_crash_t second = {REQUEST, targets[2].epoch, 2};
    Break(1);
    now_ms += 10;
    Answer(now_ms - 5);
    SkyCrashWatch_ApplyAcquittal(watch, &second, now_ms);
    events.clear();
    EXPECT_TRUE(SkyCrashWatch_RecordSharedSuspicion(watch, &first, now_ms));
    SkyCrashWatch_RecordCrash(watch, &first, now_ms - 5, now_ms);
    SkyCrashWatch_RecordCrash(watch, &second, now_ms - 5, now_ms);
    EXPECT_EQ(0u, QuarantineMs());
    EXPECT_EQ(events, std::vector<sky_crash_event_t>(3, SKY_CRASH_ACQUITTED))
        << "it is told";
    Break(3);
    EXPECT_EQ(0u, QuarantineMs());
}

TEST_F(CrashWatch, OthersAreToldOfAnAcquittalIfTheyCountTheCrash)
{
    Break(1);
    Advance(300); // it is told
    Answer(now_ms++);
    EXPECT_EQ(events, (std::vector<sky_crash_event_t>{SKY_CRASH_SUSPECTED,
                                                      SKY_CRASH_ACQUITTED}));
    events.clear();
    Break(2);
    now_ms += 10;
    Answer(now_ms - 5);
    Answer(now_ms - 4);
    EXPECT_TRUE(events.empty()) << "nobody knows it";
    Break(3);
    EXPECT_EQ(0u, QuarantineMs());
}

// Guards against a host whose clock differs taking an answer from before a
// crash for one from after it.
TEST_F(CrashWatch, OnlyAnswersSinceThisHostKnowsOfACrashAcquit)
{
    sky_rec_crash_t first = {REQUEST, 1, 1};
    sky_rec_crash_t second = {REQUEST, 1, 2};
    SkyCrashWatch_RecordCrash(watch, &first, now_ms - 60000, now_ms);
    Answer(now_ms - 30000);
    SkyCrashWatch_RecordCrash(watch, &second, now_ms - 60000, now_ms);
    EXPECT_GT(QuarantineMs(), 0u);
}

TEST_F(CrashWatch, WithEachAcquittedCrashTheNextOneNeedsMoreAnswers)
{
    for (uint32_t needed : {1, 2, 4, 4}) {
        Break(1);
        for (uint32_t i = 0; i < needed; i++) {
            EXPECT_EQ(1u, CrashCount()) << needed;
            now_ms += 10;
            Answer(now_ms - 5);
        }
        EXPECT_EQ(0u, CrashCount()) << needed;
        Restart(1);
        Advance(1000);
    }
}

// Guards against a request that crashes targets and is sent on, as others of
// the same path and body are answered.
TEST_F(CrashWatch, AnswersToOtherVariantsDoNotAcquitAVariant)
{
    Answer(now_ms++);
    for (uint32_t target = 1; target <= 2; target++) {
        BreakVariant(target, CRASHING_VARIANT);
        now_ms += 10;
        Answer(now_ms - 5);
        Answer(now_ms - 4);
        Answer(now_ms - 3);
    }
    EXPECT_EQ(SKY_CRASH_REFUSED, Admit(CRASHING_VARIANT));
    EXPECT_EQ(SKY_CRASH_ALLOWED, Admit(VARIANT)) << "the others are served";
}

// Guards against the callers of a sound request being refused for a variant of
// it that crashed two targets before any of theirs was answered.
TEST_F(CrashWatch, AVariantThatExplainsTheCrashesLeavesTheOthersAlone)
{
    Answer(now_ms++);
    BreakVariant(1, CRASHING_VARIANT);
    BreakVariant(2, CRASHING_VARIANT);
    EXPECT_EQ(SKY_CRASH_REFUSED, Admit(CRASHING_VARIANT));
    EXPECT_EQ(SKY_CRASH_ALLOWED, Admit(VARIANT));
    BreakVariant(3, VARIANT);
    BreakVariant(4, VARIANT);
    EXPECT_EQ(SKY_CRASH_REFUSED, Admit(VARIANT)) << "they crash others";
}

TEST_F(CrashWatch, ARequestThatWasNeverAnsweredGetsNoTrial)
{
    Break(1);
    Break(2);
    Restart(1);
    Restart(2);
    for (int i = 0; i < 600; i++) {
        EXPECT_EQ(SKY_CRASH_REFUSED, Admit(VARIANT));
        Advance(1000);
    }
}

// Guards against a request that many callers share being refused for the whole
// retention time after two targets crashed at once: nothing can acquit it
// then.
TEST_F(CrashWatch, ASharedRequestThatLostTwoTargetsAtOnceGetsATrial)
{
    Answer(now_ms++);
    BreakVariant(1, VARIANT);
    BreakVariant(2, VARIANT);
    EXPECT_EQ(SKY_CRASH_REFUSED, Admit(VARIANT));
    EXPECT_LE(retry_after_ms, 1000u) << "its callers come back in time";
    Restart(1);
    Restart(2);
    Advance(1000);
    EXPECT_EQ(SKY_CRASH_TRIAL, Admit(VARIANT));
    EXPECT_EQ(SKY_CRASH_REFUSED, Admit(VARIANT)) << "one at a time";
    uint64_t sent_ms = now_ms;
    now_ms += 100;
    Answer(sent_ms);
    EXPECT_EQ(SKY_CRASH_ALLOWED, Admit(VARIANT));
}

// Guards against trials that crash more targets than the rules allow.
TEST_F(CrashWatch, ARequestThatCrashesInItsTrialsGetsFewOfThem)
{
    uint32_t trials = 0;
    Answer(now_ms++);
    BreakVariant(1, VARIANT);
    BreakVariant(2, VARIANT);
    for (int i = 0; i < 590; i++) {
        Restart(1 + i % 5);
        Advance(1000);
        if (Admit(VARIANT) == SKY_CRASH_TRIAL) {
            trials++;
            BreakVariant(1 + i % 5, VARIANT); // it has just started
        }
    }
    EXPECT_GE(trials, 1u);
    EXPECT_LE(trials, 2u);
}

TEST_F(CrashWatch, OnlyTheHostWhoseTurnItIsTries)
{
    is_tester = false;
    Answer(now_ms++);
    BreakVariant(1, VARIANT);
    BreakVariant(2, VARIANT);
    Advance(3100);
    EXPECT_EQ(SKY_CRASH_REFUSED, Admit(VARIANT));
    Advance(3000);
    is_tester = true;
    EXPECT_EQ(SKY_CRASH_TRIAL, Admit(VARIANT));
}

// Earlier builds read the time with strtoull(), and keep the record.
TEST(CrashValue, IsReadBackAndStartsWithTheTime)
{
    char text[SKY_CRASH_VALUE_BYTES];
    for (bool is_acquitted : {false, true}) {
        sky_crash_value_t written = {UINT64_MAX, is_acquitted};
        SkyCrash_FormatValue(&written, text);
        sky_crash_value_t read = SkyCrash_ParseValue(text);
        EXPECT_EQ(written.confirmed_wall_ms, read.confirmed_wall_ms);
        EXPECT_EQ(is_acquitted, read.is_acquitted);
        EXPECT_EQ(UINT64_MAX, strtoull(text, nullptr, 10));
    }
    EXPECT_FALSE(SkyCrash_ParseValue("").is_acquitted);
}

TEST(CrashKey, IsReadBack)
{
    char key[SKY_CRASH_KEY_BYTES];
    sky_rec_crash_t written = {UINT64_MAX, UINT64_MAX, UINT32_MAX};
    sky_rec_crash_t read = {};
    SkyCrash_FormatKey(&written, key);
    ASSERT_TRUE(SkyCrash_ParseKey(key, &read));
    EXPECT_EQ(written.fingerprint, read.fingerprint);
    EXPECT_EQ(written.epoch, read.epoch);
    EXPECT_EQ(written.target, read.target);
    EXPECT_FALSE(SkyCrash_ParseKey("config", &read));
}

} // namespace
