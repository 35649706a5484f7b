#include "decide/members.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "decide/members_state.h"

#define US_PER_MS 1000
#define RESTATE_SLACK_US UINT64_C(10000000)
#define OUTAGE_PROBE_MEMBERS_MAX 32
#define DOMAIN_BONUS (UINT64_C(1) << 63)

sky_members_t *
SkyMembers_Create(const sky_members_options_t *options)
{
    sky_members_t *members = calloc(1, sizeof *members);
    if (members == NULL) {
        return NULL;
    }
    members->options = *options;
    members->self = SkyName_Hash(options->name);
    members->next = 1;
    return members;
}

void
SkyMembers_Free(sky_members_t *members)
{
    if (members == NULL) {
        return;
    }
    history_t *entry;
    history_t *next;
    HASH_ITER(hh, members->history, entry, next)
    {
        HASH_DEL(members->history, entry);
        free(entry);
    }
    free(members->list);
    free(members);
}

uint64_t
SkyMembers_Nonce(sky_members_t *members)
{
    uint64_t parts[3] = {members->options.seed, members->self,
                         ++members->nonce_count};
    return XXH64(parts, sizeof parts, 0) | 1;
}

history_t *
MembersState_History(sky_members_t *members, sky_host_id_t host)
{
    history_t *entry;
    HASH_FIND(hh, members->history, &host, sizeof host, entry);
    if (entry == NULL) {
        entry = calloc(1, sizeof *entry);
        if (entry == NULL) {
            abort();
        }
        entry->host = host;
        HASH_ADD(hh, members->history, host, sizeof host, entry);
    }
    return entry;
}

