#include "decide/fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "decide/brittle_target.h"

/* Weights in a target's score. A score of 1 is one whole batch of requests. */

/** A target that asks for a longer pause is asked again then. */
#define PAUSE_MAX_MS 60000
/** Another failure domain costs some ms and traffic that is billed, but no
 *  queueing. */
#define OTHER_DOMAIN_WEIGHT 0.10
/** The same among an adapter's replicas. Their scores differ by up to
 *  PREFERENCE_WEIGHT without any load, so that a smaller weight would send
 *  most requests to the first preferred replica in whichever domain. */
#define OTHER_DOMAIN_REPLICA_WEIGHT 0.3
/** Added to either for a choice by a report of OWNER_REPORT_RELIABLE_MS, if it
 *  is spread: the random numbers outweigh the others, and two targets in three
 *  are in other domains. In the replay, 76 hosts, 33% of streams go to another
 *  domain with it and 57% without both. It does not depend on the number of
 *  hosts: with 8 hosts and so scaled, 50% went there. */
#define OTHER_DOMAIN_SPREAD_WEIGHT 0.8
/** A target that fails half of its requests scores like a full one. */
#define FAILURE_WEIGHT 2.0
#define FULL_WEIGHT 1.0 /**< it refused a request for lack of capacity */
/** Up to this utilization the first preferred target of an adapter gets all of
 *  its requests: a step of a half full batch takes hardly longer, and
 *  replicas that are not used can be evicted for other adapters. */
#define PACKED_UTILIZATION 0.5
/** Score of the last preferred target above that of the first. */
#define PREFERENCE_WEIGHT 0.2
/** Weight of a request's random number against the expected time, for a report
 *  of OWNER_REPORT_RELIABLE_MS. In the replay of tests/test_target_choice.cc,
 *  76 hosts, 4.3% of streams were late with 0.5, 4.7% with 0.3. */
#define SPREAD_WEIGHT 0.5
/** A request of this host stands for at most so many of others. With more, the
 *  estimate of hosts that send little is mostly chance: in the replay with 330
 *  hosts and no limit, nearly as many streams were late as without it. */
#define UNREPORTED_FACTOR_MAX 7.0
/** Of so many hosts, this host's own requests tell enough: its choice is
 * spread less the fewer hosts there are. In the replay with 8 hosts and 200
 * seeds, 4.4% of streams were late with 5, 4.7% with 1. */
#define KNOWN_HOSTS 5.0
/** Up to this expected time the choice is not spread, so that the replicas of
 *  rarely used adapters stay packed. In the replay, a limit of 0.5 let twice
 *  as many streams be late. */
#define SPREAD_TIME_MIN 0.3
/** Above this utilization another replica is loaded: that takes some hundred
 *  ms, in which a growing burst fills the rest of the batch. */
#define CROWDED_UTILIZATION 0.6
/** An adapter with this fraction of a crowded target's uses gets another
 *  replica; replicas of less used ones would only evict more adapters
 *  elsewhere. */
#define HOT_USE_FRACTION 0.2
/** Above this utilization any adapter gets another replica: moving any of them
 *  helps then. */
#define OVERFULL_UTILIZATION 1.0
/** Above this utilization a target is ranked last for another adapter. */
#define PREFERRED_UTILIZATION_MAX 0.8
#define OWNER_REPORT_TTL_MS 1500
/** A write of a target may reach the store some seconds late, and a host may
 *  then be suspended or cut off for a while. */
#define DEPARTURE_TTL_MS 300000
#define LATE_WRITE_MAX_MS 10000
/** New requests rely on an owner's report for about the run of a request. */
#define OWNER_REPORT_RELIABLE_MS 300
/** Observations younger than this are newer than an owner's report. */
#define OWNER_REPORT_LAG_MS 200
#define FAILURE_GAIN 0.25 /**< weight of the newest result in the average */
#define BLOCK_MS 400      /**< after a refused connection; doubles */
#define BLOCK_DOUBLINGS_MAX 3 /**< a crashed target is back in seconds */
#define FULL_MS 150 /**< about the time until a batch slot is free again */

/** A run of a target that said it leaves, and is no longer listed. */
typedef struct {
    uint64_t key; /**< of the target's id and the time of its start */
    uint64_t unlisted_ms;
    UT_hash_handle hh;
} departure_t;

struct sky_fleet {
    char domain[SKY_SERVICE_NAME_BYTES];
    sky_fleet_options_t options;
    uint32_t host_rank;
    uint32_t host_count;
    sky_fleet_target_t *targets;
    sky_announcements_t announcements;
    departure_t *departures; /**< oldest first */
};

sky_adapter_key_t
SkyFleet_MakeAdapterKey(const char *model, const char *adapter)
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
    self->host_count = 1;
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
    free(target->observed);
    free(target);
}

/* Forgets the departures of targets that were unlisted before. */
static void
forget_departures(sky_fleet_t *fleet, uint64_t before_ms)
{
    while (fleet->departures != NULL &&
           fleet->departures->unlisted_ms < before_ms) {
        departure_t *oldest = fleet->departures;
        HASH_DEL(fleet->departures, oldest);
        free(oldest);
    }
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
    forget_departures(fleet, UINT64_MAX);
    SkyAnnouncements_Clear(&fleet->announcements);
    free(fleet);
}

