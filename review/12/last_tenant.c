/**
 * @file last_tenant.c
 * @brief Clients with keys, and a worker that notes what it is told of keys,
 *        for review/12; judges CONFIG (revokeStrict).
 *
 * last_tenant BASE TROUBLE
 *
 * The store (skyfake) is at port BASE, its control at BASE + 50, two hosts
 * take requests at BASE + 100 and 101, the worker is at BASE + 60. Version 1
 * has two tenants with one key each. Version 2 takes away the second tenant,
 * and with TROUBLE 1 version 3 takes away the first one too: its list is
 * empty.
 *
 * Exit codes: 0 the rule was kept, 1 it was broken, 2 the case could not run.
 */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "../../tests/rig/rig.h"

#define HOSTS 2
#define CONTROL_OFFSET 50
#define WORKER_OFFSET 60
#define FRONT_OFFSET 100
#define READY_OFFSET 120
#define REVOKE_MS 5000
#define LENGTH_MS 22000
#define SECOND_VERSION_MS 3000
#define THIRD_VERSION_MS 11000
#define REQUEST_INTERVAL_MS 40
#define READY_TIMEOUT_MS 20000
#define ANSWER_TIMEOUT_MS 3000
#define IDLE_MS 60000
#define TEXT_BYTES 2048
#define VALUE_BYTES 128
#define CALLERS 3

/** Key of a caller, and when it was taken away. */
typedef struct {
    const char *key;
    uint64_t revoked_ms; /**< confirmation; 0: it is held */
    uint32_t runs;
    uint32_t late_runs;   /**< sent later than revokeMs after it */
    uint32_t keys_passed; /**< of these, the worker got the key itself */
} caller_t;

static caller_t callers[CALLERS] = {
    {.key = "key-of-north"}, {.key = "key-of-south"}, {.key = "never-held"}};
static uint16_t base_port;
static uint64_t began_ms;
static int listener;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/** Writes a line of the record. */
static void
record(const char *what, const char *id, const char *detail)
{
    pthread_mutex_lock(&lock);
    printf("%6llu %s %s %s\n", (unsigned long long)(Rig_NowMs() - began_ms),
           what, id, detail);
    pthread_mutex_unlock(&lock);
}

/** An id is CALLER-NUMBER-TIME of its sending. */
static void
record_run(const char *id, const char *head)
{
    char key[VALUE_BYTES];
    char tenant[VALUE_BYTES];
    char detail[TEXT_BYTES];
    char *end = NULL;
    unsigned long index = strtoul(id, &end, 10);
    const char *time_text = strrchr(id, '-');
    uint64_t sent_ms =
        time_text != NULL ? strtoull(time_text + 1, NULL, 10) : 0;
    Rig_FindField(head, "X-Skylarkspar-Credential", key, sizeof key);
    Rig_FindField(head, "X-Skylarkspar-Tenant", tenant, sizeof tenant);
    caller_t *caller = &callers[index % CALLERS];
    pthread_mutex_lock(&lock);
    bool is_late =
        caller->revoked_ms > 0 && sent_ms > caller->revoked_ms + REVOKE_MS;
    caller->runs++;
    caller->late_runs += is_late;
    caller->keys_passed += is_late && key[0] != '\0';
    pthread_mutex_unlock(&lock);
    snprintf(detail, sizeof detail, "tenant=%s key=%s%s",
             tenant[0] ? tenant : "-", key[0] ? key : "-",
             is_late ? " KEY WAS TAKEN AWAY" : "");
    record("run", id, detail);
}

