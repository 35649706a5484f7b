#include "edge/traffic.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "decide/retry_budget.h"
#include "net/event_stream.h"
#include "platform/wire.h"

#define CONFIRMS_MAX 3 /**< of one request; copies of an adapter are few */
#define SENDS_MAX 4    /**< of one request, refused ones included */
#define TOUCHED_MAX 8  /**< distinct targets remembered of one request */
/** Answers up to this size are read whole before any of it is passed on, so
 *  that one cut short can still be repeated. */
#define WHOLE_ANSWER_BYTES (256u * 1024u)
#define LEAST_TIME_MS 20          /**< a target could not answer in less */
#define CONNECT_TIMEOUT_MS 400    /**< lost packets come again later */
#define RETRY_AFTER_START_MS 500  /**< a start takes about as long */
#define RETRY_AFTER_FULL_MS 200   /**< a slot is free again after about this */
#define RETRY_AFTER_SPREAD_MS 300 /**< callers must not return together */
/** A request takes this long at most, but for few; one that comes later while
 *  this host stops is better off elsewhere. */
#define USUAL_MOST_MS 4000
#define RETRY_AFTER_STOPPING_MS 20
/** A target takes this many requests for each slot of its batch; beyond, they
 *  wait here, where a copy elsewhere or an earlier end may serve them. */
#define FILL_MOST 1.25
#define ROOM_S 0.02       /**< waiting requests are looked at so often */
#define ROOM_WAIT_MS 1500 /**< longest wait for room: some runs' length */
/* A target that says nothing to any request of this host for so long is taken
 * as lost, where the request may go on elsewhere: a share of the objective, to
 * the first byte and then between events. */
#define SILENT_AIM_FACTOR 1.5
#define SILENT_GAP_FACTOR 1.5
#define SILENT_LEAST_MS 300
/** A stream alone that pauses so many times longer has lost its answer. */
#define LOST_ANSWER_FACTOR 1.3
#define NO_URGENCY 255 /**< plain services have none */
/** Longest idle time of a connection on which something that must not run
 *  twice is sent: a server's own close crosses it less likely. */
#define UNREPEATABLE_REUSE_MS 4000

typedef struct {
    uint16_t status;
    sky_answer_facts_t facts;
    sky_buffer_t fields;
    sky_buffer_t body;
    bool has_length;
    uint64_t length;
    bool bad; /**< a success that is not the target's whole own answer */
} answer_t;

typedef struct job {
    sky_traffic_t *traffic;
    sky_visit_t *visit;
    sky_deployment_t *deployment;
    const sky_route_t *route;
    const sky_service_t *service;
    sky_request_facts_t facts;
    uint64_t arrived_ms;
    uint64_t due_ms;  /**< by then the caller has a final answer */
    uint64_t sent_ms; /**< first sent to a target; 0: not yet */
    uint64_t head_ms; /**< first byte passed on to the caller; 0: not yet */
    ev_timer due;
    sky_placement_ask_t *ask;
    sky_sending_t *sending;
    sky_fleet_target_t *target;
    uint64_t touched[TOUCHED_MAX];
    uint32_t touched_count;
    uint64_t failed[TOUCHED_MAX];
    uint32_t failed_count;
    uint32_t sends;
    uint32_t asks;
    uint32_t confirms; /**< owners asked what their targets hold */
    uint32_t version;  /**< of the adapter, as sent */
    bool may_have_run;
    bool relaying;     /**< the answer's head is with the caller */
    uint64_t heard_ms; /**< last byte of the present answer, or its sending */
    uint64_t room_since_ms; /**< waits for room since then; 0: it does not */
    answer_t answer;
    sky_event_stream_t events;
    struct job *prev;
    struct job *next;
} job_t;

typedef struct budget {
    char service[SKY_SERVICE_NAME_BYTES];
    sky_retry_budget_t budget;
    struct budget *next;
} budget_t;

