/**
 * @file proxy_request.h
 * @brief State of one proxied request; private to the proxy's modules.
 *
 * proxy.c starts and ends requests, proxy_request.c holds what all steps
 * share, dispatch.c chooses a target and sends, peer_exchange.c passes
 * requests on to other hosts, proxy_response.c handles the target's response,
 * proxy_timer.c dispatches requests that waited for capacity and withdraws
 * requests from targets that went silent.
 *
 * An exchange is one attempt: the request sent to one target or to another
 * host, its peer, and the response. A request that came from another host is
 * never passed on to a third.
 */
#ifndef SKY_EDGE_PROXY_REQUEST_H
#define SKY_EDGE_PROXY_REQUEST_H

#include "core/logging.h"
#include "decide/attempts.h"
#include "decide/prompt_times.h"
#include "decide/retry_budget.h"
#include "decide/send_account.h"
#include "decide/stop_admission.h"
#include "edge/hop_fields.h"
#include "edge/proxy.h"
#include "net/event_stream.h"
#include "platform/wire.h"

#define SENDS_PER_REQUEST_MAX 4    /**< includes sends that a target refused */
#define RETRY_AFTER_START_MS 500   /**< about the time that a start takes */
#define RETRY_AFTER_FULL_MS 200    /**< about the time until a slot is free */
#define RETRY_AFTER_STOPPING_MS 20 /**< another host serves it */
#define PEERS_PER_REQUEST_MAX 2    /**< hosts that a request is passed on to */
/** Max wait for a free batch slot: about as long as a few requests run. */
#define CAPACITY_WAIT_MAX_MS 1500

typedef struct {
    uint16_t status;
    sky_response_facts_t facts; /**< of the current exchange */
    /** What the head of the current exchange states; is_whole is not set. */
    sky_send_response_t stated;
    bool is_event_stream; /**< that is passed on to the caller */
    sky_buffer_t header_fields;
    sky_buffer_t body;
    bool has_content_length;
    uint64_t content_length;
    /** The body has a length or chunks; else it ends with its connection. */
    bool is_framed;
    uint64_t body_bytes; /**< received in the current exchange */
    /** Read to its end: a part of a response must not be passed on as one. */
    bool is_whole;
    /** Altered on its way, a success without the target's seal, or not the
     *  continuation of the stream that was to be resumed. */
    bool is_invalid;
} sky_proxy_response_t;

/** What a request is matched to, once, when it is routed. */
typedef struct {
    sky_deployment_t *deployment; /**< NULL: not looked up yet */
    const sky_route_t *route;
    const sky_service_t *service; /**< NULL: the request is not routed */
} sky_request_match_t;

