#include "decide/answered_requests.h"

#include <stdlib.h>

#define ENTRIES_MAX 8192 /* 128 KiB */

typedef struct {
    uint64_t fingerprint;
    uint64_t answered_ms; /* 0: free entry */
} entry_t;

struct sky_answered_requests {
    uint64_t retention_ms;
    entry_t entries[ENTRIES_MAX];
};

sky_answered_requests_t *
SkyAnsweredRequests_Create(uint64_t retention_ms)
{
    sky_answered_requests_t *requests = calloc(1, sizeof *requests);
    if (requests != NULL) {
        requests->retention_ms = retention_ms;
    }
    return requests;
}

void
SkyAnsweredRequests_Free(sky_answered_requests_t *requests)
{
    free(requests);
}

void
SkyAnsweredRequests_Add(sky_answered_requests_t *requests,
                        uint64_t fingerprint, uint64_t now_ms)
{
    requests->entries[fingerprint % ENTRIES_MAX] =
        (entry_t){fingerprint, now_ms};
}

bool
SkyAnsweredRequests_Has(const sky_answered_requests_t *requests,
                        uint64_t fingerprint, uint64_t now_ms)
{
    const entry_t *entry = &requests->entries[fingerprint % ENTRIES_MAX];
    return entry->answered_ms > 0 && entry->fingerprint == fingerprint &&
           now_ms < entry->answered_ms + requests->retention_ms;
}
