#include "decide/reachability.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES_MAX 64 /**< further services are never doubted */
#define PEERS_MAX 16    /**< per service; hosts that answered last */
/** Requests are under way and no target of the service has sent a byte for
 *  this time. A target that does not run a request at once, or pauses, is
 *  rarely the only one that is asked. */
#define SILENCE_MS 400
/** Targets that fail in a row, with no byte from any, until a doubt. */
#define FAILED_TARGETS_MIN 2
#define ASK_INTERVAL_MS 250 /**< keeps the answers current */
/** Requests wait so long for the first answers: several times the transit
 *  between hosts. */
#define ANSWER_WAIT_MS 100
#define WORD_TTL_MS 800 /**< an answer that is not renewed is not used */
/** A host that hears a service says so within this time, if it uses it. */
#define HEARD_AGE_MAX_MS 3000
#define PROBE_INTERVAL_MS 500
#define FOLLOW_UP_PROBE_INTERVAL_MS 150
/** A request's need of another host, a question and a watch count for this
 *  long. */
#define NEED_TTL_MS 1000
/** Open requests that are worth a hop into another failure domain. */
#define OTHER_DOMAIN_WEIGHT 4.0

typedef struct {
    char address[SKY_PEER_ADDRESS_BYTES]; /**< "": free */
    bool same_domain;
    sky_reach_word_t word;
    uint64_t told_ms;
    uint32_t in_flight; /**< requests of this host there */
    uint32_t sent;      /**< of these, since the last answer */
    bool is_excluded;   /**< failed a request since the last answer */
} peer_t;

typedef struct {
    char name[SKY_SERVICE_NAME_BYTES];
    uint32_t in_flight;
    uint64_t heard_ms; /**< last byte of any target; 0: none yet */
    /** Last byte, or begin of the oldest exchange under way. */
    uint64_t waiting_since_ms;
    uint64_t failed[FAILED_TARGETS_MIN]; /**< distinct, since the last byte */
    uint32_t failed_count;
    bool has_failed;           /**< enough of them for a doubt */
    uint64_t failing_since_ms; /**< time of has_failed */
    uint64_t asked_ms;         /**< 0: not since the service was last heard */
    uint32_t answers_pending;
    uint64_t needed_ms; /**< a request last needed another host; 0: never */
    uint64_t questioned_ms; /**< by another host; 0: never */
    uint64_t watched_ms;    /**< last SkyReachability_Watch(); 0: never */
    uint64_t probed_ms;
    peer_t peers[PEERS_MAX];
} service_t;

struct sky_reachability {
    service_t *services[SERVICES_MAX];
    uint32_t service_count;
};

sky_result_t
SkyReachability_Create(sky_reachability_t **reachability)
{
    *reachability = calloc(1, sizeof **reachability);
    return *reachability != NULL ? SKY_OK : SKY_E_MEMORY;
}

void
SkyReachability_Free(sky_reachability_t *reachability)
{
    if (reachability == NULL) {
        return;
    }
    for (uint32_t i = 0; i < reachability->service_count; i++) {
        free(reachability->services[i]);
    }
    free(reachability);
}

static service_t *
find_service(const sky_reachability_t *reachability, const char *name)
{
    for (uint32_t i = 0; i < reachability->service_count; i++) {
        if (strcmp(reachability->services[i]->name, name) == 0) {
            return reachability->services[i];
        }
    }
    return NULL;
}

/* Returns NULL if there are too many, or memory ran out. */
static service_t *
find_or_add_service(sky_reachability_t *reachability, const char *name)
{
    service_t *service = find_service(reachability, name);
    if (service != NULL || reachability->service_count == SERVICES_MAX ||
        strlen(name) >= SKY_SERVICE_NAME_BYTES) {
        return service;
    }
    service = calloc(1, sizeof *service);
    if (service != NULL) {
        strcpy(service->name, name);
        reachability->services[reachability->service_count++] = service;
    }
    return service;
}

void
SkyReachability_RecordSend(sky_reachability_t *reachability, const char *name,
                           uint64_t now_ms)
{
    service_t *service = find_or_add_service(reachability, name);
    if (service == NULL) {
        return;
    }
    if (service->in_flight++ == 0) {
        service->waiting_since_ms = now_ms;
    }
}

