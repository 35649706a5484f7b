#include "net/http_reader.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define LIST_SEPARATORS " \t,"
#define BLANKS " \t"
#define FIELD_HOST "Host"
#define STATUS_SWITCHING_PROTOCOLS 101
#define CODING_CHUNKED "chunked"
/** Ends a response whose head has no end. */
#define RESPONSE_FIELDS_MAX 64u
#define FIELDS_CAPACITY_MIN 16u
/** Fits most heads, and is kept for the next one. */
#define FIELDS_CAPACITY_KEPT_MAX 64u

static sky_http_reader_t *
reader_from_parser(http_parser *parser)
{
    return parser->data;
}

static int
append_to_head(sky_http_reader_t *reader, const char *bytes, size_t size)
{
    return SkyResult_IsError(
        SkyBuffer_Append(&reader->head.text, bytes, size));
}

static int
on_message_begin(http_parser *parser)
{
    sky_http_reader_t *reader = reader_from_parser(parser);
    sky_buffer_t text = reader->head.text;
    text.start = 0;
    text.end = 0;
    reader->head =
        (sky_http_head_t){.text = text,
                          .fields = reader->head.fields,
                          .field_capacity = reader->head.field_capacity};
    reader->current_name_offset = 0;
    reader->in_field_value = false;
    reader->head_is_complete = false;
    reader->message_is_complete = false;
    reader->in_message = true;
    return 0;
}

static int
on_url(http_parser *parser, const char *bytes, size_t size)
{
    sky_http_reader_t *reader = reader_from_parser(parser);
    reader->head.url_bytes += (uint32_t)size;
    return append_to_head(reader, bytes, size);
}

/* Makes room for one more field. */
static bool
reserve_field(sky_http_head_t *head)
{
    if (head->field_count < head->field_capacity) {
        return true;
    }
    uint32_t capacity = head->field_capacity > 0 ? 2 * head->field_capacity
                                                 : FIELDS_CAPACITY_MIN;
    sky_http_field_t *fields =
        realloc(head->fields, capacity * sizeof *fields);
    if (fields == NULL) {
        return false;
    }
    head->fields = fields;
    head->field_capacity = capacity;
    return true;
}

/* Records the names in the value of a Connection field; returns false if there
 * are too many. */
static bool
record_connection_names(sky_http_head_t *head, const char *list)
{
    for (list += strspn(list, LIST_SEPARATORS); *list != '\0';
         list += strspn(list, LIST_SEPARATORS)) {
        if (head->connection_name_count == SKY_HTTP_CONNECTION_NAMES_MAX) {
            return false;
        }
        size_t size = strcspn(list, LIST_SEPARATORS);
        head->connection_names[head->connection_name_count++] =
            (sky_http_name_t){(uint32_t)(list - head->text.bytes),
                              (uint32_t)size};
        list += size;
    }
    return true;
}

/* Terminates the field value that is being read, if any. */
static int
finish_field_value(sky_http_reader_t *reader)
{
    if (!reader->in_field_value) {
        return 0;
    }
    sky_http_head_t *head = &reader->head;
    sky_http_field_t *field = &head->fields[head->field_count];
    /* Blanks around a value are no part of it (RFC 9110, section 5.5). */
    while (head->text.end > field->value_offset &&
           strchr(BLANKS, head->text.bytes[head->text.end - 1]) != NULL &&
           head->text.bytes[head->text.end - 1] != '\0') {
        head->text.end--;
    }
    field->value_bytes = (uint32_t)head->text.end - field->value_offset;
    head->field_count++;
    reader->in_field_value = false;
    if (append_to_head(reader, "", 1) != 0) {
        return 1;
    }
    uint32_t last = head->field_count - 1;
    if (strcasecmp(SkyHttpHead_FieldName(head, last), "Connection") == 0 &&
        !record_connection_names(head, SkyHttpHead_FieldValue(head, last))) {
        reader->head_is_too_large = true;
        return 1;
    }
    return 0;
}

static int
on_field_name(http_parser *parser, const char *bytes, size_t size)
{
    sky_http_reader_t *reader = reader_from_parser(parser);
    if (reader->head_is_complete) {
        return 0; /* trailer fields are not forwarded */
    }
    if (reader->in_field_value || reader->current_name_offset == 0) {
        if (finish_field_value(reader) != 0) {
            return 1;
        }
        /* Terminates the URL, which is empty in a response. */
        if (reader->head.field_count == 0 &&
            append_to_head(reader, "", 1) != 0) {
            return 1;
        }
        uint32_t fields_max = reader->kind == SKY_HTTP_REQUEST
                                  ? SKY_HTTP_FIELDS_MAX
                                  : RESPONSE_FIELDS_MAX;
        if (reader->head.field_count >= fields_max) {
            reader->head_is_too_large = true;
            return 1;
        }
        if (!reserve_field(&reader->head)) {
            return 1;
        }
        reader->current_name_offset = (uint32_t)reader->head.text.end;
    }
    return append_to_head(reader, bytes, size);
}

