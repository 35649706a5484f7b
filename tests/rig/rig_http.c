/**
 * @file rig_http.c
 * @brief Sockets, and reading of HTTP/1.1, of the promise rig.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define WRITE_TIMEOUT_MS 10000
#define CALL_TIMEOUT_MS 3000
#define LINE_BYTES 256
#define LISTEN_BACKLOG 256

uint64_t
Rig_NowMs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
Rig_SleepMs(uint64_t wait_ms)
{
    struct timespec wait = {(time_t)(wait_ms / 1000),
                            (long)(wait_ms % 1000) * 1000000};
    nanosleep(&wait, NULL);
}

uint64_t
Rig_Random(uint64_t *state)
{
    *state += 0x9e3779b97f4a7c15u;
    uint64_t mixed = *state;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebu;
    return mixed ^ (mixed >> 31);
}

uint64_t
Rig_SeedOf(uint64_t seed, const char *text, uint64_t number)
{
    uint64_t state = seed;
    for (; *text != '\0'; text++) {
        state = (state ^ (unsigned char)*text) * 0x100000001b3u;
    }
    state ^= number << 48;
    Rig_Random(&state);
    return state;
}

static struct sockaddr_in
loopback_address(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** @return false if the time is up */
static bool
wait_for(int fd, short events, uint64_t deadline_ms)
{
    for (;;) {
        uint64_t now_ms = Rig_NowMs();
        struct pollfd entry = {fd, events, 0};
        if (now_ms >= deadline_ms) {
            return false;
        }
        int count = poll(&entry, 1, (int)(deadline_ms - now_ms));
        if (count > 0) {
            return true;
        }
        if (count < 0 && errno != EINTR) {
            return false;
        }
    }
}

void
Rig_SendAtOnce(int fd)
{
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int
Rig_Connect(uint16_t port, uint32_t timeout_ms)
{
    struct sockaddr_in address = loopback_address(port);
    int error = 0;
    socklen_t size = sizeof error;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&address, sizeof address) != 0 &&
        (errno != EINPROGRESS ||
         !wait_for(fd, POLLOUT, Rig_NowMs() + timeout_ms) ||
         getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
         error != 0)) {
        close(fd);
        return -1;
    }
    Rig_SendAtOnce(fd);
    return fd;
}

int
Rig_Listen(uint16_t port)
{
    struct sockaddr_in address = loopback_address(port);
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
Rig_Write(int fd, const char *bytes, size_t size)
{
    uint64_t deadline_ms = Rig_NowMs() + WRITE_TIMEOUT_MS;
    while (size > 0) {
        ssize_t count = send(fd, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            bytes += count;
            size -= (size_t)count;
        }
        else if (count < 0 && errno == EAGAIN) {
            if (!wait_for(fd, POLLOUT, deadline_ms)) {
                return false;
            }
        }
        else if (count == 0 || errno != EINTR) {
            return false;
        }
    }
    return true;
}

void
Rig_Reset(int fd)
{
    struct linger at_once = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(fd);
}

/** Reads more bytes into the stream. */
static rig_read_t
fill(rig_stream_t *stream, uint64_t deadline_ms)
{
    if (stream->begin > 0) {
        memmove(stream->bytes, stream->bytes + stream->begin,
                stream->end - stream->begin);
        stream->end -= stream->begin;
        stream->begin = 0;
    }
    if (stream->end == sizeof stream->bytes) {
        return RIG_READ_FAILED;
    }
    for (;;) {
        if (!wait_for(stream->fd, POLLIN, deadline_ms)) {
            return RIG_READ_FAILED;
        }
        ssize_t count = recv(stream->fd, stream->bytes + stream->end,
                             sizeof stream->bytes - stream->end, MSG_DONTWAIT);
        if (count > 0) {
            stream->end += (size_t)count;
            return RIG_READ_OK;
        }
        if (count == 0) {
            return RIG_READ_END;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return RIG_READ_FAILED;
        }
    }
}

rig_read_t
Rig_ReadHead(rig_stream_t *stream, char *head, size_t size,
             uint64_t deadline_ms)
{
    for (;;) {
        size_t available = stream->end - stream->begin;
        const char *first = stream->bytes + stream->begin;
        const char *last =
            available > 0 ? memmem(first, available, "\r\n\r\n", 4) : NULL;
        if (last != NULL) {
            size_t length = (size_t)(last - first) + 4;
            if (length >= size) {
                return RIG_READ_FAILED;
            }
            memcpy(head, first, length);
            head[length] = '\0';
            stream->begin += length;
            return RIG_READ_OK;
        }
        rig_read_t result = fill(stream, deadline_ms);
        if (result != RIG_READ_OK) {
            return available == 0 ? result : RIG_READ_FAILED;
        }
    }
}

bool
Rig_FindField(const char *head, const char *name, char *value, size_t size)
{
    size_t name_length = strlen(name);
    value[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, name, name_length) == 0 &&
            line[name_length] == ':') {
            line += name_length + 1;
            line += strspn(line, " \t");
            size_t length = strcspn(line, "\r\n");
            snprintf(value, size, "%.*s", (int)length, line);
            return true;
        }
    }
    return false;
}

