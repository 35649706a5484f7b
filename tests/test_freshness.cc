// How old the records of a host may be, and when a missing entry in the list
// of targets means that the target left.
#include <gtest/gtest.h>

#include "decide/freshness.h"

namespace {

constexpr uint64_t GRACE_MS = 2300;

sky_freshness_t
ReadAt(uint64_t read_ms)
{
    sky_freshness_t freshness = {};
    SkyFreshness_RecordRead(&freshness, read_ms, read_ms);
    return freshness;
}

// Calls the store in vain between two times.
void
CallInVain(sky_freshness_t *freshness, uint64_t from_ms, uint64_t to_ms)
{
    SkyFreshness_RecordCall(freshness, from_ms);
    for (uint64_t now = from_ms; now <= to_ms; now += 50) {
        SkyFreshness_CheckStore(freshness, now);
    }
}

TEST(Freshness, RemovesAMissingTargetAtOnceWhileTheStoreResponds)
{
    sky_freshness_t freshness = {};
    for (uint64_t now = 1000; now < 9000; now += 700) {
        SkyFreshness_RecordRead(&freshness, now, now);
        EXPECT_EQ(now, SkyFreshness_GetRemovalMs(&freshness, now));
    }
}

TEST(Freshness, GivesEntriesTimeToComeBackAfterAnOutage)
{
    sky_freshness_t freshness = ReadAt(1000);
    CallInVain(&freshness, 1300, 6000);
    EXPECT_EQ(6000u + GRACE_MS, SkyFreshness_GetRemovalMs(&freshness, 6000));
    SkyFreshness_RecordRead(&freshness, 7000, 7000);
    EXPECT_EQ(9300u, SkyFreshness_GetRemovalMs(&freshness, 7100));
    SkyFreshness_RecordRead(&freshness, 8000, 8000);
    EXPECT_EQ(9300u, SkyFreshness_GetRemovalMs(&freshness, 9000));
    SkyFreshness_RecordRead(&freshness, 9200, 9200);
    EXPECT_EQ(9400u, SkyFreshness_GetRemovalMs(&freshness, 9400));
}

// A host that heard nothing for 1.5 s kept a missing target for 2.3 s more,
// though the store had responded all the while (DRAIN).
TEST(Freshness, AGapOfThisHostIsNoOutage)
{
    sky_freshness_t freshness = ReadAt(1000);
    SkyFreshness_RecordCall(&freshness, 1300);
    SkyFreshness_CheckStore(&freshness, 1320);
    SkyFreshness_CheckStore(&freshness, 4000); // it stood still
    SkyFreshness_RecordRead(&freshness, 4010, 4010);
    EXPECT_EQ(4010u, SkyFreshness_GetRemovalMs(&freshness, 4010));
}

// One that runs for 20 ms in each 200 ms gets a response in the next turn.
TEST(Freshness, AHostThatRunsInShortBurstsSeesNoOutage)
{
    sky_freshness_t freshness = ReadAt(1000);
    for (uint64_t now = 1200; now < 9000; now += 600) {
        SkyFreshness_RecordCall(&freshness, now);
        SkyFreshness_CheckStore(&freshness, now + 200);
        EXPECT_FALSE(SkyFreshness_IsStoreUnreachable(&freshness));
        SkyFreshness_RecordRead(&freshness, now, now + 200);
    }
    EXPECT_EQ(9000u, SkyFreshness_GetRemovalMs(&freshness, 9000));
}

// An outage that this host slept through is known to its peers.
TEST(Freshness, APeerTellsOfAnOutage)
{
    sky_freshness_t freshness = ReadAt(1000);
    sky_peer_read_t read = {5000, 4900, true};
    SkyFreshness_RecordPeerRead(&freshness, &read, 5100);
    EXPECT_EQ(5100u + GRACE_MS, SkyFreshness_GetRemovalMs(&freshness, 5100));
}

TEST(Freshness, AnOutageOfAPeerAloneIsNone)
{
    sky_freshness_t freshness = ReadAt(1000);
    sky_peer_read_t read = {4000, 900, true};
    SkyFreshness_RecordPeerRead(&freshness, &read, 4100); // one of before
    EXPECT_EQ(4100u, SkyFreshness_GetRemovalMs(&freshness, 4100));
    SkyFreshness_RecordRead(&freshness, 5000, 5000);
    read = {5500, 5400, true}; // this host read the store meanwhile
    SkyFreshness_RecordPeerRead(&freshness, &read, 5600);
    EXPECT_EQ(5600u, SkyFreshness_GetRemovalMs(&freshness, 5600));
}

// Hosts of a build that does not tell of outages may have met one.
TEST(Freshness, AGapBeforeTheReadOfASilentPeerMayBeAnOutage)
{
    sky_freshness_t freshness = ReadAt(1000);
    sky_peer_read_t read = {4000, 0, false};
    SkyFreshness_RecordPeerRead(&freshness, &read, 4100);
    EXPECT_EQ(4100u + GRACE_MS, SkyFreshness_GetRemovalMs(&freshness, 4100));
}

// A host that the store refused kept a target that had left, though the
// records relayed by its peers were fresh (DRAIN on kgv trouble-1: 2951 of
// 2000 ms).
TEST(Freshness, CountsRelayedRecordsByTheAgeOfTheirRead)
{
    sky_freshness_t freshness = ReadAt(1000);
    for (uint64_t now = 1600; now < 9000; now += 600) {
        CallInVain(&freshness, now - 500, now - 10);
        sky_peer_read_t read = {now - 500, 0, true};
        SkyFreshness_RecordPeerRead(&freshness, &read, now);
        EXPECT_EQ(now, SkyFreshness_GetRemovalMs(&freshness, now));
        EXPECT_FALSE(SkyFreshness_IsStale(&freshness, now));
    }
}

// Hosts that relay the same records in a circle must see their age grow.
TEST(Freshness, AnOldRelayedReadDoesNotRefresh)
{
    sky_freshness_t freshness = ReadAt(1000);
    sky_peer_read_t read = {900, 0, true};
    SkyFreshness_RecordPeerRead(&freshness, &read, 2000);
    EXPECT_EQ(1000u, freshness.read_ms);
    EXPECT_TRUE(SkyFreshness_IsStale(&freshness, 2101));
}

// Requests that waited while a host stood still were sent by its old list.
TEST(Freshness, OldRecordsAreNotUsableUntilTheStoreIsKnownToBeAway)
{
    sky_freshness_t freshness = ReadAt(1000);
    EXPECT_TRUE(SkyFreshness_IsUsable(&freshness, 1400, 2400));
    SkyFreshness_RecordCall(&freshness, 1300);
    SkyFreshness_CheckStore(&freshness, 5000); // it stood still
    EXPECT_FALSE(SkyFreshness_IsUsable(&freshness, 1400, 5000));
    for (uint64_t now = 5050; now <= 5200; now += 50) {
        SkyFreshness_CheckStore(&freshness, now);
    }
    EXPECT_TRUE(SkyFreshness_IsUsable(&freshness, 1400, 5200));
}

TEST(Freshness, NothingIsAskedOfAHostThatKnowsNoRecords)
{
    sky_freshness_t freshness = {};
    EXPECT_TRUE(SkyFreshness_IsUsable(&freshness, 1400, 90000));
}

// A host that never read the store, or not within the bound, could serve
// removed keys.
TEST(Freshness, AProofEndsWithTheBound)
{
    sky_freshness_t freshness = {};
    EXPECT_FALSE(SkyFreshness_IsProven(&freshness, 4700, 100));
    SkyFreshness_RecordProof(&freshness, 1000);
    EXPECT_TRUE(SkyFreshness_IsProven(&freshness, 4700, 1000));
    EXPECT_TRUE(SkyFreshness_IsProven(&freshness, 4700, 5699));
    EXPECT_FALSE(SkyFreshness_IsProven(&freshness, 4700, 5700));
    EXPECT_FALSE(SkyFreshness_IsProven(&freshness, 0, 1000));
}

// A relayed proof that arrives late must not take the place of a newer one,
// and none counts that is not known to be one.
TEST(Freshness, TheNewestProofCounts)
{
    sky_freshness_t freshness = {};
    SkyFreshness_RecordProof(&freshness, 3000);
    SkyFreshness_RecordProof(&freshness, 1000);
    SkyFreshness_RecordProof(&freshness, 0);
    EXPECT_EQ(3000u, freshness.proven_boot_ms);
    sky_freshness_t unread = {};
    SkyFreshness_RecordRead(&unread, 3000, 3100);
    SkyFreshness_RecordLoss(&unread, 3200);
    EXPECT_FALSE(SkyFreshness_IsProven(&unread, 4700, 3200));
}

// Neither an unreachable store nor unusable records extend it.
TEST(Freshness, AnOutageExtendsNoProof)
{
    sky_freshness_t freshness = ReadAt(1000);
    SkyFreshness_RecordProof(&freshness, 1000);
    SkyFreshness_RecordCall(&freshness, 1300);
    for (uint64_t now = 1300; now <= 6000; now += 50) {
        SkyFreshness_CheckStore(&freshness, now);
    }
    EXPECT_TRUE(SkyFreshness_IsUsable(&freshness, 1400, 6000));
    EXPECT_FALSE(SkyFreshness_IsProven(&freshness, 4700, 6000));
}

} // namespace