sky_fleet_target_t *
SkyFleet_FindTarget(sky_fleet_t *fleet, const char *id)
{
    uint64_t hash = XXH3_64bits(id, strlen(id));
    sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (target->hash == hash && target->listed &&
            strcmp(target->entry.id, id) == 0) {
            return target;
        }
    }
    return NULL;
}

sky_fleet_target_t *
SkyFleet_GetFirstTarget(sky_fleet_t *fleet)
{
    return fleet->targets;
}

static uint64_t
make_run_key(const char *id, uint64_t started_unix_ms)
{
    return XXH3_64bits_withSeed(id, strlen(id), started_unix_ms);
}

static bool
has_departed(const sky_fleet_t *fleet, const char *id,
             uint64_t started_unix_ms)
{
    uint64_t key = make_run_key(id, started_unix_ms);
    const departure_t *departure;
    HASH_FIND(hh, fleet->departures, &key, sizeof key, departure);
    return departure != NULL;
}

static void
record_departure(sky_fleet_t *fleet, const char *id, uint64_t started_unix_ms,
                 uint64_t now_ms)
{
    departure_t *departure = has_departed(fleet, id, started_unix_ms)
                                 ? NULL
                                 : calloc(1, sizeof *departure);
    if (departure != NULL) {
        departure->key = make_run_key(id, started_unix_ms);
        departure->unlisted_ms = now_ms;
        HASH_ADD(hh, fleet->departures, key, sizeof departure->key, departure);
    }
}

static void
unlist_target(sky_fleet_t *fleet, sky_fleet_target_t *target, uint64_t now_ms)
{
    target->listed = false;
    if (target->entry.state == SKY_TARGET_LEAVING) {
        const sky_target_entry_t *entry = &target->entry;
        record_departure(fleet, entry->id, entry->started_unix_ms, now_ms);
        /* An entry that does not state its start may be of this run. */
        record_departure(fleet, entry->id, 0, now_ms);
    }
    if (target->references == 0) {
        free_target(fleet, target);
    }
}

/* Replaces the listed adapters by those of the target's entry. */
static bool
index_residents(sky_fleet_target_t *target)
{
    const sky_target_entry_t *entry = &target->entry;
    uint32_t count = entry->resident_count;
    sky_residency_t *listed = calloc(count ? count : 1, sizeof *listed);
    if (listed == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        const sky_resident_t *resident = &entry->residents[i];
        listed[i] = (sky_residency_t){.adapter = SkyFleet_MakeAdapterKey(
                                          resident->model, resident->adapter),
                                      .version = resident->version,
                                      .present = true};
    }
    free(target->listed_adapters);
    target->listed_adapters = listed;
    target->listed_count = count;
    return true;
}

static bool
is_owner_report_current(const sky_fleet_target_t *target, uint64_t now_ms)
{
    return target->owner_report_ms > 0 &&
           now_ms < target->owner_report_ms + OWNER_REPORT_TTL_MS;
}

static bool
is_same_place(const sky_target_entry_t *one, const sky_target_entry_t *other)
{
    return strcmp(one->service, other->service) == 0 &&
           one->address.sin_addr.s_addr == other->address.sin_addr.s_addr &&
           one->address.sin_port == other->address.sin_port;
}

/* A target whose clock was set back gets by after a while; so does a run of
 * which a wrong entry came first, once no more of those come. */
sky_entry_verdict_t
SkyFleet_JudgeEntry(sky_fleet_t *fleet, const sky_target_entry_t *entry,
                    uint64_t now_ms)
{
    const sky_fleet_target_t *target = SkyFleet_FindTarget(fleet, entry->id);
    if (target == NULL) {
        return SKY_ENTRY_USABLE;
    }
    const sky_target_entry_t *known = &target->entry;
    if (entry->started_unix_ms == known->started_unix_ms) {
        bool is_disputed_for_long =
            target->conflict_ms > 0 &&
            now_ms >= target->conflict_ms + LATE_WRITE_MAX_MS;
        return is_same_place(entry, known) || is_disputed_for_long
                   ? SKY_ENTRY_USABLE
                   : SKY_ENTRY_CONFLICTING;
    }
    if (entry->started_unix_ms == 0) {
        return SKY_ENTRY_UNDATED;
    }
    return entry->started_unix_ms < known->started_unix_ms &&
                   now_ms < target->run_listed_ms + LATE_WRITE_MAX_MS
               ? SKY_ENTRY_OUTDATED
               : SKY_ENTRY_USABLE;
}

const char *
SkyFleet_GetVerdictName(sky_entry_verdict_t verdict)
{
    switch (verdict) {
    case SKY_ENTRY_USABLE:
        return "usable";
    case SKY_ENTRY_OUTDATED:
        return "outdated";
    case SKY_ENTRY_UNDATED:
        return "undated";
    case SKY_ENTRY_CONFLICTING:
        return "conflicting";
    }
    return "unknown";
}

