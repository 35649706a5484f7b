/**
 * @file software_rollout.h
 * @brief From when a newly listed software version begins streams, and which
 *        versions may have begun one.
 *
 * Fault: a version begins streams before all hosts know of it. A host that has
 * no record of a stream then takes it for one of the version that it knows,
 * and the stream is joined from two; or, knowing both, it refuses every stream
 * without a record, also those that began when there was only one version.
 *
 * A version that is listed beside others therefore begins no streams during
 * its introduction, unless no target of another version is left. Until the
 * introduction has passed since the last list without it, no host has begun a
 * stream there, and a stream without a record is of an older version.
 *
 * The module does no I/O; times are milliseconds of a clock that also counts
 * the time for which the host is suspended.
 */
#ifndef SKY_DECIDE_SOFTWARE_ROLLOUT_H
#define SKY_DECIDE_SOFTWARE_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/target_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Versions that are remembered, of all services. */
#define SKY_ROLLOUT_VERSIONS_MAX 64

typedef struct {
    /** Length of an introduction; 0: versions begin streams at once. */
    uint64_t introduction_ms;
    /** Time for which streams of a version that is gone may be taken up. */
    uint64_t retention_ms;
} sky_software_rollout_options_t;

/** A software version that targets of a service run or ran. */
typedef struct {
    char service[SKY_SERVICE_NAME_BYTES];
    char software[SKY_SOFTWARE_VERSION_BYTES];
    uint64_t first_listed_ms;
    uint64_t last_listed_ms;
    uint64_t last_absent_ms; /**< read time of the last list without it */
    /** No other version of the service was listed within the retention time.
     */
    bool was_alone;
    bool has_begun; /**< a stream is known that began at it */
} sky_rollout_version_t;

typedef struct {
    sky_software_rollout_options_t options;
    sky_rollout_version_t versions[SKY_ROLLOUT_VERSIONS_MAX];
    uint32_t count;
    uint64_t list_read_ms; /**< of the last whole list; 0: none yet */
} sky_software_rollout_t;

void SkySoftwareRollout_Init(sky_software_rollout_t *rollout,
                             const sky_software_rollout_options_t *options);

/** Records that a target of the service is listed with this software.
 *  @param age_ms time since the target started, by clocks that differ
 *         little. It bounds for how long the versions of the first list
 *         have been listed; later it is ignored.
 *  @return whether the version was not known, or not within the retention time
 */
bool SkySoftwareRollout_RecordTarget(sky_software_rollout_t *rollout,
                                     const char *service, const char *software,
                                     uint64_t age_ms, uint64_t now_ms);
/** Records that all targets of the list were recorded.
 *  @param read_ms when the list was read from the store, or before */
void SkySoftwareRollout_RecordListEnd(sky_software_rollout_t *rollout,
                                      uint64_t read_ms);
/** Records that a stream began at this version, whatever its introduction. */
void SkySoftwareRollout_RecordStream(sky_software_rollout_t *rollout,
                                     const char *service, const char *software,
                                     uint64_t now_ms);

/** @return whether this host may begin streams at the version. */
bool SkySoftwareRollout_MayBegin(const sky_software_rollout_t *rollout,
                                 const char *service, const char *software,
                                 uint64_t now_ms);
/** @return whether some version of the service may not begin streams yet. */
bool SkySoftwareRollout_IsIntroducing(const sky_software_rollout_t *rollout,
                                      const char *service, uint64_t now_ms);
/** @return whether several versions were listed within the retention time. */
bool SkySoftwareRollout_HasSeveralListed(const sky_software_rollout_t *rollout,
                                         const char *service, uint64_t now_ms);
/** Finds the version listed last among those that may have begun streams;
 * among all of them, if none may have: then any of them may begin some now.
 *  @param other_listed_ms when another one of these was listed last; 0: none
 *         was
 *  @return NULL: no version of the service is known */
const sky_rollout_version_t *
SkySoftwareRollout_FindLast(const sky_software_rollout_t *rollout,
                            const char *service, uint64_t now_ms,
                            uint64_t *other_listed_ms);
/** @return the only version at which a stream may have begun that is taken up
 *          now, as far as the versions of the last list go; NULL: there are
 *          several, or none is known. */
const char *SkySoftwareRollout_FindOnly(const sky_software_rollout_t *rollout,
                                        const char *service, uint64_t now_ms);
/** @return whether no version that is missing in the last list can have begun
 *          streams yet. */
bool SkySoftwareRollout_IsListComplete(const sky_software_rollout_t *rollout,
                                       uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
