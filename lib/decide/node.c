#include "decide/node.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "decide/openings.h"

#define US_PER_MS 1000
#define READ_WAIT_US UINT64_C(3000000)
#define WANTED_REFRESH_US UINT64_C(10000000)
#define TOLD_LEAVING_US UINT64_C(15000000) /* the list has caught up */
#define JOINING_POLLS 4            /* times as often while this host joins */
#define SNAPSHOT_WAIT_MIN 0.25     /* of the time between snapshots */
#define PAUSE_US UINT64_C(1000000) /* a longer gap was a pause */
#define LIST_WAIT_US UINT64_C(2000000) /* for the list, after a pause */
#define RESTATE_EVERY_US UINT64_C(1000000)

struct sky_node {
    sky_node_options_t options;
    sky_members_t *members;
    sky_config_t *config;
    sky_claims_t *claims;
    sky_doubts_t *doubts;
    sky_entry_t *entry;
    sky_shard_t **shards;
    uint32_t shard_count;
    bool *listed_leaving;
    bool *leaving;
    uint64_t *told_us; /* when a peer said that a target leaves */
    bool draining;
    bool closing;
    bool lost;
    bool log_begun;
    bool caught_up;
    bool read_due;
    uint64_t read_sent_us;
    bool reading;
    uint64_t read_done_us;
    uint64_t restated_us;
    uint64_t stepped_us;
    uint64_t wanted_us;
    bool wanted_due;
    sky_actions_t local; /* messages to this host itself */
};

void
SkyNode_Defaults(sky_node_options_t *options)
{
    memset(options, 0, sizeof *options);
    options->members.lease_us = 1500000;
    options->members.margin_us = 1000000;
    options->members.heartbeat_us = 300000;
    options->members.suspect_us = 1200000;
    options->members.bootstrap_us = 5000000;
    options->members.degraded_us = UINT64_C(600000000);
    options->members.retention_us = UINT64_C(3600000000);
    options->shard.policy = SKY_POLICY_CROWD;
    options->shard.transit_max = 4;
    options->shard.load_us = 900000;
    options->shard.report_us = 1000000;
    options->shard.starvation_us = 20000000;
    options->shard.quarantine_us = UINT64_C(600000000);
    options->shard.know_openings = true;
    options->shard.refill = true;
    options->entry.claim_writers_max = 8;
    options->entry.key_life_us = UINT64_C(1800000000);
    options->entry.claim_wait_us = 2000000;
    options->entry.ask_again_us = 500000;
    options->entry.send_within_us = 1000000;
    options->entry.attempts_max = 3;
    options->entry.retry_share = 0.1;
    options->entry.retry_burst = 20.0;
    options->claims.interval_us = 100000;
    options->claims.keep_us = UINT64_C(3600000000);
    options->claims.wait_us = 1800000;
    options->log_poll_us = 400000;
    options->shard_targets = 32;
}

static bool
create_shards(sky_node_t *node)
{
    const sky_node_options_t *options = &node->options;
    node->shard_count = (options->target_count + options->shard_targets - 1) /
                        options->shard_targets;
    node->shards = calloc(node->shard_count, sizeof *node->shards);
    if (node->shards == NULL) {
        return false;
    }
    for (uint32_t i = 0; i < node->shard_count; i++) {
        uint32_t first = i * options->shard_targets;
        uint32_t left = options->target_count - first;
        uint32_t count =
            left < options->shard_targets ? left : options->shard_targets;
        node->shards[i] = SkyShard_Create(&options->shard, i, options->targets,
                                          first, count, node->members);
        if (node->shards[i] == NULL) {
            return false;
        }
    }
    return true;
}

sky_node_t *
SkyNode_Create(const sky_node_options_t *options)
{
    sky_node_t *node = calloc(1, sizeof *node);
    if (node == NULL) {
        return NULL;
    }
    node->options = *options;
    node->options.members.off = options->off;
    node->options.shard.off = options->off;
    node->options.entry.off = options->off;
    options = &node->options;
    node->members = SkyMembers_Create(&options->members);
    node->config =
        SkyConfig_Create(options->members.retention_us, options->off);
    node->claims = SkyClaims_Create(&options->claims);
    node->told_us = calloc(options->target_count, sizeof *node->told_us);
    node->leaving = calloc(options->target_count, sizeof *node->leaving);
    node->listed_leaving =
        calloc(options->target_count, sizeof *node->listed_leaving);
    if (node->members != NULL) {
        node->doubts = SkyDoubts_Create(node->members);
        node->entry = SkyEntry_Create(
            &options->entry, options->targets, options->target_count,
            options->shard_targets, node->members, node->doubts);
    }
    if (node->members == NULL || node->config == NULL ||
        node->claims == NULL || node->doubts == NULL || node->entry == NULL ||
        node->leaving == NULL || node->told_us == NULL ||
        node->listed_leaving == NULL || !create_shards(node)) {
        SkyNode_Free(node);
        return NULL;
    }
    return node;
}