sky_fleet_target_t *
SkyFleet_ApplyEntry(sky_fleet_t *fleet, sky_target_entry_t *entry,
                    uint64_t now_ms)
{
    sky_fleet_target_t *target = SkyFleet_FindTarget(fleet, entry->id);
    sky_entry_verdict_t verdict = SkyFleet_JudgeEntry(fleet, entry, now_ms);
    if (verdict != SKY_ENTRY_USABLE) {
        if (verdict == SKY_ENTRY_CONFLICTING && target->conflict_ms == 0) {
            target->conflict_ms = now_ms;
        }
        SkyTargetEntry_Clear(entry);
        return target;
    }
    bool is_other_run =
        target != NULL &&
        (target->entry.started_unix_ms != entry->started_unix_ms ||
         !is_same_place(&target->entry, entry));
    if (is_other_run) {
        /* The target restarted under the same id: its state is lost. */
        unlist_target(fleet, target, now_ms);
        target = NULL;
    }
    if (target == NULL) {
        target = calloc(1, sizeof *target);
        if (target == NULL) {
            return NULL;
        }
        target->listed = true;
        target->run_listed_ms = now_ms;
        target->hash = XXH3_64bits(entry->id, strlen(entry->id));
        DL_APPEND(fleet->targets, target);
    }
    bool leaves = target->entry.state == SKY_TARGET_LEAVING ||
                  has_departed(fleet, entry->id, entry->started_unix_ms);
    SkyTargetEntry_Clear(&target->entry);
    target->entry = *entry;
    if (leaves) {
        target->entry.state = SKY_TARGET_LEAVING;
    }
    target->removal_ms = 0;
    target->conflict_ms = 0;
    *entry = (sky_target_entry_t){0};
    /* The owner's report is newer than this entry. */
    bool has_newer_owner_report = is_owner_report_current(target, now_ms);
    return has_newer_owner_report || index_residents(target) ? target : NULL;
}

bool
SkyFleet_RecordLeaving(sky_fleet_target_t *target)
{
    bool is_new = target->entry.state != SKY_TARGET_LEAVING;
    target->entry.state = SKY_TARGET_LEAVING;
    return is_new;
}

bool
SkyFleet_RecordBrittle(sky_fleet_target_t *target, bool is_brittle,
                       uint32_t refusals_per_s)
{
    bool is_new = target->is_brittle != is_brittle;
    target->has_responded = true;
    target->is_brittle = is_brittle;
    target->refusals_per_s = refusals_per_s;
    return is_new;
}

void
SkyFleet_HoldSlot(sky_fleet_target_t *target, uint64_t until_ms)
{
    SkyHeldSlots_Add(&target->held_slots, until_ms);
}

void
SkyFleet_SetHostRank(sky_fleet_t *fleet, uint32_t rank, uint32_t host_count)
{
    fleet->host_rank = rank;
    fleet->host_count = host_count;
}

void
SkyFleet_RecordPause(sky_fleet_target_t *target, uint32_t pause_ms,
                     uint64_t now_ms)
{
    target->pause_until_ms =
        now_ms + (pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS);
}

void
SkyFleet_ScheduleRemoval(sky_fleet_t *fleet, const char *id, uint64_t at_ms)
{
    sky_fleet_target_t *target = SkyFleet_FindTarget(fleet, id);
    if (target != NULL && target->removal_ms == 0) {
        target->removal_ms = at_ms;
    }
}

void
SkyFleet_Tick(sky_fleet_t *fleet, uint64_t now_ms)
{
    sky_fleet_target_t *target;
    sky_fleet_target_t *next;
    DL_FOREACH_SAFE(fleet->targets, target, next)
    {
        if (target->listed && target->removal_ms > 0 &&
            target->removal_ms <= now_ms) {
            unlist_target(fleet, target, now_ms);
        }
    }
    if (now_ms > DEPARTURE_TTL_MS) {
        forget_departures(fleet, now_ms - DEPARTURE_TTL_MS);
    }
}

/* Versions announced before then are required of a target. The rest of the
 * time limit is for the wait in the target's queue, which is longer at a full
 * one. */
static uint64_t
version_required_ms(const sky_fleet_t *fleet, bool is_full, uint64_t now_ms)
{
    uint32_t grace_ms = fleet->options.version_ms / (is_full ? 4 : 2);
    return now_ms > grace_ms ? now_ms - grace_ms : 0;
}

static uint32_t
find_required_version(const sky_fleet_t *fleet,
                      const sky_fleet_target_t *target,
                      sky_adapter_key_t adapter, uint64_t now_ms)
{
    bool is_full =
        SkyFleet_GetUtilization(target, now_ms) > OVERFULL_UTILIZATION;
    return SkyAnnouncements_GetNewestBefore(
        &fleet->announcements, adapter,
        version_required_ms(fleet, is_full, now_ms));
}

void
SkyFleet_ApplyAnnouncement(sky_fleet_t *fleet, const sky_resident_t *announced,
                           uint64_t now_ms)
{
    SkyAnnouncements_Record(
        &fleet->announcements,
        SkyFleet_MakeAdapterKey(announced->model, announced->adapter),
        announced->version, version_required_ms(fleet, false, now_ms), now_ms);
}

uint32_t
SkyFleet_GetAnnouncedVersion(const sky_fleet_t *fleet,
                             sky_adapter_key_t adapter)
{
    return SkyAnnouncements_GetNewest(&fleet->announcements, adapter);
}

