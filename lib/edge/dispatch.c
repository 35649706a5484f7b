#include "edge/proxy_request.h"
#include "edge/target_query.h"

#include <stdio.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "core/time_left.h"

/** Owner's reports that one request may cause: an adapter has few replicas. */
#define OWNER_REPORTS_PER_REQUEST_MAX 3
/** Permits that one request may ask for: few targets are limited at once. */
#define PERMITS_PER_REQUEST_MAX 6
/** Sends by a list of targets that is older are logged. */
#define LIST_AGE_LOGGED_MS 1500
#define CONNECT_TIMEOUT_MS 400 /**< TCP retransmits lost packets later */
/** Requests per batch slot from which a target gets no more. Further ones wait
 *  at this host, so that another replica, or a slot that is free earlier, can
 *  serve them. */
#define BATCH_UTILIZATION_MAX 1.25
/** Prompts of which so many are read in an interval between events are sent
 *  without a turn. */
#define SHORT_PROMPTS_PER_INTERVAL 16
#define PROMPT_WAIT_MAX_MS 10000 /**< also on routes with long objectives */
#define URGENCY_MAX 9 /**< least urgent value that the wire carries */
/** Turns at a plain service that one request asks for: the first one, and one
 *  after each time that it was not run. */
#define SERVICE_TURNS_MAX 5
#define NO_URGENCY 255 /**< of requests to services without an engine */

/* Returns the urgency as a target's engine takes it. */
static uint32_t
scale_urgency(sky_urgency_t urgency)
{
    if (urgency.level_count > URGENCY_MAX + 1) {
        return urgency.rank * (URGENCY_MAX + 1) / urgency.level_count;
    }
    return urgency.rank < URGENCY_MAX ? urgency.rank : URGENCY_MAX;
}

static void
write_request(sky_proxy_request_t *request, sky_buffer_t *out)
{
    uint64_t now = SkyClock_NowMs();
    size_t size;
    const char *body = SkyServerRequest_Body(request->caller_request, &size);
    sky_forward_options_t forward = {
        .deadline_ms = SkyTime_LeftMs32(request->deadline_at_ms, now),
        .target_id = request->target->entry.id,
        .version = request->adapter_version,
        .urgency = SkyProxyRequest_GetService(request)->engine.present
                       ? scale_urgency(request->urgency)
                       : NO_URGENCY,
        .owns_access_fields = SkyProxyRequest_HidesCredential(request),
        .workspace = request->workspace ? request->workspace->name : NULL,
        .resumes = request->event_stream.has_id,
        .resume_after = request->event_stream.last_id,
    };
    SkyWire_WriteRequest(out, SkyServerRequest_Head(request->caller_request),
                         body, size, &forward);
}

/* Shows which requests were sent by an old list of targets. */
static void
record_list_age(sky_proxy_request_t *request)
{
    const sky_proxy_options_t *options = &request->proxy->options;
    uint64_t read_ms = options->directory->targets_read_ms;
    request->list_age_ms = request->last_activity_ms - read_ms;
    SkyMetrics_Observe(options->metrics,
                       SkyProxyRequest_GetService(request)->name,
                       SKY_HIST_LIST_AGE, request->list_age_ms);
    if (request->list_age_ms > LIST_AGE_LOGGED_MS) {
        SkyLog_Write(LOG_NOTICE, "sent_by_old_list",
                     "id=%s target=%s list_age_ms=%llu", request->facts.id,
                     request->last_target_id,
                     (unsigned long long)request->list_age_ms);
    }
}

