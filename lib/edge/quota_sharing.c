#include "edge/quota_sharing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include <xxhash.h>

#include "core/clock.h"
#include "core/logging.h"
#include "core/time_left.h"

#define CALL_PATH "/quota"
#define CALL_INTERVAL_S (SKY_QUOTA_CALL_INTERVAL_MS / 1000.0)
#define ASK_AGAIN_S 0.1 /**< while a new owner does not count its callers */
/** A request waits no longer than a new owner needs to count its callers and
 *  to fill its bucket. */
#define REQUEST_WAIT_MAX_MS 2000
/** One owner for this many members, and at least three: with two, the member
 *  that took the place of a lost owner was preferred to its successor on every
 *  second loss, and hosts changed twice. */
#define MEMBERS_PER_OWNER 64
#define OWNERS_MIN 3
/** A later tick shows that this host was paused: the calls that arrived
 *  meanwhile are old. */
#define PAUSE_MIN_MS 1000
#define OLD_CALLS_MS 200 /**< all of them have been read by then */
#define AMOUNT_MAX INT64_C(1000000000000000)
/** A greater number of hosts is an error. It is refused from owners as well,
 *  as other owners would refuse the calls that repeat it. */
#define HOSTS_STATED_MAX (SKY_GROUP_MEMBERS_MAX * 4)
#define WAIT_UNKNOWN_MS 100 /**< the owner does not know the workspace yet */

typedef struct {
    char address[SKY_HOST_ADDRESS_BYTES];
    uint64_t hash;
} owner_t;

typedef struct call call_t;

typedef struct {
    char *name;
    uint64_t hash;
    sky_quota_unit_t unit;
    sky_quota_credit_t credit;
    sky_quota_owner_t *account;    /**< as an owner */
    sky_quota_request_t *requests; /**< that wait, the next one first */
    call_t *call;                  /**< in progress, or NULL */
    bool asks_one;   /**< the credit for all that wait was refused */
    bool is_current; /**< in the newest configuration */
    UT_hash_handle hh;
} workspace_t;

struct sky_quota_request {
    sky_quota_sharing_t *sharing;
    workspace_t *workspace;
    sky_quota_need_t need;
    uint64_t since_ms;
    sky_quota_done_t done;
    void *context;
    sky_quota_request_t *prev;
    sky_quota_request_t *next;
};

typedef struct {
    workspace_t *workspace; /**< NULL: removed meanwhile */
    sky_quota_ask_t ask;
    sky_quota_grant_t grant;
} row_t;

struct call {
    sky_quota_sharing_t *sharing;
    owner_t owner;
    sky_host_call_t *host_call;
    uint64_t sent_ms;
    row_t *rows;
    uint32_t row_count;
    call_t *prev;
    call_t *next;
};

struct sky_quota_sharing {
    sky_quota_sharing_options_t options;
    uint64_t self; /**< hash of this host's name */
    workspace_t *workspaces;
    owner_t owners[SKY_QUOTA_OWNERS_MAX];
    uint32_t owner_count;
    bool knows_members;
    sky_quota_hosts_t hosts;
    call_t *calls;
    ev_timer tick;
    ev_timer ask_soon;  /**< for requests that have arrived */
    ev_timer ask_again; /**< for those that an owner refused for now */
    uint64_t ticked_ms;
    uint64_t deaf_until_ms; /**< after a pause; calls are refused */
    sky_quota_stats_t stats;
};

static workspace_t *
find_workspace(sky_quota_sharing_t *sharing, const char *name)
{
    workspace_t *workspace;
    HASH_FIND_STR(sharing->workspaces, name, workspace);
    return workspace;
}

static uint32_t
get_member_count(const sky_quota_sharing_t *sharing)
{
    return sharing->options.directory->host_count;
}

static void
update_owners(sky_quota_sharing_t *sharing)
{
    sky_fanout_host_t members[SKY_GROUP_MEMBERS_MAX];
    uint32_t chosen[SKY_QUOTA_OWNERS_MAX];
    uint32_t count = SkyOwnership_ListMembers(sharing->options.ownership,
                                              members, SKY_GROUP_MEMBERS_MAX);
    uint32_t wanted = 1 + count / MEMBERS_PER_OWNER;
    wanted = wanted < OWNERS_MIN ? OWNERS_MIN : wanted;
    wanted = wanted > SKY_QUOTA_OWNERS_MAX ? SKY_QUOTA_OWNERS_MAX : wanted;
    sharing->knows_members = count > 0;
    sharing->owner_count =
        SkyFanout_ChooseHosts(members, count, NULL, chosen, wanted);
    for (uint32_t i = 0; i < sharing->owner_count; i++) {
        owner_t *owner = &sharing->owners[i];
        snprintf(owner->address, sizeof owner->address, "%s",
                 members[chosen[i]].address);
        owner->hash = XXH3_64bits(owner->address, strlen(owner->address));
    }
}

