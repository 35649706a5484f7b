#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/placement_state.h"
#include "platform/documents.h"
#include "platform/wire.h"

#define TRANSIT_MOST 4    /**< adapters on their way to a target at once */
#define LOAD_GUESS_MS 250 /**< an adapter's load, until one was measured */
#define PROTECT_MS 250    /**< a granted request is told as running by then */
#define REPORT_LAG_MS 400 /**< reports are some hundred ms old */
#define QUEUE_MOST 24 /**< adapters that wait for one target: 2 s of loads */
#define ORDER_TIMEOUT_MS 120 /**< answers take some ms */
#define CONNECT_TIMEOUT_MS 300
#define MS_PER_S 1000.0
#define MODEL_DUE_MS 60000 /**< a target without its model always needs it */

sky_owned_t *
SkyOwned_Find(const sky_placement_t *placement, const char *id)
{
    sky_owned_t *owned;
    DL_FOREACH(placement->owned, owned)
    {
        if (strcmp(owned->id, id) == 0) {
            return owned;
        }
    }
    return NULL;
}

static void
wake_at(sky_owned_t *owned, uint64_t wake_ms)
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

static sky_placer_answer_t
placer_answer(sky_owned_t *owned)
{
    switch (SkyWire_ReadOrderAnswer(owned->status)) {
    case SKY_ORDER_ACCEPTED:
        return SKY_ORDERED_ACCEPTED;
    case SKY_ORDER_HOLDS:
        return SKY_ORDERED_HOLDS;
    case SKY_ORDER_CONFLICT:
        return SKY_ORDERED_CONFLICT;
    case SKY_ORDER_FENCED:
        SkyOwnership_NoteFenced(owned->placement->options.ownership,
                                owned->shard);
        return SKY_ORDERED_REFUSED;
    case SKY_ORDER_WRONG:
    case SKY_ORDER_REFUSED:
        break;
    }
    return SKY_ORDERED_REFUSED;
}

static void
log_order(const sky_owned_t *owned, const char *answer)
{
    static const char *const STEPS[] = {"wait", "report", "load", "unload"};
    const sky_placer_action_t *action = &owned->action;
    SkyLog_Write(LOG_INFO, "order",
                 "target=%s step=%s adapter=%s/%s version=%u expected=%llu "
                 "answer=%s status=%u body=\"%.*s\"",
                 owned->id, STEPS[action->step], action->model,
                 action->adapter, action->version,
                 (unsigned long long)action->expected_orders, answer,
                 owned->status,
                 (int)(owned->status == 200 || owned->status == 202
                           ? 0
                           : SkyBuffer_Size(&owned->body)),
                 SkyBuffer_Data(&owned->body));
}

static void
take_report(sky_owned_t *owned)
{
    sky_target_report_t report;
    uint64_t now = SkyClock_NowMs();
    sky_result_t result = SkyDocument_ReadReport(
        SkyBuffer_Data(&owned->body), SkyBuffer_Size(&owned->body), &report);
    if (owned->status != 200 || SkyResult_IsError(result)) {
        SkyPlacer_ReportFailed(owned->placer, now);
        return;
    }
    SkyLog_Write(LOG_NOTICE, "report",
                 "target=%s orders=%llu held=%u coming=%u busy=%d running=%u "
                 "queued=%u",
                 owned->id, (unsigned long long)report.order_count,
                 report.resident_count, report.coming_count, report.busy,
                 report.running, report.queued);
    SkyPlacer_TakeReport(owned->placer, &report, now);
    SkyTargetReport_Clear(&report);
}

static void
take_answer(sky_owned_t *owned, bool whole)
{
    uint64_t now = SkyClock_NowMs();
    ev_timer_stop(owned->placement->options.loop, &owned->timer);
    log_order(owned, whole ? "whole" : "none");
    if (owned->action.step == SKY_PLACER_REPORT) {
        if (whole) {
            take_report(owned);
        }
        else {
            SkyPlacer_ReportFailed(owned->placer, now);
        }
    }
    else {
        SkyPlacer_Answered(
            owned->placer,
            whole ? placer_answer(owned) : SKY_ORDERED_UNANSWERED, now);
    }
    SkyPlacement_CheckAsks(owned);
    SkyOwned_Step(owned);
}

static bool
on_head(void *context, const sky_http_head_t *head)
{
    sky_owned_t *owned = context;
    owned->status = head->status;
    return true;
}

static void
on_body(void *context, const char *bytes, size_t size)
{
    sky_owned_t *owned = context;
    SkyBuffer_Append(&owned->body, bytes, size);
}

