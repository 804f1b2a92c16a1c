/**
 * @file usual_times.h
 * @brief The usual times of answers of one kind of request, to tell slow ones.
 */
#ifndef PPS_ROLLOUT_USUAL_TIMES_H
#define PPS_ROLLOUT_USUAL_TIMES_H

#include <stdint.h>

/** Smoothed mean of a time. */
typedef struct {
    uint32_t count;
    double mean_us;
} pps_usual_time_t;

/** Usual times of one kind of request. */
typedef struct {
    pps_usual_time_t first_byte;
    pps_usual_time_t answer; /**< to the last byte */
} pps_usual_times_t;

/** Adds a time. */
void
pps_usual_time_record(pps_usual_time_t *time, int64_t elapsed_us);

/** Returns the time above which an answer counts as slow; INT64_MAX while too
 * few times are known.
 * @param estimate_us time to be expected of this request, if that is longer
 *        than usual */
int64_t
pps_usual_time_limit_us(const pps_usual_time_t *time, double estimate_us);

#endif
