#include "edge/feed_relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "decide/poll_sources.h"

/** Time for which a peer holds a poll while it has no updates. Two hops and
 *  the 0.4 s between two reads of the store then add up to less than the age
 *  at which records are stale (1.1 s). */
#define POLL_HOLD_MS 200
#define POLL_TRANSIT_MARGIN_MS 250 /**< to send a poll and its response */
#define POLL_TIMEOUT_MS (POLL_HOLD_MS + POLL_TRANSIT_MARGIN_MS)
#define TICK_INTERVAL_S 0.05
/** Time for which a host holds the poll of one that has no records yet. */
#define START_HOLD_MS 200
/** A poll that asks for more is held for this long: one without a limit would
 *  keep its connection taken, since it counts as a request in progress. */
#define HOLD_MAX_MS 1000
/** Until the next poll of a host that was named: it holds polls itself. */
#define START_RETRY_MS 50
#define SOURCES_TIMEOUT_MS 1000 /**< of a call that names sources */
/** Smaller groups read the store themselves. */
#define TOLD_GROUP_MIN 17
/** A poll that ends later than this after its time limit says nothing of the
 *  source: this host did not run meanwhile. */
#define POLL_LATE_MS 150

/** A poll of a peer that this host holds until it has updates. */
typedef struct long_poll {
    sky_server_request_t *server_request;
    sky_feed_position_t positions[SKY_FEED_TOPIC_COUNT]; /**< of the peer */
    uint64_t owners_generation; /**< of the owners that the peer knows */
    bool reads_deflated;        /**< as in SkyFeed_EncodeRecords() */
    uint64_t received_ms;
    uint64_t hold_ms;
    struct long_poll *prev;
    struct long_poll *next;
} long_poll_t;

struct sky_feed_relay {
    sky_feed_relay_options_t options;
    long_poll_t *polls; /**< held for peers */
    ev_timer tick;
    sky_host_call_t *call; /**< this host's own poll; NULL: none is open */
    uint64_t poll_sent_ms; /**< of the newest poll */
    uint64_t poll_sent_boot_ms;          /**< see SkyFreshness_RecordProof() */
    char polled[SKY_HOST_ADDRESS_BYTES]; /**< whom it went to */
    uint64_t next_poll_at_ms;
    sky_poll_sources_t sources;
    /** Polls that failed or left this host with stale records. Selects the
     *  peer to poll while no source is known. */
    uint32_t unhelpful_polls;
    /** Members that were told whom to poll for their first records. */
    uint64_t told[SKY_GROUP_MEMBERS_MAX];
    uint32_t told_count;
    bool has_members_to_tell;
};

static const char *const TOPIC_KEYS[] = {"operator", "targets", "crashes"};
static const char OWNERS_KEY[] = "owners";
/** Names hosts to poll; those of an earlier build do not know the path. */
static const char SOURCES_PATH[] = "/start-sources";
static const char SOURCES_KEY[] = "sources";
/** Whether the poller reads compressed values. */
static const char DEFLATED_KEY[] = "deflated";
/** Time for which the peer held the poll. */
static const char HELD_KEY[] = "held_ms";

static bool
has_first_records(const sky_feed_t *feed)
{
    return SkyFeed_IsSynced(feed, SKY_FEED_OPERATOR) &&
           SkyFeed_IsSynced(feed, SKY_FEED_TARGETS);
}

/* Whether this host can send the records now: many that start at once need all
 * of them. */
static bool
can_send_records(sky_feed_relay_t *relay, const long_poll_t *poll)
{
    const sky_feed_position_t *position = &poll->positions[SKY_FEED_TARGETS];
    return position->era > 0 || position->next_offset > 0 ||
           !has_first_records(relay->options.feed) ||
           SkyStartReads_TakeWholeResponse(relay->options.start,
                                           relay->options.settings->link_mbps,
                                           SkyClock_NowMs());
}

