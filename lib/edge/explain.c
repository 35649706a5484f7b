#include "edge/explain.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/time_left.h"
#include "edge/target_query.h"

#define PREFERRED_MAX 8 /**< targets named for a load */
#define ERROR_BYTES 200
#define ID_BASE 16 /**< of prompt parts, as on the wire */

/** The request to explain, as its body describes it; the strings belong to the
 *  body. */
typedef struct {
    const char *host;
    const char *path;
    const char *id;
    const char *workspace; /**< name; NULL: none */
    sky_request_facts_t facts;
} subject_t;

/** What was found of the request so far. */
typedef struct {
    const sky_explain_options_t *options;
    const subject_t *subject;
    uint64_t now_ms;
    const sky_route_t *route;
    const sky_service_t *service;
    const sky_workspace_t *workspace;
    sky_urgency_t urgency;
    const char *refusal; /**< first reason to refuse it; NULL: none */
    json_t *candidates;
} explanation_t;

/* ---- the body ---- */

static bool
copy_name(const char *name, char *copy, char *error, const char *what)
{
    if (strlen(name) >= SKY_ADAPTER_NAME_BYTES) {
        snprintf(error, ERROR_BYTES, "%s: longer than %d bytes", what,
                 SKY_ADAPTER_NAME_BYTES - 1);
        return false;
    }
    memcpy(copy, name, strlen(name) + 1);
    return true;
}

static bool
parse_tokens(const json_t *tokens, sky_request_facts_t *facts, char *error)
{
    json_int_t prompt = 0;
    json_int_t output = 0;
    if (tokens == NULL) {
        return true;
    }
    if (json_unpack((json_t *)tokens, "[I, I!]", &prompt, &output) != 0 ||
        prompt < 0 || prompt > UINT32_MAX || output < 0 ||
        output > UINT32_MAX) {
        snprintf(error, ERROR_BYTES, "tokens: not [PROMPT, OUTPUT]");
        return false;
    }
    facts->states_tokens = true;
    facts->prompt_tokens = (uint32_t)prompt;
    facts->output_tokens_max = (uint32_t)output;
    return true;
}

static bool
parse_parts(const json_t *parts, sky_request_facts_t *facts, char *error)
{
    size_t index;
    json_t *part;
    if (parts != NULL && !json_is_array(parts)) {
        snprintf(error, ERROR_BYTES, "parts: not a list");
        return false;
    }
    json_array_foreach(parts, index, part)
    {
        const char *id = "";
        json_int_t tokens = 0;
        char *end = NULL;
        if (json_unpack(part, "[s, I!]", &id, &tokens) != 0 || id[0] == '\0' ||
            tokens < 0 || tokens > UINT32_MAX) {
            snprintf(error, ERROR_BYTES, "parts: not [ID, TOKENS]");
            return false;
        }
        uint64_t number = strtoull(id, &end, ID_BASE);
        if (*end != '\0') {
            snprintf(error, ERROR_BYTES, "parts: an id is not hexadecimal");
            return false;
        }
        if (facts->part_count == SKY_PROMPT_PARTS_MAX) {
            facts->has_more_parts = true;
            break;
        }
        facts->parts[facts->part_count++] =
            (sky_prompt_part_t){number, (uint32_t)tokens};
    }
    return true;
}

/* Refuses unknown fields: an option that is misspelt, or a caller's key. */
static bool
parse_subject(json_t *body, subject_t *subject, char *error)
{
    json_error_t json_error;
    const char *model = "";
    const char *adapter = "";
    const json_t *tokens = NULL;
    const json_t *parts = NULL;
    *subject = (subject_t){.id = ""};
    if (json_unpack_ex(body, &json_error, JSON_STRICT,
                       "{s:s, s:s, s?s, s?s, s?s, s?s, s?o, s?o}", "host",
                       &subject->host, "path", &subject->path, "id",
                       &subject->id, "workspace", &subject->workspace, "model",
                       &model, "adapter", &adapter, "tokens", &tokens, "parts",
                       &parts) != 0) {
        snprintf(error, ERROR_BYTES, "%s", json_error.text);
        return false;
    }
    if (subject->path[0] != '/') {
        snprintf(error, ERROR_BYTES, "path: does not begin with a slash");
        return false;
    }
    if (adapter[0] != '\0' && model[0] == '\0') {
        snprintf(error, ERROR_BYTES, "adapter: needs a model");
        return false;
    }
    subject->facts.id = subject->id;
    subject->facts.stream_id = subject->id;
    subject->facts.deadline_ms = UINT32_MAX;
    return copy_name(model, subject->facts.model, error, "model") &&
           copy_name(adapter, subject->facts.adapter, error, "adapter") &&
           parse_tokens(tokens, &subject->facts, error) &&
           parse_parts(parts, &subject->facts, error);
}

