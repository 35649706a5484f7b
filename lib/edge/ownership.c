#include "edge/ownership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"

#define OWNER_GROUP "sky-targets"
#define SHARD_TOPIC_PREFIX "sky-shards-"
/** Together with the partitions of a topic this gives about twice as many
 *  shards as the largest deployment so far has hosts or targets. */
#define SHARD_TOPIC_COUNT 8
/** Multiple of the store's minimum TTL, so that one slow response to a join
 *  does not end the membership. */
#define MEMBERSHIP_TTL_FACTOR 1.6
#define JOINS_PER_TTL 3 /**< the membership survives two lost joins */
/** About as long as the other members take to notice the new generation. */
#define OWNERS_READ_DELAY_MS 60
#define OWNERS_READ_RETRY_MS 400
/** Interval at which a host that is not to read yet checks whether it may. */
#define START_CHECK_INTERVAL_MS 100
/** Time to the next try of a host that was never a member. */
#define FIRST_JOIN_RETRY_MS 150
/** A host that reads the store has usually sent the owners by then. */
#define FOLLOWER_OWNERS_READ_DELAY_MS 700
/** A shard whose previous owner has left the group gets its first order after
 *  this delay. By then the last order of the previous owner has arrived; the
 *  fence makes targets refuse a later one. */
#define LAST_ORDER_TRANSIT_MS 300
#define MEMBER_NAME_BYTES (SKY_HOST_ADDRESS_BYTES + SKY_HOST_NAME_BYTES + 40)
/** Former members that are kept; the oldest is displaced. */
#define FORMER_MEMBERS_MAX 32
/** Network partitions rarely last longer; a host that left the group for good
 *  is asked in vain for as long. */
#define FORMER_MEMBER_TTL_MS 300000
/** Control address, start time, failure domain, link bandwidth. */
#define MEMBER_NAME_FORMAT "%s#%llx#%s#%u"

typedef struct {
    bool is_owned; /**< by this host */
    uint64_t fence;
    uint64_t orders_allowed_at_ms;
    int16_t owner_index;      /**< index of a member; -1: not known */
    uint64_t owner_name_hash; /**< 0: not known */
    /** Of the member that owned the shard before this host; 0: not known. */
    uint64_t previous_owner_name_hash;
} shard_t;

/** A member of the group; the other fields are parsed from its name. */
typedef struct {
    char name[MEMBER_NAME_BYTES];
    char address[SKY_HOST_ADDRESS_BYTES]; /**< "": the name has no address */
    char domain[SKY_HOST_NAME_BYTES];
    uint32_t link_mbps;
} member_t;

typedef struct {
    member_t member;
    uint64_t left_ms;
} former_member_t;

struct sky_ownership {
    sky_ownership_options_t options;
    char member_name[MEMBER_NAME_BYTES]; /**< this host's name in the group */
    uint32_t ttl_ms;
    uint64_t generation;        /**< of the group, from the last join */
    uint64_t group_generation;  /**< the same as the store counts it */
    uint64_t group_era;         /**< era of that */
    uint64_t owners_generation; /**< of the group when the owners were read */
    bool join_pending;
    bool owners_read_pending;
    bool leave_requested; /**< leaves when a join next succeeds */
    bool has_left;
    bool is_away; /**< has left for a while */
    bool is_store_reader;
    bool all_shards_owned;           /**< as of the last read of the owners */
    uint32_t failed_joins;           /**< in a row */
    uint32_t joins;                  /**< that succeeded */
    uint64_t confirmed_join_sent_ms; /**< of the last successful join */
    uint64_t join_sent_ms;           /**< of the last join */
    uint64_t started_ms;
    ev_timer join_timer;
    ev_timer owners_timer;
    uint32_t shard_count;
    shard_t *shards;
    member_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t member_count;
    former_member_t former_members[FORMER_MEMBERS_MAX];
};

static void
start_timer(const sky_ownership_t *ownership, ev_timer *timer,
            uint32_t delay_ms)
{
    ev_timer_stop(ownership->options.loop, timer);
    ev_timer_set(timer, delay_ms / 1000.0, 0.0);
    ev_timer_start(ownership->options.loop, timer);
}

