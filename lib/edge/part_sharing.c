#include "edge/part_sharing.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/logging.h"

struct sky_part_sharing {
    sky_part_sharing_options_t options;
    json_t *news; /**< message that is being collected */
};

/* Two hosts have different steady clocks, so that ages are sent. */
static uint64_t
age_of(uint64_t time_ms)
{
    uint64_t now_ms = SkyClock_NowMs();
    return now_ms > time_ms ? now_ms - time_ms : 0;
}

static uint64_t
time_of_age(json_int_t age_ms)
{
    uint64_t now_ms = SkyClock_NowMs();
    return age_ms >= 0 && (uint64_t)age_ms < now_ms ? now_ms - (uint64_t)age_ms
                                                    : 1;
}

static void
add_row(json_t *message, const char *kind, json_t *row)
{
    json_t *rows = json_object_get(message, kind);
    if (rows == NULL) {
        rows = json_array();
        json_object_set_new(message, kind, rows);
    }
    json_array_append_new(rows, row);
}

static void
add_evidence(const sky_part_crash_t *crash, void *message)
{
    add_row(message, "evidence",
            json_pack("[I,I,b,I,I,I]", (json_int_t)crash->part,
                      (json_int_t)crash->position, crash->was_answered,
                      (json_int_t)crash->run.target,
                      (json_int_t)crash->run.epoch,
                      (json_int_t)age_of(crash->recorded_ms)));
}

static void
add_blame(const sky_part_blame_t *blame, void *message)
{
    add_row(message, "blamed",
            json_pack("[I,I,I]", (json_int_t)blame->part,
                      (json_int_t)age_of(blame->since_ms),
                      (json_int_t)blame->trial_count));
}

static void
on_part_event(void *context, const sky_part_event_t *event)
{
    sky_part_sharing_t *sharing = context;
    switch (event->kind) {
    case SKY_PART_EVENT_CRASH:
        SkyLog_Write(LOG_INFO, "part",
                     "state=suspected part=%" PRIx64 " target=%08x",
                     event->crash.part, event->crash.run.target);
        add_evidence(&event->crash, sharing->news);
        break;
    case SKY_PART_EVENT_ACQUITTED:
        SkyLog_Write(LOG_INFO, "part", "state=acquitted part=%" PRIx64,
                     event->acquitted);
        add_row(sharing->news, "acquitted",
                json_integer((json_int_t)event->acquitted));
        break;
    case SKY_PART_EVENT_BLAMED:
        SkyLog_Write(LOG_NOTICE, "part",
                     "state=blamed part=%" PRIx64 " trials=%u",
                     event->blame.part, event->blame.trial_count);
        add_blame(&event->blame, sharing->news);
        break;
    }
}

static void
on_explained(void *context, const sky_target_run_t *run)
{
    const sky_part_sharing_t *sharing = context;
    SkyCrashWatch_DropRun(sharing->options.directory->crashes, run->target,
                          run->epoch);
}

/* Another host for each trial. */
static bool
is_tester(void *context, const sky_part_blame_t *blame)
{
    const sky_part_sharing_t *sharing = context;
    return SkyOwnership_IsChosen(sharing->options.ownership,
                                 sharing->options.settings->control,
                                 blame->part + blame->trial_count);
}

json_t *
SkyPartSharing_TakeNews(sky_part_sharing_t *sharing)
{
    if (json_object_size(sharing->news) == 0) {
        return NULL;
    }
    json_t *news = json_copy(sharing->news);
    json_object_clear(sharing->news);
    return news;
}

json_t *
SkyPartSharing_EncodeAll(const sky_part_sharing_t *sharing)
{
    json_t *message = json_object();
    const sky_part_watch_t *parts = sharing->options.directory->parts;
    SkyPartWatch_ForEachCrash(parts, add_evidence, message);
    SkyPartWatch_ForEachBlame(parts, add_blame, message);
    return message;
}

static bool
apply_evidence(sky_part_watch_t *parts, json_t *row)
{
    json_int_t part;
    json_int_t position;
    int was_answered;
    json_int_t target;
    json_int_t epoch;
    json_int_t age_ms;
    if (json_unpack(row, "[I,I,b,I,I,I]", &part, &position, &was_answered,
                    &target, &epoch, &age_ms) != 0) {
        return false;
    }
    sky_part_crash_t crash = {.part = (uint64_t)part,
                              .position = (uint32_t)position,
                              .was_answered = was_answered != 0,
                              .run = {(uint32_t)target, (uint64_t)epoch},
                              .recorded_ms = time_of_age(age_ms)};
    SkyPartWatch_ApplyCrash(parts, &crash);
    return true;
}

