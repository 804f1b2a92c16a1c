/**
 * @file load_pool.h
 * @brief A bounded number of caller threads over one queue of requests.
 */
#ifndef PPS_CLI_LOAD_POOL_H
#define PPS_CLI_LOAD_POOL_H

#include "load_report.h"

/** The pool. */
typedef struct load_pool load_pool_t;

/** Starts the threads. */
int
load_pool_start(load_pool_t **out, int threads, load_report_t *account);

/** Queues a request and takes it over; one too many is only counted. */
void
load_pool_add(load_pool_t *pool, load_request_t *request);

/** Waits until all queued requests have ended, and frees the pool. */
void
load_pool_finish(load_pool_t *pool);

#endif
