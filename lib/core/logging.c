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

#define LINE_BYTES 640
#define BATCH_BYTES 65536 /**< unwritten lines kept while nobody reads */
#define MS_PER_S 1000

static char host_name[64] = "-";

/* Lines for standard output; only used once it was chosen. */
static struct {
    pthread_mutex_t lock;
    bool chosen;
    uint32_t lines_per_s;
    uint64_t second;
    uint32_t lines; /**< in the present second */
    uint64_t dropped;
    size_t size;
    char bytes[BATCH_BYTES];
} batch = {.lock = PTHREAD_MUTEX_INITIALIZER};

void
SkyLog_SetName(const char *name)
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
    batch.lines_per_s = lines_per_s;
    batch.chosen = true;
}

static void
flush_locked(void)
{
    size_t at = 0;
    while (at < batch.size) {
        ssize_t sent = write(STDOUT_FILENO, batch.bytes + at, batch.size - at);
        if (sent <= 0) {
            if (sent < 0 && errno == EINTR) {
                continue;
            }
            break;
        }
        at += (size_t)sent;
    }
    memmove(batch.bytes, batch.bytes + at, batch.size - at);
    batch.size -= at;
}

void
SkyLog_Flush(void)
{
    pthread_mutex_lock(&batch.lock);
    flush_locked();
    pthread_mutex_unlock(&batch.lock);
}

uint64_t
SkyLog_Dropped(void)
{
    pthread_mutex_lock(&batch.lock);
    uint64_t dropped = batch.dropped;
    pthread_mutex_unlock(&batch.lock);
    return dropped;
}

static bool
is_within_budget(int priority, uint64_t now_ms)
{
    if (batch.second != now_ms / MS_PER_S) {
        batch.second = now_ms / MS_PER_S;
        batch.lines = 0;
    }
    uint32_t most =
        priority > LOG_NOTICE ? batch.lines_per_s / 2 : batch.lines_per_s;
    return batch.lines < most;
}

static void
collect(int priority, const char *line, size_t size)
{
    pthread_mutex_lock(&batch.lock);
    if (!is_within_budget(priority, SkyClock_WallMs()) ||
        batch.size + size > sizeof batch.bytes) {
        batch.dropped++;
    }
    else {
        memcpy(batch.bytes + batch.size, line, size);
        batch.size += size;
        batch.lines++;
    }
    pthread_mutex_unlock(&batch.lock);
}

void
SkyLog_Write(int priority, const char *event, const char *format, ...)
{
    char fields[LINE_BYTES - 128];
    char line[LINE_BYTES];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(fields, sizeof fields, format, arguments);
    va_end(arguments);
    if (!batch.chosen) {
        fprintf(stderr, "<%d>skylarkspar: host=%s event=%s %s\n", priority,
                host_name, event, fields);
        return;
    }
    uint64_t now_ms = SkyClock_WallMs();
    int size = snprintf(
        line, sizeof line, "<%d>skylarkspar: at_ms=%llu host=%s event=%s %s\n",
        priority, (unsigned long long)now_ms, host_name, event, fields);
    if (size > 0 && (size_t)size < sizeof line) {
        collect(priority, line, (size_t)size);
    }
}
