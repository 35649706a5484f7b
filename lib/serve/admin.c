#include "serve/admin.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/status.h"

#define BEARER_PREFIX "Bearer "
#define BEARER_PREFIX_BYTES 7
#define CHANGE_TIMEOUT_MS 12000

/** Compares hashes in constant time, so that the time taken reveals neither
 *  the length nor the content of the key. */
static bool
has_operator_key(const sky_control_t *control, const char *header)
{
    const char *key = SkyControl_Settings(control)->operator_key;
    char given_hash[SKY_CREDENTIAL_HASH_BYTES];
    char expected_hash[SKY_CREDENTIAL_HASH_BYTES];
    if (header == NULL ||
        strncmp(header, BEARER_PREFIX, BEARER_PREFIX_BYTES) != 0) {
        return false;
    }
    SkyCredential_HashSecret(header + BEARER_PREFIX_BYTES, given_hash);
    SkyCredential_HashSecret(key, expected_hash);
    return sodium_memcmp(given_hash, expected_hash, sizeof given_hash) == 0;
}

static sky_result_t
parse_kind(const char *text, sky_config_kind_t *kind)
{
    if (text != NULL && strcmp(text, "template") == 0) {
        *kind = SKY_CONFIG_TEMPLATE;
        return SKY_OK;
    }
    if (text != NULL && strcmp(text, "workspace") == 0) {
        *kind = SKY_CONFIG_WORKSPACE;
        return SKY_OK;
    }
    return SKY_E_BAD_REQUEST;
}

static char *
encode_and_release(json_t *root)
{
    char *text = json_dumps(root, JSON_INDENT(2));
    json_decref(root);
    return text;
}

/* ---- changes of the configuration ---- */

static sky_result_t
parse_change(const json_t *root, sky_rec_config_t *config)
{
    const char *name = json_string_value(json_object_get(root, "name"));
    const json_t *body = json_object_get(root, "body");
    sky_result_t result = parse_kind(
        json_string_value(json_object_get(root, "kind")), &config->kind);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (name == NULL || name[0] == '\0' || strlen(name) >= SKY_NAME_BYTES ||
        !json_is_object(body)) {
        return SKY_E_BAD_REQUEST;
    }
    strcpy(config->name, name);
    config->base =
        (sky_offset_t)json_integer_value(json_object_get(root, "base"));
    config->body = json_dumps(body, JSON_COMPACT);
    return config->body ? SKY_OK : SKY_E_MEMORY;
}

/** Posts a change to the control thread and waits for its result. */
static sky_result_t
submit_change(sky_control_t *control, sky_rec_config_t *config,
              sky_act_change_result_t *change_result)
{
    sky_input_t input = {.kind = SKY_IN_CONFIG_CHANGE};
    sky_waiter_t *waiter = SkyWaiters_Register(SkyControl_Waiters(control));
    if (waiter == NULL) {
        free(config->body);
        return SKY_E_MEMORY;
    }
    input.u.change.token = SkyWaiter_Id(waiter);
    input.u.change.config = *config;
    SkyControl_PostInput(control, &input);
    sky_decision_t decision =
        SkyWaiter_WaitForDecision(waiter, CHANGE_TIMEOUT_MS);
    SkyWaiters_Unregister(SkyControl_Waiters(control), waiter);
    if (decision.kind != SKY_DECISION_CHANGE_RESULT) {
        return SKY_E_UNKNOWN;
    }
    *change_result = decision.change_result;
    return change_result->code;
}

static sky_result_t
handle_change(sky_control_t *control, const sky_admin_request_t *request,
              char **response)
{
    sky_rec_config_t config = {0};
    sky_act_change_result_t change_result = {0};
    json_t *root = json_loadb(request->body, request->body_size,
                              JSON_REJECT_DUPLICATES, NULL);
    sky_result_t result = parse_change(root, &config);
    json_decref(root);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = submit_change(control, &config, &change_result);
    *response = encode_and_release(
        json_pack("{s:s, s:s, s:I}", "code", SkyResult_Symbol(result), "text",
                  SkyResult_Text(result), "revision",
                  (json_int_t)change_result.revision));
    return result;
}

/* ---- queries of the configuration ---- */

typedef struct {
    const sky_admin_request_t *request;
    json_t *documents;
    sky_result_t result;
} document_query_t;

static void
add_document(const sky_document_t *document, void *context)
{
    json_t *item = json_object();
    json_object_set_new(item, "kind",
                        json_string(document->kind == SKY_CONFIG_TEMPLATE
                                        ? "template"
                                        : "workspace"));
    json_object_set_new(item, "name", json_string(document->name));
    json_object_set_new(item, "revision",
                        json_integer((json_int_t)document->revision));
    json_object_set_new(item, "body", json_loads(document->body, 0, NULL));
    json_array_append_new(context, item);
}

static void
collect_documents(sky_node_t *node, void *context)
{
    document_query_t *query = context;
    const sky_config_t *config = SkyNode_Config(node);
    sky_document_t document;
    sky_config_kind_t kind;
    if (query->request->name == NULL) {
        SkyConfig_ForEachDocument(config, add_document, query->documents);
        return;
    }
    query->result = parse_kind(query->request->kind, &kind);
    if (SkyResult_IsError(query->result)) {
        return;
    }
    if (!SkyConfig_FindDocument(config, kind, query->request->name,
                                &document)) {
        query->result = SKY_E_NOT_FOUND;
        return;
    }
    add_document(&document, query->documents);
}

static sky_result_t
handle_query(sky_control_t *control, const sky_admin_request_t *request,
             char **response)
{
    document_query_t query = {request, json_array(), SKY_OK};
    SkyControl_RunOnThread(control, collect_documents, &query);
    if (SkyResult_IsError(query.result)) {
        json_decref(query.documents);
        return query.result;
    }
    *response = encode_and_release(query.documents);
    return SKY_OK;
}

sky_result_t
SkyAdmin_HandleRequest(sky_control_t *control,
                       const sky_admin_request_t *request, char **response)
{
    bool is_post = strcmp(request->method, "POST") == 0;
    if (!has_operator_key(control, request->authorization)) {
        return SKY_E_UNAUTHORIZED;
    }
    if (strcmp(request->path, "/admin/config") == 0) {
        return is_post ? handle_change(control, request, response)
                       : handle_query(control, request, response);
    }
    if (strcmp(request->path, "/admin/status") == 0 && !is_post) {
        *response = encode_and_release(SkyStatus_CreateJson(control));
        return SKY_OK;
    }
    if (strcmp(request->path, "/admin/histogram") == 0 &&
        request->name != NULL) {
        json_t *histogram =
            SkyStatus_CreateHistogramJson(control, request->name);
        if (histogram == NULL) {
            return SKY_E_NOT_FOUND;
        }
        *response = encode_and_release(histogram);
        return SKY_OK;
    }
    if (strcmp(request->path, "/admin/drain") == 0 && is_post) {
        request->drain(request->context);
        *response = strdup("{\"draining\": true}\n");
        return SKY_OK;
    }
    return SKY_E_NOT_FOUND;
}
