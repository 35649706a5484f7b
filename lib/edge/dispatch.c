#include "edge/job.h"

#include <stdio.h>

#include "core/clock.h"

#define CONFIRMS_MAX 3 /**< of one request; copies of an adapter are few */
#define CONNECT_TIMEOUT_MS 400 /**< lost packets come again later */
/** Longest idle time of a connection on which something that must not run
 *  twice is sent: a server's own close crosses it less likely. */
#define UNREPEATABLE_REUSE_MS 4000
/** A target takes this many requests for each slot of its batch; beyond, they
 *  wait here, where a copy elsewhere or an earlier end may serve them. */
#define FILL_MOST 1.25
#define NO_URGENCY 255 /**< plain services have none */

static void
put_request(sky_job_t *job, sky_buffer_t *out)
{
    uint64_t now = SkyClock_NowMs();
    size_t size;
    const char *body = SkyVisit_Body(job->visit, &size);
    sky_forward_t forward = {
        .deadline_ms = (uint32_t)(job->due_ms - now),
        .target_id = job->target->entry.id,
        .version = job->version,
        .urgency = job->service->engine.present
                       ? (job->route->urgency < 9 ? job->route->urgency : 9)
                       : NO_URGENCY,
        .resumes = job->events.has_id,
        .resume_after = job->events.last_id,
    };
    SkyWire_PutRequest(out, SkyVisit_Head(job->visit), body, size, &forward);
}

static void
send_to(sky_job_t *job, const sky_fleet_choice_t *choice)
{
    sky_traffic_t *traffic = job->traffic;
    sky_buffer_t request = {0};
    job->target = choice->target;
    snprintf(job->target_id, sizeof job->target_id, "%s",
             choice->target->entry.id);
    job->version = choice->version;
    job->heard_ms = SkyClock_NowMs();
    job->sent_ms = job->sent_ms ? job->sent_ms : job->heard_ms;
    job->sends++;
    SkyAttempts_NoteSent(&job->attempts, choice->target->hash);
    SkyFleet_Begin(job->target);
    put_request(job, &request);
    sky_sending_options_t options = {
        .address = job->target->entry.address,
        .request = &request,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .reuse_ms =
            job->route->repeat == SKY_REPEAT_NEVER ? UNREPEATABLE_REUSE_MS : 0,
        .bodyless = SkyVisit_Head(job->visit)->method == HTTP_HEAD,
        .echo_field = SkyWire_EchoField(),
        .echo_value = job->facts.id,
        .events = SkyJob_AnswerEvents(),
        .context = job,
    };
    job->sending = SkyClient_Send(traffic->options.client, &options);
    SkyBuffer_Clear(&request);
    if (job->sending == NULL) {
        SkyJob_EndSending(job, SKY_FARED_UNKNOWN);
        SkyJob_GiveUp(job, RETRY_AFTER_FULL_MS, "memory");
        return;
    }
    if (job->service->engine.present) {
        SkyPlacement_NoteBegin(traffic->options.placement, job->target,
                               SkyJob_Adapter(job));
    }
}

static void
on_placed(void *context, const sky_placement_result_t *result)
{
    sky_job_t *job = context;
    job->ask = NULL;
    if (SkyPlacement_LearnPlaced(job->traffic->options.placement, result) ==
        NULL) {
        SkyJob_GiveUp(job, result->retry_after_ms,
                      result->placed ? "target_left" : result->reason);
        return;
    }
    SkyJob_Dispatch(job);
}

static sky_placement_wish_t
wish_of(const sky_job_t *job, const sky_fleet_query_t *query, uint64_t due_ms)
{
    return (sky_placement_wish_t){
        .query = *query,
        .version = SkyFleet_Announced(job->traffic->options.directory->fleet,
                                      SkyJob_Adapter(job)),
        .urgency = job->route->urgency,
        .due_ms = due_ms,
    };
}

