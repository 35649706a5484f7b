/** @file test_entry.cc @brief The entry module, with single messages. */
#include <gtest/gtest.h>

#include <cstring>

#include "decide/entry.h"

namespace {

const uint64_t SECOND = 1000000;

/** An entry module on a host that is the only member and holds its lease. */
class EntryTest : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        sky_members_options_t member_options = {};
        strcpy(member_options.name, "host");
        member_options.lease_us = 10 * SECOND;
        member_options.retention_us = 1000 * SECOND;
        members = SkyMembers_Create(&member_options);
        sky_record_t join = {};
        join.kind = SKY_REC_JOIN;
        join.offset = 1;
        join.u.member.host = SkyName_Hash("host");
        SkyMembers_SetLogStart(members, 1);
        SkyMembers_ApplyRecord(members, &join, SECOND);
        sky_in_log_read_t read = {};
        read.ok = true;
        read.reached_tail = true;
        read.begun_us = SECOND;
        read.next = 2;
        SkyMembers_ApplyLogRead(members, &read);
        strcpy(target.pool, "desk");
        target.batch = 1;
        sky_entry_options_t options = {};
        options.key_life_us = 100 * SECOND;
        options.claim_timeout_us = 2 * SECOND;
        options.acquire_interval_us = SECOND / 2;
        options.attempts_max = 3;
        options.retry_tokens_max = 5;
        options.claim_writers_max = 1;
        unconfirmed_crashes = SkyUnconfirmedCrashes_Create(members);
        entry = SkyEntry_Create(&options, &target, 1, 1, members,
                                unconfirmed_crashes);
    }

    void
    TearDown() override
    {
        SkyActions_Clear(&out);
        SkyEntry_Free(entry);
        SkyUnconfirmedCrashes_Free(unconfirmed_crashes);
        SkyMembers_Free(members);
    }

    void
    SendRequest(bool at_most_once, uint32_t timeout_ms)
    {
        sky_in_request_t in = {};
        in.request = 0x100;
        in.adapter = 7;
        in.pool = (uint32_t)SkyName_Hash("desk");
        in.timeout_ms = timeout_ms;
        in.at_most_once = at_most_once;
        in.key.low = 9;
        SkyEntry_HandleRequest(entry, &in, SECOND, &out);
    }

    void
    SendMessage(sky_msg_kind_t kind, uint64_t now_us, uint32_t code = 0)
    {
        sky_in_message_t in = {};
        in.from = SkyName_Hash("host");
        in.msg.kind = kind;
        if (kind == SKY_MSG_GRANT) {
            in.msg.u.grant.request = 0x100;
            in.msg.u.grant.fence = 1;
        }
        else {
            in.msg.u.claim_response.request = 0x100;
            in.msg.u.claim_response.code = code;
        }
        SkyEntry_HandleMessage(entry, &in, now_us, &out);
    }

    /** @return the code of the only response. */
    uint32_t
    ResponseCode() const
    {
        EXPECT_EQ(CountActions(SKY_ACT_RESPOND), 1u);
        for (size_t i = 0; i < out.count; i++) {
            if (out.items[i].kind == SKY_ACT_RESPOND) {
                return out.items[i].u.response.code;
            }
        }
        return SKY_OK;
    }

    void
    SendOutcome(sky_outcome_t kind, uint64_t now_us)
    {
        sky_in_outcome_t outcome = {0x100, kind, false};
        SkyEntry_HandleOutcome(entry, &outcome, now_us, &out);
    }

    /** Grants the request's attempt of this number, from 0. */
    void
    GrantAttempt(uint32_t attempt)
    {
        sky_in_message_t in = {};
        in.from = SkyName_Hash("host");
        in.msg.kind = SKY_MSG_GRANT;
        in.msg.u.grant.request = 0x100 + attempt;
        in.msg.u.grant.fence = 1;
        SkyEntry_HandleMessage(entry, &in, SECOND, &out);
    }

    uint32_t
    CountActions(sky_action_kind_t kind) const
    {
        uint32_t count = 0;
        for (size_t i = 0; i < out.count; i++) {
            count += out.items[i].kind == kind;
        }
        return count;
    }

    sky_members_t *members = nullptr;
    sky_unconfirmed_crashes_t *unconfirmed_crashes = nullptr;
    sky_entry_t *entry = nullptr;
    sky_target_info_t target = {};
    sky_actions_t out = {};
};

TEST_F(EntryTest, DispatchesOnlyAfterTheClaimIsGranted)
{
    SendRequest(true, 5000);
    SendMessage(SKY_MSG_GRANT, SECOND);
    EXPECT_EQ(CountActions(SKY_ACT_DISPATCH), 0u);
    SendMessage(SKY_MSG_CLAIM_RESPONSE, SECOND);
    SendMessage(SKY_MSG_GRANT, SECOND);
    EXPECT_EQ(CountActions(SKY_ACT_DISPATCH), 1u);
}

TEST_F(EntryTest, ARequestPastItsDeadlineReleasesItsClaimAndFinishes)
{
    SendRequest(true, 100);
    SendMessage(SKY_MSG_CLAIM_RESPONSE, 2 * SECOND);
    ASSERT_EQ(CountActions(SKY_ACT_RESPOND), 1u);
    EXPECT_EQ(SkyEntry_OpenCount(entry), 0u);
    EXPECT_EQ(CountActions(SKY_ACT_APPEND), 1u); /* the claim's release */
}