static bool
apply_blame(sky_part_watch_t *parts, json_t *row)
{
    json_int_t part;
    json_int_t age_ms;
    json_int_t trials;
    if (json_unpack(row, "[I,I,I]", &part, &age_ms, &trials) != 0) {
        return false;
    }
    sky_part_blame_t blame = {(uint64_t)part, time_of_age(age_ms),
                              (uint32_t)trials};
    SkyPartWatch_ApplyBlame(parts, &blame, SkyClock_NowMs());
    return true;
}

static bool
apply_acquittal(sky_part_watch_t *parts, json_t *row)
{
    SkyPartWatch_ApplyAcquittal(parts, (uint64_t)json_integer_value(row),
                                SkyClock_NowMs());
    return json_is_integer(row);
}

void
SkyPartSharing_Apply(const sky_part_sharing_t *sharing, const json_t *message)
{
    static const struct {
        const char *kind;
        bool (*apply)(sky_part_watch_t *parts, json_t *row);
    } KINDS[] = {{"evidence", apply_evidence},
                 {"acquitted", apply_acquittal},
                 {"blamed", apply_blame}};
    for (size_t i = 0; i < sizeof KINDS / sizeof KINDS[0]; i++) {
        size_t index;
        json_t *row;
        json_array_foreach(json_object_get(message, KINDS[i].kind), index, row)
        {
            if (!KINDS[i].apply(sharing->options.directory->parts, row)) {
                SkyLog_Write(LOG_WARNING, "part_ignored", "kind=%s row=%zu",
                             KINDS[i].kind, index);
            }
        }
    }
}

void
SkyPartSharing_FormatValue(const sky_part_blame_t *blame,
                           char value[SKY_PART_VALUE_BYTES])
{
    snprintf(value, SKY_PART_VALUE_BYTES, "%" PRIu64 " %u",
             SkyClock_WallMs() - age_of(blame->since_ms), blame->trial_count);
}

void
SkyPartSharing_ApplyRecord(sky_part_watch_t *parts, uint64_t part,
                           const char *value)
{
    uint64_t since_wall_ms = 0;
    uint32_t trial_count = 0;
    if (sscanf(value, "%" SCNu64 " %" SCNu32, &since_wall_ms, &trial_count) !=
        2) {
        SkyLog_Write(LOG_WARNING, "part_ignored", "part=%" PRIx64 " value=%s",
                     part, value);
        return;
    }
    uint64_t wall_ms = SkyClock_WallMs();
    uint64_t age_ms = wall_ms > since_wall_ms ? wall_ms - since_wall_ms : 0;
    sky_part_blame_t blame = {part, time_of_age((json_int_t)age_ms),
                              trial_count};
    if (age_ms < SKY_CRASH_RETENTION_MS) {
        SkyPartWatch_ApplyBlame(parts, &blame, SkyClock_NowMs());
    }
}

bool
SkyPartSharing_IsRecorded(const sky_part_blame_t *blame, const char *value)
{
    uint64_t since_wall_ms = 0;
    uint32_t trial_count = 0;
    return sscanf(value, "%" SCNu64 " %" SCNu32, &since_wall_ms,
                  &trial_count) == 2 &&
           trial_count >= blame->trial_count;
}

sky_result_t
SkyPartSharing_Create(const sky_part_sharing_options_t *options,
                      sky_part_sharing_t **sharing)
{
    sky_part_sharing_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->news = json_object();
    sky_part_watch_options_t watch_options = {
        .retention_ms = SKY_CRASH_RETENTION_MS,
        .on_event = on_part_event,
        .on_explained = on_explained,
        .is_tester = is_tester,
        .context = self,
    };
    if (self->news == NULL ||
        SkyResult_IsError(
            SkyPartWatch_Create(&watch_options, &options->directory->parts))) {
        json_decref(self->news);
        free(self);
        return SKY_E_MEMORY;
    }
    *sharing = self;
    return SKY_OK;
}

void
SkyPartSharing_Free(sky_part_sharing_t *sharing)
{
    if (sharing == NULL) {
        return;
    }
    SkyPartWatch_Free(sharing->options.directory->parts);
    sharing->options.directory->parts = NULL;
    json_decref(sharing->news);
    free(sharing);
}
