/**
 * @file exchange.h
 * @brief Threads that wait for the control thread's decisions.
 */
#ifndef SKY_SERVE_EXCHANGE_H
#define SKY_SERVE_EXCHANGE_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What the control thread decided for a waiting thread. */
typedef struct {
    enum {
        SKY_DECIDED_NOTHING,
        SKY_DECIDED_DISPATCH,
        SKY_DECIDED_ANSWER,
        SKY_DECIDED_CHANGED,
    } kind;
    sky_act_dispatch_t dispatch;
    sky_act_respond_t response;
    sky_act_change_result_t change_result;
} sky_decision_t;

typedef struct sky_exchange sky_exchange_t;
typedef struct sky_exchanges sky_exchanges_t;

sky_exchanges_t *SkyExchanges_Create(void);
/** No exchange may be open. */
void SkyExchanges_Free(sky_exchanges_t *exchanges);

/** Opens an exchange under a new id; its low bits are free for attempts.
 *  @return NULL when memory is out. */
sky_exchange_t *SkyExchanges_Open(sky_exchanges_t *exchanges);
void SkyExchanges_Close(sky_exchanges_t *exchanges, sky_exchange_t *exchange);

/** Hands a decision over. @return false if nobody waits under the id. */
bool SkyExchanges_Deliver(sky_exchanges_t *exchanges, uint64_t id,
                          const sky_decision_t *decision);

/** @return open exchanges. */
uint32_t SkyExchanges_Count(const sky_exchanges_t *exchanges);

uint64_t SkyExchange_Id(const sky_exchange_t *exchange);
/** Waits for the next decision, at most @p wait_ms. */
sky_decision_t SkyExchange_Wait(sky_exchange_t *exchange, uint32_t wait_ms);

#ifdef __cplusplus
}
#endif
#endif
