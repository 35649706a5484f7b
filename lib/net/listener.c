#include "net/listener.h"

#include <errno.h>
#include <limits.h>
#include <linux/sockios.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "decide/connection_share.h"
#include "net/socket.h"

/** Size of one read, which fits most requests as a whole. */
#define READ_CHUNK_BYTES 16384u
/** A caller is slow if more bytes of its response than this are unsent. */
#define SLOW_CALLER_UNSENT_BYTES (256u * 1024u)
/** Reading stops while more bytes of pipelined requests than this are kept. */
#define READ_AHEAD_BYTES_MAX (64u * 1024u)
/** How long to wait for the caller to close after the last response. The rest
 *  of a rejected request may still be in transit. */
#define CLOSE_LINGER_MS 1000u
/** The next pipelined request waits while more bytes of earlier responses than
 *  this are unsent. */
#define PIPELINE_UNSENT_BYTES (64u * 1024u)
/** A body without a byte for this long is stalled: it gives way to others when
 *  memory is short. */
#define STALL_MS 1000u
#define REPORT_INTERVAL_MS                                                    \
    1000u /**< of the log line about refused clients                          \
           */
/** Lines a second about requests that the listener refuses by itself; the rest
 *  is counted. A crowd of such requests is described by the first ones. */
#define REJECTION_LINES_PER_S 10
/** Ids and paths are cut to this in those lines. */
#define LOGGED_TEXT_BYTES_MAX 64
#define ADDRESS_RETRY_MS 50          /**< between tries of an address in use */
#define TIMEOUT_CHECK_INTERVAL_S 0.1 /**< granularity of timeouts */

typedef enum {
    STATE_IDLE,    /**< between requests */
    STATE_READING, /**< a request is being received */
    STATE_SERVING, /**< a request is being served */
    STATE_CLOSING, /**< the last response is being sent */
} connection_state_t;

/* A caller's connection, and the handle of the request served on it. */
struct sky_server_request {
    sky_listener_t *listener;
    int fd;
    ev_io read_watcher;
    ev_io write_watcher;
    sky_http_reader_t reader;
    sky_buffer_t input; /**< received bytes that are not parsed yet */
    sky_buffer_t body;  /**< of the current request */
    sky_buffer_t output;
    uint64_t held_bytes; /**< of the memory share, for all buffers */
    uint64_t request_began_ms;
    uint64_t request_bytes; /**< received of the current request */
    uint64_t last_sent_ms; /**< last byte sent or read by the caller, or output
                              begun */
    int queued_bytes;      /**< in the kernel, not read by the caller */
    uint32_t request_count; /**< complete requests so far */
    connection_state_t state;
    sky_body_framing_t framing;
    uint16_t rejection_status; /**< status of a request that is rejected before
                                  it was read to its end, or 0 */
    bool response_has_begun;   /**< the response's head is in the output */
    bool response_has_no_body; /**< it ends with its head */
    bool sending_is_shut_down; /**< waiting for the caller to close */
    bool is_counted_open;      /**< included in open_request_count */
    bool is_closed;            /**< freed when the running callback returns */
    bool in_callback;          /**< a callback of the event loop is running */
    bool caller_was_slow;
    bool is_given_up; /**< handled as disconnected at the next read event */
    uint64_t last_activity_ms; /**< last change of state or byte of a body */
    void *user_data;
    sky_server_request_t *prev;
    sky_server_request_t *next;
};

struct sky_listener {
    sky_listener_options_t options;
    int fd;
    ev_io accept_watcher;
    ev_timer timeout_check_timer;
    sky_server_request_t *connection_list;
    uint32_t open_request_count;
    uint32_t connection_count;
    bool is_draining;
    uint32_t drain_idle_ms;
    sky_listener_stats_t stats; /**< since the last report */
    uint64_t last_report_ms;
    uint64_t rejection_second;      /**< of the last line about a rejection */
    uint32_t rejection_lines;       /**< in that second */
    uint32_t rejections_not_logged; /**< since the last such line */
    uint16_t port;
};

static void
set_state(sky_server_request_t *connection, connection_state_t state)
{
    bool is_open = state == STATE_SERVING || state == STATE_CLOSING;
    if (is_open != connection->is_counted_open) {
        connection->listener->open_request_count += is_open ? 1 : UINT32_MAX;
        connection->is_counted_open = is_open;
    }
    connection->state = state;
    connection->last_activity_ms = SkyClock_NowMs();
}

/* Memory that a buffer takes. Small ones count by their content, as they are
 * reused. */
static uint64_t
count_buffer_bytes(const sky_buffer_t *buffer)
{
    return buffer->capacity > 2 * READ_CHUNK_BYTES ? buffer->capacity
                                                   : SkyBuffer_Size(buffer);
}

