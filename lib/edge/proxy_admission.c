#include <string.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/proxy_request.h"

/** Another host may be able to prove its configuration. */
#define RETRY_AFTER_UNPROVEN_MS 200

static void
refuse_unproven(sky_proxy_request_t *request)
{
    SkyLog_Write(
        LOG_NOTICE, "access_unproven", "id=%s config=%llu bound_ms=%u",
        request->facts.id,
        (unsigned long long)SkyProxyRequest_GetDeployment(request)->version,
        request->proxy->options.settings->bounds.revocation_ms);
    SkyProxyRequest_Fail(request, RETRY_AFTER_UNPROVEN_MS, "access_unproven");
}

static void
refuse_key(sky_proxy_request_t *request, const char *reason)
{
    if (request->response_started || SkyProxyRequest_MayHaveRun(request)) {
        SkyProxyRequest_Fail(request, 0, reason); /* 401 would say "not run" */
        return;
    }
    SkyProxyRequest_RespondError(request, 401, 0, reason);
}

static const sky_workspace_t *
find_workspace(const sky_proxy_request_t *request,
               const sky_workspaces_t *workspaces)
{
    const char *key =
        SkyWire_FindCredential(SkyServerRequest_Head(request->caller_request));
    if (key == NULL) {
        return NULL;
    }
    sky_key_digest_t digest = SkyWorkspaces_HashKey(key);
    return SkyWorkspaces_FindByKey(workspaces, &digest);
}

/* Returns the request's route by another configuration; NULL: none. */
static const sky_route_t *
find_route_in(const sky_proxy_request_t *request,
              const sky_deployment_t *newest)
{
    const sky_http_head_t *head =
        SkyServerRequest_Head(request->caller_request);
    const char *host = SkyHttpHead_FindField(head, "Host");
    return SkyDeployment_FindRoute(newest, host ? host : "",
                                   SkyHttpHead_Url(head));
}

/* Looks the key up in a configuration that has come into force. */
static void
update_access(sky_proxy_request_t *request, sky_deployment_t *newest)
{
    SkyDeployment_Release(request->access);
    request->access = SkyDeployment_Acquire(newest);
    request->workspace = NULL;
    /* A route that is gone keeps its urgency: the configuration that ranks it
     * is another one. */
    request->access_route = SkyProxyRequest_GetRoute(request);
    bool is_ranked = true;
    if (newest != SkyProxyRequest_GetDeployment(request)) {
        const sky_route_t *found = find_route_in(request, newest);
        is_ranked = found != NULL;
        request->access_route = is_ranked ? found : request->access_route;
    }
    if (SkyDeployment_NeedsKey(newest, request->access_route)) {
        request->workspace = find_workspace(request, newest->workspaces);
    }
    if (is_ranked) {
        request->urgency = SkyDeployment_GetUrgency(
            newest, request->access_route, request->workspace);
    }
}

static bool
carries_key(const sky_proxy_request_t *request)
{
    const char *key =
        SkyWire_FindCredential(SkyServerRequest_Head(request->caller_request));
    return key != NULL && key[0] != '\0';
}

bool
SkyProxyRequest_HasAccess(sky_proxy_request_t *request)
{
    sky_deployment_t *newest = request->proxy->options.directory->deployment;
    bool is_new = request->access == NULL;
    if (request->access != newest) {
        update_access(request, newest);
    }
    sky_admission_t admission = SkyDeployment_GetAdmission(
        newest, request->access_route, carries_key(request));
    switch (admission) {
    case SKY_ADMISSION_FREE:
        break;
    case SKY_ADMISSION_KEYS_UNREADABLE:
        SkyProxyRequest_Fail(request, RETRY_AFTER_UNPROVEN_MS,
                             "keys_unreadable");
        return false;
    case SKY_ADMISSION_KEY_REVOKED:
    case SKY_ADMISSION_BY_KEY:
        if (!SkyFeed_IsConfigProven(request->proxy->options.feed)) {
            refuse_unproven(request);
            return false;
        }
        if (request->workspace == NULL) {
            refuse_key(request, admission == SKY_ADMISSION_KEY_REVOKED
                                    ? "key_not_in_use"
                                : is_new ? "key_unknown"
                                         : "key_removed");
            return false;
        }
        break;
    }
    return true;
}

bool
SkyProxyRequest_HidesCredential(const sky_proxy_request_t *request)
{
    return SkyDeployment_OwnsAccessFields(
               SkyProxyRequest_GetDeployment(request)) ||
           SkyDeployment_OwnsAccessFields(request->access);
}

static void
refuse_quota(sky_proxy_request_t *request, uint32_t wait_ms)
{
    wait_ms = SkyQuota_SpreadWait(wait_ms, SkyProxyRequest_IdHash(request));
    SkyProxyRequest_RespondError(request, 429, wait_ms, "quota");
}

static void
on_quota(void *context, sky_quota_result_t result, uint32_t wait_ms)
{
    sky_proxy_request_t *request = context;
    request->quota_request = NULL;
    request->charged_ms = SkyClock_BootMs();
    if (result == SKY_QUOTA_DENIED) {
        request->quota_cost = 0;
        refuse_quota(request, wait_ms);
        return;
    }
    if (!SkyProxyRequest_HasAccess(request)) {
        return;
    }
    /* A new configuration may have moved the key to another workspace. */
    if (request->workspace != NULL &&
        strcmp(request->workspace->name, request->charged_workspace->name) !=
            0) {
        SkyProxyRequest_RefundQuota(request);
        if (!SkyProxyRequest_AcquireQuota(request)) {
            return;
        }
    }
    SkyProxyRequest_Count(request);
    SkyProxyRequest_Dispatch(request);
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
    if (result == SKY_QUOTA_DENIED) {
        refuse_quota(request, wait_ms);
    }
    else {
        request->quota_cost = need.cost;
        request->charged_ms = SkyClock_BootMs();
        SkyDeployment_Release(request->charged);
        request->charged = SkyDeployment_Acquire(request->access);
        request->charged_workspace = workspace;
    }
    return result == SKY_QUOTA_GRANTED;
}

void
SkyProxyRequest_RefundQuota(sky_proxy_request_t *request)
{
    if (request->quota_cost > 0) {
        SkyQuotaSharing_Refund(request->proxy->options.quota_sharing,
                               request->charged_workspace, request->quota_cost,
                               request->charged_ms);
        request->quota_cost = 0;
    }
}
