#include "edge/edge.h"

#include <ev.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "decide/connection_share.h"
#include "decide/hand_over.h"
#include "edge/crash_sharing.h"
#include "edge/stream_sharing.h"
#include "edge/directory.h"
#include "edge/explain.h"
#include "edge/feed.h"
#include "edge/feed_relay.h"
#include "edge/host_settings.h"
#include "edge/ownership.h"
#include "edge/host_calls.h"
#include "edge/placement.h"
#include "edge/proxy.h"
#include "net/client.h"
#include "net/listener.h"
#include "platform/settings.h"
#include "platform/store.h"
#include "platform/wire.h"

/** Larger buffers are given back to the system when they are freed. By default
 *  malloc raises its threshold to the largest one freed, and kept 890 MB after
 *  a crowd of clients had left. */
#define MMAP_THRESHOLD_BYTES (256 * 1024)
/** Limits logging to a few percent of a small host's CPU. */
#define LOG_LINES_PER_S_MAX 400
/** The three lines of each of about 130 requests. With the others it bounds
 *  the log to about 0.2 MB a second. */
#define LOG_EVIDENCE_LINES_PER_S_MAX 400
#define LOG_FLUSH_INTERVAL_S 0.2
#define TICK_INTERVAL_S 0.1
#define LOOP_LATE_LOGGED_MS 300 /**< a longer delay of a tick is logged */
#define STORE_TIMEOUT_MS 1500   /**< a slow store takes some hundred ms */
/** The store closes idle connections later than this. */
#define STORE_IDLE_TIMEOUT_MS 8000
/** For targets whose responses have no Keep-Alive field. */
#define TARGET_IDLE_TIMEOUT_MS 4000
/** Batch size of the largest engines. */
#define IDLE_CONNECTIONS_PER_TARGET_MAX 64
/** Sent bytes unacknowledged for this long: the network path is lost. */
#define TCP_USER_TIMEOUT_MS 3000
/** Entries of the target list are at most this old; what is learned from
 *  responses takes precedence over the list for as long. */
#define TARGET_LIST_MAX_AGE_MS 3000
/** After a longer suspension of the machine a lease may have been lost. */
#define SUSPEND_TOLERANCE_MS 100
/** A cut that is shorter costs less than other owners. */
#define HAND_OVER_DELAY_MS 400
/* Limits until the first configuration is known. */
#define INITIAL_HEAD_BYTES_MAX 16384
#define INITIAL_BODY_BYTES_MAX (4 * 1024 * 1024)
#define INITIAL_HEAD_TIMEOUT_MS 3000
#define INITIAL_IDLE_TIMEOUT_MS 15000
/** The load balancer stops sending callers after two failed probes, which are
 *  a second apart. */
#define DRAIN_MIN_MS 3200
#define BALANCED_MAX_MS 3000 /**< it sends callers for no longer */
#define DRAIN_IDLE_TIMEOUT_MS 2500
#define DRAIN_MARGIN_MS 400 /**< from exit to the end of the grace period */
#define PROBE_REQUEST_BYTES_MAX 4096 /**< of the head, and of the body */

typedef struct {
    sky_host_settings_t settings;
    struct ev_loop *loop;
    sky_memory_share_t memory_share; /**< of all listeners and requests */
    sky_connection_share_t connection_share;
    sky_listener_stats_t listener_stats; /**< of all listeners */
    sky_directory_t directory;
    sky_start_reads_t start;
    sky_metrics_t *metrics;
    sky_client_t *client;
    sky_store_t *store;
    sky_host_calls_t *host_calls;
    sky_ownership_t *ownership;
    sky_placement_t *placement;
    sky_proxy_t *proxy;
    sky_feed_t *feed;
    sky_rate_permits_t *rate_permits;
    sky_quota_sharing_t *quota_sharing;
    sky_service_turns_t *service_turns;
    sky_feed_relay_t *feed_relay;
    sky_crash_sharing_t *crash_sharing;
    sky_stream_sharing_t *stream_sharing;
    sky_reach_sharing_t *reach_sharing;
    sky_listener_t *probe_listener;
    sky_listener_t *metrics_listener;
    sky_listener_t *front_listener;
    sky_settings_file_t *settings_file;
    ev_signal term_signal;
    ev_signal hup_signal;
    ev_timer tick_timer;
    ev_timer flush_timer;
    ev_check loop_check;
    uint64_t suspended_total_ms; /**< at the last turn of the loop */
    uint64_t term_received_ms;   /**< SIGTERM; 0: not received */
    uint64_t last_tick_ms;
    uint64_t loop_late_max_ms; /**< longest delay of a tick */
    bool was_ready;
    sky_hand_over_t hand_over;
} edge_t;

