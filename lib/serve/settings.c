#include "serve/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
#define MAX_LINE_BYTES 512
#define DAY_MS 86400000
#define MAX_FAILURE_DOMAIN 1023
#define MAX_BATCH_SLOTS 4096

typedef enum {
    SETTING_UINT32,
    SETTING_STRING,
} setting_type_t;

/** One key of the settings file. */
typedef struct {
    const char *table;
    const char *key;
    const char *unit;
    const char *meaning;
    setting_type_t type;
    size_t offset;
    int64_t default_value; /* of a number; a string has no default */
    int64_t min;           /* of a number: value; of a string: length */
    int64_t max;
} setting_t;

#define NUMBER(table, key, field, unit, default_value, min, max, meaning)     \
    {                                                                         \
        table, key, unit, meaning, SETTING_UINT32,                            \
            offsetof(sky_settings_t, field), default_value, min, max          \
    }
#define STRING(table, key, field, min, meaning)                               \
    {                                                                         \
        table, key, "text", meaning, SETTING_STRING,                          \
            offsetof(sky_settings_t, field), 0, min,                          \
            sizeof(((sky_settings_t *)0)->field) - 1                          \
    }

static const setting_t SETTINGS[] = {
    STRING("host", "name", host_name, 1, "unique name of this host"),
    STRING("host", "listen", host_listen, 3, "address:port for callers"),
    STRING("host", "peer", host_peer, 3, "address:port for other hosts"),
    NUMBER("host", "domain", domain, "-", 0, 0, MAX_FAILURE_DOMAIN,
           "failure domain of this host"),
    NUMBER("host", "balancer_wait_ms", balancer_wait_ms, "ms", 2000, 0, 60000,
           "delay between reporting not ready and closing the listener"),
    STRING("keys", "peer", peer_key, 16, "key shared by all hosts"),
    STRING("keys", "operator", operator_key, 16,
           "key that authorizes operators' requests"),
    STRING("platform", "log", log_address, 3, "address:port of the log"),
    STRING("platform", "hosts", hosts_address, 3,
           "address:port of the list of live and leaving hosts"),
    STRING("platform", "store", store_address, 3,
           "address:port of the store that targets load weights from"),
    NUMBER("platform", "log_timeout_ms", log_timeout_ms, "ms", 2000, 100,
           30000, "timeout of a request to the log"),
    NUMBER("platform", "log_poll_ms", log_poll_ms, "ms", 400, 50, 10000,
           "interval between reads of the log's tail"),
    NUMBER("platform", "hosts_poll_ms", hosts_poll_ms, "ms", 1000, 100, 10000,
           "interval between reads of the list of hosts"),
    NUMBER("platform", "retention_ms", retention_ms, "ms", 3600000, 10000,
           7 * DAY_MS, "retention time of a record in the log"),
    NUMBER("lease", "lease_ms", lease_ms, "ms", 1500, 200, 60000,
           "lease duration, counted from the start of a read of the log"),
    NUMBER("lease", "margin_ms", margin_ms, "ms", 1000, 100, 30000,
           "bound on clock drift and on the delay of orders"),
    NUMBER("lease", "heartbeat_ms", heartbeat_ms, "ms", 300, 50, 10000,
           "interval between heartbeats"),
    NUMBER("lease", "suspect_ms", suspect_ms, "ms", 1200, 200, 60000,
           "silence after which a host is suspected"),
    NUMBER("lease", "bootstrap_ms", bootstrap_ms, "ms", 5000, 1000, 600000,
           "time after which a new host joins even if no member admits it"),
    NUMBER("lease", "degraded_ms", degraded_ms, "ms", 600000, 0, 3600000,
           "how long a host may act after its lease while the log is "
           "unavailable to all hosts"),
    NUMBER("placement", "shard_targets", shard_targets, "-", 32, 1, 4096,
           "targets per shard; each shard has one owner"),
    NUMBER("placement", "transit_max", transit_max, "-", 4, 1, 64,
           "max concurrent adapter loads per shard"),
    NUMBER("placement", "load_ms", load_ms, "ms", 900, 1, 600000,
           "initial estimate of the duration of an adapter load"),
    NUMBER("placement", "load_timeout_ms", load_timeout_ms, "ms", 30000, 100,
           600000, "timeout of an adapter load or unload"),
    NUMBER("placement", "report_ms", report_ms, "ms", 1000, 50, 60000,
           "interval between load reports of a target"),
    NUMBER("placement", "starvation_ms", starvation_ms, "ms", 20000, 100,
           600000,
           "waiting time after which a request's adapter goes before more "
           "popular ones"),
    NUMBER("placement", "quarantine_ms", quarantine_ms, "ms", 600000, 1000,
           DAY_MS, "how long a request that crashes targets is refused"),
    NUMBER("placement", "batch_weight", batch_weight, "%", 20, 0, 100,
           "placement objective: 0 minimizes load stalls, 100 maximizes batch "
           "efficiency"),
    NUMBER("requests", "attempts_max", attempts_max, "-", 3, 1, 8,
           "max dispatches of one idempotent request"),
    NUMBER("requests", "key_life_ms", key_life_ms, "ms", 1800000, 1000, DAY_MS,
           "age above which an idempotency key is refused"),
    NUMBER("requests", "claim_interval_ms", claim_interval_ms, "ms", 100, 1,
           10000, "min interval between two appends of claims"),
    NUMBER("requests", "claim_writers_max", claim_writers_max, "-", 8, 1, 64,
           "max number of hosts that append claims"),
    NUMBER("requests", "timeout_ms", timeout_ms, "ms", 30000, 1, 600000,
           "time limit of a request whose caller sets none"),
    NUMBER("requests", "timeout_max_ms", timeout_max_ms, "ms", 300000, 1,
           3600000, "max time limit that a caller may set"),
    NUMBER("limits", "idle_ms", idle_ms, "ms", 30000, 1000, 600000,
           "idle timeout of a connection"),
    NUMBER("limits", "body_bytes_max", body_bytes_max, "bytes", 1048576, 1024,
           67108864, "max size of a request body"),
    NUMBER("limits", "header_bytes_max", header_bytes_max, "bytes", 32768,
           4096, 1048576, "memory for the header of one request"),
    NUMBER("limits", "connections_max", connections_max, "-", 2000, 1, 20000,
           "max concurrent connections of callers"),
    NUMBER("limits", "caller_connections_max", caller_connections_max, "-",
           2000, 1, 20000, "max concurrent connections from one address"),
};

