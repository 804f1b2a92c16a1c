/** @file exchange_worker.h @brief Chooses a worker for each attempt. */
#ifndef PPS_EXCHANGE_EXCHANGE_WORKER_H
#define PPS_EXCHANGE_EXCHANGE_WORKER_H

#include "exchange.h"

/** Chooses the next attempt's worker; NULL if all are unsuitable or full. */
pps_pool_worker_t *
pps_exchange_choose_worker(const pps_exchange_t *exchange);

/** Returns whether the worker belongs to the request's upstream and has its
 * model. */
int
pps_exchange_is_match(const pps_exchange_t *exchange,
                      const pps_pool_worker_t *worker);

/** Returns whether pps_exchange_choose_worker() finds a worker for another of
 * the route's models. */
int
pps_exchange_can_ask(pps_exchange_t *exchange, size_t model);

/** Returns the digest of the shared prompt part and the current model. */
uint64_t
pps_exchange_prefix_digest(const pps_exchange_t *exchange);

/** Returns the prompt tokens that the worker has to read, without the shared
 * part if it has recently read that, weighted as in prefill_queue.h. */
double
pps_exchange_estimate_work(const pps_exchange_t *exchange,
                           const pps_pool_worker_t *worker);

/** Sums the running and waiting requests and the slots of the workers that can
 * serve the request, including full ones. */
void
pps_exchange_sum_slots(const pps_exchange_t *exchange, double *busy,
                       double *slots);

/** Returns the time until the first worker that can serve the request ends the
 * pause that it asked for, and this host may send to it under the limit that
 * it named; 0 if one of them takes requests now. */
int64_t
pps_exchange_first_opening_us(const pps_exchange_t *exchange);

/** Returns the load of the workers that can serve the request: requests per
 * slot, or more if first bytes are late. */
double
pps_exchange_estimate_load(const pps_exchange_t *exchange);

#endif
