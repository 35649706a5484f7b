// What two hosts say of a request that one passes on to the other.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "edge/hop_fields.h"

namespace {

bool
Ignore(void *, const sky_http_head_t *)
{
    return true;
}
bool
IgnoreBody(void *, const char *, size_t)
{
    return true;
}
bool
IgnoreEnd(void *)
{
    return true;
}

class Head {
  public:
    Head(sky_http_message_kind_t kind, const std::string &fields)
    {
        static const sky_http_events_t EVENTS = {Ignore, IgnoreBody,
                                                 IgnoreEnd};
        SkyHttpReader_Init(&reader_, kind, &EVENTS, nullptr, 0);
        std::string text = kind == SKY_HTTP_REQUEST
                               ? "GET / HTTP/1.1\r\n"
                               : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
        text += fields + "\r\n";
        size_t consumed = 0;
        EXPECT_EQ(
            SkyHttpReader_Feed(&reader_, text.data(), text.size(), &consumed),
            SKY_HTTP_COMPLETE);
    }
    ~Head()
    {
        SkyHttpReader_Clear(&reader_);
    }
    const sky_http_head_t *
    Get() const
    {
        return &reader_.head;
    }

  private:
    sky_http_reader_t reader_;
};

std::string
Take(sky_buffer_t *buffer)
{
    std::string text(SkyBuffer_Data(buffer), SkyBuffer_Size(buffer));
    SkyBuffer_Clear(buffer);
    return text;
}

TEST(HopFields, ARequestArrivesAsItWasWritten)
{
    sky_hop_request_t sent = {};
    sky_hop_request_t received;
    std::strcpy(sent.from, "edge-1");
    std::strcpy(sent.software, "v2");
    sent.may_have_run[0] = UINT64_C(0xfedcba9876543210);
    sent.may_have_run[1] = 7;
    sent.may_have_run_count = 2;
    sky_buffer_t out = {};
    SkyHopFields_WriteRequest(&out, &sent);
    Head head(SKY_HTTP_REQUEST, Take(&out));
    ASSERT_TRUE(SkyHopFields_ParseRequest(head.Get(), &received));
    EXPECT_STREQ(received.from, "edge-1");
    EXPECT_STREQ(received.software, "v2");
    ASSERT_EQ(received.may_have_run_count, 2u);
    EXPECT_EQ(received.may_have_run[0], sent.may_have_run[0]);
    EXPECT_EQ(received.may_have_run[1], 7u);
}

TEST(HopFields, ARequestOfACallerOrAMalformedOneIsNoneOfAHost)
{
    sky_hop_request_t hop;
    for (const char *fields :
         {"", "Sky-Hop-Software: v1\r\n",
          "Sky-Hop-From: a\r\nSky-Hop-May-Have-Run: 1,x\r\n",
          "Sky-Hop-From: a\r\nSky-Hop-May-Have-Run: "
          "1,2,3,4,5,6,7,8,9\r\n"}) {
        Head head(SKY_HTTP_REQUEST, fields);
        EXPECT_FALSE(SkyHopFields_ParseRequest(head.Get(), &hop)) << fields;
    }
}

TEST(HopFields, AResponseArrivesAsItWasWritten)
{
    for (sky_hop_outcome_t outcome : {SKY_HOP_TARGET, SKY_HOP_NOT_RUN,
                                      SKY_HOP_NOT_REACHED, SKY_HOP_UNKNOWN}) {
        sky_hop_response_t sent = {outcome, "v3", 250, true};
        sky_hop_response_t received;
        sky_buffer_t out = {};
        SkyHopFields_WriteResponse(&out, &sent);
        Head head(SKY_HTTP_RESPONSE, Take(&out));
        SkyHopFields_ParseResponse(head.Get(), &received);
        EXPECT_EQ(received.outcome, outcome);
        EXPECT_STREQ(received.software, "v3");
        EXPECT_EQ(received.retry_after_ms, 250u);
        EXPECT_EQ(received.is_proved, outcome == SKY_HOP_NOT_RUN ||
                                          outcome == SKY_HOP_NOT_REACHED);
    }
}

// Guards against a promise that a request did not run, made by a host that
// does not know these fields.
TEST(HopFields, AResponseWithoutAnOutcomePromisesNothing)
{
    sky_hop_response_t hop;
    for (const char *fields : {"", "Sky-Hop-Outcome: else\r\n"}) {
        Head head(SKY_HTTP_RESPONSE, fields);
        SkyHopFields_ParseResponse(head.Get(), &hop);
        EXPECT_EQ(hop.outcome, SKY_HOP_UNKNOWN);
    }
}

// Guards against a promise that rests on the word of a host of an earlier
// build, which concludes it from the status alone.
TEST(HopFields, ARefusalOfAnEarlierBuildIsNotProved)
{
    sky_hop_response_t hop;
    for (const char *outcome : {"not_run", "not_reached"}) {
        std::string field =
            std::string("Sky-Hop-Outcome: ") + outcome + "\r\n";
        for (const char *proof :
             {"", "Sky-Hop-Proof: \r\n", "Sky-Hop-Proof: else\r\n"}) {
            Head head(SKY_HTTP_RESPONSE, field + proof);
            SkyHopFields_ParseResponse(head.Get(), &hop);
            EXPECT_FALSE(hop.is_proved) << proof;
        }
        Head head(SKY_HTTP_RESPONSE, field + "Sky-Hop-Proof: account\r\n");
        SkyHopFields_ParseResponse(head.Get(), &hop);
        EXPECT_TRUE(hop.is_proved);
    }
    sky_hop_response_t unproved = {SKY_HOP_NOT_RUN, "", 0, false};
    sky_buffer_t out = {};
    SkyHopFields_WriteResponse(&out, &unproved);
    EXPECT_EQ("Sky-Hop-Outcome: not_run\r\n", Take(&out));
}

// Guards against a proof beside an outcome that contradicts it.
TEST(HopFields, OnlyARefusalCanBeProved)
{
    sky_hop_response_t hop;
    for (const char *fields :
         {"Sky-Hop-Proof: account\r\n",
          "Sky-Hop-Outcome: unknown\r\nSky-Hop-Proof: account\r\n",
          "Sky-Hop-Outcome: target\r\nSky-Hop-Proof: account\r\n"}) {
        Head head(SKY_HTTP_RESPONSE, fields);
        SkyHopFields_ParseResponse(head.Get(), &hop);
        EXPECT_FALSE(hop.is_proved) << fields;
    }
}

TEST(HopFields, AreNotPassedOn)
{
    Head head(SKY_HTTP_REQUEST, "Sky-Hop-From: a\r\nX-Other: b\r\n");
    EXPECT_TRUE(SkyHttpHead_IsHopByHop(head.Get(), "Sky-Hop-From"));
    EXPECT_TRUE(SkyHttpHead_IsHopByHop(head.Get(), "sky-hop-outcome"));
    EXPECT_FALSE(SkyHttpHead_IsHopByHop(head.Get(), "X-Other"));
}

} // namespace
