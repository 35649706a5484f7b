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
 * An answer acquits: a request that crashes targets crashes each one that
 * begins to run it, so that a whole answer to a request that was sent after
 * this host knew of a crash shows that the crash had another cause. With each
 * crash of a fingerprint that was acquitted, the next one needs more answers.
 * An acquitted crash never counts again, whoever tells it.
 *
 * Requests of the same method, path and body may differ in ways that decide
 * whether they crash a target. Those of one variant (sky_request_identity_t)
 * are therefore watched by themselves as well, as soon as a request of the
 * same path and body was answered: the answers to others do not acquit it, and
 * its quarantine leaves the others alone.
 *
 * A crash that a quarantined request explains which was never answered does
 * not count against one that was.
 *
 * A quarantine stops the answers that could end it. If the fingerprint was
 * answered before, one host after the other may therefore let one request of
 * it through, a second after its last crash, and later after a second wave of
 * crashes.
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
#include "decide/acquitted_crashes.h"
#include "decide/crash_evidence.h"
#include "decide/request_facts.h"
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
    /** Answers show that the request did not cause it. Other hosts count it:
     *  tell them. */
    SKY_CRASH_ACQUITTED,
} sky_crash_event_t;

/** A quarantine that begins or ends, by the crash that is counted or not. */
typedef struct {
    bool has_begun;
    sky_rec_crash_t crash;
    uint32_t crash_count; /**< that count against the fingerprint now */
} sky_quarantine_change_t;

typedef struct {
    uint64_t retention_ms; /**< time for which a crash is counted */
    sky_crash_target_state_t (*get_target_state)(void *context,
                                                 uint32_t target);
    void (*on_event)(void *context, sky_crash_event_t event,
                     const sky_rec_crash_t *crash);
    /** For the log; or NULL. */
    void (*on_quarantine)(void *context,
                          const sky_quarantine_change_t *change);
    /** @return whether this host is the one that may let a quarantined request
     *  through in this turn, by sky_request_identity_t.request. NULL: it
     * always is */
    bool (*is_tester)(void *context, uint64_t request, uint64_t turn);
    void *context;
} sky_crash_watch_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyCrashWatch_Create(const sky_crash_watch_options_t *options,
                                  sky_crash_watch_t **watch);
void SkyCrashWatch_Free(sky_crash_watch_t *watch);

/** An exchange of this host that ended, with what it says of its request. */
typedef struct {
    const sky_request_identity_t *identity;
    uint32_t target; /**< SKY_CRASH_EVIDENCE_AGAINST: the run of the target */
    uint64_t epoch;
    uint64_t sent_ms; /**< when the request was sent */
    sky_crash_evidence_t evidence;
} sky_crash_exchange_t;

/** Records what an exchange of this host says of its request.
 *  @return false if too many suspicions are open already: it is not kept */
bool SkyCrashWatch_RecordExchange(sky_crash_watch_t *watch,
                                  const sky_crash_exchange_t *exchange,
                                  uint64_t now_ms);
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
                               uint64_t confirmed_ms, uint64_t now_ms);
/** Records that another host acquitted a request of a crash. */
void SkyCrashWatch_ApplyAcquittal(sky_crash_watch_t *watch,
                                  const sky_rec_crash_t *crash,
                                  uint64_t now_ms);
/** Forgets what was recorded of a run of a target: its crash has a cause that
 *  is not one request. */
void SkyCrashWatch_DropRun(sky_crash_watch_t *watch, uint32_t target,
                           uint64_t epoch);
/** Clears or confirms suspicions and drops what is older than the retention
 *  time. */
void SkyCrashWatch_Tick(sky_crash_watch_t *watch, uint64_t now_ms);

typedef enum {
    SKY_CRASH_ALLOWED,
    SKY_CRASH_TRIAL, /**< allowed once, to see whether the request is sound */
    SKY_CRASH_REFUSED, /**< quarantined */
} sky_crash_verdict_t;

/** Decides on a request that is to be sent. Each SKY_CRASH_TRIAL uses up a
 *  turn.
 *  @param retry_after_ms set if refused: until the next trial, or the end of
 *         the quarantine */
sky_crash_verdict_t SkyCrashWatch_Admit(sky_crash_watch_t *watch,
                                        const sky_request_identity_t *identity,
                                        uint64_t now_ms,
                                        uint32_t *retry_after_ms);
/** @return whether the request, or its variant, is quarantined. */
bool SkyCrashWatch_IsQuarantined(const sky_crash_watch_t *watch,
                                 const sky_request_identity_t *identity);
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

/** Calls @p visit for each acquitted crash. */
void SkyCrashWatch_ForEachAcquitted(const sky_crash_watch_t *watch,
                                    sky_acquitted_visitor_t visit,
                                    void *context);

/** Size of a crash's key, with its NUL. */
#define SKY_CRASH_KEY_BYTES 48
/** Writes the key of a crash in a keyed topic. */
void SkyCrash_FormatKey(const sky_rec_crash_t *crash,
                        char key[SKY_CRASH_KEY_BYTES]);
/** @return false if @p key is not the key of a crash. */
bool SkyCrash_ParseKey(const char *key, sky_rec_crash_t *crash);

/** Size of the value of a crash's record, with its NUL. */
#define SKY_CRASH_VALUE_BYTES 48
/** The value of a crash's record. Earlier builds read the time alone. */
typedef struct {
    uint64_t confirmed_wall_ms; /**< on the wall clock */
    bool is_acquitted;
} sky_crash_value_t;
void SkyCrash_FormatValue(const sky_crash_value_t *value,
                          char text[SKY_CRASH_VALUE_BYTES]);
sky_crash_value_t SkyCrash_ParseValue(const char *text);

#ifdef __cplusplus
}
#endif
#endif