static void
update_memory_share(sky_server_request_t *connection)
{
    SkyMemoryShare_Update(
        connection->listener->options.memory_share, &connection->held_bytes,
        count_buffer_bytes(&connection->input) +
            count_buffer_bytes(&connection->reader.head.text) +
            connection->reader.head.field_capacity * sizeof(sky_http_field_t) +
            count_buffer_bytes(&connection->body) +
            count_buffer_bytes(&connection->output));
}

static void
free_connection(sky_server_request_t *connection)
{
    sky_listener_t *listener = connection->listener;
    set_state(connection, STATE_IDLE);
    DL_DELETE(listener->connection_list, connection);
    listener->connection_count--;
    SkyHttpReader_Clear(&connection->reader);
    SkyBuffer_Clear(&connection->input);
    SkyBuffer_Clear(&connection->body);
    SkyBuffer_Clear(&connection->output);
    update_memory_share(connection);
    free(connection);
}

/* Closes the connection and frees it, at the end of the running callback if
 * one of the event loop is using it. */
static void
close_connection(sky_server_request_t *connection, bool with_reset)
{
    if (connection->is_closed) {
        return;
    }
    struct ev_loop *loop = connection->listener->options.loop;
    ev_io_stop(loop, &connection->read_watcher);
    ev_io_stop(loop, &connection->write_watcher);
    if (with_reset) {
        SkySocket_CloseWithReset(connection->fd);
    }
    else {
        close(connection->fd);
    }
    connection->is_closed = true;
    if (!connection->in_callback) {
        free_connection(connection);
    }
}

static void
handle_disconnect(sky_server_request_t *connection)
{
    bool is_serving = connection->state == STATE_SERVING;
    if (is_serving) {
        sky_listener_t *listener = connection->listener;
        listener->options.events.on_disconnect(listener->options.context,
                                               connection);
    }
    close_connection(connection, true);
}

static void
shut_down_sending(sky_server_request_t *connection)
{
    /* close() with unread input would reset the connection, and the caller
     * could lose the response. */
    shutdown(connection->fd, SHUT_WR);
    connection->sending_is_shut_down = true;
    connection->last_activity_ms = SkyClock_NowMs();
}

/* Makes the connection idle, or shuts down sending if it is to be closed. */
static void
end_exchange(sky_server_request_t *connection)
{
    bool stays_open = connection->state != STATE_CLOSING;
    if (!stays_open) {
        set_state(connection, STATE_CLOSING);
        shut_down_sending(connection);
        return;
    }
    set_state(connection, STATE_IDLE);
}

/* Sends the buffered output; returns false if the connection failed. */
static bool
send_output(sky_server_request_t *connection)
{
    struct ev_loop *loop = connection->listener->options.loop;
    if (!ev_is_active(&connection->write_watcher)) {
        connection->last_sent_ms = SkyClock_NowMs();
    }
    while (SkyBuffer_Size(&connection->output) > 0) {
        ssize_t sent =
            send(connection->fd, SkyBuffer_Data(&connection->output),
                 SkyBuffer_Size(&connection->output), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            ev_io_start(loop, &connection->write_watcher);
            return true;
        }
        if (sent < 0) {
            return false;
        }
        SkyBuffer_Consume(&connection->output, (size_t)sent);
        connection->queued_bytes = INT_MAX;
        connection->last_sent_ms = SkyClock_NowMs();
        update_memory_share(connection);
    }
    ev_io_stop(loop, &connection->write_watcher);
    return true;
}

/* Has the next pipelined request parsed in a callback of its own, so that
 * other connections are served in between. It waits for a caller that does not
 * read the responses. */
static void
handle_input_later(sky_server_request_t *connection)
{
    if (SkyBuffer_Size(&connection->input) > 0 &&
        SkyBuffer_Size(&connection->output) <= PIPELINE_UNSENT_BYTES) {
        ev_feed_event(connection->listener->options.loop,
                      &connection->read_watcher, EV_READ);
    }
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_server_request_t *connection = watcher->data;
    sky_listener_t *listener = connection->listener;
    connection->in_callback = true;
    if (!send_output(connection)) {
        handle_disconnect(connection);
    }
    else if (SkyBuffer_Size(&connection->output) == 0 &&
             connection->state == STATE_CLOSING &&
             !connection->sending_is_shut_down) {
        shut_down_sending(connection);
    }
    else if (connection->caller_was_slow &&
             connection->state == STATE_SERVING &&
             !SkyServerRequest_IsCallerSlow(connection)) {
        connection->caller_was_slow = false;
        if (listener->options.events.on_caller_ready != NULL) {
            listener->options.events.on_caller_ready(listener->options.context,
                                                     connection);
        }
    }
    else if (connection->state == STATE_IDLE) {
        handle_input_later(connection);
    }
    connection->in_callback = false;
    if (connection->is_closed) {
        free_connection(connection);
    }
}

