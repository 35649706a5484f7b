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

#include "platform/http.h"
#include "serve/server.h"
#include "serve/view.h"

#define PATH_BYTES 256
#define TIMEOUT_MS 15000
#define BAR_WIDTH 50
#define BEARER_BYTES 300

/* ---- serve and check ---- */

static sky_result_t
load_settings(const sky_arguments_t *arguments, sky_settings_t *settings)
{
    char error[SKY_ERROR_BYTES];
    if (arguments->settings == NULL) {
        fprintf(stderr, "skylarkspar: a settings file is needed\n");
        return SKY_E_USAGE;
    }
    sky_result_t result =
        SkySettings_Load(arguments->settings, settings, error);
    if (SkyResult_IsError(result)) {
        fprintf(stderr, "skylarkspar: %s\n", error);
    }
    return result;
}

sky_result_t
Command_Serve(const sky_arguments_t *arguments)
{
    sky_settings_t settings;
    sky_result_t result = load_settings(arguments, &settings);
    if (SkyResult_IsError(result)) {
        return result;
    }
    result = SkyServer_Run(&settings);
    SkySettings_Free(&settings);
    return result;
}

sky_result_t
Command_Edge(const sky_arguments_t *arguments)
{
    const char *path =
        arguments->settings ? arguments->settings : SkyPlatform_SettingsPath();
    if (path == NULL) {
        fprintf(stderr, "skylarkspar: no settings file is named\n");
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
Command_Check(const sky_arguments_t *arguments)
{
    sky_settings_t settings;
    if (arguments->table) {
        SkySettings_PrintTable(print_line, NULL);
        return SKY_OK;
    }
    sky_result_t result = load_settings(arguments, &settings);
    if (!SkyResult_IsError(result)) {
        printf("%s: ok, %u targets\n", arguments->settings,
               settings.target_count);
        SkySettings_Free(&settings);
    }
    return result;
}

/* ---- calls to a host ---- */

/** @return the host's answer, or NULL with @p result set. */
static json_t *
call_host(const sky_arguments_t *arguments, const char *method,
          const char *path, const char *body, sky_result_t *result)
{
    char bearer[BEARER_BYTES];
    sky_http_call_t call = {.address = arguments->host, .method = method};
    sky_http_answer_t answer;
    if (arguments->host == NULL || arguments->key == NULL) {
        fprintf(stderr, "skylarkspar: --host and the key are needed\n");
        *result = SKY_E_USAGE;
        return NULL;
    }
    snprintf(bearer, sizeof bearer, "Bearer %s", arguments->key);
    call.path = path;
    call.body = body;
    call.header_name = "Authorization";
    call.header_value = bearer;
    call.connect_timeout_ms = TIMEOUT_MS;
    call.read_timeout_ms = TIMEOUT_MS;
    if (SkyResult_IsError(SkyHttp_Init()) ||
        SkyHttp_Call(&call, &answer) != SKY_HTTP_ANSWERED) {
        fprintf(stderr, "skylarkspar: no answer from %s\n", arguments->host);
        *result = SKY_E_IO;
        return NULL;
    }
    json_t *root = json_loads(answer.body, 0, NULL);
    free(answer.body);
    *result = root != NULL ? SKY_OK : SKY_E_IO;
    return root;
}

/** @return the code in an error answer, SKY_OK if it is none. */
static sky_result_t
error_of(const json_t *root)
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

/** A workspace file may give the caller's secret; only its hash is sent. */
static sky_result_t
hide_secret(json_t *body)
{
    char credential[SKY_CREDENTIAL_HASH_BYTES];
    const char *secret = json_string_value(json_object_get(body, "secret"));
    if (secret == NULL) {
        return SKY_OK;
    }
    if (sodium_init() < 0) {
        return SKY_E_IO;
    }
    SkyView_HashSecret(secret, credential);
    json_object_set_new(body, "credential", json_string(credential));
    json_object_del(body, "secret");
    return SKY_OK;
}

static sky_result_t
read_body(const sky_arguments_t *arguments, json_t **body)
{
    char error[SKY_ERROR_BYTES];
    char *text = NULL;
    if (arguments->kind == NULL || arguments->name == NULL ||
        arguments->file == NULL) {
        fprintf(stderr, "skylarkspar: KIND, NAME and FILE are needed\n");
        return SKY_E_USAGE;
    }
    sky_result_t result = SkyToml_ToJson(arguments->file, &text, error);
    if (SkyResult_IsError(result)) {
        fprintf(stderr, "skylarkspar: %s\n", error);
        return result;
    }
    *body = json_loads(text, 0, NULL);
    free(text);
    return hide_secret(*body);
}

static sky_result_t
send_change(const sky_arguments_t *arguments, int64_t base)
{
    json_t *body = NULL;
    sky_result_t result = read_body(arguments, &body);
    if (SkyResult_IsError(result)) {
        json_decref(body);
        return result;
    }
    json_t *change =
        json_pack("{s:s, s:s, s:I, s:o}", "kind", arguments->kind, "name",
                  arguments->name, "base", (json_int_t)base, "body", body);
    char *text = json_dumps(change, JSON_COMPACT);
    if (isatty(STDERR_FILENO)) {
        fprintf(stderr, "waiting for the change to be read back...\n");
    }
    json_t *answer =
        call_host(arguments, "POST", "/admin/config", text, &result);
    free(text);
    json_decref(change);
    if (answer == NULL) {
        return result;
    }
    result = error_of(answer);
    const char *code = json_string_value(json_object_get(answer, "code"));
    if (code != NULL) {
        printf("%s revision=%lld\n", code,
               (long long)json_integer_value(
                   json_object_get(answer, "revision")));
        if (strcmp(code, "SKY_OK") != 0) {
            fprintf(stderr, "skylarkspar: %s\n",
                    json_string_value(json_object_get(answer, "text")));
            result = strcmp(code, "SKY_E_CONFLICT") == 0 ? SKY_E_CONFLICT
                                                         : SKY_E_BAD_CONFIG;
        }
    }
    json_decref(answer);
    return result;
}

sky_result_t
Command_Publish(const sky_arguments_t *arguments)
{
    return send_change(arguments, 0);
}

static json_t *
fetch_documents(const sky_arguments_t *arguments, sky_result_t *result)
{
    char path[PATH_BYTES] = "/admin/config";
    if (arguments->name != NULL) {
        snprintf(path, sizeof path, "/admin/config?kind=%s&name=%s",
                 arguments->kind, arguments->name);
    }
    json_t *answer = call_host(arguments, "GET", path, NULL, result);
    if (answer != NULL) {
        *result = error_of(answer);
    }
    return answer;
}

sky_result_t
Command_Amend(const sky_arguments_t *arguments)
{
    sky_result_t result;
    if (arguments->base >= 0) {
        return send_change(arguments, arguments->base);
    }
    json_t *documents = fetch_documents(arguments, &result);
    int64_t base = json_integer_value(
        json_object_get(json_array_get(documents, 0), "revision"));
    json_decref(documents);
    return SkyResult_IsError(result) ? result : send_change(arguments, base);
}

sky_result_t
Command_Show(const sky_arguments_t *arguments)
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
text_of(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text ? text : "-";
}

static long long
number_of(const json_t *object, const char *key)
{
    return (long long)json_integer_value(json_object_get(object, key));
}

/** Asks each member for its own state; "status" stays away where it does not
 *  answer. */
static void
ask_members(const sky_arguments_t *arguments, json_t *root)
{
    size_t index;
    json_t *member;
    json_array_foreach(json_object_get(root, "members"), index, member)
    {
        sky_arguments_t own = *arguments;
        sky_result_t result;
        own.host = json_string_value(json_object_get(member, "listen"));
        json_t *answer =
            call_host(&own, "GET", "/admin/status", NULL, &result);
        if (answer != NULL && json_object_get(answer, "error") == NULL) {
            json_object_set(member, "revision",
                            json_object_get(answer, "revision"));
            json_object_set(member, "lease", json_object_get(answer, "lease"));
        }
        json_decref(answer);
    }
}

static void
print_members(const json_t *root)
{
    size_t index;
    const json_t *member;
    long long oldest = LLONG_MAX;
    printf("%-24s %-22s %6s %8s %-8s %s\n", "HOST", "ADDRESS", "DOMAIN",
           "REVISION", "LEASE", "STATE");
    json_array_foreach(json_object_get(root, "members"), index, member)
    {
        bool draining = json_is_true(json_object_get(member, "draining"));
        const json_t *revision = json_object_get(member, "revision");
        if (revision == NULL) {
            printf("%-24s %-22s %6lld %8s %-8s no answer\n",
                   text_of(member, "name"), text_of(member, "listen"),
                   number_of(member, "domain"), "-", "-");
            continue;
        }
        long long value = (long long)json_integer_value(revision);
        oldest = value < oldest ? value : oldest;
        printf("%-24s %-22s %6lld %8lld %-8s %s\n", text_of(member, "name"),
               text_of(member, "listen"), number_of(member, "domain"), value,
               json_is_true(json_object_get(member, "lease")) ? "held"
                                                              : "not held",
               draining ? "draining" : "member");
    }
    if (oldest != LLONG_MAX) {
        printf("oldest revision in force: %lld\n", oldest);
    }
}

static void
print_targets(const json_t *shard)
{
    size_t index;
    const json_t *target;
    json_array_foreach(json_object_get(shard, "targets"), index, target)
    {
        size_t n;
        const json_t *name;
        printf("  %-22s %-14s permits=%-4lld", text_of(target, "name"),
               text_of(target, "state"), number_of(target, "permits"));
        json_array_foreach(json_object_get(target, "resident"), n, name)
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
           text_of(root, "host"),
           json_is_true(json_object_get(root, "ready")) ? "ready"
                                                        : "not ready",
           json_is_true(json_object_get(root, "lease")) ? "held" : "not held",
           number_of(root, "revision"), number_of(root, "open_requests"));
    print_members(root);
    json_array_foreach(json_object_get(root, "shards"), index, shard)
    {
        bool active = json_is_true(json_object_get(shard, "active"));
        printf("shard %lld: owner %s, %lld waiting%s\n",
               number_of(shard, "shard"), text_of(shard, "owner"),
               number_of(shard, "waiting"),
               active ? "" : " (targets are shown by its owner)");
        print_targets(shard);
    }
}

static void
print_bar(uint64_t count, uint64_t largest)
{
    uint64_t length = largest ? count * BAR_WIDTH / largest : 0;
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
    long long largest = 0;
    printf("%s: %lld requests\n", text_of(series, "workspace"),
           number_of(series, "count"));
    json_array_foreach(buckets, index, value)
    {
        long long count = (long long)json_integer_value(value);
        largest = count > largest ? count : largest;
    }
    json_array_foreach(buckets, index, value)
    {
        long long count = (long long)json_integer_value(value);
        if (count > 0) {
            printf("%10lld %-7s %8lld ", 1LL << index, text_of(series, "unit"),
                   count);
            print_bar((uint64_t)count, (uint64_t)largest);
        }
    }
}

sky_result_t
Command_Status(const sky_arguments_t *arguments)
{
    char path[PATH_BYTES] = "/admin/status";
    sky_result_t result;
    size_t index;
    const json_t *series;
    if (arguments->histogram != NULL) {
        snprintf(path, sizeof path, "/admin/histogram?name=%s",
                 arguments->histogram);
    }
    json_t *answer = call_host(arguments, "GET", path, NULL, &result);
    if (answer == NULL) {
        return result;
    }
    result = error_of(answer);
    if (SkyResult_IsError(result)) {
        json_decref(answer);
        return result;
    }
    if (arguments->histogram == NULL) {
        ask_members(arguments, answer);
    }
    if (arguments->json) {
        print_json(answer);
    }
    else if (arguments->histogram != NULL) {
        json_array_foreach(answer, index, series)
        {
            print_histogram(series);
        }
    }
    else {
        print_status(answer);
    }
    json_decref(answer);
    return SKY_OK;
}

sky_result_t
Command_Drain(const sky_arguments_t *arguments)
{
    sky_result_t result;
    json_t *answer =
        call_host(arguments, "POST", "/admin/drain", "{}", &result);
    if (answer != NULL) {
        result = error_of(answer);
        json_decref(answer);
    }
    return result;
}
