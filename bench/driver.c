#include "bench/driver.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/driver_state.h"

#define START_US UINT64_C(1000000)
#define START_WALL_MS UINT64_C(1800000000000)
#define HOST_LIST_INTERVAL_US UINT64_C(1000000)
#define RESPONSE_SLACK_US UINT64_C(1500000) /* allowed past a deadline */
#define ATTEMPT_BITS_MASK UINT64_C(15)      /* of a request id */

void
Driver_SetDefaultOptions(driver_options_t *options)
{
    memset(options, 0, sizeof *options);
    options->domains = 3;
    options->same_domain_delay_us = 200;
    options->cross_domain_delay_us = 1500;
    options->log_delay_us = 2000;
    options->retention_us = UINT64_C(3600000000);
    options->store_loads_per_s = 3.0;
    options->store_parallel_loads = 2;
    options->transit_max = 16;
    options->transit_us = 250000;
    options->report_lag_us = 500000;
    options->prefill_us = 60000;
    options->token_us = 20000;
    options->batch_slowdown = 0.5;
    options->idle_timeout_us = 900000;
    options->restart_delay_us = 3000000;
    options->tick_interval_us = 50000;
    SkyNode_InitOptions(&options->node);
}

/* ---- event queue ---- */

static bool
is_before(const event_t *a, const event_t *b)
{
    if (a->at_us != b->at_us) {
        return a->at_us < b->at_us;
    }
    return a->sequence < b->sequence;
}

static void
swap_events(event_t **a, event_t **b)
{
    event_t *old_a = *a;
    *a = *b;
    *b = old_a;
}

static void
push_event(driver_t *driver, event_t *event)
{
    if (driver->event_count == driver->event_capacity) {
        driver->event_capacity = 2 * driver->event_capacity + 1024;
        driver->event_heap =
            realloc(driver->event_heap,
                    driver->event_capacity * sizeof *driver->event_heap);
        if (driver->event_heap == NULL) {
            abort();
        }
    }
    size_t at = driver->event_count++;
    driver->event_heap[at] = event;
    while (at > 0 && is_before(driver->event_heap[at],
                               driver->event_heap[(at - 1) / 2])) {
        swap_events(&driver->event_heap[at],
                    &driver->event_heap[(at - 1) / 2]);
        at = (at - 1) / 2;
    }
}

static event_t *
pop_event(driver_t *driver)
{
    event_t *first = driver->event_heap[0];
    size_t at = 0;
    driver->event_heap[0] = driver->event_heap[--driver->event_count];
    for (;;) {
        size_t earliest = at;
        for (size_t child = 2 * at + 1;
             child <= 2 * at + 2 && child < driver->event_count; child++) {
            if (is_before(driver->event_heap[child],
                          driver->event_heap[earliest])) {
                earliest = child;
            }
        }
        if (earliest == at) {
            return first;
        }
        swap_events(&driver->event_heap[at], &driver->event_heap[earliest]);
        at = earliest;
    }
}

event_t *
DriverState_ScheduleEvent(driver_t *driver, event_kind_t kind, uint64_t at_us)
{
    event_t *event = calloc(1, sizeof *event);
    if (event == NULL) {
        abort();
    }
    event->kind = kind;
    event->at_us = at_us;
    event->sequence = ++driver->sequence;
    push_event(driver, event);
    return event;
}

sky_input_t *
DriverState_ScheduleInput(driver_t *driver, uint32_t host, uint32_t generation,
                          sky_input_kind_t kind, uint64_t at_us)
{
    sky_input_t *input = calloc(1, sizeof *input);
    event_t *event =
        DriverState_ScheduleEvent(driver, EVENT_HOST_INPUT, at_us);
    if (input == NULL) {
        abort();
    }
    input->kind = kind;
    event->host = host;
    event->generation = generation;
    event->input = input;
    return input;
}

