#include "bench/oracle.h"

#include <stdlib.h>
#include <uthash.h>

#include "bench/stats.h"

typedef struct {
    sky_adapter_id_t id;
    uint32_t requests; /* of those that count */
    uint32_t before;   /* of those that came before */
    uint32_t waiting;
    uint64_t ready_us; /* UINT64_MAX: not loaded */
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
        adapter->ready_us = UINT64_MAX;
        HASH_ADD(hh, *table, id, sizeof id, adapter);
    }
    return adapter;
}

static void
count_requests(const driver_t *driver, const oracle_options_t *options,
               adapter_t **table)
{
    for (uint32_t i = 0; i < Driver_ResultCount(driver); i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        adapter_t *adapter = find_or_add(table, result->request.adapter);
        if (result->arrived_us >= options->from_us) {
            adapter->requests++;
        }
        else {
            adapter->before++;
        }
    }
}

static int
by_before(const adapter_t *a, const adapter_t *b)
{
    return (b->before > a->before) - (b->before < a->before);
}

static int
by_requests(const adapter_t *a, const adapter_t *b)
{
    return (b->requests > a->requests) - (b->requests < a->requests);
}

/** What was asked for most before is resident; what will be is loaded ahead.
 */
static void
load_ahead(const oracle_options_t *options, adapter_t **table)
{
    adapter_t *adapter;
    uint32_t resident = 0;
    HASH_SORT(*table, by_before);
    for (adapter = *table; adapter != NULL && resident < options->slots;
         adapter = adapter->hh.next) {
        if (adapter->before > 0) {
            adapter->ready_us = 0;
            resident++;
        }
    }
    HASH_SORT(*table, by_requests);
    double at_us = (double)options->known_us;
    for (adapter = *table; adapter != NULL; adapter = adapter->hh.next) {
        at_us += 1e6 / options->loads_per_s;
        if (at_us >= (double)options->from_us) {
            return;
        }
        if (adapter->ready_us == UINT64_MAX && adapter->requests > 0) {
            adapter->ready_us = (uint64_t)at_us;
        }
    }
}

static adapter_t *
most_waiting(adapter_t *table)
{
    adapter_t *best = NULL;
    adapter_t *adapter;
    for (adapter = table; adapter != NULL; adapter = adapter->hh.next) {
        if (adapter->ready_us == UINT64_MAX && adapter->waiting > 0 &&
            (best == NULL || adapter->waiting > best->waiting)) {
            best = adapter;
        }
    }
    return best;
}

/** The store takes one adapter after the other, at its rate. */
static void
load_waiting(const oracle_options_t *options, adapter_t *table,
             uint64_t until_us, double *free_us)
{
    while (*free_us <= (double)until_us) {
        adapter_t *adapter = most_waiting(table);
        if (adapter == NULL) {
            *free_us = (double)until_us;
            return;
        }
        adapter->ready_us = (uint64_t)*free_us + options->load_us;
        *free_us += 1e6 / options->loads_per_s;
    }
}

static void
replay(const driver_t *driver, const oracle_options_t *options,
       adapter_t *table)
{
    double free_us = (double)options->from_us;
    for (uint32_t i = 0; i < Driver_ResultCount(driver); i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        if (result->arrived_us < options->from_us) {
            continue;
        }
        load_waiting(options, table, result->arrived_us, &free_us);
        adapter_t *adapter = find_or_add(&table, result->request.adapter);
        adapter->waiting++;
    }
    load_waiting(options, table, UINT64_MAX / 4, &free_us);
}

static double
percentile_of(const driver_t *driver, const oracle_options_t *options,
              adapter_t *table, double share)
{
    uint32_t total = Driver_ResultCount(driver);
    double *stalls = calloc(total + 1, sizeof *stalls);
    uint32_t count = 0;
    for (uint32_t i = 0; i < total; i++) {
        const driver_result_t *result = Driver_Result(driver, i);
        const adapter_t *adapter =
            find_or_add(&table, result->request.adapter);
        if (result->arrived_us < options->from_us) {
            continue;
        }
        bool waits = adapter->ready_us > result->arrived_us;
        stalls[count++] =
            waits ? (double)(adapter->ready_us - result->arrived_us) / 1000
                  : 0;
    }
    Stats_Sort(stalls, count);
    double value = Stats_Percentile(stalls, count, share);
    free(stalls);
    return value;
}

double
Oracle_Percentile(const driver_t *driver, const oracle_options_t *options,
                  double share)
{
    adapter_t *table = NULL;
    adapter_t *adapter;
    adapter_t *next;
    count_requests(driver, options, &table);
    load_ahead(options, &table);
    replay(driver, options, table);
    double value = percentile_of(driver, options, table, share);
    HASH_ITER(hh, table, adapter, next)
    {
        HASH_DEL(table, adapter);
        free(adapter);
    }
    return value;
}
