#include "net/client.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#include "core/clock.h"
#include "net/socket.h"

#define READ_BYTES 16384u /**< one read; several events of a stream */
#define SWEEP_S 0.25      /**< granularity of idle time-outs */
/** Left of a server's announced idle time when a connection is dropped, so
 *  that a request does not cross the server's close. */
#define KEEP_MARGIN_MS 700u

/** One connection; it carries the sending that uses it. */
struct sky_sending {
    sky_client_t *client;
    uint64_t key; /**< address and port */
    int fd;
    ev_io reads;
    ev_io writes;
    ev_timer connecting;
    sky_http_reader_t reader;
    sky_buffer_t out;
    sky_sending_options_t options;
    char *echo_value;
    bool busy;
    bool connected;
    bool sent; /**< a byte of the present request went out */
    bool skip; /**< the answer coming in is another request's */
    bool dead;
    bool in_turn;
    uint32_t keep_ms; /**< announced by the server */
    uint64_t idle_since_ms;
    sky_sending_t *prev;
    sky_sending_t *next;
};

typedef struct {
    uint64_t key;
    sky_sending_t *idle; /**< most recently used first */
    uint32_t count;
    UT_hash_handle hh;
} pool_t;

struct sky_client {
    sky_client_options_t options;
    sky_client_stats_t stats;
    pool_t *pools;
    sky_sending_t *busy;
    ev_timer sweep;
};

static uint64_t
key_of(const struct sockaddr_in *address)
{
    return ((uint64_t)address->sin_addr.s_addr << 16) | address->sin_port;
}

static pool_t *
pool_of(sky_client_t *client, uint64_t key, bool create)
{
    pool_t *pool;
    HASH_FIND(hh, client->pools, &key, sizeof key, pool);
    if (pool == NULL && create) {
        pool = calloc(1, sizeof *pool);
        if (pool != NULL) {
            pool->key = key;
            HASH_ADD(hh, client->pools, key, sizeof key, pool);
        }
    }
    return pool;
}

static void
unlink_sending(sky_sending_t *sending)
{
    sky_client_t *client = sending->client;
    if (sending->busy) {
        DL_DELETE(client->busy, sending);
        return;
    }
    pool_t *pool = pool_of(client, sending->key, false);
    DL_DELETE(pool->idle, sending);
    pool->count--;
}

static void
free_sending(sky_sending_t *sending)
{
    SkyHttp_Clear(&sending->reader);
    SkyBuffer_Clear(&sending->out);
    free(sending->echo_value);
    free(sending);
}

/* The memory stays until the present turn ends. */
static void
close_sending(sky_sending_t *sending)
{
    if (sending->dead) {
        return;
    }
    struct ev_loop *loop = sending->client->options.loop;
    unlink_sending(sending);
    ev_io_stop(loop, &sending->reads);
    ev_io_stop(loop, &sending->writes);
    ev_timer_stop(loop, &sending->connecting);
    if (sending->fd >= 0) {
        close(sending->fd);
    }
    sending->dead = true;
    if (!sending->in_turn) {
        free_sending(sending);
    }
}

static void
end_turn(sky_sending_t *sending)
{
    sending->in_turn = false;
    if (sending->dead) {
        free_sending(sending);
    }
}

/* Ends the call and its connection. */
static void
fail(sky_sending_t *sending, sky_sending_end_t end)
{
    sky_sending_events_t events = sending->options.events;
    void *context = sending->options.context;
    bool busy = sending->busy;
    if (end == SKY_SENDING_BROKEN && !sending->sent) {
        end = SKY_SENDING_UNSENT;
    }
    close_sending(sending);
    if (busy) {
        events.on_end(context, end);
    }
}

static uint32_t
announced_keep_ms(const sky_http_head_t *head)
{
    const char *value = SkyHttp_Field(head, "Keep-Alive");
    const char *timeout = value ? strstr(value, "timeout=") : NULL;
    if (timeout == NULL) {
        return 0;
    }
    return (uint32_t)strtoul(timeout + strlen("timeout="), NULL, 10) * 1000u;
}

