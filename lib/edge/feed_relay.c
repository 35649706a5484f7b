#include "edge/feed_relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"

/** A question is held so long for news. Over two hops, and with the 0.4 s
 *  between two reads, records arrive before they count as stale (1.1 s). */
#define HOLD_MS 200
#define TIMEOUT_MARGIN_MS 250 /**< way of a question and its answer */
#define TICK_S 0.05
#define RETRY_MS 150 /**< after a question that failed */

#define SOURCES_MAX (SKY_FANOUT_READERS + 1) /**< the readers, and a relay */

typedef struct waiting {
    sky_visit_t *visit;
    uint64_t next[SKY_FEED_COUNT];
    uint64_t owners; /**< generation of the owners that it knows */
    uint64_t since_ms;
    uint64_t hold_ms;
    struct waiting *prev;
    struct waiting *next_waiting;
} waiting_t;

struct sky_feed_relay {
    sky_feed_relay_options_t options;
    waiting_t *waiting;
    ev_timer tick;
    sky_host_call_t *call;
    uint64_t ask_at_ms;
    /** Hosts to ask, the first one first. */
    char sources[SOURCES_MAX][SKY_HOST_ADDRESS_BYTES];
    uint32_t source_count;
    uint32_t turn; /**< questions that did not help since owners changed */
};

static const char *const TOPICS[] = {"operator", "targets"};
static const char OWNERS[] = "owners";

static void
answer(sky_feed_relay_t *relay, waiting_t *waiting)
{
    json_t *body = json_object();
    for (int i = 0; i < SKY_FEED_COUNT; i++) {
        json_t *records = SkyFeed_Export(
            relay->options.feed, (sky_feed_topic_t)i, waiting->next[i]);
        if (records != NULL) {
            json_object_set_new(body, TOPICS[i], records);
        }
    }
    json_t *owners =
        SkyOwnership_Export(relay->options.ownership, waiting->owners);
    if (owners != NULL) {
        json_object_set_new(body, OWNERS, owners);
    }
    sky_visit_t *visit = waiting->visit;
    DL_DELETE2(relay->waiting, waiting, prev, next_waiting);
    free(waiting);
    SkyVisit_SetUser(visit, NULL);
    SkyHostCalls_Answer(visit, body);
}

static bool
has_news(const sky_feed_relay_t *relay, const waiting_t *waiting,
         sky_feed_topic_t topic)
{
    return SkyFeed_Next(relay->options.feed, topic) > waiting->next[topic];
}

static bool
is_due(const sky_feed_relay_t *relay, const waiting_t *waiting, uint64_t now)
{
    uint64_t held_ms = now - waiting->since_ms;
    return held_ms >= waiting->hold_ms ||
           has_news(relay, waiting, SKY_FEED_OPERATOR) ||
           SkyOwnership_OwnersGeneration(relay->options.ownership) >
               waiting->owners;
}

static void
answer_due(sky_feed_relay_t *relay)
{
    uint64_t now = SkyClock_NowMs();
    waiting_t *waiting;
    waiting_t *next;
    DL_FOREACH_SAFE2(relay->waiting, waiting, next, next_waiting)
    {
        if (is_due(relay, waiting, now)) {
            answer(relay, waiting);
        }
    }
}

static void
on_question(void *context, sky_visit_t *visit, const json_t *body)
{
    sky_feed_relay_t *relay = context;
    waiting_t *waiting = calloc(1, sizeof *waiting);
    if (waiting == NULL) {
        SkyVisit_Answer(visit, 503, "", "", 0);
        return;
    }
    for (int i = 0; i < SKY_FEED_COUNT; i++) {
        waiting->next[i] =
            (uint64_t)json_integer_value(json_object_get(body, TOPICS[i]));
    }
    waiting->owners =
        (uint64_t)json_integer_value(json_object_get(body, OWNERS));
    waiting->visit = visit;
    waiting->since_ms = SkyClock_NowMs();
    waiting->hold_ms =
        (uint64_t)json_integer_value(json_object_get(body, "hold_ms"));
    DL_APPEND2(relay->waiting, waiting, prev, next_waiting);
    SkyVisit_SetUser(visit, waiting);
    if (is_due(relay, waiting, waiting->since_ms)) {
        answer(relay, waiting);
    }
}

static void
on_question_gone(void *context, sky_visit_t *visit)
{
    sky_feed_relay_t *relay = context;
    waiting_t *waiting = SkyVisit_User(visit);
    if (waiting != NULL) {
        DL_DELETE2(relay->waiting, waiting, prev, next_waiting);
        free(waiting);
    }
}

static bool
is_self(const sky_feed_relay_t *relay, const char *address)
{
    return strcmp(address, relay->options.settings->control) == 0;
}

/* The source whose turn it is; any peer if none is known. */
static const char *
whom_to_ask(const sky_feed_relay_t *relay)
{
    if (relay->source_count > 0) {
        return relay->sources[relay->turn % relay->source_count];
    }
    return SkyOwnership_SomePeer(relay->options.ownership, relay->turn);
}

static void
take_answer(sky_feed_relay_t *relay, const json_t *body)
{
    for (int i = 0; i < SKY_FEED_COUNT; i++) {
        const json_t *records = json_object_get(body, TOPICS[i]);
        if (records == NULL) {
            continue;
        }
        sky_result_t result =
            SkyFeed_Import(relay->options.feed, (sky_feed_topic_t)i, records);
        if (SkyResult_IsError(result)) {
            SkyLog_Write(LOG_WARNING, "peer_records_refused",
                         "topic=%s result=%s", TOPICS[i],
                         SkyResult_Symbol(result));
        }
    }
}

