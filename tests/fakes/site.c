/**
 * @file site.c
 * @brief Stand-in of the users' platform: its store, engines and a plain
 *        service, in one process that speaks the published protocol.
 *
 * skyfake site PORT STORES ENGINES PLACES
 *
 * PORT + 0..        doors of the one store, so that a fault can hit one host
 * PORT + 20..       engines of service "llm"
 * PORT + 40         plain service "app"
 * PORT + 50         tests: POST /fault, /op, /leave, /crash; GET /state
 *
 * Faults (POST /fault {"name": number}): store_down_N (1: 503, 2: silent) for
 * door N, lose_orders, late_orders, cut_streams and hang_streams (after 3
 * events), shed, lose
 * (an answer after the run), garble, extra, fail (500) - counts of requests.
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
#include "net/listener.h"

#define DOORS_MAX 8
#define ENGINES_MAX 8
#define TOPICS_MAX 32
#define PARTS 8
#define ADAPTER_LOAD_MS 120
#define EVENT_MS 15
#define EVENTS 8
#define BEAT_S 0.25
#define TTL_MS 1600
#define LATE_ORDER_MS 900
#define MODEL "m1"
#define LISTED_MS 1200 /* an entry of a silent engine lapses after this */

typedef struct {
    char key[64];
    char *value; /* NULL: dropped */
} record_t;

typedef struct {
    char name[64];
    record_t *records;
    size_t count;
} topic_t;

typedef struct {
    char name[96];
    uint64_t seen_ms;
} member_t;

typedef struct {
    char name[32];
    uint64_t ready_ms; /* held from then on; 0: a free place */
    uint32_t users;
} place_t;

typedef struct engine {
    int number;
    uint16_t port;
    sky_listener_t *listener;
    char id[32];
    uint64_t born_ms;
    uint64_t orders;
    bool leaving;
    bool gone;
    place_t places[64];
    char going[32];
} engine_t;

typedef struct run {
    sky_server_request_t *visit;
    engine_t *engine;
    char id[64];
    char adapter[32];
    uint64_t next;
    uint64_t cut_after;
    uint64_t hang_after;
    ev_timer timer;
    struct run *prev;
    struct run *next_run;
} run_t;

typedef struct waiting {
    sky_server_request_t *visit;
    topic_t *topic;
    uint64_t from;
    uint64_t until_ms;
    struct waiting *prev;
    struct waiting *next;
} waiting_t;

static struct ev_loop *loop;
static uint16_t base_port;
static int door_count;
static int engine_count;
static uint32_t places;
static topic_t topics[TOPICS_MAX];
static engine_t engines[ENGINES_MAX];
static member_t members[16];
static uint64_t generation;
static json_t *faults;
static json_t *runs; /* id -> times run */
static uint32_t overfilled;
static uint32_t after_leave;
static waiting_t *waiting;
static run_t *open_runs;

static int64_t
fault(const char *name)
{
    return json_integer_value(json_object_get(faults, name));
}

static bool
use_fault(const char *name)
{
    int64_t left = fault(name);
    if (left > 0) {
        json_object_set_new(faults, name, json_integer(left - 1));
    }
    return left > 0;
}

static topic_t *
topic_of(const char *name)
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
reply(sky_server_request_t *visit, uint16_t status, json_t *body)
{
    char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("");
    json_decref(body);
    SkyServerRequest_Respond(visit, status,
                             "Content-Type: application/json\r\n", text,
                             strlen(text));
    free(text);
}

static void
put_u64(sky_buffer_t *out, uint64_t value)
{
    value = htobe64(value);
    SkyBuffer_Append(out, &value, sizeof value);
}

