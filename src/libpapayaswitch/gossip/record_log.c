/** @file record_log.c @brief Keeps the last records for other hosts. */
#include "record_log.h"

static int
is_of(const pps_record_log_entry_t *entry, unsigned int topic, int64_t epoch)
{
    return entry->encoded.size > 0 && entry->topic == topic &&
           entry->epoch == epoch;
}

void
pps_record_log_add(pps_record_log_t *log, const pps_gossip_record_t *record,
                   const char *data, size_t size)
{
    pps_record_log_entry_t *entry = &log->entries[log->next];

    for (size_t i = 0; i < PPS_RECORD_LOG_SIZE; i++) {
        if (is_of(&log->entries[i], record->topic, record->epoch) &&
            log->entries[i].offset == record->offset) {
            return;
        }
    }
    pps_buf_clear(&entry->encoded);
    pps_buf_append(&entry->encoded, data, size);
    if (entry->encoded.failed) {
        pps_buf_clear(&entry->encoded);
        return;
    }
    entry->topic = record->topic;
    entry->epoch = record->epoch;
    entry->offset = record->offset;
    entry->relevant_end_before = record->relevant_end_before;
    log->next = (log->next + 1) % PPS_RECORD_LOG_SIZE;
}

/* Finds the kept record with the lowest offset at or above one. */
static const pps_record_log_entry_t *
find_from(const pps_record_log_t *log, unsigned int topic, int64_t epoch,
          int64_t offset)
{
    const pps_record_log_entry_t *found = NULL;

    for (size_t i = 0; i < PPS_RECORD_LOG_SIZE; i++) {
        const pps_record_log_entry_t *entry = &log->entries[i];

        if (is_of(entry, topic, epoch) && entry->offset >= offset &&
            (found == NULL || entry->offset < found->offset)) {
            found = entry;
        }
    }
    return found;
}

size_t
pps_record_log_visit(const pps_record_log_t *log, unsigned int topic,
                     int64_t epoch, int64_t end, pps_record_log_fn visit,
                     void *user)
{
    const pps_record_log_entry_t *entry = find_from(log, topic, epoch, end);
    size_t count = 0;

    while (entry != NULL && entry->relevant_end_before <= end) {
        visit(user, &entry->encoded);
        count++;
        end = entry->offset + 1;
        entry = find_from(log, topic, epoch, end);
    }
    return count;
}

void
pps_record_log_clear(pps_record_log_t *log)
{
    for (size_t i = 0; i < PPS_RECORD_LOG_SIZE; i++) {
        pps_buf_clear(&log->entries[i].encoded);
    }
}
