#include "decide/part_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/** Evidence counts, and is told to other hosts, only then: answers that are on
 *  their way acquit most parts, and evidence of other hosts arrives. */
#define SETTLE_MS 300
/** Time after which a blame is final, but for an answer. */
#define BLAME_SETTLE_MS 1500
/** Crashes after which a part is blamed that was answered before. */
#define ANSWERED_BLAME_CRASHES 5
/** Of these crashes, those that no other part may explain. */
#define UNEXPLAINED_CRASHES 1
/** An answer is remembered for this long, by a hash of the part: two parts
 *  that collide both count as answered. */
#define ANSWER_MEMORY_MS 60000
#define ANSWER_SLOTS 8192
/** Crashes that follow each other sooner count once. */
#define JOINT_LOSS_MS 150
/** Time from a blame to its first trial, and the factor from one trial to the
 *  next. */
#define FIRST_TRIAL_MS 10000
#define TRIAL_FACTOR 6
#define TRIAL_DELAY_MAX_MS 3600000
#define RETRY_AFTER_MIN_MS 1000
/** Kept for each part; the oldest is overwritten. */
#define CRASHES_PER_PART 16
#define PARTS_MAX 4096
/** In one set cover: parts that crash targets at the same time are few. */
#define CHOSEN_MAX 64
#define EXPIRY_INTERVAL_MS 10000

typedef struct {
    sky_target_run_t run;
    uint64_t recorded_ms;
    bool is_known_to_others;
    bool is_reported; /**< as explained by this part */
} crash_t;

typedef struct part {
    uint64_t id;
    uint32_t position; /**< furthest back in a prompt */
    bool was_answered; /**< before the first crash that is counted */
    crash_t crashes[CRASHES_PER_PART];
    uint32_t crash_count;
    uint64_t acquitted_ms; /**< 0: never */
    bool is_blamed;
    bool is_final;  /**< blamed for good, but for an answer */
    bool is_chosen; /**< by the newest set cover */
    sky_part_blame_t blame;
    uint64_t updated_ms;
    UT_hash_handle hh;
} part_t;

/** Parts that explain crashes. */
typedef struct {
    part_t *parts[CHOSEN_MAX];
    uint32_t count;
} cover_t;

struct sky_part_watch {
    sky_part_watch_options_t options;
    part_t *parts;
    uint32_t part_count;
    uint32_t blame_count;
    bool is_changed;     /**< evidence came or went since the last set cover */
    uint64_t settles_ms; /**< when all evidence counts, and each blame is
                              final; 0: they are */
    uint64_t expired_ms; /**< time of the last expiry */
    uint64_t answered_ms[ANSWER_SLOTS];
};

sky_result_t
SkyPartWatch_Create(const sky_part_watch_options_t *options,
                    sky_part_watch_t **watch)
{
    sky_part_watch_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    *watch = self;
    return SKY_OK;
}

static void
set_blamed(sky_part_watch_t *watch, part_t *part, bool is_blamed)
{
    watch->blame_count += (uint32_t)is_blamed - (uint32_t)part->is_blamed;
    part->is_blamed = is_blamed;
    part->is_final = part->is_final && is_blamed;
}

static void
remove_part(sky_part_watch_t *watch, part_t *part)
{
    set_blamed(watch, part, false);
    HASH_DEL(watch->parts, part);
    watch->part_count--;
    free(part);
}

void
SkyPartWatch_Free(sky_part_watch_t *watch)
{
    if (watch == NULL) {
        return;
    }
    part_t *part;
    part_t *next;
    HASH_ITER(hh, watch->parts, part, next)
    {
        remove_part(watch, part);
    }
    free(watch);
}

static part_t *
find_part(const sky_part_watch_t *watch, uint64_t id)
{
    part_t *part;
    HASH_FIND(hh, watch->parts, &id, sizeof id, part);
    return part;
}

/* Removes the part that changed least recently and is not blamed. */
static void
evict_part(sky_part_watch_t *watch)
{
    part_t *oldest = NULL;
    for (part_t *part = watch->parts; part != NULL; part = part->hh.next) {
        if (!part->is_blamed &&
            (oldest == NULL || part->updated_ms < oldest->updated_ms)) {
            oldest = part;
        }
    }
    if (oldest != NULL) {
        remove_part(watch, oldest);
    }
}

