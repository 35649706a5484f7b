/**
 * @file bench_policy.c
 * @brief Compares the placement policy with the baseline, on the same seeds.
 *
 * usage: policy [-s SEEDS] [-c SCENARIO] [-w BATCH_WEIGHT]
 *
 * Runs two deployments in six scenarios. -c limits the run to the scenario of
 * that number, from 0; -w overrides the batch weight of the deployments. If
 * SKY_CODES is set, prints how many requests ended with each result code, too.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/driver.h"
#include "bench/oracle.h"
#include "bench/stats.h"

#define SECOND_US UINT64_C(1000000)
#define HOST_COUNT 8
#define ADAPTER_SLOTS 8 /* of each target */
#define ADAPTER_COUNT 3000
#define ZIPF_EXPONENT 1.3 /* of the popularity of adapters */
#define EVENT_ADAPTER_COUNT 60
#define OPENING_US (120 * SECOND_US)
#define COUNTED_FROM_US (OPENING_US - 20 * SECOND_US)
#define ARRIVALS_END_US (240 * SECOND_US)
#define START_WALL_S UINT64_C(1800000000) /* START_WALL_MS of the driver */
#define PREWARM_S 90
#define HOLD_S 60
#define SEEDS_MAX 16
#define BODY_BYTES_MAX 16384

typedef struct {
    const char *name;
    const char *large_pool;
    const char *small_pool;
    uint32_t large_targets;
    uint32_t small_targets;
    uint32_t domains;
    uint64_t same_domain_delay_us; /* the driver gets a tenth of it */
    uint64_t cross_domain_delay_us;
    double loads_per_s;
    uint32_t store_parallel_loads;
    uint32_t transit_max;
    uint32_t batch_weight;
    uint32_t policy_transit_max; /* the limit that the policy sets itself */
    double event_requests;       /* in all, after the opening */
    double steady_per_s;         /* requests a second beside the event */
} deployment_t;

static const deployment_t DEPLOYMENTS[] = {
    {"guild", "desk-assistant", "order-ledger", 9, 3, 3, 1000, 1500, 3.0, 2,
     16, 20, 4, 700, 2.0},
    {"karaganda", "lm-inspect", "orders-app", 18, 4, 4, 3000, 500, 5.0, 3, 24,
     80, 6, 1200, 4.0},
};

typedef enum {
    SCENARIO_ANNOUNCED,
    SCENARIO_UNANNOUNCED,
    SCENARIO_POPULARITY_SHIFT,
    SCENARIO_TARGET_RESTART,
    SCENARIO_STORE_FAULTS,
    SCENARIO_STEADY,
    SCENARIO_COUNT,
} scenario_t;

static const char *const SCENARIO_NAMES[] = {
    "announced", "unannounced", "shift", "restart", "store", "steady"};

/** Results of one run, or medians of several. */
typedef struct {
    double adapter_wait_ms[4]; /* median, 95th, 99th, largest */
    double first_token_ms[4];
    double event_stall_ms;    /* 99th, requests of the event only */
    double other_stall_ms;    /* 99th, all others */
    double batch_utilization; /* while a target runs something */
    double store_utilization;
    uint64_t loads;
    uint64_t evictions;
    uint32_t succeeded;
    uint32_t not_run;
    uint32_t unknown;
    uint32_t first_token_in_time; /* requests before their deadline */
    double oracle_stall_ms;       /* 99th */
    double fairness; /* Jain's index of the adapters' mean first token */
} figures_t;

static sky_target_info_t targets[64];

static void
make_targets(const deployment_t *deployment)
{
    for (uint32_t t = 0;
         t < deployment->large_targets + deployment->small_targets; t++) {
        sky_target_info_t *target = &targets[t];
        memset(target, 0, sizeof *target);
        snprintf(target->name, sizeof target->name, "w%u", t);
        snprintf(target->pool, sizeof target->pool, "%s",
                 t < deployment->large_targets ? deployment->large_pool
                                               : deployment->small_pool);
        target->domain = t % deployment->domains;
        target->slots = ADAPTER_SLOTS;
        target->batch = 16;
    }
}

