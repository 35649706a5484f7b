/**
 * @file clock.h
 * @brief The monotonic clock and Unix time.
 *
 * lib/decide reads neither clock: its callers pass the time in, so that it can
 * run on simulated time.
 */
#ifndef SKY_CORE_CLOCK_H
#define SKY_CORE_CLOCK_H

#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

/** @return monotonic time in microseconds. */
uint64_t SkyClock_NowUs(void);
/** @return monotonic time in milliseconds. */
uint64_t SkyClock_NowMs(void);
/** @return milliseconds since boot that the machine was suspended; the
 *          monotonic clock does not count them. */
uint64_t SkyClock_SuspendedMs(void);
/** @return time since boot in milliseconds; unlike the monotonic clock it also
 *          runs while the machine is suspended. */
uint64_t SkyClock_BootMs(void);
/** @return Unix time in milliseconds. */
uint64_t SkyClock_WallMs(void);
/** @return the monotonic time @p wait_ms from now, as timed waits of pthreads
 *          take it. */
struct timespec SkyClock_DeadlineAfterMs(uint32_t wait_ms);

#ifdef __cplusplus
}
#endif
#endif