/* Orders the owners for a workspace by rendezvous hash. */
static void
rank_owners(const sky_quota_sharing_t *sharing, const workspace_t *workspace,
            owner_t *ranked)
{
    uint64_t scores[SKY_QUOTA_OWNERS_MAX];
    for (uint32_t i = 0; i < sharing->owner_count; i++) {
        const owner_t *owner = &sharing->owners[i];
        uint64_t score = XXH3_64bits_withSeed(
            owner->address, strlen(owner->address), workspace->hash);
        uint32_t at = i;
        for (; at > 0 && score > scores[at - 1]; at--) {
            scores[at] = scores[at - 1];
            ranked[at] = ranked[at - 1];
        }
        scores[at] = score;
        ranked[at] = *owner;
    }
}

static bool
choose_owner(const sky_quota_sharing_t *sharing, const workspace_t *workspace,
             uint64_t now_ms, owner_t *chosen)
{
    owner_t ranked[SKY_QUOTA_OWNERS_MAX];
    uint64_t hashes[SKY_QUOTA_OWNERS_MAX];
    rank_owners(sharing, workspace, ranked);
    for (uint32_t i = 0; i < sharing->owner_count; i++) {
        hashes[i] = ranked[i].hash;
    }
    uint32_t index = SkyQuotaCredit_ChooseOwner(&workspace->credit, hashes,
                                                sharing->owner_count, now_ms);
    if (index == UINT32_MAX) {
        return false;
    }
    *chosen = ranked[index];
    return true;
}

static void
start_timer(sky_quota_sharing_t *sharing, ev_timer *timer, double after_s)
{
    if (!ev_is_active(timer)) {
        ev_timer_set(timer, after_s, 0.0);
        ev_timer_start(sharing->options.loop, timer);
    }
}

static void
log_refusal(const workspace_t *workspace, uint64_t cost, uint32_t wait_ms,
            const char *owner)
{
    const sky_quota_credit_t *credit = &workspace->credit;
    SkyLog_Write(LOG_INFO, "quota_refused",
                 "workspace=%s cost=%llu credit=%.0f share=%.0f wait_ms=%u "
                 "owner=%s hosts=%u",
                 workspace->name, (unsigned long long)cost, credit->left,
                 credit->share, wait_ms, owner, credit->host_count);
}

static void
free_request(sky_quota_request_t *request)
{
    DL_DELETE(request->workspace->requests, request);
    free(request);
}

/* Ends a waiting request; the callback may add or cancel others. */
static void
end_request(sky_quota_request_t *request, sky_quota_result_t result,
            uint32_t wait_ms, const char *owner)
{
    sky_quota_done_t done = request->done;
    void *context = request->context;
    if (result == SKY_QUOTA_DENIED) {
        request->sharing->stats.refused++;
        log_refusal(request->workspace, request->need.cost, wait_ms, owner);
    }
    free_request(request);
    done(context, result, wait_ms);
}

/* Grants what the credit suffices for, the most urgent request first. */
static void
serve_waiting(workspace_t *workspace, uint64_t now_ms)
{
    uint32_t wait_ms;
    while (workspace->requests != NULL &&
           SkyQuotaCredit_Acquire(&workspace->credit,
                                  workspace->requests->need.cost, now_ms,
                                  &wait_ms) == SKY_QUOTA_GRANTED) {
        end_request(workspace->requests, SKY_QUOTA_GRANTED, 0, "");
    }
}

/* Refuses the next request and all that are as large. */
static void
refuse_waiting(workspace_t *workspace, uint32_t wait_ms, const char *owner)
{
    uint64_t cost = workspace->requests->need.cost;
    SkyQuotaCredit_RecordRefusal(&workspace->credit, cost, wait_ms,
                                 SkyClock_BootMs());
    sky_quota_request_t *request = workspace->requests;
    while (request != NULL) {
        if (request->need.cost >= cost) {
            end_request(request, SKY_QUOTA_DENIED, wait_ms, owner);
            request = workspace->requests;
        }
        else {
            request = request->next;
        }
    }
}

