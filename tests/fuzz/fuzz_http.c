/** @file fuzz_http.c
 *  @brief Fuzzes the HTTP parser, header rewriting and event stream parser.
 *
 * Byte 0 of the input chooses a request or a response, byte 1 is the size of
 * the pieces in which the rest is fed to the parser.
 */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "net/event_stream.h"
#include "net/http_reader.h"
#include "platform/wire.h"

static bool
on_head(void *context, const sky_http_head_t *head)
{
    sky_request_facts_t request;
    sky_response_facts_t response;
    sky_buffer_t out = {0};
    sky_forward_options_t forward = {.target_id = "i", .urgency = 1};
    (void)context;
    SkyWire_ParseRequest(head, &request);
    SkyWire_ParseResponse(head, &response);
    SkyWire_WriteRequest(&out, head, "", 0, &forward);
    SkyWire_WriteResponseFields(&out, head);
    SkyBuffer_Clear(&out);
    return true;
}

static bool
on_body(void *context, const char *bytes, size_t size)
{
    sky_buffer_t ready = {0};
    SkyEventStream_Feed(context, bytes, size, &ready);
    SkyBuffer_Clear(&ready);
    return true;
}

static bool
on_complete(void *context)
{
    SkyEventStream_DiscardPartial(context);
    return true;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const sky_http_events_t EVENTS = {on_head, on_body, on_complete};
    if (size < 2) {
        return 0;
    }
    sky_event_stream_t stream = {0};
    sky_http_reader_t reader;
    sky_http_message_kind_t kind =
        data[0] & 1 ? SKY_HTTP_REQUEST : SKY_HTTP_RESPONSE;
    size_t piece_size = data[1] ? data[1] : 1;
    SkyHttpReader_Init(&reader, kind, &EVENTS, &stream, 4096);
    for (size_t offset = 2; offset < size;) {
        size_t consumed = 0;
        size_t fed = size - offset < piece_size ? size - offset : piece_size;
        sky_http_progress_t progress = SkyHttpReader_Feed(
            &reader, (const char *)data + offset, fed, &consumed);
        if (consumed == 0 || (progress != SKY_HTTP_INCOMPLETE &&
                              progress != SKY_HTTP_COMPLETE)) {
            break;
        }
        offset += consumed;
    }
    SkyHttpReader_Clear(&reader);
    SkyEventStream_Clear(&stream);
    return 0;
}
