#include "serve/front.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/http.h"
#include "serve/admin.h"
#include "serve/call.h"
#include "serve/status.h"

#define STREAM_BLOCK_BYTES 16384
#define STACK_BYTES (512 * 1024)
#define MS_PER_S 1000
#define ERROR_EVENT_BYTES 256
#define JSON_TYPE "application/json"

struct sky_front {
    sky_control_t *control;
    void (*drain)(void *context);
    void *context;
    struct MHD_Daemon *daemon;
    MHD_socket listener;
    bool listening;
};

/** A request while its body comes in. */
typedef struct {
    char *body;
    size_t size;
    size_t capacity;
    bool too_large;
} upload_t;

/* ---- answers ---- */

static enum MHD_Result
send_text(struct MHD_Connection *connection, uint32_t status, char *text,
          const char *type)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", type);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static char *
error_body(sky_result_t code, uint32_t retry_after_ms)
{
    json_t *root =
        json_pack("{s:{s:s, s:i, s:s, s:s, s:I}}", "error", "code",
                  SkyResult_Symbol(code), "number", (int)code, "message",
                  SkyResult_Text(code), "outcome", SkyResult_Kind(code),
                  "retry_after_ms", (json_int_t)retry_after_ms);
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static enum MHD_Result
send_error(struct MHD_Connection *connection, sky_result_t code,
           uint32_t retry_after_ms)
{
    char seconds[16];
    char *text = error_body(code, retry_after_ms);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", JSON_TYPE);
    if (retry_after_ms > 0) {
        snprintf(seconds, sizeof seconds, "%u",
                 (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    if (code == SKY_E_DRAINING) {
        MHD_add_response_header(response, "Connection", "close");
    }
    enum MHD_Result result =
        MHD_queue_response(connection, SkyResult_HttpStatus(code), response);
    MHD_destroy_response(response);
    return result;
}

/* ---- streams ---- */

typedef struct {
    sky_call_t *call;
    bool ended;
    bool broken;
} stream_t;

static ssize_t
error_event(char *buffer, size_t size, sky_result_t code)
{
    char *text = error_body(code, 0);
    int length = snprintf(buffer, size, "data: %s\n\n", text);
    free(text);
    return length;
}

/** Called by libmicrohttpd on the connection's thread; may block. */
static ssize_t
read_stream(void *opaque, uint64_t position, char *buffer, size_t size)
{
    stream_t *stream = opaque;
    sky_result_t detail;
    (void)position;
    if (stream->broken) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (stream->ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    size_t count = SkyRelay_ReadEvents(SkyCall_Relay(stream->call), buffer,
                                       size, &stream->ended, &detail);
    if (count == 0) {
        stream->broken = true;
        SkyCall_Finish(stream->call, SKY_OUTCOME_BROKEN);
        return error_event(buffer, size, detail);
    }
    if (stream->ended) {
        SkyCall_Finish(stream->call, SKY_OUTCOME_COMPLETED);
    }
    return (ssize_t)count;
}

static void
free_stream(void *opaque)
{
    stream_t *stream = opaque;
    SkyCall_Free(stream->call);
    free(stream);
}

static enum MHD_Result
send_stream(struct MHD_Connection *connection, sky_call_t *call)
{
    stream_t *stream = calloc(1, sizeof *stream);
    if (stream == NULL) {
        SkyCall_Free(call);
        return MHD_NO;
    }
    stream->call = call;
    struct MHD_Response *response =
        MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                          read_stream, stream, free_stream);
    MHD_add_response_header(response, "Content-Type", "text/event-stream");
    MHD_add_response_header(response, "Cache-Control", "no-cache");
    enum MHD_Result result =
        MHD_queue_response(connection, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
send_whole(struct MHD_Connection *connection, sky_call_t *call)
{
    size_t size;
    sky_relay_t *relay = SkyCall_Relay(call);
    const char *body = SkyRelay_Body(relay, &size);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size, (void *)body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type",
                            SkyRelay_ContentType(relay));
    enum MHD_Result result =
        MHD_queue_response(connection, SkyRelay_Status(relay), response);
    MHD_destroy_response(response);
    SkyCall_Finish(call, SKY_OUTCOME_COMPLETED);
    SkyCall_Free(call);
    return result;
}

/* ---- routes ---- */

static const char *
header(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

static const char *
query(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

static int
socket_of(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info ? info->connect_fd : -1;
}

static enum MHD_Result
serve_caller(sky_front_t *front, struct MHD_Connection *connection,
             const char *method, const char *path, const upload_t *upload)
{
    sky_call_input_t input = {.method = method, .path = path};
    input.body = upload->body ? upload->body : "";
    input.body_size = upload->size;
    input.authorization = header(connection, "Authorization");
    input.idempotency_key = header(connection, "Idempotency-Key");
    input.timeout_ms = header(connection, "X-Timeout-Ms");
    input.socket = socket_of(connection);
    sky_call_t *call = SkyCall_Create(front->control, &input);
    if (call == NULL) {
        return send_error(connection, SKY_E_MEMORY, MS_PER_S);
    }
    sky_result_t result = SkyCall_Run(call);
    if (SkyResult_IsError(result)) {
        uint32_t retry_after_ms = SkyCall_RetryAfterMs(call);
        SkyCall_Free(call);
        return send_error(connection, result, retry_after_ms);
    }
    return SkyRelay_IsStream(SkyCall_Relay(call))
               ? send_stream(connection, call)
               : send_whole(connection, call);
}

static enum MHD_Result
serve_operator(sky_front_t *front, struct MHD_Connection *connection,
               const char *method, const char *path, const upload_t *upload)
{
    sky_admin_call_t call = {.method = method, .path = path};
    char *answer = NULL;
    call.body = upload->body ? upload->body : "";
    call.body_size = upload->size;
    call.authorization = header(connection, "Authorization");
    call.kind = query(connection, "kind");
    call.name = query(connection, "name");
    call.drain = front->drain;
    call.context = front->context;
    sky_result_t result = SkyAdmin_Run(front->control, &call, &answer);
    if (answer == NULL) {
        return send_error(connection, result, 0);
    }
    return send_text(connection, SkyResult_HttpStatus(result), answer,
                     JSON_TYPE);
}

static enum MHD_Result
serve_ready(const sky_front_t *front, struct MHD_Connection *connection)
{
    if (SkyControl_IsReady(front->control)) {
        return send_text(connection, MHD_HTTP_OK, strdup("ready\n"),
                         "text/plain");
    }
    return send_error(connection, SKY_E_NOT_READY, MS_PER_S);
}

static bool
is_caller_path(const char *path)
{
    return strcmp(path, "/v1/completions") == 0 ||
           strcmp(path, "/v1/chat/completions") == 0 ||
           strncmp(path, "/svc/", 5) == 0;
}

static enum MHD_Result
route(sky_front_t *front, struct MHD_Connection *connection,
      const char *method, const char *path, const upload_t *upload)
{
    if (upload->too_large) {
        return send_error(connection, SKY_E_TOO_LARGE, 0);
    }
    if (is_caller_path(path)) {
        return serve_caller(front, connection, method, path, upload);
    }
    if (strncmp(path, "/admin/", 7) == 0) {
        return serve_operator(front, connection, method, path, upload);
    }
    if (strcmp(path, "/readyz") == 0) {
        return serve_ready(front, connection);
    }
    if (strcmp(path, "/healthz") == 0) {
        return send_text(connection, MHD_HTTP_OK, strdup("ok\n"),
                         "text/plain");
    }
    if (strcmp(path, "/metrics") == 0) {
        return send_text(connection, MHD_HTTP_OK,
                         SkyStatus_Metrics(front->control),
                         "text/plain; version=0.0.4");
    }
    return send_error(connection, SKY_E_NOT_FOUND, 0);
}

/* ---- libmicrohttpd ---- */

static void
take_upload(const sky_front_t *front, upload_t *upload, const char *data,
            size_t size)
{
    size_t max = SkyControl_Settings(front->control)->body_bytes_max;
    if (upload->too_large || upload->size + size > max) {
        upload->too_large = true;
        return;
    }
    if (upload->size + size + 1 > upload->capacity) {
        size_t capacity = 2 * (upload->size + size + 1);
        char *body = realloc(upload->body, capacity);
        if (body == NULL) {
            upload->too_large = true;
            return;
        }
        upload->body = body;
        upload->capacity = capacity;
    }
    memcpy(upload->body + upload->size, data, size);
    upload->size += size;
    upload->body[upload->size] = '\0';
}

static enum MHD_Result
handle(void *opaque, struct MHD_Connection *connection, const char *path,
       const char *method, const char *version, const char *data, size_t *size,
       void **state)
{
    sky_front_t *front = opaque;
    upload_t *upload = *state;
    (void)version;
    if (upload == NULL) {
        upload = calloc(1, sizeof *upload);
        *state = upload;
        return upload ? MHD_YES : MHD_NO;
    }
    if (*size > 0) {
        take_upload(front, upload, data, *size);
        *size = 0;
        return MHD_YES;
    }
    return route(front, connection, method, path, upload);
}

static void
request_done(void *opaque, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    upload_t *upload = *state;
    (void)opaque;
    (void)connection;
    (void)code;
    if (upload != NULL) {
        free(upload->body);
        free(upload);
        *state = NULL;
    }
}

static sky_result_t
listen_address(const char *text, struct sockaddr_in *address)
{
    char host[SKY_ADDRESS_BYTES];
    uint16_t port;
    sky_result_t result = SkyHttp_SplitAddress(text, host, sizeof host, &port);
    if (SkyResult_IsError(result)) {
        return result;
    }
    memset(address, 0, sizeof *address);
    address->sin_family = AF_INET;
    address->sin_port = htons(port);
    return inet_pton(AF_INET, host, &address->sin_addr) == 1 ? SKY_OK
                                                             : SKY_E_SETTINGS;
}

sky_result_t
SkyFront_Create(sky_control_t *control, void (*drain)(void *context),
                void *context, sky_front_t **created)
{
    const sky_settings_t *settings = SkyControl_Settings(control);
    struct sockaddr_in address;
    sky_result_t result = listen_address(settings->host_listen, &address);
    if (SkyResult_IsError(result)) {
        return result;
    }
    sky_front_t *front = calloc(1, sizeof *front);
    if (front == NULL) {
        return SKY_E_MEMORY;
    }
    front->control = control;
    front->drain = drain;
    front->context = context;
    front->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL | MHD_USE_ITC,
        0, NULL, NULL, handle, front, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, request_done, NULL,
        MHD_OPTION_CONNECTION_LIMIT, settings->connections_max,
        MHD_OPTION_PER_IP_CONNECTION_LIMIT, settings->caller_connections_max,
        MHD_OPTION_CONNECTION_TIMEOUT, settings->idle_ms / MS_PER_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)settings->header_bytes_max,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024u, MHD_OPTION_END);
    if (front->daemon == NULL) {
        free(front);
        return SKY_E_IO;
    }
    front->listening = true;
    *created = front;
    return SKY_OK;
}

void
SkyFront_StopListening(sky_front_t *front)
{
    if (front->listening) {
        front->listening = false;
        MHD_socket listener = MHD_quiesce_daemon(front->daemon);
        if (listener != MHD_INVALID_SOCKET) {
            close(listener);
        }
    }
}

void
SkyFront_Free(sky_front_t *front)
{
    if (front == NULL) {
        return;
    }
    SkyFront_StopListening(front);
    MHD_stop_daemon(front->daemon);
    free(front);
}
