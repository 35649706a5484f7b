#include "edge/ownership.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"

#define GROUP "sky-targets"
#define TOPIC_PREFIX "sky-shards-"
/** Topics of the group: with the store's partitions a topic, about twice the
 *  hosts or targets of the largest deployment run so far. */
#define TOPIC_COUNT 8
/** Membership lasts a multiple of the store's shortest one, so that a slow
 *  answer does not cost it. */
#define TTL_FACTOR 1.6
#define JOINS_PER_TTL 3    /**< two may be lost before membership is */
#define OWNERS_DELAY_MS 60 /**< others learn of a change about as late */
#define OWNERS_RETRY_MS 400
#define OWNERS_PEERS_MS 700 /**< a peer that reads them has told by then */
/** Orders begin this long after a shard came from a host that is gone: its
 * last order is on its way no longer, and the fencing token covers the rest.
 */
#define SETTLE_MS 300
#define MEMBER_BYTES (SKY_HOST_ADDRESS_BYTES + SKY_HOST_NAME_BYTES + 40)
#define MEMBER_FORMAT "%s#%llx#%s#%u" /**< address, start, domain, link */

typedef struct {
    bool mine;
    uint64_t fence;
    uint64_t order_at_ms; /**< not before */
    int16_t owner;        /**< index of a member, -1: not known */
    uint64_t owner_hash;  /**< of that member's name, 0: not known */
    uint64_t before_hash; /**< of the member that owned it before this host */
} shard_t;

/** A member of the group, and what its name tells. */
typedef struct {
    char name[MEMBER_BYTES];
    char address[SKY_HOST_ADDRESS_BYTES]; /**< "": the name is malformed */
    char domain[SKY_HOST_NAME_BYTES];
    uint32_t link_mbps;
} member_t;

struct sky_ownership {
    sky_ownership_options_t options;
    char member[MEMBER_BYTES]; /**< this host's name in the group */
    uint32_t ttl_ms;
    uint64_t generation;
    uint64_t owners_generation; /**< at which the owners were read */
    bool joining;
    bool reading_owners;
    bool leaving; /**< leaves as soon as the store answers */
    bool left;
    bool reader;
    bool all_owned; /**< every shard had an owner when they were read */
    uint32_t failures;
    uint64_t joined_at_ms; /**< begin of the last join that was answered */
    uint64_t join_begun_ms;
    uint64_t started_ms;
    ev_timer join_timer;
    ev_timer owners_timer;
    uint32_t shard_count;
    shard_t *shards;
    member_t members[SKY_MEMBERS_MAX];
    uint32_t member_count;
};

static void
start_timer(const sky_ownership_t *ownership, ev_timer *timer,
            uint32_t wait_ms)
{
    ev_timer_stop(ownership->options.loop, timer);
    ev_timer_set(timer, wait_ms / 1000.0, 0.0);
    ev_timer_start(ownership->options.loop, timer);
}

static uint32_t
index_of(const sky_ownership_t *ownership, const sky_store_part_t *part)
{
    size_t prefix = strlen(TOPIC_PREFIX);
    if (strncmp(part->topic, TOPIC_PREFIX, prefix) != 0) {
        return UINT32_MAX;
    }
    unsigned long topic = strtoul(part->topic + prefix, NULL, 10);
    uint32_t parts = ownership->options.settings->store.parts;
    if (topic >= TOPIC_COUNT || part->part >= parts) {
        return UINT32_MAX;
    }
    return (uint32_t)topic * parts + part->part;
}

/* How long a shard that was just dealt waits for its first order. Where
 * targets check fencing tokens, a host that has just started need not wait for
 * a lease: it cannot have been an owner that lost and regained it. */
static uint32_t
first_wait_ms(const sky_ownership_t *ownership)
{
    const sky_bounds_t *bounds = &ownership->options.settings->bounds;
    bool young = SkyClock_NowMs() < ownership->started_ms + bounds->stable_ms;
    return bounds->fencing && young ? SETTLE_MS : bounds->lease_ms;
}

/* Notes the shards that this host holds at a generation. */
static void
take_shards(sky_ownership_t *ownership, const sky_store_answer_t *answer)
{
    uint64_t now = SkyClock_NowMs();
    uint32_t wait_ms = first_wait_ms(ownership);
    uint32_t gained = 0;
    uint32_t lost = 0;
    bool *listed = calloc(ownership->shard_count, sizeof *listed);
    if (listed == NULL) {
        return;
    }
    for (size_t i = 0; i < answer->part_count; i++) {
        uint32_t index = index_of(ownership, &answer->parts[i]);
        if (index != UINT32_MAX) {
            listed[index] = true;
        }
    }
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        shard_t *shard = &ownership->shards[i];
        if (listed[i] && !shard->mine) {
            shard->fence = answer->generation;
            shard->order_at_ms = now + wait_ms;
            shard->before_hash = shard->owner_hash;
            gained++;
        }
        lost += !listed[i] && shard->mine ? 1 : 0;
        shard->mine = listed[i];
    }
    free(listed);
    if (gained + lost > 0) {
        SkyLog_Write(LOG_NOTICE, "shards_dealt",
                     "generation=%llu held=%zu gained=%u lost=%u "
                     "orders_in_ms=%u",
                     (unsigned long long)answer->generation,
                     answer->part_count, gained, lost, wait_ms);
        ownership->options.on_change(ownership->options.context);
    }
}

