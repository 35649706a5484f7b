#include "serve/exchange.h"

#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <uthash.h>

#include "core/clock.h"

#define ATTEMPT_MASK UINT64_C(15) /* low bits, counted up by attempts */

struct sky_exchange {
    uint64_t id;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    sky_decision_t decision;
    UT_hash_handle hh;
};

struct sky_exchanges {
    pthread_mutex_t lock;
    sky_exchange_t *table;
    uint32_t count;
};

sky_exchanges_t *
SkyExchanges_Create(void)
{
    sky_exchanges_t *exchanges = calloc(1, sizeof *exchanges);
    if (exchanges != NULL) {
        pthread_mutex_init(&exchanges->lock, NULL);
    }
    return exchanges;
}

void
SkyExchanges_Free(sky_exchanges_t *exchanges)
{
    if (exchanges != NULL) {
        pthread_mutex_destroy(&exchanges->lock);
        free(exchanges);
    }
}

static sky_exchange_t *
new_exchange(void)
{
    pthread_condattr_t attributes;
    sky_exchange_t *exchange = calloc(1, sizeof *exchange);
    if (exchange == NULL) {
        return NULL;
    }
    pthread_mutex_init(&exchange->lock, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&exchange->wake, &attributes);
    pthread_condattr_destroy(&attributes);
    randombytes_buf(&exchange->id, sizeof exchange->id);
    exchange->id &= ~ATTEMPT_MASK;
    return exchange;
}

sky_exchange_t *
SkyExchanges_Open(sky_exchanges_t *exchanges)
{
    sky_exchange_t *exchange = new_exchange();
    if (exchange == NULL) {
        return NULL;
    }
    pthread_mutex_lock(&exchanges->lock);
    HASH_ADD(hh, exchanges->table, id, sizeof exchange->id, exchange);
    exchanges->count++;
    pthread_mutex_unlock(&exchanges->lock);
    return exchange;
}

void
SkyExchanges_Close(sky_exchanges_t *exchanges, sky_exchange_t *exchange)
{
    pthread_mutex_lock(&exchanges->lock);
    HASH_DEL(exchanges->table, exchange);
    exchanges->count--;
    pthread_mutex_unlock(&exchanges->lock);
    pthread_mutex_destroy(&exchange->lock);
    pthread_cond_destroy(&exchange->wake);
    free(exchange);
}

bool
SkyExchanges_Deliver(sky_exchanges_t *exchanges, uint64_t id,
                     const sky_decision_t *decision)
{
    sky_exchange_t *exchange;
    pthread_mutex_lock(&exchanges->lock);
    HASH_FIND(hh, exchanges->table, &id, sizeof id, exchange);
    if (exchange != NULL) {
        pthread_mutex_lock(&exchange->lock);
        exchange->decision = *decision;
        pthread_cond_signal(&exchange->wake);
        pthread_mutex_unlock(&exchange->lock);
    }
    pthread_mutex_unlock(&exchanges->lock);
    return exchange != NULL;
}

uint32_t
SkyExchanges_Count(const sky_exchanges_t *exchanges)
{
    return __atomic_load_n(&exchanges->count, __ATOMIC_ACQUIRE);
}

uint64_t
SkyExchange_Id(const sky_exchange_t *exchange)
{
    return exchange->id;
}

sky_decision_t
SkyExchange_Wait(sky_exchange_t *exchange, uint32_t wait_ms)
{
    struct timespec until = SkyClock_In(wait_ms);
    int expired = 0;
    pthread_mutex_lock(&exchange->lock);
    while (exchange->decision.kind == SKY_DECIDED_NOTHING && !expired) {
        expired =
            pthread_cond_timedwait(&exchange->wake, &exchange->lock, &until);
    }
    sky_decision_t decision = exchange->decision;
    exchange->decision.kind = SKY_DECIDED_NOTHING;
    pthread_mutex_unlock(&exchange->lock);
    return decision;
}
