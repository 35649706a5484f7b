/**
 * @file rig_client.c
 * @brief Callers of the promise rig: raw sockets, kept and new connections.
 */
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define CLIENTS_MAX 256
#define CONNECT_TIMEOUT_MS 3000
/* Longer than the deadline of a request and the pause of a host together. */
#define ANSWER_TIMEOUT_MS 9000
#define DEADLINE_MS 5000
#define TRIES_MAX 5 /* of a piece of work */
#define THINK_MS 25
#define RETURN_MS 60 /* longest wait before the same work is sent again */
#define SMALL_BODY_BYTES 2000
#define LARGE_BODY_BYTES 60000
#define CHUNKS_MAX 4
#define BODY_PAUSE_MS 40

typedef struct {
    int number;
    const rig_clients_options_t *options;
    uint64_t random;
    uint32_t work_count;
    int host;
    rig_stream_t stream; /* fd -1: none */
} client_t;

/** A request to send. */
typedef struct {
    char id[RIG_ID_BYTES];
    const char *path;
    size_t body_size;
    uint32_t chunk_count; /* 0: the body has a length */
    bool pauses;          /* in the middle of the body */
} request_t;

static const struct {
    const char *prefix;
    uint32_t per_hundred;
} ROUTES[ROUTE_COUNT] = {
    [ROUTE_BOOK_ONE] = {"/book1/", 40},
    [ROUTE_BOOK_THREE] = {"/book3/", 30},
    [ROUTE_STREAM] = {"/strm/", 15},
    [ROUTE_LOOK] = {"/look/", 15},
};

static rig_clients_options_t clients_options;
static pthread_t threads[CLIENTS_MAX];
static int thread_count;

static uint32_t
draw(client_t *client, uint32_t below)
{
    return (uint32_t)(Rig_Random(&client->random) % below);
}

static void
disconnect(client_t *client)
{
    if (client->stream.fd >= 0) {
        close(client->stream.fd);
    }
    client->stream.fd = -1;
}

/** @return false if there is no connection to send on */
static bool
connect_to_host(client_t *client)
{
    struct pollfd entry = {client->stream.fd, POLLIN, 0};
    if (client->stream.fd >= 0) {
        /* Bytes before the request is sent, or an end, are no answer to it. */
        if (client->stream.begin == client->stream.end &&
            poll(&entry, 1, 0) == 0) {
            return true;
        }
        disconnect(client);
    }
    client->host = (int)draw(client, (uint32_t)client->options->host_count);
    client->stream.begin = 0;
    client->stream.end = 0;
    client->stream.fd =
        Rig_Connect((uint16_t)(client->options->base_port + RIG_FRONT_OFFSET +
                               client->host),
                    CONNECT_TIMEOUT_MS);
    return client->stream.fd >= 0;
}

static bool
write_chunk(int fd, const char *bytes, size_t size)
{
    char line[32];
    snprintf(line, sizeof line, "%zx\r\n", size);
    return Rig_Write(fd, line, strlen(line)) && Rig_Write(fd, bytes, size) &&
           Rig_Write(fd, "\r\n", 2);
}

static bool
write_body(int fd, const request_t *request)
{
    static char letters[LARGE_BODY_BYTES];
    size_t parts = request->chunk_count > 0 ? request->chunk_count : 2;
    size_t left = request->body_size;
    bool is_sound = true;
    for (size_t i = parts; i > 0 && is_sound; i--) {
        size_t size = i == 1 ? left : left / i;
        left -= size;
        if (request->chunk_count == 0) {
            is_sound = Rig_Write(fd, letters, size);
        }
        else if (size > 0) {
            is_sound = write_chunk(fd, letters, size);
        }
        if (i == parts && request->pauses) {
            Rig_SleepMs(BODY_PAUSE_MS);
        }
    }
    if (request->chunk_count > 0 && is_sound) {
        is_sound = Rig_Write(fd, "0\r\n\r\n", 5);
    }
    return is_sound;
}

static bool
write_request(int fd, const request_t *request)
{
    char head[512];
    char framing[64] = "Transfer-Encoding: chunked";
    if (request->chunk_count == 0) {
        snprintf(framing, sizeof framing, "Content-Length: %zu",
                 request->body_size);
    }
    snprintf(head, sizeof head,
             "POST %s HTTP/1.1\r\nHost: a.example\r\n"
             "X-Skylarkspar-Attempt-Id: %s\r\n"
             "X-Skylarkspar-Deadline-Ms: %d\r\n%s\r\n\r\n",
             request->path, request->id, DEADLINE_MS, framing);
    return Rig_Write(fd, head, strlen(head)) && write_body(fd, request);
}