void
SkyNode_Free(sky_node_t *node)
{
    if (node == NULL) {
        return;
    }
    for (uint32_t i = 0; i < node->shard_count && node->shards; i++) {
        SkyShard_Free(node->shards[i]);
    }
    free(node->shards);
    SkyEntry_Free(node->entry);
    SkyDoubts_Free(node->doubts);
    SkyClaims_Free(node->claims);
    SkyConfig_Free(node->config);
    SkyMembers_Free(node->members);
    SkyActions_Free(&node->local);
    free(node->told_us);
    free(node->leaving);
    free(node->listed_leaving);
    free(node);
}

/* ---- messages ---- */

static sky_shard_t *
find_shard(sky_node_t *node, uint32_t index)
{
    return index < node->shard_count ? node->shards[index] : NULL;
}

static void
to_shard(sky_node_t *node, uint32_t index, const sky_in_message_t *in,
         uint64_t now_us, sky_actions_t *out)
{
    sky_shard_t *shard = find_shard(node, index);
    if (shard != NULL) {
        SkyShard_Message(shard, in, now_us, out);
    }
}

static void
set_leaving(sky_node_t *node, uint32_t target, bool leaving)
{
    node->leaving[target] = leaving;
    SkyShard_SetLeaving(node->shards[target / node->options.shard_targets],
                        target, leaving);
    SkyEntry_SetLeaving(node->entry, target, leaving);
}

static void
take_leaving(sky_node_t *node, const sky_msg_leaving_t *told, uint64_t now_us)
{
    if (told->target < node->options.target_count) {
        node->told_us[told->target] = now_us;
        set_leaving(node, told->target, told->leaving != 0);
    }
}

static void
take_doubt(sky_node_t *node, const sky_rec_crash_t *crash, uint64_t now_us)
{
    sky_shard_t *shard =
        find_shard(node, crash->target / node->options.shard_targets);
    SkyDoubts_Keep(node->doubts, crash, now_us);
    if (shard != NULL) {
        SkyShard_Hold(shard, crash, now_us);
    }
}

/** What peers said holds until this host's own list has caught up. */
static void
return_to_list(sky_node_t *node, uint64_t now_us)
{
    for (uint32_t t = 0; t < node->options.target_count; t++) {
        if (node->leaving[t] != node->listed_leaving[t] &&
            now_us >= node->told_us[t] + TOLD_LEAVING_US) {
            set_leaving(node, t, node->listed_leaving[t]);
        }
    }
}

static void
take_message(sky_node_t *node, const sky_in_message_t *in, uint64_t now_us,
             sky_actions_t *out)
{
    switch (in->msg.kind) {
    case SKY_MSG_HEARTBEAT:
    case SKY_MSG_HEARTBEAT_ACK:
    case SKY_MSG_SUSPECT:
    case SKY_MSG_JOIN_ASK:
        SkyMembers_Message(node->members, in, now_us, out);
        break;
    case SKY_MSG_ACQUIRE:
        to_shard(node, in->msg.u.acquire.shard, in, now_us, out);
        break;
    case SKY_MSG_DONE:
        to_shard(node, in->msg.u.done.shard, in, now_us, out);
        break;
    case SKY_MSG_INFLIGHT:
        to_shard(node, in->msg.u.inflight.shard, in, now_us, out);
        break;
    case SKY_MSG_HANDOVER:
        to_shard(node, in->msg.u.shard.shard, in, now_us, out);
        break;
    case SKY_MSG_LEAVING:
        take_leaving(node, &in->msg.u.leaving, now_us);
        break;
    case SKY_MSG_DOUBT:
        take_doubt(node, &in->msg.u.doubt, now_us);
        break;
    case SKY_MSG_CLAIM_ASK:
        SkyClaims_Ask(node->claims, in->from, &in->msg.u.claim_ask, now_us,
                      out);
        break;
    default:
        SkyEntry_Message(node->entry, in, now_us, out);
        break;
    }
}

