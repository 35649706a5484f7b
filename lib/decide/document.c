#include "decide/document.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000
#define OPENS_AT_MAX_S 4102444800 /* the year 2100 */

static sky_result_t
reject(char *why, const char *key, const char *rule)
{
    snprintf(why, SKY_NAME_BYTES, "%s: %s", key, rule);
    return SKY_E_BAD_CONFIG;
}

static sky_result_t
read_name(const json_t *value, char *name, const char *key, char *why)
{
    const char *text = json_string_value(value);
    if (text == NULL || text[0] == '\0' || strlen(text) >= SKY_NAME_BYTES ||
        strchr(text, '@') != NULL) {
        return reject(why, key, "a name of 1 to 63 bytes without '@'");
    }
    strcpy(name, text);
    return SKY_OK;
}

static sky_result_t
read_number(const json_t *value, json_int_t max, uint64_t *number,
            const char *key, char *why)
{
    json_int_t given = json_integer_value(value);
    if (!json_is_integer(value) || given < 0 || given > max) {
        snprintf(why, SKY_NAME_BYTES, "%s: an integer from 0 to %lld", key,
                 (long long)max);
        return SKY_E_BAD_CONFIG;
    }
    *number = (uint64_t)given;
    return SKY_OK;
}

static sky_result_t
read_event_key(const char *key, const json_t *value, sky_event_t *event,
               char *why)
{
    uint64_t number = 0;
    sky_result_t result;
    if (strcmp(key, "pool") == 0) {
        event->has_pool = true;
        return read_name(value, event->pool, key, why);
    }
    if (strcmp(key, "urgency") == 0) {
        event->has_urgency = true;
        result = read_number(value, SKY_URGENCY_MAX, &number, key, why);
        event->urgency = (uint32_t)number;
        return result;
    }
    if (strcmp(key, "opens_at_s") == 0) {
        event->has_opens_at = true;
        result = read_number(value, OPENS_AT_MAX_S, &number, key, why);
        event->opens_at_ms = number * MS_PER_S;
        return result;
    }
    if (strcmp(key, "prewarm_s") == 0) {
        event->has_prewarm = true;
        result = read_number(value, SKY_PREWARM_MAX_S, &number, key, why);
        event->prewarm_ms = number * MS_PER_S;
        return result;
    }
    if (strcmp(key, "hold_s") == 0) {
        event->has_hold = true;
        result = read_number(value, SKY_PREWARM_MAX_S, &number, key, why);
        event->hold_ms = number * MS_PER_S;
        return result;
    }
    return reject(why, key, "not a known key");
}

static sky_result_t
read_event(json_t *object, sky_event_t *event, char *why)
{
    const char *key;
    json_t *value;
    if (!json_is_object(object)) {
        return reject(why, "body", "a JSON object");
    }
    json_object_foreach(object, key, value)
    {
        sky_result_t result = read_event_key(key, value, event, why);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return SKY_OK;
}

sky_result_t
SkyDocument_ParseTemplate(const char *body, sky_event_t *event, char *why)
{
    memset(event, 0, sizeof *event);
    json_t *root = json_loads(body, JSON_REJECT_DUPLICATES, NULL);
    sky_result_t result = read_event(root, event, why);
    if (!SkyResult_IsError(result) && !event->has_pool) {
        result = reject(why, "pool", "missing");
    }
    json_decref(root);
    return result;
}

static sky_result_t
read_adapter(const json_t *value, sky_adapter_t *adapter, char *why)
{
    const json_t *weight = json_object_get(value, "weight");
    sky_result_t result = read_name(json_object_get(value, "name"),
                                    adapter->name, "adapters.name", why);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = read_name(json_object_get(value, "version"), adapter->version,
                       "adapters.version", why);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (weight != NULL &&
        (!json_is_number(weight) || json_number_value(weight) < 0)) {
        return reject(why, "adapters.weight", "a number, 0 or more");
    }
    adapter->weight = weight ? json_number_value(weight) : 1.0;
    adapter->id = SkyAdapter_Id(adapter->name, adapter->version);
    return SKY_OK;
}

static sky_result_t
read_adapters(const json_t *list, sky_workspace_t *workspace, char *why)
{
    size_t count = json_array_size(list);
    if (count == 0 || count > SKY_ADAPTERS_MAX) {
        return reject(why, "adapters", "a list of 1 to 4096 adapters");
    }
    workspace->adapters = calloc(count, sizeof *workspace->adapters);
    if (workspace->adapters == NULL) {
        return SKY_E_MEMORY;
    }
    workspace->adapter_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        sky_result_t result = read_adapter(json_array_get(list, i),
                                           &workspace->adapters[i], why);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return SKY_OK;
}

static sky_result_t
read_workspace(json_t *root, sky_workspace_t *workspace, char *why)
{
    const char *credential =
        json_string_value(json_object_get(root, "credential"));
    json_t *parameters = json_object_get(root, "parameters");
    const char *key;
    json_t *value;
    json_object_foreach(root, key, value)
    {
        if (strcmp(key, "template") != 0 && strcmp(key, "credential") != 0 &&
            strcmp(key, "adapters") != 0 && strcmp(key, "parameters") != 0) {
            return reject(why, key, "not a known key");
        }
    }
    if (credential == NULL || strlen(credential) != SKY_CREDENTIAL_BYTES - 1) {
        return reject(why, "credential", "64 hex digits");
    }
    strcpy(workspace->credential, credential);
    sky_result_t result = read_name(json_object_get(root, "template"),
                                    workspace->template_name, "template", why);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (parameters != NULL) {
        result = read_event(parameters, &workspace->event, why);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return read_adapters(json_object_get(root, "adapters"), workspace, why);
}

sky_result_t
SkyDocument_ParseWorkspace(const char *body, sky_workspace_t *workspace,
                           char *why)
{
    memset(workspace, 0, sizeof *workspace);
    json_t *root = json_loads(body, JSON_REJECT_DUPLICATES, NULL);
    sky_result_t result = json_is_object(root)
                              ? read_workspace(root, workspace, why)
                              : reject(why, "body", "a JSON object");
    if (SkyResult_IsError(result)) {
        SkyDocument_FreeWorkspace(workspace);
    }
    json_decref(root);
    return result;
}

void
SkyDocument_FreeWorkspace(sky_workspace_t *workspace)
{
    free(workspace->adapters);
    workspace->adapters = NULL;
    workspace->adapter_count = 0;
}

sky_event_t
SkyDocument_Merge(const sky_event_t *base, const sky_event_t *over)
{
    sky_event_t merged = *base;
    if (over->has_pool) {
        memcpy(merged.pool, over->pool, sizeof merged.pool);
    }
    if (over->has_urgency) {
        merged.urgency = over->urgency;
    }
    if (over->has_opens_at) {
        merged.opens_at_ms = over->opens_at_ms;
    }
    if (over->has_prewarm) {
        merged.prewarm_ms = over->prewarm_ms;
    }
    if (over->has_hold) {
        merged.hold_ms = over->hold_ms;
    }
    return merged;
}