static bool
is_ready(const edge_t *edge)
{
    return edge->term_received_ms == 0 && edge->directory.deployment != NULL &&
           edge->directory.targets_known;
}

/* Clients that were refused to protect others. */
static void
append_client_metrics(sky_buffer_t *body, const edge_t *edge)
{
    const sky_listener_stats_t *stats = &edge->listener_stats;
    SkyBuffer_AppendFormat(
        body,
        "# TYPE sky_clients_refused_total counter\n"
        "sky_clients_refused_total{reason=\"memory\"} %llu\n"
        "sky_clients_refused_total{reason=\"idle_closed\"} %llu\n"
        "sky_clients_refused_total{reason=\"incomplete_closed\"} %llu\n"
        "sky_clients_refused_total{reason=\"not_accepted\"} %llu\n"
        "sky_clients_refused_total{reason=\"slow_body\"} %llu\n"
        "sky_clients_refused_total{reason=\"slow_reader\"} %llu\n"
        "# TYPE sky_received_bytes_held gauge\n"
        "sky_received_bytes_held %llu\n",
        (unsigned long long)stats->memory_refusals,
        (unsigned long long)stats->idle_closes,
        (unsigned long long)stats->incomplete_closes,
        (unsigned long long)stats->connection_closes,
        (unsigned long long)stats->slow_bodies,
        (unsigned long long)stats->slow_readers,
        (unsigned long long)edge->memory_share.used_bytes);
}

/* Writes the pace of each target that this host owns and has samples of. */
static void
write_paces(const edge_t *edge, sky_buffer_t *body)
{
    const sky_fleet_target_t *target =
        SkyFleet_GetFirstTarget(edge->directory.fleet);
    SkyBuffer_AppendText(body, "# TYPE sky_target_pace_percent gauge\n");
    for (; target != NULL; target = target->next) {
        if (target->listed && target->pace.merged.weight > 0.0) {
            SkyBuffer_AppendFormat(
                body, "sky_target_pace_percent{target=\"%s\"} %.0f\n",
                target->entry.id,
                100 * SkyTargetPace_Measure(&target->pace, SkyClock_NowMs()));
        }
    }
}

static void
append_log_metrics(sky_buffer_t *body)
{
    sky_log_stats_t stats;
    SkyLog_GetStats(&stats);
    SkyBuffer_AppendFormat(body,
                           "# TYPE sky_log_evidence_dropped_total counter\n"
                           "sky_log_evidence_dropped_total %llu\n"
                           "# TYPE sky_log_lines_truncated_total counter\n"
                           "sky_log_lines_truncated_total %llu\n"
                           "# TYPE sky_log_event_dropped_total counter\n",
                           (unsigned long long)stats.dropped[SKY_LOG_EVIDENCE],
                           (unsigned long long)stats.truncated);
    for (uint32_t i = 0; i <= SKY_LOG_EVENTS_MAX; i++) {
        if (stats.events[i].lines > 0) {
            SkyBuffer_AppendFormat(
                body, "sky_log_event_dropped_total{event=\"%s\"} %llu\n",
                stats.events[i].event,
                (unsigned long long)stats.events[i].lines);
        }
    }
}

