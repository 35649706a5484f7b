/**
 * @file oracle.h
 * @brief How short load stalls could be if all arrivals were known.
 */
#ifndef BENCH_ORACLE_H
#define BENCH_ORACLE_H

#include "bench/driver.h"

typedef struct {
    double loads_per_s;
    uint64_t load_us; /**< time of one load, with no other at the store */
    uint64_t counted_from_us; /**< requests that arrive earlier do not count */
    uint64_t announced_us; /**< from then on, adapters may be loaded ahead */
    uint32_t initial_adapters; /**< resident at the beginning */
} oracle_options_t;

/**
 * Replays the arrivals of a run for an oracle: it has adapter slots without
 * limit and never evicts. From `announced_us` to `counted_from_us` it loads
 * adapters ahead of their requests (most requested first), after that always
 * the adapter with most requests waiting. Only the store's rate limits it.
 * @param fraction  the percentile, from 0 to 1
 * @return the percentile of the load stalls in milliseconds
 */
double Oracle_StallPercentileMs(const driver_t *driver,
                                const oracle_options_t *options,
                                double fraction);

#endif
