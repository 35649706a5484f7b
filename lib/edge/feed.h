/**
 * @file feed.h
 * @brief Follows topics of the store: the operator's documents, the list of
 * targets, and what hosts wrote: crashes, and versions of services.
 *
 * A host reads the records from the store or, if it is not a reader of the
 * store or gets no response from it, from its peers. Each host keeps the
 * newest record of each key with its offset and never replaces it by a record
 * with a lower offset of the same era (see platform/store.h). With a new era
 * the topics are read from the beginning.
 */
#ifndef SKY_EDGE_FEED_H
#define SKY_EDGE_FEED_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "decide/start_reads.h"
#include "edge/directory.h"
#include "edge/host_settings.h"
#include "platform/store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_feed sky_feed_t;

typedef enum {
    SKY_FEED_OPERATOR,
    SKY_FEED_TARGETS,
    SKY_FEED_CRASHES,
    SKY_FEED_TOPIC_COUNT,
} sky_feed_topic_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_store_t *store;
    const sky_start_reads_t *start;
    /** New records of a topic, or a new deployment, were applied. */
    void (*on_change)(void *context, sky_feed_topic_t topic);
    void *context;
} sky_feed_options_t;

sky_result_t SkyFeed_Create(const sky_feed_options_t *options,
                            sky_feed_t **feed);
void SkyFeed_Free(sky_feed_t *feed);

/** Reads the store at once if this host has come to be one that does so at
 *  its start. */
void SkyFeed_HandleStart(sky_feed_t *feed);
/** @return whether this host is to get its records from others, as many hosts
 *  start at once. */
bool SkyFeed_WaitsForPeers(const sky_feed_t *feed);

/** @return whether all records of a topic are known, up to the last read. */
bool SkyFeed_IsSynced(const sky_feed_t *feed, sky_feed_topic_t topic);
/** @return value of a key, NULL if there is none. */
const char *SkyFeed_FindValue(const sky_feed_t *feed, sky_feed_topic_t topic,
                              const char *key);
typedef void (*sky_feed_visitor_t)(void *context, const char *key,
                                   const char *value);
/** Calls @p visit for each key of a topic that has a value. */
void SkyFeed_ForEachRecord(const sky_feed_t *feed, sky_feed_topic_t topic,
                           sky_feed_visitor_t visit, void *context);
/** How far a host knows a topic. */
typedef struct {
    uint64_t era; /**< of the store's history, in which the offset is valid */
    uint64_t next_offset; /**< follows the last known record */
} sky_feed_position_t;

sky_feed_position_t SkyFeed_GetPosition(const sky_feed_t *feed,
                                        sky_feed_topic_t topic);
/** @return whether this host has records for a peer at @p position. */
bool SkyFeed_IsAhead(const sky_feed_t *feed, sky_feed_topic_t topic,
                     const sky_feed_position_t *position);
/** Sets whether this host reads the store, as every host does at first.
 *  Otherwise it reads the store only while the records from its peers are
 *  stale or a topic is not known yet. */
void SkyFeed_SetStoreReader(sky_feed_t *feed, bool is_store_reader);
bool SkyFeed_IsStoreReader(const sky_feed_t *feed);
/** @return whether the last read of the store, by this host or by a peer that
 *  passed its records on, is too long ago for the operator's topic or the list
 *  of targets. */
bool SkyFeed_IsStale(const sky_feed_t *feed);
/** Reads the list of targets from the store at once, also if this host is no
 *  reader. @return false if the store is unreachable */
bool SkyFeed_ReadTargets(sky_feed_t *feed);
/** Decides again what callers' keys are good for, after the settings have
 *  changed. */
void SkyFeed_HandleReload(sky_feed_t *feed);
/** @return whether this host may act on the operator's topic and the list of
 *  targets: they are young enough for the time limits of updates, or the store
 *  is unreachable. */
bool SkyFeed_AreRecordsUsable(const sky_feed_t *feed);
/** @return whether this host can prove that the configuration in force was the
 *  newest within the bound for removed keys. True if there is no such bound.
 */
bool SkyFeed_IsConfigProven(const sky_feed_t *feed);
/** @return the records that a peer at @p from lacks as JSON, with the time
 *  since the topic was read from the store; the records are empty if the peer
 *  knows more. All records, marked as such, if this host does not know all
 *  deletions since @p from. NULL if this host does not know the topic yet, or
 *  not in the peer's era.
 *  @param reads_deflated see SkyEncodedValue_Make() */
json_t *SkyFeed_EncodeRecords(const sky_feed_t *feed, sky_feed_topic_t topic,
                              const sky_feed_position_t *from,
                              bool reads_deflated);
/** Applies the output of a peer's SkyFeed_EncodeRecords(); that of an earlier
 *  era is ignored.
 *  @param responded_ms when the peer made it, or before
 *  @param responded_boot_ms the same of SkyClock_BootMs(); 0: not known
 *  @return SKY_E_BAD_REQUEST if it is malformed; valid records in it are
 *  applied all the same. */
sky_result_t SkyFeed_ApplyRecords(sky_feed_t *feed, sky_feed_topic_t topic,
                                  const json_t *json, uint64_t responded_ms,
                                  uint64_t responded_boot_ms);
/** @return whether the last read of the operator's topic or of the list of
 *  targets failed. */
bool SkyFeed_IsStoreFailing(const sky_feed_t *feed);

#ifdef __cplusplus
}
#endif
#endif
