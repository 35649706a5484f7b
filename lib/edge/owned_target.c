#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/placement_internal.h"
#include "platform/documents.h"
#include "platform/wire.h"

#define CONCURRENT_LOADS_MAX 4 /**< adapters loading at a target at once */
#define INITIAL_LOAD_MS 250    /**< a load's duration until one is measured */
/** By then a load report shows the request that the adapter was loaded for. */
#define EVICTION_PROTECT_MS 250
#define REPORT_AGE_MAX_MS 400  /**< reports are a few hundred ms old */
#define QUEUED_ADAPTERS_MAX 24 /**< for one target: 2 s of loads */
#define ORDER_TIMEOUT_MS 120   /**< responses take a few ms */
#define CONNECT_TIMEOUT_MS 300
#define RESPONSE_MAX_BYTES (1024u * 1024u) /**< to an order or of a report */
#define MS_PER_S 1000.0
/** Long, as a target without its model never stops needing it. */
#define MODEL_LOAD_TIMEOUT_MS 60000

sky_owned_target_t *
SkyOwnedTarget_Find(const sky_placement_t *placement, const char *id)
{
    sky_owned_target_t *owned;
    DL_FOREACH(placement->owned_targets, owned)
    {
        if (strcmp(owned->id, id) == 0) {
            return owned;
        }
    }
    return NULL;
}

static void
schedule_wake(sky_owned_target_t *owned, uint64_t wake_ms)
{
    struct ev_loop *loop = owned->placement->options.loop;
    uint64_t now = SkyClock_NowMs();
    ev_timer_stop(loop, &owned->timer);
    if (wake_ms != UINT64_MAX) {
        double wait_ms = wake_ms > now ? (double)(wake_ms - now) : 0.0;
        ev_timer_set(&owned->timer, wait_ms / 1000.0, 0.0);
        ev_timer_start(loop, &owned->timer);
    }
}

static sky_placer_order_result_t
handle_order_status(sky_owned_target_t *owned)
{
    switch (SkyWire_ParseOrderStatus(owned->response_status)) {
    case SKY_ORDER_STATUS_ACCEPTED:
        return SKY_PLACER_ORDER_ACCEPTED;
    case SKY_ORDER_STATUS_ALREADY_DONE:
        return owned->exchange.is_distinct ? SKY_PLACER_ORDER_ALREADY_DONE
                                           : SKY_PLACER_ORDER_SAID_DONE;
    case SKY_ORDER_STATUS_CONFLICT:
        return SKY_PLACER_ORDER_CONFLICT;
    case SKY_ORDER_STATUS_FENCED:
        SkyOwnership_HandleFencedOrder(owned->placement->options.ownership,
                                       owned->shard);
        return SKY_PLACER_ORDER_REFUSED;
    case SKY_ORDER_STATUS_WRONG_TARGET:
        owned->is_replaced = true;
        return SKY_PLACER_ORDER_WRONG_TARGET;
    case SKY_ORDER_STATUS_REFUSED:
        return SKY_PLACER_ORDER_REFUSED;
    case SKY_ORDER_STATUS_UNKNOWN:
        break;
    }
    return SKY_PLACER_ORDER_UNKNOWN;
}

static void
log_order(const sky_owned_target_t *owned, const char *response)
{
    static const char *const STEPS[] = {"wait", "report", "load", "unload"};
    const sky_placer_action_t *action = &owned->action;
    SkyLog_Write(
        LOG_INFO, "order",
        "target=%s step=%s adapter=%s/%s version=%u expected=%llu poll=%d "
        "slots_used=%u answer=%s status=%u body=\"%.*s\"",
        owned->id, STEPS[action->step], action->model, action->adapter,
        action->version, (unsigned long long)action->expected_order_count,
        action->is_poll, action->slots_used, response, owned->response_status,
        (int)(owned->response_status == 200 || owned->response_status == 202
                  ? 0
                  : SkyBuffer_Size(&owned->response_body)),
        SkyBuffer_Data(&owned->response_body));
}

/* Whether the address now belongs to another run than the one that is owned.
 */
static bool
is_of_other_run(const sky_owned_target_t *owned,
                const sky_target_report_t *report)
{
    return report->started_unix_ms > 0 && owned->started_unix_ms > 0 &&
           report->started_unix_ms != owned->started_unix_ms;
}

