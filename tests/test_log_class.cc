// Guards against evidence that is dropped: the lines of a request that must
// not repeat and may have been answered wrongly were dropped like any other.
#include <gtest/gtest.h>

extern "C" {
#include "edge/proxy_request.h"
}

namespace {

class LogClass : public ::testing::Test {
  protected:
    sky_route_t route = {};
    sky_service_t service = {};
    sky_proxy_request_t request = {};

    void
    SetUp() override
    {
        route.retry_policy = SKY_RETRY_AT_MOST_ONCE;
        request.match = {nullptr, &route, &service};
        request.send_count = 1;
    }

    sky_log_class_t
    Get(uint16_t status = 0) const
    {
        return SkyProxyRequest_GetLogClass(&request, status);
    }
};

TEST_F(LogClass, AnOrdinaryRequestIsNoEvidence)
{
    request.exchange.status = 200;
    EXPECT_EQ(SKY_LOG_ORDINARY, Get(200));
    request.exchange.status = 0;
    EXPECT_EQ(SKY_LOG_ORDINARY, Get(502));
    request.send_count = 0;
    EXPECT_EQ(SKY_LOG_ORDINARY, Get(503)); // no target has got it
    request.match = {};                    // it has no route
    EXPECT_EQ(SKY_LOG_ORDINARY, Get(404));
}

TEST_F(LogClass, ASecondSendIsEvidence)
{
    request.send_count = 2;
    EXPECT_EQ(SKY_LOG_EVIDENCE, Get(200));
}

TEST_F(LogClass, ARefusalAfterASendIsEvidence)
{
    EXPECT_EQ(SKY_LOG_EVIDENCE, Get(503)); // this host's own
    request.response.facts.not_run = true; // the target's
    EXPECT_EQ(SKY_LOG_EVIDENCE, Get());
}

TEST_F(LogClass, BytesOfAnotherRequestAreEvidence)
{
    request.exchange.foreign_count = 1;
    EXPECT_EQ(SKY_LOG_EVIDENCE, Get(200));
}

TEST_F(LogClass, AStatusThatSaysNotRunIsEvidence)
{
    for (uint16_t status : {408, 421, 429, 503}) {
        request.exchange.status = status;
        EXPECT_EQ(SKY_LOG_EVIDENCE, Get()) << status;
    }
    for (uint16_t status : {200, 404, 500, 502, 504}) {
        request.exchange.status = status;
        EXPECT_EQ(SKY_LOG_ORDINARY, Get(status)) << status;
    }
}

TEST_F(LogClass, RequestsThatMayRepeatAreNoEvidence)
{
    request.send_count = 3;
    request.exchange.status = 503;
    for (sky_retry_policy_t policy :
         {SKY_RETRY_IDEMPOTENT, SKY_RETRY_RESUME}) {
        route.retry_policy = policy;
        EXPECT_EQ(SKY_LOG_ORDINARY, Get(503));
    }
}

} // namespace