static void
keep(sky_sending_t *sending)
{
    sky_client_t *client = sending->client;
    pool_t *pool = pool_of(client, sending->key, true);
    if (pool == NULL || pool->count >= client->options.idle_per_target) {
        close_sending(sending);
        return;
    }
    DL_DELETE(client->busy, sending);
    sending->busy = false;
    sending->idle_since_ms = SkyClock_NowMs();
    DL_PREPEND(pool->idle, sending);
    pool->count++;
}

static void
complete(sky_sending_t *sending, bool leftover)
{
    sky_sending_events_t events = sending->options.events;
    void *context = sending->options.context;
    const sky_http_head_t *head = &sending->reader.head;
    bool unsent = SkyBuffer_Size(&sending->out) > 0;
    sending->keep_ms = announced_keep_ms(head);
    sending->client->stats.extra += leftover ? 1 : 0;
    if (leftover || unsent || !head->keep_alive) {
        close_sending(sending);
    }
    else {
        keep(sending);
    }
    events.on_end(context, SKY_SENDING_COMPLETE);
}

static bool
on_head(void *context, const sky_http_head_t *head)
{
    sky_sending_t *sending = context;
    const char *field = sending->options.echo_field;
    const char *echo = field ? SkyHttp_Field(head, field) : NULL;
    sending->skip = head->status < 200;
    if (echo != NULL && strcmp(echo, sending->echo_value) != 0) {
        sending->skip = true;
        sending->client->stats.skipped++;
    }
    if (sending->skip) {
        return true;
    }
    return sending->options.events.on_head(sending->options.context, head) &&
           !sending->dead;
}

static bool
on_body(void *context, const char *bytes, size_t size)
{
    sky_sending_t *sending = context;
    if (!sending->skip) {
        sending->options.events.on_body(sending->options.context, bytes, size);
    }
    return !sending->dead;
}

static bool
on_complete(void *context)
{
    (void)context;
    return true;
}

/* Takes bytes of the answer; false if the sending has ended. */
static bool
take_bytes(sky_sending_t *sending, const char *bytes, size_t size)
{
    size_t at = 0;
    do {
        size_t used = 0;
        sky_http_progress_t progress =
            SkyHttp_Feed(&sending->reader, bytes + at, size - at, &used);
        at += used;
        if (sending->dead) {
            return false;
        }
        switch (progress) {
        case SKY_HTTP_MORE:
            return true;
        case SKY_HTTP_COMPLETE:
            if (sending->skip) {
                break;
            }
            complete(sending, at < size);
            return false;
        case SKY_HTTP_MALFORMED:
        case SKY_HTTP_TOO_LARGE:
        case SKY_HTTP_STOPPED:
            fail(sending, SKY_SENDING_GARBLED);
            return false;
        }
    } while (at < size);
    return true;
}

static void
read_end(sky_sending_t *sending)
{
    /* An answer without a length is complete with its connection's end. */
    bool until_end = sending->reader.head_is_complete &&
                     sending->reader.in_message &&
                     !sending->reader.head.has_length;
    if (until_end && take_bytes(sending, "", 0)) {
        fail(sending, SKY_SENDING_BROKEN);
        return;
    }
    if (!until_end) {
        fail(sending, SKY_SENDING_BROKEN);
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_sending_t *sending = watcher->data;
    char bytes[READ_BYTES];
    sending->in_turn = true;
    ssize_t got = recv(sending->fd, bytes, sizeof bytes, 0);
    if (!sending->busy) {
        if (got > 0) {
            sending->client->stats.extra++;
        }
        if (got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
            close_sending(sending);
        }
    }
    else if (got > 0) {
        take_bytes(sending, bytes, (size_t)got);
    }
    else if (got == 0) {
        read_end(sending);
    }
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        fail(sending, SKY_SENDING_BROKEN);
    }
    end_turn(sending);
}

