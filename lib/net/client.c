#include "net/client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "net/socket.h"

/** Size of one read, which fits several events of a stream. */
#define READ_CHUNK_BYTES 16384u
#define EXPIRY_CHECK_INTERVAL_S 0.25 /**< granularity of idle timeouts */
/** An idle connection is closed this long before the server's idle timeout, so
 *  that no request is sent while the server closes the connection. A timeout
 *  of at most twice this margin is halved instead. */
#define KEEP_ALIVE_MARGIN_MS 700u
#define RESPONSE_HEAD_MAX_BYTES (64u * 1024u)
/** Interim responses and those to earlier requests that are skipped before the
 *  response to a request, and the bytes of their bodies. */
#define SKIPPED_RESPONSES_MAX 16
#define SKIPPED_BODY_MAX_BYTES (256u * 1024u)

/* A connection, and the handle of the request that uses it while is_active. An
 * idle connection stays in the pool of its address. */
struct sky_client_request {
    sky_client_t *client;
    uint64_t key; /**< see SkyClient_GetAddressKey() */
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    ev_timer connect_timer;
    sky_http_reader_t reader;
    sky_buffer_t output;
    sky_client_request_options_t options;
    char *echo_value; /**< of the current request, or of the last one */
    sky_client_exchange_t exchange;
    uint32_t served_count; /**< requests so far, without the current one */
    bool is_active;        /**< a request is using the connection */
    bool is_reused;        /**< it served an earlier request */
    /** Some response so far did not name its request: a second copy of it
     *  cannot be told from the response to another request. */
    bool has_unnamed;
    uint64_t series; /**< of all responses that did not name their request; 0:
                          of several */
    bool is_connected;
    bool has_sent_bytes;    /**< a byte of the current request was sent */
    bool is_aborted;        /**< a send met the end of the connection, but the
                               server had not ended its stream before */
    bool skips_response;    /**< the response being read is an interim one, or
                               that of an earlier request */
    bool is_stopped;        /**< on_head chose to read no more */
    uint32_t skipped_count; /**< responses skipped for this request */
    uint64_t skipped_body_bytes;
    uint64_t body_bytes;    /**< of the response, received so far */
    bool is_closed;         /**< freed when the running callback returns */
    bool in_callback;       /**< a callback of the event loop is running */
    uint32_t keep_alive_ms; /**< announced by the server; 0: none */
    uint64_t idle_since_ms;
    sky_client_request_t *prev;
    sky_client_request_t *next;
};

typedef struct {
    uint64_t key;
    sky_client_request_t *idle_list; /**< most recently used first */
    uint32_t idle_count;
    UT_hash_handle hh;
} idle_pool_t;

struct sky_client {
    sky_client_options_t options;
    sky_client_stats_t stats;
    idle_pool_t *pools;
    sky_client_request_t *active_list;
    ev_timer expiry_timer;
    uint32_t connection_count; /**< active and idle ones */
};

/* Ids that a server writes are cut to this length. */
#define LOGGED_ID_BYTES_MAX 64
#define ADDRESS_TEXT_BYTES (INET_ADDRSTRLEN + 6) /**< ADDRESS:PORT */

static const char *
get_request_id(const sky_client_request_t *connection)
{
    const char *id = connection->echo_value;
    return id != NULL && id[0] != '\0' ? id : "-";
}

/* Passes on what is known of the exchange. */
static void
update_exchange(sky_client_request_t *connection)
{
    if (connection->is_active && connection->options.exchange != NULL) {
        *connection->options.exchange = connection->exchange;
    }
}

/* Writes the server's address as ADDRESS:PORT. */
static void
format_address(const sky_client_request_t *connection,
               char text[ADDRESS_TEXT_BYTES])
{
    const struct sockaddr_in *address = &connection->options.address;
    char host[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &address->sin_addr, host, sizeof host);
    snprintf(text, ADDRESS_TEXT_BYTES, "%s:%u", host,
             ntohs(address->sin_port));
}

/* Logs a response that does not answer the request which waits for one. */
static void
log_foreign_response(sky_client_request_t *connection, const char *event,
                     const char *other_id, uint16_t status)
{
    char server[ADDRESS_TEXT_BYTES];
    format_address(connection, server);
    connection->exchange.foreign_count++;
    update_exchange(connection);
    SkyLog_WriteClass(SKY_LOG_EVIDENCE, LOG_NOTICE, event,
                      "id=%s other=%.*s status=%u served=%u sent=%s server=%s",
                      get_request_id(connection), LOGGED_ID_BYTES_MAX,
                      other_id, status, connection->served_count,
                      SkyClient_SentName(connection->exchange.sent), server);
}

