#include "serve/target_exchange.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/invariant.h"
#include "platform/http_call.h"
#include "platform/http_exchange.h"

#define CONNECT_TIMEOUT_MS 2000
#define MS_PER_S 1000
#define DATA_CAPACITY_MIN 16384
#define FIELD_LINES_BYTES 256
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_PRECONDITION_FAILED 412
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_SERVICE_UNAVAILABLE 503
#define DATA_FIELD_PREFIX "data: "
#define DATA_FIELD_PREFIX_BYTES 6
#define LAST_EVENT_DATA "[DONE]"
#define LAST_EVENT_DATA_BYTES 6
#define REQUEST_ID_FIELD "X-Request-Id"

struct sky_target_exchange {
    sky_target_exchange_options_t options;
    sky_http_exchange_t *http;
    bool is_stream;
    bool last_event_read;
    bool names_a_request; /* the response's head names one */
    bool names_this_request;
    bool exceeds_limit; /* of a response's size, or memory is exhausted */
    uint32_t status;    /* 0: no head was received */
    char content_type[64];
    char *data; /* received, not yet copied to the caller */
    size_t size;
    size_t capacity;
    size_t checked_bytes; /* complete, checked events at the front */
    sky_result_t failure;
};

/* ---- receiving ---- */

static void
on_head(void *context, const sky_http_head_t *head)
{
    sky_target_exchange_t *exchange = context;
    const char *type = SkyHttpHead_FindField(head, "Content-Type");
    const char *id = SkyHttpHead_FindField(head, REQUEST_ID_FIELD);
    exchange->status = head->status;
    exchange->names_a_request = id != NULL;
    exchange->names_this_request =
        id != NULL && strcmp(id, exchange->options.request_id) == 0;
    snprintf(exchange->content_type, sizeof exchange->content_type, "%s",
             type ? type : "application/octet-stream");
    exchange->is_stream =
        exchange->options.stream && exchange->status == STATUS_OK;
}

/** Ensures capacity for more bytes and a terminating zero. @return false if
 *  the response is too large or memory is exhausted. */
static bool
reserve(sky_target_exchange_t *exchange, size_t size)
{
    size_t wanted = exchange->size + size + 1;
    size_t capacity =
        exchange->capacity ? exchange->capacity : DATA_CAPACITY_MIN;
    if (wanted > SKY_HTTP_CALL_RESPONSE_MAX_BYTES) {
        return false;
    }
    while (capacity < wanted) {
        capacity *= 2;
    }
    if (capacity == exchange->capacity) {
        return true;
    }
    char *data = realloc(exchange->data, capacity);
    if (data == NULL) {
        return false;
    }
    exchange->data = data;
    exchange->capacity = capacity;
    return true;
}

static void
on_body(void *context, const char *bytes, size_t size)
{
    sky_target_exchange_t *exchange = context;
    if (exchange->exceeds_limit || !reserve(exchange, size)) {
        exchange->exceeds_limit = true;
        return;
    }
    memcpy(exchange->data + exchange->size, bytes, size);
    exchange->size += size;
    exchange->data[exchange->size] = '\0';
}

/** @return false if nothing more comes, or nothing that can be kept */
static bool
receive(sky_target_exchange_t *exchange)
{
    return SkyHttpExchange_Receive(exchange->http) && !exchange->exceeds_limit;
}

/** Starts to send the request. */
static sky_result_t
start_request(sky_target_exchange_t *exchange)
{
    const sky_target_exchange_options_t *options = &exchange->options;
    char field_lines[FIELD_LINES_BYTES];
    snprintf(field_lines, sizeof field_lines,
             REQUEST_ID_FIELD ": %s\r\nX-Fencing-Number: %" PRIu64 "\r\n"
                              "%s%s%s",
             options->request_id, options->fence,
             options->body != NULL ? "Content-Type: " : "",
             options->body != NULL ? options->content_type : "",
             options->body != NULL ? "\r\n" : "");
    sky_http_exchange_options_t http_options = {
        .address = options->address,
        .method = options->method,
        .path = options->path,
        .field_lines = field_lines,
        .body = options->body,
        /* There 0 means never, here a permit that has expired. */
        .expires_us = options->expires_us > 0 ? options->expires_us : 1,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .silence_timeout_ms = (options->timeout_ms / MS_PER_S + 1) * MS_PER_S,
        .on_head = on_head,
        .on_body = on_body,
        .context = exchange,
    };
    return SkyHttpExchange_Start(&http_options, &exchange->http);
}

