/**
 * @file types.h
 * @brief Identifiers, messages, log records, inputs and actions.
 *
 * Everything that goes into or comes out of the decision logic is one of the
 * tagged unions here. The logic performs no I/O, starts no threads, reads no
 * clock and draws no random numbers: time and outside events arrive as inputs.
 * Times are microseconds of a monotonic clock local to the host (`_us`);
 * they are never compared between hosts.
 */
#ifndef SKY_DECIDE_TYPES_H
#define SKY_DECIDE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_NAME_BYTES 64        /**< longest name, with its final zero */
#define SKY_ADDRESS_BYTES 48     /**< "address:port", with its final zero */
#define SKY_TARGET_SLOTS_MAX 64  /**< adapter slots of one target */
#define SKY_CLAIMS_PER_RECORD 64 /**< claims grouped into one append */
#define SKY_INFLIGHT_PER_MSG 64  /**< permits in one SKY_MSG_INFLIGHT */
#define SKY_MONITORS 2           /**< hosts that watch each host */
#define SKY_NO_TARGET UINT32_MAX /**< no target chosen */

typedef uint64_t sky_host_id_t;    /**< XXH64 of the host's name */
typedef uint64_t sky_offset_t;     /**< offset in the log; 0 is "none" */
typedef uint64_t sky_adapter_id_t; /**< XXH64 of "name@version" */
typedef uint64_t sky_request_id_t; /**< unique over hosts and restarts */
typedef uint64_t sky_fence_t;      /**< log offset of an ownership change */

/** Identity of a non-idempotent request: hash of workspace and key. */
typedef struct {
    uint64_t high;
    uint64_t low;
} sky_key_t;

/** Pool, failure domain and abilities of one target, from the settings. */
typedef struct {
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES];
    char pool[SKY_NAME_BYTES];
    uint32_t domain;
    uint32_t slots;      /**< adapters resident at once; 0: plain service */
    uint32_t batch;      /**< requests run at once */
    bool checks_fencing; /**< refuses an order with an older fence */
} sky_target_info_t;

/**
 * Mechanisms that the proofs switch off, one at a time, to see the promise
 * fail without them. Always 0 in service: no setting reaches them.
 */
typedef enum {
    SKY_OFF_TAKEOVER_WAIT = 1 << 0, /**< a new owner acts at once */
    SKY_OFF_COLLECT = 1 << 1,     /**< it evicts without asking for permits */
    SKY_OFF_DOUBT = 1 << 2,       /**< a broken exchange proves idleness */
    SKY_OFF_CLAIMS = 1 << 3,      /**< no claim before a dispatch */
    SKY_OFF_CRASH_COUNT = 1 << 4, /**< crashing requests are not counted */
    SKY_OFF_LEAVING = 1 << 5,     /**< the list of hosts is not heeded */
    SKY_OFF_BASE_CHECK = 1 << 6,  /**< the last change wins */
    SKY_OFF_LEASE_CHECK = 1 << 7, /**< a lapsed lease still counts */
    SKY_OFF_RESTATE = 1 << 8,     /**< nothing is restated in the log */
    SKY_OFF_REFUSAL = 1 << 9,     /**< no refusal before the deadline */
    SKY_OFF_UNKNOWN = 1 << 10,    /**< a broken exchange is "not run" */
} sky_off_t;

/** How an exchange with a target ended, as the entry host saw it. */
typedef enum {
    SKY_OUTCOME_ANSWERED,  /**< a whole answer with the right id came back */
    SKY_OUTCOME_NOT_SENT,  /**< nothing reached the target */
    SKY_OUTCOME_RETURNED,  /**< the permit was not used at all */
    SKY_OUTCOME_REFUSED,   /**< the target said that it did not run it */
    SKY_OUTCOME_BROKEN,    /**< sent, and the exchange broke */
    SKY_OUTCOME_CANCELLED, /**< sent, and the caller went away */
} sky_outcome_t;

