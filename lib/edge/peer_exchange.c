#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "core/time_left.h"
#include "edge/proxy_request.h"
#include "net/socket.h"

#define CONNECT_TIMEOUT_MS 250 /**< hosts are some ms apart */
/** What the other host needs to respond before this one's deadline. */
#define HOP_TRANSIT_MS 10
/** Answers of other hosts are not awaited for longer. */
#define PATH_WAIT_MAX_MS 150
#define NO_URGENCY 255 /**< the other host sets it */

/* Whether a target that could run the request was left out since this host
 * could not connect to it lately. */
static bool
has_blocked_target(const sky_proxy_request_t *request)
{
    sky_fleet_query_t query = SkyProxyRequest_BuildQuery(request);
    sky_fleet_choice_t choice;
    SkyFleet_ChooseTarget(request->proxy->options.directory->fleet, &query,
                          SkyClock_NowMs(), &choice);
    return choice.has_blocked_target;
}

static uint64_t
hash_peer(const char *address)
{
    return XXH3_64bits(address, strlen(address));
}

/* Whether the entry stands for a target that a tried peer chose, and that is
 * not known here. */
static bool
is_peers_choice(const sky_proxy_request_t *request, uint64_t target)
{
    for (uint32_t i = 0; i < request->tried_peer_count; i++) {
        if (hash_peer(request->tried_peers[i]) == target) {
            return true;
        }
    }
    return false;
}

/* Whether a peer could send the request to a target that may run it by its
 * route: a further one, or a known one that may have run it already. */
static bool
has_allowed_target(const sky_proxy_request_t *request)
{
    const sky_attempts_t *attempts = &request->attempts;
    for (uint32_t i = 0; i < attempts->may_have_run_count; i++) {
        if (!is_peers_choice(request, attempts->may_have_run[i])) {
            return true;
        }
    }
    return attempts->may_have_run_count == 0 ||
           attempts->may_have_run_count <
               SkyProxyRequest_GetRoute(request)->targets_max;
}

bool
SkyProxyRequest_CanUsePeer(const sky_proxy_request_t *request)
{
    if (request->is_forwarded ||
        request->tried_peer_count == PEERS_PER_REQUEST_MAX ||
        !has_allowed_target(request)) {
        return false;
    }
    return SkyProxyRequest_IsOutOfReach(request) ||
           has_blocked_target(request);
}

static void
write_request(const sky_proxy_request_t *request, sky_buffer_t *out)
{
    sky_hop_request_t hop = {.may_have_run_count =
                                 request->attempts.may_have_run_count};
    sky_buffer_t hop_fields = {0};
    uint32_t left_ms =
        SkyTime_LeftMs32(request->deadline_at_ms, SkyClock_NowMs());
    size_t size;
    const char *body = SkyServerRequest_Body(request->caller_request, &size);
    snprintf(hop.from, sizeof hop.from, "%s",
             request->proxy->options.settings->name);
    memcpy(hop.may_have_run, request->attempts.may_have_run,
           sizeof hop.may_have_run);
    if (request->has_stream_software) {
        memcpy(hop.software, request->stream_software, sizeof hop.software);
    }
    SkyHopFields_WriteRequest(&hop_fields, &hop);
    SkyBuffer_Append(&hop_fields, "", 1);
    sky_forward_options_t forward = {
        .deadline_ms = left_ms > HOP_TRANSIT_MS ? left_ms - HOP_TRANSIT_MS : 1,
        .urgency = NO_URGENCY,
        .owns_access_fields = SkyProxyRequest_HidesCredential(request),
        .keeps_credential = true,
        .resumes = request->event_stream.has_id,
        .resume_after = request->event_stream.last_id,
        .hop_fields = SkyBuffer_Data(&hop_fields),
    };
    SkyWire_WriteRequest(out, SkyServerRequest_Head(request->caller_request),
                         body, size, &forward);
    SkyBuffer_Clear(&hop_fields);
}

static void
begin_exchange(sky_proxy_request_t *request, const char *peer)
{
    uint64_t now = SkyClock_NowMs();
    /* The peer's address stands for the target that it chooses. */
    SkyProxyRequest_BeginSend(request, hash_peer(peer));
    snprintf(request->peer, sizeof request->peer, "%s", peer);
    memcpy(request->tried_peers[request->tried_peer_count++], request->peer,
           sizeof request->peer);
    request->hop_response = (sky_hop_response_t){.outcome = SKY_HOP_UNKNOWN};
    request->last_activity_ms = now;
    request->sent_ms = now;
    request->first_sent_ms =
        request->first_sent_ms ? request->first_sent_ms : now;
    request->capacity_wait_since_ms = 0;
    request->waits_for_path = false;
    request->waits_for_turn = false;
    SkyProxyRequest_Uncount(request);
    SkyReachability_RecordPeerSend(
        request->proxy->options.directory->reachability,
        SkyProxyRequest_GetService(request)->name, peer);
    request->proxy->stats.sent_to_peers++;
    SkyLog_Write(LOG_INFO, "forward", "id=%s peer=%s sends=%u left_ms=%u",
                 request->facts.id, peer, request->send_count,
                 SkyTime_LeftMs32(request->deadline_at_ms, now));
}