/* Logs why a response is not HTTP/1.1. */
static void
log_malformed_response(sky_client_request_t *connection, const char *reason)
{
    char server[ADDRESS_TEXT_BYTES];
    format_address(connection, server);
    SkyLog_WriteClass(SKY_LOG_EVIDENCE, LOG_NOTICE, "response_malformed",
                      "id=%s reason=%s body_bytes=%llu sent=%s server=%s",
                      get_request_id(connection), reason,
                      (unsigned long long)connection->body_bytes,
                      SkyClient_SentName(connection->exchange.sent), server);
}

/* Logs bytes that came after the response to the connection's last request. */
static void
log_extra_bytes(const sky_client_request_t *connection, const char *event,
                size_t size)
{
    char server[ADDRESS_TEXT_BYTES];
    format_address(connection, server);
    SkyLog_Write(LOG_NOTICE, event, "after=%s bytes=%zu served=%u server=%s",
                 get_request_id(connection), size, connection->served_count,
                 server);
}

uint64_t
SkyClient_GetAddressKey(const struct sockaddr_in *address)
{
    return ((uint64_t)address->sin_addr.s_addr << 16) | address->sin_port;
}

/* Returns NULL if the address has no pool and none is to be created, or if out
 * of memory. */
static idle_pool_t *
get_pool(sky_client_t *client, uint64_t key, bool create)
{
    idle_pool_t *pool;
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
unlink_connection(sky_client_request_t *connection)
{
    sky_client_t *client = connection->client;
    if (connection->is_active) {
        DL_DELETE(client->active_list, connection);
        return;
    }
    idle_pool_t *pool = get_pool(client, connection->key, false);
    DL_DELETE(pool->idle_list, connection);
    pool->idle_count--;
}

static void
free_connection(sky_client_request_t *connection)
{
    SkyHttpReader_Clear(&connection->reader);
    SkyBuffer_Clear(&connection->output);
    free(connection->echo_value);
    free(connection);
}

/* Frees the connection too, unless a callback of the event loop is using it:
 * leave_callback() frees it then. */
static void
close_connection(sky_client_request_t *connection)
{
    if (connection->is_closed) {
        return;
    }
    struct ev_loop *loop = connection->client->options.loop;
    unlink_connection(connection);
    ev_io_stop(loop, &connection->read_watcher);
    ev_io_stop(loop, &connection->write_watcher);
    ev_timer_stop(loop, &connection->connect_timer);
    if (connection->fd >= 0) {
        close(connection->fd);
    }
    connection->is_closed = true;
    connection->options.exchange = NULL;
    connection->client->connection_count--;
    if (!connection->in_callback) {
        free_connection(connection);
    }
}

static void
leave_callback(sky_client_request_t *connection)
{
    connection->in_callback = false;
    if (connection->is_closed) {
        free_connection(connection);
    }
}

/* Closes the connection and reports the outcome of its request, if any. */
static void
fail_request(sky_client_request_t *connection, sky_client_outcome_t outcome)
{
    sky_client_request_events_t events = connection->options.events;
    void *context = connection->options.context;
    bool is_active = connection->is_active;
    if (outcome == SKY_CLIENT_OUTCOME_BROKEN && !connection->has_sent_bytes) {
        outcome = SKY_CLIENT_OUTCOME_UNSENT;
    }
    close_connection(connection);
    if (is_active) {
        events.on_end(context, outcome);
    }
}

static uint32_t
parse_keep_alive_ms(const sky_http_head_t *head)
{
    const char *value = SkyHttpHead_FindField(head, "Keep-Alive");
    const char *timeout = value ? strstr(value, "timeout=") : NULL;
    if (timeout == NULL) {
        return 0;
    }
    return (uint32_t)strtoul(timeout + strlen("timeout="), NULL, 10) * 1000u;
}

/* Makes the connection available for reuse, or closes it if the pool is full.
 */
static void
release_to_pool(sky_client_request_t *connection)
{
    sky_client_t *client = connection->client;
    idle_pool_t *pool = get_pool(client, connection->key, true);
    if (pool == NULL ||
        pool->idle_count >= client->options.max_idle_per_address ||
        (client->options.max_connections > 0 &&
         client->connection_count > client->options.max_connections)) {
        close_connection(connection);
        return;
    }
    DL_DELETE(client->active_list, connection);
    connection->is_active = false;
    SkyClientRequest_SetReading(connection, true);
    connection->idle_since_ms = SkyClock_NowMs();
    DL_PREPEND(pool->idle_list, connection);
    pool->idle_count++;
}

static void
complete_request(sky_client_request_t *connection, size_t extra_bytes)
{
    bool has_extra_bytes = extra_bytes > 0;
    sky_client_request_events_t events = connection->options.events;
    void *context = connection->options.context;
    const sky_http_head_t *head = &connection->reader.head;
    bool has_unsent_bytes = SkyBuffer_Size(&connection->output) > 0;
    connection->keep_alive_ms = parse_keep_alive_ms(head);
    connection->served_count++;
    connection->client->stats.unsolicited_closes += has_extra_bytes ? 1 : 0;
    if (has_extra_bytes) {
        connection->exchange.foreign_count++;
        update_exchange(connection);
        log_extra_bytes(connection, "bytes_beyond_response", extra_bytes);
    }
    if (has_extra_bytes || has_unsent_bytes || !head->keep_alive) {
        close_connection(connection);
    }
    else {
        release_to_pool(connection);
    }
    events.on_end(context, SKY_CLIENT_OUTCOME_COMPLETE);
}

static void
record_response(sky_client_request_t *connection, uint16_t status,
                const char *echo)
{
    sky_client_exchange_t *exchange = &connection->exchange;
    if (status < 200) {
        return;
    }
    exchange->status = status;
    exchange->echo = SKY_CLIENT_ECHO_NONE;
    if (echo != NULL) {
        exchange->echo = strcmp(echo, connection->echo_value) == 0
                             ? SKY_CLIENT_ECHO_OWN
                             : SKY_CLIENT_ECHO_OTHER;
    }
    update_exchange(connection);
}

/* Records a response that does not name its request. */
static void
record_unnamed(sky_client_request_t *connection, uint64_t series)
{
    connection->series =
        connection->has_unnamed && connection->series != series ? 0 : series;
    connection->has_unnamed = true;
}

static bool
on_head(void *context, const sky_http_head_t *head)
{
    sky_client_request_t *connection = context;
    const char *field = connection->options.echo_field;
    const char *echo = field ? SkyHttpHead_FindField(head, field) : NULL;
    record_response(connection, head->status, echo);
    connection->skips_response = head->status < 200;
    if (echo != NULL && strcmp(echo, connection->echo_value) != 0) {
        connection->skips_response = true;
        connection->client->stats.skipped_responses++;
        log_foreign_response(connection, "response_skipped", echo,
                             head->status);
    }
    if (connection->skips_response) {
        connection->skipped_count++;
        return connection->skipped_count <= SKIPPED_RESPONSES_MAX;
    }
    if (field != NULL && echo == NULL && connection->is_reused &&
        connection->echo_value[0] != '\0') {
        log_foreign_response(connection, "response_rejected", "-",
                             head->status);
        return false; /* it may belong to an earlier request */
    }
    if (echo == NULL) {
        record_unnamed(connection, connection->options.series);
    }
    connection->is_stopped =
        !connection->options.events.on_head(connection->options.context, head);
    return !connection->is_stopped && !connection->is_closed;
}

static bool
on_body(void *context, const char *bytes, size_t size)
{
    sky_client_request_t *connection = context;
    if (connection->skips_response) {
        connection->skipped_body_bytes += size;
        return connection->skipped_body_bytes <= SKIPPED_BODY_MAX_BYTES;
    }
    uint64_t max_bytes = connection->options.max_body_bytes;
    connection->body_bytes += size;
    if (max_bytes > 0 && connection->body_bytes > max_bytes) {
        return false;
    }
    connection->options.events.on_body(connection->options.context, bytes,
                                       size);
    return !connection->is_closed;
}

static bool
on_complete(void *context)
{
    (void)context;
    return true;
}

/* Returns false if the request has ended. */
static bool
handle_response_bytes(sky_client_request_t *connection, const char *bytes,
                      size_t size)
{
    size_t offset = 0;
    do {
        size_t consumed = 0;
        sky_http_progress_t progress = SkyHttpReader_Feed(
            &connection->reader, bytes + offset, size - offset, &consumed);
        offset += consumed;
        if (connection->is_closed) {
            return false;
        }
        switch (progress) {
        case SKY_HTTP_INCOMPLETE:
            return true;
        case SKY_HTTP_COMPLETE:
            if (connection->skips_response) {
                break;
            }
            complete_request(connection, size - offset);
            return false;
        case SKY_HTTP_MALFORMED:
            log_malformed_response(
                connection,
                SkyHttpFault_Name(SkyHttpReader_Fault(&connection->reader)));
            fail_request(connection, SKY_CLIENT_OUTCOME_GARBLED);
            return false;
        case SKY_HTTP_TOO_LARGE:
            log_malformed_response(connection, "head_too_large");
            fail_request(connection, SKY_CLIENT_OUTCOME_GARBLED);
            return false;
        case SKY_HTTP_STOPPED:
            fail_request(connection, connection->is_stopped
                                         ? SKY_CLIENT_OUTCOME_STOPPED
                                         : SKY_CLIENT_OUTCOME_GARBLED);
            return false;
        }
    } while (offset < size);
    return true;
}

/* Logs that a connection was reset before the end of a response without a
 * length. */
static void
log_aborted_response(sky_client_request_t *connection)
{
    char server[ADDRESS_TEXT_BYTES];
    format_address(connection, server);
    SkyLog_WriteClass(SKY_LOG_EVIDENCE, LOG_NOTICE, "response_aborted",
                      "id=%s status=%u body_bytes=%llu sent=%s server=%s",
                      get_request_id(connection), connection->exchange.status,
                      (unsigned long long)connection->body_bytes,
                      SkyClient_SentName(connection->exchange.sent), server);
}

/* A response without a length is complete when its connection closes. */
static bool
ends_with_its_connection(const sky_client_request_t *connection)
{
    const sky_http_reader_t *reader = &connection->reader;
    return reader->head_is_complete && reader->in_message &&
           !reader->head.has_length;
}

static void
handle_end_of_stream(sky_client_request_t *connection)
{
    bool is_end_of_body = ends_with_its_connection(connection);
    if (is_end_of_body && connection->is_aborted) {
        log_aborted_response(connection);
        is_end_of_body = false;
    }
    if (!is_end_of_body || handle_response_bytes(connection, "", 0)) {
        fail_request(connection, SKY_CLIENT_OUTCOME_BROKEN);
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_client_request_t *connection = watcher->data;
    char bytes[READ_CHUNK_BYTES];
    connection->in_callback = true;
    ssize_t received = recv(connection->fd, bytes, sizeof bytes, 0);
    if (!connection->is_active) {
        if (received > 0) {
            connection->client->stats.unsolicited_closes++;
            log_extra_bytes(connection, "bytes_on_idle", (size_t)received);
        }
        if (received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
            close_connection(connection);
        }
    }
    else if (received > 0) {
        handle_response_bytes(connection, bytes, (size_t)received);
    }
    else if (received == 0) {
        handle_end_of_stream(connection);
    }
    else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        fail_request(connection, SKY_CLIENT_OUTCOME_BROKEN);
    }
    leave_callback(connection);
}

static void
record_sent(sky_client_request_t *connection, size_t size)
{
    connection->exchange.sent_bytes += size;
    connection->exchange.sent = SkyBuffer_Size(&connection->output) > 0
                                    ? SKY_CLIENT_SENT_PART
                                    : SKY_CLIENT_SENT_WHOLE;
    update_exchange(connection);
}

/* Sends the remaining output; returns false if the connection failed. */
static bool
send_output(sky_client_request_t *connection)
{
    struct ev_loop *loop = connection->client->options.loop;
    uint64_t expires_us = connection->options.expires_us;
    if (expires_us != 0 && !connection->has_sent_bytes &&
        SkyClock_NowUs() >= expires_us) {
        return false;
    }
    while (SkyBuffer_Size(&connection->output) > 0) {
        ssize_t sent =
            send(connection->fd, SkyBuffer_Data(&connection->output),
                 SkyBuffer_Size(&connection->output), MSG_NOSIGNAL);
        if (sent > 0) {
            connection->has_sent_bytes = true;
            SkyBuffer_Consume(&connection->output, (size_t)sent);
            record_sent(connection, (size_t)sent);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            ev_io_start(loop, &connection->write_watcher);
            return true;
        }
        /* The kernel reports the error of a connection once. After this call
         * recv() returns what had arrived and then 0, as at the end of a
         * stream. EPIPE alone says that the stream did end, before the
         * connection was reset. */
        connection->is_aborted = errno != EPIPE;
        return false;
    }
    ev_io_stop(loop, &connection->write_watcher);
    return true;
}

static bool
connect_succeeded(sky_client_request_t *connection)
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size) ==
               0 &&
           error == 0;
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    sky_client_request_t *connection = watcher->data;
    connection->in_callback = true;
    if (!connection->is_connected) {
        ev_timer_stop(loop, &connection->connect_timer);
        if (!connect_succeeded(connection)) {
            fail_request(connection, SKY_CLIENT_OUTCOME_UNSENT);
            leave_callback(connection);
            return;
        }
        connection->is_connected = true;
        ev_io_start(loop, &connection->read_watcher);
    }
    /* After a failed send the response may still be available to read. */
    if (!send_output(connection)) {
        ev_io_stop(loop, &connection->write_watcher);
        if (!connection->has_sent_bytes) {
            fail_request(connection, SKY_CLIENT_OUTCOME_UNSENT);
        }
    }
    leave_callback(connection);
}

