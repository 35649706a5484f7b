#include "edge/placement.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "core/time_left.h"
#include "edge/placement_internal.h"

#define OWNER_REPORT_TIMEOUT_MS 80 /**< owners respond within a few ms */
#define RESPONSE_TRANSIT_MS 30 /**< reserved for the transit of a response */
#define RECONCILE_INTERVAL_S 0.25
#define LOAD_REPORT_INTERVAL_S 0.2 /**< a request runs about this long */
#define PENDING_REPLICAS_MAX 16    /**< requested by one host at once */
#define REPLICA_WINDOW_MS 400      /**< of one adapter: about a load's time */
/** Above this the batch is full, and another target is the better choice. */
#define FULL_BATCH_UTILIZATION 1.0
#define RETRY_AFTER_NO_OWNER_MS 800 /**< an owner is found within a lease */

static void advance_to_next_candidate(sky_placement_request_t *request);

static void
finish_request(sky_placement_request_t *request,
               const sky_placement_result_t *result)
{
    sky_placement_t *placement = request->placement;
    sky_placement_done_t done = request->done;
    void *context = request->context;
    /* The result's id may be part of the request, which is freed first. */
    char target_id[SKY_TARGET_ID_BYTES];
    sky_placement_result_t final_result = *result;
    snprintf(target_id, sizeof target_id, "%s",
             result->target_id ? result->target_id : "");
    final_result.target_id = target_id;
    ev_timer_stop(placement->options.loop, &request->timer);
    if (request->owner_call != NULL) {
        SkyHostCalls_CancelCall(request->owner_call);
    }
    DL_DELETE(placement->requests, request);
    free(request);
    done(context, &final_result);
}

void
SkyPlacement_CompleteRequest(sky_placement_request_t *request,
                             const char *target_id, uint32_t version)
{
    sky_placement_result_t result = {.placed = true,
                                     .adapter = request->key,
                                     .target_id = target_id,
                                     .version = version};
    finish_request(request, &result);
}

static void
complete_at_current(sky_placement_request_t *request, uint32_t version)
{
    SkyPlacement_CompleteRequest(request, request->current->target_id,
                                 version);
}

static void
reject_request(sky_placement_request_t *request)
{
    sky_placement_result_t result = {
        .retry_after_ms = request->retry_after_ms ? request->retry_after_ms
                                                  : RETRY_AFTER_NO_OWNER_MS,
        .reason = request->reason ? request->reason : "no_owner"};
    finish_request(request, &result);
}

void
SkyPlacement_UpdateWaitingRequests(sky_owned_target_t *owned)
{
    sky_placement_t *placement = owned->placement;
    sky_placement_request_t *request;
    sky_placement_request_t *next;
    DL_FOREACH_SAFE(placement->requests, request, next)
    {
        if (request->waiting_at != owned) {
            continue;
        }
        switch (SkyPlacer_GetState(owned->placer, request->key,
                                   request->min_version)) {
        case SKY_ADAPTER_RESIDENT:
            if (SkyBurst_TryAdmit(request)) {
                complete_at_current(request, SkyPlacer_GetResidentVersion(
                                                 owned->placer, request->key));
            }
            break;
        case SKY_ADAPTER_ABSENT:
            request->waiting_at = NULL;
            request->reason = "load_given_up";
            advance_to_next_candidate(request);
            break;
        case SKY_ADAPTER_QUEUED:
        case SKY_ADAPTER_LOADING:
        case SKY_ADAPTER_UNLOADING:
            break;
        }
    }
}

