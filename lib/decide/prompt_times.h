/**
 * @file prompt_times.h
 * @brief How long the engines of a service take to read a prompt, estimated
 *        from the times to first events.
 *
 * The time to a first event also holds waits that have nothing to do with the
 * prompt's length: the network, other prompts, the first steps. The estimate
 * is therefore taken from what longer prompts took beyond the fastest one, and
 * from the faster ones of them, which waited least. The module does no I/O.
 */
#ifndef SKY_DECIDE_PROMPT_TIMES_H
#define SKY_DECIDE_PROMPT_TIMES_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_PROMPT_SAMPLES_MAX 32 /**< the newest ones count */

typedef struct {
    uint32_t tokens;
    uint32_t first_event_ms; /**< since the request was sent */
} sky_prompt_sample_t;

/** Prompts of one service. Zero-initialised: none yet. */
typedef struct {
    sky_prompt_sample_t samples[SKY_PROMPT_SAMPLES_MAX]; /**< a ring */
    uint32_t recorded; /**< samples in all; also those that are replaced */
} sky_prompt_times_t;

/** Records the time to the first event of a request. */
void SkyPromptTimes_Record(sky_prompt_times_t *times,
                           const sky_prompt_sample_t *sample);

/** @return time to read a prompt of so many tokens, in ms; 0: not known yet.
 */
uint32_t SkyPromptTimes_EstimateMs(const sky_prompt_times_t *times,
                                   uint32_t tokens);

#ifdef __cplusplus
}
#endif
#endif
