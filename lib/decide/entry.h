/**
 * @file entry.h
 * @brief A request's way at the host it came in by.
 *
 * claim (if not idempotent) -> acquire a permit -> dispatch -> return the
 * permit -> answer. Every request ends in exactly one of: a dispatch whose
 * outcome the traffic thread relays, or a final answer.
 */
#ifndef SKY_DECIDE_ENTRY_H
#define SKY_DECIDE_ENTRY_H

#include "decide/claims.h"
#include "decide/doubts.h"
#include "decide/members.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint32_t off; /**< sky_off_t, for proofs only */
    uint32_t claim_writers_max;
    uint64_t key_life_us;         /**< an older idempotency key is refused */
    uint64_t claim_timeout_us;    /**< for how long a claim may take */
    uint64_t acquire_interval_us; /**< between two ACQUIRE of a request */
    uint64_t permit_life_us;      /**< life of a permit after its grant */
    uint32_t attempts_max;        /**< dispatches of one idempotent request */
    double retry_tokens_per_request; /**< retries allowed for each request */
    double retry_tokens_max;         /**< retries allowed at once */
} sky_entry_options_t;

typedef struct {
    uint64_t requests;
    uint64_t dispatches;
    uint64_t answered;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t retries;
    uint64_t stale_grants;
} sky_entry_stats_t;

typedef struct sky_entry sky_entry_t;

/** @param targets all targets of the deployment; they outlive the entry. */
sky_entry_t *SkyEntry_Create(const sky_entry_options_t *options,
                             const sky_target_info_t *targets,
                             uint32_t target_count, uint32_t shard_targets,
                             sky_members_t *members, sky_doubts_t *doubts);
void SkyEntry_Free(sky_entry_t *entry);

void SkyEntry_Request(sky_entry_t *entry, const sky_in_request_t *request,
                      uint64_t now_us, sky_actions_t *out);
void SkyEntry_Outcome(sky_entry_t *entry, const sky_in_outcome_t *outcome,
                      uint64_t now_us, sky_actions_t *out);
/** The caller went away before a dispatch. */
void SkyEntry_Cancel(sky_entry_t *entry, sky_request_id_t request,
                     sky_actions_t *out);
/** GRANT, REFUSE, COLLECT and CLAIM_ANSWER. */
void SkyEntry_Message(sky_entry_t *entry, const sky_in_message_t *in,
                      uint64_t now_us, sky_actions_t *out);
/** Asks the new owners at once. */
void SkyEntry_ViewChanged(sky_entry_t *entry, uint64_t now_us,
                          sky_actions_t *out);
/** A claim of this host was read back from the log. */
void SkyEntry_ClaimSeen(sky_entry_t *entry, const sky_key_t *key,
                        sky_request_id_t request, sky_actions_t *out);
/** Keeps another host's doubt until the log has it. */
void SkyEntry_KeepDoubt(sky_entry_t *entry, const sky_rec_crash_t *crash,
                        uint64_t now_us);
/** A SUSPECT or CRASH record was read. */
void SkyEntry_SuspectSeen(sky_entry_t *entry, const sky_rec_crash_t *crash);
void SkyEntry_Tick(sky_entry_t *entry, uint64_t now_us, sky_actions_t *out);
void SkyEntry_SetLeaving(sky_entry_t *entry, uint32_t target, bool leaving);

/** @return the shard that serves an adapter first, or SKY_NO_TARGET. */
uint32_t SkyEntry_ShardOf(const sky_entry_t *entry, sky_adapter_id_t adapter,
                          uint32_t pool);
/** @return requests without a final answer. */
uint32_t SkyEntry_OpenCount(const sky_entry_t *entry);
const sky_entry_stats_t *SkyEntry_Stats(const sky_entry_t *entry);

#ifdef __cplusplus
}
#endif
#endif
