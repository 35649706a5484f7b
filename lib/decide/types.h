/**
 * @file types.h
 * @brief Identifiers, messages, log records, inputs and actions.
 *
 * Everything that goes into or comes out of the decision logic is one of the
 * tagged unions here. The logic performs no I/O, starts no threads, reads no
 * clock and draws no random numbers: time and outside events arrive as inputs.
 * Times (`_us`) are microseconds of the host's monotonic clock; they are never
 * compared between hosts.
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

#define SKY_NAME_BYTES 64        /**< buffer of a name, with its final NUL */
#define SKY_ADDRESS_BYTES 48     /**< "address:port", with its final NUL */
#define SKY_ADAPTER_SLOTS_MAX 64 /**< adapter slots of one target */
#define SKY_CLAIMS_PER_RECORD_MAX 64 /**< claims in one log record */
#define SKY_PERMITS_PER_MSG_MAX 64   /**< permits in one SKY_MSG_PERMIT_LIST */
#define SKY_MONITORS_PER_HOST 2      /**< hosts that monitor each host */
#define SKY_INDEX_NONE UINT32_MAX    /**< no target, or no shard */

typedef uint64_t sky_host_id_t;    /**< XXH64 of the host's name */
typedef uint64_t sky_offset_t;     /**< offset in the log; 0: none */
typedef uint64_t sky_adapter_id_t; /**< XXH64 of "name@version" */
typedef uint64_t sky_request_id_t; /**< unique across hosts and restarts */
typedef uint64_t sky_fence_t;      /**< log offset of an ownership change */

/** Hash of the workspace and idempotency key of a non-idempotent request. */
typedef struct {
    uint64_t high;
    uint64_t low;
} sky_idempotency_key_t;

/** One target, as the settings describe it. */
typedef struct {
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES];
    char pool[SKY_NAME_BYTES];
    uint32_t domain;     /**< failure domain */
    uint32_t slots;      /**< adapter slots; 0: plain service */
    uint32_t batch;      /**< requests that can run concurrently */
    bool checks_fencing; /**< refuses orders with an older fence */
} sky_target_info_t;

/**
 * Safety mechanisms that tests disable, to see that the guarantee fails
 * without them. No setting reaches these flags; they are 0 in production.
 */
typedef enum {
    /** A new owner acts immediately, without the takeover wait. */
    SKY_DISABLE_TAKEOVER_WAIT = 1 << 0,
    /** A new owner evicts without collecting the permits in use. */
    SKY_DISABLE_PERMIT_COLLECTION = 1 << 1,
    /** A broken exchange counts as finished: its adapter may be evicted. */
    SKY_DISABLE_CRASH_CONFIRMATION = 1 << 2,
    /** A non-idempotent request is dispatched without a claim. */
    SKY_DISABLE_CLAIMS = 1 << 3,
    /** Crashes that a request causes are not counted. */
    SKY_DISABLE_CRASH_COUNT = 1 << 4,
    /** The list of leaving targets is ignored. */
    SKY_DISABLE_HOST_LIST = 1 << 5,
    /** A change wins whatever revision it is based on. */
    SKY_DISABLE_REVISION_CHECK = 1 << 6,
    /** An expired lease still counts as held. */
    SKY_DISABLE_LEASE_CHECK = 1 << 7,
    /** Members and configuration are not restated in the log. */
    SKY_DISABLE_RESTATEMENT = 1 << 8,
    /** No request is refused before its deadline. */
    SKY_DISABLE_EARLY_REFUSAL = 1 << 9,
    /** A broken exchange is reported as not run. */
    SKY_DISABLE_UNKNOWN_RESULT = 1 << 10,
} sky_disable_flag_t;

/** How an exchange with a target ended, as seen by the entry host: the host
 *  that received the request. */
typedef enum {
    SKY_OUTCOME_COMPLETED, /**< a complete response with the request's id */
    SKY_OUTCOME_NOT_SENT,  /**< nothing reached the target */
    SKY_OUTCOME_PERMIT_UNUSED, /**< the permit was not used */
    SKY_OUTCOME_REFUSED,   /**< the target responded that it did not run it */
    SKY_OUTCOME_BROKEN,    /**< sent; no complete response, it may have run */
    SKY_OUTCOME_CANCELLED, /**< sent; the caller disconnected */
} sky_outcome_t;

