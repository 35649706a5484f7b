#include "serve/status.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/invariant.h"

#define US_PER_MS 1000

/** Where a function on the control thread writes its output. */
typedef struct {
    sky_control_t *control;
    json_t *root; /* of the status; NULL for the metrics */
    FILE *text;   /* of the metrics; NULL for the status */
} status_output_t;

static json_t *
json_number(uint64_t value)
{
    return json_integer((json_int_t)value);
}

/* ---- JSON ---- */

static void
add_membership(const sky_members_t *members, json_t *root)
{
    size_t count;
    const sky_member_t *list = SkyMembers_GetList(members, &count);
    json_t *array = json_array();
    for (size_t i = 0; i < count; i++) {
        json_t *item = json_object();
        json_object_set_new(item, "name", json_string(list[i].name));
        json_object_set_new(item, "address", json_string(list[i].address));
        json_object_set_new(item, "listen", json_string(list[i].listen));
        json_object_set_new(item, "domain", json_number(list[i].domain));
        json_object_set_new(item, "incarnation",
                            json_number(list[i].incarnation));
        json_object_set_new(item, "draining", json_boolean(list[i].draining));
        json_array_append_new(array, item);
    }
    json_object_set_new(root, "members", array);
    json_object_set_new(root, "view",
                        json_number(SkyMembers_ViewOffset(members)));
    json_object_set_new(root, "log_next",
                        json_number(SkyMembers_NextOffset(members)));
    json_object_set_new(
        root, "lease",
        json_boolean(SkyMembers_HasLease(members, SkyClock_NowUs())));
}

