#include "edge/placement.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "decide/placer.h"
#include "platform/documents.h"
#include "platform/wire.h"

#define HOMES 3           /**< targets that may load a cold adapter, in turn */
#define TRANSIT_MOST 4    /**< adapters on their way to a target at once */
#define LOAD_GUESS_MS 250 /**< an adapter's load, until one was measured */
#define PROTECT_MS 250    /**< a granted request is told as running by then */
#define REPORT_LAG_MS 400 /**< reports are some hundred ms old */
#define QUEUE_MOST 24 /**< adapters that wait for one target: 2 s of loads */
#define ORDER_TIMEOUT_MS 120 /**< answers take some ms */
#define CONNECT_TIMEOUT_MS 300
#define REMOTE_TIMEOUT_MS 900 /**< of one owner, before the next is asked */
#define CONFIRM_TIMEOUT_MS 80 /**< owners answer within some ms */
#define REMOTE_MARGIN_MS 30   /**< way of an answer between hosts */
#define RECONCILE_S 0.25
#define SHARE_S 0.2       /**< load is told to owners; a run takes as long */
#define SHARE_SOON_S 0.01 /**< a request on an adapter that may be dropped */
#define SHARE_MS 1000     /**< load told before is no longer counted */
#define SHARES_MAX 128    /**< hosts with requests on one target */
#define HELD_MAX 256      /**< adapters of one target that are told */
#define COPIES_MOST 8     /**< asked for at once by one host */
#define COPY_INTERVAL_MS 400 /**< of one adapter: about a load */
#define COPIES_REMEMBERED 64
#define CROWDED_FILL 1.0   /**< its batch is full: another home is better */
#define MODEL_DUE_MS 60000 /**< a target without its model always needs it */
#define RETRY_AFTER_NO_OWNER_MS 800 /**< an owner is found within a lease */
#define OWN_USES 1   /**< names this host among the users of its own targets */
#define USES_MAX 256 /**< distinct uses kept between two flushes */

/** Requests of one host on a target. */
typedef struct {
    char host[SKY_HOST_NAME_BYTES];
    uint32_t in_flight;
    uint64_t at_ms;
} share_t;

typedef struct managed {
    sky_placement_t *placement;
    char id[SKY_TARGET_ID_BYTES];
    uint64_t born_ms;
    uint64_t hash;
    uint32_t shard;
    struct sockaddr_in address;
    char address_text[SKY_HOST_ADDRESS_BYTES];
    sky_placer_t *placer;
    sky_sending_t *sending;
    sky_placer_action_t action; /**< that waits for its answer */
    uint16_t status;
    sky_buffer_t body;
    ev_timer timer; /**< wakes the placer, or bounds an order */
    share_t shares[SHARES_MAX];
    uint32_t share_count;
    struct managed *prev;
    struct managed *next;
} managed_t;

struct sky_placement_ask {
    sky_placement_t *placement;
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    sky_adapter_key_t key;
    uint32_t version;
    uint32_t urgency;
    uint64_t due_ms;
    char homes[HOMES][SKY_TARGET_ID_BYTES];
    uint32_t home_count;
    uint32_t home_next;
    const char *home;   /**< asked now */
    managed_t *managed; /**< waits for this target here */
    sky_host_call_t *call;
    ev_timer timer;
    uint32_t retry_after_ms;
    const char *reason;
    sky_placement_done_t done;
    void *context;
    sky_placement_ask_t *prev;
    sky_placement_ask_t *next;
};

typedef struct {
    uint64_t target; /**< hash of its id */
    sky_adapter_key_t adapter;
    uint32_t count; /**< begun since the owner was told */
    uint32_t running;
    bool fresh; /**< the owner does not know that it runs */
} use_t;

typedef struct {
    sky_adapter_key_t adapter;
    uint64_t at_ms;
} copy_t;

struct sky_placement {
    sky_placement_options_t options;
    managed_t *managed;
    sky_placement_ask_t *asks;
    ev_timer reconcile;
    ev_timer share;
    ev_timer share_soon;
    use_t uses[USES_MAX];
    uint32_t use_count;
    copy_t copied[COPIES_REMEMBERED];
    uint32_t copies; /**< asked for and not answered */
};

static void step(managed_t *managed);
static void try_next_home(sky_placement_ask_t *ask);

static managed_t *
find_managed(const sky_placement_t *placement, const char *id)
{
    managed_t *managed;
    DL_FOREACH(placement->managed, managed)
    {
        if (strcmp(managed->id, id) == 0) {
            return managed;
        }
    }
    return NULL;
}

static void
end_ask(sky_placement_ask_t *ask, const sky_placement_result_t *result)
{
    sky_placement_t *placement = ask->placement;
    sky_placement_done_t done = ask->done;
    void *context = ask->context;
    char target_id[SKY_TARGET_ID_BYTES];
    sky_placement_result_t copy = *result;
    snprintf(target_id, sizeof target_id, "%s",
             result->target_id ? result->target_id : "");
    copy.target_id = target_id;
    ev_timer_stop(placement->options.loop, &ask->timer);
    if (ask->call != NULL) {
        SkyHostCalls_Cancel(ask->call);
    }
    DL_DELETE(placement->asks, ask);
    free(ask);
    done(context, &copy);
}

