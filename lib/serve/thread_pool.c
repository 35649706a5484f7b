#include "serve/thread_pool.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <utlist.h>

#define THREAD_STACK_BYTES (256 * 1024)

typedef struct task {
    sky_task_function_t function;
    void *context;
    struct task *prev;
    struct task *next;
} task_t;

struct sky_thread_pool {
    pthread_mutex_t lock;
    pthread_cond_t wake;
    task_t *queue;
    bool stopping;
    uint32_t thread_count;
    pthread_t *threads;
};

static task_t *
wait_for_task(sky_thread_pool_t *pool)
{
    pthread_mutex_lock(&pool->lock);
    while (pool->queue == NULL && !pool->stopping) {
        pthread_cond_wait(&pool->wake, &pool->lock);
    }
    task_t *task = pool->stopping ? NULL : pool->queue;
    if (task != NULL) {
        DL_DELETE(pool->queue, task);
    }
    pthread_mutex_unlock(&pool->lock);
    return task;
}

static void *
run_thread(void *context)
{
    sky_thread_pool_t *pool = context;
    task_t *task;
    while ((task = wait_for_task(pool)) != NULL) {
        task->function(task->context);
        free(task);
    }
    return NULL;
}

static void
start_threads(sky_thread_pool_t *pool, uint32_t threads_max)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, THREAD_STACK_BYTES);
    for (uint32_t i = 0; i < threads_max; i++) {
        if (pthread_create(&pool->threads[pool->thread_count], &attributes,
                           run_thread, pool) == 0) {
            pool->thread_count++;
        }
    }
    pthread_attr_destroy(&attributes);
}

sky_thread_pool_t *
SkyThreadPool_Create(uint32_t threads_max)
{
    sky_thread_pool_t *pool = calloc(1, sizeof *pool);
    if (pool == NULL) {
        return NULL;
    }
    pthread_mutex_init(&pool->lock, NULL);
    pthread_cond_init(&pool->wake, NULL);
    pool->threads = calloc(threads_max, sizeof *pool->threads);
    if (pool->threads != NULL) {
        start_threads(pool, threads_max);
    }
    if (pool->thread_count == 0) {
        SkyThreadPool_Free(pool);
        return NULL;
    }
    return pool;
}

void
SkyThreadPool_Free(sky_thread_pool_t *pool)
{
    if (pool == NULL) {
        return;
    }
    pthread_mutex_lock(&pool->lock);
    pool->stopping = true;
    pthread_cond_broadcast(&pool->wake);
    pthread_mutex_unlock(&pool->lock);
    for (uint32_t i = 0; i < pool->thread_count; i++) {
        pthread_join(pool->threads[i], NULL);
    }
    task_t *task;
    task_t *next;
    DL_FOREACH_SAFE(pool->queue, task, next)
    {
        DL_DELETE(pool->queue, task);
        free(task);
    }
    free(pool->threads);
    pthread_mutex_destroy(&pool->lock);
    pthread_cond_destroy(&pool->wake);
    free(pool);
}

sky_result_t
SkyThreadPool_Submit(sky_thread_pool_t *pool, sky_task_function_t function,
                     void *context)
{
    task_t *task = calloc(1, sizeof *task);
    if (task == NULL) {
        return SKY_E_MEMORY;
    }
    task->function = function;
    task->context = context;
    pthread_mutex_lock(&pool->lock);
    DL_APPEND(pool->queue, task);
    pthread_cond_signal(&pool->wake);
    pthread_mutex_unlock(&pool->lock);
    return SKY_OK;
}
