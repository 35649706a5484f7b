/** @file shard_policy.c @brief Which target, which load next, which victim. */
#include "decide/shard_state.h"

#include <float.h>
#include <stdlib.h>

#define STARVING_SCORE 1e9
#define COPY_SHARE 0.1        /* weight of a second copy against a first */
#define WANTED_SLOT_SHARE 0.9 /* of a pool's slots, kept for openings */
#define FIRST_COPY_SCORE 1e9
#define REFILL_HEAT_MIN 2.0
#define STORE_MEMORY_US UINT64_C(5000000)
#define WEIGHT_MIDDLE 50.0
#define CROWD_FULL 4.0 /* times the average crowd that fill a target */
#define PACKING 8.0    /* worth of a full batch against a victim's heat */
#define URGENCY_STEPS 10

bool
ShardPolicy_StoreIsDown(const sky_shard_t *shard, uint64_t now_us)
{
    return shard->store_failures >= STORE_FAILURES_MAX &&
           now_us < shard->store_failed_us + STORE_MEMORY_US;
}

static bool
holds(target_t *target, const adapter_t *adapter)
{
    if (target->info->slots == 0) {
        return true;
    }
    const slot_t *slot = ShardSlots_Find(target, adapter->id);
    return slot != NULL && slot->state == SLOT_RESIDENT;
}

/**
 * The deployment's weight sets how far a batch is filled before the next
 * target is used: 0 spreads requests, 100 fills one batch after the other.
 */
static bool
is_better_target(const sky_shard_t *shard, const target_t *candidate,
                 const target_t *best)
{
    uint32_t fill =
        shard->options.policy == SKY_POLICY_BASELINE
            ? 0
            : candidate->info->batch * shard->options.batch_weight / 100;
    if (best == NULL) {
        return true;
    }
    bool candidate_fills = candidate->permits < fill;
    bool best_fills = best->permits < fill;
    if (candidate_fills != best_fills) {
        return candidate_fills;
    }
    return candidate_fills ? candidate->permits > best->permits
                           : candidate->permits < best->permits;
}

target_t *
ShardPolicy_ChooseTarget(sky_shard_t *shard, const adapter_t *adapter,
                         const request_t *request)
{
    target_t *best = NULL;
    for (uint32_t t = 0; t < shard->count; t++) {
        target_t *target = &shard->targets[t];
        if (target->permits >= target->info->batch ||
            !ShardSlots_IsUsable(shard, target, adapter->pool) ||
            !holds(target, adapter) ||
            !ShardRunning_MayRunOn(shard, request, target)) {
            continue;
        }
        if (is_better_target(shard, target, best)) {
            best = target;
        }
    }
    return best;
}

/* ---- slots ---- */

static bool
is_kept(const adapter_t *adapter, uint64_t now_us)
{
    return adapter->wanted_copies > 0 && now_us < adapter->wanted_until_us &&
           adapter->copies <= adapter->wanted_copies;
}

/** @return cost of giving up what the slot holds; DBL_MAX: it may not be. */
static double
victim_cost(sky_shard_t *shard, const target_t *target, const slot_t *slot,
            uint64_t now_us)
{
    if (slot->state == SLOT_FREE) {
        return -1.0;
    }
    if (!ShardSlots_MayEvict(shard, target, slot, now_us)) {
        return DBL_MAX;
    }
    if (shard->options.policy == SKY_POLICY_BASELINE) {
        return (double)slot->used_us;
    }
    const adapter_t *adapter = ShardSlots_Adapter(shard, slot->adapter);
    if (adapter->waiting_count > 0 || is_kept(adapter, now_us)) {
        return DBL_MAX;
    }
    return ShardQueue_Heat(adapter, now_us) / adapter->copies;
}

/** @return expected share of the opening's crowd on a target; 1: average. */
static double
expected_crowd(sky_shard_t *shard, const target_t *target, uint64_t now_us)
{
    double weight = 0;
    if (shard->wanted_weight <= 0) {
        return 0;
    }
    for (uint32_t i = 0; i < target->info->slots; i++) {
        if (target->slots[i].state == SLOT_FREE) {
            continue;
        }
        const adapter_t *adapter =
            ShardSlots_Adapter(shard, target->slots[i].adapter);
        if (now_us < adapter->wanted_until_us) {
            weight += adapter->wanted_weight / adapter->copies;
        }
    }
    return weight * shard->count / shard->wanted_weight;
}

