#include "net/http_lines.h"

#include <string.h>

#define STATUS_DIGITS 3

/* The minor version, a digit, follows. */
static const char VERSION_PREFIX[] = "HTTP/1.";
#define VERSION_PREFIX_BYTES (sizeof VERSION_PREFIX - 1)

const char *
SkyHttpFault_Name(sky_http_fault_t fault)
{
    static const char *const NAMES[] = {
        "none",        "start_line",  "version",  "status", "field_name",
        "field_value", "folded_line", "line_end", "chunk",  "transfer_coding",
        "upgrade",     "target",      "other"};
    return NAMES[fault];
}

void
SkyHttpLines_BeginMessage(sky_http_lines_t *lines, bool is_request)
{
    *lines = (sky_http_lines_t){.state = SKY_HTTP_LINES_BEFORE_MESSAGE,
                                .is_request = is_request};
}

void
SkyHttpLines_BeginTrailers(sky_http_lines_t *lines)
{
    lines->state = SKY_HTTP_LINES_FIELD_START;
}

static bool
is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/* RFC 9110, section 5.6.2. */
static bool
is_token(char byte)
{
    return is_digit(byte) || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') ||
           (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Blanks, tabs, visible characters, and bytes above 127. */
static bool
is_text(char byte)
{
    unsigned char code = (unsigned char)byte;
    return byte == '\t' || (code >= ' ' && code != 0x7f);
}

static bool
fail(sky_http_lines_t *lines, sky_http_fault_t fault)
{
    lines->fault = fault;
    return false;
}

static bool
go_to(sky_http_lines_t *lines, sky_http_lines_state_t state)
{
    lines->state = state;
    lines->position = 0;
    return true;
}

/* Handles a byte that may end a line. A single LF ends one too (RFC 9112,
 * section 2.2). */
static bool
end_line(sky_http_lines_t *lines, char byte, sky_http_fault_t fault)
{
    switch (byte) {
    case '\r':
        return go_to(lines, SKY_HTTP_LINES_LINE_END);
    case '\n':
        return go_to(lines, SKY_HTTP_LINES_FIELD_START);
    default:
        return fail(lines, fault);
    }
}

static bool
check_version(sky_http_lines_t *lines, char byte)
{
    if (lines->position < VERSION_PREFIX_BYTES) {
        return byte == VERSION_PREFIX[lines->position++] ||
               fail(lines, SKY_HTTP_FAULT_VERSION);
    }
    if (lines->position == VERSION_PREFIX_BYTES) {
        lines->position++;
        return is_digit(byte) || fail(lines, SKY_HTTP_FAULT_VERSION);
    }
    if (lines->is_request) {
        return end_line(lines, byte, SKY_HTTP_FAULT_VERSION);
    }
    return byte == ' ' ? go_to(lines, SKY_HTTP_LINES_STATUS)
                       : fail(lines, SKY_HTTP_FAULT_VERSION);
}

static bool
check_status(sky_http_lines_t *lines, char byte)
{
    if (lines->position < STATUS_DIGITS) {
        bool is_valid = is_digit(byte) &&
                        (lines->position > 0 || (byte >= '1' && byte <= '5'));
        lines->position++;
        return is_valid || fail(lines, SKY_HTTP_FAULT_STATUS);
    }
    return byte == ' ' ? go_to(lines, SKY_HTTP_LINES_REASON)
                       : end_line(lines, byte, SKY_HTTP_FAULT_STATUS);
}

static bool
check_field_start(sky_http_lines_t *lines, char byte)
{
    switch (byte) {
    case '\r':
        return go_to(lines, SKY_HTTP_LINES_LAST_END);
    case '\n':
        return go_to(lines, SKY_HTTP_LINES_CLOSED);
    case ' ':
    case '\t':
        return fail(lines, SKY_HTTP_FAULT_FOLDED_LINE);
    default:
        return is_token(byte) ? go_to(lines, SKY_HTTP_LINES_FIELD_NAME)
                              : fail(lines, SKY_HTTP_FAULT_FIELD_NAME);
    }
}

/* Returns false at an invalid byte. */
static bool
check_byte(sky_http_lines_t *lines, char byte)
{
    switch (lines->state) {
    case SKY_HTTP_LINES_CLOSED:
        return true;
    case SKY_HTTP_LINES_BEFORE_MESSAGE:
        if (byte == '\r' || byte == '\n') {
            return true;
        }
        if (!lines->is_request) {
            go_to(lines, SKY_HTTP_LINES_VERSION);
            return check_version(lines, byte);
        }
        return is_token(byte) ? go_to(lines, SKY_HTTP_LINES_METHOD)
                              : fail(lines, SKY_HTTP_FAULT_START_LINE);
    case SKY_HTTP_LINES_METHOD:
        if (byte == ' ') {
            return go_to(lines, SKY_HTTP_LINES_TARGET);
        }
        return is_token(byte) || fail(lines, SKY_HTTP_FAULT_START_LINE);
    case SKY_HTTP_LINES_TARGET:
        if (byte == ' ' && lines->position > 0) {
            return go_to(lines, SKY_HTTP_LINES_VERSION);
        }
        lines->position = 1;
        return (is_text(byte) && byte != ' ' && byte != '\t') ||
               fail(lines, SKY_HTTP_FAULT_START_LINE);
    case SKY_HTTP_LINES_VERSION:
        return check_version(lines, byte);
    case SKY_HTTP_LINES_STATUS:
        return check_status(lines, byte);
    case SKY_HTTP_LINES_REASON:
        return is_text(byte) ||
               end_line(lines, byte, SKY_HTTP_FAULT_START_LINE);
    case SKY_HTTP_LINES_FIELD_START:
        return check_field_start(lines, byte);
    case SKY_HTTP_LINES_FIELD_NAME:
        if (byte == ':') {
            return go_to(lines, SKY_HTTP_LINES_FIELD_VALUE);
        }
        return is_token(byte) || fail(lines, SKY_HTTP_FAULT_FIELD_NAME);
    case SKY_HTTP_LINES_FIELD_VALUE:
        return is_text(byte) ||
               end_line(lines, byte, SKY_HTTP_FAULT_FIELD_VALUE);
    case SKY_HTTP_LINES_LINE_END:
        return byte == '\n' ? go_to(lines, SKY_HTTP_LINES_FIELD_START)
                            : fail(lines, SKY_HTTP_FAULT_LINE_END);
    case SKY_HTTP_LINES_LAST_END:
        return byte == '\n' ? go_to(lines, SKY_HTTP_LINES_CLOSED)
                            : fail(lines, SKY_HTTP_FAULT_LINE_END);
    }
    return fail(lines, SKY_HTTP_FAULT_OTHER);
}

size_t
SkyHttpLines_Check(sky_http_lines_t *lines, const char *bytes, size_t size)
{
    size_t count = 0;
    while (count < size && lines->state != SKY_HTTP_LINES_CLOSED &&
           check_byte(lines, bytes[count])) {
        count++;
    }
    return count;
}