/* ---- checking ---- */

/** Checks that a part of a response names this request and its model. */
static sky_result_t
check_response_ids(const sky_target_exchange_t *exchange, const char *text,
                   size_t size)
{
    const sky_target_exchange_options_t *options = &exchange->options;
    json_t *root = json_loadb(text, size, 0, NULL);
    const char *id = json_string_value(json_object_get(root, "id"));
    const char *model = json_string_value(json_object_get(root, "model"));
    sky_result_t result = SKY_OK;
    if (root == NULL || id == NULL) {
        result = SKY_E_TRUNCATED;
    }
    else if (strcmp(id, options->request_id) != 0 ||
             (model != NULL && strcmp(model, options->model) != 0)) {
        result = SKY_E_MISMATCH;
    }
    json_decref(root);
    return result;
}

static sky_result_t
check_event(sky_target_exchange_t *exchange, const char *event, size_t size)
{
    if (size < DATA_FIELD_PREFIX_BYTES ||
        memcmp(event, DATA_FIELD_PREFIX, DATA_FIELD_PREFIX_BYTES) != 0) {
        return SKY_OK; /* a comment or another field */
    }
    const char *text = event + DATA_FIELD_PREFIX_BYTES;
    size_t length = size - DATA_FIELD_PREFIX_BYTES;
    if (length >= LAST_EVENT_DATA_BYTES &&
        memcmp(text, LAST_EVENT_DATA, LAST_EVENT_DATA_BYTES) == 0) {
        exchange->last_event_read = true;
        return SKY_OK;
    }
    return check_response_ids(exchange, text, length);
}

/** Checks the complete events received since the last call. */
static sky_result_t
check_complete_events(sky_target_exchange_t *exchange)
{
    while (!exchange->last_event_read &&
           exchange->checked_bytes < exchange->size) {
        const char *begin = exchange->data + exchange->checked_bytes;
        const char *end = strstr(begin, "\n\n");
        if (end == NULL) {
            return SKY_OK;
        }
        size_t size = (size_t)(end - begin);
        sky_result_t result = check_event(exchange, begin, size);
        if (SkyResult_IsError(result)) {
            return result;
        }
        exchange->checked_bytes += size + 2;
    }
    return SKY_OK;
}

/** Receives until there is at least one complete event. */
static sky_result_t
read_until_event(sky_target_exchange_t *exchange)
{
    for (;;) {
        sky_result_t result = check_complete_events(exchange);
        if (SkyResult_IsError(result) || exchange->checked_bytes > 0 ||
            exchange->last_event_read) {
            return result;
        }
        if (!receive(exchange)) {
            return SKY_E_TRUNCATED;
        }
    }
}

static sky_result_t
read_full_response(sky_target_exchange_t *exchange)
{
    while (receive(exchange)) {
    }
    if (exchange->exceeds_limit || SkyHttpExchange_Outcome(exchange->http) !=
                                       SKY_CLIENT_OUTCOME_COMPLETE) {
        return SKY_E_TRUNCATED;
    }
    if (exchange->options.model == NULL || exchange->status != STATUS_OK) {
        return exchange->names_a_request && !exchange->names_this_request
                   ? SKY_E_MISMATCH
                   : SKY_OK;
    }
    return check_response_ids(exchange, exchange->data, exchange->size);
}

/* ---- outcome ---- */

/** An engine sends these statuses only before it runs a request;
 * check_refusal() checks that it is this one. */
static bool
status_proves_not_run(const sky_target_exchange_t *exchange)
{
    if (exchange->options.model == NULL) {
        return false; /* a plain service may send them after running it */
    }
    switch (exchange->status) {
    case STATUS_NOT_FOUND:
    case STATUS_CONFLICT:
    case STATUS_PRECONDITION_FAILED:
    case STATUS_TOO_MANY_REQUESTS:
    case STATUS_SERVICE_UNAVAILABLE:
        return true;
    default:
        return false;
    }
}

