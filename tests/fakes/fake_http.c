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

/** Body of a request that is still being received. */
typedef struct {
    char *body;
    size_t size;
} request_body_t;

static fake_request_handler_t request_handler;
static pthread_mutex_t fault_lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *fault_values;

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
Fake_FindHeader(const fake_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
Fake_FindQueryParameter(const fake_request_t *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

static enum MHD_Result
send_response(const fake_request_t *request, unsigned status, char *text,
              const char *type)
{
    const char *id = Fake_FindHeader(request, "X-Request-Id");
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
    return send_response(request, status, text, "application/json");
}

enum MHD_Result
Fake_ReplyText(const fake_request_t *request, unsigned status,
               const char *text)
{
    return send_response(request, status, strdup(text), "text/plain");
}

int64_t
Fake_GetFault(const char *name)
{
    pthread_mutex_lock(&fault_lock);
    int64_t value = json_integer_value(json_object_get(fault_values, name));
    pthread_mutex_unlock(&fault_lock);
    return value;
}

bool
Fake_ConsumeFault(const char *name)
{
    pthread_mutex_lock(&fault_lock);
    int64_t value = json_integer_value(json_object_get(fault_values, name));
    if (value > 0) {
        json_object_set_new(fault_values, name, json_integer(value - 1));
    }
    pthread_mutex_unlock(&fault_lock);
    return value > 0;
}

bool
Fake_HandleFaultRequest(const fake_request_t *request, enum MHD_Result *result)
{
    if (strcmp(request->path, "/fault") != 0) {
        return false;
    }
    json_t *changes = json_loads(request->body, 0, NULL);
    pthread_mutex_lock(&fault_lock);
    json_object_update(fault_values, changes);
    pthread_mutex_unlock(&fault_lock);
    json_decref(changes);
    *result = Fake_ReplyText(request, 200, "ok\n");
    return true;
}

/** Called by MHD once for the header, then for each piece of the body, and at
 *  last with a size of 0. */
static enum MHD_Result
on_request(void *opaque, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *data,
           size_t *size, void **state)
{
    request_body_t *received = *state;
    (void)opaque;
    (void)version;
    if (received == NULL) {
        *state = calloc(1, sizeof *received);
        return MHD_YES;
    }
    if (*size > 0) {
        received->body = realloc(received->body, received->size + *size + 1);
        memcpy(received->body + received->size, data, *size);
        received->size += *size;
        received->body[received->size] = '\0';
        *size = 0;
        return MHD_YES;
    }
    fake_request_t request = {connection, method, path,
                              received->body ? received->body : ""};
    return request_handler(&request);
}

static void
on_request_completed(void *opaque, struct MHD_Connection *connection,
                     void **state, enum MHD_RequestTerminationCode code)
{
    request_body_t *received = *state;
    (void)opaque;
    (void)connection;
    (void)code;
    if (received != NULL) {
        free(received->body);
        free(received);
    }
    *state = NULL;
}

int
Fake_Serve(const char *address, uint32_t idle_timeout_s,
           fake_request_handler_t handler)
{
    char host[48];
    uint16_t port;
    int caught_signal;
    sigset_t signals;
    struct sockaddr_in socket_address = {.sin_family = AF_INET};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    request_handler = handler;
    fault_values = json_object();
    if (SkyHttpCall_SplitAddress(address, host, sizeof host, &port) !=
        SKY_OK) {
        return 2;
    }
    socket_address.sin_port = htons(port);
    inet_pton(AF_INET, host, &socket_address.sin_addr);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL,
        0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &socket_address,
        MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, NULL,
        MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_s,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)262144,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_LISTEN_BACKLOG_SIZE,
        1024u, MHD_OPTION_END);
    if (daemon == NULL) {
        fprintf(stderr, "skyfake: cannot listen on %s\n", address);
        return 2;
    }
    sigwait(&signals, &caught_signal);
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
    if (strcmp(mode, "crowd") == 0) {
        return Crowd_Main(argc, argv);
    }
    if (strcmp(mode, "raw") == 0) {
        return Raw_Main(argc, argv);
    }
    if (strcmp(mode, "json") == 0) {
        return JsonValue_Main(argc, argv);
    }
    fprintf(stderr, "usage: skyfake (engine|service|platform|site|crowd|raw) "
                    "ADDRESS ...\n       skyfake json PATH\n");
    return 2;
}
