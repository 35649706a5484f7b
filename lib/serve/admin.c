#include "serve/admin.h"

#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/status.h"

#define BEARER "Bearer "
#define BEARER_BYTES 7
#define CHANGE_WAIT_MS 12000

/** Compares hashes, so that neither length nor content shows in the time. */
static bool
is_operator(const sky_control_t *control, const char *header)
{
    const char *key = SkyControl_Settings(control)->operator_key;
    char given[SKY_CREDENTIAL_HASH_BYTES];
    char wanted[SKY_CREDENTIAL_HASH_BYTES];
    if (header == NULL || strncmp(header, BEARER, BEARER_BYTES) != 0) {
        return false;
    }
    SkyView_HashSecret(header + BEARER_BYTES, given);
    SkyView_HashSecret(key, wanted);
    return sodium_memcmp(given, wanted, sizeof given) == 0;
}

static sky_result_t
kind_of(const char *text, sky_config_kind_t *kind)
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
dump(json_t *root)
{
    char *text = json_dumps(root, JSON_INDENT(2));
    json_decref(root);
    return text;
}

/* ---- change ---- */

static sky_result_t
read_change(const json_t *root, sky_rec_config_t *config)
{
    const char *name = json_string_value(json_object_get(root, "name"));
    const json_t *body = json_object_get(root, "body");
    sky_result_t result = kind_of(
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

static sky_result_t
wait_for_change(sky_control_t *control, sky_rec_config_t *config,
                sky_act_change_result_t *change_result)
{
    sky_input_t input = {.kind = SKY_IN_CONFIG_CHANGE};
    sky_exchange_t *exchange =
        SkyExchanges_Open(SkyControl_Exchanges(control));
    if (exchange == NULL) {
        free(config->body);
        return SKY_E_MEMORY;
    }
    input.u.change.token = SkyExchange_Id(exchange);
    input.u.change.config = *config;
    SkyControl_Post(control, &input);
    sky_decision_t decision = SkyExchange_Wait(exchange, CHANGE_WAIT_MS);
    SkyExchanges_Close(SkyControl_Exchanges(control), exchange);
    if (decision.kind != SKY_DECIDED_CHANGED) {
        return SKY_E_UNKNOWN;
    }
    *change_result = decision.change_result;
    return change_result->code;
}

static sky_result_t
change(sky_control_t *control, const sky_admin_call_t *call, char **answer)
{
    sky_rec_config_t config = {0};
    sky_act_change_result_t change_result = {0};
    json_t *root =
        json_loadb(call->body, call->body_size, JSON_REJECT_DUPLICATES, NULL);
    sky_result_t result = read_change(root, &config);
    json_decref(root);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = wait_for_change(control, &config, &change_result);
    *answer =
        dump(json_pack("{s:s, s:s, s:I}", "code", SkyResult_Symbol(result),
                       "text", SkyResult_Text(result), "revision",
                       (json_int_t)change_result.revision));
    return result;
}

/* ---- show ---- */

typedef struct {
    const sky_admin_call_t *call;
    json_t *list;
    sky_result_t result;
} show_t;

static void
add_document(const sky_document_t *document, void *opaque)
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
    json_array_append_new(opaque, item);
}

static void
show_on_control(sky_node_t *node, void *opaque)
{
    show_t *show = opaque;
    const sky_config_t *config = SkyNode_Config(node);
    sky_document_t document;
    sky_config_kind_t kind;
    if (show->call->name == NULL) {
        SkyConfig_ForEachDocument(config, add_document, show->list);
        return;
    }
    show->result = kind_of(show->call->kind, &kind);
    if (SkyResult_IsError(show->result)) {
        return;
    }
    if (!SkyConfig_FindDocument(config, kind, show->call->name, &document)) {
        show->result = SKY_E_NOT_FOUND;
        return;
    }
    add_document(&document, show->list);
}

static sky_result_t
show(sky_control_t *control, const sky_admin_call_t *call, char **answer)
{
    show_t context = {call, json_array(), SKY_OK};
    SkyControl_Call(control, show_on_control, &context);
    if (SkyResult_IsError(context.result)) {
        json_decref(context.list);
        return context.result;
    }
    *answer = dump(context.list);
    return SKY_OK;
}

sky_result_t
SkyAdmin_Run(sky_control_t *control, const sky_admin_call_t *call,
             char **answer)
{
    bool is_post = strcmp(call->method, "POST") == 0;
    if (!is_operator(control, call->authorization)) {
        return SKY_E_UNAUTHORIZED;
    }
    if (strcmp(call->path, "/admin/config") == 0) {
        return is_post ? change(control, call, answer)
                       : show(control, call, answer);
    }
    if (strcmp(call->path, "/admin/status") == 0 && !is_post) {
        *answer = dump(SkyStatus_Json(control));
        return SKY_OK;
    }
    if (strcmp(call->path, "/admin/histogram") == 0 && call->name != NULL) {
        json_t *histogram = SkyStatus_Histogram(control, call->name);
        if (histogram == NULL) {
            return SKY_E_NOT_FOUND;
        }
        *answer = dump(histogram);
        return SKY_OK;
    }
    if (strcmp(call->path, "/admin/drain") == 0 && is_post) {
        call->drain(call->context);
        *answer = strdup("{\"draining\": true}\n");
        return SKY_OK;
    }
    return SKY_E_NOT_FOUND;
}
