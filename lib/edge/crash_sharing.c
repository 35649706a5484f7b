#include "edge/crash_sharing.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "edge/part_sharing.h"

#define CALL_PATH "/crashes"
#define TICK_INTERVAL_S 0.1
#define CALL_TIMEOUT_MS 400
/** Peers asked at a start: one of them may have started just now itself. */
#define PEERS_ASKED 3
/** All of eight hosts have had their turn long before bytes of a target count
 *  no more. */
#define PROBE_RANK_DELAY_MS 40
#define ASK_RETRY_DELAY_MS 150
/** Between two comparisons with the store; a record that was appended has been
 *  read back by then. */
#define STORE_CHECK_INTERVAL_MS 500
#define APPENDED_RECORDS_MAX 256
/** The clocks of hosts differ by less. A record is deleted only when no host
 *  counts it any more. */
#define DELETE_MARGIN_MS 60000

struct sky_crash_sharing {
    sky_crash_sharing_options_t options;
    ev_timer tick;
    json_t *suspicions; /**< found by the current tick, to be sent */
    json_t *heard_runs; /**< that others suspect; the same */
    json_t *acquitted;  /**< crashes that others count; the same */
    sky_part_sharing_t *part_sharing;
    sky_host_call_t *ask; /**< call to a peer for all it knows; or NULL */
    uint32_t asks_left;
    uint32_t ask_turn; /**< selects the peer */
    uint64_t next_ask_ms;
    bool append_pending;
    uint64_t next_store_check_ms;
};

/** Records to be appended to the store. */
typedef struct {
    sky_crash_sharing_t *sharing;
    sky_store_record_t records[APPENDED_RECORDS_MAX];
    char keys[APPENDED_RECORDS_MAX][SKY_CRASH_KEY_BYTES];
    char values[APPENDED_RECORDS_MAX][SKY_PART_VALUE_BYTES];
    size_t count;
} batch_t;

/* Returns the listed target, NULL if there is none. */
static sky_fleet_target_t *
find_target(const sky_crash_sharing_t *sharing, uint32_t target)
{
    sky_fleet_target_t *known =
        SkyFleet_GetFirstTarget(sharing->options.directory->fleet);
    while (known != NULL &&
           (!known->listed || (uint32_t)known->hash != target)) {
        known = known->next;
    }
    return known;
}

/* The hosts probe a target in turn, in an order that is the same on all hosts
 * and another one for each target. */
static uint32_t
get_probe_delay_ms(const sky_crash_sharing_t *sharing,
                   const sky_fleet_target_t *target)
{
    const sky_crash_sharing_options_t *options = &sharing->options;
    const char *own_address = options->settings->control;
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t count = SkyOwnership_ListMembers(options->ownership, members,
                                              SKY_GROUP_MEMBERS_MAX);
    uint64_t own_weight =
        XXH3_64bits_withSeed(own_address, strlen(own_address), target->hash);
    uint32_t rank = 0;
    for (uint32_t i = 0; i < count; i++) {
        const char *address = members[i].address;
        rank += XXH3_64bits_withSeed(address, strlen(address), target->hash) >
                own_weight;
    }
    return rank * PROBE_RANK_DELAY_MS;
}

static sky_crash_target_state_t
get_target_state(void *context, uint32_t target)
{
    const sky_crash_sharing_t *sharing = context;
    const sky_fleet_target_t *known = find_target(sharing, target);
    if (known == NULL) {
        return (sky_crash_target_state_t){.epoch = 0};
    }
    return (sky_crash_target_state_t){
        .is_listed = true,
        .is_leaving = known->entry.state == SKY_TARGET_LEAVING,
        .epoch = known->entry.started_unix_ms,
        .last_byte_ms = known->last_byte_ms,
        .heard_by_others_ms = known->heard_by_others_ms,
        .can_probe = !SkyReachability_IsDoubted(
            sharing->options.directory->reachability, known->entry.service,
            SkyClock_NowMs()),
        .probe_delay_ms = get_probe_delay_ms(sharing, known),
    };
}

static json_t *
encode_crash(const sky_rec_crash_t *crash, bool is_confirmed)
{
    return json_pack("[I,I,I,b]", (json_int_t)crash->fingerprint,
                     (json_int_t)crash->target, (json_int_t)crash->epoch,
                     is_confirmed);
}

