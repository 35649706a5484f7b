#include "edge/reach_sharing.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "platform/wire.h"

#define CALL_PATH "/reach"
#define TICK_INTERVAL_S 0.05
#define CALL_TIMEOUT_MS 200
/** Hosts asked at once; with more hosts, others each time. */
#define ASKED_MAX 8
#define PROBE_CONNECT_TIMEOUT_MS 300
#define PROBE_TIMEOUT_MS 450
#define PROBE_BODY_MAX_BYTES 4096
#define RUNS_MAX 256 /**< runs of targets in an answer */

/** A question to one host about one service. */
typedef struct question {
    sky_reach_sharing_t *sharing;
    sky_host_call_t *call;
    char service[SKY_SERVICE_NAME_BYTES];
    char address[SKY_HOST_ADDRESS_BYTES];
    bool same_domain;
    struct question *prev;
    struct question *next;
} question_t;

typedef struct probe {
    sky_reach_sharing_t *sharing;
    char target_id[SKY_TARGET_ID_BYTES];
    bool is_answered;
    sky_client_request_t *client_request;
    ev_timer timer;
    struct probe *prev;
    struct probe *next;
} probe_t;

struct sky_reach_sharing {
    sky_reach_sharing_options_t options;
    ev_timer tick;
    uint32_t ask_turn;   /**< first member that is asked next */
    uint32_t probe_turn; /**< target that is probed next */
    question_t *questions;
    probe_t *probes;
};

static sky_reachability_t *
reachability_of(const sky_reach_sharing_t *sharing)
{
    return sharing->options.directory->reachability;
}

static void
record_service_byte(const sky_reach_sharing_t *sharing,
                    const sky_fleet_target_t *target)
{
    uint64_t now_ms = SkyClock_NowMs();
    const char *service = target->entry.service;
    if (SkyReachability_RecordByte(reachability_of(sharing), service,
                                   now_ms)) {
        /* What was recorded while this host heard nothing says nothing about
         * the targets. */
        SkyFleet_ClearFailures(sharing->options.directory->fleet, service);
        SkyLog_Write(LOG_NOTICE, "service_heard", "service=%s target=%s",
                     service, target->entry.id);
    }
}

void
SkyReachSharing_RecordByte(const sky_reach_sharing_t *sharing,
                           sky_fleet_target_t *target)
{
    target->last_byte_ms = SkyClock_NowMs();
    record_service_byte(sharing, target);
}

void
SkyReachSharing_RecordFailure(const sky_reach_sharing_t *sharing,
                              const sky_fleet_target_t *target)
{
    uint64_t now_ms = SkyClock_NowMs();
    const char *service = target->entry.service;
    sky_reachability_t *reachability = reachability_of(sharing);
    bool was_doubted =
        SkyReachability_IsDoubted(reachability, service, now_ms);
    SkyReachability_RecordFailure(
        reachability, service, target->hash,
        SkyFleet_CountUsable(sharing->options.directory->fleet, service),
        now_ms);
    if (!was_doubted &&
        SkyReachability_IsDoubted(reachability, service, now_ms)) {
        SkyLog_Write(LOG_NOTICE, "service_not_heard", "service=%s target=%s",
                     service, target->entry.id);
    }
}

void
SkyReachSharing_RecordResponse(const sky_reach_sharing_t *sharing,
                               const char *target_id,
                               const sky_http_head_t *head)
{
    sky_fleet_target_t *target =
        SkyFleet_FindTarget(sharing->options.directory->fleet, target_id);
    if (target == NULL) {
        return;
    }
    if (SkyWire_IsOfTarget(head, target_id)) {
        target->last_byte_ms = SkyClock_NowMs();
    }
    record_service_byte(sharing, target);
}

/* ---- questions ---- */

void
SkyReachSharing_ApplyHeardRuns(const sky_reach_sharing_t *sharing,
                               const json_t *rows)
{
    uint64_t now_ms = SkyClock_NowMs();
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        const char *id = NULL;
        json_int_t epoch;
        json_int_t age_ms;
        if (json_unpack(row, "[s,I,I]", &id, &epoch, &age_ms) != 0 ||
            age_ms < 0 || (uint64_t)age_ms > now_ms) {
            SkyLog_Write(LOG_WARNING, "reach_ignored", "row=%zu", index);
            continue;
        }
        sky_fleet_target_t *target =
            SkyFleet_FindTarget(sharing->options.directory->fleet, id);
        uint64_t heard_ms = now_ms - (uint64_t)age_ms;
        if (target != NULL &&
            target->entry.started_unix_ms == (uint64_t)epoch &&
            target->heard_by_others_ms < heard_ms) {
            target->heard_by_others_ms = heard_ms;
        }
    }
}

