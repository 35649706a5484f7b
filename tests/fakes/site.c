/**
 * @file site.c
 * @brief Fake of the users' platform: its store, the engines of a service and
 *        a plain service, in one process that speaks the published protocol.
 *
 * skyfake site PORT STORE_PORTS ENGINES ADAPTER_SLOTS [PLAIN_TARGETS]
 *
 * PORT + 0..        ports of the one store, one for each host, so that a fault
 *                   can hit a single host
 * PORT + 20..       engines of service "llm"
 * PORT + 40..       targets of plain service "app", 1 by default
 * PORT + 50         control by tests: POST /fault, /op, /leave, /crash,
 *                   /go-back, /cut, /vanish, /appear, /entry; GET /state
 *
 * /cut?n=HOST&state=STATE&service=SERVICE sets the state (see links.h) of the
 * links from a host to the targets of a service, or of all; of those between
 * the host and all other hosts, if the service is "hosts".
 *
 * /entry?key=KEY&n=COUNT writes the body as an entry of another writer: under
 * KEY, or under COUNT keys that begin with it.
 *
 * After /vanish?n=TARGET the entry of a target of "app" is missing, and the
 * target serves on; `late_sends` counts the requests that reach it later than
 * VANISHED_SEND_MAX_MS after. /appear?n=TARGET writes the entry again.
 *
 * /crash?n=NUMBER&service=SERVICE crashes an engine, or a target of "app".
 *
 * After /go-back?n=SECONDS the store has lost what it got in that time, and
 * its era, in all its responses, is one higher.
 *
 * A target that begins to run a request crashes if "/crash" is in the path, an
 * engine also if the id of a prompt part other than the last one begins with
 * "dead". Its port is closed for CRASH_DOWN_MS, then it starts again with
 * another id.
 *
 * Faults, set by `POST /fault {"name": number}`:
 * - store_down_N: state of store port N: 1 responds with 503, 2 never responds
 *
 * The other faults hold the number of requests that they apply to:
 * - lose_orders: the order is applied, but the connection is closed
 * - odd_polls: an order for an adapter in transit gets a 503
 * - late_orders: the connection is closed, and the order is applied later
 * - cut_streams, hang_streams: a stream is cut or falls silent after 3 events
 * - shed: the request is refused with 503, without being run
 * - lose: the service runs the request, but closes the connection
 * - fail: the service runs the request and responds with 500
 * - refuse_without_id: the service refuses it with 503, without its id
 * - mark_after_run: the service runs it, and marks its success as a refusal
 * - garble_after_mark: the service runs it, sends the head of a refusal and
 *   bytes that are no body
 * - garble: the service sends only a part of the response
 * - endless_success, endless_unsealed, endless_error, endless_refusal: the
 *   service's response, without a length, goes on until the caller closes
 * - endless_event: so does the first event of an engine's stream
 * - endless_report: so does an engine's report
 * - stalled_event: the first event of an engine's stream has 900 KiB, and no
 * end
 * - empty_crashes: an engine that crashes sends a response without a length
 *   and without a body first
 * - cut_large: a target of the service sends half of its large response, and
 *   crashes
 * - cut_text: an engine responds with text that is no event stream, and
 * crashes in the middle of it
 * - cut_heads: an engine or a target of the service sends cut_head_bytes of
 * its response's head, and crashes
 * - resume_answers: an engine responds to a request that resumes a stream with
 *   RESUME_ANSWERS[resume_answer]
 *
 * - second_software_from: engines that start, from this number on, run
 * software version v2, others v1; each event names the version; 0: all run v1,
 * -1: all run v2
 * - tell_leaving_N: the engine says in its responses that it leaves, though
 * its entry does not
 * - pause_s: the pause that a target asks for when it sheds a request; 0: none
 * - large_kb: size of the service's responses, which consist of one letter for
 *   each target; 0: they are small
 * - large_chunked: large responses have no length
 * - large_until_close: they have neither a length nor chunks
 * - large_status: their status; 0: 200
 * - events_without_ids: no event of a stream has an id
 * - event_ms: time between the events of a stream, if not EVENT_INTERVAL_MS
 * - prompt_us_per_token: time that an engine takes to read a prompt; its
 *   streams make no events meanwhile; 0: none
 * - measure_intervals: the longest interval between two events of a stream is
 *   kept, as longest_interval; 0: not
 * - status_after_run: the service runs a request and responds with this
 * status, its seal and no mark; 0: with 200
 * - app_run_ms: time that the service takes for a request
 * - long_app_ms, long_event_ms: in place of app_run_ms and event_ms, of a
 *   request with "/long" in its path
 * - app_room: requests that a target of the service has room for, beyond which
 *   it refuses; 0: any number
 * - brittle_app: the service says in its responses that a target which has to
 *   refuse more requests than this in a second falls over, and does so; 0: not
 * - silent_app_ms: all targets of the service fall silent for so long, once,
 * and then go on
 * - limit_N, limit_app: the engine or the service names a limit of so many
 *   tenths of a request a second in its responses; 0: none
 */
#include <endian.h>
#include <ev.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "core/clock.h"
#include "fake_http.h"
#include "links.h"
#include "net/listener.h"

#define ENGINE_PORT_OFFSET 20
#define SERVICE_PORT_OFFSET 40
#define CONTROL_PORT_OFFSET 50
#define HOST_PORT_OFFSET 140 /* of the hosts, for each other */
#define STORE_PORTS_MAX 8
#define ENGINES_MAX 8
#define PLAIN_TARGETS_MAX 8
#define REFUSALS_MAX 64
#define ADAPTER_SLOTS_MAX 64
#define MEMBERS_MAX 64
#define TOPICS_MAX 32
#define GENERATIONS_MAX 4096
#define PARTITION_COUNT 8
#define ADAPTER_LOAD_MS 120
#define EVENT_INTERVAL_MS 15
#define EVENTS_PER_STREAM 8
#define EVENTS_BEFORE_FAULT 3
#define HEARTBEAT_INTERVAL_S 0.25
#define MEMBER_TTL_MS 1600
#define LATE_ORDER_MS 900
#define MODEL_NAME "m1"
#define NEWEST_PAGE_KEYS 50
#define HEALTH_PATH "/h"
#define ENTRY_TTL_MS 1200 /* age at which an engine's entry expires */
#define CRASH_DOWN_MS 1200
#define CRASH_DELAY_S 0.1
#define SEALED "X-Skylarkspar-Server-Seal: s1\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define SEALED_EVENTS SEALED EVENTS
#define SEALED_TEXT SEALED "Content-Type: text/plain\r\n"
#define EVENT_OF_ERROR "id: 4\ndata: error\n\n"
/* A request that crashed CRASHES_ALLOWED engines, or one with a prompt part
 * that crashed PART_CRASHES_ALLOWED, is expected to reach no engine when
 * CRASHES_KNOWN_MS have passed since: stableMs in the tests' settings. */
#define CRASHES_ALLOWED 3
#define PART_CRASHES_ALLOWED 5
#define CRASHING_PART_PREFIX "dead"
#define CRASHES_KNOWN_MS 1000
/* drainMs of the settings that the tests write */
#define VANISHED_SEND_MAX_MS 2000
#define CRASHING_REQUESTS_MAX 16
/* From LIMIT_KNOWN_MS (stableMs in the tests' settings) after a target first
 * named its limit, it is expected to get in any window no more than 1.5 times
 * the limit and 5. Hosts have LIMIT_TOLD_MS to react to it. */
#define LIMIT_WINDOW_MS 4000
#define LIMIT_KNOWN_MS 1000
#define LIMIT_TOLD_MS 500
#define LIMIT_ARRIVALS_MAX 4096
#define SERVICE_LIMIT_NAME "limit_app"
/* Hosts have PAUSE_TOLD_MS to react to a pause that a target asks for, and
 * LEAVING_TOLD_MS (drainMs in the tests' settings) to its leaving. */
#define PAUSE_TOLD_MS 500
#define LEAVING_TOLD_MS 2000

typedef struct {
    char key[64];
    char *value; /* NULL: the key was deleted */
    uint64_t appended_ms;
} log_record_t;

typedef struct {
    char name[64];
    log_record_t *records;
    size_t count;
} topic_t;

typedef struct {
    char name[96];
    uint64_t joined_ms;
    uint64_t renewed_ms; /* last join */
    uint64_t ttl_ms;     /* as in the last join */
} member_t;

typedef struct {
    char name[32];
    uint32_t version;
    uint64_t loaded_ms; /* end of the load; 0: the slot is free */
    uint32_t stream_count;
} adapter_slot_t;

typedef struct engine {
    int number;
    uint16_t port;
    sky_listener_t *listener;
    char id[32];
    char limit_name[32]; /* of the fault that holds its limit */
    char leaving_name[32];
    uint64_t told_leaving_ms; /* first response that says so; 0: none */
    uint64_t started_ms;
    uint64_t applied_orders; /* revision that an order has to expect */
    uint32_t load_count;     /* of adapters, in all runs */
    const char *software;    /* version */
    bool is_leaving;
    bool is_down; /* after a crash; restarted by restart_timer */
    ev_timer crash_timer;
    ev_timer restart_timer;
    adapter_slot_t adapter_slots[ADAPTER_SLOTS_MAX];
    char unloading_adapter[32]; /* waits for its streams; "": none */
    uint64_t reads_until_ms;    /* prompts */
} engine_t;

typedef struct {
    int number;
    uint16_t port;
    sky_listener_t *listener;
    char id[32];
    uint64_t started_ms;  /* Unix time */
    uint64_t vanished_ms; /* its entry is missing since; 0: it is listed */
    bool is_down;         /* after a crash; restarted by restart_timer */
    ev_timer crash_timer;
    ev_timer restart_timer;
    uint32_t running;
    uint64_t refusals_ms[REFUSALS_MAX]; /* the newest, in a ring */
    uint32_t refusal_count;
} plain_target_t;

/** A request that a plain target is running. */
typedef struct plain_run {
    plain_target_t *target;
    sky_server_request_t *request;
    ev_timer timer;
    struct plain_run *prev;
    struct plain_run *next;
} plain_run_t;

/** Arrivals at a target since it named a limit. */
typedef struct {
    char name[32]; /* of its fault */
    uint64_t named_ms;
    uint64_t arrivals_ms[LIMIT_ARRIVALS_MAX];
    uint32_t arrival_count;
    uint32_t max_in_window;
    double allowed; /* in the window of max_in_window */
} limited_target_t;

/** Requests that crash engines, by their path or by the id of their prompt
 *  part. */
