/**
 * @file placement.h
 * @brief Loads adapters onto targets, through the host that owns each target.
 *
 * A placement request tries the preferred targets of an adapter one after the
 * other. The owner of each, which may be this host, loads the adapter, queues
 * it or rejects it.
 */
#ifndef SKY_EDGE_PLACEMENT_H
#define SKY_EDGE_PLACEMENT_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/fleet.h"
#include "decide/prompt_pacer.h"
#include "edge/directory.h"
#include "edge/ownership.h"
#include "edge/host_calls.h"
#include "edge/reach_sharing.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_placement sky_placement_t;
typedef struct sky_placement_request sky_placement_request_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_client_t *client;
    sky_host_calls_t *host_calls;
    sky_reach_sharing_t *reach_sharing;
} sky_placement_options_t;

sky_result_t SkyPlacement_Create(const sky_placement_options_t *options,
                                 sky_placement_t **placement);
void SkyPlacement_Free(sky_placement_t *placement);
/** Adopts targets that this host has come to own and releases those that it
 *  owns no more. */
void SkyPlacement_Reconcile(sky_placement_t *placement);

typedef struct {
    sky_fleet_query_t query;
    uint32_t version;  /**< oldest acceptable; 0: any */
    uint32_t urgency;  /**< 0: most urgent */
    uint64_t due_ms;   /**< the request fails at this time */
    bool is_under_way; /**< as in sky_load_request_t */
} sky_placement_spec_t;

typedef struct {
    bool placed; /**< the adapter is resident at target_id */
    sky_adapter_key_t adapter;
    const char *target_id; /**< if placed, valid during the call */
    uint32_t version;
    uint32_t retry_after_ms; /**< if not placed */
    const char *reason;      /**< if not placed, for the log */
    uint32_t prompt_wait_ms; /**< of an owner's report: the prompt's turn */
} sky_placement_result_t;

typedef void (*sky_placement_done_t)(void *context,
                                     const sky_placement_result_t *result);

/** Requests that an adapter be loaded. @p done is called once, from the event
 *  loop. @return NULL if out of memory; @p done is not called then. */
sky_placement_request_t *SkyPlacement_Request(sky_placement_t *placement,
                                              const sky_placement_spec_t *spec,
                                              sky_placement_done_t done,
                                              void *context);
/** Records the residency that a result reports. @return the target, NULL if
 *  the adapter was not placed or the target has left since. */
sky_fleet_target_t *
SkyPlacement_ApplyResult(sky_placement_t *placement,
                         const sky_placement_result_t *result);
/** Frees the request; its callback is not called. */
void SkyPlacement_Cancel(sky_placement_request_t *request);

/** Requests a target's residents and load from its owner, which also protects
 *  @p adapter from eviction there for a moment.
 *  @param turn a prompt to be sent to the target, for which the owner is asked
 *         when it may be; NULL: none
 *  @param done called once, from the event loop, also if the owner does not
 *         respond in time
 *  @return NULL, and @p done is not called, if there is no owner to call, the
 *          call could not be made, or this host owns the target, whose state
 *          is applied at once. */
sky_placement_request_t *SkyPlacement_RequestOwnerReport(
    sky_placement_t *placement, const sky_fleet_target_t *target,
    sky_adapter_key_t adapter, const sky_prompt_turn_t *turn,
    sky_placement_done_t done, void *context);

/** Takes a turn for a prompt at a target that this host owns. @return how long
 *  the prompt has to wait, in ms; 0 also if this host does not own the target.
 */
uint32_t SkyPlacement_TakePromptTurn(sky_placement_t *placement,
                                     const sky_fleet_target_t *target,
                                     const sky_prompt_turn_t *turn);

/** Requests @p count further replicas of an adapter whose targets fill up,
 *  less those that were requested a moment ago. */
void SkyPlacement_RequestReplicas(sky_placement_t *placement,
                                  const sky_placement_spec_t *spec,
                                  uint32_t count);

/** Records that a request starts, or ends, on an adapter at a target; the
 *  target's owner gets this with the next load report. */
void SkyPlacement_RecordRequestStart(sky_placement_t *placement,
                                     const sky_fleet_target_t *target,
                                     sky_adapter_key_t adapter);
void SkyPlacement_RecordRequestEnd(sky_placement_t *placement,
                                   const sky_fleet_target_t *target,
                                   sky_adapter_key_t adapter);

#ifdef __cplusplus
}
#endif
#endif
