#include "net/listener.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "core/clock.h"
#include "core/logging.h"
#include "net/socket.h"

#define READ_BYTES 16384u         /**< one read; a usual request fits whole */
#define SLOW_BYTES (256u * 1024u) /**< unsent: a slow caller */
#define PIPELINE_BYTES (64u * 1024u) /**< sent ahead by a caller, kept */
#define LINGER_MS 1000u /**< a refused request may still be on its way */
#define SWEEP_S 0.1     /**< granularity of time-outs */

typedef enum {
    STATE_IDLE,    /**< between requests */
    STATE_READING, /**< a request is coming in */
    STATE_BUSY,    /**< a visit is open */
    STATE_CLOSING, /**< the answer goes out, then the connection closes */
} state_t;

struct sky_visit {
    sky_listener_t *listener;
    int fd;
    ev_io reads;
    ev_io writes;
    sky_http_reader_t reader;
    sky_buffer_t in;   /**< bytes read ahead of the present request */
    sky_buffer_t body; /**< of the present request */
    sky_buffer_t out;
    state_t state;
    sky_framing_t framing;
    uint16_t early_status; /**< a request refused before its end, or 0 */
    bool begun;            /**< an answer's head is out */
    bool shut;             /**< our side is closed, waits for the caller's */
    bool counted;
    bool dead; /**< freed at the end of the turn */
    bool in_turn;
    bool was_slow;
    uint64_t since_ms; /**< begin of the present state or last byte */
    void *user;
    sky_visit_t *prev;
    sky_visit_t *next;
};

struct sky_listener {
    sky_listener_options_t options;
    int fd;
    ev_io accepts;
    ev_timer sweep;
    sky_visit_t *visits;
    uint32_t open;
    uint32_t connections;
    bool draining;
    uint32_t drain_idle_ms;
};

static void
set_state(sky_visit_t *visit, state_t state)
{
    bool counts = state == STATE_BUSY || state == STATE_CLOSING;
    if (counts != visit->counted) {
        visit->listener->open += counts ? 1 : UINT32_MAX;
        visit->counted = counts;
    }
    visit->state = state;
    visit->since_ms = SkyClock_NowMs();
}

static void
free_visit(sky_visit_t *visit)
{
    sky_listener_t *listener = visit->listener;
    set_state(visit, STATE_IDLE);
    DL_DELETE(listener->visits, visit);
    listener->connections--;
    SkyHttp_Clear(&visit->reader);
    SkyBuffer_Clear(&visit->in);
    SkyBuffer_Clear(&visit->body);
    SkyBuffer_Clear(&visit->out);
    free(visit);
}

/* Closes the connection. The memory stays until the present turn ends. */
static void
close_visit(sky_visit_t *visit, bool reset)
{
    if (visit->dead) {
        return;
    }
    struct ev_loop *loop = visit->listener->options.loop;
    ev_io_stop(loop, &visit->reads);
    ev_io_stop(loop, &visit->writes);
    if (reset) {
        SkySocket_CloseWithReset(visit->fd);
    }
    else {
        close(visit->fd);
    }
    visit->dead = true;
    if (!visit->in_turn) {
        free_visit(visit);
    }
}

static void
caller_left(sky_visit_t *visit)
{
    bool busy = visit->state == STATE_BUSY;
    if (busy) {
        sky_listener_t *listener = visit->listener;
        listener->options.events.on_gone(listener->options.context, visit);
    }
    close_visit(visit, true);
}

static void
shut_down(sky_visit_t *visit)
{
    /* Closing with unread bytes would reset the answer away. */
    shutdown(visit->fd, SHUT_WR);
    visit->shut = true;
    visit->since_ms = SkyClock_NowMs();
}

static void
answer_done(sky_visit_t *visit)
{
    bool again = visit->state != STATE_CLOSING;
    if (!again) {
        set_state(visit, STATE_CLOSING);
        shut_down(visit);
        return;
    }
    set_state(visit, STATE_IDLE);
}

/* Sends what is buffered; false if the connection is gone. */
static bool
flush(sky_visit_t *visit)
{
    struct ev_loop *loop = visit->listener->options.loop;
    while (SkyBuffer_Size(&visit->out) > 0) {
        ssize_t sent = send(visit->fd, SkyBuffer_Data(&visit->out),
                            SkyBuffer_Size(&visit->out), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            ev_io_start(loop, &visit->writes);
            return true;
        }
        if (sent < 0) {
            return false;
        }
        SkyBuffer_Consume(&visit->out, (size_t)sent);
    }
    ev_io_stop(loop, &visit->writes);
    return true;
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_visit_t *visit = watcher->data;
    sky_listener_t *listener = visit->listener;
    visit->in_turn = true;
    if (!flush(visit)) {
        caller_left(visit);
    }
    else if (SkyBuffer_Size(&visit->out) == 0 &&
             visit->state == STATE_CLOSING && !visit->shut) {
        shut_down(visit);
    }
    else if (visit->was_slow && visit->state == STATE_BUSY &&
             !SkyVisit_IsSlow(visit)) {
        visit->was_slow = false;
        if (listener->options.events.on_room != NULL) {
            listener->options.events.on_room(listener->options.context, visit);
        }
    }
    visit->in_turn = false;
    if (visit->dead) {
        free_visit(visit);
    }
}

