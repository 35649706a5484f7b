/**
 * @file commands.h
 * @brief The subcommands of skylarkspar; each returns the exit code.
 */
#ifndef SKY_PROGRAMS_COMMANDS_H
#define SKY_PROGRAMS_COMMANDS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"

/** The parsed command line; an option that was not given is NULL or false. */
typedef struct {
    const char *command;
    const char *settings_path; /**< file for `serve`, `edge` and `check` */
    const char *host_address;  /**< "address:port" for operators' commands */
    const char *operator_key;
    const char *document_kind; /**< "template" or "workspace" */
    const char *document_name;
    const char *document_path; /**< TOML file to publish */
    const char *histogram_name;
    int64_t base_revision; /**< revision to amend; -1: the current one */
    bool prints_json;
    bool prints_settings_table; /**< `check` only */
    /* Of `explain`: the request. */
    const char *caller_host;
    const char *path;
    const char *attempt_id;
    const char *workspace;
    const char *model;
    const char *adapter;
    const char *tokens; /**< "PROMPT,OUTPUT" */
    const char *parts;  /**< "ID:TOKENS,..." with hexadecimal ids */
} sky_arguments_t;

sky_result_t SkyCommand_ServeHost(const sky_arguments_t *arguments);
sky_result_t SkyCommand_ServeEdge(const sky_arguments_t *arguments);
sky_result_t SkyCommand_CheckSettings(const sky_arguments_t *arguments);
sky_result_t SkyCommand_PublishDocument(const sky_arguments_t *arguments);
sky_result_t SkyCommand_AmendDocument(const sky_arguments_t *arguments);
sky_result_t SkyCommand_ShowDocuments(const sky_arguments_t *arguments);
sky_result_t SkyCommand_ShowStatus(const sky_arguments_t *arguments);
sky_result_t SkyCommand_DrainHost(const sky_arguments_t *arguments);
/** Its exit code is 1 if the host does not answer within 2 s. */
sky_result_t SkyCommand_ExplainRequest(const sky_arguments_t *arguments);

#endif