/* Whether exchanges are under way and all are silent. */
static bool
is_silent(const service_t *service, uint64_t now_ms)
{
    return service->in_flight > 0 &&
           now_ms > service->waiting_since_ms + SILENCE_MS;
}

/* Returns when the doubt began; the service is doubted. */
static uint64_t
doubted_since_ms(const service_t *service)
{
    return service->has_failed ? service->failing_since_ms
                               : service->waiting_since_ms + SILENCE_MS;
}

void
SkyReachability_RecordEnd(sky_reachability_t *reachability, const char *name,
                          uint64_t now_ms)
{
    service_t *service = find_service(reachability, name);
    if (service == NULL || service->in_flight == 0) {
        return;
    }
    if (is_silent(service, now_ms) && !service->has_failed) {
        service->failing_since_ms = doubted_since_ms(service);
        service->has_failed = true; /* the doubt outlasts the exchange */
    }
    service->in_flight--;
}

static bool
is_doubted(const service_t *service, uint64_t now_ms)
{
    return service->has_failed || is_silent(service, now_ms);
}

bool
SkyReachability_RecordByte(sky_reachability_t *reachability, const char *name,
                           uint64_t now_ms)
{
    service_t *service = find_or_add_service(reachability, name);
    if (service == NULL) {
        return false;
    }
    bool was_doubted = is_doubted(service, now_ms);
    service->heard_ms = now_ms;
    service->waiting_since_ms = now_ms;
    service->failed_count = 0;
    service->has_failed = false;
    return was_doubted;
}

static bool
has_failed_target(const service_t *service, uint64_t target)
{
    for (uint32_t i = 0; i < service->failed_count; i++) {
        if (service->failed[i] == target) {
            return true;
        }
    }
    return false;
}

void
SkyReachability_RecordFailure(sky_reachability_t *reachability,
                              const char *name, uint64_t target,
                              uint32_t target_count, uint64_t now_ms)
{
    service_t *service = find_or_add_service(reachability, name);
    if (service == NULL || service->has_failed) {
        return;
    }
    if (!has_failed_target(service, target)) {
        service->failed[service->failed_count++] = target;
    }
    if (service->failed_count == FAILED_TARGETS_MIN ||
        service->failed_count >= target_count) {
        /* A doubt by silence does not begin anew: what other hosts have heard
         * since its begin still shows that this host is cut off. */
        service->failing_since_ms =
            is_silent(service, now_ms) ? doubted_since_ms(service) : now_ms;
        service->has_failed = true;
    }
}

bool
SkyReachability_IsDoubted(const sky_reachability_t *reachability,
                          const char *name, uint64_t now_ms)
{
    const service_t *service = find_service(reachability, name);
    return service != NULL && is_doubted(service, now_ms);
}

/* Whether the host's last answer is current and says that it may serve
 * requests of the service. */
static bool
is_usable_peer(const peer_t *peer, uint64_t now_ms)
{
    return peer->address[0] != '\0' && !peer->is_excluded &&
           !peer->word.is_doubted && now_ms <= peer->told_ms + WORD_TTL_MS;
}

static bool
hears_service(const peer_t *peer)
{
    return peer->word.heard_age_ms <= HEARD_AGE_MAX_MS;
}

bool
SkyReachability_IsCutOff(const sky_reachability_t *reachability,
                         const char *name, uint64_t min_ms, uint64_t now_ms)
{
    const service_t *service = find_service(reachability, name);
    if (service == NULL || !is_doubted(service, now_ms)) {
        return false;
    }
    uint64_t since_ms = doubted_since_ms(service);
    if (now_ms < since_ms + min_ms) {
        return false;
    }
    for (uint32_t i = 0; i < PEERS_MAX; i++) {
        const peer_t *peer = &service->peers[i];
        if (is_usable_peer(peer, now_ms) && hears_service(peer) &&
            peer->told_ms > since_ms + peer->word.heard_age_ms) {
            return true;
        }
    }
    return false;
}

