/**
 * @file logging.h
 * @brief Structured log lines with a syslog priority prefix.
 *
 * Fields are `key=value`; values with spaces are quoted. Lines are written to
 * standard error at once. After SkyLog_UseStandardOutput() they are buffered
 * for standard output instead: logging then never blocks, and lines beyond the
 * budget per second are dropped and counted, those below LOG_NOTICE first.
 */
#ifndef SKY_CORE_LOGGING_H
#define SKY_CORE_LOGGING_H

#include <stdint.h>
#include <syslog.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Sets the host name printed in each line. Call before starting threads. */
void SkyLog_SetHostName(const char *name);

/** Writes one line; fields that do not fit into 511 bytes are truncated.
 *  @param priority syslog priority (LOG_ERR, LOG_WARNING, LOG_NOTICE, ...) */
void SkyLog_Write(int priority, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Buffers all further lines for standard output, which it makes non-blocking.
 *  @param lines_per_s lines accepted per second; half of them are reserved for
 *                     LOG_NOTICE and more urgent priorities */
void SkyLog_UseStandardOutput(uint32_t lines_per_s);
/** Writes as much of the buffer as standard output takes without blocking. */
void SkyLog_Flush(void);
/** @return lines dropped since the process started. */
uint64_t SkyLog_DroppedLineCount(void);

#ifdef __cplusplus
}
#endif
#endif
