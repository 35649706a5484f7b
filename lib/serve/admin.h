/**
 * @file admin.h
 * @brief Requests of operators: configuration, status, histograms, drain.
 */
#ifndef SKY_SERVE_ADMIN_H
#define SKY_SERVE_ADMIN_H

#include "serve/control.h"

#ifdef __cplusplus
extern "C" {
#endif

/** An HTTP request below /admin. */
typedef struct {
    const char *method;
    const char *path;
    const char *body;
    size_t body_size;
    const char *authorization; /**< value of the header, or NULL */
    const char *kind; /**< query parameter: kind of a document, or NULL */
    const char *name; /**< query parameter: document or histogram, or NULL */
    void (*drain)(void *context); /**< starts to drain the host */
    void *context;                /**< passed to drain */
} sky_admin_request_t;

/**
 * Handles a request below /admin; blocks until a change of the configuration
 * has been read back from the log or its wait has timed out.
 * @param response receives JSON text to free(); it may stay NULL on an error.
 * @return SKY_E_UNAUTHORIZED unless the request carries the operators' key.
 */
sky_result_t SkyAdmin_HandleRequest(sky_control_t *control,
                                    const sky_admin_request_t *request,
                                    char **response);

#ifdef __cplusplus
}
#endif
#endif