void
SkyFleet_ForEachAnnounced(const sky_fleet_t *fleet,
                          void (*on_version)(void *, sky_adapter_key_t,
                                             uint32_t),
                          void *context)
{
    SkyAnnouncements_ForEach(&fleet->announcements, on_version, context);
}

void
SkyFleet_RecordResidency(sky_fleet_t *fleet, sky_fleet_target_t *target,
                         const sky_residency_t *residency, uint64_t now_ms)
{
    uint32_t at = 0;
    uint32_t kept = 0;
    for (; at < target->observed_count; at++) {
        const sky_residency_t *old = &target->observed[at];
        if (old->adapter != residency->adapter && old->expires_ms > now_ms) {
            target->observed[kept++] = *old;
        }
    }
    target->observed_count = kept;
    if (kept == target->observed_capacity) {
        uint32_t capacity = kept ? kept * 2 : 8;
        sky_residency_t *grown =
            realloc(target->observed, capacity * sizeof *grown);
        if (grown == NULL) {
            return;
        }
        target->observed = grown;
        target->observed_capacity = capacity;
    }
    target->observed[kept] = *residency;
    target->observed[kept].observed_ms = now_ms;
    target->observed[kept].expires_ms =
        now_ms + fleet->options.observation_ttl_ms;
    target->observed_count = kept + 1;
}

static const sky_residency_t *
find_listed(const sky_fleet_target_t *target, sky_adapter_key_t adapter)
{
    for (uint32_t i = 0; i < target->listed_count; i++) {
        if (target->listed_adapters[i].adapter == adapter) {
            return &target->listed_adapters[i];
        }
    }
    return NULL;
}

/* Returns the version of an adapter at a target, 0 if it is not resident.
 * Observations take precedence over the listed adapters. */
static uint32_t
find_version(const sky_fleet_target_t *target, sky_adapter_key_t adapter,
             uint64_t now_ms)
{
    for (uint32_t i = 0; i < target->observed_count; i++) {
        const sky_residency_t *residency = &target->observed[i];
        if (residency->adapter == adapter && residency->expires_ms > now_ms) {
            return residency->present ? residency->version : 0;
        }
    }
    const sky_residency_t *listed = find_listed(target, adapter);
    return listed ? listed->version : 0;
}

/* Load pattern: an adapter without any requests becomes a quarter of all
 * traffic. While even the least utilized of its targets is overfull, the load
 * beyond that cannot be measured, so that the number of replicas is doubled.
 */
static uint32_t
count_replicas_wanted(const sky_fleet_target_t *target,
                      sky_adapter_key_t adapter, double utilization,
                      uint32_t replica_count)
{
    const sky_residency_t *listed = find_listed(target, adapter);
    bool is_hot = listed != NULL && listed->use_fraction >= HOT_USE_FRACTION;
    if (utilization > OVERFULL_UTILIZATION) {
        return is_hot ? replica_count : 1;
    }
    return utilization > CROWDED_UTILIZATION && is_hot ? 1 : 0;
}

/* A load takes about as long as the run of a request, so that as many requests
 * will run at once as wait now. The targets needed are as many as leave each
 * batch half full. */
uint32_t
SkyFleet_GetExtraReplicaCount(uint32_t waiting, uint32_t slots)
{
    double targets_needed = ceil(waiting / (PACKED_UTILIZATION * slots));
    return targets_needed > 1.0 ? (uint32_t)targets_needed - 1 : 0;
}

static bool
contains_hash(uint64_t hash, const uint64_t *hashes, uint32_t count)
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
    return !contains_hash(target->hash, query->excluded,
                          query->excluded_count) &&
           (query->allowed_count == 0 ||
            contains_hash(target->hash, query->allowed, query->allowed_count));
}

static bool
is_listed_for(const sky_fleet_target_t *target, const char *service)
{
    return target->listed && strcmp(target->entry.service, service) == 0;
}

static bool
is_usable(const sky_fleet_target_t *target, const char *service)
{
    return target->entry.state == SKY_TARGET_READY &&
           is_listed_for(target, service);
}

/* Returns why a listed target of the service is none of those that the query
 * is about. */
static sky_target_obstacle_t
find_query_obstacle(const sky_fleet_target_t *target,
                    const sky_fleet_query_t *query)
{
    if (target->entry.state != SKY_TARGET_READY) {
        return SKY_OBSTACLE_NOT_READY;
    }
    if (query->software != NULL &&
        strcmp(target->entry.software, query->software) != 0) {
        return SKY_OBSTACLE_SOFTWARE;
    }
    if (query->rollout != NULL &&
        !SkySoftwareRollout_MayBegin(query->rollout, query->service,
                                     target->entry.software,
                                     query->rollout_ms)) {
        return SKY_OBSTACLE_ROLLOUT;
    }
    return SKY_OBSTACLE_NONE;
}

bool
SkyFleet_IsUsable(const sky_fleet_target_t *target, const char *service)
{
    return is_usable(target, service);
}

/* Whether the target is one of those that the query is about. */
static bool
is_candidate(const sky_fleet_target_t *target, const sky_fleet_query_t *query)
{
    return is_listed_for(target, query->service) &&
           find_query_obstacle(target, query) == SKY_OBSTACLE_NONE;
}

