/**
 * @file control.h
 * @brief The control thread: feeds inputs to the decision logic and performs
 *        the actions that it returns.
 *
 * Messages go to peers, blocking calls to a thread pool, decisions to the
 * traffic threads that wait for them.
 */
#ifndef SKY_SERVE_CONTROL_H
#define SKY_SERVE_CONTROL_H

#include "core/metrics.h"
#include "decide/node.h"
#include "peer/peers.h"
#include "serve/waiters.h"
#include "serve/settings.h"
#include "serve/workspace_table.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct sky_control sky_control_t;

/** Starts the control thread and all I/O. @p settings must outlive it. */
sky_result_t SkyControl_Create(const sky_settings_t *settings,
                               sky_control_t **control);
/** Stops the thread and all I/O. No waiter may still be registered. */
void SkyControl_Free(sky_control_t *control);

/** Queues an input for the decision logic, with the memory that it owns.
 *  Aborts the process if out of memory. */
void SkyControl_PostInput(sky_control_t *control, const sky_input_t *input);

/** Runs @p function on the control thread and waits for it to return. */
void SkyControl_RunOnThread(sky_control_t *control,
                            void (*function)(sky_node_t *node, void *context),
                            void *context);

/** @return true if the host may take requests. Callable from any thread. */
bool SkyControl_IsReady(const sky_control_t *control);
/** @return true once the log has dropped records that this host has not read.
 *          Callable from any thread. */
bool SkyControl_HasMissedRecords(const sky_control_t *control);

sky_waiters_t *SkyControl_Waiters(sky_control_t *control);
sky_workspace_table_t *SkyControl_WorkspaceTable(sky_control_t *control);
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
