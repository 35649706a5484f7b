/**
 * @file placer.h
 * @brief Which adapters one target holds: the decisions of its owner.
 *
 * Load pattern: an opening on cold adapters, where many more are asked for
 * than the target has places. One order is under way at a time; each names the
 * count of orders that the owner believes the target has accepted, so that a
 * late one cannot act on a state it was not meant for. A place is made free
 * before it is filled, never the other way round.
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
    uint32_t places;        /**< adapters that the target may hold */
    uint32_t transit_most;  /**< adapters on their way to it at once */
    uint32_t load_ms;       /**< first guess of a load's duration */
    uint32_t protect_ms;    /**< an adapter used so lately stays */
    uint32_t report_lag_ms; /**< a report may be this old */
    uint32_t queue_most;    /**< adapters that may wait for a place */
} sky_placer_options_t;

typedef enum {
    SKY_PLACE_NONE,   /**< neither there nor asked for */
    SKY_PLACE_QUEUED, /**< waits for a place */
    SKY_PLACE_COMING, /**< being loaded */
    SKY_PLACE_HELD,   /**< requests can run */
    SKY_PLACE_GOING,  /**< leaves when the requests on it have ended */
} sky_place_state_t;

typedef enum {
    SKY_PLACER_WAIT,   /**< nothing to do before wake_ms */
    SKY_PLACER_REPORT, /**< the target's state must be read */
    SKY_PLACER_LOAD,
    SKY_PLACER_UNLOAD,
} sky_placer_step_t;

typedef struct {
    sky_placer_step_t step;
    uint64_t wake_ms; /**< with SKY_PLACER_WAIT; UINT64_MAX: on events only */
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    uint32_t version;         /**< 0: the newest */
    uint64_t expected_orders; /**< to be named in the order */
    bool poll; /**< repeats an order under way, to learn whether it is done */
} sky_placer_action_t;

typedef enum {
    SKY_ORDERED_ACCEPTED,
    SKY_ORDERED_HOLDS,      /**< was so already */
    SKY_ORDERED_CONFLICT,   /**< the count of orders differs, or it is busy */
    SKY_ORDERED_REFUSED,    /**< will not be done */
    SKY_ORDERED_UNANSWERED, /**< may be done, now or later */
} sky_placer_answer_t;

typedef struct {
    const char *model;
    const char *adapter;
    uint32_t version; /**< at least; 0: any */
    uint32_t urgency; /**< 0 first */
    uint64_t due_ms;  /**< of no use later */
} sky_placer_want_t;

sky_result_t SkyPlacer_Create(const sky_placer_options_t *options,
                              sky_placer_t **placer);
void SkyPlacer_Free(sky_placer_t *placer);

/** Takes a target's own report of what it holds. Reports from before the last
 *  order was answered are to be left out by the caller. */
void SkyPlacer_TakeReport(sky_placer_t *placer,
                          const sky_target_report_t *report, uint64_t now_ms);
/** The target's state is not known any more, for example after a restart. */
void SkyPlacer_Forget(sky_placer_t *placer, uint64_t now_ms);

/** Asks for an adapter. @return its state now; SKY_PLACE_NONE if it cannot be
 *  there in time. */
sky_place_state_t SkyPlacer_Want(sky_placer_t *placer,
                                 const sky_placer_want_t *want,
                                 uint64_t now_ms);
/** @return whether a new want could be loaded now: a place is free, or one can
 *  be freed, that no other want waits for. */
bool SkyPlacer_CanStart(const sky_placer_t *placer, uint64_t now_ms);
/** @return whether the target's state was read and is current. */
bool SkyPlacer_IsKnown(const sky_placer_t *placer);
sky_place_state_t SkyPlacer_StateOf(const sky_placer_t *placer,
                                    sky_adapter_key_t adapter,
                                    uint32_t version);
/** @return version held, 0 if none. */
uint32_t SkyPlacer_VersionOf(const sky_placer_t *placer,
                             sky_adapter_key_t adapter);
/** Lists the adapters held, with their shares of all uses. @return how many
 *  were written. */
uint32_t SkyPlacer_List(const sky_placer_t *placer, uint64_t now_ms,
                        sky_belief_t *held, uint32_t most);
/** A host used an adapter @p count times since it told last, and has
 *  @p running requests on it; @p host is any number that names it. One in use
 * is not dropped: the target would take no other order until its requests have
 * ended. */
void SkyPlacer_NoteUse(sky_placer_t *placer, sky_adapter_key_t adapter,
                       uint64_t host, uint32_t count, uint32_t running,
                       uint64_t now_ms);
/** A newer version was announced: replaces it if it is held. */
void SkyPlacer_Announce(sky_placer_t *placer, sky_adapter_key_t adapter,
                        uint32_t version);
/** @return when an adapter that is refused now may find a place. */
uint32_t SkyPlacer_RetryAfterMs(const sky_placer_t *placer);

/** Chooses the next step. Each step but SKY_PLACER_WAIT is to be answered
 *  before the next one. */
void SkyPlacer_Next(sky_placer_t *placer, uint64_t now_ms,
                    sky_placer_action_t *action);
void SkyPlacer_Answered(sky_placer_t *placer, sky_placer_answer_t answer,
                        uint64_t now_ms);
/** A report that was asked for did not come. */
void SkyPlacer_ReportFailed(sky_placer_t *placer, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
