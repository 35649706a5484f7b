#include "decide/node.h"

#include <stdlib.h>
#include <string.h>

#include "core/invariant.h"
#include "decide/openings.h"

#define US_PER_MS 1000
/* After this time without a result the log is read again. */
#define LOG_READ_TIMEOUT_US UINT64_C(3000000)
/* The adapters to load ahead of openings are listed again at least this
 * often. */
#define PRELOAD_REFRESH_INTERVAL_US UINT64_C(10000000)
/* A peer's SKY_MSG_TARGET_LEAVING overrides this host's own host list for this
 * long; by then its own list has caught up. */
#define PEER_LEAVING_LIFE_US UINT64_C(15000000)
/* While this host joins it polls the log this many times as often, because
 * another host appends its JOIN. */
#define JOINING_POLL_DIVISOR 4
/* Shortest delay before a host other than the owner of the first shard writes
 * a snapshot, as a fraction of the interval between snapshots. */
#define SNAPSHOT_BACKUP_DELAY_MIN 0.25
/* A longer gap between steps means that the process was paused. */
#define PAUSE_MIN_US UINT64_C(1000000)
/* After a pause no new work goes to targets until a host list arrives or this
 * time has passed. */
#define HOST_LIST_WAIT_US UINT64_C(2000000)
#define SNAPSHOT_CHECK_INTERVAL_US UINT64_C(1000000)

struct sky_node {
    sky_node_options_t options;
    sky_members_t *members;
    sky_config_t *config;
    sky_claims_t *claims;
    sky_unconfirmed_crashes_t *unconfirmed_crashes;
    sky_entry_t *entry;
    sky_shard_t **shards;
    uint32_t shard_count;
    bool *listed_as_leaving; /* per target, in the last host list */
    bool *is_leaving;        /* list and peers combined: in force per target */
    uint64_t *peer_leaving_us; /* per target: last SKY_MSG_TARGET_LEAVING */
    bool draining;
    bool rejects_new_requests; /* set by SKY_IN_STOP_ACCEPTING */
    bool has_missed_records;   /* the log dropped records before this host
                                  read them */
    bool has_read_log;
    bool has_reached_tail; /* at least once since the start */
    bool log_read_due;     /* read at once, without waiting for the poll */
    uint64_t log_read_sent_us;
    bool log_read_pending;
    uint64_t log_read_done_us;
    uint64_t snapshot_checked_us; /* last check whether one is due */
    uint64_t last_step_us;
    uint64_t preloads_refreshed_us;
    bool preload_refresh_due;
    sky_actions_t local; /* unused */
};

