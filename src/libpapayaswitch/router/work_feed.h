/**
 * @file work_feed.h
 * @brief Hands the stream `work` to the journal. Control thread only.
 */
#ifndef PPS_ROUTER_WORK_FEED_H
#define PPS_ROUTER_WORK_FEED_H

#include "papayaswitch/journal.h"
#include "papayaswitch/log_reader.h"

/** The work stream on this host. */
typedef struct {
    pps_journal_t *journal; /**< borrowed */
    pps_log_reader_t *reader;
    pps_work_restorer_t *restorer; /**< while records had expired, or NULL */
} pps_work_feed_t;

/** Takes what a read brought. */
int
pps_work_feed_take(pps_work_feed_t *feed, const pps_log_batch_t *batch);

/** Frees what a search left; the reader must be freed before. */
void
pps_work_feed_clear(pps_work_feed_t *feed);

#endif