/* ---- messages between hosts ---- */

typedef enum {
    SKY_MSG_HEARTBEAT = 1,
    SKY_MSG_HEARTBEAT_ACK,
    SKY_MSG_HOST_SUSPECTED,
    SKY_MSG_ACQUIRE,
    SKY_MSG_GRANT,
    SKY_MSG_REFUSE,
    SKY_MSG_PERMIT_RELEASE,
    SKY_MSG_COLLECT_PERMITS,
    SKY_MSG_PERMIT_LIST,
    SKY_MSG_HANDOVER,
    SKY_MSG_TARGET_LEAVING,
    SKY_MSG_CLAIM_REQUEST,
    SKY_MSG_CLAIM_RESPONSE,
    SKY_MSG_QUEUED, /**< the owner has queued the request */
    SKY_MSG_JOIN_REQUEST,
    SKY_MSG_UNCONFIRMED_CRASH, /**< sent while the log is unavailable */
} sky_msg_kind_t;

/** Sent to each monitor. The acknowledgement may confirm the sender's lease,
 * for a sender that cannot read the log itself. */
typedef struct {
    uint64_t sent_us;         /**< the sender's clock, echoed */
    uint64_t log_age_us;      /**< time since its last read to the tail */
    sky_offset_t view;        /**< last membership change applied */
    sky_offset_t incarnation; /**< of the host whose lease is confirmed,
                                   0: none */
} sky_msg_heartbeat_t;

/** A monitor suspects that a host has failed. Another monitor that still
 *  receives its heartbeats denies that by the same message with incarnation 0.
 */
typedef struct {
    sky_host_id_t host;
    sky_offset_t incarnation; /**< of the suspected host; 0: a denial */
} sky_msg_host_suspected_t;

/** An entry host requests a permit from the owner of a shard. */
typedef struct {
    sky_request_id_t request;
    sky_adapter_id_t adapter;
    uint64_t fingerprint; /**< hash of workspace, adapter and body */
    uint32_t shard;
    uint32_t pool;         /**< hash of the pool's name */
    uint32_t urgency;      /**< 0 (batch) to 9 (interactive caller) */
    uint32_t remaining_ms; /**< time until its deadline */
    uint32_t attempt;      /**< 0 for the first */
} sky_msg_acquire_t;

/** A permit for one dispatch to one target, within its time to live. */
typedef struct {
    sky_request_id_t request;
    sky_fence_t fence;
    /** Grows with each SKY_MSG_COLLECT_PERMITS of the owner. */
    uint32_t round;
    uint32_t shard;
    uint32_t target;
    uint64_t epoch;           /**< of the target, as known to the owner */
    uint32_t adapter_wait_ms; /**< time spent waiting for the adapter */
    /** Utilization of the target's batch, including this request. */
    uint32_t batch_utilization_percent;
} sky_msg_grant_t;

/** The owner refuses a permit. */
typedef struct {
    sky_request_id_t request;
    uint32_t code; /**< sky_result_t */
    uint32_t retry_after_ms;
} sky_msg_refuse_t;

/** An entry host releases a permit, or withdraws its request for one. */
typedef struct {
    sky_request_id_t request;
    uint32_t shard;
    uint32_t target;  /**< SKY_INDEX_NONE: it held no permit yet */
    uint32_t outcome; /**< sky_outcome_t */
} sky_msg_permit_release_t;

/**
 * SKY_MSG_COLLECT_PERMITS: the receiver reports the permits it uses and from
 * then on accepts no grant with an older fence and round.
 *
 * SKY_MSG_HANDOVER: the sender has given up the ownership of the shard.
 */
typedef struct {
    uint32_t shard;
    uint32_t round;
    sky_fence_t fence;
} sky_msg_shard_t;

/** A permit in use, as reported to a new owner. */
typedef struct {
    sky_request_id_t request;
    sky_adapter_id_t adapter;
    uint64_t fingerprint;
    uint64_t epoch; /**< of the target, when the permit was granted */
    uint32_t target;
} sky_permit_t;