/* ---- admission ---- */

static void
refuse(explanation_t *explanation, const char *reason)
{
    if (explanation->refusal == NULL) {
        explanation->refusal = reason;
    }
}

static const sky_workspace_t *
find_workspace(const sky_workspaces_t *workspaces, const char *name)
{
    uint32_t count = SkyWorkspaces_Count(workspaces);
    for (uint32_t i = 0; i < count && name != NULL; i++) {
        const sky_workspace_t *workspace = SkyWorkspaces_Get(workspaces, i);
        if (strcmp(workspace->name, name) == 0) {
            return workspace;
        }
    }
    return NULL;
}

static const char *
get_quota_result_name(sky_quota_result_t result)
{
    switch (result) {
    case SKY_QUOTA_GRANTED:
        return "granted";
    case SKY_QUOTA_DENIED:
        return "denied";
    case SKY_QUOTA_ASK:
        return "owner_decides";
    }
    return "unknown";
}

/* Returns NULL if no quota applies. */
static json_t *
explain_quota(explanation_t *explanation)
{
    const sky_workspace_t *workspace = explanation->workspace;
    const sky_request_facts_t *facts = &explanation->subject->facts;
    sky_quota_view_t view;
    if (workspace == NULL || !workspace->quota.is_limited) {
        return NULL;
    }
    sky_quota_need_t need = {
        .workspace = workspace->name,
        .cost =
            SkyQuota_GetCost(&workspace->quota, facts->states_tokens,
                             facts->prompt_tokens, facts->output_tokens_max),
        .urgency = explanation->urgency.rank};
    if (!SkyQuotaSharing_Inspect(explanation->options->quota_sharing, &need,
                                 &view)) {
        return NULL;
    }
    if (view.result == SKY_QUOTA_DENIED) {
        refuse(explanation, "quota");
    }
    return json_pack(
        "{s:s, s:s, s:I, s:f, s:f, s:f, s:I, s:I, s:f, s:I, s:I, s:b}",
        "result", get_quota_result_name(view.result), "unit",
        workspace->quota.unit == SKY_QUOTA_TOKENS ? "tokens" : "requests",
        "cost", (json_int_t)need.cost, "rate_per_s",
        workspace->quota.rate_per_s, "burst", workspace->quota.burst,
        "credit_left", view.left, "credit_valid_ms",
        (json_int_t)view.credit_valid_ms, "hosts", (json_int_t)view.host_count,
        "equal_share_per_s", view.equal_share_per_s, "waiting",
        (json_int_t)view.waiting, "wait_ms", (json_int_t)view.wait_ms,
        "uses_own_share", view.uses_own_share);
}

static void
find_route(explanation_t *explanation)
{
    const subject_t *subject = explanation->subject;
    const sky_directory_t *directory = explanation->options->directory;
    if (directory->deployment == NULL || !directory->targets_known) {
        refuse(explanation, "not_configured");
        return;
    }
    explanation->route = SkyDeployment_FindRoute(directory->deployment,
                                                 subject->host, subject->path);
    explanation->service =
        explanation->route != NULL
            ? SkyDeployment_ChooseService(
                  directory->deployment, explanation->route,
                  XXH3_64bits(subject->id, strlen(subject->id)))
            : NULL;
    if (explanation->service == NULL) {
        refuse(explanation, "no_route");
    }
}

