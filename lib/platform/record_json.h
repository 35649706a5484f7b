/**
 * @file record_json.h
 * @brief Encodes and decodes log records as JSON objects.
 */
#ifndef SKY_PLATFORM_RECORD_JSON_H
#define SKY_PLATFORM_RECORD_JSON_H

#include <jansson.h>

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** @return a new reference; NULL when out of memory. */
json_t *SkyRecordJson_Encode(const sky_record_t *record);

/** Decodes the data of a record.
 *  @return SKY_E_BAD_REQUEST if it is not a valid record, which readers of the
 *          log skip; SKY_E_MEMORY */
sky_result_t SkyRecordJson_Decode(const json_t *data, sky_record_t *record);

#ifdef __cplusplus
}
#endif
#endif
