/**
 * @file explain.h
 * @brief Explains where a request would go now, and why.
 *
 * Nothing is sent, counted or changed. The decisions are made by the functions
 * that decide for real requests: SkyFleet_ChooseTarget() with an observer,
 * SkyFleet_RankPreferredTargets(), and the credit of a quota on a copy. A
 * workspace is given by its name; no key is accepted or shown.
 */
#ifndef SKY_EDGE_EXPLAIN_H
#define SKY_EDGE_EXPLAIN_H

#include <stdbool.h>

#include "edge/directory.h"
#include "edge/feed.h"
#include "edge/host_settings.h"
#include "edge/quota_sharing.h"
#include "edge/service_turns.h"
#include "net/listener.h"

#ifdef __cplusplus
extern "C" {
#endif

/** On the metrics address only. */
#define SKY_EXPLAIN_PATH "/explain"

typedef struct {
    const sky_directory_t *directory;
    const sky_host_settings_t *settings;
    const sky_feed_t *feed;
    const sky_quota_sharing_t *quota_sharing;
    const sky_service_turns_t *service_turns;
    bool is_stopping; /**< this host has received SIGTERM */
} sky_explain_options_t;

/** Responds to a POST whose JSON body describes a request: 200 with the
 *  explanation as JSON; 400 with `{"error": TEXT}` for a malformed body; 405
 *  for another method; 500 without a body if memory ran out. */
void SkyExplain_Respond(const sky_explain_options_t *options,
                        sky_server_request_t *request);

#ifdef __cplusplus
}
#endif
#endif
