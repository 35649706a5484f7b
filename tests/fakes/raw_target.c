/**
 * @file raw_target.c
 * @brief Stand-in for a target that answers with the bytes of a file, so that
 *        a response can be broken in any way.
 *
 * skyfake raw ADDRESS:PORT DIRECTORY
 *
 * The last segment of a request's path names the file. Its first line tells
 * what happens around the bytes that follow it:
 *
 *     READ END [held]
 *
 * READ: "whole": the request is read to its end first; "start": only its
 * beginning. END: "keep" the connection, "close" it, "reset" it, or "linger":
 * end the stream, then read the rest of the request. A response that is "held"
 * waits, from the creation of NAME.arrived on, until NAME.go exists; NAME.done
 * follows it. In the bytes the first "@ID@" stands for the request's id.
 *
 * "/h" gets 200. NAME.count holds how many requests named a file.
 */
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake_http.h"
#include "net/socket.h"

#define HEAD_BYTES_MAX 16384
#define ANSWER_BYTES_MAX (1024 * 1024)
#define NAME_BYTES 64
#define PATH_BYTES 512
/* Far below the uploads of the tests, which then can't be written whole. */
#define RECEIVE_BUFFER_BYTES 32768
#define HELD_MAX_MS 10000
#define LINGER_MAX_MS 2000
#define ID_FIELD "X-Skylarkspar-Attempt-Id: "
#define ID_MARK "@ID@"

typedef enum {
    END_KEEP,
    END_CLOSE,
    END_RESET,
    END_LINGER,
} connection_end_t;

/** How a request is answered. */
typedef struct {
    bool reads_whole;
    bool is_held;
    connection_end_t end;
    size_t size;
    char bytes[ANSWER_BYTES_MAX];
} answer_t;

typedef struct {
    char name[NAME_BYTES];
    char id[NAME_BYTES];
    size_t body_left; /* bytes of the body that were not read yet */
} request_t;

static const char *directory;
static pthread_mutex_t count_mutex = PTHREAD_MUTEX_INITIALIZER;

static FILE *
open_file(const char *name, const char *suffix, const char *mode)
{
    char path[PATH_BYTES];
    snprintf(path, sizeof path, "%s/%s%s", directory, name, suffix);
    return fopen(path, mode);
}

static void
create_file(const char *name, const char *suffix)
{
    FILE *file = open_file(name, suffix, "w");
    if (file != NULL) {
        fclose(file);
    }
}

static void
count_request(const char *name)
{
    unsigned count = 0;
    pthread_mutex_lock(&count_mutex);
    FILE *file = open_file(name, ".count", "r");
    if (file != NULL) {
        count = fscanf(file, "%u", &count) == 1 ? count : 0;
        fclose(file);
    }
    file = open_file(name, ".count", "w");
    if (file != NULL) {
        fprintf(file, "%u\n", count + 1);
        fclose(file);
    }
    pthread_mutex_unlock(&count_mutex);
}

static bool
parse_end(const char *word, connection_end_t *end)
{
    static const char *const NAMES[] = {"keep", "close", "reset", "linger"};
    for (int i = 0; i < 4; i++) {
        if (strcmp(word, NAMES[i]) == 0) {
            *end = (connection_end_t)i;
            return true;
        }
    }
    return false;
}

/** @return false if there is no such file, or its first line is odd */
static bool
read_answer(const char *name, answer_t *answer)
{
    char line[64];
    char read_word[16] = "";
    char end_word[16] = "";
    char held_word[16] = "";
    FILE *file = open_file(name, "", "r");
    if (file == NULL) {
        return false;
    }
    bool is_valid =
        fgets(line, sizeof line, file) != NULL &&
        sscanf(line, "%15s %15s %15s", read_word, end_word, held_word) >= 2 &&
        parse_end(end_word, &answer->end);
    answer->reads_whole = strcmp(read_word, "whole") == 0;
    answer->is_held = strcmp(held_word, "held") == 0;
    answer->size = fread(answer->bytes, 1, sizeof answer->bytes, file);
    fclose(file);
    return is_valid;
}

static void
copy_word(const char *text, const char *ends, char *word)
{
    snprintf(word, NAME_BYTES, "%.*s", (int)strcspn(text, ends), text);
}

/** Reads a head and takes the request apart.
 *  @return false if the connection ended, or the head is too large */
static bool
read_request(int fd, request_t *request)
{
    char head[HEAD_BYTES_MAX + 1];
    size_t size = 0;
    char *end = NULL;
    while (end == NULL) {
        ssize_t count = recv(fd, head + size, HEAD_BYTES_MAX - size, 0);
        if (count <= 0) {
            return false;
        }
        size += (size_t)count;
        head[size] = '\0';
        end = strstr(head, "\r\n\r\n");
    }
    const char *length = strcasestr(head, "\r\nContent-Length: ");
    const char *id = strstr(head, ID_FIELD);
    size_t body_read = size - (size_t)(end + 4 - head);
    size_t body_size = length ? strtoul(length + 18, NULL, 10) : 0;
    request->body_left = body_size > body_read ? body_size - body_read : 0;
    copy_word(id ? id + strlen(ID_FIELD) : "", "\r\n", request->id);
    head[strcspn(head, "\r\n")] = '\0';
    char *target = strchr(head, ' ');
    char *last = target ? target + 1 + strcspn(target + 1, " ?") : head;
    *last = '\0';
    char *segment = strrchr(head, '/');
    copy_word(segment ? segment + 1 : "", "", request->name);
    return true;
}

