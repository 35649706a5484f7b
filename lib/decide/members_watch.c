/** @file members_watch.c @brief Joining, leaving, heartbeats, suspicion. */
#include <string.h>

#include "decide/members_state.h"

#define JOIN_RETRY_US UINT64_C(1000000)
#define RESTATE_RETRY_US UINT64_C(2000000)
#define DENIAL_WAIT_US UINT64_C(400000)
#define DENIAL_REST_US UINT64_C(2000000)
#define OUTAGE_PROBE_MEMBERS_MAX 32

/** @return true if @p watcher is one of the hosts that watch @p watched. */
static bool
is_monitor(const sky_members_t *members, sky_host_id_t watcher,
           sky_host_id_t watched)
{
    size_t count = members->count;
    size_t at = MembersState_Position(members, watched);
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
    memcpy(rec->listen, options->listen, sizeof rec->listen);
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
    if (now_us < MembersState_History(members, member->host)->denied_us) {
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
        MembersState_RestartSuspicion(members, now_us);
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
    memcpy(ask->listen, options->listen, sizeof ask->listen);
}

static void
join(sky_members_t *members, uint64_t now_us, sky_actions_t *out)
{
    bool may_ask = MembersState_Find(members, members->self) == NULL &&
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
    const sky_member_t *self = MembersState_Find(members, members->self);
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
    sky_member_t *member = MembersState_Find(members, in->from);
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
    sky_member_t *member = MembersState_Find(members, from);
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
        MembersState_ExtendLease(members, ack->sent_us - ack->log_age_us);
    }
}

static void
take_suspect(sky_members_t *members, const sky_in_message_t *in,
             uint64_t now_us, sky_actions_t *out)
{
    const sky_msg_suspect_t *suspect = &in->msg.u.suspect;
    sky_member_t *member = MembersState_Find(members, suspect->host);
    if (suspect->incarnation == 0) {
        MembersState_History(members, suspect->host)->denied_us =
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
    memcpy(rec->listen, ask->listen, sizeof rec->listen);
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
