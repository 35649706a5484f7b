#include "programs/commands.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/explain.h"
#include "platform/http_call.h"

#define ANSWER_TIMEOUT_S 2
#define EXIT_NO_ANSWER 1
#define DECIMAL 10
#define HEXADECIMAL 16
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400

/* ---- the request ---- */

static bool
parse_number(const char *text, int base, char **end, uint64_t *number)
{
    /* strtoull() accepts a sign and spaces. */
    *number = strtoull(text, end, base);
    return *end != text && text[0] != '-' && text[0] != '+' && text[0] != ' ';
}

/* Returns NULL if the text is malformed. */
static json_t *
make_tokens(const char *text)
{
    char *end = NULL;
    uint64_t prompt;
    uint64_t output;
    if (!parse_number(text, DECIMAL, &end, &prompt) || *end != ',' ||
        !parse_number(end + 1, DECIMAL, &end, &output) || *end != '\0' ||
        prompt > UINT32_MAX || output > UINT32_MAX) {
        return NULL;
    }
    return json_pack("[I, I]", (json_int_t)prompt, (json_int_t)output);
}

/* Returns NULL if the text is malformed. */
static json_t *
make_parts(const char *text)
{
    json_t *parts = json_array();
    for (;;) {
        char *end = NULL;
        uint64_t id;
        uint64_t tokens;
        if (!parse_number(text, HEXADECIMAL, &end, &id) || *end != ':') {
            break;
        }
        int id_length = (int)(end - text);
        if (!parse_number(end + 1, DECIMAL, &end, &tokens) ||
            tokens > UINT32_MAX) {
            break;
        }
        json_array_append_new(
            parts,
            json_pack("[s%, I]", text, (size_t)id_length, (json_int_t)tokens));
        if (*end == '\0') {
            return parts;
        }
        if (*end != ',') {
            break;
        }
        text = end + 1;
    }
    json_decref(parts);
    return NULL;
}

static void
set_text(json_t *body, const char *name, const char *text)
{
    if (text != NULL) {
        json_object_set_new(body, name, json_string(text));
    }
}

/* Returns NULL, after an error message, if an argument is malformed. */
static char *
make_body(const sky_arguments_t *arguments)
{
    const char *error = NULL;
    json_t *body = json_object();
    set_text(body, "host", arguments->caller_host);
    set_text(body, "path", arguments->path);
    set_text(body, "id", arguments->attempt_id);
    set_text(body, "workspace", arguments->workspace);
    set_text(body, "model", arguments->model);
    set_text(body, "adapter", arguments->adapter);
    if (arguments->tokens != NULL &&
        json_object_set_new(body, "tokens", make_tokens(arguments->tokens)) !=
            0) {
        error = "--tokens: not PROMPT,OUTPUT";
    }
    if (arguments->parts != NULL &&
        json_object_set_new(body, "parts", make_parts(arguments->parts)) !=
            0) {
        error = "--parts: not ID:TOKENS,...";
    }
    char *text = error == NULL ? json_dumps(body, JSON_COMPACT) : NULL;
    json_decref(body);
    if (text == NULL) {
        fprintf(stderr, "skylarkspar: %s\n", error ? error : "out of memory");
    }
    return text;
}

/* ---- the output ---- */

static const char *
get_text(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL && text[0] != '\0' ? text : "-";
}

static long long
get_number(const json_t *object, const char *name)
{
    return (long long)json_integer_value(json_object_get(object, name));
}

static double
get_real(const json_t *object, const char *name)
{
    return json_number_value(json_object_get(object, name));
}

static const char *
get_flag(const json_t *object, const char *name)
{
    return json_is_true(json_object_get(object, name)) ? "yes" : "no";
}

static void
print_admission(const json_t *admission)
{
    const json_t *quota = json_object_get(admission, "quota");
    printf("admission: %s\n",
           json_is_string(json_object_get(admission, "refusal"))
               ? get_text(admission, "refusal")
               : "admitted");
    printf("  route %s, service %s (%s), urgency %lld\n",
           get_text(admission, "route"), get_text(admission, "service"),
           json_is_true(json_object_get(admission, "engine")) ? "engine"
                                                              : "plain",
           get_number(admission, "urgency"));
    printf("  needs a key: %s, workspace %s, configuration proven: %s\n",
           get_flag(admission, "needs_key"), get_text(admission, "workspace"),
           get_flag(admission, "config_proven"));
    if (json_is_object(quota)) {
        printf("  quota: %s; cost %lld %s, credit %.0f for %lld ms, equal "
               "share %.0f/s of %.0f/s, %lld waiting, wait %lld ms\n",
               get_text(quota, "result"), get_number(quota, "cost"),
               get_text(quota, "unit"), get_real(quota, "credit_left"),
               get_number(quota, "credit_valid_ms"),
               get_real(quota, "equal_share_per_s"),
               get_real(quota, "rate_per_s"), get_number(quota, "waiting"),
               get_number(quota, "wait_ms"));
    }
    printf("  takes a turn: %s, out of reach: %s\n",
           get_flag(admission, "takes_turn"),
           get_flag(admission, "out_of_reach"));
}

/* Prints "-" for an age or a score that is not known. */
static void
print_optional(const json_t *value, int width)
{
    if (json_is_real(value)) {
        printf(" %*.3f", width, json_real_value(value));
    }
    else if (json_is_integer(value) && json_integer_value(value) >= 0) {
        printf(" %*lld", width, (long long)json_integer_value(value));
    }
    else {
        printf(" %*s", width, "-");
    }
}