/* ---- messages between hosts ---- */

typedef enum {
    SKY_MSG_HEARTBEAT = 1,
    SKY_MSG_HEARTBEAT_ACK,
    SKY_MSG_SUSPECT,
    SKY_MSG_ACQUIRE,
    SKY_MSG_GRANT,
    SKY_MSG_REFUSE,
    SKY_MSG_DONE,
    SKY_MSG_COLLECT,
    SKY_MSG_INFLIGHT,
    SKY_MSG_HANDOVER,
    SKY_MSG_LEAVING,
    SKY_MSG_CLAIM_ASK,
    SKY_MSG_CLAIM_ANSWER,
    SKY_MSG_QUEUED,
    SKY_MSG_JOIN_ASK,
    SKY_MSG_DOUBT,
} sky_msg_kind_t;

/** Sent to each monitor; the acknowledgement may vouch for the sender. */
typedef struct {
    uint64_t sent_us;         /**< the sender's clock, echoed */
    uint64_t log_age_us;      /**< age of the last read to the tail */
    sky_offset_t view;        /**< last membership change applied */
    sky_offset_t incarnation; /**< of the host that is vouched for, or 0 */
} sky_msg_heartbeat_t;

typedef struct {
    sky_host_id_t host;
    sky_offset_t incarnation;
} sky_msg_suspect_t;

/** An entry host asks the owner of a shard for a permit. */
typedef struct {
    sky_request_id_t request;
    sky_adapter_id_t adapter;
    uint64_t fingerprint; /**< hash of workspace, adapter and body */
    uint32_t shard;
    uint32_t pool;        /**< hash of the pool's name */
    uint32_t urgency;     /**< 0 (batch) to 9 (a caller on the phone) */
    uint32_t patience_ms; /**< time left before its deadline */
    uint32_t attempt;     /**< 0 for the first */
} sky_msg_acquire_t;

/** A permit: one dispatch to one target, within its time to live. */
typedef struct {
    sky_request_id_t request;
    sky_fence_t fence;
    uint32_t round; /**< grows with every COLLECT of the owner */
    uint32_t shard;
    uint32_t target;
    uint64_t epoch;        /**< of the target, as the owner knows it */
    uint32_t stall_ms;     /**< time spent waiting for the adapter */
    uint32_t fill_percent; /**< of the target's batch, with this request */
} sky_msg_grant_t;

typedef struct {
    sky_request_id_t request;
    uint32_t code; /**< sky_result_t */
    uint32_t retry_after_ms;
} sky_msg_refuse_t;

/** An entry host returns a permit. */
typedef struct {
    sky_request_id_t request;
    uint32_t shard;
    uint32_t target;
    uint32_t outcome; /**< sky_outcome_t */
} sky_msg_done_t;

/** COLLECT: the receiver lists its permits and from then on takes no grant
 *  with an older fence and round. HANDOVER: the sender has let go. */
typedef struct {
    uint32_t shard;
    uint32_t round;
    sky_fence_t fence;
} sky_msg_shard_t;

/** A permit in use, told to a new owner. */
typedef struct {
    sky_request_id_t request;
    sky_adapter_id_t adapter;
    uint64_t fingerprint;
    uint64_t epoch; /**< of the target, when the permit was granted */
    uint32_t target;
} sky_permit_t;

typedef struct {
    uint32_t shard;
    sky_fence_t fence;
    uint32_t round;
    uint32_t total; /**< permits in all messages of the list */
    uint32_t count; /**< permits in this message */
    sky_permit_t permits[SKY_INFLIGHT_PER_MSG];
} sky_msg_inflight_t;

typedef struct {
    uint32_t target;
    uint32_t leaving;
} sky_msg_leaving_t;

typedef struct {
    sky_key_t key;
    sky_request_id_t request;
} sky_msg_claim_ask_t;

typedef struct {
    sky_request_id_t request;
    uint32_t code; /**< SKY_OK, SKY_E_CLAIMED or SKY_E_LOG_DOWN */
} sky_msg_claim_answer_t;

