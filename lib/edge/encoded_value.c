#include "edge/encoded_value.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/** Smaller values save less than the compression costs. */
#define DEFLATE_MIN_BYTES 1024
/** Routes of one configuration differ in few bytes, which the fastest level
 *  finds too. */
#define DEFLATE_LEVEL 1
#define VALUE_MAX_BYTES (16u * 1024u * 1024u)

static char *
encode_base64(const unsigned char *bytes, size_t size)
{
    size_t capacity =
        sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(capacity);
    if (text != NULL) {
        sodium_bin2base64(text, capacity, bytes, size,
                          sodium_base64_VARIANT_ORIGINAL);
    }
    return text;
}

/* @return false if that saves nothing, or memory ran out. */
static bool
make_deflated(const char *value, size_t value_bytes,
              sky_encoded_value_t *encoded)
{
    uLongf size = compressBound(value_bytes);
    unsigned char *bytes = malloc(size);
    if (bytes != NULL &&
        compress2(bytes, &size, (const Bytef *)value, value_bytes,
                  DEFLATE_LEVEL) == Z_OK &&
        size < value_bytes) {
        encoded->text = encode_base64(bytes, size);
        encoded->inflated_bytes = (uint32_t)value_bytes;
    }
    free(bytes);
    return encoded->text != NULL;
}

bool
SkyEncodedValue_Make(const char *value, size_t value_bytes, bool may_deflate,
                     sky_encoded_value_t *encoded)
{
    *encoded = (sky_encoded_value_t){0};
    if (may_deflate && value_bytes >= DEFLATE_MIN_BYTES &&
        value_bytes <= VALUE_MAX_BYTES &&
        make_deflated(value, value_bytes, encoded)) {
        return true;
    }
    *encoded = (sky_encoded_value_t){
        .text = encode_base64((const unsigned char *)value, value_bytes)};
    return encoded->text != NULL;
}

void
SkyEncodedValue_Clear(sky_encoded_value_t *encoded)
{
    free(encoded->text);
    *encoded = (sky_encoded_value_t){0};
}

static char *
inflate_value(const char *bytes, size_t size, uint32_t inflated_bytes)
{
    uLongf value_bytes = inflated_bytes;
    char *value =
        inflated_bytes <= VALUE_MAX_BYTES ? malloc(inflated_bytes + 1u) : NULL;
    if (value == NULL ||
        uncompress((Bytef *)value, &value_bytes, (const Bytef *)bytes, size) !=
            Z_OK ||
        value_bytes != inflated_bytes) {
        free(value);
        return NULL;
    }
    return value;
}

bool
SkyEncodedValue_Decode(const char *text, uint32_t inflated_bytes, char **value,
                       size_t *value_bytes)
{
    size_t capacity = strlen(text) + 1;
    char *bytes = malloc(capacity);
    if (bytes == NULL ||
        sodium_base642bin((unsigned char *)bytes, capacity, text, strlen(text),
                          NULL, value_bytes, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0) {
        free(bytes);
        return false;
    }
    if (inflated_bytes > 0) {
        char *inflated = inflate_value(bytes, *value_bytes, inflated_bytes);
        free(bytes);
        bytes = inflated;
        *value_bytes = inflated_bytes;
    }
    if (bytes == NULL) {
        return false;
    }
    bytes[*value_bytes] = '\0';
    *value = bytes;
    return true;
}
