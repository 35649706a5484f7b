#include "edge/feed.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "decide/freshness.h"
#include "platform/documents.h"

/* Few hosts read for all, so that they may read often: what they hand on is to
 * be younger than half of the shortest bound on news. */
#define OPERATOR_WAIT_MS 400 /**< a change is answered at once in any case */
#define TARGETS_POLL_MS 300
#define RETRY_FIRST_MS 100 /**< after a failed call; doubles */
#define RETRY_MOST_MS 800
#define FOLLOWER_CHECK_MS 100 /**< whether peers still hand on news */

typedef struct {
    char *key;
    char *value;
    size_t value_bytes;
    bool dropped;
    uint64_t offset;
    bool seen; /**< in the snapshot being read */
    UT_hash_handle hh;
} record_t;

typedef struct {
    sky_feed_t *feed;
    sky_feed_topic_t topic;
    const char *name;
    bool snapshot; /**< the next call reads the newest records */
    bool synced;   /**< a snapshot was read whole */
    char *after;   /**< last key of the page before */
    uint64_t snapshot_end;
    uint64_t next;
    uint32_t failures; /**< calls in a row */
    uint64_t failed_at_ms;
    sky_freshness_t freshness;
    ev_timer timer;
    record_t *records;
} topic_t;

struct sky_feed {
    sky_feed_options_t options;
    topic_t topics[SKY_FEED_COUNT];
    bool reader;
};

static void call_store(topic_t *topic);

static void
take_deployment(sky_feed_t *feed, const record_t *record)
{
    sky_directory_t *directory = feed->options.directory;
    sky_deployment_t *read = NULL;
    sky_result_t result =
        SkyDocument_ReadDeployment(record->value, record->value_bytes, &read);
    if (SkyResult_IsError(result)) {
        SkyLog_Write(LOG_ERR, "config_ignored", "offset=%llu reason=%s",
                     (unsigned long long)record->offset,
                     SkyResult_Symbol(result));
        return;
    }
    sky_deployment_t *old = directory->deployment;
    if (old != NULL && read->version <= old->version) {
        SkyDeployment_Release(read);
        return;
    }
    directory->deployment = read;
    SkyLog_Write(LOG_NOTICE, "config_in_force",
                 "version=%llu before=%llu routes=%u services=%u offset=%llu",
                 (unsigned long long)read->version,
                 (unsigned long long)(old ? old->version : 0),
                 read->route_count, read->service_count,
                 (unsigned long long)record->offset);
    SkyDeployment_Release(old);
    feed->options.on_change(feed->options.context, SKY_FEED_OPERATOR);
}

static void
take_operator_record(sky_feed_t *feed, const record_t *record)
{
    sky_resident_t announced;
    if (record->dropped) {
        return;
    }
    switch (SkyDocument_KindOfKey(record->key)) {
    case SKY_KEY_DEPLOYMENT:
        take_deployment(feed, record);
        break;
    case SKY_KEY_VERSION:
        if (SkyResult_IsError(SkyDocument_ReadVersion(
                record->value, record->value_bytes, &announced))) {
            SkyLog_Write(LOG_WARNING, "version_ignored", "key=%s",
                         record->key);
            return;
        }
        SkyLog_Write(LOG_NOTICE, "version_announced",
                     "adapter=%s/%s version=%u", announced.model,
                     announced.adapter, announced.version);
        SkyFleet_Announce(feed->options.directory->fleet, &announced,
                          SkyClock_NowMs());
        break;
    case SKY_KEY_OTHER:
        break;
    }
}

static void
take_target_record(topic_t *topic, const record_t *record)
{
    sky_feed_t *feed = topic->feed;
    sky_fleet_t *fleet = feed->options.directory->fleet;
    const sky_fleet_target_t *known = SkyFleet_Find(fleet, record->key);
    if (record->dropped) {
        if (known != NULL) {
            uint64_t now = SkyClock_NowMs();
            uint64_t at = SkyFreshness_GoneAt(&topic->freshness, now);
            SkyLog_Write(LOG_NOTICE, "target_missing",
                         "target=%s gone_in_ms=%llu", record->key,
                         (unsigned long long)(at - now));
            SkyFleet_Drop(fleet, record->key, at);
        }
        return;
    }
    sky_target_entry_t entry;
    if (SkyResult_IsError(SkyDocument_ReadTarget(
            record->key, record->value, record->value_bytes, &entry))) {
        SkyLog_Write(LOG_WARNING, "target_entry_ignored", "target=%s",
                     record->key);
        return;
    }
    if (known == NULL || known->entry.state != entry.state ||
        known->entry.born_ms != entry.born_ms) {
        SkyLog_Write(LOG_NOTICE, "target_listed",
                     "target=%s service=%s state=%s slots=%u born=%llu "
                     "adapters=%u",
                     entry.id, entry.service,
                     entry.state == SKY_TARGET_READY ? "ready" : "leaving",
                     entry.slots, (unsigned long long)entry.born_ms,
                     entry.resident_count);
    }
    if (SkyFleet_Apply(fleet, &entry, SkyClock_NowMs()) == NULL) {
        SkyLog_Write(LOG_ERR, "target_entry_ignored",
                     "target=%s reason=memory", record->key);
    }
}

