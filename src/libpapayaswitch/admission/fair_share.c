/** @file fair_share.c @brief Computes max-min fair shares by water-filling. */
#include "papayaswitch/admission.h"

/** Satisfies each demand that the level covers. @return 1 if any was */
static int
satisfy(double *shares, const double *demands, const double *weights,
        size_t count, double level)
{
    int any = 0;

    for (size_t i = 0; i < count; i++) {
        if (shares[i] < 0 && demands[i] <= level * weights[i]) {
            shares[i] = demands[i];
            any = 1;
        }
    }
    return any;
}

/** Computes the remaining capacity per unit of unsatisfied weight. */
static double
water_level(const double *shares, const double *weights, size_t count,
            double capacity)
{
    double weight = 0.0;

    for (size_t i = 0; i < count; i++) {
        if (shares[i] < 0) {
            weight += weights[i];
        }
        else {
            capacity -= shares[i];
        }
    }
    return weight > 0 ? capacity / weight : 0.0;
}

void
pps_fair_shares(double *shares, const double *demands, const double *weights,
                size_t count, double capacity)
{
    double level;

    for (size_t i = 0; i < count; i++) {
        shares[i] = -1.0;
    }
    do {
        level = water_level(shares, weights, count, capacity);
    } while (satisfy(shares, demands, weights, count, level));
    for (size_t i = 0; i < count; i++) {
        if (shares[i] < 0) {
            shares[i] = level * weights[i];
        }
    }
}
