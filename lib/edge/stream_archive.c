#include "edge/stream_archive.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "decide/fanout.h"

#define CALL_TIMEOUT_MS 300
/** Interval at which a host tells its collector, with few hosts; and what each
 *  further host adds, so that a collector gets a bounded number of calls. */
#define TELL_INTERVAL_MIN_MS 100
#define TELL_INTERVAL_PER_HOST_MS 5
#define APPEND_INTERVAL_MS 250
#define READ_RETRY_MS 300
/** Streams in a record of the store, well below the largest record. */
#define BATCH_STREAMS_MAX 2000
/** Streams that wait to be appended; further ones are left out. */
#define COLLECTED_STREAMS_MAX 20000
#define KEY_BYTES 32

typedef enum {
    READ_NOT_DONE,
    READ_PENDING,
    READ_DONE,
} read_state_t;

struct sky_stream_archive {
    sky_stream_archive_options_t options;
    json_t *untold;        /**< rows of this host, for its collector */
    json_t *collected;     /**< rows of all hosts, to be appended */
    size_t appended_count; /**< of them, in the append under way; 0: none */
    uint64_t next_tell_ms;
    uint64_t next_append_ms;
    read_state_t read_state;
    uint64_t next_read_ms;
    uint32_t read_count; /**< streams read so far */
};

sky_result_t
SkyStreamArchive_Create(const sky_stream_archive_options_t *options,
                        sky_stream_archive_t **archive)
{
    sky_stream_archive_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->untold = json_array();
    self->collected = json_array();
    *archive = self;
    if (self->untold == NULL || self->collected == NULL) {
        SkyStreamArchive_Free(self);
        *archive = NULL;
        return SKY_E_MEMORY;
    }
    return SKY_OK;
}

void
SkyStreamArchive_Free(sky_stream_archive_t *archive)
{
    if (archive == NULL) {
        return;
    }
    json_decref(archive->untold);
    json_decref(archive->collected);
    free(archive);
}

json_t *
SkyStreamArchive_EncodeStream(const sky_stream_version_t *stream)
{
    return json_pack("[I,s,s]", (json_int_t)stream->stream, stream->service,
                     stream->software);
}

void
SkyStreamArchive_ApplyRows(sky_directory_t *directory, const json_t *rows)
{
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        json_int_t id;
        const char *service;
        const char *software;
        sky_stream_version_t stream = {0};
        if (json_unpack(row, "[I,s,s]", &id, &service, &software) != 0 ||
            strlen(service) >= sizeof stream.service ||
            strlen(software) >= sizeof stream.software) {
            SkyLog_Write(LOG_WARNING, "stream_ignored", "row=%zu", index);
            continue;
        }
        stream.stream = (uint64_t)id;
        strcpy(stream.service, service);
        strcpy(stream.software, software);
        SkyStreamVersions_RecordStream(directory->streams, &stream, false,
                                       SkyClock_NowMs());
    }
}

void
SkyStreamArchive_Add(sky_stream_archive_t *archive, json_t *rows)
{
    if (json_array_size(archive->untold) < COLLECTED_STREAMS_MAX) {
        json_array_extend(archive->untold, rows);
    }
    json_decref(rows);
}

void
SkyStreamArchive_Collect(sky_stream_archive_t *archive, const json_t *rows)
{
    if (json_array_size(archive->collected) >= COLLECTED_STREAMS_MAX) {
        SkyLog_Write(LOG_WARNING, "streams_not_stored", "reason=full");
        return;
    }
    json_array_extend(archive->collected, (json_t *)rows);
}

static void
on_told(void *context, const json_t *body)
{
    (void)context;
    if (body == NULL) {
        SkyLog_Write(LOG_INFO, "streams_not_told", "reason=no_answer");
    }
}

/* Returns the number of collectors. */
static uint32_t
list_collectors(const sky_stream_archive_t *archive,
                const char *addresses[SKY_FANOUT_READER_COUNT],
                uint32_t *member_count)
{
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t chosen[SKY_FANOUT_READER_COUNT];
    *member_count = SkyOwnership_ListMembers(archive->options.ownership,
                                             members, SKY_GROUP_MEMBERS_MAX);
    uint32_t count = SkyFanout_ChooseHosts(members, *member_count, NULL,
                                           chosen, SKY_FANOUT_READER_COUNT);
    for (uint32_t i = 0; i < count; i++) {
        addresses[i] = members[chosen[i]].address;
    }
    return count;
}

static void
tell_collector(sky_stream_archive_t *archive, uint64_t now_ms)
{
    const char *own_address = archive->options.settings->control;
    const char *addresses[SKY_FANOUT_READER_COUNT];
    uint32_t member_count;
    if (json_array_size(archive->untold) == 0 ||
        now_ms < archive->next_tell_ms) {
        return;
    }
    uint32_t count = list_collectors(archive, addresses, &member_count);
    if (count == 0) {
        return;
    }
    archive->next_tell_ms = now_ms + TELL_INTERVAL_MIN_MS +
                            (uint64_t)member_count * TELL_INTERVAL_PER_HOST_MS;
    const char *collector =
        addresses[XXH3_64bits(own_address, strlen(own_address)) % count];
    if (strcmp(collector, own_address) == 0) {
        SkyStreamArchive_Collect(archive, archive->untold);
    }
    else {
        SkyHostCalls_SendCall(
            archive->options.host_calls, collector, archive->options.call_path,
            json_pack("{s:O, s:b}", "streams", archive->untold, "keep", true),
            CALL_TIMEOUT_MS, on_told, archive);
    }
    json_t *empty = json_array();
    if (empty != NULL) {
        json_decref(archive->untold);
        archive->untold = empty;
    }
    else {
        json_array_clear(archive->untold);
    }
}

