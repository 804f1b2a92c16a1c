/**
 * @file timer.h
 * @brief A timer service that parts subscribe to.
 *
 * It has no thread and no clock of its own: whoever owns it calls
 * pps_timers_run() with the time, so that tests can drive it. One thread.
 */
#ifndef PPS_UTIL_TIMER_H
#define PPS_UTIL_TIMER_H

#include <stdint.h>
#include <urcu/list.h>

/** A subscription, embedded in the subscriber. */
typedef struct {
    struct cds_list_head node;
    int64_t due_us;
    int64_t period_us; /**< 0: fires once */
    void (*fire)(int64_t now_us, void *user);
    void *user;
} pps_timer_t;

/** The service: subscriptions in order of due time. */
typedef struct {
    struct cds_list_head queue;
} pps_timers_t;

/** Starts an empty service. */
void
pps_timers_init(pps_timers_t *timers);

/** Subscribes; first fires at `first_us`, then each `period_us`. */
void
pps_timers_subscribe(pps_timers_t *timers, pps_timer_t *timer,
                     int64_t first_us, int64_t period_us,
                     void (*fire)(int64_t now_us, void *user), void *user);

/** Ends a subscription; harmless when it has ended. */
void
pps_timers_cancel(pps_timer_t *timer);

/** Fires all that is due. @return the next due time, or INT64_MAX */
int64_t
pps_timers_run(pps_timers_t *timers, int64_t now_us);

#endif
