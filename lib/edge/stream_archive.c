#include "edge/stream_archive.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "decide/fanout.h"
#include "decide/stream_backlog.h"

#define CALL_TIMEOUT_MS 300
/** Interval at which a host tells its collector, and what each listed member
 *  adds to it: a collector gets fewer calls of each host in a larger group. */
#define TELL_INTERVAL_MIN_MS 100
#define TELL_INTERVAL_PER_HOST_MS 1
#define APPEND_INTERVAL_MS 150
#define READ_RETRY_MS 300
/** Streams in a record of the store, well below the largest record. */
#define BATCH_STREAMS_MAX 2000
/** Streams that wait to be appended; beyond it the oldest are left out. */
#define COLLECTED_STREAMS_MAX 20000
#define KEY_BYTES 32
/** Services and software versions in a batch. */
#define BATCH_GROUPS_MAX 64

typedef enum {
    READ_NOT_DONE,
    READ_PENDING,
    READ_DONE,
} read_state_t;

struct sky_stream_archive {
    sky_stream_archive_options_t options;
    json_t *untold; /**< rows of this host, for its collector */
    sky_stream_backlog_t *collected; /**< streams of all hosts */
    bool append_pending;
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
    sky_stream_backlog_options_t backlog_options = {.streams_max =
                                                        COLLECTED_STREAMS_MAX};
    sky_result_t result =
        SkyStreamBacklog_Create(&backlog_options, &self->collected);
    if (self->untold == NULL || result != SKY_OK) {
        SkyStreamArchive_Free(self);
        return SKY_E_MEMORY;
    }
    *archive = self;
    return SKY_OK;
}

void
SkyStreamArchive_Free(sky_stream_archive_t *archive)
{
    if (archive == NULL) {
        return;
    }
    json_decref(archive->untold);
    SkyStreamBacklog_Free(archive->collected);
    free(archive);
}

json_t *
SkyStreamArchive_EncodeStream(const sky_stream_version_t *stream)
{
    return json_pack("[I,s,s]", (json_int_t)stream->stream, stream->service,
                     stream->software);
}

/* Returns whether the row is well-formed. */
static bool
decode_stream(json_t *row, sky_stream_version_t *stream)
{
    json_int_t id;
    const char *service;
    const char *software;
    if (json_unpack(row, "[I,s,s]", &id, &service, &software) != 0 ||
        strlen(service) >= sizeof stream->service ||
        strlen(software) >= sizeof stream->software) {
        return false;
    }
    *stream = (sky_stream_version_t){.stream = (uint64_t)id};
    strcpy(stream->service, service);
    strcpy(stream->software, software);
    return true;
}

void
SkyStreamArchive_ApplyRows(sky_directory_t *directory, const json_t *rows)
{
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        sky_stream_version_t stream;
        if (!decode_stream(row, &stream)) {
            SkyLog_Write(LOG_WARNING, "stream_ignored", "row=%zu", index);
            continue;
        }
        SkyStreamVersions_RecordStream(directory->streams, &stream, false,
                                       SkyClock_BootMs());
    }
}

void
SkyStreamArchive_Add(sky_stream_archive_t *archive, json_t *rows)
{
    if (json_array_size(archive->untold) < COLLECTED_STREAMS_MAX) {
        json_array_extend(archive->untold, rows);
    }
    else if (json_array_size(rows) > 0) {
        SkyLog_Write(LOG_WARNING, "streams_not_told", "reason=full count=%zu",
                     json_array_size(rows));
    }
    json_decref(rows);
}

void
SkyStreamArchive_Collect(sky_stream_archive_t *archive, const json_t *rows)
{
    size_t index;
    json_t *row;
    size_t left_out_count = 0;
    json_array_foreach(rows, index, row)
    {
        sky_stream_version_t stream;
        if (decode_stream(row, &stream) &&
            !SkyStreamBacklog_Add(archive->collected, &stream)) {
            left_out_count++;
        }
    }
    if (left_out_count > 0) {
        SkyLog_Write(LOG_WARNING, "streams_not_stored",
                     "reason=full count=%zu", left_out_count);
    }
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
    bool is_stored = response->outcome == SKY_STORE_DONE;
    uint32_t count = SkyStreamBacklog_EndBatch(archive->collected, is_stored);
    archive->append_pending = false;
    if (!is_stored) {
        SkyLog_Write(LOG_WARNING, "streams_not_stored", "reason=%s count=%u",
                     SkyStore_OutcomeName(response->outcome), count);
    }
}

/** The streams of a batch that began at one version of one service. */
typedef struct {
    const char *service;
    const char *software;
    sky_buffer_t ids; /**< eight bytes each, least significant first */
} group_t;

static group_t *
find_or_add_group(group_t *groups, size_t *count, const char *service,
                  const char *software)
{
    for (size_t i = 0; i < *count; i++) {
        if (strcmp(groups[i].service, service) == 0 &&
            strcmp(groups[i].software, software) == 0) {
            return &groups[i];
        }
    }
    if (*count == BATCH_GROUPS_MAX) {
        return NULL;
    }
    groups[*count] = (group_t){service, software, {0}};
    return &groups[(*count)++];
}