static void
answer_read(sky_server_request_t *visit, const topic_t *topic, uint64_t from)
{
    sky_buffer_t out = {0};
    put_u64(&out, topic->count);
    put_u64(&out, 0);
    for (uint64_t i = from; i < topic->count; i++) {
        const record_t *record = &topic->records[i];
        uint8_t key = (uint8_t)strlen(record->key);
        size_t value = record->value ? strlen(record->value) : 0;
        uint32_t length = htobe32((uint32_t)(1 + key + value));
        SkyBuffer_Append(&out, &length, sizeof length);
        SkyBuffer_Append(&out, &key, 1);
        SkyBuffer_Append(&out, record->key, key);
        SkyBuffer_Append(&out, record->value, value);
    }
    SkyServerRequest_Respond(visit, 200, "", SkyBuffer_Data(&out),
                             SkyBuffer_Size(&out));
    SkyBuffer_Clear(&out);
}

static void
answer_waiting(void)
{
    waiting_t *one;
    waiting_t *next;
    DL_FOREACH_SAFE(waiting, one, next)
    {
        if (one->topic->count > one->from ||
            one->until_ms <= SkyClock_NowMs()) {
            SkyServerRequest_SetUserData(one->visit, NULL);
            DL_DELETE(waiting, one);
            answer_read(one->visit, one->topic, one->from);
            free(one);
        }
    }
}

static void
append(const char *topic_name, const char *key, const char *value)
{
    topic_t *topic = topic_of(topic_name);
    topic->records =
        realloc(topic->records, (topic->count + 1) * sizeof *topic->records);
    record_t *record = &topic->records[topic->count++];
    snprintf(record->key, sizeof record->key, "%s", key);
    record->value = value ? strdup(value) : NULL;
    answer_waiting();
}

static const char *
query(const char *url, const char *name, char *to, size_t size)
{
    const char *at = strchr(url, '?');
    size_t length = strlen(name);
    to[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            snprintf(to, size, "%.*s", (int)strcspn(at + length + 1, "&"),
                     at + length + 1);
            return to;
        }
        at = strchr(at, '&');
    }
    return to;
}

static void
read_log(sky_server_request_t *visit, const char *url)
{
    char text[64];
    topic_t *topic = topic_of(query(url, "topic", text, sizeof text));
    uint64_t from = strtoull(query(url, "from", text, sizeof text), NULL, 10);
    uint64_t wait =
        strtoull(query(url, "waitMs", text, sizeof text), NULL, 10);
    if (topic->count > from || wait == 0) {
        answer_read(visit, topic, from);
        return;
    }
    waiting_t *one = calloc(1, sizeof *one);
    *one = (waiting_t){visit, topic, from, SkyClock_NowMs() + wait, 0, 0};
    SkyServerRequest_SetUserData(visit, one);
    DL_APPEND(waiting, one);
}

static void
read_newest(sky_server_request_t *visit, const char *url)
{
    char text[64];
    topic_t *topic = topic_of(query(url, "topic", text, sizeof text));
    json_t *newest = json_object();
    for (size_t i = 0; i < topic->count; i++) {
        const record_t *record = &topic->records[i];
        json_object_del(newest, record->key);
        if (record->value != NULL) {
            json_object_set_new(newest, record->key,
                                json_integer((json_int_t)i));
        }
    }
    json_t *items = json_array();
    const char *key;
    json_t *at;
    json_object_foreach(newest, key, at)
    {
        const char *value = topic->records[json_integer_value(at)].value;
        size_t room = sodium_base64_encoded_len(
            strlen(value), sodium_base64_VARIANT_ORIGINAL);
        char *coded = malloc(room);
        sodium_bin2base64(coded, room, (const unsigned char *)value,
                          strlen(value), sodium_base64_VARIANT_ORIGINAL);
        json_array_append_new(items, json_pack("{s:s, s:s, s:O}", "key", key,
                                               "value", coded, "offset", at));
        free(coded);
    }
    json_decref(newest);
    reply(visit, 200,
          json_pack("{s:o, s:b, s:I}", "items", items, "hasMore", 0,
                    "endOffset", (json_int_t)topic->count));
}

/* Members that have not joined for a while are out. */
static int
live_members(int *indices)
{
    int count = 0;
    for (int i = 0; i < 16; i++) {
        if (members[i].name[0] != '\0' &&
            members[i].seen_ms + TTL_MS < SkyClock_NowMs()) {
            members[i].name[0] = '\0';
            generation++;
        }
        if (members[i].name[0] != '\0') {
            indices[count++] = i;
        }
    }
    return count;
}

