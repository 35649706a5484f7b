#include "serve/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
#define LINE_BYTES 512
#define DAY_MS 86400000

typedef enum {
    KEY_UINT32,
    KEY_STRING,
} key_type_t;

/** One key of the file. */
typedef struct {
    const char *table;
    const char *key;
    const char *unit;
    const char *meaning;
    key_type_t type;
    size_t offset;
    int64_t value; /* default of a number */
    int64_t min;   /* of a string: its length */
    int64_t max;
} setting_t;

#define NUMBER(table, key, field, unit, value, min, max, meaning)             \
    {                                                                         \
        table, key, unit, meaning, KEY_UINT32,                                \
            offsetof(sky_settings_t, field), value, min, max                  \
    }
#define STRING(table, key, field, min, meaning)                               \
    {                                                                         \
        table, key, "text", meaning, KEY_STRING,                              \
            offsetof(sky_settings_t, field), 0, min,                          \
            sizeof(((sky_settings_t *)0)->field) - 1                          \
    }

static const setting_t KEYS[] = {
    STRING("host", "name", host_name, 1, "name of this host, unique"),
    STRING("host", "listen", host_listen, 3, "address:port for callers"),
    STRING("host", "peer", host_peer, 3, "address:port for other hosts"),
    NUMBER("host", "domain", domain, "-", 0, 0, 1023,
           "failure domain of this host"),
    NUMBER("host", "balancer_wait_ms", balancer_wait_ms, "ms", 2000, 0, 60000,
           "time from not ready to closing the listener"),
    STRING("keys", "peer", peer_key, 16, "key shared by all hosts"),
    STRING("keys", "operator", operator_key, 16, "key of operators' calls"),
    STRING("platform", "log", log_address, 3, "address:port of the log"),
    STRING("platform", "hosts", hosts_address, 3,
           "address:port of the list of live and leaving hosts"),
    STRING("platform", "store", store_address, 3,
           "address:port that targets load weights from"),
    NUMBER("platform", "log_timeout_ms", log_timeout_ms, "ms", 2000, 100,
           30000, "longest wait for an answer of the log"),
    NUMBER("platform", "log_poll_ms", log_poll_ms, "ms", 400, 50, 10000,
           "time between reads of the log's tail"),
    NUMBER("platform", "hosts_poll_ms", hosts_poll_ms, "ms", 1000, 100, 10000,
           "time between reads of the list of hosts"),
    NUMBER("platform", "retention_ms", retention_ms, "ms", 3600000, 10000,
           7 * DAY_MS, "for how long the log keeps a record"),
    NUMBER("lease", "lease_ms", lease_ms, "ms", 1500, 200, 60000,
           "life of a lease from the begin of a read"),
    NUMBER("lease", "margin_ms", margin_ms, "ms", 1000, 100, 30000,
           "bound on clock drift and on delayed orders"),
    NUMBER("lease", "heartbeat_ms", heartbeat_ms, "ms", 300, 50, 10000,
           "time between heartbeats"),
    NUMBER("lease", "suspect_ms", suspect_ms, "ms", 1200, 200, 60000,
           "silence after which a host is suspected"),
    NUMBER("lease", "bootstrap_ms", bootstrap_ms, "ms", 5000, 1000, 600000,
           "a new host that no member lets in joins anyway after this"),
    NUMBER("lease", "degraded_ms", degraded_ms, "ms", 600000, 0, 3600000,
           "for how long a host may act while the log is out for all"),
    NUMBER("placement", "shard_targets", shard_targets, "-", 32, 1, 4096,
           "targets that one owner decides for"),
    NUMBER("placement", "transit_max", transit_max, "-", 4, 1, 64,
           "loads of one shard at once"),
    NUMBER("placement", "load_ms", load_ms, "ms", 900, 1, 600000,
           "first estimate of one load"),
    NUMBER("placement", "load_timeout_ms", load_timeout_ms, "ms", 30000, 100,
           600000, "longest wait for a load or unload"),
    NUMBER("placement", "report_ms", report_ms, "ms", 1000, 50, 60000,
           "time between load reports of a target"),
    NUMBER("placement", "starvation_ms", starvation_ms, "ms", 20000, 100,
           600000, "a longer wait goes before popularity"),
    NUMBER("placement", "quarantine_ms", quarantine_ms, "ms", 600000, 1000,
           DAY_MS, "for how long a crashing request is refused"),
    NUMBER("placement", "batch_weight", batch_weight, "%", 20, 0, 100,
           "0: load stalls count; 100: batch efficiency counts"),
    NUMBER("requests", "attempts_max", attempts_max, "-", 3, 1, 8,
           "dispatches of one idempotent request"),
    NUMBER("requests", "key_life_ms", key_life_ms, "ms", 1800000, 1000, DAY_MS,
           "age above which an idempotency key is refused"),
    NUMBER("requests", "claim_interval_ms", claim_interval_ms, "ms", 100, 1,
           10000, "shortest time between two appends of claims"),
    NUMBER("requests", "claim_writers_max", claim_writers_max, "-", 8, 1, 64,
           "hosts that append claims"),
    NUMBER("requests", "timeout_ms", timeout_ms, "ms", 30000, 1, 600000,
           "deadline where the caller names none"),
    NUMBER("requests", "timeout_max_ms", timeout_max_ms, "ms", 300000, 1,
           3600000, "longest deadline a caller may name"),
    NUMBER("limits", "idle_ms", idle_ms, "ms", 30000, 1000, 600000,
           "longest silence of a connection"),
    NUMBER("limits", "body_bytes_max", body_bytes_max, "bytes", 1048576, 1024,
           67108864, "largest body of a request"),
    NUMBER("limits", "header_bytes_max", header_bytes_max, "bytes", 32768,
           4096, 1048576, "memory for the header of a request"),
    NUMBER("limits", "connections_max", connections_max, "-", 2000, 1, 20000,
           "connections of callers at once"),
    NUMBER("limits", "caller_connections_max", caller_connections_max, "-",
           2000, 1, 20000, "connections of one address at once"),
};

