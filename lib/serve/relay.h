/**
 * @file relay.h
 * @brief One exchange with a target: sent once, read whole, checked.
 *
 * The request's body is withheld until the connection stands and the permit
 * is checked once more. A target closes a connection whose request stays
 * incomplete, so a host that is paused after that check cannot send late.
 */
#ifndef SKY_SERVE_RELAY_H
#define SKY_SERVE_RELAY_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    const char *address;
    const char *method;
    const char *path;
    const char *body; /**< NULL: none */
    const char *content_type;
    const char *model;   /**< "name@version" the answer must name; NULL:
                              a plain service */
    char request_id[24]; /**< echoed by the target in every part */
    sky_fence_t fence;
    uint64_t expires_us; /**< the permit's end */
    uint32_t timeout_ms; /**< longest silence of the target */
    bool stream;         /**< server-sent events are wanted */
} sky_relay_options_t;

typedef struct sky_relay sky_relay_t;

/**
 * Sends the request and reads the head of the answer; of a stream also the
 * first event, of any other answer the whole.
 * @param relay receives the exchange when the outcome is
 *        SKY_OUTCOME_COMPLETED, that is: as far as read, all is well.
 * @param detail receives the reason of any other outcome.
 */
sky_outcome_t SkyRelay_Open(const sky_relay_options_t *options,
                            sky_relay_t **relay, sky_result_t *detail);

/** @return true if the answer is a stream of events. */
bool SkyRelay_IsStream(const sky_relay_t *relay);
uint32_t SkyRelay_Status(const sky_relay_t *relay);
const char *SkyRelay_ContentType(const sky_relay_t *relay);
/** @return the whole answer of an exchange that is not a stream. */
const char *SkyRelay_Body(const sky_relay_t *relay, size_t *size);

/**
 * Copies checked events of a stream.
 * @param end set when the final event has been copied.
 * @return bytes copied; 0 with @p end false if the stream broke, then
 *         @p detail says why.
 */
size_t SkyRelay_ReadEvents(sky_relay_t *relay, char *buffer, size_t size,
                           bool *end, sky_result_t *detail);

/** Closes the connection, which cancels what still runs. */
void SkyRelay_Close(sky_relay_t *relay);

#ifdef __cplusplus
}
#endif
#endif
