/**
 * @file fanout.h
 * @brief Chooses the hosts that read the store for all, and those that relay
 *        its records.
 *
 * Load pattern: an update of every target, every second, for every host. Two
 * readers that served all other hosts themselves saturated a 10 Mbit/s link,
 * and most of what they sent crossed failure domains. One host of each failure
 * domain therefore fetches the records from a reader and relays them within
 * its domain. All hosts that know the same members make the same choice. The
 * module does no I/O.
 */
#ifndef SKY_DECIDE_FANOUT_H
#define SKY_DECIDE_FANOUT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** With two readers, one may fail without a delay for any host. */
#define SKY_FANOUT_READER_COUNT 2

typedef struct {
    const char *address; /**< control address */
    const char *domain;  /**< failure domain */
    uint32_t link_mbps;  /**< bandwidth of its link; 0: unknown */
} sky_fanout_host_t;

/** Chooses the hosts with the highest link bandwidth.
 *  @param domain failure domain of the hosts; NULL: any.
 *  @return number of indices written to @p chosen, best first; @p max_count or
 *          fewer. */
uint32_t SkyFanout_ChooseHosts(const sky_fanout_host_t *hosts, uint32_t count,
                               const char *domain, uint32_t *chosen,
                               uint32_t max_count);

#ifdef __cplusplus
}
#endif
#endif
