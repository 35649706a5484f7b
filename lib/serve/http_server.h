/**
 * @file http_server.h
 * @brief HTTP server for callers and operators, on libmicrohttpd.
 *
 * Each connection has a thread of its own, which processes its requests and
 * relays the responses.
 */
#ifndef SKY_SERVE_HTTP_SERVER_H
#define SKY_SERVE_HTTP_SERVER_H

#include "serve/control.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_http_server sky_http_server_t;

/** Starts to listen. @param on_drain is called on a connection's thread when
 *  an operator requests that this host drains. */
sky_result_t SkyHttpServer_Create(sky_control_t *control,
                                  void (*on_drain)(void *context),
                                  void *context, sky_http_server_t **server);
/** Closes the listener; open connections stay usable. */
void SkyHttpServer_StopListening(sky_http_server_t *server);
/** Closes all connections and frees the server. */
void SkyHttpServer_Free(sky_http_server_t *server);

#ifdef __cplusplus
}
#endif
#endif