static json_t *
parts_of(const char *member, bool all, const json_t *names)
{
    int live[16];
    int count = live_members(live);
    json_t *rows = json_array();
    for (size_t t = 0; count > 0 && t < json_array_size(names); t++) {
        for (int part = 0; part < PARTS; part++) {
            const char *owner =
                members[live[(t * PARTS + (size_t)part) % (size_t)count]].name;
            if (!all && strcmp(owner, member) != 0) {
                continue;
            }
            json_array_append_new(
                rows, all ? json_pack("[O, i, s, i]", json_array_get(names, t),
                                      part, owner, 0)
                          : json_pack("[O, i, i]", json_array_get(names, t),
                                      part, 0));
        }
    }
    return rows;
}

static json_t *group_topics;

static void
join_group(sky_server_request_t *visit, json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "member"));
    int slot = -1;
    for (int i = 0; i < 16; i++) {
        if (strcmp(members[i].name, name) == 0) {
            slot = i;
        }
    }
    for (int i = 0; i < 16 && slot < 0; i++) {
        if (members[i].name[0] == '\0') {
            slot = i;
            generation++;
            snprintf(members[i].name, sizeof members[i].name, "%s", name);
        }
    }
    members[slot].seen_ms = SkyClock_NowMs();
    json_decref(group_topics);
    group_topics = json_incref(json_object_get(body, "topics"));
    json_t *rows = parts_of(name, false, group_topics);
    reply(visit, 200,
          json_pack("{s:I, s:i, s:o}", "generation", (json_int_t)generation,
                    "ttlMs", TTL_MS, "parts", rows));
}

static void
leave_group(sky_server_request_t *visit, json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "member"));
    for (int i = 0; i < 16; i++) {
        if (strcmp(members[i].name, name) == 0) {
            members[i].name[0] = '\0';
            generation++;
        }
    }
    reply(visit, 200, json_object());
}

static void
on_store(void *context, sky_server_request_t *visit)
{
    char name[32];
    snprintf(name, sizeof name, "store_down_%d", (int)(intptr_t)context);
    int64_t down = fault(name);
    const char *url = SkyHttpHead_Url(SkyServerRequest_Head(visit));
    size_t size;
    const char *bytes = SkyServerRequest_Body(visit, &size);
    json_t *body = json_loadb(bytes, size, 0, NULL);
    if (down == 1) {
        reply(visit, 503, NULL);
    }
    else if (down == 2) {
        SkyServerRequest_SetUserData(visit, NULL); /* never answered */
    }
    else if (strncmp(url, "/log-read", 9) == 0) {
        read_log(visit, url);
    }
    else if (strncmp(url, "/log-newest", 11) == 0) {
        read_newest(visit, url);
    }
    else if (strcmp(url, "/log-join") == 0) {
        join_group(visit, body);
    }
    else if (strcmp(url, "/log-leave") == 0) {
        leave_group(visit, body);
    }
    else if (strncmp(url, "/log-owners", 11) == 0) {
        reply(visit, 200,
              json_pack("{s:I, s:o}", "generation", (json_int_t)generation,
                        "parts", parts_of("", true, group_topics)));
    }
    else {
        reply(visit, 400, NULL);
    }
    json_decref(body);
}

static void
on_store_gone(void *context, sky_server_request_t *visit)
{
    (void)context;
    waiting_t *one = SkyServerRequest_UserData(visit);
    if (one != NULL) {
        DL_DELETE(waiting, one);
        free(one);
    }
}

static place_t *
place_of(engine_t *engine, const char *adapter)
{
    for (int i = 0; i < 64; i++) {
        if (engine->places[i].ready_ms > 0 &&
            strcmp(engine->places[i].name, adapter) == 0) {
            return &engine->places[i];
        }
    }
    return NULL;
}

