/**
 * @file http_call.h
 * @brief Blocking HTTP calls that buffer the whole response.
 */
#ifndef SKY_PLATFORM_HTTP_CALL_H
#define SKY_PLATFORM_HTTP_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Max size of a response body. */
#define SKY_HTTP_CALL_RESPONSE_MAX_BYTES (16u * 1024 * 1024)

typedef struct {
    const char *address; /**< "address:port" */
    const char *method;
    const char *path;
    const char *body;        /**< NULL: none */
    const char *header_name; /**< NULL: no further header */
    const char *header_value;
    uint64_t expires_us; /**< monotonic time after which the call is not sent
                              any more; 0: never */
    uint32_t connect_timeout_ms;
    uint32_t read_timeout_ms;
} sky_http_call_t;

typedef struct {
    uint32_t status;
    char *body; /**< zero-terminated, to be freed with free() */
    size_t size;
} sky_http_call_response_t;

/** Tells whether the call may have had an effect. */
typedef enum {
    SKY_HTTP_CALL_RESPONDED, /**< the whole response was received */
    SKY_HTTP_CALL_NOT_SENT,  /**< no byte of it was sent: no effect */
    SKY_HTTP_CALL_UNKNOWN,   /**< sent, but no whole, valid response */
} sky_http_call_result_t;

/** Makes one call, on a new connection.
 *  @param response status and body are valid on SKY_HTTP_CALL_RESPONDED only
 */
sky_http_call_result_t SkyHttpCall_Run(const sky_http_call_t *call,
                                       sky_http_call_response_t *response);

/** Splits "address:port". @return SKY_E_SETTINGS if it is malformed. */
sky_result_t SkyHttpCall_SplitAddress(const char *text, char *host,
                                      size_t host_size, uint16_t *port);

#ifdef __cplusplus
}
#endif
#endif