/** Below a weight of 50 a busy target costs, above it is looked for. */
static double
load_cost(sky_shard_t *shard, const target_t *target, uint64_t now_us)
{
    double fill = (double)target->permits / target->info->batch;
    if (shard->options.policy == SKY_POLICY_BASELINE) {
        return fill * DBL_MAX / 4; /* least loaded first, then LRU */
    }
    double weight = (double)shard->options.batch_weight;
    double crowd = expected_crowd(shard, target, now_us) / CROWD_FULL;
    double busy = fill + (crowd < 1.0 ? crowd : 1.0);
    return PACKING * busy * (WEIGHT_MIDDLE - weight) / WEIGHT_MIDDLE;
}

typedef struct {
    target_t *target;
    slot_t *slot;
    double cost;
} place_t;

static void
consider_slots(sky_shard_t *shard, target_t *target, uint64_t now_us,
               place_t *best)
{
    double load = load_cost(shard, target, now_us);
    for (uint32_t i = 0; i < target->info->slots; i++) {
        slot_t *slot = &target->slots[i];
        double victim = victim_cost(shard, target, slot, now_us);
        if (victim == DBL_MAX) {
            continue;
        }
        if (best->slot == NULL || victim + load < best->cost) {
            best->target = target;
            best->slot = slot;
            best->cost = victim + load;
        }
    }
}

static place_t
choose_place(sky_shard_t *shard, const adapter_t *adapter, uint64_t now_us)
{
    place_t best = {NULL, NULL, DBL_MAX};
    for (uint32_t t = 0; t < shard->count; t++) {
        target_t *target = &shard->targets[t];
        if (ShardSlots_IsUsable(shard, target, adapter->pool) &&
            target->info->slots > 0 &&
            ShardSlots_Find(target, adapter->id) == NULL) {
            consider_slots(shard, target, now_us, &best);
        }
    }
    return best;
}

static bool
try_load(sky_shard_t *shard, adapter_t *adapter, uint64_t now_us,
         sky_actions_t *out)
{
    place_t place = choose_place(shard, adapter, now_us);
    if (place.slot == NULL) {
        return false;
    }
    ShardSlots_Load(shard, place.target, place.slot, adapter, now_us, out);
    return true;
}

/* ---- which load next ---- */

static bool
may_load(const adapter_t *adapter, uint64_t now_us)
{
    return adapter->loading == 0 && now_us >= adapter->retry_us &&
           adapter->id != adapter->pool;
}

/** A copy on a target that leaves, is down or is being given up is none. */
bool
ShardPolicy_HasUsableCopy(sky_shard_t *shard, const adapter_t *adapter)
{
    if (adapter->id == adapter->pool) {
        return true;
    }
    for (uint32_t t = 0; t < shard->count && adapter->copies > 0; t++) {
        target_t *target = &shard->targets[t];
        if (!ShardSlots_IsUsable(shard, target, adapter->pool)) {
            continue;
        }
        const slot_t *slot = ShardSlots_Find(target, adapter->id);
        if (slot != NULL && slot->state != SLOT_UNLOADING) {
            return true;
        }
    }
    return false;
}

/** @return 0 where nothing is to be loaded for the adapter. */
static double
load_score(sky_shard_t *shard, const adapter_t *adapter, uint64_t now_us)
{
    uint64_t waited_us = now_us - adapter->waiting->arrived_us;
    double waiting = adapter->waiting_count;
    if (!may_load(adapter, now_us)) {
        return 0;
    }
    if (shard->options.policy == SKY_POLICY_BASELINE) {
        return ShardPolicy_HasUsableCopy(shard, adapter)
                   ? 0
                   : 1.0 + (double)waited_us;
    }
    if (ShardPolicy_HasUsableCopy(shard, adapter)) {
        bool pays =
            adapter->waiting_count > 1 && waited_us > shard->load_us / 2;
        double spread = 1.0 - shard->options.batch_weight / 100.0;
        return pays ? COPY_SHARE * waiting * spread : 0;
    }
    if (waited_us > shard->options.starvation_us) {
        return STARVING_SCORE + (double)waited_us;
    }
    return waiting + (double)adapter->urgency_sum / URGENCY_STEPS;
}

