/**
 * @file shard_state.h
 * @brief State of a shard's owner, shared by the shard_*.c files only.
 */
#ifndef SKY_DECIDE_SHARD_STATE_H
#define SKY_DECIDE_SHARD_STATE_H

#include <uthash.h>
#include <utlist.h>

#include "decide/shard.h"
#include "decide/suspects.h"

/** Consecutive failed loads after which the store counts as unreachable. */
#define CONSECUTIVE_LOAD_FAILURES_MAX 3

typedef enum {
    SLOT_FREE,
    SLOT_LOADING,
    SLOT_RESIDENT,
    SLOT_UNLOADING,
    SLOT_UNKNOWN, /**< response to an order lost; a report will show it */
} slot_state_t;

typedef struct {
    slot_state_t state;
    sky_adapter_id_t adapter;
    sky_adapter_id_t next_adapter; /**< to load once the unload is done */
    uint32_t permits;
    uint64_t state_changed_us;
    uint64_t last_used_us; /**< last grant, load order or adoption */
    /** 0, or the time until which a request may run here without a permit.
     * Only a report made later proves that the adapter is idle. */
    uint64_t possibly_busy_until_us;
    uint64_t ordered_us; /**< of the last order; also its token */
} slot_t;

typedef struct {
    uint32_t index;
    uint32_t pool; /**< hash of the pool's name */
    const sky_target_info_t *info;
    uint64_t epoch;
    uint64_t report_made_us; /**< earliest time the newest report was made */
    uint64_t report_requested_us; /**< 0: no report is requested */
    uint32_t consecutive_report_failures;
    uint32_t permits;
    uint32_t pending_orders;
    bool leaving;
    bool down;
    bool needs_report; /**< an exchange failed: no grants before the next
                          report */
    slot_t slots[SKY_ADAPTER_SLOTS_MAX];
} target_t;

struct shard_request;

typedef struct shard_adapter {
    sky_adapter_id_t id;
    uint32_t pool;
    double popularity; /**< count of requests that decays with time */
    uint64_t popularity_updated_us;
    uint32_t request_count; /**< requests that wait or run */
    uint32_t waiting_count;
    uint32_t urgency_sum;
    struct shard_request *waiting_requests; /**< in order of queue_rank */
    uint32_t replicas;         /**< slots that hold or load it, or will */
    uint32_t loading_replicas; /**< replicas that load, or will */
    uint32_t consecutive_failures;
    uint64_t retry_at_us;      /**< backoff: no load before this time */
    uint32_t preload_replicas; /**< planned for current openings */
    uint64_t preload_until_us;
    double preload_weight;
    struct shard_adapter *prev; /**< in the list of waiting adapters */
    struct shard_adapter *next;
    UT_hash_handle hh;
} adapter_t;

/** The targets where requests of one fingerprint run, with their number of
 *  permits. */
typedef struct {
    uint64_t fingerprint;
    uint32_t targets[SKY_CRASH_LIMIT];
    uint32_t permits[SKY_CRASH_LIMIT];
    UT_hash_handle hh;
} running_fingerprint_t;

typedef struct shard_request {
    sky_request_id_t id;
    sky_host_id_t entry_host;
    adapter_t *adapter;
    uint64_t fingerprint;
    uint64_t arrived_us;
    uint64_t deadline_us;
    uint64_t queue_rank; /**< position in the queue: the lowest is first */
    uint64_t granted_us;
    uint64_t epoch; /**< of the target, when granted */
    uint32_t urgency;
    uint32_t target;          /**< SKY_INDEX_NONE while it waits */
    uint32_t granted_round;   /**< collection round at the time of the grant */
    uint32_t listed_round;    /**< last round in which its host listed it */
    uint32_t adapter_wait_ms; /**< wait that was due to a load */
    uint32_t batch_utilization_percent; /**< utilization of the batch, when
                                           granted */
    bool arrived_cold; /**< adapter was not resident on arrival */
    struct shard_request *prev;
    struct shard_request *next;
    UT_hash_handle hh;
} request_t;

/** A member whose list of permits in use is requested. */
typedef struct permit_collection {
    sky_host_id_t host;
    uint32_t round;
    uint32_t received_count;
    uint64_t requested_us;
    bool blocks_eviction; /**< of a takeover: no eviction before its end */
    UT_hash_handle hh;
} permit_collection_t;

typedef enum {
    SHARD_NOT_OWNED,
    SHARD_TAKING_OVER,
    SHARD_ACTIVE,
} shard_phase_t;

struct sky_shard {
    sky_shard_options_t options;
    uint32_t index;
    uint32_t domain;
    uint32_t first_target;
    uint32_t target_count;
    sky_members_t *members;
    target_t *targets;
    shard_phase_t phase;
    sky_fence_t fence;          /**< of orders and grants */
    sky_fence_t takeover_fence; /**< view that made this host owner */
    sky_fence_t handover_fence;
    sky_host_id_t handover_from;
    sky_host_id_t handover_to; /**< notified once no order is pending */
    uint64_t became_owner_us;
    uint64_t activated_us;
    uint32_t collection_round;
    uint64_t last_reconciled_us;
    uint64_t last_sweep_us;
    permit_collection_t *collections;
    adapter_t *adapters;
    adapter_t *waiting_adapters;
    request_t *requests;
    running_fingerprint_t *running_fingerprints;
    sky_suspects_t *suspects;
    uint32_t waiting_count;
    uint32_t unplaced_adapters; /**< with waiting requests and no replica */
    uint32_t loads_in_progress;
    uint64_t average_load_us; /**< moving average of the time of one load */
    uint32_t consecutive_load_failures;
    uint64_t last_load_failure_us;
    uint64_t loads_paused_until_us;
    sky_preload_t *preloads;
    uint32_t preload_count;
    double preload_weight; /**< sum over all current preloads */
    bool preload_plan_is_stale;
    uint64_t preload_planned_us;
    sky_shard_stats_t stats;
};