typedef struct sky_proxy_request {
    sky_proxy_t *proxy;
    sky_server_request_t *caller_request;
    uint64_t held_bytes; /**< of the memory share, for what is buffered */
    /** Read by SkyProxyRequest_GetRoute(), _GetService() and _GetDeployment()
     *  alone: a request may wait for long before it is routed. */
    sky_request_match_t match;
    sky_request_facts_t facts;
    /** Newest configuration by which the access was checked. */
    sky_deployment_t *access;
    const sky_route_t *access_route;  /**< decides on public access */
    const sky_workspace_t *workspace; /**< of `access`; NULL: none */
    sky_urgency_t urgency;
    sky_request_identity_t identity;
    uint64_t received_ms;
    uint64_t deadline_at_ms;   /**< of the final response to the caller */
    uint64_t first_sent_ms;    /**< to any target; 0: not sent yet */
    uint64_t relay_started_ms; /**< first byte to the caller; 0: none yet */
    ev_timer deadline_timer;
    /** Pending placement, or pending report of an owner; or NULL. */
    sky_placement_request_t *placement_request;
    sky_rate_permit_request_t *permit_request; /**< pending, or NULL */
    sky_quota_request_t *quota_request;        /**< pending, or NULL */
    uint64_t quota_cost;       /**< charged to a quota; 0: nothing */
    uint64_t charged_ms;       /**< on the clock of SkyClock_BootMs() */
    sky_deployment_t *charged; /**< of charged_workspace; NULL: none */
    const sky_workspace_t *charged_workspace; /**< set with quota_cost */
    uint64_t permitted_target; /**< hash of a limited target to send to; 0:
                                    no permit is held */
    uint64_t turn_target; /**< hash of a target at which the prompt has a turn;
                               0: it has none */
    uint64_t turn_ms;     /**< when the prompt may be sent there */
    bool waits_for_turn;
    sky_service_turn_request_t *service_turn; /**< pending, or NULL */
    uint64_t service_turn_target; /**< hash of the target at which the request
                                       has a turn; 0: it has none */
    uint32_t service_turn_count;  /**< turns asked for */
    bool is_sent_by_turn;         /**< the current exchange */
    /** The records are too old to route the request, or to choose a target. */
    bool waits_for_records;
    sky_client_request_t *target_request; /**< in progress, or NULL */
    /** Of the current or last exchange; all zero before the first one. */
    sky_client_exchange_t exchange;
    sky_fleet_target_t *target; /**< of the exchange; NULL: none, or a peer */
    /** Peer of the exchange, by its address; "": none, or a target. */
    char peer[SKY_PEER_ADDRESS_BYTES];
    char tried_peers[PEERS_PER_REQUEST_MAX][SKY_PEER_ADDRESS_BYTES];
    uint32_t tried_peer_count;
    sky_hop_response_t hop_response; /**< of the peer */
    bool waits_for_path;             /**< for what other hosts say */
    uint64_t path_wait_since_ms;     /**< first such wait; 0: none yet */
    bool is_forwarded;               /**< came from another host */
    bool is_counted;                 /**< in this host's retry budget */
    char last_target_id[SKY_TARGET_ID_BYTES]; /**< "": not sent yet */
    sky_send_account_t sends;
    sky_attempts_t attempts;
    uint64_t sent_to; /**< target or peer of the last send, in `attempts` */
    uint32_t send_count;
    uint32_t placement_count;    /**< placements requested */
    uint32_t owner_report_count; /**< reports requested from owners */
    uint32_t permit_count;       /**< permits requested */
    uint32_t adapter_version;    /**< required in the last send; 0: any */
    bool response_started;       /**< the caller has the response's head */
    uint64_t last_activity_ms;   /**< last byte received in this exchange, or
                                      its start */
    uint64_t sent_ms;            /**< start of this exchange */
    uint64_t list_age_ms; /**< age of the list of targets at the last send */
    bool prompt_time_recorded;       /**< of this exchange */
    uint64_t capacity_wait_since_ms; /**< 0: does not wait for capacity */
    sky_proxy_response_t response;
    sky_event_stream_t event_stream;
    uint64_t events_before; /**< events of earlier exchanges */
    uint64_t pace_since_us; /**< newest event of this exchange that can begin
                                 an interval; 0: none */
    bool answer_recorded;   /**< see SkyProxyRequest_RecordAnswer() */
    /** Software version of the current exchange's target. */
    char sent_software[SKY_SOFTWARE_VERSION_BYTES];
    /** Version that brought the stream's first event, at which alone it may go
     *  on; set if has_stream_software. */
    char stream_software[SKY_SOFTWARE_VERSION_BYTES];
    bool has_stream_software;
    bool may_resume; /**< it is settled where the caller's stream may go on */
    sky_stream_ask_t *stream_ask; /**< pending, or NULL */
    sky_resume_answers_t resume_answers;
    bool is_part_trial;  /**< sent although it has a blamed prompt part */
    bool is_crash_trial; /**< sent although it is quarantined */
    struct sky_proxy_request *prev;
    struct sky_proxy_request *next;
} sky_proxy_request_t;

/** What this host knows of the requests to a service. */
typedef struct sky_service_record {
    char service[SKY_SERVICE_NAME_BYTES];
    sky_retry_budget_t retry_budget;
    sky_prompt_times_t prompt_times;
    struct sky_service_record *next;
} sky_service_record_t;

struct sky_proxy {
    sky_proxy_options_t options;
    sky_retry_budget_options_t retry_options;
    sky_service_record_t *service_records;
    sky_proxy_request_t *requests; /**< that are routed */
    sky_proxy_request_t *unrouted; /**< that wait for records, or are new */
    uint32_t open_count;
    sky_proxy_stats_t stats;
    /** Some request waits for capacity of a plain service, see
     *  CheckOpenRequests(). */
    bool has_capacity_waiters;
    uint64_t last_check_ms;
    ev_timer check_timer;
    bool awaits_records; /**< those known are too old to act on */
    bool is_stopping;
    sky_stop_times_t stop_times; /**< set if is_stopping */
    sky_stop_admission_t *stop_admission;
};