/* Without an owner. */
static void
use_own_share(const sky_quota_sharing_t *sharing, workspace_t *workspace,
              uint64_t now_ms)
{
    while (workspace->requests != NULL) {
        sky_quota_request_t *request = workspace->requests;
        uint32_t wait_ms = SKY_QUOTA_VALID_MS;
        /* The share is unknown while the number of hosts is. */
        bool is_granted =
            sharing->knows_members &&
            SkyQuotaCredit_AcquireShare(&workspace->credit, request->need.cost,
                                        now_ms, &wait_ms);
        end_request(request, is_granted ? SKY_QUOTA_GRANTED : SKY_QUOTA_DENIED,
                    is_granted ? 0 : wait_ms, "-");
    }
}

/* Cost of the requests that a call is to bring credit for. */
static uint64_t
get_cost_to_ask(const workspace_t *workspace, uint64_t now_ms)
{
    uint64_t cost = 0;
    /* After a refusal credit for all of them is unlikely, and the owner would
     * promise it nevertheless. */
    bool asks_one =
        workspace->asks_one || now_ms < workspace->credit.refused_until_ms;
    const sky_quota_request_t *request;
    DL_FOREACH(workspace->requests, request)
    {
        cost += request->need.cost;
        if (asks_one) {
            break;
        }
    }
    return cost;
}

static void
apply_grant(sky_quota_sharing_t *sharing, const owner_t *owner, row_t *row,
            uint64_t sent_ms)
{
    workspace_t *workspace = row->workspace;
    uint64_t now_ms = SkyClock_BootMs();
    SkyQuotaCredit_ApplyGrant(&workspace->credit, owner->hash, &row->grant,
                              sent_ms, now_ms);
    serve_waiting(workspace, now_ms);
    if (workspace->requests == NULL) {
        workspace->asks_one = false;
        return;
    }
    if (row->ask.needed > 0 && row->grant.wait_ms > 0) {
        const sky_quota_request_t *first = workspace->requests;
        if (!workspace->asks_one && first->next != NULL) {
            workspace->asks_one = true;
        }
        else if (SkyQuotaCredit_IsUnsettled(&workspace->credit, now_ms) &&
                 now_ms < first->since_ms + REQUEST_WAIT_MAX_MS) {
            start_timer(sharing, &sharing->ask_again, ASK_AGAIN_S);
            return;
        }
        else {
            refuse_waiting(workspace, row->grant.wait_ms, owner->address);
            workspace->asks_one = workspace->requests != NULL;
        }
    }
    if (workspace->requests != NULL) {
        start_timer(sharing, &sharing->ask_soon, 0.0);
    }
}

/* Decides as the workspace's owner. */
static sky_quota_grant_t
decide(const sky_quota_sharing_t *sharing, workspace_t *workspace,
       const sky_quota_ask_t *wanted)
{
    sky_quota_grant_t grant = {0, WAIT_UNKNOWN_MS};
    if ((workspace->account == NULL &&
         SkyResult_IsError(SkyQuotaOwner_Create(&workspace->credit.terms,
                                                &workspace->account))) ||
        SkyResult_IsError(SkyQuotaOwner_HandleAsk(
            workspace->account, wanted, get_member_count(sharing),
            SkyClock_BootMs(), &grant))) {
        SkyLog_Write(LOG_ERR, "quota_denied", "workspace=%s reason=memory",
                     workspace->name);
    }
    return grant;
}

static void
begin_row(sky_quota_sharing_t *sharing, workspace_t *workspace,
          const owner_t *owner, uint64_t now_ms, row_t *row)
{
    row->workspace = workspace;
    row->ask.host = sharing->self;
    SkyQuotaCredit_BeginCall(&workspace->credit, owner->hash,
                             get_cost_to_ask(workspace, now_ms), now_ms,
                             &row->ask);
    row->ask.host_count = SkyQuotaHosts_Count(
        &sharing->hosts, get_member_count(sharing), owner->hash, now_ms);
}

static void
free_call(call_t *call)
{
    for (uint32_t i = 0; i < call->row_count; i++) {
        if (call->rows[i].workspace != NULL) {
            call->rows[i].workspace->call = NULL;
        }
    }
    DL_DELETE(call->sharing->calls, call);
    free(call->rows);
    free(call);
}

