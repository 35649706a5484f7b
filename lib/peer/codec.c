#include "peer/codec.h"

#include <rpc/rpc.h>
#include <sodium.h>
#include <string.h>

static bool_t
xdr_u64(XDR *xdr, uint64_t *value)
{
    return xdr_uint64_t(xdr, value);
}

static bool_t
xdr_u32(XDR *xdr, uint32_t *value)
{
    return xdr_uint32_t(xdr, value);
}

static bool_t
xdr_heartbeat(XDR *xdr, sky_msg_heartbeat_t *msg)
{
    return xdr_u64(xdr, &msg->sent_us) && xdr_u64(xdr, &msg->log_age_us) &&
           xdr_u64(xdr, &msg->view) && xdr_u64(xdr, &msg->incarnation);
}

static bool_t
xdr_acquire(XDR *xdr, sky_msg_acquire_t *msg)
{
    return xdr_u64(xdr, &msg->request) && xdr_u64(xdr, &msg->adapter) &&
           xdr_u64(xdr, &msg->fingerprint) && xdr_u32(xdr, &msg->shard) &&
           xdr_u32(xdr, &msg->pool) && xdr_u32(xdr, &msg->urgency) &&
           xdr_u32(xdr, &msg->remaining_ms) && xdr_u32(xdr, &msg->attempt);
}

static bool_t
xdr_grant(XDR *xdr, sky_msg_grant_t *msg)
{
    return xdr_u64(xdr, &msg->request) && xdr_u64(xdr, &msg->fence) &&
           xdr_u32(xdr, &msg->round) && xdr_u32(xdr, &msg->shard) &&
           xdr_u32(xdr, &msg->target) && xdr_u64(xdr, &msg->epoch) &&
           xdr_u32(xdr, &msg->adapter_wait_ms) &&
           xdr_u32(xdr, &msg->batch_utilization_percent);
}

static bool_t
xdr_refuse(XDR *xdr, sky_msg_refuse_t *msg)
{
    return xdr_u64(xdr, &msg->request) && xdr_u32(xdr, &msg->code) &&
           xdr_u32(xdr, &msg->retry_after_ms);
}

static bool_t
xdr_permit_release(XDR *xdr, sky_msg_permit_release_t *msg)
{
    return xdr_u64(xdr, &msg->request) && xdr_u32(xdr, &msg->shard) &&
           xdr_u32(xdr, &msg->target) && xdr_u32(xdr, &msg->outcome);
}

static bool_t
xdr_shard(XDR *xdr, sky_msg_shard_t *msg)
{
    return xdr_u32(xdr, &msg->shard) && xdr_u32(xdr, &msg->round) &&
           xdr_u64(xdr, &msg->fence);
}

static bool_t
xdr_permit(XDR *xdr, sky_permit_t *permit)
{
    return xdr_u64(xdr, &permit->request) && xdr_u64(xdr, &permit->adapter) &&
           xdr_u64(xdr, &permit->fingerprint) &&
           xdr_u64(xdr, &permit->epoch) && xdr_u32(xdr, &permit->target);
}

static bool_t
xdr_permit_list(XDR *xdr, sky_msg_permit_list_t *msg)
{
    if (!xdr_u32(xdr, &msg->shard) || !xdr_u64(xdr, &msg->fence) ||
        !xdr_u32(xdr, &msg->round) || !xdr_u32(xdr, &msg->total) ||
        !xdr_u32(xdr, &msg->count) || msg->count > SKY_PERMITS_PER_MSG_MAX) {
        return FALSE;
    }
    for (uint32_t i = 0; i < msg->count; i++) {
        if (!xdr_permit(xdr, &msg->permits[i])) {
            return FALSE;
        }
    }
    return TRUE;
}

static bool_t
xdr_claim_request(XDR *xdr, sky_msg_claim_request_t *msg)
{
    return xdr_u64(xdr, &msg->key.high) && xdr_u64(xdr, &msg->key.low) &&
           xdr_u64(xdr, &msg->request);
}

static bool_t
xdr_join_request(XDR *xdr, sky_msg_join_request_t *msg)
{
    bool_t ok = xdr_u64(xdr, &msg->nonce) && xdr_u32(xdr, &msg->domain) &&
                xdr_opaque(xdr, msg->name, sizeof msg->name) &&
                xdr_opaque(xdr, msg->address, sizeof msg->address) &&
                xdr_opaque(xdr, msg->listen, sizeof msg->listen);
    /* A peer may have sent texts without their final zero. */
    msg->listen[sizeof msg->listen - 1] = '\0';
    msg->name[sizeof msg->name - 1] = '\0';
    msg->address[sizeof msg->address - 1] = '\0';
    return ok;
}

