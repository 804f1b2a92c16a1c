/** @file hedge_load.c @brief Smoothed load. */
#include "hedge_load.h"

/** With 0.01 and 0.02, copies were sent at a mean load of 0.8, at times when
 * it was lower by chance. */
#define SMOOTHING_WEIGHT 0.005
#define LOAD_INITIAL 1.0

void
pps_hedge_load_init(pps_hedge_load_t *load)
{
    load->smoothed = LOAD_INITIAL;
}

void
pps_hedge_load_record(pps_hedge_load_t *load, double now)
{
    load->smoothed += (now - load->smoothed) * SMOOTHING_WEIGHT;
}

int
pps_hedge_load_is_low(const pps_hedge_load_t *load, double now)
{
    return now <= PPS_HEDGE_LOAD_MAX && load->smoothed <= PPS_HEDGE_LOAD_MAX;
}
