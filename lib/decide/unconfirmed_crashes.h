/**
 * @file unconfirmed_crashes.h
 * @brief Unconfirmed crashes whose record has not been read back from the log.
 *
 * An exchange with a target broke, and it is not known yet whether the target
 * crashed. The host that saw the exchange break appends a
 * SKY_REC_CRASH_SUSPECTED record, so that this is not lost when the host or
 * the shard's owner fails. The record is appended again until it is read back.
 * While the log is unavailable, the other members are notified and append the
 * record too.
 */
#ifndef SKY_DECIDE_UNCONFIRMED_CRASHES_H
#define SKY_DECIDE_UNCONFIRMED_CRASHES_H

#include "decide/members.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_unconfirmed_crashes sky_unconfirmed_crashes_t;

/** @param members gives the age of the log and the hosts to notify. */
sky_unconfirmed_crashes_t *
SkyUnconfirmedCrashes_Create(sky_members_t *members);
void SkyUnconfirmedCrashes_Free(sky_unconfirmed_crashes_t *crashes);

/** Records an exchange of this host that broke, and appends its record. */
void SkyUnconfirmedCrashes_Record(sky_unconfirmed_crashes_t *crashes,
                                  const sky_rec_crash_t *crash,
                                  uint64_t now_us, sky_actions_t *out);
/** Adds an unconfirmed crash that a peer reported. */
void SkyUnconfirmedCrashes_ApplyPeer(sky_unconfirmed_crashes_t *crashes,
                                     const sky_rec_crash_t *crash,
                                     uint64_t now_us);
/** Removes a crash that a record read from the log suspects or confirms. */
void SkyUnconfirmedCrashes_ApplyRecord(sky_unconfirmed_crashes_t *crashes,
                                       const sky_rec_crash_t *crash);
void SkyUnconfirmedCrashes_Tick(sky_unconfirmed_crashes_t *crashes,
                                uint64_t now_us, sky_actions_t *out);

#ifdef __cplusplus
}
#endif
#endif