static bool
skip_bytes(rig_stream_t *stream, uint64_t size, uint64_t deadline_ms)
{
    while (size > 0) {
        uint64_t available = stream->end - stream->begin;
        if (available > 0) {
            uint64_t count = available < size ? available : size;
            stream->begin += (size_t)count;
            size -= count;
        }
        else if (fill(stream, deadline_ms) != RIG_READ_OK) {
            return false;
        }
    }
    return true;
}

/** Reads a line without its end. */
static bool
read_line(rig_stream_t *stream, char *line, size_t size, uint64_t deadline_ms)
{
    for (;;) {
        size_t available = stream->end - stream->begin;
        const char *first = stream->bytes + stream->begin;
        const char *last =
            available > 0 ? memmem(first, available, "\r\n", 2) : NULL;
        if (last != NULL) {
            size_t length = (size_t)(last - first);
            if (length >= size) {
                return false;
            }
            memcpy(line, first, length);
            line[length] = '\0';
            stream->begin += length + 2;
            return true;
        }
        if (fill(stream, deadline_ms) != RIG_READ_OK) {
            return false;
        }
    }
}

static bool
skip_chunks(rig_stream_t *stream, uint64_t deadline_ms)
{
    char line[LINE_BYTES];
    char *end;
    for (;;) {
        if (!read_line(stream, line, sizeof line, deadline_ms)) {
            return false;
        }
        uint64_t size = strtoull(line, &end, 16);
        if (end == line) {
            return false;
        }
        if (size == 0) {
            break;
        }
        if (!skip_bytes(stream, size + 2, deadline_ms)) {
            return false;
        }
    }
    do {
        if (!read_line(stream, line, sizeof line, deadline_ms)) {
            return false;
        }
    } while (line[0] != '\0');
    return true;
}

bool
Rig_SkipBody(rig_stream_t *stream, const char *head, bool until_close,
             uint64_t deadline_ms)
{
    char value[LINE_BYTES];
    if (Rig_FindField(head, "Transfer-Encoding", value, sizeof value)) {
        return skip_chunks(stream, deadline_ms);
    }
    if (Rig_FindField(head, "Content-Length", value, sizeof value)) {
        return skip_bytes(stream, strtoull(value, NULL, 10), deadline_ms);
    }
    while (until_close) {
        stream->begin = stream->end;
        rig_read_t result = fill(stream, deadline_ms);
        if (result != RIG_READ_OK) {
            return result == RIG_READ_END;
        }
    }
    return true;
}

int
Rig_Call(uint16_t port, const char *method, const char *path, const char *body)
{
    char head[RIG_HEAD_BYTES];
    int status = 0;
    rig_stream_t *stream = calloc(1, sizeof *stream);
    stream->fd = Rig_Connect(port, CALL_TIMEOUT_MS);
    if (stream->fd >= 0) {
        snprintf(head, sizeof head,
                 "%s %s HTTP/1.1\r\nHost: rig\r\nContent-Length: %zu\r\n"
                 "Connection: close\r\n\r\n",
                 method, path, strlen(body));
        if (Rig_Write(stream->fd, head, strlen(head)) &&
            Rig_Write(stream->fd, body, strlen(body)) &&
            Rig_ReadHead(stream, head, sizeof head,
                         Rig_NowMs() + CALL_TIMEOUT_MS) == RIG_READ_OK) {
            status = (int)strtol(head + strlen("HTTP/1.1 "), NULL, 10);
        }
        close(stream->fd);
    }
    free(stream);
    return status;
}
