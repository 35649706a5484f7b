#include "decide/stream_backlog.h"

#include <stdlib.h>
#include <utlist.h>

typedef struct entry {
    sky_stream_version_t stream;
    struct entry *prev;
    struct entry *next;
} entry_t;

struct sky_stream_backlog {
    sky_stream_backlog_options_t options;
    entry_t *waiting; /**< oldest first */
    uint32_t waiting_count;
    entry_t *batch; /**< oldest first */
    uint32_t batch_count;
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

bool
SkyStreamBacklog_Add(sky_stream_backlog_t *backlog,
                     const sky_stream_version_t *stream)
{
    if (backlog->waiting_count >= backlog->options.streams_max) {
        return false;
    }
    entry_t *entry = calloc(1, sizeof *entry);
    if (entry == NULL) {
        return false;
    }
    entry->stream = *stream;
    DL_APPEND(backlog->waiting, entry);
    backlog->waiting_count++;
    return true;
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
    return backlog->batch_count;
}

uint32_t
SkyStreamBacklog_EndBatch(sky_stream_backlog_t *backlog, bool is_stored)
{
    uint32_t count = backlog->batch_count;
    if (is_stored) {
        free_entries(&backlog->batch);
    }
    else {
        DL_CONCAT(backlog->batch, backlog->waiting);
        backlog->waiting = backlog->batch;
        backlog->waiting_count += count;
        backlog->batch = NULL;
    }
    backlog->batch_count = 0;
    return count;
}
