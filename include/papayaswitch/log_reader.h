/**
 * @file log_reader.h
 * @brief A thread that follows one stream of the log.
 */
#ifndef PAPAYASWITCH_LOG_READER_H
#define PAPAYASWITCH_LOG_READER_H

#include "papayaswitch/log_backend.h"

/** What one read brought. */
typedef struct {
    int error;       /**< 0, PPS_EEXPIRED or PPS_EUNAVAILABLE */
    int64_t sent_us; /**< pps_clock_now_us() before the read was sent */
    pps_log_range_t range;
    pps_log_entry_t *entries;
    size_t count;
} pps_log_batch_t;

/** How to follow a stream. */
typedef struct {
    unsigned int version;
    pps_log_backend_t *backend; /**< borrowed; outlives the reader */
    const char *stream;         /**< borrowed */
    uint64_t from;
    int wait_ms; /**< how long a read waits for a record */
    /**
     * Called on the reader's thread for every read, also a failed one. The
     * receiver owns the batch: pps_log_batch_free().
     */
    void (*deliver)(pps_log_batch_t *batch, void *user);
    void *user;
} pps_log_reader_options_t;

#define PPS_LOG_READER_OPTIONS_INIT                                           \
    {                                                                         \
        .version = 1, .wait_ms = 500                                          \
    }

/** A reader. */
typedef struct pps_log_reader pps_log_reader_t;

/** Starts to follow. */
int
pps_log_reader_new(pps_log_reader_t **out,
                   const pps_log_reader_options_t *options);

/** Goes on from `offset`; what is under way is delivered before. */
void
pps_log_reader_seek(pps_log_reader_t *reader, uint64_t offset);

/** Ends the thread. NULL is allowed. */
void
pps_log_reader_free(pps_log_reader_t *reader);

/** Frees a batch. NULL is allowed. */
void
pps_log_batch_free(pps_log_batch_t *batch);

#endif
