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

/** What may be closed when a listener has no connection left. */
typedef struct {
    uint64_t idle_ms;  /**< without a request */
    uint32_t requests; /**< received so far */
} sky_idle_connection_t;

/** @return whether @p one is closed before @p other: connections that never
 *          had a request go first, then the longest idle ones. */
int SkyConnectionShare_IsClosedBefore(const sky_idle_connection_t *one,
                                      const sky_idle_connection_t *other);

#ifdef __cplusplus
}
#endif
#endif