void
SkyNode_InitOptions(sky_node_options_t *options)
{
    memset(options, 0, sizeof *options);
    options->members.lease_us = 1500000;
    options->members.margin_us = 1000000;
    options->members.heartbeat_us = 300000;
    options->members.suspect_us = 1200000;
    options->members.bootstrap_us = 5000000;
    options->members.degraded_us = UINT64_C(600000000);
    options->members.retention_us = UINT64_C(3600000000);
    options->shard.policy = SKY_POLICY_DEMAND_AWARE;
    options->shard.transit_max = 4;
    options->shard.initial_load_us = 900000;
    options->shard.report_interval_us = 1000000;
    options->shard.starvation_us = 20000000;
    options->shard.quarantine_us = UINT64_C(600000000);
    options->shard.preload_for_openings = true;
    options->shard.refill_free_slots = true;
    options->entry.claim_writers_max = 8;
    options->entry.key_life_us = UINT64_C(1800000000);
    options->entry.claim_timeout_us = 2000000;
    options->entry.acquire_interval_us = 500000;
    options->entry.permit_life_us = 1000000;
    options->entry.attempts_max = 3;
    options->entry.retry_tokens_per_request = 0.1;
    options->entry.retry_tokens_max = 20.0;
    options->claims.append_interval_us = 100000;
    options->claims.key_retention_us = UINT64_C(3600000000);
    options->claims.readback_timeout_us = 1800000;
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
    node->options.members.disabled_mechanisms = options->disabled_mechanisms;
    node->options.shard.disabled_mechanisms = options->disabled_mechanisms;
    node->options.entry.disabled_mechanisms = options->disabled_mechanisms;
    options = &node->options;
    node->members = SkyMembers_Create(&options->members);
    node->config = SkyConfig_Create(options->members.retention_us,
                                    options->disabled_mechanisms);
    node->claims = SkyClaims_Create(&options->claims);
    node->peer_leaving_us =
        calloc(options->target_count, sizeof *node->peer_leaving_us);
    node->is_leaving = calloc(options->target_count, sizeof *node->is_leaving);
    node->listed_as_leaving =
        calloc(options->target_count, sizeof *node->listed_as_leaving);
    if (node->members != NULL) {
        node->unconfirmed_crashes =
            SkyUnconfirmedCrashes_Create(node->members);
        node->entry = SkyEntry_Create(
            &options->entry, options->targets, options->target_count,
            options->shard_targets, node->members, node->unconfirmed_crashes);
    }
    if (node->members == NULL || node->config == NULL ||
        node->claims == NULL || node->unconfirmed_crashes == NULL ||
        node->entry == NULL || node->is_leaving == NULL ||
        node->peer_leaving_us == NULL || node->listed_as_leaving == NULL ||
        !create_shards(node)) {
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
    SkyUnconfirmedCrashes_Free(node->unconfirmed_crashes);
    SkyClaims_Free(node->claims);
    SkyConfig_Free(node->config);
    SkyMembers_Free(node->members);
    SkyActions_Clear(&node->local);
    free(node->peer_leaving_us);
    free(node->is_leaving);
    free(node->listed_as_leaving);
    free(node);
}

/* ---- messages ---- */

static sky_shard_t *
find_shard(sky_node_t *node, uint32_t index)
{
    return index < node->shard_count ? node->shards[index] : NULL;
}

static void
forward_to_shard(sky_node_t *node, uint32_t index, const sky_in_message_t *in,
                 uint64_t now_us, sky_actions_t *out)
{
    sky_shard_t *shard = find_shard(node, index);
    if (shard != NULL) {
        SkyShard_HandleMessage(shard, in, now_us, out);
    }
}

static void
set_target_leaving(sky_node_t *node, uint32_t target, bool leaving)
{
    node->is_leaving[target] = leaving;
    SkyShard_SetLeaving(node->shards[target / node->options.shard_targets],
                        target, leaving);
    SkyEntry_SetTargetLeaving(node->entry, target, leaving);
}

static void
handle_target_leaving(sky_node_t *node, const sky_msg_target_leaving_t *notice,
                      uint64_t now_us)
{
    if (notice->target < node->options.target_count) {
        node->peer_leaving_us[notice->target] = now_us;
        set_target_leaving(node, notice->target, notice->leaving != 0);
    }
}

static void
handle_unconfirmed_crash(sky_node_t *node, const sky_rec_crash_t *crash,
                         uint64_t now_us)
{
    sky_shard_t *shard =
        find_shard(node, crash->target / node->options.shard_targets);
    SkyUnconfirmedCrashes_ApplyPeer(node->unconfirmed_crashes, crash, now_us);
    if (shard != NULL) {
        SkyShard_ApplyUnconfirmedCrash(shard, crash, now_us);
    }
}

/** Drops the leaving states that peers reported once PEER_LEAVING_LIFE_US has
 *  passed, and goes by this host's own host list again. */
static void
expire_peer_leaving(sky_node_t *node, uint64_t now_us)
{
    for (uint32_t t = 0; t < node->options.target_count; t++) {
        if (node->is_leaving[t] != node->listed_as_leaving[t] &&
            now_us >= node->peer_leaving_us[t] + PEER_LEAVING_LIFE_US) {
            set_target_leaving(node, t, node->listed_as_leaving[t]);
        }
    }
}

static void
handle_message(sky_node_t *node, const sky_in_message_t *in, uint64_t now_us,
               sky_actions_t *out)
{
    switch (in->msg.kind) {
    case SKY_MSG_HEARTBEAT:
    case SKY_MSG_HEARTBEAT_ACK:
    case SKY_MSG_HOST_SUSPECTED:
    case SKY_MSG_JOIN_REQUEST:
        SkyMembers_HandleMessage(node->members, in, now_us, out);
        break;
    case SKY_MSG_ACQUIRE:
        forward_to_shard(node, in->msg.u.acquire.shard, in, now_us, out);
        break;
    case SKY_MSG_PERMIT_RELEASE:
        forward_to_shard(node, in->msg.u.permit_release.shard, in, now_us,
                         out);
        break;
    case SKY_MSG_PERMIT_LIST:
        forward_to_shard(node, in->msg.u.permit_list.shard, in, now_us, out);
        break;
    case SKY_MSG_HANDOVER:
        forward_to_shard(node, in->msg.u.shard.shard, in, now_us, out);
        break;
    case SKY_MSG_TARGET_LEAVING:
        handle_target_leaving(node, &in->msg.u.leaving, now_us);
        break;
    case SKY_MSG_UNCONFIRMED_CRASH:
        handle_unconfirmed_crash(node, &in->msg.u.unconfirmed_crash, now_us);
        break;
    case SKY_MSG_CLAIM_REQUEST:
        SkyClaims_HandleRequest(node->claims, in->from,
                                &in->msg.u.claim_request, now_us, out);
        break;
    default:
        SkyEntry_HandleMessage(node->entry, in, now_us, out);
        break;
    }
}

/** Handles the messages among the actions from index @p from on that are
 *  addressed to this host, in order, and removes them from the list. */
static void
deliver_local(sky_node_t *node, size_t from, uint64_t now_us,
              sky_actions_t *out)
{
    sky_host_id_t self = SkyMembers_SelfId(node->members);
    for (size_t i = from; i < out->count; i++) {
        if (out->items[i].kind != SKY_ACT_SEND ||
            out->items[i].u.send.to != self) {
            continue;
        }
        sky_in_message_t in = {self, out->items[i].u.send.msg};
        out->items[i].u.send.to = 0; /* handled; removed below */
        handle_message(node, &in, now_us, out);
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
handle_view_change(sky_node_t *node, uint64_t now_us, sky_actions_t *out)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        SkyShard_ApplyView(node->shards[i], now_us, out);
    }
    SkyEntry_HandleViewChange(node->entry, now_us, out);
}

static void
apply_claims(sky_node_t *node, const sky_record_t *record, uint64_t now_us,
             sky_actions_t *out)
{
    const sky_rec_claims_t *rec = &record->u.claims;
    SkyClaims_ApplyRecord(node->claims, record, now_us, out);
    for (uint32_t i = 0; i < rec->count && record->kind == SKY_REC_CLAIMS;
         i++) {
        SkyEntry_ApplyClaim(node->entry, &rec->keys[i], rec->requests[i], out);
    }
}

static void
apply_crash(sky_node_t *node, const sky_record_t *record, uint64_t now_us)
{
    uint32_t target = record->u.crash.target;
    sky_shard_t *shard =
        find_shard(node, target / node->options.shard_targets);
    SkyUnconfirmedCrashes_ApplyRecord(node->unconfirmed_crashes,
                                      &record->u.crash);
    if (shard != NULL) {
        SkyShard_ApplyCrashRecord(shard, record, now_us);
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
    case SKY_REC_MEMBER_RESTATE:
        if (SkyMembers_ApplyRecord(node->members, record, now_us)) {
            handle_view_change(node, now_us, out);
        }
        break;
    case SKY_REC_CLAIMS:
    case SKY_REC_CLAIM_RELEASE:
        apply_claims(node, record, now_us, out);
        break;
    case SKY_REC_CRASH_SUSPECTED:
    case SKY_REC_CRASH_CONFIRMED:
        apply_crash(node, record, now_us);
        break;
    case SKY_REC_CONFIG:
    case SKY_REC_CONFIG_RESTATE:
    case SKY_REC_CONFIG_SNAPSHOT:
        SkyConfig_ApplyRecord(node->config, record, now_us, out);
        node->preload_refresh_due = true;
        break;
    }
}

static void
apply_log_read(sky_node_t *node, const sky_in_log_read_t *read,
               uint64_t now_us, sky_actions_t *out)
{
    sky_offset_t next = SkyMembers_NextOffset(node->members);
    node->log_read_pending = false;
    node->log_read_done_us = now_us;
    if (!read->ok) {
        return;
    }
    if (node->has_read_log && read->oldest > next) {
        node->has_missed_records = true;
        return;
    }
    node->has_read_log = true;
    SkyMembers_SetLogStart(node->members, read->oldest);
    SkyConfig_SetLogStart(node->config, read->oldest);
    for (uint32_t i = 0; i < read->count; i++) {
        if (read->records[i].offset >= next) {
            apply_record(node, &read->records[i], now_us, out);
        }
    }
    SkyMembers_ApplyLogRead(node->members, read);
    node->has_reached_tail = node->has_reached_tail || read->reached_tail;
    node->log_read_due = !read->reached_tail;
}

static bool
is_self_member(const sky_node_t *node)
{
    return SkyMembers_Find(node->members, SkyMembers_SelfId(node->members)) !=
           NULL;
}

static void
read_log_if_due(sky_node_t *node, uint64_t now_us, sky_actions_t *out)
{
    uint64_t poll_us = node->options.log_poll_us;
    if (!is_self_member(node)) {
        poll_us /= JOINING_POLL_DIVISOR;
    }
    bool due =
        node->log_read_due || now_us >= node->log_read_done_us + poll_us;
    bool waiting = node->log_read_pending &&
                   now_us < node->log_read_sent_us + LOG_READ_TIMEOUT_US;
    if (!due || waiting || node->has_missed_records) {
        return;
    }
    node->log_read_pending = true;
    node->log_read_due = false;
    node->log_read_sent_us = now_us;
    SkyActions_Add(out, SKY_ACT_READ_LOG)->u.read_from =
        SkyMembers_NextOffset(node->members);
}

/* ---- openings ---- */

static void
refresh_preloads(sky_node_t *node, uint64_t now_us, uint64_t wall_ms)
{
    if (!node->preload_refresh_due &&
        now_us < node->preloads_refreshed_us + PRELOAD_REFRESH_INTERVAL_US) {
        return;
    }
    node->preload_refresh_due = false;
    node->preloads_refreshed_us = now_us;
    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (!SkyShard_IsActive(node->shards[i])) {
            continue;
        }
        uint32_t count;
        sky_preload_t *list = SkyOpenings_ListAdapters(
            node->config, node->entry, i, now_us, wall_ms, &count);
        SkyShard_SetPreloads(node->shards[i], list, count);
        free(list);
    }
}

