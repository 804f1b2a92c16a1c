/**
 * @file left_call.h
 * @brief Calls that this host has given up while their worker may still be at
 * work on them.
 *
 * Designed for brittle workers: a permit is free again when its request has
 * left the worker, not when this host no longer wants the answer. Most workers
 * drop a request whose connection has closed, but a host can't see that: one
 * that closes it may go on all the same. So the call counts until such
 * requests have usually ended, as if its caller had stayed.
 */
#ifndef PPS_EXCHANGE_LEFT_CALL_H
#define PPS_EXCHANGE_LEFT_CALL_H

#include "exchange.h"

/** Ends the current attempt's call at the pool and notes its outcome. If the
 * worker takes permits and may still be at work on it, the call goes on
 * counting for a time. */
void
pps_left_call_end_attempt(const pps_exchange_t *exchange,
                          pps_worker_outcome_t outcome);

/** Lets a call count until it has usually ended, and ends it at the pool then.
 * @param slots that it holds @param begun_us when it was sent */
void
pps_left_call_keep(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
                   unsigned int slots, int64_t begun_us);

/** Ends the kept calls at workers that have started again since. */
void
pps_left_calls_sweep(pps_dispatcher_t *dispatcher);

#endif
