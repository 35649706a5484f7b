/**
 * @file feed_internal.h
 * @brief Types and functions shared by the source files of the feed.
 *
 * feed.c reads the store and decides when, feed_records.c keeps the records
 * and applies them to the directory, feed_update.c exchanges them with peers.
 */
#ifndef SKY_EDGE_FEED_INTERNAL_H
#define SKY_EDGE_FEED_INTERNAL_H

#include <uthash.h>

#include "decide/freshness.h"
#include "edge/encoded_value.h"
#include "edge/feed.h"

typedef struct {
    char *key;
    char *value;
    size_t value_bytes;
    sky_encoded_value_t encoded; /**< of the value, once a peer asked for it */
    bool is_tombstone;           /**< the key was deleted */
    uint64_t offset;
    bool in_snapshot; /**< found by the current read of a snapshot */
    bool is_outdated; /**< of an earlier era; its offset means nothing */
    UT_hash_handle hh;
} sky_feed_record_t;

typedef struct {
    sky_feed_t *feed;
    sky_feed_topic_t id;
    const char *name;
    bool snapshot_pending; /**< the next read gets a page of a snapshot */
    bool synced;           /**< the records of a whole snapshot are known */
    char *cursor;          /**< of the previous page; NULL: none */
    uint64_t snapshot_end_offset;
    uint64_t era; /**< of the offsets; 0: not known */
    uint64_t next_offset;
    /** The first records are a snapshot, which has no deletions: those from
     *  this offset on are known. */
    uint64_t deletions_from_offset;
    uint32_t failed_reads; /**< in a row */
    uint64_t first_failure_ms;
    /** When the newest call was made, or the end of the wait that it asked
     *  for: a response without records shows the store of that time. */
    uint64_t call_due_ms;
    uint64_t call_sent_ms;
    uint64_t call_sent_boot_ms; /**< see SkyFreshness_RecordProof() */
    bool is_call_open;
    bool is_read_wanted; /**< also if peers relay the topic */
    uint64_t snapshot_began_ms;
    uint64_t snapshot_began_boot_ms;
    sky_freshness_t freshness;
    ev_timer read_timer;
    sky_feed_record_t *records;
} sky_feed_state_t;

struct sky_feed {
    sky_feed_options_t options;
    sky_feed_state_t topics[SKY_FEED_TOPIC_COUNT];
    bool is_store_reader;
    /** The newest configuration could not be read: the one in force is not the
     *  newest. */
    bool is_config_unreadable;
    uint64_t config_text_hash;   /**< of the configuration in force */
    uint64_t ignored_second;     /**< of the last line about an entry */
    uint32_t ignored_lines;      /**< in that second */
    uint32_t ignored_not_logged; /**< since the last such line */
    ev_timer check_timer;
};

/** @return the time since the topic was read from the store. */
unsigned long long SkyFeedState_GetAgeMs(const sky_feed_state_t *topic);
/** Takes over the time of the newest read, and logs a gap before it.
 *  @param before_ms of the read before
 *  @param is_relayed a peer passed it on */
void SkyFeedState_PublishRead(const sky_feed_state_t *topic,
                              uint64_t before_ms, bool is_relayed);
/** Keeps a record, and applies it to the directory, unless a newer one of its
 *  key is known. */
void SkyFeedState_ApplyRecord(sky_feed_state_t *topic,
                              const sky_store_record_t *record);
/** Marks keys that are missing from a complete snapshot as deleted.
 *  @param end_offset follows the last record that the snapshot covers */
void SkyFeedState_DeleteMissingKeys(sky_feed_state_t *topic,
                                    uint64_t end_offset);
/** Begins a snapshot: no key was found in it yet. */
void SkyFeedState_ClearSnapshotMarks(sky_feed_state_t *topic);
/** Applies the era of records that were received.
 *  @return whether the records known so far are of an earlier one */
bool SkyFeedState_ApplyEra(sky_feed_state_t *topic, uint64_t era);

#endif
