#include "platform/record_json.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEX_TEXT_BYTES 17

/* Unsigned 64-bit ids exceed the signed integers of JSON libraries, so they
 * are encoded as hexadecimal strings. */

static void
set_hex(json_t *object, const char *key, uint64_t value)
{
    char text[HEX_TEXT_BYTES];
    snprintf(text, sizeof text, "%016" PRIx64, value);
    json_object_set_new(object, key, json_string(text));
}

static uint64_t
parse_hex(const json_t *value)
{
    const char *text = json_string_value(value);
    return text ? strtoull(text, NULL, 16) : 0;
}

static uint64_t
get_hex(const json_t *object, const char *key)
{
    return parse_hex(json_object_get(object, key));
}

static void
set_number(json_t *object, const char *key, uint64_t value)
{
    json_object_set_new(object, key, json_integer((json_int_t)value));
}

static uint64_t
get_number(const json_t *object, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(object, key));
}

static void
get_text(const json_t *object, const char *key, char *text, size_t size)
{
    const char *value = json_string_value(json_object_get(object, key));
    snprintf(text, size, "%s", value ? value : "");
}

static void
encode_member(json_t *object, const sky_rec_member_t *member)
{
    set_hex(object, "host", member->host);
    set_number(object, "incarnation", member->incarnation);
    set_number(object, "as_of", member->as_of);
    set_number(object, "view", member->view);
    set_number(object, "domain", member->domain);
    set_number(object, "draining", member->draining);
    set_number(object, "bootstrap", member->bootstrap);
    set_number(object, "sponsor", member->sponsor);
    json_object_set_new(object, "name", json_string(member->name));
    json_object_set_new(object, "address", json_string(member->address));
    json_object_set_new(object, "listen", json_string(member->listen));
}

static void
decode_member(const json_t *object, sky_rec_member_t *member)
{
    member->host = get_hex(object, "host");
    member->incarnation = get_number(object, "incarnation");
    member->as_of = get_number(object, "as_of");
    member->view = get_number(object, "view");
    member->domain = (uint32_t)get_number(object, "domain");
    member->draining = (uint32_t)get_number(object, "draining");
    member->bootstrap = (uint32_t)get_number(object, "bootstrap");
    member->sponsor = get_number(object, "sponsor");
    get_text(object, "name", member->name, sizeof member->name);
    get_text(object, "address", member->address, sizeof member->address);
    get_text(object, "listen", member->listen, sizeof member->listen);
}

static void
encode_claims(json_t *object, const sky_rec_claims_t *claims)
{
    json_t *list = json_array();
    for (uint32_t i = 0; i < claims->count; i++) {
        json_t *claim = json_object();
        set_hex(claim, "high", claims->keys[i].high);
        set_hex(claim, "low", claims->keys[i].low);
        set_hex(claim, "request", claims->requests[i]);
        json_array_append_new(list, claim);
    }
    json_object_set_new(object, "claims", list);
}

static sky_result_t
decode_claims(const json_t *object, sky_rec_claims_t *claims)
{
    const json_t *list = json_object_get(object, "claims");
    size_t count = json_array_size(list);
    if (count > SKY_CLAIMS_PER_RECORD_MAX) {
        return SKY_E_BAD_REQUEST;
    }
    claims->count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        const json_t *claim = json_array_get(list, i);
        claims->keys[i].high = get_hex(claim, "high");
        claims->keys[i].low = get_hex(claim, "low");
        claims->requests[i] = get_hex(claim, "request");
    }
    return SKY_OK;
}

static void
encode_config(json_t *object, const sky_rec_config_t *config)
{
    set_number(object, "document", (uint64_t)config->kind);
    set_number(object, "base", config->base);
    set_number(object, "revision", config->revision);
    set_number(object, "as_of", config->as_of);
    set_hex(object, "generation", config->generation);
    json_object_set_new(object, "name", json_string(config->name));
    json_object_set_new(object, "body",
                        json_string(config->body ? config->body : ""));
}

static sky_result_t
decode_config(const json_t *object, sky_record_kind_t record_kind,
              sky_rec_config_t *config)
{
    const char *body = json_string_value(json_object_get(object, "body"));
    uint64_t kind = get_number(object, "document");
    bool is_document =
        kind == SKY_CONFIG_TEMPLATE || kind == SKY_CONFIG_WORKSPACE;
    if (body == NULL ||
        (!is_document && record_kind != SKY_REC_CONFIG_SNAPSHOT)) {
        return SKY_E_BAD_REQUEST;
    }
    config->kind = (sky_config_kind_t)kind;
    config->base = get_number(object, "base");
    config->revision = get_number(object, "revision");
    config->as_of = get_number(object, "as_of");
    config->generation = get_hex(object, "generation");
    get_text(object, "name", config->name, sizeof config->name);
    config->body = strdup(body);
    return config->body ? SKY_OK : SKY_E_MEMORY;
}

json_t *
SkyRecordJson_Encode(const sky_record_t *record)
{
    json_t *object = json_object();
    set_number(object, "kind", (uint64_t)record->kind);
    set_hex(object, "nonce", record->nonce);
    switch (record->kind) {
    case SKY_REC_JOIN:
    case SKY_REC_DRAIN:
    case SKY_REC_REMOVE:
    case SKY_REC_MEMBER_RESTATE:
        encode_member(object, &record->u.member);
        break;
    case SKY_REC_CLAIMS:
    case SKY_REC_CLAIM_RELEASE:
        encode_claims(object, &record->u.claims);
        break;
    case SKY_REC_CRASH_SUSPECTED:
    case SKY_REC_CRASH_CONFIRMED:
        set_hex(object, "fingerprint", record->u.crash.fingerprint);
        set_hex(object, "epoch", record->u.crash.epoch);
        set_number(object, "target", record->u.crash.target);
        break;
    case SKY_REC_CONFIG:
    case SKY_REC_CONFIG_RESTATE:
    case SKY_REC_CONFIG_SNAPSHOT:
        encode_config(object, &record->u.config);
        break;
    }
    return object;
}

sky_result_t
SkyRecordJson_Decode(const json_t *data, sky_record_t *record)
{
    memset(record, 0, sizeof *record);
    record->kind = (sky_record_kind_t)get_number(data, "kind");
    record->nonce = get_hex(data, "nonce");
    switch (record->kind) {
    case SKY_REC_JOIN:
    case SKY_REC_DRAIN:
    case SKY_REC_REMOVE:
    case SKY_REC_MEMBER_RESTATE:
        decode_member(data, &record->u.member);
        return record->u.member.host ? SKY_OK : SKY_E_BAD_REQUEST;
    case SKY_REC_CLAIMS:
    case SKY_REC_CLAIM_RELEASE:
        return decode_claims(data, &record->u.claims);
    case SKY_REC_CRASH_SUSPECTED:
    case SKY_REC_CRASH_CONFIRMED:
        record->u.crash.fingerprint = get_hex(data, "fingerprint");
        record->u.crash.epoch = get_hex(data, "epoch");
        record->u.crash.target = (uint32_t)get_number(data, "target");
        return SKY_OK;
    case SKY_REC_CONFIG:
    case SKY_REC_CONFIG_RESTATE:
    case SKY_REC_CONFIG_SNAPSHOT:
        return decode_config(data, record->kind, &record->u.config);
    }
    return SKY_E_BAD_REQUEST;
}
