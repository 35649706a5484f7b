#include "serve/status.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/invariant.h"

typedef struct {
    sky_control_t *control;
    json_t *root;
    FILE *text;
} context_t;

static json_t *
number(uint64_t value)
{
    return json_integer((json_int_t)value);
}

/* ---- JSON ---- */

static void
add_members(const sky_members_t *members, json_t *root)
{
    size_t count;
    const sky_member_t *list = SkyMembers_GetList(members, &count);
    json_t *array = json_array();
    for (size_t i = 0; i < count; i++) {
        json_t *item = json_object();
        json_object_set_new(item, "name", json_string(list[i].name));
        json_object_set_new(item, "address", json_string(list[i].address));
        json_object_set_new(item, "listen", json_string(list[i].listen));
        json_object_set_new(item, "domain", number(list[i].domain));
        json_object_set_new(item, "incarnation", number(list[i].incarnation));
        json_object_set_new(item, "draining", json_boolean(list[i].draining));
        json_array_append_new(array, item);
    }
    json_object_set_new(root, "members", array);
    json_object_set_new(root, "view", number(SkyMembers_ViewOffset(members)));
    json_object_set_new(root, "log_next",
                        number(SkyMembers_NextOffset(members)));
    json_object_set_new(
        root, "lease",
        json_boolean(SkyMembers_HasLease(members, SkyClock_NowUs())));
}

static const char *
target_use(const sky_target_status_t *status)
{
    if (status->leaving) {
        return "leaving";
    }
    if (status->down) {
        return "no answer";
    }
    return status->has_report ? "in use" : "no report yet";
}

static json_t *
describe_target(sky_control_t *control, const sky_target_status_t *status)
{
    const sky_settings_t *settings = SkyControl_Settings(control);
    json_t *item = json_object();
    json_t *resident = json_array();
    for (uint32_t i = 0; i < status->resident_count; i++) {
        const char *name =
            SkyView_AdapterName(SkyControl_View(control), status->resident[i]);
        json_array_append_new(resident, json_string(name ? name : "?"));
    }
    json_object_set_new(item, "name",
                        json_string(settings->targets[status->target].name));
    json_object_set_new(item, "state", json_string(target_use(status)));
    json_object_set_new(item, "permits", number(status->permits));
    json_object_set_new(item, "resident", resident);
    return item;
}

static const char *
owner_name(const sky_node_t *node, uint32_t shard, uint32_t domain)
{
    const sky_members_t *members = SkyNode_Members(node);
    const sky_member_t *owner =
        SkyMembers_Find(members, SkyMembers_FindOwner(members, shard, domain));
    return owner ? owner->name : "-";
}

static json_t *
describe_shard(sky_control_t *control, const sky_node_t *node, uint32_t index)
{
    const sky_settings_t *settings = SkyControl_Settings(control);
    const sky_shard_t *shard = SkyNode_Shard(node, index);
    uint32_t first = index * settings->shard_targets;
    json_t *item = json_object();
    json_t *targets = json_array();
    json_object_set_new(item, "shard", number(index));
    json_object_set_new(
        item, "owner",
        json_string(owner_name(node, index, settings->targets[first].domain)));
    json_object_set_new(item, "active",
                        json_boolean(SkyShard_IsActive(shard)));
    json_object_set_new(item, "waiting", number(SkyShard_WaitingCount(shard)));
    for (uint32_t i = 0;
         SkyShard_IsActive(shard) && i < SkyShard_TargetCount(shard); i++) {
        sky_target_status_t status;
        SkyShard_GetTargetStatus(shard, i, &status);
        json_array_append_new(targets, describe_target(control, &status));
    }
    json_object_set_new(item, "targets", targets);
    return item;
}

static void
fill_status(sky_node_t *node, void *opaque)
{
    context_t *context = opaque;
    const sky_settings_t *settings = SkyControl_Settings(context->control);
    json_t *shards = json_array();
    for (uint32_t i = 0; i < SkyNode_ShardCount(node); i++) {
        json_array_append_new(shards,
                              describe_shard(context->control, node, i));
    }
    json_object_set_new(context->root, "host",
                        json_string(settings->host_name));
    json_object_set_new(context->root, "ready",
                        json_boolean(SkyNode_IsReady(node, SkyClock_NowUs())));
    json_object_set_new(context->root, "idle",
                        json_boolean(SkyNode_IsIdle(node)));
    json_object_set_new(
        context->root, "revision",
        number(SkyConfig_LatestRevision(SkyNode_Config(node))));
    json_object_set_new(context->root, "open_requests",
                        number(SkyEntry_OpenCount(SkyNode_Entry(node))));
    add_members(SkyNode_Members(node), context->root);
    json_object_set_new(context->root, "shards", shards);
}

json_t *
SkyStatus_Json(sky_control_t *control)
{
    context_t context = {.control = control, .root = json_object()};
    SkyControl_Call(control, fill_status, &context);
    return context.root;
}

/* ---- histograms ---- */

/** A list of histograms and the unit of their values. */
typedef struct {
    json_t *array;
    const char *unit;
} named_t;