static const char *
reason_phrase(uint16_t status)
{
    switch (status) {
#define XX(number, name, string)                                              \
    case number:                                                              \
        return #string;
        HTTP_STATUS_MAP(XX)
#undef XX
    default:
        return "Status";
    }
}

static bool
keeps_connection_open(const sky_server_request_t *connection)
{
    return connection->reader.head.keep_alive &&
           !connection->listener->is_draining &&
           connection->framing != SKY_FRAMING_UNTIL_CLOSE &&
           connection->rejection_status == 0;
}

static void
append_response_head(sky_server_request_t *connection, uint16_t status,
                     const char *fields, sky_body_framing_t framing,
                     uint64_t length)
{
    connection->framing = framing;
    connection->response_has_no_body =
        connection->reader.head.method == HTTP_HEAD || status == 204 ||
        status == 304;
    sky_buffer_t *output = &connection->output;
    SkyBuffer_AppendFormat(output, "HTTP/1.1 %u %s\r\n%s", status,
                           reason_phrase(status), fields);
    switch (framing) {
    case SKY_FRAMING_LENGTH:
        if (status != 204 && status != 304) {
            SkyBuffer_AppendFormat(output, "Content-Length: %llu\r\n",
                                   (unsigned long long)length);
        }
        break;
    case SKY_FRAMING_CHUNKED:
        if (!connection->response_has_no_body) {
            SkyBuffer_AppendText(output, "Transfer-Encoding: chunked\r\n");
        }
        break;
    case SKY_FRAMING_UNTIL_CLOSE:
        break;
    }
    SkyBuffer_AppendText(output, keeps_connection_open(connection)
                                     ? "\r\n"
                                     : "Connection: close\r\n\r\n");
    connection->response_has_begun = true;
}

/* There are many idle connections, so none may keep the memory of a large
 * body. */
static void
free_large_buffer(sky_buffer_t *buffer)
{
    if (buffer->capacity > READ_CHUNK_BYTES) {
        SkyBuffer_Clear(buffer);
    }
}

static void
finish_response(sky_server_request_t *connection)
{
    bool stays_open = keeps_connection_open(connection);
    connection->user_data = NULL;
    if (!stays_open) {
        set_state(connection, STATE_CLOSING);
    }
    if (!send_output(connection)) {
        close_connection(connection, true);
        return;
    }
    if (stays_open) {
        end_exchange(connection);
        SkyBuffer_Consume(&connection->body,
                          SkyBuffer_Size(&connection->body));
        free_large_buffer(&connection->body);
        SkyHttpReader_Shrink(&connection->reader);
        if (SkyBuffer_Size(&connection->output) == 0) {
            free_large_buffer(&connection->output);
        }
        update_memory_share(connection);
        handle_input_later(connection);
        return;
    }
    if (SkyBuffer_Size(&connection->output) == 0) {
        end_exchange(connection);
    }
}

/* Returns whether a response may begin. A second one would be read as the
 * response to the next request: the connection is closed instead. */
static bool
may_begin_response(sky_server_request_t *request, uint16_t status)
{
    if (request->state == STATE_SERVING && !request->response_has_begun) {
        return true;
    }
    SkyLog_Write(LOG_ERR, "second_response", "port=%u status=%u requests=%u",
                 request->listener->port, status, request->request_count);
    if (request->state == STATE_SERVING) { /* within the first response */
        request->is_given_up = true;
        ev_feed_event(request->listener->options.loop, &request->read_watcher,
                      EV_READ);
    }
    else if (request->state != STATE_CLOSING) {
        set_state(request, STATE_CLOSING);
        if (SkyBuffer_Size(&request->output) == 0) {
            end_exchange(request);
        }
    }
    return false;
}

void
SkyServerRequest_Respond(sky_server_request_t *request, uint16_t status,
                         const char *fields, const void *body, size_t size)
{
    if (!may_begin_response(request, status)) {
        return;
    }
    append_response_head(request, status, fields, SKY_FRAMING_LENGTH, size);
    if (!request->response_has_no_body) {
        SkyBuffer_Append(&request->output, body, size);
    }
    finish_response(request);
}

void
SkyServerRequest_BeginResponse(sky_server_request_t *request, uint16_t status,
                               const char *fields, sky_body_framing_t framing,
                               uint64_t length)
{
    if (!may_begin_response(request, status)) {
        return;
    }
    append_response_head(request, status, fields, framing, length);
}

