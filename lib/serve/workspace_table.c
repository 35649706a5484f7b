#include "serve/workspace_table.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-bp.h>
#include <urcu/rculfhash.h>
#include <uthash.h>

#define INITIAL_BUCKET_COUNT 64

/** A workspace in force; traffic threads read it, so it never changes. */
typedef struct {
    struct cds_lfht_node node;
    struct rcu_head rcu;
    char credential[SKY_CREDENTIAL_HASH_BYTES];
    char name[SKY_NAME_BYTES];
    char pool[SKY_NAME_BYTES];
    uint32_t urgency;
    uint32_t adapter_count;
    sky_adapter_t adapters[];
} workspace_entry_t;

/** Maps a workspace's name to its entry in force. */
typedef struct {
    char name[SKY_NAME_BYTES];
    workspace_entry_t *current;
    UT_hash_handle hh;
} name_entry_t;

/** Maps an adapter's id to its name. Kept for the life of the table, also when
 *  no workspace lists the adapter any longer. */
typedef struct {
    sky_adapter_id_t id;
    char model[2 * SKY_NAME_BYTES];
    UT_hash_handle hh;
} adapter_name_t;

struct sky_workspace_table {
    struct cds_lfht *by_credential;
    name_entry_t *by_name;         /* control thread only */
    adapter_name_t *adapter_names; /* control thread only */
};

sky_workspace_table_t *
SkyWorkspaceTable_Create(void)
{
    sky_workspace_table_t *table = calloc(1, sizeof *table);
    if (table == NULL) {
        return NULL;
    }
    table->by_credential =
        cds_lfht_new_flavor(INITIAL_BUCKET_COUNT, INITIAL_BUCKET_COUNT, 0,
                            CDS_LFHT_AUTO_RESIZE, &urcu_bp_flavor, NULL);
    if (table->by_credential == NULL) {
        free(table);
        return NULL;
    }
    return table;
}

static void
free_workspace(struct rcu_head *head)
{
    free(caa_container_of(head, workspace_entry_t, rcu));
}

static int
credential_matches(struct cds_lfht_node *node, const void *credential)
{
    const workspace_entry_t *workspace =
        caa_container_of(node, workspace_entry_t, node);
    return strcmp(workspace->credential, credential) == 0;
}

static void
remove_workspace(sky_workspace_table_t *table, workspace_entry_t *workspace)
{
    urcu_bp_read_lock();
    int missing = cds_lfht_del(table->by_credential, &workspace->node);
    urcu_bp_read_unlock();
    if (!missing) {
        urcu_bp_call_rcu(&workspace->rcu, free_workspace);
    }
}

void
SkyWorkspaceTable_Free(sky_workspace_table_t *table)
{
    if (table == NULL) {
        return;
    }
    name_entry_t *entry;
    name_entry_t *next_entry;
    HASH_ITER(hh, table->by_name, entry, next_entry)
    {
        HASH_DEL(table->by_name, entry);
        remove_workspace(table, entry->current);
        free(entry);
    }
    adapter_name_t *adapter;
    adapter_name_t *next_adapter;
    HASH_ITER(hh, table->adapter_names, adapter, next_adapter)
    {
        HASH_DEL(table->adapter_names, adapter);
        free(adapter);
    }
    urcu_bp_barrier();
    cds_lfht_destroy(table->by_credential, NULL);
    free(table);
}

static void
record_adapter_name(sky_workspace_table_t *table, const sky_adapter_t *adapter)
{
    adapter_name_t *entry;
    HASH_FIND(hh, table->adapter_names, &adapter->id, sizeof adapter->id,
              entry);
    if (entry != NULL) {
        return;
    }
    entry = calloc(1, sizeof *entry);
    if (entry == NULL) {
        return;
    }
    entry->id = adapter->id;
    snprintf(entry->model, sizeof entry->model, "%s@%s", adapter->name,
             adapter->version);
    HASH_ADD(hh, table->adapter_names, id, sizeof entry->id, entry);
}

static workspace_entry_t *
create_workspace(const sky_resolved_workspace_t *resolved)
{
    const sky_workspace_t *source = resolved->workspace;
    size_t adapters_bytes = source->adapter_count * sizeof *source->adapters;
    workspace_entry_t *workspace =
        calloc(1, sizeof *workspace + adapters_bytes);
    if (workspace == NULL) {
        return NULL;
    }
    cds_lfht_node_init(&workspace->node);
    memcpy(workspace->credential, source->credential,
           sizeof workspace->credential);
    memcpy(workspace->pool, resolved->event.pool, sizeof workspace->pool);
    memcpy(workspace->adapters, source->adapters, adapters_bytes);
    snprintf(workspace->name, sizeof workspace->name, "%s", resolved->name);
    workspace->urgency = resolved->event.urgency;
    workspace->adapter_count = source->adapter_count;
    return workspace;
}

