#include "decide/placer.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "core/invariant.h"

/** Popularity shifts within seconds. */
#define POPULARITY_HALF_LIFE_MS 4000.0
/** First poll after this fraction of the expected load duration: loads of warm
 *  adapters take less than the average. */
#define FIRST_POLL_FRACTION 0.4
#define POLL_INTERVAL_MS 25 /**< between polls for the end of an order */
/** A target that refuses polls while an order waits is asked for a report
 * after this long: loads may have ended there. */
#define REFUSING_MAX_MS 400
#define LOAD_MS_GAIN 0.3 /**< weight of the newest load in the average */
/** Limits a measured load duration, relative to the initial estimate. Many
 *  loads use the link to a target at once, so that some take several times as
 *  long. */
#define LOAD_MS_FACTOR_MAX 4.0
/** Version of an adapter of which no newer one was announced. */
#define INITIAL_VERSION 1
/** An adapter whose unload was refused as in use is not chosen again for this
 *  long. */
#define IN_USE_RETRY_MS 200
/** Hosts remembered for each adapter; a few suffice to tell that it is in
 *  use. */
#define ACTIVE_HOSTS_MAX 8
/** Hosts report their running requests again within this time. */
#define RUNNING_REPORT_TTL_MS 350
#define REPORT_RETRY_MS 250
/** Delay after a conflict or a lost response before the target is contacted
 *  again. */
#define CONFLICT_RETRY_MS 30
#define MODEL_REPORT_INTERVAL_MS 300 /**< while a model is being loaded */

/** A host with running requests on an adapter, by its newest report. */
typedef struct {
    uint64_t host;
    uint64_t expires_ms;
} active_host_t;

typedef struct adapter_record {
    sky_adapter_key_t key;
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    uint32_t version; /**< resident version; 0 during the first load */
    uint32_t requested_version; /**< to load or replace it by; 0: none */
    uint32_t ordered_version;   /**< of the load in progress, for its polls */
    uint32_t order_number; /**< of the last order that frees a slot; 0: none */
    sky_adapter_state_t state;
    double popularity; /**< decaying use count, as of popularity_ms */
    uint64_t popularity_ms;
    uint64_t requested_ms;     /**< last load request, or end of its load */
    uint64_t load_accepted_ms; /**< the target accepted its load order */
    uint64_t next_poll_ms;     /**< 0: no order on it is in progress */
    uint64_t in_use_until_ms;  /**< the target refused to unload it */
    active_host_t active_hosts[ACTIVE_HOSTS_MAX];
    uint32_t urgency;  /**< the most urgent of its load requests */
    bool is_under_way; /**< one of them is for a stream under way */
    uint64_t queued_ms;
    uint64_t due_ms; /**< the latest deadline of its load requests */
    struct adapter_record *prev;
    struct adapter_record *next;
} adapter_record_t;

/** Memory that a model and each of its adapters take. */
typedef struct {
    sky_adapter_key_t model; /**< key of the model alone */
    uint32_t weights_mb;
    uint32_t adapter_mb;
    UT_hash_handle hh;
} model_size_t;

struct sky_placer {
    sky_placer_options_t options;
    uint32_t weights_mb;       /**< memory for models and adapters; 0: any */
    model_size_t *model_sizes; /**< a hash of them by model */
    adapter_record_t *records;
    uint64_t accepted_orders; /**< count expected at the target */
    bool state_known;         /**< a report of the target was applied */
    /** Since when the target refuses to tell of loads while another order
     * waits there; 0: it does not. */
    uint64_t refusing_since_ms;
    bool action_pending; /**< pending_action has no result yet */
    sky_placer_action_t pending_action;
    uint32_t order_number; /**< the last one that was used */
    /** The last order got no response: it may have been executed, or may be
     *  executed later. */
    bool order_unconfirmed;
    sky_stray_loads_t strays;         /**< of this run */
    sky_stray_loads_t earlier_strays; /**< of earlier runs */
    /** Slots kept free for earlier strays that may follow the next order. */
    uint32_t reserved_slots;
    uint64_t next_report_ms; /**< earliest time to read a report */
    uint64_t next_order_ms;  /**< earliest time to send an order */
    uint64_t last_result_ms;
    double load_ms; /**< expected load duration, a moving average */
};

sky_result_t
SkyPlacer_Create(const sky_placer_options_t *options, sky_placer_t **placer)
{
    sky_placer_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->load_ms = options->load_ms;
    *placer = self;
    return SKY_OK;
}

static model_size_t *
find_model_size(const sky_placer_t *placer, const char *model)
{
    sky_adapter_key_t key = SkyFleet_MakeAdapterKey(model, "");
    model_size_t *size;
    HASH_FIND(hh, placer->model_sizes, &key, sizeof key, size);
    return size;
}

