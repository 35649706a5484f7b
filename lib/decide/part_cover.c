#include "decide/part_cover.h"

/** Crashes after which a part is blamed that was answered before. */
#define ANSWERED_BLAME_CRASHES 5
/** Of these crashes, those that no other part may explain. */
#define UNEXPLAINED_CRASHES 1
/** Crashes that follow each other sooner count once. */
#define JOINT_LOSS_MS 150

bool
SkyTargetRun_Equals(const sky_target_run_t *one, const sky_target_run_t *other)
{
    return one->target == other->target && one->epoch == other->epoch;
}

bool
SkyPart_HasCrash(const sky_part_t *part, const sky_target_run_t *run)
{
    for (uint32_t i = 0; i < part->crash_count; i++) {
        if (SkyTargetRun_Equals(&part->crashes[i].run, run)) {
            return true;
        }
    }
    return false;
}

/* Whether a part of the cover was present at the crash. */
static bool
is_explained(const sky_part_cover_t *cover, const sky_target_run_t *run)
{
    for (uint32_t i = 0; i < cover->count; i++) {
        if (SkyPart_HasCrash(cover->parts[i], run)) {
            return true;
        }
    }
    return false;
}

/* Counts the settled crashes of the part that the cover does not explain;
 * those at about the same time count once. */
static uint32_t
count_crashes(const sky_part_t *part, const sky_part_cover_t *cover,
              uint64_t now_ms)
{
    uint32_t count = 0;
    uint64_t last_ms = 0;
    for (uint32_t i = 0; i < part->crash_count; i++) {
        const sky_part_crash_entry_t *crash = &part->crashes[i];
        bool is_joint = count > 0 &&
                        crash->recorded_ms < last_ms + JOINT_LOSS_MS &&
                        last_ms < crash->recorded_ms + JOINT_LOSS_MS;
        if (crash->recorded_ms + SKY_PART_SETTLE_MS <= now_ms && !is_joint &&
            !is_explained(cover, &crash->run)) {
            count++;
            last_ms = crash->recorded_ms;
        }
    }
    return count;
}

static void
choose(sky_part_cover_t *cover, sky_part_t *part)
{
    if (cover->count < SKY_PART_COVER_MAX) {
        part->is_chosen = true;
        cover->parts[cover->count++] = part;
    }
}

static uint32_t
blame_crashes(const sky_part_t *part)
{
    return part->was_answered ? ANSWERED_BLAME_CRASHES
                              : SKY_PART_BLAME_CRASHES;
}

/* Orders parts by how likely they are the cause, then by how few callers share
 * them: 1 if the first one goes before, 0 if they cannot be told apart. */
static int
compare_parts(const sky_part_t *one, uint32_t one_count,
              const sky_part_t *other, uint32_t other_count)
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
extend_cover(sky_part_t *parts, sky_part_cover_t *cover, uint64_t now_ms)
{
    static const sky_part_cover_t NOTHING;
    sky_part_cover_t best = {.count = 0};
    uint32_t best_count = 0;
    for (sky_part_t *part = parts; part != NULL; part = part->hh.next) {
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
        if (order >= 0 && best.count < SKY_PART_COVER_MAX) {
            best.parts[best.count++] = part;
        }
    }
    for (uint32_t i = 0; i < best.count; i++) {
        choose(cover, best.parts[i]);
    }
    return best.count > 0 && cover->count < SKY_PART_COVER_MAX;
}

void
SkyPartCover_Compute(sky_part_t *parts, uint64_t now_ms,
                     sky_part_cover_t *cover)
{
    cover->count = 0;
    for (sky_part_t *part = parts; part != NULL; part = part->hh.next) {
        part->is_chosen = false;
        if (part->is_final) {
            choose(cover, part);
        }
    }
    while (extend_cover(parts, cover, now_ms)) {
    }
}