static void
ask_for_place(sky_job_t *job, const sky_fleet_query_t *query)
{
    sky_traffic_t *traffic = job->traffic;
    sky_placement_wish_t wish = wish_of(job, query, job->due_ms);
    job->asks++;
    if (job->asks > SENDS_MAX) {
        SkyJob_GiveUp(job, RETRY_AFTER_FULL_MS, "adapter_keeps_leaving");
        return;
    }
    job->ask =
        SkyPlacement_Ask(traffic->options.placement, &wish, on_placed, job);
    if (job->ask == NULL) {
        SkyJob_GiveUp(job, RETRY_AFTER_FULL_MS, "memory");
    }
}

/* The targets that hold the adapter fill up: has others load it. */
static void
ask_for_copies(const sky_job_t *job, const sky_fleet_query_t *query,
               uint32_t count)
{
    sky_traffic_t *traffic = job->traffic;
    sky_placement_wish_t wish =
        wish_of(job, query, SkyClock_NowMs() + ROOM_WAIT_MS);
    wish.query.lacking = true;
    wish.query.only_count = 0;
    wish.query.avoid_count = 0;
    SkyPlacement_Copy(traffic->options.placement, &wish, count);
}

static void
fill_query(const sky_job_t *job, sky_fleet_query_t *query)
{
    *query = (sky_fleet_query_t){
        .service = job->service->name,
        .engine = job->service->engine.present,
        .model = job->facts.model,
        .adapter = job->facts.adapter,
        .spread = SkyJob_Spread(job),
    };
    SkyAttempts_Bound(&job->attempts, job->route->targets_max, query);
}

/* Whether any target could take the request, if need be after a load. */
bool
SkyJob_HasTarget(const sky_job_t *job)
{
    const sky_fleet_t *fleet = job->traffic->options.directory->fleet;
    uint64_t now = SkyClock_NowMs();
    sky_fleet_query_t query;
    sky_fleet_choice_t choice;
    sky_fleet_target_t *home;
    fill_query(job, &query);
    SkyFleet_Choose(fleet, &query, now, &choice);
    return choice.target != NULL ||
           (choice.misses_adapter &&
            SkyFleet_RankHomes(fleet, &query, now, &home, 1) > 0);
}

/* Whether the choice rests on what was known of the target some time ago. */
static bool
needs_word(const sky_job_t *job, const sky_fleet_choice_t *choice)
{
    return choice->target != NULL && job->facts.adapter[0] != '\0' &&
           job->service->engine.present && job->confirms < CONFIRMS_MAX &&
           !SkyFleet_IsConfirmed(choice->target, SkyClock_NowMs());
}

static void
on_word(void *context, const sky_placement_result_t *result)
{
    (void)result;
    sky_job_t *job = context;
    job->ask = NULL;
    SkyJob_Dispatch(job);
}

static bool
ask_for_word(sky_job_t *job, const sky_fleet_target_t *target)
{
    job->confirms++;
    job->ask = SkyPlacement_Confirm(job->traffic->options.placement, target,
                                    SkyJob_Adapter(job), on_word, job);
    return job->ask != NULL;
}

void
SkyJob_Dispatch(sky_job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    sky_fleet_query_t query;
    sky_fleet_choice_t choice;
    fill_query(job, &query);
    SkyFleet_Choose(traffic->options.directory->fleet, &query,
                    SkyClock_NowMs(), &choice);
    if (needs_word(job, &choice) && ask_for_word(job, choice.target)) {
        return;
    }
    job->room_since_ms =
        choice.fill >= FILL_MOST
            ? (job->room_since_ms ? job->room_since_ms : SkyClock_NowMs())
            : 0;
    if (choice.copies > 0) {
        ask_for_copies(job, &query, choice.copies);
    }
    if (job->room_since_ms > 0) {
        return; /* SkyJob_OnRoom() tries again */
    }
    if (choice.target != NULL) {
        send_to(job, &choice);
    }
    else if (choice.misses_adapter && choice.usable_targets) {
        ask_for_place(job, &query);
    }
    else {
        SkyJob_GiveUp(job, RETRY_AFTER_START_MS,
                      choice.usable_targets ? "no_other_target" : "no_target");
    }
}