static void
record_model_size(sky_placer_t *placer, const sky_model_size_t *model)
{
    model_size_t *size = find_model_size(placer, model->name);
    if (size == NULL) {
        size = calloc(1, sizeof *size);
        if (size == NULL) {
            return;
        }
        size->model = SkyFleet_MakeAdapterKey(model->name, "");
        HASH_ADD(hh, placer->model_sizes, model, sizeof size->model, size);
    }
    size->weights_mb = model->weights_mb;
    size->adapter_mb = model->adapter_mb;
}

void
SkyPlacer_SetCapacity(sky_placer_t *placer,
                      const sky_placer_capacity_t *capacity)
{
    placer->options.adapter_slots_max = capacity->adapter_slots;
    placer->weights_mb = capacity->weights_mb;
    for (uint32_t i = 0; i < capacity->model_count; i++) {
        record_model_size(placer, &capacity->models[i]);
    }
}

static void
remove_record(sky_placer_t *placer, adapter_record_t *record)
{
    DL_DELETE(placer->records, record);
    free(record);
}

static void
remove_all_records(sky_placer_t *placer)
{
    adapter_record_t *record;
    adapter_record_t *next;
    DL_FOREACH_SAFE(placer->records, record, next)
    {
        remove_record(placer, record);
    }
}

void
SkyPlacer_Free(sky_placer_t *placer)
{
    if (placer == NULL) {
        return;
    }
    remove_all_records(placer);
    SkyStrayLoads_Clear(&placer->strays);
    SkyStrayLoads_Clear(&placer->earlier_strays);
    model_size_t *size;
    model_size_t *next;
    HASH_ITER(hh, placer->model_sizes, size, next)
    {
        HASH_DEL(placer->model_sizes, size);
        free(size);
    }
    free(placer);
}

static adapter_record_t *
find_record(const sky_placer_t *placer, sky_adapter_key_t key)
{
    adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        if (record->key == key) {
            return record;
        }
    }
    return NULL;
}

static adapter_record_t *
add_record(sky_placer_t *placer, const char *model, const char *adapter)
{
    adapter_record_t *record = calloc(1, sizeof *record);
    if (record != NULL) {
        record->key = SkyFleet_MakeAdapterKey(model, adapter);
        snprintf(record->model, sizeof record->model, "%s", model);
        snprintf(record->adapter, sizeof record->adapter, "%s", adapter);
        DL_APPEND(placer->records, record);
    }
    return record;
}

static double
decayed_popularity(const adapter_record_t *record, uint64_t now_ms)
{
    double age_ms = (double)(now_ms - record->popularity_ms);
    return record->popularity * exp2(-age_ms / POPULARITY_HALF_LIFE_MS);
}

static void
add_popularity(adapter_record_t *record, double amount, uint64_t now_ms)
{
    record->popularity = decayed_popularity(record, now_ms) + amount;
    record->popularity_ms = now_ms;
}

static bool
is_adapter(const adapter_record_t *record)
{
    return record->adapter[0] != '\0';
}

static uint32_t
count_in_state(const sky_placer_t *placer, sky_adapter_state_t state)
{
    uint32_t count = 0;
    const adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        count += record->state == state && is_adapter(record) ? 1 : 0;
    }
    return count;
}

/* Counts the adapters that wait for a load before a new request of its kind
 * does. */
static uint32_t
count_queued_before(const sky_placer_t *placer, bool is_under_way)
{
    uint32_t count = 0;
    const adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        count += record->state == SKY_ADAPTER_QUEUED && is_adapter(record) &&
                 (record->is_under_way || !is_under_way);
    }
    return count;
}

/* Whether a newer version of a resident adapter is being loaded. */
static bool
is_being_replaced(const adapter_record_t *record)
{
    return record->state == SKY_ADAPTER_RESIDENT && record->next_poll_ms > 0;
}

static bool
is_waiting_order(const adapter_record_t *record)
{
    return record->state == SKY_ADAPTER_UNLOADING || is_being_replaced(record);
}

/* An adapter that is being replaced takes a second slot. */
static uint32_t
count_loading(const sky_placer_t *placer)
{
    uint32_t count = 0;
    const adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        count += is_adapter(record) && (record->state == SKY_ADAPTER_LOADING ||
                                        is_being_replaced(record));
    }
    return count;
}

/* Whether an order waits for requests to end, so that the target may refuse
 * every other order: an unload, or the replacement of a resident version. */
static bool
has_waiting_order(const sky_placer_t *placer)
{
    const adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        if (is_waiting_order(record)) {
            return true;
        }
    }
    return false;
}

void
SkyPlacer_TakeStrayLoads(sky_placer_t *placer, sky_stray_loads_t *strays,
                         uint64_t now_ms)
{
    const sky_placer_action_t *pending = &placer->pending_action;
    if (placer->action_pending && pending->step == SKY_PLACER_LOAD) {
        SkyStrayLoads_Record(strays, pending->expected_order_count, now_ms);
    }
    SkyStrayLoads_Merge(strays, &placer->strays);
    SkyStrayLoads_Merge(strays, &placer->earlier_strays);
}

