/**
 * @file bench_slopes.c
 * @brief Cost of the control plane per host as the fleet grows.
 *
 * Runs the real decision logic on the driver's virtual clock; processor time
 * is that of this process. Message sizes are those of the peer codec, sizes of
 * log reads those of the records' JSON.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/driver.h"
#include "bench/stats.h"
#include "peer/codec.h"
#include "platform/record_json.h"

#define HOST_COUNT 330 /* of the largest fleet */
#define TARGET_COUNT 1600
#define SECOND_US UINT64_C(1000000)
#define WARM_UP_END_US (15 * SECOND_US)
#define MEASURED_US (30 * SECOND_US)
#define CONFIG_CHANGE_COUNT 20
#define CALL_OVERHEAD_BYTES 160 /* headers of a call and of its response */
#define EMPTY_READ_BYTES 420    /* request and response without records */
#define SHARD_TARGETS 5
#define DECISION_COUNT 20000

static sky_target_info_t targets[TARGET_COUNT];

static void
make_targets(uint32_t count)
{
    for (uint32_t t = 0; t < count; t++) {
        memset(&targets[t], 0, sizeof targets[t]);
        snprintf(targets[t].name, sizeof targets[t].name, "w%u", t);
        snprintf(targets[t].pool, sizeof targets[t].pool, "pool%u", t % 5);
        targets[t].domain = t * 17 / count;
        targets[t].slots = 8;
        targets[t].batch = 16;
    }
}

/** Sets the longer leases and intervals of large fleets: docs/CAPACITY.md. */
static void
set_fleet_options(driver_options_t *options, uint32_t hosts,
                  uint32_t target_count)
{
    Driver_SetDefaultOptions(options);
    options->seed = 7;
    options->hosts = hosts;
    options->domains = 17;
    options->tick_interval_us = 100000;
    options->node.targets = targets;
    options->node.target_count = target_count;
    options->node.shard_targets = SHARD_TARGETS;
    options->node.members.lease_us = 6 * SECOND_US;
    options->node.members.heartbeat_us = 1000000;
    options->node.members.suspect_us = 4000000;
    options->node.log_poll_us = 2000000;
    options->node.shard.report_interval_us = 2000000;
}

