/**
 * @file http.h
 * @brief Short HTTP calls through neon: one call, one whole answer.
 */
#ifndef SKY_PLATFORM_HTTP_H
#define SKY_PLATFORM_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_HTTP_ANSWER_MAX (16u * 1024 * 1024) /**< bytes of an answer */

typedef struct {
    const char *address; /**< "address:port" */
    const char *method;
    const char *path;
    const char *body;        /**< NULL: none */
    const char *header_name; /**< NULL: no further header */
    const char *header_value;
    uint64_t expires_us; /**< the body is not sent after this time of the
                              monotonic clock; 0: it always is */
    uint32_t connect_timeout_ms;
    uint32_t read_timeout_ms;
} sky_http_call_t;

typedef struct {
    uint32_t status;
    char *body; /**< zero-terminated; free() it */
    size_t size;
} sky_http_answer_t;

/** How far a call came; tells whether it may have had an effect. */
typedef enum {
    SKY_HTTP_ANSWERED,
    SKY_HTTP_NOT_SENT,
    SKY_HTTP_UNKNOWN,
} sky_http_end_t;

/** Sets neon up; once for a process, before other threads run. */
sky_result_t SkyHttp_Init(void);

/** Makes one call on a connection of its own, so that nothing is sent twice.
 *  @p answer is filled in on SKY_HTTP_ANSWERED only. */
sky_http_end_t SkyHttp_Call(const sky_http_call_t *call,
                            sky_http_answer_t *answer);

/** Splits "address:port". @return SKY_E_SETTINGS if it is not one. */
sky_result_t SkyHttp_SplitAddress(const char *text, char *host,
                                  size_t host_size, uint16_t *port);

#ifdef __cplusplus
}
#endif
#endif
