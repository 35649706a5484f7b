#include "edge/proxy_request.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/invariant.h"
#include "core/logging.h"
#include "core/time_left.h"
#include "decide/promise.h"

/** Checks of waiting requests because of free slots are a millisecond apart
 * for so many open requests, as each check takes time for all of them. */
#define OPEN_REQUESTS_PER_CHECK_MS 32
/** Max idle time of a connection that is reused for a request which must not
 *  run twice. On a connection that was idle for longer, the server's close is
 *  more likely to cross the request. */
#define NON_IDEMPOTENT_IDLE_MAX_MS 4000

#define RETRY_AFTER_JITTER_MS 300 /**< spreads callers' retries */
#define US_PER_MS 1000
#define RESPONSE_MIN_MS 20 /**< no target responds in less time */

const sky_request_match_t *
SkyProxyRequest_GetMatch(const sky_proxy_request_t *request)
{
    /* Allows the least that a request can be allowed. */
    static const sky_route_t NO_ROUTE = {.retry_policy =
                                             SKY_RETRY_AT_MOST_ONCE};
    static const sky_service_t NO_SERVICE = {.name = ""};
    static sky_deployment_t NO_DEPLOYMENT;
    static const sky_request_match_t NO_MATCH = {&NO_DEPLOYMENT, &NO_ROUTE,
                                                 &NO_SERVICE};
    bool is_routed = SkyProxyRequest_IsRouted(request);
    SKY_INVARIANT(SKY_INV_REQUEST_IS_ROUTED, is_routed);
    return is_routed ? &request->match : &NO_MATCH;
}

static sky_service_record_t *
find_or_add_record(sky_proxy_t *proxy, const char *service)
{
    sky_service_record_t *record;
    LL_FOREACH(proxy->service_records, record)
    {
        if (strcmp(record->service, service) == 0) {
            return record;
        }
    }
    record = calloc(1, sizeof *record);
    if (record != NULL) {
        snprintf(record->service, sizeof record->service, "%s", service);
        LL_PREPEND(proxy->service_records, record);
    }
    return record;
}

sky_retry_budget_t *
SkyProxy_GetRetryBudget(sky_proxy_t *proxy, const char *service)
{
    sky_service_record_t *record = find_or_add_record(proxy, service);
    return record != NULL ? &record->retry_budget : NULL;
}

sky_prompt_times_t *
SkyProxy_GetPromptTimes(sky_proxy_t *proxy, const char *service)
{
    sky_service_record_t *record = find_or_add_record(proxy, service);
    return record != NULL ? &record->prompt_times : NULL;
}

uint64_t
SkyProxyRequest_IdHash(const sky_proxy_request_t *request)
{
    return XXH3_64bits(request->facts.id, strlen(request->facts.id));
}

uint64_t
SkyProxyRequest_RouteHash(const sky_proxy_request_t *request)
{
    const char *name = SkyProxyRequest_GetRoute(request)->name;
    return XXH3_64bits(name, strlen(name));
}

sky_adapter_key_t
SkyProxyRequest_AdapterKey(const sky_proxy_request_t *request)
{
    return SkyFleet_MakeAdapterKey(request->facts.model,
                                   request->facts.adapter);
}

uint64_t
SkyProxyRequest_EventCount(const sky_proxy_request_t *request)
{
    return request->event_stream.event_count - request->events_before;
}

void
SkyProxyResponse_Clear(sky_proxy_response_t *response)
{
    SkyBuffer_Clear(&response->header_fields);
    SkyBuffer_Clear(&response->body);
    *response = (sky_proxy_response_t){0};
}

void
SkyProxyRequest_UpdateMemoryShare(sky_proxy_request_t *request)
{
    SkyMemoryShare_Update(
        request->proxy->options.memory_share, &request->held_bytes,
        SkyBuffer_Size(&request->response.body) +
            SkyBuffer_Size(&request->event_stream.partial_event));
}

/* Without a route nothing was sent, and the strictest policy holds. */
static sky_retry_policy_t
get_retry_policy(const sky_proxy_request_t *request)
{
    return SkyProxyRequest_IsRouted(request)
               ? SkyProxyRequest_GetRoute(request)->retry_policy
               : SKY_RETRY_AT_MOST_ONCE;
}

