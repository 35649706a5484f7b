/**
 * @file shard_policy.c
 * @brief Choice of the target for a request, the next load, and evictions.
 */
#include "decide/shard_state.h"

#include <float.h>
#include <stdlib.h>

#define STARVING_SCORE 1e9        /* above every score by demand */
#define EXTRA_REPLICA_WEIGHT 0.1  /* of a second replica; the first has 1 */
#define PRELOAD_SLOT_FRACTION 0.9 /* of a pool's slots, for openings */
#define FIRST_REPLICA_SCORE 1e9   /* above every weight of an adapter */
#define REFILL_POPULARITY_MIN 2.0
/* The store counts as unreachable for so long after the last failed load. */
#define STORE_UNREACHABLE_US UINT64_C(5000000)
#define BATCH_WEIGHT_NEUTRAL 50.0
#define BURST_FULL 4.0 /* in average bursts: expected to fill a target */
/* Cost of loading an adapter on a target with a full batch, in units of
 * popularity. */
#define FULL_BATCH_COST 8.0
#define URGENCY_STEPS 10

bool
ShardPolicy_IsStoreUnreachable(const sky_shard_t *shard, uint64_t now_us)
{
    return shard->consecutive_load_failures >= CONSECUTIVE_LOAD_FAILURES_MAX &&
           now_us < shard->last_load_failure_us + STORE_UNREACHABLE_US;
}

static bool
can_serve_adapter(target_t *target, const adapter_t *adapter)
{
    if (target->info->slots == 0) {
        return true;
    }
    const slot_t *slot = ShardSlots_FindSlot(target, adapter->id);
    return slot != NULL && slot->state == SLOT_RESIDENT;
}

/**
 * The deployment's batch weight is the percentage of a batch that is filled
 * before the next target is used: 0 spreads requests over the targets, 100
 * fills one batch after the other.
 */
static bool
is_better_target(const sky_shard_t *shard, const target_t *candidate,
                 const target_t *best)
{
    uint32_t preferred_permits =
        shard->options.policy == SKY_POLICY_BASELINE
            ? 0
            : candidate->info->batch * shard->options.batch_weight / 100;
    if (best == NULL) {
        return true;
    }
    bool candidate_is_preferred = candidate->permits < preferred_permits;
    bool best_is_preferred = best->permits < preferred_permits;
    if (candidate_is_preferred != best_is_preferred) {
        return candidate_is_preferred;
    }
    return candidate_is_preferred ? candidate->permits > best->permits
                                  : candidate->permits < best->permits;
}

target_t *
ShardPolicy_ChooseTarget(sky_shard_t *shard, const adapter_t *adapter,
                         const request_t *request)
{
    target_t *best = NULL;
    for (uint32_t t = 0; t < shard->target_count; t++) {
        target_t *target = &shard->targets[t];
        if (target->permits >= target->info->batch ||
            !ShardSlots_IsTargetUsable(shard, target, adapter->pool) ||
            !can_serve_adapter(target, adapter) ||
            !ShardRunning_CanRunOn(shard, request, target)) {
            continue;
        }
        if (is_better_target(shard, target, best)) {
            best = target;
        }
    }
    return best;
}

/* ---- choice of a slot ---- */

static bool
is_reserved_for_opening(const adapter_t *adapter, uint64_t now_us)
{
    return adapter->preload_replicas > 0 &&
           now_us < adapter->preload_until_us &&
           adapter->replicas <= adapter->preload_replicas;
}

/** @return cost of evicting what the slot holds; -1: it is free; DBL_MAX: it
 *          must not be evicted. */
static double
eviction_cost(sky_shard_t *shard, const target_t *target, const slot_t *slot,
              uint64_t now_us)
{
    if (slot->state == SLOT_FREE) {
        return -1.0;
    }
    if (!ShardSlots_CanEvict(shard, target, slot, now_us)) {
        return DBL_MAX;
    }
    if (shard->options.policy == SKY_POLICY_BASELINE) {
        return (double)slot->last_used_us;
    }
    const adapter_t *adapter =
        ShardSlots_FindOrAddAdapter(shard, slot->adapter);
    if (adapter->waiting_count > 0 ||
        is_reserved_for_opening(adapter, now_us)) {
        return DBL_MAX;
    }
    return ShardQueue_Popularity(adapter, now_us) / adapter->replicas;
}

