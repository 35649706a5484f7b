#include <stdlib.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/feed_internal.h"

/* Values of "regained_age_ms" in the updates of peers. */
#define REGAINED_NEVER ((json_int_t)-1) /**< the store was never lost */
#define REGAINED_NOT_TOLD ((json_int_t)-2)
/** Age of the proof that the records were the newest. */
static const char PROOF_AGE_KEY[] = "proof_age_ms";

/* Encodes a record for a peer. The text is kept for other peers. */
static json_t *
encode_row(sky_feed_record_t *record, bool reads_deflated)
{
    sky_encoded_value_t plain = {0};
    const sky_encoded_value_t *encoded = &record->encoded;
    if (!reads_deflated && record->value_bytes > 0) {
        SkyEncodedValue_Make(record->value, record->value_bytes, false,
                             &plain);
        encoded = &plain;
    }
    else if (record->encoded.text == NULL && record->value_bytes > 0) {
        SkyEncodedValue_Make(record->value, record->value_bytes, true,
                             &record->encoded);
    }
    json_t *row = json_pack("[s,s,b,I,I]", record->key,
                            encoded->text ? encoded->text : "",
                            record->is_tombstone, (json_int_t)record->offset,
                            (json_int_t)encoded->inflated_bytes);
    SkyEncodedValue_Clear(&plain);
    if (row == NULL) {
        /* Its key is no text: it names nothing that a host uses. */
        SkyLog_Write(LOG_WARNING, "record_not_relayed", "offset=%llu",
                     (unsigned long long)record->offset);
    }
    return row;
}

json_t *
SkyFeed_EncodeRecords(const sky_feed_t *feed, sky_feed_topic_t topic,
                      const sky_feed_position_t *from, bool reads_deflated)
{
    const sky_feed_state_t *state = &feed->topics[topic];
    if (!state->synced || from->era > state->era) {
        return NULL;
    }
    bool is_whole = from->era < state->era ||
                    from->next_offset < state->deletions_from_offset;
    json_t *rows = json_array();
    sky_feed_record_t *record;
    for (record = state->records; record != NULL; record = record->hh.next) {
        if (is_whole || record->offset >= from->next_offset) {
            json_array_append_new(rows, encode_row(record, reads_deflated));
        }
    }
    uint64_t regained_ms = state->freshness.store_regained_ms;
    json_int_t regained_age_ms =
        regained_ms > 0 ? (json_int_t)(SkyClock_NowMs() - regained_ms)
                        : REGAINED_NEVER;
    json_t *update = json_pack(
        "{s:I, s:I, s:I, s:I, s:b, s:o}", "era", (json_int_t)state->era,
        "next", (json_int_t)state->next_offset, "age_ms",
        (json_int_t)SkyFeedState_GetAgeMs(state), "regained_age_ms",
        regained_age_ms, "whole", is_whole, "records", rows);
    uint64_t proven_ms = state->freshness.proven_boot_ms;
    /* What this host could not apply may not have been relayed either. */
    bool is_applied =
        topic != SKY_FEED_OPERATOR || !feed->is_config_unreadable;
    if (proven_ms > 0 && is_applied) {
        json_object_set_new(
            update, PROOF_AGE_KEY,
            json_integer((json_int_t)(SkyClock_BootMs() - proven_ms)));
    }
    return update;
}

static bool
apply_peer_record(sky_feed_state_t *topic, const json_t *row)
{
    const char *key = NULL;
    const char *text = NULL;
    int is_tombstone = 0;
    json_int_t offset = 0;
    json_int_t inflated_bytes = json_integer_value(json_array_get(row, 4));
    char *value = NULL;
    size_t value_bytes = 0;
    if (json_unpack((json_t *)row, "[s,s,b,I]", &key, &text, &is_tombstone,
                    &offset) != 0 ||
        inflated_bytes < 0 || inflated_bytes > UINT32_MAX ||
        !SkyEncodedValue_Decode(text, (uint32_t)inflated_bytes, &value,
                                &value_bytes)) {
        return false;
    }
    sky_store_record_t record = {.key = key,
                                 .value = value,
                                 .value_bytes = value_bytes,
                                 .is_tombstone = is_tombstone != 0,
                                 .offset = (uint64_t)offset};
    SkyFeedState_ApplyRecord(topic, &record);
    free(value);
    return true;
}

