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

/** Reads "ADDRESS:PORT" by IP number. @return false if it is none. */
bool SkySocket_ParseAddress(const char *text, struct sockaddr_in *address);

/** @return a listening socket, or -1 with errno set. */
int SkySocket_Listen(const struct sockaddr_in *address);

/** Begins to connect. @return a socket that is connecting, or -1. */
int SkySocket_Connect(const struct sockaddr_in *address);

/** @return the next connection, or -1 with errno set. */
int SkySocket_Accept(int listener);

/** Bounds how long sent bytes may stay unconfirmed. */
void SkySocket_SetUserTimeout(int socket, uint32_t timeout_ms);

/** Closes with a reset, so that an answer cut short cannot look whole. */
void SkySocket_Reset(int socket);

#ifdef __cplusplus
}
#endif
#endif