/* Reads the row of a response that is about a workspace. */
static sky_quota_grant_t
find_grant(const json_t *rows, const workspace_t *workspace)
{
    size_t i;
    json_t *value;
    sky_quota_grant_t grant = {0, WAIT_UNKNOWN_MS};
    json_array_foreach(rows, i, value)
    {
        const char *name;
        json_int_t granted;
        json_int_t wait_ms;
        if (json_unpack(value, "[s, I, I]", &name, &granted, &wait_ms) == 0 &&
            strcmp(name, workspace->name) == 0 && granted >= 0 &&
            granted <= AMOUNT_MAX && wait_ms >= 0 && wait_ms <= UINT32_MAX) {
            grant = (sky_quota_grant_t){(uint64_t)granted, (uint32_t)wait_ms};
            break;
        }
    }
    return grant;
}

static void
on_response(void *context, const json_t *body)
{
    call_t *call = context;
    sky_quota_sharing_t *sharing = call->sharing;
    uint64_t now_ms = SkyClock_BootMs();
    json_int_t hosts = 0;
    json_t *rows = NULL;
    bool is_valid = body != NULL &&
                    json_unpack((json_t *)body, "{s:I, s:o}", "hosts", &hosts,
                                "rows", &rows) == 0 &&
                    hosts >= 0 && hosts <= HOSTS_STATED_MAX;
    if (is_valid) {
        SkyQuotaHosts_Record(&sharing->hosts, call->owner.hash,
                             (uint32_t)hosts, now_ms);
    }
    /* The callbacks of requests may start other calls of these workspaces. */
    uint32_t row_count = call->row_count;
    row_t *call_rows = call->rows;
    uint64_t sent_ms = call->sent_ms;
    owner_t owner = call->owner;
    for (uint32_t i = 0; i < row_count; i++) {
        if (call_rows[i].workspace != NULL) {
            call_rows[i].workspace->call = NULL;
        }
    }
    call->row_count = 0;
    call->rows = NULL;
    free_call(call);
    for (uint32_t i = 0; i < row_count; i++) {
        workspace_t *workspace = call_rows[i].workspace;
        if (workspace == NULL) {
            continue;
        }
        if (is_valid) {
            call_rows[i].grant = find_grant(rows, workspace);
            apply_grant(sharing, &owner, &call_rows[i], sent_ms);
        }
        else {
            SkyQuotaCredit_RecordSilence(&workspace->credit, owner.hash,
                                         now_ms);
            if (workspace->requests != NULL) {
                start_timer(sharing, &sharing->ask_soon, 0.0);
            }
        }
    }
    free(call_rows);
}

static json_t *
encode_call(const call_t *call)
{
    const sky_quota_sharing_t *sharing = call->sharing;
    const sky_deployment_t *deployment =
        sharing->options.directory->deployment;
    json_t *rows = json_array();
    for (uint32_t i = 0; i < call->row_count; i++) {
        const sky_quota_ask_t *row = &call->rows[i].ask;
        json_array_append_new(
            rows,
            json_pack("[s, I, I, I, I, I, I]", call->rows[i].workspace->name,
                      (json_int_t)row->used, (json_int_t)row->left,
                      (json_int_t)row->returned, (json_int_t)row->wanted,
                      (json_int_t)row->needed, (json_int_t)row->elsewhere_ms));
    }
    return json_pack(
        "{s:s, s:I, s:I, s:o}", "host", sharing->options.settings->name,
        "hosts", (json_int_t)call->rows[0].ask.host_count, "version",
        (json_int_t)(deployment ? deployment->version : 0), "rows", rows);
}

/* Calls an owner for all workspaces that are to ask it. */
static void
send_call(sky_quota_sharing_t *sharing, const owner_t *owner,
          workspace_t *const *workspaces, uint32_t count, uint64_t now_ms)
{
    call_t *call = calloc(1, sizeof *call);
    row_t *rows = calloc(count, sizeof *rows);
    if (call == NULL || rows == NULL) {
        SkyLog_Write(LOG_ERR, "quota_call", "reason=memory");
        free(call);
        free(rows);
        return;
    }
    call->sharing = sharing;
    call->owner = *owner;
    call->sent_ms = now_ms;
    call->rows = rows;
    call->row_count = count;
    DL_APPEND(sharing->calls, call);
    for (uint32_t i = 0; i < count; i++) {
        begin_row(sharing, workspaces[i], owner, now_ms, &rows[i]);
        workspaces[i]->call = call;
    }
    sharing->stats.calls++;
    call->host_call = SkyHostCalls_SendCall(
        sharing->options.host_calls, owner->address, CALL_PATH,
        encode_call(call), SKY_QUOTA_CALL_TIMEOUT_MS, on_response, call);
    if (call->host_call == NULL) {
        SkyLog_Write(LOG_ERR, "quota_call", "owner=%s reason=not_sent",
                     owner->address);
        for (uint32_t i = 0; i < count; i++) {
            SkyQuotaCredit_RecordSilence(&workspaces[i]->credit, owner->hash,
                                         now_ms);
        }
        free_call(call);
        start_timer(sharing, &sharing->ask_again, ASK_AGAIN_S);
    }
}

