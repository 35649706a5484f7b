#include "decide/fanout.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Equal links: an order that lists in another sequence share. */
static uint64_t
hash_of(const sky_fanout_host_t *host)
{
    return XXH3_64bits(host->address, strlen(host->address));
}

static bool
comes_before(const sky_fanout_host_t *one, const sky_fanout_host_t *other)
{
    if (one->link_mbps != other->link_mbps) {
        return one->link_mbps > other->link_mbps;
    }
    return hash_of(one) > hash_of(other);
}

uint32_t
SkyFanout_Pick(const sky_fanout_host_t *hosts, uint32_t count,
               const char *domain, uint32_t *picked, uint32_t most)
{
    uint32_t found = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (domain != NULL && strcmp(hosts[i].domain, domain) != 0) {
            continue;
        }
        uint32_t at = found < most ? found++ : most;
        while (at > 0 && comes_before(&hosts[i], &hosts[picked[at - 1]])) {
            if (at < most) {
                picked[at] = picked[at - 1];
            }
            at--;
        }
        if (at < most) {
            picked[at] = i;
        }
    }
    return found;
}
