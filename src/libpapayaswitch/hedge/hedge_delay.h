/**
 * @file hedge_delay.h
 * @brief Learns after what wait a request is among the slowest of its class,
 * so that a copy may be sent. Does no I/O and reads no clock.
 *
 * Designed for few workers that are slow at times while most are not loaded.
 * The estimate is of a quantile, of the logarithm of the times; it moves by a
 * step per request, so that it follows a change of load within some hundred
 * requests. A request that is given up counts as longer than the estimate, so
 * that hedging itself does not shorten it.
 */
#ifndef PPS_HEDGE_HEDGE_DELAY_H
#define PPS_HEDGE_HEDGE_DELAY_H

#include <stdint.h>

/** Number of size classes of prompts. */
#define PPS_HEDGE_SIZES 4

/** Estimate of a quantile. Zero-initialize. */
typedef struct {
    double log_us; /**< logarithm of the estimate */
    double step;   /**< by which the next time moves it */
    uint32_t samples;
} pps_hedge_delay_t;

/** Returns the size class of a prompt, below PPS_HEDGE_SIZES. */
unsigned int
pps_hedge_size_class(int64_t prompt_tokens);

/** Returns the quantile that a share of extra work is spent beyond.
 * @param share of the requests, 0 to 1 */
double
pps_hedge_quantile(double share);

/** Adds a time to the first byte. */
void
pps_hedge_delay_record(pps_hedge_delay_t *delay, double quantile,
                       int64_t elapsed_us);

/** Adds a time that is known to be longer than the estimate only. */
void
pps_hedge_delay_record_longer(pps_hedge_delay_t *delay, double quantile);

/** Returns the wait after which a request is slow; 0: not known yet. */
int64_t
pps_hedge_delay_us(const pps_hedge_delay_t *delay);

#endif
