#include "net/http_reader.h"

#include <string.h>
#include <strings.h>

static sky_http_reader_t *
reader_of(http_parser *parser)
{
    return parser->data;
}

static int
append(sky_http_reader_t *reader, const char *bytes, size_t size)
{
    return SkyResult_IsError(
        SkyBuffer_Append(&reader->head.text, bytes, size));
}

static int
on_message_begin(http_parser *parser)
{
    sky_http_reader_t *reader = reader_of(parser);
    sky_buffer_t text = reader->head.text;
    text.start = 0;
    text.end = 0;
    reader->head = (sky_http_head_t){.text = text};
    reader->open_field = 0;
    reader->in_value = false;
    reader->head_done = false;
    reader->complete = false;
    reader->in_message = true;
    return 0;
}

static int
on_url(http_parser *parser, const char *bytes, size_t size)
{
    sky_http_reader_t *reader = reader_of(parser);
    reader->head.url_bytes += (uint32_t)size;
    return append(reader, bytes, size);
}

static int
end_value(sky_http_reader_t *reader)
{
    if (!reader->in_value) {
        return 0;
    }
    sky_http_head_t *head = &reader->head;
    sky_http_field_t *field = &head->fields[head->field_count];
    field->value_bytes = (uint32_t)head->text.end - field->value;
    head->field_count++;
    reader->in_value = false;
    return append(reader, "", 1);
}

static int
on_field(http_parser *parser, const char *bytes, size_t size)
{
    sky_http_reader_t *reader = reader_of(parser);
    if (reader->head_done) {
        return 0; /* trailers are not forwarded */
    }
    /* The parser lets blanks in names pass; other parsers would not. */
    if (memchr(bytes, ' ', size) != NULL) {
        return 1;
    }
    if (reader->in_value || reader->open_field == 0) {
        /* A url, or one 0 in its place, stands before the first name. */
        if (end_value(reader) != 0) {
            return 1;
        }
        if (reader->head.field_count == 0 && append(reader, "", 1) != 0) {
            return 1;
        }
        if (reader->head.field_count >= SKY_HTTP_FIELDS_MAX) {
            reader->too_large = true;
            return 1;
        }
        reader->open_field = (uint32_t)reader->head.text.end;
    }
    return append(reader, bytes, size);
}

static int
on_value(http_parser *parser, const char *bytes, size_t size)
{
    sky_http_reader_t *reader = reader_of(parser);
    sky_http_head_t *head = &reader->head;
    if (reader->head_done) {
        return 0;
    }
    if (!reader->in_value) {
        if (append(reader, "", 1) != 0) {
            return 1;
        }
        head->fields[head->field_count] = (sky_http_field_t){
            .name = reader->open_field, .value = (uint32_t)head->text.end};
        reader->in_value = true;
    }
    return append(reader, bytes, size);
}

static int
on_headers_complete(http_parser *parser)
{
    sky_http_reader_t *reader = reader_of(parser);
    sky_http_head_t *head = &reader->head;
    if (end_value(reader) != 0 || append(reader, "", 1) != 0) {
        return -1;
    }
    if (reader->head_limit_bytes > 0 &&
        head->text.end > reader->head_limit_bytes) {
        reader->too_large = true;
        return -1;
    }
    head->status = (uint16_t)parser->status_code;
    head->method = (uint8_t)parser->method;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    head->chunked = (parser->flags & F_CHUNKED) != 0;
    bool by_length = parser->content_length != UINT64_MAX;
    head->has_length = head->chunked || by_length;
    head->content_bytes =
        by_length && !head->chunked ? parser->content_length : 0;
    reader->head_done = true;
    if (!reader->events.on_head(reader->context, head)) {
        reader->stopped = true;
        return -1;
    }
    return reader->bodyless ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *bytes, size_t size)
{
    sky_http_reader_t *reader = reader_of(parser);
    if (!reader->events.on_body(reader->context, bytes, size)) {
        reader->stopped = true;
        return 1;
    }
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    sky_http_reader_t *reader = reader_of(parser);
    reader->complete = true;
    reader->in_message = false;
    reader->head_bytes = 0;
    if (!reader->events.on_complete(reader->context)) {
        reader->stopped = true;
        return 1;
    }
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings SETTINGS = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

void
SkyHttp_InitReader(sky_http_reader_t *reader, sky_http_kind_t kind,
                   const sky_http_events_t *events, void *context,
                   size_t head_limit_bytes)
{
    *reader = (sky_http_reader_t){.kind = kind,
                                  .events = *events,
                                  .context = context,
                                  .head_limit_bytes = head_limit_bytes};
    http_parser_init(&reader->parser,
                     kind == SKY_HTTP_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
    reader->parser.data = reader;
}

void
SkyHttp_Clear(sky_http_reader_t *reader)
{
    SkyBuffer_Clear(&reader->head.text);
}

sky_http_progress_t
SkyHttp_Feed(sky_http_reader_t *reader, const char *bytes, size_t size,
             size_t *used)
{
    reader->complete = false;
    *used = http_parser_execute(&reader->parser, &SETTINGS, bytes, size);
    enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);
    if (reader->stopped) {
        return SKY_HTTP_STOPPED;
    }
    if (reader->too_large) {
        return SKY_HTTP_TOO_LARGE;
    }
    if (error == HPE_PAUSED) {
        http_parser_pause(&reader->parser, 0);
    }
    else if (error == HPE_HEADER_OVERFLOW) {
        return SKY_HTTP_TOO_LARGE;
    }
    else if (error != HPE_OK || reader->parser.upgrade) {
        return SKY_HTTP_MALFORMED;
    }
    if (reader->complete) {
        return SKY_HTTP_COMPLETE;
    }
    if (!reader->head_done && reader->in_message) {
        reader->head_bytes += size;
        if (reader->head_limit_bytes > 0 &&
            reader->head_bytes > reader->head_limit_bytes) {
            return SKY_HTTP_TOO_LARGE;
        }
    }
    return SKY_HTTP_MORE;
}

const char *
SkyHttp_Url(const sky_http_head_t *head)
{
    return head->text.bytes ? head->text.bytes : "";
}

const char *
SkyHttp_Name(const sky_http_head_t *head, uint32_t field)
{
    return head->text.bytes + head->fields[field].name;
}

const char *
SkyHttp_Value(const sky_http_head_t *head, uint32_t field)
{
    return head->text.bytes + head->fields[field].value;
}

const char *
SkyHttp_Field(const sky_http_head_t *head, const char *name)
{
    for (uint32_t i = 0; i < head->field_count; i++) {
        if (strcasecmp(SkyHttp_Name(head, i), name) == 0) {
            return SkyHttp_Value(head, i);
        }
    }
    return NULL;
}

static bool
list_names(const char *list, const char *name)
{
    size_t size = strlen(name);
    const char *at = list;
    while (*at != '\0') {
        at += strspn(at, " \t,");
        size_t length = strcspn(at, " \t,");
        if (length == size && strncasecmp(at, name, size) == 0) {
            return true;
        }
        at += length;
    }
    return false;
}

bool
SkyHttp_IsHopByHop(const sky_http_head_t *head, const char *name)
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
    for (uint32_t i = 0; i < head->field_count; i++) {
        if (strcasecmp(SkyHttp_Name(head, i), "Connection") == 0 &&
            list_names(SkyHttp_Value(head, i), name)) {
            return true;
        }
    }
    return false;
}
