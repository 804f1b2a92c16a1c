/**
 * @file usual_times.h
 * @brief The usual times of answers of one kind of request, to tell slow ones.
 */
#ifndef PPS_ROLLOUT_USUAL_TIMES_H
#define PPS_ROLLOUT_USUAL_TIMES_H

#include <stdint.h>

#define PPS_USUAL_SCORE_MAX 3.0

/** Smoothed distribution of a time. Its logarithm is kept, too, since times
 * differ by factors rather than by sums. */
typedef struct {
    uint32_t count;
    double mean_us;
    double log_mean;
    double log_variance;
} pps_usual_time_t;

/** Usual times of one kind of request. */
typedef struct {
    pps_usual_time_t first_byte;
    pps_usual_time_t answer; /**< to the last byte */
} pps_usual_times_t;

/** Returns whether enough times are known to judge others by them. */
int
pps_usual_time_is_known(const pps_usual_time_t *time);

/** Adds a time. */
void
pps_usual_time_record(pps_usual_time_t *time, int64_t elapsed_us);

/** Returns the time above which an answer counts as slow; INT64_MAX while too
 * few times are known.
 * @param estimate_us time to be expected of this request, if that is longer
 *        than usual */
int64_t
pps_usual_time_limit_us(const pps_usual_time_t *time, double estimate_us);

/** Returns how far a time is above the usual one, in standard deviations of
 * its logarithm and within PPS_USUAL_SCORE_MAX; 0 while too few times are
 * known. */
double
pps_usual_time_score(const pps_usual_time_t *time, int64_t elapsed_us);

#endif