/** Response to SKY_MSG_COLLECT_PERMITS; a long list takes several messages. */
typedef struct {
    uint32_t shard;
    sky_fence_t fence;
    uint32_t round;
    uint32_t total; /**< permits in all messages of the list */
    uint32_t count; /**< permits in this message */
    sky_permit_t permits[SKY_PERMITS_PER_MSG_MAX];
} sky_msg_permit_list_t;

/** The sender's host list shows that a target leaves, or no longer does. */
typedef struct {
    uint32_t target;
    uint32_t leaving; /**< 0 or 1 */
} sky_msg_target_leaving_t;

/** An entry host requests a claim from a host that appends claims. */
typedef struct {
    sky_idempotency_key_t key;
    sky_request_id_t request;
} sky_msg_claim_request_t;

typedef struct {
    sky_request_id_t request;
    uint32_t code; /**< SKY_OK, SKY_E_CLAIMED or SKY_E_LOG_DOWN */
} sky_msg_claim_response_t;

/** An exchange that broke: which fingerprint, on which target and epoch. */
typedef struct {
    uint64_t fingerprint;
    uint64_t epoch; /**< of the target, before it crashed */
    uint32_t target;
} sky_rec_crash_t;

/** A host that is not a member asks a member to append its JOIN. */
typedef struct {
    uint64_t nonce;
    uint32_t domain;
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES];
    char listen[SKY_ADDRESS_BYTES];
} sky_msg_join_request_t;

typedef struct {
    sky_msg_kind_t kind;
    union {
        sky_msg_heartbeat_t heartbeat; /**< and SKY_MSG_HEARTBEAT_ACK */
        sky_msg_host_suspected_t suspect;
        sky_msg_acquire_t acquire;
        sky_msg_grant_t grant;
        sky_msg_refuse_t refuse;
        sky_msg_permit_release_t permit_release;
        /** SKY_MSG_COLLECT_PERMITS, SKY_MSG_HANDOVER */
        sky_msg_shard_t shard;
        sky_msg_permit_list_t permit_list;
        sky_msg_target_leaving_t leaving;
        sky_msg_claim_request_t claim_request;
        sky_msg_claim_response_t claim_response;
        sky_msg_join_request_t join_request;
        sky_rec_crash_t unconfirmed_crash; /**< SKY_MSG_UNCONFIRMED_CRASH */
        sky_request_id_t queued;           /**< SKY_MSG_QUEUED */
    } u;
} sky_msg_t;

/* ---- records of the log ---- */

typedef enum {
    SKY_REC_JOIN = 1,
    SKY_REC_DRAIN,
    SKY_REC_REMOVE,         /**< planned leave or removal of a failed host */
    SKY_REC_MEMBER_RESTATE, /**< restates a member before the log drops its
                               JOIN */
    SKY_REC_CLAIMS,
    SKY_REC_CLAIM_RELEASE,   /**< releases a claim whose request was not run */
    SKY_REC_CRASH_SUSPECTED, /**< an exchange broke; the target may have
                                crashed */
    SKY_REC_CRASH_CONFIRMED, /**< the target did crash */
    SKY_REC_CONFIG,
    SKY_REC_CONFIG_RESTATE,  /**< one document of a snapshot */
    SKY_REC_CONFIG_SNAPSHOT, /**< marker with the document count */
} sky_record_kind_t;

typedef struct {
    sky_host_id_t host;
    sky_offset_t incarnation; /**< offset of its JOIN; 0 in the JOIN itself */
    sky_offset_t as_of; /**< MEMBER_RESTATE: log tail known to the writer */
    sky_offset_t view;  /**< MEMBER_RESTATE: last membership change known
                             to the writer */
    uint32_t domain;
    uint32_t draining;
    uint32_t bootstrap;   /**< JOIN: no member could be reached */
    sky_offset_t sponsor; /**< JOIN: incarnation of the member that admits the
                               host */
    char name[SKY_NAME_BYTES];
    char address[SKY_ADDRESS_BYTES]; /**< for other hosts */
    char listen[SKY_ADDRESS_BYTES];  /**< for callers and operators */
} sky_rec_member_t;

