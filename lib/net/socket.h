/**
 * @file socket.h
 * @brief Non-blocking TCP sockets over IPv4.
 */
#ifndef SKY_NET_SOCKET_H
#define SKY_NET_SOCKET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Parses "ADDRESS:PORT", an IPv4 address in dotted decimal form and a port
 *  from 1 to 65535. Names are not resolved. @return false if invalid. */
bool SkySocket_ParseAddress(const char *text, struct sockaddr_in *address);

/** @return a listening socket, or -1 with errno set. */
int SkySocket_Listen(const struct sockaddr_in *address);

/** Starts to connect.
 *  @return a socket whose connection may still be in progress, or -1 with
 *          errno set. */
int SkySocket_Connect(const struct sockaddr_in *address);

/** Accepts a connection. @return its socket, or -1 with errno set. */
int SkySocket_Accept(int listen_fd);

/** Sets TCP_USER_TIMEOUT: the connection fails when sent bytes stay
 *  unacknowledged for longer. */
void SkySocket_SetUserTimeout(int socket_fd, uint32_t timeout_ms);

/** Closes with a TCP reset, so that the peer cannot mistake a truncated
 *  response for a complete one. */
void SkySocket_CloseWithReset(int socket_fd);

#ifdef __cplusplus
}
#endif
#endif
