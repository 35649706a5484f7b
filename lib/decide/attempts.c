#include "decide/attempts.h"

static uint32_t
find(const uint64_t *targets, uint32_t count, uint64_t target)
{
    uint32_t at = 0;
    while (at < count && targets[at] != target) {
        at++;
    }
    return at;
}

void
SkyAttempts_NoteSent(sky_attempts_t *attempts, uint64_t target)
{
    uint32_t at = find(attempts->sent, attempts->sent_count, target);
    if (at == SKY_ATTEMPTS_MOST) {
        return;
    }
    if (at == attempts->sent_count) {
        attempts->sent[at] = target;
        attempts->runs[at] = 0;
        attempts->sent_count++;
    }
    attempts->runs[at]++;
}

void
SkyAttempts_NoteNotRun(sky_attempts_t *attempts, uint64_t target)
{
    uint32_t at = find(attempts->sent, attempts->sent_count, target);
    if (at == attempts->sent_count || --attempts->runs[at] > 0) {
        return;
    }
    attempts->sent_count--;
    attempts->sent[at] = attempts->sent[attempts->sent_count];
    attempts->runs[at] = attempts->runs[attempts->sent_count];
}

void
SkyAttempts_NoteFailed(sky_attempts_t *attempts, uint64_t target)
{
    uint32_t at = find(attempts->failed, attempts->failed_count, target);
    if (at == attempts->failed_count && at < SKY_ATTEMPTS_MOST) {
        attempts->failed[attempts->failed_count++] = target;
    }
}

void
SkyAttempts_Bound(const sky_attempts_t *attempts, uint32_t targets_max,
                  sky_fleet_query_t *query)
{
    query->avoid = attempts->failed;
    query->avoid_count = attempts->failed_count;
    query->allowed = attempts->sent;
    query->only_count =
        attempts->sent_count >= targets_max ? attempts->sent_count : 0;
}