void
SkyPlacer_AddEarlierStrayLoads(sky_placer_t *placer, sky_stray_loads_t *strays)
{
    SkyStrayLoads_Merge(&placer->earlier_strays, strays);
}

static uint32_t
count_slots_used(const sky_placer_t *placer)
{
    return count_in_state(placer, SKY_ADAPTER_RESIDENT) +
           count_in_state(placer, SKY_ADAPTER_UNLOADING) +
           count_loading(placer);
}

/* Returns the memory that an adapter or a model takes; UINT32_MAX if that is
 * not known. */
static uint32_t
find_size_mb(const sky_placer_t *placer, const adapter_record_t *record)
{
    const model_size_t *size = find_model_size(placer, record->model);
    if (size == NULL) {
        return UINT32_MAX;
    }
    return is_adapter(record) ? size->adapter_mb : size->weights_mb;
}

static uint64_t
count_memory_used_mb(const sky_placer_t *placer, bool with_adapters)
{
    uint64_t used_mb = 0;
    const adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        if (record->state != SKY_ADAPTER_QUEUED &&
            (with_adapters || !is_adapter(record))) {
            uint64_t size_mb = find_size_mb(placer, record);
            used_mb += is_being_replaced(record) ? 2 * size_mb : size_mb;
        }
    }
    return used_mb;
}

static bool
has_memory(const sky_placer_t *placer, const adapter_record_t *record,
           bool with_adapters)
{
    return placer->weights_mb == 0 ||
           count_memory_used_mb(placer, with_adapters) +
                   find_size_mb(placer, record) <=
               placer->weights_mb;
}

/* Whether evictions of adapters can make room for a load. No model is
 * unloaded. */
static bool
can_have_room(const sky_placer_t *placer, const adapter_record_t *record)
{
    return has_memory(placer, record, false);
}

static uint32_t
count_usable_slots(const sky_placer_t *placer)
{
    uint32_t slots = placer->options.adapter_slots_max;
    return slots > placer->reserved_slots ? slots - placer->reserved_slots : 0;
}

/* Whether the target has room for a load now, as far as is known of it. No
 * load is ordered without this. */
static bool
has_room(const sky_placer_t *placer, const adapter_record_t *record)
{
    return (!is_adapter(record) ||
            count_slots_used(placer) < count_usable_slots(placer)) &&
           has_memory(placer, record, true);
}

static bool
is_model_resident(const sky_placer_t *placer, const char *model)
{
    const adapter_record_t *record =
        find_record(placer, SkyFleet_MakeAdapterKey(model, ""));
    return record != NULL && record->state == SKY_ADAPTER_RESIDENT;
}

/* Resident adapters are applied before those that are being loaded, so that
 * an adapter whose newer version is in transit stays resident. */
static void
apply_resident(sky_placer_t *placer, const sky_resident_t *resident,
               sky_adapter_state_t state, uint64_t now_ms)
{
    adapter_record_t *record = find_record(
        placer, SkyFleet_MakeAdapterKey(resident->model, resident->adapter));
    if (record == NULL) {
        record = add_record(placer, resident->model, resident->adapter);
    }
    if (record == NULL) {
        return;
    }
    if (state == SKY_ADAPTER_RESIDENT) {
        record->state = SKY_ADAPTER_RESIDENT;
        record->version = resident->version;
        record->next_poll_ms = 0;
        if (record->requested_version <= record->version) {
            record->requested_version = 0;
        }
        return;
    }
    if (record->state != SKY_ADAPTER_RESIDENT) {
        record->state = SKY_ADAPTER_LOADING;
    }
    record->ordered_version = resident->version;
    record->load_accepted_ms = now_ms;
    record->next_poll_ms = now_ms + POLL_INTERVAL_MS;
}

/* Once an adapter is gone, it is not loaded in an older version than it had.
 */
static void
clear_version(adapter_record_t *record)
{
    if (record->requested_version < record->version) {
        record->requested_version = record->version;
    }
    record->version = 0;
}

void
SkyPlacer_ApplyReport(sky_placer_t *placer, const sky_target_report_t *report,
                      uint64_t now_ms)
{
    adapter_record_t *record;
    adapter_record_t *next;
    placer->action_pending = false;
    placer->order_unconfirmed = false;
    placer->refusing_since_ms = 0;
    placer->state_known = !report->busy;
    placer->next_report_ms = now_ms + MODEL_REPORT_INTERVAL_MS;
    if (report->order_count < placer->accepted_orders) {
        /* The target started again under its id. */
        SkyStrayLoads_Merge(&placer->earlier_strays, &placer->strays);
    }
    placer->accepted_orders = report->order_count;
    DL_FOREACH_SAFE(placer->records, record, next)
    {
        record->next_poll_ms = 0;
        if (record->state != SKY_ADAPTER_QUEUED) {
            clear_version(record);
            record->state = record->due_ms > now_ms ? SKY_ADAPTER_QUEUED
                                                    : SKY_ADAPTER_ABSENT;
        }
    }
    for (uint32_t i = 0; i < report->resident_count; i++) {
        apply_resident(placer, &report->residents[i], SKY_ADAPTER_RESIDENT,
                       now_ms);
    }
    for (uint32_t i = 0; i < report->loading_count; i++) {
        apply_resident(placer, &report->loading[i], SKY_ADAPTER_LOADING,
                       now_ms);
    }
    DL_FOREACH_SAFE(placer->records, record, next)
    {
        if (record->state == SKY_ADAPTER_ABSENT) {
            remove_record(placer, record);
        }
    }
}

