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

/** Failed loads in a row after which the store counts as out. */
#define STORE_FAILURES_MAX 3

typedef enum {
    SLOT_FREE,
    SLOT_LOADING,
    SLOT_RESIDENT,
    SLOT_UNLOADING,
    SLOT_UNKNOWN, /**< an order's answer was lost; a report will tell */
} slot_state_t;

typedef struct {
    slot_state_t state;
    sky_adapter_id_t adapter;
    sky_adapter_id_t next; /**< to load once the unload is done */
    uint32_t permits;
    uint64_t changed_us; /**< last change of state */
    uint64_t used_us;    /**< last grant */
    uint64_t doubt_us;   /**< only a report made later proves it idle */
    uint64_t ordered_us;
} slot_t;

typedef struct {
    uint32_t index;
    uint32_t pool; /**< hash of the pool's name */
    const sky_target_info_t *info;
    uint64_t epoch;
    uint64_t made_us;        /**< the newest report was made after this */
    uint64_t asked_us;       /**< when the next report was asked for */
    uint32_t failed_reports; /**< in a row */
    uint32_t permits;
    uint32_t orders; /**< orders under way */
    bool leaving;
    bool down;
    bool unsure; /**< an exchange failed; no grants before the next report */
    slot_t slots[SKY_TARGET_SLOTS_MAX];
} target_t;

struct shard_request;

typedef struct shard_adapter {
    sky_adapter_id_t id;
    uint32_t pool;
    double heat; /**< decayed count of requests */
    uint64_t heat_us;
    uint32_t users; /**< requests that wait or run */
    uint32_t waiting_count;
    uint32_t urgency_sum;
    struct shard_request *waiting; /**< most urgent first */
    uint32_t copies;               /**< slots that hold or are loading it */
    uint32_t loading;              /**< of them loading */
    uint32_t failures;
    uint64_t retry_us; /**< no load before this, after a failure */
    uint32_t wanted_copies;
    uint64_t wanted_until_us;
    double wanted_weight;
    struct shard_adapter *prev; /**< adapters with waiting requests */
    struct shard_adapter *next;
    UT_hash_handle hh;
} adapter_t;

/** Where requests of one fingerprint are running. */
typedef struct {
    uint64_t fingerprint;
    uint32_t targets[SKY_CRASH_LIMIT];
    uint32_t permits[SKY_CRASH_LIMIT];
    UT_hash_handle hh;
} running_t;

typedef struct shard_request {
    sky_request_id_t id;
    sky_host_id_t entry;
    adapter_t *adapter;
    uint64_t fingerprint;
    uint64_t arrived_us;
    uint64_t deadline_us;
    uint64_t rank; /**< order in the queue: the lowest goes first */
    uint64_t granted_us;
    uint64_t epoch; /**< of the target, when granted */
    uint32_t urgency;
    uint32_t target; /**< SKY_NO_TARGET while it waits */
    uint32_t granted_round;
    uint32_t listed_round;
    uint32_t stall_ms;
    uint32_t fill_percent; /**< of the batch, when granted */
    bool missed;           /**< its adapter was not resident when it came */
    struct shard_request *prev;
    struct shard_request *next;
    UT_hash_handle hh;
} request_t;

/** A member whose permits are being collected. */
typedef struct collect {
    sky_host_id_t host;
    uint32_t round;
    uint32_t received;
    uint64_t sent_us;
    bool takeover; /**< evictions wait for it */
    UT_hash_handle hh;
} collect_t;

typedef enum {
    SHARD_IDLE,
    SHARD_WAITING,
    SHARD_ACTIVE,
} shard_phase_t;

struct sky_shard {
    sky_shard_options_t options;
    uint32_t index;
    uint32_t domain;
    uint32_t first;
    uint32_t count;
    sky_members_t *members;
    target_t *targets;
    shard_phase_t phase;
    sky_fence_t fence;          /**< of orders and grants */
    sky_fence_t takeover_fence; /**< view that brought the shard here */
    sky_fence_t handover_fence;
    sky_host_id_t handover_from;
    sky_host_id_t handover_to; /**< whom to tell once orders are done */
    uint64_t view_us;          /**< when ownership came to this host */
    uint64_t active_us;
    uint32_t round;
    uint64_t reconciled_us;
    uint64_t swept_us;
    collect_t *collects;
    adapter_t *adapters;
    adapter_t *queued; /**< adapters with waiting requests */
    request_t *requests;
    running_t *running;
    sky_suspects_t *suspects;
    uint32_t waiting_count;
    uint32_t pending_adapters; /**< with waiting requests and no copy */
    uint32_t in_transit;
    uint64_t load_us; /**< moving average of one load */
    uint32_t store_failures;
    uint64_t store_failed_us; /**< the last failure */
    uint64_t store_retry_us;
    sky_wanted_t *wanted;
    uint32_t wanted_count;
    double wanted_weight; /**< of all adapters wanted now */
    bool plan_due;        /**< the wanted copies are to be worked out again */
    uint64_t planned_us;
    sky_shard_stats_t stats;
};