/* Returns NULL if memory ran out, or if all parts kept are blamed. */
static part_t *
find_or_add_part(sky_part_watch_t *watch, uint64_t id)
{
    part_t *part = find_part(watch, id);
    if (part != NULL) {
        return part;
    }
    if (watch->part_count == PARTS_MAX) {
        evict_part(watch);
    }
    part = watch->part_count < PARTS_MAX ? calloc(1, sizeof *part) : NULL;
    if (part != NULL) {
        part->id = id;
        HASH_ADD(hh, watch->parts, id, sizeof id, part);
        watch->part_count++;
    }
    return part;
}

static uint64_t *
find_answer_slot(sky_part_watch_t *watch, uint64_t part)
{
    uint64_t hash = (part ^ (part >> 32)) * UINT64_C(0x9e3779b97f4a7c15);
    return &watch->answered_ms[(hash >> 32) % ANSWER_SLOTS];
}

static bool
is_same_run(const sky_target_run_t *one, const sky_target_run_t *other)
{
    return one->target == other->target && one->epoch == other->epoch;
}

static bool
has_crash(const part_t *part, const sky_target_run_t *run)
{
    for (uint32_t i = 0; i < part->crash_count; i++) {
        if (is_same_run(&part->crashes[i].run, run)) {
            return true;
        }
    }
    return false;
}

/* Has ticks up to that time decide again, though nothing may have changed. */
static void
look_again_until(sky_part_watch_t *watch, uint64_t time_ms)
{
    watch->settles_ms =
        watch->settles_ms < time_ms ? time_ms : watch->settles_ms;
}

static void
record_crash(sky_part_watch_t *watch, const sky_part_crash_t *crash,
             bool is_known_to_others)
{
    part_t *part = find_or_add_part(watch, crash->part);
    if (part == NULL || crash->recorded_ms <= part->acquitted_ms ||
        has_crash(part, &crash->run)) {
        return;
    }
    if (part->crash_count == CRASHES_PER_PART) {
        memmove(part->crashes, part->crashes + 1,
                (CRASHES_PER_PART - 1) * sizeof *part->crashes);
        part->crash_count--;
    }
    part->crashes[part->crash_count++] =
        (crash_t){.run = crash->run,
                  .recorded_ms = crash->recorded_ms,
                  .is_known_to_others = is_known_to_others};
    part->position =
        crash->position > part->position ? crash->position : part->position;
    part->was_answered = part->was_answered || crash->was_answered;
    part->updated_ms = crash->recorded_ms;
    watch->is_changed = true;
    look_again_until(watch, crash->recorded_ms + SETTLE_MS);
}

void
SkyPartWatch_RecordBrokenExchange(sky_part_watch_t *watch,
                                  const sky_request_facts_t *facts,
                                  const sky_target_run_t *run, uint64_t now_ms)
{
    uint32_t count = SkyRequestFacts_SharedPartCount(facts);
    for (uint32_t i = 0; i < count; i++) {
        uint64_t id = facts->parts[i].id;
        uint64_t answered_ms = *find_answer_slot(watch, id);
        sky_part_crash_t crash = {
            .part = id,
            .position = i,
            .was_answered =
                answered_ms > 0 && now_ms < answered_ms + ANSWER_MEMORY_MS,
            .run = *run,
            .recorded_ms = now_ms,
        };
        record_crash(watch, &crash, false);
    }
}

void
SkyPartWatch_ApplyCrash(sky_part_watch_t *watch, const sky_part_crash_t *crash)
{
    record_crash(watch, crash, true);
}

/* Drops all evidence against the part and its blame. */
static void
acquit(sky_part_watch_t *watch, part_t *part, uint64_t now_ms)
{
    set_blamed(watch, part, false);
    part->crash_count = 0;
    part->was_answered = true;
    part->acquitted_ms = now_ms;
    part->updated_ms = now_ms;
    watch->is_changed = true;
}

static void
notify_acquittal(const sky_part_watch_t *watch, const part_t *part)
{
    sky_part_event_t event = {.kind = SKY_PART_EVENT_ACQUITTED,
                              .acquitted = part->id};
    watch->options.on_event(watch->options.context, &event);
}