bool
SkyProxyRequest_MayHaveRun(const sky_proxy_request_t *request)
{
    return SkySendAccount_MayHaveRun(&request->sends);
}

bool
SkyProxyRequest_MaySendAgain(const sky_proxy_request_t *request)
{
    return SkySendAccount_MaySendAgain(&request->sends,
                                       get_retry_policy(request));
}

uint32_t
SkyProxyRequest_GetIdleMaxMs(const sky_proxy_request_t *request)
{
    return get_retry_policy(request) == SKY_RETRY_AT_MOST_ONCE
               ? NON_IDEMPOTENT_IDLE_MAX_MS
               : 0;
}

void
SkyProxyRequest_BeginSend(sky_proxy_request_t *request, uint64_t sent_to)
{
    SKY_INVARIANT(SKY_INV_ONE_EXCHANGE, request->target_request == NULL &&
                                            request->target == NULL &&
                                            request->peer[0] == '\0');
    SKY_INVARIANT(SKY_INV_NO_SEND_AFTER_RUN,
                  SkyProxyRequest_MaySendAgain(request));
    SkySendAccount_Begin(&request->sends);
    SkyAttempts_RecordSent(&request->attempts, sent_to);
    request->sent_to = sent_to;
    request->send_count++;
    request->events_before = request->event_stream.event_count;
    request->answer_recorded = false;
    request->response.facts = (sky_response_facts_t){.not_run = false};
    request->response.stated = (sky_send_response_t){.status = 0};
    request->response.is_invalid = false;
}

/* Gives a freed slot to a waiting request without the delay of the timer. */
static void
dispatch_waiting_soon(sky_proxy_t *proxy)
{
    if (proxy->has_capacity_waiters &&
        SkyClock_NowMs() >=
            proxy->last_check_ms +
                proxy->open_count / OPEN_REQUESTS_PER_CHECK_MS) {
        proxy->last_check_ms = SkyClock_NowMs();
        ev_feed_event(proxy->options.loop, &proxy->check_timer, EV_TIMER);
    }
}

void
SkyProxyRequest_EndExchange(sky_proxy_request_t *request,
                            sky_exchange_result_t result,
                            const sky_send_evidence_t *evidence)
{
    sky_proxy_t *proxy = request->proxy;
    if (SkySendAccount_End(&request->sends, get_retry_policy(request),
                           evidence)) {
        SkyAttempts_RecordNotRun(&request->attempts, request->sent_to);
    }
    if (evidence->kind == SKY_SEND_UNSENT) {
        SkyAttempts_RecordUnsent(&request->attempts);
    }
    if (request->peer[0] != '\0') {
        SkyReachability_RecordPeerEnd(
            proxy->options.directory->reachability,
            SkyProxyRequest_GetService(request)->name, request->peer,
            result != SKY_EXCHANGE_UNREACHABLE);
        request->peer[0] = '\0';
    }
    if (request->target != NULL) {
        if (SkyProxyRequest_GetService(request)->engine.present) {
            SkyPlacement_RecordRequestEnd(proxy->options.placement,
                                          request->target,
                                          SkyProxyRequest_AdapterKey(request));
        }
        else {
            SkyServiceTurns_RecordEnd(
                proxy->options.service_turns, request->target, result,
                (uint32_t)(SkyClock_NowMs() - request->sent_ms));
        }
        SkyReachability_RecordEnd(proxy->options.directory->reachability,
                                  SkyProxyRequest_GetService(request)->name,
                                  SkyClock_NowMs());
        SkyFleet_EndRequest(proxy->options.directory->fleet, request->target,
                            result, SkyClock_NowMs());
        request->target = NULL;
        dispatch_waiting_soon(proxy);
    }
    request->target_request = NULL;
}

void
SkyProxyRequest_HoldSlot(const sky_proxy_request_t *request)
{
    if (request->target != NULL) {
        SkyFleet_HoldSlot(request->target, request->deadline_at_ms);
    }
}

sky_send_evidence_t
SkyProxyRequest_CancelExchange(sky_proxy_request_t *request)
{
    sky_send_evidence_t evidence = {.kind = SKY_SEND_UNSENT};
    if (SkyClientRequest_HasSentBytes(request->target_request)) {
        evidence.kind = SKY_SEND_NO_ANSWER;
        SkyProxyRequest_HoldSlot(request);
    }
    SkyClientRequest_Cancel(request->target_request);
    request->target_request = NULL;
    return evidence;
}

