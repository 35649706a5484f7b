/**
 * @file freshness.h
 * @brief Age of the records of a topic that a host knows, and when a missing
 *        entry means that its target left.
 *
 * A host acts on records up to a stated age. Older ones it uses only while it
 * knows that the store does not respond: then nobody has newer ones. Hosts
 * that were late themselves, or whose sources were, know no such thing.
 *
 * Entries of targets lapse while the store is unreachable and come back soon
 * after it. An entry that goes missing while the store responds belongs to a
 * target that left. Times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_FRESHNESS_H
#define SKY_DECIDE_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised: nothing was read yet. */
typedef struct {
    /** The records are those of the store at this time, or newer. */
    uint64_t read_ms;
    uint64_t store_regained_ms; /**< end of the last time that the store was
                                     unreachable; 0: never */
    uint64_t asked_ms;   /**< the store owes this host a response since; 0: it
                              owes none */
    uint64_t checked_ms; /**< last SkyFreshness_CheckStore() */
    /** Time that the store owes a response, as far as this host ran. */
    uint32_t unanswered_ms;
    /** The records are proved to have been the newest at this time of the
     *  clock that also runs while the machine is suspended; 0: never. */
    uint64_t proven_boot_ms;
} sky_freshness_t;

/** What a peer says of its records. */
typedef struct {
    uint64_t read_ms; /**< as in sky_freshness_t */
    /** As in sky_freshness_t; meaningful only if @p tells_regained. */
    uint64_t store_regained_ms;
    bool tells_regained; /**< false: a build that does not say it */
} sky_peer_read_t;

/** Records that this host asked the store, which is to respond at @p due_ms.
 *  Nothing changes if it still owes the response to an earlier call. */
void SkyFreshness_RecordCall(sky_freshness_t *freshness, uint64_t due_ms);
/** Records that the store responded, though not with all newer records. */
void SkyFreshness_RecordResponse(sky_freshness_t *freshness);
/** Records that the store was read by this host. */
void SkyFreshness_RecordRead(sky_freshness_t *freshness, uint64_t read_ms,
                             uint64_t now_ms);
/** Records that a peer passed on what was read by it or another host. */
void SkyFreshness_RecordPeerRead(sky_freshness_t *freshness,
                                 const sky_peer_read_t *read, uint64_t now_ms);
/** Records that the store has lost its newest records: their sources write
 *  them again as after an outage. */
void SkyFreshness_RecordLoss(sky_freshness_t *freshness, uint64_t now_ms);
/** Counts the time that passed while the store owed a response. To be called
 *  several times a second, so that the time in which this host did not run
 *  can be told from it. */
void SkyFreshness_CheckStore(sky_freshness_t *freshness, uint64_t now_ms);

/** Records that all records were known that the store had at @p boot_ms, or
 *  at some time after it.
 *  @param boot_ms of the clock that also runs while the machine is suspended,
 *         from before the store was asked */
void SkyFreshness_RecordProof(sky_freshness_t *freshness, uint64_t boot_ms);
/** Fault: a host is suspended, or neither reaches the store nor other hosts.
 *  @return whether the records were the newest less than @p max_age_ms ago. */
bool SkyFreshness_IsProven(const sky_freshness_t *freshness,
                           uint32_t max_age_ms, uint64_t boot_now_ms);

/** @return whether the store does not respond to this host. */
bool SkyFreshness_IsStoreUnreachable(const sky_freshness_t *freshness);
/** @return whether relayed records are too old to rely on. */
bool SkyFreshness_IsStale(const sky_freshness_t *freshness, uint64_t now_ms);
/** @return whether the records may be acted on: they are no older than
 *          @p max_age_ms, or the store is unreachable. */
bool SkyFreshness_IsUsable(const sky_freshness_t *freshness,
                           uint32_t max_age_ms, uint64_t now_ms);
/** @return the time at which a target whose entry is missing now is to be
 *          removed, unless its entry comes back before. */
uint64_t SkyFreshness_GetRemovalMs(const sky_freshness_t *freshness,
                                   uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