/** @return requests expected on a target during current openings, relative to
 *          the average target. */
static double
expected_burst(sky_shard_t *shard, const target_t *target, uint64_t now_us)
{
    double weight = 0;
    if (shard->preload_weight <= 0) {
        return 0;
    }
    for (uint32_t i = 0; i < target->info->slots; i++) {
        if (target->slots[i].state == SLOT_FREE) {
            continue;
        }
        const adapter_t *adapter =
            ShardSlots_FindOrAddAdapter(shard, target->slots[i].adapter);
        if (now_us < adapter->preload_until_us) {
            weight += adapter->preload_weight / adapter->replicas;
        }
    }
    return weight * shard->target_count / shard->preload_weight;
}

/** A busy target is avoided with a batch weight below 50, and preferred above
 *  that. */
static double
utilization_cost(sky_shard_t *shard, const target_t *target, uint64_t now_us)
{
    double utilization = (double)target->permits / target->info->batch;
    if (shard->options.policy == SKY_POLICY_BASELINE) {
        /* The least loaded target, then its LRU slot. */
        return utilization * DBL_MAX / 4;
    }
    double weight = (double)shard->options.batch_weight;
    double burst = expected_burst(shard, target, now_us) / BURST_FULL;
    double expected_utilization = utilization + (burst < 1.0 ? burst : 1.0);
    return FULL_BATCH_COST * expected_utilization *
           (BATCH_WEIGHT_NEUTRAL - weight) / BATCH_WEIGHT_NEUTRAL;
}

typedef struct {
    target_t *target;
    slot_t *slot;
    double cost;
} placement_t;

static void
update_best_placement(sky_shard_t *shard, target_t *target, uint64_t now_us,
                      placement_t *best)
{
    double target_cost = utilization_cost(shard, target, now_us);
    for (uint32_t i = 0; i < target->info->slots; i++) {
        slot_t *slot = &target->slots[i];
        double slot_cost = eviction_cost(shard, target, slot, now_us);
        if (slot_cost == DBL_MAX) {
            continue;
        }
        if (best->slot == NULL || slot_cost + target_cost < best->cost) {
            best->target = target;
            best->slot = slot;
            best->cost = slot_cost + target_cost;
        }
    }
}

static placement_t
choose_placement(sky_shard_t *shard, const adapter_t *adapter, uint64_t now_us)
{
    placement_t best = {NULL, NULL, DBL_MAX};
    for (uint32_t t = 0; t < shard->target_count; t++) {
        target_t *target = &shard->targets[t];
        if (ShardSlots_IsTargetUsable(shard, target, adapter->pool) &&
            target->info->slots > 0 &&
            ShardSlots_FindSlot(target, adapter->id) == NULL) {
            update_best_placement(shard, target, now_us, &best);
        }
    }
    return best;
}

static bool
start_load(sky_shard_t *shard, adapter_t *adapter, uint64_t now_us,
           sky_actions_t *out)
{
    placement_t placement = choose_placement(shard, adapter, now_us);
    if (placement.slot == NULL) {
        return false;
    }
    ShardSlots_StartLoad(shard, placement.target, placement.slot, adapter,
                         now_us, out);
    return true;
}

/* ---- choice of the next load ---- */

static bool
can_load(const adapter_t *adapter, uint64_t now_us)
{
    return adapter->loading_replicas == 0 && now_us >= adapter->retry_at_us &&
           adapter->id != adapter->pool;
}

/** A replica on a target that is leaving or down, or one that is being
 *  unloaded, is not usable. */
