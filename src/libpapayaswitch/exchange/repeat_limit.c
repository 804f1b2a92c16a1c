/** @file repeat_limit.c @brief Sliding window of counters in time slices. */
#include "repeat_limit.h"

#include "papayaswitch/errors.h"

#include <string.h>

void
pps_repeat_limit_init(pps_repeat_limit_t *limit, int64_t window_us)
{
    memset(limit, 0, sizeof(*limit));
    limit->slice_us = window_us / PPS_REPEAT_SLICES;
}

static pps_repeat_slice_t *
slice_at(pps_repeat_limit_t *limit, int64_t now_us)
{
    int64_t number = now_us / limit->slice_us;
    int64_t advance = number - limit->newest;

    for (int64_t i = 1; i <= advance && i <= PPS_REPEAT_SLICES; i++) {
        limit->slices[(limit->newest + i) % PPS_REPEAT_SLICES] =
            (pps_repeat_slice_t){0};
    }
    if (advance > PPS_REPEAT_SLICES) {
        memset(limit->slices, 0, sizeof(limit->slices));
    }
    if (advance > 0) {
        limit->newest = number;
    }
    return &limit->slices[limit->newest % PPS_REPEAT_SLICES];
}

void
pps_repeat_limit_count_request(pps_repeat_limit_t *limit, int64_t now_us)
{
    slice_at(limit, now_us)->requests++;
}

static pps_repeat_slice_t
sum_window(pps_repeat_limit_t *limit, int64_t now_us)
{
    pps_repeat_slice_t sum = {0};

    slice_at(limit, now_us);
    for (unsigned int i = 0; i < PPS_REPEAT_SLICES; i++) {
        sum.requests += limit->slices[i].requests;
        sum.repeats += limit->slices[i].repeats;
    }
    return sum;
}

static double
allowed_repeats(pps_repeat_slice_t sum, const pps_repeat_bounds_t *bounds)
{
    return sum.requests * bounds->ratio + bounds->allowance;
}

double
pps_repeat_limit_used(pps_repeat_limit_t *limit,
                      const pps_repeat_bounds_t *bounds, int64_t now_us)
{
    pps_repeat_slice_t sum = sum_window(limit, now_us);
    double max_repeats = allowed_repeats(sum, bounds);

    return max_repeats > sum.repeats ? sum.repeats / max_repeats : 1;
}

int
pps_repeat_limit_take(pps_repeat_limit_t *limit,
                      const pps_repeat_bounds_t *bounds, int64_t now_us,
                      double share)
{
    pps_repeat_slice_t sum = sum_window(limit, now_us);

    if (sum.repeats + 1 > allowed_repeats(sum, bounds) * share) {
        return PPS_ELIMIT;
    }
    slice_at(limit, now_us)->repeats++;
    return PPS_OK;
}
