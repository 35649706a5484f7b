/** @file fuzz_codec.c
 *  @brief Fuzzes the decoder of message batches from other hosts.
 */
#include <stdlib.h>

#include "peer/codec.h"

static void
on_message(const sky_in_message_t *in, void *context)
{
    if (in->msg.kind == SKY_MSG_PERMIT_LIST &&
        in->msg.u.permit_list.count > SKY_PERMITS_PER_MSG_MAX) {
        abort();
    }
    (void)context;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    SkyCodec_Decode((const char *)data, size, on_message, NULL);
    return 0;
}
