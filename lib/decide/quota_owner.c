#include "decide/quota_owner.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "core/time_left.h"

#define MS_PER_S 1000.0
/** Credit that all hosts together may hold, as a part of the room. */
#define HELD_ROOM_FRACTION 0.4
/** What the bucket holds beyond the burst, as a part of the room: calls that
 *  are on their way cost a caller within the quota nothing. */
#define BUCKET_ROOM_FRACTION 0.2
/** Below this part of the bucket, credit goes only to requests that wait. */
#define HOLD_LEVEL_FRACTION 0.5
/** The caller's call may have reached the previous owner this much later than
 *  it was sent: the timeout of a call. */
#define COUNT_DELAY_MS 150
/** A number of hosts that callers state is kept so long. */
#define STATED_TTL_MS 30000
/** Waits are promised no further ahead: few callers return later. */
#define PROMISE_MAX_MS 8000.0
#define WAIT_MAX_MS 60000.0
/** All hosts are gone through no more often than this, as each of them calls
 *  2.5 times a second: the cost would grow with their number squared. */
#define SWEEP_INTERVAL_MS 10

typedef struct {
    uint64_t name_hash;
    uint64_t since_ms;         /**< first call */
    uint64_t heard_ms;         /**< last call */
    uint64_t refilled_ms;      /**< the bucket was refilled for it until */
    uint64_t counted_until_ms; /**< 0: counted by another owner */
    bool is_counted;           /**< in heard_count */
    double held;               /**< credit that it may hold */
    double issued;             /**< granted and not yet returned */
    UT_hash_handle hh;
} host_t;

struct sky_quota_owner {
    sky_quota_terms_t terms;
    double level;
    uint64_t promised_until_ms; /**< the refill is promised until then */
    uint32_t all_hosts;         /**< N of the design */
    uint32_t heard_count;       /**< hosts that are counted */
    double held_total;
    uint64_t swept_ms;
    /** Greatest numbers stated in this period and the one before. */
    uint32_t stated[2];
    uint64_t stated_since_ms;
    host_t *hosts;
};

sky_quota_terms_t
SkyQuotaTerms_Make(const sky_quota_t *quota, uint32_t window_ms,
                   double overshoot, uint64_t slack)
{
    double allowed = quota->rate_per_s * window_ms / MS_PER_S + quota->burst;
    if (allowed <= 0.0) {
        return (sky_quota_terms_t){0.0, 0.0, 0.0}; /* admits nothing */
    }
    return (sky_quota_terms_t){quota->rate_per_s, quota->burst,
                               overshoot * allowed + (double)slack};
}

sky_result_t
SkyQuotaOwner_Create(const sky_quota_terms_t *terms, sky_quota_owner_t **owner)
{
    sky_quota_owner_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->terms = *terms;
    self->all_hosts = 1;
    *owner = self;
    return SKY_OK;
}

void
SkyQuotaOwner_Free(sky_quota_owner_t *owner)
{
    if (owner == NULL) {
        return;
    }
    host_t *host;
    host_t *next;
    HASH_ITER(hh, owner->hosts, host, next)
    {
        HASH_DEL(owner->hosts, host);
        free(host);
    }
    free(owner);
}

/* Part of all hosts that this owner stands for. */
static double
get_proportion(const sky_quota_owner_t *owner)
{
    return (double)owner->heard_count / owner->all_hosts;
}

static double
get_size(const sky_quota_owner_t *owner)
{
    return (owner->terms.burst + BUCKET_ROOM_FRACTION * owner->terms.room) *
           get_proportion(owner);
}

/* Refills the bucket for the time in which each host was counted, and forgets
 * hosts that were not heard since. */
static void
sweep(sky_quota_owner_t *owner, uint64_t now_ms)
{
    host_t *host;
    host_t *next;
    double host_rate = owner->terms.rate_per_s / owner->all_hosts;
    owner->swept_ms = now_ms;
    owner->heard_count = 0;
    owner->held_total = 0.0;
    HASH_ITER(hh, owner->hosts, host, next)
    {
        uint64_t until_ms =
            host->counted_until_ms < now_ms ? host->counted_until_ms : now_ms;
        if (until_ms > host->refilled_ms) {
            owner->level +=
                host_rate * (double)(until_ms - host->refilled_ms) / MS_PER_S;
            host->refilled_ms = until_ms;
        }
        if (now_ms > host->heard_ms + SKY_QUOTA_VALID_MS) {
            HASH_DEL(owner->hosts, host);
            free(host);
            continue;
        }
        host->is_counted = host->counted_until_ms >= now_ms;
        owner->heard_count += host->is_counted;
        owner->held_total += host->held;
    }
    owner->level = fmin(owner->level, get_size(owner));
}

/* Sweeps if the last time was long enough ago. */
static void
update(sky_quota_owner_t *owner, uint64_t now_ms)
{
    if (now_ms >= owner->swept_ms + SWEEP_INTERVAL_MS) {
        sweep(owner, now_ms);
    }
}

void
SkyQuotaOwner_SetTerms(sky_quota_owner_t *owner,
                       const sky_quota_terms_t *terms, uint64_t now_ms)
{
    sweep(owner, now_ms);
    owner->terms = *terms;
    owner->promised_until_ms = 0;
    owner->level = fmin(owner->level, get_size(owner));
}

