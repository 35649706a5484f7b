// Streams at targets of two software versions, replayed on a clock of the
// test: one host, then eight hosts under load, of which some are lost.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decide/stream_versions.h"

namespace {

constexpr uint64_t RETENTION_MS = 60000;
constexpr uint64_t INTRODUCTION_MS = 2800;
constexpr uint64_t HOUR_MS = 3600000;

sky_stream_version_t
MakeStream(uint64_t id, const char *software)
{
    sky_stream_version_t stream = {};
    stream.stream = id;
    snprintf(stream.service, sizeof stream.service, "llm");
    snprintf(stream.software, sizeof stream.software, "%s", software);
    return stream;
}

sky_resume_answers_t
MakeAnswers(bool know_mixed, bool has_heard, bool has_newer_list)
{
    sky_resume_answers_t answers = {};
    answers.have_answered = true;
    answers.know_mixed = know_mixed;
    answers.has_heard = has_heard;
    answers.has_newer_list = has_newer_list;
    return answers;
}

class StreamVersions : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        sky_stream_versions_options_t options = {RETENTION_MS, 100,
                                                 INTRODUCTION_MS};
        ASSERT_EQ(SKY_OK, SkyStreamVersions_Create(&options, &versions));
        SkyStreamVersions_SetHistoryKnown(versions);
    }

    void
    TearDown() override
    {
        SkyStreamVersions_Free(versions);
    }

    // A target of a version that has been in use for long is in the list.
    void
    See(const char *software)
    {
        SkySoftwareRollout_RecordTarget(SkyStreamVersions_GetRollout(versions),
                                        "llm", software, HOUR_MS, now_ms);
    }

    // The list is whole, as of so long ago.
    void
    ReadList(uint64_t age_ms = 0)
    {
        SkySoftwareRollout_RecordListEnd(
            SkyStreamVersions_GetRollout(versions), now_ms - age_ms);
    }

    void
    Begin(uint64_t id, const char *software)
    {
        sky_stream_version_t stream = MakeStream(id, software);
        SkyStreamVersions_RecordStream(versions, &stream, true, now_ms);
    }

    sky_resume_t
    Decide(uint64_t id, sky_resume_answers_t answers = {})
    {
        return SkyStreamVersions_Decide(versions, "llm", id, &answers, now_ms);
    }

    // Loses all records; the clock starts anew.
    void
    Restart(uint64_t down_ms)
    {
        sky_stream_versions_options_t options = {RETENTION_MS, 100,
                                                 INTRODUCTION_MS};
        SkyStreamVersions_Free(versions);
        ASSERT_EQ(SKY_OK, SkyStreamVersions_Create(&options, &versions));
        now_ms = 50 + down_ms;
    }

    void
    Apply(const sky_version_history_t &history)
    {
        SkyStreamVersions_ApplyHistory(versions, "llm", &history, now_ms);
        SkyStreamVersions_SetHistoryKnown(versions);
    }

    std::vector<uint64_t>
    TakeUntold()
    {
        std::vector<uint64_t> ids;
        SkyStreamVersions_TakeUntold(
            versions, now_ms,
            [](const sky_stream_version_t *stream, void *context) {
                static_cast<std::vector<uint64_t> *>(context)->push_back(
                    stream->stream);
            },
            &ids);
        return ids;
    }

    sky_stream_versions_t *versions = nullptr;
    uint64_t now_ms = 1000000;
};

TEST_F(StreamVersions, AStreamGoesOnAtTheVersionThatBeganIt)
{
    See("v1");
    See("v2");
    Begin(7, "v2");
    sky_resume_t resume = Decide(7);
    EXPECT_EQ(SKY_RESUME_AT_SOFTWARE, resume.kind);
    EXPECT_STREQ("v2", resume.software);
}

TEST_F(StreamVersions, TheFirstRecordOfAStreamCounts)
{
    Begin(7, "v1");
    Begin(7, "v2");
    EXPECT_STREQ("v1", Decide(7).software);
}

// A host that was cut off from the others did not know of the targets of a new
// version yet, and took a stream up that had begun there at the old one
// (ORDER).
TEST_F(StreamVersions, AHostThatNobodyAnswersReadsTheListFirst)
{
    See("v1");
    ReadList(10000);
    EXPECT_EQ(SKY_RESUME_READ_LIST,
              Decide(7, MakeAnswers(false, false, false)).kind);
    EXPECT_STREQ("v1", Decide(7, MakeAnswers(false, false, true)).software);
    See("v2"); // in the list that it read
    EXPECT_EQ(SKY_RESUME_REFUSED,
              Decide(7, MakeAnswers(false, false, true)).kind);
}

