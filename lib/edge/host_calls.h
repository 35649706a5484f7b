/**
 * @file host_calls.h
 * @brief Calls between hosts: HTTP with JSON bodies on the control address.
 *
 * They use the same HTTP server and client as all other traffic. Calls are
 * safe to repeat, and none transfers ownership of a target. Requests of
 * callers that a host passes on arrive at the same address, see hop_fields.h.
 */
#ifndef SKY_EDGE_HOST_CALLS_H
#define SKY_EDGE_HOST_CALLS_H

#include <ev.h>
#include <jansson.h>
#include <stdint.h>

#include "core/result.h"
#include "net/client.h"
#include "net/listener.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_host_calls sky_host_calls_t;
typedef struct sky_host_call sky_host_call_t;

/** Handles a call; responds with SkyHostCalls_Respond(), now or later.
 *  @param body valid until this returns. */
typedef void (*sky_host_call_handler_t)(void *context,
                                        sky_server_request_t *server_request,
                                        const json_t *body);
/** The caller has closed its connection before the response; the request is
 *  freed when this returns. */
typedef void (*sky_host_call_disconnect_t)(
    void *context, sky_server_request_t *server_request);

/** Ends a call. @param body of the response, valid until this returns; NULL if
 *  there was no response with status 200 and a JSON body in time. */
typedef void (*sky_host_call_done_t)(void *context, const json_t *body);

typedef struct {
    struct ev_loop *loop;
    sky_client_t *client;
    const char *address; /**< to listen on; "" to receive no calls */
    /** Of calls received and of responses to calls; NULL: not counted. */
    sky_memory_share_t *memory_share;
    uint32_t max_connections;             /**< of other hosts; 0: any */
    sky_listener_stats_t *listener_stats; /**< NULL: not counted */
} sky_host_calls_options_t;

sky_result_t SkyHostCalls_Create(const sky_host_calls_options_t *options,
                                 sky_host_calls_t **host_calls);
void SkyHostCalls_Free(sky_host_calls_t *host_calls);

/** Registers the handler for calls of a path. @param on_disconnect may be
 *  NULL. */
void SkyHostCalls_RegisterHandler(sky_host_calls_t *host_calls,
                                  const char *path,
                                  sky_host_call_handler_t handler,
                                  sky_host_call_disconnect_t on_disconnect,
                                  void *context);
/** Sets who handles the requests of callers that other hosts pass on. Without
 *  it they are refused. */
void SkyHostCalls_SetForwardHandler(sky_host_calls_t *host_calls,
                                    const sky_listener_events_t *events,
                                    void *context);
/** Sets the limits of the requests of callers, which may be larger than those
 *  of calls. */
void SkyHostCalls_SetRequestLimits(sky_host_calls_t *host_calls,
                                   uint32_t head_bytes, uint32_t body_bytes);
/** Responds to a call with status 200, or 503 if memory ran out.
 *  @param body is released. */
void SkyHostCalls_Respond(sky_server_request_t *server_request, json_t *body);

/** Sends a call to a peer. @param body is released.
 *  @return the call, valid until @p done is called; NULL if memory ran out or
 *  the address is malformed: @p done is then not called. */
sky_host_call_t *SkyHostCalls_SendCall(sky_host_calls_t *host_calls,
                                       const char *address, const char *path,
                                       json_t *body, uint32_t timeout_ms,
                                       sky_host_call_done_t done,
                                       void *context);
/** Cancels a call; its end is not reported. */
void SkyHostCalls_CancelCall(sky_host_call_t *call);

#ifdef __cplusplus
}
#endif
#endif
