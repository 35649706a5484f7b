#include "fake_http.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "platform/http_call.h"

typedef struct {
    char *body;
    size_t size;
} upload_t;

static fake_handler_t handler;
static pthread_mutex_t fault_lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *faults;

uint64_t
Fake_NowMs(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
Fake_SleepMs(uint64_t wait_ms)
{
    poll(NULL, 0, (int)wait_ms);
}

const char *
Fake_Header(const fake_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
Fake_Query(const fake_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

static enum MHD_Result
reply(const fake_request_t *request, unsigned status, char *text,
      const char *type)
{
    const char *id = Fake_Header(request, "X-Request-Id");
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type", type);
    if (id != NULL) {
        MHD_add_response_header(response, "X-Request-Id", id);
    }
    enum MHD_Result result =
        MHD_queue_response(request->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

enum MHD_Result
Fake_ReplyJson(const fake_request_t *request, unsigned status, json_t *root)
{
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return reply(request, status, text, "application/json");
}

enum MHD_Result
Fake_ReplyText(const fake_request_t *request, unsigned status,
               const char *text)
{
    return reply(request, status, strdup(text), "text/plain");
}

int64_t
Fake_Fault(const char *name)
{
    pthread_mutex_lock(&fault_lock);
    int64_t value = json_integer_value(json_object_get(faults, name));
    pthread_mutex_unlock(&fault_lock);
    return value;
}

bool
Fake_UseFault(const char *name)
{
    pthread_mutex_lock(&fault_lock);
    int64_t value = json_integer_value(json_object_get(faults, name));
    if (value > 0) {
        json_object_set_new(faults, name, json_integer(value - 1));
    }
    pthread_mutex_unlock(&fault_lock);
    return value > 0;
}

bool
Fake_TakeFault(const fake_request_t *request, enum MHD_Result *result)
{
    if (strcmp(request->path, "/fault") != 0) {
        return false;
    }
    json_t *given = json_loads(request->body, 0, NULL);
    pthread_mutex_lock(&fault_lock);
    json_object_update(faults, given);
    pthread_mutex_unlock(&fault_lock);
    json_decref(given);
    *result = Fake_ReplyText(request, 200, "ok\n");
    return true;
}

static enum MHD_Result
handle(void *opaque, struct MHD_Connection *connection, const char *path,
       const char *method, const char *version, const char *data, size_t *size,
       void **state)
{
    upload_t *upload = *state;
    (void)opaque;
    (void)version;
    if (upload == NULL) {
        *state = calloc(1, sizeof *upload);
        return MHD_YES;
    }
    if (*size > 0) {
        upload->body = realloc(upload->body, upload->size + *size + 1);
        memcpy(upload->body + upload->size, data, *size);
        upload->size += *size;
        upload->body[upload->size] = '\0';
        *size = 0;
        return MHD_YES;
    }
    fake_request_t request = {connection, method, path,
                              upload->body ? upload->body : ""};
    return handler(&request);
}

static void
done(void *opaque, struct MHD_Connection *connection, void **state,
     enum MHD_RequestTerminationCode code)
{
    upload_t *upload = *state;
    (void)opaque;
    (void)connection;
    (void)code;
    if (upload != NULL) {
        free(upload->body);
        free(upload);
    }
    *state = NULL;
}

int
Fake_Serve(const char *text, uint32_t idle_s, fake_handler_t serve)
{
    char host[48];
    uint16_t port;
    int caught;
    sigset_t signals;
    struct sockaddr_in address = {.sin_family = AF_INET};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    handler = serve;
    faults = json_object();
    SkyHttpCall_InitLibrary();
    if (SkyHttpCall_SplitAddress(text, host, sizeof host, &port) != SKY_OK) {
        return 2;
    }
    address.sin_port = htons(port);
    inet_pton(AF_INET, host, &address.sin_addr);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL,
        0, NULL, NULL, handle, NULL, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, done, NULL, MHD_OPTION_CONNECTION_TIMEOUT,
        idle_s, MHD_OPTION_THREAD_STACK_SIZE, (size_t)262144,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024u, MHD_OPTION_END);
    if (daemon == NULL) {
        fprintf(stderr, "skyfake: cannot listen on %s\n", text);
        return 2;
    }
    sigwait(&signals, &caught);
    return 0;
}

int
main(int argc, char **argv)
{
    const char *mode = argc > 2 ? argv[1] : "";
    if (strcmp(mode, "engine") == 0) {
        return Engine_Main(argc, argv);
    }
    if (strcmp(mode, "service") == 0) {
        return Service_Main(argc, argv);
    }
    if (strcmp(mode, "platform") == 0) {
        return Platform_Main(argc, argv);
    }
    if (strcmp(mode, "site") == 0) {
        return Site_Main(argc, argv);
    }
    fprintf(stderr,
            "usage: skyfake (engine|service|platform|site) ADDRESS ...\n");
    return 2;
}
