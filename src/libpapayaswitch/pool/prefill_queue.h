/**
 * @file prefill_queue.h
 * @brief How much prompt text a worker has yet to read, as far as is known.
 *
 * What is sent there is added and drains at the rate at which workers were
 * seen to read. Work is counted in tokens of the largest model; a smaller
 * model's tokens count less, by its price.
 */
#ifndef PPS_POOL_PREFILL_QUEUE_H
#define PPS_POOL_PREFILL_QUEUE_H

#include <stdint.h>

/** Rate at which the workers of one upstream read. */
typedef struct {
    double tokens_per_us;
} pps_prefill_rate_t;

/** A worker's queue. Zero-initialise it. */
typedef struct {
    double tokens;
    int64_t at_us; /**< when `tokens` was right */
} pps_prefill_queue_t;

/** Starts with a rate that is corrected by what is seen. */
void
pps_prefill_rate_init(pps_prefill_rate_t *rate);

/** A prompt was read: `tokens` of work, that before it included, in that time.
 */
void
pps_prefill_rate_update(pps_prefill_rate_t *rate, double tokens,
                        int64_t elapsed_us);

/** Adds work. */
void
pps_prefill_queue_add(pps_prefill_queue_t *queue,
                      const pps_prefill_rate_t *rate, double tokens,
                      int64_t now_us);

/** Work left at that time. */
double
pps_prefill_queue_tokens(const pps_prefill_queue_t *queue,
                         const pps_prefill_rate_t *rate, int64_t now_us);

/** Time until the work left is done. */
double
pps_prefill_queue_wait_us(const pps_prefill_queue_t *queue,
                          const pps_prefill_rate_t *rate, int64_t now_us);

#endif
