#include "edge/service_turns.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "decide/shortage.h"

#define CALL_PATH "/turn"
#define OWNER_TIMEOUT_MS 150 /**< hosts are some ms apart */
/** Requests are sent without turns for this time after an owner did not
 *  respond. */
#define FALLBACK_MS 500
/** An owner that did not respond is asked after others for this time. */
#define OWNER_SILENT_MS 2000
#define MEMBERS_PER_OWNER 64
#define OWNERS_MAX 8
/** Listing the members of 330 hosts for each turn would cost more than it. */
#define OWNERS_TTL_MS 250
#define REPORTED_TARGETS_MAX 64
/** Older responses say little: a host that makes no calls forgets them. */
#define REPORT_TTL_MS 300
#define EXCLUDED_MAX 16
#define REFUSAL_LOG_INTERVAL_MS 1000
#define NOTICE_PATH "/turn-short"
/** Between two notices of one service to all hosts. */
#define NOTICE_INTERVAL_MS 1000

typedef struct {
    char address[SKY_HOST_ADDRESS_BYTES];
    uint64_t silent_until_ms;
} owner_t;

typedef struct {
    sky_turn_report_t report;
    uint64_t updated_ms;
} seen_target_t;

/** What this host knows of a service, as a host and as its owner. */
typedef struct {
    char name[SKY_SERVICE_NAME_BYTES];
    sky_shortage_t shortage;
    bool was_short; /**< logged */
    uint64_t fallback_until_ms;
    /** No owner has responded since the last call that failed: one request at
     *  a time finds out whether one does. */
    bool awaits_response;
    uint32_t call_count;        /**< pending calls */
    owner_t owners[OWNERS_MAX]; /**< by preference */
    uint32_t owner_count;
    uint64_t owners_listed_ms;
    seen_target_t seen[REPORTED_TARGETS_MAX];
    uint32_t seen_count;
    sky_turn_schedule_t *schedule; /**< NULL: never asked as its owner */
    bool was_short_as_owner;
    uint64_t noticed_ms; /**< last notice to all hosts; 0: none */
    uint64_t refusal_logged_ms;
    uint32_t refusals_unlogged;
    UT_hash_handle hh;
} service_t;

struct sky_service_turn_request {
    sky_service_turns_t *turns;
    service_t *service;
    char owner[SKY_HOST_ADDRESS_BYTES];
    bool excludes_targets;
    sky_host_call_t *call; /**< NULL once the owner has responded */
    ev_timer timer;        /**< until the turn has come */
    sky_turn_t turn;
    sky_service_turn_done_t done;
    void *context;
    sky_service_turn_request_t *prev;
    sky_service_turn_request_t *next;
};

struct sky_service_turns {
    sky_service_turns_options_t options;
    service_t *services;
    sky_service_turn_request_t *requests;
    uint64_t given_count;   /**< as an owner */
    uint64_t refused_count; /**< as an owner */
    uint64_t failed_call_count;
    uint64_t failed_notice_count;
};

static service_t *
find_service(const sky_service_turns_t *turns, const char *name)
{
    service_t *service;
    HASH_FIND_STR(turns->services, name, service);
    return service;
}

static service_t *
find_or_add_service(sky_service_turns_t *turns, const char *name)
{
    service_t *service = find_service(turns, name);
    if (service == NULL) {
        service = calloc(1, sizeof *service);
        if (service == NULL) {
            return NULL;
        }
        snprintf(service->name, sizeof service->name, "%s", name);
        HASH_ADD_STR(turns->services, name, service);
    }
    return service;
}

/* Whether limits or the rules for brittle targets decide about the target. */
static bool
has_own_rules(const sky_fleet_target_t *target)
{
    return target->is_brittle || target->limit.per_s > 0.0;
}

static bool
can_take_turns(const sky_fleet_target_t *target, uint64_t now_ms)
{
    return !has_own_rules(target) && target->pause_until_ms <= now_ms &&
           target->blocked_until_ms <= now_ms;
}