static void
on_end(void *context, sky_sending_end_t end)
{
    sky_owned_t *owned = context;
    owned->sending = NULL;
    take_answer(owned, end == SKY_SENDING_COMPLETE);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_owned_t *owned = watcher->data;
    if (owned->sending != NULL) {
        SkySending_Cancel(owned->sending);
        owned->sending = NULL;
        take_answer(owned, false);
        return;
    }
    SkyOwned_Step(owned);
}

static void
put_order(sky_owned_t *owned, uint64_t fence, sky_buffer_t *out)
{
    const sky_placer_action_t *action = &owned->action;
    if (action->step == SKY_PLACER_REPORT) {
        SkyWire_PutReportRequest(out, owned->address_text);
        return;
    }
    sky_target_order_t order = {
        .op = action->step == SKY_PLACER_LOAD ? SKY_TARGET_LOAD
                                              : SKY_TARGET_UNLOAD,
        .model = action->model,
        .adapter = action->adapter,
        .version = action->version,
        .expected_orders = action->expected_orders,
        .holder = owned->placement->options.settings->name,
        .fence = fence,
        .target_id = owned->id,
    };
    SkyWire_PutOrder(out, owned->address_text, &order);
}

static void
send_action(sky_owned_t *owned, uint64_t fence)
{
    sky_placement_t *placement = owned->placement;
    sky_buffer_t request = {0};
    put_order(owned, fence, &request);
    SkyBuffer_Consume(&owned->body, SkyBuffer_Size(&owned->body));
    owned->status = 0;
    sky_sending_options_t options = {
        .address = owned->address,
        .request = &request,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .events = {on_head, on_body, on_end},
        .context = owned,
    };
    owned->sending = SkyClient_Send(placement->options.client, &options);
    SkyBuffer_Clear(&request);
    wake_at(owned, SkyClock_NowMs() + ORDER_TIMEOUT_MS);
}

/* Lets the placer take its next SkyOwned_Step, unless one is under way. */
void
SkyOwned_Step(sky_owned_t *owned)
{
    sky_placement_t *placement = owned->placement;
    uint64_t fence;
    if (owned->sending != NULL ||
        !SkyOwnership_MayOrder(placement->options.ownership, owned->shard,
                               &fence)) {
        return;
    }
    SkyPlacer_Next(owned->placer, SkyClock_NowMs(), &owned->action);
    if (owned->action.step == SKY_PLACER_WAIT) {
        wake_at(owned, owned->action.wake_ms);
        return;
    }
    send_action(owned, fence);
}

void
SkyOwned_Free(sky_owned_t *owned)
{
    sky_placement_t *placement = owned->placement;
    if (owned->sending != NULL) {
        SkySending_Cancel(owned->sending);
    }
    ev_timer_stop(placement->options.loop, &owned->timer);
    DL_DELETE(placement->owned, owned);
    SkyPlacement_MoveAsksOn(owned, "owner_changed");
    SkyPlacer_Free(owned->placer);
    SkyBuffer_Clear(&owned->body);
    free(owned);
}

sky_fleet_target_t *
SkyOwned_Target(const sky_owned_t *owned)
{
    return SkyFleet_Find(owned->placement->options.directory->fleet,
                         owned->id);
}