static bool
parse_word(const json_t *body, sky_reach_word_t *word)
{
    int is_doubted;
    json_int_t age_ms;
    json_int_t open_requests;
    if (json_unpack((json_t *)body, "{s:b, s:I, s:I}", "doubted", &is_doubted,
                    "age_ms", &age_ms, "open", &open_requests) != 0 ||
        age_ms < 0 || age_ms > UINT32_MAX || open_requests < 0 ||
        open_requests > UINT32_MAX) {
        return false;
    }
    *word = (sky_reach_word_t){.is_doubted = is_doubted != 0,
                               .heard_age_ms = (uint32_t)age_ms,
                               .open_requests = (uint32_t)open_requests};
    return true;
}

static void
on_answer(void *context, const json_t *body)
{
    question_t *question = context;
    sky_reach_sharing_t *sharing = question->sharing;
    sky_reach_word_t word;
    bool is_answered = body != NULL && parse_word(body, &word);
    SkyReachability_RecordAnswer(reachability_of(sharing), question->service,
                                 question->address, question->same_domain,
                                 is_answered ? &word : NULL, SkyClock_NowMs());
    if (is_answered) {
        SkyReachSharing_ApplyHeardRuns(sharing, json_object_get(body, "runs"));
    }
    DL_DELETE(sharing->questions, question);
    free(question);
}

static bool
ask_member(sky_reach_sharing_t *sharing, const char *service,
           const sky_fanout_host_t *member)
{
    const sky_reach_sharing_options_t *options = &sharing->options;
    question_t *question = calloc(1, sizeof *question);
    if (question == NULL || strlen(service) >= sizeof question->service ||
        strlen(member->address) >= sizeof question->address) {
        free(question);
        return false;
    }
    question->sharing = sharing;
    question->same_domain =
        strcmp(member->domain, options->settings->domain) == 0;
    strcpy(question->service, service);
    strcpy(question->address, member->address);
    question->call =
        SkyHostCalls_SendCall(options->host_calls, member->address, CALL_PATH,
                              json_pack("{s:s}", "service", service),
                              CALL_TIMEOUT_MS, on_answer, question);
    if (question->call == NULL) {
        free(question);
        return false;
    }
    DL_APPEND(sharing->questions, question);
    return true;
}

static void
ask_if_due(sky_reach_sharing_t *sharing, const char *service)
{
    const sky_reach_sharing_options_t *options = &sharing->options;
    uint64_t now_ms = SkyClock_NowMs();
    if (!SkyReachability_ShouldAsk(reachability_of(sharing), service,
                                   now_ms)) {
        return;
    }
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t count = SkyOwnership_ListHosts(options->ownership, members,
                                            SKY_GROUP_MEMBERS_MAX);
    uint32_t asked = 0;
    for (uint32_t i = 0; i < count && asked < ASKED_MAX; i++) {
        const sky_fanout_host_t *member =
            &members[(sharing->ask_turn + i) % count];
        if (strcmp(member->address, options->settings->control) != 0 &&
            ask_member(sharing, service, member)) {
            asked++;
        }
    }
    sharing->ask_turn += asked;
    SkyReachability_RecordAsk(reachability_of(sharing), service, asked,
                              now_ms);
}

void
SkyReachSharing_ChoosePath(sky_reach_sharing_t *sharing,
                           const sky_path_query_t *query, sky_path_t *path)
{
    sky_reachability_t *reachability = reachability_of(sharing);
    SkyReachability_ChoosePath(reachability, query, SkyClock_NowMs(), path);
    if (path->kind == SKY_PATH_DIRECT) {
        ask_if_due(sharing, query->service);
        SkyReachability_ChoosePath(reachability, query, SkyClock_NowMs(),
                                   path);
    }
}