void
SkyServerRequest_WriteBody(sky_server_request_t *request, const void *bytes,
                           size_t size)
{
    if (size == 0 || request->response_has_no_body ||
        request->state != STATE_SERVING) {
        return;
    }
    if (request->framing == SKY_FRAMING_CHUNKED) {
        SkyBuffer_AppendFormat(&request->output, "%zx\r\n", size);
    }
    SkyBuffer_Append(&request->output, bytes, size);
    if (request->framing == SKY_FRAMING_CHUNKED) {
        SkyBuffer_Append(&request->output, "\r\n", 2);
    }
    /* After a failed send the next read reports that the caller disconnected.
     */
    if (!send_output(request)) {
        ev_feed_event(request->listener->options.loop, &request->read_watcher,
                      EV_READ);
        SkyBuffer_Consume(&request->output, SkyBuffer_Size(&request->output));
    }
    update_memory_share(request);
    request->caller_was_slow =
        request->caller_was_slow || SkyServerRequest_IsCallerSlow(request);
}

void
SkyServerRequest_EndResponse(sky_server_request_t *request)
{
    if (request->state != STATE_SERVING) {
        return;
    }
    if (request->framing == SKY_FRAMING_CHUNKED &&
        !request->response_has_no_body) {
        SkyBuffer_AppendText(&request->output, "0\r\n\r\n");
    }
    finish_response(request);
}

void
SkyServerRequest_Abort(sky_server_request_t *request)
{
    request->user_data = NULL;
    close_connection(request, true);
}

bool
SkyServerRequest_IsCallerSlow(const sky_server_request_t *request)
{
    size_t unsent_bytes = SkyBuffer_Size(&request->output);
    return unsent_bytes > SLOW_CALLER_UNSENT_BYTES ||
           SkyMemoryShare_IsExceeded(request->listener->options.memory_share,
                                     unsent_bytes);
}

const sky_http_head_t *
SkyServerRequest_Head(const sky_server_request_t *request)
{
    return &request->reader.head;
}

const char *
SkyServerRequest_Body(const sky_server_request_t *request, size_t *size)
{
    *size = SkyBuffer_Size(&request->body);
    return SkyBuffer_Data(&request->body);
}

void
SkyServerRequest_SetUserData(sky_server_request_t *request, void *user_data)
{
    request->user_data = user_data;
}

void *
SkyServerRequest_UserData(const sky_server_request_t *request)
{
    return request->user_data;
}

/* Frees what was received: the request is refused. */
static void
refuse_for_memory(sky_server_request_t *connection)
{
    connection->listener->stats.memory_refusals++;
    connection->rejection_status = 503;
    SkyBuffer_Clear(&connection->body);
    update_memory_share(connection);
}

/* Logs a request that this listener refuses by itself, with what is known of
 * it. The caller takes 408 and 503 as a promise that it was not run. */
static void
log_rejection(const sky_server_request_t *connection, uint16_t status,
              const char *reason)
{
    sky_listener_t *listener = connection->listener;
    const sky_http_reader_t *reader = &connection->reader;
    uint64_t second = SkyClock_NowMs() / 1000;
    if (second != listener->rejection_second) {
        listener->rejection_second = second;
        listener->rejection_lines = 0;
    }
    if (listener->rejection_lines == REJECTION_LINES_PER_S) {
        listener->rejections_not_logged++;
        return;
    }
    listener->rejection_lines++;
    const char *id = NULL;
    const char *url = "-";
    /* Until a message begins, the head is that of the one before. */
    if (reader->in_message && reader->head_is_complete) {
        url = SkyHttpHead_Url(&reader->head);
        id = listener->options.id_field
                 ? SkyHttpHead_FindField(&reader->head,
                                         listener->options.id_field)
                 : NULL;
    }
    size_t path_bytes = strcspn(url, "?");
    SkyLog_WriteClass(
        status == 408 || status == 503 ? SKY_LOG_EVIDENCE : SKY_LOG_ORDINARY,
        LOG_NOTICE, "request_rejected",
        "port=%u status=%u reason=%s id=%.*s path=%.*s bytes=%llu served=%u "
        "not_logged=%u",
        listener->port, status, reason, LOGGED_TEXT_BYTES_MAX, id ? id : "-",
        path_bytes < LOGGED_TEXT_BYTES_MAX ? (int)path_bytes
                                           : LOGGED_TEXT_BYTES_MAX,
        url, (unsigned long long)connection->request_bytes,
        connection->request_count, listener->rejections_not_logged);
    listener->rejections_not_logged = 0;
}

/* Responds to a request that is not read to its end, then closes. */
static void
reject_request(sky_server_request_t *connection, uint16_t status,
               const char *reason)
{
    log_rejection(connection, status, reason);
    connection->rejection_status = status;
    connection->response_has_begun = false;
    set_state(connection, STATE_SERVING);
    SkyServerRequest_Respond(connection, status, "", "", 0);
}

static bool
on_head(void *context, const sky_http_head_t *head)
{
    sky_server_request_t *connection = context;
    const sky_listener_limits_t *limits =
        &connection->listener->options.limits;
    if (head->content_bytes > limits->max_request_body_bytes) {
        connection->rejection_status = 413;
        return false;
    }
    const char *expect = SkyHttpHead_FindField(head, "Expect");
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0) {
        SkyBuffer_AppendText(&connection->output,
                             "HTTP/1.1 100 Continue\r\n\r\n");
        return send_output(connection);
    }
    return true;
}

