/**
 * @file toml_file.h
 * @brief TOML files through toml++, behind a C interface.
 *
 * No C library for TOML is packaged; toml++ is its nearest kin.
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

#define SKY_ERROR_BYTES 256 /**< longest text of an error */

typedef enum {
    SKY_TOML_INTEGER,
    SKY_TOML_FLOAT,
    SKY_TOML_BOOLEAN,
    SKY_TOML_STRING,
    SKY_TOML_OTHER,
} sky_toml_type_t;

/** A leaf of the file; tables in arrays are numbered. */
typedef struct {
    const char *table; /**< "log" in `[log]`, "" at the top */
    int64_t index;     /**< in an array of tables; -1 elsewhere */
    const char *key;
    uint32_t line;
    sky_toml_type_t type;
    int64_t integer;
    double number;
    bool boolean;
    const char *string;
} sky_toml_leaf_t;

typedef sky_result_t (*sky_toml_visit_t)(const sky_toml_leaf_t *leaf,
                                         void *context);

/** Visits each leaf in turn. @return SKY_E_SETTINGS with @p error filled in
 *          if the file cannot be read or parsed, else the first error of
 *          @p visit. @param error SKY_ERROR_BYTES long. */
sky_result_t SkyToml_ForEach(const char *path, sky_toml_visit_t visit,
                             void *context, char *error);

/** Reads a file as JSON text; free() the text. */
sky_result_t SkyToml_ToJson(const char *path, char **json, char *error);

#ifdef __cplusplus
}
#endif
#endif
