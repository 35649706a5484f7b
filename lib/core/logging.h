/**
 * @file logging.h
 * @brief Log lines to standard error with a syslog priority in front.
 *
 * Counters come first; a line is written only on a change of state.
 * Fields are `key=value`, values with spaces are quoted.
 */
#ifndef SKY_CORE_LOGGING_H
#define SKY_CORE_LOGGING_H

#include <syslog.h>

#ifdef __cplusplus
extern "C" {
#endif

/** Sets the host's name shown in each line. Call before other threads run. */
void SkyLog_SetName(const char *name);

/** Writes one line. @param priority LOG_ERR, LOG_WARNING, LOG_NOTICE... */
void SkyLog_Write(int priority, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#ifdef __cplusplus
}
#endif
#endif
