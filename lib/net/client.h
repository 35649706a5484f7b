/**
 * @file client.h
 * @brief HTTP/1.1 client on the event loop, with kept connections.
 *
 * A call is one request and its answer on one connection. Its end says what is
 * known of the request: that nothing of it was sent, or that it may have been
 * read. The client repeats nothing by itself.
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
typedef struct sky_sending sky_sending_t;

typedef enum {
    SKY_SENDING_COMPLETE, /**< a whole answer was read */
    SKY_SENDING_UNSENT,   /**< no byte of the request left this host */
    SKY_SENDING_BROKEN,   /**< sent, at least in part; no whole answer */
    SKY_SENDING_GARBLED,  /**< sent; what came back is no answer to it */
} sky_sending_end_t;

/** @return for log lines. */
const char *SkySending_EndName(sky_sending_end_t end);

typedef struct {
    /** The answer's head; false gives the answer up as garbled. */
    bool (*on_head)(void *context, const sky_http_head_t *head);
    void (*on_body)(void *context, const char *bytes, size_t size);
    /** Last call for this sending, which is gone when it returns. */
    void (*on_end)(void *context, sky_sending_end_t end);
} sky_sending_events_t;

typedef struct {
    struct sockaddr_in address;
    const sky_buffer_t *request; /**< head and body; copied */
    uint32_t connect_timeout_ms;
    uint32_t reuse_ms; /**< longest idle time of a connection used again; 0:
                            as long as the other side keeps it */
    bool bodyless;     /**< HEAD */
    /** Answers in which this field has another value belong to an earlier
     *  request and are skipped; NULL: no such check. */
    const char *echo_field;
    const char *echo_value;
    sky_sending_events_t events;
    void *context;
} sky_sending_options_t;

typedef struct {
    struct ev_loop *loop;
    uint32_t idle_ms;         /**< kept without a Keep-Alive of the server */
    uint32_t idle_per_target; /**< kept at most for one address */
    uint32_t user_timeout_ms; /**< sent bytes unconfirmed for longer: broken */
} sky_client_options_t;

typedef struct {
    uint64_t connects;
    uint64_t reuses;
    uint64_t skipped; /**< answers that belonged to an earlier request */
    uint64_t extra;   /**< connections closed for bytes nobody asked for */
} sky_client_stats_t;

sky_result_t SkyClient_Create(const sky_client_options_t *options,
                              sky_client_t **client);
void SkyClient_Free(sky_client_t *client);
const sky_client_stats_t *SkyClient_Stats(const sky_client_t *client);

/** Begins to send. NULL: out of memory, no event follows. */
sky_sending_t *SkyClient_Send(sky_client_t *client,
                              const sky_sending_options_t *options);
/** Gives up: closes the connection; no event follows. */
void SkySending_Cancel(sky_sending_t *sending);
/** @return whether any byte of the request has left this host. */
bool SkySending_IsSent(const sky_sending_t *sending);
/** Closes idle connections to an address, or to all with NULL. */
void SkyClient_DropIdle(sky_client_t *client,
                        const struct sockaddr_in *address);

#ifdef __cplusplus
}
#endif
#endif
