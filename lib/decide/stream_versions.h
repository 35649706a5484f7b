/**
 * @file stream_versions.h
 * @brief Which software version a stream began at, and so may go on at.
 *
 * What two versions of a target's software write does not fit together. A host
 * records the version that brought a stream's first event, under the id of the
 * request that got it. While the targets of a service run, or recently ran,
 * more than one version, records are also told to other hosts, so that a
 * stream can be taken up at any of them.
 *
 * Other hosts are asked for a stream without a record. If none has one, it
 * goes on at the only version that may have begun it
 * (decide/software_rollout.h), by what this host or one that answered knows;
 * if there are several, it is refused. The list that this rests on must be so
 * young that no version can have begun streams since. A host that no other one
 * answers may be out of step with them: it relies on what it has seen only if
 * it has read the list since.
 *
 * All hosts may lose their records at once. What they saw of a service is
 * therefore kept in the store (sky_version_history_t); a host that does not
 * know it yet refuses streams without a record.
 *
 * The module does no I/O; times are milliseconds of a clock that also counts
 * the time for which the host is suspended.
 */
#ifndef SKY_DECIDE_STREAM_VERSIONS_H
#define SKY_DECIDE_STREAM_VERSIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/software_rollout.h"
#include "decide/target_entry.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_stream_versions sky_stream_versions_t;

typedef struct {
    /** Time from a stream's first event within which it may be taken up. */
    uint64_t retention_ms;
    uint32_t streams_max;     /**< records kept; the oldest is displaced */
    uint64_t introduction_ms; /**< see sky_software_rollout_options_t */
} sky_stream_versions_options_t;

/** @return SKY_OK or SKY_E_MEMORY. */
sky_result_t
SkyStreamVersions_Create(const sky_stream_versions_options_t *options,
                         sky_stream_versions_t **versions);
void SkyStreamVersions_Free(sky_stream_versions_t *versions);

/** @return the software versions of services, to record the list in. */
sky_software_rollout_t *
SkyStreamVersions_GetRollout(sky_stream_versions_t *versions);
/** @return whether streams of the service may have begun at several versions
 *          within the retention time. */
bool SkyStreamVersions_IsMixed(const sky_stream_versions_t *versions,
                               const char *service, uint64_t now_ms);
/** @return the only version at which a stream of the service without a record
 *          may have begun, by what this host knows; NULL: it does not know. */
const char *
SkyStreamVersions_FindOnlyVersion(const sky_stream_versions_t *versions,
                                  const char *service, uint64_t now_ms);

/** What is kept of a service's versions where all hosts find it again. */
typedef struct {
    /** Time since several versions were seen last; UINT64_MAX: never. */
    uint64_t mixed_age_ms;
    char software[SKY_SOFTWARE_VERSION_BYTES]; /**< the version seen last */
} sky_version_history_t;

/** @return whether a version of the service has been seen; @p history is then
 *          what this host knows, also from other hosts. */
bool SkyStreamVersions_GetHistory(const sky_stream_versions_t *versions,
                                  const char *service, uint64_t now_ms,
                                  sky_version_history_t *history);
/** Adds what is kept of a service: a version that differs from the one that is
 *  in use was in use until now. */
void SkyStreamVersions_ApplyHistory(sky_stream_versions_t *versions,
                                    const char *service,
                                    const sky_version_history_t *history,
                                    uint64_t now_ms);
/** Records that all that is kept has been applied. */
void SkyStreamVersions_SetHistoryKnown(sky_stream_versions_t *versions);

#define SKY_VERSION_HISTORY_KEY_BYTES (SKY_SERVICE_NAME_BYTES + 16)
#define SKY_VERSION_HISTORY_VALUE_BYTES (SKY_SOFTWARE_VERSION_BYTES + 48)
/** Writes the key of a service's record in the store. */
void SkyVersionHistory_FormatKey(const char *service,
                                 char key[SKY_VERSION_HISTORY_KEY_BYTES]);
/** @return whether the key is that of such a record. */
bool SkyVersionHistory_IsKey(const char *key);
/** @param wall_ms the current time of day */
void
SkyVersionHistory_FormatValue(const sky_version_history_t *history,
                              uint64_t wall_ms,
                              char value[SKY_VERSION_HISTORY_VALUE_BYTES]);
/** @param wall_ms the current time of day, which may differ from that of the
 *         host that wrote the value
 *  @return whether the value is well-formed */
bool SkyVersionHistory_ParseValue(const char *value, uint64_t wall_ms,
                                  sky_version_history_t *history);
/** @return whether the store is to get @p current in place of @p stored. */
bool SkyVersionHistory_IsOutdated(const sky_version_history_t *stored,
                                  const sky_version_history_t *current);

/** Stands for all streams whose callers do not say which request began them:
 *  these have no records. */
#define SKY_STREAM_UNNAMED 0

/** The version of one stream. */
typedef struct {
    uint64_t stream; /**< hash of the id of the request that began it */
    char service[SKY_SERVICE_NAME_BYTES];
    char software[SKY_SOFTWARE_VERSION_BYTES];
} sky_stream_version_t;

/** Records a stream that began at this host (@p is_own) or at another one. The
 *  first record of a stream counts. */
void SkyStreamVersions_RecordStream(sky_stream_versions_t *versions,
                                    const sky_stream_version_t *stream,
                                    bool is_own, uint64_t now_ms);
/** @return software version that the stream began at; NULL: no record. */
const char *SkyStreamVersions_FindStream(const sky_stream_versions_t *versions,
                                         uint64_t stream, uint64_t now_ms);

typedef void (*sky_stream_version_visitor_t)(
    const sky_stream_version_t *stream, void *context);
/** Calls @p visit once for each own stream of a service with several listed
 *  versions; it is then known to others. */
void SkyStreamVersions_TakeUntold(sky_stream_versions_t *versions,
                                  uint64_t now_ms,
                                  sky_stream_version_visitor_t visit,
                                  void *context);

typedef enum {
    SKY_RESUME_AT_SOFTWARE, /**< only at the version that began it */
    SKY_RESUME_ASK_OTHERS,  /**< other hosts may know the version */
    /** Versions may have begun streams that are not in this host's list, or no
     *  other host answers: the list is to be read first. */
    SKY_RESUME_READ_LIST,
    SKY_RESUME_REFUSED, /**< nobody knows, and a guess may be wrong */
} sky_resume_kind_t;

typedef struct {
    sky_resume_kind_t kind;
    const char *software; /**< SKY_RESUME_AT_SOFTWARE: the version */
} sky_resume_t;

/** What other hosts answered. */
typedef struct {
    bool have_answered; /**< all that were asked have answered or timed out */
    bool know_mixed;    /**< by one of them it may be of several versions */
    bool has_heard;     /**< one of them has answered */
    /** This host has read the list since the stream was taken up. */
    bool has_newer_list;
    bool is_store_unreachable; /**< nobody can read a newer list */
    /** One of them knows the only version that may have begun it. */
    bool has_only_version;
    char only_version[SKY_SOFTWARE_VERSION_BYTES];
} sky_resume_answers_t;

/** Decides where a stream that a caller takes up may go on.
 *  @param stream hash of the id of the request that began it */
sky_resume_t SkyStreamVersions_Decide(const sky_stream_versions_t *versions,
                                      const char *service, uint64_t stream,
                                      const sky_resume_answers_t *answers,
                                      uint64_t now_ms);

#ifdef __cplusplus
}
#endif
#endif
