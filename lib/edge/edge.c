#include "edge/edge.h"

#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/clock.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "edge/directory.h"
#include "edge/feed.h"
#include "edge/feed_relay.h"
#include "edge/host_settings.h"
#include "edge/ownership.h"
#include "edge/host_calls.h"
#include "edge/placement.h"
#include "edge/traffic.h"
#include "net/client.h"
#include "net/listener.h"
#include "platform/settings.h"
#include "platform/store.h"

#define LOG_LINES_PER_S 400 /**< some per cent of a small host's processor */
#define LOG_FLUSH_S 0.2
#define TICK_S 0.1
#define STORE_TIMEOUT_MS 1500 /**< a slow store takes some hundred ms */
#define STORE_IDLE_MS 8000    /**< the store closes idle connections later */
#define TARGET_IDLE_MS 4000   /**< kept without a target's own Keep-Alive */
#define IDLE_PER_TARGET 64    /**< a batch of the largest engines */
#define USER_TIMEOUT_MS 3000  /**< bytes unconfirmed: the path is gone */
#define BELIEF_MS 3000        /**< an entry of the list is at most this old */
#define PAUSE_MS 100          /**< a longer standstill may have cost a lease */
/* Until a configuration with limits is known. */
#define FIRST_HEAD_BYTES 16384
#define FIRST_BODY_BYTES (4 * 1024 * 1024)
#define FIRST_HEAD_TIMEOUT_MS 3000
#define FIRST_IDLE_TIMEOUT_MS 15000
/** The balancer needs two probes, a second apart, to stop sending callers. */
#define DRAIN_LEAST_MS 3200
#define DRAIN_IDLE_MS 2500
#define DRAIN_MARGIN_MS 400 /**< left of the grace period */
#define READY_HEAD_BYTES 4096

typedef struct {
    sky_host_settings_t settings;
    struct ev_loop *loop;
    sky_directory_t directory;
    sky_metrics_t *metrics;
    sky_client_t *client;
    sky_store_t *store;
    sky_host_calls_t *peers;
    sky_ownership_t *ownership;
    sky_placement_t *placement;
    sky_traffic_t *traffic;
    sky_feed_t *feed;
    sky_feed_relay_t *relay;
    sky_listener_t *ready;
    sky_listener_t *metrics_door;
    sky_listener_t *front;
    ev_signal term;
    ev_signal hup;
    ev_timer tick;
    ev_timer flush;
    ev_check check;
    uint64_t suspended_ms;
    uint64_t term_at_ms; /**< 0: not told to stop */
    bool was_ready;
} edge_t;

static bool
is_ready(const edge_t *edge)
{
    return edge->term_at_ms == 0 && edge->directory.deployment != NULL &&
           edge->directory.targets_known;
}

static void
answer_metrics(edge_t *edge, sky_visit_t *visit)
{
    char *text = SkyMetrics_Text(edge->metrics);
    const sky_client_stats_t *stats = SkyClient_Stats(edge->client);
    sky_buffer_t body = {0};
    SkyBuffer_AppendText(&body, text ? text : "");
    SkyBuffer_Format(&body,
                     "# TYPE sky_log_lines_dropped_total counter\n"
                     "sky_log_lines_dropped_total %llu\n"
                     "# TYPE sky_connects_total counter\n"
                     "sky_connects_total %llu\n"
                     "# TYPE sky_reuses_total counter\n"
                     "sky_reuses_total %llu\n"
                     "# TYPE sky_requests_open gauge\n"
                     "sky_requests_open %u\n",
                     (unsigned long long)SkyLog_Dropped(),
                     (unsigned long long)stats->connects,
                     (unsigned long long)stats->reuses,
                     SkyTraffic_Open(edge->traffic));
    SkyVisit_Answer(visit, 200, "Content-Type: text/plain\r\n",
                    SkyBuffer_Data(&body), SkyBuffer_Size(&body));
    SkyBuffer_Clear(&body);
    free(text);
}

