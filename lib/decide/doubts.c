#include "decide/doubts.h"

#include <stdlib.h>
#include <utlist.h>

#define LOG_OUT_US UINT64_C(1500000)
#define TELL_MEMBERS_MAX 32
#define RETRY_US UINT64_C(2000000)
#define KEEP_US UINT64_C(600000000)

typedef struct doubt {
    sky_rec_crash_t crash;
    uint64_t begun_us;
    uint64_t sent_us;
    struct doubt *prev;
    struct doubt *next;
} doubt_t;

struct sky_doubts {
    sky_members_t *members;
    doubt_t *list;
};

sky_doubts_t *
SkyDoubts_Create(sky_members_t *members)
{
    sky_doubts_t *doubts = calloc(1, sizeof *doubts);
    if (doubts != NULL) {
        doubts->members = members;
    }
    return doubts;
}

static void
forget(sky_doubts_t *doubts, doubt_t *doubt)
{
    DL_DELETE(doubts->list, doubt);
    free(doubt);
}

void
SkyDoubts_Free(sky_doubts_t *doubts)
{
    if (doubts == NULL) {
        return;
    }
    doubt_t *doubt;
    doubt_t *next;
    DL_FOREACH_SAFE(doubts->list, doubt, next)
    {
        forget(doubts, doubt);
    }
    free(doubts);
}

static bool
is_same(const sky_rec_crash_t *a, const sky_rec_crash_t *b)
{
    return a->fingerprint == b->fingerprint && a->epoch == b->epoch &&
           a->target == b->target;
}

/** @return the new doubt, or NULL if it is kept already. */
static doubt_t *
add(sky_doubts_t *doubts, const sky_rec_crash_t *crash, uint64_t now_us)
{
    doubt_t *doubt;
    DL_FOREACH(doubts->list, doubt)
    {
        if (is_same(&doubt->crash, crash)) {
            return NULL;
        }
    }
    doubt = calloc(1, sizeof *doubt);
    if (doubt == NULL) {
        abort();
    }
    doubt->crash = *crash;
    doubt->begun_us = now_us;
    DL_APPEND(doubts->list, doubt);
    return doubt;
}

static void
tell_members(const sky_doubts_t *doubts, const sky_rec_crash_t *crash,
             uint64_t now_us, sky_actions_t *out)
{
    size_t count;
    const sky_member_t *members = SkyMembers_List(doubts->members, &count);
    if (SkyMembers_LogAgeUs(doubts->members, now_us) < LOG_OUT_US) {
        return;
    }
    for (size_t i = 0; i < count && i < TELL_MEMBERS_MAX; i++) {
        if (members[i].host != SkyMembers_Self(doubts->members)) {
            SkyActions_Send(out, members[i].host, SKY_MSG_DOUBT)->u.doubt =
                *crash;
        }
    }
}

static void
publish(sky_doubts_t *doubts, doubt_t *doubt, uint64_t now_us,
        sky_actions_t *out)
{
    sky_record_t *record = &SkyActions_Add(out, SKY_ACT_APPEND)->u.append;
    record->kind = SKY_REC_SUSPECT;
    record->nonce = SkyMembers_Nonce(doubts->members);
    record->u.crash = doubt->crash;
    doubt->sent_us = now_us;
    tell_members(doubts, &doubt->crash, now_us, out);
}

void
SkyDoubts_Begin(sky_doubts_t *doubts, const sky_rec_crash_t *crash,
                uint64_t now_us, sky_actions_t *out)
{
    doubt_t *doubt = add(doubts, crash, now_us);
    if (doubt != NULL) {
        publish(doubts, doubt, now_us, out);
    }
}

void
SkyDoubts_Keep(sky_doubts_t *doubts, const sky_rec_crash_t *crash,
               uint64_t now_us)
{
    add(doubts, crash, now_us);
}

void
SkyDoubts_Seen(sky_doubts_t *doubts, const sky_rec_crash_t *crash)
{
    doubt_t *doubt;
    doubt_t *next;
    DL_FOREACH_SAFE(doubts->list, doubt, next)
    {
        if (is_same(&doubt->crash, crash)) {
            forget(doubts, doubt);
        }
    }
}

void
SkyDoubts_Tick(sky_doubts_t *doubts, uint64_t now_us, sky_actions_t *out)
{
    doubt_t *doubt;
    doubt_t *next;
    DL_FOREACH_SAFE(doubts->list, doubt, next)
    {
        if (now_us >= doubt->begun_us + KEEP_US) {
            forget(doubts, doubt);
        }
        else if (now_us >= doubt->sent_us + RETRY_US) {
            publish(doubts, doubt, now_us, out);
        }
    }
}