typedef struct {
    char name[64];
    uint32_t crashes_allowed;
    uint32_t crash_count;
    uint64_t last_allowed_crash_ms;
    uint32_t late_send_count; /* sends after that and CRASHES_KNOWN_MS */
} crashing_request_t;

/** A generation request that is being streamed. */
typedef struct stream {
    sky_server_request_t *request;
    engine_t *engine;
    char id[64];
    char adapter[32];
    uint32_t version; /* of the adapter */
    uint64_t next_event;
    uint64_t cut_after_event;
    uint64_t hang_after_event;
    uint64_t last_event_ms; /* 0: none yet */
    double interval_s;      /* between events, when no prompt is read */
    ev_timer timer;
    struct stream *prev;
    struct stream *next_stream;
} stream_t;

/** A read of a topic that waits for new records. */
typedef struct long_poll {
    sky_server_request_t *request;
    topic_t *topic;
    uint64_t from;
    uint64_t deadline_ms;
    struct long_poll *prev;
    struct long_poll *next;
} long_poll_t;

static struct ev_loop *loop;
static uint16_t base_port;
static int store_port_count;
static int engine_count;
static uint32_t adapter_slot_count;
static topic_t topics[TOPICS_MAX];
static engine_t engines[ENGINES_MAX];
static plain_target_t plain_targets[PLAIN_TARGETS_MAX];
static int plain_target_count = 1;
static plain_run_t *plain_runs;
static uint64_t silent_until_ms; /* of the plain targets */
static uint32_t falls; /* of plain targets that refused too many requests */
static member_t group_members[MEMBERS_MAX];
static uint64_t group_generation;
static uint64_t generation_changes_ms[GENERATIONS_MAX];
static uint32_t arrivals_after_told; /* at engines that said that they leave */
static uint64_t pause_begins_ms;     /* requests count from here on */
static uint64_t pause_ends_ms;
static uint32_t arrivals_in_pause;
static uint32_t endless_open; /* endless responses that are being sent */
static uint32_t store_era = 1;
static uint32_t store_reads;
static uint32_t keys_at_targets;
static json_t *tenants_of; /* by attempt id */
static json_t *faults;
static json_t *run_counts;           /* attempt id -> number of runs */
static json_t *plain_runs_at;        /* attempt id -> bits of plain targets */
static uint32_t overfilled_loads;    /* loads beyond the adapter slots */
static uint64_t longest_interval_ms; /* between events of a stream */
static uint32_t runs_after_leave;    /* requests to a leaving engine */
static uint32_t late_sends;          /* requests to vanished targets */
static crashing_request_t crashing_requests[CRASHING_REQUESTS_MAX];
static limited_target_t limited_targets[ENGINES_MAX + 1];
static long_poll_t *long_polls;
static stream_t *open_streams;

static int64_t
get_fault(const char *name)
{
    return json_integer_value(json_object_get(faults, name));
}

static bool
consume_fault(const char *name)
{
    int64_t left = get_fault(name);
    if (left > 0) {
        json_object_set_new(faults, name, json_integer(left - 1));
    }
    return left > 0;
}

static bool
is_long_request(const sky_server_request_t *request)
{
    return strstr(SkyHttpHead_Url(SkyServerRequest_Head(request)), "/long") !=
           NULL;
}

/** Finds a topic; creates it at its first use. */
static topic_t *
find_or_create_topic(const char *name)
{
    for (int i = 0; i < TOPICS_MAX; i++) {
        if (topics[i].name[0] == '\0') {
            snprintf(topics[i].name, sizeof topics[i].name, "%s", name);
        }
        if (strcmp(topics[i].name, name) == 0) {
            return &topics[i];
        }
    }
    abort();
}

static void
send_json(sky_server_request_t *request, uint16_t status, json_t *body)
{
    char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("");
    json_decref(body);
    SkyServerRequest_Respond(request, status,
                             "Content-Type: application/json\r\n", text,
                             strlen(text));
    free(text);
}

/** Sends a response of the store. */
static void
send_store_json(sky_server_request_t *request, uint16_t status, json_t *body)
{
    char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("");
    char fields[96];
    json_decref(body);
    snprintf(fields, sizeof fields,
             "Content-Type: application/json\r\nStore-Era: %u\r\n", store_era);
    SkyServerRequest_Respond(request, status, fields, text, strlen(text));
    free(text);
}

static void
append_u64(sky_buffer_t *out, uint64_t value)
{
    value = htobe64(value);
    SkyBuffer_Append(out, &value, sizeof value);
}

/** Sends the records of a topic from an offset on, in binary: number of
 * records in the topic, 0, then for each record its length, the length of its
 * key, the key and the value. */
static void
send_records(sky_server_request_t *request, const topic_t *topic,
             uint64_t from)
{
    sky_buffer_t out = {0};
    append_u64(&out, topic->count);
    append_u64(&out, 0);
    for (uint64_t i = from; i < topic->count; i++) {
        const log_record_t *record = &topic->records[i];
        uint8_t key_size = (uint8_t)strlen(record->key);
        size_t value_size = record->value ? strlen(record->value) : 0;
        uint32_t length = htobe32((uint32_t)(1 + key_size + value_size));
        SkyBuffer_Append(&out, &length, sizeof length);
        SkyBuffer_Append(&out, &key_size, 1);
        SkyBuffer_Append(&out, record->key, key_size);
        SkyBuffer_Append(&out, record->value, value_size);
    }
    char fields[32];
    snprintf(fields, sizeof fields, "Store-Era: %u\r\n", store_era);
    SkyServerRequest_Respond(request, 200, fields, SkyBuffer_Data(&out),
                             SkyBuffer_Size(&out));
    SkyBuffer_Clear(&out);
}

/** Responds to the long polls that have new records or reached their deadline.
 */
static void
finish_long_polls(void)
{
    long_poll_t *poll;
    long_poll_t *next;
    DL_FOREACH_SAFE(long_polls, poll, next)
    {
        if (poll->topic->count > poll->from ||
            poll->deadline_ms <= SkyClock_NowMs()) {
            SkyServerRequest_SetUserData(poll->request, NULL);
            DL_DELETE(long_polls, poll);
            send_records(poll->request, poll->topic, poll->from);
            free(poll);
        }
    }
}

static void
append_record(const char *topic_name, const char *key, const char *value)
{
    topic_t *topic = find_or_create_topic(topic_name);
    topic->records =
        realloc(topic->records, (topic->count + 1) * sizeof *topic->records);
    log_record_t *record = &topic->records[topic->count++];
    snprintf(record->key, sizeof record->key, "%s", key);
    record->value = value ? strdup(value) : NULL;
    record->appended_ms = SkyClock_NowMs();
    finish_long_polls();
}

static const char *
get_query_parameter(const char *url, const char *name, char *value,
                    size_t size)
{
    const char *at = strchr(url, '?');
    size_t length = strlen(name);
    value[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            snprintf(value, size, "%.*s", (int)strcspn(at + length + 1, "&"),
                     at + length + 1);
            return value;
        }
        at = strchr(at, '&');
    }
    return value;
}

static void
handle_log_read(sky_server_request_t *request, const char *url)
{
    char text[64];
    topic_t *topic = find_or_create_topic(
        get_query_parameter(url, "topic", text, sizeof text));
    uint64_t from = strtoull(
        get_query_parameter(url, "from", text, sizeof text), NULL, 10);
    uint64_t wait_ms = strtoull(
        get_query_parameter(url, "waitMs", text, sizeof text), NULL, 10);
    if (from > topic->count) {
        send_store_json(request, 410, json_pack("{s:i}", "firstOffset", 0));
        return;
    }
    if (topic->count > from || wait_ms == 0) {
        send_records(request, topic, from);
        return;
    }
    long_poll_t *poll = calloc(1, sizeof *poll);
    *poll =
        (long_poll_t){request, topic, from, SkyClock_NowMs() + wait_ms, 0, 0};
    SkyServerRequest_SetUserData(request, poll);
    DL_APPEND(long_polls, poll);
}

/** Appends records of a keyed topic: for each its length, the length of its
 *  key, the key and the value; without a value the key is deleted. */
static void
handle_log_append(sky_server_request_t *request, const char *url,
                  const char *bytes, size_t size)
{
    char name[64];
    get_query_parameter(url, "topic", name, sizeof name);
    size_t offset = find_or_create_topic(name)->count;
    size_t at = 0;
    while (at + 5 <= size) {
        uint32_t length;
        memcpy(&length, bytes + at, sizeof length);
        length = be32toh(length);
        uint8_t key_size = (uint8_t)bytes[at + 4];
        if (length > size - at - 4 || key_size + 1u > length) {
            send_store_json(request, 400, NULL);
            return;
        }
        char *key = strndup(bytes + at + 5, key_size);
        char *value =
            strndup(bytes + at + 5 + key_size, length - 1 - key_size);
        append_record(name, key, value[0] ? value : NULL);
        free(key);
        free(value);
        at += 4 + length;
    }
    send_store_json(request, 200,
                    json_pack("{s:I, s:I}", "offset", (json_int_t)offset,
                              "endOffset",
                              (json_int_t)find_or_create_topic(name)->count));
}

static uint64_t
next_generation(void)
{
    group_generation++;
    generation_changes_ms[group_generation % GENERATIONS_MAX] =
        SkyClock_NowMs();
    return group_generation;
}

/** Loses all records and changes of the group since a time. */
static void
go_back(uint64_t since_ms)
{
    for (int t = 0; t < TOPICS_MAX; t++) {
        topic_t *topic = &topics[t];
        while (topic->count > 0 &&
               topic->records[topic->count - 1].appended_ms >= since_ms) {
            topic->count--;
            free(topic->records[topic->count].value);
        }
    }
    for (int i = 0; i < MEMBERS_MAX; i++) {
        if (group_members[i].joined_ms >= since_ms) {
            group_members[i].name[0] = '\0';
        }
    }
    while (group_generation > 0 &&
           generation_changes_ms[group_generation % GENERATIONS_MAX] >=
               since_ms) {
        group_generation--;
    }
    store_era++;
}

/** Decodes %XX in place. */
static char *
decode_percent(char *text)
{
    char *to = text;
    for (const char *from = text; *from != '\0'; from++) {
        unsigned int byte;
        if (*from == '%' && sscanf(from + 1, "%2x", &byte) == 1) {
            *to++ = (char)byte;
            from += 2;
        }
        else {
            *to++ = *from;
        }
    }
    *to = '\0';
    return text;
}

/** Sends a page of NEWEST_PAGE_KEYS keys, in the order of their first record,
 *  from the one behind the parameter "after". */