static double
cpu_time_s(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/** @return the size of a message of this kind whose fields are all 0. */
static size_t
encoded_message_bytes(sky_msg_kind_t kind)
{
    static char body[4096];
    sky_msg_t msg;
    size_t encoded_count;
    memset(&msg, 0, sizeof msg);
    msg.kind = kind;
    return SkyCodec_Encode(1, &msg, 1, body, sizeof body, &encoded_count);
}

static double
peer_bytes_between(const driver_stats_t *from, const driver_stats_t *to)
{
    double bytes = 0;
    for (uint32_t kind = 1; kind < 32; kind++) {
        uint64_t count =
            to->messages_by_kind[kind] - from->messages_by_kind[kind];
        if (count > 0) {
            bytes += (double)count *
                     (double)(encoded_message_bytes((sky_msg_kind_t)kind) +
                              CALL_OVERHEAD_BYTES);
        }
    }
    return bytes;
}

static size_t
log_record_bytes(void)
{
    sky_record_t record = {.kind = SKY_REC_CONFIG};
    record.u.config.kind = SKY_CONFIG_TEMPLATE;
    record.u.config.body = (char *)"{\"pool\": \"desk\", \"urgency\": 5}";
    json_t *root = SkyRecordJson_Encode(&record);
    char *text = json_dumps(root, JSON_COMPACT);
    size_t size = strlen(text) + 48;
    free(text);
    json_decref(root);
    return size;
}

/** @return seconds from a change until the last host has applied it. */
static double
time_config_change_s(driver_t *driver, uint32_t hosts, uint32_t number)
{
    char name[SKY_NAME_BYTES];
    sky_document_t document;
    uint64_t begun_us = Driver_NowUs(driver);
    uint32_t hosts_behind = hosts;
    snprintf(name, sizeof name, "event%u", number);
    Driver_SubmitConfigChange(driver, number % hosts, SKY_CONFIG_TEMPLATE,
                              name, 0, "{\"pool\": \"desk\"}");
    while (hosts_behind > 0 &&
           Driver_NowUs(driver) < begun_us + 60 * SECOND_US) {
        Driver_RunUntil(driver, Driver_NowUs(driver) + 100000);
        hosts_behind = 0;
        for (uint32_t h = 0; h < hosts; h++) {
            const sky_node_t *node = Driver_Node(driver, h);
            hosts_behind += !SkyConfig_FindDocument(
                SkyNode_Config(node), SKY_CONFIG_TEMPLATE, name, &document);
        }
    }
    return (double)(Driver_NowUs(driver) - begun_us) / SECOND_US;
}

static double
max_config_change_s(driver_t *driver, uint32_t hosts)
{
    double max_s = 0;
    for (uint32_t i = 0; i < CONFIG_CHANGE_COUNT; i++) {
        double change_s = time_config_change_s(driver, hosts, i);
        max_s = change_s > max_s ? change_s : max_s;
    }
    return max_s;
}

/** Prints the cost of membership, leases and reports in a fleet without
 *  requests. */
static void
measure_fleet_control(uint32_t hosts)
{
    driver_options_t options;
    uint32_t target_count = hosts * TARGET_COUNT / HOST_COUNT;
    make_targets(target_count);
    set_fleet_options(&options, hosts, target_count);
    size_t before_bytes = mallinfo2().uordblks;
    driver_t *driver = Driver_Create(&options);
    Driver_RunUntil(driver, WARM_UP_END_US);
    driver_stats_t begun = *Driver_Stats(driver);
    double begun_s = cpu_time_s();
    Driver_RunUntil(driver, WARM_UP_END_US + MEASURED_US);
    double cpu_s = cpu_time_s() - begun_s;
    driver_stats_t ended = *Driver_Stats(driver);
    double host_seconds = (double)hosts * MEASURED_US / SECOND_US;
    double reads = (double)(ended.log_reads - begun.log_reads);
    double records = (double)(ended.log_records_read - begun.log_records_read);
    double peer_bytes = peer_bytes_between(&begun, &ended) / host_seconds;
    double log_bytes =
        (reads * EMPTY_READ_BYTES + records * (double)log_record_bytes()) /
        host_seconds;
    size_t host_bytes = (mallinfo2().uordblks - before_bytes) / hosts;
    double change_s = max_config_change_s(driver, hosts);
    printf("%5u %7u %9.2f %9.2f %9.0f %9.0f %8.4f %9zu %8.2f %8.2f\n", hosts,
           target_count,
           (double)(ended.messages - begun.messages) / host_seconds,
           reads / host_seconds, peer_bytes, log_bytes,
           100 * cpu_s / host_seconds, host_bytes / 1024, change_s,
           (double)(ended.appends - begun.appends) * SECOND_US / MEASURED_US);
    Driver_Free(driver);
}

/* ---- time of one decision ---- */

static double
now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
step_node(sky_node_t *node, const sky_input_t *input, uint64_t at_us,
          sky_actions_t *out)
{
    out->count = 0;
    SkyNode_Step(node, input, at_us, 0, out);
}

/** Creates a node that is the only member and the owner of every shard. */
static sky_node_t *
create_shard_owner(uint32_t shard_targets, sky_actions_t *out)
{
    driver_options_t options;
    set_fleet_options(&options, 1, TARGET_COUNT);
    options.node.shard_targets = shard_targets;
    snprintf(options.node.members.name, SKY_NAME_BYTES, "solo");
    sky_node_t *node = SkyNode_Create(&options.node);
    sky_record_t join = {.kind = SKY_REC_JOIN, .offset = 1};
    join.u.member.host = SkyName_Hash("solo");
    snprintf(join.u.member.name, SKY_NAME_BYTES, "solo");
    sky_input_t log_read_input = {.kind = SKY_IN_LOG_READ};
    log_read_input.u.log_read.ok = true;
    log_read_input.u.log_read.reached_tail = true;
    log_read_input.u.log_read.oldest = 1;
    log_read_input.u.log_read.next = 2;
    log_read_input.u.log_read.records = &join;
    log_read_input.u.log_read.count = 1;
    log_read_input.u.log_read.begun_us = SECOND_US;
    step_node(node, &log_read_input, SECOND_US, out);
    log_read_input.u.log_read.begun_us = 9 * SECOND_US;
    log_read_input.u.log_read.count = 0;
    step_node(node, &log_read_input, 9 * SECOND_US, out);
    sky_input_t tick_input = {.kind = SKY_IN_TICK};
    step_node(node, &tick_input, 9 * SECOND_US, out);
    /* The jump to 9 s looks like a pause of the host, after which it gives out
     * no work before it has read the list of hosts. */
    sky_listed_target_t state = {0, false};
    sky_input_t host_list_input = {.kind = SKY_IN_HOST_LIST};
    host_list_input.u.host_list.states = &state;
    host_list_input.u.host_list.count = 1;
    step_node(node, &host_list_input, 9 * SECOND_US, out);
    return node;
}

/** Reports 8 adapters as resident on each target, of 140,000 in all. */
static void
report_all_targets(sky_node_t *node, sky_actions_t *out)
{
    for (uint32_t t = 0; t < TARGET_COUNT; t++) {
        sky_input_t input = {.kind = SKY_IN_REPORT};
        input.u.report.target = t;
        input.u.report.ok = true;
        input.u.report.begun_us = 9 * SECOND_US + 500000;
        input.u.report.report.epoch = 1;
        input.u.report.report.slot_count = 8;
        for (uint32_t i = 0; i < 8; i++) {
            input.u.report.report.slots[i].adapter =
                SkyRendezvous_Score(t, i) | 1;
        }
        step_node(node, &input, 9 * SECOND_US + 600000, out);
    }
}

static uint64_t
count_grants(const sky_node_t *node)
{
    uint64_t grants = 0;
    for (uint32_t i = 0; i < SkyNode_ShardCount(node); i++) {
        grants += SkyShard_GetStats(SkyNode_Shard(node, i))->grants;
    }
    return grants;
}

static void
measure_owner_decision(uint32_t shard_targets)
{
    static double decision_us[DECISION_COUNT];
    sky_actions_t out = {0};
    make_targets(TARGET_COUNT);
    sky_node_t *node = create_shard_owner(shard_targets, &out);
    report_all_targets(node, &out);
    uint64_t at_us = 9 * SECOND_US + 700000;

    for (uint32_t i = 0; i < DECISION_COUNT; i++) {
        uint32_t t = (i * 7919u) % TARGET_COUNT;
        sky_input_t acquire_input = {.kind = SKY_IN_MESSAGE};
        acquire_input.u.message.from = SkyName_Hash("solo");
        acquire_input.u.message.msg.kind = SKY_MSG_ACQUIRE;
        sky_msg_acquire_t *acquire = &acquire_input.u.message.msg.u.acquire;
        acquire->request = ((uint64_t)i + 1) << 8;
        acquire->adapter = SkyRendezvous_Score(t, i % 8) | 1;
        acquire->pool = (uint32_t)SkyName_Hash(targets[t].pool);
        acquire->shard = t / shard_targets;
        acquire->fingerprint = i + 1;
        acquire->remaining_ms = 30000;
        double begun_us = now_us();
        step_node(node, &acquire_input, at_us + i, &out);
        decision_us[i] = now_us() - begun_us;

        sky_input_t release_input = {.kind = SKY_IN_MESSAGE};
        release_input.u.message.from = acquire_input.u.message.from;
        release_input.u.message.msg.kind = SKY_MSG_PERMIT_RELEASE;
        release_input.u.message.msg.u.permit_release.request =
            acquire->request;
        release_input.u.message.msg.u.permit_release.shard = acquire->shard;
        step_node(node, &release_input, at_us + i, &out);
    }
    Stats_Sort(decision_us, DECISION_COUNT);
    printf("%6u targets a shard, owner: %lu of %d granted, median %.2f us, "
           "99th %.2f us\n",
           shard_targets, count_grants(node), DECISION_COUNT,
           Stats_Percentile(decision_us, DECISION_COUNT, 0.50),
           Stats_Percentile(decision_us, DECISION_COUNT, 0.99));
    SkyActions_Clear(&out);
    SkyNode_Free(node);
}

/** Measures the entry host's step, from the request to the ACQUIRE that it
 *  sends to the owner. */
static void
measure_entry_decision(uint32_t shard_targets)
{
    static double decision_us[DECISION_COUNT];
    sky_actions_t out = {0};
    make_targets(TARGET_COUNT);
    sky_node_t *node = create_shard_owner(shard_targets, &out);
    uint64_t at_us = 9 * SECOND_US + 700000;
    for (uint32_t i = 0; i < DECISION_COUNT; i++) {
        sky_input_t request_input = {.kind = SKY_IN_REQUEST};
        request_input.u.request.request = ((uint64_t)i + 1) << 8;
        request_input.u.request.adapter = SkyRendezvous_Score(i, 1) | 1;
        request_input.u.request.pool =
            (uint32_t)SkyName_Hash(targets[i % 5].pool);
        request_input.u.request.timeout_ms = 30000;
        double begun_us = now_us();
        step_node(node, &request_input, at_us, &out);
        decision_us[i] = now_us() - begun_us;
        sky_input_t cancel_input = {.kind = SKY_IN_CANCEL};
        cancel_input.u.cancel = request_input.u.request.request;
        step_node(node, &cancel_input, at_us, &out);
    }
    Stats_Sort(decision_us, DECISION_COUNT);
    printf("%6u targets a shard, entry: median %.2f us, 99th %.2f us\n",
           shard_targets, Stats_Percentile(decision_us, DECISION_COUNT, 0.50),
           Stats_Percentile(decision_us, DECISION_COUNT, 0.99));
    SkyActions_Clear(&out);
    SkyNode_Free(node);
}

/* ---- configuration ---- */

/** Prints the memory of the configuration with this many adapters, and the
 *  time to apply a change. */
static void
measure_config_memory(uint32_t adapters)
{
    char name[SKY_NAME_BYTES];
    char body[8192];
    const uint32_t WORKSPACE_ADAPTERS = 28;
    sky_actions_t out = {0};
    size_t bytes_before = mallinfo2().uordblks;
    sky_config_t *config = SkyConfig_Create(3600 * SECOND_US, 0);
    SkyConfig_SetLogStart(config, 1);
    sky_record_t record = {.kind = SKY_REC_CONFIG, .offset = 1};
    record.u.config.kind = SKY_CONFIG_TEMPLATE;
    record.u.config.body = (char *)"{\"pool\": \"desk\"}";
    snprintf(record.u.config.name, SKY_NAME_BYTES, "opening");
    SkyConfig_ApplyRecord(config, &record, SECOND_US, &out);
    double begun_s = cpu_time_s();
    uint32_t workspaces = adapters / WORKSPACE_ADAPTERS;
    for (uint32_t w = 0; w < workspaces; w++) {
        int used = snprintf(body, sizeof body,
                            "{\"template\": \"opening\", \"credential\": "
                            "\"%064u\", \"adapters\": [",
                            w);
        for (uint32_t a = 0; a < WORKSPACE_ADAPTERS; a++) {
            used += snprintf(body + used, sizeof body - (size_t)used,
                             "%s{\"name\": \"a%u\", \"version\": \"1\"}",
                             a ? ", " : "", w * WORKSPACE_ADAPTERS + a);
        }
        snprintf(body + used, sizeof body - (size_t)used, "]}");
        snprintf(name, sizeof name, "w%u", w);
        record.offset++;
        record.u.config.kind = SKY_CONFIG_WORKSPACE;
        record.u.config.body = body;
        memcpy(record.u.config.name, name, sizeof name);
        out.count = 0;
        SkyConfig_ApplyRecord(config, &record, SECOND_US, &out);
    }
    double cpu_s = cpu_time_s() - begun_s;
    SkyActions_Clear(&out);
    printf("%7u adapters in %u workspaces: %zu KB, %.1f us a change\n",
           adapters, workspaces, (mallinfo2().uordblks - bytes_before) / 1024,
           1e6 * cpu_s / workspaces);
    SkyConfig_Free(config);
}

int
main(void)
{
    printf("fleet with %d targets a shard, lease 6 s, log read every 2 s, "
           "reports every 2 s; /n: per host\n",
           SHARD_TARGETS);
    printf(
        "hosts targets  msgs/s/n  reads/s/n peer_B/s/n  log_B/s/n   cpu%%/n "
        "  KB/node change_s appends/s\n");
    const uint32_t SIZES[] = {8, 16, 32, 64, 128, HOST_COUNT};
    for (size_t i = 0; i < sizeof SIZES / sizeof SIZES[0]; i++) {
        measure_fleet_control(SIZES[i]);
        fflush(stdout);
    }
    printf("one decision at 1,600 targets\n");
    measure_owner_decision(5);
    measure_owner_decision(32);
    measure_entry_decision(5);
    measure_entry_decision(32);
    printf("configuration of a host\n");
    measure_config_memory(14000);
    measure_config_memory(70000);
    measure_config_memory(140000);
    return 0;
}