void
SkyReachability_GetWord(const sky_reachability_t *reachability,
                        const char *name, uint64_t now_ms,
                        sky_reach_word_t *word)
{
    const service_t *service = find_service(reachability, name);
    *word = (sky_reach_word_t){.heard_age_ms = UINT32_MAX};
    if (service == NULL) {
        return;
    }
    word->is_doubted = is_doubted(service, now_ms);
    if (service->heard_ms > 0 && now_ms - service->heard_ms < UINT32_MAX) {
        word->heard_age_ms = (uint32_t)(now_ms - service->heard_ms);
    }
}

static bool
is_recent(uint64_t time_ms, uint64_t now_ms)
{
    return time_ms > 0 && now_ms <= time_ms + NEED_TTL_MS;
}

static bool
needs_peers(const service_t *service, uint64_t now_ms)
{
    return is_doubted(service, now_ms) ||
           is_recent(service->needed_ms, now_ms);
}

bool
SkyReachability_ShouldAsk(const sky_reachability_t *reachability,
                          const char *name, uint64_t now_ms)
{
    const service_t *service = find_service(reachability, name);
    return service != NULL && needs_peers(service, now_ms) &&
           now_ms >= service->asked_ms + ASK_INTERVAL_MS;
}

void
SkyReachability_RecordAsk(sky_reachability_t *reachability, const char *name,
                          uint32_t asked_count, uint64_t now_ms)
{
    service_t *service = find_service(reachability, name);
    if (service != NULL) {
        service->asked_ms = now_ms;
        service->answers_pending = asked_count;
    }
}

/* Returns the entry of the host, else a free one, else that of the host that
 * has not answered for longest; NULL if all have requests in flight. */
static peer_t *
find_or_choose_peer(service_t *service, const char *address)
{
    peer_t *chosen = NULL;
    for (uint32_t i = 0; i < PEERS_MAX; i++) {
        peer_t *peer = &service->peers[i];
        if (strcmp(peer->address, address) == 0) {
            return peer;
        }
        if (peer->in_flight == 0 &&
            (chosen == NULL || peer->told_ms < chosen->told_ms)) {
            chosen = peer;
        }
    }
    return chosen;
}

static peer_t *
find_peer(service_t *service, const char *address)
{
    for (uint32_t i = 0; service != NULL && i < PEERS_MAX; i++) {
        if (strcmp(service->peers[i].address, address) == 0) {
            return &service->peers[i];
        }
    }
    return NULL;
}

void
SkyReachability_RecordAnswer(sky_reachability_t *reachability,
                             const char *name, const char *address,
                             bool same_domain, const sky_reach_word_t *word,
                             uint64_t now_ms)
{
    service_t *service = find_service(reachability, name);
    if (service == NULL || strlen(address) >= SKY_PEER_ADDRESS_BYTES) {
        return;
    }
    service->answers_pending -= service->answers_pending > 0 ? 1 : 0;
    peer_t *peer = word != NULL ? find_or_choose_peer(service, address) : NULL;
    if (peer == NULL) {
        return;
    }
    uint32_t in_flight =
        strcmp(peer->address, address) == 0 ? peer->in_flight : 0;
    *peer = (peer_t){.same_domain = same_domain,
                     .word = *word,
                     .told_ms = now_ms,
                     .in_flight = in_flight};
    strcpy(peer->address, address);
}

void
SkyReachability_RecordQuestion(sky_reachability_t *reachability,
                               const char *name, uint64_t now_ms)
{
    service_t *service = find_or_add_service(reachability, name);
    if (service != NULL) {
        service->questioned_ms = now_ms;
    }
}

void
SkyReachability_Watch(sky_reachability_t *reachability, const char *name,
                      uint64_t now_ms)
{
    service_t *service = find_or_add_service(reachability, name);
    if (service != NULL) {
        service->watched_ms = now_ms;
    }
}

static bool
needs_probe(const service_t *service, uint64_t now_ms)
{
    bool is_of_interest = is_recent(service->questioned_ms, now_ms) ||
                          is_recent(service->watched_ms, now_ms);
    return is_doubted(service, now_ms) || service->failed_count > 0 ||
           (is_of_interest && now_ms >= service->heard_ms + PROBE_INTERVAL_MS);
}