/* Stores a record unless a newer one of its key is known. */
static record_t *
keep_record(topic_t *topic, const sky_store_record_t *record)
{
    record_t *kept;
    HASH_FIND_STR(topic->records, record->key, kept);
    if (kept != NULL && kept->offset > record->offset) {
        return NULL;
    }
    char *value = malloc(record->value_bytes + 1);
    if (value == NULL) {
        return NULL;
    }
    memcpy(value, record->value, record->value_bytes);
    value[record->value_bytes] = '\0';
    if (kept == NULL) {
        kept = calloc(1, sizeof *kept);
        if (kept == NULL) {
            free(value);
            return NULL;
        }
        kept->key = strdup(record->key);
        HASH_ADD_KEYPTR(hh, topic->records, kept->key, strlen(kept->key),
                        kept);
    }
    free(kept->value);
    kept->value = value;
    kept->value_bytes = record->value_bytes;
    kept->dropped = record->dropped;
    kept->offset = record->offset;
    kept->seen = true;
    return kept;
}

static void
take_record(topic_t *topic, const sky_store_record_t *record)
{
    const record_t *kept = keep_record(topic, record);
    if (kept == NULL) {
        return;
    }
    switch (topic->topic) {
    case SKY_FEED_OPERATOR:
        take_operator_record(topic->feed, kept);
        break;
    case SKY_FEED_TARGETS:
        take_target_record(topic, kept);
        break;
    case SKY_FEED_COUNT:
        break;
    }
}

static void
call_in(topic_t *topic, uint32_t wait_ms)
{
    struct ev_loop *loop = topic->feed->options.loop;
    ev_timer_stop(loop, &topic->timer);
    ev_timer_set(&topic->timer, wait_ms / 1000.0, 0.0);
    ev_timer_start(loop, &topic->timer);
}

/* Keys that a snapshot no longer has were dropped meanwhile. */
static void
drop_unseen(topic_t *topic)
{
    record_t *record;
    for (record = topic->records; record != NULL; record = record->hh.next) {
        if (record->seen || record->dropped ||
            record->offset >= topic->snapshot_end) {
            continue;
        }
        record->dropped = true;
        record->offset = topic->snapshot_end - 1;
        if (topic->topic == SKY_FEED_TARGETS) {
            take_target_record(topic, record);
        }
    }
}

static void
end_snapshot(topic_t *topic)
{
    drop_unseen(topic);
    topic->snapshot = false;
    topic->synced = true;
    if (topic->next < topic->snapshot_end) {
        topic->next = topic->snapshot_end;
    }
    if (topic->topic == SKY_FEED_TARGETS) {
        topic->feed->options.directory->targets_known = true;
    }
    SkyLog_Write(LOG_NOTICE, "feed_snapshot", "topic=%s next=%llu keys=%u",
                 topic->name, (unsigned long long)topic->next,
                 HASH_COUNT(topic->records));
}

static void
begin_snapshot(topic_t *topic)
{
    topic->snapshot = true;
    free(topic->after);
    topic->after = NULL;
    record_t *record;
    for (record = topic->records; record != NULL; record = record->hh.next) {
        record->seen = false;
    }
}

static uint32_t
poll_ms(const topic_t *topic)
{
    return topic->topic == SKY_FEED_OPERATOR ? 0 : TARGETS_POLL_MS;
}

static void
note_success(topic_t *topic)
{
    topic->feed->options.directory->store_away = false;
    SkyFreshness_NoteRead(&topic->freshness, SkyClock_NowMs(),
                          SkyClock_NowMs());
    if (topic->failures > 0) {
        SkyLog_Write(
            LOG_NOTICE, "store_regained", "topic=%s failures=%u after_ms=%llu",
            topic->name, topic->failures,
            (unsigned long long)(SkyClock_NowMs() - topic->failed_at_ms));
    }
    topic->failures = 0;
}

