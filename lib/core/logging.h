/**
 * @file logging.h
 * @brief Structured log lines with a syslog priority prefix.
 *
 * Fields are `key=value`; values with spaces are quoted. Lines are written to
 * standard error at once. After SkyLog_UseStandardOutput() they are buffered
 * for standard output instead: logging then never blocks, and lines beyond the
 * budget per second are dropped and counted by event, ordinary ones below
 * LOG_NOTICE first and evidence last. What was dropped is reported in a line
 * `log_dropped`, at most once a second.
 */
#ifndef SKY_CORE_LOGGING_H
#define SKY_CORE_LOGGING_H

#include <stdint.h>
#include <syslog.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Events whose dropped lines are counted by name, in the order of their first
 *  dropped line; those of others are counted as "other". */
#define SKY_LOG_EVENTS_MAX 16
#define SKY_LOG_EVENT_BYTES 32 /**< of a name; longer ones are cut */

typedef enum {
    SKY_LOG_ORDINARY,
    /** Needed to find out what happened to a request that must not repeat. It
     *  has a budget and room in the buffer that ordinary lines can't use, and
     *  is written out at once, so that it outlives a killed process. */
    SKY_LOG_EVIDENCE,
} sky_log_class_t;

#define SKY_LOG_CLASS_COUNT 2

typedef struct {
    /** Ordinary lines accepted per second; half of them are reserved for
     *  LOG_NOTICE and more urgent priorities. */
    uint32_t lines_per_s;
    /** Lines of evidence accepted per second. Further ones use what ordinary
     *  lines have left. */
    uint32_t evidence_lines_per_s;
} sky_log_options_t;

/** Sets the host name printed in each line. Call before starting threads. */
void SkyLog_SetHostName(const char *name);

/** Writes one ordinary line; fields that do not fit into 1023 bytes are
 *  truncated.
 *  @param priority syslog priority (LOG_ERR, LOG_WARNING, LOG_NOTICE, ...) */
void SkyLog_Write(int priority, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Like SkyLog_Write(), for a line of a class. */
void SkyLog_WriteClass(sky_log_class_t line_class, int priority,
                       const char *event, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/** Buffers all further lines for standard output, which it makes non-blocking.
 */
void SkyLog_UseStandardOutput(const sky_log_options_t *options);
/** Reports dropped lines, and writes as much of the buffer as standard output
 *  takes without blocking. */
void SkyLog_Flush(void);

/** Lines dropped since the process started. */
typedef struct {
    char event[SKY_LOG_EVENT_BYTES];
    uint64_t lines;
} sky_log_dropped_event_t;

typedef struct {
    uint64_t dropped[SKY_LOG_CLASS_COUNT]; /**< by sky_log_class_t */
    uint64_t truncated; /**< lines that lost the end of their fields */
    /** The last one is "other"; the events before it are in use from the
     *  first. */
    sky_log_dropped_event_t events[SKY_LOG_EVENTS_MAX + 1];
    uint32_t event_count; /**< in use, without "other" */
} sky_log_stats_t;

void SkyLog_GetStats(sky_log_stats_t *stats);
/** @return lines dropped since the process started. */
uint64_t SkyLog_DroppedLineCount(void);

#ifdef __cplusplus
}
#endif
#endif
