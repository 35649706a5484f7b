#include "decide/openings.h"

#include <stdlib.h>

#define US_PER_MS 1000
#define WANTED_AHEAD_MS 60000 /* events this much before their prewarm */

typedef struct {
    const sky_entry_t *entry;
    uint32_t shard;
    uint64_t now_us;
    uint64_t wall_ms;
    sky_wanted_t *list;
    uint32_t count;
    uint32_t capacity;
} gather_t;

static uint64_t
to_monotonic_us(const gather_t *gather, uint64_t at_ms)
{
    int64_t ahead_ms = (int64_t)at_ms - (int64_t)gather->wall_ms;
    int64_t at_us = (int64_t)gather->now_us + ahead_ms * US_PER_MS;
    return at_us > 0 ? (uint64_t)at_us : 0;
}

static void
push_wanted(gather_t *gather, const sky_wanted_t *wanted)
{
    if (gather->count == gather->capacity) {
        uint32_t capacity = gather->capacity ? 2 * gather->capacity : 64;
        sky_wanted_t *list = realloc(gather->list, capacity * sizeof *list);
        if (list == NULL) {
            return;
        }
        gather->list = list;
        gather->capacity = capacity;
    }
    gather->list[gather->count++] = *wanted;
}

static void
gather_opening(const sky_opening_t *opening, void *context)
{
    gather_t *gather = context;
    const sky_event_t *event = &opening->event;
    if (event->opens_at_ms == 0 || event->prewarm_ms == 0 ||
        gather->wall_ms + event->prewarm_ms + WANTED_AHEAD_MS <
            event->opens_at_ms ||
        gather->wall_ms > event->opens_at_ms + event->hold_ms) {
        return;
    }
    uint32_t pool = (uint32_t)SkyName_Hash(event->pool);
    for (uint32_t i = 0; i < opening->workspace->adapter_count; i++) {
        const sky_adapter_t *adapter = &opening->workspace->adapters[i];
        if (SkyEntry_ShardOf(gather->entry, adapter->id, pool) !=
            gather->shard) {
            continue;
        }
        sky_wanted_t wanted = {.adapter = adapter->id, .pool = pool};
        wanted.weight = adapter->weight;
        wanted.from_us =
            to_monotonic_us(gather, event->opens_at_ms - event->prewarm_ms);
        wanted.until_us =
            to_monotonic_us(gather, event->opens_at_ms + event->hold_ms);
        push_wanted(gather, &wanted);
    }
}

sky_wanted_t *
SkyOpenings_Gather(const sky_config_t *config, const sky_entry_t *entry,
                   uint32_t shard, uint64_t now_us, uint64_t wall_ms,
                   uint32_t *count)
{
    gather_t gather = {entry, shard, now_us, wall_ms, NULL, 0, 0};
    SkyConfig_ForEachOpening(config, gather_opening, &gather);
    *count = gather.count;
    return gather.list;
}
