/**
 * @file attempts.h
 * @brief Which targets one request was sent to, and may be sent to next.
 *
 * A route bounds how many targets may run a request. One that says it did not
 * run it, or that could not be reached, is not counted: a full or restarted
 * target then does not keep the request from the others. No input or output.
 */
#ifndef SKY_DECIDE_ATTEMPTS_H
#define SKY_DECIDE_ATTEMPTS_H

#include <stdint.h>

#include "decide/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_ATTEMPTS_MOST 8 /**< targets remembered of one request */

/** Targets by the hash of their id. Zero-initialised: not sent yet. */
typedef struct {
    uint64_t sent[SKY_ATTEMPTS_MOST]; /**< may have run it */
    uint32_t runs[SKY_ATTEMPTS_MOST]; /**< how often, each of them */
    uint32_t sent_count;
    uint64_t failed[SKY_ATTEMPTS_MOST]; /**< are not to get it again */
    uint32_t failed_count;
} sky_attempts_t;

/** The request is sent to a target. */
void SkyAttempts_NoteSent(sky_attempts_t *attempts, uint64_t target);
/** The target said that it did not run it, or never got it. */
void SkyAttempts_NoteNotRun(sky_attempts_t *attempts, uint64_t target);
/** The target is not to get it again. */
void SkyAttempts_NoteFailed(sky_attempts_t *attempts, uint64_t target);

/** Bounds a query to the targets that may get the request next.
 *  @param targets_max targets that may run it, by its route. The query refers
 *  to @p attempts. */
void SkyAttempts_Bound(const sky_attempts_t *attempts, uint32_t targets_max,
                       sky_fleet_query_t *query);

#ifdef __cplusplus
}
#endif
#endif
