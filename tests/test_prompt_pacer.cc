// When prompts are sent to an engine, replayed against a model of one that
// reads prompts between the steps of its streams, on a clock of the test.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "decide/prompt_pacer.h"

namespace {

constexpr uint32_t INTERVAL_MS = 250;

uint32_t
TakeTurn(sky_prompt_pacer_t *pacer, uint32_t read_ms, uint64_t now_ms,
         uint32_t wait_max_ms = 500)
{
    sky_prompt_turn_t turn = {.read_ms = read_ms,
                              .interval_ms = INTERVAL_MS,
                              .wait_max_ms = wait_max_ms};
    return SkyPromptPacer_TakeTurn(pacer, &turn, now_ms);
}

TEST(PromptPacer, PromptsThatLeaveRoomForStreamsAreSentAtOnce)
{
    sky_prompt_pacer_t pacer = {};
    for (uint64_t i = 0; i < 100; i++) {
        EXPECT_EQ(TakeTurn(&pacer, 100, 1000 + i * 125), 0u);
    }
}

TEST(PromptPacer, PromptsThatComeTogetherAreSpread)
{
    sky_prompt_pacer_t pacer = {};
    EXPECT_EQ(TakeTurn(&pacer, 100, 1000), 0u);
    EXPECT_EQ(TakeTurn(&pacer, 100, 1010), 0u);
    EXPECT_EQ(TakeTurn(&pacer, 100, 1020), 230u);
    EXPECT_EQ(TakeTurn(&pacer, 100, 1020), 240u);
    EXPECT_EQ(TakeTurn(&pacer, 100, 1020), 480u);
}

TEST(PromptPacer, AShortPromptIsSentBeforeALongOneThatWaits)
{
    sky_prompt_pacer_t pacer = {};
    EXPECT_EQ(TakeTurn(&pacer, 150, 1000), 0u);
    EXPECT_EQ(TakeTurn(&pacer, 150, 1000), 250u);
    EXPECT_EQ(TakeTurn(&pacer, 20, 1000), 0u);
}

TEST(PromptPacer, AnEarlierTurnLeavesRoomForOneThatIsTaken)
{
    sky_prompt_pacer_t pacer = {};
    EXPECT_EQ(TakeTurn(&pacer, 150, 1000), 0u);
    EXPECT_EQ(TakeTurn(&pacer, 190, 1000), 250u);
    // 1100 to 1250 holds 50 and 190: the interval that ends at 1250.
    EXPECT_EQ(TakeTurn(&pacer, 50, 1100), 400u);
}

TEST(PromptPacer, APromptLongerThanTheIntervalIsSentAlone)
{
    sky_prompt_pacer_t pacer = {};
    EXPECT_EQ(TakeTurn(&pacer, 900, 1000), 0u);
    EXPECT_EQ(TakeTurn(&pacer, 900, 1000), 250u);
}

TEST(PromptPacer, NoneWaitsBeyondWhatItCan)
{
    sky_prompt_pacer_t pacer = {};
    for (int i = 0; i < 40; i++) {
        EXPECT_LE(TakeTurn(&pacer, 200, 1000, 300), 250u);
    }
    EXPECT_EQ(TakeTurn(&pacer, 200, 1000, 300), 0u);
    EXPECT_EQ(TakeTurn(&pacer, 200, 1000, 0), 0u);
    // More prompts than the account holds are counted all the same.
    EXPECT_EQ(TakeTurn(&pacer, 10, 1240, 300), 260u);
    EXPECT_EQ(TakeTurn(&pacer, 200, 1600, 300), 0u);
}

TEST(PromptPacer, TheLoadIsThePartOfTheTimeThatGoesToPrompts)
{
    sky_prompt_pacer_t pacer = {};
    EXPECT_EQ(SkyPromptPacer_GetLoad(&pacer, 1000), 0.0);
    for (uint64_t at_ms = 1000; at_ms < 6000; at_ms += 100) {
        TakeTurn(&pacer, 40, at_ms, 0);
    }
    EXPECT_NEAR(SkyPromptPacer_GetLoad(&pacer, 6000), 0.4, 0.05);
    EXPECT_LT(SkyPromptPacer_GetLoad(&pacer, 8000), 0.02);
    for (int i = 0; i < 50; i++) {
        TakeTurn(&pacer, 200, 9000, 0);
    }
    EXPECT_EQ(SkyPromptPacer_GetLoad(&pacer, 9000), 1.0);
}

struct Site {
    double prompts_per_s; // at one engine
    uint32_t interval_ms;
    double events; // of a stream
};
struct Request {
    double arrival_ms;
    uint32_t tokens;
    uint32_t events;
};
struct Outcome {
    uint32_t streams = 0;
    uint32_t late_events = 0; // streams with an interval beyond the objective
    uint32_t late_first = 0;  // streams whose first event came too late
    uint32_t in_time = 0;     // streams that are late in neither way
};

constexpr double TOKENS_PER_MS = 25.8;
constexpr double STEP_MS = 8.2;
constexpr double PIECE_TOKENS = 4096;
constexpr double FIRST_EVENT_MAX_MS = 1000;
constexpr uint32_t EVENT_TOKENS = 3;

// Two prompts on average arrive at once, each by way of another host.
std::vector<Request>
DrawRequests(const Site &site, uint32_t seed)
{
    std::mt19937 random(seed);
    std::exponential_distribution<double> between(site.prompts_per_s / 2000.0);
    std::exponential_distribution<double> long_prompt(1 / 1100.0);
    std::exponential_distribution<double> short_prompt(1 / 490.0);
    std::exponential_distribution<double> events(1 / site.events);
    std::vector<Request> requests;
    for (double at_ms = 0; at_ms < 60000;) {
        at_ms += between(random);
        for (double within_ms = 0; within_ms < 40;
             within_ms += random() % 2 ? 40 : random() % 20) {
            double tokens =
                random() % 3 ? long_prompt(random) : short_prompt(random);
            requests.push_back(
                {at_ms + within_ms, 50 + (uint32_t)std::min(tokens, 3800.0),
                 2 + (uint32_t)std::min(events(random), 200.0)});
        }
    }
    std::sort(requests.begin(), requests.end(),
              [](const Request &one, const Request &other) {
                  return one.arrival_ms < other.arrival_ms;
              });
    return requests;
}

struct Stream {
    const Request *request;
    double unread_tokens;
    uint32_t made_tokens = 0;
    double last_event_ms = 0;
    bool has_late_event = false;
    bool is_first_late = false;
};

// Runs requests at an engine from the times on that they are sent at.
Outcome
RunEngine(const std::vector<Request> &requests, std::vector<double> sent_ms,
          const Site &site)
{
    std::vector<size_t> order(requests.size());
    for (size_t i = 0; i < order.size(); i++) {
        order[i] = i;
    }
    std::sort(order.begin(), order.end(),
              [&](size_t a, size_t b) { return sent_ms[a] < sent_ms[b]; });
    Outcome outcome;
    std::vector<Stream> streams;
    size_t next = 0;
    double now_ms = 0;
    while (next < order.size() || !streams.empty()) {
        if (streams.empty()) {
            now_ms = std::max(now_ms, sent_ms[order[next]]);
        }
        while (next < order.size() && sent_ms[order[next]] <= now_ms) {
            const Request &request = requests[order[next++]];
            streams.push_back({&request, (double)request.tokens});
        }
        double piece = 0;
        std::vector<Stream *> stepping;
        for (Stream &stream : streams) {
            if (stream.unread_tokens == 0) {
                stepping.push_back(&stream);
                continue;
            }
            double read = std::min(stream.unread_tokens, PIECE_TOKENS - piece);
            stream.unread_tokens -= read;
            piece += read;
        }
        now_ms += STEP_MS + piece / TOKENS_PER_MS;
        for (Stream *stream : stepping) {
            if (++stream->made_tokens % EVENT_TOKENS != 0) {
                continue;
            }
            bool is_first = stream->made_tokens == EVENT_TOKENS;
            double since_ms =
                is_first ? stream->request->arrival_ms : stream->last_event_ms;
            double late_ms =
                is_first ? FIRST_EVENT_MAX_MS : (double)site.interval_ms;
            if (now_ms - since_ms > late_ms) {
                (is_first ? stream->is_first_late : stream->has_late_event) =
                    true;
            }
            stream->last_event_ms = now_ms;
        }
        auto ended = std::remove_if(
            streams.begin(), streams.end(), [&](const Stream &stream) {
                if (stream.made_tokens <
                    EVENT_TOKENS * stream.request->events) {
                    return false;
                }
                outcome.streams++;
                outcome.late_events += stream.has_late_event;
                outcome.late_first += stream.is_first_late;
                outcome.in_time +=
                    !stream.has_late_event && !stream.is_first_late;
                return true;
            });
        streams.erase(ended, streams.end());
    }
    return outcome;
}

std::vector<double>
PaceRequests(const std::vector<Request> &requests, const Site &site)
{
    sky_prompt_pacer_t pacer = {};
    std::vector<double> sent_ms;
    for (const Request &request : requests) {
        uint32_t read_ms = (uint32_t)(request.tokens / TOKENS_PER_MS);
        sky_prompt_turn_t turn = {
            .read_ms = read_ms,
            .interval_ms = site.interval_ms,
            .wait_max_ms = (uint32_t)(FIRST_EVENT_MAX_MS / 2) - read_ms};
        sent_ms.push_back(request.arrival_ms +
                          SkyPromptPacer_TakeTurn(
                              &pacer, &turn, (uint64_t)request.arrival_ms));
    }
    return sent_ms;
}

Outcome
Replay(const Site &site, bool is_paced)
{
    Outcome total;
    for (uint32_t seed = 1; seed <= 12; seed++) {
        std::vector<Request> requests = DrawRequests(site, seed);
        std::vector<double> sent_ms;
        for (const Request &request : requests) {
            sent_ms.push_back(request.arrival_ms);
        }
        Outcome outcome = RunEngine(
            requests, is_paced ? PaceRequests(requests, site) : sent_ms, site);
        total.streams += outcome.streams;
        total.late_events += outcome.late_events;
        total.late_first += outcome.late_first;
        total.in_time += outcome.in_time;
    }
    return total;
}

constexpr Site SMALL_SITE = {8, 250, 45};
constexpr Site LARGE_SITE = {4.5, 300, 27};

// Guards against streams that stall while prompts of other callers are read.
TEST(PromptPacerReplay, FewStreamsStallBehindPrompts)
{
    for (const Site &site : {SMALL_SITE, LARGE_SITE}) {
        Outcome before = Replay(site, false);
        Outcome paced = Replay(site, true);
        EXPECT_LT(paced.late_events, 0.05 * paced.streams)
            << before.late_events << " of " << before.streams << " before";
        EXPECT_LT(paced.late_first, 0.01 * paced.streams);
        EXPECT_EQ(paced.streams, before.streams);
    }
}

// Guards against prompts that wait for turns which do not come, at an engine
// that gets more of them than it can read beside its streams.
TEST(PromptPacerReplay, AsManyAreInTimeUnderOverload)
{
    constexpr Site OVERLOADED = {21, 250, 45};
    Outcome before = Replay(OVERLOADED, false);
    Outcome paced = Replay(OVERLOADED, true);
    EXPECT_GE(paced.in_time, before.in_time);
    EXPECT_LE(paced.late_events, before.late_events);
}

} // namespace
