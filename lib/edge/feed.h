/**
 * @file feed.h
 * @brief Follows the operator's documents and the list of targets.
 *
 * Records are read from the store. A host that the store does not answer reads
 * the same records from its peers: they keep the newest record of each key
 * with its offset, and nothing with a lower offset ever replaces one.
 */
#ifndef SKY_EDGE_FEED_H
#define SKY_EDGE_FEED_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"
#include "edge/directory.h"
#include "edge/host_settings.h"
#include "platform/store.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_feed sky_feed_t;

typedef enum {
    SKY_FEED_OPERATOR,
    SKY_FEED_TARGETS,
    SKY_FEED_COUNT,
} sky_feed_topic_t;

typedef struct {
    struct ev_loop *loop;
    const sky_host_settings_t *settings;
    sky_directory_t *directory;
    sky_store_t *store;
    /** A deployment came into force, or the list of targets changed. */
    void (*on_change)(void *context, sky_feed_topic_t topic);
    void *context;
} sky_feed_options_t;

sky_result_t SkyFeed_Create(const sky_feed_options_t *options,
                            sky_feed_t **feed);
void SkyFeed_Free(sky_feed_t *feed);

/** @return offset behind the last record known. */
uint64_t SkyFeed_Next(const sky_feed_t *feed, sky_feed_topic_t topic);
/** Whether this host reads the store as long as others hand on records that
 *  were read lately; at first every host does. */
void SkyFeed_SetReader(sky_feed_t *feed, bool reader);
bool SkyFeed_IsReader(const sky_feed_t *feed);
/** @return whether nothing was read from the store, here or by a peer that
 *          handed it on, for some time. */
bool SkyFeed_IsStale(const sky_feed_t *feed);
/** @return records known from an offset on, with their age, for a peer; NULL
 *  if this host has not read the topic. A peer that knows more gets none. */
json_t *SkyFeed_Export(const sky_feed_t *feed, sky_feed_topic_t topic,
                       uint64_t from);
/** Takes a peer's records. @return SKY_E_BAD_REQUEST if they are malformed. */
sky_result_t SkyFeed_Import(sky_feed_t *feed, sky_feed_topic_t topic,
                            const json_t *records);
/** @return whether the last call to the store for either topic failed. */
bool SkyFeed_IsBehind(const sky_feed_t *feed);

#ifdef __cplusplus
}
#endif
#endif
