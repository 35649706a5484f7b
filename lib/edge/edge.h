/**
 * @file edge.h
 * @brief Main program of a host: starts all modules, runs until SIGTERM, then
 *        drains and stops.
 */
#ifndef SKY_EDGE_EDGE_H
#define SKY_EDGE_EDGE_H

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Runs until SIGTERM has been received and open requests have ended, or the
 *  grace period is about to end.
 *  @param settings_path the platform's settings file
 *  @return an error if the settings are refused or a module cannot start. */
sky_result_t SkyEdge_Run(const char *settings_path);

#ifdef __cplusplus
}
#endif
#endif
