#include "decide/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "core/invariant.h"

#define CHANGE_TIMEOUT_US UINT64_C(10000000)
/* Documents appended per call of SkyConfig_WriteSnapshot(). */
#define SNAPSHOT_BATCH_DOCUMENTS 16
#define SNAPSHOTS_PER_RETENTION 4
#define SNAPSHOT_RETRY_US UINT64_C(5000000)
#define US_PER_MS 1000

/** A document, in force if its revision is not 0. */
typedef struct document {
    char id[SKY_NAME_BYTES + 2]; /* kind, ':' and name */
    sky_config_kind_t kind;
    char *body;
    sky_offset_t revision;
    sky_event_settings_t event; /* of a template */
    sky_workspace_t workspace;
    UT_hash_handle hh;
} document_t;

/** A change that was appended but not read back yet. */
typedef struct pending_change {
    uint64_t nonce;
    uint64_t token; /* of the caller who waits for the result */
    uint64_t expires_us;
    UT_hash_handle hh;
} pending_change_t;

/** A list node with a copy of a record. */
typedef struct record_node {
    sky_record_t record;
    struct record_node *prev;
    struct record_node *next;
} record_node_t;

/** The snapshot being read. All its records carry the same generation. */
typedef struct {
    uint64_t generation;
    sky_offset_t as_of;
    uint64_t document_count; /* set when its marker is read */
    bool has_marker;
    record_node_t *document_records; /* kept until the snapshot is whole */
    uint64_t documents_received;
} snapshot_t;

struct sky_config {
    uint32_t disabled_mechanisms;
    uint64_t retention_us;
    sky_offset_t log_start; /* oldest offset at the first read; 0: not set */
    sky_offset_t revision;
    uint64_t invalid_records;
    document_t *documents;
    pending_change_t *pending_changes;
    bool is_complete;                /* all documents in force are known */
    record_node_t *deferred_changes; /* changes read before that */
    snapshot_t snapshot;
    uint64_t last_snapshot_us; /* when the last whole snapshot was written */
    uint64_t write_begun_us;   /* when this host last began to write one */
    uint64_t write_generation; /* of the one being written; 0: none */
    sky_offset_t write_as_of;
    uint64_t documents_written;
    uint64_t documents_to_write;
};

sky_config_t *
SkyConfig_Create(uint64_t retention_us, uint32_t disabled_mechanisms)
{
    sky_config_t *config = calloc(1, sizeof *config);
    if (config != NULL) {
        config->retention_us = retention_us;
        config->disabled_mechanisms = disabled_mechanisms;
    }
    return config;
}

static void
append_record_copy(record_node_t **list, const sky_record_t *record)
{
    record_node_t *node = calloc(1, sizeof *node);
    if (node == NULL) {
        abort();
    }
    SkyRecord_Copy(&node->record, record);
    DL_APPEND(*list, node);
}

static void
free_record_list(record_node_t **list)
{
    record_node_t *node;
    record_node_t *next;
    DL_FOREACH_SAFE(*list, node, next)
    {
        DL_DELETE(*list, node);
        SkyRecord_Clear(&node->record);
        free(node);
    }
}

static void
free_document(sky_config_t *config, document_t *document)
{
    HASH_DEL(config->documents, document);
    SkyDocument_FreeWorkspace(&document->workspace);
    free(document->body);
    free(document);
}

void
SkyConfig_Free(sky_config_t *config)
{
    if (config == NULL) {
        return;
    }
    document_t *document;
    document_t *next_document;
    HASH_ITER(hh, config->documents, document, next_document)
    {
        free_document(config, document);
    }
    pending_change_t *change;
    pending_change_t *next_change;
    HASH_ITER(hh, config->pending_changes, change, next_change)
    {
        HASH_DEL(config->pending_changes, change);
        free(change);
    }
    free_record_list(&config->deferred_changes);
    free_record_list(&config->snapshot.document_records);
    free(config);
}

void
SkyConfig_SetLogStart(sky_config_t *config, sky_offset_t oldest)
{
    if (config->log_start == 0) {
        config->log_start = oldest;
        config->is_complete = oldest <= 1;
    }
}

static document_t *
find_document(const sky_config_t *config, sky_config_kind_t kind,
              const char *name)
{
    char id[SKY_NAME_BYTES + 2];
    document_t *document;
    snprintf(id, sizeof id, "%c:%s", '0' + (int)kind, name);
    HASH_FIND_STR(config->documents, id, document);
    return document;
}

static document_t *
find_or_add_document(sky_config_t *config, sky_config_kind_t kind,
                     const char *name)
{
    document_t *document = find_document(config, kind, name);
    if (document != NULL) {
        return document;
    }
    document = calloc(1, sizeof *document);
    if (document == NULL) {
        abort();
    }
    document->kind = kind;
    snprintf(document->id, sizeof document->id, "%c:%s", '0' + (int)kind,
             name);
    HASH_ADD_STR(config->documents, id, document);
    return document;
}