void
SkyProxyRequest_CancelPending(sky_proxy_request_t *request)
{
    if (request->placement_request != NULL) {
        SkyPlacement_Cancel(request->placement_request);
        request->placement_request = NULL;
    }
    if (request->permit_request != NULL) {
        SkyRatePermits_Cancel(request->permit_request);
        request->permit_request = NULL;
    }
    if (request->quota_request != NULL) {
        SkyQuotaSharing_Cancel(request->quota_request);
        request->quota_request = NULL;
        request->quota_cost = 0; /* not charged yet */
    }
    if (request->service_turn != NULL) {
        SkyServiceTurns_Cancel(request->service_turn);
        request->service_turn = NULL;
    }
    if (request->stream_ask != NULL) {
        SkyStreamSharing_CancelAsk(request->stream_ask);
        request->stream_ask = NULL;
    }
    if (request->target_request != NULL) {
        sky_send_evidence_t evidence = SkyProxyRequest_CancelExchange(request);
        SkyProxyRequest_EndExchange(request, SKY_EXCHANGE_INCONCLUSIVE,
                                    &evidence);
    }
}

sky_log_class_t
SkyProxyRequest_GetLogClass(const sky_proxy_request_t *request,
                            uint16_t status)
{
    if (!SkyProxyRequest_IsRouted(request) ||
        SkyProxyRequest_GetRoute(request)->retry_policy !=
            SKY_RETRY_AT_MOST_ONCE ||
        request->send_count == 0) {
        return SKY_LOG_ORDINARY;
    }
    bool is_sent_again = request->send_count > 1;
    bool is_refused =
        request->response.facts.not_run || SkyPromise_IsMadeBy(status);
    bool has_foreign_bytes = request->exchange.foreign_count > 0;
    bool target_says_not_run = SkyPromise_IsMadeBy(request->exchange.status);
    return is_sent_again || is_refused || has_foreign_bytes ||
                   target_says_not_run
               ? SKY_LOG_EVIDENCE
               : SKY_LOG_ORDINARY;
}

/* Returns -1 for an event that has not happened (at_ms is 0). */
static long long
ms_since_received(const sky_proxy_request_t *request, uint64_t at_ms)
{
    return at_ms > 0 ? (long long)(at_ms - request->received_ms) : -1;
}

void
SkyProxyRequest_LogEnd(const sky_proxy_request_t *request, int priority,
                       uint16_t status, const char *outcome,
                       const char *reason)
{
    const sky_request_match_t *match = &request->match;
    SkyLog_WriteClass(
        SkyProxyRequest_GetLogClass(request, status), priority, "request_end",
        "id=%s route=%s service=%s adapter=%s/%s target=%s status=%u "
        "outcome=%s "
        "reason=%s ms=%llu sent_ms=%lld first_ms=%lld sends=%u asks=%u "
        "config=%llu fingerprint=%016llx software=%s sent_software=%s "
        "resumes=%d list_age_ms=%llu workspace=%s urgency=%u",
        request->facts.id, match->route ? match->route->name : "-",
        match->service ? match->service->name : "-",
        request->facts.model[0] ? request->facts.model : "-",
        request->facts.adapter[0] ? request->facts.adapter : "-",
        request->last_target_id[0] ? request->last_target_id : "-", status,
        outcome, reason,
        (unsigned long long)(SkyClock_NowMs() - request->received_ms),
        ms_since_received(request, request->first_sent_ms),
        ms_since_received(request, request->relay_started_ms),
        request->send_count, request->placement_count,
        (unsigned long long)(match->deployment ? match->deployment->version
                                               : 0),
        (unsigned long long)request->identity.request,
        request->has_stream_software ? request->stream_software : "-",
        request->sent_software[0] ? request->sent_software : "-",
        request->facts.resumes, (unsigned long long)request->list_age_ms,
        request->workspace ? request->workspace->name : "-",
        request->urgency.rank);
}

