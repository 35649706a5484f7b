/**
 * @file placer.h
 * @brief Decides for the owner of a target which adapters it loads and
 *        unloads.
 *
 * Load pattern: an opening on cold adapters, where many more adapters are
 * requested than the target has slots. One order is in progress at a time.
 * Each order carries the number of orders that the owner expects the target
 * to have accepted, so that the target rejects an order that arrives late. A
 * slot is always freed before another adapter is loaded into it.
 *
 * The end of a load is learned by a poll, which repeats its order and names
 * the same version, so that it cannot start another load. What a response does
 * not tell is unknown until the next report.
 */
#ifndef SKY_DECIDE_PLACER_H
#define SKY_DECIDE_PLACER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/fleet.h"
#include "decide/stray_loads.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_placer sky_placer_t;

/** Memory that a model and each of its adapters take. */
typedef struct {
    const char *name;
    uint32_t weights_mb;
    uint32_t adapter_mb;
} sky_model_size_t;

/** What a target has room for. */
typedef struct {
    uint32_t adapter_slots; /**< adapters resident or in transit */
    uint32_t weights_mb;    /**< memory for models and adapters; 0: any */
    /** With weights_mb: sizes of the models. Others are not loaded, unless an
     *  earlier capacity named them. */
    const sky_model_size_t *models;
    uint32_t model_count;
} sky_placer_capacity_t;

typedef struct {
    uint32_t adapter_slots_max; /**< adapter slots of the target */
    uint32_t loading_max;       /**< loads in progress at once */
    uint32_t load_ms;           /**< initial estimate of a load's duration */
    uint32_t min_idle_ms;       /**< no eviction this soon after a request */
    uint32_t report_lag_ms;     /**< age that a report may have */
    uint32_t queued_max;        /**< adapters that may wait for a slot */
} sky_placer_options_t;

/** State of one adapter at the target. */
typedef enum {
    SKY_ADAPTER_ABSENT,    /**< neither resident nor requested */
    SKY_ADAPTER_QUEUED,    /**< waits for a slot */
    SKY_ADAPTER_LOADING,   /**< being loaded */
    SKY_ADAPTER_RESIDENT,  /**< resident: requests can run */
    SKY_ADAPTER_UNLOADING, /**< unloaded when its running requests have ended
                            */
} sky_adapter_state_t;

typedef enum {
    SKY_PLACER_WAIT,        /**< nothing to do before wake_ms */
    SKY_PLACER_READ_REPORT, /**< read the target's report */
    SKY_PLACER_LOAD,
    SKY_PLACER_UNLOAD,
} sky_placer_step_t;

typedef struct {
    sky_placer_step_t step;
    uint64_t wake_ms; /**< with SKY_PLACER_WAIT; UINT64_MAX: on events only */
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    /** Of an adapter to load; 0 for a model, which is loaded in its newest
     *  version. A poll names the version that was ordered. */
    uint32_t version;
    uint64_t expected_order_count; /**< order count to send with the order */
    bool is_poll; /**< repeats an order in progress to see if it is done */
    /** With the end of the order a slot counts as free: the response that
     * tells of it must not be one to another order. */
    bool frees_slot;
    /** With frees_slot: equal for an order and its polls alone, in the life of
     *  the placer. */
    uint32_t order_number;
    uint32_t slots_used; /**< adapter slots believed to be used, for the log */
} sky_placer_action_t;

/** Result of an order that was sent to the target. */
typedef enum {
    SKY_PLACER_ORDER_ACCEPTED,
    SKY_PLACER_ORDER_ALREADY_DONE, /**< the target is in the ordered state
                                      already */
    /** The same by a response that may be that to another order. */
    SKY_PLACER_ORDER_SAID_DONE,
    SKY_PLACER_ORDER_CONFLICT, /**< the order count differs, or it is busy */
    SKY_PLACER_ORDER_REFUSED,  /**< will not be executed */
    SKY_PLACER_ORDER_UNKNOWN,  /**< a response that may not be the target's */
    SKY_PLACER_ORDER_WRONG_TARGET, /**< another target has the address, or it
                                      started again */
    SKY_PLACER_ORDER_NO_RESPONSE,  /**< may be executed, now or later */
} sky_placer_order_result_t;

typedef struct {
    const char *model;
    const char *adapter;
    uint32_t version; /**< minimum; 0: any */
    uint32_t urgency; /**< 0 is the most urgent */
    uint64_t due_ms;  /**< deadline: a load that ends later is of no use */
    /** For a stream whose caller has received a part of it: comes before all
     *  requests that have not begun, whatever their urgency. */
    bool is_under_way;
} sky_load_request_t;

