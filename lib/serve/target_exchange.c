#include "serve/target_exchange.h"

#include <inttypes.h>
#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/invariant.h"
#include "platform/http_call.h"

#define CONNECT_TIMEOUT_S 2
#define MS_PER_S 1000
#define READ_BLOCK_BYTES 8192
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

struct sky_target_exchange {
    sky_target_exchange_options_t options;
    ne_session *session;
    ne_request *request;
    size_t body_bytes;
    size_t body_sent;
    bool body_started; /* from then on the target may run the request */
    bool permit_expired;
    bool is_stream;
    bool last_event_read;
    uint32_t status;
    char content_type[64];
    char *data; /* received, not yet copied to the caller */
    size_t size;
    size_t capacity;
    size_t checked_bytes; /* complete, checked events at the front */
    sky_result_t failure;
};

/* ---- sending ---- */

/** Called by neon for each part of the body, after it has sent the head. */
static ssize_t
provide_body(void *context, char *buffer, size_t size)
{
    sky_target_exchange_t *exchange = context;
    if (size == 0) { /* neon rewinds the body before it sends it */
        exchange->body_sent = 0;
        return 0;
    }
    if (!exchange->body_started &&
        SkyClock_NowUs() >= exchange->options.expires_us) {
        exchange->permit_expired = true;
        return -1;
    }
    size_t left = exchange->body_bytes - exchange->body_sent;
    size_t count = left < size ? left : size;
    exchange->body_started = true;
    memcpy(buffer, exchange->options.body + exchange->body_sent, count);
    exchange->body_sent += count;
    return (ssize_t)count;
}

static void
add_headers(const sky_target_exchange_t *exchange)
{
    const sky_target_exchange_options_t *options = &exchange->options;
    ne_add_request_header(exchange->request, "X-Request-Id",
                          options->request_id);
    ne_print_request_header(exchange->request, "X-Fencing-Number", "%" PRIu64,
                            options->fence);
    if (options->body != NULL) {
        ne_add_request_header(exchange->request, "Content-Type",
                              options->content_type);
    }
}

static sky_result_t
prepare_request(sky_target_exchange_t *exchange)
{
    const sky_target_exchange_options_t *options = &exchange->options;
    char host[SKY_ADDRESS_BYTES];
    uint16_t port;
    sky_result_t result =
        SkyHttpCall_SplitAddress(options->address, host, sizeof host, &port);
    if (SkyResult_IsError(result)) {
        return result;
    }
    exchange->session = ne_session_create("http", host, port);
    ne_set_connect_timeout(exchange->session, CONNECT_TIMEOUT_S);
    ne_set_read_timeout(exchange->session,
                        (int)(options->timeout_ms / MS_PER_S) + 1);
    ne_set_session_flag(exchange->session, NE_SESSFLAG_PERSIST, 0);
    exchange->request =
        ne_request_create(exchange->session, options->method, options->path);
    add_headers(exchange);
    if (options->body != NULL) {
        exchange->body_bytes = strlen(options->body);
        ne_set_request_body_provider(exchange->request,
                                     (ne_off_t)exchange->body_bytes,
                                     provide_body, exchange);
    }
    return SKY_OK;
}

/* ---- reading ---- */

/** Ensures capacity for another block. @return false if the response is too
 *  large or memory is exhausted. */
static bool
reserve_block(sky_target_exchange_t *exchange)
{
    if (exchange->capacity - exchange->size > READ_BLOCK_BYTES) {
        return true;
    }
    if (exchange->capacity >= SKY_HTTP_CALL_RESPONSE_MAX_BYTES) {
        return false;
    }
    size_t capacity =
        exchange->capacity ? 2 * exchange->capacity : 2 * READ_BLOCK_BYTES;
    char *data = realloc(exchange->data, capacity);
    if (data == NULL) {
        return false;
    }
    exchange->data = data;
    exchange->capacity = capacity;
    return true;
}

/** @return number of bytes read, 0 at the end, -1 on an error. */
static ssize_t
read_block(sky_target_exchange_t *exchange)
{
    if (!reserve_block(exchange)) {
        return -1;
    }
    ssize_t count = ne_read_response_block(
        exchange->request, exchange->data + exchange->size,
        exchange->capacity - exchange->size - 1);
    if (count > 0) {
        exchange->size += (size_t)count;
        exchange->data[exchange->size] = '\0';
    }
    return count;
}

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

/** Reads until at least one complete event has been received. */
static sky_result_t
read_until_event(sky_target_exchange_t *exchange)
{
    while (exchange->checked_bytes == 0 && !exchange->last_event_read) {
        if (read_block(exchange) <= 0) {
            return SKY_E_TRUNCATED;
        }
        sky_result_t result = check_complete_events(exchange);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return SKY_OK;
}

static sky_result_t
read_full_response(sky_target_exchange_t *exchange)
{
    ssize_t count;
    do {
        count = read_block(exchange);
    } while (count > 0);
    if (count < 0 || ne_end_request(exchange->request) != NE_OK) {
        return SKY_E_TRUNCATED;
    }
    if (exchange->options.model == NULL || exchange->status != STATUS_OK) {
        const char *echoed_id =
            ne_get_response_header(exchange->request, "X-Request-Id");
        if (echoed_id != NULL &&
            strcmp(echoed_id, exchange->options.request_id) != 0) {
            return SKY_E_MISMATCH;
        }
        return SKY_OK;
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
    const char *echoed_id =
        ne_get_response_header(exchange->request, "X-Request-Id");
    if (echoed_id == NULL) {
        *detail = SKY_E_UNKNOWN;
        return SKY_OUTCOME_BROKEN;
    }
    if (strcmp(echoed_id, exchange->options.request_id) != 0) {
        *detail = SKY_E_MISMATCH;
        return SKY_OUTCOME_BROKEN;
    }
    *detail = SKY_E_REFUSED;
    return SKY_OUTCOME_REFUSED;
}

static void
read_response_head(sky_target_exchange_t *exchange)
{
    const char *type =
        ne_get_response_header(exchange->request, "Content-Type");
    exchange->status = (uint32_t)ne_get_status(exchange->request)->code;
    snprintf(exchange->content_type, sizeof exchange->content_type, "%s",
             type ? type : "application/octet-stream");
    exchange->is_stream =
        exchange->options.stream && exchange->status == STATUS_OK;
}

static sky_outcome_t
perform_exchange(sky_target_exchange_t *exchange, sky_result_t *detail)
{
    int begin_status = ne_begin_request(exchange->request);
    if (begin_status != NE_OK) {
        bool may_have_run =
            exchange->body_started ||
            (exchange->body_bytes == 0 && begin_status != NE_CONNECT &&
             begin_status != NE_LOOKUP);
        *detail = exchange->permit_expired ? SKY_E_LEASE : SKY_E_UNKNOWN;
        return may_have_run ? SKY_OUTCOME_BROKEN : SKY_OUTCOME_NOT_SENT;
    }
    read_response_head(exchange);
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
    *detail = prepare_request(exchange);
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
    if (exchange->request != NULL) {
        ne_request_destroy(exchange->request);
    }
    if (exchange->session != NULL) {
        ne_session_destroy(exchange->session);
    }
    free(exchange->data);
    free(exchange);
}