static void
on_ready_request(void *context, sky_visit_t *visit)
{
    edge_t *edge = context;
    const char *url = SkyHttp_Url(SkyVisit_Head(visit));
    if (strcmp(url, "/readyz") == 0) {
        SkyVisit_Answer(visit, is_ready(edge) ? 200 : 503, "", "", 0);
    }
    else if (strcmp(url, "/metrics") == 0) {
        answer_metrics(edge, visit);
    }
    else {
        SkyVisit_Answer(visit, 404, "", "", 0);
    }
}

static void
on_ready_gone(void *context, sky_visit_t *visit)
{
    (void)context;
    (void)visit;
}

static void
on_feed_change(void *context, sky_feed_topic_t topic)
{
    edge_t *edge = context;
    if (topic == SKY_FEED_OPERATOR && edge->directory.deployment != NULL) {
        const sky_limits_t *limits = &edge->directory.deployment->limits;
        sky_listener_limits_t front = {limits->head_bytes, limits->body_bytes,
                                       limits->head_timeout_ms,
                                       limits->idle_timeout_ms};
        SkyListener_SetLimits(edge->front, &front);
    }
    SkyPlacement_Reconcile(edge->placement);
    if (edge->relay != NULL) {
        SkyFeedRelay_NoteNews(edge->relay);
    }
}

static void
on_owners_change(void *context)
{
    edge_t *edge = context;
    edge->directory.hosts = SkyOwnership_Hosts(edge->ownership);
    if (edge->relay != NULL) {
        SkyPlacement_Reconcile(edge->placement);
        SkyFeedRelay_NoteOwners(edge->relay);
    }
}

static uint64_t
latest_exit_ms(const edge_t *edge)
{
    return edge->settings.bounds.grace_ms > DRAIN_MARGIN_MS
               ? edge->settings.bounds.grace_ms - DRAIN_MARGIN_MS
               : 0;
}

static void
on_term(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    edge_t *edge = watcher->data;
    if (edge->term_at_ms > 0) {
        return;
    }
    edge->term_at_ms = SkyClock_NowMs();
    SkyLog_Write(LOG_NOTICE, "stopping", "open=%u connections=%u",
                 SkyTraffic_Open(edge->traffic),
                 SkyListener_Connections(edge->front));
    SkyOwnership_Leave(edge->ownership);
    SkyListener_Drain(edge->front, DRAIN_IDLE_MS);
    SkyTraffic_StopBy(edge->traffic, edge->term_at_ms + latest_exit_ms(edge));
}

static void
on_hup(struct ev_loop *loop, ev_signal *watcher, int events)
{
    (void)loop;
    (void)events;
    edge_t *edge = watcher->data;
    char error[SKY_ERROR_BYTES] = "";
    sky_host_settings_t settings;
    sky_result_t result =
        SkyPlatform_ReadSettings(SkyPlatform_SettingsPath(), &settings, error);
    SkyLog_Write(LOG_NOTICE, "reload", "result=%s error=\"%s\"",
                 SkyResult_Symbol(result), error);
    if (!SkyResult_IsError(result)) {
        edge->settings.bounds = settings.bounds;
        edge->settings.seed_count = settings.seed_count;
        memcpy(edge->settings.seeds, settings.seeds, sizeof settings.seeds);
    }
}

