/**
 * @file poll_sources.h
 * @brief Chooses which of its sources a host polls for records of the store.
 *
 * Load pattern: hosts start, stop and fail in waves, so that the sources are
 * chosen anew several times a second, while the preferred one is dead or slow.
 * A host that then began with the preferred one each time would never reach
 * another.
 *
 * Load pattern: a relay is late with a large document. If all its followers
 * polled the store readers then, these would be late too, and with them all
 * relays. Followers therefore poll another host of their domain first, and the
 * less often the longer they poll in vain: meanwhile they read the store.
 *
 * Fault: the store refuses some hosts, and all sources are among them. A host
 * that got nothing from any of them polls other hosts in turn, and stays with
 * one that helps.
 *
 * The module does no I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_POLL_SOURCES_H
#define SKY_DECIDE_POLL_SOURCES_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/fanout.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Relay of a failure domain, and the host that stands in for it. */
#define SKY_POLL_RELAY_COUNT 2
#define SKY_POLL_SOURCES_MAX (SKY_POLL_RELAY_COUNT + SKY_FANOUT_READER_COUNT)
#define SKY_POLL_ADDRESS_BYTES 64

/** Zero-initialised: no sources. */
typedef struct {
    /** Control addresses, preferred one first. */
    char addresses[SKY_POLL_SOURCES_MAX][SKY_POLL_ADDRESS_BYTES];
    uint32_t count;
    uint32_t current;  /**< index of the source to poll */
    uint64_t moved_ms; /**< when it last changed */
    uint32_t failures; /**< in a row */
    /** Another host that is polled in their place; "": none. */
    char substitute[SKY_POLL_ADDRESS_BYTES];
} sky_poll_sources_t;

/** Replaces the sources. The current one stays if it is among the new ones.
 *  @param addresses preferred one first; those beyond the maximum, too long or
 *         listed before are left out */
void SkyPollSources_Set(sky_poll_sources_t *sources,
                        const char *const *addresses, uint32_t count);
/** @return the host to poll now; NULL if there is no source, or all of them
 *  failed: any other host. Some time after the preferred one failed it is
 *  tried again. */
const char *SkyPollSources_Choose(sky_poll_sources_t *sources,
                                  uint64_t now_ms);
/** Records that another host is polled as all sources failed. */
void SkyPollSources_Substitute(sky_poll_sources_t *sources,
                               const char *address, uint64_t now_ms);
/** Records that the polled host did not respond, or with stale records.
 *  @param reads_store this host can read the store meanwhile
 *  @return time until the next poll */
uint32_t SkyPollSources_RecordFailure(sky_poll_sources_t *sources,
                                      bool reads_store, uint64_t now_ms);
/** Records that a poll was of use. */
void SkyPollSources_RecordSuccess(sky_poll_sources_t *sources);

#ifdef __cplusplus
}
#endif
#endif
