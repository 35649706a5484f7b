#include "net/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Fits most HTTP heads without growing. */
#define INITIAL_CAPACITY_BYTES 512

/* Ensures space for size more bytes. Consumed space is reclaimed before the
 * buffer grows. */
static sky_result_t
reserve_space(sky_buffer_t *buffer, size_t size)
{
    if (buffer->start > 0 && buffer->end + size > buffer->capacity) {
        memmove(buffer->bytes, buffer->bytes + buffer->start,
                buffer->end - buffer->start);
        buffer->end -= buffer->start;
        buffer->start = 0;
    }
    size_t capacity =
        buffer->capacity ? buffer->capacity : INITIAL_CAPACITY_BYTES;
    while (capacity < buffer->end + size) {
        capacity *= 2;
    }
    if (capacity == buffer->capacity) {
        return SKY_OK;
    }
    char *bytes = realloc(buffer->bytes, capacity);
    if (bytes == NULL) {
        return SKY_E_MEMORY;
    }
    buffer->bytes = bytes;
    buffer->capacity = capacity;
    return SKY_OK;
}

sky_result_t
SkyBuffer_Append(sky_buffer_t *buffer, const void *bytes, size_t size)
{
    if (size == 0) {
        return SKY_OK;
    }
    sky_result_t result = reserve_space(buffer, size);
    if (SkyResult_IsError(result)) {
        return result;
    }
    memcpy(buffer->bytes + buffer->end, bytes, size);
    buffer->end += size;
    return SKY_OK;
}

sky_result_t
SkyBuffer_AppendText(sky_buffer_t *buffer, const char *text)
{
    return SkyBuffer_Append(buffer, text, strlen(text));
}

sky_result_t
SkyBuffer_AppendFormat(sky_buffer_t *buffer, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    int size = vsnprintf(NULL, 0, format, arguments);
    va_end(arguments);
    if (size < 0) {
        return SKY_E_IO;
    }
    sky_result_t result = reserve_space(buffer, (size_t)size + 1);
    if (SkyResult_IsError(result)) {
        return result;
    }
    va_start(arguments, format);
    vsnprintf(buffer->bytes + buffer->end, (size_t)size + 1, format,
              arguments);
    va_end(arguments);
    buffer->end += (size_t)size;
    return SKY_OK;
}

void
SkyBuffer_Consume(sky_buffer_t *buffer, size_t size)
{
    buffer->start += size;
    if (buffer->start >= buffer->end) {
        buffer->start = 0;
        buffer->end = 0;
    }
}

void
SkyBuffer_Clear(sky_buffer_t *buffer)
{
    free(buffer->bytes);
    *buffer = (sky_buffer_t){0};
}
