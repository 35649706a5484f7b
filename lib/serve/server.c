#include "serve/server.h"

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "core/logging.h"
#include "platform/http_call.h"
#include "serve/http_server.h"

#define POLL_INTERVAL_MS 20
#define LEAVE_TIMEOUT_MS 3000
#define HANDOVER_TIMEOUT_MS 5000
#define MISSED_RECORDS_POLL_MS 500
#define NS_PER_MS 1000000

static void
post_input(sky_control_t *control, sky_input_kind_t kind)
{
    sky_input_t input = {.kind = kind};
    SkyControl_PostInput(control, &input);
}

static void
sleep_ms(uint32_t wait_ms)
{
    poll(NULL, 0, (int)wait_ms);
}

static void
query_is_idle(sky_node_t *node, void *context)
{
    *(bool *)context = SkyNode_IsIdle(node);
}

static bool
is_host_idle(sky_control_t *control)
{
    bool is_idle = false;
    if (SkyWaiters_Count(SkyControl_Waiters(control)) > 0) {
        return false;
    }
    SkyControl_RunOnThread(control, query_is_idle, &is_idle);
    return is_idle;
}

static void
query_has_left(sky_node_t *node, void *context)
{
    const sky_members_t *members = SkyNode_Members(node);
    *(bool *)context =
        SkyMembers_Find(members, SkyMembers_SelfId(members)) == NULL;
}

static void
leave_membership(sky_control_t *control)
{
    bool has_left = false;
    post_input(control, SKY_IN_LEAVE);
    for (uint32_t i = 0; !has_left && i < LEAVE_TIMEOUT_MS / POLL_INTERVAL_MS;
         i++) {
        sleep_ms(POLL_INTERVAL_MS);
        SkyControl_RunOnThread(control, query_has_left, &has_left);
    }
    SkyLog_Write(LOG_NOTICE, "left", "seen_in_log=%d", has_left);
}

/** Waits without a time limit: a planned stop must not interrupt requests. */
static void
wait_for_open_requests(sky_control_t *control)
{
    while (SkyWaiters_Count(SkyControl_Waiters(control)) > 0) {
        sleep_ms(POLL_INTERVAL_MS);
    }
}

/** Gives up after a timeout: while the log is unavailable nothing can be
 *  handed over, and the successor waits until the lease has expired. */
static void
wait_for_handover(sky_control_t *control)
{
    for (uint32_t i = 0; i < HANDOVER_TIMEOUT_MS / POLL_INTERVAL_MS; i++) {
        if (is_host_idle(control)) {
            return;
        }
        sleep_ms(POLL_INTERVAL_MS);
    }
    SkyLog_Write(LOG_WARNING, "not_handed_over", "waited_ms=%d",
                 HANDOVER_TIMEOUT_MS);
}

static void
stop_gracefully(sky_control_t *control, sky_http_server_t *http_server)
{
    const sky_settings_t *settings = SkyControl_Settings(control);
    SkyLog_Write(LOG_NOTICE, "draining", "open_requests=%u",
                 SkyWaiters_Count(SkyControl_Waiters(control)));
    post_input(control, SKY_IN_DRAIN);
    sleep_ms(settings->balancer_wait_ms);
    SkyHttpServer_StopListening(http_server);
    post_input(control, SKY_IN_STOP_ACCEPTING);
    wait_for_open_requests(control);
    wait_for_handover(control);
    leave_membership(control);
}

static void
request_stop(void *context)
{
    (void)context;
    kill(getpid(), SIGTERM);
}

/** @return true on a signal to stop, false if the log has dropped records that
 *          this host has not read. */
static bool
wait_for_stop_signal(const sky_control_t *control, const sigset_t *signals)
{
    struct timespec timeout = {0, (long)MISSED_RECORDS_POLL_MS * NS_PER_MS};
    while (!SkyControl_HasMissedRecords(control)) {
        int signal_number = sigtimedwait(signals, NULL, &timeout);
        if (signal_number == SIGHUP) {
            SkyLog_Write(LOG_WARNING, "reload",
                         "result=ignored error=\"settings are read at the "
                         "start alone\"");
        }
        else if (signal_number > 0) {
            return true;
        }
    }
    return false;
}

static void
log_start(const sky_settings_t *settings)
{
    SkyLog_SetHostName(settings->host_name);
    SkyLog_Write(LOG_NOTICE, "start",
                 "listen=%s peer=%s domain=%u targets=%u lease_ms=%u "
                 "margin_ms=%u transit_max=%u batch_weight=%u",
                 settings->host_listen, settings->host_peer, settings->domain,
                 settings->target_count, settings->lease_ms,
                 settings->margin_ms, settings->transit_max,
                 settings->batch_weight);
}

sky_result_t
SkyServer_Run(const sky_settings_t *settings)
{
    sigset_t signals;
    sky_control_t *control = NULL;
    sky_http_server_t *http_server = NULL;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0) {
        return SKY_E_IO;
    }
    log_start(settings);
    sky_result_t result = SkyControl_Create(settings, &control);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = SkyHttpServer_Create(control, request_stop, NULL, &http_server);
    if (SkyResult_IsError(result)) {
        goto done;
    }
    if (wait_for_stop_signal(control, &signals)) {
        stop_gracefully(control, http_server);
    }
    else {
        SkyLog_Write(LOG_ERR, "lost", "reason=log_dropped_unread_records");
        result = SKY_E_IO;
    }

done:
    SkyHttpServer_Free(http_server);
    SkyControl_Free(control);
    SkyLog_Write(LOG_NOTICE, "stopped", "code=%s", SkyResult_Symbol(result));
    return result;
}
