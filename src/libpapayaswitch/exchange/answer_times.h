/**
 * @file answer_times.h
 * @brief Notes how long workers and callers' requests take, for the decisions
 * that depend on it and for the histograms.
 */
#ifndef PPS_EXCHANGE_ANSWER_TIMES_H
#define PPS_EXCHANGE_ANSWER_TIMES_H

#include "exchange.h"

/** Notes that a worker has begun its answer to the current attempt. */
void
pps_answer_times_note_first_byte(const pps_exchange_t *exchange);

/** Counts that the caller gets the first byte now. */
void
pps_answer_times_observe_first_byte(const pps_exchange_t *exchange);

/** Notes how long a worker has taken for a whole answer, to any host. */
void
pps_answer_times_note_long(pps_upstream_state_t *state, int64_t elapsed_us);

/** Notes that the answer is whole. */
void
pps_answer_times_note_end(const pps_exchange_t *exchange);

#endif
