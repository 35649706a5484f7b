/**
 * @file engine.c
 * @brief Stand-in of a model engine.
 *
 * skyfake engine ADDRESS SLOTS BATCH CHECKS_FENCING TOKEN_MS IDLE_S
 *
 * Requests beyond the batch wait, most urgent first (`priority`, 0 is the most
 * urgent), at most `queue_ms`. `resume_after` skips tokens sent before. Each
 * run adds a cache event; `GET /events?from=N` shows them.
 *
 * Faults: queue_ms, events_lag_ms, events_gap (each Nth is missing),
 * report_lag_ms, fail_loads (count), late_ms, cross (count), truncate
 * (count), refuse (count). A prompt with "CRASH" ends the process; a prompt
 * "TOKENS n" asks for n tokens.
 */
#include "fake_http.h"

#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/http_call.h"

#define SLOTS_MAX 64
#define NAME_BYTES 128
#define HISTORY 64 /* reports kept for the lag, one each 50 ms */
#define HISTORY_MS 50
#define DEFAULT_TOKENS 8
#define PRIORITIES 10
#define EVENTS_MAX 1024

typedef struct {
    char model[NAME_BYTES];
    uint32_t running;
    bool loading;
} slot_t;

typedef struct {
    uint64_t at_ms;
    slot_t slots[SLOTS_MAX];
} report_t;

/** A prompt prefix that has come into the cache. */
typedef struct {
    uint64_t at_ms;
    char model[NAME_BYTES];
    size_t prefix_bytes;
} event_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static slot_t slots[SLOTS_MAX];
static report_t history[HISTORY];
static uint64_t history_count;
static uint32_t slot_max;
static uint32_t batch_max;
static uint32_t token_ms;
static uint32_t running;
static bool checks_fencing;
static uint64_t fence_seen;
static uint64_t epoch;
static uint64_t served;
static uint64_t evicted_in_use;
static uint64_t tokens_out;
static uint32_t queued[PRIORITIES];
static event_t events[EVENTS_MAX];
static uint64_t event_count;
static char role[32] = "serve";

static slot_t *
find_slot(const char *model)
{
    for (uint32_t i = 0; i < slot_max; i++) {
        if (model != NULL && strcmp(slots[i].model, model) == 0) {
            return &slots[i];
        }
    }
    return NULL;
}

/** Refuses what carries a fence older than the newest one seen. */
static bool
is_fenced(const fake_request_t *request)
{
    const char *text = Fake_Header(request, "X-Fencing-Number");
    uint64_t fence = text ? strtoull(text, NULL, 10) : 0;
    if (!checks_fencing) {
        return false;
    }
    if (fence < fence_seen) {
        return true;
    }
    fence_seen = fence;
    return false;
}

/* ---- orders ---- */

static bool
fetch_weights(const char *store)
{
    sky_http_call_t call = {.address = store, .method = "GET"};
    sky_http_call_response_t answer;
    call.path = "/store/load";
    call.connect_timeout_ms = 1000;
    call.read_timeout_ms = 60000;
    bool ok = SkyHttpCall_Run(&call, &answer) == SKY_HTTP_CALL_RESPONDED &&
              answer.status == 200;
    free(answer.body);
    return ok;
}

static enum MHD_Result
load(const fake_request_t *request, const char *model, const char *store)
{
    pthread_mutex_lock(&lock);
    bool fenced = is_fenced(request);
    slot_t *slot = find_slot(model);
    bool known = slot != NULL;
    slot = known ? slot : find_slot("");
    if (!fenced && !known && slot != NULL && model != NULL) {
        snprintf(slot->model, sizeof slot->model, "%s", model);
        slot->loading = true;
    }
    pthread_mutex_unlock(&lock);
    if (fenced) {
        return Fake_ReplyText(request, 412, "old fencing number\n");
    }
    if (slot == NULL || model == NULL) {
        return Fake_ReplyText(request, 409, "no free slot\n");
    }
    if (known) {
        return Fake_ReplyText(request, 200, "already loaded\n");
    }
    bool ok = !Fake_UseFault("fail_loads") && fetch_weights(store);
    pthread_mutex_lock(&lock);
    slot->loading = false;
    if (!ok) {
        slot->model[0] = '\0';
    }
    pthread_mutex_unlock(&lock);
    return Fake_ReplyText(request, ok ? 200 : 500, ok ? "ok\n" : "failed\n");
}