static void
beat(engine_t *engine)
{
    char address[32];
    snprintf(address, sizeof address, "127.0.0.1:%u", engine->port);
    json_t *adapters = json_array();
    for (int i = 0; i < 64; i++) {
        const place_t *place = &engine->places[i];
        if (place->ready_ms > 0 && place->ready_ms <= SkyClock_NowMs()) {
            json_array_append_new(adapters, json_sprintf("%s@1", place->name));
        }
    }
    json_t *entry = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:s, s:I, s:I, s:[{s:s, s:i, s:o}]}",
        "service", "llm", "addr", address, "zone", "z1", "version", "v1",
        "slots", 16, "state", engine->leaving ? "draining" : "ready", "born",
        (json_int_t)engine->born_ms, "seq", (json_int_t)engine->orders,
        "models", "name", MODEL, "version", 1, "adapters", adapters);
    char *text = json_dumps(entry, JSON_COMPACT);
    append("keyed.servers", engine->id, text);
    free(text);
    json_decref(entry);
}

static void
start_engine(engine_t *engine)
{
    memset(engine->places, 0, sizeof engine->places);
    engine->born_ms = SkyClock_WallMs();
    engine->orders = 0;
    engine->going[0] = '\0';
    snprintf(engine->id, sizeof engine->id, "i-%d-%llx", engine->number,
             (unsigned long long)engine->born_ms);
    beat(engine);
}

static void
count_run(const char *id)
{
    json_int_t times = json_integer_value(json_object_get(runs, id));
    json_object_set_new(runs, id, json_integer(times + 1));
}

static void
end_run(run_t *run)
{
    place_t *place = place_of(run->engine, run->adapter);
    if (place != NULL && place->users > 0) {
        place->users--;
    }
    ev_timer_stop(loop, &run->timer);
    DL_DELETE2(open_runs, run, prev, next_run);
    free(run);
}

static void
on_run_event(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    run_t *run = timer->data;
    char text[64];
    sky_server_request_t *visit = run->visit;
    if (run->hang_after > 0 && run->next > run->hang_after) {
        return;
    }
    if (run->cut_after > 0 && run->next > run->cut_after) {
        SkyServerRequest_WriteBody(visit, "id: ", 4);
        SkyServerRequest_SetUserData(visit, NULL);
        end_run(run);
        SkyServerRequest_Abort(visit);
        return;
    }
    int size =
        snprintf(text, sizeof text, "id: %llu\ndata: t%llu\n\n",
                 (unsigned long long)run->next, (unsigned long long)run->next);
    SkyServerRequest_WriteBody(visit, text, (size_t)size);
    if (++run->next > EVENTS) {
        SkyServerRequest_SetUserData(visit, NULL);
        end_run(run);
        SkyServerRequest_EndResponse(visit);
    }
}

static void
answer_fields(sky_server_request_t *visit, char *fields, size_t size,
              const char *more)
{
    const char *id = SkyHttpHead_FindField(SkyServerRequest_Head(visit),
                                           "X-Skylarkspar-Attempt-Id");
    snprintf(fields, size, "X-Skylarkspar-Attempt-Id: %s\r\n%s", id ? id : "",
             more);
}

static void
refuse(sky_server_request_t *visit, uint16_t status)
{
    char fields[192];
    answer_fields(visit, fields, sizeof fields,
                  "X-Skylarkspar-Not-Executed: 1\r\n");
    SkyServerRequest_Respond(visit, status, fields, "", 0);
}

