#include "decide/prompt_pacer.h"

#include <math.h>

#include "core/time_left.h"

/** Part of an interval that may go to prompts. The rest is for the steps of
 *  the streams themselves. */
#define PROMPT_FRACTION 0.8
/** Time constant of the load: short, so that a new replica shows soon. */
#define LOAD_DECAY_MS 500.0

static void
remove_expired(sky_prompt_pacer_t *pacer, uint32_t interval_ms,
               uint64_t now_ms)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < pacer->count; i++) {
        if (pacer->prompts[i].send_ms + interval_ms > now_ms) {
            pacer->prompts[kept++] = pacer->prompts[i];
        }
    }
    pacer->count = kept;
}

/* Returns the time that goes to prompts sent within the interval that ends at
 * a time, inclusive. */
static uint32_t
read_time_until(const sky_prompt_pacer_t *pacer, uint64_t end_ms,
                uint32_t interval_ms)
{
    uint32_t total_ms = 0;
    for (uint32_t i = 0; i < pacer->count; i++) {
        const sky_paced_prompt_t *prompt = &pacer->prompts[i];
        if (prompt->send_ms <= end_ms &&
            prompt->send_ms + interval_ms > end_ms) {
            total_ms += prompt->read_ms;
        }
    }
    return total_ms;
}

/* Returns the most time that goes to other prompts within any interval that
 * holds a time. */
static uint32_t
busiest_read_time(const sky_prompt_pacer_t *pacer, uint64_t at_ms,
                  uint32_t interval_ms)
{
    uint32_t busiest_ms = read_time_until(pacer, at_ms, interval_ms);
    for (uint32_t i = 0; i < pacer->count; i++) {
        uint64_t end_ms = pacer->prompts[i].send_ms;
        if (end_ms > at_ms && end_ms < at_ms + interval_ms) {
            uint32_t read_ms = read_time_until(pacer, end_ms, interval_ms);
            busiest_ms = read_ms > busiest_ms ? read_ms : busiest_ms;
        }
    }
    return busiest_ms;
}

/* Returns the first time at which no more than the allowed part of any
 * interval goes to prompts, else the one at which the least does. A prompt
 * that takes longer by itself is sent when no other one is read. */
static uint64_t
find_send_time(const sky_prompt_pacer_t *pacer, const sky_prompt_turn_t *turn,
               uint64_t now_ms)
{
    uint32_t allowed_ms = (uint32_t)(PROMPT_FRACTION * turn->interval_ms);
    uint32_t others_max_ms =
        turn->read_ms < allowed_ms ? allowed_ms - turn->read_ms : 0;
    uint64_t best_ms = now_ms;
    uint32_t best_excess_ms = UINT32_MAX;
    for (uint32_t i = 0; i <= pacer->count; i++) {
        uint64_t at_ms =
            i == 0 ? now_ms
                   : pacer->prompts[i - 1].send_ms + turn->interval_ms;
        if (at_ms > now_ms + turn->wait_max_ms) {
            continue;
        }
        uint32_t others_ms =
            busiest_read_time(pacer, at_ms, turn->interval_ms);
        uint32_t excess_ms =
            others_ms > others_max_ms ? others_ms - others_max_ms : 0;
        if (excess_ms < best_excess_ms ||
            (excess_ms == best_excess_ms && at_ms < best_ms)) {
            best_ms = at_ms;
            best_excess_ms = excess_ms;
        }
    }
    return best_ms;
}

static void
add_prompt(sky_prompt_pacer_t *pacer, const sky_paced_prompt_t *prompt)
{
    if (pacer->count < SKY_PACED_PROMPTS_MAX) {
        pacer->prompts[pacer->count++] = *prompt;
        return;
    }
    sky_paced_prompt_t *newest = &pacer->prompts[pacer->count - 1];
    newest->read_ms += prompt->read_ms;
}

static double
decayed_read_ms(const sky_prompt_pacer_t *pacer, uint64_t now_ms)
{
    double age_ms =
        now_ms > pacer->updated_ms ? (double)(now_ms - pacer->updated_ms) : 0;
    return pacer->recent_read_ms * exp(-age_ms / LOAD_DECAY_MS);
}

double
SkyPromptPacer_GetLoad(const sky_prompt_pacer_t *pacer, uint64_t now_ms)
{
    double load = decayed_read_ms(pacer, now_ms) / LOAD_DECAY_MS;
    return load < 1.0 ? load : 1.0;
}

uint32_t
SkyPromptPacer_TakeTurn(sky_prompt_pacer_t *pacer,
                        const sky_prompt_turn_t *turn, uint64_t now_ms)
{
    remove_expired(pacer, turn->interval_ms, now_ms);
    uint64_t send_ms = find_send_time(pacer, turn, now_ms);
    sky_paced_prompt_t prompt = {send_ms, turn->read_ms};
    add_prompt(pacer, &prompt);
    pacer->recent_read_ms = decayed_read_ms(pacer, now_ms) + turn->read_ms;
    pacer->updated_ms = now_ms;
    return SkyTime_LeftMs32(send_ms, now_ms);
}
