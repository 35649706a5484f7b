/**
 * @file placement_internal.h
 * @brief Types and functions shared by the source files of placement.
 *
 * placement.c handles placement requests, owned_target.c the targets that this
 * host owns, placement_burst.c bursts of requests for one adapter, and
 * load_report.c the load reports between hosts and the owners' reports that
 * respond to them.
 */
#ifndef SKY_EDGE_PLACEMENT_INTERNAL_H
#define SKY_EDGE_PLACEMENT_INTERNAL_H

#include "decide/placer.h"
#include "decide/prompt_pacer.h"
#include "decide/reported_loads.h"
#include "edge/placement.h"

/** Targets that are tried in turn for an immediate load of a cold adapter. At
 *  the peak of a day with grown traffic, half of all targets have no adapter
 *  slot that could be freed. */
#define PREFERRED_TARGETS_MAX 5
/** Of these, targets that are then tried again, now with a place in the
 *  queue. A stream under way tries all of them: only those of its version
 *  serve it. */
#define QUEUE_TARGETS_MAX 2
#define ADAPTER_USES_MAX 256 /**< distinct uses between two reports */
#define REPLICA_WINDOWS_MAX 64
#define OWNER_TIMEOUT_MS 900 /**< of one owner; then the next is tried */

/** A target that this host owns. */
typedef struct sky_owned_target {
    sky_placement_t *placement;
    char id[SKY_TARGET_ID_BYTES];
    /** As in its list entry: tells incarnations apart. */
    uint64_t started_unix_ms;
    uint64_t id_hash;
    uint32_t shard;
    struct sockaddr_in address;
    char address_text[SKY_HOST_ADDRESS_BYTES];
    sky_placer_t *placer;
    sky_client_request_t *client_request; /**< that performs action; or NULL */
    sky_placer_action_t action;           /**< last one chosen by the placer */
    sky_client_exchange_t exchange;       /**< of client_request */
    uint32_t series_prefix;   /**< of its orders, see SkyClient_Send() */
    uint16_t response_status; /**< 0: none received */
    sky_buffer_t response_body;
    /** Another target, or another run of it, responds at the address; requests
     *  do not wait for its adapters until the list names it. */
    bool is_replaced;
    ev_timer timer; /**< timeout of client_request, else the next action */
    sky_reported_loads_t reported_loads; /**< of other hosts */
    /** Placement requests completed since the window began. Their load is not
     *  in the load reports yet. */
    uint32_t admitted_count;
    uint64_t admission_window_start_ms;
    sky_prompt_pacer_t prompt_pacer; /**< of the prompts of all hosts */
    struct sky_owned_target *prev;
    struct sky_owned_target *next;
} sky_owned_target_t;

/** A target to try for an adapter. */
typedef struct {
    char target_id[SKY_TARGET_ID_BYTES];
    bool can_queue; /**< the adapter may wait there for an adapter slot */
} sky_placement_candidate_t;

/** A placement request of this host, or of another with one candidate. */
struct sky_placement_request {
    sky_placement_t *placement;
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    sky_adapter_key_t key;
    uint32_t min_version; /**< 0: any */
    uint32_t urgency;
    bool is_under_way;
    uint64_t due_ms;
    sky_placement_candidate_t
        candidates[PREFERRED_TARGETS_MAX + PREFERRED_TARGETS_MAX];
    uint32_t candidate_count;
    uint32_t next_candidate;
    const sky_placement_candidate_t *current; /**< NULL: none tried yet */
    sky_owned_target_t *waiting_at; /**< owned target it waits for, or NULL */
    /** When the adapter was first seen resident at waiting_at, while the
     *  request waits for a free batch slot; 0: not yet. */
    uint64_t resident_since_ms;
    bool is_extra_replica; /**< loaded ahead of need: no request waits */
    char replica_target_id[SKY_TARGET_ID_BYTES]; /**< replica to use, or "" */
    uint32_t replica_version;
    sky_host_call_t *owner_call;
    ev_timer timer;          /**< see on_request_timer() in placement.c */
    uint32_t retry_after_ms; /**< of the last rejection; 0: none given */
    const char *reason;      /**< why the last candidate failed */
    sky_placement_done_t done;
    void *context;
    sky_placement_request_t *prev;
    sky_placement_request_t *next;
};

/** This host's use of an adapter at a target. */
typedef struct {
    uint64_t target_hash; /**< of the target's id */
    sky_adapter_key_t adapter;
    uint32_t started_count; /**< requests started since the last report */
    uint32_t running_count;
    /** The adapter came into use or went out of use since the last report. */
    bool needs_report;
} sky_adapter_use_t;

