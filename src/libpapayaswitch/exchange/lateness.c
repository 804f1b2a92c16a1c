/** @file lateness.c @brief Smoothed ratio of elapsed time to target. */
#include "lateness.h"

#define SMOOTHING_WEIGHT 0.05

void
pps_lateness_record(pps_lateness_t *lateness, int64_t elapsed_us,
                    int64_t target_us)
{
    double ratio;

    if (target_us <= 0) {
        return;
    }
    ratio = (double)elapsed_us / (double)target_us;
    lateness->ratio +=
        ((ratio < 1 ? ratio : 1) - lateness->ratio) * SMOOTHING_WEIGHT;
}
