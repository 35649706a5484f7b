/**
 * @file settings.h
 * @brief Settings of a host, read from a TOML file.
 *
 * One table in settings.c lists each key with its unit, default and range.
 */
#ifndef SKY_SERVE_SETTINGS_H
#define SKY_SERVE_SETTINGS_H

#include "core/toml_file.h"
#include "decide/node.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_MAX_TARGETS 4096
#define SKY_SECRET_BYTES 128 /**< size of a key, with its final zero */

/** Settings of one host; docs/SETTINGS.md lists units, ranges and meanings. */
typedef struct {
    char host_name[SKY_NAME_BYTES];
    char host_listen[SKY_ADDRESS_BYTES];
    char host_peer[SKY_ADDRESS_BYTES];
    char peer_key[SKY_SECRET_BYTES];
    char operator_key[SKY_SECRET_BYTES];
    char log_address[SKY_ADDRESS_BYTES];
    char hosts_address[SKY_ADDRESS_BYTES];
    char store_address[SKY_ADDRESS_BYTES];
    uint32_t domain;
    uint32_t lease_ms;
    uint32_t margin_ms;
    uint32_t heartbeat_ms;
    uint32_t suspect_ms;
    uint32_t bootstrap_ms;
    uint32_t degraded_ms;
    uint32_t retention_ms;
    uint32_t log_poll_ms;
    uint32_t hosts_poll_ms;
    uint32_t log_timeout_ms;
    uint32_t shard_targets;
    uint32_t transit_max;
    uint32_t load_ms;
    uint32_t load_timeout_ms;
    uint32_t report_ms;
    uint32_t starvation_ms;
    uint32_t quarantine_ms;
    uint32_t batch_weight;
    uint32_t attempts_max;
    uint32_t key_life_ms;
    uint32_t claim_interval_ms;
    uint32_t claim_writers_max;
    uint32_t timeout_ms;
    uint32_t timeout_max_ms;
    uint32_t idle_ms;
    uint32_t body_bytes_max;
    uint32_t header_bytes_max;
    uint32_t connections_max;
    uint32_t caller_connections_max;
    uint32_t balancer_wait_ms;
    sky_target_info_t *targets; /**< released by SkySettings_Clear() */
    uint32_t target_count;
} sky_settings_t;

/**
 * Reads and validates a settings file.
 * @param settings to be released with SkySettings_Clear() on success only.
 * @param error SKY_ERROR_TEXT_BYTES long; on SKY_E_SETTINGS it names the file,
 * the line, the key and the allowed range.
 */
sky_result_t SkySettings_Load(const char *path, sky_settings_t *settings,
                              char *error);
/** Releases the list of targets; the structure itself stays the caller's. */
void SkySettings_Clear(sky_settings_t *settings);

/** Sets the options of the decision logic: its defaults, then the settings.
 *  @p options borrows the list of targets. */
void SkySettings_InitNodeOptions(const sky_settings_t *settings, uint64_t seed,
                                 sky_node_options_t *options);

/** Prints the rows of a Markdown table, one per key: unit, default, range and
 *  meaning. docs/SETTINGS.md holds this output. */
void SkySettings_PrintTable(void (*print)(const char *line, void *context),
                            void *context);

#ifdef __cplusplus
}
#endif
#endif