/* The checks are in the order of the proxy's. */
static json_t *
explain_admission(explanation_t *explanation)
{
    const sky_explain_options_t *options = explanation->options;
    const sky_directory_t *directory = options->directory;
    bool is_usable = SkyFeed_AreRecordsUsable(options->feed);
    bool is_proven = SkyFeed_IsConfigProven(options->feed);
    json_t *quota = NULL;
    bool is_short = false;
    bool is_out_of_reach = false;
    if (!is_usable) {
        refuse(explanation, "waits_for_records");
    }
    find_route(explanation);
    const sky_route_t *route = explanation->route;
    const sky_service_t *service = explanation->service;
    const sky_deployment_t *deployment = directory->deployment;
    bool needs_key =
        route != NULL && SkyDeployment_NeedsKey(deployment, route);
    if (service != NULL) {
        explanation->workspace =
            needs_key ? find_workspace(deployment->workspaces,
                                       explanation->subject->workspace)
                      : NULL;
        explanation->urgency = SkyDeployment_GetUrgency(
            deployment, route, explanation->workspace);
        if (needs_key && deployment->access == SKY_ACCESS_UNREADABLE) {
            refuse(explanation, "keys_unreadable");
        }
        if (needs_key && !is_proven) {
            refuse(explanation, "access_unproven");
        }
        if (needs_key && explanation->workspace == NULL) {
            refuse(explanation, "workspace_unknown");
        }
    }
    if (options->is_stopping) {
        refuse(explanation, "stopping");
    }
    if (service != NULL) {
        quota = explain_quota(explanation);
        if (SkyPartWatch_IsBlamed(directory->parts,
                                  &explanation->subject->facts)) {
            refuse(explanation, "part_blamed");
        }
        is_out_of_reach = SkyReachability_IsDoubted(
            directory->reachability, service->name, explanation->now_ms);
        is_short =
            !service->engine.present &&
            SkyServiceTurns_AreNeeded(options->service_turns, service->name);
    }
    return json_pack(
        "{s:b, s:s?, s:s?, s:b, s:b, s:b, s:s?, s:b, s:I, s:o?, s:b, s:b, "
        "s:s?}",
        "records_usable", is_usable, "route", route ? route->name : NULL,
        "service", service ? service->name : NULL, "engine",
        service != NULL && service->engine.present, "public",
        route != NULL && route->is_public, "needs_key", needs_key, "workspace",
        explanation->workspace ? explanation->workspace->name : NULL,
        "config_proven", is_proven, "urgency",
        (json_int_t)explanation->urgency.rank, "quota", quota, "takes_turn",
        is_short, "out_of_reach", is_out_of_reach, "refusal",
        explanation->refusal);
}

/* ---- targets ---- */

/* Returns -1 if the time is not known. */
static json_int_t
get_age_ms(const explanation_t *explanation, uint64_t at_ms)
{
    return at_ms > 0 ? (json_int_t)(explanation->now_ms - at_ms) : -1;
}

/* Returns 0 for a time that has passed. */
static json_int_t
get_left_ms(const explanation_t *explanation, uint64_t until_ms)
{
    return (json_int_t)SkyTime_LeftMs(until_ms, explanation->now_ms);
}

static void
on_candidate(void *context, const sky_fleet_candidate_t *candidate)
{
    explanation_t *explanation = context;
    const sky_fleet_target_t *target = candidate->target;
    bool is_eligible = candidate->obstacle == SKY_OBSTACLE_NONE;
    json_t *row = json_pack(
        "{s:s, s:s, s:s, s:s, s:I, s:I, s:f, s:f, s:f, s:f, s:I, s:I, s:I, "
        "s:I, s:I, s:I, s:f}",
        "target", target->entry.id, "obstacle",
        SkyFleet_GetObstacleName(candidate->obstacle), "domain",
        target->entry.domain, "software", target->entry.software, "version",
        (json_int_t)candidate->version, "required_version",
        (json_int_t)candidate->required_version, "utilization",
        candidate->utilization, "expected_time", candidate->expected_time,
        "pace", candidate->pace, "failure", target->failure, "slots",
        (json_int_t)target->entry.slots, "in_flight",
        (json_int_t)target->in_flight, "others_in_flight",
        (json_int_t)target->others_in_flight, "report_age_ms",
        get_age_ms(explanation, target->owner_report_ms), "blocked_ms",
        get_left_ms(explanation, target->blocked_until_ms), "full_ms",
        get_left_ms(explanation, target->full_until_ms), "limit_per_s",
        target->limit.per_s);
    json_object_set_new(
        row, "score", is_eligible ? json_real(candidate->score) : json_null());
    json_object_set_new(row, "spread_score",
                        is_eligible ? json_real(candidate->spread_score)
                                    : json_null());
    json_array_append_new(explanation->candidates, row);
}

