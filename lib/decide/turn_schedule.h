/**
 * @file turn_schedule.h
 * @brief Allocates the capacity of a plain service that is short of it.
 *
 * Load pattern: many hosts send to a few targets with a few slots each, and
 * demand exceeds the slots for about two seconds at a time. Hosts that learn
 * only from rejections that a target is full send several times as much as it
 * takes.
 *
 * One host, the owner, gives each request a turn: a target and the time after
 * which to send the request there, or a refusal. The owner keeps for each
 * target the virtual time at which its slots are done with all turns given so
 * far; a turn adds the run time divided by the number of slots. It answers at
 * once and keeps no requests: urgency and fairness are limits on how far ahead
 * a request may be given a turn. The module does no I/O; times are
 * milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_TURN_SCHEDULE_H
#define SKY_DECIDE_TURN_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Targets of a service beyond this count get no turns. */
#define SKY_TURN_TARGETS_MAX 256

typedef struct sky_turn_schedule sky_turn_schedule_t;

typedef struct {
    uint64_t hash; /**< of its id */
    uint32_t slots;
} sky_turn_target_t;

typedef struct {
    uint32_t urgency;      /**< 0 is the most urgent */
    uint64_t group;        /**< requests that share capacity fairly with other
                                groups: a workspace, or a route */
    uint32_t objective_ms; /**< left until the latency objective; 0: missed */
    uint32_t deadline_ms;  /**< left until the deadline */
    const uint64_t *excluded; /**< hashes of targets to leave out */
    uint32_t excluded_count;
} sky_turn_request_t;

typedef enum {
    SKY_TURN_GIVEN,
    SKY_TURN_REFUSED,   /**< it could not begin in time */
    SKY_TURN_NO_TARGET, /**< no target is known that is not excluded */
} sky_turn_kind_t;

typedef struct {
    sky_turn_kind_t kind;
    uint64_t target;         /**< if given: hash */
    uint32_t wait_ms;        /**< if given: time until it is to be sent */
    uint32_t retry_after_ms; /**< if refused: until the backlog is drained */
} sky_turn_t;

/** What one host has seen of a target since its last report. */
typedef struct {
    uint64_t target; /**< hash */
    uint32_t count;  /**< responses */
    double mean_ms;  /**< from send to response */
    uint32_t rejected;
} sky_turn_report_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyTurnSchedule_Create(sky_turn_schedule_t **schedule);
void SkyTurnSchedule_Free(sky_turn_schedule_t *schedule);

/** Replaces the targets that get turns; what is known of those that stay is
 *  kept. */
void SkyTurnSchedule_SetTargets(sky_turn_schedule_t *schedule,
                                const sky_turn_target_t *targets,
                                uint32_t count, uint64_t now_ms);
void SkyTurnSchedule_ApplyReport(sky_turn_schedule_t *schedule,
                                 const sky_turn_report_t *report,
                                 uint64_t now_ms);
sky_turn_t SkyTurnSchedule_Take(sky_turn_schedule_t *schedule,
                                const sky_turn_request_t *request,
                                uint64_t now_ms);
/** @return whether the service was short of capacity a moment ago. */
bool SkyTurnSchedule_IsShort(const sky_turn_schedule_t *schedule,
                             uint64_t now_ms);
/** @return time until a request could begin at the first target. */
uint32_t SkyTurnSchedule_GetBacklogMs(const sky_turn_schedule_t *schedule,
                                      uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
