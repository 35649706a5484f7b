#include "peer/peers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

#include "peer/codec.h"
#include "peer/gen/skypeer.h"
#include "platform/http_call.h"

/* Per peer. Messages that wait behind more than this are out of date when they
 * are sent. */
#define QUEUE_MESSAGES_MAX 4096
#define BATCH_BYTES_MAX 65536  /* body of one batch */
#define RECONNECT_DELAY_MS 200 /* after a failed connection or call */
#define SENDER_STACK_BYTES (256 * 1024)
#define SERVER_POLL_MS 100
#define MS_PER_S 1000

typedef struct peer {
    sky_host_id_t host;
    char address[SKY_ADDRESS_BYTES];
    struct sky_peers *peers;
    pthread_t thread;
    pthread_mutex_t lock;
    pthread_cond_t wakeup;
    sky_msg_t *queue; /* messages that the sender thread has not fetched yet */
    size_t count;
    size_t capacity;
    CLIENT *client;
    char *body; /* of the batch being sent, BATCH_BYTES_MAX long */
    int fd;
    UT_hash_handle hh;
} peer_t;

struct sky_peers {
    sky_peers_options_t options;
    pthread_mutex_t lock; /* of peers_by_host */
    peer_t *peers_by_host;
    pthread_t server;
    SVCXPRT *transport;
    bool stopping;
    sky_peers_stats_t stats;
};

/* libtirpc has one table of services per process and passes no user pointer to
 * their callbacks. */
static sky_peers_t *active_server;

static void
add_to_counter(uint64_t *counter, uint64_t amount)
{
    __atomic_add_fetch(counter, amount, __ATOMIC_RELAXED);
}

static bool
is_stopping(const sky_peers_t *peers)
{
    return __atomic_load_n(&peers->stopping, __ATOMIC_ACQUIRE);
}

/* ---- sending ---- */

static int
wait_until_connected(int fd, uint32_t timeout_ms)
{
    struct pollfd poller = {.fd = fd, .events = POLLOUT};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&poller, 1, (int)timeout_ms) != 1) {
        return -1;
    }
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        return -1;
    }
    return error == 0 ? 0 : -1;
}

