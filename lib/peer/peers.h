/**
 * @file peers.h
 * @brief Messages between hosts over ONC RPC, with one queue and one sender
 *        thread per peer.
 *
 * Delivery is at most once and may fail; the decision logic retries the
 * messages that it needs. Batches from one peer arrive in order.
 */
#ifndef SKY_PEER_PEERS_H
#define SKY_PEER_PEERS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    const char *listen; /**< "address:port" */
    const char *key;    /**< shared key that signs and verifies batches */
    sky_host_id_t self;
    uint32_t timeout_ms; /**< of a connection attempt, and of one call */
    /** Called for each message received, on the server's thread. */
    void (*on_message)(const sky_in_message_t *in, void *context);
    void *context;
} sky_peers_options_t;

/** Messages are counted, but for `batches_rejected` and `bytes_sent`. */
typedef struct {
    uint64_t sent;
    uint64_t dropped; /**< unsent, or sent but not acknowledged */
    uint64_t received;
    uint64_t
        batches_rejected; /**< batches with a wrong signature or encoding */
    uint64_t bytes_sent;  /**< bodies of batches, without signatures */
} sky_peers_stats_t;

typedef struct sky_peers sky_peers_t;

/** Starts the server. The strings of @p options must outlive it; a process can
 *  have one at a time.
 *  @return SKY_OK, SKY_E_MEMORY or SKY_E_IO. */
sky_result_t SkyPeers_Create(const sky_peers_options_t *options,
                             sky_peers_t **peers);
/** Stops all threads and frees the queues; queued messages are dropped. */
void SkyPeers_Free(sky_peers_t *peers);

/** Queues a message; never blocks on the network.
 *  @param address current "address:port" of the host, in a buffer of
 *         SKY_ADDRESS_BYTES. */
void SkyPeers_Send(sky_peers_t *peers, sky_host_id_t to, const char *address,
                   const sky_msg_t *msg);

sky_peers_stats_t SkyPeers_GetStats(const sky_peers_t *peers);

#ifdef __cplusplus
}
#endif
#endif
