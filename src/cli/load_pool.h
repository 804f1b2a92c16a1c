/**
 * @file load_pool.h
 * @brief Caller threads that share a bounded queue of requests.
 */
#ifndef PPS_CLI_LOAD_POOL_H
#define PPS_CLI_LOAD_POOL_H

#include "load_report.h"

typedef struct load_pool load_pool_t;

/** Starts the caller threads. @return 0, PPS_ENOMEM or PPS_EIO */
int
load_pool_start(load_pool_t **out, int threads, load_report_t *report);

/** Queues a request and takes ownership of it. If the queue is full, the
 * request is counted as not sent and freed. */
void
load_pool_add(load_pool_t *pool, load_request_t *request);

/** Waits until all queued requests have ended and frees the pool. */
void
load_pool_finish(load_pool_t *pool);

#endif
