/** @file exchange_worker.h @brief The choice of a worker for an attempt. */
#ifndef PPS_EXCHANGE_EXCHANGE_WORKER_H
#define PPS_EXCHANGE_EXCHANGE_WORKER_H

#include "exchange.h"

/** The worker for the next attempt, or NULL when the upstream has none. */
pps_pool_worker_t *
pps_exchange_choose_worker(const pps_exchange_t *exchange);

/** Digest of the shared part of the prompt with the model that reads it. */
uint64_t
pps_exchange_prefix_digest(const pps_exchange_t *exchange);

/** Work that reading the prompt is for the worker; see read_queue.h. */
double
pps_exchange_estimate_work(const pps_exchange_t *exchange,
                           const pps_pool_worker_t *worker);

/** Requests at the workers that could serve the request, and their slots. */
void
pps_exchange_sum_slots(const pps_exchange_t *exchange, double *busy,
                       double *slots);

/** Load of the workers that could serve the request: the busy share of their
 * slots, or more when first bytes come late. */
double
pps_exchange_estimate_load(const pps_exchange_t *exchange);

#endif
