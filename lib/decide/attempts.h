/**
 * @file attempts.h
 * @brief The targets that one request was sent to, and those it may be sent to
 *        next.
 *
 * A route limits how many targets may run a request. A target that responds
 * that it did not run it, or that could not be reached, is not counted, so
 * that a full or restarted target does not keep the request from other
 * targets. The module does no I/O.
 */
#ifndef SKY_DECIDE_ATTEMPTS_H
#define SKY_DECIDE_ATTEMPTS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_ATTEMPTS_TARGETS_MAX 8     /**< targets remembered per request */
#define SKY_ATTEMPTS_CONNECTIONS_MAX 8 /**< sends remembered per request */

/** Targets by the hash of their id. Zero-initialised: not sent yet. */
typedef struct {
    /** Targets that may have run the request. */
    uint64_t may_have_run[SKY_ATTEMPTS_TARGETS_MAX];
    /** How often it was sent to each of them and may have run. */
    uint32_t send_counts[SKY_ATTEMPTS_TARGETS_MAX];
    uint32_t may_have_run_count;
    /** Targets that must not get the request again. */
    uint64_t failed[SKY_ATTEMPTS_TARGETS_MAX];
    uint32_t failed_count;
    /** Targets and addresses that it was sent to, by send. */
    struct {
        uint64_t target;
        uint64_t address;
    } connections[SKY_ATTEMPTS_CONNECTIONS_MAX];
    uint32_t connection_count; /**< also of those that are not remembered */
    /** Whether the last send may have arrived, so that the next one is a retry
     *  by the retry budget. */
    bool last_send_arrived;
} sky_attempts_t;

/** Records that the request is sent to a target. */
void SkyAttempts_RecordSent(sky_attempts_t *attempts, uint64_t target);
/** Records that a target did not run the request, or never received it. */
void SkyAttempts_RecordNotRun(sky_attempts_t *attempts, uint64_t target);
/** Records that nothing received the last send: the next one takes its place
 *  in the retry budget. */
void SkyAttempts_RecordUnsent(sky_attempts_t *attempts);
/** Records that a target must not get the request again. */
void SkyAttempts_RecordFailed(sky_attempts_t *attempts, uint64_t target);

/** Records to which target, and by a connection to which address, the request
 *  is sent. @param address equal for connections that are reused for one
 *  another */
void SkyAttempts_RecordConnection(sky_attempts_t *attempts, uint64_t target,
                                  uint64_t address);
/** @return whether the request must not be sent on a connection that was used
 *          before: an answer to an earlier send may still arrive on it, with
 *          the same id. True also if not all sends are remembered. */
bool SkyAttempts_NeedsNewConnection(const sky_attempts_t *attempts,
                                    uint64_t target, uint64_t address);

/** Restricts a query to the targets that may get the request next. The query
 *  refers to the memory of @p attempts.
 *  @param targets_max targets that may run the request, by its route. */
void SkyAttempts_RestrictQuery(const sky_attempts_t *attempts,
                               uint32_t targets_max, sky_fleet_query_t *query);

#ifdef __cplusplus
}
#endif
#endif
