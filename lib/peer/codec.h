/**
 * @file codec.h
 * @brief Messages between hosts in XDR, in signed batches.
 */
#ifndef SKY_PEER_CODEC_H
#define SKY_PEER_CODEC_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_SIGNATURE_BYTES 32 /**< HMAC-SHA-512/256 of a body */

/** Encodes as many messages as fit, at least one.
 *  @param taken receives the number encoded.
 *  @return bytes written; 0 if not even one message fits. */
size_t SkyCodec_Encode(sky_host_id_t from, const sky_msg_t *messages,
                       size_t count, char *body, size_t size, size_t *taken);

/** Decodes a body and calls @p visit for each message.
 *  @return SKY_E_BAD_REQUEST on anything malformed; messages before it have
 *          been visited. */
sky_result_t SkyCodec_Decode(const char *body, size_t size,
                             void (*visit)(const sky_in_message_t *in,
                                           void *context),
                             void *context);

/** Signs a body with the hosts' key. */
void SkyCodec_Sign(const char *key, const char *body, size_t size,
                   uint8_t signature[SKY_SIGNATURE_BYTES]);

/** @return true if the signature is the body's, in constant time. */
bool SkyCodec_Verify(const char *key, const char *body, size_t size,
                     const uint8_t signature[SKY_SIGNATURE_BYTES]);

#ifdef __cplusplus
}
#endif
#endif
