/**
 * @file platform.c
 * @brief Stand-ins of the platform and of a plain service.
 *
 * skyfake platform ADDRESS RETENTION_MS APPENDS_PER_S LOADS_PER_S LANES
 *         TRANSIT
 * skyfake service ADDRESS
 *
 * Platform faults: log_down, store_down (while not 0), lose_answers (count),
 * store_slow (factor), hosts_lag_ms. `POST /hosts {"name": "leaving"}`
 * changes the list.
 */
#include "fake_http.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECORDS_MAX 200000
#define PAGE 500
#define TRANSIT_MS 250

typedef struct {
    uint64_t at_ms;
    json_t *data;
} record_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static record_t records[RECORDS_MAX];
static uint64_t tail; /* newest offset; offsets begin at 1 */
static uint64_t oldest = 1;
static uint64_t retention_ms;
static double appends_per_s;
static double tokens;
static uint64_t refilled_ms;
static json_t *hosts;
static json_t *old_hosts;
static uint64_t hosts_ms;
static double loads_per_s;
static uint32_t lanes;
static uint32_t transit_max;
static uint32_t loading;
static uint32_t in_transit;
static uint32_t transit_peak;
static uint64_t loads;

/* ---- log ---- */

static void
trim(void)
{
    uint64_t now_ms = Fake_NowMs();
    while (oldest <= tail && records[oldest].at_ms + retention_ms < now_ms) {
        json_decref(records[oldest].data);
        records[oldest].data = NULL;
        oldest++;
    }
}

static bool
has_allowance(void)
{
    uint64_t now_ms = Fake_NowMs();
    tokens += (double)(now_ms - refilled_ms) * appends_per_s / 1000.0;
    refilled_ms = now_ms;
    tokens = tokens > appends_per_s ? appends_per_s : tokens;
    if (tokens < 1.0) {
        return false;
    }
    tokens -= 1.0;
    return true;
}

static enum MHD_Result
append(const fake_request_t *request)
{
    json_t *data = json_loads(request->body, 0, NULL);
    pthread_mutex_lock(&lock);
    bool allowed = data != NULL && has_allowance() && tail + 1 < RECORDS_MAX;
    if (allowed) {
        records[++tail].at_ms = Fake_NowMs();
        records[tail].data = data;
    }
    json_int_t offset = (json_int_t)tail;
    pthread_mutex_unlock(&lock);
    if (!allowed) {
        json_decref(data);
        return Fake_ReplyText(request, 429, "over the allowance\n");
    }
    if (Fake_UseFault("lose_answers")) {
        return MHD_NO; /* took effect; the connection just breaks */
    }
    return Fake_ReplyJson(request, 200, json_pack("{s:I}", "offset", offset));
}

static enum MHD_Result
read_log(const fake_request_t *request)
{
    const char *text = Fake_Query(request, "from");
    uint64_t from = text ? strtoull(text, NULL, 10) : 1;
    json_t *list = json_array();
    pthread_mutex_lock(&lock);
    trim();
    uint64_t now_ms = Fake_NowMs();
    uint64_t at = from > oldest ? from : oldest;
    for (uint32_t i = 0; i < PAGE && at <= tail; i++, at++) {
        json_array_append_new(
            list, json_pack("{s:I, s:I, s:O}", "offset", (json_int_t)at,
                            "age_ms", (json_int_t)(now_ms - records[at].at_ms),
                            "data", records[at].data));
    }
    json_t *root =
        json_pack("{s:I, s:I, s:b, s:o}", "oldest", (json_int_t)oldest, "next",
                  (json_int_t)at, "tail", at > tail, "records", list);
    pthread_mutex_unlock(&lock);
    return Fake_ReplyJson(request, 200, root);
}

static enum MHD_Result
serve_log(const fake_request_t *request)
{
    if (Fake_Fault("log_down") != 0) {
        return Fake_ReplyText(request, 503, "log is down\n");
    }
    return strcmp(request->method, "POST") == 0 ? append(request)
                                                : read_log(request);
}

/* ---- list of hosts ---- */

static enum MHD_Result
change_hosts(const fake_request_t *request)
{
    json_t *change = json_loads(request->body, 0, NULL);
    pthread_mutex_lock(&lock);
    json_decref(old_hosts);
    old_hosts = json_deep_copy(hosts);
    json_object_update(hosts, change);
    hosts_ms = Fake_NowMs();
    pthread_mutex_unlock(&lock);
    json_decref(change);
    return Fake_ReplyText(request, 200, "ok\n");
}

