/**
 * @file bench_slopes.c
 * @brief What control costs a node as the fleet grows, on the virtual clock.
 *
 * The decision logic is real; processor time is what its steps took here.
 * Message sizes are those of the codec, reads of the log those of its JSON.
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

#define SECOND_US UINT64_C(1000000)
#define WARM_UP_US (15 * SECOND_US)
#define MEASURED_US (30 * SECOND_US)
#define CHANGES 20
#define RPC_BYTES 160  /* headers of one call and its reply, both ways */
#define READ_BYTES 420 /* request and answer of an empty read, both ways */
#define TARGETS_A_SHARD 5
#define DECISIONS 20000

static sky_target_info_t targets[1600];

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

/** Settings for the fleet: slower leases, as docs/CAPACITY.md says. */
static void
fleet_options(driver_options_t *options, uint32_t hosts, uint32_t target_count)
{
    Driver_Defaults(options);
    options->seed = 7;
    options->hosts = hosts;
    options->domains = 17;
    options->tick_interval_us = 100000;
    options->node.targets = targets;
    options->node.target_count = target_count;
    options->node.shard_targets = TARGETS_A_SHARD;
    options->node.members.lease_us = 6 * SECOND_US;
    options->node.members.heartbeat_us = 1000000;
    options->node.members.suspect_us = 4000000;
    options->node.log_poll_us = 2000000;
    options->node.shard.report_us = 2000000;
}

