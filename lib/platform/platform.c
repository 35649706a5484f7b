#include "platform/platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/http_call.h"
#include "platform/record_json.h"

#define PATH_BYTES 128
#define CONNECT_TIMEOUT_MS 1000
#define STATUS_OK 200
#define STATUS_CLIENT_ERROR 400
#define STATUS_REQUEST_TIMEOUT 408
#define STATUS_FENCED 412
#define STATUS_SERVER_ERROR 500
#define US_PER_MS 1000
#define FENCE_TEXT_BYTES 24
#define SERVICE_EPOCH 1 /* restarts of a plain service go unnoticed */

static sky_http_call_result_t
get_json(const char *address, const char *path, uint32_t timeout_ms,
         json_t **root)
{
    sky_http_call_t call = {.address = address, .method = "GET", .path = path};
    sky_http_call_response_t response;
    call.connect_timeout_ms = CONNECT_TIMEOUT_MS;
    call.read_timeout_ms = timeout_ms;
    *root = NULL;
    sky_http_call_result_t result = SkyHttpCall_Run(&call, &response);
    if (result == SKY_HTTP_CALL_RESPONDED && response.status == STATUS_OK) {
        *root = json_loads(response.body, 0, NULL);
    }
    free(response.body);
    return result;
}

/* ---- log ---- */

static void
decode_log_records(const json_t *list, sky_in_log_read_t *read)
{
    size_t count = json_array_size(list);
    read->records = calloc(count ? count : 1, sizeof *read->records);
    if (read->records == NULL) {
        read->ok = false;
        return;
    }
    for (size_t i = 0; i < count; i++) {
        const json_t *item = json_array_get(list, i);
        sky_record_t *record = &read->records[read->count];
        if (SkyResult_IsError(
                SkyRecordJson_Decode(json_object_get(item, "data"), record))) {
            continue;
        }
        record->offset =
            (sky_offset_t)json_integer_value(json_object_get(item, "offset"));
        record->age_ms =
            (uint64_t)json_integer_value(json_object_get(item, "age_ms"));
        read->count++;
    }
}

void
SkyPlatform_ReadLog(const char *address, sky_offset_t from,
                    uint32_t timeout_ms, sky_in_log_read_t *read)
{
    char path[PATH_BYTES];
    json_t *root;
    snprintf(path, sizeof path, "/log?from=%" PRIu64, from);
    get_json(address, path, timeout_ms, &root);
    read->ok = json_is_object(root);
    read->count = 0;
    read->records = NULL;
    if (read->ok) {
        read->oldest =
            (sky_offset_t)json_integer_value(json_object_get(root, "oldest"));
        read->next =
            (sky_offset_t)json_integer_value(json_object_get(root, "next"));
        read->reached_tail = json_is_true(json_object_get(root, "tail"));
        decode_log_records(json_object_get(root, "records"), read);
    }
    json_decref(root);
}

void
SkyPlatform_ClearLogRead(sky_in_log_read_t *read)
{
    for (uint32_t i = 0; i < read->count; i++) {
        SkyRecord_Clear(&read->records[i]);
    }
    free(read->records);
    read->records = NULL;
    read->count = 0;
}

sky_in_append_result_t
SkyPlatform_AppendRecord(const char *address, const sky_record_t *record,
                         uint32_t timeout_ms)
{
    sky_in_append_result_t append_result = {.nonce = record->nonce};
    json_t *data = SkyRecordJson_Encode(record);
    char *text = json_dumps(data, JSON_COMPACT);
    sky_http_call_t call = {.address = address, .method = "POST"};
    sky_http_call_response_t response;
    call.path = "/log";
    call.body = text;
    call.connect_timeout_ms = CONNECT_TIMEOUT_MS;
    call.read_timeout_ms = timeout_ms;
    sky_http_call_result_t result = SkyHttpCall_Run(&call, &response);
    append_result.known = result == SKY_HTTP_CALL_NOT_SENT;
    if (result == SKY_HTTP_CALL_RESPONDED &&
        response.status < STATUS_SERVER_ERROR) {
        json_t *root = json_loads(response.body, 0, NULL);
        append_result.known = true;
        append_result.offset =
            (sky_offset_t)json_integer_value(json_object_get(root, "offset"));
        json_decref(root);
    }
    free(response.body);
    free(text);
    json_decref(data);
    return append_result;
}

/* ---- host list ---- */

static bool
find_target_index(const sky_target_info_t *targets, uint32_t count,
                  const char *name, uint32_t *index)
{
    for (uint32_t i = 0; name != NULL && i < count; i++) {
        if (strcmp(targets[i].name, name) == 0) {
            *index = i;
            return true;
        }
    }
    return false;
}

