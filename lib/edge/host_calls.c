#include "edge/host_calls.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/logging.h"
#include "edge/hop_fields.h"
#include "net/socket.h"
#include "platform/wire.h"

#define HANDLERS_MAX 16
/** Hosts are some milliseconds apart. */
#define CONNECT_TIMEOUT_MS 250
#define RESPONSE_BYTES_MAX (4u * 1024u * 1024u)
/* Requests of peers stay within these limits, which bound what an unrelated
 * client can use up. */
#define REQUEST_HEAD_BYTES_MAX 4096
/** Fields that a host adds to a caller's request. */
#define HOP_FIELDS_BYTES_MAX 1024
#define REQUEST_BODY_BYTES_MAX (1024 * 1024)
#define REQUEST_HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 30000

typedef struct {
    const char *path;
    sky_host_call_handler_t handler;
    sky_host_call_disconnect_t on_disconnect;
    void *context;
} handler_t;

struct sky_host_call {
    sky_host_calls_t *host_calls;
    sky_client_request_t *client_request;
    ev_timer timer;
    uint16_t response_status;
    sky_buffer_t response_body;
    uint64_t held_bytes; /**< of the memory share */
    sky_host_call_done_t done;
    void *context;
    sky_host_call_t *prev;
    sky_host_call_t *next;
};

struct sky_host_calls {
    sky_host_calls_options_t options;
    sky_listener_t *listener;
    handler_t handlers[HANDLERS_MAX];
    uint32_t handler_count;
    sky_listener_events_t forward_events; /**< on_request NULL: none */
    void *forward_context;
    sky_host_call_t *calls;
};

static bool
is_forwarded(const sky_host_calls_t *host_calls,
             const sky_server_request_t *server_request)
{
    sky_hop_request_t hop;
    return host_calls->forward_events.on_request != NULL &&
           SkyHopFields_ParseRequest(SkyServerRequest_Head(server_request),
                                     &hop);
}

static const handler_t *
find_handler(const sky_host_calls_t *host_calls,
             const sky_server_request_t *server_request)
{
    const char *url = SkyHttpHead_Url(SkyServerRequest_Head(server_request));
    for (uint32_t i = 0; i < host_calls->handler_count; i++) {
        if (strcmp(host_calls->handlers[i].path, url) == 0) {
            return &host_calls->handlers[i];
        }
    }
    return NULL;
}

static void
on_request(void *context, sky_server_request_t *server_request)
{
    sky_host_calls_t *host_calls = context;
    size_t size;
    if (is_forwarded(host_calls, server_request)) {
        host_calls->forward_events.on_request(host_calls->forward_context,
                                              server_request);
        return;
    }
    const char *bytes = SkyServerRequest_Body(server_request, &size);
    if (size > REQUEST_BODY_BYTES_MAX) {
        /* Parsed JSON takes many times its size. */
        SkyServerRequest_Respond(server_request, 413, "", "", 0);
        return;
    }
    const handler_t *handler = find_handler(host_calls, server_request);
    json_t *body = json_loadb(bytes, size, 0, NULL);
    if (handler == NULL || !json_is_object(body)) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused", "path=%s known=%d",
                     SkyHttpHead_Url(SkyServerRequest_Head(server_request)),
                     handler != NULL);
        SkyServerRequest_Respond(server_request, handler ? 400 : 404, "", "",
                                 0);
    }
    else {
        handler->handler(handler->context, server_request, body);
    }
    json_decref(body);
}

static void
on_caller_disconnect(void *context, sky_server_request_t *server_request)
{
    const sky_host_calls_t *host_calls = context;
    if (is_forwarded(host_calls, server_request)) {
        host_calls->forward_events.on_disconnect(host_calls->forward_context,
                                                 server_request);
        return;
    }
    const handler_t *handler = find_handler(context, server_request);
    if (handler != NULL && handler->on_disconnect != NULL) {
        handler->on_disconnect(handler->context, server_request);
    }
}

