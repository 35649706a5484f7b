/**
 * @file reach_sharing.h
 * @brief Asks other hosts which services and targets they hear from, while
 *        this host does not, and probes those services.
 *
 * decide/reachability.h decides. Without a doubt nothing is sent.
 */
#ifndef SKY_EDGE_REACH_SHARING_H
#define SKY_EDGE_REACH_SHARING_H

#include <ev.h>

#include "core/result.h"
#include "decide/reachability.h"
#include "edge/directory.h"
#include "edge/host_calls.h"
#include "edge/ownership.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_reach_sharing sky_reach_sharing_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_host_calls_t *host_calls;
    sky_client_t *client;
    /** @return requests of callers that are open at this host; UINT32_MAX: it
     *          is stopping and takes none. */
    uint32_t (*get_open_requests)(void *context);
    void *context;
} sky_reach_sharing_options_t;

/** Creates the directory's reachability too. */
sky_result_t SkyReachSharing_Create(const sky_reach_sharing_options_t *options,
                                    sky_reach_sharing_t **sharing);
void SkyReachSharing_Free(sky_reach_sharing_t *sharing);

/** Chooses the path of a request; asks other hosts first if that is due. */
void SkyReachSharing_ChoosePath(sky_reach_sharing_t *sharing,
                                const sky_path_query_t *query,
                                sky_path_t *path);

/** Probes whether a run of a target goes on; a response of it is recorded as a
 *  byte. @param target NULL: none */
void SkyReachSharing_ProbeTarget(sky_reach_sharing_t *sharing,
                                 const sky_fleet_target_t *target);
/** Applies rows of target id, epoch and ms since another host heard from it.
 */
void SkyReachSharing_ApplyHeardRuns(const sky_reach_sharing_t *sharing,
                                    const json_t *rows);
/** A byte was received from a target. */
void SkyReachSharing_RecordByte(const sky_reach_sharing_t *sharing,
                                sky_fleet_target_t *target);
/** A target responded to a request of this host itself. Any response shows
 *  that the service is reached, but only one that names the target shows that
 *  this run of it goes on. */
void SkyReachSharing_RecordResponse(const sky_reach_sharing_t *sharing,
                                    const char *target_id,
                                    const sky_http_head_t *head);
/** A target could not be connected to, or fell silent. */
void SkyReachSharing_RecordFailure(const sky_reach_sharing_t *sharing,
                                   const sky_fleet_target_t *target);

#ifdef __cplusplus
}
#endif
#endif