/* Writes the key of the batch that is written now: another one in each
 * interval of the retention time, and for each collector by its rank, so that
 * the number of keys is bounded. */
static void
format_key(const sky_stream_archive_t *archive, char key[KEY_BYTES])
{
    const char *addresses[SKY_FANOUT_READER_COUNT];
    uint32_t member_count;
    uint32_t count = list_collectors(archive, addresses, &member_count);
    uint32_t rank = 0;
    while (rank < count &&
           strcmp(addresses[rank], archive->options.settings->control) != 0) {
        rank++;
    }
    uint64_t slot = SkyClock_WallMs() / APPEND_INTERVAL_MS %
                    (archive->options.retention_ms / APPEND_INTERVAL_MS);
    snprintf(key, KEY_BYTES, "%04" PRIu64 ".%u", slot, rank);
}

static void
on_appended(void *context, const sky_store_response_t *response)
{
    sky_stream_archive_t *archive = context;
    size_t count = archive->appended_count;
    archive->appended_count = 0;
    if (response->outcome != SKY_STORE_DONE) {
        SkyLog_Write(LOG_WARNING, "streams_not_stored", "reason=%s count=%zu",
                     SkyStore_OutcomeName(response->outcome), count);
        return; /* they are sent again with the next batch */
    }
    for (size_t i = 0; i < count; i++) {
        json_array_remove(archive->collected, 0);
    }
}

static void
append_collected(sky_stream_archive_t *archive, uint64_t now_ms)
{
    size_t count = json_array_size(archive->collected);
    if (count == 0 || archive->appended_count > 0 ||
        now_ms < archive->next_append_ms) {
        return;
    }
    archive->next_append_ms = now_ms + APPEND_INTERVAL_MS;
    count = count < BATCH_STREAMS_MAX ? count : BATCH_STREAMS_MAX;
    json_t *rows = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append(rows, json_array_get(archive->collected, i));
    }
    json_t *batch = json_pack("{s:I, s:o}", "at",
                              (json_int_t)SkyClock_WallMs(), "streams", rows);
    char *text = batch != NULL ? json_dumps(batch, JSON_COMPACT) : NULL;
    json_decref(batch);
    if (text == NULL) {
        SkyLog_Write(LOG_WARNING, "streams_not_stored", "reason=memory");
        return;
    }
    char key[KEY_BYTES];
    format_key(archive, key);
    sky_store_record_t record = {
        .key = key, .value = text, .value_bytes = strlen(text)};
    archive->appended_count = count;
    SkyStore_AppendRecords(archive->options.store, SKY_TOPIC_STREAMS, &record,
                           1, on_appended, archive);
    free(text);
}

static void
apply_batch(sky_stream_archive_t *archive, const sky_store_record_t *record)
{
    json_t *batch = json_loadb(record->value, record->value_bytes, 0, NULL);
    const json_t *rows = json_object_get(batch, "streams");
    uint64_t written_ms =
        (uint64_t)json_integer_value(json_object_get(batch, "at"));
    if (!record->is_tombstone && rows == NULL) {
        SkyLog_Write(LOG_WARNING, "stream_ignored", "key=%s", record->key);
    }
    if (written_ms + archive->options.retention_ms > SkyClock_WallMs()) {
        archive->read_count += (uint32_t)json_array_size(rows);
        SkyStreamArchive_ApplyRows(archive->options.directory, rows);
    }
    json_decref(batch);
}

static void
on_page(void *context, const sky_store_response_t *response)
{
    sky_stream_archive_t *archive = context;
    if (response->outcome != SKY_STORE_DONE) {
        SkyLog_Write(LOG_WARNING, "streams_not_read", "reason=%s",
                     SkyStore_OutcomeName(response->outcome));
        archive->read_state = READ_NOT_DONE;
        archive->next_read_ms = SkyClock_NowMs() + READ_RETRY_MS;
        archive->options.on_read(archive->options.context);
        return;
    }
    for (size_t i = 0; i < response->record_count; i++) {
        apply_batch(archive, &response->records[i]);
    }
    if (response->has_more && response->record_count > 0) {
        SkyStore_ReadNewestRecords(
            archive->options.store, SKY_TOPIC_STREAMS,
            response->records[response->record_count - 1].key, on_page,
            archive);
        return;
    }
    archive->read_state = READ_DONE;
    SkyLog_Write(LOG_NOTICE, "streams_read", "streams=%u",
                 archive->read_count);
    archive->options.on_read(archive->options.context);
}

void
SkyStreamArchive_Tick(sky_stream_archive_t *archive, uint64_t now_ms)
{
    tell_collector(archive, now_ms);
    append_collected(archive, now_ms);
}

bool
SkyStreamArchive_Read(sky_stream_archive_t *archive)
{
    if (archive->read_state == READ_NOT_DONE &&
        SkyClock_NowMs() >= archive->next_read_ms) {
        archive->read_state = READ_PENDING;
        archive->read_count = 0;
        SkyStore_ReadNewestRecords(archive->options.store, SKY_TOPIC_STREAMS,
                                   "", on_page, archive);
    }
    return archive->read_state == READ_PENDING;
}
