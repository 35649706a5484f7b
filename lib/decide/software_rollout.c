#include "decide/software_rollout.h"

#include <stdio.h>
#include <string.h>

/** By which a clock may be ahead of that of a target. */
#define CLOCK_TOLERANCE_MS 2000

static uint64_t
subtract(uint64_t minuend, uint64_t subtrahend)
{
    return minuend > subtrahend ? minuend - subtrahend : 0;
}

void
SkySoftwareRollout_Init(sky_software_rollout_t *rollout,
                        const sky_software_rollout_options_t *options)
{
    *rollout = (sky_software_rollout_t){.options = *options};
}

static bool
is_of_service(const sky_rollout_version_t *version, const char *service)
{
    return strcmp(version->service, service) == 0;
}

static sky_rollout_version_t *
find_version(const sky_software_rollout_t *rollout, const char *service,
             const char *software)
{
    for (uint32_t i = 0; i < rollout->count; i++) {
        const sky_rollout_version_t *version = &rollout->versions[i];
        if (is_of_service(version, service) &&
            strcmp(version->software, software) == 0) {
            return (sky_rollout_version_t *)version;
        }
    }
    return NULL;
}

/* Returns a new entry, in place of the one listed longest ago if need be. */
static sky_rollout_version_t *
add_version(sky_software_rollout_t *rollout, const char *service,
            const char *software)
{
    sky_rollout_version_t *version = &rollout->versions[0];
    if (rollout->count < SKY_ROLLOUT_VERSIONS_MAX) {
        version = &rollout->versions[rollout->count++];
    }
    else {
        for (uint32_t i = 1; i < rollout->count; i++) {
            sky_rollout_version_t *other = &rollout->versions[i];
            version = other->last_listed_ms < version->last_listed_ms
                          ? other
                          : version;
        }
    }
    *version = (sky_rollout_version_t){.has_begun = false};
    snprintf(version->service, sizeof version->service, "%s", service);
    snprintf(version->software, sizeof version->software, "%s", software);
    return version;
}

static bool
is_retained(const sky_software_rollout_t *rollout,
            const sky_rollout_version_t *version, uint64_t now_ms)
{
    return version->last_listed_ms + rollout->options.retention_ms >= now_ms;
}

/* Sets since when a version of the first list has been listed: at the earliest
 * since its target started. Its streams begin late rather than early. */
static void
apply_age(sky_rollout_version_t *version, uint64_t age_ms, uint64_t now_ms)
{
    uint64_t started_ms = subtract(now_ms, age_ms);
    uint64_t latest_ms =
        subtract(now_ms, subtract(age_ms, CLOCK_TOLERANCE_MS));
    if (latest_ms < version->first_listed_ms) {
        version->first_listed_ms = latest_ms;
    }
    if (started_ms < version->last_absent_ms) {
        version->last_absent_ms = started_ms;
    }
}

bool
SkySoftwareRollout_RecordTarget(sky_software_rollout_t *rollout,
                                const char *service, const char *software,
                                uint64_t age_ms, uint64_t now_ms)
{
    bool is_first_list = rollout->list_read_ms == 0;
    sky_rollout_version_t *version = find_version(rollout, service, software);
    bool is_new = version == NULL || !is_retained(rollout, version, now_ms);
    if (is_new) {
        version = version != NULL ? version
                                  : add_version(rollout, service, software);
        version->first_listed_ms = now_ms;
        version->last_absent_ms =
            is_first_list ? now_ms : rollout->list_read_ms;
        version->was_alone = false;
        version->has_begun = false;
    }
    if (is_first_list) {
        apply_age(version, age_ms, now_ms);
    }
    version->last_listed_ms =
        now_ms > version->last_listed_ms ? now_ms : version->last_listed_ms;
    return is_new;
}

static bool
is_alone(const sky_software_rollout_t *rollout,
         const sky_rollout_version_t *version)
{
    for (uint32_t i = 0; i < rollout->count; i++) {
        const sky_rollout_version_t *other = &rollout->versions[i];
        if (other != version && is_of_service(other, version->service) &&
            is_retained(rollout, other, version->last_listed_ms)) {
            return false;
        }
    }
    return true;
}

void
SkySoftwareRollout_RecordListEnd(sky_software_rollout_t *rollout,
                                 uint64_t read_ms)
{
    for (uint32_t i = 0; i < rollout->count; i++) {
        sky_rollout_version_t *version = &rollout->versions[i];
        version->was_alone = version->was_alone || is_alone(rollout, version);
    }
    rollout->list_read_ms =
        read_ms > rollout->list_read_ms ? read_ms : rollout->list_read_ms;
}

