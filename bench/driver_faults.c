/** @file driver_faults.c @brief Fault injection and queries of the state. */
#include "bench/driver_state.h"

void
Driver_PauseHost(driver_t *driver, uint32_t host, uint64_t pause_us)
{
    DriverState_Trace(driver, "pause host%u for %lu us", host, pause_us);
    uint64_t until_us = driver->now_us + pause_us;
    if (until_us > driver->hosts[host].paused_until_us) {
        driver->hosts[host].paused_until_us = until_us;
    }
}

void
Driver_DrainHost(driver_t *driver, uint32_t index)
{
    sky_input_t input = {.kind = SKY_IN_DRAIN};
    host_t *host = &driver->hosts[index];
    if (host->alive && !host->drain_requested &&
        driver->now_us >= host->paused_until_us) {
        DriverState_Trace(driver, "drain host%u", index);
        host->drain_requested = true;
        DriverState_StepHost(driver, index, &input);
    }
}

void
Driver_SetPeerLinkCut(driver_t *driver, uint32_t from, uint32_t to, bool cut)
{
    DriverState_Trace(driver, "link from host%u to host%u cut: %d", from, to,
                      cut);
    driver->peer_cut[from][to] = cut;
}

void
Driver_SetLogLinkCut(driver_t *driver, uint32_t host, bool cut)
{
    DriverState_Trace(driver, "link from host%u to the log cut: %d", host,
                      cut);
    driver->hosts[host].log_cut = cut;
}

void
Driver_SetTargetLinkCut(driver_t *driver, uint32_t host, uint32_t target,
                        bool cut)
{
    DriverState_Trace(driver, "link from host%u to target%u cut: %d", host,
                      target, cut);
    driver->target_cut[host * driver->options.node.target_count + target] =
        cut;
}

void
Driver_SetLogUnavailable(driver_t *driver, bool unavailable)
{
    DriverState_Trace(driver, "log unavailable: %d", unavailable);
    driver->log_unavailable = unavailable;
}

void
Driver_SetResponseLossRate(driver_t *driver, double fraction)
{
    driver->response_loss_rate = fraction;
}

void
Driver_SetStoreUnreachable(driver_t *driver, bool unreachable)
{
    driver->store_unreachable = unreachable;
}

void
Driver_SetStoreSlowdown(driver_t *driver, double factor)
{
    driver->store_slowdown = factor;
}

void
Driver_SetTargetLeaving(driver_t *driver, uint32_t target, bool leaving)
{
    DriverState_Trace(driver, "target%u leaving: %d", target, leaving);
    driver->targets[target].leaving_since_us = leaving ? driver->now_us : 0;
}

uint64_t
Driver_NowUs(const driver_t *driver)
{
    return driver->now_us;
}

bool
Driver_IsHostAlive(const driver_t *driver, uint32_t host)
{
    return driver->hosts[host].alive;
}

bool
Driver_IsHostReady(const driver_t *driver, uint32_t host)
{
    return driver->hosts[host].alive &&
           SkyNode_IsReady(driver->hosts[host].node,
                           DriverState_HostClockUs(driver, host));
}

const sky_node_t *
Driver_Node(const driver_t *driver, uint32_t host)
{
    return driver->hosts[host].node;
}

uint32_t
Driver_FindShardOwner(const driver_t *driver, uint32_t shard)
{
    for (uint32_t h = 0; h < driver->options.hosts; h++) {
        if (driver->hosts[h].alive &&
            SkyShard_IsActive(SkyNode_Shard(driver->hosts[h].node, shard))) {
            return h;
        }
    }
    return DRIVER_HOSTS_MAX;
}

const driver_breaches_t *
Driver_Breaches(const driver_t *driver)
{
    return &driver->breaches;
}

const driver_stats_t *
Driver_Stats(const driver_t *driver)
{
    return &driver->stats;
}
