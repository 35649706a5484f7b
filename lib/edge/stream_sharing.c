#include "edge/stream_sharing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/stream_archive.h"

#define CALL_PATH "/streams"
#define TICK_INTERVAL_S 0.1
#define CALL_TIMEOUT_MS 300
#define KEEPERS 3 /**< hosts that are told of a stream */
/** Hosts that are asked for a stream: its keepers come first. */
#define ASKED_MAX 8
/** Longer than any stream and its callers' retries last. */
#define RETENTION_MS 60000
#define STREAMS_MAX 65536
/** Twice the age up to which hosts act on a list of targets where drain times
 *  are short (edge/feed.c): all hosts know a version by half of it, and the
 *  other half is left for taking up streams that nobody was told of. Where
 *  older lists are acted on, less is left. */
#define INTRODUCTION_MS 2800
/** Between two comparisons with the store; a record that was appended has been
 *  read back by then. */
#define STORE_CHECK_INTERVAL_MS 500

/** One call of a question. */
typedef struct {
    sky_stream_ask_t *ask;
    sky_host_call_t *call; /**< NULL: ended */
} ask_call_t;

struct sky_stream_ask {
    sky_stream_sharing_t *sharing;
    uint64_t stream;
    char service[SKY_SERVICE_NAME_BYTES];
    ask_call_t calls[ASKED_MAX];
    bool waits_for_archive;
    uint32_t pending_count; /**< calls, and the archive */
    sky_resume_answers_t answers;
    sky_stream_answer_callback_t on_answer;
    void *context;
    struct sky_stream_ask *prev;
    struct sky_stream_ask *next;
};

struct sky_stream_sharing {
    sky_stream_sharing_options_t options;
    ev_timer tick;
    sky_stream_ask_t *asks;
    bool append_pending;
    uint64_t next_store_check_ms;
    uint64_t started_ms;
    uint64_t list_read_monotonic_ms; /**< of the newest recorded list */
    uint64_t suspended_ms;           /**< of this host, at the last update */
    sky_stream_archive_t *archive;
};

uint64_t
SkyStreamSharing_HashId(const char *request_id)
{
    return request_id[0] != '\0' ? XXH3_64bits(request_id, strlen(request_id))
                                 : SKY_STREAM_UNNAMED;
}

typedef struct {
    const char *address;
    uint64_t weight;
} ranked_host_t;

/* Ranks the other members for a stream, the same way on each host. */
static uint32_t
rank_hosts(const sky_stream_sharing_t *sharing, uint64_t stream,
           ranked_host_t *ranked, uint32_t max_count)
{
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t member_count = SkyOwnership_ListMembers(
        sharing->options.ownership, members, SKY_GROUP_MEMBERS_MAX);
    uint32_t count = 0;
    for (uint32_t i = 0; i < member_count; i++) {
        const char *address = members[i].address;
        if (strcmp(address, sharing->options.settings->control) == 0) {
            continue;
        }
        uint64_t weight =
            XXH3_64bits_withSeed(address, strlen(address), stream);
        uint32_t at = count < max_count ? count++ : max_count;
        while (at > 0 && weight > ranked[at - 1].weight) {
            if (at < max_count) {
                ranked[at] = ranked[at - 1];
            }
            at--;
        }
        if (at < max_count) {
            ranked[at] = (ranked_host_t){address, weight};
        }
    }
    return count;
}

static void
on_told(void *context, const json_t *body)
{
    (void)context;
    if (body == NULL) {
        SkyLog_Write(LOG_INFO, "streams_not_told", "reason=no_answer");
    }
}

/** Rows for each host that keeps some of the streams. */
typedef struct {
    const sky_stream_sharing_t *sharing;
    json_t *rows_by_address;
    json_t *rows; /**< all of them, once each */
} told_t;

static void
add_told_stream(const sky_stream_version_t *stream, void *context)
{
    const told_t *told = context;
    ranked_host_t keepers[KEEPERS];
    uint32_t count =
        rank_hosts(told->sharing, stream->stream, keepers, KEEPERS);
    json_t *row = SkyStreamArchive_EncodeStream(stream);
    for (uint32_t i = 0; i < count; i++) {
        json_t *rows =
            json_object_get(told->rows_by_address, keepers[i].address);
        if (rows == NULL) {
            rows = json_array();
            json_object_set_new(told->rows_by_address, keepers[i].address,
                                rows);
        }
        json_array_append(rows, row);
    }
    json_array_append_new(told->rows, row);
}