static void
count_response(const sky_proxy_request_t *request, const char *code)
{
    sky_metrics_t *metrics = request->proxy->options.metrics;
    SkyMetrics_CountResponse(
        metrics, request->match.service ? request->match.service->name : "-",
        code);
    if (request->workspace != NULL) {
        SkyMetrics_CountResponse(metrics, request->workspace->name, code);
    }
}

void
SkyProxyRequest_Free(sky_proxy_request_t *request)
{
    sky_proxy_t *proxy = request->proxy;
    SkyProxyRequest_CancelPending(request);
    if (!SkyProxyRequest_MayHaveRun(request)) {
        SkyProxyRequest_RefundQuota(request);
    }
    ev_timer_stop(proxy->options.loop, &request->deadline_timer);
    if (SkyProxyRequest_IsRouted(request)) {
        DL_DELETE(proxy->requests, request);
    }
    else {
        DL_DELETE(proxy->unrouted, request);
    }
    proxy->open_count--;
    SkyProxyResponse_Clear(&request->response);
    SkyEventStream_Clear(&request->event_stream);
    SkyProxyRequest_UpdateMemoryShare(request);
    SkyDeployment_Release(request->access);
    SkyDeployment_Release(request->charged);
    SkyDeployment_Release(request->match.deployment);
    free(request);
}

bool
SkyProxyRequest_IsOutOfReach(const sky_proxy_request_t *request)
{
    return SkyProxyRequest_IsRouted(request) &&
           SkyReachability_IsDoubted(
               request->proxy->options.directory->reachability,
               SkyProxyRequest_GetService(request)->name, SkyClock_NowMs());
}

/* Returns what a response of this host's own says to the host that passed the
 * request on. */
static sky_hop_outcome_t
get_hop_outcome(const sky_proxy_request_t *request)
{
    if (SkyProxyRequest_MayHaveRun(request)) {
        return SKY_HOP_UNKNOWN;
    }
    return SkyProxyRequest_IsOutOfReach(request) ? SKY_HOP_NOT_REACHED
                                                 : SKY_HOP_NOT_RUN;
}

/* All statuses that go out to the caller pass here. */
static uint16_t
check_status(const sky_proxy_request_t *request, uint16_t status,
             bool is_targets)
{
    sky_send_status_t query = {
        .status = status,
        .is_targets = is_targets,
        .is_past_deadline = request->deadline_at_ms > 0 &&
                            SkyClock_NowMs() >= request->deadline_at_ms,
        .retry_policy = get_retry_policy(request),
    };
    return SkySendAccount_CheckStatus(&request->sends, &query);
}

uint16_t
SkyProxyRequest_CheckTargetStatus(const sky_proxy_request_t *request)
{
    return check_status(request, request->response.status, true);
}

void
SkyProxyRequest_RespondError(sky_proxy_request_t *request, uint16_t status,
                             uint32_t retry_after_ms, const char *reason)
{
    sky_buffer_t header_fields = {0};
    uint16_t allowed_status = check_status(request, status, false);
    SKY_INVARIANT(SKY_INV_PROMISE_IS_PROVED, allowed_status == status);
    if (allowed_status != status) {
        status = allowed_status;
        retry_after_ms = 0;
    }
    sky_hop_response_t hop = {.outcome = get_hop_outcome(request),
                              .retry_after_ms = retry_after_ms};
    hop.is_proved = hop.outcome != SKY_HOP_UNKNOWN;
    if (request->is_forwarded && hop.is_proved) {
        SkyProxyRequest_Uncount(request);
    }
    if (hop.is_proved) {
        SkyProxyRequest_RefundQuota(request);
    }
    SkyProxyRequest_WriteHopResponse(request, &header_fields, &hop);
    if (retry_after_ms > 0) {
        retry_after_ms += (uint32_t)(SkyProxyRequest_IdHash(request) %
                                     RETRY_AFTER_JITTER_MS);
    }
    SkyWire_WriteLocalResponseFields(&header_fields, request->facts.id,
                                     retry_after_ms);
    SkyProxyRequest_LogEnd(request, LOG_NOTICE, status, "refused", reason);
    count_response(request, reason);
    SkyServerRequest_Respond(request->caller_request, status,
                             SkyBuffer_Data(&header_fields), "", 0);
    SkyBuffer_Clear(&header_fields);
    SkyProxyRequest_Free(request);
}

