/**
 * @file host_calls.h
 * @brief Calls between hosts: HTTP with JSON bodies on the control address.
 *
 * They share the listener and the client of all other traffic. A call is a
 * question that may be asked again; none moves authority.
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

/** Answers a call with SkyHostCalls_Answer(), now or later. @param body is
 * gone when this returns. */
typedef void (*sky_host_call_handler_t)(void *context, sky_visit_t *visit,
                                        const json_t *body);
/** The caller of a visit that is not answered yet has left. */
typedef void (*sky_host_call_gone_t)(void *context, sky_visit_t *visit);

/** @param body NULL if the call failed: no answer, or none of status 200. */
typedef void (*sky_host_call_done_t)(void *context, const json_t *body);

typedef struct {
    struct ev_loop *loop;
    sky_client_t *client;
    const char *address; /**< to listen at; "" answers no calls */
} sky_host_calls_options_t;

sky_result_t SkyHostCalls_Create(const sky_host_calls_options_t *options,
                                 sky_host_calls_t **peers);
void SkyHostCalls_Free(sky_host_calls_t *peers);

/** Sets who answers calls of a path. */
void SkyHostCalls_Handle(sky_host_calls_t *peers, const char *path,
                         sky_host_call_handler_t handler,
                         sky_host_call_gone_t gone, void *context);
void SkyHostCalls_Answer(sky_visit_t *visit, json_t *body);

/** Calls a peer; takes @p body over. NULL: out of memory or no address; then
 *  no event follows. */
sky_host_call_t *SkyHostCalls_Call(sky_host_calls_t *peers,
                                   const char *address, const char *path,
                                   json_t *body, uint32_t timeout_ms,
                                   sky_host_call_done_t done, void *context);
void SkyHostCalls_Cancel(sky_host_call_t *call);

#ifdef __cplusplus
}
#endif
#endif
