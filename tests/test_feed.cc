// Records of the store that one host passes to another. The event loop does
// not run, so no feed reads the store.
#include <gtest/gtest.h>

#include <ev.h>
#include <jansson.h>
#include <sodium.h>

#include <cstring>
#include <string>

#include "core/clock.h"
#include "edge/feed.h"

namespace {

class FeedTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        loop = ev_loop_new(0);
        sky_fleet_options_t options = {"zone-a", 5000, 3000};
        ASSERT_EQ(SKY_OK, SkyFleet_Create(&options, &directory.fleet));
        reader = Create();
        follower = Create();
    }

    void
    TearDown() override
    {
        SkyFeed_Free(reader);
        SkyFeed_Free(follower);
        SkyFleet_Free(directory.fleet);
        ev_loop_destroy(loop);
    }

    sky_feed_t *
    Create()
    {
        sky_feed_options_t options = {};
        options.loop = loop;
        options.directory = &directory;
        options.settings = &settings;
        options.start = &start;
        options.on_change = [](void *, sky_feed_topic_t) {};
        sky_feed_t *feed = nullptr;
        EXPECT_EQ(SKY_OK, SkyFeed_Create(&options, &feed));
        return feed;
    }

    // Puts a feed into the state after a read of the target topic that ended
    // before offset `next`, `age_ms` ago.
    static void
    SimulateRead(sky_feed_t *feed, json_int_t next, json_int_t age_ms,
                 json_int_t era = 0)
    {
        json_t *records = json_pack("{s:I, s:I, s:I, s:[]}", "era", era,
                                    "next", next, "age_ms", age_ms, "records");
        EXPECT_EQ(SKY_OK, SkyFeed_ApplyRecords(feed, SKY_FEED_TARGETS, records,
                                               SkyClock_NowMs(), 0));
        json_decref(records);
    }

    // Applies an update with one target's entry; no entry deletes it.
    static void
    ApplyEntry(sky_feed_t *feed, json_int_t era, json_int_t next,
               const char *state)
    {
        char text[240];
        snprintf(text, sizeof text,
                 "{\"service\":\"app\",\"addr\":\"127.0.0.1:1\",\"zone\":"
                 "\"z\",\"version\":\"v\",\"slots\":6,\"state\":\"%s\","
                 "\"coldLeftMs\":0,\"seq\":1,\"born\":1}",
                 state ? state : "");
        char value[400] = "";
        if (state != nullptr) {
            sodium_bin2base64(value, sizeof value,
                              reinterpret_cast<unsigned char *>(text),
                              strlen(text), sodium_base64_VARIANT_ORIGINAL);
        }
        json_t *update =
            json_pack("{s:I, s:I, s:I, s:[[s,s,b,I]]}", "era", era, "next",
                      next, "age_ms", json_int_t{10}, "records", "i-1", value,
                      state == nullptr, next - 1);
        EXPECT_EQ(SKY_OK, SkyFeed_ApplyRecords(feed, SKY_FEED_TARGETS, update,
                                               SkyClock_NowMs(), 0));
        json_decref(update);
    }

    const sky_fleet_target_t *
    Target()
    {
        SkyFleet_Tick(directory.fleet, SkyClock_NowMs() + 10000);
        return SkyFleet_FindTarget(directory.fleet, "i-1");
    }

    struct ev_loop *loop = nullptr;
    sky_directory_t directory = {};
    sky_host_settings_t settings = {};
    sky_start_reads_t start = {};
    sky_feed_t *reader = nullptr;
    sky_feed_t *follower = nullptr;
};

TEST_F(FeedTest, EncodesNothingBeforeTheTopicIsRead)
{
    sky_feed_position_t start = {};
    EXPECT_EQ(nullptr,
              SkyFeed_EncodeRecords(reader, SKY_FEED_TARGETS, &start, true));
}

// A follower that had read the store itself knew newer records than its
// reader. The reader then sent no age, so the follower considered its
// records stale and read the store again. In a large deployment this caused 60
// reads a second for as long as entries changed.
TEST_F(FeedTest, EncodesTheAgeForAPeerWithNewerRecords)
{
    SimulateRead(reader, 10, 40);
    SimulateRead(follower, 12, 900);
    sky_feed_position_t position =
        SkyFeed_GetPosition(follower, SKY_FEED_TARGETS);
    json_t *update =
        SkyFeed_EncodeRecords(reader, SKY_FEED_TARGETS, &position, true);
    ASSERT_NE(nullptr, update);
    EXPECT_EQ(0u, json_array_size(json_object_get(update, "records")));
    EXPECT_EQ(SKY_OK, SkyFeed_ApplyRecords(follower, SKY_FEED_TARGETS, update,
                                           SkyClock_NowMs(), 0));
    EXPECT_EQ(12u,
              SkyFeed_GetPosition(follower, SKY_FEED_TARGETS).next_offset);
    json_decref(update);
}

