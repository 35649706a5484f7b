#include "decide/quota_credit.h"

#include <math.h>

#include "core/time_left.h"

#define MS_PER_S 1000.0
/** Credit to hold, as the demand of this time: until the next call. */
#define HOLD_S 0.5
#define DEMAND_TIME_CONSTANT_MS 1000.0
/** The credit of all hosts together, as a part of the room. */
#define HELD_ROOM_FRACTION 0.4
/** An owner may still count this host for SKY_QUOTA_VALID_MS after the last
 *  call; the shares of all hosts use no more of the room than this
 *  meanwhile. */
#define OVERLAP_ROOM_FRACTION 0.2
/** Without an owner a host uses its equal share this long. */
#define SHARE_MS 2000
#define LATER_SHARE_FRACTION 0.1
/** An owner that did not respond is not asked for this time. */
#define OWNER_SILENT_MS 1000
/** Calls to the current owner that may end without a response before another
 *  one is asked: a change costs this host a second without credit. */
#define TIMEOUTS_MAX 2
#define REFUSAL_TTL_MS 100
/** Credit that was charged earlier goes back to the owner, whose bucket cuts
 *  it: requests that waited seconds for a target would otherwise move credit
 *  of an earlier window into this one. */
#define REFUND_HELD_MS 250
/** Numbers of hosts that owners told are kept so long. */
#define HOSTS_TTL_MS 30000
#define WAIT_MAX_MS 60000.0
#define WAIT_SPREAD_DIVISOR 4

void
SkyQuotaCredit_Init(sky_quota_credit_t *credit, const sky_quota_terms_t *terms,
                    uint64_t now_ms)
{
    *credit = (sky_quota_credit_t){.terms = *terms,
                                   .host_count = 1,
                                   .created_ms = now_ms,
                                   .demand_ms = now_ms,
                                   .share_ms = now_ms};
}

void
SkyQuotaCredit_SetTerms(sky_quota_credit_t *credit,
                        const sky_quota_terms_t *terms)
{
    credit->terms = *terms;
    credit->left = fmin(credit->left,
                        HELD_ROOM_FRACTION * terms->room / credit->host_count);
    credit->share = 0.0;
    credit->refused_until_ms = 0;
}

static void
expire(sky_quota_credit_t *credit, uint64_t now_ms)
{
    if (now_ms >= credit->valid_until_ms) {
        credit->left = 0.0;
        credit->returned = 0.0;
    }
}

static void
update_demand(sky_quota_credit_t *credit, uint64_t now_ms)
{
    if (now_ms > credit->demand_ms) {
        credit->demand_per_s *= exp(-(double)(now_ms - credit->demand_ms) /
                                    DEMAND_TIME_CONSTANT_MS);
        credit->demand_ms = now_ms;
    }
}

void
SkyQuotaCredit_RecordDemand(sky_quota_credit_t *credit, uint64_t cost,
                            uint64_t now_ms)
{
    update_demand(credit, now_ms);
    credit->demand_per_s += (double)cost * MS_PER_S / DEMAND_TIME_CONSTANT_MS;
}

sky_quota_result_t
SkyQuotaCredit_Acquire(sky_quota_credit_t *credit, uint64_t cost,
                       uint64_t now_ms, uint32_t *wait_ms)
{
    expire(credit, now_ms);
    if (credit->left >= (double)cost) {
        credit->left -= (double)cost;
        credit->used += (double)cost;
        return SKY_QUOTA_GRANTED;
    }
    if (now_ms < credit->refused_until_ms &&
        (double)cost >= credit->refused_cost) {
        *wait_ms = SkyTime_LeftMs32(credit->refused_wait_until_ms, now_ms);
        return SKY_QUOTA_DENIED;
    }
    return SKY_QUOTA_ASK;
}

/* Units that this host may have used without an owner by a time after the last
 * response. */
static double
get_share_until(const sky_quota_credit_t *credit, double silent_ms)
{
    double overlap_ms = SKY_QUOTA_VALID_MS + SKY_QUOTA_CALL_TIMEOUT_MS;
    double rate = credit->terms.rate_per_s;
    double overlap_rate =
        fmin(rate, OVERLAP_ROOM_FRACTION * credit->terms.room * MS_PER_S /
                       overlap_ms);
    double units = overlap_rate * fmin(silent_ms, overlap_ms);
    units += rate * fmax(0.0, fmin(silent_ms, SHARE_MS) - overlap_ms);
    units += LATER_SHARE_FRACTION * rate * fmax(0.0, silent_ms - SHARE_MS);
    return units / MS_PER_S / credit->host_count;
}

