#include "decide/crash_trials.h"

/** Length of a turn: all hosts know by then what became of its request. */
#define TURN_MS 1000
/** The same after a second wave of crashes, which the first trial may have
 *  caused. */
#define SECOND_WAVE_TURN_MS 12000
#define US_PER_MS 1000

/* Crashes at about the same time are one wave: counts those that follow no
 * other one closely. */
static uint32_t
count_waves(const sky_trial_crashes_t *crashes)
{
    uint32_t waves = 0;
    for (uint32_t i = 0; i < crashes->count; i++) {
        uint64_t time_us = crashes->times_us[i];
        bool follows = false;
        for (uint32_t j = 0; j < crashes->count; j++) {
            uint64_t other_us = crashes->times_us[j];
            bool is_earlier =
                other_us < time_us || (other_us == time_us && j < i);
            follows = follows ||
                      (is_earlier &&
                       time_us - other_us <= SKY_CRASH_WAVE_MS * US_PER_MS);
        }
        waves += !follows;
    }
    return waves;
}

sky_trial_turn_t
SkyCrashTrials_GetTurn(const sky_trial_crashes_t *crashes, uint64_t now_ms)
{
    sky_trial_turn_t turn = {.fingerprint = crashes->fingerprint};
    uint32_t waves = count_waves(crashes);
    if (!crashes->was_answered || waves > SKY_CRASH_TRIAL_WAVES_MAX) {
        return turn;
    }
    uint64_t last_ms = 0;
    for (uint32_t i = 0; i < crashes->count; i++) {
        uint64_t time_ms = crashes->times_us[i] / US_PER_MS;
        last_ms = time_ms > last_ms ? time_ms : last_ms;
    }
    uint64_t turn_ms = waves > 1 ? SECOND_WAVE_TURN_MS : TURN_MS;
    turn.number = now_ms > last_ms ? (now_ms - last_ms) / turn_ms : 0;
    turn.next_ms = last_ms + (turn.number + 1) * turn_ms;
    turn.begun_ms = turn.number > 0 ? last_ms + turn.number * turn_ms : 0;
    return turn;
}

bool
SkyCrashTrials_IsUsed(const sky_crash_trials_t *trials,
                      const sky_trial_turn_t *turn)
{
    for (uint32_t i = 0; i < SKY_CRASH_TRIALS_MAX; i++) {
        const sky_crash_trial_t *used = &trials->used[i];
        if (used->begun_ms >= turn->begun_ms &&
            used->fingerprint == turn->fingerprint) {
            return true;
        }
    }
    return false;
}

void
SkyCrashTrials_Use(sky_crash_trials_t *trials, uint64_t fingerprint,
                   uint64_t now_ms)
{
    trials->used[trials->next] = (sky_crash_trial_t){fingerprint, now_ms};
    trials->next = (trials->next + 1) % SKY_CRASH_TRIALS_MAX;
}

void
SkyCrashTrials_RecordAnswer(sky_crash_trials_t *trials, uint64_t fingerprint)
{
    for (uint32_t i = 0; i < SKY_CRASH_TRIALS_MAX; i++) {
        if (trials->used[i].fingerprint == fingerprint) {
            trials->used[i] = (sky_crash_trial_t){0};
        }
    }
}
