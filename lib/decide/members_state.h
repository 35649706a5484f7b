/**
 * @file members_state.h
 * @brief State of the membership, shared by the members*.c files only.
 */
#ifndef SKY_DECIDE_MEMBERS_STATE_H
#define SKY_DECIDE_MEMBERS_STATE_H

#include <uthash.h>

#include "decide/members.h"

/** What is known of a host besides its membership. */
typedef struct {
    sky_host_id_t host;
    sky_offset_t changed;         /**< last membership record about it */
    uint64_t unverified_until_us; /**< a record could not be checked */
    uint64_t denied_us;           /**< a monitor said that it is alive */
    UT_hash_handle hh;
} history_t;

struct sky_members {
    sky_members_options_t options;
    sky_host_id_t self;
    sky_offset_t incarnation;
    sky_offset_t view;
    sky_offset_t next;
    sky_offset_t start;
    bool started;
    bool leaving;
    bool draining;
    uint64_t nonce_count;
    uint64_t join_sent_us;
    uint64_t stop_sent_us;
    uint64_t restated_us;
    uint64_t unverified_until_us; /* the newest of all hosts' */
    uint64_t lease_until_us;
    uint64_t tail_read_us;
    uint64_t evict_after_us; /* a bootstrap was met in the log */
    uint64_t ask_begun_us;   /* first JOIN_ASK; 0: none */
    uint64_t stale_until_us; /* what is known of targets may be old */
    uint64_t join_nonce;
    size_t ask_turn;
    uint64_t tick_us;
    uint64_t heartbeat_sent_us;
    sky_member_t *list;
    size_t count;
    size_t capacity;
    history_t *history;
};

history_t *MembersState_History(sky_members_t *members, sky_host_id_t host);
/** @return place of a host in ring order, also of one that is no member. */
size_t MembersState_Position(const sky_members_t *members, sky_host_id_t host);
sky_member_t *MembersState_Find(const sky_members_t *members,
                                sky_host_id_t host);
/** A host newly watched starts with a clean slate. */
void MembersState_RestartSuspicion(sky_members_t *members, uint64_t now_us);
void MembersState_ExtendLease(sky_members_t *members, uint64_t read_begun_us);

#endif
