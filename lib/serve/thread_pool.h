/**
 * @file thread_pool.h
 * @brief Thread pool for blocking calls to the platform and to targets.
 */
#ifndef SKY_SERVE_THREAD_POOL_H
#define SKY_SERVE_THREAD_POOL_H

#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_thread_pool sky_thread_pool_t;
typedef void (*sky_task_function_t)(void *context);

/** Starts up to @p threads_max threads.
 *  @return NULL if out of memory or if no thread could be started. */
sky_thread_pool_t *SkyThreadPool_Create(uint32_t threads_max);
/** Waits for the running tasks, discards the queued ones, joins all threads.
 *  The contexts of discarded tasks are not freed. */
void SkyThreadPool_Free(sky_thread_pool_t *pool);
/** Queues a task. @return SKY_E_MEMORY if it could not be queued. */
sky_result_t SkyThreadPool_Submit(sky_thread_pool_t *pool,
                                  sky_task_function_t function, void *context);

#ifdef __cplusplus
}
#endif
#endif
