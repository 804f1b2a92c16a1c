/** @file usual_times.c @brief Usual times of answers. */
#include "usual_times.h"

#include "clock.h"

#include <math.h>

#define COUNT_MIN 8
/** Shorter times are taken for this: their factors mean nothing. */
#define ELAPSED_MIN_US (1 * PPS_US_PER_MS)
#define LOG_DEVIATION_MIN 0.2
#define WEIGHT_MIN 0.02
/** An answer is slow above this multiple of the mean and this margin, which
 * covers the jitter of quick answers. */
#define SLOW_FACTOR 3.0
#define SLOW_MARGIN_US (10 * PPS_US_PER_MS)

static double
log_of(int64_t elapsed_us)
{
    return log(
        (double)(elapsed_us > ELAPSED_MIN_US ? elapsed_us : ELAPSED_MIN_US));
}

int
pps_usual_time_is_known(const pps_usual_time_t *time)
{
    return time->count >= COUNT_MIN;
}

void
pps_usual_time_record(pps_usual_time_t *time, int64_t elapsed_us)
{
    double weight;
    double log_step;

    time->count++;
    weight = 1.0 / time->count;
    if (weight < WEIGHT_MIN) {
        weight = WEIGHT_MIN;
    }
    time->mean_us += ((double)elapsed_us - time->mean_us) * weight;
    log_step = log_of(elapsed_us) - time->log_mean;
    time->log_mean += log_step * weight;
    time->log_variance =
        (1 - weight) * (time->log_variance + weight * log_step * log_step);
}

double
pps_usual_time_score(const pps_usual_time_t *time, int64_t elapsed_us)
{
    double deviation = sqrt(time->log_variance);
    double score;

    if (!pps_usual_time_is_known(time)) {
        return 0;
    }
    score = (log_of(elapsed_us) - time->log_mean) /
            (deviation > LOG_DEVIATION_MIN ? deviation : LOG_DEVIATION_MIN);
    if (score > PPS_USUAL_SCORE_MAX) {
        return PPS_USUAL_SCORE_MAX;
    }
    return score < -PPS_USUAL_SCORE_MAX ? -PPS_USUAL_SCORE_MAX : score;
}

int64_t
pps_usual_time_limit_us(const pps_usual_time_t *time, double estimate_us)
{
    double expected_us =
        estimate_us > time->mean_us ? estimate_us : time->mean_us;

    return !pps_usual_time_is_known(time)
               ? INT64_MAX
               : (int64_t)(expected_us * SLOW_FACTOR) + SLOW_MARGIN_US;
}
