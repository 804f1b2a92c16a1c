/**
 * @file fake_log.h
 * @brief Log backend in memory with injected append faults for tests.
 */
#ifndef PPS_TESTS_FAKE_LOG_H
#define PPS_TESTS_FAKE_LOG_H

#include "clock.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/log_backend.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/** Fault of the appends after fake_log_set_fault(). */
typedef enum {
    FAKE_LOG_NO_FAULT,
    FAKE_LOG_OUTAGE,       /**< not written, fails with PPS_EUNAVAILABLE */
    FAKE_LOG_LOST_ACK,     /**< written, fails with PPS_EUNKNOWN */
    FAKE_LOG_LOST_REQUEST, /**< not written, fails with PPS_EUNKNOWN */
    FAKE_LOG_DUPLICATE,    /**< written twice, acknowledged once */
} fake_log_fault_t;

/** One stream; its name is ignored. */
typedef struct {
    pps_log_backend_t base;
    pthread_mutex_t mutex;
    pps_log_entry_t *entries;
    size_t count;
    size_t capacity;
    uint64_t appends;
    int64_t time_us;  /**< time of the next record; each record adds 1 */
    int64_t delay_us; /**< duration of an append */
    fake_log_fault_t fault;
} fake_log_t;

static inline void
fake_log_store(fake_log_t *log, const void *data, size_t size)
{
    void *copy = malloc(size + 1);

    if (log->count == log->capacity) {
        log->capacity = log->capacity ? 2 * log->capacity : 64;
        log->entries =
            realloc(log->entries, log->capacity * sizeof(*log->entries));
    }
    memcpy(copy, data, size);
    log->entries[log->count] =
        (pps_log_entry_t){log->count, log->time_us++, copy, size};
    log->count++;
}

static inline int
fake_log_append(pps_log_backend_t *self, const char *stream,
                const pps_log_blob_t *records, size_t count, uint64_t *first)
{
    fake_log_t *log = (fake_log_t *)self;
    fake_log_fault_t fault;

    if (log->delay_us > 0) {
        pps_clock_sleep_us(log->delay_us);
    }
    pthread_mutex_lock(&log->mutex);
    fault = log->fault;
    log->appends++;
    *first = log->count;
    for (int copy = 0; copy < (fault == FAKE_LOG_DUPLICATE ? 2 : 1); copy++) {
        for (size_t i = 0; i < count && fault != FAKE_LOG_OUTAGE &&
                           fault != FAKE_LOG_LOST_REQUEST;
             i++) {
            fake_log_store(log, records[i].data, records[i].size);
        }
    }
    pthread_mutex_unlock(&log->mutex);
    if (fault == FAKE_LOG_OUTAGE) {
        return PPS_EUNAVAILABLE;
    }
    return fault == FAKE_LOG_LOST_ACK || fault == FAKE_LOG_LOST_REQUEST
               ? PPS_EUNKNOWN
               : PPS_OK;
}

static inline int
fake_log_read(pps_log_backend_t *self, const char *stream, uint64_t from,
              size_t limit, int wait_ms,
              int (*each)(const pps_log_entry_t *entry, void *user),
              void *user, pps_log_range_t *range)
{
    fake_log_t *log = (fake_log_t *)self;
    int stop = 0;

    pthread_mutex_lock(&log->mutex);
    *range = (pps_log_range_t){0, log->count};
    for (; from < log->count && limit > 0 && !stop; from++, limit--) {
        stop = each(&log->entries[from], user);
    }
    pthread_mutex_unlock(&log->mutex);
    return PPS_OK;
}

static inline void
fake_log_init(fake_log_t *log)
{
    memset(log, 0, sizeof(*log));
    log->base.version = PPS_LOG_BACKEND_VERSION;
    log->base.append = fake_log_append;
    log->base.read = fake_log_read;
    log->time_us = 1000 * PPS_US_PER_S;
    pthread_mutex_init(&log->mutex, NULL);
}

static inline void
fake_log_set_fault(fake_log_t *log, fake_log_fault_t fault)
{
    pthread_mutex_lock(&log->mutex);
    log->fault = fault;
    pthread_mutex_unlock(&log->mutex);
}

static inline void
fake_log_clear(fake_log_t *log)
{
    for (size_t i = 0; i < log->count; i++) {
        free((void *)log->entries[i].data);
    }
    free(log->entries);
    pthread_mutex_destroy(&log->mutex);
}

#endif