static void
send_newest_records(sky_server_request_t *request, const char *url)
{
    char text[64];
    char after[256];
    topic_t *topic = find_or_create_topic(
        get_query_parameter(url, "topic", text, sizeof text));
    json_t *newest = json_object();
    for (size_t i = 0; i < topic->count; i++) {
        const log_record_t *record = &topic->records[i];
        json_object_del(newest, record->key);
        if (record->value != NULL) {
            json_object_set_new(newest, record->key,
                                json_integer((json_int_t)i));
        }
    }
    json_t *items = json_array();
    const char *key;
    json_t *at;
    bool has_more = false;
    get_query_parameter(url, "after", after, sizeof after);
    decode_percent(after);
    bool is_on_page = after[0] == '\0';
    json_object_foreach(newest, key, at)
    {
        if (!is_on_page) {
            is_on_page = strcmp(key, after) == 0;
            continue;
        }
        if (json_array_size(items) == NEWEST_PAGE_KEYS) {
            has_more = true;
            break;
        }
        const char *value = topic->records[json_integer_value(at)].value;
        size_t encoded_size = sodium_base64_encoded_len(
            strlen(value), sodium_base64_VARIANT_ORIGINAL);
        char *encoded_value = malloc(encoded_size);
        sodium_bin2base64(encoded_value, encoded_size,
                          (const unsigned char *)value, strlen(value),
                          sodium_base64_VARIANT_ORIGINAL);
        json_array_append_new(items,
                              json_pack("{s:s, s:s, s:O}", "key", key, "value",
                                        encoded_value, "offset", at));
        free(encoded_value);
    }
    json_decref(newest);
    if (!is_on_page) {
        json_decref(items);
        send_store_json(request, 400, NULL);
        return;
    }
    send_store_json(request, 200,
                    json_pack("{s:o, s:b, s:I}", "items", items, "hasMore",
                              has_more, "endOffset",
                              (json_int_t)topic->count));
}

/** Removes members whose last join is older than its time to live.
 *  @return number of live members, whose indices are written */
static int
collect_live_members(int *indices)
{
    int count = 0;
    for (int i = 0; i < MEMBERS_MAX; i++) {
        if (group_members[i].name[0] != '\0' &&
            group_members[i].renewed_ms + group_members[i].ttl_ms <
                SkyClock_NowMs()) {
            group_members[i].name[0] = '\0';
            next_generation();
        }
        if (group_members[i].name[0] != '\0') {
            indices[count++] = i;
        }
    }
    return count;
}

/** Deals the partitions of the topics to the live members in turn. Rows are
 *  [topic, partition, 0] for one member, [topic, partition, owner, 0] for
 *  all. */
static json_t *
encode_assignments(const char *member, bool for_all_members,
                   const json_t *topic_names)
{
    int live[MEMBERS_MAX];
    int count = collect_live_members(live);
    json_t *assignments = json_array();
    for (size_t t = 0; count > 0 && t < json_array_size(topic_names); t++) {
        for (int partition = 0; partition < PARTITION_COUNT; partition++) {
            const char *owner =
                group_members[live[(t * PARTITION_COUNT + (size_t)partition) %
                                   (size_t)count]]
                    .name;
            if (!for_all_members && strcmp(owner, member) != 0) {
                continue;
            }
            json_array_append_new(
                assignments,
                for_all_members
                    ? json_pack("[O, i, s, i]", json_array_get(topic_names, t),
                                partition, owner, 0)
                    : json_pack("[O, i, i]", json_array_get(topic_names, t),
                                partition, 0));
        }
    }
    return assignments;
}

static json_t *group_topics;

static void
join_group(sky_server_request_t *request, json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "member"));
    int index = -1;
    for (int i = 0; i < MEMBERS_MAX; i++) {
        if (strcmp(group_members[i].name, name) == 0) {
            index = i;
        }
    }
    for (int i = 0; i < MEMBERS_MAX && index < 0; i++) {
        if (group_members[i].name[0] == '\0') {
            index = i;
            next_generation();
            group_members[i].joined_ms = SkyClock_NowMs();
            snprintf(group_members[i].name, sizeof group_members[i].name, "%s",
                     name);
        }
    }
    group_members[index].renewed_ms = SkyClock_NowMs();
    json_int_t ttl_ms = json_integer_value(json_object_get(body, "ttlMs"));
    group_members[index].ttl_ms =
        ttl_ms > 0 ? (uint64_t)ttl_ms : MEMBER_TTL_MS;
    json_decref(group_topics);
    group_topics = json_incref(json_object_get(body, "topics"));
    json_t *assignments = encode_assignments(name, false, group_topics);
    send_store_json(request, 200,
                    json_pack("{s:I, s:i, s:o}", "generation",
                              (json_int_t)group_generation, "ttlMs",
                              (json_int_t)group_members[index].ttl_ms, "parts",
                              assignments));
}

static void
leave_group(sky_server_request_t *request, json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "member"));
    for (int i = 0; i < MEMBERS_MAX; i++) {
        if (strcmp(group_members[i].name, name) == 0) {
            group_members[i].name[0] = '\0';
            next_generation();
        }
    }
    send_store_json(request, 200, json_object());
}

static void
on_store_request(void *context, sky_server_request_t *request)
{
    char name[32];
    snprintf(name, sizeof name, "store_down_%d", (int)(intptr_t)context);
    int64_t store_fault = get_fault(name);
    const char *url = SkyHttpHead_Url(SkyServerRequest_Head(request));
    size_t size;
    const char *bytes = SkyServerRequest_Body(request, &size);
    json_t *body = json_loadb(bytes, size, 0, NULL);
    store_reads += strncmp(url, "/log-read", 9) == 0 ||
                   strncmp(url, "/log-newest", 11) == 0;
    if (store_fault == 1) {
        send_store_json(request, 503, NULL);
    }
    else if (store_fault == 2) {
        SkyServerRequest_SetUserData(request, NULL); /* gets no response */
    }
    else if (strncmp(url, "/log-read", 9) == 0) {
        handle_log_read(request, url);
    }
    else if (strncmp(url, "/log-append", 11) == 0) {
        handle_log_append(request, url, bytes, size);
    }
    else if (strncmp(url, "/log-newest", 11) == 0) {
        send_newest_records(request, url);
    }
    else if (strcmp(url, "/log-join") == 0) {
        join_group(request, body);
    }
    else if (strcmp(url, "/log-leave") == 0) {
        leave_group(request, body);
    }
    else if (strncmp(url, "/log-owners", 11) == 0) {
        send_store_json(request, 200,
                        json_pack("{s:I, s:o}", "generation",
                                  (json_int_t)group_generation, "parts",
                                  encode_assignments("", true, group_topics)));
    }
    else {
        send_store_json(request, 400, NULL);
    }
    json_decref(body);
}

static void
on_store_disconnect(void *context, sky_server_request_t *request)
{
    (void)context;
    long_poll_t *poll = SkyServerRequest_UserData(request);
    if (poll != NULL) {
        DL_DELETE(long_polls, poll);
        free(poll);
    }
}

/** @return the slot of an adapter in another version than @p other; NULL:
 *  none. */
static adapter_slot_t *
find_other_slot(engine_t *engine, const char *adapter,
                const adapter_slot_t *other)
{
    for (int i = 0; i < ADAPTER_SLOTS_MAX; i++) {
        adapter_slot_t *slot = &engine->adapter_slots[i];
        if (slot != other && slot->loaded_ms > 0 &&
            strcmp(slot->name, adapter) == 0) {
            return slot;
        }
    }
    return NULL;
}

/** @return the slot of an adapter: while a newer version is in transit, that
 * of the older one; NULL: none. */
static adapter_slot_t *
find_adapter_slot(engine_t *engine, const char *adapter)
{
    adapter_slot_t *slot = find_other_slot(engine, adapter, NULL);
    adapter_slot_t *other =
        slot != NULL ? find_other_slot(engine, adapter, slot) : NULL;
    return other != NULL && other->version < slot->version ? other : slot;
}

/** @return the slot of the version in transit; NULL: none. A newer version is
 *  in transit until the requests of the older one have ended. */
static adapter_slot_t *
find_loading_slot(engine_t *engine, const char *adapter)
{
    adapter_slot_t *slot = find_adapter_slot(engine, adapter);
    adapter_slot_t *newer =
        slot != NULL ? find_other_slot(engine, adapter, slot) : NULL;
    if (newer != NULL) {
        return newer;
    }
    return slot != NULL && slot->loaded_ms > SkyClock_NowMs() ? slot : NULL;
}

/** Frees the slots of older versions without requests whose newer version has
 *  been loaded. */
static void
finish_replacements(engine_t *engine)
{
    for (int i = 0; i < ADAPTER_SLOTS_MAX; i++) {
        adapter_slot_t *slot = &engine->adapter_slots[i];
        const adapter_slot_t *newer =
            slot->loaded_ms > 0 ? find_other_slot(engine, slot->name, slot)
                                : NULL;
        if (newer != NULL && newer->version > slot->version &&
            newer->loaded_ms <= SkyClock_NowMs() && slot->stream_count == 0) {
            *slot = (adapter_slot_t){0};
        }
    }
}

/** @return whether a newer version waits only for the requests of this one. */
static bool
is_about_to_be_replaced(engine_t *engine, const adapter_slot_t *slot)
{
    const adapter_slot_t *newer = find_other_slot(engine, slot->name, slot);
    return newer != NULL && newer->loaded_ms <= SkyClock_NowMs();
}

static void
publish_engine_entry(engine_t *engine)
{
    char address[32];
    snprintf(address, sizeof address, "127.0.0.1:%u", engine->port);
    json_t *adapters = json_array();
    for (int i = 0; i < ADAPTER_SLOTS_MAX; i++) {
        const adapter_slot_t *slot = &engine->adapter_slots[i];
        if (slot->loaded_ms > 0 &&
            find_loading_slot(engine, slot->name) != slot) {
            json_array_append_new(
                adapters, json_sprintf("%s@%u", slot->name, slot->version));
        }
    }
    json_t *entry = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I, s:[{s:s, s:i, s:o}]}",
        "service", "llm", "addr", address, "zone", "z1", "version",
        engine->software, "slots", 16, "state",
        engine->is_leaving ? "draining" : "ready", "coldLeftMs", 0, "born",
        (json_int_t)engine->started_ms, "seq",
        (json_int_t)engine->applied_orders, "models", "name", MODEL_NAME,
        "version", 1, "adapters", adapters);
    char *text = json_dumps(entry, JSON_COMPACT);
    append_record("keyed.servers", engine->id, text);
    free(text);
    json_decref(entry);
}

