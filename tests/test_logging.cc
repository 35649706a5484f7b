// Guards against an incident that leaves no trace: lines were dropped by their
// count alone, so that none named the requests that were answered "not run"
// and ran, and lines in the buffer were lost with a killed process.
#include <gtest/gtest.h>

#include <signal.h>
#include <sys/wait.h>

#include "captured_log.h"

namespace {

const sky_log_options_t OPTIONS = {.lines_per_s = 400,
                                   .evidence_lines_per_s = 50};

class LoggingTest : public ::testing::Test {
  protected:
    CapturedLog log{OPTIONS};
    sky_log_stats_t before;

    void
    SetUp() override
    {
        CapturedLog::AwaitNextSecond();
        SkyLog_Flush(); // reports what an earlier test dropped
        log.Clear();
        SkyLog_GetStats(&before);
        CapturedLog::AwaitNextSecond();
    }

    static void
    WriteOrdinary(int priority, int count)
    {
        for (int i = 0; i < count; i++) {
            SkyLog_Write(priority, "request_end", "id=ordinary status=200");
            if (i % 50 == 0) {
                SkyLog_Flush(); // so that the budget decides, not the buffer
            }
        }
    }

    uint64_t
    DroppedOf(const std::string &event)
    {
        sky_log_stats_t now;
        SkyLog_GetStats(&now);
        uint64_t lines = 0;
        for (int i = 0; i <= SKY_LOG_EVENTS_MAX; i++) {
            if (now.events[i].event == event) {
                lines = now.events[i].lines - before.events[i].lines;
            }
        }
        return lines;
    }