static bool
is_any_under_own_rules(const sky_service_turns_t *turns, const char *service)
{
    const sky_fleet_target_t *target =
        SkyFleet_GetFirstTarget(turns->options.directory->fleet);
    for (; target != NULL; target = target->next) {
        if (has_own_rules(target) && SkyFleet_IsUsable(target, service)) {
            return true;
        }
    }
    return false;
}

static void
update_targets(sky_service_turns_t *turns, service_t *service, uint64_t now_ms)
{
    const sky_fleet_target_t *target =
        SkyFleet_GetFirstTarget(turns->options.directory->fleet);
    sky_turn_target_t targets[SKY_TURN_TARGETS_MAX];
    uint32_t used = 0;
    for (; target != NULL && used < SKY_TURN_TARGETS_MAX;
         target = target->next) {
        if (SkyFleet_IsUsable(target, service->name) &&
            can_take_turns(target, now_ms)) {
            targets[used++] =
                (sky_turn_target_t){target->hash, target->entry.slots};
        }
    }
    SkyTurnSchedule_SetTargets(service->schedule, targets, used, now_ms);
}

/* Logs the refusals of a second in one line. */
static void
log_refusal(service_t *service, const sky_turn_request_t *request,
            const sky_turn_t *turn, uint64_t now_ms)
{
    service->refusals_unlogged++;
    if (now_ms < service->refusal_logged_ms + REFUSAL_LOG_INTERVAL_MS) {
        return;
    }
    SkyLog_Write(LOG_NOTICE, "turn_refused",
                 "service=%s group=%016llx urgency=%u objective_ms=%u "
                 "deadline_ms=%u backlog_ms=%u retry_after_ms=%u count=%u",
                 service->name, (unsigned long long)request->group,
                 request->urgency, request->objective_ms, request->deadline_ms,
                 SkyTurnSchedule_GetBacklogMs(service->schedule, now_ms),
                 turn->retry_after_ms, service->refusals_unlogged);
    service->refusal_logged_ms = now_ms;
    service->refusals_unlogged = 0;
}

static void
on_notice_end(void *context, const json_t *body)
{
    sky_service_turns_t *turns = context;
    turns->failed_notice_count += body == NULL;
}

/* Tells all hosts when a shortage begins. Each of many hosts would otherwise
 * have to be rejected once to learn of it: in the replay with 330 hosts, in
 * 30 of 100 arrivals of the first second. */
static void
notify_hosts(sky_service_turns_t *turns, service_t *service, uint64_t now_ms)
{
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    bool was_short = service->was_short_as_owner;
    service->was_short_as_owner =
        SkyTurnSchedule_IsShort(service->schedule, now_ms);
    if (!service->was_short_as_owner || was_short ||
        (service->noticed_ms > 0 &&
         now_ms < service->noticed_ms + NOTICE_INTERVAL_MS)) {
        return;
    }
    service->noticed_ms = now_ms;
    uint32_t count = SkyOwnership_ListMembers(turns->options.ownership,
                                              members, SKY_GROUP_MEMBERS_MAX);
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(members[i].address, turns->options.settings->control) !=
                0 &&
            SkyHostCalls_SendCall(
                turns->options.host_calls, members[i].address, NOTICE_PATH,
                json_pack("{s:s}", "service", service->name), OWNER_TIMEOUT_MS,
                on_notice_end, turns) == NULL) {
            turns->failed_notice_count++;
        }
    }
}