static enum MHD_Result
unload(const fake_request_t *request, const char *model)
{
    unsigned status = 200;
    pthread_mutex_lock(&lock);
    slot_t *slot = find_slot(model);
    if (is_fenced(request)) {
        status = 412;
    }
    else if (slot == NULL || slot->model[0] == '\0') {
        status = 404;
    }
    else {
        evicted_in_use += slot->running > 0;
        memset(slot, 0, sizeof *slot);
    }
    pthread_mutex_unlock(&lock);
    return Fake_ReplyText(request, status, "unload\n");
}

static enum MHD_Result
take_order(const fake_request_t *request)
{
    json_t *root = json_loads(request->body, 0, NULL);
    const char *model = json_string_value(json_object_get(root, "lora_name"));
    const char *store = json_string_value(json_object_get(root, "lora_path"));
    enum MHD_Result result =
        strcmp(request->path, "/v1/load_lora_adapter") == 0
            ? load(request, model, store)
            : unload(request, model);
    json_decref(root);
    return result;
}

/* ---- completions ---- */

typedef struct {
    char id[64];
    char model[NAME_BYTES];
    uint32_t left;
    uint32_t sent;
    bool truncate;
    bool ended;
    bool has_slot;
} stream_t;

static void
release(const stream_t *stream)
{
    pthread_mutex_lock(&lock);
    slot_t *slot = find_slot(stream->model);
    if (slot != NULL && slot->running > 0 && stream->has_slot) {
        slot->running--;
    }
    running--;
    served += stream->ended;
    pthread_mutex_unlock(&lock);
}

static json_t *
part(const stream_t *stream, const char *text)
{
    return json_pack("{s:s, s:s, s:[{s:s}]}", "id", stream->id, "model",
                     stream->model, "choices", "text", text);
}