/* ---- ticks ---- */

/** The owner of the first shard writes snapshots at once. It may be unable to,
 *  because it began to read the log too late itself; therefore the other hosts
 *  write them too, each after a delay that depends on its id, so that they do
 *  not all write at the same time. */
static void
write_snapshot_if_due(sky_node_t *node, uint64_t now_us, sky_actions_t *out)
{
    if ((node->options.disabled_mechanisms & SKY_DISABLE_RESTATEMENT) ||
        !is_self_member(node) ||
        now_us < node->snapshot_checked_us + SNAPSHOT_CHECK_INTERVAL_US) {
        return;
    }
    bool owns_first_shard =
        node->shard_count > 0 && SkyShard_IsActive(node->shards[0]);
    sky_host_id_t self = SkyMembers_SelfId(node->members);
    double delay_fraction =
        owns_first_shard
            ? 0
            : SNAPSHOT_BACKUP_DELAY_MIN + (double)(self % 1000) / 2000;
    node->snapshot_checked_us = now_us;
    SkyConfig_WriteSnapshot(
        node->config, SkyMembers_NextOffset(node->members) - 1, delay_fraction,
        SkyMembers_NextNonce(node->members), now_us, out);
}

static void
tick(sky_node_t *node, uint64_t now_us, uint64_t wall_ms, sky_actions_t *out)
{
    SkyMembers_Tick(node->members, now_us, out);
    expire_peer_leaving(node, now_us);
    refresh_preloads(node, now_us, wall_ms);
    for (uint32_t i = 0; i < node->shard_count; i++) {
        SkyShard_Tick(node->shards[i], now_us, out);
    }
    SkyUnconfirmedCrashes_Tick(node->unconfirmed_crashes, now_us, out);
    SkyEntry_Tick(node->entry, now_us, out);
    SkyConfig_Tick(node->config, now_us, out);
    write_snapshot_if_due(node, now_us, out);
}

