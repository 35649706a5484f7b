#include <string.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/proxy_request.h"

/** Another host may be able to prove its configuration. */
#define RETRY_AFTER_UNPROVEN_MS 200

static void
refuse_unproven(sky_proxy_request_t *request)
{
    SkyLog_Write(LOG_NOTICE, "access_unproven",
                 "id=%s config=%llu bound_ms=%u", request->facts.id,
                 (unsigned long long)request->deployment->version,
                 request->proxy->options.settings->bounds.revocation_ms);
    SkyProxyRequest_Fail(request, RETRY_AFTER_UNPROVEN_MS, "access_unproven");
}

static void
refuse_unknown_key(sky_proxy_request_t *request, const char *reason)
{
    /* Not run: it was never sent, see SkyProxyRequest_HasAccess(). */
    SkyProxyRequest_RespondError(request, 401, 0, reason);
}

bool
SkyProxyRequest_FindWorkspace(sky_proxy_request_t *request)
{
    const sky_deployment_t *deployment = request->deployment;
    if (deployment->workspaces != NULL && !request->route->is_public) {
        if (!SkyFeed_IsConfigProven(request->proxy->options.feed)) {
            refuse_unproven(request);
            return false;
        }
        const char *key = SkyWire_FindCredential(
            SkyServerRequest_Head(request->caller_request));
        request->key = SkyWorkspaces_HashKey(key != NULL ? key : "");
        request->workspace =
            key != NULL ? SkyWorkspaces_FindByKey(deployment->workspaces,
                                                  &request->key)
                        : NULL;
        if (request->workspace == NULL) {
            refuse_unknown_key(request, "key_unknown");
            return false;
        }
    }
    request->urgency = SkyDeployment_GetUrgency(deployment, request->route,
                                                request->workspace);
    return true;
}

/* Whether the key still opens the workspace, by the newest configuration. */
static bool
is_key_in_force(const sky_proxy_request_t *request)
{
    const sky_deployment_t *newest =
        request->proxy->options.directory->deployment;
    if (newest == request->deployment) {
        return true;
    }
    const sky_workspace_t *workspace =
        newest->workspaces != NULL
            ? SkyWorkspaces_FindByKey(newest->workspaces, &request->key)
            : NULL;
    return workspace != NULL &&
           strcmp(workspace->name, request->workspace->name) == 0;
}

bool
SkyProxyRequest_HasAccess(sky_proxy_request_t *request)
{
    if (request->workspace == NULL || request->send_count > 0) {
        return true;
    }
    if (!SkyFeed_IsConfigProven(request->proxy->options.feed)) {
        refuse_unproven(request);
        return false;
    }
    if (!is_key_in_force(request)) {
        refuse_unknown_key(request, "key_removed");
        return false;
    }
    return true;
}

static void
on_quota(void *context, sky_quota_result_t result, uint32_t wait_ms)
{
    sky_proxy_request_t *request = context;
    request->quota_request = NULL;
    if (result == SKY_QUOTA_GRANTED) {
        SkyProxyRequest_Count(request);
        SkyProxyRequest_Dispatch(request);
        return;
    }
    request->quota_cost = 0;
    SkyProxyRequest_RespondError(request, 429, wait_ms, "quota");
}

bool
SkyProxyRequest_AcquireQuota(sky_proxy_request_t *request)
{
    const sky_workspace_t *workspace = request->workspace;
    if (workspace == NULL || !workspace->quota.is_limited ||
        request->is_forwarded) {
        return true;
    }
    uint32_t wait_ms;
    sky_quota_need_t need = {
        .workspace = workspace->name,
        .cost = SkyQuota_GetCost(
            &workspace->quota, request->facts.states_tokens,
            request->facts.prompt_tokens, request->facts.output_tokens_max),
        .urgency = request->urgency.rank};
    sky_quota_result_t result = SkyQuotaSharing_Acquire(
        request->proxy->options.quota_sharing, &need, on_quota, request,
        &wait_ms, &request->quota_request);
    request->quota_cost = result != SKY_QUOTA_DENIED ? need.cost : 0;
    if (result == SKY_QUOTA_DENIED) {
        SkyProxyRequest_RespondError(request, 429, wait_ms, "quota");
    }
    return result == SKY_QUOTA_GRANTED;
}

void
SkyProxyRequest_RefundQuota(sky_proxy_request_t *request)
{
    if (request->quota_cost > 0) {
        SkyQuotaSharing_Refund(request->proxy->options.quota_sharing,
                               request->workspace->name, request->quota_cost);
        request->quota_cost = 0;
    }
}
