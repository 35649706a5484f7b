#include "decide/memory_share.h"

#include <stddef.h>

/** Part of the memory: buffers grow by doubling, and a request body is copied
 *  while it is sent on. */
#define SHARE_DIVISOR 4
/** Of a holder that is always kept: fits most messages, and as many of them as
 *  a host has connections. */
#define SMALL_HOLDER_BYTES (16u * 1024u)
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

bool
SkyMemoryShare_IsExceeded(const sky_memory_share_t *share, uint64_t held_bytes)
{
    return share != NULL && share->limit_bytes > 0 &&
           share->used_bytes > share->limit_bytes &&
           held_bytes > SMALL_HOLDER_BYTES;
}