static void
respond(sky_feed_relay_t *relay, long_poll_t *poll)
{
    json_t *body = json_object();
    bool can_send = can_send_records(relay, poll);
    for (int i = 0; can_send && i < SKY_FEED_TOPIC_COUNT; i++) {
        json_t *records =
            SkyFeed_EncodeRecords(relay->options.feed, (sky_feed_topic_t)i,
                                  &poll->positions[i], poll->reads_deflated);
        if (records != NULL) {
            json_object_set_new(body, TOPIC_KEYS[i], records);
        }
    }
    json_object_set_new(
        body, HELD_KEY,
        json_integer((json_int_t)(SkyClock_NowMs() - poll->received_ms)));
    json_t *owners = SkyOwnership_EncodeOwners(relay->options.ownership,
                                               poll->owners_generation);
    if (owners != NULL) {
        json_object_set_new(body, OWNERS_KEY, owners);
    }
    sky_server_request_t *server_request = poll->server_request;
    DL_DELETE2(relay->polls, poll, prev, next);
    free(poll);
    SkyServerRequest_SetUserData(server_request, NULL);
    SkyHostCalls_Respond(server_request, body);
}

static bool
has_new_records(const sky_feed_relay_t *relay, const long_poll_t *poll,
                sky_feed_topic_t topic)
{
    return SkyFeed_IsAhead(relay->options.feed, topic,
                           &poll->positions[topic]);
}

/* New target records do not end the hold time early. */
static bool
is_due(const sky_feed_relay_t *relay, const long_poll_t *poll, uint64_t now_ms)
{
    uint64_t waited_ms = now_ms - poll->received_ms;
    return waited_ms >= poll->hold_ms ||
           has_new_records(relay, poll, SKY_FEED_OPERATOR) ||
           has_new_records(relay, poll, SKY_FEED_CRASHES) ||
           SkyOwnership_OwnersGeneration(relay->options.ownership) >
               poll->owners_generation;
}

static void
respond_to_due_polls(sky_feed_relay_t *relay)
{
    uint64_t now_ms = SkyClock_NowMs();
    long_poll_t *poll;
    long_poll_t *next_poll;
    DL_FOREACH_SAFE2(relay->polls, poll, next_poll, next)
    {
        if (is_due(relay, poll, now_ms)) {
            respond(relay, poll);
        }
    }
}

static void
on_poll(void *context, sky_server_request_t *server_request,
        const json_t *body)
{
    sky_feed_relay_t *relay = context;
    long_poll_t *poll = calloc(1, sizeof *poll);
    if (poll == NULL) {
        SkyServerRequest_Respond(server_request, 503, "", "", 0);
        return;
    }
    for (int i = 0; i < SKY_FEED_TOPIC_COUNT; i++) {
        const json_t *row = json_object_get(body, TOPIC_KEYS[i]);
        poll->positions[i] = (sky_feed_position_t){
            (uint64_t)json_integer_value(json_array_get(row, 0)),
            (uint64_t)json_integer_value(json_array_get(row, 1))};
    }
    poll->owners_generation =
        (uint64_t)json_integer_value(json_object_get(body, OWNERS_KEY));
    poll->reads_deflated = json_is_true(json_object_get(body, DEFLATED_KEY));
    poll->server_request = server_request;
    poll->received_ms = SkyClock_NowMs();
    poll->hold_ms =
        (uint64_t)json_integer_value(json_object_get(body, "hold_ms"));
    if (poll->hold_ms > HOLD_MAX_MS) {
        poll->hold_ms = HOLD_MAX_MS;
    }
    DL_APPEND2(relay->polls, poll, prev, next);
    SkyServerRequest_SetUserData(server_request, poll);
    if (is_due(relay, poll, poll->received_ms)) {
        respond(relay, poll);
    }
}

static void
on_poll_disconnect(void *context, sky_server_request_t *server_request)
{
    sky_feed_relay_t *relay = context;
    long_poll_t *poll = SkyServerRequest_UserData(server_request);
    if (poll != NULL) {
        DL_DELETE2(relay->polls, poll, prev, next);
        free(poll);
    }
}

static bool
is_own_address(const sky_feed_relay_t *relay, const char *address)
{
    return strcmp(address, relay->options.settings->control) == 0;
}

/* @return control address of the source to poll next, or of any peer while no
 * source is known; NULL if there is no peer. */
static const char *
choose_poll_address(sky_feed_relay_t *relay)
{
    uint64_t now_ms = SkyClock_NowMs();
    const char *source = SkyStartReads_ChooseSource(relay->options.start,
                                                    relay->unhelpful_polls);
    if (source != NULL && !has_first_records(relay->options.feed)) {
        return source;
    }
    const char *address = SkyPollSources_Choose(&relay->sources, now_ms);
    if (address == NULL) {
        address = SkyOwnership_ChoosePeerAddress(relay->options.ownership,
                                                 relay->unhelpful_polls);
        if (address != NULL) {
            SkyPollSources_Substitute(&relay->sources, address, now_ms);
        }
    }
    return address;
}

