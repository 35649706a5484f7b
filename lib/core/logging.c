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

#define FIELDS_MAX_BYTES 1024
/** For priority, time, host and event; longer ones leave less to the fields.
 */
#define PREFIX_MAX_BYTES 160
#define LINE_MAX_BYTES (PREFIX_MAX_BYTES + FIELDS_MAX_BYTES)
#define BUFFER_BYTES 65536 /**< of lines while standard output blocks */
/** Room in the buffer that ordinary lines leave free: about 50 lines. */
#define EVIDENCE_BUFFER_BYTES 16384
#define MS_PER_S 1000

static char host_name[64] = "-";

/* Lines for standard output, used after SkyLog_UseStandardOutput(). */
static struct {
    pthread_mutex_t lock;
    bool is_enabled;
    sky_log_options_t options;
    uint64_t budget_second; /**< second of Unix time of the last line */
    /** Accepted in budget_second, by the budget that they used. */
    uint32_t lines_in_second[SKY_LOG_CLASS_COUNT];
    sky_log_stats_t stats;
    sky_log_stats_t reported; /**< `stats` as of the last report */
    /** Second of Unix time of the first dropped line that is not reported. */
    uint64_t unreported_second;
    size_t size;
    char bytes[BUFFER_BYTES];
} buffer = {.lock = PTHREAD_MUTEX_INITIALIZER,
            .stats = {.events[SKY_LOG_EVENTS_MAX].event = "other"}};

void
SkyLog_SetHostName(const char *name)
{
    snprintf(host_name, sizeof host_name, "%s", name);
}

void
SkyLog_UseStandardOutput(const sky_log_options_t *options)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    buffer.options = *options;
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

static uint64_t
count_dropped(const sky_log_stats_t *stats)
{
    return stats->dropped[SKY_LOG_ORDINARY] + stats->dropped[SKY_LOG_EVIDENCE];
}

static void
record_dropped(sky_log_class_t line_class, const char *event, uint64_t now_ms)
{
    sky_log_stats_t *stats = &buffer.stats;
    if (count_dropped(stats) == count_dropped(&buffer.reported)) {
        buffer.unreported_second = now_ms / MS_PER_S;
    }
    stats->dropped[line_class]++;
    uint32_t i = 0;
    while (i < stats->event_count && strncmp(stats->events[i].event, event,
                                             SKY_LOG_EVENT_BYTES - 1) != 0) {
        i++;
    }
    if (i == stats->event_count && i < SKY_LOG_EVENTS_MAX) {
        snprintf(stats->events[i].event, SKY_LOG_EVENT_BYTES, "%s", event);
        stats->event_count++;
    }
    stats->events[i].lines++;
}

/* Formats a line, which always ends with a line feed; returns its size. */
static size_t
format_line(char *line, int priority, const char *event, const char *fields,
            bool *is_truncated)
{
    int length = snprintf(line, LINE_MAX_BYTES,
                          "<%d>skylarkspar: at_ms=%llu host=%s event=%s %s",
                          priority, (unsigned long long)SkyClock_WallMs(),
                          host_name, event, fields);
    size_t size = length > 0 ? (size_t)length : 0;
    if (size > LINE_MAX_BYTES - 1) {
        size = LINE_MAX_BYTES - 1;
        *is_truncated = true;
    }
    line[size] = '\n'; /* in place of the terminating zero */
    return size + 1;
}

/* Appends the line that tells how many lines of which events were dropped
 * since the last one, when the second of the first of them is over. It needs
 * no budget, as there is one a second at most. */
static void
report_dropped(uint64_t now_ms)
{
    sky_log_stats_t *stats = &buffer.stats;
    const sky_log_stats_t *before = &buffer.reported;
    char fields[FIELDS_MAX_BYTES];
    char line[LINE_MAX_BYTES];
    if (count_dropped(stats) == count_dropped(before) ||
        buffer.unreported_second == now_ms / MS_PER_S ||
        buffer.size + sizeof line > sizeof buffer.bytes) {
        return;
    }
    size_t length = (size_t)snprintf(
        fields, sizeof fields, "lines=%llu evidence=%llu",
        (unsigned long long)(count_dropped(stats) - count_dropped(before)),
        (unsigned long long)(stats->dropped[SKY_LOG_EVIDENCE] -
                             before->dropped[SKY_LOG_EVIDENCE]));
    for (uint32_t i = 0; i <= SKY_LOG_EVENTS_MAX; i++) {
        uint64_t lines = stats->events[i].lines - before->events[i].lines;
        if (lines > 0 && length < sizeof fields) {
            length += (size_t)snprintf(fields + length, sizeof fields - length,
                                       " %s=%llu", stats->events[i].event,
                                       (unsigned long long)lines);
        }
    }
    bool is_truncated = length >= sizeof fields;
    size_t size =
        format_line(line, LOG_WARNING, "log_dropped", fields, &is_truncated);
    memcpy(buffer.bytes + buffer.size, line, size);
    buffer.size += size;
    stats->truncated += is_truncated;
    buffer.reported = *stats;
}