/* @return index of a partition's shard, UINT32_MAX if it belongs to none. */
static uint32_t
find_shard_index(const sky_ownership_t *ownership,
                 const sky_store_partition_t *partition)
{
    size_t prefix_length = strlen(SHARD_TOPIC_PREFIX);
    if (strncmp(partition->topic, SHARD_TOPIC_PREFIX, prefix_length) != 0) {
        return UINT32_MAX;
    }
    unsigned long topic = strtoul(partition->topic + prefix_length, NULL, 10);
    uint32_t partitions_per_topic =
        ownership->options.settings->store.partitions;
    if (topic >= SHARD_TOPIC_COUNT ||
        partition->part >= partitions_per_topic) {
        return UINT32_MAX;
    }
    return (uint32_t)topic * partitions_per_topic + partition->part;
}

/* Delay between the assignment of a shard and its first order. Where targets
 * check fences, a host that has just started need not wait for the end of a
 * lease: it cannot be an owner that lost the shard and regained it. */
static uint32_t
first_order_delay_ms(const sky_ownership_t *ownership)
{
    const sky_deployment_bounds_t *bounds =
        &ownership->options.settings->bounds;
    bool started_recently =
        SkyClock_NowMs() < ownership->started_ms + bounds->stabilization_ms;
    return bounds->targets_check_fence && started_recently
               ? LAST_ORDER_TRANSIT_MS
               : bounds->lease_ms;
}

static void
record_start_join(sky_ownership_t *ownership,
                  const sky_store_response_t *response, uint64_t passed)
{
    sky_start_join_t join = {.rank = UINT32_MAX,
                             .shard_count = ownership->shard_count,
                             .number = ++ownership->joins,
                             .passed = passed,
                             .now_ms = SkyClock_NowMs()};
    for (size_t i = 0; i < response->partition_count; i++) {
        uint32_t index = find_shard_index(ownership, &response->partitions[i]);
        if (index != UINT32_MAX) {
            uint32_t rank =
                SkyStartReads_GetShardRank(index, ownership->shard_count);
            join.owned_count++;
            join.rank = rank < join.rank ? rank : join.rank;
        }
    }
    SkyStartReads_RecordJoin(ownership->options.start, &join);
}

/* Applies the shards that the store assigned to this host. */
static void
apply_assigned_shards(sky_ownership_t *ownership,
                      const sky_store_response_t *response)
{
    uint64_t now_ms = SkyClock_NowMs();
    uint32_t delay_ms = first_order_delay_ms(ownership);
    uint32_t gained = 0;
    uint32_t lost = 0;
    bool *assigned = calloc(ownership->shard_count, sizeof *assigned);
    if (assigned == NULL) {
        return;
    }
    for (size_t i = 0; i < response->partition_count; i++) {
        uint32_t index = find_shard_index(ownership, &response->partitions[i]);
        if (index != UINT32_MAX) {
            assigned[index] = true;
        }
    }
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        shard_t *shard = &ownership->shards[i];
        if (assigned[i] && !shard->is_owned) {
            shard->fence = response->generation;
            shard->orders_allowed_at_ms = now_ms + delay_ms;
            shard->previous_owner_name_hash = shard->owner_name_hash;
            gained++;
        }
        lost += !assigned[i] && shard->is_owned ? 1 : 0;
        shard->is_owned = assigned[i];
    }
    free(assigned);
    if (gained + lost > 0) {
        SkyLog_Write(LOG_NOTICE, "shards_dealt",
                     "generation=%llu held=%zu gained=%u lost=%u "
                     "orders_in_ms=%u",
                     (unsigned long long)response->generation,
                     response->partition_count, gained, lost, delay_ms);
        ownership->options.on_change(ownership->options.context);
    }
}

static void
on_leave_response(void *context, const sky_store_response_t *response)
{
    (void)context;
    SkyLog_Write(LOG_NOTICE, "group_left", "answer=%s",
                 SkyStore_OutcomeName(response->outcome));
}

static void
leave_group(sky_ownership_t *ownership)
{
    ownership->has_left = true;
    ev_timer_stop(ownership->options.loop, &ownership->join_timer);
    ev_timer_stop(ownership->options.loop, &ownership->owners_timer);
    SkyStore_LeaveGroup(ownership->options.store, OWNER_GROUP,
                        ownership->member_name, on_leave_response, ownership);
}

