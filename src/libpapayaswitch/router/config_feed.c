/** @file config_feed.c @brief Folds or restores the config stream. */
#include "config_feed.h"

#include "clock.h"
#include "counters.h"
#include "event.h"
#include "fold/config_checkpoint.h"
#include "logger.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/host.h"
#include "papayaswitch/record.h"

#include <string.h>

int
pps_config_feed_init(pps_config_feed_t *feed)
{
    memset(feed, 0, sizeof(*feed));
    feed->read_sent_us = PPS_TIME_NONE;
    feed->checkpoint_us = PPS_TIME_NONE;
    return pps_config_fold_new(&feed->fold);
}

void
pps_config_feed_clear(pps_config_feed_t *feed)
{
    pps_config_fold_free(feed->fold);
    feed->fold = NULL;
}

static void
track_checkpoint(pps_config_feed_t *feed, const pps_record_t *record,
                 uint64_t offset)
{
    pps_config_checkpoint_t checkpoint;

    if (pps_config_checkpoint_open(&checkpoint, record->payload,
                                   record->size) < 0) {
        return;
    }
    if (checkpoint.next_offset >= feed->checkpoint_next_offset) {
        feed->checkpoint_next_offset = checkpoint.next_offset;
        feed->checkpoint_offset = offset;
        feed->checkpoint_us = pps_clock_now_us();
    }
    pps_config_checkpoint_close(&checkpoint);
}

/* Tracks the newest checkpoint and the last record that needs one. */
static void
track_entry(pps_config_feed_t *feed, const pps_log_entry_t *entry)
{
    pps_record_t record;

    if (pps_record_decode(&record, entry->data, entry->size) < 0) {
        return;
    }
    if (record.kind == PPS_RECORD_CONFIG_CHECKPOINT) {
        track_checkpoint(feed, &record, entry->offset);
    }
    else if (entry->offset >= feed->change_end_offset) {
        feed->change_end_offset = entry->offset + 1;
    }
}

/* Searches for a checkpoint, unless a peer's snapshot covered the gap. */
static void
begin_search(pps_config_feed_t *feed, uint64_t first)
{
    uint64_t next = pps_config_fold_next(feed->fold);

    feed->first_kept = first;
    if (next >= first && next > 0) {
        feed->searching = 0;
        pps_log_reader_seek(feed->reader, next);
        return;
    }
    if (!feed->searching) {
        pps_logger_write(PPS_LOG_WARN, "config_records_expired",
                         PPS_FIELDS(PPS_INT("first_kept", first)));
    }
    feed->searching = 1;
    pps_log_reader_seek(feed->reader, first);
}

/* Keeps the fold if the restored one covers no more records. */
static int
replace_fold(pps_config_feed_t *feed, pps_config_fold_t *fold)
{
    if (pps_config_fold_next(fold) <= pps_config_fold_next(feed->fold)) {
        pps_config_fold_free(fold);
        return 0;
    }
    pps_config_fold_free(feed->fold);
    feed->fold = fold;
    feed->change_end_offset = pps_config_fold_next(fold);
    return 1;
}

static int
restore_from(pps_config_feed_t *feed, const pps_log_entry_t *entry,
             uint64_t first)
{
    pps_config_fold_t *fold;
    pps_record_t record;

    if (pps_record_decode(&record, entry->data, entry->size) < 0 ||
        record.kind != PPS_RECORD_CONFIG_CHECKPOINT ||
        pps_config_fold_restore(&fold, record.payload, record.size) < 0) {
        return 0;
    }
    if (pps_config_fold_next(fold) < first) {
        pps_config_fold_free(fold);
        return 0;
    }
    if (!replace_fold(feed, fold)) {
        return 0;
    }
    track_checkpoint(feed, &record, entry->offset);
    return 1;
}

static int
search_batch(pps_config_feed_t *feed, const pps_log_batch_t *batch)
{
    for (size_t i = 0; i < batch->count; i++) {
        if (restore_from(feed, &batch->entries[i], batch->range.first)) {
            feed->searching = 0;
            pps_log_reader_seek(feed->reader,
                                pps_config_fold_next(feed->fold));
            pps_logger_write(PPS_LOG_INFO, "config_restored",
                             PPS_FIELDS(PPS_INT(
                                 "offset", pps_config_fold_next(feed->fold))));
            return 1;
        }
    }
    return 0;
}

static int
fold_entries(pps_config_feed_t *feed, const pps_log_batch_t *batch)
{
    int changed = 0;

    for (size_t i = 0; i < batch->count; i++) {
        const pps_log_entry_t *entry = &batch->entries[i];
        uint64_t next = pps_config_fold_next(feed->fold);
        int error;

        if (entry->offset < next) {
            track_entry(feed, entry);
            continue;
        }
        if (entry->offset > next) {
            pps_log_reader_seek(feed->reader, next);
            return changed;
        }
        error = pps_config_fold_apply(feed->fold, entry);
        if (error < 0) {
            return error;
        }
        track_entry(feed, entry);
        pps_counter_add(PPS_COUNTER_CONFIG_RECORDS, 1);
        changed = 1;
    }
    return changed;
}

int
pps_config_feed_apply(pps_config_feed_t *feed, const pps_log_batch_t *batch)
{
    int changed;

    if (batch->error == PPS_EEXPIRED) {
        begin_search(feed, batch->range.first);
        return 0;
    }
    if (batch->error < 0) {
        pps_counter_add(PPS_COUNTER_LOG_READS_FAILED, 1);
        return 0;
    }
    feed->first_kept = batch->range.first;
    changed = feed->searching ? search_batch(feed, batch)
                              : fold_entries(feed, batch);
    if (changed >= 0 && !feed->searching) {
        feed->read_sent_us = batch->sent_us;
        feed->read_head = batch->range.head;
    }
    return changed;
}

int
pps_config_feed_adopt(pps_config_feed_t *feed, const void *payload,
                      size_t size)
{
    pps_config_fold_t *fold;
    int error = pps_config_fold_restore(&fold, payload, size);

    if (error < 0) {
        pps_counter_add(PPS_COUNTER_SNAPSHOTS_CORRUPT, 1);
        return error;
    }
    if (!replace_fold(feed, fold)) {
        return 0;
    }
    if (feed->searching) {
        feed->searching = 0;
        pps_log_reader_seek(feed->reader, pps_config_fold_next(feed->fold));
    }
    return 1;
}