static const char *
reason(uint16_t status)
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
stays_open(const sky_visit_t *visit)
{
    return visit->reader.head.keep_alive && !visit->listener->draining &&
           visit->framing != SKY_FRAMING_CLOSING && visit->early_status == 0;
}

static void
put_head(sky_visit_t *visit, uint16_t status, const char *fields,
         sky_framing_t framing, uint64_t length)
{
    visit->framing = framing;
    sky_buffer_t *out = &visit->out;
    SkyBuffer_Format(out, "HTTP/1.1 %u %s\r\n%s", status, reason(status),
                     fields);
    switch (framing) {
    case SKY_FRAMING_LENGTH:
        if (status != 204 && status != 304) {
            SkyBuffer_Format(out, "Content-Length: %llu\r\n",
                             (unsigned long long)length);
        }
        break;
    case SKY_FRAMING_CHUNKS:
        SkyBuffer_AppendText(out, "Transfer-Encoding: chunked\r\n");
        break;
    case SKY_FRAMING_CLOSING:
        break;
    }
    SkyBuffer_AppendText(out, stays_open(visit) ? "\r\n"
                                                : "Connection: close\r\n\r\n");
    visit->begun = true;
}

/* Idle connections are many; a large body must not stay with them. */
static void
release_large(sky_buffer_t *buffer)
{
    if (buffer->capacity > READ_BYTES) {
        SkyBuffer_Clear(buffer);
    }
}

static void
finish(sky_visit_t *visit)
{
    bool open = stays_open(visit);
    visit->user = NULL;
    if (!open) {
        set_state(visit, STATE_CLOSING);
    }
    if (!flush(visit)) {
        close_visit(visit, true);
        return;
    }
    if (open) {
        answer_done(visit);
        release_large(&visit->body);
        if (SkyBuffer_Size(&visit->in) > 0) {
            ev_feed_event(visit->listener->options.loop, &visit->reads,
                          EV_READ);
        }
        return;
    }
    if (SkyBuffer_Size(&visit->out) == 0) {
        answer_done(visit);
    }
}

void
SkyVisit_Answer(sky_visit_t *visit, uint16_t status, const char *fields,
                const void *body, size_t size)
{
    put_head(visit, status, fields, SKY_FRAMING_LENGTH, size);
    bool headless = visit->reader.head.method == HTTP_HEAD;
    if (!headless) {
        SkyBuffer_Append(&visit->out, body, size);
    }
    finish(visit);
}

void
SkyVisit_Begin(sky_visit_t *visit, uint16_t status, const char *fields,
               sky_framing_t framing, uint64_t length)
{
    put_head(visit, status, fields, framing, length);
}

void
SkyVisit_Write(sky_visit_t *visit, const void *bytes, size_t size)
{
    if (size == 0) {
        return;
    }
    if (visit->framing == SKY_FRAMING_CHUNKS) {
        SkyBuffer_Format(&visit->out, "%zx\r\n", size);
    }
    SkyBuffer_Append(&visit->out, bytes, size);
    if (visit->framing == SKY_FRAMING_CHUNKS) {
        SkyBuffer_Append(&visit->out, "\r\n", 2);
    }
    /* A failed send shows as the caller's leaving when next read. */
    if (!flush(visit)) {
        ev_feed_event(visit->listener->options.loop, &visit->reads, EV_READ);
        SkyBuffer_Consume(&visit->out, SkyBuffer_Size(&visit->out));
    }
    visit->was_slow = visit->was_slow || SkyVisit_IsSlow(visit);
}

void
SkyVisit_End(sky_visit_t *visit)
{
    if (visit->framing == SKY_FRAMING_CHUNKS) {
        SkyBuffer_AppendText(&visit->out, "0\r\n\r\n");
    }
    finish(visit);
}

void
SkyVisit_Abort(sky_visit_t *visit)
{
    visit->user = NULL;
    close_visit(visit, true);
}

bool
SkyVisit_IsSlow(const sky_visit_t *visit)
{
    return SkyBuffer_Size(&visit->out) > SLOW_BYTES;
}