/* Returns the time until the next join of a host that saw others come. */
static uint32_t
get_join_delay_ms(const sky_ownership_t *ownership, uint64_t passed,
                  uint32_t interval_ms)
{
    const sky_start_reads_t *start = ownership->options.start;
    uint32_t min_ms = OWNERS_READ_DELAY_MS / 2;
    return ownership->joins == 1
               ? SkyStartReads_GetSecondJoinDelayMs(start, min_ms)
               : SkyStartReads_GetJoinDelayMs(
                     SkyStartReads_TellsOthers(start, SkyClock_NowMs()),
                     passed, min_ms, interval_ms);
}

static void
on_join_response(void *context, const sky_store_response_t *response)
{
    sky_ownership_t *ownership = context;
    uint32_t interval_ms = ownership->ttl_ms / JOINS_PER_TTL;
    ownership->join_pending = false;
    if (ownership->has_left || ownership->is_away) {
        return;
    }
    start_timer(ownership, &ownership->join_timer, interval_ms);
    if (response->outcome != SKY_STORE_DONE) {
        if (ownership->joins == 0) {
            start_timer(ownership, &ownership->join_timer,
                        FIRST_JOIN_RETRY_MS +
                            ownership->options.start->spread_ms / 4);
        }
        if (ownership->failed_joins++ == 0) {
            SkyLog_Write(LOG_WARNING, "group_lost",
                         "reason=%s generation=%llu",
                         SkyStore_OutcomeName(response->outcome),
                         (unsigned long long)ownership->generation);
        }
        return;
    }
    if (ownership->failed_joins > 0) {
        SkyLog_Write(LOG_NOTICE, "group_regained",
                     "failures=%u generation=%llu", ownership->failed_joins,
                     (unsigned long long)response->generation);
    }
    ownership->failed_joins = 0;
    if (ownership->leave_requested) {
        leave_group(ownership);
        return;
    }
    ownership->confirmed_join_sent_ms = ownership->join_sent_ms;
    bool generation_changed = response->generation != ownership->generation;
    uint64_t passed = response->generation > ownership->generation
                          ? response->generation - ownership->generation
                          : 0;
    ownership->generation = response->generation;
    ownership->group_generation = response->group_generation;
    ownership->group_era = response->era;
    record_start_join(ownership, response, passed);
    apply_assigned_shards(ownership, response);
    if (generation_changed) {
        /* Joining again soon releases shards that moved to other members. */
        start_timer(ownership, &ownership->join_timer,
                    get_join_delay_ms(ownership, passed, interval_ms));
    }
    if (ownership->owners_generation != ownership->generation &&
        !ownership->owners_read_pending &&
        !ev_is_active(&ownership->owners_timer)) {
        start_timer(ownership, &ownership->owners_timer,
                    ownership->is_store_reader
                        ? OWNERS_READ_DELAY_MS
                        : FOLLOWER_OWNERS_READ_DELAY_MS);
    }
}

static void
on_join_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_ownership_t *ownership = watcher->data;
    if (ownership->join_pending || ownership->has_left || ownership->is_away) {
        return;
    }
    ownership->join_pending = true;
    ownership->join_sent_ms = SkyClock_NowMs();
    sky_store_join_options_t join = {
        .group = OWNER_GROUP,
        .member = ownership->member_name,
        .topic_prefix = SHARD_TOPIC_PREFIX,
        .topic_count = SHARD_TOPIC_COUNT,
        .ttl_ms = ownership->ttl_ms,
        .group_generation = ownership->group_generation,
        .era = ownership->group_era,
    };
    SkyStore_JoinGroup(ownership->options.store, &join, on_join_response,
                       ownership);
}

/* Copies the next field of a member's name. @return the rest of the name, or
 * NULL if the field does not fit or is the last one. */
static const char *
parse_name_field(const char *name, char *field, size_t capacity)
{
    size_t length = strcspn(name, "#");
    if (length >= capacity) {
        return NULL;
    }
    memcpy(field, name, length);
    field[length] = '\0';
    return name[length] == '#' ? name + length + 1 : NULL;
}