static void
on_caller_ready(void *context, sky_server_request_t *server_request)
{
    const sky_host_calls_t *host_calls = context;
    if (is_forwarded(host_calls, server_request)) {
        host_calls->forward_events.on_caller_ready(host_calls->forward_context,
                                                   server_request);
    }
}

void
SkyHostCalls_SetForwardHandler(sky_host_calls_t *host_calls,
                               const sky_listener_events_t *events,
                               void *context)
{
    host_calls->forward_events = *events;
    host_calls->forward_context = context;
}

void
SkyHostCalls_SetRequestLimits(sky_host_calls_t *host_calls,
                              uint32_t head_bytes, uint32_t body_bytes)
{
    /* A host writes a space after each colon, which makes the shortest field
     * of 4 bytes one longer. */
    uint32_t head_max = head_bytes + head_bytes / 4 + HOP_FIELDS_BYTES_MAX;
    sky_listener_limits_t limits = {
        head_max > REQUEST_HEAD_BYTES_MAX ? head_max : REQUEST_HEAD_BYTES_MAX,
        body_bytes > REQUEST_BODY_BYTES_MAX ? body_bytes
                                            : REQUEST_BODY_BYTES_MAX,
        REQUEST_HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS};
    if (host_calls->listener != NULL) {
        SkyListener_SetLimits(host_calls->listener, &limits);
    }
}

void
SkyHostCalls_RegisterHandler(sky_host_calls_t *host_calls, const char *path,
                             sky_host_call_handler_t handler,
                             sky_host_call_disconnect_t on_disconnect,
                             void *context)
{
    if (host_calls->handler_count == HANDLERS_MAX) {
        SkyLog_Write(LOG_ERR, "handler_ignored", "path=%s", path);
        return;
    }
    host_calls->handlers[host_calls->handler_count++] =
        (handler_t){path, handler, on_disconnect, context};
}

void
SkyHostCalls_Respond(sky_server_request_t *server_request, json_t *body)
{
    char *json_text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    SkyServerRequest_Respond(server_request, json_text ? 200 : 503,
                             "Content-Type: application/json\r\n",
                             json_text ? json_text : "",
                             json_text ? strlen(json_text) : 0);
    free(json_text);
}

static void
free_call(sky_host_call_t *call)
{
    DL_DELETE(call->host_calls->calls, call);
    ev_timer_stop(call->host_calls->options.loop, &call->timer);
    SkyBuffer_Clear(&call->response_body);
    SkyMemoryShare_Update(call->host_calls->options.memory_share,
                          &call->held_bytes, 0);
    free(call);
}

static void
finish_call(sky_host_call_t *call, bool response_complete)
{
    json_t *body = NULL;
    if (response_complete && call->response_status == 200) {
        body = json_loadb(SkyBuffer_Data(&call->response_body),
                          SkyBuffer_Size(&call->response_body), 0, NULL);
    }
    sky_host_call_done_t done = call->done;
    void *context = call->context;
    free_call(call);
    done(context, body);
    json_decref(body);
}

static bool
on_response_head(void *context, const sky_http_head_t *head)
{
    sky_host_call_t *call = context;
    call->response_status = head->status;
    return true;
}

static void
on_response_body(void *context, const char *bytes, size_t size)
{
    sky_host_call_t *call = context;
    sky_memory_share_t *share = call->host_calls->options.memory_share;
    SkyBuffer_Append(&call->response_body, bytes, size);
    SkyMemoryShare_Update(share, &call->held_bytes,
                          SkyBuffer_Size(&call->response_body));
    if (SkyMemoryShare_IsExceeded(share, call->held_bytes)) {
        SkyLog_Write(LOG_WARNING, "peer_response_refused", "bytes=%llu",
                     (unsigned long long)call->held_bytes);
        SkyClientRequest_Cancel(call->client_request);
        call->client_request = NULL;
        finish_call(call, false);
    }
}