static void
on_answer(void *context, const json_t *body)
{
    sky_feed_relay_t *relay = context;
    relay->call = NULL;
    if (body == NULL) {
        relay->turn++;
        relay->ask_at_ms = SkyClock_NowMs() + RETRY_MS;
        return;
    }
    take_answer(relay, body);
    if (json_object_get(body, OWNERS) != NULL) {
        SkyOwnership_Import(relay->options.ownership,
                            json_object_get(body, OWNERS));
    }
    relay->ask_at_ms = SkyClock_NowMs();
    if (SkyFeed_IsStale(relay->options.feed)) {
        /* The one that was asked knows no more than this host. */
        relay->turn++;
        relay->ask_at_ms += RETRY_MS;
    }
}

static void
ask(sky_feed_relay_t *relay)
{
    const sky_feed_t *feed = relay->options.feed;
    const char *address = whom_to_ask(relay);
    if (address == NULL) {
        return;
    }
    json_t *body = json_pack(
        "{s:I, s:I, s:I, s:I}", OWNERS,
        (json_int_t)SkyOwnership_OwnersGeneration(relay->options.ownership),
        TOPICS[SKY_FEED_OPERATOR],
        (json_int_t)SkyFeed_Next(feed, SKY_FEED_OPERATOR),
        TOPICS[SKY_FEED_TARGETS],
        (json_int_t)SkyFeed_Next(feed, SKY_FEED_TARGETS), "hold_ms",
        (json_int_t)HOLD_MS);
    relay->call =
        SkyHostCalls_Call(relay->options.calls, address, "/feed", body,
                          HOLD_MS + TIMEOUT_MARGIN_MS, on_answer, relay);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_feed_relay_t *relay = watcher->data;
    const sky_feed_t *feed = relay->options.feed;
    answer_due(relay);
    bool needed = !SkyFeed_IsReader(feed) || SkyFeed_IsBehind(feed);
    if (needed && relay->call == NULL &&
        SkyClock_NowMs() >= relay->ask_at_ms) {
        ask(relay);
    }
}

void
SkyFeedRelay_NoteNews(sky_feed_relay_t *relay)
{
    answer_due(relay);
}

static void
add_source(sky_feed_relay_t *relay, const char *address)
{
    if (!is_self(relay, address) && relay->source_count < SOURCES_MAX) {
        snprintf(relay->sources[relay->source_count++], SKY_HOST_ADDRESS_BYTES,
                 "%s", address);
    }
}

/* The host that hands on in this failure domain asks the readers; the others
 * ask that host, and the readers if it does not help. */
static void
choose_sources(sky_feed_relay_t *relay, const sky_fanout_host_t *members,
               uint32_t count, const uint32_t *readers, uint32_t reader_count)
{
    uint32_t nearest;
    relay->source_count = 0;
    relay->turn = 0;
    if (SkyFanout_Pick(members, count, relay->options.settings->domain,
                       &nearest, 1) > 0 &&
        !is_self(relay, members[nearest].address)) {
        add_source(relay, members[nearest].address);
    }
    for (uint32_t i = 0; i < reader_count; i++) {
        add_source(relay, members[readers[i]].address);
    }
}

void
SkyFeedRelay_NoteOwners(sky_feed_relay_t *relay)
{
    sky_fanout_host_t members[SKY_MEMBERS_MAX];
    uint32_t readers[SKY_FANOUT_READERS];
    uint32_t count = SkyOwnership_Members(relay->options.ownership, members,
                                          SKY_MEMBERS_MAX);
    uint32_t reader_count =
        SkyFanout_Pick(members, count, NULL, readers, SKY_FANOUT_READERS);
    bool self = false;
    for (uint32_t i = 0; i < reader_count; i++) {
        self = self || is_self(relay, members[readers[i]].address);
    }
    choose_sources(relay, members, count, readers, reader_count);
    SkyFeed_SetReader(relay->options.feed, self || reader_count == 0);
    SkyOwnership_SetReader(relay->options.ownership,
                           self || reader_count == 0);
}

sky_result_t
SkyFeedRelay_Create(const sky_feed_relay_options_t *options,
                    sky_feed_relay_t **relay)
{
    sky_feed_relay_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    ev_timer_init(&self->tick, on_tick, TICK_S, TICK_S);
    self->tick.data = self;
    ev_timer_start(options->loop, &self->tick);
    SkyHostCalls_Handle(options->calls, "/feed", on_question, on_question_gone,
                        self);
    *relay = self;
    return SKY_OK;
}

void
SkyFeedRelay_Free(sky_feed_relay_t *relay)
{
    if (relay == NULL) {
        return;
    }
    ev_timer_stop(relay->options.loop, &relay->tick);
    if (relay->call != NULL) {
        SkyHostCalls_Cancel(relay->call);
    }
    waiting_t *waiting;
    waiting_t *next;
    DL_FOREACH_SAFE2(relay->waiting, waiting, next, next_waiting)
    {
        DL_DELETE2(relay->waiting, waiting, prev, next_waiting);
        free(waiting);
    }
    free(relay);
}
