#include "edge/feed.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/encoded_value.h"
#include "edge/part_sharing.h"
#include "decide/freshness.h"
#include "platform/documents.h"

/* Only a few hosts read the store, so they can read it often: the records that
 * they pass on should be younger than half of the shortest time within which
 * an update has to apply. */
/** The store responds before the end of this time if a document changes. */
#define OPERATOR_LONG_POLL_MS 400
#define TARGETS_POLL_INTERVAL_MS 300
/** Crashes are rare, and the store responds at once when one is appended. */
#define CRASHES_LONG_POLL_MS 2000
#define RETRY_DELAY_MIN_MS 100 /**< doubles with each failed read in a row */
#define RETRY_DELAY_MAX_MS 800
/** Interval at which a host that does not read the store checks whether the
 *  records from its peers are still fresh. */
#define FOLLOWER_CHECK_INTERVAL_MS 100
#define CHECK_INTERVAL_S 0.05 /**< of SkyFreshness_CheckStore() */

/* Values of "regained_age_ms" in the updates of peers. */
#define REGAINED_NEVER ((json_int_t)-1) /**< the store was never lost */
#define REGAINED_NOT_TOLD ((json_int_t)-2)

typedef struct {
    char *key;
    char *value;
    size_t value_bytes;
    sky_encoded_value_t encoded; /**< of the value, once a peer asked for it */
    bool is_tombstone;           /**< the key was deleted */
    uint64_t offset;
    bool in_snapshot; /**< found by the current read of a snapshot */
    bool is_outdated; /**< of an earlier era; its offset means nothing */
    UT_hash_handle hh;
} record_t;

typedef struct {
    sky_feed_t *feed;
    sky_feed_topic_t id;
    const char *name;
    bool snapshot_pending; /**< the next read gets a page of a snapshot */
    bool synced;           /**< the records of a whole snapshot are known */
    char *cursor;          /**< of the previous page; NULL: none */
    uint64_t snapshot_end_offset;
    uint64_t era; /**< of the offsets; 0: not known */
    uint64_t next_offset;
    /** The first records are a snapshot, which has no deletions: those from
     *  this offset on are known. */
    uint64_t deletions_from_offset;
    uint32_t failed_reads; /**< in a row */
    uint64_t first_failure_ms;
    /** When the newest call was made, or the end of the wait that it asked
     *  for: a response without records shows the store of that time. */
    uint64_t call_due_ms;
    uint64_t call_sent_ms;
    bool is_call_open;
    bool is_read_wanted; /**< also if peers relay the topic */
    uint64_t snapshot_began_ms;
    sky_freshness_t freshness;
    ev_timer read_timer;
    record_t *records;
} topic_t;

struct sky_feed {
    sky_feed_options_t options;
    topic_t topics[SKY_FEED_TOPIC_COUNT];
    bool is_store_reader;
    ev_timer check_timer;
};

static void read_store(topic_t *topic);

/** Time from a decision by the records until a target gets the request:
 *  connect, and the links. */
#define ACT_MAX_MS 600
/** Records may always be this old: a host that reads the store only when those
 *  of its peers are stale has them in time. */
#define MAX_AGE_MIN_MS 1400
/** A longer interval between the reads that reach this host is logged. */
#define GAP_LOGGED_MS 1000

/* Returns the time since the topic was read from the store. */
static unsigned long long
age_ms(const topic_t *topic)
{
    return SkyClock_NowMs() - topic->freshness.read_ms;
}

/* Takes over the time of the newest read, and logs a gap before it. */
static void
publish_read(const topic_t *topic, uint64_t before_ms, bool is_relayed)
{
    uint64_t read_ms = topic->freshness.read_ms;
    if (topic->id == SKY_FEED_TARGETS) {
        topic->feed->options.directory->targets_read_ms = read_ms;
    }
    if (topic->id != SKY_FEED_CRASHES && before_ms > 0 &&
        read_ms > before_ms + GAP_LOGGED_MS) {
        SkyLog_Write(LOG_NOTICE, "feed_gap",
                     "topic=%s gap_ms=%llu age_ms=%llu source=%s reader=%d "
                     "failed_reads=%u outage=%d",
                     topic->name, (unsigned long long)(read_ms - before_ms),
                     age_ms(topic), is_relayed ? "peer" : "store",
                     topic->feed->is_store_reader, topic->failed_reads,
                     topic->freshness.store_regained_ms > before_ms);
    }
}

