/**
 * @file members_state.h
 * @brief State of the membership, private to the members*.c files.
 */
#ifndef SKY_DECIDE_MEMBERS_STATE_H
#define SKY_DECIDE_MEMBERS_STATE_H

#include <uthash.h>

#include "decide/members.h"

/** State of a host that outlasts its membership. */
typedef struct {
    sky_host_id_t host;
    /** Last membership record about it that changed the view. */
    sky_offset_t changed_offset;
    /** A record about it could not be verified; 0: none. */
    uint64_t unverified_until_us;
    uint64_t denied_until_us; /**< another monitor reported it alive */
    UT_hash_handle hh;
} host_history_t;

struct sky_members {
    sky_members_options_t options;
    sky_host_id_t self;
    sky_offset_t incarnation;
    sky_offset_t view;      /* offset of the last change of the view */
    sky_offset_t next;      /* offset after the last record applied */
    sky_offset_t log_start; /* oldest offset retained at the first read */
    bool has_log_start;
    bool leaving;
    bool draining;
    uint64_t nonce_count;
    uint64_t join_or_restate_sent_us;
    uint64_t drain_or_remove_sent_us;
    /* When the last JOIN or MEMBER_RESTATE of this host was applied. */
    uint64_t restated_us;
    uint64_t unverified_until_us; /* the latest of all hosts */
    uint64_t lease_until_us;
    uint64_t tail_read_begun_us;
    uint64_t eviction_allowed_us; /* later than now after a bootstrap */
    uint64_t join_begun_us;       /* first attempt to join */
    /* The list of leaving targets may be out of date. */
    uint64_t dispatch_blocked_until_us;
    uint64_t join_nonce; /* of the JOIN under way; 0: none */
    size_t next_sponsor_index;
    uint64_t last_tick_us;
    uint64_t heartbeat_sent_us;
    sky_member_t *list; /* in ring order: by host id */
    size_t count;
    size_t capacity;
    host_history_t *histories; /* by host id */
};

host_history_t *MembersState_FindOrAddHistory(sky_members_t *members,
                                              sky_host_id_t host);
/** @return index of @p host in ring order; if it is no member, the index at
 *          which it would be inserted. */
size_t MembersState_FindPosition(const sky_members_t *members,
                                 sky_host_id_t host);
sky_member_t *MembersState_Find(const sky_members_t *members,
                                sky_host_id_t host);
/** Resets the heartbeat timers: a view change assigns new monitors, and after
 *  a pause the silence was this host's own. */
void MembersState_ResetSuspicion(sky_members_t *members, uint64_t now_us);
/** Extends the lease to lease_us after the start of a log read; never shortens
 *  it. Has no effect while this host is no member. */
void MembersState_ExtendLease(sky_members_t *members, uint64_t read_begun_us);

#endif
