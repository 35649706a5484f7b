#include "decide/suspects.h"

#include <stdlib.h>
#include <uthash.h>

typedef enum {
    EXCHANGE_UNUSED,      /* a free entry */
    EXCHANGE_UNCONFIRMED, /* not known yet whether the target crashed */
    EXCHANGE_CRASHED,     /* the target crashed */
} exchange_state_t;

/** A broken exchange with one target in one epoch. */
typedef struct {
    exchange_state_t state;
    uint32_t target;
    uint64_t epoch;
    uint64_t recorded_us;
    uint32_t answer_count; /* to requests that were sent since then */
} exchange_t;

typedef struct suspect {
    uint64_t fingerprint;
    uint64_t updated_us;
    exchange_t exchanges[SKY_SUSPECT_CRASHES_MAX];
    UT_hash_handle hh;
} suspect_t;

struct sky_suspects {
    uint64_t retention_us;
    suspect_t *by_fingerprint;
};

sky_suspects_t *
SkySuspects_Create(uint64_t retention_us)
{
    sky_suspects_t *suspects = calloc(1, sizeof *suspects);
    if (suspects != NULL) {
        suspects->retention_us = retention_us;
    }
    return suspects;
}

static void
remove_suspect(sky_suspects_t *suspects, suspect_t *suspect)
{
    HASH_DEL(suspects->by_fingerprint, suspect);
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
    HASH_ITER(hh, suspects->by_fingerprint, suspect, next)
    {
        remove_suspect(suspects, suspect);
    }
    free(suspects);
}

static suspect_t *
find_suspect(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    suspect_t *suspect;
    HASH_FIND(hh, suspects->by_fingerprint, &fingerprint, sizeof fingerprint,
              suspect);
    return suspect;
}

static suspect_t *
find_or_add_suspect(sky_suspects_t *suspects, uint64_t fingerprint)
{
    suspect_t *suspect = find_suspect(suspects, fingerprint);
    if (suspect == NULL) {
        suspect = calloc(1, sizeof *suspect);
        if (suspect == NULL) {
            abort();
        }
        suspect->fingerprint = fingerprint;
        HASH_ADD(hh, suspects->by_fingerprint, fingerprint, sizeof fingerprint,
                 suspect);
    }
    return suspect;
}

static uint32_t
count_exchanges(const suspect_t *suspect, exchange_state_t state)
{
    uint32_t count = 0;
    for (uint32_t i = 0; suspect != NULL && i < SKY_SUSPECT_CRASHES_MAX; i++) {
        count += suspect->exchanges[i].state == state;
    }
    return count;
}

/** @return the entry for the crash, else a free entry, or NULL if all are in
 *          use. */
static exchange_t *
find_or_choose_exchange(suspect_t *suspect, const sky_rec_crash_t *crash)
{
    exchange_t *unused = NULL;
    for (uint32_t i = 0; i < SKY_SUSPECT_CRASHES_MAX; i++) {
        exchange_t *exchange = &suspect->exchanges[i];
        if (exchange->state == EXCHANGE_UNUSED) {
            unused = exchange;
        }
        else if (exchange->target == crash->target &&
                 exchange->epoch == crash->epoch) {
            return exchange;
        }
    }
    return unused;
}

bool
SkySuspects_RecordCrash(sky_suspects_t *suspects, const sky_rec_crash_t *crash,
                        uint64_t now_us)
{
    suspect_t *suspect = find_or_add_suspect(suspects, crash->fingerprint);
    exchange_t *exchange = find_or_choose_exchange(suspect, crash);
    if (exchange == NULL || exchange->state == EXCHANGE_CRASHED) {
        return false;
    }
    if (exchange->state == EXCHANGE_UNUSED) {
        *exchange = (exchange_t){.target = crash->target,
                                 .epoch = crash->epoch,
                                 .recorded_us = now_us};
    }
    exchange->state = EXCHANGE_CRASHED;
    suspect->updated_us = now_us;
    return true;
}

void
SkySuspects_RecordUnconfirmedCrash(sky_suspects_t *suspects,
                                   const sky_rec_crash_t *crash,
                                   uint64_t now_us)
{
    suspect_t *suspect = find_or_add_suspect(suspects, crash->fingerprint);
    exchange_t *exchange = find_or_choose_exchange(suspect, crash);
    if (exchange == NULL || exchange->state != EXCHANGE_UNUSED) {
        return;
    }
    *exchange = (exchange_t){.state = EXCHANGE_UNCONFIRMED,
                             .target = crash->target,
                             .epoch = crash->epoch,
                             .recorded_us = now_us};
    suspect->updated_us = now_us;
}