/* shard_slots.c: targets, slots, orders and reports */
target_t *ShardSlots_Target(sky_shard_t *shard, uint32_t index);
slot_t *ShardSlots_Find(target_t *target, sky_adapter_id_t adapter);
bool ShardSlots_IsUsable(const sky_shard_t *shard, const target_t *target,
                         uint32_t pool);
bool ShardSlots_MayEvict(const sky_shard_t *shard, const target_t *target,
                         const slot_t *slot, uint64_t now_us);
void ShardSlots_Load(sky_shard_t *shard, target_t *target, slot_t *slot,
                     adapter_t *adapter, uint64_t now_us, sky_actions_t *out);
void ShardSlots_Clear(sky_shard_t *shard, target_t *target);
void ShardSlots_AskReports(sky_shard_t *shard, uint64_t now_us,
                           sky_actions_t *out);
void ShardSlots_DoubtAll(sky_shard_t *shard, uint64_t until_us);
/** Counts waiting requests of an adapter, and adapters that wait without a
 *  copy. */
void ShardSlots_NoteWaiting(sky_shard_t *shard, adapter_t *adapter,
                            int change);
adapter_t *ShardSlots_Adapter(sky_shard_t *shard, sky_adapter_id_t id);

/* shard_queue.c: requests and permits */
void ShardQueue_Acquire(sky_shard_t *shard, sky_host_id_t from,
                        const sky_msg_acquire_t *ask, uint64_t now_us,
                        sky_actions_t *out);
void ShardQueue_Done(sky_shard_t *shard, const sky_msg_done_t *done,
                     uint64_t now_us, sky_actions_t *out);
void ShardQueue_Adopt(sky_shard_t *shard, sky_host_id_t from,
                      const sky_permit_t *permit, uint64_t now_us);
void ShardQueue_Drop(sky_shard_t *shard, request_t *request, uint64_t now_us,
                     sky_actions_t *out);
void ShardQueue_CountCrash(sky_shard_t *shard, const sky_rec_crash_t *crash,
                           uint64_t now_us, sky_actions_t *out);
void ShardQueue_TargetLost(sky_shard_t *shard, target_t *target,
                           uint64_t now_us, sky_actions_t *out);
void ShardQueue_Serve(sky_shard_t *shard, adapter_t *adapter, uint64_t now_us,
                      sky_actions_t *out);
void ShardQueue_ServeTarget(sky_shard_t *shard, target_t *target,
                            uint64_t now_us, sky_actions_t *out);
/** @return permits for an adapter on a target, whatever their age. */
uint32_t ShardQueue_CountPermits(const sky_shard_t *shard,
                                 const target_t *target,
                                 sky_adapter_id_t adapter);
void ShardQueue_Expire(sky_shard_t *shard, uint64_t now_us,
                       sky_actions_t *out);
void ShardQueue_Clear(sky_shard_t *shard);
void ShardQueue_HeatTouch(adapter_t *adapter, uint64_t now_us);
double ShardQueue_Heat(const adapter_t *adapter, uint64_t now_us);

/* shard_running.c: copies of one request */
void ShardRunning_Add(sky_shard_t *shard, const request_t *request);
void ShardRunning_Remove(sky_shard_t *shard, const request_t *request);
void ShardRunning_Clear(sky_shard_t *shard);
/** @return true if the fingerprint may run on the target now: copies of one
 *          request never run on more targets than it may crash. */
bool ShardRunning_MayRunOn(const sky_shard_t *shard, const request_t *request,
                           const target_t *target);

/* shard_policy.c: choices only, no change of state but ordering loads */
target_t *ShardPolicy_ChooseTarget(sky_shard_t *shard,
                                   const adapter_t *adapter,
                                   const request_t *request);
void ShardPolicy_Pump(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out);
uint64_t ShardPolicy_ExpectedWait(sky_shard_t *shard, const adapter_t *adapter,
                                  uint64_t now_us);
void ShardPolicy_PlanWanted(sky_shard_t *shard, uint64_t now_us);
void ShardPolicy_Refill(sky_shard_t *shard, uint64_t now_us,
                        sky_actions_t *out);
/** @return true if a request of the adapter needs no load to be run. */
bool ShardPolicy_HasUsableCopy(sky_shard_t *shard, const adapter_t *adapter);
/** @return true if the adapter will not be there before the deadline. */
bool ShardPolicy_IsHopeless(sky_shard_t *shard, const adapter_t *adapter,
                            uint64_t deadline_us, uint64_t now_us);
bool ShardPolicy_StoreIsDown(const sky_shard_t *shard, uint64_t now_us);

#endif
