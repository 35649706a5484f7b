/**
 * @file members.h
 * @brief Membership and leases, read from the log.
 *
 * Every host folds the same membership records in log order and so computes
 * the same view. A host holds its **lease** until `t0 + lease_us`, where `t0`
 * is the time by its own clock at which it began a read that reached the tail
 * and showed it as a member; nothing is appended to renew it. A peer that can
 * read the log may vouch for a host that cannot (see docs/DESIGN.md).
 *
 * Heartbeats go to SKY_MONITORS neighbours on a ring; they raise suspicion and
 * never carry authority: only a REMOVE record ends a membership.
 */
#ifndef SKY_DECIDE_MEMBERS_H
#define SKY_DECIDE_MEMBERS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES]; /**< where peers reach this host */
    char listen[SKY_ADDRESS_BYTES];  /**< where operators reach it */
    uint32_t domain;
    uint64_t seed; /**< makes nonces unique over restarts */
    uint32_t off;  /**< sky_off_t, for proofs only */
    uint64_t lease_us;
    uint64_t margin_us; /**< bound on clock drift and on delayed orders */
    uint64_t heartbeat_us;
    uint64_t suspect_us;   /**< silence that raises suspicion */
    uint64_t bootstrap_us; /**< a host that no member lets in joins anyway */
    uint64_t degraded_us;  /**< longest time to act with the log out */
    uint64_t retention_us; /**< for how long the log keeps a record */
} sky_members_options_t;

/** One member as the log has it. */
typedef struct {
    sky_host_id_t host;
    sky_offset_t incarnation;
    uint32_t domain;
    bool draining;
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES];
    char listen[SKY_ADDRESS_BYTES];
    uint64_t heard_us;   /**< last heartbeat received from it */
    uint64_t suspect_us; /**< when SUSPECT was sent; 0: not suspected */
    uint64_t acked_us;   /**< send time of the last heartbeat it answered */
    uint64_t ack_log_age_us; /**< age of its last tail read in that answer */
} sky_member_t;

typedef struct sky_members sky_members_t;

/** @return a view without members, or NULL when memory is out. */
sky_members_t *SkyMembers_Create(const sky_members_options_t *options);
void SkyMembers_Free(sky_members_t *members);

/** Applies one record. @return true if the view changed. */
bool SkyMembers_Apply(sky_members_t *members, const sky_record_t *record,
                      uint64_t now_us);

/** Notes, before the first record is applied, where the kept log begins. */
void SkyMembers_NoteStart(sky_members_t *members, sky_offset_t oldest);

/**
 * Notes a read of the log once its records are applied; renews the lease if
 * the read reached the tail.
 */
void SkyMembers_NoteRead(sky_members_t *members,
                         const sky_in_log_read_t *read);

/** Heartbeats, suspicion, joining and restating. */
void SkyMembers_Tick(sky_members_t *members, uint64_t now_us,
                     sky_actions_t *out);

/** Handles HEARTBEAT, HEARTBEAT_ACK, SUSPECT and JOIN_ASK. */
void SkyMembers_Message(sky_members_t *members, const sky_in_message_t *in,
                        uint64_t now_us, sky_actions_t *out);

/** Begins to drain: no ownership once the log has it, still a member. */
void SkyMembers_Drain(sky_members_t *members);

/** Ends the membership for good. */
void SkyMembers_Leave(sky_members_t *members);

/** @return true while the lease is held: this host is surely a member. */
bool SkyMembers_HoldsLease(const sky_members_t *members, uint64_t now_us);

/**
 * @return true if no host can have been removed: the lease is held, or every
 *         member of the view has just said that it cannot read the log either.
 *         A host that is not in the view can only have joined through one that
 *         is, or by bootstrap, after which nothing is evicted for as long as
 *         a host may act with the log out.
 */
bool SkyMembers_MayAct(const sky_members_t *members, uint64_t now_us);

/** No new work is given to targets before @p until_us: this host was paused
 *  and has not read the list of leaving targets since. 0 ends it. */
void SkyMembers_NoteStale(sky_members_t *members, uint64_t until_us);

/** @return true if the view is complete and this host is in it. */
bool SkyMembers_IsReady(const sky_members_t *members, uint64_t now_us);

/** @return owner of a shard in @p domain, 0 if there is no member. */
sky_host_id_t SkyMembers_Owner(const sky_members_t *members, uint64_t shard,
                               uint32_t domain);

/** @return the host that appends claims for keys of @p hash. */
sky_host_id_t SkyMembers_ClaimWriter(const sky_members_t *members,
                                     uint64_t hash, uint32_t writers_max);

/** @return members in ring order; @p count receives their number. */
const sky_member_t *SkyMembers_List(const sky_members_t *members,
                                    size_t *count);

/** @return the member @p host, or NULL. */
const sky_member_t *SkyMembers_Find(const sky_members_t *members,
                                    sky_host_id_t host);

sky_host_id_t SkyMembers_Self(const sky_members_t *members);
/** @return log offset of the last change of the view: the fence. */
sky_offset_t SkyMembers_View(const sky_members_t *members);
/** @return first offset of the log not yet applied. */
sky_offset_t SkyMembers_Next(const sky_members_t *members);
/** @return end of the lease by this host's clock; 0: none was ever held. */
uint64_t SkyMembers_LeaseUntilUs(const sky_members_t *members);
/** @return true if evictions are safe: no bootstrap is recent. */
bool SkyMembers_MayEvict(const sky_members_t *members, uint64_t now_us);
/** @return microseconds since the last read that reached the tail. */
uint64_t SkyMembers_LogAgeUs(const sky_members_t *members, uint64_t now_us);
/** @return how long a successor waits before it acts. */
uint64_t SkyMembers_TakeoverUs(const sky_members_t *members);
/** @return a nonce that no other host or start has used. */
uint64_t SkyMembers_Nonce(sky_members_t *members);

#ifdef __cplusplus
}
#endif
#endif
