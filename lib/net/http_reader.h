/**
 * @file http_reader.h
 * @brief Reads HTTP/1.1 messages out of a byte stream, through http-parser.
 *
 * One reader a connection, for either direction. It stops after each whole
 * message, so that bytes behind it stay with the caller.
 */
#ifndef SKY_NET_HTTP_READER_H
#define SKY_NET_HTTP_READER_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/result.h"
#include "net/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_HTTP_FIELDS_MAX 64 /**< header fields of one message */

/** Name and value as offsets into the head's text, each 0-terminated. */
typedef struct {
    uint32_t name;
    uint32_t value;
    uint32_t value_bytes;
} sky_http_field_t;

/** Request line or status line with the header fields. */
typedef struct {
    sky_buffer_t text; /**< url, names and values, each 0-terminated */
    sky_http_field_t fields[SKY_HTTP_FIELDS_MAX];
    uint32_t field_count;
    uint32_t url_bytes; /**< the url begins the text */
    uint16_t status;    /**< answers only */
    uint8_t method;     /**< requests only, an http_method */
    bool keep_alive;
    bool has_length; /**< Content-Length or chunks, not "until the end" */
    bool chunked;
    uint64_t content_bytes; /**< Content-Length, 0 without one */
} sky_http_head_t;

typedef enum {
    SKY_HTTP_REQUEST,
    SKY_HTTP_ANSWER,
} sky_http_kind_t;

/** Called as a message comes in; a false stops the reader for good. */
typedef struct {
    bool (*on_head)(void *context, const sky_http_head_t *head);
    bool (*on_body)(void *context, const char *bytes, size_t size);
    bool (*on_complete)(void *context);
} sky_http_events_t;

typedef enum {
    SKY_HTTP_MORE,      /**< all bytes taken, message not complete */
    SKY_HTTP_COMPLETE,  /**< one whole message; later bytes not taken */
    SKY_HTTP_MALFORMED, /**< not HTTP/1.1 */
    SKY_HTTP_TOO_LARGE, /**< head over its limit */
    SKY_HTTP_STOPPED,   /**< an event returned false */
} sky_http_progress_t;

typedef struct {
    http_parser parser;
    sky_http_kind_t kind;
    sky_http_events_t events;
    void *context;
    sky_http_head_t head;
    size_t head_bytes;       /**< of the present message */
    size_t head_limit_bytes; /**< 0: none */
    uint32_t open_field;     /**< text offset of the name being read */
    bool in_value;
    bool bodyless;   /**< the answer to a HEAD */
    bool in_message; /**< a byte of a message was read */
    bool head_done;
    bool complete;
    bool too_large;
    bool stopped;
} sky_http_reader_t;

void SkyHttp_InitReader(sky_http_reader_t *reader, sky_http_kind_t kind,
                        const sky_http_events_t *events, void *context,
                        size_t head_limit_bytes);
void SkyHttp_Clear(sky_http_reader_t *reader);

/** Feeds bytes; @p used tells how many were taken. Size 0 is the end of the
 *  stream, which completes an answer without a length. */
sky_http_progress_t SkyHttp_Feed(sky_http_reader_t *reader, const char *bytes,
                                 size_t size, size_t *used);

/** @return value of a field by its name, any case, or NULL. */
const char *SkyHttp_Field(const sky_http_head_t *head, const char *name);
/** @return the request's target as sent. */
const char *SkyHttp_Url(const sky_http_head_t *head);
const char *SkyHttp_Name(const sky_http_head_t *head, uint32_t field);
const char *SkyHttp_Value(const sky_http_head_t *head, uint32_t field);
/** @return whether a field concerns one connection only (RFC 9110 7.6.1), or
 *          frames the body, and so is not forwarded. */
bool SkyHttp_IsHopByHop(const sky_http_head_t *head, const char *name);

#ifdef __cplusplus
}
#endif
#endif
