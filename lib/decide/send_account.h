/**
 * @file send_account.h
 * @brief The sends of one request, and what proves that they did not run it.
 *
 * A status such as 503 promises the caller that the request did not run and
 * never will. The account is the only source of whether that may be said, and
 * of whether a request that must not run twice may be sent again. A send
 * counts as one that may have run unless its end proves the contrary; a send
 * that has not ended may have run. The number of sends is not limited. The
 * module does no I/O.
 */
#ifndef SKY_DECIDE_SEND_ACCOUNT_H
#define SKY_DECIDE_SEND_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/deployment.h"

#ifdef __cplusplus
extern "C" {
#endif

/** The sends of a request by this host, to targets and to other hosts.
 *  Zero-initialised: not sent yet. */
typedef struct {
    uint64_t begun_count;
    uint64_t not_run_count; /**< of these, proved not to have run */
    bool is_open;           /**< the last one has not ended */
} sky_send_account_t;

typedef enum {
    /** No answer that counts: the exchange broke, was garbled, silent or
     *  cancelled after a byte of the request had left. */
    SKY_SEND_NO_ANSWER,
    SKY_SEND_UNSENT,   /**< no byte of the request left this host */
    SKY_SEND_RESPONSE, /**< a target responded */
    SKY_SEND_PEER,     /**< the host that it was passed on to responded */
} sky_send_evidence_kind_t;

/** A target's response. */
typedef struct {
    uint16_t status;
    bool is_marked;     /**< has the mark of a request that did not run */
    bool names_request; /**< has the id of this request */
    /** The response arrived whole, or its whole head did and this host itself
     *  stopped to read the rest. */
    bool is_whole;
} sky_send_response_t;

/** What the host says that the request was passed on to. */
typedef struct {
    bool says_not_run;
    bool is_proved; /**< it states that its own account proves it */
    bool names_request;
    bool is_whole;
} sky_send_peer_t;

/** How a send ended. */
typedef struct {
    sky_send_evidence_kind_t kind;
    union {
        sky_send_response_t response; /**< SKY_SEND_RESPONSE */
        sky_send_peer_t peer;         /**< SKY_SEND_PEER */
    };
} sky_send_evidence_t;

/** Records that the request is about to be sent. */
void SkySendAccount_Begin(sky_send_account_t *account);

/** Records how the open send ended. Without one, nothing is recorded.
 *  @return whether it is proved that this send did not run the request. A
 *          peer's word without its proof counts only if the request may be
 *          repeated: earlier builds give no proof. */
bool SkySendAccount_End(sky_send_account_t *account,
                        sky_retry_policy_t retry_policy,
                        const sky_send_evidence_t *evidence);

/** @return whether any send may have run the request. */
bool SkySendAccount_MayHaveRun(const sky_send_account_t *account);

/** @return whether the request may be sent once more. */
bool SkySendAccount_MaySendAgain(const sky_send_account_t *account,
                                 sky_retry_policy_t retry_policy);

/** A status that is about to be sent to the caller. */
typedef struct {
    uint16_t status;
    bool is_targets; /**< with the target's fields and body; else this host's
                          own */
    bool is_past_deadline;
    sky_retry_policy_t retry_policy;
} sky_send_status_t;

/** @return the status that may be sent: the given one, or 502 (504 past the
 *          deadline) in place of one that promises what is not known. If it
 *          differs, the target's fields and body must not be sent either. */
uint16_t SkySendAccount_CheckStatus(const sky_send_account_t *account,
                                    const sky_send_status_t *status);

#ifdef __cplusplus
}
#endif
#endif