static bool
may_exit(const edge_t *edge, uint64_t now)
{
    uint64_t since = now - edge->term_at_ms;
    bool idle = SkyTraffic_Open(edge->traffic) == 0 &&
                SkyListener_Connections(edge->front) == 0;
    return since >= latest_exit_ms(edge) || (since >= DRAIN_LEAST_MS && idle);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    edge_t *edge = watcher->data;
    uint64_t now = SkyClock_NowMs();
    SkyFleet_Tick(edge->directory.fleet, now);
    if (is_ready(edge) != edge->was_ready) {
        edge->was_ready = is_ready(edge);
        SkyLog_Write(LOG_NOTICE, "readiness", "ready=%d", edge->was_ready);
    }
    if (edge->term_at_ms > 0 && may_exit(edge, now)) {
        SkyLog_Write(LOG_NOTICE, "stopped", "open=%u connections=%u",
                     SkyTraffic_Open(edge->traffic),
                     SkyListener_Connections(edge->front));
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

/* Runs before all other events of a turn: a machine that stood still must not
 * act on what it believed before. */
static void
on_check(struct ev_loop *loop, ev_check *watcher, int events)
{
    (void)loop;
    (void)events;
    edge_t *edge = watcher->data;
    uint64_t suspended_ms = SkyClock_SuspendedMs();
    if (suspended_ms > edge->suspended_ms + PAUSE_MS) {
        SkyLog_Write(LOG_WARNING, "paused", "ms=%llu",
                     (unsigned long long)(suspended_ms - edge->suspended_ms));
        SkyOwnership_NotePause(edge->ownership);
        SkyClient_DropIdle(edge->client, NULL);
    }
    edge->suspended_ms = suspended_ms;
}

static sky_result_t
create_parts(edge_t *edge)
{
    sky_host_settings_t *settings = &edge->settings;
    sky_client_options_t client = {
        .loop = edge->loop,
        .idle_ms = TARGET_IDLE_MS,
        .idle_per_target = IDLE_PER_TARGET,
        .user_timeout_ms = USER_TIMEOUT_MS,
    };
    sky_result_t result = SkyClient_Create(&client, &edge->client);
    sky_store_options_t store = {.loop = edge->loop,
                                 .client = edge->client,
                                 .address = settings->store.address,
                                 .timeout_ms = STORE_TIMEOUT_MS};
    if (!SkyResult_IsError(result)) {
        result = SkyStore_Create(&store, &edge->store);
    }
    sky_host_calls_options_t peers = {.loop = edge->loop,
                                      .client = edge->client,
                                      .address = settings->control};
    if (!SkyResult_IsError(result)) {
        result = SkyHostCalls_Create(&peers, &edge->peers);
    }
    sky_fleet_options_t fleet = {.domain = settings->domain,
                                 .version_ms = settings->bounds.version_ms,
                                 .belief_ms = BELIEF_MS};
    if (!SkyResult_IsError(result)) {
        result = SkyFleet_Create(&fleet, &edge->directory.fleet);
    }
    sky_ownership_options_t ownership = {.loop = edge->loop,
                                         .settings = settings,
                                         .store = edge->store,
                                         .on_change = on_owners_change,
                                         .context = edge};
    if (!SkyResult_IsError(result)) {
        result = SkyOwnership_Create(&ownership, &edge->ownership);
    }
    return result;
}

static sky_result_t
create_paths(edge_t *edge)
{
    sky_host_settings_t *settings = &edge->settings;
    sky_placement_options_t placement = {.loop = edge->loop,
                                         .settings = settings,
                                         .directory = &edge->directory,
                                         .ownership = edge->ownership,
                                         .client = edge->client,
                                         .peers = edge->peers};
    sky_result_t result = SkyPlacement_Create(&placement, &edge->placement);
    sky_traffic_options_t traffic = {.loop = edge->loop,
                                     .settings = settings,
                                     .directory = &edge->directory,
                                     .client = edge->client,
                                     .placement = edge->placement,
                                     .metrics = edge->metrics};
    if (!SkyResult_IsError(result)) {
        result = SkyTraffic_Create(&traffic, &edge->traffic);
    }
    sky_listener_options_t front = {
        .loop = edge->loop,
        .address = settings->front,
        .limits = {FIRST_HEAD_BYTES, FIRST_BODY_BYTES, FIRST_HEAD_TIMEOUT_MS,
                   FIRST_IDLE_TIMEOUT_MS},
        .events = SkyTraffic_Events(),
        .context = edge->traffic,
    };
    if (!SkyResult_IsError(result)) {
        result = SkyListener_Create(&front, &edge->front);
    }
    sky_listener_options_t ready = {
        .loop = edge->loop,
        .address = settings->ready,
        .limits = {READY_HEAD_BYTES, READY_HEAD_BYTES, FIRST_HEAD_TIMEOUT_MS,
                   FIRST_IDLE_TIMEOUT_MS},
        .events = {.on_request = on_ready_request, .on_gone = on_ready_gone},
        .context = edge,
    };
    if (!SkyResult_IsError(result)) {
        result = SkyListener_Create(&ready, &edge->ready);
    }
    sky_listener_options_t metrics = ready;
    metrics.address = settings->metrics;
    if (!SkyResult_IsError(result) && settings->metrics[0] != '\0' &&
        SkyResult_IsError(SkyListener_Create(&metrics, &edge->metrics_door))) {
        SkyLog_Write(LOG_WARNING, "metrics_not_served", "address=%s",
                     settings->metrics);
    }
    sky_feed_options_t feed = {.loop = edge->loop,
                               .settings = settings,
                               .directory = &edge->directory,
                               .store = edge->store,
                               .on_change = on_feed_change,
                               .context = edge};
    if (!SkyResult_IsError(result)) {
        result = SkyFeed_Create(&feed, &edge->feed);
    }
    sky_feed_relay_options_t relay = {.loop = edge->loop,
                                      .settings = settings,
                                      .feed = edge->feed,
                                      .ownership = edge->ownership,
                                      .calls = edge->peers};
    if (!SkyResult_IsError(result)) {
        result = SkyFeedRelay_Create(&relay, &edge->relay);
    }
    return result;
}

static void
start_watchers(edge_t *edge)
{
    ev_signal_init(&edge->term, on_term, SIGTERM);
    ev_signal_init(&edge->hup, on_hup, SIGHUP);
    ev_timer_init(&edge->tick, on_tick, TICK_S, TICK_S);
    ev_timer_init(&edge->flush, on_flush, LOG_FLUSH_S, LOG_FLUSH_S);
    ev_check_init(&edge->check, on_check);
    ev_set_priority(&edge->check, EV_MAXPRI);
    edge->term.data = edge;
    edge->hup.data = edge;
    edge->tick.data = edge;
    edge->check.data = edge;
    ev_signal_start(edge->loop, &edge->term);
    ev_signal_start(edge->loop, &edge->hup);
    ev_timer_start(edge->loop, &edge->tick);
    ev_timer_start(edge->loop, &edge->flush);
    ev_check_start(edge->loop, &edge->check);
    edge->suspended_ms = SkyClock_SuspendedMs();
}

static void
free_parts(edge_t *edge)
{
    SkyListener_Free(edge->front);
    SkyListener_Free(edge->ready);
    SkyListener_Free(edge->metrics_door);
    SkyTraffic_Free(edge->traffic);
    SkyPlacement_Free(edge->placement);
    SkyFeedRelay_Free(edge->relay);
    SkyFeed_Free(edge->feed);
    SkyOwnership_Free(edge->ownership);
    SkyHostCalls_Free(edge->peers);
    SkyStore_Free(edge->store);
    SkyClient_Free(edge->client);
    SkyFleet_Free(edge->directory.fleet);
    SkyDeployment_Release(edge->directory.deployment);
    SkyMetrics_Free(edge->metrics);
}

sky_result_t
SkyEdge_Run(const char *settings_path)
{
    char error[SKY_ERROR_BYTES] = "";
    edge_t *edge = calloc(1, sizeof *edge);
    if (edge == NULL) {
        return SKY_E_MEMORY;
    }
    signal(SIGPIPE, SIG_IGN);
    SkyLog_UseStandardOutput(LOG_LINES_PER_S);
    sky_result_t result =
        SkyPlatform_ReadSettings(settings_path, &edge->settings, error);
    if (SkyResult_IsError(result)) {
        SkyLog_Write(LOG_ERR, "settings_refused", "error=\"%s\"", error);
        goto out;
    }
    SkyLog_SetName(edge->settings.name);
    SkyLog_Write(LOG_NOTICE, "starting",
                 "domain=%s front=%s control=%s store=%s",
                 edge->settings.domain, edge->settings.front,
                 edge->settings.control, edge->settings.store.address);
    edge->loop = ev_default_loop(EVFLAG_AUTO);
    edge->metrics = SkyMetrics_Create();
    edge->directory.hosts = 1;
    result = edge->metrics != NULL ? create_parts(edge) : SKY_E_MEMORY;
    if (!SkyResult_IsError(result)) {
        result = create_paths(edge);
    }
    if (!SkyResult_IsError(result)) {
        start_watchers(edge);
        ev_run(edge->loop, 0);
    }
    free_parts(edge);
out:
    if (SkyResult_IsError(result)) {
        SkyLog_Write(LOG_ERR, "stopped", "result=%s",
                     SkyResult_Symbol(result));
    }
    SkyLog_Flush();
    free(edge);
    return result;
}