static void
grant(sky_placement_ask_t *ask, uint32_t version)
{
    sky_placement_result_t result = {
        .placed = true, .target_id = ask->home, .version = version};
    end_ask(ask, &result);
}

static void
refuse(sky_placement_ask_t *ask)
{
    sky_placement_result_t result = {
        .retry_after_ms = ask->retry_after_ms ? ask->retry_after_ms
                                              : RETRY_AFTER_NO_OWNER_MS,
        .reason = ask->reason ? ask->reason : "no_owner"};
    end_ask(ask, &result);
}

/* Ends or moves on the asks whose adapter came, or will not come. */
static void
check_asks(managed_t *managed)
{
    sky_placement_t *placement = managed->placement;
    sky_placement_ask_t *ask;
    sky_placement_ask_t *next;
    DL_FOREACH_SAFE(placement->asks, ask, next)
    {
        if (ask->managed != managed) {
            continue;
        }
        switch (SkyPlacer_StateOf(managed->placer, ask->key, ask->version)) {
        case SKY_PLACE_HELD:
            grant(ask, SkyPlacer_VersionOf(managed->placer, ask->key));
            break;
        case SKY_PLACE_NONE:
            ask->managed = NULL;
            ask->reason = "load_given_up";
            try_next_home(ask);
            break;
        case SKY_PLACE_QUEUED:
        case SKY_PLACE_COMING:
        case SKY_PLACE_GOING:
            break;
        }
    }
}

static void
wake_at(managed_t *managed, uint64_t wake_ms)
{
    struct ev_loop *loop = managed->placement->options.loop;
    uint64_t now = SkyClock_NowMs();
    ev_timer_stop(loop, &managed->timer);
    if (wake_ms != UINT64_MAX) {
        double wait_ms = wake_ms > now ? (double)(wake_ms - now) : 0.0;
        ev_timer_set(&managed->timer, wait_ms / 1000.0, 0.0);
        ev_timer_start(loop, &managed->timer);
    }
}

static sky_placer_answer_t
placer_answer(managed_t *managed)
{
    switch (SkyWire_ReadOrderAnswer(managed->status)) {
    case SKY_ORDER_ACCEPTED:
        return SKY_ORDERED_ACCEPTED;
    case SKY_ORDER_HOLDS:
        return SKY_ORDERED_HOLDS;
    case SKY_ORDER_CONFLICT:
        return SKY_ORDERED_CONFLICT;
    case SKY_ORDER_FENCED:
        SkyOwnership_NoteFenced(managed->placement->options.ownership,
                                managed->shard);
        return SKY_ORDERED_REFUSED;
    case SKY_ORDER_WRONG:
    case SKY_ORDER_REFUSED:
        break;
    }
    return SKY_ORDERED_REFUSED;
}

static void
log_order(const managed_t *managed, const char *answer)
{
    static const char *const STEPS[] = {"wait", "report", "load", "unload"};
    const sky_placer_action_t *action = &managed->action;
    SkyLog_Write(LOG_INFO, "order",
                 "target=%s step=%s adapter=%s/%s version=%u expected=%llu "
                 "answer=%s status=%u body=\"%.*s\"",
                 managed->id, STEPS[action->step], action->model,
                 action->adapter, action->version,
                 (unsigned long long)action->expected_orders, answer,
                 managed->status,
                 (int)(managed->status == 200 || managed->status == 202
                           ? 0
                           : SkyBuffer_Size(&managed->body)),
                 SkyBuffer_Data(&managed->body));
}

static void
take_report(managed_t *managed)
{
    sky_target_report_t report;
    uint64_t now = SkyClock_NowMs();
    sky_result_t result =
        SkyDocument_ReadReport(SkyBuffer_Data(&managed->body),
                               SkyBuffer_Size(&managed->body), &report);
    if (managed->status != 200 || SkyResult_IsError(result)) {
        SkyPlacer_ReportFailed(managed->placer, now);
        return;
    }
    SkyLog_Write(LOG_NOTICE, "report",
                 "target=%s orders=%llu held=%u coming=%u busy=%d running=%u "
                 "queued=%u",
                 managed->id, (unsigned long long)report.order_count,
                 report.resident_count, report.coming_count, report.busy,
                 report.running, report.queued);
    SkyPlacer_TakeReport(managed->placer, &report, now);
    SkyTargetReport_Clear(&report);
}

static void
take_answer(managed_t *managed, bool whole)
{
    uint64_t now = SkyClock_NowMs();
    ev_timer_stop(managed->placement->options.loop, &managed->timer);
    log_order(managed, whole ? "whole" : "none");
    if (managed->action.step == SKY_PLACER_REPORT) {
        if (whole) {
            take_report(managed);
        }
        else {
            SkyPlacer_ReportFailed(managed->placer, now);
        }
    }
    else {
        SkyPlacer_Answered(
            managed->placer,
            whole ? placer_answer(managed) : SKY_ORDERED_UNANSWERED, now);
    }
    check_asks(managed);
    step(managed);
}

static bool
on_head(void *context, const sky_http_head_t *head)
{
    managed_t *managed = context;
    managed->status = head->status;
    return true;
}

static void
on_body(void *context, const char *bytes, size_t size)
{
    managed_t *managed = context;
    SkyBuffer_Append(&managed->body, bytes, size);
}

