#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/proxy_request.h"

/** A target from which no request of this host received a byte for this many
 *  times the route's latency objective is treated as lost, if the request can
 *  be sent to another one. */
#define SILENCE_OBJECTIVE_FACTOR 1.5
/** Responses of plain services are late by then. */
#define SILENCE_MIN_MS 300
/** A shorter cut costs a stream less than to be resumed elsewhere. */
#define CUT_OFF_MIN_MS 400
/** A peer that passed a request on notices a silent target itself first. */
#define PEER_SILENCE_FACTOR 2

static bool
is_dispatched_before(const sky_proxy_request_t *one,
                     const sky_proxy_request_t *other)
{
    bool is_under_way = SkyProxyRequest_IsUnderWay(one);
    if (is_under_way != SkyProxyRequest_IsUnderWay(other)) {
        return is_under_way;
    }
    if (one->urgency.rank != other->urgency.rank) {
        return one->urgency.rank < other->urgency.rank;
    }
    if (one->received_ms != other->received_ms) {
        return one->received_ms < other->received_ms;
    }
    return one < other;
}

static sky_proxy_request_t *
find_next_waiting(const sky_proxy_t *proxy, const sky_proxy_request_t *after)
{
    sky_proxy_request_t *best = NULL;
    sky_proxy_request_t *request;
    DL_FOREACH(proxy->requests, request)
    {
        if ((request->capacity_wait_since_ms > 0 || request->waits_for_path ||
             request->waits_for_turn || request->waits_for_records) &&
            request->placement_request == NULL &&
            request->permit_request == NULL &&
            request->quota_request == NULL &&
            (after == NULL || is_dispatched_before(after, request)) &&
            (best == NULL || is_dispatched_before(request, best))) {
            best = request;
        }
    }
    return best;
}

static uint64_t
max_silence_ms(const sky_proxy_request_t *request)
{
    double max_ms = SkyProxyRequest_GetRoute(request)->latency_objective_ms *
                    SILENCE_OBJECTIVE_FACTOR;
    return max_ms > SILENCE_MIN_MS ? (uint64_t)max_ms : SILENCE_MIN_MS;
}

/* Whether a response that has started may be withdrawn. To resume it at
 * another target may fail, and the caller would get less than by waiting,
 * unless this host is known to be cut off. */
static bool
may_withdraw_response(const sky_proxy_request_t *request, uint64_t now)
{
    return request->target != NULL &&
           SkyReachability_IsCutOff(
               request->proxy->options.directory->reachability,
               SkyProxyRequest_GetService(request)->name, CUT_OFF_MIN_MS, now);
}

/* Whether neither this request nor another one of this host receives anything
 * from the target. */
static bool
is_target_silent(const sky_proxy_request_t *request, uint64_t now)
{
    uint64_t max_ms = max_silence_ms(request);
    if (request->target_request == NULL ||
        SkyProxyRequest_GetRoute(request)->retry_policy ==
            SKY_RETRY_AT_MOST_ONCE ||
        (request->response_started && !may_withdraw_response(request, now))) {
        return false;
    }
    if (request->target == NULL) {
        return now > request->last_activity_ms + PEER_SILENCE_FACTOR * max_ms;
    }
    return now > request->last_activity_ms + max_ms &&
           now > request->target->last_byte_ms + max_ms;
}

/* Retries the request at another target. If that is not possible it keeps
 * waiting, as silence alone is no reason to end an exchange. */