static void
on_request_end(void *context, sky_client_outcome_t outcome)
{
    sky_host_call_t *call = context;
    call->client_request = NULL;
    finish_call(call, outcome == SKY_CLIENT_OUTCOME_COMPLETE);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_host_call_t *call = watcher->data;
    if (call->client_request != NULL) {
        SkyClientRequest_Cancel(call->client_request);
        call->client_request = NULL;
    }
    finish_call(call, false);
}

sky_host_call_t *
SkyHostCalls_SendCall(sky_host_calls_t *host_calls, const char *address,
                      const char *path, json_t *body, uint32_t timeout_ms,
                      sky_host_call_done_t done, void *context)
{
    struct sockaddr_in peer_address;
    sky_buffer_t request = {0};
    sky_host_call_t *call = NULL;
    char *json_text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (json_text == NULL || !SkySocket_ParseAddress(address, &peer_address)) {
        goto out;
    }
    call = calloc(1, sizeof *call);
    if (call == NULL) {
        goto out;
    }
    call->host_calls = host_calls;
    call->done = done;
    call->context = context;
    DL_APPEND(host_calls->calls, call);
    ev_timer_init(&call->timer, on_timeout, timeout_ms / 1000.0, 0.0);
    call->timer.data = call;
    ev_timer_start(host_calls->options.loop, &call->timer);
    SkyBuffer_AppendFormat(&request,
                           "POST %s HTTP/1.1\r\nHost: %s\r\n"
                           "Content-Length: %zu\r\n\r\n%s",
                           path, address, strlen(json_text), json_text);
    sky_client_request_options_t options = {
        .address = peer_address,
        .request = &request,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .max_body_bytes = RESPONSE_BYTES_MAX,
        .events = {on_response_head, on_response_body, on_request_end},
        .context = call,
    };
    call->client_request =
        SkyClient_Send(host_calls->options.client, &options);
    if (call->client_request == NULL) {
        free_call(call);
        call = NULL;
    }
out:
    SkyBuffer_Clear(&request);
    free(json_text);
    return call;
}

void
SkyHostCalls_CancelCall(sky_host_call_t *call)
{
    if (call->client_request != NULL) {
        SkyClientRequest_Cancel(call->client_request);
    }
    free_call(call);
}

sky_result_t
SkyHostCalls_Create(const sky_host_calls_options_t *options,
                    sky_host_calls_t **host_calls)
{
    sky_host_calls_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    if (options->address[0] != '\0') {
        sky_listener_options_t listener = {
            .loop = options->loop,
            .address = options->address,
            .limits = {REQUEST_HEAD_BYTES_MAX, REQUEST_BODY_BYTES_MAX,
                       REQUEST_HEAD_TIMEOUT_MS, IDLE_TIMEOUT_MS},
            .events = {.on_request = on_request,
                       .on_disconnect = on_caller_disconnect,
                       .on_caller_ready = on_caller_ready},
            .context = self,
            .memory_share = options->memory_share,
            .max_connections = options->max_connections,
            .address_wait_ms = SKY_ADDRESS_WAIT_MS,
            .id_field = SkyWire_RequestIdFieldName(),
            .stats = options->listener_stats,
        };
        sky_result_t result = SkyListener_Create(&listener, &self->listener);
        if (SkyResult_IsError(result)) {
            free(self);
            return result;
        }
    }
    *host_calls = self;
    return SKY_OK;
}

void
SkyHostCalls_Free(sky_host_calls_t *host_calls)
{
    if (host_calls == NULL) {
        return;
    }
    sky_host_call_t *call;
    sky_host_call_t *next;
    DL_FOREACH_SAFE(host_calls->calls, call, next)
    {
        SkyHostCalls_CancelCall(call);
    }
    SkyListener_Free(host_calls->listener);
    free(host_calls);
}