static void
respond_metrics(edge_t *edge, sky_server_request_t *request)
{
    char *text = SkyMetrics_FormatPrometheus(edge->metrics);
    const sky_client_stats_t *stats = SkyClient_Stats(edge->client);
    const sky_proxy_stats_t *proxied = SkyProxy_Stats(edge->proxy);
    const sky_quota_stats_t *quotas =
        SkyQuotaSharing_Stats(edge->quota_sharing);
    sky_buffer_t body = {0};
    SkyBuffer_AppendText(&body, text ? text : "");
    SkyBuffer_AppendFormat(&body,
                           "# TYPE sky_log_lines_dropped_total counter\n"
                           "sky_log_lines_dropped_total %llu\n"
                           "# TYPE sky_connects_total counter\n"
                           "sky_connects_total %llu\n"
                           "# TYPE sky_reuses_total counter\n"
                           "sky_reuses_total %llu\n"
                           "# TYPE sky_loop_late_max_ms gauge\n"
                           "sky_loop_late_max_ms %llu\n"
                           "# TYPE sky_requests_open gauge\n"
                           "sky_requests_open %u\n"
                           "# TYPE sky_forwarded_sent_total counter\n"
                           "sky_forwarded_sent_total %llu\n"
                           "# TYPE sky_forwarded_received_total counter\n"
                           "sky_forwarded_received_total %llu\n"
                           "# TYPE sky_quota_refused_total counter\n"
                           "sky_quota_refused_total %llu\n"
                           "# TYPE sky_quota_calls_total counter\n"
                           "sky_quota_calls_total %llu\n",
                           (unsigned long long)SkyLog_DroppedLineCount(),
                           (unsigned long long)stats->connection_attempts,
                           (unsigned long long)stats->connection_reuses,
                           (unsigned long long)edge->loop_late_max_ms,
                           SkyProxy_OpenRequestCount(edge->proxy),
                           (unsigned long long)proxied->sent_to_peers,
                           (unsigned long long)proxied->received_from_peers,
                           (unsigned long long)quotas->refused,
                           (unsigned long long)quotas->calls);
    append_log_metrics(&body);
    SkyServiceTurns_WriteMetrics(edge->service_turns, &body);
    append_client_metrics(&body, edge);
    write_paces(edge, &body);
    SkyServerRequest_Respond(request, 200, "Content-Type: text/plain\r\n",
                             SkyBuffer_Data(&body), SkyBuffer_Size(&body));
    SkyBuffer_Clear(&body);
    free(text);
}

static void
on_probe_request(void *context, sky_server_request_t *request)
{
    edge_t *edge = context;
    const char *url = SkyHttpHead_Url(SkyServerRequest_Head(request));
    if (strcmp(url, "/readyz") == 0) {
        SkyServerRequest_Respond(request, is_ready(edge) ? 200 : 503, "", "",
                                 0);
    }
    else if (strcmp(url, "/metrics") == 0) {
        respond_metrics(edge, request);
    }
    else {
        SkyServerRequest_Respond(request, 404, "", "", 0);
    }
}

static void
on_metrics_request(void *context, sky_server_request_t *request)
{
    edge_t *edge = context;
    if (strcmp(SkyHttpHead_Url(SkyServerRequest_Head(request)),
               SKY_EXPLAIN_PATH) != 0) {
        on_probe_request(context, request);
        return;
    }
    sky_explain_options_t options = {.directory = &edge->directory,
                                     .settings = &edge->settings,
                                     .feed = edge->feed,
                                     .quota_sharing = edge->quota_sharing,
                                     .service_turns = edge->service_turns,
                                     .is_stopping =
                                         edge->term_received_ms > 0};
    SkyExplain_Respond(&options, request);
}

static void
on_probe_disconnect(void *context, sky_server_request_t *request)
{
    (void)context;
    (void)request;
}

static void
on_feed_change(void *context, sky_feed_topic_t topic)
{
    edge_t *edge = context;
    if (topic == SKY_FEED_OPERATOR && edge->directory.deployment != NULL) {
        const sky_limits_t *limits = &edge->directory.deployment->limits;
        sky_listener_limits_t front_limits = {
            limits->head_bytes, limits->body_bytes, limits->head_timeout_ms,
            limits->idle_timeout_ms};
        SkyListener_SetLimits(edge->front_listener, &front_limits);
        SkyHostCalls_SetRequestLimits(edge->host_calls, limits->head_bytes,
                                      limits->body_bytes);
    }
    if (topic == SKY_FEED_OPERATOR) {
        SkyQuotaSharing_HandleConfigChange(edge->quota_sharing);
    }
    if (topic == SKY_FEED_TARGETS && edge->stream_sharing != NULL) {
        SkyStreamSharing_HandleListChange(edge->stream_sharing);
    }
    SkyPlacement_Reconcile(edge->placement);
    if (edge->feed_relay != NULL) {
        SkyFeedRelay_HandleFeedChange(edge->feed_relay);
    }
}

