#include "decide/attempts.h"

static uint32_t
find_target(const uint64_t *targets, uint32_t count, uint64_t target)
{
    uint32_t index = 0;
    while (index < count && targets[index] != target) {
        index++;
    }
    return index;
}

void
SkyAttempts_RecordSent(sky_attempts_t *attempts, uint64_t target)
{
    attempts->last_send_arrived = true;
    uint32_t index = find_target(attempts->may_have_run,
                                 attempts->may_have_run_count, target);
    if (index == SKY_ATTEMPTS_TARGETS_MAX) {
        return;
    }
    if (index == attempts->may_have_run_count) {
        attempts->may_have_run[index] = target;
        attempts->send_counts[index] = 0;
        attempts->may_have_run_count++;
    }
    attempts->send_counts[index]++;
}

void
SkyAttempts_RecordNotRun(sky_attempts_t *attempts, uint64_t target)
{
    uint32_t index = find_target(attempts->may_have_run,
                                 attempts->may_have_run_count, target);
    if (index == attempts->may_have_run_count ||
        --attempts->send_counts[index] > 0) {
        return;
    }
    attempts->may_have_run_count--;
    attempts->may_have_run[index] =
        attempts->may_have_run[attempts->may_have_run_count];
    attempts->send_counts[index] =
        attempts->send_counts[attempts->may_have_run_count];
}

void
SkyAttempts_RecordUnsent(sky_attempts_t *attempts)
{
    attempts->last_send_arrived = false;
}

void
SkyAttempts_RecordFailed(sky_attempts_t *attempts, uint64_t target)
{
    uint32_t index =
        find_target(attempts->failed, attempts->failed_count, target);
    if (index == attempts->failed_count && index < SKY_ATTEMPTS_TARGETS_MAX) {
        attempts->failed[attempts->failed_count++] = target;
    }
}

void
SkyAttempts_RecordConnection(sky_attempts_t *attempts, uint64_t target,
                             uint64_t address)
{
    uint32_t index = attempts->connection_count;
    if (index < SKY_ATTEMPTS_CONNECTIONS_MAX) {
        attempts->connections[index].target = target;
        attempts->connections[index].address = address;
    }
    attempts->connection_count++;
}

bool
SkyAttempts_NeedsNewConnection(const sky_attempts_t *attempts, uint64_t target,
                               uint64_t address)
{
    if (attempts->connection_count > SKY_ATTEMPTS_CONNECTIONS_MAX) {
        return true;
    }
    for (uint32_t i = 0; i < attempts->connection_count; i++) {
        /* A target that restarted has another id at the same address. */
        if (attempts->connections[i].target == target ||
            attempts->connections[i].address == address) {
            return true;
        }
    }
    return false;
}

void
SkyAttempts_RestrictQuery(const sky_attempts_t *attempts, uint32_t targets_max,
                          sky_fleet_query_t *query)
{
    query->excluded = attempts->failed;
    query->excluded_count = attempts->failed_count;
    query->allowed = attempts->may_have_run;
    query->allowed_count = attempts->may_have_run_count >= targets_max
                               ? attempts->may_have_run_count
                               : 0;
}