/** A broken exchange: one fingerprint on one target in one epoch. */
typedef struct {
    uint64_t fingerprint;
    uint64_t epoch; /**< of the target, before it crashed */
    uint32_t target;
} sky_rec_crash_t;

/** A host that is no member asks one to let it in. */
typedef struct {
    uint64_t nonce;
    uint32_t domain;
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES];
    char listen[SKY_ADDRESS_BYTES];
} sky_msg_join_ask_t;

typedef struct {
    sky_msg_kind_t kind;
    union {
        sky_msg_heartbeat_t heartbeat; /**< HEARTBEAT and HEARTBEAT_ACK */
        sky_msg_suspect_t suspect;
        sky_msg_acquire_t acquire;
        sky_msg_grant_t grant;
        sky_msg_refuse_t refuse;
        sky_msg_done_t done;
        sky_msg_shard_t shard; /**< COLLECT and HANDOVER */
        sky_msg_inflight_t inflight;
        sky_msg_leaving_t leaving;
        sky_msg_claim_ask_t claim_ask;
        sky_msg_claim_answer_t claim_answer;
        sky_msg_join_ask_t join_ask;
        sky_rec_crash_t doubt;   /**< DOUBT: told while the log is out */
        sky_request_id_t queued; /**< QUEUED: the owner has the request */
    } u;
} sky_msg_t;

/* ---- records of the log ---- */

typedef enum {
    SKY_REC_JOIN = 1,
    SKY_REC_DRAIN,
    SKY_REC_REMOVE, /**< planned leave or removal of a failed host */
    SKY_REC_MEMBER, /**< restates a member within the log's retention */
    SKY_REC_CLAIMS,
    SKY_REC_RELEASE, /**< gives back a claim whose request was not run */
    SKY_REC_SUSPECT, /**< an exchange broke: did the target crash? */
    SKY_REC_CRASH,   /**< it did */
    SKY_REC_CONFIG,
    SKY_REC_CONFIG_RESTATE, /**< a document of a snapshot */
    SKY_REC_SNAPSHOT,       /**< marks a snapshot and counts its documents */
} sky_record_kind_t;

typedef struct {
    sky_host_id_t host;
    sky_offset_t incarnation; /**< offset of its JOIN; 0 in a JOIN */
    sky_offset_t as_of;       /**< MEMBER: tail known when it was written */
    sky_offset_t view;        /**< MEMBER: last membership change known */
    uint32_t domain;
    uint32_t draining;
    uint32_t bootstrap; /**< JOIN: no member could be reached */
    sky_offset_t
        sponsor; /**< JOIN: incarnation of the member that let it in */
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES]; /**< for other hosts */
    char listen[SKY_ADDRESS_BYTES];  /**< for callers and operators */
} sky_rec_member_t;

typedef struct {
    uint32_t count;
    sky_key_t keys[SKY_CLAIMS_PER_RECORD];
    sky_request_id_t requests[SKY_CLAIMS_PER_RECORD];
} sky_rec_claims_t;

typedef enum {
    SKY_CONFIG_TEMPLATE = 1,
    SKY_CONFIG_WORKSPACE,
} sky_config_kind_t;

typedef struct {
    sky_config_kind_t kind;
    char name[SKY_NAME_BYTES];
    sky_offset_t base;     /**< revision it was made from; 0: a new one */
    sky_offset_t revision; /**< RESTATE: the revision it restates;
                                SNAPSHOT: number of documents */
    sky_offset_t as_of;    /**< RESTATE, SNAPSHOT: last record it covers */
    uint64_t generation;   /**< RESTATE, SNAPSHOT: which snapshot */
    char *body;            /**< JSON text; owned by the record */
} sky_rec_config_t;

