/**
 * @file crash_watch.h
 * @brief Which requests crashed targets: suspicion, confirmation, quarantine.
 *
 * An exchange that broke is a suspicion: the target may have crashed while it
 * ran the request. It is cleared as soon as the target is heard from, and
 * confirmed when the list of targets shows that this run of the target has
 * ended. A fingerprint with SKY_CRASH_LIMIT suspicions or crashes, each of
 * another run of a target, is quarantined. Of these, one does not count if
 * several other targets were lost at about the same time to which no request
 * of the fingerprint had been sent: they have another cause, and the request
 * may have been sound. With one more it is quarantined all the same.
 *
 * Hosts share suspicions, and each one clears or confirms them by what it
 * observes itself, or is told. A host that the network cuts off from a target
 * suspects what it sent there, and hears nothing that would clear it. Hosts
 * that reach the target but send it nothing therefore probe it, one after the
 * other, and tell all when it is heard. A crash names a run of a target: the
 * low 32 bits of the hash of the target's id, and the start time in its entry
 * as the epoch. The module does no I/O; times are milliseconds of the caller's
 * clock.
 */
#ifndef SKY_DECIDE_CRASH_WATCH_H
#define SKY_DECIDE_CRASH_WATCH_H

#include "core/result.h"
#include "decide/suspects.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Time for which hosts count a crash, and blame a prompt part. Callers repeat
 *  a request for minutes; an operator needs some to react. */
#define SKY_CRASH_RETENTION_MS 600000

typedef struct sky_crash_watch sky_crash_watch_t;

/** What this host knows of a target now. */
typedef struct {
    bool is_listed;
    bool is_leaving;       /**< it will end anyway */
    uint64_t epoch;        /**< of its current run */
    uint64_t last_byte_ms; /**< last byte that this host received from it */
    uint64_t heard_by_others_ms; /**< another host, as far as it was told */
    bool can_probe;              /**< this host may reach it */
    uint32_t probe_delay_ms;     /**< if it can: leaves other hosts the time to
                                      tell what they heard */
} sky_crash_target_state_t;

typedef enum {
    SKY_CRASH_SUSPECTED, /**< still silent a moment later: tell other hosts */
    SKY_CRASH_CLEARED,   /**< the target did not crash */
    SKY_CRASH_CONFIRMED, /**< by the list of targets */
    SKY_CRASH_UNHEARD,   /**< others suspect it as well: probe the target */
    /** Other hosts suspect a run that this one has heard from since: tell
     *  them. Follows SKY_CRASH_CLEARED. */
    SKY_CRASH_RUN_HEARD,
} sky_crash_event_t;

typedef struct {
    uint64_t retention_ms; /**< time for which a crash is counted */
    sky_crash_target_state_t (*get_target_state)(void *context,
                                                 uint32_t target);
    /** Called by SkyCrashWatch_Tick(). */
    void (*on_event)(void *context, sky_crash_event_t event,
                     const sky_rec_crash_t *crash);
    void *context;
} sky_crash_watch_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyCrashWatch_Create(const sky_crash_watch_options_t *options,
                                  sky_crash_watch_t **watch);
void SkyCrashWatch_Free(sky_crash_watch_t *watch);

/** Records an exchange of this host that broke after the request was sent.
 *  @return false if too many suspicions are open already: it is not kept */
bool SkyCrashWatch_RecordBrokenExchange(sky_crash_watch_t *watch,
                                        const sky_rec_crash_t *crash,
                                        uint64_t now_ms);
/** Records a suspicion of another host. @return as above */
bool SkyCrashWatch_RecordSharedSuspicion(sky_crash_watch_t *watch,
                                         const sky_rec_crash_t *crash,
                                         uint64_t now_ms);
/** Records a crash that another host confirmed at @p confirmed_ms. */
void SkyCrashWatch_RecordCrash(sky_crash_watch_t *watch,
                               const sky_rec_crash_t *crash,
                               uint64_t confirmed_ms);
/** Forgets what was recorded of a run of a target: its crash has a cause that
 *  is not one request. */
void SkyCrashWatch_DropRun(sky_crash_watch_t *watch, uint32_t target,
                           uint64_t epoch);
/** Clears or confirms suspicions and drops what is older than the retention
 *  time. */
void SkyCrashWatch_Tick(sky_crash_watch_t *watch, uint64_t now_ms);

/** @return time for which requests of the fingerprint must not be sent; 0: not
 *          quarantined. */
uint64_t SkyCrashWatch_GetQuarantineMs(const sky_crash_watch_t *watch,
                                       uint64_t fingerprint, uint64_t now_ms);
/** @return whether the crash is counted and confirmed. */
bool SkyCrashWatch_IsCrash(const sky_crash_watch_t *watch,
                           const sky_rec_crash_t *crash);
/** Calls @p visit for each suspicion and crash that is counted. */
void SkyCrashWatch_ForEach(const sky_crash_watch_t *watch,
                           sky_suspects_visitor_t visit, void *context);

/** Size of a crash's key, with its NUL. */
#define SKY_CRASH_KEY_BYTES 48
/** Writes the key of a crash in a keyed topic. */
void SkyCrash_FormatKey(const sky_rec_crash_t *crash,
                        char key[SKY_CRASH_KEY_BYTES]);
/** @return false if @p key is not the key of a crash. */
bool SkyCrash_ParseKey(const char *key, sky_rec_crash_t *crash);

#ifdef __cplusplus
}
#endif
#endif