static const exchange_t *
find_exchange(const suspect_t *suspect, const sky_rec_crash_t *crash)
{
    for (uint32_t i = 0; suspect != NULL && i < SKY_SUSPECT_CRASHES_MAX; i++) {
        const exchange_t *exchange = &suspect->exchanges[i];
        if (exchange->state != EXCHANGE_UNUSED &&
            exchange->target == crash->target &&
            exchange->epoch == crash->epoch) {
            return exchange;
        }
    }
    return NULL;
}

static void
drop_exchange(sky_suspects_t *suspects, suspect_t *suspect,
              exchange_t *exchange)
{
    exchange->state = EXCHANGE_UNUSED;
    if (count_exchanges(suspect, EXCHANGE_UNUSED) == SKY_SUSPECT_CRASHES_MAX) {
        remove_suspect(suspects, suspect);
    }
}

void
SkySuspects_DropUnconfirmedCrash(sky_suspects_t *suspects,
                                 const sky_rec_crash_t *crash)
{
    suspect_t *suspect = find_suspect(suspects, crash->fingerprint);
    exchange_t *exchange = (exchange_t *)find_exchange(suspect, crash);
    if (exchange != NULL && exchange->state == EXCHANGE_UNCONFIRMED) {
        drop_exchange(suspects, suspect, exchange);
    }
}

void
SkySuspects_DropCrash(sky_suspects_t *suspects, const sky_rec_crash_t *crash)
{
    suspect_t *suspect = find_suspect(suspects, crash->fingerprint);
    exchange_t *exchange = (exchange_t *)find_exchange(suspect, crash);
    if (exchange != NULL) {
        drop_exchange(suspects, suspect, exchange);
    }
}

void
SkySuspects_RecordAnswer(sky_suspects_t *suspects, uint64_t fingerprint,
                         uint64_t sent_us, uint32_t answers_needed,
                         sky_crash_callback_t on_acquitted, void *context)
{
    sky_rec_crash_t acquitted[SKY_SUSPECT_CRASHES_MAX];
    uint32_t acquitted_count = 0;
    suspect_t *suspect = find_suspect(suspects, fingerprint);
    for (uint32_t i = 0; suspect != NULL && i < SKY_SUSPECT_CRASHES_MAX; i++) {
        exchange_t *exchange = &suspect->exchanges[i];
        if (exchange->state != EXCHANGE_UNUSED &&
            exchange->recorded_us < sent_us &&
            ++exchange->answer_count >= answers_needed) {
            acquitted[acquitted_count++] = (sky_rec_crash_t){
                fingerprint, exchange->epoch, exchange->target};
        }
    }
    for (uint32_t i = 0; i < acquitted_count; i++) {
        on_acquitted(&acquitted[i], context);
    }
}

uint32_t
SkySuspects_ListTimes(const sky_suspects_t *suspects, uint64_t fingerprint,
                      uint64_t times_us[SKY_SUSPECT_CRASHES_MAX])
{
    uint32_t count = 0;
    const suspect_t *suspect = find_suspect(suspects, fingerprint);
    for (uint32_t i = 0; suspect != NULL && i < SKY_SUSPECT_CRASHES_MAX; i++) {
        if (suspect->exchanges[i].state != EXCHANGE_UNUSED) {
            times_us[count++] = suspect->exchanges[i].recorded_us;
        }
    }
    return count;
}

void
SkySuspects_DropRun(sky_suspects_t *suspects, uint32_t target, uint64_t epoch)
{
    suspect_t *suspect;
    suspect_t *next;
    HASH_ITER(hh, suspects->by_fingerprint, suspect, next)
    {
        for (uint32_t i = 0; i < SKY_SUSPECT_CRASHES_MAX; i++) {
            exchange_t *exchange = &suspect->exchanges[i];
            if (exchange->target == target && exchange->epoch == epoch) {
                exchange->state = EXCHANGE_UNUSED;
            }
        }
        if (count_exchanges(suspect, EXCHANGE_UNUSED) ==
            SKY_SUSPECT_CRASHES_MAX) {
            remove_suspect(suspects, suspect);
        }
    }
}

