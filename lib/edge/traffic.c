#include "edge/traffic.h"

#include <stdlib.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/job.h"

/** A request takes this long at most, but for few; one that comes later while
 *  this host stops is better off elsewhere. */
#define USUAL_MOST_MS 4000
#define RETRY_AFTER_STOPPING_MS 20
/** A host that starts while the store is away: outages last for seconds, and
 *  many callers come back only once. */
#define RETRY_AFTER_AWAY_MS 1500
#define ROOM_S 0.02 /**< waiting requests are looked at so often */

static void
on_due(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_job_t *job = watcher->data;
    if (job->sending != NULL) {
        job->may_have_run =
            job->may_have_run || SkySending_IsSent(job->sending);
        SkyJob_LogSendingEnd(job, "deadline");
    }
    SkyJob_StopWaiting(job);
    SkyJob_GiveUp(job, RETRY_AFTER_FULL_MS, "deadline");
}

static void
refuse_unrouted(sky_job_t *job, uint16_t status, uint32_t retry_after_ms,
                const char *reason)
{
    job->due_ms = job->arrived_ms;
    SkyJob_AnswerOwn(job, status, retry_after_ms, reason);
}

static void
route(sky_job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    const sky_http_head_t *head = SkyVisit_Head(job->visit);
    const char *host = SkyHttp_Field(head, "Host");
    if (traffic->stop_ms > 0 &&
        job->arrived_ms + USUAL_MOST_MS > traffic->stop_ms) {
        refuse_unrouted(job, 503, RETRY_AFTER_STOPPING_MS, "stopping");
        return;
    }
    if (traffic->options.directory->deployment == NULL ||
        !traffic->options.directory->targets_known) {
        refuse_unrouted(job, 503,
                        traffic->options.directory->store_away
                            ? RETRY_AFTER_AWAY_MS
                            : RETRY_AFTER_START_MS,
                        "not_configured");
        return;
    }
    job->deployment =
        SkyDeployment_Hold(traffic->options.directory->deployment);
    if (SkyResult_IsError(SkyWire_ReadRequest(head, &job->facts))) {
        refuse_unrouted(job, 400, 0, "bad_request");
        return;
    }
    job->route = SkyDeployment_Match(job->deployment, host ? host : "",
                                     SkyHttp_Url(head));
    job->service = job->route ? SkyDeployment_Pick(job->deployment, job->route,
                                                   SkyJob_Spread(job))
                              : NULL;
    if (job->service == NULL) {
        refuse_unrouted(job, 404, 0, "no_route");
        return;
    }
    uint32_t limit_ms = job->route->timeout_ms < job->facts.deadline_ms
                            ? job->route->timeout_ms
                            : job->facts.deadline_ms;
    job->due_ms = job->arrived_ms + limit_ms;
    ev_timer_set(&job->due, limit_ms / 1000.0, 0.0);
    ev_timer_start(traffic->options.loop, &job->due);
    sky_retry_budget_t *budget = SkyJob_BudgetOf(traffic, job->service->name);
    if (budget != NULL) {
        SkyRetryBudget_NoteRequest(budget, &traffic->budget_options,
                                   job->arrived_ms);
    }
    SkyJob_Dispatch(job);
}

static void
on_request(void *context, sky_visit_t *visit)
{
    sky_traffic_t *traffic = context;
    sky_job_t *job = calloc(1, sizeof *job);
    if (job == NULL) {
        SkyLog_Write(LOG_ERR, "request_dropped", "reason=memory");
        SkyVisit_Answer(visit, 503, "", "", 0);
        return;
    }
    job->traffic = traffic;
    job->visit = visit;
    job->arrived_ms = SkyClock_NowMs();
    job->facts.id = "";
    ev_init(&job->due, on_due);
    job->due.data = job;
    DL_APPEND(traffic->jobs, job);
    traffic->open++;
    SkyVisit_SetUser(visit, job);
    route(job);
}

static void
on_gone(void *context, sky_visit_t *visit)
{
    (void)context;
    sky_job_t *job = SkyVisit_User(visit);
    if (job != NULL) {
        SkyJob_LogEnd(job, LOG_INFO, 0, "caller_left", "-");
        SkyJob_Free(job);
    }
}

sky_listener_events_t
SkyTraffic_Events(void)
{
    return (sky_listener_events_t){.on_request = on_request,
                                   .on_gone = on_gone};
}

sky_result_t
SkyTraffic_Create(const sky_traffic_options_t *options,
                  sky_traffic_t **traffic)
{
    sky_traffic_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    const sky_bounds_t *bounds = &options->settings->bounds;
    self->options = *options;
    self->budget_options =
        (sky_retry_budget_options_t){.ratio = bounds->retry_ratio,
                                     .slack = bounds->retry_slack,
                                     .window_ms = bounds->retry_window_ms};
    ev_timer_init(&self->room, SkyJob_OnRoom, ROOM_S, ROOM_S);
    self->room.data = self;
    ev_timer_start(options->loop, &self->room);
    *traffic = self;
    return SKY_OK;
}

void
SkyTraffic_Free(sky_traffic_t *traffic)
{
    if (traffic == NULL) {
        return;
    }
    sky_job_t *job;
    sky_job_t *next;
    DL_FOREACH_SAFE(traffic->jobs, job, next)
    {
        SkyJob_Free(job);
    }
    ev_timer_stop(traffic->options.loop, &traffic->room);
    sky_service_budget_t *budget;
    sky_service_budget_t *after;
    LL_FOREACH_SAFE(traffic->budgets, budget, after)
    {
        free(budget);
    }
    free(traffic);
}

void
SkyTraffic_StopBy(sky_traffic_t *traffic, uint64_t last_ms)
{
    traffic->stop_ms = last_ms;
}

uint32_t
SkyTraffic_Open(const sky_traffic_t *traffic)
{
    return traffic->open;
}
