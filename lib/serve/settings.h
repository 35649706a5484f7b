/**
 * @file settings.h
 * @brief Settings of a host: one table of keys with unit, default and range.
 */
#ifndef SKY_SERVE_SETTINGS_H
#define SKY_SERVE_SETTINGS_H

#include "core/toml_file.h"
#include "decide/node.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_TARGETS_MAX 4096
#define SKY_SECRET_BYTES 128

/** All settings of one host. */
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
    sky_target_info_t *targets; /**< owned */
    uint32_t target_count;
} sky_settings_t;

/** Reads and checks a settings file. @param error SKY_ERROR_BYTES long: on
 *  SKY_E_SETTINGS it names file, line, key and the allowed range. */
sky_result_t SkySettings_Load(const char *path, sky_settings_t *settings,
                              char *error);
void SkySettings_Free(sky_settings_t *settings);

/** Fills in the options of the decision logic. */
void SkySettings_ToNode(const sky_settings_t *settings, uint64_t seed,
                        sky_node_options_t *options);

/** Prints each key with unit, default, range and meaning as a Markdown table;
 *  docs/SETTINGS.md is its output. */
void SkySettings_PrintTable(void (*print)(const char *line, void *context),
                            void *context);

#ifdef __cplusplus
}
#endif
#endif