size_t
MembersState_Position(const sky_members_t *members, sky_host_id_t host)
{
    size_t low = 0;
    size_t high = members->count;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (members->list[middle].host < host) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

sky_member_t *
MembersState_Find(const sky_members_t *members, sky_host_id_t host)
{
    size_t at = MembersState_Position(members, host);
    if (at < members->count && members->list[at].host == host) {
        return &members->list[at];
    }
    return NULL;
}

const sky_member_t *
SkyMembers_Find(const sky_members_t *members, sky_host_id_t host)
{
    return MembersState_Find(members, host);
}

static sky_member_t *
insert_member(sky_members_t *members, sky_host_id_t host)
{
    sky_member_t *found = MembersState_Find(members, host);
    if (found != NULL) {
        return found;
    }
    if (members->count == members->capacity) {
        members->capacity = members->capacity ? 2 * members->capacity : 16;
        members->list =
            realloc(members->list, members->capacity * sizeof *members->list);
        if (members->list == NULL) {
            abort();
        }
    }
    size_t at = MembersState_Position(members, host);
    memmove(&members->list[at + 1], &members->list[at],
            (members->count - at) * sizeof *members->list);
    members->count++;
    return &members->list[at];
}

static void
delete_member(sky_members_t *members, sky_member_t *member)
{
    size_t at = (size_t)(member - members->list);
    members->count--;
    memmove(member, member + 1, (members->count - at) * sizeof *member);
}

/** A host newly watched starts with a clean slate. */
void
MembersState_RestartSuspicion(sky_members_t *members, uint64_t now_us)
{
    for (size_t i = 0; i < members->count; i++) {
        members->list[i].heard_us = now_us;
        members->list[i].suspect_us = 0;
    }
}

static void
set_member(sky_members_t *members, const sky_rec_member_t *rec,
           sky_offset_t incarnation, uint64_t now_us)
{
    sky_member_t *member = insert_member(members, rec->host);
    memset(member, 0, sizeof *member);
    member->host = rec->host;
    member->incarnation = incarnation;
    member->domain = rec->domain;
    member->draining = rec->draining != 0;
    member->heard_us = now_us;
    memcpy(member->name, rec->name, sizeof member->name);
    memcpy(member->address, rec->address, sizeof member->address);
    memcpy(member->listen, rec->listen, sizeof member->listen);
}

static bool
is_incarnation(const sky_members_t *members, sky_offset_t incarnation)
{
    for (size_t i = 0; i < members->count; i++) {
        if (members->list[i].incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

typedef enum {
    JOIN_REFUSED,
    JOIN_ACCEPTED,
    JOIN_UNVERIFIED, /* what decides it is no longer kept */
} join_verdict_t;

/**
 * A restart takes the place of its predecessor; a new host is let in by a
 * member, unless it is the first of all. Every host must come to the same
 * verdict, also one that began to read after the log had dropped records.
 */
static join_verdict_t
judge_join(const sky_members_t *members, const sky_rec_member_t *rec)
{
    if (rec->bootstrap || MembersState_Find(members, rec->host) != NULL ||
        is_incarnation(members, rec->sponsor)) {
        return JOIN_ACCEPTED;
    }
    if (members->start > 1) {
        return JOIN_UNVERIFIED;
    }
    return members->count == 0 ? JOIN_ACCEPTED : JOIN_REFUSED;
}

static void
mark_verified(sky_members_t *members, history_t *history)
{
    const history_t *entry;
    if (history->unverified_until_us == 0) {
        return;
    }
    history->unverified_until_us = 0;
    members->unverified_until_us = 0;
    for (entry = members->history; entry != NULL; entry = entry->hh.next) {
        if (entry->unverified_until_us > members->unverified_until_us) {
            members->unverified_until_us = entry->unverified_until_us;
        }
    }
}

/** A member restates itself in time; what stays unverified was none. */
static void
mark_unverified(sky_members_t *members, sky_host_id_t host, uint64_t now_us)
{
    uint64_t until_us =
        now_us + members->options.retention_us / 2 + RESTATE_SLACK_US;
    MembersState_History(members, host)->unverified_until_us = until_us;
    members->unverified_until_us = until_us;
}

static void
note_bootstrap(sky_members_t *members, uint64_t age_us, uint64_t now_us)
{
    uint64_t hold_us = members->options.degraded_us;
    members->restated_us = 0; /* tell the newcomer of this host at once */
    members->evict_after_us = now_us + hold_us;
    members->evict_after_us -= age_us < hold_us ? age_us : hold_us;
}

static bool
apply_join(sky_members_t *members, const sky_record_t *record, uint64_t now_us)
{
    const sky_rec_member_t *rec = &record->u.member;
    join_verdict_t verdict = judge_join(members, rec);
    if (verdict == JOIN_UNVERIFIED) {
        mark_unverified(members, rec->host, now_us);
    }
    if (verdict != JOIN_ACCEPTED) {
        return false;
    }
    if (rec->bootstrap) {
        note_bootstrap(members, record->age_ms * US_PER_MS, now_us);
    }
    set_member(members, rec, record->offset, now_us);
    if (rec->host == members->self) {
        members->incarnation = record->offset;
        members->restated_us = now_us;
        members->join_nonce = 0;
    }
    return true;
}

static bool
apply_drain(sky_members_t *members, const sky_rec_member_t *rec)
{
    sky_member_t *member = MembersState_Find(members, rec->host);
    if (member == NULL || member->incarnation != rec->incarnation ||
        member->draining) {
        return false;
    }
    member->draining = true;
    return true;
}

static bool
apply_remove(sky_members_t *members, const sky_rec_member_t *rec)
{
    sky_member_t *member = MembersState_Find(members, rec->host);
    if (member == NULL || member->incarnation != rec->incarnation) {
        return false;
    }
    delete_member(members, member);
    if (rec->host == members->self) {
        members->incarnation = 0;
        members->lease_until_us = 0;
    }
    return true;
}

/**
 * A restatement adds a member whose JOIN is no longer kept. It counts only
 * where every record after `as_of` has been read: a newer REMOVE wins.
 */
static bool
apply_restated(sky_members_t *members, const sky_record_t *record,
               uint64_t now_us)
{
    const sky_rec_member_t *rec = &record->u.member;
    history_t *history = MembersState_History(members, rec->host);
    sky_member_t *member = MembersState_Find(members, rec->host);
    if (rec->host == members->self &&
        rec->incarnation == members->incarnation) {
        members->restated_us = now_us;
    }
    if (member != NULL && member->incarnation == rec->incarnation) {
        mark_verified(members, history);
        return false;
    }
    if (rec->as_of + 1 < members->start) {
        mark_unverified(members, rec->host, now_us);
        return false;
    }
    mark_verified(members, history);
    if (history->changed > rec->as_of) {
        return false;
    }
    set_member(members, rec, rec->incarnation, now_us);
    if (rec->view > members->view) {
        members->view = rec->view;
    }
    return true;
}

static bool
apply_change(sky_members_t *members, const sky_record_t *record,
             uint64_t now_us)
{
    switch (record->kind) {
    case SKY_REC_JOIN:
        return apply_join(members, record, now_us);
    case SKY_REC_DRAIN:
        return apply_drain(members, &record->u.member);
    case SKY_REC_REMOVE:
        return apply_remove(members, &record->u.member);
    default:
        return false;
    }
}

bool
SkyMembers_Apply(sky_members_t *members, const sky_record_t *record,
                 uint64_t now_us)
{
    bool changed;
    if (record->kind == SKY_REC_MEMBER) {
        changed = apply_restated(members, record, now_us);
    }
    else {
        changed = apply_change(members, record, now_us);
        if (changed) {
            history_t *history =
                MembersState_History(members, record->u.member.host);
            history->changed = record->offset;
            mark_verified(members, history);
            members->view = record->offset;
        }
    }
    if (changed) {
        MembersState_RestartSuspicion(members, now_us);
    }
    return changed;
}

void
MembersState_ExtendLease(sky_members_t *members, uint64_t read_begun_us)
{
    uint64_t until_us = read_begun_us + members->options.lease_us;
    if (members->incarnation != 0 && until_us > members->lease_until_us) {
        members->lease_until_us = until_us;
    }
}

void
SkyMembers_NoteStart(sky_members_t *members, sky_offset_t oldest)
{
    if (!members->started) {
        members->started = true;
        members->start = oldest;
    }
}

void
SkyMembers_NoteRead(sky_members_t *members, const sky_in_log_read_t *read)
{
    if (read->next > members->next) {
        members->next = read->next;
    }
    if (read->reached_tail) {
        members->tail_read_us = read->begun_us;
        MembersState_ExtendLease(members, read->begun_us);
    }
}

bool
SkyMembers_HoldsLease(const sky_members_t *members, uint64_t now_us)
{
    if (members->options.off & SKY_OFF_LEASE_CHECK) {
        return members->incarnation != 0;
    }
    return members->incarnation != 0 && now_us < members->lease_until_us &&
           now_us >= members->unverified_until_us;
}

static bool
member_cannot_read(const sky_members_t *members, const sky_member_t *member,
                   uint64_t now_us)
{
    if (member->host == members->self) {
        return true;
    }
    return member->acked_us != 0 &&
           member->acked_us + 2 * members->options.heartbeat_us > now_us &&
           member->ack_log_age_us > members->options.lease_us;
}

bool
SkyMembers_MayAct(const sky_members_t *members, uint64_t now_us)
{
    if (members->incarnation == 0 || now_us < members->stale_until_us ||
        now_us < members->unverified_until_us) {
        return false;
    }
    if (SkyMembers_HoldsLease(members, now_us)) {
        return true;
    }
    if (members->count > OUTAGE_PROBE_MEMBERS_MAX ||
        now_us >= members->lease_until_us + members->options.degraded_us) {
        return false;
    }
    for (size_t i = 0; i < members->count; i++) {
        if (!member_cannot_read(members, &members->list[i], now_us)) {
            return false;
        }
    }
    return true;
}

bool
SkyMembers_IsReady(const sky_members_t *members, uint64_t now_us)
{
    return members->incarnation != 0 && now_us >= members->unverified_until_us;
}

/* ---- views ---- */

sky_host_id_t
SkyMembers_Owner(const sky_members_t *members, uint64_t shard, uint32_t domain)
{
    sky_host_id_t best = 0;
    uint64_t best_score = 0;
    for (size_t i = 0; i < members->count; i++) {
        const sky_member_t *member = &members->list[i];
        if (member->draining) {
            continue;
        }
        uint64_t score = SkyRendezvous_Score(member->host, shard) >> 1;
        if (member->domain == domain) {
            score |= DOMAIN_BONUS;
        }
        if (best == 0 || score > best_score) {
            best = member->host;
            best_score = score;
        }
    }
    return best;
}

sky_host_id_t
SkyMembers_ClaimWriter(const sky_members_t *members, uint64_t hash,
                       uint32_t writers_max)
{
    if (members->count <= writers_max) {
        return members->self;
    }
    uint64_t writer = hash % writers_max;
    return SkyMembers_Owner(members, ~writer, UINT32_MAX);
}

const sky_member_t *
SkyMembers_List(const sky_members_t *members, size_t *count)
{
    *count = members->count;
    return members->list;
}

void
SkyMembers_NoteStale(sky_members_t *members, uint64_t until_us)
{
    members->stale_until_us = until_us;
}

sky_host_id_t
SkyMembers_Self(const sky_members_t *members)
{
    return members->self;
}

sky_offset_t
SkyMembers_View(const sky_members_t *members)
{
    return members->view;
}

sky_offset_t
SkyMembers_Next(const sky_members_t *members)
{
    return members->next;
}

uint64_t
SkyMembers_TakeoverUs(const sky_members_t *members)
{
    return members->options.lease_us + members->options.margin_us;
}

uint64_t
SkyMembers_LeaseUntilUs(const sky_members_t *members)
{
    return members->lease_until_us;
}

bool
SkyMembers_MayEvict(const sky_members_t *members, uint64_t now_us)
{
    return now_us >= members->evict_after_us;
}
