#include "decide/fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

/* Weights of a target's score, in units of one whole batch. */
#define OTHER_DOMAIN_WEIGHT                                                   \
    0.10                   /**< some ms and priced bytes, not a queue         \
                            */
#define FAILURE_WEIGHT 2.0 /**< failing half of its requests: as if full */
#define FULL_WEIGHT 1.0    /**< refused a moment ago */
/** Up to this fill an adapter's first home gets all of its requests: a step of
 *  a half full batch takes hardly longer, and copies that are not used can be
 *  dropped for other adapters. */
#define PACKED_FILL 0.5
#define HOME_WEIGHT 0.2 /**< of the last home against the first */
/** A batch this full wants another copy: loading one takes some hundred ms,
 *  in which a growing crowd fills the rest. */
#define CROWDED_FILL 0.6
/** An adapter with this share of a crowded target's uses is copied; others
 *  would only push more adapters out elsewhere. */
#define HOT_SHARE 0.2
#define OVERFULL_FILL 1.0 /**< then moving any adapter helps */
/** Targets as full as this are the last choice for another adapter. */
#define HOME_FILL 0.8
#define WORD_MS 1500      /**< an owner's word counts for so long */
#define CONFIRMED_MS 300  /**< for new requests; a run takes about as long */
#define WORD_LAG_MS 200   /**< learned beliefs this young are newer than it */
#define FAILURE_GAIN 0.25 /**< weight of the last answer */
#define BLOCK_MS 400      /**< after a refused connection; doubles */
#define BLOCK_DOUBLINGS 3 /**< a crashed target is back after some seconds */
#define FULL_MS 150       /**< a slot is free again after about this */

typedef struct {
    sky_adapter_key_t adapter;
    uint32_t version;
    uint64_t announced_ms;
    UT_hash_handle hh;
} announcement_t;

struct sky_fleet {
    char domain[SKY_SERVICE_NAME_BYTES];
    sky_fleet_options_t options;
    sky_fleet_target_t *targets;
    announcement_t *announcements;
};

sky_adapter_key_t
SkyFleet_KeyOf(const char *model, const char *adapter)
{
    return XXH3_64bits_withSeed(adapter, strlen(adapter),
                                XXH3_64bits(model, strlen(model)));
}

sky_result_t
SkyFleet_Create(const sky_fleet_options_t *options, sky_fleet_t **fleet)
{
    sky_fleet_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    snprintf(self->domain, sizeof self->domain, "%s", options->domain);
    *fleet = self;
    return SKY_OK;
}

static void
free_target(sky_fleet_t *fleet, sky_fleet_target_t *target)
{
    DL_DELETE(fleet->targets, target);
    SkyTargetEntry_Clear(&target->entry);
    free(target->listed_adapters);
    free(target->learned);
    free(target);
}

void
SkyFleet_Free(sky_fleet_t *fleet)
{
    if (fleet == NULL) {
        return;
    }
    sky_fleet_target_t *target;
    sky_fleet_target_t *next;
    DL_FOREACH_SAFE(fleet->targets, target, next)
    {
        free_target(fleet, target);
    }
    announcement_t *announcement;
    announcement_t *after;
    HASH_ITER(hh, fleet->announcements, announcement, after)
    {
        HASH_DEL(fleet->announcements, announcement);
        free(announcement);
    }
    free(fleet);
}

sky_fleet_target_t *
SkyFleet_Find(sky_fleet_t *fleet, const char *id)
{
    sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (target->listed && strcmp(target->entry.id, id) == 0) {
            return target;
        }
    }
    return NULL;
}

sky_fleet_target_t *
SkyFleet_First(sky_fleet_t *fleet)
{
    return fleet->targets;
}

static void
unlist(sky_fleet_t *fleet, sky_fleet_target_t *target)
{
    target->listed = false;
    if (target->references == 0) {
        free_target(fleet, target);
    }
}

/* Indexes what the entry says the target holds. */
static bool
index_entry(sky_fleet_target_t *target)
{
    const sky_target_entry_t *entry = &target->entry;
    uint32_t count = entry->resident_count;
    sky_belief_t *listed = calloc(count ? count : 1, sizeof *listed);
    if (listed == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        const sky_resident_t *resident = &entry->residents[i];
        listed[i] = (sky_belief_t){
            .adapter = SkyFleet_KeyOf(resident->model, resident->adapter),
            .version = resident->version,
            .present = true};
    }
    free(target->listed_adapters);
    target->listed_adapters = listed;
    target->listed_count = count;
    return true;
}

static bool
is_word_current(const sky_fleet_target_t *target, uint64_t now_ms)
{
    return target->told_at_ms > 0 && now_ms < target->told_at_ms + WORD_MS;
}