// Guards against offsets of a lost history that hide the records of the new
// one.
TEST_F(FeedTest, ARecordAtAnOffsetThatIsGivenOutAgainIsApplied)
{
    ApplyEntry(follower, 1, 20, "ready");
    ApplyEntry(follower, 2, 5, "draining");
    ASSERT_NE(nullptr, Target());
    EXPECT_EQ(SKY_TARGET_LEAVING, Target()->entry.state);
    sky_feed_position_t position =
        SkyFeed_GetPosition(follower, SKY_FEED_TARGETS);
    EXPECT_EQ(2u, position.era);
    EXPECT_EQ(5u, position.next_offset);
}

TEST_F(FeedTest, AnUpdateOfAnEarlierEraChangesNothing)
{
    ApplyEntry(follower, 2, 5, "ready");
    ApplyEntry(follower, 1, 20, "draining");
    EXPECT_EQ(SKY_TARGET_READY, Target()->entry.state);
    EXPECT_EQ(5u, SkyFeed_GetPosition(follower, SKY_FEED_TARGETS).next_offset);
}

TEST_F(FeedTest, AKeyThatTheNewEraLacksIsDeleted)
{
    ApplyEntry(follower, 1, 20, "ready");
    json_t *update =
        json_pack("{s:I, s:I, s:I, s:[]}", "era", json_int_t{2}, "next",
                  json_int_t{0}, "age_ms", json_int_t{10}, "records");
    EXPECT_EQ(SKY_OK, SkyFeed_ApplyRecords(follower, SKY_FEED_TARGETS, update,
                                           SkyClock_NowMs(), 0));
    json_decref(update);
    EXPECT_EQ(nullptr, Target());
}

// Guards against requests to a target whose leaving the store has lost.
TEST_F(FeedTest, ATargetThatLeftReturnsOnlyWithAnEntryOfTheNewEra)
{
    ApplyEntry(follower, 1, 20, "ready");
    ApplyEntry(follower, 1, 21, nullptr);
    EXPECT_EQ(nullptr, Target());
    ApplyEntry(follower, 2, 20, "ready"); // as it was before
    EXPECT_EQ(nullptr, Target());
    ApplyEntry(follower, 2, 21, "ready"); // written since
    EXPECT_NE(nullptr, Target());
}

TEST_F(FeedTest, EncodesAllRecordsForAPeerOfAnEarlierEra)
{
    ApplyEntry(reader, 2, 5, "ready");
    sky_feed_position_t earlier = {1, 20};
    sky_feed_position_t later = {3, 1};
    EXPECT_TRUE(SkyFeed_IsAhead(reader, SKY_FEED_TARGETS, &earlier));
    EXPECT_FALSE(SkyFeed_IsAhead(reader, SKY_FEED_TARGETS, &later));
    json_t *update =
        SkyFeed_EncodeRecords(reader, SKY_FEED_TARGETS, &earlier, true);
    ASSERT_NE(nullptr, update);
    EXPECT_EQ(1u, json_array_size(json_object_get(update, "records")));
    json_decref(update);
    EXPECT_EQ(nullptr,
              SkyFeed_EncodeRecords(reader, SKY_FEED_TARGETS, &later, true));
}

// A host that restarted knows which keys are left, not which ones were deleted
// before. One that had missed a deletion learned the offset after it from that
// host, but not the deletion, and sent requests to a target that had left.
TEST_F(FeedTest, ADeletionBeforeThePeersStartIsNotMissed)
{
    ApplyEntry(follower, 1, 20, "ready");
    SimulateRead(follower, 25, 10, 1);
    ASSERT_NE(nullptr, Target());
    SimulateRead(reader, 30, 10, 1); // a snapshot without the target
    sky_feed_position_t position =
        SkyFeed_GetPosition(follower, SKY_FEED_TARGETS);
    json_t *update =
        SkyFeed_EncodeRecords(reader, SKY_FEED_TARGETS, &position, true);
    ASSERT_NE(nullptr, update);
    EXPECT_EQ(SKY_OK, SkyFeed_ApplyRecords(follower, SKY_FEED_TARGETS, update,
                                           SkyClock_NowMs(), 0));
    EXPECT_EQ(nullptr, Target());
    EXPECT_EQ(30u,
              SkyFeed_GetPosition(follower, SKY_FEED_TARGETS).next_offset);
    json_decref(update);
}

