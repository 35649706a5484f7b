#include "core/metrics.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define WORKSPACE_BYTES 64
#define CODE_BYTES 32

typedef struct {
    char code[CODE_BYTES];
    uint64_t count;
    UT_hash_handle hh;
} response_count_t;

typedef struct {
    char workspace[WORKSPACE_BYTES];
    sky_histogram_t histograms[SKY_HIST_COUNT];
    response_count_t *response_counts;
    UT_hash_handle hh;
} series_t;

struct sky_metrics {
    pthread_mutex_t lock;
    series_t *series;
};

static const char *const HISTOGRAM_NAMES[] = {
#define X(symbol, name, unit, help) name,
    SKY_HISTOGRAM_TABLE(X)
#undef X
};

static const char *const HISTOGRAM_HELP[] = {
#define X(symbol, name, unit, help) help,
    SKY_HISTOGRAM_TABLE(X)
#undef X
};

static const char *const HISTOGRAM_UNITS[] = {
#define X(symbol, name, unit, help) unit,
    SKY_HISTOGRAM_TABLE(X)
#undef X
};

sky_metrics_t *
SkyMetrics_Create(void)
{
    sky_metrics_t *metrics = calloc(1, sizeof *metrics);
    if (metrics != NULL) {
        pthread_mutex_init(&metrics->lock, NULL);
    }
    return metrics;
}

static void
free_series(series_t *series)
{
    response_count_t *response_count;
    response_count_t *next;
    HASH_ITER(hh, series->response_counts, response_count, next)
    {
        HASH_DEL(series->response_counts, response_count);
        free(response_count);
    }
    free(series);
}

void
SkyMetrics_Free(sky_metrics_t *metrics)
{
    if (metrics == NULL) {
        return;
    }
    series_t *series;
    series_t *next;
    HASH_ITER(hh, metrics->series, series, next)
    {
        HASH_DEL(metrics->series, series);
        free_series(series);
    }
    pthread_mutex_destroy(&metrics->lock);
    free(metrics);
}

static series_t *
find_or_add_series(sky_metrics_t *metrics, const char *workspace)
{
    series_t *series;
    HASH_FIND_STR(metrics->series, workspace, series);
    if (series == NULL) {
        series = calloc(1, sizeof *series);
        if (series == NULL) {
            return NULL;
        }
        snprintf(series->workspace, sizeof series->workspace, "%s", workspace);
        HASH_ADD_STR(metrics->series, workspace, series);
    }
    return series;
}

static uint32_t
bucket_index(uint64_t value)
{
    uint32_t bucket = 0;
    while (bucket + 1 < SKY_HISTOGRAM_BUCKET_COUNT &&
           value > (UINT64_C(1) << bucket)) {
        bucket++;
    }
    return bucket;
}

void
SkyMetrics_Observe(sky_metrics_t *metrics, const char *workspace,
                   sky_histogram_id_t id, uint64_t value)
{
    pthread_mutex_lock(&metrics->lock);
    series_t *series = find_or_add_series(metrics, workspace);
    if (series != NULL) {
        sky_histogram_t *histogram = &series->histograms[id];
        histogram->buckets[bucket_index(value)]++;
        histogram->count++;
        histogram->sum += value;
    }
    pthread_mutex_unlock(&metrics->lock);
}

static response_count_t *
find_or_add_response_count(series_t *series, const char *code)
{
    response_count_t *response_count;
    HASH_FIND_STR(series->response_counts, code, response_count);
    if (response_count == NULL) {
        response_count = calloc(1, sizeof *response_count);
        if (response_count == NULL) {
            return NULL;
        }
        snprintf(response_count->code, sizeof response_count->code, "%s",
                 code);
        HASH_ADD_STR(series->response_counts, code, response_count);
    }
    return response_count;
}