static sky_offset_t
current_revision(const sky_config_t *config, const sky_rec_config_t *rec)
{
    const document_t *document = find_document(config, rec->kind, rec->name);
    return document ? document->revision : 0;
}

/** Parses a body into @p parsed. The caller frees the workspace. */
static sky_result_t
parse_body(const sky_config_t *config, const sky_rec_config_t *rec,
           document_t *parsed, char *error_text)
{
    if (rec->body == NULL) {
        return SKY_E_BAD_CONFIG;
    }
    if (rec->kind == SKY_CONFIG_TEMPLATE) {
        return SkyDocument_ParseTemplate(rec->body, &parsed->event,
                                         error_text);
    }
    sky_result_t result =
        SkyDocument_ParseWorkspace(rec->body, &parsed->workspace, error_text);
    if (SkyResult_IsError(result)) {
        return result;
    }
    document_t *template_document = find_document(
        config, SKY_CONFIG_TEMPLATE, parsed->workspace.template_name);
    if (template_document == NULL || template_document->revision == 0) {
        SkyDocument_FreeWorkspace(&parsed->workspace);
        return SKY_E_BAD_CONFIG;
    }
    return SKY_OK;
}

static void
respond_to_change(uint64_t token, sky_result_t code, sky_offset_t revision,
                  sky_actions_t *out)
{
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_CHANGE_RESULT);
    action->u.change_result.token = token;
    action->u.change_result.code = code;
    action->u.change_result.revision = revision;
}

void
SkyConfig_HandleChange(sky_config_t *config, const sky_in_config_change_t *in,
                       uint64_t nonce, uint64_t now_us, sky_actions_t *out)
{
    char error_text[SKY_NAME_BYTES];
    document_t parsed = {0};
    sky_offset_t revision = current_revision(config, &in->config);
    if (!config->is_complete) {
        respond_to_change(in->token, SKY_E_NOT_READY, 0, out);
        return;
    }
    if (revision != in->config.base) {
        respond_to_change(in->token, SKY_E_CONFLICT, revision, out);
        return;
    }
    sky_result_t result = parse_body(config, &in->config, &parsed, error_text);
    SkyDocument_FreeWorkspace(&parsed.workspace);
    if (SkyResult_IsError(result)) {
        respond_to_change(in->token, result, revision, out);
        return;
    }
    pending_change_t *change = calloc(1, sizeof *change);
    if (change == NULL) {
        respond_to_change(in->token, SKY_E_MEMORY, revision, out);
        return;
    }
    change->nonce = nonce;
    change->token = in->token;
    change->expires_us = now_us + CHANGE_TIMEOUT_US;
    HASH_ADD(hh, config->pending_changes, nonce, sizeof change->nonce, change);
    sky_record_t record = {.kind = SKY_REC_CONFIG, .nonce = nonce};
    record.u.config = in->config;
    SkyRecord_Copy(&SkyActions_Add(out, SKY_ACT_APPEND)->u.append, &record);
}

static void
finish_pending_change(sky_config_t *config, const sky_record_t *record,
                      sky_result_t code, sky_offset_t revision,
                      sky_actions_t *out)
{
    pending_change_t *change;
    uint64_t nonce = record->nonce;
    HASH_FIND(hh, config->pending_changes, &nonce, sizeof nonce, change);
    if (change == NULL) {
        return;
    }
    respond_to_change(change->token, code, revision, out);
    HASH_DEL(config->pending_changes, change);
    free(change);
}

void
SkyConfig_Tick(sky_config_t *config, uint64_t now_us, sky_actions_t *out)
{
    pending_change_t *change;
    pending_change_t *next;
    HASH_ITER(hh, config->pending_changes, change, next)
    {
        if (now_us < change->expires_us) {
            continue;
        }
        /* The record may still be read later, so the outcome is unknown. */
        respond_to_change(change->token, SKY_E_UNKNOWN, 0, out);
        HASH_DEL(config->pending_changes, change);
        free(change);
    }
}

static void
activate_document(sky_config_t *config, document_t *document,
                  const sky_rec_config_t *rec, document_t *parsed,
                  sky_offset_t revision, sky_actions_t *out)
{
    SKY_INVARIANT(SKY_INV_REVISION_INCREASES, revision > document->revision);
    SkyDocument_FreeWorkspace(&document->workspace);
    free(document->body);
    document->body = strdup(rec->body);
    document->event = parsed->event;
    document->workspace = parsed->workspace;
    document->revision = revision;
    if (revision > config->revision) {
        config->revision = revision;
    }
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_APPLY_CONFIG);
    action->u.config.kind = rec->kind;
    action->u.config.revision = revision;
    memcpy(action->u.config.name, rec->name, SKY_NAME_BYTES);
}

