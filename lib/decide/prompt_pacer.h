/**
 * @file prompt_pacer.h
 * @brief When a prompt may be sent to a target, so that the streams that run
 *        there keep the interval between their events.
 *
 * An engine reads prompts between the steps of the streams that run on it.
 * Prompts that arrive together, often by way of several hosts, delay the next
 * events of all these streams by the time that it takes to read them. The
 * owner of a target therefore keeps an account of the prompts on their way to
 * it, and spreads them: within any time as long as the interval that streams
 * must keep, most of it may go to prompts, not all.
 *
 * The module does no I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_PROMPT_PACER_H
#define SKY_DECIDE_PROMPT_PACER_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Prompts that a target can get within an interval; more are counted as one.
 */
#define SKY_PACED_PROMPTS_MAX 32

typedef struct {
    uint64_t send_ms; /**< when the prompt is sent */
    uint32_t read_ms; /**< time that the target takes to read it */
} sky_paced_prompt_t;

/** Account of one target. Zero-initialised: no prompt is on its way. */
typedef struct {
    sky_paced_prompt_t prompts[SKY_PACED_PROMPTS_MAX];
    uint32_t count;
    double recent_read_ms; /**< decayed sum of all prompts up to updated_ms */
    uint64_t updated_ms;
} sky_prompt_pacer_t;

typedef struct {
    uint32_t read_ms;     /**< time that the target takes to read the prompt */
    uint32_t interval_ms; /**< objective between the events of its streams */
    uint32_t wait_max_ms; /**< the request can wait so long */
} sky_prompt_turn_t;

/** Adds a prompt to the account.
 *  @return how long it has to wait before it is sent, at most wait_max_ms:
 *          until there is room for it, else until the least is read */
uint32_t SkyPromptPacer_TakeTurn(sky_prompt_pacer_t *pacer,
                                 const sky_prompt_turn_t *turn,
                                 uint64_t now_ms);

/** @return part of the time that the target has been reading prompts lately,
 *          0 to 1. */
double SkyPromptPacer_GetLoad(const sky_prompt_pacer_t *pacer,
                              uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
