#include "decide/crash_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/** A target that answers requests is heard from within this time. Other hosts
 *  are told only then. */
#define SETTLE_MS 250
/** Bytes that arrive this soon may have been sent before the crash. */
#define TRANSIT_MS 50
/** A crashed target is back after some seconds. Bytes that arrive later may be
 *  those of its next run. */
#define RESTART_MIN_MS 1000
/** By then the list shows that a target has crashed, also after an outage of
 *  the store. */
#define SUSPICION_TTL_MS 30000
/** Wait for callers whose request is only suspected. */
#define SUSPICION_CLEARED_MS 1000
#define EXPIRY_INTERVAL_MS 10000
#define SUSPICIONS_MAX 4096
#define US_PER_MS 1000
/** Losses within this time have one cause, as of a machine or a link. Those
 *  that other hosts tell are known later, by SETTLE_MS at least. */
#define JOINT_LOSS_MS (2 * SETTLE_MS)
/** Other targets that are lost together with one: a single request or two
 *  that crash targets lose fewer. */
#define JOINT_LOSSES_MIN 3
#define LOSSES_MAX 256        /**< remembered; more than a joint loss has */
#define RUNS_OF_REQUEST_MAX 8 /**< more than are counted for a fingerprint */

typedef struct {
    sky_rec_crash_t crash;
    uint64_t recorded_ms;
    bool is_told;       /**< by another host: it broke some time before */
    bool is_shared;     /**< other hosts know it */
    uint64_t shared_ms; /**< since then */
    bool is_probed;     /**< SKY_CRASH_UNHEARD was reported */
    /** This host has sent to this run of the target, or has seen it listed:
     *  only then does its absence from the list mean anything. */
    bool is_run_known;
} suspicion_t;

/** The first broken exchange with a run of a target. */
typedef struct {
    uint32_t target;
    uint64_t epoch;
    uint64_t lost_ms; /**< 0: free entry */
} loss_t;

struct sky_crash_watch {
    sky_crash_watch_options_t options;
    sky_suspects_t *suspects;
    suspicion_t suspicions[SUSPICIONS_MAX];
    uint32_t suspicion_count;
    loss_t losses[LOSSES_MAX];
    uint32_t next_loss;  /**< entry to use next, the oldest one */
    uint64_t expired_ms; /**< time of the last expiry */
};

sky_result_t
SkyCrashWatch_Create(const sky_crash_watch_options_t *options,
                     sky_crash_watch_t **watch)
{
    sky_crash_watch_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->suspects = SkySuspects_Create(options->retention_ms * US_PER_MS);
    if (self->suspects == NULL) {
        free(self);
        return SKY_E_MEMORY;
    }
    *watch = self;
    return SKY_OK;
}

void
SkyCrashWatch_Free(sky_crash_watch_t *watch)
{
    if (watch == NULL) {
        return;
    }
    SkySuspects_Free(watch->suspects);
    free(watch);
}

static bool
is_same_crash(const sky_rec_crash_t *one, const sky_rec_crash_t *other)
{
    return one->fingerprint == other->fingerprint &&
           one->target == other->target && one->epoch == other->epoch;
}

static loss_t *
find_loss(sky_crash_watch_t *watch, uint32_t target, uint64_t epoch)
{
    for (uint32_t i = 0; i < LOSSES_MAX; i++) {
        loss_t *loss = &watch->losses[i];
        if (loss->lost_ms > 0 && loss->target == target &&
            loss->epoch == epoch) {
            return loss;
        }
    }
    return NULL;
}

static void
record_loss(sky_crash_watch_t *watch, const sky_rec_crash_t *crash,
            uint64_t now_ms)
{
    if (find_loss(watch, crash->target, crash->epoch) == NULL) {
        watch->losses[watch->next_loss] =
            (loss_t){crash->target, crash->epoch, now_ms};
        watch->next_loss = (watch->next_loss + 1) % LOSSES_MAX;
    }
}

static void
drop_loss(sky_crash_watch_t *watch, uint32_t target, uint64_t epoch)
{
    loss_t *loss = find_loss(watch, target, epoch);
    if (loss != NULL) {
        *loss = (loss_t){0};
    }
}

static bool
record_suspicion(sky_crash_watch_t *watch, const sky_rec_crash_t *crash,
                 bool is_shared, uint64_t now_ms)
{
    for (uint32_t i = 0; i < watch->suspicion_count; i++) {
        if (is_same_crash(&watch->suspicions[i].crash, crash)) {
            return true;
        }
    }
    if (SkySuspects_IsCrash(watch->suspects, crash)) {
        return true;
    }
    if (watch->suspicion_count == SUSPICIONS_MAX) {
        return false;
    }
    record_loss(watch, crash, now_ms);
    SkySuspects_RecordUnconfirmedCrash(watch->suspects, crash,
                                       now_ms * US_PER_MS);
    watch->suspicions[watch->suspicion_count++] =
        (suspicion_t){.crash = *crash,
                      .recorded_ms = now_ms,
                      .is_told = is_shared,
                      .is_shared = is_shared,
                      .shared_ms = now_ms,
                      .is_run_known = !is_shared};
    return true;
}

