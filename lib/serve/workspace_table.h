/**
 * @file workspace_table.h
 * @brief Table of the workspaces in force, by credential.
 *
 * An RCU hash table: the control thread adds and replaces workspaces; traffic
 * threads look credentials up without a lock and copy what they need.
 */
#ifndef SKY_SERVE_WORKSPACE_TABLE_H
#define SKY_SERVE_WORKSPACE_TABLE_H

#include "decide/config.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_workspace_table sky_workspace_table_t;

/** What a credential gives access to: a workspace and one of its adapters. */
typedef struct {
    char workspace[SKY_NAME_BYTES];
    char pool[SKY_NAME_BYTES];
    char model[2 * SKY_NAME_BYTES]; /**< "name@version" */
    sky_adapter_id_t adapter;
    uint32_t urgency; /**< 0 (batch) to SKY_URGENCY_MAX (interactive caller) */
} sky_access_t;

sky_workspace_table_t *SkyWorkspaceTable_Create(void);
void SkyWorkspaceTable_Free(sky_workspace_table_t *table);

/** Adds a workspace, or replaces the one of that name. Control thread only.
 *  @param resolved the workspace with its template applied; it is copied.
 *  @return SKY_OK or SKY_E_MEMORY; then the former entry stays. */
sky_result_t SkyWorkspaceTable_Apply(sky_workspace_table_t *table,
                                     const sky_resolved_workspace_t *resolved);

/** @return "name@version" of an adapter of any workspace, past or present, or
 *          NULL. Control thread only. */
const char *
SkyWorkspaceTable_FindAdapterName(const sky_workspace_table_t *table,
                                  sky_adapter_id_t id);

/** Computes the credential of a secret: its hash, as the configuration holds
 *  it. */
void SkyCredential_HashSecret(const char *secret,
                              char credential[SKY_CREDENTIAL_HASH_BYTES]);

/**
 * Looks a credential and a model up, from any thread.
 * @param model "name" or "name@version"; NULL: only the workspace is looked
 *        up. A name alone finds the first adapter of that name in the list.
 * @return SKY_E_UNAUTHORIZED for an unknown credential; SKY_E_UNKNOWN_ADAPTER
 *         both for an adapter that does not exist and for one of another
 *         workspace, so that the result does not tell them apart.
 */
sky_result_t SkyWorkspaceTable_FindAccess(sky_workspace_table_t *table,
                                          const char *credential,
                                          const char *model,
                                          sky_access_t *access);

#ifdef __cplusplus
}
#endif
#endif
