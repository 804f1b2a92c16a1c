/**
 * @file worker_share.h
 * @brief Keeps this host to its share of the limits that workers name, and
 * tells other hosts of them.
 */
#ifndef PPS_EXCHANGE_WORKER_SHARE_H
#define PPS_EXCHANGE_WORKER_SHARE_H

#include "worker_gate.h"

/** Gate: this host's share of the limit that the worker names. */
extern const pps_worker_gate_t pps_gate_limit;

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
