/**
 * @file part_cover.h
 * @brief The parts that explain crashes best; private to part_watch.c.
 */
#ifndef SKY_DECIDE_PART_COVER_H
#define SKY_DECIDE_PART_COVER_H

#include <uthash.h>

#include "decide/part_watch.h"

/** Evidence counts, and is told to other hosts, only then: answers that are on
 *  their way acquit most parts, and evidence of other hosts arrives. */
#define SKY_PART_SETTLE_MS 300
/** Kept for each part; the oldest is overwritten. */
#define SKY_PART_CRASHES_MAX 16
/** In one set cover: parts that crash targets at the same time are few. */
#define SKY_PART_COVER_MAX 64

typedef struct {
    sky_target_run_t run;
    uint64_t recorded_ms;
    bool is_known_to_others;
    bool is_reported; /**< as explained by this part */
} sky_part_crash_entry_t;

typedef struct sky_part {
    uint64_t id;
    uint32_t position; /**< furthest back in a prompt */
    bool was_answered; /**< before the first crash that is counted */
    sky_part_crash_entry_t crashes[SKY_PART_CRASHES_MAX];
    uint32_t crash_count;
    uint64_t acquitted_ms; /**< 0: never */
    bool is_blamed;
    bool is_final;  /**< blamed for good, but for an answer */
    bool is_chosen; /**< by the newest set cover */
    sky_part_blame_t blame;
    uint64_t updated_ms;
    UT_hash_handle hh;
} sky_part_t;

/** Parts that explain crashes. */
typedef struct {
    sky_part_t *parts[SKY_PART_COVER_MAX];
    uint32_t count;
} sky_part_cover_t;

bool SkyTargetRun_Equals(const sky_target_run_t *one,
                         const sky_target_run_t *other);

/** @return whether the part was present at the crash of this run. */
bool SkyPart_HasCrash(const sky_part_t *part, const sky_target_run_t *run);

/** Chooses the parts that explain the crashes, those whose blame is final
 *  first, and sets is_chosen.
 *  @param parts hash table, by id */
void SkyPartCover_Compute(sky_part_t *parts, uint64_t now_ms,
                          sky_part_cover_t *cover);

#endif
