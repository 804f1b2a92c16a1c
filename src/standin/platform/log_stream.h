/**
 * @file log_stream.h
 * @brief In-memory stream of the log.
 */
#ifndef STANDIN_LOG_STREAM_H
#define STANDIN_LOG_STREAM_H

#include "hash_table.h"

#include <jansson.h>
#include <stdint.h>

/** Maximum size of a stream name in bytes, the NUL included. */
#define LOG_STREAM_NAME_MAX 64

/** Appended record. */
typedef struct {
    int64_t time_us; /**< wall-clock time of the append */
    char *data;      /**< base64 */
} log_record_t;

/** Ring buffer of the newest records of a stream. Not thread-safe. */
typedef struct {
    char name[LOG_STREAM_NAME_MAX];
    uint64_t first; /**< offset of the oldest retained record */
    uint64_t head;  /**< offset of the next append */
    uint64_t capacity;
    log_record_t *records;
    UT_hash_handle hh;
} log_stream_t;

/** Creates an empty stream. */
int
log_stream_new(log_stream_t **out, const char *name);

/** Frees a stream and its records. */
void
log_stream_free(log_stream_t *stream);

/** Appends a copy of `data`. */
int
log_stream_append(log_stream_t *stream, const char *data, int64_t time_us);

/** Drops all but the `retain` newest records. */
void
log_stream_trim(log_stream_t *stream, uint64_t retain);

/** Returns a JSON array of at most `limit` records, from offset `from` on. */
json_t *
log_stream_list(const log_stream_t *stream, uint64_t from, uint64_t limit);

#endif
