/**
 * @file rig_worker.c
 * @brief The worker of the promise rig: answers each request in a kind drawn
 *        from the seed, and records what it ran.
 */
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define IDLE_TIMEOUT_MS 20000
#define BODY_TIMEOUT_MS 6000
#define OUT_BYTES 4096
#define THREAD_STACK_BYTES (256 * 1024)
/* Shares in the draw: success, so that kept connections live, and others. */
#define SUCCESS_WEIGHT 6
#define OTHER_WEIGHT 1
#define STRAY_DELAY_MS 20
#define LATE_MIN_MS 500
#define LATE_SPREAD_MS 1700

#define MARK "X-Skylarkspar-Not-Executed: 1\r\n"
#define SEAL "X-Skylarkspar-Server-Seal: r1\r\n"
#define STRAY "HTTP/1.1 503 Busy\r\n" MARK "Content-Length: 5\r\n\r\nstray"

typedef struct {
    rig_stream_t stream;
    uint64_t random; /* of the connection */
    bool carried_request;
    bool has_before;
    rig_kind_t before;
    char pending[OUT_BYTES]; /* written before the next response */
    bool sent_stray;         /* since the last response was read from it */
} connection_t;

/** A request that is answered. */
typedef struct {
    char head[RIG_HEAD_BYTES];
    char id[RIG_ID_BYTES];
    uint64_t random;
    uint64_t deadline_ms;
    bool is_stream;
    rig_send_t send;
} exchange_t;

static rig_worker_options_t options;
static atomic_uint connection_count;
static atomic_uint accepted_count;
static int listen_fds[RIG_TARGETS];

static uint32_t
weight_of(int kind)
{
    return kind == KIND_SUCCESS ? SUCCESS_WEIGHT : OTHER_WEIGHT;
}

static uint32_t
sum_weights(void)
{
    uint32_t sum = 0;
    for (int kind = 0; kind < KIND_COUNT; kind++) {
        sum += options.kinds[kind] ? weight_of(kind) : 0;
    }
    return sum;
}

/** KIND_MARKED_FIRST is drawn with a connection; here it is a success. */
static rig_kind_t
draw_kind(uint64_t *random)
{
    uint32_t share = (uint32_t)(Rig_Random(random) % sum_weights());
    for (int kind = 0; kind < KIND_COUNT; kind++) {
        uint32_t weight = options.kinds[kind] ? weight_of(kind) : 0;
        if (share < weight) {
            return kind == KIND_MARKED_FIRST ? KIND_SUCCESS : (rig_kind_t)kind;
        }
        share -= weight;
    }
    return KIND_SUCCESS;
}

/** Writes bytes, after those that precede this response. */
static bool
write_bytes(connection_t *connection, const char *bytes, size_t size)
{
    char out[2 * OUT_BYTES];
    size_t pending = strlen(connection->pending);
    memcpy(out, connection->pending, pending);
    memcpy(out + pending, bytes, size);
    connection->pending[0] = '\0';
    return Rig_Write(connection->stream.fd, out, pending + size);
}

static bool
write_text(connection_t *connection, const char *text)
{
    return write_bytes(connection, text, strlen(text));
}

/** Formats a whole response with the request's id. */
static void
format_response(const exchange_t *exchange, int status, const char *fields,
                char *out, size_t size)
{
    const char *body = "id: 1\ndata: done\n\n";
    if (exchange->is_stream && status == 200) {
        snprintf(out, size,
                 "HTTP/1.1 %d X\r\nX-Skylarkspar-Attempt-Id: %s\r\n%s"
                 "Content-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
                 status, exchange->id, fields, strlen(body), body);
        return;
    }
    snprintf(out, size,
             "HTTP/1.1 %d X\r\nX-Skylarkspar-Attempt-Id: %s\r\n%s"
             "Content-Length: %zu\r\n\r\n%s",
             status, exchange->id, fields, strlen(body), body);
}

static bool
respond(connection_t *connection, const exchange_t *exchange, int status,
        const char *fields)
{
    char out[OUT_BYTES];
    format_response(exchange, status, fields, out, sizeof out);
    return write_text(connection, out);
}

static bool
read_body(connection_t *connection, exchange_t *exchange)
{
    return Rig_SkipBody(&connection->stream, exchange->head, false,
                        exchange->deadline_ms);
}

/** Refuses a request that never runs.
 *  @return false if the connection ends */
static bool
refuse(connection_t *connection, exchange_t *exchange)
{
    char out[OUT_BYTES];
    rig_kind_t kind = exchange->send.kind;
    int status =
        kind == KIND_REFUSED_429 ||
                (kind != KIND_REFUSED_503 && Rig_Random(&exchange->random) % 2)
            ? 429
            : 503;
    format_response(exchange, status, MARK, out, sizeof out);
    if (kind == KIND_REFUSED_EARLY) {
        return write_text(connection, out) && read_body(connection, exchange);
    }
    if (!read_body(connection, exchange)) {
        return false;
    }
    if (kind == KIND_REFUSED_CUT) {
        write_bytes(connection, out, strlen(out) - 1);
        return false;
    }
    if (!write_text(connection, out)) {
        return false;
    }
    if (kind == KIND_REFUSED_AGAIN) {
        memcpy(connection->pending, out, sizeof out);
    }
    return kind != KIND_REFUSED_CLOSE;
}

