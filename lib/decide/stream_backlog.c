#include "decide/stream_backlog.h"

#include <assert.h>
#include <stdlib.h>
#include <utlist.h>

typedef struct entry {
    sky_stream_version_t stream;
    struct entry *prev;
    struct entry *next;
} entry_t;

struct sky_stream_backlog {
    sky_stream_backlog_options_t options;
    entry_t *waiting; /**< newest first */
    uint32_t waiting_count;
    entry_t *batch; /**< newest first */
    uint32_t batch_count;
    /** The newest stream that waited when the batch began; those before it in
     *  `waiting` were added since. NULL: none waited. */
    entry_t *older_than_batch;
};

sky_result_t
SkyStreamBacklog_Create(const sky_stream_backlog_options_t *options,
                        sky_stream_backlog_t **backlog)
{
    *backlog = calloc(1, sizeof **backlog);
    if (*backlog == NULL) {
        return SKY_E_MEMORY;
    }
    (*backlog)->options = *options;
    return SKY_OK;
}

static void
free_entries(entry_t **list)
{
    entry_t *entry;
    entry_t *next;
    DL_FOREACH_SAFE(*list, entry, next)
    {
        DL_DELETE(*list, entry);
        free(entry);
    }
}

void
SkyStreamBacklog_Free(sky_stream_backlog_t *backlog)
{
    if (backlog == NULL) {
        return;
    }
    free_entries(&backlog->waiting);
    free_entries(&backlog->batch);
    free(backlog);
}

/* Leaves out the oldest streams beyond the bound. Returns whether there was
 * room for all. */
static bool
make_room(sky_stream_backlog_t *backlog)
{
    bool had_room = true;
    while (backlog->waiting != NULL &&
           backlog->waiting_count > backlog->options.streams_max) {
        entry_t *oldest = backlog->waiting->prev; /* of a DL list: its tail */
        assert(oldest != NULL && oldest->prev != NULL);
        if (backlog->older_than_batch == oldest) {
            backlog->older_than_batch = NULL;
        }
        /* DL_DELETE, spelled out for a tail: static analysis follows it. */
        if (oldest == backlog->waiting) {
            backlog->waiting = NULL;
        }
        else {
            oldest->prev->next = NULL;
            backlog->waiting->prev = oldest->prev;
        }
        free(oldest);
        backlog->waiting_count--;
        had_room = false;
    }
    return had_room;
}

bool
SkyStreamBacklog_Add(sky_stream_backlog_t *backlog,
                     const sky_stream_version_t *stream)
{
    entry_t *entry = calloc(1, sizeof *entry);
    if (entry == NULL) {
        return false;
    }
    entry->stream = *stream;
    DL_PREPEND(backlog->waiting, entry);
    backlog->waiting_count++;
    return make_room(backlog);
}

uint32_t
SkyStreamBacklog_CountWaiting(const sky_stream_backlog_t *backlog)
{
    return backlog->waiting_count;
}

uint32_t
SkyStreamBacklog_BeginBatch(sky_stream_backlog_t *backlog,
                            const sky_stream_version_t **batch,
                            uint32_t max_count)
{
    if (backlog->batch != NULL) {
        return 0;
    }
    while (backlog->waiting != NULL && backlog->batch_count < max_count) {
        entry_t *entry = backlog->waiting;
        DL_DELETE(backlog->waiting, entry);
        DL_APPEND(backlog->batch, entry);
        batch[backlog->batch_count++] = &entry->stream;
    }
    backlog->waiting_count -= backlog->batch_count;
    backlog->older_than_batch = backlog->waiting;
    return backlog->batch_count;
}

uint32_t
SkyStreamBacklog_EndBatch(sky_stream_backlog_t *backlog, bool is_stored)
{
    uint32_t count = backlog->batch_count;
    if (is_stored) {
        free_entries(&backlog->batch);
    }
    while (backlog->batch != NULL) {
        entry_t *entry = backlog->batch;
        DL_DELETE(backlog->batch, entry);
        DL_PREPEND_ELEM(backlog->waiting, backlog->older_than_batch, entry);
        backlog->waiting_count++;
    }
    backlog->batch_count = 0;
    backlog->older_than_batch = NULL;
    make_room(backlog);
    return count;
}