static driver_t *
make_driver(const deployment_t *deployment, uint64_t seed, sky_policy_t policy,
            uint32_t batch_weight)
{
    driver_options_t options;
    make_targets(deployment);
    Driver_SetDefaultOptions(&options);
    options.seed = seed;
    options.hosts = HOST_COUNT;
    options.domains = deployment->domains;
    options.same_domain_delay_us = deployment->same_domain_delay_us / 10;
    options.cross_domain_delay_us = deployment->cross_domain_delay_us;
    options.store_loads_per_s = deployment->loads_per_s;
    options.store_parallel_loads = deployment->store_parallel_loads;
    options.transit_max = deployment->transit_max;
    options.node.targets = targets;
    options.node.target_count =
        deployment->large_targets + deployment->small_targets;
    options.node.shard.policy = policy;
    options.node.shard.batch_weight = batch_weight;
    options.node.shard.transit_max = policy == SKY_POLICY_BASELINE
                                         ? deployment->transit_max
                                         : deployment->policy_transit_max;
    return Driver_Create(&options);
}

/* ---- load ---- */

/* Arrivals have their own random state, apart from the driver's, so that each
 * policy gets the same ones. */
static unsigned short arrival_random_state[3];

static double
draw_uniform(void)
{
    return erand48(arrival_random_state);
}

static uint32_t
draw_below(uint32_t limit)
{
    return (uint32_t)(draw_uniform() * limit);
}

/** Cumulative Zipf distribution by popularity rank, sampled by inversion. */
static double zipf_cumulative[ADAPTER_COUNT];

static void
compute_zipf_cumulative(void)
{
    double sum = 0;
    for (uint32_t i = 0; i < ADAPTER_COUNT; i++) {
        sum += pow(i + 1.0, -ZIPF_EXPONENT);
        zipf_cumulative[i] = sum;
    }
    for (uint32_t i = 0; i < ADAPTER_COUNT; i++) {
        zipf_cumulative[i] /= sum;
    }
}

