/**
 * @file crowd.c
 * @brief A crowd of slow or hostile clients of one address.
 *
 * skyfake crowd ADDRESS:PORT KIND CONNECTIONS HOLD_MS [PATH [BODY_BYTES]]
 *
 * Opens the connections at once and keeps them for HOLD_MS; one that the
 * server closes is not opened again. Prints "opened N closed M responses R": R
 * is the number of connections on which response bytes were read. A PATH of
 * /gen/ is requested as a stream of an engine.
 *
 * KIND:
 * - whole, chunked: a body of BODY_BYTES, as fast as possible
 * - pieces: the same in writes of PIECE_BYTES
 * - short: the same, but its last SHORT_BYTES are not sent
 * - over, over_chunked: a body without end, whose stated length is
 *   OVER_BODY_BYTES
 * - fields: a request with FIELD_COUNT short fields, again and again
 * - pipelined: PIPELINED_REQUESTS requests, whose responses are not read
 * - slow_head, slow_body: a byte each SLOW_INTERVAL_MS
 * - slow_reader: a request whose response is read SLOW_READ_BYTES each
 *   SLOW_INTERVAL_MS
 * - no_reader: a request whose response is not read
 * - reset: half of a body, then a reset
 * - idle: nothing is sent
 * - mixed: all of these in turn
 */
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "fake_http.h"
#include "net/buffer.h"
#include "net/socket.h"

#define CROWD_MAX 2000
#define PIECE_BYTES 1000
#define CHUNK_BYTES 1000
#define WRITE_BYTES 65536
#define SHORT_BYTES 1000
#define OVER_BODY_BYTES 400000000ull
#define FIELD_COUNT 60
#define PIPELINED_REQUESTS 4000
#define SLOW_INTERVAL_MS 200
#define SLOW_READ_BYTES 64
/** The kernel would hold much of an unread response otherwise. */
#define SLOW_RECEIVE_BUFFER_BYTES 4096
#define BODY_BYTES_DEFAULT 4000000ull
#define POLL_MS 20

typedef enum {
    KIND_WHOLE,
    KIND_CHUNKED,
    KIND_PIECES,
    KIND_SHORT,
    KIND_OVER,
    KIND_OVER_CHUNKED,
    KIND_FIELDS,
    KIND_PIPELINED,
    KIND_SLOW_HEAD,
    KIND_SLOW_BODY,
    KIND_SLOW_READER,
    KIND_NO_READER,
    KIND_RESET,
    KIND_IDLE,
    KIND_COUNT,
} crowd_kind_t;

static const char *const KIND_NAMES[KIND_COUNT] = {
    "whole",        "chunked",   "pieces",    "short",     "over",
    "over_chunked", "fields",    "pipelined", "slow_head", "slow_body",
    "slow_reader",  "no_reader", "reset",     "idle"};

typedef struct {
    crowd_kind_t kind;
    int fd; /* -1: closed */
    sky_buffer_t output;
    uint64_t body_left;      /* bytes of the body not in the output yet */
    uint32_t requests_left;  /* to send after the current one */
    uint32_t request_number; /* part of the attempt id */
    uint64_t next_ms;        /* a slow client does nothing before */
    bool has_response;
} crowd_client_t;

static crowd_client_t clients[CROWD_MAX];
static const char *crowd_path = "/look/1";
static uint64_t crowd_body_bytes = BODY_BYTES_DEFAULT;

static bool
is_chunked(crowd_kind_t kind)
{
    return kind == KIND_CHUNKED || kind == KIND_OVER_CHUNKED;
}

static bool
has_body(crowd_kind_t kind)
{
    return kind <= KIND_OVER_CHUNKED || kind == KIND_SLOW_BODY ||
           kind == KIND_RESET;
}

static bool
reads_nothing(crowd_kind_t kind)
{
    return kind == KIND_PIPELINED || kind == KIND_NO_READER;
}

static bool
is_slow_sender(crowd_kind_t kind)
{
    return kind == KIND_SLOW_HEAD || kind == KIND_SLOW_BODY;
}

