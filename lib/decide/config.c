#include "decide/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "core/invariant.h"

#define CHANGE_WAIT_US UINT64_C(10000000)
#define SNAPSHOT_BATCH 16
#define SNAPSHOTS_PER_RETENTION 4
#define SNAPSHOT_RETRY_US UINT64_C(5000000)
#define US_PER_MS 1000

typedef struct document {
    char id[SKY_NAME_BYTES + 2]; /* kind, ':' and name */
    sky_config_kind_t kind;
    char *body;
    sky_offset_t revision;
    sky_event_t event; /* of a template */
    sky_workspace_t workspace;
    UT_hash_handle hh;
} document_t;

typedef struct change {
    uint64_t nonce;
    uint64_t token;
    uint64_t expires_us;
    UT_hash_handle hh;
} change_t;

/** A record kept until a snapshot tells what it builds upon. */
typedef struct kept {
    sky_record_t record;
    struct kept *prev;
    struct kept *next;
} kept_t;

/** The snapshot being read: one generation of restatements. */
typedef struct {
    uint64_t generation;
    sky_offset_t as_of;
    uint64_t wanted; /* documents it has, once its marker is read */
    bool marked;
    kept_t *restated;
    uint64_t count;
} snapshot_t;

struct sky_config {
    uint32_t off;
    uint64_t retention_us;
    sky_offset_t start;
    sky_offset_t revision;
    uint64_t skipped;
    document_t *documents;
    change_t *changes;
    bool complete;    /* all documents in force are known */
    kept_t *unjudged; /* changes met before that */
    snapshot_t reading;
    uint64_t snapshot_us; /* when the last whole snapshot was marked */
    uint64_t begun_us;    /* when the last one was begun here */
    uint64_t writing;     /* generation being written; 0: none */
    sky_offset_t writing_as_of;
    uint64_t written;
    uint64_t to_write;
};

sky_config_t *
SkyConfig_Create(uint64_t retention_us, uint32_t off)
{
    sky_config_t *config = calloc(1, sizeof *config);
    if (config != NULL) {
        config->retention_us = retention_us;
        config->off = off;
    }
    return config;
}

static void
keep(kept_t **list, const sky_record_t *record)
{
    kept_t *kept = calloc(1, sizeof *kept);
    if (kept == NULL) {
        abort();
    }
    SkyRecord_Copy(&kept->record, record);
    DL_APPEND(*list, kept);
}

