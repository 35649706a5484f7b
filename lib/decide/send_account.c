#include "decide/send_account.h"

#include "decide/promise.h"

#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

void
SkySendAccount_Begin(sky_send_account_t *account)
{
    account->begun_count++;
    account->is_open = true;
}

/* Whether a response with this status can be a refusal. The mark on any other
 * contradicts the status. */
static bool
can_refuse(uint16_t status)
{
    return (status >= 400 && status < 500) || status == STATUS_UNAVAILABLE;
}

static bool
proves_not_run(const sky_send_evidence_t *evidence,
               sky_retry_policy_t retry_policy)
{
    switch (evidence->kind) {
    case SKY_SEND_UNSENT:
        return true;
    case SKY_SEND_RESPONSE:
        return evidence->response.is_marked &&
               evidence->response.names_request &&
               evidence->response.is_whole &&
               can_refuse(evidence->response.status);
    case SKY_SEND_PEER:
        return evidence->peer.says_not_run && evidence->peer.names_request &&
               evidence->peer.is_whole &&
               (evidence->peer.is_proved ||
                retry_policy != SKY_RETRY_AT_MOST_ONCE);
    case SKY_SEND_NO_ANSWER:
        break;
    }
    return false;
}

bool
SkySendAccount_End(sky_send_account_t *account,
                   sky_retry_policy_t retry_policy,
                   const sky_send_evidence_t *evidence)
{
    if (!account->is_open) {
        return false;
    }
    account->is_open = false;
    if (!proves_not_run(evidence, retry_policy)) {
        return false;
    }
    account->not_run_count++;
    return true;
}

bool
SkySendAccount_MayHaveRun(const sky_send_account_t *account)
{
    return account->begun_count > account->not_run_count;
}

bool
SkySendAccount_MaySendAgain(const sky_send_account_t *account,
                            sky_retry_policy_t retry_policy)
{
    return retry_policy != SKY_RETRY_AT_MOST_ONCE ||
           !SkySendAccount_MayHaveRun(account);
}

/* Whether the status may go out only if the request did not run. */
static bool
needs_proof(const sky_send_status_t *status)
{
    if (!status->is_targets) {
        /* Each failure that this host answers with by itself, but these two,
         * says that no target has run the request. */
        return status->status >= 400 && status->status != STATUS_BAD_GATEWAY &&
               status->status != STATUS_GATEWAY_TIMEOUT;
    }
    /* Callers come back after any failure of a request that may be repeated,
     * so that a target's own status does no harm there. */
    return status->retry_policy == SKY_RETRY_AT_MOST_ONCE &&
           SkyPromise_IsMadeBy(status->status);
}

uint16_t
SkySendAccount_CheckStatus(const sky_send_account_t *account,
                           const sky_send_status_t *status)
{
    if (!SkySendAccount_MayHaveRun(account) || !needs_proof(status)) {
        return status->status;
    }
    return status->is_past_deadline ? STATUS_GATEWAY_TIMEOUT
                                    : STATUS_BAD_GATEWAY;
}