/* This host is the owner itself. */
static void
ask_self(sky_quota_sharing_t *sharing, workspace_t *workspace,
         const owner_t *owner, uint64_t now_ms)
{
    row_t row = {0};
    begin_row(sharing, workspace, owner, now_ms, &row);
    row.grant = decide(sharing, workspace, &row.ask);
    apply_grant(sharing, owner, &row, now_ms);
}

/* Asks the owners of all workspaces, or of those with waiting requests. */
static void
ask(sky_quota_sharing_t *sharing, bool is_tick)
{
    uint64_t now_ms = SkyClock_BootMs();
    uint32_t count = HASH_COUNT(sharing->workspaces);
    workspace_t **asking = calloc(count + 1, sizeof *asking);
    workspace_t **batch = calloc(count + 1, sizeof *batch);
    owner_t *owners = calloc(count + 1, sizeof *owners);
    uint32_t asking_count = 0;
    workspace_t *workspace;
    workspace_t *next;
    if (asking == NULL || batch == NULL || owners == NULL) {
        SkyLog_Write(LOG_ERR, "quota_call", "reason=memory");
        goto out;
    }
    HASH_ITER(hh, sharing->workspaces, workspace, next)
    {
        owner_t *owner = &owners[asking_count];
        if (workspace->call != NULL ||
            (!is_tick && workspace->requests == NULL)) {
            continue;
        }
        workspace->credit.host_count = SkyQuotaHosts_Count(
            &sharing->hosts, get_member_count(sharing), 0, now_ms);
        if (!choose_owner(sharing, workspace, now_ms, owner)) {
            use_own_share(sharing, workspace, now_ms);
        }
        else if (strcmp(owner->address, sharing->options.settings->control) ==
                 0) {
            ask_self(sharing, workspace, owner, now_ms);
        }
        else {
            asking[asking_count++] = workspace;
        }
    }
    for (uint32_t i = 0; i < asking_count; i++) {
        uint32_t batch_count = 0;
        for (uint32_t j = i; j < asking_count; j++) {
            if (asking[j] != NULL && owners[j].hash == owners[i].hash) {
                batch[batch_count++] = asking[j];
                asking[j] = NULL;
            }
        }
        if (batch_count > 0) {
            send_call(sharing, &owners[i], batch, batch_count, now_ms);
        }
    }
out:
    free(asking);
    free(batch);
    free(owners);
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    sky_quota_sharing_t *sharing = watcher->data;
    uint64_t now_ms = SkyClock_BootMs();
    if (now_ms > sharing->ticked_ms + PAUSE_MIN_MS) {
        sharing->deaf_until_ms = now_ms + OLD_CALLS_MS;
    }
    sharing->ticked_ms = now_ms;
    update_owners(sharing);
    ask(sharing, true);
}

static void
on_ask(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    ask(watcher->data, false);
}

/* Reads a row of a call. Returns the workspace, or NULL if it is not known or
 * the row is malformed. */
static workspace_t *
parse_row(sky_quota_sharing_t *sharing, json_t *json, sky_quota_ask_t *row)
{
    const char *name;
    json_int_t amounts[5];
    json_int_t elsewhere_ms;
    if (json_unpack(json, "[s, I, I, I, I, I, I]", &name, &amounts[0],
                    &amounts[1], &amounts[2], &amounts[3], &amounts[4],
                    &elsewhere_ms) != 0) {
        return NULL;
    }
    for (uint32_t i = 0; i < 5; i++) {
        if (amounts[i] < 0 || amounts[i] > AMOUNT_MAX) {
            return NULL;
        }
    }
    row->used = (uint64_t)amounts[0];
    row->left = (uint64_t)amounts[1];
    row->returned = (uint64_t)amounts[2];
    row->wanted = (uint64_t)amounts[3];
    row->needed = (uint64_t)amounts[4];
    row->elsewhere_ms = elsewhere_ms;
    return find_workspace(sharing, name);
}