const sky_service_t *
SkyOwned_EngineServiceOf(const sky_placement_t *placement,
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

/* Adapters that fit beside the largest model, in places and in memory. */
static uint32_t
places_of(const sky_engine_t *engine)
{
    uint32_t places = engine->adapter_places;
    for (uint32_t i = 0; i < engine->model_count; i++) {
        const sky_model_t *model = &engine->models[i];
        uint32_t room = engine->weights_mb > model->weights_mb
                            ? engine->weights_mb - model->weights_mb
                            : 0;
        if (model->adapter_mb > 0 && room / model->adapter_mb < places) {
            places = room / model->adapter_mb;
        }
    }
    return places;
}

static void
announce(void *context, sky_adapter_key_t adapter, uint32_t version)
{
    sky_owned_t *owned = context;
    SkyPlacer_Announce(owned->placer, adapter, version);
}

/* This host's share of the loads of weights that the store allows within a
 * window: as many as its targets are of all, and one at least. */
static uint32_t
model_loads_allowed(const sky_placement_t *placement,
                    const sky_engine_t *engine, const char *service)
{
    const sky_bounds_t *bounds = &placement->options.settings->bounds;
    const sky_fleet_target_t *target =
        SkyFleet_First(placement->options.directory->fleet);
    const sky_owned_t *owned;
    uint32_t all = 0;
    uint32_t mine = 0;
    for (; target != NULL; target = target->next) {
        all += target->listed && strcmp(target->entry.service, service) == 0;
    }
    DL_FOREACH(placement->owned, owned)
    {
        mine++;
    }
    double allowed = engine->loads_per_s * bounds->load_overshoot *
                     bounds->load_window_ms / MS_PER_S *
                     (all > 0 ? (double)mine / all : 0.0);
    return allowed >= 1.0 ? (uint32_t)allowed : 1;
}

/* Takes one load of weights out of the present window. */
static bool
take_model_load(sky_placement_t *placement, uint32_t allowed)
{
    uint64_t now = SkyClock_NowMs();
    uint32_t window_ms = placement->options.settings->bounds.load_window_ms;
    if (now >= placement->loads_since_ms + window_ms) {
        placement->loads_since_ms = now;
        placement->loads = 0;
    }
    if (placement->loads >= allowed) {
        return false;
    }
    placement->loads++;
    return true;
}

static void
want_model(sky_owned_t *owned, const sky_engine_t *engine, const char *service)
{
    if (engine->model_count != 1) {
        return; /* which of several is loaded follows from requests */
    }
    uint64_t now = SkyClock_NowMs();
    sky_placer_want_t want = {.model = engine->models[0].name,
                              .adapter = "",
                              .due_ms = now + MODEL_DUE_MS};
    sky_adapter_key_t key = SkyFleet_KeyOf(want.model, "");
    if (SkyPlacer_IsKnown(owned->placer) &&
        SkyPlacer_StateOf(owned->placer, key, 0) == SKY_PLACE_NONE &&
        take_model_load(
            owned->placement,
            model_loads_allowed(owned->placement, engine, service))) {
        SkyPlacer_Want(owned->placer, &want, now);
    }
}

static sky_owned_t *
add_owned(sky_placement_t *placement, const sky_fleet_target_t *target,
          const sky_engine_t *engine)
{
    sky_owned_t *owned = calloc(1, sizeof *owned);
    sky_placer_options_t options = {
        .places = places_of(engine),
        .transit_most = TRANSIT_MOST,
        .load_ms = LOAD_GUESS_MS,
        .protect_ms = PROTECT_MS,
        .report_lag_ms = REPORT_LAG_MS,
        .queue_most = QUEUE_MOST,
    };
    if (owned == NULL ||
        SkyResult_IsError(SkyPlacer_Create(&options, &owned->placer))) {
        free(owned);
        return NULL;
    }
    owned->placement = placement;
    owned->born_ms = target->entry.born_ms;
    owned->hash = target->hash;
    owned->shard =
        SkyOwnership_ShardOf(placement->options.ownership, target->hash);
    owned->address = target->entry.address;
    snprintf(owned->id, sizeof owned->id, "%s", target->entry.id);
    char ip[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &owned->address.sin_addr, ip, sizeof ip);
    snprintf(owned->address_text, sizeof owned->address_text, "%s:%u", ip,
             ntohs(owned->address.sin_port));
    ev_init(&owned->timer, on_timer);
    owned->timer.data = owned;
    DL_APPEND(placement->owned, owned);
    SkyLog_Write(LOG_NOTICE, "target_owned", "target=%s places=%u", owned->id,
                 options.places);
    return owned;
}

static void
drop_stale(sky_placement_t *placement)
{
    sky_owned_t *owned;
    sky_owned_t *next;
    uint64_t fence;
    DL_FOREACH_SAFE(placement->owned, owned, next)
    {
        const sky_fleet_target_t *target = SkyOwned_Target(owned);
        if (target == NULL || target->entry.born_ms != owned->born_ms ||
            target->entry.state != SKY_TARGET_READY ||
            !SkyOwnership_MayOrder(placement->options.ownership, owned->shard,
                                   &fence)) {
            SkyLog_Write(LOG_NOTICE, "target_released", "target=%s",
                         owned->id);
            SkyOwned_Free(owned);
        }
    }
}

void
SkyPlacement_Reconcile(sky_placement_t *placement)
{
    const sky_placement_options_t *options = &placement->options;
    uint64_t fence;
    drop_stale(placement);
    sky_fleet_target_t *target = SkyFleet_First(options->directory->fleet);
    for (; target != NULL; target = target->next) {
        const sky_service_t *service =
            SkyOwned_EngineServiceOf(placement, target);
        if (service == NULL || target->entry.state != SKY_TARGET_READY ||
            !SkyOwnership_MayOrder(
                options->ownership,
                SkyOwnership_ShardOf(options->ownership, target->hash),
                &fence)) {
            continue;
        }
        sky_owned_t *owned = SkyOwned_Find(placement, target->entry.id);
        if (owned == NULL) {
            owned = add_owned(placement, target, &service->engine);
        }
        if (owned != NULL) {
            want_model(owned, &service->engine, service->name);
            SkyFleet_ForEachAnnounced(options->directory->fleet, announce,
                                      owned);
            SkyOwned_Step(owned);
        }
    }
}

void
SkyOwned_OnReconcile(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    SkyPlacement_Reconcile(watcher->data);
}
