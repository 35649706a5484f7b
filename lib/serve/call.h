/**
 * @file call.h
 * @brief A caller's request on its way: parse, admit, decide, relay, account.
 *
 * Each step is one function that takes the call and either lets it go on or
 * ends it with a result code. All steps run on the connection's thread.
 */
#ifndef SKY_SERVE_CALL_H
#define SKY_SERVE_CALL_H

#include <jansson.h>

#include "serve/control.h"
#include "serve/relay.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What the front end knows of a request, borrowed for the call's life. */
typedef struct {
    const char *method;
    const char *path;
    const char *body;
    size_t body_size;
    const char *authorization;   /**< header, or NULL */
    const char *idempotency_key; /**< header, or NULL */
    const char *timeout_ms;      /**< header, or NULL */
    int socket;                  /**< the caller's, to see it go away */
} sky_call_input_t;

typedef struct sky_call sky_call_t;

/** @return a new call, or NULL when memory is out. */
sky_call_t *SkyCall_Create(sky_control_t *control,
                           const sky_call_input_t *input);

/** Runs all steps up to the first part of the answer. @return SKY_OK if
 *  there is an answer to relay. */
sky_result_t SkyCall_Run(sky_call_t *call);

/** @return the exchange to relay from after SKY_OK. */
sky_relay_t *SkyCall_Relay(sky_call_t *call);
/** @return with any other result: when to come back; 0: never. */
uint32_t SkyCall_RetryAfterMs(const sky_call_t *call);

/** Notes how relaying ended; once. */
void SkyCall_Finish(sky_call_t *call, sky_outcome_t outcome);

void SkyCall_Free(sky_call_t *call);

#ifdef __cplusplus
}
#endif
#endif
