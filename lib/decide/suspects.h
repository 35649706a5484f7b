/**
 * @file suspects.h
 * @brief Requests that crash targets: counting, isolation and quarantine.
 *
 * Requests are identified by fingerprint. A fingerprint that was running on a
 * target when the target crashed is a suspect. It is quarantined once it is
 * suspected of SKY_CRASH_LIMIT crashes; a crash is identified by the target
 * and its epoch.
 */
#ifndef SKY_DECIDE_SUSPECTS_H
#define SKY_DECIDE_SUSPECTS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Number of crashes after which a fingerprint is quarantined. */
#define SKY_CRASH_LIMIT 2
/** Crashes that are kept of one fingerprint; further ones are not counted. */
#define SKY_SUSPECT_CRASHES_MAX 4

typedef struct sky_suspects sky_suspects_t;

/** @param retention_us time after which an unchanged fingerprint is removed.
 */
sky_suspects_t *SkySuspects_Create(uint64_t retention_us);
void SkySuspects_Free(sky_suspects_t *suspects);

/** Called for each unconfirmed crash that is now confirmed. */
typedef void (*sky_crash_callback_t)(const sky_rec_crash_t *crash,
                                     void *context);

/** Counts a crash. @return true if it was not counted before and an entry was
 *  free. */
bool SkySuspects_RecordCrash(sky_suspects_t *suspects,
                             const sky_rec_crash_t *crash, uint64_t now_us);

/**
 * Records a broken exchange. Its fingerprint must not run until it is known
 * whether the target crashed. Does nothing if that crash is recorded already.
 */
void SkySuspects_RecordUnconfirmedCrash(sky_suspects_t *suspects,
                                        const sky_rec_crash_t *crash,
                                        uint64_t now_us);

/**
 * Applies a report that @p target made at @p report_made_us in @p epoch.
 * Another epoch shows that the target restarted: @p on_crash is called for
 * each unconfirmed crash whose epoch differs. An unconfirmed crash of the same
 * epoch that is older than the report is dropped, as the target did not
 * restart.
 */
void SkySuspects_ApplyReport(sky_suspects_t *suspects, uint32_t target,
                             uint64_t epoch, uint64_t report_made_us,
                             sky_crash_callback_t on_crash, void *context);

/** Calls @p on_crash for each unconfirmed crash of a target that no longer
 *  responds. */
void SkySuspects_ConfirmCrashes(sky_suspects_t *suspects, uint32_t target,
                                sky_crash_callback_t on_crash, void *context);

/** Removes an unconfirmed crash: the target did not crash. */
void SkySuspects_DropUnconfirmedCrash(sky_suspects_t *suspects,
                                      const sky_rec_crash_t *crash);

/** Removes a crash, confirmed or not. */
void SkySuspects_DropCrash(sky_suspects_t *suspects,
                           const sky_rec_crash_t *crash);

/**
 * Counts an answer to a request of the fingerprint that was sent at
 * @p sent_us, for each crash that was recorded before. @p on_acquitted is
 * called for those with @p answers_needed answers; it may drop the crash.
 */
void SkySuspects_RecordAnswer(sky_suspects_t *suspects, uint64_t fingerprint,
                              uint64_t sent_us, uint32_t answers_needed,
                              sky_crash_callback_t on_acquitted,
                              void *context);

/** Removes what was recorded of a target in one epoch, confirmed or not. */
void SkySuspects_DropRun(sky_suspects_t *suspects, uint32_t target,
                         uint64_t epoch);

/** Called for each crash that is counted. */
typedef void (*sky_suspects_visitor_t)(const sky_rec_crash_t *crash,
                                       bool is_confirmed, void *context);
void SkySuspects_ForEach(const sky_suspects_t *suspects,
                         sky_suspects_visitor_t visit, void *context);

/** @return whether this crash is counted and confirmed. */
bool SkySuspects_IsCrash(const sky_suspects_t *suspects,
                         const sky_rec_crash_t *crash);
/** @return confirmed and unconfirmed crashes of a fingerprint. */
uint32_t SkySuspects_SuspicionCount(const sky_suspects_t *suspects,
                                    uint64_t fingerprint);
/** @return confirmed crashes of a fingerprint. */
uint32_t SkySuspects_CrashCount(const sky_suspects_t *suspects,
                                uint64_t fingerprint);
/** Lists when the crashes of a fingerprint were recorded, confirmed or not.
 *  @return their number */
uint32_t SkySuspects_ListTimes(const sky_suspects_t *suspects,
                               uint64_t fingerprint,
                               uint64_t times_us[SKY_SUSPECT_CRASHES_MAX]);
/** @return true while it is not known whether the fingerprint crashed a
 *          target. */
bool SkySuspects_HasUnconfirmedCrash(const sky_suspects_t *suspects,
                                     uint64_t fingerprint);
/** @return true if requests of the fingerprint are refused. */
bool SkySuspects_IsQuarantined(const sky_suspects_t *suspects,
                               uint64_t fingerprint);
/** @return time at which the quarantine of a fingerprint ends, 0 if it is not
 *          quarantined. */
uint64_t SkySuspects_QuarantineEnd(const sky_suspects_t *suspects,
                                   uint64_t fingerprint);
/** Removes fingerprints that did not change within the retention time. */
void SkySuspects_Expire(sky_suspects_t *suspects, uint64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