static void
on_left(void *context, const sky_store_answer_t *answer)
{
    (void)context;
    SkyLog_Write(LOG_NOTICE, "group_left", "answer=%s",
                 SkyStore_EndName(answer->end));
}

static void
leave(sky_ownership_t *ownership)
{
    ownership->left = true;
    ev_timer_stop(ownership->options.loop, &ownership->join_timer);
    ev_timer_stop(ownership->options.loop, &ownership->owners_timer);
    SkyStore_Leave(ownership->options.store, GROUP, ownership->member, on_left,
                   ownership);
}

static void
on_joined(void *context, const sky_store_answer_t *answer)
{
    sky_ownership_t *ownership = context;
    uint32_t interval_ms = ownership->ttl_ms / JOINS_PER_TTL;
    ownership->joining = false;
    if (ownership->left) {
        return;
    }
    start_timer(ownership, &ownership->join_timer, interval_ms);
    if (answer->end != SKY_STORE_DONE) {
        if (ownership->failures++ == 0) {
            SkyLog_Write(LOG_WARNING, "group_lost",
                         "reason=%s generation=%llu",
                         SkyStore_EndName(answer->end),
                         (unsigned long long)ownership->generation);
        }
        return;
    }
    if (ownership->failures > 0) {
        SkyLog_Write(LOG_NOTICE, "group_regained",
                     "failures=%u generation=%llu", ownership->failures,
                     (unsigned long long)answer->generation);
    }
    ownership->failures = 0;
    if (ownership->leaving) {
        leave(ownership);
        return;
    }
    ownership->joined_at_ms = ownership->join_begun_ms;
    bool changed = answer->generation != ownership->generation;
    ownership->generation = answer->generation;
    take_shards(ownership, answer);
    if (changed) {
        /* Joining again at once gives back what was dealt to others. */
        start_timer(ownership, &ownership->join_timer, OWNERS_DELAY_MS / 2);
    }
    if (ownership->owners_generation != ownership->generation &&
        !ownership->reading_owners &&
        !ev_is_active(&ownership->owners_timer)) {
        start_timer(ownership, &ownership->owners_timer,
                    ownership->reader ? OWNERS_DELAY_MS : OWNERS_PEERS_MS);
    }
}

static void
on_join_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_ownership_t *ownership = watcher->data;
    if (ownership->joining || ownership->left) {
        return;
    }
    ownership->joining = true;
    ownership->join_begun_ms = SkyClock_NowMs();
    sky_store_join_t join = {
        .group = GROUP,
        .member = ownership->member,
        .topic_prefix = TOPIC_PREFIX,
        .topic_count = TOPIC_COUNT,
        .ttl_ms = ownership->ttl_ms,
        .generation = ownership->generation,
    };
    SkyStore_Join(ownership->options.store, &join, on_joined, ownership);
}

/* Takes the next part of a member's name. @return what follows, NULL if the
 * part does not fit or is the last one. */
static const char *
take_part(const char *name, char *part, size_t room)
{
    size_t size = strcspn(name, "#");
    if (size >= room) {
        return NULL;
    }
    memcpy(part, name, size);
    part[size] = '\0';
    return name[size] == '#' ? name + size + 1 : NULL;
}

static void
read_member(member_t *member, const char *name)
{
    char start[MEMBER_BYTES];
    *member = (member_t){0};
    snprintf(member->name, sizeof member->name, "%s", name);
    const char *rest =
        take_part(name, member->address, sizeof member->address);
    rest = rest ? take_part(rest, start, sizeof start) : NULL;
    rest =
        rest ? take_part(rest, member->domain, sizeof member->domain) : NULL;
    member->link_mbps = rest ? (uint32_t)strtoul(rest, NULL, 10) : 0;
}

static int16_t
member_index(sky_ownership_t *ownership, const char *member)
{
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        if (strcmp(ownership->members[i].name, member) == 0) {
            return (int16_t)i;
        }
    }
    if (ownership->member_count >= SKY_MEMBERS_MAX ||
        strlen(member) >= MEMBER_BYTES) {
        return -1;
    }
    read_member(&ownership->members[ownership->member_count], member);
    return (int16_t)ownership->member_count++;
}

