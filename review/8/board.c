/**
 * @file board.c
 * @brief Stand-ins of case 8: a worker of a plain service, consumers that read
 *        pages, and calls to the control port of the stand-in of the platform.
 *
 * board worker PORT ID              serves; SIGTERM: it kills itself at once,
 * and prints what was running board free PORT...                exits with 0
 * if all ports are free board call PORT METHOD PATH BODY  prints the status
 * board load NAME PATH SECONDS THREADS PORT...
 *     each thread reads PATH again and again, from the ports in turn. A "%" at
 *     the end of PATH stands for a number that is new each time. Prints a line
 *     for each request with its status (0: no answer), and then
 *     "NAME SECOND SENT SERVED REFUSED OTHER" for each second.
 */
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../tests/rig/rig.h"

#define RUN_MS 100  /* of a request at a worker */
#define PAUSE_MS 50 /* between two requests of a consumer */
#define REQUEST_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 20000
#define FIELD_BYTES 128
#define THREADS_MAX 64
#define SECONDS_MAX 120
#define PORTS_MAX 8

typedef struct {
    int fd;
    const char *id;
} connection_t;

typedef struct {
    atomic_uint sent;
    atomic_uint served;
    atomic_uint refused;
} counts_t;

typedef struct {
    const char *name;
    const char *path;
    uint64_t begin_ms;
    uint64_t end_ms;
    uint16_t ports[PORTS_MAX];
    unsigned port_count;
} load_t;

static counts_t counts[SECONDS_MAX + 1];
static load_t load;
static atomic_uint request_count;
static atomic_int board_count; /* requests for the page that run */

