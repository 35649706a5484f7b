#include "edge/proxy_request.h"

#include <string.h>

#include "core/clock.h"
#include "core/logging.h"

/** Responses up to this size are buffered whole before any byte is passed on,
 *  so that the request can still be retried if the response is cut short. */
#define BUFFERED_RESPONSE_MAX_BYTES (256u * 1024u)
#define STATUS_FIRST_ERROR 400
#define STATUS_FIRST_TARGET_ERROR 500
/** Larger events are taken for bytes without end. */
#define EVENT_MAX_BYTES (1024u * 1024u)

/** Events after which an answer is past its start. The first one may be the
 *  last that a target writes before it crashes. */
#define START_EVENTS 2

static void
record_activity(sky_proxy_request_t *request)
{
    request->last_activity_ms = SkyClock_NowMs();
    if (request->target != NULL) {
        SkyReachSharing_RecordByte(request->proxy->options.reach_sharing,
                                   request->target);
    }
}

/* Records what the target says of itself. A response with status 421 may be
 * that of another target. */
static void
record_target_facts(const sky_proxy_request_t *request,
                    const sky_response_facts_t *facts)
{
    if (facts->wrong_target || request->target == NULL) {
        return;
    }
    SkyRatePermits_RecordLimit(request->proxy->options.rate_permits,
                               request->target, facts->limit_per_s);
    if (facts->has_pause) {
        SkyFleet_RecordPause(request->target, facts->pause_ms,
                             SkyClock_NowMs());
        SkyLog_Write(LOG_NOTICE, "target_pause", "target=%s ms=%u",
                     request->target->entry.id, facts->pause_ms);
    }
    if (SkyFleet_RecordBrittle(request->target, facts->is_brittle,
                               facts->refusals_per_s)) {
        SkyLog_Write(LOG_NOTICE, "target_brittle",
                     "target=%s brittle=%d refusals_per_s=%u",
                     request->target->entry.id, facts->is_brittle,
                     facts->refusals_per_s);
    }
    if (facts->leaves && SkyFleet_RecordLeaving(request->target)) {
        SkyLog_Write(LOG_NOTICE, "target_leaves", "target=%s in_flight=%u",
                     request->target->entry.id, request->target->in_flight);
    }
}

/* Whether the target says that it does not run the request. Whether that is
 * proved is the account's to say: SkySendAccount_End(). */
static bool
is_refusal(const sky_proxy_response_t *response)
{
    return response->facts.not_run || response->facts.wrong_target;
}

/* Whether more than the head is to be read. The body of a response that is not
 * passed on may have no end. */
static bool
needs_body(const sky_proxy_response_t *response)
{
    return is_refusal(response) ? response->is_framed : !response->is_invalid;
}

/* Whether the response is one that the peer made itself. */
static bool
is_peers_own(const sky_proxy_request_t *request)
{
    return request->peer[0] != '\0' &&
           request->hop_response.outcome != SKY_HOP_TARGET;
}

/* Takes over what the peer says of the response. */
static void
apply_hop_response(sky_proxy_request_t *request, const sky_http_head_t *head)
{
    SkyHopFields_ParseResponse(head, &request->hop_response);
    memcpy(request->sent_software, request->hop_response.software,
           sizeof request->sent_software);
}

