#include "core/clock.h"

#define US_PER_S 1000000
#define MS_PER_S 1000
#define US_PER_MS 1000
#define NS_PER_US 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

uint64_t
SkyClock_NowUs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}

uint64_t
SkyClock_WallMs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * MS_PER_S + (uint64_t)now.tv_nsec / NS_PER_MS;
}

struct timespec
SkyClock_DeadlineAfterMs(uint32_t wait_ms)
{
    struct timespec deadline;
    clock_gettime(CLOCK_MONOTONIC, &deadline);
    uint64_t ns = (uint64_t)deadline.tv_nsec + (uint64_t)wait_ms * NS_PER_MS;
    deadline.tv_sec += (time_t)(ns / NS_PER_S);
    deadline.tv_nsec = (long)(ns % NS_PER_S);
    return deadline;
}

uint64_t
SkyClock_NowMs(void)
{
    return SkyClock_NowUs() / US_PER_MS;
}

static uint64_t
read_boot_us(void)
{
    struct timespec since_boot;
    clock_gettime(CLOCK_BOOTTIME, &since_boot);
    return (uint64_t)since_boot.tv_sec * US_PER_S +
           (uint64_t)since_boot.tv_nsec / NS_PER_US;
}

uint64_t
SkyClock_BootMs(void)
{
    return read_boot_us() / US_PER_MS;
}

uint64_t
SkyClock_SuspendedMs(void)
{
    uint64_t boot_us = read_boot_us();
    uint64_t monotonic_us = SkyClock_NowUs();
    return boot_us > monotonic_us ? (boot_us - monotonic_us) / US_PER_MS : 0;
}
