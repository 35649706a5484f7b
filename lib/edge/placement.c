#include "edge/placement.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/placement_state.h"

#define CONFIRM_TIMEOUT_MS 80 /**< owners answer within some ms */
#define REMOTE_MARGIN_MS 30   /**< way of an answer between hosts */
#define RECONCILE_S 0.25
#define SHARE_S 0.2    /**< load is told to owners; a run takes as long */
#define COPIES_MOST 16 /**< asked for at once by one host */
#define COPY_INTERVAL_MS 400 /**< of one adapter: about a load */
#define CROWDED_FILL 1.0     /**< its batch is full: another home is better */
#define RETRY_AFTER_NO_OWNER_MS 800 /**< an owner is found within a lease */

static void try_next(sky_placement_ask_t *ask);

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

void
SkyPlacement_Grant(sky_placement_ask_t *ask, const char *target_id,
                   uint32_t version)
{
    sky_placement_result_t result = {.placed = true,
                                     .adapter = ask->key,
                                     .target_id = target_id,
                                     .version = version};
    end_ask(ask, &result);
}

static void
grant(sky_placement_ask_t *ask, uint32_t version)
{
    SkyPlacement_Grant(ask, ask->asked->target_id, version);
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
void
SkyPlacement_CheckAsks(sky_owned_t *owned)
{
    sky_placement_t *placement = owned->placement;
    sky_placement_ask_t *ask;
    sky_placement_ask_t *next;
    DL_FOREACH_SAFE(placement->asks, ask, next)
    {
        if (ask->owned != owned) {
            continue;
        }
        switch (SkyPlacer_StateOf(owned->placer, ask->key, ask->version)) {
        case SKY_PLACE_HELD:
            if (SkyCrowd_LetGo(ask)) {
                grant(ask, SkyPlacer_VersionOf(owned->placer, ask->key));
            }
            break;
        case SKY_PLACE_NONE:
            ask->owned = NULL;
            ask->reason = "load_given_up";
            try_next(ask);
            break;
        case SKY_PLACE_QUEUED:
        case SKY_PLACE_COMING:
        case SKY_PLACE_GOING:
            break;
        }
    }
}

static void
on_remote(void *context, const json_t *body)
{
    sky_placement_ask_t *ask = context;
    int placed = 0;
    const char *target = NULL;
    json_int_t version = 0;
    json_int_t retry_ms = 0;
    ask->call = NULL;
    if (body == NULL ||
        json_unpack((json_t *)body, "{s:b, s:s, s:I, s:I}", "placed", &placed,
                    "target", &target, "version", &version, "retry_ms",
                    &retry_ms) != 0) {
        ask->reason = "owner_silent";
        try_next(ask);
        return;
    }
    if (placed) {
        SkyPlacement_Grant(ask, target, (uint32_t)version);
        return;
    }
    const char *reason = json_string_value(json_object_get(body, "reason"));
    SkyLog_Write(LOG_INFO, "owner_refused",
                 "target=%s adapter=%s/%s reason=%s retry_ms=%u",
                 ask->asked->target_id, ask->model, ask->adapter,
                 reason ? reason : "-", (uint32_t)retry_ms);
    ask->retry_after_ms = (uint32_t)retry_ms;
    ask->reason = "owner_refused";
    try_next(ask);
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
    json_t *body = json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:I, s:b}", "target", ask->asked->target_id,
        "model", ask->model, "adapter", ask->adapter, "version",
        (json_int_t)ask->version, "urgency", (json_int_t)ask->urgency,
        "left_ms", (json_int_t)limit_ms, "patient", ask->asked->patient);
    ask->call =
        SkyHostCalls_Call(placement->options.peers, owner, "/place", body,
                          limit_ms + REMOTE_MARGIN_MS, on_remote, ask);
    return ask->call != NULL;
}

static bool
is_crowded(const sky_owned_t *owned)
{
    const sky_fleet_target_t *target = SkyOwned_Target(owned);
    return target != NULL &&
           SkyFleet_Fill(target, SkyClock_NowMs()) > CROWDED_FILL;
}

/* Whether the adapter is there or on its way, or can be loaded at once. */
static bool
can_start(sky_placement_ask_t *ask, const sky_owned_t *owned)
{
    if (SkyPlacer_StateOf(owned->placer, ask->key, ask->version) !=
        SKY_PLACE_NONE) {
        return true;
    }
    if (is_crowded(owned)) {
        ask->reason = "target_crowded";
        return false;
    }
    if (!SkyPlacer_CanStart(owned->placer, SkyClock_NowMs())) {
        ask->reason = "no_free_place";
        return false;
    }
    return true;
}

