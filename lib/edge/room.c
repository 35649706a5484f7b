#include <utlist.h>

#include "core/clock.h"
#include "edge/job.h"

/* A target that says nothing to any request of this host for so long is taken
 * as lost, where the request may go on elsewhere: a share of the objective, to
 * the first byte and then between events. */
#define SILENT_AIM_FACTOR 1.5
#define SILENT_GAP_FACTOR 1.5
#define SILENT_LEAST_MS 300
/** A stream alone that pauses so many times longer has lost its answer. */
#define LOST_ANSWER_FACTOR 1.3

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
    double most_ms = job->relaying ? job->route->gap_ms * SILENT_GAP_FACTOR
                                   : job->route->aim_ms * SILENT_AIM_FACTOR;
    return most_ms > SILENT_LEAST_MS ? (uint64_t)most_ms : SILENT_LEAST_MS;
}

/* The target says nothing to anyone, or has lost this one answer midway. */
static bool
is_silent(const sky_job_t *job, uint64_t now)
{
    uint64_t most_ms = silence_most_ms(job);
    if (job->sending == NULL || job->route->repeat == SKY_REPEAT_NEVER ||
        now <= job->heard_ms + most_ms) {
        return false;
    }
    return now > job->target->heard_ms + most_ms ||
           (job->relaying &&
            now > job->heard_ms + LOST_ANSWER_FACTOR * most_ms);
}

/* Takes a request away from a target that went silent, if another can have
 * it; else it waits on, for silence alone is no reason to end an answer. */
static void
leave_silent_target(sky_job_t *job)
{
    uint64_t now = SkyClock_NowMs();
    bool lost = now <= job->target->heard_ms + silence_most_ms(job);
    if (job->failed_count >= TOUCHED_MAX) {
        return;
    }
    uint32_t failed_before = job->failed_count;
    if (!lost) {
        SkyJob_NoteFailed(job, job->target->hash);
    }
    if (SkyJob_WhyNotAgain(job) != NULL) {
        job->failed_count = failed_before;
        job->heard_ms = now;
        return;
    }
    SkySending_Cancel(job->sending);
    job->may_have_run = true;
    SkyJob_LogSendingEnd(job, lost ? "lost_answer" : "silent");
    SkyJob_EndSending(job, lost ? SKY_FARED_FAILED : SKY_FARED_UNREACHABLE);
    SkyJob_Repeat(job, 0, lost ? "lost_answer" : "silent");
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