bool
SkyCrashWatch_RecordBrokenExchange(sky_crash_watch_t *watch,
                                   const sky_rec_crash_t *crash,
                                   uint64_t now_ms)
{
    return record_suspicion(watch, crash, false, now_ms);
}

bool
SkyCrashWatch_RecordSharedSuspicion(sky_crash_watch_t *watch,
                                    const sky_rec_crash_t *crash,
                                    uint64_t now_ms)
{
    return record_suspicion(watch, crash, true, now_ms);
}

void
SkyCrashWatch_RecordCrash(sky_crash_watch_t *watch,
                          const sky_rec_crash_t *crash, uint64_t confirmed_ms)
{
    SkySuspects_RecordCrash(watch->suspects, crash, confirmed_ms * US_PER_MS);
}

void
SkyCrashWatch_DropRun(sky_crash_watch_t *watch, uint32_t target,
                      uint64_t epoch)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < watch->suspicion_count; i++) {
        const sky_rec_crash_t *crash = &watch->suspicions[i].crash;
        if (crash->target != target || crash->epoch != epoch) {
            watch->suspicions[kept++] = watch->suspicions[i];
        }
    }
    watch->suspicion_count = kept;
    drop_loss(watch, target, epoch);
    SkySuspects_DropRun(watch->suspects, target, epoch);
}

typedef enum {
    VERDICT_OPEN,
    VERDICT_CLEARED,
    VERDICT_CRASHED,
} verdict_t;

/* Whether a byte that was received then was sent after the exchange broke. */
static bool
is_after_break(const suspicion_t *suspicion, uint64_t heard_ms)
{
    uint64_t transit_ms = suspicion->is_told ? 0 : TRANSIT_MS;
    return heard_ms > suspicion->recorded_ms + transit_ms;
}

static bool
is_heard_here(const suspicion_t *suspicion,
              const sky_crash_target_state_t *target)
{
    return is_after_break(suspicion, target->last_byte_ms);
}

static verdict_t
judge_suspicion(const suspicion_t *suspicion,
                const sky_crash_target_state_t *target, uint64_t now_ms)
{
    uint64_t epoch = suspicion->crash.epoch;
    bool is_listed = target->is_listed && target->epoch == epoch;
    bool is_replaced = target->is_listed && target->epoch > epoch;
    if (is_replaced || (!is_listed && suspicion->is_run_known)) {
        return VERDICT_CRASHED;
    }
    bool is_heard = is_heard_here(suspicion, target) ||
                    is_after_break(suspicion, target->heard_by_others_ms);
    bool is_same_run = now_ms < suspicion->recorded_ms + RESTART_MIN_MS;
    if (target->is_leaving || (is_heard && is_same_run) ||
        now_ms > suspicion->recorded_ms + SUSPICION_TTL_MS) {
        return VERDICT_CLEARED;
    }
    return VERDICT_OPEN;
}

/* @return whether the suspicion stays open. */
static bool
update_suspicion(sky_crash_watch_t *watch, suspicion_t *suspicion,
                 uint64_t now_ms)
{
    const sky_crash_watch_options_t *options = &watch->options;
    sky_crash_target_state_t target =
        options->get_target_state(options->context, suspicion->crash.target);
    if (SkySuspects_IsCrash(watch->suspects, &suspicion->crash)) {
        return false; /* another host has confirmed it */
    }
    suspicion->is_run_known =
        suspicion->is_run_known ||
        (target.is_listed && target.epoch == suspicion->crash.epoch);
    switch (judge_suspicion(suspicion, &target, now_ms)) {
    case VERDICT_CLEARED:
        SkySuspects_DropUnconfirmedCrash(watch->suspects, &suspicion->crash);
        drop_loss(watch, suspicion->crash.target, suspicion->crash.epoch);
        options->on_event(options->context, SKY_CRASH_CLEARED,
                          &suspicion->crash);
        if (suspicion->is_shared && is_heard_here(suspicion, &target) &&
            !is_after_break(suspicion, target.heard_by_others_ms)) {
            options->on_event(options->context, SKY_CRASH_RUN_HEARD,
                              &suspicion->crash);
        }
        return false;
    case VERDICT_CRASHED:
        SkySuspects_RecordCrash(watch->suspects, &suspicion->crash,
                                now_ms * US_PER_MS);
        options->on_event(options->context, SKY_CRASH_CONFIRMED,
                          &suspicion->crash);
        return false;
    case VERDICT_OPEN:
        break;
    }
    if (!suspicion->is_shared &&
        now_ms >= suspicion->recorded_ms + SETTLE_MS) {
        suspicion->is_shared = true;
        suspicion->shared_ms = now_ms;
        options->on_event(options->context, SKY_CRASH_SUSPECTED,
                          &suspicion->crash);
    }
    else if (suspicion->is_shared && !suspicion->is_probed &&
             target.can_probe &&
             now_ms >= suspicion->shared_ms + target.probe_delay_ms) {
        suspicion->is_probed = true;
        options->on_event(options->context, SKY_CRASH_UNHEARD,
                          &suspicion->crash);
    }
    return true;
}