/** Responds with a success and writes a refusal without an id, which answers
 *  no request.
 *  @return false if the connection ends */
static bool
respond_and_stray(connection_t *connection, exchange_t *exchange)
{
    size_t part = 1 + Rig_Random(&exchange->random) % (strlen(STRAY) - 1);
    bool is_delayed = Rig_Random(&exchange->random) % 2;
    size_t at_once = exchange->send.kind == KIND_STRAY_AT_ONCE ? strlen(STRAY)
                     : exchange->send.kind == KIND_STRAY_IN_PART ? part
                                                                 : 0;
    char out[OUT_BYTES];
    size_t size;
    format_response(exchange, 200, SEAL, out, sizeof out);
    size = strlen(out);
    if (!is_delayed && at_once > 0) {
        memcpy(out + size, STRAY, at_once);
        size += at_once;
    }
    if (!write_bytes(connection, out, size)) {
        return false;
    }
    if (is_delayed && at_once > 0) {
        Rig_SleepMs(Rig_Random(&exchange->random) % STRAY_DELAY_MS);
        Rig_Write(connection->stream.fd, STRAY, at_once);
    }
    connection->sent_stray = at_once > 0;
    snprintf(connection->pending, sizeof connection->pending, "%s",
             STRAY + at_once);
    return true;
}

/** Responds in the middle, or not at all, or with bytes that are no HTTP.
 *  @return false: the connection ends */
static bool
break_off(connection_t *connection, exchange_t *exchange)
{
    char out[OUT_BYTES];
    switch (exchange->send.kind) {
    case KIND_RESET:
        Rig_Reset(connection->stream.fd);
        connection->stream.fd = -1;
        break;
    case KIND_HALF:
        format_response(exchange, 200, SEAL, out, sizeof out);
        write_bytes(connection, out,
                    1 + Rig_Random(&exchange->random) % (strlen(out) - 1));
        break;
    case KIND_NO_HTTP:
        write_text(connection, "\x16\x03no such thing as HTTP\r\n\r\n");
        break;
    default:
        break;
    }
    return false;
}

/** Refuses a request that ran, in a head that is no HTTP/1.1. */
static bool
refuse_in_broken_head(connection_t *connection, exchange_t *exchange)
{
    static const char *const STARTS[] = {
        "HTTP/1.1 503 X\r\nA B: c\r\n",
        "HTTP/1.1 503 X\r\nA: b\r\n c\r\n",
        "HTTP/1.1 503 X\r\nA: \x01\r\n",
        "HTTP/1.1 503 X\rXA: b\r\n",
        "HTTP/1.1 0503 X\r\n",
        "HTTP/2.0 503 X\r\n",
        "HTTQ/1.1 503 X\r\n",
    };
    char out[OUT_BYTES];
    snprintf(out, sizeof out,
             "%sX-Skylarkspar-Attempt-Id: %s\r\n" MARK
             "Content-Length: 7\r\n\r\nrefused",
             STARTS[Rig_Random(&exchange->random) %
                    (sizeof STARTS / sizeof STARTS[0])],
             exchange->id);
    return write_text(connection, out);
}

/** Answers a request that has begun to run.
 *  @return false if the connection ends */
static bool
answer_run(connection_t *connection, exchange_t *exchange)
{
    switch (exchange->send.kind) {
    case KIND_SUCCESS_AGAIN:
        if (!respond(connection, exchange, 200, SEAL)) {
            return false;
        }
        format_response(exchange, 200, SEAL, connection->pending,
                        sizeof connection->pending);
        return true;
    case KIND_STRAY_AT_ONCE:
    case KIND_STRAY_IN_PART:
    case KIND_STRAY_BEFORE:
        return respond_and_stray(connection, exchange);
    case KIND_CLOSE:
    case KIND_RESET:
    case KIND_HALF:
    case KIND_NO_HTTP:
        return break_off(connection, exchange);
    case KIND_ERROR_500:
        return respond(connection, exchange, 500, SEAL);
    case KIND_ERROR_504:
        return respond(connection, exchange, 504, SEAL);
    case KIND_NO_SEAL:
        return respond(connection, exchange, 200, "");
    case KIND_INTERIM:
        return write_text(connection, "HTTP/1.1 103 Early Hints\r\n\r\n") &&
               respond(connection, exchange, 200, SEAL);
    case KIND_LATE:
        Rig_SleepMs(LATE_MIN_MS +
                    Rig_Random(&exchange->random) % LATE_SPREAD_MS);
        return respond(connection, exchange, 200, SEAL);
    case KIND_CLOSE_AFTER:
        respond(connection, exchange, 200, SEAL);
        return false;
    case KIND_UNMARKED_503:
        return respond(connection, exchange, 503, SEAL);
    case KIND_UNMARKED_429:
        return respond(connection, exchange, 429, SEAL);
    case KIND_UNMARKED_408:
        return respond(connection, exchange, 408, SEAL);
    case KIND_UNMARKED_421:
        return respond(connection, exchange, 421, SEAL);
    case KIND_MARKED_200:
        return respond(connection, exchange, 200, SEAL MARK);
    case KIND_MARKED_GARBLED: {
        char out[OUT_BYTES];
        snprintf(out, sizeof out,
                 "HTTP/1.1 503 X\r\nX-Skylarkspar-Attempt-Id: %s\r\n" MARK
                 "Transfer-Encoding: chunked\r\n\r\nzz\r\nrefused\r\n",
                 exchange->id);
        return write_text(connection, out);
    }
    case KIND_MARKED_BROKEN_HEAD:
        return refuse_in_broken_head(connection, exchange);
    default:
        return respond(connection, exchange, 200, SEAL);
    }
}

