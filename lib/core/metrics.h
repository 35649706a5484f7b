/**
 * @file metrics.h
 * @brief Counters and histograms by workspace and class, as Prometheus text.
 */
#ifndef SKY_CORE_METRICS_H
#define SKY_CORE_METRICS_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_BUCKETS 22 /**< bounds 1, 2, 4 ... and "more" */

/** X(symbol, name, unit, help) */
#define SKY_HISTOGRAM_TABLE(X)                                                \
    X(SKY_HIST_LOAD_STALL, "load_stall", "ms", "wait for the adapter")        \
    X(SKY_HIST_QUEUE_WAIT, "queue_wait", "ms", "arrival to dispatch")         \
    X(SKY_HIST_FIRST_TOKEN, "first_token", "ms", "arrival to first token")    \
    X(SKY_HIST_TOTAL, "total", "ms", "arrival to end of answer")              \
    X(SKY_HIST_BATCH_FILL, "batch_fill", "percent", "fill at the grant")

typedef enum {
#define X(symbol, name, unit, help) symbol,
    SKY_HISTOGRAM_TABLE(X)
#undef X
    SKY_HIST_COUNT
} sky_histogram_id_t;

typedef struct sky_metrics sky_metrics_t;

/** Histogram of one series. Bucket i counts values up to 2^i units. */
typedef struct {
    uint64_t buckets[SKY_BUCKETS];
    uint64_t count;
    uint64_t sum;
} sky_histogram_t;

sky_metrics_t *SkyMetrics_Create(void);
void SkyMetrics_Free(sky_metrics_t *metrics);

/** Adds a value, in the histogram's unit, to a workspace's histogram. */
void SkyMetrics_Observe(sky_metrics_t *metrics, const char *workspace,
                        sky_histogram_id_t id, uint64_t value);

/** Counts a final answer of a workspace by its result code. */
void SkyMetrics_CountAnswer(sky_metrics_t *metrics, const char *workspace,
                            const char *code);

/** Calls @p visit for each workspace with its histogram @p id. */
void SkyMetrics_ForEach(sky_metrics_t *metrics, sky_histogram_id_t id,
                        void (*visit)(const char *workspace,
                                      const sky_histogram_t *histogram,
                                      void *context),
                        void *context);

/** @return all series as Prometheus text; free() it. NULL: out of memory. */
char *SkyMetrics_Text(sky_metrics_t *metrics);

/** @return name of a histogram, as in /metrics without its prefix. */
const char *SkyMetrics_HistogramName(sky_histogram_id_t id);
/** @return its unit. */
const char *SkyMetrics_HistogramUnit(sky_histogram_id_t id);

#ifdef __cplusplus
}
#endif
#endif