static void
start_engine(engine_t *engine)
{
    memset(engine->adapter_slots, 0, sizeof engine->adapter_slots);
    engine->started_ms = SkyClock_WallMs();
    engine->applied_orders = 0;
    int64_t second_from = get_fault("second_software_from");
    engine->software =
        second_from < 0 || (second_from > 0 && engine->number >= second_from)
            ? "v2"
            : "v1";
    engine->unloading_adapter[0] = '\0';
    snprintf(engine->id, sizeof engine->id, "i-%d-%llx", engine->number,
             (unsigned long long)engine->started_ms);
    publish_engine_entry(engine);
}

/* Counts keys that reach a target, and keeps the workspace that it is told. */
static void
record_access_fields(const sky_http_head_t *head, const char *id)
{
    const char *tenant = SkyHttpHead_FindField(head, "X-Skylarkspar-Tenant");
    keys_at_targets +=
        SkyHttpHead_FindField(head, "X-Skylarkspar-Credential") != NULL;
    json_object_set_new(tenants_of, id, json_string(tenant ? tenant : "-"));
}

static void
count_run(const char *id)
{
    json_int_t run_count = json_integer_value(json_object_get(run_counts, id));
    json_object_set_new(run_counts, id, json_integer(run_count + 1));
}

static void
finish_stream(stream_t *stream)
{
    for (int i = 0; i < ADAPTER_SLOTS_MAX; i++) {
        adapter_slot_t *slot = &stream->engine->adapter_slots[i];
        if (slot->stream_count > 0 && slot->version == stream->version &&
            strcmp(slot->name, stream->adapter) == 0) {
            slot->stream_count--;
        }
    }
    ev_timer_stop(loop, &stream->timer);
    DL_DELETE2(open_streams, stream, prev, next_stream);
    free(stream);
}

static void
record_interval(stream_t *stream, uint64_t now_ms)
{
    uint64_t interval_ms =
        stream->last_event_ms > 0 ? now_ms - stream->last_event_ms : 0;
    if (get_fault("measure_intervals") > 0 &&
        interval_ms > longest_interval_ms) {
        longest_interval_ms = interval_ms;
    }
    stream->last_event_ms = now_ms;
}

static void
on_stream_timer(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    stream_t *stream = timer->data;
    uint64_t now_ms = SkyClock_NowMs();
    char text[64];
    if (stream->engine->reads_until_ms > now_ms) {
        double left_s =
            (double)(stream->engine->reads_until_ms - now_ms) / 1000.0;
        ev_timer_stop(loop, timer);
        ev_timer_set(timer, left_s, stream->interval_s);
        ev_timer_start(loop, timer);
        return;
    }
    sky_server_request_t *request = stream->request;
    if (stream->hang_after_event > 0 &&
        stream->next_event > stream->hang_after_event) {
        return;
    }
    if (stream->cut_after_event > 0 &&
        stream->next_event > stream->cut_after_event) {
        SkyServerRequest_WriteBody(
            request, "id: ", 4); /* cut in the middle of an event */
        SkyServerRequest_SetUserData(request, NULL);
        finish_stream(stream);
        SkyServerRequest_Abort(request);
        return;
    }
    int size = 0;
    if (get_fault("events_without_ids") == 0) {
        size = snprintf(text, sizeof text, "id: %llu\n",
                        (unsigned long long)stream->next_event);
    }
    size += snprintf(
        text + size, sizeof text - (size_t)size, "data: t%llu %s\n\n",
        (unsigned long long)stream->next_event, stream->engine->software);
    SkyServerRequest_WriteBody(request, text, (size_t)size);
    record_interval(stream, now_ms);
    if (++stream->next_event > EVENTS_PER_STREAM) {
        SkyServerRequest_SetUserData(request, NULL);
        finish_stream(stream);
        SkyServerRequest_EndResponse(request);
    }
}

static limited_target_t *
find_or_add_limited_target(const char *name)
{
    for (int i = 0; i <= ENGINES_MAX; i++) {
        limited_target_t *target = &limited_targets[i];
        if (target->name[0] == '\0') {
            snprintf(target->name, sizeof target->name, "%s", name);
        }
        if (strcmp(target->name, name) == 0) {
            return target;
        }
    }
    abort();
}

static uint32_t
count_arrivals_in_window(const limited_target_t *target, uint64_t end_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < target->arrival_count; i++) {
        count += target->arrivals_ms[i] > end_ms - LIMIT_WINDOW_MS;
    }
    return count;
}

/** Counts a request that reaches a target, if it names a limit. */
static void
count_limited_arrival(const char *name)
{
    limited_target_t *target = find_or_add_limited_target(name);
    double per_s = (double)get_fault(name) / 10.0;
    uint64_t now_ms = SkyClock_NowMs();
    if (per_s <= 0.0) {
        target->named_ms = 0;
        return;
    }
    if (target->named_ms == 0) {
        target->named_ms = now_ms;
        target->arrival_count = 0;
    }
    if (now_ms < target->named_ms + LIMIT_TOLD_MS ||
        target->arrival_count == LIMIT_ARRIVALS_MAX) {
        return;
    }
    target->arrivals_ms[target->arrival_count++] = now_ms;
    uint32_t count = count_arrivals_in_window(target, now_ms);
    if (now_ms >= target->named_ms + LIMIT_KNOWN_MS &&
        count > target->max_in_window) {
        target->max_in_window = count;
        target->allowed = 1.5 * per_s * LIMIT_WINDOW_MS / 1000.0 + 5.0;
    }
}

/** @return for each target that has named a limit the most arrivals in a
 *  window, those allowed there, and all arrivals. */
static json_t *
encode_limited_targets(void)
{
    json_t *counts = json_object();
    for (int i = 0; i <= ENGINES_MAX && limited_targets[i].name[0] != '\0';
         i++) {
        const limited_target_t *target = &limited_targets[i];
        json_object_set_new(counts, target->name,
                            json_sprintf("%u of %.0f allowed, %u in all",
                                         target->max_in_window,
                                         target->allowed,
                                         target->arrival_count));
    }
    return counts;
}

/** @param limit_name fault that holds the target's limit */
static void
write_response_fields(sky_server_request_t *request, const char *limit_name,
                      char *fields, size_t size, const char *extra_fields)
{
    char limit[40] = "";
    int64_t tenths = get_fault(limit_name);
    if (tenths > 0) {
        snprintf(limit, sizeof limit, "Server-Limit: %lld.%lld\r\n",
                 (long long)tenths / 10, (long long)tenths % 10);
    }
    const char *id = SkyHttpHead_FindField(SkyServerRequest_Head(request),
                                           "X-Skylarkspar-Attempt-Id");
    char brittle[40] = "";
    if (strcmp(limit_name, SERVICE_LIMIT_NAME) == 0 &&
        get_fault("brittle_app") > 0) {
        snprintf(brittle, sizeof brittle, "Server-Brittle: %lld\r\n",
                 (long long)get_fault("brittle_app"));
    }
    snprintf(fields, size, "X-Skylarkspar-Attempt-Id: %s\r\n%s%s%s",
             id ? id : "", limit, brittle, extra_fields);
}

static void
refuse_request(sky_server_request_t *request, const char *limit_name,
               uint16_t status)
{
    char fields[192];
    write_response_fields(request, limit_name, fields, sizeof fields,
                          "X-Skylarkspar-Not-Executed: 1\r\n");
    SkyServerRequest_Respond(request, status, fields, "", 0);
}

/** Refuses a request for lack of capacity, and may ask for a pause. */
static void
shed_request(sky_server_request_t *request, const char *limit_name)
{
    char fields[192];
    char extra_fields[96] = "X-Skylarkspar-Not-Executed: 1\r\n";
    int64_t pause_s = get_fault("pause_s");
    if (pause_s > 0) {
        snprintf(extra_fields, sizeof extra_fields,
                 "X-Skylarkspar-Not-Executed: 1\r\nRetry-After: %lld\r\n",
                 (long long)pause_s);
        pause_begins_ms = SkyClock_NowMs() + PAUSE_TOLD_MS;
        pause_ends_ms = SkyClock_NowMs() + (uint64_t)pause_s * 1000;
    }
    write_response_fields(request, limit_name, fields, sizeof fields,
                          extra_fields);
    SkyServerRequest_Respond(request, 503, fields, "", 0);
}

/* An engine reads one prompt after the other. */
static void
read_prompt(engine_t *engine, const sky_http_head_t *head)
{
    const char *count =
        SkyHttpHead_FindField(head, "X-Skylarkspar-Token-Count");
    uint64_t read_ms = count ? strtoull(count, NULL, 10) *
                                   (uint64_t)get_fault("prompt_us_per_token") /
                                   1000
                             : 0;
    uint64_t now_ms = SkyClock_NowMs();
    engine->reads_until_ms =
        (engine->reads_until_ms > now_ms ? engine->reads_until_ms : now_ms) +
        read_ms;
}

static void
start_stream(engine_t *engine, sky_server_request_t *request, const char *id,
             const char *adapter)
{
    char fields[256];
    const char *last_event_id =
        SkyHttpHead_FindField(SkyServerRequest_Head(request), "Last-Event-Id");
    stream_t *stream = calloc(1, sizeof *stream);
    stream->request = request;
    stream->engine = engine;
    stream->next_event =
        last_event_id ? strtoull(last_event_id, NULL, 10) + 1 : 1;
    stream->cut_after_event =
        consume_fault("cut_streams") ? EVENTS_BEFORE_FAULT : 0;
    stream->hang_after_event =
        consume_fault("hang_streams") ? EVENTS_BEFORE_FAULT : 0;
    snprintf(stream->id, sizeof stream->id, "%s", id);
    snprintf(stream->adapter, sizeof stream->adapter, "%s", adapter);
    adapter_slot_t *slot = find_adapter_slot(engine, adapter);
    if (slot != NULL) {
        slot->stream_count++;
        stream->version = slot->version;
    }
    read_prompt(engine, SkyServerRequest_Head(request));
    int64_t event_ms =
        get_fault(is_long_request(request) ? "long_event_ms" : "event_ms");
    stream->interval_s =
        (double)(event_ms > 0 ? event_ms : EVENT_INTERVAL_MS) / 1000.0;
    ev_timer_init(&stream->timer, on_stream_timer, stream->interval_s,
                  stream->interval_s);
    stream->timer.data = stream;
    ev_timer_start(loop, &stream->timer);
    DL_APPEND2(open_streams, stream, prev, next_stream);
    SkyServerRequest_SetUserData(request, stream);
    write_response_fields(request, engine->limit_name, fields, sizeof fields,
                          get_fault(engine->leaving_name) > 0
                              ? "X-Skylarkspar-Server-Seal: s1\r\n"
                                "Content-Type: text/event-stream\r\n"
                                "Server-Leaving: 1\r\n"
                              : "X-Skylarkspar-Server-Seal: s1\r\n"
                                "Content-Type: text/event-stream\r\n");
    SkyServerRequest_BeginResponse(request, 200, fields, SKY_FRAMING_CHUNKED,
                                   0);
}

