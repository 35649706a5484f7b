/**
 * @file store_retry.h
 * @brief When a host reads the store again that it got no records from.
 *
 * Load pattern: the store refuses all calls, or those of some hosts, for
 * seconds. Every host that gets no records from its sources then tries to read
 * itself. The hosts share one allowance of such reads without asking each
 * other: those that read for others try often, so that all get records soon
 * after the outage, and the rest in proportion to their number.
 *
 * The module does no I/O.
 */
#ifndef SKY_DECIDE_STORE_RETRY_H
#define SKY_DECIDE_STORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    SKY_STORE_ROLE_READER,   /**< reads for all, or relays to its domain */
    SKY_STORE_ROLE_FOLLOWER, /**< gets its records from other hosts */
    /** A follower that is not listed, as there are more hosts than the list
     *  of members holds. */
    SKY_STORE_ROLE_UNLISTED,
    SKY_STORE_ROLE_STARTING, /**< has no records, and no known sources */
} sky_store_role_t;

typedef struct {
    sky_store_role_t role;
    uint32_t listed_hosts; /**< members that this host knows */
    uint32_t topics;       /**< that each host reads */
    uint32_t failed_reads; /**< of the topic, in a row */
    uint64_t random;       /**< another one for each host and try */
} sky_store_retry_t;

/** @return time until the next read after a failed one. */
uint32_t SkyStoreRetry_GetDelayMs(const sky_store_retry_t *retry);

/** @return time until the first read of a host whose sources have brought no
 *          records for some time; 0 if it reads for others. */
uint32_t SkyStoreRetry_GetFirstDelayMs(const sky_store_retry_t *retry);

#ifdef __cplusplus
}
#endif
#endif