/** Hands messages to this host over at once, in order. */
static void
deliver_local(sky_node_t *node, size_t from, uint64_t now_us,
              sky_actions_t *out)
{
    sky_host_id_t self = SkyMembers_Self(node->members);
    for (size_t i = from; i < out->count; i++) {
        if (out->items[i].kind != SKY_ACT_SEND ||
            out->items[i].u.send.to != self) {
            continue;
        }
        sky_in_message_t in = {self, out->items[i].u.send.msg};
        out->items[i].u.send.to = 0; /* taken */
        take_message(node, &in, now_us, out);
    }
    size_t kept = from;
    for (size_t i = from; i < out->count; i++) {
        if (out->items[i].kind == SKY_ACT_SEND &&
            out->items[i].u.send.to == 0) {
            continue;
        }
        if (kept != i) {
            out->items[kept] = out->items[i];
        }
        kept++;
    }
    out->count = kept;
}

/* ---- log ---- */

static void
view_changed(sky_node_t *node, uint64_t now_us, sky_actions_t *out)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        SkyShard_ViewChanged(node->shards[i], now_us, out);
    }
    SkyEntry_ViewChanged(node->entry, now_us, out);
}

static void
apply_claims(sky_node_t *node, const sky_record_t *record, uint64_t now_us,
             sky_actions_t *out)
{
    const sky_rec_claims_t *rec = &record->u.claims;
    SkyClaims_Apply(node->claims, record, now_us, out);
    for (uint32_t i = 0; i < rec->count && record->kind == SKY_REC_CLAIMS;
         i++) {
        SkyEntry_ClaimSeen(node->entry, &rec->keys[i], rec->requests[i], out);
    }
}

static void
apply_crash(sky_node_t *node, const sky_record_t *record, uint64_t now_us)
{
    uint32_t target = record->u.crash.target;
    sky_shard_t *shard =
        find_shard(node, target / node->options.shard_targets);
    SkyDoubts_Seen(node->doubts, &record->u.crash);
    if (shard != NULL) {
        SkyShard_ApplyCrash(shard, record, now_us);
    }
}

static void
apply_record(sky_node_t *node, const sky_record_t *record, uint64_t now_us,
             sky_actions_t *out)
{
    switch (record->kind) {
    case SKY_REC_JOIN:
    case SKY_REC_DRAIN:
    case SKY_REC_REMOVE:
    case SKY_REC_MEMBER:
        if (SkyMembers_Apply(node->members, record, now_us)) {
            view_changed(node, now_us, out);
        }
        break;
    case SKY_REC_CLAIMS:
    case SKY_REC_RELEASE:
        apply_claims(node, record, now_us, out);
        break;
    case SKY_REC_SUSPECT:
    case SKY_REC_CRASH:
        apply_crash(node, record, now_us);
        break;
    case SKY_REC_CONFIG:
    case SKY_REC_CONFIG_RESTATE:
    case SKY_REC_SNAPSHOT:
        SkyConfig_Apply(node->config, record, now_us, out);
        node->wanted_due = true;
        break;
    }
}

static void
take_log(sky_node_t *node, const sky_in_log_read_t *read, uint64_t now_us,
         sky_actions_t *out)
{
    sky_offset_t next = SkyMembers_Next(node->members);
    node->reading = false;
    node->read_done_us = now_us;
    if (!read->ok) {
        return;
    }
    if (node->log_begun && read->oldest > next) {
        node->lost = true; /* records were dropped before they were read */
        return;
    }
    node->log_begun = true;
    SkyMembers_NoteStart(node->members, read->oldest);
    SkyConfig_NoteStart(node->config, read->oldest);
    for (uint32_t i = 0; i < read->count; i++) {
        if (read->records[i].offset >= next) {
            apply_record(node, &read->records[i], now_us, out);
        }
    }
    SkyMembers_NoteRead(node->members, read);
    node->caught_up = node->caught_up || read->reached_tail;
    node->read_due = !read->reached_tail;
}

static bool
is_member(const sky_node_t *node)
{
    return SkyMembers_Find(node->members, SkyMembers_Self(node->members)) !=
           NULL;
}

static void
read_log_if_due(sky_node_t *node, uint64_t now_us, sky_actions_t *out)
{
    uint64_t poll_us = node->options.log_poll_us;
    if (!is_member(node)) {
        poll_us /= JOINING_POLLS; /* others append this host's JOIN */
    }
    bool due = node->read_due || now_us >= node->read_done_us + poll_us;
    bool waiting = node->reading && now_us < node->read_sent_us + READ_WAIT_US;
    if (!due || waiting || node->lost) {
        return;
    }
    node->reading = true;
    node->read_due = false;
    node->read_sent_us = now_us;
    SkyActions_Add(out, SKY_ACT_READ_LOG)->u.read_from =
        SkyMembers_Next(node->members);
}