    uint64_t
    DroppedOf(sky_log_class_t line_class)
    {
        sky_log_stats_t now;
        SkyLog_GetStats(&now);
        return now.dropped[line_class] - before.dropped[line_class];
    }
};

// Of 1,000 request_end lines and one about a refused request in a second, all
// beyond the first 400 were dropped, that one included.
TEST_F(LoggingTest, EvidenceIsKeptWhenOrdinaryLinesExceedTheirBudget)
{
    WriteOrdinary(LOG_NOTICE, 1000);
    SkyLog_Write(LOG_NOTICE, "repeat", "id=as_ordinary");
    SkyLog_WriteClass(SKY_LOG_EVIDENCE, LOG_INFO, "repeat", "id=evidence");
    EXPECT_EQ(400u, log.Count("event=request_end"));
    EXPECT_EQ(0u, log.Count("id=as_ordinary"));
    EXPECT_EQ(1u, log.Count("id=evidence"));
    EXPECT_EQ(0u, DroppedOf(SKY_LOG_EVIDENCE));
}

TEST_F(LoggingTest, DroppedLinesAreCountedAndReportedByEvent)
{
    WriteOrdinary(LOG_NOTICE, 410);
    for (int i = 0; i < 7; i++) {
        SkyLog_Write(LOG_INFO, "order", "target=x");
    }
    EXPECT_EQ(10u, DroppedOf("request_end"));
    EXPECT_EQ(7u, DroppedOf("order"));
    EXPECT_EQ(17u, DroppedOf(SKY_LOG_ORDINARY));
    CapturedLog::AwaitNextSecond();
    SkyLog_Flush();
    std::vector<std::string> reports = log.Find("event=log_dropped");
    ASSERT_EQ(1u, reports.size());
    EXPECT_NE(
        std::string::npos,
        reports[0].find("event=log_dropped lines=17 evidence=0 request_end=10 "
                        "order=7"))
        << reports[0];
    CapturedLog::AwaitNextSecond();
    SkyLog_Flush();
    EXPECT_EQ(1u, log.Count("event=log_dropped"));
}

// The table of events is bounded: names that come later share an entry.
TEST_F(LoggingTest, EventsBeyondTheTableAreCountedTogether)
{
    WriteOrdinary(LOG_NOTICE, 400);
    for (int i = 0; i < 3 * SKY_LOG_EVENTS_MAX; i++) {
        std::string event = "event_with_a_long_name_of_number_" +
                            std::string(20, 'x') + std::to_string(i);
        SkyLog_Write(LOG_NOTICE, event.c_str() + 2 * (i % 10), "n=%d", i);
        event = "kind" + std::to_string(i);
        SkyLog_Write(LOG_NOTICE, event.c_str(), "n=%d", i);
    }
    sky_log_stats_t now;
    SkyLog_GetStats(&now);
    EXPECT_EQ((uint32_t)SKY_LOG_EVENTS_MAX, now.event_count);
    EXPECT_GT(DroppedOf("other"), 0u);
    uint64_t by_event = 0;
    for (const sky_log_dropped_event_t &event : now.events) {
        by_event += event.lines;
    }
    EXPECT_EQ(SkyLog_DroppedLineCount(), by_event);
    EXPECT_EQ(6u * SKY_LOG_EVENTS_MAX, DroppedOf(SKY_LOG_ORDINARY));
}

// Evidence alone can't fill the disk, and it does not take the budget that
// ordinary lines have left of their own before its own is used up.
TEST_F(LoggingTest, EvidenceIsBounded)
{
    for (int i = 0; i < 2000; i++) {
        SkyLog_WriteClass(SKY_LOG_EVIDENCE, LOG_INFO, "repeat", "id=%d", i);
    }
    EXPECT_EQ(450u, log.Count("event=repeat"));
    EXPECT_EQ(1550u, DroppedOf(SKY_LOG_EVIDENCE));
    EXPECT_EQ(1550u, DroppedOf("repeat"));
    EXPECT_EQ(0u, DroppedOf(SKY_LOG_ORDINARY));
}

// Ordinary lines fill their part of the buffer while nobody reads standard
// output; evidence still finds room.
TEST_F(LoggingTest, OrdinaryLinesLeaveRoomInTheBuffer)
{
    std::string filler = "<fill>" + std::string(900, 'f') + "\n";
    // The pipe takes 1 MiB.
    while (write(STDOUT_FILENO, filler.data(), filler.size()) > 0) {
    }
    for (int i = 0; i < 400; i++) {
        SkyLog_Write(LOG_NOTICE, "order", "f=%s",
                     std::string(900, 'f').c_str());
    }
    EXPECT_GT(DroppedOf("order"), 300u);
    SkyLog_WriteClass(SKY_LOG_EVIDENCE, LOG_INFO, "repeat", "id=evidence");
    EXPECT_EQ(0u, DroppedOf(SKY_LOG_EVIDENCE));
    EXPECT_EQ(0u, log.Count("id=evidence"));
    SkyLog_Flush();
    EXPECT_EQ(1u, log.Count("id=evidence"));
}

// A killed process takes its buffer along, but not the evidence.
TEST_F(LoggingTest, EvidenceOutlivesAKilledProcess)
{
    pid_t child = fork();
    if (child == 0) {
        SkyLog_Write(LOG_NOTICE, "order", "id=before");
        SkyLog_WriteClass(SKY_LOG_EVIDENCE, LOG_INFO, "repeat", "id=evidence");
        SkyLog_Write(LOG_NOTICE, "order", "id=after");
        raise(SIGKILL);
    }
    ASSERT_GT(child, 0);
    ASSERT_EQ(child, waitpid(child, nullptr, 0));
    EXPECT_EQ(1u, log.Count("id=before"));
    EXPECT_EQ(1u, log.Count("id=evidence"));
    EXPECT_EQ(0u, log.Count("id=after"));
}

// With a long host name and event, a line did not fit and was left out without
// a count.
TEST_F(LoggingTest, ALongLineIsCutAndCounted)
{
    std::string long_name(63, 'h');
    SkyLog_SetHostName(long_name.c_str());
    std::string fields(5000, 'f');
    std::string event(60, 'e');
    SkyLog_Write(LOG_NOTICE, event.c_str(), "id=long f=%s", fields.c_str());
    SkyLog_Write(LOG_NOTICE, "order", "id=next");
    SkyLog_Flush();
    SkyLog_SetHostName("-");
    std::vector<std::string> lines = log.Find("id=long");
    ASSERT_EQ(1u, lines.size());
    EXPECT_GT(lines[0].size(), 900u);
    EXPECT_EQ(1u, log.Count("event=order id=next"));
    sky_log_stats_t now;
    SkyLog_GetStats(&now);
    EXPECT_EQ(1u, now.truncated - before.truncated);
    EXPECT_EQ(0u, DroppedOf(SKY_LOG_ORDINARY));
}

} // namespace
