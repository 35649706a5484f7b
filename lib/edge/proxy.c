#include "edge/proxy.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/proxy_request.h"

/** Longer than most responses, and long enough for some of each busy route. */
#define STOP_ADMISSION_WINDOW_MS 30000
#define STOP_ADMISSION_ROUTES_MAX 512
/** For a host that starts while the store is unreachable: outages last for
 *  seconds, and many callers retry only once. */
#define RETRY_AFTER_STORE_UNREACHABLE_MS 1500
/** Ids and paths are cut to this in the line about a request without memory.
 */
#define LOGGED_TEXT_BYTES_MAX 64
#define CHECK_INTERVAL_S 0.02 /**< of SkyProxy_CheckOpenRequests() */

/* Ends and frees a request that has run out of time. */
static void
end_request(sky_proxy_request_t *request, uint32_t retry_after_ms,
            const char *reason)
{
    if (request->target_request != NULL) {
        SkyProxyRequest_LogExchangeFailure(request, reason);
    }
    SkyProxyRequest_CancelPending(request);
    SkyProxyRequest_Fail(request, retry_after_ms, reason);
}

static void
on_deadline(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_proxy_request_t *request = watcher->data;
    if (request->target_request != NULL &&
        SkyClientRequest_HasSentBytes(request->target_request)) {
        SkyProxyRequest_RecordCrashEvidence(request, SKY_EXCHANGE_END_SILENT);
    }
    end_request(request, RETRY_AFTER_FULL_MS, "deadline");
}

static void
reject_unrouted(sky_proxy_request_t *request, uint16_t status,
                uint32_t retry_after_ms, const char *reason)
{
    request->deadline_at_ms = request->received_ms;
    SkyProxyRequest_RespondError(request, status, retry_after_ms, reason);
}

/* The key of a caller is a secret: the workspace that it opens stands for it.
 */
static sky_request_identity_t
identify_request(const sky_proxy_request_t *request)
{
    sky_server_request_t *caller_request = request->caller_request;
    const char *workspace =
        request->workspace != NULL ? request->workspace->name : "";
    const sky_http_head_t *head = SkyServerRequest_Head(caller_request);
    const char *host = SkyHttpHead_FindField(head, "Host");
    const char *url = SkyHttpHead_Url(head);
    size_t body_bytes;
    const char *body = SkyServerRequest_Body(caller_request, &body_bytes);
    uint64_t hash = XXH3_64bits(body, body_bytes);
    hash = XXH3_64bits_withSeed(url, strcspn(url, "?"), hash);
    if (host != NULL) {
        hash = XXH3_64bits_withSeed(host, strlen(host), hash);
    }
    hash = XXH3_64bits_withSeed(&head->method, sizeof head->method, hash);
    uint64_t variant =
        XXH3_64bits_withSeed(workspace, strlen(workspace), hash);
    return (sky_request_identity_t){hash, SkyWire_HashVariant(head, variant)};
}

/* Takes over what the host that passed the request on says of it. @return
 * whether the request may be sent; else it was refused and freed: a target
 * that the other host sent it to may have run it */
static bool
apply_hop_request(sky_proxy_request_t *request)
{
    sky_hop_request_t hop;
    if (!SkyHopFields_ParseRequest(
            SkyServerRequest_Head(request->caller_request), &hop)) {
        return true;
    }
    for (uint32_t i = 0; i < hop.may_have_run_count; i++) {
        SkyAttempts_RecordSent(&request->attempts, hop.may_have_run[i]);
    }
    if (hop.software[0] != '\0') {
        memcpy(request->stream_software, hop.software,
               sizeof request->stream_software);
        request->has_stream_software = true;
        request->may_resume = true;
    }
    request->proxy->stats.received_from_peers++;
    SkyLog_Write(LOG_INFO, "forwarded", "id=%s from=%s may_have_run=%u",
                 request->facts.id, hop.from, hop.may_have_run_count);
    if (hop.may_have_run_count > 0 &&
        SkyProxyRequest_GetRoute(request)->retry_policy ==
            SKY_RETRY_AT_MOST_ONCE) {
        /* By this host it has not run: the other one knows the rest. */
        SkyProxyRequest_Fail(request, 0, "not_repeatable");
        return false;
    }
    return true;
}

/* Returns what a route that is split among services is split by: a stream that
 * is taken up goes to the service that began it. */
