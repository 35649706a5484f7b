#include "edge/target_query.h"

#include "core/clock.h"

/* Keeps a stream that is to begin from versions that are being introduced, if
 * targets of others are left. */
static void
restrict_to_introduced(const sky_target_query_options_t *options,
                       sky_fleet_query_t *query)
{
    const sky_directory_t *directory = options->directory;
    const sky_software_rollout_t *rollout =
        SkyStreamVersions_GetRollout(directory->streams);
    uint64_t boot_ms = SkyClock_BootMs();
    if (options->software != NULL ||
        options->route->retry_policy != SKY_RETRY_RESUME ||
        !SkySoftwareRollout_IsIntroducing(rollout, query->service, boot_ms)) {
        return;
    }
    if (SkyFleet_HasIntroducedTarget(directory->fleet, query->service, rollout,
                                     boot_ms)) {
        query->rollout = rollout;
        query->rollout_ms = boot_ms;
    }
}

sky_fleet_query_t
SkyTargetQuery_Make(const sky_target_query_options_t *options)
{
    sky_fleet_query_t query = {
        .service = options->service->name,
        .engine = options->service->engine.present,
        .model = options->facts->model,
        .adapter = options->facts->adapter,
        .software = options->software,
        .tie_breaker = options->tie_breaker,
    };
    restrict_to_introduced(options, &query);
    return query;
}
