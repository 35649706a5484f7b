/**
 * @file openings.h
 * @brief Which adapters an owner has to load ahead of openings.
 */
#ifndef SKY_DECIDE_OPENINGS_H
#define SKY_DECIDE_OPENINGS_H

#include "decide/config.h"
#include "decide/entry.h"
#include "decide/shard.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * Gathers the adapters of events that are near or under way, for one shard.
 * @param now_us,wall_ms the same moment on both clocks.
 * @return a list of @p count adapters to free(); NULL if there are none.
 */
sky_wanted_t *SkyOpenings_Gather(const sky_config_t *config,
                                 const sky_entry_t *entry, uint32_t shard,
                                 uint64_t now_us, uint64_t wall_ms,
                                 uint32_t *count);

#ifdef __cplusplus
}
#endif
#endif