static const char *
target_state_name(const sky_target_status_t *status)
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
create_target_json(sky_control_t *control, const sky_target_status_t *status)
{
    const sky_settings_t *settings = SkyControl_Settings(control);
    json_t *item = json_object();
    json_t *resident = json_array();
    for (uint32_t i = 0; i < status->resident_count; i++) {
        const char *name = SkyWorkspaceTable_FindAdapterName(
            SkyControl_WorkspaceTable(control), status->resident[i]);
        json_array_append_new(resident, json_string(name ? name : "?"));
    }
    json_object_set_new(item, "name",
                        json_string(settings->targets[status->target].name));
    json_object_set_new(item, "state", json_string(target_state_name(status)));
    json_object_set_new(item, "permits", json_number(status->permits));
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
create_shard_json(sky_control_t *control, const sky_node_t *node,
                  uint32_t index)
{
    const sky_settings_t *settings = SkyControl_Settings(control);
    const sky_shard_t *shard = SkyNode_Shard(node, index);
    uint32_t first_target = index * settings->shard_targets;
    json_t *item = json_object();
    json_t *targets = json_array();
    json_object_set_new(item, "shard", json_number(index));
    json_object_set_new(
        item, "owner",
        json_string(
            owner_name(node, index, settings->targets[first_target].domain)));
    json_object_set_new(item, "active",
                        json_boolean(SkyShard_IsActive(shard)));
    json_object_set_new(item, "waiting",
                        json_number(SkyShard_WaitingCount(shard)));
    for (uint32_t i = 0;
         SkyShard_IsActive(shard) && i < SkyShard_TargetCount(shard); i++) {
        sky_target_status_t status;
        SkyShard_GetTargetStatus(shard, i, &status);
        json_array_append_new(targets, create_target_json(control, &status));
    }
    json_object_set_new(item, "targets", targets);
    return item;
}

static void
add_status(sky_node_t *node, void *context)
{
    status_output_t *output = context;
    const sky_settings_t *settings = SkyControl_Settings(output->control);
    json_t *shards = json_array();
    for (uint32_t i = 0; i < SkyNode_ShardCount(node); i++) {
        json_array_append_new(shards,
                              create_shard_json(output->control, node, i));
    }
    json_object_set_new(output->root, "host",
                        json_string(settings->host_name));
    json_object_set_new(output->root, "ready",
                        json_boolean(SkyNode_IsReady(node, SkyClock_NowUs())));
    json_object_set_new(output->root, "idle",
                        json_boolean(SkyNode_IsIdle(node)));
    json_object_set_new(
        output->root, "revision",
        json_number(SkyConfig_LatestRevision(SkyNode_Config(node))));
    json_object_set_new(output->root, "open_requests",
                        json_number(SkyEntry_OpenCount(SkyNode_Entry(node))));
    add_membership(SkyNode_Members(node), output->root);
    json_object_set_new(output->root, "shards", shards);
}

json_t *
SkyStatus_CreateJson(sky_control_t *control)
{
    status_output_t output = {.control = control, .root = json_object()};
    SkyControl_RunOnThread(control, add_status, &output);
    return output.root;
}

/* ---- histograms ---- */

/** Histograms of one name, one per workspace, and their unit. */
typedef struct {
    json_t *array;
    const char *unit;
} histogram_list_t;

static void
add_histogram(const char *workspace, const sky_histogram_t *histogram,
              void *context)
{
    const histogram_list_t *list = context;
    json_t *item = json_object();
    json_t *buckets = json_array();
    for (uint32_t i = 0; i < SKY_HISTOGRAM_BUCKET_COUNT; i++) {
        json_array_append_new(buckets, json_number(histogram->buckets[i]));
    }
    json_object_set_new(item, "workspace", json_string(workspace));
    json_object_set_new(item, "count", json_number(histogram->count));
    json_object_set_new(item, "sum", json_number(histogram->sum));
    json_object_set_new(item, "buckets", buckets);
    json_object_set_new(item, "unit", json_string(list->unit));
    json_array_append_new(list->array, item);
}

json_t *
SkyStatus_CreateHistogramJson(sky_control_t *control, const char *name)
{
    for (int id = 0; id < SKY_HIST_COUNT; id++) {
        if (strcmp(name, SkyMetrics_HistogramName(id)) == 0) {
            histogram_list_t list = {json_array(),
                                     SkyMetrics_HistogramUnit(id)};
            SkyMetrics_ForEachWorkspace(SkyControl_Metrics(control), id,
                                        add_histogram, &list);
            return list.array;
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
sum_shard_stats(const sky_node_t *node, sky_shard_stats_t *totals)
{
    for (uint32_t i = 0; i < SkyNode_ShardCount(node); i++) {
        const sky_shard_stats_t *stats =
            SkyShard_GetStats(SkyNode_Shard(node, i));
        totals->loads += stats->loads;
        totals->loads_ahead += stats->loads_ahead;
        totals->load_failures += stats->load_failures;
        totals->evictions += stats->evictions;
        totals->grants += stats->grants;
        totals->refusals += stats->refusals;
        totals->crashes += stats->crashes;
        totals->quarantined += stats->quarantined;
        totals->takeovers += stats->takeovers;
        if (stats->takeover_wait_us > totals->takeover_wait_us) {
            totals->takeover_wait_us = stats->takeover_wait_us;
        }
    }
}

static void
print_node_metrics(sky_node_t *node, void *context)
{
    status_output_t *output = context;
    FILE *text = output->text;
    const sky_entry_stats_t *entry = SkyEntry_Stats(SkyNode_Entry(node));
    const sky_members_t *members = SkyNode_Members(node);
    sky_shard_stats_t totals = {0};
    sum_shard_stats(node, &totals);
    print_counter(text, "requests_total", entry->requests);
    print_counter(text, "dispatches_total", entry->dispatches);
    print_counter(text, "retries_total", entry->retries);
    print_counter(text, "stale_grants_total", entry->stale_grants);
    print_counter(text, "loads_total", totals.loads);
    print_counter(text, "loads_ahead_total", totals.loads_ahead);
    print_counter(text, "load_failures_total", totals.load_failures);
    print_counter(text, "evictions_total", totals.evictions);
    print_counter(text, "grants_total", totals.grants);
    print_counter(text, "refusals_total", totals.refusals);
    print_counter(text, "target_crashes_total", totals.crashes);
    print_counter(text, "quarantined_total", totals.quarantined);
    print_counter(text, "takeovers_total", totals.takeovers);
    print_counter(text, "config_skipped_total",
                  SkyConfig_InvalidRecordCount(SkyNode_Config(node)));
    fprintf(text, "# TYPE sky_revision gauge\nsky_revision %" PRIu64 "\n",
            SkyConfig_LatestRevision(SkyNode_Config(node)));
    fprintf(text,
            "# TYPE sky_takeover_wait_ms gauge\nsky_takeover_wait_ms %" PRIu64
            "\n",
            totals.takeover_wait_us / US_PER_MS);
    fprintf(text, "# TYPE sky_lease_held gauge\nsky_lease_held %d\n",
            SkyMembers_HasLease(members, SkyClock_NowUs()));
    fprintf(text, "# TYPE sky_log_age_ms gauge\nsky_log_age_ms %" PRIu64 "\n",
            SkyMembers_LogAgeUs(members, SkyClock_NowUs()) / US_PER_MS);
}

static void
print_invariants(FILE *text)
{
    fprintf(text, "# TYPE sky_invariant_breaches_total counter\n");
    for (int id = 0; id < SKY_INV_COUNT; id++) {
        fprintf(text,
                "sky_invariant_breaches_total{invariant=\"%s\"} %" PRIu64 "\n",
                SkyInvariant_Name(id), SkyInvariant_BreachCount(id));
    }
}

char *
SkyStatus_WriteMetrics(sky_control_t *control)
{
    char *text = NULL;
    size_t size = 0;
    char *series = SkyMetrics_FormatPrometheus(SkyControl_Metrics(control));
    status_output_t output = {.control = control};
    sky_peers_stats_t peers = SkyPeers_GetStats(SkyControl_Peers(control));
    output.text = open_memstream(&text, &size);
    if (output.text == NULL) {
        return series;
    }
    SkyControl_RunOnThread(control, print_node_metrics, &output);
    print_counter(output.text, "peer_sent_total", peers.sent);
    print_counter(output.text, "peer_dropped_total", peers.dropped);
    print_counter(output.text, "peer_rejected_total", peers.batches_rejected);
    print_counter(output.text, "peer_bytes_total", peers.bytes_sent);
    print_invariants(output.text);
    fputs(series ? series : "", output.text);
    fclose(output.text);
    free(series);
    return text;
}