static void
start_stream(engine_t *engine, sky_server_request_t *visit, const char *id,
             const char *adapter)
{
    char fields[256];
    const char *after =
        SkyHttpHead_FindField(SkyServerRequest_Head(visit), "Last-Event-Id");
    run_t *run = calloc(1, sizeof *run);
    run->visit = visit;
    run->engine = engine;
    run->next = after ? strtoull(after, NULL, 10) + 1 : 1;
    run->cut_after = use_fault("cut_streams") ? 3 : 0;
    run->hang_after = use_fault("hang_streams") ? 3 : 0;
    snprintf(run->id, sizeof run->id, "%s", id);
    snprintf(run->adapter, sizeof run->adapter, "%s", adapter);
    place_t *place = place_of(engine, adapter);
    if (place != NULL) {
        place->users++;
    }
    ev_timer_init(&run->timer, on_run_event, EVENT_MS / 1000.0,
                  EVENT_MS / 1000.0);
    run->timer.data = run;
    ev_timer_start(loop, &run->timer);
    DL_APPEND2(open_runs, run, prev, next_run);
    SkyServerRequest_SetUserData(visit, run);
    answer_fields(visit, fields, sizeof fields,
                  "X-Skylarkspar-Server-Seal: s1\r\n"
                  "Content-Type: text/event-stream\r\n");
    SkyServerRequest_BeginResponse(visit, 200, fields, SKY_FRAMING_CHUNKED, 0);
}

static void
generate(engine_t *engine, sky_server_request_t *visit)
{
    const sky_http_head_t *head = SkyServerRequest_Head(visit);
    const char *id = SkyHttpHead_FindField(head, "X-Skylarkspar-Attempt-Id");
    const char *expect =
        SkyHttpHead_FindField(head, "X-Skylarkspar-Expect-Instance");
    const char *model = SkyHttpHead_FindField(head, "X-Skylarkspar-Model");
    const char *slash = model ? strchr(model, '/') : NULL;
    const char *adapter = slash ? slash + 1 : "";
    const place_t *place = place_of(engine, adapter);
    bool there = adapter[0] == '\0' ||
                 (place != NULL && place->ready_ms <= SkyClock_NowMs());
    if (expect != NULL && strcmp(expect, engine->id) != 0) {
        refuse(visit, 421);
    }
    else if (!there) {
        refuse(visit, place ? 503 : 421);
    }
    else if (use_fault("shed")) {
        refuse(visit, 503);
    }
    else {
        after_leave += engine->leaving ? 1 : 0;
        count_run(id);
        start_stream(engine, visit, id, adapter);
    }
}

static void
settle_unload(engine_t *engine)
{
    place_t *place = place_of(engine, engine->going);
    if (engine->going[0] != '\0' && (place == NULL || place->users == 0)) {
        if (place != NULL) {
            *place = (place_t){0};
        }
        engine->going[0] = '\0';
    }
}

static uint16_t
load(engine_t *engine, const char *adapter)
{
    uint32_t taken = 0;
    place_t *free_place = NULL;
    for (int i = 0; i < 64; i++) {
        taken += engine->places[i].ready_ms > 0;
        if (engine->places[i].ready_ms == 0 && free_place == NULL) {
            free_place = &engine->places[i];
        }
    }
    overfilled += taken >= places;
    engine->orders++;
    snprintf(free_place->name, sizeof free_place->name, "%s", adapter);
    free_place->ready_ms = SkyClock_NowMs() + ADAPTER_LOAD_MS;
    return 202;
}

static uint16_t
take_order(engine_t *engine, const json_t *body)
{
    const char *op = json_string_value(json_object_get(body, "op"));
    const char *adapter = json_string_value(json_object_get(body, "adapter"));
    bool loads = op != NULL && strcmp(op, "model_load") == 0;
    settle_unload(engine);
    if (adapter == NULL || json_object_get(body, "fence") == NULL) {
        return 400;
    }
    place_t *place = place_of(engine, adapter);
    if (loads && place != NULL && place->ready_ms > SkyClock_NowMs()) {
        return 202;
    }
    if (!loads && strcmp(engine->going, adapter) == 0) {
        return 202;
    }
    if (engine->going[0] != '\0' ||
        (uint64_t)json_integer_value(json_object_get(body, "expectedRev")) !=
            engine->orders) {
        return 409;
    }
    if (loads) {
        return place != NULL ? 200 : load(engine, adapter);
    }
    if (place == NULL) {
        return 200;
    }
    engine->orders++;
    if (place->users > 0) {
        snprintf(engine->going, sizeof engine->going, "%s", adapter);
        return 202;
    }
    *place = (place_t){0};
    return 200;
}

