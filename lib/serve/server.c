#include "serve/server.h"

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "core/logging.h"
#include "platform/http.h"
#include "serve/front.h"

#define STEP_MS 20
#define LEAVE_WAIT_MS 3000
#define HANDOVER_WAIT_MS 5000
#define LOST_CHECK_MS 500
#define NS_PER_MS 1000000

static void
post(sky_control_t *control, sky_input_kind_t kind)
{
    sky_input_t input = {.kind = kind};
    SkyControl_Post(control, &input);
}

static void
sleep_ms(uint32_t wait_ms)
{
    poll(NULL, 0, (int)wait_ms);
}

static void
check_idle(sky_node_t *node, void *context)
{
    *(bool *)context = SkyNode_IsIdle(node);
}

static bool
is_idle(sky_control_t *control)
{
    bool idle = false;
    if (SkyExchanges_Count(SkyControl_Exchanges(control)) > 0) {
        return false;
    }
    SkyControl_Call(control, check_idle, &idle);
    return idle;
}

static void
check_left(sky_node_t *node, void *context)
{
    const sky_members_t *members = SkyNode_Members(node);
    *(bool *)context =
        SkyMembers_Find(members, SkyMembers_SelfId(members)) == NULL;
}

static void
leave(sky_control_t *control)
{
    bool left = false;
    post(control, SKY_IN_LEAVE);
    for (uint32_t i = 0; !left && i < LEAVE_WAIT_MS / STEP_MS; i++) {
        sleep_ms(STEP_MS);
        SkyControl_Call(control, check_left, &left);
    }
    SkyLog_Write(LOG_NOTICE, "left", "seen_in_log=%d", left);
}

/** However long they take: a planned stop cuts nothing off. */
static void
finish_requests(sky_control_t *control)
{
    while (SkyExchanges_Count(SkyControl_Exchanges(control)) > 0) {
        sleep_ms(STEP_MS);
    }
}

/** With the log out nothing can be handed over; the successor then waits for
 *  the lease to lapse instead. */
static void
wait_for_handover(sky_control_t *control)
{
    for (uint32_t i = 0; i < HANDOVER_WAIT_MS / STEP_MS; i++) {
        if (is_idle(control)) {
            return;
        }
        sleep_ms(STEP_MS);
    }
    SkyLog_Write(LOG_WARNING, "not_handed_over", "waited_ms=%d",
                 HANDOVER_WAIT_MS);
}

static void
stop_in_order(sky_control_t *control, sky_front_t *front)
{
    const sky_settings_t *settings = SkyControl_Settings(control);
    SkyLog_Write(LOG_NOTICE, "draining", "open_requests=%u",
                 SkyExchanges_Count(SkyControl_Exchanges(control)));
    post(control, SKY_IN_DRAIN);
    sleep_ms(settings->balancer_wait_ms);
    SkyFront_StopListening(front);
    post(control, SKY_IN_STOP_ACCEPTING);
    finish_requests(control);
    wait_for_handover(control);
    leave(control);
}

static void
ask_to_drain(void *context)
{
    (void)context;
    kill(getpid(), SIGTERM);
}

/** @return true on a signal, false if the host cannot go on. */
static bool
wait_for_stop(const sky_control_t *control, const sigset_t *signals)
{
    struct timespec wait = {0, (long)LOST_CHECK_MS * NS_PER_MS};
    while (!SkyControl_IsLost(control)) {
        if (sigtimedwait(signals, NULL, &wait) > 0) {
            return true;
        }
    }
    return false;
}

static void
log_start(const sky_settings_t *settings)
{
    SkyLog_SetName(settings->host_name);
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
    sky_front_t *front = NULL;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || SkyResult_IsError(SkyHttp_Init())) {
        return SKY_E_IO;
    }
    log_start(settings);
    sky_result_t result = SkyControl_Create(settings, &control);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = SkyFront_Create(control, ask_to_drain, NULL, &front);
    if (SkyResult_IsError(result)) {
        goto done;
    }
    if (wait_for_stop(control, &signals)) {
        stop_in_order(control, front);
    }
    else {
        SkyLog_Write(LOG_ERR, "lost", "reason=log_dropped_unread_records");
        result = SKY_E_IO;
    }

done:
    SkyFront_Free(front);
    SkyControl_Free(control);
    SkyLog_Write(LOG_NOTICE, "stopped", "code=%s", SkyResult_Symbol(result));
    return result;
}
