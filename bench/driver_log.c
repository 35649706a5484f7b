/** @file driver_log.c @brief Fake log: offsets, retention, lost responses. */
#include <stdlib.h>

#include "bench/driver_state.h"

#define READ_RECORDS_MAX 500

static void
drop_expired_records(driver_t *driver)
{
    while (driver->log_oldest <= driver->log_count &&
           driver->log[driver->log_oldest].appended_us +
                   driver->options.retention_us <
               driver->now_us) {
        SkyRecord_Clear(&driver->log[driver->log_oldest].record);
        driver->log_oldest++;
    }
}

static void
append_record(driver_t *driver, sky_record_t *record)
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
    entry->appended_us = driver->now_us;
    entry->record = *record;
    entry->record.offset = driver->log_count;
    driver->stats.appends++;
    DriverState_Trace(driver,
                      "log offset %lu: kind %d host %lx incarnation %lu",
                      driver->log_count, (int)record->kind,
                      record->u.member.host, record->u.member.incarnation);
}

void
DriverLog_HandleAppend(driver_t *driver, event_t *event)
{
    host_t *host = &driver->hosts[event->host];
    uint64_t nonce = event->record->nonce;
    bool unavailable = driver->log_unavailable || host->log_cut;
    bool response_lost =
        Driver_RandomFraction(driver) < driver->response_loss_rate;
    if (unavailable) {
        SkyRecord_Clear(event->record);
    }
    else {
        append_record(driver, event->record);
    }
    free(event->record);
    sky_input_t *input = DriverState_ScheduleInput(
        driver, event->host, event->generation, SKY_IN_APPEND_RESULT,
        driver->now_us +
            DriverState_AddJitter(driver, driver->options.log_delay_us));
    input->u.append_result.nonce = nonce;
    input->u.append_result.known = !unavailable && !response_lost;
    input->u.append_result.offset = driver->log_count;
}

/** @return the first offset that reads do not return yet. */
static uint64_t
end_of_readable(const driver_t *driver)
{
    uint64_t end = driver->log_count + 1;
    while (end > driver->log_oldest && driver->options.log_read_lag_us > 0 &&
           driver->log[end - 1].appended_us + driver->options.log_read_lag_us >
               driver->now_us) {
        end--;
    }
    return end;
}

void
DriverLog_HandleRead(driver_t *driver, const event_t *event)
{
    const host_t *host = &driver->hosts[event->host];
    sky_input_t *input = DriverState_ScheduleInput(
        driver, event->host, event->generation, SKY_IN_LOG_READ,
        driver->now_us +
            DriverState_AddJitter(driver, driver->options.log_delay_us));
    sky_in_log_read_t *read = &input->u.log_read;
    read->begun_us = event->sent_host_us;
    read->ok = !driver->log_unavailable && !host->log_cut;
    if (!read->ok) {
        return;
    }
    drop_expired_records(driver);
    uint64_t end = end_of_readable(driver);
    uint64_t next_offset = event->offset_or_version > driver->log_oldest
                               ? event->offset_or_version
                               : driver->log_oldest;
    read->oldest = driver->log_oldest;
    read->records = calloc(READ_RECORDS_MAX, sizeof *read->records);
    for (; next_offset < end && read->count < READ_RECORDS_MAX;
         next_offset++) {
        sky_record_t *record = &read->records[read->count++];
        SkyRecord_Copy(record, &driver->log[next_offset].record);
        record->age_ms =
            (driver->now_us - driver->log[next_offset].appended_us) / 1000;
    }
    read->next = next_offset;
    read->reached_tail = next_offset >= end;
    driver->stats.log_reads++;
    driver->stats.log_records_read += read->count;
}
