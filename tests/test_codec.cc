/**
 * @file test_codec.cc
 * @brief Decoding of untrusted input: messages, log records, documents.
 *
 * Guards against fields that are lost or mixed up between encoding and
 * decoding, and against crashes on malformed input. The mutated inputs come
 * from fixed seeds; memory errors in the decoders show only when this program
 * is built with sanitizers.
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
const int MUTATED_INPUTS = 20000;

void
CollectMessage(const sky_in_message_t *in, void *context)
{
    static_cast<std::vector<sky_in_message_t> *>(context)->push_back(*in);
}

/** @return one message of each kind, with its first bytes set. */
std::vector<sky_msg_t>
MakeMessageOfEachKind()
{
    std::vector<sky_msg_t> messages;
    for (int kind = SKY_MSG_HEARTBEAT; kind <= SKY_MSG_UNCONFIRMED_CRASH;
         kind++) {
        sky_msg_t msg = {};
        msg.kind = (sky_msg_kind_t)kind;
        msg.u.acquire.request = 0x1122334455667788;
        msg.u.acquire.adapter = 0x99aabbccddeeff00;
        if (kind == SKY_MSG_PERMIT_LIST) {
            msg.u.permit_list = {};
            msg.u.permit_list.count = SKY_PERMITS_PER_MSG_MAX;
            msg.u.permit_list.permits[63].epoch = 7;
        }
        if (kind == SKY_MSG_JOIN_REQUEST) {
            msg.u.join_request = {};
            strcpy(msg.u.join_request.name, "host1");
        }
        messages.push_back(msg);
    }
    return messages;
}

std::vector<char>
EncodeMessages(const std::vector<sky_msg_t> &messages)
{
    std::vector<char> body(65536);
    size_t encoded_count = 0;
    size_t size = SkyCodec_Encode(42, messages.data(), messages.size(),
                                  body.data(), body.size(), &encoded_count);
    EXPECT_EQ(encoded_count, messages.size());
    body.resize(size);
    return body;
}

TEST(Codec, DecodesEachKindOfMessageAsEncoded)
{
    std::vector<sky_msg_t> messages = MakeMessageOfEachKind();
    std::vector<char> body = EncodeMessages(messages);
    std::vector<sky_in_message_t> decoded;
    ASSERT_EQ(
        SkyCodec_Decode(body.data(), body.size(), CollectMessage, &decoded),
        SKY_OK);
    ASSERT_EQ(decoded.size(), messages.size());
    for (size_t i = 0; i < messages.size(); i++) {
        EXPECT_EQ(decoded[i].from, 42u);
        EXPECT_EQ(decoded[i].msg.kind, messages[i].kind);
        std::vector<char> reencoded = EncodeMessages({decoded[i].msg});
        EXPECT_EQ(reencoded, EncodeMessages({messages[i]}))
            << "kind " << messages[i].kind;
    }
}

TEST(Codec, VerifyFailsForAnotherKeyOrAModifiedBody)
{
    std::vector<char> body = EncodeMessages(MakeMessageOfEachKind());
    uint8_t signature[SKY_SIGNATURE_BYTES];
    SkyCodec_Sign(KEY, body.data(), body.size(), signature);
    EXPECT_TRUE(SkyCodec_Verify(KEY, body.data(), body.size(), signature));
    EXPECT_FALSE(SkyCodec_Verify("another-key-for-tests", body.data(),
                                 body.size(), signature));
    body[20] ^= 1;
    EXPECT_FALSE(SkyCodec_Verify(KEY, body.data(), body.size(), signature));
}

TEST(Codec, DecodesOrRejectsMutatedBodies)
{
    const std::vector<char> intact_body =
        EncodeMessages(MakeMessageOfEachKind());
    unsigned short random[3] = {1, 2, 3};
    uint32_t rejected_count = 0;
    for (int i = 0; i < MUTATED_INPUTS; i++) {
        std::vector<char> body = intact_body;
        for (int mutation = 0; mutation < 4; mutation++) {
            body[nrand48(random) % body.size()] = (char)nrand48(random);
        }
        body.resize(nrand48(random) % body.size());
        std::vector<sky_in_message_t> decoded;
        rejected_count += SkyCodec_Decode(body.data(), body.size(),
                                          CollectMessage, &decoded) != SKY_OK;
        EXPECT_LE(decoded.size(), body.size() / 4);
    }
    EXPECT_GT(rejected_count, MUTATED_INPUTS / 2u);
}