/* Decides as the service's owner. */
static sky_turn_t
decide(sky_service_turns_t *turns, service_t *service,
       const sky_turn_request_t *request, const sky_turn_report_t *reports,
       uint32_t report_count)
{
    uint64_t now_ms = SkyClock_NowMs();
    sky_turn_t turn = {.kind = SKY_TURN_NO_TARGET};
    if (service->schedule == NULL &&
        SkyResult_IsError(SkyTurnSchedule_Create(&service->schedule))) {
        SkyLog_Write(LOG_ERR, "turn_refused", "service=%s reason=memory",
                     service->name);
        service->schedule = NULL;
        return turn;
    }
    update_targets(turns, service, now_ms);
    for (uint32_t i = 0; i < report_count; i++) {
        SkyTurnSchedule_ApplyReport(service->schedule, &reports[i], now_ms);
    }
    turn = SkyTurnSchedule_Take(service->schedule, request, now_ms);
    notify_hosts(turns, service, now_ms);
    turns->given_count += turn.kind == SKY_TURN_GIVEN;
    if (turn.kind == SKY_TURN_REFUSED) {
        turns->refused_count++;
        log_refusal(service, request, &turn, now_ms);
    }
    return turn;
}

/* ---- calls of other hosts ---- */

static bool
parse_request(const json_t *body, const char **service,
              sky_turn_request_t *request, uint64_t *excluded)
{
    json_int_t urgency = 0;
    json_int_t group = 0;
    json_int_t objective_ms = 0;
    json_int_t deadline_ms = 0;
    const json_t *hashes = NULL;
    if (json_unpack((json_t *)body, "{s:s, s:I, s:I, s:I, s:I, s:o}",
                    "service", service, "urgency", &urgency, "group", &group,
                    "objective_ms", &objective_ms, "deadline_ms", &deadline_ms,
                    "excluded", &hashes) != 0 ||
        strlen(*service) >= SKY_SERVICE_NAME_BYTES || urgency < 0 ||
        urgency > UINT32_MAX || objective_ms < 0 ||
        objective_ms > UINT32_MAX || deadline_ms < 0 ||
        deadline_ms > UINT32_MAX || !json_is_array(hashes)) {
        return false;
    }
    *request = (sky_turn_request_t){.urgency = (uint32_t)urgency,
                                    .group = (uint64_t)group,
                                    .objective_ms = (uint32_t)objective_ms,
                                    .deadline_ms = (uint32_t)deadline_ms,
                                    .excluded = excluded};
    size_t index;
    const json_t *hash;
    json_array_foreach(hashes, index, hash)
    {
        if (request->excluded_count < EXCLUDED_MAX) {
            excluded[request->excluded_count++] =
                (uint64_t)json_integer_value(hash);
        }
    }
    return true;
}

/* Leaves out rows that are malformed. */
static uint32_t
parse_reports(const json_t *rows, sky_turn_report_t *reports)
{
    uint32_t count = 0;
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        json_int_t target = 0;
        json_int_t responses = 0;
        json_int_t rejected = 0;
        double mean_ms = 0.0;
        if (count < REPORTED_TARGETS_MAX &&
            json_unpack(row, "[I, I, F, I]", &target, &responses, &mean_ms,
                        &rejected) == 0 &&
            responses >= 0 && responses <= UINT32_MAX && rejected >= 0 &&
            rejected <= UINT32_MAX && isfinite(mean_ms) && mean_ms >= 0.0) {
            reports[count++] =
                (sky_turn_report_t){(uint64_t)target, (uint32_t)responses,
                                    mean_ms, (uint32_t)rejected};
        }
    }
    return count;
}

/* A caller may know of a service before this host does: without a target there
 * is nothing to remember of it. */
