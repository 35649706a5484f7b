/**
 * @file edge.h
 * @brief A host on the users' platform: start, run until SIGTERM, stop.
 */
#ifndef SKY_EDGE_EDGE_H
#define SKY_EDGE_EDGE_H

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Runs until SIGTERM. @param settings_path the platform's settings file. */
sky_result_t SkyEdge_Run(const char *settings_path);

#ifdef __cplusplus
}
#endif
#endif
