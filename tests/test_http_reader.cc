// Reading HTTP messages out of bytes cut anywhere.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "net/http_reader.h"

namespace {

struct Message {
    std::string url;
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
    int status = 0;
    bool complete = false;
};

bool
OnHead(void *context, const sky_http_head_t *head)
{
    auto *message = static_cast<Message *>(context);
    message->url = SkyHttp_Url(head);
    message->status = head->status;
    for (uint32_t i = 0; i < head->field_count; i++) {
        message->fields.emplace_back(SkyHttp_Name(head, i),
                                     SkyHttp_Value(head, i));
    }
    return true;
}

bool
OnBody(void *context, const char *bytes, size_t size)
{
    static_cast<Message *>(context)->body.append(bytes, size);
    return true;
}

bool
OnComplete(void *context)
{
    static_cast<Message *>(context)->complete = true;
    return true;
}

class HttpReaderTest : public ::testing::Test {
  protected:
    void
    TearDown() override
    {
        SkyHttp_Clear(&reader);
    }

    // Feeds a text in steps of some bytes; returns the last progress.
    sky_http_progress_t
    Feed(const std::string &text, sky_http_kind_t kind, size_t step,
         size_t limit = 0)
    {
        static const sky_http_events_t kEvents = {OnHead, OnBody, OnComplete};
        SkyHttp_Clear(&reader);
        message = Message();
        SkyHttp_InitReader(&reader, kind, &kEvents, &message, limit);
        sky_http_progress_t progress = SKY_HTTP_MORE;
        for (size_t at = 0; at < text.size();) {
            size_t size = std::min(step, text.size() - at);
            size_t used = 0;
            progress = SkyHttp_Feed(&reader, text.data() + at, size, &used);
            at += used;
            if (progress != SKY_HTTP_MORE) {
                rest = text.substr(at);
                break;
            }
        }
        return progress;
    }

    sky_http_reader_t reader = {};
    Message message;
    std::string rest;
};

TEST_F(HttpReaderTest, ARequestCutAnywhereReadsTheSame)
{
    std::string text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x.example\r\n"
                       "Empty:\r\nX-Id: 9\r\nContent-Length: 5\r\n\r\nhello"
                       "GET /next HTTP/1.1\r\n\r\n";
    for (size_t step = 1; step < text.size(); step++) {
        ASSERT_EQ(SKY_HTTP_COMPLETE, Feed(text, SKY_HTTP_REQUEST, step));
        EXPECT_EQ("/a/b?c=1", message.url);
        EXPECT_EQ("hello", message.body);
        ASSERT_EQ(4u, message.fields.size());
        EXPECT_EQ("Empty", message.fields[1].first);
        EXPECT_EQ("", message.fields[1].second);
        EXPECT_EQ("9", message.fields[2].second);
        EXPECT_EQ("GET /next HTTP/1.1\r\n\r\n", rest);
    }
}

TEST_F(HttpReaderTest, ChunksAreOneBody)
{
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n";
    for (size_t step = 1; step < text.size(); step++) {
        ASSERT_EQ(SKY_HTTP_COMPLETE, Feed(text, SKY_HTTP_ANSWER, step));
        EXPECT_EQ("abcde", message.body);
        EXPECT_EQ(1u, message.fields.size()) << "trailers are left out";
    }
}

TEST_F(HttpReaderTest, AnAnswerWithoutLengthEndsWithItsConnection)
{
    std::string text = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it";
    EXPECT_EQ(SKY_HTTP_MORE, Feed(text, SKY_HTTP_ANSWER, 7));
    EXPECT_FALSE(reader.head.has_length);
    size_t used;
    EXPECT_EQ(SKY_HTTP_COMPLETE, SkyHttp_Feed(&reader, "", 0, &used));
    EXPECT_EQ("all of it", message.body);
}

// Requests that two parsers could read differently are refused.
TEST_F(HttpReaderTest, SmuggledRequestsAreMalformed)
{
    const char *texts[] = {
        "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"
        "abcde",
        "POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "GE\x01T / HTTP/1.1\r\n\r\n",
        "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03",
    };
    for (const char *text : texts) {
        sky_http_progress_t progress = Feed(text, SKY_HTTP_REQUEST, 1000);
        EXPECT_EQ(SKY_HTTP_MALFORMED, progress) << text;
    }
}

TEST_F(HttpReaderTest, HeadsOverTheirLimitAreTooLarge)
{
    std::string text = "GET / HTTP/1.1\r\nX: " + std::string(3000, 'a');
    EXPECT_EQ(SKY_HTTP_TOO_LARGE, Feed(text, SKY_HTTP_REQUEST, 100, 1024));
    text += "\r\n\r\n";
    EXPECT_EQ(SKY_HTTP_TOO_LARGE, Feed(text, SKY_HTTP_REQUEST, 9999, 1024));
    std::string many = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 100; i++) {
        many += "A: b\r\n";
    }
    EXPECT_EQ(SKY_HTTP_TOO_LARGE, Feed(many + "\r\n", SKY_HTTP_REQUEST, 99));
}

TEST_F(HttpReaderTest, FieldsOfOneConnectionAreNotPassedOn)
{
    Feed("GET / HTTP/1.1\r\nConnection: keep-alive, X-Mine\r\nX-Mine: 1\r\n"
         "X-Other: 2\r\n\r\n",
         SKY_HTTP_REQUEST, 1000);
    EXPECT_TRUE(SkyHttp_IsHopByHop(&reader.head, "connection"));
    EXPECT_TRUE(SkyHttp_IsHopByHop(&reader.head, "X-Mine"));
    EXPECT_TRUE(SkyHttp_IsHopByHop(&reader.head, "Transfer-Encoding"));
    EXPECT_FALSE(SkyHttp_IsHopByHop(&reader.head, "X-Other"));
    EXPECT_STREQ("2", SkyHttp_Field(&reader.head, "x-other"));
    EXPECT_EQ(nullptr, SkyHttp_Field(&reader.head, "X-None"));
}

} // namespace