/* Returns until when the target takes no request of this host, for a limit or
 * a pause that it named; a time that has passed if it takes one now. */
static uint64_t
wait_until(const sky_fleet_target_t *target)
{
    uint64_t limit_ms =
        target->limit.per_s > 0.0 ? target->limit_wait_until_ms : 0;
    return target->pause_until_ms > limit_ms ? target->pause_until_ms
                                             : limit_ms;
}

bool
SkyFleet_HasRecentOwnerReport(const sky_fleet_target_t *target,
                              uint64_t now_ms)
{
    return target->owner_report_ms > 0 &&
           now_ms < target->owner_report_ms + OWNER_REPORT_RELIABLE_MS;
}

double
SkyFleet_GetUtilization(const sky_fleet_target_t *target, uint64_t now_ms)
{
    bool is_current = is_owner_report_current(target, now_ms);
    uint32_t other_requests = is_current ? target->others_in_flight : 0;
    double batch_load =
        (double)(target->in_flight + other_requests) / target->entry.slots;
    double prompt_load = is_current ? target->prompt_load : 0.0;
    return prompt_load > batch_load ? prompt_load : batch_load;
}

/* Load pattern: hosts choose alike by the same reports. What this host has
 * sent since a report therefore tells what others have sent meanwhile. */
static double
expected_unreported(const sky_fleet_t *fleet, const sky_fleet_target_t *target,
                    uint64_t now_ms)
{
    double others = fmin(fleet->host_count - 1.0, UNREPORTED_FACTOR_MAX);
    return is_owner_report_current(target, now_ms) && fleet->host_count > 0
               ? target->begun_since_report * others
               : 0.0;
}

double
SkyFleet_GetExpectedTime(const sky_fleet_t *fleet,
                         const sky_fleet_target_t *target, uint64_t now_ms)
{
    double unreported = expected_unreported(fleet, target, now_ms);
    return (SkyFleet_GetUtilization(target, now_ms) +
            unreported / target->entry.slots) *
           SkyTargetPace_Get(&target->pace, now_ms);
}

/* Returns the median of the targets of the same service. */
static double
find_median_us(const sky_fleet_t *fleet, const char *service, double *means_us,
               uint64_t now_ms)
{
    uint32_t count = 0;
    const sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        double mean_us = SkyTargetPace_GetMeanUs(&target->pace, now_ms);
        if (mean_us > 0.0 && is_usable(target, service)) {
            means_us[count++] = mean_us;
        }
    }
    return SkyTargetPace_FindMedianUs(means_us, count);
}

void
SkyFleet_UpdateMedians(sky_fleet_t *fleet, uint64_t now_ms)
{
    const sky_fleet_target_t *last = NULL;
    uint32_t count;
    sky_fleet_target_t *target;
    DL_COUNT(fleet->targets, target, count);
    double *means_us = calloc(count ? count : 1, sizeof *means_us);
    if (means_us == NULL) {
        return; /* the medians stay as they are */
    }
    /* Each service is handled at its first target. */
    DL_FOREACH(fleet->targets, target)
    {
        bool is_first = true;
        for (last = fleet->targets; last != target && is_first;
             last = last->next) {
            is_first = strcmp(last->entry.service, target->entry.service) != 0;
        }
        if (!is_first) {
            continue;
        }
        double median_us =
            find_median_us(fleet, target->entry.service, means_us, now_ms);
        sky_fleet_target_t *other;
        DL_FOREACH(fleet->targets, other)
        {
            if (strcmp(other->entry.service, target->entry.service) == 0) {
                other->pace.median_us = median_us;
            }
        }
    }
    free(means_us);
}

void
SkyFleet_RecordPromptLoad(sky_fleet_target_t *target, double load)
{
    target->prompt_load = load;
}

void
SkyFleet_ApplyOwnerReport(sky_fleet_target_t *target,
                          uint32_t others_in_flight,
                          const sky_residency_t *residents, uint32_t count,
                          uint64_t now_ms)
{
    sky_residency_t *listed = calloc(count ? count : 1, sizeof *listed);
    if (listed == NULL) {
        return;
    }
    memcpy(listed, residents, count * sizeof *listed);
    free(target->listed_adapters);
    target->listed_adapters = listed;
    target->listed_count = count;
    target->others_in_flight = others_in_flight;
    target->owner_report_ms = now_ms;
    target->begun_since_report = 0;
    uint32_t kept = 0;
    for (uint32_t i = 0; i < target->observed_count; i++) {
        if (target->observed[i].observed_ms + OWNER_REPORT_LAG_MS > now_ms) {
            target->observed[kept++] = target->observed[i];
        }
    }
    target->observed_count = kept;
}

/* Rendezvous hash of a target and an adapter, the same on all hosts. */
static uint64_t
rendezvous_weight(const sky_fleet_target_t *target, sky_adapter_key_t adapter)
{
    return XXH3_64bits_withSeed(&adapter, sizeof adapter, target->hash) >> 1;
}

/* Load pattern: more adapters in use than there are adapter slots. A slot
 * cannot be freed while its adapter runs a request. The replicas of an adapter
 * are therefore filled one after the other, the first preferred target first.
 */