static void
forget_kept(kept_t **list)
{
    kept_t *kept;
    kept_t *next;
    DL_FOREACH_SAFE(*list, kept, next)
    {
        DL_DELETE(*list, kept);
        SkyRecord_Free(&kept->record);
        free(kept);
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
    change_t *change;
    change_t *next_change;
    HASH_ITER(hh, config->changes, change, next_change)
    {
        HASH_DEL(config->changes, change);
        free(change);
    }
    forget_kept(&config->unjudged);
    forget_kept(&config->reading.restated);
    free(config);
}

void
SkyConfig_NoteStart(sky_config_t *config, sky_offset_t oldest)
{
    if (config->start == 0) {
        config->start = oldest;
        config->complete = oldest <= 1;
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
find_or_add(sky_config_t *config, sky_config_kind_t kind, const char *name)
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

/** Parses a body into @p into; the caller frees the workspace. */
static sky_result_t
parse_body(const sky_config_t *config, const sky_rec_config_t *rec,
           document_t *into, char *why)
{
    if (rec->body == NULL) {
        return SKY_E_BAD_CONFIG;
    }
    if (rec->kind == SKY_CONFIG_TEMPLATE) {
        return SkyDocument_ParseTemplate(rec->body, &into->event, why);
    }
    sky_result_t result =
        SkyDocument_ParseWorkspace(rec->body, &into->workspace, why);
    if (SkyResult_IsError(result)) {
        return result;
    }
    document_t *base = find_document(config, SKY_CONFIG_TEMPLATE,
                                     into->workspace.template_name);
    if (base == NULL || base->revision == 0) {
        SkyDocument_FreeWorkspace(&into->workspace);
        return SKY_E_BAD_CONFIG;
    }
    return SKY_OK;
}

static void
answer_change(uint64_t token, sky_result_t code, sky_offset_t revision,
              sky_actions_t *out)
{
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_CHANGED);
    action->u.changed.token = token;
    action->u.changed.code = code;
    action->u.changed.revision = revision;
}

void
SkyConfig_Change(sky_config_t *config, const sky_in_change_t *in,
                 uint64_t nonce, uint64_t now_us, sky_actions_t *out)
{
    char why[SKY_NAME_BYTES];
    document_t parsed = {0};
    sky_offset_t revision = current_revision(config, &in->config);
    if (!config->complete) {
        answer_change(in->token, SKY_E_NOT_READY, 0, out);
        return;
    }
    if (revision != in->config.base) {
        answer_change(in->token, SKY_E_CONFLICT, revision, out);
        return;
    }
    sky_result_t result = parse_body(config, &in->config, &parsed, why);
    SkyDocument_FreeWorkspace(&parsed.workspace);
    if (SkyResult_IsError(result)) {
        answer_change(in->token, result, revision, out);
        return;
    }
    change_t *change = calloc(1, sizeof *change);
    if (change == NULL) {
        answer_change(in->token, SKY_E_MEMORY, revision, out);
        return;
    }
    change->nonce = nonce;
    change->token = in->token;
    change->expires_us = now_us + CHANGE_WAIT_US;
    HASH_ADD(hh, config->changes, nonce, sizeof change->nonce, change);
    sky_record_t record = {.kind = SKY_REC_CONFIG, .nonce = nonce};
    record.u.config = in->config;
    SkyRecord_Copy(&SkyActions_Add(out, SKY_ACT_APPEND)->u.append, &record);
}

static void
finish_change(sky_config_t *config, const sky_record_t *record,
              sky_result_t code, sky_offset_t revision, sky_actions_t *out)
{
    change_t *change;
    uint64_t nonce = record->nonce;
    HASH_FIND(hh, config->changes, &nonce, sizeof nonce, change);
    if (change == NULL) {
        return;
    }
    answer_change(change->token, code, revision, out);
    HASH_DEL(config->changes, change);
    free(change);
}

void
SkyConfig_Tick(sky_config_t *config, uint64_t now_us, sky_actions_t *out)
{
    change_t *change;
    change_t *next;
    HASH_ITER(hh, config->changes, change, next)
    {
        if (now_us < change->expires_us) {
            continue;
        }
        /* The record may still turn up: neither accepted nor refused. */
        answer_change(change->token, SKY_E_UNKNOWN, 0, out);
        HASH_DEL(config->changes, change);
        free(change);
    }
}

static void
put_in_force(sky_config_t *config, document_t *document,
             const sky_rec_config_t *rec, document_t *parsed,
             sky_offset_t revision, sky_actions_t *out)
{
    SKY_INVARIANT(SKY_INV_REVISION, revision > document->revision);
    SkyDocument_FreeWorkspace(&document->workspace);
    free(document->body);
    document->body = strdup(rec->body);
    document->event = parsed->event;
    document->workspace = parsed->workspace;
    document->revision = revision;
    if (revision > config->revision) {
        config->revision = revision;
    }
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_CONFIG);
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
    char why[SKY_NAME_BYTES];
    document_t parsed = {0};
    if (rec->base != revision && !(config->off & SKY_OFF_BASE_CHECK)) {
        finish_change(config, record, SKY_E_CONFLICT, revision, out);
        return;
    }
    sky_result_t result = parse_body(config, rec, &parsed, why);
    if (SkyResult_IsError(result)) {
        config->skipped++;
        finish_change(config, record, result, revision, out);
        return;
    }
    document_t *document = find_or_add(config, rec->kind, rec->name);
    put_in_force(config, document, rec, &parsed, record->offset, out);
    finish_change(config, record, SKY_OK, record->offset, out);
}

/* ---- snapshots ---- */

static void
install(sky_config_t *config, const sky_rec_config_t *rec, sky_actions_t *out)
{
    char why[SKY_NAME_BYTES];
    document_t parsed = {0};
    if (SkyResult_IsError(parse_body(config, rec, &parsed, why))) {
        config->skipped++;
        return;
    }
    document_t *document = find_or_add(config, rec->kind, rec->name);
    if (document->revision >= rec->revision) {
        SkyDocument_FreeWorkspace(&parsed.workspace);
        return;
    }
    put_in_force(config, document, rec, &parsed, rec->revision, out);
}

static void
install_kind(sky_config_t *config, sky_config_kind_t kind, sky_actions_t *out)
{
    const kept_t *kept;
    DL_FOREACH(config->reading.restated, kept)
    {
        if (kept->record.u.config.kind == kind) {
            install(config, &kept->record.u.config, out);
        }
    }
}

/** All that a snapshot builds on has been read: judge what came after it. */
static void
complete_from_snapshot(sky_config_t *config, sky_actions_t *out)
{
    const kept_t *kept;
    install_kind(config, SKY_CONFIG_TEMPLATE, out);
    install_kind(config, SKY_CONFIG_WORKSPACE, out);
    DL_FOREACH(config->unjudged, kept)
    {
        if (kept->record.offset > config->reading.as_of) {
            apply_change(config, &kept->record, out);
        }
    }
    forget_kept(&config->unjudged);
    config->complete = true;
}

static void
begin_reading(sky_config_t *config, const sky_rec_config_t *rec)
{
    if (rec->generation == config->reading.generation) {
        return;
    }
    forget_kept(&config->reading.restated);
    memset(&config->reading, 0, sizeof config->reading);
    config->reading.generation = rec->generation;
    config->reading.as_of = rec->as_of;
}

/** Takes a part of a snapshot; its parts may come in any order. */
static void
apply_snapshot(sky_config_t *config, const sky_record_t *record,
               uint64_t now_us, sky_actions_t *out)
{
    const sky_rec_config_t *rec = &record->u.config;
    snapshot_t *reading = &config->reading;
    begin_reading(config, rec);
    if (record->kind == SKY_REC_SNAPSHOT) {
        reading->marked = true;
        reading->wanted = rec->revision;
    }
    else {
        reading->count++;
        if (!config->complete) {
            keep(&reading->restated, record);
        }
    }
    if (!reading->marked || reading->count < reading->wanted) {
        return;
    }
    config->snapshot_us = now_us - record->age_ms * US_PER_MS;
    if (!config->complete && reading->as_of + 1 >= config->start) {
        complete_from_snapshot(config, out);
    }
    forget_kept(&reading->restated);
}

void
SkyConfig_Apply(sky_config_t *config, const sky_record_t *record,
                uint64_t now_us, sky_actions_t *out)
{
    if (record->kind != SKY_REC_CONFIG) {
        apply_snapshot(config, record, now_us, out);
    }
    else if (config->complete) {
        apply_change(config, record, out);
    }
    else {
        keep(&config->unjudged, record);
    }
}

static void
append_part(const sky_config_t *config, sky_record_kind_t kind,
            const document_t *document, uint64_t nonce, sky_actions_t *out)
{
    sky_record_t record = {.kind = kind, .nonce = nonce};
    sky_rec_config_t *rec = &record.u.config;
    rec->generation = config->writing;
    rec->as_of = config->writing_as_of;
    rec->revision = config->to_write;
    if (document != NULL) {
        rec->kind = document->kind;
        rec->revision = document->revision;
        rec->body = document->body;
        snprintf(rec->name, SKY_NAME_BYTES, "%s", document->id + 2);
    }
    SkyRecord_Copy(&SkyActions_Add(out, SKY_ACT_APPEND)->u.append, &record);
}

static const document_t *
nth_document(const sky_config_t *config, uint64_t n)
{
    const document_t *document = config->documents;
    while (document != NULL && n-- > 0) {
        document = document->hh.next;
    }
    return document;
}

static void
write_parts(sky_config_t *config, uint64_t nonce, sky_actions_t *out)
{
    const document_t *document = nth_document(config, config->written);
    for (uint32_t i = 0; i < SNAPSHOT_BATCH && document != NULL &&
                         config->written < config->to_write;
         i++) {
        append_part(config, SKY_REC_CONFIG_RESTATE, document, nonce + 2 * i,
                    out);
        config->written++;
        document = document->hh.next;
    }
    if (config->written == config->to_write) {
        append_part(config, SKY_REC_SNAPSHOT, NULL, nonce + 1, out);
        config->writing = 0;
    }
}

void
SkyConfig_WriteSnapshot(sky_config_t *config, sky_offset_t as_of, double wait,
                        uint64_t nonce, uint64_t now_us, sky_actions_t *out)
{
    uint64_t every_us = config->retention_us / SNAPSHOTS_PER_RETENTION;
    every_us += (uint64_t)((double)every_us * wait);
    if (!config->complete) {
        return;
    }
    if (config->writing == 0) {
        if (now_us < config->snapshot_us + every_us ||
            now_us < config->begun_us + SNAPSHOT_RETRY_US) {
            return;
        }
        config->begun_us = now_us;
        config->writing = nonce;
        config->writing_as_of = as_of;
        config->written = 0;
        config->to_write = HASH_COUNT(config->documents);
    }
    write_parts(config, nonce, out);
}

bool
SkyConfig_IsComplete(const sky_config_t *config)
{
    return config->complete;
}

static sky_document_t
describe(const document_t *document)
{
    sky_document_t described = {document->kind, document->id + 2,
                                document->body, document->revision};
    return described;
}

bool
SkyConfig_Find(const sky_config_t *config, sky_config_kind_t kind,
               const char *name, sky_document_t *found)
{
    const document_t *document = find_document(config, kind, name);
    if (document == NULL || document->revision == 0) {
        return false;
    }
    *found = describe(document);
    return true;
}

static bool
resolve(const sky_config_t *config, const document_t *document,
        sky_opening_t *opening)
{
    if (document == NULL || document->revision == 0 ||
        document->kind != SKY_CONFIG_WORKSPACE) {
        return false;
    }
    const document_t *base = find_document(config, SKY_CONFIG_TEMPLATE,
                                           document->workspace.template_name);
    if (base == NULL) {
        return false;
    }
    opening->workspace = &document->workspace;
    opening->name = document->id + 2;
    opening->event =
        SkyDocument_Merge(&base->event, &document->workspace.event);
    return true;
}

bool
SkyConfig_FindWorkspace(const sky_config_t *config, const char *name,
                        sky_opening_t *opening)
{
    return resolve(config, find_document(config, SKY_CONFIG_WORKSPACE, name),
                   opening);
}

void
SkyConfig_ForEach(const sky_config_t *config,
                  void (*visit)(const sky_document_t *, void *), void *context)
{
    const document_t *document;
    for (document = config->documents; document != NULL;
         document = document->hh.next) {
        sky_document_t described = describe(document);
        if (document->revision != 0) {
            visit(&described, context);
        }
    }
}

void
SkyConfig_ForEachOpening(const sky_config_t *config,
                         void (*visit)(const sky_opening_t *, void *),
                         void *context)
{
    const document_t *document;
    sky_opening_t opening;
    for (document = config->documents; document != NULL;
         document = document->hh.next) {
        if (resolve(config, document, &opening)) {
            visit(&opening, context);
        }
    }
}

sky_offset_t
SkyConfig_Revision(const sky_config_t *config)
{
    return config->revision;
}

uint64_t
SkyConfig_SkippedCount(const sky_config_t *config)
{
    return config->skipped;
}
