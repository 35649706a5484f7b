// Guards against events that are lost, repeated or forwarded in part when the
// bytes of an engine's event stream are split at arbitrary places.
#include <gtest/gtest.h>

#include <string>

#include "net/event_stream.h"

namespace {

class EventStreamTest : public ::testing::Test {
  protected:
    void
    TearDown() override
    {
        SkyEventStream_Clear(&stream);
        SkyBuffer_Clear(&complete_events);
    }

    std::string
    Feed(const std::string &bytes)
    {
        SkyEventStream_Feed(&stream, bytes.data(), bytes.size(),
                            &complete_events);
        std::string text(SkyBuffer_Data(&complete_events),
                         SkyBuffer_Size(&complete_events));
        SkyBuffer_Consume(&complete_events, SkyBuffer_Size(&complete_events));
        return text;
    }

    sky_event_stream_t stream = {};
    sky_buffer_t complete_events = {};
};

TEST_F(EventStreamTest, PassesOnCompleteEventsOnly)
{
    EXPECT_EQ("id: 1\ndata: a\n\n", Feed("id: 1\ndata: a\n\nid: 2\nda"));
    EXPECT_EQ(1u, stream.last_id);
    EXPECT_EQ("id: 2\ndata: b\n\nid: 3\ndata: c\n\n",
              Feed("ta: b\n\nid: 3\ndata: c\n\n"));
    EXPECT_EQ(3u, stream.last_id);
    EXPECT_EQ(3u, stream.event_count);
    EXPECT_EQ(0u, SkyBuffer_Size(&stream.partial_event));
}

TEST_F(EventStreamTest, EventsDoNotDependOnHowBytesAreSplit)
{
    std::string all;
    for (int i = 1; i <= 40; i++) {
        all += "id: " + std::to_string(i) + "\r\ndata: x" +
               std::to_string(i * i) + "\r\n\r\n";
    }
    for (size_t chunk_bytes = 1; chunk_bytes < 30; chunk_bytes++) {
        SkyEventStream_Clear(&stream);
        stream = {};
        std::string output;
        for (size_t offset = 0; offset < all.size(); offset += chunk_bytes) {
            output += Feed(all.substr(offset, chunk_bytes));
        }
        EXPECT_EQ(all, output) << chunk_bytes;
        EXPECT_EQ(40u, stream.last_id);
    }
}

TEST_F(EventStreamTest, DiscardsPartialEventOfInterruptedAttempt)
{
    Feed("id: 1\ndata: a\n\nid: 2\ndata: half");
    EXPECT_GT(SkyBuffer_Size(&stream.partial_event), 0u);
    SkyEventStream_DiscardPartial(&stream);
    EXPECT_EQ("id: 2\ndata: whole\n\n", Feed("id: 2\ndata: whole\n\n"));
    EXPECT_EQ(2u, stream.last_id);
}

TEST_F(EventStreamTest, KeepsLinesBeforeTheIdInTheEvent)
{
    std::string event = "x-versions: 4\nid: 9\ndata: a\n\n";
    EXPECT_EQ(event, Feed(event));
    EXPECT_EQ(9u, stream.last_id);
}

} // namespace
