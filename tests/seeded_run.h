/**
 * @file seeded_run.h
 * @brief One long run under random faults; the seed determines all of it.
 */
#ifndef SEEDED_RUN_H
#define SEEDED_RUN_H

#include <cstdlib>
#include <map>

#include "simulated_cluster.h"

static const uint32_t SEEDED_HOSTS = 6;

/** Begins or ends one random fault per step; several are usually active. */
class RandomFaults {
  public:
    explicit RandomFaults(SimulatedCluster &simulated) : cluster(simulated)
    {
    }

    void
    Step()
    {
        driver_t *d = cluster.driver;
        uint32_t host = Driver_RandomBelow(d, SEEDED_HOSTS);
        uint32_t other = Driver_RandomBelow(d, SEEDED_HOSTS);
        uint32_t target =
            Driver_RandomBelow(d, (uint32_t)cluster.targets.size());
        bool begins = Driver_RandomBelow(d, 3) == 0;
        if (log_unavailable_since_us != 0 &&
            Driver_NowUs(d) >
                log_unavailable_since_us + cluster.options.retention_us / 3) {
            SetLogUnavailable(false);
        }
        switch (Driver_RandomBelow(d, 17)) {
        case 0:
        case 1:
            Driver_KillHost(d, host);
            break;
        case 2:
        case 3:
        case 4:
            Driver_StartHost(d, host);
            break;
        case 5:
        case 6:
            Driver_PauseHost(d, host, Driver_RandomBelow(d, 8000) * 1000);
            break;
        case 7:
            Driver_SetPeerLinkCut(d, host, other, begins);
            break;
        case 8:
            Driver_SetPeerLinkCut(d, host, other, begins);
            Driver_SetPeerLinkCut(d, other, host, begins);
            break;
        case 9:
            Driver_SetLogLinkCut(d, host, begins);
            break;
        case 10:
            SetLogUnavailable(begins);
            break;
        case 11:
            Driver_SetResponseLossRate(d, begins ? 0.3 : 0.0);
            break;
        case 12:
            Driver_SetStoreUnreachable(d, begins);
            break;
        case 13:
            Driver_CrashTarget(d, target);
            break;
        case 14:
            Driver_SetTargetLeaving(d, target, begins);
            break;
        case 15:
            Driver_DrainHost(d, host);
            break;
        case 16:
            Driver_SetTargetLinkCut(d, host, target, begins);
            break;
        }
    }

    /** Ends all faults and starts every host. */
    void
    EndAll()
    {
        driver_t *d = cluster.driver;
        Driver_SetLogUnavailable(d, false);
        Driver_SetResponseLossRate(d, 0);
        Driver_SetStoreUnreachable(d, false);
        for (uint32_t h = 0; h < SEEDED_HOSTS; h++) {
            Driver_SetLogLinkCut(d, h, false);
            for (uint32_t o = 0; o < SEEDED_HOSTS; o++) {
                Driver_SetPeerLinkCut(d, h, o, false);
            }
            for (uint32_t t = 0; t < cluster.targets.size(); t++) {
                Driver_SetTargetLinkCut(d, h, t, false);
                Driver_SetTargetLeaving(d, t, false);
            }
            Driver_StartHost(d, h);
        }
    }

  private:
    /** Outages of the log are limited to a third of its retention. If an
     *  outage outlasts the retention and every host is replaced during it, no
     *  copy of the configuration is left. */
    void
    SetLogUnavailable(bool unavailable)
    {
        if (unavailable && log_unavailable_since_us == 0) {
            log_unavailable_since_us = Driver_NowUs(cluster.driver);
        }
        if (!unavailable) {
            log_unavailable_since_us = 0;
        }
        Driver_SetLogUnavailable(cluster.driver, unavailable);
    }

    SimulatedCluster &cluster;
    uint64_t log_unavailable_since_us = 0;
};

/** Sends requests of all kinds; keyed and crashing ones are repeated through
 *  other hosts. */
class RandomRequests {
  public:
    explicit RandomRequests(SimulatedCluster &simulated) : cluster(simulated)
    {
    }

    void
    Step()
    {
        driver_t *d = cluster.driver;
        uint32_t host = Driver_RandomBelow(d, SEEDED_HOSTS);
        uint32_t kind = Driver_RandomBelow(d, 40);
        if (kind == 0) {
            Crash(host);
        }
        else if (kind < 6) {
            SendKeyedRequest(host);
        }
        else {
            uint32_t adapter =
                Driver_RandomBelow(d, 1 + Driver_RandomBelow(d, 30));
            /* Not within the call: the order in which arguments are evaluated
             * differs between machines, a seed's run must not. */
            uint32_t tokens = 5 + Driver_RandomBelow(d, 60);
            uint32_t timeout_ms = 2000 + Driver_RandomBelow(d, 15000);
            cluster.SendRequest(host, adapter, timeout_ms, tokens);
        }
    }

  private:
    /** Sends a request with a key that is issued at the start of a period and
     *  used throughout it. */
    void
    SendKeyedRequest(uint32_t host)
    {
        const uint64_t PERIOD_US = 40 * SECOND;
        uint64_t now_us = Driver_NowUs(cluster.driver);
        uint64_t key =
            now_us / PERIOD_US * 100 + Driver_RandomBelow(cluster.driver, 10);
        cluster.SendKeyedRequest(host, key, now_us % PERIOD_US / 1000);
    }

    /** Sends a crashing request with the same fingerprint through any host. */
    void
    Crash(uint32_t host)
    {
        driver_request_t request = SimulatedCluster::Request(2, 10000, 20);
        request.crashes_targets = true;
        request.fingerprint =
            0xdead0000 + Driver_NowUs(cluster.driver) / (60 * SECOND);
        Driver_SubmitRequest(cluster.driver, host, &request);
    }