static void
on_call(void *context, sky_server_request_t *server_request,
        const json_t *body)
{
    sky_quota_sharing_t *sharing = context;
    uint64_t now_ms = SkyClock_BootMs();
    const char *host = "";
    json_int_t hosts = 0;
    json_t *rows = NULL;
    if (json_unpack((json_t *)body, "{s:s, s:I, s:o}", "host", &host, "hosts",
                    &hosts, "rows", &rows) != 0 ||
        hosts < 0 || hosts > HOSTS_STATED_MAX) {
        SkyLog_Write(LOG_WARNING, "peer_call_refused", "path=" CALL_PATH);
        SkyServerRequest_Respond(server_request, 400, "", "", 0);
        return;
    }
    if (sharing->workspaces == NULL || now_ms < sharing->deaf_until_ms ||
        now_ms > sharing->ticked_ms + PAUSE_MIN_MS) {
        SkyServerRequest_Respond(server_request, 503, "", "", 0);
        return;
    }
    uint32_t host_count = get_member_count(sharing);
    json_t *granted = json_array();
    size_t i;
    json_t *value;
    json_array_foreach(rows, i, value)
    {
        sky_quota_ask_t row = {.host = XXH3_64bits(host, strlen(host)),
                               .host_count = (uint32_t)hosts};
        workspace_t *workspace = parse_row(sharing, value, &row);
        if (workspace == NULL) {
            continue;
        }
        sky_quota_grant_t grant = decide(sharing, workspace, &row);
        json_array_append_new(granted, json_pack("[s, I, I]", workspace->name,
                                                 (json_int_t)grant.granted,
                                                 (json_int_t)grant.wait_ms));
        if (workspace->account != NULL) {
            uint32_t known = SkyQuotaOwner_CountHosts(workspace->account,
                                                      host_count, now_ms);
            host_count = known > host_count ? known : host_count;
        }
    }
    SkyHostCalls_Respond(server_request,
                         json_pack("{s:I, s:o}", "hosts",
                                   (json_int_t)host_count, "rows", granted));
}

/* The response to the call in progress is ignored for this workspace. */
static void
detach_call(workspace_t *workspace)
{
    for (uint32_t i = 0;
         workspace->call != NULL && i < workspace->call->row_count; i++) {
        if (workspace->call->rows[i].workspace == workspace) {
            workspace->call->rows[i].workspace = NULL;
        }
    }
    workspace->call = NULL;
}

static void
remove_workspace(sky_quota_sharing_t *sharing, workspace_t *workspace)
{
    HASH_DEL(sharing->workspaces, workspace);
    while (workspace->requests != NULL) {
        end_request(workspace->requests, SKY_QUOTA_GRANTED, 0, "");
    }
    detach_call(workspace);
    SkyQuotaOwner_Free(workspace->account);
    free(workspace->name);
    free(workspace);
}

/* Amounts in the old unit mean nothing in the new one. */
static void
apply_unit(workspace_t *workspace, sky_quota_unit_t unit,
           const sky_quota_terms_t *terms, uint64_t now_ms)
{
    workspace->unit = unit;
    SkyQuotaCredit_Init(&workspace->credit, terms, now_ms);
    SkyQuotaOwner_Free(workspace->account);
    workspace->account = NULL;
    workspace->asks_one = false;
    detach_call(workspace);
    while (workspace->requests != NULL) {
        end_request(workspace->requests, SKY_QUOTA_DENIED, WAIT_UNKNOWN_MS,
                    "-");
    }
}

