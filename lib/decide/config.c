#include "decide/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "core/invariant.h"

#define CHANGE_WAIT_US UINT64_C(10000000)
#define RESTATE_BATCH 16

typedef struct document {
    char id[SKY_NAME_BYTES + 2]; /* kind, ':' and name */
    sky_config_kind_t kind;
    char *body;
    sky_offset_t revision;
    bool unverified;
    uint64_t stated_us; /* time at which its newest record was appended */
    sky_event_t event;  /* of a template */
    sky_workspace_t workspace;
    UT_hash_handle hh;
} document_t;

typedef struct change {
    uint64_t nonce;
    uint64_t token;
    uint64_t expires_us;
    UT_hash_handle hh;
} change_t;

struct sky_config {
    uint64_t retention_us;
    sky_offset_t start;
    sky_offset_t revision;
    uint64_t skipped;
    uint32_t unverified;
    document_t *documents;
    change_t *changes;
};

sky_config_t *
SkyConfig_Create(uint64_t retention_us)
{
    sky_config_t *config = calloc(1, sizeof *config);
    if (config != NULL) {
        config->retention_us = retention_us;
    }
    return config;
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
    free(config);
}

void
SkyConfig_NoteStart(sky_config_t *config, sky_offset_t oldest)
{
    if (config->start == 0) {
        config->start = oldest;
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
    document->unverified = false;
    if (revision > config->revision) {
        config->revision = revision;
    }
    sky_action_t *action = SkyActions_Add(out, SKY_ACT_CONFIG);
    action->u.config.kind = rec->kind;
    action->u.config.revision = revision;
    memcpy(action->u.config.name, rec->name, SKY_NAME_BYTES);
}

static void
apply_change(sky_config_t *config, const sky_record_t *record, uint64_t now_us,
             sky_actions_t *out)
{
    const sky_rec_config_t *rec = &record->u.config;
    sky_offset_t revision = current_revision(config, rec);
    char why[SKY_NAME_BYTES];
    document_t parsed = {0};
    if (rec->base != revision) {
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
    document->stated_us = now_us - record->age_ms * 1000;
    put_in_force(config, document, rec, &parsed, record->offset, out);
    finish_change(config, record, SKY_OK, record->offset, out);
}

/** Counts only where all records after `as_of` have been read. */
static void
apply_restated(sky_config_t *config, const sky_record_t *record,
               uint64_t now_us, sky_actions_t *out)
{
    const sky_rec_config_t *rec = &record->u.config;
    document_t *document = find_or_add(config, rec->kind, rec->name);
    char why[SKY_NAME_BYTES];
    document_t parsed = {0};
    if (document->revision == rec->revision) {
        document->stated_us = now_us - record->age_ms * 1000;
    }
    if (document->revision >= rec->revision) {
        return;
    }
    if (rec->as_of + 1 < config->start) {
        document->unverified = true;
        return;
    }
    if (SkyResult_IsError(parse_body(config, rec, &parsed, why))) {
        document->unverified = true;
        return;
    }
    document->stated_us = now_us - record->age_ms * 1000;
    put_in_force(config, document, rec, &parsed, rec->revision, out);
}

void
SkyConfig_Apply(sky_config_t *config, const sky_record_t *record,
                uint64_t now_us, sky_actions_t *out)
{
    if (record->kind == SKY_REC_CONFIG) {
        apply_change(config, record, now_us, out);
    }
    else {
        apply_restated(config, record, now_us, out);
    }
}

void
SkyConfig_Restate(sky_config_t *config, sky_offset_t as_of, uint64_t nonce,
                  uint64_t now_us, sky_actions_t *out)
{
    const document_t *document;
    uint32_t sent = 0;
    for (document = config->documents;
         document != NULL && sent < RESTATE_BATCH;
         document = document->hh.next) {
        if (document->revision == 0 ||
            now_us < document->stated_us + config->retention_us / 2) {
            continue;
        }
        sky_record_t record = {.kind = SKY_REC_CONFIG_RESTATE};
        record.nonce = nonce + 2 * sent++;
        record.u.config.kind = document->kind;
        record.u.config.revision = document->revision;
        record.u.config.as_of = as_of;
        record.u.config.body = document->body;
        snprintf(record.u.config.name, SKY_NAME_BYTES, "%s", document->id + 2);
        SkyRecord_Copy(&SkyActions_Add(out, SKY_ACT_APPEND)->u.append,
                       &record);
    }
}

bool
SkyConfig_IsComplete(const sky_config_t *config)
{
    const document_t *document;
    for (document = config->documents; document != NULL;
         document = document->hh.next) {
        if (document->unverified) {
            return false;
        }
    }
    return true;
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
