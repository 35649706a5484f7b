// The targets that a request may be sent to next.
#include <gtest/gtest.h>

#include "decide/attempts.h"

namespace {

sky_fleet_query_t
RestrictedQuery(const sky_attempts_t &attempts, uint32_t targets_max)
{
    sky_fleet_query_t query = {};
    SkyAttempts_RestrictQuery(&attempts, targets_max, &query);
    return query;
}

TEST(Attempts, AllowsAnyTargetBeforeTheFirstSend)
{
    sky_attempts_t attempts = {};
    EXPECT_EQ(0u, RestrictedQuery(attempts, 1).allowed_count);
    EXPECT_EQ(0u, RestrictedQuery(attempts, 1).excluded_count);
}

TEST(Attempts, AllowsNoMoreTargetsThanTheRouteDoes)
{
    sky_attempts_t attempts = {};
    SkyAttempts_RecordSent(&attempts, 11);
    EXPECT_EQ(0u, RestrictedQuery(attempts, 2).allowed_count);
    SkyAttempts_RecordSent(&attempts, 11);
    EXPECT_EQ(0u, RestrictedQuery(attempts, 2).allowed_count)
        << "the same target again";
    SkyAttempts_RecordSent(&attempts, 22);
    sky_fleet_query_t query = RestrictedQuery(attempts, 2);
    ASSERT_EQ(2u, query.allowed_count);
    EXPECT_EQ(11u, query.allowed[0]);
    EXPECT_EQ(22u, query.allowed[1]);
}

// On a day of a large site, 780 requests that no target had run failed with
// "no_other_target" after a full or unreachable target.
TEST(Attempts, DoesNotCountATargetThatDidNotRunTheRequest)
{
    sky_attempts_t attempts = {};
    SkyAttempts_RecordSent(&attempts, 11);
    SkyAttempts_RecordNotRun(&attempts, 11);
    SkyAttempts_RecordFailed(&attempts, 11);
    sky_fleet_query_t query = RestrictedQuery(attempts, 1);
    EXPECT_EQ(0u, query.allowed_count);
    ASSERT_EQ(1u, query.excluded_count);
    EXPECT_EQ(11u, query.excluded[0]);
    SkyAttempts_RecordSent(&attempts, 22);
    EXPECT_EQ(1u, RestrictedQuery(attempts, 1).allowed_count);
}

TEST(Attempts, CountsATargetThatMayHaveRunAnEarlierSend)
{
    sky_attempts_t attempts = {};
    SkyAttempts_RecordSent(&attempts, 11);
    SkyAttempts_RecordSent(&attempts, 22);
    SkyAttempts_RecordSent(&attempts, 11);
    SkyAttempts_RecordNotRun(&attempts, 11);
    EXPECT_EQ(2u, RestrictedQuery(attempts, 2).allowed_count);
    SkyAttempts_RecordNotRun(&attempts, 22);
    sky_fleet_query_t query = RestrictedQuery(attempts, 1);
    ASSERT_EQ(1u, query.allowed_count);
    EXPECT_EQ(11u, query.allowed[0]);
    SkyAttempts_RecordNotRun(&attempts, 33);
    EXPECT_EQ(1u, RestrictedQuery(attempts, 1).allowed_count);
}

TEST(Attempts, LimitsTheNumberOfRememberedTargets)
{
    sky_attempts_t attempts = {};
    for (uint64_t target = 1; target <= 20; target++) {
        SkyAttempts_RecordSent(&attempts, target);
        SkyAttempts_RecordFailed(&attempts, target);
    }
    EXPECT_EQ((uint32_t)SKY_ATTEMPTS_TARGETS_MAX,
              RestrictedQuery(attempts, 2).allowed_count);
    EXPECT_EQ((uint32_t)SKY_ATTEMPTS_TARGETS_MAX,
              RestrictedQuery(attempts, 2).excluded_count);
}

// Guards against requests that were refused for want of retries after a send
// that no target had received.
TEST(Attempts, ASendThatDidNotArriveNeedsNoRetry)
{
    sky_attempts_t attempts = {};
    EXPECT_FALSE(attempts.last_send_arrived);
    SkyAttempts_RecordSent(&attempts, 11);
    SkyAttempts_RecordUnsent(&attempts);
    SkyAttempts_RecordNotRun(&attempts, 11);
    EXPECT_FALSE(attempts.last_send_arrived);
    EXPECT_EQ(0u, RestrictedQuery(attempts, 1).allowed_count);
    SkyAttempts_RecordSent(&attempts, 22);
    EXPECT_TRUE(attempts.last_send_arrived);
    SkyAttempts_RecordNotRun(&attempts, 22);
    EXPECT_TRUE(attempts.last_send_arrived) << "a refusal counts as received";
}

// A target restarted under another id at its address: the connection on which
// it had refused the request carried that refusal once more.
TEST(Attempts, ARequestIsNotSentAgainOnAConnectionThatItMayHaveUsed)
{
    sky_attempts_t attempts = {};
    EXPECT_FALSE(SkyAttempts_NeedsNewConnection(&attempts, 11, 1));
    SkyAttempts_RecordConnection(&attempts, 11, 1);
    EXPECT_TRUE(SkyAttempts_NeedsNewConnection(&attempts, 11, 1));
    EXPECT_TRUE(SkyAttempts_NeedsNewConnection(&attempts, 22, 1));
    EXPECT_TRUE(SkyAttempts_NeedsNewConnection(&attempts, 11, 2));
    EXPECT_FALSE(SkyAttempts_NeedsNewConnection(&attempts, 22, 2));
}

// Guards against a connection that is used again because the table of sends
// was full.
TEST(Attempts, BeyondTheRememberedSendsEachNeedsANewConnection)
{
    sky_attempts_t attempts = {};
    for (uint64_t i = 1; i <= SKY_ATTEMPTS_CONNECTIONS_MAX; i++) {
        SkyAttempts_RecordConnection(&attempts, i, i);
        EXPECT_FALSE(SkyAttempts_NeedsNewConnection(&attempts, 99, 99));
    }
    SkyAttempts_RecordConnection(&attempts, 50, 50);
    EXPECT_TRUE(SkyAttempts_NeedsNewConnection(&attempts, 50, 50));
    EXPECT_TRUE(SkyAttempts_NeedsNewConnection(&attempts, 99, 99));
}

} // namespace
