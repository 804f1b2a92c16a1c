/** @file journal_checkpoint.c @brief Decides on and writes checkpoints. */
#include "journal_state.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>

/* Returns whether the log has dropped records that no folded checkpoint
 * covers; 0 until the fold has reached the log's first record. */
static int
has_uncovered_gap(const pps_journal_t *journal)
{
    return journal->log_first >
               pps_work_fold_checkpoint_offset(journal->fold, NULL) &&
           pps_work_fold_next(journal->fold) >= journal->log_first;
}

int
pps_journal_checkpoint_due(pps_journal_t *journal)
{
    const pps_journal_options_t *options = &journal->options;
    int64_t age_us;
    uint64_t records;
    int due;

    pthread_mutex_lock(&journal->mutex);
    records = pps_work_fold_next(journal->fold) -
              pps_work_fold_checkpoint_offset(journal->fold, NULL);
    age_us = pps_clock_now_us() - journal->checkpoint_seen_us;
    due = records > 0 && journal->checkpoint_queued == 0 &&
          (has_uncovered_gap(journal) ||
           age_us > (int64_t)options->checkpoint_s * PPS_US_PER_S +
                        journal->stagger_us ||
           records > options->checkpoint_records + journal->stagger_records);
    pthread_mutex_unlock(&journal->mutex);
    return due;
}

static void
on_part_appended(int result, uint64_t offset, void *user)
{
    pps_journal_t *journal = user;

    pthread_mutex_lock(&journal->mutex);
    journal->checkpoint_queued--;
    pthread_mutex_unlock(&journal->mutex);
}

static int
submit_part(const void *payload, size_t size, void *user)
{
    pps_journal_t *journal = user;
    void *data;
    size_t data_size;
    int error = pps_record_encode(&data, &data_size,
                                  PPS_RECORD_WORK_CHECKPOINT, payload, size);

    if (error < 0) {
        return error;
    }
    error = pps_appender_submit(journal->appender, data, data_size, INT64_MAX,
                                on_part_appended, journal);
    if (error < 0) {
        free(data);
        return error;
    }
    journal->checkpoint_queued++;
    return PPS_OK;
}

int
pps_journal_checkpoint(pps_journal_t *journal)
{
    int error;

    pthread_mutex_lock(&journal->mutex);
    error =
        pps_work_fold_write_checkpoint(journal->fold, submit_part, journal);
    pthread_mutex_unlock(&journal->mutex);
    return error;
}