void
SkyPlacer_HandleReportFailure(sky_placer_t *placer, uint64_t now_ms)
{
    placer->action_pending = false;
    placer->next_report_ms = now_ms + REPORT_RETRY_MS;
}

void
SkyPlacer_InvalidateState(sky_placer_t *placer, uint64_t now_ms)
{
    placer->state_known = false;
    placer->next_report_ms = now_ms;
}

bool
SkyPlacer_IsStateKnown(const sky_placer_t *placer)
{
    return placer->state_known;
}

sky_adapter_state_t
SkyPlacer_GetState(const sky_placer_t *placer, sky_adapter_key_t adapter,
                   uint32_t version)
{
    const adapter_record_t *record = find_record(placer, adapter);
    if (record == NULL) {
        return SKY_ADAPTER_ABSENT;
    }
    if (record->state == SKY_ADAPTER_RESIDENT && is_adapter(record) &&
        record->version < version) {
        return record->next_poll_ms > 0 ? SKY_ADAPTER_LOADING
                                        : SKY_ADAPTER_QUEUED;
    }
    return record->state;
}

uint32_t
SkyPlacer_GetResidentVersion(const sky_placer_t *placer,
                             sky_adapter_key_t adapter)
{
    const adapter_record_t *record = find_record(placer, adapter);
    return record != NULL && record->state == SKY_ADAPTER_RESIDENT
               ? record->version
               : 0;
}

uint32_t
SkyPlacer_ListResident(const sky_placer_t *placer, uint64_t now_ms,
                       sky_residency_t *list, uint32_t max_count)
{
    uint32_t count = 0;
    double total = 0.0;
    const adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        total += decayed_popularity(record, now_ms);
    }
    DL_FOREACH(placer->records, record)
    {
        if (record->state == SKY_ADAPTER_RESIDENT && count < max_count) {
            double popularity = decayed_popularity(record, now_ms);
            list[count++] = (sky_residency_t){
                .adapter = record->key,
                .version = record->version,
                .present = true,
                .use_fraction =
                    total > 0.0 ? (float)(popularity / total) : 0.0f};
        }
    }
    return count;
}

/* With more hosts than entries, the report that expires first is replaced. */
static void
record_running(adapter_record_t *record, uint64_t host, uint32_t running,
               uint64_t now_ms)
{
    active_host_t *slot = NULL;
    for (int i = 0; i < ACTIVE_HOSTS_MAX; i++) {
        active_host_t *active_host = &record->active_hosts[i];
        if (active_host->host == host) {
            slot = active_host;
            break;
        }
        if (slot == NULL || active_host->expires_ms < slot->expires_ms) {
            slot = active_host;
        }
    }
    if (running > 0) {
        *slot = (active_host_t){.host = host,
                                .expires_ms = now_ms + RUNNING_REPORT_TTL_MS};
    }
    else if (slot->host == host) {
        *slot = (active_host_t){0};
    }
}

static bool
is_in_use(const adapter_record_t *record, uint64_t now_ms)
{
    for (int i = 0; i < ACTIVE_HOSTS_MAX; i++) {
        if (record->active_hosts[i].expires_ms > now_ms) {
            return true;
        }
    }
    return record->in_use_until_ms > now_ms;
}

void
SkyPlacer_RecordUse(sky_placer_t *placer, sky_adapter_key_t adapter,
                    uint64_t host, uint32_t count, uint32_t running,
                    uint64_t now_ms)
{
    adapter_record_t *record = find_record(placer, adapter);
    if (record == NULL) {
        return;
    }
    if (count > 0) {
        add_popularity(record, count, now_ms);
    }
    record_running(record, host, running, now_ms);
}

/* Estimated time until a load that is requested now has ended. */
static double
estimate_load_wait_ms(const sky_placer_t *placer, bool is_under_way)
{
    uint32_t loads_ahead = count_queued_before(placer, is_under_way) +
                           count_in_state(placer, SKY_ADAPTER_LOADING);
    return placer->load_ms *
           (1.0 + (double)loads_ahead / placer->options.loading_max);
}

uint32_t
SkyPlacer_RetryAfterMs(const sky_placer_t *placer)
{
    return (uint32_t)estimate_load_wait_ms(placer, false);
}

