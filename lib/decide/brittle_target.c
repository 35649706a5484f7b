#include "decide/brittle_target.h"

#define MS_PER_S 1000u
/** The target is back some seconds after a fall: a longer pause saves none. */
#define PAUSE_MAX_MS 4000u

/* Returns how many of the first slots are the host's. */
static uint32_t
count_dealt(uint32_t slots, uint32_t rank, uint32_t host_count)
{
    return slots / host_count + (slots % host_count > rank ? 1 : 0);
}

uint32_t
SkyBrittleTarget_MaxInFlight(uint32_t slots, uint32_t first_slot,
                             uint32_t rank, uint32_t host_count)
{
    return count_dealt(first_slot + slots, rank, host_count) -
           count_dealt(first_slot, rank, host_count);
}

void
SkyHeldSlots_Add(sky_held_slots_t *held, uint64_t until_ms)
{
    uint32_t first = 0;
    for (uint32_t i = 1; i < SKY_HELD_SLOTS_MAX; i++) {
        first = held->until_ms[i] < held->until_ms[first] ? i : first;
    }
    if (held->until_ms[first] < until_ms) {
        held->until_ms[first] = until_ms;
    }
}

uint32_t
SkyHeldSlots_Count(const sky_held_slots_t *held, uint64_t now_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < SKY_HELD_SLOTS_MAX; i++) {
        count += held->until_ms[i] > now_ms ? 1 : 0;
    }
    return count;
}

uint32_t
SkyBrittleTarget_PauseMs(uint32_t refusals_per_s, uint32_t host_count)
{
    if (refusals_per_s == 0) {
        return PAUSE_MAX_MS;
    }
    uint32_t pause_ms = MS_PER_S * host_count / refusals_per_s;
    if (pause_ms < MS_PER_S) {
        return MS_PER_S;
    }
    return pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS;
}
