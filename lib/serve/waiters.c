#include "serve/waiters.h"

#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <uthash.h>

#include "core/clock.h"

#define ATTEMPT_MASK UINT64_C(15) /* low bits of an id: attempt number */

struct sky_waiter {
    uint64_t id;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    sky_decision_t decision;
    UT_hash_handle hh;
};

struct sky_waiters {
    pthread_mutex_t lock;
    sky_waiter_t *by_id;
    uint32_t count;
};

sky_waiters_t *
SkyWaiters_Create(void)
{
    sky_waiters_t *waiters = calloc(1, sizeof *waiters);
    if (waiters != NULL) {
        pthread_mutex_init(&waiters->lock, NULL);
    }
    return waiters;
}

void
SkyWaiters_Free(sky_waiters_t *waiters)
{
    if (waiters != NULL) {
        pthread_mutex_destroy(&waiters->lock);
        free(waiters);
    }
}

static sky_waiter_t *
create_waiter(void)
{
    pthread_condattr_t attributes;
    sky_waiter_t *waiter = calloc(1, sizeof *waiter);
    if (waiter == NULL) {
        return NULL;
    }
    pthread_mutex_init(&waiter->lock, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&waiter->wake, &attributes);
    pthread_condattr_destroy(&attributes);
    randombytes_buf(&waiter->id, sizeof waiter->id);
    waiter->id &= ~ATTEMPT_MASK;
    return waiter;
}

sky_waiter_t *
SkyWaiters_Register(sky_waiters_t *waiters)
{
    sky_waiter_t *waiter = create_waiter();
    if (waiter == NULL) {
        return NULL;
    }
    pthread_mutex_lock(&waiters->lock);
    HASH_ADD(hh, waiters->by_id, id, sizeof waiter->id, waiter);
    waiters->count++;
    pthread_mutex_unlock(&waiters->lock);
    return waiter;
}

void
SkyWaiters_Unregister(sky_waiters_t *waiters, sky_waiter_t *waiter)
{
    pthread_mutex_lock(&waiters->lock);
    HASH_DEL(waiters->by_id, waiter);
    waiters->count--;
    pthread_mutex_unlock(&waiters->lock);
    pthread_mutex_destroy(&waiter->lock);
    pthread_cond_destroy(&waiter->wake);
    free(waiter);
}

bool
SkyWaiters_Deliver(sky_waiters_t *waiters, uint64_t id,
                   const sky_decision_t *decision)
{
    sky_waiter_t *waiter;
    pthread_mutex_lock(&waiters->lock);
    HASH_FIND(hh, waiters->by_id, &id, sizeof id, waiter);
    if (waiter != NULL) {
        pthread_mutex_lock(&waiter->lock);
        waiter->decision = *decision;
        pthread_cond_signal(&waiter->wake);
        pthread_mutex_unlock(&waiter->lock);
    }
    pthread_mutex_unlock(&waiters->lock);
    return waiter != NULL;
}

uint32_t
SkyWaiters_Count(const sky_waiters_t *waiters)
{
    return __atomic_load_n(&waiters->count, __ATOMIC_ACQUIRE);
}

uint64_t
SkyWaiter_Id(const sky_waiter_t *waiter)
{
    return waiter->id;
}

sky_decision_t
SkyWaiter_WaitForDecision(sky_waiter_t *waiter, uint32_t wait_ms)
{
    struct timespec deadline = SkyClock_DeadlineAfterMs(wait_ms);
    int wait_error = 0;
    pthread_mutex_lock(&waiter->lock);
    while (waiter->decision.kind == SKY_DECISION_NONE && !wait_error) {
        wait_error =
            pthread_cond_timedwait(&waiter->wake, &waiter->lock, &deadline);
    }
    sky_decision_t decision = waiter->decision;
    waiter->decision.kind = SKY_DECISION_NONE;
    pthread_mutex_unlock(&waiter->lock);
    return decision;
}
