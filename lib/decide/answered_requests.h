/**
 * @file answered_requests.h
 * @brief Which requests were answered lately, by fingerprint.
 *
 * Of two fingerprints that fall on one entry the newer one is kept: a request
 * that is answered often is known, a rare one may be forgotten. The module
 * does no I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_ANSWERED_REQUESTS_H
#define SKY_DECIDE_ANSWERED_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_answered_requests sky_answered_requests_t;

/** @param retention_ms time for which an answer is known
 *  @return NULL: out of memory */
sky_answered_requests_t *SkyAnsweredRequests_Create(uint64_t retention_ms);
void SkyAnsweredRequests_Free(sky_answered_requests_t *requests);
void SkyAnsweredRequests_Add(sky_answered_requests_t *requests,
                             uint64_t fingerprint, uint64_t now_ms);
bool SkyAnsweredRequests_Has(const sky_answered_requests_t *requests,
                             uint64_t fingerprint, uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
