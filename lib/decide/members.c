#include "decide/members.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

#define US_PER_MS 1000
#define JOIN_RETRY_US UINT64_C(1000000)
#define RESTATE_SLACK_US UINT64_C(10000000)
#define RESTATE_RETRY_US UINT64_C(2000000)
#define DENIAL_WAIT_US UINT64_C(400000)
#define DENIAL_REST_US UINT64_C(2000000)
#define OUTAGE_PROBE_MEMBERS_MAX 32
#define DOMAIN_BONUS (UINT64_C(1) << 63)

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

static history_t *
history_of(sky_members_t *members, sky_host_id_t host)
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

static size_t
ring_position(const sky_members_t *members, sky_host_id_t host)
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

static sky_member_t *
find_member(const sky_members_t *members, sky_host_id_t host)
{
    size_t at = ring_position(members, host);
    if (at < members->count && members->list[at].host == host) {
        return &members->list[at];
    }
    return NULL;
}

const sky_member_t *
SkyMembers_Find(const sky_members_t *members, sky_host_id_t host)
{
    return find_member(members, host);
}

static sky_member_t *
insert_member(sky_members_t *members, sky_host_id_t host)
{
    sky_member_t *found = find_member(members, host);
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
    size_t at = ring_position(members, host);
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
static void
restart_suspicion(sky_members_t *members, uint64_t now_us)
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
    if (rec->bootstrap || find_member(members, rec->host) != NULL ||
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
    history_of(members, host)->unverified_until_us = until_us;
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
    sky_member_t *member = find_member(members, rec->host);
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
    sky_member_t *member = find_member(members, rec->host);
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
    history_t *history = history_of(members, rec->host);
    sky_member_t *member = find_member(members, rec->host);
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
            history_t *history = history_of(members, record->u.member.host);
            history->changed = record->offset;
            mark_verified(members, history);
            members->view = record->offset;
        }
    }
    if (changed) {
        restart_suspicion(members, now_us);
    }
    return changed;
}

static void
extend_lease(sky_members_t *members, uint64_t read_begun_us)
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
        extend_lease(members, read->begun_us);
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

/* ---- heartbeats and suspicion ------------------------------------------ */

/** @return true if @p watcher is one of the hosts that watch @p watched. */
static bool
is_monitor(const sky_members_t *members, sky_host_id_t watcher,
           sky_host_id_t watched)
{
    size_t count = members->count;
    size_t at = ring_position(members, watched);
    for (size_t step = 1; step <= SKY_MONITORS && step < count; step++) {
        if (members->list[(at + step) % count].host == watcher) {
            return true;
        }
    }
    return false;
}

uint64_t
SkyMembers_LogAgeUs(const sky_members_t *members, uint64_t now_us)
{
    if (members->tail_read_us == 0) {
        return UINT64_MAX / 2;
    }
    return now_us - members->tail_read_us;
}

static void
send_heartbeat(const sky_members_t *members, const sky_member_t *to,
               uint64_t now_us, sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_Send(out, to->host, SKY_MSG_HEARTBEAT);
    msg->u.heartbeat.sent_us = now_us;
    msg->u.heartbeat.log_age_us = SkyMembers_LogAgeUs(members, now_us);
    msg->u.heartbeat.view = members->view;
    msg->u.heartbeat.incarnation = members->incarnation;
}

static void
send_heartbeats(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    uint64_t log_age_us = SkyMembers_LogAgeUs(members, now_us);
    bool probe_all = log_age_us > members->options.lease_us / 2 &&
                     members->count <= OUTAGE_PROBE_MEMBERS_MAX;
    if (now_us < members->heartbeat_sent_us + members->options.heartbeat_us) {
        return;
    }
    members->heartbeat_sent_us = now_us;
    for (size_t i = 0; i < members->count; i++) {
        const sky_member_t *peer = &members->list[i];
        if (peer->host == members->self) {
            continue;
        }
        if (probe_all || is_monitor(members, peer->host, members->self)) {
            send_heartbeat(members, peer, now_us, out);
        }
    }
}

static void
fill_member(sky_members_t *members, sky_rec_member_t *rec)
{
    const sky_members_options_t *options = &members->options;
    rec->host = members->self;
    rec->incarnation = members->incarnation;
    rec->as_of = members->next - 1;
    rec->view = members->view;
    rec->domain = options->domain;
    rec->draining = members->draining;
    memcpy(rec->name, options->name, sizeof rec->name);
    memcpy(rec->address, options->address, sizeof rec->address);
}

static sky_record_t *
append_member(sky_members_t *members, sky_record_kind_t kind,
              sky_actions_t *out)
{
    sky_record_t *record = &SkyActions_Add(out, SKY_ACT_APPEND)->u.append;
    record->kind = kind;
    record->nonce = SkyMembers_Nonce(members);
    fill_member(members, &record->u.member);
    return record;
}