static void
parse_member_name(member_t *member, const char *name)
{
    char start_time[MEMBER_NAME_BYTES];
    *member = (member_t){0};
    snprintf(member->name, sizeof member->name, "%s", name);
    const char *rest =
        parse_name_field(name, member->address, sizeof member->address);
    rest = rest ? parse_name_field(rest, start_time, sizeof start_time) : NULL;
    rest = rest ? parse_name_field(rest, member->domain, sizeof member->domain)
                : NULL;
    member->link_mbps = rest ? (uint32_t)strtoul(rest, NULL, 10) : 0;
}

static bool
is_member_address(const sky_ownership_t *ownership, const char *address)
{
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        if (strcmp(ownership->members[i].address, address) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the entry of the address, else a free one or the oldest. */
static former_member_t *
choose_former_member(sky_ownership_t *ownership, const char *address)
{
    former_member_t *chosen = &ownership->former_members[0];
    for (uint32_t i = 0; i < FORMER_MEMBERS_MAX; i++) {
        former_member_t *former = &ownership->former_members[i];
        if (strcmp(former->member.address, address) == 0) {
            return former;
        }
        if (former->left_ms < chosen->left_ms) {
            chosen = former;
        }
    }
    return chosen;
}

/* Keeps the members, which are about to be replaced, as former ones. Those
 * that are members again are left out when hosts are listed. */
static void
clear_members(sky_ownership_t *ownership)
{
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        const member_t *member = &ownership->members[i];
        if (member->address[0] != '\0') {
            *choose_former_member(ownership, member->address) =
                (former_member_t){*member, SkyClock_NowMs()};
        }
    }
    ownership->member_count = 0;
}

/* @return index of the member, -1 if it can't be added. */
static int16_t
find_or_add_member(sky_ownership_t *ownership, const char *name)
{
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        if (strcmp(ownership->members[i].name, name) == 0) {
            return (int16_t)i;
        }
    }
    if (ownership->member_count >= SKY_GROUP_MEMBERS_MAX ||
        strlen(name) >= MEMBER_NAME_BYTES) {
        return -1;
    }
    parse_member_name(&ownership->members[ownership->member_count], name);
    return (int16_t)ownership->member_count++;
}

static uint64_t
hash_member_name(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

static bool
is_member(const sky_ownership_t *ownership, uint64_t name_hash)
{
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        if (hash_member_name(ownership->members[i].name) == name_hash) {
            return true;
        }
    }
    return false;
}

/* Shards whose previous owner has left the group need not wait for the end of
 * its lease. */
static void
shorten_order_delays(sky_ownership_t *ownership)
{
    uint64_t transit_end_ms = SkyClock_NowMs() + LAST_ORDER_TRANSIT_MS;
    if (!ownership->options.settings->bounds.targets_check_fence) {
        return;
    }
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        shard_t *shard = &ownership->shards[i];
        if (shard->is_owned && shard->orders_allowed_at_ms > transit_end_ms &&
            shard->previous_owner_name_hash != 0 &&
            !is_member(ownership, shard->previous_owner_name_hash)) {
            shard->orders_allowed_at_ms = transit_end_ms;
        }
    }
}

static void
on_owners_response(void *context, const sky_store_response_t *response)
{
    sky_ownership_t *ownership = context;
    ownership->owners_read_pending = false;
    if (response->outcome != SKY_STORE_DONE) {
        start_timer(ownership, &ownership->owners_timer, OWNERS_READ_RETRY_MS);
        return;
    }
    uint32_t owned_count = 0;
    clear_members(ownership);
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        ownership->shards[i].owner_index = -1;
    }
    for (size_t i = 0; i < response->partition_count; i++) {
        uint32_t index = find_shard_index(ownership, &response->partitions[i]);
        if (index != UINT32_MAX && response->partitions[i].member[0] != '\0') {
            ownership->shards[index].owner_index =
                find_or_add_member(ownership, response->partitions[i].member);
            ownership->shards[index].owner_name_hash =
                hash_member_name(response->partitions[i].member);
            owned_count++;
        }
    }
    shorten_order_delays(ownership);
    ownership->owners_generation =
        response->generation ? response->generation : ownership->generation;
    ownership->all_shards_owned = owned_count == ownership->shard_count;
    if (!ownership->all_shards_owned) {
        start_timer(ownership, &ownership->owners_timer, OWNERS_READ_RETRY_MS);
    }
    SkyLog_Write(LOG_NOTICE, "owners_read",
                 "generation=%llu members=%u owned=%u shards=%u",
                 (unsigned long long)ownership->generation,
                 ownership->member_count, owned_count, ownership->shard_count);
    ownership->options.on_change(ownership->options.context);
}

