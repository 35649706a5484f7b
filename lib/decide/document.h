/**
 * @file document.h
 * @brief Parsing and merging of the JSON bodies of templates and workspaces.
 *
 * A template gives default settings for events of one kind. A workspace names
 * a template, may override its settings, and lists its adapters and their
 * versions.
 */
#ifndef SKY_DECIDE_DOCUMENT_H
#define SKY_DECIDE_DOCUMENT_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_WORKSPACE_ADAPTERS_MAX 4096 /**< adapters of one workspace */
#define SKY_URGENCY_MAX 9               /**< highest urgency of a request */
/** Max time to load adapters before an opening, or to keep them after it. */
#define SKY_PREWARM_OR_HOLD_MAX_S 86400
#define SKY_CREDENTIAL_HASH_BYTES 65 /**< 256-bit hash in hex, and a zero */

/** One adapter and version that a workspace may use. */
typedef struct {
    char name[SKY_NAME_BYTES];
    char version[SKY_NAME_BYTES];
    sky_adapter_id_t id;
    double weight; /**< relative share of requests expected; >= 0 */
} sky_adapter_t;

/** Settings of a template or a workspace. Those without their `has_` flag are
 *  not set, and 0. */
typedef struct {
    char pool[SKY_NAME_BYTES]; /**< name of the pool of targets */
    uint32_t urgency;          /**< 0 to SKY_URGENCY_MAX */
    uint64_t opens_at_ms;      /**< Unix time; 0: no event */
    uint64_t prewarm_ms; /**< how long before the opening to load adapters */
    uint64_t hold_ms;    /**< how long after the opening to keep them */
    bool has_pool;
    bool has_urgency;
    bool has_opens_at;
    bool has_prewarm;
    bool has_hold;
} sky_event_settings_t;

/** A parsed workspace document. */
typedef struct {
    char template_name[SKY_NAME_BYTES];
    char credential[SKY_CREDENTIAL_HASH_BYTES]; /**< hash of the credential,
                                                   hex */
    sky_event_settings_t event;
    sky_adapter_t *adapters; /**< owned */
    uint32_t adapter_count;
} sky_workspace_t;

/** Parses a template's body. @return SKY_OK, or SKY_E_BAD_CONFIG with
 *  the key and the rule that it breaks in @p error_text, a buffer of
 *  SKY_NAME_BYTES. */
sky_result_t SkyDocument_ParseTemplate(const char *body,
                                       sky_event_settings_t *event,
                                       char *error_text);

/** Parses a workspace's body; free with SkyDocument_FreeWorkspace().
 *  @return SKY_OK, SKY_E_MEMORY, or SKY_E_BAD_CONFIG with the key and the rule
 *  that it breaks in @p error_text, a buffer of SKY_NAME_BYTES. */
sky_result_t SkyDocument_ParseWorkspace(const char *body,
                                        sky_workspace_t *workspace,
                                        char *error_text);

/** Frees what a workspace owns, but not the workspace itself. */
void SkyDocument_FreeWorkspace(sky_workspace_t *workspace);

/** @return @p base with the settings that @p overrides sets. */
sky_event_settings_t
SkyDocument_MergeEventSettings(const sky_event_settings_t *base,
                               const sky_event_settings_t *overrides);

#ifdef __cplusplus
}
#endif
#endif
