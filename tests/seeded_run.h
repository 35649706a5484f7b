/**
 * @file seeded_run.h
 * @brief One long run under random faults, all drawn from a seed.
 */
#ifndef SEEDED_RUN_H
#define SEEDED_RUN_H

#include <cstdlib>
#include <map>

#include "driver_world.h"

static const uint32_t SEEDED_HOSTS = 6;

/** One fault at a time is drawn; several are usually in force at once. */
class FaultPlan {
  public:
    explicit FaultPlan(World &w) : world(w)
    {
    }

    void
    Step()
    {
        driver_t *d = world.driver;
        uint32_t host = Driver_Random(d, SEEDED_HOSTS);
        uint32_t other = Driver_Random(d, SEEDED_HOSTS);
        uint32_t target = Driver_Random(d, (uint32_t)world.targets.size());
        bool on = Driver_Random(d, 3) == 0;
        if (log_down_us != 0 &&
            Driver_Now(d) > log_down_us + world.options.retention_us / 3) {
            SetLogDown(false);
        }
        switch (Driver_Random(d, 17)) {
        case 0:
        case 1:
            Driver_Kill(d, host);
            break;
        case 2:
        case 3:
        case 4:
            Driver_Start(d, host);
            break;
        case 5:
        case 6:
            Driver_Pause(d, host, Driver_Random(d, 8000) * 1000);
            break;
        case 7:
            Driver_Cut(d, host, other, on);
            break;
        case 8:
            Driver_Cut(d, host, other, on);
            Driver_Cut(d, other, host, on);
            break;
        case 9:
            Driver_CutLog(d, host, on);
            break;
        case 10:
            SetLogDown(on);
            break;
        case 11:
            Driver_LoseAnswers(d, on ? 0.3 : 0.0);
            break;
        case 12:
            Driver_StoreDown(d, on);
            break;
        case 13:
            Driver_CrashTarget(d, target);
            break;
        case 14:
            Driver_SetLeaving(d, target, on);
            break;
        case 15:
            Driver_Drain(d, host);
            break;
        case 16:
            Driver_CutTarget(d, host, target, on);
            break;
        }
    }

    /** Ends all faults and starts every host. */
    void
    Heal()
    {
        driver_t *d = world.driver;
        Driver_LogDown(d, false);
        Driver_LoseAnswers(d, 0);
        Driver_StoreDown(d, false);
        for (uint32_t h = 0; h < SEEDED_HOSTS; h++) {
            Driver_CutLog(d, h, false);
            for (uint32_t o = 0; o < SEEDED_HOSTS; o++) {
                Driver_Cut(d, h, o, false);
            }
            for (uint32_t t = 0; t < world.targets.size(); t++) {
                Driver_CutTarget(d, h, t, false);
                Driver_SetLeaving(d, t, false);
            }
            Driver_Start(d, h);
        }
    }

  private:
    /** With the log out for longer than it keeps records and every host
     *  replaced meanwhile, the configuration is nowhere any more: outages
     *  are kept below a third of the retention. */
    void
    SetLogDown(bool down)
    {
        if (down && log_down_us == 0) {
            log_down_us = Driver_Now(world.driver);
        }
        if (!down) {
            log_down_us = 0;
        }
        Driver_LogDown(world.driver, down);
    }

    World &world;
    uint64_t log_down_us = 0;
};

/** Requests of all sorts; some are sent again to another host. */
class Callers {
  public:
    explicit Callers(World &w) : world(w)
    {
    }

    void
    Step()
    {
        driver_t *d = world.driver;
        uint32_t host = Driver_Random(d, SEEDED_HOSTS);
        uint32_t kind = Driver_Random(d, 40);
        if (kind == 0) {
            Crash(host);
        }
        else if (kind < 6) {
            Book(host);
        }
        else {
            uint32_t skewed = Driver_Random(d, 1 + Driver_Random(d, 30));
            world.Ask(host, skewed, 2000 + Driver_Random(d, 15000),
                      5 + Driver_Random(d, 60));
        }
    }

  private:
    /** A key is issued at the start of a period and used all through it. */
    void
    Book(uint32_t host)
    {
        const uint64_t PERIOD_US = 40 * SECOND;
        uint64_t now_us = Driver_Now(world.driver);
        uint64_t key =
            now_us / PERIOD_US * 100 + Driver_Random(world.driver, 10);
        world.Book(host, key, now_us % PERIOD_US / 1000);
    }

    /** The same crashing request, whichever host it comes in by. */
    void
    Crash(uint32_t host)
    {
        driver_request_t request = World::Request(2, 10000, 20);
        request.crashes = true;
        request.fingerprint =
            0xdead0000 + Driver_Now(world.driver) / (60 * SECOND);
        Driver_Request(world.driver, host, &request);
    }

    World &world;
};

