/**
 * @file appender.h
 * @brief Group commit to one stream of the log.
 *
 * One thread, one append outstanding, at most one append an interval; an
 * append carries all that was queued. Nothing is retried here: the caller is
 * told at once and decides.
 */
#ifndef PAPAYASWITCH_APPENDER_H
#define PAPAYASWITCH_APPENDER_H

#include "papayaswitch/log_backend.h"

#define PPS_APPENDER_OPTIONS_VERSION 1

/** Settings of an appender. */
typedef struct {
    unsigned int version;
    /** Least time between the starts of two appends, in microseconds. */
    int64_t interval_us;
    /** An append under way for longer makes new records fail at once. */
    int64_t stall_us;
    size_t queue_max;   /**< records waiting */
    size_t batch_bytes; /**< most bytes in one append */
} pps_appender_options_t;

#define PPS_APPENDER_OPTIONS_INIT                                             \
    {                                                                         \
        PPS_APPENDER_OPTIONS_VERSION, 40 * 1000, 1000 * 1000, 10000,          \
            4 * 1024 * 1024                                                   \
    }

/** What an appender has done. */
typedef struct {
    uint64_t appends; /**< calls to the log */
    uint64_t records; /**< records in them */
    uint64_t failed;  /**< records whose append did not succeed */
} pps_appender_stats_t;

/** A queue with its thread. */
typedef struct pps_appender pps_appender_t;

/**
 * Called on the appender's thread, once for each record that was taken.
 * @param result 0; PPS_EUNAVAILABLE: surely not written; PPS_EUNKNOWN: it may
 *        have been written
 * @param offset of the record when `result` is 0
 */
typedef void (*pps_appender_done_t)(int result, uint64_t offset, void *user);

/** Starts the thread. The backend must outlive the appender. */
int
pps_appender_new(pps_appender_t **out, pps_log_backend_t *backend,
                 const char *stream, const pps_appender_options_t *options);

/** Appends what is queued, ends the thread, frees. */
void
pps_appender_free(pps_appender_t *appender);

/**
 * Queues a record. Takes over `data` (free()) when it returns 0.
 * @param deadline_us a record still queued then is given back as not
 *        written; INT64_MAX for none
 * @param done may be NULL
 * @return 0; PPS_ELIMIT when the queue is full; PPS_EUNAVAILABLE when the log
 *         does not answer; PPS_ECLOSED
 */
int
pps_appender_submit(pps_appender_t *appender, void *data, size_t size,
                    int64_t deadline_us, pps_appender_done_t done, void *user);

void
pps_appender_stats(pps_appender_t *appender, pps_appender_stats_t *out);

#endif
