/**
 * @file test_wire.cc
 * @brief HTTP representation of requests, responses and load orders.
 *
 * Guards against lost or misread header fields, and against callers that set
 * fields which only a host may set.
 */
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "platform/wire.h"

namespace {

bool
OnHead(void *, const sky_http_head_t *)
{
    return true;
}

bool
OnBody(void *, const char *, size_t)
{
    return true;
}

bool
OnEnd(void *)
{
    return true;
}

class WireTest : public ::testing::Test {
  protected:
    void
    TearDown() override
    {
        SkyHttpReader_Clear(&reader);
        SkyBuffer_Clear(&out);
    }

    const sky_http_head_t *
    ParseHead(const std::string &text, sky_http_message_kind_t kind)
    {
        static const sky_http_events_t kEvents = {OnHead, OnBody, OnEnd};
        SkyHttpReader_Clear(&reader);
        SkyHttpReader_Init(&reader, kind, &kEvents, nullptr, 0);
        size_t used;
        SkyHttpReader_Feed(&reader, text.data(), text.size(), &used);
        return &reader.head;
    }

    std::string
    Written()
    {
        return std::string(SkyBuffer_Data(&out), SkyBuffer_Size(&out));
    }

    sky_http_reader_t reader = {};
    sky_buffer_t out = {};
};

TEST_F(WireTest, ParsesRequestFields)
{
    sky_request_facts_t facts;
    ASSERT_EQ(
        SKY_OK,
        SkyWire_ParseRequest(
            ParseHead("POST /a/ HTTP/1.1\r\nHost: h\r\n"
                      "X-Skylarkspar-Attempt-Id: 9c41\r\n"
                      "X-Skylarkspar-Model: m1/a7\r\n"
                      "X-Skylarkspar-Token-Count: 1460,80\r\n"
                      "X-Skylarkspar-Length-Hint: 33\r\n"
                      "Last-Event-Id: 12\r\n"
                      "X-Skylarkspar-Prompt-Prefix: 5c1e07a2:800,9f:410\r\n"
                      "X-Skylarkspar-Deadline-Ms: 5000\r\n\r\n",
                      SKY_HTTP_REQUEST),
            &facts));
    EXPECT_STREQ("9c41", facts.id);
    EXPECT_STREQ("m1", facts.model);
    EXPECT_STREQ("a7", facts.adapter);
    EXPECT_EQ(1460u, facts.prompt_tokens);
    EXPECT_EQ(80u, facts.output_tokens_max);
    EXPECT_EQ(33u, facts.output_tokens_hint);
    EXPECT_EQ(5000u, facts.deadline_ms);
    EXPECT_TRUE(facts.resumes);
    EXPECT_EQ(12u, facts.resume_after);
    ASSERT_EQ(2u, facts.part_count);
    EXPECT_EQ(0x5c1e07a2u, facts.parts[0].id);
    EXPECT_EQ(410u, facts.parts[1].tokens);
}

TEST_F(WireTest, ParsesWhichRequestBeganAStream)
{
    struct {
        const char *fields;
        bool resumes;
        const char *stream_id;
    } const CASES[] = {
        {"", false, "r1"},
        {"Last-Event-Id: 3\r\n", true, ""},
        {"Last-Event-Id: 3\r\nResumes: r0\r\n", true, "r0"},
    };
    for (const auto &c : CASES) {
        std::string text =
            std::string("POST /x HTTP/1.1\r\nX-Skylarkspar-Attempt-Id: "
                        "r1\r\n") +
            c.fields + "Content-Length: 0\r\n\r\n";
        sky_request_facts_t facts;
        ASSERT_EQ(SKY_OK, SkyWire_ParseRequest(
                              ParseHead(text, SKY_HTTP_REQUEST), &facts));
        EXPECT_EQ(c.resumes, facts.resumes) << c.fields;
        EXPECT_STREQ(c.stream_id, facts.stream_id) << c.fields;
    }
}

TEST_F(WireTest, TheLastPartOfAPromptIsNotShared)
{
    std::string parts;
    for (int i = 1; i <= SKY_PROMPT_PARTS_MAX + 1; i++) {
        parts += (i > 1 ? "," : "") + std::to_string(i) + ":9";
        std::string text = "POST /x HTTP/1.1\r\nX-Skylarkspar-Attempt-Id: "
                           "r1\r\nX-Skylarkspar-Prompt-Prefix: " +
                           parts + "\r\nContent-Length: 0\r\n\r\n";
        sky_request_facts_t facts;
        ASSERT_EQ(SKY_OK, SkyWire_ParseRequest(
                              ParseHead(text, SKY_HTTP_REQUEST), &facts));
        EXPECT_EQ(uint32_t(i - 1), SkyRequestFacts_SharedPartCount(&facts));
    }
}

TEST_F(WireTest, RefusesRequestsWithoutIdOrWithTooLongModel)
{
    sky_request_facts_t facts;
    EXPECT_EQ(
        SKY_E_BAD_REQUEST,
        SkyWire_ParseRequest(
            ParseHead("GET / HTTP/1.1\r\n\r\n", SKY_HTTP_REQUEST), &facts));
    EXPECT_EQ(SKY_E_BAD_REQUEST,
              SkyWire_ParseRequest(
                  ParseHead("GET / HTTP/1.1\r\nX-Skylarkspar-Attempt-Id: 1\r\n"
                            "X-Skylarkspar-Model: " +
                                std::string(200, 'm') + "\r\n\r\n",
                            SKY_HTTP_REQUEST),
                  &facts));
}

// A caller could otherwise choose the target, its priority or its deadline by
// sending the fields that the host sets.
TEST_F(WireTest, ForwardsAllButFieldsThatTheHostSets)
{
    const sky_http_head_t *head =
        ParseHead("POST /a/b?c HTTP/1.1\r\nHost: h\r\nConnection: X-Hop\r\n"
                  "X-Hop: 1\r\nX-Skylarkspar-Attempt-Id: 9c41\r\n"
                  "X-Skylarkspar-Hold: h1\r\nX-Skylarkspar-Pin-Ms: 9\r\n"
                  "X-Skylarkspar-Kv-Backup: 1.2.3.4:5\r\nKv-From: x\r\n"
                  "X-Skylarkspar-Request-Priority: 0\r\n"
                  "X-Skylarkspar-Expect-Instance: evil\r\n"
                  "X-Skylarkspar-Deadline-Ms: 5000\r\nX-Custom: kept\r\n"
                  "Last-Event-Id: 3\r\nContent-Length: 2\r\n\r\nhi",
                  SKY_HTTP_REQUEST);
    sky_forward_options_t forward = {};
    forward.deadline_ms = 4100;
    forward.target_id = "i-7";
    forward.version = 2;
    forward.urgency = 255;
    SkyWire_WriteRequest(&out, head, "hi", 2, &forward);
    EXPECT_EQ("POST /a/b?c HTTP/1.1\r\nHost: h\r\n"
              "X-Skylarkspar-Attempt-Id: 9c41\r\nX-Custom: kept\r\n"
              "Last-Event-Id: 3\r\nX-Skylarkspar-Deadline-Ms: 4100\r\n"
              "X-Skylarkspar-Expect-Instance: i-7\r\n"
              "X-Skylarkspar-Expect-Version: 2\r\nContent-Length: 2\r\n\r\nhi",
              Written());
    SkyBuffer_Clear(&out);
    forward.resumes = true;
    forward.resume_after = 8;
    forward.urgency = 2;
    SkyWire_WriteRequest(&out, head, "hi", 2, &forward);
    EXPECT_NE(std::string::npos, Written().find("Last-Event-Id: 8\r\n"));
    EXPECT_EQ(std::string::npos, Written().find("Last-Event-Id: 3\r\n"));
    EXPECT_NE(std::string::npos,
              Written().find("X-Skylarkspar-Request-Priority: 2\r\n"));
}

// Keys reached targets, and a caller could name the workspace of another one.
TEST_F(WireTest, HidesKeysFromTargetsAndNamesTheWorkspace)
{
    const sky_http_head_t *head =
        ParseHead("GET /a/ HTTP/1.1\r\nx-skylarkspar-credential: secret\r\n"
                  "X-Skylarkspar-Credential: other-secret\r\n"
                  "x-skylarkspar-tenant: not-mine\r\nX-Custom: kept\r\n\r\n",
                  SKY_HTTP_REQUEST);
    EXPECT_STREQ("secret", SkyWire_FindCredential(head));
    sky_forward_options_t forward = {};
    forward.urgency = 255;
    forward.owns_access_fields = true;
    forward.workspace = "mine";
    SkyWire_WriteRequest(&out, head, "", 0, &forward);
    EXPECT_EQ(std::string::npos, Written().find("secret")) << Written();
    EXPECT_EQ(std::string::npos, Written().find("not-mine"));
    EXPECT_NE(std::string::npos,
              Written().find("X-Skylarkspar-Tenant: mine\r\n"));
    EXPECT_NE(std::string::npos, Written().find("X-Custom: kept\r\n"));

    // On public routes.
    SkyBuffer_Clear(&out);
    forward.workspace = nullptr;
    SkyWire_WriteRequest(&out, head, "", 0, &forward);
    EXPECT_EQ(std::string::npos, Written().find("secret"));
    EXPECT_EQ(std::string::npos, Written().find("enant"));

    // Another host finds the workspace itself.
    SkyBuffer_Clear(&out);
    forward.keeps_credential = true;
    SkyWire_WriteRequest(&out, head, "", 0, &forward);
    EXPECT_NE(std::string::npos,
              Written().find("x-skylarkspar-credential: secret\r\n"));
    EXPECT_EQ(std::string::npos, Written().find("enant"));
}

TEST_F(WireTest, WithoutWorkspacesTheFieldsAreLikeAnyOther)
{
    const sky_http_head_t *head =
        ParseHead("GET /a/ HTTP/1.1\r\nX-Skylarkspar-Credential: c\r\n"
                  "X-Skylarkspar-Tenant: t\r\n\r\n",
                  SKY_HTTP_REQUEST);
    sky_forward_options_t forward = {};
    forward.urgency = 255;
    SkyWire_WriteRequest(&out, head, "", 0, &forward);
    EXPECT_NE(std::string::npos,
              Written().find("X-Skylarkspar-Credential: c\r\n"
                             "X-Skylarkspar-Tenant: t\r\n"));
}

TEST_F(WireTest, ParsesTheLimitThatATargetNames)
{
    const std::pair<const char *, double> CASES[] = {
        {"", 0.0},
        {"Server-Limit: 5.6\r\n", 5.6},
        {"server-limit: 12\r\n", 12.0},
        {"Server-Limit: 0\r\n", 0.01},
        {"Server-Limit: -3\r\n", 0.0},
        {"Server-Limit: none\r\n", 0.0},
        {"Server-Limit: inf\r\n", 0.0},
    };
    for (const auto &[field, per_s] : CASES) {
        sky_response_facts_t facts;
        std::string text = std::string("HTTP/1.1 200 OK\r\n") + field +
                           "Content-Length: 0\r\n\r\n";
        SkyWire_ParseResponse(ParseHead(text.c_str(), SKY_HTTP_RESPONSE),
                              &facts);
        EXPECT_DOUBLE_EQ(per_s, facts.limit_per_s) << field;
    }
}

TEST_F(WireTest, ParsesResponseFacts)
{
    sky_response_facts_t facts;
    SkyWire_ParseResponse(
        ParseHead("HTTP/1.1 503 x\r\nX-Skylarkspar-Not-Executed: "
                  "1\r\nContent-Length: 0\r\n\r\n",
                  SKY_HTTP_RESPONSE),
        &facts);
    EXPECT_TRUE(facts.not_run);
    EXPECT_FALSE(facts.wrong_target);
    SkyWire_ParseResponse(
        ParseHead("HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n",
                  SKY_HTTP_RESPONSE),
        &facts);
    EXPECT_FALSE(facts.not_run) << "only the header field guarantees it";
    EXPECT_TRUE(facts.wrong_target);
    SkyWire_ParseResponse(
        ParseHead("HTTP/1.1 421 x\r\nX-Skylarkspar-Not-Executed: "
                  "1\r\nContent-Length: 0\r\n\r\n",
                  SKY_HTTP_RESPONSE),
        &facts);
    EXPECT_TRUE(facts.not_run);
    EXPECT_TRUE(facts.wrong_target);
    SkyWire_ParseResponse(
        ParseHead("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n",
                  SKY_HTTP_RESPONSE),
        &facts);
    EXPECT_FALSE(facts.not_run) << "only the header field guarantees it";
    SkyWire_ParseResponse(
        ParseHead("HTTP/1.1 200 x\r\nContent-Type: text/event-stream"
                  "\r\nX-Skylarkspar-Server-Seal: 3e\r\n"
                  "Content-Encoding: gzip\r\n\r\n",
                  SKY_HTTP_RESPONSE),
        &facts);
    EXPECT_TRUE(facts.events);
    EXPECT_TRUE(facts.sealed);
    EXPECT_TRUE(facts.encoded);
}

// Guards against a response that names an encoding and passes for the target's
// own: callers ask for none, so that none is the target's.
TEST_F(WireTest, AResponseWithAnyEncodingIsNotTheTargets)
{
    for (const char *encoding : {"gzip", "identity", "Identity ", "", "x"}) {
        sky_response_facts_t facts;
        SkyWire_ParseResponse(
            ParseHead("HTTP/1.1 200 x\r\nContent-Encoding: " +
                          std::string(encoding) + "\r\n\r\n",
                      SKY_HTTP_RESPONSE),
            &facts);
        EXPECT_TRUE(facts.encoded) << encoding;
    }
    sky_response_facts_t facts;
    SkyWire_ParseResponse(
        ParseHead("HTTP/1.1 200 x\r\n\r\n", SKY_HTTP_RESPONSE), &facts);
    EXPECT_FALSE(facts.encoded);
}

TEST_F(WireTest, OrdersCarryTargetCountAndFence)
{
    sky_target_order_t order = {};
    order.op = SKY_TARGET_ORDER_LOAD;
    order.model = "m";
    order.adapter = "a3";
    order.expected_order_count = 5;
    order.holder = "host-1";
    order.fence = 41;
    order.target_id = "i-7";
    SkyWire_WriteOrder(&out, "10.0.0.1:80", &order);
    EXPECT_NE(std::string::npos,
              Written().find("X-Skylarkspar-Expect-Instance: i-7\r\n"));
    EXPECT_NE(std::string::npos,
              Written().find("{\"op\":\"model_load\",\"model\":\"m\","
                             "\"expectedRev\":5,\"holder\":\"host-1\","
                             "\"fence\":41,\"adapter\":\"a3\"}"));
}

TEST_F(WireTest, LocalResponsesCarryRetryAfter)
{
    SkyWire_WriteLocalResponseFields(&out, "9c41", 1250);
    EXPECT_STREQ("X-Skylarkspar-Attempt-Id: 9c41\r\nRetry-After: 1.250\r\n",
                 SkyBuffer_Data(&out));
}

TEST_F(WireTest, ParsesThePauseThatATargetAsksFor)
{
    struct {
        const char *head;
        bool has_pause;
        uint32_t pause_ms;
    } const CASES[] = {
        {"503 S\r\nX-Skylarkspar-Not-Executed: 1\r\nRetry-After: 3\r\n", true,
         3000},
        {"503 S\r\nX-Skylarkspar-Not-Executed: 1\r\nRetry-After: 0.5\r\n",
         true, 500},
        {"503 S\r\nX-Skylarkspar-Not-Executed: 1\r\nRetry-After: 1e99\r\n",
         true, UINT32_MAX},
        {"503 S\r\nX-Skylarkspar-Not-Executed: 1\r\nRetry-After: -1\r\n",
         false, 0},
        {"503 S\r\nX-Skylarkspar-Not-Executed: 1\r\nRetry-After: soon\r\n",
         false, 0},
        {"503 S\r\nX-Skylarkspar-Not-Executed: 1\r\nRetry-After: \r\n", false,
         0},
        {"503 S\r\nX-Skylarkspar-Not-Executed: 1\r\n", false, 0},
        {"503 S\r\nRetry-After: 3\r\n", false, 0},
        {"200 OK\r\nX-Skylarkspar-Not-Executed: 1\r\nRetry-After: 3\r\n",
         false, 0},
    };
    for (const auto &c : CASES) {
        std::string text =
            std::string("HTTP/1.1 ") + c.head + "Content-Length: 0\r\n\r\n";
        sky_response_facts_t facts;
        SkyWire_ParseResponse(ParseHead(text, SKY_HTTP_RESPONSE), &facts);
        EXPECT_EQ(c.has_pause, facts.has_pause) << c.head;
        EXPECT_EQ(c.pause_ms, facts.pause_ms) << c.head;
    }
}

TEST_F(WireTest, OnlyAOneSaysThatATargetLeaves)
{
    for (const char *value : {"1", "0", "", "yes", "-1", "11"}) {
        std::string text = std::string("HTTP/1.1 200 OK\r\nServer-Leaving: ") +
                           value + "\r\nContent-Length: 0\r\n\r\n";
        sky_response_facts_t facts;
        SkyWire_ParseResponse(ParseHead(text, SKY_HTTP_RESPONSE), &facts);
        EXPECT_EQ(std::string(value) == "1", facts.leaves) << value;
    }
}

TEST_F(WireTest, AnyNumberSaysThatATargetIsBrittle)
{
    static const struct {
        const char *field;
        bool is_brittle;
        uint32_t refusals_per_s;
    } CASES[] = {{"", false, 0},
                 {"Server-Brittle: 4\r\n", true, 4},
                 {"Server-Brittle: 0\r\n", true, 0},
                 {"Server-Brittle: many\r\n", true, 0}};
    for (const auto &c : CASES) {
        std::string text = std::string("HTTP/1.1 200 OK\r\n") + c.field +
                           "Content-Length: 0\r\n\r\n";
        sky_response_facts_t facts;
        SkyWire_ParseResponse(ParseHead(text, SKY_HTTP_RESPONSE), &facts);
        EXPECT_EQ(c.is_brittle, facts.is_brittle) << c.field;
        EXPECT_EQ(c.refusals_per_s, facts.refusals_per_s) << c.field;
    }
}

} // namespace
