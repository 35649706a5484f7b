/**
 * @file deployment.h
 * @brief The operator's configuration: routes, services, limits.
 *
 * A deployment is immutable once it is parsed, but for what the settings of
 * hosts decide on callers' keys. Hosts replace it as a whole, never by one
 * with a lower version.
 */
#ifndef SKY_DECIDE_DEPLOYMENT_H
#define SKY_DECIDE_DEPLOYMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/workspaces.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Which requests of a route may be retried after a failure. */
typedef enum {
    SKY_RETRY_IDEMPOTENT,   /**< idempotent: may run more than once */
    SKY_RETRY_AT_MOST_ONCE, /**< at most one run per caller's request */
    SKY_RETRY_RESUME,       /**< a stream that can resume at another target */
} sky_retry_policy_t;

/** One service of a route's split. */
typedef struct {
    uint32_t service; /**< index into the deployment's services */
    uint32_t weight;
} sky_service_weight_t;

typedef struct {
    char *name;
    char *host;   /**< Host header of its requests, without a port */
    char *prefix; /**< path prefix; begins and ends with a slash */
    sky_retry_policy_t retry_policy;
    bool streaming;
    bool is_public; /**< needs no key */
    bool is_sticky; /**< cached prompt parts stay at their target */
    uint32_t timeout_ms;
    uint32_t latency_objective_ms;  /**< to the first event */
    uint32_t event_interval_max_ms; /**< objective for the interval between
                                       events; 0: none */
    uint32_t urgency;               /**< 0 is the most urgent */
    uint32_t targets_max;           /**< targets that may run one request */
    sky_service_weight_t *service_weights;
    uint32_t service_weight_count;
} sky_route_t;

typedef struct {
    char *name;
    uint32_t weights_mb;
    uint32_t load_ms;
    uint32_t adapter_mb;
    uint32_t adapter_count;
} sky_model_t;

typedef struct {
    bool present;                /**< false: a plain service */
    uint32_t slots;              /**< batch slots: requests that run at once */
    uint32_t kv_capacity_tokens; /**< KV cache, for running requests and cached
                                 prompt parts */
    uint32_t weights_mb;    /**< memory for weights of models and adapters */
    uint32_t adapter_slots; /**< adapters resident at once */
    double loads_per_s;     /**< loads of model weights, over all targets */
    sky_model_t *models;
    uint32_t model_count;
} sky_engine_t;

typedef struct {
    char *name;
    char *health_path;
    uint32_t connections_max; /**< per target, from all hosts together */
    sky_engine_t engine;
} sky_service_t;

/** Limits on the requests of callers. */
typedef struct {
    uint32_t head_bytes;
    uint32_t body_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
} sky_limits_t;

/** Whether a configuration has a list of workspaces. */
typedef enum {
    SKY_WORKSPACE_LIST_UNREADABLE, /**< it has, of a type that is not known */
    SKY_WORKSPACE_LIST_READ,       /**< it has, and the list may be empty */
    SKY_WORKSPACE_LIST_ABSENT,
} sky_workspace_list_t;

/** What callers' keys are good for. */
typedef enum {
    /** Keys are needed, and could not be read. */
    SKY_ACCESS_UNREADABLE,
    /** Keys are needed, also if none is left that opens a workspace. */
    SKY_ACCESS_KEYS,
    /** Keys are not needed, and those that requests carry are not valid. */
    SKY_ACCESS_ANONYMOUS,
    /** The deployment knows no keys: fields for them are like any other. */
    SKY_ACCESS_OPEN,
} sky_access_policy_t;

/** What decides whether a request may run. */
typedef enum {
    SKY_ADMISSION_FREE,            /**< nothing */
    SKY_ADMISSION_BY_KEY,          /**< the workspace that its key opens */
    SKY_ADMISSION_KEY_REVOKED,     /**< its key, which is not valid */
    SKY_ADMISSION_KEYS_UNREADABLE, /**< its key, of which nothing is known */
} sky_admission_t;

