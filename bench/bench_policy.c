/**
 * @file bench_policy.c
 * @brief Both deployments, six cases, baseline and policy on the same seeds.
 *
 * usage: policy [-s SEEDS] [-c CASE] [-w WEIGHT]
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
#define ADAPTERS 3000
#define SKEW 1.3 /* exponent of the popularity */
#define EVENT_ADAPTERS 60
#define OPEN_US (120 * SECOND_US)
#define END_US (240 * SECOND_US)
#define WALL_S UINT64_C(1800000000) /* the driver's clock at its start */
#define PREWARM_S 90
#define HOLD_S 60
#define SEEDS_MAX 16
#define BODY_BYTES 16384

typedef struct {
    const char *name;
    const char *big_pool;
    const char *small_pool;
    uint32_t big;
    uint32_t small;
    uint32_t domains;
    uint64_t same_domain_delay_us;
    uint64_t cross_domain_delay_us;
    double loads_per_s;
    uint32_t lanes;
    uint32_t transit;
    uint32_t batch_weight;
    uint32_t in_transit; /* the policy's own limit */
    double crowd;        /* requests of the opening */
    double steady;       /* requests a second besides */
} deployment_t;

static const deployment_t DEPLOYMENTS[] = {
    {"guild", "desk-assistant", "order-ledger", 9, 3, 3, 1000, 1500, 3.0, 2,
     16, 20, 4, 700, 2.0},
    {"karaganda", "lm-inspect", "orders-app", 18, 4, 4, 3000, 500, 5.0, 3, 24,
     80, 6, 1200, 4.0},
};

typedef enum {
    CASE_ANNOUNCED,
    CASE_UNANNOUNCED,
    CASE_SHIFT,
    CASE_RESTART,
    CASE_STORE,
    CASE_STEADY,
    CASE_COUNT,
} case_t;

static const char *const CASES[] = {"announced", "unannounced", "shift",
                                    "restart",   "store",       "steady"};

/** What one run showed. */
typedef struct {
    double stall_ms[4]; /* median, 95th, 99th, largest */
    double first_ms[4];
    double event_stall_ms; /* 99th, requests of the event only */
    double tail_stall_ms;  /* 99th, all others */
    double efficiency;
    double store_use;
    uint64_t loads;
    uint64_t evictions;
    uint32_t answered;
    uint32_t not_run;
    uint32_t unknown;
    uint32_t in_time; /* first token before the deadline */
    double bound_ms;
    double fairness; /* Jain's index of the adapters' mean first token */
} figures_t;

static sky_target_info_t targets[64];

static void
make_targets(const deployment_t *deployment)
{
    for (uint32_t t = 0; t < deployment->big + deployment->small; t++) {
        sky_target_info_t *target = &targets[t];
        memset(target, 0, sizeof *target);
        snprintf(target->name, sizeof target->name, "w%u", t);
        snprintf(target->pool, sizeof target->pool, "%s",
                 t < deployment->big ? deployment->big_pool
                                     : deployment->small_pool);
        target->domain = t % deployment->domains;
        target->slots = 8;
        target->batch = 16;
    }
}

static driver_t *
make_driver(const deployment_t *deployment, uint64_t seed, sky_policy_t policy,
            uint32_t weight)
{
    driver_options_t options;
    make_targets(deployment);
    Driver_Defaults(&options);
    options.seed = seed;
    options.hosts = 8;
    options.domains = deployment->domains;
    options.same_domain_delay_us = deployment->same_domain_delay_us / 10;
    options.cross_domain_delay_us = deployment->cross_domain_delay_us;
    options.store_loads_per_s = deployment->loads_per_s;
    options.store_parallel_loads = deployment->lanes;
    options.transit_max = deployment->transit;
    options.node.targets = targets;
    options.node.target_count = deployment->big + deployment->small;
    options.node.shard.policy = policy;
    options.node.shard.batch_weight = weight;
    options.node.shard.transit_max = policy == SKY_POLICY_BASELINE
                                         ? deployment->transit
                                         : deployment->in_transit;
    return Driver_Create(&options);
}

