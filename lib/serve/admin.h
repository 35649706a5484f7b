/**
 * @file admin.h
 * @brief Operators' calls: configuration, status, drain.
 */
#ifndef SKY_SERVE_ADMIN_H
#define SKY_SERVE_ADMIN_H

#include "serve/control.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    const char *method;
    const char *path;
    const char *body;
    size_t body_size;
    const char *authorization; /**< header, or NULL */
    const char *kind;          /**< query of a document, or NULL */
    const char *name;          /**< query of a document or histogram */
    void (*drain)(void *context);
    void *context;
} sky_admin_call_t;

/** Answers a call below /admin. @param answer receives JSON text to free();
 *  it may stay NULL on an error. */
sky_result_t SkyAdmin_Run(sky_control_t *control, const sky_admin_call_t *call,
                          char **answer);

#ifdef __cplusplus
}
#endif
#endif
