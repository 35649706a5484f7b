#include "decide/suspects.h"

#include <stdlib.h>
#include <uthash.h>

#define EVENTS_MAX 4 /* broken exchanges remembered for a fingerprint */

typedef enum {
    EVENT_NONE,
    EVENT_HELD,    /* did the target crash? */
    EVENT_COUNTED, /* it did */
} event_state_t;

/** A broken exchange: one target in one epoch. */
typedef struct {
    event_state_t state;
    uint32_t target;
    uint64_t epoch;
    uint64_t held_us;
} event_t;

typedef struct suspect {
    uint64_t fingerprint;
    uint64_t changed_us;
    event_t events[EVENTS_MAX];
    UT_hash_handle hh;
} suspect_t;

struct sky_suspects {
    uint64_t keep_us;
    suspect_t *table;
};

sky_suspects_t *
SkySuspects_Create(uint64_t keep_us)
{
    sky_suspects_t *suspects = calloc(1, sizeof *suspects);
    if (suspects != NULL) {
        suspects->keep_us = keep_us;
    }
    return suspects;
}

static void
forget(sky_suspects_t *suspects, suspect_t *suspect)
{
    HASH_DEL(suspects->table, suspect);
    free(suspect);
}

void
SkySuspects_Free(sky_suspects_t *suspects)
{
    if (suspects == NULL) {
        return;
    }
    suspect_t *suspect;
    suspect_t *next;
    HASH_ITER(hh, suspects->table, suspect, next)
    {
        forget(suspects, suspect);
    }
    free(suspects);
}

static suspect_t *
find(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    suspect_t *suspect;
    HASH_FIND(hh, suspects->table, &fingerprint, sizeof fingerprint, suspect);
    return suspect;
}

static suspect_t *
find_or_add(sky_suspects_t *suspects, uint64_t fingerprint, uint64_t now_us)
{
    suspect_t *suspect = find(suspects, fingerprint);
    if (suspect == NULL) {
        suspect = calloc(1, sizeof *suspect);
        if (suspect == NULL) {
            abort();
        }
        suspect->fingerprint = fingerprint;
        HASH_ADD(hh, suspects->table, fingerprint, sizeof fingerprint,
                 suspect);
    }
    suspect->changed_us = now_us;
    return suspect;
}

static uint32_t
count_state(const suspect_t *suspect, event_state_t state)
{
    uint32_t count = 0;
    for (uint32_t i = 0; suspect != NULL && i < EVENTS_MAX; i++) {
        count += suspect->events[i].state == state;
    }
    return count;
}

/** @return the event of a crash; else a free one, or NULL if none is. */
static event_t *
event_for(suspect_t *suspect, const sky_rec_crash_t *crash)
{
    event_t *unused = NULL;
    for (uint32_t i = 0; i < EVENTS_MAX; i++) {
        event_t *event = &suspect->events[i];
        if (event->state == EVENT_NONE) {
            unused = event;
        }
        else if (event->target == crash->target &&
                 event->epoch == crash->epoch) {
            return event;
        }
    }
    return unused;
}

bool
SkySuspects_Crash(sky_suspects_t *suspects, const sky_rec_crash_t *crash,
                  uint64_t now_us)
{
    suspect_t *suspect = find_or_add(suspects, crash->fingerprint, now_us);
    event_t *event = event_for(suspect, crash);
    if (event == NULL || event->state == EVENT_COUNTED) {
        return false;
    }
    event->state = EVENT_COUNTED;
    event->target = crash->target;
    event->epoch = crash->epoch;
    return true;
}

void
SkySuspects_Hold(sky_suspects_t *suspects, const sky_rec_crash_t *crash,
                 uint64_t now_us)
{
    suspect_t *suspect = find_or_add(suspects, crash->fingerprint, now_us);
    event_t *event = event_for(suspect, crash);
    if (event == NULL || event->state != EVENT_NONE) {
        return;
    }
    event->state = EVENT_HELD;
    event->target = crash->target;
    event->epoch = crash->epoch;
    event->held_us = now_us;
}

static void
report_crash(const suspect_t *suspect, const event_t *event,
             sky_crash_visit_t crashed, void *context)
{
    sky_rec_crash_t crash = {suspect->fingerprint, event->epoch,
                             event->target};
    crashed(&crash, context);
}

void
SkySuspects_Resolve(sky_suspects_t *suspects, uint32_t target, uint64_t epoch,
                    uint64_t made_us, sky_crash_visit_t crashed, void *context)
{
    suspect_t *suspect;
    suspect_t *next;
    HASH_ITER(hh, suspects->table, suspect, next)
    {
        for (uint32_t i = 0; i < EVENTS_MAX; i++) {
            event_t *event = &suspect->events[i];
            if (event->state != EVENT_HELD || event->target != target) {
                continue;
            }
            if (event->epoch != epoch) {
                report_crash(suspect, event, crashed, context);
            }
            else if (made_us > event->held_us) {
                event->state = EVENT_NONE;
            }
        }
    }
}

void
SkySuspects_TargetDown(sky_suspects_t *suspects, uint32_t target,
                       sky_crash_visit_t crashed, void *context)
{
    suspect_t *suspect;
    suspect_t *next;
    HASH_ITER(hh, suspects->table, suspect, next)
    {
        for (uint32_t i = 0; i < EVENTS_MAX; i++) {
            const event_t *event = &suspect->events[i];
            if (event->state == EVENT_HELD && event->target == target) {
                report_crash(suspect, event, crashed, context);
            }
        }
    }
}

uint32_t
SkySuspects_Count(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    return count_state(find(suspects, fingerprint), EVENT_COUNTED);
}

bool
SkySuspects_IsHeld(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    return count_state(find(suspects, fingerprint), EVENT_HELD) > 0;
}

bool
SkySuspects_IsQuarantined(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    return SkySuspects_Count(suspects, fingerprint) >= SKY_CRASH_LIMIT;
}

void
SkySuspects_Expire(sky_suspects_t *suspects, uint64_t now_us)
{
    suspect_t *suspect;
    suspect_t *next;
    HASH_ITER(hh, suspects->table, suspect, next)
    {
        if (suspect->changed_us + suspects->keep_us < now_us) {
            forget(suspects, suspect);
        }
    }
}