static void
on_call(void *context, sky_server_request_t *server_request,
        const json_t *body)
{
    sky_service_turns_t *turns = context;
    sky_fleet_t *fleet = turns->options.directory->fleet;
    const char *name = "";
    uint64_t excluded[EXCLUDED_MAX];
    sky_turn_request_t request;
    sky_turn_report_t reports[REPORTED_TARGETS_MAX];
    sky_turn_t turn = {.kind = SKY_TURN_NO_TARGET};
    if (!parse_request(body, &name, &request, excluded)) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused", "path=" CALL_PATH);
        SkyServerRequest_Respond(server_request, 400, "", "", 0);
        return;
    }
    service_t *service = SkyFleet_CountUsable(fleet, name) > 0
                             ? find_or_add_service(turns, name)
                             : NULL;
    bool is_short = false;
    const char *target_id = "";
    if (service != NULL) {
        uint32_t report_count =
            parse_reports(json_object_get(body, "done"), reports);
        turn = decide(turns, service, &request, reports, report_count);
        is_short =
            service->schedule != NULL &&
            SkyTurnSchedule_IsShort(service->schedule, SkyClock_NowMs());
    }
    for (const sky_fleet_target_t *target = SkyFleet_GetFirstTarget(fleet);
         target != NULL && turn.kind == SKY_TURN_GIVEN;
         target = target->next) {
        if (target->hash == turn.target) {
            target_id = target->entry.id;
            break;
        }
    }
    SkyHostCalls_Respond(
        server_request,
        json_pack("{s:s, s:I, s:I, s:b}", "target", target_id, "wait_ms",
                  (json_int_t)turn.wait_ms, "retry_after_ms",
                  (json_int_t)turn.retry_after_ms, "short", is_short));
}

/* ---- as a host ---- */

/* Logs the begin and the end of a shortage. */
static void
update_shortage(service_t *service, const char *cause, uint64_t now_ms)
{
    bool is_short = SkyShortage_IsShort(&service->shortage, now_ms);
    if (is_short != service->was_short) {
        service->was_short = is_short;
        SkyLog_Write(LOG_NOTICE, "service_short",
                     "service=%s short=%d cause=%s recent_ms=%.0f "
                     "usual_ms=%.0f",
                     service->name, is_short, is_short ? cause : "-",
                     service->shortage.recent_ms, service->shortage.usual_ms);
    }
}

/* The owner of the service reports the begin of a shortage. */
static void
on_notice(void *context, sky_server_request_t *server_request,
          const json_t *body)
{
    sky_service_turns_t *turns = context;
    const char *name = json_string_value(json_object_get(body, "service"));
    if (name == NULL || strlen(name) >= SKY_SERVICE_NAME_BYTES) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused", "path=" NOTICE_PATH);
        SkyServerRequest_Respond(server_request, 400, "", "", 0);
        return;
    }
    service_t *service =
        SkyFleet_CountUsable(turns->options.directory->fleet, name) > 0
            ? find_or_add_service(turns, name)
            : NULL;
    if (service != NULL) {
        uint64_t now_ms = SkyClock_NowMs();
        SkyShortage_RecordOwnerReport(&service->shortage, now_ms);
        update_shortage(service, "owner", now_ms);
    }
    SkyHostCalls_Respond(server_request, json_object());
}

bool
SkyServiceTurns_AreNeeded(const sky_service_turns_t *turns,
                          const char *service_name)
{
    const service_t *service = find_service(turns, service_name);
    uint64_t now_ms = SkyClock_NowMs();
    return service != NULL &&
           SkyShortage_IsShort(&service->shortage, now_ms) &&
           now_ms >= service->fallback_until_ms &&
           !(service->awaits_response && service->call_count > 0);
}

static seen_target_t *
find_or_add_seen(service_t *service, uint64_t target)
{
    seen_target_t *oldest = &service->seen[0];
    for (uint32_t i = 0; i < service->seen_count; i++) {
        if (service->seen[i].report.target == target) {
            return &service->seen[i];
        }
        if (service->seen[i].updated_ms < oldest->updated_ms) {
            oldest = &service->seen[i];
        }
    }
    if (service->seen_count < REPORTED_TARGETS_MAX) {
        oldest = &service->seen[service->seen_count++];
    }
    *oldest = (seen_target_t){.report = {.target = target}};
    return oldest;
}

