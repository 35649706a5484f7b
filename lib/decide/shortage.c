#include "decide/shortage.h"

#define SLOW_FACTOR 2.0 /**< of the usual response time */
/** A host among 330 sees few responses in a second: two that take four times
 *  as long as usual have to suffice. */
#define RECENT_GAIN 0.25
#define USUAL_GAIN 0.02
#define SAMPLES_MIN 8 /**< before averages mean anything */

void
SkyShortage_RecordRejection(sky_shortage_t *shortage, uint64_t now_ms)
{
    shortage->short_until_ms = now_ms + SKY_SHORTAGE_HOLD_MS;
}

void
SkyShortage_RecordOwnerReport(sky_shortage_t *shortage, uint64_t now_ms)
{
    shortage->short_until_ms = now_ms + SKY_SHORTAGE_HOLD_MS;
}

void
SkyShortage_RecordResponse(sky_shortage_t *shortage, uint32_t duration_ms,
                           uint64_t now_ms)
{
    if (shortage->sample_count == 0) {
        shortage->usual_ms = duration_ms;
        shortage->recent_ms = duration_ms;
    }
    if (shortage->sample_count < SAMPLES_MIN) {
        shortage->sample_count++;
    }
    shortage->recent_ms += RECENT_GAIN * (duration_ms - shortage->recent_ms);
    /* Below a millisecond the clock's resolution looks like a change. */
    double usual_ms = shortage->usual_ms > 1.0 ? shortage->usual_ms : 1.0;
    bool is_slow = shortage->recent_ms >= SLOW_FACTOR * usual_ms;
    if (shortage->sample_count == SAMPLES_MIN && is_slow) {
        shortage->short_until_ms = now_ms + SKY_SHORTAGE_HOLD_MS;
    }
    /* Slow responses count a little, so that a service that has become slower
     * for good does not count as short for ever. */
    double gain = is_slow ? USUAL_GAIN / 4 : USUAL_GAIN;
    if (shortage->sample_count < SAMPLES_MIN) {
        gain = RECENT_GAIN;
    }
    shortage->usual_ms += gain * (duration_ms - shortage->usual_ms);
}

bool
SkyShortage_IsShort(const sky_shortage_t *shortage, uint64_t now_ms)
{
    return now_ms < shortage->short_until_ms;
}
