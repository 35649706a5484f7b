#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "core/time_left.h"
#include "edge/feed_internal.h"
#include "edge/part_sharing.h"
#include "platform/documents.h"

/** A longer interval between the reads that reach this host is logged. */
#define GAP_LOGGED_MS 1000
#define IGNORED_LINES_PER_S 10 /**< about entries, of a host */
#define LOGGED_KEY_BYTES_MAX 64

unsigned long long
SkyFeedState_GetAgeMs(const sky_feed_state_t *topic)
{
    return SkyClock_NowMs() - topic->freshness.read_ms;
}

void
SkyFeedState_PublishRead(const sky_feed_state_t *topic, uint64_t before_ms,
                         bool is_relayed)
{
    uint64_t read_ms = topic->freshness.read_ms;
    if (topic->id == SKY_FEED_TARGETS) {
        topic->feed->options.directory->targets_read_ms = read_ms;
    }
    if (topic->id != SKY_FEED_CRASHES && before_ms > 0 &&
        read_ms > before_ms + GAP_LOGGED_MS) {
        SkyLog_Write(LOG_NOTICE, "feed_gap",
                     "topic=%s gap_ms=%llu age_ms=%llu source=%s reader=%d "
                     "failed_reads=%u outage=%d",
                     topic->name, (unsigned long long)(read_ms - before_ms),
                     SkyFeedState_GetAgeMs(topic),
                     is_relayed ? "peer" : "store",
                     topic->feed->is_store_reader, topic->failed_reads,
                     topic->freshness.store_regained_ms > before_ms);
    }
}

/* Keys that were in use do not become ordinary fields again. */
static void
decide_access(const sky_feed_t *feed, sky_deployment_t *deployment,
              const sky_deployment_t *previous)
{
    bool had_keys =
        previous != NULL && SkyDeployment_OwnsAccessFields(previous);
    SkyDeployment_DecideAccess(
        deployment, had_keys || feed->options.settings->has_key_rules);
}

/* A version that drops the list of workspaces lets requests without a key run
 * on all routes. */
static void
log_access_opened(const sky_deployment_t *deployment,
                  const sky_deployment_t *previous)
{
    if (deployment->access == SKY_ACCESS_ANONYMOUS && previous != NULL &&
        previous->access != SKY_ACCESS_ANONYMOUS &&
        SkyDeployment_OwnsAccessFields(previous)) {
        SkyLog_Write(
            LOG_WARNING, "access_opened",
            "version=%llu before=%llu workspaces_before=%u with_key=refused",
            (unsigned long long)deployment->version,
            (unsigned long long)previous->version,
            SkyWorkspaces_Count(previous->workspaces));
    }
}

void
SkyFeed_HandleReload(sky_feed_t *feed)
{
    sky_deployment_t *deployment = feed->options.directory->deployment;
    if (deployment != NULL) {
        decide_access(feed, deployment, deployment);
    }
}

static void
apply_deployment(sky_feed_t *feed, const sky_feed_record_t *record)
{
    sky_directory_t *directory = feed->options.directory;
    sky_deployment_t *decoded = NULL;
    sky_result_t result = SkyPlatformDocument_ParseDeployment(
        record->value, record->value_bytes, &decoded);
    if (SkyResult_IsError(result)) {
        SkyLog_Write(LOG_ERR, "config_ignored", "offset=%llu reason=%s",
                     (unsigned long long)record->offset,
                     SkyResult_Symbol(result));
        feed->is_config_unreadable = true;
        return;
    }
    feed->is_config_unreadable = false;
    sky_deployment_t *previous = directory->deployment;
    uint64_t text_hash = XXH3_64bits(record->value, record->value_bytes);
    /* A store that went back can get another text under the same version. */
    if (previous != NULL && (decoded->version < previous->version ||
                             (decoded->version == previous->version &&
                              text_hash == feed->config_text_hash))) {
        SkyDeployment_Release(decoded);
        return;
    }
    decide_access(feed, decoded, previous);
    directory->deployment = decoded;
    feed->config_text_hash = text_hash;
    SkyLog_Write(LOG_NOTICE, "config_in_force",
                 "version=%llu before=%llu routes=%u services=%u access=%s "
                 "workspaces=%u offset=%llu",
                 (unsigned long long)decoded->version,
                 (unsigned long long)(previous ? previous->version : 0),
                 decoded->route_count, decoded->service_count,
                 SkyDeployment_GetAccessName(decoded),
                 SkyWorkspaces_Count(decoded->workspaces),
                 (unsigned long long)record->offset);
    log_access_opened(decoded, previous);
    SkyDeployment_Release(previous);
    feed->options.on_change(feed->options.context, SKY_FEED_OPERATOR);
}