void
SkyServiceTurns_RecordEnd(sky_service_turns_t *turns,
                          const sky_fleet_target_t *target,
                          sky_exchange_result_t result, uint32_t duration_ms)
{
    bool is_response = result == SKY_EXCHANGE_OK;
    if ((!is_response && result != SKY_EXCHANGE_TARGET_FULL) ||
        has_own_rules(target)) {
        return;
    }
    uint64_t now_ms = SkyClock_NowMs();
    service_t *service = find_or_add_service(turns, target->entry.service);
    if (service == NULL) {
        return;
    }
    seen_target_t *seen = find_or_add_seen(service, target->hash);
    sky_turn_report_t *report = &seen->report;
    if (now_ms > seen->updated_ms + REPORT_TTL_MS) {
        *report = (sky_turn_report_t){.target = target->hash};
    }
    seen->updated_ms = now_ms;
    if (is_response) {
        report->mean_ms += (duration_ms - report->mean_ms) / ++report->count;
        SkyShortage_RecordResponse(&service->shortage, duration_ms, now_ms);
    }
    else {
        report->rejected++;
        SkyShortage_RecordRejection(&service->shortage, now_ms);
    }
    update_shortage(service, is_response ? "slow" : "rejected", now_ms);
}

static uint32_t
take_reports(service_t *service, sky_turn_report_t *reports, uint64_t now_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < service->seen_count; i++) {
        if (now_ms <= service->seen[i].updated_ms + REPORT_TTL_MS) {
            reports[count++] = service->seen[i].report;
        }
    }
    service->seen_count = 0;
    return count;
}

typedef struct {
    uint32_t member;
    uint64_t weight;
} candidate_t;

static int
compare_weights(const void *one, const void *other)
{
    uint64_t weight = ((const candidate_t *)one)->weight;
    uint64_t other_weight = ((const candidate_t *)other)->weight;
    return (weight < other_weight) - (weight > other_weight);
}

static uint64_t
get_silent_until_ms(const owner_t *owners, uint32_t count, const char *address)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(owners[i].address, address) == 0) {
            return owners[i].silent_until_ms;
        }
    }
    return 0;
}

static void
list_owners(const sky_service_turns_t *turns, service_t *service,
            uint64_t now_ms)
{
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t chosen[OWNERS_MAX];
    candidate_t candidates[OWNERS_MAX];
    owner_t before[OWNERS_MAX];
    uint32_t before_count = service->owner_count;
    uint32_t member_count = SkyOwnership_ListMembers(
        turns->options.ownership, members, SKY_GROUP_MEMBERS_MAX);
    uint32_t owners_max = 1 + member_count / MEMBERS_PER_OWNER;
    uint32_t count = SkyFanout_ChooseHosts(
        members, member_count, NULL, chosen,
        owners_max < OWNERS_MAX ? owners_max : OWNERS_MAX);
    uint64_t seed = XXH3_64bits(service->name, strlen(service->name));
    for (uint32_t i = 0; i < count; i++) {
        const char *address = members[chosen[i]].address;
        candidates[i] = (candidate_t){
            chosen[i], XXH3_64bits_withSeed(address, strlen(address), seed)};
    }
    qsort(candidates, count, sizeof *candidates, compare_weights);
    memcpy(before, service->owners, sizeof before);
    for (uint32_t i = 0; i < count; i++) {
        owner_t *owner = &service->owners[i];
        snprintf(owner->address, sizeof owner->address, "%s",
                 members[candidates[i].member].address);
        owner->silent_until_ms =
            get_silent_until_ms(before, before_count, owner->address);
    }
    service->owner_count = count;
    service->owners_listed_ms = now_ms;
}

/* Returns the first owner that has not failed to respond lately. */
static const owner_t *
choose_owner(const sky_service_turns_t *turns, service_t *service,
             uint64_t now_ms)
{
    if (service->owners_listed_ms == 0 ||
        now_ms > service->owners_listed_ms + OWNERS_TTL_MS) {
        list_owners(turns, service, now_ms);
    }
    for (uint32_t i = 0; i < service->owner_count; i++) {
        if (now_ms >= service->owners[i].silent_until_ms) {
            return &service->owners[i];
        }
    }
    return NULL;
}

