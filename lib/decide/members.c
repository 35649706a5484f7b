#include "decide/members.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "decide/members_state.h"

#define US_PER_MS 1000
/* Time beyond half the retention for a restatement to reach the log. */
#define RESTATE_MARGIN_US UINT64_C(10000000)
/* In larger views not all members are probed during an outage of the log. */
#define OUTAGE_PROBE_MEMBERS_MAX 32
/* Ranks members of the shard's failure domain above all others. */
#define SAME_DOMAIN_SCORE_BIT (UINT64_C(1) << 63)

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
    host_history_t *entry;
    host_history_t *next;
    HASH_ITER(hh, members->histories, entry, next)
    {
        HASH_DEL(members->histories, entry);
        free(entry);
    }
    free(members->list);
    free(members);
}

uint64_t
SkyMembers_NextNonce(sky_members_t *members)
{
    uint64_t parts[3] = {members->options.seed, members->self,
                         ++members->nonce_count};
    return XXH64(parts, sizeof parts, 0) | 1;
}

host_history_t *
MembersState_FindOrAddHistory(sky_members_t *members, sky_host_id_t host)
{
    host_history_t *entry;
    HASH_FIND(hh, members->histories, &host, sizeof host, entry);
    if (entry == NULL) {
        entry = calloc(1, sizeof *entry);
        if (entry == NULL) {
            abort();
        }
        entry->host = host;
        HASH_ADD(hh, members->histories, host, sizeof host, entry);
    }
    return entry;
}

size_t
MembersState_FindPosition(const sky_members_t *members, sky_host_id_t host)
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
    size_t position = MembersState_FindPosition(members, host);
    if (position < members->count && members->list[position].host == host) {
        return &members->list[position];
    }
    return NULL;
}

const sky_member_t *
SkyMembers_Find(const sky_members_t *members, sky_host_id_t host)
{
    return MembersState_Find(members, host);
}

static sky_member_t *
find_or_insert_member(sky_members_t *members, sky_host_id_t host)
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
    size_t position = MembersState_FindPosition(members, host);
    memmove(&members->list[position + 1], &members->list[position],
            (members->count - position) * sizeof *members->list);
    members->count++;
    return &members->list[position];
}

static void
delete_member(sky_members_t *members, sky_member_t *member)
{
    size_t position = (size_t)(member - members->list);
    members->count--;
    memmove(member, member + 1, (members->count - position) * sizeof *member);
}

void
MembersState_ResetSuspicion(sky_members_t *members, uint64_t now_us)
{
    for (size_t i = 0; i < members->count; i++) {
        members->list[i].heartbeat_received_us = now_us;
        members->list[i].suspected_us = 0;
    }
}

static void
set_member(sky_members_t *members, const sky_rec_member_t *rec,
           sky_offset_t incarnation, uint64_t now_us)
{
    sky_member_t *member = find_or_insert_member(members, rec->host);
    memset(member, 0, sizeof *member);
    member->host = rec->host;
    member->incarnation = incarnation;
    member->domain = rec->domain;
    member->draining = rec->draining != 0;
    member->heartbeat_received_us = now_us;
    memcpy(member->name, rec->name, sizeof member->name);
    memcpy(member->address, rec->address, sizeof member->address);
    memcpy(member->listen, rec->listen, sizeof member->listen);
}

static bool
has_incarnation(const sky_members_t *members, sky_offset_t incarnation)
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
    JOIN_UNVERIFIED, /* the records that decide it are no longer retained */
} join_result_t;

/**
 * A restarted host replaces its earlier incarnation. A new host needs a member
 * as its sponsor, unless it bootstraps or is the first host of all. Every host
 * must reach the same result, also one that began to read after the log had
 * dropped records.
 */
static join_result_t
verify_join(const sky_members_t *members, const sky_rec_member_t *rec)
{
    if (rec->bootstrap || MembersState_Find(members, rec->host) != NULL ||
        has_incarnation(members, rec->sponsor)) {
        return JOIN_ACCEPTED;
    }
    if (members->log_start > 1) {
        return JOIN_UNVERIFIED;
    }
    return members->count == 0 ? JOIN_ACCEPTED : JOIN_REFUSED;
}

static void
mark_verified(sky_members_t *members, host_history_t *history)
{
    const host_history_t *entry;
    if (history->unverified_until_us == 0) {
        return;
    }
    history->unverified_until_us = 0;
    members->unverified_until_us = 0;
    for (entry = members->histories; entry != NULL; entry = entry->hh.next) {
        if (entry->unverified_until_us > members->unverified_until_us) {
            members->unverified_until_us = entry->unverified_until_us;
        }
    }
}

/**
 * A member restates itself whenever half the retention has passed, so a host
 * that is still unverified at the end of this period is no member.
 */
static void
mark_unverified(sky_members_t *members, sky_host_id_t host, uint64_t now_us)
{
    uint64_t until_us =
        now_us + members->options.retention_us / 2 + RESTATE_MARGIN_US;
    MembersState_FindOrAddHistory(members, host)->unverified_until_us =
        until_us;
    members->unverified_until_us = until_us;
}

static void
apply_bootstrap(sky_members_t *members, uint64_t age_us, uint64_t now_us)
{
    uint64_t block_us = members->options.degraded_us;
    members->restated_us = 0; /* restate this host to the new one at once */
    members->eviction_allowed_us = now_us + block_us;
    members->eviction_allowed_us -= age_us < block_us ? age_us : block_us;
}

