/**
 * @file service_turns.h
 * @brief Turns for requests to plain services that are short of capacity.
 *
 * While a service without an engine is short, each request takes a turn from
 * the owner of the service, which may be this host. The owner is one of a few
 * hosts with the highest link bandwidth, chosen by the service's name. It
 * holds no lease: two owners for a moment cause some rejections only. While
 * there is no shortage, no call is made. See decide/turn_schedule.h.
 */
#ifndef SKY_EDGE_SERVICE_TURNS_H
#define SKY_EDGE_SERVICE_TURNS_H

#include <ev.h>

#include "core/result.h"
#include "decide/turn_schedule.h"
#include "edge/directory.h"
#include "edge/host_calls.h"
#include "edge/ownership.h"
#include "net/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_service_turns sky_service_turns_t;
typedef struct sky_service_turn_request sky_service_turn_request_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_host_calls_t *host_calls;
} sky_service_turns_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyServiceTurns_Create(const sky_service_turns_options_t *options,
                                    sky_service_turns_t **turns);
void SkyServiceTurns_Free(sky_service_turns_t *turns);

/** @return whether requests to the service take turns now: it is short of
 *          capacity, and its owner responded last. */
bool SkyServiceTurns_AreNeeded(const sky_service_turns_t *turns,
                               const char *service);

/** Records the end of an exchange with a target of a plain service. Those with
 *  limited and brittle targets say nothing of a shortage. */
void SkyServiceTurns_RecordEnd(sky_service_turns_t *turns,
                               const sky_fleet_target_t *target,
                               sky_exchange_result_t result,
                               uint32_t duration_ms);

/** Receives the turn: when it has come, if one is given. The kind is
 *  SKY_TURN_NO_TARGET if there is none to be had: the request is to be sent as
 *  without a shortage. */
typedef void (*sky_service_turn_done_t)(void *context, const sky_turn_t *turn);

/** Takes a turn.
 *  @param turn set if the result is NULL: @p done is not called then
 *  @return the pending request, or NULL */
sky_service_turn_request_t *
SkyServiceTurns_Take(sky_service_turns_t *turns, const char *service,
                     const sky_turn_request_t *spec,
                     sky_service_turn_done_t done, void *context,
                     sky_turn_t *turn);
/** Cancels a pending request; its callback is not called. */
void SkyServiceTurns_Cancel(sky_service_turn_request_t *request);

/** Appends counters and the backlog in the Prometheus text format. */
void SkyServiceTurns_WriteMetrics(const sky_service_turns_t *turns,
                                  sky_buffer_t *out);

#ifdef __cplusplus
}
#endif
#endif
