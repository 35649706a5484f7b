/**
 * @file document.h
 * @brief Templates and workspaces: parsing and merging of their JSON bodies.
 *
 * A template gives defaults for events of one sort; a workspace names a
 * template, fills in its parameters and lists its adapters and versions.
 */
#ifndef SKY_DECIDE_DOCUMENT_H
#define SKY_DECIDE_DOCUMENT_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_ADAPTERS_MAX 4096   /**< adapters of one workspace */
#define SKY_URGENCY_MAX 9       /**< highest urgency of a request */
#define SKY_PREWARM_MAX_S 86400 /**< longest time to load ahead */
#define SKY_CREDENTIAL_BYTES 65 /**< hex of a 256-bit hash */

/** One adapter and version that a workspace may use. */
typedef struct {
    char name[SKY_NAME_BYTES];
    char version[SKY_NAME_BYTES];
    sky_adapter_id_t id;
    double weight; /**< expected share at the opening; >= 0 */
} sky_adapter_t;

/** What a template or a workspace sets; unset fields keep the default. */
typedef struct {
    char pool[SKY_NAME_BYTES];
    uint32_t urgency;     /**< 0 to SKY_URGENCY_MAX */
    uint64_t opens_at_ms; /**< Unix time; 0: no event */
    uint64_t prewarm_ms;  /**< how long before the opening to load */
    uint64_t hold_ms;     /**< how long after the opening to keep */
    bool has_pool;
    bool has_urgency;
    bool has_opens_at;
    bool has_prewarm;
    bool has_hold;
} sky_event_t;

/** A workspace, parsed. */
typedef struct {
    char template_name[SKY_NAME_BYTES];
    char credential[SKY_CREDENTIAL_BYTES]; /**< hash of the credential, hex */
    sky_event_t event;
    sky_adapter_t *adapters; /**< owned */
    uint32_t adapter_count;
} sky_workspace_t;

/** Parses a template's body. @return SKY_OK or SKY_E_BAD_CONFIG; @p why
 *  (SKY_NAME_BYTES long) then says which key is wrong. */
sky_result_t SkyDocument_ParseTemplate(const char *body, sky_event_t *event,
                                       char *why);

/** Parses a workspace's body; free with SkyDocument_FreeWorkspace(). */
sky_result_t SkyDocument_ParseWorkspace(const char *body,
                                        sky_workspace_t *workspace, char *why);

/** Frees what a workspace owns. */
void SkyDocument_FreeWorkspace(sky_workspace_t *workspace);

/** @return @p over laid on top of @p base. */
sky_event_t SkyDocument_Merge(const sky_event_t *base,
                              const sky_event_t *over);

#ifdef __cplusplus
}
#endif
#endif
