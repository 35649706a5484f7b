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
#include "serve/thread_pool.h"

#define TICK_INTERVAL_MS 50
#define COMPLETION_WAIT_MS 1000
#define IO_THREADS_MAX 40
#define REPORT_READ_TIMEOUT_MS 1000
#define PEER_CALL_TIMEOUT_MS 1000
#define US_PER_MS 1000

typedef struct work_item {
    sky_input_t input;
    /* run on the control thread if not NULL; otherwise the input is handled */
    void (*function)(sky_node_t *node, void *context);
    void *context;
    uint64_t waiter_id; /* notified when the function has returned */
    struct work_item *prev;
    struct work_item *next;
} work_item_t;

struct sky_control {
    const sky_settings_t *settings;
    sky_node_t *node;
    sky_workspace_table_t *workspace_table;
    sky_metrics_t *metrics;
    sky_peers_t *peers;
    sky_thread_pool_t *io_pool;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    work_item_t *queue;
    bool stopping;
    bool is_ready;
    bool has_missed_records;
    sky_waiters_t *waiters;
    uint64_t hosts_requested_us; /* when the host list was last requested */
    sky_offset_t logged_view_offset; /* last membership view in a log line */
};

static void
init_monotonic_condition(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

/* ---- work queue ---- */

/** Frees the memory that an input owns. */
static void
clear_input(sky_input_t *input)
{
    switch (input->kind) {
    case SKY_IN_LOG_READ:
        SkyPlatform_ClearLogRead(&input->u.log_read);
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
enqueue(sky_control_t *control, work_item_t *item)
{
    pthread_mutex_lock(&control->lock);
    DL_APPEND(control->queue, item);
    pthread_cond_signal(&control->wake);
    pthread_mutex_unlock(&control->lock);
}

void
SkyControl_PostInput(sky_control_t *control, const sky_input_t *input)
{
    work_item_t *item = calloc(1, sizeof *item);
    if (item == NULL) {
        abort();
    }
    item->input = *input;
    enqueue(control, item);
}

void
SkyControl_RunOnThread(sky_control_t *control,
                       void (*function)(sky_node_t *node, void *context),
                       void *context)
{
    sky_waiter_t *waiter = SkyWaiters_Register(control->waiters);
    work_item_t *item = calloc(1, sizeof *item);
    if (item == NULL || waiter == NULL) {
        abort();
    }
    item->function = function;
    item->context = context;
    item->waiter_id = SkyWaiter_Id(waiter);
    enqueue(control, item);
    while (SkyWaiter_WaitForDecision(waiter, COMPLETION_WAIT_MS).kind ==
           SKY_DECISION_NONE) {
    }
    SkyWaiters_Unregister(control->waiters, waiter);
}

/* ---- blocking calls on the I/O threads ---- */

typedef struct {
    sky_control_t *control;
    sky_record_t record;
    sky_order_t order;
    char adapter_name[2 * SKY_NAME_BYTES];
    sky_offset_t from_offset;
    uint32_t target;
} io_task_t;

/** Queues a copy of @p task, which @p function frees. Without memory the task
 *  is dropped. */
static void
submit_task(sky_control_t *control, sky_task_function_t function,
            const io_task_t *task)
{
    io_task_t *copy = malloc(sizeof *copy);
    if (copy == NULL) {
        return;
    }
    *copy = *task;
    copy->control = control;
    if (SkyResult_IsError(
            SkyThreadPool_Submit(control->io_pool, function, copy))) {
        free(copy);
    }
}

static void
append_record(void *context)
{
    io_task_t *task = context;
    const sky_settings_t *settings = task->control->settings;
    sky_input_t input = {.kind = SKY_IN_APPEND_RESULT};
    input.u.append_result = SkyPlatform_AppendRecord(
        settings->log_address, &task->record, settings->log_timeout_ms);
    SkyControl_PostInput(task->control, &input);
    SkyRecord_Clear(&task->record);
    free(task);
}

static void
read_log(void *context)
{
    io_task_t *task = context;
    const sky_settings_t *settings = task->control->settings;
    sky_input_t input = {.kind = SKY_IN_LOG_READ};
    input.u.log_read.begun_us = SkyClock_NowUs();
    SkyPlatform_ReadLog(settings->log_address, task->from_offset,
                        settings->log_timeout_ms, &input.u.log_read);
    SkyControl_PostInput(task->control, &input);
    free(task);
}

static void
read_report(void *context)
{
    io_task_t *task = context;
    sky_input_t input = {.kind = SKY_IN_REPORT};
    input.u.report.target = task->target;
    input.u.report.begun_us = SkyClock_NowUs();
    input.u.report.ok =
        SkyPlatform_ReadReport(&task->control->settings->targets[task->target],
                               REPORT_READ_TIMEOUT_MS, &input.u.report.report);
    SkyControl_PostInput(task->control, &input);
    free(task);
}

static void
send_order(void *context)
{
    io_task_t *task = context;
    const sky_settings_t *settings = task->control->settings;
    sky_input_t input = {.kind = SKY_IN_ORDER_RESULT};
    input.u.order_result.order = task->order;
    input.u.order_result.result = SkyPlatform_SendOrder(
        &settings->targets[task->order.target], &task->order,
        task->adapter_name, settings->store_address,
        settings->load_timeout_ms);
    SkyControl_PostInput(task->control, &input);
    free(task);
}

static void
read_hosts(void *context)
{
    io_task_t *task = context;
    const sky_settings_t *settings = task->control->settings;
    sky_input_t input = {.kind = SKY_IN_HOST_LIST};
    sky_listed_target_t *states =
        calloc(settings->target_count, sizeof *states);
    if (states != NULL) {
        input.u.host_list.states = states;
        input.u.host_list.count = SkyPlatform_ReadHosts(
            settings->hosts_address, settings->targets, settings->target_count,
            settings->log_timeout_ms, states);
        SkyControl_PostInput(task->control, &input);
    }
    free(task);
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
submit_order(sky_control_t *control, const sky_order_t *order)
{
    io_task_t task = {.order = *order};
    const char *name = SkyWorkspaceTable_FindAdapterName(
        control->workspace_table, order->adapter);
    if (name == NULL) { /* resident under a name that is no longer in force */
        sky_input_t input = {.kind = SKY_IN_ORDER_RESULT};
        input.u.order_result.order = *order;
        input.u.order_result.result = SKY_ORDER_RESULT_FAILED;
        SkyControl_PostInput(control, &input);
        return;
    }
    memcpy(task.adapter_name, name, strlen(name) + 1);
    submit_task(control, send_order, &task);
}

/** Cancels the dispatch if no thread waits for the request any more. */
static void
deliver_dispatch(sky_control_t *control, const sky_act_dispatch_t *dispatch)
{
    sky_decision_t decision = {.kind = SKY_DECISION_DISPATCH};
    decision.dispatch = *dispatch;
    if (!SkyWaiters_Deliver(control->waiters, dispatch->request, &decision)) {
        sky_input_t input = {.kind = SKY_IN_OUTCOME};
        input.u.outcome.request = dispatch->request;
        input.u.outcome.outcome = SKY_OUTCOME_CANCELLED;
        SkyControl_PostInput(control, &input);
    }
}

static void
deliver_response(sky_control_t *control, const sky_act_respond_t *response)
{
    sky_decision_t decision = {.kind = SKY_DECISION_RESPOND};
    decision.response = *response;
    SkyWaiters_Deliver(control->waiters, response->request, &decision);
}

static void
deliver_change_result(sky_control_t *control,
                      const sky_act_change_result_t *change_result)
{
    sky_decision_t decision = {.kind = SKY_DECISION_CHANGE_RESULT};
    decision.change_result = *change_result;
    SkyWaiters_Deliver(control->waiters, change_result->token, &decision);
}

typedef struct {
    sky_control_t *control;
    const char *template_name;
} template_update_t;

/** Updates a workspace if it uses the changed template. */
static void
update_workspace(const sky_resolved_workspace_t *resolved, void *context)
{
    const template_update_t *update = context;
    if (strcmp(resolved->workspace->template_name, update->template_name) ==
        0) {
        SkyWorkspaceTable_Apply(update->control->workspace_table, resolved);
    }
}

static void
apply_config(sky_control_t *control, const sky_act_apply_config_t *config)
{
    const sky_config_t *documents = SkyNode_Config(control->node);
    sky_resolved_workspace_t resolved;
    SkyLog_Write(
        LOG_NOTICE, "config_in_force", "kind=%s name=%s revision=%llu",
        config->kind == SKY_CONFIG_TEMPLATE ? "template" : "workspace",
        config->name, (unsigned long long)config->revision);
    if (config->kind == SKY_CONFIG_TEMPLATE) {
        template_update_t update = {control, config->name};
        SkyConfig_ForEachWorkspace(documents, update_workspace, &update);
    }
    else if (SkyConfig_FindWorkspace(documents, config->name, &resolved)) {
        SkyWorkspaceTable_Apply(control->workspace_table, &resolved);
    }
}

static void
perform_action(sky_control_t *control, sky_action_t *action)
{
    io_task_t task = {0};
    switch (action->kind) {
    case SKY_ACT_SEND:
        send_message(control, &action->u.send);
        break;
    case SKY_ACT_APPEND:
        task.record = action->u.append;
        submit_task(control, append_record, &task);
        break;
    case SKY_ACT_READ_LOG:
        task.from_offset = action->u.read_from;
        submit_task(control, read_log, &task);
        break;
    case SKY_ACT_READ_REPORT:
        task.target = action->u.report_target;
        submit_task(control, read_report, &task);
        break;
    case SKY_ACT_ORDER:
        submit_order(control, &action->u.order);
        break;
    case SKY_ACT_DISPATCH:
        deliver_dispatch(control, &action->u.dispatch);
        break;
    case SKY_ACT_RESPOND:
        deliver_response(control, &action->u.response);
        break;
    case SKY_ACT_CHANGE_RESULT:
        deliver_change_result(control, &action->u.change_result);
        break;
    case SKY_ACT_APPLY_CONFIG:
        apply_config(control, &action->u.config);
        break;
    }
}

/* ---- control thread ---- */

static void
step_node(sky_control_t *control, const sky_input_t *input,
          sky_actions_t *actions)
{
    SkyNode_Step(control->node, input, SkyClock_NowUs(), SkyClock_WallMs(),
                 actions);
    for (size_t i = 0; i < actions->count; i++) {
        perform_action(control, &actions->items[i]);
    }
    actions->count = 0;
}

static void
publish_state(sky_control_t *control)
{
    const sky_members_t *members = SkyNode_Members(control->node);
    bool is_ready = SkyNode_IsReady(control->node, SkyClock_NowUs());
    size_t count;
    SkyMembers_GetList(members, &count);
    if (is_ready != control->is_ready) {
        SkyLog_Write(LOG_NOTICE, is_ready ? "ready" : "not_ready",
                     "members=%zu", count);
    }
    if (SkyMembers_ViewOffset(members) != control->logged_view_offset) {
        control->logged_view_offset = SkyMembers_ViewOffset(members);
        SkyLog_Write(LOG_NOTICE, "membership", "view=%llu members=%zu",
                     (unsigned long long)control->logged_view_offset, count);
    }
    __atomic_store_n(&control->is_ready, is_ready, __ATOMIC_RELEASE);
    __atomic_store_n(&control->has_missed_records,
                     SkyNode_HasMissedRecords(control->node),
                     __ATOMIC_RELEASE);
}

static void
read_hosts_if_due(sky_control_t *control)
{
    uint64_t now_us = SkyClock_NowUs();
    uint64_t interval_us =
        (uint64_t)control->settings->hosts_poll_ms * US_PER_MS;
    io_task_t task = {0};
    if (now_us >= control->hosts_requested_us + interval_us) {
        control->hosts_requested_us = now_us;
        submit_task(control, read_hosts, &task);
    }
}

static work_item_t *
wait_for_work(sky_control_t *control, const struct timespec *deadline)
{
    pthread_mutex_lock(&control->lock);
    int wait_error = 0;
    while (control->queue == NULL && !control->stopping && !wait_error) {
        wait_error =
            pthread_cond_timedwait(&control->wake, &control->lock, deadline);
    }
    work_item_t *item = control->queue;
    if (item != NULL) {
        DL_DELETE(control->queue, item);
    }
    pthread_mutex_unlock(&control->lock);
    return item;
}

static void
handle_work(sky_control_t *control, work_item_t *item, sky_actions_t *actions)
{
    if (item->function != NULL) {
        sky_decision_t completed = {.kind = SKY_DECISION_RESPOND};
        item->function(control->node, item->context);
        SkyWaiters_Deliver(control->waiters, item->waiter_id, &completed);
    }
    else {
        step_node(control, &item->input, actions);
        clear_input(&item->input);
    }
    free(item);
}

static void *
run_control_thread(void *context)
{
    sky_control_t *control = context;
    sky_actions_t actions = {0};
    sky_input_t tick = {.kind = SKY_IN_TICK};
    uint64_t last_tick_us = 0;
    while (!__atomic_load_n(&control->stopping, __ATOMIC_ACQUIRE)) {
        struct timespec deadline = SkyClock_DeadlineAfterMs(TICK_INTERVAL_MS);
        work_item_t *item = wait_for_work(control, &deadline);
        if (item != NULL) {
            handle_work(control, item, &actions);
        }
        if (SkyClock_NowUs() >= last_tick_us + TICK_INTERVAL_MS * US_PER_MS) {
            last_tick_us = SkyClock_NowUs();
            step_node(control, &tick, &actions);
            publish_state(control);
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
    SkyControl_PostInput(context, &input);
}

static sky_result_t
start_io(sky_control_t *control)
{
    const sky_settings_t *settings = control->settings;
    sky_peers_options_t options = {.listen = settings->host_peer};
    options.key = settings->peer_key;
    options.self = SkyName_Hash(settings->host_name);
    options.timeout_ms = PEER_CALL_TIMEOUT_MS;
    options.on_message = on_message;
    options.context = control;
    sky_result_t result = SkyPeers_Create(&options, &control->peers);
    if (SkyResult_IsError(result)) {
        return result;
    }
    if (pthread_create(&control->thread, NULL, run_control_thread, control) !=
        0) {
        SkyPeers_Free(control->peers);
        control->peers = NULL;
        return SKY_E_IO;
    }
    return SKY_OK;
}

static void
free_control(sky_control_t *control)
{
    work_item_t *item;
    work_item_t *next;
    DL_FOREACH_SAFE(control->queue, item, next)
    {
        DL_DELETE(control->queue, item);
        clear_input(&item->input);
        free(item);
    }
    SkyNode_Free(control->node);
    SkyWorkspaceTable_Free(control->workspace_table);
    SkyMetrics_Free(control->metrics);
    pthread_mutex_destroy(&control->lock);
    pthread_cond_destroy(&control->wake);
    SkyWaiters_Free(control->waiters);
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
    init_monotonic_condition(&control->wake);
    control->waiters = SkyWaiters_Create();
    randombytes_buf(&seed, sizeof seed);
    SkySettings_InitNodeOptions(settings, seed, &options);
    control->node = SkyNode_Create(&options);
    control->workspace_table = SkyWorkspaceTable_Create();
    control->metrics = SkyMetrics_Create();
    control->io_pool = SkyThreadPool_Create(IO_THREADS_MAX);
    if (control->waiters == NULL || control->node == NULL ||
        control->workspace_table == NULL || control->metrics == NULL ||
        control->io_pool == NULL) {
        goto fail;
    }
    result = start_io(control);
    if (SkyResult_IsError(result)) {
        goto fail;
    }
    *created = control;
    return SKY_OK;

fail:
    SkyThreadPool_Free(control->io_pool);
    free_control(control);
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
    SkyThreadPool_Free(control->io_pool);
    free_control(control);
}

/* ---- accessors ---- */

bool
SkyControl_IsReady(const sky_control_t *control)
{
    return __atomic_load_n(&control->is_ready, __ATOMIC_ACQUIRE);
}

bool
SkyControl_HasMissedRecords(const sky_control_t *control)
{
    return __atomic_load_n(&control->has_missed_records, __ATOMIC_ACQUIRE);
}

sky_waiters_t *
SkyControl_Waiters(sky_control_t *control)
{
    return control->waiters;
}

sky_workspace_table_t *
SkyControl_WorkspaceTable(sky_control_t *control)
{
    return control->workspace_table;
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