/** Responses that do not go on with a stream. Each body looks like an event.
 */
static const struct {
    uint16_t status;
    const char *fields;
    sky_body_framing_t framing;
    const char *body;
} RESUME_ANSWERS[] = {
    {500, SEALED_EVENTS, SKY_FRAMING_LENGTH, EVENT_OF_ERROR},
    {500, SEALED_EVENTS, SKY_FRAMING_CHUNKED, EVENT_OF_ERROR},
    {500, SEALED_EVENTS, SKY_FRAMING_UNTIL_CLOSE, EVENT_OF_ERROR},
    {500, SEALED_EVENTS, SKY_FRAMING_LENGTH, ""},
    {404, SEALED_TEXT, SKY_FRAMING_LENGTH, EVENT_OF_ERROR},
    {503, SEALED_EVENTS "X-Skylarkspar-Not-Executed: 1\r\n",
     SKY_FRAMING_LENGTH, EVENT_OF_ERROR},
    {503, SEALED_EVENTS "X-Skylarkspar-Not-Executed: 1\r\n",
     SKY_FRAMING_CHUNKED, EVENT_OF_ERROR},
    {421, "X-Skylarkspar-Not-Executed: 1\r\n", SKY_FRAMING_LENGTH,
     EVENT_OF_ERROR},
    {204, SEALED_EVENTS, SKY_FRAMING_LENGTH, ""},
    {302, SEALED_EVENTS, SKY_FRAMING_CHUNKED, EVENT_OF_ERROR},
    {200, EVENTS, SKY_FRAMING_CHUNKED, EVENT_OF_ERROR},
    {200, SEALED_EVENTS "Content-Encoding: gzip\r\n", SKY_FRAMING_CHUNKED,
     EVENT_OF_ERROR},
    {200, SEALED_EVENTS, SKY_FRAMING_UNTIL_CLOSE, ""},
    {200, SEALED_TEXT, SKY_FRAMING_LENGTH, EVENT_OF_ERROR},
    {200, SEALED_TEXT, SKY_FRAMING_CHUNKED, EVENT_OF_ERROR},
    {200, SEALED_TEXT, SKY_FRAMING_UNTIL_CLOSE, EVENT_OF_ERROR},
    {200, SEALED_TEXT, SKY_FRAMING_LENGTH, ""},
    {200, SEALED_TEXT, SKY_FRAMING_CHUNKED, ""},
    {421, "", SKY_FRAMING_LENGTH, EVENT_OF_ERROR},
    {0, SEALED_EVENTS, SKY_FRAMING_LENGTH, ""}, /* a part of a head */
};

/** The other side has received what was sent when the target crashes. */
static void
crash_soon(ev_timer *crash_timer)
{
    ev_timer_set(crash_timer, CRASH_DELAY_S, 0.0);
    ev_timer_start(loop, crash_timer);
}

static void
send_part_of_head(sky_server_request_t *request, const char *type)
{
    char head[512];
    char fields[256];
    size_t left = (size_t)get_fault("cut_head_bytes");
    write_response_fields(request, "", fields, sizeof fields, type);
    int size =
        snprintf(head, sizeof head,
                 "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n%s\r\n", fields);
    /* No response was begun, so that the bytes are sent as they are. */
    SkyServerRequest_WriteBody(request, head,
                               left < (size_t)size ? left : (size_t)size - 1);
}

static void
send_resume_answer(engine_t *engine, sky_server_request_t *request)
{
    char fields[256];
    size_t count = sizeof RESUME_ANSWERS / sizeof RESUME_ANSWERS[0];
    size_t i = (size_t)get_fault("resume_answer") % count;
    if (RESUME_ANSWERS[i].status == 0) {
        send_part_of_head(request, RESUME_ANSWERS[i].fields);
        crash_soon(&engine->crash_timer);
        return;
    }
    write_response_fields(request, engine->limit_name, fields, sizeof fields,
                          RESUME_ANSWERS[i].fields);
    SkyServerRequest_BeginResponse(request, RESUME_ANSWERS[i].status, fields,
                                   RESUME_ANSWERS[i].framing,
                                   strlen(RESUME_ANSWERS[i].body));
    SkyServerRequest_WriteBody(request, RESUME_ANSWERS[i].body,
                               strlen(RESUME_ANSWERS[i].body));
    SkyServerRequest_EndResponse(request);
}

#define ENDLESS_INTERVAL_S 0.001
#define ENDLESS_BURST_BYTES (256u * 1024u)
#define STALLED_EVENT_BYTES (900u * 1024u)

/** A response body that goes on until the caller closes. */
typedef struct endless {
    const void *target; /* engine or plain target that sends it */
    sky_server_request_t *request;
    ev_timer timer;
    size_t bytes_left; /* sent before it stalls */
    struct endless *prev;
    struct endless *next;
} endless_t;

static endless_t *endless_responses;

static void
on_endless_timer(struct ev_loop *unused, ev_timer *timer, int events)
{
    static char bytes[ENDLESS_BURST_BYTES];
    (void)unused;
    (void)events;
    endless_t *endless = timer->data;
    if (!SkyServerRequest_IsCallerSlow(endless->request)) {
        size_t size = endless->bytes_left < sizeof bytes ? endless->bytes_left
                                                         : sizeof bytes;
        memset(bytes, 'x', sizeof bytes);
        SkyServerRequest_WriteBody(endless->request, bytes, size);
        endless->bytes_left -= size;
    }
}

/* Sends @p bytes more after the first ones, and never ends. */
static void
start_stalled_response(const void *target, sky_server_request_t *request,
                       uint16_t status, const char *fields,
                       const char *first_bytes, size_t bytes)
{
    endless_t *endless = calloc(1, sizeof *endless);
    endless->target = target;
    endless->bytes_left = bytes;
    endless->request = request;
    endless_open++;
    DL_APPEND(endless_responses, endless);
    SkyServerRequest_BeginResponse(request, status, fields,
                                   SKY_FRAMING_UNTIL_CLOSE, 0);
    SkyServerRequest_WriteBody(request, first_bytes, strlen(first_bytes));
    ev_timer_init(&endless->timer, on_endless_timer, ENDLESS_INTERVAL_S,
                  ENDLESS_INTERVAL_S);
    endless->timer.data = endless;
    ev_timer_start(loop, &endless->timer);
}

static void
start_endless_response(const void *target, sky_server_request_t *request,
                       uint16_t status, const char *fields,
                       const char *first_bytes)
{
    start_stalled_response(target, request, status, fields, first_bytes,
                           SIZE_MAX);
}

static void
free_endless(endless_t *endless)
{
    ev_timer_stop(loop, &endless->timer);
    DL_DELETE(endless_responses, endless);
    endless_open--;
    free(endless);
}

static void
finish_endless_response(const sky_server_request_t *request)
{
    endless_t *endless;
    endless_t *next;
    DL_FOREACH_SAFE(endless_responses, endless, next)
    {
        if (endless->request == request) {
            free_endless(endless);
        }
    }
}

/* Those of a target that crashes: its connections end without a callback. */
static void
drop_endless_responses(const void *target)
{
    endless_t *endless;
    endless_t *next;
    DL_FOREACH_SAFE(endless_responses, endless, next)
    {
        if (endless->target == target) {
            free_endless(endless);
        }
    }
}

static crashing_request_t *
find_or_add_crashing_request(const char *name, uint32_t crashes_allowed)
{
    for (int i = 0; i < CRASHING_REQUESTS_MAX; i++) {
        crashing_request_t *crashing = &crashing_requests[i];
        if (crashing->name[0] == '\0') {
            snprintf(crashing->name, sizeof crashing->name, "%s", name);
            crashing->crashes_allowed = crashes_allowed;
        }
        if (strcmp(crashing->name, name) == 0) {
            return crashing;
        }
    }
    abort();
}

/** @return the account of a request that crashes engines; NULL: it does not */
static crashing_request_t *
find_crashing_request(const sky_http_head_t *head)
{
    const char *url = SkyHttpHead_Url(head);
    if (strstr(url, "/crash") != NULL) {
        return find_or_add_crashing_request(url, CRASHES_ALLOWED);
    }
    const char *part =
        SkyHttpHead_FindField(head, "X-Skylarkspar-Prompt-Prefix");
    const char *comma = part ? strchr(part, ',') : NULL;
    for (; comma != NULL; part = comma + 1, comma = strchr(part, ',')) {
        if (strncmp(part, CRASHING_PART_PREFIX,
                    strlen(CRASHING_PART_PREFIX)) == 0) {
            char id[32];
            snprintf(id, sizeof id, "%.*s", (int)strcspn(part, ":"), part);
            return find_or_add_crashing_request(id, PART_CRASHES_ALLOWED);
        }
    }
    return NULL;
}

static void
count_crash(crashing_request_t *crashing)
{
    uint64_t now_ms = SkyClock_NowMs();
    if (crashing->crash_count >= crashing->crashes_allowed &&
        now_ms > crashing->last_allowed_crash_ms + CRASHES_KNOWN_MS) {
        crashing->late_send_count++;
    }
    crashing->crash_count++;
    if (crashing->crash_count == crashing->crashes_allowed) {
        crashing->last_allowed_crash_ms = now_ms;
    }
}

/** Counts a request that crashes the engine, which ends in a later turn of the
 *  loop. */
static void
run_crashing_request(engine_t *engine, sky_server_request_t *request,
                     crashing_request_t *crashing)
{
    count_crash(crashing);
    if (consume_fault("empty_crashes")) {
        char fields[256];
        write_response_fields(request, engine->limit_name, fields,
                              sizeof fields,
                              "X-Skylarkspar-Server-Seal: s1\r\n"
                              "Content-Type: text/event-stream\r\n");
        SkyServerRequest_BeginResponse(request, 200, fields,
                                       SKY_FRAMING_UNTIL_CLOSE, 0);
        SkyServerRequest_EndResponse(request);
    }
    ev_timer_set(&engine->crash_timer, 0.0, 0.0);
    ev_timer_start(loop, &engine->crash_timer);
}