/* The poll failed, or left this host with stale records. */
static void
handle_unhelpful_poll(sky_feed_relay_t *relay, const char *reason)
{
    uint64_t now_ms = SkyClock_NowMs();
    uint64_t duration_ms = now_ms - relay->poll_sent_ms;
    SkyLog_Write(LOG_INFO, "poll_unhelpful", "source=%s reason=%s ms=%llu",
                 relay->polled, reason, (unsigned long long)duration_ms);
    relay->next_poll_at_ms = now_ms;
    if (duration_ms > POLL_TIMEOUT_MS + POLL_LATE_MS) {
        return;
    }
    relay->unhelpful_polls++;
    uint32_t delay_ms = SkyPollSources_RecordFailure(
        &relay->sources,
        !SkyFeed_IsStoreFailing(relay->options.feed) &&
            !SkyFeed_WaitsForPeers(relay->options.feed),
        now_ms);
    bool polls_named = relay->options.start->source_count > 0 &&
                       !has_first_records(relay->options.feed);
    relay->next_poll_at_ms += polls_named ? START_RETRY_MS : delay_ms;
}

/* Returns a time at which the peer had not made the response yet: what the
 * poll and the response spent on their way makes the records older. A peer of
 * an earlier build does not say how long it held the poll. */
static uint64_t
get_response_ms(const sky_feed_relay_t *relay, const json_t *response)
{
    const json_t *held = json_object_get(response, HELD_KEY);
    uint64_t now_ms = SkyClock_NowMs();
    uint64_t responded_ms =
        relay->poll_sent_ms + (uint64_t)json_integer_value(held);
    return json_is_integer(held) && json_integer_value(held) >= 0 &&
                   responded_ms < now_ms
               ? responded_ms
               : now_ms;
}

static void
apply_records(sky_feed_relay_t *relay, const json_t *response)
{
    uint64_t responded_ms = get_response_ms(relay, response);
    for (int i = 0; i < SKY_FEED_TOPIC_COUNT; i++) {
        const json_t *records = json_object_get(response, TOPIC_KEYS[i]);
        if (records == NULL) {
            continue;
        }
        sky_result_t result = SkyFeed_ApplyRecords(
            relay->options.feed, (sky_feed_topic_t)i, records, responded_ms,
            relay->poll_sent_boot_ms);
        if (SkyResult_IsError(result)) {
            SkyLog_Write(LOG_WARNING, "peer_records_refused",
                         "topic=%s result=%s", TOPIC_KEYS[i],
                         SkyResult_Symbol(result));
        }
    }
}

static void
on_poll_response(void *context, const json_t *response)
{
    sky_feed_relay_t *relay = context;
    relay->call = NULL;
    if (response == NULL) {
        handle_unhelpful_poll(relay, "no_response");
        return;
    }
    apply_records(relay, response);
    if (json_object_get(response, OWNERS_KEY) != NULL) {
        SkyOwnership_ApplyOwners(relay->options.ownership,
                                 json_object_get(response, OWNERS_KEY));
    }
    relay->next_poll_at_ms = SkyClock_NowMs();
    if (SkyFeed_IsStale(relay->options.feed)) {
        handle_unhelpful_poll(relay, "stale");
    }
    else {
        SkyPollSources_RecordSuccess(&relay->sources);
    }
}