/* Records that the store responded with all that the topic had when it was
 * asked. */
static void
record_read(topic_t *topic)
{
    uint64_t before_ms = topic->freshness.read_ms;
    uint64_t now_ms = SkyClock_NowMs();
    SkyFreshness_RecordRead(&topic->freshness,
                            topic->call_due_ms <= now_ms ? topic->call_due_ms
                                                         : topic->call_sent_ms,
                            now_ms);
    publish_read(topic, before_ms, false);
}

static void
apply_deployment(sky_feed_t *feed, const record_t *record)
{
    sky_directory_t *directory = feed->options.directory;
    sky_deployment_t *decoded = NULL;
    sky_result_t result = SkyPlatformDocument_ParseDeployment(
        record->value, record->value_bytes, &decoded);
    if (SkyResult_IsError(result)) {
        SkyLog_Write(LOG_ERR, "config_ignored", "offset=%llu reason=%s",
                     (unsigned long long)record->offset,
                     SkyResult_Symbol(result));
        return;
    }
    sky_deployment_t *previous = directory->deployment;
    if (previous != NULL && decoded->version <= previous->version) {
        SkyDeployment_Release(decoded);
        return;
    }
    directory->deployment = decoded;
    SkyLog_Write(LOG_NOTICE, "config_in_force",
                 "version=%llu before=%llu routes=%u services=%u offset=%llu",
                 (unsigned long long)decoded->version,
                 (unsigned long long)(previous ? previous->version : 0),
                 decoded->route_count, decoded->service_count,
                 (unsigned long long)record->offset);
    SkyDeployment_Release(previous);
    feed->options.on_change(feed->options.context, SKY_FEED_OPERATOR);
}

static void
apply_operator_record(sky_feed_t *feed, const record_t *record)
{
    sky_resident_t announced;
    if (record->is_tombstone) {
        return;
    }
    switch (SkyPlatformDocument_GetKeyKind(record->key)) {
    case SKY_OPERATOR_KEY_DEPLOYMENT:
        apply_deployment(feed, record);
        break;
    case SKY_OPERATOR_KEY_VERSION:
        if (SkyResult_IsError(SkyPlatformDocument_ParseVersion(
                record->value, record->value_bytes, &announced))) {
            SkyLog_Write(LOG_WARNING, "version_ignored", "key=%s",
                         record->key);
            return;
        }
        SkyLog_Write(LOG_NOTICE, "version_announced",
                     "adapter=%s/%s version=%u", announced.model,
                     announced.adapter, announced.version);
        SkyFleet_ApplyAnnouncement(feed->options.directory->fleet, &announced,
                                   SkyClock_NowMs());
        break;
    case SKY_OPERATOR_KEY_OTHER:
        break;
    }
}

static void
apply_target_record(topic_t *topic, const record_t *record)
{
    sky_feed_t *feed = topic->feed;
    sky_fleet_t *fleet = feed->options.directory->fleet;
    const sky_fleet_target_t *fleet_target =
        SkyFleet_FindTarget(fleet, record->key);
    if (record->is_tombstone) {
        if (fleet_target != NULL) {
            uint64_t now_ms = SkyClock_NowMs();
            uint64_t gone_at_ms =
                SkyFreshness_GetRemovalMs(&topic->freshness, now_ms);
            SkyLog_Write(LOG_NOTICE, "target_missing",
                         "target=%s gone_in_ms=%llu age_ms=%llu", record->key,
                         (unsigned long long)(gone_at_ms - now_ms),
                         age_ms(topic));
            SkyFleet_ScheduleRemoval(fleet, record->key, gone_at_ms);
            SkyFleet_Tick(fleet, now_ms);
        }
        return;
    }
    sky_target_entry_t entry;
    if (SkyResult_IsError(SkyPlatformDocument_ParseTargetEntry(
            record->key, record->value, record->value_bytes, &entry))) {
        SkyLog_Write(LOG_WARNING, "target_entry_ignored", "target=%s",
                     record->key);
        return;
    }
    if (fleet_target == NULL || fleet_target->entry.state != entry.state ||
        fleet_target->entry.started_unix_ms != entry.started_unix_ms) {
        SkyLog_Write(LOG_NOTICE, "target_listed",
                     "target=%s service=%s state=%s slots=%u born=%llu "
                     "software=%s adapters=%u age_ms=%llu",
                     entry.id, entry.service,
                     entry.state == SKY_TARGET_READY ? "ready" : "leaving",
                     entry.slots, (unsigned long long)entry.started_unix_ms,
                     entry.software, entry.resident_count, age_ms(topic));
    }
    if (SkyFleet_ApplyEntry(fleet, &entry, SkyClock_NowMs()) == NULL) {
        SkyLog_Write(LOG_ERR, "target_entry_ignored",
                     "target=%s reason=memory", record->key);
    }
}

