/**
 * @file fleet.h
 * @brief The targets known to this host, and the choice of one for a request.
 *
 * Which adapters are resident at a target is known from the list of targets,
 * from owners' reports and from the results of requests. The module does no
 * I/O and reads neither a clock nor random numbers: times are milliseconds of
 * the caller's clock, and the caller passes in a number that breaks ties.
 */
#ifndef SKY_DECIDE_FLEET_H
#define SKY_DECIDE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/announcements.h"
#include "decide/brittle_target.h"
#include "decide/request_facts.h"
#include "decide/software_rollout.h"
#include "decide/target_entry.h"
#include "decide/target_limit.h"
#include "decide/target_pace.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_fleet sky_fleet_t;

sky_adapter_key_t SkyFleet_MakeAdapterKey(const char *model,
                                          const char *adapter);

/** What is known of one adapter at one target. */
typedef struct {
    sky_adapter_key_t adapter;
    uint32_t version;
    bool present;
    float use_fraction; /**< fraction of the uses of its target's adapters, by
                      the owner's newest report */
    uint64_t observed_ms;
    uint64_t expires_ms; /**< an observation overrides the list until then */
} sky_residency_t;

typedef struct sky_fleet_target {
    sky_target_entry_t entry;
    uint64_t hash;          /**< of its id */
    bool listed;            /**< false: removed, kept for its requests */
    uint64_t run_listed_ms; /**< when this run was first listed */
    uint64_t conflict_ms; /**< first conflicting entry since the last one that
                               was applied; 0: none */
    uint64_t removal_ms; /**< missing from the list, removed then; 0: listed */
    uint32_t references; /**< requests of this host that refer to it */
    uint32_t in_flight;  /**< requests of this host that are running on it */
    uint32_t others_in_flight;   /**< requests of all other hosts on it */
    uint32_t begun_since_report; /**< requests of this host, since the last
                                      report of its owner */
    uint64_t owner_report_ms;    /**< last report of its owner; 0: none */
    double prompt_load; /**< part of the time that it reads prompts, 0 to 1,
                             by that report */
    sky_target_pace_t pace;
    double failure; /**< moving average of failed requests, 0 to 1 */
    uint32_t refused_connections; /**< in a row; stops at a maximum */
    uint64_t blocked_until_ms;    /**< after a refused connection */
    uint64_t full_until_ms; /**< it refused a request for lack of capacity */
    uint64_t last_byte_ms;  /**< last byte received from it by this host */
    uint64_t heard_by_others_ms;  /**< by another host that was asked */
    sky_target_limit_t limit;     /**< as it names it to this host */
    uint64_t limit_wait_until_ms; /**< gets no request before, if limited */
    uint64_t pause_until_ms; /**< it wants no requests of this host before */
    bool is_brittle;         /**< by its newest response */
    /** A target that has not responded yet counts as brittle if another one of
     *  its service is. */
    bool has_responded;
    uint32_t refusals_per_s;        /**< that it bears, if it is brittle */
    uint64_t brittle_wait_until_ms; /**< gets no request before, if brittle */
    sky_held_slots_t held_slots;    /**< by requests that were given up */
    uint64_t limit_owner_silent_until_ms; /**< its owner is not asked before */
    sky_residency_t
        *listed_adapters; /**< by its entry or its owner's report */
    uint32_t listed_count;
    sky_residency_t *observed; /**< by results of requests and loads */
    uint32_t observed_count;
    uint32_t observed_capacity;
    struct sky_fleet_target *prev;
    struct sky_fleet_target *next;
} sky_fleet_target_t;

typedef struct {
    const char *domain;  /**< failure domain of this host */
    uint32_t version_ms; /**< time limit to serve an announced version */
    uint32_t
        observation_ttl_ms; /**< how long an observation overrides the list */
} sky_fleet_options_t;

sky_result_t SkyFleet_Create(const sky_fleet_options_t *options,
                             sky_fleet_t **fleet);