#define SETTING_COUNT (sizeof SETTINGS / sizeof SETTINGS[0])

/** State of one SkySettings_Load(). */
typedef struct {
    const char *path;
    sky_settings_t *settings;
    char *error;
    bool is_set[SETTING_COUNT];
} settings_loader_t;

static sky_result_t
report_invalid(const settings_loader_t *loader, uint32_t line,
               const char *table, const char *key, const char *rule)
{
    snprintf(loader->error, SKY_ERROR_TEXT_BYTES, "%s:%u: %s.%s: %s",
             loader->path, line, table, key, rule);
    return SKY_E_SETTINGS;
}

static sky_result_t
set_number(const settings_loader_t *loader, const setting_t *setting,
           const sky_toml_leaf_t *leaf)
{
    char rule[MAX_LINE_BYTES / 4];
    if (leaf->type != SKY_TOML_INTEGER || leaf->integer < setting->min ||
        leaf->integer > setting->max) {
        snprintf(rule, sizeof rule, "an integer from %lld to %lld (%s)",
                 (long long)setting->min, (long long)setting->max,
                 setting->unit);
        return report_invalid(loader, leaf->line, setting->table, setting->key,
                              rule);
    }
    uint32_t value = (uint32_t)leaf->integer;
    memcpy((char *)loader->settings + setting->offset, &value, sizeof value);
    return SKY_OK;
}

static sky_result_t
set_string(const settings_loader_t *loader, const setting_t *setting,
           const sky_toml_leaf_t *leaf)
{
    char rule[MAX_LINE_BYTES / 4];
    size_t length = strlen(leaf->string);
    if (leaf->type != SKY_TOML_STRING || length < (size_t)setting->min ||
        length > (size_t)setting->max) {
        snprintf(rule, sizeof rule, "text of %lld to %lld bytes",
                 (long long)setting->min, (long long)setting->max);
        return report_invalid(loader, leaf->line, setting->table, setting->key,
                              rule);
    }
    strcpy((char *)loader->settings + setting->offset, leaf->string);
    return SKY_OK;
}

static sky_result_t
set_target_text(const settings_loader_t *loader, const sky_toml_leaf_t *leaf,
                char *text, size_t size)
{
    if (leaf->type != SKY_TOML_STRING || leaf->string[0] == '\0' ||
        strlen(leaf->string) >= size) {
        return report_invalid(loader, leaf->line, "target", leaf->key,
                              "text of 1 to 47 bytes");
    }
    snprintf(text, size, "%s", leaf->string);
    return SKY_OK;
}