static void
apply_quota(sky_quota_sharing_t *sharing, const sky_workspace_t *configured)
{
    const sky_deployment_bounds_t *bounds = &sharing->options.settings->bounds;
    sky_quota_terms_t terms =
        SkyQuotaTerms_Make(&configured->quota, bounds->quota_window_ms,
                           bounds->quota_overshoot, bounds->quota_slack);
    uint64_t now_ms = SkyClock_BootMs();
    workspace_t *workspace = find_workspace(sharing, configured->name);
    if (workspace != NULL) {
        workspace->is_current = true;
        const sky_quota_terms_t *before = &workspace->credit.terms;
        if (workspace->unit != configured->quota.unit) {
            apply_unit(workspace, configured->quota.unit, &terms, now_ms);
        }
        else if (before->rate_per_s != terms.rate_per_s ||
                 before->burst != terms.burst || before->room != terms.room) {
            SkyQuotaCredit_SetTerms(&workspace->credit, &terms);
            if (workspace->account != NULL) {
                SkyQuotaOwner_SetTerms(workspace->account, &terms, now_ms);
            }
        }
        return;
    }
    workspace = calloc(1, sizeof *workspace);
    char *name = strdup(configured->name);
    if (workspace == NULL || name == NULL) {
        SkyLog_Write(LOG_ERR, "quota_not_applied",
                     "workspace=%s reason=memory", configured->name);
        free(workspace);
        free(name);
        return;
    }
    workspace->name = name;
    workspace->hash = XXH3_64bits(name, strlen(name));
    workspace->unit = configured->quota.unit;
    workspace->is_current = true;
    SkyQuotaCredit_Init(&workspace->credit, &terms, now_ms);
    HASH_ADD_KEYPTR(hh, sharing->workspaces, workspace->name, strlen(name),
                    workspace);
}

void
SkyQuotaSharing_HandleConfigChange(sky_quota_sharing_t *sharing)
{
    const sky_deployment_t *deployment =
        sharing->options.directory->deployment;
    const sky_workspaces_t *configured =
        deployment != NULL ? deployment->workspaces : NULL;
    workspace_t *workspace;
    workspace_t *next;
    HASH_ITER(hh, sharing->workspaces, workspace, next)
    {
        workspace->is_current = false;
    }
    uint32_t count = configured != NULL ? SkyWorkspaces_Count(configured) : 0;
    for (uint32_t i = 0; i < count; i++) {
        const sky_workspace_t *item = SkyWorkspaces_Get(configured, i);
        if (item->quota.is_limited) {
            apply_quota(sharing, item);
        }
    }
    HASH_ITER(hh, sharing->workspaces, workspace, next)
    {
        if (!workspace->is_current) {
            remove_workspace(sharing, workspace);
        }
    }
    if (sharing->workspaces == NULL) {
        ev_timer_stop(sharing->options.loop, &sharing->tick);
    }
    else if (!ev_is_active(&sharing->tick)) {
        sharing->ticked_ms = SkyClock_BootMs();
        update_owners(sharing);
        ev_timer_set(&sharing->tick, 0.0, CALL_INTERVAL_S);
        ev_timer_start(sharing->options.loop, &sharing->tick);
    }
}

static int
compare_urgency(const sky_quota_request_t *one,
                const sky_quota_request_t *other)
{
    /* A new one, which is the other, goes after those of its urgency. */
    return one->need.urgency <= other->need.urgency ? -1 : 1;
}

sky_quota_result_t
SkyQuotaSharing_Acquire(sky_quota_sharing_t *sharing,
                        const sky_quota_need_t *need, sky_quota_done_t done,
                        void *context, uint32_t *wait_ms,
                        sky_quota_request_t **pending)
{
    uint64_t now_ms = SkyClock_BootMs();
    workspace_t *workspace = find_workspace(sharing, need->workspace);
    *pending = NULL;
    *wait_ms = SKY_QUOTA_VALID_MS;
    if (workspace == NULL) {
        return SKY_QUOTA_GRANTED; /* a newer configuration has no quota */
    }
    SkyQuotaCredit_RecordDemand(&workspace->credit, need->cost, now_ms);
    bool is_behind = workspace->requests != NULL &&
                     workspace->requests->need.urgency <= need->urgency;
    sky_quota_result_t result =
        is_behind ? SKY_QUOTA_ASK
                  : SkyQuotaCredit_Acquire(&workspace->credit, need->cost,
                                           now_ms, wait_ms);
    sky_quota_request_t *request =
        result == SKY_QUOTA_ASK ? calloc(1, sizeof *request) : NULL;
    if (result == SKY_QUOTA_GRANTED) {
        return result;
    }
    if (request == NULL) {
        sharing->stats.refused++;
        log_refusal(workspace, need->cost, *wait_ms, "-");
        return SKY_QUOTA_DENIED;
    }
    request->sharing = sharing;
    request->workspace = workspace;
    request->need = *need;
    request->since_ms = now_ms;
    request->done = done;
    request->context = context;
    DL_INSERT_INORDER(workspace->requests, request, compare_urgency);
    start_timer(sharing, &sharing->ask_soon, 0.0);
    *pending = request;
    return SKY_QUOTA_ASK;
}

