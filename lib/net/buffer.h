/**
 * @file buffer.h
 * @brief Growable byte buffer, consumed from its front.
 */
#ifndef SKY_NET_BUFFER_H
#define SKY_NET_BUFFER_H

#include <stddef.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised means empty. */
typedef struct {
    char *bytes;
    size_t start;    /**< first byte not consumed */
    size_t end;      /**< one past the last byte */
    size_t capacity; /**< bytes allocated */
} sky_buffer_t;

/** Appends @p size bytes. @return SKY_E_MEMORY, the buffer unchanged. */
sky_result_t SkyBuffer_Append(sky_buffer_t *buffer, const void *bytes,
                              size_t size);
/** Appends a string without its terminator. */
sky_result_t SkyBuffer_AppendText(sky_buffer_t *buffer, const char *text);
/** Appends formatted text. */
sky_result_t SkyBuffer_Format(sky_buffer_t *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/** Drops @p size bytes from the front. */
void SkyBuffer_Consume(sky_buffer_t *buffer, size_t size);
/** Empties the buffer and releases its memory. */
void SkyBuffer_Clear(sky_buffer_t *buffer);

static inline size_t
SkyBuffer_Size(const sky_buffer_t *buffer)
{
    return buffer->end - buffer->start;
}

static inline const char *
SkyBuffer_Data(const sky_buffer_t *buffer)
{
    return buffer->bytes ? buffer->bytes + buffer->start : "";
}

#ifdef __cplusplus
}
#endif
#endif