/* ---- openings ---- */

static void
refresh_wanted(sky_node_t *node, uint64_t now_us, uint64_t wall_ms)
{
    if (!node->wanted_due && now_us < node->wanted_us + WANTED_REFRESH_US) {
        return;
    }
    node->wanted_due = false;
    node->wanted_us = now_us;
    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (!SkyShard_IsActive(node->shards[i])) {
            continue;
        }
        uint32_t count;
        sky_wanted_t *list = SkyOpenings_Gather(node->config, node->entry, i,
                                                now_us, wall_ms, &count);
        SkyShard_SetWanted(node->shards[i], list, count);
        free(list);
    }
}

/* ---- time ---- */

/** The owner of the first shard writes snapshots; should it fail to, for it
 *  may itself have begun to read too late, the others follow one by one. */
static void
write_snapshot(sky_node_t *node, uint64_t now_us, sky_actions_t *out)
{
    if ((node->options.off & SKY_OFF_RESTATE) || !is_member(node) ||
        now_us < node->restated_us + RESTATE_EVERY_US) {
        return;
    }
    bool first = node->shard_count > 0 && SkyShard_IsActive(node->shards[0]);
    sky_host_id_t self = SkyMembers_Self(node->members);
    double wait = first ? 0 : SNAPSHOT_WAIT_MIN + (double)(self % 1000) / 2000;
    node->restated_us = now_us;
    SkyConfig_WriteSnapshot(node->config, SkyMembers_Next(node->members) - 1,
                            wait, SkyMembers_Nonce(node->members), now_us,
                            out);
}

static void
tick(sky_node_t *node, uint64_t now_us, uint64_t wall_ms, sky_actions_t *out)
{
    SkyMembers_Tick(node->members, now_us, out);
    return_to_list(node, now_us);
    refresh_wanted(node, now_us, wall_ms);
    for (uint32_t i = 0; i < node->shard_count; i++) {
        SkyShard_Tick(node->shards[i], now_us, out);
    }
    SkyDoubts_Tick(node->doubts, now_us, out);
    SkyEntry_Tick(node->entry, now_us, out);
    SkyConfig_Tick(node->config, now_us, out);
    write_snapshot(node, now_us, out);
}

static void
take_host_list(sky_node_t *node, const sky_in_host_list_t *list,
               sky_actions_t *out)
{
    size_t count;
    const sky_member_t *members = SkyMembers_List(node->members, &count);
    if (node->options.off & SKY_OFF_LEAVING) {
        return;
    }
    if (list->count > 0) {
        SkyMembers_NoteStale(node->members, 0);
    }
    for (uint32_t i = 0; i < list->count; i++) {
        uint32_t target = list->states[i].target;
        bool leaving = list->states[i].leaving;
        if (target >= node->options.target_count ||
            node->listed_leaving[target] == leaving) {
            continue;
        }
        node->listed_leaving[target] = leaving;
        if (node->leaving[target] == leaving) {
            continue;
        }
        set_leaving(node, target, leaving);
        for (size_t m = 0; m < count; m++) {
            if (members[m].host == SkyMembers_Self(node->members)) {
                continue;
            }
            sky_msg_t *msg =
                SkyActions_Send(out, members[m].host, SKY_MSG_LEAVING);
            msg->u.leaving.target = target;
            msg->u.leaving.leaving = leaving;
        }
    }
}

static bool
is_serving(const sky_node_t *node, uint64_t now_us)
{
    return node->caught_up && !node->lost &&
           SkyMembers_IsReady(node->members, now_us) &&
           SkyConfig_IsComplete(node->config);
}

static void
take_request(sky_node_t *node, const sky_in_request_t *request,
             uint64_t now_us, sky_actions_t *out)
{
    if (node->closing || !is_serving(node, now_us)) {
        sky_action_t *action = SkyActions_Add(out, SKY_ACT_ANSWER);
        action->u.answer.request = request->request;
        action->u.answer.code =
            node->closing ? SKY_E_DRAINING : SKY_E_NOT_READY;
        action->u.answer.retry_after_ms = 1000;
        return;
    }
    SkyEntry_Request(node->entry, request, now_us, out);
}