/* Sends what is left; false if the connection failed. */
static bool
push(sky_sending_t *sending)
{
    struct ev_loop *loop = sending->client->options.loop;
    while (SkyBuffer_Size(&sending->out) > 0) {
        ssize_t sent = send(sending->fd, SkyBuffer_Data(&sending->out),
                            SkyBuffer_Size(&sending->out), MSG_NOSIGNAL);
        if (sent > 0) {
            sending->sent = true;
            SkyBuffer_Consume(&sending->out, (size_t)sent);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            ev_io_start(loop, &sending->writes);
            return true;
        }
        return false;
    }
    ev_io_stop(loop, &sending->writes);
    return true;
}

static bool
is_connected(sky_sending_t *sending)
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(sending->fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error == 0;
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    sky_sending_t *sending = watcher->data;
    sending->in_turn = true;
    if (!sending->connected) {
        ev_timer_stop(loop, &sending->connecting);
        if (!is_connected(sending)) {
            fail(sending, SKY_SENDING_UNSENT);
            end_turn(sending);
            return;
        }
        sending->connected = true;
        ev_io_start(loop, &sending->reads);
    }
    /* After a failed send the answer may still be there to read. */
    if (!push(sending)) {
        ev_io_stop(loop, &sending->writes);
        if (!sending->sent) {
            fail(sending, SKY_SENDING_UNSENT);
        }
    }
    end_turn(sending);
}

static void
on_connect_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_sending_t *sending = watcher->data;
    fail(sending, SKY_SENDING_UNSENT);
}

static bool
may_reuse(const sky_sending_t *sending, const sky_sending_options_t *options,
          uint32_t default_ms, uint64_t now_ms)
{
    double idle_ms = (double)(now_ms - sending->idle_since_ms);
    uint32_t keep_ms = sending->keep_ms ? sending->keep_ms : default_ms;
    double limit_ms = keep_ms > 2 * KEEP_MARGIN_MS
                          ? (double)(keep_ms - KEEP_MARGIN_MS)
                          : keep_ms / 2.0;
    if (options->reuse_ms > 0 && options->reuse_ms < limit_ms) {
        limit_ms = options->reuse_ms;
    }
    return idle_ms < limit_ms;
}

static sky_sending_t *
take_idle(sky_client_t *client, const sky_sending_options_t *options)
{
    pool_t *pool = pool_of(client, key_of(&options->address), false);
    sky_sending_t *sending = pool ? pool->idle : NULL;
    if (sending == NULL ||
        !may_reuse(sending, options, client->options.idle_ms,
                   SkyClock_NowMs())) {
        return NULL;
    }
    DL_DELETE(pool->idle, sending);
    pool->count--;
    client->stats.reuses++;
    return sending;
}

static sky_sending_t *
open_new(sky_client_t *client, const sky_sending_options_t *options)
{
    static const sky_http_events_t EVENTS = {on_head, on_body, on_complete};
    sky_sending_t *sending = calloc(1, sizeof *sending);
    if (sending == NULL) {
        return NULL;
    }
    sending->client = client;
    sending->key = key_of(&options->address);
    sending->fd = SkySocket_Connect(&options->address);
    SkyHttp_InitReader(&sending->reader, SKY_HTTP_ANSWER, &EVENTS, sending, 0);
    ev_io_init(&sending->reads, on_readable, sending->fd, EV_READ);
    ev_io_init(&sending->writes, on_writable, sending->fd, EV_WRITE);
    ev_timer_init(&sending->connecting, on_connect_timeout,
                  options->connect_timeout_ms / 1000.0, 0.0);
    sending->reads.data = sending;
    sending->writes.data = sending;
    sending->connecting.data = sending;
    if (sending->fd >= 0 && client->options.user_timeout_ms > 0) {
        SkySocket_SetUserTimeout(sending->fd, client->options.user_timeout_ms);
    }
    client->stats.connects++;
    return sending;
}

