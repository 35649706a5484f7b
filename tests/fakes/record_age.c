/**
 * @file record_age.c
 * @brief In place of SkyFeed_AreRecordsUsable() in the host that tests run: if
 *        SKY_TEST_OLD_RECORDS holds a percentage, the records are too old at
 *        so many of the calls, chosen at random from a fixed seed.
 */
#include <stdlib.h>

#include "edge/feed.h"

#define PERCENT 100

bool __real_SkyFeed_AreRecordsUsable(const sky_feed_t *feed);
bool __wrap_SkyFeed_AreRecordsUsable(const sky_feed_t *feed);

bool
__wrap_SkyFeed_AreRecordsUsable(const sky_feed_t *feed)
{
    static int64_t too_old_percent = -1;
    static unsigned state = 1;
    if (too_old_percent < 0) {
        const char *text = getenv("SKY_TEST_OLD_RECORDS");
        too_old_percent = text != NULL ? strtol(text, NULL, 10) : 0;
    }
    bool is_too_old =
        too_old_percent > 0 && rand_r(&state) % PERCENT < too_old_percent;
    return !is_too_old && __real_SkyFeed_AreRecordsUsable(feed);
}