static void
apply_report(sky_owned_target_t *owned)
{
    sky_target_report_t report;
    uint64_t now = SkyClock_NowMs();
    sky_result_t result = SkyPlatformDocument_ParseReport(
        SkyBuffer_Data(&owned->response_body),
        SkyBuffer_Size(&owned->response_body), &report);
    if (owned->response_status != 200 || SkyResult_IsError(result)) {
        SkyPlacer_HandleReportFailure(owned->placer, now);
        return;
    }
    SkyLog_Write(LOG_NOTICE, "report",
                 "target=%s orders=%llu held=%u coming=%u busy=%d running=%u "
                 "queued=%u",
                 owned->id, (unsigned long long)report.order_count,
                 report.resident_count, report.loading_count, report.busy,
                 report.running, report.queued);
    owned->is_replaced = is_of_other_run(owned, &report);
    if (owned->is_replaced) {
        SkyLog_Write(LOG_NOTICE, "target_replaced",
                     "target=%s born=%llu reported_born=%llu", owned->id,
                     (unsigned long long)owned->started_unix_ms,
                     (unsigned long long)report.started_unix_ms);
        SkyPlacer_HandleReportFailure(owned->placer, now);
        SkyPlacement_AdvanceWaitingRequests(owned, "target_replaced");
    }
    else {
        SkyPlacer_ApplyReport(owned->placer, &report, now);
    }
    SkyTargetReport_Clear(&report);
}

static void
handle_response(sky_owned_target_t *owned, bool is_complete)
{
    uint64_t now = SkyClock_NowMs();
    ev_timer_stop(owned->placement->options.loop, &owned->timer);
    log_order(owned, is_complete ? "whole" : "none");
    if (owned->action.step == SKY_PLACER_READ_REPORT) {
        if (is_complete) {
            apply_report(owned);
        }
        else {
            SkyPlacer_HandleReportFailure(owned->placer, now);
        }
    }
    else {
        SkyPlacer_HandleOrderResult(owned->placer,
                                    is_complete ? handle_order_status(owned)
                                                : SKY_PLACER_ORDER_NO_RESPONSE,
                                    now);
    }
    SkyPlacement_UpdateWaitingRequests(owned);
    SkyOwnedTarget_StartNextAction(owned);
}

static bool
on_response_head(void *context, const sky_http_head_t *head)
{
    sky_owned_target_t *owned = context;
    owned->response_status = head->status;
    SkyReachSharing_RecordResponse(owned->placement->options.reach_sharing,
                                   owned->id, head);
    return true;
}

static void
on_response_body(void *context, const char *bytes, size_t size)
{
    sky_owned_target_t *owned = context;
    SkyBuffer_Append(&owned->response_body, bytes, size);
}

static void
on_response_end(void *context, sky_client_outcome_t outcome)
{
    sky_owned_target_t *owned = context;
    const sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    owned->client_request = NULL;
    if (outcome == SKY_CLIENT_OUTCOME_UNSENT && target != NULL) {
        SkyReachSharing_RecordFailure(owned->placement->options.reach_sharing,
                                      target);
    }
    handle_response(owned, outcome == SKY_CLIENT_OUTCOME_COMPLETE);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_owned_target_t *owned = watcher->data;
    if (owned->client_request != NULL) {
        SkyClientRequest_Cancel(owned->client_request);
        owned->client_request = NULL;
        /* An order that is not answered in time may be slow: a probe tells
         * whether the target is reached. */
        SkyReachSharing_ProbeTarget(owned->placement->options.reach_sharing,
                                    SkyOwnedTarget_FindFleetTarget(owned));
        handle_response(owned, false);
        return;
    }
    SkyOwnedTarget_StartNextAction(owned);
}

static void
write_request(sky_owned_target_t *owned, uint64_t fence, sky_buffer_t *out)
{
    const sky_placer_action_t *action = &owned->action;
    if (action->step == SKY_PLACER_READ_REPORT) {
        SkyWire_WriteReportRequest(out, owned->address_text);
        return;
    }
    sky_target_order_t order = {
        .op = action->step == SKY_PLACER_LOAD ? SKY_TARGET_ORDER_LOAD
                                              : SKY_TARGET_ORDER_UNLOAD,
        .model = action->model,
        .adapter = action->adapter,
        .version = action->version,
        .expected_order_count = action->expected_order_count,
        .holder = owned->placement->options.settings->name,
        .fence = fence,
        .target_id = owned->id,
    };
    SkyWire_WriteOrder(out, owned->address_text, &order);
}