void
SkyPartWatch_RecordAnswer(sky_part_watch_t *watch,
                          const sky_request_facts_t *facts, uint64_t now_ms)
{
    uint32_t count = SkyRequestFacts_SharedPartCount(facts);
    for (uint32_t i = 0; i < count; i++) {
        part_t *part = find_part(watch, facts->parts[i].id);
        *find_answer_slot(watch, facts->parts[i].id) = now_ms;
        if (part != NULL && (part->crash_count > 0 || part->is_blamed)) {
            acquit(watch, part, now_ms);
            notify_acquittal(watch, part);
        }
    }
}

void
SkyPartWatch_ApplyAcquittal(sky_part_watch_t *watch, uint64_t part,
                            uint64_t now_ms)
{
    part_t *known = find_part(watch, part);
    if (known != NULL) {
        acquit(watch, known, now_ms);
    }
}

void
SkyPartWatch_ApplyBlame(sky_part_watch_t *watch, const sky_part_blame_t *blame,
                        uint64_t now_ms)
{
    part_t *part = find_or_add_part(watch, blame->part);
    if (part == NULL || blame->since_ms <= part->acquitted_ms ||
        blame->since_ms + watch->options.retention_ms < now_ms) {
        return;
    }
    if (!part->is_blamed || blame->trial_count > part->blame.trial_count) {
        part->blame = *blame;
        part->updated_ms = blame->since_ms;
        watch->is_changed = true;
    }
    set_blamed(watch, part, true);
    part->is_final = true;
}

void
SkyPartWatch_ClearRun(sky_part_watch_t *watch, const sky_target_run_t *run)
{
    for (part_t *part = watch->parts; part != NULL; part = part->hh.next) {
        uint32_t kept = 0;
        for (uint32_t i = 0; i < part->crash_count; i++) {
            if (!is_same_run(&part->crashes[i].run, run)) {
                part->crashes[kept++] = part->crashes[i];
            }
        }
        watch->is_changed = watch->is_changed || kept < part->crash_count;
        part->crash_count = kept;
    }
}

/* Whether a part of the cover was present at the crash. */
static bool
is_explained(const cover_t *cover, const sky_target_run_t *run)
{
    for (uint32_t i = 0; i < cover->count; i++) {
        if (has_crash(cover->parts[i], run)) {
            return true;
        }
    }
    return false;
}

/* Counts the settled crashes of the part that the cover does not explain;
 * those at about the same time count once. */
static uint32_t
count_crashes(const part_t *part, const cover_t *cover, uint64_t now_ms)
{
    uint32_t count = 0;
    uint64_t last_ms = 0;
    for (uint32_t i = 0; i < part->crash_count; i++) {
        const crash_t *crash = &part->crashes[i];
        bool is_joint = count > 0 &&
                        crash->recorded_ms < last_ms + JOINT_LOSS_MS &&
                        last_ms < crash->recorded_ms + JOINT_LOSS_MS;
        if (crash->recorded_ms + SETTLE_MS <= now_ms && !is_joint &&
            !is_explained(cover, &crash->run)) {
            count++;
            last_ms = crash->recorded_ms;
        }
    }
    return count;
}

static void
choose(cover_t *cover, part_t *part)
{
    if (cover->count < CHOSEN_MAX) {
        part->is_chosen = true;
        cover->parts[cover->count++] = part;
    }
}

static uint32_t
blame_crashes(const part_t *part)
{
    return part->was_answered ? ANSWERED_BLAME_CRASHES
                              : SKY_PART_BLAME_CRASHES;
}

/* Orders parts by how likely they are the cause, then by how few callers share
 * them: 1 if the first one goes before, 0 if they cannot be told apart. */
static int
compare_parts(const part_t *one, uint32_t one_count, const part_t *other,
              uint32_t other_count)
{
    if (one->was_answered != other->was_answered) {
        return one->was_answered ? -1 : 1;
    }
    if (one_count != other_count) {
        return one_count > other_count ? 1 : -1;
    }
    return (one->position > other->position) -
           (one->position < other->position);
}

/* Adds the likeliest parts by the crashes that the cover does not explain.
 * Returns false if none was present at enough of them. */