static int
open_connection(const char *address, uint32_t timeout_ms,
                struct sockaddr_in *peer_address)
{
    char host[SKY_ADDRESS_BYTES];
    uint16_t port;
    int enabled = 1;
    memset(peer_address, 0, sizeof *peer_address);
    if (SkyResult_IsError(
            SkyHttpCall_SplitAddress(address, host, sizeof host, &port)) ||
        inet_pton(AF_INET, host, &peer_address->sin_addr) != 1) {
        return -1;
    }
    peer_address->sin_family = AF_INET;
    peer_address->sin_port = htons(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    int result =
        connect(fd, (struct sockaddr *)peer_address, sizeof *peer_address);
    if (result != 0 && errno == EINPROGRESS) {
        result = wait_until_connected(fd, timeout_ms);
    }
    if (result != 0) {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, 0);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return fd;
}

static void
disconnect(peer_t *peer)
{
    if (peer->client != NULL) {
        clnt_destroy(peer->client);
        peer->client = NULL;
    }
    if (peer->fd >= 0) {
        close(peer->fd);
        peer->fd = -1;
    }
}

static bool
ensure_connected(peer_t *peer, const char *address)
{
    struct sockaddr_in peer_address;
    if (peer->client != NULL) {
        return true;
    }
    peer->fd = open_connection(address, peer->peers->options.timeout_ms,
                               &peer_address);
    if (peer->fd < 0) {
        return false;
    }
    peer->client = clnttcp_create(&peer_address, SKY_PEER_PROGRAM, SKY_PEER_V1,
                                  &peer->fd, BATCH_BYTES_MAX, BATCH_BYTES_MAX);
    if (peer->client == NULL) {
        disconnect(peer);
        return false;
    }
    return true;
}

static bool
deliver_batch(peer_t *peer, char *body, size_t size)
{
    const sky_peers_options_t *options = &peer->peers->options;
    struct timeval timeout = {options->timeout_ms / MS_PER_S,
                              options->timeout_ms % MS_PER_S * 1000};
    sky_batch batch;
    int response = 0;
    SkyCodec_Sign(options->key, body, size, (uint8_t *)batch.auth);
    batch.body.body_len = (u_int)size;
    batch.body.body_val = body;
    enum clnt_stat status = clnt_call(
        peer->client, SKY_PEER_DELIVER, (xdrproc_t)xdr_sky_batch,
        (char *)&batch, (xdrproc_t)xdr_int, (char *)&response, timeout);
    return status == RPC_SUCCESS;
}

/** Sends the messages in batches; drops the rest after a failure. */
static void
send_messages(peer_t *peer, const char *address, const sky_msg_t *messages,
              size_t count)
{
    sky_peers_t *peers = peer->peers;
    size_t sent = 0;
    while (sent < count) {
        size_t encoded_count;
        size_t size =
            SkyCodec_Encode(peers->options.self, messages + sent, count - sent,
                            peer->body, BATCH_BYTES_MAX, &encoded_count);
        if (encoded_count == 0 || !ensure_connected(peer, address)) {
            break;
        }
        if (!deliver_batch(peer, peer->body, size)) {
            disconnect(peer);
            break;
        }
        add_to_counter(&peers->stats.bytes_sent, size);
        sent += encoded_count;
    }
    add_to_counter(&peers->stats.sent, sent);
    if (sent < count) {
        add_to_counter(&peers->stats.dropped, count - sent);
        poll(NULL, 0, RECONNECT_DELAY_MS);
    }
}

static void *
run_sender(void *context)
{
    peer_t *peer = context;
    char address[SKY_ADDRESS_BYTES];
    pthread_mutex_lock(&peer->lock);
    while (!is_stopping(peer->peers)) {
        if (peer->count == 0) {
            pthread_cond_wait(&peer->wakeup, &peer->lock);
            continue;
        }
        sky_msg_t *messages = peer->queue;
        size_t count = peer->count;
        peer->queue = NULL;
        peer->count = 0;
        peer->capacity = 0;
        memcpy(address, peer->address, sizeof address);
        pthread_mutex_unlock(&peer->lock);
        send_messages(peer, address, messages, count);
        free(messages);
        pthread_mutex_lock(&peer->lock);
    }
    pthread_mutex_unlock(&peer->lock);
    disconnect(peer);
    return NULL;
}

static peer_t *
create_peer(sky_peers_t *peers, sky_host_id_t host)
{
    pthread_attr_t attributes;
    peer_t *peer = calloc(1, sizeof *peer);
    if (peer == NULL) {
        return NULL;
    }
    peer->body = malloc(BATCH_BYTES_MAX);
    if (peer->body == NULL) {
        free(peer);
        return NULL;
    }
    peer->host = host;
    peer->peers = peers;
    peer->fd = -1;
    pthread_mutex_init(&peer->lock, NULL);
    pthread_cond_init(&peer->wakeup, NULL);
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, SENDER_STACK_BYTES);
    int failed = pthread_create(&peer->thread, &attributes, run_sender, peer);
    pthread_attr_destroy(&attributes);
    if (failed) {
        free(peer->body);
        free(peer);
        return NULL;
    }
    HASH_ADD(hh, peers->peers_by_host, host, sizeof peer->host, peer);
    return peer;
}

static peer_t *
find_or_create_peer(sky_peers_t *peers, sky_host_id_t host)
{
    peer_t *peer;
    pthread_mutex_lock(&peers->lock);
    HASH_FIND(hh, peers->peers_by_host, &host, sizeof host, peer);
    if (peer == NULL) {
        peer = create_peer(peers, host);
    }
    pthread_mutex_unlock(&peers->lock);
    return peer;
}

/** @return false if the queue is full or memory is exhausted. */
static bool
enqueue_message(peer_t *peer, const sky_msg_t *msg)
{
    if (peer->count == QUEUE_MESSAGES_MAX) {
        return false;
    }
    if (peer->count == peer->capacity) {
        size_t capacity = peer->capacity ? 2 * peer->capacity : 8;
        sky_msg_t *queue = realloc(peer->queue, capacity * sizeof *queue);
        if (queue == NULL) {
            return false;
        }
        peer->queue = queue;
        peer->capacity = capacity;
    }
    peer->queue[peer->count++] = *msg;
    return true;
}

void
SkyPeers_Send(sky_peers_t *peers, sky_host_id_t to, const char *address,
              const sky_msg_t *msg)
{
    peer_t *peer = find_or_create_peer(peers, to);
    if (peer == NULL) {
        add_to_counter(&peers->stats.dropped, 1);
        return;
    }
    pthread_mutex_lock(&peer->lock);
    memcpy(peer->address, address, sizeof peer->address);
    bool was_queued = enqueue_message(peer, msg);
    pthread_cond_signal(&peer->wakeup);
    pthread_mutex_unlock(&peer->lock);
    if (!was_queued) {
        add_to_counter(&peers->stats.dropped, 1);
    }
}

/* ---- receiving ---- */

static void
deliver_message(const sky_in_message_t *in, void *context)
{
    sky_peers_t *peers = context;
    add_to_counter(&peers->stats.received, 1);
    peers->options.on_message(in, peers->options.context);
}