void
SkyCrashWatch_Tick(sky_crash_watch_t *watch, uint64_t now_ms)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < watch->suspicion_count; i++) {
        suspicion_t suspicion = watch->suspicions[i];
        if (update_suspicion(watch, &suspicion, now_ms)) {
            watch->suspicions[kept++] = suspicion;
        }
    }
    watch->suspicion_count = kept;
    if (now_ms >= watch->expired_ms + EXPIRY_INTERVAL_MS) {
        watch->expired_ms = now_ms;
        SkySuspects_Expire(watch->suspects, now_ms * US_PER_MS);
    }
}

/** The runs that broke exchanges with requests of one fingerprint. */
typedef struct {
    uint64_t fingerprint;
    loss_t runs[RUNS_OF_REQUEST_MAX];
    uint32_t count;
} request_runs_t;

static void
add_run(const sky_rec_crash_t *crash, bool is_confirmed, void *context)
{
    request_runs_t *request = context;
    (void)is_confirmed;
    if (crash->fingerprint == request->fingerprint &&
        request->count < RUNS_OF_REQUEST_MAX) {
        request->runs[request->count++] =
            (loss_t){crash->target, crash->epoch, 0};
    }
}

static bool
was_sent_there(const request_runs_t *request, const loss_t *loss)
{
    for (uint32_t i = 0; i < request->count; i++) {
        if (request->runs[i].target == loss->target &&
            request->runs[i].epoch == loss->epoch) {
            return true;
        }
    }
    return false;
}

/* Whether targets were lost together with this one to which no request of the
 * fingerprint had been sent. */
static bool
is_joint_loss(const sky_crash_watch_t *watch, const request_runs_t *request,
              const loss_t *own)
{
    uint32_t others = 0;
    for (uint32_t i = 0; i < LOSSES_MAX; i++) {
        const loss_t *other = &watch->losses[i];
        others += other->lost_ms > 0 &&
                  other->lost_ms < own->lost_ms + JOINT_LOSS_MS &&
                  own->lost_ms < other->lost_ms + JOINT_LOSS_MS &&
                  !was_sent_there(request, other);
    }
    return others >= JOINT_LOSSES_MIN;
}

/* Counts the suspicions and crashes that speak against a fingerprint. */
static uint32_t
count_against(const sky_crash_watch_t *watch, uint64_t fingerprint)
{
    uint32_t count = SkySuspects_SuspicionCount(watch->suspects, fingerprint);
    request_runs_t request = {.fingerprint = fingerprint};
    if (count != SKY_CRASH_LIMIT) {
        return count; /* too few, or too many even without one */
    }
    SkySuspects_ForEach(watch->suspects, add_run, &request);
    for (uint32_t i = 0; i < LOSSES_MAX; i++) {
        const loss_t *loss = &watch->losses[i];
        if (loss->lost_ms > 0 && was_sent_there(&request, loss) &&
            is_joint_loss(watch, &request, loss)) {
            return count - 1;
        }
    }
    return count;
}

uint64_t
SkyCrashWatch_GetQuarantineMs(const sky_crash_watch_t *watch,
                              uint64_t fingerprint, uint64_t now_ms)
{
    if (count_against(watch, fingerprint) < SKY_CRASH_LIMIT) {
        return 0;
    }
    uint64_t end_ms =
        SkySuspects_QuarantineEnd(watch->suspects, fingerprint) / US_PER_MS;
    return end_ms > now_ms ? end_ms - now_ms : SUSPICION_CLEARED_MS;
}

bool
SkyCrashWatch_IsCrash(const sky_crash_watch_t *watch,
                      const sky_rec_crash_t *crash)
{
    return SkySuspects_IsCrash(watch->suspects, crash);
}

void
SkyCrashWatch_ForEach(const sky_crash_watch_t *watch,
                      sky_suspects_visitor_t visit, void *context)
{
    SkySuspects_ForEach(watch->suspects, visit, context);
}

void
SkyCrash_FormatKey(const sky_rec_crash_t *crash, char key[SKY_CRASH_KEY_BYTES])
{
    snprintf(key, SKY_CRASH_KEY_BYTES, "%016" PRIx64 ".%08x.%" PRIx64,
             crash->fingerprint, crash->target, crash->epoch);
}

bool
SkyCrash_ParseKey(const char *key, sky_rec_crash_t *crash)
{
    return sscanf(key, "%16" SCNx64 ".%8x.%16" SCNx64, &crash->fingerprint,
                  &crash->target, &crash->epoch) == 3;
}