static json_t *
encode_acquitted_crash(const sky_rec_crash_t *crash)
{
    return json_pack("[I,I,I]", (json_int_t)crash->fingerprint,
                     (json_int_t)crash->target, (json_int_t)crash->epoch);
}

static json_t *
encode_heard_run(const sky_crash_sharing_t *sharing,
                 const sky_rec_crash_t *crash)
{
    const sky_fleet_target_t *target = find_target(sharing, crash->target);
    return json_pack("[s,I,I]", target->entry.id, (json_int_t)crash->epoch,
                     (json_int_t)(SkyClock_NowMs() - target->last_byte_ms));
}

static void
on_crash_event(void *context, sky_crash_event_t event,
               const sky_rec_crash_t *crash)
{
    static const char *const NAMES[] = {"suspected", "cleared",   "confirmed",
                                        "unheard",   "run_heard", "acquitted"};
    sky_crash_sharing_t *sharing = context;
    SkyLog_Write(
        event == SKY_CRASH_CLEARED ? LOG_INFO : LOG_NOTICE, "crash",
        "state=%s fingerprint=%016" PRIx64 " target=%08x born=%" PRIu64,
        NAMES[event], crash->fingerprint, crash->target, crash->epoch);
    sky_target_run_t run = {crash->target, crash->epoch};
    switch (event) {
    case SKY_CRASH_SUSPECTED:
        json_array_append_new(sharing->suspicions, encode_crash(crash, false));
        break;
    case SKY_CRASH_CLEARED:
        SkyPartWatch_ClearRun(sharing->options.directory->parts, &run);
        break;
    case SKY_CRASH_UNHEARD:
        SkyReachSharing_ProbeTarget(sharing->options.reach_sharing,
                                    find_target(sharing, crash->target));
        break;
    case SKY_CRASH_RUN_HEARD:
        json_array_append_new(sharing->heard_runs,
                              encode_heard_run(sharing, crash));
        break;
    case SKY_CRASH_ACQUITTED:
        json_array_append_new(sharing->acquitted,
                              encode_acquitted_crash(crash));
        break;
    case SKY_CRASH_CONFIRMED:
        break;
    }
}

static void
on_quarantine(void *context, const sky_quarantine_change_t *change)
{
    (void)context;
    const sky_rec_crash_t *crash = &change->crash;
    SkyLog_WriteClass(SKY_LOG_EVIDENCE, LOG_NOTICE, "quarantine",
                      "state=%s fingerprint=%016" PRIx64
                      " crashes=%u target=%08x born=%" PRIu64,
                      change->has_begun ? "begun" : "ended",
                      crash->fingerprint, change->crash_count, crash->target,
                      crash->epoch);
}

/* Chosen like the tester of a blamed prompt part. */
static bool
is_tester(void *context, uint64_t fingerprint, uint64_t turn)
{
    const sky_crash_sharing_t *sharing = context;
    return SkyOwnership_IsChosen(sharing->options.ownership,
                                 sharing->options.settings->control,
                                 fingerprint + turn);
}

static void
on_told(void *context, const json_t *body)
{
    (void)context;
    (void)body; /* a host that missed it reads it from the store */
}

/* Tells all hosts what this one found since the last call. */
static void
send_news(sky_crash_sharing_t *sharing)
{
    json_t *part_news = SkyPartSharing_TakeNews(sharing->part_sharing);
    if (json_array_size(sharing->suspicions) == 0 &&
        json_array_size(sharing->heard_runs) == 0 &&
        json_array_size(sharing->acquitted) == 0 && part_news == NULL) {
        return;
    }
    const sky_crash_sharing_options_t *options = &sharing->options;
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t count = SkyOwnership_ListHosts(options->ownership, members,
                                            SKY_GROUP_MEMBERS_MAX);
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(members[i].address, options->settings->control) != 0) {
            SkyHostCalls_SendCall(
                options->host_calls, members[i].address, CALL_PATH,
                json_pack("{s:O, s:O, s:O, s:O*}", "crashes",
                          sharing->suspicions, "heard", sharing->heard_runs,
                          "acquitted", sharing->acquitted, "parts", part_news),
                CALL_TIMEOUT_MS, on_told, sharing);
        }
    }
    json_array_clear(sharing->suspicions);
    json_array_clear(sharing->heard_runs);
    json_array_clear(sharing->acquitted);
    json_decref(part_news);
}

