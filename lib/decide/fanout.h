/**
 * @file fanout.h
 * @brief Which hosts read the store for all, and which hand records on.
 *
 * Load pattern: news of every target, every second, for every host. Two
 * readers that served all others by themselves filled a 10 Mbit/s link, and
 * most of what they sent crossed failure domains. One host a domain therefore
 * gets the records from a reader and hands them on in its domain. All hosts
 * that know the same members choose alike. No input or output.
 */
#ifndef SKY_DECIDE_FANOUT_H
#define SKY_DECIDE_FANOUT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_FANOUT_READERS 2 /**< one may be lost without anyone waiting */

typedef struct {
    const char *address; /**< control address */
    const char *domain;  /**< failure domain */
    uint32_t link_mbps;  /**< bandwidth of its link; 0: not known */
} sky_fanout_host_t;

/** Picks the hosts with the widest links, @p most at most.
 *  @param domain only hosts of this failure domain; NULL: of any.
 *  @return how many indices were written to @p picked, best first. */
uint32_t SkyFanout_Pick(const sky_fanout_host_t *hosts, uint32_t count,
                        const char *domain, uint32_t *picked, uint32_t most);

#ifdef __cplusplus
}
#endif
#endif
