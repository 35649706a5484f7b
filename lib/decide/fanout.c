#include "decide/fanout.h"

#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Orders hosts with equal links, whatever the sequence of the list. */
static uint64_t
hash_address(const sky_fanout_host_t *host)
{
    return XXH3_64bits(host->address, strlen(host->address));
}

static bool
is_preferred(const sky_fanout_host_t *one, const sky_fanout_host_t *other)
{
    if (one->link_mbps != other->link_mbps) {
        return one->link_mbps > other->link_mbps;
    }
    return hash_address(one) > hash_address(other);
}

uint32_t
SkyFanout_ChooseHosts(const sky_fanout_host_t *hosts, uint32_t count,
                      const char *domain, uint32_t *chosen, uint32_t max_count)
{
    uint32_t chosen_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (domain != NULL && strcmp(hosts[i].domain, domain) != 0) {
            continue;
        }
        uint32_t at = chosen_count < max_count ? chosen_count++ : max_count;
        while (at > 0 && is_preferred(&hosts[i], &hosts[chosen[at - 1]])) {
            if (at < max_count) {
                chosen[at] = chosen[at - 1];
            }
            at--;
        }
        if (at < max_count) {
            chosen[at] = i;
        }
    }
    return chosen_count;
}
