/**
 * @file exchange_attempt.h
 * @brief Steps of sending a request that the first attempt and its copy have
 * in common.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_ATTEMPT_H
#define PPS_EXCHANGE_EXCHANGE_ATTEMPT_H

#include "exchange.h"

/** Callbacks of the current attempt's connection; `user` is the exchange. */
extern const pps_channel_ops_t pps_exchange_channel_ops;

/** Writes the request for the worker and sends it on a new connection of the
 * current attempt. @return 0 or an error; then no callback follows */
int
pps_exchange_write_request(pps_exchange_t *exchange,
                           const pps_pool_worker_t *worker,
                           const pps_channel_ops_t *ops);

/** Adds the prompt to the worker's queue, and tells the other hosts of a long
 * one. */
void
pps_exchange_queue_prompt(pps_exchange_t *exchange, pps_pool_worker_t *worker);

/** Notes that the attempt's worker reads the shared part of the prompt. */
void
pps_exchange_record_prefix(pps_exchange_t *exchange);

/** Counts a repeat if the upstream's limit allows it. @param share as in
 * pps_repeat_limit_take() @return 0 or PPS_ELIMIT */
int
pps_exchange_take_repeat(pps_exchange_t *exchange, double share);

#endif
