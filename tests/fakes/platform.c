/**
 * @file platform.c
 * @brief Fake platform (log, list of hosts, weight store) and fake plain
 *        service.
 *
 * skyfake platform ADDRESS RETENTION_MS APPENDS_PER_S LOADS_PER_S
 *         PARALLEL_READS TRANSIT
 * skyfake service ADDRESS
 *
 * The log keeps records for RETENTION_MS and accepts APPENDS_PER_S appends per
 * second. The weight store reads LOADS_PER_S adapters per second if at least
 * PARALLEL_READS reads run at once, and transfers up to TRANSIT adapters at
 * once without slowing down.
 *
 * Faults of the platform, set by `POST /fault {"name": number}`:
 * - log_down, store_down: while not 0, requests get a 503
 * - lose_answers: number of appends that are stored but get no response
 * - store_slow: factor by which reads of weights take longer
 * - hosts_lag_ms: time until a change of the host list becomes visible
 *
 * `POST /hosts {"name": "leaving"}` changes the list of hosts.
 *
 * Faults of the service: late_ms (delay of each response) and break (number of
 * requests that are run but get no response).
 */
#include "fake_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX 200000
#define RECORDS_PER_PAGE 500
#define TRANSIT_MS 250 /* transfer time of one adapter without slowdown */

typedef struct {
    uint64_t appended_ms;
    json_t *data;
} log_record_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static log_record_t records[RECORDS_MAX];
static uint64_t newest_offset; /* offsets begin at 1; 0: the log is empty */
static uint64_t oldest_offset = 1;
static uint64_t retention_ms;
static double appends_per_s;
static double append_tokens;
static uint64_t tokens_refilled_ms;
static json_t *host_states;
static json_t *previous_host_states;
static uint64_t hosts_changed_ms;
static double loads_per_s;
static uint32_t parallel_reads;
static uint32_t transit_max;
static uint32_t active_reads;
static uint32_t in_transit; /* adapters that are being transferred */
static uint32_t transit_peak;
static uint64_t load_count;

/* ---- log ---- */

static void
drop_expired_records(void)
{
    uint64_t now_ms = Fake_NowMs();
    while (oldest_offset <= newest_offset &&
           records[oldest_offset].appended_ms + retention_ms < now_ms) {
        json_decref(records[oldest_offset].data);
        records[oldest_offset].data = NULL;
        oldest_offset++;
    }
}

/** Token bucket for appends; holds at most the tokens of one second. */
static bool
acquire_append_token(void)
{
    uint64_t now_ms = Fake_NowMs();
    append_tokens +=
        (double)(now_ms - tokens_refilled_ms) * appends_per_s / 1000.0;
    tokens_refilled_ms = now_ms;
    append_tokens =
        append_tokens > appends_per_s ? appends_per_s : append_tokens;
    if (append_tokens < 1.0) {
        return false;
    }
    append_tokens -= 1.0;
    return true;
}

static enum MHD_Result
append_record(const fake_request_t *request)
{
    json_t *data = json_loads(request->body, 0, NULL);
    pthread_mutex_lock(&lock);
    bool is_accepted = data != NULL && acquire_append_token() &&
                       newest_offset + 1 < RECORDS_MAX;
    if (is_accepted) {
        records[++newest_offset].appended_ms = Fake_NowMs();
        records[newest_offset].data = data;
    }
    json_int_t offset = (json_int_t)newest_offset;
    pthread_mutex_unlock(&lock);
    if (!is_accepted) {
        json_decref(data);
        return Fake_ReplyText(request, 429, "over the allowance\n");
    }
    if (Fake_ConsumeFault("lose_answers")) {
        return MHD_NO; /* the append took effect; closes the connection */
    }
    return Fake_ReplyJson(request, 200, json_pack("{s:I}", "offset", offset));
}

static enum MHD_Result
send_log_records(const fake_request_t *request)
{
    const char *text = Fake_FindQueryParameter(request, "from");
    uint64_t from = text ? strtoull(text, NULL, 10) : 1;
    json_t *list = json_array();
    pthread_mutex_lock(&lock);
    drop_expired_records();
    uint64_t now_ms = Fake_NowMs();
    uint64_t offset = from > oldest_offset ? from : oldest_offset;
    for (uint32_t i = 0; i < RECORDS_PER_PAGE && offset <= newest_offset;
         i++, offset++) {
        json_array_append_new(
            list, json_pack("{s:I, s:I, s:O}", "offset", (json_int_t)offset,
                            "age_ms",
                            (json_int_t)(now_ms - records[offset].appended_ms),
                            "data", records[offset].data));
    }
    json_t *root = json_pack(
        "{s:I, s:I, s:b, s:o}", "oldest", (json_int_t)oldest_offset, "next",
        (json_int_t)offset, "tail", offset > newest_offset, "records", list);
    pthread_mutex_unlock(&lock);
    return Fake_ReplyJson(request, 200, root);
}

static enum MHD_Result
handle_log_request(const fake_request_t *request)
{
    if (Fake_GetFault("log_down") != 0) {
        return Fake_ReplyText(request, 503, "log is down\n");
    }
    return strcmp(request->method, "POST") == 0 ? append_record(request)
                                                : send_log_records(request);
}

/* ---- list of hosts ---- */

static enum MHD_Result
change_host_states(const fake_request_t *request)
{
    json_t *changes = json_loads(request->body, 0, NULL);
    pthread_mutex_lock(&lock);
    json_decref(previous_host_states);
    previous_host_states = json_deep_copy(host_states);
    json_object_update(host_states, changes);
    hosts_changed_ms = Fake_NowMs();
    pthread_mutex_unlock(&lock);
    json_decref(changes);
    return Fake_ReplyText(request, 200, "ok\n");
}