static bool
on_response_head(void *context, const sky_http_head_t *head)
{
    sky_proxy_request_t *request = context;
    record_activity(request);
    sky_proxy_response_t *response = &request->response;
    sky_response_facts_t facts;
    SkyWire_ParseResponse(head, &facts);
    sky_send_response_t stated = {
        .status = head->status,
        .is_marked = facts.not_run,
        .names_request =
            SkyClientRequest_NamesRequest(request->target_request),
    };
    if (request->peer[0] != '\0') {
        apply_hop_response(request, head);
        if (is_peers_own(request)) {
            response->stated = stated;
            return true; /* its body is empty */
        }
    }
    record_target_facts(request, &facts);
    if (!request->response_started) {
        SkyProxyResponse_Clear(response);
    }
    response->facts = facts;
    response->stated = stated;
    response->is_framed = head->has_length;
    response->body_bytes = 0;
    response->is_whole = false;
    if (request->response_started) {
        /* The caller already has the head of the stream that is resumed. */
        bool continues_stream = head->status == 200 && facts.sealed &&
                                facts.events && !facts.encoded;
        response->is_invalid = !continues_stream;
        return needs_body(response);
    }
    response->status = head->status;
    response->has_content_length = head->has_length;
    response->content_length = head->content_bytes;
    response->is_invalid =
        head->status < 400 && (!facts.sealed || facts.encoded);
    if (facts.encoded && head->status >= 400) {
        response->is_invalid = true;
    }
    sky_hop_response_t hop = {.outcome = SKY_HOP_TARGET};
    memcpy(hop.software, request->sent_software, sizeof hop.software);
    SkyProxyRequest_WriteHopResponse(request, &response->header_fields, &hop);
    SkyWire_WriteResponseFields(&response->header_fields, head);
    return needs_body(response);
}

/* Whether the response is passed on as it arrives; others are buffered whole,
 * unless they turn out to be too large: handle_full_buffer(). */
static bool
is_relayed(const sky_proxy_request_t *request)
{
    const sky_proxy_response_t *response = &request->response;
    return response->status < 400 && !response->is_invalid &&
           !is_refusal(response) &&
           (SkyProxyRequest_GetRoute(request)->streaming ||
            response->facts.events ||
            response->content_length > BUFFERED_RESPONSE_MAX_BYTES ||
            SkyBuffer_Size(&response->body) > BUFFERED_RESPONSE_MAX_BYTES);
}

static void
begin_relay(sky_proxy_request_t *request)
{
    sky_proxy_response_t *response = &request->response;
    response->is_event_stream =
        response->facts.events && response->status < STATUS_FIRST_ERROR;
    sky_body_framing_t framing = response->is_event_stream ||
                                         !response->has_content_length ||
                                         !response->content_length
                                     ? SKY_FRAMING_CHUNKED
                                     : SKY_FRAMING_LENGTH;
    SkyServerRequest_BeginResponse(request->caller_request,
                                   SkyProxyRequest_CheckTargetStatus(request),
                                   SkyBuffer_Data(&response->header_fields),
                                   framing, response->content_length);
    request->response_started = true;
    if (request->is_forwarded && response->is_event_stream) {
        /* The head names the version to the host that passed it on. */
        SkyProxyRequest_RecordFirstEvent(request);
    }
    request->relay_started_ms = SkyClock_NowMs();
    SkyMetrics_Observe(request->proxy->options.metrics,
                       SkyProxyRequest_GetService(request)->name,
                       SKY_HIST_FIRST_TOKEN,
                       request->relay_started_ms - request->received_ms);
}

/* Reads on when the caller has caught up: SkyProxyRequest_ContinueReading().
 */
static void
wait_for_slow_caller(const sky_proxy_request_t *request)
{
    if (SkyServerRequest_IsCallerSlow(request->caller_request)) {
        SkyClientRequest_SetReading(request->target_request, false);
    }
}

void
SkyProxyRequest_ContinueReading(sky_proxy_request_t *request)
{
    if (request->target_request != NULL) {
        SkyClientRequest_SetReading(request->target_request, true);
    }
}