void
SkyMetrics_CountResponse(sky_metrics_t *metrics, const char *workspace,
                         const char *code)
{
    pthread_mutex_lock(&metrics->lock);
    series_t *series = find_or_add_series(metrics, workspace);
    response_count_t *response_count =
        series ? find_or_add_response_count(series, code) : NULL;
    if (response_count != NULL) {
        response_count->count++;
    }
    pthread_mutex_unlock(&metrics->lock);
}

void
SkyMetrics_ForEachWorkspace(sky_metrics_t *metrics, sky_histogram_id_t id,
                            void (*visit)(const char *,
                                          const sky_histogram_t *, void *),
                            void *context)
{
    const series_t *series;
    pthread_mutex_lock(&metrics->lock);
    for (series = metrics->series; series != NULL; series = series->hh.next) {
        visit(series->workspace, &series->histograms[id], context);
    }
    pthread_mutex_unlock(&metrics->lock);
}

const char *
SkyMetrics_HistogramUnit(sky_histogram_id_t id)
{
    return HISTOGRAM_UNITS[id];
}

const char *
SkyMetrics_HistogramName(sky_histogram_id_t id)
{
    return HISTOGRAM_NAMES[id];
}

static void
print_histogram(FILE *text, sky_histogram_id_t id, const series_t *series)
{
    const sky_histogram_t *histogram = &series->histograms[id];
    const char *name = HISTOGRAM_NAMES[id];
    const char *unit = HISTOGRAM_UNITS[id];
    uint64_t cumulative = 0;
    for (uint32_t i = 0; i + 1 < SKY_HISTOGRAM_BUCKET_COUNT; i++) {
        cumulative += histogram->buckets[i];
        fprintf(text, "sky_%s_%s_bucket{workspace=\"%s\",le=\"%llu\"} %llu\n",
                name, unit, series->workspace, 1ULL << i,
                (unsigned long long)cumulative);
    }
    fprintf(text, "sky_%s_%s_bucket{workspace=\"%s\",le=\"+Inf\"} %llu\n",
            name, unit, series->workspace,
            (unsigned long long)histogram->count);
    fprintf(text, "sky_%s_%s_sum{workspace=\"%s\"} %llu\n", name, unit,
            series->workspace, (unsigned long long)histogram->sum);
    fprintf(text, "sky_%s_%s_count{workspace=\"%s\"} %llu\n", name, unit,
            series->workspace, (unsigned long long)histogram->count);
}

static void
print_response_counts(FILE *text, const series_t *series)
{
    const response_count_t *response_count;
    for (response_count = series->response_counts; response_count != NULL;
         response_count = response_count->hh.next) {
        fprintf(text, "sky_answers_total{workspace=\"%s\",code=\"%s\"} %llu\n",
                series->workspace, response_count->code,
                (unsigned long long)response_count->count);
    }
}

static void
print_metrics(FILE *text, const sky_metrics_t *metrics)
{
    const series_t *series;
    for (int id = 0; id < SKY_HIST_COUNT; id++) {
        fprintf(text, "# HELP sky_%s_%s %s\n# TYPE sky_%s_%s histogram\n",
                HISTOGRAM_NAMES[id], HISTOGRAM_UNITS[id], HISTOGRAM_HELP[id],
                HISTOGRAM_NAMES[id], HISTOGRAM_UNITS[id]);
        for (series = metrics->series; series != NULL;
             series = series->hh.next) {
            print_histogram(text, (sky_histogram_id_t)id, series);
        }
    }
    fprintf(text, "# HELP sky_answers_total final answers by result code\n"
                  "# TYPE sky_answers_total counter\n");
    for (series = metrics->series; series != NULL; series = series->hh.next) {
        print_response_counts(text, series);
    }
}

char *
SkyMetrics_FormatPrometheus(sky_metrics_t *metrics)
{
    char *text = NULL;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    if (stream == NULL) {
        return NULL;
    }
    pthread_mutex_lock(&metrics->lock);
    print_metrics(stream, metrics);
    pthread_mutex_unlock(&metrics->lock);
    fclose(stream);
    return text;
}
