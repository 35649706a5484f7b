/**
 * @file http_lines.h
 * @brief Checks the lines of HTTP/1.1 messages: start lines, fields, trailers.
 *
 * http-parser, built without its strict mode, accepts lines that RFC 9112
 * forbids and that other readers take differently. The same bytes are checked
 * here first, one by one, whatever reads they come in.
 */
#ifndef SKY_NET_HTTP_LINES_H
#define SKY_NET_HTTP_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Why a message is malformed. */
typedef enum {
    SKY_HTTP_FAULT_NONE,
    SKY_HTTP_FAULT_START_LINE, /**< no request line or status line */
    SKY_HTTP_FAULT_VERSION,    /**< not HTTP, or of another major version */
    SKY_HTTP_FAULT_STATUS,     /**< not three digits from 100 to 599 */
    SKY_HTTP_FAULT_FIELD_NAME, /**< no token in front of the colon */
    SKY_HTTP_FAULT_FIELD_VALUE,
    SKY_HTTP_FAULT_FOLDED_LINE, /**< a line begins with a blank or tab */
    SKY_HTTP_FAULT_LINE_END,    /**< CR without LF */
    SKY_HTTP_FAULT_CHUNK,       /**< a chunk does not have its size */
    SKY_HTTP_FAULT_CODING,      /**< a transfer coding other than chunked */
    SKY_HTTP_FAULT_UPGRADE,     /**< 101, for which the client never asks */
    SKY_HTTP_FAULT_TARGET, /**< an absolute target without a usable host */
    SKY_HTTP_FAULT_OTHER,  /**< found by http-parser */
} sky_http_fault_t;

/** @return the name for log lines. */
const char *SkyHttpFault_Name(sky_http_fault_t fault);

typedef enum {
    SKY_HTTP_LINES_CLOSED, /**< the bytes to come belong to a body */
    SKY_HTTP_LINES_BEFORE_MESSAGE,
    SKY_HTTP_LINES_METHOD,
    SKY_HTTP_LINES_TARGET,
    SKY_HTTP_LINES_VERSION,
    SKY_HTTP_LINES_STATUS,
    SKY_HTTP_LINES_REASON,
    SKY_HTTP_LINES_FIELD_START,
    SKY_HTTP_LINES_FIELD_NAME,
    SKY_HTTP_LINES_FIELD_VALUE,
    SKY_HTTP_LINES_LINE_END, /**< behind the CR of a line */
    SKY_HTTP_LINES_LAST_END, /**< behind the CR of the empty line */
} sky_http_lines_state_t;

/** Position in the lines of a message. */
typedef struct {
    sky_http_lines_state_t state;
    sky_http_fault_t fault;
    uint8_t position; /**< in the version or the status */
    bool is_request;
} sky_http_lines_t;

/** A start line and fields are to come. */
void SkyHttpLines_BeginMessage(sky_http_lines_t *lines, bool is_request);
/** Trailer fields are to come. */
void SkyHttpLines_BeginTrailers(sky_http_lines_t *lines);

/** Checks bytes up to the empty line.
 *  @return the number of valid bytes. It is less than @p size if the lines end
 *          there, or if the byte behind them is invalid, as the fault then
 *          tells. */
size_t SkyHttpLines_Check(sky_http_lines_t *lines, const char *bytes,
                          size_t size);

#ifdef __cplusplus
}
#endif
#endif
