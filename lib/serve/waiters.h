/**
 * @file waiters.h
 * @brief Threads that wait for a decision of the control thread.
 *
 * A thread registers a waiter, posts an input that bears the waiter's id and
 * waits; the control thread delivers its decision under that id.
 */
#ifndef SKY_SERVE_WAITERS_H
#define SKY_SERVE_WAITERS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Decision of the control thread for one waiting thread. */
typedef struct {
    enum {
        SKY_DECISION_NONE,
        SKY_DECISION_DISPATCH,
        SKY_DECISION_RESPOND,
        SKY_DECISION_CHANGE_RESULT,
    } kind;
    sky_act_dispatch_t dispatch;
    sky_act_respond_t response;
    sky_act_change_result_t change_result;
} sky_decision_t;

typedef struct sky_waiter sky_waiter_t;
typedef struct sky_waiters sky_waiters_t;

sky_waiters_t *SkyWaiters_Create(void);
/** No waiter may still be registered. */
void SkyWaiters_Free(sky_waiters_t *waiters);

/** Registers a waiter under a random id. The low four bits of the id are 0:
 *  a request's attempts get ids of their own by adding the attempt's number.
 *  @return NULL if out of memory. */
sky_waiter_t *SkyWaiters_Register(sky_waiters_t *waiters);
/** Removes and frees a waiter. */
void SkyWaiters_Unregister(sky_waiters_t *waiters, sky_waiter_t *waiter);

/** Wakes the waiter @p id with a decision, which replaces one that it has not
 *  read yet. @return false if no waiter has this id. */
bool SkyWaiters_Deliver(sky_waiters_t *waiters, uint64_t id,
                        const sky_decision_t *decision);

/** @return number of registered waiters. */
uint32_t SkyWaiters_Count(const sky_waiters_t *waiters);

uint64_t SkyWaiter_Id(const sky_waiter_t *waiter);
/** Waits up to @p wait_ms for the next decision.
 *  @return SKY_DECISION_NONE if none was delivered in time. */
sky_decision_t SkyWaiter_WaitForDecision(sky_waiter_t *waiter,
                                         uint32_t wait_ms);

#ifdef __cplusplus
}
#endif
#endif
