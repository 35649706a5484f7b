/* Calls between hosts. The body is encoded by lib/peer/codec.c. */
const SKY_BATCH_BYTES = 262144;
const SKY_AUTH_BYTES = 32;

struct sky_batch {
    opaque auth[SKY_AUTH_BYTES];
    opaque body<SKY_BATCH_BYTES>;
};

program SKY_PEER_PROGRAM {
    version SKY_PEER_V1 {
        int SKY_PEER_DELIVER(sky_batch) = 1;
    } = 1;
} = 0x20534b59;
