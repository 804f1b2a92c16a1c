/**
 * @file prefill_queue.h
 * @brief Estimates the prompt tokens that a worker has yet to process, its
 * prefill backlog.
 *
 * Prompts sent to the worker are added, and the backlog drains at the observed
 * prefill rate. Work is counted in tokens of the most expensive model;
 * tokens of another model are scaled by the ratio of the prices.
 */
#ifndef PPS_POOL_PREFILL_QUEUE_H
#define PPS_POOL_PREFILL_QUEUE_H

#include <stdint.h>

/** Smoothed prefill rate of the workers of one upstream. */
typedef struct {
    double tokens_per_us;
} pps_prefill_rate_t;

/** A worker's backlog. Zero-initialize it. */
typedef struct {
    double tokens;
    int64_t updated_us; /**< time at which `tokens` was computed */
} pps_prefill_queue_t;

/** Sets the initial rate. */
void
pps_prefill_rate_init(pps_prefill_rate_t *rate);

/** Updates the rate from a prompt that was processed in `elapsed_us`.
 * @param tokens work of the prompt and of the backlog before it */
void
pps_prefill_rate_update(pps_prefill_rate_t *rate, double tokens,
                        int64_t elapsed_us);

/** Adds the work of a prompt. */
void
pps_prefill_queue_add(pps_prefill_queue_t *queue,
                      const pps_prefill_rate_t *rate, double tokens,
                      int64_t now_us);

/** Returns the backlog at `now_us`, in tokens. */
double
pps_prefill_queue_tokens(const pps_prefill_queue_t *queue,
                         const pps_prefill_rate_t *rate, int64_t now_us);

/** Returns the time to process the backlog, in microseconds. */
double
pps_prefill_queue_wait_us(const pps_prefill_queue_t *queue,
                          const pps_prefill_rate_t *rate, int64_t now_us);

#endif