TEST_F(EntryTest, ARequestWhoseKeyIsClaimedAlreadyReleasesNoClaim)
{
    SendRequest(true, 5000);
    SendMessage(SKY_MSG_CLAIM_RESPONSE, SECOND, SKY_E_CLAIMED);
    ASSERT_EQ(CountActions(SKY_ACT_RESPOND), 1u);
    EXPECT_EQ(CountActions(SKY_ACT_APPEND), 0u);
}

TEST_F(EntryTest, ANonIdempotentRequestIsNotRetriedAfterABrokenExchange)
{
    SendRequest(true, 5000);
    SendMessage(SKY_MSG_CLAIM_RESPONSE, SECOND);
    SendMessage(SKY_MSG_GRANT, SECOND);
    sky_in_outcome_t outcome = {0x100, SKY_OUTCOME_BROKEN, false};
    SkyEntry_HandleOutcome(entry, &outcome, SECOND, &out);
    EXPECT_EQ(CountActions(SKY_ACT_DISPATCH), 1u);
    EXPECT_EQ(SkyEntry_Stats(entry)->unknown, 1u);
    EXPECT_EQ(SkyEntry_OpenCount(entry), 0u);
}

TEST_F(EntryTest, AGrantIsNotUsedWithoutALease)
{
    SendRequest(false, 60000);
    SendMessage(SKY_MSG_GRANT, 800 * SECOND);
    EXPECT_EQ(CountActions(SKY_ACT_DISPATCH), 0u);
    EXPECT_EQ(SkyEntry_Stats(entry)->stale_grants, 1u);
}

TEST_F(EntryTest, RetriesStopAtTheAttemptLimit)
{
    SendRequest(false, 60000);
    for (int i = 0; i < 5; i++) {
        sky_in_message_t in = {};
        in.from = SkyName_Hash("host");
        in.msg.kind = SKY_MSG_GRANT;
        in.msg.u.grant.request = 0x100 + (uint64_t)i;
        in.msg.u.grant.fence = 1;
        SkyEntry_HandleMessage(entry, &in, SECOND, &out);
        sky_in_outcome_t outcome = {0x100, SKY_OUTCOME_NOT_SENT, false};
        SkyEntry_HandleOutcome(entry, &outcome, SECOND, &out);
    }
    EXPECT_EQ(CountActions(SKY_ACT_DISPATCH), 3u); /* attempts_max */
    EXPECT_EQ(SkyEntry_Stats(entry)->not_run, 1u);
}

/** Ends of a request after an attempt whose exchange broke: it may have run,
 *  whatever becomes of the attempts after it. */
class EntryAfterABrokenAttemptTest : public EntryTest {
  protected:
    void
    SetUp() override
    {
        EntryTest::SetUp();
        SendRequest(false, 5000);
        GrantAttempt(0);
        SendOutcome(SKY_OUTCOME_BROKEN, SECOND);
        ASSERT_EQ(CountActions(SKY_ACT_RESPOND), 0u); /* a second attempt */
    }

    void
    TearDown() override
    {
        EXPECT_EQ(ResponseCode(), (uint32_t)SKY_E_UNKNOWN);
        EXPECT_EQ(SkyEntry_Stats(entry)->not_run, 0u);
        EXPECT_EQ(SkyEntry_Stats(entry)->unknown, 1u);
        EXPECT_EQ(SkyEntry_OpenCount(entry), 0u);
        EntryTest::TearDown();
    }
};

// These guard callers against a false 'not run' and a second run: the result
// was that of the last attempt alone.
TEST_F(EntryAfterABrokenAttemptTest, ARefusalOfTheTargetIsNoPromise)
{
    GrantAttempt(1);
    SendOutcome(SKY_OUTCOME_REFUSED, SECOND);
    GrantAttempt(2);
    SendOutcome(SKY_OUTCOME_REFUSED, SECOND);
}

TEST_F(EntryAfterABrokenAttemptTest, AnUnsentAttemptIsNoPromise)
{
    GrantAttempt(1);
    SendOutcome(SKY_OUTCOME_NOT_SENT, SECOND);
    GrantAttempt(2);
    SendOutcome(SKY_OUTCOME_NOT_SENT, SECOND);
}

TEST_F(EntryAfterABrokenAttemptTest, ARefusalOfTheOwnerIsNoPromise)
{
    sky_in_message_t in = {};
    in.from = SkyName_Hash("host");
    in.msg.kind = SKY_MSG_REFUSE;
    in.msg.u.refuse.request = 0x101;
    in.msg.u.refuse.code = SKY_E_OVERLOADED;
    SkyEntry_HandleMessage(entry, &in, SECOND, &out);
}

TEST_F(EntryAfterABrokenAttemptTest, TheDeadlineIsNoPromise)
{
    SkyEntry_Tick(entry, 10 * SECOND, &out);
}

TEST_F(EntryAfterABrokenAttemptTest, ALeavingTargetIsNoPromise)
{
    SkyEntry_SetTargetLeaving(entry, 0, true);
    SkyEntry_Tick(entry, 2 * SECOND, &out);
}

} // namespace
