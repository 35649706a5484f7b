#include "decide/freshness.h"

/** Entries that lapsed while the store was unreachable are back this soon. */
#define LAPSED_ENTRY_GRACE_MS 2300
/** Entries lapse only in an outage that is longer than this. */
#define OUTAGE_MIN_MS 1500
/** The store is unreachable if it owes a response for so long: a slow one
 *  responds within 250 ms. */
#define UNANSWERED_MAX_MS 300
/** Longest interval between two checks that counts: in the rest of it this
 *  host did not run, and the response may have arrived meanwhile. */
#define CHECK_INTERVAL_MAX_MS 150
/** Relayed records that were read longer ago are stale, and this host reads
 * the store itself. The limit is half of the shortest time limit for updates
 * (2 s) and more than a read (0.4 s), a relay (0.45 s) and their network
 * delays take together. */
#define STALE_AFTER_MS 1100

void
SkyFreshness_RecordCall(sky_freshness_t *freshness, uint64_t due_ms)
{
    if (freshness->asked_ms == 0) {
        freshness->asked_ms = due_ms;
        freshness->checked_ms = due_ms;
    }
}

void
SkyFreshness_RecordResponse(sky_freshness_t *freshness)
{
    freshness->asked_ms = 0;
    freshness->unanswered_ms = 0;
}

static bool
is_gap(const sky_freshness_t *freshness, uint64_t read_ms)
{
    return freshness->read_ms > 0 &&
           read_ms > freshness->read_ms + OUTAGE_MIN_MS;
}

void
SkyFreshness_RecordRead(sky_freshness_t *freshness, uint64_t read_ms,
                        uint64_t now_ms)
{
    if (is_gap(freshness, read_ms) &&
        SkyFreshness_IsStoreUnreachable(freshness)) {
        freshness->store_regained_ms = now_ms;
    }
    if (freshness->read_ms < read_ms) {
        freshness->read_ms = read_ms;
    }
    SkyFreshness_RecordResponse(freshness);
}

void
SkyFreshness_RecordPeerRead(sky_freshness_t *freshness,
                            const sky_peer_read_t *read, uint64_t now_ms)
{
    if (freshness->read_ms >= read->read_ms) {
        return;
    }
    if (is_gap(freshness, read->read_ms)) {
        /* A peer that does not say it may have met an outage. */
        bool peer_met_outage = !read->tells_regained ||
                               read->store_regained_ms > freshness->read_ms;
        if (peer_met_outage || SkyFreshness_IsStoreUnreachable(freshness)) {
            freshness->store_regained_ms = now_ms;
        }
    }
    freshness->read_ms = read->read_ms;
    SkyFreshness_RecordResponse(freshness);
}

void
SkyFreshness_RecordLoss(sky_freshness_t *freshness, uint64_t now_ms)
{
    freshness->store_regained_ms = now_ms;
}

void
SkyFreshness_CheckStore(sky_freshness_t *freshness, uint64_t now_ms)
{
    if (freshness->asked_ms == 0 || now_ms <= freshness->checked_ms) {
        return;
    }
    uint64_t interval_ms = now_ms - freshness->checked_ms;
    freshness->unanswered_ms += (uint32_t)(interval_ms < CHECK_INTERVAL_MAX_MS
                                               ? interval_ms
                                               : CHECK_INTERVAL_MAX_MS);
    freshness->checked_ms = now_ms;
}

bool
SkyFreshness_IsStoreUnreachable(const sky_freshness_t *freshness)
{
    return freshness->unanswered_ms >= UNANSWERED_MAX_MS;
}

bool
SkyFreshness_IsStale(const sky_freshness_t *freshness, uint64_t now_ms)
{
    return now_ms > freshness->read_ms + STALE_AFTER_MS;
}

bool
SkyFreshness_IsUsable(const sky_freshness_t *freshness, uint32_t max_age_ms,
                      uint64_t now_ms)
{
    return freshness->read_ms == 0 ||
           now_ms <= freshness->read_ms + max_age_ms ||
           SkyFreshness_IsStoreUnreachable(freshness);
}

uint64_t
SkyFreshness_GetRemovalMs(const sky_freshness_t *freshness, uint64_t now_ms)
{
    if (SkyFreshness_IsStoreUnreachable(freshness) &&
        now_ms > freshness->read_ms + OUTAGE_MIN_MS) {
        return now_ms + LAPSED_ENTRY_GRACE_MS;
    }
    uint64_t grace_end_ms =
        freshness->store_regained_ms + LAPSED_ENTRY_GRACE_MS;
    return freshness->store_regained_ms > 0 && grace_end_ms > now_ms
               ? grace_end_ms
               : now_ms;
}

void
SkyFreshness_RecordProof(sky_freshness_t *freshness, uint64_t boot_ms)
{
    if (freshness->proven_boot_ms < boot_ms) {
        freshness->proven_boot_ms = boot_ms;
    }
}

bool
SkyFreshness_IsProven(const sky_freshness_t *freshness, uint32_t max_age_ms,
                      uint64_t boot_now_ms)
{
    return freshness->proven_boot_ms > 0 &&
           boot_now_ms < freshness->proven_boot_ms + max_age_ms;
}
