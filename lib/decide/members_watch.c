/** @file members_watch.c @brief Joining, leaving and failure detection. */
#include <string.h>

#include "decide/members_state.h"

#define JOIN_RETRY_US UINT64_C(1000000)
#define APPEND_RETRY_US UINT64_C(2000000)
/* Time for the other monitors to deny a suspicion before the removal. */
#define DENIAL_TIMEOUT_US UINT64_C(400000)
/* Time after a denial during which the member is not suspected again. */
#define DENIAL_HOLD_US UINT64_C(2000000)
/* Larger views do not exchange heartbeats between all pairs of members when
 * the log cannot be read. */
#define OUTAGE_PROBE_MEMBERS_MAX 32

/** @return true if @p watcher is one of the SKY_MONITORS_PER_HOST hosts that
 *          follow @p watched on the ring. */
static bool
is_monitor(const sky_members_t *members, sky_host_id_t watcher,
           sky_host_id_t watched)
{
    size_t count = members->count;
    size_t position = MembersState_FindPosition(members, watched);
    for (size_t step = 1; step <= SKY_MONITORS_PER_HOST && step < count;
         step++) {
        if (members->list[(position + step) % count].host == watcher) {
            return true;
        }
    }
    return false;
}

uint64_t
SkyMembers_LogAgeUs(const sky_members_t *members, uint64_t now_us)
{
    if (members->tail_read_begun_us == 0) {
        return UINT64_MAX / 2;
    }
    return now_us - members->tail_read_begun_us;
}

static void
send_heartbeat(const sky_members_t *members, const sky_member_t *to,
               uint64_t now_us, sky_actions_t *out)
{
    sky_msg_t *msg = SkyActions_AddSend(out, to->host, SKY_MSG_HEARTBEAT);
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
fill_own_record(sky_members_t *members, sky_rec_member_t *rec)
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
    memcpy(rec->listen, options->listen, sizeof rec->listen);
}

static sky_record_t *
append_member_record(sky_members_t *members, sky_record_kind_t kind,
                     sky_actions_t *out)
{
    sky_record_t *record = &SkyActions_Add(out, SKY_ACT_APPEND)->u.append;
    record->kind = kind;
    record->nonce = SkyMembers_NextNonce(members);
    fill_own_record(members, &record->u.member);
    return record;
}

static void
append_remove(sky_members_t *members, const sky_member_t *member,
              sky_actions_t *out)
{
    sky_record_t *record = append_member_record(members, SKY_REC_REMOVE, out);
    record->u.member.host = member->host;
    record->u.member.incarnation = member->incarnation;
}

/** Sends a suspicion to the other monitors, which can deny it. */
static void
notify_other_monitors(sky_members_t *members, const sky_member_t *suspect,
                      sky_actions_t *out)
{
    for (size_t i = 0; i < members->count; i++) {
        sky_host_id_t peer = members->list[i].host;
        if (peer == members->self ||
            !is_monitor(members, peer, suspect->host)) {
            continue;
        }
        sky_msg_t *msg = SkyActions_AddSend(out, peer, SKY_MSG_HOST_SUSPECTED);
        msg->u.suspect.host = suspect->host;
        msg->u.suspect.incarnation = suspect->incarnation;
    }
}

static bool
is_silent(const sky_members_t *members, const sky_member_t *member,
          uint64_t now_us)
{
    return member->heartbeat_received_us + members->options.suspect_us <
           now_us;
}

/** Suspects a silent member, then removes it unless a monitor denies it. */
static void
check_member(sky_members_t *members, sky_member_t *member, uint64_t now_us,
             sky_actions_t *out)
{
    if (!is_silent(members, member, now_us)) {
        member->suspected_us = 0;
        return;
    }
    if (now_us < MembersState_FindOrAddHistory(members, member->host)
                     ->denied_until_us) {
        return;
    }
    if (member->suspected_us == 0) {
        member->suspected_us = now_us;
        notify_other_monitors(members, member, out);
    }
    else if (now_us >= member->suspected_us + DENIAL_TIMEOUT_US &&
             SkyMembers_HasLease(members, now_us)) {
        append_remove(members, member, out);
        member->suspected_us = now_us + members->options.suspect_us;
    }
}