/** Two operators who change the same document through different hosts. */
class Operators {
  public:
    explicit Operators(World &w) : world(w)
    {
    }

    void
    Step()
    {
        driver_t *d = world.driver;
        for (int i = 0; i < 2; i++) {
            uint32_t host = Driver_Random(d, SEEDED_HOSTS);
            if (!Driver_IsAlive(d, host)) {
                continue;
            }
            change_t change = {};
            change.base = World::Revision(Driver_Node(d, host));
            change.token =
                Driver_Change(d, host, SKY_CONFIG_TEMPLATE, "opening",
                              change.base, "{\"pool\": \"desk\"}");
            pending.push_back(change);
        }
    }

    /** Takes in what has been answered. */
    void
    Collect()
    {
        std::vector<change_t> left;
        for (const change_t &change : pending) {
            sky_act_changed_t changed;
            if (!Driver_ChangeResult(world.driver, change.token, &changed)) {
                left.push_back(change);
            }
            else if (changed.code == SKY_OK) {
                accepted_from[change.base]++;
                newest = std::max(newest, changed.revision);
            }
        }
        pending = left;
    }

    /** @return changes accepted though another from the same base was. */
    uint32_t
    DoubleAccepts() const
    {
        uint32_t doubles = 0;
        for (const auto &entry : accepted_from) {
            doubles += entry.second - 1;
        }
        return doubles;
    }

    uint64_t
    Newest() const
    {
        return newest;
    }

  private:
    struct change_t {
        uint64_t token;
        uint64_t base;
    };

    World &world;
    std::vector<change_t> pending;
    std::map<uint64_t, uint32_t> accepted_from;
    uint64_t newest = 0;
};

/** What a run showed. */
struct run_t {
    uint64_t seed;
    driver_breaches_t breaches;
    std::string breach_text;
    uint64_t breach_count;
    uint32_t unanswered;
    uint32_t double_accepts;
    uint32_t behind; /**< hosts without the newest accepted change */
    sky_result_t last;
    uint64_t steps;
};

static inline uint32_t
CountUnanswered(const World &world)
{
    uint32_t unanswered = 0;
    for (uint32_t i = 0; i < Driver_ResultCount(world.driver); i++) {
        unanswered += !world.Result(i).answered;
    }
    return unanswered;
}

static inline uint32_t
CountBehind(const World &world, uint64_t newest)
{
    uint32_t behind = 0;
    for (uint32_t h = 0; h < SEEDED_HOSTS; h++) {
        if (world.options.trace) {
            printf("host%u has revision %lu, newest %lu\n", h,
                   World::Revision(Driver_Node(world.driver, h)), newest);
        }
        behind += World::Revision(Driver_Node(world.driver, h)) < newest;
    }
    return behind;
}

/** One run of 1,200 random steps, then all faults end. */
static inline run_t
RunSeed(uint64_t seed, bool checks_fencing, uint32_t off = 0,
        uint64_t log_lag_us = 0)
{
    World world(seed, SEEDED_HOSTS, 4, 3, checks_fencing);
    world.options.trace = getenv("SKY_TRACE") != nullptr;
    world.options.log_lag_us = log_lag_us;
    world.options.retention_us = 120 * SECOND;
    world.options.node.off = off;
    world.options.node.members.degraded_us = 20 * SECOND;
    world.options.node.entry.key_life_us = 60 * SECOND;
    world.options.node.claims.keep_us = 120 * SECOND;
    FaultPlan faults(world);
    Callers callers(world);
    Operators operators(world);
    world.Start();
    for (uint32_t step = 0; step < 1200; step++) {
        world.Run(50000 + Driver_Random(world.driver, 200000));
        callers.Step();
        callers.Step();
        if (Driver_Random(world.driver, 8) == 0) {
            faults.Step();
        }
        if (Driver_Random(world.driver, 30) == 0) {
            operators.Step();
        }
        operators.Collect();
    }
    faults.Heal();
    /* A planned stop waits for requests, whose deadlines end within 17 s. */
    world.Run(25 * SECOND);
    faults.Heal(); /* starts whoever has finished a planned stop since */
    /* A record that cannot be checked keeps a host from being ready for half
     * of the log's retention and 10 s. */
    world.Run(world.options.retention_us / 2 + 20 * SECOND);
    operators.Collect();
    run_t run = {};
    run.unanswered = CountUnanswered(world);
    /* Once all is well again, requests are answered again. */
    uint32_t last = world.Ask(0, 1);
    world.Run(20 * SECOND);
    run.seed = seed;
    run.breaches = *Driver_Breaches(world.driver);
    run.breach_text = world.BreachText();
    run.breach_count = world.Breaches();
    run.double_accepts = operators.DoubleAccepts();
    run.behind = CountBehind(world, operators.Newest());
    run.last = world.Result(last).code;
    run.steps = Driver_Stats(world.driver)->steps;
    return run;
}

#endif
