/**
 * @file placement.h
 * @brief Has an adapter loaded at a target, through the target's owner.
 */
#ifndef SKY_EDGE_PLACEMENT_H
#define SKY_EDGE_PLACEMENT_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/fleet.h"
#include "edge/directory.h"
#include "edge/ownership.h"
#include "edge/host_calls.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_placement sky_placement_t;
typedef struct sky_placement_ask sky_placement_ask_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_client_t *client;
    sky_host_calls_t *peers;
} sky_placement_options_t;

sky_result_t SkyPlacement_Create(const sky_placement_options_t *options,
                                 sky_placement_t **placement);
void SkyPlacement_Free(sky_placement_t *placement);
/** Takes up targets that this host came to own, and lets others go. */
void SkyPlacement_Reconcile(sky_placement_t *placement);

typedef struct {
    sky_fleet_query_t query;
    uint32_t version; /**< at least; 0: any */
    uint32_t urgency; /**< 0 first */
    uint64_t due_ms;  /**< of no use after this time */
} sky_placement_wish_t;

typedef struct {
    bool placed;
    sky_adapter_key_t adapter;
    const char *target_id; /**< where the adapter is now */
    uint32_t version;
    uint32_t retry_after_ms; /**< if not placed */
    const char *reason;      /**< if not placed, for the log */
} sky_placement_result_t;

typedef void (*sky_placement_done_t)(void *context,
                                     const sky_placement_result_t *result);

/** Asks for an adapter. @p done follows once, from the loop.
 *  @return NULL if memory ran out; then no event follows. */
sky_placement_ask_t *SkyPlacement_Ask(sky_placement_t *placement,
                                      const sky_placement_wish_t *wish,
                                      sky_placement_done_t done,
                                      void *context);
/** Notes where an adapter was placed. @return that target, NULL if it was not
 *  placed or the target has left since. */
sky_fleet_target_t *
SkyPlacement_LearnPlaced(sky_placement_t *placement,
                         const sky_placement_result_t *result);
/** The answer is no longer wanted. */
void SkyPlacement_Cancel(sky_placement_ask_t *ask);

/** Has a target's owner say what it holds and how full it is, and keep
 *  @p adapter there for a moment. @p done follows once, from the loop, also if
 *  the owner does not answer in time. @return NULL: no owner to ask, or this
 *  host owns the target and all is known already; no event follows. */
sky_placement_ask_t *SkyPlacement_Confirm(sky_placement_t *placement,
                                          const sky_fleet_target_t *target,
                                          sky_adapter_key_t adapter,
                                          sky_placement_done_t done,
                                          void *context);

/** Asks for @p count further copies of an adapter whose targets fill up,
 * unless that was done a moment ago. */
void SkyPlacement_Copy(sky_placement_t *placement,
                       const sky_placement_wish_t *wish, uint32_t count);

/** A request begins, or ends, on an adapter at a target; owners are told now
 *  and then. */
void SkyPlacement_NoteBegin(sky_placement_t *placement,
                            const sky_fleet_target_t *target,
                            sky_adapter_key_t adapter);
void SkyPlacement_NoteEnd(sky_placement_t *placement,
                          const sky_fleet_target_t *target,
                          sky_adapter_key_t adapter);

#ifdef __cplusplus
}
#endif
#endif
