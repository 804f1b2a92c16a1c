/** @file prefill_queue.c @brief Leaky bucket of prompt tokens. */
#include "prefill_queue.h"

#define TOKENS_PER_US_INITIAL 0.02
#define TOKENS_PER_US_MIN 0.002
#define TOKENS_PER_US_MAX 1.0
#define SAMPLE_WEIGHT 0.05
/** Smaller samples are ignored: network latency dominates their time. */
#define SAMPLE_TOKENS_MIN 1000.0

void
pps_prefill_rate_init(pps_prefill_rate_t *rate)
{
    rate->tokens_per_us = TOKENS_PER_US_INITIAL;
}

void
pps_prefill_rate_update(pps_prefill_rate_t *rate, double tokens,
                        int64_t elapsed_us)
{
    double sample;

    if (tokens < SAMPLE_TOKENS_MIN || elapsed_us <= 0) {
        return;
    }
    sample = tokens / (double)elapsed_us;
    if (sample < TOKENS_PER_US_MIN) {
        sample = TOKENS_PER_US_MIN;
    }
    if (sample > TOKENS_PER_US_MAX) {
        sample = TOKENS_PER_US_MAX;
    }
    rate->tokens_per_us += (sample - rate->tokens_per_us) * SAMPLE_WEIGHT;
}

double
pps_prefill_queue_tokens(const pps_prefill_queue_t *queue,
                         const pps_prefill_rate_t *rate, int64_t now_us)
{
    double tokens = queue->tokens -
                    (double)(now_us - queue->updated_us) * rate->tokens_per_us;

    return tokens > 0 ? tokens : 0;
}

void
pps_prefill_queue_add(pps_prefill_queue_t *queue,
                      const pps_prefill_rate_t *rate, double tokens,
                      int64_t now_us)
{
    queue->tokens = pps_prefill_queue_tokens(queue, rate, now_us) + tokens;
    queue->updated_us = now_us;
}

double
pps_prefill_queue_wait_us(const pps_prefill_queue_t *queue,
                          const pps_prefill_rate_t *rate, int64_t now_us)
{
    return pps_prefill_queue_tokens(queue, rate, now_us) / rate->tokens_per_us;
}