static bool
can_load_in_time(const sky_placer_t *placer, const sky_load_request_t *request,
                 uint64_t now_ms)
{
    bool is_under_way = request->is_under_way;
    return count_queued_before(placer, is_under_way) <
               placer->options.queued_max &&
           now_ms + (uint64_t)estimate_load_wait_ms(placer, is_under_way) <
               request->due_ms;
}

static void
merge_load_request(adapter_record_t *record, const sky_load_request_t *request,
                   uint64_t now_ms)
{
    if (record->due_ms <= now_ms || request->urgency < record->urgency) {
        record->urgency = request->urgency;
    }
    if (record->due_ms <= now_ms) {
        record->queued_ms = now_ms;
        record->is_under_way = false;
    }
    record->is_under_way = record->is_under_way || request->is_under_way;
    if (request->due_ms > record->due_ms) {
        record->due_ms = request->due_ms;
    }
    if (request->version > record->version &&
        request->version > record->requested_version) {
        record->requested_version = request->version;
    }
}

sky_adapter_state_t
SkyPlacer_RequestLoad(sky_placer_t *placer, const sky_load_request_t *request,
                      uint64_t now_ms)
{
    sky_adapter_key_t key =
        SkyFleet_MakeAdapterKey(request->model, request->adapter);
    adapter_record_t *record = find_record(placer, key);
    if (record == NULL) {
        if (!can_load_in_time(placer, request, now_ms)) {
            return SKY_ADAPTER_ABSENT;
        }
        record = add_record(placer, request->model, request->adapter);
        if (record == NULL) {
            return SKY_ADAPTER_ABSENT;
        }
        record->state = SKY_ADAPTER_QUEUED;
        if (!can_have_room(placer, record)) {
            remove_record(placer, record);
            return SKY_ADAPTER_ABSENT;
        }
    }
    add_popularity(record, 1.0, now_ms);
    record->requested_ms = now_ms;
    sky_adapter_state_t state =
        SkyPlacer_GetState(placer, key, request->version);
    if (state != SKY_ADAPTER_RESIDENT) {
        merge_load_request(record, request, now_ms);
    }
    return state;
}

void
SkyPlacer_ApplyAnnouncedVersion(sky_placer_t *placer,
                                sky_adapter_key_t adapter, uint32_t version)
{
    adapter_record_t *record = find_record(placer, adapter);
    if (record != NULL && record->version < version &&
        record->requested_version < version) {
        record->requested_version = version;
    }
}

/* A load names a version always, and a poll the one that was ordered: "the
 * newest" means another one once a newer version exists, so that a poll for it
 * would be a new load. */
static uint32_t
choose_version(const adapter_record_t *record)
{
    if (record->next_poll_ms > 0) {
        return record->ordered_version;
    }
    if (!is_adapter(record)) {
        return 0;
    }
    return record->requested_version > INITIAL_VERSION
               ? record->requested_version
               : INITIAL_VERSION;
}

static void
set_action(const sky_placer_t *placer, const adapter_record_t *record,
           sky_placer_step_t step, sky_placer_action_t *action)
{
    *action = (sky_placer_action_t){
        .step = step,
        .expected_order_count = placer->accepted_orders,
        .is_poll = record->next_poll_ms > 0,
        /* An older version goes as the newer one is
         * loaded. */
        .frees_slot =
            step == SKY_PLACER_UNLOAD || record->state == SKY_ADAPTER_RESIDENT,
        .slots_used = count_slots_used(placer)};
    snprintf(action->model, sizeof action->model, "%s", record->model);
    snprintf(action->adapter, sizeof action->adapter, "%s", record->adapter);
    if (step == SKY_PLACER_LOAD) {
        SKY_INVARIANT(SKY_INV_LOAD_HAS_ROOM,
                      action->is_poll || has_room(placer, record));
        action->version = choose_version(record);
    }
}

static bool
is_loaded_before(const adapter_record_t *one, const adapter_record_t *other)
{
    if (one->is_under_way != other->is_under_way) {
        return one->is_under_way;
    }
    if (one->urgency != other->urgency) {
        return one->urgency < other->urgency;
    }
    return one->queued_ms < other->queued_ms;
}

/* Chooses a load for a stream under way, else the most urgent one; of equal
 * ones the longest waiting. */
static adapter_record_t *
choose_next_load(const sky_placer_t *placer, uint64_t now_ms)
{
    adapter_record_t *best = NULL;
    adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        bool is_replacing = record->state == SKY_ADAPTER_RESIDENT &&
                            is_adapter(record) &&
                            record->requested_version > record->version &&
                            record->next_poll_ms == 0;
        bool is_waiting = record->state == SKY_ADAPTER_QUEUED &&
                          record->due_ms > now_ms + (uint64_t)placer->load_ms;
        bool is_model_ready =
            !is_adapter(record) || is_model_resident(placer, record->model);
        if ((!is_waiting && !is_replacing) || !is_model_ready ||
            !can_have_room(placer, record)) {
            continue;
        }
        if (best == NULL || is_loaded_before(record, best)) {
            best = record;
        }
    }
    return best;
}

