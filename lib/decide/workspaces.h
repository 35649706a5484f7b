/**
 * @file workspaces.h
 * @brief The workspaces of a configuration, and the keys that open them.
 *
 * Keys are secrets. Only their digests are kept and compared, so that the time
 * of a lookup says nothing about a key. A table is built once and does not
 * change after SkyWorkspaces_Finish().
 */
#ifndef SKY_DECIDE_WORKSPACES_H
#define SKY_DECIDE_WORKSPACES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_KEY_DIGEST_BYTES 32
/** More keys than a record of the store can hold. */
#define SKY_WORKSPACE_KEYS_MAX 65536u

typedef struct {
    uint8_t bytes[SKY_KEY_DIGEST_BYTES];
} sky_key_digest_t;

/** What requests cost of a quota. */
typedef enum {
    SKY_QUOTA_REQUESTS, /**< 1 each */
    SKY_QUOTA_TOKENS,   /**< tokens of the prompt and the most of the output */
} sky_quota_unit_t;

typedef struct {
    bool is_limited;
    sky_quota_unit_t unit;
    double rate_per_s;     /**< units a second, of all hosts together */
    double burst;          /**< units beyond the rate */
    uint32_t plain_tokens; /**< cost of a request that states no tokens */
} sky_quota_t;

typedef struct {
    char *name;
    uint32_t priority; /**< 0 is the most urgent */
    sky_quota_t quota;
} sky_workspace_t;

typedef struct sky_workspaces sky_workspaces_t;

/** @return an empty table, or NULL if memory ran out. */
sky_workspaces_t *SkyWorkspaces_Create(void);
/** NULL is allowed. */
void SkyWorkspaces_Free(sky_workspaces_t *workspaces);

/** Adds a workspace. @return its index, or UINT32_MAX if memory ran out. */
uint32_t SkyWorkspaces_Add(sky_workspaces_t *workspaces, const char *name,
                           uint32_t priority, const sky_quota_t *quota);
/** Adds a key of a workspace.
 *  @return SKY_E_BAD_CONFIG for an empty key or too many keys; SKY_E_MEMORY */
sky_result_t SkyWorkspaces_AddKey(sky_workspaces_t *workspaces, uint32_t index,
                                  const char *key);
/** Makes the keys ready for lookups.
 *  @return number of keys that several workspaces hold: they open none */
uint32_t SkyWorkspaces_Finish(sky_workspaces_t *workspaces);

uint32_t SkyWorkspaces_Count(const sky_workspaces_t *workspaces);
/** @return the workspace of an index below the count; valid as long as the
 *          table. */
const sky_workspace_t *SkyWorkspaces_Get(const sky_workspaces_t *workspaces,
                                         uint32_t index);

sky_key_digest_t SkyWorkspaces_HashKey(const char *key);
/** @return the workspace that a key opens, or NULL. */
const sky_workspace_t *
SkyWorkspaces_FindByKey(const sky_workspaces_t *workspaces,
                        const sky_key_digest_t *digest);

/** @return units of the quota that a request costs.
 *  @param states_tokens whether it says how many tokens it has */
uint64_t SkyQuota_GetCost(const sky_quota_t *quota, bool states_tokens,
                          uint32_t prompt_tokens, uint32_t output_tokens_max);

#ifdef __cplusplus
}
#endif
#endif