uint32_t
SkyPlatform_ReadHosts(const char *address, const sky_target_info_t *targets,
                      uint32_t target_count, uint32_t timeout_ms,
                      sky_listed_target_t *states)
{
    json_t *root;
    uint32_t count = 0;
    get_json(address, "/hosts", timeout_ms, &root);
    const json_t *list = json_object_get(root, "hosts");
    for (size_t i = 0; i < json_array_size(list) && count < target_count;
         i++) {
        const json_t *item = json_array_get(list, i);
        const char *name = json_string_value(json_object_get(item, "name"));
        const char *state = json_string_value(json_object_get(item, "state"));
        if (find_target_index(targets, target_count, name,
                              &states[count].target)) {
            states[count].leaving = state && strcmp(state, "leaving") == 0;
            count++;
        }
    }
    json_decref(root);
    return count;
}

/* ---- targets ---- */

static uint64_t
get_uint64(const json_t *object, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(object, key));
}

static void
add_report_slot(const json_t *item, sky_report_t *report)
{
    const char *name = json_string_value(json_object_get(item, "model"));
    if (name == NULL || report->slot_count == SKY_ADAPTER_SLOTS_MAX) {
        return;
    }
    sky_report_slot_t *slot = &report->slots[report->slot_count++];
    slot->adapter = SkyName_Hash(name);
    slot->running = (uint32_t)get_uint64(item, "running");
    slot->loading = json_is_true(json_object_get(item, "loading"));
}

/** A plain service has no report: it is up if it responds, with any status. */
static bool
probe_service(const sky_target_info_t *target, uint32_t timeout_ms,
              sky_report_t *report)
{
    json_t *root;
    sky_http_call_result_t result =
        get_json(target->address, "/healthz", timeout_ms, &root);
    json_decref(root);
    report->epoch = SERVICE_EPOCH;
    return result == SKY_HTTP_CALL_RESPONDED;
}

bool
SkyPlatform_ReadReport(const sky_target_info_t *target, uint32_t timeout_ms,
                       sky_report_t *report)
{
    json_t *root;
    memset(report, 0, sizeof *report);
    if (target->slots == 0) {
        return probe_service(target, timeout_ms, report);
    }
    get_json(target->address, "/report", timeout_ms, &root);
    if (!json_is_object(root)) {
        json_decref(root);
        return false;
    }
    const json_t *list = json_object_get(root, "slots");
    report->epoch = get_uint64(root, "epoch");
    report->age_us = get_uint64(root, "age_ms") * US_PER_MS;
    report->running = (uint32_t)get_uint64(root, "running");
    for (size_t i = 0; i < json_array_size(list); i++) {
        add_report_slot(json_array_get(list, i), report);
    }
    json_decref(root);
    return true;
}

static char *
encode_order_body(const char *adapter_name, const char *store_address)
{
    json_t *root = json_object();
    json_object_set_new(root, "lora_name", json_string(adapter_name));
    json_object_set_new(root, "lora_path", json_string(store_address));
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static sky_order_result_t
to_order_result(sky_http_call_result_t result, uint32_t status)
{
    if (result == SKY_HTTP_CALL_NOT_SENT) {
        return SKY_ORDER_RESULT_FAILED;
    }
    if (result == SKY_HTTP_CALL_UNKNOWN) {
        return SKY_ORDER_RESULT_UNKNOWN;
    }
    if (status == STATUS_OK) {
        return SKY_ORDER_RESULT_DONE;
    }
    if (status == STATUS_FENCED) {
        return SKY_ORDER_RESULT_FENCED;
    }
    /* Only these say that nothing was done. A server error may come after the
     * order was carried out, or from something between host and engine. */
    bool is_rejected = status >= STATUS_CLIENT_ERROR &&
                       status < STATUS_SERVER_ERROR &&
                       status != STATUS_REQUEST_TIMEOUT;
    return is_rejected ? SKY_ORDER_RESULT_FAILED : SKY_ORDER_RESULT_UNKNOWN;
}

sky_order_result_t
SkyPlatform_SendOrder(const sky_target_info_t *target,
                      const sky_order_t *order, const char *adapter_name,
                      const char *store_address, uint32_t timeout_ms)
{
    char fence[FENCE_TEXT_BYTES];
    char *body = encode_order_body(adapter_name, store_address);
    sky_http_call_t call = {.address = target->address, .method = "POST"};
    sky_http_call_response_t response;
    snprintf(fence, sizeof fence, "%" PRIu64, order->fence);
    call.path = order->kind == SKY_ORDER_LOAD ? "/v1/load_lora_adapter"
                                              : "/v1/unload_lora_adapter";
    call.body = body;
    call.header_name = "X-Fencing-Number";
    call.header_value = fence;
    call.expires_us = order->expires_us;
    call.connect_timeout_ms = CONNECT_TIMEOUT_MS;
    call.read_timeout_ms = timeout_ms;
    sky_http_call_result_t result = SkyHttpCall_Run(&call, &response);
    free(response.body);
    free(body);
    return to_order_result(result, response.status);
}