static double
packed_utilization(const sky_fleet_t *fleet, const sky_fleet_target_t *target,
                   sky_adapter_key_t adapter, uint64_t now_ms)
{
    double time = SkyFleet_GetExpectedTime(fleet, target, now_ms);
    double excess = time > PACKED_UTILIZATION ? (time - PACKED_UTILIZATION) /
                                                    (1.0 - PACKED_UTILIZATION)
                                              : 0.0;
    double preference_penalty =
        1.0 - (double)rendezvous_weight(target, adapter) / (double)INT64_MAX;
    return excess + PREFERENCE_WEIGHT * preference_penalty;
}

static bool
is_in_other_domain(const sky_fleet_t *fleet, const sky_fleet_target_t *target)
{
    return strcmp(target->entry.domain, fleet->domain) != 0;
}

static double
compute_score(const sky_fleet_t *fleet, const sky_fleet_target_t *target,
              bool is_packed, sky_adapter_key_t adapter, uint64_t now_ms)
{
    double score = FAILURE_WEIGHT * target->failure;
    score += is_packed ? packed_utilization(fleet, target, adapter, now_ms)
                       : SkyFleet_GetExpectedTime(fleet, target, now_ms);
    if (is_in_other_domain(fleet, target)) {
        score += is_packed ? OTHER_DOMAIN_REPLICA_WEIGHT : OTHER_DOMAIN_WEIGHT;
    }
    if (target->full_until_ms > now_ms) {
        score += FULL_WEIGHT;
    }
    return score;
}

/* Load pattern: many hosts choose at the same moment by reports that are some
 * hundred ms old, and would all choose the target that was least utilized
 * then. The older a report is, the more a random number of the request
 * decides. With this distribution (Gumbel) the choice is in proportion to
 * exp(-score / weight). */
static double
spread_offset(const sky_fleet_t *fleet, const sky_fleet_target_t *target,
              const sky_fleet_query_t *query, uint64_t now_ms)
{
    if (!is_owner_report_current(target, now_ms) || fleet->host_count == 0) {
        return 0.0;
    }
    double age_ms = (double)(now_ms - target->owner_report_ms);
    double age = fmin(age_ms / OWNER_REPORT_RELIABLE_MS, 1.0);
    double others = fmax(1.0 - KNOWN_HOSTS / fleet->host_count, 0.0);
    uint64_t hash = XXH3_64bits_withSeed(
        &query->tie_breaker, sizeof query->tie_breaker, target->hash);
    double uniform = ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
    double domain = others > 0.0 && is_in_other_domain(fleet, target)
                        ? OTHER_DOMAIN_SPREAD_WEIGHT
                        : 0.0;
    return age * (SPREAD_WEIGHT * others * log(-log(uniform)) + domain);
}

static bool
is_service_brittle(const sky_fleet_t *fleet, const sky_fleet_query_t *query)
{
    const sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (target->is_brittle && is_candidate(target, query)) {
            return true;
        }
    }
    return false;
}

/* Returns the number of the target's first slot among those of the service.
 * All hosts number them alike, but for targets that only some have in their
 * list. */
static uint32_t
find_first_slot(const sky_fleet_t *fleet, const sky_fleet_target_t *target)
{
    uint32_t first_slot = 0;
    const sky_fleet_target_t *other;
    DL_FOREACH(fleet->targets, other)
    {
        if (other->hash < target->hash &&
            is_usable(other, target->entry.service)) {
            first_slot += other->entry.slots;
        }
    }
    return first_slot;
}

/* Whether the target is brittle and has as many requests of this host as it
 * may. One that fell over and has not responded since is taken for brittle. */
static bool
is_brittle_and_full(const sky_fleet_t *fleet, const sky_fleet_target_t *target,
                    bool service_is_brittle, uint64_t now_ms)
{
    bool is_brittle =
        target->is_brittle || (service_is_brittle && !target->has_responded);
    return is_brittle &&
           (target->brittle_wait_until_ms > now_ms ||
            target->in_flight +
                    SkyHeldSlots_Count(&target->held_slots, now_ms) >=
                SkyBrittleTarget_MaxInFlight(
                    target->entry.slots, find_first_slot(fleet, target),
                    fleet->host_rank, fleet->host_count));
}

/** A target that a request may be sent to. Lower scores are better. */
typedef struct {
    sky_fleet_target_t *target; /**< NULL: none yet */
    double score;
    uint32_t version;
    bool is_version_required;
} candidate_t;

static void
keep_better(candidate_t *best, const candidate_t *candidate)
{
    if (best->target == NULL || candidate->score < best->score) {
        *best = *candidate;
    }
}

const char *
SkyFleet_GetObstacleName(sky_target_obstacle_t obstacle)
{
    switch (obstacle) {
    case SKY_OBSTACLE_NONE:
        return "none";
    case SKY_OBSTACLE_NOT_READY:
        return "not_ready";
    case SKY_OBSTACLE_SOFTWARE:
        return "software_version";
    case SKY_OBSTACLE_ROLLOUT:
        return "software_not_introduced";
    case SKY_OBSTACLE_ADAPTER_MISSING:
        return "adapter_not_resident";
    case SKY_OBSTACLE_OLD_VERSION:
        return "old_adapter_version";
    case SKY_OBSTACLE_BLOCKED:
        return "blocked";
    case SKY_OBSTACLE_EXCLUDED:
        return "excluded";
    case SKY_OBSTACLE_LIMITED:
        return "limited";
    case SKY_OBSTACLE_PAUSED:
        return "paused";
    case SKY_OBSTACLE_BRITTLE_FULL:
        return "brittle_and_full";
    }
    return "unknown";
}