#define KEY_COUNT (sizeof KEYS / sizeof KEYS[0])

typedef struct {
    const char *path;
    sky_settings_t *settings;
    char *error;
    bool seen[KEY_COUNT];
} load_t;

static sky_result_t
fail(const load_t *load, uint32_t line, const char *table, const char *key,
     const char *rule)
{
    snprintf(load->error, SKY_ERROR_BYTES, "%s:%u: %s.%s: %s", load->path,
             line, table, key, rule);
    return SKY_E_SETTINGS;
}

static sky_result_t
set_number(const load_t *load, const setting_t *key,
           const sky_toml_leaf_t *leaf)
{
    char rule[LINE_BYTES / 4];
    if (leaf->type != SKY_TOML_INTEGER || leaf->integer < key->min ||
        leaf->integer > key->max) {
        snprintf(rule, sizeof rule, "an integer from %lld to %lld (%s)",
                 (long long)key->min, (long long)key->max, key->unit);
        return fail(load, leaf->line, key->table, key->key, rule);
    }
    uint32_t value = (uint32_t)leaf->integer;
    memcpy((char *)load->settings + key->offset, &value, sizeof value);
    return SKY_OK;
}

static sky_result_t
set_string(const load_t *load, const setting_t *key,
           const sky_toml_leaf_t *leaf)
{
    char rule[LINE_BYTES / 4];
    size_t length = strlen(leaf->string);
    if (leaf->type != SKY_TOML_STRING || length < (size_t)key->min ||
        length > (size_t)key->max) {
        snprintf(rule, sizeof rule, "text of %lld to %lld bytes",
                 (long long)key->min, (long long)key->max);
        return fail(load, leaf->line, key->table, key->key, rule);
    }
    strcpy((char *)load->settings + key->offset, leaf->string);
    return SKY_OK;
}

static sky_result_t
set_text(const load_t *load, const sky_toml_leaf_t *leaf, char *text,
         size_t size)
{
    if (leaf->type != SKY_TOML_STRING || leaf->string[0] == '\0' ||
        strlen(leaf->string) >= size) {
        return fail(load, leaf->line, "target", leaf->key,
                    "text of 1 to 47 bytes");
    }
    snprintf(text, size, "%s", leaf->string);
    return SKY_OK;
}

