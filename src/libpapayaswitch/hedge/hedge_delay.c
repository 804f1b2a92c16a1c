/** @file hedge_delay.c @brief Stochastic estimate of a quantile. */
#include "hedge_delay.h"

#include <math.h>

/** Times that are needed before the estimate is used. */
#define SAMPLES_MIN 100
/** First step and the smallest one, in units of the logarithm. */
#define STEP_FIRST 0.5
#define STEP_MIN 0.05
#define STEP_DECAY 0.98
/** Quantiles outside of these are not used: below, the usual requests would
 * be copied; above, too few times exceed it to learn it. */
#define QUANTILE_MIN 0.9
#define QUANTILE_MAX 0.99
/** Shortest wait before a copy is sent. */
#define DELAY_MIN_US 2000
#define SIZE_FIRST_TOKENS 256
#define SIZE_FACTOR 4

unsigned int
pps_hedge_size_class(int64_t prompt_tokens)
{
    unsigned int size = 0;
    int64_t limit = SIZE_FIRST_TOKENS;

    while (size + 1 < PPS_HEDGE_SIZES && prompt_tokens > limit) {
        limit *= SIZE_FACTOR;
        size++;
    }
    return size;
}

double
pps_hedge_quantile(double share)
{
    return fmin(fmax(1 - share, QUANTILE_MIN), QUANTILE_MAX);
}

static void
move(pps_hedge_delay_t *delay, double quantile, int is_longer)
{
    delay->log_us += delay->step * (is_longer ? quantile : quantile - 1);
    delay->step = fmax(delay->step * STEP_DECAY, STEP_MIN);
    if (delay->samples < UINT32_MAX) {
        delay->samples++;
    }
}

void
pps_hedge_delay_record(pps_hedge_delay_t *delay, double quantile,
                       int64_t elapsed_us)
{
    double log_us = log(elapsed_us > 1 ? (double)elapsed_us : 1);

    if (delay->samples == 0) {
        delay->log_us = log_us;
        delay->step = STEP_FIRST;
    }
    move(delay, quantile, log_us > delay->log_us);
}

void
pps_hedge_delay_record_longer(pps_hedge_delay_t *delay, double quantile)
{
    if (delay->samples > 0) {
        move(delay, quantile, 1);
    }
}

int64_t
pps_hedge_delay_us(const pps_hedge_delay_t *delay)
{
    if (delay->samples < SAMPLES_MIN) {
        return 0;
    }
    return (int64_t)fmax(exp(delay->log_us), DELAY_MIN_US);
}