/* Orders have no ids. One that frees a slot shares no connection with other
 * orders, reports or probes, whose responses may come a second time. @return 0
 * for other actions */
static uint64_t
get_series(const sky_owned_target_t *owned)
{
    return owned->action.frees_slot ? (uint64_t)owned->series_prefix << 32 |
                                          owned->action.order_number
                                    : 0;
}

static void
send_action(sky_owned_target_t *owned, uint64_t fence)
{
    sky_placement_t *placement = owned->placement;
    sky_buffer_t request = {0};
    write_request(owned, fence, &request);
    SkyBuffer_Consume(&owned->response_body,
                      SkyBuffer_Size(&owned->response_body));
    owned->response_status = 0;
    sky_client_request_options_t options = {
        .address = owned->address,
        .request = &request,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .max_body_bytes = RESPONSE_MAX_BYTES,
        .echo_field = SkyWire_RequestIdFieldName(),
        .echo_value = "",
        .series = get_series(owned),
        .exchange = &owned->exchange,
        .events = {on_response_head, on_response_body, on_response_end},
        .context = owned,
    };
    owned->client_request =
        SkyClient_Send(placement->options.client, &options);
    SkyBuffer_Clear(&request);
    schedule_wake(owned, SkyClock_NowMs() + ORDER_TIMEOUT_MS);
}

void
SkyOwnedTarget_StartNextAction(sky_owned_target_t *owned)
{
    sky_placement_t *placement = owned->placement;
    uint64_t fence;
    if (owned->client_request != NULL ||
        !SkyOwnership_CanSendOrders(placement->options.ownership, owned->shard,
                                    &fence)) {
        return;
    }
    SkyPlacer_ChooseAction(owned->placer, SkyClock_NowMs(), &owned->action);
    if (owned->action.step == SKY_PLACER_WAIT) {
        schedule_wake(owned, owned->action.wake_ms);
        return;
    }
    send_action(owned, fence);
}

/* Keeps what was not answered for the next run of the target. */
static void
record_released_target(sky_owned_target_t *owned)
{
    sky_released_target_t *released = calloc(1, sizeof *released);
    uint64_t now = SkyClock_NowMs();
    if (released == NULL) {
        return;
    }
    released->id_hash = owned->id_hash;
    SkyPlacer_TakeStrayLoads(owned->placer, &released->strays, now);
    DL_APPEND(owned->placement->released_targets, released);
    SkyPlacement_ForgetReleasedTargets(owned->placement, now);
}

void
SkyPlacement_ForgetReleasedTargets(sky_placement_t *placement, uint64_t now_ms)
{
    sky_released_target_t *released;
    sky_released_target_t *next;
    DL_FOREACH_SAFE(placement->released_targets, released, next)
    {
        if (!SkyStrayLoads_RemoveExpired(&released->strays, now_ms)) {
            DL_DELETE(placement->released_targets, released);
            free(released);
        }
    }
}

static void
apply_released_target(sky_owned_target_t *owned)
{
    sky_placement_t *placement = owned->placement;
    sky_released_target_t *released;
    DL_FOREACH(placement->released_targets, released)
    {
        if (released->id_hash == owned->id_hash) {
            SkyPlacer_AddEarlierStrayLoads(owned->placer, &released->strays);
        }
    }
    SkyPlacement_ForgetReleasedTargets(placement, SkyClock_NowMs());
}

void
SkyOwnedTarget_Free(sky_owned_target_t *owned)
{
    sky_placement_t *placement = owned->placement;
    record_released_target(owned);
    if (owned->client_request != NULL) {
        SkyClientRequest_Cancel(owned->client_request);
    }
    ev_timer_stop(placement->options.loop, &owned->timer);
    DL_DELETE(placement->owned_targets, owned);
    SkyPlacement_AdvanceWaitingRequests(owned, "owner_changed");
    SkyPlacer_Free(owned->placer);
    SkyBuffer_Clear(&owned->response_body);
    SkyReportedLoads_Clear(&owned->reported_loads);
    free(owned);
}

sky_fleet_target_t *
SkyOwnedTarget_FindFleetTarget(const sky_owned_target_t *owned)
{
    return SkyFleet_FindTarget(owned->placement->options.directory->fleet,
                               owned->id);
}

