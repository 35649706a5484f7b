#include "edge/job.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"

#define RETRY_AFTER_SPREAD_MS 300 /**< callers must not return together */
#define LEAST_TIME_MS 20          /**< a target could not answer in less */

sky_retry_budget_t *
SkyJob_BudgetOf(sky_traffic_t *traffic, const char *service)
{
    sky_service_budget_t *budget;
    LL_FOREACH(traffic->budgets, budget)
    {
        if (strcmp(budget->service, service) == 0) {
            return &budget->budget;
        }
    }
    budget = calloc(1, sizeof *budget);
    if (budget == NULL) {
        return NULL;
    }
    snprintf(budget->service, sizeof budget->service, "%s", service);
    LL_PREPEND(traffic->budgets, budget);
    return &budget->budget;
}

uint64_t
SkyJob_Spread(const sky_job_t *job)
{
    return XXH3_64bits(job->facts.id, strlen(job->facts.id));
}

sky_adapter_key_t
SkyJob_Adapter(const sky_job_t *job)
{
    return SkyFleet_KeyOf(job->facts.model, job->facts.adapter);
}

void
SkyJob_ClearAnswer(sky_job_answer_t *answer)
{
    SkyBuffer_Clear(&answer->fields);
    SkyBuffer_Clear(&answer->body);
    *answer = (sky_job_answer_t){0};
}

void
SkyJob_EndSending(sky_job_t *job, sky_fared_t fared)
{
    sky_traffic_t *traffic = job->traffic;
    if (job->target != NULL) {
        if (job->service->engine.present) {
            SkyPlacement_NoteEnd(traffic->options.placement, job->target,
                                 SkyJob_Adapter(job));
        }
        SkyFleet_End(traffic->options.directory->fleet, job->target, fared,
                     SkyClock_NowMs());
        job->target = NULL;
    }
    job->sending = NULL;
}

void
SkyJob_StopWaiting(sky_job_t *job)
{
    if (job->ask != NULL) {
        SkyPlacement_Cancel(job->ask);
        job->ask = NULL;
    }
    if (job->sending != NULL) {
        SkySending_Cancel(job->sending);
        SkyJob_EndSending(job, SKY_FARED_UNKNOWN);
    }
}

/* Milliseconds from a request's arrival to a later moment; -1: never. */
static long long
since_arrival(const sky_job_t *job, uint64_t at_ms)
{
    return at_ms > 0 ? (long long)(at_ms - job->arrived_ms) : -1;
}

void
SkyJob_LogEnd(const sky_job_t *job, int priority, uint16_t status,
              const char *outcome, const char *reason)
{
    SkyLog_Write(
        priority, "request_end",
        "id=%s route=%s service=%s adapter=%s/%s target=%s status=%u "
        "outcome=%s "
        "reason=%s ms=%llu sent_ms=%lld first_ms=%lld sends=%u asks=%u "
        "config=%llu",
        job->facts.id, job->route ? job->route->name : "-",
        job->service ? job->service->name : "-",
        job->facts.model[0] ? job->facts.model : "-",
        job->facts.adapter[0] ? job->facts.adapter : "-",
        job->target_id[0] ? job->target_id : "-", status, outcome, reason,
        (unsigned long long)(SkyClock_NowMs() - job->arrived_ms),
        since_arrival(job, job->sent_ms), since_arrival(job, job->head_ms),
        job->sends, job->asks,
        (unsigned long long)(job->deployment ? job->deployment->version : 0));
}

void
SkyJob_Free(sky_job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    SkyJob_StopWaiting(job);
    ev_timer_stop(traffic->options.loop, &job->due);
    DL_DELETE(traffic->jobs, job);
    traffic->open--;
    SkyJob_ClearAnswer(&job->answer);
    SkyEventStream_Clear(&job->events);
    SkyDeployment_Release(job->deployment);
    free(job);
}

/* A final answer of this host's own. */
void
SkyJob_AnswerOwn(sky_job_t *job, uint16_t status, uint32_t retry_after_ms,
                 const char *reason)
{
    sky_buffer_t fields = {0};
    if (retry_after_ms > 0) {
        retry_after_ms +=
            (uint32_t)(SkyJob_Spread(job) % RETRY_AFTER_SPREAD_MS);
    }
    SkyWire_PutOwnFields(&fields, job->facts.id, retry_after_ms);
    SkyJob_LogEnd(job, LOG_NOTICE, status, "refused", reason);
    SkyMetrics_CountAnswer(job->traffic->options.metrics,
                           job->service ? job->service->name : "-", reason);
    SkyVisit_Answer(job->visit, status, SkyBuffer_Data(&fields), "", 0);
    SkyBuffer_Clear(&fields);
    SkyJob_Free(job);
}

