/**
 * @file part_watch.h
 * @brief Which parts of prompts crash targets: evidence, blame and trials.
 *
 * A crash breaks all exchanges of its target, so that each part of their
 * prompts is a possible cause. An answer that got past its start acquits the
 * parts of its request of all crashes before. The rest is a set cover: the
 * part that was present at most crashes is blamed once there are
 * SKY_PART_BLAME_CRASHES, and the crashes that it explains no longer count
 * against others. A part that was answered before its first crash is blamed
 * only for what no new part explains. Of parts that cannot be told apart,
 * those further back in the prompt are blamed, as fewer callers share them.
 * Crashes at about the same time count once: targets that are lost together
 * were not crashed by a request.
 *
 * Requests with a blamed part are refused. After a time that grows with each
 * trial, one host lets one of them through; its answer acquits the part.
 *
 * Each host keeps an account of its own. Evidence and acquittals are passed on
 * to the others at once, a blame only when it has lasted for a moment: until
 * then more evidence may release the part. The module does no I/O; times are
 * milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_PART_WATCH_H
#define SKY_DECIDE_PART_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/request_facts.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Crashes after which a part is blamed. */
#define SKY_PART_BLAME_CRASHES 3

typedef struct sky_part_watch sky_part_watch_t;

/** One run of a target: the low 32 bits of the hash of its id, and its start
 *  time as the epoch. */
typedef struct {
    uint32_t target;
    uint64_t epoch;
} sky_target_run_t;

/** A part that was present when a run of a target broke off. */
typedef struct {
    uint64_t part;
    uint32_t position; /**< in the prompt, from 0 */
    bool was_answered; /**< before the first crash that is counted */
    sky_target_run_t run;
    uint64_t recorded_ms;
} sky_part_crash_t;

/** A part whose requests are refused. */
typedef struct {
    uint64_t part;
    uint64_t since_ms;    /**< of the blame, or of the last trial */
    uint32_t trial_count; /**< that were let through */
} sky_part_blame_t;

typedef enum {
    SKY_PART_EVENT_CRASH,     /**< evidence that other hosts need */
    SKY_PART_EVENT_ACQUITTED, /**< an answer got past its start */
    SKY_PART_EVENT_BLAMED,    /**< the blame has lasted, or a trial began */
} sky_part_event_kind_t;

typedef struct {
    sky_part_event_kind_t kind;
    union {
        sky_part_crash_t crash; /**< SKY_PART_EVENT_CRASH */
        uint64_t acquitted;     /**< SKY_PART_EVENT_ACQUITTED: the part */
        sky_part_blame_t blame; /**< SKY_PART_EVENT_BLAMED */
    };
} sky_part_event_t;

typedef struct {
    uint64_t retention_ms; /**< time for which a part is blamed */
    /** To be told to the other hosts. */
    void (*on_event)(void *context, const sky_part_event_t *event);
    /** A crash that a blamed part explains: no other request caused it. */
    void (*on_explained)(void *context, const sky_target_run_t *run);
    /** @return whether this host is the one that tries the part. */
    bool (*is_tester)(void *context, const sky_part_blame_t *blame);
    void *context;
} sky_part_watch_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyPartWatch_Create(const sky_part_watch_options_t *options,
                                 sky_part_watch_t **watch);
void SkyPartWatch_Free(sky_part_watch_t *watch);

/** Records that an exchange of this host broke before its answer got past its
 *  start.
 *  @param facts of its request; their shared parts count */
void SkyPartWatch_RecordBrokenExchange(sky_part_watch_t *watch,
                                       const sky_request_facts_t *facts,
                                       const sky_target_run_t *run,
                                       uint64_t now_ms);
/** Records that an answer got past its start. */
void SkyPartWatch_RecordAnswer(sky_part_watch_t *watch,
                               const sky_request_facts_t *facts,
                               uint64_t now_ms);
/** Drops the evidence of a run of a target that did not crash. */
void SkyPartWatch_ClearRun(sky_part_watch_t *watch,
                           const sky_target_run_t *run);

/** The following apply what other hosts tell, or the store. */
void SkyPartWatch_ApplyCrash(sky_part_watch_t *watch,
                             const sky_part_crash_t *crash);
void SkyPartWatch_ApplyAcquittal(sky_part_watch_t *watch, uint64_t part,
                                 uint64_t now_ms);
void SkyPartWatch_ApplyBlame(sky_part_watch_t *watch,
                             const sky_part_blame_t *blame, uint64_t now_ms);

/** Blames and acquits by what was recorded. */
void SkyPartWatch_Tick(sky_part_watch_t *watch, uint64_t now_ms);

typedef enum {
    SKY_PART_ALLOWED,
    SKY_PART_TRIAL,   /**< allowed once, to see whether the part is sound */
    SKY_PART_REFUSED, /**< has a blamed part */
} sky_part_verdict_t;

/** Decides on a request that is to be sent. Each SKY_PART_TRIAL uses up a
 *  trial.
 *  @param retry_after_ms set if refused: time until a next trial */
sky_part_verdict_t SkyPartWatch_Admit(sky_part_watch_t *watch,
                                      const sky_request_facts_t *facts,
                                      uint64_t now_ms,
                                      uint32_t *retry_after_ms);
/** @return whether a part of the request is blamed. */
bool SkyPartWatch_IsBlamed(const sky_part_watch_t *watch,
                           const sky_request_facts_t *facts);

typedef void (*sky_part_crash_visitor_t)(const sky_part_crash_t *crash,
                                         void *context);
void SkyPartWatch_ForEachCrash(const sky_part_watch_t *watch,
                               sky_part_crash_visitor_t visit, void *context);
typedef void (*sky_part_blame_visitor_t)(const sky_part_blame_t *blame,
                                         void *context);
/** Leaves out a blame of which other hosts are not told yet. */
void SkyPartWatch_ForEachBlame(const sky_part_watch_t *watch,
                               sky_part_blame_visitor_t visit, void *context);
/** @return the blame of a part; NULL: it is not blamed. */
const sky_part_blame_t *SkyPartWatch_FindBlame(const sky_part_watch_t *watch,
                                               uint64_t part);

/** Size of a part's key in a keyed topic, with its NUL. */
#define SKY_PART_KEY_BYTES 24
void SkyPart_FormatKey(uint64_t part, char key[SKY_PART_KEY_BYTES]);
/** @return false if @p key is not the key of a part. */
bool SkyPart_ParseKey(const char *key, uint64_t *part);

#ifdef __cplusplus
}
#endif
#endif
