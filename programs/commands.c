#include "edge/edge.h"
#include "platform/settings.h"
#include "programs/commands.h"

#include <inttypes.h>
#include <jansson.h>
#include <limits.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/http_call.h"
#include "serve/server.h"
#include "serve/workspace_table.h"

#define PATH_BYTES 256
#define REQUEST_TIMEOUT_MS 15000
#define MAX_BAR_CHARS 50
#define AUTHORIZATION_BYTES 300

/* ---- serve and check ---- */

static sky_result_t
load_settings(const sky_arguments_t *arguments, sky_settings_t *settings)
{
    char error[SKY_ERROR_TEXT_BYTES];
    if (arguments->settings_path == NULL) {
        fprintf(stderr, "skylarkspar: missing argument SETTINGS\n");
        return SKY_E_USAGE;
    }
    sky_result_t result =
        SkySettings_Load(arguments->settings_path, settings, error);
    if (SkyResult_IsError(result)) {
        fprintf(stderr, "skylarkspar: %s\n", error);
    }
    return result;
}

sky_result_t
SkyCommand_ServeHost(const sky_arguments_t *arguments)
{
    sky_settings_t settings;
    sky_result_t result = load_settings(arguments, &settings);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = SkyServer_Run(&settings);
    SkySettings_Clear(&settings);
    return result;
}

sky_result_t
SkyCommand_ServeEdge(const sky_arguments_t *arguments)
{
    const char *path = arguments->settings_path ? arguments->settings_path
                                                : SkyHostSettings_GetPath();
    if (path == NULL) {
        fprintf(stderr, "skylarkspar: missing argument SETTINGS, and the "
                        "environment names no settings file\n");
        return SKY_E_USAGE;
    }
    return SkyEdge_Run(path);
}

static void
print_line(const char *line, void *context)
{
    (void)context;
    puts(line);
}

sky_result_t
SkyCommand_CheckSettings(const sky_arguments_t *arguments)
{
    sky_settings_t settings;
    if (arguments->prints_settings_table) {
        SkySettings_PrintTable(print_line, NULL);
        return SKY_OK;
    }
    sky_result_t result = load_settings(arguments, &settings);
    if (!SkyResult_IsError(result)) {
        printf("%s: ok, %u targets\n", arguments->settings_path,
               settings.target_count);
        SkySettings_Clear(&settings);
    }
    return result;
}

/* ---- requests to a host ---- */

/** Sends a request with the operators' key.
 *  @return the JSON of the host's response, or NULL with @p result set. */
static json_t *
request_host(const sky_arguments_t *arguments, const char *method,
             const char *path, const char *body, sky_result_t *result)
{
    char authorization[AUTHORIZATION_BYTES];
    sky_http_call_t request = {.address = arguments->host_address,
                               .method = method};
    sky_http_call_response_t response;
    if (arguments->host_address == NULL || arguments->operator_key == NULL) {
        fprintf(stderr,
                "skylarkspar: --host and the operators' key are required\n");
        *result = SKY_E_USAGE;
        return NULL;
    }
    snprintf(authorization, sizeof authorization, "Bearer %s",
             arguments->operator_key);
    request.path = path;
    request.body = body;
    request.header_name = "Authorization";
    request.header_value = authorization;
    request.connect_timeout_ms = REQUEST_TIMEOUT_MS;
    request.read_timeout_ms = REQUEST_TIMEOUT_MS;
    if (SkyHttpCall_Run(&request, &response) != SKY_HTTP_CALL_RESPONDED) {
        fprintf(stderr, "skylarkspar: no response from %s\n",
                arguments->host_address);
        *result = SKY_E_IO;
        return NULL;
    }
    json_t *root = json_loads(response.body, 0, NULL);
    free(response.body);
    *result = root != NULL ? SKY_OK : SKY_E_IO;
    return root;
}

/** Prints the error that a response reports, if any.
 *  @return its code; SKY_OK if the response reports no error. */
static sky_result_t
report_response_error(const json_t *root)
{
    const json_t *error = json_object_get(root, "error");
    if (error == NULL) {
        return SKY_OK;
    }
    fprintf(stderr, "skylarkspar: %s: %s\n",
            json_string_value(json_object_get(error, "code")),
            json_string_value(json_object_get(error, "message")));
    return (sky_result_t)json_integer_value(json_object_get(error, "number"));
}

static void
print_json(const json_t *root)
{
    json_dumpf(root, stdout, JSON_INDENT(2));
    putchar('\n');
}

/* ---- publish and amend ---- */

/** Replaces the caller's secret in a workspace by its hash, so that the secret
 *  itself is never sent. */
static sky_result_t
replace_secret_by_hash(json_t *body)
{
    char credential[SKY_CREDENTIAL_HASH_BYTES];
    const char *secret = json_string_value(json_object_get(body, "secret"));
    if (secret == NULL) {
        return SKY_OK;
    }
    if (sodium_init() < 0) {
        return SKY_E_IO;
    }
    SkyCredential_HashSecret(secret, credential);
    json_object_set_new(body, "credential", json_string(credential));
    json_object_del(body, "secret");
    return SKY_OK;
}