/* Appends the next request's head and sets the size of its body. */
static void
begin_request(crowd_client_t *client, int number)
{
    sky_buffer_t *output = &client->output;
    crowd_kind_t kind = client->kind;
    bool is_stream = strncmp(crowd_path, "/gen/", 5) == 0;
    SkyBuffer_AppendFormat(output,
                           "%s %s HTTP/1.1\r\nHost: a.example\r\n"
                           "X-Skylarkspar-Attempt-Id: %s-%d-%u\r\n"
                           "X-Skylarkspar-Deadline-Ms: 5000\r\n",
                           has_body(kind) || is_stream ? "POST" : "GET",
                           crowd_path, KIND_NAMES[kind], number,
                           client->request_number++);
    if (is_stream) {
        SkyBuffer_AppendText(output, "X-Skylarkspar-Model: m1\r\n");
    }
    for (int i = 0; kind == KIND_FIELDS && i < FIELD_COUNT - 4; i++) {
        SkyBuffer_AppendFormat(output, "a%d: b\r\n", i);
    }
    client->body_left = has_body(kind) ? crowd_body_bytes : 0;
    if (kind == KIND_OVER || kind == KIND_OVER_CHUNKED) {
        client->body_left = OVER_BODY_BYTES;
    }
    if (is_chunked(kind)) {
        SkyBuffer_AppendText(output, "Transfer-Encoding: chunked\r\n\r\n");
        return;
    }
    if (has_body(kind) || is_stream) {
        SkyBuffer_AppendFormat(output, "Content-Length: %llu\r\n",
                               (unsigned long long)client->body_left);
    }
    SkyBuffer_AppendText(output, "\r\n");
    if (kind == KIND_SHORT) {
        client->body_left -= SHORT_BYTES;
    }
    if (kind == KIND_RESET) {
        client->body_left /= 2;
    }
}

/* Refills an empty output; returns false if all is sent. */
static bool
refill_output(crowd_client_t *client, int number)
{
    static char filler[WRITE_BYTES];
    memset(filler, 'x', sizeof filler);
    if (SkyBuffer_Size(&client->output) > 0) {
        return true;
    }
    if (client->body_left > 0) {
        size_t size = is_chunked(client->kind) ? CHUNK_BYTES : WRITE_BYTES;
        if (size > client->body_left) {
            size = (size_t)client->body_left;
        }
        client->body_left -= size;
        if (is_chunked(client->kind)) {
            SkyBuffer_AppendFormat(&client->output, "%zx\r\n", size);
        }
        SkyBuffer_Append(&client->output, filler, size);
        if (is_chunked(client->kind)) {
            SkyBuffer_AppendText(&client->output, client->body_left > 0
                                                      ? "\r\n"
                                                      : "\r\n0\r\n\r\n");
        }
        return true;
    }
    if (client->requests_left > 0) {
        client->requests_left--;
        begin_request(client, number);
        return true;
    }
    return false;
}

static void
close_client(crowd_client_t *client, bool with_reset)
{
    if (with_reset) {
        SkySocket_CloseWithReset(client->fd);
    }
    else {
        close(client->fd);
    }
    client->fd = -1;
    SkyBuffer_Clear(&client->output);
}

static void
send_some(crowd_client_t *client, int number)
{
    if (!refill_output(client, number)) {
        if (client->kind == KIND_RESET) {
            close_client(client, true);
        }
        return;
    }
    size_t size = SkyBuffer_Size(&client->output);
    if (client->kind == KIND_PIECES && size > PIECE_BYTES) {
        size = PIECE_BYTES;
    }
    if (is_slow_sender(client->kind)) {
        bool sends_head =
            client->kind == KIND_SLOW_BODY && client->next_ms == 0;
        size = sends_head ? size : 1;
        client->next_ms = SkyClock_NowMs() + SLOW_INTERVAL_MS;
    }
    ssize_t sent =
        send(client->fd, SkyBuffer_Data(&client->output), size, MSG_NOSIGNAL);
    if (sent > 0) {
        SkyBuffer_Consume(&client->output, (size_t)sent);
    }
    else if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) {
        close_client(client, false);
    }
}

