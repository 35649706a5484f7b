/**
 * @file platform.h
 * @brief Client of the log, of the host list and of the targets' control API.
 *
 * All functions block. I/O threads call them, never the control thread.
 */
#ifndef SKY_PLATFORM_PLATFORM_H
#define SKY_PLATFORM_PLATFORM_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Reads the log from offset @p from on, up to its tail or the end of a page.
 *  @param read `ok` is false on an error; `begun_us` is for the caller to set;
 *              to be cleared with SkyPlatform_ClearLogRead() */
void SkyPlatform_ReadLog(const char *address, sky_offset_t from,
                         uint32_t timeout_ms, sky_in_log_read_t *read);
void SkyPlatform_ClearLogRead(sky_in_log_read_t *read);

/** Appends one record to the log.
 *  @return `known` is false if the record may or may not have been appended;
 *          with `known` true, offset 0 means that it was not */
sky_in_append_result_t SkyPlatform_AppendRecord(const char *address,
                                                const sky_record_t *record,
                                                uint32_t timeout_ms);

/** Reads the state of the given targets from the platform's host list.
 *  @param states array of @p target_count entries
 *  @return number of entries set; 0 on an error */
uint32_t SkyPlatform_ReadHosts(const char *address,
                               const sky_target_info_t *targets,
                               uint32_t target_count, uint32_t timeout_ms,
                               sky_listed_target_t *states);

/** Reads an engine's load report. A target without adapter slots is a plain
 *  service: only its `/healthz` is probed.
 *  @return false on an error */
bool SkyPlatform_ReadReport(const sky_target_info_t *target,
                            uint32_t timeout_ms, sky_report_t *report);

/** Orders a target to load or unload an adapter.
 *  @param adapter_name "name@version" */
sky_order_result_t SkyPlatform_SendOrder(const sky_target_info_t *target,
                                         const sky_order_t *order,
                                         const char *adapter_name,
                                         const char *store_address,
                                         uint32_t timeout_ms);

#ifdef __cplusplus
}
#endif
#endif