const sky_service_t *
SkyPlacement_FindEngineService(const sky_placement_t *placement,
                               const sky_fleet_target_t *target)
{
    const sky_deployment_t *deployment =
        placement->options.directory->deployment;
    uint32_t index =
        target->listed && deployment
            ? SkyDeployment_FindService(deployment, target->entry.service)
            : UINT32_MAX;
    return index != UINT32_MAX && deployment->services[index].engine.present
               ? &deployment->services[index]
               : NULL;
}

/* Adapters that fit beside the largest model, by the engine's adapter slots
 * and by its memory. */
static uint32_t
adapter_slot_count(const sky_engine_t *engine)
{
    uint32_t slots = engine->adapter_slots;
    for (uint32_t i = 0; i < engine->model_count; i++) {
        const sky_model_t *model = &engine->models[i];
        uint32_t free_mb = engine->weights_mb > model->weights_mb
                               ? engine->weights_mb - model->weights_mb
                               : 0;
        if (model->adapter_mb > 0 && free_mb / model->adapter_mb < slots) {
            slots = free_mb / model->adapter_mb;
        }
    }
    return slots;
}

static void
update_capacity(sky_owned_target_t *owned, const sky_engine_t *engine)
{
    sky_model_size_t *models = calloc(
        engine->model_count > 0 ? engine->model_count : 1, sizeof *models);
    if (models == NULL) {
        return;
    }
    for (uint32_t i = 0; i < engine->model_count; i++) {
        models[i] =
            (sky_model_size_t){.name = engine->models[i].name,
                               .weights_mb = engine->models[i].weights_mb,
                               .adapter_mb = engine->models[i].adapter_mb};
    }
    sky_placer_capacity_t capacity = {.adapter_slots =
                                          adapter_slot_count(engine),
                                      .weights_mb = engine->weights_mb,
                                      .models = models,
                                      .model_count = engine->model_count};
    SkyPlacer_SetCapacity(owned->placer, &capacity);
    free(models);
}

static void
on_announced_version(void *context, sky_adapter_key_t adapter,
                     uint32_t version)
{
    sky_owned_target_t *owned = context;
    SkyPlacer_ApplyAnnouncedVersion(owned->placer, adapter, version);
}

/* Loads of model weights that this host may order within a window: its part of
 * the rate that the store allows, in proportion to the targets that it owns
 * out of all targets of the service, and at least one. */
static uint32_t
max_model_loads(const sky_placement_t *placement, const sky_engine_t *engine,
                const char *service)
{
    const sky_deployment_bounds_t *bounds =
        &placement->options.settings->bounds;
    const sky_fleet_target_t *target =
        SkyFleet_GetFirstTarget(placement->options.directory->fleet);
    const sky_owned_target_t *owned;
    uint32_t listed_count = 0;
    uint32_t owned_count = 0;
    for (; target != NULL; target = target->next) {
        listed_count +=
            target->listed && strcmp(target->entry.service, service) == 0;
    }
    DL_FOREACH(placement->owned_targets, owned)
    {
        owned_count++;
    }
    double allowed =
        engine->loads_per_s * bounds->load_rate_factor *
        bounds->load_window_ms / MS_PER_S *
        (listed_count > 0 ? (double)owned_count / listed_count : 0.0);
    return allowed >= 1.0 ? (uint32_t)allowed : 1;
}

/* Counts one more load of model weights in the current window. Returns false
 * if the window has no load left. */
static bool
acquire_model_load(sky_placement_t *placement, uint32_t allowed)
{
    uint64_t now = SkyClock_NowMs();
    uint32_t window_ms = placement->options.settings->bounds.load_window_ms;
    if (now >= placement->model_load_window_start_ms + window_ms) {
        placement->model_load_window_start_ms = now;
        placement->model_loads_in_window = 0;
    }
    if (placement->model_loads_in_window >= allowed) {
        return false;
    }
    placement->model_loads_in_window++;
    return true;
}

static void
request_model(sky_owned_target_t *owned, const sky_engine_t *engine,
              const char *service)
{
    if (engine->model_count != 1) {
        return; /* with several models, requests decide which one is loaded */
    }
    uint64_t now = SkyClock_NowMs();
    sky_load_request_t load_request = {.model = engine->models[0].name,
                                       .adapter = "",
                                       .due_ms = now + MODEL_LOAD_TIMEOUT_MS};
    sky_adapter_key_t key = SkyFleet_MakeAdapterKey(load_request.model, "");
    if (SkyPlacer_IsStateKnown(owned->placer) &&
        SkyPlacer_GetState(owned->placer, key, 0) == SKY_ADAPTER_ABSENT &&
        acquire_model_load(
            owned->placement,
            max_model_loads(owned->placement, engine, service))) {
        SkyPlacer_RequestLoad(owned->placer, &load_request, now);
    }
}

