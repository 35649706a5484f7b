/**
 * @file acquitted_crashes.h
 * @brief Crashes that do not count against a request, as answers to it showed
 *        that it does not crash targets.
 *
 * They are kept by name, so that the same crash does not count when another
 * host or the store tells it again. The module does no I/O; times are
 * milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_ACQUITTED_CRASHES_H
#define SKY_DECIDE_ACQUITTED_CRASHES_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_acquitted_crashes sky_acquitted_crashes_t;

/** @param retention_ms time for which a crash is kept
 *  @return NULL: out of memory */
sky_acquitted_crashes_t *SkyAcquittedCrashes_Create(uint64_t retention_ms);
void SkyAcquittedCrashes_Free(sky_acquitted_crashes_t *crashes);

/** Keeps a crash; the oldest one makes room if there are too many.
 *  @return false if it was kept already, or without memory */
bool SkyAcquittedCrashes_Add(sky_acquitted_crashes_t *crashes,
                             const sky_rec_crash_t *crash, uint64_t now_ms);
bool SkyAcquittedCrashes_Has(const sky_acquitted_crashes_t *crashes,
                             const sky_rec_crash_t *crash);
/** @return number of crashes that are kept for a fingerprint. */
uint32_t SkyAcquittedCrashes_Count(const sky_acquitted_crashes_t *crashes,
                                   uint64_t fingerprint);
/** Drops what is older than the retention time. */
void SkyAcquittedCrashes_Expire(sky_acquitted_crashes_t *crashes,
                                uint64_t now_ms);

typedef void (*sky_acquitted_visitor_t)(const sky_rec_crash_t *crash,
                                        void *context);
void SkyAcquittedCrashes_ForEach(const sky_acquitted_crashes_t *crashes,
                                 sky_acquitted_visitor_t visit, void *context);

#ifdef __cplusplus
}
#endif
#endif
