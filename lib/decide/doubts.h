/**
 * @file unconfirmed_crashes.h
 * @brief Unconfirmed crashes whose record has not been read back from the log.
 *
 * An exchange with a target broke, and it is not known yet whether the target
 * crashed. The host that saw the exchange break appends a SUSPECT record, so
 * that this is not lost when the host or the shard's owner fails. The record
 * is appended again until it is read back. While the log is unavailable, the
 * other members are notified and append the record too.
 */
#ifndef SKY_DECIDE_DOUBTS_H
#define SKY_DECIDE_DOUBTS_H

#include "decide/members.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_doubts sky_doubts_t;

/** @param members gives the age of the log and the hosts to notify. */
sky_doubts_t *SkyDoubts_Create(sky_members_t *members);
void SkyDoubts_Free(sky_doubts_t *crashes);

/** Records an exchange of this host that broke, and appends its SUSPECT
 *  record. */
void SkyDoubts_Begin(sky_doubts_t *crashes, const sky_rec_crash_t *crash,
                     uint64_t now_us, sky_actions_t *out);
/** Adds an unconfirmed crash that a peer reported. */
void SkyDoubts_Keep(sky_doubts_t *crashes, const sky_rec_crash_t *crash,
                    uint64_t now_us);
/** Removes a crash whose SUSPECT or CRASH record was read from the log. */
void SkyDoubts_Seen(sky_doubts_t *crashes, const sky_rec_crash_t *crash);
void SkyDoubts_Tick(sky_doubts_t *crashes, uint64_t now_us,
                    sky_actions_t *out);

#ifdef __cplusplus
}
#endif
#endif