static void
check_watched_members(sky_members_t *members, uint64_t now_us,
                      sky_actions_t *out)
{
    bool was_paused =
        members->last_tick_us != 0 &&
        now_us > members->last_tick_us + members->options.suspect_us / 2;
    members->last_tick_us = now_us;
    if (was_paused) {
        MembersState_ResetSuspicion(members, now_us);
        return;
    }
    for (size_t i = 0; i < members->count; i++) {
        sky_member_t *member = &members->list[i];
        if (member->host != members->self &&
            is_monitor(members, members->self, member->host)) {
            check_member(members, member, now_us, out);
        }
    }
}

/** Requests to be added by one member; each call tries the next one. */
static void
request_join(sky_members_t *members, sky_actions_t *out)
{
    const sky_members_options_t *options = &members->options;
    const sky_member_t *member =
        &members->list[members->next_sponsor_index++ % members->count];
    sky_msg_join_request_t *request =
        &SkyActions_AddSend(out, member->host, SKY_MSG_JOIN_REQUEST)
             ->u.join_request;
    request->nonce = members->join_nonce;
    request->domain = options->domain;
    memcpy(request->name, options->name, sizeof request->name);
    memcpy(request->address, options->address, sizeof request->address);
    memcpy(request->listen, options->listen, sizeof request->listen);
}

static void
append_or_request_join(sky_members_t *members, uint64_t now_us,
                       sky_actions_t *out)
{
    /* A restarted host is still in the view, and the first host of a log that
     * dropped no records has nobody to ask. */
    bool needs_sponsor = MembersState_Find(members, members->self) == NULL &&
                         (members->count > 0 || members->log_start > 1);
    if (members->join_nonce == 0) {
        members->join_nonce = SkyMembers_NextNonce(members);
        members->join_begun_us = now_us;
    }
    bool sponsor_timed_out =
        now_us >= members->join_begun_us + members->options.bootstrap_us;
    if (needs_sponsor && !sponsor_timed_out) {
        if (members->count > 0) {
            request_join(members, out);
        }
        return;
    }
    sky_record_t *record = append_member_record(members, SKY_REC_JOIN, out);
    record->nonce = members->join_nonce;
    record->u.member.bootstrap = needs_sponsor;
}

static bool
is_join_or_restate_due(const sky_members_t *members, uint64_t now_us)
{
    uint64_t interval_us =
        members->incarnation == 0 ? JOIN_RETRY_US : APPEND_RETRY_US;
    return members->join_or_restate_sent_us == 0 ||
           now_us >= members->join_or_restate_sent_us + interval_us;
}

/** Appends this host's DRAIN or REMOVE until it has been read back. */
static void
retry_drain_or_remove(sky_members_t *members, uint64_t now_us,
                      sky_actions_t *out)
{
    const sky_member_t *self = MembersState_Find(members, members->self);
    bool is_due = now_us >= members->drain_or_remove_sent_us + APPEND_RETRY_US;
    if (self == NULL || !is_due) {
        return;
    }
    if (members->leaving) {
        members->drain_or_remove_sent_us = now_us;
        append_member_record(members, SKY_REC_REMOVE, out);
    }
    else if (members->draining && !self->draining) {
        members->drain_or_remove_sent_us = now_us;
        append_member_record(members, SKY_REC_DRAIN, out);
    }
}

static void
join_or_restate(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    uint64_t restate_after_us = members->options.retention_us / 2;
    if (members->tail_read_begun_us == 0 || members->leaving ||
        !is_join_or_restate_due(members, now_us)) {
        return;
    }
    if (members->incarnation == 0) {
        members->join_or_restate_sent_us = now_us;
        append_or_request_join(members, now_us, out);
    }
    else if (now_us >= members->restated_us + restate_after_us &&
             !(members->options.disabled_mechanisms &
               SKY_DISABLE_RESTATEMENT)) {
        members->join_or_restate_sent_us = now_us;
        append_member_record(members, SKY_REC_MEMBER_RESTATE, out);
    }
}

void
SkyMembers_Tick(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    join_or_restate(members, now_us, out);
    retry_drain_or_remove(members, now_us, out);
    check_watched_members(members, now_us, out);
    if (members->incarnation != 0) {
        send_heartbeats(members, now_us, out);
    }
}

