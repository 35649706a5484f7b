#include "decide/openings.h"

#include <stdlib.h>

#define US_PER_MS 1000
/** Events are listed this long before their prewarm begins. */
#define LIST_AHEAD_MS 60000

typedef struct {
    const sky_entry_t *entry;
    uint32_t shard;
    uint64_t now_us;
    uint64_t wall_ms;
    sky_preload_t *list;
    uint32_t count;
    uint32_t capacity;
} collector_t;

static uint64_t
to_monotonic_us(const collector_t *collector, uint64_t at_ms)
{
    int64_t offset_ms = (int64_t)at_ms - (int64_t)collector->wall_ms;
    int64_t at_us = (int64_t)collector->now_us + offset_ms * US_PER_MS;
    return at_us > 0 ? (uint64_t)at_us : 0;
}

static void
append_preload(collector_t *collector, const sky_preload_t *preload)
{
    if (collector->count == collector->capacity) {
        uint32_t capacity = collector->capacity ? 2 * collector->capacity : 64;
        sky_preload_t *list =
            realloc(collector->list, capacity * sizeof *list);
        if (list == NULL) {
            return;
        }
        collector->list = list;
        collector->capacity = capacity;
    }
    collector->list[collector->count++] = *preload;
}

static void
collect_preloads(const sky_resolved_workspace_t *resolved, void *context)
{
    collector_t *collector = context;
    const sky_event_settings_t *event = &resolved->event;
    if (event->opens_at_ms == 0 || event->prewarm_ms == 0 ||
        collector->wall_ms + event->prewarm_ms + LIST_AHEAD_MS <
            event->opens_at_ms ||
        collector->wall_ms > event->opens_at_ms + event->hold_ms) {
        return;
    }
    uint32_t pool = (uint32_t)SkyName_Hash(event->pool);
    for (uint32_t i = 0; i < resolved->workspace->adapter_count; i++) {
        const sky_adapter_t *adapter = &resolved->workspace->adapters[i];
        if (SkyEntry_ChooseShard(collector->entry, adapter->id, pool) !=
            collector->shard) {
            continue;
        }
        sky_preload_t preload = {.adapter = adapter->id, .pool = pool};
        preload.weight = adapter->weight;
        preload.from_us =
            to_monotonic_us(collector, event->opens_at_ms - event->prewarm_ms);
        preload.until_us =
            to_monotonic_us(collector, event->opens_at_ms + event->hold_ms);
        append_preload(collector, &preload);
    }
}

sky_preload_t *
SkyOpenings_ListAdapters(const sky_config_t *config, const sky_entry_t *entry,
                         uint32_t shard, uint64_t now_us, uint64_t wall_ms,
                         uint32_t *count)
{
    collector_t collector = {entry, shard, now_us, wall_ms, NULL, 0, 0};
    SkyConfig_ForEachWorkspace(config, collect_preloads, &collector);
    *count = collector.count;
    return collector.list;
}