static void
tell_streams(sky_stream_sharing_t *sharing, uint64_t now_ms)
{
    told_t told = {sharing, json_object(), json_array()};
    SkyStreamVersions_TakeUntold(sharing->options.directory->streams, now_ms,
                                 add_told_stream, &told);
    const char *address;
    json_t *rows;
    json_object_foreach(told.rows_by_address, address, rows)
    {
        SkyHostCalls_SendCall(sharing->options.host_calls, address, CALL_PATH,
                              json_pack("{s:O}", "streams", rows),
                              CALL_TIMEOUT_MS, on_told, sharing);
    }
    json_decref(told.rows_by_address);
    SkyStreamArchive_Add(sharing->archive, told.rows);
}

static void
record_targets(sky_stream_sharing_t *sharing, uint64_t now_ms)
{
    const sky_directory_t *directory = sharing->options.directory;
    sky_software_rollout_t *rollout =
        SkyStreamVersions_GetRollout(directory->streams);
    uint64_t wall_ms = SkyClock_WallMs();
    const sky_fleet_target_t *target =
        SkyFleet_GetFirstTarget(directory->fleet);
    for (; target != NULL; target = target->next) {
        if (target->listed) {
            uint64_t started_ms = target->entry.started_unix_ms;
            if (SkySoftwareRollout_RecordTarget(
                    rollout, target->entry.service, target->entry.software,
                    wall_ms > started_ms ? wall_ms - started_ms : 0, now_ms)) {
                SkyLog_Write(LOG_NOTICE, "software_listed",
                             "service=%s software=%s list_age_ms=%llu",
                             target->entry.service, target->entry.software,
                             (unsigned long long)(SkyClock_NowMs() -
                                                  directory->targets_read_ms));
            }
        }
    }
    if (directory->targets_known &&
        directory->targets_read_ms != sharing->list_read_monotonic_ms) {
        /* Counts no suspension since the last update, so that a list read
         * before it is not taken for a newer one. */
        sharing->list_read_monotonic_ms = directory->targets_read_ms;
        SkySoftwareRollout_RecordListEnd(
            rollout, sharing->list_read_monotonic_ms + sharing->suspended_ms);
    }
    sharing->suspended_ms = SkyClock_SuspendedMs();
}

/* Returns whether the store has a record of the service's versions. */
static bool
find_stored_history(const sky_stream_sharing_t *sharing, const char *service,
                    sky_version_history_t *history)
{
    char key[SKY_VERSION_HISTORY_KEY_BYTES];
    SkyVersionHistory_FormatKey(service, key);
    const char *value =
        SkyFeed_FindValue(sharing->options.feed, SKY_FEED_CRASHES, key);
    return value != NULL &&
           SkyVersionHistory_ParseValue(value, SkyClock_WallMs(), history);
}

/* Takes over what the list of targets and the store say now. */
static void
update_versions(sky_stream_sharing_t *sharing, uint64_t now_ms)
{
    const sky_directory_t *directory = sharing->options.directory;
    const sky_deployment_t *deployment = directory->deployment;
    record_targets(sharing, now_ms);
    if (deployment == NULL ||
        !SkyFeed_IsSynced(sharing->options.feed, SKY_FEED_CRASHES)) {
        return;
    }
    for (uint32_t i = 0; i < deployment->service_count; i++) {
        const char *service = deployment->services[i].name;
        sky_version_history_t history;
        if (find_stored_history(sharing, service, &history)) {
            SkyStreamVersions_ApplyHistory(directory->streams, service,
                                           &history, now_ms);
        }
    }
    SkyStreamVersions_SetHistoryKnown(directory->streams);
}

void
SkyStreamSharing_HandleListChange(sky_stream_sharing_t *sharing)
{
    update_versions(sharing, SkyClock_BootMs());
}

