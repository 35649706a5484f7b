/**
 * @file event_stream.h
 * @brief Cuts a text/event-stream into whole events and follows their ids.
 */
#ifndef SKY_NET_EVENT_STREAM_H
#define SKY_NET_EVENT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "net/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised means at the begin of a stream. */
typedef struct {
    sky_buffer_t held; /**< begin of an event whose end has not come */
    uint64_t last_id;  /**< of the newest whole event */
    bool has_id;
    uint64_t events; /**< whole events passed on */
} sky_event_stream_t;

/** Takes bytes; @p ready gets the whole events, ended by a blank line, and is
 *  to be consumed by the caller. */
sky_result_t SkyEventStream_Feed(sky_event_stream_t *stream, const char *bytes,
                                 size_t size, sky_buffer_t *ready);
/** Forgets the held begin of an event. */
void SkyEventStream_Rewind(sky_event_stream_t *stream);
void SkyEventStream_Clear(sky_event_stream_t *stream);

#ifdef __cplusplus
}
#endif
#endif
