/**
 * @file oracle.h
 * @brief How short load stalls could be on a given input, with hindsight.
 */
#ifndef BENCH_ORACLE_H
#define BENCH_ORACLE_H

#include "bench/driver.h"

typedef struct {
    double loads_per_s;
    uint64_t load_us;  /**< time of one load with the store to itself */
    uint64_t from_us;  /**< requests before this are not counted */
    uint64_t known_us; /**< from here on an oracle may load ahead */
    uint32_t slots;    /**< adapters resident when it begins */
} oracle_options_t;

/**
 * Replays the arrivals of a run for an oracle that has slots without limit,
 * never evicts, may load ahead of arrivals from `known_us` on (most requested
 * first) and else loads the adapter with most requests waiting. Only the
 * store's rate holds it back.
 * @return the percentile of its load stalls in milliseconds.
 */
double Oracle_Percentile(const driver_t *driver,
                         const oracle_options_t *options, double share);

#endif