static bool
on_body(void *context, const char *bytes, size_t size)
{
    sky_server_request_t *connection = context;
    const sky_listener_limits_t *limits =
        &connection->listener->options.limits;
    if (SkyBuffer_Size(&connection->body) + size >
        limits->max_request_body_bytes) {
        connection->rejection_status = 413;
        return false;
    }
    if (SkyResult_IsError(SkyBuffer_Append(&connection->body, bytes, size))) {
        connection->rejection_status = 503;
        return false;
    }
    update_memory_share(connection);
    if (SkyMemoryShare_IsExceeded(connection->listener->options.memory_share,
                                  connection->held_bytes)) {
        refuse_for_memory(connection);
        return false;
    }
    return true;
}

static bool
on_complete(void *context)
{
    (void)context;
    return true;
}

static void
handle_request(sky_server_request_t *connection)
{
    sky_listener_t *listener = connection->listener;
    set_state(connection, STATE_SERVING);
    connection->response_has_begun = false;
    connection->framing = SKY_FRAMING_LENGTH;
    connection->request_count++;
    listener->options.events.on_request(listener->options.context, connection);
}

/* Rejects a request at which a callback of the reader stopped. */
static void
reject_stopped(sky_server_request_t *connection)
{
    switch (connection->rejection_status) {
    case 413:
        reject_request(connection, 413, "body_too_large");
        break;
    case 503:
        reject_request(connection, 503, "memory");
        break;
    default:
        reject_request(connection, 400, "interim_not_sent");
        break;
    }
}

static void
handle_progress(sky_server_request_t *connection, sky_http_progress_t progress)
{
    switch (progress) {
    case SKY_HTTP_INCOMPLETE:
        break;
    case SKY_HTTP_COMPLETE:
        handle_request(connection);
        break;
    case SKY_HTTP_TOO_LARGE:
        reject_request(connection, 431, "head_too_large");
        break;
    case SKY_HTTP_MALFORMED:
        reject_request(connection, 400, "malformed");
        break;
    case SKY_HTTP_STOPPED:
        reject_stopped(connection);
        break;
    }
}

/* Parses the input until a request is complete or more input is needed. */
static void
parse_input(sky_server_request_t *connection)
{
    bool is_idle = connection->state == STATE_IDLE;
    uint64_t last_activity_ms = connection->last_activity_ms;
    if (SkyBuffer_Size(&connection->input) == 0 ||
        (!is_idle && connection->state != STATE_READING) ||
        (is_idle &&
         SkyBuffer_Size(&connection->output) > PIPELINE_UNSENT_BYTES)) {
        return;
    }
    if (is_idle) {
        SkyBuffer_Consume(&connection->body,
                          SkyBuffer_Size(&connection->body));
        set_state(connection, STATE_READING);
        connection->request_began_ms = connection->last_activity_ms;
        connection->request_bytes = 0;
    }
    size_t consumed = 0;
    sky_http_progress_t progress = SkyHttpReader_Feed(
        &connection->reader, SkyBuffer_Data(&connection->input),
        SkyBuffer_Size(&connection->input), &consumed);
    SkyBuffer_Consume(&connection->input, consumed);
    connection->request_bytes += consumed;
    if (is_idle && progress == SKY_HTTP_INCOMPLETE &&
        !connection->reader.in_message) {
        /* Only line ends, which may follow a request (RFC 9112 section 2.2):
         * no request has begun that could be rejected. */
        set_state(connection, STATE_IDLE);
        connection->last_activity_ms = last_activity_ms;
        return;
    }
    if (connection->reader.head_is_complete) {
        connection->last_activity_ms = SkyClock_NowMs();
    }
    handle_progress(connection, progress);
}

/* Stops reading from a caller that pipelines requests until it has received
 * responses. */
