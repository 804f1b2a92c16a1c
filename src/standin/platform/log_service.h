/**
 * @file log_service.h
 * @brief Append-only log of the platform with serialized appends.
 */
#ifndef STANDIN_LOG_SERVICE_H
#define STANDIN_LOG_SERVICE_H

#include "append_rate.h"
#include "log_stream.h"
#include "standin_faults.h"

#include <pthread.h>

/** All streams of the log. */
typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t appended;
    log_stream_t *streams; /**< hash table by name */
    append_rate_t rate;
    uint64_t retain_records;
    standin_faults_t *faults;
} log_service_t;

/** Bounds of a read. */
typedef struct {
    uint64_t from;
    uint64_t limit;
    int64_t wait_us; /**< maximum wait for a record */
} log_read_t;

void
log_service_init(log_service_t *log, int appends_per_second,
                 int retain_records, standin_faults_t *faults);

void
log_service_clear(log_service_t *log);

/**
 * Appends an array of base64 strings to a stream.
 * @return 0; PPS_EINVALID; PPS_ELIMIT above the rate limit; PPS_ENOMEM
 */
int
log_service_append(log_service_t *log, const char *name, const json_t *records,
                   uint64_t *first_offset);

/**
 * Reads a stream; if `read->from` is its head, waits for an append.
 * @param out the response body, also with PPS_EEXPIRED; NULL on other errors
 * @return 0; PPS_EEXPIRED when the record at `from` was dropped; PPS_ENOMEM
 */
int
log_service_read(log_service_t *log, json_t **out, const char *name,
                 const log_read_t *read);

/** Drops all but the `retain` newest records of every stream. */
void
log_service_trim(log_service_t *log, uint64_t retain);

/** Makes waiting readers check their condition again. */
void
log_service_wake_readers(log_service_t *log);

#endif
