#include "decide/suspects.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct suspect {
    uint64_t fingerprint;
    uint64_t changed_us;
    uint32_t count;
    uint32_t targets[SKY_CRASH_LIMIT];
    uint64_t epochs[SKY_CRASH_LIMIT];
    bool held;
    uint32_t held_target;
    uint64_t held_epoch;
    uint64_t held_us;
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

static bool
was_counted(const suspect_t *suspect, const sky_rec_crash_t *crash)
{
    for (uint32_t i = 0; i < suspect->count; i++) {
        if (suspect->targets[i] == crash->target &&
            suspect->epochs[i] == crash->epoch) {
            return true;
        }
    }
    return false;
}

bool
SkySuspects_Crash(sky_suspects_t *suspects, const sky_rec_crash_t *crash,
                  uint64_t now_us)
{
    suspect_t *suspect = find_or_add(suspects, crash->fingerprint, now_us);
    if (suspect->held && suspect->held_target == crash->target) {
        suspect->held = false;
    }
    if (was_counted(suspect, crash) || suspect->count == SKY_CRASH_LIMIT) {
        return false;
    }
    suspect->targets[suspect->count] = crash->target;
    suspect->epochs[suspect->count++] = crash->epoch;
    return true;
}

void
SkySuspects_Hold(sky_suspects_t *suspects, const sky_rec_crash_t *crash,
                 uint64_t now_us)
{
    suspect_t *suspect = find_or_add(suspects, crash->fingerprint, now_us);
    if (was_counted(suspect, crash) || suspect->count == SKY_CRASH_LIMIT) {
        return;
    }
    suspect->held = true;
    suspect->held_target = crash->target;
    suspect->held_epoch = crash->epoch;
    suspect->held_us = now_us;
}

static void
report_crash(suspect_t *suspect, sky_crash_visit_t crashed, void *context)
{
    sky_rec_crash_t crash = {suspect->fingerprint, suspect->held_epoch,
                             suspect->held_target};
    suspect->held = false;
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
        if (!suspect->held || suspect->held_target != target) {
            continue;
        }
        if (suspect->held_epoch != epoch) {
            report_crash(suspect, crashed, context);
        }
        else if (made_us > suspect->held_us) {
            suspect->held = false;
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
        if (suspect->held && suspect->held_target == target) {
            report_crash(suspect, crashed, context);
        }
    }
}

uint32_t
SkySuspects_Count(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    const suspect_t *suspect = find(suspects, fingerprint);
    return suspect ? suspect->count : 0;
}

bool
SkySuspects_IsHeld(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    const suspect_t *suspect = find(suspects, fingerprint);
    return suspect != NULL && suspect->held;
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
        if (suspect->held && suspect->held_us + SKY_HOLD_MAX_US < now_us) {
            suspect->held = false;
        }
        if (!suspect->held &&
            suspect->changed_us + suspects->keep_us < now_us) {
            forget(suspects, suspect);
        }
    }
}