void
SkyProxyRequest_Fail(sky_proxy_request_t *request, uint32_t retry_after_ms,
                     const char *reason)
{
    if (request->response_started) {
        SkyProxyRequest_LogEnd(request, LOG_NOTICE, request->response.status,
                               "broken_off", reason);
        SkyServerRequest_Abort(request->caller_request);
        SkyProxyRequest_Free(request);
    }
    else if (SkyProxyRequest_MayHaveRun(request)) {
        bool deadline_passed = SkyClock_NowMs() >= request->deadline_at_ms;
        SkyProxyRequest_RespondError(request, deadline_passed ? 504 : 502, 0,
                                     reason);
    }
    else {
        SkyProxyRequest_RespondError(
            request, 503,
            retry_after_ms ? retry_after_ms : RETRY_AFTER_FULL_MS, reason);
    }
}

static sky_stop_kind_t
get_stop_kind(const sky_route_t *route)
{
    if (route->retry_policy == SKY_RETRY_AT_MOST_ONCE) {
        return SKY_STOP_KIND_ONCE;
    }
    return route->streaming ? SKY_STOP_KIND_RESUMABLE
                            : SKY_STOP_KIND_REPEATABLE;
}

bool
SkyProxyRequest_FailIfStopping(sky_proxy_request_t *request)
{
    const sky_proxy_t *proxy = request->proxy;
    if (!proxy->is_stopping || request->target_request != NULL ||
        SkyProxyRequest_MayHaveRun(request) || request->response_started) {
        return false;
    }
    sky_stop_request_t stopped = {
        .route = SkyProxyRequest_RouteHash(request),
        .kind = get_stop_kind(SkyProxyRequest_GetRoute(request)),
        .limit_ms = request->deadline_at_ms - request->received_ms,
        .ends_at_ms = request->deadline_at_ms,
    };
    if (SkyStopAdmission_EndsInTime(proxy->stop_admission, &proxy->stop_times,
                                    &stopped, SkyClock_NowMs())) {
        return false;
    }
    SkyProxyRequest_CancelPending(request);
    SkyProxyRequest_Fail(request, RETRY_AFTER_STOPPING_MS, "stopping");
    return true;
}

void
SkyProxyRequest_RecordResponse(const sky_proxy_request_t *request)
{
    sky_metrics_t *metrics = request->proxy->options.metrics;
    uint16_t status = request->response.status;
    SkyProxyRequest_LogEnd(request, LOG_INFO, status, "answered", "-");
    count_response(request, status < 400 ? "ok" : "target_failure");
    uint64_t now_ms = SkyClock_NowMs();
    uint64_t duration_ms = now_ms - request->received_ms;
    SkyMetrics_Observe(metrics, SkyProxyRequest_GetService(request)->name,
                       SKY_HIST_TOTAL, duration_ms);
    if (request->workspace != NULL) {
        SkyMetrics_Observe(metrics, request->workspace->name, SKY_HIST_TOTAL,
                           duration_ms);
    }
    SkyStopAdmission_RecordResponse(request->proxy->stop_admission,
                                    SkyProxyRequest_RouteHash(request),
                                    duration_ms, now_ms);
}

void
SkyProxyRequest_ForwardResponse(sky_proxy_request_t *request)
{
    sky_proxy_response_t *response = &request->response;
    uint16_t status = SkyProxyRequest_CheckTargetStatus(request);
    if (status != response->status) {
        SkyProxyRequest_RespondError(request, status, 0, "unproved_refusal");
        return;
    }
    SkyProxyRequest_RecordResponse(request);
    SkyServerRequest_Respond(request->caller_request, response->status,
                             SkyBuffer_Data(&response->header_fields),
                             SkyBuffer_Data(&response->body),
                             SkyBuffer_Size(&response->body));
    SkyProxyRequest_Free(request);
}

void
SkyProxyRequest_Count(sky_proxy_request_t *request)
{
    sky_retry_budget_t *budget = SkyProxy_GetRetryBudget(
        request->proxy, SkyProxyRequest_GetService(request)->name);
    if (budget != NULL && !request->is_counted) {
        SkyRetryBudget_RecordRequest(budget, &request->proxy->retry_options,
                                     SkyClock_NowMs());
        request->is_counted = true;
    }
}

