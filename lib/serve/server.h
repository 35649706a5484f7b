/**
 * @file server.h
 * @brief A host from start to planned stop.
 */
#ifndef SKY_SERVE_SERVER_H
#define SKY_SERVE_SERVER_H

#include "serve/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Serves until SIGTERM or SIGINT, then stops in order: not ready, wait for
 * the balancer, close the listener, finish what is in flight, hand over the
 * shards, leave the membership.
 */
sky_result_t SkyServer_Run(const sky_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
