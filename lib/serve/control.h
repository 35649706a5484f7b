/**
 * @file control.h
 * @brief The control thread: drives the decision logic and performs its
 *        actions with peers, workers and waiting traffic threads.
 */
#ifndef SKY_SERVE_CONTROL_H
#define SKY_SERVE_CONTROL_H

#include "core/metrics.h"
#include "decide/node.h"
#include "peer/peers.h"
#include "serve/exchange.h"
#include "serve/settings.h"
#include "serve/view.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_control sky_control_t;

sky_result_t SkyControl_Create(const sky_settings_t *settings,
                               sky_control_t **control);
/** Stops the thread and all I/O. No exchange may be open. */
void SkyControl_Free(sky_control_t *control);

/** Hands an input to the decision logic. What the input owns goes with it. */
void SkyControl_Post(sky_control_t *control, const sky_input_t *input);

/** Runs @p visit on the control thread and waits for it. */
void SkyControl_Call(sky_control_t *control,
                     void (*visit)(sky_node_t *node, void *context),
                     void *context);

/** @return true if the host may take requests. Any thread. */
bool SkyControl_IsReady(const sky_control_t *control);
/** @return true once the log has dropped records that were not read. */
bool SkyControl_IsLost(const sky_control_t *control);

sky_exchanges_t *SkyControl_Exchanges(sky_control_t *control);
sky_view_t *SkyControl_View(sky_control_t *control);
sky_metrics_t *SkyControl_Metrics(sky_control_t *control);
sky_peers_t *SkyControl_Peers(sky_control_t *control);
const sky_settings_t *SkyControl_Settings(const sky_control_t *control);

/** @return microseconds of the monotonic clock. */
uint64_t SkyControl_NowUs(void);
/** @return milliseconds of Unix time. */
uint64_t SkyControl_WallMs(void);

#ifdef __cplusplus
}
#endif
#endif