/* Keeps what was decided for a stream without a record, so that it holds also
 * after the introduction. Others are not told: a record of the host that began
 * the stream goes before. */
static void
record_decision(const sky_stream_sharing_t *sharing, const char *service,
                uint64_t id, const char *software, uint64_t now_ms)
{
    sky_stream_version_t stream = {.stream = id};
    snprintf(stream.service, sizeof stream.service, "%s", service);
    snprintf(stream.software, sizeof stream.software, "%s", software);
    SkyStreamVersions_RecordStream(sharing->options.directory->streams,
                                   &stream, false, now_ms);
}

sky_resume_t
SkyStreamSharing_Decide(sky_stream_sharing_t *sharing, const char *service,
                        uint64_t stream, const sky_resume_answers_t *answers)
{
    const sky_stream_versions_t *streams = sharing->options.directory->streams;
    uint64_t now_ms = SkyClock_BootMs();
    update_versions(sharing, now_ms);
    sky_resume_t resume =
        SkyStreamVersions_Decide(streams, service, stream, answers, now_ms);
    if (resume.kind == SKY_RESUME_AT_SOFTWARE &&
        stream != SKY_STREAM_UNNAMED) {
        record_decision(sharing, service, stream, resume.software, now_ms);
    }
    return resume;
}

static void
on_appended(void *context, const sky_store_response_t *response)
{
    sky_stream_sharing_t *sharing = context;
    sharing->append_pending = false;
    if (response->outcome != SKY_STORE_DONE) {
        SkyLog_Write(LOG_WARNING, "versions_not_stored", "reason=%s",
                     SkyStore_OutcomeName(response->outcome));
    }
}

/* Appends the versions of the service if the store has others. */
static void
store_history(sky_stream_sharing_t *sharing, const char *service,
              uint64_t now_ms)
{
    sky_version_history_t stored;
    sky_version_history_t current;
    if (!SkyStreamVersions_GetHistory(sharing->options.directory->streams,
                                      service, now_ms, &current) ||
        (find_stored_history(sharing, service, &stored) &&
         !SkyVersionHistory_IsOutdated(&stored, &current))) {
        return;
    }
    char key[SKY_VERSION_HISTORY_KEY_BYTES];
    char value[SKY_VERSION_HISTORY_VALUE_BYTES];
    SkyVersionHistory_FormatKey(service, key);
    SkyVersionHistory_FormatValue(&current, SkyClock_WallMs(), value);
    sky_store_record_t record = {
        .key = key, .value = value, .value_bytes = strlen(value)};
    sharing->append_pending = true;
    SkyStore_AppendRecords(sharing->options.store, SKY_TOPIC_CRASHES, &record,
                           1, on_appended, sharing);
}

/* Makes the store hold what versions the services have, one at a time. */
static void
update_store(sky_stream_sharing_t *sharing, uint64_t now_ms)
{
    const sky_stream_sharing_options_t *options = &sharing->options;
    const sky_deployment_t *deployment = options->directory->deployment;
    sky_fanout_host_t member;
    /* Without members each host takes itself for a reader. */
    if (now_ms < sharing->next_store_check_ms || deployment == NULL ||
        SkyOwnership_ListMembers(options->ownership, &member, 1) == 0 ||
        !SkyFeed_IsStoreReader(options->feed) ||
        !SkyFeed_IsSynced(options->feed, SKY_FEED_CRASHES)) {
        return;
    }
    sharing->next_store_check_ms = now_ms + STORE_CHECK_INTERVAL_MS;
    for (uint32_t i = 0;
         i < deployment->service_count && !sharing->append_pending; i++) {
        store_history(sharing, deployment->services[i].name, now_ms);
    }
}