static void
limit_read_ahead(sky_server_request_t *connection)
{
    struct ev_loop *loop = connection->listener->options.loop;
    if (connection->is_closed) {
        return;
    }
    size_t unparsed_bytes = SkyBuffer_Size(&connection->input);
    if (unparsed_bytes == 0) {
        free_large_buffer(&connection->input);
    }
    update_memory_share(connection);
    if (unparsed_bytes > READ_AHEAD_BYTES_MAX ||
        SkyMemoryShare_IsExceeded(connection->listener->options.memory_share,
                                  unparsed_bytes)) {
        ev_io_stop(loop, &connection->read_watcher);
        if (connection->state == STATE_IDLE) {
            handle_input_later(connection); /* the stop discards events */
        }
    }
    else {
        ev_io_start(loop, &connection->read_watcher);
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_server_request_t *connection = watcher->data;
    char bytes[READ_CHUNK_BYTES];
    connection->in_callback = true;
    bool reads = SkyBuffer_Size(&connection->input) <= READ_AHEAD_BYTES_MAX;
    errno = EAGAIN;
    ssize_t received =
        reads ? recv(connection->fd, bytes, sizeof bytes, 0) : -1;
    bool has_ended = received == 0 || connection->is_given_up ||
                     (received < 0 && errno != EAGAIN &&
                      errno != EWOULDBLOCK && errno != EINTR);
    if (has_ended && connection->state == STATE_CLOSING &&
        !connection->sending_is_shut_down && received == 0) {
        /* The caller closed its sending side and may still read the response.
         */
        ev_io_stop(connection->listener->options.loop,
                   &connection->read_watcher);
    }
    else if (has_ended) {
        handle_disconnect(connection);
    }
    else if (connection->state != STATE_CLOSING) {
        if (received > 0) {
            SkyBuffer_Append(&connection->input, bytes, (size_t)received);
        }
        parse_input(connection);
        limit_read_ahead(connection);
    }
    connection->in_callback = false;
    if (connection->is_closed) {
        free_connection(connection);
    }
}

static void
begin_connection(sky_listener_t *listener, int fd)
{
    static const sky_http_events_t EVENTS = {on_head, on_body, on_complete};
    sky_server_request_t *connection = calloc(1, sizeof *connection);
    if (connection == NULL) {
        close(fd);
        return;
    }
    connection->listener = listener;
    connection->fd = fd;
    SkyHttpReader_Init(&connection->reader, SKY_HTTP_REQUEST, &EVENTS,
                       connection,
                       listener->options.limits.max_request_head_bytes);
    ev_io_init(&connection->read_watcher, on_readable, fd, EV_READ);
    ev_io_init(&connection->write_watcher, on_writable, fd, EV_WRITE);
    connection->read_watcher.data = connection;
    connection->write_watcher.data = connection;
    DL_APPEND(listener->connection_list, connection);
    listener->connection_count++;
    connection->last_activity_ms = SkyClock_NowMs();
    ev_io_start(listener->options.loop, &connection->read_watcher);
}

/* Describes a connection that may be closed for a new one; returns false if it
 * may not. */
static bool
describe_held(const sky_server_request_t *connection, uint64_t now_ms,
              sky_held_connection_t *held)
{
    uint64_t since_ms = connection->last_activity_ms;
    *held =
        (sky_held_connection_t){.requests = connection->request_count,
                                .request_bytes = connection->request_bytes};
    switch (connection->state) {
    case STATE_IDLE:
        if (SkyBuffer_Size(&connection->input) > 0 ||
            SkyBuffer_Size(&connection->output) > 0) {
            return false;
        }
        held->state = SKY_HELD_IDLE;
        break;
    case STATE_READING:
        held->state = SKY_HELD_READING;
        since_ms = connection->request_began_ms;
        break;
    case STATE_CLOSING:
        if (!connection->sending_is_shut_down) {
            return false;
        }
        held->state = SKY_HELD_CLOSING;
        break;
    case STATE_SERVING:
        return false;
    }
    held->state_ms = now_ms - since_ms;
    /* A pending event may be the request that is waited for. */
    return !connection->in_callback &&
           !ev_is_pending(&connection->read_watcher) &&
           SkyConnectionShare_MayClose(held);
}

/* Closes a connection for a new one; returns false if none may be closed. */
static bool
close_for_new(sky_listener_t *listener)
{
    uint64_t now_ms = SkyClock_NowMs();
    sky_server_request_t *chosen = NULL;
    sky_held_connection_t chosen_held = {0};
    /* Not DL_FOREACH, whose variable cppcheck takes for uninitialized. */
    for (sky_server_request_t *connection = listener->connection_list;
         connection != NULL; connection = connection->next) {
        sky_held_connection_t held;
        if (describe_held(connection, now_ms, &held) &&
            (chosen == NULL ||
             SkyConnectionShare_IsClosedBefore(&held, &chosen_held))) {
            chosen = connection;
            chosen_held = held;
        }
    }
    if (chosen == NULL) {
        return false;
    }
    bool is_incomplete = chosen->state == STATE_READING;
    listener->stats.incomplete_closes += is_incomplete;
    listener->stats.idle_closes += !is_incomplete;
    close_connection(chosen, is_incomplete);
    return true;
}

static bool
is_full(const sky_listener_t *listener)
{
    return listener->options.max_connections > 0 &&
           listener->connection_count >= listener->options.max_connections;
}

static void
on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    sky_listener_t *listener = watcher->data;
    for (;;) {
        int fd = SkySocket_Accept(listener->fd);
        if (fd < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                SkyLog_Write(LOG_WARNING, "accept_failed", "error=\"%s\"",
                             strerror(errno));
                /* The connection stays acceptable: on_timeout_check() tries
                 * again. */
                ev_io_stop(loop, watcher);
            }
            return;
        }
        if (is_full(listener) && !close_for_new(listener)) {
            listener->stats.connection_closes++;
            close(fd);
            continue;
        }
        begin_connection(listener, fd);
    }
}

