/**
 * @file placer.h
 * @brief Decides for the owner of a target which adapters it loads and
 *        unloads.
 *
 * Load pattern: an opening on cold adapters, where many more adapters are
 * requested than the target has slots. One order is in progress at a time.
 * Each order carries the number of orders that the owner expects the target
 * to have accepted, so that the target rejects an order that arrives late. A
 * slot is always freed before another adapter is loaded into it.
 */
#ifndef SKY_DECIDE_PLACER_H
#define SKY_DECIDE_PLACER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_placer sky_placer_t;

typedef struct {
    uint32_t places;        /**< adapter slots of the target */
    uint32_t transit_most;  /**< loads in progress at once */
    uint32_t load_ms;       /**< initial estimate of a load's duration */
    uint32_t protect_ms;    /**< no eviction this soon after a request */
    uint32_t report_lag_ms; /**< age that a report may have */
    uint32_t queue_most;    /**< adapters that may wait for a slot */
} sky_placer_options_t;

/** State of one adapter at the target. */
typedef enum {
    SKY_PLACE_NONE,   /**< neither resident nor requested */
    SKY_PLACE_QUEUED, /**< waits for a slot */
    SKY_PLACE_COMING, /**< being loaded */
    SKY_PLACE_HELD,   /**< resident: requests can run */
    SKY_PLACE_GOING,  /**< unloaded when its running requests have ended */
} sky_adapter_state_t;

typedef enum {
    SKY_PLACER_WAIT,   /**< nothing to do before wake_ms */
    SKY_PLACER_REPORT, /**< read the target's report */
    SKY_PLACER_LOAD,
    SKY_PLACER_UNLOAD,
} sky_placer_step_t;

typedef struct {
    sky_placer_step_t step;
    uint64_t wake_ms; /**< with SKY_PLACER_WAIT; UINT64_MAX: on events only */
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    uint32_t version;         /**< 0: the newest */
    uint64_t expected_orders; /**< order count to send with the order */
    bool is_poll; /**< repeats an order in progress to see if it is done */
} sky_placer_action_t;

/** Result of an order that was sent to the target. */
typedef enum {
    SKY_ORDERED_ACCEPTED,
    SKY_ORDERED_HOLDS,      /**< the target is in the ordered state already */
    SKY_ORDERED_CONFLICT,   /**< the order count differs, or it is busy */
    SKY_ORDERED_REFUSED,    /**< will not be executed */
    SKY_ORDERED_UNANSWERED, /**< may be executed, now or later */
} sky_placer_answer_t;

typedef struct {
    const char *model;
    const char *adapter;
    uint32_t version; /**< minimum; 0: any */
    uint32_t urgency; /**< 0 is the most urgent */
    uint64_t due_ms;  /**< deadline: a load that ends later is of no use */
} sky_placer_want_t;

sky_result_t SkyPlacer_Create(const sky_placer_options_t *options,
                              sky_placer_t **placer);
void SkyPlacer_Free(sky_placer_t *placer);

/** Replaces the known state of the target by its own report. The caller must
 *  leave out reports from before the result of the last order. */
void SkyPlacer_TakeReport(sky_placer_t *placer,
                          const sky_target_report_t *report, uint64_t now_ms);
/** Marks the target's state as unknown, for example after its restart; no
 *  order is sent before the next report, which is read at @p now_ms at the
 *  earliest. */
void SkyPlacer_InvalidateState(sky_placer_t *placer, uint64_t now_ms);

/** Requests that an adapter is loaded. @return its state now; SKY_PLACE_NONE
 *  if it cannot be resident by the deadline. */
sky_adapter_state_t SkyPlacer_Want(sky_placer_t *placer,
                                   const sky_placer_want_t *request,
                                   uint64_t now_ms);
/** @return whether the load of another adapter could start now: a slot is free
 *  or can be freed, and no earlier request waits for it. */
bool SkyPlacer_CanStart(const sky_placer_t *placer, uint64_t now_ms);
/** @return whether a report of the target was applied and still holds. */
bool SkyPlacer_IsKnown(const sky_placer_t *placer);
/** @return the state of an adapter in @p version or a newer one; 0: any. */
sky_adapter_state_t SkyPlacer_StateOf(const sky_placer_t *placer,
                                      sky_adapter_key_t adapter,
                                      uint32_t version);
/** @return the resident version, 0 if none. */
uint32_t SkyPlacer_VersionOf(const sky_placer_t *placer,
                             sky_adapter_key_t adapter);
/** Lists the resident adapters, each with its fraction of all uses.
 *  @return number of entries written, @p max_count or fewer. */
uint32_t SkyPlacer_List(const sky_placer_t *placer, uint64_t now_ms,
                        sky_belief_t *list, uint32_t max_count);
/** Records that a host used an adapter @p count times since its last report
 *  and has @p running requests on it; @p host is any number that identifies
 *  the host. An adapter in use is not evicted: the target would accept no
 *  other order until the running requests have ended. */
void SkyPlacer_NoteUse(sky_placer_t *placer, sky_adapter_key_t adapter,
                       uint64_t host, uint32_t count, uint32_t running,
                       uint64_t now_ms);
/** A newer version was announced: it replaces a resident older one. */
void SkyPlacer_Announce(sky_placer_t *placer, sky_adapter_key_t adapter,
                        uint32_t version);
/** @return time after which a load that is refused now may be accepted. */
uint32_t SkyPlacer_RetryAfterMs(const sky_placer_t *placer);

/** Chooses the next action. The result of every action but SKY_PLACER_WAIT
 *  must be passed in before the next call. */
void SkyPlacer_Next(sky_placer_t *placer, uint64_t now_ms,
                    sky_placer_action_t *action);
/** Handles the result of the order that SkyPlacer_Next() returned. */
void SkyPlacer_Answered(sky_placer_t *placer, sky_placer_answer_t result,
                        uint64_t now_ms);
/** The target's report could not be read; it is read again later. */
void SkyPlacer_ReportFailed(sky_placer_t *placer, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