static sky_result_t
set_count(const load_t *load, const sky_toml_leaf_t *leaf, uint32_t max,
          uint32_t *count)
{
    char rule[LINE_BYTES / 4];
    if (leaf->type != SKY_TOML_INTEGER || leaf->integer < 0 ||
        leaf->integer > max) {
        snprintf(rule, sizeof rule, "an integer from 0 to %u", max);
        return fail(load, leaf->line, "target", leaf->key, rule);
    }
    *count = (uint32_t)leaf->integer;
    return SKY_OK;
}

static sky_target_info_t *
nth_target(load_t *load, int64_t index)
{
    sky_settings_t *settings = load->settings;
    if (index < 0 || index >= SKY_TARGETS_MAX) {
        return NULL;
    }
    if (settings->targets == NULL) {
        settings->targets = calloc(SKY_TARGETS_MAX, sizeof *settings->targets);
    }
    if (settings->targets != NULL && index >= settings->target_count) {
        settings->target_count = (uint32_t)index + 1;
        settings->targets[index].batch = 1;
    }
    return settings->targets ? &settings->targets[index] : NULL;
}

static sky_result_t
set_target(load_t *load, const sky_toml_leaf_t *leaf)
{
    sky_target_info_t *target = nth_target(load, leaf->index);
    if (target == NULL) {
        return fail(load, leaf->line, "target", leaf->key, "too many targets");
    }
    if (strcmp(leaf->key, "name") == 0) {
        return set_text(load, leaf, target->name, sizeof target->name);
    }
    if (strcmp(leaf->key, "address") == 0) {
        return set_text(load, leaf, target->address, sizeof target->address);
    }
    if (strcmp(leaf->key, "pool") == 0) {
        return set_text(load, leaf, target->pool, sizeof target->pool);
    }
    if (strcmp(leaf->key, "domain") == 0) {
        return set_count(load, leaf, 1023, &target->domain);
    }
    if (strcmp(leaf->key, "slots") == 0) {
        return set_count(load, leaf, SKY_ADAPTER_SLOTS_MAX, &target->slots);
    }
    if (strcmp(leaf->key, "batch") == 0) {
        return set_count(load, leaf, 4096, &target->batch);
    }
    if (strcmp(leaf->key, "checks_fencing") == 0) {
        target->checks_fencing = leaf->boolean;
        return leaf->type == SKY_TOML_BOOLEAN
                   ? SKY_OK
                   : fail(load, leaf->line, "target", leaf->key,
                          "true or false");
    }
    return fail(load, leaf->line, "target", leaf->key, "not a known key");
}

static sky_result_t
visit(const sky_toml_leaf_t *leaf, void *context)
{
    load_t *load = context;
    if (strcmp(leaf->table, "target") == 0) {
        return set_target(load, leaf);
    }
    for (size_t i = 0; i < KEY_COUNT; i++) {
        const setting_t *key = &KEYS[i];
        if (strcmp(leaf->table, key->table) != 0 ||
            strcmp(leaf->key, key->key) != 0) {
            continue;
        }
        load->seen[i] = true;
        return key->type == KEY_UINT32 ? set_number(load, key, leaf)
                                       : set_string(load, key, leaf);
    }
    return fail(load, leaf->line, leaf->table, leaf->key, "not a known key");
}

static void
set_defaults(sky_settings_t *settings)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        uint32_t value = (uint32_t)KEYS[i].value;
        if (KEYS[i].type == KEY_UINT32) {
            memcpy((char *)settings + KEYS[i].offset, &value, sizeof value);
        }
    }
}