static void
apply_acquittals(sky_crash_watch_t *crashes, const json_t *rows,
                 uint64_t now_ms)
{
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        json_int_t fingerprint;
        json_int_t target;
        json_int_t epoch;
        if (json_unpack(row, "[I,I,I]", &fingerprint, &target, &epoch) != 0) {
            SkyLog_Write(LOG_WARNING, "acquittal_ignored", "row=%zu", index);
            continue;
        }
        sky_rec_crash_t crash = {(uint64_t)fingerprint, (uint64_t)epoch,
                                 (uint32_t)target};
        SkyCrashWatch_ApplyAcquittal(crashes, &crash, now_ms);
    }
}

static void
apply_crashes(const sky_crash_sharing_t *sharing, const json_t *body)
{
    sky_crash_watch_t *crashes = sharing->options.directory->crashes;
    uint64_t now_ms = SkyClock_NowMs();
    size_t index;
    json_t *row;
    /* First, so that no crash of which the message acquits counts. */
    apply_acquittals(crashes, json_object_get(body, "acquitted"), now_ms);
    json_array_foreach(json_object_get(body, "crashes"), index, row)
    {
        json_int_t fingerprint;
        json_int_t target;
        json_int_t epoch;
        int is_confirmed;
        if (json_unpack(row, "[I,I,I,b]", &fingerprint, &target, &epoch,
                        &is_confirmed) != 0) {
            SkyLog_Write(LOG_WARNING, "crash_ignored", "row=%zu", index);
            continue;
        }
        sky_rec_crash_t crash = {(uint64_t)fingerprint, (uint64_t)epoch,
                                 (uint32_t)target};
        if (is_confirmed) {
            SkyCrashWatch_RecordCrash(crashes, &crash, now_ms, now_ms);
        }
        else if (!SkyCrashWatch_RecordSharedSuspicion(crashes, &crash,
                                                      now_ms)) {
            SkyLog_Write(LOG_WARNING, "crash_ignored", "reason=full");
        }
    }
    SkyReachSharing_ApplyHeardRuns(sharing->options.reach_sharing,
                                   json_object_get(body, "heard"));
    SkyPartSharing_Apply(sharing->part_sharing,
                         json_object_get(body, "parts"));
}

static void
add_row(const sky_rec_crash_t *crash, bool is_confirmed, void *context)
{
    json_array_append_new(context, encode_crash(crash, is_confirmed));
}

static void
add_acquitted_row(const sky_rec_crash_t *crash, void *context)
{
    json_array_append_new(context, encode_acquitted_crash(crash));
}

static void
on_call(void *context, sky_server_request_t *server_request,
        const json_t *body)
{
    const sky_crash_sharing_t *sharing = context;
    json_t *rows = json_array();
    json_t *acquitted = json_array();
    json_t *parts = NULL;
    apply_crashes(sharing, body);
    if (json_is_true(json_object_get(body, "send_all"))) {
        SkyCrashWatch_ForEach(sharing->options.directory->crashes, add_row,
                              rows);
        SkyCrashWatch_ForEachAcquitted(sharing->options.directory->crashes,
                                       add_acquitted_row, acquitted);
        parts = SkyPartSharing_EncodeAll(sharing->part_sharing);
    }
    SkyHostCalls_Respond(server_request,
                         json_pack("{s:o, s:o, s:o*}", "crashes", rows,
                                   "acquitted", acquitted, "parts", parts));
}

static void
on_peer_crashes(void *context, const json_t *body)
{
    sky_crash_sharing_t *sharing = context;
    sharing->ask = NULL;
    sharing->ask_turn++;
    if (body == NULL) {
        sharing->next_ask_ms = SkyClock_NowMs() + ASK_RETRY_DELAY_MS;
        return;
    }
    sharing->asks_left--;
    apply_crashes(sharing, body);
}

static void
ask_peer(sky_crash_sharing_t *sharing, uint64_t now_ms)
{
    const char *address = SkyOwnership_ChoosePeerAddress(
        sharing->options.ownership, sharing->ask_turn);
    if (sharing->asks_left == 0 || sharing->ask != NULL ||
        now_ms < sharing->next_ask_ms || address == NULL) {
        return;
    }
    sharing->ask = SkyHostCalls_SendCall(
        sharing->options.host_calls, address, CALL_PATH,
        json_pack("{s:[], s:b}", "crashes", "send_all", true), CALL_TIMEOUT_MS,
        on_peer_crashes, sharing);
}