static sky_owned_target_t *
create_owned_target(sky_placement_t *placement,
                    const sky_fleet_target_t *target,
                    const sky_engine_t *engine)
{
    sky_owned_target_t *owned = calloc(1, sizeof *owned);
    sky_placer_options_t options = {
        .adapter_slots_max = adapter_slot_count(engine),
        .loading_max = CONCURRENT_LOADS_MAX,
        .load_ms = INITIAL_LOAD_MS,
        .min_idle_ms = EVICTION_PROTECT_MS,
        .report_lag_ms = REPORT_AGE_MAX_MS,
        .queued_max = QUEUED_ADAPTERS_MAX,
    };
    if (owned == NULL ||
        SkyResult_IsError(SkyPlacer_Create(&options, &owned->placer))) {
        free(owned);
        return NULL;
    }
    owned->placement = placement;
    owned->series_prefix = ++placement->series_prefix;
    owned->started_unix_ms = target->entry.started_unix_ms;
    owned->id_hash = target->hash;
    owned->shard =
        SkyOwnership_GetShard(placement->options.ownership, target->hash);
    owned->address = target->entry.address;
    snprintf(owned->id, sizeof owned->id, "%s", target->entry.id);
    char ip[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &owned->address.sin_addr, ip, sizeof ip);
    snprintf(owned->address_text, sizeof owned->address_text, "%s:%u", ip,
             ntohs(owned->address.sin_port));
    ev_init(&owned->timer, on_timer);
    owned->timer.data = owned;
    DL_APPEND(placement->owned_targets, owned);
    apply_released_target(owned);
    SkyLog_Write(LOG_NOTICE, "target_owned", "target=%s places=%u", owned->id,
                 options.adapter_slots_max);
    return owned;
}

static void
release_stale_targets(sky_placement_t *placement)
{
    sky_owned_target_t *owned;
    sky_owned_target_t *next;
    uint64_t fence;
    DL_FOREACH_SAFE(placement->owned_targets, owned, next)
    {
        const sky_fleet_target_t *target =
            SkyOwnedTarget_FindFleetTarget(owned);
        if (target == NULL ||
            target->entry.started_unix_ms != owned->started_unix_ms ||
            target->entry.state != SKY_TARGET_READY ||
            !SkyOwnership_CanSendOrders(placement->options.ownership,
                                        owned->shard, &fence)) {
            SkyLog_Write(LOG_NOTICE, "target_released", "target=%s",
                         owned->id);
            SkyOwnedTarget_Free(owned);
        }
    }
}

void
SkyPlacement_Reconcile(sky_placement_t *placement)
{
    const sky_placement_options_t *options = &placement->options;
    uint64_t fence;
    release_stale_targets(placement);
    sky_fleet_target_t *target =
        SkyFleet_GetFirstTarget(options->directory->fleet);
    for (; target != NULL; target = target->next) {
        const sky_service_t *service =
            SkyPlacement_FindEngineService(placement, target);
        if (service == NULL || target->entry.state != SKY_TARGET_READY) {
            continue;
        }
        SkyReachability_Watch(options->directory->reachability, service->name,
                              SkyClock_NowMs());
        if (!SkyOwnership_CanSendOrders(
                options->ownership,
                SkyOwnership_GetShard(options->ownership, target->hash),
                &fence)) {
            continue;
        }
        sky_owned_target_t *owned =
            SkyOwnedTarget_Find(placement, target->entry.id);
        if (owned == NULL) {
            owned = create_owned_target(placement, target, &service->engine);
        }
        if (owned != NULL) {
            update_capacity(owned, &service->engine);
            request_model(owned, &service->engine, service->name);
            SkyFleet_ForEachAnnounced(options->directory->fleet,
                                      on_announced_version, owned);
            SkyOwnedTarget_StartNextAction(owned);
        }
    }
}

void
SkyPlacement_OnReconcileTimer(struct ev_loop *loop, ev_timer *watcher,
                              int events)
{
    (void)loop;
    (void)events;
    SkyPlacement_Reconcile(watcher->data);
}