/* Passes a target that SkyFleet_ChooseTarget() looked at to the observer. */
static void
notify_observer(const sky_fleet_t *fleet, const sky_fleet_query_t *query,
                const sky_fleet_candidate_t *seen, uint64_t now_ms)
{
    if (query->on_candidate == NULL) {
        return;
    }
    sky_fleet_candidate_t candidate = *seen;
    candidate.utilization = SkyFleet_GetUtilization(seen->target, now_ms);
    candidate.expected_time =
        SkyFleet_GetExpectedTime(fleet, seen->target, now_ms);
    candidate.pace = SkyTargetPace_Get(&seen->target->pace, now_ms);
    query->on_candidate(query->on_candidate_context, &candidate);
}

void
SkyFleet_ChooseTarget(const sky_fleet_t *fleet, const sky_fleet_query_t *query,
                      uint64_t now_ms, sky_fleet_choice_t *choice)
{
    sky_adapter_key_t key =
        query->engine ? SkyFleet_MakeAdapterKey(query->model, query->adapter)
                      : 0;
    bool needs_adapter = query->engine && query->adapter[0] != '\0';
    /* A resident model is not loaded again for a newer version. */
    uint32_t newest_version =
        needs_adapter ? SkyFleet_GetAnnouncedVersion(fleet, key) : 0;
    candidate_t best = {0};
    candidate_t best_spread = {0};
    uint32_t replica_count = 0;
    bool service_is_brittle = is_service_brittle(fleet, query);
    *choice = (sky_fleet_choice_t){0};
    sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (!is_listed_for(target, query->service)) {
            continue;
        }
        sky_fleet_candidate_t seen = {
            .target = target, .obstacle = find_query_obstacle(target, query)};
        if (seen.obstacle != SKY_OBSTACLE_NONE) {
            notify_observer(fleet, query, &seen, now_ms);
            continue;
        }
        choice->has_usable_target = true;
        uint32_t version =
            query->engine ? find_version(target, key, now_ms) : 1;
        bool is_current = version >= newest_version;
        uint32_t required_version =
            newest_version > 0
                ? find_required_version(fleet, target, key, now_ms)
                : 0;
        seen.version = version;
        seen.required_version = required_version;
        if (version == 0 || version < required_version) {
            seen.obstacle = version == 0 ? SKY_OBSTACLE_ADAPTER_MISSING
                                         : SKY_OBSTACLE_OLD_VERSION;
            notify_observer(fleet, query, &seen, now_ms);
            continue;
        }
        bool is_blocked = target->blocked_until_ms > now_ms;
        choice->has_blocked_target = choice->has_blocked_target || is_blocked;
        if (is_blocked || !is_allowed(query, target)) {
            seen.obstacle =
                is_blocked ? SKY_OBSTACLE_BLOCKED : SKY_OBSTACLE_EXCLUDED;
            notify_observer(fleet, query, &seen, now_ms);
            continue;
        }
        uint64_t wait_until_ms = wait_until(target);
        if (wait_until_ms > now_ms) {
            if (choice->limit_wait_until_ms == 0 ||
                wait_until_ms < choice->limit_wait_until_ms) {
                choice->limit_wait_until_ms = wait_until_ms;
            }
            seen.obstacle = target->pause_until_ms == wait_until_ms
                                ? SKY_OBSTACLE_PAUSED
                                : SKY_OBSTACLE_LIMITED;
            notify_observer(fleet, query, &seen, now_ms);
            continue;
        }
        if (is_brittle_and_full(fleet, target, service_is_brittle, now_ms)) {
            choice->has_full_brittle_target = true;
            seen.obstacle = SKY_OBSTACLE_BRITTLE_FULL;
            notify_observer(fleet, query, &seen, now_ms);
            continue;
        }
        replica_count++;
        double score =
            compute_score(fleet, target, needs_adapter, key, now_ms) +
            (is_current ? 0 : 1.0);
        /* Breaks ties between equal scores. */
        score += (double)((target->hash ^ query->tie_breaker) % 1024) / 1.0e5;
        candidate_t candidate = {target, score, version, required_version > 0};
        keep_better(&best, &candidate);
        candidate.score += spread_offset(fleet, target, query, now_ms);
        keep_better(&best_spread, &candidate);
        seen.score = score;
        seen.spread_score = candidate.score;
        notify_observer(fleet, query, &seen, now_ms);
    }
    if (best.target != NULL &&
        SkyFleet_GetExpectedTime(fleet, best.target, now_ms) >
            SPREAD_TIME_MIN) {
        best = best_spread;
        choice->is_spread = true;
    }
    choice->target = best.target;
    choice->is_adapter_missing = query->engine && replica_count == 0;
    choice->batch_utilization =
        choice->target ? SkyFleet_GetUtilization(choice->target, now_ms) : 0.0;
    choice->extra_replicas =
        choice->target != NULL && needs_adapter
            /* Not by the expected time: what others may have sent since the
             * report is no reason to load weights. */
            ? count_replicas_wanted(choice->target, key,
                                    choice->batch_utilization, replica_count)
            : 0;
    if (newest_version > 0 && choice->target != NULL) {
        bool is_checked =
            best.is_version_required || best.version >= newest_version;
        choice->version = is_checked ? best.version : 0;
    }
}

