#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "edge/placement_state.h"

#define SHARE_SOON_S 0.01 /**< a request on an adapter that may be dropped */
#define SHARE_MS 1000     /**< load told before is no longer counted */
#define HELD_MAX 256      /**< adapters of one target that are told */
#define OWN_USES 1 /**< names this host among the users of its own targets */

/* Requests of all hosts but one on an owned target. */
static uint32_t
others_on(const sky_owned_t *owned, const char *but)
{
    const sky_placement_options_t *options = &owned->placement->options;
    uint64_t now = SkyClock_NowMs();
    uint32_t total = 0;
    for (uint32_t i = 0; i < owned->share_count; i++) {
        const sky_share_told_t *share = &owned->shares[i];
        if (share->at_ms + SHARE_MS > now && strcmp(share->host, but) != 0) {
            total += share->in_flight;
        }
    }
    const sky_fleet_target_t *target = SkyOwned_Target(owned);
    if (target != NULL && strcmp(options->settings->name, but) != 0) {
        total += target->in_flight;
    }
    return total;
}

uint32_t
SkyShare_Running(const sky_owned_t *owned)
{
    return others_on(owned, "");
}

static void
note_share(sky_owned_t *owned, const char *host, uint32_t in_flight)
{
    uint64_t now = SkyClock_NowMs();
    sky_share_told_t *found = NULL;
    for (uint32_t i = 0; i < owned->share_count; i++) {
        sky_share_told_t *share = &owned->shares[i];
        if (strcmp(share->host, host) == 0) {
            found = share;
            break;
        }
        if (found == NULL && share->at_ms + SHARE_MS <= now) {
            found = share;
        }
    }
    if (found == NULL && owned->share_count < SHARES_MAX) {
        found = &owned->shares[owned->share_count++];
    }
    if (found != NULL) {
        snprintf(found->host, sizeof found->host, "%s", host);
        found->in_flight = in_flight;
        found->at_ms = now;
    }
}

/* Tells this host's own part of the system what it knows as an owner. */
void
SkyShare_WithSelf(sky_owned_t *owned)
{
    const sky_placement_options_t *options = &owned->placement->options;
    sky_fleet_target_t *target = SkyOwned_Target(owned);
    sky_belief_t held[HELD_MAX];
    if (target != NULL && SkyPlacer_IsKnown(owned->placer)) {
        uint32_t count =
            SkyPlacer_List(owned->placer, SkyClock_NowMs(), held, HELD_MAX);
        SkyFleet_TakeOwnersWord(target,
                                others_on(owned, options->settings->name),
                                held, count, SkyClock_NowMs());
    }
}

static json_t *
owners_word(const sky_owned_t *owned, const char *host)
{
    sky_belief_t held[HELD_MAX];
    uint32_t count =
        SkyPlacer_List(owned->placer, SkyClock_NowMs(), held, HELD_MAX);
    json_t *rows = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(rows,
                              json_pack("[I,I,I]", (json_int_t)held[i].adapter,
                                        (json_int_t)held[i].version,
                                        (json_int_t)(held[i].share * 100)));
    }
    return json_pack("[s,I,o]", owned->id, (json_int_t)others_on(owned, host),
                     rows);
}

/* Another host tells its load on targets that this one owns. */
void
SkyShare_OnCall(void *context, sky_visit_t *visit, const json_t *body)
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
        sky_owned_t *owned = SkyOwned_Find(placement, target);
        if (owned == NULL || !SkyPlacer_IsKnown(owned->placer)) {
            continue;
        }
        note_share(owned, host, (uint32_t)in_flight);
        size_t i;
        json_t *use;
        json_array_foreach(uses, i, use)
        {
            SkyPlacer_NoteUse(
                owned->placer,
                (sky_adapter_key_t)json_integer_value(json_array_get(use, 0)),
                XXH3_64bits(host, strlen(host)),
                (uint32_t)json_integer_value(json_array_get(use, 1)),
                (uint32_t)json_integer_value(json_array_get(use, 2)),
                SkyClock_NowMs());
        }
        json_array_append_new(answer, owners_word(owned, host));
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

void
SkyShare_TakeAnswer(void *context, const json_t *body)
{
    /* Without an answer, load and residency are known less well. */
    size_t index;
    json_t *row;
    json_array_foreach(json_object_get(body, "targets"), index, row)
    {
        take_owners_word(context, row);
    }
}

static sky_use_t *
find_use(sky_placement_t *placement, uint64_t target,
         sky_adapter_key_t adapter)
{
    for (uint32_t i = 0; i < placement->use_count; i++) {
        sky_use_t *use = &placement->uses[i];
        if (use->adapter == adapter && use->target == target) {
            return use;
        }
    }
    return NULL;
}

/* The owner hears soon that an adapter came into use, or is free to go. */
static void
tell_soon(sky_placement_t *placement, sky_use_t *use)
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
    sky_use_t *use = find_use(placement, target->hash, adapter);
    if (use == NULL && placement->use_count < USES_MAX) {
        use = &placement->uses[placement->use_count++];
        *use = (sky_use_t){.target = target->hash, .adapter = adapter};
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
    sky_use_t *use = find_use(placement, target->hash, adapter);
    if (use != NULL && use->running > 0 && --use->running == 0) {
        tell_soon(placement, use);
    }
}

static json_t *
uses_of(const sky_placement_t *placement, const sky_fleet_target_t *target)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < placement->use_count; i++) {
        const sky_use_t *use = &placement->uses[i];
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
        sky_use_t use = placement->uses[i];
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
note_own_uses(const sky_placement_t *placement, sky_owned_t *owned)
{
    for (uint32_t i = 0; i < placement->use_count; i++) {
        const sky_use_t *use = &placement->uses[i];
        if (use->target == owned->hash) {
            SkyPlacer_NoteUse(owned->placer, use->adapter, OWN_USES,
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
    sky_owned_t *owned;
    DL_FOREACH(placement->owned, owned)
    {
        note_own_uses(placement, owned);
        SkyShare_WithSelf(owned);
        SkyPlacement_CheckAsks(owned);
    }
    const sky_fleet_target_t *target =
        SkyFleet_First(options->directory->fleet);
    for (; target != NULL; target = target->next) {
        if ((!fresh_only || has_fresh_use(placement, target->hash)) &&
            SkyOwned_EngineServiceOf(placement, target) != NULL) {
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
                          REMOTE_TIMEOUT_MS, SkyShare_TakeAnswer, placement);
    }
    json_decref(messages);
}

void
SkyShare_OnTimer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    share(watcher->data, false);
}

void
SkyShare_OnSoon(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    share(watcher->data, true);
}
