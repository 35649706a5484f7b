/**
 * @file result.h
 * @brief Result codes with their numbers, HTTP statuses and texts.
 *
 * Fallible functions return a sky_result_t, to be tested with
 * SkyResult_IsError(). The table below is the only source of the codes: a test
 * compares docs/RESULT-CODES.md with it, and processes exit with its numbers.
 */
#ifndef SKY_CORE_RESULT_H
#define SKY_CORE_RESULT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** X(symbol, number, HTTP status, outcome, text) */
#define SKY_RESULT_TABLE(X)                                                   \
    X(SKY_OK, 0, 200, "answered", "ok")                                       \
    X(SKY_E_USAGE, 2, 400, "not_run", "bad command line")                     \
    X(SKY_E_SETTINGS, 3, 500, "not_run", "bad settings")                      \
    X(SKY_E_MEMORY, 4, 500, "not_run", "out of memory")                       \
    X(SKY_E_IO, 5, 502, "not_run", "input or output failed")                  \
    X(SKY_E_BAD_REQUEST, 10, 400, "not_run", "malformed request")             \
    X(SKY_E_TOO_LARGE, 11, 413, "not_run", "body over the limit")             \
    X(SKY_E_UNAUTHORIZED, 12, 401, "not_run", "credential not known")         \
    X(SKY_E_UNKNOWN_ADAPTER, 13, 404, "not_run",                              \
      "no such adapter or version")                                           \
    X(SKY_E_NOT_FOUND, 14, 404, "not_run", "no such path or document")        \
    X(SKY_E_KEY_REQUIRED, 15, 400, "not_run",                                 \
      "the route needs an idempotency key")                                   \
    X(SKY_E_KEY_EXPIRED, 16, 409, "not_run", "idempotency key too old")       \
    X(SKY_E_OVERLOADED, 20, 503, "not_run", "no room before the deadline")    \
    X(SKY_E_DRAINING, 21, 503, "not_run", "host is draining")                 \
    X(SKY_E_NOT_READY, 22, 503, "not_run", "host is not ready")               \
    X(SKY_E_NO_TARGET, 23, 503, "not_run", "no usable target")                \
    X(SKY_E_LOG_DOWN, 24, 503, "not_run", "log service not reachable")        \
    X(SKY_E_LOAD_FAILED, 25, 503, "not_run", "adapter could not be loaded")   \
    X(SKY_E_REFUSED, 26, 503, "not_run", "target refused the request")        \
    X(SKY_E_QUARANTINED, 27, 422, "not_run", "request crashed two targets")   \
    X(SKY_E_DEADLINE, 28, 504, "not_run", "deadline passed before dispatch")  \
    X(SKY_E_LEASE, 29, 503, "not_run", "lease not held")                      \
    X(SKY_E_CLAIMED, 30, 409, "unknown", "key already claimed")               \
    X(SKY_E_UNKNOWN, 31, 502, "unknown", "sent, but no whole answer")         \
    X(SKY_E_TRUNCATED, 32, 502, "unknown", "answer cut short")                \
    X(SKY_E_MISMATCH, 33, 502, "unknown", "answer to another request")        \
    X(SKY_E_CANCELLED, 34, 499, "unknown", "caller went away")                \
    X(SKY_E_CONFLICT, 40, 409, "not_run", "revision is not the current one")  \
    X(SKY_E_BAD_CONFIG, 41, 422, "not_run", "configuration not valid")

/** Result of a fallible call; see SKY_RESULT_TABLE. */
typedef enum {
#define X(symbol, number, status, outcome, text) symbol = (number),
    SKY_RESULT_TABLE(X)
#undef X
} sky_result_t;

/** @return true unless @p result is SKY_OK. */
static inline bool
SkyResult_IsError(sky_result_t result)
{
    return result != SKY_OK;
}

/** @return the code's symbol, for example "SKY_E_CLAIMED". */
const char *SkyResult_Symbol(sky_result_t result);

/** @return a one-line description. */
const char *SkyResult_Text(sky_result_t result);

/** @return "answered", "not_run" or "unknown": whether the request was run.
 *          Only after "not_run" is it safe for the caller to retry a request
 *          that is not idempotent. */
const char *SkyResult_Outcome(sky_result_t result);

/** @return the HTTP status of the response. */
uint32_t SkyResult_HttpStatus(sky_result_t result);

#ifdef __cplusplus
}
#endif
#endif
