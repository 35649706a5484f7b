#include "core/logging.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "core/clock.h"

#define LINE_MAX_BYTES 640
#define PREFIX_MAX_BYTES 128 /**< for priority, time, host and event */
#define BUFFER_BYTES 65536   /**< of lines while standard output blocks */
#define MS_PER_S 1000

static char host_name[64] = "-";

/* Lines for standard output, used after SkyLog_UseStandardOutput(). */
static struct {
    pthread_mutex_t lock;
    bool is_enabled;
    uint32_t lines_per_s;
    uint64_t budget_second;   /**< second of Unix time of the last line */
    uint32_t lines_in_second; /**< accepted in budget_second */
    uint64_t dropped_count;
    size_t size;
    char bytes[BUFFER_BYTES];
} buffer = {.lock = PTHREAD_MUTEX_INITIALIZER};

void
SkyLog_SetHostName(const char *name)
{
    snprintf(host_name, sizeof host_name, "%s", name);
}

void
SkyLog_UseStandardOutput(uint32_t lines_per_s)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    buffer.lines_per_s = lines_per_s;
    buffer.is_enabled = true;
}

static void
flush_locked(void)
{
    size_t written = 0;
    while (written < buffer.size) {
        ssize_t written_now = write(STDOUT_FILENO, buffer.bytes + written,
                                    buffer.size - written);
        if (written_now <= 0) {
            if (written_now < 0 && errno == EINTR) {
                continue;
            }
            break;
        }
        written += (size_t)written_now;
    }
    memmove(buffer.bytes, buffer.bytes + written, buffer.size - written);
    buffer.size -= written;
}

void
SkyLog_Flush(void)
{
    pthread_mutex_lock(&buffer.lock);
    flush_locked();
    pthread_mutex_unlock(&buffer.lock);
}

uint64_t
SkyLog_DroppedLineCount(void)
{
    pthread_mutex_lock(&buffer.lock);
    uint64_t dropped_count = buffer.dropped_count;
    pthread_mutex_unlock(&buffer.lock);
    return dropped_count;
}

static bool
is_within_budget(int priority, uint64_t now_ms)
{
    if (buffer.budget_second != now_ms / MS_PER_S) {
        buffer.budget_second = now_ms / MS_PER_S;
        buffer.lines_in_second = 0;
    }
    uint32_t max_lines =
        priority > LOG_NOTICE ? buffer.lines_per_s / 2 : buffer.lines_per_s;
    return buffer.lines_in_second < max_lines;
}

static void
append_to_buffer(int priority, const char *line, size_t size)
{
    pthread_mutex_lock(&buffer.lock);
    if (!is_within_budget(priority, SkyClock_WallMs()) ||
        buffer.size + size > sizeof buffer.bytes) {
        buffer.dropped_count++;
    }
    else {
        memcpy(buffer.bytes + buffer.size, line, size);
        buffer.size += size;
        buffer.lines_in_second++;
    }
    pthread_mutex_unlock(&buffer.lock);
}

void
SkyLog_Write(int priority, const char *event, const char *format, ...)
{
    char fields[LINE_MAX_BYTES - PREFIX_MAX_BYTES];
    char line[LINE_MAX_BYTES];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(fields, sizeof fields, format, arguments);
    va_end(arguments);
    if (!buffer.is_enabled) {
        fprintf(stderr, "<%d>skylarkspar: host=%s event=%s %s\n", priority,
                host_name, event, fields);
        return;
    }
    uint64_t now_ms = SkyClock_WallMs();
    int size = snprintf(
        line, sizeof line, "<%d>skylarkspar: at_ms=%llu host=%s event=%s %s\n",
        priority, (unsigned long long)now_ms, host_name, event, fields);
    if (size > 0 && (size_t)size < sizeof line) {
        append_to_buffer(priority, line, (size_t)size);
    }
}
