// Guards against: an owner that grants more than the quota, counts hosts that
// it does not hear or that another owner counts, or tells wrong waits.
#include <gtest/gtest.h>

#include "decide/quota_owner.h"

namespace {

constexpr uint64_t kStart = 50000;

class QuotaOwner : public testing::Test {
  protected:
    QuotaOwner()
    {
        sky_quota_terms_t terms = {1000, 1000, 1000};
        EXPECT_EQ(SkyQuotaOwner_Create(&terms, &owner_), SKY_OK);
    }
    ~QuotaOwner() override
    {
        SkyQuotaOwner_Free(owner_);
    }

    sky_quota_grant_t
    Ask(uint64_t host, uint64_t at_ms, uint64_t needed = 0,
        int64_t elsewhere_ms = -1, uint64_t returned = 0, uint64_t wanted = 0)
    {
        sky_quota_ask_t ask = {};
        ask.host = host;
        ask.host_count = 2;
        ask.needed = needed;
        ask.elsewhere_ms = elsewhere_ms;
        ask.returned = returned;
        ask.wanted = wanted;
        sky_quota_grant_t grant;
        EXPECT_EQ(
            SkyQuotaOwner_HandleAsk(owner_, &ask, 2, kStart + at_ms, &grant),
            SKY_OK);
        return grant;
    }
    // Calls of both hosts over a time.
    void
    Hear(uint64_t from_ms, uint64_t to_ms)
    {
        for (uint64_t at = from_ms; at <= to_ms; at += 100) {
            Ask(1, at);
            Ask(2, at);
        }
    }

    sky_quota_owner_t *owner_ = nullptr;
};

TEST_F(QuotaOwner, BeginsWithAnEmptyBucketThatFillsAtTheRateOfHostsHeard)
{
    EXPECT_EQ(Ask(1, 0, 10).granted, 0u);
    for (uint64_t at = 100; at <= 500; at += 100) {
        Ask(1, at);
    }
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 250, 1); // one of two hosts
}

TEST_F(QuotaOwner, KeepsNoMoreThanItsPartOfTheBucket)
{
    Hear(0, 3000);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 1200, 1);
    for (uint64_t at = 3100; at <= 4200; at += 100) {
        Ask(1, at);
    }
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 600, 1);
}

TEST_F(QuotaOwner, HearsNobodyAfterAPause)
{
    Hear(0, 3000);
    EXPECT_EQ(Ask(1, 9000, 10, 300).granted, 0u);
    EXPECT_LE(SkyQuotaOwner_GetLevel(owner_), 0);
}

TEST_F(QuotaOwner, RefillsForASecondAfterTheLastCallOfAHost)
{
    Hear(0, 300);
    Ask(1, 1200);
    Ask(1, 2000);
    Ask(1, 2900);
    // 2,900 ms of one host and 1,300 ms of the other.
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 600, 1); // cut to its part
    EXPECT_EQ(Ask(1, 2900, 600).granted, 600u);
    Ask(1, 3400);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 250, 1);
}

TEST_F(QuotaOwner, DoesNotCountAHostThatAnotherOwnerMayCount)
{
    for (uint64_t at = 0; at <= 1000; at += 100) {
        Ask(1, at, 0, (int64_t)at);
    }
    EXPECT_EQ(SkyQuotaOwner_GetLevel(owner_), 0);
    for (uint64_t at = 1200; at <= 1700; at += 100) {
        Ask(1, at, 0, (int64_t)at);
    }
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 250, 1);
}

TEST_F(QuotaOwner, GrantsAllOrNothingAndTellsTheWait)
{
    Hear(0, 5000);
    EXPECT_EQ(Ask(1, 5000, 1100).granted, 1100u);
    sky_quota_grant_t refused = Ask(1, 5000, 400);
    EXPECT_EQ(refused.granted, 0u);
    EXPECT_NEAR(refused.wait_ms, 300, 2); // 100 of 400 are there
    // The next one is told to come after the first.
    EXPECT_NEAR(Ask(2, 5000, 400).wait_ms, 700, 2);
}

