#include "bench/oracle.h"

#include <stdlib.h>
#include <uthash.h>

#include "bench/stats.h"

typedef struct {
    sky_adapter_id_t id;
    uint32_t counted_requests; /* from counted_from_us on */
    uint32_t earlier_requests; /* before that */
    uint32_t waiting_requests;
    uint64_t loaded_us; /* UINT64_MAX: not loaded */
    UT_hash_handle hh;
} adapter_t;

static adapter_t *
find_or_add(adapter_t **table, sky_adapter_id_t id)
{
    adapter_t *adapter;
    HASH_FIND(hh, *table, &id, sizeof id, adapter);
    if (adapter == NULL) {
        adapter = calloc(1, sizeof *adapter);
        if (adapter == NULL) {
            abort();
        }
        adapter->id = id;
        adapter->loaded_us = UINT64_MAX;
        HASH_ADD(hh, *table, id, sizeof id, adapter);
    }
    return adapter;
}

static void
count_adapter_requests(const driver_t *driver, const oracle_options_t *options,
                       adapter_t **table)
{
    for (uint32_t i = 0; i < Driver_ResultCount(driver); i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        adapter_t *adapter = find_or_add(table, result->request.adapter);
        if (result->arrived_us >= options->counted_from_us) {
            adapter->counted_requests++;
        }
        else {
            adapter->earlier_requests++;
        }
    }
}

static int
compare_earlier_requests(const adapter_t *a, const adapter_t *b)
{
    return (b->earlier_requests > a->earlier_requests) -
           (b->earlier_requests < a->earlier_requests);
}

static int
compare_counted_requests(const adapter_t *a, const adapter_t *b)
{
    return (b->counted_requests > a->counted_requests) -
           (b->counted_requests < a->counted_requests);
}

/** Makes the adapters with most earlier requests resident, then loads those
 *  with most counted requests until the first of these arrives. */
static void
load_before_arrivals(const oracle_options_t *options, adapter_t **table)
{
    adapter_t *adapter;
    uint32_t resident = 0;
    HASH_SORT(*table, compare_earlier_requests);
    for (adapter = *table;
         adapter != NULL && resident < options->initial_adapters;
         adapter = adapter->hh.next) {
        if (adapter->earlier_requests > 0) {
            adapter->loaded_us = 0;
            resident++;
        }
    }
    HASH_SORT(*table, compare_counted_requests);
    double at_us = (double)options->announced_us;
    for (adapter = *table; adapter != NULL; adapter = adapter->hh.next) {
        at_us += 1e6 / options->loads_per_s;
        if (at_us >= (double)options->counted_from_us) {
            return;
        }
        if (adapter->loaded_us == UINT64_MAX &&
            adapter->counted_requests > 0) {
            adapter->loaded_us = (uint64_t)at_us;
        }
    }
}

static adapter_t *
find_most_awaited(adapter_t *table)
{
    adapter_t *best = NULL;
    adapter_t *adapter;
    for (adapter = table; adapter != NULL; adapter = adapter->hh.next) {
        if (adapter->loaded_us == UINT64_MAX &&
            adapter->waiting_requests > 0 &&
            (best == NULL ||
             adapter->waiting_requests > best->waiting_requests)) {
            best = adapter;
        }
    }
    return best;
}

/** Loads adapters that requests wait for, at the store's rate. */
static void
load_awaited(const oracle_options_t *options, adapter_t *table,
             uint64_t until_us, double *store_free_us)
{
    while (*store_free_us <= (double)until_us) {
        adapter_t *adapter = find_most_awaited(table);
        if (adapter == NULL) {
            *store_free_us = (double)until_us;
            return;
        }
        adapter->loaded_us = (uint64_t)*store_free_us + options->load_us;
        *store_free_us += 1e6 / options->loads_per_s;
    }
}

static void
replay_arrivals(const driver_t *driver, const oracle_options_t *options,
                adapter_t *table)
{
    double store_free_us = (double)options->counted_from_us;
    for (uint32_t i = 0; i < Driver_ResultCount(driver); i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        if (result->arrived_us < options->counted_from_us) {
            continue;
        }
        load_awaited(options, table, result->arrived_us, &store_free_us);
        adapter_t *adapter = find_or_add(&table, result->request.adapter);
        adapter->waiting_requests++;
    }
    load_awaited(options, table, UINT64_MAX / 4, &store_free_us);
}

static double
stall_percentile_ms(const driver_t *driver, const oracle_options_t *options,
                    adapter_t *table, double fraction)
{
    uint32_t total = Driver_ResultCount(driver);
    double *stalls = calloc(total + 1, sizeof *stalls);
    uint32_t count = 0;
    for (uint32_t i = 0; i < total; i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        const adapter_t *adapter =
            find_or_add(&table, result->request.adapter);
        if (result->arrived_us < options->counted_from_us) {
            continue;
        }
        bool has_to_wait = adapter->loaded_us > result->arrived_us;
        stalls[count++] =
            has_to_wait
                ? (double)(adapter->loaded_us - result->arrived_us) / 1000
                : 0;
    }
    Stats_Sort(stalls, count);
    double value = Stats_Percentile(stalls, count, fraction);
    free(stalls);
    return value;
}

double
Oracle_StallPercentileMs(const driver_t *driver,
                         const oracle_options_t *options, double fraction)
{
    adapter_t *table = NULL;
    adapter_t *adapter;
    adapter_t *next;
    count_adapter_requests(driver, options, &table);
    load_before_arrivals(options, &table);
    replay_arrivals(driver, options, table);
    double value = stall_percentile_ms(driver, options, table, fraction);
    HASH_ITER(hh, table, adapter, next)
    {
        HASH_DEL(table, adapter);
        free(adapter);
    }
    return value;
}
