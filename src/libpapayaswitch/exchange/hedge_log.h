/** @file hedge_log.h @brief Log lines and counters of copies of requests. */
#ifndef PPS_EXCHANGE_HEDGE_LOG_H
#define PPS_EXCHANGE_HEDGE_LOG_H

#include "exchange.h"

/** Logs and counts that a copy is sent. @param wait_us that caused it
 * @param usual_us wait after which the request counts as slow */
void
pps_hedge_log_sent(const pps_exchange_t *exchange,
                   const pps_pool_worker_t *worker, int64_t wait_us,
                   int64_t usual_us, double load);

/** Logs and counts that the answer of a copy is used. */
void
pps_hedge_log_won(const pps_exchange_t *exchange,
                  const pps_pool_worker_t *worker);

/** Logs and counts that a copy has ended or is closed without use. */
void
pps_hedge_log_cancelled(const pps_exchange_t *exchange,
                        const pps_pool_worker_t *worker);

/** Counts that a copy was not allowed by a limit. */
void
pps_hedge_log_limited(void);

#endif
