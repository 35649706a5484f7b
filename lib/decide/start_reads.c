#include "decide/start_reads.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Groups of up to so many hosts read the store themselves. */
#define SMALL_GROUP_HOSTS 16
/** Owners of so many further shards read in each round, as long as nobody
 *  else has read: those of the round before may be lost or suspended, or be
 *  members that were killed and whose time is not over. */
#define SHARDS_PER_ROUND 3
/** A read, a read of the owners and the first call to another host take about
 *  200 ms. */
#define ROUND_MS 400
/** A host that nobody has reached by then reads the store itself, and others
 *  within the time after it: together fewer reads than the store takes. */
#define LAST_RESORT_MS 2500
#define LAST_RESORT_SPREAD_MS 1000
/** Hosts that poll the same host for their first records: 3 x 100 kB take
 *  240 ms on a link of 10 Mbit/s, less than the time limit of a poll. */
#define TREE_FANOUT 3
/** Further joins that make the next one wait one minimum longer. */
#define GENERATIONS_PER_DELAY 4
/** A host that sees no more joins than this between its first two starts
 * alone. In 30 ms, hosts that start one after the other, 25 ms apart, saw no
 * more either. */
#define LONE_GENERATIONS 2
#define LONE_WINDOW_MS 150
/** Polls in vain until other hosts are taken. */
#define SOURCES_KEPT_POLLS 6
/** A prime above all numbers of shards: products with it differ by them. */
#define RANK_FACTOR UINT64_C(2654435761)
/** Interval of the joins of a host that tells others, while some come. */
#define TELLER_JOIN_MS 150
/** Responses with all records in one interval: 3, and one for each 10 Mbit/s
 *  of the link. */
#define WHOLE_INTERVAL_MS 250
#define WHOLE_PER_INTERVAL 3
#define MBPS_PER_FURTHER_WHOLE 10

sky_start_reads_t
SkyStartReads_Make(const sky_start_options_t *options)
{
    return (sky_start_reads_t){
        .started_ms = options->now_ms,
        .spread_ms = (uint32_t)(options->host_hash % LAST_RESORT_SPREAD_MS),
        .is_seed = options->is_seed,
        .rank = UINT32_MAX};
}

uint32_t
SkyStartReads_GetShardRank(uint32_t shard, uint32_t shard_count)
{
    return (uint32_t)(shard * RANK_FACTOR % shard_count);
}

void
SkyStartReads_RecordJoin(sky_start_reads_t *start,
                         const sky_start_join_t *join)
{
    /* While the store is down nobody can be elected, so the rounds begin at
     * the first join. Otherwise all hosts read when it comes back. */
    if (join->number == 1 && start->served_ms == 0 &&
        join->now_ms > start->started_ms) {
        start->started_ms = join->now_ms;
    }
    start->rank = join->rank;
    start->reads_alone =
        join->owned_count > 0 &&
        join->owned_count * SMALL_GROUP_HOSTS >= join->shard_count;
    /* Later joins see few others come, also after many started at once. */
    if (join->number == 2) {
        start->starts_alone = join->passed <= LONE_GENERATIONS;
    }
}

void
SkyStartReads_RecordRole(sky_start_reads_t *start, bool is_store_reader)
{
    start->is_store_reader = is_store_reader;
}

void
SkyStartReads_RecordServed(sky_start_reads_t *start, uint64_t now_ms)
{
    if (start->served_ms == 0) {
        start->served_ms = now_ms;
    }
}

bool
SkyStartReads_IsOver(const sky_start_reads_t *start, uint64_t now_ms)
{
    return now_ms >= start->started_ms + LAST_RESORT_MS + start->spread_ms;
}

/* Whether this host owns one of the shards whose owners read by now, or read
 * by the time at which it had its first records. */
static bool
is_elected(const sky_start_reads_t *start, uint64_t now_ms)
{
    uint64_t until_ms = start->served_ms > 0 ? start->served_ms : now_ms;
    uint64_t rounds = (until_ms - start->started_ms) / ROUND_MS + 1;
    return start->rank < rounds * SHARDS_PER_ROUND;
}

