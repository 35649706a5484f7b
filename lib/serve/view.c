#include "serve/view.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-bp.h>
#include <urcu/rculfhash.h>
#include <uthash.h>

#define FIRST_BUCKETS 64

typedef struct {
    struct cds_lfht_node node;
    struct rcu_head rcu;
    char credential[SKY_CREDENTIAL_HASH_BYTES];
    char name[SKY_NAME_BYTES];
    char pool[SKY_NAME_BYTES];
    uint32_t urgency;
    uint32_t adapter_count;
    sky_adapter_t adapters[];
} workspace_t;

/** Current entry of a workspace's name, known to the control thread. */
typedef struct {
    char name[SKY_NAME_BYTES];
    workspace_t *current;
    UT_hash_handle hh;
} named_t;

typedef struct {
    sky_adapter_id_t id;
    char model[2 * SKY_NAME_BYTES];
    UT_hash_handle hh;
} adapter_name_t;

struct sky_view {
    struct cds_lfht *table;
    named_t *names;
    adapter_name_t *adapters;
};

sky_view_t *
SkyView_Create(void)
{
    sky_view_t *view = calloc(1, sizeof *view);
    if (view == NULL) {
        return NULL;
    }
    view->table =
        cds_lfht_new_flavor(FIRST_BUCKETS, FIRST_BUCKETS, 0,
                            CDS_LFHT_AUTO_RESIZE, &urcu_bp_flavor, NULL);
    if (view->table == NULL) {
        free(view);
        return NULL;
    }
    return view;
}

static void
free_workspace(struct rcu_head *head)
{
    free(caa_container_of(head, workspace_t, rcu));
}

static int
matches(struct cds_lfht_node *node, const void *credential)
{
    const workspace_t *workspace = caa_container_of(node, workspace_t, node);
    return strcmp(workspace->credential, credential) == 0;
}

static void
remove_entry(sky_view_t *view, workspace_t *workspace)
{
    urcu_bp_read_lock();
    int missing = cds_lfht_del(view->table, &workspace->node);
    urcu_bp_read_unlock();
    if (!missing) {
        urcu_bp_call_rcu(&workspace->rcu, free_workspace);
    }
}

void
SkyView_Free(sky_view_t *view)
{
    if (view == NULL) {
        return;
    }
    named_t *named;
    named_t *next_named;
    HASH_ITER(hh, view->names, named, next_named)
    {
        HASH_DEL(view->names, named);
        remove_entry(view, named->current);
        free(named);
    }
    adapter_name_t *adapter;
    adapter_name_t *next_adapter;
    HASH_ITER(hh, view->adapters, adapter, next_adapter)
    {
        HASH_DEL(view->adapters, adapter);
        free(adapter);
    }
    urcu_bp_barrier();
    cds_lfht_destroy(view->table, NULL);
    free(view);
}

static void
remember_adapter(sky_view_t *view, const sky_adapter_t *adapter)
{
    adapter_name_t *entry;
    HASH_FIND(hh, view->adapters, &adapter->id, sizeof adapter->id, entry);
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
    HASH_ADD(hh, view->adapters, id, sizeof entry->id, entry);
}

static workspace_t *
build(const sky_resolved_workspace_t *opening)
{
    const sky_workspace_t *source = opening->workspace;
    size_t list_bytes = source->adapter_count * sizeof *source->adapters;
    workspace_t *workspace = calloc(1, sizeof *workspace + list_bytes);
    if (workspace == NULL) {
        return NULL;
    }
    cds_lfht_node_init(&workspace->node);
    memcpy(workspace->credential, source->credential,
           sizeof workspace->credential);
    memcpy(workspace->pool, opening->event.pool, sizeof workspace->pool);
    memcpy(workspace->adapters, source->adapters, list_bytes);
    snprintf(workspace->name, sizeof workspace->name, "%s", opening->name);
    workspace->urgency = opening->event.urgency;
    workspace->adapter_count = source->adapter_count;
    return workspace;
}

static named_t *
name_entry(sky_view_t *view, const char *name)
{
    named_t *named;
    HASH_FIND_STR(view->names, name, named);
    if (named == NULL) {
        named = calloc(1, sizeof *named);
        if (named == NULL) {
            return NULL;
        }
        snprintf(named->name, sizeof named->name, "%s", name);
        HASH_ADD_STR(view->names, name, named);
    }
    return named;
}

sky_result_t
SkyView_Put(sky_view_t *view, const sky_resolved_workspace_t *opening)
{
    workspace_t *workspace = build(opening);
    named_t *named = name_entry(view, opening->name);
    if (workspace == NULL || named == NULL) {
        free(workspace);
        return SKY_E_MEMORY;
    }
    for (uint32_t i = 0; i < workspace->adapter_count; i++) {
        remember_adapter(view, &workspace->adapters[i]);
    }
    uint64_t hash = SkyName_Hash(workspace->credential);
    urcu_bp_read_lock();
    struct cds_lfht_node *replaced = cds_lfht_add_replace(
        view->table, hash, matches, workspace->credential, &workspace->node);
    urcu_bp_read_unlock();
    workspace_t *old = named->current;
    named->current = workspace;
    if (replaced != NULL) {
        workspace_t *gone = caa_container_of(replaced, workspace_t, node);
        urcu_bp_call_rcu(&gone->rcu, free_workspace);
        old = old == gone ? NULL : old;
    }
    if (old != NULL) { /* the credential has changed */
        remove_entry(view, old);
    }
    return SKY_OK;
}

const char *
SkyView_AdapterName(const sky_view_t *view, sky_adapter_id_t id)
{
    adapter_name_t *entry;
    HASH_FIND(hh, view->adapters, &id, sizeof id, entry);
    return entry ? entry->model : NULL;
}

void
SkyView_HashSecret(const char *secret,
                   char credential[SKY_CREDENTIAL_HASH_BYTES])
{
    uint8_t hash[crypto_generichash_BYTES];
    crypto_generichash(hash, sizeof hash, (const uint8_t *)secret,
                       strlen(secret), NULL, 0);
    sodium_bin2hex(credential, SKY_CREDENTIAL_HASH_BYTES, hash, sizeof hash);
}

static const sky_adapter_t *
find_adapter(const workspace_t *workspace, const char *model)
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
fill_access(const workspace_t *workspace, const char *model,
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
SkyView_Find(sky_view_t *view, const char *credential, const char *model,
             sky_access_t *access)
{
    struct cds_lfht_iter iterator;
    sky_result_t result = SKY_E_UNAUTHORIZED;
    memset(access, 0, sizeof *access);
    urcu_bp_read_lock();
    cds_lfht_lookup(view->table, SkyName_Hash(credential), matches, credential,
                    &iterator);
    struct cds_lfht_node *node = cds_lfht_iter_get_node(&iterator);
    if (node != NULL) {
        result = fill_access(caa_container_of(node, workspace_t, node), model,
                             access);
    }
    urcu_bp_read_unlock();
    return result;
}