static json_t *
encode_runs(const sky_reach_sharing_t *sharing, const char *service)
{
    uint64_t now_ms = SkyClock_NowMs();
    json_t *rows = json_array();
    const sky_fleet_target_t *target =
        SkyFleet_GetFirstTarget(sharing->options.directory->fleet);
    for (; target != NULL && json_array_size(rows) < RUNS_MAX;
         target = target->next) {
        if (target->listed && target->last_byte_ms > 0 &&
            strcmp(target->entry.service, service) == 0) {
            json_array_append_new(
                rows, json_pack("[s,I,I]", target->entry.id,
                                (json_int_t)target->entry.started_unix_ms,
                                (json_int_t)(now_ms - target->last_byte_ms)));
        }
    }
    return rows;
}

static void
on_call(void *context, sky_server_request_t *server_request,
        const json_t *body)
{
    const sky_reach_sharing_t *sharing = context;
    const char *service = json_string_value(json_object_get(body, "service"));
    if (service == NULL) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused", "path=" CALL_PATH);
        SkyServerRequest_Respond(server_request, 400, "", "", 0);
        return;
    }
    sky_reach_word_t word;
    SkyReachability_RecordQuestion(reachability_of(sharing), service,
                                   SkyClock_NowMs());
    SkyReachability_GetWord(reachability_of(sharing), service,
                            SkyClock_NowMs(), &word);
    uint32_t open_requests =
        sharing->options.get_open_requests(sharing->options.context);
    SkyHostCalls_Respond(
        server_request,
        json_pack("{s:b, s:I, s:I, s:o}", "doubted",
                  word.is_doubted || open_requests == UINT32_MAX, "age_ms",
                  (json_int_t)word.heard_age_ms, "open",
                  (json_int_t)open_requests, "runs",
                  encode_runs(sharing, service)));
}

/* ---- probes ---- */

static void
free_probe(probe_t *probe)
{
    ev_timer_stop(probe->sharing->options.loop, &probe->timer);
    DL_DELETE(probe->sharing->probes, probe);
    free(probe);
}

static bool
on_probe_head(void *context, const sky_http_head_t *head)
{
    probe_t *probe = context;
    probe->is_answered = true;
    SkyReachSharing_RecordResponse(probe->sharing, probe->target_id, head);
    return true;
}

static void
record_probe_failure(const probe_t *probe)
{
    const sky_fleet_target_t *target = SkyFleet_FindTarget(
        probe->sharing->options.directory->fleet, probe->target_id);
    if (target != NULL && !probe->is_answered) {
        SkyReachSharing_RecordFailure(probe->sharing, target);
    }
}

static void
on_probe_body(void *context, const char *bytes, size_t size)
{
    (void)context;
    (void)bytes;
    (void)size;
}

static void
on_probe_end(void *context, sky_client_outcome_t outcome)
{
    probe_t *probe = context;
    SkyLog_Write(LOG_INFO, "probe", "target=%s outcome=%s", probe->target_id,
                 SkyClientRequest_OutcomeName(outcome));
    if (outcome == SKY_CLIENT_OUTCOME_UNSENT) {
        record_probe_failure(probe);
    }
    free_probe(probe);
}

static void
on_probe_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    probe_t *probe = watcher->data;
    SkyLog_Write(LOG_INFO, "probe", "target=%s outcome=timeout",
                 probe->target_id);
    SkyClientRequest_Cancel(probe->client_request);
    record_probe_failure(probe);
    free_probe(probe);
}

/* The targets of the service take turns; those that have failed are passed
 * over while there are others. */
static const sky_fleet_target_t *
choose_probed_target(sky_reach_sharing_t *sharing, const char *service)
{
    const sky_fleet_t *fleet = sharing->options.directory->fleet;
    uint32_t count = SkyFleet_CountUsable(fleet, service);
    const sky_fleet_target_t *target = NULL;
    for (uint32_t i = 0; i < count; i++) {
        target =
            SkyFleet_GetUsable(fleet, service, sharing->probe_turn++ % count);
        if (!SkyReachability_HasFailed(reachability_of(sharing), service,
                                       target->hash)) {
            break;
        }
    }
    return target;
}

static const char *
find_health_path(const sky_reach_sharing_t *sharing, const char *service)
{
    const sky_deployment_t *deployment =
        sharing->options.directory->deployment;
    uint32_t index = deployment != NULL
                         ? SkyDeployment_FindService(deployment, service)
                         : UINT32_MAX;
    return index != UINT32_MAX ? deployment->services[index].health_path
                               : NULL;
}

