/**
 * @file status.h
 * @brief State of a host as JSON and as Prometheus text.
 */
#ifndef SKY_SERVE_STATUS_H
#define SKY_SERVE_STATUS_H

#include <jansson.h>

#include "serve/control.h"

#ifdef __cplusplus
extern "C" {
#endif

/** @return members, shards, targets and the revision in force; a new
 *          reference. */
json_t *SkyStatus_Json(sky_control_t *control);

/** @return one histogram of every workspace; a new reference, or NULL if
 *          there is no histogram @p name. */
json_t *SkyStatus_Histogram(sky_control_t *control, const char *name);

/** @return the whole of /metrics; free() it. */
char *SkyStatus_Metrics(sky_control_t *control);

#ifdef __cplusplus
}
#endif
#endif
