/**
 * @file request_facts.h
 * @brief What a request states about itself, independent of its protocol.
 */
#ifndef SKY_DECIDE_REQUEST_FACTS_H
#define SKY_DECIDE_REQUEST_FACTS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/target_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Parts of a prompt that are used for routing; any further ones are ignored.
 */
#define SKY_PROMPT_PARTS_MAX 8

/** A part of a prompt that several requests may have in common. */
typedef struct {
    uint64_t id;
    uint32_t tokens;
} sky_prompt_part_t;

typedef struct {
    const char *id;       /**< one attempt of the caller; "": none given */
    uint32_t deadline_ms; /**< time the caller waits; UINT32_MAX: no limit */
    char model[SKY_ADAPTER_NAME_BYTES];   /**< "" for plain services */
    char adapter[SKY_ADAPTER_NAME_BYTES]; /**< "" for the base model */
    bool states_tokens; /**< it says how many tokens it has */
    uint32_t prompt_tokens;
    uint32_t output_tokens_max;
    uint32_t output_tokens_hint; /**< the caller's estimate, 0: none */
    sky_prompt_part_t parts[SKY_PROMPT_PARTS_MAX];
    uint32_t part_count;
    bool has_more_parts; /**< than those in the list */
    bool resumes;        /**< continues a stream after `resume_after` */
    /** Id of the request that began the stream: its own, or that of an earlier
     *  attempt if it resumes one; "": not known. */
    const char *stream_id;
    uint64_t resume_after; /**< number of the last event received */
} sky_request_facts_t;

/** Hashes by which a request is known again when its caller repeats it. Both
 *  are the same on all hosts. */
typedef struct {
    uint64_t request; /**< method, host, path without query, and body */
    /** Also what else a target sees of it: query and header fields, but for
     *  those that are new with each attempt. */
    uint64_t variant;
} sky_request_identity_t;

/** @return number of prompt parts, from the first one on, that other requests
 *          may share: the last part of a prompt is the request's own. */
static inline uint32_t
SkyRequestFacts_SharedPartCount(const sky_request_facts_t *facts)
{
    return facts->has_more_parts || facts->part_count == 0
               ? facts->part_count
               : facts->part_count - 1;
}

#ifdef __cplusplus
}
#endif
#endif
