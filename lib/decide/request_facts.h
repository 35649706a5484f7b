/**
 * @file request_facts.h
 * @brief What a request says of itself, whatever front it came in by.
 */
#ifndef SKY_DECIDE_REQUEST_FACTS_H
#define SKY_DECIDE_REQUEST_FACTS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/target_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_PROMPT_PARTS_MAX                                                  \
    8 /**< longer lists count by their first parts                            \
       */

/** A part of a prompt that requests may share. */
typedef struct {
    uint64_t id;
    uint32_t tokens;
} sky_prompt_part_t;

typedef struct {
    const char *id;       /**< names one attempt of the caller; "" if none */
    uint32_t deadline_ms; /**< the caller waits so long; UINT32_MAX: no end */
    char model[SKY_ADAPTER_NAME_BYTES];   /**< "" for plain services */
    char adapter[SKY_ADAPTER_NAME_BYTES]; /**< "" for the model alone */
    uint32_t prompt_tokens;
    uint32_t output_tokens_max;
    uint32_t output_tokens_hint; /**< the caller's estimate, 0: none */
    sky_prompt_part_t parts[SKY_PROMPT_PARTS_MAX];
    uint32_t part_count;
    bool resumes;          /**< goes on after an event it has seen */
    uint64_t resume_after; /**< number of that event */
} sky_request_facts_t;

#ifdef __cplusplus
}
#endif
#endif