/* No target gave an answer that may be passed on. */
void
SkyJob_GiveUp(sky_job_t *job, uint32_t retry_after_ms, const char *reason)
{
    if (job->relaying) {
        SkyJob_LogEnd(job, LOG_NOTICE, job->answer.status, "broken_off",
                      reason);
        SkyVisit_Abort(job->visit);
        SkyJob_Free(job);
    }
    else if (job->may_have_run) {
        bool late = SkyClock_NowMs() >= job->due_ms;
        SkyJob_AnswerOwn(job, late ? 504 : 502, 0, reason);
    }
    else {
        SkyJob_AnswerOwn(job, 503,
                         retry_after_ms ? retry_after_ms : RETRY_AFTER_FULL_MS,
                         reason);
    }
}

void
SkyJob_NoteAnswered(const sky_job_t *job)
{
    sky_metrics_t *metrics = job->traffic->options.metrics;
    uint16_t status = job->answer.status;
    SkyJob_LogEnd(job, LOG_INFO, status, "answered", "-");
    SkyMetrics_CountAnswer(metrics, job->service->name,
                           status < 400 ? "ok" : "target_failure");
    SkyMetrics_Observe(metrics, job->service->name, SKY_HIST_TOTAL,
                       SkyClock_NowMs() - job->arrived_ms);
}

void
SkyJob_PassAnswerOn(sky_job_t *job)
{
    sky_job_answer_t *answer = &job->answer;
    SkyJob_NoteAnswered(job);
    SkyVisit_Answer(
        job->visit, answer->status, SkyBuffer_Data(&answer->fields),
        SkyBuffer_Data(&answer->body), SkyBuffer_Size(&answer->body));
    SkyJob_Free(job);
}

static bool
may_run_again(const sky_job_t *job)
{
    return !job->may_have_run || job->route->repeat != SKY_REPEAT_NEVER;
}

/* What forbids to send the request once more, or makes it of no use; NULL:
 * nothing does. */
const char *
SkyJob_WhyNotAgain(const sky_job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    uint64_t now = SkyClock_NowMs();
    sky_retry_budget_t *budget = SkyJob_BudgetOf(traffic, job->service->name);
    if (!may_run_again(job)) {
        return "not_repeatable";
    }
    if (job->sends >= SENDS_MAX) {
        return "sends";
    }
    if (!SkyJob_HasTarget(job)) {
        return "no_other_target";
    }
    if (now + LEAST_TIME_MS >= job->due_ms) {
        return "time";
    }
    if (budget == NULL ||
        !SkyRetryBudget_IsLeft(budget, &traffic->budget_options,
                               traffic->options.directory->hosts, now)) {
        return "budget";
    }
    return NULL;
}

/* Sends the request once more, if that is allowed and of use. */
void
SkyJob_Repeat(sky_job_t *job, uint32_t retry_after_ms, const char *reason)
{
    sky_traffic_t *traffic = job->traffic;
    uint64_t now = SkyClock_NowMs();
    const char *stop = SkyJob_WhyNotAgain(job);
    SkyLog_Write(LOG_NOTICE, "repeat",
                 "id=%s reason=%s allowed=%s sends=%u left_ms=%lld",
                 job->facts.id, reason, stop ? stop : "yes", job->sends,
                 (long long)(job->due_ms - now));
    if (stop == NULL) {
        SkyRetryBudget_Take(SkyJob_BudgetOf(traffic, job->service->name),
                            &traffic->budget_options,
                            traffic->options.directory->hosts, now);
        SkyEventStream_Rewind(&job->events);
        if (!job->relaying) {
            SkyJob_ClearAnswer(&job->answer);
        }
        SkyJob_Dispatch(job);
    }
    else if (!job->relaying && job->answer.status >= 500 &&
             job->answer.facts.sealed && !job->answer.facts.not_run) {
        SkyJob_PassAnswerOn(job); /* the target's own failure, whole */
    }
    else {
        SkyJob_GiveUp(job, retry_after_ms, reason);
    }
}

void
SkyJob_LogSendingEnd(const sky_job_t *job, const char *how)
{
    SkyLog_Write(LOG_NOTICE, "sending_end",
                 "id=%s target=%s how=%s status=%u not_run=%d bad=%d "
                 "failure=%.2f in_flight=%u",
                 job->facts.id, job->target->entry.id, how, job->answer.status,
                 job->answer.facts.not_run, job->answer.bad,
                 job->target->failure, job->target->in_flight);
}