static json_t *
encode_group(const group_t *group)
{
    size_t size = SkyBuffer_Size(&group->ids);
    size_t capacity =
        sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(capacity);
    if (text == NULL) {
        return NULL;
    }
    sodium_bin2base64(text, capacity,
                      (const unsigned char *)SkyBuffer_Data(&group->ids), size,
                      sodium_base64_VARIANT_ORIGINAL);
    json_t *row = json_pack("[s,s,s]", group->service, group->software, text);
    free(text);
    return row;
}

/* Encodes streams as the value of a record. All restarted hosts read all
 * batches over their own links, so that ids are packed. Returns NULL if memory
 * ran out. */
static char *
encode_batch(const sky_stream_version_t *const *streams, uint32_t count)
{
    group_t groups[BATCH_GROUPS_MAX];
    size_t group_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        const sky_stream_version_t *stream = streams[i];
        group_t *group = find_or_add_group(groups, &group_count,
                                           stream->service, stream->software);
        if (group == NULL) {
            SkyLog_Write(LOG_WARNING, "streams_not_stored",
                         "reason=versions service=%s", stream->service);
        }
        for (uint32_t shift = 0; group != NULL && shift < 64; shift += 8) {
            char byte = (char)(stream->stream >> shift);
            SkyBuffer_Append(&group->ids, &byte, 1);
        }
    }
    json_t *encoded = json_array();
    for (size_t i = 0; i < group_count; i++) {
        json_array_append_new(encoded, encode_group(&groups[i]));
        SkyBuffer_Clear(&groups[i].ids);
    }
    json_t *batch = json_pack(
        "{s:I, s:o}", "at", (json_int_t)SkyClock_WallMs(), "groups", encoded);
    char *text = batch != NULL ? json_dumps(batch, JSON_COMPACT) : NULL;
    json_decref(batch);
    return text;
}

static void
append_collected(sky_stream_archive_t *archive, uint64_t now_ms)
{
    if (archive->append_pending || now_ms < archive->next_append_ms) {
        return;
    }
    const sky_stream_version_t *streams[BATCH_STREAMS_MAX];
    uint32_t count = SkyStreamBacklog_BeginBatch(archive->collected, streams,
                                                 BATCH_STREAMS_MAX);
    if (count == 0) {
        return;
    }
    archive->next_append_ms = now_ms + APPEND_INTERVAL_MS;
    char *text = encode_batch(streams, count);
    if (text == NULL) {
        SkyStreamBacklog_EndBatch(archive->collected, false);
        SkyLog_Write(LOG_WARNING, "streams_not_stored", "reason=memory");
        return;
    }
    char key[KEY_BYTES];
    format_key(archive, key);
    sky_store_record_t record = {
        .key = key, .value = text, .value_bytes = strlen(text)};
    archive->append_pending = true;
    SkyStore_AppendRecords(archive->options.store, SKY_TOPIC_STREAMS, &record,
                           1, on_appended, archive);
    free(text);
}

/* Returns whether the row is well-formed. */
static bool
apply_group(sky_stream_archive_t *archive, json_t *row)
{
    const char *service;
    const char *software;
    const char *text;
    sky_stream_version_t stream = {0};
    if (json_unpack(row, "[s,s,s]", &service, &software, &text) != 0 ||
        strlen(service) >= sizeof stream.service ||
        strlen(software) >= sizeof stream.software) {
        return false;
    }
    size_t size = 0;
    size_t capacity = strlen(text);
    unsigned char *ids = malloc(capacity + 1);
    bool is_valid =
        ids != NULL &&
        sodium_base642bin(ids, capacity, text, capacity, NULL, &size, NULL,
                          sodium_base64_VARIANT_ORIGINAL) == 0;
    strcpy(stream.service, service);
    strcpy(stream.software, software);
    for (size_t at = 0; is_valid && at + 8 <= size; at += 8) {
        stream.stream = 0;
        for (uint32_t i = 0; i < 8; i++) {
            stream.stream |= (uint64_t)ids[at + i] << (8 * i);
        }
        SkyStreamVersions_RecordStream(archive->options.directory->streams,
                                       &stream, false, SkyClock_BootMs());
        archive->read_count++;
    }
    free(ids);
    return is_valid;
}

static void
apply_batch(sky_stream_archive_t *archive, const sky_store_record_t *record)
{
    json_t *batch = json_loadb(record->value, record->value_bytes, 0, NULL);
    const json_t *groups = json_object_get(batch, "groups");
    uint64_t written_ms =
        (uint64_t)json_integer_value(json_object_get(batch, "at"));
    bool is_valid = record->is_tombstone || json_is_array(groups);
    if (written_ms + archive->options.retention_ms > SkyClock_WallMs()) {
        size_t index;
        json_t *row;
        json_array_foreach(groups, index, row)
        {
            is_valid = apply_group(archive, row) && is_valid;
        }
    }
    if (!is_valid) {
        SkyLog_Write(LOG_WARNING, "stream_ignored", "key=%s", record->key);
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
    if (response->has_more && response->cursor != NULL) {
        SkyStore_ReadNewestRecords(archive->options.store, SKY_TOPIC_STREAMS,
                                   response->cursor, on_page, archive);
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