static name_entry_t *
find_or_add_name(sky_workspace_table_t *table, const char *name)
{
    name_entry_t *entry;
    HASH_FIND_STR(table->by_name, name, entry);
    if (entry == NULL) {
        entry = calloc(1, sizeof *entry);
        if (entry == NULL) {
            return NULL;
        }
        snprintf(entry->name, sizeof entry->name, "%s", name);
        HASH_ADD_STR(table->by_name, name, entry);
    }
    return entry;
}

sky_result_t
SkyWorkspaceTable_Apply(sky_workspace_table_t *table,
                        const sky_resolved_workspace_t *resolved)
{
    workspace_entry_t *workspace = create_workspace(resolved);
    name_entry_t *entry = find_or_add_name(table, resolved->name);
    if (workspace == NULL || entry == NULL) {
        free(workspace);
        return SKY_E_MEMORY;
    }
    for (uint32_t i = 0; i < workspace->adapter_count; i++) {
        record_adapter_name(table, &workspace->adapters[i]);
    }
    uint64_t hash = SkyName_Hash(workspace->credential);
    urcu_bp_read_lock();
    struct cds_lfht_node *replaced =
        cds_lfht_add_replace(table->by_credential, hash, credential_matches,
                             workspace->credential, &workspace->node);
    urcu_bp_read_unlock();
    workspace_entry_t *former = entry->current;
    entry->current = workspace;
    if (replaced != NULL) {
        workspace_entry_t *replaced_workspace =
            caa_container_of(replaced, workspace_entry_t, node);
        urcu_bp_call_rcu(&replaced_workspace->rcu, free_workspace);
        former = former == replaced_workspace ? NULL : former;
    }
    if (former != NULL) { /* its credential changed, so it was not replaced */
        remove_workspace(table, former);
    }
    return SKY_OK;
}

const char *
SkyWorkspaceTable_FindAdapterName(const sky_workspace_table_t *table,
                                  sky_adapter_id_t id)
{
    adapter_name_t *entry;
    HASH_FIND(hh, table->adapter_names, &id, sizeof id, entry);
    return entry ? entry->model : NULL;
}

void
SkyCredential_HashSecret(const char *secret,
                         char credential[SKY_CREDENTIAL_HASH_BYTES])
{
    uint8_t hash[crypto_generichash_BYTES];
    crypto_generichash(hash, sizeof hash, (const uint8_t *)secret,
                       strlen(secret), NULL, 0);
    sodium_bin2hex(credential, SKY_CREDENTIAL_HASH_BYTES, hash, sizeof hash);
}

static const sky_adapter_t *
find_adapter(const workspace_entry_t *workspace, const char *model)
{
    const char *at = strchr(model, '@');
    size_t length = at ? (size_t)(at - model) : strlen(model);
    for (uint32_t i = 0; i < workspace->adapter_count; i++) {
        const sky_adapter_t *adapter = &workspace->adapters[i];
        if (strlen(adapter->name) == length &&
            memcmp(adapter->name, model, length) == 0 &&
            (at == NULL || strcmp(adapter->version, at + 1) == 0)) {
            return adapter;
        }
    }
    return NULL;
}

static sky_result_t
resolve_access(const workspace_entry_t *workspace, const char *model,
               sky_access_t *access)
{
    memcpy(access->workspace, workspace->name, sizeof access->workspace);
    memcpy(access->pool, workspace->pool, sizeof access->pool);
    access->urgency = workspace->urgency;
    if (model == NULL) {
        return SKY_OK;
    }
    const sky_adapter_t *adapter = find_adapter(workspace, model);
    if (adapter == NULL) {
        return SKY_E_UNKNOWN_ADAPTER;
    }
    access->adapter = adapter->id;
    snprintf(access->model, sizeof access->model, "%s@%s", adapter->name,
             adapter->version);
    return SKY_OK;
}

sky_result_t
SkyWorkspaceTable_FindAccess(sky_workspace_table_t *table,
                             const char *credential, const char *model,
                             sky_access_t *access)
{
    struct cds_lfht_iter iterator;
    sky_result_t result = SKY_E_UNAUTHORIZED;
    memset(access, 0, sizeof *access);
    urcu_bp_read_lock();
    cds_lfht_lookup(table->by_credential, SkyName_Hash(credential),
                    credential_matches, credential, &iterator);
    struct cds_lfht_node *node = cds_lfht_iter_get_node(&iterator);
    if (node != NULL) {
        result = resolve_access(
            caa_container_of(node, workspace_entry_t, node), model, access);
    }
    urcu_bp_read_unlock();
    return result;
}