static void
send_request(sky_proxy_request_t *request, const sky_fleet_choice_t *choice)
{
    sky_proxy_t *proxy = request->proxy;
    sky_buffer_t request_bytes = {0};
    const sky_fleet_target_t *target = choice->target;
    uint64_t address = SkyClient_GetAddressKey(&target->entry.address);
    bool needs_new_connection = SkyAttempts_NeedsNewConnection(
        &request->attempts, target->hash, address);
    SkyProxyRequest_BeginSend(request, target->hash);
    SkyAttempts_RecordConnection(&request->attempts, target->hash, address);
    request->target = choice->target;
    snprintf(request->last_target_id, sizeof request->last_target_id, "%s",
             choice->target->entry.id);
    request->adapter_version = choice->version;
    request->last_activity_ms = SkyClock_NowMs();
    record_list_age(request);
    request->sent_ms = request->last_activity_ms;
    request->prompt_time_recorded = false;
    request->turn_target = 0;
    request->is_sent_by_turn =
        request->service_turn_target == choice->target->hash;
    request->service_turn_target = 0;
    request->first_sent_ms = request->first_sent_ms
                                 ? request->first_sent_ms
                                 : request->last_activity_ms;
    request->pace_since_us = 0;
    memcpy(request->sent_software, choice->target->entry.software,
           sizeof request->sent_software);
    SkyFleet_BeginRequest(request->target);
    SkyReachability_RecordSend(proxy->options.directory->reachability,
                               SkyProxyRequest_GetService(request)->name,
                               request->last_activity_ms);
    SkyProxyRequest_Count(request);
    write_request(request, &request_bytes);
    sky_client_request_options_t options = {
        .address = request->target->entry.address,
        .request = &request_bytes,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .max_idle_ms = SkyProxyRequest_GetIdleMaxMs(request),
        .is_head_request =
            SkyServerRequest_Head(request->caller_request)->method ==
            HTTP_HEAD,
        .is_new_connection = needs_new_connection,
        .echo_field = SkyWire_RequestIdFieldName(),
        .echo_value = request->facts.id,
        .exchange = &request->exchange,
        .events = SkyProxyRequest_ResponseEvents(),
        .context = request,
    };
    request->target_request = SkyClient_Send(proxy->options.client, &options);
    SkyBuffer_Clear(&request_bytes);
    if (request->target_request == NULL) {
        sky_send_evidence_t evidence = {.kind = SKY_SEND_UNSENT};
        SkyProxyRequest_EndExchange(request, SKY_EXCHANGE_INCONCLUSIVE,
                                    &evidence);
        SkyProxyRequest_Fail(request, RETRY_AFTER_FULL_MS, "memory");
        return;
    }
    if (SkyProxyRequest_GetService(request)->engine.present) {
        SkyPlacement_RecordRequestStart(proxy->options.placement,
                                        request->target,
                                        SkyProxyRequest_AdapterKey(request));
    }
}

static void
on_placement_result(void *context, const sky_placement_result_t *result)
{
    sky_proxy_request_t *request = context;
    request->placement_request = NULL;
    if (SkyPlacement_ApplyResult(request->proxy->options.placement, result) ==
        NULL) {
        if (SkyProxyRequest_TryPeer(request)) {
            return;
        }
        SkyProxyRequest_Fail(request, result->retry_after_ms,
                             result->placed ? "target_left" : result->reason);
        return;
    }
    SkyProxyRequest_Dispatch(request);
}

static sky_placement_spec_t
make_placement_spec(const sky_proxy_request_t *request,
                    const sky_fleet_query_t *query, uint64_t due_ms)
{
    return (sky_placement_spec_t){
        .query = *query,
        .version = SkyFleet_GetAnnouncedVersion(
            request->proxy->options.directory->fleet,
            SkyProxyRequest_AdapterKey(request)),
        .urgency = request->urgency.rank,
        .due_ms = due_ms,
        .is_under_way = SkyProxyRequest_IsUnderWay(request),
    };
}

static void
request_placement(sky_proxy_request_t *request, const sky_fleet_query_t *query)
{
    sky_proxy_t *proxy = request->proxy;
    sky_placement_spec_t placement_spec =
        make_placement_spec(request, query, request->deadline_at_ms);
    request->placement_count++;
    if (request->placement_count > SENDS_PER_REQUEST_MAX) {
        SkyProxyRequest_Fail(request, RETRY_AFTER_FULL_MS,
                             "adapter_keeps_leaving");
        return;
    }
    request->placement_request =
        SkyPlacement_Request(proxy->options.placement, &placement_spec,
                             on_placement_result, request);
    if (request->placement_request == NULL) {
        SkyProxyRequest_Fail(request, RETRY_AFTER_FULL_MS, "memory");
    }
}

