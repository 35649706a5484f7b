#include "decide/stop_admission.h"

#include <stdlib.h>
#include <uthash.h>

#include "core/time_left.h"

/** A response may take longer than all recent ones of its route by this
 *  factor: the hosts that stay get the load of the one that stops. */
#define GROWTH_MAX 1.25

/** The longest responses of a route in the current window and the one before.
 */
typedef struct {
    uint64_t route;
    uint64_t window; /**< number of the current window */
    uint64_t longest_ms;
    uint64_t longest_before_ms;
    uint64_t first_ms; /**< arrival of the first request with a response */
    UT_hash_handle hh;
} route_times_t;

struct sky_stop_admission {
    sky_stop_admission_options_t options;
    route_times_t *routes; /**< in the order of their first responses */
};

sky_result_t
SkyStopAdmission_Create(const sky_stop_admission_options_t *options,
                        sky_stop_admission_t **admission)
{
    sky_stop_admission_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    *admission = self;
    return SKY_OK;
}

void
SkyStopAdmission_Free(sky_stop_admission_t *admission)
{
    if (admission == NULL) {
        return;
    }
    route_times_t *times;
    route_times_t *next;
    HASH_ITER(hh, admission->routes, times, next)
    {
        HASH_DEL(admission->routes, times);
        free(times);
    }
    free(admission);
}

static route_times_t *
find_times(const sky_stop_admission_t *admission, uint64_t route)
{
    route_times_t *times;
    HASH_FIND(hh, admission->routes, &route, sizeof route, times);
    return times;
}

/* Removes routes that have had no response for so long that none counts. */
static void
remove_unused(sky_stop_admission_t *admission, uint64_t window)
{
    route_times_t *times;
    route_times_t *next;
    HASH_ITER(hh, admission->routes, times, next)
    {
        if (times->window + 1 < window) {
            HASH_DEL(admission->routes, times);
            free(times);
        }
    }
}

static route_times_t *
find_or_add_times(sky_stop_admission_t *admission, uint64_t route,
                  uint64_t first_ms, uint64_t window)
{
    route_times_t *times = find_times(admission, route);
    if (times != NULL) {
        return times;
    }
    if (HASH_COUNT(admission->routes) >= admission->options.routes_max) {
        remove_unused(admission, window);
    }
    if (HASH_COUNT(admission->routes) >= admission->options.routes_max) {
        return NULL;
    }
    times = calloc(1, sizeof *times);
    if (times != NULL) {
        times->route = route;
        times->first_ms = first_ms;
        times->window = window;
        HASH_ADD(hh, admission->routes, route, sizeof times->route, times);
    }
    return times;
}

void
SkyStopAdmission_RecordResponse(sky_stop_admission_t *admission,
                                uint64_t route, uint64_t duration_ms,
                                uint64_t now_ms)
{
    uint64_t window = now_ms / admission->options.window_ms;
    route_times_t *times =
        find_or_add_times(admission, route, now_ms - duration_ms, window);
    if (times == NULL) {
        return; /* the route's deadline counts */
    }
    if (times->window != window) {
        times->longest_before_ms =
            times->window + 1 == window ? times->longest_ms : 0;
        times->longest_ms = 0;
        times->window = window;
    }
    if (duration_ms > times->longest_ms) {
        times->longest_ms = duration_ms;
    }
}

/* Returns the longest recent response of the route; 0: there was none, or the
 * route has been in use for so short that longer ones may be under way. */
static uint64_t
get_longest_ms(const sky_stop_admission_t *admission, uint64_t route,
               uint64_t limit_ms, uint64_t now_ms)
{
    const route_times_t *times = find_times(admission, route);
    uint64_t window = now_ms / admission->options.window_ms;
    if (times == NULL || times->window + 1 < window ||
        now_ms < times->first_ms + limit_ms) {
        return 0;
    }
    return times->window == window &&
                   times->longest_before_ms > times->longest_ms
               ? times->longest_before_ms
               : times->longest_ms;
}

/* Whether recent responses of the route say enough of the request's end. */
static bool
is_guess_allowed(const sky_stop_times_t *times,
                 const sky_stop_request_t *request, uint64_t now_ms)
{
    switch (request->kind) {
    case SKY_STOP_KIND_REPEATABLE:
        return true;
    case SKY_STOP_KIND_RESUMABLE:
        return now_ms < times->balanced_until_ms;
    case SKY_STOP_KIND_ONCE:
        break;
    }
    return false;
}

bool
SkyStopAdmission_EndsInTime(const sky_stop_admission_t *admission,
                            const sky_stop_times_t *times,
                            const sky_stop_request_t *request, uint64_t now_ms)
{
    if (request->ends_at_ms <= times->exits_at_ms) {
        return true;
    }
    if (!is_guess_allowed(times, request, now_ms)) {
        return false;
    }
    uint64_t left_ms = SkyTime_LeftMs(times->exits_at_ms, now_ms);
    uint64_t longest_ms =
        get_longest_ms(admission, request->route, request->limit_ms, now_ms);
    return longest_ms > 0 &&
           (double)longest_ms * GROWTH_MAX <= (double)left_ms;
}