bool
SkyQuotaCredit_AcquireShare(sky_quota_credit_t *credit, uint64_t cost,
                            uint64_t now_ms, uint32_t *wait_ms)
{
    uint64_t since_ms =
        credit->responded_ms > 0 ? credit->responded_ms : credit->created_ms;
    double cap =
        (credit->terms.rate_per_s + credit->terms.burst) / credit->host_count;
    double before =
        get_share_until(credit, (double)(credit->share_ms - since_ms));
    double after = get_share_until(credit, (double)(now_ms - since_ms));
    credit->share = fmin(cap, credit->share + after - before);
    credit->share_ms = now_ms;
    if (now_ms >= since_ms + SKY_QUOTA_VALID_MS) {
        credit->elsewhere_ms = now_ms; /* no owner may count this host */
    }
    if (credit->share >= (double)cost) {
        credit->share -= (double)cost;
        return true;
    }
    double rate =
        LATER_SHARE_FRACTION * credit->terms.rate_per_s / credit->host_count;
    double missing = (double)cost - credit->share;
    *wait_ms = (uint32_t)(rate > 0.0 ? fmin(ceil(missing / rate * MS_PER_S),
                                            WAIT_MAX_MS)
                                     : WAIT_MAX_MS);
    return false;
}

uint32_t
SkyQuota_SpreadWait(uint32_t wait_ms, uint64_t hash)
{
    uint64_t longer_ms = hash % (wait_ms / WAIT_SPREAD_DIVISOR + 1);
    return (uint32_t)fmin((double)wait_ms + (double)longer_ms, UINT32_MAX);
}

void
SkyQuotaCredit_Refund(sky_quota_credit_t *credit, uint64_t cost,
                      uint64_t charged_ms, uint64_t now_ms)
{
    expire(credit, now_ms);
    if (now_ms >= credit->valid_until_ms) {
        return;
    }
    if (now_ms <= charged_ms + REFUND_HELD_MS) {
        credit->left += (double)cost;
    }
    else {
        credit->returned += (double)cost;
    }
}

void
SkyQuotaCredit_RecordRefusal(sky_quota_credit_t *credit, uint64_t cost,
                             uint32_t wait_ms, uint64_t now_ms)
{
    uint32_t ttl_ms = wait_ms < REFUSAL_TTL_MS ? wait_ms : REFUSAL_TTL_MS;
    bool has_other = now_ms < credit->refused_until_ms;
    credit->refused_cost =
        has_other ? fmin(credit->refused_cost, (double)cost) : (double)cost;
    credit->refused_until_ms = now_ms + ttl_ms;
    credit->refused_wait_until_ms = now_ms + wait_ms;
}

uint32_t
SkyQuotaCredit_ChooseOwner(const sky_quota_credit_t *credit,
                           const uint64_t *owners, uint32_t count,
                           uint64_t now_ms)
{
    for (uint32_t i = 0; i < count; i++) {
        bool is_silent = false;
        for (uint32_t j = 0; j < SKY_QUOTA_OWNERS_MAX; j++) {
            is_silent = is_silent || (credit->silent[j].owner == owners[i] &&
                                      now_ms < credit->silent[j].until_ms);
        }
        if (!is_silent) {
            return i;
        }
    }
    return UINT32_MAX;
}

