#include "edge/job.h"

#include "core/clock.h"
#include "core/logging.h"

/** Answers up to this size are read whole before any of it is passed on, so
 *  that one cut short can still be repeated. */
#define WHOLE_ANSWER_BYTES (256u * 1024u)

static void
note_heard(sky_job_t *job)
{
    job->heard_ms = SkyClock_NowMs();
    job->target->heard_ms = job->heard_ms;
}

static bool
on_answer_head(void *context, const sky_http_head_t *head)
{
    sky_job_t *job = context;
    note_heard(job);
    sky_job_answer_t *answer = &job->answer;
    sky_answer_facts_t facts;
    SkyWire_ReadAnswer(head, &facts);
    if (job->relaying) {
        /* A resumed stream keeps the head that the caller has. */
        bool goes_on = head->status == 200 && facts.sealed && !facts.encoded;
        answer->facts.not_run = facts.not_run;
        answer->bad = !goes_on;
        return true;
    }
    SkyJob_ClearAnswer(answer);
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
is_relayed(const sky_job_t *job)
{
    const sky_job_answer_t *answer = &job->answer;
    return answer->status < 400 && !answer->bad && !answer->facts.not_run &&
           (job->route->streaming || answer->facts.events ||
            answer->length > WHOLE_ANSWER_BYTES);
}

static void
begin_relay(sky_job_t *job)
{
    sky_job_answer_t *answer = &job->answer;
    bool events = answer->facts.events;
    sky_framing_t framing = events || !answer->has_length || !answer->length
                                ? SKY_FRAMING_CHUNKS
                                : SKY_FRAMING_LENGTH;
    SkyVisit_Begin(job->visit, answer->status, SkyBuffer_Data(&answer->fields),
                   framing, answer->length);
    job->relaying = true;
    job->head_ms = SkyClock_NowMs();
    SkyMetrics_Observe(job->traffic->options.metrics, job->service->name,
                       SKY_HIST_FIRST_TOKEN, job->head_ms - job->arrived_ms);
}

static void
relay_bytes(sky_job_t *job, const char *bytes, size_t size)
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
    sky_job_t *job = context;
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

/* The target says that it did not run the request. */
static void
take_refusal(sky_job_t *job)
{
    sky_traffic_t *traffic = job->traffic;
    bool wrong = job->answer.facts.wrong_target;
    uint64_t hash = job->target->hash;
    bool lacks = wrong && job->service->engine.present;
    SkyJob_LogSendingEnd(job, "refused");
    SkyAttempts_NoteNotRun(&job->attempts, hash);
    if (lacks) {
        sky_belief_t absent = {.adapter = SkyJob_Adapter(job)};
        SkyFleet_Learn(traffic->options.directory->fleet, job->target, &absent,
                       SkyClock_NowMs());
    }
    if (!lacks || job->asks > 0 || job->facts.adapter[0] == '\0') {
        /* Full, or it lacks what it was to have: its owner is mistaken. */
        SkyAttempts_NoteFailed(&job->attempts, hash);
    }
    SkyJob_EndSending(job, wrong ? SKY_FARED_UNKNOWN : SKY_FARED_FULL);
    SkyJob_Repeat(job, RETRY_AFTER_FULL_MS,
                  wrong ? "adapter_missing" : "target_full");
}

static void
take_failure(sky_job_t *job, const char *how)
{
    SkyJob_LogSendingEnd(job, how);
    if (job->answer.bad || job->answer.status < 500 || job->sends > 1) {
        SkyAttempts_NoteFailed(&job->attempts, job->target->hash);
    }
    SkyJob_EndSending(job, SKY_FARED_FAILED);
    SkyJob_Repeat(job, 0, how);
}

static void
finish_relay(sky_job_t *job)
{
    if (SkyBuffer_Size(&job->events.held) > 0) {
        /* Complete by its framing, but in the middle of an event. */
        take_failure(job, "cut_event");
        return;
    }
    SkyJob_EndSending(job, SKY_FARED_WELL);
    SkyJob_NoteAnswered(job);
    SkyVisit_End(job->visit);
    SkyJob_Free(job);
}

static void
take_answer(sky_job_t *job)
{
    sky_job_answer_t *answer = &job->answer;
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
    SkyJob_EndSending(job, SKY_FARED_WELL);
    SkyJob_PassAnswerOn(job);
}

static void
on_answer_end(void *context, sky_sending_end_t end)
{
    sky_job_t *job = context;
    job->sending = NULL;
    switch (end) {
    case SKY_SENDING_COMPLETE:
        take_answer(job);
        break;
    case SKY_SENDING_UNSENT:
        SkyJob_LogSendingEnd(job, "unreachable");
        SkyAttempts_NoteNotRun(&job->attempts, job->target->hash);
        SkyAttempts_NoteFailed(&job->attempts, job->target->hash);
        SkyJob_EndSending(job, SKY_FARED_UNREACHABLE);
        SkyJob_Repeat(job, RETRY_AFTER_FULL_MS, "unreachable");
        break;
    case SKY_SENDING_BROKEN:
    case SKY_SENDING_GARBLED:
        job->may_have_run = true;
        job->answer.status = job->relaying ? job->answer.status : 0;
        take_failure(job, SkySending_EndName(end));
        break;
    }
}

sky_sending_events_t
SkyJob_AnswerEvents(void)
{
    return (sky_sending_events_t){on_answer_head, on_answer_body,
                                  on_answer_end};
}