void
SkySoftwareRollout_RecordStream(sky_software_rollout_t *rollout,
                                const char *service, const char *software,
                                uint64_t now_ms)
{
    sky_rollout_version_t *version = find_version(rollout, service, software);
    if (version == NULL) {
        /* Another host knows it from a list that has not arrived here. */
        version = add_version(rollout, service, software);
        version->first_listed_ms = now_ms;
        version->last_listed_ms = now_ms;
    }
    version->has_begun = true;
}

static bool
is_introduced(const sky_software_rollout_t *rollout,
              const sky_rollout_version_t *version, uint64_t now_ms)
{
    return version->was_alone ||
           now_ms >=
               version->first_listed_ms + rollout->options.introduction_ms;
}

bool
SkySoftwareRollout_MayBegin(const sky_software_rollout_t *rollout,
                            const char *service, const char *software,
                            uint64_t now_ms)
{
    const sky_rollout_version_t *version =
        find_version(rollout, service, software);
    return version != NULL && is_introduced(rollout, version, now_ms);
}

bool
SkySoftwareRollout_IsIntroducing(const sky_software_rollout_t *rollout,
                                 const char *service, uint64_t now_ms)
{
    for (uint32_t i = 0; i < rollout->count; i++) {
        const sky_rollout_version_t *version = &rollout->versions[i];
        if (is_of_service(version, service) &&
            !is_introduced(rollout, version, now_ms)) {
            return true;
        }
    }
    return false;
}

bool
SkySoftwareRollout_HasSeveralListed(const sky_software_rollout_t *rollout,
                                    const char *service, uint64_t now_ms)
{
    uint32_t listed_count = 0;
    for (uint32_t i = 0; i < rollout->count; i++) {
        const sky_rollout_version_t *version = &rollout->versions[i];
        if (is_of_service(version, service) &&
            is_retained(rollout, version, now_ms)) {
            listed_count++;
        }
    }
    return listed_count > 1;
}

/* Whether any host may have begun a stream at the version: a host begins none
 * before an introduction after it has the version in a list. */
static bool
may_have_begun(const sky_software_rollout_t *rollout,
               const sky_rollout_version_t *version, uint64_t now_ms)
{
    return version->was_alone || version->has_begun ||
           now_ms >=
               version->last_absent_ms + rollout->options.introduction_ms;
}

/* Finds the version listed last; the latest time of all others is that of the
 * second. */
static const sky_rollout_version_t *
find_last(const sky_software_rollout_t *rollout, const char *service,
          uint64_t now_ms, bool only_begun, uint64_t *other_listed_ms)
{
    const sky_rollout_version_t *last = NULL;
    *other_listed_ms = 0;
    for (uint32_t i = 0; i < rollout->count; i++) {
        const sky_rollout_version_t *version = &rollout->versions[i];
        if (!is_of_service(version, service) ||
            (only_begun && !may_have_begun(rollout, version, now_ms))) {
            continue;
        }
        const sky_rollout_version_t *earlier = version;
        if (last == NULL || version->last_listed_ms > last->last_listed_ms) {
            earlier = last;
            last = version;
        }
        if (earlier != NULL && earlier->last_listed_ms > *other_listed_ms) {
            *other_listed_ms = earlier->last_listed_ms;
        }
    }
    return last;
}

const sky_rollout_version_t *
SkySoftwareRollout_FindLast(const sky_software_rollout_t *rollout,
                            const char *service, uint64_t now_ms,
                            uint64_t *other_listed_ms)
{
    const sky_rollout_version_t *last =
        find_last(rollout, service, now_ms, true, other_listed_ms);
    return last != NULL
               ? last
               : find_last(rollout, service, now_ms, false, other_listed_ms);
}

const char *
SkySoftwareRollout_FindOnly(const sky_software_rollout_t *rollout,
                            const char *service, uint64_t now_ms)
{
    uint64_t other_listed_ms;
    const sky_rollout_version_t *last = SkySoftwareRollout_FindLast(
        rollout, service, now_ms, &other_listed_ms);
    bool is_only = last != NULL &&
                   (other_listed_ms == 0 ||
                    other_listed_ms + rollout->options.retention_ms < now_ms);
    return is_only ? last->software : NULL;
}

bool
SkySoftwareRollout_IsListComplete(const sky_software_rollout_t *rollout,
                                  uint64_t now_ms)
{
    return rollout->list_read_ms > 0 &&
           now_ms < rollout->list_read_ms + rollout->options.introduction_ms;
}
