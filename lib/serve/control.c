#include "serve/control.h"

#include <pthread.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "platform/platform.h"
#include "serve/workers.h"

#define TICK_MS 50
#define CALL_STEP_MS 1000
#define WORKER_THREADS 40
#define REPORT_TIMEOUT_MS 1000
#define PEER_TIMEOUT_MS 1000
#define US_PER_MS 1000

typedef struct item {
    sky_input_t input;
    void (*visit)(sky_node_t *node, void *context); /* instead of an input */
    void *context;
    uint64_t done; /* exchange to answer after the visit */
    struct item *prev;
    struct item *next;
} item_t;

struct sky_control {
    const sky_settings_t *settings;
    sky_node_t *node;
    sky_view_t *view;
    sky_metrics_t *metrics;
    sky_peers_t *peers;
    sky_workers_t *workers;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    item_t *queue;
    bool stopping;
    bool ready;
    bool lost;
    sky_exchanges_t *exchanges;
    uint64_t hosts_read_us;
    sky_offset_t view_offset; /* last membership written to the log lines */
};

static void
init_condition(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

/* ---- queue of inputs ---- */

static void
free_input(sky_input_t *input)
{
    switch (input->kind) {
    case SKY_IN_LOG_READ:
        SkyPlatform_FreeRead(&input->u.log_read);
        break;
    case SKY_IN_HOST_LIST:
        free((void *)input->u.host_list.states);
        break;
    case SKY_IN_CONFIG_CHANGE:
        free(input->u.change.config.body);
        break;
    default:
        break;
    }
}

static void
push(sky_control_t *control, item_t *item)
{
    pthread_mutex_lock(&control->lock);
    DL_APPEND(control->queue, item);
    pthread_cond_signal(&control->wake);
    pthread_mutex_unlock(&control->lock);
}

void
SkyControl_Post(sky_control_t *control, const sky_input_t *input)
{
    item_t *item = calloc(1, sizeof *item);
    if (item == NULL) {
        abort();
    }
    item->input = *input;
    push(control, item);
}

void
SkyControl_Call(sky_control_t *control,
                void (*visit)(sky_node_t *node, void *context), void *context)
{
    sky_exchange_t *done = SkyExchanges_Open(control->exchanges);
    item_t *item = calloc(1, sizeof *item);
    if (item == NULL || done == NULL) {
        abort();
    }
    item->visit = visit;
    item->context = context;
    item->done = SkyExchange_Id(done);
    push(control, item);
    while (SkyExchange_Wait(done, CALL_STEP_MS).kind == SKY_DECIDED_NOTHING) {
    }
    SkyExchanges_Close(control->exchanges, done);
}

/* ---- blocking jobs ---- */

typedef struct {
    sky_control_t *control;
    sky_record_t record;
    sky_order_t order;
    char adapter[2 * SKY_NAME_BYTES];
    sky_offset_t from;
    uint32_t target;
} job_t;

static void
submit(sky_control_t *control, sky_job_t run, const job_t *job)
{
    job_t *copy = malloc(sizeof *copy);
    if (copy == NULL) {
        return;
    }
    *copy = *job;
    copy->control = control;
    if (SkyResult_IsError(SkyWorkers_Submit(control->workers, run, copy))) {
        free(copy);
    }
}

static void
run_append(void *context)
{
    job_t *job = context;
    const sky_settings_t *settings = job->control->settings;
    sky_input_t input = {.kind = SKY_IN_APPEND_RESULT};
    input.u.append_result = SkyPlatform_Append(
        settings->log_address, &job->record, settings->log_timeout_ms);
    SkyControl_Post(job->control, &input);
    SkyRecord_Clear(&job->record);
    free(job);
}

static void
run_read_log(void *context)
{
    job_t *job = context;
    const sky_settings_t *settings = job->control->settings;
    sky_input_t input = {.kind = SKY_IN_LOG_READ};
    input.u.log_read.begun_us = SkyClock_NowUs();
    SkyPlatform_ReadLog(settings->log_address, job->from,
                        settings->log_timeout_ms, &input.u.log_read);
    SkyControl_Post(job->control, &input);
    free(job);
}

static void
run_report(void *context)
{
    job_t *job = context;
    sky_input_t input = {.kind = SKY_IN_REPORT};
    input.u.report.target = job->target;
    input.u.report.begun_us = SkyClock_NowUs();
    input.u.report.ok =
        SkyPlatform_ReadReport(&job->control->settings->targets[job->target],
                               REPORT_TIMEOUT_MS, &input.u.report.report);
    SkyControl_Post(job->control, &input);
    free(job);
}

static void
run_order(void *context)
{
    job_t *job = context;
    const sky_settings_t *settings = job->control->settings;
    sky_input_t input = {.kind = SKY_IN_ORDER_RESULT};
    input.u.order_result.order = job->order;
    input.u.order_result.result = SkyPlatform_Order(
        &settings->targets[job->order.target], &job->order, job->adapter,
        settings->store_address, settings->load_timeout_ms);
    SkyControl_Post(job->control, &input);
    free(job);
}

static void
run_read_hosts(void *context)
{
    job_t *job = context;
    const sky_settings_t *settings = job->control->settings;
    sky_input_t input = {.kind = SKY_IN_HOST_LIST};
    sky_listed_target_t *states =
        calloc(settings->target_count, sizeof *states);
    if (states != NULL) {
        input.u.host_list.states = states;
        input.u.host_list.count = SkyPlatform_ReadHosts(
            settings->hosts_address, settings->targets, settings->target_count,
            settings->log_timeout_ms, states);
        SkyControl_Post(job->control, &input);
    }
    free(job);
}

/* ---- actions ---- */

static void
send_message(sky_control_t *control, const sky_act_send_t *send)
{
    const sky_member_t *member =
        SkyMembers_Find(SkyNode_Members(control->node), send->to);
    if (member != NULL) {
        SkyPeers_Send(control->peers, send->to, member->address, &send->msg);
    }
}

static void
give_order(sky_control_t *control, const sky_order_t *order)
{
    job_t job = {.order = *order};
    const char *name = SkyView_AdapterName(control->view, order->adapter);
    if (name == NULL) { /* resident under a name that is no longer in force */
        sky_input_t input = {.kind = SKY_IN_ORDER_RESULT};
        input.u.order_result.order = *order;
        input.u.order_result.result = SKY_ORDER_RESULT_FAILED;
        SkyControl_Post(control, &input);
        return;
    }
    memcpy(job.adapter, name, strlen(name) + 1);
    submit(control, run_order, &job);
}

static void
deliver_dispatch(sky_control_t *control, const sky_act_dispatch_t *dispatch)
{
    sky_decision_t decision = {.kind = SKY_DECIDED_DISPATCH};
    decision.dispatch = *dispatch;
    if (!SkyExchanges_Deliver(control->exchanges, dispatch->request,
                              &decision)) {
        sky_input_t input = {.kind = SKY_IN_OUTCOME};
        input.u.outcome.request = dispatch->request;
        input.u.outcome.outcome = SKY_OUTCOME_CANCELLED;
        SkyControl_Post(control, &input);
    }
}

static void
deliver_answer(sky_control_t *control, const sky_act_respond_t *response)
{
    sky_decision_t decision = {.kind = SKY_DECIDED_ANSWER};
    decision.response = *response;
    SkyExchanges_Deliver(control->exchanges, response->request, &decision);
}

static void
deliver_changed(sky_control_t *control,
                const sky_act_change_result_t *change_result)
{
    sky_decision_t decision = {.kind = SKY_DECIDED_CHANGED};
    decision.change_result = *change_result;
    SkyExchanges_Deliver(control->exchanges, change_result->token, &decision);
}

typedef struct {
    sky_control_t *control;
    const char *template_name;
} refresh_t;

static void
refresh_user(const sky_resolved_workspace_t *opening, void *context)
{
    const refresh_t *refresh = context;
    if (strcmp(opening->workspace->template_name, refresh->template_name) ==
        0) {
        SkyView_Put(refresh->control->view, opening);
    }
}

static void
put_in_force(sky_control_t *control, const sky_act_apply_config_t *config)
{
    const sky_config_t *source = SkyNode_Config(control->node);
    sky_resolved_workspace_t opening;
    SkyLog_Write(
        LOG_NOTICE, "config_in_force", "kind=%s name=%s revision=%llu",
        config->kind == SKY_CONFIG_TEMPLATE ? "template" : "workspace",
        config->name, (unsigned long long)config->revision);
    if (config->kind == SKY_CONFIG_TEMPLATE) {
        refresh_t refresh = {control, config->name};
        SkyConfig_ForEachWorkspace(source, refresh_user, &refresh);
    }
    else if (SkyConfig_FindWorkspace(source, config->name, &opening)) {
        SkyView_Put(control->view, &opening);
    }
}

static void
perform(sky_control_t *control, sky_action_t *action)
{
    job_t job = {0};
    switch (action->kind) {
    case SKY_ACT_SEND:
        send_message(control, &action->u.send);
        break;
    case SKY_ACT_APPEND:
        job.record = action->u.append;
        submit(control, run_append, &job);
        break;
    case SKY_ACT_READ_LOG:
        job.from = action->u.read_from;
        submit(control, run_read_log, &job);
        break;
    case SKY_ACT_READ_REPORT:
        job.target = action->u.report_target;
        submit(control, run_report, &job);
        break;
    case SKY_ACT_ORDER:
        give_order(control, &action->u.order);
        break;
    case SKY_ACT_DISPATCH:
        deliver_dispatch(control, &action->u.dispatch);
        break;
    case SKY_ACT_RESPOND:
        deliver_answer(control, &action->u.response);
        break;
    case SKY_ACT_CHANGE_RESULT:
        deliver_changed(control, &action->u.change_result);
        break;
    case SKY_ACT_APPLY_CONFIG:
        put_in_force(control, &action->u.config);
        break;
    }
}

/* ---- thread ---- */

static void
step(sky_control_t *control, const sky_input_t *input, sky_actions_t *actions)
{
    SkyNode_Step(control->node, input, SkyClock_NowUs(), SkyClock_WallMs(),
                 actions);
    for (size_t i = 0; i < actions->count; i++) {
        perform(control, &actions->items[i]);
    }
    actions->count = 0;
}

static void
note_state(sky_control_t *control)
{
    const sky_members_t *members = SkyNode_Members(control->node);
    bool ready = SkyNode_IsReady(control->node, SkyClock_NowUs());
    size_t count;
    SkyMembers_GetList(members, &count);
    if (ready != control->ready) {
        SkyLog_Write(LOG_NOTICE, ready ? "ready" : "not_ready", "members=%zu",
                     count);
    }
    if (SkyMembers_ViewOffset(members) != control->view_offset) {
        control->view_offset = SkyMembers_ViewOffset(members);
        SkyLog_Write(LOG_NOTICE, "membership", "view=%llu members=%zu",
                     (unsigned long long)control->view_offset, count);
    }
    __atomic_store_n(&control->ready, ready, __ATOMIC_RELEASE);
    __atomic_store_n(&control->lost, SkyNode_HasMissedRecords(control->node),
                     __ATOMIC_RELEASE);
}

static void
read_hosts_if_due(sky_control_t *control)
{
    uint64_t now_us = SkyClock_NowUs();
    uint64_t every_us = (uint64_t)control->settings->hosts_poll_ms * US_PER_MS;
    job_t job = {0};
    if (now_us >= control->hosts_read_us + every_us) {
        control->hosts_read_us = now_us;
        submit(control, run_read_hosts, &job);
    }
}

static item_t *
take_item(sky_control_t *control, const struct timespec *until)
{
    pthread_mutex_lock(&control->lock);
    int expired = 0;
    while (control->queue == NULL && !control->stopping && !expired) {
        expired =
            pthread_cond_timedwait(&control->wake, &control->lock, until);
    }
    item_t *item = control->queue;
    if (item != NULL) {
        DL_DELETE(control->queue, item);
    }
    pthread_mutex_unlock(&control->lock);
    return item;
}

static void
handle_item(sky_control_t *control, item_t *item, sky_actions_t *actions)
{
    if (item->visit != NULL) {
        sky_decision_t done = {.kind = SKY_DECIDED_ANSWER};
        item->visit(control->node, item->context);
        SkyExchanges_Deliver(control->exchanges, item->done, &done);
    }
    else {
        step(control, &item->input, actions);
        free_input(&item->input);
    }
    free(item);
}

static void *
run_control(void *context)
{
    sky_control_t *control = context;
    sky_actions_t actions = {0};
    sky_input_t tick = {.kind = SKY_IN_TICK};
    uint64_t ticked_us = 0;
    while (!__atomic_load_n(&control->stopping, __ATOMIC_ACQUIRE)) {
        struct timespec until = SkyClock_In(TICK_MS);
        item_t *item = take_item(control, &until);
        if (item != NULL) {
            handle_item(control, item, &actions);
        }
        if (SkyClock_NowUs() >= ticked_us + TICK_MS * US_PER_MS) {
            ticked_us = SkyClock_NowUs();
            step(control, &tick, &actions);
            note_state(control);
            read_hosts_if_due(control);
        }
    }
    SkyActions_Clear(&actions);
    return NULL;
}

static void
on_message(const sky_in_message_t *in, void *context)
{
    sky_input_t input = {.kind = SKY_IN_MESSAGE};
    input.u.message = *in;
    SkyControl_Post(context, &input);
}

static sky_result_t
start(sky_control_t *control)
{
    const sky_settings_t *settings = control->settings;
    sky_peers_options_t options = {.listen = settings->host_peer};
    options.key = settings->peer_key;
    options.self = SkyName_Hash(settings->host_name);
    options.timeout_ms = PEER_TIMEOUT_MS;
    options.on_message = on_message;
    options.context = control;
    sky_result_t result = SkyPeers_Create(&options, &control->peers);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (pthread_create(&control->thread, NULL, run_control, control) != 0) {
        SkyPeers_Free(control->peers);
        control->peers = NULL;
        return SKY_E_IO;
    }
    return SKY_OK;
}

static void
free_parts(sky_control_t *control)
{
    item_t *item;
    item_t *next;
    DL_FOREACH_SAFE(control->queue, item, next)
    {
        DL_DELETE(control->queue, item);
        free_input(&item->input);
        free(item);
    }
    SkyNode_Free(control->node);
    SkyView_Free(control->view);
    SkyMetrics_Free(control->metrics);
    pthread_mutex_destroy(&control->lock);
    pthread_cond_destroy(&control->wake);
    SkyExchanges_Free(control->exchanges);
    free(control);
}

sky_result_t
SkyControl_Create(const sky_settings_t *settings, sky_control_t **created)
{
    sky_node_options_t options;
    uint64_t seed;
    sky_result_t result = SKY_E_MEMORY;
    sky_control_t *control = calloc(1, sizeof *control);
    if (control == NULL) {
        return SKY_E_MEMORY;
    }
    control->settings = settings;
    pthread_mutex_init(&control->lock, NULL);
    init_condition(&control->wake);
    control->exchanges = SkyExchanges_Create();
    randombytes_buf(&seed, sizeof seed);
    SkySettings_ToNode(settings, seed, &options);
    control->node = SkyNode_Create(&options);
    control->view = SkyView_Create();
    control->metrics = SkyMetrics_Create();
    control->workers = SkyWorkers_Create(WORKER_THREADS);
    if (control->exchanges == NULL || control->node == NULL ||
        control->view == NULL || control->metrics == NULL ||
        control->workers == NULL) {
        goto fail;
    }
    result = start(control);
    if (SkyResult_IsError(result)) {
        goto fail;
    }
    *created = control;
    return SKY_OK;

fail:
    SkyWorkers_Free(control->workers);
    free_parts(control);
    return result;
}

void
SkyControl_Free(sky_control_t *control)
{
    if (control == NULL) {
        return;
    }
    pthread_mutex_lock(&control->lock);
    __atomic_store_n(&control->stopping, true, __ATOMIC_RELEASE);
    pthread_cond_signal(&control->wake);
    pthread_mutex_unlock(&control->lock);
    pthread_join(control->thread, NULL);
    SkyPeers_Free(control->peers);
    SkyWorkers_Free(control->workers);
    free_parts(control);
}

/* ---- views ---- */

bool
SkyControl_IsReady(const sky_control_t *control)
{
    return __atomic_load_n(&control->ready, __ATOMIC_ACQUIRE);
}

bool
SkyControl_IsLost(const sky_control_t *control)
{
    return __atomic_load_n(&control->lost, __ATOMIC_ACQUIRE);
}

sky_exchanges_t *
SkyControl_Exchanges(sky_control_t *control)
{
    return control->exchanges;
}

sky_view_t *
SkyControl_View(sky_control_t *control)
{
    return control->view;
}

sky_metrics_t *
SkyControl_Metrics(sky_control_t *control)
{
    return control->metrics;
}

sky_peers_t *
SkyControl_Peers(sky_control_t *control)
{
    return control->peers;
}

const sky_settings_t *
SkyControl_Settings(const sky_control_t *control)
{
    return control->settings;
}
