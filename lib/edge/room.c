#include <utlist.h>

#include "core/clock.h"
#include "edge/job.h"

/** A target that says nothing to any request of this host for so many times
 * the objective is taken as lost, where the request may go elsewhere. */
#define SILENT_AIM_FACTOR 1.5
#define SILENT_LEAST_MS 300 /**< plain answers are late by then */

static bool
comes_before(const sky_job_t *one, const sky_job_t *other)
{
    if (one->route->urgency != other->route->urgency) {
        return one->route->urgency < other->route->urgency;
    }
    if (one->arrived_ms != other->arrived_ms) {
        return one->arrived_ms < other->arrived_ms;
    }
    return one < other;
}

static sky_job_t *
next_waiting(const sky_traffic_t *traffic, const sky_job_t *after)
{
    sky_job_t *best = NULL;
    sky_job_t *job;
    DL_FOREACH(traffic->jobs, job)
    {
        if (job->room_since_ms > 0 && job->ask == NULL &&
            (after == NULL || comes_before(after, job)) &&
            (best == NULL || comes_before(job, best))) {
            best = job;
        }
    }
    return best;
}

static uint64_t
silence_most_ms(const sky_job_t *job)
{
    double most_ms = job->route->aim_ms * SILENT_AIM_FACTOR;
    return most_ms > SILENT_LEAST_MS ? (uint64_t)most_ms : SILENT_LEAST_MS;
}

/* The target says nothing to anyone. A stream that has begun is never taken
 * away: what goes on elsewhere may fail, and its caller would get less than by
 * waiting. */
static bool
is_silent(const sky_job_t *job, uint64_t now)
{
    uint64_t most_ms = silence_most_ms(job);
    return job->sending != NULL && !job->relaying &&
           job->route->repeat != SKY_REPEAT_NEVER &&
           now > job->heard_ms + most_ms &&
           now > job->target->heard_ms + most_ms;
}

/* Takes a request away from a target that went silent, if another can have
 * it; else it waits on, for silence alone is no reason to end an answer. */
static void
leave_silent_target(sky_job_t *job)
{
    uint32_t failed_before = job->attempts.failed_count;
    SkyAttempts_NoteFailed(&job->attempts, job->target->hash);
    if (SkyJob_WhyNotAgain(job) != NULL) {
        job->attempts.failed_count = failed_before;
        job->heard_ms = SkyClock_NowMs();
        return;
    }
    SkySending_Cancel(job->sending);
    job->may_have_run = true;
    SkyJob_LogSendingEnd(job, "silent");
    SkyJob_EndSending(job, SKY_FARED_UNREACHABLE);
    SkyJob_Repeat(job, 0, "silent");
}

static void
look_for_silence(sky_traffic_t *traffic)
{
    uint64_t now = SkyClock_NowMs();
    sky_job_t *job;
    sky_job_t *next;
    DL_FOREACH_SAFE(traffic->jobs, job, next)
    {
        if (is_silent(job, now)) {
            leave_silent_target(job);
        }
    }
}

/* Tries those that wait for room again, the most urgent first. */
void
SkyJob_OnRoom(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_traffic_t *traffic = watcher->data;
    uint64_t now = SkyClock_NowMs();
    look_for_silence(traffic);
    sky_job_t *job = next_waiting(traffic, NULL);
    while (job != NULL) {
        sky_job_t *next = next_waiting(traffic, job);
        if (now > job->room_since_ms + ROOM_WAIT_MS) {
            SkyJob_GiveUp(job, RETRY_AFTER_FULL_MS, "no_room");
        }
        else {
            SkyJob_Dispatch(job);
        }
        job = next;
    }
}