/* Has further targets load the adapter, because the batches of those that hold
 * it fill up. */
static void
request_replicas(const sky_proxy_request_t *request,
                 const sky_fleet_query_t *query, uint32_t count)
{
    sky_proxy_t *proxy = request->proxy;
    sky_placement_spec_t placement_spec = make_placement_spec(
        request, query, SkyClock_NowMs() + CAPACITY_WAIT_MAX_MS);
    placement_spec.query.without_adapter = true;
    placement_spec.is_under_way = false; /* nobody waits for the replicas */
    placement_spec.query.allowed_count = 0;
    placement_spec.query.excluded_count = 0;
    SkyPlacement_RequestReplicas(proxy->options.placement, &placement_spec,
                                 count);
}

sky_fleet_query_t
SkyProxyRequest_BuildQuery(const sky_proxy_request_t *request)
{
    sky_target_query_options_t options = {
        .directory = request->proxy->options.directory,
        .route = SkyProxyRequest_GetRoute(request),
        .service = SkyProxyRequest_GetService(request),
        .facts = &request->facts,
        .software =
            request->has_stream_software ? request->stream_software : NULL,
        .tie_breaker = SkyProxyRequest_IdHash(request),
    };
    sky_fleet_query_t query = SkyTargetQuery_Make(&options);
    SkyAttempts_RestrictQuery(&request->attempts,
                              SkyProxyRequest_GetRoute(request)->targets_max,
                              &query);
    return query;
}

bool
SkyProxyRequest_HasEligibleTarget(const sky_proxy_request_t *request)
{
    const sky_fleet_t *fleet = request->proxy->options.directory->fleet;
    uint64_t now = SkyClock_NowMs();
    sky_fleet_query_t query = SkyProxyRequest_BuildQuery(request);
    sky_fleet_choice_t choice;
    sky_fleet_target_t *preferred;
    SkyFleet_ChooseTarget(fleet, &query, now, &choice);
    return choice.target != NULL || choice.has_full_brittle_target ||
           (choice.is_adapter_missing &&
            SkyFleet_RankPreferredTargets(fleet, &query, now, &preferred, 1) >
                0);
}

uint32_t
SkyProxyRequest_GetTargetWaitMs(const sky_proxy_request_t *request)
{
    uint64_t now = SkyClock_NowMs();
    sky_fleet_query_t query = SkyProxyRequest_BuildQuery(request);
    sky_fleet_choice_t choice;
    query.excluded_count = 0; /* a later attempt may go there again */
    query.allowed_count = 0;
    SkyFleet_ChooseTarget(request->proxy->options.directory->fleet, &query,
                          now, &choice);
    return choice.target == NULL
               ? SkyTime_LeftMs32(choice.limit_wait_until_ms, now)
               : 0;
}

/* Whether the chosen target's owner must first confirm that the target still
 * holds the adapter: the last report is too old to rely on. */
static bool
needs_owner_report(const sky_proxy_request_t *request,
                   const sky_fleet_choice_t *choice)
{
    return choice->target != NULL && request->facts.adapter[0] != '\0' &&
           SkyProxyRequest_GetService(request)->engine.present &&
           request->owner_report_count < OWNER_REPORTS_PER_REQUEST_MAX &&
           !SkyFleet_HasRecentOwnerReport(choice->target, SkyClock_NowMs());
}

static uint32_t
min_ms(uint64_t one, uint64_t other)
{
    return (uint32_t)(one < other ? one : other);
}

/* Returns how long the prompt can wait so that the request still meets its
 * objective, with as much time again for what comes after. */