/* Asks this host's own placer; true if the ask waits there or has ended. */
static bool
ask_here(sky_placement_ask_t *ask, sky_owned_t *owned)
{
    sky_placer_want_t want = {.model = ask->model,
                              .adapter = ask->adapter,
                              .version = ask->version,
                              .urgency = ask->urgency,
                              .due_ms = ask->due_ms};
    if (!ask->asked->patient && !can_start(ask, owned)) {
        return false;
    }
    switch (SkyPlacer_Want(owned->placer, &want, SkyClock_NowMs())) {
    case SKY_PLACE_HELD:
        grant(ask, SkyPlacer_VersionOf(owned->placer, ask->key));
        return true;
    case SKY_PLACE_QUEUED:
    case SKY_PLACE_COMING:
    case SKY_PLACE_GOING:
        ask->owned = owned;
        SkyCrowd_NoteWaiting(ask);
        SkyOwned_Step(owned);
        return true;
    case SKY_PLACE_NONE:
        break;
    }
    ask->reason = "no_place_in_time";
    ask->retry_after_ms = SkyPlacer_RetryAfterMs(owned->placer);
    return false;
}

static void
try_next(sky_placement_ask_t *ask)
{
    sky_placement_t *placement = ask->placement;
    const sky_placement_options_t *options = &placement->options;
    while (ask->try_next < ask->try_count) {
        ask->asked = &ask->tries[ask->try_next++];
        ask->held_ms = 0;
        sky_fleet_target_t *target =
            SkyFleet_Find(options->directory->fleet, ask->asked->target_id);
        if (target == NULL) {
            continue;
        }
        uint32_t shard =
            SkyOwnership_ShardOf(options->ownership, target->hash);
        sky_owned_t *owned = SkyOwned_Find(placement, ask->asked->target_id);
        if (owned != NULL) {
            if (ask_here(ask, owned)) {
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
    if (ask->copy_id[0] != '\0') {
        SkyPlacement_Grant(ask, ask->copy_id, ask->copy_version);
        return;
    }
    if (ask->asked == NULL) {
        uint64_t now = SkyClock_NowMs();
        double left_ms = ask->due_ms > now ? (double)(ask->due_ms - now) : 0;
        ev_timer_set(watcher, left_ms / 1000.0 + 0.001, 0.0);
        ev_timer_start(loop, watcher);
        try_next(ask);
        return;
    }
    ask->reason = "deadline";
    refuse(ask);
}

void
SkyPlacement_MoveAsksOn(sky_owned_t *owned, const char *reason)
{
    sky_placement_ask_t *ask;
    sky_placement_ask_t *next;
    DL_FOREACH_SAFE(owned->placement->asks, ask, next)
    {
        if (ask->owned == owned) {
            ask->owned = NULL;
            ask->reason = reason;
            try_next(ask);
        }
    }
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

static void
add_try(sky_placement_ask_t *ask, const char *target_id, bool patient)
{
    sky_placement_try_t *next = &ask->tries[ask->try_count++];
    snprintf(next->target_id, sizeof next->target_id, "%s", target_id);
    next->patient = patient;
}

/* First those that can load it at once; then, but for copies, which nobody
 * waits for, the first homes, where it is to wait for a place. */
static sky_placement_ask_t *
ask_homes(sky_placement_t *placement, const sky_placement_wish_t *wish,
          sky_fleet_target_t *const *homes, uint32_t count,
          sky_placement_done_t done, void *context)
{
    sky_placement_ask_t *ask = add_ask(placement, wish->query.model,
                                       wish->query.adapter, done, context);
    if (ask == NULL) {
        return NULL;
    }
    ask->version = wish->version;
    ask->urgency = wish->urgency;
    ask->due_ms = wish->due_ms;
    ask->copy = wish->query.lacking;
    for (uint32_t i = 0; i < count && i < HOMES; i++) {
        add_try(ask, homes[i]->entry.id, false);
    }
    uint32_t patient = wish->query.lacking ? 0 : HOMES_PATIENT;
    for (uint32_t i = 0; i < count && i < patient; i++) {
        add_try(ask, homes[i]->entry.id, true);
    }
    return ask;
}

sky_placement_ask_t *
SkyPlacement_Ask(sky_placement_t *placement, const sky_placement_wish_t *wish,
                 sky_placement_done_t done, void *context)
{
    sky_fleet_target_t *homes[HOMES];
    uint32_t count =
        SkyFleet_RankHomes(placement->options.directory->fleet, &wish->query,
                           SkyClock_NowMs(), homes, HOMES);
    return ask_homes(placement, wish, homes, count, done, context);
}

sky_fleet_target_t *
SkyPlacement_LearnPlaced(sky_placement_t *placement,
                         const sky_placement_result_t *result)
{
    sky_fleet_t *fleet = placement->options.directory->fleet;
    sky_fleet_target_t *target =
        result->placed ? SkyFleet_Find(fleet, result->target_id) : NULL;
    if (target != NULL) {
        sky_belief_t held = {.adapter = result->adapter,
                             .version = result->version,
                             .present = true};
        SkyFleet_Learn(fleet, target, &held, SkyClock_NowMs());
    }
    return target;
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
        visit, json_pack("{s:b, s:s, s:I, s:I, s:s}", "placed", result->placed,
                         "target", result->target_id, "version",
                         (json_int_t)result->version, "retry_ms",
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
    int patient = 0;
    if (json_unpack((json_t *)body, "{s:s, s:s, s:s, s:I, s:I, s:I, s:b}",
                    "target", &target, "model", &model, "adapter", &adapter,
                    "version", &version, "urgency", &urgency, "left_ms",
                    &left_ms, "patient", &patient) != 0) {
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
    /* Only a target that is owned here: never passed on to a third. */
    if (SkyOwned_Find(placement, target) != NULL) {
        add_try(ask, target, patient != 0);
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

static void
on_confirmed(void *context, const json_t *body)
{
    static const sky_placement_result_t DONE = {.reason = "confirmed"};
    sky_placement_ask_t *ask = context;
    ask->call = NULL;
    SkyShare_TakeAnswer(ask->placement, body);
    end_ask(ask, &DONE);
}

sky_placement_ask_t *
SkyPlacement_Confirm(sky_placement_t *placement,
                     const sky_fleet_target_t *target,
                     sky_adapter_key_t adapter, sky_placement_done_t done,
                     void *context)
{
    const sky_placement_options_t *options = &placement->options;
    sky_owned_t *owned = SkyOwned_Find(placement, target->entry.id);
    const char *owner = SkyOwnership_OwnerOf(
        options->ownership,
        SkyOwnership_ShardOf(options->ownership, target->hash));
    if (owned != NULL) {
        SkyShare_WithSelf(owned);
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
    SkyCrowd_TakeCopy(placement, result);
    SkyLog_Write(LOG_INFO, "copy", "placed=%d target=%s reason=%s",
                 result->placed, result->placed ? result->target_id : "-",
                 result->placed ? "-" : result->reason);
    placement->copies--;
}

/* Each copy has a first home of its own, and the next ones to fall back on.
 * The first ones were asked for a moment ago. */
static void
ask_for_copies(sky_placement_t *placement, const sky_placement_wish_t *wish,
               uint32_t first, uint32_t count)
{
    sky_fleet_target_t *homes[COPIES_MOST + HOMES];
    uint32_t ranked =
        SkyFleet_RankHomes(placement->options.directory->fleet, &wish->query,
                           SkyClock_NowMs(), homes, COPIES_MOST + HOMES);
    for (uint32_t i = first;
         i < first + count && i < ranked && placement->copies < COPIES_MOST;
         i++) {
        if (ask_homes(placement, wish, homes + i, ranked - i, on_copied,
                      placement) == NULL) {
            return;
        }
        placement->copies++;
    }
}

void
SkyPlacement_Copy(sky_placement_t *placement, const sky_placement_wish_t *wish,
                  uint32_t count)
{
    uint64_t now = SkyClock_NowMs();
    sky_adapter_key_t key =
        SkyFleet_KeyOf(wish->query.model, wish->query.adapter);
    sky_copied_t *copy = &placement->copied[key % COPIES_REMEMBERED];
    if (copy->adapter != key || copy->at_ms + COPY_INTERVAL_MS <= now) {
        *copy = (sky_copied_t){.adapter = key, .at_ms = now};
    }
    if (count > copy->count) {
        ask_for_copies(placement, wish, copy->count, count - copy->count);
        copy->count = count;
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
    ev_timer_init(&self->reconcile, SkyOwned_OnReconcile, RECONCILE_S,
                  RECONCILE_S);
    self->reconcile.data = self;
    ev_timer_start(options->loop, &self->reconcile);
    ev_timer_init(&self->share, SkyShare_OnTimer, SHARE_S, SHARE_S);
    self->share.data = self;
    ev_timer_start(options->loop, &self->share);
    ev_init(&self->share_soon, SkyShare_OnSoon);
    self->share_soon.data = self;
    SkyHostCalls_Handle(options->peers, "/place", on_place, on_place_gone,
                        self);
    SkyHostCalls_Handle(options->peers, "/share", SkyShare_OnCall, NULL, self);
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
    while (placement->owned != NULL) {
        SkyOwned_Free(placement->owned);
    }
    ev_timer_stop(placement->options.loop, &placement->reconcile);
    ev_timer_stop(placement->options.loop, &placement->share);
    ev_timer_stop(placement->options.loop, &placement->share_soon);
    free(placement);
}
