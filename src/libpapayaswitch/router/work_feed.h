/**
 * @file work_feed.h
 * @brief Passes the work stream to the journal. Control thread only.
 */
#ifndef PPS_ROUTER_WORK_FEED_H
#define PPS_ROUTER_WORK_FEED_H

#include "papayaswitch/journal.h"
#include "papayaswitch/log_reader.h"

/** State of the work stream on this host. */
typedef struct {
    pps_journal_t *journal; /**< borrowed */
    pps_log_reader_t *reader;
    pps_work_restorer_t *restorer; /**< set while searching for a checkpoint */
} pps_work_feed_t;

/** Applies the result of a read. @return 0 or a negative code */
int
pps_work_feed_apply(pps_work_feed_t *feed, const pps_log_batch_t *batch);

/** Frees the state of an unfinished search. Free the reader first. */
void
pps_work_feed_clear(pps_work_feed_t *feed);

#endif