typedef struct {
    sky_record_kind_t kind;
    sky_offset_t offset; /**< set when read */
    uint64_t nonce;      /**< tells the writer its own record */
    uint64_t age_ms;     /**< set when read: age by the log's own clock */
    union {
        sky_rec_member_t member;
        sky_rec_claims_t claims;
        sky_rec_crash_t crash;
        sky_rec_config_t config;
    } u;
} sky_record_t;

/* ---- reports of targets ---- */

typedef struct {
    sky_adapter_id_t adapter;
    uint32_t running;
    bool loading;
} sky_report_slot_t;

/** Load report of a target, made `age_us` before it was received. */
typedef struct {
    uint64_t epoch;  /**< changes when the target restarts */
    uint64_t age_us; /**< lag of the report, by the target's own clock */
    uint32_t running;
    uint32_t slot_count;
    sky_report_slot_t slots[SKY_TARGET_SLOTS_MAX];
} sky_report_t;

/* ---- inputs ---- */

typedef enum {
    SKY_IN_TICK = 1,
    SKY_IN_MESSAGE,
    SKY_IN_LOG_READ,
    SKY_IN_APPENDED,
    SKY_IN_REPORT,
    SKY_IN_ORDER_DONE,
    SKY_IN_REQUEST,
    SKY_IN_OUTCOME,
    SKY_IN_CANCEL,
    SKY_IN_HOST_LIST,
    SKY_IN_CHANGE,
    SKY_IN_DRAIN, /**< hand the shards over; still take requests */
    SKY_IN_CLOSE, /**< take no new request */
    SKY_IN_LEAVE, /**< end the membership */
} sky_input_kind_t;

typedef struct {
    sky_host_id_t from;
    sky_msg_t msg;
} sky_in_message_t;

/** One read of the log: records after the last one applied. */
typedef struct {
    bool ok;
    bool reached_tail;
    uint64_t begun_us; /**< when the read was begun, by the host's clock */
    sky_offset_t oldest;
    sky_offset_t next; /**< first offset not read */
    sky_record_t *records;
    uint32_t count;
} sky_in_log_read_t;

/** Answer to an append; `known` is false when the answer was lost. */
typedef struct {
    uint64_t nonce;
    bool known;
    sky_offset_t offset;
} sky_in_appended_t;

typedef struct {
    uint32_t target;
    bool ok;
    uint64_t begun_us; /**< when the report was asked for */
    sky_report_t report;
} sky_in_report_t;

typedef enum {
    SKY_ORDER_LOAD = 1,
    SKY_ORDER_UNLOAD,
} sky_order_kind_t;

typedef struct {
    uint32_t target;
    sky_order_kind_t kind;
    sky_adapter_id_t adapter;
    sky_fence_t fence;
    uint64_t token;      /**< tells answers to earlier orders apart */
    uint64_t expires_us; /**< not to be sent later: the lease's end */
} sky_order_t;

/** What became of an order. */
typedef enum {
    SKY_ORDERED_DONE,
    SKY_ORDERED_FAILED,  /**< the target says that it did not happen */
    SKY_ORDERED_UNKNOWN, /**< sent, no answer */
    SKY_ORDERED_FENCED,  /**< refused: the target has seen a newer fence */
} sky_ordered_t;

typedef struct {
    sky_order_t order;
    sky_ordered_t result;
} sky_in_order_done_t;

/** A request as it leaves the parse filter. */
typedef struct {
    sky_request_id_t request;
    sky_adapter_id_t adapter; /**< 0: plain service */
    uint64_t fingerprint;
    uint32_t pool;
    uint32_t urgency;
    uint32_t timeout_ms;
    bool once;           /**< not idempotent: at most one run */
    sky_key_t key;       /**< with `once` */
    uint64_t key_age_ms; /**< with `once`: age of the key at arrival */
} sky_in_request_t;

typedef struct {
    sky_request_id_t request;
    sky_outcome_t outcome;
    bool streamed; /**< part of the answer went to the caller already */
} sky_in_outcome_t;

typedef struct {
    uint32_t target;
    bool leaving;
} sky_host_state_t;