/** @return one record of each kind, with some of its fields set. */
std::vector<sky_record_t>
MakeRecordOfEachKind()
{
    std::vector<sky_record_t> records;
    for (int kind = SKY_REC_JOIN; kind <= SKY_REC_CONFIG_SNAPSHOT; kind++) {
        sky_record_t record = {};
        record.kind = (sky_record_kind_t)kind;
        record.nonce = 0xfedcba9876543210;
        if (kind <= SKY_REC_MEMBER_RESTATE) {
            record.u.member.host = 0xa1;
            record.u.member.sponsor = 9;
            strcpy(record.u.member.name, "host1");
        }
        else if (kind <= SKY_REC_CLAIM_RELEASE) {
            record.u.claims.count = 2;
            record.u.claims.keys[1].high = 0xffffffffffffffff;
        }
        else if (kind <= SKY_REC_CRASH_CONFIRMED) {
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

TEST(RecordJson, DecodesEachKindOfRecordAsEncoded)
{
    for (const sky_record_t &record : MakeRecordOfEachKind()) {
        json_t *data = SkyRecordJson_Encode(&record);
        sky_record_t decoded;
        ASSERT_EQ(SkyRecordJson_Decode(data, &decoded), SKY_OK)
            << "kind " << record.kind;
        json_t *reencoded = SkyRecordJson_Encode(&decoded);
        EXPECT_TRUE(json_equal(data, reencoded)) << "kind " << record.kind;
        EXPECT_EQ(decoded.nonce, record.nonce);
        SkyRecord_Clear(&decoded);
        json_decref(data);
        json_decref(reencoded);
    }
}

TEST(RecordJson, RejectsMalformedRecords)
{
    const char *const MALFORMED[] = {
        "{}",
        "[]",
        "7",
        "{\"kind\": 99}",
        "{\"kind\": 9}",
        "{\"kind\": 1, \"host\": 5}",
        "{\"kind\": 9, \"body\": 7}",
        "{\"kind\": 9, \"body\": \"{}\", \"document\": 3}",
    };
    for (const char *text : MALFORMED) {
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

TEST(Document, ParsesAValidWorkspace)
{
    sky_workspace_t workspace;
    char error_text[SKY_NAME_BYTES];
    ASSERT_EQ(SkyDocument_ParseWorkspace(WORKSPACE, &workspace, error_text),
              SKY_OK);
    ASSERT_EQ(workspace.adapter_count, 1u);
    EXPECT_EQ(workspace.adapters[0].id, SkyAdapter_HashId("notes", "3"));
    EXPECT_EQ(workspace.event.opens_at_ms, 1800000000000u);
    EXPECT_EQ(workspace.event.urgency, 7u);
    SkyDocument_FreeWorkspace(&workspace);
}

TEST(Document, ErrorForAnInvalidTemplateNamesTheKey)
{
    struct {
        const char *body;
        const char *key;
    } const INVALID[] = {
        {"{}", "pool"},
        {"{\"pool\": \"\"}", "pool"},
        {"{\"pool\": \"desk\", \"urgency\": 10}", "urgency"},
        {"{\"pool\": \"desk\", \"urgncy\": 1}", "urgncy"},
        {"{\"pool\": \"desk\", \"prewarm_s\": -1}", "prewarm_s"},
        {"[]", "body"},
        {"{\"pool\": \"desk\"", "body"},
    };
    for (const auto &invalid : INVALID) {
        sky_event_settings_t event;
        char error_text[SKY_NAME_BYTES] = "";
        EXPECT_EQ(SkyDocument_ParseTemplate(invalid.body, &event, error_text),
                  SKY_E_BAD_CONFIG)
            << invalid.body;
        EXPECT_EQ(std::string(error_text).find(invalid.key), 0u) << error_text;
    }
}

TEST(Document, ParsesOrRejectsMutatedWorkspaces)
{
    unsigned short random[3] = {4, 5, 6};
    uint32_t rejected_count = 0;
    for (int i = 0; i < MUTATED_INPUTS; i++) {
        std::string body = WORKSPACE;
        body[nrand48(random) % body.size()] =
            (char)(32 + nrand48(random) % 95);
        sky_workspace_t workspace;
        char error_text[SKY_NAME_BYTES];
        if (SkyDocument_ParseWorkspace(body.c_str(), &workspace, error_text) ==
            SKY_OK) {
            SkyDocument_FreeWorkspace(&workspace);
        }
        else {
            rejected_count++;
        }
    }
    EXPECT_GT(rejected_count, MUTATED_INPUTS / 4u);
}

} // namespace
