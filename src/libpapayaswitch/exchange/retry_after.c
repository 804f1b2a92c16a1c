/** @file retry_after.c @brief Expected wait for a free slot. */
#include "retry_after.h"

#include "clock.h"

#define OTHER_HOST_US (20 * PPS_US_PER_MS)
/** Usual time until hosts can serve when all of them start while the store is
 * unavailable. */
#define STARTING_US (2000 * PPS_US_PER_MS)
/** Usual time until another worker is listed or a failed one is retried. */
#define NO_WORKER_US (600 * PPS_US_PER_MS)
#define FULL_MIN_US (100 * PPS_US_PER_MS)
#define FULL_MAX_US (2000 * PPS_US_PER_MS)
/** Fractions of the wait that each priority rank and a spread of 1 add. */
#define RANK_WAIT_FRACTION 0.25
#define SPREAD_WAIT_FRACTION 0.4
/** Maximum fraction of the remaining time to wait, so that the retry can be
 * served before the deadline. */
#define TIME_LEFT_FRACTION_MAX 0.25

/* Assumes that queued requests start as slots become free. */
static double
slot_wait_us(const pps_retry_after_t *request)
{
    double queued = request->busy - request->slots;
    double us;

    if (request->slots <= 0) {
        return NO_WORKER_US;
    }
    us = request->answer_us * ((queued > 0 ? queued : 0) + 1) / request->slots;
    us *= 1 + RANK_WAIT_FRACTION * request->rank;
    return us < FULL_MIN_US ? FULL_MIN_US : us;
}

static double
expected_wait_us(const pps_retry_after_t *request)
{
    double us;

    switch (request->reason) {
    case PPS_RETRY_AFTER_OTHER_HOST:
        return OTHER_HOST_US;
    case PPS_RETRY_AFTER_STARTING:
        return STARTING_US;
    case PPS_RETRY_AFTER_NO_WORKER:
        return NO_WORKER_US;
    case PPS_RETRY_AFTER_FULL:
        break;
    }
    us = slot_wait_us(request);
    return us > FULL_MAX_US ? FULL_MAX_US : us;
}

static int64_t
opening_us(const pps_retry_after_t *request)
{
    double order = RANK_WAIT_FRACTION * request->rank +
                   SPREAD_WAIT_FRACTION * request->spread;

    return request->opens_us + (int64_t)(FULL_MIN_US * order);
}

int64_t
pps_retry_after_compute(const pps_retry_after_t *request)
{
    double us = expected_wait_us(request) *
                (1 + SPREAD_WAIT_FRACTION * request->spread);
    double max_us = (double)request->time_left_us * TIME_LEFT_FRACTION_MAX;

    if (request->opens_us > 0) {
        return opening_us(request);
    }
    return (int64_t)(request->time_left_us > 0 && us > max_us ? max_us : us);
}
