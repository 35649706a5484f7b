/**
 * @file crash_evidence.h
 * @brief What the end of an exchange says about its request: whether it may
 *        crash targets.
 *
 * A request that crashes targets crashes each one that begins to run it, so
 * that a whole answer speaks for it as a broken exchange speaks against it.
 * This is the only place that decides which end counts as which. The module
 * does no I/O.
 */
#ifndef SKY_DECIDE_CRASH_EVIDENCE_H
#define SKY_DECIDE_CRASH_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    SKY_CRASH_EVIDENCE_NONE,
    SKY_CRASH_EVIDENCE_AGAINST, /**< the target may have crashed */
    SKY_CRASH_EVIDENCE_FOR,     /**< a target ran the request to its end */
} sky_crash_evidence_t;

typedef enum {
    /** The connection broke, or brought bytes that are no response, after a
     *  byte of the request was sent. */
    SKY_EXCHANGE_END_BROKEN,
    /** The target was silent for too long, or until the deadline, after a byte
     *  of the request was sent. */
    SKY_EXCHANGE_END_SILENT,
    SKY_EXCHANGE_END_COMPLETE, /**< a response, whole by its framing */
} sky_exchange_end_kind_t;

/** The response of an exchange with SKY_EXCHANGE_END_COMPLETE. */
typedef struct {
    uint16_t status;
    bool is_targets;    /**< not made by the host that the request went to */
    bool is_refusal;    /**< says that the request was not run */
    bool is_sealed;     /**< has the target's seal */
    bool is_framed;     /**< has a length or chunks: a crash would cut it */
    bool lacks_body;    /**< ends where a body is due */
    bool ends_in_event; /**< the last event of its stream is cut */
} sky_exchange_response_t;

typedef struct {
    sky_exchange_end_kind_t kind;
    /** This host sent the request to a target itself. Else another host did,
     *  which knows what became of the target. */
    bool has_target;
    sky_exchange_response_t response; /**< SKY_EXCHANGE_END_COMPLETE */
} sky_exchange_end_t;

sky_crash_evidence_t SkyCrashEvidence_Judge(const sky_exchange_end_t *end);

#ifdef __cplusplus
}
#endif
#endif