static void
apply_operator_record(sky_feed_t *feed, const sky_feed_record_t *record)
{
    sky_resident_t announced;
    if (record->is_tombstone) {
        return;
    }
    switch (SkyPlatformDocument_GetKeyKind(record->key)) {
    case SKY_OPERATOR_KEY_DEPLOYMENT:
        apply_deployment(feed, record);
        break;
    case SKY_OPERATOR_KEY_VERSION:
        if (SkyResult_IsError(SkyPlatformDocument_ParseVersion(
                record->value, record->value_bytes, &announced))) {
            SkyLog_Write(LOG_WARNING, "version_ignored", "key=%s",
                         record->key);
            return;
        }
        SkyLog_Write(LOG_NOTICE, "version_announced",
                     "adapter=%s/%s version=%u", announced.model,
                     announced.adapter, announced.version);
        SkyFleet_ApplyAnnouncement(feed->options.directory->fleet, &announced,
                                   SkyClock_NowMs());
        break;
    case SKY_OPERATOR_KEY_OTHER:
        break;
    }
}

/* Logs an entry that names no target to use: another writer may write them in
 * any number. */
static void
log_entry_ignored(sky_feed_state_t *topic, const sky_feed_record_t *record,
                  const char *reason, const char *field)
{
    sky_feed_t *feed = topic->feed;
    uint64_t second = SkyClock_NowMs() / 1000;
    if (second != feed->ignored_second) {
        feed->ignored_second = second;
        feed->ignored_lines = 0;
    }
    if (feed->ignored_lines == IGNORED_LINES_PER_S) {
        feed->ignored_not_logged++;
        return;
    }
    feed->ignored_lines++;
    SkyLog_Write(LOG_WARNING, "target_entry_ignored",
                 "target=%.*s reason=%s field=%s offset=%llu not_logged=%u",
                 LOGGED_KEY_BYTES_MAX, record->key, reason,
                 field[0] != '\0' ? field : "-",
                 (unsigned long long)record->offset, feed->ignored_not_logged);
    feed->ignored_not_logged = 0;
}

/* Whether an entry would move a known target to a service that the
 * configuration in force does not have. */
static bool
names_unknown_service(const sky_feed_t *feed, const sky_fleet_target_t *target,
                      const sky_target_entry_t *entry)
{
    const sky_deployment_t *deployment = feed->options.directory->deployment;
    return deployment != NULL &&
           strcmp(target->entry.service, entry->service) != 0 &&
           SkyDeployment_FindService(deployment, entry->service) == UINT32_MAX;
}

static void
apply_target_record(sky_feed_state_t *topic, const sky_feed_record_t *record)
{
    sky_feed_t *feed = topic->feed;
    sky_fleet_t *fleet = feed->options.directory->fleet;
    const sky_fleet_target_t *fleet_target =
        SkyFleet_FindTarget(fleet, record->key);
    if (record->is_tombstone) {
        if (fleet_target != NULL) {
            uint64_t now_ms = SkyClock_NowMs();
            uint64_t gone_at_ms =
                SkyFreshness_GetRemovalMs(&topic->freshness, now_ms);
            SkyLog_Write(
                LOG_NOTICE, "target_missing",
                "target=%s gone_in_ms=%llu age_ms=%llu", record->key,
                (unsigned long long)SkyTime_LeftMs(gone_at_ms, now_ms),
                SkyFeedState_GetAgeMs(topic));
            SkyFleet_ScheduleRemoval(fleet, record->key, gone_at_ms);
            SkyFleet_Tick(fleet, now_ms);
        }
        return;
    }
    sky_target_entry_t entry;
    const char *field;
    if (SkyResult_IsError(SkyPlatformDocument_ParseTargetEntry(
            record->key, record->value, record->value_bytes, &entry,
            &field))) {
        log_entry_ignored(topic, record, "invalid", field);
        return;
    }
    if (fleet_target != NULL &&
        names_unknown_service(feed, fleet_target, &entry)) {
        log_entry_ignored(topic, record, "service_unknown", "service");
        SkyTargetEntry_Clear(&entry);
        return;
    }
    sky_entry_verdict_t verdict =
        SkyFleet_JudgeEntry(fleet, &entry, SkyClock_NowMs());
    if (verdict != SKY_ENTRY_USABLE) {
        log_entry_ignored(topic, record, SkyFleet_GetVerdictName(verdict), "");
        SkyFleet_ApplyEntry(fleet, &entry, SkyClock_NowMs());
        return;
    }
    if (fleet_target == NULL || fleet_target->entry.state != entry.state ||
        fleet_target->entry.started_unix_ms != entry.started_unix_ms) {
        SkyLog_Write(LOG_NOTICE, "target_listed",
                     "target=%s service=%s state=%s slots=%u born=%llu "
                     "software=%s adapters=%u age_ms=%llu",
                     entry.id, entry.service,
                     entry.state == SKY_TARGET_READY ? "ready" : "leaving",
                     entry.slots, (unsigned long long)entry.started_unix_ms,
                     entry.software, entry.resident_count,
                     SkyFeedState_GetAgeMs(topic));
    }
    if (SkyFleet_ApplyEntry(fleet, &entry, SkyClock_NowMs()) == NULL) {
        SkyLog_Write(LOG_ERR, "target_entry_ignored",
                     "target=%s reason=memory", record->key);
    }
}

/* A deleted record is ignored: this host drops a crash when it is as old as
 * all hosts keep it. */