static void
print_candidates(const json_t *root)
{
    size_t index;
    const json_t *row;
    const json_t *chosen =
        json_object_get(json_object_get(root, "choice"), "target");
    printf("%-2s %-16s %-23s %-8s %7s %7s %7s %5s %5s %7s %7s %5s %6s %7s\n",
           "", "TARGET", "OBSTACLE", "DOMAIN", "SCORE", "SPREAD", "TIME",
           "UTIL", "PACE", "FAILURE", "VERSION", "HERE", "OTHERS", "AGE_MS");
    json_array_foreach(json_object_get(root, "candidates"), index, row)
    {
        bool is_chosen =
            json_is_string(chosen) &&
            strcmp(json_string_value(chosen), get_text(row, "target")) == 0;
        printf("%-2s %-16s %-23s %-8s", is_chosen ? "->" : "",
               get_text(row, "target"), get_text(row, "obstacle"),
               get_text(row, "domain"));
        print_optional(json_object_get(row, "score"), 7);
        print_optional(json_object_get(row, "spread_score"), 7);
        printf(" %7.3f %5.2f %5.2f %7.2f %7lld %5lld %6lld",
               get_real(row, "expected_time"), get_real(row, "utilization"),
               get_real(row, "pace"), get_real(row, "failure"),
               get_number(row, "version"), get_number(row, "in_flight"),
               get_number(row, "others_in_flight"));
        print_optional(json_object_get(row, "report_age_ms"), 7);
        putchar('\n');
    }
}

static void
print_explanation(const json_t *root)
{
    size_t index;
    const json_t *name;
    const json_t *choice = json_object_get(root, "choice");
    const json_t *preferred = json_object_get(root, "preferred");
    printf("host %s in domain %s, configuration %lld, list of targets %lld ms "
           "old\n",
           get_text(root, "host"), get_text(root, "domain"),
           get_number(root, "config"), get_number(root, "list_age_ms"));
    print_admission(json_object_get(root, "admission"));
    if (choice == NULL) {
        return;
    }
    print_candidates(root);
    printf("chosen: %s%s\n", get_text(choice, "target"),
           json_is_true(json_object_get(choice, "by_spread_score"))
               ? " (by spread score)"
               : "");
    if (preferred != NULL) {
        printf("adapter resident at none of them; preferred for a load:");
        json_array_foreach(preferred, index, name)
        {
            printf(" %s", json_string_value(name));
        }
        putchar('\n');
    }
}

/* ---- the call ---- */

static void
on_timeout(int signal_number)
{
    static const char MESSAGE[] = "skylarkspar: no answer within 2 s\n";
    (void)signal_number;
    ssize_t written = write(STDERR_FILENO, MESSAGE, sizeof MESSAGE - 1);
    (void)written;
    _exit(EXIT_NO_ANSWER);
}

static sky_result_t
fail_unanswered(const sky_arguments_t *arguments, const char *cause)
{
    fprintf(stderr, "skylarkspar: %s: %s\n", arguments->host_address, cause);
    return (sky_result_t)EXIT_NO_ANSWER;
}

static sky_result_t
print_response(const sky_arguments_t *arguments,
               const sky_http_call_response_t *response)
{
    json_t *root = json_loads(response->body, 0, NULL);
    sky_result_t result = SKY_OK;
    if (root != NULL && response->status == HTTP_BAD_REQUEST) {
        fprintf(stderr, "skylarkspar: %s\n", get_text(root, "error"));
        result = SKY_E_USAGE;
    }
    else if (root == NULL || response->status != HTTP_OK) {
        result = fail_unanswered(
            arguments, "no explanation: is this the metrics address?");
    }
    else if (arguments->prints_json) {
        json_dumpf(root, stdout, JSON_INDENT(2));
        putchar('\n');
    }
    else {
        print_explanation(root);
    }
    json_decref(root);
    return result;
}

sky_result_t
SkyCommand_ExplainRequest(const sky_arguments_t *arguments)
{
    char address[SKY_HOST_ADDRESS_BYTES];
    uint16_t port;
    if (arguments->host_address == NULL || arguments->caller_host == NULL ||
        arguments->path == NULL) {
        fprintf(stderr, "skylarkspar: --host, --caller-host and --path are "
                        "required\n");
        return SKY_E_USAGE;
    }
    if (SkyResult_IsError(SkyHttpCall_SplitAddress(
            arguments->host_address, address, sizeof address, &port))) {
        fprintf(stderr, "skylarkspar: --host: not ADDRESS:PORT\n");
        return SKY_E_USAGE;
    }
    char *body = make_body(arguments);
    if (body == NULL) {
        return SKY_E_USAGE;
    }
    sky_http_call_t call = {.address = arguments->host_address,
                            .method = "POST",
                            .path = SKY_EXPLAIN_PATH,
                            .body = body,
                            .connect_timeout_ms = ANSWER_TIMEOUT_S * 1000,
                            .read_timeout_ms = ANSWER_TIMEOUT_S * 1000};
    sky_http_call_response_t response;
    /* The call's own time limits are for each read; this one is for all. */
    signal(SIGALRM, on_timeout);
    alarm(ANSWER_TIMEOUT_S);
    bool has_responded =
        SkyHttpCall_Run(&call, &response) == SKY_HTTP_CALL_RESPONDED;
    alarm(0);
    free(body);
    if (!has_responded) {
        return fail_unanswered(arguments, "no answer");
    }
    sky_result_t result = print_response(arguments, &response);
    free(response.body);
    return result;
}
