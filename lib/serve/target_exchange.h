/**
 * @file target_exchange.h
 * @brief One HTTP exchange with a target, whose response is checked.
 *
 * A request is sent at most once, when the connection is established and the
 * permit has been checked again. A target closes a connection whose request
 * stays incomplete, so a host that is paused after that check cannot send it
 * late.
 */
#ifndef SKY_SERVE_TARGET_EXCHANGE_H
#define SKY_SERVE_TARGET_EXCHANGE_H

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
    const char *model;   /**< "name@version" that the response must name; NULL:
                              a plain service */
    char request_id[24]; /**< echoed in every part of a response */
    sky_fence_t fence;
    uint64_t expires_us; /**< when the permit expires */
    uint32_t timeout_ms; /**< max silence of the target */
    bool stream;         /**< whether server-sent events were requested */
} sky_target_exchange_options_t;

typedef struct sky_target_exchange sky_target_exchange_t;

/**
 * Sends the request and reads the head of the response, with the first event
 * of a stream or the whole of any other body.
 * @param exchange receives the exchange if the outcome is
 *        SKY_OUTCOME_COMPLETED: everything read so far is valid.
 * @param detail receives the reason of any other outcome.
 */
sky_outcome_t
SkyTargetExchange_Open(const sky_target_exchange_options_t *options,
                       sky_target_exchange_t **exchange, sky_result_t *detail);

/** @return true if the response is a stream of events. */
bool SkyTargetExchange_IsStream(const sky_target_exchange_t *exchange);
uint32_t SkyTargetExchange_Status(const sky_target_exchange_t *exchange);
const char *
SkyTargetExchange_ContentType(const sky_target_exchange_t *exchange);
/** @return the whole body of a response that is not a stream. */
const char *SkyTargetExchange_Body(const sky_target_exchange_t *exchange,
                                   size_t *size);

/**
 * Copies checked events of a stream, after reading more if there are none.
 * @param end set once the final event has been copied.
 * @return number of bytes copied; 0 with @p end false if the stream broke,
 *         with the reason in @p detail.
 */
size_t SkyTargetExchange_ReadEvents(sky_target_exchange_t *exchange,
                                    char *buffer, size_t size, bool *end,
                                    sky_result_t *detail);

/** Closes the connection, which cancels a request that still runs. */
void SkyTargetExchange_Close(sky_target_exchange_t *exchange);

#ifdef __cplusplus
}
#endif
#endif
