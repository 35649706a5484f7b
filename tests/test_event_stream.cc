// Cutting a stream into whole events.
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
        SkyBuffer_Clear(&ready);
    }

    std::string
    Feed(const std::string &bytes)
    {
        SkyEventStream_Feed(&stream, bytes.data(), bytes.size(), &ready);
        std::string text(SkyBuffer_Data(&ready), SkyBuffer_Size(&ready));
        SkyBuffer_Consume(&ready, SkyBuffer_Size(&ready));
        return text;
    }

    sky_event_stream_t stream = {};
    sky_buffer_t ready = {};
};

TEST_F(EventStreamTest, PassesWholeEventsOn)
{
    EXPECT_EQ("id: 1\ndata: a\n\n", Feed("id: 1\ndata: a\n\nid: 2\nda"));
    EXPECT_EQ(1u, stream.last_id);
    EXPECT_EQ("id: 2\ndata: b\n\nid: 3\ndata: c\n\n",
              Feed("ta: b\n\nid: 3\ndata: c\n\n"));
    EXPECT_EQ(3u, stream.last_id);
    EXPECT_EQ(3u, stream.events);
    EXPECT_EQ(0u, SkyBuffer_Size(&stream.held));
}

TEST_F(EventStreamTest, BytesCutAnywhereGiveTheSameEvents)
{
    std::string all;
    for (int i = 1; i <= 40; i++) {
        all += "id: " + std::to_string(i) + "\r\ndata: x" +
               std::to_string(i * i) + "\r\n\r\n";
    }
    for (size_t step = 1; step < 30; step++) {
        SkyEventStream_Clear(&stream);
        stream = {};
        std::string out;
        for (size_t at = 0; at < all.size(); at += step) {
            out += Feed(all.substr(at, step));
        }
        EXPECT_EQ(all, out) << step;
        EXPECT_EQ(40u, stream.last_id);
    }
}

TEST_F(EventStreamTest, ARestFromABrokenRunIsForgotten)
{
    Feed("id: 1\ndata: a\n\nid: 2\ndata: half");
    EXPECT_GT(SkyBuffer_Size(&stream.held), 0u);
    SkyEventStream_Rewind(&stream);
    EXPECT_EQ("id: 2\ndata: whole\n\n", Feed("id: 2\ndata: whole\n\n"));
    EXPECT_EQ(2u, stream.last_id);
}

TEST_F(EventStreamTest, ALineBeforeTheIdIsPartOfItsEvent)
{
    std::string event = "x-versions: 4\nid: 9\ndata: a\n\n";
    EXPECT_EQ(event, Feed(event));
    EXPECT_EQ(9u, stream.last_id);
}

} // namespace
