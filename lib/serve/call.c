#include "serve/call.h"

#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/invariant.h"

#define BEARER "Bearer "
#define BEARER_BYTES 7
#define SERVICE_PREFIX "/svc/"
#define SERVICE_PREFIX_BYTES 5
#define KEY_BYTES_MAX 200
#define WAIT_STEP_MS 100
#define US_PER_MS 1000
#define MS_PER_S 1000
#define SECRET_BYTES_MAX 256

struct sky_call {
    sky_control_t *control;
    sky_call_input_t input;
    sky_exchange_t *exchange;
    sky_relay_t *relay;
    sky_access_t access;
    sky_in_request_t request;
    json_t *root; /* parsed body of a completion */
    char *body;   /* as sent to the target */
    char service_path[256];
    bool stream;
    bool posted; /* the decision logic knows the request */
    bool finished;
    uint32_t retry_after_ms;
    uint32_t adapter_wait_ms;
    uint32_t batch_utilization_percent;
    uint64_t arrived_us;
    uint64_t dispatched_us;
    uint64_t first_token_us;
};

sky_call_t *
SkyCall_Create(sky_control_t *control, const sky_call_input_t *input)
{
    sky_call_t *call = calloc(1, sizeof *call);
    if (call == NULL) {
        return NULL;
    }
    call->control = control;
    call->input = *input;
    call->arrived_us = SkyClock_NowUs();
    call->exchange = SkyExchanges_Open(SkyControl_Exchanges(control));
    if (call->exchange == NULL) {
        free(call);
        return NULL;
    }
    return call;
}

/* ---- parse ---- */

static bool
is_service(const sky_call_t *call)
{
    return strncmp(call->input.path, SERVICE_PREFIX, SERVICE_PREFIX_BYTES) ==
           0;
}

static sky_result_t
parse_completion(sky_call_t *call)
{
    if (strcmp(call->input.method, "POST") != 0) {
        return SKY_E_NOT_FOUND;
    }
    call->root = json_loadb(call->input.body, call->input.body_size,
                            JSON_REJECT_DUPLICATES, NULL);
    if (!json_is_object(call->root) ||
        !json_is_string(json_object_get(call->root, "model"))) {
        return SKY_E_BAD_REQUEST;
    }
    call->stream = json_is_true(json_object_get(call->root, "stream"));
    return SKY_OK;
}

/** Splits "/svc/<pool>/<path>". */
static sky_result_t
parse_service(sky_call_t *call)
{
    const char *pool = call->input.path + SERVICE_PREFIX_BYTES;
    const char *slash = strchr(pool, '/');
    if (slash == NULL || slash == pool ||
        (size_t)(slash - pool) >= sizeof call->access.pool ||
        strlen(slash) >= sizeof call->service_path) {
        return SKY_E_NOT_FOUND;
    }
    strcpy(call->service_path, slash);
    if (strcmp(call->input.method, "GET") != 0 &&
        call->input.idempotency_key == NULL) {
        return SKY_E_KEY_REQUIRED;
    }
    return SKY_OK;
}

static sky_result_t
parse_timeout(sky_call_t *call)
{
    const sky_settings_t *settings = SkyControl_Settings(call->control);
    const char *text = call->input.timeout_ms;
    char *end = NULL;
    call->request.timeout_ms = settings->timeout_ms;
    if (text == NULL) {
        return SKY_OK;
    }
    unsigned long value = strtoul(text, &end, 10);
    if (end == text || *end != '\0' || value == 0 ||
        value > settings->timeout_max_ms) {
        return SKY_E_BAD_REQUEST;
    }
    call->request.timeout_ms = (uint32_t)value;
    return SKY_OK;
}

/** The key is "<Unix seconds>.<token>": its age must be known. */
static sky_result_t
parse_key(sky_call_t *call)
{
    const char *text = call->input.idempotency_key;
    char *end = NULL;
    if (text == NULL) {
        return SKY_OK;
    }
    unsigned long long issued_s = strtoull(text, &end, 10);
    if (end == text || *end != '.' || end[1] == '\0' ||
        strlen(text) > KEY_BYTES_MAX) {
        return SKY_E_BAD_REQUEST;
    }
    uint64_t now_ms = SkyClock_WallMs();
    uint64_t issued_ms = issued_s * MS_PER_S;
    call->request.at_most_once = true;
    call->request.key_age_ms = now_ms > issued_ms ? now_ms - issued_ms : 0;
    return SKY_OK;
}

