#include "decide/workspaces.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define NO_WORKSPACE UINT32_MAX

typedef struct {
    sky_key_digest_t digest;
    uint32_t workspace; /**< NO_WORKSPACE: several hold the key */
} key_entry_t;

struct sky_workspaces {
    sky_workspace_t *list;
    uint32_t count;
    uint32_t capacity;
    key_entry_t *keys; /**< sorted by digest once they are finished */
    uint32_t key_count;
    uint32_t key_capacity;
};

sky_workspaces_t *
SkyWorkspaces_Create(void)
{
    return sodium_init() < 0 ? NULL : calloc(1, sizeof(sky_workspaces_t));
}

void
SkyWorkspaces_Free(sky_workspaces_t *workspaces)
{
    if (workspaces == NULL) {
        return;
    }
    for (uint32_t i = 0; i < workspaces->count; i++) {
        free(workspaces->list[i].name);
    }
    free(workspaces->list);
    free(workspaces->keys);
    free(workspaces);
}

/* Doubles an array that is full. Returns false if memory ran out. */
static bool
reserve(void **array, uint32_t count, uint32_t *capacity, size_t item_bytes)
{
    if (count < *capacity) {
        return true;
    }
    uint32_t grown = *capacity > 0 ? *capacity * 2 : 16;
    void *items = realloc(*array, grown * item_bytes);
    if (items == NULL) {
        return false;
    }
    *array = items;
    *capacity = grown;
    return true;
}

uint32_t
SkyWorkspaces_Add(sky_workspaces_t *workspaces, const char *name,
                  uint32_t priority, const sky_quota_t *quota)
{
    void *list = workspaces->list;
    bool has_room = reserve(&list, workspaces->count, &workspaces->capacity,
                            sizeof *workspaces->list);
    workspaces->list = list;
    char *copy = has_room ? strdup(name) : NULL;
    if (copy == NULL) {
        return UINT32_MAX;
    }
    workspaces->list[workspaces->count] =
        (sky_workspace_t){copy, priority, *quota};
    return workspaces->count++;
}

sky_key_digest_t
SkyWorkspaces_HashKey(const char *key)
{
    sky_key_digest_t digest;
    crypto_generichash(digest.bytes, sizeof digest.bytes,
                       (const unsigned char *)key, strlen(key), NULL, 0);
    return digest;
}

sky_result_t
SkyWorkspaces_AddKey(sky_workspaces_t *workspaces, uint32_t index,
                     const char *key)
{
    if (key[0] == '\0' || workspaces->key_count == SKY_WORKSPACE_KEYS_MAX) {
        return SKY_E_BAD_CONFIG;
    }
    void *keys = workspaces->keys;
    bool has_room =
        reserve(&keys, workspaces->key_count, &workspaces->key_capacity,
                sizeof *workspaces->keys);
    workspaces->keys = keys;
    if (!has_room) {
        return SKY_E_MEMORY;
    }
    workspaces->keys[workspaces->key_count++] =
        (key_entry_t){SkyWorkspaces_HashKey(key), index};
    return SKY_OK;
}

static int
compare_keys(const void *one, const void *other)
{
    return memcmp(((const key_entry_t *)one)->digest.bytes,
                  ((const key_entry_t *)other)->digest.bytes,
                  SKY_KEY_DIGEST_BYTES);
}

uint32_t
SkyWorkspaces_Finish(sky_workspaces_t *workspaces)
{
    uint32_t ambiguous = 0;
    uint32_t kept = 0;
    if (workspaces->key_count > 0) {
        qsort(workspaces->keys, workspaces->key_count, sizeof(key_entry_t),
              compare_keys);
    }
    for (uint32_t i = 0; i < workspaces->key_count; i++) {
        key_entry_t key = workspaces->keys[i];
        key_entry_t *last = kept > 0 ? &workspaces->keys[kept - 1] : NULL;
        if (last == NULL || compare_keys(last, &key) != 0) {
            workspaces->keys[kept++] = key;
        }
        else if (last->workspace != key.workspace &&
                 last->workspace != NO_WORKSPACE) {
            last->workspace = NO_WORKSPACE;
            ambiguous++;
        }
    }
    workspaces->key_count = kept;
    return ambiguous;
}

uint32_t
SkyWorkspaces_Count(const sky_workspaces_t *workspaces)
{
    return workspaces->count;
}

const sky_workspace_t *
SkyWorkspaces_Get(const sky_workspaces_t *workspaces, uint32_t index)
{
    return &workspaces->list[index];
}

const sky_workspace_t *
SkyWorkspaces_FindByKey(const sky_workspaces_t *workspaces,
                        const sky_key_digest_t *digest)
{
    key_entry_t wanted = {.digest = *digest};
    const key_entry_t *found =
        workspaces->key_count > 0
            ? bsearch(&wanted, workspaces->keys, workspaces->key_count,
                      sizeof wanted, compare_keys)
            : NULL;
    return found != NULL && found->workspace != NO_WORKSPACE
               ? &workspaces->list[found->workspace]
               : NULL;
}

uint64_t
SkyQuota_GetCost(const sky_quota_t *quota, bool states_tokens,
                 uint32_t prompt_tokens, uint32_t output_tokens_max)
{
    switch (quota->unit) {
    case SKY_QUOTA_TOKENS:
        return states_tokens ? (uint64_t)prompt_tokens + output_tokens_max
                             : quota->plain_tokens;
    case SKY_QUOTA_REQUESTS:
        break;
    }
    return 1;
}
