/**
 * @file log_stream.h
 * @brief One stream of the log, kept in memory.
 */
#ifndef STANDIN_LOG_STREAM_H
#define STANDIN_LOG_STREAM_H

#include "hash_table.h"

#include <jansson.h>
#include <stdint.h>

/** Longest name of a stream, its end included. */
#define LOG_STREAM_NAME_MAX 64

/** A record as it was appended. */
typedef struct {
    int64_t time_us;
    char *data; /**< base64 */
} log_record_t;

/** A stream: a ring of the newest records. Not locked. */
typedef struct {
    char name[LOG_STREAM_NAME_MAX];
    uint64_t first; /**< oldest offset kept */
    uint64_t head;  /**< offset of the next append */
    uint64_t capacity;
    log_record_t *records;
    UT_hash_handle hh;
} log_stream_t;

/** Makes an empty stream. */
int
log_stream_new(log_stream_t **out, const char *name);

/** Frees a stream with its records. */
void
log_stream_free(log_stream_t *stream);

/** Appends one record; `data` is copied. */
int
log_stream_append(log_stream_t *stream, const char *data, int64_t time_us);

/** Drops all but the `retain` newest records. */
void
log_stream_trim(log_stream_t *stream, uint64_t retain);

/** At most `limit` records from `from` on, as a JSON array. */
json_t *
log_stream_list(const log_stream_t *stream, uint64_t from, uint64_t limit);

#endif