static void
apply_change(sky_config_t *config, const sky_record_t *record,
             sky_actions_t *out)
{
    const sky_rec_config_t *rec = &record->u.config;
    sky_offset_t revision = current_revision(config, rec);
    char error_text[SKY_NAME_BYTES];
    document_t parsed = {0};
    if (rec->base != revision &&
        !(config->disabled_mechanisms & SKY_DISABLE_REVISION_CHECK)) {
        finish_pending_change(config, record, SKY_E_CONFLICT, revision, out);
        return;
    }
    sky_result_t result = parse_body(config, rec, &parsed, error_text);
    if (SkyResult_IsError(result)) {
        config->invalid_records++;
        finish_pending_change(config, record, result, revision, out);
        return;
    }
    document_t *document = find_or_add_document(config, rec->kind, rec->name);
    activate_document(config, document, rec, &parsed, record->offset, out);
    finish_pending_change(config, record, SKY_OK, record->offset, out);
}

/* ---- snapshots ---- */

static void
install_document(sky_config_t *config, const sky_rec_config_t *rec,
                 sky_actions_t *out)
{
    char error_text[SKY_NAME_BYTES];
    document_t parsed = {0};
    if (SkyResult_IsError(parse_body(config, rec, &parsed, error_text))) {
        config->invalid_records++;
        return;
    }
    document_t *document = find_or_add_document(config, rec->kind, rec->name);
    if (document->revision >= rec->revision) {
        SkyDocument_FreeWorkspace(&parsed.workspace);
        return;
    }
    activate_document(config, document, rec, &parsed, rec->revision, out);
}

static void
install_documents_of_kind(sky_config_t *config, sky_config_kind_t kind,
                          sky_actions_t *out)
{
    const record_node_t *node;
    DL_FOREACH(config->snapshot.document_records, node)
    {
        if (node->record.u.config.kind == kind) {
            install_document(config, &node->record.u.config, out);
        }
    }
}

/** Installs a snapshot that was read in full, then applies the changes that
 *  were deferred and that it does not cover. */
static void
install_snapshot(sky_config_t *config, sky_actions_t *out)
{
    const record_node_t *node;
    install_documents_of_kind(config, SKY_CONFIG_TEMPLATE, out);
    install_documents_of_kind(config, SKY_CONFIG_WORKSPACE, out);
    DL_FOREACH(config->deferred_changes, node)
    {
        if (node->record.offset > config->snapshot.as_of) {
            apply_change(config, &node->record, out);
        }
    }
    free_record_list(&config->deferred_changes);
    config->is_complete = true;
}

static void
begin_snapshot_read(sky_config_t *config, const sky_rec_config_t *rec)
{
    if (rec->generation == config->snapshot.generation) {
        return;
    }
    free_record_list(&config->snapshot.document_records);
    memset(&config->snapshot, 0, sizeof config->snapshot);
    config->snapshot.generation = rec->generation;
    config->snapshot.as_of = rec->as_of;
}

/** Applies one record of a snapshot. Its records may arrive in any order. */
static void
apply_snapshot(sky_config_t *config, const sky_record_t *record,
               uint64_t now_us, sky_actions_t *out)
{
    const sky_rec_config_t *rec = &record->u.config;
    snapshot_t *snapshot = &config->snapshot;
    begin_snapshot_read(config, rec);
    if (record->kind == SKY_REC_CONFIG_SNAPSHOT) {
        snapshot->has_marker = true;
        snapshot->document_count = rec->revision;
    }
    else {
        snapshot->documents_received++;
        if (!config->is_complete) {
            append_record_copy(&snapshot->document_records, record);
        }
    }
    if (!snapshot->has_marker ||
        snapshot->documents_received < snapshot->document_count) {
        return;
    }
    config->last_snapshot_us = now_us - record->age_ms * US_PER_MS;
    if (!config->is_complete && snapshot->as_of + 1 >= config->log_start) {
        install_snapshot(config, out);
    }
    free_record_list(&snapshot->document_records);
}

void
SkyConfig_ApplyRecord(sky_config_t *config, const sky_record_t *record,
                      uint64_t now_us, sky_actions_t *out)
{
    if (record->kind != SKY_REC_CONFIG) {
        apply_snapshot(config, record, now_us, out);
    }
    else if (config->is_complete) {
        apply_change(config, record, out);
    }
    else {
        append_record_copy(&config->deferred_changes, record);
    }
}

