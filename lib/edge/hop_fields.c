#include "edge/hop_fields.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIELD_FROM SKY_HTTP_HOP_FIELD_PREFIX "From"
#define FIELD_MAY_HAVE_RUN SKY_HTTP_HOP_FIELD_PREFIX "May-Have-Run"
#define FIELD_SOFTWARE SKY_HTTP_HOP_FIELD_PREFIX "Software"
#define FIELD_OUTCOME SKY_HTTP_HOP_FIELD_PREFIX "Outcome"
#define FIELD_RETRY_AFTER_MS SKY_HTTP_HOP_FIELD_PREFIX "Retry-After-Ms"
#define FIELD_PROOF SKY_HTTP_HOP_FIELD_PREFIX "Proof"
#define PROOF_ACCOUNT "account" /**< see decide/send_account.h */

static const char *const OUTCOMES[] = {"target", "not_run", "not_reached",
                                       "unknown"};

static void
write_field(sky_buffer_t *out, const char *name, const char *value)
{
    if (value[0] != '\0') {
        SkyBuffer_AppendFormat(out, "%s: %s\r\n", name, value);
    }
}

/* Returns false if the value does not fit. A missing field is "". */
static bool
copy_field(const sky_http_head_t *head, const char *name, char *value,
           size_t size)
{
    const char *found = SkyHttpHead_FindField(head, name);
    value[0] = '\0';
    if (found == NULL) {
        return true;
    }
    if (strlen(found) >= size) {
        return false;
    }
    strcpy(value, found);
    return true;
}

void
SkyHopFields_WriteRequest(sky_buffer_t *out, const sky_hop_request_t *request)
{
    write_field(out, FIELD_FROM, request->from);
    write_field(out, FIELD_SOFTWARE, request->software);
    for (uint32_t i = 0; i < request->may_have_run_count; i++) {
        SkyBuffer_AppendFormat(out, "%s%" PRIx64,
                               i == 0 ? FIELD_MAY_HAVE_RUN ": " : ",",
                               request->may_have_run[i]);
    }
    if (request->may_have_run_count > 0) {
        SkyBuffer_AppendText(out, "\r\n");
    }
}

static bool
parse_targets(const char *text, sky_hop_request_t *request)
{
    while (text != NULL && *text != '\0') {
        char *end = NULL;
        uint64_t target = strtoull(text, &end, 16);
        if (end == text || (*end != ',' && *end != '\0') ||
            request->may_have_run_count == SKY_ATTEMPTS_TARGETS_MAX) {
            return false;
        }
        request->may_have_run[request->may_have_run_count++] = target;
        text = *end == ',' ? end + 1 : end;
    }
    return true;
}

bool
SkyHopFields_ParseRequest(const sky_http_head_t *head,
                          sky_hop_request_t *request)
{
    *request = (sky_hop_request_t){.may_have_run_count = 0};
    return copy_field(head, FIELD_FROM, request->from, sizeof request->from) &&
           request->from[0] != '\0' &&
           copy_field(head, FIELD_SOFTWARE, request->software,
                      sizeof request->software) &&
           parse_targets(SkyHttpHead_FindField(head, FIELD_MAY_HAVE_RUN),
                         request);
}

static bool
says_not_run(sky_hop_outcome_t outcome)
{
    return outcome == SKY_HOP_NOT_RUN || outcome == SKY_HOP_NOT_REACHED;
}

void
SkyHopFields_WriteResponse(sky_buffer_t *out,
                           const sky_hop_response_t *response)
{
    write_field(out, FIELD_OUTCOME, OUTCOMES[response->outcome]);
    write_field(out, FIELD_SOFTWARE, response->software);
    if (says_not_run(response->outcome) && response->is_proved) {
        write_field(out, FIELD_PROOF, PROOF_ACCOUNT);
    }
    if (response->retry_after_ms > 0) {
        SkyBuffer_AppendFormat(out, FIELD_RETRY_AFTER_MS ": %u\r\n",
                               response->retry_after_ms);
    }
}

void
SkyHopFields_ParseResponse(const sky_http_head_t *head,
                           sky_hop_response_t *response)
{
    const char *outcome = SkyHttpHead_FindField(head, FIELD_OUTCOME);
    const char *proof = SkyHttpHead_FindField(head, FIELD_PROOF);
    const char *retry_after =
        SkyHttpHead_FindField(head, FIELD_RETRY_AFTER_MS);
    *response = (sky_hop_response_t){.outcome = SKY_HOP_UNKNOWN};
    for (int i = SKY_HOP_TARGET; outcome != NULL && i < SKY_HOP_UNKNOWN; i++) {
        if (strcmp(outcome, OUTCOMES[i]) == 0) {
            response->outcome = (sky_hop_outcome_t)i;
        }
    }
    if (!copy_field(head, FIELD_SOFTWARE, response->software,
                    sizeof response->software)) {
        response->outcome = SKY_HOP_UNKNOWN;
    }
    response->is_proved = says_not_run(response->outcome) && proof != NULL &&
                          strcmp(proof, PROOF_ACCOUNT) == 0;
    response->retry_after_ms =
        retry_after != NULL ? (uint32_t)strtoul(retry_after, NULL, 10) : 0;
}
