/** @file lateness.c @brief Smoothed part of the target. */
#include "lateness.h"

#define WEIGHT 0.05

void
pps_lateness_record(pps_lateness_t *lateness, int64_t elapsed_us,
                    int64_t target_us)
{
    double part;

    if (target_us <= 0) {
        return;
    }
    part = (double)elapsed_us / (double)target_us;
    lateness->part += ((part < 1 ? part : 1) - lateness->part) * WEIGHT;
}