static sky_result_t
set_target_integer(const settings_loader_t *loader,
                   const sky_toml_leaf_t *leaf, uint32_t max, uint32_t *value)
{
    char rule[MAX_LINE_BYTES / 4];
    if (leaf->type != SKY_TOML_INTEGER || leaf->integer < 0 ||
        leaf->integer > max) {
        snprintf(rule, sizeof rule, "an integer from 0 to %u", max);
        return report_invalid(loader, leaf->line, "target", leaf->key, rule);
    }
    *value = (uint32_t)leaf->integer;
    return SKY_OK;
}

static sky_target_info_t *
find_or_add_target(settings_loader_t *loader, int64_t index)
{
    sky_settings_t *settings = loader->settings;
    if (index < 0 || index >= SKY_MAX_TARGETS) {
        return NULL;
    }
    if (settings->targets == NULL) {
        settings->targets = calloc(SKY_MAX_TARGETS, sizeof *settings->targets);
    }
    if (settings->targets != NULL && index >= settings->target_count) {
        settings->target_count = (uint32_t)index + 1;
        settings->targets[index].batch = 1;
    }
    return settings->targets ? &settings->targets[index] : NULL;
}

static sky_result_t
set_target(settings_loader_t *loader, const sky_toml_leaf_t *leaf)
{
    sky_target_info_t *target = find_or_add_target(loader, leaf->index);
    if (target == NULL) {
        return report_invalid(loader, leaf->line, "target", leaf->key,
                              "too many targets");
    }
    if (strcmp(leaf->key, "name") == 0) {
        return set_target_text(loader, leaf, target->name,
                               sizeof target->name);
    }
    if (strcmp(leaf->key, "address") == 0) {
        return set_target_text(loader, leaf, target->address,
                               sizeof target->address);
    }
    if (strcmp(leaf->key, "pool") == 0) {
        return set_target_text(loader, leaf, target->pool,
                               sizeof target->pool);
    }
    if (strcmp(leaf->key, "domain") == 0) {
        return set_target_integer(loader, leaf, MAX_FAILURE_DOMAIN,
                                  &target->domain);
    }
    if (strcmp(leaf->key, "slots") == 0) {
        return set_target_integer(loader, leaf, SKY_ADAPTER_SLOTS_MAX,
                                  &target->slots);
    }
    if (strcmp(leaf->key, "batch") == 0) {
        return set_target_integer(loader, leaf, MAX_BATCH_SLOTS,
                                  &target->batch);
    }
    if (strcmp(leaf->key, "checks_fencing") == 0) {
        target->checks_fencing = leaf->boolean;
        return leaf->type == SKY_TOML_BOOLEAN
                   ? SKY_OK
                   : report_invalid(loader, leaf->line, "target", leaf->key,
                                    "true or false");
    }
    return report_invalid(loader, leaf->line, "target", leaf->key,
                          "not a known key");
}

static sky_result_t
apply_leaf(const sky_toml_leaf_t *leaf, void *context)
{
    settings_loader_t *loader = context;
    if (strcmp(leaf->table, "target") == 0) {
        return set_target(loader, leaf);
    }
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const setting_t *setting = &SETTINGS[i];
        if (strcmp(leaf->table, setting->table) != 0 ||
            strcmp(leaf->key, setting->key) != 0) {
            continue;
        }
        loader->is_set[i] = true;
        return setting->type == SETTING_UINT32
                   ? set_number(loader, setting, leaf)
                   : set_string(loader, setting, leaf);
    }
    return report_invalid(loader, leaf->line, leaf->table, leaf->key,
                          "not a known key");
}

static void
set_defaults(sky_settings_t *settings)
{
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        uint32_t value = (uint32_t)SETTINGS[i].default_value;
        if (SETTINGS[i].type == SETTING_UINT32) {
            memcpy((char *)settings + SETTINGS[i].offset, &value,
                   sizeof value);
        }
    }
}