static void
apply_crash_record(const sky_feed_t *feed, const sky_feed_record_t *record)
{
    sky_crash_watch_t *crashes = feed->options.directory->crashes;
    sky_rec_crash_t crash;
    uint64_t part;
    if (record->is_tombstone || SkyVersionHistory_IsKey(record->key)) {
        return; /* edge/stream_sharing looks the latter up */
    }
    if (SkyPart_ParseKey(record->key, &part)) {
        SkyPartSharing_ApplyRecord(feed->options.directory->parts, part,
                                   record->value);
        return;
    }
    if (!SkyCrash_ParseKey(record->key, &crash)) {
        SkyLog_Write(LOG_WARNING, "crash_ignored", "key=%s", record->key);
        return;
    }
    uint64_t wall_ms = SkyClock_WallMs();
    uint64_t now_ms = SkyClock_NowMs();
    sky_crash_value_t value = SkyCrash_ParseValue(record->value);
    uint64_t age_ms = wall_ms > value.confirmed_wall_ms
                          ? wall_ms - value.confirmed_wall_ms
                          : 0;
    if (value.is_acquitted) {
        SkyCrashWatch_ApplyAcquittal(crashes, &crash, now_ms);
    }
    else if (age_ms < now_ms) {
        SkyCrashWatch_RecordCrash(crashes, &crash, now_ms - age_ms, now_ms);
    }
}

/* Whether the store went back to the entry of a target that had left since. If
 * the target still runs, it writes its entry again. */
static bool
is_resurrected(const sky_feed_state_t *topic, const sky_feed_record_t *stored,
               const sky_store_record_t *record)
{
    return topic->id == SKY_FEED_TARGETS && stored->is_outdated &&
           stored->is_tombstone && !record->is_tombstone &&
           record->offset < topic->snapshot_end_offset;
}

/* The configuration may have been among the lost records. */
static void
lose_record(sky_feed_state_t *topic)
{
    SkyLog_Write(LOG_ERR, "record_lost", "topic=%s reason=memory",
                 topic->name);
    if (topic->id == SKY_FEED_OPERATOR) {
        topic->feed->is_config_unreadable = true;
    }
}

/* @return the stored copy, NULL if a newer record of the key is stored, it is
 * not to be applied or memory ran out. */
static sky_feed_record_t *
store_record(sky_feed_state_t *topic, const sky_store_record_t *record)
{
    sky_feed_record_t *stored;
    HASH_FIND_STR(topic->records, record->key, stored);
    if (stored != NULL && !stored->is_outdated &&
        stored->offset > record->offset) {
        return NULL;
    }
    if (stored != NULL && is_resurrected(topic, stored, record)) {
        stored->in_snapshot = true;
        return NULL;
    }
    char *value = malloc(record->value_bytes + 1);
    if (value == NULL) {
        lose_record(topic);
        return NULL;
    }
    memcpy(value, record->value, record->value_bytes);
    value[record->value_bytes] = '\0';
    if (stored == NULL) {
        stored = calloc(1, sizeof *stored);
        if (stored == NULL) {
            free(value);
            lose_record(topic);
            return NULL;
        }
        stored->key = strdup(record->key);
        HASH_ADD_KEYPTR(hh, topic->records, stored->key, strlen(stored->key),
                        stored);
    }
    free(stored->value);
    SkyEncodedValue_Clear(&stored->encoded);
    stored->value = value;
    stored->value_bytes = record->value_bytes;
    stored->is_tombstone = record->is_tombstone;
    stored->offset = record->offset;
    stored->in_snapshot = true;
    stored->is_outdated = false;
    return stored;
}

void
SkyFeedState_ApplyRecord(sky_feed_state_t *topic,
                         const sky_store_record_t *record)
{
    const sky_feed_record_t *stored = store_record(topic, record);
    if (stored == NULL) {
        return;
    }
    switch (topic->id) {
    case SKY_FEED_OPERATOR:
        apply_operator_record(topic->feed, stored);
        break;
    case SKY_FEED_TARGETS:
        apply_target_record(topic, stored);
        break;
    case SKY_FEED_CRASHES:
        apply_crash_record(topic->feed, stored);
        break;
    case SKY_FEED_TOPIC_COUNT:
        break;
    }
}

void
SkyFeedState_DeleteMissingKeys(sky_feed_state_t *topic, uint64_t end_offset)
{
    sky_feed_record_t *record;
    for (record = topic->records; record != NULL; record = record->hh.next) {
        bool is_newer = !record->is_outdated && record->offset >= end_offset;
        if (record->is_outdated) {
            record->is_outdated = false;
            record->offset = 0;
        }
        if (record->in_snapshot || record->is_tombstone || is_newer) {
            continue;
        }
        record->is_tombstone = true;
        record->offset = end_offset > 0 ? end_offset - 1 : 0;
        if (topic->id == SKY_FEED_TARGETS) {
            apply_target_record(topic, record);
        }
    }
}

void
SkyFeedState_ClearSnapshotMarks(sky_feed_state_t *topic)
{
    sky_feed_record_t *record;
    for (record = topic->records; record != NULL; record = record->hh.next) {
        record->in_snapshot = false;
    }
}
