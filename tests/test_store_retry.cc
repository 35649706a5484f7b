// How hosts share the reads of a store that fails, replayed on a clock of the
// test: many hosts, of which two read for all and some relay, and an outage
// for all of them or for some.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "decide/store_retry.h"

namespace {

constexpr uint32_t TOPICS = 3;
constexpr uint32_t LISTED_MAX = 64;
constexpr uint64_t STALE_MS = 1100;

using delay_rule_t = uint32_t (*)(const sky_store_retry_t *retry);

// Each host for itself.
uint32_t
DoublingDelay(const sky_store_retry_t *retry)
{
    uint32_t delay_ms = 100u << std::min(retry->failed_reads - 1, 3u);
    return std::min(delay_ms, 800u);
}
uint32_t
NoDelay(const sky_store_retry_t *)
{
    return 0;
}

struct replay_t {
    uint32_t hosts;
    uint32_t relays;
    delay_rule_t next;
    delay_rule_t first;
    uint32_t seed;
};

struct result_t {
    double reads_per_s;
    uint64_t first_read_ms;     // after the outage, by a reader or relay
    uint64_t first_stand_in_ms; // by any other host that the store serves
};

// An outage of 10 s. From its fifth second on the store serves the followers,
// which has no effect here but on first_stand_in_ms.
result_t
ReplayOutage(const replay_t &replay)
{
    constexpr uint64_t OUTAGE_MS = 10000;
    std::mt19937_64 random(replay.seed);
    uint32_t reads = 0;
    result_t result = {0, UINT64_MAX, UINT64_MAX};
    for (uint32_t host = 0; host < replay.hosts; host++) {
        sky_store_retry_t retry = {
            host < replay.relays ? SKY_STORE_ROLE_READER
            : host < LISTED_MAX  ? SKY_STORE_ROLE_FOLLOWER
                                 : SKY_STORE_ROLE_UNLISTED,
            std::min(replay.hosts, LISTED_MAX), TOPICS, 0, 0};
        for (uint32_t topic = 0; topic < TOPICS; topic++) {
            retry.failed_reads = 0;
            retry.random = random();
            bool is_reader = host < replay.relays;
            uint64_t at_ms = is_reader ? 0 : STALE_MS + replay.first(&retry);
            for (; at_ms < OUTAGE_MS; at_ms += replay.next(&retry)) {
                reads++;
                retry.failed_reads++;
                retry.random = random();
                if (!is_reader && at_ms >= 5000) {
                    result.first_stand_in_ms =
                        std::min(result.first_stand_in_ms, at_ms - 5000);
                }
            }
            if (is_reader) {
                result.first_read_ms =
                    std::min(result.first_read_ms, at_ms - OUTAGE_MS);
            }
        }
    }
    result.reads_per_s = reads * 1000.0 / OUTAGE_MS;
    return result;
}

// Guards against an outage in which each host reads as if it were alone.
TEST(StoreRetry, ManyHostsReadAFailingStoreSixtyTimesASecond)
{
    for (uint32_t hosts : {60u, 195u, 330u}) {
        for (uint32_t seed = 1; seed <= 10; seed++) {
            result_t result =
                ReplayOutage({hosts, 7, SkyStoreRetry_GetDelayMs,
                              SkyStoreRetry_GetFirstDelayMs, seed});
            EXPECT_LE(result.reads_per_s, 60.0) << hosts;
            EXPECT_LE(result.first_read_ms, 800u) << hosts;
            EXPECT_LE(result.first_stand_in_ms, 1000u) << hosts;
        }
    }
}

TEST(StoreRetry, TheReplayFindsWhatHostsDoThatDoNotShare)
{
    EXPECT_GT(ReplayOutage({195, 7, DoublingDelay, NoDelay, 1}).reads_per_s,
              500.0);
}

TEST(StoreRetry, FewHostsReadAsOftenAsEachForItself)
{
    for (uint32_t failed = 4; failed < 10; failed++) {
        sky_store_retry_t retry = {SKY_STORE_ROLE_FOLLOWER, 9, TOPICS, failed,
                                   12345};
        EXPECT_EQ(SkyStoreRetry_GetDelayMs(&retry), DoublingDelay(&retry));
        EXPECT_EQ(SkyStoreRetry_GetFirstDelayMs(&retry), 0u);
    }
}

TEST(StoreRetry, AHostWithoutRecordsTriesAtOnceAndThenLessOften)
{
    sky_store_retry_t retry = {SKY_STORE_ROLE_STARTING, 3, TOPICS, 1, 0};
    EXPECT_EQ(SkyStoreRetry_GetFirstDelayMs(&retry), 0u);
    EXPECT_EQ(SkyStoreRetry_GetDelayMs(&retry), 100u);
    retry.failed_reads = 40;
    EXPECT_EQ(SkyStoreRetry_GetDelayMs(&retry), 3200u);
}

} // namespace
