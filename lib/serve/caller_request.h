/**
 * @file caller_request.h
 * @brief A caller's request, from parsing to the recording of its metrics.
 *
 * The steps are parse, admit, decide, dispatch and record. Each is a function
 * that either lets the request proceed or ends it with a result code. All of
 * them run on the connection's thread.
 */
#ifndef SKY_SERVE_CALLER_REQUEST_H
#define SKY_SERVE_CALLER_REQUEST_H

#include <jansson.h>

#include "serve/control.h"
#include "serve/target_exchange.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The HTTP request as received; borrowed until the request is freed. */
typedef struct {
    const char *method;
    const char *path;
    const char *body;
    size_t body_size;
    const char *authorization;   /**< header, or NULL */
    const char *idempotency_key; /**< header, or NULL */
    const char *timeout_ms;      /**< header, or NULL */
    int socket; /**< polled to detect that the caller disconnected; -1: not
                     known */
} sky_caller_request_input_t;

typedef struct sky_caller_request sky_caller_request_t;

/** @return a new request, or NULL if out of memory. */
sky_caller_request_t *
SkyCallerRequest_Create(sky_control_t *control,
                        const sky_caller_request_input_t *http);

/** Runs all steps until the target's response, or the first event of a
 *  stream, has been read. @return SKY_OK if there is a response to relay. */
sky_result_t SkyCallerRequest_Run(sky_caller_request_t *request);

/** @return the exchange that holds the response; only after SKY_OK. */
sky_target_exchange_t *
SkyCallerRequest_Exchange(sky_caller_request_t *request);
/** @return whether the response may go out; only after SKY_OK. That to a
 * request which must not run twice may not promise that it did not run. */
bool SkyCallerRequest_MayRelay(const sky_caller_request_t *request);
/** @return after an error, the delay before the caller may retry; 0 if it
 *          should not retry. */
uint32_t SkyCallerRequest_RetryAfterMs(const sky_caller_request_t *request);

/** Records how relaying the response ended. Only the first of several calls
 *  has an effect. */
void SkyCallerRequest_Finish(sky_caller_request_t *request,
                             sky_outcome_t outcome);

/** Frees the request; one that is still open is recorded as cancelled. */
void SkyCallerRequest_Free(sky_caller_request_t *request);

#ifdef __cplusplus
}
#endif
#endif