void
SkyQuotaCredit_BeginCall(sky_quota_credit_t *credit, uint64_t owner,
                         uint64_t cost, uint64_t now_ms, sky_quota_ask_t *ask)
{
    expire(credit, now_ms);
    update_demand(credit, now_ms);
    double wanted = floor(credit->demand_per_s * HOLD_S);
    double wait_for = fmax(wanted, (double)cost);
    if (credit->left > wait_for) {
        credit->returned += credit->left - wait_for;
        credit->left = wait_for;
    }
    uint64_t elsewhere_ms = credit->elsewhere_ms;
    if (credit->owner != owner && credit->owner != 0 &&
        credit->called_ms > elsewhere_ms) {
        elsewhere_ms = credit->called_ms;
    }
    ask->elsewhere_ms =
        elsewhere_ms > 0 ? (int64_t)(now_ms - elsewhere_ms) : -1;
    ask->used = (uint64_t)credit->used;
    ask->left = (uint64_t)ceil(credit->left);
    ask->returned = (uint64_t)credit->returned;
    ask->wanted = (uint64_t)wanted;
    ask->needed = (double)cost > credit->left
                      ? (uint64_t)ceil((double)cost - credit->left)
                      : 0;
    ask->host_count = credit->host_count;
    /* Given back at most once, also if the response is lost. */
    credit->returned = 0.0;
    credit->used = 0.0;
    if (credit->owner == owner) {
        credit->called_ms = now_ms;
    }
}

void
SkyQuotaCredit_ApplyGrant(sky_quota_credit_t *credit, uint64_t owner,
                          const sky_quota_grant_t *grant, uint64_t sent_ms,
                          uint64_t now_ms)
{
    if (now_ms >= sent_ms + SKY_QUOTA_VALID_MS) {
        return; /* this host was suspended meanwhile */
    }
    expire(credit, now_ms);
    if (credit->owner != owner) {
        if (credit->owner != 0 && credit->called_ms > credit->elsewhere_ms) {
            credit->elsewhere_ms = credit->called_ms;
        }
        credit->owner = owner;
        credit->owner_since_ms = now_ms;
        credit->called_ms = sent_ms;
    }
    credit->responded_ms = now_ms;
    credit->timeout_count = 0;
    credit->share = 0.0;
    credit->share_ms = now_ms;
    credit->left += (double)grant->granted;
    credit->valid_until_ms = sent_ms + SKY_QUOTA_VALID_MS;
    for (uint32_t i = 0; i < SKY_QUOTA_OWNERS_MAX; i++) {
        if (credit->silent[i].owner == owner) {
            credit->silent[i].owner = 0;
        }
    }
}

void
SkyQuotaCredit_RecordSilence(sky_quota_credit_t *credit, uint64_t owner,
                             uint64_t now_ms)
{
    credit->timeout_count++;
    if (owner == credit->owner && credit->timeout_count < TIMEOUTS_MAX) {
        return;
    }
    credit->timeout_count = 0;
    uint32_t slot = 0;
    for (uint32_t i = 0; i < SKY_QUOTA_OWNERS_MAX; i++) {
        if (credit->silent[i].owner == owner) {
            slot = i;
            break;
        }
        if (credit->silent[i].until_ms < credit->silent[slot].until_ms) {
            slot = i;
        }
    }
    credit->silent[slot].owner = owner;
    credit->silent[slot].until_ms = now_ms + OWNER_SILENT_MS;
}

bool
SkyQuotaCredit_IsUnsettled(const sky_quota_credit_t *credit, uint64_t now_ms)
{
    uint64_t since_ms =
        credit->owner != 0 ? credit->owner_since_ms : credit->created_ms;
    return now_ms < since_ms + SKY_QUOTA_SETTLE_MS;
}

void
SkyQuotaHosts_Record(sky_quota_hosts_t *hosts, uint64_t owner, uint32_t count,
                     uint64_t now_ms)
{
    uint32_t slot = 0;
    for (uint32_t i = 0; i < SKY_QUOTA_OWNERS_MAX; i++) {
        if (hosts->told[i].owner == owner) {
            slot = i;
            break;
        }
        if (hosts->told[i].at_ms < hosts->told[slot].at_ms) {
            slot = i;
        }
    }
    hosts->told[slot].owner = owner;
    hosts->told[slot].count = count;
    hosts->told[slot].at_ms = now_ms;
}

uint32_t
SkyQuotaHosts_Count(const sky_quota_hosts_t *hosts, uint32_t member_count,
                    uint64_t except, uint64_t now_ms)
{
    uint32_t count = member_count > 0 ? member_count : 1;
    for (uint32_t i = 0; i < SKY_QUOTA_OWNERS_MAX; i++) {
        if (hosts->told[i].owner != 0 && hosts->told[i].owner != except &&
            now_ms < hosts->told[i].at_ms + HOSTS_TTL_MS &&
            hosts->told[i].count > count) {
            count = hosts->told[i].count;
        }
    }
    return count;
}