/* shard_slots.c: targets, slots, orders and reports */
target_t *ShardSlots_FindTarget(sky_shard_t *shard, uint32_t index);
slot_t *ShardSlots_FindSlot(target_t *target, sky_adapter_id_t adapter);
bool ShardSlots_IsTargetUsable(const sky_shard_t *shard,
                               const target_t *target, uint32_t pool);
bool ShardSlots_CanEvict(const sky_shard_t *shard, const target_t *target,
                         const slot_t *slot, uint64_t now_us);
void ShardSlots_StartLoad(sky_shard_t *shard, target_t *target, slot_t *slot,
                          adapter_t *adapter, uint64_t now_us,
                          sky_actions_t *out);
/** Empties all slots of a target and forgets its loads. */
void ShardSlots_ClearTarget(sky_shard_t *shard, target_t *target);
void ShardSlots_RequestReports(sky_shard_t *shard, uint64_t now_us,
                               sky_actions_t *out);
void ShardSlots_MarkAllPossiblyBusy(sky_shard_t *shard, uint64_t until_us);
/** Adds @p change to the waiting requests of an adapter, and updates the count
 *  of adapters that wait without a replica. */
void ShardSlots_UpdateWaitingCount(sky_shard_t *shard, adapter_t *adapter,
                                   int change);
adapter_t *ShardSlots_FindOrAddAdapter(sky_shard_t *shard,
                                       sky_adapter_id_t id);

/* shard_queue.c: requests and permits */
void ShardQueue_HandleAcquire(sky_shard_t *shard, sky_host_id_t from,
                              const sky_msg_acquire_t *acquire,
                              uint64_t now_us, sky_actions_t *out);
void ShardQueue_HandlePermitRelease(sky_shard_t *shard,
                                    const sky_msg_permit_release_t *release,
                                    uint64_t now_us, sky_actions_t *out);
/** Adds a permit that an earlier owner granted and entry host @p from lists.
 */
void ShardQueue_AdoptPermit(sky_shard_t *shard, sky_host_id_t from,
                            const sky_permit_t *permit, uint64_t now_us);
/** Removes a request: it was cancelled while it waited, its entry host was
 *  removed, or that host no longer lists its permit. */
void ShardQueue_DropRequest(sky_shard_t *shard, request_t *request,
                            uint64_t now_us, sky_actions_t *out);
void ShardQueue_RecordCrash(sky_shard_t *shard, const sky_rec_crash_t *crash,
                            uint64_t now_us, sky_actions_t *out);
/** Records a crash for each request that was running on the target. */
void ShardQueue_RecordTargetCrash(sky_shard_t *shard, target_t *target,
                                  uint64_t now_us, sky_actions_t *out);
void ShardQueue_GrantForAdapter(sky_shard_t *shard, adapter_t *adapter,
                                uint64_t now_us, sky_actions_t *out);
void ShardQueue_GrantForTarget(sky_shard_t *shard, target_t *target,
                               uint64_t now_us, sky_actions_t *out);
/** @return permits for an adapter on a target, in whichever round they were
 *          granted. */
uint32_t ShardQueue_CountPermits(const sky_shard_t *shard,
                                 const target_t *target,
                                 sky_adapter_id_t adapter);
/** Refuses waiting requests that are quarantined, are past their deadline or
 *  will miss it, or need a load while the store is unreachable. */
void ShardQueue_RefuseUnservable(sky_shard_t *shard, uint64_t now_us,
                                 sky_actions_t *out);
void ShardQueue_Clear(sky_shard_t *shard);
void ShardQueue_RecordUse(adapter_t *adapter, uint64_t now_us);
double ShardQueue_Popularity(const adapter_t *adapter, uint64_t now_us);

/* shard_running.c: targets that run requests of one fingerprint */
void ShardRunning_Add(sky_shard_t *shard, const request_t *request);
void ShardRunning_Remove(sky_shard_t *shard, const request_t *request);
void ShardRunning_Clear(sky_shard_t *shard);
/** @return true if the request may run on the target now: requests of one
 *          fingerprint never run on more targets than they may crash. */
bool ShardRunning_CanRunOn(const sky_shard_t *shard, const request_t *request,
                           const target_t *target);

/* shard_policy.c: choices; changes state only by starting loads and by
 * planning preloads */
target_t *ShardPolicy_ChooseTarget(sky_shard_t *shard,
                                   const adapter_t *adapter,
                                   const request_t *request);
void ShardPolicy_StartLoads(sky_shard_t *shard, uint64_t now_us,
                            sky_actions_t *out);
uint64_t ShardPolicy_ExpectedWaitUs(sky_shard_t *shard,
                                    const adapter_t *adapter, uint64_t now_us);
void ShardPolicy_PlanPreloads(sky_shard_t *shard, uint64_t now_us);
void ShardPolicy_RefillFreeSlot(sky_shard_t *shard, uint64_t now_us,
                                sky_actions_t *out);
/** @return true if requests of the adapter can run without another load. */
bool ShardPolicy_HasUsableReplica(sky_shard_t *shard,
                                  const adapter_t *adapter);
/** @return true if the adapter is not expected to be resident by the deadline.
 */
bool ShardPolicy_WillMissDeadline(sky_shard_t *shard, const adapter_t *adapter,
                                  uint64_t deadline_us, uint64_t now_us);
bool ShardPolicy_IsStoreUnreachable(const sky_shard_t *shard, uint64_t now_us);

#endif