void
DriverState_Trace(const driver_t *driver, const char *format, ...)
{
    va_list arguments;
    if (!driver->options.trace) {
        return;
    }
    printf("%10.4f ", (double)driver->now_us / 1e6);
    va_start(arguments, format);
    vprintf(format, arguments);
    va_end(arguments);
    putchar('\n');
}

/* ---- randomness ---- */

uint32_t
Driver_RandomBelow(driver_t *driver, uint32_t below)
{
    return below ? (uint32_t)nrand48(driver->random_state) % below : 0;
}

double
Driver_RandomFraction(driver_t *driver)
{
    return erand48(driver->random_state);
}

uint64_t
DriverState_AddJitter(driver_t *driver, uint64_t base_us)
{
    return base_us +
           (uint64_t)(Driver_RandomFraction(driver) * (double)base_us / 4);
}

/* ---- hosts ---- */

static uint32_t
host_domain(const driver_t *driver, uint32_t host)
{
    return host % driver->options.domains;
}

static uint64_t
draw_delay_us(driver_t *driver, uint32_t from, uint32_t to)
{
    bool near = host_domain(driver, from) == host_domain(driver, to);
    return DriverState_AddJitter(driver,
                                 near ? driver->options.same_domain_delay_us
                                      : driver->options.cross_domain_delay_us);
}

uint64_t
DriverState_HostClockUs(const driver_t *driver, uint32_t host)
{
    return driver->now_us + driver->hosts[host].clock_offset_us;
}

static uint32_t
find_host(const driver_t *driver, sky_host_id_t id)
{
    for (uint32_t i = 0; i < driver->options.hosts; i++) {
        const host_t *host = &driver->hosts[i];
        if (host->alive &&
            SkyMembers_SelfId(SkyNode_Members(host->node)) == id) {
            return i;
        }
    }
    return DRIVER_HOSTS_MAX;
}

void
Driver_StartHost(driver_t *driver, uint32_t index)
{
    host_t *host = &driver->hosts[index];
    sky_node_options_t options = driver->options.node;
    if (host->alive) {
        return;
    }
    snprintf(options.members.name, sizeof options.members.name, "host%u",
             index);
    options.members.domain = host_domain(driver, index);
    options.members.seed =
        driver->options.seed * 1000003 + host->generation * 997 + index;
    options.members.retention_us = driver->options.retention_us;
    DriverState_Trace(driver, "start host%u", index);
    host->node = SkyNode_Create(&options);
    host->alive = true;
    host->drain_requested = false;
    host->leave_requested = false;
    host->generation++;
    memset(host->last_revisions, 0, sizeof host->last_revisions);
    host->paused_until_us = 0;
    host->clock_offset_us =
        (uint64_t)Driver_RandomBelow(driver, 1000000) * 100;
    event_t *first_tick = DriverState_ScheduleEvent(
        driver, EVENT_HOST_TICK,
        driver->now_us + Driver_RandomBelow(driver, 20000));
    first_tick->host = index;
    first_tick->generation = host->generation;
}

void
Driver_KillHost(driver_t *driver, uint32_t index)
{
    host_t *host = &driver->hosts[index];
    if (!host->alive) {
        return;
    }
    DriverState_Trace(driver, "kill host%u", index);
    SkyNode_Free(host->node);
    host->node = NULL;
    host->alive = false;
    for (uint32_t i = 0; i < driver->result_count; i++) {
        driver_result_t *result = &driver->results[i];
        if (result->host == index && !result->completed) {
            result->host_stopped = true;
            result->completed = true;
            result->finished_us = driver->now_us;
        }
    }
}

/* ---- actions of a host ---- */