// Guards against entries that are refused without a trace, and against those
// of another writer that fill the log.
TEST_F(FeedTest, LogsWhichEntryWasRefusedForWhichField)
{
    ApplyEntry(reader, 1, 20, "ready");
    testing::internal::CaptureStderr();
    uint64_t began_ms = SkyClock_NowMs();
    for (json_int_t i = 0; i < 400; i++) {
        ApplyEntry(reader, 1, 21 + i, "new");
    }
    std::string log = testing::internal::GetCapturedStderr();
    EXPECT_NE(std::string::npos,
              log.find("event=target_entry_ignored target=i-1 reason=invalid "
                       "field=state"))
        << log;
    size_t lines = 0;
    for (size_t at = log.find("target_entry_ignored"); at != std::string::npos;
         at = log.find("target_entry_ignored", at + 1)) {
        lines++;
    }
    uint64_t seconds = (SkyClock_NowMs() - began_ms) / 1000 + 2; // touched
    EXPECT_LE(lines, 10 * seconds);
    EXPECT_NE(nullptr, Target());
}

// Applies a configuration as a peer relays it, with a proof of this age.
void
ApplyConfig(sky_feed_t *feed, json_int_t era, json_int_t next,
            const std::string &text, json_int_t proof_age_ms)
{
    std::string value(text.size() * 2 + 10, '\0');
    sodium_bin2base64(&value[0], value.size(),
                      reinterpret_cast<const unsigned char *>(text.data()),
                      text.size(), sodium_base64_VARIANT_ORIGINAL);
    json_t *update =
        json_pack("{s:I, s:I, s:I, s:I, s:[[s,s,b,I]]}", "era", era, "next",
                  next, "age_ms", json_int_t{10}, "proof_age_ms", proof_age_ms,
                  "records", "config", value.c_str(), 0, next - 1);
    SkyFeed_ApplyRecords(feed, SKY_FEED_OPERATOR, update, SkyClock_NowMs(),
                         SkyClock_BootMs());
    json_decref(update);
}

class ProofTest : public FeedTest {
  protected:
    void
    SetUp() override
    {
        settings.bounds.revocation_ms = 5000;
        FeedTest::SetUp();
    }

    void
    TearDown() override
    {
        FeedTest::TearDown();
        SkyDeployment_Release(directory.deployment);
    }

    // What the reader sends to a peer that knows nothing.
    json_t *
    Encode()
    {
        sky_feed_position_t start = {};
        return SkyFeed_EncodeRecords(reader, SKY_FEED_OPERATOR, &start, true);
    }

    static std::string
    Config(int version, const char *key)
    {
        return "{\"version\":" + std::to_string(version) +
               ",\"tenants\":[{\"name\":\"w\",\"apiKeys\":[\"" + key +
               "\"]}]}";
    }

    bool
    Opens(const char *key)
    {
        sky_key_digest_t digest = SkyWorkspaces_HashKey(key);
        return SkyWorkspaces_FindByKey(directory.deployment->workspaces,
                                       &digest) != nullptr;
    }
};

TEST_F(ProofTest, ARelayedProofIsAsOldAsThatOfTheReader)
{
    EXPECT_FALSE(SkyFeed_IsConfigProven(reader));
    ApplyConfig(reader, 1, 5, Config(1, "k"), 4600);
    EXPECT_TRUE(SkyFeed_IsConfigProven(reader));
    json_t *update = Encode();
    EXPECT_GE(json_integer_value(json_object_get(update, "proof_age_ms")),
              4600);
    EXPECT_EQ(SKY_OK,
              SkyFeed_ApplyRecords(follower, SKY_FEED_OPERATOR, update,
                                   SkyClock_NowMs(), SkyClock_BootMs() - 200));
    EXPECT_FALSE(SkyFeed_IsConfigProven(follower));
    json_decref(update);
    ApplyConfig(follower, 1, 5, Config(1, "k"), 4700);
    EXPECT_FALSE(SkyFeed_IsConfigProven(follower));
    ApplyConfig(follower, 1, 5, Config(1, "k"), -1);
    EXPECT_FALSE(SkyFeed_IsConfigProven(follower));
}

