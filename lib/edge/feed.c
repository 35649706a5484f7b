#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/feed_internal.h"

/* Only a few hosts read the store, so they can read it often: the records that
 * they pass on should be younger than half of the shortest time within which
 * an update has to apply. */
/** The store responds before the end of this time if a document changes. */
#define OPERATOR_LONG_POLL_MS 400
#define TARGETS_POLL_INTERVAL_MS 300
/** Crashes are rare, and the store responds at once when one is appended. */
#define CRASHES_LONG_POLL_MS 2000
#define RETRY_DELAY_MIN_MS 100 /**< doubles with each failed read in a row */
/** Time that an outage seems to last longer than it does: with the time that
 *  entries get to come back less than hosts get until they must be right. */
#define RETRY_DELAY_MAX_MS 400
/** Interval at which a host that does not read the store checks whether the
 *  records from its peers are still fresh. */
#define FOLLOWER_CHECK_INTERVAL_MS 100
/** Interval at which a host that is not to read yet checks whether it may. */
#define START_CHECK_INTERVAL_MS 20
#define CHECK_INTERVAL_S 0.05 /**< of SkyFreshness_CheckStore() */

/** Time from a decision by the records until a target gets the request:
 *  connect, and the links. */
#define ACT_MAX_MS 600
/** A proof of the configuration counts for so much less than the bound: the
 *  clocks of hosts run a little apart. */
#define PROOF_MARGIN_MS 300
#define URGENT_TIMEOUT_MS 500 /**< a slow store takes some hundred ms */
/** Records may always be this old: a host that reads the store only when those
 *  of its peers are stale has them in time. */
#define MAX_AGE_MIN_MS 1400

/* Records that the store responded with all that the topic had when it was
 * asked. The proof is recorded later, when the records are applied. */
static void
record_read(sky_feed_state_t *topic)
{
    uint64_t before_ms = topic->freshness.read_ms;
    uint64_t now_ms = SkyClock_NowMs();
    SkyFreshness_RecordRead(&topic->freshness,
                            topic->call_due_ms <= now_ms ? topic->call_due_ms
                                                         : topic->call_sent_ms,
                            now_ms);
    SkyFeedState_PublishRead(topic, before_ms, false);
}

static void
schedule_read(sky_feed_state_t *topic, uint32_t delay_ms)
{
    struct ev_loop *loop = topic->feed->options.loop;
    ev_timer_stop(loop, &topic->read_timer);
    ev_timer_set(&topic->read_timer, delay_ms / 1000.0, 0.0);
    ev_timer_start(loop, &topic->read_timer);
}

static void
finish_snapshot(sky_feed_state_t *topic)
{
    SkyFeedState_DeleteMissingKeys(topic, topic->snapshot_end_offset);
    topic->snapshot_pending = false;
    topic->synced = true;
    if (topic->deletions_from_offset < topic->snapshot_end_offset) {
        topic->deletions_from_offset = topic->snapshot_end_offset;
    }
    if (topic->next_offset < topic->snapshot_end_offset) {
        topic->next_offset = topic->snapshot_end_offset;
    }
    if (topic->id == SKY_FEED_TARGETS) {
        topic->feed->options.directory->targets_known = true;
    }
    SkyLog_Write(LOG_NOTICE, "feed_snapshot", "topic=%s next=%llu keys=%u",
                 topic->name, (unsigned long long)topic->next_offset,
                 HASH_COUNT(topic->records));
}

static void
begin_snapshot(sky_feed_state_t *topic)
{
    topic->snapshot_pending = true;
    free(topic->cursor);
    topic->cursor = NULL;
    SkyFeedState_ClearSnapshotMarks(topic);
}

/* The records stay in use until those of the new era are known: their sources
 * write again what the store has lost. */
static void
begin_era(sky_feed_state_t *topic, uint64_t era)
{
    SkyLog_Write(LOG_NOTICE, "feed_era",
                 "topic=%s era=%llu before=%llu next=%llu", topic->name,
                 (unsigned long long)era, (unsigned long long)topic->era,
                 (unsigned long long)topic->next_offset);
    topic->era = era;
    topic->next_offset = 0;
    topic->snapshot_end_offset = 0;
    topic->deletions_from_offset = 0;
    topic->synced = false;
    begin_snapshot(topic);
    sky_feed_record_t *record;
    for (record = topic->records; record != NULL; record = record->hh.next) {
        record->is_outdated = true;
    }
    SkyFreshness_RecordLoss(&topic->freshness, SkyClock_NowMs());
}

