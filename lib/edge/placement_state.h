/**
 * @file placement_state.h
 * @brief What the parts of a placement share; for them alone.
 *
 * placement.c holds the asks, owned.c the targets that this host owns, crowd.c
 * those that wait for one adapter, share.c what hosts tell each other of load
 * and use.
 */
#ifndef SKY_EDGE_PLACEMENT_STATE_H
#define SKY_EDGE_PLACEMENT_STATE_H

#include "decide/placer.h"
#include "edge/placement.h"

/** Targets that are asked to load a cold adapter at once, in turn. Half of all
 *  targets have no place that could be freed at the worst of a grown day. */
#define HOMES 5
#define HOMES_PATIENT 2 /**< of them, that are then asked to queue it */
#define SHARES_MAX 128  /**< hosts with requests on one target */
#define USES_MAX 256    /**< distinct uses kept between two flushes */
#define COPIES_REMEMBERED 64
#define REMOTE_TIMEOUT_MS 900 /**< of one owner, before the next is asked */

/** Requests of one host on a target. */
typedef struct {
    char host[SKY_HOST_NAME_BYTES];
    uint32_t in_flight;
    uint64_t at_ms;
} sky_share_told_t;

/** A target that this host owns. */
typedef struct sky_owned {
    sky_placement_t *placement;
    char id[SKY_TARGET_ID_BYTES];
    uint64_t born_ms;
    uint64_t hash;
    uint32_t shard;
    struct sockaddr_in address;
    char address_text[SKY_HOST_ADDRESS_BYTES];
    sky_placer_t *placer;
    sky_sending_t *sending;
    sky_placer_action_t action; /**< that waits for its answer */
    uint16_t status;
    sky_buffer_t body;
    ev_timer timer; /**< wakes the placer, or bounds an order */
    sky_share_told_t shares[SHARES_MAX];
    uint32_t share_count;
    uint32_t granted; /**< requests let go since granted_ms, not told yet */
    uint64_t granted_ms;
    struct sky_owned *prev;
    struct sky_owned *next;
} sky_owned_t;

/** One target to be asked for an adapter. */
typedef struct {
    char target_id[SKY_TARGET_ID_BYTES];
    bool patient; /**< the adapter may wait there for a place */
} sky_placement_try_t;

/** A request, here or of another host, for an adapter. */
struct sky_placement_ask {
    sky_placement_t *placement;
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    sky_adapter_key_t key;
    uint32_t version;
    uint32_t urgency;
    uint64_t due_ms;
    sky_placement_try_t tries[HOMES + HOMES_PATIENT];
    uint32_t try_count;
    uint32_t try_next;
    const sky_placement_try_t *asked; /**< now */
    sky_owned_t *owned;               /**< waits for this target here */
    uint64_t held_ms; /**< the adapter is there since; waits for room */
    bool copy;        /**< ahead of need: no request waits */
    char copy_id[SKY_TARGET_ID_BYTES]; /**< target of a copy to go to, or "" */
    uint32_t copy_version;
    sky_host_call_t *call;
    ev_timer timer;
    uint32_t retry_after_ms;
    const char *reason;
    sky_placement_done_t done;
    void *context;
    sky_placement_ask_t *prev;
    sky_placement_ask_t *next;
};

/** An adapter at a target, as this host uses it. */
typedef struct {
    uint64_t target; /**< hash of its id */
    sky_adapter_key_t adapter;
    uint32_t count; /**< begun since the owner was told */
    uint32_t running;
    bool fresh; /**< the owner does not know that it runs */
} sky_use_t;

/** An adapter of which a copy was asked for. */
typedef struct {
    sky_adapter_key_t adapter;
    uint64_t at_ms;
    uint32_t count; /**< copies asked for since */
} sky_copied_t;

struct sky_placement {
    sky_placement_options_t options;
    sky_owned_t *owned;
    sky_placement_ask_t *asks;
    ev_timer reconcile;
    ev_timer share;
    ev_timer share_soon;
    sky_use_t uses[USES_MAX];
    uint32_t use_count;
    sky_copied_t copied[COPIES_REMEMBERED];
    uint32_t copies;         /**< asked for and not answered */
    uint64_t loads_since_ms; /**< begin of the window of loads of weights */
    uint32_t loads;          /**< ordered in it */
};

sky_owned_t *SkyOwned_Find(const sky_placement_t *placement, const char *id);
/** Lets the placer take its next step, unless one is under way. */
void SkyOwned_Step(sky_owned_t *owned);
/** Lets a target go; its asks move on to their next home. */
void SkyOwned_Free(sky_owned_t *owned);
/** @return the target as this host knows it, NULL if it is not listed. */
sky_fleet_target_t *SkyOwned_Target(const sky_owned_t *owned);
/** @return the service of a listed target that runs models, else NULL. */
const sky_service_t *
SkyOwned_EngineServiceOf(const sky_placement_t *placement,
                         const sky_fleet_target_t *target);
void SkyOwned_OnReconcile(struct ev_loop *loop, ev_timer *watcher, int events);

/** Ends or moves on the asks whose adapter came, or will not come. */
void SkyPlacement_CheckAsks(sky_owned_t *owned);
/** Ends an ask: the adapter is at a target. */
void SkyPlacement_Grant(sky_placement_ask_t *ask, const char *target_id,
                        uint32_t version);
/** An ask came to wait for its adapter: has copies loaded if many wait. */
void SkyCrowd_NoteWaiting(sky_placement_ask_t *ask);
/** @return whether a request may go to an owned target that holds its adapter
 *  now, or is to wait there for room or for a copy. */
bool SkyCrowd_LetGo(sky_placement_ask_t *ask);
/** A copy came: requests that wait for its adapter go there. */
void SkyCrowd_TakeCopy(sky_placement_t *placement,
                       const sky_placement_result_t *copy);
/** Moves on all asks that wait for a target. */
void SkyPlacement_MoveAsksOn(sky_owned_t *owned, const char *reason);

/** Tells this host's own part of the system what it knows as an owner. */
void SkyShare_WithSelf(sky_owned_t *owned);
/** @return requests of all hosts on an owned target, as far as they told. */
uint32_t SkyShare_Running(const sky_owned_t *owned);
/** Takes owners' words; @p context is the placement. */
void SkyShare_TakeAnswer(void *context, const json_t *body);
/** Another host tells its load on targets that this one owns. */
void SkyShare_OnCall(void *context, sky_visit_t *visit, const json_t *body);
void SkyShare_OnTimer(struct ev_loop *loop, ev_timer *watcher, int events);
void SkyShare_OnSoon(struct ev_loop *loop, ev_timer *watcher, int events);

#endif