static uint32_t
prompt_wait_max_ms(const sky_proxy_request_t *request, uint32_t read_ms)
{
    uint64_t now = SkyClock_NowMs();
    uint64_t spent_ms = now - request->received_ms + read_ms;
    uint64_t allowed_ms =
        SkyProxyRequest_GetRoute(request)->latency_objective_ms / 2;
    uint64_t left_ms = SkyTime_LeftMs(request->deadline_at_ms, now);
    return spent_ms < allowed_ms
               ? min_ms(min_ms(allowed_ms - spent_ms, left_ms / 2),
                        PROMPT_WAIT_MAX_MS)
               : 0;
}

/* Whether the prompt takes so long to read that the owner of the target must
 * say when it may be sent. */
static bool
needs_prompt_turn(const sky_proxy_request_t *request,
                  const sky_fleet_target_t *target, sky_prompt_turn_t *turn)
{
    if (target == NULL ||
        !SkyProxyRequest_GetService(request)->engine.present ||
        !SkyProxyRequest_GetRoute(request)->streaming ||
        request->turn_target == target->hash ||
        request->owner_report_count >= OWNER_REPORTS_PER_REQUEST_MAX) {
        return false;
    }
    const sky_prompt_times_t *times = SkyProxy_GetPromptTimes(
        request->proxy, SkyProxyRequest_GetService(request)->name);
    turn->interval_ms = SkyDeployment_GetEventIntervalMs(
        SkyProxyRequest_GetDeployment(request),
        SkyProxyRequest_GetService(request));
    turn->read_ms = times != NULL
                        ? min_ms(SkyPromptTimes_EstimateMs(
                                     times, request->facts.prompt_tokens),
                                 PROMPT_WAIT_MAX_MS)
                        : 0;
    turn->wait_max_ms = prompt_wait_max_ms(request, turn->read_ms);
    return turn->read_ms > turn->interval_ms / SHORT_PROMPTS_PER_INTERVAL &&
           turn->interval_ms > 0;
}

static void
on_owner_report(void *context, const sky_placement_result_t *result)
{
    sky_proxy_request_t *request = context;
    request->placement_request = NULL;
    request->turn_ms =
        SkyClock_NowMs() +
        min_ms(result->prompt_wait_ms, prompt_wait_max_ms(request, 0));
    SkyProxyRequest_Dispatch(request);
}

/* @param turn to take for the prompt; NULL: none */
static bool
request_owner_report(sky_proxy_request_t *request,
                     const sky_fleet_target_t *target,
                     const sky_prompt_turn_t *turn)
{
    sky_placement_t *placement = request->proxy->options.placement;
    request->owner_report_count++;
    if (turn != NULL) {
        request->turn_target = target->hash;
    }
    request->placement_request = SkyPlacement_RequestOwnerReport(
        placement, target, SkyProxyRequest_AdapterKey(request), turn,
        on_owner_report, request);
    if (request->placement_request == NULL && turn != NULL) {
        request->turn_ms = SkyClock_NowMs() + SkyPlacement_TakePromptTurn(
                                                  placement, target, turn);
    }
    return request->placement_request != NULL;
}

/* Chooses one target if it can still run the request. */
static bool
choose_only(const sky_proxy_request_t *request, const uint64_t *target,
            sky_fleet_query_t *query, sky_fleet_choice_t *choice)
{
    *query = SkyProxyRequest_BuildQuery(request);
    for (uint32_t i = 0; i < query->allowed_count; i++) {
        if (query->allowed[i] == *target) {
            query->allowed_count = 0; /* it stays within the route's bound */
        }
    }
    if (query->allowed_count > 0) {
        return false;
    }
    query->allowed = target;
    query->allowed_count = 1;
    SkyFleet_ChooseTarget(request->proxy->options.directory->fleet, query,
                          SkyClock_NowMs(), choice);
    return choice->target != NULL;
}

bool
SkyProxyRequest_TakesTurns(const sky_proxy_request_t *request)
{
    return !SkyProxyRequest_GetService(request)->engine.present &&
           SkyServiceTurns_AreNeeded(
               request->proxy->options.service_turns,
               SkyProxyRequest_GetService(request)->name);
}

/* Applies a turn that has come. @return whether the request goes on; else it
 * was refused and freed */
