#include "serve/caller_request.h"

#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/invariant.h"
#include "decide/promise.h"

#define BEARER_PREFIX "Bearer "
#define BEARER_PREFIX_BYTES 7
#define SERVICE_PREFIX "/svc/"
#define SERVICE_PREFIX_BYTES 5
#define IDEMPOTENCY_KEY_BYTES_MAX 200
#define DISCONNECT_POLL_INTERVAL_MS 100
#define US_PER_MS 1000
#define MS_PER_S 1000
#define AUTHORIZATION_BYTES_MAX 256

struct sky_caller_request {
    sky_control_t *control;
    sky_caller_request_input_t http;
    sky_waiter_t *waiter;
    sky_target_exchange_t *exchange;
    sky_access_t access;
    sky_in_request_t node_request; /* input for the decision logic */
    json_t *completion;            /* parsed body; NULL: plain service */
    char *target_body;             /* as sent to the target */
    char service_path[256];
    bool wants_stream;
    bool is_posted;   /* the decision logic knows the request */
    bool is_finished; /* no outcome is to be posted any more */
    uint32_t retry_after_ms;
    uint32_t adapter_wait_ms;
    uint32_t batch_utilization_percent;
    uint64_t received_us;
    uint64_t dispatched_us;
    uint64_t first_token_us;
};

sky_caller_request_t *
SkyCallerRequest_Create(sky_control_t *control,
                        const sky_caller_request_input_t *http)
{
    sky_caller_request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        return NULL;
    }
    request->control = control;
    request->http = *http;
    request->received_us = SkyClock_NowUs();
    request->waiter = SkyWaiters_Register(SkyControl_Waiters(control));
    if (request->waiter == NULL) {
        free(request);
        return NULL;
    }
    return request;
}

/* ---- parse ---- */

static bool
is_service_request(const sky_caller_request_t *request)
{
    return strncmp(request->http.path, SERVICE_PREFIX, SERVICE_PREFIX_BYTES) ==
           0;
}

static sky_result_t
parse_completion(sky_caller_request_t *request)
{
    if (strcmp(request->http.method, "POST") != 0) {
        return SKY_E_NOT_FOUND;
    }
    request->completion =
        json_loadb(request->http.body, request->http.body_size,
                   JSON_REJECT_DUPLICATES, NULL);
    if (!json_is_object(request->completion) ||
        !json_is_string(json_object_get(request->completion, "model"))) {
        return SKY_E_BAD_REQUEST;
    }
    request->wants_stream =
        json_is_true(json_object_get(request->completion, "stream"));
    return SKY_OK;
}

/** Splits "/svc/<pool>/<path>". */
static sky_result_t
parse_service_path(sky_caller_request_t *request)
{
    const char *pool = request->http.path + SERVICE_PREFIX_BYTES;
    const char *slash = strchr(pool, '/');
    if (slash == NULL || slash == pool ||
        (size_t)(slash - pool) >= sizeof request->access.pool ||
        strlen(slash) >= sizeof request->service_path) {
        return SKY_E_NOT_FOUND;
    }
    strcpy(request->service_path, slash);
    if (strcmp(request->http.method, "GET") != 0 &&
        request->http.idempotency_key == NULL) {
        return SKY_E_KEY_REQUIRED;
    }
    return SKY_OK;
}

static sky_result_t
parse_timeout(sky_caller_request_t *request)
{
    const sky_settings_t *settings = SkyControl_Settings(request->control);
    const char *text = request->http.timeout_ms;
    char *end = NULL;
    request->node_request.timeout_ms = settings->timeout_ms;
    if (text == NULL) {
        return SKY_OK;
    }
    unsigned long value = strtoul(text, &end, 10);
    if (end == text || *end != '\0' || value == 0 ||
        value > settings->timeout_max_ms) {
        return SKY_E_BAD_REQUEST;
    }
    request->node_request.timeout_ms = (uint32_t)value;
    return SKY_OK;
}