static json_t *
answer_ask(sky_stream_sharing_t *sharing, const json_t *body)
{
    sky_stream_versions_t *streams = sharing->options.directory->streams;
    uint64_t now_ms = SkyClock_BootMs();
    update_versions(sharing, now_ms);
    bool is_list_complete = SkySoftwareRollout_IsListComplete(
        SkyStreamVersions_GetRollout(streams), now_ms);
    uint64_t stream =
        (uint64_t)json_integer_value(json_object_get(body, "ask"));
    const char *service = json_string_value(json_object_get(body, "service"));
    const char *software =
        SkyStreamVersions_FindStream(streams, stream, now_ms);
    const char *only =
        service != NULL && is_list_complete
            ? SkyStreamVersions_FindOnlyVersion(streams, service, now_ms)
            : NULL;
    return json_pack("{s:s*, s:s*, s:b, s:b}", "software", software, "only",
                     only, "knows_list",
                     sharing->options.directory->targets_known, "mixed",
                     service != NULL &&
                         SkyStreamVersions_IsMixed(streams, service, now_ms));
}

static void
on_call(void *context, sky_server_request_t *server_request,
        const json_t *body)
{
    sky_stream_sharing_t *sharing = context;
    const json_t *streams = json_object_get(body, "streams");
    SkyStreamArchive_ApplyRows(sharing->options.directory, streams);
    if (json_is_true(json_object_get(body, "keep"))) {
        SkyStreamArchive_Collect(sharing->archive, streams);
    }
    SkyHostCalls_Respond(server_request, json_object_get(body, "ask") != NULL
                                             ? answer_ask(sharing, body)
                                             : json_object());
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_stream_sharing_t *sharing = watcher->data;
    uint64_t boot_ms = SkyClock_BootMs();
    update_versions(sharing, boot_ms);
    tell_streams(sharing, boot_ms);
    update_store(sharing, boot_ms);
    SkyStreamArchive_Tick(sharing->archive, SkyClock_NowMs());
}

void
SkyStreamSharing_CancelAsk(sky_stream_ask_t *ask)
{
    for (uint32_t i = 0; i < ASKED_MAX; i++) {
        if (ask->calls[i].call != NULL) {
            SkyHostCalls_CancelCall(ask->calls[i].call);
        }
    }
    DL_DELETE(ask->sharing->asks, ask);
    free(ask);
}

static void
end_ask(sky_stream_ask_t *ask)
{
    sky_stream_answer_callback_t on_answer = ask->on_answer;
    void *answer_context = ask->context;
    sky_resume_answers_t answers = ask->answers;
    answers.have_answered = true;
    SkyStreamSharing_CancelAsk(ask);
    on_answer(answer_context, &answers);
}

/* Ends a question as soon as the version is known, or nobody is left to answer
 * it. */
static void
end_ask_if_settled(sky_stream_ask_t *ask)
{
    const sky_stream_versions_t *streams =
        ask->sharing->options.directory->streams;
    if (ask->pending_count == 0 ||
        SkyStreamVersions_FindStream(streams, ask->stream,
                                     SkyClock_BootMs()) != NULL) {
        end_ask(ask);
    }
}

/* Takes over the only version that a host names. If two name different ones,
 * either may have begun the stream. */
static void
record_only_version(sky_resume_answers_t *answers, const char *software)
{
    if (software == NULL || strlen(software) >= sizeof answers->only_version) {
        return;
    }
    answers->know_mixed =
        answers->know_mixed || (answers->has_only_version &&
                                strcmp(answers->only_version, software) != 0);
    answers->has_only_version = true;
    strcpy(answers->only_version, software);
}

static void
on_ask_answer(void *context, const json_t *body)
{
    ask_call_t *call = context;
    sky_stream_ask_t *ask = call->ask;
    const char *software =
        json_string_value(json_object_get(body, "software"));
    call->call = NULL;
    ask->pending_count--;
    /* An earlier build does not say whether it knows the list. */
    ask->answers.has_heard =
        ask->answers.has_heard ||
        (body != NULL && !json_is_false(json_object_get(body, "knows_list")));
    ask->answers.know_mixed = ask->answers.know_mixed ||
                              json_is_true(json_object_get(body, "mixed"));
    record_only_version(&ask->answers,
                        json_string_value(json_object_get(body, "only")));
    sky_stream_version_t stream = {.stream = ask->stream};
    if (software != NULL && strlen(software) < sizeof stream.software) {
        strcpy(stream.service, ask->service);
        strcpy(stream.software, software);
        SkyStreamVersions_RecordStream(
            ask->sharing->options.directory->streams, &stream, false,
            SkyClock_BootMs());
    }
    end_ask_if_settled(ask);
}