/* A deleted record is ignored: this host drops a crash when it is as old as
 * all hosts keep it. */
static void
apply_crash_record(const sky_feed_t *feed, const record_t *record)
{
    sky_crash_watch_t *crashes = feed->options.directory->crashes;
    sky_rec_crash_t crash;
    uint64_t part;
    if (record->is_tombstone || SkyVersionHistory_IsKey(record->key)) {
        return; /* edge/stream_sharing looks the latter up */
    }
    if (SkyPart_ParseKey(record->key, &part)) {
        SkyPartSharing_ApplyRecord(feed->options.directory->parts, part,
                                   record->value);
        return;
    }
    if (!SkyCrash_ParseKey(record->key, &crash)) {
        SkyLog_Write(LOG_WARNING, "crash_ignored", "key=%s", record->key);
        return;
    }
    uint64_t wall_ms = SkyClock_WallMs();
    uint64_t now_ms = SkyClock_NowMs();
    uint64_t confirmed_wall_ms = strtoull(record->value, NULL, 10);
    uint64_t age_ms =
        wall_ms > confirmed_wall_ms ? wall_ms - confirmed_wall_ms : 0;
    if (age_ms < now_ms) {
        SkyCrashWatch_RecordCrash(crashes, &crash, now_ms - age_ms);
    }
}

/* Whether the store went back to the entry of a target that had left since. If
 * the target still runs, it writes its entry again. */
static bool
is_resurrected(const topic_t *topic, const record_t *stored,
               const sky_store_record_t *record)
{
    return topic->id == SKY_FEED_TARGETS && stored->is_outdated &&
           stored->is_tombstone && !record->is_tombstone &&
           record->offset < topic->snapshot_end_offset;
}

/* @return the stored copy, NULL if a newer record of the key is stored, it is
 * not to be applied or memory ran out. */
static record_t *
store_record(topic_t *topic, const sky_store_record_t *record)
{
    record_t *stored;
    HASH_FIND_STR(topic->records, record->key, stored);
    if (stored != NULL && !stored->is_outdated &&
        stored->offset > record->offset) {
        return NULL;
    }
    if (stored != NULL && is_resurrected(topic, stored, record)) {
        stored->in_snapshot = true;
        return NULL;
    }
    char *value = malloc(record->value_bytes + 1);
    if (value == NULL) {
        return NULL;
    }
    memcpy(value, record->value, record->value_bytes);
    value[record->value_bytes] = '\0';
    if (stored == NULL) {
        stored = calloc(1, sizeof *stored);
        if (stored == NULL) {
            free(value);
            return NULL;
        }
        stored->key = strdup(record->key);
        HASH_ADD_KEYPTR(hh, topic->records, stored->key, strlen(stored->key),
                        stored);
    }
    free(stored->value);
    SkyEncodedValue_Clear(&stored->encoded);
    stored->value = value;
    stored->value_bytes = record->value_bytes;
    stored->is_tombstone = record->is_tombstone;
    stored->offset = record->offset;
    stored->in_snapshot = true;
    stored->is_outdated = false;
    return stored;
}

static void
apply_record(topic_t *topic, const sky_store_record_t *record)
{
    const record_t *stored = store_record(topic, record);
    if (stored == NULL) {
        return;
    }
    switch (topic->id) {
    case SKY_FEED_OPERATOR:
        apply_operator_record(topic->feed, stored);
        break;
    case SKY_FEED_TARGETS:
        apply_target_record(topic, stored);
        break;
    case SKY_FEED_CRASHES:
        apply_crash_record(topic->feed, stored);
        break;
    case SKY_FEED_TOPIC_COUNT:
        break;
    }
}

static void
schedule_read(topic_t *topic, uint32_t delay_ms)
{
    struct ev_loop *loop = topic->feed->options.loop;
    ev_timer_stop(loop, &topic->read_timer);
    ev_timer_set(&topic->read_timer, delay_ms / 1000.0, 0.0);
    ev_timer_start(loop, &topic->read_timer);
}