static void
on_place_response(void *context, const json_t *body)
{
    sky_placement_request_t *request = context;
    int placed = 0;
    const char *target = NULL;
    json_int_t version = 0;
    json_int_t retry_ms = 0;
    request->owner_call = NULL;
    if (body == NULL ||
        json_unpack((json_t *)body, "{s:b, s:s, s:I, s:I}", "placed", &placed,
                    "target", &target, "version", &version, "retry_ms",
                    &retry_ms) != 0) {
        request->reason = "owner_silent";
        advance_to_next_candidate(request);
        return;
    }
    if (placed) {
        SkyPlacement_CompleteRequest(request, target, (uint32_t)version);
        return;
    }
    const char *reason = json_string_value(json_object_get(body, "reason"));
    SkyLog_Write(LOG_INFO, "owner_refused",
                 "target=%s adapter=%s/%s reason=%s retry_ms=%u",
                 request->current->target_id, request->model, request->adapter,
                 reason ? reason : "-", (uint32_t)retry_ms);
    request->retry_after_ms = (uint32_t)retry_ms;
    request->reason = "owner_refused";
    advance_to_next_candidate(request);
}

static bool
call_owner(sky_placement_request_t *request, uint32_t shard)
{
    sky_placement_t *placement = request->placement;
    const char *owner =
        SkyOwnership_FindOwnerAddress(placement->options.ownership, shard);
    uint64_t now = SkyClock_NowMs();
    if (owner == NULL || request->due_ms <= now + RESPONSE_TRANSIT_MS ||
        strcmp(owner, placement->options.settings->control) == 0) {
        return false;
    }
    uint64_t left_ms =
        SkyTime_LeftMs(request->due_ms, now + RESPONSE_TRANSIT_MS);
    uint32_t limit_ms =
        left_ms < OWNER_TIMEOUT_MS ? (uint32_t)left_ms : OWNER_TIMEOUT_MS;
    json_t *body = json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:I, s:b, s:b}", "target",
        request->current->target_id, "model", request->model, "adapter",
        request->adapter, "version", (json_int_t)request->min_version,
        "urgency", (json_int_t)request->urgency, "left_ms",
        (json_int_t)limit_ms, "patient", request->current->can_queue,
        "under_way", request->is_under_way);
    request->owner_call = SkyHostCalls_SendCall(
        placement->options.host_calls, owner, "/place", body,
        limit_ms + RESPONSE_TRANSIT_MS, on_place_response, request);
    return request->owner_call != NULL;
}

static bool
is_batch_full(const sky_owned_target_t *owned)
{
    const sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    return target != NULL &&
           SkyFleet_GetUtilization(target, SkyClock_NowMs()) >
               FULL_BATCH_UTILIZATION;
}

/* Whether the placer already has the adapter in some state, or can load it at
 * once. If neither, sets the reason. */
static bool
can_load_now(sky_placement_request_t *request, const sky_owned_target_t *owned)
{
    if (SkyPlacer_GetState(owned->placer, request->key,
                           request->min_version) != SKY_ADAPTER_ABSENT) {
        return true;
    }
    if (is_batch_full(owned)) {
        request->reason = "target_crowded";
        return false;
    }
    if (!SkyPlacer_CanStartLoad(owned->placer, request->is_under_way,
                                SkyClock_NowMs())) {
        request->reason = "no_free_place";
        return false;
    }
    return true;
}

/* Requests the adapter from the target's placer on this host. Returns true if
 * the request waits there or has completed. */
static bool
request_locally(sky_placement_request_t *request, sky_owned_target_t *owned)
{
    sky_load_request_t load_request = {.model = request->model,
                                       .adapter = request->adapter,
                                       .version = request->min_version,
                                       .urgency = request->urgency,
                                       .due_ms = request->due_ms,
                                       .is_under_way = request->is_under_way};
    if (owned->is_replaced) {
        request->reason = "target_replaced";
        return false;
    }
    if (!request->current->can_queue && !can_load_now(request, owned)) {
        return false;
    }
    sky_adapter_state_t state =
        SkyPlacer_RequestLoad(owned->placer, &load_request, SkyClock_NowMs());
    SkyPlacer_ApplyAnnouncedVersion(
        owned->placer, request->key,
        SkyFleet_GetAnnouncedVersion(
            request->placement->options.directory->fleet, request->key));
    switch (state) {
    case SKY_ADAPTER_RESIDENT:
        complete_at_current(request, SkyPlacer_GetResidentVersion(
                                         owned->placer, request->key));
        return true;
    case SKY_ADAPTER_QUEUED:
    case SKY_ADAPTER_LOADING:
    case SKY_ADAPTER_UNLOADING:
        request->waiting_at = owned;
        SkyBurst_RequestReplicas(request);
        SkyOwnedTarget_StartNextAction(owned);
        return true;
    case SKY_ADAPTER_ABSENT:
        break;
    }
    request->reason = "no_place_in_time";
    request->retry_after_ms = SkyPlacer_RetryAfterMs(owned->placer);
    return false;
}

