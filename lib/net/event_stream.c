#include "net/event_stream.h"

#include <stdlib.h>
#include <string.h>

/* Size of the first event in the bytes, its blank line included; 0: none. */
static size_t
event_size(const char *bytes, size_t size)
{
    size_t at = 0;
    while (at < size) {
        const char *end = memchr(bytes + at, '\n', size - at);
        if (end == NULL) {
            return 0;
        }
        size_t line = (size_t)(end - bytes) - at;
        bool blank = line == 0 || (line == 1 && bytes[at] == '\r');
        at = (size_t)(end - bytes) + 1;
        if (blank) {
            return at;
        }
    }
    return 0;
}

static void
note_id(sky_event_stream_t *stream, const char *event, size_t size)
{
    size_t at = 0;
    while (at < size) {
        const char *end = memchr(event + at, '\n', size - at);
        size_t line = end ? (size_t)(end - event) - at : size - at;
        if (line > 3 && memcmp(event + at, "id:", 3) == 0) {
            stream->last_id = strtoull(event + at + 3, NULL, 10);
            stream->has_id = true;
        }
        at += line + 1;
    }
}

sky_result_t
SkyEventStream_Feed(sky_event_stream_t *stream, const char *bytes, size_t size,
                    sky_buffer_t *ready)
{
    sky_result_t result = SkyBuffer_Append(&stream->held, bytes, size);
    while (!SkyResult_IsError(result)) {
        const char *event = SkyBuffer_Data(&stream->held);
        size_t whole = event_size(event, SkyBuffer_Size(&stream->held));
        if (whole == 0) {
            break;
        }
        note_id(stream, event, whole);
        stream->events++;
        result = SkyBuffer_Append(ready, event, whole);
        SkyBuffer_Consume(&stream->held, whole);
    }
    return result;
}

void
SkyEventStream_Rewind(sky_event_stream_t *stream)
{
    SkyBuffer_Consume(&stream->held, SkyBuffer_Size(&stream->held));
}

void
SkyEventStream_Clear(sky_event_stream_t *stream)
{
    SkyBuffer_Clear(&stream->held);
}