void
SkyProxyRequest_Uncount(sky_proxy_request_t *request)
{
    if (request->is_counted) {
        SkyRetryBudget_RemoveRequest(
            SkyProxy_GetRetryBudget(request->proxy,
                                    SkyProxyRequest_GetService(request)->name),
            &request->proxy->retry_options, SkyClock_NowMs());
        request->is_counted = false;
    }
}

/* Whether the response that the caller has a part of, if any, can go on with
 * that of another target: only that to a stream begins where it is told to. */
static bool
can_continue_response(const sky_proxy_request_t *request)
{
    const sky_event_stream_t *stream = &request->event_stream;
    return !request->response_started ||
           (request->response.is_event_stream &&
            (stream->event_count == 0 || stream->has_id));
}

static bool
has_retry_left(const sky_proxy_request_t *request, uint64_t now)
{
    sky_proxy_t *proxy = request->proxy;
    sky_retry_budget_t *budget = SkyProxy_GetRetryBudget(
        proxy, SkyProxyRequest_GetService(request)->name);
    uint32_t hosts = proxy->options.directory->host_count;
    if (budget == NULL) {
        return false;
    }
    return SkyProxyRequest_IsUnderWay(request)
               ? SkyRetryBudget_CanContinue(budget, &proxy->retry_options,
                                            hosts, now)
               : SkyRetryBudget_CanRetry(budget, &proxy->retry_options, hosts,
                                         now);
}

const char *
SkyProxyRequest_GetRetryObstacle(const sky_proxy_request_t *request)
{
    sky_proxy_t *proxy = request->proxy;
    uint64_t now = SkyClock_NowMs();
    if (!SkyProxyRequest_MaySendAgain(request)) {
        return "not_repeatable";
    }
    if (!can_continue_response(request)) {
        return "response_begun";
    }
    if (request->send_count >= SENDS_PER_REQUEST_MAX) {
        return "sends";
    }
    if (SkyCrashWatch_IsQuarantined(proxy->options.directory->crashes,
                                    &request->identity)) {
        return "quarantined";
    }
    if (SkyPartWatch_IsBlamed(proxy->options.directory->parts,
                              &request->facts)) {
        return "part_blamed";
    }
    if (!SkyProxyRequest_HasEligibleTarget(request) &&
        !SkyProxyRequest_CanUsePeer(request)) {
        return "no_other_target";
    }
    if (now + RESPONSE_MIN_MS >= request->deadline_at_ms) {
        return "time";
    }
    if (request->attempts.last_send_arrived && !has_retry_left(request, now)) {
        return "budget";
    }
    return NULL;
}

void
SkyProxyRequest_RetryOrFail(sky_proxy_request_t *request,
                            uint32_t retry_after_ms, const char *reason)
{
    sky_proxy_t *proxy = request->proxy;
    uint64_t now = SkyClock_NowMs();
    const char *obstacle = SkyProxyRequest_GetRetryObstacle(request);
    SkyLog_WriteClass(
        SkyProxyRequest_GetLogClass(request, 0), LOG_NOTICE, "repeat",
        "id=%s reason=%s allowed=%s sends=%u left_ms=%u", request->facts.id,
        reason, obstacle ? obstacle : "yes", request->send_count,
        SkyTime_LeftMs32(request->deadline_at_ms, now));
    if (obstacle == NULL) {
        if (request->attempts.last_send_arrived) {
            SkyRetryBudget_AcquireRetry(
                SkyProxy_GetRetryBudget(
                    proxy, SkyProxyRequest_GetService(request)->name),
                &proxy->retry_options, proxy->options.directory->host_count,
                now);
        }
        SkyEventStream_DiscardPartial(&request->event_stream);
        if (!request->response_started) {
            SkyProxyResponse_Clear(&request->response);
        }
        SkyProxyRequest_UpdateMemoryShare(request);
        SkyProxyRequest_Dispatch(request);
    }
    else if (!request->response_started && request->response.status >= 500 &&
             request->response.is_whole && request->response.facts.sealed &&
             !request->response.facts.not_run) {
        /* An error response that the target itself sent. */
        SkyProxyRequest_ForwardResponse(request);
    }
    else {
        SkyProxyRequest_Fail(request, retry_after_ms, reason);
    }
}