static void
advance_to_next_candidate(sky_placement_request_t *request)
{
    sky_placement_t *placement = request->placement;
    const sky_placement_options_t *options = &placement->options;
    while (request->next_candidate < request->candidate_count) {
        request->current = &request->candidates[request->next_candidate++];
        request->resident_since_ms = 0;
        sky_fleet_target_t *target = SkyFleet_FindTarget(
            options->directory->fleet, request->current->target_id);
        if (target == NULL) {
            continue;
        }
        uint32_t shard =
            SkyOwnership_GetShard(options->ownership, target->hash);
        sky_owned_target_t *owned =
            SkyOwnedTarget_Find(placement, request->current->target_id);
        if (owned != NULL) {
            if (request_locally(request, owned)) {
                return;
            }
        }
        else if (!SkyOwnership_IsOwner(options->ownership, shard) &&
                 call_owner(request, shard)) {
            return;
        }
    }
    reject_request(request);
}

/* Runs for the first try, for a replica that SkyBurst_ApplyReplica() assigned,
 * and when the request is due. */
static void
on_request_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    sky_placement_request_t *request = watcher->data;
    (void)events;
    if (request->replica_target_id[0] != '\0') {
        SkyPlacement_CompleteRequest(request, request->replica_target_id,
                                     request->replica_version);
        return;
    }
    if (request->current == NULL) {
        uint64_t now = SkyClock_NowMs();
        double left_ms = (double)SkyTime_LeftMs(request->due_ms, now);
        ev_timer_set(watcher, left_ms / 1000.0 + 0.001, 0.0);
        ev_timer_start(loop, watcher);
        advance_to_next_candidate(request);
        return;
    }
    request->reason = "deadline";
    reject_request(request);
}

void
SkyPlacement_AdvanceWaitingRequests(sky_owned_target_t *owned,
                                    const char *reason)
{
    sky_placement_request_t *request;
    sky_placement_request_t *next;
    DL_FOREACH_SAFE(owned->placement->requests, request, next)
    {
        if (request->waiting_at == owned) {
            request->waiting_at = NULL;
            request->reason = reason;
            advance_to_next_candidate(request);
        }
    }
}

static sky_placement_request_t *
create_request(sky_placement_t *placement, sky_placement_done_t done,
               void *context)
{
    sky_placement_request_t *request = calloc(1, sizeof *request);
    if (request == NULL) {
        return NULL;
    }
    request->placement = placement;
    request->done = done;
    request->context = context;
    ev_init(&request->timer, on_request_timer);
    request->timer.data = request;
    DL_APPEND(placement->requests, request);
    return request;
}

static sky_placement_request_t *
create_adapter_request(sky_placement_t *placement, const char *model,
                       const char *adapter, sky_placement_done_t done,
                       void *context)
{
    sky_placement_request_t *request =
        create_request(placement, done, context);
    if (request == NULL) {
        return NULL;
    }
    snprintf(request->model, sizeof request->model, "%s", model);
    snprintf(request->adapter, sizeof request->adapter, "%s", adapter);
    request->key = SkyFleet_MakeAdapterKey(model, adapter);
    /* The first try runs from the event loop, so that done is not called
     * before this returns. */
    ev_feed_event(placement->options.loop, &request->timer, EV_TIMER);
    return request;
}

static void
add_candidate(sky_placement_request_t *request, const char *target_id,
              bool can_queue)
{
    sky_placement_candidate_t *candidate =
        &request->candidates[request->candidate_count++];
    snprintf(candidate->target_id, sizeof candidate->target_id, "%s",
             target_id);
    candidate->can_queue = can_queue;
}

