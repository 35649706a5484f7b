/**
 * @file logging.h
 * @brief Structured log lines with a syslog priority in front.
 *
 * Fields are `key=value`, values with spaces are quoted. Lines go to standard
 * error as they come, or, after SkyLog_UseStandardOutput(), to standard output
 * in batches: then writing never blocks, and lines beyond the budget of a
 * second are dropped and counted, the least important first.
 */
#ifndef SKY_CORE_LOGGING_H
#define SKY_CORE_LOGGING_H

#include <stdint.h>
#include <syslog.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Sets the host's name shown in each line. Call before other threads run. */
void SkyLog_SetName(const char *name);

/** Writes one line. @param priority LOG_ERR, LOG_WARNING, LOG_NOTICE... */
void SkyLog_Write(int priority, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/** Sends lines to standard output from now on. @param lines_per_s budget;
 *  half of it is kept for LOG_NOTICE and above. */
void SkyLog_UseStandardOutput(uint32_t lines_per_s);
/** Writes out what was collected, as far as that does not block. */
void SkyLog_Flush(void);
/** @return lines dropped since start. */
uint64_t SkyLog_Dropped(void);

#ifdef __cplusplus
}
#endif
#endif
