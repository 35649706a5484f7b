/** @file shard_running.c @brief On which targets copies of a request run. */
#include "decide/shard_state.h"

#include <stdlib.h>

void
ShardRunning_Add(sky_shard_t *shard, const request_t *request)
{
    uint64_t fingerprint = request->fingerprint;
    running_t *running;
    HASH_FIND(hh, shard->running, &fingerprint, sizeof fingerprint, running);
    if (running == NULL) {
        running = calloc(1, sizeof *running);
        if (running == NULL) {
            abort();
        }
        running->fingerprint = fingerprint;
        HASH_ADD(hh, shard->running, fingerprint, sizeof fingerprint, running);
    }
    for (uint32_t i = 0; i < SKY_CRASH_LIMIT; i++) {
        if (running->permits[i] == 0 ||
            running->targets[i] == request->target) {
            running->targets[i] = request->target;
            running->permits[i]++;
            return;
        }
    }
}

void
ShardRunning_Remove(sky_shard_t *shard, const request_t *request)
{
    uint64_t fingerprint = request->fingerprint;
    uint32_t left = 0;
    running_t *running;
    HASH_FIND(hh, shard->running, &fingerprint, sizeof fingerprint, running);
    if (running == NULL) {
        return;
    }
    for (uint32_t i = 0; i < SKY_CRASH_LIMIT; i++) {
        if (running->permits[i] > 0 &&
            running->targets[i] == request->target) {
            running->permits[i]--;
        }
        left += running->permits[i];
    }
    if (left == 0) {
        HASH_DEL(shard->running, running);
        free(running);
    }
}

bool
ShardRunning_MayRunOn(const sky_shard_t *shard, const request_t *request,
                      const target_t *target)
{
    uint64_t fingerprint = request->fingerprint;
    running_t *running;
    HASH_FIND(hh, shard->running, &fingerprint, sizeof fingerprint, running);
    if (running == NULL) {
        return true;
    }
    for (uint32_t i = 0; i < SKY_CRASH_LIMIT; i++) {
        if (running->permits[i] == 0 || running->targets[i] == target->index) {
            return true;
        }
    }
    return false;
}

void
ShardRunning_Clear(sky_shard_t *shard)
{
    running_t *running;
    running_t *next_running;
    HASH_ITER(hh, shard->running, running, next_running)
    {
        HASH_DEL(shard->running, running);
        free(running);
    }
}