static void
on_end(void *context, sky_sending_end_t end)
{
    managed_t *managed = context;
    managed->sending = NULL;
    take_answer(managed, end == SKY_SENDING_COMPLETE);
}

static void
on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    managed_t *managed = watcher->data;
    if (managed->sending != NULL) {
        SkySending_Cancel(managed->sending);
        managed->sending = NULL;
        take_answer(managed, false);
        return;
    }
    step(managed);
}

static void
put_order(managed_t *managed, uint64_t fence, sky_buffer_t *out)
{
    const sky_placer_action_t *action = &managed->action;
    if (action->step == SKY_PLACER_REPORT) {
        SkyWire_PutReportRequest(out, managed->address_text);
        return;
    }
    sky_target_order_t order = {
        .op = action->step == SKY_PLACER_LOAD ? SKY_TARGET_LOAD
                                              : SKY_TARGET_UNLOAD,
        .model = action->model,
        .adapter = action->adapter,
        .version = action->version,
        .expected_orders = action->expected_orders,
        .holder = managed->placement->options.settings->name,
        .fence = fence,
        .target_id = managed->id,
    };
    SkyWire_PutOrder(out, managed->address_text, &order);
}

static void
send_action(managed_t *managed, uint64_t fence)
{
    sky_placement_t *placement = managed->placement;
    sky_buffer_t request = {0};
    put_order(managed, fence, &request);
    SkyBuffer_Consume(&managed->body, SkyBuffer_Size(&managed->body));
    managed->status = 0;
    sky_sending_options_t options = {
        .address = managed->address,
        .request = &request,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .events = {on_head, on_body, on_end},
        .context = managed,
    };
    managed->sending = SkyClient_Send(placement->options.client, &options);
    SkyBuffer_Clear(&request);
    wake_at(managed, SkyClock_NowMs() + ORDER_TIMEOUT_MS);
}

/* Lets the placer take its next step, unless one is under way. */
static void
step(managed_t *managed)
{
    sky_placement_t *placement = managed->placement;
    uint64_t fence;
    if (managed->sending != NULL ||
        !SkyOwnership_MayOrder(placement->options.ownership, managed->shard,
                               &fence)) {
        return;
    }
    SkyPlacer_Next(managed->placer, SkyClock_NowMs(), &managed->action);
    if (managed->action.step == SKY_PLACER_WAIT) {
        wake_at(managed, managed->action.wake_ms);
        return;
    }
    send_action(managed, fence);
}

static void
free_managed(managed_t *managed)
{
    sky_placement_t *placement = managed->placement;
    if (managed->sending != NULL) {
        SkySending_Cancel(managed->sending);
    }
    ev_timer_stop(placement->options.loop, &managed->timer);
    DL_DELETE(placement->managed, managed);
    sky_placement_ask_t *ask;
    sky_placement_ask_t *next;
    DL_FOREACH_SAFE(placement->asks, ask, next)
    {
        if (ask->managed == managed) {
            ask->managed = NULL;
            ask->reason = "owner_changed";
            try_next_home(ask);
        }
    }
    SkyPlacer_Free(managed->placer);
    SkyBuffer_Clear(&managed->body);
    free(managed);
}

static const sky_service_t *
service_of(const sky_placement_t *placement, const char *name)
{
    const sky_deployment_t *deployment =
        placement->options.directory->deployment;
    uint32_t index =
        deployment ? SkyDeployment_FindService(deployment, name) : UINT32_MAX;
    return index == UINT32_MAX ? NULL : &deployment->services[index];
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
    managed_t *managed = context;
    SkyPlacer_Announce(managed->placer, adapter, version, SkyClock_NowMs());
}

static void
want_model(managed_t *managed, const sky_engine_t *engine)
{
    if (engine->model_count != 1) {
        return; /* which of several is loaded follows from requests */
    }
    uint64_t now = SkyClock_NowMs();
    sky_placer_want_t want = {.model = engine->models[0].name,
                              .adapter = "",
                              .due_ms = now + MODEL_DUE_MS};
    sky_adapter_key_t key = SkyFleet_KeyOf(want.model, "");
    if (SkyPlacer_StateOf(managed->placer, key, 0) == SKY_PLACE_NONE) {
        SkyPlacer_Want(managed->placer, &want, now);
    }
}

static managed_t *
add_managed(sky_placement_t *placement, const sky_fleet_target_t *target,
            const sky_engine_t *engine)
{
    managed_t *managed = calloc(1, sizeof *managed);
    sky_placer_options_t options = {
        .places = places_of(engine),
        .transit_most = TRANSIT_MOST,
        .load_ms = LOAD_GUESS_MS,
        .protect_ms = PROTECT_MS,
        .report_lag_ms = REPORT_LAG_MS,
        .queue_most = QUEUE_MOST,
    };
    if (managed == NULL ||
        SkyResult_IsError(SkyPlacer_Create(&options, &managed->placer))) {
        free(managed);
        return NULL;
    }
    managed->placement = placement;
    managed->born_ms = target->entry.born_ms;
    managed->hash = target->hash;
    managed->shard =
        SkyOwnership_ShardOf(placement->options.ownership, target->hash);
    managed->address = target->entry.address;
    snprintf(managed->id, sizeof managed->id, "%s", target->entry.id);
    char ip[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &managed->address.sin_addr, ip, sizeof ip);
    snprintf(managed->address_text, sizeof managed->address_text, "%s:%u", ip,
             ntohs(managed->address.sin_port));
    ev_init(&managed->timer, on_timer);
    managed->timer.data = managed;
    DL_APPEND(placement->managed, managed);
    SkyLog_Write(LOG_NOTICE, "target_owned", "target=%s places=%u",
                 managed->id, options.places);
    return managed;
}