static void
to_each_shard_report(sky_node_t *node, const sky_in_report_t *report,
                     uint64_t now_us, sky_actions_t *out)
{
    sky_shard_t *shard =
        find_shard(node, report->target / node->options.shard_targets);
    if (shard != NULL) {
        SkyShard_Report(shard, report, now_us, out);
    }
}

static void
order_done(sky_node_t *node, const sky_in_order_done_t *done, uint64_t now_us,
           sky_actions_t *out)
{
    sky_shard_t *shard =
        find_shard(node, done->order.target / node->options.shard_targets);
    if (shard != NULL) {
        SkyShard_OrderDone(shard, done, now_us, out);
    }
}

static void
dispatch_input(sky_node_t *node, const sky_input_t *input, uint64_t now_us,
               uint64_t wall_ms, sky_actions_t *out)
{
    switch (input->kind) {
    case SKY_IN_TICK:
        tick(node, now_us, wall_ms, out);
        break;
    case SKY_IN_MESSAGE:
        take_message(node, &input->u.message, now_us, out);
        break;
    case SKY_IN_LOG_READ:
        take_log(node, &input->u.log_read, now_us, out);
        break;
    case SKY_IN_APPENDED:
        node->read_due = true; /* whatever the answer, the log tells */
        break;
    case SKY_IN_REPORT:
        to_each_shard_report(node, &input->u.report, now_us, out);
        break;
    case SKY_IN_ORDER_DONE:
        order_done(node, &input->u.order_done, now_us, out);
        break;
    case SKY_IN_REQUEST:
        take_request(node, &input->u.request, now_us, out);
        break;
    case SKY_IN_OUTCOME:
        SkyEntry_Outcome(node->entry, &input->u.outcome, now_us, out);
        break;
    case SKY_IN_CANCEL:
        SkyEntry_Cancel(node->entry, input->u.cancel, out);
        break;
    case SKY_IN_HOST_LIST:
        take_host_list(node, &input->u.host_list, out);
        break;
    case SKY_IN_CHANGE:
        SkyConfig_Change(node->config, &input->u.change,
                         SkyMembers_Nonce(node->members), now_us, out);
        break;
    case SKY_IN_DRAIN:
        node->draining = true;
        SkyMembers_Drain(node->members);
        break;
    case SKY_IN_CLOSE:
        node->closing = true;
        break;
    case SKY_IN_LEAVE:
        SKY_INVARIANT(SKY_INV_SHUTDOWN, SkyEntry_OpenCount(node->entry) == 0);
        SkyMembers_Leave(node->members);
        break;
    }
}

void
SkyNode_Step(sky_node_t *node, const sky_input_t *input, uint64_t now_us,
             uint64_t wall_ms, sky_actions_t *out)
{
    size_t from = out->count;
    if (now_us > node->stepped_us + PAUSE_US) {
        SkyMembers_NoteStale(node->members, now_us + LIST_WAIT_US);
    }
    node->stepped_us = now_us;
    dispatch_input(node, input, now_us, wall_ms, out);
    deliver_local(node, from, now_us, out);
    SkyClaims_Tick(node->claims, SkyMembers_Nonce(node->members), now_us, out);
    deliver_local(node, from, now_us, out);
    read_log_if_due(node, now_us, out);
}

/* ---- views ---- */

bool
SkyNode_IsReady(const sky_node_t *node, uint64_t now_us)
{
    return is_serving(node, now_us) && !node->draining;
}

bool
SkyNode_IsIdle(const sky_node_t *node)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (SkyShard_IsActive(node->shards[i]) ||
            !SkyShard_IsQuiet(node->shards[i])) {
            return false;
        }
    }
    return SkyEntry_OpenCount(node->entry) == 0;
}

bool
SkyNode_IsLost(const sky_node_t *node)
{
    return node->lost;
}

const sky_members_t *
SkyNode_Members(const sky_node_t *node)
{
    return node->members;
}

const sky_config_t *
SkyNode_Config(const sky_node_t *node)
{
    return node->config;
}

const sky_claims_t *
SkyNode_Claims(const sky_node_t *node)
{
    return node->claims;
}

const sky_entry_t *
SkyNode_Entry(const sky_node_t *node)
{
    return node->entry;
}

const sky_shard_t *
SkyNode_Shard(const sky_node_t *node, uint32_t index)
{
    return node->shards[index];
}

uint32_t
SkyNode_ShardCount(const sky_node_t *node)
{
    return node->shard_count;
}