/* Applies the era of records that were received.
 * @return whether the records known so far are of an earlier one. */
bool
SkyFeedState_ApplyEra(sky_feed_state_t *topic, uint64_t era)
{
    if (era <= topic->era) {
        return false;
    }
    if (topic->era == 0 && topic->records == NULL) {
        topic->era = era; /* the first one that this host hears of */
        return false;
    }
    begin_era(topic, era);
    return true;
}

/* @return whether the response was of a new era, so that the topic is read
 * from the beginning. */
static bool
handle_era(sky_feed_state_t *topic, uint64_t era)
{
    bool is_new_era = SkyFeedState_ApplyEra(topic, era);
    if (is_new_era) {
        schedule_read(topic, 0);
    }
    return is_new_era;
}

static uint32_t
read_interval_ms(const sky_feed_state_t *topic)
{
    return topic->id == SKY_FEED_TARGETS ? TARGETS_POLL_INTERVAL_MS : 0;
}

static uint32_t
long_poll_ms(const sky_feed_state_t *topic)
{
    switch (topic->id) {
    case SKY_FEED_OPERATOR:
        return SkyFreshness_IsStale(&topic->freshness, SkyClock_NowMs())
                   ? 0
                   : OPERATOR_LONG_POLL_MS;
    case SKY_FEED_CRASHES:
        return CRASHES_LONG_POLL_MS;
    case SKY_FEED_TARGETS:
    case SKY_FEED_TOPIC_COUNT:
        break;
    }
    return 0;
}

static void
handle_response(sky_feed_state_t *topic)
{
    topic->feed->options.directory->store_unreachable = false;
    if (topic->failed_reads > 0) {
        SkyLog_Write(
            LOG_NOTICE, "store_regained", "topic=%s failures=%u after_ms=%llu",
            topic->name, topic->failed_reads,
            (unsigned long long)(SkyClock_NowMs() - topic->first_failure_ms));
    }
    topic->failed_reads = 0;
}

static void
handle_read_failure(sky_feed_state_t *topic, sky_store_outcome_t outcome)
{
    topic->feed->options.directory->store_unreachable = true;
    if (topic->failed_reads == 0) {
        topic->first_failure_ms = SkyClock_NowMs();
        SkyLog_Write(LOG_WARNING, "store_lost", "topic=%s reason=%s next=%llu",
                     topic->name, SkyStore_OutcomeName(outcome),
                     (unsigned long long)topic->next_offset);
    }
    uint32_t delay_ms = RETRY_DELAY_MIN_MS;
    for (uint32_t i = 0;
         i < topic->failed_reads && delay_ms < RETRY_DELAY_MAX_MS; i++) {
        delay_ms *= 2;
    }
    topic->failed_reads++;
    schedule_read(topic, delay_ms);
}

static void
on_snapshot_page(void *context, const sky_store_response_t *response)
{
    sky_feed_state_t *topic = context;
    topic->is_call_open = false;
    if (response->outcome != SKY_STORE_DONE) {
        handle_read_failure(topic, response->outcome);
        return;
    }
    handle_response(topic);
    if (handle_era(topic, response->era)) {
        SkyFreshness_RecordResponse(&topic->freshness);
        return;
    }
    if (topic->cursor == NULL) {
        topic->snapshot_end_offset = response->end_offset;
        topic->snapshot_began_ms = topic->call_sent_ms;
        topic->snapshot_began_boot_ms = topic->call_sent_boot_ms;
    }
    /* A page that ends where the one before did would be read forever. */
    bool has_more = response->has_more && response->cursor != NULL &&
                    (topic->cursor == NULL ||
                     strcmp(topic->cursor, response->cursor) != 0);
    if (has_more) {
        SkyFreshness_RecordResponse(&topic->freshness);
    }
    else {
        topic->call_due_ms = topic->snapshot_began_ms;
        record_read(topic);
    }
    for (size_t i = 0; i < response->record_count; i++) {
        SkyFeedState_ApplyRecord(topic, &response->records[i]);
    }
    if (has_more) {
        char *cursor = strdup(response->cursor);
        free(topic->cursor);
        topic->cursor = cursor;
        schedule_read(topic, 0);
        return;
    }
    finish_snapshot(topic);
    SkyFreshness_RecordProof(&topic->freshness, topic->snapshot_began_boot_ms);
    topic->feed->options.on_change(topic->feed->options.context, topic->id);
    schedule_read(topic, read_interval_ms(topic));
}