static bool
can_evict(const sky_placer_t *placer, const adapter_record_t *record,
          uint64_t now_ms)
{
    return record->state == SKY_ADAPTER_RESIDENT && is_adapter(record) &&
           record->next_poll_ms == 0 && !is_in_use(record, now_ms) &&
           record->requested_ms + placer->options.min_idle_ms <= now_ms;
}

static adapter_record_t *
choose_victim(const sky_placer_t *placer, const adapter_record_t *new_adapter,
              uint64_t now_ms)
{
    adapter_record_t *best = NULL;
    adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        if (record != new_adapter && can_evict(placer, record, now_ms) &&
            (best == NULL || decayed_popularity(record, now_ms) <
                                 decayed_popularity(best, now_ms))) {
            best = record;
        }
    }
    return best;
}

bool
SkyPlacer_CanStartLoad(const sky_placer_t *placer, bool is_under_way,
                       uint64_t now_ms)
{
    uint32_t used = count_slots_used(placer);
    uint32_t slots = count_usable_slots(placer);
    uint32_t free_slots = used < slots ? slots - used : 0;
    const adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        free_slots += can_evict(placer, record, now_ms) ? 1 : 0;
    }
    uint32_t queued = count_queued_before(placer, is_under_way);
    return placer->state_known && !has_waiting_order(placer) &&
           queued < free_slots &&
           count_loading(placer) + queued < placer->options.loading_max;
}

static adapter_record_t *
find_next_poll(const sky_placer_t *placer)
{
    adapter_record_t *best = NULL;
    adapter_record_t *record;
    DL_FOREACH(placer->records, record)
    {
        bool is_refused =
            placer->refusing_since_ms > 0 && !is_waiting_order(record);
        if (record->next_poll_ms > 0 && !is_refused &&
            (best == NULL || record->next_poll_ms < best->next_poll_ms)) {
            best = record;
        }
    }
    return best;
}

static void
remove_expired_requests(sky_placer_t *placer, uint64_t now_ms)
{
    adapter_record_t *record;
    adapter_record_t *next;
    DL_FOREACH_SAFE(placer->records, record, next)
    {
        if (record->state == SKY_ADAPTER_QUEUED && record->due_ms <= now_ms) {
            remove_record(placer, record);
        }
    }
}

static bool
choose_order(const sky_placer_t *placer, uint64_t now_ms,
             sky_placer_action_t *action)
{
    const adapter_record_t *next_poll = find_next_poll(placer);
    if (next_poll != NULL && next_poll->next_poll_ms <= now_ms) {
        set_action(placer, next_poll,
                   next_poll->state == SKY_ADAPTER_UNLOADING
                       ? SKY_PLACER_UNLOAD
                       : SKY_PLACER_LOAD,
                   action);
        return true;
    }
    const adapter_record_t *next_load = choose_next_load(placer, now_ms);
    if (next_load == NULL || has_waiting_order(placer) ||
        (is_adapter(next_load) &&
         count_loading(placer) >= placer->options.loading_max)) {
        return false;
    }
    if (has_room(placer, next_load)) {
        set_action(placer, next_load, SKY_PLACER_LOAD, action);
        return true;
    }
    const adapter_record_t *victim = choose_victim(placer, next_load, now_ms);
    if (victim == NULL) {
        return false;
    }
    set_action(placer, victim, SKY_PLACER_UNLOAD, action);
    return true;
}

/* A poll has the number of its order; one that is known from a report has
 * none.
 */
static void
number_order(sky_placer_t *placer, sky_placer_action_t *action)
{
    adapter_record_t *record = find_record(
        placer, SkyFleet_MakeAdapterKey(action->model, action->adapter));
    if (record == NULL || !action->frees_slot) {
        return;
    }
    if (!action->is_poll || record->order_number == 0) {
        record->order_number = ++placer->order_number;
    }
    action->order_number = record->order_number;
}

/* Returns the slots that have to be free after the next load: as many as
 * earlier strays can take then, or after any number of unloads that follow. */
static uint32_t
count_slots_to_reserve(const sky_placer_t *placer, uint64_t now_ms)
{
    uint32_t reserved = 0;
    for (uint32_t unloads = 0; unloads < placer->options.adapter_slots_max;
         unloads++) {
        uint32_t strays = SkyStrayLoads_CountFrom(
            &placer->earlier_strays, placer->accepted_orders + 1 + unloads,
            now_ms);
        if (strays > unloads + reserved) {
            reserved = strays - unloads;
        }
    }
    return reserved;
}

static void
update_refusing(sky_placer_t *placer, uint64_t now_ms)
{
    if (!has_waiting_order(placer)) {
        placer->refusing_since_ms = 0;
    }
    else if (placer->refusing_since_ms > 0 &&
             now_ms >= placer->refusing_since_ms + REFUSING_MAX_MS) {
        SkyPlacer_InvalidateState(placer, now_ms);
    }
}