static int
on_field_value(http_parser *parser, const char *bytes, size_t size)
{
    sky_http_reader_t *reader = reader_from_parser(parser);
    sky_http_head_t *head = &reader->head;
    if (reader->head_is_complete) {
        return 0;
    }
    if (!reader->in_field_value) {
        if (append_to_head(reader, "", 1) != 0) {
            return 1;
        }
        head->fields[head->field_count] =
            (sky_http_field_t){.name_offset = reader->current_name_offset,
                               .value_offset = (uint32_t)head->text.end};
        reader->in_field_value = true;
    }
    return append_to_head(reader, bytes, size);
}

/* Whether the body comes as it is, or in chunks. Other codings are not undone
 * here, and the next recipient is not told of them. */
static bool
has_known_coding(const sky_http_head_t *head)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < head->field_count; i++) {
        if (strcasecmp(SkyHttpHead_FieldName(head, i), "Transfer-Encoding") !=
            0) {
            continue;
        }
        const char *value = SkyHttpHead_FieldValue(head, i);
        size_t size = strcspn(value, " \t");
        bool is_chunked = size == strlen(CODING_CHUNKED) &&
                          strncasecmp(value, CODING_CHUNKED, size) == 0 &&
                          value[size + strspn(value + size, " \t")] == '\0';
        if (!is_chunked || !head->chunked || ++count > 1) {
            return false;
        }
    }
    return true;
}

/* Sets the value of all Host fields, or adds one. Returns false if memory ran
 * out. */
static bool
set_host(sky_http_reader_t *reader, uint32_t offset, uint32_t size)
{
    sky_http_head_t *head = &reader->head;
    uint32_t count = 0;
    for (uint32_t i = 0; i < head->field_count; i++) {
        if (strcasecmp(SkyHttpHead_FieldName(head, i), FIELD_HOST) == 0) {
            head->fields[i].value_offset = offset;
            head->fields[i].value_bytes = size;
            count++;
        }
    }
    if (count > 0) {
        return true;
    }
    uint32_t name_offset = (uint32_t)head->text.end;
    if (!reserve_field(head) ||
        append_to_head(reader, FIELD_HOST, sizeof FIELD_HOST) != 0) {
        return false;
    }
    head->fields[head->field_count++] =
        (sky_http_field_t){.name_offset = name_offset,
                           .value_offset = offset,
                           .value_bytes = size};
    return true;
}

/* Replaces a target in absolute form by its path and query, and the Host field
 * by its authority (RFC 9112, section 3.2.2). Returns false if it names no
 * host, or a user, or memory ran out. */
static bool
normalize_target(sky_http_reader_t *reader)
{
    sky_http_head_t *head = &reader->head;
    char *url = head->text.bytes;
    size_t scheme_bytes = strncasecmp(url, "http://", 7) == 0    ? 7
                          : strncasecmp(url, "https://", 8) == 0 ? 8
                                                                 : 0;
    if (scheme_bytes == 0) {
        return true;
    }
    size_t size = strcspn(url + scheme_bytes, "/?#");
    uint32_t host_offset = (uint32_t)head->text.end;
    char *authority = strndup(url + scheme_bytes, size);
    bool is_set = authority != NULL && size > 0 &&
                  strchr(authority, '@') == NULL &&
                  append_to_head(reader, authority, size + 1) == 0 &&
                  set_host(reader, host_offset, (uint32_t)size);
    free(authority);
    if (!is_set) {
        return false;
    }
    url = head->text.bytes; /* the text may have moved */
    size_t path = scheme_bytes + size;
    if (url[path] != '/') {
        url[--path] = '/';
    }
    memmove(url, url + path, head->url_bytes - path + 1);
    head->url_bytes -= (uint32_t)path;
    return true;
}