static void
begin_fallback(sky_service_turns_t *turns, service_t *service,
               const char *owner, const char *cause)
{
    uint64_t now_ms = SkyClock_NowMs();
    for (uint32_t i = 0; i < service->owner_count; i++) {
        if (strcmp(service->owners[i].address, owner) == 0) {
            service->owners[i].silent_until_ms = now_ms + OWNER_SILENT_MS;
        }
    }
    if (now_ms >= service->fallback_until_ms) {
        SkyLog_Write(LOG_NOTICE, "turns_not_given",
                     "service=%s owner=%s cause=%s", service->name,
                     owner[0] ? owner : "-", cause);
    }
    service->fallback_until_ms = now_ms + FALLBACK_MS;
    turns->failed_call_count++;
}

/* The request may only have left out all targets; other requests still find
 * one then. */
static void
handle_no_target(sky_service_turns_t *turns, service_t *service,
                 bool excludes_targets)
{
    if (!excludes_targets) {
        begin_fallback(turns, service, "", "target_unknown");
    }
}

static void
free_request(sky_service_turn_request_t *request)
{
    ev_timer_stop(request->turns->options.loop, &request->timer);
    DL_DELETE(request->turns->requests, request);
    free(request);
}

static void
finish_request(sky_service_turn_request_t *request)
{
    sky_service_turn_done_t done = request->done;
    void *context = request->context;
    sky_turn_t turn = request->turn;
    free_request(request);
    done(context, &turn);
}

static void
on_turn(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    finish_request(watcher->data);
}

/* A refusal is final only if all targets take turns. */
static sky_turn_t
make_turn(const sky_service_turns_t *turns, const service_t *service,
          const sky_turn_t *turn)
{
    sky_turn_t made = *turn;
    if (turn->kind == SKY_TURN_REFUSED &&
        is_any_under_own_rules(turns, service->name)) {
        made.kind = SKY_TURN_NO_TARGET;
    }
    return made;
}

static bool
parse_turn(const sky_service_turns_t *turns, const json_t *body,
           sky_turn_t *turn, int *is_short)
{
    const char *target_id = "";
    json_int_t wait_ms = 0;
    json_int_t retry_after_ms = 0;
    if (body == NULL ||
        json_unpack((json_t *)body, "{s:s, s:I, s:I, s:b}", "target",
                    &target_id, "wait_ms", &wait_ms, "retry_after_ms",
                    &retry_after_ms, "short", is_short) != 0 ||
        wait_ms < 0 || wait_ms > UINT32_MAX || retry_after_ms < 0 ||
        retry_after_ms > UINT32_MAX) {
        return false;
    }
    *turn = (sky_turn_t){.kind = SKY_TURN_REFUSED,
                         .wait_ms = (uint32_t)wait_ms,
                         .retry_after_ms = (uint32_t)retry_after_ms};
    if (target_id[0] != '\0') {
        const sky_fleet_target_t *target =
            SkyFleet_FindTarget(turns->options.directory->fleet, target_id);
        turn->kind = target ? SKY_TURN_GIVEN : SKY_TURN_NO_TARGET;
        turn->target = target ? target->hash : 0;
    }
    else if (retry_after_ms == 0) {
        turn->kind = SKY_TURN_NO_TARGET; /* the owner knows no target */
    }
    return true;
}

static void
on_response(void *context, const json_t *body)
{
    sky_service_turn_request_t *request = context;
    sky_service_turns_t *turns = request->turns;
    service_t *service = request->service;
    int is_short = 0;
    sky_turn_t turn;
    request->call = NULL;
    service->call_count--;
    if (!parse_turn(turns, body, &turn, &is_short)) {
        service->awaits_response = true;
        begin_fallback(turns, service, request->owner, "no_response");
        finish_request(request);
        return;
    }
    service->awaits_response = false;
    if (turn.kind == SKY_TURN_NO_TARGET) {
        handle_no_target(turns, service, request->excludes_targets);
        finish_request(request);
        return;
    }
    if (is_short) {
        uint64_t now_ms = SkyClock_NowMs();
        SkyShortage_RecordOwnerReport(&service->shortage, now_ms);
        update_shortage(service, "owner", now_ms);
    }
    request->turn = make_turn(turns, service, &turn);
    if (request->turn.kind == SKY_TURN_GIVEN && turn.wait_ms > 0) {
        ev_timer_set(&request->timer, turn.wait_ms / 1000.0, 0.0);
        ev_timer_start(turns->options.loop, &request->timer);
        return;
    }
    finish_request(request);
}