static void
drop_stale(sky_placement_t *placement)
{
    managed_t *managed;
    managed_t *next;
    uint64_t fence;
    DL_FOREACH_SAFE(placement->managed, managed, next)
    {
        const sky_fleet_target_t *target =
            SkyFleet_Find(placement->options.directory->fleet, managed->id);
        if (target == NULL || target->entry.born_ms != managed->born_ms ||
            target->entry.state != SKY_TARGET_READY ||
            !SkyOwnership_MayOrder(placement->options.ownership,
                                   managed->shard, &fence)) {
            SkyLog_Write(LOG_NOTICE, "target_released", "target=%s",
                         managed->id);
            free_managed(managed);
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
            service_of(placement, target->entry.service);
        if (!target->listed || target->entry.state != SKY_TARGET_READY ||
            service == NULL || !service->engine.present ||
            !SkyOwnership_MayOrder(
                options->ownership,
                SkyOwnership_ShardOf(options->ownership, target->hash),
                &fence)) {
            continue;
        }
        managed_t *managed = find_managed(placement, target->entry.id);
        if (managed == NULL) {
            managed = add_managed(placement, target, &service->engine);
        }
        if (managed != NULL) {
            want_model(managed, &service->engine);
            SkyFleet_ForEachAnnounced(options->directory->fleet, announce,
                                      managed);
            step(managed);
        }
    }
}

static void
on_reconcile(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    SkyPlacement_Reconcile(watcher->data);
}

static void
on_remote(void *context, const json_t *body)
{
    sky_placement_ask_t *ask = context;
    int placed = 0;
    json_int_t version = 0;
    json_int_t retry_ms = 0;
    ask->call = NULL;
    if (body == NULL ||
        json_unpack((json_t *)body, "{s:b, s:I, s:I}", "placed", &placed,
                    "version", &version, "retry_ms", &retry_ms) != 0) {
        ask->reason = "owner_silent";
        try_next_home(ask);
        return;
    }
    if (placed) {
        grant(ask, (uint32_t)version);
        return;
    }
    const char *reason = json_string_value(json_object_get(body, "reason"));
    SkyLog_Write(LOG_INFO, "owner_refused",
                 "target=%s adapter=%s/%s reason=%s retry_ms=%u", ask->home,
                 ask->model, ask->adapter, reason ? reason : "-",
                 (uint32_t)retry_ms);
    ask->retry_after_ms = (uint32_t)retry_ms;
    ask->reason = "owner_refused";
    try_next_home(ask);
}

static bool
ask_owner(sky_placement_ask_t *ask, uint32_t shard)
{
    sky_placement_t *placement = ask->placement;
    const char *owner =
        SkyOwnership_OwnerOf(placement->options.ownership, shard);
    uint64_t now = SkyClock_NowMs();
    if (owner == NULL || ask->due_ms <= now + REMOTE_MARGIN_MS ||
        strcmp(owner, placement->options.settings->control) == 0) {
        return false;
    }
    uint64_t left_ms = ask->due_ms - now - REMOTE_MARGIN_MS;
    uint32_t limit_ms =
        left_ms < REMOTE_TIMEOUT_MS ? (uint32_t)left_ms : REMOTE_TIMEOUT_MS;
    json_t *body =
        json_pack("{s:s, s:s, s:s, s:I, s:I, s:I}", "target", ask->home,
                  "model", ask->model, "adapter", ask->adapter, "version",
                  (json_int_t)ask->version, "urgency",
                  (json_int_t)ask->urgency, "left_ms", (json_int_t)limit_ms);
    ask->call =
        SkyHostCalls_Call(placement->options.peers, owner, "/place", body,
                          limit_ms + REMOTE_MARGIN_MS, on_remote, ask);
    return ask->call != NULL;
}

static bool
is_crowded(const managed_t *managed)
{
    const sky_fleet_target_t *target = SkyFleet_Find(
        managed->placement->options.directory->fleet, managed->id);
    return target != NULL &&
           SkyFleet_Fill(target, SkyClock_NowMs()) > CROWDED_FILL;
}

/* Asks this host's own placer; true if the ask waits there or has ended. */
static bool
ask_here(sky_placement_ask_t *ask, managed_t *managed)
{
    sky_placer_want_t want = {.model = ask->model,
                              .adapter = ask->adapter,
                              .version = ask->version,
                              .urgency = ask->urgency,
                              .due_ms = ask->due_ms};
    if (is_crowded(managed) && ask->home_next < ask->home_count &&
        SkyPlacer_StateOf(managed->placer, ask->key, ask->version) ==
            SKY_PLACE_NONE) {
        ask->reason = "target_crowded";
        return false;
    }
    switch (SkyPlacer_Want(managed->placer, &want, SkyClock_NowMs())) {
    case SKY_PLACE_HELD:
        grant(ask, SkyPlacer_VersionOf(managed->placer, ask->key));
        return true;
    case SKY_PLACE_QUEUED:
    case SKY_PLACE_COMING:
    case SKY_PLACE_GOING:
        ask->managed = managed;
        step(managed);
        return true;
    case SKY_PLACE_NONE:
        break;
    }
    ask->reason = "no_place_in_time";
    ask->retry_after_ms =
        SkyPlacer_RetryAfterMs(managed->placer, SkyClock_NowMs());
    return false;
}

static void
try_next_home(sky_placement_ask_t *ask)
{
    sky_placement_t *placement = ask->placement;
    const sky_placement_options_t *options = &placement->options;
    while (ask->home_next < ask->home_count) {
        ask->home = ask->homes[ask->home_next++];
        sky_fleet_target_t *target =
            SkyFleet_Find(options->directory->fleet, ask->home);
        if (target == NULL) {
            continue;
        }
        uint32_t shard =
            SkyOwnership_ShardOf(options->ownership, target->hash);
        managed_t *managed = find_managed(placement, ask->home);
        if (managed != NULL) {
            if (ask_here(ask, managed)) {
                return;
            }
        }
        else if (!SkyOwnership_IsMine(options->ownership, shard) &&
                 ask_owner(ask, shard)) {
            return;
        }
    }
    refuse(ask);
}

static void
on_ask_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    sky_placement_ask_t *ask = watcher->data;
    (void)events;
    if (ask->home == NULL) {
        uint64_t now = SkyClock_NowMs();
        double left_ms = ask->due_ms > now ? (double)(ask->due_ms - now) : 0;
        ev_timer_set(watcher, left_ms / 1000.0 + 0.001, 0.0);
        ev_timer_start(loop, watcher);
        try_next_home(ask);
        return;
    }
    ask->reason = "deadline";
    refuse(ask);
}

