/**
 * @file stop_admission.h
 * @brief Which requests a host still takes between the request to stop and its
 *        exit.
 *
 * What is under way when the host exits is cut, while a request that is
 * refused at once can be served by another host. A stopping host therefore
 * takes a request only if its response ends in time: by its deadline, or
 * because recent responses of its route were that short. Nothing is known of a
 * route without recent responses, so that its deadline alone counts.
 *
 * The module does no I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_STOP_ADMISSION_H
#define SKY_DECIDE_STOP_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_stop_admission sky_stop_admission_t;

typedef struct {
    uint64_t window_ms;  /**< a response counts for once to twice as long */
    uint32_t routes_max; /**< routes known at once; further ones are not */
} sky_stop_admission_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t
SkyStopAdmission_Create(const sky_stop_admission_options_t *options,
                        sky_stop_admission_t **admission);
void SkyStopAdmission_Free(sky_stop_admission_t *admission);

/** Records that the response to a request of the route is complete.
 *  @param route hash of the route's name
 *  @param duration_ms from the request's arrival to the response's end */
void SkyStopAdmission_RecordResponse(sky_stop_admission_t *admission,
                                     uint64_t route, uint64_t duration_ms,
                                     uint64_t now_ms);

/** @return whether a response that begins now ends before the host exits.
 *  @param exits_at_ms of the host
 *  @param limit_ms within which the response ends in any case */
bool SkyStopAdmission_EndsInTime(const sky_stop_admission_t *admission,
                                 uint64_t route, uint64_t exits_at_ms,
                                 uint64_t limit_ms, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
