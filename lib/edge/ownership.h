/**
 * @file ownership.h
 * @brief Who gives orders to which target.
 *
 * Targets fall into shards by a hash of their ids; the shards are the
 * partitions of a group of the store, which deals them evenly to its members.
 * The generation at which the store dealt a shard to this host is its fencing
 * token. A new owner gives no order for a lease, so that the host before it
 * has learnt that it owns the shard no more.
 */
#ifndef SKY_EDGE_OWNERSHIP_H
#define SKY_EDGE_OWNERSHIP_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/fanout.h"
#include "edge/host_settings.h"
#include "platform/store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_ownership sky_ownership_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_store_t *store;
    /** Shards or members changed. */
    void (*on_change)(void *context);
    void *context;
} sky_ownership_options_t;

sky_result_t SkyOwnership_Create(const sky_ownership_options_t *options,
                                 sky_ownership_t **ownership);
void SkyOwnership_Free(sky_ownership_t *ownership);

/** @return shard of a target by the hash of its id. */
uint32_t SkyOwnership_ShardOf(const sky_ownership_t *ownership, uint64_t hash);

/** Whether this host may give orders for a shard now. @param fence gets the
 *  fencing token. */
bool SkyOwnership_MayOrder(const sky_ownership_t *ownership, uint32_t shard,
                           uint64_t *fence);
/** @return whether the shard is dealt to this host, perhaps too lately. */
bool SkyOwnership_IsMine(const sky_ownership_t *ownership, uint32_t shard);
/** A target has seen a higher token than this host's for the shard. */
void SkyOwnership_NoteFenced(sky_ownership_t *ownership, uint32_t shard);
/** This host stood still: its shards may have been dealt anew meanwhile. */
void SkyOwnership_NotePause(sky_ownership_t *ownership);
/** Leaves the group, so that others get its shards at once; while the store is
 *  away, as soon as it answers again. */
void SkyOwnership_Leave(sky_ownership_t *ownership);

/** Whether this host reads the owners from the store as soon as they change;
 *  at first every host does. Others wait a little for a peer to tell. */
void SkyOwnership_SetReader(sky_ownership_t *ownership, bool reader);
/** @return generation of the group at which the owners were read. */
uint64_t SkyOwnership_OwnersGeneration(const sky_ownership_t *ownership);
/** @return the owners, if they are newer than a generation, for a peer. */
json_t *SkyOwnership_Export(const sky_ownership_t *ownership,
                            uint64_t generation);
/** Takes owners from a peer, if they are newer. A shard that another host has
 *  by them is no longer this one's. */
void SkyOwnership_Import(sky_ownership_t *ownership, const json_t *owners);

/** @return control address of the shard's owner, NULL if it is not known. */
const char *SkyOwnership_OwnerOf(const sky_ownership_t *ownership,
                                 uint32_t shard);
#define SKY_MEMBERS_MAX                                                       \
    512 /**< members of the group that are known by name                      \
         */
/** Lists the members as last known; the strings are theirs.
 *  @return how many were written. */
uint32_t SkyOwnership_Members(const sky_ownership_t *ownership,
                              sky_fanout_host_t *members, uint32_t most);
/** @return hosts in the group as last known, at least 1. */
uint32_t SkyOwnership_Hosts(const sky_ownership_t *ownership);
/** @return control address of some other host, NULL if none is known.
 *  @param turn another one with each number. */
const char *SkyOwnership_SomePeer(const sky_ownership_t *ownership,
                                  uint32_t turn);

#ifdef __cplusplus
}
#endif
#endif