/** Parses "<Unix seconds>.<token>": the age of a key has to be known. */
static sky_result_t
parse_idempotency_key(sky_caller_request_t *request)
{
    const char *text = request->http.idempotency_key;
    char *end = NULL;
    if (text == NULL) {
        return SKY_OK;
    }
    unsigned long long issued_s = strtoull(text, &end, 10);
    if (end == text || *end != '.' || end[1] == '\0' ||
        strlen(text) > IDEMPOTENCY_KEY_BYTES_MAX ||
        issued_s > UINT64_MAX / MS_PER_S) {
        return SKY_E_BAD_REQUEST;
    }
    uint64_t now_ms = SkyClock_WallMs();
    uint64_t issued_ms = issued_s * MS_PER_S;
    /* A key is accepted until key_life_ms after its issue, and its claim is
     * kept for at least twice as long. One of the future, beyond differences
     * of clocks, would be accepted when its claim is gone. */
    if (issued_ms > now_ms &&
        issued_ms - now_ms >
            SkyControl_Settings(request->control)->key_life_ms / 2) {
        return SKY_E_BAD_REQUEST;
    }
    request->node_request.at_most_once = true;
    request->node_request.key_age_ms =
        now_ms > issued_ms ? now_ms - issued_ms : 0;
    return SKY_OK;
}

static sky_result_t
parse_request(sky_caller_request_t *request)
{
    sky_result_t result = is_service_request(request)
                              ? parse_service_path(request)
                              : parse_completion(request);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = parse_timeout(request);
    if (SkyResult_IsError(result)) {
        return result;
    }
    return parse_idempotency_key(request);
}

/* ---- admit ---- */

static uint64_t
hash_strings(const char *a, const char *b, const char *c, uint64_t seed)
{
    uint64_t hash = XXH64(a, strlen(a), seed);
    hash = XXH64(b, strlen(b), hash);
    return XXH64(c, strlen(c), hash);
}

static sky_result_t
build_target_body(sky_caller_request_t *request)
{
    if (is_service_request(request)) {
        request->target_body =
            strndup(request->http.body ? request->http.body : "",
                    request->http.body_size);
        return request->target_body ? SKY_OK : SKY_E_MEMORY;
    }
    json_object_set_new(request->completion, "model",
                        json_string(request->access.model));
    json_object_set_new(
        request->completion, "priority",
        json_integer(SKY_URGENCY_MAX - (json_int_t)request->access.urgency));
    request->target_body =
        json_dumps(request->completion, JSON_COMPACT | JSON_SORT_KEYS);
    return request->target_body ? SKY_OK : SKY_E_MEMORY;
}

static void
fill_node_request(sky_caller_request_t *request)
{
    sky_in_request_t *node_request = &request->node_request;
    const char *key = request->http.idempotency_key;
    node_request->request = SkyWaiter_Id(request->waiter);
    node_request->pool = (uint32_t)SkyName_Hash(request->access.pool);
    node_request->adapter = is_service_request(request)
                                ? node_request->pool
                                : request->access.adapter;
    node_request->urgency = request->access.urgency;
    node_request->fingerprint =
        hash_strings(request->access.workspace, request->http.path,
                     request->target_body, 0);
    if (node_request->at_most_once) {
        node_request->key.high = hash_strings(request->access.workspace, key,
                                              request->http.path, 1);
        node_request->key.low = hash_strings(request->access.workspace, key,
                                             request->http.path, 2);
    }
}