TEST_F(QuotaOwner, PromisesNothingToHostsThatWillAskAgain)
{
    Hear(0, 500);
    EXPECT_NEAR(Ask(1, 500, 700).wait_ms, 200, 2);
    EXPECT_NEAR(Ask(1, 500, 700).wait_ms, 200, 2);
}

TEST_F(QuotaOwner, AdmitsARequestLargerThanTheBucketOnlyWhenItIsFull)
{
    Hear(0, 1000);
    EXPECT_EQ(Ask(1, 1000, 5000).granted, 0u);
    Hear(1100, 1300);
    EXPECT_EQ(Ask(1, 1300, 5000).granted, 5000u);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), -3800, 1);
}

TEST_F(QuotaOwner, TakesBackOnlyWhatItGranted)
{
    Hear(0, 500);
    EXPECT_EQ(Ask(1, 500, 100).granted, 100u);
    Ask(1, 500, 0, -1, 5000);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 500, 1);
    Ask(1, 500, 0, -1, 100);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 500, 1);
}

TEST_F(QuotaOwner, LetsAllHostsHoldALimitedPartOfTheRoom)
{
    Hear(0, 3000);
    uint64_t held = Ask(1, 3000, 0, -1, 0, 900).granted +
                    Ask(2, 3000, 0, -1, 0, 900).granted;
    EXPECT_GT(held, 300u);
    EXPECT_LE(held, 400u);
}

// Guards against a host that changes its owner between two sweeps and stays in
// the number of those counted, or is counted twice.
TEST_F(QuotaOwner, FollowsHostsBetweenSweeps)
{
    Hear(0, 3000);
    Ask(2, 3001, 0, 10);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 600, 1);
    Ask(2, 3002);
    Ask(2, 3003);
    Ask(1, 3004);
    EXPECT_EQ(Ask(1, 3005, 601).granted, 0u);
    Hear(3100, 5000);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 1200, 1);
}

// Guards against credit that is granted between two sweeps and not counted.
TEST_F(QuotaOwner, CountsCreditHeldBetweenSweeps)
{
    Hear(0, 3000);
    uint64_t held = 0;
    for (uint64_t host = 1; host <= 2; host++) {
        held += Ask(host, 3000 + host, 0, -1, 0, 300).granted;
    }
    EXPECT_LE(held, 400u);
    EXPECT_GE(held, 390u);
}

// Guards against time before a change of the quota that refills at the new
// rate.
TEST_F(QuotaOwner, RefillsAtTheOldRateUntilTheQuotaChanges)
{
    Hear(0, 500);
    sky_quota_terms_t slower = {100, 1000, 1000};
    SkyQuotaOwner_SetTerms(owner_, &slower, kStart + 700);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 700, 1);
}

TEST_F(QuotaOwner, CutsTheBucketToALowerQuotaAndAdmitsNothingAtZero)
{
    Hear(0, 3000);
    sky_quota_terms_t lower = {100, 100, 100};
    SkyQuotaOwner_SetTerms(owner_, &lower, kStart + 3000);
    EXPECT_NEAR(SkyQuotaOwner_GetLevel(owner_), 120, 1);
    sky_quota_terms_t none = {0, 0, 0};
    SkyQuotaOwner_SetTerms(owner_, &none, kStart + 3000);
    EXPECT_EQ(Ask(1, 3000, 1).granted, 0u);
}

TEST_F(QuotaOwner, ReportsTheHostsItKnowsNotThoseItWasTold)
{
    sky_quota_ask_t ask = {};
    ask.host = 1;
    ask.host_count = 90;
    ask.elsewhere_ms = -1;
    sky_quota_grant_t grant;
    SkyQuotaOwner_HandleAsk(owner_, &ask, 2, kStart, &grant);
    EXPECT_EQ(SkyQuotaOwner_CountHosts(owner_, 2, kStart), 2u);
}

} // namespace