static uint32_t
draw_rank(uint32_t count)
{
    double at = draw_uniform() * zipf_cumulative[count - 1];
    uint32_t low = 0;
    uint32_t high = count - 1;
    while (low < high) {
        uint32_t middle = (low + high) / 2;
        if (zipf_cumulative[middle] < at) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static sky_adapter_id_t
adapter_id(const char *prefix, uint32_t number)
{
    char name[32];
    snprintf(name, sizeof name, "%s%u", prefix, number);
    return SkyAdapter_HashId(name, "1");
}

static void
submit_request(driver_t *driver, const char *pool, sky_adapter_id_t adapter,
               uint32_t urgency, uint32_t class_id)
{
    driver_request_t request = {.adapter = adapter, .urgency = urgency};
    request.pool = (uint32_t)SkyName_Hash(pool);
    request.timeout_ms = 60000;
    request.tokens = 40 + draw_below(60);
    request.class_id = class_id;
    Driver_SubmitRequest(driver, draw_below(HOST_COUNT), &request);
}

static void
submit_steady_request(driver_t *driver, const deployment_t *deployment,
                      uint32_t shift)
{
    uint32_t rank = draw_rank(ADAPTER_COUNT);
    uint32_t number = (rank + shift) % ADAPTER_COUNT;
    bool in_small_pool = draw_below(100) < 15;
    submit_request(driver,
                   in_small_pool ? deployment->small_pool
                                 : deployment->large_pool,
                   adapter_id(in_small_pool ? "s" : "a",
                              in_small_pool ? number % 200 : number),
                   3, 1);
}

static void
submit_event_request(driver_t *driver, const deployment_t *deployment)
{
    submit_request(driver, deployment->large_pool,
                   adapter_id("e", draw_rank(EVENT_ADAPTER_COUNT)), 6, 0);
}

static void
publish_event_workspace(driver_t *driver, const deployment_t *deployment)
{
    static char body[BODY_BYTES_MAX];
    char credential[65];
    memset(credential, 'a', 64);
    credential[64] = '\0';
    snprintf(body, sizeof body,
             "{\"pool\": \"%s\", \"urgency\": 6, \"prewarm_s\": %d, "
             "\"hold_s\": %d}",
             deployment->large_pool, PREWARM_S, HOLD_S);
    Driver_SubmitConfigChange(driver, 0, SKY_CONFIG_TEMPLATE, "opening", 0,
                              body);
    Driver_RunUntil(driver, Driver_NowUs(driver) + 2 * SECOND_US);
    int used = snprintf(body, sizeof body,
                        "{\"template\": \"opening\", \"credential\": \"%s\", "
                        "\"parameters\": {\"opens_at_s\": %lu}, "
                        "\"adapters\": [",
                        credential, START_WALL_S + OPENING_US / SECOND_US);
    for (uint32_t i = 0; i < EVENT_ADAPTER_COUNT; i++) {
        used += snprintf(body + used, sizeof body - (size_t)used,
                         "%s{\"name\": \"e%u\", \"version\": \"1\", "
                         "\"weight\": %.4f}",
                         i ? ", " : "", i, pow(i + 1.0, -ZIPF_EXPONENT));
    }
    snprintf(body + used, sizeof body - (size_t)used, "]}");
    Driver_SubmitConfigChange(driver, 0, SKY_CONFIG_WORKSPACE, "guild", 0,
                              body);
}

static bool
has_event(scenario_t scenario)
{
    return scenario == SCENARIO_ANNOUNCED ||
           scenario == SCENARIO_UNANNOUNCED ||
           scenario == SCENARIO_TARGET_RESTART;
}

static double
steady_rate_per_s(const deployment_t *deployment, scenario_t scenario)
{
    return has_event(scenario) ? deployment->steady_per_s
                               : 4 * deployment->steady_per_s;
}

/** @return requests a second of the event, `since_s` after the opening. */
static double
event_rate_per_s(const deployment_t *deployment, double since_s)
{
    const double MEAN_S = 8.0;
    double rate = deployment->event_requests / MEAN_S;
    for (double remaining_s = since_s; remaining_s > 1.0; remaining_s -= 1.0) {
        rate *= 1.0 - 1.0 / MEAN_S;
    }
    return since_s < 60 ? rate : 0;
}

static void
inject_faults(driver_t *driver, scenario_t scenario, uint64_t second)
{
    if (scenario == SCENARIO_TARGET_RESTART && second == 123) {
        Driver_CrashTarget(driver, 0);
    }
    if (scenario == SCENARIO_STORE_FAULTS) {
        Driver_SetStoreSlowdown(driver,
                                second >= 100 && second < 140 ? 4.0 : 1.0);
        Driver_SetStoreUnreachable(driver, second >= 140 && second < 170);
    }
}

static void
run_scenario(driver_t *driver, const deployment_t *deployment,
             scenario_t scenario)
{
    const uint64_t STEP_US = 20000;
    double step_s = (double)STEP_US / SECOND_US;
    if (scenario == SCENARIO_ANNOUNCED ||
        scenario == SCENARIO_TARGET_RESTART) {
        Driver_RunUntil(driver, 8 * SECOND_US);
        publish_event_workspace(driver, deployment);
    }
    Driver_RunUntil(driver, 10 * SECOND_US);
    while (Driver_NowUs(driver) < ARRIVALS_END_US) {
        uint64_t now_us = Driver_NowUs(driver);
        uint32_t shift =
            scenario == SCENARIO_POPULARITY_SHIFT && now_us > OPENING_US
                ? ADAPTER_COUNT / 2
                : 0;
        inject_faults(driver, scenario, now_us / SECOND_US);
        if (draw_uniform() <
            steady_rate_per_s(deployment, scenario) * step_s) {
            submit_steady_request(driver, deployment, shift);
        }
        double event_rate =
            has_event(scenario) && now_us >= OPENING_US
                ? event_rate_per_s(deployment,
                                   (double)(now_us - OPENING_US) / SECOND_US)
                : 0;
        for (double expected = event_rate * step_s; expected > 0;
             expected -= 1.0) {
            if (draw_uniform() < expected) {
                submit_event_request(driver, deployment);
            }
        }
        Driver_RunUntil(driver, now_us + STEP_US);
    }
    Driver_RunUntil(driver, ARRIVALS_END_US + 90 * SECOND_US);
}

/* ---- results ---- */

static void
compute_percentiles(double *values, uint32_t count, double percentiles[4])
{
    Stats_Sort(values, count);
    percentiles[0] = Stats_Percentile(values, count, 0.50);
    percentiles[1] = Stats_Percentile(values, count, 0.95);
    percentiles[2] = Stats_Percentile(values, count, 0.99);
    percentiles[3] = Stats_Percentile(values, count, 1.00);
}

/** Prints how many requests ended with each result code. */
static void
print_result_codes(const driver_t *driver)
{
    uint32_t codes[64] = {0};
    for (uint32_t i = 0; i < Driver_ResultCount(driver); i++) {
        codes[Driver_Result(driver, i)->code % 64]++;
    }
    for (int code = 0; code < 64; code++) {
        if (codes[code] > 0) {
            printf("  %s %u", SkyResult_Symbol((sky_result_t)code),
                   codes[code]);
        }
    }
    putchar('\n');
}

static bool
is_counted(const driver_result_t *result)
{
    return result->arrived_us >= COUNTED_FROM_US;
}

/** A refused request counts as one that stalled up to its deadline. */
static double
counted_stall_ms(const driver_result_t *result)
{
    return result->code == SKY_OK ? (double)result->adapter_wait_ms
                                  : (double)result->request.timeout_ms;
}

static double
counted_first_token_ms(const driver_result_t *result)
{
    double first_token_ms =
        (double)(result->first_token_us - result->arrived_us) / 1000;
    return result->code == SKY_OK ? first_token_ms
                                  : (double)result->request.timeout_ms;
}

static void
count_outcome(const driver_result_t *result, figures_t *figures)
{
    if (result->code == SKY_OK) {
        figures->succeeded++;
        figures->first_token_in_time +=
            counted_first_token_ms(result) < result->request.timeout_ms;
    }
    else if (SkyResult_Outcome(result->code)[0] == 'n') {
        figures->not_run++;
    }
    else {
        figures->unknown++;
    }
}

/** @return Jain's fairness index of the mean time to first token of the
 * event's adapters: 1 if all are equal. */
static double
compute_fairness(const driver_t *driver)
{
    double sums[EVENT_ADAPTER_COUNT] = {0};
    uint32_t request_counts[EVENT_ADAPTER_COUNT] = {0};
    double sum = 0;
    double squares = 0;
    uint32_t adapters_used = 0;
    for (uint32_t i = 0; i < Driver_ResultCount(driver); i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        if (!is_counted(result) || result->request.class_id != 0) {
            continue;
        }
        uint32_t index =
            (uint32_t)(result->request.adapter % EVENT_ADAPTER_COUNT);
        sums[index] += counted_first_token_ms(result) + 1;
        request_counts[index]++;
    }
    for (uint32_t i = 0; i < EVENT_ADAPTER_COUNT; i++) {
        if (request_counts[i] > 0) {
            double mean = sums[i] / request_counts[i];
            sum += mean;
            squares += mean * mean;
            adapters_used++;
        }
    }
    return squares > 0 ? sum * sum / (adapters_used * squares) : 1.0;
}

static void
compute_figures(driver_t *driver, const deployment_t *deployment,
                scenario_t scenario, figures_t *figures)
{
    uint32_t total = Driver_ResultCount(driver);
    double *stalls = calloc(total, sizeof *stalls);
    double *first_tokens = calloc(total, sizeof *first_tokens);
    double *classes[2] = {calloc(total, sizeof *stalls),
                          calloc(total, sizeof *stalls)};
    uint32_t class_counts[2] = {0, 0};
    uint32_t count = 0;
    for (uint32_t i = 0; i < total; i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        if (!is_counted(result)) {
            continue;
        }
        uint32_t class_id = result->request.class_id;
        stalls[count] = counted_stall_ms(result);
        first_tokens[count] = counted_first_token_ms(result);
        classes[class_id][class_counts[class_id]++] = stalls[count];
        count++;
        count_outcome(result, figures);
    }
    double class_percentiles[4];
    compute_percentiles(stalls, count, figures->adapter_wait_ms);
    compute_percentiles(first_tokens, count, figures->first_token_ms);
    compute_percentiles(classes[0], class_counts[0], class_percentiles);
    figures->event_stall_ms = class_percentiles[2];
    compute_percentiles(classes[1], class_counts[1], class_percentiles);
    figures->other_stall_ms = class_percentiles[2];
    const driver_stats_t *stats = Driver_Stats(driver);
    figures->batch_utilization =
        stats->busy_us > 0 ? stats->utilization_us / stats->busy_us : 0;
    figures->store_utilization =
        stats->store_busy_us / (double)ARRIVALS_END_US;
    figures->loads = stats->loads;
    figures->evictions = stats->evictions;
    figures->fairness = compute_fairness(driver);
    oracle_options_t oracle = {.loads_per_s = deployment->loads_per_s};
    oracle.load_us = (uint64_t)(1e6 * deployment->store_parallel_loads /
                                deployment->loads_per_s) +
                     250000;
    oracle.counted_from_us = COUNTED_FROM_US;
    oracle.announced_us =
        scenario == SCENARIO_ANNOUNCED || scenario == SCENARIO_TARGET_RESTART
            ? 10 * SECOND_US
            : OPENING_US;
    oracle.initial_adapters = ADAPTER_SLOTS * (deployment->large_targets +
                                               deployment->small_targets);
    figures->oracle_stall_ms = Oracle_StallPercentileMs(driver, &oracle, 0.99);
    free(stalls);
    free(first_tokens);
    free(classes[0]);
    free(classes[1]);
}

static double
median(double *values, uint32_t count)
{
    Stats_Sort(values, count);
    return values[count / 2];
}

#define SET_MEDIAN(field)                                                     \
    do {                                                                      \
        for (uint32_t s_ = 0; s_ < seeds; s_++) {                             \
            values[s_] = (double)runs[s_].field;                              \
        }                                                                     \
        summary.field = median(values, seeds);                                \
    } while (0)

/** @param range_ms  set to the minimum and maximum of the 99th percentiles of
 *                  the load stall */
static figures_t
compute_medians(const figures_t *runs, uint32_t seeds, double range_ms[2])
{
    double values[SEEDS_MAX];
    figures_t summary = {0};
    for (int i = 0; i < 4; i++) {
        SET_MEDIAN(adapter_wait_ms[i]);
        SET_MEDIAN(first_token_ms[i]);
    }
    SET_MEDIAN(event_stall_ms);
    SET_MEDIAN(other_stall_ms);
    SET_MEDIAN(batch_utilization);
    SET_MEDIAN(store_utilization);
    SET_MEDIAN(loads);
    SET_MEDIAN(evictions);
    SET_MEDIAN(succeeded);
    SET_MEDIAN(not_run);
    SET_MEDIAN(unknown);
    SET_MEDIAN(first_token_in_time);
    SET_MEDIAN(oracle_stall_ms);
    SET_MEDIAN(fairness);
    SET_MEDIAN(adapter_wait_ms[2]); /* last: leaves its sorted values */
    range_ms[0] = values[0];
    range_ms[1] = values[seeds - 1];
    return summary;
}

static figures_t
run_seeds(const deployment_t *deployment, scenario_t scenario,
          sky_policy_t policy, uint32_t batch_weight, uint32_t seeds,
          double range_ms[2])
{
    figures_t runs[SEEDS_MAX];
    memset(runs, 0, sizeof runs);
    for (uint32_t s = 0; s < seeds; s++) {
        driver_t *driver =
            make_driver(deployment, 100 + s, policy, batch_weight);
        arrival_random_state[0] = (unsigned short)(100 + s);
        arrival_random_state[1] = arrival_random_state[2] = 1;
        run_scenario(driver, deployment, scenario);
        compute_figures(driver, deployment, scenario, &runs[s]);
        if (getenv("SKY_CODES") != NULL) {
            print_result_codes(driver);
        }
        Driver_Free(driver);
    }
    return compute_medians(runs, seeds, range_ms);
}

static void
print_row(const deployment_t *deployment, scenario_t scenario,
          const char *policy, const figures_t *figures,
          const double range_ms[2])
{
    printf("%-9s %-11s %-9s %6.0f %6.0f %6.0f %6.0f (%5.0f-%5.0f) %6.0f %6.0f "
           "%6.0f %6.0f %6.0f %6.0f %6.0f %5.3f %5.0f %5.0f %5.2f %5u %5u %4u "
           "%5u %4.2f\n",
           deployment->name, SCENARIO_NAMES[scenario], policy,
           figures->adapter_wait_ms[0], figures->adapter_wait_ms[1],
           figures->adapter_wait_ms[2], figures->adapter_wait_ms[3],
           range_ms[0], range_ms[1], figures->event_stall_ms,
           figures->other_stall_ms, figures->oracle_stall_ms,
           figures->first_token_ms[0], figures->first_token_ms[1],
           figures->first_token_ms[2], figures->first_token_ms[3],
           figures->batch_utilization, (double)figures->loads,
           (double)figures->evictions, figures->store_utilization,
           figures->succeeded, figures->not_run, figures->unknown,
           figures->first_token_in_time, figures->fairness);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    uint32_t seeds = 5;
    int only_scenario = -1;
    int batch_weight = -1;
    int option;
    while ((option = getopt(argc, argv, "s:c:w:")) != -1) {
        if (option == 's') {
            seeds = (uint32_t)atoi(optarg);
        }
        else if (option == 'c') {
            only_scenario = atoi(optarg);
        }
        else if (option == 'w') {
            batch_weight = atoi(optarg);
        }
    }
    seeds = seeds > SEEDS_MAX ? SEEDS_MAX : seeds;
    compute_zipf_cumulative();
    printf("medians over %u seeds; load stalls (st) and times to first token "
           "(ft) in ms; a refused request counts with its whole deadline\n",
           seeds);
    printf("site     scenario    policy     st50   st95   st99  stmax (spread "
           "of 99) event99 tail99 bound  ft50   ft95   ft99   ftmax  batch "
           "loads evict store  ans notrun unk in_time fair\n");
    for (size_t d = 0; d < sizeof DEPLOYMENTS / sizeof DEPLOYMENTS[0]; d++) {
        const deployment_t *deployment = &DEPLOYMENTS[d];
        for (int scenario = 0; scenario < SCENARIO_COUNT; scenario++) {
            double range_ms[2];
            if (only_scenario >= 0 && scenario != only_scenario) {
                continue;
            }
            figures_t baseline =
                run_seeds(deployment, (scenario_t)scenario,
                          SKY_POLICY_BASELINE, 0, seeds, range_ms);
            print_row(deployment, (scenario_t)scenario, "baseline", &baseline,
                      range_ms);
            figures_t policy = run_seeds(
                deployment, (scenario_t)scenario, SKY_POLICY_DEMAND_AWARE,
                batch_weight >= 0 ? (uint32_t)batch_weight
                                  : deployment->batch_weight,
                seeds, range_ms);
            print_row(deployment, (scenario_t)scenario, "crowd", &policy,
                      range_ms);
        }
    }
    return 0;
}