static inline bool
SkyProxyRequest_IsRouted(const sky_proxy_request_t *request)
{
    return request->match.service != NULL;
}

/** The match of a request that is routed: it is a broken invariant to ask for
 *  that of another one, which has a match without meaning. */
const sky_request_match_t *
SkyProxyRequest_GetMatch(const sky_proxy_request_t *request);

static inline const sky_route_t *
SkyProxyRequest_GetRoute(const sky_proxy_request_t *request)
{
    return SkyProxyRequest_GetMatch(request)->route;
}

static inline const sky_service_t *
SkyProxyRequest_GetService(const sky_proxy_request_t *request)
{
    return SkyProxyRequest_GetMatch(request)->service;
}

static inline sky_deployment_t *
SkyProxyRequest_GetDeployment(const sky_proxy_request_t *request)
{
    return SkyProxyRequest_GetMatch(request)->deployment;
}

/** @return the retry budget of a service, created at its first use; NULL: out
 *  of memory. */
sky_retry_budget_t *SkyProxy_GetRetryBudget(sky_proxy_t *proxy,
                                            const char *service);
/** @return the times that prompts take at a service; NULL: out of memory. */
sky_prompt_times_t *SkyProxy_GetPromptTimes(sky_proxy_t *proxy,
                                            const char *service);

/** @return hash of the request's id: splits routes by weight, breaks ties
 *  between targets, and jitters retry delays. */
uint64_t SkyProxyRequest_IdHash(const sky_proxy_request_t *request);

/** @return hash of the route's name. */
uint64_t SkyProxyRequest_RouteHash(const sky_proxy_request_t *request);

/** @return the key of the request's adapter. */
sky_adapter_key_t
SkyProxyRequest_AdapterKey(const sky_proxy_request_t *request);

/** @return whether the caller has received a part of the stream, by this
 *  request or by an earlier one that it takes up. Such streams come before
 *  requests whose callers have received nothing. */
static inline bool
SkyProxyRequest_IsUnderWay(const sky_proxy_request_t *request)
{
    return SkyProxyRequest_GetRoute(request)->streaming &&
           (request->facts.resumes || request->event_stream.event_count > 0);
}

/** @return complete events that were received in the current exchange. */
uint64_t SkyProxyRequest_EventCount(const sky_proxy_request_t *request);

/** Frees the buffers and resets all fields. */
void SkyProxyResponse_Clear(sky_proxy_response_t *response);
/** To be called after the buffered part of the response has changed. */
void SkyProxyRequest_UpdateMemoryShare(sky_proxy_request_t *request);

/** @return whether a send of the request may have run it. */
bool SkyProxyRequest_MayHaveRun(const sky_proxy_request_t *request);
/** @return whether its sends allow another one. */
bool SkyProxyRequest_MaySendAgain(const sky_proxy_request_t *request);

/** @return the max idle time of a connection on which the request is sent; 0:
 *          any. */
uint32_t SkyProxyRequest_GetIdleMaxMs(const sky_proxy_request_t *request);

/** Records that the request is about to be sent, and checks the invariants
 *  that no exchange of it is under way and that it may be sent.
 *  @param sent_to hash that stands for the target or peer in `attempts` */
void SkyProxyRequest_BeginSend(sky_proxy_request_t *request, uint64_t sent_to);

/** Ends the exchange with the current target or peer, if any: records what its
 *  end proves, and reports the result to the fleet and to placement. Does not
 *  cancel the request to the target. */
void SkyProxyRequest_EndExchange(sky_proxy_request_t *request,
                                 sky_exchange_result_t result,
                                 const sky_send_evidence_t *evidence);

/** Keeps the slot of the target in use, as it may run the request until its
 *  deadline. */
void SkyProxyRequest_HoldSlot(const sky_proxy_request_t *request);

/** Cancels the request to the target or peer; SkyProxyRequest_EndExchange() is
 *  to follow, with the evidence that this returns. */
sky_send_evidence_t
SkyProxyRequest_CancelExchange(sky_proxy_request_t *request);

/** Cancels the pending placement or permit request, and the request to the
 *  target, which ends the exchange. */
void SkyProxyRequest_CancelPending(sky_proxy_request_t *request);

