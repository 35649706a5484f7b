/**
 * @file memory_share.h
 * @brief Memory of a host that bytes received from others may take together.
 *
 * Load pattern: many callers or targets send large messages, each within its
 * own limit, and don't end them. Small messages are always kept, so that those
 * of everyone else are not affected. The module does no I/O.
 */
#ifndef SKY_DECIDE_MEMORY_SHARE_H
#define SKY_DECIDE_MEMORY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint64_t limit_bytes; /**< 0: any */
    uint64_t used_bytes;  /**< by all holders together */
} sky_memory_share_t;

/** @return a share of the memory that a process may take; 0: any. */
sky_memory_share_t SkyMemoryShare_Make(uint32_t memory_limit_mb);

/** Records what one holder takes now.
 *  @param share NULL: nothing is recorded
 *  @param held_bytes what it took at the last call, 0 at first; updated */
void SkyMemoryShare_Update(sky_memory_share_t *share, uint64_t *held_bytes,
                           uint64_t bytes);

/** @return whether a holder of @p held_bytes may not take more now: it takes
 *          too much for what is left, and is none of the small ones. The less
 *          is left, the smaller are the holders that are refused. */
bool SkyMemoryShare_IsExceeded(const sky_memory_share_t *share,
                               uint64_t held_bytes);
/** @return the same for a holder that makes no progress, which has to give way
 *          earlier. */
bool SkyMemoryShare_MustStalledYield(const sky_memory_share_t *share,
                                     uint64_t held_bytes);

#ifdef __cplusplus
}
#endif
#endif