TEST_F(StreamVersions, WithOneVersionAnUnknownStreamGoesOnThere)
{
    See("v1");
    ReadList();
    EXPECT_EQ(SKY_RESUME_ASK_OTHERS, Decide(7).kind);
    sky_resume_t resume = Decide(7, MakeAnswers(false, true, false));
    ASSERT_EQ(SKY_RESUME_AT_SOFTWARE, resume.kind);
    EXPECT_STREQ("v1", resume.software);
}

TEST_F(StreamVersions, AVersionThatOnlyAnotherHostHasSeenCounts)
{
    See("v1");
    ReadList();
    EXPECT_EQ(SKY_RESUME_REFUSED,
              Decide(7, MakeAnswers(true, true, false)).kind);
}

TEST_F(StreamVersions, AnUnknownStreamIsNotGuessed)
{
    See("v1");
    See("v2");
    EXPECT_EQ(SKY_RESUME_ASK_OTHERS, Decide(7).kind);
    EXPECT_EQ(SKY_RESUME_REFUSED,
              Decide(7, MakeAnswers(false, true, false)).kind);
}

TEST_F(StreamVersions, AVersionThatIsGoneCountsForAsLongAsItsStreamsCanLast)
{
    See("v1");
    now_ms += RETENTION_MS - 1;
    See("v2");
    EXPECT_EQ(SKY_RESUME_REFUSED,
              Decide(7, MakeAnswers(false, true, false)).kind);
    now_ms += 2;
    See("v2");
    ReadList();
    EXPECT_STREQ("v2", Decide(7, MakeAnswers(false, true, false)).software);
}

TEST_F(StreamVersions, OthersAreToldOnceOfStreamsOfSeveralVersionsOnly)
{
    See("v1");
    Begin(7, "v1");
    EXPECT_TRUE(TakeUntold().empty());
    See("v2");
    EXPECT_EQ(std::vector<uint64_t>{7}, TakeUntold());
    EXPECT_TRUE(TakeUntold().empty());
    Begin(8, "v2");
    EXPECT_EQ(std::vector<uint64_t>{8}, TakeUntold());
}

TEST_F(StreamVersions, TheNewestRecordsAreKept)
{
    See("v1");
    See("v2");
    for (uint64_t id = 1; id <= 101; id++) {
        Begin(id, "v1");
    }
    EXPECT_EQ(SKY_RESUME_ASK_OTHERS, Decide(1).kind);
    EXPECT_EQ(SKY_RESUME_AT_SOFTWARE, Decide(101).kind);
    now_ms += RETENTION_MS + 1;
    See("v1");
    See("v2");
    EXPECT_EQ(SKY_RESUME_ASK_OTHERS, Decide(101).kind);
}

TEST_F(StreamVersions, ServicesAreApart)
{
    SkySoftwareRollout_RecordTarget(SkyStreamVersions_GetRollout(versions),
                                    "app", "v9", HOUR_MS, now_ms);
    See("v1");
    EXPECT_FALSE(SkyStreamVersions_IsMixed(versions, "llm", now_ms));
}

// Guards against streams joined from two versions after all hosts have been
// restarted, while the targets of the first version have just left.
TEST_F(StreamVersions, AfterARestartOfAllHostsAnUnknownStreamIsNotGuessed)
{
    sky_version_history_t kept;
    See("v1");
    now_ms += 1000;
    See("v1");
    See("v2");
    ASSERT_TRUE(SkyStreamVersions_GetHistory(versions, "llm", now_ms, &kept));
    for (uint64_t down_ms : {0, 2000, 40000}) {
        Restart(down_ms);
        See("v2");
        EXPECT_EQ(SKY_RESUME_REFUSED,
                  Decide(7, MakeAnswers(false, true, false)).kind);
        kept.mixed_age_ms += down_ms;
        Apply(kept);
        EXPECT_EQ(SKY_RESUME_REFUSED,
                  Decide(7, MakeAnswers(false, true, false)).kind);
    }
    Restart(RETENTION_MS);
    kept.mixed_age_ms += RETENTION_MS;
    See("v2");
    ReadList();
    Apply({kept.mixed_age_ms, "v2"});
    EXPECT_STREQ("v2", Decide(7, MakeAnswers(false, true, false)).software);
}

