/**
 * @file rate_permits.h
 * @brief Permits for requests to targets that name a limit.
 *
 * The owner of a target's shard hands them out, so that the hosts together
 * keep to the limit whichever of them the callers come in at. It also passes
 * on what it heard last of the limit.
 */
#ifndef SKY_EDGE_RATE_PERMITS_H
#define SKY_EDGE_RATE_PERMITS_H

#include "core/result.h"
#include "edge/directory.h"
#include "edge/host_calls.h"
#include "edge/ownership.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_rate_permits sky_rate_permits_t;
typedef struct sky_rate_permit_request sky_rate_permit_request_t;

typedef struct {
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_host_calls_t *host_calls;
} sky_rate_permits_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyRatePermits_Create(const sky_rate_permits_options_t *options,
                                   sky_rate_permits_t **permits);
void SkyRatePermits_Free(sky_rate_permits_t *permits);

/** Records the limit that a target names in a response; 0: none. */
void SkyRatePermits_RecordLimit(const sky_rate_permits_t *permits,
                                sky_fleet_target_t *target, double per_s);

typedef enum {
    SKY_RATE_PERMIT_GRANTED,
    /** Not now: the target's `limit_wait_until_ms` tells until when. */
    SKY_RATE_PERMIT_DENIED,
    SKY_RATE_PERMIT_PENDING, /**< the owner is asked */
} sky_rate_permit_t;

typedef void (*sky_rate_permit_done_t)(void *context,
                                       sky_rate_permit_t permit);

/** Acquires a permit for one request to a target that names a limit.
 *  @param done called once from the event loop, if the result is
 *         SKY_RATE_PERMIT_PENDING
 *  @param pending set to the pending request, else to NULL */
sky_rate_permit_t SkyRatePermits_Acquire(sky_rate_permits_t *permits,
                                         sky_fleet_target_t *target,
                                         sky_rate_permit_done_t done,
                                         void *context,
                                         sky_rate_permit_request_t **pending);
/** Cancels a pending request; its callback is not called. */
void SkyRatePermits_Cancel(sky_rate_permit_request_t *request);

#ifdef __cplusplus
}
#endif
#endif
