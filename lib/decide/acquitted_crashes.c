#include "decide/acquitted_crashes.h"

#include <stdlib.h>
#include <uthash.h>

#define CRASHES_MAX 2048

/** Key of the table; it has no padding. */
typedef struct {
    uint64_t fingerprint;
    uint64_t epoch;
    uint64_t target;
} crash_key_t;

typedef struct {
    crash_key_t key;
    uint64_t added_ms;
    UT_hash_handle hh; /* in the order in which they were added */
} acquitted_crash_t;

struct sky_acquitted_crashes {
    uint64_t retention_ms;
    acquitted_crash_t *by_key;
};

static crash_key_t
key_of(const sky_rec_crash_t *crash)
{
    return (crash_key_t){crash->fingerprint, crash->epoch, crash->target};
}

static acquitted_crash_t *
find_crash(const sky_acquitted_crashes_t *crashes,
           const sky_rec_crash_t *crash)
{
    acquitted_crash_t *found;
    crash_key_t key = key_of(crash);
    HASH_FIND(hh, crashes->by_key, &key, sizeof key, found);
    return found;
}

static void
remove_crash(sky_acquitted_crashes_t *crashes, acquitted_crash_t *crash)
{
    HASH_DEL(crashes->by_key, crash);
    free(crash);
}

sky_acquitted_crashes_t *
SkyAcquittedCrashes_Create(uint64_t retention_ms)
{
    sky_acquitted_crashes_t *crashes = calloc(1, sizeof *crashes);
    if (crashes != NULL) {
        crashes->retention_ms = retention_ms;
    }
    return crashes;
}

void
SkyAcquittedCrashes_Free(sky_acquitted_crashes_t *crashes)
{
    if (crashes == NULL) {
        return;
    }
    acquitted_crash_t *crash;
    acquitted_crash_t *next;
    HASH_ITER(hh, crashes->by_key, crash, next)
    {
        remove_crash(crashes, crash);
    }
    free(crashes);
}

bool
SkyAcquittedCrashes_Add(sky_acquitted_crashes_t *crashes,
                        const sky_rec_crash_t *crash, uint64_t now_ms)
{
    if (find_crash(crashes, crash) != NULL) {
        return false;
    }
    acquitted_crash_t *added = calloc(1, sizeof *added);
    if (added == NULL) {
        return false;
    }
    if (HASH_COUNT(crashes->by_key) == CRASHES_MAX) {
        remove_crash(crashes, crashes->by_key);
    }
    added->key = key_of(crash);
    added->added_ms = now_ms;
    HASH_ADD(hh, crashes->by_key, key, sizeof added->key, added);
    return true;
}

bool
SkyAcquittedCrashes_Has(const sky_acquitted_crashes_t *crashes,
                        const sky_rec_crash_t *crash)
{
    return find_crash(crashes, crash) != NULL;
}

uint32_t
SkyAcquittedCrashes_Count(const sky_acquitted_crashes_t *crashes,
                          uint64_t fingerprint)
{
    uint32_t count = 0;
    const acquitted_crash_t *crash;
    for (crash = crashes->by_key; crash != NULL; crash = crash->hh.next) {
        count += crash->key.fingerprint == fingerprint;
    }
    return count;
}

void
SkyAcquittedCrashes_Expire(sky_acquitted_crashes_t *crashes, uint64_t now_ms)
{
    acquitted_crash_t *crash;
    acquitted_crash_t *next;
    HASH_ITER(hh, crashes->by_key, crash, next)
    {
        if (crash->added_ms + crashes->retention_ms < now_ms) {
            remove_crash(crashes, crash);
        }
    }
}

void
SkyAcquittedCrashes_ForEach(const sky_acquitted_crashes_t *crashes,
                            sky_acquitted_visitor_t visit, void *context)
{
    const acquitted_crash_t *crash;
    for (crash = crashes->by_key; crash != NULL; crash = crash->hh.next) {
        sky_rec_crash_t visited = {crash->key.fingerprint, crash->key.epoch,
                                   (uint32_t)crash->key.target};
        visit(&visited, context);
    }
}