static void
add_histogram(const char *workspace, const sky_histogram_t *histogram,
              void *opaque)
{
    const named_t *named = opaque;
    json_t *item = json_object();
    json_t *buckets = json_array();
    for (uint32_t i = 0; i < SKY_BUCKETS; i++) {
        json_array_append_new(buckets, number(histogram->buckets[i]));
    }
    json_object_set_new(item, "workspace", json_string(workspace));
    json_object_set_new(item, "count", number(histogram->count));
    json_object_set_new(item, "sum", number(histogram->sum));
    json_object_set_new(item, "buckets", buckets);
    json_object_set_new(item, "unit", json_string(named->unit));
    json_array_append_new(named->array, item);
}

json_t *
SkyStatus_Histogram(sky_control_t *control, const char *name)
{
    for (int id = 0; id < SKY_HIST_COUNT; id++) {
        if (strcmp(name, SkyMetrics_HistogramName(id)) == 0) {
            named_t named = {json_array(), SkyMetrics_HistogramUnit(id)};
            SkyMetrics_ForEach(SkyControl_Metrics(control), id, add_histogram,
                               &named);
            return named.array;
        }
    }
    return NULL;
}

/* ---- Prometheus text ---- */

static void
print_counter(FILE *text, const char *name, uint64_t value)
{
    fprintf(text, "# TYPE sky_%s counter\nsky_%s %" PRIu64 "\n", name, name,
            value);
}

static void
add_shard_stats(const sky_node_t *node, sky_shard_stats_t *sum)
{
    for (uint32_t i = 0; i < SkyNode_ShardCount(node); i++) {
        const sky_shard_stats_t *stats =
            SkyShard_GetStats(SkyNode_Shard(node, i));
        sum->loads += stats->loads;
        sum->loads_ahead += stats->loads_ahead;
        sum->load_failures += stats->load_failures;
        sum->evictions += stats->evictions;
        sum->grants += stats->grants;
        sum->refusals += stats->refusals;
        sum->crashes += stats->crashes;
        sum->quarantined += stats->quarantined;
        sum->takeovers += stats->takeovers;
        if (stats->takeover_wait_us > sum->takeover_wait_us) {
            sum->takeover_wait_us = stats->takeover_wait_us;
        }
    }
}

static void
print_node(sky_node_t *node, void *opaque)
{
    context_t *context = opaque;
    FILE *text = context->text;
    const sky_entry_stats_t *entry = SkyEntry_Stats(SkyNode_Entry(node));
    const sky_members_t *members = SkyNode_Members(node);
    sky_shard_stats_t shards = {0};
    add_shard_stats(node, &shards);
    print_counter(text, "requests_total", entry->requests);
    print_counter(text, "dispatches_total", entry->dispatches);
    print_counter(text, "retries_total", entry->retries);
    print_counter(text, "stale_grants_total", entry->stale_grants);
    print_counter(text, "loads_total", shards.loads);
    print_counter(text, "loads_ahead_total", shards.loads_ahead);
    print_counter(text, "load_failures_total", shards.load_failures);
    print_counter(text, "evictions_total", shards.evictions);
    print_counter(text, "grants_total", shards.grants);
    print_counter(text, "refusals_total", shards.refusals);
    print_counter(text, "target_crashes_total", shards.crashes);
    print_counter(text, "quarantined_total", shards.quarantined);
    print_counter(text, "takeovers_total", shards.takeovers);
    print_counter(text, "config_skipped_total",
                  SkyConfig_InvalidRecordCount(SkyNode_Config(node)));
    fprintf(text, "# TYPE sky_revision gauge\nsky_revision %" PRIu64 "\n",
            SkyConfig_LatestRevision(SkyNode_Config(node)));
    fprintf(text,
            "# TYPE sky_takeover_wait_ms gauge\nsky_takeover_wait_ms %" PRIu64
            "\n",
            shards.takeover_wait_us / 1000);
    fprintf(text, "# TYPE sky_lease_held gauge\nsky_lease_held %d\n",
            SkyMembers_HasLease(members, SkyClock_NowUs()));
    fprintf(text, "# TYPE sky_log_age_ms gauge\nsky_log_age_ms %" PRIu64 "\n",
            SkyMembers_LogAgeUs(members, SkyClock_NowUs()) / 1000);
}

static void
print_invariants(FILE *text)
{
    fprintf(text, "# TYPE sky_invariant_breaches_total counter\n");
    for (int id = 0; id < SKY_INV_COUNT; id++) {
        fprintf(text,
                "sky_invariant_breaches_total{invariant=\"%s\"} %" PRIu64 "\n",
                SkyInvariant_Name(id), SkyInvariant_Count(id));
    }
}

char *
SkyStatus_Metrics(sky_control_t *control)
{
    char *text = NULL;
    size_t size = 0;
    char *series = SkyMetrics_Text(SkyControl_Metrics(control));
    context_t context = {.control = control};
    sky_peers_stats_t peers = SkyPeers_GetStats(SkyControl_Peers(control));
    context.text = open_memstream(&text, &size);
    if (context.text == NULL) {
        return series;
    }
    SkyControl_Call(control, print_node, &context);
    print_counter(context.text, "peer_sent_total", peers.sent);
    print_counter(context.text, "peer_dropped_total", peers.dropped);
    print_counter(context.text, "peer_rejected_total", peers.batches_rejected);
    print_counter(context.text, "peer_bytes_total", peers.bytes_sent);
    print_invariants(context.text);
    fputs(series ? series : "", context.text);
    fclose(context.text);
    free(series);
    return text;
}
