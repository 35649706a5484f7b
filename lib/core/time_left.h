/**
 * @file time_left.h
 * @brief Time until a moment that may have passed. Reads no clock.
 */
#ifndef SKY_CORE_TIME_LEFT_H
#define SKY_CORE_TIME_LEFT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** @return milliseconds until @p at_ms; 0: it has passed. */
static inline uint64_t
SkyTime_LeftMs(uint64_t at_ms, uint64_t now_ms)
{
    return at_ms > now_ms ? at_ms - now_ms : 0;
}

/** @return the same, at most UINT32_MAX. */
static inline uint32_t
SkyTime_LeftMs32(uint64_t at_ms, uint64_t now_ms)
{
    uint64_t left_ms = SkyTime_LeftMs(at_ms, now_ms);
    return left_ms < UINT32_MAX ? (uint32_t)left_ms : UINT32_MAX;
}

/** @return the moment @p wait_ms from now, at most UINT64_MAX. */
static inline uint64_t
SkyTime_AfterMs(uint64_t now_ms, uint64_t wait_ms)
{
    return wait_ms < UINT64_MAX - now_ms ? now_ms + wait_ms : UINT64_MAX;
}

#ifdef __cplusplus
}
#endif
#endif
