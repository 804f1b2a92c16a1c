/** @file append_rate.c @brief Token bucket with fractional tokens. */
#include "append_rate.h"

#include "clock.h"

#define BURST_S 0.1

static double
capacity(const append_rate_t *rate)
{
    double tokens = rate->per_second * BURST_S;

    return tokens < 1 ? 1 : tokens;
}

void
append_rate_init(append_rate_t *rate, int per_second, int64_t now_us)
{
    rate->per_second = per_second;
    rate->tokens = capacity(rate);
    rate->refilled_us = now_us;
}

int
append_rate_take(append_rate_t *rate, int64_t now_us)
{
    double refill =
        (double)(now_us - rate->refilled_us) / PPS_US_PER_S * rate->per_second;

    rate->refilled_us = now_us;
    rate->tokens += refill;
    if (rate->tokens > capacity(rate)) {
        rate->tokens = capacity(rate);
    }
    if (rate->tokens < 1) {
        return 0;
    }
    rate->tokens -= 1;
    return 1;
}
