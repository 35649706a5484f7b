/**
 * @file openings.h
 * @brief Lists the adapters that an owner loads ahead of openings.
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
 * Lists the adapters of one shard whose events open soon or are open.
 * @param now_us,wall_ms the same moment on the monotonic and the wall clock.
 * @return a list of @p count adapters, freed by the caller; NULL if there are
 *         none. The list is shorter if memory ran out.
 */
sky_preload_t *SkyOpenings_ListAdapters(const sky_config_t *config,
                                        const sky_entry_t *entry,
                                        uint32_t shard, uint64_t now_us,
                                        uint64_t wall_ms, uint32_t *count);

#ifdef __cplusplus
}
#endif
#endif
