/**
 * @file appender.h
 * @brief Batches records into appends to one stream of the log.
 *
 * One thread makes one append at a time and starts at most one per interval.
 * An append holds up to `batch_bytes` of queued records or one larger record.
 * It is not retried: the callback receives the error and decides on a retry.
 */
#ifndef PAPAYASWITCH_APPENDER_H
#define PAPAYASWITCH_APPENDER_H

#include "papayaswitch/log_backend.h"

#define PPS_APPENDER_OPTIONS_VERSION 1

/** Settings of an appender. */
typedef struct {
    unsigned int version;
    /** Minimum microseconds between append starts; ignored when closing. */
    int64_t interval_us;
    /** Append duration in microseconds above which no record is queued. */
    int64_t stall_us;
    size_t queue_max;   /**< maximum count of queued records */
    size_t batch_bytes; /**< maximum bytes of an append, see above */
} pps_appender_options_t;

#define PPS_APPENDER_OPTIONS_INIT                                             \
    {                                                                         \
        PPS_APPENDER_OPTIONS_VERSION, 40 * 1000, 1000 * 1000, 10000,          \
            4 * 1024 * 1024                                                   \
    }

/** Counts since the start of an appender. */
typedef struct {
    uint64_t appends; /**< calls to the log */
    uint64_t records; /**< records in these calls */
    uint64_t failed;  /**< records expired or without a confirmed append */
} pps_appender_stats_t;

/** A queue of records and the thread that appends them. */
typedef struct pps_appender pps_appender_t;

/**
 * Called on the appender's thread, once for each queued record.
 * @param result 0; PPS_EUNAVAILABLE: the record was not written;
 *        PPS_EUNKNOWN: it may have been written
 * @param offset offset of the record, if `result` is 0
 */
typedef void (*pps_appender_done_t)(int result, uint64_t offset, void *user);

/**
 * Creates an appender and starts its thread. `backend` must outlive it; NULL
 * `options` select the defaults.
 * @return 0; PPS_EINVALID: unknown version of the options; PPS_ENOMEM; PPS_EIO
 */
int
pps_appender_new(pps_appender_t **out, pps_log_backend_t *backend,
                 const char *stream, const pps_appender_options_t *options);

/** Appends the queued records, ends the thread and frees the appender. */
void
pps_appender_free(pps_appender_t *appender);

/**
 * Queues a record. If it returns 0, the appender owns `data` and frees it
 * with free().
 * @param deadline_us time of pps_clock_now_us() from which a record that is
 *        still queued fails with PPS_EUNAVAILABLE; INT64_MAX for none
 * @param done may be NULL
 * @return 0; PPS_ELIMIT: the queue is full; PPS_EUNAVAILABLE: the append in
 *         progress takes longer than `stall_us`; PPS_ECLOSED; PPS_ENOMEM
 */
int
pps_appender_submit(pps_appender_t *appender, void *data, size_t size,
                    int64_t deadline_us, pps_appender_done_t done, void *user);

/** Copies the counts of the appender to `out`. */
void
pps_appender_stats(pps_appender_t *appender, pps_appender_stats_t *out);

#endif
