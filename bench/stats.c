#include "bench/stats.h"

#include <stdlib.h>

static int
compare_values(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

void
Stats_Sort(double *values, uint32_t count)
{
    qsort(values, count, sizeof *values, compare_values);
}

double
Stats_Percentile(const double *sorted, uint32_t count, double fraction)
{
    if (count == 0) {
        return 0;
    }
    uint32_t at = (uint32_t)(fraction * count);
    return sorted[at < count ? at : count - 1];
}
