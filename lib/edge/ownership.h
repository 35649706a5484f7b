/**
 * @file ownership.h
 * @brief Ownership of targets: which host sends orders to which target.
 *
 * A hash of a target's id maps it to a shard. Shards are the partitions that
 * the store assigns evenly to the members of a group; every host is a member.
 * The generation of the group at which this host got a shard is the shard's
 * fence, the fencing token of its orders. A new owner sends no order for the
 * length of a lease, within which the previous owner learns of its loss.
 */
#ifndef SKY_EDGE_OWNERSHIP_H
#define SKY_EDGE_OWNERSHIP_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/fanout.h"
#include "decide/start_reads.h"
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
    sky_start_reads_t *start;
    /** The shards of this host, the owners or the members changed. */
    void (*on_change)(void *context);
    void *context;
} sky_ownership_options_t;

sky_result_t SkyOwnership_Create(const sky_ownership_options_t *options,
                                 sky_ownership_t **ownership);
void SkyOwnership_Free(sky_ownership_t *ownership);

/** @return shard of the target whose id has this hash. */
uint32_t SkyOwnership_GetShard(const sky_ownership_t *ownership,
                               uint64_t target_hash);

/** @param fence set to the shard's fence.
 *  @return whether this host may send orders to targets of the shard now. */
bool SkyOwnership_CanSendOrders(const sky_ownership_t *ownership,
                                uint32_t shard, uint64_t *fence);
/** @return whether this host owns the shard. It may have to wait before it
 *  sends orders. */
bool SkyOwnership_IsOwner(const sky_ownership_t *ownership, uint32_t shard);
/** Releases a shard after a target refused an order because it had seen a
 *  higher fence. */
void SkyOwnership_HandleFencedOrder(sky_ownership_t *ownership,
                                    uint32_t shard);
/** Releases all shards after this host was suspended, as the store may have
 *  assigned them to others meanwhile, and joins the group again at once. */
void SkyOwnership_HandleSuspension(sky_ownership_t *ownership);
/** Leaves the group for as long as this host is to own no targets, so that
 *  others own them, and joins it again. */
void SkyOwnership_SetAway(sky_ownership_t *ownership, bool is_away);
/** Leaves the group, so that others get its shards at once. If the store is
 *  unreachable, leaves when it responds again. */
void SkyOwnership_LeaveGroup(sky_ownership_t *ownership);

/** Sets whether this host reads the owners from the store as soon as they
 *  change, as every host does at first. Otherwise it first waits for a peer
 *  to send them. */
void SkyOwnership_SetStoreReader(sky_ownership_t *ownership,
                                 bool is_store_reader);
/** @return generation of the group when the known owners were read. */
uint64_t SkyOwnership_OwnersGeneration(const sky_ownership_t *ownership);
/** @return the owners and members as JSON for a peer that knows those of
 *  @p generation; NULL if they are no newer, or some shard has no owner. */
json_t *SkyOwnership_EncodeOwners(const sky_ownership_t *ownership,
                                  uint64_t generation);
/** Applies owners from a peer if they are newer than the known ones and well
 *  formed. This host releases each shard that has another owner. */
void SkyOwnership_ApplyOwners(sky_ownership_t *ownership,
                              const json_t *owners);

/** @return control address of the shard's owner, NULL if not known. */
const char *SkyOwnership_FindOwnerAddress(const sky_ownership_t *ownership,
                                          uint32_t shard);
/** Members of the group that are kept; owners beyond count as not known. */
#define SKY_GROUP_MEMBERS_MAX 512
/** Lists the known members. Their strings are valid until the members change.
 *  @return how many were written to @p members. */
uint32_t SkyOwnership_ListMembers(const sky_ownership_t *ownership,
                                  sky_fanout_host_t *members,
                                  uint32_t max_count);
/** Chooses one of the known members by rendezvous hashing: all hosts that know
 *  the same members choose the same one.
 *  @return whether it is the host with this address */
bool SkyOwnership_IsChosen(const sky_ownership_t *ownership,
                           const char *address, uint64_t seed);
/** Lists the known members, and those that left the group a while ago: they
 *  may be away only. @return as above */
uint32_t SkyOwnership_ListHosts(const sky_ownership_t *ownership,
                                sky_fanout_host_t *hosts, uint32_t max_count);
/** @param count set to the number of members, at least 1, this host included
 *  @return this host's rank among them by address, from 0: another one for
 * each host that knows the same members */
uint32_t SkyOwnership_GetRank(const sky_ownership_t *ownership,
                              uint32_t *count);
/** @return number of known members or of seeds, the greater; at least 1. */
uint32_t SkyOwnership_HostCount(const sky_ownership_t *ownership);
/** @param turn selects among the members and seeds: increase it by one to get
 *  the next.
 *  @return control address of another host, NULL if none is known. */
const char *SkyOwnership_ChoosePeerAddress(const sky_ownership_t *ownership,
                                           uint32_t turn);

#ifdef __cplusplus
}
#endif
#endif