void SkyFleet_Free(sky_fleet_t *fleet);

/** What an entry says of the target that is known under its id. */
typedef enum {
    SKY_ENTRY_USABLE,
    SKY_ENTRY_OUTDATED,    /**< a late write of an earlier run */
    SKY_ENTRY_UNDATED,     /**< does not state its start, as the known run does
                            */
    SKY_ENTRY_CONFLICTING, /**< the run is known at another service or address
                            */
} sky_entry_verdict_t;

sky_entry_verdict_t SkyFleet_JudgeEntry(sky_fleet_t *fleet,
                                        const sky_target_entry_t *entry,
                                        uint64_t now_ms);
/** @return the verdict's name in log lines. */
const char *SkyFleet_GetVerdictName(sky_entry_verdict_t verdict);
/** Adds or updates a target by its entry in the list; takes over the memory of
 *  @p entry and clears it. A target that leaves does so for the rest of its
 *  run, also if an older entry of it comes back, before or after it was
 *  removed. An entry that is not usable changes nothing.
 *  @return the target that is known under the id, or NULL if memory ran out */
sky_fleet_target_t *SkyFleet_ApplyEntry(sky_fleet_t *fleet,
                                        sky_target_entry_t *entry,
                                        uint64_t now_ms);
/** A target said in a response that it leaves: it gets no more requests in
 * this run. @return false if that was known */
bool SkyFleet_RecordLeaving(sky_fleet_target_t *target);
/** A target wants no requests of this host for @p pause_ms; a later word of it
 *  replaces an earlier one, and a pause is bounded. */
void SkyFleet_RecordPause(sky_fleet_target_t *target, uint32_t pause_ms,
                          uint64_t now_ms);
/** A target said in a response whether it is brittle, and how many refusals a
 *  second it bears. @return whether that is new */
bool SkyFleet_RecordBrittle(sky_fleet_target_t *target, bool is_brittle,
                            uint32_t refusals_per_s);
/** A request that was sent to the target is given up before its response
 * ended; the target may run it until @p until_ms. */
void SkyFleet_HoldSlot(sky_fleet_target_t *target, uint64_t until_ms);
/** Sets how many hosts share what brittle targets take, and this host's rank
 *  among them, below @p host_count; at first it is the only one. */
void SkyFleet_SetHostRank(sky_fleet_t *fleet, uint32_t rank,
                          uint32_t host_count);
/** A target is missing from the list: removes it at @p at_ms, unless its entry
 *  comes back. */
void SkyFleet_ScheduleRemoval(sky_fleet_t *fleet, const char *id,
                              uint64_t at_ms);
/** Removes the targets whose removal is due. */
void SkyFleet_Tick(sky_fleet_t *fleet, uint64_t now_ms);
sky_fleet_target_t *SkyFleet_FindTarget(sky_fleet_t *fleet, const char *id);
/** @return first target, listed or not; follow `next`. */
sky_fleet_target_t *SkyFleet_GetFirstTarget(sky_fleet_t *fleet);

/** Applies an announced version; one below the known version is ignored. */
void SkyFleet_ApplyAnnouncement(sky_fleet_t *fleet,
                                const sky_resident_t *announced,
                                uint64_t now_ms);
/** @return the announced version of an adapter, 0 if none. */
uint32_t SkyFleet_GetAnnouncedVersion(const sky_fleet_t *fleet,
                                      sky_adapter_key_t adapter);
/** Calls @p on_version for each announced version. */
void SkyFleet_ForEachAnnounced(const sky_fleet_t *fleet,
                               void (*on_version)(void *context,
                                                  sky_adapter_key_t adapter,
                                                  uint32_t version),
                               void *context);
/** Records whether an adapter is resident at a target, as observed by the
 *  result of a request or a load. */
void SkyFleet_RecordResidency(sky_fleet_t *fleet, sky_fleet_target_t *target,
                              const sky_residency_t *residency,
                              uint64_t now_ms);

/** The first reason that rules a target out; the order is that of the checks.
 */