static void
send_message(driver_t *driver, uint32_t from, const sky_act_send_t *send)
{
    uint32_t to = find_host(driver, send->to);
    driver->stats.messages++;
    driver->stats.messages_by_kind[send->msg.kind % 32]++;
    if (to == DRIVER_HOSTS_MAX || driver->peer_cut[from][to]) {
        return;
    }
    sky_input_t *input = DriverState_ScheduleInput(
        driver, to, driver->hosts[to].generation, SKY_IN_MESSAGE,
        driver->now_us + draw_delay_us(driver, from, to));
    input->u.message.from =
        SkyMembers_SelfId(SkyNode_Members(driver->hosts[from].node));
    input->u.message.msg = send->msg;
}

static event_t *
send_to_target(driver_t *driver, event_kind_t kind, uint32_t host,
               uint32_t target)
{
    uint64_t delay_us = DriverState_AddJitter(
        driver, driver->options.cross_domain_delay_us / 2);
    event_t *event =
        DriverState_ScheduleEvent(driver, kind, driver->now_us + delay_us);
    event->host = host;
    event->generation = driver->hosts[host].generation;
    event->target = target;
    event->opened_us = driver->now_us;
    event->sent_host_us = DriverState_HostClockUs(driver, host);
    return event;
}

static void
record_response(driver_t *driver, const sky_act_respond_t *response)
{
    driver_result_t *result =
        DriverState_FindResult(driver, response->request, NULL);
    if (result == NULL || result->completed) {
        return;
    }
    uint64_t deadline_us =
        result->arrived_us + (uint64_t)result->request.timeout_ms * 1000;
    result->completed = true;
    result->code = response->code;
    result->retry_after_ms = response->retry_after_ms;
    result->finished_us = driver->now_us;
    DriverState_Trace(driver, "response %lx at host%u: %s", response->request,
                      result->host, SkyResult_Symbol(response->code));
    if (SkyResult_Outcome(response->code)[0] == 'n') { /* not_run */
        driver->breaches.run_after_not_run += result->runs > 0;
        bool late =
            driver->now_us > deadline_us + RESPONSE_SLACK_US &&
            driver->hosts[result->host].paused_until_us + RESPONSE_SLACK_US <
                driver->now_us;
        driver->breaches.late_response += late;
        DriverState_Trace(driver, "deadline %lu us ago%s",
                          driver->now_us - deadline_us, late ? " BREACH" : "");
    }
}

static void
record_change_result(driver_t *driver,
                     const sky_act_change_result_t *change_result)
{
    driver->change_results[driver->change_result_count++ % 256] =
        *change_result;
}

static void
check_revision(driver_t *driver, uint32_t host,
               const sky_act_apply_config_t *config)
{
    sky_offset_t *last = &driver->hosts[host].last_revisions[config->kind];
    driver->breaches.revision_reverted += config->revision < *last;
    *last = config->revision;
}