bool
SkyStartReads_MayRead(const sky_start_reads_t *start, uint64_t now_ms)
{
    return start->is_seed || start->is_store_reader || start->reads_alone ||
           start->starts_alone || is_elected(start, now_ms) ||
           SkyStartReads_IsOver(start, now_ms);
}

bool
SkyStartReads_TellsOthers(const sky_start_reads_t *start, uint64_t now_ms)
{
    return start->is_store_reader ||
           (is_elected(start, now_ms) && !SkyStartReads_IsOver(start, now_ms));
}

static int
compare_members(const void *one, const void *other)
{
    const sky_fanout_host_t *a = one;
    const sky_fanout_host_t *b = other;
    if (a->link_mbps != b->link_mbps) {
        return a->link_mbps > b->link_mbps ? -1 : 1;
    }
    uint64_t hash_a = XXH3_64bits(a->address, strlen(a->address));
    uint64_t hash_b = XXH3_64bits(b->address, strlen(b->address));
    return hash_a < hash_b ? -1 : hash_a > hash_b;
}

void
SkyStartReads_OrderMembers(sky_fanout_host_t *members, uint32_t count,
                           const char *root)
{
    if (count == 0) {
        return;
    }
    for (uint32_t i = 1; i < count; i++) {
        if (strcmp(members[i].address, root) == 0) {
            sky_fanout_host_t first = members[0];
            members[0] = members[i];
            members[i] = first;
        }
    }
    qsort(members + 1, count - 1, sizeof *members, compare_members);
}

uint32_t
SkyStartReads_ListSources(const sky_fanout_host_t *members, uint32_t index,
                          const char **sources)
{
    uint32_t parent = (index - 1) / TREE_FANOUT;
    uint32_t count = 0;
    sources[count++] = members[parent].address;
    if (parent > 0) {
        sources[count++] = members[(parent - 1) / TREE_FANOUT].address;
    }
    /* A neighbour of the parent, whose own ancestors may be others. */
    if (parent > 1) {
        sources[count++] = members[parent - 1].address;
    }
    return count;
}

bool
SkyStartReads_SetSources(sky_start_reads_t *start, const char *const *sources,
                         uint32_t count, uint32_t turn)
{
    if (start->source_count > 0 && turn < SOURCES_KEPT_POLLS) {
        return false;
    }
    start->source_count = 0;
    for (uint32_t i = 0;
         i < count && start->source_count < SKY_START_SOURCES_MAX; i++) {
        size_t length = strlen(sources[i]);
        if (length > 0 && length < SKY_START_ADDRESS_BYTES) {
            memcpy(start->sources[start->source_count++], sources[i],
                   length + 1);
        }
    }
    return start->source_count > 0;
}

const char *
SkyStartReads_ChooseSource(const sky_start_reads_t *start, uint32_t turn)
{
    if (start->source_count == 0) {
        return NULL;
    }
    if (turn % 2 == 0 || start->source_count == 1) {
        return start->sources[0];
    }
    return start->sources[1 + turn / 2 % (start->source_count - 1)];
}

uint32_t
SkyStartReads_GetJoinDelayMs(bool tells_others, uint64_t passed,
                             uint32_t min_ms, uint32_t max_ms)
{
    uint64_t delay_ms = min_ms * (1 + passed / GENERATIONS_PER_DELAY);
    if (tells_others && delay_ms > TELLER_JOIN_MS) {
        delay_ms = TELLER_JOIN_MS;
    }
    return delay_ms < max_ms ? (uint32_t)delay_ms : max_ms;
}

uint32_t
SkyStartReads_GetSecondJoinDelayMs(const sky_start_reads_t *start,
                                   uint32_t min_ms)
{
    return start->reads_alone || start->served_ms > 0 ||
                   min_ms > LONE_WINDOW_MS
               ? min_ms
               : LONE_WINDOW_MS;
}

bool
SkyStartReads_TakeWholeResponse(sky_start_reads_t *start, uint32_t link_mbps,
                                uint64_t now_ms)
{
    if (now_ms >= start->whole_since_ms + WHOLE_INTERVAL_MS) {
        start->whole_since_ms = now_ms;
        start->whole_count = 0;
    }
    if (start->whole_count >=
        WHOLE_PER_INTERVAL + link_mbps / MBPS_PER_FURTHER_WHOLE) {
        return false;
    }
    start->whole_count++;
    return true;
}