TEST_F(StreamVersions, AfterARestartWithOneVersionAnUnknownStreamGoesOn)
{
    sky_version_history_t kept;
    See("v1");
    ASSERT_TRUE(SkyStreamVersions_GetHistory(versions, "llm", now_ms, &kept));
    EXPECT_EQ(UINT64_MAX, kept.mixed_age_ms);
    Restart(1000);
    See("v1");
    ReadList();
    EXPECT_EQ(SKY_RESUME_REFUSED,
              Decide(7, MakeAnswers(false, true, false)).kind);
    Apply(kept);
    EXPECT_STREQ("v1", Decide(7, MakeAnswers(false, true, false)).software);
}

// Guards against streams joined by a record of another one: callers that do
// not name the request that began theirs all have the same name.
TEST_F(StreamVersions, StreamsWithoutANameShareNoRecord)
{
    Begin(SKY_STREAM_UNNAMED, "v1");
    See("v1");
    See("v2");
    EXPECT_EQ(
        SKY_RESUME_REFUSED,
        Decide(SKY_STREAM_UNNAMED, MakeAnswers(false, true, false)).kind);
}

// Guards against streams joined on a route that is split among services.
TEST_F(StreamVersions, ARecordOfAnotherServiceDoesNotCount)
{
    Begin(7, "v1");
    See("v1");
    ReadList();
    sky_resume_answers_t answers = MakeAnswers(false, true, false);
    EXPECT_EQ(
        SKY_RESUME_REFUSED,
        SkyStreamVersions_Decide(versions, "app", 7, &answers, now_ms).kind);
}

// Guards against streams joined by a list that stands still while the store is
// unreachable, though another host knows better.
TEST_F(StreamVersions, AnOldListDoesNotGoBeforeTheWordOfAnotherHost)
{
    See("v1");
    ReadList(10000);
    sky_resume_answers_t answers = MakeAnswers(false, true, false);
    answers.is_store_unreachable = true;
    EXPECT_STREQ("v1", Decide(7, answers).software);
    answers.has_only_version = true;
    snprintf(answers.only_version, sizeof answers.only_version, "v2");
    EXPECT_STREQ("v2", Decide(7, answers).software);
    ReadList();
    EXPECT_EQ(SKY_RESUME_REFUSED, Decide(7, answers).kind);
}

// The store was unreachable while the version changed.
TEST_F(StreamVersions, AVersionThatIsNotTheKeptOneCountsAsASecond)
{
    Restart(1000);
    See("v2");
    for (uint32_t i = 0; i < 10; i++) {
        Apply({UINT64_MAX, "v1"});
        EXPECT_EQ(SKY_RESUME_REFUSED,
                  Decide(7, MakeAnswers(false, true, false)).kind);
        now_ms += 1000;
        See("v2");
    }
    now_ms += RETENTION_MS;
    See("v2");
    ReadList();
    Apply({UINT64_MAX, "v1"});
    EXPECT_STREQ("v2", Decide(7, MakeAnswers(false, true, false)).software);
}

TEST_F(StreamVersions, TheStoreGetsAChangeOfVersionsAndLittleElse)
{
    uint32_t writes = 0;
    sky_version_history_t stored = {};
    sky_version_history_t current;
    for (uint32_t second = 0; second < 300; second++, now_ms += 1000) {
        if (second < 130) {
            See("v1");
        }
        if (second >= 100) {
            See("v2");
        }
        ASSERT_TRUE(
            SkyStreamVersions_GetHistory(versions, "llm", now_ms, &current));
        stored.mixed_age_ms +=
            stored.mixed_age_ms != UINT64_MAX && writes > 0 ? 1000 : 0;
        if (writes == 0 || SkyVersionHistory_IsOutdated(&stored, &current)) {
            stored = current;
            writes++;
        }
    }
    EXPECT_EQ("v2", std::string(stored.software));
    EXPECT_LE(writes, 10u); // 30 s with both, kept to within 5 s
}

