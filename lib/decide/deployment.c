#include "decide/deployment.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

sky_deployment_t *
SkyDeployment_Create(void)
{
    sky_deployment_t *deployment = calloc(1, sizeof *deployment);
    if (deployment == NULL) {
        return NULL;
    }
    deployment->references = 1;
    deployment->access = SKY_ACCESS_UNREADABLE;
    deployment->workspaces = SkyWorkspaces_Create();
    if (deployment->workspaces == NULL) {
        free(deployment);
        return NULL;
    }
    return deployment;
}

sky_deployment_t *
SkyDeployment_Acquire(sky_deployment_t *deployment)
{
    deployment->references++;
    return deployment;
}

void
SkyDeployment_DecideAccess(sky_deployment_t *deployment, bool has_key_rules)
{
    switch (deployment->workspace_list) {
    case SKY_WORKSPACE_LIST_UNREADABLE:
        deployment->access = SKY_ACCESS_UNREADABLE;
        break;
    case SKY_WORKSPACE_LIST_READ:
        deployment->access = SKY_ACCESS_KEYS;
        break;
    case SKY_WORKSPACE_LIST_ABSENT:
        deployment->access =
            has_key_rules ? SKY_ACCESS_ANONYMOUS : SKY_ACCESS_OPEN;
        break;
    }
}

const char *
SkyDeployment_GetAccessName(const sky_deployment_t *deployment)
{
    switch (deployment->access) {
    case SKY_ACCESS_UNREADABLE:
        return "unreadable";
    case SKY_ACCESS_KEYS:
        return "keys";
    case SKY_ACCESS_ANONYMOUS:
        return "anonymous";
    case SKY_ACCESS_OPEN:
        return "open";
    }
    return "unknown";
}

bool
SkyDeployment_NeedsKey(const sky_deployment_t *deployment,
                       const sky_route_t *route)
{
    switch (deployment->access) {
    case SKY_ACCESS_UNREADABLE:
    case SKY_ACCESS_KEYS:
        return !route->is_public;
    case SKY_ACCESS_ANONYMOUS:
    case SKY_ACCESS_OPEN:
        break;
    }
    return false;
}

sky_admission_t
SkyDeployment_GetAdmission(const sky_deployment_t *deployment,
                           const sky_route_t *route, bool carries_key)
{
    if (route->is_public) {
        return SKY_ADMISSION_FREE;
    }
    switch (deployment->access) {
    case SKY_ACCESS_UNREADABLE:
        return SKY_ADMISSION_KEYS_UNREADABLE;
    case SKY_ACCESS_KEYS:
        return SKY_ADMISSION_BY_KEY;
    case SKY_ACCESS_ANONYMOUS:
        return carries_key ? SKY_ADMISSION_KEY_REVOKED : SKY_ADMISSION_FREE;
    case SKY_ACCESS_OPEN:
        break;
    }
    return SKY_ADMISSION_FREE;
}

bool
SkyDeployment_OwnsAccessFields(const sky_deployment_t *deployment)
{
    return deployment->access != SKY_ACCESS_OPEN;
}

static bool
leads_to(const sky_route_t *route, uint32_t service)
{
    for (uint32_t i = 0; i < route->service_weight_count; i++) {
        if (route->service_weights[i].service == service) {
            return true;
        }
    }
    return false;
}

uint32_t
SkyDeployment_GetEventIntervalMs(const sky_deployment_t *deployment,
                                 const sky_service_t *service)
{
    uint32_t index = (uint32_t)(service - deployment->services);
    uint32_t shortest_ms = 0;
    for (uint32_t i = 0; i < deployment->route_count; i++) {
        const sky_route_t *route = &deployment->routes[i];
        uint32_t interval_ms = route->event_interval_max_ms;
        if (interval_ms > 0 &&
            (shortest_ms == 0 || interval_ms < shortest_ms) &&
            leads_to(route, index)) {
            shortest_ms = interval_ms;
        }
    }
    return shortest_ms;
}

static void
free_route(sky_route_t *route)
{
    free(route->name);
    free(route->host);
    free(route->prefix);
    free(route->service_weights);
}

static void
free_service(sky_service_t *service)
{
    for (uint32_t i = 0; i < service->engine.model_count; i++) {
        free(service->engine.models[i].name);
    }
    free(service->engine.models);
    free(service->name);
    free(service->health_path);
}

void
SkyDeployment_Release(sky_deployment_t *deployment)
{
    if (deployment == NULL || --deployment->references > 0) {
        return;
    }
    for (uint32_t i = 0; i < deployment->route_count; i++) {
        free_route(&deployment->routes[i]);
    }
    for (uint32_t i = 0; i < deployment->service_count; i++) {
        free_service(&deployment->services[i]);
    }
    SkyWorkspaces_Free(deployment->workspaces);
    free(deployment->route_levels);
    free(deployment->workspace_levels);
    free(deployment->routes);
    free(deployment->services);
    free(deployment);
}