static json_t *
list_preferred(const explanation_t *explanation,
               const sky_fleet_query_t *query)
{
    sky_fleet_target_t *preferred[PREFERRED_MAX];
    uint32_t count = SkyFleet_RankPreferredTargets(
        explanation->options->directory->fleet, query, explanation->now_ms,
        preferred, PREFERRED_MAX);
    json_t *list = json_array();
    for (uint32_t i = 0; i < count; i++) {
        json_array_append_new(list, json_string(preferred[i]->entry.id));
    }
    return list;
}

static void
explain_choice(explanation_t *explanation, json_t *root)
{
    const subject_t *subject = explanation->subject;
    const sky_directory_t *directory = explanation->options->directory;
    sky_target_query_options_t query_options = {
        .directory = directory,
        .route = explanation->route,
        .service = explanation->service,
        .facts = &subject->facts,
        .tie_breaker = XXH3_64bits(subject->id, strlen(subject->id)),
    };
    sky_fleet_query_t query = SkyTargetQuery_Make(&query_options);
    sky_fleet_choice_t choice;
    query.on_candidate = on_candidate;
    query.on_candidate_context = explanation;
    SkyFleet_ChooseTarget(directory->fleet, &query, explanation->now_ms,
                          &choice);
    json_object_set_new(
        root, "choice",
        json_pack("{s:s?, s:b, s:b, s:I, s:f, s:I}", "target",
                  choice.target ? choice.target->entry.id : NULL,
                  "by_spread_score", choice.is_spread, "adapter_missing",
                  choice.is_adapter_missing, "extra_replicas",
                  (json_int_t)choice.extra_replicas, "batch_utilization",
                  choice.batch_utilization, "limit_wait_ms",
                  get_left_ms(explanation, choice.limit_wait_until_ms)));
    if (choice.is_adapter_missing) {
        json_object_set_new(root, "preferred",
                            list_preferred(explanation, &query));
    }
}

static json_t *
explain(const sky_explain_options_t *options, const subject_t *subject)
{
    const sky_directory_t *directory = options->directory;
    explanation_t explanation = {.options = options,
                                 .subject = subject,
                                 .now_ms = SkyClock_NowMs(),
                                 .candidates = json_array()};
    json_t *admission = explain_admission(&explanation);
    json_t *root = json_pack(
        "{s:s, s:s, s:I, s:I, s:o}", "host", options->settings->name, "domain",
        options->settings->domain, "config",
        (json_int_t)(directory->deployment ? directory->deployment->version
                                           : 0),
        "list_age_ms", get_age_ms(&explanation, directory->targets_read_ms),
        "admission", admission);
    /* Also of a request that is refused: the operator sees both. */
    if (explanation.service != NULL) {
        explain_choice(&explanation, root);
    }
    json_object_set_new(root, "candidates", explanation.candidates);
    return root;
}

/* ---- the response ---- */

static void
respond_json(sky_server_request_t *request, uint16_t status, json_t *root)
{
    char *text = root != NULL ? json_dumps(root, JSON_COMPACT) : NULL;
    json_decref(root);
    if (text == NULL) {
        SkyServerRequest_Respond(request, 500, "", "", 0);
        return;
    }
    SkyServerRequest_Respond(request, status,
                             "Content-Type: application/json\r\n", text,
                             strlen(text));
    free(text);
}

void
SkyExplain_Respond(const sky_explain_options_t *options,
                   sky_server_request_t *request)
{
    size_t size;
    const char *text = SkyServerRequest_Body(request, &size);
    char error[ERROR_BYTES] = "the body is not a JSON object";
    subject_t subject;
    if (SkyServerRequest_Head(request)->method != HTTP_POST) {
        SkyServerRequest_Respond(request, 405, "Allow: POST\r\n", "", 0);
        return;
    }
    json_t *body = json_loadb(text, size, 0, NULL);
    if (body == NULL || !parse_subject(body, &subject, error)) {
        respond_json(request, 400, json_pack("{s:s}", "error", error));
    }
    else {
        respond_json(request, 200, explain(options, &subject));
    }
    json_decref(body);
}
