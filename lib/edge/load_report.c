#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/placement_internal.h"

/** Short: an owner may evict an adapter that it does not know to be in use. */
#define EARLY_REPORT_DELAY_S 0.01
#define RESIDENTS_MAX 256 /**< in an owner's report of one target */
/** A turn with longer times is not taken: no prompt waits so long. */
#define PROMPT_TURN_MAX_MS 60000
/** Events of one target between two reports of a host; far above any rate. */
#define PACE_SAMPLES_MAX 1000000
/** Stands for this host among the users of its own targets' adapters. */
#define LOCAL_HOST_ID 1

static uint64_t
hash_host(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

/* Requests in flight on an owned target, of all hosts but one; "" excludes
 * none. */
static uint32_t
in_flight_except(const sky_owned_target_t *owned, const char *excluded_host)
{
    const sky_placement_options_t *options = &owned->placement->options;
    uint32_t total = SkyReportedLoads_Sum(
        &owned->reported_loads, hash_host(excluded_host), SkyClock_NowMs());
    const sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    if (target != NULL &&
        strcmp(options->settings->name, excluded_host) != 0) {
        total += target->in_flight;
    }
    return total;
}

uint32_t
SkyLoadReport_InFlightCount(const sky_owned_target_t *owned)
{
    return in_flight_except(owned, "");
}

static void
apply_host_load(sky_owned_target_t *owned, const char *host,
                uint32_t in_flight)
{
    if (!SkyReportedLoads_Record(&owned->reported_loads, hash_host(host),
                                 in_flight, SkyClock_NowMs())) {
        SkyLog_Write(LOG_WARNING, "load_not_kept", "target=%s from=%s",
                     owned->id, host);
    }
}

void
SkyLoadReport_ApplyLocally(sky_owned_target_t *owned)
{
    const sky_placement_options_t *options = &owned->placement->options;
    sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    sky_residency_t residents[RESIDENTS_MAX];
    if (target != NULL && SkyPlacer_IsStateKnown(owned->placer)) {
        uint32_t count = SkyPlacer_ListResident(
            owned->placer, SkyClock_NowMs(), residents, RESIDENTS_MAX);
        SkyFleet_ApplyOwnerReport(
            target, in_flight_except(owned, options->settings->name),
            residents, count, SkyClock_NowMs());
        SkyFleet_RecordPromptLoad(
            target,
            SkyPromptPacer_GetLoad(&owned->prompt_pacer, SkyClock_NowMs()));
    }
}

static json_t *
encode_owner_report(const sky_owned_target_t *owned, const char *host)
{
    sky_residency_t residents[RESIDENTS_MAX];
    uint32_t count = SkyPlacer_ListResident(owned->placer, SkyClock_NowMs(),
                                            residents, RESIDENTS_MAX);
    json_t *rows = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(
            rows, json_pack("[I,I,I]", (json_int_t)residents[i].adapter,
                            (json_int_t)residents[i].version,
                            (json_int_t)(residents[i].use_fraction * 100)));
    }
    double prompt_load =
        SkyPromptPacer_GetLoad(&owned->prompt_pacer, SkyClock_NowMs());
    const sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    double pace = target != NULL
                      ? SkyTargetPace_Measure(&target->pace, SkyClock_NowMs())
                      : 1.0;
    return json_pack(
        "[s,I,o,I,I]", owned->id, (json_int_t)in_flight_except(owned, host),
        rows, (json_int_t)(prompt_load * 100), (json_int_t)(pace * 100));
}

/* Merges samples of a target's pace that its owner got from a host; the row of
 * a host of an earlier build has none. */
static void
merge_pace(const sky_owned_target_t *owned, const json_t *samples)
{
    json_int_t count = json_integer_value(json_array_get(samples, 0));
    json_int_t mean_us = json_integer_value(json_array_get(samples, 1));
    sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    if (target == NULL || samples == NULL) {
        return;
    }
    if (count < 0 || count > PACE_SAMPLES_MAX || mean_us < 0 ||
        mean_us > SKY_PACE_SAMPLE_MAX_US) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused",
                     "path=/share field=pace");
        return;
    }
    sky_pace_sample_t sample = {(uint32_t)count, (uint64_t)(count * mean_us)};
    SkyTargetPace_Merge(&target->pace, &sample, SkyClock_NowMs());
}