struct sky_traffic {
    sky_traffic_options_t options;
    sky_retry_budget_options_t budget_options;
    budget_t *budgets;
    job_t *jobs;
    uint32_t open;
    ev_timer room;
    uint64_t stop_ms; /**< this host exits then; 0: it does not stop */
};

static void dispatch(job_t *job);
static bool has_target(const job_t *job);

static sky_retry_budget_t *
budget_of(sky_traffic_t *traffic, const char *service)
{
    budget_t *budget;
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

static uint64_t
spread_of(const job_t *job)
{
    return XXH3_64bits(job->facts.id, strlen(job->facts.id));
}

static void
clear_answer(answer_t *answer)
{
    SkyBuffer_Clear(&answer->fields);
    SkyBuffer_Clear(&answer->body);
    *answer = (answer_t){0};
}

static sky_adapter_key_t
adapter_of(const job_t *job)
{
    return SkyFleet_KeyOf(job->facts.model, job->facts.adapter);
}

static void
end_sending(job_t *job, sky_fared_t fared)
{
    sky_traffic_t *traffic = job->traffic;
    if (job->target != NULL) {
        if (job->service->engine.present) {
            SkyPlacement_NoteEnd(traffic->options.placement, job->target,
                                 adapter_of(job));
        }
        SkyFleet_End(traffic->options.directory->fleet, job->target, fared,
                     SkyClock_NowMs());
        job->target = NULL;
    }
    job->sending = NULL;
}

static void
stop_waiting(job_t *job)
{
    if (job->ask != NULL) {
        SkyPlacement_Cancel(job->ask);
        job->ask = NULL;
    }
    if (job->sending != NULL) {
        SkySending_Cancel(job->sending);
        end_sending(job, SKY_FARED_UNKNOWN);
    }
}

/* Milliseconds from a request's arrival to a later moment; -1: never. */
static long long
since_arrival(const job_t *job, uint64_t at_ms)
{
    return at_ms > 0 ? (long long)(at_ms - job->arrived_ms) : -1;
}

static void
log_end(const job_t *job, int priority, uint16_t status, const char *outcome,
        const char *reason)
{
    SkyLog_Write(
        priority, "request_end",
        "id=%s route=%s service=%s adapter=%s/%s status=%u outcome=%s "
        "reason=%s ms=%llu sent_ms=%lld first_ms=%lld sends=%u asks=%u "
        "config=%llu",
        job->facts.id, job->route ? job->route->name : "-",
        job->service ? job->service->name : "-",
        job->facts.model[0] ? job->facts.model : "-",
        job->facts.adapter[0] ? job->facts.adapter : "-", status, outcome,
        reason, (unsigned long long)(SkyClock_NowMs() - job->arrived_ms),
        since_arrival(job, job->sent_ms), since_arrival(job, job->head_ms),
        job->sends, job->asks,
        (unsigned long long)(job->deployment ? job->deployment->version : 0));
}

static void
free_job(job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    stop_waiting(job);
    ev_timer_stop(traffic->options.loop, &job->due);
    DL_DELETE(traffic->jobs, job);
    traffic->open--;
    clear_answer(&job->answer);
    SkyEventStream_Clear(&job->events);
    SkyDeployment_Release(job->deployment);
    free(job);
}

/* A final answer of this host's own. */
static void
answer_own(job_t *job, uint16_t status, uint32_t retry_after_ms,
           const char *reason)
{
    sky_buffer_t fields = {0};
    if (retry_after_ms > 0) {
        retry_after_ms += (uint32_t)(spread_of(job) % RETRY_AFTER_SPREAD_MS);
    }
    SkyWire_PutOwnFields(&fields, job->facts.id, retry_after_ms);
    log_end(job, LOG_NOTICE, status, "refused", reason);
    SkyMetrics_CountAnswer(job->traffic->options.metrics,
                           job->service ? job->service->name : "-", reason);
    SkyVisit_Answer(job->visit, status, SkyBuffer_Data(&fields), "", 0);
    SkyBuffer_Clear(&fields);
    free_job(job);
}

/* No target gave an answer that may be passed on. */
static void
give_up(job_t *job, uint32_t retry_after_ms, const char *reason)
{
    if (job->relaying) {
        log_end(job, LOG_NOTICE, job->answer.status, "broken_off", reason);
        SkyVisit_Abort(job->visit);
        free_job(job);
    }
    else if (job->may_have_run) {
        bool late = SkyClock_NowMs() >= job->due_ms;
        answer_own(job, late ? 504 : 502, 0, reason);
    }
    else {
        answer_own(job, 503,
                   retry_after_ms ? retry_after_ms : RETRY_AFTER_FULL_MS,
                   reason);
    }
}

static void
pass_answer_on(job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    answer_t *answer = &job->answer;
    log_end(job, LOG_INFO, answer->status, "answered", "-");
    SkyMetrics_CountAnswer(traffic->options.metrics, job->service->name,
                           answer->status < 400 ? "ok" : "target_failure");
    SkyMetrics_Observe(traffic->options.metrics, job->service->name,
                       SKY_HIST_TOTAL, SkyClock_NowMs() - job->arrived_ms);
    SkyVisit_Answer(
        job->visit, answer->status, SkyBuffer_Data(&answer->fields),
        SkyBuffer_Data(&answer->body), SkyBuffer_Size(&answer->body));
    free_job(job);
}

static void
note_failed(job_t *job, uint64_t hash)
{
    if (job->failed_count < TOUCHED_MAX) {
        job->failed[job->failed_count++] = hash;
    }
}

static bool
may_run_again(const job_t *job)
{
    return !job->may_have_run || job->route->repeat != SKY_REPEAT_NEVER;
}

/* What forbids to send the request once more, or makes it of no use; NULL:
 * nothing does. */
static const char *
why_not_again(const job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    uint64_t now = SkyClock_NowMs();
    sky_retry_budget_t *budget = budget_of(traffic, job->service->name);
    if (!may_run_again(job)) {
        return "not_repeatable";
    }
    if (job->sends >= SENDS_MAX) {
        return "sends";
    }
    if (!has_target(job)) {
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
static void
repeat(job_t *job, uint32_t retry_after_ms, const char *reason)
{
    sky_traffic_t *traffic = job->traffic;
    uint64_t now = SkyClock_NowMs();
    const char *stop = why_not_again(job);
    SkyLog_Write(LOG_NOTICE, "repeat",
                 "id=%s reason=%s allowed=%s sends=%u left_ms=%lld",
                 job->facts.id, reason, stop ? stop : "yes", job->sends,
                 (long long)(job->due_ms - now));
    if (stop == NULL) {
        SkyRetryBudget_Take(budget_of(traffic, job->service->name),
                            &traffic->budget_options,
                            traffic->options.directory->hosts, now);
        SkyEventStream_Rewind(&job->events);
        if (!job->relaying) {
            clear_answer(&job->answer);
        }
        dispatch(job);
    }
    else if (!job->relaying && job->answer.status >= 500 &&
             job->answer.facts.sealed && !job->answer.facts.not_run) {
        pass_answer_on(job); /* the target's own failure, whole */
    }
    else {
        give_up(job, retry_after_ms, reason);
    }
}

static void
note_heard(job_t *job)
{
    job->heard_ms = SkyClock_NowMs();
    job->target->heard_ms = job->heard_ms;
}

static bool
on_answer_head(void *context, const sky_http_head_t *head)
{
    job_t *job = context;
    note_heard(job);
    answer_t *answer = &job->answer;
    sky_answer_facts_t facts;
    SkyWire_ReadAnswer(head, &facts);
    if (job->relaying) {
        /* A resumed stream keeps the head that the caller has. */
        bool goes_on = head->status == 200 && facts.sealed && !facts.encoded;
        answer->facts.not_run = facts.not_run;
        answer->bad = !goes_on;
        return true;
    }
    clear_answer(answer);
    answer->status = head->status;
    answer->facts = facts;
    answer->has_length = head->has_length;
    answer->length = head->content_bytes;
    answer->bad = head->status < 400 && (!facts.sealed || facts.encoded);
    if (facts.encoded && head->status >= 400) {
        answer->bad = true;
    }
    SkyWire_PutAnswerFields(&answer->fields, head);
    return true;
}

static bool
is_relayed(const job_t *job)
{
    const answer_t *answer = &job->answer;
    return answer->status < 400 && !answer->bad && !answer->facts.not_run &&
           (job->route->streaming || answer->facts.events ||
            answer->length > WHOLE_ANSWER_BYTES);
}

static void
begin_relay(job_t *job)
{
    answer_t *answer = &job->answer;
    bool events = answer->facts.events;
    sky_framing_t framing = events || !answer->has_length || !answer->length
                                ? SKY_FRAMING_CHUNKS
                                : SKY_FRAMING_LENGTH;
    SkyVisit_Begin(job->visit, answer->status, SkyBuffer_Data(&answer->fields),
                   framing, answer->length);
    job->relaying = true;
    job->head_ms = SkyClock_NowMs();
    SkyMetrics_Observe(job->traffic->options.metrics, job->service->name,
                       SKY_HIST_FIRST_TOKEN,
                       SkyClock_NowMs() - job->arrived_ms);
}

static void
relay_bytes(job_t *job, const char *bytes, size_t size)
{
    if (!job->answer.facts.events) {
        SkyVisit_Write(job->visit, bytes, size);
        return;
    }
    sky_buffer_t ready = {0};
    SkyEventStream_Feed(&job->events, bytes, size, &ready);
    SkyVisit_Write(job->visit, SkyBuffer_Data(&ready), SkyBuffer_Size(&ready));
    SkyBuffer_Clear(&ready);
}

static void
on_answer_body(void *context, const char *bytes, size_t size)
{
    job_t *job = context;
    note_heard(job);
    if (job->answer.bad) {
        return;
    }
    if (job->relaying) {
        relay_bytes(job, bytes, size);
    }
    else if (is_relayed(job)) {
        begin_relay(job);
        relay_bytes(job, bytes, size);
    }
    else {
        SkyBuffer_Append(&job->answer.body, bytes, size);
    }
}

static void
log_sending_end(const job_t *job, const char *how)
{
    SkyLog_Write(LOG_NOTICE, "sending_end",
                 "id=%s target=%s how=%s status=%u not_run=%d bad=%d "
                 "failure=%.2f in_flight=%u",
                 job->facts.id, job->target->entry.id, how, job->answer.status,
                 job->answer.facts.not_run, job->answer.bad,
                 job->target->failure, job->target->in_flight);
}

/* The target says that it did not run the request. */
static void
take_refusal(job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    bool wrong = job->answer.facts.wrong_target;
    uint64_t hash = job->target->hash;
    log_sending_end(job, "refused");
    if (wrong && job->service->engine.present) {
        sky_belief_t absent = {
            .adapter = SkyFleet_KeyOf(job->facts.model, job->facts.adapter)};
        SkyFleet_Learn(traffic->options.directory->fleet, job->target, &absent,
                       SkyClock_NowMs());
    }
    else {
        note_failed(job, hash);
    }
    end_sending(job, wrong ? SKY_FARED_UNKNOWN : SKY_FARED_FULL);
    repeat(job, RETRY_AFTER_FULL_MS,
           wrong ? "adapter_missing" : "target_full");
}

static void
take_failure(job_t *job, const char *how)
{
    log_sending_end(job, how);
    if (job->answer.bad || job->answer.status < 500 || job->sends > 1) {
        note_failed(job, job->target->hash);
    }
    end_sending(job, SKY_FARED_FAILED);
    repeat(job, 0, how);
}

static void
finish_relay(job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    if (SkyBuffer_Size(&job->events.held) > 0) {
        /* Complete by its framing, but in the middle of an event. */
        take_failure(job, "cut_event");
        return;
    }
    end_sending(job, SKY_FARED_WELL);
    log_end(job, LOG_INFO, job->answer.status, "answered", "-");
    SkyMetrics_CountAnswer(traffic->options.metrics, job->service->name, "ok");
    SkyMetrics_Observe(traffic->options.metrics, job->service->name,
                       SKY_HIST_TOTAL, SkyClock_NowMs() - job->arrived_ms);
    SkyVisit_End(job->visit);
    free_job(job);
}

static void
take_answer(job_t *job)
{
    answer_t *answer = &job->answer;
    if (answer->facts.not_run) {
        take_refusal(job);
        return;
    }
    job->may_have_run = true;
    if (answer->bad) {
        take_failure(job, "bad_answer");
        return;
    }
    if (job->relaying) {
        finish_relay(job);
        return;
    }
    if (answer->status >= 500) {
        take_failure(job, "target_error");
        return;
    }
    if (is_relayed(job)) {
        begin_relay(job);
        finish_relay(job);
        return;
    }
    end_sending(job, SKY_FARED_WELL);
    pass_answer_on(job);
}

static void
on_answer_end(void *context, sky_sending_end_t end)
{
    job_t *job = context;
    job->sending = NULL;
    switch (end) {
    case SKY_SENDING_COMPLETE:
        take_answer(job);
        break;
    case SKY_SENDING_UNSENT:
        log_sending_end(job, "unreachable");
        note_failed(job, job->target->hash);
        end_sending(job, SKY_FARED_UNREACHABLE);
        repeat(job, RETRY_AFTER_FULL_MS, "unreachable");
        break;
    case SKY_SENDING_BROKEN:
    case SKY_SENDING_GARBLED:
        job->may_have_run = true;
        job->answer.status = job->relaying ? job->answer.status : 0;
        take_failure(job, SkySending_EndName(end));
        break;
    }
}

static bool
is_touched(const job_t *job, uint64_t hash)
{
    for (uint32_t i = 0; i < job->touched_count; i++) {
        if (job->touched[i] == hash) {
            return true;
        }
    }
    return false;
}

static void
note_touched(job_t *job, uint64_t hash)
{
    if (!is_touched(job, hash) && job->touched_count < TOUCHED_MAX) {
        job->touched[job->touched_count++] = hash;
    }
}

static void
put_request(job_t *job, sky_buffer_t *out)
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
send_to(job_t *job, const sky_fleet_choice_t *choice)
{
    sky_traffic_t *traffic = job->traffic;
    sky_buffer_t request = {0};
    job->target = choice->target;
    job->version = choice->version;
    job->heard_ms = SkyClock_NowMs();
    job->sent_ms = job->sent_ms ? job->sent_ms : job->heard_ms;
    job->sends++;
    note_touched(job, choice->target->hash);
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
        .events = {on_answer_head, on_answer_body, on_answer_end},
        .context = job,
    };
    job->sending = SkyClient_Send(traffic->options.client, &options);
    SkyBuffer_Clear(&request);
    if (job->sending == NULL) {
        end_sending(job, SKY_FARED_UNKNOWN);
        give_up(job, RETRY_AFTER_FULL_MS, "memory");
        return;
    }
    if (job->service->engine.present) {
        SkyPlacement_NoteBegin(traffic->options.placement, job->target,
                               adapter_of(job));
    }
}

static void
on_placed(void *context, const sky_placement_result_t *result)
{
    job_t *job = context;
    sky_traffic_t *traffic = job->traffic;
    sky_fleet_t *fleet = traffic->options.directory->fleet;
    job->ask = NULL;
    sky_fleet_target_t *target =
        result->placed ? SkyFleet_Find(fleet, result->target_id) : NULL;
    if (target == NULL) {
        give_up(job, result->retry_after_ms,
                result->placed ? "target_left" : result->reason);
        return;
    }
    sky_belief_t held = {
        .adapter = SkyFleet_KeyOf(job->facts.model, job->facts.adapter),
        .version = result->version,
        .present = true};
    SkyFleet_Learn(fleet, target, &held, SkyClock_NowMs());
    dispatch(job);
}

static void
ask_for_place(job_t *job, const sky_fleet_query_t *query)
{
    sky_traffic_t *traffic = job->traffic;
    sky_placement_wish_t wish = {
        .query = *query,
        .version = SkyFleet_Announced(
            traffic->options.directory->fleet,
            SkyFleet_KeyOf(job->facts.model, job->facts.adapter)),
        .urgency = job->route->urgency,
        .due_ms = job->due_ms,
    };
    job->asks++;
    if (job->asks > SENDS_MAX) {
        give_up(job, RETRY_AFTER_FULL_MS, "adapter_keeps_leaving");
        return;
    }
    job->ask =
        SkyPlacement_Ask(traffic->options.placement, &wish, on_placed, job);
    if (job->ask == NULL) {
        give_up(job, RETRY_AFTER_FULL_MS, "memory");
    }
}

/* The targets that hold the adapter fill up: has another one load it. */
static void
ask_for_copy(const job_t *job, const sky_fleet_query_t *query)
{
    sky_traffic_t *traffic = job->traffic;
    sky_placement_wish_t wish = {
        .query = *query,
        .version = SkyFleet_Announced(
            traffic->options.directory->fleet,
            SkyFleet_KeyOf(job->facts.model, job->facts.adapter)),
        .urgency = job->route->urgency,
        .due_ms = SkyClock_NowMs() + ROOM_WAIT_MS,
    };
    wish.query.lacking = true;
    wish.query.only_count = 0;
    wish.query.avoid_count = 0;
    SkyPlacement_Copy(traffic->options.placement, &wish);
}

static void
fill_query(const job_t *job, sky_fleet_query_t *query)
{
    bool confined = job->touched_count >= job->route->targets_max;
    *query = (sky_fleet_query_t){
        .service = job->service->name,
        .engine = job->service->engine.present,
        .model = job->facts.model,
        .adapter = job->facts.adapter,
        .avoid = job->failed,
        .avoid_count = job->failed_count,
        .only = job->touched,
        .only_count = confined ? job->touched_count : 0,
        .spread = spread_of(job),
    };
}

/* Whether any target could take the request, if need be after a load. */
static bool
has_target(const job_t *job)
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
needs_word(const job_t *job, const sky_fleet_choice_t *choice)
{
    return choice->target != NULL && job->facts.adapter[0] != '\0' &&
           job->service->engine.present && job->confirms < CONFIRMS_MAX &&
           !SkyFleet_IsConfirmed(choice->target, SkyClock_NowMs());
}

static void
on_word(void *context, const sky_placement_result_t *result)
{
    (void)result;
    job_t *job = context;
    job->ask = NULL;
    dispatch(job);
}

static bool
ask_for_word(job_t *job, const sky_fleet_target_t *target)
{
    job->confirms++;
    job->ask = SkyPlacement_Confirm(job->traffic->options.placement, target,
                                    adapter_of(job), on_word, job);
    return job->ask != NULL;
}

static void
dispatch(job_t *job)
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
    if (choice.crowded && job->service->engine.present &&
        job->facts.adapter[0] != '\0') {
        ask_for_copy(job, &query);
    }
    if (job->room_since_ms > 0) {
        return; /* on_room() tries again */
    }
    if (choice.target != NULL) {
        send_to(job, &choice);
    }
    else if (choice.misses_adapter && choice.usable_targets) {
        ask_for_place(job, &query);
    }
    else {
        give_up(job, RETRY_AFTER_START_MS,
                choice.usable_targets ? "no_other_target" : "no_target");
    }
}

static bool
comes_before(const job_t *one, const job_t *other)
{
    if (one->route->urgency != other->route->urgency) {
        return one->route->urgency < other->route->urgency;
    }
    if (one->arrived_ms != other->arrived_ms) {
        return one->arrived_ms < other->arrived_ms;
    }
    return one < other;
}

static job_t *
next_waiting(const sky_traffic_t *traffic, const job_t *after)
{
    job_t *best = NULL;
    job_t *job;
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
silence_most_ms(const job_t *job)
{
    double most_ms = job->relaying ? job->route->gap_ms * SILENT_GAP_FACTOR
                                   : job->route->aim_ms * SILENT_AIM_FACTOR;
    return most_ms > SILENT_LEAST_MS ? (uint64_t)most_ms : SILENT_LEAST_MS;
}

/* The target says nothing to anyone, or has lost this one answer midway. */
static bool
is_silent(const job_t *job, uint64_t now)
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
leave_silent_target(job_t *job)
{
    uint64_t now = SkyClock_NowMs();
    bool lost = now <= job->target->heard_ms + silence_most_ms(job);
    if (job->failed_count >= TOUCHED_MAX) {
        return;
    }
    uint32_t failed_before = job->failed_count;
    if (!lost) {
        note_failed(job, job->target->hash);
    }
    if (why_not_again(job) != NULL) {
        job->failed_count = failed_before;
        job->heard_ms = now;
        return;
    }
    SkySending_Cancel(job->sending);
    job->may_have_run = true;
    log_sending_end(job, lost ? "lost_answer" : "silent");
    end_sending(job, lost ? SKY_FARED_FAILED : SKY_FARED_UNREACHABLE);
    repeat(job, 0, lost ? "lost_answer" : "silent");
}

static void
look_for_silence(sky_traffic_t *traffic)
{
    uint64_t now = SkyClock_NowMs();
    job_t *job;
    job_t *next;
    DL_FOREACH_SAFE(traffic->jobs, job, next)
    {
        if (is_silent(job, now)) {
            leave_silent_target(job);
        }
    }
}

/* Tries those that wait for room again, the most urgent first. */
static void
on_room(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_traffic_t *traffic = watcher->data;
    uint64_t now = SkyClock_NowMs();
    look_for_silence(traffic);
    job_t *job = next_waiting(traffic, NULL);
    while (job != NULL) {
        job_t *next = next_waiting(traffic, job);
        if (now > job->room_since_ms + ROOM_WAIT_MS) {
            give_up(job, RETRY_AFTER_FULL_MS, "no_room");
        }
        else {
            dispatch(job);
        }
        job = next;
    }
}

static void
on_due(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    job_t *job = watcher->data;
    if (job->sending != NULL) {
        job->may_have_run =
            job->may_have_run || SkySending_IsSent(job->sending);
        log_sending_end(job, "deadline");
    }
    stop_waiting(job);
    give_up(job, RETRY_AFTER_FULL_MS, "deadline");
}

static void
refuse_unrouted(job_t *job, uint16_t status, uint32_t retry_after_ms,
                const char *reason)
{
    job->due_ms = job->arrived_ms;
    answer_own(job, status, retry_after_ms, reason);
}

static void
route(job_t *job)
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
        refuse_unrouted(job, 503, RETRY_AFTER_START_MS, "not_configured");
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
                                                   spread_of(job))
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
    sky_retry_budget_t *budget = budget_of(traffic, job->service->name);
    if (budget != NULL) {
        SkyRetryBudget_NoteRequest(budget, &traffic->budget_options,
                                   job->arrived_ms);
    }
    dispatch(job);
}

static void
on_request(void *context, sky_visit_t *visit)
{
    sky_traffic_t *traffic = context;
    job_t *job = calloc(1, sizeof *job);
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
    job_t *job = SkyVisit_User(visit);
    if (job != NULL) {
        log_end(job, LOG_INFO, 0, "caller_left", "-");
        free_job(job);
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
    ev_timer_init(&self->room, on_room, ROOM_S, ROOM_S);
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
    job_t *job;
    job_t *next;
    DL_FOREACH_SAFE(traffic->jobs, job, next)
    {
        free_job(job);
    }
    ev_timer_stop(traffic->options.loop, &traffic->room);
    budget_t *budget;
    budget_t *after;
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