static sky_placement_ask_t *
new_ask(sky_placement_t *placement, sky_placement_done_t done, void *context)
{
    sky_placement_ask_t *ask = calloc(1, sizeof *ask);
    if (ask == NULL) {
        return NULL;
    }
    ask->placement = placement;
    ask->done = done;
    ask->context = context;
    ev_init(&ask->timer, on_ask_timer);
    ask->timer.data = ask;
    DL_APPEND(placement->asks, ask);
    return ask;
}

static sky_placement_ask_t *
add_ask(sky_placement_t *placement, const char *model, const char *adapter,
        sky_placement_done_t done, void *context)
{
    sky_placement_ask_t *ask = new_ask(placement, done, context);
    if (ask == NULL) {
        return NULL;
    }
    snprintf(ask->model, sizeof ask->model, "%s", model);
    snprintf(ask->adapter, sizeof ask->adapter, "%s", adapter);
    ask->key = SkyFleet_KeyOf(model, adapter);
    /* The first try runs from the loop, so that no event comes early. */
    ev_feed_event(placement->options.loop, &ask->timer, EV_TIMER);
    return ask;
}

sky_placement_ask_t *
SkyPlacement_Ask(sky_placement_t *placement, const sky_placement_wish_t *wish,
                 sky_placement_done_t done, void *context)
{
    sky_fleet_target_t *homes[HOMES];
    sky_placement_ask_t *ask = add_ask(placement, wish->query.model,
                                       wish->query.adapter, done, context);
    if (ask == NULL) {
        return NULL;
    }
    ask->version = wish->version;
    ask->urgency = wish->urgency;
    ask->due_ms = wish->due_ms;
    ask->home_count =
        SkyFleet_RankHomes(placement->options.directory->fleet, &wish->query,
                           SkyClock_NowMs(), homes, HOMES);
    for (uint32_t i = 0; i < ask->home_count; i++) {
        snprintf(ask->homes[i], sizeof ask->homes[i], "%s",
                 homes[i]->entry.id);
    }
    return ask;
}

void
SkyPlacement_Cancel(sky_placement_ask_t *ask)
{
    ev_timer_stop(ask->placement->options.loop, &ask->timer);
    if (ask->call != NULL) {
        SkyHostCalls_Cancel(ask->call);
    }
    DL_DELETE(ask->placement->asks, ask);
    free(ask);
}

static void
on_place_done(void *context, const sky_placement_result_t *result)
{
    sky_visit_t *visit = context;
    SkyVisit_SetUser(visit, NULL);
    SkyHostCalls_Answer(
        visit, json_pack("{s:b, s:I, s:I, s:s}", "placed", result->placed,
                         "version", (json_int_t)result->version, "retry_ms",
                         (json_int_t)result->retry_after_ms, "reason",
                         result->placed ? "" : result->reason));
}