typedef struct sky_deployment {
    uint64_t version;
    uint32_t references; /**< a request in progress holds one */
    sky_route_t *routes;
    uint32_t route_count;
    sky_service_t *services;
    uint32_t service_count;
    sky_limits_t limits;
    sky_workspaces_t *workspaces; /**< never NULL; may be empty */
    sky_workspace_list_t workspace_list;
    sky_access_policy_t access; /**< by SkyDeployment_DecideAccess() */
    /** Urgencies of routes, and priorities of workspaces, in order. */
    uint32_t *route_levels;
    uint32_t route_level_count;
    uint32_t *workspace_levels;
    uint32_t workspace_level_count;
} sky_deployment_t;

/** @return an empty deployment with one reference, which admits no requests
 *  before SkyDeployment_DecideAccess(); NULL if memory ran out. */
sky_deployment_t *SkyDeployment_Create(void);
sky_deployment_t *SkyDeployment_Acquire(sky_deployment_t *deployment);
/** Releases a reference; the last one frees the deployment. NULL is allowed.
 */
void SkyDeployment_Release(sky_deployment_t *deployment);

/** Decides what callers' keys are good for, once the list of workspaces is
 *  known.
 *  @param has_key_rules the deployment uses keys, by the settings of its hosts
 *  or by the configuration before: without a list, keys that callers still
 *  carry are not valid */
void SkyDeployment_DecideAccess(sky_deployment_t *deployment,
                                bool has_key_rules);
/** @return the policy's name in log lines. */
const char *SkyDeployment_GetAccessName(const sky_deployment_t *deployment);
/** @return whether only requests with a key are admitted on the route. */
bool SkyDeployment_NeedsKey(const sky_deployment_t *deployment,
                            const sky_route_t *route);
/** @param carries_key whether the request has a key, valid or not */
sky_admission_t SkyDeployment_GetAdmission(const sky_deployment_t *deployment,
                                           const sky_route_t *route,
                                           bool carries_key);
/** @return whether the fields for keys and workspaces are set by hosts, and
 *          those of callers reach no target. */
bool SkyDeployment_OwnsAccessFields(const sky_deployment_t *deployment);

/** @return the shortest objective for the interval between events of all
 *          routes to the service, in ms; 0: no route has one. */
uint32_t SkyDeployment_GetEventIntervalMs(const sky_deployment_t *deployment,
                                          const sky_service_t *service);

/** @return index of a service, or UINT32_MAX. */
uint32_t SkyDeployment_FindService(const sky_deployment_t *deployment,
                                   const char *name);
/** @param host Host header of the request; a port is ignored.
 *  @param path may have a query.
 *  @return the host's route with the longest matching prefix, or NULL. */
const sky_route_t *SkyDeployment_FindRoute(const sky_deployment_t *deployment,
                                           const char *host, const char *path);
/** Rank of a request among all that the configuration knows. */
typedef struct {
    uint32_t rank;        /**< 0 is the most urgent */
    uint32_t level_count; /**< ranks that there are; 0: not known */
} sky_urgency_t;

/** Computes the order of urgencies; to be called once routes and workspaces
 *  are complete. @return SKY_OK or SKY_E_MEMORY */
sky_result_t SkyDeployment_RankUrgencies(sky_deployment_t *deployment);

/** A workspace's priority comes before the route's. If no keys are needed the
 *  rank is the route's urgency.
 *  @param workspace NULL: none, on a public route; ranks last */
sky_urgency_t SkyDeployment_GetUrgency(const sky_deployment_t *deployment,
                                       const sky_route_t *route,
                                       const sky_workspace_t *workspace);

/** Chooses a service of a route's split by weight. Equal hashes get the same
 *  service. @return NULL if all weights are 0. */
const sky_service_t *
SkyDeployment_ChooseService(const sky_deployment_t *deployment,
                            const sky_route_t *route, uint64_t hash);

#ifdef __cplusplus
}
#endif
#endif
