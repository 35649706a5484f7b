/** @file driver_log.c @brief The fake log: offsets, retention, lost answers.
 */
#include <stdlib.h>

#include "bench/driver_state.h"

#define READ_PAGE 500

static void
trim_log(driver_t *driver)
{
    while (driver->log_oldest <= driver->log_count &&
           driver->log[driver->log_oldest].at_us +
                   driver->options.retention_us <
               driver->now_us) {
        SkyRecord_Clear(&driver->log[driver->log_oldest].record);
        driver->log_oldest++;
    }
}

static void
append_to_log(driver_t *driver, sky_record_t *record)
{
    if (driver->log_count + 2 > driver->log_capacity) {
        driver->log_capacity = 2 * driver->log_capacity + 1024;
        driver->log =
            realloc(driver->log, driver->log_capacity * sizeof *driver->log);
        if (driver->log == NULL) {
            abort();
        }
    }
    log_entry_t *entry = &driver->log[++driver->log_count];
    entry->at_us = driver->now_us;
    entry->record = *record;
    entry->record.offset = driver->log_count;
    driver->stats.appends++;
    DriverState_Trace(driver, "log %lu: kind %d host %lx incarnation %lu",
                      driver->log_count, (int)record->kind,
                      record->u.member.host, record->u.member.incarnation);
}

void
DriverLog_Append(driver_t *driver, event_t *event)
{
    host_t *host = &driver->hosts[event->host];
    uint64_t nonce = event->record->nonce;
    bool refused = driver->log_down || host->log_cut;
    bool lost = Driver_Uniform(driver) < driver->lose_share;
    if (refused) {
        SkyRecord_Clear(event->record);
    }
    else {
        append_to_log(driver, event->record);
    }
    free(event->record);
    sky_input_t *input = DriverState_Input(
        driver, event->host, event->generation, SKY_IN_APPEND_RESULT,
        driver->now_us + DriverState_Jitter(driver, driver->options.log_us));
    input->u.append_result.nonce = nonce;
    input->u.append_result.known = !refused && !lost;
    input->u.append_result.offset = driver->log_count;
}

/** @return first offset that a read does not show yet. */
static uint64_t
visible_end(const driver_t *driver)
{
    uint64_t end = driver->log_count + 1;
    while (end > driver->log_oldest && driver->options.log_lag_us > 0 &&
           driver->log[end - 1].at_us + driver->options.log_lag_us >
               driver->now_us) {
        end--;
    }
    return end;
}

void
DriverLog_Read(driver_t *driver, const event_t *event)
{
    const host_t *host = &driver->hosts[event->host];
    sky_input_t *input = DriverState_Input(
        driver, event->host, event->generation, SKY_IN_LOG_READ,
        driver->now_us + DriverState_Jitter(driver, driver->options.log_us));
    sky_in_log_read_t *read = &input->u.log_read;
    read->begun_us = event->begun_us;
    read->ok = !driver->log_down && !host->log_cut;
    if (!read->ok) {
        return;
    }
    trim_log(driver);
    uint64_t end = visible_end(driver);
    uint64_t at =
        event->from > driver->log_oldest ? event->from : driver->log_oldest;
    read->oldest = driver->log_oldest;
    read->records = calloc(READ_PAGE, sizeof *read->records);
    for (; at < end && read->count < READ_PAGE; at++) {
        sky_record_t *record = &read->records[read->count++];
        SkyRecord_Copy(record, &driver->log[at].record);
        record->age_ms = (driver->now_us - driver->log[at].at_us) / 1000;
    }
    read->next = at;
    read->reached_tail = at >= end;
    driver->stats.log_reads++;
    driver->stats.log_records_read += read->count;
}
