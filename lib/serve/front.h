/**
 * @file front.h
 * @brief HTTP towards callers and operators, through libmicrohttpd.
 *
 * One thread a connection; it runs the request's steps and relays the answer.
 */
#ifndef SKY_SERVE_FRONT_H
#define SKY_SERVE_FRONT_H

#include "serve/control.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_front sky_front_t;

/** Starts to listen. @param drain is called, on a connection's thread, when
 *  an operator asks this host to drain. */
sky_result_t SkyFront_Create(sky_control_t *control,
                             void (*drain)(void *context), void *context,
                             sky_front_t **front);
/** Closes the listener; connections go on. */
void SkyFront_StopListening(sky_front_t *front);
/** Closes all connections and frees everything. */
void SkyFront_Free(sky_front_t *front);

#ifdef __cplusplus
}
#endif
#endif
