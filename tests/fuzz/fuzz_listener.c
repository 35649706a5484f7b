/** @file fuzz_listener.c
 *  @brief Fuzzes what a listener does with its input, without sockets:
 * requests read one after the other, and the JSON bodies of other hosts'
 * calls.
 *
 * Byte 0 of the input is the size of the pieces in which the rest is fed to
 * the reader. Each complete body is decoded like that of a call between hosts.
 */
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "net/buffer.h"
#include "net/http_reader.h"

#define BODY_BYTES_MAX 2048

typedef struct {
    sky_buffer_t body;
} connection_t;

static bool
on_head(void *context, const sky_http_head_t *head)
{
    (void)context;
    SkyHttpHead_FindField(head, "Expect");
    SkyHttpHead_IsHopByHop(head, "X-Any");
    return head->content_bytes <= BODY_BYTES_MAX;
}

static bool
on_body(void *context, const char *bytes, size_t size)
{
    connection_t *connection = context;
    SkyBuffer_Append(&connection->body, bytes, size);
    return SkyBuffer_Size(&connection->body) <= BODY_BYTES_MAX;
}

static bool
on_complete(void *context)
{
    connection_t *connection = context;
    json_t *body = json_loadb(SkyBuffer_Data(&connection->body),
                              SkyBuffer_Size(&connection->body), 0, NULL);
    json_decref(body);
    SkyBuffer_Consume(&connection->body, SkyBuffer_Size(&connection->body));
    return true;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static const sky_http_events_t EVENTS = {on_head, on_body, on_complete};
    if (size < 1) {
        return 0;
    }
    connection_t connection = {0};
    sky_http_reader_t reader;
    size_t piece_size = data[0] ? data[0] : 1;
    SkyHttpReader_Init(&reader, SKY_HTTP_REQUEST, &EVENTS, &connection, 1024);
    for (size_t offset = 1; offset < size;) {
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
    SkyBuffer_Clear(&connection.body);
    return 0;
}