/* Begins a snapshot: the store no longer keeps the records to read on. */
static void
handle_expired_offset(sky_feed_state_t *topic, uint64_t era)
{
    handle_response(topic);
    SkyFreshness_RecordResponse(&topic->freshness);
    if (handle_era(topic, era)) {
        return;
    }
    SkyLog_Write(LOG_NOTICE, "feed_forgotten", "topic=%s next=%llu",
                 topic->name, (unsigned long long)topic->next_offset);
    begin_snapshot(topic);
    schedule_read(topic, 0);
}

static void
on_records(void *context, const sky_store_response_t *response)
{
    sky_feed_state_t *topic = context;
    topic->is_call_open = false;
    if (response->outcome == SKY_STORE_OFFSET_EXPIRED) {
        handle_expired_offset(topic, response->era);
        return;
    }
    if (response->outcome != SKY_STORE_DONE) {
        handle_read_failure(topic, response->outcome);
        return;
    }
    handle_response(topic);
    if (handle_era(topic, response->era)) {
        SkyFreshness_RecordResponse(&topic->freshness);
        return;
    }
    if (response->record_count > 0) {
        /* The store responded before the end of the wait. */
        topic->call_due_ms = topic->call_sent_ms;
    }
    if (response->has_more) {
        SkyFreshness_RecordResponse(&topic->freshness);
    }
    else {
        record_read(topic);
    }
    for (size_t i = 0; i < response->record_count; i++) {
        SkyFeedState_ApplyRecord(topic, &response->records[i]);
    }
    if (!response->has_more) {
        SkyFreshness_RecordProof(&topic->freshness, topic->call_sent_boot_ms);
    }
    if (response->record_count > 0) {
        topic->feed->options.on_change(topic->feed->options.context,
                                       topic->id);
    }
    if (response->end_offset > topic->next_offset) {
        topic->next_offset = response->end_offset;
    }
    /* A response that arrived late shows an old state of the store. */
    bool is_late = SkyFreshness_IsStale(&topic->freshness, SkyClock_NowMs());
    bool is_next_due = response->has_more || is_late || topic->is_read_wanted;
    schedule_read(topic, is_next_due ? 0 : read_interval_ms(topic));
}

static uint32_t
proof_max_age_ms(const sky_feed_t *feed)
{
    uint32_t limit_ms = feed->options.settings->bounds.revocation_ms;
    return limit_ms > PROOF_MARGIN_MS ? limit_ms - PROOF_MARGIN_MS : 0;
}

/* Whether the peers' proofs come in time. Those of an earlier build send none,
 * and this host has to read the store itself. */
static bool
is_proof_relayed(const sky_feed_t *feed)
{
    return feed->options.settings->bounds.revocation_ms == 0 ||
           SkyFreshness_IsProven(&feed->topics[SKY_FEED_OPERATOR].freshness,
                                 proof_max_age_ms(feed) / 2,
                                 SkyClock_BootMs());
}

static void
read_store(sky_feed_state_t *topic)
{
    sky_store_t *store = topic->feed->options.store;
    uint32_t wait_ms = topic->snapshot_pending ? 0 : long_poll_ms(topic);
    topic->is_call_open = true;
    topic->is_read_wanted = false;
    topic->call_sent_ms = SkyClock_NowMs();
    topic->call_sent_boot_ms = SkyClock_BootMs();
    topic->call_due_ms = topic->call_sent_ms + wait_ms;
    SkyFreshness_RecordCall(&topic->freshness, topic->call_due_ms);
    if (topic->snapshot_pending) {
        SkyStore_ReadNewestRecords(store, topic->name,
                                   topic->cursor ? topic->cursor : "",
                                   on_snapshot_page, topic);
        return;
    }
    /* Once the store is back, requests wait for the proof: a call that the
     * store will not respond to must not delay the next one by the usual
     * timeout. */
    bool is_urgent =
        topic->id == SKY_FEED_OPERATOR && !is_proof_relayed(topic->feed);
    SkyStore_ReadRecords(store, topic->name, topic->next_offset, wait_ms,
                         is_urgent ? URGENT_TIMEOUT_MS : 0, on_records, topic);
}

