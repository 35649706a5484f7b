// The targets that a request may be sent to next.
#include <gtest/gtest.h>

#include "decide/attempts.h"

namespace {

sky_fleet_query_t
RestrictedQuery(const sky_attempts_t &attempts, uint32_t targets_max)
{
    sky_fleet_query_t query = {};
    SkyAttempts_Bound(&attempts, targets_max, &query);
    return query;
}

TEST(Attempts, AllowsAnyTargetBeforeTheFirstSend)
{
    sky_attempts_t attempts = {};
    EXPECT_EQ(0u, RestrictedQuery(attempts, 1).only_count);
    EXPECT_EQ(0u, RestrictedQuery(attempts, 1).avoid_count);
}

TEST(Attempts, AllowsNoMoreTargetsThanTheRouteDoes)
{
    sky_attempts_t attempts = {};
    SkyAttempts_NoteSent(&attempts, 11);
    EXPECT_EQ(0u, RestrictedQuery(attempts, 2).only_count);
    SkyAttempts_NoteSent(&attempts, 11);
    EXPECT_EQ(0u, RestrictedQuery(attempts, 2).only_count)
        << "the same target again";
    SkyAttempts_NoteSent(&attempts, 22);
    sky_fleet_query_t query = RestrictedQuery(attempts, 2);
    ASSERT_EQ(2u, query.only_count);
    EXPECT_EQ(11u, query.allowed[0]);
    EXPECT_EQ(22u, query.allowed[1]);
}

// On a day of a large site, 780 requests that no target had run failed with
// "no_other_target" after a full or unreachable target.
TEST(Attempts, DoesNotCountATargetThatDidNotRunTheRequest)
{
    sky_attempts_t attempts = {};
    SkyAttempts_NoteSent(&attempts, 11);
    SkyAttempts_NoteNotRun(&attempts, 11);
    SkyAttempts_NoteFailed(&attempts, 11);
    sky_fleet_query_t query = RestrictedQuery(attempts, 1);
    EXPECT_EQ(0u, query.only_count);
    ASSERT_EQ(1u, query.avoid_count);
    EXPECT_EQ(11u, query.avoid[0]);
    SkyAttempts_NoteSent(&attempts, 22);
    EXPECT_EQ(1u, RestrictedQuery(attempts, 1).only_count);
}

TEST(Attempts, CountsATargetThatMayHaveRunAnEarlierSend)
{
    sky_attempts_t attempts = {};
    SkyAttempts_NoteSent(&attempts, 11);
    SkyAttempts_NoteSent(&attempts, 22);
    SkyAttempts_NoteSent(&attempts, 11);
    SkyAttempts_NoteNotRun(&attempts, 11);
    EXPECT_EQ(2u, RestrictedQuery(attempts, 2).only_count);
    SkyAttempts_NoteNotRun(&attempts, 22);
    sky_fleet_query_t query = RestrictedQuery(attempts, 1);
    ASSERT_EQ(1u, query.only_count);
    EXPECT_EQ(11u, query.allowed[0]);
    SkyAttempts_NoteNotRun(&attempts, 33);
    EXPECT_EQ(1u, RestrictedQuery(attempts, 1).only_count);
}

TEST(Attempts, LimitsTheNumberOfRememberedTargets)
{
    sky_attempts_t attempts = {};
    for (uint64_t target = 1; target <= 20; target++) {
        SkyAttempts_NoteSent(&attempts, target);
        SkyAttempts_NoteFailed(&attempts, target);
    }
    EXPECT_EQ((uint32_t)SKY_ATTEMPTS_TARGETS_MAX,
              RestrictedQuery(attempts, 2).only_count);
    EXPECT_EQ((uint32_t)SKY_ATTEMPTS_TARGETS_MAX,
              RestrictedQuery(attempts, 2).avoid_count);
}

} // namespace
