// The order in which a collector appends streams to the store.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "decide/stream_backlog.h"

namespace {

constexpr uint32_t kStreamsMax = 20000;
constexpr uint32_t kBatchMax = 2000;

class StreamBacklog : public testing::Test {
  protected:
    void
    SetUp() override
    {
        sky_stream_backlog_options_t options = {};
        options.streams_max = kStreamsMax;
        ASSERT_EQ(SkyStreamBacklog_Create(&options, &backlog_), SKY_OK);
    }
    void
    TearDown() override
    {
        SkyStreamBacklog_Free(backlog_);
    }
    bool
    Add(uint64_t id)
    {
        sky_stream_version_t stream = {};
        stream.stream = id;
        return SkyStreamBacklog_Add(backlog_, &stream);
    }
    std::vector<uint64_t>
    BeginBatch(uint32_t max_count = kBatchMax)
    {
        std::vector<const sky_stream_version_t *> batch(max_count);
        batch.resize(
            SkyStreamBacklog_BeginBatch(backlog_, batch.data(), max_count));
        std::vector<uint64_t> ids;
        for (const sky_stream_version_t *stream : batch) {
            ids.push_back(stream->stream);
        }
        return ids;
    }
    std::set<uint64_t>
    StoreAll()
    {
        std::set<uint64_t> stored;
        for (auto ids = BeginBatch(); !ids.empty(); ids = BeginBatch()) {
            stored.insert(ids.begin(), ids.end());
            SkyStreamBacklog_EndBatch(backlog_, true);
        }
        return stored;
    }
    sky_stream_backlog_t *backlog_ = nullptr;
};

TEST_F(StreamBacklog, EachStreamIsInOneBatch)
{
    for (uint64_t id = 1; id <= 5; id++) {
        EXPECT_TRUE(Add(id));
    }
    EXPECT_EQ(BeginBatch(3).size(), 3u);
    EXPECT_TRUE(BeginBatch(3).empty()) << "one batch at a time";
    EXPECT_EQ(SkyStreamBacklog_EndBatch(backlog_, true), 3u);
    EXPECT_EQ(BeginBatch(3).size(), 2u);
    EXPECT_EQ(SkyStreamBacklog_EndBatch(backlog_, true), 2u);
    EXPECT_EQ(SkyStreamBacklog_CountWaiting(backlog_), 0u);
    EXPECT_EQ(SkyStreamBacklog_EndBatch(backlog_, true), 0u);
}

TEST_F(StreamBacklog, ABatchThatWasNotStoredIsAppendedAgain)
{
    Add(1);
    Add(2);
    EXPECT_EQ(BeginBatch().size(), 2u);
    Add(3);
    EXPECT_EQ(SkyStreamBacklog_EndBatch(backlog_, false), 2u);
    EXPECT_EQ(StoreAll(), (std::set<uint64_t>{1, 2, 3}));
}

// Load: 195 hosts tell two collectors 60 s of 940 streams a second when the
// second version is listed; a collector appends once in 150 ms.
class StormAtARelease : public StreamBacklog {
  protected:
    static constexpr uint64_t kTold = 28200;
    static constexpr uint64_t kBegunPerBatch = 71;
    void
    SetUp() override
    {
        StreamBacklog::SetUp();
        for (uint64_t id = 1; id <= kTold; id++) {
            Add(id);
        }
    }
};

TEST_F(StormAtARelease, StreamsThatBeginDoNotWaitBehindIt)
{
    uint64_t next = kTold + 1;
    for (int batch = 0; batch < 10; batch++) {
        std::set<uint64_t> begun;
        for (uint64_t i = 0; i < kBegunPerBatch; i++) {
            Add(next);
            begun.insert(next++);
        }
        for (uint64_t id : BeginBatch()) {
            begun.erase(id);
        }
        EXPECT_TRUE(begun.empty()) << "batch " << batch << " lacks "
                                   << begun.size() << " of " << kBegunPerBatch;
        SkyStreamBacklog_EndBatch(backlog_, true);
    }
}

TEST_F(StormAtARelease, TheNewestStreamsAreKept)
{
    std::set<uint64_t> stored = StoreAll();
    EXPECT_EQ(stored.size(), kStreamsMax);
    EXPECT_EQ(*stored.begin(), kTold - kStreamsMax + 1);
    EXPECT_EQ(*stored.rbegin(), kTold);
}

// As long as the store does not respond, a stream that began meanwhile comes
// before those of the batch that failed.
TEST_F(StormAtARelease, AFailedBatchDoesNotDelayNewerStreams)
{
    BeginBatch();
    Add(kTold + 1);
    SkyStreamBacklog_EndBatch(backlog_, false);
    std::vector<uint64_t> ids = BeginBatch(3);
    EXPECT_EQ(ids, (std::vector<uint64_t>{kTold + 1, kTold, kTold - 1}));
}

TEST_F(StormAtARelease, AFailedBatchIsLeftOutIfAllThatWaitAreNewer)
{
    ASSERT_EQ(BeginBatch(2), (std::vector<uint64_t>{kTold, kTold - 1}));
    for (uint64_t id = kTold + 1; id <= kTold + kStreamsMax; id++) {
        Add(id);
    }
    EXPECT_EQ(SkyStreamBacklog_EndBatch(backlog_, false), 2u);
    std::set<uint64_t> stored = StoreAll();
    EXPECT_EQ(stored.size(), kStreamsMax);
    EXPECT_EQ(*stored.begin(), kTold + 1);
}

} // namespace