/* Merges this host's samples of a target that it owns. */
static void
merge_local_pace(const sky_owned_target_t *owned)
{
    sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    if (target == NULL) {
        return;
    }
    sky_pace_sample_t sample = SkyTargetPace_TakeUnreported(&target->pace);
    SkyTargetPace_Merge(&target->pace, &sample, SkyClock_NowMs());
    if (SkyTargetPace_NeedsLogLine(&target->pace, SkyClock_NowMs())) {
        SkyLog_Write(LOG_NOTICE, "target_pace",
                     "target=%s pace=%.2f slow=%d median_us=%.0f", owned->id,
                     SkyTargetPace_Measure(&target->pace, SkyClock_NowMs()),
                     target->pace.is_logged_slow, target->pace.median_us);
    }
}

void
SkyLoadReport_EncodePromptTurn(json_t *body, const sky_prompt_turn_t *turn)
{
    json_object_set_new(body, "prompt",
                        json_pack("[I,I,I]", (json_int_t)turn->read_ms,
                                  (json_int_t)turn->interval_ms,
                                  (json_int_t)turn->wait_max_ms));
}

static bool
decode_prompt_turn(const json_t *row, sky_prompt_turn_t *turn)
{
    json_int_t read_ms = 0;
    json_int_t interval_ms = 0;
    json_int_t wait_max_ms = 0;
    if (json_unpack((json_t *)row, "[I,I,I]", &read_ms, &interval_ms,
                    &wait_max_ms) != 0 ||
        read_ms < 0 || read_ms > PROMPT_TURN_MAX_MS || interval_ms < 0 ||
        interval_ms > PROMPT_TURN_MAX_MS || wait_max_ms < 0 ||
        wait_max_ms > PROMPT_TURN_MAX_MS) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused",
                     "path=/share field=prompt");
        return false;
    }
    *turn = (sky_prompt_turn_t){.read_ms = (uint32_t)read_ms,
                                .interval_ms = (uint32_t)interval_ms,
                                .wait_max_ms = (uint32_t)wait_max_ms};
    return true;
}

/* Returns how long the prompt of a load report has to wait before it is sent
 * to the first target of the report; 0 if there is none. */
static uint32_t
take_prompt_turn(sky_placement_t *placement, const json_t *body)
{
    const json_t *row = json_object_get(body, "prompt");
    const char *id = json_string_value(json_array_get(
        json_array_get(json_object_get(body, "targets"), 0), 0));
    sky_owned_target_t *owned =
        id != NULL ? SkyOwnedTarget_Find(placement, id) : NULL;
    sky_prompt_turn_t turn;
    if (row == NULL || owned == NULL || !decode_prompt_turn(row, &turn)) {
        return 0;
    }
    return SkyPromptPacer_TakeTurn(&owned->prompt_pacer, &turn,
                                   SkyClock_NowMs());
}

uint32_t
SkyLoadReport_DecodePromptWait(const json_t *body)
{
    json_int_t wait_ms =
        json_integer_value(json_object_get(body, "prompt_wait_ms"));
    return wait_ms > 0 && wait_ms <= PROMPT_TURN_MAX_MS ? (uint32_t)wait_ms
                                                        : 0;
}

void
SkyLoadReport_HandleCall(void *context, sky_server_request_t *server_request,
                         const json_t *body)
{
    sky_placement_t *placement = context;
    const char *host = json_string_value(json_object_get(body, "host"));
    json_t *response = json_array();
    size_t index;
    json_t *row;
    json_array_foreach(json_object_get(body, "targets"), index, row)
    {
        const char *target = NULL;
        json_int_t in_flight = 0;
        json_t *uses = NULL;
        if (host == NULL ||
            json_unpack(row, "[s,I,o]", &target, &in_flight, &uses) != 0) {
            continue;
        }
        sky_owned_target_t *owned = SkyOwnedTarget_Find(placement, target);
        if (owned == NULL || !SkyPlacer_IsStateKnown(owned->placer)) {
            continue;
        }
        apply_host_load(owned, host, (uint32_t)in_flight);
        merge_pace(owned, json_array_get(row, 3));
        size_t i;
        json_t *use;
        json_array_foreach(uses, i, use)
        {
            SkyPlacer_RecordUse(
                owned->placer,
                (sky_adapter_key_t)json_integer_value(json_array_get(use, 0)),
                hash_host(host),
                (uint32_t)json_integer_value(json_array_get(use, 1)),
                (uint32_t)json_integer_value(json_array_get(use, 2)),
                SkyClock_NowMs());
        }
        json_array_append_new(response, encode_owner_report(owned, host));
    }
    SkyHostCalls_Respond(
        server_request,
        json_pack("{s:o, s:I}", "targets", response, "prompt_wait_ms",
                  (json_int_t)take_prompt_turn(placement, body)));
}

