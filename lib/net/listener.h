/**
 * @file listener.h
 * @brief HTTP/1.1 server on the event loop.
 *
 * A visit is one request on a caller's connection, from its whole body to its
 * answer. One visit a connection at a time; what a caller sends ahead stays
 * unread. A visit ends with SkyVisit_Answer(), SkyVisit_End() or
 * SkyVisit_Abort(); after that the pointer must not be used.
 */
#ifndef SKY_NET_LISTENER_H
#define SKY_NET_LISTENER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "net/http_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_listener sky_listener_t;
typedef struct sky_visit sky_visit_t;

/** What a caller may send, and how long it may take. */
typedef struct {
    uint32_t head_bytes;      /**< answered 431 beyond */
    uint32_t body_bytes;      /**< answered 413 beyond */
    uint32_t head_timeout_ms; /**< first byte to the end of the head */
    uint32_t idle_timeout_ms; /**< between two requests, or bytes of a body */
} sky_listener_limits_t;

typedef struct {
    /** A whole request has come in. */
    void (*on_request)(void *context, sky_visit_t *visit);
    /** The caller has left; the visit is gone when this returns. */
    void (*on_gone)(void *context, sky_visit_t *visit);
    /** Room to write again after SkyVisit_IsSlow(); may be NULL. */
    void (*on_room)(void *context, sky_visit_t *visit);
} sky_listener_events_t;

typedef struct {
    struct ev_loop *loop;
    const char *address; /**< "ADDRESS:PORT" */
    sky_listener_limits_t limits;
    sky_listener_events_t events;
    void *context;
} sky_listener_options_t;

sky_result_t SkyListener_Create(const sky_listener_options_t *options,
                                sky_listener_t **listener);
void SkyListener_Free(sky_listener_t *listener);
void SkyListener_SetLimits(sky_listener_t *listener,
                           const sky_listener_limits_t *limits);
/** From now on each answer closes its connection; idle ones close after
 *  @p idle_ms, so that a request that crosses the close is still read. */
void SkyListener_Drain(sky_listener_t *listener, uint32_t idle_ms);
/** @return requests read and not yet answered to the last byte. */
uint32_t SkyListener_Open(const sky_listener_t *listener);
/** @return open connections. */
uint32_t SkyListener_Connections(const sky_listener_t *listener);

const sky_http_head_t *SkyVisit_Head(const sky_visit_t *visit);
const char *SkyVisit_Body(const sky_visit_t *visit, size_t *size);
void SkyVisit_SetUser(sky_visit_t *visit, void *user);
void *SkyVisit_User(const sky_visit_t *visit);

/** Answers whole and ends the visit. @param fields lines "Name: value\r\n",
 *  without the framing ones; may be "". */
void SkyVisit_Answer(sky_visit_t *visit, uint16_t status, const char *fields,
                     const void *body, size_t size);

typedef enum {
    SKY_FRAMING_LENGTH,  /**< Content-Length follows from the caller */
    SKY_FRAMING_CHUNKS,  /**< chunks */
    SKY_FRAMING_CLOSING, /**< the body ends with the connection */
} sky_framing_t;

/** Begins an answer; @p length with SKY_FRAMING_LENGTH only. */
void SkyVisit_Begin(sky_visit_t *visit, uint16_t status, const char *fields,
                    sky_framing_t framing, uint64_t length);
void SkyVisit_Write(sky_visit_t *visit, const void *bytes, size_t size);
/** Ends an answer that was begun as whole. */
void SkyVisit_End(sky_visit_t *visit);
/** Breaks off: the caller sees a connection closed midway. */
void SkyVisit_Abort(sky_visit_t *visit);
/** @return whether the caller reads slower than the answer comes. */
bool SkyVisit_IsSlow(const sky_visit_t *visit);

#ifdef __cplusplus
}
#endif
#endif
