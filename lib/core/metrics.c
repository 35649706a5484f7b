#include "core/metrics.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define NAME_BYTES 64
#define CODE_BYTES 32

typedef struct {
    char code[CODE_BYTES];
    uint64_t count;
    UT_hash_handle hh;
} answer_t;

typedef struct {
    char workspace[NAME_BYTES];
    sky_histogram_t histograms[SKY_HIST_COUNT];
    answer_t *answers;
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
    answer_t *answer;
    answer_t *next;
    HASH_ITER(hh, series->answers, answer, next)
    {
        HASH_DEL(series->answers, answer);
        free(answer);
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
find_or_add(sky_metrics_t *metrics, const char *workspace)
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
bucket_of(uint64_t value)
{
    uint32_t bucket = 0;
    while (bucket + 1 < SKY_BUCKETS && value > (UINT64_C(1) << bucket)) {
        bucket++;
    }
    return bucket;
}

void
SkyMetrics_Observe(sky_metrics_t *metrics, const char *workspace,
                   sky_histogram_id_t id, uint64_t value)
{
    pthread_mutex_lock(&metrics->lock);
    series_t *series = find_or_add(metrics, workspace);
    if (series != NULL) {
        sky_histogram_t *histogram = &series->histograms[id];
        histogram->buckets[bucket_of(value)]++;
        histogram->count++;
        histogram->sum += value;
    }
    pthread_mutex_unlock(&metrics->lock);
}

static answer_t *
find_or_add_answer(series_t *series, const char *code)
{
    answer_t *answer;
    HASH_FIND_STR(series->answers, code, answer);
    if (answer == NULL) {
        answer = calloc(1, sizeof *answer);
        if (answer == NULL) {
            return NULL;
        }
        snprintf(answer->code, sizeof answer->code, "%s", code);
        HASH_ADD_STR(series->answers, code, answer);
    }
    return answer;
}

void
SkyMetrics_CountAnswer(sky_metrics_t *metrics, const char *workspace,
                       const char *code)
{
    pthread_mutex_lock(&metrics->lock);
    series_t *series = find_or_add(metrics, workspace);
    answer_t *answer = series ? find_or_add_answer(series, code) : NULL;
    if (answer != NULL) {
        answer->count++;
    }
    pthread_mutex_unlock(&metrics->lock);
}

void
SkyMetrics_ForEach(sky_metrics_t *metrics, sky_histogram_id_t id,
                   void (*visit)(const char *, const sky_histogram_t *,
                                 void *),
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
    for (uint32_t i = 0; i + 1 < SKY_BUCKETS; i++) {
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
print_answers(FILE *text, const series_t *series)
{
    const answer_t *answer;
    for (answer = series->answers; answer != NULL; answer = answer->hh.next) {
        fprintf(text, "sky_answers_total{workspace=\"%s\",code=\"%s\"} %llu\n",
                series->workspace, answer->code,
                (unsigned long long)answer->count);
    }
}

static void
print_all(FILE *text, const sky_metrics_t *metrics)
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
        print_answers(text, series);
    }
}

char *
SkyMetrics_Text(sky_metrics_t *metrics)
{
    char *text = NULL;
    size_t size = 0;
    FILE *stream = open_memstream(&text, &size);
    if (stream == NULL) {
        return NULL;
    }
    pthread_mutex_lock(&metrics->lock);
    print_all(stream, metrics);
    pthread_mutex_unlock(&metrics->lock);
    fclose(stream);
    return text;
}
