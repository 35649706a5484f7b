/**
 * @file brittle_target.h
 * @brief How much a host sends to a target that falls over when it has to
 *        refuse too many requests.
 *
 * What hosts send at the same moment adds up before the first refusal is back,
 * so that each keeps to its share of the batch slots: together they fill them,
 * and need no room to wait, which may have shrunk. A request that was given up
 * holds its slot until the deadline that the target was told, as the target
 * may run it until then. Should there be refusals all the same, pauses keep
 * those of all hosts within what the target bears.
 *
 * The module does no I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_BRITTLE_TARGET_H
#define SKY_DECIDE_BRITTLE_TARGET_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Deals the slots of a service's targets to hosts in turn.
 *  @param slots of the target
 *  @param first_slot number of its first slot among those of all targets
 *  @param rank of the host, from 0
 *  @return requests that the host may have in flight at the target; of all
 *          hosts together as many as there are slots */
uint32_t SkyBrittleTarget_MaxInFlight(uint32_t slots, uint32_t first_slot,
                                      uint32_t rank, uint32_t host_count);

#define SKY_HELD_SLOTS_MAX 32 /**< of one host at one target */

/** Slots of a target that requests which this host gave up may still use.
 *  Zero-initialised: none. */
typedef struct {
    uint64_t until_ms[SKY_HELD_SLOTS_MAX]; /**< 0: free entry */
} sky_held_slots_t;

/** With more slots than entries, the one that ends first is replaced. */
void SkyHeldSlots_Add(sky_held_slots_t *held, uint64_t until_ms);
uint32_t SkyHeldSlots_Count(const sky_held_slots_t *held, uint64_t now_ms);

/** @param refusals_per_s that the target bears, of all hosts
 *  @return time for which a host sends nothing after a refusal. */
uint32_t SkyBrittleTarget_PauseMs(uint32_t refusals_per_s,
                                  uint32_t host_count);

#ifdef __cplusplus
}
#endif
#endif