static void
send_poll(sky_feed_relay_t *relay)
{
    const sky_feed_t *feed = relay->options.feed;
    const char *address = choose_poll_address(relay);
    if (address == NULL) {
        return;
    }
    /* Peers are not to hold a poll for records that this host lacks. */
    json_int_t hold_ms = !SkyFeed_IsStale(feed)        ? POLL_HOLD_MS
                         : SkyFeed_WaitsForPeers(feed) ? START_HOLD_MS
                                                       : 0;
    json_t *body = json_pack(
        "{s:I, s:I, s:b}", OWNERS_KEY,
        (json_int_t)SkyOwnership_OwnersGeneration(relay->options.ownership),
        "hold_ms", hold_ms, DEFLATED_KEY, 1);
    for (int i = 0; i < SKY_FEED_TOPIC_COUNT; i++) {
        sky_feed_position_t position =
            SkyFeed_GetPosition(feed, (sky_feed_topic_t)i);
        json_object_set_new(body, TOPIC_KEYS[i],
                            json_pack("[I,I]", (json_int_t)position.era,
                                      (json_int_t)position.next_offset));
    }
    relay->poll_sent_ms = SkyClock_NowMs();
    relay->poll_sent_boot_ms = SkyClock_BootMs();
    snprintf(relay->polled, sizeof relay->polled, "%s", address);
    relay->call =
        SkyHostCalls_SendCall(relay->options.host_calls, address, "/feed",
                              body, POLL_TIMEOUT_MS, on_poll_response, relay);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_feed_relay_t *relay = watcher->data;
    const sky_feed_t *feed = relay->options.feed;
    respond_to_due_polls(relay);
    bool needs_peers = !SkyFeed_IsStoreReader(feed) ||
                       SkyFeed_IsStoreFailing(feed) ||
                       SkyFeed_WaitsForPeers(feed);
    if (needs_peers && relay->call == NULL &&
        SkyClock_NowMs() >= relay->next_poll_at_ms) {
        send_poll(relay);
    }
}

static void
on_sources_response(void *context, const json_t *response)
{
    (void)context; /* a host that was not reached reads the store itself */
    (void)response;
}

/* Another host names those that this one polls for its first records. */
static void
on_sources(void *context, sky_server_request_t *server_request,
           const json_t *body)
{
    sky_feed_relay_t *relay = context;
    const json_t *list = json_object_get(body, SOURCES_KEY);
    const char *sources[SKY_START_SOURCES_MAX];
    uint32_t count = 0;
    for (size_t i = 0;
         i < json_array_size(list) && count < SKY_START_SOURCES_MAX; i++) {
        const char *source = json_string_value(json_array_get(list, i));
        if (source != NULL && !is_own_address(relay, source)) {
            sources[count++] = source;
        }
    }
    if (!has_first_records(relay->options.feed) &&
        SkyStartReads_SetSources(relay->options.start, sources, count,
                                 relay->unhelpful_polls)) {
        SkyLog_Write(LOG_NOTICE, "start_sources", "first=%s count=%u",
                     sources[0], count);
        relay->unhelpful_polls = 0;
        if (relay->call != NULL) {
            SkyHostCalls_CancelCall(relay->call);
            relay->call = NULL;
        }
        relay->next_poll_at_ms = SkyClock_NowMs();
    }
    SkyHostCalls_Respond(server_request, json_object());
}

static bool
was_told(const sky_feed_relay_t *relay, uint64_t member)
{
    for (uint32_t i = 0; i < relay->told_count; i++) {
        if (relay->told[i] == member) {
            return true;
        }
    }
    return false;
}

/* Identifies a member. One that has started again is listed twice, until the
 * time of the former is over. */
static uint64_t
hash_member(const sky_fanout_host_t *members, uint32_t index)
{
    const char *address = members[index].address;
    uint64_t same = 0;
    for (uint32_t i = 0; i < index; i++) {
        same += strcmp(members[i].address, address) == 0;
    }
    return XXH3_64bits_withSeed(address, strlen(address), same);
}

static bool
is_listed(const sky_fanout_host_t *members, uint32_t count,
          const char *address)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(members[i].address, address) == 0) {
            return true;
        }
    }
    return false;
}

static void
send_sources(sky_feed_relay_t *relay, const sky_fanout_host_t *members,
             uint32_t index)
{
    const char *sources[SKY_START_SOURCES_MAX];
    uint32_t count = SkyStartReads_ListSources(members, index, sources);
    json_t *list = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(list, json_string(sources[i]));
    }
    SkyHostCalls_SendCall(relay->options.host_calls, members[index].address,
                          SOURCES_PATH, json_pack("{s:o}", SOURCES_KEY, list),
                          SOURCES_TIMEOUT_MS, on_sources_response, relay);
}

/* Tells members that were not told before whom to poll, if this host is one of
 * those that read the store and has the records. */