static sky_result_t
parse(sky_call_t *call)
{
    sky_result_t result =
        is_service(call) ? parse_service(call) : parse_completion(call);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = parse_timeout(call);
    if (SkyResult_IsError(result)) {
        return result;
    }
    return parse_key(call);
}

/* ---- admit ---- */

static uint64_t
hash_parts(const char *a, const char *b, const char *c, uint64_t seed)
{
    uint64_t hash = XXH64(a, strlen(a), seed);
    hash = XXH64(b, strlen(b), hash);
    return XXH64(c, strlen(c), hash);
}

static sky_result_t
build_body(sky_call_t *call)
{
    if (is_service(call)) {
        call->body = strndup(call->input.body ? call->input.body : "",
                             call->input.body_size);
        return call->body ? SKY_OK : SKY_E_MEMORY;
    }
    json_object_set_new(call->root, "model", json_string(call->access.model));
    json_object_set_new(
        call->root, "priority",
        json_integer(SKY_URGENCY_MAX - (json_int_t)call->access.urgency));
    call->body = json_dumps(call->root, JSON_COMPACT | JSON_SORT_KEYS);
    return call->body ? SKY_OK : SKY_E_MEMORY;
}

static void
fill_request(sky_call_t *call)
{
    sky_in_request_t *request = &call->request;
    const char *key = call->input.idempotency_key;
    request->request = SkyExchange_Id(call->exchange);
    request->pool = (uint32_t)SkyName_Hash(call->access.pool);
    request->adapter = is_service(call) ? request->pool : call->access.adapter;
    request->urgency = call->access.urgency;
    request->fingerprint =
        hash_parts(call->access.workspace, call->input.path, call->body, 0);
    if (request->at_most_once) {
        request->key.high =
            hash_parts(call->access.workspace, key, call->input.path, 1);
        request->key.low =
            hash_parts(call->access.workspace, key, call->input.path, 2);
    }
}

static sky_result_t
admit(sky_call_t *call)
{
    const char *header = call->input.authorization;
    char credential[SKY_CREDENTIAL_HASH_BYTES];
    const char *model =
        json_string_value(json_object_get(call->root, "model"));
    if (header == NULL || strncmp(header, BEARER, BEARER_BYTES) != 0 ||
        strlen(header) > SECRET_BYTES_MAX) {
        return SKY_E_UNAUTHORIZED;
    }
    SkyView_HashSecret(header + BEARER_BYTES, credential);
    sky_result_t result = SkyView_Find(SkyControl_View(call->control),
                                       credential, model, &call->access);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (is_service(call)) {
        const char *pool = call->input.path + SERVICE_PREFIX_BYTES;
        size_t length = strcspn(pool, "/");
        memcpy(call->access.pool, pool, length);
        call->access.pool[length] = '\0';
    }
    result = build_body(call);
    if (!SkyResult_IsError(result)) {
        fill_request(call);
    }
    return result;
}

/* ---- decide ---- */