void
SkyLog_Flush(void)
{
    pthread_mutex_lock(&buffer.lock);
    if (buffer.is_enabled) {
        report_dropped(SkyClock_WallMs());
    }
    flush_locked();
    pthread_mutex_unlock(&buffer.lock);
}

void
SkyLog_GetStats(sky_log_stats_t *stats)
{
    pthread_mutex_lock(&buffer.lock);
    *stats = buffer.stats;
    pthread_mutex_unlock(&buffer.lock);
}

uint64_t
SkyLog_DroppedLineCount(void)
{
    sky_log_stats_t stats;
    SkyLog_GetStats(&stats);
    return count_dropped(&stats);
}

/* Takes one line out of the budget of this second; returns false if it is used
 * up. */
static bool
acquire_budget(sky_log_class_t line_class, int priority, uint64_t now_ms)
{
    const sky_log_options_t *options = &buffer.options;
    uint32_t *used = buffer.lines_in_second;
    if (buffer.budget_second != now_ms / MS_PER_S) {
        buffer.budget_second = now_ms / MS_PER_S;
        memset(used, 0, sizeof buffer.lines_in_second);
    }
    uint32_t ordinary_max = options->lines_per_s;
    switch (line_class) {
    case SKY_LOG_EVIDENCE:
        if (used[SKY_LOG_EVIDENCE] < options->evidence_lines_per_s) {
            used[SKY_LOG_EVIDENCE]++;
            return true;
        }
        break;
    case SKY_LOG_ORDINARY:
        if (priority > LOG_NOTICE) {
            ordinary_max /= 2;
        }
        break;
    }
    if (used[SKY_LOG_ORDINARY] < ordinary_max) {
        used[SKY_LOG_ORDINARY]++;
        return true;
    }
    return false;
}

static bool
has_room(sky_log_class_t line_class, size_t size)
{
    size_t max_bytes = line_class == SKY_LOG_EVIDENCE
                           ? sizeof buffer.bytes
                           : sizeof buffer.bytes - EVIDENCE_BUFFER_BYTES;
    return buffer.size + size <= max_bytes;
}

static void
append_to_buffer(sky_log_class_t line_class, int priority, const char *event,
                 const char *line, size_t size)
{
    uint64_t now_ms = SkyClock_WallMs();
    if (line_class == SKY_LOG_EVIDENCE && !has_room(line_class, size)) {
        flush_locked();
    }
    report_dropped(now_ms);
    if (!has_room(line_class, size) ||
        !acquire_budget(line_class, priority, now_ms)) {
        record_dropped(line_class, event, now_ms);
        return;
    }
    memcpy(buffer.bytes + buffer.size, line, size);
    buffer.size += size;
    if (line_class == SKY_LOG_EVIDENCE) {
        flush_locked();
    }
}

__attribute__((format(printf, 4, 0))) static void
write_line(sky_log_class_t line_class, int priority, const char *event,
           const char *format, va_list arguments)
{
    char fields[FIELDS_MAX_BYTES];
    char line[LINE_MAX_BYTES];
    bool is_truncated = vsnprintf(fields, sizeof fields, format, arguments) >=
                        (int)sizeof fields;
    if (!buffer.is_enabled) {
        fprintf(stderr, "<%d>skylarkspar: host=%s event=%s %s\n", priority,
                host_name, event, fields);
        return;
    }
    size_t size = format_line(line, priority, event, fields, &is_truncated);
    pthread_mutex_lock(&buffer.lock);
    buffer.stats.truncated += is_truncated;
    append_to_buffer(line_class, priority, event, line, size);
    pthread_mutex_unlock(&buffer.lock);
}

void
SkyLog_Write(int priority, const char *event, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    write_line(SKY_LOG_ORDINARY, priority, event, format, arguments);
    va_end(arguments);
}

void
SkyLog_WriteClass(sky_log_class_t line_class, int priority, const char *event,
                  const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    write_line(line_class, priority, event, format, arguments);
    va_end(arguments);
}
