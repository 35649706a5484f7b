/**
 * @file commands.h
 * @brief The sub-commands of skylarkspar; each returns an exit code.
 */
#ifndef SKY_PROGRAMS_COMMANDS_H
#define SKY_PROGRAMS_COMMANDS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/result.h"

/** Everything the command line can say. */
typedef struct {
    const char *command;
    const char *settings; /**< file of `serve` and `check` */
    const char *host;     /**< "address:port" of operators' commands */
    const char *key;      /**< operators' key */
    const char *kind;     /**< "template" or "workspace" */
    const char *name;
    const char *file;
    const char *histogram;
    int64_t base; /**< revision to amend; -1: the current one */
    bool json;
    bool table;
} sky_arguments_t;

sky_result_t Command_Serve(const sky_arguments_t *arguments);
sky_result_t Command_Edge(const sky_arguments_t *arguments);
sky_result_t Command_Check(const sky_arguments_t *arguments);
sky_result_t Command_Publish(const sky_arguments_t *arguments);
sky_result_t Command_Amend(const sky_arguments_t *arguments);
sky_result_t Command_Show(const sky_arguments_t *arguments);
sky_result_t Command_Status(const sky_arguments_t *arguments);
sky_result_t Command_Drain(const sky_arguments_t *arguments);

#endif