static uint64_t
get_service_hash(const sky_proxy_request_t *request)
{
    return request->facts.resumes && request->facts.stream_id[0] != '\0'
               ? SkyStreamSharing_HashId(request->facts.stream_id)
               : SkyProxyRequest_IdHash(request);
}

void
SkyProxyRequest_Route(sky_proxy_request_t *request)
{
    sky_proxy_t *proxy = request->proxy;
    request->waits_for_records =
        !SkyFeed_AreRecordsUsable(proxy->options.feed);
    if (request->waits_for_records) {
        return; /* SkyProxy_CheckOpenRequests() routes it */
    }
    const sky_http_head_t *head =
        SkyServerRequest_Head(request->caller_request);
    const char *host = SkyHttpHead_FindField(head, "Host");
    if (proxy->options.directory->deployment == NULL ||
        !proxy->options.directory->targets_known) {
        reject_unrouted(request, 503,
                        proxy->options.directory->store_unreachable
                            ? RETRY_AFTER_STORE_UNREACHABLE_MS
                            : RETRY_AFTER_START_MS,
                        "not_configured");
        return;
    }
    sky_request_match_t match = {.deployment = SkyDeployment_Acquire(
                                     proxy->options.directory->deployment)};
    request->match.deployment = match.deployment;
    if (SkyResult_IsError(SkyWire_ParseRequest(head, &request->facts))) {
        reject_unrouted(request, 400, 0, "bad_request");
        return;
    }
    match.route = SkyDeployment_FindRoute(match.deployment, host ? host : "",
                                          SkyHttpHead_Url(head));
    match.service =
        match.route
            ? SkyDeployment_ChooseService(match.deployment, match.route,
                                          get_service_hash(request))
            : NULL;
    if (match.service == NULL) {
        reject_unrouted(request, 404, 0, "no_route");
        return;
    }
    DL_DELETE(proxy->unrouted, request);
    request->match = match;
    DL_APPEND(proxy->requests, request);
    uint32_t limit_ms = SkyProxyRequest_GetRoute(request)->timeout_ms <
                                request->facts.deadline_ms
                            ? SkyProxyRequest_GetRoute(request)->timeout_ms
                            : request->facts.deadline_ms;
    request->deadline_at_ms = request->received_ms + limit_ms;
    if (!SkyProxyRequest_HasAccess(request) ||
        SkyProxyRequest_FailIfStopping(request)) {
        return;
    }
    request->identity = identify_request(request);
    uint64_t waited_ms = SkyClock_NowMs() - request->received_ms;
    ev_timer_set(&request->deadline_timer,
                 waited_ms < limit_ms ? (double)(limit_ms - waited_ms) / 1000.0
                                      : 0.0,
                 0.0);
    ev_timer_start(proxy->options.loop, &request->deadline_timer);
    if (request->is_forwarded && !apply_hop_request(request)) {
        return;
    }
    if (SkyProxyRequest_AcquireQuota(request)) {
        SkyProxyRequest_Count(request);
        SkyProxyRequest_Dispatch(request);
    }
}

/* Logs a request that gets 503 because there is no memory for its state. */
static void
log_without_memory(const sky_server_request_t *caller_request,
                   bool is_forwarded)
{
    const sky_http_head_t *head = SkyServerRequest_Head(caller_request);
    const char *id = SkyHttpHead_FindField(head, SkyWire_RequestIdFieldName());
    const char *url = SkyHttpHead_Url(head);
    size_t body_bytes;
    SkyServerRequest_Body(caller_request, &body_bytes);
    int path_bytes = (int)strcspn(url, "?");
    SkyLog_WriteClass(
        SKY_LOG_EVIDENCE, LOG_ERR, "request_dropped",
        "reason=memory status=503 id=%.*s path=%.*s body=%zu forwarded=%d",
        LOGGED_TEXT_BYTES_MAX, id ? id : "-",
        path_bytes < LOGGED_TEXT_BYTES_MAX ? path_bytes
                                           : LOGGED_TEXT_BYTES_MAX,
        url, body_bytes, is_forwarded);
}

static void
begin_request(sky_proxy_t *proxy, sky_server_request_t *caller_request,
              bool is_forwarded)
{
    sky_proxy_request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        log_without_memory(caller_request, is_forwarded);
        SkyServerRequest_Respond(caller_request, 503, "", "", 0);
        return;
    }
    request->proxy = proxy;
    request->caller_request = caller_request;
    request->received_ms = SkyClock_NowMs();
    request->is_forwarded = is_forwarded;
    request->facts.id = "";
    ev_init(&request->deadline_timer, on_deadline);
    request->deadline_timer.data = request;
    DL_APPEND(proxy->unrouted, request);
    proxy->open_count++;
    SkyServerRequest_SetUserData(caller_request, request);
    SkyProxyRequest_Route(request);
}