static bool
extend_cover(const sky_part_watch_t *watch, cover_t *cover, uint64_t now_ms)
{
    static const cover_t NOTHING;
    cover_t best = {.count = 0};
    uint32_t best_count = 0;
    for (part_t *part = watch->parts; part != NULL; part = part->hh.next) {
        if (part->is_chosen || part->crash_count < blame_crashes(part)) {
            continue;
        }
        uint32_t count = count_crashes(part, cover, now_ms);
        if (count < UNEXPLAINED_CRASHES ||
            count_crashes(part, &NOTHING, now_ms) < blame_crashes(part)) {
            continue;
        }
        int order = best.count > 0
                        ? compare_parts(part, count, best.parts[0], best_count)
                        : 1;
        if (order > 0) {
            best.count = 0;
            best_count = count;
        }
        if (order >= 0 && best.count < CHOSEN_MAX) {
            best.parts[best.count++] = part;
        }
    }
    for (uint32_t i = 0; i < best.count; i++) {
        choose(cover, best.parts[i]);
    }
    return best.count > 0 && cover->count < CHOSEN_MAX;
}

/* Chooses the parts that explain the crashes, those whose blame is final
 * first. */
static void
cover_crashes(const sky_part_watch_t *watch, cover_t *cover, uint64_t now_ms)
{
    cover->count = 0;
    for (part_t *part = watch->parts; part != NULL; part = part->hh.next) {
        part->is_chosen = false;
        if (part->is_final) {
            choose(cover, part);
        }
    }
    while (extend_cover(watch, cover, now_ms)) {
    }
}

static void
notify_blame(const sky_part_watch_t *watch, const part_t *part)
{
    sky_part_event_t event = {.kind = SKY_PART_EVENT_BLAMED,
                              .blame = part->blame};
    watch->options.on_event(watch->options.context, &event);
}

static void
report_explained(const sky_part_watch_t *watch, part_t *part)
{
    for (uint32_t i = 0; i < part->crash_count; i++) {
        if (!part->crashes[i].is_reported) {
            part->crashes[i].is_reported = true;
            watch->options.on_explained(watch->options.context,
                                        &part->crashes[i].run);
        }
    }
}

static void
update_blame(sky_part_watch_t *watch, uint64_t now_ms)
{
    cover_t cover;
    cover_crashes(watch, &cover, now_ms);
    for (uint32_t i = 0; i < cover.count; i++) {
        part_t *part = cover.parts[i];
        if (!part->is_blamed) {
            set_blamed(watch, part, true);
            part->blame = (sky_part_blame_t){part->id, now_ms, 0};
            look_again_until(watch, now_ms + BLAME_SETTLE_MS);
        }
        else if (!part->is_final &&
                 part->blame.since_ms + BLAME_SETTLE_MS <= now_ms) {
            part->is_final = true;
            notify_blame(watch, part);
        }
        if (part->is_final) {
            report_explained(watch, part);
        }
    }
    for (part_t *part = watch->parts; part != NULL; part = part->hh.next) {
        if (part->is_blamed && !part->is_chosen && !part->is_final) {
            set_blamed(watch, part, false);
        }
    }
}

static sky_part_crash_t
make_crash(const part_t *part, const crash_t *crash)
{
    return (sky_part_crash_t){.part = part->id,
                              .position = part->position,
                              .was_answered = part->was_answered,
                              .run = crash->run,
                              .recorded_ms = crash->recorded_ms};
}

static void
share_crashes(const sky_part_watch_t *watch, part_t *part, uint64_t now_ms)
{
    for (uint32_t i = 0; i < part->crash_count; i++) {
        crash_t *crash = &part->crashes[i];
        if (!crash->is_known_to_others &&
            crash->recorded_ms + SETTLE_MS <= now_ms) {
            crash->is_known_to_others = true;
            sky_part_event_t event = {.kind = SKY_PART_EVENT_CRASH,
                                      .crash = make_crash(part, crash)};
            watch->options.on_event(watch->options.context, &event);
        }
    }
}

static void
expire(sky_part_watch_t *watch, uint64_t now_ms)
{
    part_t *part;
    part_t *next;
    HASH_ITER(hh, watch->parts, part, next)
    {
        uint64_t changed_ms =
            part->is_blamed ? part->blame.since_ms : part->updated_ms;
        if (changed_ms + watch->options.retention_ms < now_ms) {
            remove_part(watch, part);
        }
    }
}

