#include <stdio.h>
#include <utlist.h>

#include "core/clock.h"
#include "edge/placement_state.h"

#define TOLD_MS 100 /**< by then hosts have told of what they were let run */
/** A request waits no longer for room here: its own host knows of more. */
#define HELD_MOST_MS 400

static bool
is_waiting(const sky_placement_ask_t *ask, sky_adapter_key_t adapter)
{
    return ask->owned != NULL && !ask->copy && ask->copy_id[0] == '\0' &&
           ask->key == adapter;
}

static uint32_t
count_waiting(const sky_owned_t *owned, sky_adapter_key_t adapter)
{
    uint32_t count = 0;
    const sky_placement_ask_t *ask;
    DL_FOREACH(owned->placement->asks, ask)
    {
        count += is_waiting(ask, adapter) && ask->owned == owned ? 1 : 0;
    }
    return count;
}

void
SkyCrowd_NoteWaiting(sky_placement_ask_t *ask)
{
    sky_owned_t *owned = ask->owned;
    const sky_fleet_target_t *target = SkyOwned_Target(owned);
    if (target == NULL) {
        return;
    }
    uint32_t copies = SkyFleet_CopiesForWaiting(count_waiting(owned, ask->key),
                                                target->entry.slots);
    if (copies == 0) {
        return;
    }
    sky_placement_wish_t wish = {.query = {.service = target->entry.service,
                                           .engine = true,
                                           .model = ask->model,
                                           .adapter = ask->adapter,
                                           .avoid = &owned->hash,
                                           .avoid_count = 1,
                                           .lacking = true},
                                 .version = ask->version,
                                 .urgency = ask->urgency,
                                 .due_ms = ask->due_ms};
    SkyPlacement_Copy(ask->placement, &wish, copies);
}

/* Whether the target has a slot for one more, as far as hosts have told. */
static bool
has_room(sky_owned_t *owned)
{
    uint64_t now = SkyClock_NowMs();
    const sky_fleet_target_t *target = SkyOwned_Target(owned);
    if (target == NULL) {
        return true; /* it left; the host of the request finds out */
    }
    if (owned->granted_ms + TOLD_MS <= now) {
        owned->granted_ms = now;
        owned->granted = 0;
    }
    return SkyShare_Running(owned) + owned->granted < target->entry.slots;
}

bool
SkyCrowd_LetGo(sky_placement_ask_t *ask)
{
    uint64_t now = SkyClock_NowMs();
    ask->held_ms = ask->held_ms ? ask->held_ms : now;
    if (!ask->copy && !has_room(ask->owned) &&
        ask->held_ms + HELD_MOST_MS > now) {
        return false;
    }
    ask->owned->granted++;
    return true;
}

void
SkyCrowd_TakeCopy(sky_placement_t *placement,
                  const sky_placement_result_t *copy)
{
    const sky_fleet_target_t *target =
        SkyPlacement_LearnPlaced(placement, copy);
    if (target == NULL) {
        return;
    }
    uint32_t left = target->entry.slots;
    sky_placement_ask_t *ask;
    DL_FOREACH(placement->asks, ask)
    {
        if (left > 0 && is_waiting(ask, copy->adapter) &&
            ask->version <= copy->version) {
            snprintf(ask->copy_id, sizeof ask->copy_id, "%s", copy->target_id);
            ask->copy_version = copy->version;
            /* From the loop: whoever calls this may be walking the asks. */
            ev_feed_event(placement->options.loop, &ask->timer, EV_TIMER);
            left--;
        }
    }
}
