#include "decide/store_retry.h"

#define DELAY_MIN_MS 100 /**< doubles with each failed read in a row */
#define DELAY_MAX_MS 800
/** Of a host without records: those it asks for them try more often. */
#define STARTING_DELAY_MAX_MS 3200
/** Reads a second that all listed followers make together. */
#define FOLLOWER_READS_PER_S 24
/** How much less often unlisted hosts read: their number is not known. */
#define UNLISTED_FACTOR 16
/** Hosts that are so few that each would wait for less read as if alone. */
#define SHARED_INTERVAL_MIN_MS 1200

static uint32_t
double_delay(uint32_t failed_reads, uint32_t max_ms)
{
    uint32_t delay_ms = DELAY_MIN_MS;
    for (uint32_t i = 1; i < failed_reads && delay_ms < max_ms; i++) {
        delay_ms *= 2;
    }
    return delay_ms < max_ms ? delay_ms : max_ms;
}

/* Mean time between two reads of a topic by one follower. */
static uint32_t
get_interval_ms(const sky_store_retry_t *retry)
{
    uint32_t interval_ms =
        retry->listed_hosts * retry->topics * 1000 / FOLLOWER_READS_PER_S;
    return retry->role == SKY_STORE_ROLE_UNLISTED
               ? interval_ms * UNLISTED_FACTOR
               : interval_ms;
}

uint32_t
SkyStoreRetry_GetDelayMs(const sky_store_retry_t *retry)
{
    uint32_t delay_ms = double_delay(retry->failed_reads, DELAY_MAX_MS);
    uint32_t interval_ms;
    switch (retry->role) {
    case SKY_STORE_ROLE_READER:
        break;
    case SKY_STORE_ROLE_FOLLOWER:
    case SKY_STORE_ROLE_UNLISTED:
        interval_ms = get_interval_ms(retry);
        if (interval_ms > SHARED_INTERVAL_MIN_MS) {
            /* Half to one and a half times the interval. */
            return interval_ms / 2 +
                   (uint32_t)(retry->random % (interval_ms + 1));
        }
        break;
    case SKY_STORE_ROLE_STARTING:
        return double_delay(retry->failed_reads, STARTING_DELAY_MAX_MS);
    }
    return delay_ms;
}

uint32_t
SkyStoreRetry_GetFirstDelayMs(const sky_store_retry_t *retry)
{
    switch (retry->role) {
    case SKY_STORE_ROLE_FOLLOWER:
    case SKY_STORE_ROLE_UNLISTED:
        break;
    case SKY_STORE_ROLE_READER:
    case SKY_STORE_ROLE_STARTING:
        return 0;
    }
    uint32_t interval_ms = get_interval_ms(retry);
    return interval_ms > SHARED_INTERVAL_MIN_MS
               ? (uint32_t)(retry->random % (interval_ms + 1))
               : 0;
}
