/**
 * @file directory.h
 * @brief What this host knows of its deployment, from the store or its peers.
 */
#ifndef SKY_EDGE_DIRECTORY_H
#define SKY_EDGE_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/deployment.h"
#include "decide/fleet.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    sky_deployment_t *deployment; /**< NULL: none known yet */
    sky_fleet_t *fleet;
    bool targets_known; /**< the list of targets was read once */
    bool store_away;    /**< the last call for news failed */
    uint32_t hosts;     /**< that share one budget, this one included */
} sky_directory_t;

#ifdef __cplusplus
}
#endif
#endif
