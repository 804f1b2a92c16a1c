/**
 * @file hedge_load.h
 * @brief Decides from the load of the workers whether copies may be sent. Does
 * no I/O and reads no clock.
 *
 * Responds to the load now and to its mean over the last slow requests: the
 * load now varies, so that on its own it would let copies through at times
 * when the workers are loaded on average. Until enough slow requests were
 * seen the load counts as high.
 */
#ifndef PPS_HEDGE_HEDGE_LOAD_H
#define PPS_HEDGE_HEDGE_LOAD_H

/** Load, in requests per slot, above which no copies are sent: the work that
 * they add then delays others by more than it saves. */
#define PPS_HEDGE_LOAD_MAX 0.75

/** Load of an upstream's workers. */
typedef struct {
    double smoothed;
} pps_hedge_load_t;

/** Initializes a load that counts as high. */
void
pps_hedge_load_init(pps_hedge_load_t *load);

/** Adds the load at a time at which a request became slow. */
void
pps_hedge_load_record(pps_hedge_load_t *load, double now);

/** Returns whether copies may be sent at this load. */
int
pps_hedge_load_is_low(const pps_hedge_load_t *load, double now);

#endif
