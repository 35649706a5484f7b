#include "net/event_stream.h"

#include <stdlib.h>
#include <string.h>

/* Returns the size of the first event, including the blank line that ends it,
 * or 0 if no event is complete. Lines end in LF or CRLF. */
static size_t
first_event_size(const char *bytes, size_t size)
{
    size_t offset = 0;
    while (offset < size) {
        const char *newline = memchr(bytes + offset, '\n', size - offset);
        if (newline == NULL) {
            return 0;
        }
        size_t line_size = (size_t)(newline - bytes) - offset;
        bool is_blank =
            line_size == 0 || (line_size == 1 && bytes[offset] == '\r');
        offset = (size_t)(newline - bytes) + 1;
        if (is_blank) {
            return offset;
        }
    }
    return 0;
}

/* Records the event's id, a decimal number; the last "id:" line counts. */
static void
record_event_id(sky_event_stream_t *stream, const char *event, size_t size)
{
    size_t offset = 0;
    while (offset < size) {
        const char *newline = memchr(event + offset, '\n', size - offset);
        size_t line_size =
            newline ? (size_t)(newline - event) - offset : size - offset;
        if (line_size > 3 && memcmp(event + offset, "id:", 3) == 0) {
            stream->last_id = strtoull(event + offset + 3, NULL, 10);
            stream->has_id = true;
        }
        offset += line_size + 1;
    }
}

sky_result_t
SkyEventStream_Feed(sky_event_stream_t *stream, const char *bytes, size_t size,
                    sky_buffer_t *complete_events)
{
    sky_result_t result =
        SkyBuffer_Append(&stream->partial_event, bytes, size);
    while (!SkyResult_IsError(result)) {
        const char *event = SkyBuffer_Data(&stream->partial_event);
        size_t event_size =
            first_event_size(event, SkyBuffer_Size(&stream->partial_event));
        if (event_size == 0) {
            break;
        }
        record_event_id(stream, event, event_size);
        stream->event_count++;
        result = SkyBuffer_Append(complete_events, event, event_size);
        SkyBuffer_Consume(&stream->partial_event, event_size);
    }
    return result;
}

void
SkyEventStream_DiscardPartial(sky_event_stream_t *stream)
{
    SkyBuffer_Consume(&stream->partial_event,
                      SkyBuffer_Size(&stream->partial_event));
}

void
SkyEventStream_Clear(sky_event_stream_t *stream)
{
    SkyBuffer_Clear(&stream->partial_event);
}
