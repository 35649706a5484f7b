#include "decide/types.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define FIRST_CAPACITY 16

sky_action_t *
SkyActions_Add(sky_actions_t *actions, sky_action_kind_t kind)
{
    if (actions->count == actions->capacity) {
        size_t capacity =
            actions->capacity ? 2 * actions->capacity : FIRST_CAPACITY;
        sky_action_t *items =
            realloc(actions->items, capacity * sizeof *items);
        if (items == NULL) {
            abort(); /* the host cannot work without its actions */
        }
        actions->items = items;
        actions->capacity = capacity;
    }
    sky_action_t *action = &actions->items[actions->count++];
    memset(action, 0, sizeof *action);
    action->kind = kind;
    return action;
}

sky_msg_t *
SkyActions_AddSend(sky_actions_t *actions, sky_host_id_t to,
                   sky_msg_kind_t kind)
{
    sky_action_t *action = SkyActions_Add(actions, SKY_ACT_SEND);
    action->u.send.to = to;
    action->u.send.msg.kind = kind;
    return &action->u.send.msg;
}

void
SkyActions_Clear(sky_actions_t *actions)
{
    free(actions->items);
    memset(actions, 0, sizeof *actions);
}

static bool
record_has_body(const sky_record_t *record)
{
    return record->kind == SKY_REC_CONFIG ||
           record->kind == SKY_REC_CONFIG_RESTATE ||
           record->kind == SKY_REC_CONFIG_SNAPSHOT;
}

void
SkyRecord_Clear(sky_record_t *record)
{
    if (record_has_body(record)) {
        free(record->u.config.body);
        record->u.config.body = NULL;
    }
}

void
SkyRecord_Copy(sky_record_t *to, const sky_record_t *from)
{
    *to = *from;
    if (record_has_body(from) && from->u.config.body != NULL) {
        to->u.config.body = strdup(from->u.config.body);
    }
}

static uint64_t
nonzero(uint64_t hash)
{
    return hash ? hash : 1;
}

sky_adapter_id_t
SkyAdapter_HashId(const char *name, const char *version)
{
    char full[2 * SKY_NAME_BYTES];
    snprintf(full, sizeof full, "%s@%s", name, version);
    return SkyName_Hash(full);
}

uint64_t
SkyName_Hash(const char *name)
{
    return nonzero(XXH64(name, strlen(name), 0));
}

uint64_t
SkyRendezvous_Score(uint64_t node, uint64_t item)
{
    uint64_t pair[2] = {node, item};
    return XXH64(pair, sizeof pair, 0);
}