static void
begin(sky_sending_t *sending, const sky_sending_options_t *options)
{
    struct ev_loop *loop = sending->client->options.loop;
    sending->options = *options;
    sending->options.request = NULL;
    sending->busy = true;
    sending->sent = false;
    sending->skip = false;
    sending->reader.response_has_no_body = options->bodyless;
    DL_APPEND(sending->client->busy, sending);
    if (sending->fd < 0) {
        ev_feed_event(loop, &sending->connecting, EV_TIMER);
    }
    else if (!sending->connected) {
        ev_timer_start(loop, &sending->connecting);
        ev_io_start(loop, &sending->writes);
    }
    else if (!push(sending)) {
        /* Its end is told from the loop, never from within this call. */
        ev_feed_event(loop, &sending->connecting, EV_TIMER);
    }
}

sky_sending_t *
SkyClient_Send(sky_client_t *client, const sky_sending_options_t *options)
{
    sky_sending_t *sending = take_idle(client, options);
    if (sending == NULL) {
        sending = open_new(client, options);
    }
    if (sending == NULL) {
        return NULL;
    }
    free(sending->echo_value);
    sending->echo_value =
        options->echo_field ? strdup(options->echo_value) : NULL;
    bool copied = !SkyResult_IsError(SkyBuffer_Append(
                      &sending->out, SkyBuffer_Data(options->request),
                      SkyBuffer_Size(options->request))) &&
                  (options->echo_field == NULL || sending->echo_value != NULL);
    if (!copied) {
        if (sending->fd >= 0) {
            close(sending->fd);
        }
        free_sending(sending);
        return NULL;
    }
    begin(sending, options);
    return sending;
}

void
SkySending_Cancel(sky_sending_t *sending)
{
    close_sending(sending);
}

bool
SkySending_IsSent(const sky_sending_t *sending)
{
    return sending->sent;
}

const char *
SkySending_EndName(sky_sending_end_t end)
{
    static const char *const NAMES[] = {"complete", "unsent", "broken",
                                        "garbled"};
    return NAMES[end];
}

static void
sweep_pool(sky_client_t *client, pool_t *pool, uint64_t now_ms)
{
    static const sky_sending_options_t ANY = {.reuse_ms = 0};
    sky_sending_t *sending;
    sky_sending_t *next;
    DL_FOREACH_SAFE(pool->idle, sending, next)
    {
        if (!may_reuse(sending, &ANY, client->options.idle_ms, now_ms)) {
            close_sending(sending);
        }
    }
}

static void
on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_client_t *client = watcher->data;
    pool_t *pool;
    pool_t *next;
    HASH_ITER(hh, client->pools, pool, next)
    {
        sweep_pool(client, pool, SkyClock_NowMs());
        if (pool->count == 0) {
            HASH_DEL(client->pools, pool);
            free(pool);
        }
    }
}

void
SkyClient_DropIdle(sky_client_t *client, const struct sockaddr_in *address)
{
    pool_t *pool;
    pool_t *next;
    HASH_ITER(hh, client->pools, pool, next)
    {
        if (address != NULL && pool->key != key_of(address)) {
            continue;
        }
        sky_sending_t *sending;
        sky_sending_t *after;
        DL_FOREACH_SAFE(pool->idle, sending, after)
        {
            close_sending(sending);
        }
    }
}

sky_result_t
SkyClient_Create(const sky_client_options_t *options, sky_client_t **client)
{
    sky_client_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    ev_timer_init(&self->sweep, on_sweep, SWEEP_S, SWEEP_S);
    self->sweep.data = self;
    ev_timer_start(options->loop, &self->sweep);
    *client = self;
    return SKY_OK;
}

void
SkyClient_Free(sky_client_t *client)
{
    if (client == NULL) {
        return;
    }
    SkyClient_DropIdle(client, NULL);
    sky_sending_t *sending;
    sky_sending_t *next;
    DL_FOREACH_SAFE(client->busy, sending, next)
    {
        close_sending(sending);
    }
    pool_t *pool;
    pool_t *after;
    HASH_ITER(hh, client->pools, pool, after)
    {
        HASH_DEL(client->pools, pool);
        free(pool);
    }
    ev_timer_stop(client->options.loop, &client->sweep);
    free(client);
}

const sky_client_stats_t *
SkyClient_Stats(const sky_client_t *client)
{
    return &client->stats;
}