static bool
is_refusal(rig_kind_t kind)
{
    return kind >= KIND_REFUSED_503 && kind <= KIND_REFUSED_AGAIN;
}

/** @return false if the connection ends */
static bool
handle_request(connection_t *connection, exchange_t *exchange)
{
    rig_send_t *send = &exchange->send;
    if (send->kind == KIND_RESET_UNREAD) {
        Ledger_RecordSend(send);
        Rig_Reset(connection->stream.fd);
        connection->stream.fd = -1;
        return false;
    }
    if (is_refusal(send->kind)) {
        send->is_whole_refusal = send->kind != KIND_REFUSED_CUT &&
                                 connection->pending[0] == '\0' &&
                                 !connection->sent_stray;
        Ledger_RecordSend(send);
        return refuse(connection, exchange);
    }
    Ledger_RecordSend(send);
    if (!read_body(connection, exchange)) {
        return false;
    }
    Ledger_RecordRun(send);
    return answer_run(connection, exchange);
}

/** @return false if the connection ends */
static bool
handle_next(connection_t *connection, exchange_t *exchange)
{
    if (Rig_ReadHead(&connection->stream, exchange->head,
                     sizeof exchange->head,
                     Rig_NowMs() + IDLE_TIMEOUT_MS) != RIG_READ_OK) {
        return false;
    }
    exchange->deadline_ms = Rig_NowMs() + BODY_TIMEOUT_MS;
    if (strstr(exchange->head, " /h HTTP/") != NULL) {
        return write_text(connection,
                          "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
    }
    if (!Rig_FindField(exchange->head, "X-Skylarkspar-Attempt-Id",
                       exchange->id, sizeof exchange->id)) {
        return false;
    }
    if (!connection->carried_request) {
        connection->carried_request = true;
        connection_count++;
    }
    exchange->is_stream = strstr(exchange->head, " /strm/") != NULL;
    exchange->random = Rig_SeedOf(options.seed, exchange->id,
                                  Ledger_CountArrival(exchange->id));
    exchange->send = (rig_send_t){.id = exchange->id,
                                  .kind = draw_kind(&exchange->random),
                                  .before = connection->before,
                                  .has_before = connection->has_before};
    bool goes_on = handle_request(connection, exchange);
    connection->before = exchange->send.kind;
    connection->has_before = true;
    return goes_on;
}

static void *
run_connection(void *context)
{
    connection_t *connection = context;
    exchange_t *exchange = calloc(1, sizeof *exchange);
    if (options.kinds[KIND_MARKED_FIRST] &&
        Rig_Random(&connection->random) % sum_weights() < OTHER_WEIGHT) {
        Rig_Write(connection->stream.fd, STRAY, strlen(STRAY));
        connection->has_before = true;
        connection->before = KIND_MARKED_FIRST;
        connection->sent_stray = true;
    }
    while (handle_next(connection, exchange)) {
    }
    if (connection->stream.fd >= 0) {
        close(connection->stream.fd);
    }
    free(exchange);
    free(connection);
    return NULL;
}

static void *
accept_connections(void *context)
{
    int listen_fd = *(int *)context;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    for (;;) {
        pthread_t thread;
        int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            Rig_SleepMs(1);
            continue;
        }
        Rig_SendAtOnce(fd);
        connection_t *connection = calloc(1, sizeof *connection);
        connection->stream.fd = fd;
        connection->random =
            Rig_SeedOf(options.seed, "connection", accepted_count++);
        if (pthread_create(&thread, &attributes, run_connection, connection) !=
            0) {
            close(fd);
            free(connection);
        }
    }
    return NULL;
}

bool
Worker_Start(const rig_worker_options_t *worker_options)
{
    options = *worker_options;
    for (int i = 0; i < RIG_TARGETS; i++) {
        pthread_t thread;
        listen_fds[i] =
            Rig_Listen((uint16_t)(options.base_port + RIG_TARGET_OFFSET + i));
        if (listen_fds[i] < 0 ||
            pthread_create(&thread, NULL, accept_connections,
                           &listen_fds[i]) != 0) {
            return false;
        }
        pthread_detach(thread);
    }
    return true;
}

uint32_t
Worker_ConnectionCount(void)
{
    return connection_count;
}