bool
SkyReachability_HasFailed(const sky_reachability_t *reachability,
                          const char *name, uint64_t target)
{
    const service_t *service = find_service(reachability, name);
    return service != NULL && has_failed_target(service, target);
}

/* A target that has failed alone soon leads to a doubt, or to none. */
static uint32_t
get_probe_interval_ms(const service_t *service, uint64_t now_ms)
{
    return service->failed_count > 0 && !is_doubted(service, now_ms)
               ? FOLLOW_UP_PROBE_INTERVAL_MS
               : PROBE_INTERVAL_MS;
}

bool
SkyReachability_TakeProbe(sky_reachability_t *reachability, const char *name,
                          uint64_t now_ms)
{
    service_t *service = find_service(reachability, name);
    if (service == NULL || !needs_probe(service, now_ms) ||
        now_ms < service->probed_ms + get_probe_interval_ms(service, now_ms)) {
        return false;
    }
    service->probed_ms = now_ms;
    return true;
}

static bool
is_tried(const sky_path_query_t *query, const char *address)
{
    for (uint32_t i = 0; i < query->excluded_count; i++) {
        if (strcmp(query->excluded[i], address) == 0) {
            return true;
        }
    }
    return false;
}

/* Lower is better. A host that has not used the service may not reach it
 * either: it is the last choice. */
static double
score_peer(const peer_t *peer, uint32_t index, uint64_t tie_breaker)
{
    return (hears_service(peer) ? 0.0 : 1.0e6) + peer->word.open_requests +
           peer->sent + (peer->same_domain ? 0.0 : OTHER_DOMAIN_WEIGHT) +
           (double)((tie_breaker >> index) % 16) / 32.0;
}

static const peer_t *
choose_peer(const service_t *service, const sky_path_query_t *query,
            uint64_t now_ms)
{
    const peer_t *best = NULL;
    double best_score = 0.0;
    for (uint32_t i = 0; i < PEERS_MAX; i++) {
        const peer_t *peer = &service->peers[i];
        if (!is_usable_peer(peer, now_ms) || is_tried(query, peer->address)) {
            continue;
        }
        double score = score_peer(peer, i, query->tie_breaker);
        if (best == NULL || score < best_score) {
            best = peer;
            best_score = score;
        }
    }
    return best;
}

static bool
awaits_answers(const service_t *service, uint64_t now_ms)
{
    return service->answers_pending > 0 &&
           now_ms < service->asked_ms + ANSWER_WAIT_MS;
}

void
SkyReachability_ChoosePath(sky_reachability_t *reachability,
                           const sky_path_query_t *query, uint64_t now_ms,
                           sky_path_t *path)
{
    service_t *service = find_or_add_service(reachability, query->service);
    *path = (sky_path_t){.kind = SKY_PATH_DIRECT};
    if (service == NULL ||
        (query->has_target && !is_doubted(service, now_ms))) {
        return;
    }
    service->needed_ms = now_ms;
    const peer_t *peer = choose_peer(service, query, now_ms);
    if (peer != NULL) {
        path->kind = SKY_PATH_PEER;
        strcpy(path->peer, peer->address);
    }
    else if (awaits_answers(service, now_ms)) {
        path->kind = SKY_PATH_WAIT;
    }
}

void
SkyReachability_RecordPeerSend(sky_reachability_t *reachability,
                               const char *name, const char *address)
{
    peer_t *peer = find_peer(find_service(reachability, name), address);
    if (peer != NULL) {
        peer->in_flight++;
        peer->sent++;
    }
}

void
SkyReachability_RecordPeerEnd(sky_reachability_t *reachability,
                              const char *name, const char *address,
                              bool is_reachable)
{
    peer_t *peer = find_peer(find_service(reachability, name), address);
    if (peer == NULL) {
        return;
    }
    peer->in_flight -= peer->in_flight > 0 ? 1 : 0;
    peer->is_excluded = peer->is_excluded || !is_reachable;
}

const char *
SkyReachability_GetService(const sky_reachability_t *reachability,
                           uint32_t index)
{
    return index < reachability->service_count
               ? reachability->services[index]->name
               : NULL;
}