bool
ShardPolicy_HasUsableReplica(sky_shard_t *shard, const adapter_t *adapter)
{
    if (adapter->id == adapter->pool) {
        return true;
    }
    for (uint32_t t = 0; t < shard->target_count && adapter->replicas > 0;
         t++) {
        target_t *target = &shard->targets[t];
        if (!ShardSlots_IsTargetUsable(shard, target, adapter->pool)) {
            continue;
        }
        const slot_t *slot = ShardSlots_FindSlot(target, adapter->id);
        if (slot != NULL && slot->state != SLOT_UNLOADING) {
            return true;
        }
    }
    return false;
}

/** @return priority of a load of the adapter; 0: none is needed. */
static double
load_score(sky_shard_t *shard, const adapter_t *adapter, uint64_t now_us)
{
    uint64_t waited_us = now_us - adapter->waiting_requests->arrived_us;
    double waiting = adapter->waiting_count;
    if (!can_load(adapter, now_us)) {
        return 0;
    }
    if (shard->options.policy == SKY_POLICY_BASELINE) {
        return ShardPolicy_HasUsableReplica(shard, adapter)
                   ? 0
                   : 1.0 + (double)waited_us;
    }
    if (ShardPolicy_HasUsableReplica(shard, adapter)) {
        bool extra_replica_pays = adapter->waiting_count > 1 &&
                                  waited_us > shard->average_load_us / 2;
        double spread_weight = 1.0 - shard->options.batch_weight / 100.0;
        return extra_replica_pays
                   ? EXTRA_REPLICA_WEIGHT * waiting * spread_weight
                   : 0;
    }
    if (waited_us > shard->options.starvation_us) {
        return STARVING_SCORE + (double)waited_us;
    }
    return waiting + (double)adapter->urgency_sum / URGENCY_STEPS;
}

static adapter_t *
choose_waiting_adapter(sky_shard_t *shard, uint64_t now_us)
{
    adapter_t *best = NULL;
    double best_score = 0;
    adapter_t *adapter;
    DL_FOREACH(shard->waiting_adapters, adapter)
    {
        double score = load_score(shard, adapter, now_us);
        if (score > best_score) {
            best = adapter;
            best_score = score;
        }
    }
    return best;
}

/* ---- openings ---- */

/** The first replica of any adapter precedes the second of another: only the
 *  first spares requests the wait for a load. */
static double
preload_score(double weight, uint32_t replicas)
{
    return replicas == 0 ? FIRST_REPLICA_SCORE + weight
                         : weight / (replicas + 1);
}

static adapter_t *
choose_preload_adapter(sky_shard_t *shard, uint64_t now_us)
{
    double best_score = 0;
    adapter_t *best = NULL;
    for (uint32_t i = 0; i < shard->preload_count; i++) {
        const sky_preload_t *preload = &shard->preloads[i];
        if (now_us < preload->from_us || now_us >= preload->until_us) {
            continue;
        }
        adapter_t *adapter =
            ShardSlots_FindOrAddAdapter(shard, preload->adapter);
        if (adapter->replicas < adapter->preload_replicas &&
            can_load(adapter, now_us) &&
            preload_score(adapter->preload_weight, adapter->replicas) >
                best_score) {
            best = adapter;
            best_score =
                preload_score(adapter->preload_weight, adapter->replicas);
        }
    }
    return best;
}

static uint32_t
count_pool_slots(const sky_shard_t *shard, uint32_t pool,
                 uint32_t *target_count)
{
    uint32_t slots = 0;
    *target_count = 0;
    for (uint32_t t = 0; t < shard->target_count; t++) {
        const target_t *target = &shard->targets[t];
        if (target->pool == pool && !target->leaving) {
            slots += target->info->slots;
            *target_count += 1;
        }
    }
    return slots;
}

