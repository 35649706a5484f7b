/**
 * @file entry.h
 * @brief Requests that callers sent to this host, their entry host.
 *
 * The steps of a request: claim its key (if it is not idempotent), acquire a
 * permit from the owner of a shard, dispatch, release the permit, respond.
 * Every request ends in exactly one of: a dispatch whose outcome the traffic
 * thread relays, or a final result.
 */
#ifndef SKY_DECIDE_ENTRY_H
#define SKY_DECIDE_ENTRY_H

#include "decide/claims.h"
#include "decide/unconfirmed_crashes.h"
#include "decide/members.h"
#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct {
    uint32_t disabled_mechanisms; /**< sky_disable_flag_t bits; tests only */
    uint32_t claim_writers_max;
    uint64_t key_life_us;      /**< max age of an idempotency key on arrival */
    uint64_t claim_timeout_us; /**< a claim without a response fails */
    uint64_t acquire_interval_us; /**< until SKY_MSG_ACQUIRE is repeated */
    uint64_t permit_life_us; /**< time to dispatch after a grant is received */
    uint32_t attempts_max;   /**< dispatches of an idempotent request */
    double retry_tokens_per_request; /**< retries earned by each request */
    double retry_tokens_max;         /**< limit of earned retries */
} sky_entry_options_t;

typedef struct {
    uint64_t requests;
    uint64_t dispatches;
    uint64_t answered; /**< finished requests by SkyResult_Outcome() */
    uint64_t not_run;
    uint64_t unknown;
    uint64_t retries;
    uint64_t stale_grants; /**< grants that came too late to be used */
} sky_entry_stats_t;

/** The requests that one host received and has not finished. */
typedef struct sky_entry sky_entry_t;

/** @param targets all targets of the deployment; must outlive the entry.
 *  @param shard_targets targets of one shard. */
sky_entry_t *SkyEntry_Create(const sky_entry_options_t *options,
                             const sky_target_info_t *targets,
                             uint32_t target_count, uint32_t shard_targets,
                             sky_members_t *members,
                             sky_unconfirmed_crashes_t *unconfirmed_crashes);
void SkyEntry_Free(sky_entry_t *entry);

void SkyEntry_HandleRequest(sky_entry_t *entry,
                            const sky_in_request_t *request, uint64_t now_us,
                            sky_actions_t *out);
void SkyEntry_HandleOutcome(sky_entry_t *entry,
                            const sky_in_outcome_t *outcome, uint64_t now_us,
                            sky_actions_t *out);
/** Cancels a request whose caller disconnected before a dispatch. */
void SkyEntry_CancelRequest(sky_entry_t *entry, sky_request_id_t request,
                            sky_actions_t *out);
/** Handles SKY_MSG_GRANT, SKY_MSG_REFUSE, SKY_MSG_COLLECT_PERMITS,
 * SKY_MSG_QUEUED and SKY_MSG_CLAIM_RESPONSE; ignores others. */
void SkyEntry_HandleMessage(sky_entry_t *entry, const sky_in_message_t *in,
                            uint64_t now_us, sky_actions_t *out);
/** Requests permits again at once, as the owners may have changed. */
void SkyEntry_HandleViewChange(sky_entry_t *entry, uint64_t now_us,
                               sky_actions_t *out);
/** A claim was read from the log; it is released if its request has been
 *  finished as not run in the meantime. */
void SkyEntry_ApplyClaim(sky_entry_t *entry, const sky_idempotency_key_t *key,
                         sky_request_id_t request, sky_actions_t *out);
/** Records an unconfirmed crash that another host reported, until the log
 *  shows it. */
void SkyEntry_RecordUnconfirmedCrash(sky_entry_t *entry,
                                     const sky_rec_crash_t *crash,
                                     uint64_t now_us);
/** A SKY_REC_CRASH_SUSPECTED or SKY_REC_CRASH_CONFIRMED record was read. */
void SkyEntry_ApplyCrash(sky_entry_t *entry, const sky_rec_crash_t *crash);
void SkyEntry_Tick(sky_entry_t *entry, uint64_t now_us, sky_actions_t *out);
void SkyEntry_SetTargetLeaving(sky_entry_t *entry, uint32_t target,
                               bool leaving);

/** @return the preferred shard of an adapter, or SKY_INDEX_NONE if no shard
 *  serves @p pool, the hash of a pool's name. */
uint32_t SkyEntry_ChooseShard(const sky_entry_t *entry,
                              sky_adapter_id_t adapter, uint32_t pool);
/** @return requests without a final result. */
uint32_t SkyEntry_OpenCount(const sky_entry_t *entry);
const sky_entry_stats_t *SkyEntry_Stats(const sky_entry_t *entry);

#ifdef __cplusplus
}
#endif
#endif