static void
on_connect_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_client_request_t *connection = watcher->data;
    /* Also called for a failed send on a reused connection, of which a part
     * may have been sent: fail_request() tells them apart. */
    fail_request(connection, SKY_CLIENT_OUTCOME_BROKEN);
}

static bool
can_reuse(const sky_client_request_t *connection,
          const sky_client_request_options_t *options, uint32_t default_ms,
          uint64_t now_ms)
{
    double idle_duration_ms = (double)(now_ms - connection->idle_since_ms);
    uint32_t keep_alive_ms =
        connection->keep_alive_ms ? connection->keep_alive_ms : default_ms;
    double max_duration_ms =
        keep_alive_ms > 2 * KEEP_ALIVE_MARGIN_MS
            ? (double)(keep_alive_ms - KEEP_ALIVE_MARGIN_MS)
            : keep_alive_ms / 2.0;
    if (options->max_idle_ms > 0 && options->max_idle_ms < max_duration_ms) {
        max_duration_ms = options->max_idle_ms;
    }
    return idle_duration_ms < max_duration_ms;
}

/* Whether nothing has come on an idle connection that was not read yet. Bytes
 * answer no request, but would be read as the response to the next one; after
 * an end or a reset a request would be lost without proof. */
static bool
is_quiet(sky_client_request_t *connection)
{
    char bytes[READ_CHUNK_BYTES];
    ssize_t received =
        recv(connection->fd, bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        connection->client->stats.unsolicited_closes++;
        log_extra_bytes(connection, "bytes_on_idle", (size_t)received);
    }
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Whether the connection's last request had the id of this one. A second
 * response to it would be read as the response to this one. */
static bool
had_same_id(const sky_client_request_t *connection,
            const sky_client_request_options_t *options)
{
    return options->echo_field != NULL && options->echo_value[0] != '\0' &&
           connection->echo_value != NULL &&
           strcmp(connection->echo_value, options->echo_value) == 0;
}

static bool
is_unnamed(const sky_client_request_options_t *options)
{
    return options->echo_field == NULL || options->echo_value[0] == '\0';
}

/* Whether no response to an earlier request can be taken for the one to this
 * request: they all name their request, or are of its series. */
static bool
is_distinct(const sky_client_request_t *connection,
            const sky_client_request_options_t *options)
{
    return !connection->has_unnamed || !is_unnamed(options) ||
           (options->series != 0 && connection->series == options->series);
}

/* @param unnamed_only leaves connections alone that a series could use */
static sky_client_request_t *
find_idle_connection(sky_client_t *client, idle_pool_t *pool,
                     const sky_client_request_options_t *options,
                     bool unnamed_only)
{
    sky_client_request_t *connection = pool->idle_list;
    while (connection != NULL &&
           can_reuse(connection, options,
                     client->options.default_keep_alive_ms,
                     SkyClock_NowMs())) {
        sky_client_request_t *next = connection->next;
        if (!is_quiet(connection)) {
            close_connection(connection);
        }
        else if (!had_same_id(connection, options) &&
                 (options->series == 0 || is_distinct(connection, options)) &&
                 (!unnamed_only || connection->has_unnamed)) {
            return connection;
        }
        connection = next;
    }
    return NULL;
}

static sky_client_request_t *
acquire_idle_connection(sky_client_t *client,
                        const sky_client_request_options_t *options)
{
    idle_pool_t *pool =
        get_pool(client, SkyClient_GetAddressKey(&options->address), false);
    if (pool == NULL) {
        return NULL;
    }
    bool is_any_good = is_unnamed(options) && options->series == 0;
    sky_client_request_t *connection =
        is_any_good ? find_idle_connection(client, pool, options, true) : NULL;
    if (connection == NULL) {
        connection = find_idle_connection(client, pool, options, false);
    }
    if (connection != NULL) {
        DL_DELETE(pool->idle_list, connection);
        pool->idle_count--;
        connection->is_reused = true;
        client->stats.connection_reuses++;
    }
    return connection;
}

/* Makes room for a new connection by closing an idle one of any address. */
static void
close_one_idle(sky_client_t *client)
{
    idle_pool_t *pool;
    idle_pool_t *next;
    HASH_ITER(hh, client->pools, pool, next)
    {
        if (pool->idle_list != NULL) {
            close_connection(pool->idle_list->prev);
            return;
        }
    }
}

static sky_client_request_t *
open_connection(sky_client_t *client,
                const sky_client_request_options_t *options)
{
    static const sky_http_events_t EVENTS = {on_head, on_body, on_complete};
    sky_client_request_t *connection = calloc(1, sizeof *connection);
    if (connection == NULL) {
        return NULL;
    }
    if (client->options.max_connections > 0 &&
        client->connection_count >= client->options.max_connections) {
        close_one_idle(client);
    }
    connection->client = client;
    client->connection_count++;
    connection->key = SkyClient_GetAddressKey(&options->address);
    connection->fd = SkySocket_Connect(&options->address);
    SkyHttpReader_Init(&connection->reader, SKY_HTTP_RESPONSE, &EVENTS,
                       connection, RESPONSE_HEAD_MAX_BYTES);
    ev_io_init(&connection->read_watcher, on_readable, connection->fd,
               EV_READ);
    ev_io_init(&connection->write_watcher, on_writable, connection->fd,
               EV_WRITE);
    ev_timer_init(&connection->connect_timer, on_connect_timeout,
                  options->connect_timeout_ms / 1000.0, 0.0);
    connection->read_watcher.data = connection;
    connection->write_watcher.data = connection;
    connection->connect_timer.data = connection;
    if (connection->fd >= 0 && client->options.user_timeout_ms > 0) {
        SkySocket_SetUserTimeout(connection->fd,
                                 client->options.user_timeout_ms);
    }
    client->stats.connection_attempts++;
    return connection;
}

static void
start_request(sky_client_request_t *connection,
              const sky_client_request_options_t *options)
{
    struct ev_loop *loop = connection->client->options.loop;
    connection->options = *options;
    connection->options.request = NULL;
    connection->is_active = true;
    connection->exchange = (sky_client_exchange_t){
        .served_before = connection->served_count,
        .is_reused = connection->is_reused,
        .is_distinct = is_distinct(connection, options)};
    update_exchange(connection);
    connection->has_sent_bytes = false;
    connection->is_aborted = false;
    connection->skips_response = false;
    connection->is_stopped = false;
    connection->skipped_count = 0;
    connection->skipped_body_bytes = 0;
    connection->body_bytes = 0;
    connection->reader.response_has_no_body = options->is_head_request;
    DL_APPEND(connection->client->active_list, connection);
    if (connection->fd < 0) {
        ev_feed_event(loop, &connection->connect_timer, EV_TIMER);
    }
    else if (!connection->is_connected) {
        ev_timer_start(loop, &connection->connect_timer);
        ev_io_start(loop, &connection->write_watcher);
    }
    else if (!send_output(connection)) {
        /* The failure is reported from the event loop, never from within
         * SkyClient_Send(). */
        ev_feed_event(loop, &connection->connect_timer, EV_TIMER);
    }
}

sky_client_request_t *
SkyClient_Send(sky_client_t *client,
               const sky_client_request_options_t *options)
{
    sky_client_request_t *connection =
        options->is_new_connection ? NULL
                                   : acquire_idle_connection(client, options);
    if (connection == NULL) {
        connection = open_connection(client, options);
    }
    if (connection == NULL) {
        return NULL;
    }
    free(connection->echo_value);
    connection->echo_value =
        options->echo_field ? strdup(options->echo_value) : NULL;
    bool copied =
        !SkyResult_IsError(SkyBuffer_Append(
            &connection->output, SkyBuffer_Data(options->request),
            SkyBuffer_Size(options->request))) &&
        (options->echo_field == NULL || connection->echo_value != NULL);
    if (!copied) {
        connection->options.exchange = NULL;
        connection->is_active = true;
        DL_APPEND(client->active_list, connection);
        close_connection(connection);
        return NULL;
    }
    start_request(connection, options);
    return connection;
}

void
SkyClientRequest_SetReading(sky_client_request_t *client_request,
                            bool is_reading)
{
    struct ev_loop *loop = client_request->client->options.loop;
    if (is_reading) {
        ev_io_start(loop, &client_request->read_watcher);
    }
    else {
        ev_io_stop(loop, &client_request->read_watcher);
    }
}

void
SkyClientRequest_Cancel(sky_client_request_t *client_request)
{
    close_connection(client_request);
}

bool
SkyClientRequest_HasSentBytes(const sky_client_request_t *client_request)
{
    return client_request->has_sent_bytes;
}

bool
SkyClientRequest_NamesRequest(const sky_client_request_t *client_request)
{
    return client_request->exchange.echo == SKY_CLIENT_ECHO_OWN &&
           client_request->echo_value[0] != '\0';
}

const char *
SkyClientRequest_OutcomeName(sky_client_outcome_t outcome)
{
    static const char *const NAMES[] = {"complete", "unsent", "broken",
                                        "garbled", "stopped"};
    return NAMES[outcome];
}

const char *
SkyClient_EchoName(sky_client_echo_t echo)
{
    static const char *const NAMES[] = {"none", "own", "other"};
    return NAMES[echo];
}

const char *
SkyClient_SentName(sky_client_sent_t sent)
{
    static const char *const NAMES[] = {"none", "part", "whole"};
    return NAMES[sent];
}

static void
close_expired(sky_client_t *client, idle_pool_t *pool, uint64_t now_ms)
{
    static const sky_client_request_options_t ANY_IDLE_TIME = {.max_idle_ms =
                                                                   0};
    sky_client_request_t *connection;
    sky_client_request_t *next;
    DL_FOREACH_SAFE(pool->idle_list, connection, next)
    {
        if (!can_reuse(connection, &ANY_IDLE_TIME,
                       client->options.default_keep_alive_ms, now_ms)) {
            close_connection(connection);
        }
    }
}

static void
on_expiry_check(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_client_t *client = watcher->data;
    idle_pool_t *pool;
    idle_pool_t *next;
    HASH_ITER(hh, client->pools, pool, next)
    {
        close_expired(client, pool, SkyClock_NowMs());
        if (pool->idle_count == 0) {
            HASH_DEL(client->pools, pool);
            free(pool);
        }
    }
}

void
SkyClient_CloseIdle(sky_client_t *client, const struct sockaddr_in *address)
{
    idle_pool_t *pool;
    idle_pool_t *next;
    HASH_ITER(hh, client->pools, pool, next)
    {
        if (address != NULL && pool->key != SkyClient_GetAddressKey(address)) {
            continue;
        }
        sky_client_request_t *connection;
        sky_client_request_t *after;
        DL_FOREACH_SAFE(pool->idle_list, connection, after)
        {
            close_connection(connection);
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
    ev_timer_init(&self->expiry_timer, on_expiry_check,
                  EXPIRY_CHECK_INTERVAL_S, EXPIRY_CHECK_INTERVAL_S);
    self->expiry_timer.data = self;
    ev_timer_start(options->loop, &self->expiry_timer);
    *client = self;
    return SKY_OK;
}

void
SkyClient_Free(sky_client_t *client)
{
    if (client == NULL) {
        return;
    }
    SkyClient_CloseIdle(client, NULL);
    sky_client_request_t *connection;
    sky_client_request_t *next;
    DL_FOREACH_SAFE(client->active_list, connection, next)
    {
        close_connection(connection);
    }
    idle_pool_t *pool;
    idle_pool_t *after;
    HASH_ITER(hh, client->pools, pool, after)
    {
        HASH_DEL(client->pools, pool);
        free(pool);
    }
    ev_timer_stop(client->options.loop, &client->expiry_timer);
    free(client);
}

const sky_client_stats_t *
SkyClient_Stats(const sky_client_t *client)
{
    return &client->stats;
}