/** Plans one more replica of the adapter with the most weight per replica. */
static bool
add_preload_replica(sky_shard_t *shard, uint32_t pool, uint32_t target_count,
                    uint64_t now_us)
{
    adapter_t *best = NULL;
    double best_score = 0;
    for (uint32_t i = 0; i < shard->preload_count; i++) {
        const sky_preload_t *preload = &shard->preloads[i];
        if (preload->pool != pool || now_us < preload->from_us ||
            now_us >= preload->until_us) {
            continue;
        }
        adapter_t *adapter =
            ShardSlots_FindOrAddAdapter(shard, preload->adapter);
        double score =
            preload_score(adapter->preload_weight, adapter->preload_replicas);
        if (adapter->preload_replicas < target_count && score > best_score) {
            best = adapter;
            best_score = score;
        }
    }
    if (best != NULL) {
        best->preload_replicas++;
    }
    return best != NULL;
}

static void
plan_pool_preloads(sky_shard_t *shard, uint32_t pool, uint64_t now_us)
{
    uint32_t target_count;
    uint32_t budget = (uint32_t)(count_pool_slots(shard, pool, &target_count) *
                                 PRELOAD_SLOT_FRACTION);
    while (budget > 0 &&
           add_preload_replica(shard, pool, target_count, now_us)) {
        budget--;
    }
}

static void
reset_preload_plan(sky_shard_t *shard, uint64_t now_us)
{
    for (uint32_t i = 0; i < shard->preload_count; i++) {
        const sky_preload_t *preload = &shard->preloads[i];
        adapter_t *adapter =
            ShardSlots_FindOrAddAdapter(shard, preload->adapter);
        adapter->pool = preload->pool;
        adapter->preload_replicas = 0;
        adapter->preload_weight = 0;
        adapter->preload_until_us = 0;
    }
    for (uint32_t i = 0; i < shard->preload_count; i++) {
        const sky_preload_t *preload = &shard->preloads[i];
        adapter_t *adapter =
            ShardSlots_FindOrAddAdapter(shard, preload->adapter);
        if (now_us < preload->from_us || now_us >= preload->until_us) {
            continue;
        }
        adapter->preload_weight += preload->weight;
        if (preload->until_us > adapter->preload_until_us) {
            adapter->preload_until_us = preload->until_us;
        }
    }
}

void
ShardPolicy_PlanPreloads(sky_shard_t *shard, uint64_t now_us)
{
    reset_preload_plan(shard, now_us);
    shard->preload_weight = 0;
    for (uint32_t i = 0; i < shard->preload_count; i++) {
        bool is_open = now_us >= shard->preloads[i].from_us &&
                       now_us < shard->preloads[i].until_us;
        shard->preload_weight += is_open ? shard->preloads[i].weight : 0;
    }
    for (uint32_t t = 0; t < shard->target_count; t++) {
        bool is_first_of_pool = true;
        for (uint32_t u = 0; u < t; u++) {
            is_first_of_pool = is_first_of_pool && shard->targets[u].pool !=
                                                       shard->targets[t].pool;
        }
        if (is_first_of_pool && shard->targets[t].info->slots > 0) {
            plan_pool_preloads(shard, shard->targets[t].pool, now_us);
        }
    }
}

/* ---- starting loads ---- */

static bool
start_preload(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    if (!shard->options.preload_for_openings ||
        shard->options.policy == SKY_POLICY_BASELINE) {
        return false;
    }
    adapter_t *adapter = choose_preload_adapter(shard, now_us);
    if (adapter == NULL || !start_load(shard, adapter, now_us, out)) {
        return false;
    }
    shard->stats.loads_ahead++;
    return true;
}

static bool
start_waiting_load(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    adapter_t *adapter = choose_waiting_adapter(shard, now_us);
    return adapter != NULL && start_load(shard, adapter, now_us, out);
}

static bool
can_start_load(const sky_shard_t *shard, uint64_t now_us)
{
    return shard->loads_in_progress < shard->options.transit_max &&
           now_us >= shard->loads_paused_until_us &&
           SkyMembers_HasLease(shard->members, now_us);
}

void
ShardPolicy_StartLoads(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    while (shard->waiting_adapters != NULL && can_start_load(shard, now_us)) {
        if (!start_waiting_load(shard, now_us, out)) {
            break;
        }
    }
    while (shard->preload_count > 0 && can_start_load(shard, now_us)) {
        if (!start_preload(shard, now_us, out)) {
            break;
        }
    }
}

