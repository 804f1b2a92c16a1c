/** @file usual_times.c @brief Usual times of answers. */
#include "usual_times.h"

#include "clock.h"

#define COUNT_MIN 8
#define WEIGHT_MIN 0.02
/** An answer is slow above this multiple of the mean and this margin, which
 * covers the jitter of quick answers. */
#define SLOW_FACTOR 3.0
#define SLOW_MARGIN_US (10 * PPS_US_PER_MS)

void
pps_usual_time_record(pps_usual_time_t *time, int64_t elapsed_us)
{
    double weight;

    time->count++;
    weight = 1.0 / time->count;
    if (weight < WEIGHT_MIN) {
        weight = WEIGHT_MIN;
    }
    time->mean_us += ((double)elapsed_us - time->mean_us) * weight;
}

int64_t
pps_usual_time_limit_us(const pps_usual_time_t *time, double estimate_us)
{
    double expected_us =
        estimate_us > time->mean_us ? estimate_us : time->mean_us;

    return time->count < COUNT_MIN
               ? INT64_MAX
               : (int64_t)(expected_us * SLOW_FACTOR) + SLOW_MARGIN_US;
}
