/**
 * @file suspects.h
 * @brief Requests that crash targets: counting, isolation and quarantine.
 *
 * Requests are told apart by fingerprint. A fingerprint that was running on a
 * target when it crashed is a suspect; a suspect of two crashes, each a target
 * and its epoch, is quarantined.
 */
#ifndef SKY_DECIDE_SUSPECTS_H
#define SKY_DECIDE_SUSPECTS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Crashes after which a fingerprint is refused. */
#define SKY_CRASH_LIMIT 2

typedef struct sky_suspects sky_suspects_t;

sky_suspects_t *SkySuspects_Create(uint64_t keep_us);
void SkySuspects_Free(sky_suspects_t *suspects);

/** Called for each fingerprint whose target turns out to have crashed. */
typedef void (*sky_crash_visit_t)(const sky_rec_crash_t *crash, void *context);

/** Counts a crash. @return true if it was not counted before. */
bool SkySuspects_Crash(sky_suspects_t *suspects, const sky_rec_crash_t *crash,
                       uint64_t now_us);

/**
 * Holds a fingerprint back until it is known whether its target crashed. Does
 * nothing if that crash is held or counted already.
 */
void SkySuspects_Hold(sky_suspects_t *suspects, const sky_rec_crash_t *crash,
                      uint64_t now_us);

/** A report of @p target, made at @p made_us in @p epoch, is in. Calls
 *  @p crashed for each held fingerprint whose target has restarted. */
void SkySuspects_Resolve(sky_suspects_t *suspects, uint32_t target,
                         uint64_t epoch, uint64_t made_us,
                         sky_crash_visit_t crashed, void *context);

/** Counts a held crash of a target that no longer answers. */
void SkySuspects_TargetDown(sky_suspects_t *suspects, uint32_t target,
                            sky_crash_visit_t crashed, void *context);

/** @return crashes counted. */
uint32_t SkySuspects_Count(const sky_suspects_t *suspects,
                           uint64_t fingerprint);
/** @return true while it is not known whether a target crashed. */
bool SkySuspects_IsHeld(const sky_suspects_t *suspects, uint64_t fingerprint);
/** @return true if requests of the fingerprint are refused. */
bool SkySuspects_IsQuarantined(const sky_suspects_t *suspects,
                               uint64_t fingerprint);
/** Forgets what is older than the time to keep. */
void SkySuspects_Expire(sky_suspects_t *suspects, uint64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
