/**
 * @file http_exchange.h
 * @brief One HTTP request on a new connection, for a thread that waits for its
 *        response.
 *
 * The request runs in net/client, on an event loop of its own, so that its
 * response is judged as those of all other requests are. Nothing is received
 * but in SkyHttpExchange_Receive(): a slow caller slows the server down.
 */
#ifndef SKY_PLATFORM_HTTP_EXCHANGE_H
#define SKY_PLATFORM_HTTP_EXCHANGE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "net/client.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_http_exchange sky_http_exchange_t;

typedef struct {
    const char *address; /**< "host:port", IPv4 */
    const char *method;
    const char *path;
    const char *field_lines; /**< each ends with CR LF; NULL: none */
    const char *body;        /**< NULL: none */
    uint64_t expires_us; /**< monotonic; from then on it is not sent; 0: never
                          */
    uint32_t connect_timeout_ms;
    uint32_t silence_timeout_ms; /**< without a byte sent or received */
    uint64_t max_body_bytes;     /**< of the response; 0: any */
    /** The head was received. */
    void (*on_head)(void *context, const sky_http_head_t *head);
    void (*on_body)(void *context, const char *bytes, size_t size);
    void *context;
} sky_http_exchange_options_t;

/** Starts an exchange. No callback comes before SkyHttpExchange_Receive().
 *  @param exchange to be freed with SkyHttpExchange_Free()
 *  @return SKY_OK, SKY_E_SETTINGS if the address is malformed, SKY_E_IO if its
 *          host is not known, SKY_E_MEMORY */
sky_result_t SkyHttpExchange_Start(const sky_http_exchange_options_t *options,
                                   sky_http_exchange_t **exchange);

/** Waits until the head or a part of the body was received.
 *  @return false if nothing more comes: the exchange has ended */
bool SkyHttpExchange_Receive(sky_http_exchange_t *exchange);

/** @return how the exchange has ended; of one that has not, what is known */
sky_client_outcome_t
SkyHttpExchange_Outcome(const sky_http_exchange_t *exchange);

/** Closes the connection. */
void SkyHttpExchange_Free(sky_http_exchange_t *exchange);

#ifdef __cplusplus
}
#endif
#endif