static int
on_headers_complete(http_parser *parser)
{
    sky_http_reader_t *reader = reader_from_parser(parser);
    sky_http_head_t *head = &reader->head;
    if (finish_field_value(reader) != 0 ||
        append_to_head(reader, "", 1) != 0) {
        return -1;
    }
    if (reader->max_head_bytes > 0 &&
        head->text.end > reader->max_head_bytes) {
        reader->head_is_too_large = true;
        return -1;
    }
    if (reader->kind == SKY_HTTP_REQUEST && !normalize_target(reader)) {
        reader->lines.fault = SKY_HTTP_FAULT_TARGET;
        return -1;
    }
    head->status = (uint16_t)parser->status_code;
    if (head->status == STATUS_SWITCHING_PROTOCOLS) {
        /* What follows is not HTTP, and no request asks for it. */
        reader->lines.fault = SKY_HTTP_FAULT_UPGRADE;
        return -1;
    }
    head->method = (uint8_t)parser->method;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    head->chunked = (parser->flags & F_CHUNKED) != 0;
    if (!has_known_coding(head)) {
        reader->lines.fault = SKY_HTTP_FAULT_CODING;
        return -1;
    }
    bool has_content_length = parser->content_length != UINT64_MAX;
    head->has_length = head->chunked || has_content_length;
    head->content_bytes =
        has_content_length && !head->chunked ? parser->content_length : 0;
    reader->head_is_complete = true;
    if (!reader->events.on_head(reader->context, head)) {
        reader->is_stopped = true;
        return -1;
    }
    return reader->response_has_no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *bytes, size_t size)
{
    sky_http_reader_t *reader = reader_from_parser(parser);
    if (!reader->events.on_body(reader->context, bytes, size)) {
        reader->is_stopped = true;
        return 1;
    }
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    sky_http_reader_t *reader = reader_from_parser(parser);
    reader->message_is_complete = true;
    reader->in_message = false;
    reader->head_bytes_read = 0;
    SkyHttpLines_BeginMessage(&reader->lines,
                              reader->kind == SKY_HTTP_REQUEST);
    if (!reader->events.on_complete(reader->context)) {
        reader->is_stopped = true;
        return 1;
    }
    /* Leaves the bytes after this message to the caller. */
    http_parser_pause(parser, 1);
    return 0;
}

static int
on_chunk_head(http_parser *parser)
{
    sky_http_reader_t *reader = reader_from_parser(parser);
    if (parser->content_length == 0) {
        SkyHttpLines_BeginTrailers(&reader->lines);
    }
    reader->at_chunk_end = true;
    http_parser_pause(parser, 1);
    return 0;
}

static int
on_chunk_complete(http_parser *parser)
{
    if ((parser->flags & F_TRAILING) != 0) {
        return 0; /* the end of the body, in the middle of a line end */
    }
    reader_from_parser(parser)->at_chunk_end = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings SETTINGS = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
    .on_chunk_header = on_chunk_head,
    .on_chunk_complete = on_chunk_complete,
};

void
SkyHttpReader_Init(sky_http_reader_t *reader, sky_http_message_kind_t kind,
                   const sky_http_events_t *events, void *context,
                   size_t max_head_bytes)
{
    *reader = (sky_http_reader_t){.kind = kind,
                                  .events = *events,
                                  .context = context,
                                  .max_head_bytes = max_head_bytes};
    http_parser_init(&reader->parser,
                     kind == SKY_HTTP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
    reader->parser.data = reader;
    SkyHttpLines_BeginMessage(&reader->lines, kind == SKY_HTTP_REQUEST);
}

void
SkyHttpReader_Clear(sky_http_reader_t *reader)
{
    SkyBuffer_Clear(&reader->head.text);
    free(reader->head.fields);
    reader->head.fields = NULL;
    reader->head.field_count = 0;
    reader->head.field_capacity = 0;
    reader->head.connection_name_count = 0;
}

void
SkyHttpReader_Shrink(sky_http_reader_t *reader)
{
    if (reader->head.field_capacity > FIELDS_CAPACITY_KEPT_MAX) {
        SkyHttpReader_Clear(reader);
    }
}

/* Whether the line of a chunk's size, or a chunk's data, ends as it must:
 * http-parser takes any two bytes there. */
static bool
chunk_ends_with_line(const sky_http_reader_t *reader, const char *bytes,
                     size_t size)
{
    char before = size > 1 ? bytes[size - 2] : reader->last_byte;
    return before == '\r' && bytes[size - 1] == '\n';
}

/* Lets http-parser read bytes that were checked; size 0 tells it that the
 * stream has ended. */
static sky_http_progress_t
parse(sky_http_reader_t *reader, const char *bytes, size_t size,
      size_t *parsed)
{
    reader->at_chunk_end = false;
    *parsed = http_parser_execute(&reader->parser, &SETTINGS, bytes, size);
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);
    if (reader->is_stopped) {
        return SKY_HTTP_STOPPED;
    }
    if (reader->head_is_too_large || error == HPE_HEADER_OVERFLOW) {
        return SKY_HTTP_TOO_LARGE;
    }
    if (error == HPE_PAUSED) {
        http_parser_pause(&reader->parser, 0);
        if (reader->at_chunk_end &&
            !chunk_ends_with_line(reader, bytes, *parsed)) {
            reader->lines.fault = SKY_HTTP_FAULT_CHUNK;
        }
    }
    else if (error != HPE_OK || reader->parser.upgrade) {
        if (reader->lines.fault == SKY_HTTP_FAULT_NONE) {
            reader->lines.fault = SKY_HTTP_FAULT_OTHER;
        }
    }
    if (*parsed > 0) {
        reader->last_byte = bytes[*parsed - 1];
    }
    if (reader->lines.fault != SKY_HTTP_FAULT_NONE) {
        return SKY_HTTP_MALFORMED;
    }
    return reader->message_is_complete ? SKY_HTTP_COMPLETE
                                       : SKY_HTTP_INCOMPLETE;
}

