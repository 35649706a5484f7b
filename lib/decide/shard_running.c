/** @file shard_running.c @brief Targets that run requests of a fingerprint. */
#include "decide/shard_state.h"

#include <stdlib.h>

void
ShardRunning_Add(sky_shard_t *shard, const request_t *request)
{
    uint64_t fingerprint = request->fingerprint;
    running_fingerprint_t *running;
    HASH_FIND(hh, shard->running_fingerprints, &fingerprint,
              sizeof fingerprint, running);
    if (running == NULL) {
        running = calloc(1, sizeof *running);
        if (running == NULL) {
            abort();
        }
        running->fingerprint = fingerprint;
        HASH_ADD(hh, shard->running_fingerprints, fingerprint,
                 sizeof fingerprint, running);
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
    uint32_t remaining = 0;
    running_fingerprint_t *running;
    HASH_FIND(hh, shard->running_fingerprints, &fingerprint,
              sizeof fingerprint, running);
    if (running == NULL) {
        return;
    }
    for (uint32_t i = 0; i < SKY_CRASH_LIMIT; i++) {
        if (running->permits[i] > 0 &&
            running->targets[i] == request->target) {
            running->permits[i]--;
        }
        remaining += running->permits[i];
    }
    if (remaining == 0) {
        HASH_DEL(shard->running_fingerprints, running);
        free(running);
    }
}

bool
ShardRunning_CanRunOn(const sky_shard_t *shard, const request_t *request,
                      const target_t *target)
{
    uint64_t fingerprint = request->fingerprint;
    running_fingerprint_t *running;
    HASH_FIND(hh, shard->running_fingerprints, &fingerprint,
              sizeof fingerprint, running);
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
    running_fingerprint_t *running;
    running_fingerprint_t *next_running;
    HASH_ITER(hh, shard->running_fingerprints, running, next_running)
    {
        HASH_DEL(shard->running_fingerprints, running);
        free(running);
    }
}
