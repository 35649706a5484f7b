#include "serve/workers.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <utlist.h>

#define STACK_BYTES (256 * 1024)

typedef struct job {
    sky_job_t run;
    void *context;
    struct job *prev;
    struct job *next;
} job_t;

struct sky_workers {
    pthread_mutex_t lock;
    pthread_cond_t wake;
    job_t *queue;
    bool stopping;
    uint32_t count;
    pthread_t *threads;
};

static job_t *
take_job(sky_workers_t *workers)
{
    pthread_mutex_lock(&workers->lock);
    while (workers->queue == NULL && !workers->stopping) {
        pthread_cond_wait(&workers->wake, &workers->lock);
    }
    job_t *job = workers->stopping ? NULL : workers->queue;
    if (job != NULL) {
        DL_DELETE(workers->queue, job);
    }
    pthread_mutex_unlock(&workers->lock);
    return job;
}

static void *
run_worker(void *context)
{
    sky_workers_t *workers = context;
    job_t *job;
    while ((job = take_job(workers)) != NULL) {
        job->run(job->context);
        free(job);
    }
    return NULL;
}

static void
start_threads(sky_workers_t *workers, uint32_t threads)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    for (uint32_t i = 0; i < threads; i++) {
        if (pthread_create(&workers->threads[workers->count], &attributes,
                           run_worker, workers) == 0) {
            workers->count++;
        }
    }
    pthread_attr_destroy(&attributes);
}

sky_workers_t *
SkyWorkers_Create(uint32_t threads)
{
    sky_workers_t *workers = calloc(1, sizeof *workers);
    if (workers == NULL) {
        return NULL;
    }
    pthread_mutex_init(&workers->lock, NULL);
    pthread_cond_init(&workers->wake, NULL);
    workers->threads = calloc(threads, sizeof *workers->threads);
    if (workers->threads != NULL) {
        start_threads(workers, threads);
    }
    if (workers->count == 0) {
        SkyWorkers_Free(workers);
        return NULL;
    }
    return workers;
}

void
SkyWorkers_Free(sky_workers_t *workers)
{
    if (workers == NULL) {
        return;
    }
    pthread_mutex_lock(&workers->lock);
    workers->stopping = true;
    pthread_cond_broadcast(&workers->wake);
    pthread_mutex_unlock(&workers->lock);
    for (uint32_t i = 0; i < workers->count; i++) {
        pthread_join(workers->threads[i], NULL);
    }
    job_t *job;
    job_t *next;
    DL_FOREACH_SAFE(workers->queue, job, next)
    {
        DL_DELETE(workers->queue, job);
        free(job);
    }
    free(workers->threads);
    pthread_mutex_destroy(&workers->lock);
    pthread_cond_destroy(&workers->wake);
    free(workers);
}

sky_result_t
SkyWorkers_Submit(sky_workers_t *workers, sky_job_t run, void *context)
{
    job_t *job = calloc(1, sizeof *job);
    if (job == NULL) {
        return SKY_E_MEMORY;
    }
    job->run = run;
    job->context = context;
    pthread_mutex_lock(&workers->lock);
    DL_APPEND(workers->queue, job);
    pthread_cond_signal(&workers->wake);
    pthread_mutex_unlock(&workers->lock);
    return SKY_OK;
}