typedef enum {
    SKY_OBSTACLE_NONE,
    SKY_OBSTACLE_NOT_READY, /**< it leaves */
    SKY_OBSTACLE_SOFTWARE,  /**< another software version than required */
    SKY_OBSTACLE_ROLLOUT,   /**< its software may not begin streams yet */
    SKY_OBSTACLE_ADAPTER_MISSING, /**< model or adapter is not resident */
    SKY_OBSTACLE_OLD_VERSION,     /**< of the adapter */
    SKY_OBSTACLE_BLOCKED,         /**< this host could not connect to it */
    SKY_OBSTACLE_EXCLUDED,        /**< by the query */
    SKY_OBSTACLE_LIMITED,         /**< by a limit that it named */
    SKY_OBSTACLE_PAUSED,          /**< by a pause that it named */
    SKY_OBSTACLE_BRITTLE_FULL,    /**< brittle, with enough of this host's
                                   * requests
                                   */
} sky_target_obstacle_t;

/** @return the obstacle's name for output, for example "not_ready". */
const char *SkyFleet_GetObstacleName(sky_target_obstacle_t obstacle);

/** A target of the service as SkyFleet_ChooseTarget() sees it. */
typedef struct {
    const sky_fleet_target_t *target;
    sky_target_obstacle_t obstacle;
    uint32_t
        version; /**< of the adapter there; 0: not resident or not known */
    uint32_t required_version; /**< 0: any */
    double utilization;
    double expected_time;
    double pace;
    double score;        /**< the lowest is best; set without an obstacle */
    double spread_score; /**< decides while the best target is busy */
} sky_fleet_candidate_t;

typedef struct {
    const char *service;
    bool engine;              /**< the service runs models */
    const char *model;        /**< "" with plain services */
    const char *adapter;      /**< "" for the model alone */
    const uint64_t *excluded; /**< hashes of targets to leave out */
    uint32_t excluded_count;
    const uint64_t *allowed; /**< hashes of the targets to choose from */
    uint32_t allowed_count;  /**< 0: any target is allowed */
    const char *software;    /**< only targets of this version; NULL: any */
    /** Only targets of versions that may begin streams at rollout_ms; NULL:
     *  any. */
    const sky_software_rollout_t *rollout;
    uint64_t rollout_ms;  /**< on the clock of the rollout */
    uint64_t tie_breaker; /**< any number; breaks ties between targets */
    bool
        without_adapter; /**< rank targets where the adapter is not resident */
    /** SkyFleet_ChooseTarget() calls it for each listed target of the service;
     *  NULL: nobody observes the choice. */
    void (*on_candidate)(void *context,
                         const sky_fleet_candidate_t *candidate);
    void *on_candidate_context;
} sky_fleet_query_t;

typedef struct {
    sky_fleet_target_t *target; /**< NULL: no target can run it now */
    uint32_t version;           /**< required of the target; 0: any */
    bool has_usable_target;     /**< the service has a ready target */
    bool is_adapter_missing;    /**< resident at no target it may run on */
    /** A target was left out as this host could not connect to it. */
    bool has_blocked_target;
    /** A brittle target was left out as it has enough of this host's requests.
     */
    bool has_full_brittle_target;
    uint32_t
        extra_replicas; /**< further replicas of the adapter to load at once */
    double batch_utilization; /**< utilization of the chosen target's batch */
    bool is_spread; /**< chosen by the spread score, as the best was busy */
    /** When the first of the targets that were left out for their limit or a
     *  pause takes a request; 0: none was. */
    uint64_t limit_wait_until_ms;
} sky_fleet_choice_t;

/** Applies the report of a target's owner.
 *  @param others_in_flight requests on it, of all hosts but this one.
 *  @param residents all its resident adapters, copied. */
void SkyFleet_ApplyOwnerReport(sky_fleet_target_t *target,
                               uint32_t others_in_flight,
                               const sky_residency_t *residents,
                               uint32_t count, uint64_t now_ms);

