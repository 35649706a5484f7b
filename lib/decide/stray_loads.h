/**
 * @file stray_loads.h
 * @brief Load orders that were sent to a target and not answered.
 *
 * Fault: a target starts again under its id, and carries out an order to its
 * earlier run. Each order expects an order count, so that this happens only
 * while the count of the new run is the same; then it takes a slot that the
 * owner believes to be free. The module does no I/O; times are milliseconds of
 * the caller's clock.
 */
#ifndef SKY_DECIDE_STRAY_LOADS_H
#define SKY_DECIDE_STRAY_LOADS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_stray_load sky_stray_load_t;

/** Zero-initialised: there are none. */
typedef struct {
    sky_stray_load_t *by_count; /**< a hash */
} sky_stray_loads_t;

void SkyStrayLoads_Clear(sky_stray_loads_t *strays);

/** Records that an order was not answered.
 *  @param order_count that it expects */
void SkyStrayLoads_Record(sky_stray_loads_t *strays, uint64_t order_count,
                          uint64_t now_ms);

/** Forgets those that are not carried out any more.
 *  @return whether any is left */
bool SkyStrayLoads_RemoveExpired(sky_stray_loads_t *strays, uint64_t now_ms);

/** Moves all of @p from to @p strays. */
void SkyStrayLoads_Merge(sky_stray_loads_t *strays, sky_stray_loads_t *from);

/** @return how many may still be carried out one after the other, from a
 * target with @p order_count on. */
uint32_t SkyStrayLoads_CountFrom(const sky_stray_loads_t *strays,
                                 uint64_t order_count, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