void
SkyQuotaSharing_Cancel(sky_quota_request_t *request)
{
    free_request(request);
}

void
SkyQuotaSharing_Refund(sky_quota_sharing_t *sharing,
                       const sky_workspace_t *charged, uint64_t cost,
                       uint64_t charged_ms)
{
    workspace_t *found = find_workspace(sharing, charged->name);
    if (found != NULL && found->unit == charged->quota.unit) {
        SkyQuotaCredit_Refund(&found->credit, cost, charged_ms,
                              SkyClock_BootMs());
    }
}

bool
SkyQuotaSharing_Inspect(const sky_quota_sharing_t *sharing,
                        const sky_quota_need_t *need, sky_quota_view_t *view)
{
    uint64_t now_ms = SkyClock_BootMs();
    workspace_t *workspace;
    owner_t owner;
    HASH_FIND_STR(sharing->workspaces, need->workspace, workspace);
    *view = (sky_quota_view_t){0};
    if (workspace == NULL) {
        return false;
    }
    /* The decision is made on a copy: no credit is taken. */
    sky_quota_credit_t credit = workspace->credit;
    credit.host_count = SkyQuotaHosts_Count(
        &sharing->hosts, get_member_count(sharing), 0, now_ms);
    bool is_valid = now_ms < credit.valid_until_ms;
    view->left = is_valid ? credit.left : 0.0;
    view->credit_valid_ms = SkyTime_LeftMs32(credit.valid_until_ms, now_ms);
    view->demand_per_s = credit.demand_per_s;
    view->host_count = credit.host_count;
    view->equal_share_per_s = credit.terms.rate_per_s / credit.host_count;
    const sky_quota_request_t *request;
    DL_FOREACH(workspace->requests, request)
    {
        view->waiting++;
    }
    view->uses_own_share = !choose_owner(sharing, workspace, now_ms, &owner);
    bool is_behind = workspace->requests != NULL &&
                     workspace->requests->need.urgency <= need->urgency;
    view->result = is_behind ? SKY_QUOTA_ASK
                             : SkyQuotaCredit_Acquire(&credit, need->cost,
                                                      now_ms, &view->wait_ms);
    if (view->result == SKY_QUOTA_ASK && view->uses_own_share) {
        view->wait_ms = SKY_QUOTA_VALID_MS;
        view->result = sharing->knows_members &&
                               SkyQuotaCredit_AcquireShare(
                                   &credit, need->cost, now_ms, &view->wait_ms)
                           ? SKY_QUOTA_GRANTED
                           : SKY_QUOTA_DENIED;
    }
    return true;
}

const sky_quota_stats_t *
SkyQuotaSharing_Stats(const sky_quota_sharing_t *sharing)
{
    return &sharing->stats;
}

sky_result_t
SkyQuotaSharing_Create(const sky_quota_sharing_options_t *options,
                       sky_quota_sharing_t **sharing)
{
    sky_quota_sharing_t *self = calloc(1, sizeof *self);
    if (self == NULL) {
        return SKY_E_MEMORY;
    }
    self->options = *options;
    self->self =
        XXH3_64bits(options->settings->name, strlen(options->settings->name));
    ev_init(&self->tick, on_tick);
    ev_init(&self->ask_soon, on_ask);
    ev_init(&self->ask_again, on_ask);
    self->tick.data = self;
    self->ask_soon.data = self;
    self->ask_again.data = self;
    SkyHostCalls_RegisterHandler(options->host_calls, CALL_PATH, on_call, NULL,
                                 self);
    *sharing = self;
    return SKY_OK;
}

void
SkyQuotaSharing_Free(sky_quota_sharing_t *sharing)
{
    if (sharing == NULL) {
        return;
    }
    call_t *call;
    call_t *next_call;
    DL_FOREACH_SAFE(sharing->calls, call, next_call)
    {
        SkyHostCalls_CancelCall(call->host_call);
        free_call(call);
    }
    workspace_t *workspace;
    workspace_t *next;
    HASH_ITER(hh, sharing->workspaces, workspace, next)
    {
        remove_workspace(sharing, workspace);
    }
    ev_timer_stop(sharing->options.loop, &sharing->tick);
    ev_timer_stop(sharing->options.loop, &sharing->ask_soon);
    ev_timer_stop(sharing->options.loop, &sharing->ask_again);
    free(sharing);
}