typedef struct {
    uint32_t count;
    sky_idempotency_key_t keys[SKY_CLAIMS_PER_RECORD_MAX];
    sky_request_id_t requests[SKY_CLAIMS_PER_RECORD_MAX];
} sky_rec_claims_t;

typedef enum {
    SKY_CONFIG_TEMPLATE = 1,
    SKY_CONFIG_WORKSPACE,
} sky_config_kind_t;

typedef struct {
    sky_config_kind_t kind;
    char name[SKY_NAME_BYTES];
    sky_offset_t base;     /**< revision that the change is based on; 0: a
                                new document */
    sky_offset_t revision; /**< CONFIG_RESTATE: the revision it restates;
                                CONFIG_SNAPSHOT: number of documents */
    sky_offset_t as_of;    /**< both: last record that the snapshot covers */
    uint64_t generation;   /**< both: which snapshot */
    char *body;            /**< JSON text; owned by the record */
} sky_rec_config_t;

typedef struct {
    sky_record_kind_t kind;
    sky_offset_t offset; /**< set when read */
    uint64_t nonce;      /**< lets the writer recognize its own record */
    uint64_t age_ms;     /**< set when read: age by the log's clock */
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

/** Load report of a target. */
typedef struct {
    uint64_t epoch;  /**< changes when the target restarts */
    uint64_t age_us; /**< age of the report when it was received, by the
                          target's clock */
    uint32_t running;
    uint32_t slot_count;
    sky_report_slot_t slots[SKY_ADAPTER_SLOTS_MAX];
} sky_report_t;

/* ---- inputs ---- */

typedef enum {
    SKY_IN_TICK = 1,
    SKY_IN_MESSAGE,
    SKY_IN_LOG_READ,
    SKY_IN_APPEND_RESULT,
    SKY_IN_REPORT,
    SKY_IN_ORDER_RESULT,
    SKY_IN_REQUEST,
    SKY_IN_OUTCOME,
    SKY_IN_CANCEL,
    SKY_IN_HOST_LIST,
    SKY_IN_CONFIG_CHANGE,
    SKY_IN_DRAIN,          /**< hand the shards over; still accept requests */
    SKY_IN_STOP_ACCEPTING, /**< accept no new requests */
    SKY_IN_LEAVE,          /**< end the membership */
} sky_input_kind_t;

typedef struct {
    sky_host_id_t from;
    sky_msg_t msg;
} sky_in_message_t;

/** Result of a read of the log: records after the last one applied. */
typedef struct {
    bool ok;
    bool reached_tail;
    uint64_t begun_us;   /**< when the read began */
    sky_offset_t oldest; /**< first offset that the log still holds */
    sky_offset_t next;   /**< first offset not read */
    sky_record_t *records;
    uint32_t count;
} sky_in_log_read_t;

/** Result of an append; `known` is false if the response was lost. */
typedef struct {
    uint64_t nonce;
    bool known;
    sky_offset_t offset;
} sky_in_append_result_t;

typedef struct {
    uint32_t target;
    bool ok;
    uint64_t begun_us; /**< when the report was requested */
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
    uint64_t token;      /**< tells this order's result from earlier ones */
    uint64_t expires_us; /**< must not be sent later: end of the lease */
} sky_order_t;

/** Result of an order. */
typedef enum {
    SKY_ORDER_RESULT_DONE,
    SKY_ORDER_RESULT_FAILED,  /**< the target reports that it was not done */
    SKY_ORDER_RESULT_UNKNOWN, /**< sent, no response */
    SKY_ORDER_RESULT_FENCED, /**< refused: the target has seen a newer fence */
} sky_order_result_t;

typedef struct {
    sky_order_t order;
    sky_order_result_t result;
} sky_in_order_result_t;

/** A parsed request. */
typedef struct {
    sky_request_id_t request;
    sky_adapter_id_t adapter; /**< 0: plain service */
    uint64_t fingerprint;
    uint32_t pool; /**< hash of the pool's name */
    uint32_t urgency;
    uint32_t timeout_ms;
    bool at_most_once;         /**< not idempotent; false: may be repeated */
    sky_idempotency_key_t key; /**< with `at_most_once` */
    uint64_t key_age_ms; /**< with `at_most_once`: age of the key when the
                            request was received */
} sky_in_request_t;

typedef struct {
    sky_request_id_t request;
    sky_outcome_t outcome;
    bool streamed; /**< part of the response was already sent to the caller */
} sky_in_outcome_t;

/** State of one target in the platform's list of hosts. */
typedef struct {
    uint32_t target;
    bool leaving;
} sky_listed_target_t;

typedef struct {
    const sky_listed_target_t *states;
    uint32_t count;
} sky_in_host_list_t;

/** An operator's configuration change. */
typedef struct {
    uint64_t token; /**< identifies the caller that waits for the result */
    sky_rec_config_t config; /**< body is copied */
} sky_in_config_change_t;

typedef struct {
    sky_input_kind_t kind;
    union {
        sky_in_message_t message;
        sky_in_log_read_t log_read;
        sky_in_append_result_t append_result;
        sky_in_report_t report;
        sky_in_order_result_t order_result;
        sky_in_request_t request;
        sky_in_outcome_t outcome;
        sky_request_id_t cancel;
        sky_in_host_list_t host_list;
        sky_in_config_change_t change;
    } u;
} sky_input_t;

/* ---- actions ---- */

typedef enum {
    SKY_ACT_SEND = 1,
    SKY_ACT_APPEND,
    SKY_ACT_READ_LOG,
    SKY_ACT_READ_REPORT,
    SKY_ACT_ORDER,
    SKY_ACT_DISPATCH,
    SKY_ACT_RESPOND,
    SKY_ACT_CHANGE_RESULT,
    SKY_ACT_APPLY_CONFIG,
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
    uint32_t adapter_wait_ms;
    uint32_t batch_utilization_percent;
} sky_act_dispatch_t;

/** Final result of a request that is not dispatched again. */
typedef struct {
    sky_request_id_t request;
    sky_result_t code;
    uint32_t retry_after_ms;
} sky_act_respond_t;

/** Final result of an operator's change. */
typedef struct {
    uint64_t token;
    sky_result_t code;
    sky_offset_t revision; /**< of the change, or of the one that won */
} sky_act_change_result_t;

/** A configuration document has come into force. */
typedef struct {
    sky_config_kind_t kind;
    char name[SKY_NAME_BYTES];
    sky_offset_t revision;
} sky_act_apply_config_t;

typedef struct {
    sky_action_kind_t kind;
    union {
        sky_act_send_t send;
        sky_record_t append; /**< owned by the receiver of the action */
        sky_offset_t read_from;
        uint32_t report_target;
        sky_order_t order;
        sky_act_dispatch_t dispatch;
        sky_act_respond_t response;
        sky_act_change_result_t change_result;
        sky_act_apply_config_t config;
    } u;
} sky_action_t;

/** Growing list of actions. The caller performs them in order, then clears the
 *  list. */
typedef struct {
    sky_action_t *items;
    size_t count;
    size_t capacity;
} sky_actions_t;

/** Adds a zeroed action of @p kind and returns it for filling in. */
sky_action_t *SkyActions_Add(sky_actions_t *actions, sky_action_kind_t kind);

/** Adds a SKY_ACT_SEND and returns its message for filling in. */
sky_msg_t *SkyActions_AddSend(sky_actions_t *actions, sky_host_id_t to,
                              sky_msg_kind_t kind);

/** Frees the list, not what its actions own. */
void SkyActions_Clear(sky_actions_t *actions);

/** Frees the members of a record that are on the heap. */
void SkyRecord_Clear(sky_record_t *record);

/** Copies a record, including its members on the heap. */
void SkyRecord_Copy(sky_record_t *to, const sky_record_t *from);

/** @return id of "name@version"; never 0. */
sky_adapter_id_t SkyAdapter_HashId(const char *name, const char *version);

/** @return 64-bit hash of a name; never 0. */
uint64_t SkyName_Hash(const char *name);

/** @return rendezvous hashing score of the pair; the node with the highest
 *  score for an item is chosen. */
uint64_t SkyRendezvous_Score(uint64_t node, uint64_t item);

#ifdef __cplusplus
}
#endif
#endif