bool
SkySuspects_IsCrash(const sky_suspects_t *suspects,
                    const sky_rec_crash_t *crash)
{
    const exchange_t *exchange =
        find_exchange(find_suspect(suspects, crash->fingerprint), crash);
    return exchange != NULL && exchange->state == EXCHANGE_CRASHED;
}

void
SkySuspects_ForEach(const sky_suspects_t *suspects,
                    sky_suspects_visitor_t visit, void *context)
{
    const suspect_t *suspect;
    for (suspect = suspects->by_fingerprint; suspect != NULL;
         suspect = suspect->hh.next) {
        for (uint32_t i = 0; i < SKY_SUSPECT_CRASHES_MAX; i++) {
            const exchange_t *exchange = &suspect->exchanges[i];
            if (exchange->state != EXCHANGE_UNUSED) {
                sky_rec_crash_t crash = {suspect->fingerprint, exchange->epoch,
                                         exchange->target};
                visit(&crash, exchange->state == EXCHANGE_CRASHED, context);
            }
        }
    }
}

static void
notify_crash(const suspect_t *suspect, const exchange_t *exchange,
             sky_crash_callback_t on_crash, void *context)
{
    sky_rec_crash_t crash = {suspect->fingerprint, exchange->epoch,
                             exchange->target};
    on_crash(&crash, context);
}

void
SkySuspects_ApplyReport(sky_suspects_t *suspects, uint32_t target,
                        uint64_t epoch, uint64_t report_made_us,
                        sky_crash_callback_t on_crash, void *context)
{
    suspect_t *suspect;
    suspect_t *next;
    HASH_ITER(hh, suspects->by_fingerprint, suspect, next)
    {
        for (uint32_t i = 0; i < SKY_SUSPECT_CRASHES_MAX; i++) {
            exchange_t *exchange = &suspect->exchanges[i];
            if (exchange->state != EXCHANGE_UNCONFIRMED ||
                exchange->target != target) {
                continue;
            }
            if (exchange->epoch != epoch) {
                notify_crash(suspect, exchange, on_crash, context);
            }
            else if (report_made_us > exchange->recorded_us) {
                exchange->state = EXCHANGE_UNUSED;
            }
        }
    }
}

void
SkySuspects_ConfirmCrashes(sky_suspects_t *suspects, uint32_t target,
                           sky_crash_callback_t on_crash, void *context)
{
    suspect_t *suspect;
    suspect_t *next;
    HASH_ITER(hh, suspects->by_fingerprint, suspect, next)
    {
        for (uint32_t i = 0; i < SKY_SUSPECT_CRASHES_MAX; i++) {
            const exchange_t *exchange = &suspect->exchanges[i];
            if (exchange->state == EXCHANGE_UNCONFIRMED &&
                exchange->target == target) {
                notify_crash(suspect, exchange, on_crash, context);
            }
        }
    }
}

uint32_t
SkySuspects_SuspicionCount(const sky_suspects_t *suspects,
                           uint64_t fingerprint)
{
    const suspect_t *suspect = find_suspect(suspects, fingerprint);
    return count_exchanges(suspect, EXCHANGE_CRASHED) +
           count_exchanges(suspect, EXCHANGE_UNCONFIRMED);
}

uint32_t
SkySuspects_CrashCount(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    return count_exchanges(find_suspect(suspects, fingerprint),
                           EXCHANGE_CRASHED);
}

bool
SkySuspects_HasUnconfirmedCrash(const sky_suspects_t *suspects,
                                uint64_t fingerprint)
{
    return count_exchanges(find_suspect(suspects, fingerprint),
                           EXCHANGE_UNCONFIRMED) > 0;
}

bool
SkySuspects_IsQuarantined(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    return SkySuspects_CrashCount(suspects, fingerprint) >= SKY_CRASH_LIMIT;
}

uint64_t
SkySuspects_QuarantineEnd(const sky_suspects_t *suspects, uint64_t fingerprint)
{
    const suspect_t *suspect = find_suspect(suspects, fingerprint);
    return SkySuspects_IsQuarantined(suspects, fingerprint)
               ? suspect->updated_us + suspects->retention_us
               : 0;
}

void
SkySuspects_Expire(sky_suspects_t *suspects, uint64_t now_us)
{
    suspect_t *suspect;
    suspect_t *next;
    HASH_ITER(hh, suspects->by_fingerprint, suspect, next)
    {
        if (suspect->updated_us + suspects->retention_us < now_us) {
            remove_suspect(suspects, suspect);
        }
    }
}