/* ---- load ---- */

/* Arrivals are drawn apart from the driver's own numbers, so that every policy
 * meets the very same ones. */
static unsigned short arrivals[3];

static double
uniform(void)
{
    return erand48(arrivals);
}

static uint32_t
below(uint32_t limit)
{
    return (uint32_t)(uniform() * limit);
}

/** Zipf over ADAPTERS by inversion of a table. */
static double zipf[ADAPTERS];

static void
make_zipf(void)
{
    double sum = 0;
    for (uint32_t i = 0; i < ADAPTERS; i++) {
        sum += pow(i + 1.0, -SKEW);
        zipf[i] = sum;
    }
    for (uint32_t i = 0; i < ADAPTERS; i++) {
        zipf[i] /= sum;
    }
}

static uint32_t
draw_zipf(uint32_t count)
{
    double at = uniform() * zipf[count - 1];
    uint32_t low = 0;
    uint32_t high = count - 1;
    while (low < high) {
        uint32_t middle = (low + high) / 2;
        if (zipf[middle] < at) {
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
    return SkyAdapter_Id(name, "1");
}

static void
ask(driver_t *driver, const char *pool, sky_adapter_id_t adapter,
    uint32_t urgency, uint32_t class_id)
{
    driver_request_t request = {.adapter = adapter, .urgency = urgency};
    request.pool = (uint32_t)SkyName_Hash(pool);
    request.timeout_ms = 60000;
    request.tokens = 40 + below(60);
    request.class_id = class_id;
    Driver_Request(driver, below(8), &request);
}

static void
ask_steady(driver_t *driver, const deployment_t *deployment, uint32_t shift)
{
    uint32_t rank = draw_zipf(ADAPTERS);
    uint32_t number = (rank + shift) % ADAPTERS;
    bool small = below(100) < 15;
    ask(driver, small ? deployment->small_pool : deployment->big_pool,
        adapter_id(small ? "s" : "a", small ? number % 200 : number), 3, 1);
}

static void
ask_event(driver_t *driver, const deployment_t *deployment)
{
    ask(driver, deployment->big_pool,
        adapter_id("e", draw_zipf(EVENT_ADAPTERS)), 6, 0);
}

static void
publish_event(driver_t *driver, const deployment_t *deployment)
{
    static char body[BODY_BYTES];
    char credential[65];
    memset(credential, 'a', 64);
    credential[64] = '\0';
    snprintf(body, sizeof body,
             "{\"pool\": \"%s\", \"urgency\": 6, \"prewarm_s\": %d, "
             "\"hold_s\": %d}",
             deployment->big_pool, PREWARM_S, HOLD_S);
    Driver_Change(driver, 0, SKY_CONFIG_TEMPLATE, "opening", 0, body);
    Driver_Run(driver, Driver_Now(driver) + 2 * SECOND_US);
    int used = snprintf(body, sizeof body,
                        "{\"template\": \"opening\", \"credential\": \"%s\", "
                        "\"parameters\": {\"opens_at_s\": %lu}, "
                        "\"adapters\": [",
                        credential, WALL_S + OPEN_US / SECOND_US);
    for (uint32_t i = 0; i < EVENT_ADAPTERS; i++) {
        used += snprintf(body + used, sizeof body - (size_t)used,
                         "%s{\"name\": \"e%u\", \"version\": \"1\", "
                         "\"weight\": %.4f}",
                         i ? ", " : "", i, pow(i + 1.0, -SKEW));
    }
    snprintf(body + used, sizeof body - (size_t)used, "]}");
    Driver_Change(driver, 0, SKY_CONFIG_WORKSPACE, "guild", 0, body);
}

static bool
has_opening(case_t which)
{
    return which == CASE_ANNOUNCED || which == CASE_UNANNOUNCED ||
           which == CASE_RESTART;
}

static double
steady_rate(const deployment_t *deployment, case_t which)
{
    return has_opening(which) ? deployment->steady : 4 * deployment->steady;
}

/** Requests a second of the crowd, `since_s` after the opening. */
static double
crowd_rate(const deployment_t *deployment, double since_s)
{
    const double MEAN_S = 8.0;
    double rate = deployment->crowd / MEAN_S;
    for (double left_s = since_s; left_s > 1.0; left_s -= 1.0) {
        rate *= 1.0 - 1.0 / MEAN_S;
    }
    return since_s < 60 ? rate : 0;
}

static void
inject_faults(driver_t *driver, case_t which, uint64_t second)
{
    if (which == CASE_RESTART && second == 123) {
        Driver_CrashTarget(driver, 0);
    }
    if (which == CASE_STORE) {
        Driver_StoreSlow(driver, second >= 100 && second < 140 ? 4.0 : 1.0);
        Driver_StoreDown(driver, second >= 140 && second < 170);
    }
}

static void
run_load(driver_t *driver, const deployment_t *deployment, case_t which)
{
    const uint64_t STEP_US = 20000;
    double step_s = (double)STEP_US / SECOND_US;
    if (which == CASE_ANNOUNCED || which == CASE_RESTART) {
        Driver_Run(driver, 8 * SECOND_US);
        publish_event(driver, deployment);
    }
    Driver_Run(driver, 10 * SECOND_US);
    while (Driver_Now(driver) < END_US) {
        uint64_t now_us = Driver_Now(driver);
        uint32_t shift =
            which == CASE_SHIFT && now_us > OPEN_US ? ADAPTERS / 2 : 0;
        inject_faults(driver, which, now_us / SECOND_US);
        if (uniform() < steady_rate(deployment, which) * step_s) {
            ask_steady(driver, deployment, shift);
        }
        double crowd = has_opening(which) && now_us >= OPEN_US
                           ? crowd_rate(deployment,
                                        (double)(now_us - OPEN_US) / SECOND_US)
                           : 0;
        for (double want = crowd * step_s; want > 0; want -= 1.0) {
            if (uniform() < want) {
                ask_event(driver, deployment);
            }
        }
        Driver_Run(driver, now_us + STEP_US);
    }
    Driver_Run(driver, END_US + 90 * SECOND_US);
}

/* ---- figures ---- */

static void
fill_percentiles(double *values, uint32_t count, double out[4])
{
    Stats_Sort(values, count);
    out[0] = Stats_Percentile(values, count, 0.50);
    out[1] = Stats_Percentile(values, count, 0.95);
    out[2] = Stats_Percentile(values, count, 0.99);
    out[3] = Stats_Percentile(values, count, 1.00);
}

/** With SKY_CODES set, prints how the requests ended. */
static void
print_codes(const driver_t *driver)
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
counts(const driver_result_t *result)
{
    return result->arrived_us >= OPEN_US - 20 * SECOND_US;
}

/** A refused request counts as one that stalled up to its deadline. */
static double
stall_of(const driver_result_t *result)
{
    return result->code == SKY_OK ? (double)result->stall_ms
                                  : (double)result->request.timeout_ms;
}

static double
first_of(const driver_result_t *result)
{
    double first_ms =
        (double)(result->first_token_us - result->arrived_us) / 1000;
    return result->code == SKY_OK ? first_ms
                                  : (double)result->request.timeout_ms;
}

static void
count_outcome(const driver_result_t *result, figures_t *figures)
{
    if (result->code == SKY_OK) {
        figures->answered++;
        figures->in_time += first_of(result) < result->request.timeout_ms;
    }
    else if (SkyResult_Kind(result->code)[0] == 'n') {
        figures->not_run++;
    }
    else {
        figures->unknown++;
    }
}

/** Jain's index over the event's adapters: 1 when all wait alike. */
static double
fairness_of(const driver_t *driver)
{
    double sums[EVENT_ADAPTERS] = {0};
    uint32_t number[EVENT_ADAPTERS] = {0};
    double sum = 0;
    double squares = 0;
    uint32_t used = 0;
    for (uint32_t i = 0; i < Driver_ResultCount(driver); i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        if (!counts(result) || result->request.class_id != 0) {
            continue;
        }
        uint32_t slot = (uint32_t)(result->request.adapter % EVENT_ADAPTERS);
        sums[slot] += first_of(result) + 1;
        number[slot]++;
    }
    for (uint32_t i = 0; i < EVENT_ADAPTERS; i++) {
        if (number[i] > 0) {
            double mean = sums[i] / number[i];
            sum += mean;
            squares += mean * mean;
            used++;
        }
    }
    return squares > 0 ? sum * sum / (used * squares) : 1.0;
}

static void
measure(driver_t *driver, const deployment_t *deployment, case_t which,
        figures_t *figures)
{
    uint32_t total = Driver_ResultCount(driver);
    double *stalls = calloc(total, sizeof *stalls);
    double *firsts = calloc(total, sizeof *firsts);
    double *classes[2] = {calloc(total, sizeof *stalls),
                          calloc(total, sizeof *stalls)};
    uint32_t class_counts[2] = {0, 0};
    uint32_t count = 0;
    for (uint32_t i = 0; i < total; i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        if (!counts(result)) {
            continue;
        }
        uint32_t class_id = result->request.class_id;
        stalls[count] = stall_of(result);
        firsts[count] = first_of(result);
        classes[class_id][class_counts[class_id]++] = stalls[count];
        count++;
        count_outcome(result, figures);
    }
    double quarters[4];
    fill_percentiles(stalls, count, figures->stall_ms);
    fill_percentiles(firsts, count, figures->first_ms);
    fill_percentiles(classes[0], class_counts[0], quarters);
    figures->event_stall_ms = quarters[2];
    fill_percentiles(classes[1], class_counts[1], quarters);
    figures->tail_stall_ms = quarters[2];
    const driver_stats_t *stats = Driver_Stats(driver);
    figures->efficiency =
        stats->busy_us > 0 ? stats->utilization_us / stats->busy_us : 0;
    figures->store_use = stats->store_busy_us / (double)END_US;
    figures->loads = stats->loads;
    figures->evictions = stats->evictions;
    figures->fairness = fairness_of(driver);
    oracle_options_t oracle = {.loads_per_s = deployment->loads_per_s};
    oracle.load_us =
        (uint64_t)(1e6 * deployment->lanes / deployment->loads_per_s) + 250000;
    oracle.from_us = OPEN_US - 20 * SECOND_US;
    oracle.known_us = which == CASE_ANNOUNCED || which == CASE_RESTART
                          ? 10 * SECOND_US
                          : OPEN_US;
    oracle.slots = 8 * (deployment->big + deployment->small);
    figures->bound_ms = Oracle_Percentile(driver, &oracle, 0.99);
    free(stalls);
    free(firsts);
    free(classes[0]);
    free(classes[1]);
}

static double
median(double *values, uint32_t count)
{
    Stats_Sort(values, count);
    return values[count / 2];
}

#define SUMMARY(field)                                                        \
    do {                                                                      \
        for (uint32_t s_ = 0; s_ < seeds; s_++) {                             \
            values[s_] = (double)runs[s_].field;                              \
        }                                                                     \
        summary.field = median(values, seeds);                                \
    } while (0)

static figures_t
summarise(const figures_t *runs, uint32_t seeds, double spread[2])
{
    double values[SEEDS_MAX];
    figures_t summary = {0};
    for (int i = 0; i < 4; i++) {
        SUMMARY(stall_ms[i]);
        SUMMARY(first_ms[i]);
    }
    SUMMARY(event_stall_ms);
    SUMMARY(tail_stall_ms);
    SUMMARY(efficiency);
    SUMMARY(store_use);
    SUMMARY(loads);
    SUMMARY(evictions);
    SUMMARY(answered);
    SUMMARY(not_run);
    SUMMARY(unknown);
    SUMMARY(in_time);
    SUMMARY(bound_ms);
    SUMMARY(fairness);
    SUMMARY(stall_ms[2]);
    spread[0] = values[0];
    spread[1] = values[seeds - 1];
    return summary;
}

static figures_t
run_seeds(const deployment_t *deployment, case_t which, sky_policy_t policy,
          uint32_t weight, uint32_t seeds, double spread[2])
{
    figures_t runs[SEEDS_MAX];
    memset(runs, 0, sizeof runs);
    for (uint32_t s = 0; s < seeds; s++) {
        driver_t *driver = make_driver(deployment, 100 + s, policy, weight);
        arrivals[0] = (unsigned short)(100 + s);
        arrivals[1] = arrivals[2] = 1;
        run_load(driver, deployment, which);
        measure(driver, deployment, which, &runs[s]);
        if (getenv("SKY_CODES") != NULL) {
            print_codes(driver);
        }
        Driver_Free(driver);
    }
    return summarise(runs, seeds, spread);
}

static void
print_row(const deployment_t *deployment, case_t which, const char *policy,
          const figures_t *f, const double spread[2])
{
    printf("%-9s %-11s %-9s %6.0f %6.0f %6.0f %6.0f (%5.0f-%5.0f) %6.0f %6.0f "
           "%6.0f %6.0f %6.0f %6.0f %6.0f %5.3f %5.0f %5.0f %5.2f %5u %5u %4u "
           "%5u %4.2f\n",
           deployment->name, CASES[which], policy, f->stall_ms[0],
           f->stall_ms[1], f->stall_ms[2], f->stall_ms[3], spread[0],
           spread[1], f->event_stall_ms, f->tail_stall_ms, f->bound_ms,
           f->first_ms[0], f->first_ms[1], f->first_ms[2], f->first_ms[3],
           f->efficiency, (double)f->loads, (double)f->evictions, f->store_use,
           f->answered, f->not_run, f->unknown, f->in_time, f->fairness);
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    uint32_t seeds = 5;
    int only = -1;
    int weight = -1;
    int option;
    while ((option = getopt(argc, argv, "s:c:w:")) != -1) {
        if (option == 's') {
            seeds = (uint32_t)atoi(optarg);
        }
        else if (option == 'c') {
            only = atoi(optarg);
        }
        else if (option == 'w') {
            weight = atoi(optarg);
        }
    }
    seeds = seeds > SEEDS_MAX ? SEEDS_MAX : seeds;
    make_zipf();
    printf("medians over %u seeds; stalls and first tokens in ms; a refused "
           "request counts with its whole deadline\n",
           seeds);
    printf("site     case        policy     st50   st95   st99  stmax (spread "
           "of 99) event99 tail99 bound  ft50   ft95   ft99   ftmax  batch "
           "loads evict store  ans notrun unk in_time fair\n");
    for (size_t d = 0; d < sizeof DEPLOYMENTS / sizeof DEPLOYMENTS[0]; d++) {
        const deployment_t *deployment = &DEPLOYMENTS[d];
        for (int which = 0; which < CASE_COUNT; which++) {
            double spread[2];
            if (only >= 0 && which != only) {
                continue;
            }
            figures_t baseline =
                run_seeds(deployment, (case_t)which, SKY_POLICY_BASELINE, 0,
                          seeds, spread);
            print_row(deployment, (case_t)which, "baseline", &baseline,
                      spread);
            figures_t crowd = run_seeds(
                deployment, (case_t)which, SKY_POLICY_CROWD,
                weight >= 0 ? (uint32_t)weight : deployment->batch_weight,
                seeds, spread);
            print_row(deployment, (case_t)which, "crowd", &crowd, spread);
        }
    }
    return 0;
}
