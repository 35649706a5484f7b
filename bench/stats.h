/** @file stats.h @brief Percentiles of measured values. */
#ifndef BENCH_STATS_H
#define BENCH_STATS_H

#include <stdint.h>

/** Sorts values in place, ascending. */
void Stats_Sort(double *values, uint32_t count);
/**
 * @param fraction  the percentile, from 0 to 1
 * @return the value below which that fraction of the sorted values lies; 0 if
 *         there are none
 */
double Stats_Percentile(const double *sorted, uint32_t count, double fraction);

#endif
