// Values of records in messages between hosts.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <cstring>
#include <string>

#include "edge/encoded_value.h"

namespace {

std::string
Decode(const char *text, uint32_t inflated_bytes)
{
    char *value = nullptr;
    size_t size = 0;
    if (!SkyEncodedValue_Decode(text, inflated_bytes, &value, &size)) {
        return "malformed";
    }
    std::string decoded(value, size);
    free(value);
    return decoded;
}

std::string
RoundTrip(const std::string &value, bool may_deflate)
{
    sky_encoded_value_t encoded = {};
    EXPECT_TRUE(SkyEncodedValue_Make(value.data(), value.size(), may_deflate,
                                     &encoded));
    std::string decoded = Decode(encoded.text, encoded.inflated_bytes);
    SkyEncodedValue_Clear(&encoded);
    return decoded;
}

TEST(EncodedValue, AnyBytesComeBack)
{
    std::string bytes;
    for (int i = 0; i < 5000; i++) {
        bytes += (char)(i * i / 7);
        if (i < 40 || i % 500 == 0) {
            EXPECT_EQ(bytes, RoundTrip(bytes, true));
            EXPECT_EQ(bytes, RoundTrip(bytes, false));
        }
    }
}

// Guards against a relay whose link is busy with one document for longer than
// a poll may take.
TEST(EncodedValue, AConfigurationOfManyRoutesIsSentInAFifthOfItsSize)
{
    std::string document;
    for (int i = 0; i < 1400; i++) {
        document += "{\"name\":\"r-" + std::to_string(i * 7919) +
                    "\",\"host\":\"a.example\",\"pathPrefix\":\"/p" +
                    std::to_string(i * 104729) +
                    "/\",\"routeKind\":\"idempotent\",\"timeoutMs\":1500,"
                    "\"service\":\"app\",\"maxAttempts\":2},";
    }
    sky_encoded_value_t encoded = {};
    ASSERT_TRUE(SkyEncodedValue_Make(document.data(), document.size(), true,
                                     &encoded));
    EXPECT_LT(strlen(encoded.text), document.size() / 5);
    EXPECT_EQ(document, Decode(encoded.text, encoded.inflated_bytes));
    SkyEncodedValue_Clear(&encoded);
}

// A build that does not read compressed values polls too.
TEST(EncodedValue, APeerThatDoesNotSaySoGetsNoCompressedValue)
{
    std::string value(5000, 'a');
    sky_encoded_value_t encoded = {};
    ASSERT_TRUE(
        SkyEncodedValue_Make(value.data(), value.size(), false, &encoded));
    EXPECT_EQ(0u, encoded.inflated_bytes);
    SkyEncodedValue_Clear(&encoded);
}

TEST(EncodedValue, MalformedTextIsRefused)
{
    std::string value(5000, 'a');
    sky_encoded_value_t encoded = {};
    ASSERT_TRUE(
        SkyEncodedValue_Make(value.data(), value.size(), true, &encoded));
    EXPECT_EQ("malformed", Decode("*", 0));
    EXPECT_EQ("malformed", Decode("AAAA", 5000));
    EXPECT_EQ("malformed", Decode(encoded.text, 4999));
    EXPECT_EQ("malformed", Decode(encoded.text, 5001));
    EXPECT_EQ("malformed", Decode(encoded.text, UINT32_MAX));
    SkyEncodedValue_Clear(&encoded);
}

} // namespace