static void
apply_owner_report(sky_placement_t *placement, const json_t *row)
{
    const char *id = NULL;
    json_int_t other_in_flight = 0;
    json_t *rows = NULL;
    sky_residency_t residents[RESIDENTS_MAX];
    uint32_t count = 0;
    if (json_unpack((json_t *)row, "[s,I,o]", &id, &other_in_flight, &rows) !=
        0) {
        return;
    }
    sky_fleet_target_t *target =
        SkyFleet_FindTarget(placement->options.directory->fleet, id);
    size_t index;
    json_t *item;
    json_array_foreach(rows, index, item)
    {
        json_int_t adapter = 0;
        json_int_t version = 0;
        json_int_t percent = 0;
        if (count < RESIDENTS_MAX &&
            json_unpack(item, "[I,I,I]", &adapter, &version, &percent) == 0) {
            residents[count++] =
                (sky_residency_t){.adapter = (sky_adapter_key_t)adapter,
                                  .version = (uint32_t)version,
                                  .present = true,
                                  .use_fraction = (float)percent / 100.0f};
        }
    }
    if (target != NULL) {
        json_int_t prompt_percent = json_integer_value(json_array_get(row, 3));
        SkyFleet_ApplyOwnerReport(target, (uint32_t)other_in_flight, residents,
                                  count, SkyClock_NowMs());
        SkyFleet_RecordPromptLoad(target,
                                  prompt_percent >= 0 && prompt_percent <= 100
                                      ? (double)prompt_percent / 100
                                      : 0.0);
        /* Absent in the report of an earlier build: no pace is recorded. */
        SkyTargetPace_RecordReport(
            &target->pace,
            (double)json_integer_value(json_array_get(row, 4)) / 100,
            SkyClock_NowMs());
    }
}

void
SkyLoadReport_ApplyResponse(void *context, const json_t *body)
{
    /* Without a response, load and residency are less current. */
    size_t index;
    json_t *row;
    json_array_foreach(json_object_get(body, "targets"), index, row)
    {
        apply_owner_report(context, row);
    }
}

static sky_adapter_use_t *
find_use(sky_placement_t *placement, uint64_t target_hash,
         sky_adapter_key_t adapter)
{
    for (uint32_t i = 0; i < placement->use_count; i++) {
        sky_adapter_use_t *use = &placement->uses[i];
        if (use->adapter == adapter && use->target_hash == target_hash) {
            return use;
        }
    }
    return NULL;
}

/* Lets the owner know soon that an adapter came into use or can be evicted. */
static void
schedule_early_report(sky_placement_t *placement, sky_adapter_use_t *use)
{
    use->needs_report = true;
    if (!ev_is_active(&placement->early_report_timer)) {
        ev_timer_set(&placement->early_report_timer, EARLY_REPORT_DELAY_S,
                     0.0);
        ev_timer_start(placement->options.loop,
                       &placement->early_report_timer);
    }
}

void
SkyPlacement_RecordRequestStart(sky_placement_t *placement,
                                const sky_fleet_target_t *target,
                                sky_adapter_key_t adapter)
{
    sky_adapter_use_t *use = find_use(placement, target->hash, adapter);
    if (use == NULL && placement->use_count < ADAPTER_USES_MAX) {
        use = &placement->uses[placement->use_count++];
        *use = (sky_adapter_use_t){.target_hash = target->hash,
                                   .adapter = adapter};
    }
    if (use == NULL) {
        return;
    }
    use->started_count++;
    use->running_count++;
    if (use->running_count == 1) {
        schedule_early_report(placement, use);
    }
}

void
SkyPlacement_RecordRequestEnd(sky_placement_t *placement,
                              const sky_fleet_target_t *target,
                              sky_adapter_key_t adapter)
{
    sky_adapter_use_t *use = find_use(placement, target->hash, adapter);
    if (use != NULL && use->running_count > 0 && --use->running_count == 0) {
        schedule_early_report(placement, use);
    }
}

static json_t *
encode_uses(const sky_placement_t *placement, const sky_fleet_target_t *target)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < placement->use_count; i++) {
        const sky_adapter_use_t *use = &placement->uses[i];
        if (use->target_hash == target->hash) {
            json_array_append_new(
                rows, json_pack("[I,I,I]", (json_int_t)use->adapter,
                                (json_int_t)use->started_count,
                                (json_int_t)use->running_count));
        }
    }
    return rows;
}