TEST_F(StreamVersions, AHistoryIsReadAsItWasWritten)
{
    char value[SKY_VERSION_HISTORY_VALUE_BYTES];
    sky_version_history_t read;
    for (uint64_t age_ms : {uint64_t{0}, uint64_t{1500}, UINT64_MAX}) {
        sky_version_history_t written = {age_ms, "v1.2 beta"};
        SkyVersionHistory_FormatValue(&written, 1700000000000, value);
        ASSERT_TRUE(SkyVersionHistory_ParseValue(value, 1700000000000, &read));
        EXPECT_EQ(age_ms, read.mixed_age_ms);
        EXPECT_STREQ("v1.2 beta", read.software);
        // The clock of the host that reads may be behind.
        ASSERT_TRUE(SkyVersionHistory_ParseValue(value, 1600000000000, &read));
        EXPECT_EQ(age_ms == UINT64_MAX ? UINT64_MAX : 0, read.mixed_age_ms);
    }
    for (const char *malformed : {"", "1", "x 2 v1", "1 y v1"}) {
        EXPECT_FALSE(SkyVersionHistory_ParseValue(malformed, 1, &read))
            << malformed;
    }
    std::string too_long = "1 2 " + std::string(500, 'v');
    EXPECT_FALSE(SkyVersionHistory_ParseValue(too_long.c_str(), 1, &read));
}

// A newer version has just joined one that has been in use for long.
class StreamVersionsIntroduction : public StreamVersions {
  protected:
    void
    SetUp() override
    {
        StreamVersions::SetUp();
        ReadAt(T0_MS - 300, {"v1"}, HOUR_MS);
    }

    void
    ReadAt(uint64_t read_ms, std::initializer_list<const char *> listed,
           uint64_t age_ms = 0)
    {
        now_ms = read_ms;
        for (const char *software : listed) {
            SkySoftwareRollout_RecordTarget(
                SkyStreamVersions_GetRollout(versions), "llm", software,
                age_ms, now_ms);
        }
        ReadList();
    }

    sky_resume_t
    DecideAt(uint64_t at_ms, bool is_store_unreachable = false)
    {
        sky_resume_answers_t answers = MakeAnswers(false, true, false);
        answers.is_store_unreachable = is_store_unreachable;
        now_ms = at_ms;
        return Decide(7, answers);
    }

    static constexpr uint64_t T0_MS = 10000000;
};

// Guards against streams joined by a host that has not heard of the version.
TEST_F(StreamVersionsIntroduction, NoStreamBeginsAtTheNewVersion)
{
    const sky_software_rollout_t *rollout =
        SkyStreamVersions_GetRollout(versions);
    ReadAt(T0_MS, {"v1", "v2"});
    EXPECT_TRUE(SkySoftwareRollout_MayBegin(rollout, "llm", "v1", T0_MS));
    EXPECT_FALSE(SkySoftwareRollout_MayBegin(rollout, "llm", "v2",
                                             T0_MS + INTRODUCTION_MS - 1));
    EXPECT_TRUE(SkySoftwareRollout_MayBegin(rollout, "llm", "v2",
                                            T0_MS + INTRODUCTION_MS));
}

// Guards against refusing what began before the version was listed.
TEST_F(StreamVersionsIntroduction, AStreamWithoutARecordIsOfTheOlderVersion)
{
    ReadAt(T0_MS, {"v1", "v2"});
    ReadAt(T0_MS + 2000, {"v1", "v2"});
    sky_resume_t resume = DecideAt(T0_MS - 300 + INTRODUCTION_MS - 1);
    ASSERT_EQ(SKY_RESUME_AT_SOFTWARE, resume.kind);
    EXPECT_STREQ("v1", resume.software);
    EXPECT_EQ(SKY_RESUME_REFUSED,
              DecideAt(T0_MS - 300 + INTRODUCTION_MS).kind);
}

// Guards against streams joined by a host whose list stands still.
TEST_F(StreamVersionsIntroduction, AListOlderThanTheIntroductionIsReadAnew)
{
    uint64_t old_ms = T0_MS - 300 + INTRODUCTION_MS;
    EXPECT_EQ(SKY_RESUME_AT_SOFTWARE, DecideAt(old_ms - 1).kind);
    EXPECT_EQ(SKY_RESUME_READ_LIST, DecideAt(old_ms).kind);
    EXPECT_EQ(SKY_RESUME_AT_SOFTWARE, DecideAt(old_ms, true).kind);
}

// Guards against streams that are known to nobody once their host is lost.
TEST_F(StreamVersionsIntroduction, OthersAreToldFromTheFirstListingOn)
{
    Begin(7, "v1");
    EXPECT_TRUE(TakeUntold().empty());
    ReadAt(T0_MS, {"v1", "v2"});
    EXPECT_EQ(std::vector<uint64_t>{7}, TakeUntold());
}

