/**
 * @file freshness.h
 * @brief How current the list of targets is, and what a missing entry means.
 *
 * Entries of targets lapse while the store is away and come back soon after
 * it. An entry that goes missing while the store answers is a target that
 * left. Times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_FRESHNESS_H
#define SKY_DECIDE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised means nothing read yet. */
typedef struct {
    uint64_t read_ms;     /**< newest read of the store, here or by the host
                               that handed its records on */
    uint64_t regained_ms; /**< the store had been away until then; 0: never */
} sky_freshness_t;

/** The store was read at @p read_ms; this host learns of it now. */
void SkyFreshness_NoteRead(sky_freshness_t *freshness, uint64_t read_ms,
                           uint64_t now_ms);
/** @return whether records handed on by others are too old to rely on. */
bool SkyFreshness_IsStale(const sky_freshness_t *freshness, uint64_t now_ms);
/** @return when a target whose entry is missing counts as gone. */
uint64_t SkyFreshness_GoneAt(const sky_freshness_t *freshness,
                             uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
