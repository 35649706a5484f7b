/**
 * @file encoded_value.h
 * @brief Text form of a record's value in messages between hosts: base64, of
 *        the compressed bytes if the value is large.
 *
 * Load pattern: a relay sends a configuration of some hundred kB to 40 hosts
 * at once. Uncompressed, that took its link longer than a poll may take.
 */
#ifndef SKY_EDGE_ENCODED_VALUE_H
#define SKY_EDGE_ENCODED_VALUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Zero-initialised: none. */
typedef struct {
    char *text;              /**< base64; NULL: none */
    uint32_t inflated_bytes; /**< size of the value; 0: not compressed */
} sky_encoded_value_t;

/** @param may_deflate the receiver reads compressed values
 *  @return false if memory ran out */
bool SkyEncodedValue_Make(const char *value, size_t value_bytes,
                          bool may_deflate, sky_encoded_value_t *encoded);
void SkyEncodedValue_Clear(sky_encoded_value_t *encoded);

/** Decodes a value; a zero byte follows it, which is not counted.
 *  @param value to be freed by the caller
 *  @return false if the text is malformed, the value is larger than a record
 *  can be, or memory ran out; then nothing is to be freed */
bool SkyEncodedValue_Decode(const char *text, uint32_t inflated_bytes,
                            char **value, size_t *value_bytes);

#ifdef __cplusplus
}
#endif
#endif