/* Whether the peers pass on what they read. For the crashes, whose reads are
 * long polls, the reads of the operator's topic show it. */
static bool
is_relayed(const sky_feed_state_t *topic)
{
    const sky_feed_state_t *checked =
        topic->id == SKY_FEED_CRASHES ? &topic->feed->topics[SKY_FEED_OPERATOR]
                                      : topic;
    return !SkyFreshness_IsStale(&checked->freshness, SkyClock_NowMs()) &&
           (topic->id != SKY_FEED_OPERATOR || is_proof_relayed(topic->feed));
}

static void
on_read_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_feed_state_t *topic = watcher->data;
    if (SkyFeed_WaitsForPeers(topic->feed) && !topic->is_read_wanted) {
        schedule_read(topic, START_CHECK_INTERVAL_MS);
        return;
    }
    if (topic->synced && !topic->feed->is_store_reader &&
        !topic->is_read_wanted && is_relayed(topic)) {
        schedule_read(topic, FOLLOWER_CHECK_INTERVAL_MS);
        return;
    }
    read_store(topic);
}

static void
on_check_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_feed_t *feed = watcher->data;
    uint64_t now_ms = SkyClock_NowMs();
    for (int i = 0; i < SKY_FEED_TOPIC_COUNT; i++) {
        SkyFreshness_CheckStore(&feed->topics[i].freshness, now_ms);
    }
}

bool
SkyFeed_WaitsForPeers(const sky_feed_t *feed)
{
    return !SkyStartReads_MayRead(feed->options.start, SkyClock_NowMs());
}

void
SkyFeed_HandleStart(sky_feed_t *feed)
{
    if (SkyFeed_WaitsForPeers(feed)) {
        return;
    }
    for (int i = 0; i < SKY_FEED_TOPIC_COUNT; i++) {
        sky_feed_state_t *topic = &feed->topics[i];
        if (!topic->synced && !topic->is_call_open &&
            topic->failed_reads == 0) {
            schedule_read(topic, 0);
        }
    }
}

bool
SkyFeed_IsSynced(const sky_feed_t *feed, sky_feed_topic_t topic)
{
    return feed->topics[topic].synced && !feed->topics[topic].snapshot_pending;
}

const char *
SkyFeed_FindValue(const sky_feed_t *feed, sky_feed_topic_t topic,
                  const char *key)
{
    const sky_feed_record_t *record;
    HASH_FIND_STR(feed->topics[topic].records, key, record);
    return record != NULL && !record->is_tombstone ? record->value : NULL;
}

void
SkyFeed_ForEachRecord(const sky_feed_t *feed, sky_feed_topic_t topic,
                      sky_feed_visitor_t visit, void *context)
{
    const sky_feed_record_t *record = feed->topics[topic].records;
    for (; record != NULL; record = record->hh.next) {
        if (!record->is_tombstone) {
            visit(context, record->key, record->value);
        }
    }
}

sky_feed_position_t
SkyFeed_GetPosition(const sky_feed_t *feed, sky_feed_topic_t topic)
{
    const sky_feed_state_t *state = &feed->topics[topic];
    return (sky_feed_position_t){state->era, state->next_offset};
}

bool
SkyFeed_IsAhead(const sky_feed_t *feed, sky_feed_topic_t topic,
                const sky_feed_position_t *position)
{
    const sky_feed_state_t *state = &feed->topics[topic];
    return state->era != position->era
               ? state->era > position->era && state->synced
               : state->next_offset > position->next_offset;
}

void
SkyFeed_SetStoreReader(sky_feed_t *feed, bool is_store_reader)
{
    if (feed->is_store_reader != is_store_reader) {
        SkyLog_Write(LOG_NOTICE, "store_reader", "reader=%d", is_store_reader);
    }
    feed->is_store_reader = is_store_reader;
}

bool
SkyFeed_IsStoreReader(const sky_feed_t *feed)
{
    return feed->is_store_reader;
}