/** Handles one request of a connection; returns false at its end. */
static bool
serve_request(rig_stream_t *stream)
{
    char head[RIG_HEAD_BYTES];
    char id[VALUE_BYTES];
    char answer[TEXT_BYTES];
    uint64_t deadline_ms = Rig_NowMs() + IDLE_MS;
    if (Rig_ReadHead(stream, head, sizeof head, deadline_ms) != RIG_READ_OK ||
        !Rig_SkipBody(stream, head, false, deadline_ms)) {
        return false;
    }
    if (strncmp(head, "GET /healthz ", 13) == 0 ||
        !Rig_FindField(head, "X-Skylarkspar-Attempt-Id", id, sizeof id)) {
        snprintf(answer, sizeof answer,
                 "HTTP/1.1 200 OK\r\nX-Skylarkspar-Instance-Id: i-0\r\n"
                 "Content-Length: 0\r\n\r\n");
    }
    else {
        record_run(id, head);
        snprintf(answer, sizeof answer,
                 "HTTP/1.1 200 OK\r\nX-Skylarkspar-Attempt-Id: %s\r\n"
                 "X-Skylarkspar-Server-Seal: s0\r\n"
                 "Content-Length: 4\r\n\r\ndone",
                 id);
    }
    return Rig_Write(stream->fd, answer, strlen(answer));
}

static void *
serve_connection(void *argument)
{
    rig_stream_t *stream = argument;
    while (serve_request(stream)) {
    }
    close(stream->fd);
    free(stream);
    return NULL;
}

static void *
serve_worker(void *argument)
{
    (void)argument;
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        rig_stream_t *stream = calloc(1, sizeof *stream);
        pthread_t thread;
        if (fd < 0 || stream == NULL) {
            free(stream);
            continue;
        }
        Rig_SendAtOnce(fd);
        stream->fd = fd;
        if (pthread_create(&thread, NULL, serve_connection, stream) == 0) {
            pthread_detach(thread);
        }
    }
    return NULL;
}

/** The answer of the store is the confirmation. */
static bool
publish_config(int version, const char *tenants)
{
    char config[TEXT_BYTES];
    char detail[TEXT_BYTES];
    snprintf(config, sizeof config,
             "{\"version\":%d,\"routes\":[{\"name\":\"schedule-read\","
             "\"host\":\"a.example\",\"pathPrefix\":\"/read/\","
             "\"routeKind\":\"idempotent\",\"timeoutMs\":1500,\"aimMs\":300,"
             "\"priority\":2,\"service\":\"ledger\",\"maxAttempts\":2,"
             "\"public\":false}],\"services\":[{\"name\":\"ledger\","
             "\"healthPath\":\"/healthz\",\"maxConns\":520}],"
             "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
             "\"tenants\":%s}",
             version, tenants);
    bool is_confirmed = Rig_Call(base_port + CONTROL_OFFSET, "POST",
                                 "/op?key=config", config) == 200;
    snprintf(detail, sizeof detail, "version=%d confirmed=%d tenants=%s",
             version, is_confirmed, tenants);
    record("config", "-", detail);
    return is_confirmed;
}

static void
take_key_away(int caller)
{
    pthread_mutex_lock(&lock);
    callers[caller].revoked_ms = Rig_NowMs() - began_ms;
    pthread_mutex_unlock(&lock);
}

/** Sends a request on a connection of its own. */
static void
send_request(uint32_t number)
{
    char id[VALUE_BYTES];
    char text[RIG_HEAD_BYTES];
    char detail[VALUE_BYTES];
    uint32_t caller = number % CALLERS;
    snprintf(id, sizeof id, "%u-%u-%llu", caller, number,
             (unsigned long long)(Rig_NowMs() - began_ms));
    record("sent", id, callers[caller].key);
    rig_stream_t *stream = calloc(1, sizeof *stream);
    if (stream == NULL) {
        return;
    }
    snprintf(text, sizeof text,
             "GET /read/1 HTTP/1.1\r\nHost: a.example\r\n"
             "X-Skylarkspar-Attempt-Id: %s\r\n"
             "X-Skylarkspar-Credential: %s\r\n"
             "X-Skylarkspar-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n",
             id, callers[caller].key);
    snprintf(detail, sizeof detail, "none");
    stream->fd = Rig_Connect(
        (uint16_t)(base_port + FRONT_OFFSET + number / CALLERS % HOSTS), 1000);
    if (stream->fd >= 0 && Rig_Write(stream->fd, text, strlen(text)) &&
        Rig_ReadHead(stream, text, sizeof text,
                     Rig_NowMs() + ANSWER_TIMEOUT_MS) == RIG_READ_OK) {
        snprintf(detail, sizeof detail, "status=%.3s",
                 text + strlen("HTTP/1.1 "));
    }
    record("answered", id, detail);
    if (stream->fd >= 0) {
        close(stream->fd);
    }
    free(stream);
}