/** A refusal counts only if it names this request, as every response of an
 *  engine does: another one may come from something between host and engine,
 *  and tells nothing of a run. */
static sky_outcome_t
check_refusal(const sky_target_exchange_t *exchange, sky_result_t *detail)
{
    if (!exchange->names_this_request) {
        *detail = exchange->names_a_request ? SKY_E_MISMATCH : SKY_E_UNKNOWN;
        return SKY_OUTCOME_BROKEN;
    }
    *detail = SKY_E_REFUSED;
    return SKY_OUTCOME_REFUSED;
}

/** There is no head of a response. */
static sky_outcome_t
get_outcome_without_head(const sky_target_exchange_t *exchange,
                         sky_result_t *detail)
{
    *detail = SKY_E_UNKNOWN;
    if (SkyHttpExchange_Outcome(exchange->http) != SKY_CLIENT_OUTCOME_UNSENT) {
        return SKY_OUTCOME_BROKEN;
    }
    if (SkyClock_NowUs() >= exchange->options.expires_us) {
        *detail = SKY_E_LEASE;
    }
    return SKY_OUTCOME_NOT_SENT;
}

static sky_outcome_t
perform_exchange(sky_target_exchange_t *exchange, sky_result_t *detail)
{
    while (exchange->status == 0 && receive(exchange)) {
    }
    if (exchange->status == 0) {
        return get_outcome_without_head(exchange, detail);
    }
    if (status_proves_not_run(exchange)) {
        return check_refusal(exchange, detail);
    }
    *detail = exchange->is_stream ? read_until_event(exchange)
                                  : read_full_response(exchange);
    return SkyResult_IsError(*detail) ? SKY_OUTCOME_BROKEN
                                      : SKY_OUTCOME_COMPLETED;
}

sky_outcome_t
SkyTargetExchange_Open(const sky_target_exchange_options_t *options,
                       sky_target_exchange_t **opened, sky_result_t *detail)
{
    sky_target_exchange_t *exchange = calloc(1, sizeof *exchange);
    *detail = SKY_E_MEMORY;
    if (exchange == NULL) {
        return SKY_OUTCOME_NOT_SENT;
    }
    exchange->options = *options;
    *detail = start_request(exchange);
    if (SkyResult_IsError(*detail)) {
        SkyTargetExchange_Close(exchange);
        return SKY_OUTCOME_NOT_SENT;
    }
    sky_outcome_t outcome = perform_exchange(exchange, detail);
    if (outcome != SKY_OUTCOME_COMPLETED) {
        SkyTargetExchange_Close(exchange);
        return outcome;
    }
    *opened = exchange;
    return outcome;
}

bool
SkyTargetExchange_IsStream(const sky_target_exchange_t *exchange)
{
    return exchange->is_stream;
}

uint32_t
SkyTargetExchange_Status(const sky_target_exchange_t *exchange)
{
    return exchange->status;
}

const char *
SkyTargetExchange_ContentType(const sky_target_exchange_t *exchange)
{
    return exchange->content_type;
}

const char *
SkyTargetExchange_Body(const sky_target_exchange_t *exchange, size_t *size)
{
    *size = exchange->size;
    return exchange->data ? exchange->data : "";
}

size_t
SkyTargetExchange_ReadEvents(sky_target_exchange_t *exchange, char *buffer,
                             size_t size, bool *end, sky_result_t *detail)
{
    *end = false;
    *detail = read_until_event(exchange);
    if (SkyResult_IsError(*detail)) {
        return 0;
    }
    size_t count =
        exchange->checked_bytes < size ? exchange->checked_bytes : size;
    memcpy(buffer, exchange->data, count);
    exchange->size -= count;
    exchange->checked_bytes -= count;
    memmove(exchange->data, exchange->data + count, exchange->size);
    exchange->data[exchange->size] = '\0';
    *end = exchange->last_event_read && exchange->checked_bytes == 0;
    return count;
}

void
SkyTargetExchange_Close(sky_target_exchange_t *exchange)
{
    if (exchange == NULL) {
        return;
    }
    SkyHttpExchange_Free(exchange->http);
    free(exchange->data);
    free(exchange);
}