const sky_http_head_t *
SkyVisit_Head(const sky_visit_t *visit)
{
    return &visit->reader.head;
}

const char *
SkyVisit_Body(const sky_visit_t *visit, size_t *size)
{
    *size = SkyBuffer_Size(&visit->body);
    return SkyBuffer_Data(&visit->body);
}

void
SkyVisit_SetUser(sky_visit_t *visit, void *user)
{
    visit->user = user;
}

void *
SkyVisit_User(const sky_visit_t *visit)
{
    return visit->user;
}

/* Answers a request that is not read to its end, and closes. */
static void
refuse_early(sky_visit_t *visit, uint16_t status)
{
    visit->early_status = status;
    set_state(visit, STATE_BUSY);
    SkyVisit_Answer(visit, status, "", "", 0);
}

static bool
on_head(void *context, const sky_http_head_t *head)
{
    sky_visit_t *visit = context;
    const sky_listener_limits_t *limits = &visit->listener->options.limits;
    if (head->content_bytes > limits->body_bytes) {
        visit->early_status = 413;
        return false;
    }
    const char *expect = SkyHttp_Field(head, "Expect");
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0) {
        SkyBuffer_AppendText(&visit->out, "HTTP/1.1 100 Continue\r\n\r\n");
        return flush(visit);
    }
    return true;
}