static void
add_record(batch_t *batch, const char *key, const char *value)
{
    if (batch->count == APPENDED_RECORDS_MAX) {
        return; /* is found again by the next comparison */
    }
    char *key_copy = batch->keys[batch->count];
    char *value_copy = batch->values[batch->count];
    snprintf(key_copy, sizeof batch->keys[0], "%s", key);
    snprintf(value_copy, sizeof batch->values[0], "%s", value);
    batch->records[batch->count++] =
        (sky_store_record_t){.key = key_copy,
                             .value = value_copy,
                             .value_bytes = strlen(value_copy),
                             .is_tombstone = value[0] == '\0'};
}

static void
add_missing_crash(const sky_rec_crash_t *crash, bool is_confirmed,
                  void *context)
{
    batch_t *batch = context;
    char key[SKY_CRASH_KEY_BYTES];
    char text[SKY_CRASH_VALUE_BYTES];
    SkyCrash_FormatKey(crash, key);
    if (is_confirmed && SkyFeed_FindValue(batch->sharing->options.feed,
                                          SKY_FEED_CRASHES, key) == NULL) {
        sky_crash_value_t value = {.confirmed_wall_ms = SkyClock_WallMs()};
        SkyCrash_FormatValue(&value, text);
        add_record(batch, key, text);
    }
}

/* Marks the record of an acquitted crash. Hosts of earlier builds keep it as
 * it is, and would write it again if it were deleted. */
static void
add_missing_acquittal(const sky_rec_crash_t *crash, void *context)
{
    batch_t *batch = context;
    char key[SKY_CRASH_KEY_BYTES];
    char text[SKY_CRASH_VALUE_BYTES];
    SkyCrash_FormatKey(crash, key);
    const char *stored =
        SkyFeed_FindValue(batch->sharing->options.feed, SKY_FEED_CRASHES, key);
    if (stored == NULL || stored[0] == '\0') {
        return;
    }
    sky_crash_value_t value = SkyCrash_ParseValue(stored);
    if (!value.is_acquitted) {
        value.is_acquitted = true;
        SkyCrash_FormatValue(&value, text);
        add_record(batch, key, text);
    }
}

static void
add_missing_blame(const sky_part_blame_t *blame, void *context)
{
    batch_t *batch = context;
    char key[SKY_PART_KEY_BYTES];
    char value[SKY_PART_VALUE_BYTES];
    SkyPart_FormatKey(blame->part, key);
    const char *stored =
        SkyFeed_FindValue(batch->sharing->options.feed, SKY_FEED_CRASHES, key);
    if (stored == NULL || !SkyPartSharing_IsRecorded(blame, stored)) {
        SkyPartSharing_FormatValue(blame, value);
        add_record(batch, key, value);
    }
}

static void
add_expired_record(void *context, const char *key, const char *value)
{
    batch_t *batch = context;
    const sky_directory_t *directory = batch->sharing->options.directory;
    sky_rec_crash_t crash;
    uint64_t part;
    uint64_t confirmed_wall_ms = SkyCrash_ParseValue(value).confirmed_wall_ms;
    bool is_expired = SkyClock_WallMs() > confirmed_wall_ms +
                                              SKY_CRASH_RETENTION_MS +
                                              DELETE_MARGIN_MS;
    if (SkyVersionHistory_IsKey(key)) {
        return;
    }
    if (SkyPart_ParseKey(key, &part)) {
        /* Each host has applied the record: what it does not blame now has
         * been acquitted since, or has expired. */
        is_expired = SkyPartWatch_FindBlame(directory->parts, part) == NULL;
    }
    else if (SkyCrash_ParseKey(key, &crash)) {
        is_expired =
            is_expired && !SkyCrashWatch_IsCrash(directory->crashes, &crash);
    }
    if (is_expired) {
        add_record(batch, key, "");
    }
}

static void
on_appended(void *context, const sky_store_response_t *response)
{
    sky_crash_sharing_t *sharing = context;
    sharing->append_pending = false;
    if (response->outcome != SKY_STORE_DONE) {
        SkyLog_Write(LOG_WARNING, "crashes_not_stored", "reason=%s",
                     SkyStore_OutcomeName(response->outcome));
    }
}

