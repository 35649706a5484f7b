/**
 * @file simulated_cluster.h
 * @brief A small simulated deployment, for tests that use the driver.
 */
#ifndef SIMULATED_CLUSTER_H
#define SIMULATED_CLUSTER_H

#include <stdio.h>
#include <string.h>

#include <string>
#include <vector>

#include "bench/driver.h"

static const uint64_t SECOND = 1000000;

/** Targets in three failure domains and a driver over them. */
class SimulatedCluster {
  public:
    explicit SimulatedCluster(uint64_t seed, uint32_t hosts = 4,
                              uint32_t engines = 4, uint32_t slots = 3,
                              bool checks_fencing = false)
    {
        for (uint32_t t = 0; t < engines; t++) {
            targets.push_back(Target("engine", t, "desk", slots, 8));
            targets.back().checks_fencing = checks_fencing;
        }
        targets.push_back(Target("ledger", 0, "ledger", 0, 16));
        Driver_SetDefaultOptions(&options);
        options.seed = seed;
        options.hosts = hosts;
        options.node.targets = targets.data();
        options.node.target_count = (uint32_t)targets.size();
        options.node.shard.starvation_us = 10 * SECOND;
    }

    ~SimulatedCluster()
    {
        if (driver != nullptr) {
            Driver_Free(driver);
        }
    }

    SimulatedCluster(const SimulatedCluster &) = delete;
    SimulatedCluster &operator=(const SimulatedCluster &) = delete;

    void
    Start(uint64_t run_us = 5 * SECOND)
    {
        driver = Driver_Create(&options);
        Run(run_us);
    }

    void
    Run(uint64_t run_us)
    {
        Driver_RunUntil(driver, Driver_NowUs(driver) + run_us);
    }

    uint32_t
    SendRequest(uint32_t host, uint32_t adapter, uint32_t timeout_ms = 20000,
                uint32_t tokens = 20)
    {
        driver_request_t request = Request(adapter, timeout_ms, tokens);
        return Driver_SubmitRequest(driver, host, &request);
    }

    static driver_request_t
    Request(uint32_t adapter, uint32_t timeout_ms, uint32_t tokens)
    {
        driver_request_t request = {};
        request.adapter = 1000 + adapter;
        request.pool = (uint32_t)SkyName_Hash("desk");
        request.urgency = 5;
        request.timeout_ms = timeout_ms;
        request.tokens = tokens;
        return request;
    }

    /** Sends an at-most-once request with a key to the service without
     *  adapters. */
    uint32_t
    SendKeyedRequest(uint32_t host, uint64_t key, uint64_t key_age_ms = 0)
    {
        driver_request_t request = Request(0, 10000, 5);
        request.pool = (uint32_t)SkyName_Hash("ledger");
        request.adapter = request.pool;
        request.at_most_once = true;
        request.key.high = key;
        request.key.low = key * 7919;
        request.key_age_ms = key_age_ms;
        return Driver_SubmitRequest(driver, host, &request);
    }

    const driver_result_t &
    Result(uint32_t index) const
    {
        return *Driver_Result(driver, index);
    }

    /** @return revision of the template "opening" on a host, 0 if it has none.
     */
    static uint64_t
    Revision(const sky_node_t *node)
    {
        sky_document_t document;
        bool found =
            node != nullptr &&
            SkyConfig_FindDocument(SkyNode_Config(node), SKY_CONFIG_TEMPLATE,
                                   "opening", &document);
        return found ? document.revision : 0;
    }

    /** @return sum of all breaches that the driver observed. */
    uint64_t
    BreachCount() const
    {
        const driver_breaches_t *b = Driver_Breaches(driver);
        return b->evicted_in_use + b->run_twice + b->run_after_not_run +
               b->sent_to_leaving + b->crashed_too_many +
               b->revision_reverted + b->late_response;
    }

    std::string
    BreachText() const
    {
        const driver_breaches_t *b = Driver_Breaches(driver);
        char text[256];
        snprintf(text, sizeof text,
                 "evicted_in_use=%lu run_twice=%lu run_after_not_run=%lu "
                 "sent_to_leaving=%lu crashed_too_many=%lu "
                 "revision_reverted=%lu late_response=%lu",
                 b->evicted_in_use, b->run_twice, b->run_after_not_run,
                 b->sent_to_leaving, b->crashed_too_many, b->revision_reverted,
                 b->late_response);
        return text;
    }

    driver_options_t options;
    driver_t *driver = nullptr;
    std::vector<sky_target_info_t> targets;

  private:
    static sky_target_info_t
    Target(const char *name, uint32_t number, const char *pool, uint32_t slots,
           uint32_t batch)
    {
        sky_target_info_t target = {};
        snprintf(target.name, sizeof target.name, "%s%u", name, number);
        snprintf(target.address, sizeof target.address, "-");
        snprintf(target.pool, sizeof target.pool, "%s", pool);
        target.domain = number % 3;
        target.slots = slots;
        target.batch = batch;
        return target;
    }
};

#endif