sky_fleet_target_t *
SkyFleet_Apply(sky_fleet_t *fleet, sky_target_entry_t *entry, uint64_t now_ms)
{
    sky_fleet_target_t *target = SkyFleet_Find(fleet, entry->id);
    if (target != NULL && target->entry.born_ms != entry->born_ms) {
        /* The same id after a restart: it knows nothing of before. */
        unlist(fleet, target);
        target = NULL;
    }
    if (target == NULL) {
        target = calloc(1, sizeof *target);
        if (target == NULL) {
            return NULL;
        }
        target->listed = true;
        target->hash = XXH3_64bits(entry->id, strlen(entry->id));
        DL_APPEND(fleet->targets, target);
    }
    SkyTargetEntry_Clear(&target->entry);
    target->entry = *entry;
    target->drop_at_ms = 0;
    *entry = (sky_target_entry_t){0};
    /* Its owner's word is newer than its own last one. */
    bool keep = is_word_current(target, now_ms);
    return keep || index_entry(target) ? target : NULL;
}

void
SkyFleet_Drop(sky_fleet_t *fleet, const char *id, uint64_t at_ms)
{
    sky_fleet_target_t *target = SkyFleet_Find(fleet, id);
    if (target != NULL && target->drop_at_ms == 0) {
        target->drop_at_ms = at_ms;
    }
}

void
SkyFleet_Tick(sky_fleet_t *fleet, uint64_t now_ms)
{
    sky_fleet_target_t *target;
    sky_fleet_target_t *next;
    DL_FOREACH_SAFE(fleet->targets, target, next)
    {
        if (target->listed && target->drop_at_ms > 0 &&
            target->drop_at_ms <= now_ms) {
            unlist(fleet, target);
        }
    }
}

void
SkyFleet_Announce(sky_fleet_t *fleet, const sky_resident_t *announced,
                  uint64_t now_ms)
{
    sky_adapter_key_t key =
        SkyFleet_KeyOf(announced->model, announced->adapter);
    announcement_t *known;
    HASH_FIND(hh, fleet->announcements, &key, sizeof key, known);
    if (known == NULL) {
        known = calloc(1, sizeof *known);
        if (known == NULL) {
            return;
        }
        known->adapter = key;
        HASH_ADD(hh, fleet->announcements, adapter, sizeof known->adapter,
                 known);
    }
    if (announced->version > known->version) {
        known->version = announced->version;
        known->announced_ms = now_ms;
    }
}

static const announcement_t *
announcement_of(const sky_fleet_t *fleet, sky_adapter_key_t adapter)
{
    announcement_t *known;
    HASH_FIND(hh, fleet->announcements, &adapter, sizeof adapter, known);
    return known;
}

uint32_t
SkyFleet_Announced(const sky_fleet_t *fleet, sky_adapter_key_t adapter)
{
    const announcement_t *known = announcement_of(fleet, adapter);
    return known ? known->version : 0;
}

void
SkyFleet_ForEachAnnounced(const sky_fleet_t *fleet,
                          void (*visit)(void *, sky_adapter_key_t, uint32_t),
                          void *context)
{
    const announcement_t *known;
    for (known = fleet->announcements; known != NULL; known = known->hh.next) {
        visit(context, known->adapter, known->version);
    }
}

void
SkyFleet_Learn(sky_fleet_t *fleet, sky_fleet_target_t *target,
               const sky_belief_t *belief, uint64_t now_ms)
{
    uint32_t at = 0;
    uint32_t kept = 0;
    for (; at < target->learned_count; at++) {
        const sky_belief_t *old = &target->learned[at];
        if (old->adapter != belief->adapter && old->until_ms > now_ms) {
            target->learned[kept++] = *old;
        }
    }
    target->learned_count = kept;
    if (kept == target->learned_capacity) {
        uint32_t capacity = kept ? kept * 2 : 8;
        sky_belief_t *grown =
            realloc(target->learned, capacity * sizeof *grown);
        if (grown == NULL) {
            return;
        }
        target->learned = grown;
        target->learned_capacity = capacity;
    }
    target->learned[kept] = *belief;
    target->learned[kept].learned_ms = now_ms;
    target->learned[kept].until_ms = now_ms + fleet->options.belief_ms;
    target->learned_count = kept + 1;
}

static const sky_belief_t *
listed_belief(const sky_fleet_target_t *target, sky_adapter_key_t adapter)
{
    for (uint32_t i = 0; i < target->listed_count; i++) {
        if (target->listed_adapters[i].adapter == adapter) {
            return &target->listed_adapters[i];
        }
    }
    return NULL;
}

