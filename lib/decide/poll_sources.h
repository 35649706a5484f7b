/**
 * @file poll_sources.h
 * @brief Chooses which of its sources a host polls for records of the store.
 *
 * Load pattern: hosts start, stop and fail in waves, so that the sources are
 * chosen anew several times a second, while the preferred one is dead or slow.
 * A host that then began with the preferred one each time would never reach
 * another. The module does no I/O; times are milliseconds of the caller's
 * clock.
 */
#ifndef SKY_DECIDE_POLL_SOURCES_H
#define SKY_DECIDE_POLL_SOURCES_H

#include <stdint.h>

#include "decide/fanout.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The store readers, and the relay of a failure domain. */
#define SKY_POLL_SOURCES_MAX (SKY_FANOUT_READER_COUNT + 1)
#define SKY_POLL_ADDRESS_BYTES 64

/** Zero-initialised: no sources. */
typedef struct {
    /** Control addresses, preferred one first. */
    char addresses[SKY_POLL_SOURCES_MAX][SKY_POLL_ADDRESS_BYTES];
    uint32_t count;
    uint32_t current;  /**< index of the source to poll */
    uint64_t moved_ms; /**< when it last changed */
} sky_poll_sources_t;

/** Replaces the sources. The current one stays if it is among the new ones.
 *  @param addresses preferred one first; those beyond the maximum, or too
 *         long, are left out */
void SkyPollSources_Set(sky_poll_sources_t *sources,
                        const char *const *addresses, uint32_t count);
/** @return the source to poll now; NULL if there is none. Some time after the
 *  preferred one failed it is tried again. */
const char *SkyPollSources_Choose(sky_poll_sources_t *sources,
                                  uint64_t now_ms);
/** Records that the current source did not respond, or with stale records. */
void SkyPollSources_RecordFailure(sky_poll_sources_t *sources,
                                  uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
