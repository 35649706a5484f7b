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
/** Ordinary callers send their requests in less time. */
#define REQUEST_KEPT_MS 1000u

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

bool
SkyConnectionShare_MayClose(const sky_held_connection_t *connection)
{
    return connection->state != SKY_HELD_READING ||
           connection->state_ms >= REQUEST_KEPT_MS;
}

static bool
is_below_min_rate(const sky_held_connection_t *connection)
{
    return connection->request_bytes * 1000 <
           connection->state_ms * SKY_REQUEST_RATE_MIN_BYTES_PER_S;
}

/* Those with the lowest rank are closed first. */
static int
get_rank(const sky_held_connection_t *connection)
{
    switch (connection->state) {
    case SKY_HELD_IDLE:
        return connection->requests == 0 ? 0 : 3;
    case SKY_HELD_CLOSING:
        return 1;
    case SKY_HELD_READING:
        break;
    }
    return is_below_min_rate(connection) ? 2 : 4;
}

bool
SkyConnectionShare_IsClosedBefore(const sky_held_connection_t *one,
                                  const sky_held_connection_t *other)
{
    int rank = get_rank(one);
    int other_rank = get_rank(other);
    if (rank != other_rank) {
        return rank < other_rank;
    }
    if (one->state == SKY_HELD_READING) {
        /* Compares bytes per time without a division. */
        return one->request_bytes * other->state_ms <
               other->request_bytes * one->state_ms;
    }
    return one->state_ms > other->state_ms;
}
