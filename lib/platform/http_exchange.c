#include "platform/http_exchange.h"

#include <ev.h>
#include <netdb.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "decide/types.h"
#include "platform/http_call.h"

#define MS_PER_S 1000.0

struct sky_http_exchange {
    sky_http_exchange_options_t options;
    struct ev_loop *loop;
    sky_client_t *client;
    sky_client_request_t *request; /**< NULL once it has ended */
    sky_client_exchange_t progress;
    uint64_t sent_bytes; /**< as the timer was started */
    ev_timer silence_timer;
    sky_client_outcome_t outcome;
    bool has_received; /**< since SkyHttpExchange_Receive() was called */
};

static bool
on_head(void *context, const sky_http_head_t *head)
{
    sky_http_exchange_t *exchange = context;
    exchange->has_received = true;
    exchange->options.on_head(exchange->options.context, head);
    return true;
}

static void
on_body(void *context, const char *bytes, size_t size)
{
    sky_http_exchange_t *exchange = context;
    exchange->has_received = true;
    exchange->options.on_body(exchange->options.context, bytes, size);
}

static void
on_end(void *context, sky_client_outcome_t outcome)
{
    sky_http_exchange_t *exchange = context;
    exchange->request = NULL;
    exchange->outcome = outcome;
}

static void
start_silence_timer(sky_http_exchange_t *exchange)
{
    exchange->sent_bytes = exchange->progress.sent_bytes;
    ev_timer_again(exchange->loop, &exchange->silence_timer);
}

static void
on_silence(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_http_exchange_t *exchange = watcher->data;
    /* Until the first byte is sent, the time to connect counts. */
    if (exchange->progress.sent_bytes == 0 ||
        exchange->progress.sent_bytes > exchange->sent_bytes) {
        start_silence_timer(exchange);
        return;
    }
    SkyClientRequest_Cancel(exchange->request);
    exchange->request = NULL;
    exchange->outcome = SKY_CLIENT_OUTCOME_BROKEN;
}

static sky_result_t
resolve_address(const char *text, struct sockaddr_in *address)
{
    char host[SKY_ADDRESS_BYTES];
    uint16_t port;
    struct addrinfo hints = {.ai_family = AF_INET, .ai_socktype = SOCK_STREAM};
    struct addrinfo *found = NULL;
    sky_result_t result =
        SkyHttpCall_SplitAddress(text, host, sizeof host, &port);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (getaddrinfo(host, NULL, &hints, &found) != 0) {
        return SKY_E_IO;
    }
    memcpy(address, found->ai_addr, sizeof *address);
    address->sin_port = htons(port);
    freeaddrinfo(found);
    return SKY_OK;
}

static sky_result_t
write_request(const sky_http_exchange_options_t *options, sky_buffer_t *out)
{
    const char *field_lines = options->field_lines ? options->field_lines : "";
    sky_result_t result = SkyBuffer_AppendFormat(
        out, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s",
        options->method, options->path, options->address, field_lines);
    if (!SkyResult_IsError(result) && options->body != NULL) {
        result = SkyBuffer_AppendFormat(out, "Content-Length: %zu\r\n",
                                        strlen(options->body));
    }
    if (!SkyResult_IsError(result)) {
        result = SkyBuffer_AppendText(out, "\r\n");
    }
    if (!SkyResult_IsError(result) && options->body != NULL) {
        result = SkyBuffer_AppendText(out, options->body);
    }
    return result;
}

static sky_result_t
send_request(sky_http_exchange_t *exchange, const struct sockaddr_in *address)
{
    sky_buffer_t request = {0};
    sky_client_request_options_t options = {
        .address = *address,
        .request = &request,
        .connect_timeout_ms = exchange->options.connect_timeout_ms,
        .expires_us = exchange->options.expires_us,
        .max_body_bytes = exchange->options.max_body_bytes,
        .is_new_connection = true,
        .exchange = &exchange->progress,
        .events = {on_head, on_body, on_end},
        .context = exchange,
    };
    sky_result_t result = write_request(&exchange->options, &request);
    if (!SkyResult_IsError(result)) {
        exchange->request = SkyClient_Send(exchange->client, &options);
        result = exchange->request != NULL ? SKY_OK : SKY_E_MEMORY;
    }
    SkyBuffer_Clear(&request);
    return result;
}

sky_result_t
SkyHttpExchange_Start(const sky_http_exchange_options_t *options,
                      sky_http_exchange_t **started)
{
    struct sockaddr_in address;
    sky_result_t result = resolve_address(options->address, &address);
    if (SkyResult_IsError(result)) {
        return result;
    }
    sky_http_exchange_t *exchange = calloc(1, sizeof *exchange);
    if (exchange == NULL) {
        return SKY_E_MEMORY;
    }
    exchange->options = *options;
    exchange->outcome = SKY_CLIENT_OUTCOME_UNSENT;
    /* poll() needs no descriptor of its own. */
    exchange->loop = ev_loop_new(EVBACKEND_POLL);
    if (exchange->loop == NULL) {
        free(exchange);
        return SKY_E_MEMORY;
    }
    ev_init(&exchange->silence_timer, on_silence);
    exchange->silence_timer.repeat = options->silence_timeout_ms / MS_PER_S;
    exchange->silence_timer.data = exchange;
    sky_client_options_t client_options = {.loop = exchange->loop};
    result = SkyClient_Create(&client_options, &exchange->client);
    if (!SkyResult_IsError(result)) {
        result = send_request(exchange, &address);
    }
    if (SkyResult_IsError(result)) {
        SkyHttpExchange_Free(exchange);
        return result;
    }
    *started = exchange;
    return SKY_OK;
}

bool
SkyHttpExchange_Receive(sky_http_exchange_t *exchange)
{
    exchange->has_received = false;
    if (exchange->request != NULL) {
        /* The loop's time stood still since the last call. */
        ev_now_update(exchange->loop);
        start_silence_timer(exchange);
    }
    while (exchange->request != NULL && !exchange->has_received) {
        ev_run(exchange->loop, EVRUN_ONCE);
    }
    return exchange->has_received;
}

sky_client_outcome_t
SkyHttpExchange_Outcome(const sky_http_exchange_t *exchange)
{
    if (exchange->request != NULL) {
        return SkyClientRequest_HasSentBytes(exchange->request)
                   ? SKY_CLIENT_OUTCOME_BROKEN
                   : SKY_CLIENT_OUTCOME_UNSENT;
    }
    return exchange->outcome;
}

void
SkyHttpExchange_Free(sky_http_exchange_t *exchange)
{
    if (exchange == NULL) {
        return;
    }
    SkyClient_Free(exchange->client);
    ev_timer_stop(exchange->loop, &exchange->silence_timer);
    ev_loop_destroy(exchange->loop);
    free(exchange);
}