/* Another host asks for an adapter at a target that this one owns. */
static void
on_place(void *context, sky_visit_t *visit, const json_t *body)
{
    sky_placement_t *placement = context;
    const char *target = NULL;
    const char *model = NULL;
    const char *adapter = NULL;
    json_int_t version = 0;
    json_int_t urgency = 0;
    json_int_t left_ms = 0;
    if (json_unpack((json_t *)body, "{s:s, s:s, s:s, s:I, s:I, s:I}", "target",
                    &target, "model", &model, "adapter", &adapter, "version",
                    &version, "urgency", &urgency, "left_ms", &left_ms) != 0) {
        SkyVisit_Answer(visit, 400, "", "", 0);
        return;
    }
    sky_placement_ask_t *ask =
        add_ask(placement, model, adapter, on_place_done, visit);
    if (ask == NULL) {
        SkyVisit_Answer(visit, 503, "", "", 0);
        return;
    }
    ask->version = (uint32_t)version;
    ask->urgency = (uint32_t)urgency;
    ask->due_ms = SkyClock_NowMs() + (uint64_t)left_ms;
    /* Only a target that is managed here: never passed on to a third. */
    if (find_managed(placement, target) != NULL) {
        ask->home_count = 1;
        snprintf(ask->homes[0], sizeof ask->homes[0], "%s", target);
    }
    SkyVisit_SetUser(visit, ask);
}

static void
on_place_gone(void *context, sky_visit_t *visit)
{
    (void)context;
    sky_placement_ask_t *ask = SkyVisit_User(visit);
    if (ask != NULL) {
        SkyPlacement_Cancel(ask);
    }
}

/* Requests of all hosts but one on a managed target. */
static uint32_t
others_on(const managed_t *managed, const char *but)
{
    const sky_placement_options_t *options = &managed->placement->options;
    uint64_t now = SkyClock_NowMs();
    uint32_t total = 0;
    for (uint32_t i = 0; i < managed->share_count; i++) {
        const share_t *share = &managed->shares[i];
        if (share->at_ms + SHARE_MS > now && strcmp(share->host, but) != 0) {
            total += share->in_flight;
        }
    }
    const sky_fleet_target_t *target =
        SkyFleet_Find(options->directory->fleet, managed->id);
    if (target != NULL && strcmp(options->settings->name, but) != 0) {
        total += target->in_flight;
    }
    return total;
}

static void
note_share(managed_t *managed, const char *host, uint32_t in_flight)
{
    uint64_t now = SkyClock_NowMs();
    share_t *found = NULL;
    for (uint32_t i = 0; i < managed->share_count; i++) {
        share_t *share = &managed->shares[i];
        if (strcmp(share->host, host) == 0) {
            found = share;
            break;
        }
        if (found == NULL && share->at_ms + SHARE_MS <= now) {
            found = share;
        }
    }
    if (found == NULL && managed->share_count < SHARES_MAX) {
        found = &managed->shares[managed->share_count++];
    }
    if (found != NULL) {
        snprintf(found->host, sizeof found->host, "%s", host);
        found->in_flight = in_flight;
        found->at_ms = now;
    }
}

/* Tells this host's own part of the system what it knows as an owner. */
static void
share_with_self(managed_t *managed)
{
    const sky_placement_options_t *options = &managed->placement->options;
    sky_fleet_target_t *target =
        SkyFleet_Find(options->directory->fleet, managed->id);
    sky_belief_t held[HELD_MAX];
    if (target != NULL && SkyPlacer_IsKnown(managed->placer)) {
        uint32_t count =
            SkyPlacer_List(managed->placer, SkyClock_NowMs(), held, HELD_MAX);
        SkyFleet_TakeOwnersWord(target,
                                others_on(managed, options->settings->name),
                                held, count, SkyClock_NowMs());
    }
}

static json_t *
owners_word(const managed_t *managed, const char *host)
{
    sky_belief_t held[HELD_MAX];
    uint32_t count =
        SkyPlacer_List(managed->placer, SkyClock_NowMs(), held, HELD_MAX);
    json_t *rows = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(rows,
                              json_pack("[I,I,I]", (json_int_t)held[i].adapter,
                                        (json_int_t)held[i].version,
                                        (json_int_t)(held[i].share * 100)));
    }
    return json_pack("[s,I,o]", managed->id,
                     (json_int_t)others_on(managed, host), rows);
}

/* Another host tells its load on targets that this one owns. */
static void
on_share(void *context, sky_visit_t *visit, const json_t *body)
{
    sky_placement_t *placement = context;
    const char *host = json_string_value(json_object_get(body, "host"));
    json_t *answer = json_array();
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
        managed_t *managed = find_managed(placement, target);
        if (managed == NULL || !SkyPlacer_IsKnown(managed->placer)) {
            continue;
        }
        note_share(managed, host, (uint32_t)in_flight);
        size_t i;
        json_t *use;
        json_array_foreach(uses, i, use)
        {
            SkyPlacer_NoteUse(
                managed->placer,
                (sky_adapter_key_t)json_integer_value(json_array_get(use, 0)),
                XXH3_64bits(host, strlen(host)),
                (uint32_t)json_integer_value(json_array_get(use, 1)),
                (uint32_t)json_integer_value(json_array_get(use, 2)),
                SkyClock_NowMs());
        }
        json_array_append_new(answer, owners_word(managed, host));
    }
    SkyHostCalls_Answer(visit, json_pack("{s:o}", "targets", answer));
}