/* All candidates are first tried for an immediate load. Unless it is an extra
 * replica, which nobody waits for, the adapter may then queue for an adapter
 * slot at the most preferred ones. */
static sky_placement_request_t *
create_request_with_candidates(sky_placement_t *placement,
                               const sky_placement_spec_t *spec,
                               sky_fleet_target_t *const *preferred,
                               uint32_t count, sky_placement_done_t done,
                               void *context)
{
    sky_placement_request_t *request = create_adapter_request(
        placement, spec->query.model, spec->query.adapter, done, context);
    if (request == NULL) {
        return NULL;
    }
    request->min_version = spec->version;
    request->urgency = spec->urgency;
    request->is_under_way = spec->is_under_way;
    request->due_ms = spec->due_ms;
    request->is_extra_replica = spec->query.without_adapter;
    for (uint32_t i = 0; i < count && i < PREFERRED_TARGETS_MAX; i++) {
        add_candidate(request, preferred[i]->entry.id, false);
    }
    uint32_t queue_count =
        spec->is_under_way ? PREFERRED_TARGETS_MAX : QUEUE_TARGETS_MAX;
    if (spec->query.without_adapter) {
        queue_count = 0;
    }
    for (uint32_t i = 0; i < count && i < queue_count; i++) {
        add_candidate(request, preferred[i]->entry.id, true);
    }
    return request;
}

sky_placement_request_t *
SkyPlacement_Request(sky_placement_t *placement,
                     const sky_placement_spec_t *spec,
                     sky_placement_done_t done, void *context)
{
    sky_fleet_target_t *preferred[PREFERRED_TARGETS_MAX];
    uint32_t count = SkyFleet_RankPreferredTargets(
        placement->options.directory->fleet, &spec->query, SkyClock_NowMs(),
        preferred, PREFERRED_TARGETS_MAX);
    return create_request_with_candidates(placement, spec, preferred, count,
                                          done, context);
}

sky_fleet_target_t *
SkyPlacement_ApplyResult(sky_placement_t *placement,
                         const sky_placement_result_t *result)
{
    sky_fleet_t *fleet = placement->options.directory->fleet;
    sky_fleet_target_t *target =
        result->placed ? SkyFleet_FindTarget(fleet, result->target_id) : NULL;
    if (target != NULL) {
        sky_residency_t resident = {.adapter = result->adapter,
                                    .version = result->version,
                                    .present = true};
        SkyFleet_RecordResidency(fleet, target, &resident, SkyClock_NowMs());
    }
    return target;
}

void
SkyPlacement_Cancel(sky_placement_request_t *request)
{
    ev_timer_stop(request->placement->options.loop, &request->timer);
    if (request->owner_call != NULL) {
        SkyHostCalls_CancelCall(request->owner_call);
    }
    DL_DELETE(request->placement->requests, request);
    free(request);
}

static void
send_place_response(void *context, const sky_placement_result_t *result)
{
    sky_server_request_t *server_request = context;
    SkyServerRequest_SetUserData(server_request, NULL);
    SkyHostCalls_Respond(
        server_request,
        json_pack("{s:b, s:s, s:I, s:I, s:s}", "placed", result->placed,
                  "target", result->target_id, "version",
                  (json_int_t)result->version, "retry_ms",
                  (json_int_t)result->retry_after_ms, "reason",
                  result->placed ? "" : result->reason));
}