/* The newest belief of an adapter at a target; 0 if it is not there. */
static uint32_t
version_at(const sky_fleet_target_t *target, sky_adapter_key_t adapter,
           uint64_t now_ms)
{
    for (uint32_t i = 0; i < target->learned_count; i++) {
        const sky_belief_t *belief = &target->learned[i];
        if (belief->adapter == adapter && belief->until_ms > now_ms) {
            return belief->present ? belief->version : 0;
        }
    }
    const sky_belief_t *listed = listed_belief(target, adapter);
    return listed ? listed->version : 0;
}

/* Load pattern: an adapter of which nothing was asked becomes a quarter of
 * all traffic. While even the emptiest of its targets is overfull, the load
 * beyond that is not seen, so that the copies are doubled. */
static uint32_t
copies_wanted(const sky_fleet_target_t *target, sky_adapter_key_t adapter,
              double fill, uint32_t holders)
{
    const sky_belief_t *listed = listed_belief(target, adapter);
    bool hot = listed != NULL && listed->share >= HOT_SHARE;
    if (fill > OVERFULL_FILL) {
        return hot ? holders : 1;
    }
    return fill > CROWDED_FILL && hot ? 1 : 0;
}

/* A load takes about as long as a run, so that as many run later as wait now;
 * they are to fill half of each batch. */
uint32_t
SkyFleet_CopiesForWaiting(uint32_t waiting, uint32_t slots)
{
    double targets = ceil(waiting / (PACKED_FILL * slots));
    return targets > 1.0 ? (uint32_t)targets - 1 : 0;
}

static bool
is_among(uint64_t hash, const uint64_t *hashes, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (hashes[i] == hash) {
            return true;
        }
    }
    return false;
}

static bool
is_allowed(const sky_fleet_query_t *query, const sky_fleet_target_t *target)
{
    return !is_among(target->hash, query->avoid, query->avoid_count) &&
           (query->only_count == 0 ||
            is_among(target->hash, query->only, query->only_count));
}

static bool
is_usable(const sky_fleet_target_t *target, const char *service)
{
    return target->listed && target->entry.state == SKY_TARGET_READY &&
           strcmp(target->entry.service, service) == 0;
}

bool
SkyFleet_IsConfirmed(const sky_fleet_target_t *target, uint64_t now_ms)
{
    return target->told_at_ms > 0 &&
           now_ms < target->told_at_ms + CONFIRMED_MS;
}

double
SkyFleet_Fill(const sky_fleet_target_t *target, uint64_t now_ms)
{
    uint32_t others = is_word_current(target, now_ms) ? target->others : 0;
    return (double)(target->in_flight + others) / target->entry.slots;
}

void
SkyFleet_TakeOwnersWord(sky_fleet_target_t *target, uint32_t others,
                        const sky_belief_t *held, uint32_t count,
                        uint64_t now_ms)
{
    sky_belief_t *listed = calloc(count ? count : 1, sizeof *listed);
    if (listed == NULL) {
        return;
    }
    memcpy(listed, held, count * sizeof *listed);
    free(target->listed_adapters);
    target->listed_adapters = listed;
    target->listed_count = count;
    target->others = others;
    target->told_at_ms = now_ms;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < target->learned_count; i++) {
        if (target->learned[i].learned_ms + WORD_LAG_MS > now_ms) {
            target->learned[kept++] = target->learned[i];
        }
    }
    target->learned_count = kept;
}

/* Weight of a target as the home of an adapter, the same on all hosts. */
static uint64_t
home_weight(const sky_fleet_target_t *target, sky_adapter_key_t adapter)
{
    return XXH3_64bits_withSeed(&adapter, sizeof adapter, target->hash) >> 1;
}

/* Load pattern: more adapters in use than there are places. A place whose
 * adapter runs anything cannot be freed, so that the copies of an adapter are
 * filled one after the other, from its first home on. */
static double
packed_fill(const sky_fleet_target_t *target, sky_adapter_key_t adapter,
            uint64_t now_ms)
{
    double fill = SkyFleet_Fill(target, now_ms);
    double over =
        fill > PACKED_FILL ? (fill - PACKED_FILL) / (1.0 - PACKED_FILL) : 0.0;
    double last =
        1.0 - (double)home_weight(target, adapter) / (double)INT64_MAX;
    return over + HOME_WEIGHT * last;
}

static double
score_of(const sky_fleet_t *fleet, const sky_fleet_target_t *target,
         bool packed, sky_adapter_key_t adapter, uint64_t now_ms)
{
    double score = FAILURE_WEIGHT * target->failure;
    score += packed ? packed_fill(target, adapter, now_ms)
                    : SkyFleet_Fill(target, now_ms);
    if (strcmp(target->entry.domain, fleet->domain) != 0) {
        score += OTHER_DOMAIN_WEIGHT;
    }
    if (target->full_until_ms > now_ms) {
        score += FULL_WEIGHT;
    }
    return score;
}