static void
handle_generation(engine_t *engine, sky_server_request_t *request)
{
    const sky_http_head_t *head = SkyServerRequest_Head(request);
    const char *id = SkyHttpHead_FindField(head, "X-Skylarkspar-Attempt-Id");
    const char *expected_instance =
        SkyHttpHead_FindField(head, "X-Skylarkspar-Expect-Instance");
    const char *model = SkyHttpHead_FindField(head, "X-Skylarkspar-Model");
    record_access_fields(head, id ? id : "-");
    const char *slash = model ? strchr(model, '/') : NULL;
    const char *adapter = slash ? slash + 1 : "";
    finish_replacements(engine);
    const adapter_slot_t *slot = find_adapter_slot(engine, adapter);
    crashing_request_t *crashing = find_crashing_request(head);
    count_limited_arrival(engine->limit_name);
    bool tells_leaving = get_fault(engine->leaving_name) > 0;
    arrivals_after_told +=
        tells_leaving && engine->told_leaving_ms > 0 &&
        SkyClock_NowMs() > engine->told_leaving_ms + LEAVING_TOLD_MS;
    if (tells_leaving && engine->told_leaving_ms == 0) {
        engine->told_leaving_ms = SkyClock_NowMs();
    }
    bool is_resident = adapter[0] == '\0' ||
                       (slot != NULL && slot->loaded_ms <= SkyClock_NowMs() &&
                        !is_about_to_be_replaced(engine, slot));
    if (expected_instance != NULL &&
        strcmp(expected_instance, engine->id) != 0) {
        refuse_request(request, engine->limit_name, 421);
    }
    else if (!is_resident) {
        refuse_request(request, engine->limit_name, slot ? 503 : 421);
    }
    else if (consume_fault("shed")) {
        shed_request(request, engine->limit_name);
    }
    else if (crashing != NULL) {
        count_run(id);
        run_crashing_request(engine, request, crashing);
    }
    else {
        runs_after_leave += engine->is_leaving ? 1 : 0;
        count_run(id);
        if (consume_fault("cut_heads")) {
            send_part_of_head(request, SEALED_EVENTS);
            crash_soon(&engine->crash_timer);
            return;
        }
        if (SkyHttpHead_FindField(head, "Last-Event-Id") != NULL &&
            consume_fault("resume_answers")) {
            send_resume_answer(engine, request);
            return;
        }
        if (consume_fault("cut_text")) {
            char fields[256];
            write_response_fields(request, engine->limit_name, fields,
                                  sizeof fields, SEALED_TEXT);
            SkyServerRequest_BeginResponse(request, 200, fields,
                                           SKY_FRAMING_CHUNKED, 0);
            SkyServerRequest_WriteBody(request, "text", 4);
            crash_soon(&engine->crash_timer);
            return;
        }
        bool is_stalled = consume_fault("stalled_event");
        if (is_stalled || consume_fault("endless_event")) {
            char fields[256];
            write_response_fields(request, engine->limit_name, fields,
                                  sizeof fields,
                                  "X-Skylarkspar-Server-Seal: s1\r\n"
                                  "Content-Type: text/event-stream\r\n");
            start_stalled_response(
                engine, request, 200, fields,
                "id: 1\ndata: ", is_stalled ? STALLED_EVENT_BYTES : SIZE_MAX);
            return;
        }
        start_stream(engine, request, id, adapter);
    }
}

/** Completes an unload that waited for the last stream of its adapter. */
static void
finish_pending_unload(engine_t *engine)
{
    adapter_slot_t *slot =
        find_adapter_slot(engine, engine->unloading_adapter);
    if (engine->unloading_adapter[0] != '\0' &&
        (slot == NULL || slot->stream_count == 0)) {
        if (slot != NULL) {
            *slot = (adapter_slot_t){0};
        }
        engine->unloading_adapter[0] = '\0';
    }
}

/** Counts a load that exceeds the adapter slots, but performs it. */
static uint16_t
start_load(engine_t *engine, const char *adapter, uint32_t version)
{
    uint32_t used_slots = 0;
    adapter_slot_t *free_slot = NULL;
    for (int i = 0; i < ADAPTER_SLOTS_MAX; i++) {
        used_slots += engine->adapter_slots[i].loaded_ms > 0;
        if (engine->adapter_slots[i].loaded_ms == 0 && free_slot == NULL) {
            free_slot = &engine->adapter_slots[i];
        }
    }
    overfilled_loads += used_slots >= adapter_slot_count;
    engine->applied_orders++;
    engine->load_count++;
    snprintf(free_slot->name, sizeof free_slot->name, "%s", adapter);
    free_slot->version = version;
    free_slot->loaded_ms = SkyClock_NowMs() + ADAPTER_LOAD_MS;
    return 202;
}

/** @return status of the response: 200 done, 202 started, 400, or 409 if an
 *  unload is pending or the expected revision is not the current one */
static uint16_t
apply_order(engine_t *engine, const json_t *body)
{
    const char *op = json_string_value(json_object_get(body, "op"));
    const char *adapter = json_string_value(json_object_get(body, "adapter"));
    bool is_load = op != NULL && strcmp(op, "model_load") == 0;
    finish_pending_unload(engine);
    finish_replacements(engine);
    if (adapter == NULL || json_object_get(body, "fence") == NULL) {
        return 400;
    }
    json_int_t named = json_integer_value(json_object_get(body, "version"));
    uint32_t version = named > 0 ? (uint32_t)named : 1;
    adapter_slot_t *slot = find_adapter_slot(engine, adapter);
    const adapter_slot_t *loading = find_loading_slot(engine, adapter);
    if (is_load && loading != NULL) {
        return loading->version == version ? 202 : 409;
    }
    if (!is_load && strcmp(engine->unloading_adapter, adapter) == 0) {
        return 202;
    }
    if ((uint64_t)json_integer_value(json_object_get(body, "expectedRev")) !=
        engine->applied_orders) {
        return 409;
    }
    if (is_load && slot != NULL && slot->version >= version) {
        return 200;
    }
    if (engine->unloading_adapter[0] != '\0') {
        return 409;
    }
    if (is_load) {
        return start_load(engine, adapter, version);
    }
    if (slot == NULL) {
        return 200;
    }
    engine->applied_orders++;
    if (slot->stream_count > 0) {
        snprintf(engine->unloading_adapter, sizeof engine->unloading_adapter,
                 "%s", adapter);
        return 202;
    }
    *slot = (adapter_slot_t){0};
    return 200;
}

typedef struct {
    ev_timer timer;
    engine_t *engine;
    json_t *body;
} delayed_order_t;

static void
on_delayed_order(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    delayed_order_t *delayed = timer->data;
    apply_order(delayed->engine, delayed->body);
    json_decref(delayed->body);
    free(delayed);
}

static void
handle_order(engine_t *engine, sky_server_request_t *request)
{
    size_t size;
    const char *bytes = SkyServerRequest_Body(request, &size);
    const char *expected_instance = SkyHttpHead_FindField(
        SkyServerRequest_Head(request), "X-Skylarkspar-Expect-Instance");
    json_t *body = json_loadb(bytes, size, 0, NULL);
    const char *adapter = json_string_value(json_object_get(body, "adapter"));
    if (expected_instance != NULL &&
        strcmp(expected_instance, engine->id) != 0) {
        send_json(request, 421, NULL);
    }
    else if (consume_fault("lose_orders")) {
        apply_order(engine, body);
        SkyServerRequest_Abort(request);
    }
    else if (adapter != NULL && find_loading_slot(engine, adapter) != NULL &&
             consume_fault("odd_polls")) {
        send_json(request, 503, NULL);
    }
    else if (consume_fault("late_orders")) {
        delayed_order_t *delayed = calloc(1, sizeof *delayed);
        delayed->engine = engine;
        delayed->body = json_incref(body);
        ev_timer_init(&delayed->timer, on_delayed_order,
                      LATE_ORDER_MS / 1000.0, 0);
        delayed->timer.data = delayed;
        ev_timer_start(loop, &delayed->timer);
        SkyServerRequest_Abort(request);
    }
    else {
        send_json(request, apply_order(engine, body), json_object());
    }
    json_decref(body);
}

static void
send_report(engine_t *engine, sky_server_request_t *request)
{
    finish_pending_unload(engine);
    finish_replacements(engine);
    if (consume_fault("endless_report")) {
        start_endless_response(engine, request, 200,
                               "Content-Type: application/json\r\n", "{");
        return;
    }
    json_t *resident = json_array();
    json_t *loading = json_array();
    for (int i = 0; i < ADAPTER_SLOTS_MAX; i++) {
        const adapter_slot_t *slot = &engine->adapter_slots[i];
        if (slot->loaded_ms > 0 &&
            find_loading_slot(engine, slot->name) == slot) {
            json_array_append_new(
                loading,
                json_sprintf(MODEL_NAME "/%s@%u", slot->name, slot->version));
        }
        else if (slot->loaded_ms > 0) {
            json_array_append_new(
                resident, json_sprintf("%s@%u", slot->name, slot->version));
        }
    }
    send_json(request, 200,
              json_pack("{s:s, s:[{s:s, s:i, s:o}], s:b, s:I, s:o}", "stage",
                        "colocated", "models", "name", MODEL_NAME, "version",
                        1, "adapters", resident, "busy",
                        engine->unloading_adapter[0] != '\0', "seq",
                        (json_int_t)engine->applied_orders, "pending",
                        loading));
}

static void
send_health(sky_server_request_t *request, const char *target_id)
{
    char fields[96];
    snprintf(fields, sizeof fields, "X-Skylarkspar-Instance-Id: %s\r\n",
             target_id);
    SkyServerRequest_Respond(request, 200, fields, "", 0);
}

static void
on_engine_request(void *context, sky_server_request_t *request)
{
    engine_t *engine = context;
    const char *url = SkyHttpHead_Url(SkyServerRequest_Head(request));
    SkyServerRequest_SetUserData(request, NULL);
    if (strcmp(url, "/order") == 0) {
        handle_order(engine, request);
    }
    else if (strcmp(url, "/report") == 0) {
        send_report(engine, request);
    }
    else if (strcmp(url, HEALTH_PATH) == 0) {
        send_health(request, engine->id);
    }
    else {
        handle_generation(engine, request);
    }
}

static void
on_engine_disconnect(void *context, sky_server_request_t *request)
{
    (void)context;
    stream_t *stream = SkyServerRequest_UserData(request);
    finish_endless_response(request);
    if (stream != NULL) {
        finish_stream(stream);
    }
}