void
SkyPartWatch_Tick(sky_part_watch_t *watch, uint64_t now_ms)
{
    if (watch->is_changed || watch->settles_ms > 0) {
        watch->is_changed = false;
        watch->settles_ms =
            watch->settles_ms <= now_ms ? 0 : watch->settles_ms;
        for (part_t *part = watch->parts; part != NULL; part = part->hh.next) {
            share_crashes(watch, part, now_ms);
        }
        update_blame(watch, now_ms);
    }
    if (now_ms >= watch->expired_ms + EXPIRY_INTERVAL_MS) {
        watch->expired_ms = now_ms;
        expire(watch, now_ms);
    }
}

static uint64_t
next_trial_ms(const sky_part_blame_t *blame)
{
    uint64_t delay_ms = FIRST_TRIAL_MS;
    for (uint32_t i = 0;
         i < blame->trial_count && delay_ms < TRIAL_DELAY_MAX_MS; i++) {
        delay_ms *= TRIAL_FACTOR;
    }
    return blame->since_ms + delay_ms;
}

/* Returns the number of blamed parts of the request, and the last of them. */
static uint32_t
find_blamed(const sky_part_watch_t *watch, const sky_request_facts_t *facts,
            part_t **blamed)
{
    uint32_t found = 0;
    uint32_t count =
        watch->blame_count > 0 ? SkyRequestFacts_SharedPartCount(facts) : 0;
    for (uint32_t i = 0; i < count; i++) {
        part_t *part = find_part(watch, facts->parts[i].id);
        if (part != NULL && part->is_blamed) {
            *blamed = part;
            found++;
        }
    }
    return found;
}

bool
SkyPartWatch_IsBlamed(const sky_part_watch_t *watch,
                      const sky_request_facts_t *facts)
{
    part_t *blamed;
    return find_blamed(watch, facts, &blamed) > 0;
}

sky_part_verdict_t
SkyPartWatch_Admit(sky_part_watch_t *watch, const sky_request_facts_t *facts,
                   uint64_t now_ms, uint32_t *retry_after_ms)
{
    part_t *part;
    uint32_t count = find_blamed(watch, facts, &part);
    if (count == 0) {
        return SKY_PART_ALLOWED;
    }
    uint64_t trial_ms = next_trial_ms(&part->blame);
    /* With two such parts a trial would not show which of them is sound. */
    if (count == 1 && now_ms >= trial_ms &&
        watch->options.is_tester(watch->options.context, &part->blame)) {
        part->blame.trial_count++;
        part->blame.since_ms = now_ms;
        notify_blame(watch, part);
        return SKY_PART_TRIAL;
    }
    *retry_after_ms = now_ms + RETRY_AFTER_MIN_MS < trial_ms
                          ? (uint32_t)(trial_ms - now_ms)
                          : RETRY_AFTER_MIN_MS;
    return SKY_PART_REFUSED;
}

void
SkyPartWatch_ForEachCrash(const sky_part_watch_t *watch,
                          sky_part_crash_visitor_t visit, void *context)
{
    for (const part_t *part = watch->parts; part != NULL;
         part = part->hh.next) {
        for (uint32_t i = 0; i < part->crash_count; i++) {
            sky_part_crash_t crash = make_crash(part, &part->crashes[i]);
            visit(&crash, context);
        }
    }
}

void
SkyPartWatch_ForEachBlame(const sky_part_watch_t *watch,
                          sky_part_blame_visitor_t visit, void *context)
{
    for (const part_t *part = watch->parts; part != NULL;
         part = part->hh.next) {
        if (part->is_final) {
            visit(&part->blame, context);
        }
    }
}

const sky_part_blame_t *
SkyPartWatch_FindBlame(const sky_part_watch_t *watch, uint64_t part)
{
    const part_t *known = find_part(watch, part);
    return known != NULL && known->is_blamed ? &known->blame : NULL;
}

void
SkyPart_FormatKey(uint64_t part, char key[SKY_PART_KEY_BYTES])
{
    snprintf(key, SKY_PART_KEY_BYTES, "part.%016" PRIx64, part);
}

bool
SkyPart_ParseKey(const char *key, uint64_t *part)
{
    return sscanf(key, "part.%16" SCNx64, part) == 1;
}