static void
apply_host_list(sky_node_t *node, const sky_in_host_list_t *list,
                sky_actions_t *out)
{
    size_t count;
    const sky_member_t *members = SkyMembers_GetList(node->members, &count);
    if (node->options.disabled_mechanisms & SKY_DISABLE_HOST_LIST) {
        return;
    }
    if (list->count > 0) {
        SkyMembers_BlockDispatchUntil(node->members, 0);
    }
    for (uint32_t i = 0; i < list->count; i++) {
        uint32_t target = list->states[i].target;
        bool leaving = list->states[i].leaving;
        if (target >= node->options.target_count ||
            node->listed_as_leaving[target] == leaving) {
            continue;
        }
        node->listed_as_leaving[target] = leaving;
        if (node->is_leaving[target] == leaving) {
            continue;
        }
        set_target_leaving(node, target, leaving);
        for (size_t m = 0; m < count; m++) {
            if (members[m].host == SkyMembers_SelfId(node->members)) {
                continue;
            }
            sky_msg_t *msg = SkyActions_AddSend(out, members[m].host,
                                                SKY_MSG_TARGET_LEAVING);
            msg->u.leaving.target = target;
            msg->u.leaving.leaving = leaving;
        }
    }
}

static bool
can_serve(const sky_node_t *node, uint64_t now_us)
{
    return node->has_reached_tail && !node->has_missed_records &&
           SkyMembers_IsReady(node->members, now_us) &&
           SkyConfig_IsComplete(node->config);
}