static void
note_failure(topic_t *topic, sky_store_end_t end)
{
    topic->feed->options.directory->store_away = true;
    if (topic->failures == 0) {
        topic->failed_at_ms = SkyClock_NowMs();
        SkyLog_Write(LOG_WARNING, "store_lost", "topic=%s reason=%s next=%llu",
                     topic->name, SkyStore_EndName(end),
                     (unsigned long long)topic->next);
    }
    uint32_t wait_ms = RETRY_FIRST_MS;
    for (uint32_t i = 0; i < topic->failures && wait_ms < RETRY_MOST_MS; i++) {
        wait_ms *= 2;
    }
    topic->failures++;
    call_in(topic, wait_ms);
}

static void
on_page(void *context, const sky_store_answer_t *answer)
{
    topic_t *topic = context;
    if (answer->end != SKY_STORE_DONE) {
        note_failure(topic, answer->end);
        return;
    }
    note_success(topic);
    if (topic->after == NULL) {
        topic->snapshot_end = answer->end_offset;
    }
    for (size_t i = 0; i < answer->record_count; i++) {
        take_record(topic, &answer->records[i]);
    }
    if (answer->more && answer->record_count > 0) {
        char *after = strdup(answer->records[answer->record_count - 1].key);
        free(topic->after);
        topic->after = after;
        call_in(topic, 0);
        return;
    }
    end_snapshot(topic);
    topic->feed->options.on_change(topic->feed->options.context, topic->topic);
    call_in(topic, poll_ms(topic));
}

static void
on_records(void *context, const sky_store_answer_t *answer)
{
    topic_t *topic = context;
    if (answer->end == SKY_STORE_FORGOTTEN) {
        note_success(topic);
        SkyLog_Write(LOG_NOTICE, "feed_forgotten", "topic=%s next=%llu",
                     topic->name, (unsigned long long)topic->next);
        begin_snapshot(topic);
        call_in(topic, 0);
        return;
    }
    if (answer->end != SKY_STORE_DONE) {
        note_failure(topic, answer->end);
        return;
    }
    note_success(topic);
    for (size_t i = 0; i < answer->record_count; i++) {
        take_record(topic, &answer->records[i]);
    }
    if (answer->record_count > 0) {
        topic->feed->options.on_change(topic->feed->options.context,
                                       topic->topic);
    }
    if (answer->end_offset > topic->next) {
        topic->next = answer->end_offset;
    }
    call_in(topic, poll_ms(topic));
}

static void
call_store(topic_t *topic)
{
    sky_store_t *store = topic->feed->options.store;
    if (topic->snapshot) {
        SkyStore_ReadNewest(store, topic->name,
                            topic->after ? topic->after : "", on_page, topic);
        return;
    }
    uint32_t wait_ms =
        topic->topic == SKY_FEED_OPERATOR ? OPERATOR_WAIT_MS : 0;
    SkyStore_Read(store, topic->name, topic->next, wait_ms, on_records, topic);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    topic_t *topic = watcher->data;
    if (topic->synced && !topic->feed->reader &&
        !SkyFreshness_IsStale(&topic->freshness, SkyClock_NowMs())) {
        call_in(topic, FOLLOWER_CHECK_MS);
        return;
    }
    call_store(topic);
}

uint64_t
SkyFeed_Next(const sky_feed_t *feed, sky_feed_topic_t topic)
{
    return feed->topics[topic].next;
}

void
SkyFeed_SetReader(sky_feed_t *feed, bool reader)
{
    if (feed->reader != reader) {
        SkyLog_Write(LOG_NOTICE, "store_reader", "reader=%d", reader);
    }
    feed->reader = reader;
}

bool
SkyFeed_IsReader(const sky_feed_t *feed)
{
    return feed->reader;
}

bool
SkyFeed_IsStale(const sky_feed_t *feed)
{
    uint64_t now = SkyClock_NowMs();
    return SkyFreshness_IsStale(&feed->topics[SKY_FEED_OPERATOR].freshness,
                                now) ||
           SkyFreshness_IsStale(&feed->topics[SKY_FEED_TARGETS].freshness,
                                now);
}

bool
SkyFeed_IsBehind(const sky_feed_t *feed)
{
    return feed->topics[SKY_FEED_OPERATOR].failures > 0 ||
           feed->topics[SKY_FEED_TARGETS].failures > 0;
}

