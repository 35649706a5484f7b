/**
 * @file config.h
 * @brief Operators' documents (templates, workspaces), derived from the log.
 *
 * Each change is one record, and the record's offset is its revision. A change
 * names the revision that it is based on; of several with the same base, the
 * first in log order is accepted. Before the log drops records, one host
 * appends a snapshot: a restatement of each document with its revision, and a
 * marker with the number of documents. A host that began to read after the
 * first records were dropped applies no change before it has read a snapshot,
 * because it cannot tell whether the base of a change is in force.
 */
#ifndef SKY_DECIDE_CONFIG_H
#define SKY_DECIDE_CONFIG_H

#include "decide/document.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_config sky_config_t;

/** A document in force. */
typedef struct {
    sky_config_kind_t kind;
    const char *name;
    const char *body;
    sky_offset_t revision;
} sky_document_t;

/** A workspace and its event settings, completed by its template. */
typedef struct {
    const sky_workspace_t *workspace;
    const char *name;
    sky_event_settings_t event;
} sky_resolved_workspace_t;

/** @param retention_us how long the log retains a record.
 *  @param disabled_mechanisms sky_disable_flag_t bits, in tests only.
 *  @return NULL if memory is exhausted. */
sky_config_t *SkyConfig_Create(uint64_t retention_us,
                               uint32_t disabled_mechanisms);
void SkyConfig_Free(sky_config_t *config);

/** Sets the oldest offset that the log retained at the first read; later
 *  calls have no effect. */
void SkyConfig_SetLogStart(sky_config_t *config, sky_offset_t oldest);

/** Handles an operator's change: appends it to the log, or responds at once
 *  if it is not valid, conflicts or the configuration is incomplete.
 *  @param nonce nonce of the record. */
void SkyConfig_HandleChange(sky_config_t *config,
                            const sky_in_config_change_t *change,
                            uint64_t nonce, uint64_t now_us,
                            sky_actions_t *out);

/** Applies a CONFIG, CONFIG_RESTATE or CONFIG_SNAPSHOT record. */
void SkyConfig_ApplyRecord(sky_config_t *config, const sky_record_t *record,
                           uint64_t now_us, sky_actions_t *out);

/** Responds SKY_E_UNKNOWN to changes whose record was not read back in
 *  time. */
void SkyConfig_Tick(sky_config_t *config, uint64_t now_us, sky_actions_t *out);

/**
 * Appends the next records of a snapshot if one is due or being written.
 * @param as_of last offset applied, which the snapshot covers.
 * @param delay_fraction how much later this host writes a snapshot than the
 *        host whose turn is first, as a fraction, 0 to 1, of the interval
 *        between snapshots.
 * @param nonce the records get nonces from `nonce` to `nonce + 30`.
 */
void SkyConfig_WriteSnapshot(sky_config_t *config, sky_offset_t as_of,
                             double delay_fraction, uint64_t nonce,
                             uint64_t now_us, sky_actions_t *out);

/** @return true if all documents in force are known: the log was read from
 *          its first record, or a whole snapshot was read. */
bool SkyConfig_IsComplete(const sky_config_t *config);

/** Finds a document. @return false if there is none in force. */
bool SkyConfig_FindDocument(const sky_config_t *config, sky_config_kind_t kind,
                            const char *name, sky_document_t *document);

/** Finds a workspace and completes its event settings by its template.
 *  @return false if there is none in force. */
bool SkyConfig_FindWorkspace(const sky_config_t *config, const char *name,
                             sky_resolved_workspace_t *resolved);

/** Calls @p visit for each document in force. */
void SkyConfig_ForEachDocument(const sky_config_t *config,
                               void (*visit)(const sky_document_t *, void *),
                               void *context);

/** Calls @p visit for each workspace in force, with its event settings
 *  completed by its template. */
void SkyConfig_ForEachWorkspace(const sky_config_t *config,
                                void (*visit)(const sky_resolved_workspace_t *,
                                              void *),
                                void *context);

/** @return the latest revision in force; 0 if there is none. */
sky_offset_t SkyConfig_LatestRevision(const sky_config_t *config);
/** @return number of records in the log that were not valid. */
uint64_t SkyConfig_InvalidRecordCount(const sky_config_t *config);

#ifdef __cplusplus
}
#endif
#endif
