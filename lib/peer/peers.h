/**
 * @file peers.h
 * @brief Messages between hosts over ONC RPC: one queue and thread a peer.
 *
 * Delivery is at most once and may fail: the decision logic sends again what
 * matters. Batches of a peer arrive in order.
 */
#ifndef SKY_PEER_PEERS_H
#define SKY_PEER_PEERS_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    const char *listen; /**< "address:port" */
    const char *key;    /**< signs and checks batches */
    sky_host_id_t self;
    uint32_t timeout_ms; /**< of connecting and of one call */
    void (*receive)(const sky_in_message_t *in, void *context);
    void *context;
} sky_peers_options_t;

typedef struct {
    uint64_t sent;
    uint64_t dropped;
    uint64_t received;
    uint64_t rejected; /**< batches with a wrong signature or encoding */
    uint64_t bytes_sent;
} sky_peers_stats_t;

typedef struct sky_peers sky_peers_t;

/** Starts the listener; @p options->receive is called on its thread. */
sky_result_t SkyPeers_Create(const sky_peers_options_t *options,
                             sky_peers_t **peers);
/** Stops all threads and frees everything. */
void SkyPeers_Free(sky_peers_t *peers);

/** Queues a message. @param address where the host is reached now. */
void SkyPeers_Send(sky_peers_t *peers, sky_host_id_t to, const char *address,
                   const sky_msg_t *msg);

sky_peers_stats_t SkyPeers_Stats(const sky_peers_t *peers);

#ifdef __cplusplus
}
#endif
#endif
