#include "decide/target_limit.h"

#include <math.h>

/** Permits that may be saved up, as time at the limit: lets short bursts use
 *  what was left before. */
#define BURST_S 0.5
#define MS_PER_S 1000.0
#define WAIT_MAX_MS 60000.0

bool
SkyTargetLimit_Observe(sky_target_limit_t *limit, double per_s,
                       uint64_t observed_ms)
{
    if (observed_ms < limit->observed_ms) {
        return false;
    }
    bool is_new = limit->per_s == 0.0;
    bool has_changed = limit->per_s != per_s;
    limit->observed_ms = observed_ms;
    limit->per_s = per_s;
    if (is_new) {
        SkyTargetLimit_Reset(limit, 0.0, observed_ms);
    }
    return has_changed;
}

void
SkyTargetLimit_Reset(sky_target_limit_t *limit, double permits,
                     uint64_t now_ms)
{
    limit->permits = permits;
    limit->refilled_ms = now_ms;
}

bool
SkyTargetLimit_Acquire(sky_target_limit_t *limit, double fraction,
                       uint64_t now_ms, uint32_t *wait_ms)
{
    double per_s = limit->per_s * fraction;
    double capacity = fmax(1.0, per_s * BURST_S);
    if (now_ms > limit->refilled_ms) {
        double elapsed_s = (double)(now_ms - limit->refilled_ms) / MS_PER_S;
        limit->permits += per_s * elapsed_s;
        limit->refilled_ms = now_ms;
    }
    limit->permits = fmin(capacity, limit->permits);
    if (limit->permits >= 1.0) {
        limit->permits -= 1.0;
        return true;
    }
    double missing_ms = (1.0 - limit->permits) / per_s * MS_PER_S;
    *wait_ms = (uint32_t)ceil(fmin(missing_ms, WAIT_MAX_MS));
    return false;
}
