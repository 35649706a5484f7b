/**
 * @file engine.c
 * @brief Fake model engine.
 *
 * skyfake engine ADDRESS SLOTS BATCH CHECKS_FENCING TOKEN_MS IDLE_S
 *
 * SLOTS is the number of adapter slots, BATCH the number of requests that run
 * at once, TOKEN_MS the time for one token and IDLE_S the idle timeout of a
 * connection. CHECKS_FENCING is 1 if orders with an old fencing number are
 * refused, else 0.
 *
 * When the batch is full, a request waits for at most `queue_ms`; requests
 * with a lower `priority` number run first. `resume_after` skips that many
 * tokens. Each request that runs adds a cache event, listed by
 * `GET /events?from=N`.
 *
 * A prompt with "CRASH" ends the process; a prompt with "TOKENS n" asks for n
 * tokens.
 *
 * Faults, set by `POST /fault {"name": number}`:
 * - queue_ms: longest wait for a free batch slot
 * - events_lag_ms, report_lag_ms: age of the newest event or report returned
 * - events_gap: N leaves out each Nth cache event
 * - late_ms: delay of each completion
 * - fail_loads, cross, truncate, refuse: number of loads that fail, of
 *   responses with the id of another request, of responses that end early and
 *   of requests that get a 429
 */
#include "fake_http.h"

#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "platform/http_call.h"

#define ADAPTER_SLOTS_MAX 64
#define MODEL_NAME_BYTES 128
#define SNAPSHOTS_MAX 64 /* allows a report lag of up to 3.2 s */
#define SNAPSHOT_INTERVAL_MS 50
#define DEFAULT_TOKEN_COUNT 8
#define PRIORITY_COUNT 10
#define CACHE_EVENTS_MAX 1024

typedef struct {
    char model[MODEL_NAME_BYTES]; /* empty if the slot is free */
    uint32_t running;             /* requests that use the adapter now */
    bool is_loading;
} adapter_slot_t;

/** State of the adapter slots at an earlier time, for reports that lag. */
typedef struct {
    uint64_t taken_ms;
    adapter_slot_t adapter_slots[ADAPTER_SLOTS_MAX];
} snapshot_t;

/** A prompt prefix that was added to the prefix cache. */
typedef struct {
    uint64_t added_ms;
    char model[MODEL_NAME_BYTES];
    size_t prefix_bytes;
} cache_event_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static adapter_slot_t adapter_slots[ADAPTER_SLOTS_MAX];
static snapshot_t snapshots[SNAPSHOTS_MAX];
static uint64_t snapshot_count;
static uint32_t adapter_slot_count;
static uint32_t batch_slot_count;
static uint32_t token_ms;
static uint32_t running_requests;
static bool checks_fencing;
static uint64_t newest_fence;
static uint64_t epoch;
static uint64_t served_count;
static uint64_t evicted_in_use;
static uint64_t total_tokens_sent;
/** Requests that wait for a batch slot; priority 0 is the most urgent. */
static uint32_t queued_by_priority[PRIORITY_COUNT];
static cache_event_t events[CACHE_EVENTS_MAX];
static uint64_t event_count;
static char role[32] = "serve";

/** Finds the slot of an adapter, or with "" a free one. */
static adapter_slot_t *
find_slot(const char *model)
{
    for (uint32_t i = 0; i < adapter_slot_count; i++) {
        if (model != NULL && strcmp(adapter_slots[i].model, model) == 0) {
            return &adapter_slots[i];
        }
    }
    return NULL;
}

/** @return true if the request carries an older fencing number than the newest
 *          one seen; if not, its number becomes the newest. */
static bool
is_stale_fence(const fake_request_t *request)
{
    const char *text = Fake_FindHeader(request, "X-Fencing-Number");
    uint64_t fence = text ? strtoull(text, NULL, 10) : 0;
    if (!checks_fencing) {
        return false;
    }
    if (fence < newest_fence) {
        return true;
    }
    newest_fence = fence;
    return false;
}

/* ---- adapter orders ---- */

static bool
fetch_weights(const char *store)
{
    sky_http_call_t call = {.address = store, .method = "GET"};
    sky_http_call_response_t response;
    call.path = "/store/load";
    call.connect_timeout_ms = 1000;
    call.read_timeout_ms = 60000;
    bool ok = SkyHttpCall_Run(&call, &response) == SKY_HTTP_CALL_RESPONDED &&
              response.status == 200;
    free(response.body);
    return ok;
}