static enum MHD_Result
serve_hosts(const fake_request_t *request)
{
    const char *name;
    json_t *state;
    json_t *list = json_array();
    if (strcmp(request->method, "POST") == 0) {
        return change_hosts(request);
    }
    pthread_mutex_lock(&lock);
    uint64_t lag_ms = (uint64_t)Fake_Fault("hosts_lag_ms");
    json_t *seen = Fake_NowMs() < hosts_ms + lag_ms ? old_hosts : hosts;
    json_object_foreach(seen, name, state)
    {
        json_array_append_new(
            list, json_pack("{s:s, s:O}", "name", name, "state", state));
    }
    pthread_mutex_unlock(&lock);
    return Fake_ReplyJson(request, 200, json_pack("{s:o}", "hosts", list));
}

/* ---- weight store ---- */

/** Each lane gives its share of the rate; more loads share the lanes. */
static void
read_weights(void)
{
    double left = 1.0;
    int64_t slow = Fake_Fault("store_slow");
    while (left > 0) {
        pthread_mutex_lock(&lock);
        uint32_t sharing = loading > lanes ? loading : lanes;
        pthread_mutex_unlock(&lock);
        left -= loads_per_s / sharing * 0.01 / (slow > 0 ? (double)slow : 1);
        Fake_SleepMs(10);
    }
}

static enum MHD_Result
serve_load(const fake_request_t *request)
{
    if (Fake_Fault("store_down") != 0) {
        return Fake_ReplyText(request, 503, "store is down\n");
    }
    pthread_mutex_lock(&lock);
    loads++;
    loading++;
    pthread_mutex_unlock(&lock);
    read_weights();
    pthread_mutex_lock(&lock);
    loading--;
    in_transit++;
    transit_peak = in_transit > transit_peak ? in_transit : transit_peak;
    uint32_t crowd = in_transit > transit_max ? in_transit : transit_max;
    pthread_mutex_unlock(&lock);
    Fake_SleepMs(TRANSIT_MS * crowd / transit_max);
    pthread_mutex_lock(&lock);
    in_transit--;
    pthread_mutex_unlock(&lock);
    return Fake_ReplyText(request, 200, "weights\n");
}

static enum MHD_Result
handle_platform(const fake_request_t *request)
{
    enum MHD_Result result;
    if (Fake_TakeFault(request, &result)) {
        return result;
    }
    if (strcmp(request->path, "/log") == 0) {
        return serve_log(request);
    }
    if (strcmp(request->path, "/hosts") == 0) {
        return serve_hosts(request);
    }
    if (strcmp(request->path, "/store/load") == 0) {
        return serve_load(request);
    }
    return Fake_ReplyJson(
        request, 200,
        json_pack("{s:I, s:I, s:i}", "appends", (json_int_t)tail, "loads",
                  (json_int_t)loads, "transit_peak", (int)transit_peak));
}

int
Platform_Main(int argc, char **argv)
{
    if (argc < 8) {
        return 2;
    }
    retention_ms = strtoull(argv[3], NULL, 10);
    appends_per_s = atof(argv[4]);
    tokens = appends_per_s;
    loads_per_s = atof(argv[5]);
    lanes = (uint32_t)atoi(argv[6]);
    transit_max = (uint32_t)atoi(argv[7]);
    refilled_ms = Fake_NowMs();
    hosts = json_object();
    old_hosts = json_object();
    return Fake_Serve(argv[2], 60, handle_platform);
}

/* ---- plain service ---- */

static json_t *calls;

/** Counts each body; a body met twice was run twice. */
static enum MHD_Result
handle_service(const fake_request_t *request)
{
    enum MHD_Result result;
    if (Fake_TakeFault(request, &result)) {
        return result;
    }
    if (strcmp(request->path, "/healthz") == 0) {
        return Fake_ReplyText(request, 200, "ok\n");
    }
    pthread_mutex_lock(&lock);
    if (strcmp(request->path, "/stats") == 0) {
        json_t *copy = json_deep_copy(calls);
        pthread_mutex_unlock(&lock);
        return Fake_ReplyJson(request, 200, copy);
    }
    json_int_t count =
        json_integer_value(json_object_get(calls, request->body)) + 1;
    json_object_set_new(calls, request->body, json_integer(count));
    pthread_mutex_unlock(&lock);
    Fake_SleepMs((uint64_t)Fake_Fault("late_ms"));
    if (Fake_UseFault("break")) {
        return MHD_NO; /* done, and the answer is lost */
    }
    return Fake_ReplyJson(request, 200, json_pack("{s:I}", "run", count));
}

int
Service_Main(int argc, char **argv)
{
    (void)argc;
    calls = json_object();
    return Fake_Serve(argv[2], 60, handle_service);
}