static void
perform_action(driver_t *driver, uint32_t host, sky_action_t *action)
{
    event_t *event;
    uint64_t log_arrival_us =
        driver->now_us +
        DriverState_AddJitter(driver, driver->options.log_delay_us);
    switch (action->kind) {
    case SKY_ACT_SEND:
        if (action->u.send.msg.kind > SKY_MSG_HOST_SUSPECTED) {
            DriverState_Trace(driver, "host%u sends %d to %lx", host,
                              (int)action->u.send.msg.kind, action->u.send.to);
        }
        send_message(driver, host, &action->u.send);
        break;
    case SKY_ACT_APPEND:
        event = DriverState_ScheduleEvent(driver, EVENT_LOG_APPEND,
                                          log_arrival_us);
        event->host = host;
        event->generation = driver->hosts[host].generation;
        event->record = malloc(sizeof *event->record);
        *event->record = action->u.append;
        break;
    case SKY_ACT_READ_LOG:
        event =
            DriverState_ScheduleEvent(driver, EVENT_LOG_READ, log_arrival_us);
        event->host = host;
        event->generation = driver->hosts[host].generation;
        event->offset_or_version = action->u.read_from;
        event->sent_host_us = DriverState_HostClockUs(driver, host);
        break;
    case SKY_ACT_READ_REPORT:
        send_to_target(driver, EVENT_REPORT_REQUEST, host,
                       action->u.report_target);
        break;
    case SKY_ACT_ORDER:
        DriverState_Trace(driver, "host%u orders %s of %lu on target%u", host,
                          action->u.order.kind == SKY_ORDER_LOAD ? "load"
                                                                 : "unload",
                          action->u.order.adapter, action->u.order.target);
        event = send_to_target(driver, EVENT_TARGET_ORDER, host,
                               action->u.order.target);
        event->order = action->u.order;
        break;
    case SKY_ACT_DISPATCH:
        DriverState_Trace(driver,
                          "host%u dispatches %lx to target%u fence %lu", host,
                          action->u.dispatch.request,
                          action->u.dispatch.target, action->u.dispatch.fence);
        event = send_to_target(driver, EVENT_TARGET_DISPATCH, host,
                               action->u.dispatch.target);
        event->dispatch = action->u.dispatch;
        break;
    case SKY_ACT_RESPOND:
        record_response(driver, &action->u.response);
        break;
    case SKY_ACT_CHANGE_RESULT:
        record_change_result(driver, &action->u.change_result);
        break;
    case SKY_ACT_APPLY_CONFIG:
        check_revision(driver, host, &action->u.config);
        break;
    }
}

void
DriverState_StepHost(driver_t *driver, uint32_t host, const sky_input_t *input)
{
    sky_actions_t actions = driver->action_buffer;
    /* Steps do not nest; if one ever does, it must not share the buffer. */
    driver->action_buffer.items = NULL;
    driver->action_buffer.count = 0;
    driver->action_buffer.capacity = 0;
    actions.count = 0;
    driver->stats.steps++;
    SkyNode_Step(driver->hosts[host].node, input,
                 DriverState_HostClockUs(driver, host),
                 START_WALL_MS + driver->now_us / 1000, &actions);
    for (size_t i = 0; i < actions.count; i++) {
        perform_action(driver, host, &actions.items[i]);
    }
    driver->action_buffer = actions;
}

static void
free_input(sky_input_t *input)
{
    if (input->kind == SKY_IN_LOG_READ) {
        for (uint32_t i = 0; i < input->u.log_read.count; i++) {
            SkyRecord_Clear(&input->u.log_read.records[i]);
        }
        free(input->u.log_read.records);
    }
    else if (input->kind == SKY_IN_CONFIG_CHANGE) {
        free(input->u.change.config.body);
    }
    free(input);
}

static void
advance_drain(driver_t *driver, uint32_t index)
{
    host_t *host = &driver->hosts[index];
    sky_input_t stop_accepting = {.kind = SKY_IN_STOP_ACCEPTING};
    sky_input_t leave = {.kind = SKY_IN_LEAVE};
    const sky_members_t *members = SkyNode_Members(host->node);
    if (!host->drain_requested) {
        return;
    }
    if (host->leave_requested) {
        if (SkyMembers_Find(members, SkyMembers_SelfId(members)) == NULL) {
            Driver_KillHost(driver, index);
        }
        return;
    }
    DriverState_StepHost(driver, index, &stop_accepting);
    if (SkyNode_IsIdle(host->node)) {
        host->leave_requested = true;
        DriverState_StepHost(driver, index, &leave);
    }
}

static void
handle_tick(driver_t *driver, const event_t *event)
{
    sky_input_t input = {.kind = SKY_IN_TICK};
    host_t *host = &driver->hosts[event->host];
    DriverState_StepHost(driver, event->host, &input);
    advance_drain(driver, event->host);
    if (!host->alive) {
        return;
    }
    if (SkyNode_HasMissedRecords(host->node)) {
        /* It cannot catch up from the log and has no state on disk. */
        Driver_KillHost(driver, event->host);
        Driver_StartHost(driver, event->host);
        return;
    }
    event_t *next = DriverState_ScheduleEvent(
        driver, EVENT_HOST_TICK,
        driver->now_us + driver->options.tick_interval_us);
    next->host = event->host;
    next->generation = event->generation;
}