static adapter_t *
most_needed(sky_shard_t *shard, uint64_t now_us)
{
    adapter_t *best = NULL;
    double best_score = 0;
    adapter_t *adapter;
    DL_FOREACH(shard->queued, adapter)
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

/** A first copy of any adapter goes before a second one of another: only the
 *  first spares its callers a load. */
static double
wanted_score(double weight, uint32_t copies)
{
    return copies == 0 ? FIRST_COPY_SCORE + weight : weight / (copies + 1);
}

static adapter_t *
most_wanted(sky_shard_t *shard, uint64_t now_us)
{
    double best_score = 0;
    adapter_t *best = NULL;
    for (uint32_t i = 0; i < shard->wanted_count; i++) {
        const sky_wanted_t *wanted = &shard->wanted[i];
        if (now_us < wanted->from_us || now_us >= wanted->until_us) {
            continue;
        }
        adapter_t *adapter = ShardSlots_Adapter(shard, wanted->adapter);
        if (adapter->copies < adapter->wanted_copies &&
            may_load(adapter, now_us) &&
            wanted_score(adapter->wanted_weight, adapter->copies) >
                best_score) {
            best = adapter;
            best_score = wanted_score(adapter->wanted_weight, adapter->copies);
        }
    }
    return best;
}

static uint32_t
slots_of_pool(const sky_shard_t *shard, uint32_t pool, uint32_t *targets)
{
    uint32_t slots = 0;
    *targets = 0;
    for (uint32_t t = 0; t < shard->count; t++) {
        const target_t *target = &shard->targets[t];
        if (target->pool == pool && !target->leaving) {
            slots += target->info->slots;
            *targets += 1;
        }
    }
    return slots;
}

/** One more copy for whoever has the most weight for each copy. */
static bool
add_wanted_copy(sky_shard_t *shard, uint32_t pool, uint32_t targets,
                uint64_t now_us)
{
    adapter_t *best = NULL;
    double best_share = 0;
    for (uint32_t i = 0; i < shard->wanted_count; i++) {
        const sky_wanted_t *wanted = &shard->wanted[i];
        if (wanted->pool != pool || now_us < wanted->from_us ||
            now_us >= wanted->until_us) {
            continue;
        }
        adapter_t *adapter = ShardSlots_Adapter(shard, wanted->adapter);
        double share =
            wanted_score(adapter->wanted_weight, adapter->wanted_copies);
        if (adapter->wanted_copies < targets && share > best_share) {
            best = adapter;
            best_share = share;
        }
    }
    if (best != NULL) {
        best->wanted_copies++;
    }
    return best != NULL;
}

static void
plan_pool(sky_shard_t *shard, uint32_t pool, uint64_t now_us)
{
    uint32_t targets;
    uint32_t budget =
        (uint32_t)(slots_of_pool(shard, pool, &targets) * WANTED_SLOT_SHARE);
    while (budget > 0 && add_wanted_copy(shard, pool, targets, now_us)) {
        budget--;
    }
}

static void
reset_wanted(sky_shard_t *shard, uint64_t now_us)
{
    for (uint32_t i = 0; i < shard->wanted_count; i++) {
        const sky_wanted_t *wanted = &shard->wanted[i];
        adapter_t *adapter = ShardSlots_Adapter(shard, wanted->adapter);
        adapter->pool = wanted->pool;
        adapter->wanted_copies = 0;
        adapter->wanted_weight = 0;
        adapter->wanted_until_us = 0;
    }
    for (uint32_t i = 0; i < shard->wanted_count; i++) {
        const sky_wanted_t *wanted = &shard->wanted[i];
        adapter_t *adapter = ShardSlots_Adapter(shard, wanted->adapter);
        if (now_us < wanted->from_us || now_us >= wanted->until_us) {
            continue;
        }
        adapter->wanted_weight += wanted->weight;
        if (wanted->until_us > adapter->wanted_until_us) {
            adapter->wanted_until_us = wanted->until_us;
        }
    }
}

void
ShardPolicy_PlanWanted(sky_shard_t *shard, uint64_t now_us)
{
    reset_wanted(shard, now_us);
    shard->wanted_weight = 0;
    for (uint32_t i = 0; i < shard->wanted_count; i++) {
        bool open = now_us >= shard->wanted[i].from_us &&
                    now_us < shard->wanted[i].until_us;
        shard->wanted_weight += open ? shard->wanted[i].weight : 0;
    }
    for (uint32_t t = 0; t < shard->count; t++) {
        bool first = true;
        for (uint32_t u = 0; u < t; u++) {
            first = first && shard->targets[u].pool != shard->targets[t].pool;
        }
        if (first && shard->targets[t].info->slots > 0) {
            plan_pool(shard, shard->targets[t].pool, now_us);
        }
    }
}

/* ---- pump ---- */

static bool
load_ahead(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    if (!shard->options.know_openings ||
        shard->options.policy == SKY_POLICY_BASELINE) {
        return false;
    }
    adapter_t *adapter = most_wanted(shard, now_us);
    if (adapter == NULL || !try_load(shard, adapter, now_us, out)) {
        return false;
    }
    shard->stats.loads_ahead++;
    return true;
}

static bool
load_waiting(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    adapter_t *adapter = most_needed(shard, now_us);
    return adapter != NULL && try_load(shard, adapter, now_us, out);
}

static bool
has_room_in_transit(const sky_shard_t *shard, uint64_t now_us)
{
    return shard->in_transit < shard->options.transit_max &&
           now_us >= shard->store_retry_us &&
           SkyMembers_HoldsLease(shard->members, now_us);
}

void
ShardPolicy_Pump(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    while (shard->queued != NULL && has_room_in_transit(shard, now_us)) {
        if (!load_waiting(shard, now_us, out)) {
            break;
        }
    }
    while (shard->wanted_count > 0 && has_room_in_transit(shard, now_us)) {
        if (!load_ahead(shard, now_us, out)) {
            break;
        }
    }
}

static bool
has_free_slot(const sky_shard_t *shard, const adapter_t *adapter)
{
    for (uint32_t t = 0; t < shard->count; t++) {
        const target_t *target = &shard->targets[t];
        if (!ShardSlots_IsUsable(shard, target, adapter->pool)) {
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

/** A restarted target is filled with what was asked for most. */
void
ShardPolicy_Refill(sky_shard_t *shard, uint64_t now_us, sky_actions_t *out)
{
    adapter_t *best = NULL;
    double best_heat = REFILL_HEAT_MIN;
    if (!shard->options.refill || shard->pending_adapters > 0 ||
        shard->options.policy == SKY_POLICY_BASELINE ||
        !has_room_in_transit(shard, now_us)) {
        return;
    }
    adapter_t *adapter;
    for (adapter = shard->adapters; adapter != NULL;
         adapter = adapter->hh.next) {
        if (adapter->copies > 0 || !may_load(adapter, now_us)) {
            continue;
        }
        double heat = ShardQueue_Heat(adapter, now_us);
        if (heat > best_heat) {
            best = adapter;
            best_heat = heat;
        }
    }
    if (best != NULL && has_free_slot(shard, best)) {
        try_load(shard, best, now_us, out);
    }
}

/** @return time of one load: the average, or what the oldest has taken. */
static uint64_t
current_load_us(const sky_shard_t *shard, uint64_t now_us)
{
    uint64_t load_us = shard->load_us;
    for (uint32_t t = 0; t < shard->count; t++) {
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

/** @return time until the store has taken @p ahead loads and one more. */
static uint64_t
wait_behind(const sky_shard_t *shard, uint32_t ahead, uint64_t now_us)
{
    uint64_t wait_us = (uint64_t)(ahead + shard->in_transit) *
                       current_load_us(shard, now_us) /
                       shard->options.transit_max;
    if (shard->store_retry_us > now_us) {
        wait_us += shard->store_retry_us - now_us;
    }
    return wait_us;
}

uint64_t
ShardPolicy_ExpectedWait(sky_shard_t *shard, const adapter_t *adapter,
                         uint64_t now_us)
{
    if (ShardPolicy_HasUsableCopy(shard, adapter)) {
        return 0;
    }
    return wait_behind(shard, shard->pending_adapters, now_us);
}

bool
ShardPolicy_IsHopeless(sky_shard_t *shard, const adapter_t *adapter,
                       uint64_t deadline_us, uint64_t now_us)
{
    uint32_t ahead = 0;
    const adapter_t *other;
    if (ShardPolicy_HasUsableCopy(shard, adapter)) {
        return false;
    }
    double score = load_score(shard, adapter, now_us);
    DL_FOREACH(shard->queued, other)
    {
        double theirs = load_score(shard, other, now_us);
        bool earlier = other->waiting->rank < adapter->waiting->rank;
        ahead += theirs > score || (theirs == score && earlier);
    }
    return now_us + wait_behind(shard, ahead, now_us) > deadline_us;
}