static void
on_owners_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_ownership_t *ownership = watcher->data;
    bool up_to_date = ownership->owners_generation >= ownership->generation &&
                      ownership->all_shards_owned;
    if (!SkyStartReads_MayRead(ownership->options.start, SkyClock_NowMs())) {
        start_timer(ownership, &ownership->owners_timer,
                    START_CHECK_INTERVAL_MS);
        return;
    }
    if (!ownership->owners_read_pending && !ownership->has_left &&
        !up_to_date) {
        ownership->owners_read_pending = true;
        SkyStore_ReadPartitionOwners(ownership->options.store, OWNER_GROUP,
                                     on_owners_response, ownership);
    }
}

void
SkyOwnership_SetStoreReader(sky_ownership_t *ownership, bool is_store_reader)
{
    ownership->is_store_reader = is_store_reader;
}

uint64_t
SkyOwnership_OwnersGeneration(const sky_ownership_t *ownership)
{
    return ownership->owners_generation;
}

json_t *
SkyOwnership_EncodeOwners(const sky_ownership_t *ownership,
                          uint64_t generation)
{
    if (ownership->owners_generation <= generation ||
        !ownership->all_shards_owned) {
        return NULL;
    }
    json_t *members = json_array();
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        json_array_append_new(members,
                              json_string(ownership->members[i].name));
    }
    json_t *owners = json_array();
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        json_array_append_new(owners,
                              json_integer(ownership->shards[i].owner_index));
    }
    return json_pack("{s:I, s:o, s:o}", "generation",
                     (json_int_t)ownership->owners_generation, "members",
                     members, "owners", owners);
}

/* Replaces the members by those a peer sent. @return false if one of them is
 * malformed. */
static bool
apply_members(sky_ownership_t *ownership, const json_t *members)
{
    size_t index;
    json_t *member;
    clear_members(ownership);
    json_array_foreach(members, index, member)
    {
        const char *name = json_string_value(member);
        if (name == NULL ||
            find_or_add_member(ownership, name) != (int16_t)index) {
            return false;
        }
    }
    return true;
}

static void
apply_owner(sky_ownership_t *ownership, uint32_t index, json_int_t owner_index)
{
    shard_t *shard = &ownership->shards[index];
    shard->owner_index = -1;
    if (owner_index < 0 ||
        owner_index >= (json_int_t)ownership->member_count) {
        return;
    }
    const char *name = ownership->members[owner_index].name;
    shard->owner_index = (int16_t)owner_index;
    shard->owner_name_hash = hash_member_name(name);
    if (shard->is_owned && strcmp(name, ownership->member_name) != 0) {
        shard->is_owned = false;
    }
}

void
SkyOwnership_ApplyOwners(sky_ownership_t *ownership, const json_t *owners)
{
    json_int_t generation = 0;
    json_t *members = NULL;
    json_t *owner_indices = NULL;
    if (json_unpack((json_t *)owners, "{s:I, s:o, s:o}", "generation",
                    &generation, "members", &members, "owners",
                    &owner_indices) != 0 ||
        (uint64_t)generation <= ownership->owners_generation ||
        json_array_size(owner_indices) != ownership->shard_count ||
        !apply_members(ownership, members)) {
        return;
    }
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        apply_owner(ownership, i,
                    json_integer_value(json_array_get(owner_indices, i)));
    }
    ownership->owners_generation = (uint64_t)generation;
    ownership->all_shards_owned = true;
    SkyLog_Write(LOG_NOTICE, "owners_told", "generation=%llu members=%u",
                 (unsigned long long)generation, ownership->member_count);
    shorten_order_delays(ownership);
    ownership->options.on_change(ownership->options.context);
}

