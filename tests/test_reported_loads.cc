// Requests in flight on a target, by the reports of the hosts.
#include <gtest/gtest.h>

#include "decide/reported_loads.h"

namespace {

class ReportedLoads : public testing::Test {
  protected:
    void
    TearDown() override
    {
        SkyReportedLoads_Clear(&reported_);
    }
    sky_reported_loads_t reported_ = {};
    uint64_t now_ms_ = 5000;
};

TEST_F(ReportedLoads, ANewReportReplacesTheLastOneOfItsHost)
{
    EXPECT_TRUE(SkyReportedLoads_Record(&reported_, 1, 7, now_ms_));
    EXPECT_TRUE(SkyReportedLoads_Record(&reported_, 2, 5, now_ms_));
    EXPECT_TRUE(SkyReportedLoads_Record(&reported_, 1, 3, now_ms_ + 200));
    EXPECT_EQ(SkyReportedLoads_Sum(&reported_, 0, now_ms_ + 300), 8u);
    EXPECT_EQ(SkyReportedLoads_Sum(&reported_, 2, now_ms_ + 300), 3u);
}

TEST_F(ReportedLoads, AHostThatIsSilentDoesNotCount)
{
    SkyReportedLoads_Record(&reported_, 1, 7, now_ms_);
    SkyReportedLoads_Record(&reported_, 2, 5, now_ms_ + 900);
    EXPECT_EQ(SkyReportedLoads_Sum(&reported_, 0, now_ms_ + 1000), 5u);
}

// Guards against a target that looks empty to a large fleet, as only the first
// hosts that report are counted.
TEST_F(ReportedLoads, AllHostsOfALargeFleetCount)
{
    for (uint64_t round = 0; round < 5; round++) {
        for (uint64_t host = 1; host <= 1000; host++) {
            EXPECT_TRUE(SkyReportedLoads_Record(&reported_, host, 1,
                                                now_ms_ + round * 200));
        }
        EXPECT_EQ(SkyReportedLoads_Sum(&reported_, 0, now_ms_ + round * 200),
                  1000u);
    }
}

} // namespace
