/**
 * @file record_json.h
 * @brief Log records as JSON objects.
 */
#ifndef SKY_PLATFORM_RECORD_JSON_H
#define SKY_PLATFORM_RECORD_JSON_H

#include <jansson.h>

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

/** @return a new reference; NULL when memory is out. */
json_t *SkyRecordJson_Encode(const sky_record_t *record);

/** Decodes the data of a record. @return SKY_E_BAD_REQUEST if it is not one
 *  of ours; such records are skipped and counted. */
sky_result_t SkyRecordJson_Decode(const json_t *data, sky_record_t *record);

#ifdef __cplusplus
}
#endif
#endif
