/**
 * @file toml_file.h
 * @brief C interface to the TOML parser toml++; no C library for TOML is
 *        packaged.
 */
#ifndef SKY_CORE_TOML_FILE_H
#define SKY_CORE_TOML_FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/result.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_ERROR_TEXT_BYTES 256 /**< buffer for an error message */

typedef enum {
    SKY_TOML_INTEGER,
    SKY_TOML_FLOAT,
    SKY_TOML_BOOLEAN,
    SKY_TOML_STRING,
    SKY_TOML_OTHER, /**< an array, a date or a nested table */
} sky_toml_type_t;

/** A key and its value; the texts are valid only during the visit. */
typedef struct {
    const char *table; /**< "log" in `[log]`, "" at the root */
    int64_t index;     /**< index in an array of tables; -1 elsewhere */
    const char *key;
    uint32_t line;
    sky_toml_type_t type;
    int64_t integer;    /**< of SKY_TOML_INTEGER */
    double number;      /**< of SKY_TOML_INTEGER and SKY_TOML_FLOAT */
    bool boolean;       /**< of SKY_TOML_BOOLEAN */
    const char *string; /**< of SKY_TOML_STRING, "" of others */
} sky_toml_leaf_t;

typedef sky_result_t (*sky_toml_visitor_t)(const sky_toml_leaf_t *leaf,
                                           void *context);

/** Calls @p visit for each leaf until it returns an error.
 *  @param error buffer of SKY_ERROR_TEXT_BYTES for the message of a parse
 *               error
 *  @return SKY_E_SETTINGS with @p error set if the file cannot be read or
 *          parsed, otherwise the first error of @p visit */
sky_result_t SkyToml_ForEachLeaf(const char *path, sky_toml_visitor_t visit,
                                 void *context, char *error);

/** Converts a file to JSON text, to be freed with free().
 *  @param error as above
 *  @return SKY_E_SETTINGS with @p error set, or SKY_E_MEMORY */
sky_result_t SkyToml_ReadAsJson(const char *path, char **json, char *error);

#ifdef __cplusplus
}
#endif
#endif