static void
handle_request(sky_node_t *node, const sky_in_request_t *request,
               uint64_t now_us, sky_actions_t *out)
{
    if (node->rejects_new_requests || !can_serve(node, now_us)) {
        sky_action_t *action = SkyActions_Add(out, SKY_ACT_RESPOND);
        action->u.response.request = request->request;
        action->u.response.code =
            node->rejects_new_requests ? SKY_E_DRAINING : SKY_E_NOT_READY;
        action->u.response.retry_after_ms = 1000;
        return;
    }
    SkyEntry_HandleRequest(node->entry, request, now_us, out);
}

static void
apply_report(sky_node_t *node, const sky_in_report_t *report, uint64_t now_us,
             sky_actions_t *out)
{
    sky_shard_t *shard =
        find_shard(node, report->target / node->options.shard_targets);
    if (shard != NULL) {
        SkyShard_ApplyReport(shard, report, now_us, out);
    }
}

static void
handle_order_result(sky_node_t *node, const sky_in_order_result_t *result,
                    uint64_t now_us, sky_actions_t *out)
{
    sky_shard_t *shard =
        find_shard(node, result->order.target / node->options.shard_targets);
    if (shard != NULL) {
        SkyShard_ApplyOrderResult(shard, result, now_us, out);
    }
}

static void
handle_input(sky_node_t *node, const sky_input_t *input, uint64_t now_us,
             uint64_t wall_ms, sky_actions_t *out)
{
    switch (input->kind) {
    case SKY_IN_TICK:
        tick(node, now_us, wall_ms, out);
        break;
    case SKY_IN_MESSAGE:
        handle_message(node, &input->u.message, now_us, out);
        break;
    case SKY_IN_LOG_READ:
        apply_log_read(node, &input->u.log_read, now_us, out);
        break;
    case SKY_IN_APPEND_RESULT:
        /* Whatever the result, only the log shows if it was appended. */
        node->log_read_due = true;
        break;
    case SKY_IN_REPORT:
        apply_report(node, &input->u.report, now_us, out);
        break;
    case SKY_IN_ORDER_RESULT:
        handle_order_result(node, &input->u.order_result, now_us, out);
        break;
    case SKY_IN_REQUEST:
        handle_request(node, &input->u.request, now_us, out);
        break;
    case SKY_IN_OUTCOME:
        SkyEntry_HandleOutcome(node->entry, &input->u.outcome, now_us, out);
        break;
    case SKY_IN_CANCEL:
        SkyEntry_CancelRequest(node->entry, input->u.cancel, out);
        break;
    case SKY_IN_HOST_LIST:
        apply_host_list(node, &input->u.host_list, out);
        break;
    case SKY_IN_CONFIG_CHANGE:
        SkyConfig_HandleChange(node->config, &input->u.change,
                               SkyMembers_NextNonce(node->members), now_us,
                               out);
        break;
    case SKY_IN_DRAIN:
        node->draining = true;
        SkyMembers_BeginDrain(node->members);
        break;
    case SKY_IN_STOP_ACCEPTING:
        node->rejects_new_requests = true;
        break;
    case SKY_IN_LEAVE:
        SKY_INVARIANT(SKY_INV_NO_REQUEST_CUT,
                      SkyEntry_OpenCount(node->entry) == 0);
        SkyMembers_Leave(node->members);
        break;
    }
}

void
SkyNode_Step(sky_node_t *node, const sky_input_t *input, uint64_t now_us,
             uint64_t wall_ms, sky_actions_t *out)
{
    size_t from = out->count;
    if (now_us > node->last_step_us + PAUSE_MIN_US) {
        SkyMembers_BlockDispatchUntil(node->members,
                                      now_us + HOST_LIST_WAIT_US);
    }
    node->last_step_us = now_us;
    handle_input(node, input, now_us, wall_ms, out);
    deliver_local(node, from, now_us, out);
    SkyClaims_Tick(node->claims, SkyMembers_NextNonce(node->members), now_us,
                   out);
    deliver_local(node, from, now_us, out);
    read_log_if_due(node, now_us, out);
}

/* ---- accessors ---- */

bool
SkyNode_IsReady(const sky_node_t *node, uint64_t now_us)
{
    return can_serve(node, now_us) && !node->draining;
}

bool
SkyNode_IsIdle(const sky_node_t *node)
{
    for (uint32_t i = 0; i < node->shard_count; i++) {
        if (SkyShard_IsActive(node->shards[i]) ||
            !SkyShard_CanStop(node->shards[i])) {
            return false;
        }
    }
    return SkyEntry_OpenCount(node->entry) == 0;
}

bool
SkyNode_HasMissedRecords(const sky_node_t *node)
{
    return node->has_missed_records;
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
