#include "decide/document.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000
#define OPENS_AT_MAX_S 4102444800 /* the year 2100 */

static sky_result_t
reject(char *error_text, const char *key, const char *rule)
{
    snprintf(error_text, SKY_NAME_BYTES, "%s: %s", key, rule);
    return SKY_E_BAD_CONFIG;
}

static sky_result_t
parse_name(const json_t *value, char *name, const char *key, char *error_text)
{
    const char *text = json_string_value(value);
    if (text == NULL || text[0] == '\0' || strlen(text) >= SKY_NAME_BYTES ||
        strchr(text, '@') != NULL) {
        return reject(error_text, key, "a name of 1 to 63 bytes without '@'");
    }
    strcpy(name, text);
    return SKY_OK;
}

static sky_result_t
parse_number(const json_t *value, json_int_t max, uint64_t *number,
             const char *key, char *error_text)
{
    json_int_t parsed = json_integer_value(value);
    if (!json_is_integer(value) || parsed < 0 || parsed > max) {
        snprintf(error_text, SKY_NAME_BYTES, "%s: an integer from 0 to %lld",
                 key, (long long)max);
        return SKY_E_BAD_CONFIG;
    }
    *number = (uint64_t)parsed;
    return SKY_OK;
}

static sky_result_t
parse_event_key(const char *key, const json_t *value,
                sky_event_settings_t *event, char *error_text)
{
    uint64_t number = 0;
    sky_result_t result;
    if (strcmp(key, "pool") == 0) {
        event->has_pool = true;
        return parse_name(value, event->pool, key, error_text);
    }
    if (strcmp(key, "urgency") == 0) {
        event->has_urgency = true;
        result =
            parse_number(value, SKY_URGENCY_MAX, &number, key, error_text);
        event->urgency = (uint32_t)number;
        return result;
    }
    if (strcmp(key, "opens_at_s") == 0) {
        event->has_opens_at = true;
        result = parse_number(value, OPENS_AT_MAX_S, &number, key, error_text);
        event->opens_at_ms = number * MS_PER_S;
        return result;
    }
    if (strcmp(key, "prewarm_s") == 0) {
        event->has_prewarm = true;
        result = parse_number(value, SKY_PREWARM_OR_HOLD_MAX_S, &number, key,
                              error_text);
        event->prewarm_ms = number * MS_PER_S;
        return result;
    }
    if (strcmp(key, "hold_s") == 0) {
        event->has_hold = true;
        result = parse_number(value, SKY_PREWARM_OR_HOLD_MAX_S, &number, key,
                              error_text);
        event->hold_ms = number * MS_PER_S;
        return result;
    }
    return reject(error_text, key, "not a known key");
}

static sky_result_t
parse_event(json_t *object, sky_event_settings_t *event, char *error_text)
{
    const char *key;
    json_t *value;
    if (!json_is_object(object)) {
        return reject(error_text, "body", "a JSON object");
    }
    json_object_foreach(object, key, value)
    {
        sky_result_t result = parse_event_key(key, value, event, error_text);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return SKY_OK;
}

sky_result_t
SkyDocument_ParseTemplate(const char *body, sky_event_settings_t *event,
                          char *error_text)
{
    memset(event, 0, sizeof *event);
    json_t *root = json_loads(body, JSON_REJECT_DUPLICATES, NULL);
    sky_result_t result = parse_event(root, event, error_text);
    if (!SkyResult_IsError(result) && !event->has_pool) {
        result = reject(error_text, "pool", "missing");
    }
    json_decref(root);
    return result;
}

static sky_result_t
parse_adapter(const json_t *value, sky_adapter_t *adapter, char *error_text)
{
    const json_t *weight = json_object_get(value, "weight");
    sky_result_t result =
        parse_name(json_object_get(value, "name"), adapter->name,
                   "adapters.name", error_text);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = parse_name(json_object_get(value, "version"), adapter->version,
                        "adapters.version", error_text);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (weight != NULL &&
        (!json_is_number(weight) || json_number_value(weight) < 0)) {
        return reject(error_text, "adapters.weight", "a number, 0 or more");
    }
    adapter->weight = weight ? json_number_value(weight) : 1.0;
    adapter->id = SkyAdapter_HashId(adapter->name, adapter->version);
    return SKY_OK;
}

static sky_result_t
parse_adapters(const json_t *list, sky_workspace_t *workspace,
               char *error_text)
{
    size_t count = json_array_size(list);
    if (count == 0 || count > SKY_WORKSPACE_ADAPTERS_MAX) {
        return reject(error_text, "adapters", "a list of 1 to 4096 adapters");
    }
    workspace->adapters = calloc(count, sizeof *workspace->adapters);
    if (workspace->adapters == NULL) {
        return SKY_E_MEMORY;
    }
    workspace->adapter_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        sky_result_t result = parse_adapter(
            json_array_get(list, i), &workspace->adapters[i], error_text);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return SKY_OK;
}

static sky_result_t
parse_workspace(json_t *root, sky_workspace_t *workspace, char *error_text)
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
            return reject(error_text, key, "not a known key");
        }
    }
    if (credential == NULL ||
        strlen(credential) != SKY_CREDENTIAL_HASH_BYTES - 1) {
        return reject(error_text, "credential", "64 hex digits");
    }
    strcpy(workspace->credential, credential);
    sky_result_t result =
        parse_name(json_object_get(root, "template"), workspace->template_name,
                   "template", error_text);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (parameters != NULL) {
        result = parse_event(parameters, &workspace->event, error_text);
        if (SkyResult_IsError(result)) {
            return result;
        }
    }
    return parse_adapters(json_object_get(root, "adapters"), workspace,
                          error_text);
}

sky_result_t
SkyDocument_ParseWorkspace(const char *body, sky_workspace_t *workspace,
                           char *error_text)
{
    memset(workspace, 0, sizeof *workspace);
    json_t *root = json_loads(body, JSON_REJECT_DUPLICATES, NULL);
    sky_result_t result = json_is_object(root)
                              ? parse_workspace(root, workspace, error_text)
                              : reject(error_text, "body", "a JSON object");
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

sky_event_settings_t
SkyDocument_MergeEventSettings(const sky_event_settings_t *base,
                               const sky_event_settings_t *overrides)
{
    sky_event_settings_t merged = *base;
    if (overrides->has_pool) {
        memcpy(merged.pool, overrides->pool, sizeof merged.pool);
    }
    if (overrides->has_urgency) {
        merged.urgency = overrides->urgency;
    }
    if (overrides->has_opens_at) {
        merged.opens_at_ms = overrides->opens_at_ms;
    }
    if (overrides->has_prewarm) {
        merged.prewarm_ms = overrides->prewarm_ms;
    }
    if (overrides->has_hold) {
        merged.hold_ms = overrides->hold_ms;
    }
    return merged;
}