typedef struct {
    const sky_host_state_t *states;
    uint32_t count;
} sky_in_host_list_t;

/** An operator's change; `token` names the caller that waits for it. */
typedef struct {
    uint64_t token;
    sky_rec_config_t config; /**< body is copied */
} sky_in_change_t;

typedef struct {
    sky_input_kind_t kind;
    union {
        sky_in_message_t message;
        sky_in_log_read_t log_read;
        sky_in_appended_t appended;
        sky_in_report_t report;
        sky_in_order_done_t order_done;
        sky_in_request_t request;
        sky_in_outcome_t outcome;
        sky_request_id_t cancel;
        sky_in_host_list_t host_list;
        sky_in_change_t change;
    } u;
} sky_input_t;

/* ---- actions ---- */

typedef enum {
    SKY_ACT_SEND = 1,
    SKY_ACT_APPEND,
    SKY_ACT_READ_LOG,
    SKY_ACT_REPORT,
    SKY_ACT_ORDER,
    SKY_ACT_DISPATCH,
    SKY_ACT_ANSWER,
    SKY_ACT_CHANGED,
    SKY_ACT_CONFIG,
} sky_action_kind_t;

typedef struct {
    sky_host_id_t to;
    sky_msg_t msg;
} sky_act_send_t;

/** Dispatch `request` to `target` before `expires_us`. */
typedef struct {
    sky_request_id_t request;
    sky_adapter_id_t adapter;
    sky_fence_t fence;
    uint32_t target;
    uint32_t attempt;
    uint64_t expires_us;
    uint32_t stall_ms;
    uint32_t fill_percent;
} sky_act_dispatch_t;

/** Final answer of a request that does not run (again). */
typedef struct {
    sky_request_id_t request;
    sky_result_t code;
    uint32_t retry_after_ms;
} sky_act_answer_t;

/** Final answer to an operator's change. */
typedef struct {
    uint64_t token;
    sky_result_t code;
    sky_offset_t revision; /**< of the change, or of the one that won */
} sky_act_changed_t;

/** A document is in force from now on. */
typedef struct {
    sky_config_kind_t kind;
    char name[SKY_NAME_BYTES];
    sky_offset_t revision;
} sky_act_config_t;

typedef struct {
    sky_action_kind_t kind;
    union {
        sky_act_send_t send;
        sky_record_t append; /**< owned by the receiver of the action */
        sky_offset_t read_from;
        uint32_t report_target;
        sky_order_t order;
        sky_act_dispatch_t dispatch;
        sky_act_answer_t answer;
        sky_act_changed_t changed;
        sky_act_config_t config;
    } u;
} sky_action_t;

/** Growing list of actions; the caller performs and then clears it. */
typedef struct {
    sky_action_t *items;
    size_t count;
    size_t capacity;
} sky_actions_t;

/** Adds a zeroed action of @p kind and returns it for filling in. */
sky_action_t *SkyActions_Add(sky_actions_t *actions, sky_action_kind_t kind);

/** Adds a SKY_ACT_SEND and returns its message for filling in. */
sky_msg_t *SkyActions_Send(sky_actions_t *actions, sky_host_id_t to,
                           sky_msg_kind_t kind);

/** Frees the list's memory, not what the actions own. */
void SkyActions_Free(sky_actions_t *actions);

/** Frees what a record owns. */
void SkyRecord_Free(sky_record_t *record);

/** Copies a record with what it owns. */
void SkyRecord_Copy(sky_record_t *to, const sky_record_t *from);

/** @return id of "name@version"; never 0. */
sky_adapter_id_t SkyAdapter_Id(const char *name, const char *version);

/** @return 64-bit hash of a name; never 0. */
uint64_t SkyName_Hash(const char *name);

/** @return rendezvous score of the pair; the highest score wins. */
uint64_t SkyRendezvous_Score(uint64_t node, uint64_t item);

#ifdef __cplusplus
}
#endif
#endif