static bool
caller_is_gone(const sky_call_t *call)
{
    struct pollfd poller = {.fd = call->input.socket, .events = POLLRDHUP};
    return call->input.socket >= 0 && poll(&poller, 1, 0) == 1 &&
           (poller.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static void
post_outcome(sky_call_t *call, sky_outcome_t outcome, bool streamed)
{
    sky_input_t input = {.kind = SKY_IN_OUTCOME};
    input.u.outcome.request = call->request.request;
    input.u.outcome.outcome = outcome;
    input.u.outcome.streamed = streamed;
    SkyControl_Post(call->control, &input);
}

static sky_decision_t
wait_decision(sky_call_t *call)
{
    bool cancelled = false;
    for (;;) {
        sky_decision_t decision =
            SkyExchange_Wait(call->exchange, WAIT_STEP_MS);
        if (decision.kind == SKY_DECIDED_DISPATCH && cancelled) {
            post_outcome(call, SKY_OUTCOME_CANCELLED, false);
        }
        else if (decision.kind != SKY_DECIDED_NOTHING) {
            return decision;
        }
        if (!cancelled && caller_is_gone(call)) {
            sky_input_t input = {.kind = SKY_IN_CANCEL};
            input.u.cancel = call->request.request;
            SkyControl_Post(call->control, &input);
            cancelled = true;
        }
    }
}

static void
submit(sky_call_t *call)
{
    sky_input_t input = {.kind = SKY_IN_REQUEST};
    input.u.request = call->request;
    call->posted = true;
    SkyControl_Post(call->control, &input);
}

/* ---- dispatch ---- */

static sky_outcome_t
dispatch(sky_call_t *call, const sky_act_dispatch_t *order,
         sky_result_t *detail)
{
    const sky_settings_t *settings = SkyControl_Settings(call->control);
    sky_relay_options_t options = {.method = call->input.method};
    uint64_t wire_id = order->request + order->attempt;
    SKY_INVARIANT(SKY_INV_ADAPTER, order->adapter == call->request.adapter);
    options.address = settings->targets[order->target].address;
    options.path = is_service(call) ? call->service_path : call->input.path;
    options.body = call->input.body_size > 0 ? call->body : NULL;
    options.content_type = "application/json";
    options.model = is_service(call) ? NULL : call->access.model;
    options.fence = order->fence;
    options.expires_us = order->expires_us;
    options.timeout_ms = call->request.timeout_ms;
    options.stream = call->stream;
    snprintf(options.request_id, sizeof options.request_id, "%016" PRIx64,
             wire_id);
    call->adapter_wait_ms = order->adapter_wait_ms;
    call->batch_utilization_percent = order->batch_utilization_percent;
    call->dispatched_us = SkyClock_NowUs();
    return SkyRelay_Open(&options, &call->relay, detail);
}

/** Ends a posted call that is answered without a whole exchange. */
static sky_result_t
end_with(sky_call_t *call, const sky_act_respond_t *response,
         sky_result_t detail)
{
    call->finished = true;
    call->retry_after_ms = response->retry_after_ms;
    if (response->code == SKY_E_UNKNOWN && SkyResult_IsError(detail)) {
        return detail; /* the cause says more */
    }
    return response->code;
}

static sky_result_t
run_posted(sky_call_t *call)
{
    sky_result_t detail = SKY_OK;
    for (;;) {
        sky_decision_t decision = wait_decision(call);
        if (decision.kind == SKY_DECIDED_ANSWER) {
            return end_with(call, &decision.response, detail);
        }
        sky_outcome_t outcome = dispatch(call, &decision.dispatch, &detail);
        if (outcome == SKY_OUTCOME_COMPLETED) {
            call->first_token_us = SkyClock_NowUs();
            return SKY_OK;
        }
        post_outcome(call, outcome, false);
    }
}

/* ---- account ---- */

static uint64_t
since_ms(const sky_call_t *call, uint64_t at_us)
{
    return (at_us - call->arrived_us) / US_PER_MS;
}

static void
account(sky_call_t *call, sky_result_t result)
{
    sky_metrics_t *metrics = SkyControl_Metrics(call->control);
    const char *workspace =
        call->access.workspace[0] ? call->access.workspace : "-";
    SkyMetrics_CountAnswer(metrics, workspace, SkyResult_Symbol(result));
    if (call->relay == NULL) {
        return;
    }
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_LOAD_STALL,
                       call->adapter_wait_ms);
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_BATCH_FILL,
                       call->batch_utilization_percent);
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_QUEUE_WAIT,
                       since_ms(call, call->dispatched_us));
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_FIRST_TOKEN,
                       since_ms(call, call->first_token_us));
    SkyMetrics_Observe(metrics, workspace, SKY_HIST_TOTAL,
                       since_ms(call, SkyClock_NowUs()));
}

sky_result_t
SkyCall_Run(sky_call_t *call)
{
    sky_result_t result = parse(call);
    if (!SkyResult_IsError(result)) {
        result = admit(call);
    }
    if (!SkyResult_IsError(result)) {
        submit(call);
        result = run_posted(call);
    }
    if (SkyResult_IsError(result)) {
        account(call, result);
    }
    return result;
}

sky_relay_t *
SkyCall_Relay(sky_call_t *call)
{
    return call->relay;
}

uint32_t
SkyCall_RetryAfterMs(const sky_call_t *call)
{
    return call->retry_after_ms;
}

void
SkyCall_Finish(sky_call_t *call, sky_outcome_t outcome)
{
    sky_result_t result = SKY_OK;
    if (call->finished) {
        return;
    }
    call->finished = true;
    if (outcome == SKY_OUTCOME_CANCELLED) {
        result = SKY_E_CANCELLED;
    }
    else if (outcome != SKY_OUTCOME_COMPLETED) {
        result = SKY_E_TRUNCATED;
    }
    post_outcome(call, outcome, true);
    account(call, result);
}

void
SkyCall_Free(sky_call_t *call)
{
    if (call == NULL) {
        return;
    }
    if (call->posted) {
        SkyCall_Finish(call, SKY_OUTCOME_CANCELLED);
    }
    SkyRelay_Close(call->relay);
    SkyExchanges_Close(SkyControl_Exchanges(call->control), call->exchange);
    json_decref(call->root);
    free(call->body);
    free(call);
}
