/** @file retry_after.c @brief Time until a place is expected. */
#include "retry_after.h"

#include "clock.h"

#define ELSEWHERE_US (20 * PPS_US_PER_MS)
/** Usual time from the start of all hosts, beside a store that is away, until
 * they can serve. */
#define STARTING_US (2000 * PPS_US_PER_MS)
/** Until another worker is listed, or one that failed is tried again. */
#define NO_WORKER_US (600 * PPS_US_PER_MS)
#define FULL_MIN_US (100 * PPS_US_PER_MS)
#define FULL_MAX_US (2000 * PPS_US_PER_MS)
/** Part of the wait that each step of urgency adds, and that is random. */
#define RANK_PART 0.25
#define SPREAD_PART 0.4
/** Part of the time budget after which there is time left to be served. */
#define LEFT_PART 0.25

/* Requests beyond the slots leave at the rate at which slots come free. */
static double
until_free_us(const pps_retry_after_t *comeback)
{
    double beyond = comeback->busy - comeback->slots;
    double us;

    if (comeback->slots <= 0) {
        return NO_WORKER_US;
    }
    us = comeback->answer_us * ((beyond > 0 ? beyond : 0) + 1) /
         comeback->slots;
    us *= 1 + RANK_PART * comeback->rank;
    return us < FULL_MIN_US ? FULL_MIN_US : us;
}

static double
expected_us(const pps_retry_after_t *comeback)
{
    double us;

    switch (comeback->reason) {
    case PPS_RETRY_AFTER_OTHER_HOST:
        return ELSEWHERE_US;
    case PPS_RETRY_AFTER_STARTING:
        return STARTING_US;
    case PPS_RETRY_AFTER_NO_WORKER:
        return NO_WORKER_US;
    case PPS_RETRY_AFTER_FULL:
        break;
    }
    us = until_free_us(comeback);
    return us > FULL_MAX_US ? FULL_MAX_US : us;
}

int64_t
pps_retry_after_compute(const pps_retry_after_t *comeback)
{
    double us = expected_us(comeback) * (1 + SPREAD_PART * comeback->spread);
    double most = (double)comeback->left_us * LEFT_PART;

    return (int64_t)(comeback->left_us > 0 && us > most ? most : us);
}
