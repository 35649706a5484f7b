/**
 * @file promise.h
 * @brief The statuses that tell a caller that its request did not run.
 */
#ifndef SKY_DECIDE_PROMISE_H
#define SKY_DECIDE_PROMISE_H

#include <stdbool.h>
#include <stdint.h>

/** @return whether a response with this status promises that the request did
 *          not run and never will: 408, 421, 429, 503. */
static inline bool
SkyPromise_IsMadeBy(uint16_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

#endif
