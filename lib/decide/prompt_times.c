#include "decide/prompt_times.h"

#define LONG_PROMPTS_MIN 4 /**< before which nothing is known */
/** Part of the long prompts that hardly waited for anything else. */
#define FASTER_PART 0.25

void
SkyPromptTimes_Record(sky_prompt_times_t *times,
                      const sky_prompt_sample_t *sample)
{
    times->samples[times->recorded % SKY_PROMPT_SAMPLES_MAX] = *sample;
    times->recorded++;
}

static uint32_t
count_samples(const sky_prompt_times_t *times)
{
    return times->recorded < SKY_PROMPT_SAMPLES_MAX ? times->recorded
                                                    : SKY_PROMPT_SAMPLES_MAX;
}

static const sky_prompt_sample_t *
find_fastest(const sky_prompt_times_t *times)
{
    const sky_prompt_sample_t *fastest = &times->samples[0];
    for (uint32_t i = 1; i < count_samples(times); i++) {
        if (times->samples[i].first_event_ms < fastest->first_event_ms) {
            fastest = &times->samples[i];
        }
    }
    return fastest;
}

static double
mean_tokens(const sky_prompt_times_t *times)
{
    double sum = 0.0;
    uint32_t count = count_samples(times);
    for (uint32_t i = 0; i < count; i++) {
        sum += times->samples[i].tokens;
    }
    return sum / count;
}

/* Writes the times a token of all prompts longer than the mean, in ascending
 * order. Returns their number. */
static uint32_t
list_token_times(const sky_prompt_times_t *times, double *token_ms)
{
    const sky_prompt_sample_t *fastest = find_fastest(times);
    double mean = mean_tokens(times);
    uint32_t listed = 0;
    for (uint32_t i = 0; i < count_samples(times); i++) {
        const sky_prompt_sample_t *sample = &times->samples[i];
        if (sample->tokens <= mean || sample->tokens <= fastest->tokens) {
            continue;
        }
        double value =
            (double)(sample->first_event_ms - fastest->first_event_ms) /
            (double)(sample->tokens - fastest->tokens);
        uint32_t at = listed++;
        for (; at > 0 && token_ms[at - 1] > value; at--) {
            token_ms[at] = token_ms[at - 1];
        }
        token_ms[at] = value;
    }
    return listed;
}

uint32_t
SkyPromptTimes_EstimateMs(const sky_prompt_times_t *times, uint32_t tokens)
{
    double token_ms[SKY_PROMPT_SAMPLES_MAX];
    uint32_t listed =
        times->recorded > 0 ? list_token_times(times, token_ms) : 0;
    if (listed < LONG_PROMPTS_MIN) {
        return 0;
    }
    double ms = token_ms[(uint32_t)(FASTER_PART * (listed - 1))] * tokens;
    return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}