/** Logs the end of the request. */
void SkyProxyRequest_LogEnd(const sky_proxy_request_t *request, int priority,
                            uint16_t status, const char *outcome,
                            const char *reason);

/** Cancels what is pending and frees the request; sends nothing to the caller.
 */
void SkyProxyRequest_Free(sky_proxy_request_t *request);

/** Sends this host's own final response and frees the request. A status of 502
 *  or 504 says that a target may have run it, any other that none has; the
 *  latter is a broken invariant while a send may have run, and 502 is sent.
 *  @param retry_after_ms jitter is added; 0: no Retry-After field */
void SkyProxyRequest_RespondError(sky_proxy_request_t *request,
                                  uint16_t status, uint32_t retry_after_ms,
                                  const char *reason);

/** Ends and frees a request that no target completed. Closes the connection
 *  if the response has started; else responds 502, or 504 after the deadline,
 *  if a target may have run the request, and 503 if none has.
 *  @param retry_after_ms of a 503; 0: RETRY_AFTER_FULL_MS */
void SkyProxyRequest_Fail(sky_proxy_request_t *request,
                          uint32_t retry_after_ms, const char *reason);

/** Logs and counts that the caller got a target's whole response. */
void SkyProxyRequest_RecordResponse(const sky_proxy_request_t *request);

/** @return the status with which the target's response may be sent to the
 *          caller; if it differs from the target's, nothing else of the
 *          response may be sent. */
uint16_t SkyProxyRequest_CheckTargetStatus(const sky_proxy_request_t *request);

/** Sends the buffered response to the caller and frees the request. If its
 *  status makes a promise that is not proved, this host responds itself. */
void SkyProxyRequest_ForwardResponse(sky_proxy_request_t *request);

/** @return the reason for the log why the request must not be retried, or why
 *  a retry is of no use; NULL: it can be retried. */
const char *
SkyProxyRequest_GetRetryObstacle(const sky_proxy_request_t *request);

/** Retries the request. If that is not possible, ends and frees it: forwards
 *  the target's whole error response, or fails.
 *  @param retry_after_ms as of SkyProxyRequest_Fail() */
void SkyProxyRequest_RetryOrFail(sky_proxy_request_t *request,
                                 uint32_t retry_after_ms, const char *reason);

/** Records, once in an exchange, how long the first event took. */
void SkyProxyRequest_RecordPromptTime(sky_proxy_request_t *request);

/** Records the intervals of events that just arrived as samples of the
 * target's pace.
 *  @param event_count completed now */
void SkyProxyRequest_RecordEvents(sky_proxy_request_t *request,
                                  uint64_t event_count);

/** Records the duration of a plain service's whole response as a sample of the
 *  target's pace. */
void SkyProxyRequest_RecordDuration(const sky_proxy_request_t *request);

/** Records the version that began the stream, with its first event, or before
 *  the head of a response that names it. */
void SkyProxyRequest_RecordFirstEvent(sky_proxy_request_t *request);

/** Records, once in an exchange, that the answer got past its start: no part
 *  of the prompt crashes the target. */
void SkyProxyRequest_RecordAnswer(sky_proxy_request_t *request);

/** Records that the connection ended before the answer got past its start: a
 *  part of the prompt may have crashed the target. */
void SkyProxyRequest_SuspectParts(const sky_proxy_request_t *request);

/** Records what the end of the current exchange says of the request: whether
 *  it may crash targets. To be called before SkyProxyRequest_EndExchange(). */
void SkyProxyRequest_RecordCrashEvidence(const sky_proxy_request_t *request,
                                         sky_exchange_end_kind_t kind);
/** @return whether the response ends where a body is due. Without a length
 *          this looks like an empty body, but no target means to send one. */
bool SkyProxyRequest_LacksBody(const sky_proxy_request_t *request);

/** @return how the request's lines are logged. They are evidence if the
 *          request must not repeat and was sent more than once, was refused
 *          after a send, has met bytes of another request, or has got a status
 *          from its target that says that it was not run.
 *  @param status of the final response to the caller; 0: not known yet */
sky_log_class_t SkyProxyRequest_GetLogClass(const sky_proxy_request_t *request,
                                            uint16_t status);

/** Logs an exchange that ended without a usable response. */
void SkyProxyRequest_LogExchangeFailure(const sky_proxy_request_t *request,
                                        const char *cause);

