#include "serve/relay.h"

#include <inttypes.h>
#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/invariant.h"
#include "platform/http.h"

#define CONNECT_TIMEOUT_S 2
#define MS_PER_S 1000
#define BLOCK_BYTES 8192
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_FENCED 412
#define STATUS_BUSY 429
#define STATUS_UNAVAILABLE 503
#define EVENT_PREFIX "data: "
#define EVENT_PREFIX_BYTES 6
#define LAST_EVENT "[DONE]"
#define LAST_EVENT_BYTES 6

struct sky_relay {
    sky_relay_options_t options;
    ne_session *session;
    ne_request *request;
    size_t body_bytes;
    size_t body_sent;
    bool body_begun; /* from here on the target may run the request */
    bool expired;
    bool is_stream;
    bool finished; /* the last event has been read */
    uint32_t status;
    char content_type[64];
    char *data; /* read, not yet copied */
    size_t size;
    size_t capacity;
    size_t checked; /* bytes at the front that are whole, checked events */
    sky_result_t failure;
};

/* ---- sending ---- */

/** neon asks for the body once the head has been written. */
static ssize_t
provide_body(void *context, char *buffer, size_t size)
{
    sky_relay_t *relay = context;
    if (size == 0) { /* the start of the body */
        relay->body_sent = 0;
        return 0;
    }
    if (!relay->body_begun && SkyClock_NowUs() >= relay->options.expires_us) {
        relay->expired = true;
        return -1;
    }
    size_t left = relay->body_bytes - relay->body_sent;
    size_t count = left < size ? left : size;
    relay->body_begun = true;
    memcpy(buffer, relay->options.body + relay->body_sent, count);
    relay->body_sent += count;
    return (ssize_t)count;
}

static void
add_headers(const sky_relay_t *relay)
{
    const sky_relay_options_t *options = &relay->options;
    ne_add_request_header(relay->request, "X-Request-Id", options->request_id);
    ne_print_request_header(relay->request, "X-Fencing-Number", "%" PRIu64,
                            options->fence);
    if (options->body != NULL) {
        ne_add_request_header(relay->request, "Content-Type",
                              options->content_type);
    }
}

static sky_result_t
prepare(sky_relay_t *relay)
{
    const sky_relay_options_t *options = &relay->options;
    char host[SKY_ADDRESS_BYTES];
    uint16_t port;
    sky_result_t result =
        SkyHttp_SplitAddress(options->address, host, sizeof host, &port);
    if (SkyResult_IsError(result)) {
        return result;
    }
    relay->session = ne_session_create("http", host, port);
    ne_set_connect_timeout(relay->session, CONNECT_TIMEOUT_S);
    ne_set_read_timeout(relay->session,
                        (int)(options->timeout_ms / MS_PER_S) + 1);
    ne_set_session_flag(relay->session, NE_SESSFLAG_PERSIST, 0);
    relay->request =
        ne_request_create(relay->session, options->method, options->path);
    add_headers(relay);
    if (options->body != NULL) {
        relay->body_bytes = strlen(options->body);
        ne_set_request_body_provider(
            relay->request, (ne_off_t)relay->body_bytes, provide_body, relay);
    }
    return SKY_OK;
}

/* ---- reading ---- */

static bool
make_room(sky_relay_t *relay)
{
    if (relay->capacity - relay->size > BLOCK_BYTES) {
        return true;
    }
    if (relay->capacity >= SKY_HTTP_ANSWER_MAX) {
        return false;
    }
    size_t capacity = relay->capacity ? 2 * relay->capacity : 2 * BLOCK_BYTES;
    char *data = realloc(relay->data, capacity);
    if (data == NULL) {
        return false;
    }
    relay->data = data;
    relay->capacity = capacity;
    return true;
}

/** @return bytes read, 0 at the end, -1 on an error. */
static ssize_t
read_more(sky_relay_t *relay)
{
    if (!make_room(relay)) {
        return -1;
    }
    ssize_t count =
        ne_read_response_block(relay->request, relay->data + relay->size,
                               relay->capacity - relay->size - 1);
    if (count > 0) {
        relay->size += (size_t)count;
        relay->data[relay->size] = '\0';
    }
    return count;
}