/* What a peer says of its records besides them. Ages are those of the time at
 * which it responded. */
typedef struct {
    json_int_t era;
    json_int_t next_offset;
    json_int_t age_ms;
    json_int_t regained_age_ms;
    int is_whole;
    json_t *rows;
} peer_update_t;

static bool
parse_peer_update(const json_t *json, peer_update_t *update)
{
    *update = (peer_update_t){.regained_age_ms = REGAINED_NOT_TOLD};
    return json_unpack((json_t *)json, "{s?I, s:I, s:I, s?I, s?b, s:o}", "era",
                       &update->era, "next", &update->next_offset, "age_ms",
                       &update->age_ms, "regained_age_ms",
                       &update->regained_age_ms, "whole", &update->is_whole,
                       "records", &update->rows) == 0 &&
           update->era >= 0 && update->next_offset >= 0 &&
           update->age_ms >= 0 && json_is_array(update->rows);
}

static void
record_peer_read(sky_feed_state_t *topic, const peer_update_t *update,
                 uint64_t responded_ms)
{
    if ((uint64_t)update->age_ms >= responded_ms) {
        return; /* before this host's clock began */
    }
    sky_peer_read_t read = {
        .read_ms = responded_ms - (uint64_t)update->age_ms,
        .tells_regained = update->regained_age_ms != REGAINED_NOT_TOLD,
    };
    if (update->regained_age_ms >= 0 &&
        (uint64_t)update->regained_age_ms < responded_ms) {
        read.store_regained_ms =
            responded_ms - (uint64_t)update->regained_age_ms;
    }
    SkyFreshness_RecordPeerRead(&topic->freshness, &read, SkyClock_NowMs());
}

/* Takes over the peer's proof, now that its records are applied. */
static void
record_peer_proof(sky_feed_state_t *topic, const json_t *json,
                  uint64_t responded_boot_ms)
{
    const json_t *age = json_object_get(json, PROOF_AGE_KEY);
    json_int_t age_ms = json_integer_value(age);
    if (json_is_integer(age) && age_ms >= 0 &&
        (uint64_t)age_ms < responded_boot_ms) {
        SkyFreshness_RecordProof(&topic->freshness,
                                 responded_boot_ms - (uint64_t)age_ms);
    }
}

sky_result_t
SkyFeed_ApplyRecords(sky_feed_t *feed, sky_feed_topic_t topic,
                     const json_t *json, uint64_t responded_ms,
                     uint64_t responded_boot_ms)
{
    sky_feed_state_t *state = &feed->topics[topic];
    peer_update_t update;
    if (!parse_peer_update(json, &update)) {
        return SKY_E_BAD_REQUEST;
    }
    uint64_t next_offset = (uint64_t)update.next_offset;
    if ((uint64_t)update.era < state->era) {
        return SKY_OK;
    }
    bool is_new_era = SkyFeedState_ApplyEra(state, (uint64_t)update.era);
    if (is_new_era) {
        state->snapshot_end_offset = next_offset;
    }
    if (update.is_whole) {
        SkyFeedState_ClearSnapshotMarks(state);
    }
    uint64_t before_ms = state->freshness.read_ms;
    record_peer_read(state, &update, responded_ms);
    bool valid = true;
    size_t index;
    json_t *row;
    json_array_foreach(update.rows, index, row)
    {
        valid = apply_peer_record(state, row) && valid;
    }
    if (!valid) {
        feed->options.on_change(feed->options.context, topic);
        return SKY_E_BAD_REQUEST;
    }
    record_peer_proof(state, json, responded_boot_ms);
    SkyFeedState_PublishRead(state, before_ms, true);
    if (is_new_era || update.is_whole) {
        SkyFeedState_DeleteMissingKeys(state, next_offset);
    }
    if (is_new_era || update.is_whole || !state->synced) {
        state->deletions_from_offset = next_offset;
    }
    bool is_ahead = next_offset > state->next_offset;
    if (is_new_era || is_ahead) {
        state->next_offset = next_offset;
        state->snapshot_pending = false;
        state->synced = true;
        if (topic == SKY_FEED_TARGETS) {
            feed->options.directory->targets_known = true;
        }
    }
    if (is_new_era || is_ahead || json_array_size(update.rows) > 0) {
        feed->options.on_change(feed->options.context, topic);
    }
    return SKY_OK;
}