/** Records the part of the time that the target reads prompts, 0 to 1, by its
 *  owner's newest report. */
void SkyFleet_RecordPromptLoad(sky_fleet_target_t *target, double load);

/** Computes the median of each service's targets, which their paces relate to.
 *  Its cost grows with the number of targets: to be called a few times a
 *  second. */
void SkyFleet_UpdateMedians(sky_fleet_t *fleet, uint64_t now_ms);

/** @return whether the owner's report is so recent that a new request can rely
 *  on it. */
bool SkyFleet_HasRecentOwnerReport(const sky_fleet_target_t *target,
                                   uint64_t now_ms);

/** @return the larger of two: requests of all hosts per batch slot of the
 *          target, and the part of its time that it reads prompts; 1 is full.
 */
double SkyFleet_GetUtilization(const sky_fleet_target_t *target,
                               uint64_t now_ms);

/** @return utilization, with what other hosts are expected to have sent since
 *          the owner's report, times pace. Targets are ranked by it. */
double SkyFleet_GetExpectedTime(const sky_fleet_t *fleet,
                                const sky_fleet_target_t *target,
                                uint64_t now_ms);

/** Chooses a target that can run a request now. */
void SkyFleet_ChooseTarget(const sky_fleet_t *fleet,
                           const sky_fleet_query_t *query, uint64_t now_ms,
                           sky_fleet_choice_t *choice);

/** Load pattern: an unused adapter becomes a quarter of all traffic, and its
 *  requests wait for the first load. @return number of replicas to load beside
 *  the first, when @p waiting requests wait for it, at targets with @p slots
 *  batch slots. */
uint32_t SkyFleet_GetExtraReplicaCount(uint32_t waiting, uint32_t slots);

/** Ranks the targets of a query by preference for the load of its adapter,
 *  best first; the same on every host with the same list.
 *  @return number of targets written, @p max_count or fewer. */
uint32_t SkyFleet_RankPreferredTargets(const sky_fleet_t *fleet,
                                       const sky_fleet_query_t *query,
                                       uint64_t now_ms,
                                       sky_fleet_target_t **preferred,
                                       uint32_t max_count);

/** Result of an exchange with a target. */
typedef enum {
    SKY_EXCHANGE_OK,
    SKY_EXCHANGE_FAILED,       /**< broken off, malformed, or a target error */
    SKY_EXCHANGE_TARGET_FULL,  /**< refused for lack of capacity */
    SKY_EXCHANGE_UNREACHABLE,  /**< no connection */
    SKY_EXCHANGE_INCONCLUSIVE, /**< cancelled by the caller, or not its fault
                                */
} sky_exchange_result_t;

/** @return whether it is a listed target of the service that takes requests.
 */
bool SkyFleet_IsUsable(const sky_fleet_target_t *target, const char *service);
/** @return number of listed targets of the service that take requests. */
uint32_t SkyFleet_CountUsable(const sky_fleet_t *fleet, const char *service);
/** @return whether one of them runs a version that may begin streams at
 *          @p rollout_ms, on the clock of the rollout. */
bool SkyFleet_HasIntroducedTarget(const sky_fleet_t *fleet,
                                  const char *service,
                                  const sky_software_rollout_t *rollout,
                                  uint64_t rollout_ms);
/** @return one of them, by its index; NULL: there are fewer. */
const sky_fleet_target_t *SkyFleet_GetUsable(const sky_fleet_t *fleet,
                                             const char *service,
                                             uint32_t index);
/** Forgets that requests to the targets of the service have failed. */
void SkyFleet_ClearFailures(sky_fleet_t *fleet, const char *service);

/** Counts a request that is sent to a target; the target stays valid until
 *  SkyFleet_EndRequest(). */
void SkyFleet_BeginRequest(sky_fleet_target_t *target);
/** Ends a request and records its result. */
void SkyFleet_EndRequest(sky_fleet_t *fleet, sky_fleet_target_t *target,
                         sky_exchange_result_t result, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