static ssize_t
read_tokens(void *opaque, uint64_t position, char *buffer, size_t size)
{
    stream_t *stream = opaque;
    char text[32];
    (void)position;
    if (stream->ended || (stream->truncate && stream->sent > 1)) {
        return stream->ended ? MHD_CONTENT_READER_END_OF_STREAM
                             : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (stream->left == 0) {
        stream->ended = true;
        return snprintf(buffer, size, "data: [DONE]\n\n");
    }
    Fake_SleepMs(token_ms);
    stream->left--;
    snprintf(text, sizeof text, "t%u ", stream->sent++);
    __atomic_add_fetch(&tokens_out, 1, __ATOMIC_RELAXED);
    json_t *root = part(stream, text);
    char *line = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    int count = snprintf(buffer, size, "data: %s\n\n", line);
    free(line);
    return count;
}

static void
free_stream(void *opaque)
{
    release(opaque);
    free(opaque);
}

static enum MHD_Result
send_stream(const fake_request_t *request, stream_t *stream)
{
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 1024, read_tokens, stream, free_stream);
    MHD_add_response_header(response, "Content-Type", "text/event-stream");
    enum MHD_Result result =
        MHD_queue_response(request->connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
send_whole(const fake_request_t *request, stream_t *stream)
{
    Fake_SleepMs((uint64_t)token_ms * stream->left);
    json_t *root = part(stream, "whole answer");
    stream->ended = true;
    release(stream);
    if (stream->truncate) {
        json_decref(root);
        free(stream);
        return Fake_ReplyText(request, 200, "{\"id\": \"cut");
    }
    free(stream);
    return Fake_ReplyJson(request, 200, root);
}

static unsigned
admit(const char *model)
{
    slot_t *slot = find_slot(model);
    if (slot == NULL || slot->loading || slot->model[0] == '\0') {
        return 404;
    }
    if (running >= batch_max || Fake_UseFault("refuse")) {
        return 429;
    }
    slot->running++;
    running++;
    return 200;
}

static bool
is_first_in_line(uint32_t priority)
{
    uint32_t ahead = 0;
    for (uint32_t i = 0; i < priority; i++) {
        ahead += queued[i];
    }
    return ahead == 0;
}

/** Waits for room in the batch; called and returns with the lock held. */
static void
wait_for_room(uint32_t priority)
{
    uint64_t until_ms = Fake_NowMs() + (uint64_t)Fake_Fault("queue_ms");
    queued[priority]++;
    while ((running >= batch_max || !is_first_in_line(priority)) &&
           Fake_NowMs() < until_ms) {
        pthread_mutex_unlock(&lock);
        Fake_SleepMs(5);
        pthread_mutex_lock(&lock);
    }
    queued[priority]--;
}

static void
add_event(const char *model, size_t prefix_bytes)
{
    event_t *event = &events[event_count++ % EVENTS_MAX];
    event->at_ms = Fake_NowMs();
    event->prefix_bytes = prefix_bytes;
    snprintf(event->model, sizeof event->model, "%s", model);
}

/** Cache events come late and with gaps. */
static enum MHD_Result
send_events(const fake_request_t *request)
{
    const char *text = Fake_Query(request, "from");
    uint64_t at = text ? strtoull(text, NULL, 10) : 0;
    uint64_t lag_ms = (uint64_t)Fake_Fault("events_lag_ms");
    uint64_t gap = (uint64_t)Fake_Fault("events_gap");
    json_t *list = json_array();
    pthread_mutex_lock(&lock);
    uint64_t now_ms = Fake_NowMs();
    at = at + EVENTS_MAX < event_count ? event_count - EVENTS_MAX : at;
    for (; at < event_count; at++) {
        const event_t *event = &events[at % EVENTS_MAX];
        if (event->at_ms + lag_ms > now_ms) {
            break;
        }
        if (gap == 0 || at % gap != 0) {
            json_array_append_new(
                list, json_pack("{s:I, s:s, s:I}", "number", (json_int_t)at,
                                "model", event->model, "prefix_bytes",
                                (json_int_t)event->prefix_bytes));
        }
    }
    pthread_mutex_unlock(&lock);
    return Fake_ReplyJson(request, 200, json_pack("{s:o}", "events", list));
}

static enum MHD_Result
complete(const fake_request_t *request)
{
    json_t *root = json_loads(request->body, 0, NULL);
    const char *model = json_string_value(json_object_get(root, "model"));
    const char *id = Fake_Header(request, "X-Request-Id");
    bool streamed = json_is_true(json_object_get(root, "stream"));
    char *prompt = json_dumps(root, JSON_COMPACT);
    const char *wanted = strstr(prompt, "TOKENS ");
    json_int_t priority =
        json_integer_value(json_object_get(root, "priority"));
    json_int_t resume_after =
        json_integer_value(json_object_get(root, "resume_after"));
    pthread_mutex_lock(&lock);
    wait_for_room(priority < PRIORITIES ? (uint32_t)priority : 0);
    unsigned status = admit(model);
    if (status == 200) {
        add_event(model, strlen(prompt));
    }
    pthread_mutex_unlock(&lock);
    if (status != 200) {
        free(prompt);
        json_decref(root);
        return Fake_ReplyText(request, status, "not run\n");
    }
    if (strstr(prompt, "CRASH") != NULL) {
        Fake_SleepMs(20);
        _exit(42);
    }
    stream_t *stream = calloc(1, sizeof *stream);
    stream->has_slot = true;
    stream->truncate = Fake_UseFault("truncate");
    stream->left = wanted ? (uint32_t)atoi(wanted + 7) : DEFAULT_TOKENS;
    if (resume_after > 0 && resume_after <= stream->left) {
        stream->left -= (uint32_t)resume_after;
        stream->sent = (uint32_t)resume_after;
    }
    snprintf(stream->model, sizeof stream->model, "%s", model);
    snprintf(stream->id, sizeof stream->id, "%s",
             Fake_UseFault("cross") || !id ? "somebody-else" : id);
    free(prompt);
    json_decref(root);
    Fake_SleepMs((uint64_t)Fake_Fault("late_ms"));
    return streamed ? send_stream(request, stream)
                    : send_whole(request, stream);
}

/* ---- reports ---- */

static void *
keep_history(void *opaque)
{
    (void)opaque;
    for (;;) {
        pthread_mutex_lock(&lock);
        report_t *report = &history[history_count++ % HISTORY];
        report->at_ms = Fake_NowMs();
        memcpy(report->slots, slots, sizeof slots);
        pthread_mutex_unlock(&lock);
        Fake_SleepMs(HISTORY_MS);
    }
    return NULL;
}

/** @return the newest report at least as old as the lag. */
static const report_t *
lagging_report(uint64_t now_ms)
{
    uint64_t lag_ms = (uint64_t)Fake_Fault("report_lag_ms");
    const report_t *best = NULL;
    for (uint64_t i = 0; i < HISTORY && i < history_count; i++) {
        const report_t *report = &history[(history_count - 1 - i) % HISTORY];
        best = report;
        if (report->at_ms + lag_ms <= now_ms) {
            break;
        }
    }
    return best;
}

static enum MHD_Result
send_report(const fake_request_t *request)
{
    json_t *list = json_array();
    uint64_t now_ms = Fake_NowMs();
    uint32_t total = 0;
    pthread_mutex_lock(&lock);
    const report_t *report = lagging_report(now_ms);
    for (uint32_t i = 0; report != NULL && i < slot_max; i++) {
        const slot_t *slot = &report->slots[i];
        total += slot->running;
        if (slot->model[0] != '\0') {
            json_array_append_new(
                list,
                json_pack("{s:s, s:i, s:b}", "model", slot->model, "running",
                          (int)slot->running, "loading", (int)slot->loading));
        }
    }
    json_int_t age_ms = report ? (json_int_t)(now_ms - report->at_ms) : 0;
    pthread_mutex_unlock(&lock);
    return Fake_ReplyJson(request, 200,
                          json_pack("{s:I, s:I, s:i, s:o}", "epoch",
                                    (json_int_t)epoch, "age_ms", age_ms,
                                    "running", (int)total, "slots", list));
}

static enum MHD_Result
send_stats(const fake_request_t *request)
{
    return Fake_ReplyJson(request, 200,
                          json_pack("{s:I, s:I, s:I, s:s}", "served",
                                    (json_int_t)served, "evicted_in_use",
                                    (json_int_t)evicted_in_use, "tokens",
                                    (json_int_t)tokens_out, "role", role));
}

static enum MHD_Result
change_role(const fake_request_t *request)
{
    json_t *root = json_loads(request->body, 0, NULL);
    const char *name = json_string_value(json_object_get(root, "role"));
    snprintf(role, sizeof role, "%s", name ? name : "serve");
    json_decref(root);
    return Fake_ReplyText(request, 200, "ok\n");
}

static enum MHD_Result
handle(const fake_request_t *request)
{
    enum MHD_Result result;
    if (Fake_TakeFault(request, &result)) {
        return result;
    }
    if (strstr(request->path, "completions") != NULL) {
        return complete(request);
    }
    if (strstr(request->path, "load_lora_adapter") != NULL) {
        return take_order(request);
    }
    if (strcmp(request->path, "/v1/role") == 0) {
        return change_role(request);
    }
    if (strcmp(request->path, "/events") == 0) {
        return send_events(request);
    }
    return strcmp(request->path, "/report") == 0 ? send_report(request)
                                                 : send_stats(request);
}

int
Engine_Main(int argc, char **argv)
{
    pthread_t thread;
    if (argc < 8) {
        return 2;
    }
    slot_max = (uint32_t)atoi(argv[3]);
    batch_max = (uint32_t)atoi(argv[4]);
    checks_fencing = atoi(argv[5]) != 0;
    token_ms = (uint32_t)atoi(argv[6]);
    epoch = Fake_NowMs() * 1000 + (uint64_t)getpid() % 1000;
    pthread_create(&thread, NULL, keep_history, NULL);
    return Fake_Serve(argv[2], (uint32_t)atoi(argv[7]), handle);
}