static void
record_plain_run_at(const char *id, int target)
{
    json_int_t bits = json_integer_value(json_object_get(plain_runs_at, id));
    json_object_set_new(plain_runs_at, id, json_integer(bits | 1 << target));
}

static void
finish_plain_run(plain_run_t *run)
{
    ev_timer_stop(loop, &run->timer);
    DL_DELETE(plain_runs, run);
    run->target->running--;
    free(run);
}

static void
on_plain_run_end(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    plain_run_t *run = timer->data;
    sky_server_request_t *request = run->request;
    char fields[192];
    finish_plain_run(run);
    write_response_fields(request, SERVICE_LIMIT_NAME, fields, sizeof fields,
                          "X-Skylarkspar-Server-Seal: s2\r\n");
    SkyServerRequest_Respond(request, 200, fields, "service", 7);
}

static void
start_plain_run(plain_target_t *target, sky_server_request_t *request,
                uint64_t duration_ms)
{
    plain_run_t *run = calloc(1, sizeof *run);
    run->target = target;
    run->request = request;
    target->running++;
    DL_APPEND(plain_runs, run);
    ev_timer_init(&run->timer, on_plain_run_end, (double)duration_ms / 1000.0,
                  0.0);
    run->timer.data = run;
    ev_timer_start(loop, &run->timer);
}

/** Ends the runs of a request, or all runs of a target. */
static void
drop_plain_runs(const plain_target_t *target,
                const sky_server_request_t *request)
{
    plain_run_t *run;
    plain_run_t *next;
    DL_FOREACH_SAFE(plain_runs, run, next)
    {
        if (run->target == target || run->request == request) {
            finish_plain_run(run);
        }
    }
}

/** Refuses a request for want of room. A brittle target that does so too often
 *  in a second falls over. */
static void
refuse_for_want_of_room(plain_target_t *target, sky_server_request_t *request)
{
    uint64_t now_ms = SkyClock_NowMs();
    uint32_t in_second = 0;
    target->refusals_ms[target->refusal_count++ % REFUSALS_MAX] = now_ms;
    for (int i = 0; i < REFUSALS_MAX; i++) {
        in_second += target->refusals_ms[i] + 1000 > now_ms;
    }
    refuse_request(request, SERVICE_LIMIT_NAME, 503);
    int64_t allowed = get_fault("brittle_app");
    if (allowed > 0 && in_second > allowed && !target->is_down) {
        falls++;
        ev_timer_set(&target->crash_timer, 0.0, 0.0);
        ev_timer_start(loop, &target->crash_timer);
    }
}

static void
send_large_response(plain_target_t *target, sky_server_request_t *request,
                    const char *fields)
{
    size_t size = (size_t)get_fault("large_kb") * 1024;
    bool is_cut = consume_fault("cut_large");
    char *bytes = malloc(size);
    memset(bytes, 'a' + target->number, size);
    int64_t status = get_fault("large_status");
    SkyServerRequest_BeginResponse(
        request, status > 0 ? (uint16_t)status : 200, fields,
        get_fault("large_until_close") ? SKY_FRAMING_UNTIL_CLOSE
        : get_fault("large_chunked")   ? SKY_FRAMING_CHUNKED
                                       : SKY_FRAMING_LENGTH,
        size);
    SkyServerRequest_WriteBody(request, bytes, is_cut ? size / 2 : size);
    free(bytes);
    if (is_cut) {
        crash_soon(&target->crash_timer);
    }
    else {
        SkyServerRequest_EndResponse(request);
    }
}

/** Responds with a success that has the mark of a refusal. */
static void
send_mark_after_run(sky_server_request_t *request)
{
    char fields[192];
    write_response_fields(request, SERVICE_LIMIT_NAME, fields, sizeof fields,
                          "X-Skylarkspar-Not-Executed: 1\r\n"
                          "X-Skylarkspar-Server-Seal: s2\r\n");
    SkyServerRequest_Respond(request, 200, fields, "service", 7);
}

/** Sends the whole head of a refusal, and bytes that are no chunks. */
static void
garble_after_mark(sky_server_request_t *request)
{
    char fields[192];
    char bytes[384];
    write_response_fields(request, SERVICE_LIMIT_NAME, fields, sizeof fields,
                          "X-Skylarkspar-Not-Executed: 1\r\n");
    int size = snprintf(bytes, sizeof bytes,
                        "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n"
                        "%s\r\nno chunk\r\n",
                        fields);
    /* No response was begun, so that the bytes are sent as they are. */
    SkyServerRequest_WriteBody(request, bytes, (size_t)size);
}

static void
on_service_request(void *context, sky_server_request_t *request)
{
    plain_target_t *target = context;
    char fields[192];
    const char *id = SkyHttpHead_FindField(SkyServerRequest_Head(request),
                                           "X-Skylarkspar-Attempt-Id");
    record_access_fields(SkyServerRequest_Head(request), id ? id : "-");
    SkyServerRequest_SetUserData(request, NULL);
    if (get_fault("silent_app_ms") > 0) {
        silent_until_ms =
            SkyClock_NowMs() + (uint64_t)get_fault("silent_app_ms");
        json_object_set_new(faults, "silent_app_ms", json_integer(0));
    }
    if (SkyClock_NowMs() < silent_until_ms) {
        count_run(id ? id : "-");
        start_plain_run(target, request, silent_until_ms - SkyClock_NowMs());
        return;
    }
    if (strcmp(SkyHttpHead_Url(SkyServerRequest_Head(request)), HEALTH_PATH) ==
        0) {
        send_health(request, target->id);
        return;
    }
    count_limited_arrival(SERVICE_LIMIT_NAME);
    uint64_t now_ms = SkyClock_NowMs();
    arrivals_in_pause += now_ms > pause_begins_ms && now_ms < pause_ends_ms;
    if (consume_fault("shed")) {
        shed_request(request, SERVICE_LIMIT_NAME);
        return;
    }
    if (consume_fault("endless_refusal")) {
        write_response_fields(request, SERVICE_LIMIT_NAME, fields,
                              sizeof fields,
                              "X-Skylarkspar-Not-Executed: 1\r\n");
        start_endless_response(target, request, 503, fields, "");
        return;
    }
    if (consume_fault("refuse_without_id")) {
        SkyServerRequest_Respond(request, 503,
                                 "X-Skylarkspar-Not-Executed: 1\r\n", "", 0);
        return;
    }
    if (get_fault("app_room") > 0 &&
        target->running >= get_fault("app_room")) {
        refuse_for_want_of_room(target, request);
        return;
    }
    late_sends += target->vanished_ms > 0 &&
                  now_ms > target->vanished_ms + VANISHED_SEND_MAX_MS;
    count_run(id ? id : "-");
    record_plain_run_at(id ? id : "-", target->number);
    crashing_request_t *crashing =
        find_crashing_request(SkyServerRequest_Head(request));
    if (crashing != NULL) {
        count_crash(crashing);
        ev_timer_set(&target->crash_timer, 0.0, 0.0);
        ev_timer_start(loop, &target->crash_timer);
        return;
    }
    write_response_fields(request, SERVICE_LIMIT_NAME, fields, sizeof fields,
                          "X-Skylarkspar-Server-Seal: s2\r\n");
    int64_t run_ms =
        get_fault(is_long_request(request) ? "long_app_ms" : "app_run_ms");
    if (consume_fault("lose")) {
        SkyServerRequest_Abort(request);
    }
    else if (consume_fault("cut_heads")) {
        send_part_of_head(request, "X-Skylarkspar-Server-Seal: s2\r\n");
        crash_soon(&target->crash_timer);
    }
    else if (get_fault("large_kb") > 0) {
        send_large_response(target, request, fields);
    }
    else if (consume_fault("endless_success")) {
        start_endless_response(target, request, 200, fields, "");
    }
    else if (consume_fault("endless_unsealed")) {
        start_endless_response(target, request, 200, "", "");
    }
    else if (consume_fault("endless_error")) {
        start_endless_response(target, request, 500, fields, "");
    }
    else if (consume_fault("fail")) {
        SkyServerRequest_Respond(request, 500, fields, "failed", 6);
    }
    else if (get_fault("status_after_run") > 0) {
        SkyServerRequest_Respond(request,
                                 (uint16_t)get_fault("status_after_run"),
                                 fields, "ran", 3);
    }
    else if (consume_fault("mark_after_run")) {
        send_mark_after_run(request);
    }
    else if (consume_fault("garble_after_mark")) {
        garble_after_mark(request);
    }
    else if (consume_fault("garble")) {
        SkyServerRequest_BeginResponse(request, 200, fields,
                                       SKY_FRAMING_LENGTH, 400);
        SkyServerRequest_WriteBody(request, "half", 4);
        SkyServerRequest_Abort(request);
    }
    else if (run_ms > 0) {
        start_plain_run(target, request, (uint64_t)run_ms);
    }
    else {
        SkyServerRequest_Respond(request, 200, fields, "service", 7);
    }
}

static void
on_service_disconnect(void *context, sky_server_request_t *request)
{
    (void)context;
    finish_endless_response(request);
    drop_plain_runs(NULL, request);
}

static void
ignore_disconnect(void *context, sky_server_request_t *request)
{
    (void)context;
    (void)request;
}

static void
write_plain_entry(const plain_target_t *target)
{
    char text[256];
    snprintf(text, sizeof text,
             "{\"service\":\"app\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"z1\","
             "\"version\":\"\",\"slots\":6,\"state\":\"ready\","
             "\"coldLeftMs\":0,\"seq\":0,\"born\":%llu}",
             target->port, (unsigned long long)target->started_ms);
    append_record("keyed.servers", target->id, text);
}

/** Writes the entry of a new run. */
static void
publish_plain_entry(plain_target_t *target)
{
    target->started_ms = SkyClock_WallMs();
    target->vanished_ms = 0;
    snprintf(target->id, sizeof target->id, "i-app%d-%llx", target->number,
             (unsigned long long)target->started_ms);
    write_plain_entry(target);
}

static sky_listener_t *
start_listener(uint16_t port, sky_listener_events_t events, void *context)
{
    char address[32];
    snprintf(address, sizeof address, "127.0.0.1:%u", port);
    sky_listener_options_t options = {
        .loop = loop,
        .address = address,
        .limits = {16384, 4194304, 30000, 30000},
        .events = events,
        .context = context,
    };
    sky_listener_t *listener;
    if (SkyResult_IsError(SkyListener_Create(&options, &listener))) {
        exit(1);
    }
    return listener;
}

