#include "decide/poll_sources.h"

#include <stdbool.h>
#include <string.h>

/** About the time after which a host that fails is no longer a member, so that
 *  it is tried in vain once or twice. */
#define PREFERRED_RETRY_MS 2000
#define SUBSTITUTE_KEPT_MS 10000 /**< one that helps */
#define RETRY_DELAY_MIN_MS 150   /**< doubles with each failure in a row */
#define RETRY_DELAY_MAX_MS 1200

static bool
contains(const sky_poll_sources_t *sources, const char *address)
{
    for (uint32_t i = 0; i < sources->count; i++) {
        if (strcmp(sources->addresses[i], address) == 0) {
            return true;
        }
    }
    return false;
}

void
SkyPollSources_Set(sky_poll_sources_t *sources, const char *const *addresses,
                   uint32_t count)
{
    sky_poll_sources_t chosen = {.moved_ms = sources->moved_ms,
                                 .failures = sources->failures};
    memcpy(chosen.substitute, sources->substitute, sizeof chosen.substitute);
    const char *before = sources->current < sources->count
                             ? sources->addresses[sources->current]
                             : "";
    for (uint32_t i = 0; i < count && chosen.count < SKY_POLL_SOURCES_MAX;
         i++) {
        size_t length = strlen(addresses[i]);
        if (length >= SKY_POLL_ADDRESS_BYTES ||
            contains(&chosen, addresses[i])) {
            continue;
        }
        memcpy(chosen.addresses[chosen.count], addresses[i], length + 1);
        if (strcmp(addresses[i], before) == 0) {
            chosen.current = chosen.count;
        }
        chosen.count++;
    }
    *sources = chosen;
}

const char *
SkyPollSources_Choose(sky_poll_sources_t *sources, uint64_t now_ms)
{
    if (sources->count == 0) {
        return NULL;
    }
    bool has_substitute = sources->substitute[0] != '\0';
    uint64_t kept_ms =
        has_substitute ? SUBSTITUTE_KEPT_MS : PREFERRED_RETRY_MS;
    if ((sources->current > 0 || has_substitute) &&
        now_ms > sources->moved_ms + kept_ms) {
        sources->current = 0;
        sources->substitute[0] = '\0';
        sources->moved_ms = now_ms;
        return sources->addresses[0];
    }
    if (has_substitute) {
        return sources->substitute;
    }
    return sources->failures < sources->count
               ? sources->addresses[sources->current]
               : NULL;
}

void
SkyPollSources_Substitute(sky_poll_sources_t *sources, const char *address,
                          uint64_t now_ms)
{
    size_t length = strlen(address);
    if (sources->count > 0 && length < SKY_POLL_ADDRESS_BYTES) {
        memcpy(sources->substitute, address, length + 1);
        sources->moved_ms = now_ms;
    }
}

uint32_t
SkyPollSources_RecordFailure(sky_poll_sources_t *sources, bool reads_store,
                             uint64_t now_ms)
{
    if (sources->substitute[0] != '\0') {
        sources->substitute[0] = '\0';
    }
    else if (sources->count > 0) {
        sources->current = (sources->current + 1) % sources->count;
        sources->moved_ms = now_ms;
    }
    uint32_t delay_ms = RETRY_DELAY_MIN_MS;
    for (uint32_t i = 0;
         reads_store && i < sources->failures && delay_ms < RETRY_DELAY_MAX_MS;
         i++) {
        delay_ms *= 2;
    }
    sources->failures++;
    return delay_ms;
}

void
SkyPollSources_RecordSuccess(sky_poll_sources_t *sources)
{
    sources->failures = 0;
}
