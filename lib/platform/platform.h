/**
 * @file platform.h
 * @brief Clients of the platform's services and of targets' control calls.
 *
 * All calls block and are made by I/O threads, never by the control thread.
 */
#ifndef SKY_PLATFORM_PLATFORM_H
#define SKY_PLATFORM_PLATFORM_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Reads the log from @p from on, up to its tail or one page. The caller
 *  sets `begun_us`; free with SkyPlatform_FreeRead(). On an error `ok` is
 *  false. */
void SkyPlatform_ReadLog(const char *address, sky_offset_t from,
                         uint32_t timeout_ms, sky_in_log_read_t *read);
void SkyPlatform_FreeRead(sky_in_log_read_t *read);

/** Appends one record. @return `known` false if the answer was lost; offset 0
 *  with `known` true if it was surely not appended. */
sky_in_append_result_t SkyPlatform_Append(const char *address,
                                          const sky_record_t *record,
                                          uint32_t timeout_ms);

/** Reads the list of live and leaving hosts for the given targets.
 *  @param states room for @p target_count entries.
 *  @return entries filled in; 0 on an error. */
uint32_t SkyPlatform_ReadHosts(const char *address,
                               const sky_target_info_t *targets,
                               uint32_t target_count, uint32_t timeout_ms,
                               sky_listed_target_t *states);

/** Asks an engine for its load report, a plain service for `/healthz`.
 *  @return false on an error. */
bool SkyPlatform_ReadReport(const sky_target_info_t *target,
                            uint32_t timeout_ms, sky_report_t *report);

/** Gives a target an order to load or unload `adapter_name` (name@version). */
sky_order_result_t SkyPlatform_Order(const sky_target_info_t *target,
                                     const sky_order_t *order,
                                     const char *adapter_name,
                                     const char *store_address,
                                     uint32_t timeout_ms);

#ifdef __cplusplus
}
#endif
#endif