static void
check_body_timeouts(sky_server_request_t *connection, uint64_t now_ms)
{
    const sky_listener_options_t *options = &connection->listener->options;
    uint64_t inactive_ms = now_ms - connection->last_activity_ms;
    /* The idle timeout, and beyond it the time that the bytes take at the
     * minimum rate. */
    uint64_t allowed_ms =
        options->limits.idle_timeout_ms +
        connection->request_bytes * 1000 / SKY_REQUEST_RATE_MIN_BYTES_PER_S;
    if (now_ms - connection->request_began_ms > allowed_ms) {
        connection->listener->stats.slow_bodies++;
        reject_request(connection, 408, "slow_body");
    }
    else if (inactive_ms > options->limits.idle_timeout_ms) {
        reject_request(connection, 408, "idle_body");
    }
    else if (inactive_ms > STALL_MS &&
             SkyMemoryShare_MustStalledYield(options->memory_share,
                                             connection->held_bytes)) {
        refuse_for_memory(connection);
        reject_request(connection, 503, "memory_stalled");
    }
}

/* Records that a caller reads what the kernel has: the kernel accepts more
 * only when a third of its buffer is free, which takes a slow caller minutes.
 */
static void
record_reader_progress(sky_server_request_t *connection, uint64_t now_ms)
{
    int queued_bytes = 0;
    if (!ev_is_active(&connection->write_watcher) ||
        ioctl(connection->fd, SIOCOUTQ, &queued_bytes) != 0) {
        return;
    }
    if (queued_bytes < connection->queued_bytes) {
        connection->last_sent_ms = now_ms;
    }
    connection->queued_bytes = queued_bytes;
}

/* Ends the request of a caller that reads nothing of its response, so that it
 * holds no target. */
static void
check_reader(sky_server_request_t *connection, uint64_t now_ms)
{
    if (!connection->is_given_up && ev_is_active(&connection->write_watcher) &&
        now_ms - connection->last_sent_ms >
            connection->listener->options.limits.idle_timeout_ms) {
        /* Its end may free other requests, so it gets a callback of its own.
         */
        connection->listener->stats.slow_readers++;
        connection->is_given_up = true;
        ev_feed_event(connection->listener->options.loop,
                      &connection->read_watcher, EV_READ);
    }
}

static void
check_timeouts(sky_listener_t *listener, sky_server_request_t *connection,
               uint64_t now_ms)
{
    const sky_listener_limits_t *limits = &listener->options.limits;
    record_reader_progress(connection, now_ms);
    uint64_t last_ms = connection->last_activity_ms;
    if (connection->state != STATE_READING &&
        !connection->sending_is_shut_down &&
        connection->last_sent_ms > last_ms) {
        last_ms = connection->last_sent_ms;
    }
    double inactive_ms = (double)(now_ms - last_ms);
    uint32_t max_idle_duration_ms = listener->is_draining
                                        ? listener->drain_idle_ms
                                        : limits->idle_timeout_ms;
    connection->in_callback = true;
    switch (connection->state) {
    case STATE_IDLE:
        if (inactive_ms > max_idle_duration_ms) {
            close_connection(connection, false);
        }
        break;
    case STATE_READING:
        if (!connection->reader.head_is_complete &&
            inactive_ms > limits->head_timeout_ms) {
            reject_request(connection, 408, "head_timeout");
        }
        else if (connection->reader.head_is_complete) {
            check_body_timeouts(connection, now_ms);
        }
        break;
    case STATE_SERVING:
        check_reader(connection, now_ms);
        break;
    case STATE_CLOSING:
        if (connection->sending_is_shut_down &&
            inactive_ms > CLOSE_LINGER_MS) {
            close_connection(connection, false);
        }
        else if (!connection->sending_is_shut_down &&
                 inactive_ms > limits->idle_timeout_ms) {
            close_connection(connection, true);
        }
        break;
    }
    connection->in_callback = false;
    if (connection->is_closed) {
        free_connection(connection);
    }
}

/* Reports the clients that were refused or closed, at most once a second
 * however many there are. */