/* Makes the store hold the confirmed crashes and the blamed parts, and no
 * others. */
static void
update_store(sky_crash_sharing_t *sharing, uint64_t now_ms)
{
    const sky_crash_sharing_options_t *options = &sharing->options;
    if (now_ms < sharing->next_store_check_ms || sharing->append_pending ||
        !SkyFeed_IsStoreReader(options->feed) ||
        !SkyFeed_IsSynced(options->feed, SKY_FEED_CRASHES)) {
        return;
    }
    sharing->next_store_check_ms = now_ms + STORE_CHECK_INTERVAL_MS;
    batch_t batch;
    batch.sharing = sharing;
    batch.count = 0;
    SkyCrashWatch_ForEach(options->directory->crashes, add_missing_crash,
                          &batch);
    SkyCrashWatch_ForEachAcquitted(options->directory->crashes,
                                   add_missing_acquittal, &batch);
    SkyPartWatch_ForEachBlame(options->directory->parts, add_missing_blame,
                              &batch);
    SkyFeed_ForEachRecord(options->feed, SKY_FEED_CRASHES, add_expired_record,
                          &batch);
    if (batch.count > 0) {
        sharing->append_pending = true;
        SkyStore_AppendRecords(options->store, SKY_TOPIC_CRASHES,
                               batch.records, batch.count, on_appended,
                               sharing);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_crash_sharing_t *sharing = watcher->data;
    uint64_t now_ms = SkyClock_NowMs();
    SkyCrashWatch_Tick(sharing->options.directory->crashes, now_ms);
    SkyPartWatch_Tick(sharing->options.directory->parts, now_ms);
    send_news(sharing);
    ask_peer(sharing, now_ms);
    update_store(sharing, now_ms);
}

void
SkyCrashSharing_HandleSuspension(sky_crash_sharing_t *sharing)
{
    sharing->asks_left = PEERS_ASKED;
}

sky_result_t
SkyCrashSharing_Create(const sky_crash_sharing_options_t *options,
                       sky_crash_sharing_t **sharing)
{
    sky_crash_sharing_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->asks_left = PEERS_ASKED;
    self->suspicions = json_array();
    self->heard_runs = json_array();
    self->acquitted = json_array();
    sky_crash_watch_options_t watch_options = {
        .retention_ms = SKY_CRASH_RETENTION_MS,
        .get_target_state = get_target_state,
        .on_event = on_crash_event,
        .on_quarantine = on_quarantine,
        .is_tester = is_tester,
        .context = self,
    };
    sky_part_sharing_options_t part_options = {
        .settings = options->settings,
        .directory = options->directory,
        .ownership = options->ownership,
    };
    if (self->suspicions == NULL || self->heard_runs == NULL ||
        self->acquitted == NULL ||
        SkyResult_IsError(SkyCrashWatch_Create(
            &watch_options, &options->directory->crashes)) ||
        SkyResult_IsError(
            SkyPartSharing_Create(&part_options, &self->part_sharing))) {
        SkyCrashWatch_Free(options->directory->crashes);
        options->directory->crashes = NULL;
        json_decref(self->suspicions);
        json_decref(self->heard_runs);
        json_decref(self->acquitted);
        free(self);
        return SKY_E_MEMORY;
    }
    ev_timer_init(&self->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
    self->tick.data = self;
    ev_timer_start(options->loop, &self->tick);
    SkyHostCalls_RegisterHandler(options->host_calls, CALL_PATH, on_call, NULL,
                                 self);
    *sharing = self;
    return SKY_OK;
}

void
SkyCrashSharing_Free(sky_crash_sharing_t *sharing)
{
    if (sharing == NULL) {
        return;
    }
    ev_timer_stop(sharing->options.loop, &sharing->tick);
    if (sharing->ask != NULL) {
        SkyHostCalls_CancelCall(sharing->ask);
    }
    SkyPartSharing_Free(sharing->part_sharing);
    SkyCrashWatch_Free(sharing->options.directory->crashes);
    sharing->options.directory->crashes = NULL;
    json_decref(sharing->suspicions);
    json_decref(sharing->heard_runs);
    json_decref(sharing->acquitted);
    free(sharing);
}