static void
on_request(void *context, sky_server_request_t *caller_request)
{
    begin_request(context, caller_request, false);
}

static void
on_forwarded_request(void *context, sky_server_request_t *caller_request)
{
    begin_request(context, caller_request, true);
}

static void
on_caller_disconnect(void *context, sky_server_request_t *caller_request)
{
    (void)context;
    sky_proxy_request_t *request = SkyServerRequest_UserData(caller_request);
    if (request != NULL) {
        SkyProxyRequest_LogEnd(request, LOG_INFO, 0, "caller_left", "-");
        SkyProxyRequest_Free(request);
    }
}

static void
on_caller_ready(void *context, sky_server_request_t *caller_request)
{
    (void)context;
    sky_proxy_request_t *request = SkyServerRequest_UserData(caller_request);
    if (request != NULL) {
        SkyProxyRequest_ContinueReading(request);
    }
}

sky_listener_events_t
SkyProxy_ListenerEvents(void)
{
    return (sky_listener_events_t){.on_request = on_request,
                                   .on_disconnect = on_caller_disconnect,
                                   .on_caller_ready = on_caller_ready};
}

sky_listener_events_t
SkyProxy_ForwardedEvents(void)
{
    return (sky_listener_events_t){.on_request = on_forwarded_request,
                                   .on_disconnect = on_caller_disconnect,
                                   .on_caller_ready = on_caller_ready};
}

const sky_proxy_stats_t *
SkyProxy_Stats(const sky_proxy_t *proxy)
{
    return &proxy->stats;
}

sky_result_t
SkyProxy_Create(const sky_proxy_options_t *options, sky_proxy_t **proxy)
{
    sky_proxy_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    const sky_deployment_bounds_t *bounds = &options->settings->bounds;
    self->options = *options;
    self->retry_options =
        (sky_retry_budget_options_t){.ratio = bounds->retry_ratio,
                                     .slack = bounds->retry_slack,
                                     .window_ms = bounds->retry_window_ms};
    sky_stop_admission_options_t stop_options = {
        .window_ms = STOP_ADMISSION_WINDOW_MS,
        .routes_max = STOP_ADMISSION_ROUTES_MAX};
    sky_result_t result =
        SkyStopAdmission_Create(&stop_options, &self->stop_admission);
    if (SkyResult_IsError(result)) {
        free(self);
        return result;
    }
    ev_timer_init(&self->check_timer, SkyProxy_CheckOpenRequests,
                  CHECK_INTERVAL_S, CHECK_INTERVAL_S);
    self->check_timer.data = self;
    ev_timer_start(options->loop, &self->check_timer);
    *proxy = self;
    return SKY_OK;
}

static void
free_requests(sky_proxy_request_t *list)
{
    sky_proxy_request_t *request;
    sky_proxy_request_t *next;
    DL_FOREACH_SAFE(list, request, next)
    {
        SkyProxyRequest_Free(request);
    }
}

void
SkyProxy_Free(sky_proxy_t *proxy)
{
    if (proxy == NULL) {
        return;
    }
    free_requests(proxy->unrouted);
    free_requests(proxy->requests);
    ev_timer_stop(proxy->options.loop, &proxy->check_timer);
    sky_service_record_t *record;
    sky_service_record_t *next_record;
    LL_FOREACH_SAFE(proxy->service_records, record, next_record)
    {
        free(record);
    }
    SkyStopAdmission_Free(proxy->stop_admission);
    free(proxy);
}

void
SkyProxy_SetStopTimes(sky_proxy_t *proxy, const sky_stop_times_t *times)
{
    proxy->stop_times = *times;
    proxy->is_stopping = true;
}

static void
answer_requests(sky_proxy_request_t *list)
{
    sky_proxy_request_t *request;
    sky_proxy_request_t *next;
    DL_FOREACH_SAFE(list, request, next)
    {
        if (!request->response_started) {
            end_request(request, RETRY_AFTER_STOPPING_MS, "stopping");
        }
    }
}

void
SkyProxy_AnswerOpenRequests(sky_proxy_t *proxy)
{
    answer_requests(proxy->unrouted);
    answer_requests(proxy->requests);
}

uint32_t
SkyProxy_OpenRequestCount(const sky_proxy_t *proxy)
{
    return proxy->open_count;
}
