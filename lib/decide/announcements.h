/**
 * @file announcements.h
 * @brief Versions of adapters that were announced, each with its own time.
 *
 * Load pattern: an adapter gets several versions in a row, each before the one
 * before it is in place. A version has to be served within a time limit from
 * its own announcement, however many follow it. The module does no I/O; times
 * are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_ANNOUNCEMENTS_H
#define SKY_DECIDE_ANNOUNCEMENTS_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Identifies an adapter of a model; the adapter "" is the model alone. */
typedef uint64_t sky_adapter_key_t;

typedef struct sky_announcement sky_announcement_t;

/** Zero-initialised: no version was announced. */
typedef struct {
    sky_announcement_t *by_adapter; /**< a hash */
} sky_announcements_t;

void SkyAnnouncements_Clear(sky_announcements_t *announcements);

/** Records that a version was announced; one that is not newer than the newest
 *  is ignored.
 *  @param required_ms versions announced before then are required: of these
 *  only the newest is kept
 *  @param now_ms not less than in earlier calls */
void SkyAnnouncements_Record(sky_announcements_t *announcements,
                             sky_adapter_key_t adapter, uint32_t version,
                             uint64_t required_ms, uint64_t now_ms);

/** @return the newest announced version of an adapter, 0 if none. */
uint32_t SkyAnnouncements_GetNewest(const sky_announcements_t *announcements,
                                    sky_adapter_key_t adapter);

/** @return the newest version that was announced before @p before_ms, 0 if
 *  none. */
uint32_t
SkyAnnouncements_GetNewestBefore(const sky_announcements_t *announcements,
                                 sky_adapter_key_t adapter,
                                 uint64_t before_ms);

/** Calls @p on_version for the newest version of each adapter. */
void SkyAnnouncements_ForEach(const sky_announcements_t *announcements,
                              void (*on_version)(void *context,
                                                 sky_adapter_key_t adapter,
                                                 uint32_t version),
                              void *context);

#ifdef __cplusplus
}
#endif
#endif