static bool
on_body(void *context, const char *bytes, size_t size)
{
    sky_visit_t *visit = context;
    const sky_listener_limits_t *limits = &visit->listener->options.limits;
    if (SkyBuffer_Size(&visit->body) + size > limits->body_bytes) {
        visit->early_status = 413;
        return false;
    }
    if (SkyResult_IsError(SkyBuffer_Append(&visit->body, bytes, size))) {
        visit->early_status = 503;
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
begin_visit(sky_visit_t *visit)
{
    sky_listener_t *listener = visit->listener;
    set_state(visit, STATE_BUSY);
    visit->begun = false;
    visit->framing = SKY_FRAMING_LENGTH;
    listener->options.events.on_request(listener->options.context, visit);
}

static void
take_progress(sky_visit_t *visit, sky_http_progress_t progress)
{
    switch (progress) {
    case SKY_HTTP_MORE:
        break;
    case SKY_HTTP_COMPLETE:
        begin_visit(visit);
        break;
    case SKY_HTTP_TOO_LARGE:
        refuse_early(visit, 431);
        break;
    case SKY_HTTP_MALFORMED:
        refuse_early(visit, 400);
        break;
    case SKY_HTTP_STOPPED:
        refuse_early(visit, visit->early_status ? visit->early_status : 400);
        break;
    }
}

/* Parses what was read, one request after the other. */
static void
take_input(sky_visit_t *visit)
{
    while (!visit->dead && SkyBuffer_Size(&visit->in) > 0 &&
           (visit->state == STATE_IDLE || visit->state == STATE_READING)) {
        if (visit->state == STATE_IDLE) {
            SkyBuffer_Consume(&visit->body, SkyBuffer_Size(&visit->body));
            set_state(visit, STATE_READING);
        }
        size_t used = 0;
        sky_http_progress_t progress =
            SkyHttp_Feed(&visit->reader, SkyBuffer_Data(&visit->in),
                         SkyBuffer_Size(&visit->in), &used);
        SkyBuffer_Consume(&visit->in, used);
        if (visit->reader.head_is_complete) {
            visit->since_ms = SkyClock_NowMs();
        }
        take_progress(visit, progress);
    }
}

/* A caller that sends ahead is read no further until it was answered. */
static void
limit_reading(sky_visit_t *visit)
{
    struct ev_loop *loop = visit->listener->options.loop;
    if (visit->dead) {
        return;
    }
    if (SkyBuffer_Size(&visit->in) > PIPELINE_BYTES) {
        ev_io_stop(loop, &visit->reads);
    }
    else {
        ev_io_start(loop, &visit->reads);
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_visit_t *visit = watcher->data;
    char bytes[READ_BYTES];
    visit->in_turn = true;
    ssize_t got = recv(visit->fd, bytes, sizeof bytes, 0);
    bool left = got == 0 || (got < 0 && errno != EAGAIN &&
                             errno != EWOULDBLOCK && errno != EINTR);
    if (left && visit->state == STATE_CLOSING && !visit->shut && got == 0) {
        /* Half-closed: the answer may still be read. */
        ev_io_stop(visit->listener->options.loop, &visit->reads);
    }
    else if (left) {
        caller_left(visit);
    }
    else if (visit->state != STATE_CLOSING) {
        if (got > 0) {
            SkyBuffer_Append(&visit->in, bytes, (size_t)got);
        }
        take_input(visit);
        limit_reading(visit);
    }
    visit->in_turn = false;
    if (visit->dead) {
        free_visit(visit);
    }
}

static void
on_acceptable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    sky_listener_t *listener = watcher->data;
    static const sky_http_events_t EVENTS = {on_head, on_body, on_complete};
    for (;;) {
        int fd = SkySocket_Accept(listener->fd);
        if (fd < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                SkyLog_Write(LOG_WARNING, "accept_failed", "error=\"%s\"",
                             strerror(errno));
            }
            return;
        }
        sky_visit_t *visit = calloc(1, sizeof *visit);
        if (visit == NULL) {
            close(fd);
            return;
        }
        visit->listener = listener;
        visit->fd = fd;
        SkyHttp_InitReader(&visit->reader, SKY_HTTP_REQUEST, &EVENTS, visit,
                           listener->options.limits.head_bytes);
        ev_io_init(&visit->reads, on_readable, fd, EV_READ);
        ev_io_init(&visit->writes, on_writable, fd, EV_WRITE);
        visit->reads.data = visit;
        visit->writes.data = visit;
        DL_APPEND(listener->visits, visit);
        listener->connections++;
        visit->since_ms = SkyClock_NowMs();
        ev_io_start(loop, &visit->reads);
    }
}

static void
sweep_visit(sky_listener_t *listener, sky_visit_t *visit, uint64_t now_ms)
{
    const sky_listener_limits_t *limits = &listener->options.limits;
    double waited_ms = (double)(now_ms - visit->since_ms);
    uint32_t idle_ms =
        listener->draining ? listener->drain_idle_ms : limits->idle_timeout_ms;
    visit->in_turn = true;
    switch (visit->state) {
    case STATE_IDLE:
        if (waited_ms > idle_ms) {
            close_visit(visit, false);
        }
        break;
    case STATE_READING:
        if (!visit->reader.head_is_complete &&
            waited_ms > limits->head_timeout_ms) {
            refuse_early(visit, 408);
        }
        else if (waited_ms > limits->idle_timeout_ms) {
            refuse_early(visit, 408);
        }
        break;
    case STATE_BUSY:
        break;
    case STATE_CLOSING:
        if (visit->shut && waited_ms > LINGER_MS) {
            close_visit(visit, false);
        }
        else if (!visit->shut && waited_ms > limits->idle_timeout_ms) {
            close_visit(visit, true);
        }
        break;
    }
    visit->in_turn = false;
    if (visit->dead) {
        free_visit(visit);
    }
}

static void
on_sweep(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_listener_t *listener = watcher->data;
    sky_visit_t *visit;
    sky_visit_t *next;
    DL_FOREACH_SAFE(listener->visits, visit, next)
    {
        sweep_visit(listener, visit, SkyClock_NowMs());
    }
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
    self->fd = SkySocket_Listen(&address);
    if (self->fd < 0) {
        SkyLog_Write(LOG_ERR, "listen_failed", "address=%s error=\"%s\"",
                     options->address, strerror(errno));
        free(self);
        return SKY_E_IO;
    }
    ev_io_init(&self->accepts, on_acceptable, self->fd, EV_READ);
    self->accepts.data = self;
    ev_io_start(options->loop, &self->accepts);
    ev_timer_init(&self->sweep, on_sweep, SWEEP_S, SWEEP_S);
    self->sweep.data = self;
    ev_timer_start(options->loop, &self->sweep);
    *listener = self;
    return SKY_OK;
}

void
SkyListener_Free(sky_listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    sky_visit_t *visit;
    sky_visit_t *next;
    DL_FOREACH_SAFE(listener->visits, visit, next)
    {
        close_visit(visit, false);
    }
    ev_io_stop(listener->options.loop, &listener->accepts);
    ev_timer_stop(listener->options.loop, &listener->sweep);
    close(listener->fd);
    free(listener);
}

void
SkyListener_SetLimits(sky_listener_t *listener,
                      const sky_listener_limits_t *limits)
{
    listener->options.limits = *limits;
    sky_visit_t *visit;
    DL_FOREACH(listener->visits, visit)
    {
        visit->reader.max_head_bytes = limits->head_bytes;
    }
}

void
SkyListener_Drain(sky_listener_t *listener, uint32_t idle_ms)
{
    listener->draining = true;
    listener->drain_idle_ms = idle_ms;
}

uint32_t
SkyListener_Open(const sky_listener_t *listener)
{
    return listener->open;
}

uint32_t
SkyListener_Connections(const sky_listener_t *listener)
{
    return listener->connections;
}