static void
send_probe(sky_reach_sharing_t *sharing, const sky_fleet_target_t *target,
           const char *health_path)
{
    sky_buffer_t request = {0};
    char ip[INET_ADDRSTRLEN] = "";
    probe_t *probe = calloc(1, sizeof *probe);
    if (probe == NULL) {
        SkyLog_Write(LOG_ERR, "probe", "outcome=memory");
        return;
    }
    probe->sharing = sharing;
    memcpy(probe->target_id, target->entry.id, sizeof probe->target_id);
    inet_ntop(AF_INET, &target->entry.address.sin_addr, ip, sizeof ip);
    SkyBuffer_AppendFormat(&request, "GET %s HTTP/1.1\r\nHost: %s:%u\r\n\r\n",
                           health_path, ip,
                           ntohs(target->entry.address.sin_port));
    sky_client_request_options_t options = {
        .address = target->entry.address,
        .request = &request,
        .connect_timeout_ms = PROBE_CONNECT_TIMEOUT_MS,
        .max_idle_ms = 1, /* an idle connection may be one that hangs */
        .max_body_bytes = PROBE_BODY_MAX_BYTES,
        .echo_field = SkyWire_RequestIdFieldName(),
        .echo_value = "",
        .events = {on_probe_head, on_probe_body, on_probe_end},
        .context = probe,
    };
    probe->client_request = SkyClient_Send(sharing->options.client, &options);
    SkyBuffer_Clear(&request);
    if (probe->client_request == NULL) {
        SkyLog_Write(LOG_ERR, "probe", "outcome=memory");
        free(probe);
        return;
    }
    DL_APPEND(sharing->probes, probe);
    ev_timer_init(&probe->timer, on_probe_timeout, PROBE_TIMEOUT_MS / 1000.0,
                  0.0);
    probe->timer.data = probe;
    ev_timer_start(sharing->options.loop, &probe->timer);
}

static bool
is_probed(const sky_reach_sharing_t *sharing, const char *target_id)
{
    const probe_t *probe;
    DL_FOREACH(sharing->probes, probe)
    {
        if (strcmp(probe->target_id, target_id) == 0) {
            return true;
        }
    }
    return false;
}

void
SkyReachSharing_ProbeTarget(sky_reach_sharing_t *sharing,
                            const sky_fleet_target_t *target)
{
    const char *health_path =
        target != NULL ? find_health_path(sharing, target->entry.service)
                       : NULL;
    if (health_path != NULL && !is_probed(sharing, target->entry.id)) {
        send_probe(sharing, target, health_path);
    }
}

static void
probe_if_due(sky_reach_sharing_t *sharing, const char *service)
{
    if (SkyReachability_TakeProbe(reachability_of(sharing), service,
                                  SkyClock_NowMs())) {
        SkyReachSharing_ProbeTarget(sharing,
                                    choose_probed_target(sharing, service));
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_reach_sharing_t *sharing = watcher->data;
    const char *service;
    for (uint32_t i = 0;
         (service = SkyReachability_GetService(reachability_of(sharing), i)) !=
         NULL;
         i++) {
        ask_if_due(sharing, service);
        probe_if_due(sharing, service);
    }
}

sky_result_t
SkyReachSharing_Create(const sky_reach_sharing_options_t *options,
                       sky_reach_sharing_t **sharing)
{
    sky_reach_sharing_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    sky_result_t result =
        SkyReachability_Create(&options->directory->reachability);
    if (SkyResult_IsError(result)) {
        free(self);
        return result;
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
SkyReachSharing_Free(sky_reach_sharing_t *sharing)
{
    if (sharing == NULL) {
        return;
    }
    question_t *question;
    question_t *next_question;
    DL_FOREACH_SAFE(sharing->questions, question, next_question)
    {
        SkyHostCalls_CancelCall(question->call);
        DL_DELETE(sharing->questions, question);
        free(question);
    }
    probe_t *probe;
    probe_t *next;
    DL_FOREACH_SAFE(sharing->probes, probe, next)
    {
        SkyClientRequest_Cancel(probe->client_request);
        free_probe(probe);
    }
    ev_timer_stop(sharing->options.loop, &sharing->tick);
    SkyReachability_Free(sharing->options.directory->reachability);
    sharing->options.directory->reachability = NULL;
    free(sharing);
}
