#include "decide/memory_share.h"

#include <stddef.h>

/** Part of the memory: buffers grow by doubling, and a request body is copied
 *  while it is sent on. */
#define SHARE_DIVISOR 4
/** Of a holder that is always kept: fits most messages, and as many of them as
 *  a host has connections. */
#define SMALL_HOLDER_BYTES (16u * 1024u)
/** A holder may take this many times what is left, so that the largest ones
 * are refused first, before nothing is left: nine bodies of 4 MB fit in 40 MB.
 */
#define FREE_FACTOR 4
/** Of a holder that has received or sent nothing for a while. */
#define STALLED_FREE_FACTOR 1
#define BYTES_PER_MB (1024u * 1024u)

sky_memory_share_t
SkyMemoryShare_Make(uint32_t memory_limit_mb)
{
    return (sky_memory_share_t){.limit_bytes = (uint64_t)memory_limit_mb *
                                               BYTES_PER_MB / SHARE_DIVISOR};
}

void
SkyMemoryShare_Update(sky_memory_share_t *share, uint64_t *held_bytes,
                      uint64_t bytes)
{
    if (share != NULL) {
        share->used_bytes += bytes - *held_bytes;
        *held_bytes = bytes;
    }
}

static bool
exceeds(const sky_memory_share_t *share, uint64_t held_bytes,
        uint64_t free_factor)
{
    if (share == NULL || share->limit_bytes == 0 ||
        held_bytes <= SMALL_HOLDER_BYTES) {
        return false;
    }
    uint64_t free_bytes = share->used_bytes < share->limit_bytes
                              ? share->limit_bytes - share->used_bytes
                              : 0;
    return held_bytes > free_bytes * free_factor;
}

bool
SkyMemoryShare_IsExceeded(const sky_memory_share_t *share, uint64_t held_bytes)
{
    return exceeds(share, held_bytes, FREE_FACTOR);
}

bool
SkyMemoryShare_MustStalledYield(const sky_memory_share_t *share,
                                uint64_t held_bytes)
{
    return exceeds(share, held_bytes, STALLED_FREE_FACTOR);
}