/** @return false if the connection ended first */
static bool
read_body(int fd, size_t size)
{
    char bytes[16384];
    while (size > 0) {
        size_t wanted = size < sizeof bytes ? size : sizeof bytes;
        ssize_t count = recv(fd, bytes, wanted, 0);
        if (count <= 0) {
            return false;
        }
        size -= (size_t)count;
    }
    return true;
}

static void
send_bytes(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t count = send(fd, bytes, size, MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        bytes += count;
        size -= (size_t)count;
    }
}

static void
send_answer(int fd, const answer_t *answer, const char *id)
{
    const char *mark = memmem(answer->bytes, answer->size, ID_MARK, 4);
    size_t before = mark ? (size_t)(mark - answer->bytes) : answer->size;
    char *bytes = malloc(answer->size + NAME_BYTES);
    size_t size = before;
    if (bytes == NULL) {
        return;
    }
    memcpy(bytes, answer->bytes, before);
    if (mark != NULL) {
        memcpy(bytes + size, id, strlen(id));
        size += strlen(id);
        memcpy(bytes + size, mark + 4, answer->size - before - 4);
        size += answer->size - before - 4;
    }
    send_bytes(fd, bytes, size);
    free(bytes);
}

static void
wait_until_released(const char *name)
{
    uint64_t deadline_ms = Fake_NowMs() + HELD_MAX_MS;
    create_file(name, ".arrived");
    while (Fake_NowMs() < deadline_ms) {
        FILE *file = open_file(name, ".go", "r");
        if (file != NULL) {
            fclose(file);
            return;
        }
        Fake_SleepMs(5);
    }
}

/** Reads what the host still sends, so that the kernel does not reset the
 *  connection because of bytes that were never read. */
static void
drain(int fd)
{
    struct pollfd polled = {.fd = fd, .events = POLLIN};
    uint64_t deadline_ms = Fake_NowMs() + LINGER_MAX_MS;
    char bytes[16384];
    while (Fake_NowMs() < deadline_ms && poll(&polled, 1, LINGER_MAX_MS) > 0 &&
           recv(fd, bytes, sizeof bytes, 0) > 0) {
    }
}

/** @return false if the connection has ended */
static bool
handle_request(int *fd, answer_t *answer)
{
    request_t request;
    if (!read_request(*fd, &request)) {
        return false;
    }
    if (strcmp(request.name, "h") == 0) {
        static const char HEALTHY[] =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        send_bytes(*fd, HEALTHY, strlen(HEALTHY));
        return true;
    }
    if (!read_answer(request.name, answer)) {
        return false;
    }
    count_request(request.name);
    if (answer->reads_whole && !read_body(*fd, request.body_left)) {
        return false;
    }
    if (answer->is_held) {
        wait_until_released(request.name);
    }
    send_answer(*fd, answer, request.id);
    switch (answer->end) {
    case END_KEEP:
        break;
    case END_CLOSE:
        close(*fd);
        *fd = -1;
        break;
    case END_RESET:
        SkySocket_CloseWithReset(*fd);
        *fd = -1;
        break;
    case END_LINGER:
        shutdown(*fd, SHUT_WR);
        break;
    }
    create_file(request.name, ".done");
    if (answer->end == END_LINGER) {
        drain(*fd);
        return false;
    }
    return *fd >= 0;
}

static void *
run_connection(void *context)
{
    int fd = *(int *)context;
    free(context);
    answer_t *answer = malloc(sizeof *answer);
    while (answer != NULL && handle_request(&fd, answer)) {
    }
    if (fd >= 0) {
        close(fd);
    }
    free(answer);
    return NULL;
}

int
Raw_Main(int argc, char **argv)
{
    struct sockaddr_in address;
    int size = RECEIVE_BUFFER_BYTES;
    if (argc != 4 || !SkySocket_ParseAddress(argv[2], &address)) {
        fprintf(stderr, "usage: skyfake raw ADDRESS:PORT DIRECTORY\n");
        return 2;
    }
    directory = argv[3];
    int on = 1;
    int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(listen_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    if (bind(listen_fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(listen_fd, 64) != 0) {
        perror("skyfake raw");
        return 2;
    }
    for (;;) {
        pthread_t thread;
        int *fd = malloc(sizeof *fd);
        if (fd == NULL) {
            return 2;
        }
        *fd = accept(listen_fd, NULL, NULL);
        if (*fd < 0 ||
            pthread_create(&thread, NULL, run_connection, fd) != 0) {
            if (*fd >= 0) {
                close(*fd);
            }
            free(fd);
            Fake_SleepMs(10);
            continue;
        }
        pthread_detach(thread);
    }
}