sky_result_t SkyPlacer_Create(const sky_placer_options_t *options,
                              sky_placer_t **placer);
void SkyPlacer_Free(sky_placer_t *placer);

/** Replaces the target's capacity, which is copied; at first, memory is not
 *  bounded. With less than is used, no load is ordered until enough has been
 *  unloaded. */
void SkyPlacer_SetCapacity(sky_placer_t *placer,
                           const sky_placer_capacity_t *capacity);

/** Moves the orders to the target that were not answered, in all runs that
 * this placer knew of, to @p strays. The placer is only to be freed after
 * this. */
void SkyPlacer_TakeStrayLoads(sky_placer_t *placer, sky_stray_loads_t *strays,
                              uint64_t now_ms);
/** Moves the orders to earlier runs of the target to the placer, which keeps
 *  slots free for those that this run may still carry out. */
void SkyPlacer_AddEarlierStrayLoads(sky_placer_t *placer,
                                    sky_stray_loads_t *strays);

/** Replaces the known state of the target by its own report. The caller must
 *  leave out reports from before the result of the last order. */
void SkyPlacer_ApplyReport(sky_placer_t *placer,
                           const sky_target_report_t *report, uint64_t now_ms);
/** Marks the target's state as unknown, for example after its restart; no
 *  order is sent before the next report, which is read at @p now_ms at the
 *  earliest. */
void SkyPlacer_InvalidateState(sky_placer_t *placer, uint64_t now_ms);

/** Requests that an adapter is loaded. @return its state now;
 * SKY_ADAPTER_ABSENT if it cannot be resident by the deadline. */
sky_adapter_state_t SkyPlacer_RequestLoad(sky_placer_t *placer,
                                          const sky_load_request_t *request,
                                          uint64_t now_ms);
/** @return whether the load of another adapter could start now: a slot is free
 *  or can be freed, and no request that comes first waits for it.
 *  @param is_under_way as in sky_load_request_t */
bool SkyPlacer_CanStartLoad(const sky_placer_t *placer, bool is_under_way,
                            uint64_t now_ms);
/** @return whether a report of the target was applied and still holds. */
bool SkyPlacer_IsStateKnown(const sky_placer_t *placer);
/** @return the state of an adapter in @p version or a newer one; 0: any. A
 *  model is loaded in its newest version, and not again for a newer one. */
sky_adapter_state_t SkyPlacer_GetState(const sky_placer_t *placer,
                                       sky_adapter_key_t adapter,
                                       uint32_t version);
/** @return the resident version, 0 if none. */
uint32_t SkyPlacer_GetResidentVersion(const sky_placer_t *placer,
                                      sky_adapter_key_t adapter);
/** Lists the resident adapters, each with its fraction of all uses.
 *  @return number of entries written, @p max_count or fewer. */
uint32_t SkyPlacer_ListResident(const sky_placer_t *placer, uint64_t now_ms,
                                sky_residency_t *list, uint32_t max_count);
/** Records that a host used an adapter @p count times since its last report
 *  and has @p running requests on it; @p host is any number that identifies
 *  the host. An adapter in use is not evicted: the target would accept no
 *  other order until the running requests have ended. */
void SkyPlacer_RecordUse(sky_placer_t *placer, sky_adapter_key_t adapter,
                         uint64_t host, uint32_t count, uint32_t running,
                         uint64_t now_ms);
/** A newer version was announced: it replaces a resident older one. */
void SkyPlacer_ApplyAnnouncedVersion(sky_placer_t *placer,
                                     sky_adapter_key_t adapter,
                                     uint32_t version);
/** @return time after which a load that is refused now may be accepted. */
uint32_t SkyPlacer_RetryAfterMs(const sky_placer_t *placer);

/** Chooses the next action. The result of every action but SKY_PLACER_WAIT
 *  must be passed in before the next call. */
void SkyPlacer_ChooseAction(sky_placer_t *placer, uint64_t now_ms,
                            sky_placer_action_t *action);
/** Handles the result of the order that SkyPlacer_ChooseAction() returned. */
void SkyPlacer_HandleOrderResult(sky_placer_t *placer,
                                 sky_placer_order_result_t result,
                                 uint64_t now_ms);
/** The target's report could not be read; it is read again later. */
void SkyPlacer_HandleReportFailure(sky_placer_t *placer, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
