#include "decide/crash_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/time_left.h"
#include "decide/answered_requests.h"
#include "decide/crash_trials.h"

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
#define JOINT_LOSS_MS SKY_CRASH_WAVE_MS
/** Other targets that are lost together with one: a single request or two
 *  that crash targets lose fewer. */
#define JOINT_LOSSES_MIN 3
#define LOSSES_MAX 256        /**< remembered; more than a joint loss has */
#define RUNS_OF_REQUEST_MAX 8 /**< more than are counted for a fingerprint */
/** Answers that acquit a request of a crash: one, and twice as many for each
 *  crash of which it was acquitted before. So many in a row are rare for a
 *  request that crashes every other target. */
#define ANSWERS_NEEDED_MAX 4
#define ACQUITTED_SUFFIX " acquitted"

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
    sky_acquitted_crashes_t *acquitted;
    sky_answered_requests_t *answered;
    sky_crash_trials_t trials;
    suspicion_t suspicions[SUSPICIONS_MAX];
    uint32_t suspicion_count;
    loss_t losses[LOSSES_MAX];
    uint32_t next_loss;  /**< entry to use next, the oldest one */
    uint64_t ticked_ms;  /**< time of the last tick */
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
    self->acquitted = SkyAcquittedCrashes_Create(options->retention_ms);
    self->answered = SkyAnsweredRequests_Create(options->retention_ms);
    if (self->suspects == NULL || self->acquitted == NULL ||
        self->answered == NULL) {
        SkyCrashWatch_Free(self);
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
    SkyAcquittedCrashes_Free(watch->acquitted);
    SkyAnsweredRequests_Free(watch->answered);
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
was_answered(const sky_crash_watch_t *watch, uint64_t fingerprint)
{
    return SkyAnsweredRequests_Has(watch->answered, fingerprint,
                                   watch->ticked_ms);
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

/** The runs of a request that another request explains. */
typedef struct {
    const sky_crash_watch_t *watch;
    const request_runs_t *request;
    bool is_explained[RUNS_OF_REQUEST_MAX];
} explained_runs_t;

static void
explain_run(const sky_rec_crash_t *crash, bool is_confirmed, void *context)
{
    explained_runs_t *explained = context;
    const sky_crash_watch_t *watch = explained->watch;
    const request_runs_t *request = explained->request;
    (void)is_confirmed;
    if (crash->fingerprint == request->fingerprint ||
        was_answered(watch, crash->fingerprint) ||
        SkySuspects_SuspicionCount(watch->suspects, crash->fingerprint) <
            SKY_CRASH_LIMIT) {
        return;
    }
    for (uint32_t i = 0; i < request->count; i++) {
        explained->is_explained[i] =
            explained->is_explained[i] ||
            (request->runs[i].target == crash->target &&
             request->runs[i].epoch == crash->epoch);
    }
}

/* Counts the runs that a quarantined request explains that was never answered,
 * as this one was. At most as many as one such request needs. */
static uint32_t
count_explained(const sky_crash_watch_t *watch, const request_runs_t *request)
{
    explained_runs_t explained = {.watch = watch, .request = request};
    uint32_t count = 0;
    SkySuspects_ForEach(watch->suspects, explain_run, &explained);
    for (uint32_t i = 0; i < request->count; i++) {
        count += explained.is_explained[i];
    }
    return count < SKY_CRASH_LIMIT ? count : SKY_CRASH_LIMIT;
}

/* Counts the suspicions and crashes that speak against a fingerprint. */
static uint32_t
count_against(const sky_crash_watch_t *watch, uint64_t fingerprint)
{
    uint32_t count = SkySuspects_SuspicionCount(watch->suspects, fingerprint);
    request_runs_t request = {.fingerprint = fingerprint};
    if (count < SKY_CRASH_LIMIT) {
        return count;
    }
    SkySuspects_ForEach(watch->suspects, add_run, &request);
    if (was_answered(watch, fingerprint)) {
        count -= count_explained(watch, &request);
    }
    if (count != SKY_CRASH_LIMIT) {
        return count; /* too few, or too many even without one */
    }
    for (uint32_t i = 0; i < LOSSES_MAX; i++) {
        const loss_t *loss = &watch->losses[i];
        if (loss->lost_ms > 0 && was_sent_there(&request, loss) &&
            is_joint_loss(watch, &request, loss)) {
            return count - 1;
        }
    }
    return count;
}

static bool
is_quarantined(const sky_crash_watch_t *watch, uint64_t fingerprint)
{
    return count_against(watch, fingerprint) >= SKY_CRASH_LIMIT;
}

/* Reports whether a change of what is counted began or ended a quarantine. */
static void
report_quarantine(const sky_crash_watch_t *watch, const sky_rec_crash_t *crash,
                  bool was_quarantined)
{
    const sky_crash_watch_options_t *options = &watch->options;
    sky_quarantine_change_t change = {
        .has_begun = is_quarantined(watch, crash->fingerprint),
        .crash = *crash,
        .crash_count = count_against(watch, crash->fingerprint)};
    if (change.has_begun != was_quarantined &&
        options->on_quarantine != NULL) {
        options->on_quarantine(options->context, &change);
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
    if (SkyAcquittedCrashes_Has(watch->acquitted, crash)) {
        if (is_shared) {
            watch->options.on_event(watch->options.context,
                                    SKY_CRASH_ACQUITTED, crash);
        }
        return true;
    }
    if (watch->suspicion_count == SUSPICIONS_MAX) {
        return false;
    }
    bool was_quarantined = is_quarantined(watch, crash->fingerprint);
    record_loss(watch, crash, now_ms);
    SkySuspects_RecordUnconfirmedCrash(watch->suspects, crash,
                                       now_ms * US_PER_MS);
    report_quarantine(watch, crash, was_quarantined);
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
                          const sky_rec_crash_t *crash, uint64_t confirmed_ms,
                          uint64_t now_ms)
{
    if (SkyAcquittedCrashes_Has(watch->acquitted, crash)) {
        watch->options.on_event(watch->options.context, SKY_CRASH_ACQUITTED,
                                crash);
        return;
    }
    bool was_quarantined = is_quarantined(watch, crash->fingerprint);
    /* Only answers to what is sent from now on acquit it: clocks differ. */
    SkySuspects_RecordUnconfirmedCrash(watch->suspects, crash,
                                       now_ms * US_PER_MS);
    SkySuspects_RecordCrash(watch->suspects, crash, confirmed_ms * US_PER_MS);
    report_quarantine(watch, crash, was_quarantined);
}

/* Removes the suspicion of a crash, if it is open. @return whether other hosts
 * know it */
static bool
remove_suspicion(sky_crash_watch_t *watch, const sky_rec_crash_t *crash)
{
    for (uint32_t i = 0; i < watch->suspicion_count; i++) {
        suspicion_t *suspicion = &watch->suspicions[i];
        if (is_same_crash(&suspicion->crash, crash)) {
            bool is_shared = suspicion->is_shared;
            *suspicion = watch->suspicions[--watch->suspicion_count];
            return is_shared;
        }
    }
    return false;
}

/* @return whether other hosts count the crash. */
static bool
drop_acquitted(sky_crash_watch_t *watch, const sky_rec_crash_t *crash,
               uint64_t now_ms)
{
    bool was_quarantined = is_quarantined(watch, crash->fingerprint);
    bool is_confirmed = SkySuspects_IsCrash(watch->suspects, crash);
    bool is_shared = remove_suspicion(watch, crash);
    SkySuspects_DropCrash(watch->suspects, crash);
    SkyAcquittedCrashes_Add(watch->acquitted, crash, now_ms);
    report_quarantine(watch, crash, was_quarantined);
    return is_confirmed || is_shared;
}

void
SkyCrashWatch_ApplyAcquittal(sky_crash_watch_t *watch,
                             const sky_rec_crash_t *crash, uint64_t now_ms)
{
    SkyAnsweredRequests_Add(watch->answered, crash->fingerprint, now_ms);
    drop_acquitted(watch, crash, now_ms);
}

/** An answer that acquits. */
typedef struct {
    sky_crash_watch_t *watch;
    uint64_t now_ms;
    uint32_t acquitted_count;
} acquittal_t;

static void
acquit(const sky_rec_crash_t *crash, void *context)
{
    acquittal_t *acquittal = context;
    const sky_crash_watch_options_t *options = &acquittal->watch->options;
    acquittal->acquitted_count++;
    if (drop_acquitted(acquittal->watch, crash, acquittal->now_ms)) {
        options->on_event(options->context, SKY_CRASH_ACQUITTED, crash);
    }
}

/* Acquits of suspicions that were not counted, as enough others were. */
static void
acquit_uncounted(acquittal_t *acquittal, uint64_t fingerprint,
                 uint64_t sent_ms)
{
    sky_crash_watch_t *watch = acquittal->watch;
    uint32_t i = 0;
    while (i < watch->suspicion_count) {
        const suspicion_t *suspicion = &watch->suspicions[i];
        if (suspicion->crash.fingerprint == fingerprint &&
            suspicion->recorded_ms < sent_ms) {
            sky_rec_crash_t crash = suspicion->crash;
            acquit(&crash, acquittal); /* another one takes its entry */
        }
        else {
            i++;
        }
    }
}

static uint32_t
get_answers_needed(const sky_crash_watch_t *watch, uint64_t fingerprint)
{
    uint32_t acquitted =
        SkyAcquittedCrashes_Count(watch->acquitted, fingerprint);
    uint32_t needed = 1;
    for (uint32_t i = 0; i < acquitted && needed < ANSWERS_NEEDED_MAX; i++) {
        needed *= 2;
    }
    return needed;
}

static void
record_answer(sky_crash_watch_t *watch, uint64_t fingerprint, uint64_t sent_ms,
              uint64_t now_ms)
{
    acquittal_t acquittal = {.watch = watch, .now_ms = now_ms};
    SkyAnsweredRequests_Add(watch->answered, fingerprint, now_ms);
    if (SkySuspects_SuspicionCount(watch->suspects, fingerprint) == 0) {
        return;
    }
    SkyCrashTrials_RecordAnswer(&watch->trials, fingerprint);
    SkySuspects_RecordAnswer(watch->suspects, fingerprint, sent_ms * US_PER_MS,
                             get_answers_needed(watch, fingerprint), acquit,
                             &acquittal);
    if (acquittal.acquitted_count > 0) {
        acquit_uncounted(&acquittal, fingerprint, sent_ms);
    }
}

bool
SkyCrashWatch_RecordExchange(sky_crash_watch_t *watch,
                             const sky_crash_exchange_t *exchange,
                             uint64_t now_ms)
{
    const sky_request_identity_t *identity = exchange->identity;
    sky_rec_crash_t crash = {identity->request, exchange->epoch,
                             exchange->target};
    switch (exchange->evidence) {
    case SKY_CRASH_EVIDENCE_NONE:
        return true;
    case SKY_CRASH_EVIDENCE_FOR:
        record_answer(watch, identity->request, exchange->sent_ms, now_ms);
        record_answer(watch, identity->variant, exchange->sent_ms, now_ms);
        return true;
    case SKY_CRASH_EVIDENCE_AGAINST:
        break;
    }
    bool is_kept = record_suspicion(watch, &crash, false, now_ms);
    if (was_answered(watch, identity->request)) {
        crash.fingerprint = identity->variant;
        is_kept = record_suspicion(watch, &crash, false, now_ms) && is_kept;
    }
    return is_kept;
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
    watch->ticked_ms = now_ms;
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
        SkyAcquittedCrashes_Expire(watch->acquitted, now_ms);
    }
}

bool
SkyCrashWatch_IsQuarantined(const sky_crash_watch_t *watch,
                            const sky_request_identity_t *identity)
{
    return is_quarantined(watch, identity->request) ||
           is_quarantined(watch, identity->variant);
}

static sky_trial_turn_t
get_trial_turn(const sky_crash_watch_t *watch, uint64_t fingerprint,
               uint64_t now_ms)
{
    sky_trial_crashes_t crashes = {.fingerprint = fingerprint,
                                   .was_answered =
                                       was_answered(watch, fingerprint)};
    crashes.count =
        SkySuspects_ListTimes(watch->suspects, fingerprint, crashes.times_us);
    return SkyCrashTrials_GetTurn(&crashes, now_ms);
}

static uint64_t
get_retry_after_ms(const sky_crash_watch_t *watch,
                   const sky_trial_turn_t *turn, uint64_t now_ms)
{
    uint64_t quarantine_ms =
        SkyCrashWatch_GetQuarantineMs(watch, turn->fingerprint, now_ms);
    uint64_t until_turn_ms = SkyTime_LeftMs(turn->next_ms, now_ms);
    return until_turn_ms > 0 && until_turn_ms < quarantine_ms ? until_turn_ms
                                                              : quarantine_ms;
}

/* Whether this host may try now, in the last one of the turns that are due. */
static bool
is_tester(const sky_crash_watch_t *watch, uint64_t request,
          const sky_trial_turn_t *turns, uint32_t count)
{
    const sky_crash_watch_options_t *options = &watch->options;
    uint64_t number = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (turns[i].begun_ms == 0 ||
            SkyCrashTrials_IsUsed(&watch->trials, &turns[i])) {
            return false;
        }
        number = turns[i].number > number ? turns[i].number : number;
    }
    /* Request and variant are tried by one host. */
    return options->is_tester == NULL ||
           options->is_tester(options->context, request, number);
}

sky_crash_verdict_t
SkyCrashWatch_Admit(sky_crash_watch_t *watch,
                    const sky_request_identity_t *identity, uint64_t now_ms,
                    uint32_t *retry_after_ms)
{
    const uint64_t fingerprints[] = {identity->request, identity->variant};
    sky_trial_turn_t turns[2];
    uint32_t count = 0;
    uint64_t wait_ms = 0;
    for (uint32_t i = 0; i < 2; i++) {
        if (is_quarantined(watch, fingerprints[i])) {
            sky_trial_turn_t turn =
                get_trial_turn(watch, fingerprints[i], now_ms);
            uint64_t turn_wait_ms = get_retry_after_ms(watch, &turn, now_ms);
            wait_ms = turn_wait_ms > wait_ms ? turn_wait_ms : wait_ms;
            turns[count++] = turn;
        }
    }
    if (count == 0) {
        return SKY_CRASH_ALLOWED;
    }
    if (!is_tester(watch, identity->request, turns, count)) {
        *retry_after_ms = (uint32_t)wait_ms;
        return SKY_CRASH_REFUSED;
    }
    for (uint32_t i = 0; i < count; i++) {
        SkyCrashTrials_Use(&watch->trials, turns[i].fingerprint, now_ms);
    }
    return SKY_CRASH_TRIAL;
}

uint64_t
SkyCrashWatch_GetQuarantineMs(const sky_crash_watch_t *watch,
                              uint64_t fingerprint, uint64_t now_ms)
{
    if (!is_quarantined(watch, fingerprint)) {
        return 0;
    }
    uint64_t end_ms =
        SkySuspects_QuarantineEnd(watch->suspects, fingerprint) / US_PER_MS;
    uint64_t left_ms = SkyTime_LeftMs(end_ms, now_ms);
    return left_ms > 0 ? left_ms : SUSPICION_CLEARED_MS;
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
SkyCrashWatch_ForEachAcquitted(const sky_crash_watch_t *watch,
                               sky_acquitted_visitor_t visit, void *context)
{
    SkyAcquittedCrashes_ForEach(watch->acquitted, visit, context);
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

void
SkyCrash_FormatValue(const sky_crash_value_t *value,
                     char text[SKY_CRASH_VALUE_BYTES])
{
    snprintf(text, SKY_CRASH_VALUE_BYTES, "%" PRIu64 "%s",
             value->confirmed_wall_ms,
             value->is_acquitted ? ACQUITTED_SUFFIX : "");
}

sky_crash_value_t
SkyCrash_ParseValue(const char *text)
{
    char *end = NULL;
    uint64_t wall_ms = strtoull(text, &end, 10);
    return (sky_crash_value_t){wall_ms, strcmp(end, ACQUITTED_SUFFIX) == 0};
}