// An update of an earlier era, or one that could not be applied, proves
// nothing of the records in force.
TEST_F(ProofTest, RecordsThatWereNotAppliedProveNothing)
{
    ApplyConfig(reader, 2, 5, Config(1, "k"), 4900);
    ApplyConfig(reader, 1, 9, Config(2, "k"), 0);
    EXPECT_FALSE(SkyFeed_IsConfigProven(reader));
    json_t *update =
        json_pack("{s:I, s:I, s:I, s:I, s:[[s,i]]}", "era", json_int_t{2},
                  "next", json_int_t{9}, "age_ms", json_int_t{1},
                  "proof_age_ms", json_int_t{0}, "records", "config", 7);
    EXPECT_EQ(SKY_E_BAD_REQUEST,
              SkyFeed_ApplyRecords(reader, SKY_FEED_OPERATOR, update,
                                   SkyClock_NowMs(), SkyClock_BootMs()));
    EXPECT_FALSE(SkyFeed_IsConfigProven(reader));
    json_decref(update);
}

// The host went on by the configuration before, and told others that it was
// the newest one.
TEST_F(ProofTest, AnUnreadableConfigurationEndsTheProof)
{
    ApplyConfig(reader, 1, 5, Config(1, "k"), 0);
    ApplyConfig(reader, 1, 6, "{", 0);
    EXPECT_FALSE(SkyFeed_IsConfigProven(reader));
    json_t *update = Encode();
    EXPECT_EQ(nullptr, json_object_get(update, "proof_age_ms"));
    json_decref(update);
    // The operator writes again what was in force.
    ApplyConfig(reader, 1, 7, Config(1, "k"), 0);
    EXPECT_TRUE(SkyFeed_IsConfigProven(reader));
}

// Guards against keys that become ordinary fields, which targets get, when a
// configuration no longer lists workspaces.
TEST_F(ProofTest, KeysThatWereInUseStayRefused)
{
    auto apply = [&](int version, const char *tenants) {
        testing::internal::CaptureStderr();
        ApplyConfig(reader, 1, version,
                    "{\"version\":" + std::to_string(version) + tenants + "}",
                    0);
        std::string log = testing::internal::GetCapturedStderr();
        return log.find("event=access_opened") != std::string::npos;
    };
    EXPECT_FALSE(apply(1, ""));
    EXPECT_EQ(SKY_ACCESS_OPEN, directory.deployment->access);
    EXPECT_FALSE(apply(2, R"(,"tenants":[{"name":"w","apiKeys":["k"]}])"));
    EXPECT_EQ(SKY_ACCESS_KEYS, directory.deployment->access);
    EXPECT_TRUE(apply(3, ""));
    EXPECT_EQ(SKY_ACCESS_ANONYMOUS, directory.deployment->access);
    EXPECT_FALSE(apply(4, ""));
    EXPECT_EQ(SKY_ACCESS_ANONYMOUS, directory.deployment->access);
    EXPECT_FALSE(apply(5, R"(,"tenants":[])"));
    EXPECT_EQ(SKY_ACCESS_KEYS, directory.deployment->access);
    EXPECT_TRUE(apply(6, ""));
    EXPECT_FALSE(apply(7, R"(,"tenants":7)"));
    EXPECT_EQ(SKY_ACCESS_UNREADABLE, directory.deployment->access);
}

// Guards against a host that starts with a configuration without workspaces
// and takes keys for ordinary fields; and against a reload that makes them so.
TEST_F(ProofTest, SettingsThatTellOfKeysOutlastARestart)
{
    ApplyConfig(reader, 1, 5, R"({"version":3})", 0);
    EXPECT_EQ(SKY_ACCESS_OPEN, directory.deployment->access);
    settings.has_key_rules = true;
    SkyFeed_HandleReload(reader);
    EXPECT_EQ(SKY_ACCESS_ANONYMOUS, directory.deployment->access);
    settings.has_key_rules = false;
    SkyFeed_HandleReload(reader);
    EXPECT_EQ(SKY_ACCESS_ANONYMOUS, directory.deployment->access);

    SkyDeployment_Release(directory.deployment);
    directory.deployment = nullptr;
    SkyFeed_HandleReload(reader);
    settings.has_key_rules = true;
    ApplyConfig(reader, 1, 6, R"({"version":4})", 0);
    EXPECT_EQ(SKY_ACCESS_ANONYMOUS, directory.deployment->access);
}

// The store lost a configuration that this host knew, and its operator then
// wrote another one with the same version.
TEST_F(ProofTest, AnotherTextOfTheSameVersionIsApplied)
{
    ApplyConfig(reader, 1, 5, Config(3, "removed"), 0);
    EXPECT_TRUE(Opens("removed"));
    ApplyConfig(reader, 2, 4, Config(3, "kept"), 0);
    EXPECT_FALSE(Opens("removed"));
    EXPECT_TRUE(Opens("kept"));
    ApplyConfig(reader, 2, 5, Config(2, "removed"), 0);
    EXPECT_FALSE(Opens("removed"));
}

} // namespace
