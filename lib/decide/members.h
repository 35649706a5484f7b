/**
 * @file members.h
 * @brief Membership and leases, derived from the log.
 *
 * Every host applies the same membership records in log order and so computes
 * the same view. A host holds its **lease** until `t0 + lease_us`, where `t0`
 * is the time by its own clock at which it began a read that reached the tail
 * and showed it as a member; nothing is appended to renew it. A peer that can
 * read the log may confirm the lease of a host that cannot
 * (see docs/DESIGN.md).
 *
 * Each host sends heartbeats to the SKY_MONITORS_PER_HOST hosts that follow it
 * on a ring. Missing heartbeats only raise suspicion: a membership ends by a
 * REMOVE record and by nothing else.
 */
#ifndef SKY_DECIDE_MEMBERS_H
#define SKY_DECIDE_MEMBERS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Identity of this host and the time limits of the membership. */
typedef struct {
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES]; /**< where peers connect to this host */
    char listen[SKY_ADDRESS_BYTES];  /**< where operators connect to it */
    uint32_t domain;
    uint64_t seed;                /**< makes nonces unique across restarts */
    uint32_t disabled_mechanisms; /**< sky_disable_flag_t bits; tests only */
    uint64_t lease_us;     /**< from the start of the read that renews it */
    uint64_t margin_us;    /**< bound on clock drift and on delayed orders */
    uint64_t heartbeat_us; /**< interval between heartbeats */
    uint64_t suspect_us;   /**< time without a heartbeat before suspicion */
    uint64_t bootstrap_us; /**< a host that no member sponsors joins by
                                itself after this time */
    uint64_t degraded_us;  /**< max time to dispatch without reading the log */
    uint64_t retention_us; /**< how long the log retains a record */
} sky_members_options_t;

/** One member as recorded in the log, and its heartbeats. */
typedef struct {
    sky_host_id_t host;
    sky_offset_t incarnation;
    uint32_t domain;
    bool draining;
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES];
    char listen[SKY_ADDRESS_BYTES];
    uint64_t heartbeat_received_us; /**< or when this host began to watch it */
    uint64_t suspected_us; /**< when SKY_MSG_HOST_SUSPECTED was sent; 0: not
                                suspected. After a REMOVE is appended,
                                suspect_us later, which delays the next one. */
    uint64_t acked_heartbeat_sent_us; /**< when this host sent the last
                                          heartbeat acknowledged for the
                                          same view; 0: none */
    uint64_t ack_log_age_us; /**< age of the peer's last tail read, from that
                                 acknowledgement */
} sky_member_t;

typedef struct sky_members sky_members_t;

/** @return a view without members, or NULL if memory is exhausted. */
sky_members_t *SkyMembers_Create(const sky_members_options_t *options);
void SkyMembers_Free(sky_members_t *members);

/** Applies one membership record. @return true if the view changed. */
bool SkyMembers_ApplyRecord(sky_members_t *members, const sky_record_t *record,
                            uint64_t now_us);

/** Sets the oldest offset that the log retained at the first read; later
 *  calls have no effect. To be called before the first record is applied. */
void SkyMembers_SetLogStart(sky_members_t *members, sky_offset_t oldest);

/**
 * Records that a read of the log is complete, after its records were applied;
 * renews the lease if the read reached the tail.
 */
void SkyMembers_ApplyLogRead(sky_members_t *members,
                             const sky_in_log_read_t *read);

/** Sends heartbeats, checks the watched members, and appends the JOIN,
 *  MEMBER_RESTATE, DRAIN and REMOVE records that are due. */
void SkyMembers_Tick(sky_members_t *members, uint64_t now_us,
                     sky_actions_t *out);

/** Handles SKY_MSG_HEARTBEAT, SKY_MSG_HEARTBEAT_ACK, SKY_MSG_HOST_SUSPECTED
 *  and SKY_MSG_JOIN_REQUEST; ignores others. */
void SkyMembers_HandleMessage(sky_members_t *members,
                              const sky_in_message_t *in, uint64_t now_us,
                              sky_actions_t *out);

/** Begins to drain: once the DRAIN record is in the log, this host owns no
 *  shard any more but is still a member. */
void SkyMembers_BeginDrain(sky_members_t *members);

/** Appends this host's REMOVE until it is in the log; the host does not join
 *  again. */
void SkyMembers_Leave(sky_members_t *members);

/** @return true while the lease is held, which proves that this host is still
 *          a member. */
bool SkyMembers_HasLease(const sky_members_t *members, uint64_t now_us);

/**
 * @return true if this host may grant permits and dispatch requests: no host
 *         can have been removed, because the lease is held or because every
 *         member of the view has just reported that it cannot read the log
 *         either. A host outside the view can only have joined through a
 *         member of it, or by bootstrap, after which no adapter is evicted for
 *         as long as a host may dispatch without the log. False also while
 *         the known state of the targets is stale.
 */
bool SkyMembers_CanDispatch(const sky_members_t *members, uint64_t now_us);

/** Blocks grants and dispatches until @p until_us, because this host was
 *  paused and has not read the list of leaving targets since. 0 lifts the
 *  block. */
void SkyMembers_BlockDispatchUntil(sky_members_t *members, uint64_t until_us);

/** @return true if the view is complete and this host is in it. */
bool SkyMembers_IsReady(const sky_members_t *members, uint64_t now_us);

/** @return owner of a shard whose targets are in failure domain @p domain;
 *          members of that domain are preferred. 0 if every member drains or
 *          there is none. */
sky_host_id_t SkyMembers_FindOwner(const sky_members_t *members,
                                   uint64_t shard, uint32_t domain);

/** @return the host that appends the claims for keys with @p hash, so that
 *          at most @p writers_max hosts append claims; this host itself if
 *          there are no more members than that. */
sky_host_id_t SkyMembers_FindClaimWriter(const sky_members_t *members,
                                         uint64_t hash, uint32_t writers_max);

/** @return members in ring order, that is by id; @p count receives their
 *          number. */
const sky_member_t *SkyMembers_GetList(const sky_members_t *members,
                                       size_t *count);

/** @return the member @p host, or NULL. */
const sky_member_t *SkyMembers_Find(const sky_members_t *members,
                                    sky_host_id_t host);

sky_host_id_t SkyMembers_SelfId(const sky_members_t *members);
/** @return log offset of the last change of the view, used as the fence. */
sky_offset_t SkyMembers_ViewOffset(const sky_members_t *members);
/** @return offset after the last log record applied. */
sky_offset_t SkyMembers_NextOffset(const sky_members_t *members);
/** @return end of the lease by this host's clock; 0: no lease was held
 *          since the start or since this host was removed. */
uint64_t SkyMembers_LeaseUntilUs(const sky_members_t *members);
/** @return true if evictions are safe: no host has joined by bootstrap
 *          recently. */
bool SkyMembers_CanEvict(const sky_members_t *members, uint64_t now_us);
/** @return microseconds since the last read that reached the tail. */
uint64_t SkyMembers_LogAgeUs(const sky_members_t *members, uint64_t now_us);
/** @return how long a new owner waits before it acts, so that the lease of
 *          its predecessor has ended. */
uint64_t SkyMembers_TakeoverWaitUs(const sky_members_t *members);
/** @return a nonce that is unique across hosts and restarts; never 0. */
uint64_t SkyMembers_NextNonce(sky_members_t *members);

#ifdef __cplusplus
}
#endif
#endif