/** Gives a host the list of hosts, which each one reads on its own schedule.
 */
static void
handle_host_list_read(driver_t *driver, const event_t *event)
{
    uint32_t count = driver->options.node.target_count;
    sky_listed_target_t states[count];
    sky_input_t input = {.kind = SKY_IN_HOST_LIST};
    for (uint32_t t = 0; t < count; t++) {
        states[t].target = t;
        states[t].leaving = driver->targets[t].leaving_since_us != 0;
    }
    input.u.host_list.states = states;
    input.u.host_list.count = count;
    uint32_t host = event->host;
    if (driver->hosts[host].alive &&
        driver->now_us >= driver->hosts[host].paused_until_us) {
        DriverState_StepHost(driver, host, &input);
    }
    event_t *next = DriverState_ScheduleEvent(
        driver, EVENT_HOST_LIST_READ,
        driver->now_us + DriverState_AddJitter(driver, HOST_LIST_INTERVAL_US));
    next->host = host;
}

/* ---- main loop ---- */

static bool
depends_on_host(const event_t *event)
{
    return event->kind == EVENT_HOST_TICK || event->kind == EVENT_HOST_INPUT ||
           event->kind == EVENT_TARGET_ORDER ||
           event->kind == EVENT_TARGET_DISPATCH;
}

/**
 * Drops the events of a host that has stopped, except those already sent to a
 * target, and defers those of a paused host until its pause ends, as if it had
 * been paused just before sending.
 * @return true if the event is not to be handled now; it was freed or put back
 */
static bool
drop_or_defer(driver_t *driver, event_t *event)
{
    const host_t *host = &driver->hosts[event->host];
    bool sent_to_target = event->kind == EVENT_TARGET_ORDER ||
                          event->kind == EVENT_TARGET_DISPATCH;
    if (!depends_on_host(event)) {
        return false;
    }
    if (!host->alive || host->generation != event->generation) {
        if (sent_to_target) {
            return false;
        }
        if (event->input != NULL) {
            free_input(event->input);
        }
        free(event);
        return true;
    }
    if (driver->now_us >= host->paused_until_us) {
        return false;
    }
    event->at_us = host->paused_until_us;
    push_event(driver, event);
    return true;
}

/** A request that was sent to a paused host arrives when the pause ends. */
static void
record_arrival(driver_t *driver, const sky_input_t *input)
{
    if (input->kind == SKY_IN_REQUEST) {
        DriverState_FindResult(driver, input->u.request.request, NULL)
            ->arrived_us = driver->now_us;
    }
}

static void
handle_event(driver_t *driver, event_t *event)
{
    switch (event->kind) {
    case EVENT_HOST_TICK:
        handle_tick(driver, event);
        break;
    case EVENT_HOST_INPUT:
        record_arrival(driver, event->input);
        DriverState_StepHost(driver, event->host, event->input);
        free_input(event->input);
        break;
    case EVENT_LOG_APPEND:
        DriverLog_HandleAppend(driver, event);
        break;
    case EVENT_LOG_READ:
        DriverLog_HandleRead(driver, event);
        break;
    case EVENT_TARGET_ORDER:
        DriverTargets_HandleOrder(driver, event);
        break;
    case EVENT_TARGET_DISPATCH:
        DriverTargets_HandleDispatch(driver, event);
        break;
    case EVENT_RUN_DONE:
        DriverTargets_HandleRunDone(driver, event);
        break;
    case EVENT_STORE_READ_DONE:
        DriverTargets_HandleStoreReadDone(driver, event);
        break;
    case EVENT_TRANSIT_DONE:
        DriverTargets_HandleTransitDone(driver, event);
        break;
    case EVENT_REPORT_REQUEST:
        DriverTargets_HandleReportRequest(driver, event);
        break;
    case EVENT_TARGET_SNAPSHOT:
        DriverTargets_TakeSnapshot(driver, event);
        break;
    case EVENT_TARGET_RESTARTED:
        DriverTargets_HandleRestarted(driver, event);
        break;
    case EVENT_HOST_LIST_READ:
        handle_host_list_read(driver, event);
        break;
    }
}

