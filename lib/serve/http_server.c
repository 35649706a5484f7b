#include "serve/http_server.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/http_call.h"
#include "serve/admin.h"
#include "serve/caller_request.h"
#include "serve/status.h"

#define STREAM_BLOCK_BYTES 16384
#define THREAD_STACK_BYTES (512 * 1024)
#define MS_PER_S 1000
#define ERROR_EVENT_BYTES 256
#define JSON_CONTENT_TYPE "application/json"

struct sky_http_server {
    sky_control_t *control;
    void (*on_drain)(void *context);
    void *context;
    struct MHD_Daemon *daemon;
    MHD_socket listener;
    bool listening;
};

/** Body of a request that is being received. */
typedef struct {
    char *body;
    size_t size;
    size_t capacity;
    bool too_large;
} request_body_t;

/* ---- responses ---- */

static enum MHD_Result
send_text(struct MHD_Connection *connection, uint32_t status, char *text,
          const char *content_type)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", content_type);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static char *
format_error_json(sky_result_t code, uint32_t retry_after_ms)
{
    json_t *root =
        json_pack("{s:{s:s, s:i, s:s, s:s, s:I}}", "error", "code",
                  SkyResult_Symbol(code), "number", (int)code, "message",
                  SkyResult_Text(code), "outcome", SkyResult_Outcome(code),
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
    char *text = format_error_json(code, retry_after_ms);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", JSON_CONTENT_TYPE);
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
    sky_caller_request_t *request;
    bool ended;
    bool broken;
} stream_t;

static ssize_t
write_error_event(char *buffer, size_t size, sky_result_t code)
{
    char *text = format_error_json(code, 0);
    int length = snprintf(buffer, size, "data: %s\n\n", text);
    free(text);
    return length;
}

/** Called by libmicrohttpd on the connection's thread, so it may block. */
static ssize_t
read_stream(void *context, uint64_t position, char *buffer, size_t size)
{
    stream_t *stream = context;
    sky_result_t detail;
    (void)position;
    if (stream->broken) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (stream->ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    size_t count = SkyTargetExchange_ReadEvents(
        SkyCallerRequest_Exchange(stream->request), buffer, size,
        &stream->ended, &detail);
    if (count == 0) {
        stream->broken = true;
        SkyCallerRequest_Finish(stream->request, SKY_OUTCOME_BROKEN);
        return write_error_event(buffer, size, detail);
    }
    if (stream->ended) {
        SkyCallerRequest_Finish(stream->request, SKY_OUTCOME_COMPLETED);
    }
    return (ssize_t)count;
}

static void
free_stream(void *context)
{
    stream_t *stream = context;
    SkyCallerRequest_Free(stream->request);
    free(stream);
}

static enum MHD_Result
send_stream(struct MHD_Connection *connection, sky_caller_request_t *request)
{
    stream_t *stream = calloc(1, sizeof *stream);
    if (stream == NULL) {
        SkyCallerRequest_Free(request);
        return MHD_NO;
    }
    stream->request = request;
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
send_full_response(struct MHD_Connection *connection,
                   sky_caller_request_t *request)
{
    size_t size;
    sky_target_exchange_t *exchange = SkyCallerRequest_Exchange(request);
    const char *body = SkyTargetExchange_Body(exchange, &size);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size, (void *)body, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type",
                            SkyTargetExchange_ContentType(exchange));
    enum MHD_Result result = MHD_queue_response(
        connection, SkyTargetExchange_Status(exchange), response);
    MHD_destroy_response(response);
    SkyCallerRequest_Finish(request, SKY_OUTCOME_COMPLETED);
    SkyCallerRequest_Free(request);
    return result;
}

/* ---- routes ---- */

static const char *
find_header(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

static const char *
find_query_argument(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

static int
get_socket(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info ? info->connect_fd : -1;
}

static enum MHD_Result
handle_caller_request(sky_http_server_t *server,
                      struct MHD_Connection *connection, const char *method,
                      const char *path, const request_body_t *request_body)
{
    sky_caller_request_input_t input = {.method = method, .path = path};
    input.body = request_body->body ? request_body->body : "";
    input.body_size = request_body->size;
    input.authorization = find_header(connection, "Authorization");
    input.idempotency_key = find_header(connection, "Idempotency-Key");
    input.timeout_ms = find_header(connection, "X-Timeout-Ms");
    input.socket = get_socket(connection);
    sky_caller_request_t *request =
        SkyCallerRequest_Create(server->control, &input);
    if (request == NULL) {
        return send_error(connection, SKY_E_MEMORY, MS_PER_S);
    }
    sky_result_t result = SkyCallerRequest_Run(request);
    if (SkyResult_IsError(result)) {
        uint32_t retry_after_ms = SkyCallerRequest_RetryAfterMs(request);
        SkyCallerRequest_Free(request);
        return send_error(connection, result, retry_after_ms);
    }
    if (!SkyCallerRequest_MayRelay(request)) {
        SkyCallerRequest_Finish(request, SKY_OUTCOME_COMPLETED);
        SkyCallerRequest_Free(request);
        return send_error(connection, SKY_E_UNKNOWN, 0);
    }
    return SkyTargetExchange_IsStream(SkyCallerRequest_Exchange(request))
               ? send_stream(connection, request)
               : send_full_response(connection, request);
}

static enum MHD_Result
handle_operator_request(sky_http_server_t *server,
                        struct MHD_Connection *connection, const char *method,
                        const char *path, const request_body_t *request_body)
{
    sky_admin_request_t admin_request = {.method = method, .path = path};
    char *json = NULL;
    admin_request.body = request_body->body ? request_body->body : "";
    admin_request.body_size = request_body->size;
    admin_request.authorization = find_header(connection, "Authorization");
    admin_request.kind = find_query_argument(connection, "kind");
    admin_request.name = find_query_argument(connection, "name");
    admin_request.drain = server->on_drain;
    admin_request.context = server->context;
    sky_result_t result =
        SkyAdmin_HandleRequest(server->control, &admin_request, &json);
    if (json == NULL) {
        return send_error(connection, result, 0);
    }
    return send_text(connection, SkyResult_HttpStatus(result), json,
                     JSON_CONTENT_TYPE);
}

static enum MHD_Result
handle_readiness_probe(const sky_http_server_t *server,
                       struct MHD_Connection *connection)
{
    if (SkyControl_IsReady(server->control)) {
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
route_request(sky_http_server_t *server, struct MHD_Connection *connection,
              const char *method, const char *path,
              const request_body_t *request_body)
{
    if (request_body->too_large) {
        return send_error(connection, SKY_E_TOO_LARGE, 0);
    }
    if (is_caller_path(path)) {
        return handle_caller_request(server, connection, method, path,
                                     request_body);
    }
    if (strncmp(path, "/admin/", 7) == 0) {
        return handle_operator_request(server, connection, method, path,
                                       request_body);
    }
    if (strcmp(path, "/readyz") == 0) {
        return handle_readiness_probe(server, connection);
    }
    if (strcmp(path, "/healthz") == 0) {
        return send_text(connection, MHD_HTTP_OK, strdup("ok\n"),
                         "text/plain");
    }
    if (strcmp(path, "/metrics") == 0) {
        return send_text(connection, MHD_HTTP_OK,
                         SkyStatus_WriteMetrics(server->control),
                         "text/plain; version=0.0.4");
    }
    return send_error(connection, SKY_E_NOT_FOUND, 0);
}

/* ---- callbacks of libmicrohttpd ---- */

static void
append_to_body(const sky_http_server_t *server, request_body_t *request_body,
               const char *data, size_t size)
{
    size_t max = SkyControl_Settings(server->control)->body_bytes_max;
    if (request_body->too_large || request_body->size + size > max) {
        request_body->too_large = true;
        return;
    }
    if (request_body->size + size + 1 > request_body->capacity) {
        size_t capacity = 2 * (request_body->size + size + 1);
        char *body = realloc(request_body->body, capacity);
        if (body == NULL) {
            request_body->too_large = true;
            return;
        }
        request_body->body = body;
        request_body->capacity = capacity;
    }
    memcpy(request_body->body + request_body->size, data, size);
    request_body->size += size;
    request_body->body[request_body->size] = '\0';
}

static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *data,
           size_t *size, void **request_state)
{
    sky_http_server_t *server = context;
    request_body_t *request_body = *request_state;
    (void)version;
    if (request_body == NULL) {
        request_body = calloc(1, sizeof *request_body);
        *request_state = request_body;
        return request_body ? MHD_YES : MHD_NO;
    }
    if (*size > 0) {
        append_to_body(server, request_body, data, *size);
        *size = 0;
        return MHD_YES;
    }
    return route_request(server, connection, method, path, request_body);
}

static void
on_request_completed(void *context, struct MHD_Connection *connection,
                     void **request_state,
                     enum MHD_RequestTerminationCode code)
{
    request_body_t *request_body = *request_state;
    (void)context;
    (void)connection;
    (void)code;
    if (request_body != NULL) {
        free(request_body->body);
        free(request_body);
        *request_state = NULL;
    }
}

static sky_result_t
parse_listen_address(const char *text, struct sockaddr_in *address)
{
    char host[SKY_ADDRESS_BYTES];
    uint16_t port;
    sky_result_t result =
        SkyHttpCall_SplitAddress(text, host, sizeof host, &port);
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
SkyHttpServer_Create(sky_control_t *control, void (*on_drain)(void *context),
                     void *context, sky_http_server_t **created)
{
    const sky_settings_t *settings = SkyControl_Settings(control);
    struct sockaddr_in address;
    sky_result_t result =
        parse_listen_address(settings->host_listen, &address);
    if (SkyResult_IsError(result)) {
        return result;
    }
    sky_http_server_t *server = calloc(1, sizeof *server);
    if (server == NULL) {
        return SKY_E_MEMORY;
    }
    server->control = control;
    server->on_drain = on_drain;
    server->context = context;
    server->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL | MHD_USE_ITC,
        0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, NULL,
        MHD_OPTION_CONNECTION_LIMIT, settings->connections_max,
        MHD_OPTION_PER_IP_CONNECTION_LIMIT, settings->caller_connections_max,
        MHD_OPTION_CONNECTION_TIMEOUT, settings->idle_ms / MS_PER_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)settings->header_bytes_max,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024u, MHD_OPTION_END);
    if (server->daemon == NULL) {
        free(server);
        return SKY_E_IO;
    }
    server->listening = true;
    *created = server;
    return SKY_OK;
}

void
SkyHttpServer_StopListening(sky_http_server_t *server)
{
    if (server->listening) {
        server->listening = false;
        MHD_socket listener = MHD_quiesce_daemon(server->daemon);
        if (listener != MHD_INVALID_SOCKET) {
            close(listener);
        }
    }
}

void
SkyHttpServer_Free(sky_http_server_t *server)
{
    if (server == NULL) {
        return;
    }
    SkyHttpServer_StopListening(server);
    MHD_stop_daemon(server->daemon);
    free(server);
}
