/**
 * @file target_limit.h
 * @brief Rate limit that a target names for the requests of all hosts
 *        together.
 *
 * The owner of the target's shard keeps a token bucket for all hosts and hands
 * out permits for single requests. A host without an owner to ask paces itself
 * with a bucket of its own at a small fraction of the limit, so that all hosts
 * that do so stay below it together. The module does no I/O; times are
 * milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_TARGET_LIMIT_H
#define SKY_DECIDE_TARGET_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    double per_s;         /**< 0: the target names no limit */
    uint64_t observed_ms; /**< when its newest response that tells arrived */
    double permits;
    uint64_t refilled_ms;
} sky_target_limit_t;

/** Applies a limit that the target named at @p observed_ms, unless a newer one
 *  is known. A limit that is new begins without permits.
 *  @return whether the limit has changed */
bool SkyTargetLimit_Observe(sky_target_limit_t *limit, double per_s,
                            uint64_t observed_ms);

/** Sets the permits that are left. */
void SkyTargetLimit_Reset(sky_target_limit_t *limit, double permits,
                          uint64_t now_ms);

/** Takes a permit for one request.
 *  @param fraction of the limit that this bucket may use
 *  @param wait_ms if there is none: time until there is
 *  @return whether the request may be sent now */
bool SkyTargetLimit_Acquire(sky_target_limit_t *limit, double fraction,
                            uint64_t now_ms, uint32_t *wait_ms);

#ifdef __cplusplus
}
#endif
#endif