void
Driver_RunUntil(driver_t *driver, uint64_t until_us)
{
    while (driver->event_count > 0 &&
           driver->event_heap[0]->at_us <= until_us) {
        event_t *event = pop_event(driver);
        driver->now_us = event->at_us;
        if (!drop_or_defer(driver, event)) {
            handle_event(driver, event);
            free(event);
        }
    }
    driver->now_us = until_us;
}

driver_t *
Driver_Create(const driver_options_t *options)
{
    driver_t *driver = calloc(1, sizeof *driver);
    uint32_t targets = options->node.target_count;
    driver->options = *options;
    driver->now_us = START_US;
    driver->log_oldest = 1;
    driver->store_slowdown = 1.0;
    driver->random_state[0] = (unsigned short)options->seed;
    driver->random_state[1] = (unsigned short)(options->seed >> 16);
    driver->random_state[2] = 0x330e;
    driver->peer_cut = calloc(DRIVER_HOSTS_MAX, sizeof *driver->peer_cut);
    driver->target_cut =
        calloc((size_t)DRIVER_HOSTS_MAX * targets, sizeof(bool));
    driver->targets = calloc(targets, sizeof *driver->targets);
    for (uint32_t t = 0; t < targets; t++) {
        driver->targets[t].info = &options->node.targets[t];
        driver->targets[t].epoch = 1000 + t;
        driver->targets[t].utilization_updated_us = driver->now_us;
        event_t *event = DriverState_ScheduleEvent(
            driver, EVENT_TARGET_SNAPSHOT, driver->now_us);
        event->target = t;
    }
    for (uint32_t h = 0; h < options->hosts; h++) {
        Driver_StartHost(driver, h);
        event_t *event = DriverState_ScheduleEvent(
            driver, EVENT_HOST_LIST_READ,
            driver->now_us +
                Driver_RandomBelow(driver, HOST_LIST_INTERVAL_US));
        event->host = h;
    }
    return driver;
}

static void
free_event(event_t *event)
{
    if (event->input != NULL) {
        free_input(event->input);
    }
    if (event->record != NULL) {
        SkyRecord_Clear(event->record);
        free(event->record);
    }
    free(event);
}

static void
free_tables(driver_t *driver)
{
    request_entry_t *entry;
    request_entry_t *next_entry;
    HASH_ITER(hh, driver->request_entries, entry, next_entry)
    {
        HASH_DEL(driver->request_entries, entry);
        free(entry);
    }
    key_runs_t *key;
    key_runs_t *next_key;
    HASH_ITER(hh, driver->runs_by_key, key, next_key)
    {
        HASH_DEL(driver->runs_by_key, key);
        free(key);
    }
    crash_count_t *crash;
    crash_count_t *next_crash;
    HASH_ITER(hh, driver->crash_counts, crash, next_crash)
    {
        HASH_DEL(driver->crash_counts, crash);
        free(crash);
    }
}

void
Driver_Free(driver_t *driver)
{
    for (uint32_t h = 0; h < driver->options.hosts; h++) {
        SkyNode_Free(driver->hosts[h].node);
    }
    for (size_t i = 0; i < driver->event_count; i++) {
        free_event(driver->event_heap[i]);
    }
    for (uint64_t i = driver->log_oldest; i <= driver->log_count; i++) {
        SkyRecord_Clear(&driver->log[i].record);
    }
    free_tables(driver);
    SkyActions_Clear(&driver->action_buffer);
    free(driver->event_heap);
    free(driver->log);
    free(driver->peer_cut);
    free(driver->target_cut);
    free(driver->targets);
    free(driver->runs);
    free(driver->results);
    free(driver);
}

