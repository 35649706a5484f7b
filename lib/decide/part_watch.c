#include "decide/part_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/time_left.h"
#include "decide/part_cover.h"

/** Time after which a blame is final, but for an answer. */
#define BLAME_SETTLE_MS 1500
/** An answer is remembered for this long, by a hash of the part: two parts
 *  that collide both count as answered. */
#define ANSWER_MEMORY_MS 60000
#define ANSWER_SLOTS 8192
/** Time from a blame to its first trial, and the factor from one trial to the
 *  next. */
#define FIRST_TRIAL_MS 10000
#define TRIAL_FACTOR 6
#define TRIAL_DELAY_MAX_MS 3600000
#define RETRY_AFTER_MIN_MS 1000
#define PARTS_MAX 4096
#define EXPIRY_INTERVAL_MS 10000

struct sky_part_watch {
    sky_part_watch_options_t options;
    sky_part_t *parts;
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
set_blamed(sky_part_watch_t *watch, sky_part_t *part, bool is_blamed)
{
    watch->blame_count += (uint32_t)is_blamed - (uint32_t)part->is_blamed;
    part->is_blamed = is_blamed;
    part->is_final = part->is_final && is_blamed;
}

static void
remove_part(sky_part_watch_t *watch, sky_part_t *part)
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
    sky_part_t *part;
    sky_part_t *next;
    HASH_ITER(hh, watch->parts, part, next)
    {
        remove_part(watch, part);
    }
    free(watch);
}

static sky_part_t *
find_part(const sky_part_watch_t *watch, uint64_t id)
{
    sky_part_t *part;
    HASH_FIND(hh, watch->parts, &id, sizeof id, part);
    return part;
}

/* Removes the part that changed least recently and is not blamed. */
static void
evict_part(sky_part_watch_t *watch)
{
    sky_part_t *oldest = NULL;
    for (sky_part_t *part = watch->parts; part != NULL; part = part->hh.next) {
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
static sky_part_t *
find_or_add_part(sky_part_watch_t *watch, uint64_t id)
{
    sky_part_t *part = find_part(watch, id);
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
    sky_part_t *part = find_or_add_part(watch, crash->part);
    if (part == NULL || crash->recorded_ms <= part->acquitted_ms ||
        SkyPart_HasCrash(part, &crash->run)) {
        return;
    }
    if (part->crash_count == SKY_PART_CRASHES_MAX) {
        memmove(part->crashes, part->crashes + 1,
                (SKY_PART_CRASHES_MAX - 1) * sizeof *part->crashes);
        part->crash_count--;
    }
    part->crashes[part->crash_count++] =
        (sky_part_crash_entry_t){.run = crash->run,
                                 .recorded_ms = crash->recorded_ms,
                                 .is_known_to_others = is_known_to_others};
    part->position =
        crash->position > part->position ? crash->position : part->position;
    part->was_answered = part->was_answered || crash->was_answered;
    part->updated_ms = crash->recorded_ms;
    watch->is_changed = true;
    look_again_until(watch, crash->recorded_ms + SKY_PART_SETTLE_MS);
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
acquit(sky_part_watch_t *watch, sky_part_t *part, uint64_t now_ms)
{
    set_blamed(watch, part, false);
    part->crash_count = 0;
    part->was_answered = true;
    part->acquitted_ms = now_ms;
    part->updated_ms = now_ms;
    watch->is_changed = true;
}

static void
notify_acquittal(const sky_part_watch_t *watch, const sky_part_t *part)
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
        sky_part_t *part = find_part(watch, facts->parts[i].id);
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
    sky_part_t *known = find_part(watch, part);
    if (known != NULL) {
        acquit(watch, known, now_ms);
    }
}

void
SkyPartWatch_ApplyBlame(sky_part_watch_t *watch, const sky_part_blame_t *blame,
                        uint64_t now_ms)
{
    sky_part_t *part = find_or_add_part(watch, blame->part);
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
    for (sky_part_t *part = watch->parts; part != NULL; part = part->hh.next) {
        uint32_t kept = 0;
        for (uint32_t i = 0; i < part->crash_count; i++) {
            if (!SkyTargetRun_Equals(&part->crashes[i].run, run)) {
                part->crashes[kept++] = part->crashes[i];
            }
        }
        watch->is_changed = watch->is_changed || kept < part->crash_count;
        part->crash_count = kept;
    }
}

static void
notify_blame(const sky_part_watch_t *watch, const sky_part_t *part)
{
    sky_part_event_t event = {.kind = SKY_PART_EVENT_BLAMED,
                              .blame = part->blame};
    watch->options.on_event(watch->options.context, &event);
}

static void
report_explained(const sky_part_watch_t *watch, sky_part_t *part)
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
    sky_part_cover_t cover;
    SkyPartCover_Compute(watch->parts, now_ms, &cover);
    for (uint32_t i = 0; i < cover.count; i++) {
        sky_part_t *part = cover.parts[i];
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
    for (sky_part_t *part = watch->parts; part != NULL; part = part->hh.next) {
        if (part->is_blamed && !part->is_chosen && !part->is_final) {
            set_blamed(watch, part, false);
        }
    }
}

static sky_part_crash_t
make_crash(const sky_part_t *part, const sky_part_crash_entry_t *crash)
{
    return (sky_part_crash_t){.part = part->id,
                              .position = part->position,
                              .was_answered = part->was_answered,
                              .run = crash->run,
                              .recorded_ms = crash->recorded_ms};
}

static void
share_crashes(const sky_part_watch_t *watch, sky_part_t *part, uint64_t now_ms)
{
    for (uint32_t i = 0; i < part->crash_count; i++) {
        sky_part_crash_entry_t *crash = &part->crashes[i];
        if (!crash->is_known_to_others &&
            crash->recorded_ms + SKY_PART_SETTLE_MS <= now_ms) {
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
    sky_part_t *part;
    sky_part_t *next;
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
        for (sky_part_t *part = watch->parts; part != NULL;
             part = part->hh.next) {
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
            sky_part_t **blamed)
{
    uint32_t found = 0;
    uint32_t count =
        watch->blame_count > 0 ? SkyRequestFacts_SharedPartCount(facts) : 0;
    for (uint32_t i = 0; i < count; i++) {
        sky_part_t *part = find_part(watch, facts->parts[i].id);
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
    sky_part_t *blamed;
    return find_blamed(watch, facts, &blamed) > 0;
}

sky_part_verdict_t
SkyPartWatch_Admit(sky_part_watch_t *watch, const sky_request_facts_t *facts,
                   uint64_t now_ms, uint32_t *retry_after_ms)
{
    sky_part_t *part;
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
                          ? SkyTime_LeftMs32(trial_ms, now_ms)
                          : RETRY_AFTER_MIN_MS;
    return SKY_PART_REFUSED;
}

void
SkyPartWatch_ForEachCrash(const sky_part_watch_t *watch,
                          sky_part_crash_visitor_t visit, void *context)
{
    for (const sky_part_t *part = watch->parts; part != NULL;
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
    for (const sky_part_t *part = watch->parts; part != NULL;
         part = part->hh.next) {
        if (part->is_final) {
            visit(&part->blame, context);
        }
    }
}

const sky_part_blame_t *
SkyPartWatch_FindBlame(const sky_part_watch_t *watch, uint64_t part)
{
    const sky_part_t *known = find_part(watch, part);
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
