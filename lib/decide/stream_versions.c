#include "decide/stream_versions.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define KEY_PREFIX "versions."
/** The kept time at which several versions were seen may lag by this. */
#define HISTORY_LAG_MS 5000

/** A service of which several versions were in use before this host saw it. */
typedef struct {
    char service[SKY_SERVICE_NAME_BYTES];
    uint64_t mixed_until_ms; /**< end of the retention time */
} mixed_t;

typedef struct record {
    sky_stream_version_t stream;
    uint64_t recorded_ms;
    bool is_untold;
    UT_hash_handle hh;
} record_t;

struct sky_stream_versions {
    sky_stream_versions_options_t options;
    sky_software_rollout_t rollout;
    mixed_t mixed[SKY_ROLLOUT_VERSIONS_MAX];
    uint32_t mixed_count;
    bool is_history_known;
    record_t *records; /**< in the order of their times */
    uint32_t record_count;
    uint32_t untold_count;
};

sky_result_t
SkyStreamVersions_Create(const sky_stream_versions_options_t *options,
                         sky_stream_versions_t **versions)
{
    sky_stream_versions_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    sky_software_rollout_options_t rollout_options = {
        .introduction_ms = options->introduction_ms,
        .retention_ms = options->retention_ms,
    };
    self->options = *options;
    SkySoftwareRollout_Init(&self->rollout, &rollout_options);
    *versions = self;
    return SKY_OK;
}

static void
remove_record(sky_stream_versions_t *versions, record_t *record)
{
    versions->untold_count -= record->is_untold ? 1 : 0;
    versions->record_count--;
    HASH_DEL(versions->records, record);
    free(record);
}

void
SkyStreamVersions_Free(sky_stream_versions_t *versions)
{
    if (versions == NULL) {
        return;
    }
    record_t *record;
    record_t *next;
    HASH_ITER(hh, versions->records, record, next)
    {
        remove_record(versions, record);
    }
    free(versions);
}

sky_software_rollout_t *
SkyStreamVersions_GetRollout(sky_stream_versions_t *versions)
{
    return &versions->rollout;
}

static mixed_t *
find_mixed(sky_stream_versions_t *versions, const char *service)
{
    for (uint32_t i = 0; i < versions->mixed_count; i++) {
        if (strcmp(versions->mixed[i].service, service) == 0) {
            return &versions->mixed[i];
        }
    }
    return NULL;
}

/* Returns the end of the time for which streams may be of several versions; 0:
 * they never were. */
static uint64_t
get_mixed_until_ms(const sky_stream_versions_t *versions, const char *service,
                   uint64_t now_ms)
{
    uint64_t other_listed_ms;
    uint64_t until_ms = 0;
    if (SkySoftwareRollout_FindLast(&versions->rollout, service, now_ms,
                                    &other_listed_ms) != NULL &&
        other_listed_ms > 0) {
        until_ms = other_listed_ms + versions->options.retention_ms;
    }
    const mixed_t *mixed =
        find_mixed((sky_stream_versions_t *)versions, service);
    return mixed != NULL && mixed->mixed_until_ms > until_ms
               ? mixed->mixed_until_ms
               : until_ms;
}

bool
SkyStreamVersions_IsMixed(const sky_stream_versions_t *versions,
                          const char *service, uint64_t now_ms)
{
    uint64_t until_ms = get_mixed_until_ms(versions, service, now_ms);
    return until_ms > 0 && now_ms <= until_ms;
}

const char *
SkyStreamVersions_FindOnlyVersion(const sky_stream_versions_t *versions,
                                  const char *service, uint64_t now_ms)
{
    if (!versions->is_history_known ||
        SkyStreamVersions_IsMixed(versions, service, now_ms)) {
        return NULL;
    }
    return SkySoftwareRollout_FindOnly(&versions->rollout, service, now_ms);
}

/* Whether streams of the service are told to other hosts: a second version may
 * begin some soon, or did so. */
static bool
is_told(const sky_stream_versions_t *versions, const char *service,
        uint64_t now_ms)
{
    return SkySoftwareRollout_HasSeveralListed(&versions->rollout, service,
                                               now_ms) ||
           SkyStreamVersions_IsMixed(versions, service, now_ms);
}

bool
SkyStreamVersions_GetHistory(const sky_stream_versions_t *versions,
                             const char *service, uint64_t now_ms,
                             sky_version_history_t *history)
{
    uint64_t other_listed_ms;
    const sky_rollout_version_t *last = SkySoftwareRollout_FindLast(
        &versions->rollout, service, now_ms, &other_listed_ms);
    if (last == NULL) {
        return false;
    }
    uint64_t until_ms = get_mixed_until_ms(versions, service, now_ms);
    history->mixed_age_ms =
        until_ms > 0 ? now_ms + versions->options.retention_ms - until_ms
                     : UINT64_MAX;
    memcpy(history->software, last->software, sizeof history->software);
    return true;
}