static void
send_to_peer(sky_proxy_request_t *request, const char *peer)
{
    struct sockaddr_in address;
    sky_buffer_t request_bytes = {0};
    /* The request names earlier sends alone: it is written before this one
     * counts. */
    write_request(request, &request_bytes);
    begin_exchange(request, peer);
    if (SkySocket_ParseAddress(peer, &address)) {
        sky_client_request_options_t options = {
            .address = address,
            .request = &request_bytes,
            .connect_timeout_ms = CONNECT_TIMEOUT_MS,
            .max_idle_ms = SkyProxyRequest_GetIdleMaxMs(request),
            .is_head_request =
                SkyServerRequest_Head(request->caller_request)->method ==
                HTTP_HEAD,
            .echo_field = SkyWire_RequestIdFieldName(),
            .echo_value = request->facts.id,
            .exchange = &request->exchange,
            .events = SkyProxyRequest_ResponseEvents(),
            .context = request,
        };
        request->target_request =
            SkyClient_Send(request->proxy->options.client, &options);
    }
    SkyBuffer_Clear(&request_bytes);
    if (request->target_request == NULL) {
        sky_send_evidence_t evidence = {.kind = SKY_SEND_UNSENT};
        SkyProxyRequest_EndExchange(request, SKY_EXCHANGE_INCONCLUSIVE,
                                    &evidence);
        SkyProxyRequest_Fail(request, RETRY_AFTER_FULL_MS, "memory");
    }
}

static bool
wait_for_answers(sky_proxy_request_t *request)
{
    uint64_t now = SkyClock_NowMs();
    if (request->path_wait_since_ms == 0) {
        request->path_wait_since_ms = now;
    }
    request->waits_for_path =
        now < request->path_wait_since_ms + PATH_WAIT_MAX_MS;
    return request->waits_for_path;
}

bool
SkyProxyRequest_TryPeer(sky_proxy_request_t *request)
{
    if (!SkyProxyRequest_CanUsePeer(request)) {
        return false;
    }
    sky_path_query_t query = {
        .service = SkyProxyRequest_GetService(request)->name,
        .has_target = SkyProxyRequest_HasEligibleTarget(request),
        .excluded = request->tried_peers,
        .excluded_count = request->tried_peer_count,
        .tie_breaker = SkyProxyRequest_IdHash(request),
    };
    sky_path_t path;
    SkyReachSharing_ChoosePath(request->proxy->options.reach_sharing, &query,
                               &path);
    switch (path.kind) {
    case SKY_PATH_PEER:
        /* Time has passed since the last check if the path was waited for. */
        if (SkyProxyRequest_HasAccess(request)) {
            SkyProxyRequest_CancelPending(request);
            send_to_peer(request, path.peer);
        }
        return true;
    case SKY_PATH_WAIT:
        /* SkyProxy_CheckOpenRequests() dispatches it again. */
        return wait_for_answers(request);
    case SKY_PATH_DIRECT:
        break;
    }
    return false;
}

void
SkyProxyRequest_HandlePeerRefusal(sky_proxy_request_t *request,
                                  const sky_send_evidence_t *evidence)
{
    sky_hop_response_t hop = request->hop_response;
    bool is_reached = hop.outcome != SKY_HOP_NOT_REACHED;
    SkyProxyRequest_LogExchangeFailure(request, "peer_refused");
    SkyProxyRequest_EndExchange(
        request, is_reached ? SKY_EXCHANGE_OK : SKY_EXCHANGE_UNREACHABLE,
        evidence);
    switch (hop.outcome) {
    case SKY_HOP_NOT_REACHED:
        SkyProxyRequest_Dispatch(request); /* fails what must not be sent */
        break;
    case SKY_HOP_UNKNOWN:
    case SKY_HOP_TARGET:
        SkyProxyRequest_Fail(request, 0, "peer_failed");
        break;
    case SKY_HOP_NOT_RUN:
        SkyProxyRequest_Fail(request, hop.retry_after_ms, "peer_refused");
        break;
    }
}

void
SkyProxyRequest_WriteHopResponse(const sky_proxy_request_t *request,
                                 sky_buffer_t *fields,
                                 const sky_hop_response_t *hop)
{
    if (request->is_forwarded) {
        SkyHopFields_WriteResponse(fields, hop);
    }
}
