#include "net/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Connections that a burst of new callers may open between two iterations of
 *  the event loop. */
#define LISTEN_BACKLOG 1024

bool
SkySocket_ParseAddress(const char *text, struct sockaddr_in *address)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = text ? strrchr(text, ':') : NULL;
    if (colon == NULL || (size_t)(colon - text) >= sizeof host) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    char *end = NULL;
    unsigned long port = strtoul(colon + 1, &end, 10);
    if (colon[1] < '0' || colon[1] > '9' || *end != '\0' || port == 0 ||
        port > UINT16_MAX) {
        return false;
    }
    *address = (struct sockaddr_in){.sin_family = AF_INET,
                                    .sin_port = htons((uint16_t)port)};
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

int
SkySocket_Listen(const struct sockaddr_in *address)
{
    int socket_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_fd < 0) {
        return -1;
    }
    int on = 1;
    setsockopt(socket_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(socket_fd, (const struct sockaddr *)address, sizeof *address) !=
            0 ||
        listen(socket_fd, LISTEN_BACKLOG) != 0) {
        int error = errno;
        close(socket_fd);
        errno = error;
        return -1;
    }
    return socket_fd;
}

static void
set_no_delay(int socket_fd)
{
    int on = 1;
    setsockopt(socket_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int
SkySocket_Connect(const struct sockaddr_in *address)
{
    int socket_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_fd < 0) {
        return -1;
    }
    set_no_delay(socket_fd);
    if (connect(socket_fd, (const struct sockaddr *)address,
                sizeof *address) != 0 &&
        errno != EINPROGRESS) {
        int error = errno;
        close(socket_fd);
        errno = error;
        return -1;
    }
    return socket_fd;
}

int
SkySocket_Accept(int listen_fd)
{
    int socket_fd =
        accept4(listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket_fd >= 0) {
        set_no_delay(socket_fd);
    }
    return socket_fd;
}

void
SkySocket_SetUserTimeout(int socket_fd, uint32_t timeout_ms)
{
    setsockopt(socket_fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof timeout_ms);
}

void
SkySocket_CloseWithReset(int socket_fd)
{
    struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};
    setsockopt(socket_fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof reset_on_close);
    close(socket_fd);
}
