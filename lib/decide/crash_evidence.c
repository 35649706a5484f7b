#include "decide/crash_evidence.h"

/** Errors may come before the request begins to run. */
#define STATUS_FIRST_ERROR 400

static sky_crash_evidence_t
judge_response(const sky_exchange_end_t *end)
{
    const sky_exchange_response_t *response = &end->response;
    if (!response->is_targets || response->is_refusal) {
        return SKY_CRASH_EVIDENCE_NONE;
    }
    if (response->lacks_body || response->ends_in_event) {
        return end->has_target ? SKY_CRASH_EVIDENCE_AGAINST
                               : SKY_CRASH_EVIDENCE_NONE;
    }
    return response->is_sealed && response->is_framed &&
                   response->status < STATUS_FIRST_ERROR
               ? SKY_CRASH_EVIDENCE_FOR
               : SKY_CRASH_EVIDENCE_NONE;
}

sky_crash_evidence_t
SkyCrashEvidence_Judge(const sky_exchange_end_t *end)
{
    switch (end->kind) {
    case SKY_EXCHANGE_END_BROKEN:
    case SKY_EXCHANGE_END_SILENT:
        return end->has_target ? SKY_CRASH_EVIDENCE_AGAINST
                               : SKY_CRASH_EVIDENCE_NONE;
    case SKY_EXCHANGE_END_COMPLETE:
        return judge_response(end);
    }
    return SKY_CRASH_EVIDENCE_NONE;
}
