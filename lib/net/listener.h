/**
 * @file listener.h
 * @brief HTTP/1.1 server on the event loop.
 *
 * A server request begins when a caller's request was received with its whole
 * body. It ends with SkyServerRequest_Respond(),
 * SkyServerRequest_EndResponse() or SkyServerRequest_Abort(), or when the
 * caller disconnects; after that its pointer must not be used. A connection
 * has one request at a time; pipelined requests wait.
 */
#ifndef SKY_NET_LISTENER_H
#define SKY_NET_LISTENER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/memory_share.h"
#include "net/http_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_listener sky_listener_t;
typedef struct sky_server_request sky_server_request_t;

/** Limits of the size of a request and of the time to send it. */
typedef struct {
    uint32_t max_request_head_bytes; /**< 431 for a larger head */
    uint32_t max_request_body_bytes; /**< 413 for a larger body */
    uint32_t head_timeout_ms;        /**< first byte to the end of the head */
    uint32_t idle_timeout_ms; /**< between requests, or bytes of a body */
} sky_listener_limits_t;

typedef struct {
    /** A request was received with its whole body. */
    void (*on_request)(void *context, sky_server_request_t *request);
    /** The caller disconnected. The pointer is invalid when this returns. */
    void (*on_disconnect)(void *context, sky_server_request_t *request);
    /** The caller has caught up after SkyServerRequest_IsCallerSlow() was
     *  true. May be NULL. */
    void (*on_caller_ready)(void *context, sky_server_request_t *request);
} sky_listener_events_t;

/** Clients that were refused or closed to protect others. */
typedef struct {
    uint64_t memory_refusals;   /**< requests refused for want of memory */
    uint64_t idle_closes;       /**< idle connections closed for new ones */
    uint64_t incomplete_closes; /**< incomplete requests closed for new ones */
    uint64_t connection_closes; /**< new connections closed at once */
    uint64_t slow_bodies;       /**< requests below the minimum rate */
    uint64_t slow_readers;      /**< callers that read nothing */
} sky_listener_stats_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /**< "ADDRESS:PORT" */
    sky_listener_limits_t limits;
    sky_listener_events_t events;
    void *context;
    /** Of requests, read or not, and unsent responses; NULL: they are not
     *  counted. */
    sky_memory_share_t *memory_share;
    uint32_t max_connections; /**< 0: any */
    /** An address in use is tried again for so long, which blocks: a process
     *  that was killed may still have it. 0: once. */
    uint32_t address_wait_ms;
    /** Name of the field with a request's id, for log lines; not copied. NULL:
     *  requests have none. */
    const char *id_field;
    /** Added to; may be that of several listeners. NULL: not counted. */
    sky_listener_stats_t *stats;
} sky_listener_options_t;

/** @return SKY_OK, SKY_E_MEMORY, SKY_E_SETTINGS for an invalid address, or
 *          SKY_E_IO if the socket cannot be opened, or the address stays in
 *          use. */
sky_result_t SkyListener_Create(const sky_listener_options_t *options,
                                sky_listener_t **listener);
void SkyListener_Free(sky_listener_t *listener);
/** Changes the limits, of open connections too. */
void SkyListener_SetLimits(sky_listener_t *listener,
                           const sky_listener_limits_t *limits);
/** Closes each connection after its current or next response, and idle ones
 *  after @p idle_ms: a request that is already in transit is still served. */
void SkyListener_Drain(sky_listener_t *listener, uint32_t idle_ms);
/** @return requests that are being served or whose last response is being sent
 *          before their connection closes. */
uint32_t SkyListener_OpenRequestCount(const sky_listener_t *listener);
/** @return number of open connections. */
uint32_t SkyListener_ConnectionCount(const sky_listener_t *listener);

const sky_http_head_t *
SkyServerRequest_Head(const sky_server_request_t *request);
const char *SkyServerRequest_Body(const sky_server_request_t *request,
                                  size_t *size);
void SkyServerRequest_SetUserData(sky_server_request_t *request,
                                  void *user_data);
void *SkyServerRequest_UserData(const sky_server_request_t *request);

/** Sends a complete response and ends the request. A second response to the
 *  same request is not sent: the error is logged and the connection closed.
 *  @param fields header lines "Name: value\r\n" without those that frame the
 *         body; may be "". */
void SkyServerRequest_Respond(sky_server_request_t *request, uint16_t status,
                              const char *fields, const void *body,
                              size_t size);

typedef enum {
    SKY_FRAMING_LENGTH,      /**< Content-Length */
    SKY_FRAMING_CHUNKED,     /**< chunked transfer coding */
    SKY_FRAMING_UNTIL_CLOSE, /**< the body ends when the connection closes */
} sky_body_framing_t;

/** Begins a response whose body follows in parts.
 *  @param length bytes of the body, with SKY_FRAMING_LENGTH only */
void SkyServerRequest_BeginResponse(sky_server_request_t *request,
                                    uint16_t status, const char *fields,
                                    sky_body_framing_t framing,
                                    uint64_t length);
/** Sends a part of the body. */
void SkyServerRequest_WriteBody(sky_server_request_t *request,
                                const void *bytes, size_t size);
/** Completes a response that was begun, and ends the request. */
void SkyServerRequest_EndResponse(sky_server_request_t *request);
/** Closes the connection with a reset, so that the caller sees a truncated
 *  response, and ends the request. */
void SkyServerRequest_Abort(sky_server_request_t *request);
/** @return whether much of the response is unsent because the caller reads
 *          slowly; less is enough while memory is short. */
bool SkyServerRequest_IsCallerSlow(const sky_server_request_t *request);

#ifdef __cplusplus
}
#endif
#endif