/* Full and limited targets rank below all others. */
static uint64_t
compute_rank(const sky_fleet_t *fleet, const sky_fleet_target_t *target,
             sky_adapter_key_t adapter, uint64_t now_ms)
{
    uint64_t weight = rendezvous_weight(target, adapter);
    bool is_full = SkyFleet_GetExpectedTime(fleet, target, now_ms) >
                   PREFERRED_UTILIZATION_MAX;
    return is_full || target->limit.per_s > 0.0 ? weight
                                                : weight | (UINT64_C(1) << 63);
}

static bool
can_load_adapter(const sky_fleet_target_t *target,
                 const sky_fleet_query_t *query, sky_adapter_key_t adapter,
                 uint64_t now_ms)
{
    return is_candidate(target, query) && target->blocked_until_ms <= now_ms &&
           wait_until(target) <= now_ms && is_allowed(query, target) &&
           !(query->without_adapter &&
             find_version(target, adapter, now_ms) > 0);
}

uint32_t
SkyFleet_RankPreferredTargets(const sky_fleet_t *fleet,
                              const sky_fleet_query_t *query, uint64_t now_ms,
                              sky_fleet_target_t **preferred,
                              uint32_t max_count)
{
    sky_adapter_key_t adapter =
        SkyFleet_MakeAdapterKey(query->model, query->adapter);
    uint32_t count = 0;
    sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (!can_load_adapter(target, query, adapter, now_ms)) {
            continue;
        }
        uint64_t rank = compute_rank(fleet, target, adapter, now_ms);
        uint32_t at = count < max_count ? count++ : max_count;
        while (at > 0 && rank > compute_rank(fleet, preferred[at - 1], adapter,
                                             now_ms)) {
            if (at < max_count) {
                preferred[at] = preferred[at - 1];
            }
            at--;
        }
        if (at < max_count) {
            preferred[at] = target;
        }
    }
    return count;
}

const sky_fleet_target_t *
SkyFleet_GetUsable(const sky_fleet_t *fleet, const char *service,
                   uint32_t index)
{
    const sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (is_usable(target, service) && index-- == 0) {
            return target;
        }
    }
    return NULL;
}

bool
SkyFleet_HasIntroducedTarget(const sky_fleet_t *fleet, const char *service,
                             const sky_software_rollout_t *rollout,
                             uint64_t rollout_ms)
{
    const sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (is_usable(target, service) &&
            SkySoftwareRollout_MayBegin(rollout, service,
                                        target->entry.software, rollout_ms)) {
            return true;
        }
    }
    return false;
}

uint32_t
SkyFleet_CountUsable(const sky_fleet_t *fleet, const char *service)
{
    uint32_t count = 0;
    const sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        count += is_usable(target, service) ? 1 : 0;
    }
    return count;
}

void
SkyFleet_ClearFailures(sky_fleet_t *fleet, const char *service)
{
    sky_fleet_target_t *target;
    DL_FOREACH(fleet->targets, target)
    {
        if (strcmp(target->entry.service, service) == 0) {
            target->failure = 0.0;
            target->refused_connections = 0;
            target->blocked_until_ms = 0;
        }
    }
}

void
SkyFleet_BeginRequest(sky_fleet_target_t *target)
{
    target->references++;
    target->in_flight++;
    target->begun_since_report++;
}

static void
record_result(const sky_fleet_t *fleet, sky_fleet_target_t *target,
              sky_exchange_result_t result, uint64_t now_ms)
{
    switch (result) {
    case SKY_EXCHANGE_OK:
        target->failure -= FAILURE_GAIN * target->failure;
        target->refused_connections = 0;
        target->blocked_until_ms = 0;
        break;
    case SKY_EXCHANGE_FAILED:
        target->failure += FAILURE_GAIN * (1.0 - target->failure);
        break;
    case SKY_EXCHANGE_TARGET_FULL:
        target->full_until_ms = now_ms + FULL_MS;
        target->brittle_wait_until_ms =
            now_ms + SkyBrittleTarget_PauseMs(target->refusals_per_s,
                                              fleet->host_count);
        break;
    case SKY_EXCHANGE_UNREACHABLE:
        target->blocked_until_ms =
            now_ms + ((uint64_t)BLOCK_MS << target->refused_connections);
        if (target->refused_connections < BLOCK_DOUBLINGS_MAX) {
            target->refused_connections++;
        }
        break;
    case SKY_EXCHANGE_INCONCLUSIVE:
        break;
    }
}

void
SkyFleet_EndRequest(sky_fleet_t *fleet, sky_fleet_target_t *target,
                    sky_exchange_result_t result, uint64_t now_ms)
{
    target->in_flight--;
    target->references--;
    record_result(fleet, target, result, now_ms);
    if (!target->listed && target->references == 0) {
        free_target(fleet, target);
    }
}
