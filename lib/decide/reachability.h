/**
 * @file reachability.h
 * @brief Whether this host reaches the targets of a service, and which other
 *        host does.
 *
 * To one host alone, targets that are down and a network that cuts it off look
 * the same. A host that hears nothing from a service therefore asks others:
 * while one of them hears from it, requests go by way of that host, else to
 * the targets as ever. A doubt that is wrong costs the requests one more hop;
 * it ends with the first byte from any target of the service.
 *
 * A service is doubted from failures to connect to two of its targets (or the
 * only one) in a row, or from a time in which requests were under way and no
 * target sent a byte, until the next byte. A host with few requests learns of
 * it by probes: of the other targets after the first failure, and of services
 * that it watches, or is asked about, when it has not heard them for a while.
 *
 * The module does no I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_REACHABILITY_H
#define SKY_DECIDE_REACHABILITY_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/target_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Size of a host's address as text, with its NUL. */
#define SKY_PEER_ADDRESS_BYTES 32

typedef struct sky_reachability sky_reachability_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyReachability_Create(sky_reachability_t **reachability);
void SkyReachability_Free(sky_reachability_t *reachability);

/** An exchange with a target of the service begins. */
void SkyReachability_RecordSend(sky_reachability_t *reachability,
                                const char *service, uint64_t now_ms);
/** An exchange ends, for whatever reason. */
void SkyReachability_RecordEnd(sky_reachability_t *reachability,
                               const char *service, uint64_t now_ms);
/** A byte was received from a target of the service.
 *  @return whether this ends a doubt */
bool SkyReachability_RecordByte(sky_reachability_t *reachability,
                                const char *service, uint64_t now_ms);
/** A target could not be connected to, or fell silent. One that breaks an
 *  exchange off is reached.
 *  @param target hash of its id
 *  @param target_count targets of the service that could be tried */
void SkyReachability_RecordFailure(sky_reachability_t *reachability,
                                   const char *service, uint64_t target,
                                   uint32_t target_count, uint64_t now_ms);

/** @return whether the service is doubted. */
bool SkyReachability_IsDoubted(const sky_reachability_t *reachability,
                               const char *service, uint64_t now_ms);
/** @return whether this host has not heard from the service for @p min_ms, in
 *          which another host has. */
bool SkyReachability_IsCutOff(const sky_reachability_t *reachability,
                              const char *service, uint64_t min_ms,
                              uint64_t now_ms);

/** What a host says of a service. */
typedef struct {
    bool is_doubted;        /**< it does not hear from the service itself */
    uint32_t heard_age_ms;  /**< since its last byte; UINT32_MAX: never */
    uint32_t open_requests; /**< at that host, of all services */
} sky_reach_word_t;

/** Writes what this host says of a service, but for its open requests. */
void SkyReachability_GetWord(const sky_reachability_t *reachability,
                             const char *service, uint64_t now_ms,
                             sky_reach_word_t *word);

/** @return whether other hosts are to be asked about the service now. */
bool SkyReachability_ShouldAsk(const sky_reachability_t *reachability,
                               const char *service, uint64_t now_ms);
/** @param asked_count hosts that were asked */
void SkyReachability_RecordAsk(sky_reachability_t *reachability,
                               const char *service, uint32_t asked_count,
                               uint64_t now_ms);
/** A host that was asked has answered, or will not.
 *  @param word NULL: it did not
 *  @param same_domain whether it is in this host's failure domain */
void SkyReachability_RecordAnswer(sky_reachability_t *reachability,
                                  const char *service, const char *address,
                                  bool same_domain,
                                  const sky_reach_word_t *word,
                                  uint64_t now_ms);

/** Another host asks whether this one hears the service. */
void SkyReachability_RecordQuestion(sky_reachability_t *reachability,
                                    const char *service, uint64_t now_ms);
/** Has the service probed while this host does not hear it, as it may have to
 *  send orders to its targets: to be called again while that lasts. */
void SkyReachability_Watch(sky_reachability_t *reachability,
                           const char *service, uint64_t now_ms);
/** @return whether a target of the service is to be probed now, as requests
 *          alone do not show whether it is reached: the probe's time is
 *          recorded. */
bool SkyReachability_TakeProbe(sky_reachability_t *reachability,
                               const char *service, uint64_t now_ms);
/** @return whether a failure of the target counts towards a doubt: a probe of
 *          another one shows more. */
bool SkyReachability_HasFailed(const sky_reachability_t *reachability,
                               const char *service, uint64_t target);

typedef enum {
    SKY_PATH_DIRECT, /**< to a target */
    SKY_PATH_PEER,   /**< by way of another host */
    SKY_PATH_WAIT,   /**< others are being asked: choose again soon */
} sky_path_kind_t;

typedef struct {
    const char *service;
    bool has_target; /**< this host could send to a target now */
    /** Hosts that the request was sent to already. */
    const char (*excluded)[SKY_PEER_ADDRESS_BYTES];
    uint32_t excluded_count;
    uint64_t tie_breaker; /**< any number */
} sky_path_query_t;

typedef struct {
    sky_path_kind_t kind;
    char peer[SKY_PEER_ADDRESS_BYTES]; /**< of SKY_PATH_PEER */
} sky_path_t;

/** Chooses how a request that came in from a caller goes on. A request that
 *  another host has passed on always goes to a target. */
void SkyReachability_ChoosePath(sky_reachability_t *reachability,
                                const sky_path_query_t *query, uint64_t now_ms,
                                sky_path_t *path);
/** A request that is sent to another host counts until it has ended there. */
void SkyReachability_RecordPeerSend(sky_reachability_t *reachability,
                                    const char *service, const char *address);
/** @param is_reachable false: the host itself could not be connected to, or
 *                      does not reach the service: it gets no more requests
 *                      before its next answer */
void SkyReachability_RecordPeerEnd(sky_reachability_t *reachability,
                                   const char *service, const char *address,
                                   bool is_reachable);

/** @return name of a service that this host has sent to, by its index; NULL:
 *          there are no more. */
const char *SkyReachability_GetService(const sky_reachability_t *reachability,
                                       uint32_t index);

#ifdef __cplusplus
}
#endif
#endif