static void
take_owners_word(sky_placement_t *placement, const json_t *row)
{
    const char *id = NULL;
    json_int_t others = 0;
    json_t *rows = NULL;
    sky_belief_t held[HELD_MAX];
    uint32_t count = 0;
    if (json_unpack((json_t *)row, "[s,I,o]", &id, &others, &rows) != 0) {
        return;
    }
    sky_fleet_target_t *target =
        SkyFleet_Find(placement->options.directory->fleet, id);
    size_t index;
    json_t *item;
    json_array_foreach(rows, index, item)
    {
        json_int_t adapter = 0;
        json_int_t version = 0;
        json_int_t percent = 0;
        if (count < HELD_MAX &&
            json_unpack(item, "[I,I,I]", &adapter, &version, &percent) == 0) {
            held[count++] =
                (sky_belief_t){.adapter = (sky_adapter_key_t)adapter,
                               .version = (uint32_t)version,
                               .present = true,
                               .share = (float)percent / 100.0f};
        }
    }
    if (target != NULL) {
        SkyFleet_TakeOwnersWord(target, (uint32_t)others, held, count,
                                SkyClock_NowMs());
    }
}

static void
on_shared(void *context, const json_t *body)
{
    /* Without an answer, load and residency are known less well. */
    size_t index;
    json_t *row;
    json_array_foreach(json_object_get(body, "targets"), index, row)
    {
        take_owners_word(context, row);
    }
}

static use_t *
find_use(sky_placement_t *placement, uint64_t target,
         sky_adapter_key_t adapter)
{
    for (uint32_t i = 0; i < placement->use_count; i++) {
        use_t *use = &placement->uses[i];
        if (use->adapter == adapter && use->target == target) {
            return use;
        }
    }
    return NULL;
}

/* The owner hears soon that an adapter came into use, or is free to go. */
static void
tell_soon(sky_placement_t *placement, use_t *use)
{
    use->fresh = true;
    if (!ev_is_active(&placement->share_soon)) {
        ev_timer_set(&placement->share_soon, SHARE_SOON_S, 0.0);
        ev_timer_start(placement->options.loop, &placement->share_soon);
    }
}

void
SkyPlacement_NoteBegin(sky_placement_t *placement,
                       const sky_fleet_target_t *target,
                       sky_adapter_key_t adapter)
{
    use_t *use = find_use(placement, target->hash, adapter);
    if (use == NULL && placement->use_count < USES_MAX) {
        use = &placement->uses[placement->use_count++];
        *use = (use_t){.target = target->hash, .adapter = adapter};
    }
    if (use == NULL) {
        return;
    }
    use->count++;
    use->running++;
    if (use->running == 1) {
        tell_soon(placement, use);
    }
}

void
SkyPlacement_NoteEnd(sky_placement_t *placement,
                     const sky_fleet_target_t *target,
                     sky_adapter_key_t adapter)
{
    use_t *use = find_use(placement, target->hash, adapter);
    if (use != NULL && use->running > 0 && --use->running == 0) {
        tell_soon(placement, use);
    }
}

static json_t *
uses_of(const sky_placement_t *placement, const sky_fleet_target_t *target)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < placement->use_count; i++) {
        const use_t *use = &placement->uses[i];
        if (use->target == target->hash) {
            json_array_append_new(rows, json_pack("[I,I,I]",
                                                  (json_int_t)use->adapter,
                                                  (json_int_t)use->count,
                                                  (json_int_t)use->running));
        }
    }
    return rows;
}

/* Adds a target's row to the message for its owner. */
static void
put_share(sky_placement_t *placement, json_t *messages,
          const sky_fleet_target_t *target)
{
    const sky_placement_options_t *options = &placement->options;
    const char *owner = SkyOwnership_OwnerOf(
        options->ownership,
        SkyOwnership_ShardOf(options->ownership, target->hash));
    json_t *uses = uses_of(placement, target);
    bool quiet = json_array_size(uses) == 0 && target->in_flight == 0;
    if (owner == NULL || quiet ||
        strcmp(owner, options->settings->control) == 0) {
        json_decref(uses);
        return;
    }
    json_t *rows = json_object_get(messages, owner);
    if (rows == NULL) {
        rows = json_array();
        json_object_set_new(messages, owner, rows);
    }
    json_array_append_new(rows,
                          json_pack("[s,I,o]", target->entry.id,
                                    (json_int_t)target->in_flight, uses));
}

/* Keeps what still runs, and what was not told. */
static void
forget_told(sky_placement_t *placement, bool fresh_only)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < placement->use_count; i++) {
        use_t use = placement->uses[i];
        if (fresh_only && !use.fresh) {
            placement->uses[kept++] = use;
            continue;
        }
        use.count = 0;
        use.fresh = false;
        if (use.running > 0) {
            placement->uses[kept++] = use;
        }
    }
    placement->use_count = kept;
}

/* What this host runs on a target that it owns itself. */
static void
note_own_uses(const sky_placement_t *placement, managed_t *managed)
{
    for (uint32_t i = 0; i < placement->use_count; i++) {
        const use_t *use = &placement->uses[i];
        if (use->target == managed->hash) {
            SkyPlacer_NoteUse(managed->placer, use->adapter, OWN_USES,
                              use->count, use->running, SkyClock_NowMs());
        }
    }
}

static bool
has_fresh_use(const sky_placement_t *placement, uint64_t target)
{
    for (uint32_t i = 0; i < placement->use_count; i++) {
        if (placement->uses[i].target == target && placement->uses[i].fresh) {
            return true;
        }
    }
    return false;
}

/* Tells owners the load of all their targets, or of those with a request that
 * they do not know of. */