static void
relay_bytes(sky_proxy_request_t *request, const char *bytes, size_t size)
{
    if (!request->response.is_event_stream) {
        SkyServerRequest_WriteBody(request->caller_request, bytes, size);
        wait_for_slow_caller(request);
        return;
    }
    sky_buffer_t whole_events = {0};
    uint64_t events_before = SkyProxyRequest_EventCount(request);
    SkyEventStream_Feed(&request->event_stream, bytes, size, &whole_events);
    SkyServerRequest_WriteBody(request->caller_request,
                               SkyBuffer_Data(&whole_events),
                               SkyBuffer_Size(&whole_events));
    SkyBuffer_Clear(&whole_events);
    wait_for_slow_caller(request);
    SkyProxyRequest_RecordEvents(request, SkyProxyRequest_EventCount(request) -
                                              events_before);
    if (SkyProxyRequest_EventCount(request) > 0) {
        SkyProxyRequest_RecordPromptTime(request);
        SkyProxyRequest_RecordFirstEvent(request);
    }
    if (SkyProxyRequest_EventCount(request) >= START_EVENTS) {
        SkyProxyRequest_RecordAnswer(request);
    }
}

/* Returns what the response proves of the send. */
static sky_send_evidence_t
get_evidence(const sky_proxy_request_t *request)
{
    sky_send_response_t stated = request->response.stated;
    stated.is_whole = true;
    if (!is_peers_own(request)) {
        return (sky_send_evidence_t){.kind = SKY_SEND_RESPONSE,
                                     .response = stated};
    }
    const sky_hop_response_t *hop = &request->hop_response;
    return (sky_send_evidence_t){
        .kind = SKY_SEND_PEER,
        .peer = {.says_not_run = hop->outcome == SKY_HOP_NOT_RUN ||
                                 hop->outcome == SKY_HOP_NOT_REACHED,
                 .is_proved = hop->is_proved,
                 .names_request = stated.names_request,
                 .is_whole = true},
    };
}

/* Handles a response by which the target, maybe that of a peer, states that it
 * does not run the request. */
static void
handle_refusal(sky_proxy_request_t *request,
               const sky_send_evidence_t *evidence)
{
    sky_proxy_t *proxy = request->proxy;
    bool is_wrong_target = request->response.facts.wrong_target;
    bool is_own_target = request->target != NULL;
    uint64_t target_hash = request->sent_to;
    bool lacks_adapter =
        is_wrong_target && SkyProxyRequest_GetService(request)->engine.present;
    SkyProxyRequest_LogExchangeFailure(request, "refused");
    if (lacks_adapter && is_own_target) {
        sky_residency_t absent = {.adapter =
                                      SkyProxyRequest_AdapterKey(request)};
        SkyFleet_RecordResidency(proxy->options.directory->fleet,
                                 request->target, &absent, SkyClock_NowMs());
    }
    SkyProxyRequest_EndExchange(request,
                                is_wrong_target ? SKY_EXCHANGE_INCONCLUSIVE
                                                : SKY_EXCHANGE_TARGET_FULL,
                                evidence);
    if (is_own_target &&
        (!lacks_adapter || request->placement_count > 0 ||
         request->facts.adapter[0] == '\0') &&
        (is_wrong_target || !request->is_sent_by_turn ||
         !SkyProxyRequest_TakesTurns(request))) {
        /* The target is full, or its owner is mistaken: the target lacks an
         * adapter that was placed there. A target that refused a request with
         * a turn may have a free slot by the next turn. */
        SkyAttempts_RecordFailed(&request->attempts, target_hash);
    }
    uint32_t wait_ms = SkyProxyRequest_GetTargetWaitMs(request);
    SkyProxyRequest_RetryOrFail(
        request, wait_ms > RETRY_AFTER_FULL_MS ? wait_ms : RETRY_AFTER_FULL_MS,
        is_wrong_target ? "adapter_missing" : "target_full");
}

static const sky_send_evidence_t NO_ANSWER = {.kind = SKY_SEND_NO_ANSWER};

static void
handle_failure(sky_proxy_request_t *request, const char *cause)
{
    SkyProxyRequest_LogExchangeFailure(request, cause);
    if (request->target != NULL &&
        (request->response.is_invalid || request->response.status < 500 ||
         request->send_count > 1)) {
        SkyAttempts_RecordFailed(&request->attempts, request->target->hash);
    }
    SkyProxyRequest_EndExchange(request, SKY_EXCHANGE_FAILED, &NO_ANSWER);
    SkyProxyRequest_RetryOrFail(request, 0, cause);
}