static char *
to_base64(const char *bytes, size_t size)
{
    size_t room =
        sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(room);
    if (text != NULL) {
        sodium_bin2base64(text, room, (const unsigned char *)bytes, size,
                          sodium_base64_VARIANT_ORIGINAL);
    }
    return text;
}

json_t *
SkyFeed_Export(const sky_feed_t *feed, sky_feed_topic_t topic, uint64_t from)
{
    const topic_t *self = &feed->topics[topic];
    if (!self->synced) {
        return NULL;
    }
    uint64_t age_ms = SkyClock_NowMs() - self->freshness.read_ms;
    json_t *rows = json_array();
    const record_t *record;
    for (record = self->records; record != NULL; record = record->hh.next) {
        if (record->offset < from) {
            continue;
        }
        char *value = to_base64(record->value, record->value_bytes);
        json_array_append_new(
            rows, json_pack("[s,s,b,I]", record->key, value ? value : "",
                            record->dropped, (json_int_t)record->offset));
        free(value);
    }
    return json_pack("{s:I, s:I, s:o}", "next", (json_int_t)self->next,
                     "age_ms", (json_int_t)age_ms, "records", rows);
}

static bool
import_row(topic_t *topic, const json_t *row)
{
    const char *key = NULL;
    const char *text = NULL;
    int dropped = 0;
    json_int_t offset = 0;
    if (json_unpack((json_t *)row, "[s,s,b,I]", &key, &text, &dropped,
                    &offset) != 0) {
        return false;
    }
    size_t room = strlen(text) + 1;
    unsigned char *value = malloc(room);
    sky_store_record_t record = {.key = key,
                                 .value = (const char *)value,
                                 .dropped = dropped != 0,
                                 .offset = (uint64_t)offset};
    bool good = value != NULL &&
                sodium_base642bin(value, room, text, strlen(text), NULL,
                                  &record.value_bytes, NULL,
                                  sodium_base64_VARIANT_ORIGINAL) == 0;
    if (good) {
        take_record(topic, &record);
    }
    free(value);
    return good;
}

sky_result_t
SkyFeed_Import(sky_feed_t *feed, sky_feed_topic_t topic, const json_t *records)
{
    topic_t *self = &feed->topics[topic];
    json_int_t next = 0;
    json_t *rows = NULL;
    json_int_t age_ms = 0;
    uint64_t now = SkyClock_NowMs();
    if (json_unpack((json_t *)records, "{s:I, s:I, s:o}", "next", &next,
                    "age_ms", &age_ms, "records", &rows) != 0 ||
        age_ms < 0 || !json_is_array(rows)) {
        return SKY_E_BAD_REQUEST;
    }
    bool good = true;
    size_t index;
    json_t *row;
    if ((uint64_t)age_ms < now) {
        SkyFreshness_NoteRead(&self->freshness, now - (uint64_t)age_ms, now);
    }
    json_array_foreach(rows, index, row)
    {
        good = import_row(self, row) && good;
    }
    if (!good) {
        return SKY_E_BAD_REQUEST;
    }
    if ((uint64_t)next > self->next) {
        self->next = (uint64_t)next;
        self->snapshot = false;
        self->synced = true;
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
    static const char *const NAMES[] = {SKY_TOPIC_OPERATOR, SKY_TOPIC_TARGETS};
    sky_feed_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->reader = true;
    for (int i = 0; i < SKY_FEED_COUNT; i++) {
        topic_t *topic = &self->topics[i];
        topic->feed = self;
        topic->topic = (sky_feed_topic_t)i;
        topic->name = NAMES[i];
        topic->snapshot = true;
        ev_init(&topic->timer, on_timer);
        topic->timer.data = topic;
        call_in(topic, 0);
    }
    *feed = self;
    return SKY_OK;
}

static void
free_topic(topic_t *topic)
{
    ev_timer_stop(topic->feed->options.loop, &topic->timer);
    record_t *record;
    record_t *next;
    HASH_ITER(hh, topic->records, record, next)
    {
        HASH_DEL(topic->records, record);
        free(record->key);
        free(record->value);
        free(record);
    }
    free(topic->after);
}

void
SkyFeed_Free(sky_feed_t *feed)
{
    if (feed == NULL) {
        return;
    }
    for (int i = 0; i < SKY_FEED_COUNT; i++) {
        free_topic(&feed->topics[i]);
    }
    free(feed);
}
