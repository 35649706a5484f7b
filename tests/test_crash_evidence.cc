// Which ends of an exchange speak for a request, and which against it.
#include <gtest/gtest.h>

#include "decide/crash_evidence.h"

namespace {

sky_exchange_end_t
WholeAnswer()
{
    sky_exchange_end_t end = {};
    end.kind = SKY_EXCHANGE_END_COMPLETE;
    end.has_target = true;
    end.response.status = 200;
    end.response.is_targets = true;
    end.response.is_sealed = true;
    end.response.is_framed = true;
    return end;
}

TEST(CrashEvidence, AWholeAnswerSpeaksForItsRequest)
{
    sky_exchange_end_t end = WholeAnswer();
    EXPECT_EQ(SKY_CRASH_EVIDENCE_FOR, SkyCrashEvidence_Judge(&end));
    end.has_target = false; // a target's, by way of another host
    EXPECT_EQ(SKY_CRASH_EVIDENCE_FOR, SkyCrashEvidence_Judge(&end));
}

// Guards against a request that crashes targets being let go by a response
// that does not show that a target ran it.
TEST(CrashEvidence, NoOtherResponseSpeaksForItsRequest)
{
    sky_exchange_end_t refusal = WholeAnswer();
    refusal.response.is_refusal = true;
    sky_exchange_end_t hosts_own = WholeAnswer();
    hosts_own.response.is_targets = false;
    sky_exchange_end_t without_seal = WholeAnswer();
    without_seal.response.is_sealed = false;
    sky_exchange_end_t without_length = WholeAnswer();
    without_length.response.is_framed = false;
    for (const sky_exchange_end_t &end :
         {refusal, hosts_own, without_seal, without_length}) {
        EXPECT_EQ(SKY_CRASH_EVIDENCE_NONE, SkyCrashEvidence_Judge(&end));
    }
    for (uint16_t status : {400, 404, 421, 429, 500, 503, 504, 599}) {
        sky_exchange_end_t error = WholeAnswer();
        error.response.status = status;
        EXPECT_EQ(SKY_CRASH_EVIDENCE_NONE, SkyCrashEvidence_Judge(&error));
    }
}

TEST(CrashEvidence, ACutResponseSpeaksAgainstItsRequest)
{
    sky_exchange_end_t cut_event = WholeAnswer();
    cut_event.response.ends_in_event = true;
    sky_exchange_end_t no_body = WholeAnswer();
    no_body.response.is_framed = false;
    no_body.response.lacks_body = true;
    sky_exchange_end_t broken = {};
    broken.kind = SKY_EXCHANGE_END_BROKEN;
    broken.has_target = true;
    sky_exchange_end_t silent = broken;
    silent.kind = SKY_EXCHANGE_END_SILENT;
    for (sky_exchange_end_t end : {cut_event, no_body, broken, silent}) {
        EXPECT_EQ(SKY_CRASH_EVIDENCE_AGAINST, SkyCrashEvidence_Judge(&end));
        // The host that sent it on knows what its target did.
        end.has_target = false;
        EXPECT_EQ(SKY_CRASH_EVIDENCE_NONE, SkyCrashEvidence_Judge(&end));
    }
}

} // namespace
