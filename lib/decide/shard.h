/**
 * @file shard.h
 * @brief The owner of a shard: grants permits, loads and evicts adapters.
 *
 * A shard is a group of targets with one owner host at a time. The owner
 * grants permits; entry hosts dispatch requests directly to the targets and
 * return the permits. Only the owner orders loads and evictions, so it knows
 * of every permit in use when it evicts an adapter.
 */
#ifndef SKY_DECIDE_SHARD_H
#define SKY_DECIDE_SHARD_H

#include "decide/members.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** How adapters are placed; the baseline is kept for comparison. */
typedef enum {
    SKY_POLICY_BASELINE, /**< load on demand, least loaded target, LRU slot */
    SKY_POLICY_DEMAND_AWARE, /**< by waiting requests, popularity, openings */
} sky_policy_t;

typedef struct {
    sky_policy_t policy;
    uint32_t batch_weight;        /**< 0: few load stalls; 100: full batches */
    uint32_t disabled_mechanisms; /**< sky_disable_flag_t; for tests only */
    uint32_t transit_max;         /**< max concurrent loads of this shard */
    uint64_t initial_load_us; /**< initial estimate of the time of one load */
    uint64_t report_interval_us; /**< interval between reports of a target */
    uint64_t starvation_us; /**< adapters that wait longer are loaded first */
    uint64_t quarantine_us; /**< time a crashing fingerprint is refused */
    bool preload_for_openings; /**< load adapters ahead of openings */
    bool refill_free_slots;    /**< load popular adapters into free slots */
} sky_shard_options_t;

/** An adapter to be loaded ahead of an opening; times on the host's clock. */
typedef struct {
    sky_adapter_id_t adapter;
    uint32_t pool; /**< hash of the pool's name */
    double weight; /**< relative to other adapters */
    uint64_t from_us;
    uint64_t until_us;
} sky_preload_t;

/** Counters of a shard. */
typedef struct {
    uint64_t loads;
    uint64_t loads_ahead;
    uint64_t load_failures;
    uint64_t evictions;
    uint64_t grants;
    uint64_t refusals;
    uint64_t crashes;
    uint64_t quarantined;
    uint64_t takeovers;
    uint64_t takeover_wait_us; /**< of the last takeover */
} sky_shard_stats_t;

typedef struct sky_shard sky_shard_t;

/** @param targets all targets of the deployment; the shard owns @p first to
 *         @p first + @p count - 1. They outlive the shard. */
sky_shard_t *SkyShard_Create(const sky_shard_options_t *options,
                             uint32_t index, const sky_target_info_t *targets,
                             uint32_t first, uint32_t count,
                             sky_members_t *members);
void SkyShard_Free(sky_shard_t *shard);

/** Applies a new view of the members: begins a takeover, goes on as owner, or
 *  releases the ownership. */
void SkyShard_ApplyView(sky_shard_t *shard, uint64_t now_us,
                        sky_actions_t *out);

/** Handles SKY_MSG_ACQUIRE, SKY_MSG_PERMIT_RELEASE, SKY_MSG_PERMIT_LIST and
 *  SKY_MSG_HANDOVER from @p in->from. */
void SkyShard_HandleMessage(sky_shard_t *shard, const sky_in_message_t *in,
                            uint64_t now_us, sky_actions_t *out);

void SkyShard_ApplyReport(sky_shard_t *shard, const sky_in_report_t *report,
                          uint64_t now_us, sky_actions_t *out);

void SkyShard_ApplyOrderResult(sky_shard_t *shard,
                               const sky_in_order_result_t *order_result,
                               uint64_t now_us, sky_actions_t *out);

/** Sets whether a target is leaving. A leaving target gets no requests. */
void SkyShard_SetLeaving(sky_shard_t *shard, uint32_t target, bool leaving);

/** Replaces the adapters to load ahead of openings. @p preloads is copied. */
void SkyShard_SetPreloads(sky_shard_t *shard, const sky_preload_t *preloads,
                          uint32_t count);

/** Applies an unconfirmed crash that a peer sent: its fingerprint does not run
 *  until the crash is confirmed or ruled out. */
void SkyShard_ApplyUnconfirmedCrash(sky_shard_t *shard,
                                    const sky_rec_crash_t *crash,
                                    uint64_t now_us);

/** Applies a record of a suspected or confirmed crash. */
void SkyShard_ApplyCrashRecord(sky_shard_t *shard, const sky_record_t *record,
                               uint64_t now_us);

void SkyShard_Tick(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out);

/** @return true if this host owns the shard and may grant permits. */
bool SkyShard_IsActive(const sky_shard_t *shard);
/** @return number of requests that wait for a permit. */
uint32_t SkyShard_WaitingCount(const sky_shard_t *shard);
/** @return true if this host may stop: no order and no handover is pending. */
bool SkyShard_CanStop(const sky_shard_t *shard);
const sky_shard_stats_t *SkyShard_GetStats(const sky_shard_t *shard);

/** State of one target, for the command `status`. */
typedef struct {
    uint32_t target;
    bool leaving;
    bool down;
    bool has_report;
    uint32_t permits;
    uint32_t resident_count;
    sky_adapter_id_t resident[SKY_ADAPTER_SLOTS_MAX];
} sky_target_status_t;

/** Writes the state of the @p nth target of the shard. */
void SkyShard_GetTargetStatus(const sky_shard_t *shard, uint32_t nth,
                              sky_target_status_t *status);
uint32_t SkyShard_TargetCount(const sky_shard_t *shard);

#ifdef __cplusplus
}
#endif
#endif