static double
processor_s(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static size_t
encoded_bytes(sky_msg_kind_t kind)
{
    static char body[4096];
    sky_msg_t msg;
    size_t taken;
    memset(&msg, 0, sizeof msg);
    msg.kind = kind;
    return SkyCodec_Encode(1, &msg, 1, body, sizeof body, &taken);
}

static double
message_bytes(const driver_stats_t *from, const driver_stats_t *to)
{
    double bytes = 0;
    for (uint32_t kind = 1; kind < 32; kind++) {
        uint64_t count = to->messages_by_kind[kind] - from->messages_by_kind[kind];
        if (count > 0) {
            bytes += (double)count *
                     (double)(encoded_bytes((sky_msg_kind_t)kind) + RPC_BYTES);
        }
    }
    return bytes;
}

static size_t
record_bytes(void)
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

/** @return seconds from the change until the last host has it in force. */
static double
change_time_s(driver_t *driver, uint32_t hosts, uint32_t number)
{
    char name[SKY_NAME_BYTES];
    sky_document_t document;
    uint64_t begun_us = Driver_Now(driver);
    uint32_t behind = hosts;
    snprintf(name, sizeof name, "event%u", number);
    Driver_Change(driver, number % hosts, SKY_CONFIG_TEMPLATE, name, 0,
                  "{\"pool\": \"desk\"}");
    while (behind > 0 && Driver_Now(driver) < begun_us + 60 * SECOND_US) {
        Driver_Run(driver, Driver_Now(driver) + 100000);
        behind = 0;
        for (uint32_t h = 0; h < hosts; h++) {
            const sky_node_t *node = Driver_Node(driver, h);
            behind += !SkyConfig_Find(SkyNode_Config(node),
                                      SKY_CONFIG_TEMPLATE, name, &document);
        }
    }
    return (double)(Driver_Now(driver) - begun_us) / SECOND_US;
}

static double
worst_change_s(driver_t *driver, uint32_t hosts)
{
    double worst = 0;
    for (uint32_t i = 0; i < CHANGES; i++) {
        double took_s = change_time_s(driver, hosts, i);
        worst = took_s > worst ? took_s : worst;
    }
    return worst;
}

/** Control of an idle fleet: membership, leases, reports. */
static void
measure_fleet(uint32_t hosts)
{
    driver_options_t options;
    uint32_t target_count = hosts * 1600 / 330;
    make_targets(target_count);
    fleet_options(&options, hosts, target_count);
    size_t before_bytes = mallinfo2().uordblks;
    driver_t *driver = Driver_Create(&options);
    Driver_Run(driver, WARM_UP_US);
    driver_stats_t begun = *Driver_Stats(driver);
    double begun_s = processor_s();
    Driver_Run(driver, WARM_UP_US + MEASURED_US);
    double used_s = processor_s() - begun_s;
    driver_stats_t ended = *Driver_Stats(driver);
    double per = (double)hosts * MEASURED_US / SECOND_US;
    double reads = (double)(ended.log_reads - begun.log_reads);
    double records = (double)(ended.log_records_read - begun.log_records_read);
    double peer_bytes = message_bytes(&begun, &ended) / per;
    double log_bytes =
        (reads * READ_BYTES + records * (double)record_bytes()) / per;
    size_t memory = (mallinfo2().uordblks - before_bytes) / hosts;
    double change_s = worst_change_s(driver, hosts);
    printf("%5u %7u %9.2f %9.2f %9.0f %9.0f %8.4f %9zu %8.2f %8.2f\n", hosts,
           target_count, (double)(ended.messages - begun.messages) / per,
           reads / per, peer_bytes, log_bytes, 100 * used_s / per,
           memory / 1024, change_s,
           (double)(ended.appends - begun.appends) * SECOND_US / MEASURED_US);
    Driver_Free(driver);
}

/* ---- one decision ---- */

static double
now_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
step(sky_node_t *node, const sky_input_t *input, uint64_t at_us,
     sky_actions_t *out)
{
    out->count = 0;
    SkyNode_Step(node, input, at_us, 0, out);
}

/** A single node that owns every shard, with all targets reported. */
static sky_node_t *
single_owner(uint32_t shard_targets, sky_actions_t *out)
{
    driver_options_t options;
    fleet_options(&options, 1, 1600);
    options.node.shard_targets = shard_targets;
    snprintf(options.node.members.name, SKY_NAME_BYTES, "solo");
    sky_node_t *node = SkyNode_Create(&options.node);
    sky_record_t join = {.kind = SKY_REC_JOIN, .offset = 1};
    join.u.member.host = SkyName_Hash("solo");
    snprintf(join.u.member.name, SKY_NAME_BYTES, "solo");
    sky_input_t read = {.kind = SKY_IN_LOG_READ};
    read.u.log_read.ok = true;
    read.u.log_read.reached_tail = true;
    read.u.log_read.oldest = 1;
    read.u.log_read.next = 2;
    read.u.log_read.records = &join;
    read.u.log_read.count = 1;
    read.u.log_read.begun_us = SECOND_US;
    step(node, &read, SECOND_US, out);
    read.u.log_read.begun_us = 9 * SECOND_US;
    read.u.log_read.count = 0;
    step(node, &read, 9 * SECOND_US, out);
    sky_input_t tick = {.kind = SKY_IN_TICK};
    step(node, &tick, 9 * SECOND_US, out);
    /* The gap looks like a pause: no work is given before the list is read. */
    sky_host_state_t state = {0, false};
    sky_input_t list = {.kind = SKY_IN_HOST_LIST};
    list.u.host_list.states = &state;
    list.u.host_list.count = 1;
    step(node, &list, 9 * SECOND_US, out);
    return node;
}

/** Reports 8 of the 140,000 adapters resident on each target. */
static void
report_all(sky_node_t *node, sky_actions_t *out)
{
    for (uint32_t t = 0; t < 1600; t++) {
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
        step(node, &input, 9 * SECOND_US + 600000, out);
    }
}

static uint64_t
count_grants(const sky_node_t *node)
{
    uint64_t grants = 0;
    for (uint32_t i = 0; i < SkyNode_ShardCount(node); i++) {
        grants += SkyShard_Stats(SkyNode_Shard(node, i))->grants;
    }
    return grants;
}

static void
measure_decision(uint32_t shard_targets)
{
    static double took_us[DECISIONS];
    sky_actions_t out = {0};
    make_targets(1600);
    sky_node_t *node = single_owner(shard_targets, &out);
    report_all(node, &out);
    uint64_t at_us = 9 * SECOND_US + 700000;

    for (uint32_t i = 0; i < DECISIONS; i++) {
        uint32_t t = (i * 7919u) % 1600;
        sky_input_t ask = {.kind = SKY_IN_MESSAGE};
        ask.u.message.from = SkyName_Hash("solo");
        ask.u.message.msg.kind = SKY_MSG_ACQUIRE;
        sky_msg_acquire_t *acquire = &ask.u.message.msg.u.acquire;
        acquire->request = ((uint64_t)i + 1) << 8;
        acquire->adapter = SkyRendezvous_Score(t, i % 8) | 1;
        acquire->pool = (uint32_t)SkyName_Hash(targets[t].pool);
        acquire->shard = t / shard_targets;
        acquire->fingerprint = i + 1;
        acquire->patience_ms = 30000;
        double begun = now_us();
        step(node, &ask, at_us + i, &out);
        took_us[i] = now_us() - begun;

        sky_input_t done = {.kind = SKY_IN_MESSAGE};
        done.u.message.from = ask.u.message.from;
        done.u.message.msg.kind = SKY_MSG_DONE;
        done.u.message.msg.u.done.request = acquire->request;
        done.u.message.msg.u.done.shard = acquire->shard;
        step(node, &done, at_us + i, &out);
    }
    Stats_Sort(took_us, DECISIONS);
    printf("%6u targets a shard, owner: %lu of %d granted, median %.2f us, "
           "99th %.2f us\n",
           shard_targets, count_grants(node), DECISIONS,
           Stats_Percentile(took_us, DECISIONS, 0.50),
           Stats_Percentile(took_us, DECISIONS, 0.99));
    SkyActions_Free(&out);
    SkyNode_Free(node);
}

/** The entry host's part: from the request to the question to the owner. */
static void
measure_entry(uint32_t shard_targets)
{
    static double took_us[DECISIONS];
    sky_actions_t out = {0};
    make_targets(1600);
    sky_node_t *node = single_owner(shard_targets, &out);
    uint64_t at_us = 9 * SECOND_US + 700000;
    for (uint32_t i = 0; i < DECISIONS; i++) {
        sky_input_t ask = {.kind = SKY_IN_REQUEST};
        ask.u.request.request = ((uint64_t)i + 1) << 8;
        ask.u.request.adapter = SkyRendezvous_Score(i, 1) | 1;
        ask.u.request.pool = (uint32_t)SkyName_Hash(targets[i % 5].pool);
        ask.u.request.timeout_ms = 30000;
        double begun = now_us();
        step(node, &ask, at_us, &out);
        took_us[i] = now_us() - begun;
        sky_input_t cancel = {.kind = SKY_IN_CANCEL};
        cancel.u.cancel = ask.u.request.request;
        step(node, &cancel, at_us, &out);
    }
    Stats_Sort(took_us, DECISIONS);
    printf("%6u targets a shard, entry: median %.2f us, 99th %.2f us\n",
           shard_targets, Stats_Percentile(took_us, DECISIONS, 0.50),
           Stats_Percentile(took_us, DECISIONS, 0.99));
    SkyActions_Free(&out);
    SkyNode_Free(node);
}

/* ---- adapters ---- */

/** Memory of a host that knows all workspaces, by number of adapters. */
static void
measure_adapters(uint32_t adapters)
{
    char name[SKY_NAME_BYTES];
    char body[8192];
    const uint32_t EACH = 28;
    sky_actions_t out = {0};
    size_t before = mallinfo2().uordblks;
    sky_config_t *config = SkyConfig_Create(3600 * SECOND_US, 0);
    SkyConfig_NoteStart(config, 1);
    sky_record_t record = {.kind = SKY_REC_CONFIG, .offset = 1};
    record.u.config.kind = SKY_CONFIG_TEMPLATE;
    record.u.config.body = (char *)"{\"pool\": \"desk\"}";
    snprintf(record.u.config.name, SKY_NAME_BYTES, "opening");
    SkyConfig_Apply(config, &record, SECOND_US, &out);
    double begun = processor_s();
    uint32_t workspaces = adapters / EACH;
    for (uint32_t w = 0; w < workspaces; w++) {
        int used = snprintf(body, sizeof body,
                            "{\"template\": \"opening\", \"credential\": "
                            "\"%064u\", \"adapters\": [",
                            w);
        for (uint32_t a = 0; a < EACH; a++) {
            used += snprintf(body + used, sizeof body - (size_t)used,
                             "%s{\"name\": \"a%u\", \"version\": \"1\"}",
                             a ? ", " : "", w * EACH + a);
        }
        snprintf(body + used, sizeof body - (size_t)used, "]}");
        snprintf(name, sizeof name, "w%u", w);
        record.offset++;
        record.u.config.kind = SKY_CONFIG_WORKSPACE;
        record.u.config.body = body;
        memcpy(record.u.config.name, name, sizeof name);
        out.count = 0;
        SkyConfig_Apply(config, &record, SECOND_US, &out);
    }
    double used_s = processor_s() - begun;
    SkyActions_Free(&out);
    printf("%7u adapters in %u workspaces: %zu KB, %.1f us a change\n",
           adapters, workspaces, (mallinfo2().uordblks - before) / 1024,
           1e6 * used_s / workspaces);
    SkyConfig_Free(config);
}

int
main(void)
{
    printf("fleet with %d targets a shard, lease 6 s, log read every 2 s, "
           "reports every 2 s\n",
           TARGETS_A_SHARD);
    printf(
        "hosts targets  msgs/s/n  reads/s/n peer_B/s/n  log_B/s/n   cpu%%/n "
        "  KB/node change_s appends/s\n");
    const uint32_t SIZES[] = {8, 16, 32, 64, 128, 330};
    for (size_t i = 0; i < sizeof SIZES / sizeof SIZES[0]; i++) {
        measure_fleet(SIZES[i]);
        fflush(stdout);
    }
    printf("one decision at 1,600 targets\n");
    measure_decision(5);
    measure_decision(32);
    measure_entry(5);
    measure_entry(32);
    printf("configuration of a host\n");
    measure_adapters(14000);
    measure_adapters(70000);
    measure_adapters(140000);
    return 0;
}