/** Logs an exchange whose response is not passed on, as its status promises
 * what is not proved. Does nothing for others. */
void SkyProxyRequest_LogUnprovedRefusal(const sky_proxy_request_t *request);

/** @return the directory's fleet query for this request; it refers to the
 *          request's memory. */
sky_fleet_query_t
SkyProxyRequest_BuildQuery(const sky_proxy_request_t *request);

/** Counts the request in the retry budget, unless it is counted. */
void SkyProxyRequest_Count(sky_proxy_request_t *request);
/** Takes back the count: another host counts it. */
void SkyProxyRequest_Uncount(sky_proxy_request_t *request);

/** @return whether this host does not hear from the request's service. */
bool SkyProxyRequest_IsOutOfReach(const sky_proxy_request_t *request);
/** @return whether another host may be able to serve the request where this
 *          one cannot reach a target. */
bool SkyProxyRequest_CanUsePeer(const sky_proxy_request_t *request);
/** Passes the request on to another host, or lets it wait for what other hosts
 *  say, if this host does not reach the targets. @return false if neither was
 *  done; else the request may have been freed. */
bool SkyProxyRequest_TryPeer(sky_proxy_request_t *request);
/** Handles the peer's refusal, or its failure to serve the request; may free
 *  the request. */
void SkyProxyRequest_HandlePeerRefusal(sky_proxy_request_t *request,
                                       const sky_send_evidence_t *evidence);
/** Adds to the fields of a response what this host says to the one that passed
 *  the request on; nothing if the request came from a caller. */
void SkyProxyRequest_WriteHopResponse(const sky_proxy_request_t *request,
                                      sky_buffer_t *fields,
                                      const sky_hop_response_t *hop);

/** Ends and frees the request, as not run, if this host stops, no target has
 * got it, and its response is not expected to end before the exit.
 *  @return whether it did */
bool SkyProxyRequest_FailIfStopping(sky_proxy_request_t *request);

/** Sends the request to a target, or lets it wait for a placement, an owner's
 *  report or capacity; ends and frees it if no target can serve it. */
void SkyProxyRequest_Dispatch(sky_proxy_request_t *request);

/** @return whether requests to the service take turns now: it has no engine
 *          and is short of capacity. */
bool SkyProxyRequest_TakesTurns(const sky_proxy_request_t *request);

/** @return time until a target takes requests again, if all that could serve
 *          this one wait for a limit or a pause; else 0. */
uint32_t SkyProxyRequest_GetTargetWaitMs(const sky_proxy_request_t *request);

/** @return whether any target could serve the request now, or after it has
 *  loaded the adapter. */
bool SkyProxyRequest_HasEligibleTarget(const sky_proxy_request_t *request);

/** Checks that the caller's key opens a workspace, by the newest
 * configuration, and updates the workspace and the urgency. To be called when
 * the request arrives and each time it is about to be sent.
 *  @return false if the request was ended and freed: its key is not known, or
 *  this host cannot prove that it knows all removed keys */
bool SkyProxyRequest_HasAccess(sky_proxy_request_t *request);
/** @return whether the key is no business of targets. It stays hidden if the
 *  configuration that first had workspaces came after the request. */
bool SkyProxyRequest_HidesCredential(const sky_proxy_request_t *request);

/** Charges a request of a workspace with a quota; the host that passed a
 *  request on has done so.
 *  @return false if the request waits for credit, after which it is
 *  dispatched, or was refused and freed */
bool SkyProxyRequest_AcquireQuota(sky_proxy_request_t *request);
/** Returns the charge of a request that no target has run. */
void SkyProxyRequest_RefundQuota(sky_proxy_request_t *request);

/** Matches the request to a route and dispatches it, or ends and frees it. */
void SkyProxyRequest_Route(sky_proxy_request_t *request);

/** Timer callback: withdraws requests from silent targets and dispatches those
 *  that wait for capacity or newer records. */
void SkyProxy_CheckOpenRequests(struct ev_loop *loop, ev_timer *watcher,
                                int events);

/** Continues to read a response after its caller was slow. */
void SkyProxyRequest_ContinueReading(sky_proxy_request_t *request);

/** @return callbacks for a target's response; their context is the request. */
sky_client_request_events_t SkyProxyRequest_ResponseEvents(void);

#endif