static void
on_archive_read(void *context)
{
    sky_stream_sharing_t *sharing = context;
    sky_stream_ask_t *ask;
    sky_stream_ask_t *next;
    DL_FOREACH_SAFE(sharing->asks, ask, next)
    {
        if (ask->waits_for_archive) {
            ask->waits_for_archive = false;
            ask->pending_count--;
            end_ask_if_settled(ask);
        }
    }
}

/* Whether the stream may have begun before this host started. */
static bool
may_need_archive(const sky_stream_sharing_t *sharing)
{
    return SkyClock_NowMs() < sharing->started_ms + RETENTION_MS;
}

sky_stream_ask_t *
SkyStreamSharing_Ask(sky_stream_sharing_t *sharing, const char *service,
                     uint64_t stream, sky_stream_answer_callback_t on_answer,
                     void *context)
{
    ranked_host_t asked[ASKED_MAX];
    uint32_t count = rank_hosts(sharing, stream, asked, ASKED_MAX);
    sky_stream_ask_t *ask = calloc(1, sizeof *ask);
    if (ask == NULL || strlen(service) >= sizeof ask->service) {
        free(ask);
        return NULL;
    }
    ask->sharing = sharing;
    ask->stream = stream;
    strcpy(ask->service, service);
    ask->on_answer = on_answer;
    ask->context = context;
    for (uint32_t i = 0; i < count; i++) {
        ask->calls[i].ask = ask;
        ask->calls[i].call = SkyHostCalls_SendCall(
            sharing->options.host_calls, asked[i].address, CALL_PATH,
            json_pack("{s:I, s:s}", "ask", (json_int_t)stream, "service",
                      service),
            CALL_TIMEOUT_MS, on_ask_answer, &ask->calls[i]);
        ask->pending_count += ask->calls[i].call != NULL ? 1 : 0;
    }
    if (may_need_archive(sharing) && SkyStreamArchive_Read(sharing->archive)) {
        ask->waits_for_archive = true;
        ask->pending_count++;
    }
    if (ask->pending_count == 0) {
        free(ask);
        return NULL;
    }
    DL_APPEND(sharing->asks, ask);
    return ask;
}

sky_result_t
SkyStreamSharing_Create(const sky_stream_sharing_options_t *options,
                        sky_stream_sharing_t **sharing)
{
    sky_stream_sharing_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    sky_stream_versions_options_t versions_options = {
        .retention_ms = RETENTION_MS,
        .streams_max = STREAMS_MAX,
        .introduction_ms = INTRODUCTION_MS,
    };
    sky_stream_archive_options_t archive_options = {
        .settings = options->settings,
        .directory = options->directory,
        .ownership = options->ownership,
        .host_calls = options->host_calls,
        .store = options->store,
        .call_path = CALL_PATH,
        .on_read = on_archive_read,
        .context = self,
        .retention_ms = RETENTION_MS,
    };
    self->started_ms = SkyClock_NowMs();
    self->suspended_ms = SkyClock_SuspendedMs();
    if (SkyResult_IsError(SkyStreamVersions_Create(
            &versions_options, &options->directory->streams)) ||
        SkyResult_IsError(
            SkyStreamArchive_Create(&archive_options, &self->archive))) {
        SkyStreamVersions_Free(options->directory->streams);
        options->directory->streams = NULL;
        free(self);
        return SKY_E_MEMORY;
    }
    ev_timer_init(&self->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
    self->tick.data = self;
    ev_timer_start(options->loop, &self->tick);
    SkyHostCalls_RegisterHandler(options->host_calls, CALL_PATH, on_call, NULL,
                                 self);
    *sharing = self;
    return SKY_OK;
}

void
SkyStreamSharing_Free(sky_stream_sharing_t *sharing)
{
    if (sharing == NULL) {
        return;
    }
    ev_timer_stop(sharing->options.loop, &sharing->tick);
    SkyStreamVersions_Free(sharing->options.directory->streams);
    sharing->options.directory->streams = NULL;
    SkyStreamArchive_Free(sharing->archive);
    free(sharing);
}