static json_t *
encode_request(const service_t *service, const sky_turn_request_t *spec,
               const sky_turn_report_t *reports, uint32_t report_count)
{
    json_t *excluded = json_array();
    json_t *done = json_array();
    for (uint32_t i = 0; i < spec->excluded_count; i++) {
        json_array_append_new(excluded,
                              json_integer((json_int_t)spec->excluded[i]));
    }
    for (uint32_t i = 0; i < report_count; i++) {
        json_array_append_new(
            done, json_pack("[I, I, f, I]", (json_int_t)reports[i].target,
                            (json_int_t)reports[i].count, reports[i].mean_ms,
                            (json_int_t)reports[i].rejected));
    }
    return json_pack(
        "{s:s, s:I, s:I, s:I, s:I, s:o, s:o}", "service", service->name,
        "urgency", (json_int_t)spec->urgency, "group", (json_int_t)spec->group,
        "objective_ms", (json_int_t)spec->objective_ms, "deadline_ms",
        (json_int_t)spec->deadline_ms, "excluded", excluded, "done", done);
}

static sky_service_turn_request_t *
add_request(sky_service_turns_t *turns, service_t *service,
            sky_service_turn_done_t done, void *context)
{
    sky_service_turn_request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        return NULL;
    }
    request->turns = turns;
    request->service = service;
    request->turn.kind = SKY_TURN_NO_TARGET;
    request->done = done;
    request->context = context;
    ev_timer_init(&request->timer, on_turn, 0.0, 0.0);
    request->timer.data = request;
    DL_APPEND(turns->requests, request);
    return request;
}

/* Takes a turn as the owner of the service. */
static sky_service_turn_request_t *
take_own(sky_service_turns_t *turns, service_t *service,
         const sky_turn_request_t *spec, const sky_turn_report_t *reports,
         uint32_t report_count, sky_service_turn_request_t *request,
         sky_turn_t *turn)
{
    uint64_t now_ms = SkyClock_NowMs();
    sky_turn_t decided = decide(turns, service, spec, reports, report_count);
    if (decided.kind == SKY_TURN_NO_TARGET) {
        handle_no_target(turns, service, spec->excluded_count > 0);
    }
    else if (SkyTurnSchedule_IsShort(service->schedule, now_ms)) {
        SkyShortage_RecordOwnerReport(&service->shortage, now_ms);
    }
    *turn = make_turn(turns, service, &decided);
    if (turn->kind == SKY_TURN_GIVEN && turn->wait_ms > 0) {
        request->turn = *turn;
        ev_timer_set(&request->timer, turn->wait_ms / 1000.0, 0.0);
        ev_timer_start(turns->options.loop, &request->timer);
        return request;
    }
    free_request(request);
    return NULL;
}

