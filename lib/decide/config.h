/**
 * @file config.h
 * @brief Operators' configuration: a fold over the log.
 *
 * One record a change; its offset is its revision. A change names the revision
 * it was made from, and the first in log order wins. Before the log drops
 * records, one host appends a snapshot: a restatement of each document with
 * its revision, and a marker with their number. A host that began to read too
 * late for the first records judges no change before it has a snapshot.
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

/** An event whose adapters are to be resident at its opening. */
typedef struct {
    const sky_workspace_t *workspace;
    const char *name;
    sky_event_t event;
} sky_opening_t;

/** @param retention_us for how long the log keeps a record.
 *  @param off sky_off_t, for proofs only. */
sky_config_t *SkyConfig_Create(uint64_t retention_us, uint32_t off);
void SkyConfig_Free(sky_config_t *config);

/** Notes where the kept log began at the first read. */
void SkyConfig_NoteStart(sky_config_t *config, sky_offset_t oldest);

/** Takes an operator's change; appends it, or answers at once. */
void SkyConfig_Change(sky_config_t *config, const sky_in_change_t *change,
                      uint64_t nonce, uint64_t now_us, sky_actions_t *out);

/** Applies a CONFIG or CONFIG_RESTATE record. */
void SkyConfig_Apply(sky_config_t *config, const sky_record_t *record,
                     uint64_t now_us, sky_actions_t *out);

/** Gives up changes whose record has not been read back in time. */
void SkyConfig_Tick(sky_config_t *config, uint64_t now_us, sky_actions_t *out);

/**
 * Appends a part of a snapshot, where one is due.
 * @param as_of last offset applied: what the snapshot stands for.
 * @param wait share of the time between snapshots, 0 to 1, by which this host
 *        waits longer than the one that is first to write them.
 */
void SkyConfig_WriteSnapshot(sky_config_t *config, sky_offset_t as_of,
                             double wait, uint64_t nonce, uint64_t now_us,
                             sky_actions_t *out);

/** @return true if all documents in force are known: the log was read from
 *          its very beginning, or a whole snapshot was read. */
bool SkyConfig_IsComplete(const sky_config_t *config);

/** Finds a document. @return false if there is none in force. */
bool SkyConfig_Find(const sky_config_t *config, sky_config_kind_t kind,
                    const char *name, sky_document_t *document);

/** Finds a workspace with its template applied. */
bool SkyConfig_FindWorkspace(const sky_config_t *config, const char *name,
                             sky_opening_t *opening);

/** Calls @p visit for each document in force. */
void SkyConfig_ForEach(const sky_config_t *config,
                       void (*visit)(const sky_document_t *, void *),
                       void *context);

/** Calls @p visit for each workspace with its template applied. */
void SkyConfig_ForEachOpening(const sky_config_t *config,
                              void (*visit)(const sky_opening_t *, void *),
                              void *context);

/** @return the newest revision in force; 0 before the first. */
sky_offset_t SkyConfig_Revision(const sky_config_t *config);
/** @return records met in the log that were not valid. */
uint64_t SkyConfig_SkippedCount(const sky_config_t *config);

#ifdef __cplusplus
}
#endif
#endif