static sky_result_t
check_whole(const load_t *load)
{
    const sky_settings_t *settings = load->settings;
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (KEYS[i].type == KEY_STRING && !load->seen[i]) {
            return fail(load, 0, KEYS[i].table, KEYS[i].key, "missing");
        }
    }
    for (uint32_t t = 0; t < settings->target_count; t++) {
        const sky_target_info_t *target = &settings->targets[t];
        if (target->name[0] == '\0' || target->address[0] == '\0' ||
            target->pool[0] == '\0' || target->batch == 0) {
            return fail(load, 0, "target", target->name,
                        "name, address, pool and batch are needed");
        }
    }
    if (settings->target_count == 0) {
        return fail(load, 0, "target", "name", "no target is given");
    }
    if (settings->log_poll_ms * 2 > settings->lease_ms) {
        return fail(load, 0, "platform", "log_poll_ms",
                    "at most half of lease.lease_ms");
    }
    if (settings->key_life_ms > settings->retention_ms / 2) {
        return fail(load, 0, "requests", "key_life_ms",
                    "at most half of platform.retention_ms");
    }
    return SKY_OK;
}

sky_result_t
SkySettings_Load(const char *path, sky_settings_t *settings, char *error)
{
    load_t load = {.path = path, .settings = settings, .error = error};
    memset(settings, 0, sizeof *settings);
    set_defaults(settings);
    sky_result_t result = SkyToml_ForEach(path, visit, &load, error);
    if (!SkyResult_IsError(result)) {
        result = check_whole(&load);
    }
    if (SkyResult_IsError(result)) {
        SkySettings_Free(settings);
    }
    return result;
}

void
SkySettings_Free(sky_settings_t *settings)
{
    free(settings->targets);
    settings->targets = NULL;
}

static uint64_t
to_us(uint32_t value_ms)
{
    return (uint64_t)value_ms * US_PER_MS;
}

void
SkySettings_ToNode(const sky_settings_t *settings, uint64_t seed,
                   sky_node_options_t *options)
{
    SkyNode_InitOptions(options);
    memcpy(options->members.name, settings->host_name, SKY_NAME_BYTES);
    memcpy(options->members.address, settings->host_peer, SKY_ADDRESS_BYTES);
    memcpy(options->members.listen, settings->host_listen, SKY_ADDRESS_BYTES);
    options->members.domain = settings->domain;
    options->members.seed = seed;
    options->members.lease_us = to_us(settings->lease_ms);
    options->members.margin_us = to_us(settings->margin_ms);
    options->members.heartbeat_us = to_us(settings->heartbeat_ms);
    options->members.suspect_us = to_us(settings->suspect_ms);
    options->members.bootstrap_us = to_us(settings->bootstrap_ms);
    options->members.degraded_us = to_us(settings->degraded_ms);
    options->members.retention_us = to_us(settings->retention_ms);
    options->shard.batch_weight = settings->batch_weight;
    options->shard.transit_max = settings->transit_max;
    options->shard.initial_load_us = to_us(settings->load_ms);
    options->shard.report_interval_us = to_us(settings->report_ms);
    options->shard.starvation_us = to_us(settings->starvation_ms);
    options->shard.quarantine_us = to_us(settings->quarantine_ms);
    options->entry.attempts_max = settings->attempts_max;
    options->entry.key_life_us = to_us(settings->key_life_ms);
    options->entry.claim_writers_max = settings->claim_writers_max;
    options->claims.append_interval_us = to_us(settings->claim_interval_ms);
    options->claims.key_retention_us = to_us(settings->retention_ms);
    options->log_poll_us = to_us(settings->log_poll_ms);
    options->shard_targets = settings->shard_targets;
    options->targets = settings->targets;
    options->target_count = settings->target_count;
}

void
SkySettings_PrintTable(void (*print)(const char *line, void *context),
                       void *context)
{
    char line[LINE_BYTES];
    for (size_t i = 0; i < KEY_COUNT; i++) {
        const setting_t *key = &KEYS[i];
        if (key->type == KEY_STRING) {
            snprintf(line, sizeof line,
                     "| `%s.%s` | text | required | %lld to %lld bytes | %s |",
                     key->table, key->key, (long long)key->min,
                     (long long)key->max, key->meaning);
        }
        else {
            snprintf(line, sizeof line,
                     "| `%s.%s` | %s | %lld | %lld to %lld | %s |", key->table,
                     key->key, key->unit, (long long)key->value,
                     (long long)key->min, (long long)key->max, key->meaning);
        }
        print(line, context);
    }
}
