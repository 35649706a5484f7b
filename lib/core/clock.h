/**
 * @file clock.h
 * @brief The two clocks of the serving program; lib/decide reads neither.
 */
#ifndef SKY_CORE_CLOCK_H
#define SKY_CORE_CLOCK_H

#include <stdint.h>
#include <time.h>

#ifdef __cplusplus
extern "C" {
#endif

/** @return microseconds of the monotonic clock. */
uint64_t SkyClock_NowUs(void);
/** @return milliseconds of the monotonic clock. */
uint64_t SkyClock_NowMs(void);
/** @return milliseconds for which the machine stood still since its start:
 *          the steady clock does not count them. */
uint64_t SkyClock_SuspendedMs(void);
/** @return milliseconds of Unix time. */
uint64_t SkyClock_WallMs(void);
/** @return monotonic time @p wait_ms from now, for timed waits. */
struct timespec SkyClock_In(uint32_t wait_ms);

#ifdef __cplusplus
}
#endif
#endif