static void
report_refused_clients(sky_listener_t *listener, uint64_t now_ms)
{
    sky_listener_stats_t *stats = &listener->stats;
    uint64_t count = stats->memory_refusals + stats->idle_closes +
                     stats->incomplete_closes + stats->connection_closes +
                     stats->slow_bodies + stats->slow_readers;
    if (count == 0 || now_ms < listener->last_report_ms + REPORT_INTERVAL_MS) {
        return;
    }
    SkyLog_Write(LOG_WARNING, "clients_refused",
                 "port=%u connections=%u memory=%llu idle_closed=%llu "
                 "incomplete_closed=%llu not_accepted=%llu slow_bodies=%llu "
                 "slow_readers=%llu",
                 listener->port, listener->connection_count,
                 (unsigned long long)stats->memory_refusals,
                 (unsigned long long)stats->idle_closes,
                 (unsigned long long)stats->incomplete_closes,
                 (unsigned long long)stats->connection_closes,
                 (unsigned long long)stats->slow_bodies,
                 (unsigned long long)stats->slow_readers);
    sky_listener_stats_t *total = listener->options.stats;
    if (total != NULL) {
        total->memory_refusals += stats->memory_refusals;
        total->idle_closes += stats->idle_closes;
        total->incomplete_closes += stats->incomplete_closes;
        total->connection_closes += stats->connection_closes;
        total->slow_bodies += stats->slow_bodies;
        total->slow_readers += stats->slow_readers;
    }
    *stats = (sky_listener_stats_t){0};
    listener->last_report_ms = now_ms;
}

static void
on_timeout_check(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)events;
    sky_listener_t *listener = watcher->data;
    sky_server_request_t *connection;
    sky_server_request_t *next;
    DL_FOREACH_SAFE(listener->connection_list, connection, next)
    {
        check_timeouts(listener, connection, SkyClock_NowMs());
    }
    report_refused_clients(listener, SkyClock_NowMs());
    ev_io_start(loop, &listener->accept_watcher);
}

/* Returns the socket, or -1 with errno set. */
static int
listen_at(const sky_listener_options_t *options,
          const struct sockaddr_in *address)
{
    uint64_t began_ms = SkyClock_NowMs();
    uint64_t waited_ms = 0;
    int fd = SkySocket_Listen(address);
    while (fd < 0 && errno == EADDRINUSE &&
           waited_ms < options->address_wait_ms) {
        if (waited_ms == 0) {
            SkyLog_Write(LOG_WARNING, "address_in_use",
                         "address=%s retries_for_ms=%u", options->address,
                         options->address_wait_ms);
            SkyLog_Flush();
        }
        poll(NULL, 0, ADDRESS_RETRY_MS);
        waited_ms = SkyClock_NowMs() - began_ms;
        fd = SkySocket_Listen(address);
    }
    if (fd >= 0 && waited_ms > 0) {
        SkyLog_Write(LOG_NOTICE, "address_free", "address=%s waited_ms=%llu",
                     options->address, (unsigned long long)waited_ms);
    }
    return fd;
}

sky_result_t
SkyListener_Create(const sky_listener_options_t *options,
                   sky_listener_t **listener)
{
    struct sockaddr_in address;
    if (!SkySocket_ParseAddress(options->address, &address)) {
        return SKY_E_SETTINGS;
    }
    sky_listener_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->fd = listen_at(options, &address);
    if (self->fd < 0) {
        SkyLog_Write(LOG_ERR, "listen_failed", "address=%s error=\"%s\"",
                     options->address, strerror(errno));
        free(self);
        return SKY_E_IO;
    }
    self->port = ntohs(address.sin_port);
    ev_io_init(&self->accept_watcher, on_acceptable, self->fd, EV_READ);
    self->accept_watcher.data = self;
    ev_io_start(options->loop, &self->accept_watcher);
    ev_timer_init(&self->timeout_check_timer, on_timeout_check,
                  TIMEOUT_CHECK_INTERVAL_S, TIMEOUT_CHECK_INTERVAL_S);
    self->timeout_check_timer.data = self;
    ev_timer_start(options->loop, &self->timeout_check_timer);
    *listener = self;
    return SKY_OK;
}

void
SkyListener_Free(sky_listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    sky_server_request_t *connection;
    sky_server_request_t *next;
    DL_FOREACH_SAFE(listener->connection_list, connection, next)
    {
        close_connection(connection, false);
    }
    ev_io_stop(listener->options.loop, &listener->accept_watcher);
    ev_timer_stop(listener->options.loop, &listener->timeout_check_timer);
    close(listener->fd);
    free(listener);
}

void
SkyListener_SetLimits(sky_listener_t *listener,
                      const sky_listener_limits_t *limits)
{
    listener->options.limits = *limits;
    sky_server_request_t *connection;
    DL_FOREACH(listener->connection_list, connection)
    {
        connection->reader.max_head_bytes = limits->max_request_head_bytes;
    }
}

void
SkyListener_Drain(sky_listener_t *listener, uint32_t idle_ms)
{
    listener->is_draining = true;
    listener->drain_idle_ms = idle_ms;
}

uint32_t
SkyListener_OpenRequestCount(const sky_listener_t *listener)
{
    return listener->open_request_count;
}

uint32_t
SkyListener_ConnectionCount(const sky_listener_t *listener)
{
    return listener->connection_count;
}
