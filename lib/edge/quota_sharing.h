/**
 * @file quota_sharing.h
 * @brief Credit for requests of workspaces with a quota.
 *
 * The owner of a workspace grants it, so that the hosts together keep to the
 * quota whichever of them the callers come in at. While the configuration has
 * no workspace with a quota, no timer runs and no call is made.
 */
#ifndef SKY_EDGE_QUOTA_SHARING_H
#define SKY_EDGE_QUOTA_SHARING_H

#include <ev.h>

#include "core/result.h"
#include "decide/quota_credit.h"
#include "edge/directory.h"
#include "edge/host_calls.h"
#include "edge/ownership.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_quota_sharing sky_quota_sharing_t;
typedef struct sky_quota_request sky_quota_request_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_ownership_t *ownership;
    sky_host_calls_t *host_calls;
} sky_quota_sharing_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyQuotaSharing_Create(const sky_quota_sharing_options_t *options,
                                    sky_quota_sharing_t **sharing);
/** NULL is allowed. */
void SkyQuotaSharing_Free(sky_quota_sharing_t *sharing);

/** Applies the quotas of the directory's deployment. Requests that wait for
 *  credit of a workspace that has no quota any more are granted; those of a
 *  workspace whose unit changed are refused, as their cost is in the old
 *  unit. */
void SkyQuotaSharing_HandleConfigChange(sky_quota_sharing_t *sharing);

/** @param result SKY_QUOTA_GRANTED or SKY_QUOTA_DENIED
 *  @param wait_ms time until the quota admits the request, if denied */
typedef void (*sky_quota_done_t)(void *context, sky_quota_result_t result,
                                 uint32_t wait_ms);

typedef struct {
    const char *workspace; /**< its name */
    uint64_t cost;
    uint32_t urgency; /**< rank; 0 is the most urgent */
} sky_quota_need_t;

/** Acquires the credit for one request.
 *  @param wait_ms set if the result is SKY_QUOTA_DENIED
 *  @param done called once from the event loop, if the result is SKY_QUOTA_ASK
 *  @param pending set to the pending request, else to NULL */
sky_quota_result_t SkyQuotaSharing_Acquire(sky_quota_sharing_t *sharing,
                                           const sky_quota_need_t *need,
                                           sky_quota_done_t done,
                                           void *context, uint32_t *wait_ms,
                                           sky_quota_request_t **pending);
/** Cancels a pending request; its callback is not called. */
void SkyQuotaSharing_Cancel(sky_quota_request_t *request);
/** Returns the credit of a request that did not run.
 *  @param charged workspace as it was when the request was charged; nothing is
 *         returned if its unit has changed
 *  @param charged_ms when it was charged, by SkyClock_BootMs() */
void SkyQuotaSharing_Refund(sky_quota_sharing_t *sharing,
                            const sky_workspace_t *charged, uint64_t cost,
                            uint64_t charged_ms);

/** What a request of a workspace would get now. */
typedef struct {
    sky_quota_result_t result; /**< if SKY_QUOTA_ASK, the owner decides */
    uint32_t wait_ms;          /**< if denied */
    double left;               /**< credit at hand */
    uint32_t credit_valid_ms;  /**< time until it expires; 0: expired */
    double demand_per_s;       /**< at the last request or call */
    uint32_t waiting;          /**< requests that wait for credit */
    uint32_t host_count;       /**< hosts that share the quota */
    double equal_share_per_s;  /**< rate by host_count */
    /** No owner responds: the host uses its own share. */
    bool uses_own_share;
} sky_quota_view_t;

/** Shows what SkyQuotaSharing_Acquire() would do, without any effect.
 *  @return false: the workspace has no quota */
bool SkyQuotaSharing_Inspect(const sky_quota_sharing_t *sharing,
                             const sky_quota_need_t *need,
                             sky_quota_view_t *view);

typedef struct {
    uint64_t refused; /**< requests */
    uint64_t calls;   /**< to owners */
} sky_quota_stats_t;
const sky_quota_stats_t *
SkyQuotaSharing_Stats(const sky_quota_sharing_t *sharing);

#ifdef __cplusplus
}
#endif
#endif
