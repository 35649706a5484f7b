/**
 * @file node.h
 * @brief The decision logic of one host, as a step function.
 *
 * SkyNode_Step() takes one input with the time and appends the actions that
 * follow from it. The serving program, the tests and the benchmarks run the
 * same code; the node owns no thread, socket, clock or source of randomness.
 */
#ifndef SKY_DECIDE_NODE_H
#define SKY_DECIDE_NODE_H

#include "decide/claims.h"
#include "decide/config.h"
#include "decide/entry.h"
#include "decide/members.h"
#include "decide/shard.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    sky_members_options_t members;
    sky_shard_options_t shard;
    sky_entry_options_t entry;
    sky_claims_options_t claims;
    uint64_t log_poll_us;             /**< interval between reads of the log */
    uint32_t disabled_mechanisms;     /**< sky_disable_flag_t bits; tests only;
                                         passed to the modules */
    uint32_t shard_targets;           /**< targets of one shard */
    const sky_target_info_t *targets; /**< must outlive the node */
    uint32_t target_count;
} sky_node_options_t;

typedef struct sky_node sky_node_t;

/** Sets the defaults; the targets and the host's own data stay empty. */
void SkyNode_InitOptions(sky_node_options_t *options);

sky_node_t *SkyNode_Create(const sky_node_options_t *options);
void SkyNode_Free(sky_node_t *node);

/**
 * Handles one input.
 * @param now_us monotonic time of this host; never goes back.
 * @param wall_ms Unix time in milliseconds; used only for the openings of
 *        events.
 * @param out receives the actions, in the order in which they must be
 *        performed.
 */
void SkyNode_Step(sky_node_t *node, const sky_input_t *input, uint64_t now_us,
                  uint64_t wall_ms, sky_actions_t *out);

/** @return true if the host can accept requests and is not draining. */
bool SkyNode_IsReady(const sky_node_t *node, uint64_t now_us);
/** @return true if the host owns no shard, no order is in progress and no
 *  request is open: a drained host can leave. */
bool SkyNode_IsIdle(const sky_node_t *node);
/** @return true if the log dropped records before this host read them: its
 *          state is incomplete and it must be restarted. */
bool SkyNode_HasMissedRecords(const sky_node_t *node);

const sky_members_t *SkyNode_Members(const sky_node_t *node);
const sky_config_t *SkyNode_Config(const sky_node_t *node);
const sky_claims_t *SkyNode_Claims(const sky_node_t *node);
const sky_entry_t *SkyNode_Entry(const sky_node_t *node);
const sky_shard_t *SkyNode_Shard(const sky_node_t *node, uint32_t index);
uint32_t SkyNode_ShardCount(const sky_node_t *node);

#ifdef __cplusplus
}
#endif
#endif