/* Ends an exchange whose response goes beyond all limits; may free the
 * request. */
static void
break_off(sky_proxy_request_t *request, const char *cause)
{
    sky_send_evidence_t evidence = SkyProxyRequest_CancelExchange(request);
    if (is_refusal(&request->response)) {
        handle_refusal(request, &evidence);
        return;
    }
    handle_failure(request, cause);
}

/* Starts to pass on a response, with what was buffered of it. */
static void
begin_relay_of_buffered(sky_proxy_request_t *request)
{
    sky_buffer_t *body = &request->response.body;
    begin_relay(request);
    relay_bytes(request, SkyBuffer_Data(body), SkyBuffer_Size(body));
    SkyBuffer_Clear(body);
}

/* Whether too much is buffered of this response, for what is buffered of all
 * of them. */
static bool
is_memory_short(sky_proxy_request_t *request)
{
    SkyProxyRequest_UpdateMemoryShare(request);
    return SkyMemoryShare_IsExceeded(request->proxy->options.memory_share,
                                     request->held_bytes);
}

/* Goes on with a response of which no more may be buffered; may free the
 * request. An error is passed on as it arrives: it is too late to hold it back
 * for a retry. Without a length or chunks it may have no end, and is broken
 * off. */
static void
handle_full_buffer(sky_proxy_request_t *request, const char *cause)
{
    const sky_proxy_response_t *response = &request->response;
    if (!request->response_started && response->status >= STATUS_FIRST_ERROR &&
        !response->is_invalid && response->is_framed &&
        SkyProxyRequest_CheckTargetStatus(request) == response->status) {
        SkyProxyRequest_LogExchangeFailure(request, "large_error");
        begin_relay_of_buffered(request);
        return;
    }
    break_off(request, cause);
}

static void
on_response_body(void *context, const char *bytes, size_t size)
{
    sky_proxy_request_t *request = context;
    sky_proxy_response_t *response = &request->response;
    record_activity(request);
    if (is_peers_own(request)) {
        return;
    }
    response->body_bytes += size;
    if (is_refusal(response)) {
        /* It is read to its end, and not passed on. */
        if (response->body_bytes > BUFFERED_RESPONSE_MAX_BYTES) {
            break_off(request, "too_large");
        }
        return;
    }
    if (request->response_started) {
        relay_bytes(request, bytes, size);
    }
    else {
        SkyBuffer_Append(&response->body, bytes, size);
        if (is_relayed(request)) {
            begin_relay_of_buffered(request);
        }
    }
    if (SkyBuffer_Size(&response->body) > BUFFERED_RESPONSE_MAX_BYTES) {
        handle_full_buffer(request, "too_large");
    }
    else if (SkyBuffer_Size(&request->event_stream.partial_event) >
             EVENT_MAX_BYTES) {
        break_off(request, "endless_event");
    }
    else if (is_memory_short(request)) {
        handle_full_buffer(request, "memory_share");
    }
}

static void
finish_relay(sky_proxy_request_t *request)
{
    if (SkyBuffer_Size(&request->event_stream.partial_event) > 0) {
        /* The HTTP framing is complete, but the last event is not. */
        SkyProxyRequest_SuspectParts(request);
        handle_failure(request, "cut_event");
        return;
    }
    sky_send_evidence_t evidence = get_evidence(request);
    bool is_error = request->response.status >= STATUS_FIRST_TARGET_ERROR &&
                    request->peer[0] == '\0';
    SkyProxyRequest_RecordDuration(request);
    SkyProxyRequest_EndExchange(
        request, is_error ? SKY_EXCHANGE_FAILED : SKY_EXCHANGE_OK, &evidence);
    SkyProxyRequest_RecordResponse(request);
    SkyServerRequest_EndResponse(request->caller_request);
    SkyProxyRequest_Free(request);
}