static void
acknowledge_heartbeat(sky_members_t *members, const sky_in_message_t *in,
                      uint64_t now_us, sky_actions_t *out)
{
    sky_member_t *member = MembersState_Find(members, in->from);
    sky_msg_t *msg = SkyActions_AddSend(out, in->from, SKY_MSG_HEARTBEAT_ACK);
    if (member != NULL) {
        member->heartbeat_received_us = now_us;
    }
    msg->u.heartbeat.sent_us = in->msg.u.heartbeat.sent_us;
    msg->u.heartbeat.log_age_us = SkyMembers_LogAgeUs(members, now_us);
    msg->u.heartbeat.view = members->view;
    msg->u.heartbeat.incarnation = member ? member->incarnation : 0;
}

/**
 * The peer began a tail read at most `log_age_us` before it responded,
 * which was after this host sent the heartbeat. That read showed the same view
 * as this host has, so the lease is extended as if this host had begun a read
 * `log_age_us` before it sent the heartbeat. An acknowledgement for another
 * view does not count: a newer view may have moved a shard even without
 * removing a member.
 */
static void
handle_heartbeat_ack(sky_members_t *members, sky_host_id_t from,
                     const sky_msg_heartbeat_t *ack)
{
    sky_member_t *member = MembersState_Find(members, from);
    if (member == NULL) {
        return;
    }
    if (ack->incarnation != members->incarnation ||
        ack->view != members->view) {
        member->acked_heartbeat_sent_us = 0; /* its view is newer or older */
        return;
    }
    if (ack->sent_us > member->acked_heartbeat_sent_us) {
        member->acked_heartbeat_sent_us = ack->sent_us;
        member->ack_log_age_us = ack->log_age_us;
    }
    if (ack->log_age_us < ack->sent_us) {
        MembersState_ExtendLease(members, ack->sent_us - ack->log_age_us);
    }
}

static void
handle_host_suspected(sky_members_t *members, const sky_in_message_t *in,
                      uint64_t now_us, sky_actions_t *out)
{
    const sky_msg_host_suspected_t *suspect = &in->msg.u.suspect;
    sky_member_t *member = MembersState_Find(members, suspect->host);
    if (suspect->incarnation == 0) { /* a denial from another monitor */
        MembersState_FindOrAddHistory(members, suspect->host)
            ->denied_until_us = now_us + DENIAL_HOLD_US;
        if (member != NULL) {
            member->suspected_us = 0;
        }
        return;
    }
    if (member != NULL && member->incarnation == suspect->incarnation &&
        !is_silent(members, member, now_us)) {
        sky_msg_t *msg =
            SkyActions_AddSend(out, in->from, SKY_MSG_HOST_SUSPECTED);
        msg->u.suspect.host = suspect->host;
    }
}

/** Appends a JOIN that sponsors the sender. It is ignored without a lease:
 *  only a host that can read the log may add another. */
static void
handle_join_request(sky_members_t *members, const sky_in_message_t *in,
                    uint64_t now_us, sky_actions_t *out)
{
    const sky_msg_join_request_t *request = &in->msg.u.join_request;
    if (!SkyMembers_HasLease(members, now_us)) {
        return;
    }
    sky_record_t *record = append_member_record(members, SKY_REC_JOIN, out);
    sky_rec_member_t *rec = &record->u.member;
    record->nonce = request->nonce;
    rec->sponsor = members->incarnation;
    rec->host = in->from;
    rec->incarnation = 0;
    rec->domain = request->domain;
    rec->draining = 0;
    memcpy(rec->name, request->name, sizeof rec->name);
    memcpy(rec->address, request->address, sizeof rec->address);
    memcpy(rec->listen, request->listen, sizeof rec->listen);
}

void
SkyMembers_HandleMessage(sky_members_t *members, const sky_in_message_t *in,
                         uint64_t now_us, sky_actions_t *out)
{
    switch (in->msg.kind) {
    case SKY_MSG_HEARTBEAT:
        acknowledge_heartbeat(members, in, now_us, out);
        break;
    case SKY_MSG_HEARTBEAT_ACK:
        handle_heartbeat_ack(members, in->from, &in->msg.u.heartbeat);
        break;
    case SKY_MSG_HOST_SUSPECTED:
        handle_host_suspected(members, in, now_us, out);
        break;
    case SKY_MSG_JOIN_REQUEST:
        handle_join_request(members, in, now_us, out);
        break;
    default:
        break;
    }
}

void
SkyMembers_BeginDrain(sky_members_t *members)
{
    members->draining = true;
    members->drain_or_remove_sent_us = 0;
}

void
SkyMembers_Leave(sky_members_t *members)
{
    members->leaving = true;
    members->drain_or_remove_sent_us = 0;
}
