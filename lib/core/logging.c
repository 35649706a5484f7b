#include "core/logging.h"

#include <stdarg.h>
#include <stdio.h>

#define LINE_BYTES 512

static char host_name[64] = "-";

void
SkyLog_SetName(const char *name)
{
    snprintf(host_name, sizeof host_name, "%s", name);
}

void
SkyLog_Write(int priority, const char *event, const char *format, ...)
{
    char fields[LINE_BYTES];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(fields, sizeof fields, format, arguments);
    va_end(arguments);
    fprintf(stderr, "<%d>skylarkspar: host=%s event=%s %s\n", priority,
            host_name, event, fields);
}
