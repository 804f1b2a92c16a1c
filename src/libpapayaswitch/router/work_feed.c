/** @file work_feed.c @brief Folds or restores the work stream. */
#include "work_feed.h"

#include "counters.h"
#include "logger.h"
#include "papayaswitch/errors.h"

void
pps_work_feed_clear(pps_work_feed_t *feed)
{
    pps_work_restorer_free(feed->restorer);
    feed->restorer = NULL;
}

static int
begin_search(pps_work_feed_t *feed, uint64_t first)
{
    int error = PPS_OK;

    if (feed->restorer == NULL) {
        error = pps_work_restorer_new(&feed->restorer);
    }
    pps_logger_write(PPS_LOG_WARN, "work_records_expired",
                     PPS_FIELDS(PPS_INT("first_kept", first)));
    pps_log_reader_seek(feed->reader, first);
    return error;
}

/* Searches up to the head, since the newest complete checkpoint is used. */
static int
search_batch(pps_work_feed_t *feed, const pps_log_batch_t *batch)
{
    pps_work_fold_t *fold;
    int error = PPS_OK;

    for (size_t i = 0; i < batch->count && error == 0; i++) {
        error = pps_work_restorer_feed(feed->restorer, &batch->entries[i]);
    }
    if (error < 0 || batch->count > 0) {
        return error;
    }
    error = pps_work_restorer_take(feed->restorer, &fold);
    if (error < 0) {
        return error == PPS_ENOTFOUND ? PPS_OK : error;
    }
    pps_log_reader_seek(feed->reader, pps_work_fold_next(fold));
    pps_logger_write(PPS_LOG_INFO, "work_restored",
                     PPS_FIELDS(PPS_INT("offset", pps_work_fold_next(fold))));
    pps_journal_restore(feed->journal, fold);
    pps_work_feed_clear(feed);
    return PPS_OK;
}

/* Folds records that the journal lacks; rereads the log at a gap. */
static int
fold_batch(pps_work_feed_t *feed, const pps_log_batch_t *batch)
{
    uint64_t next = pps_journal_next(feed->journal);
    size_t skip = 0;

    while (skip < batch->count && batch->entries[skip].offset < next) {
        skip++;
    }
    if (skip == batch->count) {
        return PPS_OK;
    }
    if (batch->entries[skip].offset != next) {
        pps_log_reader_seek(feed->reader, next);
        return PPS_OK;
    }
    return pps_journal_fold(feed->journal, batch->entries + skip,
                            batch->count - skip);
}

int
pps_work_feed_apply(pps_work_feed_t *feed, const pps_log_batch_t *batch)
{
    int error;

    if (batch->error == PPS_EEXPIRED) {
        return begin_search(feed, batch->range.first);
    }
    if (batch->error < 0) {
        pps_counter_add(PPS_COUNTER_LOG_READS_FAILED, 1);
        return PPS_OK;
    }
    if (feed->restorer != NULL) {
        return search_batch(feed, batch);
    }
    error = fold_batch(feed, batch);
    pps_journal_on_read(feed->journal, batch->range.first, batch->range.head,
                        batch->sent_us);
    return error;
}
