#include "decide/stray_loads.h"

#include <stdlib.h>
#include <uthash.h>

/** By then an order was carried out, or never will be. */
#define STRAY_LOAD_MAX_MS 15000

struct sky_stray_load {
    uint64_t order_count;
    uint64_t until_ms;
    UT_hash_handle hh;
};

void
SkyStrayLoads_Clear(sky_stray_loads_t *strays)
{
    sky_stray_load_t *stray;
    sky_stray_load_t *next;
    HASH_ITER(hh, strays->by_count, stray, next)
    {
        HASH_DEL(strays->by_count, stray);
        free(stray);
    }
}

static sky_stray_load_t *
find_stray(const sky_stray_loads_t *strays, uint64_t order_count)
{
    sky_stray_load_t *stray;
    HASH_FIND(hh, strays->by_count, &order_count, sizeof order_count, stray);
    return stray;
}

static void
record_until(sky_stray_loads_t *strays, uint64_t order_count,
             uint64_t until_ms)
{
    sky_stray_load_t *stray = find_stray(strays, order_count);
    if (stray == NULL) {
        stray = calloc(1, sizeof *stray);
        if (stray == NULL) {
            return;
        }
        stray->order_count = order_count;
        HASH_ADD(hh, strays->by_count, order_count, sizeof stray->order_count,
                 stray);
    }
    if (stray->until_ms < until_ms) {
        stray->until_ms = until_ms;
    }
}

bool
SkyStrayLoads_RemoveExpired(sky_stray_loads_t *strays, uint64_t now_ms)
{
    sky_stray_load_t *stray;
    sky_stray_load_t *next;
    HASH_ITER(hh, strays->by_count, stray, next)
    {
        if (stray->until_ms <= now_ms) {
            HASH_DEL(strays->by_count, stray);
            free(stray);
        }
    }
    return strays->by_count != NULL;
}

void
SkyStrayLoads_Record(sky_stray_loads_t *strays, uint64_t order_count,
                     uint64_t now_ms)
{
    SkyStrayLoads_RemoveExpired(strays, now_ms);
    record_until(strays, order_count, now_ms + STRAY_LOAD_MAX_MS);
}

void
SkyStrayLoads_Merge(sky_stray_loads_t *strays, sky_stray_loads_t *from)
{
    const sky_stray_load_t *stray;
    for (stray = from->by_count; stray != NULL; stray = stray->hh.next) {
        record_until(strays, stray->order_count, stray->until_ms);
    }
    SkyStrayLoads_Clear(from);
}

uint32_t
SkyStrayLoads_CountFrom(const sky_stray_loads_t *strays, uint64_t order_count,
                        uint64_t now_ms)
{
    uint32_t count = 0;
    const sky_stray_load_t *stray = find_stray(strays, order_count);
    while (stray != NULL && stray->until_ms > now_ms) {
        count++;
        stray = find_stray(strays, order_count + count);
    }
    return count;
}
