#include <stdio.h>
#include <utlist.h>

#include "core/clock.h"
#include "edge/placement_internal.h"

/** By then load reports show the requests that were admitted. */
#define ADMISSION_WINDOW_MS 100
/** A request waits no longer than this for a batch slot at an owned target:
 *  its own host knows of more targets. */
#define SLOT_WAIT_MAX_MS 400

static bool
is_waiting_for(const sky_placement_request_t *request,
               sky_adapter_key_t adapter)
{
    return request->waiting_at != NULL && !request->is_extra_replica &&
           request->replica_target_id[0] == '\0' && request->key == adapter;
}

static uint32_t
count_waiting(const sky_owned_target_t *owned, sky_adapter_key_t adapter)
{
    uint32_t count = 0;
    const sky_placement_request_t *request;
    DL_FOREACH(owned->placement->requests, request)
    {
        count +=
            is_waiting_for(request, adapter) && request->waiting_at == owned
                ? 1
                : 0;
    }
    return count;
}

void
SkyBurst_RequestReplicas(sky_placement_request_t *request)
{
    sky_owned_target_t *owned = request->waiting_at;
    const sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    if (target == NULL) {
        return;
    }
    uint32_t replicas = SkyFleet_GetExtraReplicaCount(
        count_waiting(owned, request->key), target->entry.slots);
    if (replicas == 0) {
        return;
    }
    sky_placement_spec_t spec = {.query = {.service = target->entry.service,
                                           .engine = true,
                                           .model = request->model,
                                           .adapter = request->adapter,
                                           .excluded = &owned->id_hash,
                                           .excluded_count = 1,
                                           .without_adapter = true},
                                 .version = request->min_version,
                                 .urgency = request->urgency,
                                 .due_ms = request->due_ms};
    SkyPlacement_RequestReplicas(request->placement, &spec, replicas);
}

/* Whether the target has a free batch slot, by the load that hosts have
 * reported and the requests admitted since. */
static bool
has_free_batch_slot(sky_owned_target_t *owned)
{
    uint64_t now = SkyClock_NowMs();
    const sky_fleet_target_t *target = SkyOwnedTarget_FindFleetTarget(owned);
    if (target == NULL) {
        return true; /* it left; the host of the request finds this out */
    }
    if (owned->admission_window_start_ms + ADMISSION_WINDOW_MS <= now) {
        owned->admission_window_start_ms = now;
        owned->admitted_count = 0;
    }
    return SkyLoadReport_InFlightCount(owned) + owned->admitted_count <
           target->entry.slots;
}

bool
SkyBurst_TryAdmit(sky_placement_request_t *request)
{
    uint64_t now = SkyClock_NowMs();
    request->resident_since_ms =
        request->resident_since_ms ? request->resident_since_ms : now;
    if (!request->is_extra_replica && !request->is_under_way &&
        !has_free_batch_slot(request->waiting_at) &&
        request->resident_since_ms + SLOT_WAIT_MAX_MS > now) {
        return false;
    }
    request->waiting_at->admitted_count++;
    return true;
}

void
SkyBurst_ApplyReplica(sky_placement_t *placement,
                      const sky_placement_result_t *replica)
{
    const sky_fleet_target_t *target =
        SkyPlacement_ApplyResult(placement, replica);
    if (target == NULL) {
        return;
    }
    uint32_t unassigned_slots = target->entry.slots;
    sky_placement_request_t *request;
    DL_FOREACH(placement->requests, request)
    {
        if (unassigned_slots > 0 &&
            is_waiting_for(request, replica->adapter) &&
            request->min_version <= replica->version) {
            snprintf(request->replica_target_id,
                     sizeof request->replica_target_id, "%s",
                     replica->target_id);
            request->replica_version = replica->version;
            /* Completed from the event loop, as the caller may be iterating
             * over the requests. */
            ev_feed_event(placement->options.loop, &request->timer, EV_TIMER);
            unassigned_slots--;
        }
    }
}
