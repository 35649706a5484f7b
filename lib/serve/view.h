/**
 * @file view.h
 * @brief Workspaces in force, for traffic threads: an RCU hash table.
 *
 * The control thread replaces entries; traffic threads look credentials up
 * without a lock and copy out what they need.
 */
#ifndef SKY_SERVE_VIEW_H
#define SKY_SERVE_VIEW_H

#include "decide/config.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_view sky_view_t;

/** What a request needs to know of its workspace and adapter. */
typedef struct {
    char workspace[SKY_NAME_BYTES];
    char pool[SKY_NAME_BYTES];
    char model[2 * SKY_NAME_BYTES]; /**< "name@version" */
    sky_adapter_id_t adapter;
    uint32_t urgency;
} sky_access_t;

sky_view_t *SkyView_Create(void);
void SkyView_Free(sky_view_t *view);

/** Puts a workspace in force. Control thread only. */
sky_result_t SkyView_Put(sky_view_t *view,
                         const sky_resolved_workspace_t *opening);

/** @return "name@version" of an adapter, or NULL. Control thread only. */
const char *SkyView_AdapterName(const sky_view_t *view, sky_adapter_id_t id);

/** Hashes a caller's secret to the credential that configuration holds. */
void SkyView_HashSecret(const char *secret,
                        char credential[SKY_CREDENTIAL_HASH_BYTES]);

/**
 * Looks a credential and a model up, from any thread.
 * @param model "name" or "name@version"; NULL: only the workspace.
 * @return SKY_E_UNAUTHORIZED, or SKY_E_UNKNOWN_ADAPTER alike for an adapter
 *         that does not exist and for one of another workspace.
 */
sky_result_t SkyView_Find(sky_view_t *view, const char *credential,
                          const char *model, sky_access_t *access);

#ifdef __cplusplus
}
#endif
#endif
