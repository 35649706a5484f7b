/**
 * @file doubts.h
 * @brief Broken exchanges that the log does not show yet.
 *
 * Whoever sees an exchange break appends a SUSPECT record, so that the doubt
 * outlives this host and the owner. Until it is read back it is appended
 * again, and with the log out the other members keep it as well.
 */
#ifndef SKY_DECIDE_DOUBTS_H
#define SKY_DECIDE_DOUBTS_H

#include "decide/members.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_doubts sky_doubts_t;

/** @param members tells whether the log is out, and whom to tell then. */
sky_doubts_t *SkyDoubts_Create(sky_members_t *members);
void SkyDoubts_Free(sky_doubts_t *doubts);

/** An exchange of this host broke. */
void SkyDoubts_Begin(sky_doubts_t *doubts, const sky_rec_crash_t *crash,
                     uint64_t now_us, sky_actions_t *out);
/** Keeps another host's doubt as well. */
void SkyDoubts_Keep(sky_doubts_t *doubts, const sky_rec_crash_t *crash,
                    uint64_t now_us);
/** The log shows it: no need to keep it. */
void SkyDoubts_Seen(sky_doubts_t *doubts, const sky_rec_crash_t *crash);
void SkyDoubts_Tick(sky_doubts_t *doubts, uint64_t now_us, sky_actions_t *out);

#ifdef __cplusplus
}
#endif
#endif
