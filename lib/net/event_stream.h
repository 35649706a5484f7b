/**
 * @file event_stream.h
 * @brief Splits a text/event-stream into complete events and tracks their ids.
 */
#ifndef SKY_NET_EVENT_STREAM_H
#define SKY_NET_EVENT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "net/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised: at the start of a stream. */
typedef struct {
    /** Bytes of an event that is not complete yet. */
    sky_buffer_t partial_event;
    uint64_t last_id;     /**< id of the newest complete event that has one */
    bool has_id;          /**< last_id is set */
    uint64_t event_count; /**< complete events passed on */
} sky_event_stream_t;

/** Adds bytes of the stream. Each event that they complete is appended to
 *  @p complete_events, which the caller consumes, with its final blank line.
 *  @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyEventStream_Feed(sky_event_stream_t *stream, const char *bytes,
                                 size_t size, sky_buffer_t *complete_events);
/** Discards the incomplete event, before the stream is resumed on another
 *  connection. */
void SkyEventStream_DiscardPartial(sky_event_stream_t *stream);
void SkyEventStream_Clear(sky_event_stream_t *stream);

#ifdef __cplusplus
}
#endif
#endif