typedef struct {
    ev_timer timer;
    engine_t *engine;
    json_t *body;
} late_t;

static void
on_late_order(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)events;
    late_t *late = timer->data;
    take_order(late->engine, late->body);
    json_decref(late->body);
    free(late);
}

static void
order(engine_t *engine, sky_server_request_t *visit)
{
    size_t size;
    const char *bytes = SkyServerRequest_Body(visit, &size);
    const char *expect = SkyHttpHead_FindField(
        SkyServerRequest_Head(visit), "X-Skylarkspar-Expect-Instance");
    json_t *body = json_loadb(bytes, size, 0, NULL);
    if (expect != NULL && strcmp(expect, engine->id) != 0) {
        reply(visit, 421, NULL);
    }
    else if (use_fault("lose_orders")) {
        take_order(engine, body);
        SkyServerRequest_Abort(visit);
    }
    else if (use_fault("late_orders")) {
        late_t *late = calloc(1, sizeof *late);
        late->engine = engine;
        late->body = json_incref(body);
        ev_timer_init(&late->timer, on_late_order, LATE_ORDER_MS / 1000.0, 0);
        late->timer.data = late;
        ev_timer_start(loop, &late->timer);
        SkyServerRequest_Abort(visit);
    }
    else {
        reply(visit, take_order(engine, body), json_object());
    }
    json_decref(body);
}

static void
report(engine_t *engine, sky_server_request_t *visit)
{
    settle_unload(engine);
    json_t *held = json_array();
    json_t *coming = json_array();
    for (int i = 0; i < 64; i++) {
        const place_t *place = &engine->places[i];
        if (place->ready_ms > SkyClock_NowMs()) {
            json_array_append_new(coming,
                                  json_sprintf(MODEL "/%s@1", place->name));
        }
        else if (place->ready_ms > 0) {
            json_array_append_new(held, json_sprintf("%s@1", place->name));
        }
    }
    reply(visit, 200,
          json_pack("{s:s, s:[{s:s, s:i, s:o}], s:b, s:I, s:o}", "stage",
                    "colocated", "models", "name", MODEL, "version", 1,
                    "adapters", held, "busy", engine->going[0] != '\0', "seq",
                    (json_int_t)engine->orders, "pending", coming));
}

static void
on_engine(void *context, sky_server_request_t *visit)
{
    engine_t *engine = context;
    const char *url = SkyHttpHead_Url(SkyServerRequest_Head(visit));
    SkyServerRequest_SetUserData(visit, NULL);
    if (strcmp(url, "/order") == 0) {
        order(engine, visit);
    }
    else if (strcmp(url, "/report") == 0) {
        report(engine, visit);
    }
    else {
        generate(engine, visit);
    }
}

static void
on_engine_gone(void *context, sky_server_request_t *visit)
{
    (void)context;
    run_t *run = SkyServerRequest_UserData(visit);
    if (run != NULL) {
        end_run(run);
    }
}

static void
on_service(void *context, sky_server_request_t *visit)
{
    (void)context;
    char fields[192];
    const char *id = SkyHttpHead_FindField(SkyServerRequest_Head(visit),
                                           "X-Skylarkspar-Attempt-Id");
    SkyServerRequest_SetUserData(visit, NULL);
    if (use_fault("shed")) {
        refuse(visit, 503);
        return;
    }
    count_run(id ? id : "-");
    answer_fields(visit, fields, sizeof fields,
                  "X-Skylarkspar-Server-Seal: s2\r\n");
    if (use_fault("lose")) {
        SkyServerRequest_Abort(visit);
    }
    else if (use_fault("fail")) {
        SkyServerRequest_Respond(visit, 500, fields, "failed", 6);
    }
    else if (use_fault("garble")) {
        SkyServerRequest_BeginResponse(visit, 200, fields, SKY_FRAMING_LENGTH,
                                       400);
        SkyServerRequest_WriteBody(visit, "half", 4);
        SkyServerRequest_Abort(visit);
    }
    else {
        SkyServerRequest_Respond(visit, 200, fields, "service", 7);
    }
}

