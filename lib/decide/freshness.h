/**
 * @file freshness.h
 * @brief Age of the list of targets, and when a missing entry means that its
 *        target left.
 *
 * Entries of targets lapse while the store is unreachable and come back soon
 * after it. An entry that goes missing while the store responds belongs to a
 * target that left. Times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_FRESHNESS_H
#define SKY_DECIDE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised: nothing was read yet. */
typedef struct {
    uint64_t read_ms; /**< newest read of the store, by this host or by the
                           host that relayed its records */
    uint64_t store_regained_ms; /**< end of the last time that the store was
                                     unreachable; 0: never */
} sky_freshness_t;

/** Records that the store was read at @p read_ms, by this host or another. */
void SkyFreshness_RecordRead(sky_freshness_t *freshness, uint64_t read_ms,
                             uint64_t now_ms);
/** Records that the store has lost its newest records: their sources write
 *  them again as after an outage. */
void SkyFreshness_RecordLoss(sky_freshness_t *freshness, uint64_t now_ms);
/** @return whether relayed records are too old to rely on. */
bool SkyFreshness_IsStale(const sky_freshness_t *freshness, uint64_t now_ms);
/** @return the time at which a target whose entry is missing now is to be
 *          removed, unless its entry comes back before. */
uint64_t SkyFreshness_GetRemovalMs(const sky_freshness_t *freshness,
                                   uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
