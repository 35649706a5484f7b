/**
 * @file workers.h
 * @brief A few threads for blocking calls to the platform and to targets.
 */
#ifndef SKY_SERVE_WORKERS_H
#define SKY_SERVE_WORKERS_H

#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_workers sky_workers_t;
typedef void (*sky_job_t)(void *context);

sky_workers_t *SkyWorkers_Create(uint32_t threads);
/** Finishes the jobs that run, drops those that wait, joins all threads. */
void SkyWorkers_Free(sky_workers_t *workers);
/** Queues a job. @return SKY_E_MEMORY if it could not be queued. */
sky_result_t SkyWorkers_Submit(sky_workers_t *workers, sky_job_t job,
                               void *context);

#ifdef __cplusplus
}
#endif
#endif
