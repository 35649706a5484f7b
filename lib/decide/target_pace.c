#include "decide/target_pace.h"

#include <math.h>
#include <stdlib.h>

/** Samples count half after this time: a slow period lasts about 600 ms, and
 *  hosts report every 300 ms. */
#define HALF_LIFE_MS 400.0
/** A pace counts as 1 until there are about as many samples. */
#define PRIOR_SAMPLES 4.0
/** More samples weigh no more: else a busy target would be forgotten later
 *  than others after it has been slow. */
#define WEIGHT_MAX 256.0
/** A full batch's step takes about so much longer than that of one request. */
#define FULL_BATCH_COST 0.5
/** Means of targets that got no request meanwhile stay good for the median. */
#define MEDIAN_TTL_MS 30000
#define MEDIAN_TARGETS_MIN 3 /**< of two, either may be the slow one */
#define REPORT_TTL_MS 1500   /**< as of the owner's other reports */
#define SLOW_PACE 1.5        /**< logged above it */
#define USUAL_PACE 1.25      /**< and below it after that */
#define LOG_INTERVAL_MS 5000

static double
limit(double value, double min, double max)
{
    return value < min ? min : value > max ? max : value;
}

uint64_t
SkyTargetPace_NormalizeUs(uint64_t interval_us, double utilization)
{
    double batch = limit(utilization, 0.0, 1.0);
    return (uint64_t)((double)interval_us / (1.0 + FULL_BATCH_COST * batch));
}

static double
decayed_weight(const sky_pace_average_t *average, uint64_t now_ms)
{
    double age_ms = now_ms > average->updated_ms
                        ? (double)(now_ms - average->updated_ms)
                        : 0.0;
    return average->weight * exp2(-age_ms / HALF_LIFE_MS);
}

static void
add_sample(sky_pace_average_t *average, const sky_pace_sample_t *sample,
           uint64_t now_ms)
{
    double mean_us = (double)sample->sum_us / sample->count;
    double old_mean_us =
        average->weight > 0.0 ? average->sum_us / average->weight : 0.0;
    double old_weight =
        limit(decayed_weight(average, now_ms), 0.0, WEIGHT_MAX);
    average->weight = old_weight + sample->count;
    average->sum_us = old_weight * old_mean_us + sample->count * mean_us;
    average->updated_ms = now_ms;
}

static bool
is_valid(const sky_pace_sample_t *sample)
{
    return sample->count > 0 &&
           sample->sum_us / sample->count <= SKY_PACE_SAMPLE_MAX_US;
}

void
SkyTargetPace_Record(sky_target_pace_t *pace, const sky_pace_sample_t *sample,
                     uint64_t now_ms)
{
    if (is_valid(sample)) {
        add_sample(&pace->own, sample, now_ms);
        pace->unreported.count += sample->count;
        pace->unreported.sum_us += sample->sum_us;
    }
}

sky_pace_sample_t
SkyTargetPace_TakeUnreported(sky_target_pace_t *pace)
{
    sky_pace_sample_t sample = pace->unreported;
    pace->unreported = (sky_pace_sample_t){0};
    return sample;
}

void
SkyTargetPace_Merge(sky_target_pace_t *pace, const sky_pace_sample_t *sample,
                    uint64_t now_ms)
{
    if (is_valid(sample)) {
        add_sample(&pace->merged, sample, now_ms);
    }
}

void
SkyTargetPace_RecordReport(sky_target_pace_t *pace, double reported,
                           uint64_t now_ms)
{
    if (reported > 0.0) {
        pace->reported = limit(reported, SKY_PACE_MIN, SKY_PACE_MAX);
        pace->reported_ms = now_ms;
    }
}

static const sky_pace_average_t *
choose_average(const sky_target_pace_t *pace)
{
    return pace->merged.updated_ms >= pace->own.updated_ms &&
                   pace->merged.weight > 0.0
               ? &pace->merged
               : &pace->own;
}

double
SkyTargetPace_GetMeanUs(const sky_target_pace_t *pace, uint64_t now_ms)
{
    const sky_pace_average_t *average = choose_average(pace);
    return average->weight > 0.0 &&
                   now_ms < average->updated_ms + MEDIAN_TTL_MS
               ? average->sum_us / average->weight
               : 0.0;
}

static int
compare_means(const void *one, const void *other)
{
    double difference = *(const double *)one - *(const double *)other;
    return difference < 0.0 ? -1 : difference > 0.0;
}

double
SkyTargetPace_FindMedianUs(double *means_us, uint32_t count)
{
    if (count < MEDIAN_TARGETS_MIN) {
        return 0.0;
    }
    qsort(means_us, count, sizeof *means_us, compare_means);
    return means_us[count / 2];
}

double
SkyTargetPace_Measure(const sky_target_pace_t *pace, uint64_t now_ms)
{
    const sky_pace_average_t *average = choose_average(pace);
    if (average->weight <= 0.0 || pace->median_us <= 0.0) {
        return 1.0;
    }
    double weight = decayed_weight(average, now_ms);
    double relative = average->sum_us / average->weight / pace->median_us;
    return limit((weight * relative + PRIOR_SAMPLES) /
                     (weight + PRIOR_SAMPLES),
                 SKY_PACE_MIN, SKY_PACE_MAX);
}

double
SkyTargetPace_Get(const sky_target_pace_t *pace, uint64_t now_ms)
{
    return pace->reported > 0.0 && now_ms < pace->reported_ms + REPORT_TTL_MS
               ? pace->reported
               : SkyTargetPace_Measure(pace, now_ms);
}

bool
SkyTargetPace_NeedsLogLine(sky_target_pace_t *pace, uint64_t now_ms)
{
    double measured = SkyTargetPace_Measure(pace, now_ms);
    bool is_slow = measured > (pace->is_logged_slow ? USUAL_PACE : SLOW_PACE);
    if (is_slow == pace->is_logged_slow ||
        (pace->logged_ms > 0 && now_ms < pace->logged_ms + LOG_INTERVAL_MS)) {
        return false;
    }
    pace->is_logged_slow = is_slow;
    pace->logged_ms = now_ms;
    return true;
}