/* Adds the load on a target to the message for its owner, unless there is no
 * load, the owner is not known, or it is this host. */
static void
add_load_report(sky_placement_t *placement, json_t *messages,
                sky_fleet_target_t *target)
{
    const sky_placement_options_t *options = &placement->options;
    const char *owner = SkyOwnership_FindOwnerAddress(
        options->ownership,
        SkyOwnership_GetShard(options->ownership, target->hash));
    json_t *uses = encode_uses(placement, target);
    bool is_idle = json_array_size(uses) == 0 && target->in_flight == 0;
    if (owner == NULL || is_idle ||
        strcmp(owner, options->settings->control) == 0) {
        json_decref(uses);
        return;
    }
    json_t *rows = json_object_get(messages, owner);
    if (rows == NULL) {
        rows = json_array();
        json_object_set_new(messages, owner, rows);
    }
    sky_pace_sample_t sample = SkyTargetPace_TakeUnreported(&target->pace);
    json_int_t mean_us =
        sample.count > 0 ? (json_int_t)(sample.sum_us / sample.count) : 0;
    json_t *row = json_pack("[s,I,o]", target->entry.id,
                            (json_int_t)target->in_flight, uses);
    if (sample.count > 0) {
        json_array_append_new(
            row, json_pack("[I,I]", (json_int_t)sample.count, mean_us));
    }
    json_array_append_new(rows, row);
}

/* Keeps the uses that still run and those that were not reported. */
static void
clear_reported_uses(sky_placement_t *placement, bool unreported_only)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < placement->use_count; i++) {
        sky_adapter_use_t use = placement->uses[i];
        if (unreported_only && !use.needs_report) {
            placement->uses[kept++] = use;
            continue;
        }
        use.started_count = 0;
        use.needs_report = false;
        if (use.running_count > 0) {
            placement->uses[kept++] = use;
        }
    }
    placement->use_count = kept;
}

/* Records this host's uses of the adapters of a target that it owns. */
static void
record_local_uses(const sky_placement_t *placement, sky_owned_target_t *owned)
{
    for (uint32_t i = 0; i < placement->use_count; i++) {
        const sky_adapter_use_t *use = &placement->uses[i];
        if (use->target_hash == owned->id_hash) {
            SkyPlacer_RecordUse(owned->placer, use->adapter, LOCAL_HOST_ID,
                                use->started_count, use->running_count,
                                SkyClock_NowMs());
        }
    }
}

static bool
has_unreported_use(const sky_placement_t *placement, uint64_t target_hash)
{
    for (uint32_t i = 0; i < placement->use_count; i++) {
        if (placement->uses[i].target_hash == target_hash &&
            placement->uses[i].needs_report) {
            return true;
        }
    }
    return false;
}

/* Reports to the owners the load on all targets, or on those where an adapter
 * came into or went out of use since the last report. */
static void
send_load_reports(sky_placement_t *placement, bool unreported_only)
{
    const sky_placement_options_t *options = &placement->options;
    json_t *messages = json_object();
    sky_owned_target_t *owned;
    if (!unreported_only) {
        SkyFleet_UpdateMedians(options->directory->fleet, SkyClock_NowMs());
    }
    DL_FOREACH(placement->owned_targets, owned)
    {
        record_local_uses(placement, owned);
        merge_local_pace(owned);
        SkyLoadReport_ApplyLocally(owned);
        SkyPlacement_UpdateWaitingRequests(owned);
    }
    sky_fleet_target_t *target =
        SkyFleet_GetFirstTarget(options->directory->fleet);
    for (; target != NULL; target = target->next) {
        if ((!unreported_only ||
             has_unreported_use(placement, target->hash)) &&
            SkyPlacement_FindEngineService(placement, target) != NULL) {
            add_load_report(placement, messages, target);
        }
    }
    clear_reported_uses(placement, unreported_only);
    const char *owner;
    json_t *rows;
    json_object_foreach(messages, owner, rows)
    {
        json_t *body = json_pack("{s:s, s:O}", "host", options->settings->name,
                                 "targets", rows);
        SkyHostCalls_SendCall(options->host_calls, owner, "/share", body,
                              OWNER_TIMEOUT_MS, SkyLoadReport_ApplyResponse,
                              placement);
    }
    json_decref(messages);
}

void
SkyLoadReport_OnTimer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    send_load_reports(watcher->data, false);
}

void
SkyLoadReport_OnEarlyTimer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    send_load_reports(watcher->data, true);
}
