#include "decide/freshness.h"

/** Entries that lapsed while the store was unreachable are back this soon. */
#define LAPSED_ENTRY_GRACE_MS 2300
/** The store counts as unreachable after this time without a read: several
 *  read intervals. */
#define STORE_UNREACHABLE_AFTER_MS 1500
/** Relayed records that were read longer ago are stale, and this host reads
 * the store itself. The limit is half of the shortest time limit for updates
 * (2 s) and more than a read (0.4 s), a relay (0.45 s) and their network
 * delays take together. */
#define STALE_AFTER_MS 1100

void
SkyFreshness_RecordRead(sky_freshness_t *freshness, uint64_t read_ms,
                        uint64_t now_ms)
{
    if (freshness->read_ms >= read_ms) {
        return;
    }
    if (freshness->read_ms > 0 &&
        read_ms > freshness->read_ms + STORE_UNREACHABLE_AFTER_MS) {
        freshness->store_regained_ms = now_ms;
    }
    freshness->read_ms = read_ms;
}

void
SkyFreshness_RecordLoss(sky_freshness_t *freshness, uint64_t now_ms)
{
    freshness->store_regained_ms = now_ms;
}

bool
SkyFreshness_IsStale(const sky_freshness_t *freshness, uint64_t now_ms)
{
    return now_ms > freshness->read_ms + STALE_AFTER_MS;
}

uint64_t
SkyFreshness_GetRemovalMs(const sky_freshness_t *freshness, uint64_t now_ms)
{
    if (now_ms > freshness->read_ms + STORE_UNREACHABLE_AFTER_MS) {
        return now_ms + LAPSED_ENTRY_GRACE_MS;
    }
    uint64_t grace_end_ms =
        freshness->store_regained_ms + LAPSED_ENTRY_GRACE_MS;
    return freshness->store_regained_ms > 0 && grace_end_ms > now_ms
               ? grace_end_ms
               : now_ms;
}