static bool
apply_join(sky_members_t *members, const sky_record_t *record, uint64_t now_us)
{
    const sky_rec_member_t *rec = &record->u.member;
    join_result_t result = verify_join(members, rec);
    if (result == JOIN_UNVERIFIED) {
        mark_unverified(members, rec->host, now_us);
    }
    if (result != JOIN_ACCEPTED) {
        return false;
    }
    if (rec->bootstrap) {
        apply_bootstrap(members, record->age_ms * US_PER_MS, now_us);
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
 * A restatement adds a member whose JOIN the log no longer retains. It applies
 * only if every record after `as_of` has been read, because a newer REMOVE
 * takes precedence.
 */
static bool
apply_restatement(sky_members_t *members, const sky_record_t *record,
                  uint64_t now_us)
{
    const sky_rec_member_t *rec = &record->u.member;
    host_history_t *history =
        MembersState_FindOrAddHistory(members, rec->host);
    sky_member_t *member = MembersState_Find(members, rec->host);
    if (rec->host == members->self &&
        rec->incarnation == members->incarnation) {
        members->restated_us = now_us;
    }
    if (member != NULL && member->incarnation == rec->incarnation) {
        mark_verified(members, history);
        return false;
    }
    if (rec->as_of + 1 < members->log_start) {
        mark_unverified(members, rec->host, now_us);
        return false;
    }
    mark_verified(members, history);
    if (history->changed_offset > rec->as_of) {
        return false;
    }
    set_member(members, rec, rec->incarnation, now_us);
    if (rec->view > members->view) {
        members->view = rec->view;
    }
    return true;
}

static bool
apply_membership_change(sky_members_t *members, const sky_record_t *record,
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
SkyMembers_ApplyRecord(sky_members_t *members, const sky_record_t *record,
                       uint64_t now_us)
{
    bool changed;
    if (record->kind == SKY_REC_MEMBER_RESTATE) {
        changed = apply_restatement(members, record, now_us);
    }
    else {
        changed = apply_membership_change(members, record, now_us);
        if (changed) {
            host_history_t *history =
                MembersState_FindOrAddHistory(members, record->u.member.host);
            history->changed_offset = record->offset;
            mark_verified(members, history);
            members->view = record->offset;
        }
    }
    if (changed) {
        MembersState_ResetSuspicion(members, now_us);
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
SkyMembers_SetLogStart(sky_members_t *members, sky_offset_t oldest)
{
    if (!members->has_log_start) {
        members->has_log_start = true;
        members->log_start = oldest;
    }
}

void
SkyMembers_ApplyLogRead(sky_members_t *members, const sky_in_log_read_t *read)
{
    if (read->next > members->next) {
        members->next = read->next;
    }
    if (read->reached_tail) {
        members->tail_read_begun_us = read->begun_us;
        MembersState_ExtendLease(members, read->begun_us);
    }
}

bool
SkyMembers_HasLease(const sky_members_t *members, uint64_t now_us)
{
    if (members->options.disabled_mechanisms & SKY_DISABLE_LEASE_CHECK) {
        return members->incarnation != 0;
    }
    return members->incarnation != 0 && now_us < members->lease_until_us &&
           now_us >= members->unverified_until_us;
}

static bool
cannot_read_log(const sky_members_t *members, const sky_member_t *member,
                uint64_t now_us)
{
    if (member->host == members->self) {
        return true;
    }
    return member->acked_heartbeat_sent_us != 0 &&
           member->acked_heartbeat_sent_us +
                   2 * members->options.heartbeat_us >
               now_us &&
           member->ack_log_age_us > members->options.lease_us;
}

bool
SkyMembers_CanDispatch(const sky_members_t *members, uint64_t now_us)
{
    if (members->incarnation == 0 ||
        now_us < members->dispatch_blocked_until_us ||
        now_us < members->unverified_until_us) {
        return false;
    }
    if (SkyMembers_HasLease(members, now_us)) {
        return true;
    }
    if (members->count > OUTAGE_PROBE_MEMBERS_MAX ||
        now_us >= members->lease_until_us + members->options.degraded_us) {
        return false;
    }
    for (size_t i = 0; i < members->count; i++) {
        if (!cannot_read_log(members, &members->list[i], now_us)) {
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
SkyMembers_FindOwner(const sky_members_t *members, uint64_t shard,
                     uint32_t domain)
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
            score |= SAME_DOMAIN_SCORE_BIT;
        }
        if (best == 0 || score > best_score) {
            best = member->host;
            best_score = score;
        }
    }
    return best;
}

sky_host_id_t
SkyMembers_FindClaimWriter(const sky_members_t *members, uint64_t hash,
                           uint32_t writers_max)
{
    if (members->count <= writers_max) {
        return members->self;
    }
    uint64_t writer = hash % writers_max;
    return SkyMembers_FindOwner(members, ~writer, UINT32_MAX);
}

const sky_member_t *
SkyMembers_GetList(const sky_members_t *members, size_t *count)
{
    *count = members->count;
    return members->list;
}

void
SkyMembers_BlockDispatchUntil(sky_members_t *members, uint64_t until_us)
{
    members->dispatch_blocked_until_us = until_us;
}

sky_host_id_t
SkyMembers_SelfId(const sky_members_t *members)
{
    return members->self;
}

sky_offset_t
SkyMembers_ViewOffset(const sky_members_t *members)
{
    return members->view;
}

sky_offset_t
SkyMembers_NextOffset(const sky_members_t *members)
{
    return members->next;
}

uint64_t
SkyMembers_TakeoverWaitUs(const sky_members_t *members)
{
    return members->options.lease_us + members->options.margin_us;
}

uint64_t
SkyMembers_LeaseUntilUs(const sky_members_t *members)
{
    return members->lease_until_us;
}

bool
SkyMembers_CanEvict(const sky_members_t *members, uint64_t now_us)
{
    return now_us >= members->eviction_allowed_us;
}