static void
on_owners_change(void *context)
{
    edge_t *edge = context;
    edge->directory.host_count = SkyOwnership_HostCount(edge->ownership);
    uint32_t member_count;
    uint32_t rank = SkyOwnership_GetRank(edge->ownership, &member_count);
    SkyFleet_SetHostRank(edge->directory.fleet, rank, member_count);
    if (edge->feed_relay != NULL) {
        SkyPlacement_Reconcile(edge->placement);
        SkyFeedRelay_HandleOwnersChange(edge->feed_relay);
    }
}

static uint64_t
exit_timeout_ms(const edge_t *edge)
{
    return edge->settings.bounds.shutdown_grace_ms > DRAIN_MARGIN_MS
               ? edge->settings.bounds.shutdown_grace_ms - DRAIN_MARGIN_MS
               : 0;
}

static void
on_term(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    edge_t *edge = watcher->data;
    if (edge->term_received_ms > 0) {
        return;
    }
    edge->term_received_ms = SkyClock_NowMs();
    SkyLog_Write(LOG_NOTICE, "stopping", "open=%u connections=%u",
                 SkyProxy_OpenRequestCount(edge->proxy),
                 SkyListener_ConnectionCount(edge->front_listener));
    SkyOwnership_LeaveGroup(edge->ownership);
    SkyListener_Drain(edge->front_listener, DRAIN_IDLE_TIMEOUT_MS);
    sky_stop_times_t times = {
        .exits_at_ms = edge->term_received_ms + exit_timeout_ms(edge),
        .balanced_until_ms = edge->term_received_ms + BALANCED_MAX_MS};
    SkyProxy_SetStopTimes(edge->proxy, &times);
}

static void
on_hup(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    edge_t *edge = watcher->data;
    char error[SKY_ERROR_TEXT_BYTES] = "";
    sky_host_settings_t settings;
    sky_result_t result =
        SkySettingsFile_Reload(edge->settings_file, &settings, error);
    bool is_refused = SkyResult_IsError(result);
    SkyLog_Write(is_refused ? LOG_ERR : LOG_NOTICE, "reload",
                 "result=%s error=\"%s\"", SkyResult_Symbol(result), error);
    if (!is_refused) {
        edge->settings.bounds = settings.bounds;
        edge->settings.seed_count = settings.seed_count;
        memcpy(edge->settings.seeds, settings.seeds, sizeof settings.seeds);
        edge->settings.has_key_rules = settings.has_key_rules;
        SkyFeed_HandleReload(edge->feed);
    }
}

static bool
can_exit(const edge_t *edge, uint64_t now)
{
    uint64_t since_term_ms = now - edge->term_received_ms;
    bool idle = SkyProxy_OpenRequestCount(edge->proxy) == 0 &&
                SkyListener_ConnectionCount(edge->front_listener) == 0;
    return since_term_ms >= exit_timeout_ms(edge) ||
           (since_term_ms >= DRAIN_MIN_MS && idle);
}

static sky_hand_over_input_t
observe_engine_services(const edge_t *edge, uint64_t now)
{
    const sky_deployment_t *deployment = edge->directory.deployment;
    const sky_reachability_t *reachability = edge->directory.reachability;
    sky_hand_over_input_t input = {false, false};
    for (uint32_t i = 0; deployment && i < deployment->service_count; i++) {
        const sky_service_t *service = &deployment->services[i];
        if (service->engine.present) {
            input.is_cut_off =
                input.is_cut_off ||
                SkyReachability_IsCutOff(reachability, service->name,
                                         HAND_OVER_DELAY_MS, now);
            input.is_doubted =
                input.is_doubted ||
                SkyReachability_IsDoubted(reachability, service->name, now);
        }
    }
    return input;
}

static void
update_hand_over(edge_t *edge, uint64_t now)
{
    bool was_away = edge->hand_over.is_away;
    sky_hand_over_input_t input = observe_engine_services(edge, now);
    if (SkyHandOver_Update(&edge->hand_over, &input, now) == was_away) {
        return;
    }
    SkyOwnership_SetAway(edge->ownership, edge->hand_over.is_away);
    if (was_away) {
        /* Hosts that have started meanwhile did not know of this one, and told
         * it of no crashes. */
        SkyCrashSharing_HandleSuspension(edge->crash_sharing);
    }
}

