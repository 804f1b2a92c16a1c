/**
 * @file uncounted_calls.h
 * @brief Bounds the requests at a worker that hold no permit: those that were
 * sent before the hosts kept to its permits, by any host. Does no I/O and
 * reads no clock.
 *
 * Designed for workers that begin to be brittle while their queues are full,
 * and for hosts that start before such workers. What such requests take is
 * not given to new ones: the permits of all hosts are the slots that they
 * leave. Their number never grows, so the least that a worker was seen to hold
 * is a bound for all time after; it shrinks with the time that requests take.
 */
#ifndef PPS_POOL_UNCOUNTED_CALLS_H
#define PPS_POOL_UNCOUNTED_CALLS_H

#include <stdint.h>

/** Zero: there are none. */
typedef struct {
    int64_t since_us; /**< hosts keep to permits since then; 0: there are no
                           such requests */
    double bound;     /**< the most that were at the worker then */
    int64_t bound_us; /**< when it was seen; 0: unseen since then */
} pps_uncounted_calls_t;

/** How long requests take at a worker. */
typedef struct {
    unsigned int slots;
    int64_t answer_us; /**< usual time to the end of an answer; 0: unknown */
} pps_service_time_t;

/** Notes that hosts keep to the worker's permits from now on. */
void
pps_uncounted_calls_begin(pps_uncounted_calls_t *calls, int64_t now_us);

/** Notes what the worker held at a time, without requests that are known to
 * hold a permit. */
void
pps_uncounted_calls_note_held(pps_uncounted_calls_t *calls, double held,
                              const pps_service_time_t *time, int64_t at_us);

/** Returns the most of them that can be at the worker. */
double
pps_uncounted_calls_bound(const pps_uncounted_calls_t *calls,
                          const pps_service_time_t *time, int64_t now_us);

#endif
