#include "decide/reported_loads.h"

#include <stdlib.h>

#define CAPACITY_MIN 16

static bool
is_expired(const sky_reported_load_t *load, uint64_t now_ms)
{
    return load->received_ms + SKY_REPORTED_LOAD_TTL_MS <= now_ms;
}

/* Returns the entry of a host, else one that has expired, else NULL. */
static sky_reported_load_t *
find_entry(sky_reported_loads_t *reported, uint64_t host, uint64_t now_ms)
{
    sky_reported_load_t *expired = NULL;
    for (uint32_t i = 0; i < reported->count; i++) {
        sky_reported_load_t *load = &reported->loads[i];
        if (load->host == host) {
            return load;
        }
        if (expired == NULL && is_expired(load, now_ms)) {
            expired = load;
        }
    }
    return expired;
}

static bool
reserve_entry(sky_reported_loads_t *reported)
{
    if (reported->count < reported->capacity) {
        return true;
    }
    uint32_t capacity =
        reported->capacity > 0 ? 2 * reported->capacity : CAPACITY_MIN;
    sky_reported_load_t *grown =
        realloc(reported->loads, capacity * sizeof *grown);
    if (grown == NULL) {
        return false;
    }
    reported->loads = grown;
    reported->capacity = capacity;
    return true;
}

void
SkyReportedLoads_Clear(sky_reported_loads_t *reported)
{
    free(reported->loads);
    *reported = (sky_reported_loads_t){0};
}

bool
SkyReportedLoads_Record(sky_reported_loads_t *reported, uint64_t host,
                        uint32_t in_flight, uint64_t now_ms)
{
    sky_reported_load_t *load = find_entry(reported, host, now_ms);
    if (load == NULL) {
        if (!reserve_entry(reported)) {
            return false;
        }
        load = &reported->loads[reported->count++];
    }
    *load = (sky_reported_load_t){host, in_flight, now_ms};
    return true;
}

uint32_t
SkyReportedLoads_Sum(const sky_reported_loads_t *reported,
                     uint64_t excluded_host, uint64_t now_ms)
{
    uint32_t sum = 0;
    for (uint32_t i = 0; i < reported->count; i++) {
        const sky_reported_load_t *load = &reported->loads[i];
        if (load->host != excluded_host && !is_expired(load, now_ms)) {
            sum += load->in_flight;
        }
    }
    return sum;
}
