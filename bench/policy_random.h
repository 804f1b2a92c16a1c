/** @file policy_random.h @brief Distributions for the policy benches. */
#ifndef POLICY_RANDOM_H
#define POLICY_RANDOM_H

#include "rng.h"

#include <math.h>

/** Returns a number from the standard normal distribution. */
static inline double
policy_normal(pps_rng_t *rng)
{
    double radius = sqrt(-2.0 * log(1.0 - pps_rng_unit(rng)));

    return radius * cos(2.0 * M_PI * pps_rng_unit(rng));
}

/** Returns a number from the exponential distribution with this mean. */
static inline double
policy_exponential(pps_rng_t *rng, double mean)
{
    return -mean * log(1.0 - pps_rng_unit(rng));
}

/** Limits a rating to [0, 1]. */
static inline double
policy_clip(double value)
{
    return fmin(fmax(value, 0.0), 1.0);
}

/** Returns a random index, with a probability in proportion to its weight. */
static inline int
policy_pick(pps_rng_t *rng, const double *weights, int count)
{
    double total = 0.0;
    double draw;

    for (int i = 0; i < count; i++) {
        total += weights[i];
    }
    draw = pps_rng_unit(rng) * total;
    for (int i = 0; i < count - 1; i++) {
        draw -= weights[i];
        if (draw < 0) {
            return i;
        }
    }
    return count - 1;
}

#endif