static void
append_remove(sky_members_t *members, const sky_member_t *member,
              sky_actions_t *out)
{
    sky_record_t *record = append_member(members, SKY_REC_REMOVE, out);
    record->u.member.host = member->host;
    record->u.member.incarnation = member->incarnation;
}

static void
ask_other_monitors(sky_members_t *members, const sky_member_t *suspect,
                   sky_actions_t *out)
{
    for (size_t i = 0; i < members->count; i++) {
        sky_host_id_t peer = members->list[i].host;
        if (peer == members->self ||
            !is_monitor(members, peer, suspect->host)) {
            continue;
        }
        sky_msg_t *msg = SkyActions_Send(out, peer, SKY_MSG_SUSPECT);
        msg->u.suspect.host = suspect->host;
        msg->u.suspect.incarnation = suspect->incarnation;
    }
}

static bool
is_silent(const sky_members_t *members, const sky_member_t *member,
          uint64_t now_us)
{
    return member->heard_us + members->options.suspect_us < now_us;
}

static void
watch(sky_members_t *members, sky_member_t *member, uint64_t now_us,
      sky_actions_t *out)
{
    if (!is_silent(members, member, now_us)) {
        member->suspect_us = 0;
        return;
    }
    if (now_us < history_of(members, member->host)->denied_us) {
        return;
    }
    if (member->suspect_us == 0) {
        member->suspect_us = now_us;
        ask_other_monitors(members, member, out);
    }
    else if (now_us >= member->suspect_us + DENIAL_WAIT_US &&
             SkyMembers_HoldsLease(members, now_us)) {
        append_remove(members, member, out);
        member->suspect_us = now_us + members->options.suspect_us;
    }
}

static void
watch_neighbours(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    bool was_paused =
        members->tick_us != 0 &&
        now_us > members->tick_us + members->options.suspect_us / 2;
    members->tick_us = now_us;
    if (was_paused) {
        restart_suspicion(members, now_us);
        return;
    }
    for (size_t i = 0; i < members->count; i++) {
        sky_member_t *member = &members->list[i];
        if (member->host != members->self &&
            is_monitor(members, members->self, member->host)) {
            watch(members, member, now_us, out);
        }
    }
}

/** Asks one member after the other to be let in. */
static void
ask_to_join(sky_members_t *members, sky_actions_t *out)
{
    const sky_members_options_t *options = &members->options;
    const sky_member_t *member =
        &members->list[members->ask_turn++ % members->count];
    sky_msg_join_ask_t *ask =
        &SkyActions_Send(out, member->host, SKY_MSG_JOIN_ASK)->u.join_ask;
    ask->nonce = members->join_nonce;
    ask->domain = options->domain;
    memcpy(ask->name, options->name, sizeof ask->name);
    memcpy(ask->address, options->address, sizeof ask->address);
}

static void
join(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    bool may_ask = find_member(members, members->self) == NULL &&
                   (members->count > 0 || members->start > 1);
    if (members->join_nonce == 0) {
        members->join_nonce = SkyMembers_Nonce(members);
        members->ask_begun_us = now_us;
    }
    bool bootstrap =
        now_us >= members->ask_begun_us + members->options.bootstrap_us;
    if (may_ask && !bootstrap) {
        if (members->count > 0) {
            ask_to_join(members, out);
        }
        return;
    }
    sky_record_t *record = append_member(members, SKY_REC_JOIN, out);
    record->nonce = members->join_nonce;
    record->u.member.bootstrap = may_ask;
}

static bool
is_due(const sky_members_t *members, uint64_t now_us)
{
    uint64_t every_us =
        members->incarnation == 0 ? JOIN_RETRY_US : RESTATE_RETRY_US;
    return members->join_sent_us == 0 ||
           now_us >= members->join_sent_us + every_us;
}

/** Appends DRAIN and the final REMOVE again until the log has them. */
static void
retry_stop(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    const sky_member_t *self = find_member(members, members->self);
    bool due = now_us >= members->stop_sent_us + RESTATE_RETRY_US;
    if (self == NULL || !due) {
        return;
    }
    if (members->leaving) {
        members->stop_sent_us = now_us;
        append_member(members, SKY_REC_REMOVE, out);
    }
    else if (members->draining && !self->draining) {
        members->stop_sent_us = now_us;
        append_member(members, SKY_REC_DRAIN, out);
    }
}

static void
join_or_restate(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    uint64_t restate_after_us = members->options.retention_us / 2;
    if (members->tail_read_us == 0 || members->leaving ||
        !is_due(members, now_us)) {
        return;
    }
    if (members->incarnation == 0) {
        members->join_sent_us = now_us;
        join(members, now_us, out);
    }
    else if (now_us >= members->restated_us + restate_after_us &&
             !(members->options.off & SKY_OFF_RESTATE)) {
        members->join_sent_us = now_us;
        append_member(members, SKY_REC_MEMBER, out);
    }
}

