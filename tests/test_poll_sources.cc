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
            SkyPollSources_RecordFailure(&sources, now);
        }
    }
    EXPECT_EQ(1u, failures);
}

TEST(PollSources, TheRelayIsTriedAgain)
{
    sky_poll_sources_t sources = {};
    SkyPollSources_Set(&sources, RELAY_AND_READERS, 3);
    SkyPollSources_RecordFailure(&sources, 1000);
    EXPECT_STREQ("reader-1", SkyPollSources_Choose(&sources, 2900));
    EXPECT_STREQ("relay", SkyPollSources_Choose(&sources, 3100));
}

TEST(PollSources, AllSourcesAreTriedInTurn)
{
    sky_poll_sources_t sources = {};
    SkyPollSources_Set(&sources, RELAY_AND_READERS, 3);
    for (const char *expected : {"relay", "reader-1", "reader-2", "relay"}) {
        EXPECT_STREQ(expected, SkyPollSources_Choose(&sources, 1000));
        SkyPollSources_RecordFailure(&sources, 1000);
    }
}

TEST(PollSources, ASourceThatIsGoneIsNotPolled)
{
    sky_poll_sources_t sources = {};
    EXPECT_EQ(nullptr, SkyPollSources_Choose(&sources, 1000));
    SkyPollSources_RecordFailure(&sources, 1000);
    SkyPollSources_Set(&sources, RELAY_AND_READERS, 3);
    SkyPollSources_RecordFailure(&sources, 1000);
    SkyPollSources_RecordFailure(&sources, 1000);
    SkyPollSources_Set(&sources, OTHER_READER, 3);
    EXPECT_STREQ("relay", SkyPollSources_Choose(&sources, 1000));
    std::string long_address(SKY_POLL_ADDRESS_BYTES, 'a');
    const char *const malformed[] = {long_address.c_str(), "reader-1",
                                     "reader-1"};
    SkyPollSources_Set(&sources, malformed, 3);
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
        delays_ms.push_back(SkyPollSources_RecordFailure(&sources, 1000));
    }
    EXPECT_EQ((std::vector<uint32_t>{150, 300, 600, 1200, 1200, 1200}),
              delays_ms);
    SkyPollSources_Set(&sources, OTHER_READER, 3);
    EXPECT_EQ(1200u, SkyPollSources_RecordFailure(&sources, 1000));
    SkyPollSources_RecordSuccess(&sources);
    EXPECT_EQ(150u, SkyPollSources_RecordFailure(&sources, 1000));
}

} // namespace
