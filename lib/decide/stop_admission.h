/**
 * @file stop_admission.h
 * @brief Which requests a host still takes between the request to stop and its
 *        exit.
 *
 * What is under way when the host exits is cut, while a request that is
 * refused at once can be served by another host. A stopping host therefore
 * sends a request only if its response ends in time by its deadline, or
 * because recent responses of its route were that short. The latter is no
 * promise, so that it counts only where a wrong guess does little harm:
 * - for a request that may run again and whose response is passed on as a
 *   whole: its caller can be told that it was not completed;
 * - for a stream that can be resumed, while the load balancer still sends
 *   callers to this host: most of these streams would come back to it.
 * Nothing is known of a route without recent responses.
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

/** What a wrong guess of a response's end does to its caller. */
typedef enum {
    SKY_STOP_KIND_REPEATABLE, /**< it may run again, is passed on as a whole */
    SKY_STOP_KIND_RESUMABLE,  /**< a stream that can go on at another host */
    SKY_STOP_KIND_ONCE,       /**< it is lost: it may not run again */
} sky_stop_kind_t;

typedef struct {
    uint64_t exits_at_ms;
    uint64_t balanced_until_ms; /**< the balancer sends callers until then */
} sky_stop_times_t;

typedef struct {
    uint64_t route; /**< hash of the route's name */
    sky_stop_kind_t kind;
    uint64_t limit_ms;   /**< from the request's arrival to its deadline */
    uint64_t ends_at_ms; /**< its deadline */
} sky_stop_request_t;

/** Called when the request arrives, and again until it is sent to a target: it
 *  may have to wait.
 *  @return whether the response to a request that is sent now is expected to
 *          end before the host exits */
bool SkyStopAdmission_EndsInTime(const sky_stop_admission_t *admission,
                                 const sky_stop_times_t *times,
                                 const sky_stop_request_t *request,
                                 uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
