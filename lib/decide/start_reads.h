/**
 * @file start_reads.h
 * @brief Decides which hosts read the store when many start at once, and from
 *        whom the others get the records.
 *
 * Load pattern: 300 hosts start within 0.3 s, also with no seed that responds.
 * Each one read all topics and the owners, and joined the group again as soon
 * as another one had joined: more than the store takes, and for 30 s none got
 * all it needed.
 *
 * The store elects the readers: a join tells a host which shards it owns, and
 * the owners of a few shards read. They pass the addresses of other hosts
 * on, as a tree, so that nobody needs a seed and no link carries the records
 * for all. Small groups read the store themselves, as they always did. The
 * decision concerns reads only: how old records may be that a host acts on is
 * decided by decide/freshness.
 *
 * The module does no I/O; times are milliseconds of the caller's clock.
 */
#ifndef SKY_DECIDE_START_READS_H
#define SKY_DECIDE_START_READS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/fanout.h"

#ifdef __cplusplus
extern "C" {
#endif

/** Hosts that send the records to this one, preferred one first. */
#define SKY_START_SOURCES_MAX 3
#define SKY_START_ADDRESS_BYTES 64

typedef struct {
    uint64_t started_ms; /**< or the first join, while it had no records */
    uint64_t served_ms;  /**< when it had its first records; 0: not yet */
    uint32_t spread_ms;  /**< delay of this host's last resort */
    bool is_seed;
    bool is_store_reader; /**< chosen among the known members */
    bool reads_alone;     /**< few others are there */
    bool starts_alone;    /**< few others start now */
    uint32_t rank;        /**< lowest of the owned shards; UINT32_MAX: none */
    char sources[SKY_START_SOURCES_MAX][SKY_START_ADDRESS_BYTES];
    uint32_t source_count;
    uint64_t whole_since_ms; /**< see SkyStartReads_TakeWholeResponse() */
    uint32_t whole_count;
} sky_start_reads_t;

typedef struct {
    uint64_t now_ms;
    uint64_t host_hash; /**< of the host's name; spreads the last resort */
    bool is_seed;       /**< the host is among its own seeds */
} sky_start_options_t;

sky_start_reads_t SkyStartReads_Make(const sky_start_options_t *options);
/** @return rank of a shard in the election; a permutation of the shards, as
 *  neighbours may all belong to members that were killed. */
uint32_t SkyStartReads_GetShardRank(uint32_t shard, uint32_t shard_count);

/** What the store responded to a join. */
typedef struct {
    uint32_t rank;        /**< lowest of its shards; UINT32_MAX: none */
    uint32_t owned_count; /**< of its shards */
    uint32_t shard_count; /**< of all */
    uint32_t number;      /**< of this host's joins, from 1 */
    uint64_t passed; /**< generations of the group since the join before */
    uint64_t now_ms;
} sky_start_join_t;

void SkyStartReads_RecordJoin(sky_start_reads_t *start,
                              const sky_start_join_t *join);
/** Records whether this host is one of those that read the store for all, by
 *  the members that it knows. */
void SkyStartReads_RecordRole(sky_start_reads_t *start, bool is_store_reader);

/** Records that this host has its first records; only the first call counts.
 */
void SkyStartReads_RecordServed(sky_start_reads_t *start, uint64_t now_ms);

/** @return whether the start is over for all hosts, so that any may read. */
bool SkyStartReads_IsOver(const sky_start_reads_t *start, uint64_t now_ms);
/** @return whether this host reads the store now. */
bool SkyStartReads_MayRead(const sky_start_reads_t *start, uint64_t now_ms);
/** @return whether this host tells others whom to poll once it has read the
 *  store. */
bool SkyStartReads_TellsOthers(const sky_start_reads_t *start,
                               uint64_t now_ms);

/** Chooses whom a member polls for its first records.
 *  @param members all known ones; their order is changed: those with the
 *         fastest links first, so that they are near the root
 *  @param root address of the host that has read the store */
void SkyStartReads_OrderMembers(sky_fanout_host_t *members, uint32_t count,
                                const char *root);
/** @param index of the member in the order, above 0: the root polls nobody
 *  @param sources set to addresses of @p members, preferred one first
 *  @return their number */
uint32_t SkyStartReads_ListSources(const sky_fanout_host_t *members,
                                   uint32_t index, const char **sources);
/** Records whom another host named; addresses that are too long are left out.
 *  @param turn polls so far that were of no use
 *  @return false if hosts named before are kept: a poll of them may be about
 *          to end, and all that was sent would be lost */
bool SkyStartReads_SetSources(sky_start_reads_t *start,
                              const char *const *sources, uint32_t count,
                              uint32_t turn);
/** @param turn selects among them: the first one gets every other turn
 *  @return address to poll; NULL if nobody named one */
const char *SkyStartReads_ChooseSource(const sky_start_reads_t *start,
                                       uint32_t turn);

/** Takes one of the few responses with all records that a host sends in a
 *  while. More at once would each take longer than a poll waits.
 *  @param link_mbps of this host; 0: unknown
 *  @return false if there is none left: the poller is to ask again */
bool SkyStartReads_TakeWholeResponse(sky_start_reads_t *start,
                                     uint32_t link_mbps, uint64_t now_ms);

/** @param tells_others see SkyStartReads_TellsOthers(): it has to know new
 *         members soon
 *  @param passed generations of the group between two joins of this host
 *  @return time after which a host joins again that saw other members come
 *  @param min_ms if few came; @p max_ms is the usual interval */
uint32_t SkyStartReads_GetJoinDelayMs(bool tells_others, uint64_t passed,
                                      uint32_t min_ms, uint32_t max_ms);
/** @return time after which a host joins again after its first join; long
 *          enough to tell whether it starts alone. */
uint32_t SkyStartReads_GetSecondJoinDelayMs(const sky_start_reads_t *start,
                                            uint32_t min_ms);

#ifdef __cplusplus
}
#endif
#endif