static void
receive_some(crowd_client_t *client)
{
    char bytes[WRITE_BYTES];
    size_t size = sizeof bytes;
    if (client->kind == KIND_SLOW_READER) {
        size = SLOW_READ_BYTES;
        client->next_ms = SkyClock_NowMs() + SLOW_INTERVAL_MS;
    }
    ssize_t received = recv(client->fd, bytes, size, 0);
    client->has_response = client->has_response || received > 0;
    if (received == 0 || (received < 0 && errno != EAGAIN)) {
        close_client(client, false);
    }
}

static void
open_client(crowd_client_t *client, crowd_kind_t kind,
            const struct sockaddr_in *address)
{
    *client = (crowd_client_t){.kind = kind, .requests_left = 1};
    if (kind == KIND_IDLE) {
        client->requests_left = 0;
    }
    if (kind == KIND_PIPELINED || kind == KIND_FIELDS) {
        client->requests_left = PIPELINED_REQUESTS;
    }
    client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (client->fd < 0) {
        return;
    }
    int size = SLOW_RECEIVE_BUFFER_BYTES;
    if (reads_nothing(kind) || kind == KIND_SLOW_READER) {
        setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    }
    if (connect(client->fd, (const struct sockaddr *)address,
                sizeof *address) != 0 &&
        errno != EINPROGRESS) {
        close_client(client, false);
    }
}

static void
serve_clients(int count)
{
    static struct pollfd polled[CROWD_MAX];
    uint64_t now = SkyClock_NowMs();
    for (int i = 0; i < count; i++) {
        crowd_client_t *client = &clients[i];
        bool waits = client->next_ms > now;
        bool has_output = SkyBuffer_Size(&client->output) > 0 ||
                          client->body_left > 0 || client->requests_left > 0 ||
                          client->kind == KIND_RESET;
        polled[i] = (struct pollfd){.fd = waits ? -1 : client->fd};
        polled[i].events = (short)((has_output ? POLLOUT : 0) |
                                   (reads_nothing(client->kind) ? 0 : POLLIN));
    }
    poll(polled, (nfds_t)count, POLL_MS);
    for (int i = 0; i < count; i++) {
        crowd_client_t *client = &clients[i];
        if ((polled[i].revents & (POLLERR | POLLHUP)) != 0) {
            close_client(client, false);
            continue;
        }
        if ((polled[i].revents & POLLIN) != 0) {
            receive_some(client);
        }
        if (client->fd >= 0 && (polled[i].revents & POLLOUT) != 0) {
            send_some(client, i);
        }
    }
}

static int
find_kind(const char *name)
{
    for (int i = 0; i < KIND_COUNT; i++) {
        if (strcmp(name, KIND_NAMES[i]) == 0) {
            return i;
        }
    }
    return -1;
}

int
Crowd_Main(int argc, char **argv)
{
    struct sockaddr_in address;
    int kind = argc > 3 ? find_kind(argv[3]) : -1;
    bool is_mixed = argc > 3 && strcmp(argv[3], "mixed") == 0;
    int count = argc > 4 ? atoi(argv[4]) : 0;
    if (argc < 6 || (kind < 0 && !is_mixed) || count < 1 ||
        count > CROWD_MAX || !SkySocket_ParseAddress(argv[2], &address)) {
        fprintf(stderr, "usage: crowd ADDRESS:PORT KIND CONNECTIONS HOLD_MS "
                        "[PATH [BODY_BYTES]]\n");
        return 2;
    }
    crowd_path = argc > 6 ? argv[6] : crowd_path;
    crowd_body_bytes =
        argc > 7 ? strtoull(argv[7], NULL, 10) : crowd_body_bytes;
    struct rlimit limit = {CROWD_MAX + 100, CROWD_MAX + 100};
    setrlimit(RLIMIT_NOFILE, &limit);
    uint64_t end_ms = SkyClock_NowMs() + strtoull(argv[5], NULL, 10);
    for (int i = 0; i < count; i++) {
        open_client(&clients[i],
                    (crowd_kind_t)(is_mixed ? i % KIND_COUNT : kind),
                    &address);
    }
    while (SkyClock_NowMs() < end_ms) {
        serve_clients(count);
    }
    int closed_count = 0;
    int response_count = 0;
    for (int i = 0; i < count; i++) {
        closed_count += clients[i].fd < 0;
        response_count += clients[i].has_response;
    }
    printf("opened %d closed %d responses %d\n", count, closed_count,
           response_count);
    return 0;
}