static void
append_snapshot_record(const sky_config_t *config, sky_record_kind_t kind,
                       const document_t *document, uint64_t nonce,
                       sky_actions_t *out)
{
    sky_record_t record = {.kind = kind, .nonce = nonce};
    sky_rec_config_t *rec = &record.u.config;
    rec->generation = config->write_generation;
    rec->as_of = config->write_as_of;
    rec->revision = config->documents_to_write;
    if (document != NULL) {
        rec->kind = document->kind;
        rec->revision = document->revision;
        rec->body = document->body;
        snprintf(rec->name, SKY_NAME_BYTES, "%s", document->id + 2);
    }
    SkyRecord_Copy(&SkyActions_Add(out, SKY_ACT_APPEND)->u.append, &record);
}

static const document_t *
get_nth_document(const sky_config_t *config, uint64_t n)
{
    const document_t *document = config->documents;
    while (document != NULL && n-- > 0) {
        document = document->hh.next;
    }
    return document;
}

static void
append_snapshot_batch(sky_config_t *config, uint64_t nonce, sky_actions_t *out)
{
    const document_t *document =
        get_nth_document(config, config->documents_written);
    for (uint32_t i = 0;
         i < SNAPSHOT_BATCH_DOCUMENTS && document != NULL &&
         config->documents_written < config->documents_to_write;
         i++) {
        append_snapshot_record(config, SKY_REC_CONFIG_RESTATE, document,
                               nonce + 2 * i, out);
        config->documents_written++;
        document = document->hh.next;
    }
    if (config->documents_written == config->documents_to_write) {
        append_snapshot_record(config, SKY_REC_CONFIG_SNAPSHOT, NULL,
                               nonce + 1, out);
        config->write_generation = 0;
    }
}

void
SkyConfig_WriteSnapshot(sky_config_t *config, sky_offset_t as_of,
                        double delay_fraction, uint64_t nonce, uint64_t now_us,
                        sky_actions_t *out)
{
    uint64_t interval_us = config->retention_us / SNAPSHOTS_PER_RETENTION;
    interval_us += (uint64_t)((double)interval_us * delay_fraction);
    if (!config->is_complete) {
        return;
    }
    if (config->write_generation == 0) {
        if (now_us < config->last_snapshot_us + interval_us ||
            now_us < config->write_begun_us + SNAPSHOT_RETRY_US) {
            return;
        }
        config->write_begun_us = now_us;
        config->write_generation = nonce;
        config->write_as_of = as_of;
        config->documents_written = 0;
        config->documents_to_write = HASH_COUNT(config->documents);
    }
    append_snapshot_batch(config, nonce, out);
}

bool
SkyConfig_IsComplete(const sky_config_t *config)
{
    return config->is_complete;
}

static sky_document_t
describe_document(const document_t *document)
{
    sky_document_t description = {document->kind, document->id + 2,
                                  document->body, document->revision};
    return description;
}

bool
SkyConfig_FindDocument(const sky_config_t *config, sky_config_kind_t kind,
                       const char *name, sky_document_t *found)
{
    const document_t *document = find_document(config, kind, name);
    if (document == NULL || document->revision == 0) {
        return false;
    }
    *found = describe_document(document);
    return true;
}

static bool
resolve_workspace(const sky_config_t *config, const document_t *document,
                  sky_resolved_workspace_t *resolved)
{
    if (document == NULL || document->revision == 0 ||
        document->kind != SKY_CONFIG_WORKSPACE) {
        return false;
    }
    const document_t *template_document = find_document(
        config, SKY_CONFIG_TEMPLATE, document->workspace.template_name);
    if (template_document == NULL) {
        return false;
    }
    resolved->workspace = &document->workspace;
    resolved->name = document->id + 2;
    resolved->event = SkyDocument_MergeEventSettings(
        &template_document->event, &document->workspace.event);
    return true;
}

bool
SkyConfig_FindWorkspace(const sky_config_t *config, const char *name,
                        sky_resolved_workspace_t *resolved)
{
    return resolve_workspace(
        config, find_document(config, SKY_CONFIG_WORKSPACE, name), resolved);
}

void
SkyConfig_ForEachDocument(const sky_config_t *config,
                          void (*visit)(const sky_document_t *, void *),
                          void *context)
{
    const document_t *document;
    for (document = config->documents; document != NULL;
         document = document->hh.next) {
        sky_document_t description = describe_document(document);
        if (document->revision != 0) {
            visit(&description, context);
        }
    }
}

void
SkyConfig_ForEachWorkspace(const sky_config_t *config,
                           void (*visit)(const sky_resolved_workspace_t *,
                                         void *),
                           void *context)
{
    const document_t *document;
    sky_resolved_workspace_t resolved;
    for (document = config->documents; document != NULL;
         document = document->hh.next) {
        if (resolve_workspace(config, document, &resolved)) {
            visit(&resolved, context);
        }
    }
}

sky_offset_t
SkyConfig_LatestRevision(const sky_config_t *config)
{
    return config->revision;
}

uint64_t
SkyConfig_InvalidRecordCount(const sky_config_t *config)
{
    return config->invalid_records;
}