static void
record_mixed(sky_stream_versions_t *versions, const char *service,
             uint64_t until_ms)
{
    mixed_t *mixed = find_mixed(versions, service);
    if (mixed == NULL) {
        /* Services that are no longer in use make room. */
        mixed = &versions->mixed[0];
        for (uint32_t i = 1; i < versions->mixed_count; i++) {
            if (versions->mixed[i].mixed_until_ms < mixed->mixed_until_ms) {
                mixed = &versions->mixed[i];
            }
        }
        if (versions->mixed_count < SKY_ROLLOUT_VERSIONS_MAX) {
            mixed = &versions->mixed[versions->mixed_count++];
        }
        *mixed = (mixed_t){.mixed_until_ms = 0};
        snprintf(mixed->service, sizeof mixed->service, "%s", service);
    }
    if (until_ms > mixed->mixed_until_ms) {
        mixed->mixed_until_ms = until_ms;
    }
}

void
SkyStreamVersions_ApplyHistory(sky_stream_versions_t *versions,
                               const char *service,
                               const sky_version_history_t *history,
                               uint64_t now_ms)
{
    uint64_t retention_ms = versions->options.retention_ms;
    uint64_t other_listed_ms;
    const sky_rollout_version_t *last = SkySoftwareRollout_FindLast(
        &versions->rollout, service, now_ms, &other_listed_ms);
    if (history->mixed_age_ms <= retention_ms) {
        record_mixed(versions, service,
                     now_ms + retention_ms - history->mixed_age_ms);
    }
    /* A host that has seen the kept version itself knows until when. */
    if (last != NULL && other_listed_ms == 0 &&
        strcmp(last->software, history->software) != 0 &&
        find_mixed(versions, service) == NULL) {
        record_mixed(versions, service, now_ms + retention_ms);
    }
}

void
SkyStreamVersions_SetHistoryKnown(sky_stream_versions_t *versions)
{
    versions->is_history_known = true;
}

void
SkyVersionHistory_FormatKey(const char *service,
                            char key[SKY_VERSION_HISTORY_KEY_BYTES])
{
    snprintf(key, SKY_VERSION_HISTORY_KEY_BYTES, KEY_PREFIX "%s", service);
}

bool
SkyVersionHistory_IsKey(const char *key)
{
    return strncmp(key, KEY_PREFIX, sizeof KEY_PREFIX - 1) == 0;
}

void
SkyVersionHistory_FormatValue(const sky_version_history_t *history,
                              uint64_t wall_ms,
                              char value[SKY_VERSION_HISTORY_VALUE_BYTES])
{
    /* Earlier builds delete records of this topic by their first number. */
    snprintf(value, SKY_VERSION_HISTORY_VALUE_BYTES,
             "%" PRIu64 " %" PRIu64 " %s", wall_ms,
             history->mixed_age_ms < wall_ms ? wall_ms - history->mixed_age_ms
                                             : 0,
             history->software);
}

bool
SkyVersionHistory_ParseValue(const char *value, uint64_t wall_ms,
                             sky_version_history_t *history)
{
    uint64_t written_ms;
    uint64_t mixed_ms;
    int length = 0;
    if (sscanf(value, "%20" SCNu64 " %20" SCNu64 " %n", &written_ms, &mixed_ms,
               &length) < 2 ||
        length == 0 || strlen(value + length) >= sizeof history->software) {
        return false;
    }
    history->mixed_age_ms = mixed_ms == 0        ? UINT64_MAX
                            : mixed_ms < wall_ms ? wall_ms - mixed_ms
                                                 : 0;
    strcpy(history->software, value + length);
    return true;
}

bool
SkyVersionHistory_IsOutdated(const sky_version_history_t *stored,
                             const sky_version_history_t *current)
{
    bool is_mixed_later =
        current->mixed_age_ms != UINT64_MAX &&
        (stored->mixed_age_ms == UINT64_MAX ||
         stored->mixed_age_ms > current->mixed_age_ms + HISTORY_LAG_MS);
    /* While several versions are in use, either is the one seen last. */
    bool is_other_in_use = current->mixed_age_ms > HISTORY_LAG_MS &&
                           strcmp(stored->software, current->software) != 0;
    return is_mixed_later || is_other_in_use;
}

static bool
is_any_told(const sky_stream_versions_t *versions, uint64_t now_ms)
{
    for (uint32_t i = 0; i < versions->rollout.count; i++) {
        if (is_told(versions, versions->rollout.versions[i].service, now_ms)) {
            return true;
        }
    }
    return false;
}