bool
SkyProxyRequest_LacksBody(const sky_proxy_request_t *request)
{
    const sky_proxy_response_t *response = &request->response;
    bool may_have_body =
        response->status != 204 && response->status != 304 &&
        SkyServerRequest_Head(request->caller_request)->method != HTTP_HEAD;
    return may_have_body && !response->is_framed && response->status < 400 &&
           response->body_bytes == 0;
}

void
SkyProxyRequest_RecordCrashEvidence(const sky_proxy_request_t *request,
                                    sky_exchange_end_kind_t kind)
{
    const sky_proxy_response_t *response = &request->response;
    const sky_fleet_target_t *target = request->target;
    sky_exchange_end_t end = {
        .kind = kind,
        .has_target = target != NULL,
        .response = {
            .status = response->status,
            .is_targets = target != NULL ||
                          request->hop_response.outcome == SKY_HOP_TARGET,
            .is_refusal =
                response->facts.not_run || response->facts.wrong_target,
            .is_sealed = response->facts.sealed,
            .is_framed = response->is_framed,
            .lacks_body = SkyProxyRequest_LacksBody(request),
            .ends_in_event =
                SkyBuffer_Size(&request->event_stream.partial_event) > 0,
        }};
    sky_crash_exchange_t exchange = {
        .identity = &request->identity,
        .target = target != NULL ? (uint32_t)target->hash : 0,
        .epoch = target != NULL ? target->entry.started_unix_ms : 0,
        .sent_ms = request->sent_ms,
        .evidence = SkyCrashEvidence_Judge(&end),
    };
    if (!SkyCrashWatch_RecordExchange(
            request->proxy->options.directory->crashes, &exchange,
            SkyClock_NowMs())) {
        SkyLog_Write(LOG_WARNING, "crash_ignored", "id=%s reason=full",
                     request->facts.id);
    }
}

void
SkyProxyRequest_RecordPromptTime(sky_proxy_request_t *request)
{
    uint64_t first_event_ms = SkyClock_NowMs() - request->sent_ms;
    /* Slower ones waited for something else than their prompts. */
    bool is_typical = first_event_ms <=
                      SkyProxyRequest_GetRoute(request)->latency_objective_ms;
    if (request->prompt_time_recorded || request->target == NULL ||
        !SkyProxyRequest_GetService(request)->engine.present ||
        request->facts.resumes || request->events_before > 0 || !is_typical) {
        return;
    }
    request->prompt_time_recorded = true;
    sky_prompt_times_t *times = SkyProxy_GetPromptTimes(
        request->proxy, SkyProxyRequest_GetService(request)->name);
    if (times != NULL) {
        sky_prompt_sample_t sample = {request->facts.prompt_tokens,
                                      (uint32_t)first_event_ms};
        SkyPromptTimes_Record(times, &sample);
    }
}

void
SkyProxyRequest_RecordEvents(sky_proxy_request_t *request,
                             uint64_t event_count)
{
    sky_fleet_target_t *target = request->target;
    if (target == NULL ||
        !SkyProxyRequest_GetService(request)->engine.present ||
        event_count == 0) {
        return;
    }
    /* While a caller is slow, events wait for it and not for the target. */
    bool is_paused = SkyServerRequest_IsCallerSlow(request->caller_request);
    uint64_t now_us = SkyClock_NowUs();
    uint64_t now_ms = SkyClock_NowMs();
    if (request->pace_since_us > 0 && event_count <= UINT32_MAX) {
        uint64_t work_us =
            SkyTargetPace_NormalizeUs(now_us - request->pace_since_us,
                                      SkyFleet_GetUtilization(target, now_ms));
        sky_pace_sample_t sample = {(uint32_t)event_count, work_us};
        SkyTargetPace_Record(&target->pace, &sample, now_ms);
    }
    request->pace_since_us = is_paused ? 0 : now_us;
}

void
SkyProxyRequest_RecordDuration(const sky_proxy_request_t *request)
{
    if (request->target == NULL ||
        SkyProxyRequest_GetService(request)->engine.present ||
        request->response.status >= 400) {
        return;
    }
    uint64_t now_ms = SkyClock_NowMs();
    sky_pace_sample_t sample = {1, (now_ms - request->sent_ms) * US_PER_MS};
    SkyTargetPace_Record(&request->target->pace, &sample, now_ms);
}