/* Checks and parses the bytes up to the end of the lines or of a chunk, or all
 * of them. */
static sky_http_progress_t
read_part(sky_http_reader_t *reader, const char *bytes, size_t size,
          size_t *consumed)
{
    size_t valid_bytes = size;
    if (reader->lines.state != SKY_HTTP_LINES_CLOSED) {
        valid_bytes = SkyHttpLines_Check(&reader->lines, bytes, size);
    }
    if (valid_bytes == 0 && size > 0) {
        *consumed = 0;
        return SKY_HTTP_MALFORMED;
    }
    return parse(reader, bytes, valid_bytes, consumed);
}

sky_http_progress_t
SkyHttpReader_Feed(sky_http_reader_t *reader, const char *bytes, size_t size,
                   size_t *consumed)
{
    sky_http_progress_t progress;
    reader->message_is_complete = false;
    *consumed = 0;
    if (reader->lines.fault != SKY_HTTP_FAULT_NONE) {
        return SKY_HTTP_MALFORMED;
    }
    do {
        size_t part_bytes = 0;
        progress = read_part(reader, bytes + *consumed, size - *consumed,
                             &part_bytes);
        *consumed += part_bytes;
    } while (progress == SKY_HTTP_INCOMPLETE && *consumed < size);
    if (progress == SKY_HTTP_INCOMPLETE && !reader->head_is_complete &&
        reader->in_message) {
        reader->head_bytes_read += size;
        if (reader->max_head_bytes > 0 &&
            reader->head_bytes_read > reader->max_head_bytes) {
            return SKY_HTTP_TOO_LARGE;
        }
    }
    return progress;
}

sky_http_fault_t
SkyHttpReader_Fault(const sky_http_reader_t *reader)
{
    return reader->lines.fault;
}

const char *
SkyHttpHead_Url(const sky_http_head_t *head)
{
    return head->text.bytes ? head->text.bytes : "";
}

const char *
SkyHttpHead_FieldName(const sky_http_head_t *head, uint32_t field)
{
    return head->text.bytes + head->fields[field].name_offset;
}

const char *
SkyHttpHead_FieldValue(const sky_http_head_t *head, uint32_t field)
{
    return head->text.bytes + head->fields[field].value_offset;
}

const char *
SkyHttpHead_FindField(const sky_http_head_t *head, const char *name)
{
    for (uint32_t i = 0; i < head->field_count; i++) {
        if (strcasecmp(SkyHttpHead_FieldName(head, i), name) == 0) {
            return SkyHttpHead_FieldValue(head, i);
        }
    }
    return NULL;
}

bool
SkyHttpHead_IsHopByHop(const sky_http_head_t *head, const char *name)
{
    static const char *const NAMES[] = {"Connection",
                                        "Keep-Alive",
                                        "Proxy-Connection",
                                        "TE",
                                        "Trailer",
                                        "Transfer-Encoding",
                                        "Upgrade",
                                        "Content-Length",
                                        "Proxy-Authenticate",
                                        "Expect",
                                        "Proxy-Authorization"};
    for (size_t i = 0; i < sizeof NAMES / sizeof NAMES[0]; i++) {
        if (strcasecmp(name, NAMES[i]) == 0) {
            return true;
        }
    }
    if (strncasecmp(name, SKY_HTTP_HOP_FIELD_PREFIX,
                    strlen(SKY_HTTP_HOP_FIELD_PREFIX)) == 0) {
        return true;
    }
    size_t name_size = strlen(name);
    for (uint32_t i = 0; i < head->connection_name_count; i++) {
        const sky_http_name_t *named = &head->connection_names[i];
        if (named->bytes == name_size &&
            strncasecmp(head->text.bytes + named->offset, name, name_size) ==
                0) {
            return true;
        }
    }
    return false;
}
