#include "platform/http_call.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "decide/types.h"

#define MS_PER_S 1000
#define PORT_MAX 65535
#define CHUNK_BYTES 8192

sky_result_t
SkyHttpCall_InitLibrary(void)
{
    return ne_sock_init() == 0 ? SKY_OK : SKY_E_IO;
}

sky_result_t
SkyHttpCall_SplitAddress(const char *text, char *host, size_t host_size,
                         uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    char *end = NULL;
    if (colon == NULL || (size_t)(colon - text) >= host_size) {
        return SKY_E_SETTINGS;
    }
    unsigned long number = strtoul(colon + 1, &end, 10);
    if (end == colon + 1 || *end != '\0' || number > PORT_MAX) {
        return SKY_E_SETTINGS;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    *port = (uint16_t)number;
    return SKY_OK;
}

static int
round_up_to_seconds(uint32_t timeout_ms)
{
    return (int)((timeout_ms + MS_PER_S - 1) / MS_PER_S);
}

static sky_result_t
read_response_body(ne_request *request, sky_http_call_response_t *response)
{
    char chunk[CHUNK_BYTES];
    FILE *stream = open_memstream(&response->body, &response->size);
    ssize_t count;
    size_t total = 0;
    if (stream == NULL) {
        return SKY_E_MEMORY;
    }
    while ((count = ne_read_response_block(request, chunk, sizeof chunk)) >
           0) {
        total += (size_t)count;
        if (total > SKY_HTTP_CALL_RESPONSE_MAX_BYTES) {
            count = -1;
            break;
        }
        fwrite(chunk, 1, (size_t)count, stream);
    }
    fclose(stream);
    return count == 0 ? SKY_OK : SKY_E_IO;
}

/** Progress of sending the body. */
typedef struct {
    const sky_http_call_t *call;
    size_t sent;
    bool is_started;
} upload_t;

/** neon calls this once it has connected and written the head. An expired body
 *  is not sent; the target then discards the incomplete request. */
static ssize_t
provide_body(void *context, char *buffer, size_t size)
{
    upload_t *upload = context;
    const sky_http_call_t *call = upload->call;
    if (size == 0) { /* neon starts, or restarts, the body */
        upload->sent = 0;
        return 0;
    }
    if (!upload->is_started && call->expires_us != 0 &&
        SkyClock_NowUs() >= call->expires_us) {
        return -1;
    }
    size_t left = strlen(call->body) - upload->sent;
    size_t count = left < size ? left : size;
    upload->is_started = true;
    memcpy(buffer, call->body + upload->sent, count);
    upload->sent += count;
    return (ssize_t)count;
}

static sky_http_call_result_t
run_request(ne_request *request, const upload_t *upload,
            sky_http_call_response_t *response)
{
    int result = ne_begin_request(request);
    if (result == NE_CONNECT || result == NE_LOOKUP ||
        (result != NE_OK && upload->call->body != NULL &&
         !upload->is_started)) {
        return SKY_HTTP_CALL_NOT_SENT;
    }
    if (result != NE_OK) {
        return SKY_HTTP_CALL_UNKNOWN;
    }
    response->status = (uint32_t)ne_get_status(request)->code;
    if (SkyResult_IsError(read_response_body(request, response)) ||
        ne_end_request(request) != NE_OK) {
        free(response->body);
        response->body = NULL;
        return SKY_HTTP_CALL_UNKNOWN;
    }
    return SKY_HTTP_CALL_RESPONDED;
}

sky_http_call_result_t
SkyHttpCall_Run(const sky_http_call_t *call,
                sky_http_call_response_t *response)
{
    char host[SKY_ADDRESS_BYTES];
    uint16_t port;
    upload_t upload = {.call = call};
    memset(response, 0, sizeof *response);
    if (SkyResult_IsError(SkyHttpCall_SplitAddress(call->address, host,
                                                   sizeof host, &port))) {
        return SKY_HTTP_CALL_NOT_SENT;
    }
    ne_session *session = ne_session_create("http", host, port);
    ne_set_connect_timeout(session,
                           round_up_to_seconds(call->connect_timeout_ms));
    ne_set_read_timeout(session, round_up_to_seconds(call->read_timeout_ms));
    ne_set_session_flag(session, NE_SESSFLAG_PERSIST, 0);
    ne_request *request = ne_request_create(session, call->method, call->path);
    if (call->body != NULL) {
        ne_add_request_header(request, "Content-Type", "application/json");
        ne_set_request_body_provider(request, (ne_off_t)strlen(call->body),
                                     provide_body, &upload);
    }
    if (call->header_name != NULL) {
        ne_add_request_header(request, call->header_name, call->header_value);
    }
    sky_http_call_result_t result = run_request(request, &upload, response);
    ne_request_destroy(request);
    ne_session_destroy(session);
    return result;
}
