/** @file repeat_limit.c @brief Sliding window in slices. */
#include "repeat_limit.h"

#include "papayaswitch/errors.h"

#include <string.h>

void
pps_repeat_limit_init(pps_repeat_limit_t *limit, int64_t window_us,
                      double ratio, double allowance)
{
    memset(limit, 0, sizeof(*limit));
    limit->slice_us = window_us / PPS_REPEAT_SLICES;
    limit->ratio = ratio;
    limit->allowance = allowance;
}

static pps_repeat_slice_t *
slice_at(pps_repeat_limit_t *limit, int64_t now_us)
{
    int64_t number = now_us / limit->slice_us;
    int64_t steps = number - limit->newest;

    for (int64_t i = 1; i <= steps && i <= PPS_REPEAT_SLICES; i++) {
        limit->slices[(limit->newest + i) % PPS_REPEAT_SLICES] =
            (pps_repeat_slice_t){0};
    }
    if (steps > PPS_REPEAT_SLICES) {
        memset(limit->slices, 0, sizeof(limit->slices));
    }
    if (steps > 0) {
        limit->newest = number;
    }
    return &limit->slices[limit->newest % PPS_REPEAT_SLICES];
}

void
pps_repeat_limit_request(pps_repeat_limit_t *limit, int64_t now_us)
{
    slice_at(limit, now_us)->requests++;
}

int
pps_repeat_limit_take(pps_repeat_limit_t *limit, int64_t now_us, double part)
{
    pps_repeat_slice_t *slice = slice_at(limit, now_us);
    double requests = 0;
    double repeats = 0;

    for (unsigned int i = 0; i < PPS_REPEAT_SLICES; i++) {
        requests += limit->slices[i].requests;
        repeats += limit->slices[i].repeats;
    }
    if (repeats + 1 > (requests * limit->ratio + limit->allowance) * part) {
        return PPS_ELIMIT;
    }
    slice->repeats++;
    return PPS_OK;
}
