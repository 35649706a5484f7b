/**
 * @file target_entry.h
 * @brief A target's own entry in the list of targets, and its report.
 */
#ifndef SKY_DECIDE_TARGET_ENTRY_H
#define SKY_DECIDE_TARGET_ENTRY_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_TARGET_ID_BYTES 40
#define SKY_ADAPTER_NAME_BYTES 32
#define SKY_SERVICE_NAME_BYTES 40
#define SKY_SOFTWARE_VERSION_BYTES 64

/** An adapter that is resident at a target; the adapter "" is the model. */
typedef struct {
    char model[SKY_ADAPTER_NAME_BYTES];
    char adapter[SKY_ADAPTER_NAME_BYTES];
    uint32_t version;
} sky_resident_t;

typedef enum {
    SKY_TARGET_READY,
    SKY_TARGET_LEAVING,
} sky_target_state_t;

typedef struct {
    char id[SKY_TARGET_ID_BYTES];
    char service[SKY_SERVICE_NAME_BYTES];
    char domain[SKY_SERVICE_NAME_BYTES];
    struct sockaddr_in address;
    /** Version of the software that it runs, "" if its entry names none. */
    char software[SKY_SOFTWARE_VERSION_BYTES];
    sky_target_state_t state;
    uint32_t slots;            /**< of its batch */
    uint64_t started_unix_ms;  /**< Unix time of its start; differs after a
                                  restart */
    uint64_t order_count;      /**< orders accepted since its start */
    sky_resident_t *residents; /**< resident models and adapters */
    uint32_t resident_count;
} sky_target_entry_t;

/** A target's load and its resident adapters, some hundred ms old. */
typedef struct {
    uint64_t started_unix_ms; /**< as in its entry; 0: not reported */
    uint64_t order_count;
    bool busy; /**< loads or unloads a model */
    uint32_t running;
    uint32_t queued;
    uint32_t kv_used_tokens; /**< of its KV cache */
    uint32_t kv_total_tokens;
    sky_resident_t *residents;
    uint32_t resident_count;
    sky_resident_t *loading; /**< models and adapters that are being loaded */
    uint32_t loading_count;
} sky_target_report_t;

void SkyTargetEntry_Clear(sky_target_entry_t *entry);
void SkyTargetReport_Clear(sky_target_report_t *report);

#ifdef __cplusplus
}
#endif
#endif
