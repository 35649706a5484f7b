/**
 * @file test_codec.cc
 * @brief What comes from outside: messages, records, documents.
 *
 * Mutated inputs are drawn from a fixed seed; the run under sanitizers is what
 * makes them count.
 */
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "decide/document.h"
#include "peer/codec.h"
#include "platform/record_json.h"

namespace {

const char KEY[] = "key-between-hosts-for-tests";
const int MUTATIONS = 20000;

void
Collect(const sky_in_message_t *in, void *context)
{
    static_cast<std::vector<sky_in_message_t> *>(context)->push_back(*in);
}

/** One message of each kind, with its first bytes set. */
std::vector<sky_msg_t>
EveryKind()
{
    std::vector<sky_msg_t> messages;
    for (int kind = SKY_MSG_HEARTBEAT; kind <= SKY_MSG_DOUBT; kind++) {
        sky_msg_t msg = {};
        msg.kind = (sky_msg_kind_t)kind;
        msg.u.acquire.request = 0x1122334455667788;
        msg.u.acquire.adapter = 0x99aabbccddeeff00;
        if (kind == SKY_MSG_INFLIGHT) {
            msg.u.inflight = {};
            msg.u.inflight.count = SKY_INFLIGHT_PER_MSG;
            msg.u.inflight.permits[63].epoch = 7;
        }
        if (kind == SKY_MSG_JOIN_ASK) {
            msg.u.join_ask = {};
            strcpy(msg.u.join_ask.name, "host1");
        }
        messages.push_back(msg);
    }
    return messages;
}

std::vector<char>
Encode(const std::vector<sky_msg_t> &messages)
{
    std::vector<char> body(65536);
    size_t taken = 0;
    size_t size = SkyCodec_Encode(42, messages.data(), messages.size(),
                                  body.data(), body.size(), &taken);
    EXPECT_EQ(taken, messages.size());
    body.resize(size);
    return body;
}

TEST(Codec, EveryMessageComesBack)
{
    std::vector<sky_msg_t> messages = EveryKind();
    std::vector<char> body = Encode(messages);
    std::vector<sky_in_message_t> decoded;
    ASSERT_EQ(SkyCodec_Decode(body.data(), body.size(), Collect, &decoded),
              SKY_OK);
    ASSERT_EQ(decoded.size(), messages.size());
    for (size_t i = 0; i < messages.size(); i++) {
        EXPECT_EQ(decoded[i].from, 42u);
        EXPECT_EQ(decoded[i].msg.kind, messages[i].kind);
        std::vector<char> again = Encode({decoded[i].msg});
        EXPECT_EQ(again, Encode({messages[i]})) << "kind " << messages[i].kind;
    }
}

TEST(Codec, AnotherKeyOrAChangedBodyIsRejected)
{
    std::vector<char> body = Encode(EveryKind());
    uint8_t signature[SKY_SIGNATURE_BYTES];
    SkyCodec_Sign(KEY, body.data(), body.size(), signature);
    EXPECT_TRUE(SkyCodec_Verify(KEY, body.data(), body.size(), signature));
    EXPECT_FALSE(SkyCodec_Verify("another-key-for-tests", body.data(),
                                 body.size(), signature));
    body[20] ^= 1;
    EXPECT_FALSE(SkyCodec_Verify(KEY, body.data(), body.size(), signature));
}

TEST(Codec, MutatedBodiesAreDecodedOrRefused)
{
    const std::vector<char> whole = Encode(EveryKind());
    unsigned short random[3] = {1, 2, 3};
    uint32_t refused = 0;
    for (int i = 0; i < MUTATIONS; i++) {
        std::vector<char> body = whole;
        for (int m = 0; m < 4; m++) {
            body[nrand48(random) % body.size()] = (char)nrand48(random);
        }
        body.resize(nrand48(random) % body.size());
        std::vector<sky_in_message_t> decoded;
        refused += SkyCodec_Decode(body.data(), body.size(), Collect,
                                   &decoded) != SKY_OK;
        EXPECT_LE(decoded.size(), body.size() / 4);
    }
    EXPECT_GT(refused, MUTATIONS / 2u);
}

std::vector<sky_record_t>
EveryRecord()
{
    std::vector<sky_record_t> records;
    for (int kind = SKY_REC_JOIN; kind <= SKY_REC_SNAPSHOT; kind++) {
        sky_record_t record = {};
        record.kind = (sky_record_kind_t)kind;
        record.nonce = 0xfedcba9876543210;
        if (kind <= SKY_REC_MEMBER) {
            record.u.member.host = 0xa1;
            record.u.member.sponsor = 9;
            strcpy(record.u.member.name, "host1");
        }
        else if (kind <= SKY_REC_RELEASE) {
            record.u.claims.count = 2;
            record.u.claims.keys[1].high = 0xffffffffffffffff;
        }
        else if (kind <= SKY_REC_CRASH) {
            record.u.crash.fingerprint = 0xffffffffffffff01;
        }
        else {
            record.u.config.kind = SKY_CONFIG_WORKSPACE;
            record.u.config.generation = 0xfffffffffffffff1;
            record.u.config.body = const_cast<char *>("{\"a\": \"\\\"\"}");
        }
        records.push_back(record);
    }
    return records;
}

TEST(RecordJson, EveryRecordComesBack)
{
    for (const sky_record_t &record : EveryRecord()) {
        json_t *data = SkyRecordJson_Encode(&record);
        sky_record_t decoded;
        ASSERT_EQ(SkyRecordJson_Decode(data, &decoded), SKY_OK)
            << "kind " << record.kind;
        json_t *again = SkyRecordJson_Encode(&decoded);
        EXPECT_TRUE(json_equal(data, again)) << "kind " << record.kind;
        EXPECT_EQ(decoded.nonce, record.nonce);
        SkyRecord_Free(&decoded);
        json_decref(data);
        json_decref(again);
    }
}

TEST(RecordJson, ForeignRecordsAreRefused)
{
    const char *const FOREIGN[] = {
        "{}",
        "[]",
        "7",
        "{\"kind\": 99}",
        "{\"kind\": 9}",
        "{\"kind\": 1, \"host\": 5}",
        "{\"kind\": 9, \"body\": 7}",
        "{\"kind\": 9, \"body\": \"{}\", \"document\": 3}",
    };
    for (const char *text : FOREIGN) {
        json_t *data = json_loads(text, JSON_DECODE_ANY, nullptr);
        sky_record_t record;
        EXPECT_NE(SkyRecordJson_Decode(data, &record), SKY_OK) << text;
        json_decref(data);
    }
}

const char WORKSPACE[] =
    "{\"template\": \"opening\", \"credential\": "
    "\"0123456789012345678901234567890123456789012345678901234567890123\", "
    "\"parameters\": {\"urgency\": 7, \"opens_at_s\": 1800000000}, "
    "\"adapters\": [{\"name\": \"notes\", \"version\": \"3\", \"weight\": "
    "2}]}";

TEST(Document, AWorkspaceIsRead)
{
    sky_workspace_t workspace;
    char why[SKY_NAME_BYTES];
    ASSERT_EQ(SkyDocument_ParseWorkspace(WORKSPACE, &workspace, why), SKY_OK);
    ASSERT_EQ(workspace.adapter_count, 1u);
    EXPECT_EQ(workspace.adapters[0].id, SkyAdapter_Id("notes", "3"));
    EXPECT_EQ(workspace.event.opens_at_ms, 1800000000000u);
    EXPECT_EQ(workspace.event.urgency, 7u);
    SkyDocument_FreeWorkspace(&workspace);
}

TEST(Document, BadTemplatesNameTheKey)
{
    struct {
        const char *body;
        const char *key;
    } const BAD[] = {
        {"{}", "pool"},
        {"{\"pool\": \"\"}", "pool"},
        {"{\"pool\": \"desk\", \"urgency\": 10}", "urgency"},
        {"{\"pool\": \"desk\", \"urgncy\": 1}", "urgncy"},
        {"{\"pool\": \"desk\", \"prewarm_s\": -1}", "prewarm_s"},
        {"[]", "body"},
        {"{\"pool\": \"desk\"", "body"},
    };
    for (const auto &bad : BAD) {
        sky_event_t event;
        char why[SKY_NAME_BYTES] = "";
        EXPECT_EQ(SkyDocument_ParseTemplate(bad.body, &event, why),
                  SKY_E_BAD_CONFIG)
            << bad.body;
        EXPECT_EQ(std::string(why).find(bad.key), 0u) << why;
    }
}

TEST(Document, MutatedWorkspacesAreReadOrRefused)
{
    unsigned short random[3] = {4, 5, 6};
    uint32_t refused = 0;
    for (int i = 0; i < MUTATIONS; i++) {
        std::string body = WORKSPACE;
        body[nrand48(random) % body.size()] =
            (char)(32 + nrand48(random) % 95);
        sky_workspace_t workspace;
        char why[SKY_NAME_BYTES];
        if (SkyDocument_ParseWorkspace(body.c_str(), &workspace, why) ==
            SKY_OK) {
            SkyDocument_FreeWorkspace(&workspace);
        }
        else {
            refused++;
        }
    }
    EXPECT_GT(refused, MUTATIONS / 4u);
}

} // namespace