static bool_t
xdr_message(XDR *xdr, sky_msg_t *msg)
{
    uint32_t kind = msg->kind;
    if (!xdr_u32(xdr, &kind)) {
        return FALSE;
    }
    msg->kind = (sky_msg_kind_t)kind;
    switch (msg->kind) {
    case SKY_MSG_HEARTBEAT:
    case SKY_MSG_HEARTBEAT_ACK:
        return xdr_heartbeat(xdr, &msg->u.heartbeat);
    case SKY_MSG_HOST_SUSPECTED:
        return xdr_u64(xdr, &msg->u.suspect.host) &&
               xdr_u64(xdr, &msg->u.suspect.incarnation);
    case SKY_MSG_ACQUIRE:
        return xdr_acquire(xdr, &msg->u.acquire);
    case SKY_MSG_GRANT:
        return xdr_grant(xdr, &msg->u.grant);
    case SKY_MSG_REFUSE:
        return xdr_refuse(xdr, &msg->u.refuse);
    case SKY_MSG_PERMIT_RELEASE:
        return xdr_permit_release(xdr, &msg->u.permit_release);
    case SKY_MSG_COLLECT_PERMITS:
    case SKY_MSG_HANDOVER:
        return xdr_shard(xdr, &msg->u.shard);
    case SKY_MSG_PERMIT_LIST:
        return xdr_permit_list(xdr, &msg->u.permit_list);
    case SKY_MSG_TARGET_LEAVING:
        return xdr_u32(xdr, &msg->u.leaving.target) &&
               xdr_u32(xdr, &msg->u.leaving.leaving);
    case SKY_MSG_CLAIM_REQUEST:
        return xdr_claim_request(xdr, &msg->u.claim_request);
    case SKY_MSG_CLAIM_RESPONSE:
        return xdr_u64(xdr, &msg->u.claim_response.request) &&
               xdr_u32(xdr, &msg->u.claim_response.code);
    case SKY_MSG_UNCONFIRMED_CRASH:
        return xdr_u64(xdr, &msg->u.unconfirmed_crash.fingerprint) &&
               xdr_u64(xdr, &msg->u.unconfirmed_crash.epoch) &&
               xdr_u32(xdr, &msg->u.unconfirmed_crash.target);
    case SKY_MSG_JOIN_REQUEST:
        return xdr_join_request(xdr, &msg->u.join_request);
    case SKY_MSG_QUEUED:
        return xdr_u64(xdr, &msg->u.queued);
    }
    return FALSE;
}

size_t
SkyCodec_Encode(sky_host_id_t from, const sky_msg_t *messages, size_t count,
                char *body, size_t size, size_t *encoded_count)
{
    XDR xdr;
    size_t used = 0;
    *encoded_count = 0;
    xdrmem_create(&xdr, body, (u_int)size, XDR_ENCODE);
    if (xdr_u64(&xdr, &from)) {
        for (size_t i = 0; i < count; i++) {
            sky_msg_t copy = messages[i];
            if (!xdr_message(&xdr, &copy)) {
                break;
            }
            used = xdr_getpos(&xdr);
            *encoded_count = i + 1;
        }
    }
    xdr_destroy(&xdr);
    return used;
}

sky_result_t
SkyCodec_Decode(const char *body, size_t size,
                void (*on_message)(const sky_in_message_t *, void *),
                void *context)
{
    XDR xdr;
    sky_in_message_t in;
    sky_result_t result = SKY_OK;
    xdrmem_create(&xdr, (char *)body, (u_int)size, XDR_DECODE);
    if (!xdr_u64(&xdr, &in.from)) {
        result = SKY_E_BAD_REQUEST;
    }
    while (!SkyResult_IsError(result) && xdr_getpos(&xdr) < size) {
        memset(&in.msg, 0, sizeof in.msg);
        if (xdr_message(&xdr, &in.msg)) {
            on_message(&in, context);
        }
        else {
            result = SKY_E_BAD_REQUEST;
        }
    }
    xdr_destroy(&xdr);
    return result;
}

/** Hashes the key from the settings, text of any length, to the 32 bytes that
 *  the MAC takes. */
static void
derive_mac_key(const char *text, uint8_t key[crypto_auth_KEYBYTES])
{
    crypto_generichash(key, crypto_auth_KEYBYTES, (const uint8_t *)text,
                       strlen(text), NULL, 0);
}

void
SkyCodec_Sign(const char *key, const char *body, size_t size,
              uint8_t signature[SKY_SIGNATURE_BYTES])
{
    uint8_t mac_key[crypto_auth_KEYBYTES];
    derive_mac_key(key, mac_key);
    crypto_auth(signature, (const uint8_t *)body, size, mac_key);
    sodium_memzero(mac_key, sizeof mac_key);
}

bool
SkyCodec_Verify(const char *key, const char *body, size_t size,
                const uint8_t signature[SKY_SIGNATURE_BYTES])
{
    uint8_t mac_key[crypto_auth_KEYBYTES];
    derive_mac_key(key, mac_key);
    int mismatch =
        crypto_auth_verify(signature, (const uint8_t *)body, size, mac_key);
    sodium_memzero(mac_key, sizeof mac_key);
    return mismatch == 0;
}