static void
share(sky_placement_t *placement, bool fresh_only)
{
    const sky_placement_options_t *options = &placement->options;
    json_t *messages = json_object();
    managed_t *managed;
    DL_FOREACH(placement->managed, managed)
    {
        note_own_uses(placement, managed);
        share_with_self(managed);
    }
    const sky_fleet_target_t *target =
        SkyFleet_First(options->directory->fleet);
    for (; target != NULL; target = target->next) {
        const sky_service_t *service =
            service_of(placement, target->entry.service);
        if (target->listed && service != NULL && service->engine.present &&
            (!fresh_only || has_fresh_use(placement, target->hash))) {
            put_share(placement, messages, target);
        }
    }
    forget_told(placement, fresh_only);
    const char *owner;
    json_t *rows;
    json_object_foreach(messages, owner, rows)
    {
        json_t *body = json_pack("{s:s, s:O}", "host", options->settings->name,
                                 "targets", rows);
        SkyHostCalls_Call(options->peers, owner, "/share", body,
                          REMOTE_TIMEOUT_MS, on_shared, placement);
    }
    json_decref(messages);
}

static void
on_share_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    share(watcher->data, false);
}

static void
on_share_soon(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    share(watcher->data, true);
}

static void
on_confirmed(void *context, const json_t *body)
{
    static const sky_placement_result_t DONE = {.reason = "confirmed"};
    sky_placement_ask_t *ask = context;
    ask->call = NULL;
    on_shared(ask->placement, body);
    end_ask(ask, &DONE);
}

sky_placement_ask_t *
SkyPlacement_Confirm(sky_placement_t *placement,
                     const sky_fleet_target_t *target,
                     sky_adapter_key_t adapter, sky_placement_done_t done,
                     void *context)
{
    const sky_placement_options_t *options = &placement->options;
    managed_t *managed = find_managed(placement, target->entry.id);
    const char *owner = SkyOwnership_OwnerOf(
        options->ownership,
        SkyOwnership_ShardOf(options->ownership, target->hash));
    if (managed != NULL) {
        share_with_self(managed);
        return NULL;
    }
    if (owner == NULL || strcmp(owner, options->settings->control) == 0) {
        return NULL;
    }
    sky_placement_ask_t *ask = new_ask(placement, done, context);
    if (ask == NULL) {
        return NULL;
    }
    json_t *body =
        json_pack("{s:s, s:[[s, I, [[I, i, i]]]]}", "host",
                  options->settings->name, "targets", target->entry.id,
                  (json_int_t)target->in_flight, (json_int_t)adapter, 0, 1);
    ask->call = SkyHostCalls_Call(options->peers, owner, "/share", body,
                                  CONFIRM_TIMEOUT_MS, on_confirmed, ask);
    if (ask->call == NULL) {
        SkyPlacement_Cancel(ask);
        return NULL;
    }
    return ask;
}

/* A copy was asked for ahead of need: whoever needs it finds it. */
static void
on_copied(void *context, const sky_placement_result_t *result)
{
    sky_placement_t *placement = context;
    SkyLog_Write(LOG_INFO, "copy", "placed=%d target=%s reason=%s",
                 result->placed, result->placed ? result->target_id : "-",
                 result->placed ? "-" : result->reason);
    placement->copies--;
}

void
SkyPlacement_Copy(sky_placement_t *placement, const sky_placement_wish_t *wish)
{
    uint64_t now = SkyClock_NowMs();
    sky_adapter_key_t key =
        SkyFleet_KeyOf(wish->query.model, wish->query.adapter);
    copy_t *copy = &placement->copied[key % COPIES_REMEMBERED];
    if (placement->copies >= COPIES_MOST ||
        (copy->adapter == key && copy->at_ms + COPY_INTERVAL_MS > now)) {
        return;
    }
    *copy = (copy_t){.adapter = key, .at_ms = now};
    if (SkyPlacement_Ask(placement, wish, on_copied, placement) != NULL) {
        placement->copies++;
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
    ev_timer_init(&self->reconcile, on_reconcile, RECONCILE_S, RECONCILE_S);
    self->reconcile.data = self;
    ev_timer_start(options->loop, &self->reconcile);
    ev_timer_init(&self->share, on_share_timer, SHARE_S, SHARE_S);
    self->share.data = self;
    ev_timer_start(options->loop, &self->share);
    ev_init(&self->share_soon, on_share_soon);
    self->share_soon.data = self;
    SkyHostCalls_Handle(options->peers, "/place", on_place, on_place_gone,
                        self);
    SkyHostCalls_Handle(options->peers, "/share", on_share, NULL, self);
    *placement = self;
    return SKY_OK;
}

void
SkyPlacement_Free(sky_placement_t *placement)
{
    if (placement == NULL) {
        return;
    }
    sky_placement_ask_t *ask;
    sky_placement_ask_t *next;
    DL_FOREACH_SAFE(placement->asks, ask, next)
    {
        SkyPlacement_Cancel(ask);
    }
    while (placement->managed != NULL) {
        free_managed(placement->managed);
    }
    ev_timer_stop(placement->options.loop, &placement->reconcile);
    ev_timer_stop(placement->options.loop, &placement->share);
    ev_timer_stop(placement->options.loop, &placement->share_soon);
    free(placement);
}
