/**
 * @file deployment.h
 * @brief The operator's configuration: routes, services, limits.
 *
 * A deployment is immutable once read; hosts replace it as a whole, never by
 * one with a lower version.
 */
#ifndef SKY_DECIDE_DEPLOYMENT_H
#define SKY_DECIDE_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** What may be repeated after a failure. */
typedef enum {
    SKY_REPEAT_ANY,    /**< idempotent: may run more than once */
    SKY_REPEAT_NEVER,  /**< at most once for each request of a caller */
    SKY_REPEAT_RESUME, /**< a stream that may go on at another target */
} sky_repeat_t;

typedef struct {
    uint32_t service; /**< index into the deployment's services */
    uint32_t weight;
} sky_share_t;

typedef struct {
    char *name;
    char *host;   /**< Host field of its requests */
    char *prefix; /**< of the path; begins and ends with a slash */
    sky_repeat_t repeat;
    bool streaming;
    bool keeps_prompts; /**< parts of prompts stay at their target */
    uint32_t timeout_ms;
    uint32_t aim_ms;      /**< latency objective, to the first event */
    uint32_t gap_ms;      /**< longest pause between events on time */
    uint32_t urgency;     /**< 0 is the most urgent */
    uint32_t targets_max; /**< targets that one request may be sent to */
    sky_share_t *shares;
    uint32_t share_count;
} sky_route_t;

typedef struct {
    char *name;
    uint32_t weights_mb;
    uint32_t load_ms;
    uint32_t adapter_mb;
    uint32_t adapter_count;
} sky_model_t;

typedef struct {
    bool present;            /**< false: a plain service */
    uint32_t slots;          /**< requests in one batch */
    uint32_t memory_tokens;  /**< of running requests and kept parts */
    uint32_t weights_mb;     /**< room for models and adapters */
    uint32_t adapter_places; /**< adapters held at once */
    double loads_per_s;      /**< of weights, over all targets */
    sky_model_t *models;
    uint32_t model_count;
} sky_engine_t;

typedef struct {
    char *name;
    char *health_path;
    uint32_t connections_max; /**< a target takes, from all hosts together */
    sky_engine_t engine;
} sky_service_t;

/** What a caller may send. */
typedef struct {
    uint32_t head_bytes;
    uint32_t body_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
} sky_limits_t;

typedef struct sky_deployment {
    uint64_t version;
    uint32_t references; /**< requests under way keep theirs */
    sky_route_t *routes;
    uint32_t route_count;
    sky_service_t *services;
    uint32_t service_count;
    sky_limits_t limits;
} sky_deployment_t;

/** @return an empty deployment with one reference, or NULL. */
sky_deployment_t *SkyDeployment_Create(void);
sky_deployment_t *SkyDeployment_Hold(sky_deployment_t *deployment);
/** Gives a reference back; the last one frees it. NULL is allowed. */
void SkyDeployment_Release(sky_deployment_t *deployment);

/** @return index of a service, or UINT32_MAX. */
uint32_t SkyDeployment_FindService(const sky_deployment_t *deployment,
                                   const char *name);
/** @return the route of the longest prefix, or NULL. @param path may have a
 *          query. */
const sky_route_t *SkyDeployment_Match(const sky_deployment_t *deployment,
                                       const char *host, const char *path);
/** @return the service of a route's split that @p hash falls to, by weight,
 *          or NULL if all weights are 0. */
const sky_service_t *SkyDeployment_Pick(const sky_deployment_t *deployment,
                                        const sky_route_t *route,
                                        uint64_t hash);

#ifdef __cplusplus
}
#endif
#endif
