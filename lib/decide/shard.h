/**
 * @file shard.h
 * @brief The owner of a shard: who runs where, what is loaded and evicted.
 *
 * A shard is a group of targets with one owner host at a time. The owner
 * grants permits; entry hosts dispatch directly and return the permits. The
 * owner alone orders loads and evictions, so it knows every permit in use.
 */
#ifndef SKY_DECIDE_SHARD_H
#define SKY_DECIDE_SHARD_H

#include "decide/members.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Ways to place adapters; the baseline stays for comparison. */
typedef enum {
    SKY_POLICY_BASELINE, /**< LRU slots, least loaded, load on demand */
    SKY_POLICY_CROWD,    /**< the policy of this project */
} sky_policy_t;

typedef struct {
    sky_policy_t policy;
    uint32_t batch_weight;  /**< 0: load stalls count; 100: batch efficiency */
    uint32_t off;           /**< sky_off_t, for proofs only */
    uint32_t transit_max;   /**< loads of this shard at once */
    uint64_t load_us;       /**< first estimate of one load */
    uint64_t report_us;     /**< time between reports of a target */
    uint64_t starvation_us; /**< a longer wait goes before popularity */
    uint64_t quarantine_us; /**< for how long a crashing request is refused */
    bool know_openings;     /**< load ahead of announced openings */
    bool refill;            /**< fill free slots by popularity */
} sky_shard_options_t;

/** An adapter wanted at an opening, on the host's clock. */
typedef struct {
    sky_adapter_id_t adapter;
    uint32_t pool; /**< hash of the pool's name */
    double weight;
    uint64_t from_us;
    uint64_t until_us;
} sky_wanted_t;

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

/** @param targets the deployment's targets; the shard uses @p first to
 *         @p first + @p count - 1. They outlive the shard. */
sky_shard_t *SkyShard_Create(const sky_shard_options_t *options,
                             uint32_t index, const sky_target_info_t *targets,
                             uint32_t first, uint32_t count,
                             sky_members_t *members);
void SkyShard_Free(sky_shard_t *shard);

/** The view of members has changed: take over, go on, or let go. */
void SkyShard_ViewChanged(sky_shard_t *shard, uint64_t now_us,
                          sky_actions_t *out);

/** ACQUIRE, DONE, INFLIGHT and HANDOVER from @p in->from. */
void SkyShard_Message(sky_shard_t *shard, const sky_in_message_t *in,
                      uint64_t now_us, sky_actions_t *out);

void SkyShard_Report(sky_shard_t *shard, const sky_in_report_t *report,
                     uint64_t now_us, sky_actions_t *out);

void SkyShard_OrderDone(sky_shard_t *shard, const sky_in_order_done_t *done,
                        uint64_t now_us, sky_actions_t *out);

/** Marks a target as leaving or live. */
void SkyShard_SetLeaving(sky_shard_t *shard, uint32_t target, bool leaving);

/** Replaces what is wanted for openings. @p wanted is copied. */
void SkyShard_SetWanted(sky_shard_t *shard, const sky_wanted_t *wanted,
                        uint32_t count);

/** Holds a fingerprint back that another host has its doubts about. */
void SkyShard_Hold(sky_shard_t *shard, const sky_rec_crash_t *crash,
                   uint64_t now_us);

/** Applies a SUSPECT or CRASH record. */
void SkyShard_ApplyCrash(sky_shard_t *shard, const sky_record_t *record,
                         uint64_t now_us);

void SkyShard_Tick(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out);

/** @return true if this host owns the shard and may grant permits. */
bool SkyShard_IsActive(const sky_shard_t *shard);
/** @return requests that wait for a permit. */
uint32_t SkyShard_WaitingCount(const sky_shard_t *shard);
/** @return true if a planned stop may go on: no order is under way. */
bool SkyShard_IsQuiet(const sky_shard_t *shard);
const sky_shard_stats_t *SkyShard_Stats(const sky_shard_t *shard);

/** State of one target, for `status`. */
typedef struct {
    uint32_t target;
    bool leaving;
    bool down;
    bool reported;
    uint32_t permits;
    uint32_t resident_count;
    sky_adapter_id_t resident[SKY_TARGET_SLOTS_MAX];
} sky_target_status_t;

/** Describes the @p nth target of the shard. */
void SkyShard_Describe(const sky_shard_t *shard, uint32_t nth,
                       sky_target_status_t *status);
uint32_t SkyShard_TargetCount(const sky_shard_t *shard);

#ifdef __cplusplus
}
#endif
#endif
