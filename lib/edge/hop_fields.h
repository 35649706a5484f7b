/**
 * @file hop_fields.h
 * @brief Header fields that two hosts exchange about a request that one passes
 *        on to the other.
 *
 * All other fields, method, URL and body are the caller's or the target's. The
 * names begin with SKY_HTTP_HOP_FIELD_PREFIX, so that neither side passes them
 * on.
 */
#ifndef SKY_EDGE_HOP_FIELDS_H
#define SKY_EDGE_HOP_FIELDS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/attempts.h"
#include "decide/target_entry.h"
#include "edge/host_settings.h"
#include "net/buffer.h"
#include "net/http_reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/** What the host that passes a request on says of it. */
typedef struct {
    char from[SKY_HOST_NAME_BYTES]; /**< name of the host */
    /** Targets that may have run the request, by the hash of their id. */
    uint64_t may_have_run[SKY_ATTEMPTS_TARGETS_MAX];
    uint32_t may_have_run_count;
    /** Software version at which alone the stream may go on; "": any. */
    char software[SKY_SOFTWARE_VERSION_BYTES];
} sky_hop_request_t;

void SkyHopFields_WriteRequest(sky_buffer_t *out,
                               const sky_hop_request_t *request);
/** @return false if the head is not that of a request passed on by a host, or
 *          a field is malformed */
bool SkyHopFields_ParseRequest(const sky_http_head_t *head,
                               sky_hop_request_t *request);

typedef enum {
    SKY_HOP_TARGET,      /**< the response is a target's */
    SKY_HOP_NOT_RUN,     /**< no target has run the request, or will */
    SKY_HOP_NOT_REACHED, /**< the same: this host does not reach the targets */
    SKY_HOP_UNKNOWN,     /**< a target may have run it */
} sky_hop_outcome_t;

/** What the host that a request was passed on to says of its response. */
typedef struct {
    sky_hop_outcome_t outcome;
    /** SKY_HOP_TARGET: software version of the target; "": not known. */
    char software[SKY_SOFTWARE_VERSION_BYTES];
    /** SKY_HOP_NOT_RUN: when the caller may come back; 0: not known. */
    uint32_t retry_after_ms;
    /** SKY_HOP_NOT_RUN, SKY_HOP_NOT_REACHED: the host's account of its sends
     *  proves it. Hosts of earlier builds do not say on what it rests. */
    bool is_proved;
} sky_hop_response_t;

void SkyHopFields_WriteResponse(sky_buffer_t *out,
                                const sky_hop_response_t *response);
/** A response without a valid outcome is SKY_HOP_UNKNOWN. */
void SkyHopFields_ParseResponse(const sky_http_head_t *head,
                                sky_hop_response_t *response);

#ifdef __cplusplus
}
#endif
#endif