sky_service_turn_request_t *
SkyServiceTurns_Take(sky_service_turns_t *turns, const char *service_name,
                     const sky_turn_request_t *spec,
                     sky_service_turn_done_t done, void *context,
                     sky_turn_t *turn)
{
    uint64_t now_ms = SkyClock_NowMs();
    sky_turn_report_t reports[REPORTED_TARGETS_MAX];
    *turn = (sky_turn_t){.kind = SKY_TURN_NO_TARGET};
    service_t *service = find_or_add_service(turns, service_name);
    if (service == NULL) {
        return NULL;
    }
    const owner_t *owner = choose_owner(turns, service, now_ms);
    if (owner == NULL) {
        begin_fallback(turns, service, "", "no_owner");
        return NULL;
    }
    sky_service_turn_request_t *request =
        add_request(turns, service, done, context);
    if (request == NULL) {
        return NULL;
    }
    request->excludes_targets = spec->excluded_count > 0;
    uint32_t report_count = take_reports(service, reports, now_ms);
    if (strcmp(owner->address, turns->options.settings->control) == 0) {
        return take_own(turns, service, spec, reports, report_count, request,
                        turn);
    }
    snprintf(request->owner, sizeof request->owner, "%s", owner->address);
    request->call = SkyHostCalls_SendCall(
        turns->options.host_calls, owner->address, CALL_PATH,
        encode_request(service, spec, reports, report_count), OWNER_TIMEOUT_MS,
        on_response, request);
    if (request->call == NULL) {
        begin_fallback(turns, service, owner->address, "not_sent");
        free_request(request);
        return NULL;
    }
    service->call_count++;
    return request;
}

void
SkyServiceTurns_Cancel(sky_service_turn_request_t *request)
{
    if (request->call != NULL) {
        request->service->call_count--;
        SkyHostCalls_CancelCall(request->call);
    }
    free_request(request);
}

void
SkyServiceTurns_WriteMetrics(const sky_service_turns_t *turns,
                             sky_buffer_t *out)
{
    uint64_t now_ms = SkyClock_NowMs();
    uint32_t waiting_count;
    const sky_service_turn_request_t *request;
    DL_COUNT(turns->requests, request, waiting_count);
    SkyBuffer_AppendFormat(out,
                           "# TYPE sky_turns_given_total counter\n"
                           "sky_turns_given_total %llu\n"
                           "# TYPE sky_turns_refused_total counter\n"
                           "sky_turns_refused_total %llu\n"
                           "# TYPE sky_turn_calls_failed_total counter\n"
                           "sky_turn_calls_failed_total %llu\n"
                           "# TYPE sky_turn_notices_failed_total counter\n"
                           "sky_turn_notices_failed_total %llu\n"
                           "# TYPE sky_turns_awaited gauge\n"
                           "sky_turns_awaited %u\n"
                           "# TYPE sky_turn_backlog_ms gauge\n",
                           (unsigned long long)turns->given_count,
                           (unsigned long long)turns->refused_count,
                           (unsigned long long)turns->failed_call_count,
                           (unsigned long long)turns->failed_notice_count,
                           waiting_count);
    const service_t *service;
    for (service = turns->services; service != NULL;
         service = service->hh.next) {
        if (service->schedule != NULL) {
            SkyBuffer_AppendFormat(
                out, "sky_turn_backlog_ms{service=\"%s\"} %u\n", service->name,
                SkyTurnSchedule_GetBacklogMs(service->schedule, now_ms));
        }
    }
}

sky_result_t
SkyServiceTurns_Create(const sky_service_turns_options_t *options,
                       sky_service_turns_t **turns)
{
    sky_service_turns_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    SkyHostCalls_RegisterHandler(options->host_calls, CALL_PATH, on_call, NULL,
                                 self);
    SkyHostCalls_RegisterHandler(options->host_calls, NOTICE_PATH, on_notice,
                                 NULL, self);
    *turns = self;
    return SKY_OK;
}

void
SkyServiceTurns_Free(sky_service_turns_t *turns)
{
    if (turns == NULL) {
        return;
    }
    sky_service_turn_request_t *request;
    sky_service_turn_request_t *next_request;
    DL_FOREACH_SAFE(turns->requests, request, next_request)
    {
        SkyServiceTurns_Cancel(request);
    }
    service_t *service;
    service_t *next_service;
    HASH_ITER(hh, turns->services, service, next_service)
    {
        HASH_DEL(turns->services, service);
        SkyTurnSchedule_Free(service->schedule);
        free(service);
    }
    free(turns);
}