static uint64_t
hash_of(const char *member)
{
    return XXH3_64bits(member, strlen(member));
}

static bool
is_member(const sky_ownership_t *ownership, uint64_t hash)
{
    for (uint32_t i = 0; i < ownership->member_count; i++) {
        if (hash_of(ownership->members[i].name) == hash) {
            return true;
        }
    }
    return false;
}

/* Shards whose owner before has left the group need not wait for a lease. */
static void
shorten_waits(sky_ownership_t *ownership)
{
    uint64_t soon = SkyClock_NowMs() + SETTLE_MS;
    if (!ownership->options.settings->bounds.fencing) {
        return;
    }
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        shard_t *shard = &ownership->shards[i];
        if (shard->mine && shard->order_at_ms > soon &&
            shard->before_hash != 0 &&
            !is_member(ownership, shard->before_hash)) {
            shard->order_at_ms = soon;
        }
    }
}

static void
on_owners(void *context, const sky_store_answer_t *answer)
{
    sky_ownership_t *ownership = context;
    ownership->reading_owners = false;
    if (answer->end != SKY_STORE_DONE) {
        start_timer(ownership, &ownership->owners_timer, OWNERS_RETRY_MS);
        return;
    }
    uint32_t owned = 0;
    ownership->member_count = 0;
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        ownership->shards[i].owner = -1;
    }
    for (size_t i = 0; i < answer->part_count; i++) {
        uint32_t index = index_of(ownership, &answer->parts[i]);
        if (index != UINT32_MAX && answer->parts[i].member[0] != '\0') {
            ownership->shards[index].owner =
                member_index(ownership, answer->parts[i].member);
            ownership->shards[index].owner_hash =
                hash_of(answer->parts[i].member);
            owned++;
        }
    }
    shorten_waits(ownership);
    ownership->owners_generation =
        answer->generation ? answer->generation : ownership->generation;
    ownership->all_owned = owned == ownership->shard_count;
    if (!ownership->all_owned) {
        start_timer(ownership, &ownership->owners_timer, OWNERS_RETRY_MS);
    }
    SkyLog_Write(LOG_NOTICE, "owners_read",
                 "generation=%llu members=%u owned=%u shards=%u",
                 (unsigned long long)ownership->generation,
                 ownership->member_count, owned, ownership->shard_count);
    ownership->options.on_change(ownership->options.context);
}

static void
on_owners_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_ownership_t *ownership = watcher->data;
    bool known = ownership->owners_generation >= ownership->generation &&
                 ownership->all_owned;
    if (!ownership->reading_owners && !ownership->left && !known) {
        ownership->reading_owners = true;
        SkyStore_ReadOwners(ownership->options.store, GROUP, on_owners,
                            ownership);
    }
}

void
SkyOwnership_SetReader(sky_ownership_t *ownership, bool reader)
{
    ownership->reader = reader;
}

uint64_t
SkyOwnership_OwnersGeneration(const sky_ownership_t *ownership)
{
    return ownership->owners_generation;
}

json_t *
SkyOwnership_Export(const sky_ownership_t *ownership, uint64_t generation)
{
    if (ownership->owners_generation <= generation || !ownership->all_owned) {
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
                              json_integer(ownership->shards[i].owner));
    }
    return json_pack("{s:I, s:o, s:o}", "generation",
                     (json_int_t)ownership->owners_generation, "members",
                     members, "owners", owners);
}

/* Copies the members that a peer named. @return false if one is malformed. */
static bool
import_members(sky_ownership_t *ownership, const json_t *members)
{
    size_t index;
    json_t *member;
    ownership->member_count = 0;
    json_array_foreach(members, index, member)
    {
        const char *name = json_string_value(member);
        if (name == NULL || member_index(ownership, name) != (int16_t)index) {
            return false;
        }
    }
    return true;
}

static void
import_owner(sky_ownership_t *ownership, uint32_t index, json_int_t owner)
{
    shard_t *shard = &ownership->shards[index];
    shard->owner = -1;
    if (owner < 0 || owner >= (json_int_t)ownership->member_count) {
        return;
    }
    const char *member = ownership->members[owner].name;
    shard->owner = (int16_t)owner;
    shard->owner_hash = hash_of(member);
    if (shard->mine && strcmp(member, ownership->member) != 0) {
        shard->mine = false;
    }
}