static sky_result_t
admit_request(sky_caller_request_t *request)
{
    const char *header = request->http.authorization;
    char credential[SKY_CREDENTIAL_HASH_BYTES];
    const char *model =
        json_string_value(json_object_get(request->completion, "model"));
    if (header == NULL ||
        strncmp(header, BEARER_PREFIX, BEARER_PREFIX_BYTES) != 0 ||
        strlen(header) > AUTHORIZATION_BYTES_MAX) {
        return SKY_E_UNAUTHORIZED;
    }
    SkyCredential_HashSecret(header + BEARER_PREFIX_BYTES, credential);
    sky_result_t result = SkyWorkspaceTable_FindAccess(
        SkyControl_WorkspaceTable(request->control), credential, model,
        &request->access);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (is_service_request(request)) {
        const char *pool = request->http.path + SERVICE_PREFIX_BYTES;
        size_t length = strcspn(pool, "/");
        memcpy(request->access.pool, pool, length);
        request->access.pool[length] = '\0';
    }
    result = build_target_body(request);
    if (!SkyResult_IsError(result)) {
        fill_node_request(request);
    }
    return result;
}

/* ---- decide ---- */

static bool
has_caller_disconnected(const sky_caller_request_t *request)
{
    struct pollfd poll_fd = {.fd = request->http.socket, .events = POLLRDHUP};
    return request->http.socket >= 0 && poll(&poll_fd, 1, 0) == 1 &&
           (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static void
post_outcome(sky_caller_request_t *request, sky_outcome_t outcome,
             bool streamed)
{
    sky_input_t input = {.kind = SKY_IN_OUTCOME};
    input.u.outcome.request = request->node_request.request;
    input.u.outcome.outcome = outcome;
    input.u.outcome.streamed = streamed;
    SkyControl_PostInput(request->control, &input);
}

static sky_decision_t
wait_for_decision(sky_caller_request_t *request)
{
    bool cancelled = false;
    for (;;) {
        sky_decision_t decision = SkyWaiter_WaitForDecision(
            request->waiter, DISCONNECT_POLL_INTERVAL_MS);
        if (decision.kind == SKY_DECISION_DISPATCH && cancelled) {
            post_outcome(request, SKY_OUTCOME_CANCELLED, false);
        }
        else if (decision.kind != SKY_DECISION_NONE) {
            return decision;
        }
        if (!cancelled && has_caller_disconnected(request)) {
            sky_input_t input = {.kind = SKY_IN_CANCEL};
            input.u.cancel = request->node_request.request;
            SkyControl_PostInput(request->control, &input);
            cancelled = true;
        }
    }
}

static void
post_request(sky_caller_request_t *request)
{
    sky_input_t input = {.kind = SKY_IN_REQUEST};
    input.u.request = request->node_request;
    request->is_posted = true;
    SkyControl_PostInput(request->control, &input);
}

/* ---- dispatch ---- */

static sky_outcome_t
dispatch_to_target(sky_caller_request_t *request,
                   const sky_act_dispatch_t *dispatch, sky_result_t *detail)
{
    const sky_settings_t *settings = SkyControl_Settings(request->control);
    sky_target_exchange_options_t options = {.method = request->http.method};
    uint64_t attempt_id = dispatch->request + dispatch->attempt;
    SKY_INVARIANT(SKY_INV_RIGHT_ADAPTER,
                  dispatch->adapter == request->node_request.adapter);
    options.address = settings->targets[dispatch->target].address;
    options.path = is_service_request(request) ? request->service_path
                                               : request->http.path;
    options.body = request->http.body_size > 0 ? request->target_body : NULL;
    options.content_type = "application/json";
    options.model = is_service_request(request) ? NULL : request->access.model;
    options.fence = dispatch->fence;
    options.expires_us = dispatch->expires_us;
    options.timeout_ms = request->node_request.timeout_ms;
    options.stream = request->wants_stream;
    snprintf(options.request_id, sizeof options.request_id, "%016" PRIx64,
             attempt_id);
    request->adapter_wait_ms = dispatch->adapter_wait_ms;
    request->batch_utilization_percent = dispatch->batch_utilization_percent;
    request->dispatched_us = SkyClock_NowUs();
    return SkyTargetExchange_Open(&options, &request->exchange, detail);
}

/** Ends a posted request for which no target's response is relayed. */
static sky_result_t
finish_with_code(sky_caller_request_t *request,
                 const sky_act_respond_t *response, sky_result_t detail)
{
    request->is_finished = true;
    request->retry_after_ms = response->retry_after_ms;
    /* More specific than SKY_E_UNKNOWN, unless it is that of a later attempt
     * that did not run: an earlier one may have. */
    if (response->code == SKY_E_UNKNOWN && SkyResult_IsError(detail) &&
        strcmp(SkyResult_Outcome(detail), "unknown") == 0) {
        return detail;
    }
    return response->code;
}

static sky_result_t
run_attempts(sky_caller_request_t *request)
{
    sky_result_t detail = SKY_OK;
    for (;;) {
        sky_decision_t decision = wait_for_decision(request);
        if (decision.kind == SKY_DECISION_RESPOND) {
            return finish_with_code(request, &decision.response, detail);
        }
        sky_outcome_t outcome =
            dispatch_to_target(request, &decision.dispatch, &detail);
        if (outcome == SKY_OUTCOME_COMPLETED) {
            request->first_token_us = SkyClock_NowUs();
            return SKY_OK;
        }
        post_outcome(request, outcome, false);
    }
}

/* ---- record ---- */

static uint64_t
ms_since_received(const sky_caller_request_t *request, uint64_t at_us)
{
    return (at_us - request->received_us) / US_PER_MS;
}

static void
record_metrics(sky_caller_request_t *request, sky_result_t result)
{
    sky_metrics_t *metrics = SkyControl_Metrics(request->control);
    const char *workspace =
        request->access.workspace[0] ? request->access.workspace : "-";
    SkyMetrics_CountResponse(metrics, workspace, SkyResult_Symbol(result));
    if (request->exchange == NULL) {
        return;
    }
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_LOAD_STALL,
                       request->adapter_wait_ms);
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_BATCH_FILL,
                       request->batch_utilization_percent);
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_QUEUE_WAIT,
                       ms_since_received(request, request->dispatched_us));
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_FIRST_TOKEN,
                       ms_since_received(request, request->first_token_us));
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_TOTAL,
                       ms_since_received(request, SkyClock_NowUs()));
}

