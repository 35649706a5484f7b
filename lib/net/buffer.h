/**
 * @file buffer.h
 * @brief Growable byte buffer that is consumed from the front.
 */
#ifndef SKY_NET_BUFFER_H
#define SKY_NET_BUFFER_H

#include <stddef.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised: empty. */
typedef struct {
    char *bytes;
    size_t start;    /**< offset of the first byte not consumed */
    size_t end;      /**< offset behind the last byte */
    size_t capacity; /**< bytes allocated */
} sky_buffer_t;

/** Appends @p size bytes.
 *  @return SKY_OK, or SKY_E_MEMORY with the content unchanged. */
sky_result_t SkyBuffer_Append(sky_buffer_t *buffer, const void *bytes,
                              size_t size);
/** Appends a string without its NUL terminator. */
sky_result_t SkyBuffer_AppendText(sky_buffer_t *buffer, const char *text);
/** Appends text formatted as by printf().
 *  @return SKY_OK, SKY_E_MEMORY, or SKY_E_IO if the format fails. */
sky_result_t SkyBuffer_AppendFormat(sky_buffer_t *buffer, const char *format,
                                    ...) __attribute__((format(printf, 2, 3)));
/** Removes @p size bytes from the front, or all if there are fewer. */
void SkyBuffer_Consume(sky_buffer_t *buffer, size_t size);
/** Empties the buffer and frees its memory. */
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