/* Marks keys that are missing from a complete snapshot as deleted.
 * @param end_offset follows the last record that the snapshot covers */
static void
delete_missing_keys(topic_t *topic, uint64_t end_offset)
{
    record_t *record;
    for (record = topic->records; record != NULL; record = record->hh.next) {
        bool is_newer = !record->is_outdated && record->offset >= end_offset;
        if (record->is_outdated) {
            record->is_outdated = false;
            record->offset = 0;
        }
        if (record->in_snapshot || record->is_tombstone || is_newer) {
            continue;
        }
        record->is_tombstone = true;
        record->offset = end_offset > 0 ? end_offset - 1 : 0;
        if (topic->id == SKY_FEED_TARGETS) {
            apply_target_record(topic, record);
        }
    }
}

static void
finish_snapshot(topic_t *topic)
{
    delete_missing_keys(topic, topic->snapshot_end_offset);
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
clear_snapshot_marks(topic_t *topic)
{
    record_t *record;
    for (record = topic->records; record != NULL; record = record->hh.next) {
        record->in_snapshot = false;
    }
}

static void
begin_snapshot(topic_t *topic)
{
    topic->snapshot_pending = true;
    free(topic->cursor);
    topic->cursor = NULL;
    clear_snapshot_marks(topic);
}

/* The records stay in use until those of the new era are known: their sources
 * write again what the store has lost. */
static void
begin_era(topic_t *topic, uint64_t era)
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
    record_t *record;
    for (record = topic->records; record != NULL; record = record->hh.next) {
        record->is_outdated = true;
    }
    SkyFreshness_RecordLoss(&topic->freshness, SkyClock_NowMs());
}

/* Applies the era of records that were received.
 * @return whether the records known so far are of an earlier one. */
static bool
apply_era(topic_t *topic, uint64_t era)
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
handle_era(topic_t *topic, uint64_t era)
{
    bool is_new_era = apply_era(topic, era);
    if (is_new_era) {
        schedule_read(topic, 0);
    }
    return is_new_era;
}

static uint32_t
read_interval_ms(const topic_t *topic)
{
    return topic->id == SKY_FEED_TARGETS ? TARGETS_POLL_INTERVAL_MS : 0;
}

static uint32_t
long_poll_ms(const topic_t *topic)
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
handle_response(topic_t *topic)
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
handle_read_failure(topic_t *topic, sky_store_outcome_t outcome)
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
    topic_t *topic = context;
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
        apply_record(topic, &response->records[i]);
    }
    if (has_more) {
        char *cursor = strdup(response->cursor);
        free(topic->cursor);
        topic->cursor = cursor;
        schedule_read(topic, 0);
        return;
    }
    finish_snapshot(topic);
    topic->feed->options.on_change(topic->feed->options.context, topic->id);
    schedule_read(topic, read_interval_ms(topic));
}

/* Begins a snapshot: the store no longer keeps the records to read on. */
static void
handle_expired_offset(topic_t *topic, uint64_t era)
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
    topic_t *topic = context;
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
        apply_record(topic, &response->records[i]);
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

static void
read_store(topic_t *topic)
{
    sky_store_t *store = topic->feed->options.store;
    uint32_t wait_ms = topic->snapshot_pending ? 0 : long_poll_ms(topic);
    topic->is_call_open = true;
    topic->is_read_wanted = false;
    topic->call_sent_ms = SkyClock_NowMs();
    topic->call_due_ms = topic->call_sent_ms + wait_ms;
    SkyFreshness_RecordCall(&topic->freshness, topic->call_due_ms);
    if (topic->snapshot_pending) {
        SkyStore_ReadNewestRecords(store, topic->name,
                                   topic->cursor ? topic->cursor : "",
                                   on_snapshot_page, topic);
        return;
    }
    SkyStore_ReadRecords(store, topic->name, topic->next_offset, wait_ms,
                         on_records, topic);
}

/* Whether the peers pass on what they read. For the crashes, whose reads are
 * long polls, the reads of the operator's topic show it. */
static bool
is_relayed(const topic_t *topic)
{
    const topic_t *checked = topic->id == SKY_FEED_CRASHES
                                 ? &topic->feed->topics[SKY_FEED_OPERATOR]
                                 : topic;
    return !SkyFreshness_IsStale(&checked->freshness, SkyClock_NowMs());
}

