/**
 * @file target_pace.h
 * @brief How slow a target is, relative to the median of its service.
 *
 * Load pattern: one target in four works at half the speed of the others, and
 * some work slowly for half a second at a time. Requests in flight do not tell
 * a slow target from a busy one.
 *
 * Each host samples the responses that pass through it and reports the samples
 * to the target's owner, which merges them. Averages decay, so that a target
 * that was slow for a moment is not avoided for long; one without samples
 * counts as 1. The module does no I/O; times are milliseconds of the caller's
 * clock.
 */
#ifndef SKY_DECIDE_TARGET_PACE_H
#define SKY_DECIDE_TARGET_PACE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Limits of a pace: one wrong value must not empty or flood a target. */
#define SKY_PACE_MIN 0.25
#define SKY_PACE_MAX 8.0
/** Longer samples are malformed: no interval of a working target is. */
#define SKY_PACE_SAMPLE_MAX_US 60000000u

/** Measured times of pieces of work: intervals between events of a stream, or
 *  durations of a plain service's responses. */
typedef struct {
    uint32_t count;
    uint64_t sum_us;
} sky_pace_sample_t;

/** Mean of the newest samples. Zero-initialised: none yet. */
typedef struct {
    double weight; /**< samples, decayed */
    double sum_us;
    uint64_t updated_ms;
} sky_pace_average_t;

/** What a host knows of the pace of one target. Zero-initialised: nothing. */
typedef struct {
    sky_pace_sample_t unreported; /**< since the last report to the owner */
    sky_pace_average_t own;       /**< samples of this host */
    sky_pace_average_t merged;    /**< of all hosts; at the target's owner */
    double median_us;             /**< of its service; 0: not known */
    double reported;              /**< by the owner; 0: never */
    uint64_t reported_ms;
    bool is_logged_slow; /**< the last line in the log says that it is slow */
    uint64_t logged_ms;
} sky_target_pace_t;

/** Makes the time of an engine's step independent of its batch.
 *  @param utilization of the batch at that time
 *  @return time that the step would take with an empty batch */
uint64_t SkyTargetPace_NormalizeUs(uint64_t interval_us, double utilization);

/** Adds samples of this host. */
void SkyTargetPace_Record(sky_target_pace_t *pace,
                          const sky_pace_sample_t *sample, uint64_t now_ms);

/** @return the samples to report to the owner; they are cleared. */
sky_pace_sample_t SkyTargetPace_TakeUnreported(sky_target_pace_t *pace);

/** Adds samples of any host, at the target's owner. */
void SkyTargetPace_Merge(sky_target_pace_t *pace,
                         const sky_pace_sample_t *sample, uint64_t now_ms);

/** Records the pace that the target's owner reports; one that is not positive
 *  is ignored. */
void SkyTargetPace_RecordReport(sky_target_pace_t *pace, double reported,
                                uint64_t now_ms);

/** @return mean time of the target's work for the median of its service, in
 *          us; 0: not known, or too old. */
double SkyTargetPace_GetMeanUs(const sky_target_pace_t *pace, uint64_t now_ms);

/** @return median of the means, which are reordered; 0: there are too few to
 *          tell which target is slow. */
double SkyTargetPace_FindMedianUs(double *means_us, uint32_t count);

/** @return pace by this host's samples, or by those of all hosts where it is
 *          the target's owner; 1 without any. */
double SkyTargetPace_Measure(const sky_target_pace_t *pace, uint64_t now_ms);

/** @return pace to rank the target by: the owner's if that is recent, else
 *          that by this host's samples. */
double SkyTargetPace_Get(const sky_target_pace_t *pace, uint64_t now_ms);

/** @return whether the log is to say that the target became slow, or is no
 *          longer; each at most once in some seconds. */
bool SkyTargetPace_NeedsLogLine(sky_target_pace_t *pace, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