void
SkyMembers_Tick(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    join_or_restate(members, now_us, out);
    retry_stop(members, now_us, out);
    watch_neighbours(members, now_us, out);
    if (members->incarnation != 0) {
        send_heartbeats(members, now_us, out);
    }
}

static void
answer_heartbeat(sky_members_t *members, const sky_in_message_t *in,
                 uint64_t now_us, sky_actions_t *out)
{
    sky_member_t *member = find_member(members, in->from);
    sky_msg_t *msg = SkyActions_Send(out, in->from, SKY_MSG_HEARTBEAT_ACK);
    if (member != NULL) {
        member->heard_us = now_us;
    }
    msg->u.heartbeat.sent_us = in->msg.u.heartbeat.sent_us;
    msg->u.heartbeat.log_age_us = SkyMembers_LogAgeUs(members, now_us);
    msg->u.heartbeat.view = members->view;
    msg->u.heartbeat.incarnation = member ? member->incarnation : 0;
}

/**
 * The peer began a tail read at most `log_age_us` before it answered, which
 * was after this host sent the heartbeat; the read showed the very view that
 * this host has, so the lease reaches from that moment as if the read were
 * our own. A later view may have moved a shard, also without a removal.
 */
static void
take_ack(sky_members_t *members, sky_host_id_t from,
         const sky_msg_heartbeat_t *ack)
{
    sky_member_t *member = find_member(members, from);
    if (member == NULL) {
        return;
    }
    if (ack->incarnation != members->incarnation ||
        ack->view != members->view) {
        member->acked_us = 0; /* it knows more, or less, than this host */
        return;
    }
    if (ack->sent_us > member->acked_us) {
        member->acked_us = ack->sent_us;
        member->ack_log_age_us = ack->log_age_us;
    }
    if (ack->log_age_us < ack->sent_us) {
        extend_lease(members, ack->sent_us - ack->log_age_us);
    }
}

static void
take_suspect(sky_members_t *members, const sky_in_message_t *in,
             uint64_t now_us, sky_actions_t *out)
{
    const sky_msg_suspect_t *suspect = &in->msg.u.suspect;
    sky_member_t *member = find_member(members, suspect->host);
    if (suspect->incarnation == 0) {
        history_of(members, suspect->host)->denied_us =
            now_us + DENIAL_REST_US;
        if (member != NULL) {
            member->suspect_us = 0;
        }
        return;
    }
    if (member != NULL && member->incarnation == suspect->incarnation &&
        !is_silent(members, member, now_us)) {
        sky_msg_t *msg = SkyActions_Send(out, in->from, SKY_MSG_SUSPECT);
        msg->u.suspect.host = suspect->host;
    }
}

/** Lets a host in; only one that can read the log may. */
static void
take_join_ask(sky_members_t *members, const sky_in_message_t *in,
              uint64_t now_us, sky_actions_t *out)
{
    const sky_msg_join_ask_t *ask = &in->msg.u.join_ask;
    if (!SkyMembers_HoldsLease(members, now_us)) {
        return;
    }
    sky_record_t *record = append_member(members, SKY_REC_JOIN, out);
    sky_rec_member_t *rec = &record->u.member;
    record->nonce = ask->nonce;
    rec->sponsor = members->incarnation;
    rec->host = in->from;
    rec->incarnation = 0;
    rec->domain = ask->domain;
    rec->draining = 0;
    memcpy(rec->name, ask->name, sizeof rec->name);
    memcpy(rec->address, ask->address, sizeof rec->address);
}

void
SkyMembers_Message(sky_members_t *members, const sky_in_message_t *in,
                   uint64_t now_us, sky_actions_t *out)
{
    switch (in->msg.kind) {
    case SKY_MSG_HEARTBEAT:
        answer_heartbeat(members, in, now_us, out);
        break;
    case SKY_MSG_HEARTBEAT_ACK:
        take_ack(members, in->from, &in->msg.u.heartbeat);
        break;
    case SKY_MSG_SUSPECT:
        take_suspect(members, in, now_us, out);
        break;
    case SKY_MSG_JOIN_ASK:
        take_join_ask(members, in, now_us, out);
        break;
    default:
        break;
    }
}

void
SkyMembers_Drain(sky_members_t *members)
{
    members->draining = true;
    members->stop_sent_us = 0;
}

void
SkyMembers_Leave(sky_members_t *members)
{
    members->leaving = true;
    members->stop_sent_us = 0;
}

/* ---- views -------------------------------------------------------------- */

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