/* Applies the numbers of hosts that this owner and its callers know. */
static void
update_all_hosts(sky_quota_owner_t *owner, uint32_t stated,
                 uint32_t member_count, uint64_t now_ms)
{
    if (now_ms >= owner->stated_since_ms + STATED_TTL_MS) {
        owner->stated[1] = owner->stated[0];
        owner->stated[0] = 0;
        owner->stated_since_ms = now_ms;
    }
    if (stated > owner->stated[0]) {
        owner->stated[0] = stated;
    }
    uint32_t count = HASH_COUNT(owner->hosts);
    count = member_count > count ? member_count : count;
    count = owner->stated[0] > count ? owner->stated[0] : count;
    count = owner->stated[1] > count ? owner->stated[1] : count;
    owner->all_hosts = count > 0 ? count : 1;
}

static host_t *
find_or_add_host(sky_quota_owner_t *owner, uint64_t name_hash, uint64_t now_ms)
{
    host_t *host;
    HASH_FIND(hh, owner->hosts, &name_hash, sizeof name_hash, host);
    if (host == NULL) {
        host = calloc(1, sizeof *host);
        if (host == NULL) {
            return NULL;
        }
        host->name_hash = name_hash;
        host->since_ms = now_ms;
        host->refilled_ms = now_ms;
        HASH_ADD(hh, owner->hosts, name_hash, sizeof host->name_hash, host);
    }
    return host;
}

static void
count_host(sky_quota_owner_t *owner, host_t *host, int64_t elsewhere_ms,
           uint64_t now_ms)
{
    bool is_elsewhere = elsewhere_ms >= 0 &&
                        elsewhere_ms < SKY_QUOTA_VALID_MS + COUNT_DELAY_MS;
    host->heard_ms = now_ms;
    owner->heard_count -= host->is_counted;
    host->is_counted = !is_elsewhere;
    owner->heard_count += host->is_counted;
    if (is_elsewhere) {
        host->counted_until_ms = 0;
        return;
    }
    if (host->counted_until_ms < now_ms) {
        host->refilled_ms = now_ms;
    }
    host->counted_until_ms = now_ms + SKY_QUOTA_VALID_MS;
}

static bool
admits_nothing(const sky_quota_owner_t *owner)
{
    return owner->terms.rate_per_s <= 0.0 && owner->terms.burst <= 0.0;
}

/* Time until the needed amount can be granted, after what was promised. It is
 * promised unless the host will ask for the same request again. */
static uint32_t
promise_wait(sky_quota_owner_t *owner, const host_t *host, double needed,
             uint64_t now_ms)
{
    double rate = owner->terms.rate_per_s * get_proportion(owner);
    if (rate <= 0.0) {
        return owner->terms.rate_per_s > 0.0 ? SKY_QUOTA_VALID_MS
                                             : (uint32_t)WAIT_MAX_MS;
    }
    double missing = owner->promised_until_ms > now_ms
                         ? needed
                         : fmin(needed, get_size(owner)) - owner->level;
    double start_ms = (double)SkyTime_LeftMs(owner->promised_until_ms, now_ms);
    double wait_ms = fmin(start_ms + missing / rate * MS_PER_S, WAIT_MAX_MS);
    wait_ms = fmax(ceil(wait_ms), 1.0);
    if (now_ms >= host->since_ms + SKY_QUOTA_SETTLE_MS) {
        owner->promised_until_ms =
            now_ms + (uint64_t)fmin(wait_ms, PROMISE_MAX_MS);
    }
    return (uint32_t)wait_ms;
}

sky_result_t
SkyQuotaOwner_HandleAsk(sky_quota_owner_t *owner, const sky_quota_ask_t *ask,
                        uint32_t member_count, uint64_t now_ms,
                        sky_quota_grant_t *grant)
{
    *grant = (sky_quota_grant_t){0, SKY_QUOTA_VALID_MS};
    update(owner, now_ms);
    host_t *host = find_or_add_host(owner, ask->host, now_ms);
    if (host == NULL) {
        return SKY_E_MEMORY;
    }
    count_host(owner, host, ask->elsewhere_ms, now_ms);
    update_all_hosts(owner, ask->host_count, member_count, now_ms);
    /* Credit of another owner, and what is returned twice, is not known. */
    double returned = fmin((double)ask->returned, host->issued);
    host->issued -= returned;
    owner->level += returned;
    owner->held_total += (double)ask->left - host->held;
    host->held = (double)ask->left;
    double size = get_size(owner);
    owner->level = fmin(owner->level, size);
    double needed = (double)ask->needed;
    grant->wait_ms = 0;
    if (needed > 0.0 && (owner->heard_count == 0 || admits_nothing(owner) ||
                         owner->level < fmin(needed, size))) {
        grant->wait_ms = promise_wait(owner, host, needed, now_ms);
        return SKY_OK;
    }
    owner->level -= needed;
    double held_max =
        HELD_ROOM_FRACTION * owner->terms.room * get_proportion(owner);
    double hold = fmin((double)ask->wanted - (double)ask->left,
                       held_max - owner->held_total);
    hold = floor(
        fmax(0.0, fmin(hold, owner->level - HOLD_LEVEL_FRACTION * size)));
    owner->level -= hold;
    host->held += hold;
    owner->held_total += hold;
    host->issued += needed + hold;
    grant->granted = ask->needed + (uint64_t)hold;
    return SKY_OK;
}

uint32_t
SkyQuotaOwner_CountHosts(sky_quota_owner_t *owner, uint32_t member_count,
                         uint64_t now_ms)
{
    update(owner, now_ms);
    uint32_t heard = HASH_COUNT(owner->hosts);
    return heard > member_count ? heard : member_count;
}

double
SkyQuotaOwner_GetLevel(const sky_quota_owner_t *owner)
{
    return owner->level;
}
