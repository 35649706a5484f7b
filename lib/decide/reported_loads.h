/**
 * @file reported_loads.h
 * @brief Requests in flight on one target, as the hosts last reported them to
 *        its owner.
 *
 * A host that has not reported for a while does not count. The module does no
 * I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_REPORTED_LOADS_H
#define SKY_DECIDE_REPORTED_LOADS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_REPORTED_LOAD_TTL_MS 1000 /**< older reports do not count */

/** Load of one host on the target. */
typedef struct {
    uint64_t host; /**< hash of its name */
    uint32_t in_flight;
    uint64_t received_ms;
} sky_reported_load_t;

/** Zero-initialised: no host has reported. */
typedef struct {
    sky_reported_load_t *loads;
    uint32_t count; /**< with reports that have expired */
    uint32_t capacity;
} sky_reported_loads_t;

void SkyReportedLoads_Clear(sky_reported_loads_t *reported);

/** Records a host's report, which replaces its last one.
 *  @return false: out of memory, it is not kept */
bool SkyReportedLoads_Record(sky_reported_loads_t *reported, uint64_t host,
                             uint32_t in_flight, uint64_t now_ms);

/** @return requests in flight of all hosts but one.
 *  @param excluded_host hash of its name; 0: none is excluded */
uint32_t SkyReportedLoads_Sum(const sky_reported_loads_t *reported,
                              uint64_t excluded_host, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