void
SkyPlacer_ChooseAction(sky_placer_t *placer, uint64_t now_ms,
                       sky_placer_action_t *action)
{
    *action =
        (sky_placer_action_t){.step = SKY_PLACER_WAIT, .wake_ms = UINT64_MAX};
    if (placer->action_pending) {
        return;
    }
    remove_expired_requests(placer, now_ms);
    update_refusing(placer, now_ms);
    placer->reserved_slots = count_slots_to_reserve(placer, now_ms);
    if (!placer->state_known) {
        uint64_t report_valid_ms =
            placer->last_result_ms + placer->options.report_lag_ms;
        uint64_t report_ms = placer->next_report_ms > report_valid_ms
                                 ? placer->next_report_ms
                                 : report_valid_ms;
        if (report_ms > now_ms) {
            action->wake_ms = report_ms;
            return;
        }
        action->step = SKY_PLACER_READ_REPORT;
    }
    else if (placer->next_order_ms > now_ms) {
        action->wake_ms = placer->next_order_ms;
        return;
    }
    else if (placer->order_unconfirmed) {
        /* Sends the same order again. It carries the same order count, so
         * that the target accepts it once; a copy that arrives late finds a
         * higher count and is rejected. */
        *action = placer->pending_action;
    }
    else if (!choose_order(placer, now_ms, action)) {
        const adapter_record_t *next_poll = find_next_poll(placer);
        action->wake_ms =
            next_poll ? next_poll->next_poll_ms : now_ms + POLL_INTERVAL_MS;
        if (next_poll == NULL && choose_next_load(placer, now_ms) == NULL) {
            action->wake_ms = UINT64_MAX;
        }
        return;
    }
    else {
        number_order(placer, action);
    }
    placer->action_pending = true;
    placer->pending_action = *action;
}

static void
record_loaded(sky_placer_t *placer, adapter_record_t *record, uint32_t version,
              uint64_t now_ms)
{
    if (record->load_accepted_ms > 0) {
        /* Limited, as lost responses and stalls do not predict the duration
         * of the next load. */
        double load_duration_ms =
            fmin((double)(now_ms - record->load_accepted_ms),
                 placer->options.load_ms * LOAD_MS_FACTOR_MAX);
        placer->load_ms += LOAD_MS_GAIN * (load_duration_ms - placer->load_ms);
        record->load_accepted_ms = 0;
    }
    record->state = SKY_ADAPTER_RESIDENT;
    record->next_poll_ms = 0;
    record->due_ms = 0;
    record->is_under_way = false;
    record->version = version > 0 ? version : 1;
    record->requested_ms = now_ms;
    if (record->requested_version <= record->version) {
        record->requested_version = 0;
    }
}

/* An accepted load takes a slot even if its request has expired meanwhile. */
static adapter_record_t *
find_or_add_ordered(sky_placer_t *placer, const sky_placer_action_t *action)
{
    adapter_record_t *record = find_record(
        placer, SkyFleet_MakeAdapterKey(action->model, action->adapter));
    if (record == NULL && action->step == SKY_PLACER_LOAD) {
        record = add_record(placer, action->model, action->adapter);
    }
    return record;
}

/* The target accepted an order and counts it. */
static void
apply_accepted(sky_placer_t *placer, const sky_placer_action_t *action,
               uint64_t now_ms)
{
    placer->accepted_orders++;
    adapter_record_t *record = find_or_add_ordered(placer, action);
    if (record == NULL) {
        return;
    }
    if (!is_adapter(record)) {
        /* A model takes seconds to load; its end is seen in a report. */
        record->state = SKY_ADAPTER_LOADING;
        placer->state_known = false;
        placer->next_report_ms = now_ms + MODEL_REPORT_INTERVAL_MS;
    }
    else if (action->step == SKY_PLACER_UNLOAD) {
        record->state = SKY_ADAPTER_UNLOADING;
        record->next_poll_ms = now_ms + POLL_INTERVAL_MS;
    }
    else {
        if (record->state != SKY_ADAPTER_RESIDENT) {
            record->state = SKY_ADAPTER_LOADING;
        }
        record->ordered_version = action->version;
        record->load_accepted_ms = now_ms;
        record->next_poll_ms =
            now_ms + (uint64_t)(placer->load_ms * FIRST_POLL_FRACTION);
    }
}

/* An order that was polled is still in progress; the target counts it once. */
static void
apply_still_running(sky_placer_t *placer, const sky_placer_action_t *action,
                    uint64_t now_ms)
{
    adapter_record_t *record = find_record(
        placer, SkyFleet_MakeAdapterKey(action->model, action->adapter));
    if (record != NULL) {
        record->next_poll_ms = now_ms + POLL_INTERVAL_MS;
    }
}