static sky_result_t
validate_settings(const settings_loader_t *loader)
{
    const sky_settings_t *settings = loader->settings;
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        if (SETTINGS[i].type == SETTING_STRING && !loader->is_set[i]) {
            return report_invalid(loader, 0, SETTINGS[i].table,
                                  SETTINGS[i].key, "missing");
        }
    }
    for (uint32_t t = 0; t < settings->target_count; t++) {
        const sky_target_info_t *target = &settings->targets[t];
        if (target->name[0] == '\0' || target->address[0] == '\0' ||
            target->pool[0] == '\0' || target->batch == 0) {
            return report_invalid(
                loader, 0, "target", target->name,
                "name, address, pool and batch are required");
        }
    }
    if (settings->target_count == 0) {
        return report_invalid(loader, 0, "target", "name",
                              "no target is defined");
    }
    if (settings->log_poll_ms * 2 > settings->lease_ms) {
        return report_invalid(loader, 0, "platform", "log_poll_ms",
                              "at most half of lease.lease_ms");
    }
    if (settings->key_life_ms > settings->retention_ms / 2) {
        return report_invalid(loader, 0, "requests", "key_life_ms",
                              "at most half of platform.retention_ms");
    }
    return SKY_OK;
}

sky_result_t
SkySettings_Load(const char *path, sky_settings_t *settings, char *error)
{
    settings_loader_t loader = {
        .path = path, .settings = settings, .error = error};
    memset(settings, 0, sizeof *settings);
    set_defaults(settings);
    sky_result_t result =
        SkyToml_ForEachLeaf(path, apply_leaf, &loader, error);
    if (!SkyResult_IsError(result)) {
        result = validate_settings(&loader);
    }
    if (SkyResult_IsError(result)) {
        SkySettings_Clear(settings);
    }
    return result;
}

void
SkySettings_Clear(sky_settings_t *settings)
{
    free(settings->targets);
    settings->targets = NULL;
}

static uint64_t
ms_to_us(uint32_t value_ms)
{
    return (uint64_t)value_ms * US_PER_MS;
}

void
SkySettings_InitNodeOptions(const sky_settings_t *settings, uint64_t seed,
                            sky_node_options_t *options)
{
    SkyNode_InitOptions(options);
    memcpy(options->members.name, settings->host_name, SKY_NAME_BYTES);
    memcpy(options->members.address, settings->host_peer, SKY_ADDRESS_BYTES);
    memcpy(options->members.listen, settings->host_listen, SKY_ADDRESS_BYTES);
    options->members.domain = settings->domain;
    options->members.seed = seed;
    options->members.lease_us = ms_to_us(settings->lease_ms);
    options->members.margin_us = ms_to_us(settings->margin_ms);
    options->members.heartbeat_us = ms_to_us(settings->heartbeat_ms);
    options->members.suspect_us = ms_to_us(settings->suspect_ms);
    options->members.bootstrap_us = ms_to_us(settings->bootstrap_ms);
    options->members.degraded_us = ms_to_us(settings->degraded_ms);
    options->members.retention_us = ms_to_us(settings->retention_ms);
    options->shard.batch_weight = settings->batch_weight;
    options->shard.transit_max = settings->transit_max;
    options->shard.initial_load_us = ms_to_us(settings->load_ms);
    options->shard.report_interval_us = ms_to_us(settings->report_ms);
    options->shard.starvation_us = ms_to_us(settings->starvation_ms);
    options->shard.quarantine_us = ms_to_us(settings->quarantine_ms);
    options->entry.attempts_max = settings->attempts_max;
    options->entry.key_life_us = ms_to_us(settings->key_life_ms);
    options->entry.claim_writers_max = settings->claim_writers_max;
    options->claims.append_interval_us = ms_to_us(settings->claim_interval_ms);
    options->claims.key_retention_us = ms_to_us(settings->retention_ms);
    options->log_poll_us = ms_to_us(settings->log_poll_ms);
    options->shard_targets = settings->shard_targets;
    options->targets = settings->targets;
    options->target_count = settings->target_count;
}

void
SkySettings_PrintTable(void (*print)(const char *line, void *context),
                       void *context)
{
    char line[MAX_LINE_BYTES];
    for (size_t i = 0; i < SETTING_COUNT; i++) {
        const setting_t *setting = &SETTINGS[i];
        if (setting->type == SETTING_STRING) {
            snprintf(line, sizeof line,
                     "| `%s.%s` | text | required | %lld to %lld bytes | %s |",
                     setting->table, setting->key, (long long)setting->min,
                     (long long)setting->max, setting->meaning);
        }
        else {
            snprintf(line, sizeof line,
                     "| `%s.%s` | %s | %lld | %lld to %lld | %s |",
                     setting->table, setting->key, setting->unit,
                     (long long)setting->default_value,
                     (long long)setting->min, (long long)setting->max,
                     setting->meaning);
        }
        print(line, context);
    }
}