/* Another host requests an adapter at a target that this host owns. */
static void
on_place_call(void *context, sky_server_request_t *server_request,
              const json_t *body)
{
    sky_placement_t *placement = context;
    const char *target = NULL;
    const char *model = NULL;
    const char *adapter = NULL;
    json_int_t version = 0;
    json_int_t urgency = 0;
    json_int_t left_ms = 0;
    int can_queue = 0;
    if (json_unpack((json_t *)body, "{s:s, s:s, s:s, s:I, s:I, s:I, s:b}",
                    "target", &target, "model", &model, "adapter", &adapter,
                    "version", &version, "urgency", &urgency, "left_ms",
                    &left_ms, "patient", &can_queue) != 0) {
        SkyServerRequest_Respond(server_request, 400, "", "", 0);
        return;
    }
    sky_placement_request_t *request = create_adapter_request(
        placement, model, adapter, send_place_response, server_request);
    if (request == NULL) {
        SkyServerRequest_Respond(server_request, 503, "", "", 0);
        return;
    }
    request->min_version = (uint32_t)version;
    request->urgency = (uint32_t)urgency;
    /* Hosts of an earlier build do not say it. */
    request->is_under_way = json_is_true(json_object_get(body, "under_way"));
    request->due_ms =
        SkyTime_AfterMs(SkyClock_NowMs(), left_ms > 0 ? (uint64_t)left_ms : 0);
    /* Only a target owned here is tried: a request that came from another
     * host is never forwarded to a third. */
    if (SkyOwnedTarget_Find(placement, target) != NULL) {
        add_candidate(request, target, can_queue != 0);
    }
    SkyServerRequest_SetUserData(server_request, request);
}

static void
on_place_disconnect(void *context, sky_server_request_t *server_request)
{
    (void)context;
    sky_placement_request_t *request =
        SkyServerRequest_UserData(server_request);
    if (request != NULL) {
        SkyPlacement_Cancel(request);
    }
}

static void
on_owner_report(void *context, const json_t *body)
{
    sky_placement_request_t *request = context;
    sky_placement_result_t result = {.reason = "confirmed",
                                     .prompt_wait_ms =
                                         SkyLoadReport_DecodePromptWait(body)};
    request->owner_call = NULL;
    SkyLoadReport_ApplyResponse(request->placement, body);
    finish_request(request, &result);
}

sky_placement_request_t *
SkyPlacement_RequestOwnerReport(sky_placement_t *placement,
                                const sky_fleet_target_t *target,
                                sky_adapter_key_t adapter,
                                const sky_prompt_turn_t *turn,
                                sky_placement_done_t done, void *context)
{
    const sky_placement_options_t *options = &placement->options;
    sky_owned_target_t *owned =
        SkyOwnedTarget_Find(placement, target->entry.id);
    const char *owner = SkyOwnership_FindOwnerAddress(
        options->ownership,
        SkyOwnership_GetShard(options->ownership, target->hash));
    if (owned != NULL) {
        SkyLoadReport_ApplyLocally(owned);
        return NULL;
    }
    if (owner == NULL || strcmp(owner, options->settings->control) == 0) {
        return NULL;
    }
    sky_placement_request_t *request =
        create_request(placement, done, context);
    if (request == NULL) {
        return NULL;
    }
    json_t *body =
        json_pack("{s:s, s:[[s, I, [[I, i, i]]]]}", "host",
                  options->settings->name, "targets", target->entry.id,
                  (json_int_t)target->in_flight, (json_int_t)adapter, 0, 1);
    if (turn != NULL) {
        SkyLoadReport_EncodePromptTurn(body, turn);
    }
    request->owner_call = SkyHostCalls_SendCall(
        options->host_calls, owner, "/share", body, OWNER_REPORT_TIMEOUT_MS,
        on_owner_report, request);
    if (request->owner_call == NULL) {
        SkyPlacement_Cancel(request);
        return NULL;
    }
    return request;
}

uint32_t
SkyPlacement_TakePromptTurn(sky_placement_t *placement,
                            const sky_fleet_target_t *target,
                            const sky_prompt_turn_t *turn)
{
    sky_owned_target_t *owned =
        SkyOwnedTarget_Find(placement, target->entry.id);
    return owned != NULL ? SkyPromptPacer_TakeTurn(&owned->prompt_pacer, turn,
                                                   SkyClock_NowMs())
                         : 0;
}

/* Assigns the new replica to waiting requests; later ones find it in the
 * fleet. */
