// Which of its sources a host polls for records.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "decide/poll_sources.h"

namespace {

const char *const RELAY_AND_READERS[] = {"relay", "reader-1", "reader-2"};
const char *const OTHER_READER[] = {"relay", "reader-3", "reader-1"};

// Hosts started in waves, and followers of a dead relay began with it anew
// each time.
TEST(PollSources, ADeadRelayIsLeftThoughSourcesAreChosenAnew)
{
    sky_poll_sources_t sources = {};
    uint64_t failures = 0;
    for (uint64_t now = 1000; now < 3000; now += 200) {
        SkyPollSources_Set(&sources,
                           now % 400 ? RELAY_AND_READERS : OTHER_READER, 3);
        if (std::string(SkyPollSources_Choose(&sources, now)) == "relay") {
            failures++;
            SkyPollSources_RecordFailure(&sources, true, now);
        }
    }
    EXPECT_EQ(1u, failures);
}

TEST(PollSources, TheRelayIsTriedAgain)
{
    sky_poll_sources_t sources = {};
    SkyPollSources_Set(&sources, RELAY_AND_READERS, 3);
    SkyPollSources_RecordFailure(&sources, true, 1000);
    EXPECT_STREQ("reader-1", SkyPollSources_Choose(&sources, 2900));
    EXPECT_STREQ("relay", SkyPollSources_Choose(&sources, 3100));
}

TEST(PollSources, AllSourcesAreTriedInTurn)
{
    sky_poll_sources_t sources = {};
    SkyPollSources_Set(&sources, RELAY_AND_READERS, 3);
    for (const char *expected : {"relay", "reader-1", "reader-2"}) {
        EXPECT_STREQ(expected, SkyPollSources_Choose(&sources, 1000));
        SkyPollSources_RecordFailure(&sources, true, 1000);
    }
    SkyPollSources_RecordSuccess(&sources); // of another host
    EXPECT_STREQ("relay", SkyPollSources_Choose(&sources, 1000));
}

TEST(PollSources, ASourceThatIsGoneIsNotPolled)
{
    sky_poll_sources_t sources = {};
    EXPECT_EQ(nullptr, SkyPollSources_Choose(&sources, 1000));
    SkyPollSources_RecordFailure(&sources, true, 1000);
    SkyPollSources_Set(&sources, RELAY_AND_READERS, 3);
    SkyPollSources_RecordSuccess(&sources);
    SkyPollSources_RecordFailure(&sources, true, 1000);
    SkyPollSources_RecordFailure(&sources, true, 1000);
    SkyPollSources_Set(&sources, OTHER_READER, 3);
    EXPECT_STREQ("relay", SkyPollSources_Choose(&sources, 1000));
    std::string long_address(SKY_POLL_ADDRESS_BYTES, 'a');
    const char *const malformed[] = {long_address.c_str(), "reader-1",
                                     "reader-1"};
    SkyPollSources_Set(&sources, malformed, 3);
    SkyPollSources_RecordSuccess(&sources);
    EXPECT_STREQ("reader-1", SkyPollSources_Choose(&sources, 1000));
    EXPECT_EQ(1u, sources.count);
}

// Followers of a late relay overloaded the readers, and with them all relays.
TEST(PollSources, PollsInVainBecomeRare)
{
    sky_poll_sources_t sources = {};
    SkyPollSources_Set(&sources, RELAY_AND_READERS, 3);
    std::vector<uint32_t> delays_ms;
    for (int i = 0; i < 6; i++) {
        delays_ms.push_back(
            SkyPollSources_RecordFailure(&sources, true, 1000));
    }
    EXPECT_EQ((std::vector<uint32_t>{150, 300, 600, 1200, 1200, 1200}),
              delays_ms);
    SkyPollSources_Set(&sources, OTHER_READER, 3);
    EXPECT_EQ(1200u, SkyPollSources_RecordFailure(&sources, true, 1000));
    SkyPollSources_RecordSuccess(&sources);
    EXPECT_EQ(150u, SkyPollSources_RecordFailure(&sources, true, 1000));
}

// The store refused a host and all of its sources. It polled these for 9 s,
// while five other hosts had fresh records, and took the gap for an outage.
TEST(PollSources, AHostWhoseSourcesAllFailPollsAnother)
{
    sky_poll_sources_t sources = {};
    SkyPollSources_Set(&sources, RELAY_AND_READERS, 3);
    for (int i = 0; i < 3; i++) {
        EXPECT_NE(nullptr, SkyPollSources_Choose(&sources, 1000));
        SkyPollSources_RecordFailure(&sources, true, 1000);
    }
    EXPECT_EQ(nullptr, SkyPollSources_Choose(&sources, 1000));
    SkyPollSources_Substitute(&sources, "other-1", 1000);
    EXPECT_STREQ("other-1", SkyPollSources_Choose(&sources, 1000));
    SkyPollSources_RecordFailure(&sources, true, 1100);
    EXPECT_EQ(nullptr, SkyPollSources_Choose(&sources, 1200));
    SkyPollSources_Substitute(&sources, "other-2", 1200);
    SkyPollSources_RecordSuccess(&sources);
    SkyPollSources_Set(&sources, OTHER_READER, 3);
    EXPECT_STREQ("other-2", SkyPollSources_Choose(&sources, 11000));
    EXPECT_STREQ("relay", SkyPollSources_Choose(&sources, 11300));
    EXPECT_EQ(150u, SkyPollSources_RecordFailure(&sources, false, 11300));
    EXPECT_EQ(150u, SkyPollSources_RecordFailure(&sources, false, 11300));
}

} // namespace