static void
handle_complete_response(sky_proxy_request_t *request)
{
    sky_proxy_response_t *response = &request->response;
    sky_send_evidence_t evidence = get_evidence(request);
    response->is_whole = true;
    if (is_peers_own(request)) {
        SkyProxyRequest_HandlePeerRefusal(request, &evidence);
        return;
    }
    if (is_refusal(response)) {
        handle_refusal(request, &evidence);
        return;
    }
    SkyProxyRequest_RecordCrashEvidence(request, SKY_EXCHANGE_END_COMPLETE);
    if (SkyProxyRequest_LacksBody(request)) {
        SkyProxyRequest_SuspectParts(request);
        handle_failure(request, "no_body");
        return;
    }
    if (response->is_framed && response->status < 400 &&
        SkyBuffer_Size(&request->event_stream.partial_event) == 0) {
        SkyProxyRequest_RecordAnswer(request);
    }
    if (request->response_started) {
        finish_relay(request);
        return;
    }
    if (response->status >= 500 && request->peer[0] == '\0') {
        handle_failure(request, "target_error");
        return;
    }
    SkyProxyRequest_LogUnprovedRefusal(request);
    if (is_relayed(request)) {
        begin_relay(request);
        finish_relay(request);
        return;
    }
    SkyProxyRequest_RecordDuration(request);
    SkyProxyRequest_EndExchange(request, SKY_EXCHANGE_OK, &evidence);
    SkyProxyRequest_ForwardResponse(request);
}

/* No byte of the request was sent. Another host may reach the targets. */
static void
handle_unsent(sky_proxy_request_t *request)
{
    static const sky_send_evidence_t UNSENT = {.kind = SKY_SEND_UNSENT};
    SkyProxyRequest_LogExchangeFailure(request, "unreachable");
    if (request->target != NULL) {
        SkyAttempts_RecordFailed(&request->attempts, request->target->hash);
        SkyReachSharing_RecordFailure(request->proxy->options.reach_sharing,
                                      request->target);
    }
    SkyProxyRequest_EndExchange(request, SKY_EXCHANGE_UNREACHABLE, &UNSENT);
    /* No target got the request, so that this is no retry. */
    if (!SkyProxyRequest_MayHaveRun(request) &&
        SkyProxyRequest_TryPeer(request)) {
        return;
    }
    SkyProxyRequest_RetryOrFail(request, RETRY_AFTER_FULL_MS, "unreachable");
}

/* The head was whole and valid, and this host chose not to read on. */
static void
handle_rejected_response(sky_proxy_request_t *request)
{
    sky_send_evidence_t evidence = get_evidence(request);
    if (is_refusal(&request->response)) {
        handle_refusal(request, &evidence);
        return;
    }
    handle_failure(request, "bad_answer");
}

static void
on_response_end(void *context, sky_client_outcome_t outcome)
{
    sky_proxy_request_t *request = context;
    request->target_request = NULL;
    switch (outcome) {
    case SKY_CLIENT_OUTCOME_COMPLETE:
        handle_complete_response(request);
        break;
    case SKY_CLIENT_OUTCOME_UNSENT:
        handle_unsent(request);
        break;
    case SKY_CLIENT_OUTCOME_STOPPED:
        handle_rejected_response(request);
        break;
    case SKY_CLIENT_OUTCOME_GARBLED:
    case SKY_CLIENT_OUTCOME_BROKEN:
        SkyProxyRequest_HoldSlot(request);
        request->response.status =
            request->response_started ? request->response.status : 0;
        SkyProxyRequest_RecordCrashEvidence(request, SKY_EXCHANGE_END_BROKEN);
        SkyProxyRequest_SuspectParts(request);
        handle_failure(request, SkyClientRequest_OutcomeName(outcome));
        break;
    }
}

sky_client_request_events_t
SkyProxyRequest_ResponseEvents(void)
{
    return (sky_client_request_events_t){on_response_head, on_response_body,
                                         on_response_end};
}
