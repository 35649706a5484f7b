/**
 * @file target_query.h
 * @brief The query by which a target is chosen for a request.
 *
 * The proxy and `explain` use the same one, so that what is explained is what
 * is decided.
 */
#ifndef SKY_EDGE_TARGET_QUERY_H
#define SKY_EDGE_TARGET_QUERY_H

#include "decide/request_facts.h"
#include "edge/directory.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    const sky_directory_t *directory;
    const sky_route_t *route;
    const sky_service_t *service;
    const sky_request_facts_t *facts;
    const char *software; /**< version that began the stream; NULL: none has */
    uint64_t tie_breaker; /**< hash of the request's id */
} sky_target_query_options_t;

/** @return a query for a request that was not sent yet; it refers to the
 *          memory of @p options. */
sky_fleet_query_t
SkyTargetQuery_Make(const sky_target_query_options_t *options);

#ifdef __cplusplus
}
#endif
#endif
