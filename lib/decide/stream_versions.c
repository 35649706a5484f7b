#include "decide/stream_versions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/** Software versions that are remembered, of all services. */
#define SEEN_MAX 64

/** A software version that targets of a service run or ran. */
typedef struct {
    char service[SKY_SERVICE_NAME_BYTES];
    char software[SKY_SOFTWARE_VERSION_BYTES];
    uint64_t last_seen_ms;
} seen_t;

typedef struct record {
    sky_stream_version_t stream;
    uint64_t recorded_ms;
    bool is_untold;
    UT_hash_handle hh;
} record_t;

struct sky_stream_versions {
    sky_stream_versions_options_t options;
    seen_t seen[SEEN_MAX];
    uint32_t seen_count;
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
    self->options = *options;
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

/* Returns the entry of the version, a new one, or the one seen longest ago. */
static seen_t *
find_or_replace_seen(sky_stream_versions_t *versions, const char *service,
                     const char *software)
{
    seen_t *oldest = &versions->seen[0];
    for (uint32_t i = 0; i < versions->seen_count; i++) {
        seen_t *seen = &versions->seen[i];
        if (strcmp(seen->service, service) == 0 &&
            strcmp(seen->software, software) == 0) {
            return seen;
        }
        oldest = seen->last_seen_ms < oldest->last_seen_ms ? seen : oldest;
    }
    if (versions->seen_count < SEEN_MAX) {
        oldest = &versions->seen[versions->seen_count++];
    }
    *oldest = (seen_t){.last_seen_ms = 0};
    snprintf(oldest->service, sizeof oldest->service, "%s", service);
    snprintf(oldest->software, sizeof oldest->software, "%s", software);
    return oldest;
}

void
SkyStreamVersions_RecordTarget(sky_stream_versions_t *versions,
                               const char *service, const char *software,
                               uint64_t now_ms)
{
    seen_t *seen = find_or_replace_seen(versions, service, software);
    seen->last_seen_ms =
        now_ms > seen->last_seen_ms ? now_ms : seen->last_seen_ms;
}

bool
SkyStreamVersions_IsMixed(const sky_stream_versions_t *versions,
                          const char *service, uint64_t now_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < versions->seen_count; i++) {
        const seen_t *seen = &versions->seen[i];
        count += strcmp(seen->service, service) == 0 &&
                 now_ms <= seen->last_seen_ms + versions->options.retention_ms;
    }
    return count > 1;
}

/* Whether targets of any service run several versions, or did so. */
static bool
is_any_mixed(const sky_stream_versions_t *versions, uint64_t now_ms)
{
    for (uint32_t i = 0; i < versions->seen_count; i++) {
        if (SkyStreamVersions_IsMixed(versions, versions->seen[i].service,
                                      now_ms)) {
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
    if (find_record(versions, stream->stream) != NULL) {
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
    if (versions->untold_count == 0 || !is_any_mixed(versions, now_ms)) {
        return;
    }
    for (record_t *record = versions->records; record != NULL;
         record = record->hh.next) {
        if (record->is_untold && !is_expired(versions, record, now_ms) &&
            SkyStreamVersions_IsMixed(versions, record->stream.service,
                                      now_ms)) {
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
    const char *software =
        SkyStreamVersions_FindStream(versions, stream, now_ms);
    if (software != NULL) {
        return (sky_resume_t){SKY_RESUME_AT_SOFTWARE, software};
    }
    bool is_mixed = SkyStreamVersions_IsMixed(versions, service, now_ms);
    if (!answers->have_answered) {
        return (sky_resume_t){.kind = SKY_RESUME_ASK_OTHERS};
    }
    return (sky_resume_t){.kind = is_mixed || answers->know_mixed
                                      ? SKY_RESUME_REFUSED
                                      : SKY_RESUME_ANYWHERE};
}