static bool
answer(const connection_t *connection, const char *head)
{
    char expected[FIELD_BYTES];
    char id[FIELD_BYTES];
    char out[RIG_HEAD_BYTES];
    if (strncmp(head, "GET /h ", 7) == 0) {
        snprintf(out, sizeof out,
                 "HTTP/1.1 200 OK\r\nX-Skylarkspar-Instance-Id: %s\r\n"
                 "Content-Length: 0\r\n\r\n",
                 connection->id);
        return Rig_Write(connection->fd, out, strlen(out));
    }
    bool is_board = strncmp(head, "GET /board/", 11) == 0;
    Rig_FindField(head, "X-Skylarkspar-Attempt-Id", id, sizeof id);
    if (Rig_FindField(head, "X-Skylarkspar-Expect-Instance", expected,
                      sizeof expected) &&
        strcmp(expected, connection->id) != 0) {
        snprintf(out, sizeof out,
                 "HTTP/1.1 421 Misdirected Request\r\n"
                 "X-Skylarkspar-Attempt-Id: %s\r\n"
                 "X-Skylarkspar-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                 id);
        return Rig_Write(connection->fd, out, strlen(out));
    }
    atomic_fetch_add(&board_count, is_board);
    printf("worker %s: runs %s\n", connection->id, id);
    Rig_SleepMs(RUN_MS);
    atomic_fetch_sub(&board_count, is_board);
    snprintf(out, sizeof out,
             "HTTP/1.1 200 OK\r\nX-Skylarkspar-Attempt-Id: %s\r\n"
             "X-Skylarkspar-Server-Seal: seal-%s\r\n"
             "Content-Length: 5\r\n\r\nboard",
             id, id);
    return Rig_Write(connection->fd, out, strlen(out));
}

static void *
serve_connection(void *context)
{
    connection_t *connection = context;
    char head[RIG_HEAD_BYTES];
    rig_stream_t *stream = calloc(1, sizeof *stream);
    if (stream != NULL) {
        stream->fd = connection->fd;
        while (
            Rig_ReadHead(stream, head, sizeof head,
                         Rig_NowMs() + IDLE_TIMEOUT_MS) == RIG_READ_OK &&
            Rig_SkipBody(stream, head, false, Rig_NowMs() + IDLE_TIMEOUT_MS) &&
            answer(connection, head)) {
        }
    }
    close(connection->fd);
    free(stream);
    free(connection);
    return NULL;
}

/* A crash as such, at any moment; the log tells what it hit. */
static void
crash(int signal_number)
{
    (void)signal_number;
    char line[] = "crash: 00 requests for the page were running\n";
    int count = board_count < 99 ? board_count : 99;
    line[7] = (char)('0' + count / 10);
    line[8] = (char)('0' + count % 10);
    if (write(STDOUT_FILENO, line, sizeof line - 1) > 0) {
        kill(getpid(), SIGKILL);
    }
    _exit(1);
}

static int
run_worker(const char *port, const char *id)
{
    int listener = Rig_Listen((uint16_t)strtoul(port, NULL, 10));
    signal(SIGTERM, crash);
    while (listener >= 0) {
        pthread_t thread;
        connection_t *connection = calloc(1, sizeof *connection);
        int fd = accept(listener, NULL, NULL);
        if (connection == NULL || fd < 0) {
            break;
        }
        *connection = (connection_t){fd, id};
        Rig_SendAtOnce(fd);
        if (pthread_create(&thread, NULL, serve_connection, connection) != 0) {
            break;
        }
        pthread_detach(thread);
    }
    return 2;
}

static int
check_free(int count, char **ports)
{
    for (int i = 0; i < count; i++) {
        int fd = Rig_Listen((uint16_t)strtoul(ports[i], NULL, 10));
        if (fd < 0) {
            return 1;
        }
        close(fd);
    }
    return 0;
}

/** @return status; 0: no complete answer */
static int
read_page(uint16_t port, unsigned number)
{
    char head[RIG_HEAD_BYTES];
    int status = 0;
    uint64_t deadline_ms = Rig_NowMs() + REQUEST_TIMEOUT_MS;
    size_t path_length = strcspn(load.path, "%");
    char unique[FIELD_BYTES] = "";
    rig_stream_t *stream = calloc(1, sizeof *stream);
    if (stream == NULL) {
        return 0;
    }
    if (load.path[path_length] == '%') {
        snprintf(unique, sizeof unique, "%u", number);
    }
    snprintf(head, sizeof head,
             "GET %.*s%s HTTP/1.1\r\nHost: a.example\r\n"
             "X-Skylarkspar-Attempt-Id: %s-%u\r\n"
             "X-Skylarkspar-Deadline-Ms: 1500\r\n\r\n",
             (int)path_length, load.path, unique, load.name, number);
    stream->fd = Rig_Connect(port, REQUEST_TIMEOUT_MS);
    if (stream->fd >= 0) {
        if (Rig_Write(stream->fd, head, strlen(head)) &&
            Rig_ReadHead(stream, head, sizeof head, deadline_ms) ==
                RIG_READ_OK &&
            Rig_SkipBody(stream, head, true, deadline_ms)) {
            status = (int)strtol(head + strlen("HTTP/1.1 "), NULL, 10);
        }
        close(stream->fd);
    }
    free(stream);
    return status;
}

static void *
read_pages(void *context)
{
    (void)context;
    while (Rig_NowMs() < load.end_ms) {
        unsigned number = atomic_fetch_add(&request_count, 1);
        uint64_t second = (Rig_NowMs() - load.begin_ms) / 1000;
        counts_t *count = &counts[second < SECONDS_MAX ? second : SECONDS_MAX];
        uint16_t port = load.ports[number % load.port_count];
        int status = read_page(port, number);
        printf("request %s-%u in second %u to port %u: %d\n", load.name,
               number, (unsigned)second, port, status);
        atomic_fetch_add(&count->sent, 1);
        atomic_fetch_add(&count->served, status == 200);
        atomic_fetch_add(&count->refused, status == 503 || status == 429);
        Rig_SleepMs(PAUSE_MS);
    }
    return NULL;
}

static int
run_load(int argc, char **argv)
{
    pthread_t threads[THREADS_MAX];
    unsigned long seconds = strtoul(argv[2], NULL, 10);
    unsigned long thread_count = strtoul(argv[3], NULL, 10);
    if (thread_count > THREADS_MAX || seconds > SECONDS_MAX) {
        return 2;
    }
    load = (load_t){.name = argv[0], .path = argv[1]};
    load.begin_ms = Rig_NowMs();
    load.end_ms = load.begin_ms + seconds * 1000;
    for (int i = 4; i < argc && load.port_count < PORTS_MAX; i++) {
        load.ports[load.port_count++] = (uint16_t)strtoul(argv[i], NULL, 10);
    }
    for (unsigned long i = 0; i < thread_count; i++) {
        if (pthread_create(&threads[i], NULL, read_pages, NULL) != 0) {
            return 2;
        }
    }
    for (unsigned long i = 0; i < thread_count; i++) {
        pthread_join(threads[i], NULL);
    }
    for (unsigned long i = 0; i < seconds; i++) {
        unsigned sent = counts[i].sent;
        unsigned served = counts[i].served;
        unsigned refused = counts[i].refused;
        printf("%s %lu %u %u %u %u\n", load.name, i, sent, served, refused,
               sent - served - refused);
    }
    return 0;
}

int
main(int argc, char **argv)
{
    signal(SIGPIPE, SIG_IGN);
    setvbuf(stdout, NULL, _IOLBF, 0);
    if (argc == 4 && strcmp(argv[1], "worker") == 0) {
        return run_worker(argv[2], argv[3]);
    }
    if (argc > 2 && strcmp(argv[1], "free") == 0) {
        return check_free(argc - 2, argv + 2);
    }
    if (argc == 6 && strcmp(argv[1], "call") == 0) {
        printf("%d\n", Rig_Call((uint16_t)strtoul(argv[2], NULL, 10), argv[3],
                                argv[4], argv[5]));
        return 0;
    }
    if (argc > 6 && strcmp(argv[1], "load") == 0) {
        return run_load(argc - 2, argv + 2);
    }
    return 2;
}
