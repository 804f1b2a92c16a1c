/**
 * @file log_reader.h
 * @brief Reads one stream of the log continuously on a thread of its own.
 */
#ifndef PAPAYASWITCH_LOG_READER_H
#define PAPAYASWITCH_LOG_READER_H

#include "papayaswitch/log_backend.h"

/** Result of one read. */
typedef struct {
    int error;       /**< result of the backend's `read` */
    int64_t sent_us; /**< pps_clock_now_us() before the read was sent */
    pps_log_range_t range;
    pps_log_entry_t *entries;
    size_t count;
} pps_log_batch_t;

/** Settings of a reader. */
typedef struct {
    unsigned int version;
    pps_log_backend_t *backend; /**< borrowed; outlives the reader */
    const char *stream;         /**< borrowed */
    uint64_t from;              /**< offset of the first read */
    int wait_ms; /**< maximum time that a read waits for a record */
    /**
     * Called on the reader's thread after every read, also a failed one. The
     * callee owns the batch and frees it with pps_log_batch_free().
     */
    void (*deliver)(pps_log_batch_t *batch, void *user);
    void *user;
} pps_log_reader_options_t;

#define PPS_LOG_READER_OPTIONS_INIT                                           \
    {                                                                         \
        .version = 1, .wait_ms = 500                                          \
    }

typedef struct pps_log_reader pps_log_reader_t;

/** Creates a reader and starts its thread. @return 0, PPS_ENOMEM or PPS_EIO */
int
pps_log_reader_new(pps_log_reader_t **out,
                   const pps_log_reader_options_t *options);

/** Sets the offset of the next read; a read in progress is still delivered. */
void
pps_log_reader_seek(pps_log_reader_t *reader, uint64_t offset);

/** Waits for the read in progress and frees the reader. NULL is allowed. */
void
pps_log_reader_free(pps_log_reader_t *reader);

/** Frees a batch. NULL is allowed. */
void
pps_log_batch_free(pps_log_batch_t *batch);

#endif
