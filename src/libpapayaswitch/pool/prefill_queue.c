/** @file prefill_queue.c @brief Leaky bucket of prompt tokens. */
#include "prefill_queue.h"

#define TOKENS_PER_US_FIRST 0.02
#define TOKENS_PER_US_MIN 0.002
#define TOKENS_PER_US_MAX 1.0
#define LEARN_WEIGHT 0.05
/** Prompts below this tell more of the way there than of reading. */
#define LEARN_TOKENS_MIN 1000.0

void
pps_prefill_rate_init(pps_prefill_rate_t *rate)
{
    rate->tokens_per_us = TOKENS_PER_US_FIRST;
}

void
pps_prefill_rate_update(pps_prefill_rate_t *rate, double tokens,
                        int64_t elapsed_us)
{
    double seen;

    if (tokens < LEARN_TOKENS_MIN || elapsed_us <= 0) {
        return;
    }
    seen = tokens / (double)elapsed_us;
    if (seen < TOKENS_PER_US_MIN) {
        seen = TOKENS_PER_US_MIN;
    }
    if (seen > TOKENS_PER_US_MAX) {
        seen = TOKENS_PER_US_MAX;
    }
    rate->tokens_per_us += (seen - rate->tokens_per_us) * LEARN_WEIGHT;
}

double
pps_prefill_queue_tokens(const pps_prefill_queue_t *queue,
                         const pps_prefill_rate_t *rate, int64_t now_us)
{
    double left =
        queue->tokens - (double)(now_us - queue->at_us) * rate->tokens_per_us;

    return left > 0 ? left : 0;
}

void
pps_prefill_queue_add(pps_prefill_queue_t *queue,
                      const pps_prefill_rate_t *rate, double tokens,
                      int64_t now_us)
{
    queue->tokens = pps_prefill_queue_tokens(queue, rate, now_us) + tokens;
    queue->at_us = now_us;
}

double
pps_prefill_queue_wait_us(const pps_prefill_queue_t *queue,
                          const pps_prefill_rate_t *rate, int64_t now_us)
{
    return pps_prefill_queue_tokens(queue, rate, now_us) / rate->tokens_per_us;
}
