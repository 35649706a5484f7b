#include "decide/shortage.h"

#include <math.h>

#define SLOW_FACTOR 2.0 /**< of the usual response time */
/** A host among 330 sees few responses in a second: two that take four times
 *  as long as usual have to suffice. */
#define RECENT_GAIN 0.25
#define USUAL_GAIN 0.02
/** Of fewer, the usual time is too uncertain. Rejections and the owner tell a
 *  new host of a shortage. */
#define SAMPLES_MIN 32
/** Mean deviations above the usual time that chance does not reach: with 2
 *  times the usual time alone, hosts took turns in calm because targets differ
 *  in speed and responses in duration. */
#define SLOW_DEVIATIONS 4.0

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
    bool is_slow = shortage->recent_ms >= SLOW_FACTOR * usual_ms &&
                   shortage->recent_ms >=
                       usual_ms + SLOW_DEVIATIONS * shortage->deviation_ms;
    if (shortage->sample_count == SAMPLES_MIN && is_slow) {
        shortage->short_until_ms = now_ms + SKY_SHORTAGE_HOLD_MS;
    }
    /* Slow responses count a little, so that a service that has become slower
     * for good does not count as short for ever. */
    double gain = is_slow ? USUAL_GAIN / 4 : USUAL_GAIN;
    if (shortage->sample_count < SAMPLES_MIN) {
        gain = 1.0 / shortage->sample_count;
    }
    double difference_ms = duration_ms - shortage->usual_ms;
    shortage->deviation_ms +=
        gain * (fabs(difference_ms) - shortage->deviation_ms);
    shortage->usual_ms += gain * difference_ms;
}

bool
SkyShortage_IsShort(const sky_shortage_t *shortage, uint64_t now_ms)
{
    return now_ms < shortage->short_until_ms;
}