static void
nothing(void *context, sky_server_request_t *visit)
{
    (void)context;
    (void)visit;
}

static void
list_service(void)
{
    char text[256];
    snprintf(text, sizeof text,
             "{\"service\":\"app\",\"addr\":\"127.0.0.1:%u\",\"zone\":\"z1\","
             "\"slots\":6,\"state\":\"ready\",\"born\":1}",
             base_port + 40);
    append("keyed.servers", "i-app", text);
}

static void
crash(engine_t *engine)
{
    run_t *run;
    run_t *next;
    DL_FOREACH_SAFE2(open_runs, run, next, next_run)
    {
        if (run->engine == engine) {
            sky_server_request_t *visit = run->visit;
            SkyServerRequest_SetUserData(visit, NULL);
            end_run(run);
            SkyServerRequest_Abort(visit);
        }
    }
    append("keyed.servers", engine->id, NULL);
    start_engine(engine);
}

static void
on_test(void *context, sky_server_request_t *visit)
{
    (void)context;
    const char *url = SkyHttpHead_Url(SkyServerRequest_Head(visit));
    size_t size;
    const char *bytes = SkyServerRequest_Body(visit, &size);
    char key[64];
    char *text = strndup(bytes, size);
    int number = atoi(query(url, "n", key, sizeof key));
    if (strcmp(url, "/fault") == 0) {
        json_t *body = json_loadb(bytes, size, 0, NULL);
        json_object_update(faults, body);
        json_decref(body);
    }
    else if (strncmp(url, "/op", 3) == 0) {
        append("keyed.op", query(url, "key", key, sizeof key), text);
    }
    else if (strncmp(url, "/leave", 6) == 0) {
        engines[number].leaving = true;
        beat(&engines[number]);
    }
    else if (strncmp(url, "/crash", 6) == 0) {
        crash(&engines[number]);
    }
    free(text);
    reply(visit, 200,
          json_pack("{s:O, s:i, s:i, s:I}", "runs", runs, "overfilled",
                    overfilled, "after_leave", after_leave, "generation",
                    (json_int_t)generation));
}

static void
on_beat(struct ev_loop *unused, ev_timer *timer, int events)
{
    (void)unused;
    (void)timer;
    (void)events;
    for (int i = 0; i < engine_count; i++) {
        settle_unload(&engines[i]);
        beat(&engines[i]);
    }
    answer_waiting();
}

static sky_listener_t *
listen_at(uint16_t port, sky_listener_events_t events, void *context)
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

int
Site_Main(int argc, char **argv)
{
    if (argc != 6) {
        fprintf(stderr, "usage: site PORT STORES ENGINES PLACES\n");
        return 2;
    }
    base_port = (uint16_t)atoi(argv[2]);
    door_count = atoi(argv[3]);
    engine_count = atoi(argv[4]);
    places = (uint32_t)atoi(argv[5]);
    loop = ev_default_loop(0);
    faults = json_object();
    runs = json_object();
    for (int i = 0; i < door_count; i++) {
        listen_at((uint16_t)(base_port + i),
                  (sky_listener_events_t){on_store, on_store_gone, NULL},
                  (void *)(intptr_t)i);
    }
    for (int i = 0; i < engine_count; i++) {
        engines[i].number = i;
        engines[i].port = (uint16_t)(base_port + 20 + i);
        engines[i].listener =
            listen_at(engines[i].port,
                      (sky_listener_events_t){on_engine, on_engine_gone, NULL},
                      &engines[i]);
        start_engine(&engines[i]);
    }
    listen_at((uint16_t)(base_port + 40),
              (sky_listener_events_t){on_service, nothing, NULL}, NULL);
    listen_at((uint16_t)(base_port + 50),
              (sky_listener_events_t){on_test, nothing, NULL}, NULL);
    list_service();
    ev_timer timer;
    ev_timer_init(&timer, on_beat, BEAT_S, BEAT_S);
    ev_timer_start(loop, &timer);
    ev_run(loop, 0);
    return 0;
}