uint32_t
SkyOwnership_GetShard(const sky_ownership_t *ownership, uint64_t target_hash)
{
    return (uint32_t)(target_hash % ownership->shard_count);
}

bool
SkyOwnership_IsOwner(const sky_ownership_t *ownership, uint32_t shard)
{
    return !ownership->has_left && ownership->shards[shard].is_owned;
}

/* Where targets do not check fences, only elapsed time prevents two owners
 * from sending orders for one shard. */
static bool
is_lease_current(const sky_ownership_t *ownership)
{
    const sky_deployment_bounds_t *bounds =
        &ownership->options.settings->bounds;
    return bounds->targets_check_fence ||
           SkyClock_NowMs() <
               ownership->confirmed_join_sent_ms + ownership->ttl_ms;
}

bool
SkyOwnership_CanSendOrders(const sky_ownership_t *ownership, uint32_t shard,
                           uint64_t *fence)
{
    const shard_t *state = &ownership->shards[shard];
    *fence = state->fence;
    return SkyOwnership_IsOwner(ownership, shard) &&
           state->orders_allowed_at_ms <= SkyClock_NowMs() &&
           is_lease_current(ownership);
}

void
SkyOwnership_HandleFencedOrder(sky_ownership_t *ownership, uint32_t shard)
{
    /* Either another host owned the shard between two joins of this one, or
     * it owns the shard now. The next join tells which. */
    SkyLog_Write(LOG_WARNING, "fenced", "shard=%u fence=%llu", shard,
                 (unsigned long long)ownership->shards[shard].fence);
    ownership->shards[shard].is_owned = false;
}

static void
release_shards(sky_ownership_t *ownership)
{
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        ownership->shards[i].is_owned = false;
    }
    ownership->options.on_change(ownership->options.context);
}

void
SkyOwnership_HandleSuspension(sky_ownership_t *ownership)
{
    release_shards(ownership);
    start_timer(ownership, &ownership->join_timer, 0);
}

void
SkyOwnership_SetAway(sky_ownership_t *ownership, bool is_away)
{
    if (ownership->has_left || ownership->is_away == is_away) {
        return;
    }
    ownership->is_away = is_away;
    SkyLog_Write(LOG_NOTICE, "targets_handed_over", "away=%d generation=%llu",
                 is_away, (unsigned long long)ownership->generation);
    if (!is_away) {
        start_timer(ownership, &ownership->join_timer, 0);
        return;
    }
    ev_timer_stop(ownership->options.loop, &ownership->join_timer);
    release_shards(ownership);
    SkyStore_LeaveGroup(ownership->options.store, OWNER_GROUP,
                        ownership->member_name, on_leave_response, ownership);
}

void
SkyOwnership_LeaveGroup(sky_ownership_t *ownership)
{
    if (ownership->has_left || ownership->leave_requested) {
        return;
    }
    ownership->leave_requested = true;
    if (ownership->failed_joins == 0) {
        leave_group(ownership);
        return;
    }
    /* The store assigns the shards to no other host while it is unreachable,
     * so this host continues to use them. */
    SkyLog_Write(LOG_NOTICE, "group_leave_waits", "failures=%u",
                 ownership->failed_joins);
}

static const char *
get_member_address(const member_t *member)
{
    return member->address[0] != '\0' ? member->address : NULL;
}

uint32_t
SkyOwnership_ListMembers(const sky_ownership_t *ownership,
                         sky_fanout_host_t *members, uint32_t max_count)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < ownership->member_count && count < max_count;
         i++) {
        const member_t *member = &ownership->members[i];
        if (member->address[0] != '\0') {
            members[count++] =
                (sky_fanout_host_t){.address = member->address,
                                    .domain = member->domain,
                                    .link_mbps = member->link_mbps};
        }
    }
    return count;
}

bool
SkyOwnership_IsChosen(const sky_ownership_t *ownership, const char *address,
                      uint64_t seed)
{
    const char *chosen = "";
    uint64_t highest = 0;
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        const char *member = ownership->members[i].address;
        uint64_t weight = XXH3_64bits_withSeed(member, strlen(member), seed);
        if (member[0] != '\0' && weight >= highest) {
            highest = weight;
            chosen = member;
        }
    }
    return strcmp(chosen, address) == 0;
}

