/**
 * @file codec.h
 * @brief XDR encoding and signatures of the message batches between hosts.
 */
#ifndef SKY_PEER_CODEC_H
#define SKY_PEER_CODEC_H

#include "decide/types.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKY_SIGNATURE_BYTES 32 /**< HMAC-SHA-512/256 of a batch's body */

/** Encodes the sender's id and as many messages as fit in @p size bytes.
 *  @param encoded_count receives the number of messages encoded.
 *  @return bytes written; 0 if no message fits. */
size_t SkyCodec_Encode(sky_host_id_t from, const sky_msg_t *messages,
                       size_t count, char *body, size_t size,
                       size_t *encoded_count);

/** Decodes a body and calls @p on_message for each message in order.
 *  @return SKY_OK, or SKY_E_BAD_REQUEST at the first malformed part, after
 *          @p on_message was called for the messages before it. */
sky_result_t SkyCodec_Decode(const char *body, size_t size,
                             void (*on_message)(const sky_in_message_t *in,
                                                void *context),
                             void *context);

/** Signs a body with the key that all hosts share. */
void SkyCodec_Sign(const char *key, const char *body, size_t size,
                   uint8_t signature[SKY_SIGNATURE_BYTES]);

/** Compares in constant time. @return true if the signature is valid. */
bool SkyCodec_Verify(const char *key, const char *body, size_t size,
                     const uint8_t signature[SKY_SIGNATURE_BYTES]);

#ifdef __cplusplus
}
#endif
#endif