/** Returns whether the worker, the store and the hosts are up. */
static bool
start(void)
{
    char entry[TEXT_BYTES];
    pthread_t thread;
    uint64_t deadline_ms = Rig_NowMs() + READY_TIMEOUT_MS;
    listener = Rig_Listen(base_port + WORKER_OFFSET);
    if (listener < 0 ||
        pthread_create(&thread, NULL, serve_worker, NULL) != 0) {
        return false;
    }
    snprintf(entry, sizeof entry,
             "{\"service\":\"ledger\",\"addr\":\"127.0.0.1:%d\","
             "\"zone\":\"z1\",\"version\":\"v1\",\"slots\":6,"
             "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":%lld}",
             base_port + WORKER_OFFSET, (long long)time(NULL) * 1000);
    while (Rig_Call(base_port + CONTROL_OFFSET, "POST", "/entry?key=i-0",
                    entry) != 200 ||
           !publish_config(1, "[{\"name\":\"north\",\"apiKeys\":"
                              "[\"key-of-north\"]},{\"name\":\"south\","
                              "\"apiKeys\":[\"key-of-south\"]}]")) {
        if (Rig_NowMs() > deadline_ms) {
            return false;
        }
        Rig_SleepMs(100);
    }
    for (int i = 0; i < HOSTS; i++) {
        while (Rig_Call(base_port + READY_OFFSET + i, "GET", "/readyz", "") !=
               200) {
            if (Rig_NowMs() > deadline_ms) {
                return false;
            }
            Rig_SleepMs(100);
        }
    }
    return true;
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    base_port = (uint16_t)strtoul(argv[1], NULL, 10);
    bool has_trouble = strcmp(argv[2], "0") != 0;
    began_ms = Rig_NowMs();
    if (!start()) {
        record("failed", "-", "the site did not start");
        return 2;
    }
    began_ms = Rig_NowMs();
    int version = 1;
    for (uint32_t i = 0; Rig_NowMs() < began_ms + LENGTH_MS; i++) {
        uint64_t now_ms = Rig_NowMs() - began_ms;
        if (version == 1 && now_ms >= SECOND_VERSION_MS &&
            publish_config(++version, "[{\"name\":\"north\",\"apiKeys\":"
                                      "[\"key-of-north\"]}]")) {
            take_key_away(1);
        }
        if (has_trouble && version == 2 && now_ms >= THIRD_VERSION_MS &&
            publish_config(++version, "[]")) {
            take_key_away(0);
        }
        send_request(i);
        Rig_SleepMs(REQUEST_INTERVAL_MS);
    }
    Rig_SleepMs(ANSWER_TIMEOUT_MS);
    uint32_t late_runs = 0;
    for (int i = 0; i < CALLERS; i++) {
        char result[VALUE_BYTES];
        snprintf(result, sizeof result,
                 "runs=%u sent_later_than_revokeMs=%u with_the_key=%u",
                 callers[i].runs, callers[i].late_runs,
                 callers[i].keys_passed);
        record("result", callers[i].key, result);
        late_runs += callers[i].late_runs;
    }
    fflush(stdout);
    _exit(callers[0].runs == 0 ? 2 : late_runs > 0);
}
