/**
 * @file http_reader.h
 * @brief Incremental HTTP/1.1 message reader, built on http-parser.
 *
 * Each connection has one reader, for requests or for responses. It stops
 * after each complete message and leaves the bytes behind it to the caller.
 * It alone judges whether a message is valid; callers judge what it means.
 */
#ifndef SKY_NET_HTTP_READER_H
#define SKY_NET_HTTP_READER_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/result.h"
#include "net/buffer.h"
#include "net/http_lines.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Header fields in one message: of a head of 16 KiB that has only the
 * shortest ones. */
#define SKY_HTTP_FIELDS_MAX 4096
/** Fields that the Connection fields of one message may name: each field is
 *  compared with them. */
#define SKY_HTTP_CONNECTION_NAMES_MAX 32

/** Prefix of the names of this product's own hop-by-hop fields. */
#define SKY_HTTP_HOP_FIELD_PREFIX "Sky-Hop-"

/** One header field. Offsets refer to the text of the head, in which name and
 *  value are each NUL-terminated. */
typedef struct {
    uint32_t name_offset;
    uint32_t value_offset;
    uint32_t value_bytes;
} sky_http_field_t;

/** A name in a list, not NUL-terminated. */
typedef struct {
    uint32_t offset;
    uint32_t bytes;
} sky_http_name_t;

/** Request line or status line, and the header fields. */
typedef struct {
    sky_buffer_t text; /**< URL, names and values, each NUL-terminated */
    sky_http_field_t *fields;
    uint32_t field_count;
    uint32_t field_capacity;
    /** Fields named by Connection fields, in the text. */
    sky_http_name_t connection_names[SKY_HTTP_CONNECTION_NAMES_MAX];
    uint32_t connection_name_count;
    uint32_t url_bytes; /**< the URL is at the start of the text */
    uint16_t status;    /**< responses only */
    uint8_t method;     /**< requests only; an enum http_method */
    bool keep_alive;
    bool has_length; /**< framed by Content-Length or chunks; false: a response
                        body ends when the connection closes */
    bool chunked;
    uint64_t content_bytes; /**< Content-Length; 0 if absent or chunked */
} sky_http_head_t;

typedef enum {
    SKY_HTTP_REQUEST,
    SKY_HTTP_RESPONSE,
} sky_http_message_kind_t;

/** Called while a message is read. Returning false stops the reader for good:
 *  it reads no further message. */
typedef struct {
    bool (*on_head)(void *context, const sky_http_head_t *head);
    bool (*on_body)(void *context, const char *bytes, size_t size);
    bool (*on_complete)(void *context);
} sky_http_events_t;

typedef enum {
    SKY_HTTP_INCOMPLETE, /**< all bytes consumed, message not complete */
    SKY_HTTP_COMPLETE,   /**< message complete; bytes behind it not consumed */
    SKY_HTTP_MALFORMED,  /**< not HTTP/1.1; see SkyHttpReader_Fault() */
    SKY_HTTP_TOO_LARGE,  /**< head exceeds a limit of its size or fields */
    SKY_HTTP_STOPPED,    /**< a callback returned false */
} sky_http_progress_t;

typedef struct {
    http_parser parser;
    sky_http_lines_t lines; /**< ahead of the parser */
    sky_http_message_kind_t kind;
    sky_http_events_t events;
    void *context;
    sky_http_head_t head;
    size_t head_bytes_read; /**< bytes of the current message's head so far */
    size_t max_head_bytes;  /**< 0: unlimited */
    uint32_t current_name_offset; /**< of the field being read, in the text */
    bool in_field_value;
    char last_byte;            /**< the last one parsed */
    bool response_has_no_body; /**< the response is to a HEAD request */
    bool in_message;           /**< some but not all of a message was read */
    bool head_is_complete;
    bool message_is_complete;
    bool head_is_too_large;
    bool at_chunk_end; /**< the parser was paused behind the end of a chunk */
    bool is_stopped;
} sky_http_reader_t;

void SkyHttpReader_Init(sky_http_reader_t *reader,
                        sky_http_message_kind_t kind,
                        const sky_http_events_t *events, void *context,
                        size_t max_head_bytes);
void SkyHttpReader_Clear(sky_http_reader_t *reader);
/** Frees what a large head took, between two messages. */
void SkyHttpReader_Shrink(sky_http_reader_t *reader);

/** Parses bytes up to the end of a message.
 *  @param size 0 signals the end of the stream, which completes a response
 *         without a length.
 *  @param consumed set to the number of bytes parsed. */
sky_http_progress_t SkyHttpReader_Feed(sky_http_reader_t *reader,
                                       const char *bytes, size_t size,
                                       size_t *consumed);

/** @return why a message is malformed. */
sky_http_fault_t SkyHttpReader_Fault(const sky_http_reader_t *reader);

/** @return value of the first field with this name, which is compared without
 *          regard to case; NULL if there is none. */
const char *SkyHttpHead_FindField(const sky_http_head_t *head,
                                  const char *name);
/** @return path and query of the request target; another form than an absolute
 *          one as received; "" for a response. */
const char *SkyHttpHead_Url(const sky_http_head_t *head);
const char *SkyHttpHead_FieldName(const sky_http_head_t *head, uint32_t field);
const char *SkyHttpHead_FieldValue(const sky_http_head_t *head,
                                   uint32_t field);
/** @return whether a field must not be forwarded: it applies to a single
 *          connection (RFC 9110 section 7.6.1, or by its prefix) or frames the
 *          body. */
bool SkyHttpHead_IsHopByHop(const sky_http_head_t *head, const char *name);

#ifdef __cplusplus
}
#endif
#endif
