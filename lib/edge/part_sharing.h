/**
 * @file part_sharing.h
 * @brief Messages and records by which hosts share what they know of prompt
 *        parts that crash targets; used by crash_sharing.c.
 *
 * A message is a JSON object with rows of three kinds: "evidence" [part,
 * position, answered before, target, epoch, age in ms], "acquitted" part, and
 * "blamed" [part, age in ms, trials].
 */
#ifndef SKY_EDGE_PART_SHARING_H
#define SKY_EDGE_PART_SHARING_H

#include <jansson.h>

#include "core/result.h"
#include "edge/directory.h"
#include "edge/ownership.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_part_sharing sky_part_sharing_t;

typedef struct {
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    const sky_ownership_t *ownership;
} sky_part_sharing_options_t;

/** Creates the directory's part watch. @return SKY_OK or SKY_E_MEMORY. */
sky_result_t SkyPartSharing_Create(const sky_part_sharing_options_t *options,
                                   sky_part_sharing_t **sharing);
void SkyPartSharing_Free(sky_part_sharing_t *sharing);

/** @return what the part watch reported since the last call; NULL: nothing. */
json_t *SkyPartSharing_TakeNews(sky_part_sharing_t *sharing);
/** @return all evidence and blame that this host knows. */
json_t *SkyPartSharing_EncodeAll(const sky_part_sharing_t *sharing);
/** Applies a message of another host; NULL is none. */
void SkyPartSharing_Apply(const sky_part_sharing_t *sharing,
                          const json_t *message);

/** Size of a record's value, with its NUL. */
#define SKY_PART_VALUE_BYTES 48
/** Writes the value of a blamed part's record: its time and its trials. */
void SkyPartSharing_FormatValue(const sky_part_blame_t *blame,
                                char value[SKY_PART_VALUE_BYTES]);
/** Applies the record of a blamed part. */
void SkyPartSharing_ApplyRecord(sky_part_watch_t *parts, uint64_t part,
                                const char *value);
/** @return whether a part's record is that of its blame, or a later one. */
bool SkyPartSharing_IsRecorded(const sky_part_blame_t *blame,
                               const char *value);

#ifdef __cplusplus
}
#endif
#endif