void
SkyProxyRequest_RecordFirstEvent(sky_proxy_request_t *request)
{
    if (request->has_stream_software) {
        return;
    }
    request->has_stream_software = true;
    memcpy(request->stream_software, request->sent_software,
           sizeof request->stream_software);
    if (request->facts.stream_id[0] == '\0' ||
        SkyProxyRequest_GetRoute(request)->retry_policy != SKY_RETRY_RESUME) {
        return; /* nobody can take it up */
    }
    if (request->peer[0] != '\0' && request->sent_software[0] == '\0') {
        return; /* a peer of an earlier build does not say */
    }
    sky_stream_version_t stream = {
        .stream = SkyStreamSharing_HashId(request->facts.stream_id)};
    snprintf(stream.service, sizeof stream.service, "%s",
             SkyProxyRequest_GetService(request)->name);
    memcpy(stream.software, request->stream_software, sizeof stream.software);
    SkyStreamVersions_RecordStream(request->proxy->options.directory->streams,
                                   &stream, true, SkyClock_BootMs());
}

void
SkyProxyRequest_RecordAnswer(sky_proxy_request_t *request)
{
    if (!request->answer_recorded) {
        request->answer_recorded = true;
        SkyPartWatch_RecordAnswer(request->proxy->options.directory->parts,
                                  &request->facts, SkyClock_NowMs());
    }
}

void
SkyProxyRequest_SuspectParts(const sky_proxy_request_t *request)
{
    if (request->target == NULL) {
        return; /* as above */
    }
    sky_target_run_t run = {(uint32_t)request->target->hash,
                            request->target->entry.started_unix_ms};
    if (!request->answer_recorded) {
        SkyPartWatch_RecordBrokenExchange(
            request->proxy->options.directory->parts, &request->facts, &run,
            SkyClock_NowMs());
    }
}

/* Writes the ids of the prompt parts that requests may share, separated by
 * commas; "-" if there are none. */
static void
format_shared_parts(const sky_request_facts_t *facts, char *text, size_t size)
{
    uint32_t count = SkyRequestFacts_SharedPartCount(facts);
    size_t length = 0;
    snprintf(text, size, "-");
    for (uint32_t i = 0; i < count && length < size; i++) {
        length += (size_t)snprintf(text + length, size - length, "%s%llx",
                                   i > 0 ? "," : "",
                                   (unsigned long long)facts->parts[i].id);
    }
}

void
SkyProxyRequest_LogExchangeFailure(const sky_proxy_request_t *request,
                                   const char *cause)
{
    char parts[SKY_PROMPT_PARTS_MAX * 17 + 1];
    format_shared_parts(&request->facts, parts, sizeof parts);
    const sky_client_exchange_t *exchange = &request->exchange;
    SkyLog_WriteClass(
        SkyProxyRequest_GetLogClass(request, 0), LOG_NOTICE, "sending_end",
        "id=%s fingerprint=%016llx parts=%s target=%s how=%s status=%u "
        "events=%llu not_run=%d bad=%d failure=%.2f in_flight=%u "
        "read_status=%u id_echo=%s reused=%d served=%u sent=%s "
        "sent_bytes=%llu foreign=%u sends=%u",
        request->facts.id, (unsigned long long)request->identity.request,
        parts, request->target ? request->target->entry.id : request->peer,
        cause, request->response.status,
        (unsigned long long)SkyProxyRequest_EventCount(request),
        request->response.facts.not_run, request->response.is_invalid,
        request->target ? request->target->failure : 0.0,
        request->target ? request->target->in_flight : 0, exchange->status,
        SkyClient_EchoName(exchange->echo), exchange->is_reused,
        exchange->served_before, SkyClient_SentName(exchange->sent),
        (unsigned long long)exchange->sent_bytes, exchange->foreign_count,
        request->send_count);
}

void
SkyProxyRequest_LogUnprovedRefusal(const sky_proxy_request_t *request)
{
    if (SkyProxyRequest_CheckTargetStatus(request) !=
        request->response.status) {
        SkyProxyRequest_LogExchangeFailure(request, "unproved_refusal");
    }
}
