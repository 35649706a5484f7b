#include "decide/connection_share.h"

/** Log, settings, event loop and everything else that is no connection. */
#define FILE_DESCRIPTORS 200u
/* Parts of the other descriptors. Each request of a caller needs a connection
 * to a target or a host, and each of 330 hosts has up to two connections to
 * this one. */
#define PARTS 32u
#define CALLER_PARTS 10u
#define HOST_PARTS 8u
#define PROBE_PARTS 1u
#define METRICS_PARTS 1u
/** A listener serves on if the limit is too low for any division. */
#define CONNECTIONS_MIN 8u

static uint32_t
get_part(uint32_t sockets, uint32_t parts)
{
    uint32_t count = sockets / PARTS * parts;
    return count > CONNECTIONS_MIN ? count : CONNECTIONS_MIN;
}

sky_connection_share_t
SkyConnectionShare_Make(uint32_t max_file_descriptors)
{
    if (max_file_descriptors == 0) {
        return (sky_connection_share_t){0};
    }
    uint32_t sockets = max_file_descriptors > FILE_DESCRIPTORS
                           ? max_file_descriptors - FILE_DESCRIPTORS
                           : 0;
    sky_connection_share_t share = {.callers = get_part(sockets, CALLER_PARTS),
                                    .hosts = get_part(sockets, HOST_PARTS),
                                    .probes = get_part(sockets, PROBE_PARTS),
                                    .metrics =
                                        get_part(sockets, METRICS_PARTS)};
    uint32_t taken =
        share.callers + share.hosts + share.probes + share.metrics;
    share.own = sockets > taken ? sockets - taken : 0;
    return share;
}

int
SkyConnectionShare_IsClosedBefore(const sky_idle_connection_t *one,
                                  const sky_idle_connection_t *other)
{
    if ((one->requests == 0) != (other->requests == 0)) {
        return one->requests == 0;
    }
    return one->idle_ms > other->idle_ms;
}