static sky_result_t
load_document(const sky_arguments_t *arguments, json_t **body)
{
    char error[SKY_ERROR_TEXT_BYTES];
    char *text = NULL;
    if (arguments->document_kind == NULL || arguments->document_name == NULL ||
        arguments->document_path == NULL) {
        fprintf(stderr, "skylarkspar: missing argument KIND, NAME or FILE\n");
        return SKY_E_USAGE;
    }
    sky_result_t result =
        SkyToml_ReadAsJson(arguments->document_path, &text, error);
    if (SkyResult_IsError(result)) {
        fprintf(stderr, "skylarkspar: %s\n", error);
        return result;
    }
    *body = json_loads(text, 0, NULL);
    free(text);
    return replace_secret_by_hash(*body);
}

static sky_result_t
send_document(const sky_arguments_t *arguments, int64_t base)
{
    json_t *body = NULL;
    sky_result_t result = load_document(arguments, &body);
    if (SkyResult_IsError(result)) {
        json_decref(body);
        return result;
    }
    json_t *change = json_pack(
        "{s:s, s:s, s:I, s:o}", "kind", arguments->document_kind, "name",
        arguments->document_name, "base", (json_int_t)base, "body", body);
    char *text = json_dumps(change, JSON_COMPACT);
    if (isatty(STDERR_FILENO)) {
        fprintf(stderr,
                "waiting until the host has read the change back from the "
                "log...\n");
    }
    json_t *response =
        request_host(arguments, "POST", "/admin/config", text, &result);
    free(text);
    json_decref(change);
    if (response == NULL) {
        return result;
    }
    result = report_response_error(response);
    const char *code = json_string_value(json_object_get(response, "code"));
    if (code != NULL) {
        printf("%s revision=%lld\n", code,
               (long long)json_integer_value(
                   json_object_get(response, "revision")));
        if (strcmp(code, "SKY_OK") != 0) {
            fprintf(stderr, "skylarkspar: %s\n",
                    json_string_value(json_object_get(response, "text")));
            result = strcmp(code, "SKY_E_CONFLICT") == 0 ? SKY_E_CONFLICT
                                                         : SKY_E_BAD_CONFIG;
        }
    }
    json_decref(response);
    return result;
}

sky_result_t
SkyCommand_PublishDocument(const sky_arguments_t *arguments)
{
    return send_document(arguments, 0);
}

static json_t *
fetch_documents(const sky_arguments_t *arguments, sky_result_t *result)
{
    char path[PATH_BYTES] = "/admin/config";
    if (arguments->document_name != NULL) {
        snprintf(path, sizeof path, "/admin/config?kind=%s&name=%s",
                 arguments->document_kind, arguments->document_name);
    }
    json_t *response = request_host(arguments, "GET", path, NULL, result);
    if (response != NULL) {
        *result = report_response_error(response);
    }
    return response;
}

sky_result_t
SkyCommand_AmendDocument(const sky_arguments_t *arguments)
{
    sky_result_t result;
    if (arguments->base_revision >= 0) {
        return send_document(arguments, arguments->base_revision);
    }
    json_t *documents = fetch_documents(arguments, &result);
    int64_t base = json_integer_value(
        json_object_get(json_array_get(documents, 0), "revision"));
    json_decref(documents);
    return SkyResult_IsError(result) ? result : send_document(arguments, base);
}

sky_result_t
SkyCommand_ShowDocuments(const sky_arguments_t *arguments)
{
    sky_result_t result;
    json_t *documents = fetch_documents(arguments, &result);
    if (documents != NULL && !SkyResult_IsError(result)) {
        print_json(documents);
    }
    json_decref(documents);
    return result;
}

/* ---- status ---- */

static const char *
get_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text ? text : "-";
}

static long long
get_number(const json_t *object, const char *key)
{
    return (long long)json_integer_value(json_object_get(object, key));
}

/** Adds to each member the revision and lease that it reports itself; a member
 *  that does not respond gets neither. */
static void
fetch_member_states(const sky_arguments_t *arguments, json_t *root)
{
    size_t index;
    json_t *member;
    json_array_foreach(json_object_get(root, "members"), index, member)
    {
        sky_arguments_t member_arguments = *arguments;
        sky_result_t result;
        member_arguments.host_address =
            json_string_value(json_object_get(member, "listen"));
        json_t *response = request_host(&member_arguments, "GET",
                                        "/admin/status", NULL, &result);
        if (response != NULL && json_object_get(response, "error") == NULL) {
            json_object_set(member, "revision",
                            json_object_get(response, "revision"));
            json_object_set(member, "lease",
                            json_object_get(response, "lease"));
        }
        json_decref(response);
    }
}