uint32_t
SkyDeployment_FindService(const sky_deployment_t *deployment, const char *name)
{
    for (uint32_t i = 0; i < deployment->service_count; i++) {
        if (strcmp(deployment->services[i].name, name) == 0) {
            return i;
        }
    }
    return UINT32_MAX;
}

static bool
matches_host(const char *host, const char *route_host)
{
    size_t length = strcspn(host, ":");
    return strlen(route_host) == length &&
           strncasecmp(host, route_host, length) == 0;
}

const sky_route_t *
SkyDeployment_FindRoute(const sky_deployment_t *deployment, const char *host,
                        const char *path)
{
    const sky_route_t *best = NULL;
    size_t best_length = 0;
    size_t path_length = strcspn(path, "?#");
    for (uint32_t i = 0; i < deployment->route_count; i++) {
        const sky_route_t *route = &deployment->routes[i];
        size_t length = strlen(route->prefix);
        if (length <= path_length && (best == NULL || length > best_length) &&
            memcmp(route->prefix, path, length) == 0 &&
            matches_host(host, route->host)) {
            best = route;
            best_length = length;
        }
    }
    return best;
}

static int
compare_levels(const void *one, const void *other)
{
    uint32_t a = *(const uint32_t *)one;
    uint32_t b = *(const uint32_t *)other;
    return a < b ? -1 : a > b;
}

/* Sorts levels and drops repeated ones; returns how many are left. */
static uint32_t
sort_levels(uint32_t *levels, uint32_t count)
{
    uint32_t kept = 0;
    if (count > 0) {
        qsort(levels, count, sizeof *levels, compare_levels);
    }
    for (uint32_t i = 0; i < count; i++) {
        if (kept == 0 || levels[kept - 1] != levels[i]) {
            levels[kept++] = levels[i];
        }
    }
    return kept;
}

/* Returns the index of a level in the sorted list. */
static uint32_t
find_level(const uint32_t *levels, uint32_t count, uint32_t level)
{
    const uint32_t *found =
        bsearch(&level, levels, count, sizeof *levels, compare_levels);
    return found != NULL ? (uint32_t)(found - levels) : count;
}

sky_result_t
SkyDeployment_RankUrgencies(sky_deployment_t *deployment)
{
    const sky_workspaces_t *workspaces = deployment->workspaces;
    uint32_t count = SkyWorkspaces_Count(workspaces);
    free(deployment->route_levels);
    free(deployment->workspace_levels);
    deployment->route_levels =
        calloc(deployment->route_count + 1, sizeof *deployment->route_levels);
    deployment->workspace_levels =
        calloc(count + 1, sizeof *deployment->workspace_levels);
    if (deployment->route_levels == NULL ||
        deployment->workspace_levels == NULL) {
        return SKY_E_MEMORY;
    }
    for (uint32_t i = 0; i < deployment->route_count; i++) {
        deployment->route_levels[i] = deployment->routes[i].urgency;
    }
    for (uint32_t i = 0; i < count; i++) {
        deployment->workspace_levels[i] =
            SkyWorkspaces_Get(workspaces, i)->priority;
    }
    deployment->route_level_count =
        sort_levels(deployment->route_levels, deployment->route_count);
    deployment->workspace_level_count =
        sort_levels(deployment->workspace_levels, count);
    return SKY_OK;
}

sky_urgency_t
SkyDeployment_GetUrgency(const sky_deployment_t *deployment,
                         const sky_route_t *route,
                         const sky_workspace_t *workspace)
{
    switch (deployment->access) {
    case SKY_ACCESS_ANONYMOUS:
    case SKY_ACCESS_OPEN:
        return (sky_urgency_t){.rank = route->urgency};
    case SKY_ACCESS_UNREADABLE:
    case SKY_ACCESS_KEYS:
        break;
    }
    uint32_t workspace_level =
        workspace != NULL ? find_level(deployment->workspace_levels,
                                       deployment->workspace_level_count,
                                       workspace->priority)
                          : deployment->workspace_level_count;
    uint32_t route_level =
        find_level(deployment->route_levels, deployment->route_level_count,
                   route->urgency);
    return (sky_urgency_t){
        .rank = workspace_level * deployment->route_level_count + route_level,
        .level_count = (deployment->workspace_level_count + 1) *
                       deployment->route_level_count};
}

const sky_service_t *
SkyDeployment_ChooseService(const sky_deployment_t *deployment,
                            const sky_route_t *route, uint64_t hash)
{
    uint64_t total = 0;
    for (uint32_t i = 0; i < route->service_weight_count; i++) {
        total += route->service_weights[i].weight;
    }
    if (total == 0) {
        return NULL;
    }
    uint64_t offset = hash % total;
    for (uint32_t i = 0; i < route->service_weight_count; i++) {
        if (offset < route->service_weights[i].weight) {
            return &deployment->services[route->service_weights[i].service];
        }
        offset -= route->service_weights[i].weight;
    }
    return NULL;
}
