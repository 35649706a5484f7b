/**
 * @file crash_trials.h
 * @brief When a request of a quarantined fingerprint may be let through, to
 * see whether it is sound; used by crash_watch.c.
 *
 * Time since the last crash is divided into turns; in each, the host whose
 * turn it is lets one request through, and the next one when that was
 * answered. A fingerprint that was never answered gets no turns, nor does one
 * with more than SKY_CRASH_TRIAL_WAVES_MAX waves of crashes, which bounds the
 * targets that trials may cost. The module does no I/O; times are those of the
 * caller's clock.
 */
#ifndef SKY_DECIDE_CRASH_TRIALS_H
#define SKY_DECIDE_CRASH_TRIALS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/suspects.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Losses within this time have one cause, as of a machine or a link. Those
 *  that other hosts tell are known some 250 ms later. */
#define SKY_CRASH_WAVE_MS 500
#define SKY_CRASH_TRIAL_WAVES_MAX 2
#define SKY_CRASH_TRIALS_MAX 64

/** A turn that was used. */
typedef struct {
    uint64_t fingerprint;
    uint64_t begun_ms; /**< 0: free entry */
} sky_crash_trial_t;

/** Zero-initialised: no turn was used. */
typedef struct {
    sky_crash_trial_t used[SKY_CRASH_TRIALS_MAX];
    uint32_t next; /**< entry to use next, the oldest one */
} sky_crash_trials_t;

/** What is known of a quarantined fingerprint. */
typedef struct {
    uint64_t fingerprint;
    bool was_answered;
    uint64_t times_us[SKY_SUSPECT_CRASHES_MAX]; /**< of its crashes */
    uint32_t count;
} sky_trial_crashes_t;

typedef struct {
    uint64_t fingerprint;
    uint64_t begun_ms; /**< of the current turn; 0: none */
    uint64_t next_ms;  /**< begin of the next one; 0: never */
    uint64_t number;   /**< of the current one */
} sky_trial_turn_t;

sky_trial_turn_t SkyCrashTrials_GetTurn(const sky_trial_crashes_t *crashes,
                                        uint64_t now_ms);
bool SkyCrashTrials_IsUsed(const sky_crash_trials_t *trials,
                           const sky_trial_turn_t *turn);
void SkyCrashTrials_Use(sky_crash_trials_t *trials, uint64_t fingerprint,
                        uint64_t now_ms);
/** The turn is free again: the request that was let through was answered. */
void SkyCrashTrials_RecordAnswer(sky_crash_trials_t *trials,
                                 uint64_t fingerprint);

#ifdef __cplusplus
}
#endif
#endif