uint32_t
SkyOwnership_ListHosts(const sky_ownership_t *ownership,
                       sky_fanout_host_t *hosts, uint32_t max_count)
{
    uint64_t now_ms = SkyClock_NowMs();
    uint32_t count = SkyOwnership_ListMembers(ownership, hosts, max_count);
    for (uint32_t i = 0; i < FORMER_MEMBERS_MAX && count < max_count; i++) {
        const former_member_t *former = &ownership->former_members[i];
        const member_t *member = &former->member;
        if (member->address[0] != '\0' &&
            now_ms < former->left_ms + FORMER_MEMBER_TTL_MS &&
            !is_member_address(ownership, member->address)) {
            hosts[count++] = (sky_fanout_host_t){
                member->address, member->domain, member->link_mbps};
        }
    }
    return count;
}

const char *
SkyOwnership_FindOwnerAddress(const sky_ownership_t *ownership, uint32_t shard)
{
    int16_t owner_index = ownership->shards[shard].owner_index;
    return owner_index >= 0
               ? get_member_address(&ownership->members[owner_index])
               : NULL;
}

uint32_t
SkyOwnership_GetRank(const sky_ownership_t *ownership, uint32_t *count)
{
    const char *own_address = ownership->options.settings->control;
    uint32_t rank = 0;
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        rank += strcmp(ownership->members[i].address, own_address) < 0;
    }
    *count = ownership->member_count +
             (is_member_address(ownership, own_address) ? 0 : 1);
    return rank;
}

uint32_t
SkyOwnership_HostCount(const sky_ownership_t *ownership)
{
    uint32_t seed_count = ownership->options.settings->seed_count;
    uint32_t member_count = ownership->member_count;
    return member_count > seed_count ? member_count
                                     : (seed_count > 0 ? seed_count : 1);
}

const char *
SkyOwnership_ChoosePeerAddress(const sky_ownership_t *ownership, uint32_t turn)
{
    const sky_host_settings_t *settings = ownership->options.settings;
    uint32_t candidate_count = ownership->member_count + settings->seed_count;
    for (uint32_t i = 0; i < candidate_count; i++) {
        uint32_t index = (turn + i) % candidate_count;
        const char *address =
            index < ownership->member_count
                ? get_member_address(&ownership->members[index])
                : settings->seeds[index - ownership->member_count];
        if (address != NULL && strcmp(address, settings->control) != 0) {
            return address;
        }
    }
    return NULL;
}

sky_result_t
SkyOwnership_Create(const sky_ownership_options_t *options,
                    sky_ownership_t **ownership)
{
    sky_ownership_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->started_ms = SkyClock_NowMs();
    self->is_store_reader = true;
    self->ttl_ms = (uint32_t)(options->settings->store.min_membership_ttl_ms *
                              MEMBERSHIP_TTL_FACTOR);
    self->shard_count =
        SHARD_TOPIC_COUNT * options->settings->store.partitions;
    self->shards = calloc(self->shard_count, sizeof *self->shards);
    if (self->shards == NULL) {
        free(self);
        return SKY_E_MEMORY;
    }
    for (uint32_t i = 0; i < self->shard_count; i++) {
        self->shards[i].owner_index = -1;
    }
    snprintf(self->member_name, sizeof self->member_name, MEMBER_NAME_FORMAT,
             options->settings->control, (unsigned long long)SkyClock_WallMs(),
             options->settings->domain, options->settings->link_mbps);
    ev_init(&self->join_timer, on_join_timer);
    ev_init(&self->owners_timer, on_owners_timer);
    self->join_timer.data = self;
    self->owners_timer.data = self;
    start_timer(self, &self->join_timer, 0);
    *ownership = self;
    return SKY_OK;
}

void
SkyOwnership_Free(sky_ownership_t *ownership)
{
    if (ownership == NULL) {
        return;
    }
    ev_timer_stop(ownership->options.loop, &ownership->join_timer);
    ev_timer_stop(ownership->options.loop, &ownership->owners_timer);
    free(ownership->shards);
    free(ownership);
}