static void
apply_already_done(sky_placer_t *placer, const sky_placer_action_t *action,
                   uint64_t now_ms)
{
    adapter_record_t *record = find_or_add_ordered(placer, action);
    if (placer->order_unconfirmed && action->step == SKY_PLACER_LOAD) {
        placer->accepted_orders++; /* accepted, its response was lost */
    }
    if (record == NULL) {
        return;
    }
    if (action->step == SKY_PLACER_UNLOAD) {
        /* An unload that is done at once counts as an order. */
        placer->accepted_orders += action->is_poll ? 0 : 1;
        record->state = SKY_ADAPTER_QUEUED;
        record->next_poll_ms = 0;
        clear_version(record);
        remove_expired_requests(placer, now_ms);
    }
    else {
        record_loaded(placer, record, action->version, now_ms);
    }
}

static void
apply_refused(sky_placer_t *placer, const sky_placer_action_t *action,
              uint64_t now_ms)
{
    adapter_record_t *record = find_record(
        placer, SkyFleet_MakeAdapterKey(action->model, action->adapter));
    if (record == NULL) {
        return;
    }
    if (action->step == SKY_PLACER_UNLOAD) {
        record->in_use_until_ms = now_ms + IN_USE_RETRY_MS;
    }
    else if (record->state != SKY_ADAPTER_RESIDENT) {
        remove_record(placer, record);
    }
    else {
        record->requested_version = 0;
    }
}

/* The response does not tell what the target holds. Requests do not wait for
 * the load that it is about. */
static void
apply_unknown(sky_placer_t *placer, const sky_placer_action_t *action,
              uint64_t now_ms)
{
    if (!action->is_poll) {
        apply_refused(placer, action, now_ms);
    }
    placer->order_unconfirmed = false;
    SkyPlacer_InvalidateState(placer, now_ms + CONFLICT_RETRY_MS);
}

/* No slot is given away on a response that may be that to another order: it
 * counts as used until a report shows that it is free. */
static void
apply_said_done(sky_placer_t *placer, const sky_placer_action_t *action,
                uint64_t now_ms)
{
    if (action->frees_slot) {
        SkyPlacer_InvalidateState(placer, now_ms + CONFLICT_RETRY_MS);
    }
    else {
        apply_already_done(placer, action, now_ms);
    }
}

/* Returns whether a refused poll tells nothing of its load: the target may
 * refuse every order while another one waits. */
static bool
is_refused_as_busy(const sky_placer_t *placer,
                   const sky_placer_action_t *action)
{
    const adapter_record_t *record = find_record(
        placer, SkyFleet_MakeAdapterKey(action->model, action->adapter));
    return action->is_poll && record != NULL && !is_waiting_order(record) &&
           has_waiting_order(placer);
}

void
SkyPlacer_HandleOrderResult(sky_placer_t *placer,
                            sky_placer_order_result_t result, uint64_t now_ms)
{
    sky_placer_action_t action = placer->pending_action;
    placer->action_pending = false;
    placer->last_result_ms = now_ms;
    switch (result) {
    case SKY_PLACER_ORDER_ACCEPTED:
        if (action.is_poll) {
            apply_still_running(placer, &action, now_ms);
        }
        else {
            apply_accepted(placer, &action, now_ms);
        }
        placer->order_unconfirmed = false;
        break;
    case SKY_PLACER_ORDER_ALREADY_DONE:
        apply_already_done(placer, &action, now_ms);
        placer->order_unconfirmed = false;
        break;
    case SKY_PLACER_ORDER_SAID_DONE:
        apply_said_done(placer, &action, now_ms);
        placer->order_unconfirmed = false;
        break;
    case SKY_PLACER_ORDER_CONFLICT:
        if (is_refused_as_busy(placer, &action)) {
            placer->refusing_since_ms = now_ms;
            break;
        }
        /* The target's state differs from the one known here. */
        placer->order_unconfirmed = false;
        SkyPlacer_InvalidateState(placer, now_ms + CONFLICT_RETRY_MS);
        break;
    case SKY_PLACER_ORDER_REFUSED:
        if (action.is_poll || placer->order_unconfirmed) {
            /* An earlier copy of the order may have been executed. */
            apply_unknown(placer, &action, now_ms);
            break;
        }
        apply_refused(placer, &action, now_ms);
        break;
    case SKY_PLACER_ORDER_UNKNOWN:
        apply_unknown(placer, &action, now_ms);
        break;
    case SKY_PLACER_ORDER_WRONG_TARGET:
        remove_all_records(placer);
        placer->order_unconfirmed = false;
        SkyPlacer_InvalidateState(placer, now_ms + CONFLICT_RETRY_MS);
        break;
    case SKY_PLACER_ORDER_NO_RESPONSE:
        placer->order_unconfirmed =
            placer->order_unconfirmed || !action.is_poll;
        if (action.step == SKY_PLACER_LOAD) {
            SkyStrayLoads_Record(&placer->strays, action.expected_order_count,
                                 now_ms);
        }
        placer->next_order_ms = now_ms + CONFLICT_RETRY_MS;
        break;
    }
}
