/**
 * @file worker_share.h
 * @brief Keeps this host to its share of the limits that workers name, and
 * tells other hosts of them.
 */
#ifndef PPS_EXCHANGE_WORKER_SHARE_H
#define PPS_EXCHANGE_WORKER_SHARE_H

#include "dispatcher.h"

/** Returns the time until this host may send a request to the worker: 0 if it
 * may now, INT64_MAX if only other hosts may. */
int64_t
pps_worker_share_wait_us(const pps_dispatcher_t *dispatcher,
                         pps_pool_worker_t *worker);

/** Notes that an answer named a limit, and tells other hosts when it is due.
 */
void
pps_worker_share_name(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
                      int64_t start_ms, double per_s);

/** Notes that an answer to a request named no limit, and tells other hosts if
 * that ended one. @param sent_us when the request was sent */
void
pps_worker_share_end(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
                     int64_t start_ms, int64_t sent_us);

#endif