static bool
apply_service_turn(sky_proxy_request_t *request, const sky_turn_t *turn)
{
    if (turn->kind == SKY_TURN_REFUSED) {
        SkyProxyRequest_Fail(request, turn->retry_after_ms, "no_turn");
        return false;
    }
    if (turn->kind == SKY_TURN_GIVEN) {
        request->service_turn_target = turn->target;
    }
    else {
        request->service_turn_count = SERVICE_TURNS_MAX; /* goes on without */
    }
    return true;
}

static void
on_service_turn(void *context, const sky_turn_t *turn)
{
    sky_proxy_request_t *request = context;
    request->service_turn = NULL;
    if (apply_service_turn(request, turn)) {
        SkyProxyRequest_Dispatch(request);
    }
}

/* Takes a turn at a plain service that is short of capacity. @return whether
 * the request goes on now; else it waits for the turn, or was freed */
static bool
take_service_turn(sky_proxy_request_t *request)
{
    uint64_t now = SkyClock_NowMs();
    sky_turn_t turn;
    if (request->service_turn_target != 0 ||
        request->service_turn_count >= SERVICE_TURNS_MAX ||
        !SkyProxyRequest_TakesTurns(request)) {
        return true;
    }
    /* The owner does not know to which targets the route's bound leads back a
     * request that may have run. */
    if (SkyProxyRequest_BuildQuery(request).allowed_count > 0) {
        return true;
    }
    request->service_turn_count++;
    request->capacity_wait_since_ms = 0;
    const char *group = request->workspace != NULL
                            ? request->workspace->name
                            : SkyProxyRequest_GetRoute(request)->name;
    sky_turn_request_t spec = {
        .urgency = request->urgency.rank,
        .group = XXH3_64bits(group, strlen(group)),
        .objective_ms = SkyTime_LeftMs32(
            request->received_ms +
                SkyProxyRequest_GetRoute(request)->latency_objective_ms,
            now),
        .deadline_ms = SkyTime_LeftMs32(request->deadline_at_ms, now),
        .excluded = request->attempts.failed,
        .excluded_count = request->attempts.failed_count,
    };
    request->service_turn =
        SkyServiceTurns_Take(request->proxy->options.service_turns,
                             SkyProxyRequest_GetService(request)->name, &spec,
                             on_service_turn, request, &turn);
    return request->service_turn == NULL && apply_service_turn(request, &turn);
}

/* Chooses the target that a permit is held for, or at which the request or its
 * prompt has a turn, if it can still run the request, else any. */
static void
choose_target(sky_proxy_request_t *request, sky_fleet_query_t *query,
              sky_fleet_choice_t *choice)
{
    if (request->permitted_target != 0) {
        if (choose_only(request, &request->permitted_target, query, choice)) {
            return;
        }
        request->permitted_target = 0;
    }
    if (request->turn_target != 0) {
        if (choose_only(request, &request->turn_target, query, choice) &&
            choice->batch_utilization < BATCH_UTILIZATION_MAX) {
            return;
        }
        request->turn_target = 0;
    }
    if (request->service_turn_target != 0) {
        if (choose_only(request, &request->service_turn_target, query,
                        choice)) {
            return;
        }
        request->service_turn_target = 0;
    }
    *query = SkyProxyRequest_BuildQuery(request);
    SkyFleet_ChooseTarget(request->proxy->options.directory->fleet, query,
                          SkyClock_NowMs(), choice);
}

/* Whether the prompt's turn at the target is yet to come: then
 * SkyProxy_CheckOpenRequests() dispatches the request again.
 * @param has_waited it waited for the turn before: the log has a line */
static bool
wait_for_turn(sky_proxy_request_t *request, const sky_fleet_target_t *target,
              bool has_waited)
{
    uint64_t now = SkyClock_NowMs();
    if (target == NULL || target->hash != request->turn_target ||
        request->turn_ms <= now) {
        return false;
    }
    if (!has_waited) {
        SkyLog_Write(
            LOG_INFO, "prompt_waits", "id=%s target=%s tokens=%u wait_ms=%llu",
            request->facts.id, target->entry.id, request->facts.prompt_tokens,
            (unsigned long long)(request->turn_ms - now));
    }
    request->waits_for_turn = true;
    return true;
}

