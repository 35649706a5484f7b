/**
 * @file server.h
 * @brief Runs a host from its start to a graceful shutdown.
 */
#ifndef SKY_SERVE_SERVER_H
#define SKY_SERVE_SERVER_H

#include "serve/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Serves until SIGTERM or SIGINT and then shuts down gracefully: reports not
 * ready, waits for the load balancer to notice, closes the listener, finishes
 * the requests in flight, hands over its shards and leaves the membership.
 * @return SKY_E_IO also if the log dropped records that this host has not
 *         read; it then stops at once and must be restarted.
 */
sky_result_t SkyServer_Run(const sky_settings_t *settings);

#ifdef __cplusplus
}
#endif
#endif
