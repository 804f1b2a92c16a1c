/**
 * @file log_backend.h
 * @brief Interface to the platform's append-only log.
 *
 * Calls block. They are allowed on any thread except the control thread.
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

/** A record of a stream. */
typedef struct {
    uint64_t offset; /**< position in the stream, from 0, increasing */
    int64_t time_us; /**< wall clock of the log service at the append */
    const void *data;
    size_t size;
} pps_log_entry_t;

/** Bounds of a stream at the time of a read. */
typedef struct {
    uint64_t first; /**< oldest retained offset */
    uint64_t head;  /**< offset of the next append */
} pps_log_range_t;

/** A log service. An implementation embeds this as its first member. */
typedef struct pps_log_backend {
    unsigned int version;

    /**
     * Appends all records in one call, at consecutive offsets from
     * `*first_offset` on.
     * @return 0; PPS_EUNAVAILABLE: nothing was written; PPS_EUNKNOWN or any
     *         other error: the records may have been written
     */
    int (*append)(struct pps_log_backend *self, const char *stream,
                  const pps_log_blob_t *records, size_t count,
                  uint64_t *first_offset);

    /**
     * Reads at most `limit` records from the offset `from` on; waits up to
     * `wait_ms` for one. Calls `each` in order until it returns non-zero; the
     * data of an entry is valid during that call.
     * @return 0; PPS_EEXPIRED: `from` is before `range->first`;
     *         PPS_EUNAVAILABLE; PPS_ECORRUPT; PPS_ENOMEM; an error of `each`
     */
    int (*read)(struct pps_log_backend *self, const char *stream,
                uint64_t from, size_t limit, int wait_ms,
                int (*each)(const pps_log_entry_t *entry, void *user),
                void *user, pps_log_range_t *range);

    /** Frees the backend. */
    void (*free)(struct pps_log_backend *self);
} pps_log_backend_t;

#endif