bool
SkyFeed_IsStale(const sky_feed_t *feed)
{
    uint64_t now_ms = SkyClock_NowMs();
    return SkyFreshness_IsStale(&feed->topics[SKY_FEED_OPERATOR].freshness,
                                now_ms) ||
           SkyFreshness_IsStale(&feed->topics[SKY_FEED_TARGETS].freshness,
                                now_ms);
}

bool
SkyFeed_ReadTargets(sky_feed_t *feed)
{
    sky_feed_state_t *topic = &feed->topics[SKY_FEED_TARGETS];
    if (SkyFreshness_IsStoreUnreachable(&topic->freshness)) {
        return false;
    }
    if (!topic->is_read_wanted) {
        topic->is_read_wanted = true;
        if (!topic->is_call_open) {
            schedule_read(topic, 0);
        }
    }
    return true;
}

/* Returns how old records may be that are acted on, if an update has to apply
 * within @p limit_ms. */
static uint32_t
max_age_ms(uint32_t limit_ms)
{
    return limit_ms > MAX_AGE_MIN_MS + ACT_MAX_MS ? limit_ms - ACT_MAX_MS
                                                  : MAX_AGE_MIN_MS;
}

bool
SkyFeed_AreRecordsUsable(const sky_feed_t *feed)
{
    const sky_deployment_bounds_t *bounds = &feed->options.settings->bounds;
    uint64_t now_ms = SkyClock_NowMs();
    return SkyFreshness_IsUsable(&feed->topics[SKY_FEED_OPERATOR].freshness,
                                 max_age_ms(bounds->config_apply_ms),
                                 now_ms) &&
           SkyFreshness_IsUsable(&feed->topics[SKY_FEED_TARGETS].freshness,
                                 max_age_ms(bounds->target_drain_ms), now_ms);
}

bool
SkyFeed_IsConfigProven(const sky_feed_t *feed)
{
    return feed->options.settings->bounds.revocation_ms == 0 ||
           (!feed->is_config_unreadable &&
            SkyFreshness_IsProven(&feed->topics[SKY_FEED_OPERATOR].freshness,
                                  proof_max_age_ms(feed), SkyClock_BootMs()));
}

bool
SkyFeed_IsStoreFailing(const sky_feed_t *feed)
{
    return feed->topics[SKY_FEED_OPERATOR].failed_reads > 0 ||
           feed->topics[SKY_FEED_TARGETS].failed_reads > 0;
}

sky_result_t
SkyFeed_Create(const sky_feed_options_t *options, sky_feed_t **feed)
{
    static const char *const TOPIC_NAMES[] = {
        SKY_TOPIC_OPERATOR, SKY_TOPIC_TARGETS, SKY_TOPIC_CRASHES};
    sky_feed_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->is_store_reader = true;
    for (int i = 0; i < SKY_FEED_TOPIC_COUNT; i++) {
        sky_feed_state_t *topic = &self->topics[i];
        topic->feed = self;
        topic->id = (sky_feed_topic_t)i;
        topic->name = TOPIC_NAMES[i];
        topic->snapshot_pending = true;
        ev_init(&topic->read_timer, on_read_timer);
        topic->read_timer.data = topic;
        schedule_read(topic, 0);
    }
    ev_timer_init(&self->check_timer, on_check_timer, CHECK_INTERVAL_S,
                  CHECK_INTERVAL_S);
    self->check_timer.data = self;
    ev_timer_start(options->loop, &self->check_timer);
    *feed = self;
    return SKY_OK;
}

static void
free_topic(sky_feed_state_t *topic)
{
    ev_timer_stop(topic->feed->options.loop, &topic->read_timer);
    sky_feed_record_t *record;
    sky_feed_record_t *next;
    HASH_ITER(hh, topic->records, record, next)
    {
        HASH_DEL(topic->records, record);
        free(record->key);
        free(record->value);
        SkyEncodedValue_Clear(&record->encoded);
        free(record);
    }
    free(topic->cursor);
}

void
SkyFeed_Free(sky_feed_t *feed)
{
    if (feed == NULL) {
        return;
    }
    ev_timer_stop(feed->options.loop, &feed->check_timer);
    for (int i = 0; i < SKY_FEED_TOPIC_COUNT; i++) {
        free_topic(&feed->topics[i]);
    }
    free(feed);
}