    SimulatedCluster &cluster;
};

/** Two operators who change one document at the same time through random
 *  hosts. */
class Operators {
  public:
    explicit Operators(SimulatedCluster &simulated) : cluster(simulated)
    {
    }

    void
    Step()
    {
        driver_t *d = cluster.driver;
        for (int i = 0; i < 2; i++) {
            uint32_t host = Driver_RandomBelow(d, SEEDED_HOSTS);
            if (!Driver_IsHostAlive(d, host)) {
                continue;
            }
            change_t change = {};
            change.base = SimulatedCluster::Revision(Driver_Node(d, host));
            change.token = Driver_SubmitConfigChange(
                d, host, SKY_CONFIG_TEMPLATE, "opening", change.base,
                "{\"pool\": \"desk\"}");
            pending.push_back(change);
        }
    }

    /** Collects the results of pending changes. */
    void
    Collect()
    {
        std::vector<change_t> still_pending;
        for (const change_t &change : pending) {
            sky_act_change_result_t result;
            if (!Driver_FindConfigChangeResult(cluster.driver, change.token,
                                               &result)) {
                still_pending.push_back(change);
            }
            else if (result.code == SKY_OK) {
                accepted_from[change.base]++;
                newest_revision = std::max(newest_revision, result.revision);
            }
        }
        pending = still_pending;
    }

    /** @return changes that were accepted although another change with the
     *          same base revision was accepted. */
    uint32_t
    DoubleAccepts() const
    {
        uint32_t double_accepts = 0;
        for (const auto &entry : accepted_from) {
            double_accepts += entry.second - 1;
        }
        return double_accepts;
    }

    uint64_t
    Newest() const
    {
        return newest_revision;
    }

  private:
    struct change_t {
        uint64_t token;
        uint64_t base;
    };

    SimulatedCluster &cluster;
    std::vector<change_t> pending;
    std::map<uint64_t, uint32_t> accepted_from;
    uint64_t newest_revision = 0;
};

/** Result of a run. */
struct run_result_t {
    uint64_t seed;
    driver_breaches_t breaches;
    std::string breach_text;
    uint64_t breach_count;
    uint32_t without_response;
    uint32_t double_accepts;
    uint32_t hosts_behind;  /**< hosts without the newest accepted change */
    sky_result_t last_code; /**< of a request after all faults ended */
    uint64_t steps;
};

static inline uint32_t
CountWithoutResponse(const SimulatedCluster &cluster)
{
    uint32_t without_response = 0;
    for (uint32_t i = 0; i < Driver_ResultCount(cluster.driver); i++) {
        without_response += !cluster.Result(i).completed;
    }
    return without_response;
}

static inline uint32_t
CountHostsBehind(const SimulatedCluster &cluster, uint64_t newest_revision)
{
    uint32_t hosts_behind = 0;
    for (uint32_t h = 0; h < SEEDED_HOSTS; h++) {
        if (cluster.options.trace) {
            printf("host%u has revision %lu, newest %lu\n", h,
                   SimulatedCluster::Revision(Driver_Node(cluster.driver, h)),
                   newest_revision);
        }
        hosts_behind += SimulatedCluster::Revision(
                            Driver_Node(cluster.driver, h)) < newest_revision;
    }
    return hosts_behind;
}

/** Runs 1,200 random steps, ends all faults and checks the outcome. */
static inline run_result_t
RunSeed(uint64_t seed, bool checks_fencing, uint32_t disabled = 0,
        uint64_t log_read_lag_us = 0)
{
    SimulatedCluster cluster(seed, SEEDED_HOSTS, 4, 3, checks_fencing);
    cluster.options.trace = getenv("SKY_TRACE") != nullptr;
    cluster.options.log_read_lag_us = log_read_lag_us;
    cluster.options.retention_us = 120 * SECOND;
    cluster.options.node.disabled_mechanisms = disabled;
    cluster.options.node.members.degraded_us = 20 * SECOND;
    cluster.options.node.entry.key_life_us = 60 * SECOND;
    cluster.options.node.claims.key_retention_us = 120 * SECOND;
    RandomFaults faults(cluster);
    RandomRequests requests(cluster);
    Operators operators(cluster);
    cluster.Start();
    for (uint32_t step = 0; step < 1200; step++) {
        cluster.Run(50000 + Driver_RandomBelow(cluster.driver, 200000));
        requests.Step();
        requests.Step();
        if (Driver_RandomBelow(cluster.driver, 8) == 0) {
            faults.Step();
        }
        if (Driver_RandomBelow(cluster.driver, 30) == 0) {
            operators.Step();
        }
        operators.Collect();
    }
    faults.EndAll();
    /* A planned stop waits for open requests; their deadlines are within
     * 17 s. */
    cluster.Run(25 * SECOND);
    faults.EndAll(); /* starts the hosts that have finished a planned stop */
    /* A record that cannot be verified delays a host's readiness by half of
     * the log's retention and 10 s. */
    cluster.Run(cluster.options.retention_us / 2 + 20 * SECOND);
    operators.Collect();
    run_result_t run = {};
    run.without_response = CountWithoutResponse(cluster);
    /* Without faults, requests succeed again. */
    uint32_t last = cluster.SendRequest(0, 1);
    cluster.Run(20 * SECOND);
    run.seed = seed;
    run.breaches = *Driver_Breaches(cluster.driver);
    run.breach_text = cluster.BreachText();
    run.breach_count = cluster.BreachCount();
    run.double_accepts = operators.DoubleAccepts();
    run.hosts_behind = CountHostsBehind(cluster, operators.Newest());
    run.last_code = cluster.Result(last).code;
    run.steps = Driver_Stats(cluster.driver)->steps;
    return run;
}

#endif