static void
on_replica_result(void *context, const sky_placement_result_t *result)
{
    sky_placement_t *placement = context;
    SkyBurst_ApplyReplica(placement, result);
    SkyLog_Write(LOG_INFO, "copy", "placed=%d target=%s reason=%s",
                 result->placed, result->placed ? result->target_id : "-",
                 result->placed ? "-" : result->reason);
    placement->pending_replicas--;
}

/* Each replica has a preferred target of its own and falls back on those that
 * are ranked after it. The first ones are skipped: they were requested within
 * the same window. */
static void
request_replicas(sky_placement_t *placement, const sky_placement_spec_t *spec,
                 uint32_t already_requested, uint32_t count)
{
    sky_fleet_target_t
        *preferred[PENDING_REPLICAS_MAX + PREFERRED_TARGETS_MAX];
    uint32_t ranked = SkyFleet_RankPreferredTargets(
        placement->options.directory->fleet, &spec->query, SkyClock_NowMs(),
        preferred, PENDING_REPLICAS_MAX + PREFERRED_TARGETS_MAX);
    for (uint32_t i = already_requested;
         i < already_requested + count && i < ranked &&
         placement->pending_replicas < PENDING_REPLICAS_MAX;
         i++) {
        if (create_request_with_candidates(placement, spec, preferred + i,
                                           ranked - i, on_replica_result,
                                           placement) == NULL) {
            return;
        }
        placement->pending_replicas++;
    }
}

void
SkyPlacement_RequestReplicas(sky_placement_t *placement,
                             const sky_placement_spec_t *spec, uint32_t count)
{
    uint64_t now = SkyClock_NowMs();
    sky_adapter_key_t key =
        SkyFleet_MakeAdapterKey(spec->query.model, spec->query.adapter);
    sky_replica_window_t *window =
        &placement->replica_windows[key % REPLICA_WINDOWS_MAX];
    if (window->adapter != key ||
        window->started_ms + REPLICA_WINDOW_MS <= now) {
        *window = (sky_replica_window_t){.adapter = key, .started_ms = now};
    }
    if (count > window->replica_count) {
        request_replicas(placement, spec, window->replica_count,
                         count - window->replica_count);
        window->replica_count = count;
    }
}

sky_result_t
SkyPlacement_Create(const sky_placement_options_t *options,
                    sky_placement_t **placement)
{
    sky_placement_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    ev_timer_init(&self->reconcile_timer, SkyPlacement_OnReconcileTimer,
                  RECONCILE_INTERVAL_S, RECONCILE_INTERVAL_S);
    self->reconcile_timer.data = self;
    ev_timer_start(options->loop, &self->reconcile_timer);
    ev_timer_init(&self->report_timer, SkyLoadReport_OnTimer,
                  LOAD_REPORT_INTERVAL_S, LOAD_REPORT_INTERVAL_S);
    self->report_timer.data = self;
    ev_timer_start(options->loop, &self->report_timer);
    ev_init(&self->early_report_timer, SkyLoadReport_OnEarlyTimer);
    self->early_report_timer.data = self;
    SkyHostCalls_RegisterHandler(options->host_calls, "/place", on_place_call,
                                 on_place_disconnect, self);
    SkyHostCalls_RegisterHandler(options->host_calls, "/share",
                                 SkyLoadReport_HandleCall, NULL, self);
    *placement = self;
    return SKY_OK;
}

void
SkyPlacement_Free(sky_placement_t *placement)
{
    if (placement == NULL) {
        return;
    }
    sky_placement_request_t *request;
    sky_placement_request_t *next;
    DL_FOREACH_SAFE(placement->requests, request, next)
    {
        SkyPlacement_Cancel(request);
    }
    while (placement->owned_targets != NULL) {
        SkyOwnedTarget_Free(placement->owned_targets);
    }
    SkyPlacement_ForgetReleasedTargets(placement, UINT64_MAX);
    ev_timer_stop(placement->options.loop, &placement->reconcile_timer);
    ev_timer_stop(placement->options.loop, &placement->report_timer);
    ev_timer_stop(placement->options.loop, &placement->early_report_timer);
    free(placement);
}