sky_result_t
SkyCallerRequest_Run(sky_caller_request_t *request)
{
    sky_result_t result = parse_request(request);
    if (!SkyResult_IsError(result)) {
        result = admit_request(request);
    }
    if (!SkyResult_IsError(result)) {
        post_request(request);
        result = run_attempts(request);
    }
    if (SkyResult_IsError(result)) {
        record_metrics(request, result);
    }
    return result;
}

sky_target_exchange_t *
SkyCallerRequest_Exchange(sky_caller_request_t *request)
{
    return request->exchange;
}

bool
SkyCallerRequest_MayRelay(const sky_caller_request_t *request)
{
    return !request->node_request.at_most_once ||
           !SkyPromise_IsMadeBy(
               (uint16_t)SkyTargetExchange_Status(request->exchange));
}

uint32_t
SkyCallerRequest_RetryAfterMs(const sky_caller_request_t *request)
{
    return request->retry_after_ms;
}

void
SkyCallerRequest_Finish(sky_caller_request_t *request, sky_outcome_t outcome)
{
    sky_result_t result = SKY_OK;
    if (request->is_finished) {
        return;
    }
    request->is_finished = true;
    if (outcome == SKY_OUTCOME_CANCELLED) {
        result = SKY_E_CANCELLED;
    }
    else if (outcome != SKY_OUTCOME_COMPLETED) {
        result = SKY_E_TRUNCATED;
    }
    post_outcome(request, outcome, true);
    record_metrics(request, result);
}

void
SkyCallerRequest_Free(sky_caller_request_t *request)
{
    if (request == NULL) {
        return;
    }
    if (request->is_posted) {
        SkyCallerRequest_Finish(request, SKY_OUTCOME_CANCELLED);
    }
    SkyTargetExchange_Close(request->exchange);
    SkyWaiters_Unregister(SkyControl_Waiters(request->control),
                          request->waiter);
    json_decref(request->completion);
    free(request->target_body);
    free(request);
}
