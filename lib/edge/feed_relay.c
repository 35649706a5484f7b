#include "edge/feed_relay.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"

#define READERS 2   /**< one may be lost without anyone reading more */
#define HOLD_MS 700 /**< a question is held so long for news */
/** News of targets alone are collected for so long: they come all the time,
 * and a leaving target has a bound of seconds. */
#define COLLECT_MS 450
#define TIMEOUT_MARGIN_MS 250 /**< way of a question and its answer */
#define TICK_S 0.05
#define RETRY_MS 150 /**< after a question that failed */

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
    uint32_t turn;
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
               waiting->owners ||
           (held_ms >= COLLECT_MS &&
            has_news(relay, waiting, SKY_FEED_TARGETS));
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

/* Owner of the shard that makes a host the reader of this number. */
static const char *
reader(const sky_feed_relay_t *relay, uint32_t number)
{
    uint32_t shards = SkyOwnership_Shards(relay->options.ownership);
    return SkyOwnership_OwnerOf(relay->options.ownership,
                                number * (shards / READERS));
}

static bool
is_self(const sky_feed_relay_t *relay, const char *address)
{
    return strcmp(address, relay->options.settings->control) == 0;
}

/* Some reader, another one at each turn; any peer if none is known. */
static const char *
whom_to_ask(const sky_feed_relay_t *relay)
{
    for (uint32_t i = 0; i < READERS; i++) {
        const char *address = reader(relay, (relay->turn + i) % READERS);
        if (address != NULL && !is_self(relay, address)) {
            return address;
        }
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

void
SkyFeedRelay_NoteOwners(sky_feed_relay_t *relay)
{
    bool known = false;
    bool self = false;
    for (uint32_t i = 0; i < READERS; i++) {
        const char *address = reader(relay, i);
        known = known || address != NULL;
        self = self || (address != NULL && is_self(relay, address));
    }
    SkyFeed_SetReader(relay->options.feed, self || !known);
    SkyOwnership_SetReader(relay->options.ownership, self || !known);
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
    for (const char *at = options->settings->name; *at != '\0'; at++) {
        self->turn += (unsigned char)*at; /* hosts spread over the readers */
    }
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