// Guards against a stream of the newer version that is taken for an older one
// because the introduction is not over.
TEST_F(StreamVersionsIntroduction, AStreamThatBeganAllTheSameEndsIt)
{
    ReadAt(T0_MS, {"v1", "v2"});
    Begin(8, "v2");
    EXPECT_EQ(SKY_RESUME_REFUSED, DecideAt(T0_MS + 100).kind);
}

// Guards against refusing streams at a host that has just started.
TEST_F(StreamVersionsIntroduction, AHostThatCannotTellTakesTheWordOfOneThatCan)
{
    Restart(0);
    See("v1");
    ReadList();
    sky_resume_answers_t answers = MakeAnswers(false, true, false);
    EXPECT_EQ(SKY_RESUME_REFUSED, Decide(7, answers).kind);
    answers.has_only_version = true;
    snprintf(answers.only_version, sizeof answers.only_version, "v1");
    EXPECT_STREQ("v1", Decide(7, answers).software);
}

// Eight hosts under load: streams begin at targets of both versions, break,
// and are taken up at other hosts. Each record is told to three hosts, a
// moment later; three hosts are lost at once.
TEST(StreamVersionsUnderLoad, StreamsGoOnAtTheirVersionAlsoWhenHostsAreLost)
{
    constexpr uint32_t HOSTS = 8;
    constexpr uint32_t KEEPERS = 3;
    for (uint32_t seed = 1; seed <= 30; seed++) {
        std::mt19937 random(seed);
        uint64_t now_ms = 1000000;
        std::vector<sky_stream_versions_t *> hosts(HOSTS);
        sky_stream_versions_options_t options = {RETENTION_MS, 10000,
                                                 INTRODUCTION_MS};
        for (auto &host : hosts) {
            ASSERT_EQ(SKY_OK, SkyStreamVersions_Create(&options, &host));
        }
        std::map<uint64_t, const char *> begun;
        std::vector<bool> is_lost(HOSTS);
        uint32_t mixed = 0;
        uint32_t gone_on = 0;
        uint32_t taken_up = 0;
        for (uint64_t id = 1; id <= 4000; id++, now_ms += 5) {
            const char *software = random() % 3 == 0 ? "v2" : "v1";
            uint32_t at = random() % HOSTS;
            if (id == 2000) {
                is_lost[1] = is_lost[4] = is_lost[6] = true;
            }
            if (is_lost[at]) {
                continue;
            }
            for (auto *host : hosts) {
                sky_software_rollout_t *rollout =
                    SkyStreamVersions_GetRollout(host);
                for (const char *listed : {"v1", "v2"}) {
                    SkySoftwareRollout_RecordTarget(rollout, "llm", listed,
                                                    HOUR_MS, now_ms);
                }
            }
            sky_stream_version_t stream = MakeStream(id, software);
            SkyStreamVersions_RecordStream(hosts[at], &stream, true, now_ms);
            for (uint32_t i = 0; i < KEEPERS; i++) {
                SkyStreamVersions_RecordStream(hosts[(id * 7 + i * 3) % HOSTS],
                                               &stream, false, now_ms);
            }
            begun[id] = software;
            uint64_t old = id > 200 ? id - random() % 200 : 0;
            uint32_t taker = random() % HOSTS;
            if (begun.count(old) == 0 || is_lost[taker]) {
                continue;
            }
            taken_up++;
            sky_resume_answers_t answers = {};
            sky_resume_t resume = SkyStreamVersions_Decide(
                hosts[taker], "llm", old, &answers, now_ms);
            if (resume.kind == SKY_RESUME_ASK_OTHERS) {
                answers.have_answered = true;
                for (uint32_t i = 0; i < HOSTS; i++) {
                    const char *known =
                        is_lost[i] ? nullptr
                                   : SkyStreamVersions_FindStream(hosts[i],
                                                                  old, now_ms);
                    if (known != nullptr) {
                        resume = {SKY_RESUME_AT_SOFTWARE, known};
                    }
                }
            }
            gone_on += resume.kind == SKY_RESUME_AT_SOFTWARE;
            mixed += resume.kind == SKY_RESUME_AT_SOFTWARE &&
                     std::string(resume.software) != begun[old];
        }
        EXPECT_LE(mixed, 2u) << "seed " << seed;
        EXPECT_GT(taken_up, 1000u) << "seed " << seed;
        EXPECT_GE(2 * gone_on, taken_up) << "seed " << seed;
        for (auto *host : hosts) {
            SkyStreamVersions_Free(host);
        }
    }
}

} // namespace
