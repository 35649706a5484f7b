// Records of the store that one host passes to another. The event loop does
// not run, so no feed reads the store.
#include <gtest/gtest.h>

#include <ev.h>
#include <jansson.h>

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
        options.on_change = [](void *, sky_feed_topic_t) {};
        sky_feed_t *feed = nullptr;
        EXPECT_EQ(SKY_OK, SkyFeed_Create(&options, &feed));
        return feed;
    }

    // Puts a feed into the state after a read of the target topic that ended
    // before offset `next`, `age_ms` ago.
    static void
    SimulateRead(sky_feed_t *feed, json_int_t next, json_int_t age_ms)
    {
        json_t *records = json_pack("{s:I, s:I, s:[]}", "next", next, "age_ms",
                                    age_ms, "records");
        EXPECT_EQ(SKY_OK,
                  SkyFeed_ApplyRecords(feed, SKY_FEED_TARGETS, records));
        json_decref(records);
    }

    struct ev_loop *loop = nullptr;
    sky_directory_t directory = {};
    sky_feed_t *reader = nullptr;
    sky_feed_t *follower = nullptr;
};

TEST_F(FeedTest, EncodesNothingBeforeTheTopicIsRead)
{
    EXPECT_EQ(nullptr, SkyFeed_EncodeRecords(reader, SKY_FEED_TARGETS, 0));
}

// A follower that had read the store itself knew newer records than its
// reader. The reader then sent no age, so the follower considered its
// records stale and read the store again. In a large deployment this caused 60
// reads a second for as long as entries changed.
TEST_F(FeedTest, EncodesTheAgeForAPeerWithNewerRecords)
{
    SimulateRead(reader, 10, 40);
    SimulateRead(follower, 12, 900);
    json_t *update =
        SkyFeed_EncodeRecords(reader, SKY_FEED_TARGETS,
                              SkyFeed_NextOffset(follower, SKY_FEED_TARGETS));
    ASSERT_NE(nullptr, update);
    EXPECT_EQ(0u, json_array_size(json_object_get(update, "records")));
    EXPECT_EQ(SKY_OK,
              SkyFeed_ApplyRecords(follower, SKY_FEED_TARGETS, update));
    EXPECT_EQ(12u, SkyFeed_NextOffset(follower, SKY_FEED_TARGETS));
    json_decref(update);
}

} // namespace