static void
handle_batch(sky_peers_t *peers, const sky_batch *batch)
{
    const char *body = batch->body.body_val;
    size_t size = batch->body.body_len;
    if (!SkyCodec_Verify(peers->options.key, body, size,
                         (const uint8_t *)batch->auth) ||
        SkyResult_IsError(
            SkyCodec_Decode(body, size, deliver_message, peers))) {
        add_to_counter(&peers->stats.batches_rejected, 1);
    }
}

static void
on_call(struct svc_req *request, SVCXPRT *transport)
{
    sky_batch batch;
    int response = 1;
    if (request->rq_proc != SKY_PEER_DELIVER) {
        svcerr_noproc(transport);
        return;
    }
    memset(&batch, 0, sizeof batch);
    if (!svc_getargs(transport, (xdrproc_t)xdr_sky_batch, (char *)&batch)) {
        svcerr_decode(transport);
        return;
    }
    handle_batch(active_server, &batch);
    svc_sendreply(transport, (xdrproc_t)xdr_int, (char *)&response);
    svc_freeargs(transport, (xdrproc_t)xdr_sky_batch, (char *)&batch);
}

static void *
run_server(void *context)
{
    sky_peers_t *peers = context;
    while (!is_stopping(peers)) {
        int count = svc_max_pollfd;
        struct pollfd *pollers = calloc((size_t)count + 1, sizeof *pollers);
        if (pollers == NULL) {
            break;
        }
        memcpy(pollers, svc_pollfd, (size_t)count * sizeof *pollers);
        int ready = poll(pollers, (nfds_t)count, SERVER_POLL_MS);
        if (ready > 0) {
            svc_getreq_poll(pollers, ready);
        }
        free(pollers);
    }
    return NULL;
}

static int
listen_on(const char *address)
{
    char host[SKY_ADDRESS_BYTES];
    uint16_t port;
    int enabled = 1;
    struct sockaddr_in local = {.sin_family = AF_INET};
    if (SkyResult_IsError(
            SkyHttpCall_SplitAddress(address, host, sizeof host, &port)) ||
        inet_pton(AF_INET, host, &local.sin_addr) != 1) {
        return -1;
    }
    local.sin_port = htons(port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(fd, (struct sockaddr *)&local, sizeof local) != 0 ||
        listen(fd, SOMAXCONN) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

sky_result_t
SkyPeers_Create(const sky_peers_options_t *options, sky_peers_t **created)
{
    sky_result_t result = SKY_E_IO;
    sky_peers_t *peers = calloc(1, sizeof *peers);
    if (peers == NULL) {
        return SKY_E_MEMORY;
    }
    peers->options = *options;
    pthread_mutex_init(&peers->lock, NULL);
    int fd = listen_on(options->listen);
    if (fd < 0) {
        goto fail;
    }
    peers->transport = svctcp_create(fd, BATCH_BYTES_MAX, BATCH_BYTES_MAX);
    if (peers->transport == NULL ||
        !svc_register(peers->transport, SKY_PEER_PROGRAM, SKY_PEER_V1, on_call,
                      0)) {
        goto fail;
    }
    active_server = peers;
    if (pthread_create(&peers->server, NULL, run_server, peers) != 0) {
        goto fail;
    }
    *created = peers;
    return SKY_OK;

fail:
    if (peers->transport != NULL) {
        svc_destroy(peers->transport);
    }
    else if (fd >= 0) {
        close(fd);
    }
    free(peers);
    return result;
}

static void
stop_and_free_peer(peer_t *peer)
{
    pthread_mutex_lock(&peer->lock);
    pthread_cond_signal(&peer->wakeup);
    pthread_mutex_unlock(&peer->lock);
    pthread_join(peer->thread, NULL);
    pthread_mutex_destroy(&peer->lock);
    pthread_cond_destroy(&peer->wakeup);
    free(peer->queue);
    free(peer->body);
    free(peer);
}

void
SkyPeers_Free(sky_peers_t *peers)
{
    if (peers == NULL) {
        return;
    }
    peer_t *peer;
    peer_t *next;
    __atomic_store_n(&peers->stopping, true, __ATOMIC_RELEASE);
    pthread_join(peers->server, NULL);
    HASH_ITER(hh, peers->peers_by_host, peer, next)
    {
        HASH_DEL(peers->peers_by_host, peer);
        stop_and_free_peer(peer);
    }
    svc_unregister(SKY_PEER_PROGRAM, SKY_PEER_V1);
    svc_destroy(peers->transport);
    pthread_mutex_destroy(&peers->lock);
    free(peers);
}

sky_peers_stats_t
SkyPeers_GetStats(const sky_peers_t *peers)
{
    return peers->stats;
}
