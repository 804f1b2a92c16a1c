/**
 * @file log_backend.h
 * @brief The platform's append-only log, as a table of functions.
 *
 * Calls block and may be made from any thread but the control thread.
 */
#ifndef PAPAYASWITCH_LOG_BACKEND_H
#define PAPAYASWITCH_LOG_BACKEND_H

#include <stddef.h>
#include <stdint.h>

#define PPS_LOG_BACKEND_VERSION 1

/** Bytes to append. */
typedef struct {
    const void *data;
    size_t size;
} pps_log_blob_t;

/** A record as the log holds it. */
typedef struct {
    uint64_t offset; /**< place in its stream, rising, from 0 */
    int64_t time_us; /**< the log's own wall clock at the append */
    const void *data;
    size_t size;
} pps_log_entry_t;

/** Bounds of a stream at the time of a read. */
typedef struct {
    uint64_t first; /**< oldest offset still kept */
    uint64_t head;  /**< offset that the next append will get */
} pps_log_range_t;

/** A log service. Implementations embed this as their first member. */
typedef struct pps_log_backend {
    unsigned int version;

    /**
     * Appends all records in one call, one behind the other.
     * @return 0; PPS_EUNAVAILABLE when surely nothing was written;
     *         PPS_EUNKNOWN when the records may have been written
     */
    int (*append)(struct pps_log_backend *self, const char *stream,
                  const pps_log_blob_t *records, size_t count,
                  uint64_t *first_offset);

    /**
     * Reads at most `limit` records from `from` on; waits up to `wait_ms`
     * for one. `each` sees them in order; a non-zero return stops the read.
     * @return 0; PPS_EEXPIRED when `from` is older than `range->first`;
     *         PPS_EUNAVAILABLE
     */
    int (*read)(struct pps_log_backend *self, const char *stream,
                uint64_t from, size_t limit, int wait_ms,
                int (*each)(const pps_log_entry_t *entry, void *user),
                void *user, pps_log_range_t *range);

    /** Frees the backend. */
    void (*free)(struct pps_log_backend *self);
} pps_log_backend_t;

#endif
