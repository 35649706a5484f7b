/**
 * @file metrics.h
 * @brief Response counters and latency histograms of each workspace, in the
 *        Prometheus text format. Recording and reading are thread-safe.
 */
#ifndef SKY_CORE_METRICS_H
#define SKY_CORE_METRICS_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Upper bounds 1, 2, 4, ... 2^20 and +Inf. */
#define SKY_HISTOGRAM_BUCKET_COUNT 22

/** X(symbol, name, unit, help) */
#define SKY_HISTOGRAM_TABLE(X)                                                \
    X(SKY_HIST_LOAD_STALL, "load_stall", "ms", "wait for the adapter")        \
    X(SKY_HIST_QUEUE_WAIT, "queue_wait", "ms", "arrival to dispatch")         \
    X(SKY_HIST_FIRST_TOKEN, "first_token", "ms", "arrival to first token")    \
    X(SKY_HIST_TOTAL, "total", "ms", "arrival to end of answer")              \
    X(SKY_HIST_BATCH_FILL, "batch_fill", "percent", "fill at the grant")      \
    X(SKY_HIST_LIST_AGE, "list_age", "ms", "age of the target list at a send")

typedef enum {
#define X(symbol, name, unit, help) symbol,
    SKY_HISTOGRAM_TABLE(X)
#undef X
    SKY_HIST_COUNT
} sky_histogram_id_t;

typedef struct sky_metrics sky_metrics_t;

/** Bucket i counts the values above 2^(i-1) and up to 2^i units; the last one
 *  counts all larger values. Counts are not cumulative. */
typedef struct {
    uint64_t buckets[SKY_HISTOGRAM_BUCKET_COUNT];
    uint64_t count;
    uint64_t sum;
} sky_histogram_t;

sky_metrics_t *SkyMetrics_Create(void);
void SkyMetrics_Free(sky_metrics_t *metrics);

/** Adds a value, in the histogram's unit, to the workspace's histogram. */
void SkyMetrics_Observe(sky_metrics_t *metrics, const char *workspace,
                        sky_histogram_id_t id, uint64_t value);

/** Counts a final response of the workspace by its result code. */
void SkyMetrics_CountResponse(sky_metrics_t *metrics, const char *workspace,
                              const char *code);

/** Calls @p visit with the histogram @p id of each workspace, under the lock:
 *  @p visit must not call functions of this module. */
void SkyMetrics_ForEachWorkspace(
    sky_metrics_t *metrics, sky_histogram_id_t id,
    void (*visit)(const char *workspace, const sky_histogram_t *histogram,
                  void *context),
    void *context);

/** @return all series in the Prometheus text format, to be freed with free();
 *          NULL when out of memory. */
char *SkyMetrics_FormatPrometheus(sky_metrics_t *metrics);

/** @return the histogram's name in /metrics, without prefix and unit. */
const char *SkyMetrics_HistogramName(sky_histogram_id_t id);
/** @return "ms" or "percent". */
const char *SkyMetrics_HistogramUnit(sky_histogram_id_t id);

#ifdef __cplusplus
}
#endif
#endif