static record_t *
find_record(const sky_stream_versions_t *versions, uint64_t stream)
{
    record_t *record;
    HASH_FIND(hh, versions->records, &stream, sizeof stream, record);
    return record;
}

static bool
is_expired(const sky_stream_versions_t *versions, const record_t *record,
           uint64_t now_ms)
{
    return record->recorded_ms + versions->options.retention_ms < now_ms;
}

/* Removes expired records, and the oldest one if there is no room for another.
 */
static void
make_room(sky_stream_versions_t *versions, uint64_t now_ms)
{
    while (versions->records != NULL &&
           (is_expired(versions, versions->records, now_ms) ||
            versions->record_count >= versions->options.streams_max)) {
        remove_record(versions, versions->records);
    }
}

void
SkyStreamVersions_RecordStream(sky_stream_versions_t *versions,
                               const sky_stream_version_t *stream, bool is_own,
                               uint64_t now_ms)
{
    make_room(versions, now_ms);
    SkySoftwareRollout_RecordStream(&versions->rollout, stream->service,
                                    stream->software, now_ms);
    if (stream->stream == SKY_STREAM_UNNAMED ||
        find_record(versions, stream->stream) != NULL) {
        return;
    }
    record_t *record = calloc(1, sizeof *record);
    if (record == NULL) {
        return; /* the stream is refused, should a caller take it up */
    }
    record->stream = *stream;
    record->recorded_ms = now_ms;
    record->is_untold = is_own;
    versions->untold_count += is_own ? 1 : 0;
    versions->record_count++;
    HASH_ADD(hh, versions->records, stream.stream, sizeof stream->stream,
             record);
}

const char *
SkyStreamVersions_FindStream(const sky_stream_versions_t *versions,
                             uint64_t stream, uint64_t now_ms)
{
    const record_t *record = find_record(versions, stream);
    return record != NULL && !is_expired(versions, record, now_ms)
               ? record->stream.software
               : NULL;
}

void
SkyStreamVersions_TakeUntold(sky_stream_versions_t *versions, uint64_t now_ms,
                             sky_stream_version_visitor_t visit, void *context)
{
    if (versions->untold_count == 0 || !is_any_told(versions, now_ms)) {
        return;
    }
    for (record_t *record = versions->records; record != NULL;
         record = record->hh.next) {
        if (record->is_untold && !is_expired(versions, record, now_ms) &&
            is_told(versions, record->stream.service, now_ms)) {
            record->is_untold = false;
            versions->untold_count--;
            visit(&record->stream, context);
        }
    }
}

sky_resume_t
SkyStreamVersions_Decide(const sky_stream_versions_t *versions,
                         const char *service, uint64_t stream,
                         const sky_resume_answers_t *answers, uint64_t now_ms)
{
    const record_t *record = find_record(versions, stream);
    if (record != NULL && !is_expired(versions, record, now_ms)) {
        /* A version of another service says nothing about this one. */
        return strcmp(record->stream.service, service) == 0
                   ? (sky_resume_t){SKY_RESUME_AT_SOFTWARE,
                                    record->stream.software}
                   : (sky_resume_t){.kind = SKY_RESUME_REFUSED};
    }
    if (!answers->have_answered) {
        return (sky_resume_t){.kind = SKY_RESUME_ASK_OTHERS};
    }
    if (answers->know_mixed ||
        SkyStreamVersions_IsMixed(versions, service, now_ms)) {
        return (sky_resume_t){.kind = SKY_RESUME_REFUSED};
    }
    const char *only =
        SkyStreamVersions_FindOnlyVersion(versions, service, now_ms);
    if (only == NULL) {
        return answers->has_only_version
                   ? (sky_resume_t){SKY_RESUME_AT_SOFTWARE,
                                    answers->only_version}
                   : (sky_resume_t){.kind = SKY_RESUME_REFUSED};
    }
    bool is_in_step = answers->has_heard || answers->has_newer_list;
    bool is_list_complete =
        SkySoftwareRollout_IsListComplete(&versions->rollout, now_ms) ||
        answers->has_newer_list;
    bool is_contradicted =
        answers->has_only_version && strcmp(answers->only_version, only) != 0;
    if (is_contradicted && is_list_complete) {
        return (sky_resume_t){.kind = SKY_RESUME_REFUSED};
    }
    if (is_contradicted) {
        return (sky_resume_t){SKY_RESUME_AT_SOFTWARE, answers->only_version};
    }
    is_list_complete = is_list_complete || answers->is_store_unreachable;
    return is_in_step && is_list_complete
               ? (sky_resume_t){SKY_RESUME_AT_SOFTWARE, only}
               : (sky_resume_t){.kind = SKY_RESUME_READ_LIST};
}