static void
on_permit(void *context, sky_rate_permit_t permit)
{
    sky_proxy_request_t *request = context;
    request->permit_request = NULL;
    if (permit != SKY_RATE_PERMIT_GRANTED) {
        request->permitted_target = 0;
    }
    SkyProxyRequest_Dispatch(request);
}

/* Acquires a permit if the target names a limit. Once it is denied, or the
 * owner has responded, the request is dispatched again.
 * Returns whether the request may be sent to the target now. */
static bool
acquire_permit(sky_proxy_request_t *request, sky_fleet_target_t *target)
{
    if (target->limit.per_s == 0.0 ||
        request->permitted_target == target->hash) {
        request->permitted_target = 0;
        return true;
    }
    request->permit_count++;
    if (request->permit_count > PERMITS_PER_REQUEST_MAX) {
        SkyProxyRequest_Fail(request, RETRY_AFTER_FULL_MS, "target_limited");
        return false;
    }
    request->permitted_target = target->hash;
    switch (SkyRatePermits_Acquire(request->proxy->options.rate_permits,
                                   target, on_permit, request,
                                   &request->permit_request)) {
    case SKY_RATE_PERMIT_GRANTED:
        request->permitted_target = 0;
        return true;
    case SKY_RATE_PERMIT_DENIED:
        request->permitted_target = 0;
        SkyProxyRequest_Dispatch(request);
        break;
    case SKY_RATE_PERMIT_PENDING:
        break;
    }
    return false;
}

/* Whether a target of the engine could load the adapter. */
static bool
can_be_placed(const sky_proxy_request_t *request,
              const sky_fleet_query_t *query)
{
    sky_fleet_target_t *preferred;
    return SkyFleet_RankPreferredTargets(
               request->proxy->options.directory->fleet, query,
               SkyClock_NowMs(), &preferred, 1) > 0;
}

static void
fail_limited(sky_proxy_request_t *request, uint64_t wait_until_ms)
{
    uint64_t now = SkyClock_NowMs();
    uint32_t wait_ms = SkyTime_LeftMs32(wait_until_ms, now);
    SkyProxyRequest_Fail(
        request, wait_ms > RETRY_AFTER_FULL_MS ? wait_ms : RETRY_AFTER_FULL_MS,
        "target_limited");
}

/* Ends and frees a request that is known to crash targets. */
static bool
fail_crashing(sky_proxy_request_t *request)
{
    const sky_directory_t *directory = request->proxy->options.directory;
    uint64_t now = SkyClock_NowMs();
    uint32_t retry_after_ms = 0;
    if (!request->is_crash_trial) {
        switch (SkyCrashWatch_Admit(directory->crashes, &request->identity,
                                    now, &retry_after_ms)) {
        case SKY_CRASH_ALLOWED:
            break;
        case SKY_CRASH_TRIAL:
            request->is_crash_trial = true;
            SkyLog_WriteClass(
                SKY_LOG_EVIDENCE, LOG_NOTICE, "quarantine",
                "state=trial fingerprint=%016llx variant=%016llx id=%s",
                (unsigned long long)request->identity.request,
                (unsigned long long)request->identity.variant,
                request->facts.id);
            break;
        case SKY_CRASH_REFUSED:
            SkyProxyRequest_Fail(request, retry_after_ms, "quarantined");
            return true;
        }
    }
    if (request->is_part_trial) {
        return false;
    }
    switch (SkyPartWatch_Admit(directory->parts, &request->facts, now,
                               &retry_after_ms)) {
    case SKY_PART_ALLOWED:
        return false;
    case SKY_PART_TRIAL:
        request->is_part_trial = true;
        return false;
    case SKY_PART_REFUSED:
        break;
    }
    SkyProxyRequest_Fail(request, retry_after_ms, "part_blamed");
    return true;
}