void
SkyOwnership_Import(sky_ownership_t *ownership, const json_t *owners)
{
    json_int_t generation = 0;
    json_t *members = NULL;
    json_t *rows = NULL;
    if (json_unpack((json_t *)owners, "{s:I, s:o, s:o}", "generation",
                    &generation, "members", &members, "owners", &rows) != 0 ||
        (uint64_t)generation <= ownership->owners_generation ||
        json_array_size(rows) != ownership->shard_count ||
        !import_members(ownership, members)) {
        return;
    }
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        import_owner(ownership, i,
                     json_integer_value(json_array_get(rows, i)));
    }
    ownership->owners_generation = (uint64_t)generation;
    ownership->all_owned = true;
    SkyLog_Write(LOG_NOTICE, "owners_told", "generation=%llu members=%u",
                 (unsigned long long)generation, ownership->member_count);
    shorten_waits(ownership);
    ownership->options.on_change(ownership->options.context);
}

uint32_t
SkyOwnership_ShardOf(const sky_ownership_t *ownership, uint64_t hash)
{
    return (uint32_t)(hash % ownership->shard_count);
}

bool
SkyOwnership_IsMine(const sky_ownership_t *ownership, uint32_t shard)
{
    return !ownership->left && ownership->shards[shard].mine;
}

/* Without fencing at the targets nothing but time keeps two owners apart. */
static bool
is_lease_current(const sky_ownership_t *ownership)
{
    const sky_bounds_t *bounds = &ownership->options.settings->bounds;
    return bounds->fencing ||
           SkyClock_NowMs() < ownership->joined_at_ms + ownership->ttl_ms;
}

bool
SkyOwnership_MayOrder(const sky_ownership_t *ownership, uint32_t shard,
                      uint64_t *fence)
{
    const shard_t *self = &ownership->shards[shard];
    *fence = self->fence;
    return SkyOwnership_IsMine(ownership, shard) &&
           self->order_at_ms <= SkyClock_NowMs() &&
           is_lease_current(ownership);
}

void
SkyOwnership_NoteFenced(sky_ownership_t *ownership, uint32_t shard)
{
    /* The shard was dealt to another and back between two joins, or is
     * another's by now: the next join tells. */
    SkyLog_Write(LOG_WARNING, "fenced", "shard=%u fence=%llu", shard,
                 (unsigned long long)ownership->shards[shard].fence);
    ownership->shards[shard].mine = false;
}

void
SkyOwnership_NotePause(sky_ownership_t *ownership)
{
    for (uint32_t i = 0; i < ownership->shard_count; i++) {
        ownership->shards[i].mine = false;
    }
    start_timer(ownership, &ownership->join_timer, 0);
    ownership->options.on_change(ownership->options.context);
}

void
SkyOwnership_Leave(sky_ownership_t *ownership)
{
    if (ownership->left || ownership->leaving) {
        return;
    }
    ownership->leaving = true;
    if (ownership->failures == 0) {
        leave(ownership);
        return;
    }
    /* Nobody gets the shards before the store is back: they stay in use. */
    SkyLog_Write(LOG_NOTICE, "group_leave_waits", "failures=%u",
                 ownership->failures);
}

static const char *
address_of(const member_t *member)
{
    return member->address[0] != '\0' ? member->address : NULL;
}

uint32_t
SkyOwnership_Members(const sky_ownership_t *ownership,
                     sky_fanout_host_t *members, uint32_t most)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < ownership->member_count && count < most; i++) {
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

const char *
SkyOwnership_OwnerOf(const sky_ownership_t *ownership, uint32_t shard)
{
    int16_t owner = ownership->shards[shard].owner;
    return owner >= 0 ? address_of(&ownership->members[owner]) : NULL;
}

uint32_t
SkyOwnership_Hosts(const sky_ownership_t *ownership)
{
    uint32_t least = ownership->options.settings->seed_count;
    uint32_t known = ownership->member_count;
    return known > least ? known : (least > 0 ? least : 1);
}

const char *
SkyOwnership_SomePeer(const sky_ownership_t *ownership, uint32_t turn)
{
    const sky_host_settings_t *settings = ownership->options.settings;
    uint32_t total = ownership->member_count + settings->seed_count;
    for (uint32_t i = 0; i < total; i++) {
        uint32_t at = (turn + i) % total;
        const char *address =
            at < ownership->member_count
                ? address_of(&ownership->members[at])
                : settings->seeds[at - ownership->member_count];
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
    self->reader = true;
    self->ttl_ms =
        (uint32_t)(options->settings->store.ttl_min_ms * TTL_FACTOR);
    self->shard_count = TOPIC_COUNT * options->settings->store.parts;
    self->shards = calloc(self->shard_count, sizeof *self->shards);
    if (self->shards == NULL) {
        free(self);
        return SKY_E_MEMORY;
    }
    for (uint32_t i = 0; i < self->shard_count; i++) {
        self->shards[i].owner = -1;
    }
    snprintf(self->member, sizeof self->member, MEMBER_FORMAT,
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