/** @return status, or ATTEMPT_LOST; @p keeps tells whether the connection can
 *  be used again */
static int
read_answer(rig_stream_t *stream, bool *keeps)
{
    char head[RIG_HEAD_BYTES];
    char value[32];
    uint64_t deadline_ms = Rig_NowMs() + ANSWER_TIMEOUT_MS;
    int status;
    *keeps = false;
    do {
        if (Rig_ReadHead(stream, head, sizeof head, deadline_ms) !=
                RIG_READ_OK ||
            strncmp(head, "HTTP/1.1 ", 9) != 0) {
            return ATTEMPT_LOST;
        }
        status = (int)strtol(head + 9, NULL, 10);
    } while (status >= 100 && status < 200);
    /* A head with a promise counts, whatever becomes of its body. */
    bool is_whole = Rig_SkipBody(stream, head, true, deadline_ms);
    *keeps = is_whole &&
             !(Rig_FindField(head, "Connection", value, sizeof value) &&
               strcmp(value, "close") == 0) &&
             (Rig_FindField(head, "Content-Length", value, sizeof value) ||
              Rig_FindField(head, "Transfer-Encoding", value, sizeof value));
    return is_whole || status != 200 ? status : ATTEMPT_LOST;
}

/** Sends a request once.
 *  @return status, or one of ATTEMPT_* */
static int
send_once(client_t *client, const request_t *request, rig_route_t route)
{
    bool keeps = false;
    int status = ATTEMPT_NOT_SENT;
    bool is_connected = connect_to_host(client);
    Ledger_Begin(request->id, request->path, route, client->host);
    if (is_connected) {
        /* A host may answer before it has the whole body. */
        bool is_written = write_request(client->stream.fd, request);
        status = read_answer(&client->stream, &keeps);
        if (!is_written || !keeps || draw(client, 100) < 15) {
            disconnect(client);
        }
    }
    Ledger_Answer(request->id, status);
    return status;
}

static bool
may_return(int status)
{
    return status == ATTEMPT_NOT_SENT || status == 408 || status == 421 ||
           status == 429 || status == 503;
}

static rig_route_t
draw_route(client_t *client)
{
    uint32_t share = draw(client, 100);
    int route = 0;
    while (route + 1 < ROUTE_COUNT && share >= ROUTES[route].per_hundred) {
        share -= ROUTES[route].per_hundred;
        route++;
    }
    return (rig_route_t)route;
}

static void
do_work(client_t *client)
{
    char path[RIG_ID_BYTES];
    uint32_t number = client->work_count++;
    rig_route_t route = draw_route(client);
    request_t request = {.path = path};
    snprintf(path, sizeof path, "%s%d-%u", ROUTES[route].prefix,
             client->number, number);
    request.body_size = draw(client, 100) < 5 ? draw(client, LARGE_BODY_BYTES)
                                              : draw(client, SMALL_BODY_BYTES);
    request.chunk_count =
        draw(client, 2) == 0 ? 0 : 1 + draw(client, CHUNKS_MAX);
    request.pauses = draw(client, 10) == 0;
    for (int i = 0; i < TRIES_MAX; i++) {
        snprintf(request.id, sizeof request.id, "p%llu-%d-%u-%d",
                 (unsigned long long)client->options->seed, client->number,
                 number, i);
        if (!may_return(send_once(client, &request, route))) {
            break;
        }
        disconnect(client);
        Rig_SleepMs(draw(client, RETURN_MS));
    }
}

static void *
run_client(void *context)
{
    client_t *client = context;
    while (Rig_NowMs() < client->options->end_ms) {
        do_work(client);
        Rig_SleepMs(draw(client, THINK_MS));
    }
    disconnect(client);
    free(client);
    return NULL;
}

bool
Clients_Run(const rig_clients_options_t *options)
{
    clients_options = *options;
    for (int i = 0; i < options->client_count && i < CLIENTS_MAX; i++) {
        client_t *client = calloc(1, sizeof *client);
        client->number = i;
        client->options = &clients_options;
        client->random = Rig_SeedOf(options->seed, "client", (uint64_t)i);
        client->stream.fd = -1;
        if (pthread_create(&threads[i], NULL, run_client, client) != 0) {
            free(client);
            return false;
        }
        thread_count++;
    }
    return true;
}

void
Clients_Join(void)
{
    for (int i = 0; i < thread_count; i++) {
        pthread_join(threads[i], NULL);
    }
}