static void
abort_streams(const engine_t *engine)
{
    stream_t *stream;
    stream_t *next;
    DL_FOREACH_SAFE2(open_streams, stream, next, next_stream)
    {
        if (stream->engine == engine) {
            sky_server_request_t *request = stream->request;
            SkyServerRequest_SetUserData(request, NULL);
            finish_stream(stream);
            SkyServerRequest_Abort(request);
        }
    }
}

/** Restarts the engine at once. */
static void
crash_engine(engine_t *engine)
{
    abort_streams(engine);
    append_record("keyed.servers", engine->id, NULL);
    start_engine(engine);
}

static void
on_crash_timer(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    engine_t *engine = timer->data;
    if (engine->is_down) {
        return;
    }
    abort_streams(engine);
    drop_endless_responses(engine);
    SkyListener_Free(engine->listener);
    engine->is_down = true;
    ev_timer_set(&engine->restart_timer, CRASH_DOWN_MS / 1000.0, 0.0);
    ev_timer_start(loop, &engine->restart_timer);
}

/** @return for each path and prompt part the engines crashed and the late
 *  sends. */
static json_t *
encode_crashing_requests(void)
{
    json_t *counts = json_object();
    for (int i = 0;
         i < CRASHING_REQUESTS_MAX && crashing_requests[i].name[0] != '\0';
         i++) {
        const crashing_request_t *crashing = &crashing_requests[i];
        json_object_set_new(counts, crashing->name,
                            json_sprintf("%u crashes, %u late",
                                         crashing->crash_count,
                                         crashing->late_send_count));
    }
    return counts;
}

static void
cut_links(const char *url, int host)
{
    char text[32];
    uint16_t first_port = base_port + ENGINE_PORT_OFFSET;
    uint16_t last_port = base_port + CONTROL_PORT_OFFSET - 1;
    link_state_t state = (link_state_t)atoi(
        get_query_parameter(url, "state", text, sizeof text));
    get_query_parameter(url, "service", text, sizeof text);
    if (strcmp(text, "hosts") == 0) {
        uint16_t own_port = (uint16_t)(base_port + HOST_PORT_OFFSET + host);
        first_port = base_port + HOST_PORT_OFFSET;
        last_port = first_port + LINK_HOSTS_MAX - 1;
        for (int other = 0; other < LINK_HOSTS_MAX; other++) {
            Links_SetState(other, own_port, own_port, state);
        }
    }
    else if (strcmp(text, "llm") == 0) {
        last_port = base_port + SERVICE_PORT_OFFSET - 1;
    }
    else if (strcmp(text, "app") == 0) {
        first_port = base_port + SERVICE_PORT_OFFSET;
    }
    Links_SetState(host, first_port, last_port, state);
}

static void
on_control_request(void *context, sky_server_request_t *request)
{
    (void)context;
    const char *url = SkyHttpHead_Url(SkyServerRequest_Head(request));
    size_t size;
    const char *bytes = SkyServerRequest_Body(request, &size);
    char key[64];
    char *text = strndup(bytes, size);
    int number = atoi(get_query_parameter(url, "n", key, sizeof key));
    if (strcmp(url, "/fault") == 0) {
        json_t *body = json_loadb(bytes, size, 0, NULL);
        json_object_update(faults, body);
        json_decref(body);
    }
    else if (strncmp(url, "/op", 3) == 0) {
        append_record("keyed.op",
                      get_query_parameter(url, "key", key, sizeof key), text);
    }
    else if (strncmp(url, "/leave", 6) == 0) {
        engines[number].is_leaving = true;
        publish_engine_entry(&engines[number]);
    }
    else if (strncmp(url, "/crash", 6) == 0) {
        if (strcmp(get_query_parameter(url, "service", key, sizeof key),
                   "app") == 0) {
            ev_feed_event(loop, &plain_targets[number].crash_timer, EV_TIMER);
        }
        else {
            crash_engine(&engines[number]);
        }
    }
    else if (strncmp(url, "/entry", 6) == 0) {
        char entry_key[128];
        decode_percent(
            (char *)get_query_parameter(url, "key", key, sizeof key));
        append_record("keyed.servers", key, text);
        for (int i = 1; i < number; i++) {
            snprintf(entry_key, sizeof entry_key, "%s%d", key, i);
            append_record("keyed.servers", entry_key, text);
        }
    }
    else if (strncmp(url, "/vanish", 7) == 0) {
        append_record("keyed.servers", plain_targets[number].id, NULL);
        plain_targets[number].vanished_ms = SkyClock_NowMs();
    }
    else if (strncmp(url, "/appear", 7) == 0) {
        plain_targets[number].vanished_ms = 0;
        write_plain_entry(&plain_targets[number]);
    }
    else if (strncmp(url, "/cut", 4) == 0) {
        cut_links(url, number);
    }
    else if (strncmp(url, "/go-back", 8) == 0) {
        go_back(SkyClock_NowMs() - (uint64_t)number * 1000);
    }
    free(text);
    json_t *state = json_pack(
        "{s:O, s:i, s:i, s:i, s:i, s:i, s:i, s:I, s:o, s:o}", "runs",
        run_counts, "after_told", arrivals_after_told, "in_pause",
        arrivals_in_pause, "endless", endless_open, "overfilled",
        overfilled_loads, "after_leave", runs_after_leave, "reads",
        store_reads, "generation", (json_int_t)group_generation, "crashing",
        encode_crashing_requests(), "limits", encode_limited_targets());
    json_object_set_new(state, "falls", json_integer(falls));
    json_object_set_new(state, "keys_at_targets",
                        json_integer(keys_at_targets));
    json_object_set(state, "tenants_of", tenants_of);
    json_object_set_new(state, "late_sends", json_integer(late_sends));
    json_object_set_new(state, "longest_interval",
                        json_integer((json_int_t)longest_interval_ms));
    json_object_set(state, "plain_targets_of", plain_runs_at);
    for (int i = 0; i < engine_count; i++) {
        char name[32];
        snprintf(name, sizeof name, "loads_%d", i);
        json_object_set_new(state, name, json_integer(engines[i].load_count));
    }
    send_json(request, 200, state);
}

static void
on_heartbeat_timer(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)timer;
    (void)events;
    for (int i = 0; i < engine_count; i++) {
        if (!engines[i].is_down) {
            finish_pending_unload(&engines[i]);
            publish_engine_entry(&engines[i]);
        }
    }
    finish_long_polls();
}

static void
start_engine_listener(engine_t *engine)
{
    engine->listener = start_listener(
        engine->port,
        (sky_listener_events_t){on_engine_request, on_engine_disconnect, NULL},
        engine);
}

static void
on_restart_timer(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    engine_t *engine = timer->data;
    append_record("keyed.servers", engine->id, NULL);
    engine->is_down = false;
    start_engine_listener(engine);
    start_engine(engine);
}

static void
start_plain_target(plain_target_t *target)
{
    target->listener =
        start_listener(target->port,
                       (sky_listener_events_t){on_service_request,
                                               on_service_disconnect, NULL},
                       target);
    publish_plain_entry(target);
}

static void
on_plain_crash_timer(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    plain_target_t *target = timer->data;
    if (target->is_down) {
        return;
    }
    drop_plain_runs(target, NULL);
    drop_endless_responses(target);
    SkyListener_Free(target->listener);
    target->is_down = true;
    ev_timer_set(&target->restart_timer, CRASH_DOWN_MS / 1000.0, 0.0);
    ev_timer_start(loop, &target->restart_timer);
}

static void
on_plain_restart_timer(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    plain_target_t *target = timer->data;
    append_record("keyed.servers", target->id, NULL);
    target->is_down = false;
    start_plain_target(target);
}

int
Site_Main(int argc, char **argv)
{
    if (argc != 6 && argc != 7) {
        fprintf(stderr, "usage: site PORT STORE_PORTS ENGINES ADAPTER_SLOTS "
                        "[PLAIN_TARGETS]\n");
        return 2;
    }
    base_port = (uint16_t)atoi(argv[2]);
    store_port_count = atoi(argv[3]);
    engine_count = atoi(argv[4]);
    adapter_slot_count = (uint32_t)atoi(argv[5]);
    plain_target_count = argc == 7 ? atoi(argv[6]) : 1;
    loop = ev_default_loop(0);
    faults = json_object();
    run_counts = json_object();
    tenants_of = json_object();
    plain_runs_at = json_object();
    for (int i = 0; i < store_port_count; i++) {
        start_listener((uint16_t)(base_port + i),
                       (sky_listener_events_t){on_store_request,
                                               on_store_disconnect, NULL},
                       (void *)(intptr_t)i);
    }
    for (int i = 0; i < engine_count; i++) {
        engines[i].number = i;
        snprintf(engines[i].limit_name, sizeof engines[i].limit_name,
                 "limit_%d", i);
        snprintf(engines[i].leaving_name, sizeof engines[i].leaving_name,
                 "tell_leaving_%d", i);
        engines[i].port = (uint16_t)(base_port + ENGINE_PORT_OFFSET + i);
        ev_init(&engines[i].crash_timer, on_crash_timer);
        ev_init(&engines[i].restart_timer, on_restart_timer);
        engines[i].crash_timer.data = &engines[i];
        engines[i].restart_timer.data = &engines[i];
        start_engine_listener(&engines[i]);
        start_engine(&engines[i]);
        Links_Add(loop, engines[i].port, LINK_HOSTS_MAX);
    }
    for (int i = 0; i < plain_target_count; i++) {
        plain_target_t *target = &plain_targets[i];
        target->number = i;
        target->port = (uint16_t)(base_port + SERVICE_PORT_OFFSET + i);
        ev_init(&target->crash_timer, on_plain_crash_timer);
        ev_init(&target->restart_timer, on_plain_restart_timer);
        target->crash_timer.data = target;
        target->restart_timer.data = target;
        start_plain_target(target);
        Links_Add(loop, target->port, LINK_HOSTS_MAX);
    }
    for (int i = 0; i < LINK_HOSTS_MAX; i++) {
        Links_Add(loop, (uint16_t)(base_port + HOST_PORT_OFFSET + i),
                  LINK_HOSTS_MAX);
    }
    start_listener(
        (uint16_t)(base_port + CONTROL_PORT_OFFSET),
        (sky_listener_events_t){on_control_request, ignore_disconnect, NULL},
        NULL);
    ev_timer timer;
    ev_timer_init(&timer, on_heartbeat_timer, HEARTBEAT_INTERVAL_S,
                  HEARTBEAT_INTERVAL_S);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
    return 0;
}