static void
tell_members(sky_feed_relay_t *relay)
{
    uint64_t now_ms = SkyClock_NowMs();
    if (!has_first_records(relay->options.feed)) {
        return;
    }
    SkyStartReads_RecordServed(relay->options.start, now_ms);
    if (!relay->has_members_to_tell ||
        !SkyStartReads_TellsOthers(relay->options.start, now_ms)) {
        return;
    }
    relay->has_members_to_tell = false;
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint64_t known[SKY_GROUP_MEMBERS_MAX];
    uint32_t count = SkyOwnership_ListMembers(relay->options.ownership,
                                              members, SKY_GROUP_MEMBERS_MAX);
    const char *own = relay->options.settings->control;
    /* Those that were there when this host came to tell others have their
     * records, unless all start at once. */
    bool is_late = relay->told_count == 0 &&
                   SkyStartReads_IsOver(relay->options.start, now_ms);
    uint32_t told = 0;
    if (!is_listed(members, count, own) && count < SKY_GROUP_MEMBERS_MAX) {
        members[count++] = (sky_fanout_host_t){.address = own, .domain = ""};
    }
    SkyStartReads_OrderMembers(members, count, own);
    for (uint32_t i = 0; i < count; i++) {
        known[i] = hash_member(members, i);
        if (i > 0 && count >= TOLD_GROUP_MIN && !is_late &&
            !was_told(relay, known[i]) &&
            !is_own_address(relay, members[i].address)) {
            send_sources(relay, members, i);
            told++;
        }
    }
    memcpy(relay->told, known, count * sizeof known[0]);
    relay->told_count = count;
    if (told > 0) {
        SkyLog_Write(LOG_NOTICE, "start_members_told", "members=%u told=%u",
                     count, told);
    }
}

void
SkyFeedRelay_HandleFeedChange(sky_feed_relay_t *relay)
{
    respond_to_due_polls(relay);
    tell_members(relay);
}

/* The relay of a failure domain polls the store readers. The other hosts of
 * the domain poll the relay first, then the host that stands in for it, and
 * the readers if that does not help. */
static void
choose_sources(sky_feed_relay_t *relay, const sky_fanout_host_t *members,
               uint32_t member_count, const uint32_t *readers,
               uint32_t reader_count)
{
    const char *addresses[SKY_POLL_SOURCES_MAX];
    uint32_t relays[SKY_POLL_RELAY_COUNT];
    uint32_t count = 0;
    uint32_t relay_count = SkyFanout_ChooseHosts(
        members, member_count, relay->options.settings->domain, relays,
        SKY_POLL_RELAY_COUNT);
    for (uint32_t i = 0; i < relay_count; i++) {
        if (is_own_address(relay, members[relays[i]].address)) {
            break;
        }
        addresses[count++] = members[relays[i]].address;
    }
    for (uint32_t i = 0; i < reader_count; i++) {
        if (!is_own_address(relay, members[readers[i]].address)) {
            addresses[count++] = members[readers[i]].address;
        }
    }
    SkyPollSources_Set(&relay->sources, addresses, count);
}

void
SkyFeedRelay_HandleOwnersChange(sky_feed_relay_t *relay)
{
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t readers[SKY_FANOUT_READER_COUNT];
    uint32_t member_count = SkyOwnership_ListMembers(
        relay->options.ownership, members, SKY_GROUP_MEMBERS_MAX);
    uint32_t reader_count = SkyFanout_ChooseHosts(
        members, member_count, NULL, readers, SKY_FANOUT_READER_COUNT);
    bool reads_store = false;
    for (uint32_t i = 0; i < reader_count; i++) {
        reads_store =
            reads_store || is_own_address(relay, members[readers[i]].address);
    }
    choose_sources(relay, members, member_count, readers, reader_count);
    if (member_count > 0) {
        SkyStartReads_RecordRole(relay->options.start, reads_store);
    }
    SkyFeed_SetStoreReader(relay->options.feed,
                           reads_store || reader_count == 0);
    SkyOwnership_SetStoreReader(relay->options.ownership,
                                reads_store || reader_count == 0);
    SkyFeed_HandleStart(relay->options.feed);
    relay->has_members_to_tell = true;
    tell_members(relay);
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
    ev_timer_init(&self->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
    self->tick.data = self;
    ev_timer_start(options->loop, &self->tick);
    SkyHostCalls_RegisterHandler(options->host_calls, "/feed", on_poll,
                                 on_poll_disconnect, self);
    SkyHostCalls_RegisterHandler(options->host_calls, SOURCES_PATH, on_sources,
                                 NULL, self);
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
        SkyHostCalls_CancelCall(relay->call);
    }
    long_poll_t *poll;
    long_poll_t *next_poll;
    DL_FOREACH_SAFE2(relay->polls, poll, next_poll, next)
    {
        DL_DELETE2(relay->polls, poll, prev, next);
        free(poll);
    }
    free(relay);
}