/* Shows how late the event loop runs its callbacks. */
static void
record_tick(edge_t *edge, uint64_t now)
{
    uint64_t due_ms = edge->last_tick_ms + (uint64_t)(TICK_INTERVAL_S * 1000);
    uint64_t late_ms =
        edge->last_tick_ms > 0 && now > due_ms ? now - due_ms : 0;
    edge->last_tick_ms = now;
    if (late_ms > edge->loop_late_max_ms) {
        edge->loop_late_max_ms = late_ms;
    }
    if (late_ms > LOOP_LATE_LOGGED_MS) {
        SkyLog_Write(LOG_NOTICE, "loop_late", "ms=%llu open=%u",
                     (unsigned long long)late_ms,
                     SkyProxy_OpenRequestCount(edge->proxy));
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    edge_t *edge = watcher->data;
    uint64_t now = SkyClock_NowMs();
    record_tick(edge, now);
    SkyFleet_Tick(edge->directory.fleet, now);
    update_hand_over(edge, now);
    if (is_ready(edge) != edge->was_ready) {
        edge->was_ready = is_ready(edge);
        SkyLog_Write(LOG_NOTICE, "readiness", "ready=%d", edge->was_ready);
    }
    if (edge->term_received_ms > 0 && can_exit(edge, now)) {
        SkyLog_Write(LOG_NOTICE, "stopped", "open=%u connections=%u",
                     SkyProxy_OpenRequestCount(edge->proxy),
                     SkyListener_ConnectionCount(edge->front_listener));
        SkyProxy_AnswerOpenRequests(edge->proxy);
        ev_break(loop, EVBREAK_ALL);
    }
}

static void
on_flush(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    SkyLog_Flush();
}

/* Runs before all other callbacks of a loop turn: after a suspension of the
 * machine this host must not act on what it knew before, such as leases that
 * may have expired. */
static void
on_loop_check(struct ev_loop *loop, ev_check *watcher, int events)
{
    (void)loop;
    (void)events;
    edge_t *edge = watcher->data;
    uint64_t suspended_ms = SkyClock_SuspendedMs();
    if (suspended_ms > edge->suspended_total_ms + SUSPEND_TOLERANCE_MS) {
        SkyLog_Write(
            LOG_WARNING, "paused", "ms=%llu",
            (unsigned long long)(suspended_ms - edge->suspended_total_ms));
        SkyOwnership_HandleSuspension(edge->ownership);
        SkyCrashSharing_HandleSuspension(edge->crash_sharing);
        SkyClient_CloseIdle(edge->client, NULL);
    }
    edge->suspended_total_ms = suspended_ms;
}

static void
init_start(edge_t *edge)
{
    const sky_host_settings_t *settings = &edge->settings;
    sky_start_options_t options = {
        .now_ms = SkyClock_NowMs(),
        .host_hash = XXH3_64bits(settings->name, strlen(settings->name))};
    for (uint32_t i = 0; i < settings->seed_count; i++) {
        options.is_seed = options.is_seed ||
                          strcmp(settings->seeds[i], settings->control) == 0;
    }
    edge->start = SkyStartReads_Make(&options);
}

static sky_result_t
create_core_modules(edge_t *edge)
{
    sky_host_settings_t *settings = &edge->settings;
    init_start(edge);
    edge->memory_share = SkyMemoryShare_Make(settings->memory_limit_mb);
    edge->connection_share =
        SkyConnectionShare_Make(settings->max_file_descriptors);
    sky_client_options_t client_options = {
        .loop = edge->loop,
        .default_keep_alive_ms = TARGET_IDLE_TIMEOUT_MS,
        .max_idle_per_address = IDLE_CONNECTIONS_PER_TARGET_MAX,
        .max_connections = edge->connection_share.own,
        .user_timeout_ms = TCP_USER_TIMEOUT_MS,
    };
    sky_result_t result = SkyClient_Create(&client_options, &edge->client);
    sky_store_options_t store_options = {.loop = edge->loop,
                                         .client = edge->client,
                                         .address = settings->store.address,
                                         .timeout_ms = STORE_TIMEOUT_MS};
    if (!SkyResult_IsError(result)) {
        result = SkyStore_Create(&store_options, &edge->store);
    }
    sky_host_calls_options_t calls_options = {
        .loop = edge->loop,
        .client = edge->client,
        .address = settings->control,
        .memory_share = &edge->memory_share,
        .max_connections = edge->connection_share.hosts,
        .listener_stats = &edge->listener_stats};
    if (!SkyResult_IsError(result)) {
        result = SkyHostCalls_Create(&calls_options, &edge->host_calls);
    }
    sky_fleet_options_t fleet_options = {
        .domain = settings->domain,
        .version_ms = settings->bounds.version_ms,
        .observation_ttl_ms = TARGET_LIST_MAX_AGE_MS};
    if (!SkyResult_IsError(result)) {
        result = SkyFleet_Create(&fleet_options, &edge->directory.fleet);
    }
    sky_ownership_options_t ownership_options = {.loop = edge->loop,
                                                 .settings = settings,
                                                 .store = edge->store,
                                                 .start = &edge->start,
                                                 .on_change = on_owners_change,
                                                 .context = edge};
    if (!SkyResult_IsError(result)) {
        result = SkyOwnership_Create(&ownership_options, &edge->ownership);
    }
    return result;
}

static uint32_t
get_open_requests(void *context)
{
    const edge_t *edge = context;
    return edge->term_received_ms > 0 || !is_ready(edge)
               ? UINT32_MAX
               : SkyProxy_OpenRequestCount(edge->proxy);
}

static sky_result_t
create_serving_modules(edge_t *edge)
{
    sky_host_settings_t *settings = &edge->settings;
    sky_reach_sharing_options_t reach_options = {
        .loop = edge->loop,
        .settings = settings,
        .directory = &edge->directory,
        .ownership = edge->ownership,
        .host_calls = edge->host_calls,
        .client = edge->client,
        .get_open_requests = get_open_requests,
        .context = edge};
    sky_result_t result =
        SkyReachSharing_Create(&reach_options, &edge->reach_sharing);
    sky_placement_options_t placement_options = {
        .loop = edge->loop,
        .settings = settings,
        .directory = &edge->directory,
        .ownership = edge->ownership,
        .client = edge->client,
        .host_calls = edge->host_calls,
        .reach_sharing = edge->reach_sharing};
    if (!SkyResult_IsError(result)) {
        result = SkyPlacement_Create(&placement_options, &edge->placement);
    }
    sky_rate_permits_options_t permits_options = {
        .settings = settings,
        .directory = &edge->directory,
        .ownership = edge->ownership,
        .host_calls = edge->host_calls};
    if (!SkyResult_IsError(result)) {
        result = SkyRatePermits_Create(&permits_options, &edge->rate_permits);
    }
    sky_quota_sharing_options_t quota_options = {.loop = edge->loop,
                                                 .settings = settings,
                                                 .directory = &edge->directory,
                                                 .ownership = edge->ownership,
                                                 .host_calls =
                                                     edge->host_calls};
    if (!SkyResult_IsError(result)) {
        result = SkyQuotaSharing_Create(&quota_options, &edge->quota_sharing);
    }
    sky_service_turns_options_t turns_options = {.loop = edge->loop,
                                                 .settings = settings,
                                                 .directory = &edge->directory,
                                                 .ownership = edge->ownership,
                                                 .host_calls =
                                                     edge->host_calls};
    if (!SkyResult_IsError(result)) {
        result = SkyServiceTurns_Create(&turns_options, &edge->service_turns);
    }
    sky_feed_options_t feed_options = {.loop = edge->loop,
                                       .settings = settings,
                                       .directory = &edge->directory,
                                       .store = edge->store,
                                       .start = &edge->start,
                                       .on_change = on_feed_change,
                                       .context = edge};
    if (!SkyResult_IsError(result)) {
        result = SkyFeed_Create(&feed_options, &edge->feed);
    }
    sky_stream_sharing_options_t stream_options = {
        .loop = edge->loop,
        .settings = settings,
        .directory = &edge->directory,
        .ownership = edge->ownership,
        .host_calls = edge->host_calls,
        .store = edge->store,
        .feed = edge->feed};
    if (!SkyResult_IsError(result)) {
        result =
            SkyStreamSharing_Create(&stream_options, &edge->stream_sharing);
    }
    sky_proxy_options_t proxy_options = {.loop = edge->loop,
                                         .settings = settings,
                                         .directory = &edge->directory,
                                         .feed = edge->feed,
                                         .client = edge->client,
                                         .placement = edge->placement,
                                         .rate_permits = edge->rate_permits,
                                         .quota_sharing = edge->quota_sharing,
                                         .service_turns = edge->service_turns,
                                         .stream_sharing =
                                             edge->stream_sharing,
                                         .reach_sharing = edge->reach_sharing,
                                         .metrics = edge->metrics,
                                         .memory_share = &edge->memory_share};
    if (!SkyResult_IsError(result)) {
        result = SkyProxy_Create(&proxy_options, &edge->proxy);
    }
    if (!SkyResult_IsError(result)) {
        sky_listener_events_t forwarded = SkyProxy_ForwardedEvents();
        SkyHostCalls_SetForwardHandler(edge->host_calls, &forwarded,
                                       edge->proxy);
    }
    sky_listener_options_t front_options = {
        .loop = edge->loop,
        .address = settings->front,
        .limits = {INITIAL_HEAD_BYTES_MAX, INITIAL_BODY_BYTES_MAX,
                   INITIAL_HEAD_TIMEOUT_MS, INITIAL_IDLE_TIMEOUT_MS},
        .events = SkyProxy_ListenerEvents(),
        .context = edge->proxy,
        .memory_share = &edge->memory_share,
        .max_connections = edge->connection_share.callers,
        .address_wait_ms = SKY_ADDRESS_WAIT_MS,
        .id_field = SkyWire_RequestIdFieldName(),
        .stats = &edge->listener_stats,
    };
    if (!SkyResult_IsError(result)) {
        result = SkyListener_Create(&front_options, &edge->front_listener);
    }
    sky_listener_options_t probe_options = {
        .loop = edge->loop,
        .address = settings->ready,
        .limits = {PROBE_REQUEST_BYTES_MAX, PROBE_REQUEST_BYTES_MAX,
                   INITIAL_HEAD_TIMEOUT_MS, INITIAL_IDLE_TIMEOUT_MS},
        .events = {.on_request = on_probe_request,
                   .on_disconnect = on_probe_disconnect},
        .context = edge,
        .memory_share = &edge->memory_share,
        .max_connections = edge->connection_share.probes,
        .address_wait_ms = SKY_ADDRESS_WAIT_MS,
        .stats = &edge->listener_stats,
    };
    if (!SkyResult_IsError(result)) {
        result = SkyListener_Create(&probe_options, &edge->probe_listener);
    }
    sky_listener_options_t metrics_options = probe_options;
    metrics_options.address = settings->metrics;
    metrics_options.events.on_request = on_metrics_request;
    metrics_options.max_connections = edge->connection_share.metrics;
    metrics_options.address_wait_ms = 0; /* a host serves without it */
    if (!SkyResult_IsError(result) && settings->metrics[0] != '\0' &&
        SkyResult_IsError(
            SkyListener_Create(&metrics_options, &edge->metrics_listener))) {
        SkyLog_Write(LOG_WARNING, "metrics_not_served", "address=%s",
                     settings->metrics);
    }
    sky_feed_relay_options_t relay_options = {.loop = edge->loop,
                                              .settings = settings,
                                              .feed = edge->feed,
                                              .start = &edge->start,
                                              .ownership = edge->ownership,
                                              .host_calls = edge->host_calls};
    if (!SkyResult_IsError(result)) {
        result = SkyFeedRelay_Create(&relay_options, &edge->feed_relay);
    }
    sky_crash_sharing_options_t sharing_options = {
        .loop = edge->loop,
        .settings = settings,
        .directory = &edge->directory,
        .ownership = edge->ownership,
        .host_calls = edge->host_calls,
        .store = edge->store,
        .feed = edge->feed,
        .reach_sharing = edge->reach_sharing};
    if (!SkyResult_IsError(result)) {
        result =
            SkyCrashSharing_Create(&sharing_options, &edge->crash_sharing);
    }
    return result;
}

static void
start_watchers(edge_t *edge)
{
    ev_signal_init(&edge->term_signal, on_term, SIGTERM);
    ev_signal_init(&edge->hup_signal, on_hup, SIGHUP);
    ev_timer_init(&edge->tick_timer, on_tick, TICK_INTERVAL_S,
                  TICK_INTERVAL_S);
    ev_timer_init(&edge->flush_timer, on_flush, LOG_FLUSH_INTERVAL_S,
                  LOG_FLUSH_INTERVAL_S);
    ev_check_init(&edge->loop_check, on_loop_check);
    ev_set_priority(&edge->loop_check, EV_MAXPRI);
    /* The exit comes after responses that have arrived by then. */
    ev_set_priority(&edge->tick_timer, EV_MINPRI);
    edge->term_signal.data = edge;
    edge->hup_signal.data = edge;
    edge->tick_timer.data = edge;
    edge->loop_check.data = edge;
    ev_signal_start(edge->loop, &edge->term_signal);
    ev_signal_start(edge->loop, &edge->hup_signal);
    ev_timer_start(edge->loop, &edge->tick_timer);
    ev_timer_start(edge->loop, &edge->flush_timer);
    ev_check_start(edge->loop, &edge->loop_check);
    edge->suspended_total_ms = SkyClock_SuspendedMs();
}

static void
free_modules(edge_t *edge)
{
    SkyListener_Free(edge->front_listener);
    SkyListener_Free(edge->probe_listener);
    SkyListener_Free(edge->metrics_listener);
    SkyProxy_Free(edge->proxy);
    SkyQuotaSharing_Free(edge->quota_sharing);
    SkyRatePermits_Free(edge->rate_permits);
    SkyServiceTurns_Free(edge->service_turns);
    SkyPlacement_Free(edge->placement);
    SkyFeedRelay_Free(edge->feed_relay);
    SkyCrashSharing_Free(edge->crash_sharing);
    SkyStreamSharing_Free(edge->stream_sharing);
    SkyReachSharing_Free(edge->reach_sharing);
    SkyFeed_Free(edge->feed);
    SkyOwnership_Free(edge->ownership);
    SkyHostCalls_Free(edge->host_calls);
    SkyStore_Free(edge->store);
    SkyClient_Free(edge->client);
    SkyFleet_Free(edge->directory.fleet);
    SkyDeployment_Release(edge->directory.deployment);
    SkyMetrics_Free(edge->metrics);
}

/* Signals that come before their watchers wait. */
static void
hold_signals(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(how, &signals, NULL);
}

sky_result_t
SkyEdge_Run(const char *settings_path)
{
    char error[SKY_ERROR_TEXT_BYTES] = "";
    edge_t *edge = calloc(1, sizeof *edge);
    if (edge == NULL) {
        return SKY_E_MEMORY;
    }
    hold_signals(SIG_BLOCK);
    signal(SIGPIPE, SIG_IGN);
    sky_log_options_t log_options = {.lines_per_s = LOG_LINES_PER_S_MAX,
                                     .evidence_lines_per_s =
                                         LOG_EVIDENCE_LINES_PER_S_MAX};
    SkyLog_UseStandardOutput(&log_options);
    sky_result_t result = SkySettingsFile_Open(settings_path, &edge->settings,
                                               &edge->settings_file, error);
    if (SkyResult_IsError(result)) {
        SkyLog_Write(LOG_ERR, "settings_refused", "error=\"%s\"", error);
        goto out;
    }
    SkyLog_SetHostName(edge->settings.name);
    SkyLog_Write(LOG_NOTICE, "starting",
                 "domain=%s front=%s control=%s store=%s",
                 edge->settings.domain, edge->settings.front,
                 edge->settings.control, edge->settings.store.address);
    if (mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) == 0) {
        SkyLog_Write(LOG_WARNING, "malloc_threshold_not_set", "bytes=%d",
                     MMAP_THRESHOLD_BYTES);
    }
    edge->loop = ev_default_loop(EVFLAG_AUTO);
    edge->metrics = SkyMetrics_Create();
    edge->directory.host_count = 1;
    result = edge->metrics != NULL ? create_core_modules(edge) : SKY_E_MEMORY;
    if (!SkyResult_IsError(result)) {
        result = create_serving_modules(edge);
    }
    if (!SkyResult_IsError(result)) {
        start_watchers(edge);
        hold_signals(SIG_UNBLOCK);
        ev_run(edge->loop, 0);
    }
    free_modules(edge);
out:
    if (SkyResult_IsError(result)) {
        SkyLog_Write(LOG_ERR, "stopped", "result=%s",
                     SkyResult_Symbol(result));
    }
    SkyLog_Flush();
    SkySettingsFile_Close(edge->settings_file);
    free(edge);
    return result;
}