static void
retry_elsewhere(sky_proxy_request_t *request)
{
    uint32_t failed_count_before = request->attempts.failed_count;
    if (request->target != NULL) {
        SkyAttempts_RecordFailed(&request->attempts, request->target->hash);
        SkyReachSharing_RecordFailure(request->proxy->options.reach_sharing,
                                      request->target);
    }
    if (!request->response_started) {
        /* A response that has begun is withdrawn only while this host is cut
         * off, which explains the silence. */
        SkyProxyRequest_RecordCrashEvidence(request, SKY_EXCHANGE_END_SILENT);
    }
    const char *obstacle = SkyProxyRequest_GetRetryObstacle(request);
    if (obstacle != NULL) {
        SkyLog_Write(LOG_NOTICE, "silence_borne",
                     "id=%s target=%s obstacle=%s", request->facts.id,
                     request->target ? request->target->entry.id
                                     : request->peer,
                     obstacle);
        request->attempts.failed_count = failed_count_before;
        request->last_activity_ms = SkyClock_NowMs();
        return;
    }
    sky_send_evidence_t evidence = SkyProxyRequest_CancelExchange(request);
    SkyProxyRequest_LogExchangeFailure(request, "silent");
    SkyProxyRequest_EndExchange(request, SKY_EXCHANGE_UNREACHABLE, &evidence);
    SkyProxyRequest_RetryOrFail(request, 0, "silent");
}

static void
withdraw_from_silent_targets(sky_proxy_t *proxy)
{
    uint64_t now = SkyClock_NowMs();
    sky_proxy_request_t *request;
    sky_proxy_request_t *next;
    DL_FOREACH_SAFE(proxy->requests, request, next)
    {
        if (is_target_silent(request, now)) {
            retry_elsewhere(request);
        }
    }
}

/* A load at a target that this host does not reach is of no use to it, whoever
 * owns the target. */
static void
leave_unreached_placements(sky_proxy_t *proxy)
{
    sky_proxy_request_t *request;
    sky_proxy_request_t *next;
    DL_FOREACH_SAFE(proxy->requests, request, next)
    {
        if (request->placement_request != NULL &&
            SkyProxyRequest_IsOutOfReach(request)) {
            SkyProxyRequest_TryPeer(request);
        }
    }
}

/* Routes the requests that came while the records were too old. */
static void
route_waiting(sky_proxy_t *proxy)
{
    sky_proxy_request_t *request;
    sky_proxy_request_t *next;
    DL_FOREACH_SAFE(proxy->unrouted, request, next)
    {
        SkyProxyRequest_Route(request);
    }
}

/* Gives back what has not been sent and could no longer end before this host
 * exits, whatever it waits for. */
static void
fail_stopping(sky_proxy_t *proxy)
{
    sky_proxy_request_t *request;
    sky_proxy_request_t *next;
    DL_FOREACH_SAFE(proxy->requests, request, next)
    {
        SkyProxyRequest_FailIfStopping(request);
    }
}

void
SkyProxy_CheckOpenRequests(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_proxy_t *proxy = watcher->data;
    uint64_t now = SkyClock_NowMs();
    proxy->has_capacity_waiters = false; /* set again by those that wait on */
    proxy->last_check_ms = now;
    bool are_usable = SkyFeed_AreRecordsUsable(proxy->options.feed);
    if (are_usable == proxy->awaits_records) {
        proxy->awaits_records = !are_usable;
        SkyLog_Write(LOG_NOTICE, "records_awaited", "waits=%d open=%u",
                     proxy->awaits_records, proxy->open_count);
    }
    fail_stopping(proxy);
    if (!are_usable) {
        return; /* all that follows chooses targets */
    }
    route_waiting(proxy);
    withdraw_from_silent_targets(proxy);
    leave_unreached_placements(proxy);
    /* Streams under way first, then the most urgent request. */
    sky_proxy_request_t *request = find_next_waiting(proxy, NULL);
    while (request != NULL) {
        sky_proxy_request_t *next = find_next_waiting(proxy, request);
        if (request->capacity_wait_since_ms > 0 &&
            now > request->capacity_wait_since_ms + CAPACITY_WAIT_MAX_MS) {
            SkyProxyRequest_Fail(request, RETRY_AFTER_FULL_MS, "no_room");
        }
        else {
            SkyProxyRequest_Dispatch(request);
        }
        request = next;
    }
}