static void
on_resume_answers(void *context, const sky_resume_answers_t *answers)
{
    sky_proxy_request_t *request = context;
    request->stream_ask = NULL;
    request->resume_answers = *answers;
    SkyProxyRequest_Dispatch(request);
}

/* Shows on what grounds it was decided where a stream may go on. */
static void
log_resume(const sky_proxy_request_t *request, const sky_resume_t *resume)
{
    static const char *const DECISIONS[] = {
        [SKY_RESUME_AT_SOFTWARE] = "at_software",
        [SKY_RESUME_ASK_OTHERS] = "ask_others",
        [SKY_RESUME_READ_LIST] = "read_list",
        [SKY_RESUME_REFUSED] = "refused",
    };
    const sky_directory_t *directory = request->proxy->options.directory;
    const sky_resume_answers_t *answers = &request->resume_answers;
    SkyLog_Write(
        LOG_INFO, "stream_resume",
        "id=%s stream=%016llx decision=%s software=%s mixed=%d "
        "others_mixed=%d heard=%d list_age_ms=%llu",
        request->facts.id,
        (unsigned long long)SkyStreamSharing_HashId(request->facts.stream_id),
        DECISIONS[resume->kind],
        resume->kind == SKY_RESUME_AT_SOFTWARE ? resume->software : "-",
        SkyStreamVersions_IsMixed(directory->streams,
                                  SkyProxyRequest_GetService(request)->name,
                                  SkyClock_BootMs()),
        answers->know_mixed, answers->has_heard,
        (unsigned long long)(SkyClock_NowMs() - directory->targets_read_ms));
}

/* Settles at which software version a stream that the caller takes up may go
 * on. Returns false if it has to wait for other hosts, or was ended and freed.
 */
static bool
settle_resume(sky_proxy_request_t *request)
{
    if (request->may_resume || !request->facts.resumes ||
        !SkyProxyRequest_GetRoute(request)->streaming) {
        return true;
    }
    const sky_proxy_options_t *options = &request->proxy->options;
    const char *service = SkyProxyRequest_GetService(request)->name;
    uint64_t stream = SkyStreamSharing_HashId(request->facts.stream_id);
    request->resume_answers.has_newer_list =
        options->directory->targets_read_ms > request->received_ms;
    sky_resume_t resume = SkyStreamSharing_Decide(
        options->stream_sharing, service, stream, &request->resume_answers);
    if (resume.kind == SKY_RESUME_ASK_OTHERS) {
        request->stream_ask =
            SkyStreamSharing_Ask(options->stream_sharing, service, stream,
                                 on_resume_answers, request);
        if (request->stream_ask != NULL) {
            return false;
        }
        request->resume_answers.have_answered = true;
        resume = SkyStreamSharing_Decide(options->stream_sharing, service,
                                         stream, &request->resume_answers);
    }
    if (resume.kind != SKY_RESUME_READ_LIST) {
        log_resume(request, &resume); /* it is decided again after a read */
    }
    switch (resume.kind) {
    case SKY_RESUME_AT_SOFTWARE:
        snprintf(request->stream_software, sizeof request->stream_software,
                 "%s", resume.software);
        request->has_stream_software = true;
        break;
    case SKY_RESUME_READ_LIST:
        if (SkyFeed_ReadTargets(options->feed)) {
            request->waits_for_records = true;
            return false;
        }
        /* Nobody can read a newer one: what another host says will do. */
        if (request->resume_answers.has_heard &&
            !request->resume_answers.is_store_unreachable) {
            request->resume_answers.is_store_unreachable = true;
            return settle_resume(request);
        }
        /* fall through */
    case SKY_RESUME_ASK_OTHERS: /* they have been asked */
    case SKY_RESUME_REFUSED:
        SkyProxyRequest_Fail(request, RETRY_AFTER_START_MS, "stream_unknown");
        return false;
    }
    request->may_resume = true;
    return true;
}

/* Whether requests that came before wait for the same plain service. Without
 * this check a connection that pipelines gets each slot that it frees, and
 * waiting requests of others get none. */
