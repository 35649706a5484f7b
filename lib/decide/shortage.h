/**
 * @file shortage.h
 * @brief Whether a plain service is short of capacity, as one host sees it.
 *
 * Load pattern: demand that exceeds the slots of a service for about two
 * seconds, every 11 to 16 seconds. The module does no I/O; times are
 * milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_SHORTAGE_H
#define SKY_DECIDE_SHORTAGE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Time for which a service counts as short after the last sign of it. */
#define SKY_SHORTAGE_HOLD_MS 3000

/** Zero-initialised: not short, no response times known. */
typedef struct {
    uint64_t short_until_ms;
    double usual_ms;     /**< of responses while the service is not short */
    double deviation_ms; /**< mean distance of a response from usual_ms */
    double recent_ms;    /**< moving average of the last few responses */
    uint32_t sample_count;
} sky_shortage_t;

/** A target refused a request of this host for lack of capacity. */
void SkyShortage_RecordRejection(sky_shortage_t *shortage, uint64_t now_ms);
/** The owner of the service's turns reported a shortage. */
void SkyShortage_RecordOwnerReport(sky_shortage_t *shortage, uint64_t now_ms);
/** Records how long a target took for a response. */
void SkyShortage_RecordResponse(sky_shortage_t *shortage, uint32_t duration_ms,
                                uint64_t now_ms);
bool SkyShortage_IsShort(const sky_shortage_t *shortage, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
