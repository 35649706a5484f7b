/**
 * @file job.h
 * @brief One request between its caller and its targets; for traffic alone.
 *
 * traffic.c begins and ends requests, job.c holds what all steps share,
 * dispatch.c chooses and sends, answer.c takes answers, room.c holds requests
 * back and takes them away from silent targets.
 */
#ifndef SKY_EDGE_JOB_H
#define SKY_EDGE_JOB_H

#include "decide/attempts.h"
#include "decide/retry_budget.h"
#include "edge/traffic.h"
#include "net/event_stream.h"
#include "platform/wire.h"

#define SENDS_MAX 4              /**< of one request, refused ones included */
#define RETRY_AFTER_START_MS 500 /**< a start takes about as long */
#define RETRY_AFTER_FULL_MS 200  /**< a slot is free again after about this */
#define ROOM_WAIT_MS 1500 /**< longest wait for room: some runs' length */

typedef struct {
    uint16_t status;
    sky_answer_facts_t facts;
    sky_buffer_t fields;
    sky_buffer_t body;
    bool has_length;
    uint64_t length;
    bool bad; /**< a success that is not the target's whole own answer */
} sky_job_answer_t;

typedef struct sky_job {
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
    char target_id[SKY_TARGET_ID_BYTES]; /**< last one it was sent to, or "" */
    sky_attempts_t attempts;
    uint32_t sends;
    uint32_t asks;
    uint32_t confirms; /**< owners asked what their targets hold */
    uint32_t version;  /**< of the adapter, as sent */
    bool may_have_run;
    bool relaying;     /**< the answer's head is with the caller */
    uint64_t heard_ms; /**< last byte of the present answer, or its sending */
    uint64_t room_since_ms; /**< waits for room since then; 0: it does not */
    sky_job_answer_t answer;
    sky_event_stream_t events;
    struct sky_job *prev;
    struct sky_job *next;
} sky_job_t;

typedef struct sky_service_budget {
    char service[SKY_SERVICE_NAME_BYTES];
    sky_retry_budget_t budget;
    struct sky_service_budget *next;
} sky_service_budget_t;

struct sky_traffic {
    sky_traffic_options_t options;
    sky_retry_budget_options_t budget_options;
    sky_service_budget_t *budgets;
    sky_job_t *jobs;
    uint32_t open;
    ev_timer room;
    uint64_t stop_ms; /**< this host exits then; 0: it does not stop */
};

/** @return the budget of repeats of a service; NULL: out of memory. */
sky_retry_budget_t *SkyJob_BudgetOf(sky_traffic_t *traffic,
                                    const char *service);

/** @return a number that differs from request to request. */
uint64_t SkyJob_Spread(const sky_job_t *job);

/** @return the key of the request's adapter. */
sky_adapter_key_t SkyJob_Adapter(const sky_job_t *job);

/** Forgets an answer. */
void SkyJob_ClearAnswer(sky_job_answer_t *answer);

/** The sending has ended; tells the fleet and the owner. */
void SkyJob_EndSending(sky_job_t *job, sky_fared_t fared);

/** Gives up asks and sendings. */
void SkyJob_StopWaiting(sky_job_t *job);

/** The line of the final answer. */
void SkyJob_LogEnd(const sky_job_t *job, int priority, uint16_t status,
                   const char *outcome, const char *reason);

/** Ends a request; the pointer must not be used again. */
void SkyJob_Free(sky_job_t *job);

/** A final answer of this host's own; ends the request. */
void SkyJob_AnswerOwn(sky_job_t *job, uint16_t status, uint32_t retry_after_ms,
                      const char *reason);

/** No target gave an answer that may be passed on; ends the request. */
void SkyJob_GiveUp(sky_job_t *job, uint32_t retry_after_ms,
                   const char *reason);

/** Logs and counts that a target's answer went to the caller whole. */
void SkyJob_NoteAnswered(const sky_job_t *job);

/** Passes a whole answer on; ends the request. */
void SkyJob_PassAnswerOn(sky_job_t *job);

/** @return what forbids to send the request once more, or makes it of no use;
 * NULL: nothing does. */
const char *SkyJob_WhyNotAgain(const sky_job_t *job);

/** Sends the request once more, or ends it. */
void SkyJob_Repeat(sky_job_t *job, uint32_t retry_after_ms,
                   const char *reason);

/** The line of a target's part that did not go well. */
void SkyJob_LogSendingEnd(const sky_job_t *job, const char *how);

/** Sends the request, or has it wait for an adapter, a word or room. */
void SkyJob_Dispatch(sky_job_t *job);

/** @return whether any target could take it, if need be after a load. */
bool SkyJob_HasTarget(const sky_job_t *job);

/** Looks at requests that wait for room, or for a silent target. */
void SkyJob_OnRoom(struct ev_loop *loop, ev_timer *watcher, int events);

/** @return the events of a sending; their context is the job. */
sky_sending_events_t SkyJob_AnswerEvents(void);

#endif