/** Checks that a part of an answer belongs to this request. */
static sky_result_t
check_part(const sky_relay_t *relay, const char *text, size_t size)
{
    const sky_relay_options_t *options = &relay->options;
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
check_event(sky_relay_t *relay, const char *event, size_t size)
{
    if (size < EVENT_PREFIX_BYTES ||
        memcmp(event, EVENT_PREFIX, EVENT_PREFIX_BYTES) != 0) {
        return SKY_OK; /* a comment or another field */
    }
    const char *text = event + EVENT_PREFIX_BYTES;
    size_t length = size - EVENT_PREFIX_BYTES;
    if (length >= LAST_EVENT_BYTES &&
        memcmp(text, LAST_EVENT, LAST_EVENT_BYTES) == 0) {
        relay->finished = true;
        return SKY_OK;
    }
    return check_part(relay, text, length);
}

/** Checks the whole events read since the last time. */
static sky_result_t
check_events(sky_relay_t *relay)
{
    while (!relay->finished && relay->checked < relay->size) {
        const char *begin = relay->data + relay->checked;
        const char *end = strstr(begin, "\n\n");
        if (end == NULL) {
            return SKY_OK;
        }
        size_t size = (size_t)(end - begin);
        sky_result_t result = check_event(relay, begin, size);
        if (SkyResult_IsError(result)) {
            return result;
        }
        relay->checked += size + 2;
    }
    return SKY_OK;
}

/** Reads until at least one whole event is there. */
static sky_result_t
fill_events(sky_relay_t *relay)
{
    while (relay->checked == 0 && !relay->finished) {
        if (read_more(relay) <= 0) {
            return SKY_E_TRUNCATED;
        }
        sky_result_t result = check_events(relay);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return SKY_OK;
}

static sky_result_t
read_whole(sky_relay_t *relay)
{
    ssize_t count;
    do {
        count = read_more(relay);
    } while (count > 0);
    if (count < 0 || ne_end_request(relay->request) != NE_OK) {
        return SKY_E_TRUNCATED;
    }
    if (relay->options.model == NULL || relay->status != STATUS_OK) {
        const char *echoed =
            ne_get_response_header(relay->request, "X-Request-Id");
        if (echoed != NULL && strcmp(echoed, relay->options.request_id) != 0) {
            return SKY_E_MISMATCH;
        }
        return SKY_OK;
    }
    return check_part(relay, relay->data, relay->size);
}

/* ---- outcome ---- */

/** A target answers these before it runs anything. */
static bool
says_not_run(const sky_relay_t *relay)
{
    if (relay->options.model == NULL) {
        return false; /* a plain service's status proves nothing */
    }
    switch (relay->status) {
    case STATUS_NOT_FOUND:
    case STATUS_CONFLICT:
    case STATUS_FENCED:
    case STATUS_BUSY:
    case STATUS_UNAVAILABLE:
        return true;
    default:
        return false;
    }
}

static void
read_head(sky_relay_t *relay)
{
    const char *type = ne_get_response_header(relay->request, "Content-Type");
    relay->status = (uint32_t)ne_get_status(relay->request)->code;
    snprintf(relay->content_type, sizeof relay->content_type, "%s",
             type ? type : "application/octet-stream");
    relay->is_stream = relay->options.stream && relay->status == STATUS_OK;
}

static sky_outcome_t
exchange(sky_relay_t *relay, sky_result_t *detail)
{
    int begun = ne_begin_request(relay->request);
    if (begun != NE_OK) {
        bool may_run =
            relay->body_begun || (relay->options.body == NULL &&
                                  begun != NE_CONNECT && begun != NE_LOOKUP);
        *detail = relay->expired ? SKY_E_LEASE : SKY_E_UNKNOWN;
        return may_run ? SKY_OUTCOME_BROKEN : SKY_OUTCOME_NOT_SENT;
    }
    read_head(relay);
    if (says_not_run(relay)) {
        *detail = SKY_E_REFUSED;
        return SKY_OUTCOME_REFUSED;
    }
    *detail = relay->is_stream ? fill_events(relay) : read_whole(relay);
    return SkyResult_IsError(*detail) ? SKY_OUTCOME_BROKEN
                                      : SKY_OUTCOME_COMPLETED;
}

sky_outcome_t
SkyRelay_Open(const sky_relay_options_t *options, sky_relay_t **opened,
              sky_result_t *detail)
{
    sky_relay_t *relay = calloc(1, sizeof *relay);
    *detail = SKY_E_MEMORY;
    if (relay == NULL) {
        return SKY_OUTCOME_NOT_SENT;
    }
    relay->options = *options;
    *detail = prepare(relay);
    if (SkyResult_IsError(*detail)) {
        SkyRelay_Close(relay);
        return SKY_OUTCOME_NOT_SENT;
    }
    sky_outcome_t outcome = exchange(relay, detail);
    if (outcome != SKY_OUTCOME_COMPLETED) {
        SkyRelay_Close(relay);
        return outcome;
    }
    *opened = relay;
    return outcome;
}

bool
SkyRelay_IsStream(const sky_relay_t *relay)
{
    return relay->is_stream;
}

uint32_t
SkyRelay_Status(const sky_relay_t *relay)
{
    return relay->status;
}

const char *
SkyRelay_ContentType(const sky_relay_t *relay)
{
    return relay->content_type;
}

const char *
SkyRelay_Body(const sky_relay_t *relay, size_t *size)
{
    *size = relay->size;
    return relay->data ? relay->data : "";
}

size_t
SkyRelay_ReadEvents(sky_relay_t *relay, char *buffer, size_t size, bool *end,
                    sky_result_t *detail)
{
    *end = false;
    *detail = fill_events(relay);
    if (SkyResult_IsError(*detail)) {
        return 0;
    }
    size_t count = relay->checked < size ? relay->checked : size;
    memcpy(buffer, relay->data, count);
    relay->size -= count;
    relay->checked -= count;
    memmove(relay->data, relay->data + count, relay->size);
    relay->data[relay->size] = '\0';
    *end = relay->finished && relay->checked == 0;
    return count;
}

void
SkyRelay_Close(sky_relay_t *relay)
{
    if (relay == NULL) {
        return;
    }
    if (relay->request != NULL) {
        ne_request_destroy(relay->request);
    }
    if (relay->session != NULL) {
        ne_session_destroy(relay->session);
    }
    free(relay->data);
    free(relay);
}
