#include "decide/unconfirmed_crashes.h"

#include <stdlib.h>
#include <utlist.h>

/** The log counts as unavailable if its tail was not reached for so long. */
#define LOG_UNAVAILABLE_AGE_US UINT64_C(1500000)
#define NOTIFIED_MEMBERS_MAX 32
#define APPEND_RETRY_INTERVAL_US UINT64_C(2000000)
#define RETENTION_US UINT64_C(600000000)

typedef struct unconfirmed_crash_node {
    sky_rec_crash_t crash;
    uint64_t recorded_us;
    uint64_t appended_us;
    struct unconfirmed_crash_node *prev;
    struct unconfirmed_crash_node *next;
} unconfirmed_crash_t;

struct sky_unconfirmed_crashes {
    sky_members_t *members;
    unconfirmed_crash_t *list;
};

sky_unconfirmed_crashes_t *
SkyUnconfirmedCrashes_Create(sky_members_t *members)
{
    sky_unconfirmed_crashes_t *crashes = calloc(1, sizeof *crashes);
    if (crashes != NULL) {
        crashes->members = members;
    }
    return crashes;
}

static void
remove_crash(sky_unconfirmed_crashes_t *crashes,
             unconfirmed_crash_t *unconfirmed)
{
    DL_DELETE(crashes->list, unconfirmed);
    free(unconfirmed);
}

void
SkyUnconfirmedCrashes_Free(sky_unconfirmed_crashes_t *crashes)
{
    if (crashes == NULL) {
        return;
    }
    unconfirmed_crash_t *unconfirmed;
    unconfirmed_crash_t *next;
    DL_FOREACH_SAFE(crashes->list, unconfirmed, next)
    {
        remove_crash(crashes, unconfirmed);
    }
    free(crashes);
}

static bool
is_same_crash(const sky_rec_crash_t *a, const sky_rec_crash_t *b)
{
    return a->fingerprint == b->fingerprint && a->epoch == b->epoch &&
           a->target == b->target;
}

/** @return the new entry, or NULL if this crash is in the list already. */
static unconfirmed_crash_t *
add_crash(sky_unconfirmed_crashes_t *crashes, const sky_rec_crash_t *crash,
          uint64_t now_us)
{
    unconfirmed_crash_t *unconfirmed;
    DL_FOREACH(crashes->list, unconfirmed)
    {
        if (is_same_crash(&unconfirmed->crash, crash)) {
            return NULL;
        }
    }
    unconfirmed = calloc(1, sizeof *unconfirmed);
    if (unconfirmed == NULL) {
        abort();
    }
    unconfirmed->crash = *crash;
    unconfirmed->recorded_us = now_us;
    DL_APPEND(crashes->list, unconfirmed);
    return unconfirmed;
}

/** Sends a crash to the other members if the log is unavailable. */
static void
notify_members(const sky_unconfirmed_crashes_t *crashes,
               const sky_rec_crash_t *crash, uint64_t now_us,
               sky_actions_t *out)
{
    size_t count;
    const sky_member_t *members = SkyMembers_GetList(crashes->members, &count);
    if (SkyMembers_LogAgeUs(crashes->members, now_us) <
        LOG_UNAVAILABLE_AGE_US) {
        return;
    }
    for (size_t i = 0; i < count && i < NOTIFIED_MEMBERS_MAX; i++) {
        if (members[i].host != SkyMembers_SelfId(crashes->members)) {
            SkyActions_AddSend(out, members[i].host, SKY_MSG_UNCONFIRMED_CRASH)
                ->u.unconfirmed_crash = *crash;
        }
    }
}

static void
append_suspect_record(sky_unconfirmed_crashes_t *crashes,
                      unconfirmed_crash_t *unconfirmed, uint64_t now_us,
                      sky_actions_t *out)
{
    sky_record_t *record = &SkyActions_Add(out, SKY_ACT_APPEND)->u.append;
    record->kind = SKY_REC_CRASH_SUSPECTED;
    record->nonce = SkyMembers_NextNonce(crashes->members);
    record->u.crash = unconfirmed->crash;
    unconfirmed->appended_us = now_us;
    notify_members(crashes, &unconfirmed->crash, now_us, out);
}

void
SkyUnconfirmedCrashes_Record(sky_unconfirmed_crashes_t *crashes,
                             const sky_rec_crash_t *crash, uint64_t now_us,
                             sky_actions_t *out)
{
    unconfirmed_crash_t *unconfirmed = add_crash(crashes, crash, now_us);
    if (unconfirmed != NULL) {
        append_suspect_record(crashes, unconfirmed, now_us, out);
    }
}

void
SkyUnconfirmedCrashes_ApplyPeer(sky_unconfirmed_crashes_t *crashes,
                                const sky_rec_crash_t *crash, uint64_t now_us)
{
    add_crash(crashes, crash, now_us);
}

void
SkyUnconfirmedCrashes_ApplyRecord(sky_unconfirmed_crashes_t *crashes,
                                  const sky_rec_crash_t *crash)
{
    unconfirmed_crash_t *unconfirmed;
    unconfirmed_crash_t *next;
    DL_FOREACH_SAFE(crashes->list, unconfirmed, next)
    {
        if (is_same_crash(&unconfirmed->crash, crash)) {
            remove_crash(crashes, unconfirmed);
        }
    }
}

void
SkyUnconfirmedCrashes_Tick(sky_unconfirmed_crashes_t *crashes, uint64_t now_us,
                           sky_actions_t *out)
{
    unconfirmed_crash_t *unconfirmed;
    unconfirmed_crash_t *next;
    DL_FOREACH_SAFE(crashes->list, unconfirmed, next)
    {
        if (now_us >= unconfirmed->recorded_us + RETENTION_US) {
            remove_crash(crashes, unconfirmed);
        }
        else if (now_us >=
                 unconfirmed->appended_us + APPEND_RETRY_INTERVAL_US) {
            append_suspect_record(crashes, unconfirmed, now_us, out);
        }
    }
}