static bool
must_queue(const sky_proxy_request_t *request)
{
    const sky_proxy_t *proxy = request->proxy;
    if (!proxy->has_capacity_waiters ||
        SkyProxyRequest_GetService(request)->engine.present ||
        request->capacity_wait_since_ms > 0 ||
        SkyProxyRequest_IsUnderWay(request)) {
        return false;
    }
    const sky_proxy_request_t *other;
    DL_FOREACH(proxy->requests, other)
    {
        if (SkyProxyRequest_GetService(other) ==
                SkyProxyRequest_GetService(request) &&
            other->capacity_wait_since_ms > 0 &&
            other->urgency.rank <= request->urgency.rank) {
            return true;
        }
    }
    return false;
}

void
SkyProxyRequest_Dispatch(sky_proxy_request_t *request)
{
    sky_fleet_query_t query;
    sky_fleet_choice_t choice;
    bool has_waited = request->waits_for_turn;
    request->waits_for_path = false;
    request->waits_for_turn = false;
    if (!SkyProxyRequest_MaySendAgain(request)) {
        SkyProxyRequest_Fail(request, 0, "not_repeatable");
        return;
    }
    request->waits_for_records =
        !SkyFeed_AreRecordsUsable(request->proxy->options.feed);
    if (request->waits_for_records) {
        return; /* SkyProxy_CheckOpenRequests() dispatches it again */
    }
    if (SkyProxyRequest_FailIfStopping(request) || fail_crashing(request) ||
        !SkyProxyRequest_HasAccess(request) ||
        (SkyProxyRequest_IsOutOfReach(request) &&
         SkyProxyRequest_TryPeer(request)) ||
        !settle_resume(request) || !take_service_turn(request)) {
        return;
    }
    choose_target(request, &query, &choice);
    if (choice.target == NULL && choice.has_blocked_target &&
        SkyProxyRequest_TryPeer(request)) {
        return;
    }
    bool has_no_room =
        (request->service_turn_target == 0 &&
         (choice.batch_utilization >= BATCH_UTILIZATION_MAX ||
          (choice.target != NULL && must_queue(request)))) ||
        (choice.target == NULL && choice.has_full_brittle_target);
    if (wait_for_turn(request, choice.target, has_waited)) {
        return;
    }
    sky_prompt_turn_t turn;
    bool needs_turn = choice.target != NULL && !has_no_room &&
                      needs_prompt_turn(request, choice.target, &turn);
    if ((needs_turn || needs_owner_report(request, &choice)) &&
        request_owner_report(request, choice.target,
                             needs_turn ? &turn : NULL)) {
        return;
    }
    request->capacity_wait_since_ms =
        has_no_room ? (request->capacity_wait_since_ms
                           ? request->capacity_wait_since_ms
                           : SkyClock_NowMs())
                    : 0;
    if (choice.extra_replicas > 0) {
        request_replicas(request, &query, choice.extra_replicas);
    }
    if (request->capacity_wait_since_ms > 0) {
        if (!SkyProxyRequest_GetService(request)->engine.present) {
            request->proxy->has_capacity_waiters = true;
        }
        return; /* SkyProxy_CheckOpenRequests() dispatches it again */
    }
    if (wait_for_turn(request, choice.target, has_waited)) {
        return;
    }
    if (choice.target != NULL) {
        if (acquire_permit(request, choice.target)) {
            send_request(request, &choice);
        }
    }
    else if (choice.limit_wait_until_ms > 0 &&
             !(choice.is_adapter_missing && can_be_placed(request, &query))) {
        fail_limited(request, choice.limit_wait_until_ms);
    }
    else if (choice.is_adapter_missing && choice.has_usable_target) {
        request_placement(request, &query);
    }
    else {
        SkyProxyRequest_Fail(request, RETRY_AFTER_START_MS,
                             choice.has_usable_target ? "no_other_target"
                             : query.software != NULL ? "software_gone"
                                                      : "no_target");
    }
}