static enum MHD_Result
handle_hosts_request(const fake_request_t *request)
{
    const char *name;
    json_t *state;
    json_t *list = json_array();
    if (strcmp(request->method, "POST") == 0) {
        return change_host_states(request);
    }
    pthread_mutex_lock(&lock);
    uint64_t lag_ms = (uint64_t)Fake_GetFault("hosts_lag_ms");
    json_t *visible_states = Fake_NowMs() < hosts_changed_ms + lag_ms
                                 ? previous_host_states
                                 : host_states;
    json_object_foreach(visible_states, name, state)
    {
        json_array_append_new(
            list, json_pack("{s:s, s:O}", "name", name, "state", state));
    }
    pthread_mutex_unlock(&lock);
    return Fake_ReplyJson(request, 200, json_pack("{s:o}", "hosts", list));
}

/* ---- weight store ---- */

/** Takes as long as a read of weights. Up to `parallel_reads` reads each get
 * 1/parallel_reads of the total rate; more reads share it evenly. */
static void
simulate_weight_read(void)
{
    double fraction_left = 1.0;
    int64_t slowdown = Fake_GetFault("store_slow");
    while (fraction_left > 0) {
        pthread_mutex_lock(&lock);
        uint32_t rate_divisor =
            active_reads > parallel_reads ? active_reads : parallel_reads;
        pthread_mutex_unlock(&lock);
        fraction_left -= loads_per_s / rate_divisor * 0.01 /
                         (slowdown > 0 ? (double)slowdown : 1);
        Fake_SleepMs(10);
    }
}

static enum MHD_Result
handle_weight_load(const fake_request_t *request)
{
    if (Fake_GetFault("store_down") != 0) {
        return Fake_ReplyText(request, 503, "store is down\n");
    }
    pthread_mutex_lock(&lock);
    load_count++;
    active_reads++;
    pthread_mutex_unlock(&lock);
    simulate_weight_read();
    pthread_mutex_lock(&lock);
    active_reads--;
    in_transit++;
    transit_peak = in_transit > transit_peak ? in_transit : transit_peak;
    uint32_t sharers = in_transit > transit_max ? in_transit : transit_max;
    pthread_mutex_unlock(&lock);
    Fake_SleepMs(TRANSIT_MS * sharers / transit_max);
    pthread_mutex_lock(&lock);
    in_transit--;
    pthread_mutex_unlock(&lock);
    return Fake_ReplyText(request, 200, "weights\n");
}

static enum MHD_Result
handle_platform_request(const fake_request_t *request)
{
    enum MHD_Result result;
    if (Fake_HandleFaultRequest(request, &result)) {
        return result;
    }
    if (strcmp(request->path, "/log") == 0) {
        return handle_log_request(request);
    }
    if (strcmp(request->path, "/hosts") == 0) {
        return handle_hosts_request(request);
    }
    if (strcmp(request->path, "/store/load") == 0) {
        return handle_weight_load(request);
    }
    return Fake_ReplyJson(request, 200,
                          json_pack("{s:I, s:I, s:i}", "appends",
                                    (json_int_t)newest_offset, "loads",
                                    (json_int_t)load_count, "transit_peak",
                                    (int)transit_peak));
}

int
Platform_Main(int argc, char **argv)
{
    if (argc < 8) {
        return 2;
    }
    retention_ms = strtoull(argv[3], NULL, 10);
    appends_per_s = atof(argv[4]);
    append_tokens = appends_per_s;
    loads_per_s = atof(argv[5]);
    parallel_reads = (uint32_t)atoi(argv[6]);
    transit_max = (uint32_t)atoi(argv[7]);
    tokens_refilled_ms = Fake_NowMs();
    host_states = json_object();
    previous_host_states = json_object();
    return Fake_Serve(argv[2], 60, handle_platform_request);
}

/* ---- plain service ---- */

static json_t *run_counts;

/** Counts the requests by body, which shows whether one was run twice. */
static enum MHD_Result
handle_service_request(const fake_request_t *request)
{
    enum MHD_Result result;
    if (Fake_HandleFaultRequest(request, &result)) {
        return result;
    }
    if (strcmp(request->path, "/healthz") == 0) {
        return Fake_ReplyText(request, 200, "ok\n");
    }
    pthread_mutex_lock(&lock);
    if (strcmp(request->path, "/stats") == 0) {
        json_t *counts = json_deep_copy(run_counts);
        pthread_mutex_unlock(&lock);
        return Fake_ReplyJson(request, 200, counts);
    }
    json_int_t run_count =
        json_integer_value(json_object_get(run_counts, request->body)) + 1;
    json_object_set_new(run_counts, request->body, json_integer(run_count));
    pthread_mutex_unlock(&lock);
    Fake_SleepMs((uint64_t)Fake_GetFault("late_ms"));
    if (Fake_ConsumeFault("break")) {
        return MHD_NO; /* the request was run; closes the connection */
    }
    uint32_t status = Fake_GetFault("status_after_run") > 0
                          ? (uint32_t)Fake_GetFault("status_after_run")
                          : 200;
    return Fake_ReplyJson(request, status,
                          json_pack("{s:I}", "run", run_count));
}

int
Service_Main(int argc, char **argv)
{
    (void)argc;
    run_counts = json_object();
    return Fake_Serve(argv[2], 60, handle_service_request);
}
