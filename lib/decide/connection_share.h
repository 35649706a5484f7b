/**
 * @file connection_share.h
 * @brief Connections that each listener of a host may hold at once.
 *
 * Load pattern: clients open connections and send nothing, or requests that
 * never end, until the host has no descriptor left for ordinary callers and
 * for its own connections to targets, hosts and the store. The module does no
 * I/O.
 */
#ifndef SKY_DECIDE_CONNECTION_SHARE_H
#define SKY_DECIDE_CONNECTION_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Max connections; 0: any. */
typedef struct {
    uint32_t callers;
    uint32_t hosts;   /**< at the address for other hosts */
    uint32_t probes;  /**< at the ready address */
    uint32_t metrics; /**< at the metrics address */
    uint32_t own;     /**< left for this host's own connections */
} sky_connection_share_t;

/** @param max_file_descriptors of the process; 0: any. */
sky_connection_share_t SkyConnectionShare_Make(uint32_t max_file_descriptors);

/** Minimum rate of a request; the slowest mobile links reach twice as much. */
#define SKY_REQUEST_RATE_MIN_BYTES_PER_S 500u

typedef enum {
    SKY_HELD_IDLE,    /**< without a request */
    SKY_HELD_READING, /**< a request is being received */
    SKY_HELD_CLOSING, /**< responded to; waits for the client to close */
} sky_held_state_t;

/** What may be closed when a listener has no connection left. A connection
 *  whose request is being served is never closed. */
typedef struct {
    sky_held_state_t state;
    uint64_t state_ms;      /**< how long it has been in this state */
    uint32_t requests;      /**< complete ones so far */
    uint64_t request_bytes; /**< received of the current one */
} sky_held_connection_t;

/** @return whether the connection may be closed for a new one: not while its
 *          request is as young as those of ordinary callers are. */
bool SkyConnectionShare_MayClose(const sky_held_connection_t *connection);
/** @return whether @p one is closed before @p other. In this order: those that
 *          never sent anything, those that were responded to, requests below
 *          the minimum rate, idle ones, other incomplete requests; among equal
 *          ones the slowest request, or the longest in its state. */
bool SkyConnectionShare_IsClosedBefore(const sky_held_connection_t *one,
                                       const sky_held_connection_t *other);

#ifdef __cplusplus
}
#endif
#endif
