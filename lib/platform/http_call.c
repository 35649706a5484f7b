#include "platform/http_call.h"

#include <stdlib.h>
#include <string.h>

#include "net/buffer.h"
#include "platform/http_exchange.h"

#define MS_PER_S 1000
#define PORT_MAX 65535

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

static uint32_t
round_up_to_seconds(uint32_t timeout_ms)
{
    return (timeout_ms + MS_PER_S - 1) / MS_PER_S * MS_PER_S;
}

/** A response while it is received. */
typedef struct {
    uint32_t status;
    sky_buffer_t body;
    bool lacks_memory;
} reception_t;

static void
on_head(void *context, const sky_http_head_t *head)
{
    reception_t *reception = context;
    reception->status = head->status;
}

static void
on_body(void *context, const char *bytes, size_t size)
{
    reception_t *reception = context;
    if (SkyResult_IsError(SkyBuffer_Append(&reception->body, bytes, size))) {
        reception->lacks_memory = true;
    }
}

/** Hands the body over, with a terminating zero. */
static sky_http_call_result_t
take_response(reception_t *reception, sky_http_call_response_t *response)
{
    size_t size = SkyBuffer_Size(&reception->body);
    if (reception->lacks_memory ||
        SkyResult_IsError(SkyBuffer_Append(&reception->body, "", 1))) {
        return SKY_HTTP_CALL_UNKNOWN;
    }
    response->status = reception->status;
    response->body = reception->body.bytes; /* nothing was consumed of it */
    response->size = size;
    reception->body = (sky_buffer_t){0};
    return SKY_HTTP_CALL_RESPONDED;
}

static sky_http_call_result_t
receive_response(sky_http_exchange_t *exchange, reception_t *reception,
                 sky_http_call_response_t *response)
{
    while (SkyHttpExchange_Receive(exchange)) {
    }
    switch (SkyHttpExchange_Outcome(exchange)) {
    case SKY_CLIENT_OUTCOME_COMPLETE:
        return take_response(reception, response);
    case SKY_CLIENT_OUTCOME_UNSENT:
        return SKY_HTTP_CALL_NOT_SENT;
    case SKY_CLIENT_OUTCOME_BROKEN:
    case SKY_CLIENT_OUTCOME_GARBLED:
    case SKY_CLIENT_OUTCOME_STOPPED:
        break;
    }
    return SKY_HTTP_CALL_UNKNOWN;
}

static sky_result_t
write_fields(const sky_http_call_t *call, sky_buffer_t *lines)
{
    sky_result_t result = SKY_OK;
    if (call->body != NULL) {
        result =
            SkyBuffer_AppendText(lines, "Content-Type: application/json\r\n");
    }
    if (!SkyResult_IsError(result) && call->header_name != NULL) {
        result = SkyBuffer_AppendFormat(lines, "%s: %s\r\n", call->header_name,
                                        call->header_value);
    }
    return SkyResult_IsError(result) ? result : SkyBuffer_Append(lines, "", 1);
}

sky_http_call_result_t
SkyHttpCall_Run(const sky_http_call_t *call,
                sky_http_call_response_t *response)
{
    sky_buffer_t field_lines = {0};
    reception_t reception = {0};
    sky_http_exchange_t *exchange = NULL;
    sky_http_call_result_t result = SKY_HTTP_CALL_NOT_SENT;
    memset(response, 0, sizeof *response);
    if (!SkyResult_IsError(write_fields(call, &field_lines))) {
        sky_http_exchange_options_t options = {
            .address = call->address,
            .method = call->method,
            .path = call->path,
            .field_lines = SkyBuffer_Data(&field_lines),
            .body = call->body,
            .expires_us = call->expires_us,
            .connect_timeout_ms =
                round_up_to_seconds(call->connect_timeout_ms),
            .silence_timeout_ms = round_up_to_seconds(call->read_timeout_ms),
            .max_body_bytes = SKY_HTTP_CALL_RESPONSE_MAX_BYTES,
            .on_head = on_head,
            .on_body = on_body,
            .context = &reception,
        };
        if (!SkyResult_IsError(SkyHttpExchange_Start(&options, &exchange))) {
            result = receive_response(exchange, &reception, response);
        }
    }
    SkyHttpExchange_Free(exchange);
    SkyBuffer_Clear(&reception.body);
    SkyBuffer_Clear(&field_lines);
    return result;
}
