/** @file stats.h @brief Percentiles of measured values. */
#ifndef BENCH_STATS_H
#define BENCH_STATS_H

#include <stdint.h>

/** Sorts values in place, ascending. */
void Stats_Sort(double *values, uint32_t count);
/** @return the value below which @p share of the sorted values lie; 0 if
 *          there are none. */
double Stats_Percentile(const double *sorted, uint32_t count, double share);

#endif