/** Further replicas of an adapter that were requested within a window. */
typedef struct {
    sky_adapter_key_t adapter;
    uint64_t started_ms;
    uint32_t replica_count;
} sky_replica_window_t;

/** Loads that an earlier run of a target did not answer. */
typedef struct sky_released_target {
    uint64_t id_hash;
    sky_stray_loads_t strays;
    struct sky_released_target *prev;
    struct sky_released_target *next;
} sky_released_target_t;

struct sky_placement {
    sky_placement_options_t options;
    sky_owned_target_t *owned_targets;
    sky_released_target_t *released_targets; /**< with stray loads */
    sky_placement_request_t *requests;
    ev_timer reconcile_timer;
    ev_timer report_timer;
    ev_timer early_report_timer;
    sky_adapter_use_t uses[ADAPTER_USES_MAX];
    uint32_t use_count;
    sky_replica_window_t replica_windows[REPLICA_WINDOWS_MAX];
    uint32_t pending_replicas; /**< requested, without a result yet */
    uint32_t series_prefix;    /**< the last one that was used */
    /** Loads of model weights that were ordered within a window. */
    uint64_t model_load_window_start_ms;
    uint32_t model_loads_in_window;
};

sky_owned_target_t *SkyOwnedTarget_Find(const sky_placement_t *placement,
                                        const char *id);
/** Starts the placer's next action unless one is under way. */
void SkyOwnedTarget_StartNextAction(sky_owned_target_t *owned);
/** Frees the target; the requests that wait for it advance to their next
 *  candidate. */
void SkyOwnedTarget_Free(sky_owned_target_t *owned);
/** Forgets the released targets that carry out no stray load any more. */
void SkyPlacement_ForgetReleasedTargets(sky_placement_t *placement,
                                        uint64_t now_ms);
/** @return the fleet's target of the same id, NULL if there is none. */
sky_fleet_target_t *
SkyOwnedTarget_FindFleetTarget(const sky_owned_target_t *owned);
/** @return the service of a listed target that runs models, else NULL. */
const sky_service_t *
SkyPlacement_FindEngineService(const sky_placement_t *placement,
                               const sky_fleet_target_t *target);
void SkyPlacement_OnReconcileTimer(struct ev_loop *loop, ev_timer *watcher,
                                   int events);

/** Of the requests that wait for a target, completes those that can run there
 *  now and advances those whose adapter will not be loaded. */
void SkyPlacement_UpdateWaitingRequests(sky_owned_target_t *owned);
/** Completes a request whose adapter is resident at a target. */
void SkyPlacement_CompleteRequest(sky_placement_request_t *request,
                                  const char *target_id, uint32_t version);

/** A request has begun to wait for its adapter: requests further replicas if
 *  many wait for the same one. */
void SkyBurst_RequestReplicas(sky_placement_request_t *request);
/** Counts the request as admitted if it can run at its owned target, where its
 *  adapter is resident. @return false if it is to wait there for a free batch
 *  slot or for a further replica. */
bool SkyBurst_TryAdmit(sky_placement_request_t *request);
/** A further replica was loaded: assigns to it as many of the requests that
 *  wait for its adapter as its target has batch slots. */
void SkyBurst_ApplyReplica(sky_placement_t *placement,
                           const sky_placement_result_t *replica);
/** Advances all requests that wait for a target to their next candidate.
 *  @param reason reported if no candidate is left; not copied */
void SkyPlacement_AdvanceWaitingRequests(sky_owned_target_t *owned,
                                         const char *reason);

/** Applies what this host knows as the target's owner to its own fleet. */
void SkyLoadReport_ApplyLocally(sky_owned_target_t *owned);
/** @return requests of all hosts in flight on an owned target, as last
 *  reported. */
uint32_t SkyLoadReport_InFlightCount(const sky_owned_target_t *owned);
/** Applies the owner's reports in the response to a load report.
 *  @param context the placement
 *  @param body NULL if the call failed */
void SkyLoadReport_ApplyResponse(void *context, const json_t *body);
/** Adds to a load report that a prompt is to be sent to its first target. */
void SkyLoadReport_EncodePromptTurn(json_t *body,
                                    const sky_prompt_turn_t *turn);
/** @param body of the owner's response; NULL if the call failed
 *  @return how long the prompt has to wait, in ms */
uint32_t SkyLoadReport_DecodePromptWait(const json_t *body);
/** Handles the load report of another host; responds with the owner's report
 *  of each target in it that this host owns. */
void SkyLoadReport_HandleCall(void *context,
                              sky_server_request_t *server_request,
                              const json_t *body);
void SkyLoadReport_OnTimer(struct ev_loop *loop, ev_timer *watcher,
                           int events);
void SkyLoadReport_OnEarlyTimer(struct ev_loop *loop, ev_timer *watcher,
                                int events);

#endif
