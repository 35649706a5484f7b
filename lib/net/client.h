/**
 * @file client.h
 * @brief HTTP/1.1 client on the event loop, with connection reuse.
 *
 * A client request is sent on one connection, which also carries its response.
 * The outcome tells whether the server may have read the request: either no
 * byte of it was sent, or it may have been executed. The client never retries.
 */
#ifndef SKY_NET_CLIENT_H
#define SKY_NET_CLIENT_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "net/buffer.h"
#include "net/http_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_client sky_client_t;
typedef struct sky_client_request sky_client_request_t;

typedef enum {
    SKY_CLIENT_OUTCOME_COMPLETE, /**< a complete response was received */
    SKY_CLIENT_OUTCOME_UNSENT,   /**< no byte of the request was sent */
    /** The request was sent, at least in part. Its response is incomplete or
     *  missing. */
    SKY_CLIENT_OUTCOME_BROKEN,
    /** The request counts as sent. What was received is no valid response,
     *  or exceeds a limit. */
    SKY_CLIENT_OUTCOME_GARBLED,
    /** The request counts as sent. The response's head is valid, and on_head
     *  chose to read no more of it. */
    SKY_CLIENT_OUTCOME_STOPPED,
} sky_client_outcome_t;

/** @return the name for log lines. */
const char *SkyClientRequest_OutcomeName(sky_client_outcome_t outcome);

typedef struct {
    /** The response's head was read. Returning false ends the request as
     *  SKY_CLIENT_OUTCOME_STOPPED. */
    bool (*on_head)(void *context, const sky_http_head_t *head);
    void (*on_body)(void *context, const char *bytes, size_t size);
    /** Last callback of a request, whose pointer is invalid from here on. */
    void (*on_end)(void *context, sky_client_outcome_t outcome);
} sky_client_request_events_t;

typedef enum {
    SKY_CLIENT_ECHO_NONE,  /**< no response, or one without the echo field */
    SKY_CLIENT_ECHO_OWN,   /**< it names this request */
    SKY_CLIENT_ECHO_OTHER, /**< it names another request */
} sky_client_echo_t;

typedef enum {
    SKY_CLIENT_SENT_NONE,
    SKY_CLIENT_SENT_PART,
    SKY_CLIENT_SENT_WHOLE, /**< the kernel took the whole request */
} sky_client_sent_t;

/** @return the names for log lines. */
const char *SkyClient_EchoName(sky_client_echo_t echo);
const char *SkyClient_SentName(sky_client_sent_t sent);

/** What is known of a request's exchange, for log lines. */
typedef struct {
    uint32_t served_before; /**< requests that the connection served before */
    bool is_reused;
    sky_client_sent_t sent;
    uint64_t sent_bytes;    /**< of the request, taken by the kernel */
    uint16_t status;        /**< of the newest response that is not interim, of
                                 another request or not; 0: none */
    sky_client_echo_t echo; /**< of the same response */
    /** Responses of other requests, or that may be so, and bytes beyond the
     *  response. */
    uint32_t foreign_count;
    /** No response to an earlier request on the connection can be taken for
     *  the one to this request. */
    bool is_distinct;
} sky_client_exchange_t;

typedef struct {
    struct sockaddr_in address;
    const sky_buffer_t *request; /**< head and body; copied */
    uint32_t connect_timeout_ms;
    /** Monotonic time from which on no first byte is sent: the request then
     *  ends as unsent. 0: none. */
    uint64_t expires_us;
    /** A connection that has been idle for longer is not reused; 0: reused as
     *  long as the server keeps it. */
    uint32_t max_idle_ms;
    bool is_head_request; /**< a HEAD request: the response has no body */
    /** A larger response body ends the request as garbled; 0: any size. */
    uint64_t max_body_bytes;
    /** Uses a new connection: on an old one, a response to this request's id
     *  may still arrive that belongs to an earlier exchange. */
    bool is_new_connection;
    /** Requests without an echo value whose responses must not be taken for
     *  one another's have different numbers. The request then uses a
     *  connection on which all responses so far named their requests, or were
     *  of this series. 0: any connection. */
    uint64_t series;
    /** Name of a field that the server echoes, not copied. A response with
     *  another value in it belongs to an earlier request and is skipped; one
     *  without the field on a connection that served an earlier request may,
     *  and counts as garbled; see SkyClientRequest_NamesRequest() for one on
     *  a new connection. NULL: no such check. */
    const char *echo_field;
    /** Copied; "": the request has no such field, nor has its response. */
    const char *echo_value;
    /** Reset by SkyClient_Send() and kept up to date until on_end is called or
     *  the request is cancelled, so long it must exist. NULL: not needed. */
    sky_client_exchange_t *exchange;
    sky_client_request_events_t events;
    void *context;
} sky_client_request_options_t;

typedef struct {
    struct ev_loop *loop;
    /** Idle timeout of connections whose server sent no Keep-Alive field. */
    uint32_t default_keep_alive_ms;
    uint32_t max_idle_per_address; /**< idle connections per address */
    /** Idle connections are closed beyond so many in all; 0: any. */
    uint32_t max_connections;
    uint32_t user_timeout_ms; /**< TCP_USER_TIMEOUT; 0: the system's */
} sky_client_options_t;

typedef struct {
    uint64_t connection_attempts;
    uint64_t connection_reuses;
    uint64_t skipped_responses; /**< responses to earlier requests */
    /** Connections closed because of bytes beyond the response. */
    uint64_t unsolicited_closes;
} sky_client_stats_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyClient_Create(const sky_client_options_t *options,
                              sky_client_t **client);
void SkyClient_Free(sky_client_t *client);
const sky_client_stats_t *SkyClient_Stats(const sky_client_t *client);

/** @return a value that is equal for addresses whose connections are reused
 *          for one another. */
uint64_t SkyClient_GetAddressKey(const struct sockaddr_in *address);

/** Starts to send a request.
 *  @return NULL if out of memory; no callback follows then. */
sky_client_request_t *
SkyClient_Send(sky_client_t *client,
               const sky_client_request_options_t *options);
/** Stops or continues to read the response, so that a slow receiver of it sets
 *  the pace. */
void SkyClientRequest_SetReading(sky_client_request_t *client_request,
                                 bool is_reading);
/** Cancels the request by closing its connection. No callback follows. */
void SkyClientRequest_Cancel(sky_client_request_t *client_request);
/** @return whether any byte of the request was sent. */
bool SkyClientRequest_HasSentBytes(const sky_client_request_t *client_request);
/** @return whether the response has the value of the echo field, so that it
 *  surely answers this request. Set from on_head on. */
bool SkyClientRequest_NamesRequest(const sky_client_request_t *client_request);
/** Closes the idle connections to an address; NULL: to all addresses. */
void SkyClient_CloseIdle(sky_client_t *client,
                         const struct sockaddr_in *address);

#ifdef __cplusplus
}
#endif
#endif