static void
print_members(const json_t *root)
{
    size_t index;
    const json_t *member;
    long long oldest_revision = LLONG_MAX;
    printf("%-24s %-22s %6s %8s %-8s %s\n", "HOST", "ADDRESS", "DOMAIN",
           "REVISION", "LEASE", "STATE");
    json_array_foreach(json_object_get(root, "members"), index, member)
    {
        bool draining = json_is_true(json_object_get(member, "draining"));
        const json_t *revision = json_object_get(member, "revision");
        if (revision == NULL) {
            printf("%-24s %-22s %6lld %8s %-8s no answer\n",
                   get_text(member, "name"), get_text(member, "listen"),
                   get_number(member, "domain"), "-", "-");
            continue;
        }
        long long value = (long long)json_integer_value(revision);
        oldest_revision = value < oldest_revision ? value : oldest_revision;
        printf("%-24s %-22s %6lld %8lld %-8s %s\n", get_text(member, "name"),
               get_text(member, "listen"), get_number(member, "domain"), value,
               json_is_true(json_object_get(member, "lease")) ? "held"
                                                              : "not held",
               draining ? "draining" : "member");
    }
    if (oldest_revision != LLONG_MAX) {
        printf("oldest revision in force: %lld\n", oldest_revision);
    }
}

static void
print_targets(const json_t *shard)
{
    size_t index;
    const json_t *target;
    json_array_foreach(json_object_get(shard, "targets"), index, target)
    {
        size_t name_index;
        const json_t *name;
        printf("  %-22s %-14s permits=%-4lld", get_text(target, "name"),
               get_text(target, "state"), get_number(target, "permits"));
        json_array_foreach(json_object_get(target, "resident"), name_index,
                           name)
        {
            printf(" %s", json_string_value(name));
        }
        putchar('\n');
    }
}

static void
print_status(const json_t *root)
{
    size_t index;
    const json_t *shard;
    printf("host %s: %s, lease %s, revision %lld, %lld open requests\n",
           get_text(root, "host"),
           json_is_true(json_object_get(root, "ready")) ? "ready"
                                                        : "not ready",
           json_is_true(json_object_get(root, "lease")) ? "held" : "not held",
           get_number(root, "revision"), get_number(root, "open_requests"));
    print_members(root);
    json_array_foreach(json_object_get(root, "shards"), index, shard)
    {
        bool active = json_is_true(json_object_get(shard, "active"));
        printf("shard %lld: owner %s, %lld waiting%s\n",
               get_number(shard, "shard"), get_text(shard, "owner"),
               get_number(shard, "waiting"),
               active ? "" : " (targets are shown by its owner)");
        print_targets(shard);
    }
}

static void
print_bar(uint64_t count, uint64_t max_count)
{
    uint64_t length = max_count ? count * MAX_BAR_CHARS / max_count : 0;
    for (uint64_t i = 0; i < length; i++) {
        putchar('#');
    }
    putchar('\n');
}

static void
print_histogram(const json_t *series)
{
    size_t index;
    const json_t *value;
    const json_t *buckets = json_object_get(series, "buckets");
    long long max_count = 0;
    printf("%s: %lld requests\n", get_text(series, "workspace"),
           get_number(series, "count"));
    json_array_foreach(buckets, index, value)
    {
        long long count = (long long)json_integer_value(value);
        max_count = count > max_count ? count : max_count;
    }
    json_array_foreach(buckets, index, value)
    {
        long long count = (long long)json_integer_value(value);
        if (count > 0) {
            printf("%10lld %-7s %8lld ", 1LL << index,
                   get_text(series, "unit"), count);
            print_bar((uint64_t)count, (uint64_t)max_count);
        }
    }
}

sky_result_t
SkyCommand_ShowStatus(const sky_arguments_t *arguments)
{
    char path[PATH_BYTES] = "/admin/status";
    sky_result_t result;
    size_t index;
    const json_t *series;
    if (arguments->histogram_name != NULL) {
        snprintf(path, sizeof path, "/admin/histogram?name=%s",
                 arguments->histogram_name);
    }
    json_t *response = request_host(arguments, "GET", path, NULL, &result);
    if (response == NULL) {
        return result;
    }
    result = report_response_error(response);
    if (SkyResult_IsError(result)) {
        json_decref(response);
        return result;
    }
    if (arguments->histogram_name == NULL) {
        fetch_member_states(arguments, response);
    }
    if (arguments->prints_json) {
        print_json(response);
    }
    else if (arguments->histogram_name != NULL) {
        json_array_foreach(response, index, series)
        {
            print_histogram(series);
        }
    }
    else {
        print_status(response);
    }
    json_decref(response);
    return SKY_OK;
}

sky_result_t
SkyCommand_DrainHost(const sky_arguments_t *arguments)
{
    sky_result_t result;
    json_t *response =
        request_host(arguments, "POST", "/admin/drain", "{}", &result);
    if (response != NULL) {
        result = report_response_error(response);
        json_decref(response);
    }
    return result;
}