static bool
has_free_slot(const sky_shard_t *shard, const adapter_t *adapter)
{
    for (uint32_t t = 0; t < shard->target_count; t++) {
        const target_t *target = &shard->targets[t];
        if (!ShardSlots_IsTargetUsable(shard, target, adapter->pool)) {
            continue;
        }
        for (uint32_t i = 0; i < target->info->slots; i++) {
            if (target->slots[i].state == SLOT_FREE) {
                return true;
            }
        }
    }
    return false;
}

/** Loads the most popular adapter that has no replica, so that a restarted
 *  target is filled again. */
void
ShardPolicy_RefillFreeSlot(sky_shard_t *shard, uint64_t now_us,
                           sky_actions_t *out)
{
    adapter_t *best = NULL;
    double best_popularity = REFILL_POPULARITY_MIN;
    if (!shard->options.refill_free_slots || shard->unplaced_adapters > 0 ||
        shard->options.policy == SKY_POLICY_BASELINE ||
        !can_start_load(shard, now_us)) {
        return;
    }
    adapter_t *adapter;
    for (adapter = shard->adapters; adapter != NULL;
         adapter = adapter->hh.next) {
        if (adapter->replicas > 0 || !can_load(adapter, now_us)) {
            continue;
        }
        double popularity = ShardQueue_Popularity(adapter, now_us);
        if (popularity > best_popularity) {
            best = adapter;
            best_popularity = popularity;
        }
    }
    if (best != NULL && has_free_slot(shard, best)) {
        start_load(shard, best, now_us, out);
    }
}

/** @return time of one load: the average or, if longer, the time that the
 *          oldest load in progress has taken. */
static uint64_t
current_load_us(const sky_shard_t *shard, uint64_t now_us)
{
    uint64_t load_us = shard->average_load_us;
    for (uint32_t t = 0; t < shard->target_count; t++) {
        const target_t *target = &shard->targets[t];
        for (uint32_t i = 0; i < target->info->slots; i++) {
            const slot_t *slot = &target->slots[i];
            if (slot->state == SLOT_LOADING &&
                now_us - slot->ordered_us > load_us) {
                load_us = now_us - slot->ordered_us;
            }
        }
    }
    return load_us;
}

/** @return time until @p ahead loads and the loads in progress are done. */
static uint64_t
expected_load_wait_us(const sky_shard_t *shard, uint32_t ahead,
                      uint64_t now_us)
{
    uint64_t wait_us = (uint64_t)(ahead + shard->loads_in_progress) *
                       current_load_us(shard, now_us) /
                       shard->options.transit_max;
    if (shard->loads_paused_until_us > now_us) {
        wait_us += shard->loads_paused_until_us - now_us;
    }
    return wait_us;
}

uint64_t
ShardPolicy_ExpectedWaitUs(sky_shard_t *shard, const adapter_t *adapter,
                           uint64_t now_us)
{
    if (ShardPolicy_HasUsableReplica(shard, adapter)) {
        return 0;
    }
    return expected_load_wait_us(shard, shard->unplaced_adapters, now_us);
}

bool
ShardPolicy_WillMissDeadline(sky_shard_t *shard, const adapter_t *adapter,
                             uint64_t deadline_us, uint64_t now_us)
{
    uint32_t ahead = 0;
    const adapter_t *other;
    if (ShardPolicy_HasUsableReplica(shard, adapter)) {
        return false;
    }
    double score = load_score(shard, adapter, now_us);
    DL_FOREACH(shard->waiting_adapters, other)
    {
        double other_score = load_score(shard, other, now_us);
        bool other_is_first = other->waiting_requests->queue_rank <
                              adapter->waiting_requests->queue_rank;
        ahead +=
            other_score > score || (other_score == score && other_is_first);
    }
    return now_us + expected_load_wait_us(shard, ahead, now_us) > deadline_us;
}