static enum MHD_Result
load_adapter(const fake_request_t *request, const char *model,
             const char *store)
{
    pthread_mutex_lock(&lock);
    bool is_stale = is_stale_fence(request);
    adapter_slot_t *slot = find_slot(model);
    bool is_present = slot != NULL;
    slot = is_present ? slot : find_slot("");
    if (!is_stale && !is_present && slot != NULL && model != NULL) {
        snprintf(slot->model, sizeof slot->model, "%s", model);
        slot->is_loading = true;
    }
    pthread_mutex_unlock(&lock);
    if (is_stale) {
        return Fake_ReplyText(request, 412, "old fencing number\n");
    }
    if (slot == NULL || model == NULL) {
        return Fake_ReplyText(request, 409, "no free slot\n");
    }
    if (is_present) {
        return Fake_ReplyText(request, 200, "already loaded\n");
    }
    bool ok = !Fake_ConsumeFault("fail_loads") && fetch_weights(store);
    pthread_mutex_lock(&lock);
    slot->is_loading = false;
    if (!ok) {
        slot->model[0] = '\0';
    }
    pthread_mutex_unlock(&lock);
    return Fake_ReplyText(request, ok ? 200 : 500, ok ? "ok\n" : "failed\n");
}

static enum MHD_Result
unload_adapter(const fake_request_t *request, const char *model)
{
    unsigned status = 200;
    pthread_mutex_lock(&lock);
    adapter_slot_t *slot = find_slot(model);
    if (is_stale_fence(request)) {
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
handle_adapter_order(const fake_request_t *request)
{
    json_t *root = json_loads(request->body, 0, NULL);
    const char *model = json_string_value(json_object_get(root, "lora_name"));
    const char *store = json_string_value(json_object_get(root, "lora_path"));
    enum MHD_Result result =
        strcmp(request->path, "/v1/load_lora_adapter") == 0
            ? load_adapter(request, model, store)
            : unload_adapter(request, model);
    json_decref(root);
    return result;
}

/* ---- completions ---- */

/** A running completion request. */
typedef struct {
    char id[64]; /* returned in the response */
    char model[MODEL_NAME_BYTES];
    uint32_t tokens_left;
    uint32_t tokens_sent;
    bool is_truncated;
    bool is_ended;
    bool has_adapter_slot;
} completion_t;

/** Releases the batch slot and the use of the adapter. */
static void
release_slots(const completion_t *completion)
{
    pthread_mutex_lock(&lock);
    adapter_slot_t *slot = find_slot(completion->model);
    if (slot != NULL && slot->running > 0 && completion->has_adapter_slot) {
        slot->running--;
    }
    running_requests--;
    served_count += completion->is_ended;
    pthread_mutex_unlock(&lock);
}

static json_t *
encode_chunk(const completion_t *completion, const char *text)
{
    return json_pack("{s:s, s:s, s:[{s:s}]}", "id", completion->id, "model",
                     completion->model, "choices", "text", text);
}

/** Content reader callback of MHD: writes the next server-sent event. */
static ssize_t
write_next_event(void *opaque, uint64_t position, char *buffer, size_t size)
{
    completion_t *completion = opaque;
    char text[32];
    (void)position;
    if (completion->is_ended ||
        (completion->is_truncated && completion->tokens_sent > 1)) {
        return completion->is_ended ? MHD_CONTENT_READER_END_OF_STREAM
                                    : MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (completion->tokens_left == 0) {
        completion->is_ended = true;
        return snprintf(buffer, size, "data: [DONE]\n\n");
    }
    Fake_SleepMs(token_ms);
    completion->tokens_left--;
    snprintf(text, sizeof text, "t%u ", completion->tokens_sent++);
    __atomic_add_fetch(&total_tokens_sent, 1, __ATOMIC_RELAXED);
    json_t *root = encode_chunk(completion, text);
    char *line = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    int count = snprintf(buffer, size, "data: %s\n\n", line);
    free(line);
    return count;
}

static void
free_completion(void *opaque)
{
    release_slots(opaque);
    free(opaque);
}

static enum MHD_Result
send_event_stream(const fake_request_t *request, completion_t *completion)
{
    struct MHD_Response *mhd_response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 1024, write_next_event, completion, free_completion);
    MHD_add_response_header(mhd_response, "Content-Type", "text/event-stream");
    enum MHD_Result result =
        MHD_queue_response(request->connection, 200, mhd_response);
    MHD_destroy_response(mhd_response);
    return result;
}

static enum MHD_Result
send_json_completion(const fake_request_t *request, completion_t *completion)
{
    Fake_SleepMs((uint64_t)token_ms * completion->tokens_left);
    json_t *root = encode_chunk(completion, "whole answer");
    completion->is_ended = true;
    release_slots(completion);
    if (completion->is_truncated) {
        json_decref(root);
        free(completion);
        return Fake_ReplyText(request, 200, "{\"id\": \"cut");
    }
    free(completion);
    return Fake_ReplyJson(request, 200, root);
}

/** Acquires a batch slot. @return 200, or the status of the refusal */
static unsigned
admit_request(const char *model)
{
    adapter_slot_t *slot = find_slot(model);
    if (slot == NULL || slot->is_loading || slot->model[0] == '\0') {
        return 404;
    }
    if (running_requests >= batch_slot_count || Fake_ConsumeFault("refuse")) {
        return 429;
    }
    slot->running++;
    running_requests++;
    return 200;
}

static bool
is_most_urgent(uint32_t priority)
{
    uint32_t more_urgent = 0;
    for (uint32_t i = 0; i < priority; i++) {
        more_urgent += queued_by_priority[i];
    }
    return more_urgent == 0;
}

/** Waits until the batch has a free slot and no request with a more urgent
 *  priority waits, or the deadline has passed. Called with the lock held,
 *  which is released during the wait. */
static void
wait_for_batch_slot(uint32_t priority)
{
    uint64_t deadline_ms = Fake_NowMs() + (uint64_t)Fake_GetFault("queue_ms");
    queued_by_priority[priority]++;
    while (
        (running_requests >= batch_slot_count || !is_most_urgent(priority)) &&
        Fake_NowMs() < deadline_ms) {
        pthread_mutex_unlock(&lock);
        Fake_SleepMs(5);
        pthread_mutex_lock(&lock);
    }
    queued_by_priority[priority]--;
}

static void
add_cache_event(const char *model, size_t prefix_bytes)
{
    cache_event_t *event = &events[event_count++ % CACHE_EVENTS_MAX];
    event->added_ms = Fake_NowMs();
    event->prefix_bytes = prefix_bytes;
    snprintf(event->model, sizeof event->model, "%s", model);
}

/** Sends the cache events as the faults events_lag_ms and events_gap allow. */
static enum MHD_Result
send_cache_events(const fake_request_t *request)
{
    const char *text = Fake_FindQueryParameter(request, "from");
    uint64_t number = text ? strtoull(text, NULL, 10) : 0;
    uint64_t lag_ms = (uint64_t)Fake_GetFault("events_lag_ms");
    uint64_t drop_interval = (uint64_t)Fake_GetFault("events_gap");
    json_t *list = json_array();
    pthread_mutex_lock(&lock);
    uint64_t now_ms = Fake_NowMs();
    number = number + CACHE_EVENTS_MAX < event_count
                 ? event_count - CACHE_EVENTS_MAX
                 : number;
    for (; number < event_count; number++) {
        const cache_event_t *event = &events[number % CACHE_EVENTS_MAX];
        if (event->added_ms + lag_ms > now_ms) {
            break;
        }
        if (drop_interval == 0 || number % drop_interval != 0) {
            json_array_append_new(list,
                                  json_pack("{s:I, s:s, s:I}", "number",
                                            (json_int_t)number, "model",
                                            event->model, "prefix_bytes",
                                            (json_int_t)event->prefix_bytes));
        }
    }
    pthread_mutex_unlock(&lock);
    return Fake_ReplyJson(request, 200, json_pack("{s:o}", "events", list));
}

static enum MHD_Result
handle_completion(const fake_request_t *request)
{
    json_t *root = json_loads(request->body, 0, NULL);
    const char *model = json_string_value(json_object_get(root, "model"));
    const char *id = Fake_FindHeader(request, "X-Request-Id");
    bool is_streamed = json_is_true(json_object_get(root, "stream"));
    char *request_text = json_dumps(root, JSON_COMPACT);
    const char *token_request = strstr(request_text, "TOKENS ");
    json_int_t priority =
        json_integer_value(json_object_get(root, "priority"));
    json_int_t resume_after =
        json_integer_value(json_object_get(root, "resume_after"));
    pthread_mutex_lock(&lock);
    wait_for_batch_slot(priority < PRIORITY_COUNT ? (uint32_t)priority : 0);
    unsigned status = admit_request(model);
    if (status == 200) {
        add_cache_event(model, strlen(request_text));
    }
    pthread_mutex_unlock(&lock);
    if (status != 200) {
        free(request_text);
        json_decref(root);
        return Fake_ReplyText(request, status, "not run\n");
    }
    if (strstr(request_text, "CRASH") != NULL) {
        Fake_SleepMs(20);
        _exit(42);
    }
    completion_t *completion = calloc(1, sizeof *completion);
    completion->has_adapter_slot = true;
    completion->is_truncated = Fake_ConsumeFault("truncate");
    completion->tokens_left = token_request ? (uint32_t)atoi(token_request + 7)
                                            : DEFAULT_TOKEN_COUNT;
    if (resume_after > 0 && resume_after <= completion->tokens_left) {
        completion->tokens_left -= (uint32_t)resume_after;
        completion->tokens_sent = (uint32_t)resume_after;
    }
    snprintf(completion->model, sizeof completion->model, "%s", model);
    snprintf(completion->id, sizeof completion->id, "%s",
             Fake_ConsumeFault("cross") || !id ? "somebody-else" : id);
    free(request_text);
    json_decref(root);
    Fake_SleepMs((uint64_t)Fake_GetFault("late_ms"));
    return is_streamed ? send_event_stream(request, completion)
                       : send_json_completion(request, completion);
}

/* ---- reports ---- */

static void *
record_snapshots(void *opaque)
{
    (void)opaque;
    for (;;) {
        pthread_mutex_lock(&lock);
        snapshot_t *snapshot = &snapshots[snapshot_count++ % SNAPSHOTS_MAX];
        snapshot->taken_ms = Fake_NowMs();
        memcpy(snapshot->adapter_slots, adapter_slots, sizeof adapter_slots);
        pthread_mutex_unlock(&lock);
        Fake_SleepMs(SNAPSHOT_INTERVAL_MS);
    }
    return NULL;
}

/** @return the newest snapshot that is at least as old as report_lag_ms, else
 *  the oldest one kept; NULL if there is none yet. */
static const snapshot_t *
find_lagging_snapshot(uint64_t now_ms)
{
    uint64_t lag_ms = (uint64_t)Fake_GetFault("report_lag_ms");
    const snapshot_t *candidate = NULL;
    for (uint64_t i = 0; i < SNAPSHOTS_MAX && i < snapshot_count; i++) {
        const snapshot_t *snapshot =
            &snapshots[(snapshot_count - 1 - i) % SNAPSHOTS_MAX];
        candidate = snapshot;
        if (snapshot->taken_ms + lag_ms <= now_ms) {
            break;
        }
    }
    return candidate;
}

static enum MHD_Result
send_report(const fake_request_t *request)
{
    json_t *list = json_array();
    uint64_t now_ms = Fake_NowMs();
    uint32_t running_count = 0;
    pthread_mutex_lock(&lock);
    const snapshot_t *snapshot = find_lagging_snapshot(now_ms);
    for (uint32_t i = 0; snapshot != NULL && i < adapter_slot_count; i++) {
        const adapter_slot_t *slot = &snapshot->adapter_slots[i];
        running_count += slot->running;
        if (slot->model[0] != '\0') {
            json_array_append_new(
                list, json_pack("{s:s, s:i, s:b}", "model", slot->model,
                                "running", (int)slot->running, "loading",
                                (int)slot->is_loading));
        }
    }
    json_int_t age_ms =
        snapshot ? (json_int_t)(now_ms - snapshot->taken_ms) : 0;
    pthread_mutex_unlock(&lock);
    return Fake_ReplyJson(
        request, 200,
        json_pack("{s:I, s:I, s:i, s:o}", "epoch", (json_int_t)epoch, "age_ms",
                  age_ms, "running", (int)running_count, "slots", list));
}

static enum MHD_Result
send_stats(const fake_request_t *request)
{
    return Fake_ReplyJson(
        request, 200,
        json_pack("{s:I, s:I, s:I, s:s}", "served", (json_int_t)served_count,
                  "evicted_in_use", (json_int_t)evicted_in_use, "tokens",
                  (json_int_t)total_tokens_sent, "role", role));
}

static enum MHD_Result
set_role(const fake_request_t *request)
{
    json_t *root = json_loads(request->body, 0, NULL);
    const char *name = json_string_value(json_object_get(root, "role"));
    snprintf(role, sizeof role, "%s", name ? name : "serve");
    json_decref(root);
    return Fake_ReplyText(request, 200, "ok\n");
}

static enum MHD_Result
handle_request(const fake_request_t *request)
{
    enum MHD_Result result;
    if (Fake_HandleFaultRequest(request, &result)) {
        return result;
    }
    if (strstr(request->path, "completions") != NULL) {
        return handle_completion(request);
    }
    if (strstr(request->path, "load_lora_adapter") != NULL) {
        return handle_adapter_order(request);
    }
    if (strcmp(request->path, "/v1/role") == 0) {
        return set_role(request);
    }
    if (strcmp(request->path, "/events") == 0) {
        return send_cache_events(request);
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
    adapter_slot_count = (uint32_t)atoi(argv[3]);
    batch_slot_count = (uint32_t)atoi(argv[4]);
    checks_fencing = atoi(argv[5]) != 0;
    token_ms = (uint32_t)atoi(argv[6]);
    epoch = Fake_NowMs() * 1000 + (uint64_t)getpid() % 1000;
    pthread_create(&thread, NULL, record_snapshots, NULL);
    return Fake_Serve(argv[2], (uint32_t)atoi(argv[7]), handle_request);
}
