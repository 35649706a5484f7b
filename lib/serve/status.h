/**
 * @file status.h
 * @brief State of a host as JSON and its metrics as Prometheus text.
 */
#ifndef SKY_SERVE_STATUS_H
#define SKY_SERVE_STATUS_H

#include <jansson.h>

#include "serve/control.h"

#ifdef __cplusplus
extern "C" {
#endif

/** @return the members, shards, targets and configuration revision that this
 *          host knows, as a JSON object; a new reference. */
json_t *SkyStatus_CreateJson(sky_control_t *control);

/** @return a JSON array with the histogram @p name of each workspace; a new
 *          reference, or NULL if there is no such histogram. */
json_t *SkyStatus_CreateHistogramJson(sky_control_t *control,
                                      const char *name);

/** @return the body of a response to /metrics; free() it. */
char *SkyStatus_WriteMetrics(sky_control_t *control);

#ifdef __cplusplus
}
#endif
#endif
