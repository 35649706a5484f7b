#include "edge/host_calls.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/logging.h"
#include "net/socket.h"

#define HANDLERS_MAX 8
#define CONNECT_TIMEOUT_MS 250 /**< hosts are some ms apart */
#define ANSWER_BYTES_MAX (4u * 1024u * 1024u)
/* Peers are known to keep to these; they bound what a stray caller can do. */
#define HEAD_BYTES 4096
#define BODY_BYTES (1024 * 1024)
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 30000

typedef struct {
    const char *path;
    sky_host_call_handler_t handler;
    sky_host_call_gone_t gone;
    void *context;
} handler_t;

struct sky_host_call {
    sky_host_calls_t *peers;
    sky_sending_t *sending;
    ev_timer timer;
    uint16_t status;
    sky_buffer_t body;
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
    sky_host_call_t *calls;
};

static const handler_t *
handler_of(const sky_host_calls_t *peers, const sky_visit_t *visit)
{
    const char *url = SkyHttp_Url(SkyVisit_Head(visit));
    for (uint32_t i = 0; i < peers->handler_count; i++) {
        if (strcmp(peers->handlers[i].path, url) == 0) {
            return &peers->handlers[i];
        }
    }
    return NULL;
}

static void
on_request(void *context, sky_visit_t *visit)
{
    sky_host_calls_t *peers = context;
    size_t size;
    const char *bytes = SkyVisit_Body(visit, &size);
    const handler_t *handler = handler_of(peers, visit);
    json_t *body = json_loadb(bytes, size, 0, NULL);
    if (handler == NULL || !json_is_object(body)) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused", "path=%s known=%d",
                     SkyHttp_Url(SkyVisit_Head(visit)), handler != NULL);
        SkyVisit_Answer(visit, handler ? 400 : 404, "", "", 0);
    }
    else {
        handler->handler(handler->context, visit, body);
    }
    json_decref(body);
}

static void
on_gone(void *context, sky_visit_t *visit)
{
    const handler_t *handler = handler_of(context, visit);
    if (handler != NULL && handler->gone != NULL) {
        handler->gone(handler->context, visit);
    }
}

void
SkyHostCalls_Handle(sky_host_calls_t *peers, const char *path,
                    sky_host_call_handler_t handler, sky_host_call_gone_t gone,
                    void *context)
{
    if (peers->handler_count < HANDLERS_MAX) {
        peers->handlers[peers->handler_count++] =
            (handler_t){path, handler, gone, context};
    }
}

void
SkyHostCalls_Answer(sky_visit_t *visit, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    SkyVisit_Answer(visit, text ? 200 : 503,
                    "Content-Type: application/json\r\n", text ? text : "",
                    text ? strlen(text) : 0);
    free(text);
}

static void
free_call(sky_host_call_t *call)
{
    DL_DELETE(call->peers->calls, call);
    ev_timer_stop(call->peers->options.loop, &call->timer);
    SkyBuffer_Clear(&call->body);
    free(call);
}

static void
finish(sky_host_call_t *call, bool whole)
{
    json_t *body = NULL;
    if (whole && call->status == 200) {
        body = json_loadb(SkyBuffer_Data(&call->body),
                          SkyBuffer_Size(&call->body), 0, NULL);
    }
    sky_host_call_done_t done = call->done;
    void *context = call->context;
    free_call(call);
    done(context, body);
    json_decref(body);
}

static bool
on_head(void *context, const sky_http_head_t *head)
{
    sky_host_call_t *call = context;
    call->status = head->status;
    return true;
}

static void
on_body(void *context, const char *bytes, size_t size)
{
    sky_host_call_t *call = context;
    if (SkyBuffer_Size(&call->body) + size <= ANSWER_BYTES_MAX) {
        SkyBuffer_Append(&call->body, bytes, size);
    }
}

static void
on_end(void *context, sky_sending_end_t end)
{
    sky_host_call_t *call = context;
    call->sending = NULL;
    finish(call, end == SKY_SENDING_COMPLETE);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_host_call_t *call = watcher->data;
    if (call->sending != NULL) {
        SkySending_Cancel(call->sending);
        call->sending = NULL;
    }
    finish(call, false);
}

sky_host_call_t *
SkyHostCalls_Call(sky_host_calls_t *peers, const char *address,
                  const char *path, json_t *body, uint32_t timeout_ms,
                  sky_host_call_done_t done, void *context)
{
    struct sockaddr_in to;
    sky_buffer_t request = {0};
    sky_host_call_t *call = NULL;
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (text == NULL || !SkySocket_ParseAddress(address, &to)) {
        goto out;
    }
    call = calloc(1, sizeof *call);
    if (call == NULL) {
        goto out;
    }
    call->peers = peers;
    call->done = done;
    call->context = context;
    DL_APPEND(peers->calls, call);
    ev_timer_init(&call->timer, on_timeout, timeout_ms / 1000.0, 0.0);
    call->timer.data = call;
    ev_timer_start(peers->options.loop, &call->timer);
    SkyBuffer_Format(&request,
                     "POST %s HTTP/1.1\r\nHost: %s\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     path, address, strlen(text), text);
    sky_sending_options_t options = {
        .address = to,
        .request = &request,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .events = {on_head, on_body, on_end},
        .context = call,
    };
    call->sending = SkyClient_Send(peers->options.client, &options);
    if (call->sending == NULL) {
        free_call(call);
        call = NULL;
    }
out:
    SkyBuffer_Clear(&request);
    free(text);
    return call;
}

void
SkyHostCalls_Cancel(sky_host_call_t *call)
{
    if (call->sending != NULL) {
        SkySending_Cancel(call->sending);
    }
    free_call(call);
}

sky_result_t
SkyHostCalls_Create(const sky_host_calls_options_t *options,
                    sky_host_calls_t **peers)
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
            .limits = {HEAD_BYTES, BODY_BYTES, HEAD_TIMEOUT_MS,
                       IDLE_TIMEOUT_MS},
            .events = {.on_request = on_request, .on_gone = on_gone},
            .context = self,
        };
        sky_result_t result = SkyListener_Create(&listener, &self->listener);
        if (SkyResult_IsError(result)) {
            free(self);
            return result;
        }
    }
    *peers = self;
    return SKY_OK;
}

void
SkyHostCalls_Free(sky_host_calls_t *peers)
{
    if (peers == NULL) {
        return;
    }
    sky_host_call_t *call;
    sky_host_call_t *next;
    DL_FOREACH_SAFE(peers->calls, call, next)
    {
        SkyHostCalls_Cancel(call);
    }
    SkyListener_Free(peers->listener);
    free(peers);
}