static void
on_read_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    topic_t *topic = watcher->data;
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
SkyFeed_IsSynced(const sky_feed_t *feed, sky_feed_topic_t topic)
{
    return feed->topics[topic].synced && !feed->topics[topic].snapshot_pending;
}

const char *
SkyFeed_FindValue(const sky_feed_t *feed, sky_feed_topic_t topic,
                  const char *key)
{
    const record_t *record;
    HASH_FIND_STR(feed->topics[topic].records, key, record);
    return record != NULL && !record->is_tombstone ? record->value : NULL;
}

void
SkyFeed_ForEachRecord(const sky_feed_t *feed, sky_feed_topic_t topic,
                      sky_feed_visitor_t visit, void *context)
{
    const record_t *record = feed->topics[topic].records;
    for (; record != NULL; record = record->hh.next) {
        if (!record->is_tombstone) {
            visit(context, record->key, record->value);
        }
    }
}

sky_feed_position_t
SkyFeed_GetPosition(const sky_feed_t *feed, sky_feed_topic_t topic)
{
    const topic_t *state = &feed->topics[topic];
    return (sky_feed_position_t){state->era, state->next_offset};
}

bool
SkyFeed_IsAhead(const sky_feed_t *feed, sky_feed_topic_t topic,
                const sky_feed_position_t *position)
{
    const topic_t *state = &feed->topics[topic];
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
    topic_t *topic = &feed->topics[SKY_FEED_TARGETS];
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
SkyFeed_IsStoreFailing(const sky_feed_t *feed)
{
    return feed->topics[SKY_FEED_OPERATOR].failed_reads > 0 ||
           feed->topics[SKY_FEED_TARGETS].failed_reads > 0;
}

/* Encodes a record for a peer. The text is kept for other peers. */
static json_t *
encode_row(record_t *record, bool reads_deflated)
{
    sky_encoded_value_t plain = {0};
    const sky_encoded_value_t *encoded = &record->encoded;
    if (!reads_deflated && record->value_bytes > 0) {
        SkyEncodedValue_Make(record->value, record->value_bytes, false,
                             &plain);
        encoded = &plain;
    }
    else if (record->encoded.text == NULL && record->value_bytes > 0) {
        SkyEncodedValue_Make(record->value, record->value_bytes, true,
                             &record->encoded);
    }
    json_t *row = json_pack("[s,s,b,I,I]", record->key,
                            encoded->text ? encoded->text : "",
                            record->is_tombstone, (json_int_t)record->offset,
                            (json_int_t)encoded->inflated_bytes);
    SkyEncodedValue_Clear(&plain);
    if (row == NULL) {
        /* A host that misses it reads the store itself some time. */
        SkyLog_Write(LOG_WARNING, "record_not_relayed", "offset=%llu",
                     (unsigned long long)record->offset);
    }
    return row;
}

json_t *
SkyFeed_EncodeRecords(const sky_feed_t *feed, sky_feed_topic_t topic,
                      const sky_feed_position_t *from, bool reads_deflated)
{
    const topic_t *state = &feed->topics[topic];
    if (!state->synced || from->era > state->era) {
        return NULL;
    }
    bool is_whole = from->era < state->era ||
                    from->next_offset < state->deletions_from_offset;
    json_t *rows = json_array();
    record_t *record;
    for (record = state->records; record != NULL; record = record->hh.next) {
        if (is_whole || record->offset >= from->next_offset) {
            json_array_append_new(rows, encode_row(record, reads_deflated));
        }
    }
    uint64_t regained_ms = state->freshness.store_regained_ms;
    json_int_t regained_age_ms =
        regained_ms > 0 ? (json_int_t)(SkyClock_NowMs() - regained_ms)
                        : REGAINED_NEVER;
    return json_pack("{s:I, s:I, s:I, s:I, s:b, s:o}", "era",
                     (json_int_t)state->era, "next",
                     (json_int_t)state->next_offset, "age_ms",
                     (json_int_t)age_ms(state), "regained_age_ms",
                     regained_age_ms, "whole", is_whole, "records", rows);
}

static bool
apply_peer_record(topic_t *topic, const json_t *row)
{
    const char *key = NULL;
    const char *text = NULL;
    int is_tombstone = 0;
    json_int_t offset = 0;
    json_int_t inflated_bytes = json_integer_value(json_array_get(row, 4));
    char *value = NULL;
    size_t value_bytes = 0;
    if (json_unpack((json_t *)row, "[s,s,b,I]", &key, &text, &is_tombstone,
                    &offset) != 0 ||
        inflated_bytes < 0 || inflated_bytes > UINT32_MAX ||
        !SkyEncodedValue_Decode(text, (uint32_t)inflated_bytes, &value,
                                &value_bytes)) {
        return false;
    }
    sky_store_record_t record = {.key = key,
                                 .value = value,
                                 .value_bytes = value_bytes,
                                 .is_tombstone = is_tombstone != 0,
                                 .offset = (uint64_t)offset};
    apply_record(topic, &record);
    free(value);
    return true;
}

/* What a peer says of its records besides them. Ages are those of the time at
 * which it responded. */
typedef struct {
    json_int_t era;
    json_int_t next_offset;
    json_int_t age_ms;
    json_int_t regained_age_ms;
    int is_whole;
    json_t *rows;
} peer_update_t;

static bool
parse_peer_update(const json_t *json, peer_update_t *update)
{
    *update = (peer_update_t){.regained_age_ms = REGAINED_NOT_TOLD};
    return json_unpack((json_t *)json, "{s?I, s:I, s:I, s?I, s?b, s:o}", "era",
                       &update->era, "next", &update->next_offset, "age_ms",
                       &update->age_ms, "regained_age_ms",
                       &update->regained_age_ms, "whole", &update->is_whole,
                       "records", &update->rows) == 0 &&
           update->era >= 0 && update->next_offset >= 0 &&
           update->age_ms >= 0 && json_is_array(update->rows);
}

static void
record_peer_read(topic_t *topic, const peer_update_t *update,
                 uint64_t responded_ms)
{
    if ((uint64_t)update->age_ms >= responded_ms) {
        return; /* before this host's clock began */
    }
    uint64_t before_ms = topic->freshness.read_ms;
    sky_peer_read_t read = {
        .read_ms = responded_ms - (uint64_t)update->age_ms,
        .tells_regained = update->regained_age_ms != REGAINED_NOT_TOLD,
    };
    if (update->regained_age_ms >= 0 &&
        (uint64_t)update->regained_age_ms < responded_ms) {
        read.store_regained_ms =
            responded_ms - (uint64_t)update->regained_age_ms;
    }
    SkyFreshness_RecordPeerRead(&topic->freshness, &read, SkyClock_NowMs());
    publish_read(topic, before_ms, true);
}

sky_result_t
SkyFeed_ApplyRecords(sky_feed_t *feed, sky_feed_topic_t topic,
                     const json_t *json, uint64_t responded_ms)
{
    topic_t *state = &feed->topics[topic];
    peer_update_t update;
    if (!parse_peer_update(json, &update)) {
        return SKY_E_BAD_REQUEST;
    }
    uint64_t next_offset = (uint64_t)update.next_offset;
    if ((uint64_t)update.era < state->era) {
        return SKY_OK;
    }
    bool is_new_era = apply_era(state, (uint64_t)update.era);
    if (is_new_era) {
        state->snapshot_end_offset = next_offset;
    }
    if (update.is_whole) {
        clear_snapshot_marks(state);
    }
    record_peer_read(state, &update, responded_ms);
    bool valid = true;
    size_t index;
    json_t *row;
    json_array_foreach(update.rows, index, row)
    {
        valid = apply_peer_record(state, row) && valid;
    }
    if (!valid) {
        return SKY_E_BAD_REQUEST;
    }
    if (is_new_era || update.is_whole) {
        delete_missing_keys(state, next_offset);
    }
    if (is_new_era || update.is_whole || !state->synced) {
        state->deletions_from_offset = next_offset;
    }
    if (is_new_era || next_offset > state->next_offset) {
        state->next_offset = next_offset;
        state->snapshot_pending = false;
        state->synced = true;
        if (topic == SKY_FEED_TARGETS) {
            feed->options.directory->targets_known = true;
        }
        feed->options.on_change(feed->options.context, topic);
    }
    return SKY_OK;
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
        topic_t *topic = &self->topics[i];
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
free_topic(topic_t *topic)
{
    ev_timer_stop(topic->feed->options.loop, &topic->read_timer);
    record_t *record;
    record_t *next;
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