/* ---- requests and configuration changes ---- */

driver_result_t *
DriverState_FindResult(driver_t *driver, sky_request_id_t id, uint32_t *index)
{
    request_entry_t *entry;
    id &= ~ATTEMPT_BITS_MASK;
    HASH_FIND(hh, driver->request_entries, &id, sizeof id, entry);
    if (entry == NULL) {
        return NULL;
    }
    if (index != NULL) {
        *index = entry->result_index;
    }
    return &driver->results[entry->result_index];
}

static driver_result_t *
add_result(driver_t *driver, sky_request_id_t id)
{
    if (driver->result_count == driver->result_capacity) {
        driver->result_capacity = 2 * driver->result_capacity + 1024;
        driver->results =
            realloc(driver->results,
                    driver->result_capacity * sizeof *driver->results);
    }
    request_entry_t *entry = calloc(1, sizeof *entry);
    if (driver->results == NULL || entry == NULL) {
        abort();
    }
    entry->id = id;
    entry->result_index = driver->result_count;
    HASH_ADD(hh, driver->request_entries, id, sizeof entry->id, entry);
    driver_result_t *result = &driver->results[driver->result_count++];
    memset(result, 0, sizeof *result);
    return result;
}

uint32_t
Driver_SubmitRequest(driver_t *driver, uint32_t host,
                     const driver_request_t *request)
{
    sky_request_id_t id = ((uint64_t)driver->result_count + 1) << 8;
    driver_result_t *result = add_result(driver, id);
    uint32_t index = driver->result_count - 1;
    result->request = *request;
    result->host = host;
    result->arrived_us = driver->now_us;
    if (!driver->hosts[host].alive) {
        result->completed = true;
        result->host_stopped = true;
        result->finished_us = driver->now_us;
        return index;
    }
    sky_input_t *input =
        DriverState_ScheduleInput(driver, host, driver->hosts[host].generation,
                                  SKY_IN_REQUEST, driver->now_us);
    sky_in_request_t *in = &input->u.request;
    in->request = id;
    in->adapter = request->adapter;
    in->fingerprint = request->fingerprint ? request->fingerprint : id;
    in->pool = request->pool;
    in->urgency = request->urgency;
    in->timeout_ms = request->timeout_ms;
    in->at_most_once = request->at_most_once;
    in->key = request->key;
    in->key_age_ms = request->key_age_ms;
    return index;
}

const driver_result_t *
Driver_Result(const driver_t *driver, uint32_t index)
{
    return &driver->results[index];
}

uint32_t
Driver_ResultCount(const driver_t *driver)
{
    return driver->result_count;
}

uint64_t
Driver_SubmitConfigChange(driver_t *driver, uint32_t host,
                          sky_config_kind_t kind, const char *name,
                          sky_offset_t base, const char *body)
{
    sky_input_t *input =
        DriverState_ScheduleInput(driver, host, driver->hosts[host].generation,
                                  SKY_IN_CONFIG_CHANGE, driver->now_us);
    sky_in_config_change_t *change = &input->u.change;
    change->token = ++driver->last_change_token;
    change->config.kind = kind;
    change->config.base = base;
    change->config.body = strdup(body);
    snprintf(change->config.name, sizeof change->config.name, "%s", name);
    return change->token;
}

bool
Driver_FindConfigChangeResult(const driver_t *driver, uint64_t token,
                              sky_act_change_result_t *change_result)
{
    for (uint32_t i = 0; i < driver->change_result_count && i < 256; i++) {
        if (driver->change_results[i].token == token) {
            *change_result = driver->change_results[i];
            return true;
        }
    }
    return false;
}
