/** @file uncounted_calls.c @brief Requests at a worker without a permit. */
#include "uncounted_calls.h"

#include "clock.h"

/** Time after which nothing is left at a worker that nobody has heard. */
#define UNSEEN_US (4 * PPS_US_PER_S)
/** Shortest time that requests are taken to need. */
#define ANSWER_MIN_US (100 * PPS_US_PER_MS)
/** Permits at a worker that nobody has heard: one host finds out. */
#define UNSEEN_PERMITS 1

void
pps_uncounted_calls_begin(pps_uncounted_calls_t *calls, int64_t now_us)
{
    *calls = (pps_uncounted_calls_t){.since_us = now_us};
}

/* Returns the time that requests usually need; a long one while it is unknown.
 */
static double
usual_answer_us(const pps_service_time_t *time)
{
    if (time->answer_us == 0) {
        return UNSEEN_US;
    }
    return (double)(time->answer_us > ANSWER_MIN_US ? time->answer_us
                                                    : ANSWER_MIN_US);
}

/* Returns the time in which `count` requests end. */
static double
drain_us(double count, const pps_service_time_t *time)
{
    double answer_us = usual_answer_us(time);

    return count > time->slots ? answer_us * count / time->slots : answer_us;
}

static double
shrink(double bound, double drained_us, int64_t passed_us)
{
    double left = 1 - (double)passed_us / drained_us;

    return left > 0 ? bound * left : 0;
}

double
pps_uncounted_calls_bound(const pps_uncounted_calls_t *calls,
                          const pps_service_time_t *time, int64_t now_us)
{
    if (calls->since_us == 0) {
        return 0;
    }
    if (calls->bound_us == 0) {
        return shrink((double)time->slots - UNSEEN_PERMITS, UNSEEN_US,
                      now_us - calls->since_us);
    }
    return shrink(calls->bound, drain_us(calls->bound, time),
                  now_us - calls->bound_us);
}

void
pps_uncounted_calls_note_held(pps_uncounted_calls_t *calls, double held,
                              const pps_service_time_t *time, int64_t at_us)
{
    if (calls->since_us == 0 || at_us < calls->since_us ||
        (calls->bound_us != 0 &&
         held >= pps_uncounted_calls_bound(calls, time, at_us))) {
        return;
    }
    calls->bound = held > 0 ? held : 0;
    calls->bound_us = at_us;
}