void
SkyFleet_Choose(const sky_fleet_t *fleet, const sky_fleet_query_t *query,
                uint64_t now_ms, sky_fleet_choice_t *choice)
{
    sky_adapter_key_t key =
        query->engine ? SkyFleet_KeyOf(query->model, query->adapter) : 0;
    const announcement_t *news = announcement_of(fleet, key);
    bool strict = news != NULL &&
                  now_ms > news->announced_ms + fleet->options.version_ms / 2;
    double best_score = 0;
    uint32_t best_version = 0;
    uint32_t holders = 0;
    bool by_adapter = query->engine && query->adapter[0] != '\0';
    *choice = (sky_fleet_choice_t){0};
    sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (!is_usable(target, query->service)) {
            continue;
        }
        choice->usable_targets = true;
        uint32_t version = query->engine ? version_at(target, key, now_ms) : 1;
        bool current = news == NULL || version >= news->version;
        if (version == 0 || (strict && !current)) {
            continue;
        }
        if (target->blocked_until_ms > now_ms || !is_allowed(query, target)) {
            continue;
        }
        holders++;
        double score = score_of(fleet, target, by_adapter, key, now_ms) +
                       (current ? 0 : 1.0);
        /* Equal scores: the request's own number picks. */
        score += (double)((target->hash ^ query->spread) % 1024) / 1.0e5;
        if (choice->target == NULL || score < best_score) {
            choice->target = target;
            best_score = score;
            best_version = version;
        }
    }
    choice->misses_adapter = query->engine && holders == 0;
    choice->fill =
        choice->target ? SkyFleet_Fill(choice->target, now_ms) : 0.0;
    choice->copies =
        choice->target != NULL && by_adapter
            ? copies_wanted(choice->target, key, choice->fill, holders)
            : 0;
    if (news != NULL && choice->target != NULL) {
        choice->version =
            strict || best_version >= news->version ? best_version : 0;
    }
}

/* Rank of a target for an adapter; full ones come after all others. */
static uint64_t
home_rank(const sky_fleet_target_t *target, sky_adapter_key_t adapter,
          uint64_t now_ms)
{
    uint64_t weight = home_weight(target, adapter);
    bool full = SkyFleet_Fill(target, now_ms) > HOME_FILL;
    return full ? weight : weight | (UINT64_C(1) << 63);
}

static bool
may_be_home(const sky_fleet_target_t *target, const sky_fleet_query_t *query,
            sky_adapter_key_t adapter, uint64_t now_ms)
{
    return is_usable(target, query->service) &&
           target->blocked_until_ms <= now_ms && is_allowed(query, target) &&
           !(query->lacking && version_at(target, adapter, now_ms) > 0);
}

uint32_t
SkyFleet_RankHomes(const sky_fleet_t *fleet, const sky_fleet_query_t *query,
                   uint64_t now_ms, sky_fleet_target_t **homes, uint32_t most)
{
    sky_adapter_key_t adapter = SkyFleet_KeyOf(query->model, query->adapter);
    uint32_t count = 0;
    sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (!may_be_home(target, query, adapter, now_ms)) {
            continue;
        }
        uint64_t rank = home_rank(target, adapter, now_ms);
        uint32_t at = count < most ? count++ : most;
        while (at > 0 && rank > home_rank(homes[at - 1], adapter, now_ms)) {
            if (at < most) {
                homes[at] = homes[at - 1];
            }
            at--;
        }
        if (at < most) {
            homes[at] = target;
        }
    }
    return count;
}

void
SkyFleet_Begin(sky_fleet_target_t *target)
{
    target->references++;
    target->in_flight++;
}

static void
note_outcome(sky_fleet_target_t *target, sky_fared_t fared, uint64_t now_ms)
{
    switch (fared) {
    case SKY_FARED_WELL:
        target->failure -= FAILURE_GAIN * target->failure;
        target->refusals = 0;
        target->blocked_until_ms = 0;
        break;
    case SKY_FARED_FAILED:
        target->failure += FAILURE_GAIN * (1.0 - target->failure);
        break;
    case SKY_FARED_FULL:
        target->full_until_ms = now_ms + FULL_MS;
        break;
    case SKY_FARED_UNREACHABLE:
        target->blocked_until_ms =
            now_ms + ((uint64_t)BLOCK_MS << target->refusals);
        if (target->refusals < BLOCK_DOUBLINGS) {
            target->refusals++;
        }
        break;
    case SKY_FARED_UNKNOWN:
        break;
    }
}

void
SkyFleet_End(sky_fleet_t *fleet, sky_fleet_target_t *target, sky_fared_t fared,
             uint64_t now_ms)
{
    target->in_flight--;
    target->references--;
    note_outcome(target, fared, now_ms);
    if (!target->listed && target->references == 0) {
        free_target(fleet, target);
    }
}
