/**
 * @file fleet.h
 * @brief The targets as this host knows them, and which one gets a request.
 *
 * Beliefs come from the list of targets, from owners' answers and from what
 * targets did with requests. No input or output, clock or randomness: times
 * are milliseconds of the caller's clock, and @p spread stands for chance.
 */
#ifndef SKY_DECIDE_FLEET_H
#define SKY_DECIDE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/request_facts.h"
#include "decide/target_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_fleet sky_fleet_t;

/** Names an adapter of a model; the model alone has an adapter "". */
typedef uint64_t sky_adapter_key_t;

sky_adapter_key_t SkyFleet_KeyOf(const char *model, const char *adapter);

/** What is believed of one adapter at one target. */
typedef struct {
    sky_adapter_key_t adapter;
    uint32_t version;
    bool present;
    float share; /**< of the uses of its target's adapters, as last told */
    uint64_t learned_ms;
    uint64_t until_ms; /**< learned beliefs yield to the list after this */
} sky_belief_t;

typedef struct sky_fleet_target {
    sky_target_entry_t entry;
    uint64_t hash;       /**< of its id */
    bool listed;         /**< false: gone, kept for its requests */
    uint64_t drop_at_ms; /**< missing from the list; gone at this time */
    uint32_t references; /**< requests of this host on it */
    uint32_t in_flight;  /**< of them, being worked on */
    uint32_t others;     /**< requests of other hosts on it */
    uint64_t told_at_ms; /**< when its owner told that, and what it holds */
    double failure;      /**< share of late failures, 0 to 1 */
    uint32_t refusals;   /**< connections refused in a row */
    uint64_t blocked_until_ms; /**< not reachable a moment ago */
    uint64_t full_until_ms;    /**< it refused work for want of room */
    uint64_t heard_ms;         /**< last byte that this host had from it */
    sky_belief_t *listed_adapters;
    uint32_t listed_count;
    sky_belief_t *learned;
    uint32_t learned_count;
    uint32_t learned_capacity;
    struct sky_fleet_target *prev;
    struct sky_fleet_target *next;
} sky_fleet_target_t;

typedef struct {
    const char *domain;  /**< failure domain of this host */
    uint32_t version_ms; /**< time to serve an announced version */
    uint32_t belief_ms;  /**< how long a learned belief beats the list */
} sky_fleet_options_t;

sky_result_t SkyFleet_Create(const sky_fleet_options_t *options,
                             sky_fleet_t **fleet);
void SkyFleet_Free(sky_fleet_t *fleet);

/** Takes an entry of the list; the entry is moved out of @p entry.
 *  @return the target, or NULL if memory ran out. */
sky_fleet_target_t *SkyFleet_Apply(sky_fleet_t *fleet,
                                   sky_target_entry_t *entry, uint64_t now_ms);
/** A target is missing from the list: it is gone at @p at_ms. */
void SkyFleet_Drop(sky_fleet_t *fleet, const char *id, uint64_t at_ms);
/** Drops what is due. */
void SkyFleet_Tick(sky_fleet_t *fleet, uint64_t now_ms);
sky_fleet_target_t *SkyFleet_Find(sky_fleet_t *fleet, const char *id);
/** @return first target, listed or not; follow `next`. */
sky_fleet_target_t *SkyFleet_First(sky_fleet_t *fleet);

/** Takes an announced version; lower ones than known are ignored. */
void SkyFleet_Announce(sky_fleet_t *fleet, const sky_resident_t *announced,
                       uint64_t now_ms);
/** @return the announced version of an adapter, 0 if none. */
uint32_t SkyFleet_Announced(const sky_fleet_t *fleet,
                            sky_adapter_key_t adapter);
/** Calls @p visit for each announced version. */
void SkyFleet_ForEachAnnounced(const sky_fleet_t *fleet,
                               void (*visit)(void *context,
                                             sky_adapter_key_t adapter,
                                             uint32_t version),
                               void *context);
/** Notes what an answer showed of an adapter at a target. */
void SkyFleet_Learn(sky_fleet_t *fleet, sky_fleet_target_t *target,
                    const sky_belief_t *belief, uint64_t now_ms);

typedef struct {
    const char *service;
    bool engine;           /**< the service runs models */
    const char *model;     /**< "" with plain services */
    const char *adapter;   /**< "" for the model alone */
    const uint64_t *avoid; /**< hashes of targets that failed it */
    uint32_t avoid_count;
    const uint64_t *only; /**< hashes of targets it is confined to */
    uint32_t only_count;  /**< 0: any target */
    uint64_t spread;      /**< any number, breaks ties */
    bool lacking;         /**< rank only targets that lack the adapter */
} sky_fleet_query_t;

typedef struct {
    sky_fleet_target_t *target; /**< NULL: no target can take it now */
    uint32_t version;           /**< the target must have; 0: any */
    bool usable_targets;        /**< the service has any target at all */
    bool misses_adapter;        /**< none of them holds the adapter */
    uint32_t copies; /**< of its adapter that would help; load them at once */
    double fill;     /**< requests on the target for each slot of its batch */
} sky_fleet_choice_t;

/** Takes what a target's owner told: requests of all hosts but this one, and
 *  all adapters that it holds. */
void SkyFleet_TakeOwnersWord(sky_fleet_target_t *target, uint32_t others,
                             const sky_belief_t *held, uint32_t count,
                             uint64_t now_ms);

/** @return whether its owner told so lately that a request can rely on it. */
bool SkyFleet_IsConfirmed(const sky_fleet_target_t *target, uint64_t now_ms);

/** @return requests on a target for each slot of its batch. */
double SkyFleet_Fill(const sky_fleet_target_t *target, uint64_t now_ms);

/** Chooses a target that can run a request now. */
void SkyFleet_Choose(const sky_fleet_t *fleet, const sky_fleet_query_t *query,
                     uint64_t now_ms, sky_fleet_choice_t *choice);

/** Load pattern: an adapter that nobody used becomes a quarter of all traffic,
 * and its requests wait for the first load. @return further copies to load
 * beside it when so many wait, for targets of @p slots. */
uint32_t SkyFleet_CopiesForWaiting(uint32_t waiting, uint32_t slots);

/** Ranks the targets of a query where an adapter is to be loaded, best first;
 * the same on every host with the same list. @return how many were written. */
uint32_t SkyFleet_RankHomes(const sky_fleet_t *fleet,
                            const sky_fleet_query_t *query, uint64_t now_ms,
                            sky_fleet_target_t **homes, uint32_t most);

typedef enum {
    SKY_FARED_WELL,
    SKY_FARED_FAILED,      /**< broke off, garbled, or failed by itself */
    SKY_FARED_FULL,        /**< refused for want of room */
    SKY_FARED_UNREACHABLE, /**< no connection */
    SKY_FARED_UNKNOWN,     /**< given up by the caller, or not its fault */
} sky_fared_t;

/** A request is sent to a target; keeps it until SkyFleet_End(). */
void SkyFleet_Begin(sky_fleet_target_t *target);
void SkyFleet_End(sky_fleet_t *fleet, sky_fleet_target_t *target,
                  sky_fared_t fared, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
